"""`lemonlead capacity`: plans the capacity of a fleet."""

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
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
SEED = click.option(
    "--seed",
    default=1,
    type=click.IntRange(0),
    help="Random seed; the same seed gives the same simulated day.",
)
GROWTH = click.option("--growth", default=1.0, type=click.FloatRange(0.001, 1000), help="Factor on the load.")


@click.group(name="capacity")
def command():
    """Print what breaks first in a fleet, how many instances a goal needs, and what losses do."""


def read_or_exit(file, as_json, kind=fleet):
    """Reads a file with the module `kind`. If it is invalid, prints all its faults and exits with 2."""
    try:
        return kind.read(file)
    except settings.InvalidFile as error:
        output = {"faults": [fault.as_dict() for fault in error.faults]}
        lines = [f"{fault.place}: {fault.code} {fault.message}" for fault in error.faults]
        click.echo(json.dumps(output) if as_json else "\n".join(lines))
        sys.exit(2)


def show(output, as_json, rows, *more):
    if as_json:
        return click.echo(json.dumps(output))
    click.echo(tabulate(rows, headers="keys", floatfmt=".4g"))
    for line in more:
        click.echo(line)
    return None


@command.command()
@FILE
@JSON
def breaks(file, as_json):
    """Print at which growth of the load each resource is full and each goal is missed, in order.

    Example: lemonlead capacity breaks deploy/capacity/fleet.cue
    """
    rows = answers.breaking_points(read_or_exit(file, as_json))
    first = rows[0] if rows else {"what": "nothing", "growth": answers.MAX_GROWTH}
    show({"breaks": rows}, as_json, rows, f"\nfirst: {first['what']} at {first['growth']:.2f} times the load")


@command.command()
@FILE
@click.option(
    "--lost", default=0, type=click.IntRange(0, 3), help="How many sites, any of them, may be lost."
)
@click.option("--work", default=1.0, type=click.FloatRange(0.1, 100), help="Factor on the work of a request.")
@JSON
def size(file, lost, work, as_json):
    """Print the fewest instances that meet the fleet's goal, by site and kind. Exit with 1 if no number does.

    Example: lemonlead capacity size deploy/capacity/fleet.cue --lost 1 --work 2.5
    """
    found, why = answers.smallest_size(read_or_exit(file, as_json), lost, work)
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
    """Simulate the loss of a site: service before, while it is gone, while it comes back cold, and after.

    Example: lemonlead capacity lose deploy/capacity/fleet.cue ebene
    """
    fleet_model = read_or_exit(file, as_json)
    if site not in fleet_model.sites:
        raise click.UsageError(f"no site {site!r} (there is {', '.join(fleet_model.sites)})")
    rows, _ = answers.play_site_loss(fleet_model.with_load_factor(growth), site, seed)
    show({"parts": rows}, as_json, rows)


@command.command()
@FILE
@click.option(
    "--work",
    default=2.5,
    type=click.FloatRange(0.1, 100),
    show_default=True,
    help="Factor on the work under the build.",
)
@SEED
@GROWTH
@JSON
def release(file, work, seed, growth, as_json):
    """Simulate a build that needs more work: service by stage, and whether the gateways roll it back.

    Example: lemonlead capacity release deploy/capacity/fleet.cue --work 2.5
    """
    rows, _ = answers.play_release(read_or_exit(file, as_json).with_load_factor(growth), work, seed)
    show({"parts": rows}, as_json, rows)


@command.command()
@FILE
@click.option(
    "--seeds", default=3, type=click.IntRange(1, 100), show_default=True, help="Number of simulated days."
)
@GROWTH
@JSON
def predict(file, seeds, growth, as_json):
    """Predict service under the present load: by simulated days with the balancers, and by closed forms.

    Example: lemonlead capacity predict deploy/capacity/fleet.cue --growth 1.5
    """
    output = predict_in_processes(read_or_exit(file, as_json).with_load_factor(growth), seeds)
    show(
        output,
        as_json,
        [{key: value for key, value in output.items() if key != "played"}],
        f"days: {output['played']}",
    )


def predict_in_processes(fleet_model, seeds):
    """Does the same as `answers.predict_service`, with each day in a process of its own."""
    with ProcessPoolExecutor() as pool:
        each = list(
            pool.map(
                answers.predict_service, [fleet_model] * seeds, [(seed,) for seed in range(1, seeds + 1)]
            )
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
        fleet_model = read_or_exit(file, as_json)
        first = (answers.breaking_points(fleet_model) or [{"what": "nothing", "growth": answers.MAX_GROWTH}])[
            0
        ]
        output = predict_in_processes(fleet_model, 3)
        rows.append(
            {
                "fleet": file,
                "service": output["mean"],
                "first to break": first["what"],
                "at growth": round(first["growth"], 2),
                "instances": sum(count for _, _, count in fleet_model.machine_counts()),
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
    """Run the fleet on loopback, with real gateways among stand-ins, and compare it with the prediction. Exit
    with 1 if they differ by more than 5 percentage points. Needs an otherwise idle computer.

    Example: lemonlead capacity check deploy/capacity/fleet.cue --growth 1.5
    """
    from ..planning import loopback

    fleet_model = read_or_exit(file, as_json).with_load_factor(growth)
    click.echo(f"running {seconds} s on loopback ...", err=True)
    measured = loopback.measure(fleet_model, seed, seconds)
    output = predict_in_processes(fleet_model, 3)
    output = {
        "measured": measured,
        "predicted": output["mean"],
        "apart_by": round(abs(measured - output["mean"]), 4),
    }
    show(output, as_json, [output])
    sys.exit(output["apart_by"] > 0.05)


@command.command()
@FILE
@click.argument("page", type=click.Path(dir_okay=False))
@SEED
def report(file, page, seed):
    """Write one HTML page: what breaks, what the loss of each site and a bad build do, second by
    second.

    Example: lemonlead capacity report deploy/capacity/fleet.cue report.html
    """
    fleet_model, parts = read_or_exit(file, False), []
    parts.append(section("What breaks first", answers.breaking_points(fleet_model)))
    for site in fleet_model.sites if len(fleet_model.sites) > 1 else ():
        click.echo(f"simulating the loss of {site} ...", err=True)
        rows, seconds = answers.play_site_loss(fleet_model, site, seed)
        parts.append(section(f"Site {site} is lost", rows, chart(seconds)))
    click.echo("simulating a bad build ...", err=True)
    rows, seconds = answers.play_release(fleet_model, 2.5, seed)
    parts.append(section("A build that needs 2.5 times the work", rows, chart(seconds)))
    Path(page).write_text(PAGE.format(file=html.escape(file), body="\n".join(parts)))
    click.echo(page)


def exit_with_fault(file, path, found, expected, as_json):
    """Prints one fault, and exits with 2."""
    output = {"file": file, "path": path, "found": found, "allowed": expected}
    text = f"{file}: {path}: found {found}, expected {expected}"
    click.echo(json.dumps({"faults": [output]}) if as_json else text)
    sys.exit(2)


@command.command(name="fleet")
@FILE
@click.option(
    "--slopes",
    "measured",
    default="docs/capacity/slopes.json",
    show_default=True,
    type=click.Path(exists=True, dir_okay=False),
    help="The measured slopes, as benchmarks.slopes writes them.",
)
@click.option(
    "--page",
    "page_file",
    default="docs/CAPACITY.md",
    show_default=True,
    type=click.Path(dir_okay=False),
    help="The page to write.",
)
@JSON
def fleet_to_come(file, measured, page_file, as_json):
    """Compute how much of each role a future fleet needs, from measured slopes, and write the page.

    Example: lemonlead capacity fleet deploy/capacity/fleet-2028.cue --page docs/CAPACITY.md
    """
    from ..planning import page, slopes, targets

    targets_wanted = read_or_exit(file, as_json, targets)
    try:
        found = slopes.read(Path(measured).read_bytes())
    except slopes.InvalidSlopes as error:
        exit_with_fault(measured, error.path, str(error.found), error.expected, as_json)
    text = page.render(targets_wanted, found)
    try:
        Path(page_file).write_text(text)
    except OSError as error:
        exit_with_fault(page_file, "the page", error.strerror, "a place that can be written", as_json)
    if not as_json:
        return click.echo(page_file)
    return click.echo(
        json.dumps(
            {
                "page": page_file,
                "wanted": page.target_rows(targets_wanted, found),
                "roles": page.size_rows(targets_wanted, found),
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


def section(title, rows, drawing=""):
    table = tabulate(rows, headers="keys", tablefmt="html", floatfmt=".4g")
    return f"<h2>{html.escape(title)}</h2>{table}{drawing}"


def chart(seconds, width=720, height=160):
    """Returns an SVG chart of service by second, from 0 (bottom) to 1."""
    shares = [second.answered_revenue / second.revenue if second.revenue else 1.0 for second in seconds]
    step = width / max(len(shares) - 1, 1)
    line = " ".join(
        f"{n * step:.1f},{height - 10 - share * (height - 20):.1f}" for n, share in enumerate(shares)
    )
    return (
        f'<p>Service by second, 0 to 1</p><svg width="{width}" height="{height}" role="img">'
        f'<polyline points="{line}" fill="none" stroke="#06c" stroke-width="2"/></svg>'
    )
