"""Simulated gateways: the very Subscriber, with what the driver round it does. `force` is what a gateway acts
on: (scope, key) to record, by what Subscriber said to put in force."""

import json
import random

from lemonlead.distribution.subscriber import Acknowledge, Subscribe, Subscriber, Unreadable

from .links import MS, SECOND
from .relays import HARMLESS_MARK, RATE_OFF, UNREADABLE_MARK

TIME_OUT = 2 * SECOND  # of a call
SILENCE = 6 * SECOND  # without a whole line a stream has ended: three empty lines missed
MOST_LINE = 1 << 20  # bytes; the driver ends a stream whose line is longer


class Gateway:
    """`scopes`: names. `relays`: [(name, region, address)]. `make`: the class of Subscriber."""

    def __init__(self, play, name, region, scopes, relays, make=Subscriber):
        self.play, self.world, self.links, self.make = play, play.world, play.links, make
        self.name, self.region, self.scopes, self.relays = name, region, scopes, relays
        self.chance = random.Random(f"gateway {play.schedule.seed} {name}")
        self.offset = self.chance.randint(1, 10**6) * SECOND
        self.clock = 1 + self.chance.uniform(-RATE_OFF, RATE_OFF)
        self.jumped, self.life, self.up, self.frozen, self.waiting = 0, 0, False, False, []

    def now(self):
        return self.offset + round(self.world.now * self.clock) + self.jumped

    # ---- life

    def start(self):
        """A new process under the old name: it knows nothing."""
        if self.up:
            return
        self.up, self.frozen, self.waiting = True, False, []
        self.life += 1
        self.subscriber = self.make(
            self.name, self.region, list(self.scopes), list(self.relays), self.chance.randrange(1 << 30)
        )
        self.force, self.stream, self.calling, self.telling, self.wakes = {}, None, None, None, None
        self.cluster = ""  # whose state it has, by the first line that it took
        self.play.tell("gateway_started", self)
        self.turn()

    def kill(self):
        if self.up:
            self.up, self.frozen, self.waiting = False, False, []
            if self.stream is not None:
                self.stream.close()
            self.stream = None

    def freeze(self):
        self.frozen = self.up

    def go_on(self):
        if self.frozen:
            self.frozen, waiting, self.waiting = False, self.waiting, []
            for life, function, args in waiting:
                if life == self.life and self.up:
                    function(*args)
            if self.up:
                self.turn()

    def take(self, life, function, *args):
        if self.up and life == self.life:
            if self.frozen:
                self.waiting.append((life, function, args))
            else:
                function(*args)

    def rescope(self, scopes):
        """It routes to other services from now on."""
        if self.frozen:
            return
        if self.up:
            changes = self.subscriber.change_scopes(self.now(), list(scopes))
            self.play.tell("rescoped", self, scopes, changes)
            for scope, key, _ in changes:
                self.force.pop((scope, key), None)
        self.scopes = scopes
        if self.up:
            self.turn()

    # ---- what it asks

    def turn(self):
        for _ in range(20):
            now = self.now()
            if self.stream is not None and self.subscriber.silent_ns(now) > SILENCE:
                self.end("silent")
                continue
            ask = self.subscriber.next(now)
            if ask is None:
                break
            self.ask(ask)
        else:
            self.play.broken("Asks", f"{self.name} asks without end: {ask}")
        due = self.subscriber.wake_at()
        if self.stream is not None:
            due = min(due, self.now() + SECOND)
        due = self.world.now + max(round((due - self.now()) / self.clock), 5 * MS)
        if self.wakes is None or due < self.wakes or self.wakes <= self.world.now:
            self.wakes = due
            self.world.after(due - self.world.now, self.wake, self.life, due)

    def wake(self, life, due):
        if due == self.wakes and life == self.life:
            self.take(life, self.turn)

    def ask(self, ask):
        relay = self.play.at(ask.address)
        body = ask.body if isinstance(ask.body, bytes) else ask.body.encode()
        if isinstance(ask, Acknowledge):
            self.play.tell("acknowledges", self, json.loads(body))
            telling = self.telling = object()
            over = self.take, self.life, self.acknowledged, telling
            self.world.after(TIME_OUT, *over, False)
            told = self.name, self.life, body, lambda good: over[0](*over[1:], good)
            self.links.carry(self.name, relay.name, relay.take, relay.acknowledge, *told)
            return
        if not isinstance(ask, Subscribe):
            self.play.broken("Asks", f"{self.name} asks for {ask!r}")
        self.telling = None
        self.play.tell("subscribes", self, json.loads(body))
        if self.stream is not None:
            self.stream.close()
            self.stream = None
        call = self.calling = object()
        life = self.life
        self.world.after(TIME_OUT, self.take, life, self.failed, call, "timed out")
        self.links.carry(self.name, relay.name, self.reached, relay, call, life, body)

    def reached(self, relay, call, life, body):
        """At the relay's machine."""
        if not relay.up:
            return self.links.carry(relay.name, self.name, self.take, life, self.failed, call, "refused")

        def answer(stream):
            self.take(life, self.answered, call, stream)

        def taken(stream, data):
            return self.takes(life, stream, data)

        def ended(stream, reason):
            self.take(life, self.over, stream, reason)

        return relay.take(relay.subscribe, self.name, life, body, answer, taken, ended)

    def acknowledged(self, telling, good):
        """Answered, or not in time."""
        if self.telling is telling:
            self.telling = None
            self.subscriber.acknowledgement_ended(self.now(), good)
            self.turn()

    def failed(self, call, reason):
        if self.calling is call:
            self.calling = None
            self.subscriber.stream_ended(self.now(), reason)
            self.turn()

    def answered(self, call, stream):
        if self.calling is not call:
            if stream is not None:
                stream.close()
        elif stream is None or stream.closed_there:
            self.failed(call, "503" if stream is None else "reset")
        else:
            self.calling, self.stream = None, stream

    # ---- what it is told

    def takes(self, life, stream, data):
        """False while the process stands still: the bytes wait on its machine. A stream that it does not
        read any more is closed."""
        if self.up and life == self.life and self.frozen:
            return False
        if not self.up or life != self.life:
            stream.close()
        elif stream is self.stream:
            self.line(stream, data)
        elif self.calling is None:
            stream.close()
        else:
            return False  # the head of the answer is still on its way
        return True

    def line(self, stream, data):
        mark, data = (data[:1], data[1:]) if data[:1] in (UNREADABLE_MARK, HARMLESS_MARK) else (b"", data)
        before = self.play.seen(self) if mark else None
        now, line = self.now(), data.rstrip(b"\n")
        if len(line) > MOST_LINE:
            return self.end("a line without end")
        try:
            changes = self.subscriber.receive_line(now, line)
        except Unreadable:
            self.world.count("unreadable")
            if not mark:
                self.play.tell("unreadable", self, stream, data)
            elif before != self.play.seen(self):
                self.play.broken("Unmoved", f"{self.name} moved by {data[:80]!r}")
            self.end("unreadable")
            return self.turn()
        if mark == UNREADABLE_MARK:
            self.play.broken("Unmoved", f"{self.name} took {data[:80]!r}")
        if mark and (changes or before != self.play.seen(self)):
            self.play.broken("Unmoved", f"{self.name} moved by {data[:80]!r}: {changes}")
        if not self.cluster and line:
            self.cluster = self.play.at_name(stream.relay).log.cluster
        for scope, key, record in changes:
            if record is not None and record.get("unfit"):
                index = self.subscriber.records[scope][key][0]
                self.subscriber.refuse(scope, key, index, "limit: expected a whole number")
                self.play.tell("refuses", self, scope, key, record)
                continue
            self.play.tell("puts", self, stream, scope, key, record)
            if record is None:
                self.force.pop((scope, key), None)
            else:
                self.force[scope, key] = record
        self.play.tell("took", self, stream)
        return self.turn()

    def end(self, reason):
        """By its own choice."""
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
            self.subscriber.stream_ended(self.now(), reason)

    def over(self, stream, reason):
        if stream is self.stream:
            self.stream = None
            self.subscriber.stream_ended(self.now(), reason)
            self.turn()
