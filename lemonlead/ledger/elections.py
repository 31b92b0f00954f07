"""Elections: requesting votes and granting them.

A candidate first runs a pre-vote: it asks the voters whether they would vote for it, which changes nothing
anywhere (Raft, 9.6). Only after it wins the pre-vote does it raise the term.
"""

from .leader import LeaderState
from .records import CANDIDATE, LEADER, OUTSIDE, VoteRequest, VoteResponse

SLOW_DISK_ELECTIONS = 2  # election timeouts that a Write may take before this member does not stand
REPEAT_HEARTBEATS = 2  # heartbeats before a voter that has not responded is asked again


class Candidacy:
    """A pre-vote (`early`) or an election in progress. `handed`: the old leader asked for it."""

    def __init__(self, replica, now, early, handed=False):
        self.replica = replica
        self.early = early
        self.handed = handed
        self.votes = {replica.name}
        self.request_votes(now)

    def request_votes(self, now):
        """Asks each voter that has not given its vote."""
        replica, config, log = self.replica, self.replica.config, self.replica.log
        self.repeat_at = now + REPEAT_HEARTBEATS * config.heartbeat
        for name in replica.voters:
            if name not in self.votes:
                message = VoteRequest(
                    config.cluster, config.name, config.folder,
                    name, replica.members[name].folder, replica.term,
                    last_index=log.last, last_term=log.last_term, early=self.early, handed=self.handed,
                )  # fmt: skip
                replica.post(message)

    def decide(self, now):
        if now < self.repeat_at:
            return False
        self.request_votes(now)
        return True

    def handle_response(self, now, message):
        replica = self.replica
        if message.sender not in replica.voters or message.early != self.early or not message.given:
            return
        if message.early or message.term == replica.term:
            self.votes.add(message.sender)
            self.count_votes(now)

    def count_votes(self, now):
        """Continues if a majority gave its vote. The own vote counts once it is on disk, like any other."""
        replica, given = self.replica, self.votes
        if not self.early and replica.term_write > replica.pending_writes.done:
            given = given - {replica.name}
        if sum(name in given for name in replica.voters) < replica.quorum:
            return
        if self.early:
            return start_election(replica, now, False)
        replica.count("elected")
        replica.role, replica.leader, replica.candidacy = LEADER, replica.name, None
        replica.leader_state = LeaderState(replica, now)


def start_pre_vote(replica, now):
    """The election timeout has passed without contact from a leader."""
    replica.step_down(now)
    replica.reset_election_timer(now)
    replica.leader = ""
    if replica.may_stand() and not replica.pending_writes.is_slow(
        now, SLOW_DISK_ELECTIONS * replica.config.election
    ):
        replica.count("stood")
        replica.role, replica.candidacy = CANDIDATE, Candidacy(replica, now, True)
        replica.candidacy.count_votes(now)


def start_election(replica, now, handed):
    """Starts the election itself, in a new term."""
    replica.begin_term(replica.term + 1, replica.name)
    replica.role, replica.candidacy = CANDIDATE, Candidacy(replica, now, False, handed)
    replica.reset_election_timer(now)


def handle_timeout_now(replica, now, message):
    """The leader asks this member to start an election immediately (Raft, 3.10)."""
    if replica.leader_state is None and replica.may_stand() and message.sender == replica.leader:
        replica.count("took over")
        start_election(replica, now, True)


def handle_vote_request(replica, now, message):
    """A member asks for a vote. While this member is in contact with a leader, the request changes nothing
    here (4.2.3), unless the leader itself started the election."""
    if replica.leader_state is not None:
        replica.leader_state.note_vote_request(now, message.sender)
    if message.term < replica.term:
        return replica.reply(message, VoteResponse, early=message.early)
    recent_contact = now - replica.last_leader_contact < replica.config.election
    if (replica.leader_state is not None or replica.leader and recent_contact) and not message.handed:
        return replica.count("canvass while led")
    if message.term > replica.term and not message.early:
        replica.adopt_term(now, message.term)
    if replica.resting_role() == OUTSIDE or replica.pending_writes.base is not None:
        return
    up_to_date = (message.last_term, message.last_index) >= (replica.log.last_term, replica.log.last)
    if message.early:
        return replica.reply(message, VoteResponse, given=up_to_date, early=True)
    given = replica.voted == message.sender and replica.voted_seal in ("", message.seal)
    if up_to_date and not replica.voted:
        replica.grant_vote(now, message)
        given = True
    replica.reply(message, VoteResponse, given=given)
