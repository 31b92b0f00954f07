"""Builds balancers, requests and attempts for tests, and collects the decisions."""

from lemonlead import interface
from lemonlead.balance import Balancer

MS = 1_000_000
NOW = 100_000 * MS


class Dispatcher:
    """A host that records the calls of a balancer."""

    def __init__(self):
        self.calls = []

    def attempt(self, request, instance_id, time_out):
        self.calls.append(("attempt", request.id, instance_id))

    def cancel(self, attempt):
        self.calls.append(("cancel", attempt.request.id, attempt.number))

    def reject(self, request, retry_after):
        self.calls.append(("reject", request.id, retry_after))

    def abort(self, request):
        self.calls.append(("abort", request.id))

    def watch_list(self):
        self.calls.append(("watch",))

    def vote(self, build, stage, verdict):
        self.calls.append(("vote", build, stage, verdict))

    def log(self, text):
        pass

    def pull(self, balancer, now):
        """Returns all decisions made at `now`."""
        self.calls = []
        while balancer.decide(now, self):
            pass
        return self.calls


def request_class(number=0, effect=interface.IDEMPOTENT, **more):
    return interface.RequestClass(number, effect, 1000 * MS, 4000 * MS, 1.0, **more)


def line(id=1, build=1, zone=0, cell=0, state=interface.READY, started=0, kind=0):
    return interface.Instance(id, zone, kind, build, cell, state, 1.0, started)


def balancer(lines=(), request_classes=None, told=(1, 0, interface.RELEASED, 1.0), release=None, **more):
    release = release or interface.Release(
        window=2000 * MS,
        attempts_above_cap=2,
        caps=[0.1, 0.5, 1.0],
        steps=[0.1, 0.5, 1.0],
        vote_lifetime=4000 * MS,
        vote_timeout=800 * MS,
        votes_per_s=100.0,
        bake=1000 * MS,
    )
    rules = dict(
        step=5 * MS,
        attempts_cap=4,
        may_cancel=True,
        may_duplicate=True,
        connect_time=250 * MS,
        cold_time=5000 * MS,
        cold_share=0.4,
        cold_window=2000 * MS,
        cold_multiple=3.0,
        retry_after_cap=500 * MS,
    )
    start = interface.StartSettings(
        now=NOW,
        request_classes=request_classes or [request_class()],
        release=release,
        **{"seed": 7, **rules, **more},
    )
    made = Balancer(start)
    made.list_received(NOW, list(lines), True, True)
    if told is not None:
        made.stage_reported(NOW, *told, 0)
    return made


def request(id=1, on=None, now=NOW, left=4000 * MS, key=0, work=100 * MS):
    return interface.Request(id, on or request_class(), 0, key, now, now + left, work)


def sent(asked, member, end="", at_time=NOW):
    """Adds an attempt of a request at an instance; `end` is how it ended, empty while it is in flight."""
    attempt = interface.Attempt(asked, len(asked.attempts), member, at_time, end)
    asked.attempts.append(attempt)
    if not end:
        member.in_flight[attempt] = None
        member.held_work += asked.work
    return attempt


def judged(made, on, off):
    """Closes a pair with these outcomes and judges the build."""
    build = made.judged_build
    build.pairs.append(made.compare(build, on, off))
    build.recent_outcomes.extend(on)
    made.judge(build, build.pairs)
