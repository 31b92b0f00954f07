"""Checks what one gateway needs with 16 times the instances against limits.

`python -m benchmarks.instance_growth [--instances 200] [--times 16] [--seconds 30] [--json FILE]` takes about
two minutes with the default options. The exit code is 1 if a limit is exceeded.

The traffic is the same in both runs: an open loop from one client process. The fleet is taken to have as many
gateways as instances, and one of them runs. In each second the same share of all instances drains and becomes
ready again, as discovery reports. Instances are stand-ins in one process, each with its own port, that answer
after some milliseconds. CPU and memory are those of the gateway's process since its start; list bytes are
counted as discovery writes them. The limits are the operators': a multiple of the usual need, and an
allowance.
"""

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

from benchmarks.added_latency import child_process, wait_until_closed
from benchmarks.overload import Clients, cpu_seconds
from lemonlead.gateway import resp
from lemonlead.standins import fleet
from lemonlead.standins.discovery import entry
from lemonlead.standins.instances import value_response

SPARE_DESCRIPTORS = 200
CHANGED_SHARE_PER_SECOND = 0.01  # of all instances; they drain and are ready again a second later
# By name: (factor of the usual need, fixed allowance, allowance for each thousand instances).
LIMITS = {
    "CPU s": (1.4, 0.02, 0.12),
    "peak memory MB": (1.5, 8.0, 4.0),
    "descriptors": (2.0, 40.0, 0.0),
    "connections made": (2.5, 40.0, 0.0),
    "list KB": (2.0, 64.0, 500.0),
}
MIN_SERVED_RATIO = 0.85  # to the share served with the usual number


class InstanceConnection(asyncio.Protocol):
    """A connection to a stand-in instance, which answers each request after `work` seconds."""

    def __init__(self, work):
        self.work, self.reader = work, resp.Reader(commands=True)

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.reader.buffer.add(data)
        while (words := self.reader.next()) is not resp.MORE:
            asyncio.get_running_loop().call_later(self.work, self.transport.write, value_response(words[1]))


def instances(arguments, pipe):
    """Runs `count` stand-in instances until the pipe is closed, and sends their addresses."""
    count, work = arguments
    resource.setrlimit(resource.RLIMIT_NOFILE, (2 * count + SPARE_DESCRIPTORS,) * 2)

    async def serve():
        loop, addresses = asyncio.get_running_loop(), []
        for _ in range(count):
            server = await loop.create_server(lambda: InstanceConnection(work), "127.0.0.1", 0)
            addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        pipe.send(addresses)
        await asyncio.to_thread(wait_until_closed, pipe)

    asyncio.run(serve())


def process_status(pid, name):
    """Returns a number of /proc/PID/status."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise KeyError(name)


class GatewayRun:
    """One run of a gateway with `count` instances."""

    def __init__(self, options, count):
        self.options, self.count = options, count

    def play(self):
        """Runs the gateway under load and returns its figures by name."""
        arguments = self.count, self.options.work / 1e3
        with child_process(instances, arguments) as addresses, tempfile.TemporaryDirectory() as folder:
            servers = [SimpleNamespace(address=address, close=lambda: None) for address in addresses]
            settings = {"Balancers": self.count}
            with fleet.gateway(Path(folder), *servers, settings=settings) as gateway:
                self.gateway, self.servers, self.list_bytes = gateway, servers, 0
                clients = Clients(1, gateway.port, self.options.wait / 1e3, self.options.connections)
                clients.start(self.options.rate, self.options.seconds, self.options.seed)
                self.descriptors = self.publish_changes(time.monotonic() + self.options.seconds)
                counts, _, _ = clients.result()
                return self.figures(counts)

    def publish_changes(self, until):
        """Publishes changes of the list until this time; returns the most descriptors of the gateway."""
        max_descriptors, turn, draining = 0, 0, []
        share = max(round(self.count * CHANGED_SHARE_PER_SECOND), 1)
        while (remaining := until - time.monotonic()) > 0:
            numbers = [(turn * share + n) % self.count for n in range(share)]
            rows = [entry(f"i{n}", self.servers[n], "draining") for n in numbers]
            rows += [entry(f"i{n}", self.servers[n]) for n in draining]
            self.gateway.discovery.publish(*rows)
            self.list_bytes += len(json.dumps(rows))
            draining, turn = numbers, turn + 1
            max_descriptors = max(max_descriptors, len(os.listdir(f"/proc/{self.gateway.process.pid}/fd")))
            time.sleep(min(remaining, 1.0))
        return max_descriptors

    def figures(self, counts):
        pid, counters = self.gateway.process.pid, self.gateway.counters()
        return {
            "CPU s": cpu_seconds(pid),
            "peak memory MB": process_status(pid, "VmHWM") / 1024,
            "descriptors": self.descriptors,
            "connections made": counters["connections_made"],
            "list KB": self.list_bytes / 1024,
            "served": counts["in time"] / sum(counts.values()),
        }


def check_limits(usual, grown, thousands):
    """Returns (name, usual figure, grown figure, limit, whether it is kept) for each figure.

    `thousands` is the larger number of instances, in thousands.
    """
    rows = []
    for name, (factor, allowance, allowance_per_thousand) in LIMITS.items():
        limit = factor * usual[name] + allowance + allowance_per_thousand * thousands
        rows.append((name, usual[name], grown[name], limit, grown[name] <= limit))
    limit = MIN_SERVED_RATIO * usual["served"]
    return [*rows, ("served", usual["served"], grown["served"], limit, grown["served"] >= limit)]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=200, help="the usual number")
    parser.add_argument("--times", type=int, default=16)
    parser.add_argument("--rate", type=float, default=40, help="requests a second of the gateway")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--wait", type=float, default=1000, help="milliseconds that a client waits")
    parser.add_argument("--connections", type=int, default=200, help="of clients, at most")
    parser.add_argument("--work", type=float, default=10, help="milliseconds an instance takes")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, metavar="FILE", help="write the figures there as well")
    options = parser.parse_args()
    grown_count = options.instances * options.times
    rows = check_limits(
        GatewayRun(options, options.instances).play(),
        GatewayRun(options, grown_count).play(),
        grown_count / 1000,
    )
    for name, usual, grown, limit, kept in rows:
        print(f"{name:18} {usual:10.3f} {grown:10.3f}   limit {limit:10.3f}   {'kept' if kept else 'BROKEN'}")
    if options.json:
        options.json.write_text(
            json.dumps({"asked": {**vars(options), "json": options.json.name}, "rows": rows}) + "\n"
        )
    sys.exit(0 if all(row[-1] for row in rows) else 1)


if __name__ == "__main__":
    main()
