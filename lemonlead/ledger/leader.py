"""The state that a replica has only while it leads. It is dropped when the replica steps down.

Section numbers in comments refer to Ongaro's dissertation on Raft (see the package's docstring)."""

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

MAX_ROUNDS = 64  # heartbeat rounds whose time is remembered
MAX_PENDING_BYTES_FACTOR = 64  # limit of uncommitted client bytes, as a multiple of `most_bytes`
COMMIT_NOTICE_DIVISOR = 8  # an idle peer is sent a new commit index after this part of a heartbeat
SLOW_DISK_ELECTIONS = 2  # election timeouts that one Write may take before the leader steps down


class LeaderState:
    """What a leader knows: its peers, proposals and reads that wait, and a leadership transfer."""

    def __init__(self, replica, now):
        self.replica = replica
        self.config = replica.config
        self.log = replica.log
        self.term = replica.term
        self.started_at = now
        self.start_moment = self.log.moment  # the ledger time at `started_at`
        self.wall_ms = self.log.wall_ms
        self.peers, self.removed_peers = {}, []  # `removed_peers`: names that are no longer in the membership
        self.pending = deque()  # (index, ticket, bytes) of entries whose result is awaited
        self.pending_bytes = 0  # of client entries
        self.unassigned_reads = []  # tickets of reads that have no heartbeat round yet
        self.reads = deque()  # (round, index, tickets) of reads that wait for their round and index
        self.waiting_reads = 0  # number of reads in both
        self.round = 0  # number of the current heartbeat round
        self.rounds = deque()  # rounds that are not confirmed yet
        self.confirmed_round = -1  # the newest round that a majority has answered
        self.heartbeat_due = now
        self.quorum_check_due = now + self.config.election
        self.commit_advanced_at = 0
        self.transfer = None  # (name, time at which it is given up, whether TimeoutNow was sent)
        self.update_peers(now)
        self.first_index = self.append_entry(now, NOTHING, b"").index

    # ---- the log

    def append_entry(self, now, what, data, wall_ms=0):
        self.wall_ms = max(self.wall_ms, wall_ms)
        moment = self.start_moment + max(now - self.started_at, 0)
        entry = Entry(self.log.last + 1, self.term, what, moment, self.wall_ms, data)
        self.log.extend([entry])
        return entry

    def propose(self, now, wall_ms, data, ticket):
        full = self.log.last - self.replica.committed >= self.config.uncommitted
        if (
            full
            or self.pending_bytes + len(data) > MAX_PENDING_BYTES_FACTOR * self.config.most_bytes
            or self.transfer
        ):
            self.replica.count("turned away: handing over" if self.transfer else "turned away: uncommitted")
            return self.replica.refuse(ticket, NOT_DONE)
        entry = self.append_entry(now, COMMAND, data, wall_ms)
        self.pending_bytes += len(data)
        self.pending.append((entry.index, ticket, len(data)))

    def applied(self, upto):
        """The entries up to `upto` were applied to the state, so their callers get a result."""
        while self.pending and self.pending[0][0] <= upto:
            index, ticket, size = self.pending.popleft()
            self.pending_bytes -= size
            self.replica.results.append((index, ticket, "", ""))

    def advance_commit(self, now):
        """Advances the commit index to what a majority of the voters have on disk. Only an entry of
        the current term is committed by counting replicas; earlier ones are committed with it (Raft,
        3.6.2)."""
        replica = self.replica
        index = replica.majority(lambda name: self.peers[name].match_index, replica.pending_writes.on_disk)
        if index > replica.committed and self.log.term(index) == self.term:
            replica.committed = index
            self.commit_advanced_at = now
            self.finish_member_change(now)

    def finish_member_change(self, now):
        """Once the newest MEMBERS entry is committed, notifies each removed peer once and forgets it."""
        if self.replica.is_changing_members():
            return
        for name in self.removed_peers:
            if (peer := self.peers.pop(name, None)) is not None and not peer.is_silent(
                now, self.config.election
            ):
                self.replica.post(self.message(AppendEntries, peer, committed=self.replica.committed))
        self.removed_peers = []
        if not self.replica.is_voter():
            self.leave(now)

    def leave(self, now):
        """This leader was removed: notifies its peers and lets the one with the most entries lead at once."""
        committed = self.replica.committed
        for peer in self.peers.values():
            self.replica.post(self.message(AppendEntries, peer, committed=committed))
        best = max(self.replica.voters, key=lambda name: (self.peers[name].match_index, name))
        self.replica.post(self.message(TimeoutNow, self.peers[best]))
        self.replica.step_down(now)

    # ---- membership

    def update_peers(self, now):
        """Creates peers for the newest MEMBERS entry. A removed one is kept until that entry is committed."""
        members, name = self.log.memberships[-1][1], self.replica.name
        for other, member in members.items():
            if other != name:
                if other not in self.peers:
                    last = self.log.last
                    self.peers[other] = Peer(other, member, last, now, self.config.heartbeat)
                self.peers[other].member = member
        self.removed_peers = [other for other in self.peers if other not in members]

    def may_change_members(self):
        """Whether the members may be changed now: no change is in progress, and an entry of the current
        term is committed (Raft, 4.1 and its published correction)."""
        replica = self.replica
        return (
            not replica.is_changing_members() and self.first_index <= replica.committed and not self.transfer
        )

    def change_members(self, now, members, ticket):
        if not self.may_change_members() or not is_single_member_change(self.log.memberships[-1][1], members):
            self.replica.count("turned away: members")
            return self.replica.refuse(ticket, NOT_DONE)
        self.pending.append((self.append_members(now, members), ticket, 0))

    def append_members(self, now, members):
        data = msgspec.json.encode(dict(members))
        index = self.append_entry(now, MEMBERS, data).index
        self.update_peers(now)
        self.replica.refresh_members()
        return index

    def promote_learner(self, now):
        """Gives a learner that has caught up its vote. Returns whether it did."""
        members = self.replica.members
        if len(members) == len(self.replica.voters):
            return False
        for name, member in members.items():
            peer = self.peers.get(name)
            if not member.votes and peer is not None and peer.caught_up and peer.mode == STREAM:
                if not self.may_change_members() or peer.is_silent(now, self.config.election):
                    return False
                self.append_members(
                    now, {**members, name: ConfiguredMember(member.address, member.folder, True)}
                )
                return True
        return False

    # ---- leadership transfer (Raft, 3.10)

    def hand_over(self, now, to):
        if self.transfer:
            return
        eligible = [
            name
            for name in self.replica.voters
            if name != self.replica.name and (to == name or not to) and not self.is_silent(name, now)
        ]
        if eligible:
            to = max(eligible, key=lambda name: (self.peers[name].match_index, name))
            self.transfer = to, now + self.config.election, False

    def continue_transfer(self, now):
        to, until, sent = self.transfer
        peer = self.peers.get(to)
        if now >= until or peer is None or to not in self.replica.voters:
            self.transfer = None
            return True
        if not sent and peer.match_index == self.log.last == self.replica.committed:
            self.transfer = to, until, True
            self.replica.post(self.message(TimeoutNow, peer))
            return True
        return False

    # ---- reads (Raft, 6.4)

    def read(self, ticket):
        if self.waiting_reads >= self.config.waiting:
            self.replica.count("turned away: reads")
            return self.replica.refuse(ticket, NOT_DONE)
        self.waiting_reads += 1
        self.unassigned_reads.append(ticket)

    def start_round(self, now):
        self.round += 1
        if self.first_index <= self.replica.committed:
            self.rounds.append((self.round, now, self.replica.committed))
        if len(self.rounds) > MAX_ROUNDS:
            self.rounds.popleft()

    def confirm_rounds(self):
        """Updates the newest round that a majority has answered. Reads of confirmed rounds may be answered
        once their index is applied."""
        replica = self.replica
        self.confirmed_round = replica.majority(lambda name: self.peers[name].answered_round, self.round)
        while self.rounds and self.rounds[0][0] <= self.confirmed_round:
            _, time, committed = self.rounds.popleft()
            if committed <= replica.applied:
                replica.fresh_as_of = max(replica.fresh_as_of, time)

    def serve_reads(self, now):
        replica = self.replica
        if self.unassigned_reads and self.first_index <= replica.committed and not self.reads:
            self.start_round(now)
            self.assign_reads()
            self.confirm_rounds()
        if self.reads:
            round, index, tickets = self.reads[0]
            if round <= self.confirmed_round and index <= replica.applied:
                self.reads.popleft()
                self.waiting_reads -= len(tickets)
                replica.results.extend((0, ticket, "", "") for ticket in tickets)
                return True
        return False

    def assign_reads(self):
        """Assigns the reads that have no round yet to the current one."""
        if self.unassigned_reads and self.first_index <= self.replica.committed:
            self.reads.append((self.round, self.replica.committed, self.unassigned_reads))
            self.unassigned_reads = []

    # ---- responses of peers

    def handle_response(self, now, message):
        """Handles an AppendResponse or a SnapshotChunkResponse."""
        peer = self.peers.get(message.sender)
        if peer is None or peer.member.folder != message.seal or message.round > self.round:
            return
        if isinstance(message, AppendResponse):
            if not 0 <= message.match <= self.log.last:
                return self.replica.count("garbled")
            self.note_response(now, peer, message.round)
            if message.fits:
                if peer.mode != SNAPSHOT or message.match >= max(
                    peer.snapshot_base.index, self.log.first - 1
                ):
                    if peer.mode == SNAPSHOT:
                        peer.probe(message.match + 1)
                    if peer.matched(now, message.match, self.log.last, self.config.election):
                        self.advance_commit(now)
            elif peer.mode != SNAPSHOT:
                peer.mismatched(message.match)
        else:
            self.note_response(now, peer, message.round)
            if peer.mode == SNAPSHOT and message.base_index == peer.snapshot_base.index:
                if message.done:
                    peer.probe(message.base_index + 1)
                    if peer.matched(now, message.base_index, self.log.last, self.config.election):
                        self.advance_commit(now)
                else:
                    peer.requested_offset(now, message.offset, self.config.most_bytes, self.config.heartbeat)

    def note_response(self, now, peer, round):
        peer.responded(now, self.config.heartbeat)
        if round > peer.answered_round:
            peer.answered_round = round
            self.confirm_rounds()

    def note_vote_request(self, now, name):
        """A peer that requests votes is alive, so its retry delay is reset to one heartbeat."""
        peer = self.peers.get(name)
        if peer is not None and peer.retry_delay > self.config.heartbeat:
            peer.retry_delay, peer.send_due = self.config.heartbeat, now

    def is_silent(self, name, now):
        peer = self.peers.get(name)
        return peer is None or peer.is_silent(now, self.config.election)

    # ---- decisions

    def decide(self, now, host):
        replica, config = self.replica, self.config
        if now >= self.quorum_check_due:
            majority_heard = replica.majority(lambda name: self.peers[name].last_heard, now)
            self.quorum_check_due = majority_heard + config.election + 1
            if now >= self.quorum_check_due or replica.pending_writes.is_slow(
                now, SLOW_DISK_ELECTIONS * config.election
            ):
                replica.count(
                    "stepped down: no majority" if now >= self.quorum_check_due else "stepped down: slow disk"
                )
                replica.step_down(now)
                return True
            self.quorum_check_due = min(self.quorum_check_due, now + config.election // 2)
        if self.transfer and self.continue_transfer(now):
            return True
        if now >= self.heartbeat_due:
            self.heartbeat_due = now + config.heartbeat
            self.start_round(now)
            self.assign_reads()
            self.confirm_rounds()
        if self.serve_reads(now) or self.promote_learner(now):
            return True
        return any(self.send_next(now, peer, host) for peer in self.peers.values())

    def send_next(self, now, peer, host):
        """Sends a peer its next message if one is due. Returns whether it did."""
        config, log, rng = self.config, self.log, self.replica.rng
        if peer.mode != SNAPSHOT and peer.next_index < log.first:
            peer.start_snapshot(now, self.replica.base, config.heartbeat)
        if peer.is_silent(now, config.election):
            if now < peer.send_due:
                return False
            peer.back_off(now, config.heartbeat, rng)
            if peer.mode == SNAPSHOT:
                peer.chunk_due = min(peer.chunk_due, now)
            else:
                peer.probe(peer.next_index)
            return self.send_entries(peer, host, 0)
        if peer.mode == SNAPSHOT and now >= peer.chunk_due:
            return self.send_chunk(now, peer, host)
        if peer.mode == STREAM and peer.next_index <= log.last and len(peer.in_flight) < config.in_flight:
            return self.send_entries(peer, host, config.most_entries)
        if peer.mode == PROBE and (not peer.probe_sent or now >= peer.send_due):
            peer.probe_sent, peer.send_due = True, now + config.heartbeat
            return self.send_entries(peer, host, config.most_entries)
        notice_due = (
            peer.announced_commit < self.replica.committed
            and now >= self.commit_advanced_at + config.heartbeat // COMMIT_NOTICE_DIVISOR
        )
        if peer.sent_round < self.round or (notice_due and not peer.in_flight):
            return self.send_entries(peer, host, 0)
        return False

    def send_entries(self, peer, host, count):
        """Sends up to `count` entries from `next_index` on, or a heartbeat."""
        log = self.log
        prev = 0 if peer.mode == SNAPSHOT else peer.next_index - 1
        entries = log.batch(prev + 1, count, self.config.most_bytes) if count and prev < log.last else []
        if entries and peer.mode == STREAM:
            peer.next_index = entries[-1].index + 1
            peer.in_flight.append(peer.next_index - 1)
        peer.sent_round, peer.announced_commit = self.round, self.replica.committed
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
        host.send(message)
        return True

    def send_chunk(self, now, peer, host):
        base = self.replica.base
        # The host keeps only one snapshot. If it was replaced, the transfer starts again.
        if peer.snapshot_base.index != base.index:
            peer.start_snapshot(now, base, self.config.heartbeat)
        peer.back_off_chunk(now, self.config.heartbeat, self.replica.rng)
        peer.sent_round = self.round
        chunk = self.message(
            SnapshotChunk, peer, base=peer.snapshot_base, offset=peer.snapshot_offset, round=self.round
        )
        host.send_chunk(peer.name, chunk, self.config.most_bytes)
        return True

    def message(self, kind, peer, **fields):
        config = self.config
        return kind(
            config.cluster, config.name, config.folder, peer.name, peer.member.folder, self.term, **fields
        )

    def lowest_peer_index(self, now):
        """Returns the last index that all responding peers have, or will have with their snapshot."""
        return min(
            (
                peer.snapshot_base.index if peer.mode == SNAPSHOT else peer.match_index
                for peer in self.peers.values()
                if not peer.is_silent(now, self.config.election)
            ),
            default=self.log.last,
        )

    def sends_snapshot(self, now):
        return any(
            peer.mode == SNAPSHOT and not peer.is_silent(now, self.config.election)
            for peer in self.peers.values()
        )

    def wake_at(self):
        times = [self.heartbeat_due, self.quorum_check_due]
        if self.transfer:
            times.append(self.transfer[1])
        for peer in self.peers.values():
            if not peer.is_silent(self.replica.now, self.config.election):
                if peer.mode == SNAPSHOT:
                    times.append(peer.chunk_due)
                if peer.announced_commit < self.replica.committed and not peer.in_flight:
                    times.append(self.commit_advanced_at + self.config.heartbeat // COMMIT_NOTICE_DIVISOR)
                if peer.mode != PROBE:
                    continue
            times.append(peer.send_due)
        return min(times)

    # ---- stepping down

    def refuse_waiting_calls(self):
        """Refuses all waiting calls. Returns the tickets of committed entries, which are answered once they
        are applied."""
        replica, kept = self.replica, deque()
        for index, ticket, size in self.pending:
            if index <= replica.committed and not replica.failed:
                kept.append((index, ticket, size))
            else:
                replica.refuse(ticket, UNKNOWN)
        for ticket in [
            *self.unassigned_reads,
            *(ticket for _, _, tickets in self.reads for ticket in tickets),
        ]:
            replica.refuse(ticket, NOT_DONE)
        return kept


def is_single_member_change(before, after):
    """Whether the two memberships differ by one new learner, one removed member or one changed address, and a
    voter is left."""
    names = set(before) ^ set(after)
    changed = [name for name in before if name in after and before[name] != after[name]]
    if len(names) + len(changed) != 1 or not any(member.votes for member in after.values()):
        return False
    for name in set(after) - set(before):
        return not after[name].votes and all(
            member.folder != after[name].folder for member in before.values()
        )
    return all(
        (before[name].folder, before[name].votes) == (after[name].folder, after[name].votes)
        for name in changed
    )
