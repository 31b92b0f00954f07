"""Measures what an instance list costs one gateway, at several sizes of the list.

`python -m benchmarks.list_changes [--base REV] [--json FILE] [SIZE ...]` takes about half a minute for each
size. It measures the gateway's start, its memory, a change of one entry, a whole list and a request, and the
balancer alone, also with a build on trial. CPU time is that of the gateway's process, including what it uses
when idle; changes and requests are paced.
"""

import argparse
import contextlib
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from lemonlead import interface as at
from lemonlead.balance import Balancer

ROOT = Path(__file__).parents[1]
SIZES = 150, 1500, 5000, 23_000
CHANGES, REQUESTS, IDLE_SECONDS = 300, 300, 5.0
REQUEST_INTERVAL = 1 / 82  # seconds, at one gateway: 230,000 requests a second over 2,800 gateways
CPU_TICK = 1 / os.sysconf("SC_CLK_TCK")  # seconds; the unit in which the system counts CPU time
NS_PER_SECOND = 1_000_000_000
MODULE_PREFIX = "module: "
UNITS = {
    "ready": "s",
    "start CPU": "s",
    "memory": "MB",
    "memory after": "MB",
    "CPU at rest": "%",
    "change": "ms",
    "whole list": "ms",
    "request": "ms",
    MODULE_PREFIX + "change": "ms",
    MODULE_PREFIX + "request": "ms",
    MODULE_PREFIX + "request on trial": "ms",
    MODULE_PREFIX + "tick": "ms",
}


# ---- the whole gateway


def cpu(process):
    """Returns the CPU time of a process in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * CPU_TICK


def memory(process):
    """Returns the anonymous resident memory of a process in MiB."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("RssAnon")) / 1024


def cpu_when_settled(process):
    """Waits until the process has finished its work, and returns the CPU time that it has used."""
    before = -1.0
    while cpu(process) - before > 2 * CPU_TICK:
        before = cpu(process)
        time.sleep(0.5)
    return cpu(process)


def run_paced(count, interval, act):
    """Calls `act` `count` times at even intervals (s), and returns the seconds that it took."""
    started_at = time.monotonic()
    for n in range(count):
        act(n)
        time.sleep(max(started_at + (n + 1) * interval - time.monotonic(), 0))
    return time.monotonic() - started_at


def measure_gateway(size, source):
    """Returns the figures of a gateway from these sources; one stand-in answers for all instances."""
    from benchmarks.start import TUNED, known
    from lemonlead.standins.clients import Client
    from lemonlead.standins.discovery import DiscoveryServer
    from lemonlead.standins.fleet import SETTINGS
    from lemonlead.standins.instances import InstanceServer

    discovery, instances = DiscoveryServer().start(), InstanceServer(host="0.0.0.0").start()
    servers = known(size)
    port = instances.address.rsplit(":", 1)[1]
    for n, server in enumerate(servers):
        server["addr"] = f"127.{1 + n // 60000}.{n // 250 % 250}.{n % 250 + 1}:{port}"
    discovery.publish(*servers, full=True)
    closing = contextlib.closing
    with tempfile.TemporaryDirectory() as folder, closing(discovery), closing(instances):
        config = Path(folder) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "g0",
                    "listen": "127.0.0.1:0",
                    "discovery": discovery.address,
                    "seed": "8c1f30d27a5be964",
                    "known": {"version": 1, "full": True, "servers": servers},
                    "settings": {**SETTINGS, "Discovery": "push"},
                }
            )
        )
        command, started_at = [sys.executable, "-m", "lemonlead.gateway"], time.monotonic()
        environment = {**os.environ, **TUNED, "ROUTER_CONFIG": str(config)}
        with open(Path(folder) / "log", "w+") as log:
            process = subprocess.Popen(command, cwd=source, env=environment, stdout=log)
        try:
            while "event=serving" not in (text := (Path(folder) / "log").read_text()):
                time.sleep(0.002)
            figures = {"ready": time.monotonic() - started_at}
            port = int(text.split("port=", 1)[1].split()[0])
            figures["start CPU"] = before = cpu_when_settled(process)
            figures["memory"] = memory(process)
            time.sleep(IDLE_SECONDS)
            figures["CPU at rest"] = 100 * (cpu(process) - before) / IDLE_SECONDS

            def change(n):
                state = "draining" if n % 2 == 0 else "up"
                discovery.publish({**servers[n // 2 * 7 % size], "state": state}, version=1000 + n)

            before = cpu(process)
            run_paced(CHANGES, 0.02, change)
            figures["change"] = 1e3 * ((after := cpu_when_settled(process)) - before) / CHANGES
            discovery.publish(*servers, full=True, version=5000)
            time.sleep(0.5)
            figures["whole list"] = 1e3 * (cpu_when_settled(process) - after)
            figures["memory after"] = memory(process)
            client = Client(port)

            def request(n):
                assert client.ask(b"k%d" % n).read() == b"k%d" % n

            run_paced(REQUESTS, REQUEST_INTERVAL, request)  # opens the connections
            before = cpu(process)
            run_paced(REQUESTS, REQUEST_INTERVAL, request)
            figures["request"] = 1e3 * (cpu(process) - before) / REQUESTS
            assert "event=fault" not in (Path(folder) / "log").read_text()
        finally:
            process.kill()
            process.wait()
    return figures


# ---- the balancer alone


class AnsweringHost:
    """A balancer host that answers each attempt at once."""

    def __init__(self, balancer):
        self.balancer, self.attempts = balancer, []

    def attempt(self, request, instance_id, time_out):
        self.attempts.append(request.attempts[-1])

    def run_decisions(self, now):
        """Carries out all pending decisions; their attempts succeed after 10 ms."""
        while self.balancer.decide(now, self):
            pass
        for attempt in self.attempts:
            self.balancer.attempt_ended(
                now + NS_PER_SECOND // 100, attempt, at.SUCCEEDED, NS_PER_SECOND // 100, True, {}
            )
        self.attempts = []

    def log(self, text):
        pass

    reject = vote = cancel = abort = watch_list = lambda self, *_: None


def cpu_per_call(count, act):
    """Calls `act` `count` times and returns the CPU time of one call in milliseconds."""
    started_at = time.process_time()
    for n in range(count):
        act(n)
    return 1e3 * (time.process_time() - started_at) / count


def measure_balancer(size):
    """Returns the figures of a balancer alone, with this many instances."""
    rng, now = random.Random(1), 1000 * NS_PER_SECOND
    request_class = at.RequestClass(0, at.IDEMPOTENT, NS_PER_SECOND, 4 * NS_PER_SECOND, 1.0)
    balancer = Balancer(
        at.StartSettings(
            now=now,
            seed=1,
            balancer_index=3,
            balancers=2800,
            step=5_000_000,
            request_classes=[request_class],
            idle_time=15 * NS_PER_SECOND,
            attempts_cap=4,
            cold_time=5 * NS_PER_SECOND,
            cold_share=0.4,
            cold_multiple=3.0,
            cold_window=2 * NS_PER_SECOND,
            release=at.Release(
                window=4 * NS_PER_SECOND, attempts_above_cap=50, vote_lifetime=4 * NS_PER_SECOND
            ),
        )
    )
    entries = [
        at.Instance(f"s-{n}", rng.randrange(16), rng.randrange(3), 1, 0, at.READY, 1.0, 0)
        for n in range(size)
    ]
    balancer.list_received(now, entries, True, True)
    balancer.stage_reported(now, 1, 0, at.RELEASED, 1.0, 0)
    host, numbers = AnsweringHost(balancer), iter(range(10**9))

    def change(n):
        entry = entries[n * 7 % size]
        for state in (at.DRAINING, at.READY):
            changed = at.Instance(entry.id, entry.zone, entry.kind, entry.build, 0, state, 1.0, 0)
            balancer.list_received(now, [changed], False, True)

    def request(n):
        nonlocal now
        now += int(REQUEST_INTERVAL * NS_PER_SECOND)
        arrived = at.Request(
            next(numbers), request_class, 0, 0, now, now + 4 * NS_PER_SECOND, NS_PER_SECOND // 100
        )
        balancer.request_arrived(now, arrived)
        host.run_decisions(now)

    def tick(n):
        balancer.pair_started_at = None
        balancer.update_pair(now)

    figures = {
        MODULE_PREFIX + "change": cpu_per_call(100, change) / 2,
        MODULE_PREFIX + "tick": cpu_per_call(100, tick),
    }
    cpu_per_call(200, request)
    figures[MODULE_PREFIX + "request"] = cpu_per_call(200, request)
    new = [
        at.Instance(f"t-{n}", entries[n].zone, entries[n].kind, 2, 0, at.READY, 1.0, now - 60 * NS_PER_SECOND)
        for n in range(max(size // 100, 3))
    ]
    balancer.list_received(now, new, False, True)
    balancer.stage_reported(now, 2, 0, at.ON_TRIAL, 0.9, 0)
    cpu_per_call(50, request)
    figures[MODULE_PREFIX + "request on trial"] = cpu_per_call(200, request)
    return figures


def measure(size, source):
    """Returns all figures for this number of instances, by name."""
    command = [sys.executable, __file__, "--module", str(size)]
    environment = {**os.environ, "PYTHONPATH": str(source)}
    output = subprocess.run(command, cwd=source, env=environment, stdout=subprocess.PIPE, check=True).stdout
    return {**measure_gateway(size, source), **json.loads(output)}


@contextlib.contextmanager
def sources(base):
    """Yields the folders of the present sources and, if `base` is given, of that revision, by name."""
    if not base:
        yield {"now": ROOT}
        return
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "tree"
        subprocess.run(["git", "worktree", "add", "-q", "--detach", str(tree), base], cwd=ROOT, check=True)
        try:
            yield {"now": ROOT, base: tree}
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(tree)], cwd=ROOT, check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", type=int, nargs="*", default=SIZES, metavar="SIZE")
    parser.add_argument("--base", help="an earlier revision to hold the present one against")
    parser.add_argument("--json", help="a file for the slopes")
    parser.add_argument("--module", type=int, metavar="SIZE", help="the deciding module alone, as JSON")
    options = parser.parse_args()
    if options.module:
        print(json.dumps(measure_balancer(options.module)))
        return
    slopes = []
    with sources(options.base) as revisions:
        for revision, source in revisions.items():
            results = {}
            for size in options.sizes:
                results[size] = measure(size, source)
                print(f"{revision}: {size} instances done", file=sys.stderr, flush=True)
            print(f"{revision:28}" + "".join(f"{size:>10}" for size in results))
            for name, unit in UNITS.items():
                print(
                    f"{name + ', ' + unit:28}"
                    + "".join(f"{figures[name]:10.2f}" for figures in results.values())
                )
                points = [{"x": size, "y": round(figures[name], 4)} for size, figures in results.items()]
                slopes.append(
                    {
                        "name": name if revision == "now" else f"{name}, {revision}",
                        "by": "instances",
                        "points": points,
                        "unit": unit,
                    }
                )
    if options.json:
        Path(options.json).write_text(json.dumps(slopes, indent=1) + "\n")


if __name__ == "__main__":
    # modules in this folder would hide modules of the standard library
    sys.path[:] = [path for path in sys.path if path != str(Path(__file__).parent)]
    main()
