"""The loop that owns a dispatcher. Whatever arrives is put into an inbox; a turn reads the clocks, hands it
to the dispatcher and does what the dispatcher decides. Nothing here decides.

A loop that was stopped (SIGSTOP, a long swap) finds its inbox and sockets full of what came meanwhile. Where
a moment has passed at which the dispatcher wanted to be asked, it is asked first, with the new moment, and
only then given what had queued up."""

import asyncio
import time
from collections import deque
from contextlib import contextmanager

from ..ledger.dispatcher import Dispatcher
from ..ledger.records import LEADER
from .memory import freeze_memory

MOST_INBOX = 4096  # messages of peers not yet handed on; past it the oldest is dropped
MOST_AT_ONCE = 1000  # inputs, and decisions, in one turn; the rest is for the next, after the sockets
LONGEST_PULL = 20_000_000  # nanoseconds of deciding, likewise
MOST_TOLD = 50  # calls for events answered, likewise


class Host:
    """`duties(dispatcher)`: what a leader does unasked. `shelf`: the disk's thread. `peers`: sends. `caller`:
    asks other clusters. `broken(error)`: a turn failed, which no part of the program foresees: nothing more
    is done, since what the dispatcher knows may be half."""

    def __init__(self, told, kept, state, duties, shelf, peers, caller, log, broken):
        self.loop, self.shelf, self.peers = asyncio.get_running_loop(), shelf, peers
        self.caller, self.log, self.broken = caller, log, broken
        self.dispatcher = Dispatcher(told, kept, shelf.ledger, state, time.monotonic_ns())
        self.dispatcher.leader_tasks.extend(duties(self.dispatcher))
        self.messages, self.inputs = deque(), deque()
        self.soon = self.timer = None
        self.told = 0  # calls for events answered in this turn
        self.wake, self.ended, self.office = 0, False, None
        self.changed = asyncio.Event()  # set as the office changes
        self.leaving = {}  # futures of those that wait for an answer of the leader of this name
        self.counts = {"messages": 0, "messages_dropped": 0, "turns": 0}
        self.counts.update({"longest_late_ms": 0, "longest_turn_ms": 0})
        freeze_memory()
        self.ask_turn()

    # ---- what arrives; all of it waits for a turn

    def heard(self, message):
        if len(self.messages) >= MOST_INBOX:
            self.messages.popleft()
            self.counts["messages_dropped"] += 1
        self.messages.append(message)
        self.ask_turn()

    def add(self, function, *arguments):
        self.inputs.append((function, arguments))
        self.ask_turn()

    def command(self, data):
        """The future of (code, body)."""
        ticket = self.loop.create_future()
        self.add(self.dispatcher.command, data, ticket)
        return ticket

    def read(self):
        """The future of (state or None, leader)."""
        ticket = self.loop.create_future()
        self.add(self.dispatcher.read, ticket)
        return ticket

    def poll(self, after, gateway, since=0, parts=()):
        """The future of (events, at, state, leader)."""
        ticket = self.loop.create_future()
        self.add(self.dispatcher.poll, after, gateway, ticket, since, parts)
        return ticket

    def written(self, number, state=None):
        self.add(self.dispatcher.written, number, state)

    def snapshot_kept(self, base):
        self.add(self.dispatcher.snapshot_kept, base)

    def disk_failed(self, why):
        self.log.error("disk failed", reason="disk", detail=why)
        self.add(self.dispatcher.disk_failed, why)

    def called(self, call, code, body):
        self.add(self.dispatcher.called, call, code, body)

    def hand_over(self):
        self.add(self.dispatcher.hand_over)

    @contextmanager
    def left(self, leader):
        """A future that is done once this member is no longer known to lead."""
        future = self.loop.create_future()
        self.leaving[future] = leader
        try:
            yield future
        finally:
            del self.leaving[future]
            future.cancel()

    # ---- what is told of it

    def address(self, name):
        """host:port of a member, None where it has no seat."""
        seat = self.dispatcher.replica.members.get(name)
        return seat.address if seat else None

    def age(self):
        """Nanoseconds since the state here was last known to be what the cluster had committed."""
        return time.monotonic_ns() - self.dispatcher.replica.fresh_as_of

    def bears(self):
        """How many more losses the cluster bears, as a leader knows it; None where this does not lead."""
        replica = self.dispatcher.replica
        if replica.role != LEADER:
            return None
        voters = {name for name, seat in replica.members.items() if seat.votes}
        return len(voters & set(replica.reachable_members(time.monotonic_ns()))) - (len(voters) // 2 + 1)

    def reason(self):
        """Why this member takes no part, or an empty string."""
        replica = self.dispatcher.replica
        if replica.failed:
            return f"its disk failed: {replica.failed}"
        if replica.name not in replica.members:
            return f"{replica.name} was removed from the cluster: it joins anew under a new name"
        return ""

    # ---- turns

    def ask_turn(self):
        if self.soon is None and not self.ended:
            self.soon = self.loop.call_soon(self.turn)

    def turn(self):
        self.soon = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.ended:
            return
        try:
            self.do_turn()
        except Exception as error:
            self.end()
            self.broken(error)

    def do_turn(self):
        self.counts["turns"] += 1
        now = self.tell_time()
        late = now - self.wake
        more = False
        if self.wake and late >= 0:
            self.counts["longest_late_ms"] = max(self.counts["longest_late_ms"], late // 1_000_000)
            more = self.pull(now)
        for _ in range(MOST_AT_ONCE):
            if self.inputs:
                function, arguments = self.inputs.popleft()
            elif self.messages:
                function, arguments = self.dispatcher.receive, (self.messages.popleft(),)
                self.counts["messages"] += 1
            else:
                break
            function(self.tell_time(), *arguments)
        more = self.pull(self.tell_time()) or more
        self.note_office()
        began, now = now, time.monotonic_ns()
        self.counts["longest_turn_ms"] = max(self.counts["longest_turn_ms"], (now - began) // 1_000_000)
        self.wake = self.dispatcher.wake_at()
        if more or self.inputs or self.messages:
            self.ask_turn()
        else:
            self.timer = self.loop.call_later(max(self.wake - now, 0) / 1e9, self.ask_turn)

    def tell_time(self):
        now = time.monotonic_ns()
        self.dispatcher.set_clocks(now, time.time_ns() // 1_000_000)
        return now

    def pull(self, now):
        """What is decided as of now; whether something may be left. Bounded in time too: against thousands
        of entries to apply after a start, and hundreds of gateways that are told something and ask anew at
        once, in which a leader would be silent for as long as an election."""
        until, self.told = time.monotonic_ns() + LONGEST_PULL, 0
        for _ in range(MOST_AT_ONCE):
            if not self.dispatcher.decide(now, self):
                return False
            if time.monotonic_ns() > until or self.told >= MOST_TOLD:
                break
        return True

    def note_office(self):
        replica = self.dispatcher.replica
        office = replica.role, replica.term, replica.leader
        if office != self.office:
            self.office = office
            self.changed.set()
            for future, leader in list(self.leaving.items()):
                if leader != replica.leader and not future.done():
                    future.set_result(None)
            self.log.info("office", role=replica.role, term=replica.term, leader=replica.leader)

    def end(self):
        self.ended = True
        for handle in (self.soon, self.timer):
            if handle is not None:
                handle.cancel()

    # ---- the dispatcher's door

    def send(self, message):
        self.peers.send(message)

    def write(self, write):
        self.shelf.write(write, self)

    def send_chunk(self, peer, message, most):
        self.shelf.send_chunk(message, most, self.peers.send, self)

    def receive_chunk(self, message):
        self.shelf.receive_chunk(message, self)

    def snapshot(self, state, base):
        freeze_memory()
        self.shelf.snapshot(state, base, self)

    def answer(self, ticket, code, body):
        settle(ticket, (code, body))

    def readable(self, ticket, state, leader):
        settle(ticket, (state, leader))

    def polled(self, ticket, events, at, state, leader):
        self.told += 1
        settle(ticket, (events, at, state, leader))

    def call(self, call):
        self.caller.call(call, self.called)


def settle(ticket, value):
    """Whoever asked may have gone away meanwhile."""
    if not ticket.done():
        ticket.set_result(value)
