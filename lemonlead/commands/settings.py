"""`lemonlead settings`: checks and shows settings files."""

import json
import sys

import click

from .. import settings

SCHEMAS = ("rules", "gateway", "fleet", "member", "relay", "targets")
SCHEMA = click.option(
    "--schema",
    type=click.Choice(SCHEMAS),
    default="gateway",
    show_default=True,
    help="The schema of the file.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group(name="settings")
def command():
    """Check and show settings files."""


def read_or_exit(file, schema, as_json):
    """Returns the file's contents. If it is invalid, prints all its faults and exits with 1."""
    try:
        return settings.read(file, settings.schema_text(schema), f"schema:{schema}")
    except settings.InvalidFile as error:
        faults = error.faults
        click.echo(
            json.dumps({"faults": [fault.as_dict() for fault in faults]})
            if as_json
            else "\n".join(f"{fault.place}: {fault.code} {fault.message}" for fault in faults)
        )
        sys.exit(1)


@command.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@SCHEMA
@JSON
def check(file, schema, as_json):
    """Check a file, and print one line for each fault.

    Example: lemonlead settings check deploy/rules/gateway.cue
    """
    file_contents = read_or_exit(file, schema, as_json)
    click.echo(
        json.dumps({"faults": [], "digest": file_contents.digest})
        if as_json
        else f"fine: digest {file_contents.digest}"
    )


@command.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@SCHEMA
@JSON
def show(file, schema, as_json):
    """Show the values of a file after unification, with the place of each. Durations are in nanoseconds.

    Example: lemonlead settings show deploy/rules/rules.cue --schema rules
    """
    file_contents = read_or_exit(file, schema, as_json)
    if as_json:
        return click.echo(json.dumps(file_contents.value))
    for path, literal in file_contents.literals.items():
        click.echo(f"{path} = {json.dumps(literal.value)}  ({literal.place})")


@command.command()
@click.argument("name", type=click.Choice(SCHEMAS))
def schema(name):
    """Print a schema: every field with its type, bounds and default.

    Example: lemonlead settings schema rules
    """
    click.echo(settings.schema_text(name), nl=False)
