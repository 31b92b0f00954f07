"""A folder on a simulated disk: what is synced when, what a crash leaves, what fails."""

import random
from dataclasses import dataclass, field

from lemonlead.ledger.records import SnapshotBase, StoredState

MS = 1_000_000


@dataclass(slots=True)
class Held:
    """What a folder holds: as a replica writes it, and the bytes of the snapshot that `base` names."""

    term: int = 0
    voted: str = ""
    base: SnapshotBase = field(default_factory=SnapshotBase)
    entries: list = field(default_factory=list)
    snapshot: bytes = b""

    def copy(self):
        return Held(self.term, self.voted, self.base, list(self.entries), self.snapshot)

    @property
    def last(self):
        return self.entries[-1].index if self.entries else self.base.index

    def entry(self, index):
        """That entry, or None where it is not here (or behind the base)."""
        at = index - self.base.index - 1
        return self.entries[at] if 0 <= at < len(self.entries) else None

    def take(self, work):
        """One Write, whole; ValueError where it leaves a hole in the log."""
        write = work.write
        if write is None:
            return self.rest_on(work.base, work.snapshot)
        self.term, self.voted = write.term, write.voted
        if write.base is not None:
            self.rest_on(write.base, work.snapshot)
        if write.cut is not None:
            del self.entries[max(write.cut - self.base.index - 1, 0) :]
        for entry in write.entries:
            if entry.index <= self.base.index:
                continue
            if entry.index != self.last + 1:
                raise ValueError(f"entry {entry.index} written after {self.last}")
            self.entries.append(entry)

    def rest_on(self, base, snapshot):
        """Stands on this base from now on; an older one is passed over."""
        if base.index <= self.base.index:
            return
        mark = self.entry(base.index)
        fits = mark is not None and mark.term == base.term
        self.entries = [entry for entry in self.entries if entry.index > base.index] if fits else []
        self.base, self.snapshot = base, snapshot


@dataclass(slots=True)
class Work:
    """A Write of the replica, or a snapshot of its own (`base`, without `write`)."""

    write: object = None
    base: SnapshotBase | None = None
    snapshot: bytes = b""
    done: object = None  # function() once it is synced


class Disk:
    """One folder. Works are synced in order, those that wait together; a crash keeps the first few of those
    that were not synced yet, each whole or not at all."""

    def __init__(self, folder, seed, after, held=None, synced=None):
        self.folder, self.after = folder, after
        self.chance = random.Random(f"disk {seed} {folder}")
        self.held = held or Held()  # what is synced
        self.ahead = self.held.copy()  # with all that was asked for
        self.works, self.busy, self.life = [], False, 0
        self.least, self.most = 1 * MS, 6 * MS
        self.broken = ""  # why every sync fails
        self.failing = None  # function(why), told at the first sync that fails
        self.synced = synced  # function(disk) after each sync

    def submit(self, work):
        if self.broken:
            return self.fail()
        self.ahead.take(work)
        self.works.append(work)
        if not self.busy:
            self.sync()

    def sync(self):
        self.busy = True
        delay = self.chance.randint(self.least, self.most)
        self.after(delay, self.finish, self.life, len(self.works))

    def finish(self, life, count):
        if life != self.life:
            return
        if self.broken:
            return self.fail()
        some, self.works = self.works[:count], self.works[count:]
        for work in some:
            self.held.take(work)
        if self.synced:
            self.synced(self)
        self.busy = False
        if self.works:
            self.sync()
        for work in some:
            if life != self.life:
                return
            work.done()

    def fail(self):
        """Some of what waits may be on the disk all the same; nobody is told which."""
        why, tell = self.broken, self.failing
        self.crash()
        if tell:
            tell(why)

    def crash(self):
        """The machine is gone, or the process: the first few works may have come through."""
        for work in self.works[: self.chance.randint(0, len(self.works))]:
            self.held.take(work)
        if self.synced:
            self.synced(self)
        self.life += 1
        self.works, self.busy, self.failing = [], False, None
        self.ahead = self.held.copy()

    def at_speed(self):
        """No longer slow; a broken one stays so."""
        self.least, self.most = 1 * MS, 6 * MS

    def heal(self):
        self.broken = ""
        self.at_speed()

    def kept(self):
        """What a replica is given at its start."""
        held = self.held
        return StoredState(held.term, held.voted, held.base, list(held.entries))
