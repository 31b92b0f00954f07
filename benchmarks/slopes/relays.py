"""The slopes of a relay and of a gateway that subscribes there: the deciding code alone, its lines included,
without HTTP."""

import statistics

from .gateways import kept, spent

S = 1_000_000_000
SCOPES, CHANGES = 1100, 30
UNBOUND = 10**12  # bytes a second: no budget holds anything back


def record(n, state="up"):
    """An instance as discovery lists it."""
    return {
        "addr": f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:7000",
        "zone": f"zone-{n % 16}",
        "kind": "std",
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
        "revision_no": 1,
    }


def filled(records, scopes=SCOPES):
    """A store of so many records, spread evenly over the scopes."""
    from lemonlead.distribution.store import Store

    store = Store("c")
    state = {f"svc-{s}": {} for s in range(scopes)}
    for n in range(records):
        state[f"svc-{n % scopes}"][f"i-{n}"] = (n + 1, record(n))
    store.replace("c", records + 1, state)
    return store


def lines(outbox, now):
    """All that it tells at once; no budget holds it back."""
    told = []
    while (line := outbox.next(now)) is not None:
        told.append(line)
    return told


def outbox(store, scopes):
    from lemonlead.distribution.outbox import Outbox

    return Outbox(-1_000_000_000, store, scopes, UNBOUND, UNBOUND)  # by the moment 0 it has its whole burst


def subscriber(scopes):
    from lemonlead.distribution.subscriber import Subscriber

    made = Subscriber("g1", "r1", scopes, [("relay-1", "r1", "127.0.0.1:1")], 1)
    now = 0
    while made.next(now) is None:  # it waits for its turn
        now = made.wake_at()
    return made, now


def store(size):
    made, memory = kept(lambda: filled(size))

    def apply(n):
        at = made.index
        made.apply(at + 1, [(f"svc-{at % SCOPES}", f"i-{at % size}", record(at, "draining"))])

    took = min(spent(2000, apply) for _ in range(5))
    return {"relay memory": memory, "relay apply": took * 1e6}


def subscribers(size):
    """One change told to so many subscribers of its scope."""
    made = filled(23_000)
    scopes = {f"svc-{n}": made.index for n in range(20)}

    def subscribed():
        boxes = [outbox(made, dict(scopes)) for _ in range(size)]
        for box in boxes:
            lines(box, 0)
        return boxes

    (boxes, memory), sent = kept(subscribed), 0

    def change(_):
        nonlocal sent
        n = made.index
        made.apply(n + 1, [(f"svc-{n % 20}", f"i-{n % 20}", record(n, "draining"))])
        for box in boxes:
            sent += sum(map(len, lines(box, n * S)))

    took = statistics.median(spent(1, change) for _ in range(CHANGES))
    sent /= CHANGES
    return {"relay change": took * 1e3, "relay change bytes": sent, "relay subscribers memory": memory}


def scopes(size):
    """A snapshot of one scope, sent and taken in."""
    made = filled(size, 1)
    told = lines(outbox(made, {"svc-0": 0}), 0)  # what the store keeps for all alike is made here
    sending = min(spent(1, lambda n: lines(outbox(made, {"svc-0": 0}), 0)) for _ in range(5))

    def takes(_=None):
        gateway, now = subscriber({"svc-0": 0})
        for line in told:
            gateway.receive_line(now, line)
        return gateway

    taking = min(spent(1, takes) for _ in range(5))
    gateway, memory = kept(takes)
    assert len(gateway.records["svc-0"]) == size, len(gateway.records["svc-0"])
    return {
        "relay snapshot": sum(map(len, told)),
        "relay snapshot CPU": sending * 1e3,
        "subscriber snapshot CPU": taking * 1e3,
        "subscriber memory": memory,
    }


def changes(size):
    """So many changes of a gateway's scopes, one a line, taken in."""
    made = filled(23_000)
    names = {f"svc-{n}": 0 for n in range(20)}
    box, first = outbox(made, dict(names)), []
    first += lines(box, 0)
    told = []
    for n in range(size):
        changed = record(n, "draining" if n % 2 else "up")
        made.apply(made.index + 1, [(f"svc-{n % 20}", f"i-{n % 20}", changed)])
        told += lines(box, (n + 1) * S)

    def takes():
        gateway, now = subscriber(dict(names))
        for line in first:
            gateway.receive_line(now, line)
        return spent(1, lambda n: [gateway.receive_line(now, line) for line in told])

    took = min(takes() for _ in range(5))
    return {"subscriber changes": took * 1e3, "subscriber changes bytes": sum(map(len, told))}
