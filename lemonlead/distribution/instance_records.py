"""Turns records of a scope that describe instances into changes of the gateway's list of instances. They are
combined with discovery's list in the same way as a followed ledger's nodes (`following/merge.py`): an
instance gets attempts only if discovery lists it as ready and its record, if there is one, has the state
"up"."""

from ..following.merge import Merge
from ..following.responses import LedgerUpdate
from ..start_settings import ms_to_ns

INSTANCE = "instance/"  # prefix of a record's key; the instance's id follows
STATES = {"up": {}, "draining": {"out": "relay"}, "removed": {"state": "drained"}}


def parse_record(key, record, cold=0):
    """Returns a record in the form that `Merge` reads, or None for a removed one. Raises ValueError, which
    says what was expected, when the record can't be used. `cold` is the time in nanoseconds for which an
    instance counts as cold after its start."""
    if not key.startswith(INSTANCE) or key == INSTANCE:
        raise ValueError(f"key {key}: this gateway uses {INSTANCE}ID alone")
    if record is None:
        return None
    state, started = record.get("state"), record.get("started_ms", 0)
    if type(state) is not str or state not in STATES:
        raise ValueError(f"{key}.state: {state!r}; expected one of {', '.join(STATES)}"[:200])
    if type(started) is not int or started < 0:
        raise ValueError(f"{key}.started_ms: {started!r}; expected milliseconds, a whole number"[:200])
    return {**STATES[state], "warm": ms_to_ns(started) + cold if started else 0}


class InstanceRecords:
    """Puts instance records in force through the one call that updates the balancer's list of instances. An
    id belongs to one scope; a record of the same id in another scope is refused."""

    def __init__(self, dispatcher, cold):
        self.dispatcher, self.merge, self.cold_time = dispatcher, Merge(), cold
        self.scope_by_id = {}
        self.update_count = 0  # updates of the balancer

    def begin(self, discovery, lines, addresses):
        """Starts with discovery's list as the balancer has it (`lines`, `addresses`). Called under the
        dispatcher's lock."""
        self.discovery, discovery.merge = discovery, self.merge
        self.merge.listed(lines, addresses, True)

    def put(self, changes):
        """Puts changes [(scope, key, record or None)] in force. Returns those that can't be used as [(scope,
        key, reason)]. Raises RuntimeError when the balancer wasn't updated."""
        refused, changed_nodes = [], []
        for scope, key, record in changes:
            try:
                node, id = parse_record(key, record, self.cold_time), key[len(INSTANCE) :]
                if self.scope_by_id.get(id, scope) != scope:
                    raise ValueError(
                        f"{key}: scope {self.scope_by_id[id]!r} has it; expected in one scope alone"
                    )
            except ValueError as error:
                refused.append((scope, key, str(error)))
                continue
            if node is None:
                self.scope_by_id.pop(id, None)
            else:
                self.scope_by_id[id] = scope
            changed_nodes.append(("nodes", id, node))
        if changed_nodes:
            before = self.update_count
            self.dispatcher.handle(self.apply, changed_nodes)
            if self.update_count == before:
                raise RuntimeError("the balancer could not be updated")
        return refused

    def apply(self, now, changed_nodes):
        """Updates the balancer. Called under the dispatcher's lock. Late and repeated changes never get here,
        because `subscriber.py` drops them, so each change counts as the newest."""
        lines, addresses = self.merge.apply_update(now, LedgerUpdate(0, changed_nodes, ledger_time=now))
        if lines:
            self.discovery.publish(now, lines, addresses, False, False)
        self.update_count += 1
