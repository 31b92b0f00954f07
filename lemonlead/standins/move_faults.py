"""The steps of a move and the faults of the simulated world of moves, and worlds in which the two meet."""

from ..ledger import capacity
from ..moves import rules
from .two_clusters import MS, SECOND, World, furnish, serve

# (step of the source's record, stage if the step has stages)
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
    return world.clusters[cluster].do(rules.MoveCommand(id=id, move=name, service=service, to=to))


def stop_move(world, name="m", cluster="louis", id="stop"):
    return world.clusters[cluster].do(rules.MoveStop(id=id, move=name))


def disturb_messages(world, time, **faults):
    """Sets message faults for a time. Where two overlap, the later value holds until the last one ends."""
    end = world.now + time
    for name, value in faults.items():
        setattr(world, name, value)
        world.faulty[name] = max(end, world.faulty.get(name, 0))
    world.at(
        end, lambda: [setattr(world, n, NO_FAULT_VALUES[n]) for n in faults if world.faulty[n] <= world.now]
    )


NO_FAULT_VALUES = {"lose": 0.0, "twice": 0.0, "late": 20 * MS, "straggle": 0, "unknown": 0.0}


def take_leader_away(world, cluster, time):
    side = world.clusters[cluster]
    side.up = False
    world.at(world.now + time, side.elect)


def fail_node(world, cluster):
    side = world.clusters[cluster]
    side.do(capacity.Report(node=f"{cluster}-1", state="failed"))
    world.at(world.now + 20 * SECOND, lambda: side.do(capacity.Report(node=f"{cluster}-1", state="serving")))


def change_leader_repeatedly(world, cluster):
    for later in (0, 10, 300, 700, 5000):
        world.at(world.now + later * MS, world.clusters[cluster].elect)


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
    "source leader changes": lambda world: change_leader_repeatedly(world, "louis"),
    "source leaderless": lambda world: take_leader_away(world, "louis", 30 * SECOND),
    "destination leader changes": lambda world: change_leader_repeatedly(world, "ebene"),
    "destination leaderless": lambda world: take_leader_away(world, "ebene", 30 * SECOND),
    "source restarts": lambda world: world.clusters["louis"].restore(),
    "destination restarts": lambda world: world.clusters["ebene"].restore(),
    "source node fails": lambda world: fail_node(world, "louis"),
    "destination node fails": lambda world: fail_node(world, "ebene"),
    "gateway silent": lambda world: world.cut_for(15 * SECOND, ("louis-gateway-0",)),
    "stopped": lambda world: stop_move(world),
}


def create_world_with_fault(step, stage, fault, seed):
    """Begins a move that meets this fault when it reaches this step.

    Returns (world, times at which the fault began).
    """
    world, fault_times = create_world(seed), []
    world.when(step, lambda: (fault_times.append(world.now), FAULTS[fault](world)), stage=stage)
    if step in ("going back", "dropping"):
        world.when("shifting", lambda: stop_move(world, id="first"), stage=1)
    begin_move(world)
    return world, fault_times


def expected_end(step, fault):
    """Returns how a move ends that meets this fault at this step."""
    return "stopped" if step in ROLL_BACK_STEPS or fault == "stopped" and step != "settling" else "done"


ROLL_BACK_STEPS = ("going back", "dropping")
