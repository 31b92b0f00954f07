"""Types of values, and static bounds of values: how large a value can be at most."""

from dataclasses import dataclass

# Limits of int, and of duration in nanoseconds
MIN_INT64 = -(2**63)
MAX_INT64 = 2**63 - 1


@dataclass(frozen=True, slots=True)
class Kind:
    """The type of a value. `item` is the type of the items of a list or map, `key` that of a map's keys."""

    name: str
    item: "Kind | None" = None
    key: "Kind | None" = None

    def __str__(self):
        if self.name == "map":
            return f"map({self.key}, {self.item})"
        return f"list({self.item})" if self.name == "list" else self.name


BOOL, INT, DOUBLE, STRING = Kind("bool"), Kind("int"), Kind("double"), Kind("string")
BYTES, DURATION, NULL = Kind("bytes"), Kind("duration"), Kind("null")
NOTHING = Kind("nothing")  # type of the items of an empty list; compatible with every type
ORDERED = (BOOL, INT, DOUBLE, STRING, BYTES, DURATION)


def list_of(kind):
    return Kind("list", kind)


def map_of(key, kind):
    return Kind("map", kind, key)


def common_kind(one, other):
    """Returns the type that values of both types share, or None if the types are incompatible."""
    if one == other or other == NOTHING:
        return one
    if one == NOTHING:
        return other
    if one.name == other.name and one.name in ("list", "map"):
        item = common_kind(one.item, other.item)
        key = common_kind(one.key, other.key) if one.name == "map" else None
        if item is not None and (one.name == "list" or key is not None):
            return Kind(one.name, item, key)
    return None


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of a value.

    `size` is the maximum number of code points, bytes or items. `low` and `high` are the limits of an int or
    duration. `values` holds all possible strings if there are few. `item` and `key` are the bounds of the
    items and keys of a list or map. `total` is the maximum size of all items together, where that is less
    than `size` times the maximum size of one item."""

    size: int = 0
    low: int = MIN_INT64
    high: int = MAX_INT64
    item: "Bounds | None" = None
    key: "Bounds | None" = None
    values: frozenset | None = None
    total: int | None = None

    def total_size(self):
        """Returns the maximum number of code points, bytes and items of the value and everything in it."""
        if self.total is not None:
            return self.size + self.total
        inner = (self.item.total_size() if self.item else 0) + (self.key.total_size() if self.key else 0)
        return self.size * (1 + inner) if self.item else self.size


ANY = Bounds()


def union_bounds(one, other):
    """Returns bounds that hold for values of both."""
    if one is None or other is None:
        return one or other
    values = one.values | other.values if one.values is not None and other.values is not None else None
    total = max(one.total, other.total) if None not in (one.total, other.total) else None
    return Bounds(
        max(one.size, other.size),
        min(one.low, other.low),
        max(one.high, other.high),
        union_bounds(one.item, other.item),
        union_bounds(one.key, other.key),
        values,
        total,
    )
