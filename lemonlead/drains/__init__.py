"""Rolling drains: which nodes may go now, and in which order all of them go. No I/O and no clock.

`rules.py` holds the ledger commands and checks the invariants when an entry is applied. `constraints.py`
computes what a drain must not violate now, `feasibility.py` what makes a drain impossible from the start,
`planner.py` the waves, `request_builder.py` the input of the planner, and `leader_task.py` what the leader
proposes next. `docs/drains.md` gives the reasons.
"""
