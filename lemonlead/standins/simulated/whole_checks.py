"""Judges of two whole clusters: of each entry as it is first committed, and of what gateways and nodes really
do then. The drains' and moves' own independent checkers do the counting."""

import json

import msgspec

from lemonlead.ledger.records import COMMAND
from lemonlead.standins import drain_checks, move_checks, promises

from .checks import Acknowledged, FromLog, Leaders, Logs, SameState, Votes
from .world import InvariantViolation

COUNTED = ("nodes", "reservations", "gangs", "groups", "loads", "sites")
RATES = 0.8  # share of the grace that is asked for: clocks differ by 2 %


class Between:
    """What concerns both clusters. `quorum`: of each group, wherever its members are. `gateways`: by cluster;
    `nodes`: by name."""

    def __init__(self, names, terms, quorum):
        self.names, self.terms, self.quorum = names, terms, quorum
        self.moves = move_checks.Watch(names)
        self.entries, self.gateways, self.nodes = {}, {name: [] for name in names}, {}
        self.services = {}  # service to its reservations, once all of them stood

    def goes(self, node):
        """A node goes down: by a permit, nobody may still send to it, no gang or quorum breaks."""
        judge = self.entries[node.cluster.id]
        state, lease, name = judge.state, self.terms.lease, node.name
        permit = state.part("permits").get(name)
        if permit is None or permit.phase not in ("clear", "recalled"):
            judge.broken(f"{name} goes down, its permit is {permit and permit.phase}")
        for gateway in self.gateways[node.cluster.id]:
            if gateway.may_send(name) and gateway.leased(lease):
                judge.broken(f"{name} goes down while {gateway.name} may send to it")
        for gang, row in state.part("gangs").items():
            if name in row.nodes:
                judge.broken(f"{name} goes down under gang {gang}")
        for group, row in state.part("groups").items():
            serve = sum(self.nodes[one].state in ("serving", "clearing") for one in self.members(group))
            if name in row.nodes and serve < self.quorum:
                judge.broken(f"{name} goes down, group {group} has {serve} of {self.quorum}")

    def members(self, group):
        """On both sides: while it moves, some serve here and some there."""
        for judge in self.entries.values():
            row = judge.state.part("groups").get(group)
            yield from row.nodes if row is not None else ()

    def stands(self, judge):
        """Each service wholly on one side at least."""
        held = {name: self.moves.part(name, "reservations") for name in self.names}
        for service, pieces in self.services.items():
            if not any(all(piece in rows for piece in pieces) for rows in held.values()):
                judge.broken(f"service {service} is held on no side")

    def shares(self, judge, part, key, row):
        """Nothing is let go on a side to which a gateway may still send."""
        if part == "holds" and row.state == "dropped" and row.source in self.names:
            source, move, wrong = row.source, row.move, lambda share: share
        elif part == "moves" and row.step == "done":
            source, move, wrong = judge.cluster.id, key, lambda share: share is not None and share < 1000
        else:
            return
        for gateway in self.gateways[source]:
            share = gateway.share(move, row.epoch)
            if gateway.heard and wrong(share) and gateway.leased(self.terms.lease):
                judge.broken(f"{part} {key} let go while {gateway.name} sends {share} there")

    def ended(self):
        """Once all is quiet."""
        self.moves.settled()
        judge = self.entries[self.names[0]]
        if self.moves.broken:
            judge.broken(self.moves.broken[0])
        for service, pieces in self.services.items():
            for piece in pieces:
                if len(self.moves.holders(piece)) != 1:
                    judge.broken(f"in the end {piece} of {service} is at {self.moves.holders(piece)}")


class Entries(FromLog):
    """Each entry, once, with its changes."""

    def __init__(self, ledger, between):
        self.ledger, self.between = ledger, between

    def formed(self, cluster, state, base):
        terms = state.settings
        self.state, self.term, self.answers, self.waits = state, state.term, {}, []
        self.drains = drain_checks.Watch(terms.lease, terms.grace * RATES, terms.cold_share, terms.site_share)
        self.between.entries[cluster.id] = self

    def polled(self, gateway, host, after):
        """A poll of a gateway as it is comes to a member."""
        leader = self.cluster.leader()
        if leader is host:
            self.drains.heard(self.cluster.world.now, gateway.name, after)

    def committed(self, entry):
        now, between = self.cluster.world.now, self.between
        self.state, applied = self.ledger.apply(self.state, entry)
        if entry.term != self.term:
            self.term = entry.term
            self.drains.office, self.drains.acked = now, {}
        about = json.loads(entry.data) if entry.what == COMMAND else {}
        if about.get("id"):
            self.answers.setdefault(about["id"], (applied.code, applied.body))
        changes = applied.changes if applied.code == 200 and not applied.repeat else {}
        kind = about.get("kind", "")
        found = self.drains.entry(now, entry.index, entry.term, self.state.moment, changes, kind, about)
        rows = [(part, key, msgspec.to_builtins(row)) for (part, key), row in changes.items()]
        between.moves.saw(self.cluster.id, entry.index, rows)
        found += between.moves.broken[:1]
        if any(part in COUNTED for part, _ in changes):
            parts = promises.plain(self.state)
            found += promises.faults(parts) + promises.over(parts)
        if found:
            self.broken(f"as of {entry.index} ({kind}): {found[0]}")
        for (part, key), row in changes.items():
            if row is not None:
                between.shares(self, part, key, row)
        if any(part == "reservations" for part, _ in changes):
            between.stands(self)
        for (part, _), row in changes.items():
            if part == "moves" and row is not None and row.told:
                self.cluster.world.count(f"move end: {row.end}")
        if kind and applied.code == 200:
            self.cluster.world.count(f"done: {kind}")

    def answered(self, host, ticket, code, body):
        if code in (200, 409) and getattr(ticket, "id", ""):  # a call between clusters has none
            self.waits.append((host.name, ticket.id, code, body))

    def turned(self, host):
        waits, self.waits = self.waits, []
        for name, id, code, body in waits:
            if self.answers.get(id) != (code, body):
                self.broken(f"{name} answered {id} with {code}, it was {self.answers.get(id)}")
            self.cluster.world.count("acknowledged")


def judges(ledger, between):
    """Logs stands first: the others ask it."""
    logs = Logs()
    return [logs, SameState(ledger), Entries(ledger, between), Leaders(logs), Votes(), Acknowledged()]


__all__ = ["Between", "InvariantViolation", "Entries", "judges"]
