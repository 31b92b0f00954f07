"""Waves and time of the planner against its yardsticks, and whole drains with and without a failure in each
wave. `python -m benchmarks.drains [SIZES]`; some minutes. One JSON line a measurement; ratios in one run."""

import json
import random
import statistics
import sys
import time
from itertools import combinations

from lemonlead.drains import rules
from lemonlead.drains.planner import Plan, PlanRequest, lower_bound
from lemonlead.drains.request_builder import PlanRequestBuilder
from lemonlead.standins.drain_world import MS, S, World

SIZES = (30, 300, 3000, 10_000)
HOUR = 3_600_000


def fleet(count, seed, promised=0.5, **more):
    """Sites of 50 nodes, so much of each promised; groups of 3 and 5, one or two a node; gangs on a tenth."""
    chance, made = random.Random(seed), World(seed, **more)
    nodes = [f"n{number:05}" for number in range(count)]
    for number, name in enumerate(nodes):
        made.ask("node", node=name, site=f"s{number % max(2, count // 50)}", units=chance.choice((8, 8, 16)))
    for site, sums in list(made.state.part("sites").items()):
        made.ask(
            "reserve", reservation=f"r{site}", service="web", site=site, units=int(sums.units * promised)
        )
    for turn in range(2):
        order = chance.sample(nodes, count)
        for number in range(0, count - 5, 5 if turn else 3):
            size, quorum = (5, 3) if turn else (3, 2)
            some = order[number : number + size]
            made.ask("group", group=f"g{turn}/{number}", nodes=some, quorum=quorum)
    for number in range(count // 40):
        some = chance.sample(nodes, 4)
        ends = made.wall + chance.randint(10_000, 60_000)
        made.ask("gang", gang=f"j{number}", nodes=some, units=1, ends_ms=ends)
    code, body = made.ask("drain", drain="all", nodes=nodes, deadline_ms=made.wall + 100 * HOUR)
    assert code == 200, body
    return made, nodes, chance


def free_of_gangs(made):
    """So that all nodes are placed."""
    for gang in list(made.state.part("gangs")):
        made.ask("gang_end", gang=gang)


def look(made, view):
    running = {name: one for name, one in made.state.part("drains").items() if one.phase == "running"}
    view.update(made.state, running, frozenset())
    return view.request


def by_name(given):
    """Each wave takes, in the order of names, whatever still fits."""
    left, waves = sorted(given.demands), 0
    while left:
        sums, rest = {}, []
        for name in left:
            demands = given.demands[name]
            if all(sums.get(limit, 0) + much <= given.caps[limit] for limit, much in demands):
                for limit, much in demands:
                    sums[limit] = sums.get(limit, 0) + much
            else:
                rest.append(name)
        assert len(rest) < len(left), "a node fits no wave"
        left, waves = rest, waves + 1
    return waves


def optimum(given):
    """Fewest waves, by trying all sets of nodes that may go together."""
    nodes = sorted(given.demands)
    waves, reached, whole = 0, {0}, (1 << len(nodes)) - 1
    good = [
        sum(1 << nodes.index(name) for name in some)
        for size in range(1, len(nodes) + 1)
        for some in combinations(nodes, size)
        if fits(given, some)
    ]
    good = [one for one in good if not any(one != other and one & other == one for other in good)]
    while whole not in reached:
        reached, waves = {done | one for done in reached for one in good}, waves + 1
    return waves


def fits(given, names):
    sums = {}
    for name in names:
        for limit, much in given.demands[name]:
            sums[limit] = sums.get(limit, 0) + much
    return all(much <= given.caps[limit] for limit, much in sums.items())


def small(count, seed):
    """A crowded fleet: each node in up to three groups."""
    chance, given = random.Random(seed), PlanRequest()
    demands = {f"n{number}": [(("units", number % 2), chance.randint(1, 4))] for number in range(count)}
    for site in range(2):
        given.caps["units", site] = chance.randint(4, 3 * count)
    for number in range(count):
        size = chance.randint(2, 4)
        given.caps["group", number] = chance.randint(1, size - 1)
        for name in chance.sample(sorted(demands), size):
            demands[name].append((("group", number), 1))
    given.demands = {name: tuple(some) for name, some in demands.items()}
    return given


def tell(**what):
    print(json.dumps(what), flush=True)


def planned(count, promised):
    made, nodes, chance = fleet(count, count, promised)
    free_of_gangs(made)
    began = time.process_time()
    view = PlanRequestBuilder()
    given = look(made, view)
    gathered = time.process_time() - began
    plan = Plan(given)
    whole = time.process_time() - began
    waves, bound, plain = len(plan.waves), lower_bound(given, given.demands), by_name(given)
    took = []
    for turn in range(30):
        name = chance.choice(nodes)
        state = ("failed", "serving", "catching_up")[turn % 3]
        made.ask("report", node=name, state=state)
        began = time.process_time()
        running = made.state.part("drains")
        plan.change(*view.update(made.state, running, frozenset()))
        took.append(time.process_time() - began)
    tell(
        nodes=count,
        promised=promised,
        waves=waves,
        lower_bound=bound,
        to_bound=round(waves / bound, 3),
        by_name_to_bound=round(plain / bound, 3),
        one_at_a_time_to_bound=round(count / bound, 1),
        after_30_events_to_bound=round(len(plan.waves) / max(1, plan.bound), 3),
        plan_s=round(whole, 3),
        of_it_gathering_s=round(gathered, 3),
        replan_ms_median=round(1000 * statistics.median(took), 1),
        replan_ms_worst=round(1000 * max(took), 1),
    )


def beside_the_optimum():
    ratios, plain = [], []
    for seed in range(200):
        given = small(4 + seed % 6, seed)
        best = optimum(given)
        ratios.append(len(Plan(given).waves) / best)
        plain.append(by_name(given) / best)
    tell(
        small_fleets=len(ratios),
        to_optimum_mean=round(statistics.mean(ratios), 3),
        to_optimum_worst=max(ratios),
        by_name_to_optimum_mean=round(statistics.mean(plain), 3),
        by_name_worst=max(plain),
    )


def whole_drain(count, failing):
    """All nodes in turn; where `failing`, in each wave one node that has a permit and one that has none
    fail, and are repaired ten seconds later."""
    made, nodes, chance = fleet(count, count)
    began, waves, ill = time.process_time(), 0, []
    while made.phase("all") == "running" and made.now < 20_000 * S:
        made.step(250 * MS)
        for gang, row in list(made.state.part("gangs").items()):
            if row.ends_ms <= made.wall:
                made.ask("gang_end", gang=gang)
        if failing and made.waves > waves:
            waves = made.waves
            going = sorted(made.state.part("permits"))
            for some in (going, nodes):
                name = chance.choice(some or nodes)
                if not made.nodes[name].has_failed:
                    made.fail(name)
                    ill.append((made.now + 10 * S, name))
        while ill and ill[0][0] <= made.now:
            made.heal(ill.pop(0)[1])
    assert made.phase("all") == "done" and not made.broken, (made.phase("all"), made.broken[:3])
    return made.waves, made.now / S, made.refused, time.process_time() - began


def cordon(how, seed):
    """60 nodes to go within an hour. Gangs on two of them come every 5 s, and have for 20 minutes, and last 1
    to 20 minutes, so that hardly a node is free: share of starts refused in that hour, and how much of it the
    drain took."""
    made, chance, kept = World(seed), random.Random(seed), rules.compute_cordon_ms
    nodes = [f"n{number:02}" for number in range(60)]
    for number, name in enumerate(nodes):
        made.ask("node", node=name, site=f"s{number % 3}", units=20)
    began, ended, asked, refused = made.wall + HOUR // 3, 0, 0, 0
    rules.compute_cordon_ms = {"at once": at_once, "as it is": kept, "at the deadline": at_deadline}[how]
    try:
        while made.wall < began + HOUR or not ended and made.wall < began + 3 * HOUR:
            made.step(S)
            if made.wall == began:
                made.ask("drain", drain="all", nodes=nodes, deadline_ms=began + HOUR)
            if not ended and made.wall > began and made.phase("all") != "running":
                ended = made.wall
            for gang, row in list(made.state.part("gangs").items()):
                if row.ends_ms <= made.wall:
                    made.ask("gang_end", gang=gang)
            if made.now // S % 5 == 0 and made.wall < began + HOUR:
                lasts, some = chance.randint(60_000, 1_200_000), chance.sample(nodes, 2)
                code, _ = made.ask(
                    "gang", gang=f"j{made.now}", nodes=some, units=1, ends_ms=made.wall + lasts
                )
                asked += made.wall >= began
                refused += made.wall >= began and code != 200
    finally:
        rules.compute_cordon_ms = kept
    assert not made.broken
    return refused / asked, (ended - began) / HOUR, made.waves


def at_once(draft, nodes, deadline_ms):
    return draft.wall_ms


def at_deadline(draft, nodes, deadline_ms):
    return deadline_ms


def cordons():
    for how in ("at once", "as it is", "at the deadline"):
        found = [cordon(how, seed) for seed in range(5)]
        refused, took, waves = (round(statistics.mean(one), 3) for one in zip(*found, strict=True))
        tell(cordon=how, gang_starts_refused=refused, took_of_its_time=took, waves=waves)


def looks(count):
    """What a leader's look costs, by what happened before it, while a drain runs."""
    made, nodes, chance = fleet(count, count, away=(10**6, 10**6))
    free_of_gangs(made)
    for _ in range(20):
        made.step(S // 4)  # the first wave is given and goes down
    rest = [name for name in nodes if name not in made.state.part("permits")]
    took = {"promise": [], "report": []}
    for turn in range(20):
        made.now += S
        made.ask("reserve", reservation=f"x{turn}", service="s", site="s0", units=1)
        took["promise"].append(look_of(made))
        made.ask("report", node=rest[turn], state="catching_up")
        took["report"].append(look_of(made))
    tell(
        nodes=count,
        look_after_promise_ms=round(1000 * statistics.median(took["promise"]), 2),
        look_after_report_ms=round(1000 * statistics.median(took["report"]), 2),
    )


def look_of(made):
    """Until the duty has nothing more to say."""
    took, wanted = 0, True
    while wanted is not None:
        began = time.process_time()
        wanted = made.drain_task.next(made.now, made.wall, made.state, made.follow)
        took += time.process_time() - began
        if wanted is not None:
            made.apply(wanted)
    return took


def main():
    sizes = [int(one) for one in sys.argv[1:]] or SIZES
    beside_the_optimum()
    for count in sizes:
        for promised in (0.5, 0.85):
            planned(count, promised)
    cordons()
    for count in sizes:
        looks(count)
    for count in sizes:
        calm, calm_s, _, took = whole_drain(count, False)
        ill, ill_s, refused, took_ill = whole_drain(count, True)
        tell(
            nodes=count,
            drained_in_waves=calm,
            simulated_s=round(calm_s),
            with_failures_waves=round(ill / calm, 2),
            with_failures_time=round(ill_s / calm_s, 2),
            refused=refused,
            broken=0,
            took_s=round(took + took_ill, 1),
        )


if __name__ == "__main__":
    main()
