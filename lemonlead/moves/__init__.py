"""Moves of a service between two clusters, each with a ledger of its own. Decisions alone: no I/O, no clock.

`rules.py` holds the ledger commands of both sides; `steps.py` says what a source does next. The stages of a
shift are judged by the gateways (`lemonlead/following/sides.py`); `docs/moves.md` tells why."""
