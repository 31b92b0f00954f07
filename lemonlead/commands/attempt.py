"""`lemonlead try`: runs a gateway among stand-ins, sends it a few requests and shows where each went."""

import json
import os
import re
import signal
import tempfile
import time
from pathlib import Path

import click
from tabulate import tabulate

RULES = '''\
version: "try-1"
rules: [
	{
		name: "big-customer"
		when: """
			lookup.lane == 'look' && lookup.customer == 'acme' &&
			lookup.key.startsWith('big/')
			"""
		customer: "'others'"
		labels: {tier: "big"}
	},
	{name: "careful", when: "lookup.lane == 'hold' && lookup.key.endsWith('!')", lane: "'buy'"},
	{name: "canary", when: "hash(lookup.key) % 100 < 25", labels: {tier: "canary"}},
]
'''
REQUESTS = [
    ("look", "north/1"),
    ("look", "big/7"),
    ("hold", "part-9"),
    ("hold", "part-9!"),
    ("buy", "seat-3"),
    ("look", "south/2"),
    ("look", "big/8"),
    ("look", "east/5"),
    ("look", "west/11"),
]


@click.command(name="try")
@click.option("--rules", "file", metavar="FILE", help="A set of rules to use instead of the built-in one.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(file, as_json):
    """Start three stand-in instances, discovery, a platform and a gateway on loopback, send some requests,
    show where each went and which rule it matched, and stop. The command needs nothing else, and removes its
    files.

    Example: lemonlead try
    """
    from ..standins.fleet import SETTINGS, gateway
    from ..standins.instances import WorkerInstance

    rules = Path(file).read_text() if file else RULES
    settings = {"Projects": [{"Name": "acme", "QuotaPerS": 10.0}, {"Name": "others", "QuotaPerS": 10.0}]}
    machines = [WorkerInstance(work=0.005, slots=3, seed=number).start() for number in range(3)]
    with tempfile.TemporaryDirectory(prefix="lemonlead-try-") as folder:
        config = Path(folder) / "classes.json"
        config.write_text(json.dumps({**SETTINGS, **settings}))
        match_rule = make_matcher(rules, Path(folder), config)
        with gateway(Path(folder), *machines, settings=settings, rules=rules) as running:
            rows = [send_request(running.client(), machines, match_rule, lane, key) for lane, key in REQUESTS]
            counts = running.counters()
            running.process.send_signal(signal.SIGTERM)
            code = running.process.wait(30)
            reasons = sorted(set(re.findall(r"reason=(\S+)", running.log())))
    output = {"requests": rows, "counters": counts, "exit": code, "reasons": reasons}
    if as_json:
        return click.echo(json.dumps(output))
    click.echo("A gateway among stand-ins\n")
    names = ("lane", "key", "rule", "treated_as", "went_to", "ms", "answer")
    shown = [[row[name] for name in names] for row in rows]
    click.echo(tabulate(shown, [name.replace("_", " ") for name in names]))
    click.echo(
        f"\ntaken {counts['taken']}, succeeded {counts.get('succeeded', 0)}, attempts {counts['attempts']}; "
        f"the gateway ended with code {code}"
    )


def make_matcher(rules, folder, config):
    """Returns a function that gives the rule and the request class for a request, computed here in addition
    to the gateway. Raises a usage error if the rules are invalid."""
    from ..matching import load
    from . import arguments

    (folder / "judged.cue").write_text(rules)
    request_classes, tenants = arguments.read_platform(config)
    try:
        made = load.load(folder / "judged.cue", request_classes, tenants)
    except load.InvalidRulesFile as error:
        raise click.UsageError("\n".join(load.lines(error.faults))) from None

    def match_rule(lane, key):
        fields = {"lane": lane, "key": key, "customer": "acme", "stamped": lane == "hold"}
        result = made.first_match(arguments.request_fields(fields, made.limits))
        return result.rule and result.rule.name, result.lane_name or lane

    return match_rule


def send_request(client, machines, match_rule, lane, key):
    before = [len(machine.got) for machine in machines]
    began = time.monotonic()
    idempotency_key = {"k": os.urandom(4).hex()} if lane == "hold" else {}
    answer = client.ask(key.encode(), lane, **idempotency_key).read()
    took = time.monotonic() - began
    went_to = [f"i{n}" for n, machine in enumerate(machines) if len(machine.got) > before[n]]
    rule, treated = match_rule(lane, key)
    return {
        "lane": lane,
        "key": key,
        "rule": rule or "-",
        "treated_as": treated,
        "went_to": " ".join(went_to) or "-",
        "ms": round(took * 1e3, 1),
        "answer": answer.decode("utf-8", "replace") if answer is not None else None,
    }
