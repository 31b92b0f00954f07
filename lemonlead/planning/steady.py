"""Closed-form results for a steady load: service by request class, and the utilisation of each resource.

The balancers choose the cheapest of the instances that they know. Their result lies between two extremes, and
both can be calculated: each machine has its own queue and gets requests in proportion to its speed (`apart`),
or all machines of a kind share one queue (`pooled`).

Clients that time out retry, so the load is a fixed point. It is approached from below (the fleet was calm) or
from above (it was flooded). If the two results differ, the fleet does not recover by itself from a flood.
"""

from dataclasses import dataclass, field

from .. import interface as at
from . import queues

MAX_ITERATIONS = 200
CONVERGENCE_TOLERANCE = 1e-6  # relative
MAX_UTILISATION = 0.95  # of the cores; the balancers' limits reject load past it, so that queues stay short


@dataclass(slots=True)
class SteadyState:
    """The result for a steady load.

    `service` is the share of revenue answered within the latency objective, and `request_classes` the same by
    request class. `used` is the utilisation of each resource, where 1 is all of it. `rejected` is the share
    of attempts that are rejected for lack of capacity.
    """

    service: float
    request_classes: dict = field(default_factory=dict)
    used: dict = field(default_factory=dict)
    rejected: float = 0.0
    requests_per_second: float = 0.0  # including retries


def solve(fleet, pooled=False, flooded=False):
    """Calculates the steady state of a fleet under its load, approached from calm or from a flood."""
    queues_of_kinds = [
        (1 if pooled else count, kind, kind.cores * (count if pooled else 1))
        for kind, count in count_by_kind(fleet)
    ]
    capacity = (
        sum(queue_count * servers * kind.speed for queue_count, kind, servers in queues_of_kinds) or 1e-9
    )
    first_attempts = {name: fleet.request_rate(name) for name in fleet.request_classes}
    attempts = {name: rate * (1 + fleet.retries if flooded else 1) for name, rate in first_attempts.items()}
    for _ in range(MAX_ITERATIONS):
        answered, accepted = answered_shares(fleet, queues_of_kinds, capacity, attempts)
        next_attempts = {}
        for name, rate in first_attempts.items():
            failed, attempts_each = 1 - answered[name]["stop"], 1.0
            for _ in range(fleet.retries):
                attempts_each = 1 + failed * attempts_each
            next_attempts[name] = rate * attempts_each
        if all(
            abs(next_attempts[name] - attempts[name])
            <= CONVERGENCE_TOLERANCE * max(next_attempts[name], 1e-9)
            for name in next_attempts
        ):
            break
        attempts = {name: (attempts[name] + next_attempts[name]) / 2 for name in attempts}
    return summarize(fleet, first_attempts, attempts, answered, accepted, capacity)


def count_by_kind(fleet):
    """Returns (kind, count) over all sites, as balancers send to machines of any site."""
    counts = {}
    for _, kind, count in fleet.machine_counts():
        counts[kind.name] = counts.get(kind.name, 0) + count
    return [(fleet.kinds[name], count) for name, count in counts.items()]


def answered_shares(fleet, queues_of_kinds, capacity, attempts):
    """Returns the answered shares by request class, and the share of attempts that is accepted.

    The shares of a class are "goal", answered within the latency objective, and "stop", answered before the
    client times out.
    """
    total = sum(attempts.values()) or 1e-9
    work = sum(rate * fleet.request_classes[name].work for name, rate in attempts.items()) / total / 1e9
    second_moment = (
        sum(
            rate * (fleet.request_classes[name].work / 1e9) ** 2 * (1 + fleet.request_classes[name].cv ** 2)
            for name, rate in attempts.items()
        )
        / total
    )
    cv = max(second_moment / work**2 - 1, 0.0) ** 0.5
    accepted = min(1.0, MAX_UTILISATION * capacity / (total * work))
    shares = {name: {"goal": 0.0, "stop": 0.0} for name in attempts}
    round_trip = 2 * (fleet.same_site_delay if len(fleet.sites) == 1 else fleet.cross_site_delay) / 1e9
    for queue_count, kind, servers in queues_of_kinds:
        share = queue_count * servers * kind.speed / capacity
        rate = total * accepted * share / queue_count
        for name in attempts:
            request_class = fleet.request_classes[name]
            own = request_class.work / 1e9 / kind.speed, request_class.cv
            for limit, latency_limit in (
                ("goal", request_class.goal),
                ("stop", request_class.stop * fleet.patience),
            ):
                limit_s = latency_limit / 1e9 - round_trip
                shares[name][limit] += (
                    share * accepted * queues.share_within(limit_s, servers, rate, work / kind.speed, cv, own)
                )
    return shares, accepted


def summarize(fleet, first_attempts, attempts, answered, accepted, capacity):
    """Returns the SteadyState; a retry counts as answered in time only if a repeat is safe."""
    request_classes = {}
    for name in first_attempts:
        in_time, failed = answered[name]["goal"], 1 - answered[name]["stop"]
        request_classes[name] = (
            in_time + failed * in_time
            if fleet.retries and fleet.request_classes[name].effect != at.NON_IDEMPOTENT
            else in_time
        )
        request_classes[name] = min(request_classes[name], 1.0)
    revenue = {
        name: rate * fleet.request_classes[name].revenue * fleet.request_classes[name].work
        for name, rate in first_attempts.items()
    }
    total_revenue = sum(revenue.values())
    service = (
        sum(request_classes[name] * revenue[name] for name in first_attempts) / total_revenue
        if total_revenue
        else 1.0
    )
    total = sum(attempts.values())
    load = sum(rate * fleet.request_classes[name].work for name, rate in attempts.items()) / 1e9
    return SteadyState(
        service, request_classes, utilisation(fleet, attempts, total, load, capacity), 1 - accepted, total
    )


def utilisation(fleet, attempts, total, load, capacity):
    """Returns the share of each resource that is used."""
    busiest_rate = max(sum(site.load.values()) / site.gateways for site in fleet.sites.values())
    growth = total / max(sum(fleet.request_rate(name) for name in fleet.request_classes), 1e-9)
    gateway_rate = busiest_rate * growth  # requests a second of the busiest_rate gateway
    mean_work = (
        sum(rate / max(total, 1e-9) * fleet.request_classes[name].work for name, rate in attempts.items())
        / 1e9
    )
    core_utilisation = min(load / capacity, 0.99)
    open_requests = (
        gateway_rate * mean_work / (1 - core_utilisation)
    )  # being served or waiting, by Little's law
    connections = (fleet.descriptors - 24) / 2  # a client's and an instance's descriptor for each request
    return {
        "cores of instances": load / capacity,
        "cores of gateways": gateway_rate * fleet.lookup_cpu / 1e9 / fleet.gateway_cores,
        "connections of gateways": open_requests / connections,
    }
