"""Measures the latency that a gateway adds to requests.

`python -m benchmarks.added_latency [--rates 20 82 250 800] [--json FILE]` takes about three minutes with
the default options. Clients send requests through a gateway to stand-in instances, and the same arrivals
through a bare relay to the same instances.

The load is an open loop: arrivals are drawn from a seed beforehand, and a request's latency counts from the
time at which it was due, so that queueing behind other requests counts. Each rate is played in short rounds
that alternate between gateway and relay, so that other load on the machine affects both alike. The
percentiles come from an HDR histogram; the instances and the relay run in their own processes.
"""

import argparse
import contextlib
import json
import multiprocessing
import random
import socket
import tempfile
import threading
import time
from collections import Counter, deque
from pathlib import Path
from types import SimpleNamespace

from hdrh.histogram import HdrHistogram

from lemonlead.standins import fleet
from lemonlead.standins.clients import Client
from lemonlead.standins.instances import InstanceServer

PERCENTILES = (50, 90, 99)
MAX_LATENCY_US = 60_000_000  # the end of the histograms' range
SIGNIFICANT_DIGITS = 3  # of the histograms
MAX_CLIENTS = 256
MAX_IDLE_SECONDS = 1.0  # then a client reconnects, because gateways close connections that are idle for long


def instances(count, pipe):
    """Runs stand-in instances that answer at once, until the pipe is closed."""
    servers = [InstanceServer().start() for _ in range(count)]
    pipe.send([server.address for server in servers])
    wait_until_closed(pipe)


def relay(addresses, pipe):
    """Relays each client connection over its own connection to an instance, in round-robin order."""
    listener = socket.create_server(("127.0.0.1", 0))
    pipe.send(listener.getsockname()[1])
    threading.Thread(target=accept, args=(listener, deque(addresses)), daemon=True).start()
    wait_until_closed(pipe)


def accept(listener, addresses):
    while True:
        client, _ = listener.accept()
        threading.Thread(target=relay_connection, args=(client, addresses[0]), daemon=True).start()
        addresses.rotate(-1)


def relay_connection(client, address):
    host, _, port = address.rpartition(":")
    with client, socket.create_connection((host, int(port))) as instance, contextlib.suppress(OSError):
        for sock in (client, instance):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while data := client.recv(65536):
            instance.sendall(data)
            if not (data := instance.recv(65536)):
                return
            client.sendall(data)


def wait_until_closed(pipe):
    with contextlib.suppress(EOFError):
        pipe.recv()


@contextlib.contextmanager
def child_process(target, arguments):
    """Runs a function in a child process that ends with the block; yields what it sends first."""
    spawn = multiprocessing.get_context("spawn")
    parent_end, child_end = spawn.Pipe()
    child = spawn.Process(target=target, args=(arguments, child_end), daemon=True)
    child.start()
    child_end.close()
    try:
        yield parent_end.recv()
    finally:
        parent_end.close()
        child.join(5)
        if child.is_alive():
            child.kill()


def arrivals(rate, seconds, seed):
    """Yields the times, in seconds from the start, at which requests of a Poisson process are due."""
    rng, due = random.Random(seed), 0.0
    while (due := due + rng.expovariate(rate)) < seconds:
        yield due


class Load:
    """Sends requests to a port over `clients` connections, each with a thread, and more when all are busy."""

    def __init__(self, port, clients):
        self.port, self.clients = port, clients
        self.lock = threading.Lock()

    def play(self, due, histogram, counts):
        """Sends requests at their due times; records their latency (us) from then and counts the outcomes."""
        self.due, self.histogram, self.counts = iter(due), histogram, counts
        self.threads, self.idle_threads = [], 0
        self.started_at = time.perf_counter() + 0.2
        with self.lock:
            for _ in range(self.clients):
                self.add_client()
        for thread in self.threads:  # threads are added meanwhile
            thread.join()
        counts["most clients"] = max(counts["most clients"], len(self.threads))

    def add_client(self):
        self.idle_threads += 1
        self.threads.append(threading.Thread(target=self.run_client, daemon=True))
        self.threads[-1].start()

    def run_client(self):
        client, last_used_at = Client(self.port), time.perf_counter()
        while True:
            with self.lock:
                if (due := next(self.due, None)) is None:
                    break
            due += self.started_at
            if due - last_used_at > MAX_IDLE_SECONDS:
                time.sleep(max(due - MAX_IDLE_SECONDS / 2 - time.perf_counter(), 0.0))
                client.sock.close()
                client = Client(self.port)
            time.sleep(max(due - time.perf_counter(), 0.0))
            with self.lock:
                self.idle_threads -= 1
                if not self.idle_threads and len(self.threads) < MAX_CLIENTS:
                    self.add_client()
            try:
                response = client.ask().read()
            except OSError:
                response = None
            last_used_at = time.perf_counter()
            with self.lock:
                self.idle_threads += 1
                self.histogram.record_value(max(round((last_used_at - due) * 1e6), 1))
                self.counts["asked"] += 1
                self.counts["answered"] += type(response) in (bytes, list)  # a relay passes on the instance's
            if response is None:
                client.sock.close()
                client = Client(self.port)
        client.sock.close()


def figures(histogram):
    return {
        f"p{percentile}_ms": histogram.get_value_at_percentile(percentile) / 1e3 for percentile in PERCENTILES
    }


def measure_rate(rate, loads, counters, options):
    """Returns the percentiles through gateway and relay at one rate, and their differences and ratios."""
    histograms = {path: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS) for path in loads}
    counts = {path: Counter() for path in loads}
    for load in loads.values():
        due = arrivals(rate, options.warm_up, f"{options.seed} warm-up")
        load.play(due, HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS), Counter())
    before = counters()
    for number in range(options.rounds):
        seconds = options.seconds / options.rounds
        for path, load in loads.items():
            load.play(arrivals(rate, seconds, f"{options.seed} {number}"), histograms[path], counts[path])
    after = counters()
    results = {path: {**counts[path], **figures(histograms[path])} for path in loads}
    gateway, bare = results["gateway"], results["relay"]
    for name in ("connections_made", "connections_rested"):
        gateway[f"{name}_a_request"] = round((after.get(name, 0) - before.get(name, 0)) / gateway["asked"], 4)
    keys = [f"p{percentile}_ms" for percentile in PERCENTILES]
    return {
        "rate": rate,
        **results,
        "added": {key: round(gateway[key] - bare[key], 3) for key in keys},
        "by_relay": {key: round(gateway[key] / bare[key], 2) for key in keys},
    }


def play(options):
    with (
        child_process(instances, options.instances) as addresses,
        child_process(relay, addresses) as port,
        tempfile.TemporaryDirectory() as folder,
    ):
        servers = [SimpleNamespace(address=address, close=lambda: None) for address in addresses]
        with fleet.gateway(Path(folder), *servers) as gateway:
            loads = {"gateway": Load(gateway.port, options.clients), "relay": Load(port, options.clients)}
            for rate in options.rates:
                yield measure_rate(rate, loads, gateway.counters, options)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--rates", type=float, nargs="+", default=[20, 82, 250, 800], help="requests a second"
    )
    parser.add_argument("--instances", type=int, default=20)
    parser.add_argument("--clients", type=int, default=8, help="connections to begin with")
    parser.add_argument("--seconds", type=float, default=20, help="of each rate and way")
    parser.add_argument("--warm-up", type=float, default=2, help="seconds of each rate that are not counted")
    parser.add_argument("--rounds", type=int, default=10, help="turns over which the seconds are spread")
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
