"""Expressions that mean harm, and expressions drawn at random by the grammar and the types; and requests to
match.

For tests and benchmarks: each must be refused when it is loaded, or keep what its cost promises."""

from ..matching.request_fields import RequestFields

WORDS = ("north", "south", "big", "a", "", "x/y", "é", "日本", "0", "42", "acme", "fitment", "A-Z")
PATTERNS = ("^n", "[0-9]+$", "(a|b)*c", "^.{0,8}$", "é+", "(?i)NORTH", "^$", "x/y")
SEPARATORS = ("/", "", "-", "or")


def draw(rng, kind="bool", depth=4, names=()):
    """The text of an expression of this type (names: those bound around it, with their types)."""
    known = [name for name, of in names if of == kind]
    if known and rng.random() < 0.4:
        return rng.choice(known)
    if depth <= 0 or rng.random() < 0.15:
        return leaf(rng, kind)
    make = rng.choice(MADE[kind])
    return make(lambda of, names=names: draw(rng, of, depth - 1, names), rng, names)


def leaf(rng, kind):
    match kind:
        case "bool":
            return rng.choice(("true", "false", "lookup.repeat", "lookup.stamped", "has(lookup.key)"))
        case "int":
            few = (0, 1, -1, 2, 7, 100, 2**31, 2**63 - 1, -(2**63), rng.randrange(-50, 50))
            return rng.choice((str(rng.choice(few)), "lookup.body_size"))
        case "double":
            return rng.choice(("0.0", "1.5", "-2.5", "1e300", "0.1"))
        case "string":
            field = f"lookup.{rng.choice(('key', 'lane', 'customer', 'command'))}"
            return rng.choice((quoted(rng.choice(WORDS)), field, "lookup.attributes.zone"))
        case "bytes":
            return rng.choice(("b'north'", "b''", "b'\\xff\\x00'", "bytes(lookup.lane)"))
        case "duration":
            few = ("duration('1.5s')", "duration('250ms')", "duration('-1h')", "lookup.wait", "lookup.work")
            return rng.choice(few)
        case "strings":
            return rng.choice(("['a', 'north']", "lookup.lane.split('-', 3)", "[lookup.key]"))
        case "ints":
            return rng.choice(("[1, 2, 3]", "[lookup.body_size, 0]"))
    raise ValueError(kind)


def quoted(text):
    return "'" + text.replace("\\", "\\\\").replace("'", "\\'") + "'"


def compare(of):
    return lambda new, rng, names: f"({new(of)} {rng.choice(('<', '<=', '>', '>=', '==', '!='))} {new(of)})"


def binary(of, signs):
    return lambda new, rng, names: f"({new(of)} {rng.choice(signs)} {new(of)})"


def choice(of):
    return lambda new, rng, names: f"({new('bool')} ? {new(of)} : {new(of)})"


def each(macro, over, of):
    """A comprehension; its name is new, so that none hides another."""

    def make(new, rng, names):
        name = f"v{len(names)}"
        inner = (*names, (name, of))
        return f"{new(over)}.{macro}({name}, {new('bool', inner)})"

    return make


def mapped(over, of, to):
    def make(new, rng, names):
        name = f"v{len(names)}"
        return f"{new(over)}.map({name}, {new(to, (*names, (name, of)))})"

    return make


def attributes(new, rng, names):
    name = f"v{len(names)}"
    macro = rng.choice(("exists", "all", "exists_one"))
    return f"lookup.attributes.{macro}({name}, {new('bool', (*names, (name, 'string')))})"


MADE = {
    "bool": [
        *map(compare, ("int", "double", "string", "duration", "bytes")),
        binary("bool", ("&&", "||", "==")),
        lambda new, rng, names: f"({new('bool')} && {new('bool')} && {new('bool')})",
        lambda new, rng, names: f"({new('bool')} || {new('bool')} || {new('bool')})",
        lambda new, rng, names: f"!{new('bool')}",
        choice("bool"),
        lambda new,
        rng,
        names: f"{new('string')}.{rng.choice(('startsWith', 'endsWith', 'contains'))}({new('string')})",
        lambda new, rng, names: f"{new('string')}.matches({quoted(rng.choice(PATTERNS))})",
        lambda new, rng, names: f"({new('string')} in {new('strings')})",
        lambda new, rng, names: f"({new('int')} in {new('ints')})",
        lambda new, rng, names: f"({new('string')} in lookup.attributes)",
        lambda new, rng, names: f"({new('string')} in ['a', 'north', 'fitment'])",
        lambda new, rng, names: f"has(lookup.attributes.{rng.choice(('zone', 'none'))})",
        *(each(macro, "strings", "string") for macro in ("exists", "all", "exists_one")),
        each("exists", "ints", "int"),
        attributes,
    ],
    "int": [
        binary("int", ("+", "-", "*", "/", "%")),
        lambda new, rng, names: f"size({new(rng.choice(('string', 'bytes', 'strings', 'ints')))})",
        lambda new, rng, names: f"hash({new('string')})",
        lambda new, rng, names: f"int({new(rng.choice(('string', 'double')))})",
        lambda new, rng, names: f"{new('ints')}[{rng.choice((0, 1, 5))}]",
        lambda new, rng, names: f"-({new('int')})",
        lambda new, rng, names: f"{{'a': {new('int')}, 'b': 2}}[{new('string')}]",
        choice("int"),
    ],
    "double": [
        binary("double", ("+", "-", "*", "/")),
        lambda new, rng, names: f"double({new('int')})",
        lambda new, rng, names: f"-({new('double')})",
        choice("double"),
    ],
    "string": [
        binary("string", ("+",)),
        lambda new, rng, names: f"{new('string')}.{rng.choice(('lower', 'upper'))}()",
        lambda new, rng, names: f"{new('string')}.substring({rng.choice((0, 1, 3))})",
        lambda new, rng, names: f"{new('string')}.substring(0, {new('int')})",
        lambda new, rng, names: f"{new('strings')}.join({quoted(rng.choice(SEPARATORS))})",
        lambda new, rng, names: f"{new('strings')}[{new('int')}]",
        lambda new, rng, names: f"lookup.attributes[{new('string')}]",
        lambda new, rng, names: f"string({new(rng.choice(('int', 'bytes')))})",
        choice("string"),
    ],
    "bytes": [
        binary("bytes", ("+",)),
        lambda new, rng, names: f"bytes({new('string')})",
        choice("bytes"),
    ],
    "duration": [
        binary("duration", ("+", "-")),
        choice("duration"),
        lambda new, rng, names: f"-({new('duration')})",
    ],
    "strings": [
        lambda new,
        rng,
        names: f"{new('string')}.split({quoted(rng.choice(SEPARATORS))}, {rng.choice((1, 4))})",
        lambda new, rng, names: f"[{new('string')}, {new('string')}]",
        each("filter", "strings", "string"),
        mapped("strings", "string", "string"),
        mapped("ints", "int", "string"),
        binary("strings", ("+",)),
        choice("strings"),
    ],
    "ints": [
        lambda new, rng, names: f"[{new('int')}, {new('int')}]",
        each("filter", "ints", "int"),
        mapped("strings", "string", "int"),
        binary("ints", ("+",)),
    ],
}
SORTS = tuple(MADE)


def lookups(limits):
    """Requests that make matching dear or make it err: the longest of all, none of it, not UTF-8, past the
    bounds."""
    lane = limits.request_classes[0] if limits.request_classes else "fitment"
    full = {f"{n:0{limits.attribute_name}d}": "a" * limits.attribute for n in range(limits.attributes)}
    longest = limits.key
    return [
        RequestFields(
            limits, "Q.ASK", b"north/42", lane, "acme", 10**9, 10**8, attributes={"zone": "here", "a": "b"}
        ),
        RequestFields(
            limits,
            "Q.ASK",
            b"a" * longest,
            lane,
            "a" * limits.customer,
            10**9,
            10**8,
            True,
            True,
            65536,
            full,
        ),
        RequestFields(limits, "Q.ASK", b"ab" * (longest // 2), lane, "acme", 1, 1, attributes=full),
        RequestFields(limits, "Q.DO", "é".encode() * (longest // 2), lane, "", 0, 0, False, True, 2**62),
        RequestFields(limits, "Q.DO", b"", lane),
        RequestFields(limits, "Q.ASK", b"\xff\xfe", lane, "acme"),
        RequestFields(limits, "Q.ASK", b"k" * 65536, lane, "c" * 1000, attributes={"n" * 5000: "v"}),
    ]


def hostile():
    """Texts that were made to be dear, deep, large or ill-typed; over two hundred."""
    a = "lookup.key"
    yield from (sign * 100_000 for sign in ("(", "[", "{", "!", "-", "a.", "((", "[[", "1+", "f("))
    yield from ("(" * n + "1" + ")" * n for n in (20, 39, 41, 60, 200, 2000))
    yield from ("!" * n + "true" for n in (20, 39, 41, 1000))
    yield from ("-" * n + "1" for n in (20, 41, 1000))
    yield from ("[" * n + "]" * n for n in (10, 39, 41, 500))
    yield from ("+".join(["1"] * n) for n in (10, 38, 60, 3000))
    yield from ("&&".join(["true"] * n) for n in (10, 500, 1900, 2500))
    yield from ("||".join([f"{a} == '{n}'" for n in range(count)]) for count in (10, 200, 600))
    yield from ("true ? 1 : " * n + "2" for n in (10, 38, 60, 500))
    for depth in range(1, 9):
        yield nest("map", depth, "x0")
        yield nest("exists", depth, "true")
        yield nest("filter", depth, "true")
        yield nest("map", depth, "size(lookup.key)", "lookup.key.split('')")
        yield nest("exists", depth, "lookup.key == x0", "lookup.key.split('')")
        yield nest("all", depth, "lookup.key.contains(x0)", "lookup.attributes")
    for pattern in (
        "(a+)+$",
        "(a|aa)+$",
        "(a*)*b",
        "(.*a){20}",
        "(.*a){200}",
        "(a{100}){100}",
        "((a{30}){30}){30}",
        "(x+x+)+y",
        "^(([a-z])+.)+[A-Z]([a-z])+$",
        "a{1000}",
        "a{1001}",
        "(a?){500}a{500}",
        "[",
        "(",
        "*",
        "(?<n>a)\\k<n>",
        "\\1",
        "(?=a)",
        "(?P<a>.)(?P=a)",
        "a" * 256,
        "a" * 257,
        "(" * 200 + ")" * 200,
        "[^" + "é" * 200 + "]*",
        "(.|\\s)*" * 20,
        "\\pL+\\pN*",
        "(?i)" + "straße" * 30,
        ".*" * 60,
        "(((((a*)*)*)*)*)*b",
        "\\C",
        "[[:alpha:]]{500}",
    ):
        yield f"lookup.key.matches({quoted(pattern)})"
        yield f"lookup.attributes.exists(k, lookup.attributes[k].matches({quoted(pattern)}))"
    for grown in ("'" + "a" * 4000 + "'", f"({a} + {a})", f"{a}.upper()", f"{a}.lower().upper()"):
        yield f"({grown} + {grown}).size()"
        yield f"({grown} + {grown}).contains({grown})"
        yield f"[{grown}, {grown}].join({grown}).size()"
        yield f"{grown}.split('').join({grown}) == ''"
        yield f"{grown}.split('').map(x, {grown}).size()"
    yield from ("(" * n + a + "+" + a + (f")+{a}" * n) for n in (5, 20, 38))
    yield from (f"{a}" + ".upper()" * n + ".size()" for n in (1, 3, 6, 10, 30))
    yield from (f"{a}.contains({part})" for part in ("'" + "a" * 100 + "b'", f"{a}", f"{a}.lower()", "'ab'"))
    yield f"{a}.endsWith('b') || {a}.startsWith({a})"
    yield from (
        "9223372036854775807 + 1",
        "-9223372036854775808 - 1",
        "9223372036854775807 * 2",
        "9223372036854775808",
        "99999999999999999999999999999999999999",
        "0x8000000000000000",
        "1" * 5000,
        "1e999999",
        "1.0e-999999",
        "1/0",
        "1%0",
        "-9223372036854775808 / -1",
        "0.0/0.0",
        "[1][1]",
        "[1][-1]",
        "{'a':1}['b']",
        "''.substring(1)",
        "int('x')",
        "int('9' + '9999999999999999999')",
        "int(1e30)",
        "string(b'\\xff')",
        "lookup.attributes['']",
        "duration('1' + 's')",
        "duration('99999999999h')",
        "duration('x')",
        "duration('" + "1s" * 1000 + "')",
        "lookup.key.matches(lookup.lane)",
        "lookup.key.matches('a' + 'b')",
        "lookup.wait + lookup.work",
        "lookup.wait * 2",
        "lookup.body_size * lookup.body_size",
        "hash(lookup) == 1",
        "lookup == lookup",
    )
    yield from (
        "'a' + 1",
        "1 + 1.0",
        "1 == 1.0",
        "'a' < 1",
        "!1",
        "-'a'",
        "1 && true",
        "true ? 1 : 'a'",
        "[1, 'a']",
        "{1.5: 1}",
        "{'a': 1, 2: 1}",
        "1 in 1",
        "'a' in [1]",
        "1[0]",
        "lookup.nothing",
        "nothing",
        "nothing()",
        "size()",
        "size(1)",
        "'a'.size(1)",
        "has(1)",
        "has(lookup)",
        "lookup.key.nothing()",
        "x.map(x, x)",
        "[1].map(lookup, 1)",
        "[1].map(x, [2].map(x, x))",
        "[1].exists(x, x)",
        "[1].map(1, 1)",
        "[1].map(x)",
        "'unclosed",
        "'''open",
        "b'\\q'",
        "'\\ud800'",
        "'\\U00110000'",
        "1u",
        "a.b.c",
        "@",
        "1 2",
        "",
        " ",
        "//",
        "lookup.",
        ".lookup",
        "lookup..key",
        "lookup.key.",
        "lookup[0]",
        "[1,",
        "{1:",
        "(1",
        "1)",
        "true true",
        "__import__('os')",
        "().__class__",
        "lookup.__class__",
        "'a'.__class__",
        "lookup.key.format(1)",
        "exec('1')",
        "lambda: 1",
        "import os",
        "for",
        "in",
        "null == 1",
        "[].map(x, x.y)",
        "\x00",
        "\ufeff1",
    )


def nest(macro, depth, body, over="[1, 2, 3, 4, 5, 6, 7, 8, 9, 10]"):
    """Comprehensions within comprehensions."""
    for number in range(depth):
        body = f"{over}.{macro}(x{number}, {body})"
        if macro == "filter":
            body += ".size() > 0"
    return body
