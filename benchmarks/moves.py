"""Moves between two clusters, in simulated time; every run under the checker that shares no code with the
rules. `python -m benchmarks.moves [--json] [--seeds N] [--schedules N]`; about a minute.

1. Each step crossed with each fault: how many of the seeds ended as awaited with nothing broken, and the
   median time to the end by that without a fault.
2. Time to settle after a cut of 1, 10 and 60 s in both ways, from the moment that it heals: median and worst
   over all steps, and by the waits between calls.
3. What a move costs: calls by the fewest that the steps need, entries, CPU; with 1, 8 and 64 at a time, and
   its first command among 1,000, 10,000 and 100,000 reservations of others.
4. Schedules drawn at random: faults of all kinds at any moment."""

import argparse
import json
import random
import sys
import time
from statistics import median

from lemonlead.ledger import capacity
from lemonlead.moves.steps import MAX_WAIT_NS
from lemonlead.standins.move_faults import (
    FAULTS,
    NAMES,
    STEPS,
    begin_move,
    create_world,
    create_world_with_fault,
    disturb_messages,
    expected_end,
)
from lemonlead.standins.two_clusters import MS, SECOND, World, furnish

CUTS = ("cut 1 s", "cut 10 s", "cut 60 s")


def seen_through(world):
    """(ended in time with nothing broken, the moment of the end)."""
    ended = world.run_till(world.quiet)
    at = world.now
    ended = ended and world.run_till(lambda: not world.flying)
    world.run(world.now + 5 * SECOND)
    world.checker.settled()
    return ended and not world.checker.broken, at


def table(seeds):
    """{(step, fault): (share as awaited, median seconds)}, and {cut: [seconds after it healed]}."""
    found, after = {}, {cut: [] for cut in CUTS}
    for (step, stage), name in zip(STEPS, NAMES, strict=True):
        for fault in FAULTS:
            good, times = 0, []
            for seed in range(seeds):
                world, met = create_world_with_fault(step, stage, fault, seed)
                fine, at = seen_through(world)
                good += fine and bool(met) and world.move("m").end == expected_end(step, fault)
                times.append((at - SECOND) / SECOND)
                if fault in CUTS:
                    healed = met[0] + int(fault.split()[1]) * SECOND
                    after[fault].append(settle(world, healed) / SECOND)
            found[name, fault] = good / seeds, median(times)
    return found, after


def settle(world, healed):
    """From the moment that the cut healed until the move took its next step (it may have gone on alone)."""
    return max(min((at for at in world.steps if at >= healed), default=healed) - healed, 0)


def cost():
    found = {}
    for count in (1, 8, 64):
        world = World(1)
        furnish(world, "louis", nodes=64, units=100)
        furnish(world, "ebene", nodes=64, units=100)
        louis = world.clusters["louis"]
        for number in range(count):
            louis.do(capacity.Reserve(reservation=f"r{number}", service=f"s{number}", units=50, site="louis"))
        for number in range(count):
            begin_move(world, f"m{number}", f"s{number}", id=f"b{number}")
        began, calls = time.thread_time(), louis.move_task.counts
        fine, at = seen_through(world)
        found[count] = {
            "calls a move": calls["calls"] / count,
            "simulated s": (at - SECOND) / SECOND,
            "CPU ms a move": (time.thread_time() - began) * 1000 / count,
            "broken": not fine,
        }
    return found


def among(count):
    """CPU seconds of a move's first command where so many reservations of others stand."""
    world = World(1, gateways=0)
    world.checker.saw = (
        lambda cluster, index, changes: None
    )  # its own sums anew at each entry would take long
    furnish(world, "louis", nodes=4, units=10**8)
    louis = world.clusters["louis"]
    for number in range(count):
        louis.do(capacity.Reserve(reservation=f"o{number}", service="other", units=1, site="louis"))
    louis.do(capacity.Reserve(reservation="r", service="search", units=1, site="louis"))
    began = time.thread_time()
    begin_move(world)
    return time.thread_time() - began


def schedules(count, first=0):
    """How many of so many schedules broke something or did not end, the first such seeds, and the ends."""
    bad, ends = [], {}
    for seed in range(first, first + count):
        draw = random.Random(seed)
        world = create_world(seed)
        begin_move(world)
        for _ in range(draw.randrange(7)):
            fault = draw.choice(sorted(FAULTS))
            world.at(world.now + draw.randrange(40_000) * MS, lambda w=world, f=fault: FAULTS[f](w))
        part = draw.random() * 0.4
        disturb_messages(world, 50 * SECOND, lose=part, twice=part, straggle=20 * SECOND)
        fine, _ = seen_through(world)
        end = world.move("m").end
        holds = world.checker.holders("search-wide")
        if not fine or holds != (["ebene"] if end == "done" else ["louis"]):
            bad.append(seed)
        ends[end] = ends.get(end, 0) + 1
    return {"schedules": count, "bad": len(bad), "first bad": bad[:5], "ends": ends}


def main(arguments=None):
    parser = argparse.ArgumentParser(prog="python -m benchmarks.moves")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seeds", type=int, default=3, help="runs of each step with each fault")
    parser.add_argument("--schedules", type=int, default=300, help="drawn at random")
    told = parser.parse_args(arguments)
    print("each step with each fault ...", file=sys.stderr)
    crossings, after = table(told.seeds)
    plain = crossings["warming", "nothing"][1]
    print("cost, schedules ...", file=sys.stderr)
    costs, held = cost(), {count: among(count) for count in (1000, 10_000, 100_000)}
    drawn = schedules(told.schedules)
    bad = [f"{step}, {fault}" for (step, fault), (good, _) in crossings.items() if good < 1]
    result = {
        "crossings": {f"{s}, {f}": [good, round(t / plain, 2)] for (s, f), (good, t) in crossings.items()},
        "not as awaited": bad,
        "no fault, simulated s": plain,
        "settled after a cut, s": {
            cut: {"median": median(times), "worst": max(times)} for cut, times in after.items()
        },
        "at a time": costs,
        "first command among, ms": {count: 1000 * taken for count, taken in held.items()},
        **drawn,
    }
    if told.json:
        print(json.dumps(result))
    else:
        show(result, crossings, plain)
    return int(bool(bad or drawn["bad"]))


def show(result, crossings, plain):
    print(f"time to the end by that without a fault ({plain:.1f} s: 5 cold, 15 of stages); !: not as awaited")
    print(f"{'':28}" + "".join(f"{name[:10]:>11}" for name in NAMES))
    for fault in FAULTS:
        row = (crossings[name, fault] for name in NAMES)
        print(f"{fault:28}" + "".join(f"{t / plain:10.2f}{' ' if good == 1 else '!'}" for good, t in row))
    for cut, times in result["settled after a cut, s"].items():
        by = times["worst"] * SECOND / MAX_WAIT_NS
        print(
            f"after {cut}: next step {times['median']:.2f} s (median), {times['worst']:.2f} s (worst), "
            f"{by:.2f} of the longest wait"
        )
    for count, figures in result["at a time"].items():
        print(
            f"{count} at a time: "
            + ", ".join(
                f"{name} {value:.1f}" if isinstance(value, float) else f"{name} {value}"
                for name, value in figures.items()
            )
        )
    taken = result["first command among, ms"]
    print("first command among: " + ", ".join(f"{n:,}: {ms:.1f} ms" for n, ms in taken.items()))
    print(f"{result['schedules']} schedules, {result['bad']} bad {result['first bad']}, {result['ends']}")


if __name__ == "__main__":
    sys.exit(main())
