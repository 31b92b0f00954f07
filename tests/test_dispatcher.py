"""Tests of the dispatcher of a cluster with a single member. Writes are on disk at once."""

import msgspec
import pytest

from lemonlead.ledger import polls
from lemonlead.ledger.dispatcher import Dispatcher
from lemonlead.ledger.membership import LedgerSettings, formed
from lemonlead.ledger.polls import MAX_POLL_NS
from lemonlead.ledger.records import LEADER, ConfiguredMember, ReplicaConfig, StoredState
from lemonlead.member import assembly

MS = 1_000_000


class RecordingHost:
    """A DispatcherHost that records its calls."""

    def __init__(self):
        self.calls, self.writes, self.answers, self.polls_answered = [], [], {}, {}

    def write(self, write):
        self.writes.append(write)
        self.calls.append(("write", write.entries[-1].index if write.entries else 0))

    def snapshot(self, state, base):
        self.calls.append(("snapshot", base.index))

    def answer(self, ticket, code, body):
        self.answers[ticket] = code, body

    def polled(self, ticket, events, at, state, leader):
        self.polls_answered[ticket] = events, at, state

    def nothing(self, *_):
        pass

    send = send_chunk = receive_chunk = readable = call = nothing


class SingleMember:
    """A cluster of one member, which leads."""

    def __init__(self, **more):
        state, base = formed({"g1": ConfiguredMember("h:1", "f1")}, LedgerSettings())
        config = ReplicaConfig(cluster="c", name="g1", folder="f1", seed=1)
        self.now, self.host, self.number = 1, RecordingHost(), 0
        self.dispatcher = Dispatcher(
            config, StoredState(term=1, base=base), assembly.make_ledger(), state, self.now, **more
        )
        while self.dispatcher.replica.role != LEADER:
            self.advance(max(self.dispatcher.wake_at() - self.now, MS))
        self.command("node", node="n1", site="s", units=5)

    def decide_all(self):
        while self.dispatcher.decide(self.now, self.host):
            pass

    def advance(self, time=0):
        """Advances time, then runs the dispatcher until no write is in flight."""
        self.now += time
        self.dispatcher.set_clocks(self.now, self.now // MS)
        self.decide_all()
        while self.host.writes:
            self.dispatcher.written(self.now, self.host.writes.pop(0).number)
            self.decide_all()

    def propose(self, kind, **fields):
        self.number += 1
        data = msgspec.json.encode({"id": f"t/{self.number}", "kind": kind, **fields})
        self.dispatcher.command(self.now, data, self.number)

    def command(self, kind, **fields):
        """Proposes a command, which must succeed. Returns its index."""
        self.propose(kind, **fields)
        self.advance()
        code, body = self.host.answers[self.number]
        assert code == 200
        return body["at"]

    def poll(self, ticket, after, gateway="", **more):
        self.dispatcher.poll(self.now, after, gateway, ticket, **more)
        self.advance()
        return self.host.polls_answered.get(ticket)

    def waits_for(self, index):
        return self.dispatcher.followers.waited_for(self.now, self.dispatcher.state, index)


def test_a_late_poll_of_an_earlier_process_is_no_acknowledgement():
    world = SingleMember()
    earlier = world.command("follow", gateway="gw")
    later = world.command("follow", gateway="gw")
    index = world.command("node", node="n2", site="s", units=5)
    for fields in ({"since": earlier}, {}, {"since": index + 9}):
        world.poll("late", index, "gw", **fields)
        assert world.waits_for(index) == ["gw"]
    world.poll("its own", index, "gw", since=later)
    assert world.waits_for(index) == []
    assert world.dispatcher.counts["polls of another stay"] == 3


def test_an_unfollow_that_names_a_stay_is_logged_as_older_members_read_it():
    """Guards against members of two versions that apply one log entry differently."""
    world, written = SingleMember(), []
    earlier = world.command("follow", gateway="gw")
    later = world.command("follow", gateway="gw")
    world.host.write = lambda write: (written.extend(write.entries), world.host.writes.append(write))
    for since, left in ((earlier, {"gw": later}), (later, {})):
        world.command("unfollow", gateway="gw", since=since)
        rows = world.dispatcher.state.part("followers")
        assert {name: row.since for name, row in rows.items()} == left
    logged = [msgspec.json.decode(entry.data) for entry in written]
    assert [(one["kind"], one["since"]) for one in logged] == [("forgotten", earlier), ("forgotten", later)]
    world.dispatcher.command(world.now, msgspec.json.encode(dict(logged[1], kind="unfollow")), "again")
    world.advance()
    assert world.host.answers["again"] == world.host.answers[world.number]


def test_a_gateway_whose_follow_is_not_applied_yet_is_waited_for():
    """Guards against a permit cleared past a gateway: the leader decides on a state without it, but the
    entry comes after its follow command in the log."""
    world = SingleMember()
    index = world.command("node", node="n2", site="s", units=5)
    world.propose("follow", gateway="gw")
    assert world.waits_for(index) == ["gw"]
    world.advance()
    assert world.waits_for(index) == ["gw"]
    world.command("unfollow", gateway="gw")
    assert world.waits_for(index) == []


def test_a_follow_of_an_earlier_term_that_was_lost_is_not_waited_for():
    world = SingleMember()
    world.dispatcher.followers.proposed(
        "gw", world.dispatcher.state.term - 1, world.dispatcher.state.index + 9
    )
    assert world.waits_for(world.dispatcher.state.index) == []


def test_a_poll_for_parts_ends_only_by_changes_of_them():
    world = SingleMember()
    at = world.dispatcher.state.index
    world.poll("all", at)
    assert world.poll("nodes", at, parts=("nodes", "permits")) is None
    held = world.command("reserve", reservation="r", service="s", units=1, nodes=["n1"])
    assert [index for index, _ in world.host.polls_answered["all"][0]] == [held]
    assert "nodes" not in world.host.polls_answered
    node = world.command("node", node="n2", site="s", units=5)
    events, upto, _ = world.host.polls_answered["nodes"]
    assert [(index, {part for part, _ in changes}) for index, changes in events] == [(node, {"nodes"})]
    assert upto == node
    gone = world.command("free", reservation="r")
    assert world.poll("again", node, parts=("nodes",)) is None
    world.advance(MAX_POLL_NS)
    assert world.host.polls_answered["again"][:2] == ([], gone)


def test_a_poll_before_the_kept_changes_gets_the_whole_state(monkeypatch):
    monkeypatch.setattr(polls, "MAX_EVENTS", 1)
    world = SingleMember()
    at = world.dispatcher.state.index
    for name in ("a", "b", "c"):
        world.command("reserve", reservation=name, service="s", units=1, nodes=["n1"])
    events, upto, state = world.poll("behind", at, parts=("nodes",))
    assert events is None and state.index == upto == at + 3


def test_a_poll_beyond_the_bound_is_answered_at_once(monkeypatch):
    monkeypatch.setattr("lemonlead.ledger.dispatcher.MAX_POLLS", 2)
    world = SingleMember()
    at = world.dispatcher.state.index
    assert [world.poll(ticket, at) for ticket in "ab"] == [None, None]
    assert world.poll("c", at) == ([], at, None)
    assert world.dispatcher.counts["polls answered at once"] == 1
    world.command("node", node="n2", site="s", units=5)
    assert world.host.polls_answered.keys() == {"a", "b", "c"}


def test_the_snapshot_interval_grows_with_the_state():
    world = SingleMember(snapshot_every=4)
    taken, records = 1, 0
    for number in range(90):
        world.command("node", node=f"n{number + 2}", site="s", units=5)
        if ("snapshot", world.dispatcher.state.index) in world.host.calls:
            assert world.dispatcher.state.index - taken == max(4, records)
            taken, records = world.dispatcher.state.index, world.dispatcher.state.records
            world.dispatcher.snapshot_kept(world.now, world.dispatcher.snapshot_in_progress)
    assert 2 <= sum(what == "snapshot" for what, _ in world.host.calls) <= 5


@pytest.mark.parametrize("bound, value", [("MAX_SNAPSHOT_INTERVAL", 8), ("MAX_LOG_BYTES", 900)])
def test_the_log_stays_short_with_a_large_state(monkeypatch, bound, value):
    monkeypatch.setattr(f"lemonlead.ledger.dispatcher.{bound}", value)
    world, longest, since = SingleMember(snapshot_every=5), 0, 0
    for number in range(200):
        world.command("node", node=f"n{number + 2}", site="s", units=5)
        longest = max(longest, world.dispatcher.state.index - since)
        if world.dispatcher.snapshot_in_progress is not None:
            since = world.dispatcher.snapshot_in_progress.index
            world.dispatcher.snapshot_kept(world.now, world.dispatcher.snapshot_in_progress)
    assert longest <= 8
