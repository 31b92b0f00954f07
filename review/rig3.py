"""Stand-ins for the cases of this review: instances, discovery, platform and clients, written from the
operators' pages; and gateways and members as programs, started as the deploy file and the README say."""

import contextlib
import http.client
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The lines of record.txt, each with the seconds since the start."""

    def __init__(self, folder):
        self.path, self.began, self.lines, self.lock = (
            Path(folder) / "record.txt",
            time.time(),
            [],
            threading.Lock(),
        )

    def at(self):
        return time.time() - self.began

    def add(self, *words):
        with self.lock:
            self.lines.append((self.at(), " ".join(str(word) for word in words)))

    def write(self):
        with self.lock:
            self.path.write_text("".join(f"{at:8.3f} {line}\n" for at, line in self.lines))


def bulk(value):
    return b"$%d\r\n%s\r\n" % (len(value), value)


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


class Reader:
    """Reads RESP2 values from a socket."""

    def __init__(self, sock):
        self.sock, self.data = sock, b""

    def more(self):
        some = self.sock.recv(65536)
        if not some:
            raise ConnectionResetError("closed")
        self.data += some

    def line(self):
        while b"\r\n" not in self.data:
            self.more()
        line, _, self.data = self.data.partition(b"\r\n")
        return line

    def value(self):
        line = self.line()
        kind, rest = line[:1], line[1:]
        if kind in b"+-":
            return line
        if kind == b":":
            return int(rest)
        if kind == b"*":
            return None if rest == b"-1" else [self.value() for _ in range(int(rest))]
        if rest == b"-1":
            return None
        size = int(rest) + 2
        while len(self.data) < size:
            self.more()
        value, self.data = self.data[: size - 2], self.data[size:]
        return value


class Listener:
    """Accepts connections, each served on a thread of its own."""

    def __init__(self, host="127.0.0.1", port=0):
        self.host, self.port, self.sock, self.open = host, port, None, set()
        self.lock = threading.Lock()
        self.listen()

    def listen(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((self.host, self.port))
        self.sock.listen(512)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self.accept, args=(self.sock,), daemon=True).start()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                with self.lock:
                    self.open.add(sock)
                threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock):
        with contextlib.suppress(OSError, ValueError):
            self.serve(sock)
        with self.lock:
            self.open.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()

    def stop_listening(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def reset_all(self):
        with self.lock:
            socks = list(self.open)
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.shutdown(socket.SHUT_RDWR)


class Instance(Listener):
    """An instance: each request takes `work` seconds. `attempts` has (time, words) of each command."""

    def __init__(self, id, record, work=0.02, build=1, zone="here", kind="std", **more):
        self.id, self.record, self.work, self.build, self.zone, self.kind = (
            id,
            record,
            work,
            build,
            zone,
            kind,
        )
        self.state, self.started, self.attempts = "up", 0, []
        super().__init__(**more)

    def entry(self, **more):
        return {
            "id": self.id,
            "addr": self.address,
            "zone": self.zone,
            "kind": self.kind,
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started,
            "revision_no": self.build,
            **more,
        }

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            words = reader.value()
            name = words[0].upper()
            if name == b"PING":
                sock.sendall(b"+PONG\r\n")
            elif name in (b"CLIENT", b"SELECT"):
                sock.sendall(b"+OK\r\n")
            elif name not in (b"Q.ASK", b"Q.DO"):
                sock.sendall(b"-ERR unknown\r\n")
            else:
                self.attempts.append((time.time(), words))
                self.record.add("attempt", self.id, words[2].decode(), words[3].decode())
                self.react(sock, words)

    def react(self, sock, words):
        if self.state != "up":  # it finishes what it has and wants nothing new
            return sock.sendall(b"-BUSY\r\n")
        time.sleep(self.work)
        self.answer(sock, words)

    def answer(self, sock, words):
        sock.sendall(b"*3\r\n" + bulk(b"v:" + words[2]) + b"$-1\r\n$-1\r\n")


class Discovery(Listener):
    """Discovery. `down`: watches end, and calls end with 503."""

    def __init__(self, record, **more):
        self.record, self.down, self.version, self.history = record, threading.Event(), 1, []
        self.state, self.changed = {}, threading.Condition()
        super().__init__(**more)

    def put(self, *entries):
        with self.changed:
            self.version += 1
            for entry in entries:
                self.state[entry["id"]] = entry
                self.history.append((self.version, entry))
            self.changed.notify_all()

    def known(self):
        return {
            "version": self.version,
            "full": True,
            "servers": [e for e in self.state.values() if e["state"] != "removed"],
        }

    def go_down(self):
        self.down.set()
        self.reset_all()

    def serve(self, sock):
        head = b""
        while b"\r\n\r\n" not in head:
            some = sock.recv(65536)
            if not some:
                return
            head += some
        path = head.split(b" ")[1].decode()
        if self.down.is_set():
            self.record.add("discovery", "503", path)
            sock.sendall(
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            return
        self.record.add("discovery", "200", path)
        if "stream=1" not in path:
            body = json.dumps(self.known()).encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        done = int(path.rsplit("=", 1)[1])
        while True:
            with self.changed:
                self.changed.wait_for(lambda done=done: self.version > done or self.down.is_set(), 2.0)
                if self.down.is_set():
                    return
                changes = {entry["id"]: entry for version, entry in self.history if version > done}
                version, done = self.version, self.version
            text = b""
            if changes:
                text = json.dumps(
                    {"version": version, "full": False, "servers": list(changes.values())}
                ).encode()
                self.record.add("told", [(e["id"], e["state"], e["revision_no"]) for e in changes.values()])
            sock.sendall(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))


class Platform(Listener):
    def __init__(self, record, state="1 0 released 1 5000", **more):
        self.record, self.state, self.changed, self.votes = record, state, threading.Condition(), []
        super().__init__(**more)

    def put(self, state):
        with self.changed:
            self.state = state
            self.changed.notify_all()

    def serve(self, sock):
        lines = sock.makefile("rb")
        while line := lines.readline().decode().strip():
            if line != "NOTIFY":
                self.votes.append((time.time(), line))
                self.record.add("vote", line)
                sock.sendall(f"OK {self.state}\r\n".encode())
                continue
            told = self.state
            sock.sendall(f"OK\r\n* stage {told}\r\n".encode())
            self.record.add("news", told)
            while True:
                with self.changed:
                    self.changed.wait_for(lambda told=told: self.state != told, 1.0)
                    line, told = ("*" if self.state == told else f"* stage {self.state}"), self.state
                if line != "*":
                    self.record.add("news", told)
                sock.sendall(line.encode() + b"\r\n")


class Client:
    def __init__(self, port, host="127.0.0.1", timeout=30.0):
        self.sock = socket.create_connection((host, port), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def send(self, data):
        self.sock.sendall(data)

    def value(self):
        return self.reader.value()

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.close()


class Load:
    """Clients that ask one request after another, each on a connection of its own. `make(number)` returns the
    next (id, command); `answers` has (id, sent, answered, answer or None)."""

    def __init__(self, port, record, count, make, pause=0.0):
        self.port, self.record, self.make, self.pause = port, record, make, pause
        self.stopped, self.answers, self.lock, self.number = threading.Event(), [], threading.Lock(), 0
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self):
        client = None
        while not self.stopped.is_set():
            with self.lock:
                self.number += 1
                id, data = self.make(self.number)
            for again in (False, True):
                sent = time.time()
                try:
                    client = client or Client(self.port)
                    client.send(data)
                    answer = client.value()
                    break
                except OSError as error:
                    answer = None
                    if client is not None:
                        client.close()
                    client = None
                    if again:
                        self.record.add("no answer", id, error)
            with self.lock:
                self.answers.append((id, sent, time.time(), answer))
            self.record.add("answer", id, repr(answer)[:60])
            if self.pause:
                time.sleep(self.pause)

    def stop(self, within=10.0):
        self.stopped.set()
        for thread in self.threads:
            thread.join(within)
        return self.answers


class Programs:
    """The project's programs, started by the deploy file's commands, and their temporary folder."""

    def __init__(self, record):
        self.record, self.started, self.number = record, [], 0
        self.folder = Path(tempfile.mkdtemp(prefix="lemonlead-review-"))

    def start(self, shell, name, **env):
        self.number += 1
        path = self.folder / f"{self.number}-{name}.log"
        with path.open("w") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", shell],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **env},
            )
        process.log = path
        self.started.append(process)
        return process

    def gateway(self, config, name="g0", **env):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        process = self.start(run, name, ROUTER_CONFIG=str(path), **env)
        host, port = config["listen"].split(":")
        until = time.monotonic() + 30
        while True:
            with contextlib.suppress(OSError):
                client = Client(int(port), host, 2.0)
                client.send(command(b"PING"))
                ready = client.value() == b"+PONG"
                client.close()
                if ready:
                    break
            if process.poll() is not None or time.monotonic() > until:
                raise CouldNotRun(f"gateway {name} is not ready: {process.log.read_text()[-500:]}")
            time.sleep(0.02)
        self.record.add("ready", name)
        return process

    def end(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port(host="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def main(folder, play):
    """Plays a case. `play(record, programs)` returns what broke the rule, [] if nothing did."""
    record = Record(folder)
    programs, code = Programs(record), NOT_RUN
    try:
        found = play(record, programs)
        code = BROKEN if found else HELD
        for line in found[:20]:
            record.add("BROKEN", line)
            print("broken:", line)
        if not found:
            print("held")
    except CouldNotRun as error:
        record.add("could not run:", error)
        print("could not run:", error)
    finally:
        with contextlib.suppress(BaseException):
            record.write()
        programs.end()
    sys.stdout.flush()
    os._exit(code)


# What a small deployment like rumo-poa is told, in the names of the wire and of its site file.
RUMO_POA = {
    "Areas": ["poa-1"],
    "Az": 0,
    "Balancers": 3,
    "Discovery": "push",
    "Skus": ["tipo-a"],
    "Step": 5.0,
    "Me": 0,
    "FamilyInfo": {
        "ApiTimeout": 1200.0,
        "AyesNeeded": 2,
        "NoesNeeded": 1,
        "Bake": 3000.0,
        "BallotTtl": 10000.0,
        "CapScope": "all",
        "Control": "by_count",
        "ExposureWindow": 2000.0,
        "GuardedStages": 0,
        "SpareTries": 3.0,
        "StageCap": [0.06, 0.24, 0.6, 1.0],
        "Steps": [0.05, 0.2, 0.5, 1.0],
        "Style": "replace",
        "VoteAllowance": 150.0,
    },
    "Lanes": [
        {"Name": "cep", "Effect": "idempotent", "Slo": 600.0, "GiveUp": 2000.0, "Worth": 1.0},
        {"Name": "corrige", "Effect": "idempotent", "Slo": 800.0, "GiveUp": 2000.0, "Worth": 1.0},
        {"Name": "laudo", "Effect": "at_most_once", "Slo": 800.0, "GiveUp": 2500.0, "Worth": 5.0},
    ],
    "Limits": {
        "AttemptsCap": 4,
        "Cancel": True,
        "ConnectTimeout": 250.0,
        "IdleClose": 30000.0,
        "MayDuplicate": False,
        "Probes": True,
        "RetryAfter": False,
    },
    "Obligations": {
        "AnswerSlack": 20.0,
        "Cold": 4700.0,
        "ColdFrom": 0.38,
        "DrainGrace": 500.0,
        "Fall": 3000.0,
        "OverloadFactor": 3.0,
    },
    "Projects": [{"Name": "loja-pampa", "QuotaPerS": 100.0}],
}


def gateway_config(settings, port, discovery, platform, memory_mb=192, sockets=1024):
    """Returns a gateway's configuration, as DEPLOY.md has it."""
    news = {"release": 1, "tranche": 0, "mode": "released", "exposure": 1.0, "old_ms": 60000}
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery.address,
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "release_api": {"address": platform.address, "news": news},
        "known": discovery.known(),
        "settings": settings,
    }


def http_call(port, method, path, body=None, timeout=10.0):
    """Makes a call to a member and returns (status, JSON object)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json"} if data else {})
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"{}")
    finally:
        connection.close()


class Cluster:
    """Three members with the times and terms of deploy/cluster/louis.cue, on free ports."""

    def __init__(self, programs):
        self.programs, self.ports, self.processes = programs, {f"g{n}": free_port() for n in (1, 2, 3)}, {}
        members = ", ".join(f'{name}: "127.0.0.1:{port}"' for name, port in self.ports.items())
        for name, port in self.ports.items():
            (programs.folder / f"{name}.cue").write_text(
                f'cluster: "louis"\nmember: "{name}"\ndata: "var-{name}"\nlisten: "127.0.0.1:{port}"\n'
                f"members: {{{members}}}\ntimes: {{election: 1s, heartbeat: 150ms, stale: 3s}}\n"
                "terms: {remember: 15m, lease: 10s, grace: 1s, cold: 5s, cold_share: 0.5}\n"
            )
            self.start(name)
        until = time.monotonic() + 30
        while (leader := self.leader()) is None:
            if time.monotonic() > until:
                raise CouldNotRun("the cluster has no leader")
            time.sleep(0.1)
        programs.record.add("cluster", self.ports, "leader", leader)

    def start(self, name):
        shell = f"exec bin/lemonlead member {self.programs.folder}/{name}.cue"
        self.processes[name] = self.programs.start(shell, name)

    def leader(self):
        """Returns the name of the leader that a member knows, None if none does."""
        for port in self.ports.values():
            with contextlib.suppress(OSError, ValueError):
                if leader := http_call(port, "GET", "/v1/status", timeout=1.0)[1].get("leader"):
                    return leader
        return None


class TwoClusters:
    """Two clusters of three members that know each other, else as deploy/cluster/louis.cue."""

    def __init__(self, programs, *names):
        self.record = programs.record
        self.ports = {name: {f"{name[0]}{number}": free_port() for number in (1, 2, 3)} for name in names}
        for name, ports in self.ports.items():
            (other,) = (other for other in names if other != name)
            members = ", ".join(f'{member}: "127.0.0.1:{port}"' for member, port in ports.items())
            others = ", ".join(f'"127.0.0.1:{port}"' for port in self.ports[other].values())
            for member, port in ports.items():
                file = programs.folder / f"{member}.cue"
                file.write_text(
                    f'cluster: "{name}"\nmember: "{member}"\ndata: "var-{member}"\n'
                    f'listen: "127.0.0.1:{port}"\n'
                    f"members: {{{members}}}\nclusters: {{{other}: [{others}]}}\n"
                    "times: {election: 1s, heartbeat: 150ms, stale: 3s}\n"
                    "terms: {remember: 15m, lease: 10s, grace: 1s, cold: 5s, cold_share: 0.5}\n"
                )
                programs.start(f"exec bin/lemonlead member {file}", member)

    def command(self, cluster, command, within=30.0):
        """Sends a command, again with the same id until it is answered. Returns (status, answer)."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            for port in self.ports[cluster].values():
                with contextlib.suppress(OSError, ValueError, http.client.HTTPException):
                    status, answer = http_call(port, "POST", "/v1/commands", command)
                    if status != 503:
                        return status, answer
            time.sleep(0.1)
        raise CouldNotRun(f"{cluster} did not answer {command} within {within} s")

    def state(self, cluster, part, within=20.0):
        """Returns the records of a part as of now."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            for port in self.ports[cluster].values():
                with contextlib.suppress(OSError, ValueError, http.client.HTTPException):
                    status, answer = http_call(port, "GET", f"/v1/state/{part}")
                    if status == 200:
                        return answer["items"]
            time.sleep(0.1)
        raise CouldNotRun(f"{cluster} did not tell {part} within {within} s")
