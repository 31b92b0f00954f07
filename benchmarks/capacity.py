"""Compares the service that the capacity planner predicts with that of real gateways on loopback.

`python -m benchmarks.capacity FLEET` takes some minutes and needs a computer that does little else. Each
scenario is measured three times. The speed of the simulation and of the closed forms is measured as well.
"""

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from lemonlead.planning import answers, fleet, loopback, steady, world


def scenarios(base):
    yield "calm", base.with_load_factor(0.7)
    yield "as it is", base
    yield "near the edge", base.with_load_factor(1.55)
    yield "over the edge", base.with_load_factor(1.9)
    yield "far over it", base.with_load_factor(2.4)
    yield "work 1.5 times", base.with_work_factor(1.5)
    yield "three retries, over the edge", replace(base.with_load_factor(1.9), retries=3)
    yield "one site's clients only", base.without_sites(list(base.sites)[:1])


def main():
    base, seeds = fleet.read(sys.argv[1]), (1, 2, 3)
    with ProcessPoolExecutor(1) as pool:  # one at a time: overloaded fleets starve each other of CPU
        for name, scenario in scenarios(base):
            measured = list(pool.map(loopback.measure, [scenario] * 3, seeds))
            prediction = answers.predict_service(scenario, seeds, 25)
            difference = abs(sum(measured) / 3 - prediction["mean"])
            print(
                json.dumps(
                    {"scenario": name, "measured": measured, **prediction, "apart_by": round(difference, 4)}
                ),
                flush=True,
            )
    for factor in (1, 10, 100):
        scaled = base.with_instance_factor(factor).with_load_factor(factor)
        started_at = time.perf_counter()
        steady.solve(scaled, True)
        solve_seconds, seconds = time.perf_counter() - started_at, 10 if factor < 100 else 1
        started_at = time.perf_counter()
        simulation = world.World(scaled, 1)
        simulation.play(seconds)
        simulation_seconds = time.perf_counter() - started_at
        print(
            json.dumps(
                {
                    "fleet": factor,
                    "times_real_time": round(seconds / simulation_seconds, 2),
                    "events_a_second": round(simulation.events_played / simulation_seconds),
                    "reckoned_s": round(solve_seconds, 3),
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
