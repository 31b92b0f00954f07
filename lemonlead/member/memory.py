"""The collector of cycles, kept away from a large state: going through one takes it half a second, in which
the loop stands still. The state has no cycles; freed it is as before, by its counts."""

import gc
from contextlib import contextmanager


def freeze_memory():
    """What has lived until now is looked at no more."""
    gc.collect()
    gc.freeze()


@contextmanager
def pause_gc():
    """While a state is read from bytes, which makes so many records that the collector would come again and
    again: three quarters of the time that reading took."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
