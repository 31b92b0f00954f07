"""A folder on a simulated disk, with syncs that take time, crashes and failures."""

import random
from dataclasses import dataclass, field

from lemonlead.ledger.records import SnapshotBase, StoredState

MS = 1_000_000


@dataclass(slots=True)
class DiskContents:
    """What a folder holds: the replica's term, vote and log, and the bytes of the snapshot of `base`."""

    term: int = 0
    voted: str = ""
    base: SnapshotBase = field(default_factory=SnapshotBase)
    entries: list = field(default_factory=list)
    snapshot: bytes = b""

    def copy(self):
        return DiskContents(self.term, self.voted, self.base, list(self.entries), self.snapshot)

    @property
    def last_index(self):
        return self.entries[-1].index if self.entries else self.base.index

    def entry_at(self, index):
        """Returns the entry at this index, or None if the folder doesn't hold it or the base covers it."""
        at = index - self.base.index - 1
        return self.entries[at] if 0 <= at < len(self.entries) else None

    def apply(self, task):
        """Applies all of a task. Raises ValueError if it would leave a hole in the log."""
        write = task.write
        if write is None:
            return self.set_base(task.base, task.snapshot)
        self.term, self.voted = write.term, write.voted
        if write.base is not None:
            self.set_base(write.base, task.snapshot)
        if write.cut is not None:
            del self.entries[max(write.cut - self.base.index - 1, 0) :]
        for entry in write.entries:
            if entry.index <= self.base.index:
                continue
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} written after {self.last_index}")
            self.entries.append(entry)

    def set_base(self, base, snapshot):
        """Replaces the base and its snapshot, and drops the entries that it covers. An older base is
        ignored."""
        if base.index <= self.base.index:
            return
        kept = self.entry_at(base.index)
        fits = kept is not None and kept.term == base.term
        self.entries = [entry for entry in self.entries if entry.index > base.index] if fits else []
        self.base, self.snapshot = base, snapshot


@dataclass(slots=True)
class DiskTask:
    """A Write of the replica, or a snapshot that the member took itself (`base`, without `write`)."""

    write: object = None
    base: SnapshotBase | None = None
    snapshot: bytes = b""
    done: object = None  # function(), called after the sync


class Disk:
    """One folder. Tasks are synced in order; those that wait are synced together. A crash keeps a random
    number of the first unsynced tasks, each of them whole."""

    def __init__(self, folder, seed, after, contents=None, on_sync=None):
        self.folder, self.after = folder, after
        self.rng = random.Random(f"disk {seed} {folder}")
        self.contents = contents or DiskContents()  # as synced
        self.requested_contents = self.contents.copy()  # with all submitted tasks
        self.tasks, self.busy, self.incarnation = [], False, 0
        self.min_delay, self.max_delay = 1 * MS, 6 * MS
        self.failure = ""  # why every sync fails; empty if none does
        self.on_failure = None  # function(reason), called at the first sync that fails
        self.on_sync = on_sync  # function(disk) after each sync

    def submit(self, task):
        if self.failure:
            return self.fail()
        self.requested_contents.apply(task)
        self.tasks.append(task)
        if not self.busy:
            self.sync()

    def sync(self):
        self.busy = True
        delay = self.rng.randint(self.min_delay, self.max_delay)
        self.after(delay, self.finish, self.incarnation, len(self.tasks))

    def finish(self, incarnation, count):
        if incarnation != self.incarnation:
            return
        if self.failure:
            return self.fail()
        finished, self.tasks = self.tasks[:count], self.tasks[count:]
        for task in finished:
            self.contents.apply(task)
        if self.on_sync:
            self.on_sync(self)
        self.busy = False
        if self.tasks:
            self.sync()
        for task in finished:
            if incarnation != self.incarnation:
                return
            task.done()

    def fail(self):
        """Some of the waiting tasks may be on the disk nevertheless; the member doesn't learn which."""
        reason, on_failure = self.failure, self.on_failure
        self.crash()
        if on_failure:
            on_failure(reason)

    def crash(self):
        """Ends all that waits, as when the process or the machine dies. Some of the first tasks may have
        reached the disk."""
        for task in self.tasks[: self.rng.randint(0, len(self.tasks))]:
            self.contents.apply(task)
        if self.on_sync:
            self.on_sync(self)
        self.incarnation += 1
        self.tasks, self.busy, self.on_failure = [], False, None
        self.requested_contents = self.contents.copy()

    def reset_speed(self):
        """Ends slowness; a disk that fails goes on failing."""
        self.min_delay, self.max_delay = 1 * MS, 6 * MS

    def heal(self):
        self.failure = ""
        self.reset_speed()

    def stored_state(self):
        """Returns what a replica gets at its start."""
        contents = self.contents
        return StoredState(contents.term, contents.voted, contents.base, list(contents.entries))
