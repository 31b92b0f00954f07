"""Moves of a service between two clusters, each of which has its own ledger. No I/O and no clock.

`rules.py` holds the ledger commands of both clusters, `steps.py` decides what the source does next. The
gateways judge the stages of a move (`lemonlead/following`). `docs/moves.md` gives the reasons."""
