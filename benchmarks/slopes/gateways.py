"""A gateway's slopes: its list, its clients, its rules and tenants, what it follows; and discovery's list."""

import contextlib
import gc
import json
import os
import random
import tempfile
import time
import tracemalloc
from pathlib import Path
from types import SimpleNamespace

from benchmarks import list_changes, matching
from benchmarks.start import known
from lemonlead import interface as at
from lemonlead.standins import fleet
from lemonlead.standins.clients import Client
from lemonlead.standins.instances import InstanceServer

S = 1_000_000_000


def kept(make):
    """What it makes, and the megabytes that its objects take: as the interpreter hands them out, so that what
    it keeps free by itself does not blur them."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, size / 1e6


def spent(count, act):
    """Seconds of CPU of each."""
    begun = time.process_time()
    for n in range(count):
        act(n)
    return (time.process_time() - begun) / count


LISTED = {  # by slope, the figure of `benchmarks.list_changes`
    "gateway memory": "memory",
    "gateway memory after a list": "memory after",
    "gateway ready": "ready",
    "gateway start CPU": "start CPU",
    "gateway change": "change",
    "gateway whole list": "whole list",
    "gateway request": "request",
    "balancer request": "module: request",
    "balancer request on trial": "module: request on trial",
    "balancer change": "module: change",
}


def lists(size):
    """As `benchmarks.list_changes` has it."""
    got = list_changes.measured(size, list_changes.ROOT)
    return {name: got[figure] for name, figure in LISTED.items()}


def front(size):
    """A gateway's memory with so many clients that each asked once."""
    server = InstanceServer()
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 4096}
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as ends:
        ran = ends.enter_context(fleet.gateway(Path(folder), server.start(), limits=limits))
        clients = [Client(ran.port) for _ in range(size)]
        for client in clients:
            client.ask(h=1000)
        answers = [client.read() for client in clients]
        assert all(type(answer) is bytes for answer in answers), answers[:3]
        memory = list_changes.memory(ran.process)
        for client in clients:
            client.sock.close()
    return {"front memory": memory}


def rules(size):
    def make(_=None):
        return matching.RuleSet(
            "1", matching.written(size), matching.REQUEST_CLASSES, None, matching.DECLARED, max_set_cost=10**9
        )

    load = min(spent(1, make) for _ in range(3))
    (made, memory), chance = kept(make), random.Random(2)
    sample = [matching.asked_of(chance, size) for _ in range(500)]
    judged = min(spent(len(sample), lambda n: made.first_match(sample[n])) for _ in range(5))
    return {"rules load": load, "rules memory": memory, "rules judgement": judged * 1e6}


def tenants(size):
    """A balancer that heard answers to each of so many tenants, and one of them that waits."""
    from lemonlead.balance import Balancer

    request_class = at.RequestClass(0, at.IDEMPOTENT, S, 4 * S, 1.0)
    balancer = Balancer(
        at.StartSettings(
            now=1000 * S,
            seed=1,
            balancer_index=3,
            balancers=2800,
            step=5_000_000,
            request_classes=[request_class],
            idle_time=15 * S,
            attempts_cap=4,
            cold_time=5 * S,
            cold_share=0.4,
            cold_multiple=3.0,
            cold_window=2 * S,
            release=at.Release(window=4 * S, attempts_above_cap=50, vote_lifetime=4 * S),
        )
    )
    rows = [at.Instance(f"s-{n}", n % 3, 0, 1, 0, at.READY, 1.0, 0) for n in range(20)]
    balancer.list_received(1000 * S, rows, True, True)
    balancer.stage_reported(1000 * S, 1, 0, at.RELEASED, 1.0, 0)
    door, now, process = list_changes.Taken(balancer), 1000 * S, SimpleNamespace(pid=os.getpid())

    def asks(n, tenant):
        nonlocal now
        now += S // 82
        balancer.request_arrived(now, at.Request(n, request_class, tenant, 0, now, now + 4 * S, S // 100))
        door.pull(now)

    names, numbered = kept(lambda: {f"tenant-{n:06}": n for n in range(size)})  # as configured
    before = list_changes.memory(process)
    for n in range(size):  # too many to trace each of their objects
        asks(n, n)
    memory = list_changes.memory(process) - before
    request = min(spent(300, lambda n: asks(size + n, n)) for _ in range(3))
    balancer.lower_quartiles["tenant", 0] = 0.9  # it alone waits
    waiting = min(
        spent(20, lambda n: balancer.is_throttled_everywhere(at.Request(n, request_class, 0, 0, now, now, 0)))
        for _ in range(3)
    )
    assert len(names) == size
    return {
        "tenants memory": memory,
        "tenants known": numbered,
        "tenants request": request * 1e6,
        "tenants waiting request": waiting * 1e6,
    }


def discovery(size):
    """A whole list as JSON."""
    return {"discovery list": len(json.dumps({"version": 1, "full": True, "servers": known(size)}))}


def following(size):
    """What a gateway that follows a ledger of so many nodes keeps of it, all of them cold, so that there is
    a word for each; a change of one; the whole."""
    from lemonlead.following.merge import Merge
    from lemonlead.following.responses import LedgerUpdate

    lines = [at.Instance(f"s-{n}", n % 3, 0, 1, 0, at.READY, 1.0, 0) for n in range(size)]
    addresses = {line.id: ((line.id, 1), 0) for line in lines}

    def listed():
        merge = Merge()
        merge.listed(lines, addresses, True)
        return merge

    record = {"site": "s", "units": 100, "state": "serving", "since": 1, "warm": 5, "out": "", "cordon_ms": 0}
    body = json.dumps({f"s-{n}": record for n in range(size)})

    def whole(merge):
        words = json.loads(body).items()
        news = LedgerUpdate(1, [("nodes", key, one) for key, one in words], ("nodes", "permits"), None, "c")
        assert merge.apply_update(1, news) is not None
        return merge

    merge = listed()
    took = spent(1, lambda n: whole(merge))
    _, memory = kept(lambda: whole(listed()))
    change = spent(
        2000,
        lambda n: merge.apply_update(
            1,
            LedgerUpdate(
                n + 10,
                [("nodes", f"s-{n * 7 % size}", {**record, "out": "d" if n % 2 else ""})],
                (),
                None,
                "c",
            ),
        ),
    )
    return {
        "following memory": memory,
        "following change": change * 1e6,
        "following whole": took * 1e3,
        "following whole bytes": len(body),
    }
