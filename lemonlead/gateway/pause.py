"""Pauses before what failed is tried again: they grow with each failure and are spread by chance."""

import random
import time


class Pause:
    def __init__(self, seed, shortest, longest):
        self.random, self.shortest, self.longest = random.Random(seed), shortest, longest
        self.length = shortest

    def worked(self):
        self.length = self.shortest

    def wait(self):
        time.sleep(self.length * self.random.uniform(0.5, 1.0))
        self.length = min(2 * self.length, self.longest)
