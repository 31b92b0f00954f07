"""A member's dispatcher: its replica, the state that entries are applied to, the calls that wait for answers,
and the leader tasks.

It is pure: a process and the simulator host the same code. Inputs only update state; the host then calls
`decide(now, host)` until it returns False. `host` is a DispatcherHost, which sends, writes and answers.
"""

from collections import deque
from dataclasses import dataclass
from typing import Protocol

import msgspec

from .faults import Senseless
from .followers import Follow, Followers
from .log import ENTRY_OVERHEAD_BYTES
from .membership import Change
from .polls import Poll, Polls
from .records import LEADER, NOT_DONE, SnapshotBase, Write
from .replica import Replica
from .state import Command, State

SNAPSHOT_INTERVAL = 4096  # entries applied between snapshots; more if the last snapshot has more records
MAX_SNAPSHOT_INTERVAL = 32_768  # entries that a start has to apply at most, however many records there are
MAX_LOG_BYTES = 64 * 1024 * 1024  # of entries in memory; beyond it a snapshot is taken, however few there are
MAX_TRANSFER_FACTOR = 4  # times these intervals while a peer is being sent the last snapshot
MAX_POLLS = 2000  # calls that wait for the next change; beyond it a call is answered immediately
REFUSED_TASK_DELAY_NS = 1_000_000_000  # before a leader task may propose again after a refused command


class DispatcherHost(Protocol):
    """The callbacks of a dispatcher's host. None of them blocks. `send`, `write`, `send_chunk` and
    `receive_chunk` are as in `records.ReplicaHost`."""

    def send(self, message) -> None: ...
    def write(self, write: Write) -> None: ...
    def send_chunk(self, peer, message, most) -> None: ...
    def receive_chunk(self, message) -> None: ...

    def answer(self, ticket, code: int, body: dict) -> None:
        """Answers a `command`: 200, 400, 409, or 503 with `outcome` and `leader`."""

    def readable(self, ticket, state: State | None, leader: str) -> None:
        """Answers a `read` with a state that is no older than the call, or with None if there is none."""

    def polled(self, ticket, events, at: int, state: State | None, leader: str) -> None:
        """Answers a `poll`.

        `events` is a list of (index, {(part, key): record or None}) up to `at`, of the parts asked for. If
        they are no longer kept, `events` is None and `state` is the whole state. Both are None if another
        member, `leader`, has to be asked.
        """

    def snapshot(self, state: State, base: SnapshotBase) -> None:
        """Writes a snapshot to disk in the background, then calls `Dispatcher.snapshot_kept(now, base)`."""

    def call(self, call: "Call") -> None:
        """Sends a command to another cluster, then calls `Dispatcher.called(now, call, code, body)`. The code
        is 0 if no answer came."""


@dataclass(frozen=True, slots=True)
class Call:
    """A leader task's command for another cluster. The same `data` may be sent more than once; the id in it
    makes the command take effect once."""

    cluster: str
    data: bytes
    task: object


class LeaderTask(Protocol):
    """Work that a leader does on its own.

    `next` returns a Command to propose, a Call, or None. It is called again once its last command is
    answered, and whenever the state has changed or `wake_at` has passed. A task keeps nothing that a new
    leader would need: all of that is in the state.
    """

    def became_leader(self, now) -> None: ...
    def next(self, now, wall_ms, state, followers): ...
    def called(self, now, call, code, body) -> None: ...
    def wake_at(self) -> int: ...


class Dispatcher:
    """Connects a replica with the state, the waiting calls and the leader tasks."""

    def __init__(self, config, stored, ledger, state, now, leader_tasks=(), snapshot_every=SNAPSHOT_INTERVAL):
        self.config, self.ledger, self.state, self.leader_tasks = config, ledger, state, list(leader_tasks)
        self.replica = Replica(config, stored, now)
        self.wall_ms = 0
        self.now = now
        self.snapshot_every = snapshot_every
        self.polls = Polls(state.index)
        self.ready_answers = deque()  # functions that take the host
        self.results = {}  # index to (code, body) of entries applied in this turn
        self.may_propose_at = {}  # leader task to the earliest time; NEVER while a command is pending
        self.snapshot_in_progress, self.snapshot_index = None, stored.base.index
        self.snapshot_records = state.records  # number of records in the last snapshot
        self.log_bytes = 0  # of the entries applied since the last snapshot was started
        self.leader_term = 0  # the term in which the leader tasks were started
        self.followers = Followers()
        self.counts = {}

    # ---- inputs

    def set_clocks(self, now, wall_ms):
        """Sets the clocks at each turn of the host. `wall_ms` is Unix time in milliseconds."""
        self.now = now
        self.wall_ms = wall_ms

    def receive(self, now, message):
        self.replica.receive(now, message)

    def command(self, now, data, ticket):
        """Handles a client's command, which is answered once through the host."""
        try:
            command = self.ledger.read(data, outside=True)
        except Senseless as error:
            body = {"error": error.read()}
            return self.ready_answers.append(lambda host: host.answer(ticket, 400, body))
        before = self.state.answers.get(command.id)
        if before is not None and before.moment + self.state.settings.remember > self.state.moment:
            return self.ready_answers.append(lambda host: host.answer(ticket, before.code, before.body))
        if self.state.full:
            self.count("turned away: ids")
            return self.refuse(ticket, NOT_DONE, self.replica.leader)
        if (logged := command.to_log()) is not command:
            data = msgspec.json.encode(logged)
        last = self.replica.last
        self.replica.propose(now, self.wall_ms, data, ticket)
        if isinstance(command, Follow) and self.replica.last > last:
            self.followers.proposed(command.gateway, self.replica.term, self.replica.last)

    def read(self, now, ticket):
        self.replica.read(now, Read(ticket))

    def poll(self, now, after, gateway, ticket, since=0, parts=()):
        """Waits for changes after an index, of these parts or of all; changes of other parts don't end it.

        `gateway` is empty or the name of a gateway that has applied all changes up to `after`; only the
        leader keeps track of that. `since` is the index of the gateway's `follow` command. If it differs from
        the ledger's record, the poll may be a late one of an earlier process of that name, and does not count
        as an acknowledgement.
        """
        if gateway:
            if self.replica.role != LEADER:
                leader = self.replica.leader
                return self.ready_answers.append(lambda host: host.polled(ticket, None, 0, None, leader))
            row = self.state.part("followers").get(gateway)
            if row is not None and row.since == since:
                self.followers.polled(now, gateway, after, since)
            else:
                self.count("polls of another stay")
        if len(self.polls) >= MAX_POLLS:
            self.count("polls answered at once")
            return self.ready_answers.append(
                lambda host: self.answer_poll(Poll(now, after, ticket, parts), host)
            )
        self.polls.wait(now, after, ticket, parts)

    def written(self, now, number, state=None):
        """The disk holds this Write. `state` is that of the snapshot that the Write put in force, if any."""
        if state is not None and state.index > self.state.index:
            self.state, self.snapshot_index, self.snapshot_records = state, state.index, state.records
            self.polls.restart(state.index)
        self.replica.written(now, number)

    def disk_failed(self, now, why):
        self.replica.disk_failed(now, why)

    def snapshot_kept(self, now, base):
        self.snapshot_in_progress, self.snapshot_index = None, max(self.snapshot_index, base.index)
        self.replica.compacted(now, base)

    def called(self, now, call, code, body):
        call.task.called(now, call, code, body)
        self.may_propose_at.pop(call.task, None)

    def hand_over(self, now, to=""):
        self.replica.hand_over(now, to)

    # ---- decisions

    def decide(self, now, host):
        """Does one thing through the host. Returns whether there was anything to do."""
        if self.ready_answers:
            self.ready_answers.popleft()(host)
            return True
        if self.replica.decide(now, ReplicaHostAdapter(self, host)):
            return True
        if self.results:
            self.results.clear()
        return self.answer_polls(now, host) or self.take_snapshot(host) or self.run_leader_tasks(now, host)

    def answer_polls(self, now, host):
        poll = self.polls.next(now)
        if poll is not None:
            self.answer_poll(poll, host)
        return poll is not None

    def answer_poll(self, poll, host):
        events, at, leader = self.polls.changes_for(poll), self.state.index, self.replica.leader
        host.polled(poll.ticket, events, at, self.state if events is None else None, leader)

    def take_snapshot(self, host):
        """Starts a snapshot if one is due. Returns whether it did."""
        applied = self.state.index - self.snapshot_index
        if self.snapshot_in_progress is not None or (
            applied < self.snapshot_every and self.log_bytes < MAX_LOG_BYTES
        ):
            return False
        interval = max(self.snapshot_every, min(self.snapshot_records, MAX_SNAPSHOT_INTERVAL))
        factor = MAX_TRANSFER_FACTOR if self.replica.sends_snapshot() else 1
        if applied < interval * factor and self.log_bytes < MAX_LOG_BYTES * factor:
            return False
        self.log_bytes, self.snapshot_records = 0, self.state.records
        members = self.replica.members_at(self.state.index)
        self.snapshot_in_progress = SnapshotBase(
            self.state.index, self.state.term, members, self.state.moment
        )
        host.snapshot(self.state, self.snapshot_in_progress)
        return True

    def run_leader_tasks(self, now, host):
        """Runs a leader task if this member leads and its state has all that was committed before its
        term."""
        if self.replica.role != LEADER or self.state.term != self.replica.term:
            return False
        if self.leader_term != self.replica.term:
            self.leader_term, self.may_propose_at = self.replica.term, {}
            self.followers.became_leader(now)
            for task in self.leader_tasks:
                task.became_leader(now)
        for task in self.leader_tasks:
            if self.may_propose_at.get(task, now) > now:
                continue
            wanted = task.next(now, self.wall_ms, self.state, self.followers)
            if isinstance(wanted, Command):
                self.may_propose_at[task] = NEVER
                data = msgspec.json.encode(wanted)
                self.replica.propose(now, self.wall_ms, data, TaskCommand(task, self.leader_term))
                return True
            if wanted is not None:
                host.call(wanted)
                return True
        return False

    def wake_at(self):
        """Returns when to call `decide` again even if nothing happens."""
        times = [self.replica.wake_at()]
        if len(self.polls):
            times.append(self.polls.wake_at())
        if self.replica.role == LEADER:
            times += [max(task.wake_at(), self.may_propose_at.get(task, 0)) for task in self.leader_tasks]
        return min(times)

    # ---- decisions of the replica, on their way to the host

    def commit(self, entries):
        for entry in entries:
            self.state, applied = self.ledger.apply(self.state, entry)
            self.results[entry.index] = applied.code, applied.body
            self.log_bytes += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if applied.changes and applied.code == 200:
                self.polls.add(entry.index, applied.changes)

    def committed(self, ticket, index, host):
        code, body = self.results[index]
        if isinstance(ticket, TaskCommand):
            self.task_command_ended(ticket, code)
        elif not isinstance(ticket, Change):
            host.answer(ticket, code, body)

    def task_command_ended(self, ticket, code):
        """A leader task's command has ended. If the rules refused it, the task has to wait before it proposes
        again."""
        if ticket.leader_term == self.leader_term:
            if code == 200:
                self.may_propose_at.pop(ticket.task, None)
            else:
                self.count("duties refused")
                self.may_propose_at[ticket.task] = self.now + REFUSED_TASK_DELAY_NS

    def refuse(self, ticket, outcome, leader):
        if isinstance(ticket, Read):
            self.ready_answers.append(lambda host: host.readable(ticket.ticket, None, leader))
        elif isinstance(ticket, TaskCommand):
            self.task_command_ended(ticket, 503)
        elif not isinstance(ticket, Change):
            body = {"outcome": outcome, "leader": leader, "retry_ms": 200}
            self.ready_answers.append(lambda host: host.answer(ticket, 503, body))

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1


NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Read:
    """The ticket of a read, which wraps the host's own ticket."""

    ticket: object


@dataclass(frozen=True, slots=True)
class TaskCommand:
    """The ticket of a leader task's command, with the term in which it was proposed."""

    task: object
    leader_term: int


class ReplicaHostAdapter:
    """The replica's host: handles what concerns the state and passes the rest on to the dispatcher's host."""

    def __init__(self, dispatcher, host):
        self.dispatcher, self.host = dispatcher, host
        self.send, self.write = host.send, host.write
        self.send_chunk, self.receive_chunk = host.send_chunk, host.receive_chunk

    def commit(self, entries):
        self.dispatcher.commit(entries)

    def answer(self, ticket, index):
        self.dispatcher.committed(ticket, index, self.host)

    def readable(self, ticket):
        self.host.readable(ticket.ticket, self.dispatcher.state, self.dispatcher.replica.name)

    def refuse(self, ticket, outcome, leader):
        self.dispatcher.refuse(ticket, outcome, leader)
