"""A simulated world in which the state of a log reaches gateways through relays. The relays and gateways
run the real decision modules of `lemonlead/distribution`, and exchange their lines as bytes. The code under
test imports nothing from here.

`log.py` holds the committed entries; `links.py` carries streams and calls; `relays.py` and `gateways.py` do
what the real drivers do; `schedules.py` draws and plays schedules of injected faults, with the types of
`simulated/`; `checks.py` holds the invariant checkers, which share no code with what they check.
"""
