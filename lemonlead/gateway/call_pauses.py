"""Decides how long to wait until the next call to a discovery that had too many callers. No I/O, no clock."""

# The longest pause. All callers must call less often until each gets through.
MAX_CROWDED_PAUSE_SECONDS = 16.0
CALL_SECONDS = 1.0  # of the time for which a list holds, left for the next call


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
