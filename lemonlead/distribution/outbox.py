"""What one subscriber is told next, within its budget.

It pulls from the store whenever there is room, so nothing queues: later news of a key takes the place of
earlier. Over all its scopes drains and removals go first, then what is complete, then cold or new records,
then other changes, then the rest of snapshots. Of each scope it holds how far it has got in a list that the
store keeps for all alike, and the keys told ahead of `complete` that changed after that list was made."""

from .faults import Senseless
from .records import (
    COLD,
    DRAIN,
    LEAST_BURST,
    LINE,
    MOST_SCOPES,
    REST,
    SEAL,
    amount,
    encode,
    positions,
    sealed,
)

SECOND = 1_000_000_000
ENOUGH = 1024  # bytes of budget before anything but drains goes out: else each record had its own line
ADVANCE = 30 * SECOND  # between two words on how far scopes are complete in which nothing changed
SNAPSHOT = 3  # the level after REST: what a snapshot has of REST
LEVELS = (DRAIN, COLD, REST, SNAPSHOT)
NONE = ((), (), ())
LOST = ()


class Position:
    """How far one scope is told. `base`: the KeyList that is being told, `late`: that of what changed after
    it was made, None where all is told; `at` and `late_at`: how far, by urgency."""

    __slots__ = ("complete", "base", "at", "late", "late_at", "ahead", "marked")

    def __init__(self, complete):
        self.complete = complete
        self.told()

    def told(self):
        self.base = self.late = self.at = self.late_at = self.ahead = None
        self.marked = False

    def begin(self, base):
        self.base, self.at, self.late, self.late_at = base, [0, 0, 0], None, [0, 0, 0]
        self.ahead, self.marked = {}, False  # ahead: key to index, of `late`


class Outbox:
    def __init__(self, now, store, scopes, rate, burst, cluster=None):
        """`scopes`: index up to which the subscriber is complete in each, as of `cluster` (None: the
        store's). `rate`: bytes a second, `burst`: bytes. Senseless, Unusable: where one can't be."""
        self.rate, self.burst = amount(rate, "rate"), amount(burst, "burst", LEAST_BURST)
        self.store, self.at = store, now
        self.credit = 0  # in bytes times nanoseconds; none at first, as the stream before spent its own
        self.positions = {}
        self.todo = tuple({} for _ in LEVELS)  # by level, the scopes that have something of it left
        self.done = {}  # scopes whose `complete` is to be told
        self.cluster, self.headed, self.lines = store.cluster, False, 0
        self.seen, self.advanced, self.advance_at = store.index, 0, now
        self.counts = dict.fromkeys(("told", "coalesced", "snapshots", "bytes", "lines"), 0)
        if cluster is not None and cluster != store.cluster:
            scopes = dict.fromkeys(positions(scopes), 0)
        self.add(scopes)

    # ---- inputs

    def widen(self, now, scopes):
        """More scopes. Those that it has already go on as they are."""
        more = {scope: at for scope, at in positions(scopes).items() if scope not in self.positions}
        if len(self.positions) + len(more) > MOST_SCOPES:
            raise Senseless(f"scopes: {len(self.positions)} and {len(more)} more; at most {MOST_SCOPES}")
        self.look()
        self.add(more)

    def add(self, scopes):
        """Small scopes first: a large one holds up none."""
        for scope in sorted(positions(scopes), key=self.store.size):
            self.positions[scope] = Position(scopes[scope])
            self.begin(scope)

    # ---- decisions

    def next(self, now):
        """The next line, or None where nothing is to tell or the budget is spent."""
        if now > self.at:
            self.credit = min(self.burst * SECOND, self.credit + (now - self.at) * self.rate)
            self.at = now
        self.look()
        if self.credit < self.needed() * SECOND:
            return None
        limit = min(LINE, self.credit // SECOND)
        line = self.line(now, limit - SEAL)
        if line is None:
            return None
        self.lines += 1
        data = sealed(line, self.lines)
        self.credit -= len(data) * SECOND
        self.counts["lines"] += 1
        self.counts["bytes"] += len(data)
        return data

    def wake_at(self):
        """The moment from which `next` has a line; None where nothing is to tell until the store changes."""
        self.look()
        needed = self.needed()
        if not needed:
            return max(self.advance_at, self.at) if self.store.index > self.advanced else None
        missing = needed * SECOND - self.credit
        return self.at + max(-(-missing // self.rate), 0)

    # ---- what is left to tell

    def look(self):
        """Takes up what changed in the store since it last looked."""
        store = self.store
        if store.cluster != self.cluster:
            self.cluster, self.headed, self.seen = store.cluster, False, store.index
            self.advanced = 0
            self.done.clear()
            for todo in self.todo:
                todo.clear()
            for scope in sorted(self.positions, key=store.size):
                self.positions[scope] = Position(0)
                self.begin(scope)
        if store.index == self.seen:
            return
        changed = store.changed(self.seen)
        for scope in list(self.positions) if changed is None else changed:
            if scope in self.positions:
                self.begin(scope)
        self.seen = store.index

    def begin(self, scope, anew=False):
        """Takes up a scope that may have something to tell. `anew`: from a snapshot. Where the subscriber is
        ahead of the store, that is nothing until the store has caught up."""
        store, position = self.store, self.positions[scope]
        if position.base is None or anew:
            base = None if anew else store.news(scope, position.complete)
            position.begin(base or store.whole(scope))
        late = store.news(scope, position.base.at)
        if late is None:  # kept no more
            position.begin(store.whole(scope))
            late = store.news(scope, position.base.at)
        position.late, position.late_at = late, [0, 0, 0]
        whole, at, base = position.base.whole, position.at, position.base.levels
        rest = at[REST] < len(base[REST])
        left = (
            at[DRAIN] < len(base[DRAIN]) or late.levels[DRAIN],
            at[COLD] < len(base[COLD]) or late.levels[COLD],
            rest and not whole or late.levels[REST],
            rest and whole,
        )
        self.done.pop(scope, None)
        for todo, some in zip(self.todo, left, strict=True):
            if some:
                todo[scope] = None
            else:
                todo.pop(scope, None)
        if not any(left):
            if whole or base != NONE or store.touched(scope) > position.complete:
                self.done[scope] = None
            else:
                position.told()

    def first(self):
        """Returns what to send first as (level, scope, key, VersionedRecord, whether it comes from the `late`
        list), or None when nothing is left."""
        for level in LEVELS:
            todo = self.todo[level]
            while todo:
                scope = next(iter(todo))
                found = self.first_of(scope, level)
                if found is LOST:
                    self.restart(scope)
                elif found is not None:
                    return level, scope, *found
                else:
                    del todo[scope]
                    if not any(scope in other for other in self.todo):
                        self.done[scope] = None
        return None

    def first_of(self, scope, level):
        """Returns (key, VersionedRecord, whether it comes from the `late` list) of a scope, None when the
        scope has nothing left of this level, or LOST when the store no longer keeps the newest record of a
        key."""
        position, store, kind = self.positions[scope], self.store, min(level, REST)
        if level != SNAPSHOT:
            keys, at = position.late.levels[kind], position.late_at
            while at[kind] < len(keys):
                key = keys[at[kind]]
                word = store.word(scope, key)
                if word is None:
                    return LOST
                if position.ahead.get(key) != word.index:
                    return key, word, True
                at[kind] += 1
        if level < REST or position.base.whole == (level == SNAPSHOT):
            keys, at = position.base.levels[kind], position.at
            while at[kind] < len(keys):
                key = keys[at[kind]]
                word = store.word(scope, key)
                if word is None:
                    return LOST
                if word.index <= position.base.at:
                    return key, word, False
                at[kind] += 1
                self.counts["coalesced"] += 1
        return None

    def restart(self, scope):
        """From a snapshot: the word on a key in its lists is kept no more."""
        for todo in self.todo:
            todo.pop(scope, None)
        self.begin(scope, anew=True)

    def needed(self):
        """Bytes of budget for the next line; 0 where nothing is to tell."""
        if not self.store.index:
            return 0
        if not self.headed:
            return ENOUGH
        found = self.first()
        if found is None:
            return min(ENOUGH, self.burst) if self.done else 0
        level, scope, key, word, _ = found
        size = len(told(scope, key, word)) + len(scope) + 32 + SEAL
        return size if level == DRAIN else max(size, ENOUGH)

    # ---- lines

    def line(self, now, room):
        """The inside of the next line's object, None where nothing is to tell. `room`: bytes."""
        if not self.store.index:
            return None
        if not self.headed:
            self.headed = True
            return b'"cluster":%b,"at":%d' % (encode(self.cluster), self.store.index)
        found = self.first()
        if found is None and not self.done:
            self.advance(now)
        if found is None or found[0] == SNAPSHOT:
            for scope in self.done:
                if self.unmarked(scope):
                    return self.mark(scope)
        if found is not None and self.unmarked(found[1]):
            return self.mark(found[1])
        changes, complete = [], []
        room -= len(b'"changes":[],"complete":{}')
        room = self.tell(changes, room, (DRAIN,))
        room = self.tell_complete(complete, room)
        room = self.tell(changes, room, LEVELS)
        self.tell_complete(complete, room)
        parts = []
        if changes:
            parts.append(b'"changes":[%b]' % b",".join(changes))
        if complete:
            parts.append(b'"complete":{%b}' % b",".join(complete))
        return b",".join(parts) or None

    def unmarked(self, scope):
        """Whether a snapshot of it is to be announced before anything else of it."""
        position = self.positions[scope]
        return position.base is not None and position.base.whole and not position.marked

    def mark(self, scope):
        self.positions[scope].marked = True
        self.counts["snapshots"] += 1
        return b'"snapshot":%b' % encode(scope)

    def tell(self, changes, room, levels):
        """Adds changes of these levels, as many as there is room for. The room that is left."""
        while (found := self.first()) is not None and found[0] in levels:
            level, scope, key, word, late = found
            change = told(scope, key, word)
            if len(change) + 1 > room or self.unmarked(scope):
                break
            changes.append(change)
            room -= len(change) + 1
            self.counts["told"] += 1
            position, kind = self.positions[scope], min(level, REST)
            if late:
                position.ahead[key] = word.index
                position.late_at[kind] += 1
            else:
                position.at[kind] += 1
        return room

    def tell_complete(self, complete, room):
        """Adds how far scopes are complete. The room that is left."""
        self.first()  # what is told to its end is known from then on
        index = self.store.index
        for scope in list(self.done):
            word = b"%b:%d" % (encode(scope), index)
            if len(word) + 1 > room:
                break
            if self.unmarked(scope):
                continue
            complete.append(word)
            room -= len(word) + 1
            del self.done[scope]
            self.positions[scope].complete = index
            self.positions[scope].told()
        return room

    def advance(self, now):
        """Scopes in which nothing changed are complete up to the store's index too; now and then that is
        told, so that another relay need not tell them anew."""
        if now < self.advance_at or self.store.index <= self.advanced:
            return
        self.advance_at, self.advanced = now + ADVANCE, self.store.index
        for scope, position in self.positions.items():
            if position.complete < self.store.index:
                self.done[scope] = None


def told(scope, key, word):
    """A change as it stands in a line."""
    return b"[%b,%b,%d,%b]" % (encode(scope), encode(key), word.index, word.raw or b"null")
