"""A cluster of members as programs on loopback, for whole-program tests and benchmarks.

`Cluster` starts, kills, pauses and wipes members and sends them requests; every wait is for a condition and
has a time limit. With `wires` (lemonlead.standins.wires.Wires) all messages between members pass through that
network, where each member is a party under its own name."""

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

WAIT_TIMEOUT_SECONDS = 30.0  # on a loaded machine
DEFAULT_TIMES = {"election": "400ms", "heartbeat": "60ms"}
SENDER_HEADER = re.compile(rb"X-Lemonlead-Member: ([A-Za-z0-9_.-]+)", re.IGNORECASE)


class WaitTimeout(AssertionError):
    """A condition was not met in time."""


def until(condition, what, timeout=WAIT_TIMEOUT_SECONDS):
    """Waits until the condition is true and returns its value.

    Raises WaitTimeout after `timeout` seconds, with `what`: a text, or a function that returns one.
    """
    end = time.monotonic() + timeout
    while not (found := condition()):
        if time.monotonic() > end:
            raise WaitTimeout(what() if callable(what) else what)
        time.sleep(0.01)
    return found


def identify_member(data):
    """Returns the name of the member that sent a call, "client" for others; None if more bytes are needed."""
    if found := SENDER_HEADER.search(data):
        return found[1].decode()
    return "client" if b"\r\n\r\n" in data else None


class Cluster:
    """A cluster that the members of these names form; others are started with `join`.

    `times`: fields of the settings' `times`, as text. `more`: further lines of the settings. `listens`: the
    address at which each member listens; `addresses`: the address at which the others reach it. As a context
    manager it ends all members at the end.
    """

    def __init__(self, folder, names=("g1", "g2", "g3"), cluster="louis", times=None, wires=None, more=""):
        self.folder, self.initial_members, self.cluster, self.wires = (
            Path(folder),
            list(names),
            cluster,
            wires,
        )
        self.times = {**DEFAULT_TIMES, **(times or {})}
        self.more = more
        self.clusters = {}
        self.folder.mkdir(parents=True, exist_ok=True)
        self.listens = {}
        self.addresses = {}
        self.processes, self.paused, self.starts = {}, set(), {}
        for name in names:
            self.assign_addresses(name)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def assign_addresses(self, name):
        """Chooses free addresses for a member."""
        host = new_loopback_host()
        self.listens[name] = self.addresses[name] = free_address(host)
        if self.wires is not None:
            self.wires.set_party_host(name, host)
            self.addresses[name] = self.wires.shared_wire(name, self.listens[name], identify_member)

    def write_settings(self, name):
        """Writes the settings file of the member and returns its path."""
        as_text = lambda pairs: ", ".join(f"{key}: {json.dumps(value)}" for key, value in pairs)  # noqa: E731
        members = as_text((one, self.addresses[one]) for one in self.initial_members)
        clusters = as_text(self.clusters.items())
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
        """Starts these members, by default all initial ones, and waits until each is ready."""
        names = names or self.initial_members
        for name in names:
            if name not in self.listens:
                self.assign_addresses(name)
            command = [sys.executable, "-m", "lemonlead", "member", str(self.write_settings(name))]
            with self.log(name).open("ab") as log, self.log(name, "err").open("ab") as errors:
                self.starts[name] = log.tell()
                self.processes[name] = subprocess.Popen(
                    command + ["--join"] * join, stdout=log, stderr=errors, stdin=subprocess.DEVNULL
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
        """Returns the lines that the member printed since its last start."""
        return self.log(name).read_bytes()[self.starts.get(name, 0) :].decode(errors="replace").splitlines()

    def recent_output(self, name):
        """Returns the end of the member's log and errors, for messages."""
        return "\n".join([*self.lines(name)[-15:], self.log(name, "err").read_text()[-2000:]])

    def running(self):
        return [name for name, process in self.processes.items() if process.poll() is None]

    def kill(self, *names):
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes[name].wait()
            self.paused.discard(name)

    def stop(self, name, timeout=WAIT_TIMEOUT_SECONDS):
        """Terminates the member and returns its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(timeout)

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)
        self.paused.add(name)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.paused.discard(name)

    def wipe(self, name):
        """Removes the data of a member that does not run, as when a machine is lost with its disk."""
        shutil.rmtree(self.data(name))

    def close(self):
        for name in self.running():
            self.processes[name].kill()
        for process in self.processes.values():
            process.wait()

    # ---- requests

    def ask(self, name, method, path, body=None, timeout=15.0, headers=None):
        """Sends a request. Returns (status, JSON or bytes of the body); without an answer (0, reason)."""
        host, _, port = self.listens[name].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
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
        """Returns the member's status; empty if it does not answer."""
        code, status = self.ask(name, "GET", "/v1/status", timeout=3.0)
        return status if code == 200 else {}

    def command(self, name, **fields):
        return self.ask(name, "POST", "/v1/commands", fields)

    def run_command(self, timeout=WAIT_TIMEOUT_SECONDS, **fields):
        """Sends a command to one member after another until one decides it. Returns (status, body)."""
        end, last = time.monotonic() + timeout, None
        while time.monotonic() < end:
            for name in [name for name in self.running() if name not in self.paused]:
                last = self.command(name, **fields)
                if last[0] in (200, 400, 409):
                    return last
            time.sleep(0.02)
        raise WaitTimeout(f"{fields}: {last}")

    def items(self, name, part, local=False):
        """Returns the items of a part of the state by name; None if the member cannot answer now."""
        code, body = self.ask(name, "GET", f"/v1/state/{part}{'?read=local' * local}")
        return body["items"] if code == 200 else None

    # ---- conditions

    def leader(self, among=None):
        """Returns the member that reports to lead and that most of the running members follow, or None."""
        statuses = [self.status(name) for name in among or self.running() if name not in self.paused]
        for status in statuses:
            led = [
                other
                for other in statuses
                if (other.get("leader"), other.get("term")) == leadership_of(status)
            ]
            if status.get("role") == "leader" and 2 * len(led) > len(statuses):
                return status["member"]
        return None

    def wait_leader(self, other_than="", timeout=WAIT_TIMEOUT_SECONDS):
        return until(
            lambda: (name := self.leader()) != other_than and name,
            lambda: f"a leader: {[self.status(name) for name in self.running() if name not in self.paused]}",
            timeout,
        )

    def wait_status(self, name, timeout=WAIT_TIMEOUT_SECONDS, **fields):
        """Waits until the member's status has these fields and returns it."""
        return until(
            lambda: (status := self.status(name)).items() >= fields.items() and status,
            lambda: f"{name} {fields}: {self.status(name)}",
            timeout,
        )

    def healthy(self):
        """Resumes and starts initial members as needed. Returns the name of the leader that all follow."""
        for name in list(self.paused):
            self.resume(name)
        if missing := [name for name in self.initial_members if name not in self.running()]:
            self.start(*missing)
        until(
            lambda: self.leader() and all(self.status(name).get("leader") for name in self.initial_members),
            lambda: f"all follow: {[self.status(name) for name in self.initial_members]}",
        )
        return self.wait_leader()


def leadership_of(status):
    """Returns (member, term) of a status."""
    return status.get("member"), status.get("term")


__all__ = ["Cluster", "WaitTimeout", "until"]
