"""Who asks a cluster in a simulated world: clients that reserve, free and read, and an operator who makes up
for lost machines. A call that has no answer in time is asked again with the same id at another member."""

import json
import random

from .history import NEVER, UNKNOWN, Seen
from .world import MS

TIME_OUT = 700 * MS  # before a call is asked anew elsewhere
TRIES = 8
UNITS = 10  # of each site's one node


class Ticket:
    """One call at one member."""

    def __init__(self, asking, number):
        self.asking, self.number, self.answers, self.outcome = asking, number, 0, UNKNOWN

    @property
    def id(self):
        return self.asking.id

    def answer(self, host, code, body):
        self.outcome = body.get("outcome", "") if code == 503 else "done"
        self.back(host, code, body)

    def readable(self, host, state, leader):
        """A read's answer is made from the state at once, as a process does."""
        if state is None:
            return self.back(host, 503, {"outcome": "not done", "leader": leader, "retry_ms": 200})
        held = state.part("reservations")
        site = self.asking.site
        seen = frozenset((key, row.units) for key, row in held.items() if row.site == site)
        self.back(host, 200, {"seen": seen})

    def back(self, host, code, body):
        asking, line = self.asking, host.cluster.line(host.name)
        host.world.network.carry(line, asking.line, lambda _: asking.heard(self, code, body))


class Asking:
    """One command (or a read, where `data` is None) until it has an answer, or is given up. `over`:
    function(code, body), code 0 where it was given up."""

    def __init__(self, cluster, line, id, data, over, site="", tries=TRIES, seed=0):
        self.cluster, self.world, self.line = cluster, cluster.world, line
        self.id, self.data, self.over, self.site, self.tries = id, data, over, site, tries
        self.chance = random.Random(f"asking {seed} {line} {id}")
        self.tickets, self.ended = [], False

    def ask(self, where=""):
        if self.ended:
            return
        if len(self.tickets) >= self.tries:
            return self.end(0, {})
        hosts = [host for host in self.cluster.hosts.values() if not host.gone]
        host = next((host for host in hosts if host.name == where), None) or self.chance.choice(hosts)
        ticket = Ticket(self, len(self.tickets))
        self.tickets.append(ticket)

        def arrive(_):
            if self.data is None:
                host.take(host.read, ticket)
            else:
                host.take(host.command, self.data, ticket)

        self.world.network.carry(self.line, self.cluster.line(host.name), arrive)
        self.world.after(TIME_OUT, self.late, ticket)

    def late(self, ticket):
        if ticket is self.tickets[-1]:
            self.ask()

    def heard(self, ticket, code, body):
        if self.ended:
            return
        if code != 503:
            return self.end(code, body)
        if ticket is self.tickets[-1]:
            wait = body["retry_ms"] * MS // 2 + self.chance.randint(0, 100 * MS)
            self.world.after(wait, self.again, ticket, body["leader"])

    def again(self, ticket, leader):
        if ticket is self.tickets[-1]:
            self.ask(leader)

    def end(self, code, body):
        self.ended = True
        self.over(code, body)


class Client:
    """Does one thing after another at one site until `until`; `seen` is what it saw. Every seventh command
    is asked again after its answer, by the same id, at any member."""

    def __init__(self, cluster, name, site, seed, until, gap=350 * MS):
        self.cluster, self.name, self.site, self.until, self.gap = cluster, name, site, until, gap
        self.world = cluster.world
        self.chance = random.Random(f"client {seed} {name}")
        self.seed, self.number, self.seen, self.askings = seed, 0, [], []

    def start(self, world):
        self.next()

    def next(self):
        self.world.after(self.chance.randint(0, 2 * self.gap), self.act)

    def act(self):
        if self.world.now >= self.until:
            return
        draw, key = self.chance.random(), f"{self.site}-{self.chance.randrange(4)}"
        if draw < 0.35:
            self.ask("reserve", key, self.chance.randint(1, 5), self.next)
        elif draw < 0.6:
            self.ask("free", key, 0, self.next)
        else:
            self.ask("read", "", 0, self.next)

    def ask(self, kind, key, units, then, tries=TRIES):
        self.number += 1
        what, asked, id = (kind, key, units), self.world.now, f"{self.name}/{self.number}"
        data = None if kind == "read" else json.dumps(command(id, self.site, *what)).encode()
        at = len(self.seen)
        self.seen.append(Seen(what, UNKNOWN, asked))

        def over(code, body):
            if code:
                result = body["seen"] if kind == "read" else code
                self.seen[at] = Seen(what, result, asked, self.world.now)
                if data and self.number % 7 == 0:
                    self.repeat(id, data)
            then()

        asking = Asking(self.cluster, self.name, id, data, over, self.site, tries, self.seed)
        self.askings.append(asking)
        asking.ask()

    def repeat(self, id, data):
        again = Asking(
            self.cluster, self.name, id, data, lambda code, body: None, self.site, seed=self.number
        )
        self.askings.append(again)
        self.world.after(self.chance.randint(0, 4 * self.gap), again.ask)

    def burst(self, count):
        """So many reservations at once, beside what it does otherwise; each asked for once."""
        for _ in range(count):
            key = f"{self.site}-{self.chance.randrange(4)}"
            self.ask("reserve", key, self.chance.randint(1, 5), lambda: None, 1)

    def calls(self):
        """What it saw, for the search: reads without an answer say nothing."""
        return [call for call in self.seen if call.answered != NEVER or call.what[0] != "read"]


def command(id, site, kind, key, units):
    if kind == "node":
        return {"kind": kind, "id": id, "node": key, "site": site, "units": units}
    if kind == "free":
        return {"kind": kind, "id": id, "reservation": key}
    return {"kind": kind, "id": id, "reservation": key, "service": "s", "units": units, "site": site}


class Operator:
    """Makes up for a lost machine: a new one under a new name is added, the old name is removed, in either
    order. `busy` from the loss until the new one votes and the old one is gone."""

    LOOK = 200 * MS

    def __init__(self, cluster, seed):
        self.cluster, self.world = cluster, cluster.world
        self.chance = random.Random(f"operator {seed}")
        self.busy, self.number, self.names = False, 0, len(cluster.hosts)
        self.asking, self.askings = False, []

    def lost(self, old, after):
        """`old`: the name of a machine that was just wiped."""
        self.busy = True
        self.names += 1
        self.world.after(after, self.replace, old, f"g{self.names}")

    def replace(self, old, new):
        host = self.cluster.join(new)
        add = {"kind": "add", "member": new, "address": f"{new}:1", "folder": host.disk.folder}
        steps = [(add, self.votes), ({"kind": "remove", "member": old}, self.left)]
        if self.chance.random() < 0.5:
            steps.reverse()
        self.look(steps)

    def look(self, steps):
        """Asks for the first step until it shows in the state that a leader has; then for the next."""
        leader = self.cluster.leader()
        while steps and leader is not None and steps[0][1](leader.dispatcher.state, steps[0][0]["member"]):
            steps = steps[1:]
        if not steps:
            self.busy = False
            return
        if leader is not None and not self.asking and not leader.dispatcher.state.part("seating"):
            self.number += 1
            self.asking = True
            id = f"operator/{self.number}"
            data = json.dumps({**steps[0][0], "id": id}).encode()
            asking = Asking(self.cluster, "operator", id, data, self.asked)
            self.askings.append(asking)
            asking.ask(leader.name)
        self.world.after(self.LOOK, self.look, steps)

    def asked(self, code, body):
        self.asking = False

    @staticmethod
    def votes(state, name):
        row = state.part("members").get(name)
        return row is not None and row.votes and not row.gone

    @staticmethod
    def left(state, name):
        row = state.part("members").get(name)
        return row is None or row.gone
