"""Measures a gateway's list, clients, rules, tenants and ledger state, and discovery's list."""

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

NS_PER_SECOND = 1_000_000_000


def traced_memory(make):
    """Calls `make`; returns its result and the megabytes that the objects of the result take.

    The allocations are traced, so that memory which the interpreter keeps free does not count.
    """
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, size / 1e6


def cpu_per_call(count, act):
    """Calls `act` `count` times and returns the CPU time of one call in seconds."""
    started_at = time.process_time()
    for n in range(count):
        act(n)
    return (time.process_time() - started_at) / count


LIST_FIGURES = {  # by name of the slope, the name of the figure of `benchmarks.list_changes`
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
    """Measures the list as `benchmarks.list_changes` does."""
    figures = list_changes.measure(size, list_changes.ROOT)
    return {name: figures[figure] for name, figure in LIST_FIGURES.items()}


def front(size):
    """Measures a gateway's memory with this many clients that each sent one request."""
    server = InstanceServer()
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 4096}
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        gateway = stack.enter_context(fleet.gateway(Path(folder), server.start(), limits=limits))
        clients = [Client(gateway.port) for _ in range(size)]
        for client in clients:
            client.ask(h=1000)
        responses = [client.read() for client in clients]
        assert all(type(response) is bytes for response in responses), responses[:3]
        memory = list_changes.memory(gateway.process)
        for client in clients:
            client.sock.close()
    return {"front memory": memory}


def rules(size):
    """Measures a rule set of this many rules: loading, memory, and matching a request."""

    def make(_=None):
        return matching.RuleSet(
            "1", matching.written(size), matching.REQUEST_CLASSES, None, matching.DECLARED, max_set_cost=10**9
        )

    load = min(cpu_per_call(1, make) for _ in range(3))
    (rule_set, memory), rng = traced_memory(make), random.Random(2)
    sample = [matching.asked_of(rng, size) for _ in range(500)]
    match = min(cpu_per_call(len(sample), lambda n: rule_set.first_match(sample[n])) for _ in range(5))
    return {"rules load": load, "rules memory": memory, "rules judgement": match * 1e6}


def tenants(size):
    """Measures a balancer that has served this many tenants, and one tenant that is held back."""
    from lemonlead.balance import Balancer

    request_class = at.RequestClass(0, at.IDEMPOTENT, NS_PER_SECOND, 4 * NS_PER_SECOND, 1.0)
    balancer = Balancer(
        at.StartSettings(
            now=1000 * NS_PER_SECOND,
            seed=1,
            balancer_index=3,
            balancers=2800,
            step=5_000_000,
            request_classes=[request_class],
            idle_time=15 * NS_PER_SECOND,
            attempts_cap=4,
            cold_time=5 * NS_PER_SECOND,
            cold_share=0.4,
            cold_multiple=3.0,
            cold_window=2 * NS_PER_SECOND,
            release=at.Release(
                window=4 * NS_PER_SECOND, attempts_above_cap=50, vote_lifetime=4 * NS_PER_SECOND
            ),
        )
    )
    entries = [at.Instance(f"s-{n}", n % 3, 0, 1, 0, at.READY, 1.0, 0) for n in range(20)]
    balancer.list_received(1000 * NS_PER_SECOND, entries, True, True)
    balancer.stage_reported(1000 * NS_PER_SECOND, 1, 0, at.RELEASED, 1.0, 0)
    host, now, process = (
        list_changes.AnsweringHost(balancer),
        1000 * NS_PER_SECOND,
        SimpleNamespace(pid=os.getpid()),
    )

    def send_request(n, tenant):
        nonlocal now
        now += NS_PER_SECOND // 82
        balancer.request_arrived(
            now, at.Request(n, request_class, tenant, 0, now, now + 4 * NS_PER_SECOND, NS_PER_SECOND // 100)
        )
        host.run_decisions(now)

    tenant_numbers, numbers_memory = traced_memory(
        lambda: {f"tenant-{n:06}": n for n in range(size)}
    )  # as configured
    before = list_changes.memory(process)
    for n in range(size):  # too many for their objects to be traced
        send_request(n, n)
    memory = list_changes.memory(process) - before
    request = min(cpu_per_call(300, lambda n: send_request(size + n, n)) for _ in range(3))
    balancer.lower_quartiles["tenant", 0] = 0.9  # only this tenant is held back
    waiting = min(
        cpu_per_call(
            20, lambda n: balancer.is_throttled_everywhere(at.Request(n, request_class, 0, 0, now, now, 0))
        )
        for _ in range(3)
    )
    assert len(tenant_numbers) == size
    return {
        "tenants memory": memory,
        "tenants known": numbers_memory,
        "tenants request": request * 1e6,
        "tenants waiting request": waiting * 1e6,
    }


def discovery(size):
    """Measures the bytes of a whole list as JSON."""
    return {"discovery list": len(json.dumps({"version": 1, "full": True, "servers": known(size)}))}


def following(size):
    """Measures what a gateway keeps of a ledger with this many nodes, a change of one, and the whole state.

    All nodes are cold, so that there is a record for each.
    """
    from lemonlead.following.merge import Merge
    from lemonlead.following.responses import LedgerUpdate

    entries = [at.Instance(f"s-{n}", n % 3, 0, 1, 0, at.READY, 1.0, 0) for n in range(size)]
    addresses = {entry.id: ((entry.id, 1), 0) for entry in entries}

    def merge_with_list():
        merge = Merge()
        merge.listed(entries, addresses, True)
        return merge

    record = {"site": "s", "units": 100, "state": "serving", "since": 1, "warm": 5, "out": "", "cordon_ms": 0}
    body = json.dumps({f"s-{n}": record for n in range(size)})

    def apply_whole_state(merge):
        records = json.loads(body).items()
        update = LedgerUpdate(
            1, [("nodes", key, record) for key, record in records], ("nodes", "permits"), None, "c"
        )
        assert merge.apply_update(1, update) is not None
        return merge

    merge = merge_with_list()
    whole_seconds = cpu_per_call(1, lambda n: apply_whole_state(merge))
    _, memory = traced_memory(lambda: apply_whole_state(merge_with_list()))
    change = cpu_per_call(
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
        "following whole": whole_seconds * 1e3,
        "following whole bytes": len(body),
    }
