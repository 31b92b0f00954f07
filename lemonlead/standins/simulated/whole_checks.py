"""Invariant checkers of two whole clusters. They check each entry when it is first committed, and what the
gateways and nodes do at that time, with the independent checkers of drains and moves."""

import json

import msgspec

from lemonlead.ledger.records import COMMAND
from lemonlead.standins import drain_checks, move_checks, promises

from .checks import Acknowledged, CommittedEntryChecker, Leaders, Logs, SameState, Votes
from .world import InvariantViolation

PROMISE_PARTS = ("nodes", "reservations", "gangs", "groups", "loads", "sites")
CLOCK_MARGIN = 0.8  # share of the grace that is required, as clocks differ by 2 %


class CrossClusterChecks:
    """Checks what concerns both clusters. `quorum`: members of each group that have to serve, in either
    cluster. `gateways`: by cluster. `nodes`: by name."""

    def __init__(self, names, settings, quorum):
        self.names, self.settings, self.quorum = names, settings, quorum
        self.moves = move_checks.MoveChecker(names)
        self.entries, self.gateways, self.nodes = {}, {name: [] for name in names}, {}
        self.services = {}  # service to its reservations, once all of them were made

    def node_goes_down(self, node):
        """Checks, as a node goes down, that it has a permit, that no gateway may still send to it, and that
        no gang or quorum breaks."""
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
        """Yields the members of a group in both clusters, as they serve in both during a move."""
        for checker in self.entries.values():
            row = checker.state.part("groups").get(group)
            yield from row.nodes if row is not None else ()

    def check_services_held(self, checker):
        """Each service has all its reservations in at least one cluster."""
        held = {name: self.moves.part(name, "reservations") for name in self.names}
        for service, reservations in self.services.items():
            if not any(all(reservation in rows for reservation in reservations) for rows in held.values()):
                checker.fail(f"service {service} is held in no cluster")

    def check_shares(self, checker, part, key, row):
        """No cluster lets go of a service to which a gateway may still send there."""
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
        """Checks, after all drains and moves ended, that each reservation is held exactly once."""
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


class CommittedEntries(CommittedEntryChecker):
    """Checks each committed entry with its changes."""

    def __init__(self, ledger, cross_checks):
        self.ledger, self.cross_checks = ledger, cross_checks

    def cluster_formed(self, cluster, state, base):
        settings = state.settings
        self.state = state
        self.term = state.term
        self.answers = {}
        self.unchecked_answers = []
        self.drains = drain_checks.DrainChecker(
            settings.lease, settings.grace * CLOCK_MARGIN, settings.cold_share, settings.site_share
        )
        self.cross_checks.entries[cluster.id] = self

    def polled(self, gateway, host, after):
        """A poll of a gateway reached a member."""
        leader = self.cluster.leader()
        if leader is host:
            self.drains.record_poll(self.cluster.world.now, gateway.name, after)

    def committed(self, entry):
        now, cross_checks = self.cluster.world.now, self.cross_checks
        self.state, applied = self.ledger.apply(self.state, entry)
        if entry.term != self.term:
            self.term = entry.term
            self.drains.leader_start, self.drains.polls = now, {}
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
        if code in (200, 409) and getattr(ticket, "id", ""):  # a call between clusters has no id
            self.unchecked_answers.append((host.name, ticket.id, code, body))

    def turn_ended(self, host):
        unchecked, self.unchecked_answers = self.unchecked_answers, []
        for name, id, code, body in unchecked:
            if self.answers.get(id) != (code, body):
                self.fail(f"{name} answered {id} with {code}, it was {self.answers.get(id)}")
            self.cluster.world.count("acknowledged")


def checkers(ledger, cross_checks):
    """Returns the checkers of one cluster. Logs stands first, as the others read it."""
    logs = Logs()
    return [
        logs,
        SameState(ledger),
        CommittedEntries(ledger, cross_checks),
        Leaders(logs),
        Votes(),
        Acknowledged(),
    ]


__all__ = ["CrossClusterChecks", "InvariantViolation", "CommittedEntries", "checkers"]
