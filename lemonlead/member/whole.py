"""The ledger as this program has it: the rules, records and duties of each module that takes part."""

from ..ledger import capacity, followers, seating
from ..ledger.state import Ledger

MODULES = [capacity, followers, seating]  # each: RULES, KINDS; where it has them INNER and DUTIES


def ledger():
    rules, kinds, inner = {}, {}, []
    for module in MODULES:
        rules.update(module.RULES)
        kinds.update(module.KINDS)
        inner += getattr(module, "INNER", ())
    return Ledger(rules, kinds, inner)


def duties(desk):
    """What a leader does unasked: `DUTIES` of a module are classes that are given the desk."""
    return [duty(desk) for module in MODULES for duty in getattr(module, "DUTIES", ())]
