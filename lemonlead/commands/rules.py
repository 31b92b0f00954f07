"""`lemonlead rules`: checks, evaluates and measures expressions and sets of rules, without a gateway."""

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
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
MAX_ROWS = 50  # shown to people; --json prints all


@click.group(name="rules")
def command():
    """Check, evaluate and measure rules over requests."""


def print_output(output, as_json, lines=()):
    """Prints one JSON object, or lines of text for people."""
    click.echo(json.dumps(output) if as_json else "\n".join(lines))


def load_or_exit(file, settings, as_json, code=2):
    """Returns the rule set of a file. If it is invalid, prints all its faults and exits with this code."""
    request_classes, tenants = arguments.read_platform(settings)
    notice = threading.Timer(2.0, lambda: click.echo(f"reading {file} ...", err=True))
    notice.daemon = True
    notice.start()
    try:
        return load.load(file, request_classes, tenants)
    except load.InvalidRulesFile as error:
        print_output(
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
        notice.cancel()


@command.command(name="eval", context_settings={"ignore_unknown_options": True})
@click.argument("text", metavar="EXPR")
@LOOKUP
@JSON
def evaluate(text, lookup, as_json):
    """Evaluate one expression, and print its type and its maximum cost.

    Example: lemonlead rules eval "lookup.wait > duration('1s')" --lookup '{"wait_ms": 1500}' --json
    """
    limits = RequestLimits()
    request = arguments.request_fields(arguments.parse_lookup(lookup), limits)
    try:
        expression = Expression(text, limits)
        value = arguments.to_json_value(expression.value(request), expression.kind)
    except Fault as fault:
        text_line = f"{fault.line}:{fault.column}: {fault.code} {fault.message}"
        print_output({"error": fault.as_dict()}, as_json, [text_line])
        sys.exit(1)
    output = {"type": str(expression.kind), "cost": expression.cost, "value": value}
    print_output(output, as_json, [json.dumps(value), f"{expression.kind}, at most {expression.cost} steps"])


@command.command()
@click.argument("file", type=FILE)
@SETTINGS
@JSON
def check(file, settings, as_json):
    """Check a set of rules, and print one line for each fault. Without --settings, names of request classes
    and tenants are not checked.

    Example: lemonlead rules check deploy/rules/rules.cue --settings config.json"""
    rules = load_or_exit(file, settings, as_json, code=1)
    output = {
        "faults": [],
        "version": rules.version,
        "digest": rules.digest,
        "rules": len(rules.rules),
        "cost": rules.cost,
        "request_classes_checked": bool(rules.request_classes),
    }
    note = "" if rules.request_classes else " (request classes and tenants were not checked: no --settings)"
    print_output(
        output,
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
    """Print which rule a request matches, and why the rules before it do not match. Exit with 1 if none does.

    Example: lemonlead rules explain rules.cue --settings config.json --lookup '{"lane": "look", "key": "a"}'
    """
    rules = load_or_exit(file, settings, as_json)
    request = arguments.request_fields(arguments.parse_lookup(lookup), rules.limits)
    result = rules.first_match(request)
    found = set(rules.index.candidates(request))
    evaluated = []
    for place, rule in enumerate(rules.rules):
        try:
            value, why = rule.when.value(request), ""
            if value and rule is not result.rule:
                rules.result_for(rule, request)
        except Erred as fault:
            value, why = None, f"{fault.line}:{fault.column}: {fault.message}"
        ending = "erred" if value is None else "matches" if value else "does not match"
        evaluated.append({"rule": rule.name, "ending": ending, "why": why, "asked": place in found})
        if rule is result.rule:
            break
    gives = {
        "lane": result.lane_name,
        "key": result.key and result.key.decode(),
        "customer": result.customer,
    }
    output = {
        "rule": result.rule and result.rule.name,
        "gives": gives,
        "looked_at": evaluated,
        "labels": result.rule.labels if result.rule else {},
    }
    shown = evaluated if len(evaluated) <= MAX_ROWS else evaluated[-MAX_ROWS:]
    lines = (
        [f"{len(evaluated) - len(shown)} earlier rules are not shown"] if len(shown) < len(evaluated) else []
    )
    lines += [
        f"{row['rule']}: {row['ending']}{' (' + row['why'] + ')' if row['why'] else ''}"
        + ("" if row["asked"] else ", excluded by the index")
        for row in shown
    ]
    given = ", ".join(f"{name} {value}" for name, value in gives.items() if value is not None)
    lines.append(
        f"gives {given or 'nothing'}" if result.rule else "no rule matches: the request is not changed"
    )
    print_output(output, as_json, lines)
    sys.exit(result.rule is None)


@command.command()
@click.argument("file", type=FILE)
@SETTINGS
@JSON
def cost(file, settings, as_json):
    """Print the maximum cost of each rule and of the whole set for a request, the costliest first, and how
    the set is indexed.

    Example: lemonlead rules cost deploy/rules/rules.cue"""
    rules = load_or_exit(file, settings, as_json)
    costliest = sorted(rules.rules, key=lambda rule: -rule.cost)
    output = {
        "set": rules.cost,
        "rules": [{"rule": rule.name, "cost": rule.cost} for rule in costliest],
        "index": rules.index.describe(),
    }
    if as_json:
        return click.echo(json.dumps(output))
    rows = [(rule.name, rule.cost) for rule in costliest[:MAX_ROWS]]
    groups = [(group["kind"], group["subject"], group["rules"]) for group in output["index"]["groups"]]
    always = output["index"]["always"]
    click.echo(f"{file}: {rules.cost} steps a request at most; always evaluated: {always} rules\n")
    click.echo(tabulate(rows, ["rule", "steps at most"]) + "\n")
    click.echo(tabulate(groups, ["how", "subject", "rules"]))


@command.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@click.option(
    "--lookups",
    metavar="FILE",
    help="A file with one request in JSON a line, for which the results of both sets are compared.",
)
@SETTINGS
@JSON
def diff(old, new, lookups, settings, as_json):
    """Print how two sets differ, by rule, and for given requests by what they get. Exit with 1 if they
    differ.

    Example: lemonlead rules diff old.cue new.cue --lookups sample.jsonl --settings config.json"""
    from ..matching.active_rules import outcome

    old_rules, new_rules = load_or_exit(old, settings, as_json), load_or_exit(new, settings, as_json)
    texts = [
        {rule.name: (number, source_of(rule)) for number, rule in enumerate(rules.rules)}
        for rules in (old_rules, new_rules)
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
                    output = arguments.parse_lookup(line)
                    results = [
                        rules.first_match(arguments.request_fields(output, rules.limits))
                        for rules in (old_rules, new_rules)
                    ]
                    if outcome(results[0]) != outcome(results[1]) and len(rows) < 1000:
                        rows.append(
                            {
                                "lookup": output,
                                "old": results[0].rule and results[0].rule.name,
                                "new": results[1].rule and results[1].rule.name,
                            }
                        )
        except (OSError, UnicodeDecodeError) as error:
            raise click.UsageError(f"--lookups {lookups}: {error}") from None
    print_output(
        {"rules": changes, "requests": count, "differ": rows},
        as_json,
        [
            *(f"{row['change']} {row['rule']}".strip() for row in changes),
            *(
                f"{json.dumps(row['lookup'])}: {row['old']} before, {row['new']} now"
                for row in rows[:MAX_ROWS]
            ),
            f"{len(changes)} changes of rules, {len(rows)} of {count} requests get another result",
        ],
    )
    sys.exit(bool(changes or rows))


def source_of(rule):
    """Returns what defines a rule, to compare it with another."""
    return rule.when.text, {name: expression.text for name, expression in rule.gives.items()}, rule.labels


@command.command()
@click.argument("file", type=FILE)
@SETTINGS
@LOOKUP
@click.option("--seconds", default=1.0, type=click.FloatRange(0.05, 60), help="For each of the two ways.")
@JSON
def bench(file, settings, lookup, seconds, as_json):
    """Measure the time to match one request, with the index and by trying each rule in order.

    Example: lemonlead rules bench rules.cue --lookup '{"key": "north/42"}'
    """
    rules = load_or_exit(file, settings, as_json)
    request = arguments.request_fields(arguments.parse_lookup(lookup), rules.limits)
    times = {}
    for name, first_match in (("indexed", rules.first_match), ("plain", rules.first_match_unindexed)):
        began, runs, best = time.perf_counter(), 1, None
        while time.perf_counter() - began < seconds:
            seconds_per_run = (
                timeit.timeit(lambda first_match=first_match: first_match(request), number=runs) / runs
            )
            best = seconds_per_run if best is None else min(best, seconds_per_run)
            runs = max(1, min(10_000, int(0.02 / max(seconds_per_run, 1e-7))))
        times[name] = best * 1e6
    output = {
        "rules": len(rules.rules),
        "indexed_us": round(times["indexed"], 3),
        "plain_us": round(times["plain"], 3),
        "ratio": round(times["plain"] / times["indexed"], 2),
    }
    print_output(
        output,
        as_json,
        [
            f"{len(rules.rules)} rules: {times['indexed']:.2f} us by the index, {times['plain']:.2f} us in "
            f"order, ratio {output['ratio']}"
        ],
    )
