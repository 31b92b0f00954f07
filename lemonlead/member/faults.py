"""Errors of a member as a process. Each says what was found, and what an operator can do."""

from ..ledger.faults import Fault, Unusable
from ..ledger.records import NOT_DONE, UNKNOWN

RENEW = "remove this member from the cluster, then start it with --join, an empty folder and a new name"


class InUse(Unusable):
    """Another process has the folder."""

    do = "stop the other process, or give this member a folder of its own"


class Unwritable(Unusable):
    """The folder cannot be made, read or written."""

    do = "let this user read and write the folder; see that its file system is not read-only"


class Foreign(Unusable):
    """The folder is another program's, another member's or another cluster's, or a mix of two."""

    do = "correct `data`, `member` or `cluster` in the settings; a new member wants an empty folder"


class OtherFormat(Unusable):
    """Another version of the program wrote the folder in a form that this one does not know."""

    do = "start it with the version that wrote it, or renew the member: " + RENEW


class Damaged(Unusable):
    """Bytes of the folder are not those that were written, or some are missing."""

    do = RENEW


class Older(Unusable):
    """The database lacks what the folder is known to have held: it was put back, or lost its newest part."""

    do = RENEW


class Copied(Unusable):
    """The folder's files are not those that it was made with: somebody may run, or have run, the others."""

    do = "start the member on its own folder; where that is gone, " + RENEW


class DiskFailed(Fault):
    """A write or sync failed while the member ran: what the disk holds is known no more."""

    do = "see to the disk, then start the member anew: it checks its folder and goes on, or says why not"


class DiskFull(DiskFailed):
    """No room for what has to be written."""

    do = "make room on the folder's file system, then start the member anew"


class Contradicts(Fault):
    """A write that a sound member never asks for, such as a second vote in a term. Nothing was written."""

    do = "stop this member and report it: its memory or its program is at fault"


class AddressTaken(Unusable):
    """`listen` cannot be listened on."""

    do = "stop what listens there, or give this member an address of this machine that is free"


class NotNow(Fault):
    """A call that did not become an answer (503). `outcome`: whether it may yet be done."""

    outcome = NOT_DONE
    do = "ask again, here or at another member"


class NoLeader(NotNow):
    """Nobody is known to lead, or whoever does cannot be reached."""

    do = "ask again; where it lasts, see that a majority of the members run and reach each other"


class Outside(NotNow):
    """This member takes no part in the cluster."""

    do = "ask another member; status here says why this one is outside"


class TooMany(NotNow):
    """More calls at once than a member bears."""

    do = "ask again after retry_ms, less often, or spread over the members"


class Late(NotNow):
    """The cluster did not answer in time."""

    do = "ask again with the same id; where it lasts, see that a majority of the members run"


class Undecided(NotNow):
    """The command may yet be done, or never."""

    outcome = UNKNOWN
    do = "ask again with the same id: it is done once"


class Unfit(Unusable):
    """The settings file cannot be used; nothing of it was. `faults`: all of them, each with its place."""

    do = "mend the line named; lemonlead settings check --schema member FILE shows what a schema can tell"

    def __init__(self, faults):
        more = f" and {len(faults) - 1} more" if len(faults) > 1 else ""
        super().__init__(f"{faults[0]}{more}")
        self.faults = faults
