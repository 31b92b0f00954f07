"""Simulated gateways, with the real Subscriber and a driver that works as the real one. `in_force` is what
a gateway acts on: (scope, key) to record, as Subscriber put it in force."""

import json
import random

from lemonlead.distribution.subscriber import Acknowledge, Subscribe, Subscriber, Unreadable

from .links import MS, SECOND
from .relays import HARMLESS_MARK, MAX_CLOCK_DRIFT, UNREADABLE_MARK

CALL_TIMEOUT = 2 * SECOND
STREAM_TIMEOUT = 6 * SECOND  # without a complete line, that is after three missed heartbeats
MAX_LINE_BYTES = 1 << 20  # the driver ends a stream with a longer line


class Gateway:
    """A gateway that subscribes to these scopes. `relays`: [(name, region, address)]. `make_subscriber`:
    the class of its subscriber."""

    def __init__(self, play, name, region, scopes, relays, make_subscriber=Subscriber):
        self.play = play
        self.world = play.world
        self.links = play.links
        self.make_subscriber = make_subscriber
        self.name = name
        self.region = region
        self.scopes = scopes
        self.relays = relays
        self.rng = random.Random(f"gateway {play.schedule.seed} {name}")
        self.clock_offset = self.rng.randint(1, 10**6) * SECOND
        self.clock_rate = 1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self.clock_jump = 0
        self.incarnation = 0
        self.up = False
        self.frozen = False
        self.queued_inputs = []

    def now(self):
        return self.clock_offset + round(self.world.now * self.clock_rate) + self.clock_jump

    # ---- process

    def start(self):
        """Starts a new process under the same name, without any state."""
        if self.up:
            return
        self.up, self.frozen, self.queued_inputs = True, False, []
        self.incarnation += 1
        self.subscriber = self.make_subscriber(
            self.name, self.region, list(self.scopes), list(self.relays), self.rng.randrange(1 << 30)
        )
        self.in_force = {}
        self.stream = None
        self.pending_subscribe = None
        self.pending_acknowledgement = None
        self.next_wakeup = None
        self.cluster = ""  # whose state it has, by the first line that it accepted
        self.play.notify("gateway_started", self)
        self.turn()

    def kill(self):
        if self.up:
            self.up, self.frozen, self.queued_inputs = False, False, []
            if self.stream is not None:
                self.stream.close()
            self.stream = None

    def freeze(self):
        self.frozen = self.up

    def resume(self):
        if self.frozen:
            self.frozen, queued, self.queued_inputs = False, self.queued_inputs, []
            for incarnation, function, args in queued:
                if incarnation == self.incarnation and self.up:
                    function(*args)
            if self.up:
                self.turn()

    def take(self, incarnation, function, *args):
        if self.up and incarnation == self.incarnation:
            if self.frozen:
                self.queued_inputs.append((incarnation, function, args))
            else:
                function(*args)

    def rescope(self, scopes):
        """Changes the scopes, as when it starts to route to other services."""
        if self.frozen:
            return
        if self.up:
            changes = self.subscriber.change_scopes(self.now(), list(scopes))
            self.play.notify("scopes_changed", self, scopes, changes)
            for scope, key, _ in changes:
                self.in_force.pop((scope, key), None)
        self.scopes = scopes
        if self.up:
            self.turn()

    # ---- requests

    def turn(self):
        for _ in range(20):
            now = self.now()
            if self.stream is not None and self.subscriber.silent_ns(now) > STREAM_TIMEOUT:
                self.end("silent")
                continue
            request = self.subscriber.next(now)
            if request is None:
                break
            self.send(request)
        else:
            self.play.fail("Requests", f"{self.name} sends requests without end: {request}")
        due = self.subscriber.wake_at()
        if self.stream is not None:
            due = min(due, self.now() + SECOND)
        due = self.world.now + max(round((due - self.now()) / self.clock_rate), 5 * MS)
        if self.next_wakeup is None or due < self.next_wakeup or self.next_wakeup <= self.world.now:
            self.next_wakeup = due
            self.world.after(due - self.world.now, self.wake_up, self.incarnation, due)

    def wake_up(self, incarnation, due):
        if due == self.next_wakeup and incarnation == self.incarnation:
            self.take(incarnation, self.turn)

    def send(self, request):
        relay = self.play.relay_at(request.address)
        body = request.body if isinstance(request.body, bytes) else request.body.encode()
        if isinstance(request, Acknowledge):
            self.play.notify("acknowledgement_sent", self, json.loads(body))
            pending = self.pending_acknowledgement = object()
            end = self.take, self.incarnation, self.acknowledged, pending
            self.world.after(CALL_TIMEOUT, *end, False)
            arguments = self.name, self.incarnation, body, lambda good: end[0](*end[1:], good)
            self.links.carry(self.name, relay.name, relay.take, relay.acknowledge, *arguments)
            return
        if not isinstance(request, Subscribe):
            self.play.fail("Requests", f"{self.name} sends {request!r}")
        self.pending_acknowledgement = None
        self.play.notify("subscribe_sent", self, json.loads(body))
        if self.stream is not None:
            self.stream.close()
            self.stream = None
        call = self.pending_subscribe = object()
        incarnation = self.incarnation
        self.world.after(CALL_TIMEOUT, self.take, incarnation, self.subscribe_failed, call, "timed out")
        self.links.carry(self.name, relay.name, self.subscribe_arrived, relay, call, incarnation, body)

    def subscribe_arrived(self, relay, call, incarnation, body):
        """The request reaches the machine of the relay."""
        if not relay.up:
            return self.links.carry(
                relay.name, self.name, self.take, incarnation, self.subscribe_failed, call, "refused"
            )

        def answer(stream):
            self.take(incarnation, self.subscribe_answered, call, stream)

        def on_data(stream, data):
            return self.data_arrived(incarnation, stream, data)

        def on_end(stream, reason):
            self.take(incarnation, self.stream_ended, stream, reason)

        return relay.take(relay.subscribe, self.name, incarnation, body, answer, on_data, on_end)

    def acknowledged(self, pending, good):
        """The response arrived, or the time for it passed (`good` is False)."""
        if self.pending_acknowledgement is pending:
            self.pending_acknowledgement = None
            self.subscriber.acknowledgement_ended(self.now(), good)
            self.turn()

    def subscribe_failed(self, call, reason):
        if self.pending_subscribe is call:
            self.pending_subscribe = None
            self.subscriber.stream_ended(self.now(), reason)
            self.turn()

    def subscribe_answered(self, call, stream):
        if self.pending_subscribe is not call:
            if stream is not None:
                stream.close()
        elif stream is None or stream.closed_by_reader:
            self.subscribe_failed(call, "503" if stream is None else "reset")
        else:
            self.pending_subscribe, self.stream = None, stream

    # ---- lines

    def data_arrived(self, incarnation, stream, data):
        """Returns False while the process is frozen, as the data waits on its machine. Closes a stream that
        it doesn't read any more."""
        if self.up and incarnation == self.incarnation and self.frozen:
            return False
        if not self.up or incarnation != self.incarnation:
            stream.close()
        elif stream is self.stream:
            self.receive_line(stream, data)
        elif self.pending_subscribe is None:
            stream.close()
        else:
            return False  # the head of the response has not arrived yet
        return True

    def receive_line(self, stream, data):
        mark, data = (data[:1], data[1:]) if data[:1] in (UNREADABLE_MARK, HARMLESS_MARK) else (b"", data)
        before = self.play.applied_state(self) if mark else None
        now, line = self.now(), data.rstrip(b"\n")
        if len(line) > MAX_LINE_BYTES:
            return self.end("line too long")
        try:
            changes = self.subscriber.receive_line(now, line)
        except Unreadable:
            self.world.count("unreadable")
            if not mark:
                self.play.notify("line_unreadable", self, stream, data)
            elif before != self.play.applied_state(self):
                self.play.fail("InvalidLinesIgnored", f"{self.name} moved by {data[:80]!r}")
            self.end("unreadable")
            return self.turn()
        if mark == UNREADABLE_MARK:
            self.play.fail("InvalidLinesIgnored", f"{self.name} took {data[:80]!r}")
        if mark and (changes or before != self.play.applied_state(self)):
            self.play.fail("InvalidLinesIgnored", f"{self.name} moved by {data[:80]!r}: {changes}")
        if not self.cluster and line:
            self.cluster = self.play.relay_named(stream.relay).log.cluster
        for scope, key, record in changes:
            if record is not None and record.get("unfit"):
                index = self.subscriber.records[scope][key][0]
                self.subscriber.refuse(scope, key, index, "limit: expected a whole number")
                self.play.notify("record_refused", self, scope, key, record)
                continue
            self.play.notify("record_applied", self, stream, scope, key, record)
            if record is None:
                self.in_force.pop((scope, key), None)
            else:
                self.in_force[scope, key] = record
        self.play.notify("line_applied", self, stream)
        return self.turn()

    def end(self, reason):
        """Ends the stream at the gateway."""
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
            self.subscriber.stream_ended(self.now(), reason)

    def stream_ended(self, stream, reason):
        if stream is self.stream:
            self.stream = None
            self.subscriber.stream_ended(self.now(), reason)
            self.turn()
