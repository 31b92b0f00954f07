"""Merges discovery's list of instances with the ledger's state of the nodes of the same names.

The last state of each source is kept, and the list for the balancer is a function of both, so neither source
can undo the other's drain, even when updates come late, twice or in older versions. An instance gets attempts
only if discovery lists it as ready, it has no permit, and the ledger has it as serving or catching up."""

from collections import deque
from dataclasses import dataclass, replace

from ..interface import DRAINING, GONE, READY
from .responses import MAX_RECORDS

MAX_LEFT_CLUSTERS = 64  # replaced clusters that are remembered
UP_STATES = ("serving", "catching_up")


@dataclass(frozen=True, slots=True)
class LedgerInstance:
    """The ledger's last state of a node. `out` is whether a drain holds it out of service. `warm` is the
    ledger time at which it can take full load; it grows each time the node comes back. `returned_at` is when
    it last came back by this gateway's clock, 0 if that wasn't seen."""

    state: str = "serving"
    out: bool = False
    warm: int = 0
    returned_at: int = 0


IN_SERVICE = LedgerInstance()


class Merge:
    """The state of both sources."""

    def __init__(self):
        self.lines, self.addresses = {}, {}  # by id, as discovery last listed them
        self.nodes = {}  # LedgerInstance by node; nodes that equal IN_SERVICE are left out
        self.permits = set()  # nodes with a permit
        self.applied_index = -1  # older updates are ignored
        # The cluster whose state this is, and those that it replaced.
        self.cluster, self.left_clusters = "", deque(maxlen=MAX_LEFT_CLUSTERS)

    def listed(self, lines, addresses, whole):
        """Takes discovery's list (`whole`), or changes of it. Returns the lines and addresses as merged with
        the ledger's state."""
        if whole:
            self.lines, self.addresses = {}, {}
        for line in lines:
            self.lines[line.id], self.addresses[line.id] = line, addresses.get(line.id, (None, 0))
        changed = self.merged_lines([line.id for line in lines])
        for line in lines:
            if line.state == GONE:
                self.lines.pop(line.id, None)
                self.addresses.pop(line.id, None)
        return changed

    def apply_update(self, now, update):
        """Takes a LedgerUpdate. Returns the lines and addresses that it changes, or None if it is too old.
        `now` is in the clock of the instances' start times."""
        if (
            update.cluster != self.cluster
            and not self.accept_cluster(update)
            or update.index < self.applied_index
        ):
            return None
        before = {id: self.merged_line(id) for id in self.affected(update) if id in self.lines}
        known = dict(self.nodes)
        for part in update.whole:
            if part == "nodes":
                self.nodes = {}
            elif part == "permits":
                self.permits = set()
        for part, key, record in update.changes:
            if part == "permits":
                (self.permits.discard if record is None else self.permits.add)(key)
            elif part == "nodes":
                self.update_node(now, key, record, known.get(key, IN_SERVICE), update.ledger_time)
        if len(self.permits) > MAX_RECORDS or len(self.nodes) > MAX_RECORDS:
            raise ValueError("more nodes than a ledger may have")
        self.applied_index = update.index
        return self.merged_lines([id for id, line in before.items() if self.merged_line(id) != line])

    def accept_cluster(self, update):
        """Returns whether an update of a newly formed cluster counts. The first one must be the whole state,
        whatever its index; after it, no update of an earlier cluster counts. `warm` times of the earlier
        cluster are dropped, because they mean nothing in the new one."""
        if update.cluster in self.left_clusters or not {"nodes", "permits"} <= set(update.whole):
            return False
        if self.cluster:
            self.left_clusters.append(self.cluster)
        self.cluster, self.applied_index = update.cluster, -1
        self.nodes = {name: replace(node, warm=0) for name, node in self.nodes.items()}
        return True

    def affected(self, update):
        """Returns the ids of the instances that an update may change."""
        if update.whole:
            return list(self.lines)
        return {key for part, key, _ in update.changes if part in ("nodes", "permits")}

    def update_node(self, now, name, record, known, ledger_time):
        """Takes the record of a node. `known` is its state before this update: the node has come back since
        if `warm` has grown. That counts unless the node is known to be warm again."""
        if record is None:
            self.nodes.pop(name, None)
            return
        warm, returned_at = record.get("warm", 0), known.returned_at
        first = self.applied_index < 0 and ledger_time is None  # then the time of its return isn't known
        if warm > known.warm and not first and (ledger_time is None or warm > ledger_time):
            returned_at = now
        node = LedgerInstance(record.get("state", "serving"), bool(record.get("out")), warm, returned_at)
        if node == IN_SERVICE:
            self.nodes.pop(name, None)
        else:
            self.nodes[name] = node

    def merged_line(self, id):
        """Returns discovery's line of an instance, merged with the ledger's state."""
        line, node = self.lines[id], self.nodes.get(id, IN_SERVICE)
        state = line.state
        if state == READY and node.state not in UP_STATES:
            state = GONE
        elif state == READY and (node.out or id in self.permits):
            state = DRAINING
        started = max(line.started, node.returned_at)
        if (state, started) == (line.state, line.started):
            return line
        return replace(line, state=state, started=started)

    def merged_lines(self, ids):
        """Returns the merged lines and addresses of these instances."""
        lines = [self.merged_line(id) for id in ids]
        addresses = {
            line.id: (self.addresses[line.id][0] if line.state == READY else None, line.started)
            for line in lines
        }
        return lines, addresses

    def held_back(self):
        """Returns how many instances are ready by discovery but not by the ledger."""
        return sum(line.state == READY != self.merged_line(id).state for id, line in self.lines.items())
