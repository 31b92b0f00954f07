"""One member of a cluster as a process: its disk, its peers, its door to operators. It decides nothing: it
reads, writes, connects and keeps time for `lemonlead.ledger`, `lemonlead.drains` and `lemonlead.moves`."""
