"""Obstacles of drains. A command is refused with one of these errors, or the record of a drain lists it."""

from ..ledger.faults import Fault, Refused


class GroupNeedsAll(Refused):
    """The quorum of a group needs all of its nodes, so none of them can ever go."""

    do = "lower the group's quorum, or give it one replica more"


class SiteNeedsAll(Refused):
    """A site needs a node to bear what is promised there, even if all other nodes are up and warm."""

    do = "free units at the site, or add a node there"


class GangEndsLate(Refused):
    """A gang ends after the deadline of the drain."""

    do = "move the deadline, leave its nodes out, or end the gang"


class DeadlinePassed(Refused):
    """The requested deadline of a drain is in the past."""

    do = "name a deadline that lies ahead, or 0 for none"


class SeveralInTheWay(Refused):
    """Several of the errors above, each with the smallest change that would help."""


class TooManyDrains(Refused):
    """The maximum number of drains is running."""

    do = "let one end, or stop one"


class NoSuchDrain(Refused):
    """No drain of this name is running."""

    do = "nothing is left to do"


class GroundGone(Refused):
    """A command of the leader was planned on an older state and no longer holds. The leader plans again."""

    do = "nothing: the leader plans again"


class GangRuns(Fault):
    """A gang runs on a node that is to go down."""

    do = "wait for its end, or end it"


class GroupShort(Fault):
    """At present too few replicas of a group serve and are caught up."""

    do = "bring its other replicas back, lower its quorum, or add one"


class SiteShort(Fault):
    """At present the other nodes of a site cannot bear what is promised there."""

    do = "bring failed nodes back, free units there, or add a node"


class SiteShareTaken(Fault):
    """At present as many nodes of a site are away as the site's share allows."""

    do = "bring back those that are away, or report those that are lost as failed"


class GangWithoutEnd(Fault):
    """A gang runs, and no end of it is known."""

    do = "end the gang, or leave its nodes out of the drain"


class GangOverran(Fault):
    """A gang runs past the end that was announced for it."""

    do = "end the gang, or leave its nodes out of the drain"


class GangPastDeadline(Fault):
    """A gang still runs at the deadline of the drain."""

    do = "end the gang, move the deadline, or leave its nodes out of the drain"


class NotDown(Fault):
    """A node has had the permit to go down for a long time and has not gone down."""

    do = "see why the node does not end what it holds; stop the drain to take the permit back"


class NotBack(Fault):
    """A node went down and has not come back."""

    do = "bring it back, or report it as failed, so that others of its site go on"


class StaysCatchingUp(Fault):
    """A node came back and has not caught up for a long time."""

    do = "see to its replica, or report it as failed, so that others of its site go on"


class StaysOut(Fault):
    """A permit was revoked that its node may have acted on, and the node has not reported since."""

    do = "let the node report serving with what it has seen; or report it as failed, then as it is"


class GivenUp(Fault):
    """A drain made no progress for so long past its deadline that it ended unfinished. Gangs may start on its
    nodes again."""

    do = "clear what was in its way, and drain the nodes that are left"
