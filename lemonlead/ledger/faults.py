"""Errors of the ledger. Each says what was found, and what an operator can do."""


class Fault(Exception):
    """Every error that reaches an operator. `type` is the class's name."""

    do = "see docs/oncall.md"

    def __init__(self, says, do=None):
        super().__init__(says)
        self.says = says
        if do is not None:
            self.do = do

    def read(self):
        """As it stands in an answer: `shared` page's `error`."""
        return {"type": type(self).__name__, "says": self.says, "do": self.do}


class Refused(Fault):
    """A rule forbids it; nothing was changed (409)."""


class BeingMoved(Refused):
    """A move of the service is under way: it waits for its gangs, or holds its groups."""

    do = "ask again once that move has ended (part moves; holds where it comes from elsewhere), or stop it"


class Senseless(Fault):
    """It makes no sense; nothing was changed (400)."""

    do = "correct the command; docs/cluster.md lists the kinds and their fields"


class Unusable(Fault):
    """Settings, folder or address that cannot be used (exit 2)."""

    do = "correct what the line names, then start it again"
