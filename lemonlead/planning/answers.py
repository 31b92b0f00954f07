"""Questions to a fleet: what breaks first, and how many instances a goal needs."""

import itertools

from . import steady, world

STEPS, MAX_GROWTH, MAX_SCALE = 40, 1000.0, 64.0


def breaking_points(fleet):
    """The growth of load at which each resource is full, and at which each goal is missed; the first of them
    first. A resource that is never full up to MAX_GROWTH is left out."""
    rows = []
    for name in steady.solve(fleet).used:
        factor = threshold(
            lambda growth, name=name: steady.solve(fleet.with_load_factor(growth)).used[name] < 1.0
        )
        rows.append(
            {"what": name, "growth": factor, "evidence": f"all of it is taken at {factor:.2f} times the load"}
        )
    for pooled, how in ((False, "each machine by itself"), (True, "all machines as one queue")):
        factor = threshold(
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


def threshold(holds, most=MAX_GROWTH):
    """The largest factor for which it holds, 0 if it does not hold for the smallest; `holds` only ever
    ends."""
    low, high = 0.0, most
    if holds(most):
        return most
    for _ in range(STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if holds(middle) else (low, middle)
    return low


def smallest_size(fleet, lost=0, work=1.0):
    """The fewest instances, by the fleet's own shares of sites and kinds, that meet the goal with any `lost`
    sites gone and so many times the work a request; None and why where no size does."""
    worst = None
    for names in itertools.combinations(fleet.sites, lost):
        left = fleet.without_sites(names).with_work_factor(work)
        if not left.sites:
            return None, "no site is left"
        best = steady.solve(left.with_instance_factor(MAX_SCALE * 1000.0), pooled=False)
        if best.service < fleet.service_goal:
            request_class = min(best.request_classes, key=best.request_classes.get)
            return None, (
                f"no number of instances meets it: with all the room there could be, service is "
                f"{best.service:.3f}, request class {request_class} "
                f"{best.request_classes[request_class]:.3f}: its work alone takes too long"
            )
        if not sum(count for _, _, count in left.machine_counts()):
            return None, f"without {', '.join(names)} there is no instance to scale"
        low, high = 0.0, 1.0
        while not meets(left, high, fleet.service_goal):
            low, high = high, high * 2
        for _ in range(STEPS):
            middle = (low + high) / 2
            low, high = (low, middle) if meets(left, middle, fleet.service_goal) else (middle, high)
        worst = max(worst or 0.0, high)
    wanted = fleet.with_instance_factor(worst)
    return {
        name: site.instances for name, site in wanted.sites.items()
    }, f"{worst:.3f} times the present instances"


def meets(fleet, factor, service):
    return steady.solve(fleet.with_instance_factor(factor)).service >= service


def play_site_loss(fleet, site, seed=1, length=60, out=20):
    """Plays the loss of a site: service before it, while it is gone, while its machines come back cold, and
    after."""
    day, gone, back = world.World(fleet, seed), length // 3, length // 3 + out
    day.lose_site(site, gone * world.NS_PER_SECOND, back * world.NS_PER_SECOND)
    seconds = day.play(length)
    warm = min(back + max(round(fleet.warm_up_time / world.NS_PER_SECOND), 1) + 1, length)
    parts = {
        "before": (5, gone),
        "while it is gone": (gone, back),
        "while it is cold": (back, warm),
        "after": (warm, length),
    }
    return [part(name, seconds[start:end]) for name, (start, end) in parts.items() if end > start], seconds


def play_release(fleet, factor, seed=1, length=60):
    """Plays a build that needs so many times the work: when each stage began, and what became of the
    build."""
    day = world.World(fleet, seed)
    day.start_release(10 * world.NS_PER_SECOND, factor)
    seconds = day.play(length)
    marks = [
        (moment / world.NS_PER_SECOND, stage, what)
        for moment, stage, what in day.stage_changes
        if moment < length * world.NS_PER_SECOND
    ]
    ends = [moment for moment, _, _ in marks[1:]] + [length]
    rows = [
        {
            **part(f"stage {stage + 1}: {what}", seconds[int(start) : max(int(end), int(start) + 1)]),
            "at_s": round(start, 1),
        }
        for (start, stage, what), end in zip(marks, ends, strict=True)
    ]
    return [part("before", seconds[5:10]), *rows], seconds


def part(name, seconds):
    asked = sum(second.requests for second in seconds)
    rejected = sum(second.rejected for second in seconds)
    lost = sum(second.failed for second in seconds)
    return {
        "part": name,
        "seconds": len(seconds),
        "service": round(world.service_share(seconds), 4),
        "requests": asked,
        "rejected": round(rejected / max(asked, 1), 4),
        "failed": round(lost / max(asked, 1), 4),
    }


def predict_service(fleet, seeds=(1, 2, 3), length=40):
    """Service of a steady load, played several times: each figure, and the closed forms' beside them."""
    played = [round(world.service_share(world.World(fleet, seed).play(length)[5:]), 4) for seed in seeds]
    return {
        "played": played,
        "mean": round(sum(played) / len(played), 4),
        "apart": round(steady.solve(fleet).service, 4),
        "pooled": round(steady.solve(fleet, True).service, 4),
        "after_a_flood": round(steady.solve(fleet, flooded=True).service, 4),
    }
