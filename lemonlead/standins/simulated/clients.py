"""The clients of a simulated cluster, which reserve, free and read, and an operator who replaces lost
machines. A call without a response in time is sent again, with the same id, to a member drawn at random."""

import json
import random

from .history import NEVER, UNKNOWN, ObservedCall
from .world import MS

CALL_TIMEOUT = 700 * MS  # after which a call is sent again
MAX_TRIES = 8
SITE_UNITS = 10  # of the one node of each site


class Ticket:
    """One call of a PendingRequest to one member. `answers`: how many responses the member gave."""

    def __init__(self, request, number):
        self.request = request
        self.number = number
        self.answers = 0
        self.outcome = UNKNOWN

    @property
    def id(self):
        return self.request.id

    def answer(self, host, code, body):
        self.outcome = body.get("outcome", "") if code == 503 else "done"
        self.respond(host, code, body)

    def readable(self, host, state, leader):
        """Builds the response to a read from the state at once, as a process does."""
        if state is None:
            return self.respond(host, 503, {"outcome": "not done", "leader": leader, "retry_ms": 200})
        held = state.part("reservations")
        site = self.request.site
        seen = frozenset((key, row.units) for key, row in held.items() if row.site == site)
        self.respond(host, 200, {"seen": seen})

    def respond(self, host, code, body):
        request, endpoint = self.request, host.cluster.endpoint(host.name)
        host.world.network.carry(
            endpoint, request.endpoint, lambda _: request.response_received(self, code, body)
        )


class PendingRequest:
    """One command, or a read if `data` is None, that is sent until it has a response or `tries` are used up.
    `on_end`: function(code, body), with code 0 if there was no response."""

    def __init__(self, cluster, endpoint, id, data, on_end, site="", tries=MAX_TRIES, seed=0):
        self.cluster, self.world, self.endpoint = cluster, cluster.world, endpoint
        self.id = id
        self.data = data
        self.on_end = on_end
        self.site = site
        self.tries = tries
        self.rng = random.Random(f"asking {seed} {endpoint} {id}")
        self.tickets, self.ended = [], False

    def send(self, preferred=""):
        if self.ended:
            return
        if len(self.tickets) >= self.tries:
            return self.end(0, {})
        hosts = [host for host in self.cluster.hosts.values() if not host.gone]
        host = next((host for host in hosts if host.name == preferred), None) or self.rng.choice(hosts)
        ticket = Ticket(self, len(self.tickets))
        self.tickets.append(ticket)

        def arrive(_):
            if self.data is None:
                host.take(host.read, ticket)
            else:
                host.take(host.command, self.data, ticket)

        self.world.network.carry(self.endpoint, self.cluster.endpoint(host.name), arrive)
        self.world.after(CALL_TIMEOUT, self.timed_out, ticket)

    def timed_out(self, ticket):
        if ticket is self.tickets[-1]:
            self.send()

    def response_received(self, ticket, code, body):
        if self.ended:
            return
        if code != 503:
            return self.end(code, body)
        if ticket is self.tickets[-1]:
            wait = body["retry_ms"] * MS // 2 + self.rng.randint(0, 100 * MS)
            self.world.after(wait, self.retry, ticket, body["leader"])

    def retry(self, ticket, leader):
        if ticket is self.tickets[-1]:
            self.send(leader)

    def end(self, code, body):
        self.ended = True
        self.on_end(code, body)


class Client:
    """Makes one call after another at one site until the time `until`; `observed` is what it saw. Every
    seventh command is sent again after its response, with the same id, to any member."""

    def __init__(self, cluster, name, site, seed, until, mean_gap=350 * MS):
        self.cluster = cluster
        self.name = name
        self.site = site
        self.until = until
        self.mean_gap = mean_gap
        self.world = cluster.world
        self.rng = random.Random(f"client {seed} {name}")
        self.seed = seed
        self.number = 0
        self.observed = []
        self.requests = []

    def start(self, world):
        self.schedule_next()

    def schedule_next(self):
        self.world.after(self.rng.randint(0, 2 * self.mean_gap), self.act)

    def act(self):
        if self.world.now >= self.until:
            return
        draw, key = self.rng.random(), f"{self.site}-{self.rng.randrange(4)}"
        if draw < 0.35:
            self.request("reserve", key, self.rng.randint(1, 5), self.schedule_next)
        elif draw < 0.6:
            self.request("free", key, 0, self.schedule_next)
        else:
            self.request("read", "", 0, self.schedule_next)

    def request(self, kind, key, units, then, tries=MAX_TRIES):
        self.number += 1
        what, asked, id = (kind, key, units), self.world.now, f"{self.name}/{self.number}"
        data = None if kind == "read" else json.dumps(command(id, self.site, *what)).encode()
        at = len(self.observed)
        self.observed.append(ObservedCall(what, UNKNOWN, asked))

        def on_end(code, body):
            if code:
                result = body["seen"] if kind == "read" else code
                self.observed[at] = ObservedCall(what, result, asked, self.world.now)
                if data and self.number % 7 == 0:
                    self.repeat_command(id, data)
            then()

        request = PendingRequest(self.cluster, self.name, id, data, on_end, self.site, tries, self.seed)
        self.requests.append(request)
        request.send()

    def repeat_command(self, id, data):
        again = PendingRequest(
            self.cluster, self.name, id, data, lambda code, body: None, self.site, seed=self.number
        )
        self.requests.append(again)
        self.world.after(self.rng.randint(0, 4 * self.mean_gap), again.send)

    def burst(self, count):
        """Sends `count` reservations at once, each with one try, beside its other calls."""
        for _ in range(count):
            key = f"{self.site}-{self.rng.randrange(4)}"
            self.request("reserve", key, self.rng.randint(1, 5), lambda: None, 1)

    def observed_calls(self):
        """Returns the calls for the linearizability check. Reads without a response are left out, as they say
        nothing."""
        return [call for call in self.observed if call.answered_at != NEVER or call.operation[0] != "read"]


def command(id, site, kind, key, units):
    if kind == "node":
        return {"kind": kind, "id": id, "node": key, "site": site, "units": units}
    if kind == "free":
        return {"kind": kind, "id": id, "reservation": key}
    return {"kind": kind, "id": id, "reservation": key, "service": "s", "units": units, "site": site}


class Operator:
    """Replaces a lost machine: adds a new one under a new name and removes the old name, in either order.
    It is `busy` from the loss until the new machine votes and the old one has left."""

    CHECK_INTERVAL = 200 * MS

    def __init__(self, cluster, seed):
        self.cluster, self.world = cluster, cluster.world
        self.rng = random.Random(f"operator {seed}")
        self.busy, self.number, self.names = False, 0, len(cluster.hosts)
        self.request_pending, self.requests = False, []

    def machine_lost(self, old, after):
        """`old`: name of a machine that was just wiped. `after`: nanoseconds until it is replaced."""
        self.busy = True
        self.names += 1
        self.world.after(after, self.replace, old, f"g{self.names}")

    def replace(self, old, new):
        host = self.cluster.join(new)
        add = {"kind": "add", "member": new, "address": f"{new}:1", "folder": host.disk.folder}
        steps = [(add, self.is_voter), ({"kind": "remove", "member": old}, self.has_left)]
        if self.rng.random() < 0.5:
            steps.reverse()
        self.run_steps(steps)

    def run_steps(self, steps):
        """Requests the first step until the leader's state shows it, then the next one."""
        leader = self.cluster.leader()
        while steps and leader is not None and steps[0][1](leader.dispatcher.state, steps[0][0]["member"]):
            steps = steps[1:]
        if not steps:
            self.busy = False
            return
        if leader is not None and not self.request_pending and not leader.dispatcher.state.part("seating"):
            self.number += 1
            self.request_pending = True
            id = f"operator/{self.number}"
            data = json.dumps({**steps[0][0], "id": id}).encode()
            request = PendingRequest(self.cluster, "operator", id, data, self.request_ended)
            self.requests.append(request)
            request.send(leader.name)
        self.world.after(self.CHECK_INTERVAL, self.run_steps, steps)

    def request_ended(self, code, body):
        self.request_pending = False

    @staticmethod
    def is_voter(state, name):
        row = state.part("members").get(name)
        return row is not None and row.votes and not row.gone

    @staticmethod
    def has_left(state, name):
        row = state.part("members").get(name)
        return row is None or row.gone
