"""The functions of the language: types, what they cost at worst, how large their results are, what they do.

Costs are in steps: one step is about what evaluating `lookup.repeat` takes, with the call. The figures were
measured (`benchmarks/matching.py` prints time by cost for each function) and rounded up."""

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
    HIGHEST,
    INT,
    LOWEST,
    STRING,
    Bounds,
    list_of,
)

LONGEST_PATTERN, PATTERN_MEMORY = 256, 1 << 18  # code points; bytes that RE2 may use for one pattern
STRINGS = list_of(STRING)
UNITS = {"ns": 1, "us": 10**3, "ms": 10**6, "s": 10**9, "m": 60 * 10**9, "h": 3600 * 10**9}
TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ns|us|ms|s|m|h)")


@dataclass(frozen=True, slots=True)
class Function:
    """`on` is the type that it is called on, None where it stands alone. `cost` and `bounds` are called with
    the bounds of all values, `bounds` may be None for what is bounded by its type. `inline`: the same as
    `run` in Python's words. `literal`: its last value must be a literal, which `made` turns into what `run`
    gets."""

    name: str
    on: object
    takes: tuple
    gives: object
    cost: object
    run: object
    bounds: object = None
    inline: str = ""
    errs: bool = False
    literal: bool = False
    made: object = None


def substring(text, start, end=None):
    end = len(text) if end is None else end
    if not 0 <= start <= end <= len(text):
        raise ValueError(f"substring({start}, {end}) of {len(text)} characters")
    return text[start:end]


def split(text, by, most=-1):
    if most == 0:
        return []
    if not by:
        letters = list(text)
        return letters if most < 0 or len(letters) <= most else [*letters[: most - 1], text[most - 1 :]]
    return text.split(by, most - 1 if most > 0 else -1)


def hashed(value):
    """XXH3 of the value's bytes in UTF-8, without its highest bit: 0 to 2**63 - 1."""
    return xxhash.xxh3_64_intdigest(value.encode() if isinstance(value, str) else value) >> 1


def pattern(text):
    """A pattern made ready; Fault if it is none, or too large to be matched in its time."""
    if len(text) > LONGEST_PATTERN:
        raise Fault(COST, f"a pattern of {len(text)} characters, {LONGEST_PATTERN} allowed")
    options = re2.Options()
    options.max_mem, options.log_errors, options.never_capture = PATTERN_MEMORY, False, True
    try:
        made = re2.compile(text, options)
    except re2.error as error:
        reason = error.args[0].decode("utf-8", "replace") if isinstance(error.args[0], bytes) else str(error)
        large = "too large" in reason or "repetition size" in reason
        raise Fault(COST if large else VALUE, f"no pattern of RE2: {reason}") from None
    return made


def matches(text, made):
    return made.search(text) is not None


def length(text):
    """A duration in nanoseconds from text such as 1.5s, 250ms or -1h30m; ValueError if it is none."""
    found, body = 0, text.removeprefix("-")
    if body in ("0", "+0"):
        return 0
    if not body or len(body) > 64 or TIME.sub("", body):
        raise ValueError(f"no duration: {text[:40]!r} (as in 1.5s, 250ms, 1h30m)")
    try:
        found = sum(int(Decimal(number) * UNITS[unit]) for number, unit in TIME.findall(body))
    except InvalidOperation:
        found = HIGHEST + 1
    if found > HIGHEST:
        raise ValueError(f"a duration past 64 bits: {text[:40]!r}")
    return -found if text.startswith("-") else found


def duration(text):
    try:
        return length(text)
    except ValueError as error:
        raise Fault(VALUE, str(error)) from None


def whole(value):
    if isinstance(value, str):
        if not re.fullmatch(r"-?[0-9]{1,19}", value, re.ASCII):
            raise ValueError(f"no integer: {value[:40]!r}")
        value = int(value)
    elif value != value or abs(value) >= 2.0**63:
        raise ValueError("no integer of 64 bits")
    return within(int(value))


def within(number):
    """The number, if it has 64 bits."""
    if not LOWEST <= number <= HIGHEST:
        raise OverflowError("past 64 bits")
    return number


def decoded(data):
    return data.decode()


def divided(left, right):
    """Integer division toward zero, as the language has it."""
    if right == 0:
        raise ZeroDivisionError("division by zero")
    quotient = abs(left) // abs(right)
    return within(quotient if (left < 0) == (right < 0) else -quotient)


def remainder(left, right):
    if right == 0:
        raise ZeroDivisionError("modulus by zero")
    rest = abs(left) % abs(right)
    return -rest if left < 0 else rest


def ratio(left, right):
    if right != 0:
        return left / right
    if left == 0 or left != left:
        return float("nan")
    negative = (left < 0) != (str(right)[0] == "-")
    return float("-inf") if negative else float("inf")


def scan(text, *_):
    return 2 + text.size // 128


def find(text, part):
    """A search that may look at each place for each letter of a short part, or for a hundred of a long
    one."""
    return 3 + text.size // 32 + text.size * min(part.size, 100) // 192


def run_pattern(text, made):
    """RE2 is linear in the text, but at worst each letter costs it a look at each part of its program: a text
    can be made for that. A usual pattern of twenty parts takes far less."""
    return 24 + text.size * made.programsize // 12


def sized(value, *_):
    return Bounds(low=0, high=value.size)


def cut(text, *_):
    return Bounds(text.size)


def parts(text, by, most=None):
    items = text.size + 1 if most is None or most.low < 0 else min(text.size + 1, max(most.high, 0))
    return Bounds(items, of=Bounds(text.size), total=text.size)


def together(items, by=None):
    held = items.total if items.total is not None else items.size * (items.of.size if items.of else 0)
    return Bounds(held + items.size * (by.size if by else 0))


def copied(value, *_):
    return 3 + value.size // 64


def spread(text, *_):
    return 6 + text.size // 4


def glued(items, *_):
    return 4 + items.size // 2 + items.whole() // 64


ALL = [
    Function("contains", STRING, (STRING,), BOOL, find, lambda a, b: b in a, inline="({1} in {0})"),
    Function("contains", BYTES, (BYTES,), BOOL, find, lambda a, b: b in a, inline="({1} in {0})"),
    Function("startsWith", STRING, (STRING,), BOOL, scan, str.startswith, inline="{0}.startswith({1})"),
    Function("startsWith", BYTES, (BYTES,), BOOL, scan, bytes.startswith, inline="{0}.startswith({1})"),
    Function("endsWith", STRING, (STRING,), BOOL, scan, str.endswith, inline="{0}.endswith({1})"),
    Function("endsWith", BYTES, (BYTES,), BOOL, scan, bytes.endswith, inline="{0}.endswith({1})"),
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
    Function("substring", STRING, (INT,), STRING, lambda a, *_: 8 + a.size // 64, substring, cut, errs=True),
    Function(
        "substring", STRING, (INT, INT), STRING, lambda a, *_: 8 + a.size // 64, substring, cut, errs=True
    ),
    Function("split", STRING, (STRING,), STRINGS, spread, split, parts),
    Function("split", STRING, (STRING, INT), STRINGS, spread, split, parts),
    Function("join", STRINGS, (), STRING, glued, lambda a: "".join(a), together),
    Function("join", STRINGS, (STRING,), STRING, glued, lambda a, b: b.join(a), together),
    Function(
        "matches",
        STRING,
        (STRING,),
        BOOL,
        run_pattern,
        matches,
        literal=True,
        made=pattern,
        inline="({1}.search({0}) is not None)",
    ),
    Function(
        "matches",
        None,
        (STRING, STRING),
        BOOL,
        run_pattern,
        matches,
        literal=True,
        made=pattern,
        inline="({1}.search({0}) is not None)",
    ),
    Function(
        "duration",
        None,
        (STRING,),
        DURATION,
        lambda *_: 1,
        lambda made: made,
        literal=True,
        made=duration,
        inline="{0}",
    ),
    Function(
        "hash",
        None,
        (STRING,),
        INT,
        lambda a: 6 + a.size // 64,
        hashed,
        lambda a: Bounds(low=0, high=HIGHEST),
    ),
    Function(
        "hash", None, (BYTES,), INT, lambda a: 6 + a.size // 64, hashed, lambda a: Bounds(low=0, high=HIGHEST)
    ),
    Function(
        "hash",
        None,
        (INT,),
        INT,
        lambda a: 6,
        lambda number: hashed(number.to_bytes(8, "big", signed=True)),
        lambda a: Bounds(low=0, high=HIGHEST),
    ),
    Function("int", None, (STRING,), INT, lambda a: 30, whole, errs=True),
    Function("int", None, (DOUBLE,), INT, lambda a: 12, whole, errs=True),
    Function("double", None, (INT,), DOUBLE, lambda a: 3, float, inline="float({0})"),
    Function("string", None, (INT,), STRING, lambda a: 4, str, lambda a: Bounds(20), inline="str({0})"),
    Function("string", None, (BYTES,), STRING, copied, decoded, cut, errs=True),
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
    ALL.append(Function(_name, _kind, (), INT, lambda a: 2, len, sized, inline="len({0})"))
    ALL.append(Function(_name, None, (_kind,), INT, lambda a: 2, len, sized, inline="len({0})"))
NAMES = frozenset(function.name for function in ALL)


def held(on):
    """`size` of a list or map of any kind."""
    return Function("size", on, (), INT, lambda a: 2, len, sized, inline="len({0})")


def find_function(name, on, given):
    """The function of this name for these types; Fault (without a place) that says what would do."""
    if name == "size" and (on or given[:1]) and len(given) == (on is None):
        target = on or given[0]
        if target.name in ("list", "map"):
            return held(target)
    for function in ALL:
        fits = function.name == name and len(function.takes) == len(given)
        same = (
            function.on == on
            or on is not None
            and on.name == "list"
            and function.on == STRINGS
            and (on.of.name in ("string", "nothing"))
        )
        if fits and same and all(want == kind for want, kind in zip(function.takes, given, strict=True)):
            return function
    if name not in NAMES:
        return None
    forms = [
        (f"{f.on}." if f.on else "") + f"{name}({', '.join(map(str, f.takes))})"
        for f in ALL
        if f.name == name
    ]
    said = (f"{on}." if on else "") + f"{name}({', '.join(map(str, given))})"
    raise Fault(TYPE, f"no {said}; there is {', '.join(forms)}")


def bounds_of(function, values):
    return function.bounds(*values) if function.bounds is not None else ANY
