"""The commit times of ledger entries, in a file that all processes of a run map into memory.

One process writes and the others read. For each ledger index the file has the commit time (monotonic ns; all
processes run on one machine and share its clock), the number of the scope, and the kind.
"""

import mmap
from bisect import bisect_right
from pathlib import Path

MAX_ENTRIES = 500_000
TIME_BYTES, SCOPE_BYTES, KIND_BYTES = 8, 4, 1  # of an entry, by column


class Commits:
    """The table of commits; readers index it by scope as it grows."""

    def __init__(self, path, scopes, create=False):
        """`scopes`: all scope names, in the order of their numbers."""
        self.names, self.numbers = list(scopes), {name: number for number, name in enumerate(scopes)}
        if create:
            Path(path).write_bytes(bytes(MAX_ENTRIES * (TIME_BYTES + SCOPE_BYTES + KIND_BYTES)))
        with open(path, "r+b") as file:
            columns = memoryview(mmap.mmap(file.fileno(), 0))
        self.committed_at = columns[: MAX_ENTRIES * TIME_BYTES].cast("q")
        self.scope = columns[MAX_ENTRIES * TIME_BYTES : MAX_ENTRIES * (TIME_BYTES + SCOPE_BYTES)].cast("I")
        self.kind = columns[MAX_ENTRIES * (TIME_BYTES + SCOPE_BYTES) :]
        self.read_index, self.by_scope = 0, {}

    def record(self, index, at, scope, kind):
        """Records an entry. The time is written last, so that a reader who sees it sees the rest."""
        self.scope[index], self.kind[index] = self.numbers[scope], kind
        self.committed_at[index] = at

    def read_up_to(self, upto):
        """Indexes by scope what was committed up to this ledger index."""
        for index in range(self.read_index + 1, min(upto, MAX_ENTRIES - 1) + 1):
            if self.committed_at[index]:
                self.by_scope.setdefault(self.names[self.scope[index]], []).append(index)
        self.read_index = max(self.read_index, upto)

    def between(self, scope, after, upto):
        """Returns the indexes of a scope's entries after one index up to another."""
        if upto > self.read_index:
            self.read_up_to(upto)
        indexes = self.by_scope.get(scope, ())
        return indexes[bisect_right(indexes, after) : bisect_right(indexes, upto)]
