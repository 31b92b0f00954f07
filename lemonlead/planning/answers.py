"""Answers questions about a fleet.

What breaks first as the load grows, how many instances a goal needs, what the loss of a site or a bad build
does, and how well a steady load is served.
"""

import itertools

from . import steady, world

BISECTION_STEPS = 40
MAX_GROWTH = 1000.0  # times the present load
MAX_SCALE = 64.0


def breaking_points(fleet):
    """Returns the growth of the load at which each resource is full and each goal is missed, in rising order.

    What does not break up to MAX_GROWTH is left out.
    """
    rows = []
    for name in steady.solve(fleet).used:
        factor = largest_factor(
            lambda growth, name=name: steady.solve(fleet.with_load_factor(growth)).used[name] < 1.0
        )
        rows.append(
            {"what": name, "growth": factor, "evidence": f"all of it is taken at {factor:.2f} times the load"}
        )
    for pooled, how in ((False, "each machine by itself"), (True, "all machines as one queue")):
        factor = largest_factor(
            lambda growth, pooled=pooled: steady.solve(fleet.with_load_factor(growth), pooled).service
            >= fleet.service_goal
        )
        at = steady.solve(fleet.with_load_factor(max(factor, 0.01)), pooled)
        rows.append(
            {
                "what": f"service goal, {how}",
                "growth": factor,
                "evidence": (
                    f"service {at.service:.3f} of {fleet.service_goal:.3f} wanted, "
                    f"{at.used['cores of instances']:.2f} of the cores"
                ),
            }
        )
    rows = [row for row in rows if row["growth"] < MAX_GROWTH]
    return sorted(rows, key=lambda row: row["growth"])


def largest_factor(holds, limit=MAX_GROWTH):
    """Returns the largest factor up to `limit` for which `holds` is true, by bisection.

    `holds` must be true below some factor and false above it. The result is near 0 if it is never true.
    """
    low, high = 0.0, limit
    if holds(limit):
        return limit
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if holds(middle) else (low, middle)
    return low


def smallest_size(fleet, lost=0, work=1.0):
    """Returns the fewest instances that meet the service goal, by site and kind, and an explanation.

    The shares of sites and kinds stay as they are. The goal is met with any `lost` sites gone and `work`
    times the work of each request. The first value is None if no number of instances meets it.
    """
    worst_factor = None
    for names in itertools.combinations(fleet.sites, lost):
        remaining = fleet.without_sites(names).with_work_factor(work)
        if not remaining.sites:
            return None, "no site is left"
        best = steady.solve(remaining.with_instance_factor(MAX_SCALE * 1000.0), pooled=False)
        if best.service < fleet.service_goal:
            request_class = min(best.request_classes, key=best.request_classes.get)
            return None, (
                f"no number of instances meets it: with all the room there could be, service is "
                f"{best.service:.3f}, request class {request_class} "
                f"{best.request_classes[request_class]:.3f}: its work alone takes too long"
            )
        if not sum(count for _, _, count in remaining.machine_counts()):
            return None, f"without {', '.join(names)} there is no instance to scale"
        low, high = 0.0, 1.0
        while not meets_goal(remaining, high, fleet.service_goal):
            low, high = high, high * 2
        for _ in range(BISECTION_STEPS):
            middle = (low + high) / 2
            low, high = (low, middle) if meets_goal(remaining, middle, fleet.service_goal) else (middle, high)
        worst_factor = max(worst_factor or 0.0, high)
    scaled = fleet.with_instance_factor(worst_factor)
    return {
        name: site.instances for name, site in scaled.sites.items()
    }, f"{worst_factor:.3f} times the present instances"


def meets_goal(fleet, factor, service):
    return steady.solve(fleet.with_instance_factor(factor)).service >= service


def play_site_loss(fleet, site, seed=1, length=60, out=20):
    """Simulates the loss of a site for `out` of `length` seconds.

    Returns summaries of the time before it, while the site is gone, while its machines are cold and after,
    and the counts by second.
    """
    simulation, gone, back = world.World(fleet, seed), length // 3, length // 3 + out
    simulation.lose_site(site, gone * world.NS_PER_SECOND, back * world.NS_PER_SECOND)
    seconds = simulation.play(length)
    warm = min(back + max(round(fleet.warm_up_time / world.NS_PER_SECOND), 1) + 1, length)
    parts = {
        "before": (5, gone),
        "while it is gone": (gone, back),
        "while it is cold": (back, warm),
        "after": (warm, length),
    }
    return [
        summarize(name, seconds[start:end]) for name, (start, end) in parts.items() if end > start
    ], seconds


def play_release(fleet, factor, seed=1, length=60):
    """Simulates the release of a build that needs `factor` times the work.

    Returns summaries of the time before it and of each stage, and the counts by second.
    """
    simulation = world.World(fleet, seed)
    simulation.start_release(10 * world.NS_PER_SECOND, factor)
    seconds = simulation.play(length)
    stages = [
        (time / world.NS_PER_SECOND, stage, what)
        for time, stage, what in simulation.stage_changes
        if time < length * world.NS_PER_SECOND
    ]
    ends = [time for time, _, _ in stages[1:]] + [length]
    rows = [
        {
            **summarize(f"stage {stage + 1}: {what}", seconds[int(start) : max(int(end), int(start) + 1)]),
            "at_s": round(start, 1),
        }
        for (start, stage, what), end in zip(stages, ends, strict=True)
    ]
    return [summarize("before", seconds[5:10]), *rows], seconds


def summarize(name, seconds):
    """Returns the service, and the shares of requests that were rejected or failed, over these seconds."""
    requests = sum(second.requests for second in seconds)
    rejected = sum(second.rejected for second in seconds)
    failed = sum(second.failed for second in seconds)
    return {
        "part": name,
        "seconds": len(seconds),
        "service": round(world.service_share(seconds), 4),
        "requests": requests,
        "rejected": round(rejected / max(requests, 1), 4),
        "failed": round(failed / max(requests, 1), 4),
    }


def predict_service(fleet, seeds=(1, 2, 3), length=40):
    """Returns the service of a steady load: simulated with each seed, their mean, and by the closed forms."""
    played = [round(world.service_share(world.World(fleet, seed).play(length)[5:]), 4) for seed in seeds]
    return {
        "played": played,
        "mean": round(sum(played) / len(played), 4),
        "apart": round(steady.solve(fleet).service, 4),
        "pooled": round(steady.solve(fleet, True).service, 4),
        "after_a_flood": round(steady.solve(fleet, flooded=True).service, 4),
    }
