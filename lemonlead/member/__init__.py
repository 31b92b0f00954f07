"""One member of a cluster as a process: its folder on disk, its connections to other members, its HTTP
server.

This package makes no decisions. It reads, writes, connects and keeps time for `lemonlead.ledger`,
`lemonlead.drains` and `lemonlead.moves`."""
