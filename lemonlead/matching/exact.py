"""Compiles a checked tree to closures. They are slower than the code objects of `quick`, but follow the
language exactly and report errors with their places.

`&&` and `||` (and `all` and `exists`, which are chains of them) absorb an error of one operand if another
operand decides the result. Each closure returns a value or an `Erred`, so that an error costs no more than a
value; the error is raised only at the end."""

import operator

from . import tree
from .faults import Erred
from .functions import divide, divide_floats, remainder, check_int64
from .kinds import DOUBLE, DURATION, INT

COMPARISONS = {
    "==": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
ERRORS = (ArithmeticError, LookupError, ValueError, AttributeError)
INT_OPERATORS = {
    "+": lambda a, b: check_int64(a + b),
    "-": lambda a, b: check_int64(a - b),
    "*": lambda a, b: check_int64(a * b),
    "/": divide,
    "%": remainder,
}
FLOAT_OPERATORS = {"+": operator.add, "-": operator.sub, "*": operator.mul, "/": divide_floats}
UNSET = object()


def compile_tree(node):
    """Returns a function that evaluates the expression for a request (`RequestFields`). It raises Erred if
    the expression has no value."""
    run = compile_node(node)

    def value(lookup):
        result = run({"lookup": lookup})
        if type(result) is Erred:
            raise Erred(
                result.message, result.line, result.column
            )  # a new object, because some of the others are shared
        return result

    return value


def to_erred(node, error):
    """Converts a Python exception to an Erred at the place of the node."""
    message = f"no entry {str(error.args[0])[:40]!r}" if isinstance(error, KeyError) else str(error)[:100]
    return Erred(message or type(error).__name__, node.line, node.column)


def apply_one(node, run, apply):
    """Returns a closure that applies a function to the value of `run`."""

    def at(names):
        value = run(names)
        if type(value) is Erred:
            return value
        try:
            return apply(value)
        except ERRORS as error:
            return to_erred(node, error)

    return at


def apply_two(node, left, right, apply):
    def at(names):
        first = left(names)
        if type(first) is Erred:
            return first
        second = right(names)
        if type(second) is Erred:
            return second
        try:
            return apply(first, second)
        except ERRORS as error:
            return to_erred(node, error)

    return at


def apply_many(node, runs, apply):
    def at(names):
        values = []
        for run in runs:
            value = run(names)
            if type(value) is Erred:
                return value
            values.append(value)
        try:
            return apply(*values)
        except ERRORS as error:
            return to_erred(node, error)

    return at


def compile_node(node):
    """Returns a closure whose argument holds the values by name: `lookup`, and what comprehensions bind."""
    match node:
        case tree.Literal(value=value):
            return lambda names: value
        case tree.Name(name=name):
            return lambda names: names[name]
        case tree.Field():
            return read_field(node)
        case tree.Has(target=target, name=name):
            if target.kind.name == "map":
                return apply_one(node, compile_node(target), lambda value: name in value)
            return apply_one(node, compile_node(target), lambda value: hasattr(value, name))
        case tree.Index(target=target, index=index):
            apply = operator.getitem if target.kind.name == "map" else item_at
            return apply_two(node, compile_node(target), compile_node(index), apply)
        case tree.Call():
            return call(node)
        case tree.Unary(operator="!", operand=operand):
            return apply_one(node, compile_node(operand), operator.not_)
        case tree.Unary(operand=operand):
            is_int = node.kind in (INT, DURATION)
            return apply_one(
                node, compile_node(operand), (lambda value: check_int64(-value)) if is_int else operator.neg
            )
        case tree.Binary():
            return binary(node)
        case tree.Logic(operator=sign, operands=operands):
            runs = [compile_node(operand) for operand in operands]
            return lambda names: evaluate_chain((run(names) for run in runs), sign == "||")
        case tree.Conditional():
            return conditional(
                compile_node(node.condition), compile_node(node.if_true), compile_node(node.if_false)
            )
        case tree.ListLiteral(items=items):
            return apply_many(node, [compile_node(item) for item in items], lambda *values: list(values))
        case tree.MapLiteral(keys=keys, items=items):
            runs = [compile_node(part) for pair in zip(keys, items, strict=True) for part in pair]
            return apply_many(node, runs, lambda *values: dict(zip(values[::2], values[1::2], strict=True)))
        case tree.Comprehension():
            return comprehension(node)
    raise TypeError(node)


def read_field(node):
    run, name = compile_node(node.target), node.name
    if node.target.kind.name == "map":
        return apply_one(node, run, lambda value: value[name])
    missing = Erred(f"lookup.{name} is past its declared bound, or not UTF-8", node.line, node.column)

    def at(names):
        value = getattr(run(names), name, UNSET)
        return missing if value is UNSET else value

    return at


def item_at(items, place):
    if not 0 <= place < len(items):
        raise IndexError(f"no part {place} of {len(items)}")
    return items[place]


def call(node):
    values = [*([node.target] if node.target else []), *node.arguments]
    runs = [compile_node(value) for value in values]
    if node.function.literal:
        prepared = node.function.prepare(node.arguments[-1].value)
        runs[-1] = lambda names: prepared
    return apply_many(node, runs, node.function.run)


def binary(node):
    left, right = compile_node(node.left), compile_node(node.right)
    if node.operator == "in":
        apply = lambda value, held: value in held  # noqa: E731
    elif node.operator in COMPARISONS:
        apply = COMPARISONS[node.operator]
    elif node.kind == DOUBLE:
        apply = FLOAT_OPERATORS[node.operator]
    elif node.kind in (INT, DURATION):
        apply = INT_OPERATORS[node.operator]
    else:
        apply = operator.add
    return apply_two(node, left, right, apply)


def conditional(condition, if_true, if_false):
    def at(names):
        value = condition(names)
        if type(value) is Erred:
            return value
        return if_true(names) if value else if_false(names)

    return at


def evaluate_chain(values, decides):
    """Evaluates `||` (`decides` is True) or `&&` (`decides` is False). The first value equal to `decides` is
    the result, even after errors. Otherwise the first error is the result, if there is one."""
    error = None
    for value in values:
        if value is decides:
            return decides
        if type(value) is Erred:
            error = error or value
    return (not decides) if error is None else error


def comprehension(node):
    over, name, body = compile_node(node.over), node.name, compile_node(node.body)
    condition = compile_node(node.condition) if node.condition is not None else None

    def at(names):
        items = over(names)
        if type(items) is Erred:
            return items
        inner = ({**names, name: item} for item in items)
        if node.macro in ("exists", "all"):
            return evaluate_chain((body(bound) for bound in inner), node.macro == "exists")
        prepared = []
        for bound in inner:
            fits = True if condition is None else condition(bound)
            if type(fits) is Erred:
                return fits
            if not fits:
                continue
            value = body(bound)
            if type(value) is Erred:
                return value
            if node.macro == "map":
                prepared.append(value)
            elif value:
                prepared.append(bound[name])
        return len(prepared) == 1 if node.macro == "exists_one" else prepared

    return at
