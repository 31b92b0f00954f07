"""What stands in a drain's way. A command is refused with one of these, or a drain's record tells it."""

from ..ledger.faults import Fault, Refused


class GroupNeedsAll(Refused):
    """A quorum group that can never miss one of its nodes."""

    do = "lower the group's quorum, or give it one replica more"


class SiteNeedsAll(Refused):
    """What a site promises can't be borne without one of its nodes, even with all others up and warm."""

    do = "free units at the site, or add a node there"


class GangEndsLate(Refused):
    """A gang ends after the drain's deadline."""

    do = "move the deadline, leave its nodes out, or end the gang"


class DeadlinePassed(Refused):
    """The deadline that a drain is asked for with lies behind."""

    do = "name a deadline that lies ahead, or 0 for none"


class SeveralInTheWay(Refused):
    """More than one of the above, each named with the smallest change that would help."""


class TooManyDrains(Refused):
    """As many drains run as a ledger takes."""

    do = "let one end, or stop one"


class NoSuchDrain(Refused):
    """No drain of this name runs."""

    do = "nothing is left to do"


class GroundGone(Refused):
    """A permit that was planned on another state. A leader's own; it plans again."""

    do = "nothing: the leader plans again"


class GangRuns(Fault):
    """A gang runs on a node that is to go."""

    do = "wait for its end, or end it"


class GroupShort(Fault):
    """Too few replicas of a group serve and are caught up, for now."""

    do = "bring its other replicas back, lower its quorum, or add one"


class SiteShort(Fault):
    """What is left of a site does not bear what is promised, for now."""

    do = "bring failed nodes back, free units there, or add a node"


class SiteShareTaken(Fault):
    """As much of a site is away as may be, for now."""

    do = "bring back those that are away, or report those that are lost as failed"


class GangWithoutEnd(Fault):
    """A gang runs with no end known."""

    do = "end the gang, or leave its nodes out of the drain"


class GangOverran(Fault):
    """A gang runs past the end that it told."""

    do = "end the gang, or leave its nodes out of the drain"


class GangPastDeadline(Fault):
    """A gang still runs as the deadline has come."""

    do = "end the gang, move the deadline, or leave its nodes out of the drain"


class NotDown(Fault):
    """A node may go down, and has not for long."""

    do = "see why the node does not end what it holds; stop the drain to take the permit back"


class NotBack(Fault):
    """A node went down and did not come back."""

    do = "bring it back, or report it as failed, so that others of its site go on"


class StaysCatchingUp(Fault):
    """A node came back and does not catch up."""

    do = "see to its replica, or report it as failed, so that others of its site go on"


class StaysOut(Fault):
    """A permit was taken back that may have been acted on; the node has not said what became of it."""

    do = "let the node report serving with what it has seen; or report it as failed, then as it is"


class GivenUp(Fault):
    """Past its deadline, a drain made no progress for so long that it ended unfinished: what it held off
    may start."""

    do = "clear what was in its way, and drain the nodes that are left"
