"""The parts of a member's process by themselves: waits, queues, the disk's thread, turns, calls."""

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
from lemonlead.member.http_client import HttpClient
from lemonlead.member.host import Host
from lemonlead.member.disk_thread import DiskThread

MS = 1_000_000


@pytest.mark.parametrize(
    "row, least, most", [(0, 5, 10), (1, 10, 20), (3, 40, 80), (4, 50, 100), (90, 50, 100)]
)
def test_waits_grow_with_failures_in_a_row_up_to_the_most(row, least, most):
    waits = Backoff(1, 10 * MS, 100 * MS)
    for _ in range(row):
        waits.failed()
    assert least * MS <= waits.failed() <= most * MS
    waits.worked()
    assert 5 * MS <= waits.failed() <= 10 * MS


def test_members_wait_differently_after_the_same_failure():
    assert len({Backoff(f"{seed} g1", 10 * MS, 100 * MS).failed() for seed in range(20)}) > 15


@pytest.mark.parametrize(
    "sizes, left, dropped",
    [
        ([10] * 5, 5, 0),
        ([10] * (peers.MOST_QUEUED + 3), peers.MOST_QUEUED, 3),
        ([9 << 20, 9 << 20], 1, 1),
        ([17 << 20], 1, 0),
    ],
)
def test_a_queue_to_a_peer_loses_its_oldest(sizes, left, dropped):
    queue = peers.Queue()
    assert sum(queue.put(bytes(size)) for size in sizes) == dropped
    assert (len(queue.messages), queue.size) == (left, sum(map(len, queue.messages)))


def test_a_batch_takes_what_fits_and_at_least_one():
    queue = peers.Queue()
    for size in (2 << 20, 600 << 10, 600 << 10, 10):
        queue.put(peers.ENCODE(bytes(size)))
    assert [queue.take()[1] for _ in range(3)] == [1, 1, 2]
    assert not queue.messages and queue.size == 0 and not queue.filled.is_set()


SEATS = {"g1": ConfiguredMember("a:1", "f1"), "g4": ConfiguredMember("a:4", "f4", False)}


@pytest.mark.parametrize("name, index", [("g1", 7), ("g4", 0), ("g9", 7)])
def test_a_learner_begins_with_nothing_and_a_voter_with_a_snapshot(name, index):
    assert first_base(SEATS, name, SnapshotBase(7, 2, SEATS)).index == index


# ---- the disk's thread


class Folder:
    """Writes down what it is asked; fails on demand, and holds a put until it is let go."""

    def __init__(self, failing=()):
        self.asked, self.failing, self.go, self.base = [], set(failing), threading.Event(), SnapshotBase()

    def put(self, writes):
        self.go.wait(10)
        self.asked.append([write.number for write in writes])
        if self.failing & {write.number for write in writes}:
            raise OSError("no space")

    def snapshot(self, base, pieces):
        for piece in pieces:
            self.asked.append(piece)
            yield
        self.base = base
        yield

    def part(self, base, offset, most):
        return None


PART = SnapshotChunk("c", "g1", "f1", "g2", "f2", 1, base=SnapshotBase(9, 1))


class Told:
    """A host that is told: each call as (its name, its arguments)."""

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
def shelf():
    made = []

    def make(folder):
        ledger = SimpleNamespace(pieces=lambda state: iter(state))
        made.append(DiskThread(folder, ledger, lambda function, *arguments: function(*arguments)))
        return made[-1]

    yield make
    for one in made:
        one.folder.go.set()
        one.end(10)
        assert not one.thread.is_alive()


def test_writes_that_queue_up_are_put_as_one(shelf):
    folder, host = Folder(), Told()
    one = shelf(folder)
    one.write(Write(1, 1, ""), host)
    while one.jobs:
        pass  # until the first put is under way
    for number in range(2, 9):
        one.write(Write(number, 1, ""), host)
    folder.go.set()
    host.wait(2)
    assert folder.asked == [[1], [2, 3, 4, 5, 6, 7, 8]]
    assert host.calls == [("written", 1), ("written", 8)]


def test_after_a_failed_write_nothing_is_written_and_it_is_told_once(shelf):
    folder, host = Folder(failing=[2]), Told()
    folder.go.set()
    one = shelf(folder)
    one.write(Write(1, 1, ""), host)
    host.wait(1)
    one.write(Write(2, 1, ""), host)
    host.wait(2)
    for number in (3, 4):
        one.write(Write(number, 1, ""), host)
    one.snapshot([b"a"], SnapshotBase(9, 1), host)
    one.end(10)
    assert folder.asked == [[1], [2]]
    assert [call[0] for call in host.calls] == ["written", "disk_failed"] and "no space" in host.calls[1][1]


def test_writes_go_on_between_the_steps_of_a_snapshot(shelf):
    folder, host = Folder(), Told()
    folder.go.set()
    one = shelf(folder)

    def pieces():
        for number in range(1, 4):
            one.write(Write(number, 1, ""), host)
            yield b"piece"

    one.snapshot(pieces(), SnapshotBase(9, 1), host)
    host.wait(4)
    assert folder.asked == [b"piece", [1], b"piece", [2], b"piece", [3]]
    assert [call[0] for call in host.calls].count("snapshot_kept") == 1


@pytest.mark.parametrize("error", [faults.Damaged("a piece"), sqlite3.OperationalError("io")])
def test_a_snapshot_found_damaged_as_a_peer_is_sent_it_is_told_and_no_more_is_written(shelf, error):
    folder, host, sent = Folder(), Told(), []
    folder.go.set()
    folder.part = Mock(side_effect=error)
    one = shelf(folder)
    for _ in range(2):
        one.send_chunk(PART, 100, sent.append, host)
    one.write(Write(1, 1, ""), host)
    one.end(10)
    assert [call[0] for call in host.calls] == ["disk_failed"] and str(error) in host.calls[0][1]
    assert (sent, folder.asked, one.counts["parts_dropped"]) == ([], [], 2)


def test_a_part_of_a_snapshot_that_is_in_force_no_more_is_dropped_and_nothing_else(shelf):
    folder, host, sent = Folder(), Told(), []
    folder.go.set()
    one = shelf(folder)
    one.send_chunk(PART, 100, sent.append, host)
    one.write(Write(1, 1, ""), host)
    host.wait(1)
    assert (host.calls, sent, one.counts["parts_dropped"]) == ([("written", 1)], [], 1)


# ---- turns of the loop


class Dispatcher:
    """Writes down the order in which it is asked."""

    def __init__(self, wake):
        self.asked, self.wake, self.leader_tasks = [], wake, []
        self.replica = SimpleNamespace(role="follower", term=1, leader="")

    def set_clocks(self, now, wall_ms):
        self.now = now

    def receive(self, now, message):
        assert now == self.now
        self.asked.append(message)

    def decide(self, now, door):
        self.asked.append("decide")
        return False

    def wake_at(self):
        return self.wake


@pytest.mark.parametrize(
    "wake, asked", [(1, ["decide", "late", "decide"]), (1 << 62, ["late", "decide"])], ids=["due", "not due"]
)
def test_a_moment_that_is_due_is_seen_before_what_queued_up(wake, asked):
    async def play():
        host = hosting(Dispatcher(wake))
        host.heard("late")
        host.turn()
        host.end()
        return host.dispatcher.asked

    assert asyncio.run(play()) == asked


def hosting(dispatcher):
    host = Host.__new__(Host)
    host.loop, host.dispatcher, host.wake, host.ended = (
        asyncio.get_running_loop(),
        dispatcher,
        dispatcher.wake,
        False,
    )
    host.messages, host.inputs, host.soon, host.timer = peers.deque(), peers.deque(), None, None
    host.leaving = {}
    host.office, host.changed = ("follower", 1, ""), asyncio.Event()
    host.counts = dict.fromkeys(
        ("messages", "messages_dropped", "turns", "longest_late_ms", "longest_turn_ms"), 0
    )
    return host


def test_a_turn_with_much_to_decide_lets_the_sockets_come_between(monkeypatch):
    clock = SimpleNamespace(now=0, time_ns=lambda: 0, monotonic_ns=lambda: clock.now)
    monkeypatch.setattr("lemonlead.member.host.time", clock)

    class Busy(Dispatcher):
        def decide(self, now, door):
            clock.now += 8 * MS
            self.asked.append(now)
            return len(self.asked) < 10

    async def play():
        host, turns = hosting(Busy(1 << 62)), []
        while len(host.dispatcher.asked) < 10:
            host.turn()
            turns.append(len(host.dispatcher.asked))
            assert (host.soon is None) == (len(host.dispatcher.asked) == 10)
        host.end()
        return turns

    assert asyncio.run(play()) == [3, 6, 9, 10]


def test_a_turn_answers_some_calls_for_events_and_leaves_the_rest_for_the_next():
    class Telling(Dispatcher):
        def decide(self, now, door):
            if len(self.asked) < 120:
                ticket = door.loop.create_future()
                door.polled(ticket, [], 7, None, "g1")
                self.asked.append(ticket)
            return len(self.asked) < 120

    async def play():
        host, turns = hosting(Telling(1 << 62)), []
        while len(host.dispatcher.asked) < 120:
            host.turn()
            turns.append(len(host.dispatcher.asked))
        host.end()
        return turns, [ticket.result()[1] for ticket in host.dispatcher.asked]

    assert asyncio.run(play()) == ([50, 100, 120], [7] * 120)


# ---- connections past the bound


class Transport:
    def __init__(self, host):
        self.host, self.protocol, self.aborted = host, None, False

    def get_extra_info(self, name, default=None):
        return (self.host, 1234) if name == "peername" else default

    def set_protocol(self, protocol):
        self.protocol = protocol

    def abort(self):
        self.aborted = True


class Server:
    def __init__(self, count):
        self.connections = range(count)

    def __call__(self):
        return SimpleNamespace(connection_made=lambda transport: None)


@pytest.mark.parametrize(
    "host, count, let_in",
    [("10.0.0.2", 50, True), ("10.0.0.9", 50, False), ("10.0.0.2", 50 + run.FOR_MEMBERS, False)],
    ids=["a member's", "a client's", "too many of members"],
)
def test_past_the_bound_only_members_come_in(host, count, let_in):
    member = run.Member.__new__(run.Member)
    member.told, member.host = SimpleNamespace(members={"g1": "10.0.0.1:1", "g2": "10.0.0.2:1"}), None
    member.runner, member.most_connections = SimpleNamespace(server=Server(count)), 50
    member.closed, transport = 0, Transport(host)
    member.connection().connection_made(transport)
    assert (transport.protocol is not None, transport.aborted) == (let_in, not let_in)
    assert member.closed == (not let_in)


# ---- calls to other clusters


@pytest.mark.parametrize(
    "answers, told, asked",
    [
        ([(200, {"at": 1})], (200, {"at": 1}), 1),
        ([(0, {}), (409, {"no": 1})], (409, {"no": 1}), 2),
        ([(-1, {}), (503, {"outcome": "unknown"}), (200, {"at": 2}), (200, {"at": 3})], (200, {"at": 2}), 3),
        ([(503, {"outcome": "not done"}), (0, {})], (503, {"outcome": "not done"}), 2),
        ([(0, {}), (-1, {})], (0, {}), 2),
    ],
)
def test_a_call_to_another_cluster_goes_to_its_members_in_turn(answers, told, asked):
    left, came = list(answers), []

    async def play():
        asking = HttpClient("g1", "127.0.0.1:1", {"ebene": [f"a{n}:1" for n in range(len(answers))]}, 1, 1)

        async def answer(*_, **__):
            return left.pop(0)

        asking.told = answer
        done = lambda *call: came.append(call[1:])  # noqa: E731
        await asking.call_in_turn(SimpleNamespace(cluster="ebene", data=b"{}"), done)
        asking.call(SimpleNamespace(cluster="nowhere", data=b"{}"), done)
        await asking.end()

    asyncio.run(play())
    assert came == [told, (0, {})] and len(answers) - len(left) == asked
