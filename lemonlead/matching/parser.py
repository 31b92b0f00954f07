"""Parses tokens into a syntax tree.

Nesting and the number of nodes are limited, which bounds the work and the recursion of all later steps."""

from . import lexer, tree
from .faults import SYNTAX, Fault
from .kinds import BOOL, BYTES, DOUBLE, MAX_INT64, INT, NULL, STRING

MAX_DEPTH = 40  # levels of nesting
MAX_NODES = 2000
# Binary operators, from the lowest precedence to the highest
PRECEDENCE_LEVELS = (("<", "<=", ">", ">=", "==", "!=", "in"), ("+", "-"), ("*", "/", "%"))
MACROS = ("exists", "all", "exists_one", "filter", "map")
RESERVED = frozenset(
    ("as", "break", "const", "continue", "else", "for", "function", "if", "import", "let", "loop", "package")
    + ("namespace", "return", "var", "void", "while")
)
LITERAL_KINDS = {lexer.INT: INT, lexer.DOUBLE: DOUBLE, lexer.STRING: STRING, lexer.BYTES: BYTES}
CONSTANTS = {"true": (True, BOOL), "false": (False, BOOL), "null": (None, NULL)}


def parse(text):
    """Returns the syntax tree of an expression. Raises Fault if the text is not a valid expression."""
    return Parser(lexer.tokenize(text)).parse_expression()


class Parser:
    """A recursive-descent parser. Each method below `parse_expression` parses one form and returns its
    node."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.next_index = 0
        self.open_conditionals = 0
        self.node_count = 0

    @property
    def token(self):
        return self.tokens[self.next_index]

    def next_is(self, *signs):
        """Returns whether the next token is one of these operators or punctuation marks."""
        token = self.token
        return token.value in signs and (
            token.kind == lexer.SIGN or token.kind == lexer.NAME and token.value == "in"
        )

    def advance(self):
        """Consumes and returns the next token."""
        self.next_index += 1
        return self.tokens[self.next_index - 1]

    def expect(self, sign):
        """Consumes and returns the next token. Raises Fault if it is not this sign."""
        if not self.next_is(sign):
            raise Fault(SYNTAX, f"{self.describe_next()} where {sign!r} was expected", *self.token.position)
        return self.advance()

    def describe_next(self):
        """Returns the next token as text for a message."""
        return self.token.value if self.token.kind == lexer.END else repr(self.token.value)[:40]

    def add_node(self, node_class, start, *values):
        """Makes a node. Raises Fault if the tree becomes too deep or too large."""
        node = node_class(start, *values)
        self.node_count += 1
        if node.depth > MAX_DEPTH:
            raise Fault(SYNTAX, f"nested deeper than {MAX_DEPTH}", *start)
        if self.node_count > MAX_NODES:
            raise Fault(SYNTAX, f"more than {MAX_NODES} nodes", *start)
        return node

    def parse_expression(self):
        node = self.conditional()
        if self.token.kind != lexer.END:
            raise Fault(
                SYNTAX, f"{self.describe_next()} after the end of the expression", *self.token.position
            )
        return node

    def conditional(self):
        self.open_conditionals += 1
        if self.open_conditionals > MAX_DEPTH:
            raise Fault(SYNTAX, f"nested deeper than {MAX_DEPTH}", *self.token.position)
        node = self.logic("||")
        if self.next_is("?"):
            start = self.advance().position
            if_true = self.logic("||")
            self.expect(":")
            node = self.add_node(tree.Conditional, start, node, if_true, self.conditional())
        self.open_conditionals -= 1
        return node

    def logic(self, operator):
        operand = self.operand_of(operator)
        operands, start = [operand], self.token.position
        while self.next_is(operator):
            self.advance()
            operands.append(self.operand_of(operator))
        return self.add_node(tree.Logic, start, operator, operands) if len(operands) > 1 else operand

    def operand_of(self, operator):
        return self.logic("&&") if operator == "||" else self.binary(0)

    def binary(self, number):
        """Parses the binary operators of precedence level `number` and above."""
        if number == len(PRECEDENCE_LEVELS):
            return self.unary()
        node = self.binary(number + 1)
        while self.next_is(*PRECEDENCE_LEVELS[number]):
            operator = self.advance()
            node = self.add_node(
                tree.Binary, operator.position, operator.value, node, self.binary(number + 1)
            )
        return node

    def unary(self):
        signs = []
        while self.next_is("!", "-"):
            signs.append(self.advance())
            if len(signs) > MAX_DEPTH:
                raise Fault(SYNTAX, f"nested deeper than {MAX_DEPTH}", *self.token.position)
        minus = bool(signs) and signs[-1].value == "-" and self.token.kind in (lexer.INT, lexer.DOUBLE)
        if minus:
            operator, token = signs.pop(), self.advance()
            node = self.postfix(
                self.add_node(tree.Literal, operator.position, -token.value, LITERAL_KINDS[token.kind])
            )
        else:
            node = self.postfix(self.primary())
        for operator in reversed(signs):
            node = self.add_node(tree.Unary, operator.position, operator.value, node)
        return node

    def postfix(self, node):
        """Parses the fields, indexes and calls that follow an operand."""
        while self.next_is(".", "["):
            start = self.advance().position
            if self.tokens[self.next_index - 1].value == "[":
                node = self.add_node(tree.Index, start, node, self.conditional())
                self.expect("]")
                continue
            name, start = self.parse_name(), self.tokens[self.next_index - 1].position
            if not self.next_is("("):
                node = self.add_node(tree.Field, start, node, name)
            elif name in MACROS:
                node = self.comprehension(name, start, node)
            else:
                node = self.add_node(tree.Call, start, name, node, self.comma_separated("(", ")"), None)
        return node

    def parse_name(self):
        token = self.advance()
        if (
            token.kind != lexer.NAME
            or token.value in RESERVED
            or token.value in CONSTANTS
            or token.value == "in"
        ):
            self.next_index -= 1
            raise Fault(SYNTAX, f"{self.describe_next()} where a name was expected", *token.position)
        return token.value

    def comma_separated(self, first, last):
        """Parses expressions between two brackets."""
        self.expect(first)
        items = []
        while not self.next_is(last):
            items.append(self.conditional())
            if not self.next_is(last):
                self.expect(",")
        self.advance()
        return items

    def comprehension(self, macro, start, over):
        self.expect("(")
        name = self.parse_name()
        self.expect(",")
        condition, body = None, self.conditional()
        if macro == "map" and self.next_is(","):
            self.advance()
            condition, body = body, self.conditional()
        self.expect(")")
        return self.add_node(tree.Comprehension, start, macro, over, name, condition, body)

    def primary(self):
        token = self.token
        if token.kind in LITERAL_KINDS:
            self.advance()
            if token.kind == lexer.INT and token.value > MAX_INT64:
                raise Fault(SYNTAX, "an integer of more than 64 bits", *token.position)
            return self.add_node(tree.Literal, token.position, token.value, LITERAL_KINDS[token.kind])
        if self.next_is("("):
            self.advance()
            node = self.conditional()
            self.expect(")")
            return node
        if self.next_is("["):
            return self.add_node(tree.ListLiteral, token.position, self.comma_separated("[", "]"))
        if self.next_is("{"):
            return self.map_literal(token.position)
        if token.kind == lexer.NAME and token.value in CONSTANTS:
            self.advance()
            return self.add_node(tree.Literal, token.position, *CONSTANTS[token.value])
        name = self.parse_name()
        if not self.next_is("("):
            return self.add_node(tree.Name, token.position, name)
        if name != "has":
            return self.add_node(tree.Call, token.position, name, None, self.comma_separated("(", ")"), None)
        arguments = self.comma_separated("(", ")")
        if len(arguments) != 1 or not isinstance(arguments[0], tree.Field):
            raise Fault(SYNTAX, "has() takes one field, as in has(a.b)", *token.position)
        return self.add_node(tree.Has, token.position, arguments[0].target, arguments[0].name)

    def map_literal(self, start):
        self.expect("{")
        keys, items = [], []
        while not self.next_is("}"):
            keys.append(self.conditional())
            self.expect(":")
            items.append(self.conditional())
            if not self.next_is("}"):
                self.expect(",")
        self.advance()
        return self.add_node(tree.MapLiteral, start, keys, items)
