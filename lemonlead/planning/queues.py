"""Queues in closed form. Times in any one unit, rates in its inverse.

M/M/c is exact. For general work the waiting time of M/G/c is that of M/M/c times (1 + cv^2) / 2 (Lee and
Longton), exact for one server (Pollaczek and Khinchine), and its tail is taken as exponential."""

import math
from statistics import NormalDist

QUANTILE_COUNT = 64  # quantiles by which work is summed over
NORMAL_QUANTILES = [NormalDist().inv_cdf((number + 0.5) / QUANTILE_COUNT) for number in range(QUANTILE_COUNT)]


def erlang_c(servers, offered):
    """The share that waits in M/M/c, with `offered` load in servers; 1 where it is no less than the
    servers."""
    if offered >= servers:
        return 1.0
    blocked = 1.0  # Erlang B, by its recursion, which is stable for any number of servers
    for number in range(1, servers + 1):
        blocked = offered * blocked / (number + offered * blocked)
    return blocked / (1 - offered / servers * (1 - blocked))


def waiting_time(servers, rate, work, cv):
    """(share that waits, mean wait of those that do) in M/G/c; an endless mean at or past saturation."""
    offered = rate * work
    if offered >= servers:
        return 1.0, math.inf
    return erlang_c(servers, offered), (1 + cv * cv) / 2 * work / (servers - offered)


def work_quantiles(work, cv):
    """Quantiles of work of this mean, lognormal."""
    spread = math.sqrt(math.log1p(cv * cv))
    return [work * math.exp(spread * z - spread * spread / 2) for z in NORMAL_QUANTILES]


def share_within(limit, servers, rate, work, cv, own=None):
    """The share of requests that wait and are served within the limit. `work`, `cv`: of all that is served
    there; `own`: (work, cv) of those asked about, if they are of one kind among others."""
    share, mean = waiting_time(servers, rate, work, cv)
    found = 0.0
    for taken in work_quantiles(*(own or (work, cv))):
        if taken <= limit:
            found += 1 - (share * math.exp(-(limit - taken) / mean) if mean < math.inf else 1.0)
    return found / QUANTILE_COUNT
