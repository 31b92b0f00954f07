"""The log as a replica holds it in memory: all entries after its snapshot, and some behind it for peers that
lag a little; the members as each MEMBERS entry has them; and what of it the disk holds."""

from bisect import bisect_right
from collections import deque

import msgspec

from .records import COMMAND, MEMBERS, NOTHING, ConfiguredMember, Write

MAX_WRITES_IN_FLIGHT = 4  # out at a time; what comes meanwhile goes into the next as one (group commit)
WEIGHT = 64  # bytes that an entry counts besides its data
BIGGEST = 1 << 62  # indices, terms, moments: past it a message is garbled (SQLite's integers are signed)
SEATS = msgspec.json.Decoder(dict[str, ConfiguredMember])


def seats_of(entry):
    """The members that a MEMBERS entry names; None where its bytes are none."""
    try:
        return SEATS.decode(entry.data) or None
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def sound(entry):
    """Whether an entry of a message can be one: against garbled ones, whose index and term are checked by
    their neighbours."""
    return (
        entry.what in (NOTHING, COMMAND, MEMBERS)
        and 0 <= entry.moment < BIGGEST
        and 0 <= entry.wall_ms < BIGGEST
        and (entry.what != MEMBERS or seats_of(entry) is not None)
    )


class Log:
    """Entries `first`..`last`. Of entry `first` - 1 the term is known as well."""

    def __init__(self, base, entries=()):
        self.first, self.before = base.index + 1, base.term
        self.entries, self.last, self.last_term = [], base.index, base.term
        self.starts = []  # (index, term) of the first entry of each term that is in `entries`
        self.memberships = [(base.index, dict(base.members))]  # as of the base, then each MEMBERS entry's
        self.moment = base.moment  # the greatest
        self.wall_ms = 0
        self.extend(entries)

    def extend(self, entries):
        """Entries that follow on `last`."""
        for entry in entries:
            if entry.term != self.last_term:
                self.starts.append((entry.index, entry.term))
                self.last_term = entry.term
            if entry.what == MEMBERS and (members := seats_of(entry)):
                self.memberships.append((entry.index, members))
            if entry.moment > self.moment:
                self.moment = entry.moment
            if entry.wall_ms > self.wall_ms:
                self.wall_ms = entry.wall_ms
        self.entries += entries
        self.last += len(entries)

    def term(self, index):
        """The term of an entry, None where it is not known here."""
        if self.first <= index <= self.last:
            return self.entries[index - self.first].term
        return self.before if index == self.first - 1 else None

    def run_start(self, index):
        """The first index known here of the run of entries of one term that holds `index`."""
        at = bisect_right(self.starts, index, key=lambda start: start[0])
        return max(self.starts[at - 1][0], self.first) if at else self.first

    def slice(self, start, count):
        return self.entries[start - self.first : start - self.first + count]

    def batch(self, start, count, size):
        """Up to `count` entries from `start`, one at least and no more than `size` bytes."""
        found = self.slice(start, count)
        for at, entry in enumerate(found):
            size -= len(entry.data) + WEIGHT
            if size < 0 and at:
                return found[:at]
        return found

    def since(self, start):
        return self.entries[start - self.first :]

    def cut(self, start):
        """Without the entries from `start` on."""
        del self.entries[start - self.first :]
        self.last = start - 1
        self.last_term = self.term(self.last)
        while self.starts and self.starts[-1][0] >= start:
            self.starts.pop()
        while self.memberships[-1][0] >= start:
            self.memberships.pop()
        self.moment = max((entry.moment for entry in self.entries[-1:]), default=self.moment)

    def drop(self, index, base):
        """Without the entries up to `index`, at most `base.index`, which a snapshot stands for."""
        if index >= self.first:
            self.before = self.term(index)
            del self.entries[: index + 1 - self.first]
            self.first = index + 1
            at = bisect_right(self.starts, index, key=lambda start: start[0])
            del self.starts[: max(at - 1, 0)]
        at = bisect_right(self.memberships, base.index, key=lambda kept: kept[0])
        if at > 1:
            del self.memberships[: at - 1]

    def members_at(self, index):
        at = bisect_right(self.memberships, index, key=lambda kept: kept[0])
        return self.memberships[max(at - 1, 0)][1]


class PendingWrites:
    """What the disk holds, what is on its way to it, and what is still to be given to it."""

    def __init__(self, last):
        self.number = self.done = 0  # of the last Write given, and of the last that is on disk
        self.out = deque()  # [number, last index with it, moment, base] of each Write that is out
        self.submitted = self.on_disk = last  # last index given to the disk, and on disk
        self.cutting = None  # the next Write drops from there on
        self.marked = False  # term or vote changed since the last Write
        self.base = None  # a snapshot received whole, to come into force; until then nothing is appended

    @property
    def next(self):
        """The Write that will hold what is changed now."""
        return self.number + 1

    def cut(self, start):
        if start <= self.submitted:
            self.cutting = start if self.cutting is None else min(start, self.cutting)
        self.submitted, self.on_disk = min(self.submitted, start - 1), min(self.on_disk, start - 1)
        for write in self.out:
            write[1] = min(write[1], start - 1)

    def take(self, now, term, voted, log):
        """The next Write, or None."""
        base = self.base if self.base is not None and not any(write[3] for write in self.out) else None
        entries = self.base is None and log.last > self.submitted
        if len(self.out) >= MAX_WRITES_IN_FLIGHT or not (
            self.marked or entries or base or self.cutting is not None
        ):
            return None
        self.number += 1
        write = Write(self.number, term, voted, self.cutting)
        if base is not None:
            write.base = base
            if log.term(base.index) != base.term:
                write.cut = base.index + 1 if write.cut is None else min(write.cut, base.index + 1)
        elif entries:
            write.entries = log.since(self.submitted + 1)
            self.submitted = log.last
        self.out.append([self.number, self.submitted, now, base])
        self.marked, self.cutting = False, None
        return write

    def written(self, number):
        """The disk holds this Write and all before it. The snapshot that came into force by it, or None."""
        base = None
        while self.out and self.out[0][0] <= number:
            self.done, last, _, of = self.out.popleft()
            self.on_disk, base = max(self.on_disk, last), of or base
        return base

    def slow(self, now, patience):
        """Whether a Write has been out for longer than that."""
        return bool(self.out) and now - self.out[0][2] > patience
