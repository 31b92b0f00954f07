"""Decides which member a relay polls and when. Members are tried in turn, with random waits that grow after
failures. A poll asks for the changes after the applied index; members that no longer keep those return the
whole state.

A member that lags, or that knows no leader, may be cut off from the others: what it returns is true but may
be old, so the next member is polled. Responses of a cluster that was replaced by a newly formed one are
ignored."""

import random
from collections import deque
from dataclasses import dataclass

from ..ledger.backoff import Backoff

MS = 1_000_000
# Waits after failures: a random time between half of the current bound and the whole of it.
MIN_BACKOFF_NS = 50 * MS
MAX_BACKOFF_NS = 2000 * MS
# After this time without a response of a member that knows a leader, other relays may have newer state.
CUT_OFF_NS = 10_000 * MS
MAX_LEFT_CLUSTERS = 64  # replaced clusters that are remembered


@dataclass(frozen=True, slots=True)
class PollRequest:
    """One call to a member."""

    member: str
    address: str  # host:port
    path: str


class MemberPolling:
    """The polling state of one relay."""

    def __init__(self, now, members, seed):
        """`members` maps member names to "host:port". `seed` determines the order of the members and the
        random waits."""
        self.members, self.order = dict(members), sorted(members)
        random.Random(seed).shuffle(self.order)
        self.backoff = Backoff(seed, MIN_BACKOFF_NS, MAX_BACKOFF_NS)
        self.member_turn = 0  # counts through `order`
        self.not_before = now
        self.applied_index = 0  # the store has everything up to this index
        self.last_leader_at = now  # last response of a member that knows a leader
        self.cluster, self.left_clusters = "", deque(maxlen=MAX_LEFT_CLUSTERS)
        self.counts = dict.fromkeys(("polls", "failures", "older", "anew"), 0)

    # ---- inputs

    def accept_response(self, now, cluster, at, leader):
        """Returns whether the content of this response is to be applied. `at` is the ledger index as of which
        the response is true, `leader` the leader that the member knows, or an empty string."""
        if cluster in self.left_clusters:
            return self.stale_response(now)
        if cluster != self.cluster and self.cluster:
            self.counts["anew"] += 1
            self.left_clusters.append(self.cluster)
            self.cluster, self.applied_index = cluster, 0
            return False
        if at < self.applied_index:
            return self.stale_response(now)
        self.cluster = cluster
        self.counts["polls"] += 1
        if leader:
            self.last_leader_at = now
            self.backoff.worked()
        else:
            self.failed(now)
        return True

    def stale_response(self, now):
        """Counts a response that is older than the applied state as a failure."""
        self.counts["older"] += 1
        self.failed(now)
        return False

    def state_applied(self, at):
        """Records that the store has everything up to this index."""
        self.applied_index = at

    def failed(self, now, pause=0):
        """Records that a call failed: the next member's turn comes after a wait. `pause` is the time in
        nanoseconds for which the member asked not to be called."""
        self.counts["failures"] += 1
        self.member_turn += 1
        self.not_before = now + max(self.backoff.failed(), min(pause, MAX_BACKOFF_NS))

    # ---- decisions

    def next(self, now):
        """Returns the PollRequest to make now, or None before `wake_at`."""
        if now < self.not_before:
            return None
        member = self.order[self.member_turn % len(self.order)]
        return PollRequest(
            member, self.members[member], f"/v1/events?after={self.applied_index}&parts=entries"
        )

    def wake_at(self):
        """Returns the time from which `next` has a request."""
        return self.not_before

    def is_cut_off(self, now):
        """Returns whether gateways are better served by another relay. A relay that is cut off from the
        members but not from its gateways must not serve them, because they would take its silence for a time
        in which nothing changed."""
        return now - self.last_leader_at >= CUT_OFF_NS
