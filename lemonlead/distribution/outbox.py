"""Decides which line one subscriber receives next, within its byte budget.

The outbox reads from the store whenever there is budget, so nothing queues: a later change of a key replaces
an earlier one. Over all scopes of the subscriber, drains and removals are sent first, then `complete` for
finished scopes, then cold or new records, then other changes, then the rest of snapshots. `complete` names an
index up to which the subscriber has everything of a scope. For each scope the outbox holds how far it has got
in a key list that the store shares between all subscribers, and the keys that changed after that list was
made and were sent ahead of `complete`."""

from .faults import Senseless
from .records import (
    COLD,
    DRAIN,
    MIN_BURST_BYTES,
    MAX_LINE_BYTES,
    MAX_SCOPES,
    REST,
    SEAL_BYTES,
    check_amount,
    encode,
    check_scope_indexes,
    seal_line,
)

SECOND = 1_000_000_000
# Budget before anything but drains is sent; with less, each record would get a line of its own.
MIN_BUDGET_BYTES = 1024
ADVANCE_INTERVAL_NS = 30 * SECOND  # between two updates of `complete` for scopes in which nothing changed
SNAPSHOT = 3  # lowest level: records of urgency REST that are sent as part of a snapshot
LEVELS = (DRAIN, COLD, REST, SNAPSHOT)
NO_KEYS = ((), (), ())
COMPACTED = ()  # compared by identity: the store no longer keeps the record


class ScopePosition:
    """How far one scope has been sent.

    `complete` is the index up to which the subscriber has the scope. `base` is the KeyList being sent and
    `newer` the KeyList of what changed after `base` was made; both are None when everything has been sent.
    `base_sent` and `newer_sent` count, by urgency, the keys already sent of each list."""

    __slots__ = ("complete", "base", "base_sent", "newer", "newer_sent", "ahead", "announced")

    def __init__(self, complete):
        self.complete = complete
        self.finish()

    def finish(self):
        """Marks everything as sent."""
        self.base = self.newer = self.base_sent = self.newer_sent = self.ahead = None
        self.announced = False

    def begin(self, base):
        """Starts to send a KeyList."""
        self.base, self.base_sent, self.newer, self.newer_sent = base, [0, 0, 0], None, [0, 0, 0]
        self.ahead, self.announced = {}, False  # ahead: index sent by key, of the `newer` list


class Outbox:
    """The lines for one subscriber's stream."""

    def __init__(self, now, store, scopes, rate, burst, cluster=None):
        """`scopes` maps each scope to the index up to which the subscriber is complete, in `cluster` (None:
        the store's cluster). `rate` is in bytes a second, `burst` in bytes. Raises Senseless or Unusable when
        a value is invalid."""
        self.rate, self.burst = check_amount(rate, "rate"), check_amount(burst, "burst", MIN_BURST_BYTES)
        self.store = store
        self.updated_at = now
        self.credit_byte_ns = 0  # 0 at first, so that reconnecting gives no new burst
        self.positions = {}  # ScopePosition by scope
        self.pending = tuple({} for _ in LEVELS)  # by level: the scopes that have keys of it left
        self.scopes_to_confirm = {}  # scopes whose `complete` has to be sent
        self.cluster = store.cluster
        self.cluster_sent = False  # whether the line that names the cluster was sent
        self.line_count = 0
        self.seen_index = store.index  # changes up to this index were taken up
        self.advanced_index = 0  # index of the last update for scopes in which nothing changed
        self.next_advance_at = now
        self.counts = dict.fromkeys(("told", "coalesced", "snapshots", "bytes", "lines"), 0)
        if cluster is not None and cluster != store.cluster:
            scopes = dict.fromkeys(check_scope_indexes(scopes), 0)
        self.start_scopes(scopes)

    # ---- inputs

    def add_scopes(self, now, scopes):
        """Adds scopes to the subscription. Scopes that it already has go on as they are."""
        more = {scope: at for scope, at in check_scope_indexes(scopes).items() if scope not in self.positions}
        if len(self.positions) + len(more) > MAX_SCOPES:
            raise Senseless(f"scopes: {len(self.positions)} and {len(more)} more; at most {MAX_SCOPES}")
        self.sync_with_store()
        self.start_scopes(more)

    def start_scopes(self, scopes):
        """Starts scopes, small ones first, so that a large one delays none."""
        for scope in sorted(check_scope_indexes(scopes), key=self.store.record_count):
            self.positions[scope] = ScopePosition(scopes[scope])
            self.refresh_scope(scope)

    # ---- decisions

    def next(self, now):
        """Returns the next line, or None when there is nothing to send or the budget is spent."""
        if now > self.updated_at:
            self.credit_byte_ns = min(
                self.burst * SECOND, self.credit_byte_ns + (now - self.updated_at) * self.rate
            )
            self.updated_at = now
        self.sync_with_store()
        if self.credit_byte_ns < self.needed_bytes() * SECOND:
            return None
        limit = min(MAX_LINE_BYTES, self.credit_byte_ns // SECOND)
        line = self.build_line(now, limit - SEAL_BYTES)
        if line is None:
            return None
        self.line_count += 1
        data = seal_line(line, self.line_count)
        self.credit_byte_ns -= len(data) * SECOND
        self.counts["lines"] += 1
        self.counts["bytes"] += len(data)
        return data

    def wake_at(self):
        """Returns the time from which `next` has a line, or None when there is nothing to send until the
        store changes."""
        self.sync_with_store()
        needed = self.needed_bytes()
        if not needed:
            return (
                max(self.next_advance_at, self.updated_at) if self.store.index > self.advanced_index else None
            )
        missing = needed * SECOND - self.credit_byte_ns
        return self.updated_at + max(-(-missing // self.rate), 0)

    # ---- what is left to send

    def sync_with_store(self):
        """Takes up what changed in the store since the last call."""
        store = self.store
        if store.cluster != self.cluster:
            self.cluster, self.cluster_sent, self.seen_index = store.cluster, False, store.index
            self.advanced_index = 0
            self.scopes_to_confirm.clear()
            for scopes in self.pending:
                scopes.clear()
            for scope in sorted(self.positions, key=store.record_count):
                self.positions[scope] = ScopePosition(0)
                self.refresh_scope(scope)
        if store.index == self.seen_index:
            return
        changed = store.changed_scopes(self.seen_index)
        for scope in list(self.positions) if changed is None else changed:
            if scope in self.positions:
                self.refresh_scope(scope)
        self.seen_index = store.index

    def refresh_scope(self, scope, from_snapshot=False):
        """Updates what is to be sent of a scope; `from_snapshot` sends all its records again. A scope in
        which the subscriber is ahead of the store has nothing to send until the store has caught up."""
        store, position = self.store, self.positions[scope]
        if position.base is None or from_snapshot:
            base = None if from_snapshot else store.list_changes(scope, position.complete)
            position.begin(base or store.list_all(scope))
        newer = store.list_changes(scope, position.base.at)
        if newer is None:  # no longer in the store's log
            position.begin(store.list_all(scope))
            newer = store.list_changes(scope, position.base.at)
        position.newer, position.newer_sent = newer, [0, 0, 0]
        whole, at, base = position.base.whole, position.base_sent, position.base.levels
        rest = at[REST] < len(base[REST])
        left = (
            at[DRAIN] < len(base[DRAIN]) or newer.levels[DRAIN],
            at[COLD] < len(base[COLD]) or newer.levels[COLD],
            rest and not whole or newer.levels[REST],
            rest and whole,
        )
        self.scopes_to_confirm.pop(scope, None)
        for scopes, some in zip(self.pending, left, strict=True):
            if some:
                scopes[scope] = None
            else:
                scopes.pop(scope, None)
        if not any(left):
            if whole or base != NO_KEYS or store.last_change(scope) > position.complete:
                self.scopes_to_confirm[scope] = None
            else:
                position.finish()

    def first_pending(self):
        """Returns what to send first as (level, scope, key, VersionedRecord, whether it comes from the
        `newer` list), or None when nothing is left."""
        for level in LEVELS:
            scopes = self.pending[level]
            while scopes:
                scope = next(iter(scopes))
                found = self.first_pending_of(scope, level)
                if found is COMPACTED:
                    self.restart_scope(scope)
                elif found is not None:
                    return level, scope, *found
                else:
                    del scopes[scope]
                    if not any(scope in other for other in self.pending):
                        self.scopes_to_confirm[scope] = None
        return None

    def first_pending_of(self, scope, level):
        """Returns (key, VersionedRecord, whether it comes from the `newer` list) of a scope, None when the
        scope has nothing left of this level, or COMPACTED when the store no longer keeps the newest record of
        a key."""
        position, store, kind = self.positions[scope], self.store, min(level, REST)
        if level != SNAPSHOT:
            keys, at = position.newer.levels[kind], position.newer_sent
            while at[kind] < len(keys):
                key = keys[at[kind]]
                record = store.newest(scope, key)
                if record is None:
                    return COMPACTED
                if position.ahead.get(key) != record.index:
                    return key, record, True
                at[kind] += 1
        if level < REST or position.base.whole == (level == SNAPSHOT):
            keys, at = position.base.levels[kind], position.base_sent
            while at[kind] < len(keys):
                key = keys[at[kind]]
                record = store.newest(scope, key)
                if record is None:
                    return COMPACTED
                if record.index <= position.base.at:
                    return key, record, False
                at[kind] += 1
                self.counts["coalesced"] += 1
        return None

    def restart_scope(self, scope):
        """Restarts a scope from a snapshot, because the store no longer keeps the newest record of a key in
        its lists."""
        for scopes in self.pending:
            scopes.pop(scope, None)
        self.refresh_scope(scope, from_snapshot=True)

    def needed_bytes(self):
        """Returns the bytes of budget that the next line needs, 0 when there is nothing to send."""
        if not self.store.index:
            return 0
        if not self.cluster_sent:
            return MIN_BUDGET_BYTES
        found = self.first_pending()
        if found is None:
            return min(MIN_BUDGET_BYTES, self.burst) if self.scopes_to_confirm else 0
        level, scope, key, record, _ = found
        size = len(encode_change(scope, key, record)) + len(scope) + 32 + SEAL_BYTES
        return size if level == DRAIN else max(size, MIN_BUDGET_BYTES)

    # ---- lines

    def build_line(self, now, room):
        """Returns the content of the next line's JSON object without its braces, or None when there is
        nothing to send. `room` is the most bytes that it may have."""
        if not self.store.index:
            return None
        if not self.cluster_sent:
            self.cluster_sent = True
            return b'"cluster":%b,"at":%d' % (encode(self.cluster), self.store.index)
        found = self.first_pending()
        if found is None and not self.scopes_to_confirm:
            self.confirm_unchanged_scopes(now)
        if found is None or found[0] == SNAPSHOT:
            for scope in self.scopes_to_confirm:
                if self.needs_announcement(scope):
                    return self.announce_snapshot(scope)
        if found is not None and self.needs_announcement(found[1]):
            return self.announce_snapshot(found[1])
        changes, complete = [], []
        room -= len(b'"changes":[],"complete":{}')
        room = self.add_changes(changes, room, (DRAIN,))
        room = self.add_complete(complete, room)
        room = self.add_changes(changes, room, LEVELS)
        self.add_complete(complete, room)
        parts = []
        if changes:
            parts.append(b'"changes":[%b]' % b",".join(changes))
        if complete:
            parts.append(b'"complete":{%b}' % b",".join(complete))
        return b",".join(parts) or None

    def needs_announcement(self, scope):
        """Returns whether a snapshot of the scope has to be announced before anything else of the scope is
        sent."""
        position = self.positions[scope]
        return position.base is not None and position.base.whole and not position.announced

    def announce_snapshot(self, scope):
        """Returns the content of a line that announces a snapshot."""
        self.positions[scope].announced = True
        self.counts["snapshots"] += 1
        return b'"snapshot":%b' % encode(scope)

    def add_changes(self, changes, room, levels):
        """Appends changes of these levels to `changes`, as many as there is room for. Returns the bytes that
        are left."""
        while (found := self.first_pending()) is not None and found[0] in levels:
            level, scope, key, record, newer = found
            change = encode_change(scope, key, record)
            if len(change) + 1 > room or self.needs_announcement(scope):
                break
            changes.append(change)
            room -= len(change) + 1
            self.counts["told"] += 1
            position, kind = self.positions[scope], min(level, REST)
            if newer:
                position.ahead[key] = record.index
                position.newer_sent[kind] += 1
            else:
                position.base_sent[kind] += 1
        return room

    def add_complete(self, complete, room):
        """Appends to `complete` how far scopes are complete. Returns the bytes that are left."""
        self.first_pending()  # updates `scopes_to_confirm`
        index = self.store.index
        for scope in list(self.scopes_to_confirm):
            entry = b"%b:%d" % (encode(scope), index)
            if len(entry) + 1 > room:
                break
            if self.needs_announcement(scope):
                continue
            complete.append(entry)
            room -= len(entry) + 1
            del self.scopes_to_confirm[scope]
            self.positions[scope].complete = index
            self.positions[scope].finish()
        return room

    def confirm_unchanged_scopes(self, now):
        """Marks scopes in which nothing changed as complete up to the store's index. Sent from time to
        time, so that after a reconnect another relay only sends the changes after this index."""
        if now < self.next_advance_at or self.store.index <= self.advanced_index:
            return
        self.next_advance_at, self.advanced_index = now + ADVANCE_INTERVAL_NS, self.store.index
        for scope, position in self.positions.items():
            if position.complete < self.store.index:
                self.scopes_to_confirm[scope] = None


def encode_change(scope, key, record):
    """Returns a change as it stands in a line."""
    return b"[%b,%b,%d,%b]" % (encode(scope), encode(key), record.index, record.raw or b"null")
