"""A member's dispatcher: the replica, the state that it applies to, whoever waits for an answer, and a
leader's duties.

Pure: a process and the simulator host the very same. Inputs only update what is known; `decide(now, door)`
is called until it returns False. The door is the host's: it sends, writes, answers, and nothing of it
waits."""

from collections import deque
from dataclasses import dataclass
from typing import Protocol

import msgspec

from .faults import Senseless
from .followers import Followers
from .log import ENTRY_OVERHEAD_BYTES
from .membership import Change
from .polls import Poll, Polls
from .records import LEADER, NOT_DONE, SnapshotBase, Write
from .replica import Replica
from .state import Command, State

SNAPSHOT_INTERVAL = 4096  # entries applied since the last snapshot, or as many as that one has records
MAX_SNAPSHOT_INTERVAL = 32_768  # entries, which a start has to go through; however many records there are
MAX_LOG_BYTES = 64 * 1024 * 1024  # bytes of entries, which are in memory; however few they are
MAX_TRANSFER_FACTOR = 4  # times as many, while a peer is being sent the last one
MAX_POLLS = 2000  # calls that wait for the next change; past it one is answered at once
REFUSED_TASK_DELAY_NS = 1_000_000_000  # before a duty's command that the rules refused is proposed again


class DispatcherHost(Protocol):
    """What a dispatcher asks of its host. `send`, `write`, `send_part`, `take_part` are as in
    `records.Door`."""

    def send(self, message) -> None: ...
    def write(self, write: Write) -> None: ...
    def send_chunk(self, peer, message, most) -> None: ...
    def receive_chunk(self, message) -> None: ...

    def answer(self, ticket, code: int, body: dict) -> None:
        """The one answer to a `command`: 200, 400, 409, or 503 with `outcome` and `leader`."""

    def readable(self, ticket, state: State | None, leader: str) -> None:
        """The one answer to a `read`: a state that is no older than the call, or None where it can't be
        had."""

    def polled(self, ticket, events, at: int, state: State | None, leader: str) -> None:
        """The one answer to a `poll`. `events`: list of (index, {(part, key): record or None}) up to `at`, of
        the parts asked for; where they are kept no more, None and the whole `state`; both None where another
        member, `leader`, has to be asked."""

    def snapshot(self, state: State, base: SnapshotBase) -> None:
        """To be brought to disk without stopping anything; then `Dispatcher.snapshot_kept(now, base)`."""

    def call(self, call: "Call") -> None:
        """A command for another cluster; then `Dispatcher.called(now, call, code, body)`, code 0 where none
        came."""


@dataclass(frozen=True, slots=True)
class Call:
    """What a leader's duty asks of another cluster. The same `data` may be sent more than once: its id
    makes it one."""

    cluster: str
    data: bytes
    task: object


class LeaderTask(Protocol):
    """What a leader does unasked. `next` gives a Command to propose, a Call, or None; it is asked again
    once its last command is answered and whenever the state has changed or `wake_at` has come. It keeps
    nothing that a new leader would miss: all that counts is in the state."""

    def became_leader(self, now) -> None: ...
    def next(self, now, wall_ms, state, followers): ...
    def called(self, now, call, code, body) -> None: ...
    def wake_at(self) -> int: ...


class Dispatcher:
    def __init__(self, config, kept, ledger, state, now, leader_tasks=(), snapshot_every=SNAPSHOT_INTERVAL):
        self.config, self.ledger, self.state, self.leader_tasks = config, ledger, state, list(leader_tasks)
        self.replica = Replica(config, kept, now)
        self.wall_ms, self.now, self.snapshot_every = 0, now, snapshot_every
        self.polls = Polls(state.index)
        self.done = deque()  # answers that are ready: functions of the door
        self.codes = {}  # index to (code, body) of entries applied in this turn
        self.proposing = {}  # duty to the moment from which it may propose again; NEVER while one is out
        self.snapshotting, self.since = None, kept.base.index
        self.records = state.records  # of the last snapshot
        self.log_bytes = 0  # of the entries applied since it was begun
        self.leader_term = 0  # the term in which the duties were told that this member leads
        self.followers = Followers()
        self.counts = {}

    # ---- inputs

    def set_clocks(self, now, wall_ms):
        """With each turn of the host: the clocks. `wall_ms`: Unix time."""
        self.now, self.wall_ms = now, wall_ms

    def receive(self, now, message):
        self.replica.receive(now, message)

    def command(self, now, data, ticket):
        """A client's command; its one answer comes through the door."""
        try:
            command = self.ledger.read(data, outside=True)
        except Senseless as error:
            body = {"error": error.read()}
            return self.done.append(lambda door: door.answer(ticket, 400, body))
        before = self.state.answers.get(command.id)
        if before is not None and before.moment + self.state.settings.remember > self.state.moment:
            return self.done.append(lambda door: door.answer(ticket, before.code, before.body))
        if self.state.full:
            self.count("turned away: ids")
            return self.refuse(ticket, NOT_DONE, self.replica.leader)
        self.replica.propose(now, self.wall_ms, data, ticket)

    def read(self, now, ticket):
        self.replica.read(now, Read(ticket))

    def poll(self, now, after, gateway, ticket, since=0, parts=()):
        """The changes after an index, of these parts or of all; the next of another part wakes nobody. A
        `gateway` (its name, or empty) that polls has obeyed all up to it; it is the leader that hears it.
        `since`: the index that its `follow` was answered at. Of another stay than the ledger's, a poll tells
        nothing: it may be a late one of an earlier process of that name."""
        if gateway:
            if self.replica.role != LEADER:
                leader = self.replica.leader
                return self.done.append(lambda door: door.polled(ticket, None, 0, None, leader))
            row = self.state.part("followers").get(gateway)
            if row is not None and row.since == since:
                self.followers.polled(now, gateway, after, since)
            else:
                self.count("polls of another stay")
        if len(self.polls) >= MAX_POLLS:
            self.count("polls answered at once")
            return self.done.append(lambda door: self.answer_poll(Poll(now, after, ticket, parts), door))
        self.polls.wait(now, after, ticket, parts)

    def written(self, now, number, state=None):
        """`state`: that of the snapshot which this write put in force, where it did."""
        if state is not None and state.index > self.state.index:
            self.state, self.since, self.records = state, state.index, state.records
            self.polls.restart(state.index)
        self.replica.written(now, number)

    def disk_failed(self, now, why):
        self.replica.disk_failed(now, why)

    def snapshot_kept(self, now, base):
        self.snapshotting, self.since = None, max(self.since, base.index)
        self.replica.compacted(now, base)

    def called(self, now, call, code, body):
        call.task.called(now, call, code, body)
        self.proposing.pop(call.task, None)

    def hand_over(self, now, to=""):
        self.replica.hand_over(now, to)

    # ---- decisions

    def decide(self, now, door):
        if self.done:
            self.done.popleft()(door)
            return True
        if self.replica.decide(now, Through(self, door)):
            return True
        if self.codes:
            self.codes.clear()
        return self.answer_polls(now, door) or self.take_snapshot(door) or self.do_duties(now, door)

    def answer_polls(self, now, door):
        poll = self.polls.next(now)
        if poll is not None:
            self.answer_poll(poll, door)
        return poll is not None

    def answer_poll(self, poll, door):
        events, at, leader = self.polls.news(poll), self.state.index, self.replica.leader
        door.polled(poll.ticket, events, at, self.state if events is None else None, leader)

    def take_snapshot(self, door):
        applied = self.state.index - self.since
        if self.snapshotting is not None or applied < self.snapshot_every and self.log_bytes < MAX_LOG_BYTES:
            return False
        due = max(self.snapshot_every, min(self.records, MAX_SNAPSHOT_INTERVAL))
        apart = MAX_TRANSFER_FACTOR if self.replica.sends_snapshot() else 1
        if applied < due * apart and self.log_bytes < MAX_LOG_BYTES * apart:
            return False
        self.log_bytes, self.records = 0, self.state.records
        members = self.replica.members_at(self.state.index)
        self.snapshotting = SnapshotBase(self.state.index, self.state.term, members, self.state.moment)
        door.snapshot(self.state, self.snapshotting)
        return True

    def do_duties(self, now, door):
        """Only a leader whose state holds all that was committed before its term has duties."""
        if self.replica.role != LEADER or self.state.term != self.replica.term:
            return False
        if self.leader_term != self.replica.term:
            self.leader_term, self.proposing = self.replica.term, {}
            self.followers.became_leader(now)
            for task in self.leader_tasks:
                task.became_leader(now)
        for task in self.leader_tasks:
            if self.proposing.get(task, now) > now:
                continue
            wanted = task.next(now, self.wall_ms, self.state, self.followers)
            if isinstance(wanted, Command):
                self.proposing[task] = NEVER
                data = msgspec.json.encode(wanted)
                self.replica.propose(now, self.wall_ms, data, Proposed(task, self.leader_term))
                return True
            if wanted is not None:
                door.call(wanted)
                return True
        return False

    def wake_at(self):
        moments = [self.replica.wake_at()]
        if len(self.polls):
            moments.append(self.polls.wake_at())
        if self.replica.role == LEADER:
            moments += [max(task.wake_at(), self.proposing.get(task, 0)) for task in self.leader_tasks]
        return min(moments)

    # ---- what the replica decides, on its way to the host

    def commit(self, entries):
        for entry in entries:
            self.state, applied = self.ledger.apply(self.state, entry)
            self.codes[entry.index] = applied.code, applied.body
            self.log_bytes += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if applied.changes and applied.code == 200:
                self.polls.add(entry.index, applied.changes)

    def committed(self, ticket, index, door):
        code, body = self.codes[index]
        if isinstance(ticket, Proposed):
            self.proposed(ticket, code)
        elif not isinstance(ticket, Change):
            door.answer(ticket, code, body)

    def proposed(self, ticket, code):
        """A duty's own command came to its end; one that the rules refused is not proposed again at once."""
        if ticket.leader_term == self.leader_term:
            if code == 200:
                self.proposing.pop(ticket.task, None)
            else:
                self.count("duties refused")
                self.proposing[ticket.task] = self.now + REFUSED_TASK_DELAY_NS

    def refuse(self, ticket, outcome, leader):
        if isinstance(ticket, Read):
            self.done.append(lambda door: door.readable(ticket.ticket, None, leader))
        elif isinstance(ticket, Proposed):
            self.proposed(ticket, 503)
        elif not isinstance(ticket, Change):
            body = {"outcome": outcome, "leader": leader, "retry_ms": 200}
            self.done.append(lambda door: door.answer(ticket, 503, body))

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1


NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Read:
    ticket: object


@dataclass(frozen=True, slots=True)
class Proposed:
    """A duty's own command, of the term in which it was proposed."""

    task: object
    leader_term: int


class Through:
    """The replica's door: what concerns the state stops here, all else goes on to the host's."""

    def __init__(self, dispatcher, door):
        self.dispatcher, self.door = dispatcher, door
        self.send, self.write = door.send, door.write
        self.send_chunk, self.receive_chunk = door.send_chunk, door.receive_chunk

    def commit(self, entries):
        self.dispatcher.commit(entries)

    def answer(self, ticket, index):
        self.dispatcher.committed(ticket, index, self.door)

    def readable(self, ticket):
        self.door.readable(ticket.ticket, self.dispatcher.state, self.dispatcher.replica.name)

    def refuse(self, ticket, outcome, leader):
        self.dispatcher.refuse(ticket, outcome, leader)
