"""What the cases 6 to 10 share: programs of the project as separate processes on loopback, small clients of
theirs, and the record of a case.

`Case` is a context manager. It makes a temporary folder, starts programs, writes `record.txt`, and ends all
processes that it started. Nothing here decides whether a rule was broken; each case does that itself."""

import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
MEMBERS = ("g1", "g2", "g3")
# As deploy/cluster/louis.cue has them.
TIMES = "times: {election: 1s, heartbeat: 150ms, stale: 3s}"
TERMS = "terms: {remember: 15m, lease: 10s, grace: 1s, cold: 5s, cold_share: 0.5}"


class CannotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


def trouble():
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_address(host="127.0.0.1"):
    """Returns host:port of a port that is free now. It lies below those that the system gives to outgoing
    connections, so that none of these takes it before a program listens there, or while one restarts."""
    try:
        first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except (OSError, ValueError, IndexError):
        first = 32768
    for _ in range(1000):
        port = random.randrange(10_000, first if first > 12_000 else 32_768)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            return f"{host}:{port}"
    raise CannotRun("no port is free")


def loopback_host():
    """Returns a loopback address that hardly any other run uses."""
    return f"127.{random.randrange(1, 255)}.{random.randrange(255)}.{random.randrange(1, 255)}"


def deploy(name):
    """Returns a command of the deploy file."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)[name]


def until(condition, what, seconds=30.0, pause=0.02):
    """Returns the condition's value once it is true. Raises CannotRun after `seconds`."""
    end = time.monotonic() + seconds
    while not (value := condition()):
        if time.monotonic() > end:
            raise CannotRun(f"not within {seconds:g} s: {what}")
        time.sleep(pause)
    return value


class Case:
    """One run of a case."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.tmp = Path(tempfile.mkdtemp(prefix="case-"))
        self.record_file = open(self.folder / "record.txt", "w")  # noqa: SIM115 - closed in __exit__
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.processes = []
        self.log("trouble", "played" if trouble() else "left out")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.record_file.close()

    def log(self, what, *more):
        """Writes a line to the record: seconds since the start, what happened, and the rest as JSON."""
        with self.lock:
            rest = " ".join(one if isinstance(one, str) else json.dumps(one) for one in more)
            self.record_file.write(f"{time.monotonic() - self.began:8.3f} {what} {rest}".rstrip() + "\n")
            self.record_file.flush()

    # ---- programs

    def start(self, name, command, environment=None):
        """Starts a program whose output goes to a file of the temporary folder."""
        with open(self.tmp / f"{name}.log", "ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **(environment or {})},
            )
        self.processes.append(process)
        self.log("start", name)
        return process

    def output(self, name):
        return (self.tmp / f"{name}.log").read_text(errors="replace")

    def send(self, name, process, signum):
        self.log("signal", name, signal.Signals(signum).name)
        process.send_signal(signum)

    # ---- clusters

    def cluster(self, name="louis", names=MEMBERS, clusters=None, addresses=None):
        """Starts the members of a cluster and returns it once a leader is known to all."""
        found = Cluster(self, name, names, clusters or {}, addresses)
        for member in names:
            found.start(member)
        found.wait_leader()
        return found

    # ---- gateways

    def gateway(self, name, config, settings=None):
        """Starts a gateway by `run` of the deploy file and waits until it answers PING."""
        path = self.tmp / f"{name}.json"
        path.write_text(json.dumps(config))
        environment = {"ROUTER_CONFIG": str(path), "TMPDIR": str(self.tmp)}
        if settings is not None:
            (self.tmp / f"{name}.cue").write_text(settings)
            environment["LEMONLEAD_SETTINGS"] = str(self.tmp / f"{name}.cue")
        process = self.start(name, ["/bin/sh", "-c", deploy("run")], environment)
        until(lambda: ping(config["listen"]), f"{name} answers PING")
        self.log("ready", name)
        return process


def gateway_config(name, discovery, platform, servers, **settings):
    """Returns the configuration of a gateway of a small deployment: its form is DEPLOY.md's, its figures are
    of the size of port-louis-hq. `servers`: entries in discovery's form."""
    return {
        "name": name,
        "listen": free_address(),
        "discovery": discovery,
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "release_api": {
            "address": platform,
            "news": {"release": 1, "tranche": 0, "mode": "released", "exposure": 1.0, "old_ms": 60000},
        },
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": {**SETTINGS, **settings},
    }


SETTINGS = {
    "Areas": ["here"],
    "Az": 0,
    "Balancers": 2,
    "Discovery": "push",
    "Skus": ["std"],
    "Step": 5.0,
    "Me": 0,
    "FamilyInfo": {
        "ApiTimeout": 1200.0,
        "AyesNeeded": 1,
        "NoesNeeded": 1,
        "Bake": 3000.0,
        "BallotTtl": 4000.0,
        "CapScope": "all",
        "Control": "by_count",
        "ExposureWindow": 2000.0,
        "GuardedStages": 1,
        "SpareTries": 3.0,
        "StageCap": [0.06, 0.24, 0.6, 1.0],
        "Steps": [0.05, 0.2, 0.5, 1.0],
        "VoteAllowance": 150.0,
    },
    "Lanes": [
        {"Name": "fitment", "Effect": "idempotent", "Slo": 600.0, "GiveUp": 2000.0, "Worth": 2.0},
        {"Name": "reserve", "Effect": "deduplicated", "Slo": 800.0, "GiveUp": 2500.0, "Window": 8000.0},
        {"Name": "laudo", "Effect": "at_most_once", "Slo": 800.0, "GiveUp": 2500.0, "Worth": 5.0},
    ],
    "Limits": {
        "AttemptsCap": 4,
        "Cancel": True,
        "ConnectTimeout": 500.0,
        "IdleClose": 15000.0,
        "MaxRetryAfter": 500.0,
        "RetryAfter": True,
    },
    "Obligations": {
        "Cold": 5000.0,
        "ColdFrom": 0.5,
        "DrainGrace": 250.0,
        "Fall": 1000.0,
        "OverloadFactor": 3.0,
    },
    "Projects": [{"Name": "acme", "QuotaPerS": 100.0}],
}


def write_follow(name, cluster):
    """Returns the settings of a gateway that follows the ledger of a cluster under this name."""
    members = ", ".join(f'{member}: "{where}"' for member, where in cluster.addresses.items())
    return f'follow: {{name: "{name}", members: {{{members}}}}}\n'


def ping(address):
    """Whether a gateway answers PING."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 1) as sock:
            sock.settimeout(1)
            sock.sendall(b"*1\r\n$4\r\nPING\r\n")
            return sock.recv(64) == b"+PONG\r\n"
    except OSError:
        return False


class Cluster:
    """Members that form a cluster. `addresses`: name to host:port, if they are fixed already."""

    def __init__(self, case, name, names, clusters, addresses):
        self.case, self.name, self.names = case, name, tuple(names)
        self.clusters = clusters
        self.addresses = addresses or member_addresses(names)
        self.processes = {}
        self.number = 0
        self.lock = threading.Lock()

    def start(self, member):
        listed = ", ".join(f'{one}: "{self.addresses[one]}"' for one in self.names)
        others = ", ".join(f"{one}: {json.dumps(where)}" for one, where in self.clusters.items())
        path = self.case.tmp / f"{self.name}-{member}.cue"
        path.write_text(
            f'cluster: "{self.name}"\nmember: "{member}"\ndata: "var/{self.name}-{member}"\n'
            f'listen: "{self.addresses[member]}"\nmembers: {{{listed}}}\nclusters: {{{others}}}\n'
            f"{TIMES}\n{TERMS}\n"
        )
        command = [str(ROOT / "bin" / "lemonlead"), "member", str(path)]
        self.processes[member] = self.case.start(f"{self.name}-{member}", command)

    def wait_leader(self, seconds=30.0):
        """Returns the leader's name once it commits commands."""
        return until(self.leader, f"a leader of {self.name}", seconds)

    def leader(self):
        for member in self.names:
            status, body = self.ask("GET", "/v1/status", member=member, seconds=1.0)
            if status == 200 and body["role"] == "leader":
                status, _ = self.ask("GET", "/v1/state/nodes", member=member, seconds=2.0)
                return member if status == 200 else None
        return None

    def ask(self, method, path, body=None, member=None, seconds=12.0):
        """Calls a member, the first one if none is named. Returns (status, body); status 0 without an
        answer."""
        return call(self.addresses[member or self.names[0]], method, path, body, seconds)

    def command(self, seconds=30.0, id="", **fields):
        """Sends a command under one id until it is decided. Returns (status, body)."""
        with self.lock:
            self.number += 1
            id = id or f"operator/{self.number}"
        end, at = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            member = self.names[at % len(self.names)]
            status, body = self.ask("POST", "/v1/commands", {"id": id, **fields}, member)
            self.case.log("command", self.name, {"id": id, **fields}, "answer", [status, body])
            if status in (200, 400, 409):
                return status, body
            at += 1
            time.sleep(0.1)
        raise CannotRun(f"{fields['kind']} was not decided within {seconds:g} s")

    def must(self, **fields):
        """Sends a command that the case needs to be done."""
        status, body = self.command(**fields)
        if status != 200:
            raise CannotRun(f"{fields} got {status} {body}")
        return body

    def items(self, part, seconds=20.0):
        """Returns the records of a part as of now."""
        end, at = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            member = self.names[at % len(self.names)]
            status, body = self.ask("GET", f"/v1/state/{part}", member=member)
            if status == 200:
                return body["items"]
            at += 1
            time.sleep(0.05)
        raise CannotRun(f"{part} of {self.name} was not to be read within {seconds:g} s")


def member_addresses(names=MEMBERS):
    """Returns an address for each member, each at a loopback host of its own."""
    return {member: free_address(loopback_host()) for member in names}


def call(address, method, path, body=None, seconds=12.0):
    """One HTTP call. Returns (status, decoded body); status 0 without an answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"{}")
    except (OSError, ValueError, http.client.HTTPException) as error:
        return 0, {"reason": type(error).__name__}
    finally:
        connection.close()


def end_early(*_):
    raise CannotRun("it was told to end before its time")


def main(folder, play):
    """Plays a case and ends with its exit code. `play(case)` returns a list of texts: how the rule was
    broken, empty if it held."""
    signal.signal(signal.SIGTERM, end_early)
    with Case(folder) as case:
        try:
            broken = play(case)
        except CannotRun as error:
            case.log("could not run", str(error))
            print(f"could not run: {error}")
            code = NOT_RUN
        except Exception as error:
            case.log("could not run", "".join(traceback.format_exception(error)))
            traceback.print_exc()
            code = NOT_RUN
        else:
            for text in broken:
                case.log("BROKEN", text)
                print(f"broken: {text}")
            if not broken:
                case.log("held")
                print("held")
            code = BROKEN if broken else HELD
    sys.exit(code)
