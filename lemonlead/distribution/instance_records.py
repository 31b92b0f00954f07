"""Records of a scope that name instances, as words on the gateway's list of instances: beside discovery's, as
the ledger's where one is followed (`following/merge.py`). An instance gets attempts only where discovery has
it ready and its record, where there is one, has it up."""

from ..following.merge import Merge
from ..following.responses import LedgerUpdate
from ..start_settings import ms_to_ns

INSTANCE = "instance/"  # before an instance's id, as the record's key
WORDS = {"up": {}, "draining": {"out": "relay"}, "removed": {"state": "drained"}}


def word(key, record, cold=0):
    """A record as `Merge` reads it; ValueError, with what was expected, where it can't be used. `cold`:
    nanoseconds for which an instance is cold."""
    if not key.startswith(INSTANCE) or key == INSTANCE:
        raise ValueError(f"key {key}: this gateway uses {INSTANCE}ID alone")
    if record is None:
        return None
    state, started = record.get("state"), record.get("started_ms", 0)
    if type(state) is not str or state not in WORDS:
        raise ValueError(f"{key}.state: {state!r}; expected one of {', '.join(WORDS)}"[:200])
    if type(started) is not int or started < 0:
        raise ValueError(f"{key}.started_ms: {started!r}; expected milliseconds, a whole number"[:200])
    return {**WORDS[state], "warm": ms_to_ns(started) + cold if started else 0}


class InstanceRecords:
    """Puts them in force through the one call by which the balancer learns of instances. An id is of one
    scope: another that names it too is refused."""

    def __init__(self, dispatcher, cold):
        self.dispatcher, self.merge, self.cold = dispatcher, Merge(), cold
        self.of, self.lines = {}, 0  # id to scope; lines told

    def begin(self, discovery, lines, addresses):
        """`lines`, `addresses`: the list as told before. Under the dispatcher's lock."""
        self.discovery, discovery.merge = discovery, self.merge
        self.merge.listed(lines, addresses, True)

    def put(self, changes):
        """Changes as a Driver hands them on; what can't be used, likewise."""
        refused, words = [], []
        for scope, key, record in changes:
            try:
                said, id = word(key, record, self.cold), key[len(INSTANCE) :]
                if self.of.get(id, scope) != scope:
                    raise ValueError(f"{key}: scope {self.of[id]!r} has it; expected in one scope alone")
            except ValueError as error:
                refused.append((scope, key, str(error)))
                continue
            if said is None:
                self.of.pop(id, None)
            else:
                self.of[id] = scope
            words.append(("nodes", id, said))
        if words:
            before = self.lines
            self.dispatcher.handle(self.heard, words)
            if self.lines == before:
                raise RuntimeError("the balancer could not be told")
        return refused

    def heard(self, now, words):
        """Under the dispatcher's lock. What is late or repeated never comes here: `subscriber.py` sees to
        it, so each word counts as the newest."""
        lines, addresses = self.merge.apply_update(now, LedgerUpdate(0, words, ledger_time=now))
        if lines:
            self.discovery.publish(now, lines, addresses, False, False)
        self.lines += 1
