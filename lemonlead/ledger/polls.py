"""Calls that wait for the next change (long polls), and the recent changes kept to answer them.

Calls for the same parts wait together, so that a change costs nothing for calls that don't ask for it: a
reservation costs the same with 500 waiting gateways as with none.
"""

from collections import deque
from dataclasses import dataclass

MAX_EVENTS = 20_000  # changes kept for calls that ask for what came after an index
MAX_POLL_NS = 2_000_000_000  # the longest that a call waits


@dataclass(slots=True)
class Poll:
    """A waiting call for the changes after an entry."""

    until: int  # time at which it is answered even if nothing changed
    after: int  # index of the entry
    ticket: object
    parts: tuple  # the parts that it asks for; empty for all


class Polls:
    """The waiting calls, and the changes after an entry. It starts as of entry `index`."""

    def __init__(self, index):
        self.events, self.earliest = deque(), index  # `events` has all changes after entry `earliest`
        self.held = 0  # number of changes in `events`
        self.last_changed = {}  # part to the index of the entry that changed it last, since the start
        self.waiting = {}  # parts to the calls for them, in the order of arrival, which is that of `until`
        self.ready, self.changed = deque(), False  # `changed`: calls in `waiting` may have become ready

    def __len__(self):
        return len(self.ready) + sum(map(len, self.waiting.values()))

    def add(self, index, changes):
        """Adds what an entry has changed: (part, key) to its record."""
        self.events.append((index, changes))
        self.held += len(changes)
        self.last_changed.update((part, index) for part, _ in changes)
        self.changed = True
        while self.held > MAX_EVENTS:
            self.earliest, changes = self.events.popleft()
            self.held -= len(changes)

    def restart(self, index):
        """The state was replaced by another one, as of this entry; the changes between them are unknown."""
        self.events.clear()
        self.earliest, self.held, self.changed = index, 0, True

    def wait(self, now, after, ticket, parts):
        """Adds a call."""
        poll = Poll(now + MAX_POLL_NS, after, ticket, parts)
        if self.newest(parts) > after:
            self.ready.append(poll)
        else:
            self.waiting.setdefault(parts, deque()).append(poll)

    def newest(self, parts):
        """Returns the index of the last change of these parts. Calls after an earlier entry are answered at
        once."""
        last_changed = self.last_changed
        return max(self.earliest, *(last_changed.get(part, 0) for part in parts or last_changed), 0)

    def next(self, now):
        """Returns a call to be answered now, or None."""
        if self.changed:
            self.changed = False
            for parts in list(self.waiting):
                self.move_ready(parts)
        if self.ready:
            return self.ready.popleft()
        for parts, waiting in self.waiting.items():
            if waiting[0].until <= now:
                return self.take_first(parts, waiting)
        return None

    def take_first(self, parts, waiting):
        poll = waiting.popleft()
        if not waiting:
            del self.waiting[parts]
        return poll

    def move_ready(self, parts):
        """Moves the calls for these parts for which there are changes from `waiting` to `ready`."""
        newest, still = self.newest(parts), deque()
        for poll in self.waiting[parts]:
            (self.ready if poll.after < newest else still).append(poll)
        self.waiting[parts] = still
        if not still:
            del self.waiting[parts]

    def wake_at(self):
        """Returns when the next call has to be answered, or None if none waits."""
        if self.ready:
            return self.ready[0].until - MAX_POLL_NS
        return min((waiting[0].until for waiting in self.waiting.values()), default=None)

    def changes_for(self, poll):
        """Returns (index, changes) for each entry after the call's that changed what it asks for, or None if
        these changes are no longer kept."""
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
