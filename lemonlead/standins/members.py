"""A cluster of members as programs on loopback, for whole-program tests and benchmarks.

`Cluster` starts, kills, pauses, wipes them and asks them; every wait is for a condition and bounded. With
`wires` (lemonlead.standins.wires.Wires) all that members say to each other passes that network, each member
under its own name."""

import contextlib
import http.client
import json
import re
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

from .wires import new_loopback_host, free_address

PATIENCE = 30.0  # seconds that a wait may take on a loaded machine
TIMES = {"election": "400ms", "heartbeat": "60ms"}
SENDER = re.compile(rb"X-Lemonlead-Member: ([A-Za-z0-9_.-]+)", re.IGNORECASE)


class WaitTimeout(AssertionError):
    """What was waited for did not come."""


def until(condition, what, patience=PATIENCE):
    """What the condition gives once it is true; WaitTimeout with `what` (text or function) where it stays
    false."""
    end = time.monotonic() + patience
    while not (found := condition()):
        if time.monotonic() > end:
            raise WaitTimeout(what() if callable(what) else what)
        time.sleep(0.01)
    return found


def who(data):
    """Which member a call is from, by its first bytes; None where more are needed."""
    if found := SENDER.search(data):
        return found[1].decode()
    return "client" if b"\r\n\r\n" in data else None


class Cluster:
    """`names` form it; others may be started with `join`. `times`: fields of the settings' `times`, as text;
    `more`: further lines of the settings. Used as a context it ends all that it started."""

    def __init__(self, folder, names=("g1", "g2", "g3"), cluster="louis", times=None, wires=None, more=""):
        self.folder, self.initial_members, self.cluster, self.wires = (
            Path(folder),
            list(names),
            cluster,
            wires,
        )
        self.times, self.more, self.clusters = {**TIMES, **(times or {})}, more, {}
        self.folder.mkdir(parents=True, exist_ok=True)
        self.listens, self.addresses = {}, {}  # where each listens; where others reach it
        self.processes, self.paused, self.starts = {}, set(), {}
        for name in names:
            self.place(name)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def place(self, name):
        """Draws the addresses of a member."""
        host = new_loopback_host()
        self.listens[name] = self.addresses[name] = free_address(host)
        if self.wires is not None:
            self.wires.set_party_host(name, host)
            self.addresses[name] = self.wires.shared_wire(name, self.listens[name], who)

    def settings(self, name):
        """The file that the member is started with, written anew."""
        pairs = lambda pairs: ", ".join(f"{key}: {json.dumps(value)}" for key, value in pairs)  # noqa: E731
        members = pairs((one, self.addresses[one]) for one in self.initial_members)
        clusters = pairs(self.clusters.items())
        times = "".join(f"times: {what}: {time}\n" for what, time in self.times.items())
        reached = f'reached: "{self.addresses[name]}"\n' if self.wires is not None else ""
        path = self.folder / f"{name}.cue"
        path.write_text(
            f'cluster: "{self.cluster}"\nmember: "{name}"\ndata: {json.dumps(str(self.data(name)))}\n'
            f'listen: "{self.listens[name]}"\n{reached}members: {{{members}}}\nclusters: {{{clusters}}}\n'
            f"{times}{self.more}\n"
        )
        return path

    def data(self, name):
        return self.folder / name

    # ---- processes

    def start(self, *names, join=False, ready=True):
        """Starts these (all that form it, where none is named) and waits until each is ready."""
        names = names or self.initial_members
        for name in names:
            if name not in self.listens:
                self.place(name)
            words = [sys.executable, "-m", "lemonlead", "member", str(self.settings(name))]
            with self.log(name).open("ab") as log, self.log(name, "err").open("ab") as errors:
                self.starts[name] = log.tell()
                self.processes[name] = subprocess.Popen(
                    words + ["--join"] * join, stdout=log, stderr=errors, stdin=subprocess.DEVNULL
                )
        for name in names if ready else ():
            until(
                lambda name=name: self.is_ready(name),
                lambda name=name: f"{name} ready: {self.recent_output(name)}",
            )
        return self

    def is_ready(self, name):
        if self.processes[name].poll() is not None:
            raise WaitTimeout(
                f"{name} ended with {self.processes[name].returncode}: {self.recent_output(name)}"
            )
        return any("event=ready" in line for line in self.lines(name))

    def log(self, name, end="log"):
        return self.folder / f"{name}.{end}"

    def lines(self, name):
        """What it has printed since its last start."""
        return self.log(name).read_bytes()[self.starts.get(name, 0) :].decode(errors="replace").splitlines()

    def recent_output(self, name):
        return "\n".join([*self.lines(name)[-15:], self.log(name, "err").read_text()[-2000:]])

    def running(self):
        return [name for name, process in self.processes.items() if process.poll() is None]

    def kill(self, *names):
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes[name].wait()
            self.paused.discard(name)

    def stop(self, name, patience=PATIENCE):
        """Asks it to end; its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(patience)

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)
        self.paused.add(name)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.paused.discard(name)

    def wipe(self, name):
        """A machine lost with its disk; it must not run."""
        shutil.rmtree(self.data(name))

    def close(self):
        for name in self.running():
            self.processes[name].kill()
        for process in self.processes.values():
            process.wait()

    # ---- asking

    def ask(self, name, method, path, body=None, patience=15.0, headers=None):
        """(status, what the body says as JSON, or its bytes); (0, reason) where there was no answer."""
        host, _, port = self.listens[name].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=patience)
        try:
            data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
            connection.request(method, path, data, headers or {})
            answer = connection.getresponse()
            data = answer.read()
            with contextlib.suppress(ValueError):
                return answer.status, json.loads(data)
            return answer.status, data
        except (OSError, http.client.HTTPException) as error:
            return 0, f"{type(error).__name__}: {error}"
        finally:
            connection.close()

    def status(self, name):
        """As it tells it; empty where it does not answer."""
        code, told = self.ask(name, "GET", "/v1/status", patience=3.0)
        return told if code == 200 else {}

    def command(self, name, **fields):
        return self.ask(name, "POST", "/v1/commands", fields)

    def run_command(self, patience=PATIENCE, **fields):
        """The answer to a command that is asked, at one member after the other, until it is none of 503."""
        end, last = time.monotonic() + patience, None
        while time.monotonic() < end:
            for name in [name for name in self.running() if name not in self.paused]:
                last = self.command(name, **fields)
                if last[0] in (200, 400, 409):
                    return last
            time.sleep(0.02)
        raise WaitTimeout(f"{fields}: {last}")

    def items(self, name, part, local=False):
        """A part of the state, by name; None where it can't be had now."""
        code, told = self.ask(name, "GET", f"/v1/state/{part}{'?read=local' * local}")
        return told["items"] if code == 200 else None

    # ---- conditions

    def leader(self, among=None):
        """The member that says that it leads and whom a majority of those that run follow; None where there
        is none."""
        told = [self.status(name) for name in among or self.running() if name not in self.paused]
        for one in told:
            led = [other for other in told if (other.get("leader"), other.get("term")) == led_by(one)]
            if one.get("role") == "leader" and 2 * len(led) > len(told):
                return one["member"]
        return None

    def wait_leader(self, other_than="", patience=PATIENCE):
        return until(
            lambda: (name := self.leader()) != other_than and name,
            lambda: f"a leader: {[self.status(name) for name in self.running() if name not in self.paused]}",
            patience,
        )

    def wait_status(self, name, patience=PATIENCE, **fields):
        """Until its status has these."""
        return until(
            lambda: (told := self.status(name)).items() >= fields.items() and told,
            lambda: f"{name} {fields}: {self.status(name)}",
            patience,
        )

    def healthy(self):
        """All that form it run and follow one leader, whose name is given."""
        for name in list(self.paused):
            self.resume(name)
        if missing := [name for name in self.initial_members if name not in self.running()]:
            self.start(*missing)
        until(
            lambda: self.leader() and all(self.status(name).get("leader") for name in self.initial_members),
            lambda: f"all follow: {[self.status(name) for name in self.initial_members]}",
        )
        return self.wait_leader()


def led_by(told):
    return told.get("member"), told.get("term")


__all__ = ["Cluster", "WaitTimeout", "until"]
