"""A steady load on a fleet, reckoned with closed forms: service by request class, and how much of each
resource is used.

The balancers choose the cheapest instance of those that they see. That lies between two extremes, both
reckoned: each machine by itself with a share of the requests by its speed (`apart`), and all machines of a
kind as one queue (`pooled`). Clients who give up ask again: the load is a fixed point, found from below (a
fleet that was calm) and from above (one that was flooded). Where the two differ the fleet does not come back
by itself after a flood."""

from dataclasses import dataclass, field

from .. import interface as at
from . import queues

ROUNDS, NEAR = 200, 1e-6
FULL = 0.95  # of the cores: the balancers' limits keep queues from growing past it, the rest is rejected


@dataclass(slots=True)
class Steady:
    """`service`: the share of revenue answered within the latency objective, `request_classes` the same by
    request class; `used`: the share of each resource that is taken, 1 is all of it; `rejected`: the share of
    attempts for which there is no room."""

    service: float
    request_classes: dict = field(default_factory=dict)
    used: dict = field(default_factory=dict)
    rejected: float = 0.0
    requests_per_second: float = 0.0  # requests a second with their retries


def solve(fleet, pooled=False, flooded=False):
    """The fleet under its load, as it is or after a flood."""
    stations = [
        (1 if pooled else count, kind, kind.cores * (count if pooled else 1)) for kind, count in merged(fleet)
    ]
    capacity = sum(times * servers * kind.speed for times, kind, servers in stations) or 1e-9
    first = {name: fleet.request_rate(name) for name in fleet.request_classes}
    asked = {name: rate * (1 + fleet.retries if flooded else 1) for name, rate in first.items()}
    for _ in range(ROUNDS):
        answered, room = serve(fleet, stations, capacity, asked)
        told = {}
        for name, rate in first.items():
            again, tries = 1 - answered[name]["stop"], 1.0
            for _ in range(fleet.retries):
                tries = 1 + again * tries
            told[name] = rate * tries
        if all(abs(told[name] - asked[name]) <= NEAR * max(told[name], 1e-9) for name in told):
            break
        asked = {name: (asked[name] + told[name]) / 2 for name in asked}
    return summed(fleet, first, asked, answered, room, capacity)


def merged(fleet):
    """Machines by kind over all sites: balancers send to any."""
    counts = {}
    for _, kind, count in fleet.machine_counts():
        counts[kind.name] = counts.get(kind.name, 0) + count
    return [(fleet.kinds[name], count) for name, count in counts.items()]


def serve(fleet, stations, capacity, asked):
    """By request class, the share answered within latency objective and before the client gives up; and the
    share let in."""
    total = sum(asked.values()) or 1e-9
    work = sum(rate * fleet.request_classes[name].work for name, rate in asked.items()) / total / 1e9
    second = (
        sum(
            rate * (fleet.request_classes[name].work / 1e9) ** 2 * (1 + fleet.request_classes[name].cv ** 2)
            for name, rate in asked.items()
        )
        / total
    )
    cv = max(second / work**2 - 1, 0.0) ** 0.5
    room = min(1.0, FULL * capacity / (total * work))
    found = {name: {"goal": 0.0, "stop": 0.0} for name in asked}
    trip = 2 * (fleet.same_site_delay if len(fleet.sites) == 1 else fleet.cross_site_delay) / 1e9
    for times, kind, servers in stations:
        share = times * servers * kind.speed / capacity
        rate = total * room * share / times
        for name in asked:
            request_class = fleet.request_classes[name]
            own = request_class.work / 1e9 / kind.speed, request_class.cv
            for limit, until in (("goal", request_class.goal), ("stop", request_class.stop * fleet.patience)):
                left = until / 1e9 - trip
                found[name][limit] += (
                    share * room * queues.share_within(left, servers, rate, work / kind.speed, cv, own)
                )
    return found, room


def summed(fleet, first, asked, answered, room, capacity):
    request_classes = {}
    for name in first:
        got, missed = answered[name]["goal"], 1 - answered[name]["stop"]
        request_classes[name] = (
            got + missed * got
            if fleet.retries and fleet.request_classes[name].effect != at.NON_IDEMPOTENT
            else got
        )
        request_classes[name] = min(request_classes[name], 1.0)
    worth = {
        name: rate * fleet.request_classes[name].revenue * fleet.request_classes[name].work
        for name, rate in first.items()
    }
    whole = sum(worth.values())
    service = sum(request_classes[name] * worth[name] for name in first) / whole if whole else 1.0
    total = sum(asked.values())
    load = sum(rate * fleet.request_classes[name].work for name, rate in asked.items()) / 1e9
    return Steady(service, request_classes, used(fleet, asked, total, load, capacity), 1 - room, total)


def used(fleet, asked, total, load, capacity):
    """Each resource by what there is of it."""
    busiest = max(sum(site.load.values()) / site.gateways for site in fleet.sites.values())
    growth = total / max(sum(fleet.request_rate(name) for name in fleet.request_classes), 1e-9)
    each = busiest * growth  # requests a second of the busiest gateway
    held = (
        sum(rate / max(total, 1e-9) * fleet.request_classes[name].work for name, rate in asked.items()) / 1e9
    )
    utilised = min(load / capacity, 0.99)
    open_requests = each * held / (1 - utilised)  # by Little's law, in work or waiting
    connections = (fleet.descriptors - 24) / 2
    return {
        "cores of instances": load / capacity,
        "cores of gateways": each * fleet.lookup_cpu / 1e9 / fleet.gateway_cores,
        "connections of gateways": open_requests / connections,
    }
