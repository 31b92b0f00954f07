"""Counts what the logs of many gateways tell, over the fleet and by the second.

    python -m benchmarks.fleet FOLDER [--by event|gateway] [--event "client ended"]

FOLDER holds one log a gateway, as the gateway writes it; whatever stands before `timestamp=` on a line is
passed over. A row a second from the first line of all; a column for each event with its reason or ending.
With `--by gateway` the gateways that have most of it are listed, beside the median of all: a fleet's mean
hides the one that is stuck."""

import argparse
import pathlib
import re
import statistics
from collections import Counter, defaultdict
from datetime import datetime

from tabulate import tabulate

LINE = re.compile(r"timestamp=(\S+?)Z? level=\w+ event=(\"[^\"]*\"|\S+)(.*)")
WORD = re.compile(r"(\w+)=(\"[^\"]*\"|\S*)")
REASONS = ("reason", "ended")  # the fields that tell how it came out
COLUMNS = 12  # the most frequent; the others are added up


def read(lines):
    """(seconds since the epoch, event with its reason, gateway) of each line that is one of a gateway's."""
    for line in lines:
        if (found := LINE.search(line)) is None:
            continue
        words = {name: value.strip('"') for name, value in WORD.findall(found[3])}
        event = found[2].strip('"')
        reason = next((words[name] for name in REASONS if words.get(name)), "")
        what = f"{event}: {reason}" if reason else event
        yield datetime.fromisoformat(found[1]).timestamp(), what, words.get("gateway", "?")


def by_second(rows):
    """A table: seconds from the first line, a count for each of the most frequent events, and the rest."""
    rows = list(rows)
    first = min((moment for moment, *_ in rows), default=0.0)
    total = Counter(event for _, event, _ in rows)
    shown = [event for event, _ in total.most_common(COLUMNS)]
    seconds = defaultdict(Counter)
    for moment, event, _ in rows:
        seconds[int(moment - first)][event if event in shown else "others"] += 1
    names = [*shown, *(["others"] if len(total) > COLUMNS else [])]
    return ["second", *names], [[second, *(seconds[second][n] for n in names)] for second in sorted(seconds)]


def by_gateway(rows):
    """A table: for each event the gateway that has most of it, its count, and the median of all gateways."""
    counts, gateways = defaultdict(Counter), set()
    for _, event, gateway in rows:
        counts[event][gateway] += 1
        gateways.add(gateway)
    table = []
    for event in sorted(counts, key=lambda event: -sum(counts[event].values())):
        gateway, most = counts[event].most_common(1)[0]
        median = statistics.median(counts[event][name] for name in gateways)
        table.append([event, sum(counts[event].values()), len(counts[event]), gateway, most, median])
    return ["event", "all", "gateways", "most at", "there", "median"], table


def main():
    words = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    words.add_argument("folder", type=pathlib.Path)
    words.add_argument("--by", choices=("event", "gateway"), default="event")
    words.add_argument("--event", help="this one alone")
    told = words.parse_args()
    rows = []
    for path in sorted(told.folder.glob("*.log")):
        with path.open(errors="replace") as file:
            rows += [row for row in read(file) if told.event in (None, row[1].split(":")[0])]
    if not rows:
        words.error(f"{told.folder}: no lines of gateways' logs there")
    names, table = by_second(rows) if told.by == "event" else by_gateway(rows)
    print(tabulate(table, names))


if __name__ == "__main__":
    main()
