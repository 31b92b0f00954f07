"""What a leader knows of a peer, and when it is told something next. One that does not answer is asked with
one small message at a time, after waits that grow and are spread by chance."""

from collections import deque

PROBE, STREAM, SNAPSHOT = "probe", "stream", "snapshot"
SLOWEST = 16  # heartbeats: the longest wait before a peer that is silent is asked again
SLOWEST_PART = 12  # heartbeats: the longest wait before a piece of a snapshot is sent again


class Peer:
    def __init__(self, name, seat, last, now, heartbeat):
        self.name, self.seat = name, seat
        self.next, self.match = last + 1, 0  # the next entry to send; the last known to be on its disk
        self.mode, self.waiting = PROBE, False  # whether a probe is out
        self.heard, self.wait, self.due = now, heartbeat, now  # due: when something is sent at the latest
        self.flight = deque()  # the last index of each message with entries not yet answered
        self.round = self.answered = -1  # of heartbeats: sent, answered
        self.announced_commit = 0  # index up to which it was told that entries are committed
        self.base, self.offset, self.part_due, self.part_wait = None, 0, now, heartbeat
        self.goal, self.since, self.caught = last, now, False  # a learner's catching up, by rounds (4.2.1)

    def silent(self, now, election):
        return now - self.heard > election

    def spoke(self, now, heartbeat):
        """A valid answer came."""
        self.heard, self.wait = now, heartbeat
        self.due = min(self.due, now + heartbeat)

    def probe(self, index):
        """Looks from this entry on for where its log is the leader's."""
        self.mode, self.next, self.waiting = PROBE, max(index, self.match + 1), False
        self.flight.clear()

    def matched(self, now, match, last, election):
        """Its disk holds the leader's entries up to `match`. Whether that was news."""
        news = match > self.match
        self.match = max(self.match, match)
        while self.flight and self.flight[0] <= self.match:
            self.flight.popleft()
        if self.mode == PROBE:
            self.mode, self.waiting = STREAM, False
        self.next = max(self.next, self.match + 1)
        if self.match >= self.goal:
            self.caught = now - self.since <= election
            self.goal, self.since = last, now
        return news

    def missed(self, hint):
        """Its log is not the leader's at `next` - 1; `hint`: where to look next."""
        if hint >= self.match and (self.mode == STREAM or hint + 1 < self.next):
            self.probe(max(min(self.next - 1, hint + 1), 1))

    def start_snapshot(self, now, base, heartbeat):
        self.mode, self.base, self.offset = SNAPSHOT, base, 0
        self.part_due, self.part_wait, self.waiting = now, heartbeat * 2, False
        self.flight.clear()

    def wanted(self, now, offset, most, heartbeat):
        """It asks for the snapshot from this byte on. Against garbled ones: none past what it can have."""
        if 0 <= offset <= self.offset + most and offset != self.offset:
            self.offset, self.part_due, self.part_wait = offset, now, heartbeat * 2

    def put_off(self, now, heartbeat, chance):
        """It is silent: the next message waits longer."""
        self.wait = min(self.wait * 2, heartbeat * SLOWEST)
        self.due = now + self.wait + chance.randrange(max(self.wait // 2, 1))

    def put_off_part(self, now, heartbeat, chance):
        self.part_due = now + self.part_wait + chance.randrange(max(self.part_wait // 4, 1))
        self.part_wait = min(self.part_wait * 3 // 2, heartbeat * SLOWEST_PART)
