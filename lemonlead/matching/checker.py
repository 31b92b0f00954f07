"""Computes the types, bounds and worst-case costs of a syntax tree, without evaluating it.

All bounds and costs follow from the declared limits of a request's fields. An expression is refused here if
one of its values could exceed the limit on computed values, so none does when it is evaluated."""

from . import functions, tree
from .request_fields import MAY_BE_UNSET
from .faults import COST, NAME, TYPE, Fault
from .kinds import (
    ANY,
    BOOL,
    BYTES,
    DOUBLE,
    DURATION,
    MAX_INT64,
    INT,
    MIN_INT64,
    NOTHING,
    ORDERED,
    STRING,
    Bounds,
    Kind,
    union_bounds,
    common_kind,
    list_of,
    map_of,
)

LOOKUP = Kind("lookup")
MAX_COST = 10**9  # steps; larger costs count as this
ARITHMETIC_KINDS = {
    "+": (INT, DOUBLE, STRING, BYTES, DURATION),
    "-": (INT, DOUBLE, DURATION),
    "*": (INT, DOUBLE),
    "/": (INT, DOUBLE),
    "%": (INT,),
}
FAILURE_COST = 120  # steps to end an evaluation with an error and report it
ABSORBED_ERROR_COST = 15  # steps to absorb one error inside an expression


def check(node, limits):
    """Fills in the fields of all nodes and returns the type of the root. Raises Fault at the first error."""
    Checker(limits).visit(node, {})
    return node.kind


def worst_case_cost(node):
    """Returns the maximum steps of one evaluation. An expression that may err is then evaluated a second
    time, by the exact form, which takes about three times as long."""
    again = 3 * node.cost + FAILURE_COST + ABSORBED_ERROR_COST * node.max_errors if node.may_err else 0
    return min(node.cost + again, MAX_COST)


class Checker:
    """Checks nodes of a tree, by one method for each class of nodes."""

    def __init__(self, limits):
        self.limits, self.fields = limits, limits.fields()

    def visit(self, node, names):
        """Checks a node and its children. `names`: type and bounds of the names that comprehensions bind."""
        cost, may_err = getattr(self, type(node).__name__.lower())(node, names)
        node.cost = min(
            cost + sum(self.max_evaluations(node, child) * child.cost for child in node.children()), MAX_COST
        )
        node.max_errors = self.max_errors(node, may_err)
        node.may_err_itself, node.may_err = (
            may_err,
            may_err or any(child.may_err for child in node.children()),
        )
        if node.bounds.total_size() > self.limits.longest and node.kind != LOOKUP:
            self.fail(
                node, COST, f"a value that may hold {node.bounds.total_size()}, {self.limits.longest} allowed"
            )
        return node.kind

    def max_evaluations(self, node, child):
        """Returns how often a child is evaluated at most."""
        if isinstance(node, tree.Comprehension) and child is not node.over:
            return node.over.bounds.size
        if isinstance(node, tree.Conditional) and child is not node.condition:
            return int(child is (node.if_true if node.if_true.cost >= node.if_false.cost else node.if_false))
        return 1

    def max_errors(self, node, may_err_itself):
        """Returns how many errors one evaluation may raise. An error ends the evaluation up to the closest
        enclosing &&, ||, all or exists, which continues with its next operand."""
        counts = [self.max_evaluations(node, child) * child.max_errors for child in node.children()]
        chained = isinstance(node, tree.Comprehension) and node.macro in ("all", "exists")
        absorbs = chained or isinstance(node, tree.Logic)
        return min(sum(counts) if absorbs else max([*counts, may_err_itself]), MAX_COST)

    def fail(self, node, code, message):
        raise Fault(code, message, node.line, node.column)

    def require_kind(self, node, kind, what):
        if node.kind != kind:
            self.fail(node, TYPE, f"{what} is {node.kind}, {kind} was expected")

    # ---- by class of node: each method sets kind and bounds, and returns the cost of the node itself, in
    # steps, and whether its own operation may err

    def literal(self, node, names):
        node.kind, value = node.literal_kind, node.value
        if node.literal_kind == INT:
            node.bounds = Bounds(low=value, high=value)
        elif node.literal_kind in (STRING, BYTES):
            node.bounds = Bounds(
                len(value), values=frozenset([value]) if node.literal_kind == STRING else None
            )
        return 1, False

    def name(self, node, names):
        if node.name in names:
            node.kind, node.bounds = names[node.name]
        elif node.name == "lookup":
            node.kind = LOOKUP
        else:
            known = ", ".join(["lookup", *names])
            self.fail(node, NAME, f"no such name: {node.name} (there is {known})")
        return 1, False

    def field(self, node, names):
        target = self.visit(node.target, names)
        if target == LOOKUP:
            if node.name not in self.fields:
                known = ", ".join(self.fields)
                self.fail(node, NAME, f"a lookup has no {node.name} (it has {known})")
            node.kind, node.bounds = self.fields[node.name]
            return 1, node.name in MAY_BE_UNSET
        if target.name != "map" or target.key != STRING:
            self.fail(node, TYPE, f"{target} has no fields")
        node.kind, node.bounds = target.item, node.target.bounds.item or ANY
        return 2, True

    def has(self, node, names):
        target = self.visit(node.target, names)
        if target == LOOKUP:
            if node.name not in self.fields:
                self.fail(node, NAME, f"a lookup has no {node.name}")
        elif target.name != "map" or target.key != STRING:
            self.fail(node, TYPE, f"{target} has no fields")
        node.kind = BOOL
        return 3, False

    def index(self, node, names):
        target, index = self.visit(node.target, names), self.visit(node.index, names)
        if target.name not in ("list", "map"):
            self.fail(node, TYPE, f"{target} has no items to index")
        wanted = INT if target.name == "list" else target.key
        if index != wanted:
            self.fail(node.index, TYPE, f"the index is {index}, {wanted} was expected")
        node.kind, node.bounds = target.item, node.target.bounds.item or ANY
        return 3 + node.index.bounds.size // 64, True

    def call(self, node, names):
        on = self.visit(node.target, names) if node.target else None
        arguments = [self.visit(child, names) for child in node.arguments]
        try:
            function = functions.find_function(node.name, on, arguments)
        except Fault as fail:
            self.fail(node, fail.code, fail.message)
        if function is None:
            self.fail(node, NAME, f"no such function: {node.name}")
        values = [*([node.target] if node.target else []), *node.arguments]
        node.kind, node.function = function.result, function
        if function.literal:
            last = node.arguments[-1]
            if not isinstance(last, tree.Literal):
                self.fail(
                    last, TYPE, f"{node.name} takes a literal here: it is prepared when the rules are loaded"
                )
            try:
                prepared = function.prepare(last.value)
            except Fault as fail:
                self.fail(last, fail.code, fail.message)
            if node.kind == DURATION:
                node.bounds = Bounds(low=prepared, high=prepared)
            return function.cost(*(value.bounds for value in values[:-1]), prepared), function.may_err
        else:
            node.bounds = functions.result_bounds(function, [value.bounds for value in values])
        return function.cost(*(value.bounds for value in values)), function.may_err

    def unary(self, node, names):
        kind = self.visit(node.operand, names)
        if node.operator == "!":
            self.require_kind(node.operand, BOOL, "the operand of !")
            node.kind = BOOL
            return 1, False
        if kind not in (INT, DOUBLE, DURATION):
            self.fail(node, TYPE, f"- does not apply to {kind}")
        node.kind = kind
        if kind == DOUBLE:
            return 1, False
        low, high = node.operand.bounds.low, node.operand.bounds.high
        node.bounds = Bounds(low=max(-high, MIN_INT64), high=min(-low, MAX_INT64))
        return 3, -low > MAX_INT64

    def binary(self, node, names):
        left, right = self.visit(node.left, names), self.visit(node.right, names)
        if node.operator == "in":
            return self.membership(node, left, right)
        if node.operator in ARITHMETIC_KINDS:
            return self.arithmetic(node, left, right)
        node.kind, shared_kind = BOOL, common_kind(left, right)
        if shared_kind is None or LOOKUP in (left, right):
            self.fail(node, TYPE, f"{left} {node.operator} {right} compares unlike types")
        if node.operator not in ("==", "!=") and shared_kind not in ORDERED:
            self.fail(node, TYPE, f"{shared_kind} has no order")
        return 1 + min(node.left.bounds.total_size(), node.right.bounds.total_size()) // 64, False

    def membership(self, node, left, right):
        node.kind = BOOL
        wanted = right.key if right.name == "map" else right.item if right.name == "list" else None
        if wanted is None:
            self.fail(node, TYPE, f"in takes a list or a map, not {right}")
        if common_kind(left, wanted) is None:
            self.fail(node, TYPE, f"{left} is never in {right}")
        if (
            right.name == "map"
            or isinstance(node.right, tree.ListLiteral)
            and is_constant(node.right)
            and left in ORDERED
        ):
            return 2 + node.left.bounds.size // 64, False  # by hash
        return 2 + node.right.bounds.size * (1 + node.left.bounds.total_size() // 64), False

    def arithmetic(self, node, left, right):
        lists = node.operator == "+" and left.name == right.name == "list"
        kind = common_kind(left, right)
        if kind is None or not lists and kind not in ARITHMETIC_KINDS[node.operator]:
            self.fail(node, TYPE, f"{left} {node.operator} {right} is not supported")
        node.kind, one, other = kind, node.left.bounds, node.right.bounds
        if lists or kind in (STRING, BYTES):
            total = one.total + other.total if None not in (one.total, other.total) else None
            node.bounds = Bounds(one.size + other.size, item=union_bounds(one.item, other.item), total=total)
            return 3 + node.bounds.size // 32, False
        if kind == DOUBLE:
            return 1 if node.operator != "/" else 8, False
        low, high, may_err = result_range(node.operator, one, other)
        node.bounds = Bounds(low=max(low, MIN_INT64), high=min(high, MAX_INT64))
        may_err = may_err or low < MIN_INT64 or high > MAX_INT64
        return 1 if not may_err and node.operator in "+-*" or is_plain_division(node) else 6, may_err

    def logic(self, node, names):
        for operand in node.operands:
            self.visit(operand, names)
            self.require_kind(operand, BOOL, f"an operand of {node.operator}")
        node.kind = BOOL
        return len(node.operands) // 2, False

    def conditional(self, node, names):
        self.visit(node.condition, names)
        self.require_kind(node.condition, BOOL, "the condition of ?:")
        if_true, if_false = self.visit(node.if_true, names), self.visit(node.if_false, names)
        node.kind = common_kind(if_true, if_false)
        if node.kind is None or LOOKUP in (if_true, if_false):
            self.fail(node, TYPE, f"either {if_true} or {if_false}: both must have the same type")
        node.bounds = union_bounds(node.if_true.bounds, node.if_false.bounds)
        return 1, False

    def listliteral(self, node, names):
        kind, bounds = NOTHING, None
        for item in node.items:
            fitting = common_kind(kind, self.visit(item, names))
            if fitting is None or item.kind == LOOKUP:
                self.fail(item, TYPE, f"{item.kind} in a list of {kind}")
            kind, bounds = fitting, union_bounds(bounds, item.bounds)
        node.kind, node.bounds = list_of(kind), Bounds(len(node.items), item=bounds)
        return 2 + len(node.items) // 2, False

    def mapliteral(self, node, names):
        key = kind = NOTHING
        bounds = key_bounds = None
        for key_node, item in zip(node.keys, node.items, strict=True):
            fitting = (
                common_kind(key, self.visit(key_node, names)),
                common_kind(kind, self.visit(item, names)),
            )
            if fitting[0] not in (STRING, INT, BOOL) or fitting[1] is None or item.kind == LOOKUP:
                self.fail(key_node, TYPE, f"{key_node.kind}: {item.kind} in a map of {key}: {kind}")
            (key, kind) = fitting
            bounds, key_bounds = union_bounds(bounds, item.bounds), union_bounds(key_bounds, key_node.bounds)
        node.kind, node.bounds = map_of(key, kind), Bounds(len(node.items), item=bounds, key=key_bounds)
        return 4 + 2 * len(node.items), False

    def comprehension(self, node, names):
        over = self.visit(node.over, names)
        if over.name not in ("list", "map"):
            self.fail(node, TYPE, f"{node.macro} takes a list or a map, not {over}")
        if over.item == NOTHING:
            self.fail(node, TYPE, f"{node.macro} on a list that is always empty")
        if node.name == "lookup" or node.name in names:
            self.fail(node, NAME, f"{node.name} is already defined")
        kind, bounds = (
            (over.key, node.over.bounds.key) if over.name == "map" else (over.item, node.over.bounds.item)
        )
        inner = {**names, node.name: (kind, bounds or ANY)}
        if node.condition is not None:
            self.visit(node.condition, inner)
            self.require_kind(node.condition, BOOL, "the condition of map")
        body = self.visit(node.body, inner)
        if node.macro == "map":
            if body == LOOKUP:
                self.fail(node.body, TYPE, "a list of lookups")
            node.kind, node.bounds = list_of(body), Bounds(node.over.bounds.size, item=node.body.bounds)
        else:
            self.require_kind(node.body, BOOL, f"the condition of {node.macro}")
            node.kind = BOOL
            if node.macro == "filter":
                total = node.over.bounds.total if over.name == "list" else None
                node.kind, node.bounds = (
                    list_of(kind),
                    Bounds(node.over.bounds.size, item=bounds, total=total),
                )
        return 12 + node.over.bounds.size, False


def is_constant(node):
    """Returns whether the expression consists of literals only."""
    return all(isinstance(part, tree.Literal | tree.ListLiteral) for part in tree.walk(node))


def is_plain_division(node):
    """Returns whether Python's // or % gives the result of / or %: no operand is negative, no divisor is
    zero."""
    return node.operator in "/%" and node.left.bounds.low >= 0 and node.right.bounds.low > 0


def result_range(operator, one, other):
    """Returns the lowest and the highest result of an operation, and whether the operation may fail."""
    if operator == "+":
        return one.low + other.low, one.high + other.high, False
    if operator == "-":
        return one.low - other.high, one.high - other.low, False
    if operator == "*":
        corners = [a * b for a in (one.low, one.high) for b in (other.low, other.high)]
        return min(corners), max(corners), False
    zero = other.low <= 0 <= other.high
    most = max(abs(one.low), abs(one.high))
    if operator == "%":
        most = min(most, max(abs(other.low), abs(other.high), 1) - 1)
        return -most if one.low < 0 else 0, most if one.high > 0 else 0, zero
    return -most if one.low < 0 or other.low < 0 else 0, most, zero
