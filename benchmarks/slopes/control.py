"""A control member's slopes: gateways that follow it, records that it holds, commands."""

import asyncio
import contextlib
import itertools
import statistics
import tempfile
import threading
import time
from pathlib import Path

from benchmarks import followers as told
from benchmarks import ledger
from lemonlead.standins.members import Cluster

from .gateways import kept, spent

FEW, NODES = 10, 1000
COMMANDS, PAUSE = 12, 1.0  # so far apart that each is told before the next comes


def followers(size):
    """A change told to so many followers by the deciding code alone: without HTTP, its encoding counted."""
    told.NODES = FEW
    _, memory = kept(lambda: told.World(size))
    told.NODES = NODES
    world = told.World(size)
    changes = [world.change(n) for n in range(told.CHANGES)]
    return {
        "leader change": 1e3 * statistics.median(took for took, _ in changes),
        "leader change bytes": statistics.median(size for _, size in changes),
        "leader followers memory": memory,
    }


def nodes(size):
    told.NODES = size
    world, memory = kept(lambda: told.World(FEW))
    assert len(world.dispatcher.state.part("nodes")) == size
    return {"leader nodes memory": memory}


def polls(size):
    """A member as a program, all over HTTP; each command is told to each follower. What it takes while they
    only wait is taken off."""
    over, heard = threading.Event(), []
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as ends:
        cluster = ends.enter_context(Cluster(Path(folder) / "polls", ["g1"], times=ledger.TOLD))
        cluster.start().wait_leader()
        ledger.declare(cluster)
        address, process = cluster.listens["g1"], cluster.processes["g1"]
        thread = threading.Thread(target=lambda: asyncio.run(ledger.polling(address, size, "", over, heard)))
        thread.start()
        try:
            ledger.until(lambda: len(heard) >= size, "all poll")
            # each has been told of those that came after it
            ledger.until(lambda: min(heard[-size:]) == max(heard), "all know of all")
            time.sleep(1)
            before, begun = ledger.cpu(process), time.monotonic()
            time.sleep(3)
            idle = (ledger.cpu(process) - before) / (time.monotonic() - begun)
            before, count = ledger.cpu(process), len(heard)
            seconds = ledger.paced(address, COMMANDS, PAUSE).seconds
            cost = (ledger.cpu(process) - before - idle * seconds) / COMMANDS
            answers = (len(heard) - count) / COMMANDS
        finally:
            over.set()
            thread.join()
    assert answers > 0.9 * size, (size, answers)  # else several changes came in one answer
    return {"leader told over HTTP": 1e3 * cost, "leader idle": 100 * idle}


def records(size):
    """A member as a program that holds so many reservations; its snapshot's bytes, and making them."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as ends:
        cluster = ends.enter_context(ledger.filled(Path(folder) / "records", ["g1"], size))
        ledger.started(cluster)
        memory = ledger.resident(cluster.processes["g1"])
    code, state, _ = ledger.holding({"g1": ledger.ConfiguredMember("127.0.0.1:1", "f1")}, size)
    pieces = sum(map(len, code.pieces(state)))
    took = min(spent(1, lambda n: sum(map(len, code.pieces(state)))) for _ in range(3))
    return {"member memory": memory / 1e6, "member snapshot": pieces, "member snapshot CPU": took * 1e3}


def commands(size):
    """CPU that so many commands of one client take the leader and a follower of three members; what they
    take at rest is taken off."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as ends:
        cluster = ends.enter_context(Cluster(Path(folder) / "commands", times=ledger.TOLD))
        leader = cluster.start().wait_leader()
        ledger.declare(cluster)
        other = next(name for name in cluster.initial_members if name != leader)

        def used():
            return [ledger.cpu(cluster.processes[name]) for name in (leader, other)]

        ledger.NUMBERS = itertools.count(10**6)
        before, begun = used(), time.monotonic()
        time.sleep(3)
        rest = [(a - b) / (time.monotonic() - begun) for a, b in zip(used(), before, strict=True)]
        before = used()
        seconds = ledger.paced(cluster.listens[leader], size, 0.005).seconds
        took = [a - b - r * seconds for a, b, r in zip(used(), before, rest, strict=True)]
    return {"leader commands": took[0], "member commands": took[1]}
