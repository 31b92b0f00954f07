"""Types of values, and the bounds within which a value of one is known to lie."""

from dataclasses import dataclass

LOWEST, HIGHEST = -(2**63), 2**63 - 1  # of int; of duration in nanoseconds


@dataclass(frozen=True, slots=True)
class Kind:
    """A type. `of` is what a list or map holds, `key` what a map is asked by."""

    name: str
    of: "Kind | None" = None
    key: "Kind | None" = None

    def __str__(self):
        if self.name == "map":
            return f"map({self.key}, {self.of})"
        return f"list({self.of})" if self.name == "list" else self.name


BOOL, INT, DOUBLE, STRING = Kind("bool"), Kind("int"), Kind("double"), Kind("string")
BYTES, DURATION, NULL = Kind("bytes"), Kind("duration"), Kind("null")
NOTHING = Kind("nothing")  # what an empty list holds: fits with any
ORDERED = (BOOL, INT, DOUBLE, STRING, BYTES, DURATION)


def list_of(kind):
    return Kind("list", kind)


def map_of(key, kind):
    return Kind("map", kind, key)


def joined(one, other):
    """The type of what may be either; None if they do not fit."""
    if one == other or other == NOTHING:
        return one
    if one == NOTHING:
        return other
    if one.name == other.name and one.name in ("list", "map"):
        of = joined(one.of, other.of)
        key = joined(one.key, other.key) if one.name == "map" else None
        if of is not None and (one.name == "list" or key is not None):
            return Kind(one.name, of, key)
    return None


@dataclass(frozen=True, slots=True)
class Bounds:
    """`size`: the most code points, bytes or items. `low`, `high`: of an int or duration. `values`: all
    strings that it may be, where they are few. `of`, `key`: of what a list or map holds; `total`: the most of
    all its items together, where that is less than of each."""

    size: int = 0
    low: int = LOWEST
    high: int = HIGHEST
    of: "Bounds | None" = None
    key: "Bounds | None" = None
    values: frozenset | None = None
    total: int | None = None

    def whole(self):
        """The most code points, bytes and items of the value with all that it holds."""
        if self.total is not None:
            return self.size + self.total
        inner = (self.of.whole() if self.of else 0) + (self.key.whole() if self.key else 0)
        return self.size * (1 + inner) if self.of else self.size


ANY = Bounds()


def either(one, other):
    """The bounds of what may be either."""
    if one is None or other is None:
        return one or other
    values = one.values | other.values if one.values is not None and other.values is not None else None
    total = max(one.total, other.total) if None not in (one.total, other.total) else None
    return Bounds(
        max(one.size, other.size),
        min(one.low, other.low),
        max(one.high, other.high),
        either(one.of, other.of),
        either(one.key, other.key),
        values,
        total,
    )
