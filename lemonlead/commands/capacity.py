"""`lemonlead capacity`: what a fleet can bear."""

import html
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
from tabulate import tabulate

from .. import settings
from ..planning import answers, fleet

FILE = click.argument("file", type=click.Path(exists=True, dir_okay=False))
JSON = click.option("--json", "as_json", is_flag=True, help="For machines.")
SEED = click.option(
    "--seed", default=1, type=click.IntRange(0), help="Of chance; the same gives the same day."
)
GROWTH = click.option(
    "--growth", default=1.0, type=click.FloatRange(0.001, 1000), help="So many times the load."
)


@click.group(name="capacity")
def command():
    """Say what of a fleet breaks first, how many instances a goal needs, and what losses do."""


def read(file, as_json, kind=fleet):
    try:
        return kind.read(file)
    except settings.InvalidFile as error:
        told = {"faults": [fault.as_dict() for fault in error.faults]}
        lines = [f"{fault.place}: {fault.code} {fault.message}" for fault in error.faults]
        click.echo(json.dumps(told) if as_json else "\n".join(lines))
        sys.exit(2)


def show(told, as_json, rows, *more):
    if as_json:
        return click.echo(json.dumps(told))
    click.echo(tabulate(rows, headers="keys", floatfmt=".4g"))
    for line in more:
        click.echo(line)
    return None


@command.command()
@FILE
@JSON
def breaks(file, as_json):
    """Say at which growth of the load each resource is full and each goal missed, the first of them first.

    Example: lemonlead capacity breaks deploy/capacity/fleet.cue
    """
    rows = answers.breaking_points(read(file, as_json))
    first = rows[0] if rows else {"what": "nothing", "growth": answers.MAX_GROWTH}
    show({"breaks": rows}, as_json, rows, f"\nfirst: {first['what']} at {first['growth']:.2f} times the load")


@command.command()
@FILE
@click.option("--lost", default=0, type=click.IntRange(0, 3), help="Any so many sites may be gone.")
@click.option("--work", default=1.0, type=click.FloatRange(0.1, 100), help="So many times the work a lookup.")
@JSON
def size(file, lost, work, as_json):
    """Say the fewest instances that meet the fleet's goal, by site and kind. Exit 1 where no number does.

    Example: lemonlead capacity size deploy/capacity/fleet.cue --lost 1 --work 2.5
    """
    found, why = answers.smallest_size(read(file, as_json), lost, work)
    rows = [{"site": site, **counts} for site, counts in (found or {}).items()]
    show({"instances": found, "why": why}, as_json, rows, "", why)
    sys.exit(found is None)


@command.command()
@FILE
@click.argument("site")
@SEED
@GROWTH
@JSON
def lose(file, site, seed, growth, as_json):
    """Play the loss of a site: service before, while it is gone, while it comes back cold, and after.

    Example: lemonlead capacity lose deploy/capacity/fleet.cue ebene
    """
    given = read(file, as_json)
    if site not in given.sites:
        raise click.UsageError(f"no site {site!r} (there is {', '.join(given.sites)})")
    rows, _ = answers.play_site_loss(given.with_load_factor(growth), site, seed)
    show({"parts": rows}, as_json, rows)


@command.command()
@FILE
@click.option(
    "--work",
    default=2.5,
    type=click.FloatRange(0.1, 100),
    show_default=True,
    help="So many times the work under the build.",
)
@SEED
@GROWTH
@JSON
def release(file, work, seed, growth, as_json):
    """Play a build that needs more work: service by stage, and whether the gateways send it back.

    Example: lemonlead capacity release deploy/capacity/fleet.cue --work 2.5
    """
    rows, _ = answers.play_release(read(file, as_json).with_load_factor(growth), work, seed)
    show({"parts": rows}, as_json, rows)


@command.command()
@FILE
@click.option("--seeds", default=3, type=click.IntRange(1, 100), show_default=True, help="Days played.")
@GROWTH
@JSON
def predict(file, seeds, growth, as_json):
    """Predict service under the load as it is: days played with the balancers, closed forms beside them.

    Example: lemonlead capacity predict deploy/capacity/fleet.cue --growth 1.5
    """
    told = predicted(read(file, as_json).with_load_factor(growth), seeds)
    show(
        told,
        as_json,
        [{key: value for key, value in told.items() if key != "played"}],
        f"days: {told['played']}",
    )


def predicted(given, seeds):
    """As `answers.predict_service`, the days in processes of their own."""
    with ProcessPoolExecutor() as pool:
        each = list(
            pool.map(answers.predict_service, [given] * seeds, [(seed,) for seed in range(1, seeds + 1)])
        )
    played = [one["played"][0] for one in each]
    return {**each[0], "played": played, "mean": round(sum(played) / seeds, 4)}


@command.command()
@click.argument("one", type=click.Path(exists=True, dir_okay=False))
@click.argument("other", type=click.Path(exists=True, dir_okay=False))
@JSON
def compare(one, other, as_json):
    """Predict two fleets side by side.

    Example: lemonlead capacity compare now.cue planned.cue
    """
    rows = []
    for file in (one, other):
        given = read(file, as_json)
        first = (answers.breaking_points(given) or [{"what": "nothing", "growth": answers.MAX_GROWTH}])[0]
        told = predicted(given, 3)
        rows.append(
            {
                "fleet": file,
                "service": told["mean"],
                "first to break": first["what"],
                "at growth": round(first["growth"], 2),
                "instances": sum(count for _, _, count in given.machine_counts()),
            }
        )
    show({"fleets": rows}, as_json, rows)


@command.command()
@FILE
@GROWTH
@SEED
@click.option("--seconds", default=25, type=click.IntRange(10, 300), show_default=True)
@JSON
def check(file, growth, seed, seconds, as_json):
    """Play the fleet on loopback, with real gateways among stand-ins, and put what is predicted beside it.
    Exit 1 where they are over 5 points apart. It wants a computer that does little else.

    Example: lemonlead capacity check deploy/capacity/fleet.cue --growth 1.5
    """
    from ..planning import loopback

    given = read(file, as_json).with_load_factor(growth)
    click.echo(f"playing {seconds} s on loopback ...", err=True)
    measured = loopback.measure(given, seed, seconds)
    told = predicted(given, 3)
    told = {
        "measured": measured,
        "predicted": told["mean"],
        "apart_by": round(abs(measured - told["mean"]), 4),
    }
    show(told, as_json, [told])
    sys.exit(told["apart_by"] > 0.05)


@command.command()
@FILE
@click.argument("page", type=click.Path(dir_okay=False))
@SEED
def report(file, page, seed):
    """Write one HTML page: what breaks, what each site's loss does, and what a bad build does, second by
    second.

    Example: lemonlead capacity report deploy/capacity/fleet.cue report.html
    """
    given, parts = read(file, False), []
    parts.append(section("What breaks first", answers.breaking_points(given)))
    for site in given.sites if len(given.sites) > 1 else ():
        click.echo(f"playing the loss of {site} ...", err=True)
        rows, seconds = answers.play_site_loss(given, site, seed)
        parts.append(section(f"Site {site} is lost", rows, chart(seconds)))
    click.echo("playing a bad build ...", err=True)
    rows, seconds = answers.play_release(given, 2.5, seed)
    parts.append(section("A build that needs 2.5 times the work", rows, chart(seconds)))
    Path(page).write_text(PAGE.format(file=html.escape(file), body="\n".join(parts)))
    click.echo(page)


def unfit(file, path, found, expected, as_json):
    """Tells one fault, and ends."""
    told = {"file": file, "path": path, "found": found, "allowed": expected}
    text = f"{file}: {path}: found {found}, expected {expected}"
    click.echo(json.dumps({"faults": [told]}) if as_json else text)
    sys.exit(2)


@command.command(name="fleet")
@FILE
@click.option(
    "--slopes",
    "measured",
    default="docs/capacity/slopes.json",
    show_default=True,
    type=click.Path(exists=True, dir_okay=False),
    help="What was measured, as benchmarks.slopes writes it.",
)
@click.option(
    "--page",
    "to",
    default="docs/CAPACITY.md",
    show_default=True,
    type=click.Path(dir_okay=False),
    help="The page to write.",
)
@JSON
def fleet_to_come(file, measured, to, as_json):
    """Work out what a fleet to come needs of each role, by slopes that were measured, and write the page.

    Example: lemonlead capacity fleet deploy/capacity/fleet-2028.cue --page docs/CAPACITY.md
    """
    from ..planning import page, slopes, targets

    wanted = read(file, as_json, targets)
    try:
        found = slopes.read(Path(measured).read_bytes())
    except slopes.InvalidSlopes as error:
        unfit(measured, error.path, str(error.found), error.expected, as_json)
    text = page.render(wanted, found)
    try:
        Path(to).write_text(text)
    except OSError as error:
        unfit(to, "the page", error.strerror, "a place that can be written", as_json)
    if not as_json:
        return click.echo(to)
    return click.echo(
        json.dumps(
            {
                "page": to,
                "wanted": page.target_rows(wanted, found),
                "roles": page.size_rows(wanted, found),
            }
        )
    )


PAGE = """<!doctype html><html><head><meta charset="utf-8"><title>Capacity of {file}</title>
<style>body{{font:15px sans-serif;max-width:60em;margin:2em auto}}td,th{{padding:.2em .8em;text-align:left}}
table{{border-collapse:collapse}}tr{{border-bottom:1px solid #ccc}}svg{{background:#f6f6f6}}</style></head>
<body><h1>Capacity of {file}</h1>
{body}
</body></html>
"""


def section(title, rows, drawn=""):
    table = tabulate(rows, headers="keys", tablefmt="html", floatfmt=".4g")
    return f"<h2>{html.escape(title)}</h2>{table}{drawn}"


def chart(seconds, width=720, height=160):
    """Service by second, as a line from 0 (below) to 1."""
    shares = [second.answered_revenue / second.revenue if second.revenue else 1.0 for second in seconds]
    step = width / max(len(shares) - 1, 1)
    line = " ".join(
        f"{n * step:.1f},{height - 10 - share * (height - 20):.1f}" for n, share in enumerate(shares)
    )
    return (
        f'<p>Service by second, 0 to 1</p><svg width="{width}" height="{height}" role="img">'
        f'<polyline points="{line}" fill="none" stroke="#06c" stroke-width="2"/></svg>'
    )
