"""Decides which requests to reject because the gateway itself is behind with reading. No I/O and no clock:
the caller measures the times, in nanoseconds."""

# The share of its wait for which a request may have lain unread. Past half, its remaining time is shorter
# than the delay of all requests behind it. If they were served in order, each would end just too late.
MAX_UNREAD_SHARE = 0.5


def is_stale(unread, wait):
    """Returns whether to reject a request at once that lay unread for `unread` of its total `wait`."""
    return unread > MAX_UNREAD_SHARE * wait
