"""The log of one cluster as members tell it: entries that put or drop one record of a scope each. Every
record carries a stamp of its own, so that whoever sees one knows which entry it is from."""

import random

MAX_KEPT_ENTRIES = 120  # entries that are told one by one; who is further behind gets the whole state


class Log:
    """`history`: (scope, key) to [(index, record)], oldest first. `told`: index up to which members tell."""

    def __init__(self, cluster):
        self.cluster, self.entries, self.history, self.stamps = cluster, [], {}, {}
        self.keys = {}  # scope to its keys, ever
        self.touched = {}  # scope to the indexes of its changes
        self.reported_index, self.is_silent = 0, False

    @property
    def index(self):
        return len(self.entries)

    def commit(self, scope, key, record):
        """The record with its stamp in it; None drops it. Its index."""
        index = self.index + 1
        if record is not None:
            stamp = f"{self.cluster}-{index}"
            record = {**record, "stamp": stamp}
            self.stamps[stamp] = scope, key, index
        self.entries.append((scope, key, record))
        self.history.setdefault((scope, key), []).append((index, record))
        self.keys.setdefault(scope, {})[key] = True
        self.touched.setdefault(scope, []).append(index)
        if not self.is_silent:
            self.reported_index = index
        return index

    def silence(self):
        """No leader: nothing is told."""
        self.is_silent = True

    def resume(self):
        self.is_silent, self.reported_index = False, self.index

    def record_at(self, scope, key, index):
        """(index of the last change up to this index, record); (0, None) where there is none."""
        for changed, record in reversed(self.history.get((scope, key), ())):
            if changed <= index:
                return changed, record
        return 0, None

    def records_of(self, scope, index):
        """key to (index, record) of all that stands in this scope as of this index."""
        found = {}
        for key in self.keys.get(scope, ()):
            changed, record = self.record_at(scope, key, index)
            if record is not None:
                found[key] = changed, record
        return found

    def state(self, index):
        """scope to key to (index, record)."""
        return {scope: self.records_of(scope, index) for scope in sorted(self.keys)}

    def changes_since(self, index):
        """[(index, (scope, key, record))] of what is told after this index; None where that is not kept."""
        if index < self.reported_index - MAX_KEPT_ENTRIES or index > self.reported_index:
            return None
        return [(at + 1, self.entries[at]) for at in range(index, self.reported_index)]


SERVICES, INSTANCES, LARGE, SETTINGS, ZONES = 8, 10, 240, 6, 4


class Changes:
    """What is committed from second to second: restarts, drains, settings, a zone at once."""

    def __init__(self, log, seed):
        self.log, self.chance, self.number = log, random.Random(f"changes {seed}"), 0
        for number in range(SETTINGS):
            log.commit("", f"setting-{number}", {"limit": number})
        for service in range(SERVICES):
            for number in range(INSTANCES):
                log.commit(f"svc-{service}", f"i{number}", self.ready(number))
        for number in range(LARGE):
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

    def standing(self, scope):
        return [key for key, (_, _) in self.log.records_of(scope, self.log.index).items()]

    def one(self):
        """One change as on an ordinary day."""
        chance, log = self.chance, self.log
        scope = chance.choice(self.scopes())
        if not scope:
            return log.commit("", f"setting-{chance.randrange(SETTINGS)}", {"limit": chance.randrange(99)})
        size = LARGE if scope == "large" else INSTANCES
        number = chance.randrange(size + 2)
        _, record = log.record_at(scope, f"i{number}", log.index)
        if record is None:
            self.number += 1
            return log.commit(scope, f"i{number}", self.ready(number, started=self.number))
        if record["state"] == "draining":
            return log.commit(scope, f"i{number}", None if chance.random() < 0.6 else self.ready(number))
        how = chance.random()
        if how < 0.4:
            return log.commit(scope, f"i{number}", {**record, "state": "draining"})
        if how < 0.55:
            return log.commit(scope, f"i{number}", None)
        return log.commit(scope, f"i{number}", self.ready(number))

    def wave(self):
        """A zone goes: most of its instances drain at once."""
        zone = self.chance.randrange(ZONES)
        for scope in self.scopes()[2:]:
            for key in self.standing(scope):
                _, record = self.log.record_at(scope, key, self.log.index)
                if record.get("zone") == zone and record["state"] == "ready" and self.chance.random() < 0.8:
                    self.log.commit(scope, key, {**record, "state": "draining"})

    def unfit(self):
        """A setting that no gateway can use; the same setting, sound again, comes by `mend`."""
        return self.log.commit("", f"setting-{self.chance.randrange(SETTINGS)}", {"unfit": True})

    def mend(self):
        for key in self.standing(""):
            if self.log.record_at("", key, self.log.index)[1].get("unfit"):
                self.log.commit("", key, {"limit": 1})
