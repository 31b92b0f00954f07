"""Renders docs/CAPACITY.md. Every figure on the page comes from the targets and the slopes."""

import textwrap

from . import sizing
from .number_format import format_number, markdown_table
from .sizing import CALM, CONDITIONS, MEMORY, ROLES
from .target_table import NOT_MEASURED, format_cost, target_rows
from .targets import NS_PER_SECOND

PAGE_WIDTH = 120
MAX_HELD_OUT_ERROR = 0.2  # the page names lines with a larger error at the point held out
CONDITION_HEADINGS = {
    "calm": "calm",
    "rack": "a rack lost",
    "zone": "a zone lost",
    "restart": "all gateways restarted",
    "cut": "after a region's cut",
    "change": "a change of configuration",
}


def render(targets, slopes):
    """Returns the page as Markdown."""
    rows = target_rows(targets, slopes)
    parts = [
        INTRODUCTION,
        verdict_summary(rows),
        "## The operators' figures",
        ABOUT_TARGETS,
        markdown_table(rows),
        "## What each role costs: slopes",
        ABOUT_SLOPES,
        markdown_table(slope_rows(targets, slopes)),
        "## What each role needs at that size",
        about_sizes(targets),
        markdown_table(size_rows(targets, slopes)),
        "## Measured, worked out, guessed",
        *provenance(targets, slopes),
        run_table(slopes),
        "## The stampede in small",
        *stampede_paragraphs(slopes.stampede),
    ]
    return "\n\n".join(part if part.startswith(("#", "|")) else wrap(part) for part in parts) + "\n"


def wrap(text):
    indent = "  " if text.startswith("- ") else ""
    return textwrap.fill(
        text, PAGE_WIDTH, subsequent_indent=indent, break_long_words=False, break_on_hyphens=False
    )


INTRODUCTION = """# The fleet of 2028

What the operators plan, what one machine of today does, what the design does at that size, and what is not
known. `lemonlead capacity fleet deploy/capacity/fleet-2028.cue` makes this page from that file and from
`docs/capacity/slopes.json`, which `python -m benchmarks.slopes` writes. No figure here is typed by hand, and
what is changed here is lost."""

ABOUT_TARGETS = (
    "`m`: measured at that very size. `x`: worked out past the points of its slope. All other figures of "
    "the design are worked out. *Met* stands only where a run at full size shows it, *not met* where a "
    "figure breaks what is wanted."
)
ABOUT_SLOPES = (
    "Least squares of the relative errors; the last size is kept out of the fit and tests it. Processor "
    "time is that of one core of a machine shared with other work (the last table has its load), which "
    "makes it longer; bytes are those of JSON, without HTTP's heads."
)


def verdict_summary(rows):
    """Returns a paragraph that names the targets by verdict."""
    by_verdict = {}
    for row in rows:
        by_verdict.setdefault(row["verdict"].replace("*", ""), []).append(row["figure"])
    sentences = [
        f"{verdict.capitalize()}: {'; '.join(names)}." for verdict, names in sorted(by_verdict.items())
    ]
    return f"In short. {' '.join(sentences)}"


def about_sizes(targets):
    guesses = targets.guesses
    return (
        "In calm: shares of a core, bytes and messages a second. Else: seconds of a core, and all of "
        "them, of one of that role, at a rack's loss, at a zone's, when all gateways start at once, once "
        f"a region is back that was cut off for {format_number(guesses.cut / NS_PER_SECOND)} s, and for "
        "one change of configuration, which is to be in force within "
        f"{format_number(targets.in_force / NS_PER_SECOND)} s. What is paid each second stays a share. "
        f"`(g)`: a guess goes in. *Its services*: a gateway that routes to {guesses.services_a_gateway} of "
        f"{targets.services:,}; *all services*: one that routes to all."
    )


# ---- by role


def slope_rows(targets, slopes):
    rows, order = [], list(ROLES)
    for slope in sorted(slopes.slopes, key=lambda slope: order.index(slope.role)):
        rows.append(
            {
                "role": ROLES[slope.role],
                "what": slope.name,
                "unit": slope.unit,
                "fixed + slope": formula(slope),
                "points": ", ".join(
                    f"{format_number(point.size)}: {format_number(point.figure)}" for point in slope.points
                ),
                "error of the fit": f"{100 * slope.error:.1f} %",
                "kept out": f"{format_number(slope.held_out.size)}: {format_number(slope.held_out.figure)}",
                "fit there off by": f"{100 * slope.held_out_error:+.1f} %",
            }
        )
    used = [row for row in sizing.rows(targets) if row.slope != sizing.NO_SLOPE]
    missing = {row.slope: row.role for row in used if slopes.get(row.slope) is None}
    empty = dict.fromkeys(("points", "error of the fit", "kept out", "fit there off by"), "")
    for name, role in missing.items():
        rows.append({"role": ROLES[role], "what": name, "unit": "", "fixed + slope": NOT_MEASURED, **empty})
    return rows


def formula(slope):
    sign = "-" if slope.slope < 0 else "+"
    return f"{format_number(slope.fixed)} {sign} {format_number(abs(slope.slope))} x {slope.by}"


def size_rows(targets, slopes):
    rows = []
    for row in sizing.rows(targets):
        cells = {
            "role": ROLES[row.role],
            "what": row.what + " (g)" * row.guessed,
            "of": row.kind,
            "at": "each" if row.per_unit or row.slope == sizing.NO_SLOPE else format_number(row.size),
        }
        for condition in CONDITIONS:
            cost = format_cost(row.kind, row.at(slopes, condition), condition == CALM or row.steady)
            same = row.kind == MEMORY and condition != CALM and cost != NOT_MEASURED
            cells[CONDITION_HEADINGS[condition]] = "as in calm" if same else cost
        rows.append(cells)
    nothing = dict.fromkeys(CONDITION_HEADINGS.values(), NOT_MEASURED)
    rows.append({"role": ROLES["platform"], "what": "news and votes", "of": "all", "at": "-", **nothing})
    return rows


# ---- how the figures were obtained


def provenance(targets, slopes):
    guesses = targets.guesses
    inaccurate = [slope for slope in slopes.slopes if abs(slope.held_out_error) > MAX_HELD_OUT_ERROR]
    inaccurate_names = (
        ", ".join(f"{slope.name} ({100 * slope.held_out_error:+.0f} %)" for slope in inaccurate) or "none"
    )
    return [
        "- **Measured**: the points of the slopes, and what has an `m`, on one shared machine. Whole "
        "programs: a gateway's list, start, requests and clients' connections; a member's memory, "
        "commands and what it tells over HTTP. The deciding code alone, in one process: rules, tenants, "
        "what a gateway follows, a leader's change, relay and subscription. So processor time of relays, "
        "without HTTP, is a lower bound.",
        "- **Worked out**: all else. A gateway's part of a rack or a zone is the mean; by chance it may "
        "get far more.",
        f"- **Lines that do not hold**: off by over {format_number(100 * MAX_HELD_OUT_ERROR)} % at the "
        f"point kept out: {inaccurate_names}. What rests on these at other sizes than those measured is no "
        "better than that.",
        f"- **Guessed**, as the operators' file says: {guesses.services_a_gateway} services a gateway, "
        f"{guesses.rack_instances} instances a rack, {format_number(guesses.changes_a_restart)} changes of "
        f"the list a restart or loss, {format_number(guesses.cuts_a_year)} cuts a year of "
        f"{format_number(guesses.cut / NS_PER_SECOND)} s, {guesses.clients_a_gateway} clients' connections "
        f"a gateway, {guesses.lost_machines} control machine lost. And here: instances, routes and tenants "
        "are spread evenly over services, gateways restart as often as other machines, each change of "
        "configuration concerns a route, each record is as large as an instance's.",
        "- **Not measured**: where it says so. Nothing of the design has been seen at full size unless a "
        "run is named.",
    ]


def run_table(slopes):
    """Returns a table of the runs that gave the figures, each once."""
    sources = dict.fromkeys(item.source for item in (*slopes.slopes, *slopes.latencies, *slopes.runs))
    return (
        markdown_table(
            [
                {
                    "run": f"`{source.command}`",
                    "date": source.date,
                    "commit": source.commit,
                    "load beside it": f"{format_number(source.beside)} on {source.cores} cores",
                }
                for source in sources
            ]
        )
        if sources
        else "No run has given a figure yet."
    )


def stampede_paragraphs(seen):
    if seen is None:
        return [NOT_MEASURED]
    (least, most), (first, last) = seen.calls_a_second, seen.none_served
    return [
        f"Gateways that start together call the same few machines. Seen ({seen.source}): {seen.gateways} "
        f"gateways, one discovery that works off {format_number(least)} to {format_number(most)} calls a "
        f"second, one after the other. A call that waited {format_number(seen.fails_after)} s fails, but "
        f"its work is done all the same. {seen.callers} callers within {format_number(seen.within)} s kept "
        f"it over that for good: none was served from {format_number(first)} to {format_number(last)} s, "
        "as each call made again queues up behind work for callers that have gone. Spread over "
        f"{format_number(seen.spread)} s all were served in {format_number(seen.served_after)} s. After "
        f"failures the pauses are {', '.join(map(format_number, seen.pauses))} s.",
        "For the design: whoever starts or loses its relay comes back spread; no call is made again "
        "sooner than the work before it can be done; and who can't serve in time says so before it has "
        "done the work.",
    ]
