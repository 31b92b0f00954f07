"""Stand-ins for all that a gateway meets: instances, discovery, the platform and clients, on loopback alone.

Written from the published protocol, for tests, for `lemonlead try` and for what measures the gateway. Nothing
here is imported by the gateway. Each counts what it was asked and what it did, fails on demand, and is closed
by whoever started it; `fleet.gateway` starts a gateway among them and ends all of it."""
