"""Simulated relays, with the real Store, Outbox and Acknowledgements, and a driver that works as the real
one."""

import random

from lemonlead.distribution.acknowledgements import Acknowledgements
from lemonlead.distribution.outbox import Outbox
from lemonlead.distribution.records import Acknowledgement, Subscription, parse_body
from lemonlead.distribution.store import Store

from . import links
from .links import MS, SECOND, Stream

POLL_INTERVAL = 150 * MS  # between two polls of the log, plus a random delay of at most as much
HEARTBEAT_INTERVAL = 2 * SECOND  # an empty line is sent after this time without a line
STALE_AFTER = 8 * SECOND  # without a response of the log, it ends its streams and refuses new ones
LEASE, GRACE = 10 * SECOND, 2 * SECOND
MAX_CLOCK_DRIFT = 0.003  # share by which a clock is fast or slow
MAX_LINES_PER_TURN = 40  # of one stream
STORE_KEPT_CHANGES = 90  # changes that its store keeps


class Relay:
    """A relay that follows `log`. `rate`: bytes a second, and `burst`: bytes, for each subscriber.
    `classes`: what tests use in place of Store, Outbox and Acknowledgements, by the names `store`, `outbox`
    and `acknowledged`."""

    def __init__(self, play, name, region, log, rate, burst, classes=None):
        self.play, self.world, self.links = play, play.world, play.links
        self.name = name
        self.region = region
        self.log = log
        self.own_log = log
        self.rate, self.burst = rate, burst
        self.classes = {"store": Store, "outbox": Outbox, "acknowledged": Acknowledgements, **(classes or {})}
        self.rng = random.Random(f"relay {play.schedule.seed} {name}")
        self.clock_offset = self.rng.randint(1, 10**6) * SECOND
        self.clock_rate = 1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self.clock_jump = 0
        self.incarnation = 0
        self.up = False
        self.frozen = False
        self.is_lagging = False  # it doesn't poll the log
        self.line_fault = None  # how lines are spoiled: (name, share of the lines)
        self.queued_inputs = []

    def now(self):
        return self.clock_offset + round(self.world.now * self.clock_rate) + self.clock_jump

    # ---- process

    def start(self, older=None):
        """Starts a new process. `older`: index of an old state that it starts with."""
        if self.up:
            return
        self.up, self.frozen, self.queued_inputs = True, False, []
        self.incarnation += 1
        self.store = self.classes["store"](self.log.cluster, kept=STORE_KEPT_CHANGES)
        self.acknowledged = self.classes["acknowledged"](LEASE, GRACE, self.now())
        self.streams = {}
        self.outboxes = {}
        self.wakeups = {}
        self.last_contact = {}
        self.log_read_at, self.started = self.now(), self.world.now
        if older:
            self.store.replace(self.log.cluster, older, self.log.state(older))
        self.play.notify("relay_started", self)
        self.poll_log(self.incarnation)
        self.heartbeat(self.incarnation)

    def kill(self):
        """Ends the process; its machine resets the connections."""
        if self.up:
            self.world.count("kills")
            self.up, self.frozen, self.queued_inputs = False, False, []
            for stream in self.streams.values():
                stream.unsent.clear()
                stream.end("reset")
            self.streams, self.outboxes = {}, {}

    def freeze(self):
        self.frozen = self.up

    def resume(self):
        if self.frozen:
            self.frozen, queued, self.queued_inputs = False, self.queued_inputs, []
            self.rng.shuffle(queued)  # after a pause a process reads its sockets in any order
            for incarnation, function, args in queued:
                if incarnation == self.incarnation and self.up:
                    function(*args)

    def take(self, function, *args):
        """Calls the function with an input; the inputs of a frozen process are queued."""
        if self.up:
            if self.frozen:
                self.queued_inputs.append((self.incarnation, function, args))
            else:
                function(*args)

    def later(self, delay, function, *args):
        incarnation = self.incarnation

        def due():
            if incarnation == self.incarnation:
                self.take(function, *args)

        self.world.after(delay, due)

    # ---- the log

    def poll_log(self, incarnation):
        self.later(POLL_INTERVAL + self.rng.randint(0, POLL_INTERVAL), self.poll_log, incarnation)
        if not self.is_lagging:
            self.links.carry(self.name, "log", self.poll_arrived, incarnation, self.store.index)

    def poll_arrived(self, incarnation, index):
        """A poll reaches a member, which doesn't answer while the log is silent."""
        log = self.log
        if log.is_silent:
            return
        changes = log.changes_since(index)
        state = log.state(log.reported_index) if changes is None else None
        self.links.carry(
            "log",
            self.name,
            self.take,
            self.changes_received,
            log,
            incarnation,
            log.reported_index,
            changes,
            state,
        )

    def changes_received(self, log, incarnation, index, changes, state):
        if incarnation != self.incarnation or log is not self.log or index < self.store.index:
            return
        self.log_read_at = self.now()
        if state is not None:
            self.world.count("whole states")
            self.store.replace(log.cluster, index, state)
        for at, change in changes or ():
            if at > self.store.index:
                self.store.apply(at, [change])
        for gateway in list(self.outboxes):
            self.send_lines(gateway)

    def is_stale(self):
        return self.store.index == 0 or self.now() - self.log_read_at > STALE_AFTER

    # ---- subscribers

    def subscribe(self, gateway, incarnation, body, answer, on_data, on_end):
        """`answer`: function(stream), called at the gateway, with None if the relay refuses."""
        request = parse_body(body, Subscription)
        now, name = self.now(), request.gateway
        if self.is_stale():
            return self.links.carry(self.name, gateway, answer, None)
        before = self.streams.pop(name, None)
        if before is not None:
            before.end("subscribed again")
        stream = Stream(
            self.links, self.name, gateway, incarnation, on_data, on_end, self.reader_lost, self.window_opened
        )
        self.streams[name] = stream
        self.last_contact[name] = self.world.now, incarnation, frozenset(request.scopes)
        stream.subscription_id = request.stay
        ours = request.cluster == self.store.cluster
        scopes = dict(request.scopes) if ours else dict.fromkeys(request.scopes, 0)
        self.acknowledged.subscribe(now, name, request.region, scopes, request.stay)
        self.outboxes[name] = self.classes["outbox"](
            now, self.store, dict(request.scopes), self.rate, self.burst, request.cluster or None
        )
        self.wakeups[name] = None
        self.links.carry(self.name, gateway, answer, stream)
        self.send_lines(name)

    def reader_lost(self, stream):
        self.take(self.end_lost_stream, stream)

    def end_lost_stream(self, stream):
        if self.streams.get(stream.gateway) is stream:
            del self.streams[stream.gateway], self.outboxes[stream.gateway]
            self.acknowledged.stream_ended(self.now(), stream.gateway, stream.subscription_id)

    def acknowledge(self, gateway, incarnation, body, answer):
        """Takes an acknowledgement and notes the gateway's last contact, which only the checkers read: the
        time, the process and the scopes."""
        request, good = parse_body(body, Acknowledgement), False
        if request.cluster == self.store.cluster:
            reported = request.complete, request.refused, request.stay
            good = self.acknowledged.acknowledge(self.now(), gateway, *reported)
        if good:
            _, of, scopes = self.last_contact[gateway]
            self.last_contact[gateway] = self.world.now, max(incarnation, of), scopes
        self.links.carry(self.name, gateway, answer, good)

    # ---- lines

    def window_opened(self, stream):
        if self.streams.get(stream.gateway) is stream:
            self.take(self.send_lines, stream.gateway)

    def send_lines(self, name):
        stream, outbox = self.streams.get(name), self.outboxes.get(name)
        if stream is None:
            return
        now = self.now()
        for _ in range(MAX_LINES_PER_TURN):
            if stream.full:
                return
            line = outbox.next(now)
            if line is None:
                break
            self.send(stream, line)
        wakeup = outbox.wake_at()
        if wakeup is not None and self.wakeups.get(name) != (stream, wakeup):
            self.wakeups[name] = stream, wakeup
            self.later(max(round((wakeup - now) / self.clock_rate), 0) + MS, self.timer_due, name, stream)

    def timer_due(self, name, stream):
        if self.streams.get(name) is stream:
            self.wakeups[name] = None
            self.send_lines(name)

    def send(self, stream, line):
        line = line if line.endswith(b"\n") else line + b"\n"
        stream.last_sent_at = self.now()
        self.play.notify("line_sent", self, stream, line)
        if self.line_fault is not None and line.strip() and self.rng.random() < self.line_fault[1]:
            for one in self.spoil_line(stream, line):
                stream.send(one)
            return
        if line.strip():
            stream.recent_lines = [*stream.recent_lines[-30:], line]
        stream.send(line)

    def spoil_line(self, stream, line):
        """Returns the lines that are sent in place of this line. A mark in front shows the simulated
        gateway how the line was spoiled."""
        kind, rng = self.line_fault[0], self.rng
        self.world.count(f"lines spoiled: {kind}")
        stream.is_spoiled = True
        if kind == "holes":
            return []
        if kind == "repeated":
            before = stream.recent_lines
            return [*before, line, line] if len(before) < 30 else [line, line]
        if kind == "nonsense":
            return [HARMLESS_MARK + rng.choice(links.INVALID_LINES) + b"\n", line]
        made = {"garbled": links.garble_line, "endless": links.endless_line, "short": links.truncate_line}[
            kind
        ](line, rng)
        return [UNREADABLE_MARK + made]

    def heartbeat(self, incarnation):
        self.later(HEARTBEAT_INTERVAL // 4, self.heartbeat, incarnation)
        now = self.now()
        forgotten = self.acknowledged.drop_silent(now)
        for name, stream in list(self.streams.items()):
            if self.is_stale() or name in forgotten:
                del self.streams[name], self.outboxes[name]
                self.acknowledged.stream_ended(now, name, stream.subscription_id)
                stream.end("forgotten" if name in forgotten else "stale")
            elif (
                now - stream.last_sent_at >= HEARTBEAT_INTERVAL - HEARTBEAT_INTERVAL // 4 and not stream.full
            ):
                self.send(stream, b"\n")


UNREADABLE_MARK, HARMLESS_MARK = b"\x01", b"\x02"  # in front of a spoiled line; removed before it is read
