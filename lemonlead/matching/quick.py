"""Compiles a checked tree to one Python code object, in which `&&` and `||` are `and` and `or`.

Its value is exact unless an error occurs: an operand is evaluated only if those before it did not decide. An
expression that raises is evaluated again by `exact`. The compiled source text contains only generated names
and numbers, and field names that the checker has verified; all other literals are passed as constants."""

from . import tree
from .checker import is_constant, is_plain_division
from .exact import item_at
from .functions import divide, divide_floats, remainder, check_int64
from .kinds import DOUBLE, DURATION, INT, ORDERED

COMPARISONS = {"==", "!=", "<", "<=", ">", ">="}


def compile_tree(node):
    """Returns a function that evaluates the expression for a request. It may raise any of `exact.ERRORS`."""
    return Writer().function(node)


class Writer:
    """Writes the Python source of a tree and collects the constants that it uses."""

    def __init__(self):
        self.constants = {
            "within": check_int64,
            "divided": divide,
            "ratio": divide_floats,
            "remainder": remainder,
            "part": item_at,
        }
        self.names = {"lookup": "lookup"}

    def function(self, node):
        text = f"lambda lookup: {self.write(node)}"
        return eval(compile(text, "<expression>", "eval"), {"__builtins__": BUILTINS, **self.constants})

    def constant(self, value):
        if value is None or isinstance(value, bool):
            return str(value)
        if isinstance(value, int):
            return f"({value})" if value < 0 else str(value)
        name = f"k{len(self.constants)}"
        self.constants[name] = value
        return name

    def write(self, node):
        match node:
            case tree.Literal(value=value):
                return self.constant(value)
            case tree.Name(name=name):
                return self.names[name]
            case tree.Field(target=target, name=name):
                if target.kind.name == "map":
                    return f"{self.write(target)}[{self.constant(name)}]"
                return f"{self.write(target)}.{name}"
            case tree.Has(target=target, name=name):
                if target.kind.name == "map":
                    return f"({self.constant(name)} in {self.write(target)})"
                return f"hasattr({self.write(target)}, {self.constant(name)})"
            case tree.Index(target=target, index=index):
                if target.kind.name == "map":
                    return f"{self.write(target)}[{self.write(index)}]"
                return f"part({self.write(target)}, {self.write(index)})"
            case tree.Call():
                return self.call(node)
            case tree.Unary(operator="!", operand=operand):
                return f"(not {self.write(operand)})"
            case tree.Unary(operand=operand):
                return self.within(node, f"-{self.write(operand)}")
            case tree.Binary():
                return self.binary(node)
            case tree.Logic(operator=operator, operands=operands):
                return "(" + (" or " if operator == "||" else " and ").join(map(self.write, operands)) + ")"
            case tree.Conditional():
                return (
                    f"({self.write(node.if_true)} if {self.write(node.condition)}"
                    f" else {self.write(node.if_false)})"
                )
            case tree.ListLiteral(items=items):
                return f"[{', '.join(map(self.write, items))}]"
            case tree.MapLiteral(keys=keys, items=items):
                pairs = zip(map(self.write, keys), map(self.write, items), strict=True)
                return "{" + ", ".join(f"{key}: {item}" for key, item in pairs) + "}"
            case tree.Comprehension():
                return self.comprehension(node)
        raise TypeError(node)

    def within(self, node, text):
        """Returns the source with a check for 64 bits, unless the checker has shown that the result fits."""
        return f"within({text})" if node.may_err_itself and node.kind in (INT, DURATION) else f"({text})"

    def call(self, node):
        function, values = node.function, [*([node.target] if node.target else []), *node.arguments]
        texts = [self.write(value) for value in (values[:-1] if function.literal else values)]
        if function.literal:
            texts.append(self.constant(function.prepare(values[-1].value)))
        if function.inline:
            return function.inline.format(*texts)
        return f"{self.constant(function.run)}({', '.join(texts)})"

    def binary(self, node):
        left, operator, right = self.write(node.left), node.operator, self.write(node.right)
        if operator == "in":
            if (
                isinstance(node.right, tree.ListLiteral)
                and is_constant(node.right)
                and node.left.kind in ORDERED
            ):
                right = self.constant(frozenset(item.value for item in node.right.items))
            return f"({left} in {right})"
        if operator in COMPARISONS:
            return f"({left} {operator} {right})"
        if node.kind == DOUBLE:
            return f"ratio({left}, {right})" if operator == "/" else f"({left} {operator} {right})"
        if node.kind not in (INT, DURATION) or operator in "+-*":
            return self.within(node, f"{left} {operator} {right}")
        if is_plain_division(node):
            return f"({left} {'//' if operator == '/' else '%'} {right})"
        return f"{'divided' if operator == '/' else 'remainder'}({left}, {right})"

    def comprehension(self, node):
        over = self.write(node.over)
        name = f"v{len(self.names)}"
        self.names = {**self.names, node.name: name}
        body = self.write(node.body)
        condition = f" if {self.write(node.condition)}" if node.condition is not None else ""
        self.names = {known: value for known, value in self.names.items() if known != node.name}
        match node.macro:
            case "exists":
                return f"any({body} for {name} in {over})"
            case "all":
                return f"all({body} for {name} in {over})"
            case "exists_one":
                return f"(sum([1 for {name} in {over} if {body}]) == 1)"
            case "filter":
                return f"[{name} for {name} in {over} if {body}]"
        return f"[{body} for {name} in {over}{condition}]"


BUILTINS = {"len": len, "any": any, "all": all, "sum": sum, "str": str, "float": float, "hasattr": hasattr}
