"""Errors of moves. Each says what was found and what an operator can do."""

from ..ledger.faults import Refused


class MoveKnown(Refused):
    """A move of this name exists, or ended within the last weeks."""

    do = "look under moves; name a new move otherwise, for a name is not taken twice"


class MoveOpen(Refused):
    """Another move of the service is under way."""

    do = "wait for that move's end, or stop it"


class NothingToMove(Refused):
    """The service has no reservation in this cluster."""

    do = "reserve capacity for the service first, or ask the cluster that holds it"


class GangRuns(Refused):
    """A gang of the service runs. A service moves only while none of its gangs runs."""

    do = "end the gang, or ask again once it has ended"


class NoRoomThere(Refused):
    """The destination does not have room for everything that moves."""

    do = "free what is missing or add nodes, then move under a new name; two full ones that swap need it too"


class Outdated(Refused):
    """A command was decided before a later decision: it came from a deposed leader, or was delayed."""

    do = "nothing: the later decision stands"


class HoldEnded(Refused):
    """The hold at the destination was ended; nothing is held there for this move any more."""

    do = "nothing: the source goes on holding the service"


class HoldKept(Refused):
    """An operator decided that the destination keeps the capacity, but its source says to drop it."""

    do = "compare both clusters' reservations and free those of one side"


class DecidedElsewhere(Refused):
    """A destination does not end a hold on which its source may still rely."""

    do = "send move_stop to the source; only if that cluster is lost for good, send hold_end here"


class TooLate(Refused):
    """The move can no longer be stopped."""

    do = "once done, move it back with a new move from there; if that cluster is lost for good, move_lost"


class NotAwaited(Refused):
    """A step was proposed before its condition was met."""

    do = "nothing: the leader asks again"
