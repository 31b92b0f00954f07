"""Stand-ins for nodes: instances that obey a ledger's permits and count what happens to them.

A `Node` listens at an address of its own for each gateway, so that it knows which gateway sent an attempt.
An `Agent` passes the ledger's permits to a node and reports the node's state to the ledger. `Job` (of a
gang) and `GroupMonitor` (of a group) look only at their nodes, not at a ledger. No code is shared with the
code under test."""

import contextlib
import http.client
import json
import threading
import time
from collections import Counter, deque

from .instances import InstanceServer, value_response
from .server import Server
from .wires import new_loopback_host

SERVING = "serving"
CLEARING = "clearing"
DRAINED = "drained"
DOWN = "down"
CATCHING_UP = "catching_up"
MAX_ATTEMPTS = 500_000  # records kept of each node; older ones are only counted
CALL_TIMEOUT_SECONDS = 5.0  # of one call to a member


class GatewayListener(InstanceServer):
    """The listener of a node for one gateway."""

    def __init__(self, node, gateway):
        super().__init__(
            node.handler_for(gateway), host=new_loopback_host()
        )  # an own host: the address stays free
        host, port = self.listener.getsockname()
        self.socket_address = (host, port)
        self.open = True

    def stop(self):
        if self.open:
            self.open = False
            self.close()

    def start_again(self):
        """Returns a new listener at the same address, started."""
        again = Server.__new__(type(self))  # a copy, except for the socket and its connections
        again.__dict__ |= self.__dict__ | {"connections": [], "open": True}
        again.listener = type(self.listener)()
        again.listener.setsockopt(1, 2, 1)  # SOL_SOCKET, SO_REUSEADDR
        again.listener.bind(self.socket_address)
        again.listener.listen(64)
        return again.start()


class Node:
    """An instance that goes down by permits of a ledger.

    `attempts`: (time, gateway, state) of each request received. `counts`: "attempts", "after clear" (requests
    received after all gateways had stopped sending by the ledger's state), "old permits" (ignored), "downs",
    "ended" (requests aborted by going down). `states`: (time, state), in order.
    """

    def __init__(self, name, work=0.0, away=0.0, catch_up=0.0):
        self.name = name
        self.work = work
        self.away = away
        self.catch_up = catch_up
        self.changed = threading.Condition()
        self.listeners, self.attempts, self.counts = {}, deque(maxlen=MAX_ATTEMPTS), Counter()
        self.by_gateway, self.held = Counter(), 0
        self.state, self.states = SERVING, [(time.monotonic(), SERVING)]
        # The newest permit seen, as (term, index), and the last ledger entry that was acted on.
        self.fence = (0, 0)
        self.seen = 0
        self.jobs, self.watchers = set(), []
        self.may_return, self.may_catch_up = threading.Event(), threading.Event()
        self.may_return.set()
        self.may_catch_up.set()
        self.killed = threading.Event()

    # ---- requests

    def listen(self, gateway):
        """Returns the address at which this gateway reaches the node."""
        with self.changed:
            if gateway not in self.listeners:
                self.listeners[gateway] = GatewayListener(self, gateway).start()
            return self.listeners[gateway].address

    def handler_for(self, gateway):
        def react(words):
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

    # ---- permits and states

    def receive_permit(self, permit, at):
        """Takes the permit (or None) that the ledger has for the node at entry `at`.

        Returns whether to act on it now: only if it is clear and not older than one seen before.
        """
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
            self.set_state(CLEARING)
            return True

    def set_state(self, state):
        with self.changed:
            self.state = state
            self.states.append((time.monotonic(), state))
            self.changed.notify_all()
        for watcher in list(self.watchers):
            watcher()

    def go_down(self, report):
        """Waits for its requests and jobs, goes down and comes back. `report(state)` reports each state."""
        with self.changed:
            self.changed.wait_for(lambda: not self.held and not self.jobs or self.killed.is_set(), 600)
        self.set_state(DRAINED)
        report("drained")
        self.down()
        time.sleep(self.away)
        self.may_return.wait(600)
        self.up()
        report("catching_up")
        time.sleep(self.catch_up)
        self.may_catch_up.wait(600)
        self.set_state(SERVING)
        report("serving")

    def down(self):
        with self.changed:
            self.counts["downs"] += 1
            self.counts["ended"] += self.held
            jobs, listeners = list(self.jobs), list(self.listeners.values())
        for listener in listeners:
            listener.stop()
        for job in jobs:
            job.lost(self)
        self.set_state(DOWN)

    def up(self):
        with self.changed:
            self.listeners = {gateway: listener.start_again() for gateway, listener in self.listeners.items()}
        self.set_state(CATCHING_UP)

    def kill(self):
        """Fails without a permit and reports nothing."""
        self.killed.set()
        self.down()

    def revive(self):
        self.killed.clear()
        self.up()
        self.set_state(SERVING)

    def until(self, condition, seconds=60):
        with self.changed:
            assert self.changed.wait_for(lambda: condition(self), seconds), (self.state, self.counts)

    def close(self):
        self.killed.set()
        for listener in self.listeners.values():
            listener.stop()


class Job:
    """The work of a gang: it needs all its nodes until `end`. `broken`: the node that broke it, or None."""

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
    """Watches the nodes of a group.

    `min_serving`: the smallest number of nodes that served, caught up, at any time. `broken`: how often the
    number fell below the quorum.
    """

    def __init__(self, name, nodes, quorum):
        self.name, self.nodes, self.quorum, self.broken = name, list(nodes), quorum, 0
        self.lock, self.min_serving, self.enough = threading.Lock(), len(self.nodes), True
        for node in self.nodes:
            node.watchers.append(self.update)
        self.update()

    def update(self):
        with self.lock:
            serve = sum(node.state == SERVING for node in self.nodes)
            self.min_serving = min(self.min_serving, serve)
            self.broken += self.enough and serve < self.quorum
            self.enough = serve >= self.quorum


class MemberClient:
    """A client of a cluster that calls one member after another."""

    def __init__(self, *addresses):
        self.addresses, self.current, self.counts = list(addresses), 0, Counter()

    def ask(self, method, path, body=None):
        """Calls the current member. Returns (status, decoded body); without an answer (0, reason).

        After status 0 or 503 the next member is current.
        """
        host, _, port = self.addresses[self.current % len(self.addresses)].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_SECONDS)
        try:
            connection.request(method, path, None if body is None else json.dumps(body))
            answer = connection.getresponse()
            status, body = answer.status, json.loads(answer.read())
        except (OSError, ValueError, http.client.HTTPException) as error:
            status, body = 0, type(error).__name__
        finally:
            connection.close()
        self.counts[status] += 1
        self.current += status in (0, 503)
        return status, body

    def command(self, stopped, **fields):
        """Sends a command, under one id, until it is decided. Returns (status, body), or None if stopped."""
        while not stopped.is_set():
            status, answer = self.ask("POST", "/v1/commands", fields)
            if status in (200, 400, 409):
                return status, answer
            stopped.wait(0.05)
        return None


class Agent:
    """Passes permits to a node and reports its states to the ledger, on a thread of its own."""

    def __init__(self, node, members):
        self.node, self.members, self.stopped, self.number = node, members, threading.Event(), 0
        self.refused = []  # (state, answer) of reports that the ledger refused
        self.boot = f"{time.monotonic_ns():x}"
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        self.thread.start()
        return self

    def run(self):
        at = 0
        while not self.stopped.is_set():
            status, body = self.members.ask("GET", "/v1/state/permits")
            if status != 200:
                self.stopped.wait(0.05)
                continue
            permit, known = body["items"].get(self.node.name), at
            at = max(at, body["at"])
            if self.node.receive_permit(permit, body["at"]):
                self.node.go_down(self.report)
            elif permit is not None and permit["phase"] == "recalled" and at > known:
                self.report("serving")  # the node saw the recall and did not act
            self.members.ask("GET", f"/v1/events?after={at}")

    def report(self, state):
        self.number += 1
        fields = {"kind": "report", "node": self.node.name, "state": state, "seen": self.node.seen}
        id = f"{self.node.name}/{self.boot}/{self.number}"
        answer = self.members.command(self.stopped, id=id, **fields)
        if answer is not None and answer[0] != 200:
            self.refused.append((state, answer))

    def stop(self):
        self.stopped.set()
        with contextlib.suppress(RuntimeError):
            self.thread.join(CALL_TIMEOUT_SECONDS + 3)
