"""`lemonlead rules`: expressions and sets of rules, without a gateway."""

import json
import sys
import threading
import time
import timeit

import click
from tabulate import tabulate

from ..matching import load
from ..matching.request_fields import RequestLimits
from ..matching.expression import Expression
from ..matching.faults import Erred, Fault
from . import arguments

LOOKUP = click.option(
    "--lookup", default="", metavar="JSON", help='The request, e.g. \'{"key": "north/42"}\'.'
)
SETTINGS = click.option(
    "--settings", metavar="FILE", help="A gateway's configuration: its request classes and tenants."
)
FILE = click.Path(exists=True, dir_okay=False)
JSON = click.option("--json", "as_json", is_flag=True, help="For machines.")
MOST_SHOWN = 50


@click.group(name="rules")
def command():
    """Check, evaluate and measure rules over requests."""


def say(told, as_json, lines=()):
    """One object for machines, lines for people."""
    click.echo(json.dumps(told) if as_json else "\n".join(lines))


def loaded(file, settings, as_json, code=2):
    """The set, or the end of the command, by this exit code, with all that is wrong with it."""
    request_classes, tenants = arguments.read_platform(settings)
    waiting = threading.Timer(2.0, lambda: click.echo(f"reading {file} ...", err=True))
    waiting.daemon = True
    waiting.start()
    try:
        return load.load(file, request_classes, tenants)
    except load.InvalidRulesFile as error:
        say(
            {
                "faults": [
                    {
                        "file": place.file,
                        "line": place.line,
                        "column": place.column,
                        "code": code,
                        "message": message,
                    }
                    for place, code, message in error.faults
                ]
            },
            as_json,
            load.lines(error.faults),
        )
        sys.exit(code)
    finally:
        waiting.cancel()


@command.command(name="eval", context_settings={"ignore_unknown_options": True})
@click.argument("text", metavar="EXPR")
@LOOKUP
@JSON
def evaluate(text, lookup, as_json):
    """Evaluate one expression, and say its type and what it may cost.

    Example: lemonlead rules eval "lookup.wait > duration('1s')" --lookup '{"wait_ms": 1500}' --json
    """
    limits = RequestLimits()
    asked = arguments.request_fields(arguments.parse_lookup(lookup), limits)
    try:
        expression = Expression(text, limits)
        value = arguments.to_json_value(expression.value(asked), expression.kind)
    except Fault as fault:
        said = f"{fault.line}:{fault.column}: {fault.code} {fault.message}"
        say({"error": fault.as_dict()}, as_json, [said])
        sys.exit(1)
    told = {"type": str(expression.kind), "cost": expression.cost, "value": value}
    say(told, as_json, [json.dumps(value), f"{expression.kind}, at most {expression.cost} steps"])


@command.command()
@click.argument("file", type=FILE)
@SETTINGS
@JSON
def check(file, settings, as_json):
    """Check a set of rules: one line a fault. Without --settings names of request classes and tenants are not
    looked at.

    Example: lemonlead rules check deploy/rules/rules.cue --settings config.json
    """
    rules = loaded(file, settings, as_json, code=1)
    told = {
        "faults": [],
        "version": rules.version,
        "digest": rules.digest,
        "rules": len(rules.rules),
        "cost": rules.cost,
        "request_classes_checked": bool(rules.request_classes),
    }
    note = "" if rules.request_classes else " (request classes and tenants were not looked at: no --settings)"
    say(
        told,
        as_json,
        [
            f"fine: {len(rules.rules)} rules, version {rules.version}, digest {rules.digest}, at most "
            f"{rules.cost} steps a request{note}"
        ],
    )


@command.command()
@click.argument("file", type=FILE)
@SETTINGS
@LOOKUP
@JSON
def explain(file, settings, lookup, as_json):
    """Say which rule a request matches, and why those before it do not. Exit 1 if none does.

    Example: lemonlead rules explain rules.cue --settings config.json --lookup '{"lane": "look", "key": "a"}'
    """
    rules = loaded(file, settings, as_json)
    asked = arguments.request_fields(arguments.parse_lookup(lookup), rules.limits)
    result = rules.first_match(asked)
    found = set(rules.index.candidates(asked))
    looked = []
    for place, rule in enumerate(rules.rules):
        try:
            value, why = rule.when.value(asked), ""
            if value and rule is not result.rule:
                rules.result_for(rule, asked)
        except Erred as fault:
            value, why = None, f"{fault.line}:{fault.column}: {fault.message}"
        ending = "erred" if value is None else "matches" if value else "does not match"
        looked.append({"rule": rule.name, "ending": ending, "why": why, "asked": place in found})
        if rule is result.rule:
            break
    gives = {
        "lane": result.lane_name,
        "key": result.key and result.key.decode(),
        "customer": result.customer,
    }
    told = {
        "rule": result.rule and result.rule.name,
        "gives": gives,
        "looked_at": looked,
        "labels": result.rule.labels if result.rule else {},
    }
    shown = looked if len(looked) <= MOST_SHOWN else looked[-MOST_SHOWN:]
    lines = (
        [f"{len(looked) - len(shown)} rules before these were looked at"] if len(shown) < len(looked) else []
    )
    lines += [
        f"{row['rule']}: {row['ending']}{' (' + row['why'] + ')' if row['why'] else ''}"
        + ("" if row["asked"] else ", left out by the index")
        for row in shown
    ]
    gave = ", ".join(f"{name} {value}" for name, value in gives.items() if value is not None)
    lines.append(
        f"gives {gave or 'nothing'}" if result.rule else "no rule matches: the request goes as it was asked"
    )
    say(told, as_json, lines)
    sys.exit(result.rule is None)


@command.command()
@click.argument("file", type=FILE)
@SETTINGS
@JSON
def cost(file, settings, as_json):
    """Say what each rule and the whole set may cost a request, the dearest first, and how the set is indexed.

    Example: lemonlead rules cost deploy/rules/rules.cue
    """
    rules = loaded(file, settings, as_json)
    dearest = sorted(rules.rules, key=lambda rule: -rule.cost)
    told = {
        "set": rules.cost,
        "rules": [{"rule": rule.name, "cost": rule.cost} for rule in dearest],
        "index": rules.index.describe(),
    }
    if as_json:
        return click.echo(json.dumps(told))
    rows = [(rule.name, rule.cost) for rule in dearest[:MOST_SHOWN]]
    groups = [(group["kind"], group["subject"], group["rules"]) for group in told["index"]["groups"]]
    always = told["index"]["always"]
    click.echo(f"{file}: {rules.cost} steps a request at most; asked each time: {always} rules\n")
    click.echo(tabulate(rows, ["rule", "steps at most"]) + "\n")
    click.echo(tabulate(groups, ["how", "what it looks at", "rules"]))


@command.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@click.option("--lookups", metavar="FILE", help="One request in JSON a line, to see what each set gives it.")
@SETTINGS
@JSON
def diff(old, new, lookups, settings, as_json):
    """Say how two sets differ, by rule, and for given requests by what they get. Exit 1 if they do.

    Example: lemonlead rules diff old.cue new.cue --lookups sample.jsonl --settings config.json
    """
    from ..matching.active_rules import outcome

    one, other = loaded(old, settings, as_json), loaded(new, settings, as_json)
    texts = [
        {rule.name: (number, said(rule)) for number, rule in enumerate(rules.rules)} for rules in (one, other)
    ]
    changes = [{"rule": name, "change": "removed"} for name in texts[0] if name not in texts[1]]
    changes += [{"rule": name, "change": "added"} for name in texts[1] if name not in texts[0]]
    shared = [name for name in texts[0] if name in texts[1]]
    changes += [
        {"rule": name, "change": "changed"} for name in shared if texts[0][name][1] != texts[1][name][1]
    ]
    if sorted(shared, key=lambda name: texts[0][name][0]) != sorted(
        shared, key=lambda name: texts[1][name][0]
    ):
        changes.append({"rule": "", "change": "order"})
    rows, count = [], 0
    if lookups:
        try:
            with open(lookups, encoding="utf-8") as lines:
                for count, line in enumerate(filter(str.strip, lines), 1):  # noqa: B007
                    told = arguments.parse_lookup(line)
                    results = [
                        rules.first_match(arguments.request_fields(told, rules.limits))
                        for rules in (one, other)
                    ]
                    if outcome(results[0]) != outcome(results[1]) and len(rows) < 1000:
                        rows.append(
                            {
                                "lookup": told,
                                "old": results[0].rule and results[0].rule.name,
                                "new": results[1].rule and results[1].rule.name,
                            }
                        )
        except (OSError, UnicodeDecodeError) as error:
            raise click.UsageError(f"--lookups {lookups}: {error}") from None
    say(
        {"rules": changes, "requests": count, "differ": rows},
        as_json,
        [
            *(f"{row['change']} {row['rule']}".strip() for row in changes),
            *(
                f"{json.dumps(row['lookup'])}: {row['old']} before, {row['new']} now"
                for row in rows[:MOST_SHOWN]
            ),
            f"{len(changes)} changes of rules, {len(rows)} of {count} requests get something else",
        ],
    )
    sys.exit(bool(changes or rows))


def said(rule):
    return rule.when.text, {name: expression.text for name, expression in rule.gives.items()}, rule.labels


@command.command()
@click.argument("file", type=FILE)
@SETTINGS
@LOOKUP
@click.option("--seconds", default=1.0, type=click.FloatRange(0.05, 60), help="For each of both ways.")
@JSON
def bench(file, settings, lookup, seconds, as_json):
    """Measure one request against a set: by the index, and by each rule in its order.

    Example: lemonlead rules bench rules.cue --lookup '{"key": "north/42"}'
    """
    rules = loaded(file, settings, as_json)
    asked = arguments.request_fields(arguments.parse_lookup(lookup), rules.limits)
    times = {}
    for name, first_match in (("indexed", rules.first_match), ("plain", rules.first_match_unindexed)):
        began, runs, best = time.perf_counter(), 1, None
        while time.perf_counter() - began < seconds:
            took = timeit.timeit(lambda first_match=first_match: first_match(asked), number=runs) / runs
            best = took if best is None else min(best, took)
            runs = max(1, min(10_000, int(0.02 / max(took, 1e-7))))
        times[name] = best * 1e6
    told = {
        "rules": len(rules.rules),
        "indexed_us": round(times["indexed"], 3),
        "plain_us": round(times["plain"], 3),
        "ratio": round(times["plain"] / times["indexed"], 2),
    }
    say(
        told,
        as_json,
        [
            f"{len(rules.rules)} rules: {times['indexed']:.2f} us by the index, {times['plain']:.2f} us in "
            f"order, ratio {told['ratio']}"
        ],
    )
