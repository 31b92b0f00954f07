"""Builds the state that a test needs: balancers, and a gateway that runs among stand-ins on loopback."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

from lemonlead import interface as at
from lemonlead.balance import Balancer
from lemonlead.gateway import resp

MS = 1_000_000
NOW = 100_000 * MS


class Desk:
    """A door that writes down what it is asked."""

    def __init__(self):
        self.calls = []

    def send(self, lookup, instance_id, time_out):
        self.calls.append(("send", lookup.id, instance_id))

    def withdraw(self, send):
        self.calls.append(("withdraw", send.lookup.id, send.number))

    def push_back(self, lookup, hold_off):
        self.calls.append(("push back", lookup.id, hold_off))

    def abort(self, lookup):
        self.calls.append(("abort", lookup.id))

    def watch_list(self):
        self.calls.append(("watch",))

    def vote(self, build, stage, verdict):
        self.calls.append(("vote", build, stage, verdict))

    def log(self, text):
        pass

    def pull(self, balancer, now):
        """All that is decided at `now`."""
        self.calls = []
        while balancer.decide(now, self):
            pass
        return self.calls


def lane(number=0, effect=at.HARMLESS, **more):
    return at.Lane(number, effect, 1000 * MS, 4000 * MS, 1.0, **more)


def line(id=1, build=1, zone=0, cell=0, state=at.READY, started=0, kind=0):
    return at.Instance(id, zone, kind, build, cell, state, 1.0, started)


def balancer(lines=(), lanes=None, told=(1, 0, at.RELEASED, 1.0), release=None, **more):
    release = release or at.Release(
        window=2000 * MS, free_sends=2, caps=[0.1, 0.5, 1.0], steps=[0.1, 0.5, 1.0], vote_life=4000 * MS,
        answer_time=800 * MS, votes_per_s=100.0, bake=1000 * MS,
    )
    rules = dict(
        step=5 * MS, sends_cap=4, may_withdraw=True, may_duplicate=True, connect_time=250 * MS,
        cold_time=5000 * MS, cold_share=0.4, cold_window=2000 * MS, cold_multiple=3.0, hold_off_cap=500 * MS,
    )
    start = at.Start(now=NOW, lanes=lanes or [lane()], release=release, **{"seed": 7, **rules, **more})
    made = Balancer(start)
    made.listed(NOW, list(lines), True, True)
    if told is not None:
        made.stage_told(NOW, *told, 0)
    return made


def lookup(id=1, on=None, now=NOW, left=4000 * MS, key=0, work=100 * MS):
    return at.Lookup(id, on or lane(), 0, key, now, now + left, work)


def sent(asked, member, end="", at_time=NOW):
    """A send of this lookup to this member, as ended so."""
    send = at.Send(asked, len(asked.sends), member, at_time, end)
    asked.sends.append(send)
    if not end:
        member.out[send] = None
        member.held += asked.work
    return send


def judged(made, on, off):
    """A closed pair of these outcomes, and what is made of it."""
    build = made.judged
    build.pairs.append(made.compared(build, on, off))
    build.seen.extend(on)
    made.judge(build, build.pairs)


# ---- a gateway among stand-ins

SETTINGS = {
    "Areas": ["here"], "Az": 0, "Balancers": 1, "Discovery": "ask", "Skus": ["std"], "Step": 5.0, "Me": 0,
    "FamilyInfo": {
        "ApiTimeout": 5000.0, "AyesNeeded": 1, "NoesNeeded": 1, "Bake": 100.0, "BallotTtl": 4000.0,
        "CapScope": "all", "Control": "by_count", "ExposureWindow": 4000.0, "GuardedStages": 0,
        "SpareTries": 2.0, "StageCap": [0.8, 1.0], "Steps": [0.5, 1.0], "VoteAllowance": 75.0,
    },
    "Lanes": [
        {"Name": "look", "Effect": "idempotent", "Slo": 1000.0, "GiveUp": 20000.0, "Worth": 1.0},
        {"Name": "hold", "Effect": "deduplicated", "Slo": 1000.0, "GiveUp": 20000.0, "Window": 30000.0},
        {"Name": "buy", "Effect": "at_most_once", "Slo": 1000.0, "GiveUp": 20000.0},
    ],
    "Limits": {
        "AttemptsCap": 5, "Cancel": True, "ConnectTimeout": 8000.0, "IdleClose": 15000.0,
        "MaxRetryAfter": 500.0, "MayDuplicate": True, "RetryAfter": True,
    },
    "Obligations": {
        "Cold": 1000.0, "ColdFrom": 0.5, "DrainGrace": 250.0, "Fall": 1000.0, "OverloadFactor": 4.0,
    },
    "Projects": [{"Name": "acme", "QuotaPerS": 10.0}],
}


def until(condition, seconds=60):
    """Waits for the condition; its value."""
    end = time.monotonic() + seconds
    while not (value := condition()):
        assert time.monotonic() < end, "waited in vain"
        time.sleep(0.01)
    return value


class Server:
    """A stand-in: listens on a free port and hands each connection to `serve` on a thread of its own."""

    def __init__(self, backlog=64):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections = []
        self.changed = threading.Condition()

    def start(self):
        threading.Thread(target=self.accept, daemon=True).start()
        return self

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections.append(sock)
                threading.Thread(target=self.guard, args=(sock,), daemon=True).start()

    def guard(self, sock):
        with contextlib.suppress(OSError, ValueError):
            self.serve(sock)
        sock.close()

    def cut(self):
        """Ends the connections that stand."""
        for sock in self.connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.connections = []

    def close(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.cut()


class InstanceServer(Server):
    """Answers each command as `react(words)` says: bytes to write, or None to end the connection."""

    def __init__(self, react=None, **more):
        super().__init__(**more)
        self.react = react or (lambda words: gives(words[1]))
        self.got = []

    def serve(self, sock):
        reader = resp.Reader(commands=True)
        while data := sock.recv(65536):
            reader.buffer.add(data)
            while (words := reader.next()) is not resp.MORE:
                self.got.append(words)
                if (answer := self.react(words)) is None:
                    return
                sock.sendall(answer)


def gives(value):
    return b"*3\r\n" + resp.bulk(value) + b"$-1\r\n$-1\r\n"


class DiscoveryServer(Server):
    """Tells each watch the changes after the version that it names, then those that come."""

    def __init__(self):
        super().__init__()
        self.updates, self.asked = [], []

    def tell(self, *servers, full=False, version=None):
        with self.changed:
            version = version or len(self.updates) + 2
            self.updates.append({"version": version, "full": full, "servers": list(servers)})
            self.changed.notify_all()

    def serve(self, sock):
        head = sock.recv(65536).decode()
        self.asked.append(head.split()[1])
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        index = int(self.asked[-1].rsplit("=", 1)[1])
        done = index - 1 if index <= max((update["version"] for update in self.updates), default=index) else 0
        while True:
            with self.changed:
                self.changed.wait_for(lambda done=done: len(self.updates) > done, 1.0)
                news, done = self.updates[done:], len(self.updates)
            for line in [json.dumps(update) for update in news] or [""]:
                sock.sendall(b"%x\r\n%s\n\r\n" % (len(line) + 1, line.encode()))


class PlatformServer(Server):
    """Tells its state to whoever asks for news, and counts ballots, answering with `answer`."""

    def __init__(self):
        super().__init__()
        self.state, self.ballots, self.asked = "1 0 released 1 5000", [], 0
        self.answer = lambda ballot: f"OK {self.state}"

    def serve(self, sock):
        lines = sock.makefile("rb")
        while line := lines.readline().decode().strip():
            if line != "NOTIFY":
                self.ballots.append(line)
                sock.sendall(self.answer(line).encode() + b"\r\n")
                continue
            self.asked += 1
            told = self.state  # read once: a change after this line is told below, one before it here
            sock.sendall(f"OK\r\n* stage {told}\r\n".encode())
            while True:
                with self.changed:
                    self.changed.wait_for(lambda told=told: self.state != told, 1.0)
                    line, told = ("*" if self.state == told else f"* stage {self.state}"), self.state
                sock.sendall(line.encode() + b"\r\n")

    def tell(self, state):
        with self.changed:
            self.state = state
            self.changed.notify_all()


def entry(id, server, state="up", build=1, started=0):
    return {
        "id": id, "addr": server.address, "zone": "here", "kind": "std", "cell": 0, "state": state,
        "weight": 1.0, "started_ms": started, "revision_no": build,
    }


class Client:
    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), 60)
        self.reader = resp.Reader()

    def write(self, data):
        self.sock.sendall(data)
        return self

    def ask(self, key=b"aa", lane="look", wait=20000, body=(), **more):
        """Writes a lookup."""
        said = {"c": lane, "t": "acme", "d": wait, **({"k": "5c"} if lane == "hold" else {}), **more}
        extras = ",".join(f"{name}={value}" for name, value in said.items()).encode()
        name = b"Q.ASK" if lane == "look" else b"Q.DO"
        return self.write(resp.command([name, key, os.urandom(8).hex().encode(), extras, *body]))

    def read(self):
        """The next answer, or None at the end of the connection."""
        while (value := self.reader.next()) is resp.MORE:
            if not (data := self.sock.recv(65536)):
                return None
            self.reader.buffer.add(data)
        return value


@contextlib.contextmanager
def gateway(tmp_path, *servers, settings=None, limits=None, entries=None):
    """A gateway that runs among these instances; all of it ends with the block."""
    discovery, platform = DiscoveryServer().start(), PlatformServer().start()
    known = entries or [entry(f"i{n}", server) for n, server in enumerate(servers)]
    config = {
        "name": "g0", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "release_api": {"address": platform.address, "news": {
            "release": 1, "tranche": 0, "mode": "released", "exposure": 1.0, "old_ms": 5000}},
        "known": {"version": 1, "full": True, "servers": known}, "settings": {**SETTINGS, **(settings or {})},
    }
    (tmp_path / "config.json").write_text(json.dumps(config))
    with open(tmp_path / "log", "w") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "lemonlead.gateway"], stdout=log, stderr=subprocess.STDOUT,
            env={**os.environ, "ROUTER_CONFIG": str(tmp_path / "config.json")},
        )
    ran = SimpleNamespace(process=process, discovery=discovery, platform=platform, clients=[])
    ran.log = lambda: (tmp_path / "log").read_text()

    def client():
        ran.clients.append(Client(ran.port))
        return ran.clients[-1]

    def counters():
        before = ran.log().count("event=counters")
        process.send_signal(signal.SIGUSR1)
        until(lambda: ran.log().count("event=counters") > before and ran.log().endswith("\n"))
        return counted(ran.log(), "counters")

    def reload(text):
        (tmp_path / "config.json").write_text(text)
        process.send_signal(signal.SIGHUP)

    ran.client, ran.counters, ran.reload, ran.config = client, counters, reload, config
    try:
        serving = until(lambda: [line for line in ran.log().splitlines() if "event=serving" in line])
        ran.port = int(dict(word.split("=", 1) for word in serving[0].split() if "=" in word)["port"])
        yield ran
        assert "event=fault" not in ran.log() and "Traceback" not in ran.log()
    finally:
        process.kill()
        process.wait()
        for server in (discovery, platform, *servers):
            server.close()
        for one in ran.clients:
            one.sock.close()


def counted(log, event):
    """The counters as last printed under this event."""
    line = [line for line in log.splitlines() if f"event={event} " in line][-1]
    pairs = (word.split("=", 1) for word in line.split() if "=" in word)
    return {name: int(value) for name, value in pairs if value.isdigit()}
