"""Changes of the list: their cost depends on what changes, and they lead to the same decisions.

A balancer is compared with a plain reference that goes over the whole list for every change.
"""

import random
from collections import Counter, deque
from zlib import crc32

import pytest

from days import S, Day
from helpers import NOW, Dispatcher, line, request_class
from lemonlead import interface
from lemonlead import instance_table
from lemonlead.balance import (
    GOLDEN_RATIO,
    MS,
    MIN_SUBSET_SIZE,
    PAIR_TIME,
    MIN_PAIR_OUTCOMES,
    RETRIES_PER_REQUEST,
    JUDGE_INTERVAL,
    TRIAL_WARM_UP,
    Balancer,
    median_time_per_work,
    prune_and_count,
)
from lemonlead.instance_table import InstanceTable
from lemonlead.planning import fleet, world
from lemonlead.records import Build, InstanceGroup, InstanceState


class ReferenceTable(dict):
    def keep_open(self, member, until):
        member.connection_open_until = until


class ReferenceBalancer(Balancer):
    """The reference: goes over the whole list for each change, request and tick."""

    def __init__(self, start):
        super().__init__(start)
        self.instances, self.ring, self.start_at = (
            ReferenceTable(),
            [],
            start.balancer_index * GOLDEN_RATIO % 1.0,
        )

    def list_received(self, now, lines, whole, fresh):
        named = {row.id for row in lines}
        for row in lines:
            old = self.instances.get(row.id)
            if old is None or (old.build.number, old.started) != (row.build, row.started):
                group = self.groups.setdefault((row.zone, row.kind), InstanceGroup())
                due = self.rng.random() * self.mean_work * max(len(self.instances), len(lines))
                self.instances[row.id] = InstanceState(
                    row, self.builds[row.build], group, now, 3.0, self.accepted_work, due
                )
                self.instances[row.id].ring_position = hashed(row.id)
            self.instances[row.id].ready = row.state == interface.READY
        table = {id: m for id, m in self.instances.items() if m.ready and (not whole or id in named)}
        self.instances = ReferenceTable(table)
        self.list_call_at = None if fresh else self.list_call_at
        ring = sorted(self.instances.values(), key=lambda member: member.ring_position)
        cut = int(self.start_at * len(ring))
        self.ring = ring[cut:] + ring[:cut]
        self.update_trial()

    def request_arrived(self, now, request):
        self.timers.add(request.deadline, request)
        request.work = request.work or int(self.class_work[request.request_class.number])
        for counted in self.cap_keys(request):
            self.arrivals.setdefault(counted, deque()).append(now)
            prune_and_count(self.arrivals[counted], now - self.arrivals_window)
        self.mean_work += 0.01 * (request.work - self.mean_work)
        self.request_gap, self.last_arrival = (
            self.request_gap + 0.05 * (now - self.last_arrival - self.request_gap),
            now,
        )
        self.retry_budget = min(
            self.retry_budget + RETRIES_PER_REQUEST * (1 - self.latency_ratio * self.unseen_share), 20.0
        )
        if self.trial_build is not None:
            able = [
                (m, self.capacity_share(m, now) / (m.group.time_per_work or 1.0))
                for m in self.instances.values()
            ]
            self.trial_share = sum(can for m, can in able if m.build is self.trial_build) / sum(
                can for _, can in able
            )
            self.trial_build.attempt_credit = min(self.trial_build.attempt_credit + self.trial_share, 2.0)
        self.requests_to_decide.append(request)

    def choose(self, request, now, whole=False):
        tried = [attempt.instance for attempt in request.attempts]
        due = (
            self.trial_build is not None and self.trial_build.attempt_credit >= 1 and not self.trial_build.bad
        )
        trial = {build for build in self.builds.values() if self.on_trial(build)}
        pool = [m for m in self.ring if whole or (m.build in trial) is due]
        if self.unconnected_share > 0.05 and not whole:
            pool = [m for m in pool if now < m.connection_open_until] or pool
        if not whole and len(pool) > (
            near := max(MIN_SUBSET_SIZE, int(self.idle_time / 8 / (self.request_gap + 1)))
        ):
            pool = [m for m in pool if now >= m.avoided_until][:near]
        best = least = None
        for member in pool:
            rank = (member in tried, (member.build in trial) is not due, self.cost(member, request, now))
            better = (best is None or rank < least) and self.usable(member, request, now)
            if better and self.may_attempt(request, member, now):
                best, least = member, rank
        return best or (None if whole else self.choose(request, now, True))

    def update_trial(self):
        numbers = sorted({member.build.number for member in self.instances.values()})
        trial = self.builds[numbers[-1]] if numbers else None
        trial = (
            trial if trial and (self.on_trial(trial) if self.reported_build else len(numbers) > 1) else None
        )
        phases = (interface.ON_TRIAL, interface.RELEASED)
        judged = (
            told if (told := self.reported_build) and told.seen_on_trial and told.phase in phases else None
        )
        if trial is not self.trial_build or judged is not self.judged_build:
            if trial is not None and trial is not self.trial_build:
                trial.attempt_credit = self.rng.random()
            self.trial_build, self.judged_build, self.pair_started_at, self.pair_outcomes = (
                trial,
                judged,
                None,
                {},
            )
        self.vote_check_due, number = (
            True,
            min([self.reported_build.number if self.reported_build else 0, *numbers]),
        )
        for old in [old for old in self.builds if old < number]:
            del self.builds[old]
        kinds = {(member.kind, member.build is judged) for member in self.instances.values()}
        self.comparable_kinds = {kind for kind, on in kinds if (kind, not on) in kinds}

    def update_pair(self, now):
        self.next_judging, self.vote_check_due = now + JUDGE_INTERVAL, True
        build = self.judged_build
        if self.pair_started_at is None:
            starts = [member.started for member in self.instances.values() if build in (None, member.build)]
            self.pair_started_at = now if starts and max(starts) + TRIAL_WARM_UP <= now else None
        elif now - self.pair_started_at >= PAIR_TIME and self.has_new_outcomes:
            self.has_new_outcomes = False
            on, off = self.pooled(True), self.pooled(False)
            alone = build is None or build.phase == interface.RELEASED
            if len(on if build else off) >= MIN_PAIR_OUTCOMES and (alone or len(off) >= MIN_PAIR_OUTCOMES):
                if build is None:
                    self.baseline_time_per_work = median_time_per_work(off)
                else:
                    build.pairs.append(self.compare(build, on, off))
                    build.recent_outcomes.extend(on)
                    self.judge(build, build.pairs)
                self.pair_started_at, self.pair_outcomes = now, {}
            elif build is not None and not build.pairs and on:
                self.judge(build, [self.compare(build, on, off)])


def hashed(id):
    return crc32(repr(id).encode())


def state_of(made):
    """Returns the state on which later decisions depend: it shows a difference before a decision does."""
    number = [build and build.number for build in (made.reported_build, made.trial_build, made.judged_build)]
    builds = {
        n: (build.attempt_credit, build.bad, build.in_doubt, len(build.pairs), build.wrong_answers)
        for n, build in made.builds.items()
    }
    return (
        list(made.instances),
        [member.id for member in made.ring],
        number,
        builds,
        made.comparable_kinds,
        made.trial_share,
        made.pair_started_at,
        made.baseline_time_per_work,
        list(made.groups),
        made.wake_at(),
        made.rng.getstate(),
        [
            (m.cold_work_interval, m.request_limit, m.time_per_work, m.avoided_until)
            for m in made.instances.values()
        ],
    )


class RecordingHost(Dispatcher):
    def __init__(self):
        super().__init__()
        self.log = lambda text: self.calls.append(("log", text))


REQUEST_CLASSES = (
    (interface.IDEMPOTENT, {}),
    (interface.NON_IDEMPOTENT, {}),
    (interface.DEDUPLICATED, {"repeat_scope": "zone", "repeat_window": 3 * S}),
)
ENDS = (interface.SUCCEEDED,) * 9 + (
    interface.ERRED,
    interface.REJECTED,
    interface.TIMED_OUT,
    interface.UNCONNECTED,
    interface.RESET,
    interface.CANCELLED,
    interface.NOT_SENT,
    interface.BAD_REQUEST,
)
STATES = (interface.READY,) * 5 + (interface.DRAINING, interface.GONE)


def start_of(seed):
    chance = random.Random(seed)
    return interface.StartSettings(
        now=NOW,
        seed=chance.getrandbits(64),
        balancer_index=chance.randrange(300),
        balancers=chance.choice((1, 6, 200)),
        step=5 * MS,
        attempts_cap=4,
        may_cancel=True,
        may_duplicate=chance.random() < 0.8,
        connect_time=250 * MS,
        cold_time=5000 * MS,
        cold_share=0.4,
        cold_window=2000 * MS,
        cold_multiple=3.0,
        idle_time=15 * S,
        prices={"CrossZone": 0.2},
        retry_after_cap=500 * MS,
        release=interface.Release(
            window=2000 * MS,
            attempts_above_cap=chance.choice((2, 50)),
            vote_lifetime=4000 * MS,
            bake=1000 * MS,
            vote_timeout=800 * MS,
            votes_per_s=100.0,
            caps=[0.1, 0.5, 1.0],
            steps=[0.1, 0.5, 1.0],
        ),
        request_classes=[
            request_class(n, effect, **more) for n, (effect, more) in enumerate(REQUEST_CLASSES)
        ],
    )


class Comparison:
    """A random sequence of lists, new builds, drains, restarts, trials, requests and outcomes.

    A balancer and the reference get the same input, and must make the same decisions and keep the same state.
    """

    def __init__(self, seed, most):
        self.chance, self.most, self.ids = random.Random(seed), most, [f"s-{n}" for n in range(most)]
        self.now, self.build, self.open, self.compared = NOW, 1, [], 0
        self.calls, self.seen = Counter(), Counter()
        starts = [start_of(seed) for _ in range(2)]
        self.request_classes = [start.request_classes for start in starts]
        self.both = Balancer(starts[0]), ReferenceBalancer(starts[1])
        self.tell("list_received", [self.row(id) for id in self.ids], True, True)

    def tell(self, name, *values, each=None):
        """`each` holds separate values for the two, because each changes its requests and attempts."""
        decided = []
        for n, made in enumerate(self.both):
            getattr(made, name)(self.now, *(each[n] if each else values))
            decided.append(RecordingHost().pull(made, self.now))
        assert decided[0] == decided[1]
        assert state_of(self.both[0]) == state_of(self.both[1])
        self.compared += 1
        self.calls.update(call[0] for call in decided[0])
        made = self.both[0]
        self.seen["trial"] += made.trial_build is not None and name == "request_arrived"
        self.seen["comparable kinds"] += bool(made.comparable_kinds)
        self.seen["pairs"] += any(build.pairs for build in made.builds.values())
        self.seen["builds"] += len(made.builds) > 2
        self.seen["unconnected"] += made.unconnected_share > 0.05

    def row(self, id):
        chance, now = self.chance, self.now
        started = chance.choice((0, 0, now - chance.randrange(9 * S), now // S * S))
        build = max(self.build - chance.choice((0, 0, 0, 1, 2)), 1)
        zone, cell, kind = chance.randrange(3), chance.randrange(2), chance.randrange(2)
        return line(id, build, zone, cell, chance.choice(STATES), started, kind)

    def step(self, number):
        self.now += self.chance.choice((0, MS, 20 * MS, 150 * MS))
        # In part of the steps the list does not change, so that pairs can collect outcomes.
        what = self.chance.random() * (0.75 if number % 200 > 80 else 1)
        if what < 0.45:
            self.ask(number)
        elif what < 0.75:
            self.end()
        elif what < 0.78:
            self.begin()
        elif what < 0.93:
            named = [self.chance.choice(self.ids) for _ in range(self.chance.choice((0, 1, 1, 1, 2, 9)))]
            self.tell("list_received", [self.row(id) for id in named], False, self.chance.random() < 0.9)
        elif what < 0.95:
            named = self.chance.sample(self.ids, self.chance.randrange(self.most))
            self.tell("list_received", [self.row(id) for id in named], True, True)
        elif what < 0.98:
            self.build += self.chance.random() < 0.3
            phase = self.chance.choice(
                (interface.ON_TRIAL, interface.ON_TRIAL, interface.RELEASED, interface.ROLLING_BACK)
            )
            told = max(self.build - self.chance.choice((0, 0, 0, 1)), 1)
            cap = self.chance.choice((0.1, 0.5, 1.0))
            self.tell("stage_reported", told, self.chance.randrange(3), phase, cap, 0)
        else:
            wrong = "wrong_answer_reported", self.chance.choice(self.ids)
            self.tell(
                *self.chance.choice((("list_failed", self.now), ("vote_answered", interface.COUNTED), wrong))
            )

    def ask(self, number):
        work = (number * 7919 % 200 + 1) * MS if number % 4 else 0
        both = [
            interface.Request(number, classes[number % 3], number % 5, 0, self.now, self.now + 4 * S, work)
            for classes in self.request_classes
        ]
        self.open.append(both)
        self.tell("request_arrived", each=[(request,) for request in both])

    def attempts(self):
        """Returns the same attempt in flight of each of the two, or None."""
        self.open = [both for both in self.open if any(not s.end for s in both[0].attempts)]
        tried = [zip(*(request.attempts for request in both), strict=True) for both in self.open]
        out = [pair for pairs in tried for pair in pairs if not pair[0].end]
        return self.chance.choice(out) if out else None

    def end(self):
        end, took = self.chance.choice(ENDS), self.chance.randrange(1, 1500) * MS
        report = {"svc_ms": self.chance.uniform(5, 20)} if self.chance.random() < 0.3 else {}
        if (pair := self.attempts()) is not None:
            over = end == interface.SUCCEEDED
            self.tell("attempt_ended", each=[(attempt, end, took, over, report) for attempt in pair])

    def begin(self):
        if (pair := self.attempts()) is not None:
            until = [made.write_deadline(self.now, one) for made, one in zip(self.both, pair, strict=True)]
            assert until[0] == until[1]


def compared_run(seed, most, steps=600):
    run = Comparison(seed, most)
    for number in range(steps):
        run.step(number)
    return run


@pytest.mark.parametrize("most", [3, 20, 60, 400])
def test_decisions_equal_the_references(most):
    runs = [compared_run(seed, most) for seed in range(6)]
    met = sum((run.seen for run in runs), Counter())
    assert min(run.compared for run in runs) > 300 and min(run.calls["attempt"] for run in runs) > 20
    assert min(met[what] for what in ("trial", "comparable kinds", "pairs", "builds", "unconnected")) > 20, (
        met
    )


@pytest.mark.parametrize("seed, most", [(100, 20), (101, 60), (102, 200), (103, 400)])
def test_decisions_equal_the_references_with_equal_ring_positions(seed, most, monkeypatch):
    """With only 7 hash values, instances of one ring position stay in the order in which they came."""
    monkeypatch.setattr(instance_table, "crc32", lambda data: crc32(data) % 7)
    monkeypatch.setitem(globals(), "hashed", lambda id: crc32(repr(id).encode()) % 7)
    assert compared_run(seed, most).compared > 300


FLEET = """
kinds: {fast: {cores: 3, slots: 70}, slow: {cores: 3, speed: 0.6, slots: 70}}
lanes: {
	look: {work: 180ms, cv: 0.85, goal: 1200ms, stop: 5s, revenue: 3.0}
	hold: {work: 110ms, cv: 0.8, goal: 1s, stop: 4s, effect: "stamped", revenue: 2.0}
	buy: {work: 110ms, cv: 0.8, goal: 1s, stop: 4s, effect: "one-shot", revenue: 2.0}
}
clients: {retries: 1, patience: 0.6}
notice: 200ms
sites: {
	one: {gateways: 3, instances: {fast: 14, slow: 9}, load: {look: 90, hold: 40, buy: 12}}
	two: {gateways: 3, instances: {fast: 14, slow: 9}, load: {look: 90, hold: 40, buy: 12}}
}
"""


def decided(read, made, seed, factor, monkeypatch):
    """Returns the decisions, with their times, of a run with a staged release and the loss of a site."""
    monkeypatch.setattr(world, "Balancer", made)
    day, calls = Day(read, seed, length=14), []

    def write(name, does):
        def written(gateway, *values):
            told = [
                getattr(value, "id", value) for value in values if not isinstance(value, interface.Attempt)
            ]
            calls.append((day.now, gateway.number, name, *told))
            return does(gateway, *values)

        monkeypatch.setattr(world.Gateway, name, written)

    for name in ("attempt", "cancel", "reject", "abort", "vote", "log"):
        write(name, getattr(world.Gateway, name))
    day.start_release(S, factor)
    day.lose_site("two", 9 * S, 11 * S)
    day.run_to_end()
    monkeypatch.undo()
    return calls


@pytest.mark.parametrize("seed, factor", [(1, 1.0), (2, 1.0), (3, 2.5)])
def test_simulated_days_equal_the_references(seed, factor, tmp_path, monkeypatch):
    (tmp_path / "fleet.cue").write_text(FLEET)
    read = fleet.read(tmp_path / "fleet.cue")
    ours, plain = (decided(read, made, seed, factor, monkeypatch) for made in (Balancer, ReferenceBalancer))
    assert ours == plain and {"attempt", "vote"} <= {call[2] for call in ours} and len(ours) > 3000


# ---- the cost of a change


class CountingPosition(int):
    """A ring position that counts comparisons."""

    count = 0

    def __lt__(self, other):
        CountingPosition.count += 1
        return int.__lt__(self, other)


def filled(count):
    table, build = InstanceTable(0.3), Build(1, 1.0, 4, 200)
    for n in range(count):
        table.put(InstanceState(line(n), build, InstanceGroup(), 0, 3.0, 0, 0))
        table[n].ring_position = CountingPosition(table[n].ring_position)
    table.commit(())
    return table, build


def comparisons_per_change(count, steps=20):
    table, build = filled(count)
    CountingPosition.count = 0
    for step in range(steps):
        table.commit([step])
        table.put(InstanceState(line(count + step), build, InstanceGroup(), 0, 3.0, 0, 0))
        table.commit(())
        assert len(table.ring) == len(build.ring) == len(build.start_times) == build.kinds[0] == count
    return CountingPosition.count / steps


def test_change_compares_few_ring_positions():
    """Binary search: eight times as many instances cost three comparisons more, in two rings, out and in."""
    few, many = comparisons_per_change(500), comparisons_per_change(4000)
    assert 0 < many - few < 4 * 3 + 4 and many < 100


def test_arc_compares_only_the_positions_that_are_read():
    table, build = filled(4000)
    other = Build(2, 1.0, 4, 200)
    table.put(InstanceState(line(4000), other, InstanceGroup(), 0, 3.0, 0, 0))
    table.commit(())
    for arc, size in ((table.arc([build, other]), 4001), (table.arc([build]), 4000), (table.arc([other]), 1)):
        assert len(arc) == size == len(list(arc))
    CountingPosition.count = 0
    assert [member.ring_position for member in table.arc([build, other])[:5]] == [
        member.ring_position for member in table.ring[1200:1205]
    ]
    assert CountingPosition.count < 100


def test_open_connections_of_removed_instances_are_forgotten():
    table, build = filled(40)
    old, other, third = table[1], table[2], table[3]
    for member in (old, other, third):
        table.keep_open(member, 10)
    arc = table.arc([build])
    in_turn = [member for member in arc if member in (old, other, third)]
    assert arc.open(9) == in_turn and arc.open(10) == []
    table.put(InstanceState(line(1), build, InstanceGroup(), 0, 3.0, 0, 0))
    table.commit([2])
    assert table.connected == {third}
    table.keep_open(old, 20)  # a late answer
    table.keep_open(other, 20)
    assert table.connected == {third} and table.arc([build]).open(9) == [third]
    table.keep_open(third, 0)
    assert not table.connected
