"""Entries that gateways receive by scope. An entry has a scope, a key and a value that the ledger does not
read.

A scope is the name of a service; the scope "" has what all gateways need. The keys of the part "entries" are
"scope key". Each record has the index of the log entry that changed it last, so a state shows what a range of
changes would.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from .capacity import check_part_size
from .faults import Senseless
from .names import MAX_NAME_LENGTH, NAME_PATTERN
from .new_names import Name
from .state import Command

MAX_ENTRIES = 500_000  # of all scopes
MAX_VALUE_BYTES = 4096  # of a value as JSON

Scope = Annotated[str, Meta(max_length=MAX_NAME_LENGTH, pattern=f"^({NAME_PATTERN})?$")]
ENCODE = msgspec.json.Encoder().encode


class EntryRow(Struct, frozen=True):
    """The value of an entry."""

    value: dict
    since: int  # index of the log entry that set it


class EntryCommand(Command, frozen=True, tag="entry"):
    """Sets a value, or drops it if `value` is null."""

    scope: Scope
    key: Name
    value: dict | None

    def check_new(self, data):
        """What is dropped may have any name that older members accepted."""
        if self.value is not None:
            super().check_new(data)


def record_key(scope, key):
    return f"{scope} {key}"


def entry(transaction, command):
    """Setting the value that is there already, byte for byte, changes nothing. Neither does dropping a value
    that does not exist. A client that is unsure may therefore repeat its command."""
    name = record_key(command.scope, command.key)
    if command.value is None:
        return transaction.drop("entries", name)
    data = encoded(command.value)
    if len(data) > MAX_VALUE_BYTES:
        raise Senseless(f"a value of {len(data)} bytes; {MAX_VALUE_BYTES} are the most")
    check_part_size(transaction, "entries", name, MAX_ENTRIES)
    before = transaction.get("entries", name)
    if before is None or encoded(before.value) != data:
        transaction.put("entries", name, EntryRow(command.value, transaction.index))


def encoded(value):
    """Returns the value as JSON, as in snapshots and answers.

    Raises Senseless for a value that can be decoded but not encoded: with it in the state, no member could
    write a snapshot.
    """
    try:
        return ENCODE(value)
    except (OverflowError, ValueError, RecursionError, msgspec.MsgspecError) as error:
        raise Senseless(f"a value that can't be written as JSON: {str(error)[:200]}") from None


KINDS = {"entries": EntryRow}
RULES = {EntryCommand: entry}
