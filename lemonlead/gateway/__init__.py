"""The gateway: runs the balancer on real sockets, with its own threads and protocol parsers."""
