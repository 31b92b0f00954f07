"""The same fleet, small, on loopback: real gateways among stand-ins, so that what is predicted can be held
against what is measured. Stand-ins sleep for their work, so one computer bears fleets of a few dozen
machines; arrivals are drawn as in `world`, on the wall's clock."""

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

MOST_AT_ONCE = 512  # tries of clients under way; one past them is counted as lost
EFFECTS = {at.IDEMPOTENT: "idempotent", at.DEDUPLICATED: "deduplicated", at.NON_IDEMPOTENT: "at_most_once"}


def settings_of(fleet, site):
    """The fleet as a gateway is told it."""
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


def machine_of(kind, seed):
    """A stand-in that needs the work that a request hints at, by its speed."""
    made = WorkerInstance(slots=kind.cores, queue=kind.slots - kind.cores, seed=seed, backlog=512)
    made.needs_of = lambda said: float(said.get("h", 0)) / 1e6 / kind.speed
    return made


class Run:
    def __init__(self, fleet, seed):
        self.fleet, self.random, self.lock = fleet, random.Random(seed), threading.Lock()
        self.machines, self.ports, self.spare = [], {}, {}
        for site, kind, count in fleet.machine_counts():
            self.machines += [(site, kind, machine_of(kind, seed + n)) for n in range(count)]

    def play(self, seconds):
        """Counts by second, as `world.World.play` gives them."""
        for _, _, machine in self.machines:
            machine.start()
        known = [
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
                    ran = stack.enter_context(
                        running.gateway(folder, settings=settings_of(self.fleet, site.name), entries=known)
                    )
                    self.ports.setdefault(site.name, []).append(ran.port)
            with ThreadPoolExecutor(MOST_AT_ONCE) as pool:
                self.arrivals(pool, counts, seconds)
            for clients in self.spare.values():
                for client in clients:
                    client.sock.close()
        return counts

    def arrivals(self, pool, counts, seconds):
        began, due = time.monotonic(), []
        for site in self.fleet.sites.values():
            for name, rate in site.load.items():
                at = 0.0
                while rate > 0 and (at := at + self.random.expovariate(rate)) < seconds:
                    due.append((at, site.name, self.fleet.request_classes[name]))
        for at, site, request_class in sorted(due, key=lambda one: one[0]):
            spread = math.sqrt(math.log1p(request_class.cv**2))
            work = round(request_class.work * self.random.lognormvariate(-spread * spread / 2, spread)) + 1000
            time.sleep(max(began + at - time.monotonic(), 0.0))
            second = counts[int(at)]
            second.requests, second.revenue = (
                second.requests + 1,
                second.revenue + request_class.revenue * work,
            )
            if pool._work_queue.qsize() > MOST_AT_ONCE:
                second.failed += 1
            else:
                pool.submit(self.want, site, request_class, work, second, time.monotonic())

    def want(self, site, request_class, work, second, first):
        """A request with its client's retries."""
        key, idempotency_key = os.urandom(6).hex(), os.urandom(6).hex()
        for left in range(self.fleet.retries, -1, -1):
            ending = self.attempt(site, request_class, work, key, idempotency_key)
            if ending == "succeeded":
                if (time.monotonic() - first) * NS_PER_SECOND <= request_class.goal:
                    with self.lock:
                        second.answered_revenue += request_class.revenue * work
                return
            if not left or ending != "rejected" and request_class.effect == at.NON_IDEMPOTENT:
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
            client = self.spare.setdefault(port, []).pop() if self.spare.get(port) else None
        wait = request_class.stop * self.fleet.patience / 1e6
        said = {"c": request_class.name, "d": round(wait), "h": max(work // 1000, 1)}
        if request_class.effect == at.DEDUPLICATED:
            said["k"] = idempotency_key
        try:
            client = client or Client(port)
            client.sock.settimeout(wait / 1e3)
            answer = client.command(
                b"Q.ASK" if request_class.effect == at.IDEMPOTENT else b"Q.DO", key.encode(), said
            ).read()
        except OSError:
            if client is not None:
                client.sock.close()
            return "given up"
        if answer is None:  # closed between requests: it asks once more, on a new connection
            client.sock.close()
            return "given up"
        with self.lock:
            self.spare.setdefault(port, []).append(client)
        return (
            "rejected" if answer.startswith(b"BUSY") else "succeeded" if answer == key.encode() else "aborted"
        )


def measure(fleet, seed=1, seconds=25):
    """Service as real gateways give it, without the first seconds."""
    return round(service_share(Run(fleet, seed).play(seconds)[5:]), 4)
