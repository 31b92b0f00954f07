"""Faults put in on purpose, each a small subclass of what it spoils: a judge of the simulated world has to
catch each within a few hundred drawn schedules. Against judges that see nothing."""

from dataclasses import replace

import msgspec
import pytest
from immutables import Map

from lemonlead.ledger.capacity import Reserve
from lemonlead.ledger.follower import FollowerState
from lemonlead.ledger.leader import LeaderState
from lemonlead.ledger.membership import Change
from lemonlead.ledger.records import VoteRequest
from lemonlead.ledger.replica import Replica
from lemonlead.ledger.state import Ledger
from lemonlead.standins.simulated.hosts import plain_dispatcher
from lemonlead.standins.simulated.schedules import Schedule, InjectedFault, draw, plain_ledger, play, shrink

MOST = 300  # schedules in which each has to be caught


def of_replica(kind):
    """Members whose replica is of this class."""

    def make(host, told, kept, state, now):
        dispatcher = plain_dispatcher(host, told, kept, state, now)
        dispatcher.replica = kind(told, kept, now)
        return dispatcher

    return {"make_dispatcher": make}


def of_dispatcher(spoil):
    """Members whose dispatcher was spoiled by `spoil(dispatcher, host)`."""

    def make(host, told, kept, state, now):
        dispatcher = plain_dispatcher(host, told, kept, state, now)
        spoil(dispatcher, host)
        return dispatcher

    return {"make_dispatcher": make}


def of_office(kind):
    """Members whose office, once they lead, is of this class."""

    class Elected(Replica):
        def decide(self, now, door):
            if type(self.leader_state) is LeaderState:
                self.leader_state.__class__ = kind
            return super().decide(now, door)

        tick = getattr(kind, "tick", Replica.tick)

    return of_replica(Elected)


def of_following(kind):
    class Follows(Replica):
        def __init__(self, told, kept, now):
            super().__init__(told, kept, now)
            self.follower_state.__class__ = kind

    return of_replica(Follows)


class AcknowledgesBeforeSync(FollowerState):
    def acknowledge(self):
        pending_writes = self.replica.pending_writes
        held, pending_writes.on_disk = pending_writes.on_disk, max(self.verified, pending_writes.on_disk)
        super().acknowledge()
        pending_writes.on_disk = held


class SendsBeforeSync(Replica):
    """Votes go out before they are on disk."""

    def post(self, message, after=None):
        self.enqueue(message)


class CountsOwnUnsynced(Replica):
    def majority(self, of, own):
        return super().majority(of, self.log.last if own == self.pending_writes.on_disk else own)


class VotesTwice(Replica):
    def receive(self, now, message):
        if isinstance(message, VoteRequest) and message.term == self.term and not message.early:
            self.voted = ""
        super().receive(now, message)


class VotesForShortLogs(Replica):
    def receive(self, now, message):
        if isinstance(message, VoteRequest):
            message = msgspec.structs.replace(message, last_term=1 << 40)
        super().receive(now, message)


class CommitsOldTerms(LeaderState):
    def advance_commit(self, now):
        """As the office does, but for the term of the entry."""
        replica = self.replica
        index = replica.majority(lambda name: self.peers[name].match_index, replica.pending_writes.on_disk)
        if index > replica.committed:
            replica.committed, self.commit_advanced_at = index, now


class CountsLearners(Replica):
    """And leaves them learners, so that it matters for long."""

    def decide(self, now, door):
        if self.leader_state is not None:
            self.leader_state.promote_learner = lambda now: False
        return super().decide(now, door)

    def majority(self, of, own):
        figures = sorted((own if name == self.name else of(name) for name in self.members), reverse=True)
        return figures[self.quorum - 1]


class CountsMinority(Replica):
    def majority(self, of, own):
        figures = sorted((own if name == self.name else of(name) for name in self.voters), reverse=True)
        return figures[max(self.quorum - 2, 0)]


class ElectedByFew(Replica):
    def refresh_members(self):
        super().refresh_members()
        self.quorum = len(self.voters) // 2


class ReadsWithoutRound(LeaderState):
    """A leader that was paused, or cut off, and reads at once."""

    def tick(self, now):
        self.now = max(now, self.now)

    def decide(self, now, door):
        self.quorum_check_due = now + self.config.election
        return super().decide(now, door)

    def confirm_rounds(self):
        super().confirm_rounds()
        self.confirmed_round = self.round


class CutsWhatItHas(FollowerState):
    """A late repeat cuts off what came after it."""

    def store(self, prev, entries):
        replica = self.replica
        if prev + 1 >= replica.log.first and entries[0].index <= replica.log.last:
            replica.log.truncate(entries[0].index)
            replica.pending_writes.truncate(entries[0].index)
            replica.refresh_members()
        return super().store(prev, entries)


class SeatsWithoutFolder(Replica):
    def accepts(self, message):
        return message.to == self.name and message.sender != self.name

    def own_membership(self, seats):
        return seats.get(self.name)


class SaysNotDone(Replica):
    """Whatever it does not know the end of is told as not done."""

    def refuse(self, ticket, outcome):
        super().refuse(ticket, "not done" if outcome else outcome)


class TakesNoSnapshot(FollowerState):
    def handle_chunk(self, message):
        return None


class Odd(Ledger):
    """A state function that depends on the member."""

    def __init__(self, name):
        plain = plain_ledger()
        super().__init__(plain.rules, plain.kinds)
        self.name = name

    def read(self, data, outside=False):
        command = super().read(data, outside)
        if isinstance(command, Reserve):
            return msgspec.structs.replace(command, service=self.name)
        return command


def reads_at_once(dispatcher, host):
    dispatcher.read = lambda now, ticket: dispatcher.ready_answers.append(
        lambda door: door.readable(ticket, dispatcher.state, "")
    )


def forgets_ids(dispatcher, host):
    """After a restart."""
    dispatcher.state = replace(dispatcher.state, answers=Map(), order=Map())


def applies_twice(dispatcher, host):
    """The first entry after a snapshot, with its id forgotten."""
    commit, first = dispatcher.commit, [dispatcher.state.index + 1]

    def again(entries):
        commit(entries)
        if entries[0].index == first[0] and len(entries) == 1:
            answers, order = dispatcher.state.answers, dispatcher.state.order
            before = replace(dispatcher.state, index=entries[0].index - 1, answers=Map(), order=Map())
            after, _ = dispatcher.ledger.apply(before, entries[0])
            dispatcher.state = replace(after, answers=answers, order=order)

    dispatcher.commit = again


def answers_at_once(dispatcher, host):
    """Before anything is committed."""
    propose = dispatcher.replica.propose

    def command(now, wall_ms, data, ticket):
        if dispatcher.replica.leader_state is None:
            return propose(now, wall_ms, data, ticket)
        propose(now, wall_ms, data, Change())
        at = dispatcher.replica.last
        dispatcher.ready_answers.append(lambda door: door.answer(ticket, 200, {"at": at}))

    dispatcher.replica.propose = command


def goes_on_without_disk(dispatcher, host):
    """A disk that failed is taken as one that wrote."""
    dispatcher.disk_failed = lambda now, why: dispatcher.written(
        now, dispatcher.replica.pending_writes.number
    )


def odd(dispatcher, host):
    dispatcher.ledger = Odd(host.name)


def same_folder(play):
    """A wiped machine comes up under its old folder's id."""
    cluster, plain = play.cluster, play.cluster.new_folder

    def new_folder(name):
        old = cluster.hosts.get(name)
        return cluster.disk(old.disk.folder) if old else plain(name)

    cluster.new_folder = new_folder


CUTS = ["cut", "cut_in", "cut_out", "kill", "pause", "split"]
FAULTS = {
    # fault: (judge that has to see it, how it is put in, troubles that bring it out, and the first seed
    # where the first hundred were seen to show nothing)
    "acknowledges before sync": ("Acknowledged", of_following(AcknowledgesBeforeSync), []),
    "votes before sync": ("Votes", of_replica(SendsBeforeSync), []),
    "counts its own unsynced": ("Logs", of_replica(CountsOwnUnsynced), ["slow_disk"]),
    "votes twice in a term": ("Votes", of_replica(VotesTwice), ["all", "kill", "late", "hand_over"], 79),
    "votes for shorter logs": ("Leaders", of_replica(VotesForShortLogs), CUTS),
    "commits by an old term": ("Logs", of_office(CommitsOldTerms), CUTS),
    "counts a learner as voter": ("Logs", of_replica(CountsLearners), ["wipe", "cut", "cut_pair"]),
    "commits by a minority": ("Logs", of_replica(CountsMinority), []),
    "leads by a minority": ("Leaders", of_replica(ElectedByFew), CUTS),
    "local reads as of now": ("Seeing", of_dispatcher(reads_at_once), []),
    "reads without a round": ("Seeing", of_office(ReadsWithoutRound), ["cut"]),
    "cuts off what is committed": ("Logs", of_following(CutsWhatItHas), ["late", "twice"]),
    "seats without a folder": ("Votes", of_replica(SeatsWithoutFolder), ["impostor", "kill", "all"]),
    "an old folder's id again": ("Votes", {"setup": same_folder}, ["impostor", "kill", "all"]),
    "ids forgotten by a restart": ("SameState", of_dispatcher(forgets_ids), ["kill"]),
    "applies twice after a snapshot": ("SameState", of_dispatcher(applies_twice), ["kill", "all"]),
    "a state that depends on the member": ("SameState", of_dispatcher(odd), []),
    "answers before commit": ("Promises", of_dispatcher(answers_at_once), []),
    "goes on without its disk": ("Acknowledged", of_dispatcher(goes_on_without_disk), ["broken_disk"]),
    "unknown told as not done": ("Promises", of_replica(SaysNotDone), ["burst", "kill", "pause"], 78),
    "takes no snapshot": ("Live", of_following(TakesNoSnapshot), ["wipe", "kill_long"]),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_fault_put_in_on_purpose_is_caught(fault):
    judge, put_in, kinds, first = (*FAULTS[fault], 0)[:4]
    seen = set()
    for seed in range(first, first + MOST):
        broken = play(draw(seed, kinds), **put_in).violation
        if broken is not None:
            seen.add(broken.checker)
            if judge == broken.checker:
                return
    pytest.fail(f"{judge} saw nothing in {MOST} schedules; others: {seen}")


def test_a_fault_is_shrunk_to_a_schedule_that_plays_again():
    judge, put_in, kinds = FAULTS["an old folder's id again"]
    schedule = next(one for one in (draw(seed, kinds) for seed in range(MOST)) if breaks(one, judge, put_in))
    short = shrink(schedule, lambda one: breaks(one, judge, put_in))
    assert len(short.faults) < len(schedule.faults)
    assert [fault.kind for fault in short.faults].count("impostor") == 1
    again = eval(repr(short), {"Schedule": Schedule, "InjectedFault": InjectedFault})
    assert again == short and breaks(again, judge, put_in) and not breaks(again, judge, {})


def breaks(schedule, judge, put_in):
    broken = play(schedule, **put_in).violation
    return broken is not None and broken.checker == judge
