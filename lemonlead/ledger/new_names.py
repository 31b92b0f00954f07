"""The types of names in commands, and the check of new ones.

The `$` of a pattern lets a line end pass behind a name, and readers refuse such a name. Commands that were
committed with one are applied by all members alike for as long as they are in a log, so the patterns stay.
`check_new_names` refuses line ends in commands that clients send.
"""

import re
from typing import Annotated

from msgspec import Meta, inspect

from .faults import Senseless
from .names import MAX_NAME_LENGTH, NAME_PATTERN

EXISTING = "existing"

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=f"^{NAME_PATTERN}$")]
# The name of something that exists. It may end in a line end, since older members accepted that.
ExistingName = Annotated[Name, Meta(extra={EXISTING: True})]
# A line end in a JSON string.
ESCAPED_LINE_END = re.compile(rb"\\n|\\u000[aA]")


def check_new_names(command, data):
    """Raises Senseless if a text that has to match a pattern ends in a line end, unless it names something
    that exists. `data` is the command as JSON, from which it was decoded."""
    if ESCAPED_LINE_END.search(data) is None:
        return
    for field, text in new_names(inspect.type_info(type(command)), command):
        if text.endswith("\n"):
            raise Senseless(f"{field}: {text[:100]!r} ends in a line end; expected it without")


def new_names(kind, value, field=""):
    """Yields (field, text) for each text in a value whose type has a pattern and may be new."""
    match kind:
        case inspect.StrType() if kind.pattern is not None:
            yield field, value
        case inspect.Metadata() if not (kind.extra or {}).get(EXISTING):
            yield from new_names(kind.type, value, field)
        case inspect.StructType():
            for part in kind.fields:
                yield from new_names(part.type, getattr(value, part.name), part.name)
        case inspect.VarTupleType():
            for item in value:
                yield from new_names(kind.item_type, item, field)
        case inspect.UnionType() if value is not None:
            for other in kind.types:
                yield from new_names(other, value, field)
