"""Distribution of ledger state to gateways: by scope, incrementally, rate limited and acknowledged. The
package is imported only when the settings configure it.

Relays stand between the ledger's members, which hold the replicated log, and the gateways. A relay holds no
durable state and can be lost at any time. In a relay, `store.py` holds the state as of one ledger index,
`outbox.py` decides which line one subscriber receives next within its byte budget, and `acknowledgements.py`
tracks what subscribers have in force. In a gateway, `subscriber.py` decides which relay to connect to, what
to put in force and what to acknowledge. `records.py` defines the messages that relays and gateways exchange;
`faults.py` defines the errors.

The modules listed in `DECIDES` do no I/O and read no clock: times are passed in as nanoseconds of a monotonic
clock and are never stored beyond the process. These modules decide what is sent, when and in which order.
They don't decide what is true (the ledger does) or where a request goes (the gateway's balancer does). A
gateway never goes back to older state, whether messages are late, repeated or sent by a relay that lags
behind."""
