"""The load of `benchmarks.added_latency`: open loop, and timed from when each request was due."""

import threading
from collections import Counter

import pytest
from hdrh.histogram import HdrHistogram

from benchmarks.added_latency import Load, arrivals
from lemonlead.standins.instances import InstanceServer, value_response

SECOND = 1_000_000  # in the histogram's microseconds


def played(due, react=None):
    server, histogram, counts = InstanceServer(react).start(), HdrHistogram(1, 60 * SECOND, 3), Counter()
    try:
        Load(int(server.address.split(":")[1]), 1).play(due, histogram, counts)
    finally:
        server.close()
    return histogram, counts


def test_requests_that_are_due_are_asked_though_none_before_them_is_answered():
    together = threading.Barrier(5)  # answers come once all five are there

    def react(words):
        together.wait(60)
        return value_response(words[1])

    histogram, counts = played([0.0] * 5, react)
    assert counts["answered"] == histogram.get_total_count() == 5 <= counts["most clients"]


@pytest.mark.parametrize("late", [0, 1, 3])
def test_a_request_counts_from_when_it_was_due(late):
    histogram, _ = played([-late])
    assert histogram.get_min_value() >= 0.99 * (late - 0.2) * SECOND  # it begins 0.2 s from now


def test_arrivals_are_the_seeds_and_as_many_as_the_rate_says():
    due = list(arrivals(100, 50, 7))
    assert due == list(arrivals(100, 50, 7)) != list(arrivals(100, 50, 8))
    assert due == sorted(due) and due[0] > 0 and due[-1] < 50 and abs(len(due) - 5000) < 5 * 5000**0.5
