"""How likely chance alone makes what is seen. Arithmetic only."""

from math import exp, log


def chance(samples):
    """At most how likely so many worse outcomes are (Chernoff's bound); a sample is (how many were worse, of
    how many, the share that is usual). Without outcomes there is nothing that chance could have done."""
    worse, count = sum(sample[0] for sample in samples), sum(sample[1] for sample in samples)
    if not count:
        return 0.0
    usual = sum(sample[1] * min(sample[2], 0.99) for sample in samples) / count
    share = worse / count
    if share <= usual:
        return 1.0
    rest = (1 - share) * log((1 - share) / (1 - usual)) if share < 1 else 0.0
    return exp(-count * (share * log(share / usual) + rest))


def smoothed(old, new, rate):
    """The first value as it is: 0 says that none is known."""
    return old + rate * (new - old) if old else new
