"""Invariant checkers. Each watches a cluster from outside and raises InvariantViolation. They see the
messages and the contents of the disks, and share no code with what they check: they compute all expected
values themselves."""

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

from .history import find_inconsistent_call
from .world import InvariantViolation


class Checker:
    """Base class, with one method for each event of a cluster's machines. `host`: hosts.Host. The cluster
    sets `cluster`."""

    cluster = None

    def fail(self, message):
        raise InvariantViolation(type(self).__name__, message, self.cluster.world.now)

    def cluster_formed(self, cluster, state, base): ...
    def host_started(self, host): ...
    def host_wiped(self, host): ...
    def write_submitted(self, host, write): ...
    def snapshot_submitted(self, host, base): ...
    def disk_synced(self, cluster, disk): ...
    def message_sent(self, host, message): ...
    def command_answered(self, host, ticket, code, body): ...
    def read_answered(self, host, ticket, state): ...
    def turn_ended(self, host): ...
    def run_ended(self): ...


class Logs(Checker):
    """Keeps what each folder was asked to hold and has ever held on its disk, and which entries were
    committed first. Checks that entries of the same index and term are the same everywhere and follow the
    same entry; that a committed entry is on the disks of a majority of the voters, together with an entry
    of its leader's term; and that no committed entry is truncated."""

    def cluster_formed(self, cluster, state, base):
        self.base = base
        self.logs = {}  # folder to its entries by index, as submitted
        self.bases = {}  # folder to the base of its log
        self.ever_on_disk = {}  # (index, term) to the folders that have ever held it on disk
        self.snapshot_index = {}  # folder to the index of the snapshot on its disk
        self.known_entries = {}  # (index, term) to (entry, term of the entry before)
        self.committed = {}  # index to entry
        self.last_committed = base.index
        self.applied_index = {}  # folder to the index that its current process has applied
        self.voters = {}  # folder to its sets of voters: at the start of the turn and after each change in it

    def host_started(self, host):
        folder, held = host.disk.folder, host.disk.contents
        log = self.logs.setdefault(folder, {})
        for index in [index for index in log if index > held.base.index]:
            del log[index]
        log.update({entry.index: entry for entry in held.entries})
        self.bases[folder] = held.base
        self.applied_index[folder] = host.dispatcher.state.index
        self.voters[folder] = [self.members(folder)]
        self.disk_synced(self.cluster, host.disk)

    def snapshot_submitted(self, host, base):
        """A member may only take a snapshot as of an entry that its disk was given before, as the disk
        works in order."""
        log, held = self.logs[host.disk.folder], self.bases[host.disk.folder]
        entry = log.get(base.index)
        if base.index > max(log, default=held.index) or entry is not None and entry.term != base.term:
            self.fail(f"{host.name} keeps a snapshot as of {base.index}, which its disk was not given")

    def write_submitted(self, host, write):
        folder = host.disk.folder
        log = self.logs[folder]
        if write.entries and write.entries[0].index <= host.dispatcher.state.index:
            self.fail(f"{host.name} applied entry {write.entries[0].index} before its disk was given it")
        if write.base is not None:
            for index in [index for index in log if index <= write.base.index]:
                del log[index]
            base_entry = self.committed.get(write.base.index)
            if (
                base_entry is None
                and write.base.index > self.base.index
                or base_entry
                and base_entry.term != write.base.term
            ):
                self.fail(f"{host.name} takes a snapshot as of {write.base.index}, never committed so")
            self.bases[folder] = write.base
        if write.cut is not None:
            for index in [index for index in log if index >= write.cut]:
                if self.committed.get(index) == log[index]:
                    self.fail(f"{host.name} cuts off entry {index}, which is committed")
                del log[index]
        for entry in write.entries:
            before = log.get(entry.index - 1)
            base = self.bases[folder]
            term = before.term if before else base.term if base.index == entry.index - 1 else None
            known = self.known_entries.setdefault((entry.index, entry.term), (entry, term))
            if known[0] != entry or term is not None and known[1] not in (None, term):
                self.fail(f"entry {entry.index} of term {entry.term} differs at {host.name}")
            log[entry.index] = entry
        if write.base is not None or write.cut is not None or any(e.what == MEMBERS for e in write.entries):
            self.voters[folder].append(self.members(folder))

    def disk_synced(self, cluster, disk):
        folder = disk.folder
        self.snapshot_index[folder] = disk.contents.base.index
        for entry in reversed(disk.contents.entries):
            folders = self.ever_on_disk.setdefault((entry.index, entry.term), set())
            if folder in folders:
                break
            folders.add(folder)

    def members(self, folder):
        """Returns the folders of the voters by the newest submitted entry of members, or by the base."""
        newest = [entry for entry in self.logs[folder].values() if entry.what == MEMBERS]
        if not newest:
            return {member.folder for member in self.bases[folder].members.values() if member.votes}
        entry = max(newest, key=lambda entry: entry.index)
        return {member[1] for member in json.loads(entry.data).values() if len(member) < 3 or member[2]}

    def majority(self, entry, voters):
        """Returns whether the disks of a majority of the voters have held the entry or a snapshot of it."""
        held = self.ever_on_disk.get((entry.index, entry.term), ())
        have = sum(folder in held or self.snapshot_index.get(folder, 0) >= entry.index for folder in voters)
        return 2 * have > len(voters)

    def turn_ended(self, host):
        folder, to = host.disk.folder, host.dispatcher.state.index
        log, memberships = self.logs[folder], self.voters[folder]
        for index in range(self.applied_index.get(folder, 0) + 1, to + 1):
            entry, known = log.get(index), self.committed.get(index)
            if known is not None:
                if entry is not None and entry != known:
                    self.fail(f"{host.name} applied another entry {index} than was committed")
                continue
            if index <= self.base.index:
                continue
            if entry is None:
                self.fail(f"{host.name} applied entry {index}, which it does not hold")
            if not any(self.majority(entry, voters) for voters in memberships):
                self.fail(f"entry {index} was committed by {host.name} on a minority of the disks")
            if host.dispatcher.replica.role == LEADER:
                term = host.dispatcher.replica.term
                later = [log[at] for at in range(index, max(log) + 1) if at in log and log[at].term == term]
                if not any(self.majority(one, voters) for one in later for voters in memberships):
                    self.fail(f"entry {index} was committed in term {term} with none of its own")
            self.committed[index], self.last_committed = entry, index
            for checker in self.cluster.checkers:
                if isinstance(checker, CommittedEntryChecker):
                    checker.committed(entry)
        self.applied_index[folder] = to
        self.voters[folder] = memberships[-1:]


class CommittedEntryChecker(Checker):
    """A checker that sees each entry once, when it is first committed. Logs calls it and has to stand before
    it."""

    def committed(self, entry): ...


class Leaders(Checker):
    """Each term has at most one leader, whose log holds all entries committed before its election."""

    def __init__(self, logs):
        self.logs, self.leaders = logs, {}

    def turn_ended(self, host):
        replica, folder = host.dispatcher.replica, host.disk.folder
        if replica.role != LEADER:
            return
        other = self.leaders.get(replica.term)
        if other is None:
            self.leaders[replica.term] = folder
            log, base = self.logs.logs[folder], self.logs.bases[folder]
            for index, entry in self.logs.committed.items():
                if index > base.index and index not in log or index in log and log[index] != entry:
                    self.fail(f"{host.name} leads in term {replica.term} without committed entry {index}")
        elif other != folder:
            self.fail(f"{other} and {folder} both lead in term {replica.term}")


class Votes(Checker):
    """Each folder gives at most one vote in a term, which is on its disk before it is sent. No vote comes
    from a folder that belongs to no member or that was lost with its machine."""

    def cluster_formed(self, cluster, state, base):
        self.votes, self.lost_folders = {}, set()
        self.member_folders = {member.folder for member in base.members.values()}

    def host_wiped(self, host):
        self.lost_folders.add(host.disk.folder)

    def write_submitted(self, host, write):
        for entry in write.entries:
            if entry.what == MEMBERS:
                self.member_folders |= {member[1] for member in json.loads(entry.data).values()}

    def message_sent(self, host, message):
        if isinstance(message, VoteResponse) and message.given:
            if host.disk.folder in self.lost_folders:
                self.fail(f"folder {host.disk.folder} was lost and gave a vote")
            if host.disk.folder not in self.member_folders:
                self.fail(f"{host.name} with folder {host.disk.folder} is no member and gave a vote")
            if not message.early:
                self.record_vote(host, message.term, message.to)
        elif isinstance(message, VoteRequest) and not message.early:
            self.record_vote(host, message.term, host.name)
        elif isinstance(message, AppendEntries):
            self.check_vote_on_disk(host, message.term, host.name)

    def record_vote(self, host, term, to):
        before = self.votes.setdefault((host.disk.folder, term), to)
        if before != to:
            self.fail(f"{host.name} voted for {before} and {to} in term {term}")
        if to != host.name:
            self.check_vote_on_disk(host, term, to)

    def check_vote_on_disk(self, host, term, to):
        held = host.disk.contents
        if held.term < term or held.term == term and held.voted != to:
            self.fail(f"{host.name} acts on its vote for {to} in term {term}, which is not on its disk")


class Acknowledged(Checker):
    """A member only acknowledges what its disk holds."""

    def message_sent(self, host, message):
        held = host.disk.contents
        if isinstance(message, AppendResponse) and message.fits and held.last_index < message.match:
            self.fail(f"{host.name} acknowledged entry {message.match}, its disk holds {held.last_index}")
        if isinstance(message, AppendResponse) and held.term < message.term:
            self.fail(f"{host.name} answered in term {message.term}, its disk holds {held.term}")
        if (
            isinstance(message, SnapshotChunkResponse)
            and message.done
            and held.base.index < message.base_index
        ):
            self.fail(f"{host.name} acknowledged a snapshot as of {message.base_index}")


class SameState(CommittedEntryChecker):
    """Each member's state equals the state that results from applying the committed log."""

    def __init__(self, ledger):
        self.ledger, self.checked_states = ledger, {}

    def cluster_formed(self, cluster, state, base):
        self.state = state
        self.states = {state.index: state}

    def committed(self, entry):
        self.state, _ = self.ledger.apply(self.state, entry)
        self.states[entry.index] = self.state

    def turn_ended(self, host):
        state = host.dispatcher.state
        if state.index == 0 or self.checked_states.get(host) is state:
            return
        self.checked_states[host] = state
        if state != self.states[state.index]:
            self.fail(f"{host.name}'s state as of {state.index} is not that of the log")


class CommandOutcomes(CommittedEntryChecker):
    """Computes the result of each command of the committed log and compares the responses and the
    reservations in the ledger's state with it: a site never promises more than it has, and an id always
    gets the same response."""

    def __init__(self, same_state):
        self.same_state = same_state  # SameState
        self.sites = {}  # site to units
        self.held = {}  # reservation to (site, units)
        self.codes, self.bodies, self.unchecked_answers = {}, {}, []
        self.tickets = []

    def committed(self, entry):
        if entry.what != COMMAND:
            return
        command = json.loads(entry.data)
        id = command.get("id", "")
        if id and id in self.codes:
            return
        kind, code = command["kind"], None
        if kind == "node":
            self.sites[command["site"]] = command["units"]
            code = 200
        elif kind == "reserve" and command.get("site"):
            site, key = command["site"], command["reservation"]
            held = sum(units for where, units in self.held.values() if where == site)
            fits = key not in self.held and held + command["units"] <= self.sites.get(site, 0)
            code = 200 if fits else 409
            if fits:
                self.held[key] = site, command["units"]
        elif kind == "free":
            code = 200 if self.held.pop(command["reservation"], None) else 409
        if id:
            self.codes[id] = code, entry.index
        self.compare_with_state(entry.index)

    def compare_with_state(self, index):
        rows = self.same_state.states[index].part("reservations")
        in_state = {key: (row.site, row.units) for key, row in rows.items()}
        if in_state != self.held:
            self.fail(f"as of {index} the ledger holds {sorted(in_state)}, by our count {sorted(self.held)}")

    def command_answered(self, host, ticket, code, body):
        ticket.answers += 1
        if ticket.answers > 1:
            self.fail(f"{host.name} answered {ticket.id} more than once")
        if code in (200, 409):
            self.unchecked_answers.append((host.name, ticket.id, code, body))

    def read_answered(self, host, ticket, state):
        ticket.answers += 1
        if ticket.answers > 1:
            self.fail(f"{host.name} answered a read more than once")

    def turn_ended(self, host):
        unchecked, self.unchecked_answers = self.unchecked_answers, []
        for name, id, code, body in unchecked:
            if id not in self.codes:
                self.fail(f"{name} answered {id} with {code}, which is not committed")
            expected, at = self.codes[id]
            if expected is not None and expected != code:
                self.fail(f"{name} answered {id} with {code}, by our count {expected}")
            if code == 200 and body["at"] != at:
                self.fail(f"{name} answered {id} as done at {body['at']}, it was at {at}")
            if self.bodies.setdefault(id, (code, body)) != (code, body):
                self.fail(f"{name} answered {id} otherwise than before")
            self.cluster.world.count("acknowledged")

    def check_not_done(self, requests):
        """A command whose calls were all answered with `not done` must not be in the log."""
        outcomes = {}
        for request in requests:
            if request.data is not None:
                outcomes.setdefault(request.id, set()).update(ticket.outcome for ticket in request.tickets)
        for id, seen in outcomes.items():
            if seen == {"not done"} and id in self.codes:
                self.fail(f"{id} was always answered with not done, and was done")


class Linearizability(Checker):
    """The calls that clients observed at each site are linearizable."""

    def check(self, clients):
        by_site = {}
        for client in clients:
            by_site.setdefault(client.site, []).extend(client.observed_calls())
        for site, calls in sorted(by_site.items()):
            wrong = find_inconsistent_call(calls, (0, frozenset()), site_step)
            if wrong is not None:
                self.fail(f"no order of what was seen of {site} has {wrong}")


def site_step(state, what):
    """The step function of a site; its state is (units, reservations)."""
    units, held = state
    kind, key, asked = what
    if kind == "read":
        return state, held
    if kind == "node":
        return (asked, held), 200
    existing = next((one for one in held if one[0] == key), None)
    if kind == "free":
        return ((units, held - {existing}), 200) if existing else (state, 409)
    if existing or sum(one[1] for one in held) + asked > units:
        return state, 409
    return (units, held | {(key, asked)}), 200


def all_checkers(ledger):
    logs, same = Logs(), SameState(ledger)
    # Logs stands first, as the others read it; it calls the CommittedEntryCheckers in this order.
    return [logs, same, CommandOutcomes(same), Leaders(logs), Votes(), Acknowledged(), Linearizability()]
