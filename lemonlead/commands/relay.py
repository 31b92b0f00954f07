"""`lemonlead relay`: runs a relay."""

import sys

import click


@click.command(name="relay")
@click.argument("file", type=click.Path())
def command(file):
    """Run one relay in the foreground, configured by FILE. It sends gateways the changes of the ledger.

    Example: lemonlead relay deploy/cluster/r1.cue
    """
    from ..distribution import relay

    sys.exit(relay.main(file))
