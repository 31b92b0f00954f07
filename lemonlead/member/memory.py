"""Keeps the cyclic garbage collector away from a large state.

A collection that goes through a large state takes half a second, during which the event loop stands still.
The state has no reference cycles, and is freed by reference counting as before."""

import gc
from contextlib import contextmanager


def freeze_memory():
    """Excludes all objects that exist now from later garbage collections."""
    gc.collect()
    gc.freeze()


@contextmanager
def pause_gc():
    """Stops the garbage collector while a state is decoded from bytes. Decoding makes so many records that
    the collector would run again and again, which took three quarters of the time."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
