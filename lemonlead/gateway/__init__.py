"""The gateway: the balancer on real sockets, with threads and parsers of its own."""
