"""The state of all scopes as of one ledger index, and what changed last, at a relay.

Each scope has a log of its own that holds, for each changed key, the index of its last change. All logs
together hold at most `kept` keys; beyond that the oldest are dropped, and a subscriber that asks for changes
since a dropped one gets a snapshot of that scope. So the cost of a request is proportional to what changed,
and memory is bounded.

A whole state that follows a gap gives the differences. Keys that were put and dropped within the gap aren't
known: a subscriber that is complete up to an index within the gap takes a snapshot, and a subscriber that
received such a key ahead of `complete` drops it once its scope is complete past the gap (`subscriber.py`).
For this reason each scope counts as changed at the end of a gap.

A record is held as JSON. Key lists that several subscribers need are made once and shared."""

from bisect import bisect_left
from itertools import takewhile
from typing import NamedTuple

import msgspec

from .faults import Older, Senseless, TooLarge, describe_value
from .records import DRAIN, KEY, MAX_RECORD_BYTES, encode, check_index, check_scope_name, urgency

MAX_GAPS = 64  # beyond this the oldest two are merged
MAX_KEY_LISTS = 64  # lists of changes that a scope caches until it changes again


class VersionedRecord(NamedTuple):
    """The newest version of a key. `raw` is the record as JSON, None if it was removed."""

    index: int
    raw: bytes | None
    urgency: int


class KeyList(NamedTuple):
    """Keys to send, as of index `at`: all keys of the scope if `whole`, else the changed ones. `levels` holds
    them by urgency, in the order in which they changed."""

    at: int
    whole: bool
    levels: tuple


class ScopeState:
    """The records and the log of one scope."""

    __slots__ = ("records", "log", "floor", "last_change", "key_lists", "all_keys", "changes_since_all")

    def __init__(self, floor=0):
        self.records = {}  # VersionedRecord by key
        self.log = {}  # index of the last change by key, in order of change
        self.floor = self.last_change = floor  # the log has nothing up to `floor`
        self.key_lists, self.all_keys, self.changes_since_all = {}, None, 0


class Store:
    """The state of all scopes."""

    def __init__(self, cluster, kept=100_000):
        """`kept` is the number of keys that all logs together may hold. `cluster` is the ledger's id, ""
        until one is known."""
        self.cluster, self.max_log_keys, self.index = cluster, check_index(kept, "kept"), 0
        self.scopes = {}
        self.floor = 0  # floor of the scopes that aren't in `scopes`
        self.change_order = {}  # scopes in the order in which they changed
        self.log_keys = 0  # keys in all logs
        self.gaps = []  # (after, to) of the stretches of the ledger that came as a whole state
        self.last_gap_end = 0
        self.order_floor = 0  # changes up to this index may be of scopes that aren't in `change_order`

    # ---- inputs

    def replace(self, cluster, index, scopes):
        """Takes the whole state, {scope: {key: (index, record)}}. For the same cluster only differences count
        as changes; removed keys count as changed at `index`. Raises Older, Senseless or TooLarge, and then
        nothing was changed."""
        check_index(index, "index")
        if cluster == self.cluster and index < self.index:
            raise Older(f"a state as of {index}, and {self.index} is known")
        records_by_scope = {}
        for scope, records in scopes.items():
            check_scope_name(scope, "scopes")
            records_by_scope[scope] = {
                key: check_record(scope, key, at, record, index)
                for key, (at, record) in records.items() if record is not None
            }  # fmt: skip
        if (
            cluster == self.cluster
            and self.index
            and (changes := self.diff(index, records_by_scope)) is not None
        ):
            self.add_gap(index)
            self.apply_records(index, changes)
        else:
            self.reset(cluster, index, records_by_scope)

    def apply(self, index, changes):
        """Takes what one ledger entry changed, [(scope, key, record or None)]. Raises Older, Senseless or
        TooLarge, and then nothing was changed."""
        if check_index(index, "index", 1) <= self.index:
            raise Older(f"entry {index}, and {self.index} is known")
        found = {}
        for scope, key, record in changes:
            check_scope_name(scope, "changes")
            found[scope, key] = check_record(scope, key, index, record, index)
        self.apply_records(index, [(scope, key, new) for (scope, key), new in found.items()])

    # ---- queries

    def last_change(self, scope):
        """Returns the index of the scope's last change, 0 if there is none. What was removed before the
        relay's start isn't known, so the start counts as a change."""
        return max(self.scopes[scope].last_change if scope in self.scopes else self.floor, self.last_gap_end)

    def as_of(self, scope, index):
        """Returns the index of the scope's last change up to `index`: a subscriber that is complete up to the
        result has the scope as it was as of `index`. An index that this store hasn't reached is returned
        unchanged."""
        return min(index, self.last_change(scope)) if index <= self.index else index

    def changes_since(self, scope, index):
        """Returns the newest version of each key that changed after an index, [(key, index, record or None)],
        oldest first. Returns None when the log doesn't reach back that far."""
        found = self.scopes.get(scope)
        if not self.knows_all_since(found, index):
            return None
        if found is None:
            return []
        return [(key, at, decode_record(found.records.get(key))) for key, at in log_after(found.log, index)]

    def snapshot(self, scope):
        """Returns all records of a scope, [(key, index, record)]."""
        records = self.scopes[scope].records if scope in self.scopes else {}
        return [(key, held.index, decode_record(held)) for key, held in records.items()]

    def record_count(self, scope):
        """Returns the number of records of a scope."""
        return len(self.scopes[scope].records) if scope in self.scopes else 0

    def newest(self, scope, key):
        """Returns the VersionedRecord of a key, None when nothing is known of it."""
        found = self.scopes.get(scope)
        if found is None:
            return None
        held = found.records.get(key)
        if held is None and key in found.log:
            return VersionedRecord(found.log[key], None, DRAIN)
        return held

    def changed_scopes(self, index):
        """Returns the scopes that changed after an index, the last one first, or None when any scope may have
        changed."""
        if index < self.order_floor:
            return None
        return takewhile(lambda scope: self.scopes[scope].last_change > index, reversed(self.change_order))

    def list_changes(self, scope, index):
        """Returns a KeyList of what changed after an index, None when the log doesn't reach back that far."""
        found = self.scopes.get(scope)
        if not self.knows_all_since(found, index):
            return None
        if found is None:
            return KeyList(self.index, False, ((), (), ()))
        if index not in found.key_lists:
            if len(found.key_lists) >= MAX_KEY_LISTS:
                found.key_lists.clear()
            keys = [(key, found.records.get(key)) for key, _ in log_after(found.log, index)]
            found.key_lists[index] = KeyList(self.index, False, by_urgency(keys))
        return found.key_lists[index]

    def list_all(self, scope):
        """Returns a KeyList of all records. A list made earlier is reused while little has changed since."""
        found = self.scopes.get(scope)
        if found is None:
            return KeyList(self.index, True, ((), (), ()))
        old = found.all_keys
        if old is None or old.at < found.floor or found.changes_since_all * 8 > len(found.records):
            found.all_keys, found.changes_since_all = (
                KeyList(self.index, True, by_urgency(found.records.items())),
                0,
            )
        return found.all_keys

    # ---- inside

    def knows_all_since(self, found, index):
        """Returns whether everything that changed in a scope after an index is known."""
        if index < (self.floor if found is None else found.floor):
            return False
        place = bisect_left(self.gaps, (index, 0)) - 1  # the last gap that begins before it
        return place < 0 or index >= self.gaps[place][1]

    def add_gap(self, index):
        """Records that the changes between the current index and this one aren't known one by one."""
        if index > self.index:
            self.gaps.append((self.index, index))
            self.last_gap_end = self.order_floor = index
        if len(self.gaps) > MAX_GAPS:
            self.gaps[:2] = [(self.gaps[0][0], self.gaps[1][1])]

    def reset(self, cluster, index, records_by_scope):
        """Replaces everything; nothing is known of what was before."""
        gone = self.scopes if cluster == self.cluster else ()
        self.cluster, self.index, self.floor, self.log_keys = cluster, index, index, 0
        self.gaps, self.last_gap_end, self.order_floor = [], index, index
        self.scopes = {name: ScopeState(index) for name in (*records_by_scope, *gone)}
        for name, records in records_by_scope.items():
            self.scopes[name].records = records
        self.change_order = dict.fromkeys(self.scopes)

    def diff(self, index, records_by_scope):
        """Returns the differences of a whole state, in the order of their indexes, or None when it can't have
        followed from the state that is held."""
        changes = []
        for name in records_by_scope.keys() | self.scopes.keys():
            new = records_by_scope.get(name, {})
            old = self.scopes[name].records if name in self.scopes else {}
            for key, held in new.items():
                if key in old and old[key].index == held.index:
                    continue
                if held.index <= self.index:
                    return None
                changes.append((name, key, held))
            gone = [key for key in old if key not in new]
            if gone and index == self.index:
                return None
            changes += [(name, key, VersionedRecord(index, None, DRAIN)) for key in gone]
        changes.sort(key=lambda change: change[2].index)
        return changes

    def apply_records(self, index, changes):
        """Applies changes (scope, key, VersionedRecord), in order."""
        self.index = index
        for name, key, new in changes:
            found = self.scopes.get(name)
            if found is None:
                found = self.scopes[name] = ScopeState(self.floor)
            if found.log.pop(key, None) is None:
                self.log_keys += 1
            found.log[key] = new.index
            if new.raw is None:
                found.records.pop(key, None)
            else:
                found.records[key] = new
            found.last_change = new.index
            found.changes_since_all += 1
            found.key_lists.clear()
            self.change_order.pop(name, None)
            self.change_order[name] = None
        if self.log_keys > self.max_log_keys:
            self.trim_logs()

    def trim_logs(self):
        """Drops the oldest keys of all logs, an eighth at a time, so that the cost per change stays small."""
        indexes = sorted(at for found in self.scopes.values() for at in found.log.values())
        last = indexes[len(indexes) - self.max_log_keys + self.max_log_keys // 8 - 1]
        for name, found in list(self.scopes.items()):
            old = [key for key, _ in takewhile(lambda item: item[1] <= last, found.log.items())]
            if old:
                found.floor = found.log[old[-1]]
                found.key_lists.clear()
            for key in old:
                del found.log[key]
            self.log_keys -= len(old)
            if not found.records and not found.log:
                self.floor = max(self.floor, found.last_change)
                self.order_floor = max(self.order_floor, found.last_change)
                del self.scopes[name], self.change_order[name]


def check_record(scope, key, index, record, max_index):
    """Returns a record as a VersionedRecord. Raises Senseless or TooLarge when it is invalid."""
    if type(key) is not str or not KEY.fullmatch(key):
        raise Senseless(
            f"scope {scope!r}: key {describe_value(key)}; expected 1 to 200 characters without spaces"
        )
    check_index(index, f"scope {scope!r}, key {key}: index", 1)
    if index > max_index:
        raise Senseless(f"scope {scope!r}, key {key}: index {index}; expected at most {max_index}")
    if record is None:
        return VersionedRecord(index, None, DRAIN)
    if type(record) is not dict:
        raise Senseless(f"scope {scope!r}, key {key}: {describe_value(record)}; expected an object, or null")
    raw = encode(record)
    if len(raw) > MAX_RECORD_BYTES:
        raise TooLarge(
            f"scope {scope!r}, key {key}: a record of {len(raw)} bytes; at most {MAX_RECORD_BYTES}"
        )
    return VersionedRecord(index, raw, urgency(record))


def decode_record(held):
    """Returns the record of a VersionedRecord, None for None."""
    return None if held is None else msgspec.json.decode(held.raw)


def log_after(log, index):
    """Returns (key, index) of what changed after an index, oldest first."""
    return list(takewhile(lambda item: item[1] > index, reversed(log.items())))[::-1]


def by_urgency(items):
    """Returns the keys of (key, VersionedRecord or None) grouped by urgency."""
    levels = [], [], []
    for key, held in items:
        levels[DRAIN if held is None else held.urgency].append(key)
    return tuple(map(tuple, levels))
