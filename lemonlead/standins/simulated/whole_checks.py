"""Judges of two whole clusters: of each entry as it is first committed, and of what gateways and nodes really
do then. The drains' and moves' own independent checkers do the counting."""

import json

import msgspec

from lemonlead.ledger.records import COMMAND
from lemonlead.standins import drain_checks, move_checks, promises

from .checks import Acknowledged, CommittedEntryChecker, Leaders, Logs, SameState, Votes
from .world import InvariantViolation

PROMISE_PARTS = ("nodes", "reservations", "gangs", "groups", "loads", "sites")
CLOCK_MARGIN = 0.8  # share of the grace that is asked for: clocks differ by 2 %


class CrossClusterChecks:
    """What concerns both clusters. `quorum`: of each group, wherever its members are. `gateways`: by cluster;
    `nodes`: by name."""

    def __init__(self, names, settings, quorum):
        self.names, self.settings, self.quorum = names, settings, quorum
        self.moves = move_checks.Watch(names)
        self.entries, self.gateways, self.nodes = {}, {name: [] for name in names}, {}
        self.services = {}  # service to its reservations, once all of them stood

    def node_goes_down(self, node):
        """A node goes down: by a permit, nobody may still send to it, no gang or quorum breaks."""
        checker = self.entries[node.cluster.id]
        state, lease, name = checker.state, self.settings.lease, node.name
        permit = state.part("permits").get(name)
        if permit is None or permit.phase not in ("clear", "recalled"):
            checker.fail(f"{name} goes down, its permit is {permit and permit.phase}")
        for gateway in self.gateways[node.cluster.id]:
            if gateway.may_send(name) and gateway.leased(lease):
                checker.fail(f"{name} goes down while {gateway.name} may send to it")
        for gang, row in state.part("gangs").items():
            if name in row.nodes:
                checker.fail(f"{name} goes down under gang {gang}")
        for group, row in state.part("groups").items():
            serve = sum(self.nodes[one].state in ("serving", "clearing") for one in self.group_members(group))
            if name in row.nodes and serve < self.quorum:
                checker.fail(f"{name} goes down, group {group} has {serve} of {self.quorum}")

    def group_members(self, group):
        """On both sides: while it moves, some serve here and some there."""
        for checker in self.entries.values():
            row = checker.state.part("groups").get(group)
            yield from row.nodes if row is not None else ()

    def check_services_held(self, checker):
        """Each service wholly on one side at least."""
        held = {name: self.moves.part(name, "reservations") for name in self.names}
        for service, reservations in self.services.items():
            if not any(all(reservation in rows for reservation in reservations) for rows in held.values()):
                checker.fail(f"service {service} is held on no side")

    def check_shares(self, checker, part, key, row):
        """Nothing is let go on a side to which a gateway may still send."""
        if part == "holds" and row.state == "dropped" and row.source in self.names:
            source, move, wrong = row.source, row.move, lambda share: share
        elif part == "moves" and row.step == "done":
            source, move, wrong = checker.cluster.id, key, lambda share: share is not None and share < 1000
        else:
            return
        for gateway in self.gateways[source]:
            share = gateway.share(move, row.epoch)
            if gateway.has_state and wrong(share) and gateway.leased(self.settings.lease):
                checker.fail(f"{part} {key} let go while {gateway.name} sends {share} there")

    def check_end(self):
        """Once all is quiet."""
        self.moves.settled()
        checker = self.entries[self.names[0]]
        if self.moves.broken:
            checker.fail(self.moves.broken[0])
        for service, reservations in self.services.items():
            for reservation in reservations:
                if len(self.moves.holders(reservation)) != 1:
                    checker.fail(
                        f"in the end {reservation} of {service} is at {self.moves.holders(reservation)}"
                    )


class Entries(CommittedEntryChecker):
    """Each entry, once, with its changes."""

    def __init__(self, ledger, cross_checks):
        self.ledger, self.cross_checks = ledger, cross_checks

    def cluster_formed(self, cluster, state, base):
        settings = state.settings
        self.state, self.term, self.answers, self.unchecked_answers = state, state.term, {}, []
        self.drains = drain_checks.Watch(
            settings.lease, settings.grace * CLOCK_MARGIN, settings.cold_share, settings.site_share
        )
        self.cross_checks.entries[cluster.id] = self

    def polled(self, gateway, host, after):
        """A poll of a gateway as it is comes to a member."""
        leader = self.cluster.leader()
        if leader is host:
            self.drains.heard(self.cluster.world.now, gateway.name, after)

    def committed(self, entry):
        now, cross_checks = self.cluster.world.now, self.cross_checks
        self.state, applied = self.ledger.apply(self.state, entry)
        if entry.term != self.term:
            self.term = entry.term
            self.drains.office, self.drains.acked = now, {}
        command = json.loads(entry.data) if entry.what == COMMAND else {}
        if command.get("id"):
            self.answers.setdefault(command["id"], (applied.code, applied.body))
        changes = applied.changes if applied.code == 200 and not applied.repeat else {}
        kind = command.get("kind", "")
        found = self.drains.entry(now, entry.index, entry.term, self.state.moment, changes, kind, command)
        rows = [(part, key, msgspec.to_builtins(row)) for (part, key), row in changes.items()]
        cross_checks.moves.saw(self.cluster.id, entry.index, rows)
        found += cross_checks.moves.broken[:1]
        if any(part in PROMISE_PARTS for part, _ in changes):
            parts = promises.plain(self.state)
            found += promises.faults(parts) + promises.over(parts)
        if found:
            self.fail(f"as of {entry.index} ({kind}): {found[0]}")
        for (part, key), row in changes.items():
            if row is not None:
                cross_checks.check_shares(self, part, key, row)
        if any(part == "reservations" for part, _ in changes):
            cross_checks.check_services_held(self)
        for (part, _), row in changes.items():
            if part == "moves" and row is not None and row.told:
                self.cluster.world.count(f"move end: {row.end}")
        if kind and applied.code == 200:
            self.cluster.world.count(f"done: {kind}")

    def command_answered(self, host, ticket, code, body):
        if code in (200, 409) and getattr(ticket, "id", ""):  # a call between clusters has none
            self.unchecked_answers.append((host.name, ticket.id, code, body))

    def turn_ended(self, host):
        unchecked, self.unchecked_answers = self.unchecked_answers, []
        for name, id, code, body in unchecked:
            if self.answers.get(id) != (code, body):
                self.fail(f"{name} answered {id} with {code}, it was {self.answers.get(id)}")
            self.cluster.world.count("acknowledged")


def checkers(ledger, cross_checks):
    """Logs stands first: the others ask it."""
    logs = Logs()
    return [logs, SameState(ledger), Entries(ledger, cross_checks), Leaders(logs), Votes(), Acknowledged()]


__all__ = ["CrossClusterChecks", "InvariantViolation", "Entries", "checkers"]
