"""Stand-ins for the programs that a gateway talks to: instances, discovery, the platform and clients, on
loopback.

They follow the published protocol and serve tests, `lemonlead try` and benchmarks. The gateway itself imports
nothing from here. Each stand-in counts the requests it received and its actions, and fails on demand. Code
that starts a stand-in closes it. `fleet.gateway` starts a gateway together with its stand-ins and ends them
all."""
