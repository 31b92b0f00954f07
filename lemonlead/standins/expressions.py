"""Hostile expressions, random well-typed expressions, and requests to match them against.

For tests and benchmarks: each expression must be refused when it is loaded, or stay within its cost limit."""

from ..matching.request_fields import RequestFields

WORDS = ("north", "south", "big", "a", "", "x/y", "é", "日本", "0", "42", "acme", "fitment", "A-Z")
PATTERNS = ("^n", "[0-9]+$", "(a|b)*c", "^.{0,8}$", "é+", "(?i)NORTH", "^$", "x/y")
SEPARATORS = ("/", "", "-", "or")


def draw(rng, kind="bool", depth=4, names=()):
    """Returns the text of a random expression of this type. `names`: (name, type) of the names in scope."""
    known = [name for name, of in names if of == kind]
    if known and rng.random() < 0.4:
        return rng.choice(known)
    if depth <= 0 or rng.random() < 0.15:
        return leaf(rng, kind)
    form = rng.choice(FORMS_BY_TYPE[kind])
    return form(lambda of, names=names: draw(rng, of, depth - 1, names), rng, names)


def leaf(rng, kind):
    match kind:
        case "bool":
            return rng.choice(("true", "false", "lookup.repeat", "lookup.stamped", "has(lookup.key)"))
        case "int":
            values = (0, 1, -1, 2, 7, 100, 2**31, 2**63 - 1, -(2**63), rng.randrange(-50, 50))
            return rng.choice((str(rng.choice(values)), "lookup.body_size"))
        case "double":
            return rng.choice(("0.0", "1.5", "-2.5", "1e300", "0.1"))
        case "string":
            field = f"lookup.{rng.choice(('key', 'lane', 'customer', 'command'))}"
            return rng.choice((quoted(rng.choice(WORDS)), field, "lookup.attributes.zone"))
        case "bytes":
            return rng.choice(("b'north'", "b''", "b'\\xff\\x00'", "bytes(lookup.lane)"))
        case "duration":
            values = (
                "duration('1.5s')",
                "duration('250ms')",
                "duration('-1h')",
                "lookup.wait",
                "lookup.work",
            )
            return rng.choice(values)
        case "strings":
            return rng.choice(("['a', 'north']", "lookup.lane.split('-', 3)", "[lookup.key]"))
        case "ints":
            return rng.choice(("[1, 2, 3]", "[lookup.body_size, 0]"))
    raise ValueError(kind)


def quoted(text):
    return "'" + text.replace("\\", "\\\\").replace("'", "\\'") + "'"


def compare(of):
    return lambda sub, rng, names: f"({sub(of)} {rng.choice(('<', '<=', '>', '>=', '==', '!='))} {sub(of)})"


def binary(of, signs):
    return lambda sub, rng, names: f"({sub(of)} {rng.choice(signs)} {sub(of)})"


def choice(of):
    return lambda sub, rng, names: f"({sub('bool')} ? {sub(of)} : {sub(of)})"


def each(macro, over, of):
    """Returns a function that makes a comprehension. Its variable has a new name, to shadow none."""

    def form(sub, rng, names):
        name = f"v{len(names)}"
        inner = (*names, (name, of))
        return f"{sub(over)}.{macro}({name}, {sub('bool', inner)})"

    return form


def mapped(over, of, to):
    def form(sub, rng, names):
        name = f"v{len(names)}"
        return f"{sub(over)}.map({name}, {sub(to, (*names, (name, of)))})"

    return form


def attributes(sub, rng, names):
    name = f"v{len(names)}"
    macro = rng.choice(("exists", "all", "exists_one"))
    return f"lookup.attributes.{macro}({name}, {sub('bool', (*names, (name, 'string')))})"


FORMS_BY_TYPE = {
    "bool": [
        *map(compare, ("int", "double", "string", "duration", "bytes")),
        binary("bool", ("&&", "||", "==")),
        lambda sub, rng, names: f"({sub('bool')} && {sub('bool')} && {sub('bool')})",
        lambda sub, rng, names: f"({sub('bool')} || {sub('bool')} || {sub('bool')})",
        lambda sub, rng, names: f"!{sub('bool')}",
        choice("bool"),
        lambda sub,
        rng,
        names: f"{sub('string')}.{rng.choice(('startsWith', 'endsWith', 'contains'))}({sub('string')})",
        lambda sub, rng, names: f"{sub('string')}.matches({quoted(rng.choice(PATTERNS))})",
        lambda sub, rng, names: f"({sub('string')} in {sub('strings')})",
        lambda sub, rng, names: f"({sub('int')} in {sub('ints')})",
        lambda sub, rng, names: f"({sub('string')} in lookup.attributes)",
        lambda sub, rng, names: f"({sub('string')} in ['a', 'north', 'fitment'])",
        lambda sub, rng, names: f"has(lookup.attributes.{rng.choice(('zone', 'none'))})",
        *(each(macro, "strings", "string") for macro in ("exists", "all", "exists_one")),
        each("exists", "ints", "int"),
        attributes,
    ],
    "int": [
        binary("int", ("+", "-", "*", "/", "%")),
        lambda sub, rng, names: f"size({sub(rng.choice(('string', 'bytes', 'strings', 'ints')))})",
        lambda sub, rng, names: f"hash({sub('string')})",
        lambda sub, rng, names: f"int({sub(rng.choice(('string', 'double')))})",
        lambda sub, rng, names: f"{sub('ints')}[{rng.choice((0, 1, 5))}]",
        lambda sub, rng, names: f"-({sub('int')})",
        lambda sub, rng, names: f"{{'a': {sub('int')}, 'b': 2}}[{sub('string')}]",
        choice("int"),
    ],
    "double": [
        binary("double", ("+", "-", "*", "/")),
        lambda sub, rng, names: f"double({sub('int')})",
        lambda sub, rng, names: f"-({sub('double')})",
        choice("double"),
    ],
    "string": [
        binary("string", ("+",)),
        lambda sub, rng, names: f"{sub('string')}.{rng.choice(('lower', 'upper'))}()",
        lambda sub, rng, names: f"{sub('string')}.substring({rng.choice((0, 1, 3))})",
        lambda sub, rng, names: f"{sub('string')}.substring(0, {sub('int')})",
        lambda sub, rng, names: f"{sub('strings')}.join({quoted(rng.choice(SEPARATORS))})",
        lambda sub, rng, names: f"{sub('strings')}[{sub('int')}]",
        lambda sub, rng, names: f"lookup.attributes[{sub('string')}]",
        lambda sub, rng, names: f"string({sub(rng.choice(('int', 'bytes')))})",
        choice("string"),
    ],
    "bytes": [
        binary("bytes", ("+",)),
        lambda sub, rng, names: f"bytes({sub('string')})",
        choice("bytes"),
    ],
    "duration": [
        binary("duration", ("+", "-")),
        choice("duration"),
        lambda sub, rng, names: f"-({sub('duration')})",
    ],
    "strings": [
        lambda sub,
        rng,
        names: f"{sub('string')}.split({quoted(rng.choice(SEPARATORS))}, {rng.choice((1, 4))})",
        lambda sub, rng, names: f"[{sub('string')}, {sub('string')}]",
        each("filter", "strings", "string"),
        mapped("strings", "string", "string"),
        mapped("ints", "int", "string"),
        binary("strings", ("+",)),
        choice("strings"),
    ],
    "ints": [
        lambda sub, rng, names: f"[{sub('int')}, {sub('int')}]",
        each("filter", "ints", "int"),
        mapped("strings", "string", "int"),
        binary("ints", ("+",)),
    ],
}
TYPES = tuple(FORMS_BY_TYPE)


def lookups(limits):
    """Returns requests that make matching expensive or make it fail: fields of the maximum length, empty, not
    UTF-8, and over the limits."""
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
    """Yields over two hundred expressions that are expensive, deeply nested, large or ill-typed."""
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
    """Returns comprehensions nested to this depth."""
    for number in range(depth):
        body = f"{over}.{macro}(x{number}, {body})"
        if macro == "filter":
            body += ".size() > 0"
    return body
