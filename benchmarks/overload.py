"""Measures how a gateway behaves under more load than it can serve.

`python -m benchmarks.overload [--rates 600 900 1200 1800 3000] [--seconds 8] [--json FILE]` takes about a
minute and a half with the default options.

The load is an open loop: arrivals are drawn from a seed and do not depend on the gateway. Several client
processes keep connections, open more when all are busy, and time out after `--wait` milliseconds. Latency
counts from the time at which a request was due. Instances are stand-ins that take `--work` milliseconds.
All rates are played one after the other against one gateway, then the first again, which shows how long the
gateway takes to recover: until nine in ten requests of each half second are served in time. Results of one
run are compared as ratios: the requests in time at a rate, relative to the best rate.
"""

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

from benchmarks.added_latency import (
    MAX_LATENCY_US,
    SIGNIFICANT_DIGITS,
    arrivals,
    child_process,
    wait_until_closed,
)
from lemonlead.gateway import resp
from lemonlead.standins import fleet
from lemonlead.standins.instances import InstanceServer, value_response

SLICE_SECONDS = 0.5  # recovery is judged slice by slice
RECOVERED_SHARE = 0.9  # of a slice's requests are answered in time after recovery
LEAD_SECONDS = 0.2  # before the first arrival and after the last timeout


def instances(arguments, pipe):
    """Runs stand-in instances, each request taking `work` seconds, until the pipe is closed."""
    count, work = arguments

    def react(words):
        time.sleep(work)
        return value_response(words[1])

    servers = [InstanceServer(react).start() for _ in range(count)]
    pipe.send([server.address for server in servers])
    wait_until_closed(pipe)


class Connection(asyncio.Protocol):
    """A client's connection, with one request at a time."""

    def __init__(self, load):
        self.load, self.reader = load, resp.Reader()
        self.transport = self.due = self.timer = None

    def connection_made(self, transport):
        self.transport = transport
        if self.due is not None:
            self.write()

    def send_when_connected(self, due):
        """Takes a request that is due at this time and writes it once the connection is up."""
        self.due = due
        remaining = max(due + self.load.wait - time.perf_counter(), 0.0)
        self.timer = asyncio.get_running_loop().call_later(remaining, self.time_out)
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
            self.end_request("rejected" if rejected else answered)
            self.load.idle.append(self)

    def time_out(self):
        self.end_request("late")
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, _):
        self.load.connection_lost(self)
        if self.due is not None:
            self.end_request("lost")

    def end_request(self, ending):
        self.timer.cancel()
        self.load.record(self.due, ending)
        self.due = None


class Load:
    """Sends one process's share of the requests of a rate."""

    def __init__(self, port, wait, max_connections):
        self.port, self.wait, self.max_connections = port, wait, max_connections
        self.idle, self.open = deque(), set()
        self.counts, self.slices = Counter(), {}
        self.histograms = {
            name: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS) for name in ("in time", "rejected")
        }

    def record(self, due, ending):
        self.counts[ending] += 1
        took = max(round((time.perf_counter() - due) * 1e6), 1)
        if ending in self.histograms:
            self.histograms[ending].record_value(took)
        requests, in_time = self.slices.get(int((due - self.started_at) / SLICE_SECONDS), (0, 0))
        self.slices[int((due - self.started_at) / SLICE_SECONDS)] = (
            requests + 1,
            in_time + (ending == "in time"),
        )

    def connection_lost(self, connection):
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    async def play(self, due_times):
        self.started_at, tasks = time.perf_counter() + LEAD_SECONDS, set()
        for due in due_times:
            due += self.started_at
            if (wait := due - time.perf_counter()) > 0:
                await asyncio.sleep(wait)
            if self.idle:
                self.idle.pop().send_when_connected(due)
            elif len(self.open) < self.max_connections:
                tasks.add(asyncio.create_task(self.connect(due)))
            else:
                self.record(due, "no connection")
        await asyncio.sleep(self.wait + LEAD_SECONDS)
        await asyncio.gather(*tasks)
        for connection in list(self.open):
            if connection.transport is not None:
                connection.transport.abort()

    async def connect(self, due):
        connection = Connection(self)
        self.open.add(connection)
        connection.send_when_connected(due)
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: connection, "127.0.0.1", self.port)
        except OSError:
            self.connection_lost(connection)
            if connection.due is not None:
                connection.end_request("not accepted")


def run_clients(arguments, pipe):
    """Plays the rates that the pipe names, one after the other, and sends back the outcomes of each."""
    port, wait, max_connections = arguments
    pipe.send("ready")
    while True:
        try:
            rate, seconds, seed = pipe.recv()
        except EOFError:
            return
        load = Load(port, wait, max_connections)
        asyncio.run(load.play(arrivals(rate, seconds, seed)))
        histograms = {name: histogram.encode() for name, histogram in load.histograms.items()}
        pipe.send((load.counts, load.slices, histograms))


class Clients:
    """Client processes, each of which plays an equal share of a rate."""

    def __init__(self, count, *arguments):
        spawn, self.pipes = multiprocessing.get_context("spawn"), []
        for _ in range(count):
            parent_end, child_end = spawn.Pipe()
            spawn.Process(target=run_clients, args=(arguments, child_end), daemon=True).start()
            child_end.close()
            parent_end.recv()
            self.pipes.append(parent_end)

    def play(self, rate, seconds, seed):
        """Plays one rate and returns the outcomes of its requests over all processes."""
        self.start(rate, seconds, seed)
        return self.result()

    def start(self, rate, seconds, seed):
        for number, pipe in enumerate(self.pipes):
            pipe.send((rate / len(self.pipes), seconds, f"{seed} {rate} {number}"))

    def result(self):
        """Waits for the end; returns counts by outcome, (requests, in time) by slice, and the histograms."""
        counts, slices = Counter(), {}
        histograms = {
            name: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS) for name in ("in time", "rejected")
        }
        for pipe in self.pipes:
            process_counts, process_slices, encoded = pipe.recv()
            counts += process_counts
            for name, histogram in encoded.items():
                histograms[name].decode_and_add(histogram)
            for number, (requests, in_time) in process_slices.items():
                before = slices.get(number, (0, 0))
                slices[number] = before[0] + requests, before[1] + in_time
        return counts, slices, histograms


def recovered_after(slices):
    """Returns the time, in seconds from the start, after which every slice has recovered."""
    bad = [number for number, (requests, in_time) in slices.items() if in_time < RECOVERED_SHARE * requests]
    return (max(bad, default=-1) + 1) * SLICE_SECONDS


def cpu_seconds(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_rate(clients, gateway, rate, seconds, seed):
    before = cpu_seconds(gateway.process.pid)
    counts, slices, histograms = clients.play(rate, seconds, seed)
    used = cpu_seconds(gateway.process.pid) - before
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


def play(options):
    with (
        child_process(instances, (options.instances, options.work / 1e3)) as addresses,
        tempfile.TemporaryDirectory() as folder,
    ):
        servers = [SimpleNamespace(address=address, close=lambda: None) for address in addresses]
        with fleet.gateway(Path(folder), *servers) as gateway:
            if options.core is not None:
                for task in Path(f"/proc/{gateway.process.pid}/task").iterdir():
                    os.sched_setaffinity(int(task.name), {options.core})
            max_connections = options.connections // options.processes
            clients = Clients(options.processes, gateway.port, options.wait / 1e3, max_connections)
            results = []
            for rate in [*options.rates, options.rates[0]]:
                results.append(measure_rate(clients, gateway, rate, options.seconds, options.seed))
                best = max(result.get("in time", 0) for result in results)
                results[-1]["of the best"] = round(results[-1].get("in time", 0) / max(best, 1), 2)
                yield results[-1]
            counters = gateway.counters()
            yield {name: counters[name] for name in sorted(counters) if "clients" in name}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[600, 900, 1200, 1800, 3000])
    parser.add_argument("--seconds", type=float, default=8, help="of each rate")
    parser.add_argument("--wait", type=float, default=1000, help="milliseconds that a client waits")
    parser.add_argument("--connections", type=int, default=1200, help="at most, of all clients")
    parser.add_argument("--processes", type=int, default=3, help="that play clients")
    parser.add_argument("--instances", type=int, default=20)
    parser.add_argument("--work", type=float, default=10, help="milliseconds an instance takes")
    parser.add_argument(
        "--core", type=int, help="the one core on which the gateway runs, as where it is deployed"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, metavar="FILE", help="write the figures there as well")
    options = parser.parse_args()
    results = []
    for result in play(options):
        results.append(result)
        print(json.dumps(result), flush=True)
    if options.json:
        figures = {"asked": {**vars(options), "json": options.json.name}, "rates": results}
        options.json.write_text(json.dumps(figures, indent=2) + "\n")


if __name__ == "__main__":
    main()
