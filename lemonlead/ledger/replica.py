"""The replication core: Raft with pre-vote, hand-over, one-at-a-time changes of members, learners,
snapshots in pieces and reads without a log write. It is fed messages and moments, and asked for decisions;
it does no I/O and reads no clock. Chapters named are those of Ongaro's dissertation.

Here: terms, votes, what a follower does. `office.py`: what a leader does; `peers.py`: what it knows of each
peer; `log.py`: the log in memory and on its way to disk."""

from collections import deque
from random import Random

from .log import BIGGEST, Log, Paper, sound
from .office import Office
from .records import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    LEARNER,
    NOT_DONE,
    OUTSIDE,
    UNKNOWN,
    Append,
    Appended,
    Ballot,
    Canvass,
    Part,
    Parted,
    TakeOver,
)

MOST_OUT = 1024  # messages that wait for the host to take them or for the disk; past it one is lost
MOST_BACKLOG = 4096  # entries that the disk has not been given; past it a follower takes none
MOST_PARTS = 16  # pieces of a snapshot that the host has not taken; past it none is
MOST_COMMIT = 256  # entries in one call of `commit`
SLOW_DISK = 2  # election times that one Write may take before this member does not stand
STRETCH = 4  # times `keep` that are kept at most for a peer that is being sent a snapshot


class Replica:
    """One member's part in the log.

    Inputs (each with `now`, nanoseconds of the host's monotonic clock) only update what is known; then
    `decide(now, door)` is called until it returns False: it does one thing through the door at a time."""

    def __init__(self, told, kept, now):
        self.told, self.now, self.name = told, now, told.name
        self.term, self.voted, self.base = kept.term, kept.voted, kept.base
        self.chance = Random(f"{told.seed}/{told.name}")
        self.log = Log(kept.base, list(kept.entries))
        self.paper = Paper(self.log.last)
        self.role, self.leader = FOLLOWER, ""  # whom this member believes to lead, empty where it knows none
        self.committed = self.applied = kept.base.index  # index up to which entries are known to be committed
        self.fresh = (
            0  # the moment at which what is applied was last known to be what the cluster had committed
        )
        self.failed = ""  # why the disk failed, empty while it works
        self.counts = {}
        self.office, self.tickets = None, deque()  # tickets of an office left, whose entries are committed
        self.ends, self.out, self.held = deque(), deque(), {}  # held: messages that wait for a Write
        self.term_after = 0  # the Write that moved the term to disk
        self.voted_seal = self.leader_seal = ""
        self.early, self.handed, self.ballots = False, False, set()
        self.heard_leader, self.behind = now - told.election, None
        self.verified, self.round, self.acked = self.committed, -1, 0  # of the leader of this term
        self.gathering, self.parts = None, deque()  # (base, term of its leader, next offset)
        self.seats, self.voters, self.quorum = {}, [], 1
        self.fresh_seats()
        self.listen(now)

    @property
    def last(self):
        return self.log.last

    def seats_at(self, index):
        """The members as of this entry, which is applied and not yet compacted."""
        return dict(self.log.seats_at(index))

    def reached(self, now):
        """A leader's: names of the members, itself among them, heard within the election time."""
        if self.office is None:
            return {self.name}
        return {self.name, *(name for name in self.office.peers if not self.office.silent(name, now))}

    # ---- inputs

    def heard(self, now, message):
        """A message of a peer."""
        self.tick(now)
        if not self.meant(message):
            return self.count("dropped: not meant")
        if self.failed:
            if type(message) in (Append, Part) and message.term >= self.term:
                self.leader = message.sender
            return
        kind = type(message)
        if kind is Canvass:
            return self.canvassed(now, message)
        if message.term > self.term:
            if kind is Ballot and message.given:
                return self.count("garbled")
            self.adopt(now, message.term)
        if kind in (Append, Part):
            if message.term < self.term:
                if kind is Append:
                    self.reply(message, Appended, match=0, round=message.round)
                else:
                    self.reply(message, Parted, round=message.round)
                return
            if self.role == LEADER or self.leader not in ("", message.sender):
                return self.count("garbled")
            self.follow(now, message)
            return self.append(now, message) if kind is Append else self.part(now, message)
        if kind is Ballot:
            return self.ballot(now, message)
        if message.term < self.term:
            return
        if kind is TakeOver:
            self.take_over(now, message)
        elif self.office is not None:
            self.office.appended(now, message)

    def propose(self, now, wall_ms, data, ticket):
        """A command to be committed. Ends by `door.answer` or `door.refuse`, exactly one."""
        self.tick(now)
        if self.office is None:
            return self.refuse(ticket, NOT_DONE)
        self.office.propose(now, wall_ms, data, ticket)

    def read(self, now, ticket):
        """A read as of now (linearizable, 6.4). Ends by `door.readable` or `door.refuse`."""
        self.tick(now)
        if self.office is None:
            return self.refuse(ticket, NOT_DONE)
        self.office.read(ticket)

    def change(self, now, seats, ticket):
        """Other members: one seat more, less or changed. A new one comes as a learner and is given its
        vote by the leader itself once it has caught up. Ends as `propose` does."""
        self.tick(now)
        if self.office is None:
            return self.refuse(ticket, NOT_DONE)
        self.office.change(now, seats, ticket)

    def hand_over(self, now, to=""):
        """Leadership goes to the named voter, else the one that is furthest (3.10); nothing where this
        does not lead."""
        self.tick(now)
        if self.office is not None:
            self.office.hand_over(now, to)

    def written(self, now, number):
        """The disk holds this Write and all before it."""
        self.tick(now)
        if self.failed:
            return
        base = self.paper.written(number)
        if base is not None:
            self.install(base)
        for key in [key for key, (after, _) in self.held.items() if after <= self.paper.done]:
            self.put(self.held.pop(key)[1])
        if self.office is not None:
            return self.office.settle(now)
        if self.role == CANDIDATE:
            return self.elect(now)
        if self.leader and min(self.verified, self.paper.held) > self.acked:
            self.acknowledge()

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
        self.parts.clear()
        self.role = FOLLOWER

    def compacted(self, now, base):
        """The host holds a snapshot of the state as of `base` on disk: entries up to it need not be kept."""
        self.tick(now)
        if not self.base.index < base.index <= self.applied:
            return
        self.base = base
        self.paper.held = max(self.paper.held, base.index)
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
        if self.office is not None:
            if self.office.decide(now, door):
                return True
        elif now >= self.deadline:
            self.stand(now)
            return True
        if self.out:
            door.send(self.out.popleft())
            return True
        if self.parts:
            door.take_part(self.parts.popleft())
            return True
        write = self.paper.take(now, self.term, self.voted, self.log)
        if write is not None:
            door.write(write)
            return True
        return self.commit(now, door)

    def wake_at(self):
        """The moment at which to ask again though nothing happened. Never later than half an election time:
        a longer silence of the host itself is how it shows that it was stalled."""
        latest = self.now + self.told.election // 2
        if self.ends:
            return self.now
        if self.failed:
            return latest
        return min(latest, self.deadline if self.office is None else self.office.wake_at())

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
        upto = min(self.committed, self.paper.given, self.applied + MOST_COMMIT)
        if upto <= self.applied or self.paper.base is not None:
            return False
        entries = self.log.slice(self.applied + 1, upto - self.applied)
        self.applied = upto
        door.commit(entries)
        while self.tickets and self.tickets[0][0] <= upto:
            index, ticket, _ = self.tickets.popleft()
            self.ends.append((index, ticket, "", ""))
        if self.office is not None:
            self.office.applied(upto)
        if self.behind and self.behind[0] <= upto:
            self.fresh, self.behind = max(self.fresh, self.behind[1]), None
        return True

    # ---- time

    def tick(self, now):
        """With each call. A gap longer than the election time says that this process was stalled: a leader
        may have been replaced meanwhile, and what a follower missed is no silence of the leader's."""
        gap, self.now = now - self.now, max(now, self.now)
        if gap > self.told.election:
            self.count("stalled")
            if self.office is not None or self.role == CANDIDATE:
                self.step_down(now)
            self.listen(now)

    def listen(self, now):
        """A full election time, and up to as much again, before this member stands."""
        self.deadline = now + self.told.election + self.chance.randrange(max(self.told.election, 1))

    # ---- who is who

    def meant(self, message):
        """Against another cluster's messages, those for another folder under this name, and a machine that
        lost its disk and speaks under its old name. An unknown sender is heard: it may lead a cluster whose
        newest members are not yet known here."""
        told = self.told
        if (message.cluster, message.to, message.to_seal) != (told.cluster, told.name, told.folder):
            return False
        seat = self.seats.get(message.sender)
        return (
            message.sender != told.name
            and (seat is None or seat.folder == message.seal)
            and 0 <= message.term < BIGGEST
        )

    def fresh_seats(self):
        """After the newest MEMBERS entry in the log has changed: it counts from then on (4.1)."""
        self.seats = self.log.seats[-1][1]
        self.voters = [name for name, seat in self.seats.items() if seat.votes]
        self.quorum = len(self.voters) // 2 + 1
        if self.role not in (LEADER, CANDIDATE):
            self.role = self.rest()

    def mine(self, seats):
        seat = seats.get(self.name)
        return seat if seat is not None and seat.folder == self.told.folder else None

    def votes(self):
        seat = self.mine(self.seats)
        return seat is not None and seat.votes

    def changing(self):
        """Whether the newest MEMBERS entry is not known to be committed."""
        return self.log.seats[-1][0] > self.committed

    def may_stand(self):
        """A voter; one whose removal is not known to be committed may still be needed (4.2.2)."""
        if self.failed or self.paper.base is not None:
            return False
        return self.votes() or self.voted_before()

    def voted_before(self):
        """Whether it had a vote before the change of members that is under way."""
        if not self.changing() or len(self.log.seats) < 2:
            return False
        seat = self.mine(self.log.seats[-2][1])
        return seat is not None and seat.votes

    def rest(self):
        """The role of one that neither leads nor stands. A removed one counts as a learner."""
        if self.failed or self.votes() or self.voted_before():
            return FOLLOWER
        return LEARNER if self.mine(self.seats) is not None or self.log.last else OUTSIDE

    def majority(self, of, own):
        """The greatest figure that a majority of the voters have reached: `of(name)`, one's own `own`."""
        figures = [own if name == self.name else of(name) for name in self.voters]
        figures.sort(reverse=True)
        return figures[self.quorum - 1] if figures else 0

    # ---- messages out

    def reply(self, message, kind, after=None, **fields):
        """An answer, once the Write that it rests on is on disk; at least the one that moved the term."""
        told = self.told
        made = kind(
            told.cluster, told.name, told.folder, message.sender, message.seal, self.term, **fields
        )
        self.post(made, after)

    def post(self, message, after=None):
        after = self.term_after if after is None else after
        if after <= self.paper.done:
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
        self.term, self.voted, self.voted_seal = term, voted, self.told.folder if voted else ""
        self.paper.marked, self.term_after = True, self.paper.next
        self.held.clear()
        self.leader, self.verified, self.round, self.acked = "", self.committed, -1, 0

    def step_down(self, now):
        """To follower; whoever waits is refused."""
        office, self.office = self.office, None
        if office is not None:
            self.leader = ""
            self.tickets.extend(office.close())
        if office is not None or self.role == CANDIDATE:
            self.role = FOLLOWER
            self.listen(now)
        self.role = self.rest()

    def follow(self, now, message):
        if self.role == CANDIDATE:
            self.step_down(now)
        self.leader, self.leader_seal, self.heard_leader = message.sender, message.seal, now
        self.listen(now)

    # ---- elections

    def stand(self, now):
        """Nothing was heard for long: asks whether it would be voted for, before it moves the term (9.6)."""
        self.listen(now)
        if not self.may_stand() or self.paper.slow(now, SLOW_DISK * self.told.election):
            self.leader = ""
            return self.step_down(now)
        self.count("stood")
        self.role, self.leader = CANDIDATE, ""
        self.early, self.handed, self.ballots = True, False, {self.name}
        self.canvass()
        self.elect(now)

    def stand_now(self, now, handed):
        """The election itself. The vote for oneself counts once it is on disk, as any other."""
        self.role, self.early, self.handed, self.ballots = CANDIDATE, False, handed, {self.name}
        self.begin(self.term + 1, self.name)
        self.listen(now)
        self.canvass()

    def canvass(self):
        told, log = self.told, self.log
        for name in self.voters:
            if name != self.name:
                message = Canvass(
                    told.cluster, told.name, told.folder, name, self.seats[name].folder, self.term,
                    last_index=log.last, last_term=log.last_term, early=self.early, handed=self.handed,
                )  # fmt: skip
                self.post(message)

    def take_over(self, now, message):
        if self.office is None and self.may_stand() and message.sender == self.leader:
            self.count("took over")
            self.stand_now(now, True)

    def canvassed(self, now, message):
        """Someone stands. While a leader is heard of, that changes nothing here (4.2.3), unless the leader
        itself asked for it."""
        if self.office is not None:
            self.office.canvassed(now, message.sender)
        led = self.office is not None or (self.leader and now - self.heard_leader < self.told.election)
        if message.term < self.term:
            return self.reply(message, Ballot, early=message.early)
        if led and not message.handed:
            return self.count("canvass while led")
        if message.term > self.term and not message.early:
            self.adopt(now, message.term)
        if self.rest() == OUTSIDE or self.paper.base is not None:
            return
        ahead = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last)
        if message.early:
            return self.reply(message, Ballot, given=ahead, early=True)
        again = self.voted == message.sender and self.voted_seal in ("", message.seal)
        if ahead and not self.voted and self.role not in (LEADER, CANDIDATE):
            self.voted, self.voted_seal = message.sender, message.seal
            self.paper.marked, self.term_after = True, self.paper.next
            self.listen(now)
            again = True
        self.reply(message, Ballot, given=again)

    def ballot(self, now, message):
        seat = self.seats.get(message.sender)
        if self.role != CANDIDATE or message.early != self.early or seat is None or not seat.votes:
            return
        if message.given and (message.early or message.term == self.term):
            self.ballots.add(message.sender)
            self.elect(now)

    def elect(self, now):
        """Goes on where a majority gave its vote."""
        given = [
            name
            for name in self.voters
            if name in self.ballots
            and (name != self.name or self.early or self.term_after <= self.paper.done)
        ]
        if len(given) < self.quorum:
            return
        if self.early:
            return self.stand_now(now, False)
        self.count("elected")
        self.role, self.leader = LEADER, self.name
        self.office = Office(self, now)

    # ---- what the leader sends

    def append(self, now, message):
        log, prev, entries = self.log, message.prev_index, message.entries
        new_round = message.round > self.round
        self.round = max(self.round, message.round)
        if self.paper.base is not None:  # a snapshot is on its way to disk
            return self.reply(message, Appended, match=self.committed, round=self.round)
        if prev < 0 or not in_order(prev, message.prev_term, entries, message.term):
            return self.count("garbled")
        if prev > log.last:
            return self.reply(message, Appended, match=log.last, round=self.round)
        if prev >= log.first - 1 and log.term(prev) != message.prev_term:
            if prev <= self.committed:
                return self.count("garbled")
            hint = max(log.run_start(prev) - 1, self.verified)
            return self.reply(message, Appended, match=min(hint, prev - 1), round=self.round)
        upto = prev
        if entries:
            upto = self.take(prev, entries)
            if upto is None:
                return self.count("garbled")
        self.verified = max(self.verified, upto)
        if message.committed > self.committed and self.verified > self.committed:
            self.committed = min(message.committed, self.verified)
        if self.behind is None or message.committed < self.behind[0]:
            self.behind = message.committed, self.behind[1] if self.behind else now
        if self.behind[0] <= self.applied:
            self.fresh, self.behind = max(self.fresh, self.behind[1]), None
        if new_round or not entries or self.paper.held >= upto:
            self.acknowledge()

    def take(self, prev, entries):
        """Puts entries after `prev`, which fits, where they are not there yet; cuts a tail that another
        leader left. The index that the log now fits up to; None where they would undo what is committed."""
        log = self.log
        at = known = min(log.last - prev, len(entries))
        for place in range(known):
            entry = entries[place]
            held = log.term(entry.index)
            if held != entry.term and (held is not None or entry.index >= log.first):
                if entry.index <= self.committed:
                    return None
                at = place
                break
        new = entries[at:]
        if not new:
            return prev + len(entries)
        if log.last - self.paper.given + len(new) > MOST_BACKLOG:
            self.count("not taken: backlog")
            return prev + at
        if not all(map(sound, new)):
            return None
        seats = log.seats[-1]
        if new[0].index <= log.last:
            self.count("tails cut")
            log.cut(new[0].index)
            self.paper.cut(new[0].index)
        log.extend(new)
        if seats is not log.seats[-1]:
            self.fresh_seats()
        elif self.role == OUTSIDE:
            self.role = self.rest()
        return new[-1].index

    def acknowledge(self):
        """Tells the leader of this term how far this disk holds its log."""
        told = self.told
        self.acked = min(self.verified, self.paper.held)
        seal = self.leader_seal
        self.post(
            Appended(
                told.cluster, told.name, told.folder, self.leader, seal, self.term,
                fits=True, match=self.acked, round=self.round,
            )
        )  # fmt: skip

    def part(self, now, message):
        """A piece of a snapshot: taken in order, repeats dropped, the wanted offset told."""
        base, round = message.base, message.round
        self.round = max(self.round, round)
        if not (0 < base.index < BIGGEST and 0 < base.term <= message.term and base.members):
            return self.count("garbled")
        if base.index <= self.committed:
            if base.index <= self.paper.held:
                self.reply(message, Parted, base_index=base.index, done=True, round=round)
            return
        if self.paper.base is not None:
            return
        if self.gathering is None or self.gathering[:2] != (base, self.term):
            if self.gathering and self.gathering[1] == self.term and base.index < self.gathering[0].index:
                return  # a late one, of a snapshot that its leader has given up
            if message.offset:
                return self.reply(message, Parted, base_index=base.index, round=round)
            self.gathering = base, self.term, 0
        offset = self.gathering[2]
        if message.offset == offset and (message.data or message.last):
            if len(self.parts) >= MOST_PARTS:
                return self.count("not taken: parts")
            offset += len(message.data)
            self.parts.append(message)
            self.gathering = base, self.term, offset
            if message.last:
                self.gathering, self.paper.base = None, base
                self.behind = None
                return
        self.reply(message, Parted, base_index=base.index, offset=offset, round=round)

    def install(self, base):
        """The snapshot is on disk and in force."""
        log, paper = self.log, self.paper
        paper.base = None
        if log.term(base.index) == base.term:
            later = [kept for kept in log.seats if kept[0] > base.index]
            log.seats = [(base.index, dict(base.members)), *later]
        else:
            self.log, paper.given, paper.held, paper.cutting = Log(base), base.index, base.index, None
        paper.given, paper.held = max(paper.given, base.index), max(paper.held, base.index)
        self.base = base
        self.committed = max(self.committed, base.index)
        self.applied = max(self.applied, base.index)
        self.verified = max(self.verified, base.index)
        self.fresh_seats()
        self.trim()

    def trim(self):
        """Drops what is too far behind the snapshot, but not what a peer will want right after the one that
        it is being sent."""
        keep = self.told.keep
        upto = self.base.index - keep
        if self.office is not None:
            upto = max(min(upto, self.office.needed()), self.base.index - STRETCH * keep)
        self.log.drop(upto, self.base)


def in_order(prev, prev_term, entries, term):
    """Whether entries follow on each other and on `prev`, none of a later term than the message's."""
    before = prev_term
    for entry in entries:
        prev += 1
        if entry.index != prev or not before <= entry.term <= term:
            return False
        before = entry.term
    return 0 <= prev_term <= term and prev < BIGGEST

