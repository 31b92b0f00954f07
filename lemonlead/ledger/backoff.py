"""How long to wait after a failure before the next try: longer with each one in a row, and spread, so that
members that failed together do not come back together."""

import random


class Backoff:
    """`first` and `most`: nanoseconds."""

    def __init__(self, seed, first, most):
        self.chance, self.first, self.most = random.Random(seed), first, most
        self.row = 0  # failures in a row

    def failed(self):
        """Nanoseconds to wait now: between half and the whole of what the row of failures asks."""
        asked = min(self.first << min(self.row, 20), self.most)
        self.row += 1
        return asked // 2 + self.chance.randrange(asked // 2 + 1)

    def worked(self):
        self.row = 0
