"""Rolling drains: which nodes may go now, in which order all go. Decisions alone: no I/O, no clock.

`rules.py` holds the ledger commands (the invariants are kept there, at the moment an entry is applied),
`ground.py` what may not be broken, `feasible.py` what can never be done, `planner.py` waves, `duty.py` what
the leader proposes next; `docs/drains.md` tells why.
"""
