"""What the cases share: it starts the project's programs, keeps the record, and ends what it started."""

import contextlib
import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))
BROKEN, HELD, NO_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The settings of a gateway of port-louis-hq: the lanes, limits and rules of its brief.
SETTINGS = {
    "Areas": ["port-louis", "ebene", "curepipe"],
    "Az": 0,
    "Balancers": 3,
    "Me": 0,
    "Discovery": "ask",
    "Skus": ["full-speed", "slow"],
    "Step": 5.0,
    "FamilyInfo": {
        "ApiTimeout": 800.0,
        "AyesNeeded": 2,
        "NoesNeeded": 1,
        "Bake": 1000.0,
        "BallotTtl": 4000.0,
        "CapScope": "all",
        "Control": "by_count",
        "ExposureWindow": 4000.0,
        "GuardedStages": 1,
        "SpareTries": 2.0,
        "StageCap": [0.08, 0.2, 0.5, 1.0, 1.0],
        "Steps": [0.04, 0.1, 0.25, 0.55, 1.0],
        "VoteAllowance": 75.0,
    },
    "Lanes": [
        {"Name": "fitment", "Effect": "idempotent", "Slo": 1200.0, "GiveUp": 5000.0, "Worth": 3.0},
        {"Name": "stock-check", "Effect": "idempotent", "Slo": 1000.0, "GiveUp": 2500.0, "Worth": 1.0},
        {
            "Name": "reserve",
            "Effect": "deduplicated",
            "Group": "all",
            "Window": 8000.0,
            "Slo": 1000.0,
            "GiveUp": 4000.0,
            "Worth": 2.0,
        },
    ],
    "Limits": {
        "AttemptsCap": 5,
        "Cancel": True,
        "ConnectTimeout": 250.0,
        "IdleClose": 15000.0,
        "MaxRetryAfter": 500.0,
        "MayDuplicate": True,
        "RetryAfter": True,
    },
    "Obligations": {
        "AnswerSlack": 20.0,
        "AskWithin": 10000.0,
        "Cold": 4900.0,
        "ColdFrom": 0.47,
        "DrainGrace": 250.0,
        "Fall": 3000.0,
        "OverloadFactor": 4.0,
    },
    "Projects": [{"Name": "north-motors", "QuotaPerS": 63.0}, {"Name": "plaines-auto", "QuotaPerS": 56.0}],
}


class NotRun(Exception):
    """The case could not run."""


class Case:
    """One run: its temporary folder, its processes and its record. `lines` go to record.txt at the end."""

    def __init__(self, folder):
        self.record, self.lines, self.began = Path(folder) / "record.txt", [], time.monotonic()
        self.lock, self.stack = threading.Lock(), contextlib.ExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory(prefix="review-")))
        self.processes, self.listens = [], {}

    def note(self, text):
        """Adds a line to the record, with the seconds since the start."""
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.began:8.3f}  {text}")

    def start(self, command, name, **more):
        """Starts a program from the project's root; its output goes to a file of the temporary folder."""
        (self.folder / f"tmp-{name}").mkdir(exist_ok=True)
        environment = {**os.environ, "TMPDIR": str(self.folder / f"tmp-{name}"), **more}
        environment = {key: value for key, value in environment.items() if key != "TROUBLE"}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.processes.append(process)
        return process

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def gateway(self, name, listen, discovery, platform, servers, settings=None, extra=None):
        """Starts a gateway with the deploy file's `run` and waits for its +PONG."""
        config = {
            "name": name,
            "listen": listen,
            "discovery": discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "release_api": {
                "address": platform,
                "news": {"release": 1, "tranche": 0, "mode": "released", "exposure": 1.0, "old_ms": 60000},
            },
            "known": {"version": 1, "full": True, "servers": servers},
            "settings": {**SETTINGS, **(settings or {})},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": name,
            "ROUTER_LISTEN": listen,
            "ROUTER_DISCOVERY": discovery,
            **(extra or {}),
        }
        process, self.listens[name] = self.start(["/bin/sh", "-c", run], name, **environment), listen
        until(lambda: pong(listen) or process.poll() is not None, f"{name} does not answer PING")
        if process.poll() is not None:
            raise NotRun(f"{name} ended at its start")
        return process

    def end(self):
        """Ends all processes of this case and removes its folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.stack.close()


def run_case(folder, case):
    """Runs `case(Case)`, which returns the breaks as texts, writes the record and ends with the exit code."""
    this = Case(folder)
    this.note(f"TROUBLE={int(TROUBLE)}")
    try:
        breaks = case(this)
        code = BROKEN if breaks else HELD
        for text in breaks:
            this.note(f"BREAK: {text}")
        this.note("the rule was broken" if breaks else "the rule held")
    except Exception as error:  # a fault of the case itself is no break of a rule
        this.note(f"the case could not run: {type(error).__name__}: {error}")
        code = NO_RUN
    finally:
        this.end()
    this.record.write_text("\n".join(this.lines) + "\n")
    print(this.lines[-1])
    sys.stdout.flush()
    os._exit(code)


def until(condition, what, seconds=30.0):
    """Waits until the condition is true and returns its value; NotRun with `what` after `seconds`."""
    end = time.monotonic() + seconds
    while not (value := condition()):
        if time.monotonic() > end:
            raise NotRun(what() if callable(what) else what)
        time.sleep(0.01)
    return value


def free_address(host="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


def split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def call(address, method, path, body=None, timeout=3.0):
    """Returns (status, object) of a call to a member, or (0, reason) without an answer. `body`: an object, or
    bytes that go as they are."""
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    connection = http.client.HTTPConnection(*split_address(address), timeout=timeout)
    try:
        connection.request(method, path, data)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        return 0, type(error).__name__
    finally:
        connection.close()


def pong(address):
    """Returns whether a gateway answers PING."""
    with contextlib.suppress(OSError), socket.create_connection(split_address(address), 1.0) as sock:
        sock.sendall(b"*1\r\n$4\r\nPING\r\n")
        return sock.recv(64) == b"+PONG\r\n"
    return False


def command(*words):
    """Returns a command as RESP2 writes it."""
    words = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def server_entry(id, address, state="up", build=1, started=0):
    """Returns an entry of discovery's list."""
    return {
        "id": id,
        "addr": address,
        "zone": "port-louis",
        "kind": "full-speed",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": started,
        "revision_no": build,
    }
