"""Errors of a gateway that follows a ledger."""

from ..ledger import faults


class Unusable(faults.Unusable):
    """The settings name a gateway or a member that can't exist (exit code 2)."""

    do = "correct `follow` in the file that LEMONLEAD_SETTINGS names"


class Unreadable(ValueError):
    """A member's response breaks the protocol or exceeds a limit. The call ends and another member is
    called."""
