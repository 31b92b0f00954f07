"""The load of `benchmarks.added_latency`: an open loop, with latency counted from the due_times times."""

import threading
from collections import Counter

import pytest
from hdrh.histogram import HdrHistogram

from benchmarks.added_latency import Load, arrivals
from lemonlead.standins.instances import InstanceServer, value_response

US_PER_SECOND = 1_000_000


def play(due_times, react=None):
    server, histogram, counts = (
        InstanceServer(react).start(),
        HdrHistogram(1, 60 * US_PER_SECOND, 3),
        Counter(),
    )
    try:
        Load(int(server.address.split(":")[1]), 1).play(due_times, histogram, counts)
    finally:
        server.close()
    return histogram, counts


def test_due_requests_are_sent_before_earlier_ones_are_answered():
    all_arrived = threading.Barrier(5)  # no response before all five requests are there

    def react(words):
        all_arrived.wait(60)
        return value_response(words[1])

    histogram, counts = play([0.0] * 5, react)
    assert counts["answered"] == histogram.get_total_count() == 5 <= counts["most clients"]


@pytest.mark.parametrize("late", [0, 1, 3])
def test_latency_counts_from_the_due_time(late):
    histogram, _ = play([-late])
    assert histogram.get_min_value() >= 0.99 * (late - 0.2) * US_PER_SECOND  # the load starts after 0.2 s


def test_arrivals_depend_on_the_seed_and_match_the_rate():
    due_times = list(arrivals(100, 50, 7))
    assert due_times == list(arrivals(100, 50, 7)) != list(arrivals(100, 50, 8))
    assert (
        due_times == sorted(due_times)
        and due_times[0] > 0
        and due_times[-1] < 50
        and abs(len(due_times) - 5000) < 5 * 5000**0.5
    )
