"""Which requests a gateway turns away because it is behind with its own work. No I/O and no clock: what is
decided on is measured by the caller, in nanoseconds."""

# The part of its wait for which a request may have lain unread. Past the half, what is left of its time is
# less than the delay that all behind it meet: served in turn, each of them would end just too late.
MOST_UNREAD = 0.5


def is_stale(unread, wait):
    """Whether a request that lay unread for so long, of so long a wait, is rejected at once."""
    return unread > MOST_UNREAD * wait
