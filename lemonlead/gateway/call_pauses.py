"""Decides how long to wait until the next call to discovery. No I/O, no clock."""

from ..list_calls import MAX_REFUSED_CALL_GAP, max_refused_call_gap

MAX_PAUSE_SECONDS = 1.0  # after a failed call
# The longest pause after a call to a server with too many callers. All must call less often until each gets
# through.
MAX_CROWDED_PAUSE_SECONDS = 16.0
CALL_SECONDS = 1.0  # of the time for which a list holds, left for the next call


def max_pause_seconds(start):
    """Returns the longest pause after a failed call by `start`, the interface.StartSettings."""
    gap = max_refused_call_gap(start)
    return gap / 1e9 if gap < MAX_REFUSED_CALL_GAP else MAX_PAUSE_SECONDS


def max_crowded_pause_seconds(start):
    """Returns the longest pause by `start`, the interface.StartSettings.

    The pause comes on top of the balancer's own. After a failed call the rule of max_list_call_gap allows
    four times that gap until the next call. Where a call in vain confirms the list, the next one is made
    before the list may no longer be used.
    """
    bounds = [MAX_CROWDED_PAUSE_SECONDS]
    if start.max_list_call_gap:
        bounds.append(start.max_list_call_gap / 1e9)
    if start.turned_away_calls_confirm and start.max_unconfirmed_list_age:
        bounds.append(max(start.max_unconfirmed_list_age / 1e9 - CALL_SECONDS, 0.0))
    return min(bounds)
