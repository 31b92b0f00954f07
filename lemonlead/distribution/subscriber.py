"""The gateway's side of the distribution: decides which relay to connect to, what to put in force and what to
acknowledge.

State never goes back. A change counts only if it is newer than what the gateway has of its key, including
removals and refusals, and newer than the index up to which the scope is complete.

The state of another cluster replaces the current one scope by scope, each once it has been received whole.
This happens only when all relays have been tried without one that names the gateway's own cluster, and at
least half of all relays name the other cluster. Relays that can't be reached name none, so with more than two
relays a single stray one can't take over a gateway. A cluster that was replaced is never accepted again.

Relays of the gateway's region are tried first, then the others in random order. Each wait is random, the
first one included, so that gateways that start or lose their relay at the same time don't reconnect
together."""

import random
import re
from collections import deque
from dataclasses import dataclass

from .faults import Unreadable, Unusable, describe_value
from .records import (
    KEY,
    MAX_REASON_LENGTH,
    MAX_REFUSED,
    Acknowledgement,
    Subscription,
    check_gateway_name,
    check_scope_indexes,
    check_scope_name,
    encode,
    parse_line,
)

MS = 1_000_000
MAX_START_WAIT_NS = 1000 * MS  # spreads the first subscriptions of gateways that start together
# Waits between two tries, and between two rounds of all relays: a random time from a tenth of the bound.
MIN_BACKOFF_NS = 1000 * MS
MAX_BACKOFF_NS = 4000 * MS
STEADY_STREAM_NS = 10_000 * MS  # after a stream that lasted this long, waits start from the shortest again
ACKNOWLEDGE_INTERVAL_NS = 1000 * MS  # shortest time between two acknowledgements
HEARTBEAT_NS = 3000 * MS  # longest time between two acknowledgements
# Time between two attempts to return to a relay of the gateway's region; doubled after each.
MIN_REGION_RETRY_NS = 60_000 * MS
MAX_REGION_RETRY_NS = 960_000 * MS
MAX_LEFT_CLUSTERS = 64  # replaced clusters that are remembered
ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[1-9][0-9]{0,4}")
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Subscribe:
    """A request to open a stream. `body` is a Subscription as JSON."""

    address: str  # host:port
    body: bytes


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """A request to acknowledge. `body` is an Acknowledgement as JSON."""

    address: str
    body: bytes


class Snapshot:
    """A scope that is being received whole. `keys` holds the keys so far. For a scope of another cluster,
    `staged` holds the records, and none of them is in force yet."""

    __slots__ = ("keys", "staged")

    def __init__(self, foreign):
        self.keys, self.staged = set(), {} if foreign else None


class Subscriber:
    """The state of one gateway's subscription, over all its streams."""

    def __init__(self, name, region, scopes, relays, seed):
        """`name` is the gateway's name, `scopes` the names of its scopes, `relays` a list of (name, region,
        "host:port"). `seed` must differ between processes. Raises Unusable when a value is invalid."""
        self.name, self.region = (
            check_gateway_name(name, "name", Unusable),
            check_gateway_name(region, "region", Unusable),
        )
        scopes = check_scopes(scopes)
        self.relays = check_relays(relays)
        self.random = random.Random(seed)
        # Random per process, so that no subscription id is used twice.
        self.process_id, self.subscription_count = f"{self.random.getrandbits(64):016x}", 0
        self.cluster, self.left_clusters = "", deque(maxlen=MAX_LEFT_CLUSTERS)
        self.complete = dict.fromkeys(scopes, 0)
        self.records = {scope: {} for scope in scopes}  # {scope: {key: (index, record)}} in force
        self.dropped_at = {scope: {} for scope in scopes}  # by key: index of its removal or refusal
        self.ahead = {scope: {} for scope in scopes}  # by key: the stream that sent it ahead of `complete`
        self.foreign_scopes = set()  # scopes whose records still come from the previous cluster
        self.refused = {}  # (scope, key): (index, reason)
        # What the last line put in force: (scope, key) to (its index, the (index, record) before it or None).
        self.replaced = {}
        self.relays_to_try = []  # the rest of this round
        self.relay = None  # of the current stream
        self.max_wait = MIN_BACKOFF_NS
        # Since a relay last named this gateway's cluster: the relays tried, and the other cluster by relay.
        self.tried_relays, self.other_clusters = set(), {}
        self.not_before = None
        self.last_line_at = None
        self.end_reason = ""  # of the last stream
        self.region_retry_at = NEVER
        self.region_retry_interval = MIN_REGION_RETRY_NS
        # Scopes whose progress is to be sent, and scopes in the acknowledgement that is under way.
        self.to_acknowledge, self.being_acknowledged, self.acknowledge_not_before, self.heartbeat_at = (
            set(),
            set(),
            0,
            0,
        )
        self.reset_stream()
        self.counts = dict.fromkeys(
            ("streams", "failures", "lines", "changes", "older", "snapshots", "anew", "acknowledged"), 0
        )

    def reset_stream(self):
        """Forgets the state of the last stream."""
        self.stream_cluster, self.line_count, self.snapshots, self.first_line_at = None, 0, {}, None

    # ---- inputs

    def receive_line(self, now, data):
        """Takes a line of the stream, or an empty one. Returns what to put in force, [(scope, key, record or
        None)]; the caller puts it in force before it calls `next`. Raises Unreadable, and then nothing was
        changed."""
        if self.relay is None:
            raise Unreadable("a line, but there is no stream")
        if not data.strip():
            self.line_received(now)
            return []
        line = self.check_line(parse_line(data))
        self.replaced = {}
        changes = []
        if line.cluster is not None:
            self.set_stream_cluster(line.cluster)
        elif line.snapshot is not None:
            self.snapshots[line.snapshot] = Snapshot(self.is_from_other_cluster(line.snapshot))
            self.counts["snapshots"] += 1
        else:
            for change in line.changes or ():
                self.apply_change(changes, *change)
            for scope, index in (line.complete or {}).items():
                self.scope_completed(changes, scope, index)
        self.line_count += 1
        self.counts["lines"] += 1
        self.line_received(now)
        return changes

    def stream_ended(self, now, reason):
        """Records that the stream ended or could not be opened. What is in force stays."""
        if self.relay is None:
            return
        self.counts["failures"] += 1
        self.end_reason = reason
        if self.first_line_at is not None and now - self.first_line_at >= STEADY_STREAM_NS:
            self.max_wait, self.relays_to_try = MIN_BACKOFF_NS, []
            if self.relay[1] == self.region:
                self.region_retry_interval = MIN_REGION_RETRY_NS
        if self.relays_to_try:
            self.not_before = now + self.random_wait(MIN_BACKOFF_NS)
        else:  # all relays were tried: longer each time
            self.not_before = now + self.random_wait(self.max_wait)
            self.max_wait = min(2 * self.max_wait, MAX_BACKOFF_NS)
        self.relay = None
        self.to_acknowledge |= self.being_acknowledged
        self.being_acknowledged = set()
        self.reset_stream()

    def refuse(self, scope, key, index, reason):
        """Records that a record of the last line can't be used, or that a removed one can't be dropped; the
        previous record stays in force. Must be called before the next line. `index` is that of the record
        (any for a removal), `reason` says where, what and what was expected."""
        held = self.records[scope]
        if (scope, key) not in self.replaced or key in held and held[key][0] != index:
            return
        index, before = self.replaced[scope, key]
        if before is None:
            held.pop(key, None)
        else:  # an index of another cluster can't be compared
            held[key] = before[0] if before[0] < index else 0, before[1]
        self.dropped_at[scope][key] = index
        self.refused[scope, key] = index, str(reason)[:MAX_REASON_LENGTH]
        self.to_acknowledge.add(scope)

    def acknowledgement_ended(self, now, succeeded):
        """Records whether the relay accepted the last acknowledgement. If not, its content is sent again."""
        if not succeeded:
            self.to_acknowledge |= self.being_acknowledged
        self.being_acknowledged = set()

    def change_scopes(self, now, scopes):
        """Changes the scopes that the gateway needs. Scopes that it already has go on from where they are, so
        only added scopes cost anything. Returns what is no longer in force, [(scope, key, None)]."""
        scopes = check_scopes(scopes)
        wanted, changes = set(scopes), []
        for scope in [scope for scope in self.complete if scope not in wanted]:
            changes += [(scope, key, None) for key in self.records[scope]]
            for table in (self.complete, self.records, self.dropped_at, self.ahead):
                del table[scope]
            self.foreign_scopes.discard(scope)
            self.refused = {key: why for key, why in self.refused.items() if key[0] != scope}
        for scope in scopes:
            if scope not in self.complete:
                self.complete[scope] = 0
                self.records[scope], self.dropped_at[scope], self.ahead[scope] = {}, {}, {}
        self.replaced = {}
        if self.relay is not None:
            self.relays_to_try.insert(0, self.relay)
            self.relay, self.not_before = None, now
            self.reset_stream()
        return changes

    # ---- decisions

    def next(self, now):
        """Returns the next request: a Subscribe when there is no stream, or to replace the current one, which
        ends then; or an Acknowledge beside the current stream. Returns None when nothing is due before
        `wake_at`."""
        if self.not_before is None:  # the first time
            self.not_before = now + self.random_wait(MAX_START_WAIT_NS)
            self.last_line_at = now
        if self.relay is None:
            return self.subscribe(now) if now >= self.not_before else None
        if now >= self.region_retry_at:
            return self.retry_own_region(now)
        if self.stream_cluster is None or now < self.next_acknowledgement_at():
            return None
        return self.acknowledge(now)

    def wake_at(self):
        """Returns the time at which `next` has a request, as far as is known."""
        if self.not_before is None:
            return 0
        if self.relay is None:
            return self.not_before
        return min(
            self.next_acknowledgement_at() if self.stream_cluster is not None else NEVER, self.region_retry_at
        )

    def silent_ns(self, now):
        """Returns the nanoseconds since the last whole line, or since the start when none was received."""
        return max(now - self.last_line_at, 0) if self.last_line_at is not None else 0

    # ---- relays

    def subscribe(self, now):
        """Starts a new subscription at the next relay of the round and returns its request."""
        if not self.relays_to_try:
            near = [relay for relay in self.relays if relay[1] == self.region]
            far = [relay for relay in self.relays if relay[1] != self.region]
            self.random.shuffle(near)
            self.random.shuffle(far)
            self.relays_to_try = near + far
        self.relay = self.relays_to_try.pop(0)
        self.tried_relays.add(self.relay)
        self.region_retry_at = NEVER
        if self.relay[1] != self.region and any(region == self.region for _, region, _ in self.relays):
            self.region_retry_at = now + self.random.randint(
                self.region_retry_interval // 2, self.region_retry_interval
            )
        self.subscription_count += 1
        self.counts["streams"] += 1
        self.reset_stream()
        self.to_acknowledge = {scope for scope, _ in self.refused}
        self.being_acknowledged, self.acknowledge_not_before, self.heartbeat_at = set(), now, now
        body = Subscription(self.name, self.region, self.cluster, self.complete, self.subscription_id())
        return Subscribe(self.relay[2], encode(body))

    def retry_own_region(self, now):
        """Tries the relays of the gateway's region again; each time the wait until the next attempt is
        doubled."""
        self.relays_to_try, self.max_wait = [], MIN_BACKOFF_NS
        self.region_retry_interval = min(2 * self.region_retry_interval, MAX_REGION_RETRY_NS)
        return self.subscribe(now)

    def subscription_id(self):
        """Returns the id of the current subscription, sent as `stay`."""
        return f"{self.process_id}/{self.subscription_count}"

    def random_wait(self, length):
        """Returns a random wait between a tenth of `length` and the whole of it."""
        return self.random.randint(length // 10, length)

    def line_received(self, now):
        """Records the time of a whole line."""
        self.last_line_at = now
        if self.first_line_at is None:
            self.first_line_at = now

    # ---- acknowledging

    def next_acknowledgement_at(self):
        """Returns the time from which an acknowledgement is due."""
        return max(self.acknowledge_not_before, self.heartbeat_at if not self.to_acknowledge else 0)

    def acknowledge(self, now):
        """Returns the request that acknowledges what is in force. When more records are refused than one
        acknowledgement may list, their scopes are reported as complete only up to just before the first
        refusal that isn't listed."""
        self.to_acknowledge |= self.being_acknowledged
        refused, complete = [], {}
        if self.stream_cluster == self.cluster:  # else nothing of this stream is in force yet
            refused = sorted(
                (at, scope, key, reason) for (scope, key), (at, reason) in self.refused.items()
                if scope not in self.foreign_scopes
            )  # fmt: skip
            complete = {
                scope: self.complete[scope]
                for scope in self.to_acknowledge
                if scope not in self.foreign_scopes
            }
        for at, scope, _, _ in refused[MAX_REFUSED:]:
            if scope in complete:
                complete[scope] = min(complete[scope], at - 1)
        named = [(scope, key, at, reason) for at, scope, key, reason in refused[:MAX_REFUSED]]
        self.to_acknowledge, self.being_acknowledged = set(), self.to_acknowledge
        self.acknowledge_not_before, self.heartbeat_at = now + ACKNOWLEDGE_INTERVAL_NS, now + HEARTBEAT_NS
        self.counts["acknowledged"] += 1
        body = Acknowledgement(self.name, self.stream_cluster, complete, named, self.subscription_id())
        return Acknowledge(self.relay[2], encode(body))

    # ---- a line

    def check_line(self, line):
        """Returns the line if it is allowed at this point of the stream, else raises Unreadable."""
        kinds = (line.cluster is not None, line.snapshot is not None)
        tells = line.changes is not None or line.complete is not None
        if sum(kinds) + tells != 1 or (line.at is None) == kinds[0]:
            raise Unreadable("a line that is of no kind, or of several")
        if line.n is not None and line.n != self.line_count + 1:
            raise Unreadable(f"line {line.n}; expected {self.line_count + 1}")
        if kinds[0]:
            if not 0 < len(line.cluster) <= 100:
                raise Unreadable(f"cluster {describe_value(line.cluster)}")
            if line.cluster in self.left_clusters:
                raise Unreadable(f"cluster {line.cluster} was left for {self.cluster}")
            if self.cluster not in ("", line.cluster) and not self.may_switch_to(line.cluster):
                raise Unreadable(f"cluster {line.cluster}, not {self.cluster}; others are asked first")
        elif self.stream_cluster is None:
            raise Unreadable("a line before the one that names the cluster")
        scopes = [line.snapshot] if kinds[1] else [change[0] for change in line.changes or ()]
        for scope in (*scopes, *(line.complete or ())):
            if scope not in self.complete:
                raise Unreadable(f"scope {describe_value(scope)} was not asked for")
        once = set()
        for scope, key, _, _ in line.changes or ():
            if not KEY.fullmatch(key) or (scope, key) in once:
                raise Unreadable(f"scope {scope!r}: key {describe_value(key)} is invalid, or sent twice")
            once.add((scope, key))
        for scope in line.complete or ():
            if scope not in self.snapshots and self.is_from_other_cluster(scope):
                raise Unreadable(f"scope {scope!r} of another cluster is complete, but was not sent")
        return line

    def set_stream_cluster(self, cluster):
        """Sets the cluster whose state the rest of this stream carries."""
        self.stream_cluster, self.snapshots = cluster, {}
        if not self.cluster:
            self.cluster = cluster
        if self.cluster == cluster:
            self.tried_relays, self.other_clusters = set(), {}

    def may_switch_to(self, cluster):
        """Returns whether the gateway may leave its own cluster for this one, which the current relay
        names."""
        self.other_clusters[self.relay] = cluster
        relays, telling = (
            set(self.relays),
            [other for other in self.other_clusters.values() if other == cluster],
        )
        return len(self.tried_relays) == len(relays) and 2 * len(telling) >= len(relays)

    def is_from_other_cluster(self, scope):
        """Returns whether the records in force of a scope come from another cluster than the stream's."""
        return self.stream_cluster != self.cluster or scope in self.foreign_scopes

    def apply_change(self, changes, scope, key, index, record):
        """Takes one change of a line."""
        snapshot = self.snapshots.get(scope)
        if self.is_from_other_cluster(scope):
            if snapshot is not None and index > snapshot.staged.get(key, (0,))[0]:
                snapshot.staged[key] = index, record
            return
        if snapshot is not None:
            snapshot.keys.add(key)
        held, past = self.records[scope], self.dropped_at[scope]
        old = held.get(key)
        newest = max(old[0] if old else self.complete[scope], past.get(key, 0))
        if old and index == old[0] and key in self.ahead[scope]:
            self.ahead[scope][key] = self.subscription_count
        if index <= newest:
            self.counts["older"] += 1
            return
        self.put_in_force(changes, scope, key, index, record)

    def put_in_force(self, changes, scope, key, index, record):
        """Puts a record in force, or drops it. The index of a dropped key is kept until the scope is complete
        past it."""
        held = self.records[scope]
        old = held.get(key)
        self.replaced[scope, key] = index, old
        if self.refused.pop((scope, key), None) is not None:
            self.to_acknowledge.add(scope)
        if record is None:
            held.pop(key, None)
            self.ahead[scope].pop(key, None)
            self.dropped_at[scope][key] = index
        else:
            held[key] = index, record
            self.dropped_at[scope].pop(key, None)
            if index > self.complete[scope]:
                self.ahead[scope][key] = self.subscription_count
        if record != (old[1] if old is not None else None):
            self.counts["changes"] += 1
            changes.append((scope, key, record))

    def scope_completed(self, changes, scope, index):
        """Takes the index up to which the stream has sent a scope completely."""
        snapshot = self.snapshots.pop(scope, None)
        if self.is_from_other_cluster(scope):
            self.replace_scope(changes, scope, index, snapshot.staged)
        elif index < self.complete[scope]:
            return
        elif snapshot is not None:
            for key, (at, _) in list(self.records[scope].items()):
                if at <= index and key not in snapshot.keys:
                    self.put_in_force(changes, scope, key, index, None)
            for key in [key for of, key in self.refused if of == scope and key not in snapshot.keys]:
                if self.refused[scope, key][0] <= index:
                    del self.refused[scope, key]
        held = self.records[scope]
        early, self.ahead[scope] = self.ahead[scope], {}
        for key, sent_by in early.items():
            if key in held and held[key][0] > index:
                self.ahead[scope][key] = sent_by
            elif key in held and sent_by != self.subscription_count:
                # Removed since: otherwise this stream would have sent it.
                self.put_in_force(changes, scope, key, index, None)
        if self.complete[scope] < index:
            self.complete[scope] = index
            self.to_acknowledge.add(scope)
        for key, at in list(self.dropped_at[scope].items()):
            if at <= index and (scope, key) not in self.refused:
                del self.dropped_at[scope][key]

    def replace_scope(self, changes, scope, index, staged):
        """Replaces the records of a scope by the first whole state of it that comes from another cluster."""
        if self.cluster != self.stream_cluster:
            self.left_clusters.append(self.cluster)
            self.cluster, self.foreign_scopes = self.stream_cluster, set(self.complete)
            self.complete = dict.fromkeys(self.complete, 0)
            self.counts["anew"] += 1
        self.foreign_scopes.discard(scope)
        self.dropped_at[scope], self.ahead[scope] = {}, {}
        self.refused = {key: why for key, why in self.refused.items() if key[0] != scope}
        for key in [key for key in self.records[scope] if staged.get(key, (0, None))[1] is None]:
            self.put_in_force(changes, scope, key, index, None)
        for key, (at, record) in staged.items():
            if record is None:
                self.dropped_at[scope][key] = at
            else:
                self.put_in_force(changes, scope, key, at, record)


def check_scopes(scopes):
    """Returns the names of scopes, checked. Raises Unusable when they are invalid."""
    scopes = [check_scope_name(scope, "scopes", Unusable) for scope in scopes]
    check_scope_indexes(dict.fromkeys(scopes, 0), fault=Unusable)
    return scopes


def check_relays(relays):
    """Returns the relays of the settings, checked. Raises Unusable when they are invalid."""
    parsed = [tuple(relay) for relay in relays]
    if not parsed:
        raise Unusable("relays: none; expected at least one (name, region, host:port)")
    for relay in parsed:
        if len(relay) != 3 or type(relay[2]) is not str or not ADDRESS.fullmatch(relay[2]):
            raise Unusable(f"relays: {describe_value(relay)}; expected (name, region, IPv4 address:port)")
        check_gateway_name(relay[0], "relays", Unusable)
        check_gateway_name(relay[1], f"relays.{relay[0]}.region", Unusable)
    return parsed
