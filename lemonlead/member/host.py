"""The part of the event loop that owns a dispatcher. Whatever arrives is put into an inbox. A turn reads the
clocks, hands the inbox to the dispatcher and carries out what the dispatcher decides. Nothing here decides.

A process that was stopped (SIGSTOP, a long swap) finds its inbox and sockets full of what arrived meanwhile.
If a time has passed at which the dispatcher wanted to be called, it is called first, with the current time,
and only then given what had queued up."""

import asyncio
import time
from collections import deque
from contextlib import contextmanager

from ..ledger.dispatcher import Dispatcher
from ..ledger.records import LEADER
from .memory import freeze_memory

MAX_INBOX_MESSAGES = 4096  # messages of peers not yet handed on; past it the oldest is dropped
MAX_TURN_INPUTS = 1000  # inputs, and decisions, in one turn; the rest is for the next, after the sockets
MAX_DECIDING_NS = 20_000_000  # in one call of `run_decisions`, likewise
MAX_TURN_POLLS = 50  # calls for events answered in one turn, likewise


class Host:
    """Runs a dispatcher and carries out what it decides.

    `make_leader_tasks(dispatcher)` returns the tasks that a leader does by itself. `disk`: the disk thread.
    `peers`: sends messages. `client`: calls other clusters. `on_broken(error)` is called when a turn raised
    an error that no part of the program expects. Nothing more is done then, because the dispatcher may be in
    an inconsistent state."""

    def __init__(self, config, stored, state, make_leader_tasks, disk, peers, client, log, on_broken):
        self.loop, self.disk, self.peers = asyncio.get_running_loop(), disk, peers
        self.client = client
        self.log = log
        self.on_broken = on_broken
        self.dispatcher = Dispatcher(config, stored, disk.ledger, state, time.monotonic_ns())
        self.dispatcher.leader_tasks.extend(make_leader_tasks(self.dispatcher))
        self.messages, self.inputs = deque(), deque()
        self.next_turn = self.timer = None  # handles of the event loop
        self.polls_answered = 0  # calls for events answered in this turn
        self.wake_time = 0  # monotonic time at which the dispatcher wants to be called; 0: none yet
        self.stopped = False
        self.leadership = None  # (role, term, leader) as last logged
        self.leadership_changed = asyncio.Event()
        self.leader_waiters = {}  # future of a waiting call, to the name of the leader that it waits for
        self.counts = {"messages": 0, "messages_dropped": 0, "turns": 0}
        self.counts.update({"longest_late_ms": 0, "longest_turn_ms": 0})
        freeze_memory()
        self.schedule_turn()

    # ---- what arrives; all of it waits for a turn

    def receive(self, message):
        if len(self.messages) >= MAX_INBOX_MESSAGES:
            self.messages.popleft()
            self.counts["messages_dropped"] += 1
        self.messages.append(message)
        self.schedule_turn()

    def add_input(self, function, *arguments):
        self.inputs.append((function, arguments))
        self.schedule_turn()

    def command(self, data):
        """Returns a future of (code, body)."""
        ticket = self.loop.create_future()
        self.add_input(self.dispatcher.command, data, ticket)
        return ticket

    def read(self):
        """Returns a future of (state or None, leader)."""
        ticket = self.loop.create_future()
        self.add_input(self.dispatcher.read, ticket)
        return ticket

    def poll(self, after, gateway, since=0, parts=()):
        """Returns a future of (events, at, state, leader)."""
        ticket = self.loop.create_future()
        self.add_input(self.dispatcher.poll, after, gateway, ticket, since, parts)
        return ticket

    def written(self, number, state=None):
        self.add_input(self.dispatcher.written, number, state)

    def snapshot_kept(self, base):
        self.add_input(self.dispatcher.snapshot_kept, base)

    def disk_failed(self, why):
        self.log.error("disk failed", reason="disk", detail=why)
        self.add_input(self.dispatcher.disk_failed, why)

    def called(self, call, code, body):
        self.add_input(self.dispatcher.called, call, code, body)

    def hand_over(self):
        self.add_input(self.dispatcher.hand_over)

    @contextmanager
    def leader_change(self, leader):
        """Yields a future that is done as soon as this member is no longer known to lead."""
        future = self.loop.create_future()
        self.leader_waiters[future] = leader
        try:
            yield future
        finally:
            del self.leader_waiters[future]
            future.cancel()

    # ---- what others ask about it

    def address(self, name):
        """Returns host:port of a member, or None if it is not in the configuration."""
        configured = self.dispatcher.replica.members.get(name)
        return configured.address if configured else None

    def state_age_ns(self):
        """Returns the time since the state here was last known to be what the cluster had committed."""
        return time.monotonic_ns() - self.dispatcher.replica.fresh_as_of

    def tolerated_losses(self):
        """Returns how many more members the cluster can lose, as its leader knows it; None on a member that
        does not lead."""
        replica = self.dispatcher.replica
        if replica.role != LEADER:
            return None
        voters = {name for name, configured in replica.members.items() if configured.votes}
        return len(voters & set(replica.reachable_members(time.monotonic_ns()))) - (len(voters) // 2 + 1)

    def outside_reason(self):
        """Returns why this member takes no part in the cluster, or an empty string."""
        replica = self.dispatcher.replica
        if replica.failed:
            return f"its disk failed: {replica.failed}"
        if replica.name not in replica.members:
            return f"{replica.name} was removed from the cluster: it can join again under a new name"
        return ""

    # ---- turns

    def schedule_turn(self):
        if self.next_turn is None and not self.stopped:
            self.next_turn = self.loop.call_soon(self.run_turn)

    def run_turn(self):
        self.next_turn = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.stopped:
            return
        try:
            self.process_inbox()
        except Exception as error:
            self.stop()
            self.on_broken(error)

    def process_inbox(self):
        self.counts["turns"] += 1
        now = self.update_clocks()
        late_ns = now - self.wake_time
        more = False
        if self.wake_time and late_ns >= 0:
            self.counts["longest_late_ms"] = max(self.counts["longest_late_ms"], late_ns // 1_000_000)
            more = self.run_decisions(now)
        for _ in range(MAX_TURN_INPUTS):
            if self.inputs:
                function, arguments = self.inputs.popleft()
            elif self.messages:
                function, arguments = self.dispatcher.receive, (self.messages.popleft(),)
                self.counts["messages"] += 1
            else:
                break
            function(self.update_clocks(), *arguments)
        more = self.run_decisions(self.update_clocks()) or more
        self.note_leadership()
        began, now = now, time.monotonic_ns()
        self.counts["longest_turn_ms"] = max(self.counts["longest_turn_ms"], (now - began) // 1_000_000)
        self.wake_time = self.dispatcher.wake_at()
        if more or self.inputs or self.messages:
            self.schedule_turn()
        else:
            self.timer = self.loop.call_later(max(self.wake_time - now, 0) / 1e9, self.schedule_turn)

    def update_clocks(self):
        """Gives the dispatcher the time, and returns the monotonic time."""
        now = time.monotonic_ns()
        self.dispatcher.set_clocks(now, time.time_ns() // 1_000_000)
        return now

    def run_decisions(self, now):
        """Carries out what the dispatcher decides now, and returns whether more may be left. It is bounded in
        time too. After a start there may be thousands of entries to apply, and hundreds of gateways may get
        an answer and call again at once; without the bound a leader would then be silent for as long as an
        election takes."""
        until, self.polls_answered = time.monotonic_ns() + MAX_DECIDING_NS, 0
        for _ in range(MAX_TURN_INPUTS):
            if not self.dispatcher.decide(now, self):
                return False
            if time.monotonic_ns() > until or self.polls_answered >= MAX_TURN_POLLS:
                break
        return True

    def note_leadership(self):
        """Logs a change of role, term or leader, and wakes the calls that wait for it."""
        replica = self.dispatcher.replica
        leadership = replica.role, replica.term, replica.leader
        if leadership != self.leadership:
            self.leadership = leadership
            self.leadership_changed.set()
            for future, leader in list(self.leader_waiters.items()):
                if leader != replica.leader and not future.done():
                    future.set_result(None)
            self.log.info("office", role=replica.role, term=replica.term, leader=replica.leader)

    def stop(self):
        self.stopped = True
        for handle in (self.next_turn, self.timer):
            if handle is not None:
                handle.cancel()

    # ---- callbacks of the dispatcher (DispatcherHost)

    def send(self, message):
        self.peers.send(message)

    def write(self, write):
        self.disk.write(write, self)

    def send_chunk(self, peer, message, most):
        self.disk.send_chunk(message, most, self.peers.send, self)

    def receive_chunk(self, message):
        self.disk.receive_chunk(message, self)

    def snapshot(self, state, base):
        freeze_memory()
        self.disk.snapshot(state, base, self)

    def answer(self, ticket, code, body):
        set_result(ticket, (code, body))

    def readable(self, ticket, state, leader):
        set_result(ticket, (state, leader))

    def polled(self, ticket, events, at, state, leader):
        self.polls_answered += 1
        set_result(ticket, (events, at, state, leader))

    def call(self, call):
        self.client.call_cluster(call, self.called)


def set_result(ticket, value):
    """Sets the result of a future, unless its caller has gone away meanwhile."""
    if not ticket.done():
        ticket.set_result(value)
