"""A member's folder, measured by ratios of one run. `python -m benchmarks.ledger_disk [--json] [FOLDER]`;
about a minute. FOLDER: on the disk to be measured, else the system's place for temporary files.

1. Commands a second with 1, 8, 64, 512 writes in one sync, against one sync a command, taken in turns.
2. The same cost at 1,000, 10,000 and 100,000 entries held; time and memory to open such a folder.
3. The longest and the usual stall of a put while a snapshot of 100,000 records is written between puts.
4. Against the plain way to keep the same: lines appended to a file, one sync each, nothing vouched for."""

import argparse
import json
import os
import statistics
import tempfile
import time
import tracemalloc
from pathlib import Path

from lemonlead.ledger.records import ConfiguredMember, Entry, SnapshotBase, Write
from lemonlead.member.disk import open_folder

GROUPS = (1, 8, 64, 512)
HELD = (1_000, 10_000, 100_000)
RECORDS = 100_000
DATA = b'{"kind":"reserve","id":"bench/%09d","reservation":"r/%09d","service":"fitment","units":4,"site":"a"}'


class Filled:
    """A formed folder with a running index."""

    def __init__(self, path, held=0):
        self.path, self.last = path, 1
        self.folder = open_folder(path)
        self.folder.form(
            "c1", "g1", SnapshotBase(1, 1, {"g1": ConfiguredMember("127.0.0.1:7101", "f1")}), [b"{}\n"]
        )
        while held:
            self.put(min(held, 1000))
            held -= min(held, 1000)

    def put(self, many):
        """So many writes of one entry each, as one; seconds."""
        first, self.last = self.last + 1, self.last + many
        writes = [
            Write(at, 1, "g1", entries=[Entry(at, 1, 1, at, at, DATA % (at, at))])
            for at in range(first, first + many)
        ]
        began = time.perf_counter()
        self.folder.put(writes)
        return time.perf_counter() - began


def groups(place, rounds=30):
    """Seconds a command by size of the group, each round all sizes and the plain file."""
    filled, took = Filled(place / "groups"), {many: [] for many in (*GROUPS, "file")}
    with open(place / "plain", "ab", buffering=0) as file:
        for _ in range(rounds):
            for many in GROUPS:
                took[many].append(filled.put(many) / many)
            began = time.perf_counter()
            file.write(DATA % (1, 1) + b"\n")
            os.fdatasync(file.fileno())
            took["file"].append(time.perf_counter() - began)
    filled.folder.close()
    return {many: statistics.median(some) for many, some in took.items()}


def held(place, rounds=60):
    """By entries held: median seconds of a put of 8, its CPU, and to open; bytes that opening takes."""
    folders = {many: Filled(place / f"held-{many}", many) for many in HELD}
    took, cpu = {many: [] for many in HELD}, {many: [] for many in HELD}
    for _ in range(rounds):
        for many, filled in folders.items():
            began = time.thread_time()
            took[many].append(filled.put(8))
            cpu[many].append(time.thread_time() - began)
    found = {}
    for many, filled in folders.items():
        filled.folder.close()
        began = time.perf_counter()
        folder = open_folder(filled.path)
        folder.read_stored()
        opened = time.perf_counter() - began
        folder.close()
        tracemalloc.start()
        folder = open_folder(filled.path)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        folder.close()
        found[many] = {
            "put": statistics.median(took[many]),
            "put_cpu": statistics.median(cpu[many]),
            "open": opened,
            "open_bytes": peak,
        }
    return found


def pieces(records):
    """As the state gives them: 500 records in a line, encoded one after the other."""
    import msgspec

    for first in range(0, records, 500):
        some = {
            f"r/{at:09d}": {"service": "fitment", "units": 4, "nodes": [], "site": "a", "move": ""}
            for at in range(first, first + 500)
        }
        yield msgspec.json.encode({"part": "reservations", "items": some}) + b"\n"


def stalls(place):
    """Seconds of puts of 8, alone and while a snapshot is written: each put waits for one step of it."""
    filled = Filled(place / "stalls", 10_000)
    alone = [filled.put(8) for _ in range(200)]
    during, steps = [], filled.folder.snapshot(SnapshotBase(filled.last, 1), pieces(RECORDS))
    began, more = time.perf_counter(), True
    while more:
        before = time.perf_counter()
        more = next(steps, steps) is not steps
        waited = time.perf_counter() - before
        during.append(waited + filled.put(8))
    whole, length = time.perf_counter() - began, filled.folder.head.length
    filled.folder.close()
    at_once = Filled(place / "at once", 10_000)
    began = time.perf_counter()
    for _ in at_once.folder.snapshot(SnapshotBase(at_once.last, 1), pieces(RECORDS)):
        pass
    plain = time.perf_counter() - began
    at_once.folder.close()
    return {
        "alone_median": statistics.median(alone),
        "alone_longest": max(alone),
        "during_median": statistics.median(during),
        "during_longest": max(during),
        "steps": len(during),
        "bytes": length,
        "whole": whole,
        "at_once": plain,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("folder", nargs="?")
    told = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=told.folder) as place:
        place = Path(place)
        found = {"groups": groups(place), "held": held(place), "stalls": stalls(place)}
    if told.json:
        print(json.dumps(found))
        return
    one = found["groups"][1]
    print(f"one command a sync: {one * 1e3:.2f} ms, {1 / one:.0f} a second")
    for many in GROUPS:
        each = found["groups"][many]
        print(f"  {many:3} in one sync: {1 / each:8.0f} a second, {one / each:6.1f} times one a sync")
    plain = found["groups"]["file"]
    print(
        f"  a line appended and synced: {plain * 1e3:.2f} ms; one command here is {one / plain:.2f} of that"
    )
    before = None
    for many, of in found["held"].items():
        step = (
            ""
            if before is None
            else ", by the one before: " + ", ".join(f"{what} {of[what] / before[what]:.2f}" for what in of)
        )
        print(
            f"{many:7} held: a put of 8 {of['put'] * 1e3:.2f} ms, its CPU {of['put_cpu'] * 1e6:.0f} us, "
            f"opened in {of['open'] * 1e3:.0f} ms with {of['open_bytes'] / 1e6:.1f} MB{step}"
        )
        before = of
    of = found["stalls"]
    print(
        f"a snapshot of {RECORDS} records, {of['bytes'] / 1e6:.1f} MB, in {of['steps']} steps between puts "
        f"of 8: {of['whole']:.2f} s ({of['at_once']:.2f} s at once)\n"
        f"  a put waits and takes {of['during_median'] * 1e3:.2f} ms, "
        f"longest {of['during_longest'] * 1e3:.2f}; "
        f"alone {of['alone_median'] * 1e3:.2f}, longest {of['alone_longest'] * 1e3:.2f}\n"
        f"  longest stall by the time of the snapshot at once: {of['during_longest'] / of['at_once']:.3f}"
    )


if __name__ == "__main__":
    main()
