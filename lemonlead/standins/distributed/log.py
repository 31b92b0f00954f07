"""The log of one cluster as its members report it. Each entry puts or drops one record of a scope. Each
record has its own stamp, which shows the entry that it is from."""

import random

MAX_KEPT_ENTRIES = 120  # reported one by one; a relay that is further behind gets the whole state


class Log:
    """`history`: (scope, key) to [(index, record)], oldest first. `stamps`: stamp to (scope, key, index).
    `reported_index`: the index up to which members report. `is_silent`: whether they report nothing."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.entries = []
        self.history = {}
        self.stamps = {}
        self.keys = {}  # scope to all keys that it ever had
        self.changed_indexes = {}  # scope to the indexes of its changes
        self.reported_index, self.is_silent = 0, False

    @property
    def index(self):
        return len(self.entries)

    def commit(self, scope, key, record):
        """Appends a record with a stamp, or the removal of the record if it is None. Returns the index."""
        index = self.index + 1
        if record is not None:
            stamp = f"{self.cluster}-{index}"
            record = {**record, "stamp": stamp}
            self.stamps[stamp] = scope, key, index
        self.entries.append((scope, key, record))
        self.history.setdefault((scope, key), []).append((index, record))
        self.keys.setdefault(scope, {})[key] = True
        self.changed_indexes.setdefault(scope, []).append(index)
        if not self.is_silent:
            self.reported_index = index
        return index

    def silence(self):
        """Reports nothing, as without a leader, until `resume`."""
        self.is_silent = True

    def resume(self):
        self.is_silent, self.reported_index = False, self.index

    def record_at(self, scope, key, index):
        """Returns (index, record) of the last change up to this index; (0, None) if there is none."""
        for changed, record in reversed(self.history.get((scope, key), ())):
            if changed <= index:
                return changed, record
        return 0, None

    def records_of(self, scope, index):
        """Returns the records of a scope as of this index: key to (index, record)."""
        found = {}
        for key in self.keys.get(scope, ()):
            changed, record = self.record_at(scope, key, index)
            if record is not None:
                found[key] = changed, record
        return found

    def state(self, index):
        """Returns the state as of this index: scope to key to (index, record)."""
        return {scope: self.records_of(scope, index) for scope in sorted(self.keys)}

    def changes_since(self, index):
        """Returns the reported entries after this index as [(index, (scope, key, record))]. None if they
        are not all kept."""
        if index < self.reported_index - MAX_KEPT_ENTRIES or index > self.reported_index:
            return None
        return [(at + 1, self.entries[at]) for at in range(index, self.reported_index)]


SERVICES = 8
INSTANCES = 10  # of each service
LARGE_INSTANCES = 240  # of the scope `large`
SETTINGS = 6
ZONES = 4


class Changes:
    """Commits changes to a log: restarts, drains, settings, and the drain of a whole zone."""

    def __init__(self, log, seed):
        self.log, self.rng, self.number = log, random.Random(f"changes {seed}"), 0
        for number in range(SETTINGS):
            log.commit("", f"setting-{number}", {"limit": number})
        for service in range(SERVICES):
            for number in range(INSTANCES):
                log.commit(f"svc-{service}", f"i{number}", self.ready(number))
        for number in range(LARGE_INSTANCES):
            log.commit("large", f"i{number}", self.ready(number))

    def ready(self, number, started=0):
        return {
            "address": f"10.{number % ZONES}.0.{number}:80",
            "zone": number % ZONES,
            "state": "ready",
            "started_ms": started,
        }

    def scopes(self):
        return ["", "large", *(f"svc-{number}" for number in range(SERVICES))]

    def current_keys(self, scope):
        return [key for key, (_, _) in self.log.records_of(scope, self.log.index).items()]

    def make_change(self):
        """Commits one ordinary change."""
        rng, log = self.rng, self.log
        scope = rng.choice(self.scopes())
        if not scope:
            return log.commit("", f"setting-{rng.randrange(SETTINGS)}", {"limit": rng.randrange(99)})
        size = LARGE_INSTANCES if scope == "large" else INSTANCES
        number = rng.randrange(size + 2)
        _, record = log.record_at(scope, f"i{number}", log.index)
        if record is None:
            self.number += 1
            return log.commit(scope, f"i{number}", self.ready(number, started=self.number))
        if record["state"] == "draining":
            return log.commit(scope, f"i{number}", None if rng.random() < 0.6 else self.ready(number))
        how = rng.random()
        if how < 0.4:
            return log.commit(scope, f"i{number}", {**record, "state": "draining"})
        if how < 0.55:
            return log.commit(scope, f"i{number}", None)
        return log.commit(scope, f"i{number}", self.ready(number))

    def wave(self):
        """Drains most instances of a zone at once."""
        zone = self.rng.randrange(ZONES)
        for scope in self.scopes()[2:]:
            for key in self.current_keys(scope):
                _, record = self.log.record_at(scope, key, self.log.index)
                if record.get("zone") == zone and record["state"] == "ready" and self.rng.random() < 0.8:
                    self.log.commit(scope, key, {**record, "state": "draining"})

    def unfit(self):
        """Commits a setting that no gateway can use. `repair_settings` commits it with a usable value."""
        return self.log.commit("", f"setting-{self.rng.randrange(SETTINGS)}", {"unfit": True})

    def repair_settings(self):
        for key in self.current_keys(""):
            if self.log.record_at("", key, self.log.index)[1].get("unfit"):
                self.log.commit("", key, {"limit": 1})
