"""Measures a relay, and a gateway that subscribes there, with their encoded lines but without HTTP."""

import statistics

from .gateways import cpu_per_call, traced_memory

NS_PER_SECOND = 1_000_000_000
SCOPES, CHANGES = 1100, 30
UNLIMITED = 10**12  # bytes a second; no budget delays anything


def record(n, state="up"):
    """Returns an instance record as discovery has it."""
    return {
        "addr": f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:7000",
        "zone": f"zone-{n % 16}",
        "kind": "std",
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
        "revision_no": 1,
    }


def filled_store(records, scopes=SCOPES):
    """Returns a store with this many records, spread evenly over the scopes."""
    from lemonlead.distribution.store import Store

    store = Store("c")
    state = {f"svc-{s}": {} for s in range(scopes)}
    for n in range(records):
        state[f"svc-{n % scopes}"][f"i-{n}"] = (n + 1, record(n))
    store.replace("c", records + 1, state)
    return store


def take_lines(outbox, now):
    """Returns all lines that the outbox has to send at this time."""
    lines = []
    while (line := outbox.next(now)) is not None:
        lines.append(line)
    return lines


def make_outbox(store, scopes):
    from lemonlead.distribution.outbox import Outbox

    # Its time starts at -1 s, so that its whole burst is available at time 0.
    return Outbox(-1_000_000_000, store, scopes, UNLIMITED, UNLIMITED)


def make_subscriber(scopes):
    """Returns a subscriber whose first request is due, and the time of that (ns)."""
    from lemonlead.distribution.subscriber import Subscriber

    subscriber = Subscriber("g1", "r1", scopes, [("relay-1", "r1", "127.0.0.1:1")], 1)
    now = 0
    while subscriber.next(now) is None:
        now = subscriber.wake_at()
    return subscriber, now


def store(size):
    """Measures the memory of a store with this many records, and a change of one."""
    relay_store, memory = traced_memory(lambda: filled_store(size))

    def apply(n):
        index = relay_store.index
        relay_store.apply(
            index + 1, [(f"svc-{index % SCOPES}", f"i-{index % size}", record(index, "draining"))]
        )

    seconds = min(cpu_per_call(2000, apply) for _ in range(5))
    return {"relay memory": memory, "relay apply": seconds * 1e6}


def subscribers(size):
    """Measures a change that is sent to this many subscribers of its scope."""
    relay_store = filled_store(23_000)
    scopes = {f"svc-{n}": relay_store.index for n in range(20)}

    def make_outboxes():
        outboxes = [make_outbox(relay_store, dict(scopes)) for _ in range(size)]
        for outbox in outboxes:
            take_lines(outbox, 0)
        return outboxes

    (outboxes, memory), sent_bytes = traced_memory(make_outboxes), 0

    def change(_):
        nonlocal sent_bytes
        n = relay_store.index
        relay_store.apply(n + 1, [(f"svc-{n % 20}", f"i-{n % 20}", record(n, "draining"))])
        for outbox in outboxes:
            sent_bytes += sum(map(len, take_lines(outbox, n * NS_PER_SECOND)))

    seconds = statistics.median(cpu_per_call(1, change) for _ in range(CHANGES))
    sent_bytes /= CHANGES
    return {
        "relay change": seconds * 1e3,
        "relay change bytes": sent_bytes,
        "relay subscribers memory": memory,
    }


def scopes(size):
    """Measures a snapshot of one scope with this many records: sending and applying it."""
    relay_store = filled_store(size, 1)
    # This first call also builds what the store caches for all outboxes.
    lines = take_lines(make_outbox(relay_store, {"svc-0": 0}), 0)
    send_seconds = min(
        cpu_per_call(1, lambda n: take_lines(make_outbox(relay_store, {"svc-0": 0}), 0)) for _ in range(5)
    )

    def apply_snapshot(_=None):
        gateway, now = make_subscriber({"svc-0": 0})
        for line in lines:
            gateway.receive_line(now, line)
        return gateway

    apply_seconds = min(cpu_per_call(1, apply_snapshot) for _ in range(5))
    gateway, memory = traced_memory(apply_snapshot)
    assert len(gateway.records["svc-0"]) == size, len(gateway.records["svc-0"])
    return {
        "relay snapshot": sum(map(len, lines)),
        "relay snapshot CPU": send_seconds * 1e3,
        "subscriber snapshot CPU": apply_seconds * 1e3,
        "subscriber memory": memory,
    }


def changes(size):
    """Measures how a gateway applies this many changes of its scopes, each in its own line."""
    relay_store = filled_store(23_000)
    names = {f"svc-{n}": 0 for n in range(20)}
    outbox, snapshot_lines = make_outbox(relay_store, dict(names)), []
    snapshot_lines += take_lines(outbox, 0)
    change_lines = []
    for n in range(size):
        changed = record(n, "draining" if n % 2 else "up")
        relay_store.apply(relay_store.index + 1, [(f"svc-{n % 20}", f"i-{n % 20}", changed)])
        change_lines += take_lines(outbox, (n + 1) * NS_PER_SECOND)

    def apply_changes():
        gateway, now = make_subscriber(dict(names))
        for line in snapshot_lines:
            gateway.receive_line(now, line)
        return cpu_per_call(1, lambda n: [gateway.receive_line(now, line) for line in change_lines])

    seconds = min(apply_changes() for _ in range(5))
    return {"subscriber changes": seconds * 1e3, "subscriber changes bytes": sum(map(len, change_lines))}
