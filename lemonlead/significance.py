"""Statistics for judging a build: how probable a result is by chance alone, and smoothed averages."""

from math import exp, log


def probability_bound(samples):
    """Returns an upper bound (Chernoff's) of the probability of so many worse outcomes by chance alone.

    A sample is (number of worse outcomes, number of outcomes, usual share of worse outcomes). Without any
    outcomes the result is 0, as chance played no part.
    """
    worse = sum(sample[0] for sample in samples)
    total = sum(sample[1] for sample in samples)
    if not total:
        return 0.0
    usual = sum(sample[1] * min(sample[2], 0.99) for sample in samples) / total
    share = worse / total
    if share <= usual:
        return 1.0
    rest = (1 - share) * log((1 - share) / (1 - usual)) if share < 1 else 0.0
    return exp(-total * (share * log(share / usual) + rest))


def smoothed(old, new, rate):
    """Returns the exponential average; an `old` value of 0 means that there is none yet."""
    return old + rate * (new - old) if old else new
