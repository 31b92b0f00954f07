"""Counts the events in the logs of many gateways.

    python -m benchmarks.fleet FOLDER [--by event|gateway] [--event "client ended"]

FOLDER has one log for each gateway, as the gateway writes it; text before `timestamp=` on a line is ignored.
The table has a row for each second since the first line of all logs, and a column for each event with its
reason or ending. With `--by gateway` it has, for each event, the gateway with the highest count and the
median of all gateways, because a mean over the fleet hides a single gateway that is stuck.
"""

import argparse
import pathlib
import re
import statistics
from collections import Counter, defaultdict
from datetime import datetime

from tabulate import tabulate

LINE = re.compile(r"timestamp=(\S+?)Z? level=\w+ event=(\"[^\"]*\"|\S+)(.*)")
FIELD = re.compile(r"(\w+)=(\"[^\"]*\"|\S*)")
REASON_FIELDS = ("reason", "ended")  # the fields that say how something ended
MAX_COLUMNS = 12  # of the most frequent events; the others share one column


def read(lines):
    """Yields (seconds since the epoch, event with its reason, gateway) of each line of a gateway's log."""
    for line in lines:
        if (match := LINE.search(line)) is None:
            continue
        fields = {name: value.strip('"') for name, value in FIELD.findall(match[3])}
        event = match[2].strip('"')
        reason = next((fields[name] for name in REASON_FIELDS if fields.get(name)), "")
        what = f"{event}: {reason}" if reason else event
        yield datetime.fromisoformat(match[1]).timestamp(), what, fields.get("gateway", "?")


def by_second(rows):
    """Returns column names and rows: the second since the first line, and counts of the frequent events."""
    rows = list(rows)
    first = min((time for time, *_ in rows), default=0.0)
    total = Counter(event for _, event, _ in rows)
    shown = [event for event, _ in total.most_common(MAX_COLUMNS)]
    seconds = defaultdict(Counter)
    for time, event, _ in rows:
        seconds[int(time - first)][event if event in shown else "others"] += 1
    names = [*shown, *(["others"] if len(total) > MAX_COLUMNS else [])]
    return ["second", *names], [
        [second, *(seconds[second][name] for name in names)] for second in sorted(seconds)
    ]


def by_gateway(rows):
    """Returns column names and rows: for each event the gateway with the highest count, and the median."""
    counts, gateways = defaultdict(Counter), set()
    for _, event, gateway in rows:
        counts[event][gateway] += 1
        gateways.add(gateway)
    table = []
    for event in sorted(counts, key=lambda event: -sum(counts[event].values())):
        gateway, highest = counts[event].most_common(1)[0]
        median = statistics.median(counts[event][name] for name in gateways)
        table.append([event, sum(counts[event].values()), len(counts[event]), gateway, highest, median])
    return ["event", "all", "gateways", "most at", "there", "median"], table


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--by", choices=("event", "gateway"), default="event")
    parser.add_argument("--event", help="this one alone")
    options = parser.parse_args()
    rows = []
    for path in sorted(options.folder.glob("*.log")):
        with path.open(errors="replace") as file:
            rows += [row for row in read(file) if options.event in (None, row[1].split(":")[0])]
    if not rows:
        parser.error(f"{options.folder}: no lines of gateways' logs there")
    names, table = by_second(rows) if options.by == "event" else by_gateway(rows)
    print(tabulate(table, names))


if __name__ == "__main__":
    main()
