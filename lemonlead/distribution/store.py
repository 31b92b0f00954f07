"""What is true as of one index, at a relay: the records of all scopes, and what changed last.

Each scope has a log of its own: for each key that changed, the index at which it did last. All logs together
hold `kept` keys; past that the oldest are dropped, and whoever asks for what came after one of these takes a
snapshot of that scope. So what is asked for costs what changed, and memory is bounded.

A whole state after a gap tells what differs. What was put and dropped within the gap is not known: whoever is
complete to an index within it takes a snapshot; whoever was told of such a key ahead of `complete` drops it
once its scope is complete past it (`subscriber.py`), so each scope counts as touched then.

A record is held as its JSON. What several subscribers ask for alike is listed once for all of them."""

from bisect import bisect_left
from itertools import takewhile
from typing import NamedTuple

import msgspec

from .faults import Older, Senseless, TooLarge, shown
from .records import DRAIN, KEY, MOST_RECORD, encode, index_number, scope_name, urgency

MOST_GAPS = 64  # past it the oldest two count as one
MOST_LISTED = 64  # lists of what changed that a scope keeps until it changes again


class VersionedRecord(NamedTuple):
    """The newest of a key. `raw`: its record as JSON, None where it was removed."""

    index: int
    raw: bytes | None
    urgency: int


class KeyList(NamedTuple):
    """Keys to be told, as of index `at`; all that there are where `whole`, else what changed. `levels`: by
    urgency, in the order in which they changed."""

    at: int
    whole: bool
    levels: tuple


class Scope:
    __slots__ = ("records", "log", "floor", "touched", "listed", "all", "since_all")

    def __init__(self, floor=0):
        self.records, self.log = {}, {}  # key: VersionedRecord; key: index, in order
        self.floor = self.touched = floor  # what changed up to `floor` is in the log no more
        self.listed, self.all, self.since_all = {}, None, 0


class Store:
    def __init__(self, cluster, kept=100_000):
        """`kept`: keys in all logs together. `cluster`: the ledger's id, "" until one is known."""
        self.cluster, self.kept, self.index = cluster, index_number(kept, "kept"), 0
        self.scopes, self.floor = {}, 0  # floor: of scopes that are not in `scopes`
        self.order = {}  # scopes in the order in which they changed
        self.held = 0  # in all logs
        self.gaps, self.gapped = [], 0  # (after, to) of those that came by a whole state; the last one's end
        self.blind = 0  # what changed up to here may be of scopes that are not in `order`

    # ---- inputs

    def replace(self, cluster, index, scopes):
        """The whole state: {scope: {key: (index, record)}}. Of the same cluster, only what differs counts as
        changed: what is gone, as of `index`. Older, Senseless, TooLarge: nothing was changed."""
        index_number(index, "index")
        if cluster == self.cluster and index < self.index:
            raise Older(f"a state as of {index}, and {self.index} is known")
        words = {}
        for scope, records in scopes.items():
            scope_name(scope, "scopes")
            words[scope] = {
                key: word(scope, key, at, record, index)
                for key, (at, record) in records.items() if record is not None
            }  # fmt: skip
        if cluster == self.cluster and self.index and (changes := self.differences(index, words)) is not None:
            self.gap(index)
            self.take(index, changes)
        else:
            self.begin(cluster, index, words)

    def apply(self, index, changes):
        """What one entry changed, [(scope, key, record or None)]. Older, Senseless, TooLarge: nothing was
        changed."""
        if index_number(index, "index", 1) <= self.index:
            raise Older(f"entry {index}, and {self.index} is known")
        found = {}
        for scope, key, record in changes:
            scope_name(scope, "changes")
            found[scope, key] = word(scope, key, index, record, index)
        self.take(index, [(scope, key, new) for (scope, key), new in found.items()])

    # ---- what others ask

    def touched(self, scope):
        """The index of its last change, 0 if none. After a start it is not known what was removed before:
        that counts as a change then."""
        return max(self.scopes[scope].touched if scope in self.scopes else self.floor, self.gapped)

    def as_of(self, scope, index):
        """The index of the scope's last change up to this one: whoever is complete up to there has it as it
        was as of `index`. What is not known here yet stays as it is."""
        return min(index, self.touched(scope)) if index <= self.index else index

    def since(self, scope, index):
        """The newest word for each key that changed after an index: [(key, index, record or None)], oldest
        first; None where it is kept no more."""
        found = self.scopes.get(scope)
        if not self.follows(found, index):
            return None
        if found is None:
            return []
        return [(key, at, decoded(found.records.get(key))) for key, at in after(found.log, index)]

    def snapshot(self, scope):
        """All its records: [(key, index, record)]."""
        records = self.scopes[scope].records if scope in self.scopes else {}
        return [(key, held.index, decoded(held)) for key, held in records.items()]

    def size(self, scope):
        """How many records it has."""
        return len(self.scopes[scope].records) if scope in self.scopes else 0

    def word(self, scope, key):
        """The newest VersionedRecord of a key, None where nothing is known of it."""
        found = self.scopes.get(scope)
        if found is None:
            return None
        held = found.records.get(key)
        if held is None and key in found.log:
            return VersionedRecord(found.log[key], None, DRAIN)
        return held

    def changed(self, index):
        """Scopes that changed after an index, the last one first; None where any may have."""
        if index < self.blind:
            return None
        return takewhile(lambda scope: self.scopes[scope].touched > index, reversed(self.order))

    def news(self, scope, index):
        """A KeyList of what changed after an index, None where it is kept no more."""
        found = self.scopes.get(scope)
        if not self.follows(found, index):
            return None
        if found is None:
            return KeyList(self.index, False, ((), (), ()))
        if index not in found.listed:
            if len(found.listed) >= MOST_LISTED:
                found.listed.clear()
            keys = [(key, found.records.get(key)) for key, _ in after(found.log, index)]
            found.listed[index] = KeyList(self.index, False, by_urgency(keys))
        return found.listed[index]

    def whole(self, scope):
        """A KeyList of all records. One made before is good while what changed since is little."""
        found = self.scopes.get(scope)
        if found is None:
            return KeyList(self.index, True, ((), (), ()))
        old = found.all
        if old is None or old.at < found.floor or found.since_all * 8 > len(found.records):
            found.all, found.since_all = KeyList(self.index, True, by_urgency(found.records.items())), 0
        return found.all

    # ---- inside

    def follows(self, found, index):
        """Whether all that changed in a scope after an index is known."""
        if index < (self.floor if found is None else found.floor):
            return False
        place = bisect_left(self.gaps, (index, 0)) - 1  # the last one that begins before it
        return place < 0 or index >= self.gaps[place][1]

    def gap(self, index):
        if index > self.index:
            self.gaps.append((self.index, index))
            self.gapped = self.blind = index
        if len(self.gaps) > MOST_GAPS:
            self.gaps[:2] = [(self.gaps[0][0], self.gaps[1][1])]

    def begin(self, cluster, index, words):
        """Nothing is known of what was before."""
        gone = self.scopes if cluster == self.cluster else ()
        self.cluster, self.index, self.floor, self.held = cluster, index, index, 0
        self.gaps, self.gapped, self.blind = [], index, index
        self.scopes = {name: Scope(index) for name in (*words, *gone)}
        for name, records in words.items():
            self.scopes[name].records = records
        self.order = dict.fromkeys(self.scopes)

    def differences(self, index, words):
        """What a whole state differs by, in the order of its indexes; None where it can't have come from what
        is held."""
        changes = []
        for name in words.keys() | self.scopes.keys():
            new = words.get(name, {})
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

    def take(self, index, changes):
        """Changes as (scope, key, VersionedRecord), in order."""
        self.index = index
        for name, key, new in changes:
            found = self.scopes.get(name)
            if found is None:
                found = self.scopes[name] = Scope(self.floor)
            if found.log.pop(key, None) is None:
                self.held += 1
            found.log[key] = new.index
            if new.raw is None:
                found.records.pop(key, None)
            else:
                found.records[key] = new
            found.touched = new.index
            found.since_all += 1
            found.listed.clear()
            self.order.pop(name, None)
            self.order[name] = None
        if self.held > self.kept:
            self.trim()

    def trim(self):
        """Drops the oldest of all logs, an eighth of them at once: so it costs little for each change."""
        indexes = sorted(at for found in self.scopes.values() for at in found.log.values())
        last = indexes[len(indexes) - self.kept + self.kept // 8 - 1]
        for name, found in list(self.scopes.items()):
            old = [key for key, _ in takewhile(lambda item: item[1] <= last, found.log.items())]
            if old:
                found.floor = found.log[old[-1]]
                found.listed.clear()
            for key in old:
                del found.log[key]
            self.held -= len(old)
            if not found.records and not found.log:
                self.floor = max(self.floor, found.touched)
                self.blind = max(self.blind, found.touched)
                del self.scopes[name], self.order[name]


def word(scope, key, index, record, most):
    if type(key) is not str or not KEY.fullmatch(key):
        raise Senseless(f"scope {scope!r}: key {shown(key)}; expected 1 to 200 characters without spaces")
    index_number(index, f"scope {scope!r}, key {key}: index", 1)
    if index > most:
        raise Senseless(f"scope {scope!r}, key {key}: index {index}; expected at most {most}")
    if record is None:
        return VersionedRecord(index, None, DRAIN)
    if type(record) is not dict:
        raise Senseless(f"scope {scope!r}, key {key}: {shown(record)}; expected an object, or null")
    raw = encode(record)
    if len(raw) > MOST_RECORD:
        raise TooLarge(f"scope {scope!r}, key {key}: a record of {len(raw)} bytes; at most {MOST_RECORD}")
    return VersionedRecord(index, raw, urgency(record))


def decoded(held):
    return None if held is None else msgspec.json.decode(held.raw)


def after(log, index):
    """(key, index) of what changed after an index, oldest first."""
    return list(takewhile(lambda item: item[1] > index, reversed(log.items())))[::-1]


def by_urgency(items):
    levels = [], [], []
    for key, held in items:
        levels[DRAIN if held is None else held.urgency].append(key)
    return tuple(map(tuple, levels))
