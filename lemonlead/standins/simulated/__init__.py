"""A simulated world: many members of one or more clusters in one process, with seeded clock, network and
disks. What runs in it are the very dispatchers that a process hosts; nothing here is imported by them.

`world.py` holds the clock and what happens when; `hosts.py` a machine with one member on it; `network.py` and
`disks.py` what carries and keeps its bytes; `clients.py` who asks; `schedules.py` draws, plays and shrinks
lists of troubles; `checks.py` and `history.py` judge what was seen, and share no code with what they judge.
"""
