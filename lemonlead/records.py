"""What a balancer (`lemonlead/balance.py`) keeps of instances, builds, wakes: plain records, no decision."""

import heapq
from bisect import bisect_left, insort
from collections import Counter, deque
from itertools import count

from .interface import ON_TRIAL
from .instance_table import moved


def recent(times, since):
    """How many came after that moment; the others are dropped."""
    while times and times[0] <= since:
        times.popleft()
    return len(times)


class InstanceGroup:
    """Instances of one zone and kind: stands in for those not heard from of late."""

    __slots__ = "slowness", "lost", "took", "work"

    def __init__(self):
        self.slowness = 0.0
        self.lost = 0.0  # the share of its last attempts that the path lost, smoothed
        self.took = self.work = 0.0  # of its answers, smoothed: the time they took, their work


class InstanceState:
    """All that is known of one instance: its line on the list, and what its attempts have shown."""

    __slots__ = (
        "id",
        "zone",
        "kind",
        "cell",
        "build",
        "group",
        "started",
        "place",
        "ready",
        "out",
        "held",
        "heard_at",
        "newest",
        "slowness",
        "limit",
        "cut_at",
        "service",
        "usual",
        "failed",
        "answered",
        "open_until",
        "strikes",
        "shunned_until",
        "cold_from",
        "cold_due",
        "up_from",
        "up_to",
        "connection_free_at",
    )

    def __init__(self, line, build, group, now, limit, cold_from, cold_due):
        self.id, self.zone, self.kind, self.cell = line.id, line.zone, line.kind, line.cell
        self.build, self.group, self.started = build, group, line.started
        self.place = 0  # where on the ring it stands, the same at every balancer; set by `Members.put`
        self.ready = True
        self.held = 0  # their work
        self.heard_at = now  # its last answer, or the first attempt after it stood idle
        self.newest = 0  # when the latest attempt that it answered was sent
        # Between these moments it was up all the time, as one connection after the other shows.
        self.up_from = self.up_to = 0
        self.slowness = 0.0  # time to answer by work, smoothed; 0: not yet known
        self.limit, self.cut_at = limit, 0  # usual requests that it may hold of this balancer; when last cut
        self.service = self.usual = 0.0  # its reported service time of late, and while no build is on trial
        self.failed, self.answered = 0, 0  # errors, answers
        self.open_until = 0  # until when a connection to it stays open, as far as is told
        self.connection_free_at = 0  # from when its next unused connection may be used, as last told
        self.strikes, self.shunned_until = 0, 0  # failures of the path since its last answer
        # While it is cold: the work let in when it last got some, and how much more is due until the next.
        self.cold_from, self.cold_due = cold_from, cold_due

    def __getattr__(self, name):
        """`out`: attempts out, the oldest first; made when first looked at, as of many members few are."""
        if name != "out":
            raise AttributeError(name)
        self.out = {}
        return self.out

    def up_since(self, moment):
        """Up to when it is known to have been up all the time since that moment; 0 if it is not."""
        return self.up_to if self.up_from <= moment else 0

    def proved(self, since, at):
        """An attempt sent at this moment succeeded on a connection that has stood since then."""
        if since > self.up_to:
            self.up_from = since
        self.up_from, self.up_to = min(self.up_from, since), max(self.up_to, at)


class Build:
    """One build: what was told of it, what it was sent, and how it compares."""

    def __init__(self, number, cap, pairs, outcomes):
        self.number, self.cap = number, cap
        self.stage, self.phase = -1, ON_TRIAL  # no stage has been told
        self.sent = {}  # times of its attempts within the window, by request class where the cap counts so
        self.keys = set()  # keys that it has answered, kept where they bind
        self.credit = 0.0  # attempts that it is due by its machines' share
        self.began, self.tried = 0, False  # when its stage began; seen on trial, so there is an earlier build
        self.pairs = deque(maxlen=pairs)  # pairs in view: what was compared, by (request class, metric)
        self.seen = deque(maxlen=outcomes)  # its outcomes in closed pairs, the last of them
        self.answers, self.flags = 0, 0  # all it gave, and those that clients found wrong
        self.doubt = self.bad = False  # the medians breach; it is voted back for good
        self.leaning = False  # voted back for now, on what an open pair holds; it goes on being tried
        # Of its members: in the order of the ring; how many of each kind; when they started, in that order.
        self.ring, self.kinds, self.starts = [], Counter(), []

    def change(self, out, new):
        """InstanceTable that ran it are gone, and others run it now."""
        self.ring = moved(self.ring, out, new)
        self.kinds.update(member.kind for member in new)
        self.kinds.subtract(member.kind for member in out)
        for kind in {member.kind for member in out if not self.kinds[member.kind]}:
            del self.kinds[kind]
        if len(out) + len(new) > len(self.starts) // 16:
            self.starts = sorted(member.started for member in self.ring)
            return
        for member in out:
            del self.starts[bisect_left(self.starts, member.started)]
        for member in new:
            insort(self.starts, member.started)


class Builds(dict):
    """Builds by their numbers, each made when it is first named."""

    def __init__(self, *rest):
        self.rest = rest

    def __missing__(self, number):
        return self.setdefault(number, Build(number, *self.rest))


class RequestTimers:
    """The requests that are to be looked at again, by the moment. Past a bound those that are over go: guards
    against clients that say they wait for days."""

    def __init__(self):
        self.heap, self.turns, self.most = [], count(), 1000

    def __len__(self):
        return len(self.heap)

    def __iter__(self):
        return iter(self.heap)

    def add(self, at, request):
        if len(self.heap) >= self.most:
            self.heap = [wake for wake in self.heap if not wake[2].finished]
            heapq.heapify(self.heap)
            self.most = 2 * len(self.heap) + 1000
        heapq.heappush(self.heap, (at, next(self.turns), request))

    def first(self, otherwise):
        return self.heap[0][0] if self.heap else otherwise

    def due(self, now):
        """Takes off those whose moment has come, in its order."""
        while self.heap and self.heap[0][0] <= now:
            yield heapq.heappop(self.heap)[2]
