"""What goes wrong in the simulated world of moves: each step of a move, each fault, and how both meet."""

from ..ledger import capacity
from ..moves import rules
from .two_clusters import MS, SECOND, World, furnish, serve

# A step of the source's record and the stage, where it has one.
STEPS = [
    ("asked", None),
    ("reserving", None),
    ("warming", None),
    ("members", None),
    ("shifting", 0),
    ("shifting", 2),
    ("shifting", 4),
    ("settling", None),
    ("going back", None),
    ("dropping", None),
]
NAMES = [f"{step}{'' if stage is None else stage}" for step, stage in STEPS]


def create_world(seed=0, group=3, **more):
    world = World(seed, **more)
    furnish(world, "louis")
    furnish(world, "ebene")
    serve(world, "louis", "search", group=group)
    return world


def begin_move(world, name="m", service="search", cluster="louis", to="ebene", id="begin"):
    return world.sides[cluster].do(rules.MoveCommand(id=id, move=name, service=service, to=to))


def stop_move(world, name="m", cluster="louis", id="stop"):
    return world.sides[cluster].do(rules.MoveStop(id=id, move=name))


def disturb_messages(world, time, **faults):
    """For so long. Where two overlap the later value holds until the last of them ends."""
    end = world.now + time
    for name, value in faults.items():
        setattr(world, name, value)
        world.faulty[name] = max(end, world.faulty.get(name, 0))
    world.at(end, lambda: [setattr(world, n, CALM[n]) for n in faults if world.faulty[n] <= world.now])


CALM = {"lose": 0.0, "twice": 0.0, "late": 20 * MS, "straggle": 0, "unknown": 0.0}


def leaderless(world, cluster, time):
    side = world.sides[cluster]
    side.up = False
    world.at(world.now + time, side.elect)


def fail_node(world, cluster):
    side = world.sides[cluster]
    side.do(capacity.Report(node=f"{cluster}-1", state="failed"))
    world.at(world.now + 20 * SECOND, lambda: side.do(capacity.Report(node=f"{cluster}-1", state="serving")))


def change_again(world, cluster):
    for later in (0, 10, 300, 700, 5000):
        world.at(world.now + later * MS, world.sides[cluster].elect)


FAULTS = {
    "nothing": lambda world: None,
    "all lost 5 s": lambda world: disturb_messages(world, 5 * SECOND, lose=1.0),
    "half lost": lambda world: disturb_messages(world, 20 * SECOND, lose=0.5),
    "all twice, late": lambda world: disturb_messages(world, 20 * SECOND, twice=1.0, straggle=50 * SECOND),
    "out of order": lambda world: disturb_messages(world, 20 * SECOND, late=1900 * MS, twice=0.5),
    "answers unknown": lambda world: disturb_messages(world, 15 * SECOND, unknown=1.0),
    "cut one way": lambda world: world.cut_for(10 * SECOND, (("ebene", "louis"),)),
    "cut 1 s": lambda world: world.cut_for(SECOND),
    "cut 10 s": lambda world: world.cut_for(10 * SECOND),
    "cut 60 s": lambda world: world.cut_for(60 * SECOND),
    "source leader changes": lambda world: change_again(world, "louis"),
    "source leaderless": lambda world: leaderless(world, "louis", 30 * SECOND),
    "destination leader changes": lambda world: change_again(world, "ebene"),
    "destination leaderless": lambda world: leaderless(world, "ebene", 30 * SECOND),
    "source restarts": lambda world: world.sides["louis"].restore(),
    "destination restarts": lambda world: world.sides["ebene"].restore(),
    "source node fails": lambda world: fail_node(world, "louis"),
    "destination node fails": lambda world: fail_node(world, "ebene"),
    "gateway silent": lambda world: world.cut_for(15 * SECOND, ("louis-gateway-0",)),
    "stopped": lambda world: stop_move(world),
}


def create_world_with_fault(step, stage, fault, seed):
    """A move that meets this fault as it comes to this step: (world, moments at which the fault began)."""
    world, met = create_world(seed), []
    world.when(step, lambda: (met.append(world.now), FAULTS[fault](world)), stage=stage)
    if step in ("going back", "dropping"):
        world.when("shifting", lambda: stop_move(world, id="first"), stage=1)
    begin_move(world)
    return world, met


def expected_end(step, fault):
    """How it is to end."""
    return "stopped" if step in BACK or fault == "stopped" and step != "settling" else "done"


BACK = ("going back", "dropping")
