"""Errors of the ledger. Each says what was found and what an operator can do.

The texts of errors that rules raise are part of the replicated state, since answers are remembered. Members
of one cluster have to produce the same texts, so a changed text makes members of two versions differ.
"""


class Fault(Exception):
    """Base of all errors that reach an operator. `says` is what was found, `do` is the advice."""

    do = "see docs/oncall.md"

    def __init__(self, says, do=None):
        super().__init__(says)
        self.says = says
        if do is not None:
            self.do = do

    def read(self):
        """Returns the `error` object of a response; its `type` is the name of the class."""
        return {"type": type(self).__name__, "says": self.says, "do": self.do}


class Refused(Fault):
    """A rule forbids the command; nothing was changed (409)."""


class BeingMoved(Refused):
    """A move of the service is in progress: it waits for the service's gangs to end or holds its groups."""

    do = "ask again once that move has ended (part moves; holds where it comes from elsewhere), or stop it"


class Senseless(Fault):
    """The command is invalid; nothing was changed (400)."""

    do = "correct the command; docs/cluster.md lists the kinds and their fields"


class Unusable(Fault):
    """Settings, a folder or an address can't be used (exit status 2)."""

    do = "correct what the line names, then start it again"
