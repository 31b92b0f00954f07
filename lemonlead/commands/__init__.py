"""The command line: `lemonlead COMMAND`. Each command is in a module of its own, which is imported when the
command runs.

Exit codes of all commands: 0 success, 1 a negative result, 2 a usage error or invalid input."""

import importlib

import click

COMMANDS = {
    "gateway": "serve",
    "rules": "rules",
    "settings": "settings",
    "capacity": "capacity",
    "member": "member",
    "relay": "relay",
    "try": "attempt",
}
HELP = {
    "gateway": "Run one gateway, configured by its environment and configuration file.",
    "rules": "Check, evaluate and measure rules over requests.",
    "settings": "Check and show settings files.",
    "capacity": "Plan a fleet's capacity: what breaks first, how many instances it needs, what losses do.",
    "member": "Run one member of a cluster, which holds a ledger shared by gateways.",
    "relay": "Run one relay, which sends gateways the changes of the ledger, by scope.",
    "try": "Start a gateway among stand-ins, send some requests, show where each went.",
}


class LazyGroup(click.Group):
    """Imports the module of a command when the command is used."""

    def list_commands(self, context):
        return list(COMMANDS)

    def get_command(self, context, name):
        if name not in COMMANDS:
            return None
        return importlib.import_module(f".{COMMANDS[name]}", __name__).command

    def format_commands(self, context, formatter):
        with formatter.section("Commands"):
            formatter.write_dl(list(HELP.items()))


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """lemonlead: a request router and release judge.

    Example: lemonlead rules eval "hash(lookup.key) % 100 < 5" --lookup '{"key": "north/42"}'
    """
