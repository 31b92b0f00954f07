"""Predicted service beside what real gateways give on loopback, each scenario three times, and the speed of
the world. `python -m benchmarks.capacity FLEET`; some minutes. It wants a computer that does little else."""

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from lemonlead.planning import answers, fleet, loopback, steady, world


def scenarios(given):
    yield "calm", given.with_load_factor(0.7)
    yield "as it is", given
    yield "near the edge", given.with_load_factor(1.55)
    yield "over the edge", given.with_load_factor(1.9)
    yield "far over it", given.with_load_factor(2.4)
    yield "work 1.5 times", given.with_work_factor(1.5)
    yield "three retries, over the edge", replace(given.with_load_factor(1.9), retries=3)
    yield "one site's clients only", given.without_sites(list(given.sites)[:1])


def main():
    given, seeds = fleet.read(sys.argv[1]), (1, 2, 3)
    with ProcessPoolExecutor(1) as pool:  # one fleet at a time: floods starve each other
        for name, one in scenarios(given):
            measured = list(pool.map(loopback.measure, [one] * 3, seeds))
            told = answers.predict_service(one, seeds, 25)
            apart = abs(sum(measured) / 3 - told["mean"])
            print(
                json.dumps({"scenario": name, "measured": measured, **told, "apart_by": round(apart, 4)}),
                flush=True,
            )
    for factor in (1, 10, 100):
        big = given.with_instance_factor(factor).with_load_factor(factor)
        began = time.perf_counter()
        steady.solve(big, True)
        reckoned, seconds = time.perf_counter() - began, 10 if factor < 100 else 1
        began = time.perf_counter()
        day = world.World(big, 1)
        day.play(seconds)
        took = time.perf_counter() - began
        print(
            json.dumps(
                {
                    "fleet": factor,
                    "times_real_time": round(seconds / took, 2),
                    "events_a_second": round(day.events_played / took),
                    "reckoned_s": round(reckoned, 3),
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
