"""Parses settings files to syntax trees, by the grammar in `grammar.lark`."""

import json
import re
from functools import cache
from pathlib import Path

from lark import Lark, Token, UnexpectedInput

from . import tree
from .faults import Fault, Place, InvalidFile

MAX_FILE_SIZE = 2 << 20  # bytes of all files together; code points of one file
MAX_DEPTH = 64  # nested values
# Nanoseconds
UNITS = {"ns": 1, "us": 10**3, "ms": 10**6, "s": 10**9, "m": 60 * 10**9, "h": 3600 * 10**9}
FACTORS = {"K": 10**3, "M": 10**6, "G": 10**9, "Ki": 2**10, "Mi": 2**20, "Gi": 2**30}
CONSTANTS = {"true": (True, "bool"), "false": (False, "bool"), "null": (None, "null")}
ESCAPE_PATTERN = re.compile(r"\\(u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8}|.)", re.DOTALL)
SIMPLE_ESCAPES = {
    "n": "\n",
    "t": "\t",
    "r": "\r",
    "b": "\b",
    "f": "\f",
    "a": "\a",
    "v": "\v",
    "\\": "\\",
    '"': '"',
    "/": "/",
}


@cache
def grammar():
    text = Path(__file__).with_name("grammar.lark").read_text()
    return Lark(text, parser="lalr", lexer="contextual", propagate_positions=True)


def parse(text, file):
    """Returns the tree of a file. Raises InvalidFile with the place of a syntax error."""
    if len(text) > MAX_FILE_SIZE:
        raise InvalidFile(
            [Fault(Place(file, 1, 1), "", f"{len(text)} characters", f"{MAX_FILE_SIZE} at most")]
        )
    try:
        made = grammar().parse(text)
    except UnexpectedInput as error:
        raise InvalidFile([syntax_fault(error, text, file)]) from None
    builder = TreeBuilder(file)
    builder.check_depth(made)
    return builder.struct(made, Place(file, 1, 1))


def syntax_fault(error, text, file):
    """Converts an error of the parser library to a Fault."""
    line, column = error.line, error.column
    expected = sorted(
        getattr(error, "accepts", None)
        or getattr(error, "expected", None)
        or getattr(error, "allowed", None)
        or ()
    )
    found = "the end" if getattr(getattr(error, "token", None), "type", "") == "$END" else ""
    if found or not isinstance(line, int) or line < 1:
        lines = text.split("\n")
        line, column, found = len(lines), len(lines[-1]) + 1, "the end"
    here = text.split("\n")[line - 1][column - 1 :][:20]
    words = [name.strip("_").lower() for name in expected if not name.startswith("__")]
    return Fault(
        Place(file, line, column),
        "",
        found or repr(here or "the line's end"),
        " or ".join(words) or "a field",
        code="syntax",
    )


class TreeBuilder:
    """Builds our tree from the tree of the parser library."""

    def __init__(self, file):
        self.file = file

    def at(self, token):
        return Place(self.file, token.line, token.column)

    def first_place(self, node):
        """Returns the place where a node begins, or None if the node is empty."""
        if isinstance(node, Token):
            return self.at(node)
        return None if node.meta.empty else Place(self.file, node.meta.line, node.meta.column)

    def check_depth(self, root):
        """Limits the depth of the tree, because the other methods are recursive."""
        pending = [(root, 0)]
        while pending:
            node, depth = pending.pop()
            if isinstance(node, Token):
                continue
            depth += node.data in ("struct", "list", "nested", "either")
            if depth > MAX_DEPTH:
                place = self.first_place(node) or Place(self.file, 1, 1)
                raise InvalidFile(
                    [Fault(place, "", "fields in fields", f"{MAX_DEPTH} deep at most", code="syntax")]
                )
            pending.extend((child, depth) for child in node.children)

    def struct(self, node, place):
        made = tree.Struct(place)
        for child in node.children:
            match child.data:
                case "field" | "nested":
                    made.fields.append(self.field(child))
                case "pattern":
                    name, value = child.children
                    made.patterns.append((self.value(name, place), self.value(value, place)))
                case "rest":
                    made.open = True
                case "include":
                    made.includes.append((self.at(child.children[0]), unquote(child.children[0], self)))
        return made

    def field(self, node):
        label, *optional, value = node.children
        token = label.children[0]
        name = unquote(token, self) if token.type == "STRING" else str(token)
        made = tree.Label(self.at(token), name, bool(optional))
        if node.data == "nested":
            return made, tree.Struct(self.at(token), [self.field(value)])
        return made, self.value(value, made.place)

    def value(self, node, place):
        """Returns the tree of a value. `place` is that of its parent, for values without a token of their
        own."""
        place = self.first_place(node) or place
        match node.data:
            case "either":
                choices = [self.choice(child, place) for child in node.children]
                return (
                    choices[0][1]
                    if len(choices) == 1 and not choices[0][0]
                    else tree.Disjunction(place, choices)
                )
            case "both":
                parts = [self.value(child, place) for child in node.children]
                return parts[0] if len(parts) == 1 else tree.Conjunction(place, parts)
            case "bound":
                operator, limit = node.children
                return tree.Bound(place, str(operator), self.value(limit, place))
            case "ref":
                if len(node.children) == 1 and node.children[0] in CONSTANTS:
                    return tree.Literal(place, *CONSTANTS[node.children[0]])
                return tree.Ref(place, [str(part) for part in node.children])
            case "literal":
                return self.literal(node.children[0], place)
            case "struct":
                return self.struct(node, place)
            case "list":
                return self.list(node, place)
        raise TypeError(node.data)

    def choice(self, node, place):
        default = isinstance(node.children[0], Token)
        return default, self.value(node.children[-1], place)

    def list(self, node, place):
        made = tree.List(place, [])
        for item in node.children:
            if isinstance(item.children[0], Token):
                made.open, made.rest = (
                    True,
                    self.value(item.children[1], place) if item.children[1:] else None,
                )
            elif made.open:
                raise InvalidFile(
                    [Fault(self.first_place(item) or place, "", "an item after ...", "... last")]
                )
            else:
                made.items.append(self.value(item.children[0], place))
        return made

    def literal(self, token, place):
        """Converts a string or a number, which may have a unit of time or a factor such as Ki."""
        if token.type != "NUMBER":
            return tree.Literal(place, unquote(token, self), "string", str(token))
        text = str(token).replace("_", "")
        if found := re.findall(r"([0-9.]+)(ns|us|ms|s|m|h)", text):
            operator = -1 if text.startswith("-") else 1
            return tree.Literal(
                place,
                operator * sum(scale_decimal(number, UNITS[unit]) for number, unit in found),
                "duration",
            )
        digits, _, factor = re.fullmatch(r"(.*?)()(Ki|Mi|Gi|K|M|G)?", text).groups()
        if factor:
            return tree.Literal(place, scale_decimal(digits, FACTORS[factor]), "int")
        if re.fullmatch(r"-?[0-9]+", digits):
            if len(digits) > 40:
                raise InvalidFile([Fault(place, "", "a number of over 40 digits", "fewer")])
            return tree.Literal(place, int(digits), "int")
        return tree.Literal(place, float(digits), "float")


def scale_decimal(digits, factor):
    """Multiplies a decimal number, as text, by an integer, and rounds the result to an integer."""
    whole, _, fraction = digits.partition(".")
    value = abs(int(whole)) * factor + round(int(fraction or 0) * factor / 10 ** len(fraction))
    return -value if whole.startswith("-") else value


def unquote(token, builder):
    """Returns the text of a string literal. Raises InvalidFile at an invalid escape."""
    raw, place = str(token), builder.at(token)

    def unescape(match):
        code = match[1]
        if code in SIMPLE_ESCAPES:
            return SIMPLE_ESCAPES[code]
        if (
            code[0] in "uU"
            and len(code) > 1
            and not 0xD800 <= (number := int(code[1:], 16)) < 0xE000
            and (number < 0x110000)
        ):
            return chr(number)
        raise InvalidFile([Fault(place, "", f"the escape \\{code}", 'one of \\n \\t \\r \\" \\\\ \\uXXXX')])

    if raw.startswith('#"'):
        return raw[2:-2]
    if not raw.startswith('"""'):
        return ESCAPE_PATTERN.sub(unescape, raw[1:-1])
    lines = raw[3:-3].split("\n")[1:]
    indent = lines[-1]
    if indent.strip():
        raise InvalidFile([Fault(place, "", 'text before the closing """', "a line of its own")])
    if any(line.strip() and not line.startswith(indent) for line in lines[:-1]):
        raise InvalidFile(
            [Fault(place, "", "a line indented less than the closing quotes", "the same indent")]
        )
    return ESCAPE_PATTERN.sub(unescape, "\n".join(line[len(indent) :].rstrip("\r") for line in lines[:-1]))


def place_in_string(literal, line, column):
    """Returns the place in the file of a line and column in the text of a string literal."""
    at, raw = literal.place, literal.raw
    if raw.startswith('"""'):
        indent = len(raw[3:-3].split("\n")[-1])
        return Place(at.file, at.line + line, indent + column)
    if raw.startswith('#"'):
        return Place(at.file, at.line, at.column + 1 + column)
    # Counts the characters of the text along its source: an escape is one character (or a line break) of the
    # text, but several of the source.
    position, seen_line, seen_column = 1, 1, 1
    while position < len(raw) - 1 and (seen_line, seen_column) < (line, column):
        match = ESCAPE_PATTERN.match(raw, position)
        letter = json.dumps(match[0]) if match and match[1] != "n" else "\n" if match else raw[position]
        position = match.end() if match else position + 1
        seen_line, seen_column = (seen_line + 1, 1) if letter == "\n" else (seen_line, seen_column + 1)
    return Place(at.file, at.line, at.column + position)
