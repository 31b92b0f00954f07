"""Randomized exponential backoff, so that members that failed together do not retry together."""

import random


class Backoff:
    """Delays after failures in a row. `first` is the delay after one failure, `most` the longest delay, both
    in nanoseconds."""

    def __init__(self, seed, first, most):
        self.rng, self.first, self.most = random.Random(seed), first, most
        self.failures = 0  # in a row

    def failed(self):
        """Records a failure and returns how long to wait: a random time between half of the delay and all of
        it, in nanoseconds."""
        delay = min(self.first << min(self.failures, 20), self.most)
        self.failures += 1
        return delay // 2 + self.rng.randrange(delay // 2 + 1)

    def worked(self):
        self.failures = 0
