"""Which member a relay asks, and when: each in turn, with waits after failures that grow and are spread; the
changes after what it has, or all where the members keep those no more.

A member that lags, or that knows no leader, may be cut off: what it tells is true and may be old, so another
is asked then. The word of a cluster that was left for one formed anew counts for nothing."""

import random
from collections import deque
from dataclasses import dataclass

from ..ledger.backoff import Backoff

MS = 1_000_000
SHORTEST, LONGEST = 50 * MS, 2000 * MS  # waits after failures; half to the whole of it
LOST = 10_000 * MS  # without word of the ledger, what is had may be older than a gateway elsewhere would get
MOST_LEFT = 64  # clusters that were left; past it the oldest is forgotten


@dataclass(frozen=True, slots=True)
class Ask:
    member: str
    address: str  # host:port
    path: str


class MemberPolling:
    def __init__(self, now, members, seed):
        """`members`: name to host:port."""
        self.members, self.order = dict(members), sorted(members)
        random.Random(seed).shuffle(self.order)
        self.waits = Backoff(seed, SHORTEST, LONGEST)
        self.turn, self.not_before = 0, now
        self.at, self.heard = 0, now  # up to where all is had; when the ledger last spoke
        self.cluster, self.gone = "", deque(maxlen=MOST_LEFT)
        self.counts = dict.fromkeys(("polls", "failures", "older", "anew"), 0)

    # ---- inputs

    def answered(self, now, cluster, at, leader):
        """Whether this answer's news are to be taken as they are. `at`: the entry that it is true of."""
        if cluster in self.gone:
            return self.older(now)
        if cluster != self.cluster and self.cluster:
            self.counts["anew"] += 1
            self.gone.append(self.cluster)
            self.cluster, self.at = cluster, 0
            return False
        if at < self.at:
            return self.older(now)
        self.cluster = cluster
        self.counts["polls"] += 1
        if leader:
            self.heard = now
            self.waits.worked()
        else:
            self.failed(now)
        return True

    def older(self, now):
        self.counts["older"] += 1
        self.failed(now)
        return False

    def had(self, at):
        """All up to this entry is in the store."""
        self.at = at

    def failed(self, now, pause=0):
        """The call came to nothing. `pause`: nanoseconds for which the member asks not to be asked."""
        self.counts["failures"] += 1
        self.turn += 1
        self.not_before = now + max(self.waits.failed(), min(pause, LONGEST))

    # ---- decisions

    def next(self, now):
        """What to ask now; None where it is to wait until `wake_at`."""
        if now < self.not_before:
            return None
        member = self.order[self.turn % len(self.order)]
        return Ask(member, self.members[member], f"/v1/events?after={self.at}&parts=entries")

    def wake_at(self):
        return self.not_before

    def is_cut_off(self, now):
        """Whether gateways are better served elsewhere. Against a relay that is cut off from the members and
        not from its gateways: they would take its silence for one in which nothing changed."""
        return now - self.heard >= LOST
