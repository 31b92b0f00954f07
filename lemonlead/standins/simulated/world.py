"""The clock of a simulated world, and what happens when. Clusters, clients and whatever else acts in it take
their turns by `after`; nothing in it reads a real clock or draws unseeded chance."""

import heapq
import random

from .network import Network

MS, SECOND = 1_000_000, 1_000_000_000
MOST_EVENTS = 400_000  # in one world; past it something goes round in circles
WALL = 1_750_000_000_000  # Unix milliseconds at the start


class InvariantViolation(Exception):
    """A judge saw what must not be. `checker`: its name; `message`: what it saw."""

    def __init__(self, checker, message, at=0):
        super().__init__(f"{checker}: {message}")
        self.checker, self.message, self.at_ns = checker, message, at


class World:
    """`clusters`: name to Cluster, each put in by itself. Actors are anything with `start(world)`."""

    def __init__(self, seed):
        self.seed, self.now = seed, 0
        self.chance = random.Random(f"world {seed}")
        self.queue, self.number = [], 0
        self.network = Network(seed, self.after)
        self.clusters, self.actors = {}, []
        self.counts = {}

    def count(self, what, by=1):
        self.counts[what] = self.counts.get(what, 0) + by

    def after(self, delay, function, *args):
        """Calls it so many nanoseconds on; what is due at one moment goes in the order of asking."""
        self.number += 1
        if self.number > MOST_EVENTS:
            raise InvariantViolation("events", f"more than {MOST_EVENTS}")
        heapq.heappush(self.queue, (self.now + max(delay, 0), self.number, function, args))

    def add(self, actor):
        self.actors.append(actor)
        actor.start(self)

    def run(self, until, stop=None):
        """Until that moment, or until `stop()` is true; whether it was."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.queue)
            function(*args)
            if stop is not None and stop():
                return True
        self.now = max(self.now, until)
        return False
