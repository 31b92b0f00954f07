"""What a list of so many instances costs one gateway, by its slope: start, memory, a change of one entry, a
whole list, a request; and the deciding module alone, also with a build on trial.

`python -m benchmarks.list_changes [--base REV] [--json FILE] [SIZE ...]`; about half a minute a size. CPU is
that of the gateway's process, what it takes at rest among it; changes and requests are paced."""

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
CHANGES, REQUESTS, REST = 300, 300, 5.0
PACE = 1 / 82  # seconds between requests of one gateway: 230,000 a second over 2,800
TICK = 1 / os.sysconf("SC_CLK_TCK")  # seconds: CPU is told in these
S = 1_000_000_000
MODULE = "module: "
UNITS = {
    "ready": "s",
    "start CPU": "s",
    "memory": "MB",
    "memory after": "MB",
    "CPU at rest": "%",
    "change": "ms",
    "whole list": "ms",
    "request": "ms",
    MODULE + "change": "ms",
    MODULE + "request": "ms",
    MODULE + "request on trial": "ms",
    MODULE + "tick": "ms",
}


# ---- the whole gateway


def cpu(process):
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK


def memory(process):
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("RssAnon")) / 1024


def settled(process):
    """Waits until it is done with what it was told; the CPU that it has used."""
    before = -1.0
    while cpu(process) - before > 2 * TICK:
        before = cpu(process)
        time.sleep(0.5)
    return cpu(process)


def paced(count, pause, act):
    """Acts so often, at even moments; the seconds that it took."""
    begun = time.monotonic()
    for n in range(count):
        act(n)
        time.sleep(max(begun + (n + 1) * pause - time.monotonic(), 0))
    return time.monotonic() - begun


def whole(size, source):
    """The figures of a gateway of this source before so many instances, which one stand-in answers for."""
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
        words, begun = [sys.executable, "-m", "lemonlead.gateway"], time.monotonic()
        environment = {**os.environ, **TUNED, "ROUTER_CONFIG": str(config)}
        with open(Path(folder) / "log", "w+") as log:
            process = subprocess.Popen(words, cwd=source, env=environment, stdout=log)
        try:
            while "event=serving" not in (text := (Path(folder) / "log").read_text()):
                time.sleep(0.002)
            got = {"ready": time.monotonic() - begun}
            port = int(text.split("port=", 1)[1].split()[0])
            got["start CPU"] = before = settled(process)
            got["memory"] = memory(process)
            time.sleep(REST)
            got["CPU at rest"] = 100 * (cpu(process) - before) / REST

            def change(n):
                state = "draining" if n % 2 == 0 else "up"
                discovery.publish({**servers[n // 2 * 7 % size], "state": state}, version=1000 + n)

            before = cpu(process)
            paced(CHANGES, 0.02, change)
            got["change"] = 1e3 * ((after := settled(process)) - before) / CHANGES
            discovery.publish(*servers, full=True, version=5000)
            time.sleep(0.5)
            got["whole list"] = 1e3 * (settled(process) - after)
            got["memory after"] = memory(process)
            client = Client(port)

            def request(n):
                assert client.ask(b"k%d" % n).read() == b"k%d" % n

            paced(REQUESTS, PACE, request)  # connections are made
            before = cpu(process)
            paced(REQUESTS, PACE, request)
            got["request"] = 1e3 * (cpu(process) - before) / REQUESTS
            assert "event=fault" not in (Path(folder) / "log").read_text()
        finally:
            process.kill()
            process.wait()
    return got


# ---- the deciding module alone


class Taken:
    """A door that answers each attempt at once."""

    def __init__(self, made):
        self.made, self.attempts = made, []

    def attempt(self, request, instance_id, time_out):
        self.attempts.append(request.attempts[-1])

    def pull(self, now):
        while self.made.decide(now, self):
            pass
        for attempt in self.attempts:
            self.made.attempt_ended(now + S // 100, attempt, at.SUCCEEDED, S // 100, True, {})
        self.attempts = []

    def log(self, text):
        pass

    reject = vote = cancel = abort = watch_list = lambda self, *_: None


def spent(count, act):
    """Milliseconds of CPU of each."""
    begun = time.process_time()
    for n in range(count):
        act(n)
    return 1e3 * (time.process_time() - begun) / count


def module(size):
    chance, now = random.Random(1), 1000 * S
    request_class = at.RequestClass(0, at.IDEMPOTENT, S, 4 * S, 1.0)
    made = Balancer(
        at.StartSettings(
            now=now,
            seed=1,
            balancer_index=3,
            balancers=2800,
            step=5_000_000,
            request_classes=[request_class],
            idle_time=15 * S,
            attempts_cap=4,
            cold_time=5 * S,
            cold_share=0.4,
            cold_multiple=3.0,
            cold_window=2 * S,
            release=at.Release(window=4 * S, attempts_above_cap=50, vote_lifetime=4 * S),
        )
    )
    lines = [
        at.Instance(f"s-{n}", chance.randrange(16), chance.randrange(3), 1, 0, at.READY, 1.0, 0)
        for n in range(size)
    ]
    made.list_received(now, lines, True, True)
    made.stage_reported(now, 1, 0, at.RELEASED, 1.0, 0)
    door, numbers = Taken(made), iter(range(10**9))

    def change(n):
        line = lines[n * 7 % size]
        for state in (at.DRAINING, at.READY):
            row = at.Instance(line.id, line.zone, line.kind, line.build, 0, state, 1.0, 0)
            made.list_received(now, [row], False, True)

    def request(n):
        nonlocal now
        now += int(PACE * S)
        asked = at.Request(next(numbers), request_class, 0, 0, now, now + 4 * S, S // 100)
        made.request_arrived(now, asked)
        door.pull(now)

    def tick(n):
        made.pair_started_at = None
        made.update_pair(now)

    got = {MODULE + "change": spent(100, change) / 2, MODULE + "tick": spent(100, tick)}
    spent(200, request)
    got[MODULE + "request"] = spent(200, request)
    new = [
        at.Instance(f"t-{n}", lines[n].zone, lines[n].kind, 2, 0, at.READY, 1.0, now - 60 * S)
        for n in range(max(size // 100, 3))
    ]
    made.list_received(now, new, False, True)
    made.stage_reported(now, 2, 0, at.ON_TRIAL, 0.9, 0)
    spent(50, request)
    got[MODULE + "request on trial"] = spent(200, request)
    return got


def measured(size, source):
    words = [sys.executable, __file__, "--module", str(size)]
    environment = {**os.environ, "PYTHONPATH": str(source)}
    told = subprocess.run(words, cwd=source, env=environment, stdout=subprocess.PIPE, check=True).stdout
    return {**whole(size, source), **json.loads(told)}


@contextlib.contextmanager
def sources(base):
    """The present sources and, where it is asked for, those of an earlier revision."""
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
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("sizes", type=int, nargs="*", default=SIZES, metavar="SIZE")
    words.add_argument("--base", help="an earlier revision to hold the present one against")
    words.add_argument("--json", help="a file for the slopes")
    words.add_argument("--module", type=int, metavar="SIZE", help="the deciding module alone, as JSON")
    asked = words.parse_args()
    if asked.module:
        print(json.dumps(module(asked.module)))
        return
    slopes = []
    with sources(asked.base) as ways:
        for way, source in ways.items():
            found = {}
            for size in asked.sizes:
                found[size] = measured(size, source)
                print(f"{way}: {size} instances done", file=sys.stderr, flush=True)
            print(f"{way:28}" + "".join(f"{size:>10}" for size in found))
            for name, unit in UNITS.items():
                print(f"{name + ', ' + unit:28}" + "".join(f"{got[name]:10.2f}" for got in found.values()))
                points = [{"x": size, "y": round(got[name], 4)} for size, got in found.items()]
                slopes.append(
                    {
                        "name": name if way == "now" else f"{name}, {way}",
                        "by": "instances",
                        "points": points,
                        "unit": unit,
                    }
                )
    if asked.json:
        Path(asked.json).write_text(json.dumps(slopes, indent=1) + "\n")


if __name__ == "__main__":
    # its own folder would hide modules of the standard library
    sys.path[:] = [path for path in sys.path if path != str(Path(__file__).parent)]
    main()
