"""What gateways are told by scope: entries of a scope and a key, whose values the ledger does not read.

A scope is a service's name; the scope "" holds what all need. The part's keys are "scope key". Each record
has the index of the entry that last changed it, so that a state tells what a stretch of changes would."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from .capacity import Name, check_part_size
from .faults import Senseless
from .state import Command

MAX_ENTRIES = 500_000  # entries of all scopes
MAX_VALUE_BYTES = 4096  # bytes of a value as JSON

Scope = Annotated[str, Meta(max_length=100, pattern=r"^([A-Za-z0-9][A-Za-z0-9_.:/-]*)?$")]
ENCODE = msgspec.json.Encoder().encode


class EntryRow(Struct, frozen=True):
    value: dict
    since: int  # index of the entry that made it so


class EntryCommand(Command, frozen=True, tag="entry"):
    """Puts a value; null drops it."""

    scope: Scope
    key: Name
    value: dict | None


def named(scope, key):
    return f"{scope} {key}"


def entry(draft, command):
    """A value that is there already, byte by byte, changes nothing, and so does dropping what is not there:
    whoever asks again after a doubt is told that it is so."""
    name = named(command.scope, command.key)
    if command.value is None:
        return draft.drop("entries", name)
    data = encoded(command.value)
    if len(data) > MAX_VALUE_BYTES:
        raise Senseless(f"a value of {len(data)} bytes; {MAX_VALUE_BYTES} are the most")
    check_part_size(draft, "entries", name, MAX_ENTRIES)
    before = draft.get("entries", name)
    if before is None or encoded(before.value) != data:
        draft.put("entries", name, EntryRow(command.value, draft.index))


def encoded(value):
    """As it stands in snapshots and answers. Against a value that can be read and not written: no member
    could give its state away any more."""
    try:
        return ENCODE(value)
    except (OverflowError, ValueError, RecursionError, msgspec.MsgspecError) as error:
        raise Senseless(f"a value that can't be written as JSON: {str(error)[:200]}") from None


KINDS = {"entries": EntryRow}
RULES = {EntryCommand: entry}
