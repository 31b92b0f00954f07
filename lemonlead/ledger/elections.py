"""Elections: a member stands, others give their ballot. First all that would be asked are asked whether they
would vote (9.6), which changes nothing anywhere; only then the term moves."""

from .leader import LeaderState
from .records import CANDIDATE, LEADER, OUTSIDE, VoteRequest, VoteResponse

SLOW_DISK = 2  # election times that one Write may take before this member does not stand
AGAIN = 2  # heartbeats before whoever has not answered is asked again


class Candidacy:
    def __init__(self, replica, now, early, handed=False):
        self.replica, self.early, self.handed = replica, early, handed
        self.ballots = {replica.name}
        self.canvass(now)

    def canvass(self, now):
        """Asks each voter that has not given its vote."""
        replica, config, log = self.replica, self.replica.config, self.replica.log
        self.again = now + AGAIN * config.heartbeat
        for name in replica.voters:
            if name not in self.ballots:
                message = VoteRequest(
                    config.cluster, config.name, config.folder,
                    name, replica.members[name].folder, replica.term,
                    last_index=log.last, last_term=log.last_term, early=self.early, handed=self.handed,
                )  # fmt: skip
                replica.post(message)

    def decide(self, now):
        if now < self.again:
            return False
        self.canvass(now)
        return True

    def ballot(self, now, message):
        replica = self.replica
        if message.sender not in replica.voters or message.early != self.early or not message.given:
            return
        if message.early or message.term == replica.term:
            self.ballots.add(message.sender)
            self.elect(now)

    def elect(self, now):
        """Goes on where a majority gave its vote. One's own counts once it is on disk, as any other."""
        replica, given = self.replica, self.ballots
        if not self.early and replica.term_after > replica.pending_writes.done:
            given = given - {replica.name}
        if sum(name in given for name in replica.voters) < replica.quorum:
            return
        if self.early:
            return stand_now(replica, now, False)
        replica.count("elected")
        replica.role, replica.leader, replica.candidacy = LEADER, replica.name, None
        replica.leader_state = LeaderState(replica, now)


def stand(replica, now):
    """Nothing was heard of a leader for long."""
    replica.step_down(now)
    replica.listen(now)
    replica.leader = ""
    if replica.may_stand() and not replica.pending_writes.slow(now, SLOW_DISK * replica.config.election):
        replica.count("stood")
        replica.role, replica.candidacy = CANDIDATE, Candidacy(replica, now, True)
        replica.candidacy.elect(now)


def stand_now(replica, now, handed):
    """The election itself."""
    replica.begin(replica.term + 1, replica.name)
    replica.role, replica.candidacy = CANDIDATE, Candidacy(replica, now, False, handed)
    replica.listen(now)


def take_over(replica, now, message):
    """The leader asks this member to stand at once (3.10)."""
    if replica.leader_state is None and replica.may_stand() and message.sender == replica.leader:
        replica.count("took over")
        stand_now(replica, now, True)


def canvassed(replica, now, message):
    """Someone stands. While a leader is heard of, that changes nothing here (4.2.3), unless the leader
    itself asked for it."""
    if replica.leader_state is not None:
        replica.leader_state.canvassed(now, message.sender)
    if message.term < replica.term:
        return replica.reply(message, VoteResponse, early=message.early)
    lately = now - replica.heard_leader < replica.config.election
    if (replica.leader_state is not None or replica.leader and lately) and not message.handed:
        return replica.count("canvass while led")
    if message.term > replica.term and not message.early:
        replica.adopt(now, message.term)
    if replica.rest() == OUTSIDE or replica.pending_writes.base is not None:
        return
    ahead = (message.last_term, message.last_index) >= (replica.log.last_term, replica.log.last)
    if message.early:
        return replica.reply(message, VoteResponse, given=ahead, early=True)
    given = replica.voted == message.sender and replica.voted_seal in ("", message.seal)
    if ahead and not replica.voted:
        replica.vote(now, message)
        given = True
    replica.reply(message, VoteResponse, given=given)
