"""A simulated world: many members of one or more clusters in one process, with a seeded clock, network and
disks. The members run the same dispatchers that a real process hosts; the code under test imports nothing
from here.

`world.py` holds the clock and the event queue; `hosts.py` a machine with one member on it; `network.py` and
`disks.py` the simulated network and disks; `clients.py` the clients and the operator; `schedules.py` draws,
plays and shrinks lists of injected faults; `checks.py` and `history.py` hold the invariant checkers, which
share no code with what they check. `whole.py` plays two clusters with gateways and nodes, which
`whole_checks.py` checks.
"""
