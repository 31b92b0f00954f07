"""The distribution in simulated worlds with faults, verified by independent invariant checkers; and injected
faults, each a small subclass of a decision module's class, that a checker has to catch."""

import json
import random

import pytest

from benchmarks import distribution
from lemonlead.distribution import outbox
from lemonlead.distribution.acknowledgements import Acknowledgements
from lemonlead.distribution.outbox import Outbox
from lemonlead.distribution.store import Store
from lemonlead.distribution.subscriber import Subscriber, Unreadable
from lemonlead.standins.distributed import links
from lemonlead.standins.distributed.checks import deep_size
from lemonlead.standins.distributed.log import MAX_KEPT_ENTRIES, Changes, Log
from lemonlead.standins.distributed.schedules import KINDS, InjectedFault, Schedule, draw, play, shrink
from lemonlead.standins.simulated.world import World

MAX_SCHEDULES = 30  # schedules within which each injected fault has to be caught


def assert_unbroken(*runs):
    """Plays each schedule; fails with a shortened form of the first one that breaks an invariant."""
    for schedule in runs:
        played = play(schedule)
        if played.violation is not None:
            judge = played.violation.checker
            short = shrink(schedule, lambda one, judge=judge: breaks(one, judge), max_plays=40)
            pytest.fail(f"{played.violation}\n{short}")


def breaks(schedule, judge, **more):
    """Returns whether playing the schedule breaks an invariant of this checker."""
    broken = play(schedule, **more).violation
    return broken is not None and broken.checker == judge


# ---- the simulated world


def test_log_returns_state_as_of_an_index():
    log = Log("c")
    assert log.commit("s", "a", {"state": "ready"}) == 1
    log.commit("s", "a", None)
    log.commit("s", "a", {"state": "draining"})
    assert [log.record_at("s", "a", index)[0] for index in range(4)] == [0, 1, 2, 3]
    assert log.record_at("s", "a", 2) == (2, None) and log.records_of("s", 2) == {}
    assert log.state(3) == {"s": {"a": (3, {"state": "draining", "stamp": "c-3"})}}
    assert [index for index, _ in log.changes_since(1)] == [2, 3] and log.changes_since(4) is None
    log.silence()
    for _ in range(MAX_KEPT_ENTRIES + 5):
        log.commit("s", "b", {})
    assert log.reported_index == 3 and log.changes_since(3) == []
    log.resume()
    assert (
        log.changes_since(3) is None
        and len(log.changes_since(log.index - MAX_KEPT_ENTRIES)) == MAX_KEPT_ENTRIES
    )


def test_wave_drains_most_of_a_zone():
    log = Log("c")
    changes = Changes(log, 1)
    before = log.index
    changes.wave()
    drained = [record for _, _, record in log.entries[before:]]
    assert len(drained) > 8 and {record["state"] for record in drained} == {"draining"}
    assert len({record["zone"] for record in drained}) == 1


class StreamFixture:
    """A stream with both of its ends."""

    def __init__(self, seed=1):
        self.world = World(seed)
        self.links = links.Links(self.world)
        self.got, self.over, self.lost, self.reads = [], [], [], True
        self.stream = links.Stream(
            self.links, "r", "g", 1, self.taken, lambda _, why: self.over.append(why), self.lost.append,
            lambda stream: None,
        )  # fmt: skip

    def taken(self, stream, data):
        if self.reads:
            self.got.append(data)
        return self.reads

    def run(self, seconds):
        self.world.run(self.world.now + seconds * links.SECOND)


def test_stream_keeps_order_and_a_cut_delays_it():
    fixture = StreamFixture()
    for data in (b"1", b"2"):
        fixture.stream.send(data)
    fixture.run(1)
    fixture.links.cut([("r", "g")])
    fixture.stream.send(b"3")
    fixture.run(5)
    assert fixture.got == [b"1", b"2"] and fixture.stream.bytes_in_flight == 1
    fixture.links.restore([("r", "g")])
    fixture.stream.end("over")
    fixture.run(1)
    assert fixture.got == [b"1", b"2", b"3"] and fixture.over == ["over"] and not fixture.lost


def test_stream_with_a_gone_or_cut_off_reader_is_lost():
    fixture = StreamFixture()
    fixture.links.cut([("r", "g")])
    fixture.stream.send(b"1")
    fixture.run(links.SEND_TIMEOUT // links.SECOND + 2)
    assert fixture.lost == [fixture.stream] and not fixture.got
    fixture = StreamFixture()
    fixture.stream.close()
    fixture.run(1)
    assert fixture.lost == [fixture.stream]


def test_stopped_reader_fills_the_window():
    fixture = StreamFixture()
    fixture.reads = False
    while not fixture.stream.full:
        fixture.stream.send(bytes(1000))
    fixture.run(5)
    assert fixture.stream.full and not fixture.got
    fixture.reads = True
    fixture.run(1)
    assert len(fixture.got) == 9 and fixture.stream.bytes_in_flight == 0


@pytest.mark.parametrize("how", [links.garble_line, links.endless_line, links.truncate_line])
def test_spoiled_line_differs_and_stays_one_line(how):
    rng = random.Random(1)
    line = b'{"changes":[["s","a",3,{"state":"ready"}]],"complete":{"s":3}}\n'
    for _ in range(200):
        made = how(line, rng)
        assert made != line and made.endswith(b"\n") and made.count(b"\n") == 1


def test_nonsense_names_no_committed_record():
    """None of the nonsense lines may name a committed record, so that no gateway may act on one."""
    for line in links.INVALID_LINES:
        try:
            told = json.loads(line)
        except ValueError:
            continue
        assert "stamp" not in json.dumps(told)


def test_sizes_are_counted_deeply_and_once():
    class Holds:
        __slots__ = ("a", "b")

    one = Holds()
    one.a = one.b = list(range(1000, 2000))
    assert 30_000 < deep_size(one, None) < 60_000
    assert deep_size(one, one.a) < 1000


# ---- schedules


@pytest.mark.parametrize("first", range(0, 12, 3))
def test_drawn_schedules_break_nothing(first):
    assert_unbroken(*(draw(seed) for seed in range(first, first + 3)))


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_each_fault_alone_breaks_nothing(kind):
    _, least, most = KINDS[kind]
    length = (least + most) // 2
    faults = tuple(
        InjectedFault(at, kind, whom, length, at) for at, whom in ((500, 0), (7000, 1), (12000, 0))
    )
    assert_unbroken(Schedule(KINDS[kind][0], 3, faults))


def test_schedule_replays_identically():
    assert play(draw(3)).counts == play(draw(3)).counts


def test_command_plays_and_reports(capsys):
    assert distribution.main(["--faults", "sunshine"]) == 2
    assert distribution.one((4, ["kill"]))[2] is None
    distribution.report(1, {"trouble: kill": 2}, 0.5)
    assert "2 kill" in capsys.readouterr().out


# ---- injected faults


class IgnoresMissingLines(Subscriber):
    """Doesn't check line numbers."""

    def check_line(self, line):
        return super().check_line(
            type(line)(line.cluster, line.at, line.snapshot, line.changes, line.complete)
        )


class AppliesOlderChanges(IgnoresMissingLines):
    """Puts every change in force, older or not."""

    def apply_change(self, changes, scope, key, index, record):
        if scope in self.snapshots:
            self.snapshots[scope].keys.add(key)
        self.put_in_force(changes, scope, key, index, record)


class ForgetsRemovals(IgnoresMissingLines):
    """A removed record that is sent again is put in force again."""

    def apply_change(self, changes, scope, key, index, record):
        if key in self.records[scope]:
            super().apply_change(changes, scope, key, index, record)
        else:
            if scope in self.snapshots:
                self.snapshots[scope].keys.add(key)
            self.put_in_force(changes, scope, key, index, record)


class MixesClusters(Subscriber):
    """Takes another cluster's state for its own."""

    def check_line(self, line):
        self.stream_cluster = self.stream_cluster and self.cluster
        if line.cluster is not None:
            line = type(line)(cluster=self.cluster or line.cluster, at=line.at, n=line.n)
        return super().check_line(line)


class AcknowledgesReceived(Subscriber):
    """Reports to be complete up to the relay's index as soon as the stream begins."""

    def receive_line(self, now, data):
        changes = super().receive_line(now, data)
        if b'"at":' in data:
            at = json.loads(data)["at"]
            self.complete = {scope: max(index, at) for scope, index in self.complete.items()}
        return changes


class KeepsRemovedRecords(Subscriber):
    """Drops nothing at the end of a snapshot."""

    def scope_completed(self, changes, scope, index):
        if scope in self.snapshots:
            self.snapshots[scope].keys |= set(self.records[scope])
        super().scope_completed(changes, scope, index)


class IgnoresUnreadableLines(Subscriber):
    """Skips lines that it can't read."""

    def receive_line(self, now, data):
        try:
            return super().receive_line(now, data)
        except Unreadable:
            return []


class UsesOneRelay(Subscriber):
    """Connects to no other relay."""

    def __init__(self, me, region, scopes, relays, seed):
        super().__init__(me, region, scopes, relays[:1], seed)


class WaitsMinutes(Subscriber):
    """Waits minutes after each stream."""

    def stream_ended(self, now, reason):
        super().stream_ended(now, reason)
        self.not_before = now + 100 * links.SECOND


class ReportsNoRefusal(Subscriber):
    """Reports no refused records."""

    def refuse(self, scope, key, index, reason):
        super().refuse(scope, key, index, reason)
        self.refused.clear()


class KeepsRefusedRecords(Subscriber):
    """Keeps records that can't be used among its records."""

    def refuse(self, scope, key, index, reason):
        held = self.records[scope][key]
        super().refuse(scope, key, index, reason)
        self.records[scope][key] = held


class ExceedsBudget(Outbox):
    """Sends twenty times its budget."""

    def __init__(self, now, store, scopes, rate, burst, *more):
        super().__init__(now, store, scopes, 20 * rate, 20 * burst, *more)


class KeepsSentLines(Outbox):
    """Keeps a copy of everything it sent."""

    def next(self, now):
        line = super().next(now)
        self.kept = [*getattr(self, "kept", ()), line + b"." if line else b"-" * 100]
        return line


class CompletesTooEarly(Outbox):
    """Reports a scope as complete while changes of it are still to be sent."""

    def add_complete(self, complete, room):
        room = super().add_complete(complete, room)
        for scope, position in self.positions.items():
            if position.base is not None and scope not in self.scopes_to_confirm and not complete:
                complete.append(b"%b:%d" % (json.dumps(scope).encode(), self.store.index))
        return room


class SkipsEveryOtherDrain(Outbox):
    """Leaves out every other drain."""

    def first_pending(self):
        pending = super().first_pending()
        if pending is not None and pending[0] == 0 and pending[3].index % 2:
            position = self.positions[pending[1]]
            (position.newer_sent if pending[4] else position.base_sent)[0] += 1
            return self.first_pending()
        return pending


class ClaimsFullLog(Store):
    """Claims to know all changes since any index."""

    def list_changes(self, scope, index):
        if scope in self.scopes:
            self.scopes[scope].floor = 0
        self.floor = 0
        return super().list_changes(scope, index)


class LosesRemovals(Store):
    """Drops removals."""

    def apply_records(self, index, changes):
        changes = [change for change in changes if change[2].raw is not None]
        super().apply_records(index, changes)


class CountsOnlyConnected(Acknowledgements):
    """Doesn't count disconnected gateways, though they go on with what they have."""

    def stream_ended(self, now, gateway, stay=None):
        super().stream_ended(now, gateway, stay)
        self.drop(gateway)


class AcceptsOldSubscriptions(Acknowledgements):
    """An acknowledgement of an earlier process counts for the current one."""

    def acknowledge(self, now, gateway, complete, refused=(), stay=""):
        known = self.subscribers.get(gateway)
        return super().acknowledge(now, gateway, complete, refused, known.subscription_id if known else stay)


class IgnoresRefusals(Acknowledgements):
    """Ignores refused records."""

    def acknowledge(self, now, gateway, complete, refused=(), stay=""):
        return super().acknowledge(now, gateway, complete, (), stay)


class CountsSubscribedAsComplete(Acknowledgements):
    """Takes each subscriber to be complete."""

    def subscribe(self, now, gateway, region, scopes, stay=""):
        super().subscribe(now, gateway, region, dict.fromkeys(scopes, 1 << 40), stay)


class NeverReportsEverywhere(Acknowledgements):
    """Never reports a scope as in force everywhere."""

    def in_force(self, now, scope, index):
        return super().in_force(now, scope, index)._replace(everywhere=False)


def relay_classes(**kinds):
    return {"relay_classes": kinds}


INJECTED_FAULTS = {
    # fault: (checker that has to catch it, how it is injected, events that expose it, and the first seed
    # where earlier ones are known to show nothing)
    "applies older changes": ("RecordsInForce", {"make_subscriber": AppliesOlderChanges}, ["repeated"]),
    "mixes clusters": ("RecordsInForce", {"make_subscriber": MixesClusters}, ["impostor"]),
    "acknowledges what it received": ("Complete", {"make_subscriber": AcknowledgesReceived}, []),
    "keeps removed records": (
        "Complete",
        {"make_subscriber": KeepsRemovedRecords},
        ["older", "thaw_late", "region"],
        3,
    ),
    "forgets removals": ("RecordsInForce", {"make_subscriber": ForgetsRemovals}, ["repeated"]),
    "ignores unreadable lines": (
        "InvalidLinesIgnored",
        {"make_subscriber": IgnoresUnreadableLines},
        ["garbled", "short", "endless"],
    ),
    "ignores missing lines": ("Complete", {"make_subscriber": IgnoresMissingLines}, ["holes"]),
    "uses one relay": ("Drains", {"make_subscriber": UsesOneRelay}, ["lost"]),
    "waits minutes": ("Drains", {"make_subscriber": WaitsMinutes}, ["kill", "all_relays"]),
    "reports no refusal": ("Complete", {"make_subscriber": ReportsNoRefusal}, ["unfit"]),
    "keeps refused records": ("Complete", {"make_subscriber": KeepsRefusedRecords}, ["unfit"]),
    "exceeds the budget": ("Budget", relay_classes(outbox=ExceedsBudget), []),
    "keeps sent lines": ("Memory", relay_classes(outbox=KeepsSentLines), []),
    "completes too early": ("Complete", relay_classes(outbox=CompletesTooEarly), ["wave", "both"]),
    "skips every other drain": ("Complete", relay_classes(outbox=SkipsEveryOtherDrain), []),
    "claims a full log": (
        "Complete",
        relay_classes(store=ClaimsFullLog),
        ["older", "thaw_late", "cut_log"],
        8,
    ),
    "loses removals": ("Complete", relay_classes(store=LosesRemovals), []),
    "counts only connected subscribers": (
        "Everywhere",
        relay_classes(acknowledged=CountsOnlyConnected),
        ["cut_out", "slow"],
    ),
    "accepts old subscriptions": (
        "Everywhere",
        relay_classes(acknowledged=AcceptsOldSubscriptions),
        ["restart_frozen"],
        6,
    ),
    "ignores refusals": ("Everywhere", relay_classes(acknowledged=IgnoresRefusals), ["unfit"]),
    "counts subscribed as complete": (
        "Everywhere",
        relay_classes(acknowledged=CountsSubscribedAsComplete),
        ["restart", "wave"],
    ),
    "never reports everywhere": ("Everywhere", relay_classes(acknowledged=NeverReportsEverywhere), []),
}


@pytest.mark.parametrize("fault", INJECTED_FAULTS)
def test_injected_fault_is_caught(fault):
    judge, injected, kinds, first = (*INJECTED_FAULTS[fault], 0)[:4]
    seen = set()
    for seed in range(first, first + MAX_SCHEDULES):
        broken = play(draw(seed, kinds), **injected).violation
        if broken is not None:
            seen.add(str(broken))
            if judge == broken.checker:
                return
    pytest.fail(f"{judge} caught nothing in {MAX_SCHEDULES} schedules; others: {seen}")


def test_drains_that_wait_in_line_are_caught(monkeypatch):
    """Drains are sent after the whole snapshot of a large scope."""
    monkeypatch.setattr(outbox, "LEVELS", outbox.LEVELS[::-1])
    assert any(breaks(draw(seed, ["both", "wave", "leader"]), "Drains") for seed in range(MAX_SCHEDULES))


def test_broken_schedule_shrinks_and_replays():
    judge, injected, kinds = INJECTED_FAULTS["mixes clusters"]
    drawn = (draw(seed, kinds) for seed in range(MAX_SCHEDULES))
    schedule = next(one for one in drawn if breaks(one, judge, **injected))
    short = shrink(schedule, lambda one: breaks(one, judge, **injected), max_plays=20)
    again = eval(repr(short), {"Schedule": Schedule, "InjectedFault": InjectedFault})
    assert again == short and len(short.faults) <= len(schedule.faults)
    assert breaks(again, judge, **injected) and not breaks(again, judge)


def test_stray_cluster_takes_no_gateway_while_others_are_unreachable():
    assert_unbroken(*(draw(seed, ["impostor", "region", "all_relays", "cut_out"]) for seed in (8, 16, 18)))
