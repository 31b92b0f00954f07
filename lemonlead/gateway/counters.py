"""Counters of a process by name, for its log."""

import threading
from collections import Counter


class Counters:
    """Counters that any thread may change."""

    def __init__(self):
        self.lock = threading.Lock()
        self.counts = Counter()

    def add(self, name, count=1):
        with self.lock:
            self.counts[name] += count

    def read(self):
        """Returns a copy of all counts, sorted by name."""
        with self.lock:
            return dict(sorted(self.counts.items()))
