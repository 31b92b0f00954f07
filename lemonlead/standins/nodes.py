"""Nodes: instances that obey a ledger's permits, and that count by themselves what happened to them.

A `Node` takes requests at an address of its own for each gateway, so that it knows whose an attempt is. An
`Agent` tells it the ledger's permits and reports what it does. `Job` (a gang's) and `Replicas` (a group's)
look at their nodes alone, not at any ledger. No code is shared with what is checked."""

import contextlib
import http.client
import json
import threading
import time
from collections import Counter, deque

from .instances import InstanceServer, value_response
from .server import Server
from .wires import new_loopback_host

SERVING, CLEARING, DRAINED, DOWN, CATCHING_UP = "serving", "clearing", "drained", "down", "catching_up"
MOST_ATTEMPTS = 500_000  # that are kept with their moments; of older ones the counts stay
PATIENCE = 5.0  # seconds for one call to a member


class Ear(InstanceServer):
    """Where one gateway reaches a node."""

    def __init__(self, node, gateway):
        super().__init__(
            node.taken_by(gateway), host=new_loopback_host()
        )  # nobody else's: it comes back at the same one
        host, port = self.listener.getsockname()
        self.place, self.open = (host, port), True

    def shut(self):
        if self.open:
            self.open = False
            self.close()

    def reopen(self):
        """At the same address as before."""
        again = Server.__new__(type(self))  # all but the socket and its connections is as it was
        again.__dict__ |= self.__dict__ | {"connections": [], "open": True}
        again.listener = type(self.listener)()
        again.listener.setsockopt(1, 2, 1)  # SOL_SOCKET, SO_REUSEADDR
        again.listener.bind(self.place)
        again.listener.listen(64)
        return again.start()


class Node:
    """`attempts`: (moment, gateway, state) of each request taken. `counts`: "attempts", "after clear"
    (requests that came although every gateway was said to have stopped), "old permits" (refused), "downs",
    "ended" (requests cut off by going down). `states`: (moment, state), in order."""

    def __init__(self, name, work=0.0, away=0.0, catch_up=0.0):
        self.name, self.work, self.away, self.catch_up = name, work, away, catch_up
        self.changed = threading.Condition()
        self.ears, self.attempts, self.counts = {}, deque(maxlen=MOST_ATTEMPTS), Counter()
        self.by_gateway, self.held = Counter(), 0
        self.state, self.states = SERVING, [(time.monotonic(), SERVING)]
        self.fence, self.seen = (0, 0), 0  # the newest permit ever seen; the ledger's entry last obeyed
        self.jobs, self.watchers = set(), []
        self.may_return, self.may_catch_up = threading.Event(), threading.Event()
        self.may_return.set()
        self.may_catch_up.set()
        self.killed = threading.Event()

    # ---- requests

    def listen(self, gateway):
        """The address at which this gateway reaches it."""
        with self.changed:
            if gateway not in self.ears:
                self.ears[gateway] = Ear(self, gateway).start()
            return self.ears[gateway].address

    def taken_by(self, gateway):
        def react(words):
            if words[0].upper() == b"PING":
                return b"+PONG\r\n"
            with self.changed:
                self.counts["attempts"] += 1
                self.counts["after clear"] += self.state not in (SERVING, CATCHING_UP)
                self.by_gateway[gateway] += 1
                self.attempts.append((time.monotonic(), gateway, self.state))
                self.held += 1
                self.changed.notify_all()
            time.sleep(self.work)
            with self.changed:
                self.held -= 1
                self.changed.notify_all()
            return value_response(words[1])

        return react

    # ---- what it is told and does

    def receive_permit(self, permit, at):
        """The permit out for it as the ledger has it at entry `at`, or None. Whether it is to be acted on
        now: only one that is clear, and none older than one that was seen."""
        with self.changed:
            if at < self.seen:
                self.counts["old permits"] += permit is not None
                return False
            if permit is not None:
                if (permit["term"], permit["index"]) < self.fence:
                    self.counts["old permits"] += 1
                    return False
                self.fence = permit["term"], permit["index"]
            self.seen = at
            if permit is None or permit["phase"] != "clear" or self.state != SERVING:
                return False
            self.become(CLEARING)
            return True

    def become(self, state):
        with self.changed:
            self.state = state
            self.states.append((time.monotonic(), state))
            self.changed.notify_all()
        for watcher in list(self.watchers):
            watcher()

    def go_down(self, report):
        """Ends what it holds, goes down, comes back cold. `report(state)`: brings it to the ledger."""
        with self.changed:
            self.changed.wait_for(lambda: not self.held and not self.jobs or self.killed.is_set(), 600)
        self.become(DRAINED)
        report("drained")
        self.down()
        time.sleep(self.away)
        self.may_return.wait(600)
        self.up()
        report("catching_up")
        time.sleep(self.catch_up)
        self.may_catch_up.wait(600)
        self.become(SERVING)
        report("serving")

    def down(self):
        with self.changed:
            self.counts["downs"] += 1
            self.counts["ended"] += self.held
            jobs, ears = list(self.jobs), list(self.ears.values())
        for ear in ears:
            ear.shut()
        for job in jobs:
            job.lost(self)
        self.become(DOWN)

    def up(self):
        with self.changed:
            self.ears = {gateway: ear.reopen() for gateway, ear in self.ears.items()}
        self.become(CATCHING_UP)

    def kill(self):
        """It fails on its own, and reports nothing."""
        self.killed.set()
        self.down()

    def revive(self):
        self.killed.clear()
        self.up()
        self.become(SERVING)

    def until(self, condition, seconds=60):
        with self.changed:
            assert self.changed.wait_for(lambda: condition(self), seconds), (self.state, self.counts)

    def close(self):
        self.killed.set()
        for ear in self.ears.values():
            ear.shut()


class Job:
    """A gang's: it needs all its nodes until `end`. `broken`: by which node."""

    def __init__(self, name, nodes):
        self.name, self.nodes, self.broken, self.running = name, list(nodes), None, True
        for node in self.nodes:
            if node.state != SERVING:
                self.broken = node.name
            with node.changed:
                node.jobs.add(self)

    def lost(self, node):
        if self.running and self.broken is None:
            self.broken = node.name

    def end(self):
        self.running = False
        for node in self.nodes:
            with node.changed:
                node.jobs.discard(self)
                node.changed.notify_all()


class GroupMonitor:
    """A group's: `least` is the fewest that ever served and were caught up, `broken` how often they came to
    be fewer than its quorum."""

    def __init__(self, name, nodes, quorum):
        self.name, self.nodes, self.quorum, self.broken = name, list(nodes), quorum, 0
        self.lock, self.min_serving, self.enough = threading.Lock(), len(self.nodes), True
        for node in self.nodes:
            node.watchers.append(self.look)
        self.look()

    def look(self):
        with self.lock:
            serve = sum(node.state == SERVING for node in self.nodes)
            self.min_serving = min(self.min_serving, serve)
            self.broken += self.enough and serve < self.quorum
            self.enough = serve >= self.quorum


class MemberClient:
    """A cluster as whoever has its addresses sees it: asks one after the other."""

    def __init__(self, *addresses):
        self.addresses, self.turn, self.counts = list(addresses), 0, Counter()

    def ask(self, method, path, told=None):
        """(status, the object told); (0, reason) where the member did not answer. Then it is the next one's
        turn."""
        host, _, port = self.addresses[self.turn % len(self.addresses)].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE)
        try:
            connection.request(method, path, None if told is None else json.dumps(told))
            answer = connection.getresponse()
            status, told = answer.status, json.loads(answer.read())
        except (OSError, ValueError, http.client.HTTPException) as error:
            status, told = 0, type(error).__name__
        finally:
            connection.close()
        self.counts[status] += 1
        self.turn += status in (0, 503)
        return status, told

    def command(self, stopped, **told):
        """The answer of a command, asked under one id until it is none of 503; None once `stopped` is set."""
        while not stopped.is_set():
            status, answer = self.ask("POST", "/v1/commands", told)
            if status in (200, 400, 409):
                return status, answer
            stopped.wait(0.05)
        return None


class Agent:
    """Tells one node its permits and the ledger what the node does, on a thread of its own."""

    def __init__(self, node, members):
        self.node, self.members, self.stopped, self.number = node, members, threading.Event(), 0
        self.refused = []  # reports that the ledger did not take
        self.boot = f"{time.monotonic_ns():x}"
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        self.thread.start()
        return self

    def run(self):
        at = 0
        while not self.stopped.is_set():
            status, told = self.members.ask("GET", "/v1/state/permits")
            if status != 200:
                self.stopped.wait(0.05)
                continue
            permit, known = told["items"].get(self.node.name), at
            at = max(at, told["at"])
            if self.node.receive_permit(permit, told["at"]):
                self.node.go_down(self.report)
            elif permit is not None and permit["phase"] == "recalled" and at > known:
                self.report("serving")  # that it saw this, and did not act
            self.members.ask("GET", f"/v1/events?after={at}")

    def report(self, state):
        self.number += 1
        told = {"kind": "report", "node": self.node.name, "state": state, "seen": self.node.seen}
        id = f"{self.node.name}/{self.boot}/{self.number}"
        answer = self.members.command(self.stopped, id=id, **told)
        if answer is not None and answer[0] != 200:
            self.refused.append((state, answer))

    def stop(self):
        self.stopped.set()
        with contextlib.suppress(RuntimeError):
            self.thread.join(PATIENCE + 3)
