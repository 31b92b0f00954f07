"""The ledger: the state that the members of a cluster replicate. Pure decision code: no I/O, clock or thread.

`records.py` has the types that pass between the modules. `replica.py` decides what is committed (Raft).
`state.py` computes a new state and an answer from a state and a command. `faults.py` has the errors.
`docs/cluster.md` gives the design and its reasons.

Comments such as (Raft, 3.10) refer to sections of Ongaro's dissertation, "Consensus: Bridging Theory and
Practice".
"""
