"""Runs a small fleet on loopback, with real gateways and stand-in instances, to check predictions.

Stand-ins sleep for the time that a request takes, so one computer can run a few dozen of them. Arrivals are
drawn as in `world`, but in real time.
"""

import contextlib
import math
import os
import random
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .. import interface as at
from ..standins import fleet as running
from ..standins.clients import Client
from ..standins.discovery import entry
from ..standins.instances import WorkerInstance
from .fleet import NS_PER_SECOND
from .world import SecondCounts, service_share

MAX_OPEN_REQUESTS = 512  # of clients; a request past them is counted as failed
EFFECTS = {at.IDEMPOTENT: "idempotent", at.DEDUPLICATED: "deduplicated", at.NON_IDEMPOTENT: "at_most_once"}


def gateway_settings(fleet, site):
    """Returns the settings of a gateway of this site."""
    request_classes = [
        {
            "Name": request_class.name,
            "Effect": EFFECTS[request_class.effect],
            "Slo": request_class.goal / 1e6,
            "GiveUp": request_class.stop / 1e6,
            "Worth": request_class.revenue,
            "Window": request_class.memory / 1e6,
        }
        for request_class in fleet.request_classes.values()
    ]
    rules = {
        "Cold": fleet.warm_up_time / 1e6,
        "ColdFrom": fleet.cold_share,
        "DrainGrace": fleet.drain_grace / 1e6,
        "Fall": fleet.cold_window / 1e6,
        "OverloadFactor": fleet.cold_multiple,
    }
    return {
        "Areas": list(fleet.sites),
        "Az": list(fleet.sites).index(site),
        "Skus": list(fleet.kinds),
        "Lanes": request_classes,
        "Balancers": fleet.gateway_count(),
        "Obligations": rules,
        "WorthBy": "work",
        "Projects": [],
        "Limits": {**running.SETTINGS["Limits"], "ConnectTimeout": 250.0},
    }


def make_machine(kind, seed):
    """Returns a stand-in that takes the work that a request states, divided by the kind's speed."""
    machine = WorkerInstance(slots=kind.cores, queue=kind.slots - kind.cores, seed=seed, backlog=512)
    machine.needed_seconds = lambda fields: float(fields.get("h", 0)) / 1e6 / kind.speed
    return machine


class LoopbackRun:
    """A fleet's stand-ins and gateways, and the clients that send the load."""

    def __init__(self, fleet, seed):
        self.fleet, self.random, self.lock = fleet, random.Random(seed), threading.Lock()
        self.machines, self.ports, self.idle_clients = [], {}, {}
        for site, kind, count in fleet.machine_counts():
            self.machines += [(site, kind, make_machine(kind, seed + n)) for n in range(count)]

    def play(self, seconds):
        """Runs the fleet and returns one SecondCounts for each second, as `world.World.play` does."""
        for _, _, machine in self.machines:
            machine.start()
        instance_entries = [
            {**entry(f"i{n}", machine), "zone": site.name, "kind": kind.name}
            for n, (site, kind, machine) in enumerate(self.machines)
        ]
        counts = [SecondCounts() for _ in range(seconds)]
        with contextlib.ExitStack() as stack:
            for _, _, machine in self.machines:
                stack.callback(machine.close)
            for site in self.fleet.sites.values():
                for _ in range(site.gateways):
                    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
                    gateway = stack.enter_context(
                        running.gateway(
                            folder, settings=gateway_settings(self.fleet, site.name), entries=instance_entries
                        )
                    )
                    self.ports.setdefault(site.name, []).append(gateway.port)
            with ThreadPoolExecutor(MAX_OPEN_REQUESTS) as pool:
                self.send_load(pool, counts, seconds)
            for clients in self.idle_clients.values():
                for client in clients:
                    client.sock.close()
        return counts

    def send_load(self, pool, counts, seconds):
        """Draws all arrivals first, then sends each request at its time."""
        started_at, arrivals = time.monotonic(), []
        for site in self.fleet.sites.values():
            for name, rate in site.load.items():
                time_s = 0.0
                while rate > 0 and (time_s := time_s + self.random.expovariate(rate)) < seconds:
                    arrivals.append((time_s, site.name, self.fleet.request_classes[name]))
        for time_s, site, request_class in sorted(arrivals, key=lambda arrival: arrival[0]):
            sigma = math.sqrt(math.log1p(request_class.cv**2))
            work = round(request_class.work * self.random.lognormvariate(-sigma * sigma / 2, sigma)) + 1000
            time.sleep(max(started_at + time_s - time.monotonic(), 0.0))
            second = counts[int(time_s)]
            second.requests, second.revenue = (
                second.requests + 1,
                second.revenue + request_class.revenue * work,
            )
            if pool._work_queue.qsize() > MAX_OPEN_REQUESTS:
                second.failed += 1
            else:
                pool.submit(self.send_request, site, request_class, work, second, time.monotonic())

    def send_request(self, site, request_class, work, second, first_sent_at):
        """Sends a request with its client's retries, and counts its ending."""
        key, idempotency_key = os.urandom(6).hex(), os.urandom(6).hex()
        for retries_left in range(self.fleet.retries, -1, -1):
            ending = self.attempt(site, request_class, work, key, idempotency_key)
            if ending == "succeeded":
                if (time.monotonic() - first_sent_at) * NS_PER_SECOND <= request_class.goal:
                    with self.lock:
                        second.answered_revenue += request_class.revenue * work
                return
            if not retries_left or ending != "rejected" and request_class.effect == at.NON_IDEMPOTENT:
                break
            time.sleep(self.fleet.retry_pause / NS_PER_SECOND)
        with self.lock:
            if ending == "rejected":
                second.rejected += 1
            else:
                second.failed += 1

    def attempt(self, site, request_class, work, key, idempotency_key):
        port = self.random.choice(self.ports[site])
        with self.lock:
            client = self.idle_clients.setdefault(port, []).pop() if self.idle_clients.get(port) else None
        wait = request_class.stop * self.fleet.patience / 1e6
        fields = {"c": request_class.name, "d": round(wait), "h": max(work // 1000, 1)}
        if request_class.effect == at.DEDUPLICATED:
            fields["k"] = idempotency_key
        try:
            client = client or Client(port)
            client.sock.settimeout(wait / 1e3)
            response = client.command(
                b"Q.ASK" if request_class.effect == at.IDEMPOTENT else b"Q.DO", key.encode(), fields
            ).read()
        except OSError:
            if client is not None:
                client.sock.close()
            return "given up"
        if response is None:  # the connection was closed between requests; a retry opens a new one
            client.sock.close()
            return "given up"
        with self.lock:
            self.idle_clients.setdefault(port, []).append(client)
        return (
            "rejected"
            if response.startswith(b"BUSY")
            else "succeeded"
            if response == key.encode()
            else "aborted"
        )


def measure(fleet, seed=1, seconds=25):
    """Returns the service that real gateways give, without the first 5 s."""
    return round(service_share(LoopbackRun(fleet, seed).play(seconds)[5:]), 4)
