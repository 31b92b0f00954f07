"""How a gateway does past what it can serve: `python -m benchmarks.overload [--rates 600 900 1200 1800 3000]
[--seconds 8] [--json FILE]`; about a minute and a half as it stands.

Open loop: arrivals are drawn from a seed and come whatever the gateway does, from several processes of
clients that keep connections, open more while all are taken up, and give up after `--wait` milliseconds.
Latency counts from the moment that a request was due. Instances are stand-ins that take `--work`
milliseconds. Rates are played one after the other against one gateway, then the lowest again, in which the
time is taken until nine in ten of a half second are served. Figures of one run are compared as ratios: each
rate's requests in time over the best rate's."""

import argparse
import asyncio
import json
import multiprocessing
import os
import tempfile
import time
from collections import Counter, deque
from pathlib import Path
from types import SimpleNamespace

from hdrh.histogram import HdrHistogram

from benchmarks.added_latency import DIGITS, MOST_US, arrivals, ended, process
from lemonlead.gateway import resp
from lemonlead.standins import fleet
from lemonlead.standins.instances import InstanceServer, value_response

SLICE = 0.5  # seconds, in which recovery is looked for
RECOVERED = 0.9  # share of a slice's requests that are answered in time
SPREAD = 0.2  # seconds before the first arrival


def instances(asked, pipe):
    """Stand-in instances that take some milliseconds, until the pipe ends."""
    count, work = asked

    def react(words):
        time.sleep(work)
        return value_response(words[1])

    servers = [InstanceServer(react).start() for _ in range(count)]
    pipe.send([server.address for server in servers])
    ended(pipe)


class Connection(asyncio.Protocol):
    """One client's connection, with one request at a time."""

    def __init__(self, load):
        self.load, self.reader = load, resp.Reader()
        self.transport = self.due = self.timer = None

    def connection_made(self, transport):
        self.transport = transport
        if self.due is not None:
            self.write()

    def ask(self, due):
        """Writes a request that was due at this moment, once the connection is up."""
        self.due = due
        left = max(due + self.load.wait - time.perf_counter(), 0.0)
        self.timer = asyncio.get_running_loop().call_later(left, self.give_up)
        if self.transport is not None:
            self.write()

    def write(self):
        extras = b"c=look,t=acme,d=%d" % round(self.load.wait * 1e3)
        request_id = os.urandom(8).hex().encode()
        self.transport.write(resp.command([b"Q.ASK", b"aa", request_id, extras]))

    def data_received(self, data):
        self.reader.buffer.add(data)
        if self.due is not None and (value := self.reader.next()) is not resp.MORE:
            rejected = isinstance(value, resp.Fault) and value.startswith(b"BUSY")
            answered = "failed" if isinstance(value, resp.Fault) else "in time"
            self.over("rejected" if rejected else answered)
            self.load.free.append(self)

    def give_up(self):
        self.over("late")
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, _):
        self.load.lost(self)
        if self.due is not None:
            self.over("lost")

    def over(self, ending):
        self.timer.cancel()
        self.load.record(self.due, ending)
        self.due = None


class Load:
    """Plays arrivals from one process."""

    def __init__(self, port, wait, most):
        self.port, self.wait, self.most = port, wait, most
        self.free, self.open = deque(), set()
        self.counts, self.slices = Counter(), {}
        self.histograms = {name: HdrHistogram(1, MOST_US, DIGITS) for name in ("in time", "rejected")}

    def record(self, due, ending):
        self.counts[ending] += 1
        took = max(round((time.perf_counter() - due) * 1e6), 1)
        if ending in self.histograms:
            self.histograms[ending].record_value(took)
        asked, in_time = self.slices.get(int((due - self.begun) / SLICE), (0, 0))
        self.slices[int((due - self.begun) / SLICE)] = asked + 1, in_time + (ending == "in time")

    def lost(self, connection):
        self.open.discard(connection)
        if connection in self.free:
            self.free.remove(connection)

    async def play(self, due):
        self.begun, tasks = time.perf_counter() + SPREAD, set()
        for moment in due:
            moment += self.begun
            if (wait := moment - time.perf_counter()) > 0:
                await asyncio.sleep(wait)
            if self.free:
                self.free.pop().ask(moment)
            elif len(self.open) < self.most:
                tasks.add(asyncio.create_task(self.connect(moment)))
            else:
                self.record(moment, "no connection")
        await asyncio.sleep(self.wait + SPREAD)
        await asyncio.gather(*tasks)
        for connection in list(self.open):
            if connection.transport is not None:
                connection.transport.abort()

    async def connect(self, due):
        connection = Connection(self)
        self.open.add(connection)
        connection.ask(due)
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: connection, "127.0.0.1", self.port)
        except OSError:
            self.lost(connection)
            if connection.due is not None:
                connection.over("not accepted")


def clients(asked, pipe):
    """Plays what the pipe says, one list of arrivals after the other, and sends what became of them."""
    port, wait, most = asked
    pipe.send("ready")
    while True:
        try:
            rate, seconds, seed = pipe.recv()
        except EOFError:
            return
        load = Load(port, wait, most)
        asyncio.run(load.play(arrivals(rate, seconds, seed)))
        histograms = {name: histogram.encode() for name, histogram in load.histograms.items()}
        pipe.send((load.counts, load.slices, histograms))


class Clients:
    """Processes of clients; each plays its part of a rate."""

    def __init__(self, count, *told):
        spawn, self.pipes = multiprocessing.get_context("spawn"), []
        for _ in range(count):
            ours, theirs = spawn.Pipe()
            spawn.Process(target=clients, args=(told, theirs), daemon=True).start()
            theirs.close()
            ours.recv()
            self.pipes.append(ours)

    def play(self, rate, seconds, seed):
        """What became of the requests of one rate, over all processes."""
        self.start(rate, seconds, seed)
        return self.result()

    def start(self, rate, seconds, seed):
        for number, pipe in enumerate(self.pipes):
            pipe.send((rate / len(self.pipes), seconds, f"{seed} {rate} {number}"))

    def result(self):
        """Waits for the end; what became of each, the share in time by half seconds, the histograms."""
        counts, slices = Counter(), {}
        histograms = {name: HdrHistogram(1, MOST_US, DIGITS) for name in ("in time", "rejected")}
        for pipe in self.pipes:
            more, parts, encoded = pipe.recv()
            counts += more
            for name, histogram in encoded.items():
                histograms[name].decode_and_add(histogram)
            for number, (asked, in_time) in parts.items():
                before = slices.get(number, (0, 0))
                slices[number] = before[0] + asked, before[1] + in_time
        return counts, slices, histograms


def recovered_after(slices):
    """Seconds into a run from which on nine in ten of each half second are in time."""
    bad = [number for number, (asked, in_time) in slices.items() if in_time < RECOVERED * asked]
    return (max(bad, default=-1) + 1) * SLICE


def cpu_seconds(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measured(loads, ran, rate, seconds, seed):
    before = cpu_seconds(ran.process.pid)
    counts, slices, histograms = loads.play(rate, seconds, seed)
    used = cpu_seconds(ran.process.pid) - before
    percentiles = {
        f"{name} p{part} ms": round(histogram.get_value_at_percentile(part) / 1e3, 1)
        for name, histogram in histograms.items()
        for part in (50, 99)
    }
    per_second = {name: round(count / seconds) for name, count in sorted(counts.items())}
    return {
        "rate": rate,
        **per_second,
        **percentiles,
        "cpu ms a request": round(1e3 * used / sum(counts.values()), 3),
        "recovered after s": recovered_after(slices),
    }


def play(asked):
    with (
        process(instances, (asked.instances, asked.work / 1e3)) as addresses,
        tempfile.TemporaryDirectory() as folder,
    ):
        servers = [SimpleNamespace(address=address, close=lambda: None) for address in addresses]
        with fleet.gateway(Path(folder), *servers) as ran:
            if asked.core is not None:
                for task in Path(f"/proc/{ran.process.pid}/task").iterdir():
                    os.sched_setaffinity(int(task.name), {asked.core})
            most = asked.connections // asked.processes
            loads = Clients(asked.processes, ran.port, asked.wait / 1e3, most)
            found = []
            for rate in [*asked.rates, asked.rates[0]]:
                found.append(measured(loads, ran, rate, asked.seconds, asked.seed))
                best = max(told.get("in time", 0) for told in found)
                found[-1]["of the best"] = round(found[-1].get("in time", 0) / max(best, 1), 2)
                yield found[-1]
            counters = ran.counters()
            yield {name: counters[name] for name in sorted(counters) if "clients" in name}


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--rates", type=float, nargs="+", default=[600, 900, 1200, 1800, 3000])
    words.add_argument("--seconds", type=float, default=8, help="of each rate")
    words.add_argument("--wait", type=float, default=1000, help="milliseconds that a client waits")
    words.add_argument("--connections", type=int, default=1200, help="at most, of all clients")
    words.add_argument("--processes", type=int, default=3, help="that play clients")
    words.add_argument("--instances", type=int, default=20)
    words.add_argument("--work", type=float, default=10, help="milliseconds an instance takes")
    words.add_argument(
        "--core", type=int, help="the one core on which the gateway runs, as where it is deployed"
    )
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--json", type=Path, metavar="FILE", help="write the figures there as well")
    asked = words.parse_args()
    found = []
    for told in play(asked):
        found.append(told)
        print(json.dumps(told), flush=True)
    if asked.json:
        figures = {"asked": {**vars(asked), "json": asked.json.name}, "rates": found}
        asked.json.write_text(json.dumps(figures, indent=2) + "\n")


if __name__ == "__main__":
    main()
