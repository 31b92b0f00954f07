"""Compiled expressions: checked, with their type and cost, and ready to evaluate."""

import hashlib

from . import exact, quick, tree
from .checker import check, worst_case_cost
from .faults import COST, TYPE, Fault
from .parser import parse

MAX_COST = 1_000_000  # steps; the limit for every expression, whatever ceiling a rule set declares


class Expression:
    """An expression. The constructor raises Fault if the text is not a valid one, or not of the expected
    type.

    `kind` is its type. `cost` is the maximum number of steps of one evaluation for requests within the
    limits."""

    __slots__ = ("text", "tree", "kind", "cost", "quick", "exact")

    def __init__(self, text, limits, expected_kind=None):
        self.text, self.tree = text, parse(text)
        self.kind, self.cost = check(self.tree, limits), worst_case_cost(self.tree)
        if self.cost > MAX_COST:
            raise Fault(COST, f"may cost {self.cost} steps, {MAX_COST} allowed", *self.first_position())
        if expected_kind is not None and self.kind != expected_kind:
            raise Fault(
                TYPE, f"the expression is {self.kind}, {expected_kind} was expected", *self.first_position()
            )
        if self.kind.name == "lookup":
            raise Fault(TYPE, "a lookup is not a value: name one of its fields", *self.first_position())
        # The exact form is compiled at the first error.
        self.quick, self.exact = quick.compile_tree(self.tree), None

    def first_position(self):
        """Returns the line and column at which the expression begins."""
        first = min((node.line, node.column) for node in tree.walk(self.tree))
        return first

    def value(self, request):
        """Returns the value for a request. Raises Erred if it has none."""
        try:
            return self.quick(request)
        except exact.ERRORS:
            if self.exact is None:
                self.exact = exact.compile_tree(self.tree)
            return self.exact(request)


def digest(text):
    """Returns a short digest of a text: twelve hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()[:12]
