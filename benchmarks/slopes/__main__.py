"""Measures slopes: how the cost of each role grows with a size.

`python -m benchmarks.slopes [PART ...] [--file FILE] [--list FILE] [--latency FILE] [--runs FILE]` measures
the parts, or all parts if none is given; each takes some minutes at most. A slope has three sizes at least,
and one more that tests the fit. New slopes replace those of the same name in the file; all else in it stays.
Each size is measured in its own process, one after the other.

--list: figures that `python -m benchmarks.list_changes --json FILE` wrote, instead of measuring them; if it
is
    given more than once, the lowest of each figure is taken
--latency: figures that `python -m benchmarks.added_latency --json FILE` wrote
--runs: a JSON list of runs that show whether a target is met (`lemonlead.planning.slopes.Run`)
--stampede: what happened when a whole fleet came back at once (`lemonlead.planning.slopes.Stampede`)
"""

import argparse
import datetime
import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec

from benchmarks.slopes.gateways import LIST_FIGURES
from benchmarks.slopes.measures import PARTS
from lemonlead.planning import slopes

ROOT = Path(__file__).parents[2]
FILE = ROOT / "docs" / "capacity" / "slopes.json"
KEPT_DECIMALS = 4  # after the first significant digit of a measured figure


def source(command, beside, commit=None):
    """Returns the Source of a run.

    `beside` is the load average at its start. `commit` is that of the measured program if it is not this one.
    """
    if commit is None:
        git = ["git", "rev-parse", "--short=12", "HEAD"]
        output = subprocess.run(git, cwd=ROOT, stdout=subprocess.PIPE, check=True, text=True)
        commit = output.stdout.strip()
    today = datetime.datetime.now(datetime.UTC).date().isoformat()
    return slopes.Source(command, today, commit, round(beside, 1), os.cpu_count())


def run_part(part, size):
    """Measures one part at one size in a child process; returns the figures by name."""
    command = [sys.executable, "-m", "benchmarks.slopes", part, "--one", str(size)]
    output = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, check=True).stdout
    return json.loads(output.splitlines()[-1])


def measure_part(name, part, from_list):
    """Measures a part; returns its slopes by name, and the points that were left out, by name.

    Points whose figure is not above 0 are left out, because the clock was too coarse for them. There is no
    slope if too few points remain.
    """
    beside, command, sizes = os.getloadavg()[0], f"python -m benchmarks.slopes {name}", part.sizes
    if name == "list" and from_list:
        figures, sizes = read_list_figures(from_list, sizes)
        lowest_of = f", the least of {len(from_list)}" if len(from_list) > 1 else ""
        command = f"python -m benchmarks.list_changes --json FILE {' '.join(map(str, sizes))}{lowest_of}"
    else:
        figures = {}
        for size in sizes:
            figures[size] = run_part(name, size)
            print(f"{name}: {size} {part.by}: {figures[size]}", file=sys.stderr, flush=True)
    made, left_out, run_source = {}, {}, source(command, beside)
    for slope in part.slopes:
        points = [(float(size), round_figure(figures[size][slope.name])) for size in sizes]
        if not_above_0 := [point for point in points if point[1] <= 0]:
            left_out[slope.name] = not_above_0
            points = [point for point in points if point[1] > 0]
        if len(points) <= slopes.MIN_POINTS:
            continue
        made[slope.name] = slopes.Slope(
            name=slope.name,
            role=slope.role,
            by=part.by,
            unit=slope.unit,
            points=tuple(slopes.Point(*point) for point in points[:-1]),
            held_out=slopes.Point(*points[-1]),
            source=run_source,
            **slopes.fit_and_check(points),
        )
    return made, left_out


def read_list_figures(paths, sizes):
    """Reads figures of `benchmarks.list_changes`; returns them by size, and the sizes that all files have.

    Of several runs the lowest figure is taken, as it is the least disturbed by other load.
    """
    runs = [
        {
            slope["name"]: {point["x"]: point["y"] for point in slope["points"]}
            for slope in json.loads(path.read_text())
        }
        for path in paths
    ]
    sizes = [size for size in sizes if all(size in run["memory"] for run in runs)]
    figures = {
        size: {name: min(run[figure][size] for run in runs) for name, figure in LIST_FIGURES.items()}
        for size in sizes
    }
    return figures, sizes


def round_figure(figure):
    return float(f"{figure:.{KEPT_DECIMALS}e}")


def latencies(path, commit):
    """Reads the latencies that `benchmarks.added_latency` wrote."""
    results = json.loads(path.read_text())
    rates, options = " ".join(f"{rate['rate']:g}" for rate in results["rates"]), results["asked"]
    command = f"--rates {rates} --seconds {options['seconds']:g} --rounds {options['rounds']}"
    run_source = source(f"python -m benchmarks.added_latency {command}", os.getloadavg()[0], commit)
    by_rate = [(float(rate["rate"]), rate["gateway"], rate["relay"]) for rate in results["rates"]]
    return tuple(
        slopes.Latency(
            rate,
            gateway["p99_ms"],
            relay["p99_ms"],
            gateway["p50_ms"],
            relay["p50_ms"],
            gateway["asked"],
            run_source,
        )
        for rate, gateway, relay in by_rate
    )


def write(path, new):
    """Writes slopes in the order of the parts, one field a line, after checking that they can be read.

    Slopes that no part measures any more are dropped.
    """
    names = [slope.name for part in PARTS.values() for slope in part.slopes]
    order = {name: index for index, name in enumerate(names)}
    kept = sorted((slope for slope in new.slopes if slope.name in order), key=lambda item: order[item.name])
    data = msgspec.json.encode(msgspec.structs.replace(new, slopes=tuple(kept)))
    data = msgspec.json.format(data, indent=1)
    slopes.read(data)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data + b"\n")


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], metavar="PART", help=", ".join(PARTS))
    parser.add_argument("--file", type=Path, default=FILE)
    parser.add_argument("--list", type=Path, action="append", metavar="FILE")
    parser.add_argument("--latency", type=Path, metavar="FILE")
    parser.add_argument("--runs", type=Path, metavar="FILE")
    parser.add_argument("--stampede", type=Path, metavar="FILE")
    parser.add_argument("--commit", help="of the program that was measured, where it is not this one")
    parser.add_argument("--one", type=int, metavar="SIZE", help="one run of one part, as JSON")
    options = parser.parse_args()
    if options.one:
        return print(json.dumps(PARTS[options.parts[0]].run(options.one)))
    known = slopes.read(options.file.read_bytes()) if options.file.exists() else slopes.Slopes(())
    replaced = {}
    if options.latency:
        replaced["latencies"] = latencies(options.latency, options.commit)
    if options.runs:
        replaced["runs"] = msgspec.json.decode(options.runs.read_bytes(), type=tuple[slopes.Run, ...])
    if options.stampede:
        replaced["stampede"] = msgspec.json.decode(options.stampede.read_bytes(), type=slopes.Stampede)
    if replaced:
        known = msgspec.structs.replace(known, **replaced)
        write(options.file, known)
    parts = options.parts or ([] if replaced else list(PARTS))
    for name in parts:
        made, left_out = measure_part(name, PARTS[name], options.list)
        names = {slope.name for slope in PARTS[name].slopes}
        kept = tuple(slope for slope in known.slopes if slope.name not in names)
        known = msgspec.structs.replace(known, slopes=(*kept, *made.values()))
        write(options.file, known)
        for slope, points in left_out.items():
            outcome = "left out" if slope in made else "too few points are left, no slope"
            print(f"{slope}: not above 0, {outcome}: {points}", file=sys.stderr)
    return None


if __name__ == "__main__":
    # modules in this folder would hide modules of the standard library
    sys.path[:] = [path for path in sys.path if path != str(Path(__file__).parent)]
    main()
