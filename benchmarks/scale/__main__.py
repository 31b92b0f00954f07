"""Hollow gateways before control processes, through a day: `python -m benchmarks.scale --help`."""

import json
import sys
import time
from pathlib import Path

import click

from .bounds import TooLarge
from .run import Asked, Run

WAYS = ("distribution", "follow")
LEDGERS = ("members", "source")
LEDGERS_HELP = "What relays follow: a real cluster of three, or a stand-in that costs next to nothing."
WAYS_HELP = "By relays and scopes, or as today: polls of /v1/events at members."


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--way", type=click.Choice(WAYS), default=WAYS[0], show_default=True, help=WAYS_HELP)
@click.option("--gateways", type=click.IntRange(1), default=100, show_default=True)
@click.option("--instances", type=click.IntRange(1), default=1000, show_default=True)
@click.option("--services", type=click.IntRange(1), default=1100, show_default=True)
@click.option(
    "--services-each", type=click.IntRange(1), default=8, show_default=True, help="Mean of a gateway."
)
@click.option(
    "--seconds", type=click.FloatRange(5), default=60.0, show_default=True, help="That the day takes."
)
@click.option("--seed", type=int, default=1, show_default=True, help="The same seed plays the same day.")
@click.option("--cores", type=click.IntRange(1), default=2, show_default=True, help="That the run keeps to.")
@click.option("--relays", type=click.IntRange(1, 6), default=6, show_default=True, help="One a region.")
@click.option(
    "--ledger", type=click.Choice(LEDGERS), default=LEDGERS[0], show_default=True, help=LEDGERS_HELP
)
@click.option("--calm", is_flag=True, help="Without the great faults.")
@click.option("--no-real", is_flag=True, help="Without the real gateway beside them.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="All figures go there.")
@click.option("--report", type=click.Path(dir_okay=False), help="A page with plots: FILE.md or FILE.html.")
def main(way, gateways, instances, services, services_each, seconds, seed, cores, relays, calm, **more):
    """Play a day of the fleet: real deciding code of many gateways over real sockets, without clients and
    instances.

    Exit codes: 0 fine, 1 the run failed (what it found is told), 2 misuse, or more than half of the machine.

    Example: python -m benchmarks.scale --gateways 500 --instances 5000 --seconds 60 --report day.md
    """
    json_file, report = more["json_file"], more["report"]
    begun = time.monotonic()

    def say(text):
        click.echo(f"{time.monotonic() - begun:6.1f} s  {text}", err=True)

    if report and not report.endswith((".md", ".html")):
        raise click.UsageError(f"--report {report}: expected FILE.md or FILE.html")
    asked = Asked(
        seed, gateways, instances, services, services_each, seconds, cores, relays, not calm,
        not more["no_real"], way, more["ledger"],
    )  # fmt: skip
    try:
        run = Run(asked, say)
    except TooLarge as error:
        click.echo(f"benchmarks.scale: {error}", err=True)
        sys.exit(2)
    result = run.play()
    if json_file:
        Path(json_file).write_text(json.dumps(result))
    if report:
        from .report import write

        write(result, Path(report))
    click.echo(json.dumps({name: value for name, value in result.items() if name != "series"}, indent=1))
    for past in result["over"]:
        click.echo(f"past what is wanted: {past}", err=True)
    for fault in result["faults"]:
        click.echo(f"benchmarks.scale: {fault}", err=True)
    sys.exit(1 if result["faults"] else 0)


if __name__ == "__main__":
    main()
