"""A leader's office: what a replica holds only while it leads, dropped whole when it steps down."""

from collections import deque

import msgspec

from .peers import PROBE, SNAPSHOT, STREAM, Peer
from .records import (
    COMMAND,
    MEMBERS,
    NOT_DONE,
    NOTHING,
    UNKNOWN,
    AppendEntries,
    AppendResponse,
    ConfiguredMember,
    Entry,
    SnapshotChunk,
    TimeoutNow,
)

MOST_ROUNDS = 64  # rounds whose moment is remembered
MOST_BYTES = 64  # messages' worth of data of clients' entries that may wait to be committed
NOTICE = 8  # part of a heartbeat after which an idle peer hears that more is committed
SLOW_DISK = 2  # election times that one Write may take before the leader gives up


class LeaderState:
    def __init__(self, replica, now):
        self.replica, self.config, self.log = replica, replica.config, replica.log
        self.term, self.since = replica.term, now
        self.moment, self.wall_ms = self.log.moment, self.log.wall_ms  # as it took office
        self.peers, self.leaving = {}, []
        self.tickets = deque()  # (index, ticket, bytes) of entries whose end is awaited
        self.bytes = 0  # of clients' entries that wait
        self.asked, self.reads, self.waiting = [], deque(), 0  # without a round; (round, index, tickets)
        self.round, self.rounds, self.confirmed = 0, deque(), -1
        self.beat, self.check, self.moved = now, now + self.config.election, 0
        self.handing = None  # (name, moment at which it is given up)
        self.update_peers(now)
        self.first = self.append(now, NOTHING, b"").index

    # ---- the log

    def append(self, now, what, data, wall_ms=0):
        self.wall_ms = max(self.wall_ms, wall_ms)
        moment = self.moment + max(now - self.since, 0)
        entry = Entry(self.log.last + 1, self.term, what, moment, self.wall_ms, data)
        self.log.extend([entry])
        return entry

    def propose(self, now, wall_ms, data, ticket):
        waits = self.log.last - self.replica.committed >= self.config.uncommitted
        if waits or self.bytes + len(data) > MOST_BYTES * self.config.most_bytes or self.handing:
            self.replica.count("turned away: handing over" if self.handing else "turned away: uncommitted")
            return self.replica.refuse(ticket, NOT_DONE)
        entry = self.append(now, COMMAND, data, wall_ms)
        self.bytes += len(data)
        self.tickets.append((entry.index, ticket, len(data)))

    def applied(self, upto):
        """Entries up to there were given to the state: whoever waits for them is answered."""
        while self.tickets and self.tickets[0][0] <= upto:
            index, ticket, size = self.tickets.popleft()
            self.bytes -= size
            self.replica.ends.append((index, ticket, "", ""))

    def settle(self, now):
        """Counts what a majority of the voters' disks hold; only an entry of the own term is committed by
        counting (3.6.2)."""
        replica = self.replica
        index = replica.majority(lambda name: self.peers[name].match, replica.pending_writes.on_disk)
        if index > replica.committed and self.log.term(index) == self.term:
            replica.committed = index
            self.moved = now
            self.seated(now)

    def seated(self, now):
        """After the newest MEMBERS entry is committed: whoever was removed hears so once and is let go."""
        if self.replica.changing():
            return
        for name in self.leaving:
            if (peer := self.peers.pop(name, None)) is not None and not peer.silent(
                now, self.config.election
            ):
                self.replica.post(self.message(AppendEntries, peer, committed=self.replica.committed))
        self.leaving = []
        if not self.replica.votes():
            self.leave(now)

    def leave(self, now):
        """Removed: the peers hear that it is so, and the furthest that it may lead at once."""
        committed = self.replica.committed
        for peer in self.peers.values():
            self.replica.post(self.message(AppendEntries, peer, committed=committed))
        best = max(self.replica.voters, key=lambda name: (self.peers[name].match, name))
        self.replica.post(self.message(TimeoutNow, self.peers[best]))
        self.replica.step_down(now)

    # ---- members

    def update_peers(self, now):
        """Peers by the newest MEMBERS entry; one that goes is kept until that is committed."""
        members, name = self.log.memberships[-1][1], self.replica.name
        for other, seat in members.items():
            if other != name:
                if other not in self.peers:
                    last = self.log.last
                    self.peers[other] = Peer(other, seat, last, now, self.config.heartbeat)
                self.peers[other].seat = seat
        self.leaving = [other for other in self.peers if other not in members]

    def open(self):
        """Whether the members may be changed now (4.1; and the fix of it: an entry of the own term first)."""
        replica = self.replica
        return not replica.changing() and self.first <= replica.committed and not self.handing

    def change(self, now, members, ticket):
        if not self.open() or not one_apart(self.log.memberships[-1][1], members):
            self.replica.count("turned away: members")
            return self.replica.refuse(ticket, NOT_DONE)
        self.tickets.append((self.seat(now, members), ticket, 0))

    def seat(self, now, members):
        data = msgspec.json.encode(dict(members))
        index = self.append(now, MEMBERS, data).index
        self.update_peers(now)
        self.replica.refresh_members()
        return index

    def promote(self, now):
        """A learner that has caught up gets its vote."""
        members = self.replica.members
        if len(members) == len(self.replica.voters):
            return False
        for name, seat in members.items():
            peer = self.peers.get(name)
            if not seat.votes and peer is not None and peer.caught and peer.mode == STREAM:
                if not self.open() or peer.silent(now, self.config.election):
                    return False
                self.seat(now, {**members, name: ConfiguredMember(seat.address, seat.folder, True)})
                return True
        return False

    # ---- hand-over (3.10)

    def hand_over(self, now, to):
        if self.handing:
            return
        fit = [
            name
            for name in self.replica.voters
            if name != self.replica.name and (to == name or not to) and not self.silent(name, now)
        ]
        if fit:
            to = max(fit, key=lambda name: (self.peers[name].match, name))
            self.handing = to, now + self.config.election, False

    def hand(self, now):
        to, until, sent = self.handing
        peer = self.peers.get(to)
        if now >= until or peer is None or to not in self.replica.voters:
            self.handing = None
            return True
        if not sent and peer.match == self.log.last == self.replica.committed:
            self.handing = to, until, True
            self.replica.post(self.message(TimeoutNow, peer))
            return True
        return False

    # ---- reads (6.4)

    def read(self, ticket):
        if self.waiting >= self.config.waiting:
            self.replica.count("turned away: reads")
            return self.replica.refuse(ticket, NOT_DONE)
        self.waiting += 1
        self.asked.append(ticket)

    def next_round(self, now):
        self.round += 1
        if self.first <= self.replica.committed:
            self.rounds.append((self.round, now, self.replica.committed))
        if len(self.rounds) > MOST_ROUNDS:
            self.rounds.popleft()

    def confirm(self):
        """What a majority answered: reads whose round it was may be answered, once applied so far."""
        replica = self.replica
        self.confirmed = replica.majority(lambda name: self.peers[name].answered, self.round)
        while self.rounds and self.rounds[0][0] <= self.confirmed:
            _, moment, committed = self.rounds.popleft()
            if committed <= replica.applied:
                replica.fresh_as_of = max(replica.fresh_as_of, moment)

    def serve_reads(self, now):
        replica = self.replica
        if self.asked and self.first <= replica.committed and not self.reads:
            self.next_round(now)
            self.assign()
            self.confirm()
        if self.reads:
            round, index, tickets = self.reads[0]
            if round <= self.confirmed and index <= replica.applied:
                self.reads.popleft()
                self.waiting -= len(tickets)
                replica.ends.extend((0, ticket, "", "") for ticket in tickets)
                return True
        return False

    def assign(self):
        if self.asked and self.first <= self.replica.committed:
            self.reads.append((self.round, self.replica.committed, self.asked))
            self.asked = []

    # ---- answers of peers

    def appended(self, now, message):
        peer = self.peers.get(message.sender)
        if peer is None or peer.seat.folder != message.seal or message.round > self.round:
            return
        if isinstance(message, AppendResponse):
            if not 0 <= message.match <= self.log.last:
                return self.replica.count("garbled")
            self.answered(now, peer, message.round)
            if message.fits:
                if peer.mode != SNAPSHOT or message.match >= max(peer.base.index, self.log.first - 1):
                    if peer.mode == SNAPSHOT:
                        peer.probe(message.match + 1)
                    if peer.matched(now, message.match, self.log.last, self.config.election):
                        self.settle(now)
            elif peer.mode != SNAPSHOT:
                peer.missed(message.match)
        else:
            self.answered(now, peer, message.round)
            if peer.mode == SNAPSHOT and message.base_index == peer.base.index:
                if message.done:
                    peer.probe(message.base_index + 1)
                    if peer.matched(now, message.base_index, self.log.last, self.config.election):
                        self.settle(now)
                else:
                    peer.wanted(now, message.offset, self.config.most_bytes, self.config.heartbeat)

    def answered(self, now, peer, round):
        peer.spoke(now, self.config.heartbeat)
        if round > peer.answered:
            peer.answered = round
            self.confirm()

    def canvassed(self, now, name):
        """A peer that seeks a leader is alive, whatever it was before."""
        peer = self.peers.get(name)
        if peer is not None and peer.wait > self.config.heartbeat:
            peer.wait, peer.due = self.config.heartbeat, now

    def silent(self, name, now):
        peer = self.peers.get(name)
        return peer is None or peer.silent(now, self.config.election)

    # ---- decisions

    def decide(self, now, door):
        replica, config = self.replica, self.config
        if now >= self.check:
            heard = replica.majority(lambda name: self.peers[name].heard, now)
            self.check = heard + config.election + 1
            if now >= self.check or replica.pending_writes.slow(now, SLOW_DISK * config.election):
                replica.count("stepped down: no majority" if now >= self.check else "stepped down: slow disk")
                replica.step_down(now)
                return True
            self.check = min(self.check, now + config.election // 2)
        if self.handing and self.hand(now):
            return True
        if now >= self.beat:
            self.beat = now + config.heartbeat
            self.next_round(now)
            self.assign()
            self.confirm()
        if self.serve_reads(now) or self.promote(now):
            return True
        return any(self.feed(now, peer, door) for peer in self.peers.values())

    def feed(self, now, peer, door):
        """Sends a peer the next message, where one is due."""
        config, log, chance = self.config, self.log, self.replica.chance
        if peer.mode != SNAPSHOT and peer.next < log.first:
            peer.start_snapshot(now, self.replica.base, config.heartbeat)
        if peer.silent(now, config.election):
            if now < peer.due:
                return False
            peer.put_off(now, config.heartbeat, chance)
            if peer.mode == SNAPSHOT:
                peer.part_due = min(peer.part_due, now)
            else:
                peer.probe(peer.next)
            return self.send(peer, door, 0)
        if peer.mode == SNAPSHOT and now >= peer.part_due:
            return self.send_chunk(now, peer, door)
        if peer.mode == STREAM and peer.next <= log.last and len(peer.flight) < config.in_flight:
            return self.send(peer, door, config.most_entries)
        if peer.mode == PROBE and (not peer.waiting or now >= peer.due):
            peer.waiting, peer.due = True, now + config.heartbeat
            return self.send(peer, door, config.most_entries)
        notice = (
            peer.announced_commit < self.replica.committed and now >= self.moved + config.heartbeat // NOTICE
        )
        if peer.round < self.round or (notice and not peer.flight):
            return self.send(peer, door, 0)
        return False

    def send(self, peer, door, count):
        """Entries from `next` on, or a heartbeat."""
        log = self.log
        prev = 0 if peer.mode == SNAPSHOT else peer.next - 1
        entries = log.batch(prev + 1, count, self.config.most_bytes) if count and prev < log.last else []
        if entries and peer.mode == STREAM:
            peer.next = entries[-1].index + 1
            peer.flight.append(peer.next - 1)
        peer.round, peer.announced_commit = self.round, self.replica.committed
        term = 0 if peer.mode == SNAPSHOT else log.term(prev)
        message = self.message(
            AppendEntries,
            peer,
            prev_index=prev,
            prev_term=term,
            entries=entries,
            committed=self.replica.committed,
            round=self.round,
        )
        door.send(message)
        return True

    def send_chunk(self, now, peer, door):
        base = self.replica.base
        if peer.base.index != base.index:  # a host keeps one snapshot alone
            peer.start_snapshot(now, base, self.config.heartbeat)
        peer.put_off_part(now, self.config.heartbeat, self.replica.chance)
        peer.round = self.round
        part = self.message(SnapshotChunk, peer, base=peer.base, offset=peer.offset, round=self.round)
        door.send_chunk(peer.name, part, self.config.most_bytes)
        return True

    def message(self, kind, peer, **fields):
        config = self.config
        return kind(
            config.cluster, config.name, config.folder, peer.name, peer.seat.folder, self.term, **fields
        )

    def needed(self, now):
        """The last index that every peer has that answers, or will have once its snapshot is whole."""
        return min(
            (
                peer.base.index if peer.mode == SNAPSHOT else peer.match
                for peer in self.peers.values()
                if not peer.silent(now, self.config.election)
            ),
            default=self.log.last,
        )

    def sends_snapshot(self, now):
        return any(
            peer.mode == SNAPSHOT and not peer.silent(now, self.config.election)
            for peer in self.peers.values()
        )

    def wake_at(self):
        moments = [self.beat, self.check]
        if self.handing:
            moments.append(self.handing[1])
        for peer in self.peers.values():
            if not peer.silent(self.replica.now, self.config.election):
                if peer.mode == SNAPSHOT:
                    moments.append(peer.part_due)
                if peer.announced_commit < self.replica.committed and not peer.flight:
                    moments.append(self.moved + self.config.heartbeat // NOTICE)
                if peer.mode != PROBE:
                    continue
            moments.append(peer.due)
        return min(moments)

    # ---- the end of it

    def close(self):
        """Refuses whoever still waits. Entries that are committed get their answer once applied."""
        replica, kept = self.replica, deque()
        for index, ticket, size in self.tickets:
            if index <= replica.committed and not replica.failed:
                kept.append((index, ticket, size))
            else:
                replica.refuse(ticket, UNKNOWN)
        for ticket in [*self.asked, *(ticket for _, _, tickets in self.reads for ticket in tickets)]:
            replica.refuse(ticket, NOT_DONE)
        return kept


def one_apart(before, after):
    """Whether the members differ by one learner more, one member less, or one address, with a voter left."""
    names = set(before) ^ set(after)
    changed = [name for name in before if name in after and before[name] != after[name]]
    if len(names) + len(changed) != 1 or not any(seat.votes for seat in after.values()):
        return False
    for name in set(after) - set(before):
        return not after[name].votes and all(seat.folder != after[name].folder for seat in before.values())
    return all(
        (before[name].folder, before[name].votes) == (after[name].folder, after[name].votes)
        for name in changed
    )
