"""Counts of the hollow gateways of one process, and sums over several processes.

Times are whole nanoseconds when they are recorded and milliseconds in results.
"""

import math
from collections import Counter

from .world import KINDS

BUCKET_RATIO = 1.05  # of the bounds of neighbouring buckets


def bucket(ns):
    """Returns the number of the logarithmic bucket of a time."""
    return max(math.ceil(math.log(max(ns, 1) / 1e6, BUCKET_RATIO)), -100)


def bucket_ms(bucket):
    """Returns the upper bound of a bucket in milliseconds."""
    return round(BUCKET_RATIO**bucket, 1)


def quantile(buckets, share):
    """Returns the quantile of counted times in milliseconds, or None if nothing was counted."""
    total, cumulative = sum(buckets.values()), 0
    for number in sorted(buckets):
        cumulative += buckets[number]
        if cumulative >= share * total:
            return bucket_ms(number)
    return None


class Tally:
    """Counts of the hollow gateways of one process."""

    def __init__(self):
        # By kind of change: counts by bucket of the time until it is in force.
        self.times = [Counter() for _ in KINDS]
        self.by_change = {}  # by index: [gateways that have it in force, the longest time in ns, kind]
        self.markers = {}  # by index of a marker: counts by bucket
        self.early = 0  # changes that were received before their scope was complete up to them
        self.counts = Counter()

    def record_in_force(self, index, kind, took):
        """Records that a change is in force at a gateway, `took` ns after its commit."""
        number = bucket(took)
        self.times[kind][number] += 1
        row = self.by_change.setdefault(index, [0, 0, kind])
        row[0] += 1
        row[1] = max(row[1], took)
        if KINDS[kind] == "marker":
            self.markers.setdefault(index, Counter())[number] += 1

    def to_json(self):
        """Returns the counts as values that JSON can represent."""
        return {
            "times": [list(times.items()) for times in self.times],
            "by_change": [[index, *row] for index, row in self.by_change.items()],
            "markers": [[index, list(times.items())] for index, times in self.markers.items()],
            "early": self.early,
            "counts": dict(self.counts),
        }


def sum_tallies(tallies):
    """Returns the sum of several tallies, each as `to_json` returns it."""
    total = Tally()
    for tally in tallies:
        for times, added_times in zip(total.times, tally["times"], strict=True):
            times.update(dict(added_times))
        for index, count, longest, kind in tally["by_change"]:
            row = total.by_change.setdefault(index, [0, 0, kind])
            row[0] += count
            row[1] = max(row[1], longest)
        for index, times in tally["markers"]:
            total.markers.setdefault(index, Counter()).update(dict(times))
        total.early += tally["early"]
        total.counts.update(tally["counts"])
    return total


def summary(times):
    return {
        "count": sum(times.values()),
        "median_ms": quantile(times, 0.5),
        "p99_ms": quantile(times, 0.99),
        "last_ms": quantile(times, 1.0),
    }
