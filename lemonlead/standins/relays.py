"""Relays on loopback for tests: as programs that follow a `members.Cluster`, and one in this process that is
told what to say; and whoever puts in force what a driver hands on, kept for a look."""

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
from .members import PATIENCE, WaitTimeout, until
from .wires import new_loopback_host, free_address

SECOND = 1_000_000_000
LEASE = "lease: 6s\ngrace: 0s\n"


def ask(address, method, path, body=None, patience=10.0):
    """(status, what the body says); (0, reason) where there was no answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=patience)
    try:
        connection.request(method, path, body if body is None else json.dumps(body).encode())
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        return 0, f"{type(error).__name__}: {error}"
    finally:
        connection.close()


class Relays:
    """Programs. `regions`: name to region. Used as a context it ends all that it started."""

    def __init__(self, folder, cluster, regions, rate=1_000_000, burst=1_000_000, more=LEASE):
        self.folder, self.cluster, self.regions, self.more = folder, cluster, regions, more
        self.rate, self.burst = rate, burst
        self.addresses = {name: free_address(new_loopback_host()) for name in regions}
        self.processes, self.starts = {}, {}

    def __enter__(self):
        for name in self.regions:
            self.start(name)
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def settings(self, name):
        members = ", ".join(f'{one}: "{where}"' for one, where in self.cluster.addresses.items())
        path = self.folder / f"{name}.cue"
        path.write_text(
            f'relay: "{name}"\nregion: "{self.regions[name]}"\nlisten: "{self.addresses[name]}"\n'
            f"members: {{{members}}}\nbudget: {{rate: {self.rate}, burst: {self.burst}}}\n{self.more}"
        )
        return path

    def start(self, name):
        """Until it answers and has the ledger's state."""
        words = [sys.executable, "-m", "lemonlead", "relay", str(self.settings(name))]
        with self.log(name).open("ab") as log:
            self.starts[name] = log.tell()
            self.processes[name] = subprocess.Popen(words, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        until(lambda: self.is_ready(name), lambda: f"{name} ready: {self.recent_output(name)}")

    def is_ready(self, name):
        if (code := self.processes[name].poll()) is not None:
            raise WaitTimeout(f"{name} ended with {code}: {self.recent_output(name)}")
        return "event=ready" in self.recent_output(name) and self.ask(name, "GET", "/readyz")[0] == 200

    def log(self, name):
        return self.folder / f"{name}.log"

    def recent_output(self, name):
        return self.log(name).read_bytes()[self.starts[name] :].decode(errors="replace")

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self, name):
        """Asks it to end; its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(PATIENCE)

    def ask(self, name, method, path, body=None):
        return ask(self.addresses[name], method, path, body)

    def subscriber_arguments(self):
        """As a Subscriber is told them."""
        return [(name, region, self.addresses[name]) for name, region in self.regions.items()]


class LocalRelay:
    """A relay in this process, on a thread of its own, whose source is the test: `replace` and `apply` go to
    it in turn. `later`: moves its clock on, whole seconds."""

    def __init__(self, rate=100_000_000, burst=1_000_000, lease=60 * SECOND, **bounds):
        bounds = {"subscribers": 10, "scopes": 100, "waiting": 8192, "kept": 1000, **bounds}
        self.address, self.ahead, self.is_lost = free_address(new_loopback_host()), 0, False
        self.told = RelaySettings(
            "r1", "north", self.address, {}, Budget(rate, burst), lease, 0, Bounds(**bounds)
        )
        self.loop, self.up = asyncio.new_event_loop(), threading.Event()
        threading.Thread(target=self.loop.run_until_complete, args=(self.main(),), daemon=True).start()
        assert self.up.wait(PATIENCE)

    async def main(self):
        self.over = asyncio.Event()
        log = structlog.wrap_logger(structlog.PrintLogger())
        self.relay = Relay(self.told, self, log, lambda: time.monotonic_ns() + self.ahead)
        await self.relay.start()
        self.up.set()
        await self.over.wait()
        await self.relay.stop()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.loop.call_soon_threadsafe(self.over.set)

    def advance(self, nanoseconds):
        """So much time goes by, look by look: by a leap of the clock nobody is silent."""
        for _ in range(0, nanoseconds, SECOND):
            self.ahead += SECOND
            self.do(lambda: self.relay.acknowledgements.knows_all_subscribers(self.relay.clock()))

    def do(self, work, *values):
        """Calls it on the relay's loop; what it gives."""

        async def call():
            return work(*values)

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(PATIENCE)

    def replace(self, cluster, index, scopes):
        self.do(self.relay.replace, cluster, index, scopes)

    def apply(self, index, *changes):
        self.do(self.relay.apply, index, changes)

    def ask(self, method, path, body=None):
        return ask(self.address, method, path, body)

    # ---- as its source

    async def run(self, relay):
        await asyncio.Event().wait()

    def is_cut_off(self, now):
        return self.is_lost

    def figures(self):
        return {}


class RecordingSubscriber:
    """A driver and what it put in force. `held`: while it is not set, `put` waits. `unfit`: keys that are
    refused. `faulty`: whether `put` raises."""

    def __init__(self, name, region, scopes, relays, seed=1, starts=True):
        self.changes, self.values, self.unfit = [], {}, set()  # in force, by (scope, key)
        self.faulty = False
        self.held, self.entered = threading.Event(), threading.Event()
        self.held.set()
        self.log, self.counters = [], Counters()
        told = SimpleNamespace(**dict.fromkeys(("info", "warning", "error"), self.line))
        self.subscriber = Subscriber(name, region, scopes, relays, seed)
        self.driver = Driver(self.subscriber, self.put, told, self.counters)
        if starts:
            self.driver.start()

    def line(self, event, **fields):
        self.log.append((event, fields))

    def put(self, changes):
        self.entered.set()
        if self.faulty:
            raise ZeroDivisionError("division by zero")
        assert self.held.wait(PATIENCE)
        for scope, key, record in changes:
            if key in self.unfit and record is not None:
                continue
            self.changes.append((scope, key, record))
            if record is None:
                self.values.pop((scope, key), None)
            else:
                self.values[scope, key] = record
        return [(scope, key, f"{key}: unfit") for scope, key, _ in changes if key in self.unfit]

    def wait_for_record(self, scope, key, record):
        """Waits until this is in force, None where nothing is to be."""
        until(
            lambda: self.values.get((scope, key)) == record,
            lambda: f"{scope} {key}: {self.values.get((scope, key))} {self.log[-8:]}",
        )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.held.set()
        self.driver.leave()


__all__ = ["LocalRelay", "Relays", "RecordingSubscriber", "ask"]
