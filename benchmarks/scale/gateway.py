"""One hollow gateway: the real subscriber, listing and balancer, over sockets of its own. Left out are
clients, instances, discovery's changes, the loading of rules, and the thread that a real one has for this."""

import select
import time
from collections import deque

import msgspec

from lemonlead import interface as at
from lemonlead.balance import Balancer
from lemonlead.distribution.faults import Unreadable
from lemonlead.distribution.instance_records import INSTANCE, InstanceRecords
from lemonlead.distribution.subscriber import Acknowledge, Subscribe, Subscriber
from lemonlead.gateway import http
from lemonlead.standins.fleet import SETTINGS
from lemonlead.start_settings import start_from_settings

from .tally import Tally

now = time.monotonic_ns
S, MS = 1_000_000_000, 1_000_000
MOST_ACKNOWLEDGEMENTS = 64  # that wait at a gateway; past it its stream is begun anew
CUT_TIME = 1000 * MS  # until a call into a cut comes to nothing
ADDRESS = ("127.0.0.1", 7000)  # of every instance: none is called
COMPLETE = msgspec.json.Decoder(msgspec.defstruct("Line", [("complete", dict[str, int], {})])).decode


class Door:
    """What a balancer may ask of its host, where no request comes."""

    def watch_list(self):
        """Discovery's list is as it was at the start."""

    def log(self, text):
        """Not kept."""


DOOR = Door()


def line_of(id, zone, cell):
    """An instance as discovery lists it at the start."""
    return at.Instance(id, zone, 0, 1, cell, at.READY, 1.0, 0)


class Hollow:
    """One gateway."""

    def __init__(self, told, process, seed):
        self.name, self.region = told["name"], told["region"]
        self.scopes, self.wide = told["scopes"], told["wide"]
        self.twin = told["twin"]
        self.process, self.seed, self.starts = process, seed, 0
        self.tally = Tally() if self.wide else process.tally  # what it has takes minutes to come
        self.stream = self.acknowledger = None
        self.bytes_in = self.bytes_out = self.bytes_before = 0
        self.cpu = self.events = 0  # ns; how often it had its turn
        self.due = 0
        self.start()

    def start(self):
        """As a process that starts: nothing is known."""
        self.hang_up()
        self.starts += 1
        seed = self.seed + self.starts
        self.started_at = self.not_before = now()
        self.subscriber = Subscriber(self.name, self.region, list(self.scopes), self.process.relays, seed)
        self.balancer = Balancer(start_from_settings(SETTINGS, seed, self.started_at))
        self.listing = InstanceRecords(self, self.balancer.cold_time)
        self.listing.begin(self, *self.listed())
        self.queue, self.complete, self.early, self.ready_at = deque(), {}, set(), 0

    def listed(self):
        """What discovery lists at the start; the balancer is told it."""
        rows = (row for scope in self.scopes for row in self.process.instances.get(scope, ()))
        lines = [line_of(*row) for row in rows]
        self.balancer.list_received(self.started_at, lines, True, True)
        return lines, dict.fromkeys((line.id for line in lines), (ADDRESS, 0))

    def hang_up(self):
        for wire in (self.stream, self.acknowledger):
            if wire is not None:
                self.process.close(wire)
        self.stream = self.acknowledger = None

    def ended(self, reason):
        self.tally.counts[f"ended: {reason}"] += 1
        self.hang_up()
        self.queue.clear()
        self.subscriber.stream_ended(now(), reason)
        self.turn()

    # ---- what to do next

    def turn(self):
        moment = now()
        while (ask := self.subscriber.next(moment)) is not None:
            if isinstance(ask, Subscribe):
                if not self.open(ask):
                    return
            elif isinstance(ask, Acknowledge):
                self.queue.append(ask)
                self.acknowledge()
        self.process.wake(self, self.subscriber.wake_at())

    def open(self, ask):
        self.hang_up()
        self.tally.counts["subscribed"] += 1
        if self.process.is_cut(self.region, ask.address):
            self.process.later(now() + CUT_TIME, self, "cut off")
            return False
        self.stream = self.process.wire(self, "stream", ask.address)
        self.stream.send_request("POST", "/v1/subscribe", ask.body)
        return True

    def acknowledge(self):
        if len(self.queue) > MOST_ACKNOWLEDGEMENTS:
            self.tally.counts["acknowledgements dropped"] += len(self.queue)
            return self.ended("acknowledgements wait")
        wire = self.acknowledger
        if wire is not None and wire.busy or not self.queue:
            return None
        ask = self.queue.popleft()
        if wire is None or wire.address != ask.address:
            if wire is not None:
                self.process.close(wire)
            wire = self.acknowledger = self.process.wire(self, "acknowledge", ask.address)
        wire.send_request("POST", "/v1/acknowledge", ask.body)
        self.tally.counts["acknowledgements"] += 1
        return None

    # ---- what came

    def happened(self, wire, mask):
        try:
            if mask & select.EPOLLOUT:
                wire.write()
            if mask & ~select.EPOLLOUT:
                lines = wire.read()
                if lines:
                    (self.told if wire is self.stream else self.acknowledged)(wire, lines)
        except (OSError, ValueError, Unreadable) as error:
            if wire in (self.stream, self.acknowledger):
                self.ended(f"{wire.kind}: {str(error)[:40]}")

    def acknowledged(self, wire, lines):
        if wire.response.status == 404:
            return self.ended("acknowledge: not subscribed there")
        if lines[-1] is http.END:
            self.subscriber.acknowledgement_ended(now(), wire.response.status == 200)
            self.acknowledge()
        return None

    def told(self, wire, lines):
        for line in lines:
            if wire.response.status != 200 or line is http.END:
                return self.ended(f"stream: status {wire.response.status}")
            moment = now()
            changes = self.subscriber.receive_line(moment, line)
            if changes:
                self.use(changes)
            if line:
                self.tally.counts["lines"] += 1
                self.measure(moment, line, changes)
        self.turn()
        return None

    def use(self, changes):
        """In force: what the balancer has been told. Rules are left out: their records count as loaded, but
        at the twin, which refuses them as the real one does."""
        self.tally.counts["changes"] += len(changes)
        words = [change for change in changes if self.twin or change[1].startswith(INSTANCE)]
        for scope, key, says in self.listing.put(words) if words else ():
            held = self.subscriber.records[scope].get(key)
            if held is not None:
                self.tally.counts["refused"] += 1
                self.subscriber.refuse(scope, key, held[0], says)

    # ---- what a listing has in a real gateway: its dispatcher, its discovery

    def handle(self, happened, *values):
        moment = now()
        happened(moment, *values)
        while self.balancer.decide(moment, DOOR):
            pass

    def publish(self, moment, lines, _, whole, fresh):
        self.balancer.list_received(moment, lines, whole, fresh)

    def note(self, moment, scope, after, upto, early):
        """What was committed to a scope past one index up to the other is in force; `early`: before the scope
        is complete."""
        life = self.started_at, self.not_before, self.early
        self.process.notes.append((moment, self.tally, life, scope, after, upto, early))

    def measure(self, moment, line, changes):
        tally, after = self.tally, []
        for scope, key, record in changes:
            held = self.subscriber.records[scope].get(key)
            if record is not None and held is not None:  # else refused
                index = held[0]
                if index > self.complete.get(scope, 0):
                    after.append((scope, index))
        for scope, upto in COMPLETE(line).complete.items():
            before = self.complete.get(scope, 0)
            if upto > before:
                self.note(moment, scope, before, upto, False)
                self.complete[scope] = upto
        for scope, index in after:
            if index > self.complete.get(scope, 0) and (scope, index) not in self.early:
                self.early.add((scope, index))
                tally.early += 1
                self.note(moment, scope, index - 1, index, True)
        if not self.ready_at and len(self.complete) == len(self.scopes):
            self.ready_at = moment
            tally.counts["started"] += 1
            if not self.wide:
                self.process.starts.append((self.starts, (moment - self.started_at) // MS))

    # ---- whether all is as it should be

    def had(self):
        """How many scopes were told whole."""
        return len(self.complete)

    def wrong(self, truth):
        """Scopes that are not in force as the ledger has them. `truth`: {scope: {key: index}}."""
        for scope in self.scopes:
            have = {key: row[0] for key, row in self.subscriber.records[scope].items()}
            want = truth.get(scope, {})
            if self.twin:
                want = {key: index for key, index in want.items() if key.startswith(INSTANCE)}
            if have != want:
                yield scope
