"""Calls that wait for what changes next, and the changes kept for them.

Those that ask for the same parts wait together, so that a change costs nothing for whoever does not ask for
it: a reservation, for 500 gateways, no more than for none."""

from collections import deque
from dataclasses import dataclass

MAX_EVENTS = 20_000  # changes kept for whoever asks for what came after an index
POLL = 2_000_000_000  # the longest that a call waits, nanoseconds


@dataclass(slots=True)
class Poll:
    until: int
    after: int
    ticket: object
    parts: tuple  # that it asks for; empty for all


class Polls:
    """As of entry `index`."""

    def __init__(self, index):
        self.events, self.earliest = deque(), index  # what came after `earliest` is in `events`
        self.held = 0  # changes in `events`
        self.touched = {}  # part to the entry that changed it last, since this began
        self.waiting = {}  # parts to calls, in the order of coming, which is that of `until`
        self.ready, self.stirred = deque(), False  # whether `waiting` is to be looked at

    def __len__(self):
        return len(self.ready) + sum(map(len, self.waiting.values()))

    def add(self, index, changes):
        """What an entry has changed: (part, key) to its record."""
        self.events.append((index, changes))
        self.held += len(changes)
        self.touched.update((part, index) for part, _ in changes)
        self.stirred = True
        while self.held > MAX_EVENTS:
            self.earliest, changes = self.events.popleft()
            self.held -= len(changes)

    def restart(self, index):
        """The state is now another's, as of this entry: what changed on the way to it is not known."""
        self.events.clear()
        self.earliest, self.held, self.stirred = index, 0, True

    def wait(self, now, after, ticket, parts):
        poll = Poll(now + POLL, after, ticket, parts)
        if self.newest(parts) > after:
            self.ready.append(poll)
        else:
            self.waiting.setdefault(parts, deque()).append(poll)

    def newest(self, parts):
        """Calls for these parts after an earlier entry than this are to be answered at once."""
        touched = self.touched
        return max(self.earliest, *(touched.get(part, 0) for part in parts or touched), 0)

    def next(self, now):
        """A call to be answered now, or None."""
        if self.stirred:
            self.stirred = False
            for parts in list(self.waiting):
                self.stir(parts)
        if self.ready:
            return self.ready.popleft()
        for parts, waiting in self.waiting.items():
            if waiting[0].until <= now:
                return self.first(parts, waiting)
        return None

    def first(self, parts, waiting):
        poll = waiting.popleft()
        if not waiting:
            del self.waiting[parts]
        return poll

    def stir(self, parts):
        """Calls for these parts for which there is news."""
        newest, still = self.newest(parts), deque()
        for poll in self.waiting[parts]:
            (self.ready if poll.after < newest else still).append(poll)
        self.waiting[parts] = still
        if not still:
            del self.waiting[parts]

    def wake_at(self):
        """The moment at which the next is to be answered, None where none waits."""
        if self.ready:
            return self.ready[0].until - POLL
        return min((waiting[0].until for waiting in self.waiting.values()), default=None)

    def news(self, poll):
        """(index, changes) of each entry after its index that changed what it asks for; None where they are
        kept no more."""
        if poll.after < self.earliest:
            return None
        found, parts = [], poll.parts
        if self.newest(parts) <= poll.after:
            return found
        for index, changes in reversed(self.events):
            if index <= poll.after:
                break
            if parts:
                changes = {key: record for key, record in changes.items() if key[0] in parts}
            if changes:
                found.append((index, changes))
        return found[::-1]
