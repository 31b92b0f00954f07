"""What a follower takes from the leader of its term: entries, and a snapshot in pieces. Every figure of a
message is held against the log before it changes anything."""

from collections import deque

from .log import BIGGEST, sound
from .records import OUTSIDE, AppendResponse, SnapshotChunkResponse

MOST_BACKLOG = 4096  # entries that the disk has not been given; past it none is taken
MOST_PARTS = 16  # pieces of a snapshot that the host has not taken; past it none is


class FollowerState:
    def __init__(self, replica):
        self.replica = replica
        self.gathering, self.parts = None, deque()  # (base, term of its leader, next offset)
        self.behind = None  # (index that was committed, moment of hearing so), until it is applied
        self.begin()

    def begin(self):
        """A new term: what is committed is in every later leader's log, more is not known of this one's."""
        self.verified, self.round, self.acked = self.replica.committed, -1, self.replica.committed

    def append(self, now, message):
        replica, log, prev, entries = self.replica, self.replica.log, message.prev_index, message.entries
        new_round = message.round > self.round
        self.round = max(self.round, message.round)
        if replica.pending_writes.base is not None:  # a snapshot is on its way to disk
            return self.misfit(message, replica.committed)
        if prev < 0 or message.committed < 0 or not in_order(prev, message.prev_term, entries, message.term):
            return replica.count("garbled")
        if prev > log.last:
            return self.misfit(message, log.last)
        if prev >= log.first - 1 and log.term(prev) != message.prev_term:
            if prev <= self.verified:
                return replica.count("garbled")
            return self.misfit(message, min(max(log.run_start(prev) - 1, self.verified), prev - 1))
        upto = self.take(prev, entries) if entries else prev
        if upto is None:
            return replica.count("garbled")
        self.verified = max(self.verified, upto)
        self.commit(min(message.committed, self.verified))
        if self.behind is None or message.committed < self.behind[0]:
            self.behind = message.committed, self.behind[1] if self.behind else now
        self.applied()
        if new_round or not entries or replica.pending_writes.on_disk >= upto:
            self.acknowledge()

    def commit(self, index):
        replica = self.replica
        if index > replica.committed:
            changing, replica.committed = replica.changing(), index
            if changing:
                replica.role = replica.rest()

    def misfit(self, message, hint):
        self.replica.reply(message, AppendResponse, match=hint, round=self.round)

    def take(self, prev, entries):
        """Puts entries after `prev`, which fits, where they are not there yet; cuts a tail that another
        leader left. The index that the log now fits up to; None where they would undo what this leader has
        sent before, or can be no entries."""
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
        if log.last - replica.pending_writes.submitted + len(new) > MOST_BACKLOG:
            replica.count("not taken: backlog")
            return prev + at
        if not all(map(sound, new)):
            return None
        members = log.memberships[-1]
        if new[0].index <= log.last:
            replica.count("tails cut")
            log.cut(new[0].index)
            replica.pending_writes.cut(new[0].index)
        log.extend(new)
        if members is not log.memberships[-1]:
            replica.refresh_members()
        elif replica.role == OUTSIDE:
            replica.role = replica.rest()
        return new[-1].index

    def acknowledge(self):
        """Tells the leader of this term how far this disk holds its log."""
        replica, config = self.replica, self.replica.config
        self.acked = min(self.verified, replica.pending_writes.on_disk)
        to, seal = replica.leader, replica.leader_seal
        replica.post(
            AppendResponse(
                config.cluster, config.name, config.folder, to, seal, replica.term,
                fits=True, match=self.acked, round=self.round,
            )
        )  # fmt: skip

    def written(self):
        if min(self.verified, self.replica.pending_writes.on_disk) > self.acked:
            self.acknowledge()

    def applied(self):
        """What is applied is as new as the leader's word was when it came."""
        if self.behind is not None and self.behind[0] <= self.replica.applied:
            self.replica.fresh_as_of, self.behind = max(self.replica.fresh_as_of, self.behind[1]), None

    def part(self, message):
        """A piece of a snapshot: taken in order, repeats dropped, the wanted offset told."""
        replica, base, round = self.replica, message.base, message.round
        self.round = max(self.round, round)
        if not (0 < base.index < BIGGEST and 0 < base.term <= message.term and base.members):
            return replica.count("garbled")
        if not 0 <= base.moment < BIGGEST:
            return replica.count("garbled")
        if base.index <= replica.committed:
            if base.index <= replica.pending_writes.on_disk:
                replica.reply(message, SnapshotChunkResponse, base_index=base.index, done=True, round=round)
            return
        if replica.pending_writes.base is not None:
            return
        if self.gathering is None or self.gathering[:2] != (base, replica.term):
            if self.gathering and self.gathering[1] == replica.term and base.index < self.gathering[0].index:
                return  # a late one, of a snapshot that its leader has given up
            if message.offset:
                return replica.reply(message, SnapshotChunkResponse, base_index=base.index, round=round)
            self.gathering = base, replica.term, 0
        offset = self.gathering[2]
        if message.offset == offset and (message.data or message.last):
            if len(self.parts) >= MOST_PARTS:
                return replica.count("not taken: parts")
            offset += len(message.data)
            self.parts.append(message)
            self.gathering = base, replica.term, offset
            if message.last:
                self.gathering, self.behind, replica.pending_writes.base = None, None, base
                return
        replica.reply(message, SnapshotChunkResponse, base_index=base.index, offset=offset, round=round)


def in_order(prev, prev_term, entries, term):
    """Whether entries follow on each other and on `prev`, none of a later term than the message's."""
    before = prev_term
    for entry in entries:
        prev += 1
        if entry.index != prev or not before <= entry.term <= term:
            return False
        before = entry.term
    return 0 <= prev_term <= term and prev < BIGGEST
