"""The operators' figures one by one: what is wanted, what one machine of today does, what the design does at
that size, and whether that is met. Without I/O.

*Met* needs a run at full size; *not met* a figure, measured or worked out, that breaks what is wanted; all
else is not known."""

from ..ledger.capacity import MAX_RECORDS_PER_PART
from ..ledger.followers import MAX_FOLLOWERS
from . import sizing
from .number_format import format_bytes, format_number, format_seconds, format_share
from .sizing import BYTES, CALM, CPU, MEMORY, RESTART, SECONDS, services_label
from .targets import NS_PER_SECOND

NOT_MEASURED = "not measured"
BELOW_ZERO = "not known: its line is below 0 there"
MET, NOT_MET, NOT_KNOWN = "met", "**not met**", "not known"
NOT_TODAY = f"{NOT_MET} today; design {NOT_KNOWN}"
NO_RUN = "none yet"


def format_cost(kind, worth, a_second=True):
    """A Cost as words: `m` measured at that size, `x` past the points of its slope."""
    if worth is None:
        return NOT_MEASURED
    if worth.figure < 0:
        return BELOW_ZERO
    if kind == MEMORY:
        text = f"{format_number(worth.figure)} MB"
    elif worth.figure == 0:
        return "-"
    elif kind == CPU:
        text = format_share(worth.figure) if a_second else format_seconds(worth.figure)
    else:
        text = (format_bytes if kind == BYTES else format_number)(worth.figure) + "/s" * a_second
    return text + marks(worth)


def marks(worth):
    return " m" * worth.measured + " x" * worth.outside


class TargetTable:
    def __init__(self, targets, slopes):
        self.targets, self.slopes, self.rows = targets, slopes, []

    def figure(self, name, at):
        """What a slope says at a size, in its own unit; None: not measured."""
        slope = self.slopes.get(name)
        if slope is None:
            return None
        worth = sizing.CostRow("", "", MEMORY, name, at).cost(self.slopes)
        return worth.figure / SECONDS.get(slope.unit, 1.0)

    def cost(self, name, at):
        """The same as words."""
        slope = self.slopes.get(name)
        if slope is None:
            return NOT_MEASURED
        worth = sizing.CostRow("", "", MEMORY, name, at).cost(self.slopes)
        if worth.figure < 0:
            return BELOW_ZERO
        if slope.unit in SECONDS:
            return format_seconds(worth.figure) + marks(worth)
        text = (
            format_bytes(worth.figure)
            if slope.unit == "bytes"
            else f"{format_number(worth.figure)} {slope.unit}"
        )
        return text + marks(worth)

    def each(self, name):
        """What a slope adds with each, in its own unit; None: not measured."""
        slope = self.slopes.get(name)
        return None if slope is None else slope.slope

    def takes(self, count, name="subscriber changes bytes"):
        """The time that so many changes take at a gateway's share of bytes, as words."""
        each = self.each(name)
        return (
            NOT_MEASURED
            if each is None
            else format_seconds(count * each / self.targets.control.bytes_a_second)
        )

    def sum(self, of, kind, condition=CALM):
        """Of a gateway's control; None where a part of it is not measured."""
        rows = [row for row in sizing.control_rows(self.targets, of) if row.kind == kind]
        return sizing.total_cost(self.slopes, rows, condition)

    def memory(self, of):
        """Megabytes of a gateway for control: above one at rest."""
        worth, slope = self.sum(of, MEMORY), self.slopes.get("gateway memory")
        return None if worth is None else worth.figure - slope.fixed

    def row(self, name, wanted, today, design, by, mechanism, limit=None, otherwise=NOT_KNOWN, run=NO_RUN):
        """`limit`: what the runs at full size are held against, none where they only need to have passed.
        `otherwise`: the verdict where there is no such run."""
        runs = [run for run in self.slopes.runs if run.of == name]
        full = [run.found for run in runs if run.whole]
        verdict = otherwise
        if full:
            verdict = MET if limit is None or max(full) <= limit else NOT_MET
        self.rows.append(
            {
                "figure": name,
                "wanted": wanted,
                "one machine of today": today,
                "the design at that size": design,
                "by slope": by,
                "mechanism": mechanism,
                "run that shows it": "; ".join(map(shown, runs)) or run,
                "verdict": verdict,
            }
        )


def shown(run):
    size_of = "" if run.whole else ", not at full size"
    how = ", simulated" if run.simulated else ""
    return f"{run.what}: {format_number(run.found)} {run.unit}{size_of}{how} (`{run.source.command}`)"


def target_rows(targets, slopes):
    """The rows of the table, in the letter's order."""
    it = TargetTable(targets, slopes)
    for part in (fleet, services, load, latency, regions, changes, budget, machines, losses):
        part(it, targets)
    return it.rows


def fleet(it, t):
    it.row(
        "gateways",
        f"{t.gateways:,}",
        f"{MAX_FOLLOWERS:,} follow a ledger at most (a bound of its state); the leader spends "
        f"{it.cost('leader told over HTTP', MAX_FOLLOWERS)} on a change told to as many",
        f"{format_number(t.subscribers)} at each of {t.machines_left} machines: "
        f"{it.cost('relay subscribers memory', t.subscribers)} there",
        "relay subscribers memory",
        "relays between members and gateways",
        otherwise=NOT_TODAY if t.gateways > MAX_FOLLOWERS else NOT_KNOWN,
    )
    few = t.instances * t.share
    it.row(
        "instances",
        f"{t.instances:,}",
        f"a gateway that knows all: {it.cost('gateway memory', t.instances)}; a change of one "
        f"{it.cost('gateway change', t.instances)}, a start {it.cost('gateway start CPU', t.instances)} "
        "of a core",
        f"a gateway that knows {format_number(few)}: {it.cost('gateway memory', few)}; a change "
        f"{it.cost('gateway change', few)}, a start {it.cost('gateway start CPU', few)}",
        "gateway memory, change, start CPU",
        "scoped state; a list that costs what changes",
    )


def services(it, t):
    few = t.records * t.share
    it.row(
        "services",
        f"{t.services:,}",
        "a gateway knows one list and no services",
        f"{t.guesses.services_a_gateway} a gateway (a guess): {format_number(few)} records, "
        f"{it.cost('subscriber memory', few)}; all: {format_number(t.records)}, "
        f"{it.cost('subscriber memory', t.records)}",
        "subscriber memory",
        "scopes that a gateway names",
        otherwise=NOT_TODAY,
    )


def load(it, t):
    cost = it.figure("gateway request", t.instances)
    busy = NOT_MEASURED if cost is None else format_share(cost / 1e3 * t.requests)
    few = it.figure("gateway request", t.instances * t.share)
    it.row(
        "requests a second",
        f"{format_number(t.requests_a_second)}: {format_number(t.requests)} a gateway",
        f"a request takes {it.cost('gateway request', t.instances)} of a core where all instances are known: "
        f"{busy} of a core",
        f"where its services' are: {NOT_MEASURED if few is None else format_share(few / 1e3 * t.requests)} "
        f"of a core",
        "gateway request",
        "each gateway by itself, as today",
    )
    few = t.routes * t.share
    it.row(
        "routes",
        f"{t.routes:,}",
        f"loaded whole in {it.cost('rules load', t.routes)} of a core, {it.cost('rules memory', t.routes)}; "
        f"a judgement {it.cost('rules judgement', t.routes)}",
        f"{format_number(few)} of its services: loaded whole in {it.cost('rules load', few)}, "
        f"{it.cost('rules memory', few)}",
        "rules load, memory",
        "scoped state; rules are loaded whole still",
    )
    few = t.tenants * t.share
    it.row(
        "tenants",
        f"{t.tenants:,}",
        f"a gateway that heard of all: {it.cost('tenants memory', t.tenants)}, and each look at a request of "
        f"one that alone waits {it.cost('tenants waiting request', t.tenants)} of a core; a part of the "
        f"ledger holds {MAX_RECORDS_PER_PART:,}",
        f"{format_number(few)} of its services: {it.cost('tenants memory', few)}, "
        f"{it.cost('tenants waiting request', few)}",
        "tenants memory, waiting request",
        "scoped state; a part of the ledger that holds more",
        otherwise=NOT_TODAY if t.tenants > MAX_RECORDS_PER_PART else NOT_KNOWN,
    )


def latency(it, t):
    """What a machine that is busy with other things adds by itself can't be told from a gateway's part: where
    the bare relay alone takes longer than what is wanted, the run says nothing on 99 in 100."""
    limit, found = t.added / 1e6, sorted(it.slopes.latencies, key=lambda one: one.rate)
    told = "; ".join(
        f"{format_number(one.gateway - one.relay)} ms at {format_number(one.rate)} a second "
        f"({format_number(one.gateway)} beside "
        f"{format_number(one.relay)} at a bare relay; in the median {format_number(one.gateway_median)} "
        f"beside "
        f"{format_number(one.relay_median)})"
        for one in found
    )
    verdict, run = NOT_KNOWN, NO_RUN
    if found:
        nearest = min(found, key=lambda one: abs(one.rate - t.requests))
        run = f"`{nearest.source.command}`, beside a load of {format_number(nearest.source.beside)}"
        if nearest.relay > limit:
            run += ": the bare relay alone takes longer than what is wanted, so it shows nothing"
        else:
            verdict = MET if nearest.gateway - nearest.relay <= limit else NOT_MET
    it.row(
        "added to a request",
        f"{format_number(limit)} ms for {format_share(t.added_share)}",
        told or NOT_MEASURED,
        "as today: a gateway decides alone",
        "none: measured at a gateway's rate",
        "a choice that knows which connections have rested",
        otherwise=verdict,
        run=run,
    )


def regions(it, t):
    it.row(
        "regions and zones",
        f"{t.regions} and {t.zones}",
        "not played at that size",
        f"{format_number(t.zone_instances)} instances and {format_number(t.zone_gateways)} gateways a zone",
        "division alone",
        "relays in each region; a gateway goes to another's when its own is gone",
    )


def changes(it, t):
    cost = it.figure("rules load", t.routes)
    busy = NOT_MEASURED if cost is None else format_share(cost * t.configurations)
    it.row(
        "changes of configuration",
        f"{format_number(t.changes_a_day)} a day, each in force everywhere within "
        f"{format_number(t.in_force / NS_PER_SECOND)} s",
        f"a file and SIGHUP a gateway; nothing tells where it is in force; all routes loaded for each: "
        f"{busy} of a "
        "core",
        f"told in {it.takes(1)} of a gateway's bytes; rules of its services loaded in "
        f"{it.cost('rules load', t.routes * t.share)}",
        "subscriber changes bytes, rules load",
        "incremental, paced, acknowledged",
        limit=t.in_force / NS_PER_SECOND,
        otherwise=NOT_TODAY,
    )


def budget(it, t):
    for of in (services_label(t.share), services_label(1.0)):
        processor_time(it, t, of)
        memory(it, t, of)
        bytes_in(it, t, of)
    control_machines(it, t)


PARTS = "sum of list, rules, tenants, subscription"
SEE = "see all services"


def processor_time(it, t, of):
    worth, most = it.sum(of, CPU), t.control.core
    today = f"rules loaded whole for each change: {it.cost('rules load', t.routes)} each"
    it.row(
        f"control's processor time, {of}",
        f"{format_share(most)} of a core a gateway",
        today if of == services_label(1.0) else SEE,
        f"{format_cost(CPU, worth)} of a core in calm",
        PARTS,
        "scoped, incremental",
        limit=100 * most,
        otherwise=NOT_MET if worth is not None and worth.figure > most else NOT_KNOWN,
    )


def memory(it, t, of):
    found, most = it.memory(of), t.control.memory_mb
    today = (
        f"list {it.cost('gateway memory', t.instances)} with the gateway at rest, rules "
        f"{it.cost('rules memory', t.routes)}, tenants {it.cost('tenants memory', t.tenants)}"
    )
    it.row(
        f"control's memory, {of}",
        f"{format_number(most)} MB a gateway",
        today if of == services_label(1.0) else SEE,
        NOT_MEASURED if found is None else f"{format_number(found)} MB above a gateway at rest",
        PARTS,
        "scoped",
        limit=most,
        otherwise=NOT_MET if found is not None and found > most else NOT_KNOWN,
    )


def bytes_in(it, t, of):
    calm, start, most = it.sum(of, BYTES), it.sum(of, BYTES, RESTART), t.control.bytes_a_second
    takes = NOT_MEASURED if start is None else format_seconds(start.figure / most)
    today = f"a whole list has {it.cost('discovery list', t.instances)}"
    it.row(
        f"control's bytes, {of}",
        f"{format_bytes(most)}/s a gateway",
        today if of == services_label(1.0) else SEE,
        f"{format_cost(BYTES, calm)} in calm; what a start asks for takes {takes} at that rate",
        "subscriber changes bytes, relay snapshot",
        "scoped, paced",
        limit=most,
        otherwise=NOT_MET if calm is not None and calm.figure > most else NOT_KNOWN,
    )


def control_machines(it, t):
    it.row(
        "control machines",
        f"{t.control.machines}, of which {t.guesses.lost_machines} may be lost (a guess)",
        f"a leader that tells all gateways itself: {it.cost('leader told over HTTP', t.gateways)} of a "
        f"core a change",
        f"a relay holds {it.cost('relay memory', t.records)} and tells a change to those that route to its "
        f"service "
        f"in {it.cost('relay change', t.subscribers * t.share)}, without HTTP",
        "relay memory, relay change",
        "members hold the log, relays tell it",
    )


def machines(it, t):
    it.row(
        "failures and restarts",
        f"{format_number(t.failures_a_day)} and {format_number(t.restarts_a_day)} a day",
        f"{format_number(t.instance_changes)} changes a second, each "
        f"{it.cost('gateway change', t.instances)} at "
        f"a gateway "
        "that knows all",
        f"{format_number(t.instance_changes * t.share)} a second reach a gateway",
        "gateway change",
        "scoped; later news take the place of earlier",
    )


def losses(it, t):
    each = it.figure("gateway change", t.instances)
    for name, count, wanted_of, guess in (
        ("a rack", t.guesses.rack_instances, f"{format_number(t.racks_a_week)} a week", " (a guess)"),
        ("a zone", t.zone_instances, f"{format_number(t.zones_a_month)} a month", ""),
    ):
        it.row(
            name,
            wanted_of,
            f"{format_number(count)} changes{guess}: "
            f"{NOT_MEASURED if each is None else format_seconds(count * each / 1e3)} of a "
            f"core at a "
            "gateway that knows all",
            f"{format_number(count * t.share)} reach a gateway in the mean, in {it.takes(count * t.share)} "
            f"at its "
            f"bytes; "
            f"one that routes to all services: {it.takes(count)}",
            "gateway change, subscriber changes bytes",
            "drains and removals go first, within the budget",
        )
    cut = t.guesses.cut / NS_PER_SECOND
    missed = (t.instance_changes + t.configurations) * cut
    it.row(
        "a region cut off",
        f"for minutes ({format_number(t.guesses.cuts_a_year)} a year of {format_number(cut)} s are guesses)",
        "serves on from what it has and is told all that it missed (`docs/cluster.md`)",
        f"{format_number(missed)} changes missed, {format_number(missed * t.share)} of a gateway's services: "
        f"{it.takes(missed * t.share)} at its bytes",
        "subscriber changes bytes",
        "versions of each scope: it resumes from the one that it has",
    )
