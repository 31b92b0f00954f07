"""The parts of a member's process by themselves: backoff, peer queues, disk thread, turns of the host, HTTP
calls."""

import asyncio
import sqlite3
import threading
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from lemonlead.ledger.backoff import Backoff
from lemonlead.ledger.membership import first_base
from lemonlead.ledger.records import ConfiguredMember, SnapshotBase, SnapshotChunk, Write
from lemonlead.member import faults, peers, run
from lemonlead.member.disk_thread import DiskThread
from lemonlead.member.host import Host
from lemonlead.member.http_client import HttpClient

MS = 1_000_000


@pytest.mark.parametrize(
    "failures, least, most", [(0, 5, 10), (1, 10, 20), (3, 40, 80), (4, 50, 100), (90, 50, 100)]
)
def test_backoff_grows_up_to_its_maximum(failures, least, most):
    backoff = Backoff(1, 10 * MS, 100 * MS)
    for _ in range(failures):
        backoff.failed()
    assert least * MS <= backoff.failed() <= most * MS
    backoff.worked()
    assert 5 * MS <= backoff.failed() <= 10 * MS


def test_backoff_differs_between_members():
    assert len({Backoff(f"{seed} g1", 10 * MS, 100 * MS).failed() for seed in range(20)}) > 15


@pytest.mark.parametrize(
    "sizes, left, dropped",
    [
        ([10] * 5, 5, 0),
        ([10] * (peers.MAX_QUEUED_MESSAGES + 3), peers.MAX_QUEUED_MESSAGES, 3),
        ([9 << 20, 9 << 20], 1, 1),
        ([17 << 20], 1, 0),
    ],
)
def test_full_peer_queue_drops_its_oldest_messages(sizes, left, dropped):
    queue = peers.PeerQueue()
    assert sum(queue.put(bytes(size)) for size in sizes) == dropped
    assert (len(queue.messages), queue.size_bytes) == (left, sum(map(len, queue.messages)))


def test_batch_is_bounded_and_has_at_least_one_message():
    queue = peers.PeerQueue()
    for size in (2 << 20, 600 << 10, 600 << 10, 10):
        queue.put(peers.ENCODE(bytes(size)))
    assert [queue.take_batch()[1] for _ in range(3)] == [1, 1, 2]
    assert not queue.messages and queue.size_bytes == 0 and not queue.not_empty.is_set()


MEMBERS = {"g1": ConfiguredMember("a:1", "f1"), "g4": ConfiguredMember("a:4", "f4", False)}


@pytest.mark.parametrize("name, index", [("g1", 7), ("g4", 0), ("g9", 7)])
def test_first_base_of_a_voter_is_the_snapshot_and_of_a_learner_empty(name, index):
    assert first_base(MEMBERS, name, SnapshotBase(7, 2, MEMBERS)).index == index


# ---- the disk thread


class RecordingFolder:
    """Records the calls it gets. Fails the writes of the given numbers, and holds each put until `may_put` is
    set."""

    def __init__(self, failing=()):
        self.calls, self.failing, self.may_put, self.base = (
            [],
            set(failing),
            threading.Event(),
            SnapshotBase(),
        )

    def put(self, writes):
        self.may_put.wait(10)
        self.calls.append([write.number for write in writes])
        if self.failing & {write.number for write in writes}:
            raise OSError("no space")

    def snapshot(self, base, pieces):
        for piece in pieces:
            self.calls.append(piece)
            yield
        self.base = base
        yield

    def read_chunk(self, base, offset, max_bytes):
        return None


CHUNK = SnapshotChunk("c", "g1", "f1", "g2", "f2", 1, base=SnapshotBase(9, 1))


class RecordingHost:
    """Records each call as (name of the method, its arguments)."""

    def __init__(self):
        self.calls, self.changed = [], threading.Condition()

    def __getattr__(self, name):
        def call(*arguments):
            with self.changed:
                self.calls.append((name, *arguments))
                self.changed.notify_all()

        return call

    def wait(self, count):
        with self.changed:
            assert self.changed.wait_for(lambda: len(self.calls) >= count, 10), self.calls


@pytest.fixture
def make_disk_thread():
    made = []

    def make(folder):
        ledger = SimpleNamespace(pieces=lambda state: iter(state))
        made.append(DiskThread(folder, ledger, lambda function, *arguments: function(*arguments)))
        return made[-1]

    yield make
    for one in made:
        one.folder.may_put.set()
        one.stop(10)
        assert not one.thread.is_alive()


def test_queued_writes_are_put_together(make_disk_thread):
    folder, host = RecordingFolder(), RecordingHost()
    disk = make_disk_thread(folder)
    disk.write(Write(1, 1, ""), host)
    while disk.jobs:
        pass  # until the first put is under way
    for number in range(2, 9):
        disk.write(Write(number, 1, ""), host)
    folder.may_put.set()
    host.wait(2)
    assert folder.calls == [[1], [2, 3, 4, 5, 6, 7, 8]]
    assert host.calls == [("written", 1), ("written", 8)]


def test_after_a_failed_write_nothing_is_written(make_disk_thread):
    """The host is notified of the failure once."""
    folder, host = RecordingFolder(failing=[2]), RecordingHost()
    folder.may_put.set()
    disk = make_disk_thread(folder)
    disk.write(Write(1, 1, ""), host)
    host.wait(1)
    disk.write(Write(2, 1, ""), host)
    host.wait(2)
    for number in (3, 4):
        disk.write(Write(number, 1, ""), host)
    disk.snapshot([b"a"], SnapshotBase(9, 1), host)
    disk.stop(10)
    assert folder.calls == [[1], [2]]
    assert [call[0] for call in host.calls] == ["written", "disk_failed"] and "no space" in host.calls[1][1]


def test_writes_are_done_between_the_steps_of_a_snapshot(make_disk_thread):
    folder, host = RecordingFolder(), RecordingHost()
    folder.may_put.set()
    disk = make_disk_thread(folder)

    def pieces():
        for number in range(1, 4):
            disk.write(Write(number, 1, ""), host)
            yield b"piece"

    disk.snapshot(pieces(), SnapshotBase(9, 1), host)
    host.wait(4)
    assert folder.calls == [b"piece", [1], b"piece", [2], b"piece", [3]]
    assert [call[0] for call in host.calls].count("snapshot_kept") == 1


@pytest.mark.parametrize("error", [faults.Damaged("a piece"), sqlite3.OperationalError("io")])
def test_damage_found_while_sending_a_chunk_fails_the_disk(make_disk_thread, error):
    folder, host, sent = RecordingFolder(), RecordingHost(), []
    folder.may_put.set()
    folder.read_chunk = Mock(side_effect=error)
    disk = make_disk_thread(folder)
    for _ in range(2):
        disk.send_chunk(CHUNK, 100, sent.append, host)
    disk.write(Write(1, 1, ""), host)
    disk.stop(10)
    assert [call[0] for call in host.calls] == ["disk_failed"] and str(error) in host.calls[0][1]
    assert (sent, folder.calls, disk.counts["parts_dropped"]) == ([], [], 2)


def test_chunk_of_a_snapshot_no_longer_in_force_is_dropped(make_disk_thread):
    folder, host, sent = RecordingFolder(), RecordingHost(), []
    folder.may_put.set()
    disk = make_disk_thread(folder)
    disk.send_chunk(CHUNK, 100, sent.append, host)
    disk.write(Write(1, 1, ""), host)
    host.wait(1)
    assert (host.calls, sent, disk.counts["parts_dropped"]) == ([("written", 1)], [], 1)


# ---- turns of the host


class RecordingDispatcher:
    """Records the order of its calls. `wake_time`: when it wants to be called."""

    def __init__(self, wake_time):
        self.calls, self.wake_time, self.leader_tasks = [], wake_time, []
        self.replica = SimpleNamespace(role="follower", term=1, leader="")

    def set_clocks(self, now, wall_ms):
        self.now = now

    def receive(self, now, message):
        assert now == self.now
        self.calls.append(message)

    def decide(self, now, host):
        self.calls.append("decide")
        return False

    def wake_at(self):
        return self.wake_time


@pytest.mark.parametrize(
    "wake_time, calls",
    [(1, ["decide", "late", "decide"]), (1 << 62, ["late", "decide"])],
    ids=["due", "not due"],
)
def test_due_wakeup_comes_before_queued_messages(wake_time, calls):
    async def play():
        host = make_host(RecordingDispatcher(wake_time))
        host.receive("late")
        host.run_turn()
        host.stop()
        return host.dispatcher.calls

    assert asyncio.run(play()) == calls


def make_host(dispatcher):
    """A host without peers and disk."""
    host = Host.__new__(Host)
    host.loop, host.dispatcher, host.wake_time, host.stopped = (
        asyncio.get_running_loop(),
        dispatcher,
        dispatcher.wake_time,
        False,
    )
    host.messages, host.inputs, host.next_turn, host.timer = peers.deque(), peers.deque(), None, None
    host.leader_waiters = {}
    host.leadership, host.leadership_changed = ("follower", 1, ""), asyncio.Event()
    host.counts = dict.fromkeys(
        ("messages", "messages_dropped", "turns", "longest_late_ms", "longest_turn_ms"), 0
    )
    return host


def test_time_for_decisions_in_one_turn_is_bounded(monkeypatch):
    clock = SimpleNamespace(now=0, time_ns=lambda: 0, monotonic_ns=lambda: clock.now)
    monkeypatch.setattr("lemonlead.member.host.time", clock)

    class SlowDispatcher(RecordingDispatcher):
        def decide(self, now, host):
            clock.now += 8 * MS
            self.calls.append(now)
            return len(self.calls) < 10

    async def play():
        host, turns = make_host(SlowDispatcher(1 << 62)), []
        while len(host.dispatcher.calls) < 10:
            host.run_turn()
            turns.append(len(host.dispatcher.calls))
            assert (host.next_turn is None) == (len(host.dispatcher.calls) == 10)
        host.stop()
        return turns

    assert asyncio.run(play()) == [3, 6, 9, 10]


def test_answered_polls_in_one_turn_are_bounded():
    class PollingDispatcher(RecordingDispatcher):
        def decide(self, now, host):
            if len(self.calls) < 120:
                ticket = host.loop.create_future()
                host.polled(ticket, [], 7, None, "g1")
                self.calls.append(ticket)
            return len(self.calls) < 120

    async def play():
        host, turns = make_host(PollingDispatcher(1 << 62)), []
        while len(host.dispatcher.calls) < 120:
            host.run_turn()
            turns.append(len(host.dispatcher.calls))
        host.stop()
        return turns, [ticket.result()[1] for ticket in host.dispatcher.calls]

    assert asyncio.run(play()) == ([50, 100, 120], [7] * 120)


# ---- connections past the bound


class FakeTransport:
    def __init__(self, host):
        self.host, self.protocol, self.aborted = host, None, False

    def get_extra_info(self, name, default=None):
        return (self.host, 1234) if name == "peername" else default

    def set_protocol(self, protocol):
        self.protocol = protocol

    def abort(self):
        self.aborted = True


class FakeServer:
    def __init__(self, count):
        self.connections = range(count)

    def __call__(self):
        return SimpleNamespace(connection_made=lambda transport: None)


@pytest.mark.parametrize(
    "host, count, accepted",
    [("10.0.0.2", 50, True), ("10.0.0.9", 50, False), ("10.0.0.2", 50 + run.MEMBER_CONNECTIONS, False)],
    ids=["a member's", "a client's", "too many of members"],
)
def test_past_the_bound_only_connections_of_members_are_accepted(host, count, accepted):
    member = run.Member.__new__(run.Member)
    member.settings, member.host = SimpleNamespace(members={"g1": "10.0.0.1:1", "g2": "10.0.0.2:1"}), None
    member.runner, member.max_connections = SimpleNamespace(server=FakeServer(count)), 50
    member.connections_closed, transport = 0, FakeTransport(host)
    member.make_protocol().connection_made(transport)
    assert (transport.protocol is not None, transport.aborted) == (accepted, not accepted)
    assert member.connections_closed == (not accepted)


# ---- calls to other clusters


@pytest.mark.parametrize(
    "responses, result, calls",
    [
        ([(200, {"at": 1})], (200, {"at": 1}), 1),
        ([(0, {}), (409, {"no": 1})], (409, {"no": 1}), 2),
        ([(-1, {}), (503, {"outcome": "unknown"}), (200, {"at": 2}), (200, {"at": 3})], (200, {"at": 2}), 3),
        ([(503, {"outcome": "not done"}), (0, {})], (503, {"outcome": "not done"}), 2),
        ([(0, {}), (-1, {})], (0, {}), 2),
    ],
)
def test_call_to_another_cluster_tries_its_members_in_order(responses, result, calls):
    left, results = list(responses), []

    async def play():
        client = HttpClient("g1", "127.0.0.1:1", {"ebene": [f"a{n}:1" for n in range(len(responses))]}, 1, 1)

        async def respond(*_, **__):
            return left.pop(0)

        client.request_json = respond
        done = lambda *call: results.append(call[1:])  # noqa: E731
        await client.try_members(SimpleNamespace(cluster="ebene", data=b"{}"), done)
        client.call_cluster(SimpleNamespace(cluster="nowhere", data=b"{}"), done)
        await client.close()

    asyncio.run(play())
    assert results == [result, (0, {})] and len(responses) - len(left) == calls
