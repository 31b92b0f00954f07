"""Relays and subscribers on loopback for tests.

`Relays` runs relays as programs that follow a `members.Cluster`. `LocalRelay` is a relay in this process that
sends what the test puts into it. `RecordingSubscriber` is a gateway's subscriber that records the changes it
is given."""

import asyncio
import http.client
import json
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import structlog

from ..distribution.driver import Driver
from ..distribution.relay import Relay
from ..distribution.subscriber import Subscriber
from ..distribution.relay_settings import Bounds, Budget, RelaySettings
from ..gateway.counters import Counters
from .members import WAIT_TIMEOUT_SECONDS, WaitTimeout, until
from .wires import new_loopback_host, free_address

SECOND = 1_000_000_000
LEASE = "lease: 6s\ngrace: 0s\n"


def ask(address, method, path, body=None, timeout=10.0):
    """Sends a request. Returns (status, decoded body); without an answer (0, reason)."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body if body is None else json.dumps(body).encode())
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        return 0, f"{type(error).__name__}: {error}"
    finally:
        connection.close()


class Relays:
    """Relays as programs, started and ended as a context manager. `regions`: relay name to region."""

    def __init__(self, folder, cluster, regions, rate=1_000_000, burst=1_000_000, more=LEASE):
        self.folder = folder
        self.cluster = cluster
        self.regions = regions
        self.more = more
        self.rate = rate
        self.burst = burst
        self.addresses = {name: free_address(new_loopback_host()) for name in regions}
        self.processes = {}
        self.starts = {}

    def __enter__(self):
        for name in self.regions:
            self.start(name)
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def write_settings(self, name):
        """Writes the settings file of the relay and returns its path."""
        members = ", ".join(f'{one}: "{where}"' for one, where in self.cluster.addresses.items())
        path = self.folder / f"{name}.cue"
        path.write_text(
            f'relay: "{name}"\nregion: "{self.regions[name]}"\nlisten: "{self.addresses[name]}"\n'
            f"members: {{{members}}}\nbudget: {{rate: {self.rate}, burst: {self.burst}}}\n{self.more}"
        )
        return path

    def start(self, name):
        """Starts a relay and waits until it answers and has the ledger's state."""
        command = [sys.executable, "-m", "lemonlead", "relay", str(self.write_settings(name))]
        with self.log(name).open("ab") as log:
            self.starts[name] = log.tell()
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        until(lambda: self.is_ready(name), lambda: f"{name} ready: {self.recent_output(name)}")

    def is_ready(self, name):
        if (code := self.processes[name].poll()) is not None:
            raise WaitTimeout(f"{name} ended with {code}: {self.recent_output(name)}")
        return "event=ready" in self.recent_output(name) and self.ask(name, "GET", "/readyz")[0] == 200

    def log(self, name):
        return self.folder / f"{name}.log"

    def recent_output(self, name):
        """Returns what the relay printed since its last start."""
        return self.log(name).read_bytes()[self.starts[name] :].decode(errors="replace")

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self, name):
        """Terminates the relay and returns its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(WAIT_TIMEOUT_SECONDS)

    def ask(self, name, method, path, body=None):
        return ask(self.addresses[name], method, path, body)

    def subscriber_arguments(self):
        """Returns the relays as Subscriber takes them: (name, region, address)."""
        return [(name, region, self.addresses[name]) for name, region in self.regions.items()]


class LocalRelay:
    """A relay in this process, on a thread of its own. The test is its source, by `replace` and `apply`."""

    def __init__(self, rate=100_000_000, burst=1_000_000, lease=60 * SECOND, **bounds):
        bounds = {"subscribers": 10, "scopes": 100, "waiting": 8192, "kept": 1000, **bounds}
        self.address, self.ahead, self.is_cut = free_address(new_loopback_host()), 0, False
        self.settings = RelaySettings(
            "r1", "north", self.address, {}, Budget(rate, burst), lease, 0, Bounds(**bounds)
        )
        self.loop, self.started = asyncio.new_event_loop(), threading.Event()
        threading.Thread(target=self.loop.run_until_complete, args=(self.main(),), daemon=True).start()
        assert self.started.wait(WAIT_TIMEOUT_SECONDS)

    async def main(self):
        self.stopping = asyncio.Event()
        log = structlog.wrap_logger(structlog.PrintLogger())
        self.relay = Relay(self.settings, self, log, lambda: time.monotonic_ns() + self.ahead)
        await self.relay.start()
        self.started.set()
        await self.stopping.wait()
        await self.relay.stop()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.loop.call_soon_threadsafe(self.stopping.set)

    def advance(self, nanoseconds):
        """Moves the relay's clock on by whole seconds.

        It checks the subscribers after each, as none counts as silent for a time that is skipped at once.
        """
        for _ in range(0, nanoseconds, SECOND):
            self.ahead += SECOND
            self.call_on_loop(lambda: self.relay.acknowledgements.knows_all_subscribers(self.relay.clock()))

    def call_on_loop(self, work, *values):
        """Calls a function on the relay's loop and returns its result."""

        async def call():
            return work(*values)

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(WAIT_TIMEOUT_SECONDS)

    def replace(self, cluster, index, scopes):
        self.call_on_loop(self.relay.replace, cluster, index, scopes)

    def apply(self, index, *changes):
        self.call_on_loop(self.relay.apply, index, changes)

    def ask(self, method, path, body=None):
        return ask(self.address, method, path, body)

    # ---- as its source

    async def run(self, relay):
        await asyncio.Event().wait()

    def is_cut_off(self, now):
        return self.is_cut

    def figures(self):
        return {}


class RecordingSubscriber:
    """A driver whose changes are recorded: `changes` in order, `values` those in force.

    `put` waits while `put_allowed` is not set, rejects `rejected_keys` and raises if `put_raises` is set.
    """

    def __init__(self, name, region, scopes, relays, seed=1, starts=True):
        self.changes, self.values, self.rejected_keys = [], {}, set()  # values by (scope, key)
        self.put_raises = False
        self.put_allowed, self.put_called = threading.Event(), threading.Event()
        self.put_allowed.set()
        self.log, self.counters = [], Counters()
        log = SimpleNamespace(**dict.fromkeys(("info", "warning", "error"), self.add_log_line))
        self.subscriber = Subscriber(name, region, scopes, relays, seed)
        self.driver = Driver(self.subscriber, self.put, log, self.counters)
        if starts:
            self.driver.start()

    def add_log_line(self, event, **fields):
        self.log.append((event, fields))

    def put(self, changes):
        self.put_called.set()
        if self.put_raises:
            raise ZeroDivisionError("division by zero")
        assert self.put_allowed.wait(WAIT_TIMEOUT_SECONDS)
        for scope, key, record in changes:
            if key in self.rejected_keys and record is not None:
                continue
            self.changes.append((scope, key, record))
            if record is None:
                self.values.pop((scope, key), None)
            else:
                self.values[scope, key] = record
        return [(scope, key, f"{key}: unfit") for scope, key, _ in changes if key in self.rejected_keys]

    def wait_for_record(self, scope, key, record):
        """Waits until this record is in force; None: until there is none."""
        until(
            lambda: self.values.get((scope, key)) == record,
            lambda: f"{scope} {key}: {self.values.get((scope, key))} {self.log[-8:]}",
        )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.put_allowed.set()
        self.driver.leave()


__all__ = ["LocalRelay", "Relays", "RecordingSubscriber", "ask"]
