"""Syntax trees of settings files, made by the parser. Each node has its place."""

from dataclasses import dataclass, field

from .faults import Place


@dataclass(slots=True, eq=False)
class Literal:
    place: Place
    value: object
    kind: str  # "int", "float", "string", "bool", "null", "duration"
    raw: str = ""  # of a string: its source text, with quotes


@dataclass(slots=True, eq=False)
class Bound:
    """A comparison or pattern that a value must satisfy, such as `<=10`."""

    place: Place
    operator: str
    limit: object


@dataclass(slots=True, eq=False)
class Ref:
    """A reference to a type, field or definition, such as `#Rule` or `a.b`."""

    place: Place
    path: list


@dataclass(slots=True, eq=False)
class Conjunction:
    place: Place
    parts: list


@dataclass(slots=True, eq=False)
class Disjunction:
    place: Place
    choices: list  # of (whether it is the default, node)


@dataclass(slots=True, eq=False)
class Label:
    """The name of a field."""

    place: Place
    name: str
    optional: bool = False


@dataclass(slots=True, eq=False)
class Struct:
    place: Place
    fields: list = field(default_factory=list)  # of (Label, node)
    patterns: list = field(default_factory=list)  # of (constraint on the name, node)
    open: bool = False
    includes: list = field(default_factory=list)  # of (place, path)


@dataclass(slots=True, eq=False)
class List:
    place: Place
    items: list
    rest: object = None  # constraint on further items
    open: bool = False


def describe(node):
    """Returns the text of a constraint, for a fault."""
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
            return f"{node.operator}{describe(node.limit)}"
        case Ref():
            return ".".join(node.path)
        case Conjunction():
            return " & ".join(map(describe, node.parts))
        case Disjunction():
            return " | ".join(("*" if default else "") + describe(part) for default, part in node.choices)
        case Struct():
            return "{" + ", ".join(label.name for label, _ in node.fields[:12]) + "}"
        case List():
            return f"[...{describe(node.rest)}]" if node.rest is not None else "a list"
    return "?"
