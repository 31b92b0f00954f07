"""Measures a control member: gateways that follow it, records that it holds, and commands."""

import asyncio
import contextlib
import itertools
import statistics
import tempfile
import threading
import time
from pathlib import Path

from benchmarks import followers as follower_benchmark
from benchmarks import ledger
from lemonlead.standins.members import Cluster

from .gateways import cpu_per_call, traced_memory

FEW, NODES = 10, 1000
COMMANDS, INTERVAL_SECONDS = 12, 1.0  # far enough apart that each is reported before the next


def followers(size):
    """Measures a change that is reported to this many followers, with its encoding but without HTTP."""
    follower_benchmark.NODES = FEW
    _, memory = traced_memory(lambda: follower_benchmark.World(size))
    follower_benchmark.NODES = NODES
    world = follower_benchmark.World(size)
    changes = [world.change(n) for n in range(follower_benchmark.CHANGES)]
    return {
        "leader change": 1e3 * statistics.median(seconds for seconds, _ in changes),
        "leader change bytes": statistics.median(size for _, size in changes),
        "leader followers memory": memory,
    }


def nodes(size):
    """Measures the memory of a leader with this many nodes."""
    follower_benchmark.NODES = size
    world, memory = traced_memory(lambda: follower_benchmark.World(FEW))
    assert len(world.dispatcher.state.part("nodes")) == size
    return {"leader nodes memory": memory}


def polls(size):
    """Measures a member process that reports each command to each follower over HTTP.

    The CPU time that it uses while the followers only wait is subtracted.
    """
    stop, received = threading.Event(), []
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        cluster = stack.enter_context(Cluster(Path(folder) / "polls", ["g1"], times=ledger.TOLD))
        cluster.start().wait_leader()
        ledger.declare(cluster)
        address, process = cluster.listens["g1"], cluster.processes["g1"]
        thread = threading.Thread(
            target=lambda: asyncio.run(ledger.polling(address, size, "", stop, received))
        )
        thread.start()
        try:
            ledger.until(lambda: len(received) >= size, "all poll")
            # each has received the changes that later followers caused
            ledger.until(lambda: min(received[-size:]) == max(received), "all know of all")
            time.sleep(1)
            before, started_at = ledger.cpu(process), time.monotonic()
            time.sleep(3)
            idle = (ledger.cpu(process) - before) / (time.monotonic() - started_at)
            before, count = ledger.cpu(process), len(received)
            seconds = ledger.paced(address, COMMANDS, INTERVAL_SECONDS).seconds
            cost = (ledger.cpu(process) - before - idle * seconds) / COMMANDS
            responses = (len(received) - count) / COMMANDS
        finally:
            stop.set()
            thread.join()
    assert responses > 0.9 * size, (size, responses)  # else several changes came in one response
    return {"leader told over HTTP": 1e3 * cost, "leader idle": 100 * idle}


def records(size):
    """Measures a member process with this many reservations, and the size and encoding of its snapshot."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        cluster = stack.enter_context(ledger.filled(Path(folder) / "records", ["g1"], size))
        ledger.started(cluster)
        memory = ledger.resident(cluster.processes["g1"])
    code, state, _ = ledger.holding({"g1": ledger.ConfiguredMember("127.0.0.1:1", "f1")}, size)
    snapshot_bytes = sum(map(len, code.pieces(state)))
    snapshot_seconds = min(cpu_per_call(1, lambda n: sum(map(len, code.pieces(state)))) for _ in range(3))
    return {
        "member memory": memory / 1e6,
        "member snapshot": snapshot_bytes,
        "member snapshot CPU": snapshot_seconds * 1e3,
    }


def commands(size):
    """Measures the CPU time that this many commands of one client cost the leader and a follower.

    There are three members. What they use when idle is subtracted.
    """
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        cluster = stack.enter_context(Cluster(Path(folder) / "commands", times=ledger.TOLD))
        leader = cluster.start().wait_leader()
        ledger.declare(cluster)
        follower = next(name for name in cluster.initial_members if name != leader)

        def cpu_seconds():
            return [ledger.cpu(cluster.processes[name]) for name in (leader, follower)]

        ledger.NUMBERS = itertools.count(10**6)
        before, started_at = cpu_seconds(), time.monotonic()
        time.sleep(3)
        idle_rates = [
            (after - earlier) / (time.monotonic() - started_at)
            for after, earlier in zip(cpu_seconds(), before, strict=True)
        ]
        before = cpu_seconds()
        seconds = ledger.paced(cluster.listens[leader], size, 0.005).seconds
        costs = [
            after - earlier - idle_rate * seconds
            for after, earlier, idle_rate in zip(cpu_seconds(), before, idle_rates, strict=True)
        ]
    return {"leader commands": costs[0], "member commands": costs[1]}
