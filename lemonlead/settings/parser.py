"""Text into a tree, by the grammar in `grammar.lark`."""

import json
import re
from functools import cache
from pathlib import Path

from lark import Lark, Token, UnexpectedInput

from . import tree
from .faults import Fault, Place, InvalidFile

MAX_FILE_SIZE, DEEPEST = 2 << 20, 64  # code points of a file; values within values
UNITS = {"ns": 1, "us": 10**3, "ms": 10**6, "s": 10**9, "m": 60 * 10**9, "h": 3600 * 10**9}
FACTORS = {"K": 10**3, "M": 10**6, "G": 10**9, "Ki": 2**10, "Mi": 2**20, "Gi": 2**30}
WORDS = {"true": (True, "bool"), "false": (False, "bool"), "null": (None, "null")}
ESCAPE = re.compile(r"\\(u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8}|.)", re.DOTALL)
PLAIN = {
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
    """The tree of a file; Unfit with the place of what cannot be read."""
    if len(text) > MAX_FILE_SIZE:
        raise InvalidFile(
            [Fault(Place(file, 1, 1), "", f"{len(text)} characters", f"{MAX_FILE_SIZE} at most")]
        )
    try:
        made = grammar().parse(text)
    except UnexpectedInput as error:
        raise InvalidFile([unexpected(error, text, file)]) from None
    maker = Maker(file)
    maker.look_at_depth(made)
    return maker.struct(made, Place(file, 1, 1))


def unexpected(error, text, file):
    line, column = error.line, error.column
    wanted = sorted(
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
    words = [name.strip("_").lower() for name in wanted if not name.startswith("__")]
    return Fault(
        Place(file, line, column),
        "",
        found or repr(here or "the line's end"),
        " or ".join(words) or "a field",
        code="syntax",
    )


class Maker:
    def __init__(self, file):
        self.file = file

    def at(self, token):
        return Place(self.file, token.line, token.column)

    def first(self, node):
        """The place where a node begins; None if nothing stands there."""
        if isinstance(node, Token):
            return self.at(node)
        return None if node.meta.empty else Place(self.file, node.meta.line, node.meta.column)

    def look_at_depth(self, root):
        """What follows goes down the tree by calls: it is not to be deeper than they may go."""
        open_nodes = [(root, 0)]
        while open_nodes:
            node, depth = open_nodes.pop()
            if isinstance(node, Token):
                continue
            depth += node.data in ("struct", "list", "nested", "either")
            if depth > DEEPEST:
                place = self.first(node) or Place(self.file, 1, 1)
                raise InvalidFile(
                    [Fault(place, "", "fields in fields", f"{DEEPEST} deep at most", code="syntax")]
                )
            open_nodes.extend((child, depth) for child in node.children)

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
                    made.includes.append((self.at(child.children[0]), string(child.children[0], self)))
        return made

    def field(self, node):
        label, *optional, value = node.children
        token = label.children[0]
        name = string(token, self) if token.type == "STRING" else str(token)
        made = tree.Label(self.at(token), name, bool(optional))
        if node.data == "nested":
            return made, tree.Struct(self.at(token), [self.field(value)])
        return made, self.value(value, made.place)

    def value(self, node, place):
        """`place`: of what it belongs to, for what has no token of its own."""
        place = self.first(node) or place
        match node.data:
            case "either":
                choices = [self.choice(child, place) for child in node.children]
                return (
                    choices[0][1] if len(choices) == 1 and not choices[0][0] else tree.Either(place, choices)
                )
            case "both":
                parts = [self.value(child, place) for child in node.children]
                return parts[0] if len(parts) == 1 else tree.Both(place, parts)
            case "bound":
                sign, limit = node.children
                return tree.Bound(place, str(sign), self.value(limit, place))
            case "ref":
                if len(node.children) == 1 and node.children[0] in WORDS:
                    return tree.Literal(place, *WORDS[node.children[0]])
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
                raise InvalidFile([Fault(self.first(item) or place, "", "an item after ...", "... last")])
            else:
                made.items.append(self.value(item.children[0], place))
        return made

    def literal(self, token, place):
        if token.type != "NUMBER":
            return tree.Literal(place, string(token, self), "string", str(token))
        text = str(token).replace("_", "")
        if found := re.findall(r"([0-9.]+)(ns|us|ms|s|m|h)", text):
            sign = -1 if text.startswith("-") else 1
            return tree.Literal(
                place, sign * sum(exactly(number, UNITS[unit]) for number, unit in found), "duration"
            )
        digits, _, factor = re.fullmatch(r"(.*?)()(Ki|Mi|Gi|K|M|G)?", text).groups()
        if factor:
            return tree.Literal(place, exactly(digits, FACTORS[factor]), "int")
        if re.fullmatch(r"-?[0-9]+", digits):
            if len(digits) > 40:
                raise InvalidFile([Fault(place, "", "a number of over 40 digits", "fewer")])
            return tree.Literal(place, int(digits), "int")
        return tree.Literal(place, float(digits), "float")


def exactly(digits, factor):
    """A decimal times a whole number, rounded to whole ones."""
    whole, _, part = digits.partition(".")
    value = abs(int(whole)) * factor + round(int(part or 0) * factor / 10 ** len(part))
    return -value if whole.startswith("-") else value


def string(token, maker):
    """The text that a string stands for; Unfit where an escape is none."""
    raw, place = str(token), maker.at(token)

    def escaped(match):
        code = match[1]
        if code in PLAIN:
            return PLAIN[code]
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
        return ESCAPE.sub(escaped, raw[1:-1])
    lines = raw[3:-3].split("\n")[1:]
    indent = lines[-1]
    if indent.strip():
        raise InvalidFile([Fault(place, "", 'text before the closing """', "a line of its own")])
    if any(line.strip() and not line.startswith(indent) for line in lines[:-1]):
        raise InvalidFile(
            [Fault(place, "", "a line indented less than the closing quotes", "the same indent")]
        )
    return ESCAPE.sub(escaped, "\n".join(line[len(indent) :].rstrip("\r") for line in lines[:-1]))


def inside(literal, line, column):
    """The place in the file of a place in the text of a string literal."""
    at, raw = literal.place, literal.raw
    if raw.startswith('"""'):
        indent = len(raw[3:-3].split("\n")[-1])
        return Place(at.file, at.line + line, indent + column)
    if raw.startswith('#"'):
        return Place(at.file, at.line, at.column + 1 + column)
    # Letters of the text, counted along the raw one: an escape is one letter (or a new line) of several.
    position, seen_line, seen_column = 1, 1, 1
    while position < len(raw) - 1 and (seen_line, seen_column) < (line, column):
        match = ESCAPE.match(raw, position)
        letter = json.dumps(match[0]) if match and match[1] != "n" else "\n" if match else raw[position]
        position = match.end() if match else position + 1
        seen_line, seen_column = (seen_line + 1, 1) if letter == "\n" else (seen_line, seen_column + 1)
    return Place(at.file, at.line, at.column + position)
