"""A gateway's side: which relay it asks, what it puts in force, what it acknowledges.

Nothing goes back: a change counts only if it is newer than what the gateway has of its key, which includes
what was removed or refused, and an index up to which the scope is complete. The state of another cluster
counts scope by scope, once it was told whole, and only where no relay that was asked since tells of its own
cluster and at least half of all relays tell of the other: those that can't be reached tell nothing, so that a
stray one alone takes no gateway with it, where there are more than two. One that was left for another counts
no more.

Relays of its own region are tried first, then others in an order drawn by chance. Each wait is drawn by
chance too, the first one included, so that gateways that start, or lose their relay, at one moment do not
come together."""

import random
import re
from collections import deque
from dataclasses import dataclass

from .faults import Unreadable, Unusable, shown
from .records import (
    KEY,
    LONGEST_SAYS,
    MOST_REFUSED,
    Acknowledgement,
    Subscription,
    encode,
    gateway_name,
    positions,
    scope_name,
    unsealed,
)

MS = 1_000_000
FIRST = 1000 * MS  # within which gateways that start together subscribe
SHORTEST, LONGEST = 1000 * MS, 4000 * MS  # waits between tries, and rounds of all: a tenth to the whole
STEADY = 10_000 * MS  # a stream that stood for so long had no fault of its relay's making
ACKNOWLEDGES = 1000 * MS  # between two acknowledgements
BEAT = 3000 * MS  # between two signs of life
HOME, LONGEST_HOME = 60_000 * MS, 960_000 * MS  # between two looks whether a relay of its region is back
MOST_LEFT = 64  # clusters that were left for another; past it the oldest is forgotten
ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[1-9][0-9]{0,4}")
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Subscribe:
    address: str  # host:port
    body: bytes


@dataclass(frozen=True, slots=True)
class Acknowledge:
    address: str
    body: bytes


class Snapshot:
    """A scope that is being told whole. `told`: keys so far; of another cluster's, `staged` has the records,
    and nothing of it is in force yet."""

    __slots__ = ("told", "staged")

    def __init__(self, foreign):
        self.told, self.staged = set(), {} if foreign else None


class Subscriber:
    def __init__(self, me, region, scopes, relays, seed):
        """`me`: its name. `scopes`: names. `relays`: [(name, region, "host:port")]. `seed`: of this process
        alone. Unusable where one can't be."""
        self.me, self.region = gateway_name(me, "name", Unusable), gateway_name(region, "region", Unusable)
        scopes = asked(scopes)
        self.relays = checked(relays)
        self.random = random.Random(seed)
        self.boot, self.stays = f"{self.random.getrandbits(64):016x}", 0
        self.cluster, self.gone = "", deque(maxlen=MOST_LEFT)
        self.complete = dict.fromkeys(scopes, 0)
        self.records = {scope: {} for scope in scopes}  # {scope: {key: (index, record)}}, as in force
        self.past = {scope: {} for scope in scopes}  # key to index: removed, or refused, at
        self.early = {scope: {} for scope in scopes}  # key: the stream that told it ahead of `complete`
        self.foreign = set()  # scopes whose records are another cluster's, that it left
        self.refused = {}  # (scope, key): (index, why)
        self.before = {}  # of the last line, (scope, key): its index, (index, record) before it or None
        self.order, self.relay, self.length = [], None, SHORTEST
        # Since its own cluster was last heard: relays asked; relay: the other cluster that it told of.
        self.tried, self.others = set(), {}
        self.not_before, self.heard_at, self.reason = None, None, ""
        self.home_at, self.home = NEVER, HOME
        self.unsaid, self.saying, self.say_at, self.beat_at = set(), set(), 0, 0
        self.stream_anew()
        self.counts = dict.fromkeys(
            ("streams", "failures", "lines", "changes", "older", "snapshots", "anew", "acknowledged"), 0
        )

    def stream_anew(self):
        """Nothing is known of the stream that is next."""
        self.teller, self.lines, self.snapshots, self.stood = None, 0, {}, None

    # ---- inputs

    def receive_line(self, now, data):
        """A line of the stream, or an empty one: what to put in force now, [(scope, key, record or None)], to
        be put in force before `next` is called. Unreadable: nothing was changed."""
        if self.relay is None:
            raise Unreadable("a line, and no stream stands")
        if not data.strip():
            self.heard(now)
            return []
        line = self.checked(unsealed(data))
        self.before = {}
        found = []
        if line.cluster is not None:
            self.follow(line.cluster)
        elif line.snapshot is not None:
            self.snapshots[line.snapshot] = Snapshot(self.is_foreign(line.snapshot))
            self.counts["snapshots"] += 1
        else:
            for change in line.changes or ():
                self.change(found, *change)
            for scope, index in (line.complete or {}).items():
                self.completed(found, scope, index)
        self.lines += 1
        self.counts["lines"] += 1
        self.heard(now)
        return found

    def stream_ended(self, now, reason):
        """The stream ended, or could not be had. What is in force stays."""
        if self.relay is None:
            return
        self.counts["failures"] += 1
        self.reason = reason
        if self.stood is not None and now - self.stood >= STEADY:
            self.length, self.order = SHORTEST, []
            if self.relay[1] == self.region:
                self.home = HOME
        if self.order:
            self.not_before = now + self.drawn(SHORTEST)
        else:  # all were tried: longer each time
            self.not_before = now + self.drawn(self.length)
            self.length = min(2 * self.length, LONGEST)
        self.relay = None
        self.unsaid |= self.saying
        self.saying = set()
        self.stream_anew()

    def refuse(self, scope, key, index, says):
        """A record of the last line can't be used, or one that it drops can't be dropped: the one before
        stays in force. To be told before the next line. `index`: the record's, of one dropped any. `says`:
        where, what, expected."""
        held = self.records[scope]
        if (scope, key) not in self.before or key in held and held[key][0] != index:
            return
        index, before = self.before[scope, key]
        if before is None:
            held.pop(key, None)
        else:  # another cluster's index says nothing here
            held[key] = before[0] if before[0] < index else 0, before[1]
        self.past[scope][key] = index
        self.refused[scope, key] = index, str(says)[:LONGEST_SAYS]
        self.unsaid.add(scope)

    def acknowledgement_ended(self, now, good):
        """The relay took what was acknowledged last; or not: it is told again."""
        if not good:
            self.unsaid |= self.saying
        self.saying = set()

    def change_scopes(self, now, scopes):
        """The scopes that it needs from now on. Those that it has already go on from where they are, so that
        a change costs what it adds. What is out of force by it: [(scope, key, None)]."""
        scopes = asked(scopes)
        wanted, found = set(scopes), []
        for scope in [scope for scope in self.complete if scope not in wanted]:
            found += [(scope, key, None) for key in self.records[scope]]
            for table in (self.complete, self.records, self.past, self.early):
                del table[scope]
            self.foreign.discard(scope)
            self.refused = {key: why for key, why in self.refused.items() if key[0] != scope}
        for scope in scopes:
            if scope not in self.complete:
                self.complete[scope] = 0
                self.records[scope], self.past[scope], self.early[scope] = {}, {}, {}
        self.before = {}
        if self.relay is not None:
            self.order.insert(0, self.relay)
            self.relay, self.not_before = None, now
            self.stream_anew()
        return found

    # ---- decisions

    def next(self, now):
        """What to ask now: a Subscribe where no stream stands, or in place of one that does, which ends then;
        an Acknowledge beside the one that stands. None where it is to wait until `wake_at`."""
        if self.not_before is None:  # the first time
            self.not_before = now + self.drawn(FIRST)
            self.heard_at = now
        if self.relay is None:
            return self.subscribe(now) if now >= self.not_before else None
        if now >= self.home_at:
            return self.go_home(now)
        if self.teller is None or now < self.acknowledge_at():
            return None
        return self.acknowledge(now)

    def wake_at(self):
        """The moment at which `next` has something, as far as is known."""
        if self.not_before is None:
            return 0
        if self.relay is None:
            return self.not_before
        return min(self.acknowledge_at() if self.teller is not None else NEVER, self.home_at)

    def silent_ns(self, now):
        """Nanoseconds since the last whole line; since it began where none came."""
        return max(now - self.heard_at, 0) if self.heard_at is not None else 0

    # ---- relays

    def subscribe(self, now):
        if not self.order:
            near = [relay for relay in self.relays if relay[1] == self.region]
            far = [relay for relay in self.relays if relay[1] != self.region]
            self.random.shuffle(near)
            self.random.shuffle(far)
            self.order = near + far
        self.relay = self.order.pop(0)
        self.tried.add(self.relay)
        self.home_at = NEVER
        if self.relay[1] != self.region and any(region == self.region for _, region, _ in self.relays):
            self.home_at = now + self.random.randint(self.home // 2, self.home)
        self.stays += 1
        self.counts["streams"] += 1
        self.stream_anew()
        self.unsaid = {scope for scope, _ in self.refused}
        self.saying, self.say_at, self.beat_at = set(), now, now
        body = Subscription(self.me, self.region, self.cluster, self.complete, self.stay())
        return Subscribe(self.relay[2], encode(body))

    def go_home(self, now):
        """Looks whether a relay of its region is back; each time that none was, it waits longer."""
        self.order, self.length = [], SHORTEST
        self.home = min(2 * self.home, LONGEST_HOME)
        return self.subscribe(now)

    def stay(self):
        return f"{self.boot}/{self.stays}"

    def drawn(self, length):
        return self.random.randint(length // 10, length)

    def heard(self, now):
        self.heard_at = now
        if self.stood is None:
            self.stood = now

    # ---- acknowledging

    def acknowledge_at(self):
        return max(self.say_at, self.beat_at if not self.unsaid else 0)

    def acknowledge(self, now):
        """What is in force. Where more is refused than is told by name, those scopes are told only up to
        before it."""
        self.unsaid |= self.saying
        refused, complete = [], {}
        if self.teller == self.cluster:  # else nothing of what it tells is in force yet
            refused = sorted(
                (at, scope, key, says) for (scope, key), (at, says) in self.refused.items()
                if scope not in self.foreign
            )  # fmt: skip
            complete = {scope: self.complete[scope] for scope in self.unsaid if scope not in self.foreign}
        for at, scope, _, _ in refused[MOST_REFUSED:]:
            if scope in complete:
                complete[scope] = min(complete[scope], at - 1)
        named = [(scope, key, at, says) for at, scope, key, says in refused[:MOST_REFUSED]]
        self.unsaid, self.saying = set(), self.unsaid
        self.say_at, self.beat_at = now + ACKNOWLEDGES, now + BEAT
        self.counts["acknowledged"] += 1
        body = Acknowledgement(self.me, self.teller, complete, named, self.stay())
        return Acknowledge(self.relay[2], encode(body))

    # ---- a line

    def checked(self, line):
        """The line, where it may stand here; Unreadable where not."""
        kinds = (line.cluster is not None, line.snapshot is not None)
        tells = line.changes is not None or line.complete is not None
        if sum(kinds) + tells != 1 or (line.at is None) == kinds[0]:
            raise Unreadable("a line of no kind, or of several")
        if line.n is not None and line.n != self.lines + 1:
            raise Unreadable(f"line {line.n}; expected {self.lines + 1}")
        if kinds[0]:
            if not 0 < len(line.cluster) <= 100:
                raise Unreadable(f"cluster {shown(line.cluster)}")
            if line.cluster in self.gone:
                raise Unreadable(f"cluster {line.cluster} was left for {self.cluster}")
            if self.cluster not in ("", line.cluster) and not self.left_for(line.cluster):
                raise Unreadable(f"cluster {line.cluster}, not {self.cluster}; others are asked first")
        elif self.teller is None:
            raise Unreadable("a line before the one that names the cluster")
        scopes = [line.snapshot] if kinds[1] else [change[0] for change in line.changes or ()]
        for scope in (*scopes, *(line.complete or ())):
            if scope not in self.complete:
                raise Unreadable(f"scope {shown(scope)} was not asked for")
        once = set()
        for scope, key, _, _ in line.changes or ():
            if not KEY.fullmatch(key) or (scope, key) in once:
                raise Unreadable(f"scope {scope!r}: key {shown(key)} is none, or told twice")
            once.add((scope, key))
        for scope in line.complete or ():
            if scope not in self.snapshots and self.is_foreign(scope):
                raise Unreadable(f"scope {scope!r} of another cluster is complete, and was not told")
        return line

    def follow(self, cluster):
        """The cluster whose state this stream tells, from now on."""
        self.teller, self.snapshots = cluster, {}
        if not self.cluster:
            self.cluster = cluster
        if self.cluster == cluster:
            self.tried, self.others = set(), {}

    def left_for(self, cluster):
        """Whether its own cluster is left for this one, of which the relay that it asked tells."""
        self.others[self.relay] = cluster
        relays, telling = set(self.relays), [told for told in self.others.values() if told == cluster]
        return len(self.tried) == len(relays) and 2 * len(telling) >= len(relays)

    def is_foreign(self, scope):
        """Whether what is in force of it is another cluster's than what is told."""
        return self.teller != self.cluster or scope in self.foreign

    def change(self, found, scope, key, index, record):
        snapshot = self.snapshots.get(scope)
        if self.is_foreign(scope):
            if snapshot is not None and index > snapshot.staged.get(key, (0,))[0]:
                snapshot.staged[key] = index, record
            return
        if snapshot is not None:
            snapshot.told.add(key)
        held, past = self.records[scope], self.past[scope]
        old = held.get(key)
        newest = max(old[0] if old else self.complete[scope], past.get(key, 0))
        if old and index == old[0] and key in self.early[scope]:
            self.early[scope][key] = self.stays
        if index <= newest:
            self.counts["older"] += 1
            return
        self.put(found, scope, key, index, record)

    def put(self, found, scope, key, index, record):
        """In force from now on. The index of what is gone is kept until the scope is complete past it."""
        held = self.records[scope]
        old = held.get(key)
        self.before[scope, key] = index, old
        if self.refused.pop((scope, key), None) is not None:
            self.unsaid.add(scope)
        if record is None:
            held.pop(key, None)
            self.early[scope].pop(key, None)
            self.past[scope][key] = index
        else:
            held[key] = index, record
            self.past[scope].pop(key, None)
            if index > self.complete[scope]:
                self.early[scope][key] = self.stays
        if record != (old[1] if old is not None else None):
            self.counts["changes"] += 1
            found.append((scope, key, record))

    def completed(self, found, scope, index):
        snapshot = self.snapshots.pop(scope, None)
        if self.is_foreign(scope):
            self.anew(found, scope, index, snapshot.staged)
        elif index < self.complete[scope]:
            return
        elif snapshot is not None:
            for key, (at, _) in list(self.records[scope].items()):
                if at <= index and key not in snapshot.told:
                    self.put(found, scope, key, index, None)
            for key in [key for of, key in self.refused if of == scope and key not in snapshot.told]:
                if self.refused[scope, key][0] <= index:
                    del self.refused[scope, key]
        held = self.records[scope]
        early, self.early[scope] = self.early[scope], {}
        for key, told_by in early.items():
            if key in held and held[key][0] > index:
                self.early[scope][key] = told_by
            elif key in held and told_by != self.stays:  # gone since: this stream would have told it
                self.put(found, scope, key, index, None)
        if self.complete[scope] < index:
            self.complete[scope] = index
            self.unsaid.add(scope)
        for key, at in list(self.past[scope].items()):
            if at <= index and (scope, key) not in self.refused:
                del self.past[scope][key]

    def anew(self, found, scope, index, staged):
        """The first word of a scope of another cluster, whole: in place of what was there."""
        if self.cluster != self.teller:
            self.gone.append(self.cluster)
            self.cluster, self.foreign = self.teller, set(self.complete)
            self.complete = dict.fromkeys(self.complete, 0)
            self.counts["anew"] += 1
        self.foreign.discard(scope)
        self.past[scope], self.early[scope] = {}, {}
        self.refused = {key: why for key, why in self.refused.items() if key[0] != scope}
        for key in [key for key in self.records[scope] if staged.get(key, (0, None))[1] is None]:
            self.put(found, scope, key, index, None)
        for key, (at, record) in staged.items():
            if record is None:
                self.past[scope][key] = at
            else:
                self.put(found, scope, key, at, record)


def asked(scopes):
    """Scopes as they are handed in; Unusable where they can't be."""
    scopes = [scope_name(scope, "scopes", Unusable) for scope in scopes]
    positions(dict.fromkeys(scopes, 0), fault=Unusable)
    return scopes


def checked(relays):
    """The relays of the settings; Unusable where they can't be."""
    found = [tuple(relay) for relay in relays]
    if not found:
        raise Unusable("relays: none; expected at least one (name, region, host:port)")
    for relay in found:
        if len(relay) != 3 or type(relay[2]) is not str or not ADDRESS.fullmatch(relay[2]):
            raise Unusable(f"relays: {shown(relay)}; expected (name, region, IPv4 address:port)")
        gateway_name(relay[0], "relays", Unusable)
        gateway_name(relay[1], f"relays.{relay[0]}.region", Unusable)
    return found
