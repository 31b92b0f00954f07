"""Closed-form queueing formulas. Times have any one unit, and rates its inverse.

Results for M/M/c are exact. The mean wait in M/G/c is approximated by that in M/M/c times (1 + cv^2) / 2 (Lee
and Longton), which is exact for one server (Pollaczek and Khinchine); its tail is approximated as
exponential.
"""

import math
from statistics import NormalDist

QUANTILE_COUNT = 64  # a work distribution is represented by as many quantiles
NORMAL_QUANTILES = [NormalDist().inv_cdf((index + 0.5) / QUANTILE_COUNT) for index in range(QUANTILE_COUNT)]


def erlang_c(servers, offered):
    """Returns the share of requests that wait in M/M/c.

    `offered`: the load, in servers; the result is 1 if it is at least `servers`.
    """
    if offered >= servers:
        return 1.0
    blocked = 1.0  # Erlang B by its recursion, which is numerically stable for any number of servers
    for count in range(1, servers + 1):
        blocked = offered * blocked / (count + offered * blocked)
    return blocked / (1 - offered / servers * (1 - blocked))


def waiting_time(servers, rate, work, cv):
    """Returns (share of requests that wait, mean wait of those) in M/G/c.

    The mean is infinite at or past saturation.
    """
    offered = rate * work
    if offered >= servers:
        return 1.0, math.inf
    return erlang_c(servers, offered), (1 + cv * cv) / 2 * work / (servers - offered)


def work_quantiles(work, cv):
    """Returns quantiles of a lognormal distribution of work with this mean and coefficient of variation."""
    sigma = math.sqrt(math.log1p(cv * cv))
    return [work * math.exp(sigma * z - sigma * sigma / 2) for z in NORMAL_QUANTILES]


def share_within(limit, servers, rate, work, cv, own=None):
    """Returns the share of requests whose wait and service together take at most `limit`.

    `work`, `cv`: mean and coefficient of variation over all requests served there. `own`: (work, cv) of the
    requests in question if they are one kind among others.
    """
    share, mean = waiting_time(servers, rate, work, cv)
    total = 0.0
    for service_time in work_quantiles(*(own or (work, cv))):
        if service_time <= limit:
            total += 1 - (share * math.exp(-(limit - service_time) / mean) if mean < math.inf else 1.0)
    return total / QUANTILE_COUNT
