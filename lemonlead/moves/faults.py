"""Errors of moves. Each says what was found, and what an operator can do."""

from ..ledger.faults import Refused


class MoveKnown(Refused):
    """A move of this name stands, or stood within the last weeks."""

    do = "look under moves; name a new move otherwise, for a name is not taken twice"


class MoveOpen(Refused):
    """The service is being moved already."""

    do = "wait for that move's end, or stop it"


class NothingToMove(Refused):
    """No reservation here is the service's."""

    do = "reserve capacity for the service first, or ask the cluster that holds it"


class GangRuns(Refused):
    """A gang of the service runs; it moves only between its runs."""

    do = "end the gang, or ask again once it has ended"


class NoRoomThere(Refused):
    """The destination lacks the room for the whole of what moves."""

    do = "free what is missing or add nodes, then move under a new name; two full ones that swap need it too"


class Outdated(Refused):
    """A call or proposal from before a later decision: a deposed leader's, or one that was long under way."""

    do = "nothing: the later decision stands"


class HoldEnded(Refused):
    """The destination's hold was ended; it holds nothing for this move any more."""

    do = "nothing: the source goes on holding the service"


class HoldKept(Refused):
    """The destination keeps the capacity by an operator's decision, while its source says to drop it."""

    do = "compare both clusters' reservations and free those of one side"


class DecidedElsewhere(Refused):
    """A destination does not end a hold that its source may still rely on."""

    do = "send move_stop to the source; only if that cluster is lost for good, send hold_end here"


class TooLate(Refused):
    """The move can be stopped no more."""

    do = "once done, move it back with a new move from there; if that cluster is lost for good, move_lost"


class NotAwaited(Refused):
    """A step was proposed before what it waits for."""

    do = "nothing: the leader asks again"
