"""Invariant checkers of the distribution. They see the events of relays and gateways and raise
InvariantViolation. They know the log, what gateways act on, and the bytes on the lines. Of the modules that
they check they use only the results, and compute all expected values themselves."""

import sys
from collections import deque

from lemonlead.standins.simulated.world import InvariantViolation

from .links import MS, SECOND
from .relays import GRACE, LEASE, MAX_CLOCK_DRIFT

STEADY_DRAIN_WITHIN = 4 * SECOND  # on a steady stream, whatever else is sent on it
DRAIN_WITHIN = 20 * SECOND  # while a relay that follows the log can be reached all the time
EQUAL_WITHIN = 20 * SECOND  # after all faults ended
URGENT_LINE_BYTES = 300  # upper bound of one urgent change
MAX_OUTBOX_BYTES = 8 * 1024  # that a relay keeps for one subscriber, plus:
OUTBOX_SCOPE_BYTES = 1024  # for each of its scopes
OUTBOX_KEY_BYTES = 200  # for each key of the scope whose snapshot is being sent
SUBSCRIBER_KEY_BYTES = 400  # that a gateway keeps for each key


class Checker:
    """Base class, with one method for each event. The Play sets `play`."""

    play = None

    def fail(self, message):
        raise InvariantViolation(type(self).__name__, message, self.play.world.now)

    def relay_started(self, relay): ...
    def gateway_started(self, gateway): ...
    def scopes_changed(self, gateway, scopes, changes): ...
    def subscribe_sent(self, gateway, request): ...
    def line_sent(self, relay, stream, line): ...
    def record_applied(self, gateway, stream, scope, key, record): ...
    def record_refused(self, gateway, scope, key, record): ...
    def line_applied(self, gateway, stream): ...
    def line_unreadable(self, gateway, stream, line): ...
    def acknowledgement_sent(self, gateway, request): ...
    def tick(self): ...
    def run_ended(self): ...


class RecordsInForce(Checker):
    """Keeps what each gateway acts on, as indexes of the log: the index of each record in force, and the
    index from which a dropped record may be gone. The other checkers read it, so it stands first.

    Checks that a record put in force was committed, for this scope and key and by the cluster whose state the
    gateway has, and that no record goes back."""

    def gateway_started(self, gateway):
        gateway.applied_indexes, gateway.dropped_indexes, gateway.refused_indexes = {}, {}, {}
        gateway.verified_indexes = {}  # scope to the index as of which it was last found up to date

    def log_of(self, gateway):
        return self.play.logs[gateway.cluster or self.play.log.cluster]

    def record_applied(self, gateway, stream, scope, key, record):
        log, place = self.log_of(gateway), (scope, key)
        had = gateway.applied_indexes.get(place, gateway.dropped_indexes.get(place, 0))
        if scope not in gateway.scopes:
            self.fail(f"{gateway.name} received {scope!r}, which is not of its scopes")
        if record is None:
            if place not in gateway.applied_indexes:
                return
            index = next((at for at, one in log.history[place] if one is None and at > had), None)
            if index is None:
                self.fail(f"{gateway.name} dropped {place}, in force as of {had}; that was never committed")
            dropped = gateway.subscriber.records.get(scope, {}).get(key)
            if (
                dropped is not None
                and dropped[1] is None
                and log.record_at(scope, key, dropped[0])[1] is None
            ):
                index = max(index, log.record_at(scope, key, dropped[0])[0])
            del gateway.applied_indexes[place]
            gateway.dropped_indexes[place] = index
            return
        of = log.stamps.get(record.get("stamp"))
        if of is None or of[:2] != place or log.entries[of[2] - 1][2] != record:
            self.fail(f"{gateway.name} has {place} {record}, which was never committed ({of})")
        if of[2] < had:
            self.fail(f"{gateway.name} went back at {place}, from {had} to {of[2]}")
        complete = gateway.reported_complete.get(scope, 0)
        if of[2] < log.record_at(scope, key, complete)[0]:
            self.fail(f"{gateway.name} went back at {place} to {of[2]}, complete to {complete}")
        gateway.applied_indexes[place] = of[2]
        gateway.dropped_indexes.pop(place, None)

    def scopes_changed(self, gateway, scopes, changes):
        """Checks that exactly the records of the dropped scopes go out of force."""
        for scope, key, record in changes:
            if record is not None or scope in scopes:
                self.fail(f"{gateway.name} puts {scope!r} {key} in force as its scopes change")
            gateway.applied_indexes.pop((scope, key), None)
        gateway.verified_indexes = {
            scope: index for scope, index in gateway.verified_indexes.items() if scope in scopes
        }
        for of in gateway.applied_indexes, gateway.dropped_indexes, gateway.refused_indexes:
            for scope, key in list(of):
                if scope not in scopes:
                    if of is gateway.applied_indexes:
                        self.fail(f"{gateway.name} acts on {scope!r} {key}, which is not of its scopes")
                    del of[scope, key]

    def record_refused(self, gateway, scope, key, record):
        of = self.log_of(gateway).stamps.get(record["stamp"])
        if of is None or of[:2] != (scope, key):
            self.fail(f"{gateway.name} received {scope} {key} {record}, which was never committed")
        gateway.refused_indexes[scope, key] = of[2]

    def index_in_force(self, gateway, log, place, changed):
        """Returns the index of the record that the gateway acts on. If it has none, the index of the
        removal, as it may have applied a removal after `changed`."""
        if place in gateway.applied_indexes:
            return gateway.applied_indexes[place]
        dropped = [at for at, record in log.history[place] if record is None and at > changed]
        return max(gateway.dropped_indexes.get(place, 0), *dropped[:1], 0)

    def behind(self, gateway, scope, index):
        """Returns the first key of the scope for which the gateway acts on an older record than the log has
        as of this index: (key, index in force, index of the log). None if there is none."""
        if index <= gateway.verified_indexes.get(scope, 0):
            return None  # records never go back
        log = self.log_of(gateway)
        for key in log.keys.get(scope, ()):
            changed, record = log.record_at(scope, key, index)
            if not changed:
                continue
            place = scope, key
            if record is None:
                if place in gateway.applied_indexes and gateway.applied_indexes[place] < changed:
                    return key, gateway.applied_indexes[place], changed
            elif self.index_in_force(gateway, log, place, changed) < changed:
                return key, gateway.applied_indexes.get(place, 0), changed
        gateway.verified_indexes[scope] = index
        return None


class Complete(Checker):
    """Everything that a gateway reports as complete is in force, except for the records that it reports as
    refused. The reported index of a scope never goes back within a process. The records of the Subscriber are
    what the gateway acts on."""

    def gateway_started(self, gateway):
        gateway.reported_complete, gateway.reported_refusals = {}, set()

    def subscribe_sent(self, gateway, request):
        self.check_complete(gateway, request["scopes"], gateway.refused_indexes)
        if request["cluster"] not in ("", gateway.cluster):
            self.fail(f"{gateway.name} says cluster {request['cluster']!r}, it has {gateway.cluster!r}")

    def scopes_changed(self, gateway, scopes, changes):
        gateway.reported_complete = {
            scope: index for scope, index in gateway.reported_complete.items() if scope in scopes
        }

    def acknowledgement_sent(self, gateway, request):
        self.play.world.count("acknowledgements")
        refused = {(scope, key): index for scope, key, index, _ in request.get("refused", ())}
        for place, index in gateway.refused_indexes.items():
            if gateway.applied_indexes.get(place, 0) < index <= request["complete"].get(place[0], 0):
                if refused.get(place) is None and place not in gateway.reported_refusals:
                    self.fail(f"{gateway.name} acknowledges {place} of {index}, which it refused")
                gateway.reported_refusals.add(place)
        self.check_complete(gateway, request["complete"], gateway.refused_indexes)

    def check_complete(self, gateway, complete, refused):
        records_in_force = self.play.checker(RecordsInForce)
        log = records_in_force.log_of(gateway)
        for scope, index in complete.items():
            if index < gateway.reported_complete.get(scope, 0):
                self.fail(
                    f"{gateway.name} has {scope} complete to {index}, "
                    f"after {gateway.reported_complete[scope]}"
                )
            if index == gateway.reported_complete.get(scope):
                continue
            gateway.reported_complete[scope] = index
            for key in log.keys.get(scope, ()):
                changed, record = log.record_at(scope, key, index)
                index_there = gateway.applied_indexes.get((scope, key), 0)
                if record is None:
                    wrong = 0 < index_there < changed
                else:
                    index_there = records_in_force.index_in_force(gateway, log, (scope, key), changed)
                    wrong = index_there < changed and refused.get((scope, key), 0) < changed
                if wrong:
                    self.fail(
                        f"{gateway.name} says {scope!r} complete to {index}, but has {key} of {index_there}, "
                        f"not {changed}"
                    )

    def line_applied(self, gateway, stream):
        """Checks one key drawn at random, and all refused records."""
        rng, records = self.play.check_rng, gateway.subscriber.records
        for (scope, key), index in gateway.refused_indexes.items():
            if records.get(scope, {}).get(key, (0,))[0] == index:
                self.fail(f"{gateway.name} refused {scope!r} {key} of {index}, its records have it")
        if gateway.in_force:
            scope, key = place = rng.choice(list(gateway.in_force))
            found = records.get(scope, {}).get(key)
            if place not in gateway.refused_indexes and (
                found is None or found[1] != gateway.in_force[place]
            ):
                self.fail(
                    f"{gateway.name} acts on {place} {gateway.in_force[place]}, its records say {found}"
                )

    def run_ended(self):
        for gateway in self.play.gateways:
            for scope, rows in gateway.subscriber.records.items():
                for key, (_, record) in rows.items():
                    if record is not None and gateway.in_force.get((scope, key)) != record:
                        self.fail(f"{gateway.name}: records have {scope} {key} {record}, not in force")


class Drains(Checker):
    """No gateway misses a drain or removal for long. Each tick updates since when each gateway can be
    reached."""

    def __init__(self):
        self.due = []  # (index, time of the report, scope, key), oldest first
        self.checked_index = 0
        self.reachable, self.steady_streams, self.missing = {}, {}, {}

    def gateway_started(self, gateway):
        self.missing[gateway.name] = []
        for relay in self.play.relays:
            self.reachable.pop((gateway.name, relay.name), None)
        self.steady_streams.pop(gateway.name, None)

    def tick(self):
        play, now = self.play, self.play.world.now
        log = play.log
        new_drains = []
        for index in range(self.checked_index + 1, log.reported_index + 1):
            scope, key, record = log.entries[index - 1]
            if record is None or record.get("state") == "draining":
                new_drains.append((index, now, scope, key))
        self.checked_index = log.reported_index
        following = {
            relay.name: (relay.incarnation, relay.clock_jump) for relay in play.relays if self.follows(relay)
        }
        for gateway in play.gateways:
            if not gateway.up or gateway.cluster not in ("", log.cluster):
                continue
            name = gateway.name
            missing = self.missing[name]
            missing += [one for one in new_drains if one[2] in gateway.scopes]
            mark = gateway.incarnation, gateway.clock_jump, gateway.frozen, log.is_silent
            since = now
            for to, state in following.items():
                if gateway.frozen or log.is_silent or not play.links.can_pass((to, name), (name, to)):
                    self.reachable.pop((name, to), None)
                    continue
                known = self.reachable.get((name, to))
                if known is None or known[0] != (state, mark):
                    known = self.reachable[name, to] = (state, mark), now
                since = min(since, known[1])
            for relay in play.relays:
                if relay.name not in following:
                    self.reachable.pop((name, relay.name), None)
            stream = gateway.stream
            is_steady = (
                stream is not None and (name, stream.relay) in self.reachable and not stream.closed_by_sender
            )
            mark = (stream, self.reachable.get((name, stream.relay))) if is_steady else None
            if mark is None or self.steady_streams.get(name, (None,))[0] != mark:
                self.steady_streams[name] = mark, now
            steady_since = self.steady_streams[name][1] if mark is not None else now
            if missing:
                self.check_missing(gateway, missing, since, steady_since)

    def follows(self, relay):
        """Returns whether the relay runs without faults and follows this log."""
        play = self.play
        return (
            relay.up and not relay.frozen and not relay.is_lagging and relay.line_fault is None
            and relay.log is play.log and play.links.can_pass((relay.name, "log"), ("log", relay.name))
        )  # fmt: skip

    def check_missing(self, gateway, missing, since, steady_since):
        now, still = self.play.world.now, []
        urgent = 0
        for one in missing:
            index, reported_at, scope, key = one
            if not 0 < gateway.applied_indexes.get((scope, key), 0) < index:
                if reported_at > steady_since + SECOND:
                    counts = self.play.world.counts
                    counts["slowest drain, ms"] = max(
                        counts.get("slowest drain, ms", 0), (now - reported_at) // MS
                    )
                continue
            still.append(one)
            urgent += URGENT_LINE_BYTES
            if now - max(reported_at, since) > DRAIN_WITHIN:
                self.fail(
                    f"{gateway.name} has missed the drain {index} of {scope} {key} for "
                    f"{(now - reported_at) // MS} ms, and could be reached for {(now - since) // MS} ms"
                )
            # a drain reported before its stream was steady may come at the end of a snapshot
            allowed = STEADY_DRAIN_WITHIN + urgent * SECOND // self.play.rate
            if reported_at > steady_since + SECOND and now - reported_at > allowed:
                self.fail(
                    f"{gateway.name} misses the drain {index} of {scope} {key} for "
                    f"{(now - reported_at) // MS} ms on a stream that is steady since {steady_since // MS} ms"
                )
        missing[:] = still


class Everywhere(Checker):
    """No scope is reported as in force everywhere while a gateway that counts acts on an older record. At
    one relay, a gateway counts if it sent a request to this process within lease and grace; over all
    relays, if all of them answer, it counts if it sent a request to any of them. Times are by the clock of
    the world, not by that of the relay."""

    COUNTED_FOR = int((LEASE + GRACE) * (1 - 2 * MAX_CLOCK_DRIFT)) - SECOND

    def __init__(self):
        self.last_contact = {}  # gateway to (time, process, scopes) over all relays
        self.reported_at_end = set()  # (relay, scope) reported as in force everywhere after all was equal

    def tick(self):
        play = self.play
        answers = []
        for scope, index in play.choose_indexes():
            answers = [(relay, self.force_report(relay, scope, index)) for relay in play.relays if relay.up]
            for relay, force in answers:
                if force is not None and force.everywhere:
                    play.world.count("told: everywhere here")
                    self.check(relay.last_contact, scope, index, relay.name)
            for relay, _ in answers:
                for name, last_contact in relay.last_contact.items():
                    self.last_contact[name] = max(
                        last_contact, self.last_contact.get(name, last_contact), key=lambda one: one[:2]
                    )
            if len(answers) == len(play.relays) and all(force and force.everywhere for _, force in answers):
                play.world.count("told: everywhere")
                self.check(self.last_contact, scope, index, "all relays together")

    def force_report(self, relay, scope, index):
        """Returns the relay's report, or None if it is frozen or of another cluster."""
        if relay.frozen or relay.log is not self.play.log:
            return None
        return relay.acknowledged.in_force(relay.now(), scope, index)

    def check(self, last_contact, scope, index, who):
        play, now = self.play, self.play.world.now
        for gateway in play.gateways:
            when, incarnation, scopes = last_contact.get(gateway.name, (0, 0, ()))
            if (
                not gateway.up
                or incarnation != gateway.incarnation
                or scope not in gateway.scopes
                or scope not in scopes
            ):
                continue
            if now - when < self.COUNTED_FOR and gateway.cluster in ("", play.log.cluster):
                behind = play.checker(RecordsInForce).behind(gateway, scope, index)
                if behind is not None:
                    self.fail(
                        f"{who}: {scope!r} in force everywhere as of {index}, but {gateway.name} has "
                        f"{behind[0]} of {behind[1]}, not {behind[2]}; "
                        f"last request {(now - when) // MS} ms ago"
                    )

    def find_missing_report(self):
        """Returns a relay and a scope that it has not reported as in force everywhere yet, though all is
        equal; empty if there is none. A relay that has reported it may stop for a moment when a gateway
        returns to it."""
        play, missing = self.play, ""
        for scope in play.changes.scopes():
            index = play.log.changed_indexes[scope][-1]
            for relay in play.relays:
                if (relay.name, scope) in self.reported_at_end:
                    continue
                force = self.force_report(relay, scope, index)
                if force.everywhere:
                    self.reported_at_end.add((relay.name, scope))
                else:
                    missing = (
                        f"{relay.name}: all is equal, but {scope!r} as of {index} is not reported as in "
                        f"force everywhere: {force.behind[:3]} {force.refused[:3]} of {force.counted}"
                    )
        return missing


class Budget(Checker):
    """The bytes sent to a subscriber within any second are at most rate and burst: on each stream by the
    clock of the relay, and to a gateway over all streams. Seconds in which a clock jumped are not
    checked."""

    def __init__(self):
        self.sent_lines = {}

    def line_sent(self, relay, stream, line):
        self.add((id(stream), "stream"), relay.now(), len(line), f"{relay.name} to {stream.gateway}", stream)
        if stream.closed_by_reader:  # nobody reads it, which the relay doesn't know yet
            return
        now = self.play.world.now
        self.add(
            stream.gateway,
            round(now * (1 + 2 * MAX_CLOCK_DRIFT)) + relay.clock_jump,
            len(line),
            stream.gateway,
            0,
        )

    def add(self, who, now, size, name, keep):
        recent = self.sent_lines.setdefault(who, (deque(), keep))[0]
        if recent and now - recent[-1][0] > 60 * SECOND or recent and now < recent[-1][0]:
            recent.clear()  # a clock jumped
        recent.append((now, size))
        while recent[0][0] <= now - SECOND:
            recent.popleft()
        total = sum(size for _, size in recent)
        self.play.world.counts["slowest second, bytes"] = max(
            self.play.world.counts.get("slowest second, bytes", 0), total
        )
        most = self.play.rate + self.play.burst
        if total > most:
            self.fail(f"{name}: {total} bytes in a second, at most {most}")


class Memory(Checker):
    """The memory that a relay uses for one subscriber is bounded, whatever waits to be sent, and so is the
    memory of a gateway's Subscriber."""

    def tick(self):
        play = self.play
        relay = play.check_rng.choice(play.relays)
        if not relay.up or not relay.outboxes:
            return
        name = play.check_rng.choice(sorted(relay.outboxes))
        outbox, gateway = relay.outboxes[name], play.gateway(name)
        size = deep_size(outbox, relay.store)
        largest = max(len(relay.log.keys.get(scope, ())) for scope in gateway.scopes)
        most = MAX_OUTBOX_BYTES + OUTBOX_SCOPE_BYTES * len(gateway.scopes) + OUTBOX_KEY_BYTES * largest
        counts = play.world.counts
        counts["slowest memory, bytes"] = max(counts.get("slowest memory, bytes", 0), size)
        if size > most:
            self.fail(f"{relay.name} keeps {size} bytes for {name}, at most {most}")

    def run_ended(self):
        play = self.play
        for gateway in play.check_rng.sample(play.gateways, 6):
            size = deep_size(gateway.subscriber, None)
            keys = sum(len(play.log.keys.get(scope, ())) for scope in gateway.scopes)
            in_force_bytes = sum(deep_size(one, None) for one in gateway.in_force.values())
            most = 16 * 1024 + keys * 2 * SUBSCRIBER_KEY_BYTES + in_force_bytes
            if size > most:
                self.fail(f"{gateway.name} keeps {size} bytes, at most {most} with {keys} keys")


def deep_size(thing, excluded):
    """Returns the bytes of all objects that `thing` refers to, each counted once. `excluded` (the store)
    and, if it is given, records are not counted."""
    seen, unvisited, size = {id(excluded)}, [thing], 0
    while unvisited:
        one = unvisited.pop()
        if id(one) in seen or isinstance(one, (type, type(sys))) or callable(one) and one is not thing:
            continue
        seen.add(id(one))
        size += sys.getsizeof(one, 64)
        if isinstance(one, dict):
            if "stamp" in one and excluded is not None:
                continue
            unvisited += list(one.keys()) + list(one.values())
        elif isinstance(one, (list, tuple, set, frozenset, deque)):
            unvisited += list(one)
        elif not isinstance(one, (int, float, str, bytes, bool, type(None))):
            unvisited += list(getattr(one, "__dict__", {}).values())
            for kind in type(one).__mro__:
                slots = getattr(kind, "__slots__", ())
                slots = (slots,) if isinstance(slots, str) else slots
                unvisited += [getattr(one, slot) for slot in slots if hasattr(one, slot)]
    return size


class Readable(Checker):
    """A gateway can read each line of an unspoiled stream of its cluster. (The simulated gateways check that
    invalid lines change nothing, as `InvalidLinesIgnored`.)"""

    def line_unreadable(self, gateway, stream, line):
        relay = self.play.relay_named(stream.relay)
        if relay.log.cluster == gateway.cluster and not stream.is_spoiled:
            self.fail(f"{gateway.name} could not read {line[:120]!r} of {relay.name}")


def all_checkers():
    return [RecordsInForce(), Complete(), Drains(), Everywhere(), Budget(), Memory(), Readable()]
