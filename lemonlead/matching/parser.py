"""Tokens into a tree. Nesting and the number of nodes are bounded, so nothing after it can run away."""

from . import lexer, tree
from .faults import SYNTAX, Fault
from .kinds import BOOL, BYTES, DOUBLE, HIGHEST, INT, NULL, STRING

DEEPEST, MOST_NODES = 40, 2000
LEVELS = (("<", "<=", ">", ">=", "==", "!=", "in"), ("+", "-"), ("*", "/", "%"))
MACROS = ("exists", "all", "exists_one", "filter", "map")
RESERVED = frozenset(
    ("as", "break", "const", "continue", "else", "for", "function", "if", "import", "let", "loop", "package")
    + ("namespace", "return", "var", "void", "while")
)
OF = {lexer.INT: INT, lexer.DOUBLE: DOUBLE, lexer.STRING: STRING, lexer.BYTES: BYTES}
WORDS = {"true": (True, BOOL), "false": (False, BOOL), "null": (None, NULL)}


def parse(text):
    """The tree of an expression; Fault where it is none."""
    return Parser(lexer.tokens(text)).whole()


class Parser:
    def __init__(self, found):
        self.tokens, self.next, self.open, self.nodes = found, 0, 0, 0

    @property
    def token(self):
        return self.tokens[self.next]

    def sees(self, *signs):
        token = self.token
        return token.value in signs and (
            token.kind == lexer.SIGN or token.kind == lexer.NAME and token.value == "in"
        )

    def take(self):
        self.next += 1
        return self.tokens[self.next - 1]

    def want(self, sign):
        if not self.sees(sign):
            raise Fault(SYNTAX, f"{self.seen()} where {sign!r} was expected", *self.token.at)
        return self.take()

    def seen(self):
        return self.token.value if self.token.kind == lexer.END else repr(self.token.value)[:40]

    def made(self, kind, at, *values):
        node = kind(at, *values)
        self.nodes += 1
        if node.depth > DEEPEST:
            raise Fault(SYNTAX, f"nested deeper than {DEEPEST}", *at)
        if self.nodes > MOST_NODES:
            raise Fault(SYNTAX, f"more than {MOST_NODES} parts", *at)
        return node

    def whole(self):
        node = self.choice()
        if self.token.kind != lexer.END:
            raise Fault(SYNTAX, f"{self.seen()} after the end of the expression", *self.token.at)
        return node

    def choice(self):
        self.open += 1
        if self.open > DEEPEST:
            raise Fault(SYNTAX, f"nested deeper than {DEEPEST}", *self.token.at)
        node = self.logic("||")
        if self.sees("?"):
            at = self.take().at
            yes = self.logic("||")
            self.want(":")
            node = self.made(tree.Choice, at, node, yes, self.choice())
        self.open -= 1
        return node

    def logic(self, sign):
        operand = self.operand_of(sign)
        operands, at = [operand], self.token.at
        while self.sees(sign):
            self.take()
            operands.append(self.operand_of(sign))
        return self.made(tree.Logic, at, sign, operands) if len(operands) > 1 else operand

    def operand_of(self, sign):
        return self.logic("&&") if sign == "||" else self.level(0)

    def level(self, number):
        if number == len(LEVELS):
            return self.unary()
        node = self.level(number + 1)
        while self.sees(*LEVELS[number]):
            sign = self.take()
            node = self.made(tree.Binary, sign.at, sign.value, node, self.level(number + 1))
        return node

    def unary(self):
        signs = []
        while self.sees("!", "-"):
            signs.append(self.take())
            if len(signs) > DEEPEST:
                raise Fault(SYNTAX, f"nested deeper than {DEEPEST}", *self.token.at)
        minus = bool(signs) and signs[-1].value == "-" and self.token.kind in (lexer.INT, lexer.DOUBLE)
        if minus:
            sign, token = signs.pop(), self.take()
            node = self.member(self.made(tree.Literal, sign.at, -token.value, OF[token.kind]))
        else:
            node = self.member(self.primary())
        for sign in reversed(signs):
            node = self.made(tree.Unary, sign.at, sign.value, node)
        return node

    def member(self, node):
        while self.sees(".", "["):
            at = self.take().at
            if self.tokens[self.next - 1].value == "[":
                node = self.made(tree.Index, at, node, self.choice())
                self.want("]")
                continue
            name, at = self.name(), self.tokens[self.next - 1].at
            if not self.sees("("):
                node = self.made(tree.Field, at, node, name)
            elif name in MACROS:
                node = self.each(name, at, node)
            else:
                node = self.made(tree.Call, at, name, node, self.listed("(", ")"), None)
        return node

    def name(self):
        token = self.take()
        if token.kind != lexer.NAME or token.value in RESERVED or token.value in WORDS or token.value == "in":
            self.next -= 1
            raise Fault(SYNTAX, f"{self.seen()} where a name was expected", *token.at)
        return token.value

    def listed(self, first, last):
        self.want(first)
        items = []
        while not self.sees(last):
            items.append(self.choice())
            if not self.sees(last):
                self.want(",")
        self.take()
        return items

    def each(self, macro, at, over):
        self.want("(")
        name = self.name()
        self.want(",")
        test, body = None, self.choice()
        if macro == "map" and self.sees(","):
            self.take()
            test, body = body, self.choice()
        self.want(")")
        return self.made(tree.Each, at, macro, over, name, test, body)

    def primary(self):
        token = self.token
        if token.kind in OF:
            self.take()
            if token.kind == lexer.INT and token.value > HIGHEST:
                raise Fault(SYNTAX, "an integer past 64 bits", *token.at)
            return self.made(tree.Literal, token.at, token.value, OF[token.kind])
        if self.sees("("):
            self.take()
            node = self.choice()
            self.want(")")
            return node
        if self.sees("["):
            return self.made(tree.ListOf, token.at, self.listed("[", "]"))
        if self.sees("{"):
            return self.map_of(token.at)
        if token.kind == lexer.NAME and token.value in WORDS:
            self.take()
            return self.made(tree.Literal, token.at, *WORDS[token.value])
        name = self.name()
        if not self.sees("("):
            return self.made(tree.Name, token.at, name)
        if name != "has":
            return self.made(tree.Call, token.at, name, None, self.listed("(", ")"), None)
        given = self.listed("(", ")")
        if len(given) != 1 or not isinstance(given[0], tree.Field):
            raise Fault(SYNTAX, "has() takes one field, as in has(a.b)", *token.at)
        return self.made(tree.Has, token.at, given[0].target, given[0].name)

    def map_of(self, at):
        self.want("{")
        keys, items = [], []
        while not self.sees("}"):
            keys.append(self.choice())
            self.want(":")
            items.append(self.choice())
            if not self.sees("}"):
                self.want(",")
        self.take()
        return self.made(tree.MapOf, at, keys, items)
