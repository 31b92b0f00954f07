"""The ledger as this program has it: the rules, records and duties of each package that takes part."""

from ..drains import rules as drains
from ..drains.leader_task import DrainTask
from ..ledger import capacity, entries, followers, membership
from ..ledger.state import Ledger
from ..moves import rules as moves
from ..moves.steps import MoveTask

MODULES = (capacity, entries, followers, membership, drains, moves)  # RULES, KINDS; some INNER
SHOWN = {"drains": drains.describe_drains}  # parts that are asked for in another form than they are kept in


def ledger():
    rules, kinds, inner = {}, {}, []
    for module in MODULES:
        rules.update(module.RULES)
        kinds.update(module.KINDS)
        inner += getattr(module, "INNER", ())
    return Ledger(rules, kinds, inner)


def duties(dispatcher, cluster, clusters, seed):
    """What a leader does unasked. `cluster`: this one's name; `clusters`: names of those it can call."""
    return [
        membership.Membership(dispatcher),
        followers.FollowerExpiry(dispatcher),
        DrainTask(),
        MoveTask(cluster, clusters, seed),
    ]


def shown(state, part):
    """A part's records by key, as they are told to whoever asks for the part."""
    return SHOWN[part](state) if part in SHOWN else state.part(part)
