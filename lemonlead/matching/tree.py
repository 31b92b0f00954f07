"""Syntax trees of expressions. The parser makes them; the checker fills in the fields that `Node`
describes."""

from .kinds import ANY


class Node:
    """A node of a tree, at a line and column.

    The checker sets the type (`kind`), the bounds, and: `cost`, the worst-case cost of this node and all its
    descendants; `may_err`, whether it may have no value; `may_err_itself`, whether its own operation may
    fail; `max_errors`, how many errors one evaluation may raise and absorb."""

    __slots__ = (
        "line",
        "column",
        "depth",
        "kind",
        "bounds",
        "cost",
        "may_err",
        "may_err_itself",
        "max_errors",
    )
    child_slots = ()  # names of the slots that hold a node or a list of nodes

    def __init__(self, position, *values):
        self.line, self.column = position
        self.kind, self.bounds, self.cost, self.may_err, self.may_err_itself, self.max_errors = (
            None,
            ANY,
            0,
            False,
            False,
            0,
        )
        for name, value in zip(self.__slots__, values, strict=True):
            setattr(self, name, value)
        self.depth = 1 + max((child.depth for child in self.children()), default=0)

    def children(self):
        for name in self.child_slots:
            value = getattr(self, name)
            if isinstance(value, Node):
                yield value
            elif value is not None:
                yield from value


class Literal(Node):
    __slots__ = ("value", "literal_kind")


class Name(Node):
    __slots__ = ("name",)


class Field(Node):
    __slots__ = ("target", "name")
    child_slots = ("target",)


class Has(Node):
    __slots__ = ("target", "name")
    child_slots = ("target",)


class Index(Node):
    __slots__ = ("target", "index")
    child_slots = ("target", "index")


class Call(Node):
    """A function call. `target` is None if the function is not called on a value. The checker sets
    `function`."""

    __slots__ = ("name", "target", "arguments", "function")
    child_slots = ("target", "arguments")


class Unary(Node):
    __slots__ = ("operator", "operand")
    child_slots = ("operand",)


class Binary(Node):
    """Arithmetic, a comparison, or `in`."""

    __slots__ = ("operator", "left", "right")
    child_slots = ("left", "right")


class Logic(Node):
    """`&&` or `||` over two or more operands; `a && b && c` is one node."""

    __slots__ = ("operator", "operands")
    child_slots = ("operands",)


class Conditional(Node):
    __slots__ = ("condition", "if_true", "if_false")
    child_slots = ("condition", "if_true", "if_false")


class ListLiteral(Node):
    __slots__ = ("items",)
    child_slots = ("items",)


class MapLiteral(Node):
    __slots__ = ("keys", "items")
    child_slots = ("keys", "items")


class Comprehension(Node):
    """`over.macro(name, body)`. `condition` is set for a `map` with three arguments: `map(name, condition,
    body)`."""

    __slots__ = ("macro", "over", "name", "condition", "body")
    child_slots = ("over", "condition", "body")


def walk(node):
    """Yields the node and all its descendants."""
    pending = [node]
    while pending:
        node = pending.pop()
        yield node
        pending.extend(node.children())


def canonical_text(node):
    """Returns the expression in a canonical form: trees of the same structure have the same text."""
    match node:
        case Literal():
            return f"{node.literal_kind}:{node.value!r}"
        case Name():
            return node.name
        case Field():
            return f"{canonical_text(node.target)}.{node.name}"
        case Has():
            return f"has({canonical_text(node.target)}.{node.name})"
        case Index(target=target, index=Literal(value=str() as name)):
            return (
                f"{canonical_text(target)}.{name}"
                if name.isidentifier()
                else f"{canonical_text(target)}[{name!r}]"
            )
        case Index():
            return f"{canonical_text(node.target)}[{canonical_text(node.index)}]"
        case Call():
            arguments = ",".join(map(canonical_text, node.arguments))
            return (
                f"{node.name}({canonical_text(node.target)};{arguments})"
                if node.target
                else f"{node.name}({arguments})"
            )
        case Unary():
            return f"{node.operator}({canonical_text(node.operand)})"
        case Binary():
            return f"({canonical_text(node.left)}{node.operator}{canonical_text(node.right)})"
        case Logic():
            return "(" + node.operator.join(map(canonical_text, node.operands)) + ")"
        case Conditional():
            return (
                f"({canonical_text(node.condition)}?{canonical_text(node.if_true)}"
                f":{canonical_text(node.if_false)})"
            )
        case ListLiteral():
            return "[" + ",".join(map(canonical_text, node.items)) + "]"
        case MapLiteral():
            return (
                "{"
                + ",".join(
                    f"{canonical_text(k)}:{canonical_text(v)}"
                    for k, v in zip(node.keys, node.items, strict=True)
                )
                + "}"
            )
        case Comprehension():
            condition = canonical_text(node.condition) + "," if node.condition else ""
            return (
                f"{node.macro}({canonical_text(node.over)},{node.name}"
                f",{condition}{canonical_text(node.body)})"
            )
    raise TypeError(node)
