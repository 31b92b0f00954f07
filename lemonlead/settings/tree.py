"""Settings as trees, as the parser makes them. Each node knows its place."""

from dataclasses import dataclass, field

from .faults import Place


@dataclass(slots=True, eq=False)
class Literal:
    place: Place
    value: object
    kind: str  # "int", "float", "string", "bool", "null", "duration"
    raw: str = ""  # of a string: as it is written, with its quotes


@dataclass(slots=True, eq=False)
class Bound:
    place: Place
    sign: str
    limit: object


@dataclass(slots=True, eq=False)
class Ref:
    place: Place
    path: list


@dataclass(slots=True, eq=False)
class Both:
    place: Place
    parts: list


@dataclass(slots=True, eq=False)
class Either:
    place: Place
    choices: list  # of (whether it is the default, what)


@dataclass(slots=True, eq=False)
class Label:
    place: Place
    name: str
    optional: bool = False


@dataclass(slots=True, eq=False)
class Struct:
    place: Place
    fields: list = field(default_factory=list)  # of (Label, what)
    patterns: list = field(default_factory=list)  # of (what the name must be, what)
    open: bool = False
    includes: list = field(default_factory=list)  # of (place, path)


@dataclass(slots=True, eq=False)
class List:
    place: Place
    items: list
    rest: object = None  # what further items are; None: there are none
    open: bool = False


def told(node):
    """What it allows, in words, for a fault."""
    match node:
        case Literal(kind="duration"):
            return f"{node.value}ns"
        case Literal(kind="string"):
            return f'"{node.value[:40]}"'
        case Literal():
            return (
                {True: "true", False: "false", None: "null"}.get(node.value, None)
                if (node.kind in ("bool", "null"))
                else str(node.value)
            )
        case Bound():
            return f"{node.sign}{told(node.limit)}"
        case Ref():
            return ".".join(node.path)
        case Both():
            return " & ".join(map(told, node.parts))
        case Either():
            return " | ".join(("*" if default else "") + told(part) for default, part in node.choices)
        case Struct():
            return "{" + ", ".join(label.name for label, _ in node.fields[:12]) + "}"
        case List():
            return f"[...{told(node.rest)}]" if node.rest is not None else "a list"
    return "?"
