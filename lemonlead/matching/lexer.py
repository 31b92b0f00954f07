"""Splits the text of an expression into tokens, by the lexical rules of the Common Expression Language."""

import re
from dataclasses import dataclass

from .faults import SYNTAX, Fault

MAX_EXPRESSION_LENGTH = 8192  # code points

# Kinds of tokens
INT = "int"
DOUBLE = "double"
STRING = "string"
BYTES = "bytes"
NAME = "name"
SIGN = "sign"  # an operator or a punctuation mark
END = "end"

TOKEN_PATTERN = re.compile(
    r"""(?P<space>[ \t\r\n\f]+|//[^\n]*)
    |(?P<double>\d+\.\d+(?:[eE][+-]?\d+)?|\d+[eE][+-]?\d+|\.\d+(?:[eE][+-]?\d+)?)
    |(?P<int>0[xX][0-9a-fA-F]+|\d+)(?P<unsigned>[uU])?
    |(?P<prefix>[rR][bB]?|[bB][rR]?)?(?P<string>\"\"\"(?:[^\\]|\\.)*?\"\"\"|'''(?:[^\\]|\\.)*?'''
        |"(?:[^"\\\n]|\\.)*"|'(?:[^'\\\n]|\\.)*')
    |(?P<name>[A-Za-z_][A-Za-z_0-9]*)
    |(?P<sign>&&|\|\||==|!=|<=|>=|[-+*/%<>!?:.,()\[\]{}])""",
    re.VERBOSE | re.DOTALL,
)
ESCAPE_CODES = r"\\(x[0-9a-fA-F]{2}|u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8}|[0-3][0-7]{2}|.?)"
TEXT_ESCAPE, BYTES_ESCAPE = re.compile(ESCAPE_CODES, re.DOTALL), re.compile(ESCAPE_CODES.encode(), re.DOTALL)
SIMPLE_ESCAPES = {
    "a": "\a",
    "b": "\b",
    "f": "\f",
    "n": "\n",
    "r": "\r",
    "t": "\t",
    "v": "\v",
    "\\": "\\",
    "'": "'",
    '"': '"',
    "?": "?",
    "`": "`",
}


@dataclass(slots=True)
class Token:
    kind: str
    value: object
    position: tuple  # line and column, both counted from 1


def position_finder(text):
    """Returns a function that converts an offset in the text to its line and column."""
    line_starts = [0, *(match.end() for match in re.finditer("\n", text))]

    def position_of(offset):
        low, high = 0, len(line_starts)
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if line_starts[middle] <= offset else (low, middle)
        return low + 1, offset - line_starts[low] + 1

    return position_of


def tokenize(text):
    """Returns all tokens of an expression, the last of kind END. Raises Fault at text that is not a token."""
    if len(text) > MAX_EXPRESSION_LENGTH:
        raise Fault(SYNTAX, f"{len(text)} characters, {MAX_EXPRESSION_LENGTH} allowed")
    position_of, result, offset = position_finder(text), [], 0
    while offset < len(text):
        match = TOKEN_PATTERN.match(text, offset)
        position = position_of(offset)
        if match is None:
            what = (
                "a string without a closing quote"
                if text[offset] in "'\""
                else f"not a token: {text[offset]!r}"
            )
            raise Fault(SYNTAX, what, *position)
        offset = match.end()
        kind = match.lastgroup if match.lastgroup != "unsigned" else "int"
        if kind == "space":
            continue
        if match["unsigned"]:
            raise Fault(SYNTAX, "unsigned integers are not part of this language", *position)
        if kind == "string":
            result.append(parse_string(match["prefix"] or "", match["string"], position))
        elif kind == "double":
            result.append(Token(DOUBLE, float(match[0]), position))
        elif kind == "int":
            result.append(Token(INT, parse_integer(match["int"], position), position))
        else:
            result.append(Token(NAME if kind == "name" else SIGN, match[0], position))
    result.append(Token(END, "the end", position_of(len(text))))
    return result


def parse_integer(digits, position):
    """Returns an integer of at most 2**63. The parser accepts 2**63 itself only after a minus."""
    number = int(digits, 16) if digits[:2] in ("0x", "0X") else int(digits[:21])
    if len(digits) > 20 or number > 2**63:
        raise Fault(SYNTAX, "an integer of more than 64 bits", *position)
    return number


def parse_string(prefix, quoted, position):
    """Returns the token of a string or bytes literal. `prefix`: r (raw), b (bytes), both or empty."""
    width = 3 if quoted[:3] in ('"""', "'''") and len(quoted) >= 6 else 1
    body, raw = quoted[width:-width], "r" in prefix.lower()
    if "b" in prefix.lower():
        data = body.encode("utf-8", "surrogatepass")
        return Token(
            BYTES,
            data if raw else BYTES_ESCAPE.sub(lambda match: unescape_bytes(match[1], position), data),
            position,
        )
    body = body if raw else TEXT_ESCAPE.sub(lambda match: unescape(match[1], position), body)
    if any(0xD800 <= ord(letter) < 0xE000 for letter in body):
        raise Fault(SYNTAX, "an unpaired UTF-16 surrogate", *position)
    return Token(STRING, body, position)


def unescape_bytes(code, position):
    """Returns the bytes of an escape: one byte for \\x and octal escapes, else a character in UTF-8."""
    if len(code) > 1 and code[:1] in (b"x", b"0", b"1", b"2", b"3"):
        return bytes([int(code, 8) if code[:1] != b"x" else int(code[1:], 16)])
    return unescape(code.decode("utf-8", "replace"), position).encode()


def unescape(code, position):
    """Returns the character of an escape, given without its backslash."""
    if code in SIMPLE_ESCAPES:
        return SIMPLE_ESCAPES[code]
    if not code or code[0] not in "xuU0123" or len(code) == 1:
        raise Fault(SYNTAX, f"not an escape sequence: \\{code}", *position)
    number = int(code, 8) if code[0] in "0123" else int(code[1:], 16)
    if number > 0x10FFFF or 0xD800 <= number < 0xE000:
        raise Fault(SYNTAX, f"not a character: \\{code}", *position)
    return chr(number)
