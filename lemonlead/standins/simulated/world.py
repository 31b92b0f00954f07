"""The clock and event queue of a simulated world. Clusters, clients and all other actors schedule their work
with `World.after`; nothing in the world reads a real clock or draws from an unseeded random generator."""

import heapq
import random

from .network import Network

MS, SECOND = 1_000_000, 1_000_000_000  # nanoseconds
MAX_EVENTS = 400_000  # in one world; more means that something schedules itself without end
START_WALL_MS = 1_750_000_000_000  # Unix milliseconds


class InvariantViolation(Exception):
    """An invariant checker saw something that must not happen. `checker`: its name. `message`: what it saw.
    `at_ns`: when, by the clock of the world."""

    def __init__(self, checker, message, at=0):
        super().__init__(f"{checker}: {message}")
        self.checker, self.message, self.at_ns = checker, message, at


class World:
    """`now`: nanoseconds since the start. `clusters`: Cluster by name; each cluster adds itself. `actors`:
    objects with a method `start(world)`. `counts`: how often each thing happened, for reports."""

    def __init__(self, seed):
        self.seed, self.now = seed, 0
        self.rng = random.Random(f"world {seed}")
        self.queue, self.event_number = [], 0
        self.network = Network(seed, self.after)
        self.clusters, self.actors = {}, []
        self.counts = {}

    def count(self, what, by=1):
        self.counts[what] = self.counts.get(what, 0) + by

    def after(self, delay, function, *args):
        """Calls the function after `delay` nanoseconds. Calls that are due at the same time run in the
        order in which they were scheduled."""
        self.event_number += 1
        if self.event_number > MAX_EVENTS:
            raise InvariantViolation("events", f"more than {MAX_EVENTS}")
        heapq.heappush(self.queue, (self.now + max(delay, 0), self.event_number, function, args))

    def add(self, actor):
        self.actors.append(actor)
        actor.start(self)

    def run(self, until, stop=None):
        """Runs to that time, or until `stop()` returns true after an event. Returns whether it did."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.queue)
            function(*args)
            if stop is not None and stop():
                return True
        self.now = max(self.now, until)
        return False
