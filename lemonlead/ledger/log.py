"""The in-memory log of a replica: all entries after its snapshot, and some before it for peers that lag.

It also tracks the members as of each MEMBERS entry, and which part of the log is on disk.
"""

from bisect import bisect_right
from collections import deque

import msgspec

from .records import COMMAND, MEMBERS, NOTHING, ConfiguredMember, Write

MAX_WRITES_IN_FLIGHT = 4  # changes that come meanwhile are grouped into the next write (group commit)
ENTRY_OVERHEAD_BYTES = 64  # counted for each entry in addition to its data
MAX_INTEGER = 1 << 62  # bound of indices, terms and times in messages; SQLite's integers are signed, 64 bits
MEMBERS_DECODER = msgspec.json.Decoder(dict[str, ConfiguredMember])


def decode_members(entry):
    """Returns the members that a MEMBERS entry holds, or None if its data is invalid."""
    try:
        return MEMBERS_DECODER.decode(entry.data) or None
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def is_valid_entry(entry):
    """Checks an entry of a received message, except its index and term, which are checked against the
    neighbouring entries."""
    return (
        entry.what in (NOTHING, COMMAND, MEMBERS)
        and 0 <= entry.moment < MAX_INTEGER
        and 0 <= entry.wall_ms < MAX_INTEGER
        and (entry.what != MEMBERS or decode_members(entry) is not None)
    )


class Log:
    """The entries `first` to `last`. The term of entry `first` - 1 is known as well."""

    def __init__(self, base, entries=()):
        self.first = base.index + 1
        self.term_before_first = base.term
        self.entries = []
        self.last = base.index
        self.last_term = base.term
        self.term_starts = []  # (index, term) of the first entry of each term in `entries`
        self.memberships = [(base.index, dict(base.members))]  # as of the base and of each MEMBERS entry
        self.moment = base.moment  # the greatest ledger time of an entry
        self.wall_ms = 0
        self.extend(entries)

    def extend(self, entries):
        """Appends entries that follow `last`."""
        for entry in entries:
            if entry.term != self.last_term:
                self.term_starts.append((entry.index, entry.term))
                self.last_term = entry.term
            if entry.what == MEMBERS and (members := decode_members(entry)):
                self.memberships.append((entry.index, members))
            if entry.moment > self.moment:
                self.moment = entry.moment
            if entry.wall_ms > self.wall_ms:
                self.wall_ms = entry.wall_ms
        self.entries += entries
        self.last += len(entries)

    def term(self, index):
        """Returns the term of an entry, or None if it is not known here."""
        if self.first <= index <= self.last:
            return self.entries[index - self.first].term
        return self.term_before_first if index == self.first - 1 else None

    def term_run_start(self, index):
        """Returns the first known index of the run of entries of one term that contains `index`."""
        at = bisect_right(self.term_starts, index, key=lambda start: start[0])
        return max(self.term_starts[at - 1][0], self.first) if at else self.first

    def slice(self, start, count):
        return self.entries[start - self.first : start - self.first + count]

    def batch(self, start, count, size):
        """Returns up to `count` entries from `start` on: at least one, otherwise at most `size` bytes."""
        found = self.slice(start, count)
        for at, entry in enumerate(found):
            size -= len(entry.data) + ENTRY_OVERHEAD_BYTES
            if size < 0 and at:
                return found[:at]
        return found

    def entries_from(self, start):
        return self.entries[start - self.first :]

    def truncate(self, start):
        """Removes the entries from `start` on."""
        del self.entries[start - self.first :]
        self.last = start - 1
        self.last_term = self.term(self.last)
        while self.term_starts and self.term_starts[-1][0] >= start:
            self.term_starts.pop()
        while self.memberships[-1][0] >= start:
            self.memberships.pop()
        self.moment = max((entry.moment for entry in self.entries[-1:]), default=self.moment)

    def discard_through(self, index, base):
        """Removes the entries up to `index`, which is at most `base.index`: a snapshot replaces them."""
        if index >= self.first:
            self.term_before_first = self.term(index)
            del self.entries[: index + 1 - self.first]
            self.first = index + 1
            at = bisect_right(self.term_starts, index, key=lambda start: start[0])
            del self.term_starts[: max(at - 1, 0)]
        at = bisect_right(self.memberships, base.index, key=lambda known: known[0])
        if at > 1:
            del self.memberships[: at - 1]

    def members_at(self, index):
        """Returns the members as of the entry at `index`."""
        at = bisect_right(self.memberships, index, key=lambda known: known[0])
        return self.memberships[max(at - 1, 0)][1]


class PendingWrites:
    """Tracks what the disk holds, which writes are in flight, and what is still to be written."""

    def __init__(self, last):
        self.number = self.done = 0  # number of the last Write submitted, and of the last one on disk
        self.in_flight = deque()  # [number, last index after it, submission time, base] of each Write
        self.submitted = self.on_disk = last  # last index submitted to the disk, and last index on disk
        self.truncate_from = None  # the next Write drops the entries from this index on
        self.vote_changed = False  # the term or the vote changed since the last Write
        self.base = None  # a complete received snapshot; nothing is appended until it is in force

    @property
    def next_number(self):
        """The number of the Write that will hold a change made now."""
        return self.number + 1

    def truncate(self, start):
        """The log no longer holds the entries from `start` on."""
        if start <= self.submitted:
            self.truncate_from = start if self.truncate_from is None else min(start, self.truncate_from)
        self.submitted, self.on_disk = min(self.submitted, start - 1), min(self.on_disk, start - 1)
        for write in self.in_flight:
            write[1] = min(write[1], start - 1)

    def take(self, now, term, voted, log):
        """Returns the next Write to submit, or None."""
        base = self.base if self.base is not None and not any(write[3] for write in self.in_flight) else None
        entries = self.base is None and log.last > self.submitted
        if len(self.in_flight) >= MAX_WRITES_IN_FLIGHT or not (
            self.vote_changed or entries or base or self.truncate_from is not None
        ):
            return None
        self.number += 1
        write = Write(self.number, term, voted, self.truncate_from)
        if base is not None:
            write.base = base
            if log.term(base.index) != base.term:
                write.cut = base.index + 1 if write.cut is None else min(write.cut, base.index + 1)
        elif entries:
            write.entries = log.entries_from(self.submitted + 1)
            self.submitted = log.last
        self.in_flight.append([self.number, self.submitted, now, base])
        self.vote_changed, self.truncate_from = False, None
        return write

    def written(self, number):
        """Records that this Write and all before it are on disk.

        Returns the base of the snapshot that came into force by it, or None.
        """
        base = None
        while self.in_flight and self.in_flight[0][0] <= number:
            self.done, last, _, installed = self.in_flight.popleft()
            self.on_disk, base = max(self.on_disk, last), installed or base
        return base

    def is_slow(self, now, patience):
        """Whether a Write has been in flight for more than `patience` nanoseconds."""
        return bool(self.in_flight) and now - self.in_flight[0][2] > patience
