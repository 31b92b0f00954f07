"""What a leader knows of a peer, and when it sends it something next.

A peer that does not respond is sent one small message at a time, after growing, randomized delays.
"""

from collections import deque

# Modes of a peer: looking for the end of the common log, sending entries, or sending the snapshot.
PROBE = "probe"
STREAM = "stream"
SNAPSHOT = "snapshot"

MAX_RETRY_HEARTBEATS = 16  # the longest delay before a silent peer is sent another message
MAX_CHUNK_RETRY_HEARTBEATS = 12  # the longest delay before a snapshot chunk is sent again


class Peer:
    """The replication state of one peer. Times and delays are in nanoseconds."""

    def __init__(self, name, member, last, now, heartbeat):
        self.name = name
        self.member = member
        self.next_index = last + 1  # the next entry to send
        self.match_index = 0  # the last entry known to be on its disk
        self.mode = PROBE
        self.probe_sent = False
        self.last_heard = now
        self.retry_delay = heartbeat
        self.send_due = now  # when something is sent at the latest
        self.in_flight = deque()  # the last index of each message with entries that is not yet answered
        self.sent_round = self.answered_round = -1  # of heartbeats
        self.announced_commit = 0  # the commit index that it was last sent
        self.snapshot_base = None
        self.snapshot_offset = 0
        self.chunk_due = now
        self.chunk_delay = heartbeat
        # A learner catches up in rounds: each ends once the log's end as of its start is on its disk (Raft,
        # 4.2.1).
        self.catch_up_index = last
        self.catch_up_start = now
        self.caught_up = False

    def is_silent(self, now, election):
        return now - self.last_heard > election

    def responded(self, now, heartbeat):
        """A valid response arrived."""
        self.last_heard = now
        self.retry_delay = heartbeat
        self.send_due = min(self.send_due, now + heartbeat)

    def probe(self, index):
        """Starts to look, from this entry on, for the point where its log equals the leader's."""
        self.mode, self.next_index, self.probe_sent = PROBE, max(index, self.match_index + 1), False
        self.in_flight.clear()

    def matched(self, now, match, last, election):
        """Records that its disk holds the leader's entries up to `match`. Returns whether that is news."""
        is_news = match > self.match_index
        self.match_index = max(self.match_index, match)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        if self.mode == PROBE:
            self.mode, self.probe_sent = STREAM, False
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.match_index >= self.catch_up_index:
            self.caught_up = now - self.catch_up_start <= election
            self.catch_up_index = last
            self.catch_up_start = now
        return is_news

    def mismatched(self, hint):
        """Its log differs from the leader's at `next_index` - 1. `hint` is the index to look at next."""
        if hint >= self.match_index and (self.mode == STREAM or hint + 1 < self.next_index):
            self.probe(max(min(self.next_index - 1, hint + 1), 1))

    def start_snapshot(self, now, base, heartbeat):
        self.mode, self.snapshot_base, self.snapshot_offset = SNAPSHOT, base, 0
        self.chunk_due, self.chunk_delay, self.probe_sent = now, heartbeat * 2, False
        self.in_flight.clear()

    def requested_offset(self, now, offset, most, heartbeat):
        """It asks for the snapshot from this byte on. Offsets that it can't have reached are ignored, since
        the message may be garbled."""
        if 0 <= offset <= self.snapshot_offset + most and offset != self.snapshot_offset:
            self.snapshot_offset, self.chunk_due, self.chunk_delay = offset, now, heartbeat * 2

    def back_off(self, now, heartbeat, rng):
        """It is silent, so the next message is sent after a longer delay."""
        self.retry_delay = min(self.retry_delay * 2, heartbeat * MAX_RETRY_HEARTBEATS)
        self.send_due = now + self.retry_delay + rng.randrange(max(self.retry_delay // 2, 1))

    def back_off_chunk(self, now, heartbeat, rng):
        """Schedules when the current snapshot chunk is sent again."""
        self.chunk_due = now + self.chunk_delay + rng.randrange(max(self.chunk_delay // 4, 1))
        self.chunk_delay = min(self.chunk_delay * 3 // 2, heartbeat * MAX_CHUNK_RETRY_HEARTBEATS)
