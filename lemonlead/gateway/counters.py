"""What the gateway took in, sent and answered, counted."""

import threading
from collections import Counter


class Counters:
    def __init__(self):
        self.lock = threading.Lock()
        self.counts = Counter()

    def add(self, name, count=1):
        with self.lock:
            self.counts[name] += count

    def read(self):
        with self.lock:
            return dict(sorted(self.counts.items()))
