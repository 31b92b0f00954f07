"""`lemonlead gateway`."""

import click


@click.command(name="gateway")
def command():
    """Run one gateway in the foreground. ROUTER_CONFIG names its configuration, LEMONLEAD_SETTINGS our
    settings.

    Example: ROUTER_CONFIG=config.json lemonlead gateway
    """
    from ..gateway import __main__ as gateway

    gateway.run()
