"""What a follower accepts from the leader of its term: entries, and a snapshot in chunks.

Every number in a message is checked against the log before it changes anything.
"""

from collections import deque

from .log import MAX_INTEGER, is_valid_entry
from .records import OUTSIDE, AppendResponse, SnapshotChunkResponse

MAX_BACKLOG_ENTRIES = 4096  # not yet submitted to the disk; beyond it no entry is accepted
MAX_QUEUED_CHUNKS = 16  # that the host has not taken yet; beyond it no chunk is accepted


class FollowerState:
    """The state of a replica that concerns the log and the snapshot which it receives from a leader."""

    def __init__(self, replica):
        self.replica = replica
        # The snapshot being received: (base, term of its leader, next offset); received chunks for the host.
        self.receiving, self.chunks = None, deque()
        self.leader_commit = None  # (commit index of the leader, time of receiving it), until it is applied
        self.begin_term()

    def begin_term(self):
        """A new term started. Committed entries are in the log of every later leader; nothing more is known
        of this leader's log."""
        self.verified = self.replica.committed  # the last index known to equal the leader's log
        self.round = -1
        self.acknowledged = self.replica.committed

    def handle_append(self, now, message):
        replica, log, prev, entries = self.replica, self.replica.log, message.prev_index, message.entries
        new_round = message.round > self.round
        self.round = max(self.round, message.round)
        if replica.pending_writes.base is not None:  # a snapshot is being written to disk
            return self.respond_mismatch(message, replica.committed)
        if prev < 0 or message.committed < 0 or not in_order(prev, message.prev_term, entries, message.term):
            return replica.count("garbled")
        if prev > log.last:
            return self.respond_mismatch(message, log.last)
        if prev >= log.first - 1 and log.term(prev) != message.prev_term:
            if prev <= self.verified:
                return replica.count("garbled")
            return self.respond_mismatch(
                message, min(max(log.term_run_start(prev) - 1, self.verified), prev - 1)
            )
        upto = self.store(prev, entries) if entries else prev
        if upto is None:
            return replica.count("garbled")
        self.verified = max(self.verified, upto)
        self.commit(min(message.committed, self.verified))
        if self.leader_commit is None or message.committed < self.leader_commit[0]:
            self.leader_commit = message.committed, self.leader_commit[1] if self.leader_commit else now
        self.applied()
        if new_round or not entries or replica.pending_writes.on_disk >= upto:
            self.acknowledge()

    def commit(self, index):
        replica = self.replica
        if index > replica.committed:
            changing, replica.committed = replica.is_changing_members(), index
            if changing:
                replica.role = replica.resting_role()

    def respond_mismatch(self, message, hint):
        self.replica.reply(message, AppendResponse, match=hint, round=self.round)

    def store(self, prev, entries):
        """Appends the entries that are not yet in the log after `prev`, which matches, and truncates a tail
        that another leader left.

        Returns the index up to which the log now equals the leader's, or None if the entries are invalid or
        would undo what this leader has sent before.
        """
        replica, log = self.replica, self.replica.log
        at = known = min(max(log.last - prev, 0), len(entries))
        for place in range(known):
            entry = entries[place]
            held = log.term(entry.index)
            if held != entry.term and (held is not None or entry.index >= log.first):
                if entry.index <= self.verified:
                    return None
                at = place
                break
        new = entries[at:]
        if not new:
            return prev + len(entries)
        if log.last - replica.pending_writes.submitted + len(new) > MAX_BACKLOG_ENTRIES:
            replica.count("not taken: backlog")
            return prev + at
        if not all(map(is_valid_entry, new)):
            return None
        membership = log.memberships[-1]
        if new[0].index <= log.last:
            replica.count("tails cut")
            log.truncate(new[0].index)
            replica.pending_writes.truncate(new[0].index)
        log.extend(new)
        if membership is not log.memberships[-1]:
            replica.refresh_members()
        elif replica.role == OUTSIDE:
            replica.role = replica.resting_role()
        return new[-1].index

    def acknowledge(self):
        """Sends the leader of this term the index up to which this disk holds its log."""
        replica, config = self.replica, self.replica.config
        self.acknowledged = min(self.verified, replica.pending_writes.on_disk)
        to, seal = replica.leader, replica.leader_seal
        replica.post(
            AppendResponse(
                config.cluster, config.name, config.folder, to, seal, replica.term,
                fits=True, match=self.acknowledged, round=self.round,
            )
        )  # fmt: skip

    def written(self):
        if min(self.verified, self.replica.pending_writes.on_disk) > self.acknowledged:
            self.acknowledge()

    def applied(self):
        """Once the leader's commit index is applied, the applied state is as new as that message was when it
        arrived."""
        if self.leader_commit is not None and self.leader_commit[0] <= self.replica.applied:
            self.replica.fresh_as_of, self.leader_commit = (
                max(self.replica.fresh_as_of, self.leader_commit[1]),
                None,
            )

    def handle_chunk(self, message):
        """Takes chunks of a snapshot in order, drops repeated ones, and responds with the offset needed."""
        replica, base, round = self.replica, message.base, message.round
        self.round = max(self.round, round)
        if not (0 < base.index < MAX_INTEGER and 0 < base.term <= message.term and base.members):
            return replica.count("garbled")
        if not 0 <= base.moment < MAX_INTEGER:
            return replica.count("garbled")
        if base.index <= replica.committed:
            if base.index <= replica.pending_writes.on_disk:
                replica.reply(message, SnapshotChunkResponse, base_index=base.index, done=True, round=round)
            return
        if replica.pending_writes.base is not None:
            return
        if self.receiving is None or self.receiving[:2] != (base, replica.term):
            if self.receiving and self.receiving[1] == replica.term and base.index < self.receiving[0].index:
                return  # a late chunk of a snapshot that its leader has abandoned
            if message.offset:
                return replica.reply(message, SnapshotChunkResponse, base_index=base.index, round=round)
            self.receiving = base, replica.term, 0
        offset = self.receiving[2]
        if message.offset == offset and (message.data or message.last):
            if len(self.chunks) >= MAX_QUEUED_CHUNKS:
                return replica.count("not taken: parts")
            offset += len(message.data)
            self.chunks.append(message)
            self.receiving = base, replica.term, offset
            if message.last:
                self.receiving, self.leader_commit, replica.pending_writes.base = None, None, base
                return
        replica.reply(message, SnapshotChunkResponse, base_index=base.index, offset=offset, round=round)


def in_order(prev, prev_term, entries, term):
    """Whether the entries follow on `prev` and on each other, and none has a later term than the message."""
    before = prev_term
    for entry in entries:
        prev += 1
        if entry.index != prev or not before <= entry.term <= term:
            return False
        before = entry.term
    return 0 <= prev_term <= term and prev < MAX_INTEGER
