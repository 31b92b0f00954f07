"""Faulty variants of the ledger's classes, each a small subclass. An invariant checker of the simulated
world has to catch each of them within a few hundred drawn schedules, which shows that the checkers see
violations."""

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
from lemonlead.standins.simulated.hosts import default_dispatcher
from lemonlead.standins.simulated.schedules import InjectedFault, Schedule, draw, plain_ledger, play, shrink

MAX_SCHEDULES = 300  # within which each faulty variant has to be caught


def of_replica(kind):
    """Returns the keyword of play() for members whose replica is of this class."""

    def make(host, config, stored, state, now):
        dispatcher = default_dispatcher(host, config, stored, state, now)
        dispatcher.replica = kind(config, stored, now)
        return dispatcher

    return {"make_dispatcher": make}


def of_dispatcher(change):
    """Returns the keyword of play() for members whose dispatcher is changed by `change(dispatcher, host)`."""

    def make(host, config, stored, state, now):
        dispatcher = default_dispatcher(host, config, stored, state, now)
        change(dispatcher, host)
        return dispatcher

    return {"make_dispatcher": make}


def of_leader_state(kind):
    """Returns the keyword of play() for members whose leader state is of this class."""

    class WithLeaderState(Replica):
        def decide(self, now, replica_host):
            if type(self.leader_state) is LeaderState:
                self.leader_state.__class__ = kind
            return super().decide(now, replica_host)

        tick = getattr(kind, "tick", Replica.tick)

    return of_replica(WithLeaderState)


def of_follower_state(kind):
    class WithFollowerState(Replica):
        def __init__(self, config, stored, now):
            super().__init__(config, stored, now)
            self.follower_state.__class__ = kind

    return of_replica(WithFollowerState)


class AcknowledgesBeforeSync(FollowerState):
    def acknowledge(self):
        pending_writes = self.replica.pending_writes
        held, pending_writes.on_disk = pending_writes.on_disk, max(self.verified, pending_writes.on_disk)
        super().acknowledge()
        pending_writes.on_disk = held


class SendsBeforeSync(Replica):
    """Sends votes before they are on disk."""

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
        """Commits like LeaderState, without the check of the entry's term."""
        replica = self.replica
        index = replica.majority(lambda name: self.peers[name].match_index, replica.pending_writes.on_disk)
        if index > replica.committed:
            replica.committed, self.commit_advanced_at = index, now


class CountsLearners(Replica):
    """Counts learners as voters, and doesn't promote them, so that this lasts."""

    def decide(self, now, replica_host):
        if self.leader_state is not None:
            self.leader_state.promote_learner = lambda now: False
        return super().decide(now, replica_host)

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
    """A leader reads at once after a pause or a cut."""

    def tick(self, now):
        self.now = max(now, self.now)

    def decide(self, now, replica_host):
        self.quorum_check_due = now + self.config.election
        return super().decide(now, replica_host)

    def confirm_rounds(self):
        super().confirm_rounds()
        self.confirmed_round = self.round


class TruncatesOnDuplicates(FollowerState):
    """A late duplicate truncates the entries after it."""

    def store(self, prev, entries):
        replica = self.replica
        if prev + 1 >= replica.log.first and entries[0].index <= replica.log.last:
            replica.log.truncate(entries[0].index)
            replica.pending_writes.truncate(entries[0].index)
            replica.refresh_members()
        return super().store(prev, entries)


class IgnoresFolders(Replica):
    def accepts(self, message):
        return message.to == self.name and message.sender != self.name

    def own_membership(self, members):
        return members.get(self.name)


class ReportsNotDone(Replica):
    """Reports commands with an unknown outcome as not done."""

    def refuse(self, ticket, outcome):
        super().refuse(ticket, "not done" if outcome else outcome)


class IgnoresSnapshots(FollowerState):
    def handle_chunk(self, message):
        return None


class MemberDependentLedger(Ledger):
    """A ledger whose state depends on the member."""

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
        lambda replica_host: replica_host.readable(ticket, dispatcher.state, "")
    )


def forgets_ids(dispatcher, host):
    """A restarted member forgets the ids of commands."""
    dispatcher.state = replace(dispatcher.state, answers=Map(), order=Map())


def applies_twice(dispatcher, host):
    """Applies the first entry after a snapshot twice, without its id."""
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
    """Answers a command before it is committed."""
    propose = dispatcher.replica.propose

    def command(now, wall_ms, data, ticket):
        if dispatcher.replica.leader_state is None:
            return propose(now, wall_ms, data, ticket)
        propose(now, wall_ms, data, Change())
        at = dispatcher.replica.last
        dispatcher.ready_answers.append(lambda replica_host: replica_host.answer(ticket, 200, {"at": at}))

    dispatcher.replica.propose = command


def ignores_disk_failure(dispatcher, host):
    """Takes a failed write as written."""
    dispatcher.disk_failed = lambda now, why: dispatcher.written(
        now, dispatcher.replica.pending_writes.number
    )


def depends_on_member(dispatcher, host):
    dispatcher.ledger = MemberDependentLedger(host.name)


def reuses_folder_id(play):
    """A wiped machine comes up with the id of its old folder."""
    cluster, plain = play.cluster, play.cluster.new_folder

    def new_folder(name):
        old = cluster.hosts.get(name)
        return cluster.disk(old.disk.folder) if old else plain(name)

    cluster.new_folder = new_folder


CUTS = ["cut", "cut_in", "cut_out", "kill", "pause", "split"]
FAULTY_VARIANTS = {
    # faulty variant: (checker that has to catch it, how it is injected, kinds of faults that expose it, and
    # the first seed where earlier ones are known to show nothing)
    "acknowledges before sync": ("Acknowledged", of_follower_state(AcknowledgesBeforeSync), []),
    "votes before sync": ("Votes", of_replica(SendsBeforeSync), []),
    "counts its own unsynced": ("Logs", of_replica(CountsOwnUnsynced), ["slow_disk"]),
    "votes twice in a term": ("Votes", of_replica(VotesTwice), ["all", "kill", "late", "hand_over"], 79),
    "votes for shorter logs": ("Leaders", of_replica(VotesForShortLogs), CUTS),
    "commits by an old term": ("Logs", of_leader_state(CommitsOldTerms), CUTS),
    "counts a learner as voter": ("Logs", of_replica(CountsLearners), ["wipe", "cut", "cut_pair"]),
    "commits by a minority": ("Logs", of_replica(CountsMinority), []),
    "leads by a minority": ("Leaders", of_replica(ElectedByFew), CUTS),
    "reads without the leader": ("Linearizability", of_dispatcher(reads_at_once), []),
    "reads without a round": ("Linearizability", of_leader_state(ReadsWithoutRound), ["cut"]),
    "truncates committed entries": ("Logs", of_follower_state(TruncatesOnDuplicates), ["late", "twice"]),
    "ignores folders": ("Votes", of_replica(IgnoresFolders), ["impostor", "kill", "all"]),
    "reuses a folder id": ("Votes", {"setup": reuses_folder_id}, ["impostor", "kill", "all"]),
    "forgets ids on restart": ("SameState", of_dispatcher(forgets_ids), ["kill"]),
    "applies twice after a snapshot": ("SameState", of_dispatcher(applies_twice), ["kill", "all"]),
    "state depends on the member": ("SameState", of_dispatcher(depends_on_member), []),
    "answers before commit": ("CommandOutcomes", of_dispatcher(answers_at_once), []),
    "ignores disk failure": ("Acknowledged", of_dispatcher(ignores_disk_failure), ["broken_disk"]),
    "reports unknown as not done": (
        "CommandOutcomes",
        of_replica(ReportsNotDone),
        ["burst", "kill", "pause"],
        78,
    ),
    "ignores snapshots": ("Live", of_follower_state(IgnoresSnapshots), ["wipe", "kill_long"]),
}


@pytest.mark.parametrize("variant", FAULTY_VARIANTS)
def test_faulty_variant_is_caught(variant):
    checker, injected, kinds, first = (*FAULTY_VARIANTS[variant], 0)[:4]
    seen = set()
    for seed in range(first, first + MAX_SCHEDULES):
        broken = play(draw(seed, kinds), **injected).violation
        if broken is not None:
            seen.add(broken.checker)
            if checker == broken.checker:
                return
    pytest.fail(f"{checker} caught nothing in {MAX_SCHEDULES} schedules; others: {seen}")


def test_broken_schedule_shrinks_and_replays():
    checker, injected, kinds = FAULTY_VARIANTS["reuses a folder id"]
    schedule = next(
        one for one in (draw(seed, kinds) for seed in range(MAX_SCHEDULES)) if breaks(one, checker, injected)
    )
    short = shrink(schedule, lambda one: breaks(one, checker, injected))
    assert len(short.faults) < len(schedule.faults)
    assert [fault.kind for fault in short.faults].count("impostor") == 1
    replayed = eval(repr(short), {"Schedule": Schedule, "InjectedFault": InjectedFault})
    assert replayed == short and breaks(replayed, checker, injected) and not breaks(replayed, checker, {})


def breaks(schedule, checker, injected):
    broken = play(schedule, **injected).violation
    return broken is not None and broken.checker == checker
