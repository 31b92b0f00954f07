"""Applies each kind of command at the largest size that one command can have, and prints the time.

    python -m benchmarks.commands [--nodes 20000]

A member that applies a command answers nothing meanwhile, and a leader sends no heartbeats. Exits with 1 if
one takes more than half of the shortest election timeout."""

import argparse
import sys
import time

import msgspec

from lemonlead.ledger import capacity, state
from lemonlead.ledger.records import COMMAND, Entry, ReplicaConfig
from lemonlead.member import assembly
from lemonlead.moves import holds, rules

MAX_SECONDS = ReplicaConfig("", "", "", 0).election / 2e9
SITES = 10
GROUPS_ON_A_NODE = 2000


class World:
    """A state, and the slowest command of each kind so far."""

    def __init__(self, nodes):
        self.ledger, self.state, self.slowest = assembly.make_ledger(), state.State(), {}
        self.nodes = [f"n{number}" for number in range(nodes)]
        for number, name in enumerate(self.nodes):
            self.apply("node", node=name, site=f"s{number % SITES}", units=1000)

    def apply(self, kind, **fields):
        data = msgspec.json.encode({"id": f"c/{self.state.index}", "kind": kind, **fields})
        entry = Entry(self.state.index + 1, 1, COMMAND, self.state.moment + 10**7, 1000, data)
        started = time.perf_counter()
        self.state, applied = self.ledger.apply(self.state, entry)
        took = time.perf_counter() - started
        if applied.code != 200:
            raise SystemExit(f"{kind}: {applied.body}")
        self.slowest[kind] = max(self.slowest.get(kind, 0), took)


def play_capacity(world):
    names = world.nodes
    world.apply("gang", gang="print/1", nodes=names, units=1)
    world.apply("gang_end", gang="print/1")
    world.apply("group", group="g", nodes=names, quorum=1)
    world.apply("group", group="g", nodes=names[::-1], quorum=2)
    world.apply("reserve", reservation="r", service="x", units=1, nodes=names)
    world.apply("free", reservation="r")
    for number in range(GROUPS_ON_A_NODE):
        world.apply("group", group=f"g{number}", nodes=names[:2], quorum=1)
    world.apply("report", node=names[0], state="failed")
    world.apply("report", node=names[0], state="serving")
    world.apply("entry", scope="s", key="k", value={"text": "x" * 4000})


def play_drains(world):
    names = world.nodes[2:]
    world.apply("drain", drain="d", nodes=names, deadline_ms=10**13)
    index = world.state.index + 1
    world.apply("permit", nodes=sorted(names)[: len(names) // 40])
    world.apply("permit_clear", nodes=sorted(names)[: len(names) // 40], index=index)
    world.apply("drain_stop", drain="d")


def play_holds(world):
    pieces = rules.MAX_PIECES
    each = holds.MAX_HOLD_NODES // pieces
    play_hold(world, 1, [{"units": 1, "nodes": min(each, len(world.nodes)), "site": ""}] * pieces)
    play_hold(world, 2, [{"units": 1, "nodes": 0, "site": "s1"}] * pieces)
    whole = min(holds.MAX_HOLD_NODES, len(world.nodes) - len(world.nodes) // 20)
    play_hold(world, 3, [{"units": 1, "nodes": whole, "site": ""}])


def play_hold(world, epoch, pieces):
    about = {"source": "far", "move": "m", "epoch": epoch, "floor": 0}
    named = [{"reservation": f"{epoch}/{number}", **piece} for number, piece in enumerate(pieces)]
    world.apply("hold_take", **about, service="far", pieces=named, groups=[])
    world.apply("hold_warm", **about)
    world.apply("hold_drop", **about)


def play_moves(world):
    for number in range(rules.MAX_PIECES):
        world.apply("reserve", reservation=f"m{number}", service="print", units=1, site="s1")
    world.apply("move", move="m", service="print", to="far")
    world.apply("move_stop", move="m")


def main(arguments=None):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--nodes", type=int, default=capacity.MAX_NAMED_NODES)
    world = World(parser.parse_args(arguments).nodes)
    for play in (play_capacity, play_holds, play_moves, play_drains):
        play(world)
    for kind, took in sorted(world.slowest.items(), key=lambda item: -item[1]):
        print(f"{kind:14} {took * 1000:8.1f} ms")
    return int(max(world.slowest.values()) > MAX_SECONDS)


if __name__ == "__main__":
    sys.exit(main())
