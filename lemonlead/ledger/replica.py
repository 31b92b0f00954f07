"""The replication core: Raft with pre-vote, hand-over, one-at-a-time changes of members, learners,
snapshots in pieces and reads without a log write. It is fed messages and moments, and asked for decisions;
it does no I/O and reads no clock. Chapters named are those of Ongaro's dissertation."""

from .records import FOLLOWER


class Replica:
    """One member's part in the log.

    Inputs (each with `now`, nanoseconds of the host's monotonic clock) only update what is known; then
    `decide(now, door)` is called until it returns False: it does one thing through the door at a time."""

    def __init__(self, told, kept, now):
        self.told, self.now, self.name = told, now, told.name
        self.term, self.voted, self.base = kept.term, kept.voted, kept.base
        self.role, self.leader = FOLLOWER, ""  # whom this member believes to lead, empty where it knows none
        self.committed = kept.base.index  # index up to which entries are known to be committed
        self.last = kept.entries[-1].index if kept.entries else kept.base.index
        self.seats = dict(kept.base.members)  # the members as the newest MEMBERS entry in the log has them

        self.fresh = (
            0  # the moment at which what is applied was last known to be what the cluster had committed
        )
        self.failed = ""  # why the disk failed, empty while it works

    def seats_at(self, index):
        """The members as of this entry, which is applied and not yet compacted."""
        return dict(self.seats)

    def reached(self, now):
        """A leader's: names of the members, itself among them, heard within the election time."""
        return {self.name}

    # ---- inputs

    def heard(self, now, message):
        """A message of a peer."""

    def propose(self, now, wall_ms, data, ticket):
        """A command to be committed. Ends by `door.answer` or `door.refuse`, exactly one."""

    def read(self, now, ticket):
        """A read as of now (linearizable, 6.4). Ends by `door.readable` or `door.refuse`."""

    def change(self, now, seats, ticket):
        """Other members: one seat more, less or changed. A new one comes as a learner and is given its
        vote by the leader itself once it has caught up. Ends as `propose` does."""

    def hand_over(self, now, to=""):
        """Leadership goes to the named voter, else the one that is furthest (3.10); nothing where this
        does not lead."""

    def written(self, now, number):
        """The disk holds this Write and all before it."""

    def disk_failed(self, now, why):
        """The disk failed: this member gives leadership up, votes for nobody and acknowledges nothing any
        more."""

    def compacted(self, now, base):
        """The host holds a snapshot of the state as of `base` on disk: entries up to it need not be kept."""

    # ---- decisions

    def decide(self, now, door):
        """Does one thing; whether it did."""
        return False

    def wake_at(self):
        """The moment at which to ask again though nothing happened."""
        return self.now
