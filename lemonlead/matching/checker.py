"""Types, bounds and worst-case costs of a tree; nothing is evaluated here.

Everything that a tree may cost or hold is known from what is declared of a lookup. A value that could be
larger than the declaration allows for any value is refused here, so that no value ever is."""

from . import functions, tree
from .request_fields import UNSURE
from .faults import COST, NAME, TYPE, Fault
from .kinds import (
    ANY,
    BOOL,
    BYTES,
    DOUBLE,
    DURATION,
    HIGHEST,
    INT,
    LOWEST,
    NOTHING,
    ORDERED,
    STRING,
    Bounds,
    Kind,
    either,
    joined,
    list_of,
    map_of,
)

LOOKUP = Kind("lookup")
MOST_COST = 10**9  # past it no cost is told apart
NUMBERS = {
    "+": (INT, DOUBLE, STRING, BYTES, DURATION),
    "-": (INT, DOUBLE, DURATION),
    "*": (INT, DOUBLE),
    "/": (INT, DOUBLE),
    "%": (INT,),
}
FAILED, ERRING = 120, 15  # steps that it takes to find no value and tell so; to absorb one error inside


def check(node, limits):
    """Fills in the tree; Fault at the first thing that is wrong. The root's type is returned."""
    Checker(limits).of(node, {})
    return node.kind


def whole_cost(node):
    """Steps for one evaluation at worst. What may err is then evaluated a second time, about thrice as
    slowly."""
    again = 3 * node.cost + FAILED + ERRING * node.raises if node.errs else 0
    return min(node.cost + again, MOST_COST)


class Checker:
    def __init__(self, limits):
        self.limits, self.fields = limits, limits.fields()

    def of(self, node, names):
        """Checks a node whose comprehensions bind `names` (type and bounds by name)."""
        cost, errs = getattr(self, type(node).__name__.lower())(node, names)
        node.cost = min(
            cost + sum(self.times(node, child) * child.cost for child in node.children()), MOST_COST
        )
        node.raises = self.raises(node, errs)
        node.own, node.errs = errs, errs or any(child.errs for child in node.children())
        if node.bounds.whole() > self.limits.longest and node.kind != LOOKUP:
            self.fault(
                node, COST, f"a value that may hold {node.bounds.whole()}, {self.limits.longest} allowed"
            )
        return node.kind

    def times(self, node, child):
        """How often a child is evaluated at worst."""
        if isinstance(node, tree.Each) and child is not node.over:
            return node.over.bounds.size
        if isinstance(node, tree.Choice) and child is not node.test:
            return int(child is (node.yes if node.yes.cost >= node.no.cost else node.no))
        return 1

    def raises(self, node, own):
        """An error ends all up to the next && or || (or all or exists), which then go on."""
        counts = [self.times(node, child) * child.raises for child in node.children()]
        chained = isinstance(node, tree.Each) and node.macro in ("all", "exists")
        absorbs = chained or isinstance(node, tree.Logic)
        return min(sum(counts) if absorbs else max([*counts, own]), MOST_COST)

    def fault(self, node, code, message):
        raise Fault(code, message, node.line, node.column)

    def want(self, node, kind, what):
        if node.kind != kind:
            self.fault(node, TYPE, f"{what} is {node.kind}, {kind} was expected")

    # ---- by kind of node: each sets kind and bounds, and returns its own steps and whether it may err

    def literal(self, node, names):
        node.kind, value = node.of, node.value
        if node.of == INT:
            node.bounds = Bounds(low=value, high=value)
        elif node.of in (STRING, BYTES):
            node.bounds = Bounds(len(value), values=frozenset([value]) if node.of == STRING else None)
        return 1, False

    def name(self, node, names):
        if node.name in names:
            node.kind, node.bounds = names[node.name]
        elif node.name == "lookup":
            node.kind = LOOKUP
        else:
            known = ", ".join(["lookup", *names])
            self.fault(node, NAME, f"no such name: {node.name} (there is {known})")
        return 1, False

    def field(self, node, names):
        target = self.of(node.target, names)
        if target == LOOKUP:
            if node.name not in self.fields:
                known = ", ".join(self.fields)
                self.fault(node, NAME, f"a lookup has no {node.name} (it has {known})")
            node.kind, node.bounds = self.fields[node.name]
            return 1, node.name in UNSURE
        if target.name != "map" or target.key != STRING:
            self.fault(node, TYPE, f"{target} has no fields")
        node.kind, node.bounds = target.of, node.target.bounds.of or ANY
        return 2, True

    def has(self, node, names):
        target = self.of(node.target, names)
        if target == LOOKUP:
            if node.name not in self.fields:
                self.fault(node, NAME, f"a lookup has no {node.name}")
        elif target.name != "map" or target.key != STRING:
            self.fault(node, TYPE, f"{target} has no fields")
        node.kind = BOOL
        return 3, False

    def index(self, node, names):
        target, index = self.of(node.target, names), self.of(node.index, names)
        if target.name not in ("list", "map"):
            self.fault(node, TYPE, f"{target} has no parts to index")
        wanted = INT if target.name == "list" else target.key
        if index != wanted:
            self.fault(node.index, TYPE, f"the index is {index}, {wanted} was expected")
        node.kind, node.bounds = target.of, node.target.bounds.of or ANY
        return 3 + node.index.bounds.size // 64, True

    def call(self, node, names):
        on = self.of(node.target, names) if node.target else None
        given = [self.of(child, names) for child in node.given]
        try:
            function = functions.find_function(node.name, on, given)
        except Fault as fault:
            self.fault(node, fault.code, fault.message)
        if function is None:
            self.fault(node, NAME, f"no such function: {node.name}")
        values = [*([node.target] if node.target else []), *node.given]
        node.kind, node.function = function.gives, function
        if function.literal:
            last = node.given[-1]
            if not isinstance(last, tree.Literal):
                self.fault(
                    last, TYPE, f"{node.name} takes a literal here: it is made ready when it is loaded"
                )
            try:
                made = function.made(last.value)
            except Fault as fault:
                self.fault(last, fault.code, fault.message)
            if node.kind == DURATION:
                node.bounds = Bounds(low=made, high=made)
            return function.cost(*(value.bounds for value in values[:-1]), made), function.errs
        else:
            node.bounds = functions.bounds_of(function, [value.bounds for value in values])
        return function.cost(*(value.bounds for value in values)), function.errs

    def unary(self, node, names):
        kind = self.of(node.operand, names)
        if node.sign == "!":
            self.want(node.operand, BOOL, "what ! negates")
            node.kind = BOOL
            return 1, False
        if kind not in (INT, DOUBLE, DURATION):
            self.fault(node, TYPE, f"no -{kind}")
        node.kind = kind
        if kind == DOUBLE:
            return 1, False
        low, high = node.operand.bounds.low, node.operand.bounds.high
        node.bounds = Bounds(low=max(-high, LOWEST), high=min(-low, HIGHEST))
        return 3, -low > HIGHEST

    def binary(self, node, names):
        left, right = self.of(node.left, names), self.of(node.right, names)
        if node.sign == "in":
            return self.within(node, left, right)
        if node.sign in NUMBERS:
            return self.arithmetic(node, left, right)
        node.kind, both = BOOL, joined(left, right)
        if both is None or LOOKUP in (left, right):
            self.fault(node, TYPE, f"{left} {node.sign} {right} compares unlike types")
        if node.sign not in ("==", "!=") and both not in ORDERED:
            self.fault(node, TYPE, f"{both} has no order")
        return 1 + min(node.left.bounds.whole(), node.right.bounds.whole()) // 64, False

    def within(self, node, left, right):
        node.kind = BOOL
        wanted = right.key if right.name == "map" else right.of if right.name == "list" else None
        if wanted is None:
            self.fault(node, TYPE, f"in asks a list or a map, not {right}")
        if joined(left, wanted) is None:
            self.fault(node, TYPE, f"{left} is never in {right}")
        if (
            right.name == "map"
            or isinstance(node.right, tree.ListOf)
            and constant(node.right)
            and left in ORDERED
        ):
            return 2 + node.left.bounds.size // 64, False  # by hash
        return 2 + node.right.bounds.size * (1 + node.left.bounds.whole() // 64), False

    def arithmetic(self, node, left, right):
        lists = node.sign == "+" and left.name == right.name == "list"
        kind = joined(left, right)
        if kind is None or not lists and kind not in NUMBERS[node.sign]:
            self.fault(node, TYPE, f"no {left} {node.sign} {right}")
        node.kind, one, other = kind, node.left.bounds, node.right.bounds
        if lists or kind in (STRING, BYTES):
            total = one.total + other.total if None not in (one.total, other.total) else None
            node.bounds = Bounds(one.size + other.size, of=either(one.of, other.of), total=total)
            return 3 + node.bounds.size // 32, False
        if kind == DOUBLE:
            return 1 if node.sign != "/" else 8, False
        low, high, errs = interval(node.sign, one, other)
        node.bounds = Bounds(low=max(low, LOWEST), high=min(high, HIGHEST))
        errs = errs or low < LOWEST or high > HIGHEST
        return 1 if not errs and node.sign in "+-*" or plain(node) else 6, errs

    def logic(self, node, names):
        for operand in node.operands:
            self.of(operand, names)
            self.want(operand, BOOL, f"an operand of {node.sign}")
        node.kind = BOOL
        return len(node.operands) // 2, False

    def choice(self, node, names):
        self.of(node.test, names)
        self.want(node.test, BOOL, "what stands before ?")
        yes, no = self.of(node.yes, names), self.of(node.no, names)
        node.kind = joined(yes, no)
        if node.kind is None or LOOKUP in (yes, no):
            self.fault(node, TYPE, f"either {yes} or {no}: both must be of one type")
        node.bounds = either(node.yes.bounds, node.no.bounds)
        return 1, False

    def listof(self, node, names):
        kind, bounds = NOTHING, None
        for item in node.items:
            fits = joined(kind, self.of(item, names))
            if fits is None or item.kind == LOOKUP:
                self.fault(item, TYPE, f"{item.kind} in a list of {kind}")
            kind, bounds = fits, either(bounds, item.bounds)
        node.kind, node.bounds = list_of(kind), Bounds(len(node.items), of=bounds)
        return 2 + len(node.items) // 2, False

    def mapof(self, node, names):
        key = kind = NOTHING
        bounds = key_bounds = None
        for asked, item in zip(node.keys, node.items, strict=True):
            fits = joined(key, self.of(asked, names)), joined(kind, self.of(item, names))
            if fits[0] not in (STRING, INT, BOOL) or fits[1] is None or item.kind == LOOKUP:
                self.fault(asked, TYPE, f"{asked.kind}: {item.kind} in a map of {key}: {kind}")
            (key, kind) = fits
            bounds, key_bounds = either(bounds, item.bounds), either(key_bounds, asked.bounds)
        node.kind, node.bounds = map_of(key, kind), Bounds(len(node.items), of=bounds, key=key_bounds)
        return 4 + 2 * len(node.items), False

    def each(self, node, names):
        over = self.of(node.over, names)
        if over.name not in ("list", "map"):
            self.fault(node, TYPE, f"{node.macro} goes over a list or a map, not {over}")
        if over.of == NOTHING:
            self.fault(node, TYPE, f"{node.macro} over a list that is always empty")
        if node.name == "lookup" or node.name in names:
            self.fault(node, NAME, f"{node.name} already stands for something else")
        kind, bounds = (
            (over.key, node.over.bounds.key) if over.name == "map" else (over.of, node.over.bounds.of)
        )
        inner = {**names, node.name: (kind, bounds or ANY)}
        if node.test is not None:
            self.of(node.test, inner)
            self.want(node.test, BOOL, "the condition of map")
        body = self.of(node.body, inner)
        if node.macro == "map":
            if body == LOOKUP:
                self.fault(node.body, TYPE, "a list of lookups")
            node.kind, node.bounds = list_of(body), Bounds(node.over.bounds.size, of=node.body.bounds)
        else:
            self.want(node.body, BOOL, f"the condition of {node.macro}")
            node.kind = BOOL
            if node.macro == "filter":
                total = node.over.bounds.total if over.name == "list" else None
                node.kind, node.bounds = list_of(kind), Bounds(node.over.bounds.size, of=bounds, total=total)
        return 12 + node.over.bounds.size, False


def constant(node):
    """Whether its value is written out."""
    return all(isinstance(part, tree.Literal | tree.ListOf) for part in tree.walk(node))


def plain(node):
    """Whether / or % needs no care: nothing is negative, and the divisor never zero."""
    return node.sign in "/%" and node.left.bounds.low >= 0 and node.right.bounds.low > 0


def interval(sign, one, other):
    """The least and the greatest of the result, and whether it may not be one at all."""
    if sign == "+":
        return one.low + other.low, one.high + other.high, False
    if sign == "-":
        return one.low - other.high, one.high - other.low, False
    if sign == "*":
        corners = [a * b for a in (one.low, one.high) for b in (other.low, other.high)]
        return min(corners), max(corners), False
    zero = other.low <= 0 <= other.high
    most = max(abs(one.low), abs(one.high))
    if sign == "%":
        most = min(most, max(abs(other.low), abs(other.high), 1) - 1)
        return -most if one.low < 0 else 0, most if one.high > 0 else 0, zero
    return -most if one.low < 0 or other.low < 0 else 0, most, zero
