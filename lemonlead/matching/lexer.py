"""Text into tokens, as the Common Expression Language has them."""

import re
from dataclasses import dataclass

from .faults import SYNTAX, Fault

LONGEST = 8192  # code points of an expression
INT, DOUBLE, STRING, BYTES, NAME, SIGN, END = "int", "double", "string", "bytes", "name", "sign", "end"
TOKEN = re.compile(
    r"""(?P<space>[ \t\r\n\f]+|//[^\n]*)
    |(?P<double>\d+\.\d+(?:[eE][+-]?\d+)?|\d+[eE][+-]?\d+|\.\d+(?:[eE][+-]?\d+)?)
    |(?P<int>0[xX][0-9a-fA-F]+|\d+)(?P<unsigned>[uU])?
    |(?P<prefix>[rR][bB]?|[bB][rR]?)?(?P<string>\"\"\"(?:[^\\]|\\.)*?\"\"\"|'''(?:[^\\]|\\.)*?'''
        |"(?:[^"\\\n]|\\.)*"|'(?:[^'\\\n]|\\.)*')
    |(?P<name>[A-Za-z_][A-Za-z_0-9]*)
    |(?P<sign>&&|\|\||==|!=|<=|>=|[-+*/%<>!?:.,()\[\]{}])""",
    re.VERBOSE | re.DOTALL,
)
CODES = r"\\(x[0-9a-fA-F]{2}|u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8}|[0-3][0-7]{2}|.?)"
ESCAPE, OCTETS = re.compile(CODES, re.DOTALL), re.compile(CODES.encode(), re.DOTALL)
PLAIN = {
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
    at: tuple  # line and column, both from 1


def places(text):
    """A function from an offset to its line and column."""
    starts = [0, *(match.end() for match in re.finditer("\n", text))]

    def place(offset):
        low, high = 0, len(starts)
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if starts[middle] <= offset else (low, middle)
        return low + 1, offset - starts[low] + 1

    return place


def tokens(text):
    """All tokens of an expression, END last; Fault with the place of what is none."""
    if len(text) > LONGEST:
        raise Fault(SYNTAX, f"{len(text)} characters, {LONGEST} allowed")
    place, found, offset = places(text), [], 0
    while offset < len(text):
        match = TOKEN.match(text, offset)
        at = place(offset)
        if match is None:
            what = "a string without its end" if text[offset] in "'\"" else f"no token: {text[offset]!r}"
            raise Fault(SYNTAX, what, *at)
        offset = match.end()
        kind = match.lastgroup if match.lastgroup != "unsigned" else "int"
        if kind == "space":
            continue
        if match["unsigned"]:
            raise Fault(SYNTAX, "unsigned integers are not part of this language", *at)
        if kind == "string":
            found.append(string(match["prefix"] or "", match["string"], at))
        elif kind == "double":
            found.append(Token(DOUBLE, float(match[0]), at))
        elif kind == "int":
            found.append(Token(INT, whole(match["int"], at), at))
        else:
            found.append(Token(NAME if kind == "name" else SIGN, match[0], at))
    found.append(Token(END, "the end", place(len(text))))
    return found


def whole(digits, at):
    """An integer, at most 2**63, which only a minus makes fit; the parser looks at that."""
    number = int(digits, 16) if digits[:2] in ("0x", "0X") else int(digits[:21])
    if len(digits) > 20 or number > 2**63:
        raise Fault(SYNTAX, "an integer past 64 bits", *at)
    return number


def string(prefix, quoted, at):
    width = 3 if quoted[:3] in ('"""', "'''") and len(quoted) >= 6 else 1
    body, raw = quoted[width:-width], "r" in prefix.lower()
    if "b" in prefix.lower():
        data = body.encode("utf-8", "surrogatepass")
        return Token(BYTES, data if raw else OCTETS.sub(lambda match: octets(match[1], at), data), at)
    body = body if raw else ESCAPE.sub(lambda match: escaped(match[1], at), body)
    if any(0xD800 <= ord(letter) < 0xE000 for letter in body):
        raise Fault(SYNTAX, "half a character of UTF-16", *at)
    return Token(STRING, body, at)


def octets(code, at):
    """What an escape stands for in bytes: \\x and octal are one octet, the others a character in UTF-8."""
    if len(code) > 1 and code[:1] in (b"x", b"0", b"1", b"2", b"3"):
        return bytes([int(code, 8) if code[:1] != b"x" else int(code[1:], 16)])
    return escaped(code.decode("utf-8", "replace"), at).encode()


def escaped(code, at):
    if code in PLAIN:
        return PLAIN[code]
    if not code or code[0] not in "xuU0123" or len(code) == 1:
        raise Fault(SYNTAX, f"no escape: \\{code}", *at)
    number = int(code, 8) if code[0] in "0123" else int(code[1:], 16)
    if number > 0x10FFFF or 0xD800 <= number < 0xE000:
        raise Fault(SYNTAX, f"no character: \\{code}", *at)
    return chr(number)
