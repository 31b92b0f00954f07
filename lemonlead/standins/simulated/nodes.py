"""Nodes in a simulated world. Each has an agent that reads permits over the faulty network, obeys them and
reports its state. A node goes down only by a clear permit that is newer than any that it obeyed, and only
while its last read of the permits is younger than the lease."""

import json
import random

from .calls import Call, retry_delay
from .world import MS

SERVING, CLEARING, DOWN, CATCHING_UP = "serving", "clearing", "down", "catching up"
CALL_TIMEOUT = 700 * MS


class Node:
    """`on_down`: function(node), called as the node goes down. `lease`: nanoseconds."""

    def __init__(self, cluster, name, lease, seed, on_down):
        self.cluster = cluster
        self.world = cluster.world
        self.name = name
        self.endpoint = name
        self.lease, self.on_down = lease, on_down
        self.rng = random.Random(f"node {seed} {name}")
        self.state, self.report_number, self.poll_number = SERVING, 0, 0
        self.known_index = 0  # index as of which the permit was read
        self.obeyed_permit = (0, 0)  # (term, index) of the last permit obeyed
        self.permit = None  # as last read
        self.read_sent_at = 0  # when the read that returned `permit` was sent
        self.answered_recall = 0  # index as of which the last recall was answered
        self.last_report = ("serving", 200)  # state and response code; code 0 while it has no response

    def start(self, world):
        self.poll_permit()

    def choose_host(self):
        return self.rng.choice([host for host in self.cluster.hosts.values() if not host.gone])

    # ---- permits

    def poll_permit(self):
        self.world.after(self.rng.randint(100, 500) * MS, self.poll_permit)
        if self.state not in (SERVING, CLEARING):
            return
        self.poll_number += 1
        number, sent, host = self.poll_number, self.world.now, self.choose_host()

        def on_end(code, body):
            if code == 200 and self.state in (SERVING, CLEARING):
                self.permit_read(number, sent, body["at"], body["items"].get(self.name))

        call = Call(self.cluster, self.endpoint, host, on_end, CALL_TIMEOUT, part="permits")
        call.send(host.read, call)

    def permit_read(self, number, sent, at, permit):
        """`sent`: when the read was sent. `at`: the index of the state that was read. Ignores a response
        that is older than a previous one."""
        if at < self.known_index or sent < self.read_sent_at:
            return self.world.count("node told late")
        self.known_index, self.permit, self.read_sent_at = at, permit, sent
        if permit is None or (permit["term"], permit["index"]) <= self.obeyed_permit:
            return self.keep_serving()
        if permit["phase"] == "clear" and self.state == SERVING:
            self.state = CLEARING
            self.world.after(self.rng.randint(20, 600) * MS, self.go_down)
        elif permit["phase"] != "clear":
            self.keep_serving()
            if permit["phase"] == "recalled" and self.answered_recall < at and self.last_report[1]:
                self.answered_recall = at
                self.report("serving", lambda: None)
        return None

    def keep_serving(self):
        if self.state == CLEARING:
            self.state = SERVING

    # ---- going down and coming back

    def go_down(self):
        permit = self.permit
        if self.state != CLEARING:
            return
        if not self.last_report[1] or self.world.now - self.read_sent_at >= self.lease:
            return self.keep_serving()
        self.obeyed_permit = permit["term"], permit["index"]
        self.state = DOWN
        self.world.count("nodes down")
        self.on_down(self)
        self.report("drained", lambda: self.world.after(self.rng.randint(200, 1500) * MS, self.come_up))

    def come_up(self):
        self.state = CATCHING_UP
        self.report("catching_up", lambda: self.world.after(self.rng.randint(50, 600) * MS, self.serve))

    def serve(self):
        self.state = SERVING
        self.report("serving", lambda: None)

    def report(self, state, then):
        """Sends the report under one id until it has a response, then calls `then`."""
        self.report_number += 1
        self.last_report = state, 0
        command = {
            "id": f"{self.name}/{self.report_number}",
            "kind": "report",
            "node": self.name,
            "state": state,
        }
        self.send(json.dumps({**command, "seen": self.known_index}).encode(), command["id"], then)

    def send(self, data, id, then, host=None):
        def on_end(code, body):
            if code in (200, 409):
                self.last_report = self.last_report[0], code
                return then()
            leader = self.cluster.hosts.get(body.get("leader", ""))
            self.world.after(retry_delay(body), self.send, data, id, then, leader)
            return None

        host = host if host is not None and not host.gone else self.choose_host()
        call = Call(self.cluster, self.endpoint, host, on_end, CALL_TIMEOUT, id=id)
        call.send(host.command, data, call)
