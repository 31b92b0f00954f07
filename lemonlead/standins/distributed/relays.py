"""Simulated relays: the very Store, Outbox and Acknowledgements, with what the driver round them does."""

import random

from lemonlead.distribution.acknowledgements import Acknowledgements
from lemonlead.distribution.outbox import Outbox
from lemonlead.distribution.records import Acknowledgement, Subscription, parse_body
from lemonlead.distribution.store import Store

from . import links
from .links import MS, SECOND, Stream

ASKS = 150 * MS  # between two looks at the log, and up to as much more
BEAT = 2 * SECOND  # an empty line after so much silence
STALE = 8 * SECOND  # without word of the log: ends its streams, takes no more
LEASE, GRACE = 10 * SECOND, 2 * SECOND
RATE_OFF = 0.003  # clocks run that much off at most
BATCH = 40  # lines in one turn of one stream
STORE_KEPT_CHANGES = 90  # changes that its store keeps


class Relay:
    """A process that follows `log`. `rate`, `burst`: bytes, for each subscriber. `kinds`: the classes of
    Store, Outbox and Acknowledgements; tests put spoiled ones in."""

    def __init__(self, play, name, region, log, rate, burst, kinds=None):
        self.play, self.world, self.links = play, play.world, play.links
        self.name, self.region, self.log, self.real = name, region, log, log
        self.rate, self.burst = rate, burst
        self.kinds = {"store": Store, "outbox": Outbox, "acknowledged": Acknowledgements, **(kinds or {})}
        self.chance = random.Random(f"relay {play.schedule.seed} {name}")
        self.offset = self.chance.randint(1, 10**6) * SECOND
        self.clock = 1 + self.chance.uniform(-RATE_OFF, RATE_OFF)
        self.jumped, self.life, self.up, self.frozen = 0, 0, False, False
        self.lags = False  # does not ask the log
        self.mischief = None  # what becomes of its lines: (function or name, share)
        self.waiting = []

    def now(self):
        return self.offset + round(self.world.now * self.clock) + self.jumped

    # ---- life

    def start(self, older=None):
        """`older`: index of an old state that it comes back with."""
        if self.up:
            return
        self.up, self.frozen, self.waiting = True, False, []
        self.life += 1
        self.store = self.kinds["store"](self.log.cluster, kept=STORE_KEPT_CHANGES)
        self.acknowledged = self.kinds["acknowledged"](LEASE, GRACE, self.now())
        self.streams, self.outboxes, self.wakes, self.spoke = {}, {}, {}, {}
        self.heard, self.started = self.now(), self.world.now
        if older:
            self.store.replace(self.log.cluster, older, self.log.state(older))
        self.play.tell("relay_started", self)
        self.follow(self.life)
        self.beat(self.life)

    def kill(self):
        """The process ends; the machine resets what was connected to it."""
        if self.up:
            self.world.count("kills")
            self.up, self.frozen, self.waiting = False, False, []
            for stream in self.streams.values():
                stream.waiting.clear()
                stream.end("reset")
            self.streams, self.outboxes = {}, {}

    def freeze(self):
        self.frozen = self.up

    def go_on(self):
        if self.frozen:
            self.frozen, waiting, self.waiting = False, self.waiting, []
            self.chance.shuffle(waiting)  # a process that wakes up reads its sockets in any order
            for life, function, args in waiting:
                if life == self.life and self.up:
                    function(*args)

    def take(self, function, *args):
        """What comes in; it waits while the process stands still."""
        if self.up:
            if self.frozen:
                self.waiting.append((self.life, function, args))
            else:
                function(*args)

    def later(self, delay, function, *args):
        life = self.life

        def due():
            if life == self.life:
                self.take(function, *args)

        self.world.after(delay, due)

    # ---- the log

    def follow(self, life):
        self.later(ASKS + self.chance.randint(0, ASKS), self.follow, life)
        if not self.lags:
            self.links.carry(self.name, "log", self.asked, life, self.store.index)

    def asked(self, life, index):
        """At a member. A log that is silent does not answer."""
        log = self.log
        if log.is_silent:
            return
        news = log.changes_since(index)
        state = log.state(log.reported_index) if news is None else None
        self.links.carry("log", self.name, self.take, self.told, log, life, log.reported_index, news, state)

    def told(self, log, life, index, news, state):
        if life != self.life or log is not self.log or index < self.store.index:
            return
        self.heard = self.now()
        if state is not None:
            self.world.count("whole states")
            self.store.replace(log.cluster, index, state)
        for at, change in news or ():
            if at > self.store.index:
                self.store.apply(at, [change])
        for gateway in list(self.outboxes):
            self.pump(gateway)

    def stale(self):
        return self.store.index == 0 or self.now() - self.heard > STALE

    # ---- subscribers

    def subscribe(self, gateway, life, body, answer, taken, ended):
        """`answer`: function(stream or None) at the gateway."""
        about = parse_body(body, Subscription)
        now, name = self.now(), about.gateway
        if self.stale():
            return self.links.carry(self.name, gateway, answer, None)
        before = self.streams.pop(name, None)
        if before is not None:
            before.end("subscribed anew")
        stream = Stream(self.links, self.name, gateway, life, taken, ended, self.lost, self.room)
        self.streams[name] = stream
        self.spoke[name] = self.world.now, life, frozenset(about.scopes)
        stream.stay = about.stay
        ours = about.cluster == self.store.cluster
        scopes = dict(about.scopes) if ours else dict.fromkeys(about.scopes, 0)
        self.acknowledged.subscribe(now, name, about.region, scopes, about.stay)
        self.outboxes[name] = self.kinds["outbox"](
            now, self.store, dict(about.scopes), self.rate, self.burst, about.cluster or None
        )
        self.wakes[name] = None
        self.links.carry(self.name, gateway, answer, stream)
        self.pump(name)

    def lost(self, stream):
        self.take(self.gone, stream)

    def gone(self, stream):
        if self.streams.get(stream.gateway) is stream:
            del self.streams[stream.gateway], self.outboxes[stream.gateway]
            self.acknowledged.stream_ended(self.now(), stream.gateway, stream.stay)

    def acknowledge(self, gateway, life, body, answer):
        """`spoke` is for the judges: whose words of which life have come when, and for which scopes."""
        about, good = parse_body(body, Acknowledgement), False
        if about.cluster == self.store.cluster:
            told = about.complete, about.refused, about.stay
            good = self.acknowledged.acknowledge(self.now(), gateway, *told)
        if good:
            _, of, scopes = self.spoke[gateway]
            self.spoke[gateway] = self.world.now, max(life, of), scopes
        self.links.carry(self.name, gateway, answer, good)

    # ---- lines

    def room(self, stream):
        if self.streams.get(stream.gateway) is stream:
            self.take(self.pump, stream.gateway)

    def pump(self, name):
        stream, outbox = self.streams.get(name), self.outboxes.get(name)
        if stream is None:
            return
        now = self.now()
        for _ in range(BATCH):
            if stream.full:
                return
            line = outbox.next(now)
            if line is None:
                break
            self.send(stream, line)
        wake = outbox.wake_at()
        if wake is not None and self.wakes.get(name) != (stream, wake):
            self.wakes[name] = stream, wake
            self.later(max(round((wake - now) / self.clock), 0) + MS, self.due, name, stream)

    def due(self, name, stream):
        if self.streams.get(name) is stream:
            self.wakes[name] = None
            self.pump(name)

    def send(self, stream, line):
        line = line if line.endswith(b"\n") else line + b"\n"
        stream.said = self.now()
        self.play.tell("sent", self, stream, line)
        if self.mischief is not None and line.strip() and self.chance.random() < self.mischief[1]:
            for one in self.spoil(stream, line):
                stream.send(one)
            return
        if line.strip():
            stream.passed = [*stream.passed[-30:], line]
        stream.send(line)

    def spoil(self, stream, line):
        """What comes in place of this line. An own mark in front tells the gateway's judge what it was."""
        kind, chance = self.mischief[0], self.chance
        self.world.count(f"lines spoiled: {kind}")
        stream.spoiled = True
        if kind == "holes":
            return []
        if kind == "repeated":
            before = stream.passed
            return [*before, line, line] if len(before) < 30 else [line, line]
        if kind == "nonsense":
            return [HARMLESS_MARK + chance.choice(links.INVALID_LINES) + b"\n", line]
        made = {"garbled": links.garble_line, "endless": links.endless_line, "short": links.truncate_line}[
            kind
        ](line, chance)
        return [UNREADABLE_MARK + made]

    def beat(self, life):
        self.later(BEAT // 4, self.beat, life)
        now = self.now()
        forgotten = self.acknowledged.drop_silent(now)
        for name, stream in list(self.streams.items()):
            if self.stale() or name in forgotten:
                del self.streams[name], self.outboxes[name]
                self.acknowledged.stream_ended(now, name, stream.stay)
                stream.end("forgotten" if name in forgotten else "stale")
            elif now - stream.said >= BEAT - BEAT // 4 and not stream.full:
                self.send(stream, b"\n")


UNREADABLE_MARK, HARMLESS_MARK = b"\x01", b"\x02"  # taken off before the line is read
