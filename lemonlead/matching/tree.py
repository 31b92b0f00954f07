"""Expressions as trees. The parser makes them; the checker fills in `kind`, `bounds`, `cost` and `errs`."""

from .kinds import ANY


class Node:
    """`cost` is the whole worst case of this node and all below it, `errs` whether it may give no value,
    `own` whether that may be by its own doing, `raises` how many errors one evaluation may raise and
    absorb."""

    __slots__ = ("line", "column", "depth", "kind", "bounds", "cost", "errs", "own", "raises")
    parts = ()  # names of the slots that hold a node or a list of them

    def __init__(self, at, *values):
        self.line, self.column = at
        self.kind, self.bounds, self.cost, self.errs, self.own, self.raises = None, ANY, 0, False, False, 0
        for name, value in zip(self.__slots__, values, strict=True):
            setattr(self, name, value)
        self.depth = 1 + max((child.depth for child in self.children()), default=0)

    def children(self):
        for name in self.parts:
            value = getattr(self, name)
            if isinstance(value, Node):
                yield value
            elif value is not None:
                yield from value


class Literal(Node):
    __slots__ = ("value", "of")


class Name(Node):
    __slots__ = ("name",)


class Field(Node):
    __slots__ = ("target", "name")
    parts = ("target",)


class Has(Node):
    __slots__ = ("target", "name")
    parts = ("target",)


class Index(Node):
    __slots__ = ("target", "index")
    parts = ("target", "index")


class Call(Node):
    """`target` is None where the function stands alone; the checker sets `function`."""

    __slots__ = ("name", "target", "given", "function")
    parts = ("target", "given")


class Unary(Node):
    __slots__ = ("sign", "operand")
    parts = ("operand",)


class Binary(Node):
    """Arithmetic, comparison and `in`."""

    __slots__ = ("sign", "left", "right")
    parts = ("left", "right")


class Logic(Node):
    """`&&` or `||` over two operands or more: a chain is one node."""

    __slots__ = ("sign", "operands")
    parts = ("operands",)


class Choice(Node):
    __slots__ = ("test", "yes", "no")
    parts = ("test", "yes", "no")


class ListOf(Node):
    __slots__ = ("items",)
    parts = ("items",)


class MapOf(Node):
    __slots__ = ("keys", "items")
    parts = ("keys", "items")


class Each(Node):
    """`over.macro(name, body)`; `test` is the condition of a `map` with three parts."""

    __slots__ = ("macro", "over", "name", "test", "body")
    parts = ("over", "test", "body")


def walk(node):
    """The node and all below it."""
    open_nodes = [node]
    while open_nodes:
        node = open_nodes.pop()
        yield node
        open_nodes.extend(node.children())


def text(node):
    """The expression in one agreed form: trees that mean the same by their shape have the same text."""
    match node:
        case Literal():
            return f"{node.of}:{node.value!r}"
        case Name():
            return node.name
        case Field():
            return f"{text(node.target)}.{node.name}"
        case Has():
            return f"has({text(node.target)}.{node.name})"
        case Index(target=target, index=Literal(value=str() as name)):
            return f"{text(target)}.{name}" if name.isidentifier() else f"{text(target)}[{name!r}]"
        case Index():
            return f"{text(node.target)}[{text(node.index)}]"
        case Call():
            given = ",".join(map(text, node.given))
            return f"{node.name}({text(node.target)};{given})" if node.target else f"{node.name}({given})"
        case Unary():
            return f"{node.sign}({text(node.operand)})"
        case Binary():
            return f"({text(node.left)}{node.sign}{text(node.right)})"
        case Logic():
            return "(" + node.sign.join(map(text, node.operands)) + ")"
        case Choice():
            return f"({text(node.test)}?{text(node.yes)}:{text(node.no)})"
        case ListOf():
            return "[" + ",".join(map(text, node.items)) + "]"
        case MapOf():
            return (
                "{"
                + ",".join(f"{text(k)}:{text(v)}" for k, v in zip(node.keys, node.items, strict=True))
                + "}"
            )
        case Each():
            test = text(node.test) + "," if node.test else ""
            return f"{node.macro}({text(node.over)},{node.name},{test}{text(node.body)})"
    raise TypeError(node)
