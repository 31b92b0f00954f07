"""Judges: each watches a cluster from outside and raises Broken at what must not be. They know the messages
and what disks hold, and share no code with what they judge; what they count, they count on their own."""

import json

from lemonlead.ledger.records import (
    COMMAND,
    LEADER,
    MEMBERS,
    AppendEntries,
    AppendResponse,
    SnapshotChunkResponse,
    VoteRequest,
    VoteResponse,
)

from .history import first_wrong
from .world import InvariantViolation


class Judge:
    """Told of everything that a cluster's machines do. `host`: hosts.Host. Its cluster puts itself into
    `cluster`."""

    cluster = None

    def broken(self, says):
        raise InvariantViolation(type(self).__name__, says, self.cluster.world.now)

    def formed(self, cluster, state, base): ...
    def started(self, host): ...
    def wiped(self, host): ...
    def wrote(self, host, write): ...
    def kept(self, host, base): ...
    def synced(self, cluster, disk): ...
    def sent(self, host, message): ...
    def answered(self, host, ticket, code, body): ...
    def read_answered(self, host, ticket, state): ...
    def turned(self, host): ...
    def ended(self): ...


class Logs(Judge):
    """What each folder was asked to hold, and has ever held on its disk; what was committed first, on whose
    word. The same index and term is the same entry everywhere, with the same one before it; what is
    committed rests on a majority of the voters' disks and on an entry of its leader's term, and is never
    cut off."""

    def formed(self, cluster, state, base):
        self.base = base
        self.logs = {}  # folder: index to entry, as asked for
        self.bases = {}  # folder: (base, the last index before it that is known)
        self.ever = {}  # (index, term) to the folders that have held it on disk
        self.covered = {}  # folder: index up to which it has held a snapshot on disk
        self.seen = {}  # (index, term): (entry, term of the one before)
        self.committed = {}  # index to entry
        self.last = base.index
        self.lives = {}  # folder: index up to which this life has applied
        self.voters = {}  # folder: who votes by the newest entry asked for, and by those before in this turn

    def started(self, host):
        folder, held = host.disk.folder, host.disk.held
        log = self.logs.setdefault(folder, {})
        for index in [index for index in log if index > held.base.index]:
            del log[index]
        log.update({entry.index: entry for entry in held.entries})
        self.bases[folder] = held.base
        self.lives[folder] = host.dispatcher.state.index
        self.voters[folder] = [self.members(folder)]
        self.synced(self.cluster, host.disk)

    def kept(self, host, base):
        """A snapshot of its own: the disk, which does all in order, has to have that entry by then."""
        log, held = self.logs[host.disk.folder], self.bases[host.disk.folder]
        entry = log.get(base.index)
        if base.index > max(log, default=held.index) or entry is not None and entry.term != base.term:
            self.broken(f"{host.name} keeps a snapshot as of {base.index}, which its disk was not given")

    def wrote(self, host, write):
        folder = host.disk.folder
        log = self.logs[folder]
        if write.entries and write.entries[0].index <= host.dispatcher.state.index:
            self.broken(f"{host.name} applied entry {write.entries[0].index} before its disk was given it")
        if write.base is not None:
            for index in [index for index in log if index <= write.base.index]:
                del log[index]
            mark = self.committed.get(write.base.index)
            if mark is None and write.base.index > self.base.index or mark and mark.term != write.base.term:
                self.broken(f"{host.name} takes a snapshot as of {write.base.index}, never committed so")
            self.bases[folder] = write.base
        if write.cut is not None:
            for index in [index for index in log if index >= write.cut]:
                if self.committed.get(index) == log[index]:
                    self.broken(f"{host.name} cuts off entry {index}, which is committed")
                del log[index]
        for entry in write.entries:
            before = log.get(entry.index - 1)
            base = self.bases[folder]
            term = before.term if before else base.term if base.index == entry.index - 1 else None
            known = self.seen.setdefault((entry.index, entry.term), (entry, term))
            if known[0] != entry or term is not None and known[1] not in (None, term):
                self.broken(f"entry {entry.index} of term {entry.term} differs at {host.name}")
            log[entry.index] = entry
        if write.base is not None or write.cut is not None or any(e.what == MEMBERS for e in write.entries):
            self.voters[folder].append(self.members(folder))

    def synced(self, cluster, disk):
        folder = disk.folder
        self.covered[folder] = disk.held.base.index
        for entry in reversed(disk.held.entries):
            folders = self.ever.setdefault((entry.index, entry.term), set())
            if folder in folders:
                break
            folders.add(folder)

    def members(self, folder):
        """The members as the newest entry that was asked for has them, or the base."""
        newest = [entry for entry in self.logs[folder].values() if entry.what == MEMBERS]
        if not newest:
            return {seat.folder for seat in self.bases[folder].members.values() if seat.votes}
        entry = max(newest, key=lambda entry: entry.index)
        return {seat[1] for seat in json.loads(entry.data).values() if len(seat) < 3 or seat[2]}

    def majority(self, entry, voters):
        held = self.ever.get((entry.index, entry.term), ())
        have = sum(folder in held or self.covered.get(folder, 0) >= entry.index for folder in voters)
        return 2 * have > len(voters)

    def turned(self, host):
        folder, to = host.disk.folder, host.dispatcher.state.index
        log, ways = self.logs[folder], self.voters[folder]
        for index in range(self.lives.get(folder, 0) + 1, to + 1):
            entry, known = log.get(index), self.committed.get(index)
            if known is not None:
                if entry is not None and entry != known:
                    self.broken(f"{host.name} applied another entry {index} than was committed")
                continue
            if index <= self.base.index:
                continue
            if entry is None:
                self.broken(f"{host.name} applied entry {index}, which it does not hold")
            if not any(self.majority(entry, voters) for voters in ways):
                self.broken(f"entry {index} was committed by {host.name} on a minority of the disks")
            if host.dispatcher.replica.role == LEADER:
                term = host.dispatcher.replica.term
                later = [log[at] for at in range(index, max(log) + 1) if at in log and log[at].term == term]
                if not any(self.majority(one, voters) for one in later for voters in ways):
                    self.broken(f"entry {index} was committed in term {term} with none of its own")
            self.committed[index], self.last = entry, index
            for judge in self.cluster.judges:
                if isinstance(judge, FromLog):
                    judge.committed(entry)
        self.lives[folder] = to
        self.voters[folder] = ways[-1:]


class FromLog(Judge):
    """A judge that is told each entry once, as it is first committed; it stands behind Logs."""

    def committed(self, entry): ...


class Leaders(Judge):
    """One leader a term; each holds all that was committed before it came."""

    def __init__(self, logs):
        self.logs, self.leaders = logs, {}

    def turned(self, host):
        replica, folder = host.dispatcher.replica, host.disk.folder
        if replica.role != LEADER:
            return
        other = self.leaders.get(replica.term)
        if other is None:
            self.leaders[replica.term] = folder
            log, base = self.logs.logs[folder], self.logs.bases[folder]
            for index, entry in self.logs.committed.items():
                if index > base.index and index not in log or index in log and log[index] != entry:
                    self.broken(f"{host.name} leads in term {replica.term} without committed entry {index}")
        elif other != folder:
            self.broken(f"{other} and {folder} both lead in term {replica.term}")


class Votes(Judge):
    """One vote a term and folder, each on disk as it is given, and none by a folder without a seat or one
    that was lost with its machine."""

    def formed(self, cluster, state, base):
        self.given, self.lost = {}, set()
        self.seated = {seat.folder for seat in base.members.values()}

    def wiped(self, host):
        self.lost.add(host.disk.folder)

    def wrote(self, host, write):
        for entry in write.entries:
            if entry.what == MEMBERS:
                self.seated |= {seat[1] for seat in json.loads(entry.data).values()}

    def sent(self, host, message):
        if isinstance(message, VoteResponse) and message.given:
            if host.disk.folder in self.lost:
                self.broken(f"folder {host.disk.folder} was lost and gave a vote")
            if host.disk.folder not in self.seated:
                self.broken(f"{host.name} with folder {host.disk.folder} has no seat and gave a vote")
            if not message.early:
                self.vote(host, message.term, message.to)
        elif isinstance(message, VoteRequest) and not message.early:
            self.vote(host, message.term, host.name)
        elif isinstance(message, AppendEntries):
            self.on_disk(host, message.term, host.name)

    def vote(self, host, term, to):
        before = self.given.setdefault((host.disk.folder, term), to)
        if before != to:
            self.broken(f"{host.name} voted for {before} and {to} in term {term}")
        if to != host.name:
            self.on_disk(host, term, to)

    def on_disk(self, host, term, to):
        held = host.disk.held
        if held.term < term or held.term == term and held.voted != to:
            self.broken(f"{host.name} acts on its vote for {to} in term {term}, which is not on its disk")


class Acknowledged(Judge):
    """What a member says that its disk holds, it holds."""

    def sent(self, host, message):
        held = host.disk.held
        if isinstance(message, AppendResponse) and message.fits and held.last < message.match:
            self.broken(f"{host.name} acknowledged entry {message.match}, its disk holds {held.last}")
        if isinstance(message, AppendResponse) and held.term < message.term:
            self.broken(f"{host.name} answered in term {message.term}, its disk holds {held.term}")
        if (
            isinstance(message, SnapshotChunkResponse)
            and message.done
            and held.base.index < message.base_index
        ):
            self.broken(f"{host.name} acknowledged a snapshot as of {message.base_index}")


class SameState(FromLog):
    """Each member's state is what one run through the committed log comes to."""

    def __init__(self, ledger):
        self.ledger, self.at = ledger, {}

    def formed(self, cluster, state, base):
        self.state = state
        self.states = {state.index: state}

    def committed(self, entry):
        self.state, _ = self.ledger.apply(self.state, entry)
        self.states[entry.index] = self.state

    def turned(self, host):
        state = host.dispatcher.state
        if state.index == 0 or self.at.get(host) is state:
            return
        self.at[host] = state
        if state != self.states[state.index]:
            self.broken(f"{host.name}'s state as of {state.index} is not that of the log")


class Promises(FromLog):
    """Goes through the committed log with a count of its own: what each id was answered, that a site never
    promises more than it has, and that the ledger's state says the same."""

    def __init__(self, state_of):
        self.state_of = state_of  # SameState
        self.sites, self.held = {}, {}  # site to units; reservation to (site, units)
        self.codes, self.bodies, self.waits = {}, {}, []
        self.tickets = []

    def committed(self, entry):
        if entry.what != COMMAND:
            return
        said = json.loads(entry.data)
        id = said.get("id", "")
        if id and id in self.codes:
            return
        kind, code = said["kind"], None
        if kind == "node":
            self.sites[said["site"]] = said["units"]
            code = 200
        elif kind == "reserve" and said.get("site"):
            site, key = said["site"], said["reservation"]
            held = sum(units for where, units in self.held.values() if where == site)
            fits = key not in self.held and held + said["units"] <= self.sites.get(site, 0)
            code = 200 if fits else 409
            if fits:
                self.held[key] = site, said["units"]
        elif kind == "free":
            code = 200 if self.held.pop(said["reservation"], None) else 409
        if id:
            self.codes[id] = code, entry.index
        self.agree(entry.index)

    def agree(self, index):
        rows = self.state_of.states[index].part("reservations")
        told = {key: (row.site, row.units) for key, row in rows.items()}
        if told != self.held:
            self.broken(f"as of {index} the ledger holds {sorted(told)}, by our count {sorted(self.held)}")

    def answered(self, host, ticket, code, body):
        ticket.answers += 1
        if ticket.answers > 1:
            self.broken(f"{host.name} answered {ticket.id} more than once")
        if code in (200, 409):
            self.waits.append((host.name, ticket.id, code, body))

    def read_answered(self, host, ticket, state):
        ticket.answers += 1
        if ticket.answers > 1:
            self.broken(f"{host.name} answered a read more than once")

    def turned(self, host):
        waits, self.waits = self.waits, []
        for name, id, code, body in waits:
            if id not in self.codes:
                self.broken(f"{name} answered {id} with {code}, which is not committed")
            ours, at = self.codes[id]
            if ours is not None and ours != code:
                self.broken(f"{name} answered {id} with {code}, by our count {ours}")
            if code == 200 and body["at"] != at:
                self.broken(f"{name} answered {id} as done at {body['at']}, it was at {at}")
            if self.bodies.setdefault(id, (code, body)) != (code, body):
                self.broken(f"{name} answered {id} otherwise than before")
            self.cluster.world.count("acknowledged")

    def not_done(self, askings):
        """A command of which every call was answered with `not done` is not in the log."""
        outcomes = {}
        for asking in askings:
            if asking.data is not None:
                outcomes.setdefault(asking.id, set()).update(ticket.outcome for ticket in asking.tickets)
        for id, seen in outcomes.items():
            if seen == {"not done"} and id in self.codes:
                self.broken(f"{id} was always answered with not done, and was done")


class Seeing(Judge):
    """What clients saw fits one order, site by site."""

    def judge(self, clients):
        by_site = {}
        for client in clients:
            by_site.setdefault(client.site, []).extend(client.calls())
        for site, calls in sorted(by_site.items()):
            wrong = first_wrong(calls, (0, frozenset()), site_step)
            if wrong is not None:
                self.broken(f"no order of what was seen of {site} has {wrong}")


def site_step(state, what):
    """A site as its clients should see it: (units, reservations)."""
    units, held = state
    kind, key, asked = what
    if kind == "read":
        return state, held
    if kind == "node":
        return (asked, held), 200
    mine = next((one for one in held if one[0] == key), None)
    if kind == "free":
        return ((units, held - {mine}), 200) if mine else (state, 409)
    if mine or sum(one[1] for one in held) + asked > units:
        return state, 409
    return (units, held | {(key, asked)}), 200


def all_judges(ledger):
    logs, same = Logs(), SameState(ledger)
    # Logs stands first: the others ask it. What is told each entry stands behind it in this order.
    return [logs, same, Promises(same), Leaders(logs), Votes(), Acknowledged(), Seeing()]
