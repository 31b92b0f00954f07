"""An expression as the rest of the program has it: checked, with its type and cost, and ready to run."""

import hashlib

from . import exact, quick, tree
from .checker import check, whole_cost
from .faults import COST, TYPE, Fault
from .parser import parse

MOST_COST = 1_000_000  # steps past which nothing is made ready to run, whatever ceiling a set names


class Expression:
    """`Expression(text, declared)` raises Fault where the text is not one. `kind` is its type, `cost` the
    steps of one evaluation at worst, with what the request declares as its bounds."""

    __slots__ = ("text", "tree", "kind", "cost", "quick", "exact")

    def __init__(self, text, limits, wanted=None):
        self.text, self.tree = text, parse(text)
        self.kind, self.cost = check(self.tree, limits), whole_cost(self.tree)
        if self.cost > MOST_COST:
            raise Fault(COST, f"may cost {self.cost} steps, {MOST_COST} allowed", *self.place())
        if wanted is not None and self.kind != wanted:
            raise Fault(TYPE, f"the expression is {self.kind}, {wanted} was expected", *self.place())
        if self.kind.name == "lookup":
            raise Fault(TYPE, "a lookup is no value: name one of its fields", *self.place())
        self.quick, self.exact = (
            quick.compile_tree(self.tree),
            None,
        )  # the exact form is made at the first error

    def place(self):
        first = min((node.line, node.column) for node in tree.walk(self.tree))
        return first

    def value(self, asked):
        """The value for a request; Erred where it has none."""
        try:
            return self.quick(asked)
        except exact.ERRORS:
            if self.exact is None:
                self.exact = exact.compile_tree(self.tree)
            return self.exact(asked)


def digest(text):
    """Twelve hexadecimal digits by which two texts are told apart."""
    return hashlib.sha256(text.encode()).hexdigest()[:12]
