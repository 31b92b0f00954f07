"""The replication core: Raft with pre-vote, leadership transfer, single-member membership changes, learners,
snapshots in chunks, and linearizable reads without a log write.

It is given messages and times and is asked for decisions; it does no I/O and reads no clock. Section numbers
in comments are those of Ongaro's dissertation.

This module has the terms, the membership and the outgoing messages. `elections.py` has the elections,
`follower.py` what a follower accepts from its leader, `leader.py` what a leader does, `peers.py` what it
knows of each peer, and `log.py` the log in memory and on its way to disk.
"""

from collections import deque
from random import Random

from .elections import handle_timeout_now, handle_vote_request, start_pre_vote
from .follower import FollowerState
from .log import MAX_INTEGER, Log, PendingWrites
from .records import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    LEARNER,
    NOT_DONE,
    OUTSIDE,
    UNKNOWN,
    AppendEntries,
    AppendResponse,
    SnapshotChunk,
    SnapshotChunkResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)

MAX_QUEUED_MESSAGES = 1024  # that wait for the host or for the disk; beyond it a message is dropped
MAX_COMMIT_ENTRIES = 256  # in one call of `commit`
MAX_KEEP_FACTOR = 8  # times `keep`: entries kept at most for a responding peer that does not have them yet


class Replica:
    """One member's replica of the log.

    Inputs take `now`, nanoseconds of the host's monotonic clock, and only update state. After them the host
    calls `decide(now, host)` until it returns False; each call does one thing through `host`, a ReplicaHost.
    """

    def __init__(self, config, stored, now):
        self.config = config
        self.now = now
        self.name = config.name
        self.term = stored.term
        self.voted = stored.voted
        self.base = stored.base
        self.rng = Random(f"{config.seed}/{config.name}")
        self.log = Log(stored.base, list(stored.entries))
        self.pending_writes = PendingWrites(self.log.last)
        self.role = FOLLOWER
        self.leader = ""  # the member that it believes to lead, empty if it knows none
        self.committed = self.applied = stored.base.index  # last index known to be committed, and applied
        self.fresh_as_of = 0  # when the applied state was last known to be all that the cluster had committed
        self.failed = ""  # why the disk failed, empty while it works
        self.counts = {}
        # Tickets are of committed entries that it proposed before it stepped down.
        self.leader_state, self.committed_tickets = None, deque()
        # Results are (index, ticket, outcome, leader) of calls that have ended. Messages are held until a
        # Write is on disk.
        self.results, self.outbox, self.held_messages = deque(), deque(), {}
        self.term_write = 0  # number of the Write that has the current term and vote
        self.voted_seal = ""
        self.leader_seal = ""
        self.last_leader_contact = now - config.election
        self.follower_state, self.candidacy = FollowerState(self), None
        self.members = {}
        self.voters = []
        self.quorum = 1
        self.refresh_members()
        self.reset_election_timer(now)

    @property
    def last(self):
        return self.log.last

    def members_at(self, index):
        """Returns the members as of this entry, which must be applied and not yet compacted."""
        return dict(self.log.members_at(index))

    def reachable_members(self, now):
        """Returns the names of the members that a leader has heard from within the election timeout, and its
        own."""
        if self.leader_state is None:
            return {self.name}
        return {
            self.name,
            *(name for name in self.leader_state.peers if not self.leader_state.is_silent(name, now)),
        }

    # ---- inputs

    def receive(self, now, message):
        """Handles a message of a peer."""
        self.tick(now)
        if not self.accepts(message):
            return self.count("dropped: not meant")
        if self.failed:
            if type(message) in (AppendEntries, SnapshotChunk) and message.term >= self.term:
                self.leader = message.sender
            return
        kind = type(message)
        if kind is VoteRequest:
            return handle_vote_request(self, now, message)
        if message.term > self.term:
            if kind is VoteResponse and message.given:
                return self.count("garbled")
            self.adopt_term(now, message.term)
        if kind in (AppendEntries, SnapshotChunk):
            if message.term < self.term:
                if kind is AppendEntries:
                    self.reply(message, AppendResponse, match=0, round=message.round)
                else:
                    self.reply(message, SnapshotChunkResponse, round=message.round)
                return
            if self.role == LEADER or self.leader not in ("", message.sender):
                return self.count("garbled")
            self.follow(now, message)
            state = self.follower_state
            return state.handle_append(now, message) if kind is AppendEntries else state.handle_chunk(message)
        if kind is VoteResponse:
            if self.candidacy is not None:
                self.candidacy.handle_response(now, message)
            return
        if message.term < self.term:
            return
        if kind is TimeoutNow:
            handle_timeout_now(self, now, message)
        elif self.leader_state is not None:
            self.leader_state.handle_response(now, message)

    def propose(self, now, wall_ms, data, ticket):
        """Proposes a command. The call ends by exactly one of `host.answer` and `host.refuse`."""
        self.tick(now)
        if self.leader_state is None:
            return self.refuse(ticket, NOT_DONE)
        self.leader_state.propose(now, wall_ms, data, ticket)

    def read(self, now, ticket):
        """Starts a linearizable read (Raft, 6.4). It ends by `host.readable` or `host.refuse`."""
        self.tick(now)
        if self.leader_state is None:
            return self.refuse(ticket, NOT_DONE)
        self.leader_state.read(ticket)

    def change_members(self, now, members, ticket):
        """Changes the membership: one member more, less or changed.

        A new member is added as a learner; the leader gives it its vote once it has caught up. The call ends
        as `propose` does.
        """
        self.tick(now)
        if self.leader_state is None:
            return self.refuse(ticket, NOT_DONE)
        self.leader_state.change_members(now, members, ticket)

    def hand_over(self, now, to=""):
        """Transfers leadership to the named voter, or to the one with the most entries (Raft, 3.10). Does
        nothing if this member does not lead."""
        self.tick(now)
        if self.leader_state is not None:
            self.leader_state.hand_over(now, to)

    def written(self, now, number):
        """The disk holds this Write and all before it."""
        self.tick(now)
        if self.failed:
            return
        base = self.pending_writes.written(number)
        if base is not None:
            self.install_snapshot(base)
        for key in [
            key for key, (after, _) in self.held_messages.items() if after <= self.pending_writes.done
        ]:
            self.enqueue(self.held_messages.pop(key)[1])
        if self.leader_state is not None:
            return self.leader_state.advance_commit(now)
        if self.candidacy is not None:
            return self.candidacy.count_votes(now)
        if self.leader:
            self.follower_state.written()

    def disk_failed(self, now, why):
        """The disk failed. From now on this member does not lead, vote or acknowledge anything."""
        self.tick(now)
        if self.failed:
            return
        self.failed = why or "the disk failed"
        self.step_down(now)
        for _, ticket, _ in self.committed_tickets:
            self.refuse(ticket, UNKNOWN)
        self.committed_tickets.clear()
        self.outbox.clear()
        self.held_messages.clear()
        self.follower_state.chunks.clear()

    def sends_snapshot(self):
        """Whether a responding peer is being sent the snapshot. A newer snapshot should then wait, because
        the transfer would start again."""
        return self.leader_state is not None and self.leader_state.sends_snapshot(self.now)

    def compacted(self, now, base):
        """The host has a snapshot at `base` on disk, so the entries up to it need not be kept."""
        self.tick(now)
        if not self.base.index < base.index <= self.applied:
            return
        self.base = base
        self.pending_writes.on_disk = max(self.pending_writes.on_disk, base.index)
        self.trim_log()

    # ---- decisions

    def decide(self, now, host):
        """Does one thing through the host. Returns whether there was anything to do."""
        self.tick(now)
        if self.results:
            self.deliver_result(host)
            return True
        if self.failed:
            return False
        if self.leader_state is not None:
            if self.leader_state.decide(now, host):
                return True
        elif now >= self.election_deadline:
            start_pre_vote(self, now)
            return True
        elif self.candidacy is not None and self.candidacy.decide(now):
            return True
        if self.outbox:
            host.send(self.outbox.popleft())
            return True
        if self.follower_state.chunks:
            host.receive_chunk(self.follower_state.chunks.popleft())
            return True
        write = self.pending_writes.take(now, self.term, self.voted, self.log)
        if write is not None:
            host.write(write)
            return True
        return self.commit(now, host)

    def wake_at(self):
        """Returns when to call `decide` again even if nothing happens.

        It is never later than half an election timeout: a longer gap between calls shows that the host was
        stalled.
        """
        latest = self.now + self.config.election // 2
        if self.results:
            return self.now
        if self.failed:
            return latest
        if self.leader_state is not None:
            return min(latest, self.leader_state.wake_at())
        if self.candidacy is not None:
            latest = min(latest, self.candidacy.repeat_at)
        return min(latest, self.election_deadline)

    def deliver_result(self, host):
        index, ticket, outcome, leader = self.results.popleft()
        if outcome:
            host.refuse(ticket, outcome, leader)
        elif index:
            host.answer(ticket, index)
        else:
            host.readable(ticket)

    def commit(self, now, host):
        """Applies entries that are committed and submitted to the disk, so that no snapshot of them gets to
        the disk first."""
        upto = min(self.committed, self.pending_writes.submitted, self.applied + MAX_COMMIT_ENTRIES)
        if upto <= self.applied or self.pending_writes.base is not None:
            return False
        entries = self.log.slice(self.applied + 1, upto - self.applied)
        self.applied = upto
        host.commit(entries)
        while self.committed_tickets and self.committed_tickets[0][0] <= upto:
            index, ticket, _ = self.committed_tickets.popleft()
            self.results.append((index, ticket, "", ""))
        if self.leader_state is not None:
            self.leader_state.applied(upto)
        self.follower_state.applied()
        return True

    # ---- time

    def tick(self, now):
        """Notes the time of a call.

        A gap longer than the election timeout means that this process was stalled. A leader may have been
        replaced meanwhile, so it steps down; a follower missed messages, so it does not count the gap as
        silence of its leader.
        """
        gap, self.now = now - self.now, max(now, self.now)
        if gap > self.config.election:
            self.count("stalled")
            self.step_down(now)
            self.reset_election_timer(now)

    def reset_election_timer(self, now):
        """Sets the election deadline to between one and two election timeouts from now."""
        self.election_deadline = now + self.config.election + self.rng.randrange(max(self.config.election, 1))

    # ---- membership

    def accepts(self, message):
        """Whether a message is for this member and may be trusted.

        Rejected are messages of another cluster, those for another folder under this name, and those of a
        machine that lost its disk and uses its old name. An unknown sender is accepted: it may lead a
        cluster whose newest members are not yet known here.
        """
        config = self.config
        if (message.cluster, message.to, message.to_seal) != (config.cluster, config.name, config.folder):
            return False
        member = self.members.get(message.sender)
        return (
            message.sender != config.name
            and (member is None or member.folder == message.seal)
            and 0 <= message.term < MAX_INTEGER
        )

    def refresh_members(self):
        """Updates the membership after the newest MEMBERS entry of the log has changed. The entry counts from
        then on, even before it is committed (Raft, 4.1)."""
        self.members = self.log.memberships[-1][1]
        self.voters = [name for name, member in self.members.items() if member.votes]
        self.quorum = len(self.voters) // 2 + 1
        if self.role not in (LEADER, CANDIDATE):
            self.role = self.resting_role()

    def own_membership(self, members):
        member = members.get(self.name)
        return member if member is not None and member.folder == self.config.folder else None

    def is_voter(self):
        member = self.own_membership(self.members)
        return member is not None and member.votes

    def is_changing_members(self):
        """Whether the newest MEMBERS entry is not known to be committed."""
        return self.log.memberships[-1][0] > self.committed

    def may_stand(self):
        """Whether it may become a candidate: a voter may, and also one whose removal is not known to be
        committed, because it may still be needed (Raft, 4.2.2)."""
        if self.failed or self.pending_writes.base is not None:
            return False
        return self.is_voter() or self.was_voter()

    def was_voter(self):
        """Whether it had a vote before the membership change in progress."""
        if not self.is_changing_members() or len(self.log.memberships) < 2:
            return False
        member = self.own_membership(self.log.memberships[-2][1])
        return member is not None and member.votes

    def resting_role(self):
        """Returns the role of a member that is neither leader nor candidate. A removed one is a learner."""
        if self.failed or self.is_voter() or self.was_voter():
            return FOLLOWER
        return LEARNER if self.own_membership(self.members) is not None or self.log.last else OUTSIDE

    def majority(self, value_of, own):
        """Returns the greatest value that a majority of the voters have reached. `value_of(name)` is that of
        another voter, `own` that of this member."""
        values = [own if name == self.name else value_of(name) for name in self.voters]
        values.sort(reverse=True)
        return values[self.quorum - 1] if values else 0

    # ---- outgoing messages

    def reply(self, message, kind, after=None, **fields):
        """Sends a response once the Write that it depends on is on disk. By default that is the Write with
        the current term and vote."""
        config = self.config
        made = kind(
            config.cluster, config.name, config.folder, message.sender, message.seal, self.term, **fields
        )
        self.post(made, after)

    def post(self, message, after=None):
        """Sends a message, or holds it until the Write with the number `after` is on disk."""
        after = self.term_write if after is None else after
        if after <= self.pending_writes.done:
            return self.enqueue(message)
        key = type(message), message.to, getattr(message, "early", False)
        if key in self.held_messages or len(self.held_messages) < MAX_QUEUED_MESSAGES:
            self.held_messages[key] = after, message
        else:
            self.count("lost: messages held")

    def enqueue(self, message):
        if len(self.outbox) >= MAX_QUEUED_MESSAGES:
            self.count("lost: messages out")
            self.outbox.popleft()
        self.outbox.append(message)

    def refuse(self, ticket, outcome):
        self.results.append((0, ticket, outcome, self.leader if self.leader != self.name else ""))

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    # ---- terms

    def adopt_term(self, now, term):
        """Moves to a newer term, in which this member has no role yet."""
        self.step_down(now)
        self.begin_term(term, "")

    def begin_term(self, term, voted):
        self.term, self.voted, self.voted_seal = term, voted, self.config.folder if voted else ""
        self.pending_writes.vote_changed = True
        self.term_write = self.pending_writes.next_number
        self.held_messages.clear()
        self.leader = ""
        self.follower_state.begin_term()

    def grant_vote(self, now, message):
        """Gives the one vote of this term. The response goes out once the vote is on disk."""
        self.voted = message.sender
        self.voted_seal = message.seal
        self.pending_writes.vote_changed = True
        self.term_write = self.pending_writes.next_number
        self.reset_election_timer(now)

    def step_down(self, now):
        """Stops leading or standing and refuses the calls that wait."""
        leader_state, self.leader_state, self.candidacy = self.leader_state, None, None
        if leader_state is not None:
            self.leader = ""
            self.committed_tickets.extend(leader_state.refuse_waiting_calls())
        if self.role in (LEADER, CANDIDATE):
            self.reset_election_timer(now)
        self.role = self.resting_role()

    def follow(self, now, message):
        """Notes contact with the leader of this term."""
        if self.candidacy is not None:
            self.step_down(now)
        self.leader = message.sender
        self.leader_seal = message.seal
        self.last_leader_contact = now
        self.reset_election_timer(now)

    # ---- snapshots

    def install_snapshot(self, base):
        """The received snapshot is on disk and in force."""
        log, writes = self.log, self.pending_writes
        writes.base = None
        if log.term(base.index) == base.term:
            later = [known for known in log.memberships if known[0] > base.index]
            log.memberships = [(base.index, dict(base.members)), *later]
        else:
            self.log, writes.submitted, writes.on_disk, writes.truncate_from = (
                Log(base),
                base.index,
                base.index,
                None,
            )
        writes.submitted, writes.on_disk = max(writes.submitted, base.index), max(writes.on_disk, base.index)
        self.base = base
        self.committed = max(self.committed, base.index)
        self.applied = max(self.applied, base.index)
        self.follower_state.verified = max(self.follower_state.verified, base.index)
        # The answers of these entries are not known here.
        while self.committed_tickets and self.committed_tickets[0][0] <= base.index:
            self.refuse(self.committed_tickets.popleft()[1], UNKNOWN)
        self.refresh_members()
        self.trim_log()

    def trim_log(self):
        """Drops entries that are far behind the snapshot, except those that a responding peer needs next.
        Otherwise a peer that lags under load would be sent one snapshot after another."""
        keep = self.config.keep
        upto = self.base.index - keep
        if self.leader_state is not None:
            upto = max(
                min(upto, self.leader_state.lowest_peer_index(self.now)),
                self.base.index - MAX_KEEP_FACTOR * keep,
            )
        self.log.discard_through(upto, self.base)
