"""The state that a balancer (`lemonlead/balance.py`) keeps of instances, builds and timers.

These are plain records that decide nothing. Times are whole nanoseconds of the host's clock.
"""

import heapq
from bisect import bisect_left, insort
from collections import Counter, deque
from itertools import count

from .instance_table import updated_ring
from .interface import ON_TRIAL


def prune_and_count(times, since):
    """Removes the times up to `since` from the front of a deque and returns how many are left."""
    while times and times[0] <= since:
        times.popleft()
    return len(times)


class InstanceGroup:
    """Figures over all instances of one zone and kind.

    They stand in for the figures of instances that have not answered recently.
    """

    __slots__ = "time_per_work", "loss_rate", "mean_answer_time", "mean_answered_work"

    def __init__(self):
        self.time_per_work = 0.0  # time to answer divided by work, smoothed; 0: not known yet
        self.loss_rate = 0.0  # share of attempts that were lost on the way, smoothed
        self.mean_answer_time = 0.0  # time that successful answers took, smoothed (ns)
        self.mean_answered_work = 0.0  # mean work of successfully answered requests, smoothed (ns)


class InstanceState:
    """What a balancer knows of one instance: its line of the list, and what its attempts have shown."""

    __slots__ = (
        "id",
        "zone",
        "kind",
        "cell",
        "build",
        "group",
        "started",
        "ring_position",
        "ready",
        "in_flight",
        "held_work",
        "quiet_since",
        "newest_answered_sent_at",
        "time_per_work",
        "request_limit",
        "limit_lowered_at",
        "service_time",
        "usual_service_time",
        "error_count",
        "answer_count",
        "connection_open_until",
        "path_failures",
        "avoided_until",
        "accepted_work_at_last_request",
        "cold_work_interval",
        "up_from",
        "up_until",
        "connection_free_at",
    )

    def __init__(
        self, line, build, group, now, request_limit, accepted_work_at_last_request, cold_work_interval
    ):
        self.id = line.id
        self.zone = line.zone
        self.kind = line.kind
        self.cell = line.cell
        self.build = build
        self.group = group
        self.started = line.started
        self.ring_position = 0  # the same at every balancer; set by `InstanceTable.put`
        self.ready = True
        self.held_work = 0  # work of the attempts in flight
        self.quiet_since = now  # when it last answered, or when an attempt was sent to it while idle
        self.newest_answered_sent_at = 0  # when the latest of the attempts that it answered was sent
        # Between these two times it was up without a break, as the connections to it show.
        self.up_from = 0
        self.up_until = 0
        self.time_per_work = 0.0  # time to answer divided by work, smoothed; 0: not known yet
        self.request_limit = request_limit  # requests of mean work that it may hold for this balancer
        self.limit_lowered_at = 0
        self.service_time = 0.0  # as it reports it, smoothed (ms)
        self.usual_service_time = 0.0  # the same, updated only while no build is on trial
        self.error_count = 0
        self.answer_count = 0  # errors included
        self.connection_open_until = 0  # assuming the configured idle timeout; 0: not known
        self.connection_free_at = 0  # when a pooled connection to it may be used again, as last reported
        self.path_failures = 0  # failures of the path to it since its last answer
        self.avoided_until = 0
        # While it is cold: the balancer's total accepted work when this instance last got a request, and the
        # additional work that has to be accepted before it gets another.
        self.accepted_work_at_last_request = accepted_work_at_last_request
        self.cold_work_interval = cold_work_interval

    def __getattr__(self, name):
        """Creates `in_flight` (attempts in flight, the oldest first) on first use: few instances need it."""
        if name != "in_flight":
            raise AttributeError(name)
        self.in_flight = {}
        return self.in_flight

    def proven_up_until(self, since):
        """Returns until when it is known to have been up all the time since then, or 0."""
        return self.up_until if self.up_from <= since else 0

    def record_connection(self, since, sent_at):
        """Notes that an attempt sent at `sent_at` succeeded on a connection open since `since`."""
        if since > self.up_until:
            self.up_from = since
        self.up_from = min(self.up_from, since)
        self.up_until = max(self.up_until, sent_at)


class Build:
    """What a balancer knows of one build: its release stage, the attempts sent to it, and how it compares."""

    def __init__(self, number, cap, max_pairs, max_outcomes):
        self.number = number
        self.cap = cap
        self.stage = -1  # no stage has been reported
        self.phase = ON_TRIAL
        self.sent_times = {}  # by cap key: when the attempts within the cap's window were sent
        self.answered_keys = set()  # idempotency keys that it answered, kept where they matter
        self.attempt_credit = (
            0.0  # attempts that it should get, in proportion to its instances' share of the load
        )
        self.stage_began_at = 0
        self.seen_on_trial = False  # a build that was never on trial may be the only one, so it gets no votes
        self.pairs = deque(maxlen=max_pairs)  # of the last closed pairs: figures by (request class, metric)
        self.recent_outcomes = deque(maxlen=max_outcomes)  # its last outcomes in closed pairs
        self.success_count = 0  # successful answers
        self.wrong_answers = 0  # answers that clients reported as wrong
        self.in_doubt = False  # a median breaches its bound
        self.bad = False  # found bad permanently
        self.provisionally_bad = False  # found bad on an open pair; the trial goes on
        self.ring = []  # its instances in the order of the ring
        self.kinds = Counter()  # how many of its instances are of each kind
        self.start_times = []  # of its instances, in ascending order

    def update_instances(self, gone, added):
        """Removes instances that no longer run it and adds those that now do."""
        self.ring = updated_ring(self.ring, gone, added)
        self.kinds.update(instance.kind for instance in added)
        self.kinds.subtract(instance.kind for instance in gone)
        for kind in {instance.kind for instance in gone if not self.kinds[instance.kind]}:
            del self.kinds[kind]
        if len(gone) + len(added) > len(self.start_times) // 16:
            self.start_times = sorted(instance.started for instance in self.ring)
            return
        for instance in gone:
            del self.start_times[bisect_left(self.start_times, instance.started)]
        for instance in added:
            insort(self.start_times, instance.started)


class Builds(dict):
    """Builds by number; each is created when it is first looked up."""

    def __init__(self, *build_arguments):
        self.build_arguments = build_arguments

    def __missing__(self, number):
        return self.setdefault(number, Build(number, *self.build_arguments))


class RequestTimers:
    """The times at which a decision on a request is due, as a heap.

    When there are many timers, those of finished requests are dropped. This guards against clients whose
    deadlines are days away.
    """

    def __init__(self):
        self.heap = []
        self.sequence = count()
        self.cleanup_size = 1000  # with this many timers, those of finished requests are dropped

    def __len__(self):
        return len(self.heap)

    def __iter__(self):
        return iter(self.heap)

    def add(self, at, request):
        if len(self.heap) >= self.cleanup_size:
            self.heap = [timer for timer in self.heap if not timer[2].finished]
            heapq.heapify(self.heap)
            self.cleanup_size = 2 * len(self.heap) + 1000
        heapq.heappush(self.heap, (at, next(self.sequence), request))

    def first(self, default):
        """Returns the time of the first timer, or `default` if there is none."""
        return self.heap[0][0] if self.heap else default

    def pop_due(self, now):
        """Removes the timers that are due and yields their requests, the earliest first."""
        while self.heap and self.heap[0][0] <= now:
            yield heapq.heappop(self.heap)[2]
