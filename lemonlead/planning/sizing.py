"""Works out what each role of a planned fleet needs, from slopes. Does no I/O.

A row is one cost of one role: a slope, the size at which it applies, and how often the cost arises in each
condition. A cost without a slope is None and is not estimated; all estimates stand in the operators' file.
"""

from dataclasses import dataclass

from ..ledger.dispatcher import MAX_SNAPSHOT_INTERVAL
from .targets import NS_PER_SECOND

CALM, RACK, ZONE, RESTART, CUT, CHANGE = CONDITIONS = ("calm", "rack", "zone", "restart", "cut", "change")
MEMORY, CPU, BYTES, MESSAGES = "memory", "CPU", "bytes", "messages"
NO_SLOPE = ""  # instead of a slope: one message each time, as the protocol has it
SECONDS_PER_UNIT = {"s": 1.0, "ms": 1e-3, "us": 1e-6}

ROLES = {
    "front": "client front of a gateway",
    "balancer": "its balancer",
    "list": "its list",
    "rules": "its rules and tenants",
    "following": "its following (today)",
    "distribution": "its subscription (design)",
    "leader": "control member as leader",
    "follower": "control member as follower",
    "relay": "relay (design)",
    "discovery": "discovery",
    "platform": "the platform",
}


@dataclass(frozen=True, slots=True)
class Cost:
    """A cost in MB, seconds of a core, bytes or messages; in calm conditions all but memory are per second.

    `measured`: the figure was measured at exactly this size. `outside`: the size is outside the points of the
    slope, where the line may be below 0.
    """

    figure: float
    measured: bool = False
    outside: bool = False


@dataclass(frozen=True, slots=True)
class CostRow:
    """One cost of one role.

    `counts` is how often the cost arises, by condition; in calm conditions it is a rate per second.
    `per_unit`: each time costs one unit of the slope instead of a whole of `size`. `steady`: the cost arises
    every second in all conditions. `guessed`: it depends on an estimate of the operators' file.
    """

    role: str
    what: str
    kind: str
    slope: str
    size: float = 0.0
    counts: dict | None = None
    per_unit: bool = False
    steady: bool = False
    guessed: bool = False

    def cost(self, slopes):
        """Returns the Cost of one time, or None if it was not measured."""
        if self.slope == NO_SLOPE:
            return Cost(1.0)
        slope = slopes.get(self.slope)
        if slope is None:
            return None
        unit = SECONDS_PER_UNIT.get(slope.unit, 1.0)
        if self.per_unit:
            return Cost(slope.slope * unit)
        measured = slope.measured(self.size)
        if measured is not None:
            return Cost(measured * unit, True)
        sizes = [point.size for point in (*slope.points, slope.held_out)]
        return Cost(slope.at(self.size) * unit, False, not min(sizes) <= self.size <= max(sizes))

    def at(self, slopes, condition):
        """Returns the Cost in a condition, or None if it was not measured.

        Memory is the same in all conditions.
        """
        cost = self.cost(slopes)
        if cost is None or self.kind == MEMORY:
            return cost
        count = self.counts.get(condition, 0.0)
        return Cost(cost.figure * count, cost.measured, cost.outside)


def change_counts(targets, share=1.0):
    """Returns how many changes of the instance list and of configuration reach a gateway, by condition.

    `share` is the gateway's share of the services. In calm conditions the counts are per second. After a cut,
    all changes that were missed meanwhile arrive together.
    """
    cut = targets.guesses.cut / NS_PER_SECOND
    lists = {
        CALM: targets.instance_changes,
        RACK: targets.guesses.rack_instances,
        ZONE: targets.zone_instances,
        CUT: targets.instance_changes * cut,
    }
    configurations = {CALM: targets.configurations, CUT: targets.configurations * cut, CHANGE: 1.0 / share}
    return scaled(lists, share), scaled(configurations, share)


def scaled(counts, factor):
    return {condition: count * factor for condition, count in counts.items()}


def summed(*several):
    """Returns the sum of counts by condition."""
    return {condition: sum(counts.get(condition, 0.0) for counts in several) for condition in CONDITIONS}


def rows(targets):
    """Returns all rows by role.

    Those of the design come twice: for a gateway that routes to its share of the services, and for one that
    routes to all.
    """
    return [
        *front(targets),
        *lists(targets),
        *rules(targets),
        *following(targets),
        *subscription(targets),
        *leader(targets),
        *follower(targets),
        *relay(targets),
        *discovery(targets),
    ]


def services_label(share):
    return "all services" if share == 1.0 else "its services"


def front(targets):
    zones = targets.zones
    request_rates = dict.fromkeys(CONDITIONS, targets.requests)
    request_rates[ZONE] *= zones / (zones - 1) if zones > 1 else 1.0
    clients = targets.guesses.clients_a_gateway
    yield CostRow(
        "front", "the whole gateway with clients' connections", MEMORY, "front memory", clients, guessed=True
    )
    messages_each_way = scaled(request_rates, 2.0)  # a client's request and an instance's answer
    for direction in ("in", "out"):
        yield messages(
            "front", f"requests and answers, {direction}, one attempt each", messages_each_way, steady=True
        )
    costs = (
        ("front", "requests, front and balancer together", "gateway request"),
        ("balancer", "requests, deciding alone", "balancer request"),
        ("balancer", "requests, a build on trial", "balancer request on trial"),
    )
    for role, what, slope in costs:
        for share in (targets.share, 1.0):
            size = targets.instances * share
            description = f"{what} ({services_label(share)})"
            yield CostRow(
                role, description, CPU, slope, size, request_rates, steady=True, guessed=share != 1.0
            )


def messages(role, what, counts, **more):
    return CostRow(role, what, MESSAGES, NO_SLOPE, 1, counts, **more)


def lists(targets):
    for share in (targets.share, 1.0):
        size, of, guessed = targets.instances * share, services_label(share), share != 1.0
        changes, _ = change_counts(targets, share)
        start = {RESTART: 1.0}
        yield CostRow("list", f"the whole gateway ({of})", MEMORY, "gateway memory", size, guessed=guessed)
        what = f"the whole gateway, after a whole list ({of})"
        yield CostRow("list", what, MEMORY, "gateway memory after a list", size, guessed=guessed)
        yield CostRow(
            "list", f"changes of an entry ({of})", CPU, "gateway change", size, changes, guessed=True
        )
        yield CostRow("list", f"a whole list ({of})", CPU, "gateway whole list", size, start, guessed=guessed)
        yield CostRow("list", f"a start ({of})", CPU, "gateway start CPU", size, start, guessed=guessed)
        yield CostRow(
            "list",
            f"a whole list from discovery ({of})",
            BYTES,
            "discovery list",
            size,
            start,
            guessed=guessed,
        )


def rules(targets):
    for share in (targets.share, 1.0):
        of, guessed = services_label(share), share != 1.0
        _, changes = change_counts(targets, share)
        loads = {**changes, RESTART: 1.0}
        yield CostRow(
            "rules", f"routes ({of})", MEMORY, "rules memory", targets.routes * share, guessed=guessed
        )
        yield CostRow(
            "rules",
            f"loaded whole for each change ({of})",
            CPU,
            "rules load",
            targets.routes * share,
            loads,
            guessed=guessed,
        )
        yield CostRow(
            "rules",
            f"tenants that it heard of ({of})",
            MEMORY,
            "tenants memory",
            targets.tenants * share,
            guessed=guessed,
        )
    request_rates = dict.fromkeys(CONDITIONS, targets.requests)
    what = "judging requests (all services)"
    yield CostRow("rules", what, CPU, "rules judgement", targets.routes, request_rates, steady=True)
    what = "a look at each request where a tenant alone waits (all services)"
    yield CostRow("rules", what, CPU, "tenants waiting request", targets.tenants, request_rates, steady=True)


def following(targets):
    changes, _ = change_counts(targets)
    start = {RESTART: 1.0}
    yield CostRow("following", "words on all nodes", MEMORY, "following memory", targets.instances)
    yield CostRow(
        "following", "changes of a node", CPU, "following change", targets.instances, changes, guessed=True
    )
    yield CostRow("following", "the whole state", CPU, "following whole", targets.instances, start)
    yield CostRow(
        "following",
        "changes of a node, in",
        BYTES,
        "leader change bytes",
        per_unit=True,
        counts=changes,
        guessed=True,
    )
    yield messages("following", "changes of a node, in; calls for more, out", changes, guessed=True)
    yield CostRow(
        "following", "the whole state, in", BYTES, "following whole bytes", targets.instances, start
    )


def subscription(targets):
    for share in (targets.share, 1.0):
        of, guessed = services_label(share), share != 1.0
        records, changes = targets.records * share, summed(*change_counts(targets, share))
        start = {RESTART: 1.0}
        yield CostRow(
            "distribution", f"records ({of})", MEMORY, "subscriber memory", records, guessed=guessed
        )
        yield CostRow(
            "distribution",
            f"changes ({of})",
            CPU,
            "subscriber changes",
            per_unit=True,
            counts=changes,
            guessed=True,
        )
        yield CostRow(
            "distribution",
            f"snapshots ({of})",
            CPU,
            "subscriber snapshot CPU",
            records,
            start,
            guessed=guessed,
        )
        yield CostRow(
            "distribution",
            f"changes, in ({of})",
            BYTES,
            "subscriber changes bytes",
            per_unit=True,
            counts=changes,
            guessed=True,
        )
        yield messages("distribution", f"changes, in, a line each at most ({of})", changes, guessed=True)
        what = f"acknowledgements, out, as many at most ({of})"
        yield messages("distribution", what, changes, guessed=True)
        yield CostRow(
            "distribution", f"snapshots, in ({of})", BYTES, "relay snapshot", records, start, guessed=guessed
        )


def leader(targets):
    changes = summed(*change_counts(targets))
    idle = dict.fromkeys(CONDITIONS, 0.01)  # it was measured in percent of a core
    yield CostRow(
        "leader", "gateways that follow (today)", MEMORY, "leader followers memory", targets.gateways
    )
    yield CostRow("leader", "nodes", MEMORY, "leader nodes memory", targets.instances)
    what = "gateways that wait (today)"
    yield CostRow("leader", what, CPU, "leader idle", targets.gateways, idle, steady=True)
    yield CostRow(
        "leader",
        "changes told to all gateways over HTTP (today)",
        CPU,
        "leader told over HTTP",
        targets.gateways,
        changes,
        guessed=True,
    )
    yield CostRow(
        "leader",
        "changes told to all gateways, deciding alone (today)",
        CPU,
        "leader change",
        targets.gateways,
        changes,
        guessed=True,
    )
    yield CostRow(
        "leader",
        "changes told to all gateways, out (today)",
        BYTES,
        "leader change bytes",
        targets.gateways,
        changes,
        guessed=True,
    )
    what = "changes told to all gateways, out; calls for more, in (today)"
    yield messages("leader", what, scaled(changes, targets.gateways), guessed=True)
    what = "changes told to relays, out; calls for more, in (design)"
    yield messages("leader", what, scaled(changes, targets.control.machines), guessed=True)
    what = "relays that wait (design)"
    yield CostRow("leader", what, CPU, "leader idle", targets.control.machines, idle, steady=True)
    yield CostRow(
        "leader",
        "changes told to relays over HTTP (design)",
        CPU,
        "leader told over HTTP",
        targets.control.machines,
        changes,
        guessed=True,
    )
    yield CostRow("leader", "commands", CPU, "leader commands", per_unit=True, counts=changes, guessed=True)


def follower(targets):
    """A snapshot is written after MAX_SNAPSHOT_INTERVAL entries, or after as many as there are records."""
    changes = summed(*change_counts(targets))
    snapshots = scaled(changes, 1 / min(MAX_SNAPSHOT_INTERVAL, targets.records))
    yield CostRow("follower", "records: instances, routes, tenants", MEMORY, "member memory", targets.records)
    yield CostRow("follower", "commands", CPU, "member commands", per_unit=True, counts=changes, guessed=True)
    what = "entries, in, a message each at most; acknowledgements, out"
    yield messages("follower", what, changes, guessed=True)
    yield CostRow(
        "follower", "snapshots", CPU, "member snapshot CPU", targets.records, snapshots, guessed=True
    )
    yield CostRow(
        "follower", "snapshots, to disk", BYTES, "member snapshot", targets.records, snapshots, guessed=True
    )


def relay(targets):
    """The rows of a relay while some machines are lost.

    The subscribers of a scope are the gateways that route to its service.
    """
    subscribers, changes = targets.subscribers, summed(*change_counts(targets))
    yield CostRow("relay", "records of all scopes", MEMORY, "relay memory", targets.records)
    yield CostRow("relay", "subscribers", MEMORY, "relay subscribers memory", subscribers, guessed=True)
    yield CostRow("relay", "taking in changes", CPU, "relay apply", targets.records, changes, guessed=True)
    for share in (targets.share, 1.0):
        of, receivers = services_label(share), subscribers * share
        records = targets.records * share
        starts = {
            CALM: targets.gateway_starts / targets.machines_left,
            ZONE: 0.0,
            RESTART: subscribers,
        }
        what = f"changes told, deciding alone ({of})"
        yield CostRow("relay", what, CPU, "relay change", receivers, changes, guessed=True)
        what = f"changes told, out ({of})"
        yield CostRow("relay", what, BYTES, "relay change bytes", receivers, changes, guessed=True)
        what = f"lines out, acknowledgements in, one a change at most ({of})"
        yield messages("relay", what, scaled(changes, receivers), guessed=True)
        what = f"snapshots, deciding alone ({of})"
        yield CostRow("relay", what, CPU, "relay snapshot CPU", records, starts, guessed=True)
        what = f"snapshots, out ({of})"
        yield CostRow("relay", what, BYTES, "relay snapshot", records, starts, guessed=True)


def discovery(targets):
    changes, _ = change_counts(targets)
    starts = {CALM: targets.gateway_starts, RESTART: targets.gateways}
    yield CostRow(
        "discovery",
        "whole lists to gateways that start, out (today)",
        BYTES,
        "discovery list",
        targets.instances,
        starts,
    )
    yield messages(
        "discovery", "changes to all gateways, out (today)", scaled(changes, targets.gateways), guessed=True
    )
    yield CostRow(
        "discovery",
        "changes to all gateways, out (today)",
        BYTES,
        "discovery list",
        per_unit=True,
        counts=scaled(changes, targets.gateways),
        guessed=True,
    )


def total_cost(slopes, several, condition):
    """Returns the sum of rows of one kind, or None if one of them is not known."""
    costs = [row.at(slopes, condition) for row in several]
    if any(cost is None or cost.figure < 0 for cost in costs):
        return None
    return Cost(sum(cost.figure for cost in costs), False, any(cost.outside for cost in costs))


def control_rows(targets, of):
    """Returns the rows that count as control for a gateway of the design.

    They are its list, rules, tenants and subscription. The subscription brings the list, so the list from
    discovery is not counted.
    """
    roles = ("list", "rules", "distribution")
    kept = [row for row in rows(targets) if row.role in roles and row.what.endswith(f"({of})")]
    kept = [row for row in kept if row.kind != MESSAGES]
    excluded = ("gateway memory after a list", "discovery list", "rules judgement", "tenants waiting request")
    return [row for row in kept if row.slope not in excluded]
