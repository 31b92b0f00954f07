"""What one gateway needs with sixteen times the instances, beside the usual number, each limit a check:
`python -m benchmarks.instance_growth [--instances 200] [--times 16] [--seconds 30] [--json FILE]`; some two
minutes as it stands. Exit code 1 where a limit is not kept.

The traffic is the same in both: an open loop from one process of clients. The fleet has a gateway for each
instance, of which one is played; in each second the same share of all instances drains and comes back, as
discovery tells. Instances are stand-ins in one process, each at a port of its own, that answer after some
milliseconds. CPU and memory are those of the gateway's process, from its start on; bytes of lists are counted
as discovery writes them. The limits are the operators': so many times the usual, and an allowance."""

import argparse
import asyncio
import json
import os
import resource
import sys
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace

from benchmarks.added_latency import ended, process
from benchmarks.overload import Clients, cpu_seconds
from lemonlead.gateway import resp
from lemonlead.standins import fleet
from lemonlead.standins.discovery import entry
from lemonlead.standins.instances import value_response

SPARE_DESCRIPTORS = 200
CHANGED_A_SECOND = 0.01  # of all instances, drained; each is back a second later
# name: (times the usual, more by itself, more for each thousand instances)
MOST = {
    "CPU s": (1.4, 0.02, 0.12),
    "peak memory MB": (1.5, 8.0, 4.0),
    "descriptors": (2.0, 40.0, 0.0),
    "connections made": (2.5, 40.0, 0.0),
    "list KB": (2.0, 64.0, 500.0),
}
LEAST_SERVED = 0.85  # of the share served at the usual number


class Answering(asyncio.Protocol):
    """One connection of an instance."""

    def __init__(self, work):
        self.work, self.reader = work, resp.Reader(commands=True)

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.reader.buffer.add(data)
        while (words := self.reader.next()) is not resp.MORE:
            asyncio.get_running_loop().call_later(self.work, self.transport.write, value_response(words[1]))


def instances(asked, pipe):
    """So many stand-in instances in this process, until the pipe ends; sends their addresses."""
    count, work = asked
    resource.setrlimit(resource.RLIMIT_NOFILE, (2 * count + SPARE_DESCRIPTORS,) * 2)

    async def serve():
        loop, addresses = asyncio.get_running_loop(), []
        for _ in range(count):
            server = await loop.create_server(lambda: Answering(work), "127.0.0.1", 0)
            addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        pipe.send(addresses)
        await asyncio.to_thread(ended, pipe)

    asyncio.run(serve())


def status(pid, name):
    """A figure of the process's status, as the system names it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise KeyError(name)


class Day:
    """One gateway before so many instances."""

    def __init__(self, asked, count):
        self.asked, self.count = asked, count

    def play(self):
        """Its figures, by name."""
        told = self.count, self.asked.work / 1e3
        with process(instances, told) as addresses, tempfile.TemporaryDirectory() as folder:
            servers = [SimpleNamespace(address=address, close=lambda: None) for address in addresses]
            settings = {"Balancers": self.count}
            with fleet.gateway(Path(folder), *servers, settings=settings) as ran:
                self.ran, self.servers, self.list_bytes = ran, servers, 0
                loads = Clients(1, ran.port, self.asked.wait / 1e3, self.asked.connections)
                loads.start(self.asked.rate, self.asked.seconds, self.asked.seed)
                self.descriptors = self.change(time.monotonic() + self.asked.seconds)
                counts, _, _ = loads.result()
                return self.figures(counts)

    def change(self, until):
        """Tells changes of the list until this moment; the most descriptors that the gateway held."""
        most, turn, draining = 0, 0, []
        share = max(round(self.count * CHANGED_A_SECOND), 1)
        while (left := until - time.monotonic()) > 0:
            numbers = [(turn * share + n) % self.count for n in range(share)]
            rows = [entry(f"i{n}", self.servers[n], "draining") for n in numbers]
            rows += [entry(f"i{n}", self.servers[n]) for n in draining]
            self.ran.discovery.publish(*rows)
            self.list_bytes += len(json.dumps(rows))
            draining, turn = numbers, turn + 1
            most = max(most, len(os.listdir(f"/proc/{self.ran.process.pid}/fd")))
            time.sleep(min(left, 1.0))
        return most

    def figures(self, counts):
        pid, counters = self.ran.process.pid, self.ran.counters()
        return {
            "CPU s": cpu_seconds(pid),
            "peak memory MB": status(pid, "VmHWM") / 1024,
            "descriptors": self.descriptors,
            "connections made": counters["connections_made"],
            "list KB": self.list_bytes / 1024,
            "served": counts["in time"] / sum(counts.values()),
        }


def checked(usual, grown, more):
    """Each figure with its limit and whether it is kept. `more`: thousands of instances at the larger."""
    rows = []
    for name, (times, alone, each) in MOST.items():
        limit = times * usual[name] + alone + each * more
        rows.append((name, usual[name], grown[name], limit, grown[name] <= limit))
    limit = LEAST_SERVED * usual["served"]
    return [*rows, ("served", usual["served"], grown["served"], limit, grown["served"] >= limit)]


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--instances", type=int, default=200, help="the usual number")
    words.add_argument("--times", type=int, default=16)
    words.add_argument("--rate", type=float, default=40, help="requests a second of the gateway")
    words.add_argument("--seconds", type=float, default=30)
    words.add_argument("--wait", type=float, default=1000, help="milliseconds that a client waits")
    words.add_argument("--connections", type=int, default=200, help="of clients, at most")
    words.add_argument("--work", type=float, default=10, help="milliseconds an instance takes")
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--json", type=Path, metavar="FILE", help="write the figures there as well")
    asked = words.parse_args()
    most = asked.instances * asked.times
    rows = checked(Day(asked, asked.instances).play(), Day(asked, most).play(), most / 1000)
    for name, usual, grown, limit, kept in rows:
        print(f"{name:18} {usual:10.3f} {grown:10.3f}   limit {limit:10.3f}   {'kept' if kept else 'BROKEN'}")
    if asked.json:
        asked.json.write_text(
            json.dumps({"asked": {**vars(asked), "json": asked.json.name}, "rows": rows}) + "\n"
        )
    sys.exit(0 if all(row[-1] for row in rows) else 1)


if __name__ == "__main__":
    main()
