"""`lemonlead member`: runs a member of a cluster."""

import sys

import click


@click.command(name="member")
@click.argument("file", type=click.Path())
@click.option("--join", is_flag=True, help="Start outside the cluster; the command `add` adds the member.")
def command(file, join):
    """Run one member of a cluster in the foreground, configured by FILE.

    Example: lemonlead member deploy/cluster/g1.cue
    """
    from ..member import run

    sys.exit(run.main(file, join))
