"""State on its way to gateways in simulated worlds with faults, judged by checkers of their own; and faults
put in on purpose, each a small subclass of what it spoils, that a judge has to catch."""

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
from lemonlead.standins.distributed.log import KEPT, Changes, Log
from lemonlead.standins.distributed.schedules import KINDS, Schedule, Trouble, draw, play, shrunk
from lemonlead.standins.simulated.world import World

MOST = 30  # schedules in which each fault put in has to be caught


def stands(*runs):
    """Plays each; fails with the shortest form of the first that breaks."""
    for schedule in runs:
        played = play(schedule)
        if played.broken is not None:
            judge = played.broken.judge
            short = shrunk(schedule, lambda one, judge=judge: breaks(one, judge), most=40)
            pytest.fail(f"{played.broken}\n{short}")


def breaks(schedule, judge, **more):
    broken = play(schedule, **more).broken
    return broken is not None and broken.judge == judge


# ---- the world by itself


def test_a_log_tells_what_was_as_of_an_index():
    log = Log("c")
    assert log.commit("s", "a", {"state": "ready"}) == 1
    log.commit("s", "a", None)
    log.commit("s", "a", {"state": "draining"})
    assert [log.at("s", "a", index)[0] for index in range(4)] == [0, 1, 2, 3]
    assert log.at("s", "a", 2) == (2, None) and log.scope("s", 2) == {}
    assert log.state(3) == {"s": {"a": (3, {"state": "draining", "stamp": "c-3"})}}
    assert [index for index, _ in log.since(1)] == [2, 3] and log.since(4) is None
    log.hush()
    for _ in range(KEPT + 5):
        log.commit("s", "b", {})
    assert log.told == 3 and log.since(3) == []
    log.speak()
    assert log.since(3) is None and len(log.since(log.index - KEPT)) == KEPT


def test_a_wave_drains_most_of_a_zone():
    log = Log("c")
    changes = Changes(log, 1)
    before = log.index
    changes.wave()
    drained = [record for _, _, record in log.entries[before:]]
    assert len(drained) > 8 and {record["state"] for record in drained} == {"draining"}
    assert len({record["zone"] for record in drained}) == 1


class Wire:
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


def test_a_stream_keeps_its_order_and_a_cut_holds_it():
    wire = Wire()
    for data in (b"1", b"2"):
        wire.stream.send(data)
    wire.run(1)
    wire.links.cut([("r", "g")])
    wire.stream.send(b"3")
    wire.run(5)
    assert wire.got == [b"1", b"2"] and wire.stream.under_way == 1
    wire.links.mend([("r", "g")])
    wire.stream.end("over")
    wire.run(1)
    assert wire.got == [b"1", b"2", b"3"] and wire.over == ["over"] and not wire.lost


def test_a_stream_whose_reader_is_gone_or_cut_off_for_long_is_lost():
    wire = Wire()
    wire.links.cut([("r", "g")])
    wire.stream.send(b"1")
    wire.run(links.GIVEN_UP // links.SECOND + 2)
    assert wire.lost == [wire.stream] and not wire.got
    wire = Wire()
    wire.stream.close()
    wire.run(1)
    assert wire.lost == [wire.stream]


def test_a_reader_that_stands_still_fills_the_window():
    wire = Wire()
    wire.reads = False
    while not wire.stream.full:
        wire.stream.send(bytes(1000))
    wire.run(5)
    assert wire.stream.full and not wire.got
    wire.reads = True
    wire.run(1)
    assert len(wire.got) == 9 and wire.stream.under_way == 0


@pytest.mark.parametrize("how", [links.garbled, links.endless, links.short])
def test_what_is_spoiled_differs_and_stays_one_line(how):
    chance = random.Random(1)
    line = b'{"changes":[["s","a",3,{"state":"ready"}]],"complete":{"s":3}}\n'
    for _ in range(200):
        made = how(line, chance)
        assert made != line and made.endswith(b"\n") and made.count(b"\n") == 1


def test_nonsense_is_nonsense_to_whoever_reads_it():
    """None of it names a record that was ever committed, so that no gateway may be moved by it."""
    for line in links.NONSENSE:
        try:
            told = json.loads(line)
        except ValueError:
            continue
        assert "stamp" not in json.dumps(told)


def test_sizes_are_counted_deep_and_once():
    class Holds:
        __slots__ = ("a", "b")

    one = Holds()
    one.a = one.b = list(range(1000, 2000))
    assert 30_000 < deep_size(one, None) < 60_000
    assert deep_size(one, one.a) < 1000


# ---- schedules


@pytest.mark.parametrize("first", range(0, 12, 3))
def test_drawn_schedules_break_nothing(first):
    stands(*(draw(seed) for seed in range(first, first + 3)))


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_each_trouble_by_itself_breaks_nothing(kind):
    _, least, most = KINDS[kind]
    length = (least + most) // 2
    troubles = tuple(Trouble(at, kind, whom, length, at) for at, whom in ((500, 0), (7000, 1), (12000, 0)))
    stands(Schedule(KINDS[kind][0], 3, troubles))


def test_a_schedule_plays_the_same_again():
    assert play(draw(3)).counts == play(draw(3)).counts


def test_the_command_plays_and_tells(capsys):
    assert distribution.main(["--faults", "sunshine"]) == 2
    assert distribution.one((4, ["kill"]))[2] is None
    distribution.report(1, {"trouble: kill": 2}, 0.5)
    assert "2 kill" in capsys.readouterr().out


# ---- faults put in on purpose


class SeesNoHoles(Subscriber):
    """Does not count lines."""

    def checked(self, line):
        return super().checked(type(line)(line.cluster, line.at, line.snapshot, line.changes, line.complete))


class GoesBack(SeesNoHoles):
    """Puts in force whatever it is told, older or not."""

    def change(self, found, scope, key, index, record):
        if scope in self.snapshots:
            self.snapshots[scope].told.add(key)
        self.put(found, scope, key, index, record)


class ForgetsRemovals(SeesNoHoles):
    """Told again, what was removed is back."""

    def change(self, found, scope, key, index, record):
        if key in self.records[scope]:
            super().change(found, scope, key, index, record)
        else:
            if scope in self.snapshots:
                self.snapshots[scope].told.add(key)
            self.put(found, scope, key, index, record)


class Mixes(Subscriber):
    """Takes another cluster's state for its own."""

    def checked(self, line):
        self.teller = self.teller and self.cluster
        if line.cluster is not None:
            line = type(line)(cluster=self.cluster or line.cluster, at=line.at, n=line.n)
        return super().checked(line)


class AcknowledgesReceived(Subscriber):
    """Says to be complete up to the relay's index as soon as the stream begins."""

    def receive_line(self, now, data):
        found = super().receive_line(now, data)
        if b'"at":' in data:
            at = json.loads(data)["at"]
            self.complete = {scope: max(index, at) for scope, index in self.complete.items()}
        return found


class KeepsWhatIsGone(Subscriber):
    """A snapshot's end drops nothing."""

    def completed(self, found, scope, index):
        if scope in self.snapshots:
            self.snapshots[scope].told |= set(self.records[scope])
        super().completed(found, scope, index)


class ReadsNonsense(Subscriber):
    """Lets pass what it can't read."""

    def receive_line(self, now, data):
        try:
            return super().receive_line(now, data)
        except Unreadable:
            return []


class StaysWithOne(Subscriber):
    """Goes to no other relay."""

    def __init__(self, me, region, scopes, relays, seed):
        super().__init__(me, region, scopes, relays[:1], seed)


class WaitsLong(Subscriber):
    """Minutes, once a stream ended."""

    def stream_ended(self, now, reason):
        super().stream_ended(now, reason)
        self.not_before = now + 100 * links.SECOND


class TellsNoRefusal(Subscriber):
    def refuse(self, scope, key, index, says):
        super().refuse(scope, key, index, says)
        self.refused.clear()


class ActsOnWhatItRefused(Subscriber):
    """The record that can't be used stays among its records."""

    def refuse(self, scope, key, index, says):
        held = self.records[scope][key]
        super().refuse(scope, key, index, says)
        self.records[scope][key] = held


class NoBudget(Outbox):
    def __init__(self, now, store, scopes, rate, burst, *more):
        super().__init__(now, store, scopes, 20 * rate, 20 * burst, *more)


class Queues(Outbox):
    """Keeps a copy of all that it told."""

    def next(self, now):
        line = super().next(now)
        self.kept = [*getattr(self, "kept", ()), line + b"." if line else b"-" * 100]
        return line


class CompletesEarly(Outbox):
    """Tells a scope as complete with changes of it still to be told."""

    def tell_complete(self, complete, room):
        room = super().tell_complete(complete, room)
        for scope, position in self.positions.items():
            if position.base is not None and scope not in self.done and not complete:
                complete.append(b"%b:%d" % (json.dumps(scope).encode(), self.store.index))
        return room


class TellsHalf(Outbox):
    """Leaves out every other drain."""

    def first(self):
        found = super().first()
        if found is not None and found[0] == 0 and found[3].index % 2:
            position = self.positions[found[1]]
            (position.late_at if found[4] else position.at)[0] += 1
            return self.first()
        return found


class FloorsNothing(Store):
    """Claims to know all that changed since any index."""

    def news(self, scope, index):
        if scope in self.scopes:
            self.scopes[scope].floor = 0
        self.floor = 0
        return super().news(scope, index)

    def floor_of(self, scope):
        return 0


class LosesRemovals(Store):
    def take(self, index, changes):
        changes = [change for change in changes if change[2].raw is not None]
        super().take(index, changes)


class CountsOnlyPresent(Acknowledgements):
    """Who left counts no more, though it goes on with what it has."""

    def stream_ended(self, now, gateway, stay=None):
        super().stream_ended(now, gateway, stay)
        self.drop(gateway)


class HearsFormerLives(Acknowledgements):
    """A word of the life before counts for the one that is."""

    def acknowledge(self, now, gateway, complete, refused=(), stay=""):
        known = self.subscribers.get(gateway)
        return super().acknowledge(now, gateway, complete, refused, known.stay if known else stay)


class HeedsNoRefusal(Acknowledgements):
    def acknowledge(self, now, gateway, complete, refused=(), stay=""):
        return super().acknowledge(now, gateway, complete, (), stay)


class CountsReceived(Acknowledgements):
    """Who subscribed is taken to be complete."""

    def subscribe(self, now, gateway, region, scopes, stay=""):
        super().subscribe(now, gateway, region, dict.fromkeys(scopes, 1 << 40), stay)


class NeverTells(Acknowledgements):
    """Nothing is in force everywhere, ever."""

    def in_force(self, now, scope, index):
        return super().in_force(now, scope, index)._replace(everywhere=False)


def of(**kinds):
    return {"relay_kinds": kinds}


FAULTS = {
    # fault: (judge that has to see it, how it is put in, troubles that bring it out, and the first seed where
    # those before were seen to show nothing)
    "goes back": ("Acting", {"make": GoesBack}, ["repeated"]),
    "mixes clusters": ("Acting", {"make": Mixes}, ["impostor"]),
    "acknowledges what it received": ("Complete", {"make": AcknowledgesReceived}, []),
    "keeps what is gone": ("Complete", {"make": KeepsWhatIsGone}, ["older", "thaw_late", "region"], 3),
    "forgets removals": ("Acting", {"make": ForgetsRemovals}, ["repeated"]),
    "reads nonsense": ("Unmoved", {"make": ReadsNonsense}, ["garbled", "short", "endless"]),
    "sees no holes": ("Complete", {"make": SeesNoHoles}, ["holes"]),
    "stays with one relay": ("Drains", {"make": StaysWithOne}, ["lost"]),
    "waits long": ("Drains", {"make": WaitsLong}, ["kill", "all_relays"]),
    "tells no refusal": ("Complete", {"make": TellsNoRefusal}, ["unfit"]),
    "keeps what it refused": ("Complete", {"make": ActsOnWhatItRefused}, ["unfit"]),
    "no budget": ("Budget", of(outbox=NoBudget), []),
    "queues": ("Memory", of(outbox=Queues), []),
    "completes early": ("Complete", of(outbox=CompletesEarly), ["wave", "both"]),
    "leaves out drains": ("Complete", of(outbox=TellsHalf), []),
    "claims to know all": ("Complete", of(store=FloorsNothing), ["older", "thaw_late", "cut_log"], 8),
    "loses removals": ("Complete", of(store=LosesRemovals), []),
    "counts only who is present": ("Everywhere", of(acknowledged=CountsOnlyPresent), ["cut_out", "slow"]),
    "hears former lives": ("Everywhere", of(acknowledged=HearsFormerLives), ["restart_frozen"], 6),
    "heeds no refusal": ("Everywhere", of(acknowledged=HeedsNoRefusal), ["unfit"]),
    "counts what was received": ("Everywhere", of(acknowledged=CountsReceived), ["restart", "wave"]),
    "never tells everywhere": ("Everywhere", of(acknowledged=NeverTells), []),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_fault_put_in_on_purpose_is_caught(fault):
    judge, put_in, kinds, first = (*FAULTS[fault], 0)[:4]
    seen = set()
    for seed in range(first, first + MOST):
        broken = play(draw(seed, kinds), **put_in).broken
        if broken is not None:
            seen.add(str(broken))
            if judge == broken.judge:
                return
    pytest.fail(f"{judge} saw nothing in {MOST} schedules; others: {seen}")


def test_drains_that_wait_for_their_turn_are_caught(monkeypatch):
    """Behind all that a snapshot of a large scope tells."""
    monkeypatch.setattr(outbox, "LEVELS", outbox.LEVELS[::-1])
    assert any(breaks(draw(seed, ["both", "wave", "leader"]), "Drains") for seed in range(MOST))


def test_a_fault_is_shrunk_to_a_schedule_that_plays_again():
    judge, put_in, kinds = FAULTS["mixes clusters"]
    drawn = (draw(seed, kinds) for seed in range(MOST))
    schedule = next(one for one in drawn if breaks(one, judge, **put_in))
    short = shrunk(schedule, lambda one: breaks(one, judge, **put_in), most=20)
    again = eval(repr(short), {"Schedule": Schedule, "Trouble": Trouble})
    assert again == short and len(short.troubles) <= len(schedule.troubles)
    assert breaks(again, judge, **put_in) and not breaks(again, judge)


def test_a_relay_of_another_cluster_takes_no_gateway_over_while_others_cant_be_reached():
    stands(*(draw(seed, ["impostor", "region", "all_relays", "cut_out"]) for seed in (8, 16, 18)))
