"""A checked tree as one code object of Python's, in which `&&` and `||` are `and` and `or`.

As long as nothing errs its value is the exact one: an operand is asked only while those before it did not
decide. What raises is evaluated anew by `exact`. Only names and numbers made here stand in the text that is
compiled; all literals of the expression's are passed as constants."""

from . import tree
from .checker import constant, plain
from .exact import part
from .functions import divided, ratio, remainder, within
from .kinds import DOUBLE, DURATION, INT, ORDERED

COMPARED = {"==", "!=", "<", "<=", ">", ">="}


def compile_tree(node):
    """A function of a request that gives the value, or raises anything of `exact.ERRORS`."""
    return Writer().function(node)


class Writer:
    def __init__(self):
        self.constants = {
            "within": within,
            "divided": divided,
            "ratio": ratio,
            "remainder": remainder,
            "part": part,
        }
        self.names = {"lookup": "lookup"}

    def function(self, node):
        text = f"lambda lookup: {self.write(node)}"
        return eval(compile(text, "<expression>", "eval"), {"__builtins__": USED, **self.constants})

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
            case tree.Unary(sign="!", operand=operand):
                return f"(not {self.write(operand)})"
            case tree.Unary(operand=operand):
                return self.within(node, f"-{self.write(operand)}")
            case tree.Binary():
                return self.binary(node)
            case tree.Logic(sign=sign, operands=operands):
                return "(" + (" or " if sign == "||" else " and ").join(map(self.write, operands)) + ")"
            case tree.Choice():
                return f"({self.write(node.yes)} if {self.write(node.test)} else {self.write(node.no)})"
            case tree.ListOf(items=items):
                return f"[{', '.join(map(self.write, items))}]"
            case tree.MapOf(keys=keys, items=items):
                pairs = zip(map(self.write, keys), map(self.write, items), strict=True)
                return "{" + ", ".join(f"{key}: {item}" for key, item in pairs) + "}"
            case tree.Each():
                return self.each(node)
        raise TypeError(node)

    def within(self, node, text):
        """The text, looked at for 64 bits where the checker does not know it to fit."""
        return f"within({text})" if node.own and node.kind in (INT, DURATION) else f"({text})"

    def call(self, node):
        function, values = node.function, [*([node.target] if node.target else []), *node.given]
        texts = [self.write(value) for value in (values[:-1] if function.literal else values)]
        if function.literal:
            texts.append(self.constant(function.made(values[-1].value)))
        if function.inline:
            return function.inline.format(*texts)
        return f"{self.constant(function.run)}({', '.join(texts)})"

    def binary(self, node):
        left, sign, right = self.write(node.left), node.sign, self.write(node.right)
        if sign == "in":
            if isinstance(node.right, tree.ListOf) and constant(node.right) and node.left.kind in ORDERED:
                right = self.constant(frozenset(item.value for item in node.right.items))
            return f"({left} in {right})"
        if sign in COMPARED:
            return f"({left} {sign} {right})"
        if node.kind == DOUBLE:
            return f"ratio({left}, {right})" if sign == "/" else f"({left} {sign} {right})"
        if node.kind not in (INT, DURATION) or sign in "+-*":
            return self.within(node, f"{left} {sign} {right}")
        if plain(node):
            return f"({left} {'//' if sign == '/' else '%'} {right})"
        return f"{'divided' if sign == '/' else 'remainder'}({left}, {right})"

    def each(self, node):
        over = self.write(node.over)
        name = f"v{len(self.names)}"
        self.names = {**self.names, node.name: name}
        body = self.write(node.body)
        test = f" if {self.write(node.test)}" if node.test is not None else ""
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
        return f"[{body} for {name} in {over}{test}]"


USED = {"len": len, "any": any, "all": all, "sum": sum, "str": str, "float": float, "hasattr": hasattr}
