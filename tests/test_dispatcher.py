"""A member's dispatcher by itself, as the only member of a cluster: its disk is at once, or when a test
says."""

import msgspec
import pytest

from lemonlead.ledger import polls
from lemonlead.ledger.dispatcher import Dispatcher
from lemonlead.ledger.membership import LedgerSettings, formed
from lemonlead.ledger.polls import POLL
from lemonlead.ledger.records import LEADER, ConfiguredMember, ReplicaConfig, StoredState
from lemonlead.member import assembly

MS = 1_000_000


class Door:
    """Writes down what it is asked, in order."""

    def __init__(self):
        self.asked, self.writes, self.answers, self.told = [], [], {}, {}

    def write(self, write):
        self.writes.append(write)
        self.asked.append(("write", write.entries[-1].index if write.entries else 0))

    def snapshot(self, state, base):
        self.asked.append(("snapshot", base.index))

    def answer(self, ticket, code, body):
        self.answers[ticket] = code, body

    def polled(self, ticket, events, at, state, leader):
        self.told[ticket] = events, at, state

    def nothing(self, *_):
        pass

    send = send_chunk = receive_chunk = readable = call = nothing


class World:
    def __init__(self, **more):
        state, base = formed({"g1": ConfiguredMember("h:1", "f1")}, LedgerSettings())
        told = ReplicaConfig(cluster="c", name="g1", folder="f1", seed=1)
        self.now, self.door, self.number = 1, Door(), 0
        self.dispatcher = Dispatcher(
            told, StoredState(term=1, base=base), assembly.make_ledger(), state, self.now, **more
        )
        while self.dispatcher.replica.role != LEADER:
            self.passes(max(self.dispatcher.wake_at() - self.now, MS))
        self.command("node", node="n1", site="s", units=5)

    def decided(self):
        while self.dispatcher.decide(self.now, self.door):
            pass

    def passes(self, time=0):
        """So much time, and all that there is to do until no write is out."""
        self.now += time
        self.dispatcher.set_clocks(self.now, self.now // MS)
        self.decided()
        while self.door.writes:
            self.dispatcher.written(self.now, self.door.writes.pop(0).number)
            self.decided()

    def propose(self, kind, **fields):
        self.number += 1
        data = msgspec.json.encode({"id": f"t/{self.number}", "kind": kind, **fields})
        self.dispatcher.command(self.now, data, self.number)

    def command(self, kind, **fields):
        """The index that it was done at."""
        self.propose(kind, **fields)
        self.passes()
        code, body = self.door.answers[self.number]
        assert code == 200
        return body["at"]

    def poll(self, ticket, after, gateway="", **more):
        self.dispatcher.poll(self.now, after, gateway, ticket, **more)
        self.passes()
        return self.door.told.get(ticket)

    def waits_for(self, index):
        return self.dispatcher.followers.waited_for(self.now, self.dispatcher.state, index)


def test_a_late_poll_of_an_earlier_process_of_that_name_counts_for_nothing():
    world = World()
    earlier = world.command("follow", gateway="gw")
    later = world.command("follow", gateway="gw")
    index = world.command("node", node="n2", site="s", units=5)
    for stay in ({"since": earlier}, {}, {"since": index + 9}):
        world.poll("late", index, "gw", **stay)
        assert world.waits_for(index) == ["gw"]
    world.poll("its own", index, "gw", since=later)
    assert world.waits_for(index) == []
    assert world.dispatcher.counts["polls of another stay"] == 3


def test_a_call_for_parts_is_woken_by_them_alone_and_the_index_moves_on_all_the_same():
    world = World()
    at = world.dispatcher.state.index
    world.poll("all", at)
    assert world.poll("nodes", at, parts=("nodes", "permits")) is None
    held = world.command("reserve", reservation="r", service="s", units=1, nodes=["n1"])
    assert [index for index, _ in world.door.told["all"][0]] == [held]
    assert "nodes" not in world.door.told
    node = world.command("node", node="n2", site="s", units=5)
    events, upto, _ = world.door.told["nodes"]
    assert [(index, {part for part, _ in told}) for index, told in events] == [(node, {"nodes"})]
    assert upto == node
    gone = world.command("free", reservation="r")
    assert world.poll("again", node, parts=("nodes",)) is None
    world.passes(POLL)
    assert world.door.told["again"][:2] == ([], gone)


def test_a_call_for_parts_after_what_is_kept_no_more_gets_the_whole_at_once(monkeypatch):
    monkeypatch.setattr(polls, "MAX_EVENTS", 1)
    world = World()
    at = world.dispatcher.state.index
    for name in ("a", "b", "c"):
        world.command("reserve", reservation=name, service="s", units=1, nodes=["n1"])
    events, upto, state = world.poll("behind", at, parts=("nodes",))
    assert events is None and state.index == upto == at + 3


def test_a_poll_past_the_bound_is_answered_at_once(monkeypatch):
    monkeypatch.setattr("lemonlead.ledger.dispatcher.MAX_POLLS", 2)
    world = World()
    at = world.dispatcher.state.index
    assert [world.poll(ticket, at) for ticket in "ab"] == [None, None]
    assert world.poll("c", at) == ([], at, None)
    assert world.dispatcher.counts["polls answered at once"] == 1
    world.command("node", node="n2", site="s", units=5)
    assert world.door.told.keys() == {"a", "b", "c"}


def test_snapshots_are_as_far_apart_as_the_state_is_large():
    world = World(snapshot_every=4)
    taken, records = 1, 0
    for number in range(90):
        world.command("node", node=f"n{number + 2}", site="s", units=5)
        if ("snapshot", world.dispatcher.state.index) in world.door.asked:
            assert world.dispatcher.state.index - taken == max(4, records)
            taken, records = world.dispatcher.state.index, world.dispatcher.state.records
            world.dispatcher.snapshot_kept(world.now, world.dispatcher.snapshotting)
    assert 2 <= sum(what == "snapshot" for what, _ in world.door.asked) <= 5


@pytest.mark.parametrize("bound, value", [("MAX_SNAPSHOT_INTERVAL", 8), ("MAX_LOG_BYTES", 900)])
def test_the_log_stays_short_however_large_the_state(monkeypatch, bound, value):
    monkeypatch.setattr(f"lemonlead.ledger.dispatcher.{bound}", value)
    world, longest, since = World(snapshot_every=5), 0, 0
    for number in range(200):
        world.command("node", node=f"n{number + 2}", site="s", units=5)
        longest = max(longest, world.dispatcher.state.index - since)
        if world.dispatcher.snapshotting is not None:
            since = world.dispatcher.snapshotting.index
            world.dispatcher.snapshot_kept(world.now, world.dispatcher.snapshotting)
    assert longest <= 8
