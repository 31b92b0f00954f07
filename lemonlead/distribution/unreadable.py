"""Records of the ledger that a relay can't pass on, because their names or contents are invalid here.

The other records are passed on. While there are unreadable ones the relay isn't ready, and doesn't say that
their scopes are in force. An unreadable record counts until the ledger drops it or has a readable one."""

from .faults import Senseless, TooLarge
from .records import check_scope_name
from .store import check_record


class UnreadableRecords:
    """Passes a relay's state on to its store. Holds the unreadable records of that state, which are at most
    as many as the ledger has entries."""

    def __init__(self, store):
        self.store = store
        self.reasons = {}  # by (scope, key)

    def has_scope(self, scope):
        """Returns whether a record of this scope is unreadable."""
        return any(scope == other for other, _ in self.reasons)

    def replace(self, cluster, index, scopes):
        """Passes the whole state on, as `Store.replace`. Raises Older, or Senseless for the index."""
        try:
            self.store.replace(cluster, index, scopes)
        except (Senseless, TooLarge):
            self.store.replace(cluster, index, self.readable_state(index, scopes))
        else:
            self.reasons = {}

    def apply(self, index, changes):
        """Passes on what one ledger entry changed, as `Store.apply`. Raises Older, or Senseless for the
        index."""
        if self.reasons:
            return self.store.apply(index, self.readable_changes(index, changes))
        try:
            self.store.apply(index, changes)
        except (Senseless, TooLarge):
            self.store.apply(index, self.readable_changes(index, changes))

    def readable_changes(self, index, changes):
        """Returns those of an entry's changes [(scope, key, record or None)] that can be passed on."""
        readable = []
        for scope, key, record in changes:
            self.reasons.pop((scope, key), None)
            if self.is_readable(scope, key, index, record, index):
                readable.append((scope, key, record))
        return readable

    def readable_state(self, index, scopes):
        """Returns what of a whole state {scope: {key: (index, record)}} can be passed on."""
        self.reasons = {}
        readable = {}
        for scope, records in scopes.items():
            kept = {
                key: (at, record)
                for key, (at, record) in records.items()
                if self.is_readable(scope, key, at, record, index)
            }
            if kept:
                readable[scope] = kept
        return readable

    def is_readable(self, scope, key, at, record, max_index):
        """Returns whether a record can be passed on, and remembers why not unless it is gone."""
        try:
            check_scope_name(scope, "scope")
            check_record(scope, key, at, record, max_index)
        except (Senseless, TooLarge) as error:
            if record is not None:
                self.reasons[scope, key] = error.says
            return False
        return True
