"""The functions of the language: their types, worst-case costs, bounds of their results, and implementations.

Costs are in steps. One step is about the time that evaluating `lookup.repeat` takes, the call included.
`benchmarks/matching.py` prints the ratio of time to cost for each function."""

import re
from dataclasses import dataclass
from decimal import Decimal, InvalidOperation

import re2
import xxhash

from .faults import COST, TYPE, VALUE, Fault
from .kinds import (
    ANY,
    BOOL,
    BYTES,
    DOUBLE,
    DURATION,
    MAX_INT64,
    INT,
    MIN_INT64,
    STRING,
    Bounds,
    list_of,
)

MAX_PATTERN_LENGTH = 256  # code points
MAX_PATTERN_BYTES = 1 << 18  # memory that RE2 may use for one pattern
STRING_LIST = list_of(STRING)
UNITS = {"ns": 1, "us": 10**3, "ms": 10**6, "s": 10**9, "m": 60 * 10**9, "h": 3600 * 10**9}
DURATION_PART = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ns|us|ms|s|m|h)")


@dataclass(frozen=True, slots=True)
class Function:
    """One overload of a function.

    `receiver` is the type of the value it is called on, None if it is not called on a value. `parameters` are
    the types of its arguments, `result` is the type of its result. `cost` and `bounds` are functions of the
    bounds of all values; `bounds` is None if the type of the result already bounds it. `run` computes the
    result, and `inline` is a Python expression that does the same. `may_err`: it may have no result. If
    `literal` is set, the last argument must be a literal, which `prepare` converts into the value that `run`
    gets."""

    name: str
    receiver: object
    parameters: tuple
    result: object
    cost: object
    run: object
    bounds: object = None
    inline: str = ""
    may_err: bool = False
    literal: bool = False
    prepare: object = None


def substring(text, start, end=None):
    end = len(text) if end is None else end
    if not 0 <= start <= end <= len(text):
        raise ValueError(f"substring({start}, {end}) of {len(text)} characters")
    return text[start:end]


def split(text, by, most=-1):
    """Splits into at most `most` parts, or all if it is negative; an empty separator splits characters."""
    if most == 0:
        return []
    if not by:
        letters = list(text)
        return letters if most < 0 or len(letters) <= most else [*letters[: most - 1], text[most - 1 :]]
    return text.split(by, most - 1 if most > 0 else -1)


def hash_value(value):
    """Returns XXH3 of the value's bytes (in UTF-8) without its lowest bit: 0 to 2**63 - 1."""
    return xxhash.xxh3_64_intdigest(value.encode() if isinstance(value, str) else value) >> 1


def compile_pattern(text):
    """Compiles a pattern. Raises Fault if it is invalid, or too large to be matched within its cost."""
    if len(text) > MAX_PATTERN_LENGTH:
        raise Fault(COST, f"a pattern of {len(text)} characters, {MAX_PATTERN_LENGTH} allowed")
    options = re2.Options()
    options.max_mem, options.log_errors, options.never_capture = MAX_PATTERN_BYTES, False, True
    try:
        compiled = re2.compile(text, options)
    except re2.error as error:
        reason = error.args[0].decode("utf-8", "replace") if isinstance(error.args[0], bytes) else str(error)
        large = "too large" in reason or "repetition size" in reason
        raise Fault(COST if large else VALUE, f"not a valid RE2 pattern: {reason}") from None
    return compiled


def matches(text, pattern):
    return pattern.search(text) is not None


def parse_duration(text):
    """Returns the nanoseconds of a duration such as 1.5s, 250ms or -1h30m. Raises ValueError if it is
    invalid."""
    nanoseconds, body = 0, text.removeprefix("-")
    if body in ("0", "+0"):
        return 0
    if not body or len(body) > 64 or DURATION_PART.sub("", body):
        raise ValueError(f"not a duration: {text[:40]!r} (as in 1.5s, 250ms, 1h30m)")
    try:
        nanoseconds = sum(int(Decimal(number) * UNITS[unit]) for number, unit in DURATION_PART.findall(body))
    except InvalidOperation:
        nanoseconds = MAX_INT64 + 1
    if nanoseconds > MAX_INT64:
        raise ValueError(f"a duration of more than 64 bits: {text[:40]!r}")
    return -nanoseconds if text.startswith("-") else nanoseconds


def prepare_duration(text):
    try:
        return parse_duration(text)
    except ValueError as error:
        raise Fault(VALUE, str(error)) from None


def to_int(value):
    if isinstance(value, str):
        if not re.fullmatch(r"-?[0-9]{1,19}", value, re.ASCII):
            raise ValueError(f"no integer: {value[:40]!r}")
        value = int(value)
    elif value != value or abs(value) >= 2.0**63:
        raise ValueError("no integer of 64 bits")
    return check_int64(int(value))


def check_int64(number):
    """Returns the number. Raises OverflowError if it has more than 64 bits."""
    if not MIN_INT64 <= number <= MAX_INT64:
        raise OverflowError("past 64 bits")
    return number


def decode_utf8(data):
    return data.decode()


def divide(left, right):
    """Divides integers and rounds toward zero, as the language does."""
    if right == 0:
        raise ZeroDivisionError("division by zero")
    quotient = abs(left) // abs(right)
    return check_int64(quotient if (left < 0) == (right < 0) else -quotient)


def remainder(left, right):
    if right == 0:
        raise ZeroDivisionError("modulus by zero")
    rest = abs(left) % abs(right)
    return -rest if left < 0 else rest


def divide_floats(left, right):
    if right != 0:
        return left / right
    if left == 0 or left != left:
        return float("nan")
    negative = (left < 0) != (str(right)[0] == "-")
    return float("-inf") if negative else float("inf")


def scan_cost(text, *_):
    return 2 + text.size // 128


def search_cost(text, part):
    """The cost of a substring search, which may compare up to 100 characters of the part at each position."""
    return 3 + text.size // 32 + text.size * min(part.size, 100) // 192


def pattern_cost(text, pattern):
    """The cost of an RE2 match: linear in the text, but each character may cost a step through the whole
    program, and an adversarial text reaches that. Usual patterns, with programs of about 20 instructions,
    take far less."""
    return 24 + text.size * pattern.programsize // 12


def size_bounds(value, *_):
    return Bounds(low=0, high=value.size)


def substring_bounds(text, *_):
    return Bounds(text.size)


def split_bounds(text, by, most=None):
    items = text.size + 1 if most is None or most.low < 0 else min(text.size + 1, max(most.high, 0))
    return Bounds(items, item=Bounds(text.size), total=text.size)


def join_bounds(items, by=None):
    total = items.total if items.total is not None else items.size * (items.item.size if items.item else 0)
    return Bounds(total + items.size * (by.size if by else 0))


def copy_cost(value, *_):
    return 3 + value.size // 64


def split_cost(text, *_):
    return 6 + text.size // 4


def join_cost(items, *_):
    return 4 + items.size // 2 + items.total_size() // 64


ALL = [
    Function("contains", STRING, (STRING,), BOOL, search_cost, lambda a, b: b in a, inline="({1} in {0})"),
    Function("contains", BYTES, (BYTES,), BOOL, search_cost, lambda a, b: b in a, inline="({1} in {0})"),
    Function("startsWith", STRING, (STRING,), BOOL, scan_cost, str.startswith, inline="{0}.startswith({1})"),
    Function("startsWith", BYTES, (BYTES,), BOOL, scan_cost, bytes.startswith, inline="{0}.startswith({1})"),
    Function("endsWith", STRING, (STRING,), BOOL, scan_cost, str.endswith, inline="{0}.endswith({1})"),
    Function("endsWith", BYTES, (BYTES,), BOOL, scan_cost, bytes.endswith, inline="{0}.endswith({1})"),
    Function(
        "lower",
        STRING,
        (),
        STRING,
        lambda a: 4 + a.size // 6,
        str.lower,
        lambda a: Bounds(3 * a.size),
        inline="{0}.lower()",
    ),
    Function(
        "upper",
        STRING,
        (),
        STRING,
        lambda a: 4 + a.size // 6,
        str.upper,
        lambda a: Bounds(3 * a.size),
        inline="{0}.upper()",
    ),
    Function(
        "substring",
        STRING,
        (INT,),
        STRING,
        lambda a, *_: 8 + a.size // 64,
        substring,
        substring_bounds,
        may_err=True,
    ),
    Function(
        "substring",
        STRING,
        (INT, INT),
        STRING,
        lambda a, *_: 8 + a.size // 64,
        substring,
        substring_bounds,
        may_err=True,
    ),
    Function("split", STRING, (STRING,), STRING_LIST, split_cost, split, split_bounds),
    Function("split", STRING, (STRING, INT), STRING_LIST, split_cost, split, split_bounds),
    Function("join", STRING_LIST, (), STRING, join_cost, lambda a: "".join(a), join_bounds),
    Function("join", STRING_LIST, (STRING,), STRING, join_cost, lambda a, b: b.join(a), join_bounds),
    Function(
        "matches",
        STRING,
        (STRING,),
        BOOL,
        pattern_cost,
        matches,
        literal=True,
        prepare=compile_pattern,
        inline="({1}.search({0}) is not None)",
    ),
    Function(
        "matches",
        None,
        (STRING, STRING),
        BOOL,
        pattern_cost,
        matches,
        literal=True,
        prepare=compile_pattern,
        inline="({1}.search({0}) is not None)",
    ),
    Function(
        "duration",
        None,
        (STRING,),
        DURATION,
        lambda *_: 1,
        lambda prepared: prepared,
        literal=True,
        prepare=prepare_duration,
        inline="{0}",
    ),
    Function(
        "hash",
        None,
        (STRING,),
        INT,
        lambda a: 6 + a.size // 64,
        hash_value,
        lambda a: Bounds(low=0, high=MAX_INT64),
    ),
    Function(
        "hash",
        None,
        (BYTES,),
        INT,
        lambda a: 6 + a.size // 64,
        hash_value,
        lambda a: Bounds(low=0, high=MAX_INT64),
    ),
    Function(
        "hash",
        None,
        (INT,),
        INT,
        lambda a: 6,
        lambda number: hash_value(number.to_bytes(8, "big", signed=True)),
        lambda a: Bounds(low=0, high=MAX_INT64),
    ),
    Function("int", None, (STRING,), INT, lambda a: 30, to_int, may_err=True),
    Function("int", None, (DOUBLE,), INT, lambda a: 12, to_int, may_err=True),
    Function("double", None, (INT,), DOUBLE, lambda a: 3, float, inline="float({0})"),
    Function("string", None, (INT,), STRING, lambda a: 4, str, lambda a: Bounds(20), inline="str({0})"),
    Function("string", None, (BYTES,), STRING, copy_cost, decode_utf8, substring_bounds, may_err=True),
    Function(
        "bytes",
        None,
        (STRING,),
        BYTES,
        lambda a: 3 + a.size // 32,
        str.encode,
        lambda a: Bounds(4 * a.size),
        inline="{0}.encode()",
    ),
]
for _name, _kind in (("size", STRING), ("size", BYTES)):
    ALL.append(Function(_name, _kind, (), INT, lambda a: 2, len, size_bounds, inline="len({0})"))
    ALL.append(Function(_name, None, (_kind,), INT, lambda a: 2, len, size_bounds, inline="len({0})"))
NAMES = frozenset(function.name for function in ALL)


def container_size(receiver):
    """Returns the function `size` for a list or map type."""
    return Function("size", receiver, (), INT, lambda a: 2, len, size_bounds, inline="len({0})")


def find_function(name, receiver, arguments):
    """Returns the overload of a function for these types, or None if no function has the name. Raises Fault
    (without a place) that lists the overloads if none fits."""
    if name == "size" and (receiver or arguments[:1]) and len(arguments) == (receiver is None):
        target = receiver or arguments[0]
        if target.name in ("list", "map"):
            return container_size(target)
    for function in ALL:
        fits = function.name == name and len(function.parameters) == len(arguments)
        same = (
            function.receiver == receiver
            or receiver is not None
            and receiver.name == "list"
            and function.receiver == STRING_LIST
            and (receiver.item.name in ("string", "nothing"))
        )
        if (
            fits
            and same
            and all(want == kind for want, kind in zip(function.parameters, arguments, strict=True))
        ):
            return function
    if name not in NAMES:
        return None
    forms = [
        (f"{f.receiver}." if f.receiver else "") + f"{name}({', '.join(map(str, f.parameters))})"
        for f in ALL
        if f.name == name
    ]
    call = (f"{receiver}." if receiver else "") + f"{name}({', '.join(map(str, arguments))})"
    raise Fault(TYPE, f"no {call}; there is {', '.join(forms)}")


def result_bounds(function, values):
    return function.bounds(*values) if function.bounds is not None else ANY
