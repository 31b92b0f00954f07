"""Errors of a gateway that follows a ledger."""

from ..ledger import faults


class Unusable(faults.Unusable):
    """The settings name a gateway or a member that cannot be (exit 2)."""

    do = "correct `follow` in the file that LEMONLEAD_SETTINGS names"


class Unreadable(ValueError):
    """What a member answered breaks its protocol, or is past a limit. Ends the call; another member is
    asked."""
