"""Nodes in a simulated world, each with an agent that reads permits over the faulty network, obeys them and
reports. A node goes down only by a clear permit that is newer than any it obeyed, while what it knows of it
is younger than the lease."""

import json
import random

from .calls import Call, wait
from .world import MS

SERVING, CLEARING, DOWN, CATCHING_UP = "serving", "clearing", "down", "catching up"
TIME_OUT = 700 * MS


class Node:
    """`goes`: function(node), told as it goes down."""

    def __init__(self, cluster, name, lease, seed, goes):
        self.cluster, self.world, self.name, self.line = cluster, cluster.world, name, name
        self.lease, self.goes = lease, goes
        self.chance = random.Random(f"node {seed} {name}")
        self.state, self.number, self.asked = SERVING, 0, 0
        self.seen, self.obeyed = 0, (0, 0)  # entry known up to; (term, index) of the permit obeyed last
        self.permit, self.known = None, 0  # as last read; when that read was sent
        self.answered = 0  # the recall that was answered
        self.last = ("serving", 200)  # the report under way or answered, and its code

    def start(self, world):
        self.look()

    def pick(self):
        return self.chance.choice([host for host in self.cluster.hosts.values() if not host.gone])

    # ---- what it is told

    def look(self):
        self.world.after(self.chance.randint(100, 500) * MS, self.look)
        if self.state not in (SERVING, CLEARING):
            return
        self.asked += 1
        number, sent, host = self.asked, self.world.now, self.pick()

        def over(code, body):
            if code == 200 and self.state in (SERVING, CLEARING):
                self.told(number, sent, body["at"], body["items"].get(self.name))

        call = Call(self.cluster, self.line, host, over, TIME_OUT, part="permits")
        call.go(host.read, call)

    def told(self, number, sent, at, permit):
        if at < self.seen or sent < self.known:
            return self.world.count("node told late")
        self.seen, self.permit, self.known = at, permit, sent
        if permit is None or (permit["term"], permit["index"]) <= self.obeyed:
            return self.stay()
        if permit["phase"] == "clear" and self.state == SERVING:
            self.state = CLEARING
            self.world.after(self.chance.randint(20, 600) * MS, self.go)
        elif permit["phase"] != "clear":
            self.stay()
            if permit["phase"] == "recalled" and self.answered < at and self.last[1]:
                self.answered = at
                self.report("serving", lambda: None)
        return None

    def stay(self):
        if self.state == CLEARING:
            self.state = SERVING

    # ---- what it does

    def go(self):
        permit = self.permit
        if self.state != CLEARING:
            return
        if not self.last[1] or self.world.now - self.known >= self.lease:
            return self.stay()
        self.obeyed = permit["term"], permit["index"]
        self.state = DOWN
        self.world.count("nodes down")
        self.goes(self)
        self.report("drained", lambda: self.world.after(self.chance.randint(200, 1500) * MS, self.up))

    def up(self):
        self.state = CATCHING_UP
        self.report("catching_up", lambda: self.world.after(self.chance.randint(50, 600) * MS, self.serve))

    def serve(self):
        self.state = SERVING
        self.report("serving", lambda: None)

    def report(self, state, then):
        """Under one id until it is answered; then the next."""
        self.number += 1
        self.last = state, 0
        told = {"id": f"{self.name}/{self.number}", "kind": "report", "node": self.name, "state": state}
        self.send(json.dumps({**told, "seen": self.seen}).encode(), told["id"], then)

    def send(self, data, id, then, host=None):
        def over(code, body):
            if code in (200, 409):
                self.last = self.last[0], code
                return then()
            leader = self.cluster.hosts.get(body.get("leader", ""))
            self.world.after(wait(body), self.send, data, id, then, leader)
            return None

        host = host if host is not None and not host.gone else self.pick()
        call = Call(self.cluster, self.line, host, over, TIME_OUT, id=id)
        call.go(host.command, data, call)
