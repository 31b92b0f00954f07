"""Decides how long a gateway may go between calls for the list of instances. No I/O, no clock."""

MAX_REFUSED_CALL_GAP = 900_000_000  # ns
GRACE_SHARE = 0.8  # of the grace after a drain, so that the call itself is made within it


def max_refused_call_gap(start):
    """Returns the nanoseconds after a refused call by which the next one is made, by `start`, the
    interface.StartSettings.

    Where lists are pushed, a drain that discovery has as it returns counts as known at once. Requests may go
    to that instance until the grace is over.
    """
    if start.turned_away_calls_confirm and start.drain_grace:
        return min(MAX_REFUSED_CALL_GAP, int(GRACE_SHARE * start.drain_grace))
    return MAX_REFUSED_CALL_GAP
