"""Rolling drains: which nodes may go now, in which order all go. Decisions alone: no I/O, no clock.

`rules.py` holds the ledger commands (the invariants are kept there, at the moment an entry is applied);
`planner.py` proposes waves; `docs/drains.md` tells why.
"""
