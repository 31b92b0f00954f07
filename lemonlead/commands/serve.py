"""`lemonlead gateway`: runs a gateway."""

import click


@click.command(name="gateway")
def command():
    """Run one gateway in the foreground. ROUTER_CONFIG names the platform's configuration file,
    LEMONLEAD_SETTINGS an optional settings file.

    Example: ROUTER_CONFIG=config.json lemonlead gateway
    """
    from ..gateway import __main__ as gateway

    gateway.run()
