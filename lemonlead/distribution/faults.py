"""Errors on the way from the ledger to gateways. Each says what was found and what an operator can do."""

from ..ledger import faults


class Senseless(faults.Senseless):
    """An invalid call; nothing was changed (400)."""

    do = "correct the field that is named; docs/distribution.md lists them"


class Unusable(faults.Unusable):
    """Settings that can't be used (exit code 2)."""

    do = "correct the setting that is named, then start it again"


class Older(faults.Fault):
    """A member returned an index that is not newer than the store's; nothing was changed. Another member is
    polled."""

    do = "nothing: another member is asked; if it stays so, see which member lags behind"


class TooLarge(faults.Fault):
    """A record that doesn't fit into one line to a gateway; nothing was changed."""

    do = "cut the record that is named in two, or drop what it does not need"


class Unreadable(ValueError):
    """What a relay or a member sent breaks the protocol or exceeds a limit; nothing of it was put in force.
    The stream or call ends and another peer is tried."""

    do = "nothing: another relay is asked; if it stays so, see what stands between the gateway and that relay"


def describe_value(value):
    """Returns a value as an error message shows it, cut short."""
    return repr(value)[:100]


class Unfit(faults.Unusable):
    """A relay's settings file can't be used; nothing of it was. `faults` holds all faults, each with its
    place."""

    do = "mend the line named; lemonlead settings check --schema relay FILE shows what a schema can tell"

    def __init__(self, faults):
        more = f" and {len(faults) - 1} more" if len(faults) > 1 else ""
        super().__init__(f"{faults[0]}{more}")
        self.faults = faults


class NotSubscribed(faults.Fault):
    """An acknowledgement by a gateway that has no stream here (404)."""

    do = "subscribe here first: what was acknowledged elsewhere counts there"


class NotNow(faults.Fault):
    """A call that can't be answered yet (503)."""

    do = "ask again after retry_ms, here or at another relay"


class NoState(NotNow):
    """This relay has no state of the ledger, or has received nothing for too long."""

    do = "ask another relay; where it lasts, see that members run and that this relay reaches one"


class RecordsUnreadable(NotNow):
    """The ledger has records that this relay can't pass on. All others are passed on."""

    do = 'drop the record that is named: the command "entry" with its scope, its key and value null'


class TooMany(NotNow):
    """More subscribers than this relay accepts at a time."""


class TooYoung(NotNow):
    """Gateways that this relay doesn't know of yet may act on older state, because the relay was just
    started."""

    do = "ask again once lease and grace have passed since this relay's start"
