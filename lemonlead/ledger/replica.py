"""The replication core: Raft with pre-vote, hand-over, one-at-a-time changes of members, learners,
snapshots in pieces and reads without a log write. It is fed messages and moments, and asked for decisions;
it does no I/O and reads no clock. Chapters named are those of Ongaro's dissertation.

Here: terms, who is who, what goes out and when. `standing.py`: elections; `following.py`: what a follower
takes from its leader; `office.py`: what a leader does; `peers.py`: what it knows of each peer; `log.py`: the
log in memory and on its way to disk."""

from collections import deque
from random import Random

from .elections import canvassed, stand, take_over
from .follower import FollowerState
from .log import BIGGEST, Log, PendingWrites
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

MOST_OUT = 1024  # messages that wait for the host to take them or for the disk; past it one is lost
MOST_COMMIT = 256  # entries in one call of `commit`
STRETCH = 8  # times `keep` that are kept at most for a peer that answers and has not got them yet


class Replica:
    """One member's part in the log.

    Inputs (each with `now`, nanoseconds of the host's monotonic clock) only update what is known; then
    `decide(now, door)` is called until it returns False: it does one thing through the door at a time."""

    def __init__(self, config, kept, now):
        self.config, self.now, self.name = config, now, config.name
        self.term, self.voted, self.base = kept.term, kept.voted, kept.base
        self.chance = Random(f"{config.seed}/{config.name}")
        self.log = Log(kept.base, list(kept.entries))
        self.pending_writes = PendingWrites(self.log.last)
        self.role, self.leader = FOLLOWER, ""  # whom this member believes to lead, empty where it knows none
        self.committed = self.applied = kept.base.index  # index up to which entries are known to be committed
        self.fresh_as_of = (
            0  # the moment at which what is applied was last known to be what the cluster had committed
        )
        self.failed = ""  # why the disk failed, empty while it works
        self.counts = {}
        self.leader_state, self.tickets = (
            None,
            deque(),
        )  # tickets of an office left, whose entries are committed
        self.ends, self.out, self.held = deque(), deque(), {}  # held: messages that wait for a Write
        self.term_after = 0  # the Write that moved the term to disk
        self.voted_seal, self.leader_seal = "", ""
        self.heard_leader = now - config.election
        self.follower_state, self.candidacy = FollowerState(self), None
        self.members, self.voters, self.quorum = {}, [], 1
        self.refresh_members()
        self.listen(now)

    @property
    def last(self):
        return self.log.last

    def members_at(self, index):
        """The members as of this entry, which is applied and not yet compacted."""
        return dict(self.log.members_at(index))

    def reachable_members(self, now):
        """A leader's: names of the members, itself among them, heard within the election time."""
        if self.leader_state is None:
            return {self.name}
        return {
            self.name,
            *(name for name in self.leader_state.peers if not self.leader_state.silent(name, now)),
        }

    # ---- inputs

    def receive(self, now, message):
        """A message of a peer."""
        self.tick(now)
        if not self.accepts(message):
            return self.count("dropped: not meant")
        if self.failed:
            if type(message) in (AppendEntries, SnapshotChunk) and message.term >= self.term:
                self.leader = message.sender
            return
        kind = type(message)
        if kind is VoteRequest:
            return canvassed(self, now, message)
        if message.term > self.term:
            if kind is VoteResponse and message.given:
                return self.count("garbled")
            self.adopt(now, message.term)
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
            follower_state = self.follower_state
            return (
                follower_state.append(now, message) if kind is AppendEntries else follower_state.part(message)
            )
        if kind is VoteResponse:
            if self.candidacy is not None:
                self.candidacy.ballot(now, message)
            return
        if message.term < self.term:
            return
        if kind is TimeoutNow:
            take_over(self, now, message)
        elif self.leader_state is not None:
            self.leader_state.appended(now, message)

    def propose(self, now, wall_ms, data, ticket):
        """A command to be committed. Ends by `door.answer` or `door.refuse`, exactly one."""
        self.tick(now)
        if self.leader_state is None:
            return self.refuse(ticket, NOT_DONE)
        self.leader_state.propose(now, wall_ms, data, ticket)

    def read(self, now, ticket):
        """A read as of now (linearizable, 6.4). Ends by `door.readable` or `door.refuse`."""
        self.tick(now)
        if self.leader_state is None:
            return self.refuse(ticket, NOT_DONE)
        self.leader_state.read(ticket)

    def change(self, now, members, ticket):
        """Other members: one seat more, less or changed. A new one comes as a learner and is given its
        vote by the leader itself once it has caught up. Ends as `propose` does."""
        self.tick(now)
        if self.leader_state is None:
            return self.refuse(ticket, NOT_DONE)
        self.leader_state.change(now, members, ticket)

    def hand_over(self, now, to=""):
        """Leadership goes to the named voter, else the one that is furthest (3.10); nothing where this
        does not lead."""
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
            self.install(base)
        for key in [key for key, (after, _) in self.held.items() if after <= self.pending_writes.done]:
            self.put(self.held.pop(key)[1])
        if self.leader_state is not None:
            return self.leader_state.settle(now)
        if self.candidacy is not None:
            return self.candidacy.elect(now)
        if self.leader:
            self.follower_state.written()

    def disk_failed(self, now, why):
        """The disk failed: this member gives leadership up, votes for nobody and acknowledges nothing any
        more."""
        self.tick(now)
        if self.failed:
            return
        self.failed = why or "the disk failed"
        self.step_down(now)
        for _, ticket, _ in self.tickets:
            self.refuse(ticket, UNKNOWN)
        self.tickets.clear()
        self.out.clear()
        self.held.clear()
        self.follower_state.parts.clear()

    def sends_snapshot(self):
        """Whether a peer that answers is being sent the snapshot: a newer one had better wait, since it
        would begin anew."""
        return self.leader_state is not None and self.leader_state.sends_snapshot(self.now)

    def compacted(self, now, base):
        """The host holds a snapshot of the state as of `base` on disk: entries up to it need not be kept."""
        self.tick(now)
        if not self.base.index < base.index <= self.applied:
            return
        self.base = base
        self.pending_writes.on_disk = max(self.pending_writes.on_disk, base.index)
        self.trim()

    # ---- decisions

    def decide(self, now, door):
        """Does one thing; whether it did."""
        self.tick(now)
        if self.ends:
            self.end(door)
            return True
        if self.failed:
            return False
        if self.leader_state is not None:
            if self.leader_state.decide(now, door):
                return True
        elif now >= self.deadline:
            stand(self, now)
            return True
        elif self.candidacy is not None and self.candidacy.decide(now):
            return True
        if self.out:
            door.send(self.out.popleft())
            return True
        if self.follower_state.parts:
            door.receive_chunk(self.follower_state.parts.popleft())
            return True
        write = self.pending_writes.take(now, self.term, self.voted, self.log)
        if write is not None:
            door.write(write)
            return True
        return self.commit(now, door)

    def wake_at(self):
        """The moment at which to ask again though nothing happened. Never later than half an election time:
        a longer silence of the host itself is how it shows that it was stalled."""
        latest = self.now + self.config.election // 2
        if self.ends:
            return self.now
        if self.failed:
            return latest
        if self.leader_state is not None:
            return min(latest, self.leader_state.wake_at())
        if self.candidacy is not None:
            latest = min(latest, self.candidacy.again)
        return min(latest, self.deadline)

    def end(self, door):
        index, ticket, outcome, leader = self.ends.popleft()
        if outcome:
            door.refuse(ticket, outcome, leader)
        elif index:
            door.answer(ticket, index)
        else:
            door.readable(ticket)

    def commit(self, now, door):
        """Entries that are committed and given to the disk (so that no snapshot gets there before them)."""
        upto = min(self.committed, self.pending_writes.submitted, self.applied + MOST_COMMIT)
        if upto <= self.applied or self.pending_writes.base is not None:
            return False
        entries = self.log.slice(self.applied + 1, upto - self.applied)
        self.applied = upto
        door.commit(entries)
        while self.tickets and self.tickets[0][0] <= upto:
            index, ticket, _ = self.tickets.popleft()
            self.ends.append((index, ticket, "", ""))
        if self.leader_state is not None:
            self.leader_state.applied(upto)
        self.follower_state.applied()
        return True

    # ---- time

    def tick(self, now):
        """With each call. A gap longer than the election time says that this process was stalled: a leader
        may have been replaced meanwhile, and what a follower missed is no silence of the leader's."""
        gap, self.now = now - self.now, max(now, self.now)
        if gap > self.config.election:
            self.count("stalled")
            self.step_down(now)
            self.listen(now)

    def listen(self, now):
        """A full election time, and up to as much again, before this member stands."""
        self.deadline = now + self.config.election + self.chance.randrange(max(self.config.election, 1))

    # ---- who is who

    def accepts(self, message):
        """Against another cluster's messages, those for another folder under this name, and a machine that
        lost its disk and speaks under its old name. An unknown sender is heard: it may lead a cluster whose
        newest members are not yet known here."""
        config = self.config
        if (message.cluster, message.to, message.to_seal) != (config.cluster, config.name, config.folder):
            return False
        seat = self.members.get(message.sender)
        return (
            message.sender != config.name
            and (seat is None or seat.folder == message.seal)
            and 0 <= message.term < BIGGEST
        )

    def refresh_members(self):
        """After the newest MEMBERS entry in the log has changed: it counts from then on (4.1)."""
        self.members = self.log.memberships[-1][1]
        self.voters = [name for name, seat in self.members.items() if seat.votes]
        self.quorum = len(self.voters) // 2 + 1
        if self.role not in (LEADER, CANDIDATE):
            self.role = self.rest()

    def own_membership(self, members):
        seat = members.get(self.name)
        return seat if seat is not None and seat.folder == self.config.folder else None

    def votes(self):
        seat = self.own_membership(self.members)
        return seat is not None and seat.votes

    def changing(self):
        """Whether the newest MEMBERS entry is not known to be committed."""
        return self.log.memberships[-1][0] > self.committed

    def may_stand(self):
        """A voter; one whose removal is not known to be committed may still be needed (4.2.2)."""
        if self.failed or self.pending_writes.base is not None:
            return False
        return self.votes() or self.voted_before()

    def voted_before(self):
        """Whether it had a vote before the change of members that is under way."""
        if not self.changing() or len(self.log.memberships) < 2:
            return False
        seat = self.own_membership(self.log.memberships[-2][1])
        return seat is not None and seat.votes

    def rest(self):
        """The role of one that neither leads nor stands. A removed one counts as a learner."""
        if self.failed or self.votes() or self.voted_before():
            return FOLLOWER
        return LEARNER if self.own_membership(self.members) is not None or self.log.last else OUTSIDE

    def majority(self, of, own):
        """The greatest figure that a majority of the voters have reached: `of(name)`, one's own `own`."""
        figures = [own if name == self.name else of(name) for name in self.voters]
        figures.sort(reverse=True)
        return figures[self.quorum - 1] if figures else 0

    # ---- messages out

    def reply(self, message, kind, after=None, **fields):
        """An answer, once the Write that it rests on is on disk; at least the one that moved the term."""
        config = self.config
        made = kind(
            config.cluster, config.name, config.folder, message.sender, message.seal, self.term, **fields
        )
        self.post(made, after)

    def post(self, message, after=None):
        after = self.term_after if after is None else after
        if after <= self.pending_writes.done:
            return self.put(message)
        key = type(message), message.to, getattr(message, "early", False)
        if key in self.held or len(self.held) < MOST_OUT:
            self.held[key] = after, message
        else:
            self.count("lost: messages held")

    def put(self, message):
        if len(self.out) >= MOST_OUT:
            self.count("lost: messages out")
            self.out.popleft()
        self.out.append(message)

    def refuse(self, ticket, outcome):
        self.ends.append((0, ticket, outcome, self.leader if self.leader != self.name else ""))

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    # ---- terms

    def adopt(self, now, term):
        """A newer term: whatever this member was in the old one, it no longer is."""
        self.step_down(now)
        self.begin(term, "")

    def begin(self, term, voted):
        self.term, self.voted, self.voted_seal = term, voted, self.config.folder if voted else ""
        self.pending_writes.marked, self.term_after = True, self.pending_writes.next
        self.held.clear()
        self.leader = ""
        self.follower_state.begin()

    def vote(self, now, message):
        """One vote a term. The ballot goes out once it is on disk."""
        self.voted, self.voted_seal = message.sender, message.seal
        self.pending_writes.marked, self.term_after = True, self.pending_writes.next
        self.listen(now)

    def step_down(self, now):
        """To follower; whoever waits is refused."""
        leader_state, self.leader_state, self.candidacy = self.leader_state, None, None
        if leader_state is not None:
            self.leader = ""
            self.tickets.extend(leader_state.close())
        if self.role in (LEADER, CANDIDATE):
            self.listen(now)
        self.role = self.rest()

    def follow(self, now, message):
        if self.candidacy is not None:
            self.step_down(now)
        self.leader, self.leader_seal, self.heard_leader = message.sender, message.seal, now
        self.listen(now)

    # ---- snapshots

    def install(self, base):
        """The snapshot is on disk and in force."""
        log, pending_writes = self.log, self.pending_writes
        pending_writes.base = None
        if log.term(base.index) == base.term:
            later = [kept for kept in log.memberships if kept[0] > base.index]
            log.memberships = [(base.index, dict(base.members)), *later]
        else:
            self.log, pending_writes.submitted, pending_writes.on_disk, pending_writes.cutting = (
                Log(base),
                base.index,
                base.index,
                None,
            )
        pending_writes.submitted, pending_writes.on_disk = (
            max(pending_writes.submitted, base.index),
            max(pending_writes.on_disk, base.index),
        )
        self.base = base
        self.committed = max(self.committed, base.index)
        self.applied = max(self.applied, base.index)
        self.follower_state.verified = max(self.follower_state.verified, base.index)
        while self.tickets and self.tickets[0][0] <= base.index:  # what they came to is not known here
            self.refuse(self.tickets.popleft()[1], UNKNOWN)
        self.refresh_members()
        self.trim()

    def trim(self):
        """Drops what is too far behind the snapshot, but not what a peer that answers will want next: else
        one that lags under load is sent snapshot after snapshot."""
        keep = self.config.keep
        upto = self.base.index - keep
        if self.leader_state is not None:
            upto = max(min(upto, self.leader_state.needed(self.now)), self.base.index - STRETCH * keep)
        self.log.drop(upto, self.base)
