"""Helpers for tests of the replica: replicas in a given state, and a small network in simulated time."""

import random

import msgspec

from lemonlead.ledger import records as r
from lemonlead.ledger.replica import Replica

MS = 1_000_000
NOW = 1_000_000 * MS
ELECTION = 1000 * MS
BEAT = 150 * MS


def members_of(names="abc", learners=""):
    return {
        name: r.ConfiguredMember(f"127.0.0.1:{ord(name)}", f"folder-{name}", name not in learners)
        for name in names
    }


def entry(index, term, what=r.COMMAND, data=b"{}", moment=0):
    return r.Entry(index, term, what, moment, 0, data)


def members_entry(index, term, wanted):
    return entry(index, term, r.MEMBERS, msgspec.json.encode(wanted))


def entries(terms, start=2):
    """Returns entries of these terms from index 2 on, since the base has index 1 and term 1."""
    return [entry(start + at, term) for at, term in enumerate(terms)]


def replica_config(name="a", **more):
    return r.ReplicaConfig("c1", name, f"folder-{name}", 7, **more)


def new_replica(name="a", names="abc", learners="", terms=(), term=None, voted="", log=None, **more):
    """Returns a replica that has just started with entries of these terms in its log."""
    log = entries(terms) if log is None else log
    term = term or max([1, *(one.term for one in log)])
    kept = r.StoredState(term, voted, r.SnapshotBase(1, 1, members_of(names, learners)), log)
    return Replica(replica_config(name, **more), kept, NOW)


def message(kind, sender, to="a", term=1, **fields):
    return kind("c1", sender, f"folder-{sender}", to, f"folder-{to}", term, **fields)


class Host:
    """A ReplicaHost that records its calls."""

    def __init__(self):
        self.sent = []
        self.writes = []
        self.applied = []
        self.results = {}
        self.chunks = []

    def send(self, sent):
        self.sent.append(sent)

    def write(self, write):
        self.writes.append(write)

    def commit(self, committed_entries):
        self.applied += committed_entries

    def end(self, ticket, outcome):
        assert ticket not in self.results, "ended twice"
        self.results[ticket] = outcome

    def answer(self, ticket, index):
        self.end(ticket, index)

    def readable(self, ticket):
        self.end(ticket, "readable")

    def refuse(self, ticket, outcome, leader):
        self.end(ticket, outcome)

    def send_chunk(self, peer, chunk, most):
        self.sent.append(chunk)

    def receive_chunk(self, chunk):
        self.chunks.append(chunk)

    def kinds(self):
        return [type(sent) for sent in self.sent]

    def decide_all(self, replica, now, sync=True):
        """Calls `decide` until nothing is left to do. Returns the messages sent.

        With `sync`, each Write is on disk at once.
        """
        self.sent = []
        turns = 0
        while True:
            while replica.decide(now, self):
                turns += 1
                assert turns < 20_000, "decide never returns False"
            if not sync or not self.writes:
                return self.sent
            number, self.writes = self.writes[-1].number, []
            replica.written(now, number)


def elect(replica, host, now=None, sync=True):
    """Makes the replica the leader of the next term by its peers' votes. Returns the time of it."""
    now = now or replica.election_deadline
    for at in range(replica.now, now, ELECTION // 2):
        replica.tick(at)
    replica.election_deadline = now
    host.decide_all(replica, now, sync=True)
    for early in (True, False):
        for name in replica.voters:
            if name != replica.name and replica.candidacy is not None:
                replica.receive(
                    now,
                    message(r.VoteResponse, name, replica.name, replica.term, given=True, early=early),
                )
                if replica.candidacy is not None and replica.candidacy.early is not early:
                    break
        host.decide_all(replica, now, sync=sync or early)
    assert replica.role == r.LEADER
    return now


def ack(replica, now, name, match=None, round=None, **more):
    """Delivers a peer's acknowledgement of all that it was sent."""
    match = replica.last if match is None else match
    round = replica.leader_state.round if round is None else round
    fields = {"fits": True, "match": match, "round": round, **more}
    replica.receive(now, message(r.AppendResponse, name, replica.name, replica.term, **fields))


class Member:
    """A member of a network: its replica, its disk, and its snapshots. The state is the list of applied
    entries."""

    def __init__(self, net, name, kept, **more):
        self.net = net
        self.name = name
        self.more = more
        self.disk = kept
        self.snapshots = {kept.base.index: b""}  # index to bytes
        self.start()

    def start(self):
        self.replica = Replica(replica_config(self.name, **self.more), self.disk_copy(), self.net.now)
        self.writes = []
        self.state = self.snapshots[self.disk.base.index]
        self.received_chunks = b""
        self.frozen = False
        self.up = True

    def disk_copy(self):
        return r.StoredState(self.disk.term, self.disk.voted, self.disk.base, list(self.disk.entries))

    # callbacks of ReplicaHost

    def send(self, sent):
        self.net.send(sent)

    def write(self, write):
        delay = self.net.rng.randrange(self.net.disk_delay + 1)
        last = self.writes[-1][0] if self.writes else 0
        self.writes.append((max(self.net.now + delay, last), write))

    def commit(self, committed_entries):
        for one in committed_entries:
            assert one.index == self.at + 1
            self.state += b"%d/%d " % (one.index, one.term)
            assert self.net.history.setdefault(one.index, one) == one, "two commits at one index"

    @property
    def at(self):
        return int(self.state.split()[-1].split(b"/")[0]) if self.state else 1

    def answer(self, ticket, index):
        self.net.end(ticket, index)

    def readable(self, ticket):
        self.net.end(ticket, ("readable", self.at))

    def refuse(self, ticket, outcome, leader):
        self.net.end(ticket, outcome)

    def send_chunk(self, peer, chunk, most):
        data = self.snapshots.get(chunk.base.index)
        if data is not None:
            piece = data[chunk.offset : chunk.offset + most]
            last = chunk.offset + most >= len(data)
            self.net.send(msgspec.structs.replace(chunk, data=piece, last=last))

    def receive_chunk(self, chunk):
        self.received_chunks = (b"" if chunk.offset == 0 else self.received_chunks) + chunk.data

    # the simulated machine

    def act(self):
        now = self.net.now
        if not self.up or self.frozen:
            return
        while self.writes and self.writes[0][0] <= now:
            self.to_disk(self.writes.pop(0)[1])
        while self.replica.decide(now, self):
            pass

    def to_disk(self, write):
        disk = self.disk
        disk.term = write.term
        disk.voted = write.voted
        if write.cut is not None:
            disk.entries = [one for one in disk.entries if one.index < write.cut]
        disk.entries += [one for one in write.entries if one.index > disk.base.index]
        if write.base is not None:
            disk.base = write.base
            disk.entries = [one for one in disk.entries if one.index > write.base.index]
            self.snapshots[write.base.index] = self.state = self.received_chunks
        assert [one.index for one in disk.entries] == [
            disk.base.index + 1 + at for at in range(len(disk.entries))
        ]
        self.replica.written(self.net.now, write.number)

    def compact(self):
        """Takes a snapshot of the applied state."""
        if self.at <= self.disk.base.index or self.replica.pending_writes.base:
            return
        while self.writes:
            self.to_disk(self.writes.pop(0)[1])
        applied = self.net.history[self.at]
        base = r.SnapshotBase(
            applied.index, applied.term, self.replica.members_at(applied.index), applied.moment
        )
        self.disk.base = base
        self.disk.entries = [one for one in self.disk.entries if one.index > base.index]
        self.snapshots = {base.index: self.state}  # a host keeps only one
        self.replica.compacted(self.net.now, base)

    def kill(self):
        """Stops the member; Writes in flight are lost."""
        self.up = False
        self.writes = []


class Net:
    """A simulated network. `cuts` is a set of (sender, to) whose messages are lost."""

    def __init__(self, names="abc", seed=1, learners="", delay=2 * MS, **more):
        self.now, self.rng, self.delay, self.disk_delay = NOW, random.Random(seed), delay, 1 * MS
        self.loss_rate = self.duplicate_rate = 0.0  # probabilities for each message
        self.in_transit, self.cuts, self.results, self.history, self.log = [], set(), {}, {}, []
        more.setdefault("most_bytes", 512)
        self.more = more
        self.members = {}
        for name in names:
            self.add(name, r.StoredState(1, "", r.SnapshotBase(1, 1, members_of(names, learners))))

    def add(self, name, kept=None):
        self.members[name] = Member(self, name, kept or r.StoredState(), **self.more)

    def __getitem__(self, name):
        return self.members[name].replica

    def send(self, sent):
        self.log.append(sent)
        for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
            if (sent.sender, sent.to) not in self.cuts and self.rng.random() >= self.loss_rate:
                at = self.now + self.rng.randrange(self.delay // 2, self.delay + 1)
                self.in_transit.append((at, sent))

    def end(self, ticket, outcome):
        assert ticket not in self.results, "ended twice"
        self.results[ticket] = outcome

    def step(self, dt=1 * MS):
        self.now += dt
        due = [sent for at, sent in self.in_transit if at <= self.now]
        self.in_transit = [(at, sent) for at, sent in self.in_transit if at > self.now]
        for sent in due:
            member = self.members.get(sent.to)
            if member is not None and member.up and not member.frozen:
                member.replica.receive(self.now, sent)
        for member in self.members.values():
            member.act()
        leader_terms = [m.replica.term for m in self.members.values() if m.up and m.replica.role == r.LEADER]
        assert len(set(leader_terms)) == len(leader_terms), "two leaders of one term"

    def run(self, until, within=20_000):
        """Advances time by milliseconds until the condition holds."""
        for _ in range(within):
            if until():
                return
            self.step()
        raise AssertionError("the condition was not reached")

    def run_ms(self, ms):
        for _ in range(ms):
            self.step()

    def leader(self):
        """Returns the name of the leader of the greatest term, if it has committed an entry of that term."""
        up = [m.replica for m in self.members.values() if m.up and not m.frozen]
        best = max((one for one in up if one.role == r.LEADER), key=lambda one: one.term, default=None)
        if best is not None and best.leader_state.first_index <= best.committed:
            return best.name
        return None

    def run_until_leader(self):
        """Runs until there is a leader. Returns its replica."""
        self.run(self.leader)
        return self[self.leader()]

    def cut_off(self, *names):
        for name in names:
            self.cuts |= {(name, other) for other in self.members if other not in names}
            self.cuts |= {(other, name) for other in self.members if other not in names}

    def propose(self, ticket, leader=None):
        (leader or self.run_until_leader()).propose(self.now, 0, repr(ticket).encode(), ticket)

    def run_command(self, ticket):
        """Proposes until the command is committed, as a client that retries does."""
        for again in range(20):
            self.propose((ticket, again))
            self.run(lambda again=again: (ticket, again) in self.results)
            if isinstance(self.results[ticket, again], int):
                return
        raise AssertionError("never committed")

    def all_applied(self):
        """Whether all running members have applied all committed entries."""
        states = {m.state for m in self.members.values() if m.up}
        return len(states) == 1 and max(m.replica.committed for m in self.members.values() if m.up) in {
            m.at for m in self.members.values() if m.up
        }
