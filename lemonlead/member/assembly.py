"""Assembles the ledger of this program: the rules, records and leader tasks of each package that takes
part."""

from ..drains import rules as drains
from ..drains.leader_task import DrainTask
from ..ledger import capacity, entries, followers, membership
from ..ledger.state import Ledger
from ..moves import holds
from ..moves import rules as moves
from ..moves.steps import MoveTask

MODULES = (
    capacity,
    entries,
    followers,
    membership,
    drains,
    moves,
    holds,
)  # each has RULES; some have KINDS and INNER
DESCRIBE = {
    "drains": drains.describe_drains
}  # parts that are answered in another form than they are stored in


def make_ledger():
    """Returns a `Ledger` with the rules of all modules."""
    rules, kinds, inner = {}, {}, []
    for module in MODULES:
        rules.update(module.RULES)
        kinds.update(getattr(module, "KINDS", {}))
        inner += getattr(module, "INNER", ())
    return Ledger(rules, kinds, inner)


def make_leader_tasks(dispatcher, cluster, clusters, seed):
    """Returns the tasks that a leader does by itself. `cluster`: the name of its own cluster; `clusters`: the
    names of those that it can call."""
    return [
        membership.Membership(dispatcher),
        followers.FollowerExpiry(dispatcher),
        DrainTask(),
        MoveTask(cluster, clusters, seed),
    ]


def describe_part(state, part):
    """Returns the records of a part by key, in the form in which they are answered over HTTP."""
    return DESCRIBE[part](state) if part in DESCRIBE else state.part(part)
