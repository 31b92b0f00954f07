"""Builds the table of the operators' targets for the capacity page. Does no I/O.

A row has the target, what one machine of today does, what the design does at that size, and a verdict. *Met*
needs a run at full size. *Not met* needs a figure, measured or worked out, that misses the target. All else
is *not known*.
"""

from ..ledger.capacity import MAX_RECORDS_PER_PART
from ..ledger.followers import MAX_FOLLOWERS
from . import sizing
from .number_format import format_bytes, format_number, format_seconds, format_share
from .sizing import BYTES, CALM, CPU, MEMORY, RESTART, SECONDS_PER_UNIT, services_label
from .targets import NS_PER_SECOND

NOT_MEASURED = "not measured"
BELOW_ZERO = "not known: its line is below 0 there"
MET = "met"
NOT_MET = "**not met**"
NOT_KNOWN = "not known"
NOT_TODAY = f"{NOT_MET} today; design {NOT_KNOWN}"
NO_RUN = "none yet"


def format_cost(kind, cost, per_second=True):
    """Formats a Cost; a mark `m` says measured at that size, `x` outside the points of its slope."""
    if cost is None:
        return NOT_MEASURED
    if cost.figure < 0:
        return BELOW_ZERO
    if kind == MEMORY:
        text = f"{format_number(cost.figure)} MB"
    elif cost.figure == 0:
        return "-"
    elif kind == CPU:
        text = format_share(cost.figure) if per_second else format_seconds(cost.figure)
    else:
        text = (format_bytes if kind == BYTES else format_number)(cost.figure) + "/s" * per_second
    return text + marks(cost)


def marks(cost):
    return " m" * cost.measured + " x" * cost.outside


class TargetTable:
    """The rows so far, and the costs that go into their texts."""

    def __init__(self, targets, slopes):
        self.targets = targets
        self.slopes = slopes
        self.rows = []

    def slope_value(self, name, size):
        """Returns what a slope gives for a size, in its own unit, or None if it was not measured."""
        slope = self.slopes.get(name)
        if slope is None:
            return None
        cost = sizing.CostRow("", "", MEMORY, name, size).cost(self.slopes)
        return cost.figure / SECONDS_PER_UNIT.get(slope.unit, 1.0)

    def format_slope(self, name, size):
        """Returns what a slope gives for a size, as text."""
        slope = self.slopes.get(name)
        if slope is None:
            return NOT_MEASURED
        cost = sizing.CostRow("", "", MEMORY, name, size).cost(self.slopes)
        if cost.figure < 0:
            return BELOW_ZERO
        if slope.unit in SECONDS_PER_UNIT:
            return format_seconds(cost.figure) + marks(cost)
        text = (
            format_bytes(cost.figure)
            if slope.unit == "bytes"
            else f"{format_number(cost.figure)} {slope.unit}"
        )
        return text + marks(cost)

    def cost_per_unit(self, name):
        """Returns what a slope adds with each unit of its size, in its own unit, or None if not measured."""
        slope = self.slopes.get(name)
        return None if slope is None else slope.slope

    def transfer_time(self, count, name="subscriber changes bytes"):
        """Returns, as text, how long this many changes take at a gateway's byte rate for control."""
        change_bytes = self.cost_per_unit(name)
        return (
            NOT_MEASURED
            if change_bytes is None
            else format_seconds(count * change_bytes / self.targets.control.bytes_a_second)
        )

    def control_cost(self, of, kind, condition=CALM):
        """Returns the Cost of a gateway's control, or None if a part of it was not measured."""
        rows = [row for row in sizing.control_rows(self.targets, of) if row.kind == kind]
        return sizing.total_cost(self.slopes, rows, condition)

    def control_memory(self, of):
        """Returns the megabytes that control adds to a gateway at rest, or None if not measured."""
        cost, slope = self.control_cost(of, MEMORY), self.slopes.get("gateway memory")
        return None if cost is None else cost.figure - slope.fixed

    def add_row(
        self, name, wanted, today, design, by, mechanism, limit=None, otherwise=NOT_KNOWN, run=NO_RUN
    ):
        """Adds a row.

        `limit` is the largest result of a run at full size that meets the target; None if any such run meets
        it. `otherwise` is the verdict if there is no such run.
        """
        runs = [run for run in self.slopes.runs if run.of == name]
        full_size_results = [run.found for run in runs if run.whole]
        verdict = otherwise
        if full_size_results:
            verdict = MET if limit is None or max(full_size_results) <= limit else NOT_MET
        self.rows.append(
            {
                "figure": name,
                "wanted": wanted,
                "one machine of today": today,
                "the design at that size": design,
                "by slope": by,
                "mechanism": mechanism,
                "run that shows it": "; ".join(map(format_run, runs)) or run,
                "verdict": verdict,
            }
        )


def format_run(run):
    size_note = "" if run.whole else ", not at full size"
    time_note = ", simulated" if run.simulated else ""
    return f"{run.what}: {format_number(run.found)} {run.unit}{size_note}{time_note} (`{run.source.command}`)"


def target_rows(targets, slopes):
    """Returns the rows of the table, in the order of the operators' letter."""
    table = TargetTable(targets, slopes)
    for add in (fleet, services, load, latency, regions, changes, budget, machines, losses):
        add(table, targets)
    return table.rows


def fleet(table, targets):
    table.add_row(
        "gateways",
        f"{targets.gateways:,}",
        f"{MAX_FOLLOWERS:,} follow a ledger at most (a bound of its state); the leader spends "
        f"{table.format_slope('leader told over HTTP', MAX_FOLLOWERS)} on a change told to as many",
        f"{format_number(targets.subscribers)} at each of {targets.machines_left} machines: "
        f"{table.format_slope('relay subscribers memory', targets.subscribers)} there",
        "relay subscribers memory",
        "relays between members and gateways",
        otherwise=NOT_TODAY if targets.gateways > MAX_FOLLOWERS else NOT_KNOWN,
    )
    few = targets.instances * targets.share
    table.add_row(
        "instances",
        f"{targets.instances:,}",
        f"a gateway that knows all: {table.format_slope('gateway memory', targets.instances)}; a change of "
        f"one {table.format_slope('gateway change', targets.instances)}, a start "
        f"{table.format_slope('gateway start CPU', targets.instances)} of a core",
        f"a gateway that knows {format_number(few)}: {table.format_slope('gateway memory', few)}; a change "
        f"{table.format_slope('gateway change', few)}, a start "
        f"{table.format_slope('gateway start CPU', few)}",
        "gateway memory, change, start CPU",
        "scoped state; a list that costs what changes",
    )


def services(table, targets):
    few = targets.records * targets.share
    table.add_row(
        "services",
        f"{targets.services:,}",
        "a gateway knows one list and no services",
        f"{targets.guesses.services_a_gateway} a gateway (a guess): {format_number(few)} records, "
        f"{table.format_slope('subscriber memory', few)}; all: {format_number(targets.records)}, "
        f"{table.format_slope('subscriber memory', targets.records)}",
        "subscriber memory",
        "scopes that a gateway names",
        otherwise=NOT_TODAY,
    )


def load(table, targets):
    cost = table.slope_value("gateway request", targets.instances)
    busy = NOT_MEASURED if cost is None else format_share(cost / 1e3 * targets.requests)
    few = table.slope_value("gateway request", targets.instances * targets.share)
    table.add_row(
        "requests a second",
        f"{format_number(targets.requests_a_second)}: {format_number(targets.requests)} a gateway",
        f"a request takes {table.format_slope('gateway request', targets.instances)} of a core where all "
        f"instances are known: {busy} of a core",
        "where its services' are: "
        f"{NOT_MEASURED if few is None else format_share(few / 1e3 * targets.requests)} of a core",
        "gateway request",
        "each gateway by itself, as today",
    )
    few = targets.routes * targets.share
    table.add_row(
        "routes",
        f"{targets.routes:,}",
        f"loaded whole in {table.format_slope('rules load', targets.routes)} of a core, "
        f"{table.format_slope('rules memory', targets.routes)}; a judgement "
        f"{table.format_slope('rules judgement', targets.routes)}",
        f"{format_number(few)} of its services: loaded whole in {table.format_slope('rules load', few)}, "
        f"{table.format_slope('rules memory', few)}",
        "rules load, memory",
        "scoped state; rules are loaded whole still",
    )
    few = targets.tenants * targets.share
    table.add_row(
        "tenants",
        f"{targets.tenants:,}",
        f"a gateway that heard of all: {table.format_slope('tenants memory', targets.tenants)}, and each "
        "look at a request of one that alone waits "
        f"{table.format_slope('tenants waiting request', targets.tenants)} of a core; a part of the ledger "
        f"holds {MAX_RECORDS_PER_PART:,}",
        f"{format_number(few)} of its services: {table.format_slope('tenants memory', few)}, "
        f"{table.format_slope('tenants waiting request', few)}",
        "tenants memory, waiting request",
        "scoped state; a part of the ledger that holds more",
        otherwise=NOT_TODAY if targets.tenants > MAX_RECORDS_PER_PART else NOT_KNOWN,
    )


def latency(table, targets):
    """A latency that a busy machine adds can't be told from what a gateway adds.

    If the bare relay alone takes longer than the target, the run therefore gives no verdict.
    """
    limit, latencies = targets.added / 1e6, sorted(table.slopes.latencies, key=lambda latency: latency.rate)
    today = "; ".join(
        f"{format_number(latency.gateway - latency.relay)} ms at {format_number(latency.rate)} a second ("
        f"{format_number(latency.gateway)} beside {format_number(latency.relay)} at a bare relay; in the "
        f"median {format_number(latency.gateway_median)} beside {format_number(latency.relay_median)})"
        for latency in latencies
    )
    verdict = NOT_KNOWN
    run = NO_RUN
    if latencies:
        nearest = min(latencies, key=lambda latency: abs(latency.rate - targets.requests))
        run = f"`{nearest.source.command}`, beside a load of {format_number(nearest.source.beside)}"
        if nearest.relay > limit:
            run += ": the bare relay alone takes longer than what is wanted, so it shows nothing"
        else:
            verdict = MET if nearest.gateway - nearest.relay <= limit else NOT_MET
    table.add_row(
        "added to a request",
        f"{format_number(limit)} ms for {format_share(targets.added_share)}",
        today or NOT_MEASURED,
        "as today: a gateway decides alone",
        "none: measured at a gateway's rate",
        "a choice that knows which connections have rested",
        otherwise=verdict,
        run=run,
    )


def regions(table, targets):
    table.add_row(
        "regions and zones",
        f"{targets.regions} and {targets.zones}",
        "not played at that size",
        f"{format_number(targets.zone_instances)} instances and {format_number(targets.zone_gateways)} "
        "gateways a zone",
        "division alone",
        "relays in each region; a gateway goes to another's when its own is gone",
    )


def changes(table, targets):
    cost = table.slope_value("rules load", targets.routes)
    busy = NOT_MEASURED if cost is None else format_share(cost * targets.configurations)
    table.add_row(
        "changes of configuration",
        f"{format_number(targets.changes_a_day)} a day, each in force everywhere within "
        f"{format_number(targets.in_force / NS_PER_SECOND)} s",
        "a file and SIGHUP a gateway; nothing tells where it is in force; all routes loaded for each: "
        f"{busy} of a core",
        f"told in {table.transfer_time(1)} of a gateway's bytes; rules of its services loaded in "
        f"{table.format_slope('rules load', targets.routes * targets.share)}",
        "subscriber changes bytes, rules load",
        "incremental, paced, acknowledged",
        limit=targets.in_force / NS_PER_SECOND,
        otherwise=NOT_TODAY,
    )


def budget(table, targets):
    for of in (services_label(targets.share), services_label(1.0)):
        processor_time(table, targets, of)
        memory(table, targets, of)
        bytes_in(table, targets, of)
    control_machines(table, targets)


CONTROL_PARTS = "sum of list, rules, tenants, subscription"
SEE_ALL_SERVICES = "see all services"


def processor_time(table, targets, of):
    cost, limit = table.control_cost(of, CPU), targets.control.core
    today = f"rules loaded whole for each change: {table.format_slope('rules load', targets.routes)} each"
    table.add_row(
        f"control's processor time, {of}",
        f"{format_share(limit)} of a core a gateway",
        today if of == services_label(1.0) else SEE_ALL_SERVICES,
        f"{format_cost(CPU, cost)} of a core in calm",
        CONTROL_PARTS,
        "scoped, incremental",
        limit=100 * limit,
        otherwise=NOT_MET if cost is not None and cost.figure > limit else NOT_KNOWN,
    )


def memory(table, targets, of):
    megabytes, limit = table.control_memory(of), targets.control.memory_mb
    today = (
        f"list {table.format_slope('gateway memory', targets.instances)} with the gateway at rest, rules "
        f"{table.format_slope('rules memory', targets.routes)}, tenants "
        f"{table.format_slope('tenants memory', targets.tenants)}"
    )
    table.add_row(
        f"control's memory, {of}",
        f"{format_number(limit)} MB a gateway",
        today if of == services_label(1.0) else SEE_ALL_SERVICES,
        NOT_MEASURED if megabytes is None else f"{format_number(megabytes)} MB above a gateway at rest",
        CONTROL_PARTS,
        "scoped",
        limit=limit,
        otherwise=NOT_MET if megabytes is not None and megabytes > limit else NOT_KNOWN,
    )


def bytes_in(table, targets, of):
    calm, start, limit = (
        table.control_cost(of, BYTES),
        table.control_cost(of, BYTES, RESTART),
        targets.control.bytes_a_second,
    )
    duration = NOT_MEASURED if start is None else format_seconds(start.figure / limit)
    today = f"a whole list has {table.format_slope('discovery list', targets.instances)}"
    table.add_row(
        f"control's bytes, {of}",
        f"{format_bytes(limit)}/s a gateway",
        today if of == services_label(1.0) else SEE_ALL_SERVICES,
        f"{format_cost(BYTES, calm)} in calm; what a start asks for takes {duration} at that rate",
        "subscriber changes bytes, relay snapshot",
        "scoped, paced",
        limit=limit,
        otherwise=NOT_MET if calm is not None and calm.figure > limit else NOT_KNOWN,
    )


def control_machines(table, targets):
    table.add_row(
        "control machines",
        f"{targets.control.machines}, of which {targets.guesses.lost_machines} may be lost (a guess)",
        "a leader that tells all gateways itself: "
        f"{table.format_slope('leader told over HTTP', targets.gateways)} of a core a change",
        f"a relay holds {table.format_slope('relay memory', targets.records)} and tells a change to those "
        "that route to its service in "
        f"{table.format_slope('relay change', targets.subscribers * targets.share)}, without HTTP",
        "relay memory, relay change",
        "members hold the log, relays tell it",
    )


def machines(table, targets):
    table.add_row(
        "failures and restarts",
        f"{format_number(targets.failures_a_day)} and {format_number(targets.restarts_a_day)} a day",
        f"{format_number(targets.instance_changes)} changes a second, each "
        f"{table.format_slope('gateway change', targets.instances)} at a gateway that knows all",
        f"{format_number(targets.instance_changes * targets.share)} a second reach a gateway",
        "gateway change",
        "scoped; later news take the place of earlier",
    )


def losses(table, targets):
    each = table.slope_value("gateway change", targets.instances)
    for name, count, wanted, guess in (
        (
            "a rack",
            targets.guesses.rack_instances,
            f"{format_number(targets.racks_a_week)} a week",
            " (a guess)",
        ),
        ("a zone", targets.zone_instances, f"{format_number(targets.zones_a_month)} a month", ""),
    ):
        table.add_row(
            name,
            wanted,
            f"{format_number(count)} changes{guess}: "
            f"{NOT_MEASURED if each is None else format_seconds(count * each / 1e3)} of a core at a "
            "gateway that knows all",
            f"{format_number(count * targets.share)} reach a gateway in the mean, in "
            f"{table.transfer_time(count * targets.share)} at its bytes; one that routes to all services: "
            f"{table.transfer_time(count)}",
            "gateway change, subscriber changes bytes",
            "drains and removals go first, within the budget",
        )
    cut = targets.guesses.cut / NS_PER_SECOND
    missed = (targets.instance_changes + targets.configurations) * cut
    table.add_row(
        "a region cut off",
        f"for minutes ({format_number(targets.guesses.cuts_a_year)} a year of {format_number(cut)} s are "
        "guesses)",
        "serves on from what it has and is told all that it missed (`docs/cluster.md`)",
        f"{format_number(missed)} changes missed, {format_number(missed * targets.share)} of a gateway's "
        f"services: {table.transfer_time(missed * targets.share)} at its bytes",
        "subscriber changes bytes",
        "versions of each scope: it resumes from the one that it has",
    )
