"""The ledger: what the members of a cluster promise together. Decisions alone: no I/O, no clock, no thread.

`records.py` names what passes between the parts; `replica.py` decides what is committed (Raft); `state.py`
is the one function from state and command to state and answer; `faults.py` holds the errors.
`docs/cluster.md` tells why."""
