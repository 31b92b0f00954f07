"""Moves between clusters: the rules, the leader task with every fault injected at every step, and a checker
that has to catch faulty rules."""

import pathlib
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonlead.drains import rules as drains
from lemonlead.ledger import capacity, state
from lemonlead.ledger.faults import Refused
from lemonlead.ledger.records import COMMAND, Entry
from lemonlead.member import assembly
from lemonlead.moves import faults, holds, rules, steps
from lemonlead.standins import promises, two_clusters

from lemonlead.standins.move_faults import (
    FAULTS,
    NAMES,
    STEPS,
    begin_move,
    create_world,
    create_world_with_fault,
    disturb_messages,
    expected_end,
    stop_move,
)
from lemonlead.standins.two_clusters import MS, SECOND, World, furnish, serve


def run_until_ended(world, most=900 * SECOND):
    """Runs until no move is open, checks that nothing was violated, and returns how move `m` ended."""
    assert world.run_till(world.quiet, most), [world.move("m"), world.checker.broken]
    assert world.run_till(lambda: not world.flying)
    world.run(world.now + 5 * SECOND)
    world.checker.settled()
    assert world.checker.broken == []
    for side in world.clusters.values():
        assert promises.faults(promises.plain(side.state)) == []
    return world.move("m").end


def holders(world):
    assert world.checker.holders("search-wide") == world.checker.holders("search-pinned")
    return world.checker.holders("search-wide")


# ---- every step with every fault


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS, ids=NAMES)
def test_each_step_with_each_injected_fault(step, fault):
    world, met = create_world_with_fault(*step, fault, seed=STEPS.index(step))
    assert run_until_ended(world) == expected_end(step[0], fault)
    assert met
    assert holders(world) == (["louis"] if world.move("m").end == "stopped" else ["ebene"])
    group = {name for name, side in world.clusters.items() if "search/replicas" in side.state.part("groups")}
    assert group == set(holders(world))


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    st.integers(0, 1 << 30),
    st.lists(st.tuples(st.integers(0, 40_000), st.sampled_from(sorted(FAULTS))), max_size=6),
    st.floats(0, 0.4),
)
def test_random_schedules_of_faults(seed, faults, lose):
    world = create_world(seed)
    begin_move(world)
    for later, fault in faults:
        world.at(world.now + later * MS, lambda fault=fault: FAULTS[fault](world))
    disturb_messages(world, 50 * SECOND, lose=lose, twice=lose, straggle=20 * SECOND)
    end = run_until_ended(world)
    assert holders(world) == (["ebene"] if end == "done" else ["louis"])


# ---- refused moves, and several moves at once


def test_worse_destination_is_voted_back():
    world = create_world(decide_vote=lambda world, gateway, move: "back" if move.stage == 2 else "on")
    begin_move(world)
    assert run_until_ended(world) == "sent back"
    assert holders(world) == ["louis"]
    assert "worse at 50 %" in world.move("m").says


def test_swap_between_full_clusters_is_refused():
    world = World()
    for cluster, service in (("louis", "search"), ("ebene", "print")):
        furnish(world, cluster, nodes=2)
        serve(world, cluster, service, units=12, pinned=4)
    begin_move(world)
    begin_move(world, "n", "print", "ebene", "louis")
    assert run_until_ended(world) == "refused"
    for move in (world.move("m"), world.move("n", "ebene")):
        assert move.end == "refused" and "NoRoomThere" in move.says and "free" in move.says
    assert holders(world) == ["louis"]
    assert world.checker.holders("print-wide") == ["ebene"]


def test_swap_with_enough_free_capacity():
    world = World()
    for cluster, service in (("louis", "search"), ("ebene", "print")):
        furnish(world, cluster, nodes=4)
        serve(world, cluster, service, units=12, pinned=4)
    begin_move(world)
    begin_move(world, "n", "print", "ebene", "louis")
    assert run_until_ended(world) == "done"
    assert holders(world) == ["ebene"] and world.checker.holders("print-wide") == ["louis"]


def test_second_move_of_a_service_is_refused():
    world = create_world()
    assert begin_move(world)[0] == 200
    code, body = begin_move(world, "n", id="other")
    assert (code, body["error"]["type"]) == (409, "MoveOpen")
    world.when("shifting", lambda: world.answers.append(begin_move(world, "o", id="later")))
    run_until_ended(world)
    assert [response[1]["error"]["type"] for response in world.answers] == ["MoveOpen"]


@pytest.mark.parametrize("late", (0, 86_400 * SECOND, 86_400 * SECOND * 40))
def test_repeated_move_command(late):
    world = create_world(gateways=0)
    first = begin_move(world)
    run_until_ended(world)
    # A new service of the same name, which the repeated command must not move.
    serve(world, "louis", "search")
    world.run(world.now + late)
    again = begin_move(world)
    if late:
        assert again[0] == 409 and again[1]["error"]["type"] == "MoveKnown"
    else:
        assert again == first
    assert stop_move(world)[1]["error"]["type"] == "TooLate"
    assert world.quiet()


def test_repeated_destination_commands_change_nothing():
    world = create_world(gateways=0)
    sent, taken = [], world.taken
    world.taken = lambda call: sent.append(call) or taken(call)
    begin_move(world)
    assert run_until_ended(world) == "done"
    world.run(world.now + 86_400 * SECOND)
    before = world.clusters["ebene"].state.parts
    for call in sent + sent[::-1]:
        taken(call)
    assert world.clusters["ebene"].state.parts == before and len(sent) > 5


def test_next_move_forgets_ended_holds():
    world = create_world(gateways=0)
    late = []
    taken = world.taken
    world.taken = lambda call: late.append(call) or taken(call)
    begin_move(world)
    run_until_ended(world)
    serve(world, "louis", "print")
    begin_move(world, "n", "print", id="second")
    run_until_ended(world)
    holds = world.clusters["ebene"].state.part("holds")
    assert list(holds) == ["louis/n"]
    world.clusters["ebene"].do(capacity.Free(id="f", reservation="search-wide"))
    before = world.clusters["ebene"].state.parts
    again = [taken(call) for call in late if b'"m"' in call.data]
    assert world.clusters["ebene"].state.parts == before and len(again) > 5


@pytest.mark.parametrize("to", ("atlantis", "louis"))
def test_move_to_an_unknown_cluster_or_to_itself_is_refused(to):
    world = create_world()
    begin_move(world, to=to)
    assert run_until_ended(world) == "refused"
    assert to in world.move("m").says and holders(world) == ["louis"]


@pytest.mark.parametrize("step", STEPS[1:8:2], ids=NAMES[1:8:2])
@pytest.mark.parametrize("clusters", (("louis",), ("ebene",), ("louis", "ebene")), ids="-".join)
def test_move_and_drain_of_all_nodes_both_end(clusters, step):
    """Guards against a deadlock: a move and a drain must not wait for each other."""
    world = create_world()

    def drain():
        for cluster in clusters:
            side = world.clusters[cluster]
            side.obey()
            nodes = tuple(f"{cluster}-{number}" for number in range(4))
            assert side.do(drains.DrainCommand(id="d", drain="d", nodes=nodes))[0] == 200

    world.when(step[0], drain, stage=step[1])
    begin_move(world)
    end = run_until_ended(world)
    assert end == "done" or "ebene" in clusters and step[0] == "reserving" and end == "refused"
    assert holders(world) == (["ebene"] if end == "done" else ["louis"])
    assert world.run_till(
        lambda: all(world.clusters[cluster].state.part("drains")["d"].phase == "done" for cluster in clusters)
    )
    assert world.checker.broken == []


def cordon(side, names):
    """Sets the state that a drain of these nodes causes before any of them is away."""
    nodes = side.state.part("nodes")
    for name in names:
        nodes = nodes.set(name, msgspec.structs.replace(nodes[name], cordon_ms=1))
    side.state = replace(side.state, parts=side.state.parts.set("nodes", nodes))


@pytest.mark.parametrize("left, end", ((2, "done"), (0, "refused")))
def test_cordoned_nodes_do_not_count_as_room(left, end):
    """Cordoned nodes are not chosen. If the other nodes have no room, the move is refused at once."""
    world = create_world(group=0)
    cordon(world.clusters["ebene"], [f"ebene-{number}" for number in range(4 - left)])
    begin_move(world)
    assert run_until_ended(world, 30 * SECOND) == end
    if left:
        pinned = world.clusters["ebene"].state.part("reservations")["search-pinned"]
        assert set(pinned.nodes) == {"ebene-2", "ebene-3"}
    else:
        assert "NoRoomThere" in world.move("m").says


# ---- groups and gangs


def test_group_moves_member_by_member():
    world = create_world(group=3)
    sizes = []

    def hook(side, changes):
        if any(part == "groups" for part, _ in changes):
            sizes.append(
                tuple(
                    len(
                        getattr(world.clusters[name].state.part("groups").get("search/replicas"), "nodes", ())
                    )
                    for name in ("louis", "ebene")
                )
            )

    world.hooks.append(hook)
    begin_move(world)
    assert run_until_ended(world) == "done"
    assert list(dict.fromkeys(sizes)) == [(3, 1), (2, 1), (2, 2), (1, 2), (1, 3), (0, 3)]


def test_replica_that_never_serves_makes_the_move_overdue(monkeypatch):
    for module in (rules, steps):
        monkeypatch.setattr(module, "MAX_STEP_NS", 60 * SECOND)
    world = create_world(group=3)
    for number in range(4):
        world.clusters["ebene"].do(capacity.Report(node=f"ebene-{number}", state="catching_up"))
    begin_move(world)
    assert world.run_till(lambda: world.move("m").step == "members")
    assert run_until_ended(world) == "overdue" and holders(world) == ["louis"]
    assert world.clusters["louis"].state.part("groups")["search/replicas"].quorum == 2


def test_service_with_a_running_gang_is_not_moved():
    world = create_world()
    gang = capacity.GangCommand(id="g", gang="search/night", nodes=("louis-3",), units=1)
    assert world.clusters["louis"].do(gang)[0] == 200
    assert begin_move(world)[1]["error"]["type"] == "GangRuns"


def gang_command(number, gang="search/night"):
    return capacity.GangCommand(id=f"g{number}", gang=gang, nodes=("louis-3",), units=1)


def test_move_waits_for_a_gang_and_admits_no_other():
    """Otherwise gangs that follow one another without a gap would hold the move until it is overdue."""
    world = create_world()
    louis, refused = world.clusters["louis"], []
    world.when("reserving", lambda: louis.do(gang_command(0)))
    begin_move(world)
    world.run(world.now + 120 * SECOND)
    assert world.move("m").step == "members" and all(one.over == 3 for one in world.move("m").groups)
    code, body = louis.do(gang_command(1, "search/day"))
    assert (code, body["error"]["type"]) == (409, "BeingMoved") and "move m" in body["error"]["says"]
    assert louis.do(gang_command(2, "searching"))[0] == 200
    louis.do(capacity.GangEnd(id="e", gang="search/night"))
    world.when("settling", lambda: refused.append(louis.do(gang_command(3))[0]))
    assert run_until_ended(world) == "done" and refused == [409]
    assert louis.do(gang_command(4))[0] == 200


def test_gangs_may_start_once_a_move_rolls_back():
    world, codes = create_world(), []
    world.when("shifting", lambda: stop_move(world), stage=1)
    world.when("going back", lambda: codes.append(world.clusters["louis"].do(gang_command(0))[0]))
    begin_move(world)
    assert run_until_ended(world) == "stopped" and codes == [200]


@pytest.mark.parametrize("step, stage", [one for one in STEPS if one[0] not in ("asked", "dropping")])
def test_group_cannot_be_redeclared_while_it_moves(step, stage):
    world, error_types = create_world(), {}

    def declare(name, number=0):
        nodes = (f"{name}-0", f"{name}-1")
        return world.clusters[name].do(
            capacity.GroupCommand(id=f"q{number}", group="search/replicas", nodes=nodes, quorum=1)
        )

    def both():
        hold = world.clusters["ebene"].state.part("holds").get("louis/m")
        for name in ("louis", "ebene") if hold is not None and hold.state != "dropped" else ("louis",):
            error_types[name] = declare(name)[1].get("error", {}).get("type")

    if step == "going back":
        world.when("shifting", lambda: stop_move(world), stage=1)
    world.when(step, both, stage=stage)
    begin_move(world)
    assert run_until_ended(world) == ("stopped" if step == "going back" else "done")
    assert error_types and set(error_types.values()) == {"BeingMoved"}
    assert [declare(name, 1)[0] for name in world.clusters] == [200, 200]


class CountingTransaction(state.Transaction):
    """Counts reads, and forbids iteration over parts that hold records of all services."""

    reads = 0

    def get(self, part, key):
        self.reads += 1
        return super().get(part, key)

    def part(self, name):
        whole = super().part(name)
        return LookupOnlyPart(whole) if name in ("reservations", "gangs", "groups") else whole


class LookupOnlyPart:
    """A part that allows lookups and `len`, but no iteration."""

    def __init__(self, whole):
        self.get, self.set, self.whole = whole.get, whole.set, whole

    def __getitem__(self, key):
        return self.whole[key]

    def __len__(self):
        return len(self.whole)


def test_move_reads_only_records_of_its_service():
    world = World(gateways=0)
    furnish(world, "louis", nodes=4, units=1000)
    louis, reads = world.clusters["louis"], []
    louis.do(capacity.Reserve(reservation="r", service="search", units=1, site="louis"))
    louis.do(capacity.GroupCommand(group="search/a", nodes=("louis-0", "louis-1"), quorum=1))
    louis.do(capacity.GroupCommand(group="searching", nodes=("louis-0", "louis-1"), quorum=1))
    for number in range(300):
        louis.do(capacity.Reserve(reservation=f"o{number}", service="other", units=1, site="louis"))
        louis.do(capacity.GangCommand(gang=f"other/{number}", nodes=("louis-0",), units=1))
        if number in (0, 299):
            now = louis.state
            transaction = CountingTransaction(now, Entry(now.index + 1, 1, COMMAND, now.moment, 1, b""))
            rules.start_move(transaction, rules.MoveCommand(move="m", service="search", to="ebene"))
            reads.append(transaction.reads)
    assert reads[0] == reads[1]
    assert transaction.get("moves", "m").reservations == ("r",)
    assert [group.group for group in transaction.get("moves", "m").groups] == ["search/a"]


@pytest.mark.parametrize("fields, says", [({"moves": ()}, "under way"), ({"closed": ""}, "wait for gangs")])
def test_checker_reports_missing_service_marks(fields, says):
    world = create_world()
    begin_move(world)
    assert world.run_till(lambda: world.move("m").step == "warming")
    here = promises.plain(world.clusters["louis"].state)
    assert promises.faults(here) == []
    here["services"]["search"] |= fields
    assert [fault for fault in promises.faults(here) if says in fault]


# ---- who may end a move or a hold


def test_destination_cannot_end_a_hold_in_use():
    world = create_world()
    begin_move(world)
    world.run_till(lambda: world.move("m").step == "shifting")
    ebene = world.clusters["ebene"]
    refused = [
        stop_move(world, "louis/m", "ebene"),
        ebene.do(capacity.Free(id="f", reservation="search-wide")),
    ]
    assert [code for code, _ in refused] == [409, 409]
    assert refused[0][1]["error"]["type"] == "DecidedElsewhere"
    assert run_until_ended(world) == "done"


@pytest.mark.parametrize("keep", (True, False))
def test_operator_ends_a_hold_whose_source_is_lost(keep):
    world = create_world()
    begin_move(world)
    world.run_till(lambda: world.move("m").step == "shifting")
    world.clusters["louis"].up = False
    ebene = world.clusters["ebene"]
    assert ebene.do(holds.HoldEnd(id="end", hold="louis/m", keep=keep, because="burnt down"))[0] == 200
    reservations = ebene.state.part("reservations")
    assert all(row.move == "" for row in reservations.values()) and bool(reservations) is keep
    assert ebene.state.part("holds")["louis/m"].by == "burnt down"
    assert ebene.do(holds.HoldEnd(id="2", hold="louis/m", keep=keep, because="again"))[0] == 409


def test_hold_ended_by_an_operator_rolls_the_move_back():
    world = create_world()
    end = holds.HoldEnd(id="end", hold="louis/m", keep=False, because="mistaken")
    world.when("shifting", lambda: world.clusters["ebene"].do(end), stage=4)
    begin_move(world)
    assert run_until_ended(world) == "refused" and holders(world) == ["louis"]
    assert "HoldEnded" in world.move("m").says


@pytest.mark.parametrize("step", STEPS[1:8], ids=NAMES[1:8])
def test_operator_ends_a_move_whose_destination_is_lost(step):
    world = create_world()
    world.when(step[0], lambda: setattr(world.clusters["ebene"], "up", False), stage=step[1])
    begin_move(world)
    world.run(world.now + 60 * SECOND)
    lost = rules.MoveLost(id="lost", move="m", because="flooded")
    assert world.clusters["louis"].do(lost)[0] == 200
    world.run(world.now + 60 * SECOND)
    move = world.move("m")
    assert (move.end, move.share, world.quiet()) == ("lost", 0, True) and "flooded" in move.says
    reservations = world.clusters["louis"].state.part("reservations")
    assert sorted(reservations) == ["search-pinned", "search-wide"] and not any(
        r.move for r in reservations.values()
    )
    assert len(world.clusters["louis"].state.part("groups")["search/replicas"].nodes) == 3
    assert world.checker.broken == []


# ---- bounds


def test_number_of_open_moves_is_bounded(monkeypatch):
    monkeypatch.setattr(rules, "MAX_OPEN_MOVES", 1)
    world = create_world()
    serve(world, "louis", "print")
    begin_move(world)
    code, body = begin_move(world, "n", "print", id="n")
    assert code == 409 and "1 moves are under way" in body["error"]["says"]


@pytest.mark.parametrize("days, fits", ((29, False), (31, True)))
def test_old_ended_moves_are_forgotten_to_make_room(monkeypatch, days, fits):
    monkeypatch.setattr(rules, "MAX_MOVES", 1)
    world = create_world(gateways=0)
    begin_move(world)
    run_until_ended(world)
    serve(world, "louis", "print")
    world.run(world.now + days * 86_400 * SECOND)
    code, _ = begin_move(world, "n", "print", id="n")
    assert (code == 200) is fits and ("m" in world.clusters["louis"].state.part("moves")) is not fits


def test_waits_between_calls_grow_with_jitter():
    move_task, progress = steps.MoveTask("louis", ("ebene",), 1), steps.StepProgress(())
    waits = []
    for _ in range(12):
        move_task.note_no_response(0, progress)
        waits.append(progress.wait_until)
    assert all(steps.MIN_WAIT_NS // 2 <= wait <= steps.MAX_WAIT_NS for wait in waits)
    assert waits[0] < waits[3] and len(set(waits)) == 12 and move_task.counts["unknown"] == 12


# ---- responses of another cluster may be anything

ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(("at", "warm", "cold_ms", "serving", "error", "type", "says", "do", "x")),
        inner,
        max_size=6,
    ),
    max_leaves=8,
)


@settings(max_examples=20, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from((0, -1, 200, 400, 409, 500, 503)), ANYTHING), max_size=6))
def test_invalid_responses_do_no_harm(invalid_responses):
    world, rest = create_world(group=1), list(invalid_responses)
    taken = world.taken
    world.taken = lambda call: rest.pop() if rest else taken(call)
    begin_move(world)
    assert run_until_ended(world) in ("done", "refused")


@pytest.mark.parametrize("source, code", (("louis", 200), ("a/b", 400), ("", 400)))
def test_invalid_source_names_are_rejected(source, code):
    take = holds.HoldTake(
        id="x",
        source=source,
        move="m",
        epoch=5,
        floor=5,
        service="s",
        pieces=(holds.ReservationPiece("r", 1, 0, "ebene"),),
    )
    assert create_world().clusters["ebene"].do(take)[0] == code


def test_ledger_of_the_program_includes_moves():
    found = assembly.make_ledger()
    assert {*rules.RULES, *holds.RULES} <= set(found.rules) and set(rules.KINDS) <= set(found.kinds)
    assert set(rules.INNER) <= set(found.inner)


def test_errors_have_advice_and_are_documented():
    page = pathlib.Path("docs/oncall.md").read_text()
    found = [one for one in vars(faults).values() if getattr(one, "__module__", "") == faults.__name__]
    assert len(found) >= 11
    for fault in found:
        assert fault("found").read()["do"] != Refused("found").read()["do"] and f"`{fault.__name__}`" in page


# ---- the checker catches faulty rules


def never_refused(function):
    def rule(transaction, command):
        try:
            return function(transaction, command)
        except Refused:
            return None

    return rule


def keep_at_once(transaction, command):
    """The destination keeps the capacity for good before the source has decided."""
    response = holds.take_hold(transaction, command)
    holds.make_hold_permanent(transaction, command.key, transaction.get("holds", command.key), "")
    return response


def take_too_much(transaction, command):
    for piece in command.pieces:
        capacity.add_reservation(
            transaction,
            piece.reservation,
            capacity.Reservation(command.service, piece.units, (), "ebene", command.key),
        )
    transaction.put(
        "holds",
        command.key,
        rules.Hold(
            command.source,
            command.move,
            command.epoch,
            command.service,
            reservations=tuple(piece.reservation for piece in command.pieces),
        ),
    )


def take_half(transaction, command):
    pieces = tuple(msgspec.structs.replace(piece, units=piece.units // 2) for piece in command.pieces)
    return holds.take_hold(transaction, msgspec.structs.replace(command, pieces=pieces))


def forget_dropped_hold(transaction, command):
    """A dropped hold is forgotten at once, so that a late command can hold the service again."""
    response = holds.drop_hold(transaction, command)
    transaction.drop("holds", command.key)
    return response


def drop_while_shifting(transaction, command):
    hold = transaction.get("holds", command.key)
    response = holds.warm_hold(transaction, command)
    if hold.state == "warm" and response["warm"]:
        holds.release_hold(transaction, command.key, transaction.get("holds", command.key), "")
    return response


def release_too_early(transaction, command):
    """The source frees its capacity before the destination has confirmed that it keeps the service."""
    move = transaction.get("moves", command.move)
    rules.advance_move(transaction, command)
    if move.step == "shifting" and move.share == 1000:
        for one in move.reservations:
            capacity.remove_reservation(transaction, one, transaction.get("reservations", one))


def hand_over_too_early(transaction, command):
    """The source gives up a member whether or not one serves at the destination."""
    return rules.advance_move(transaction, msgspec.structs.replace(command, serving=99))


def stop_too_late(transaction, command):
    move = transaction.get("moves", command.move)
    if move.step in ("settling", "done"):
        rules.finish_move(transaction, command.move, move, "stopped", 1)
    return {}


def move_twice(transaction, command):
    for name, reservation in transaction.part("reservations").items():
        transaction.put("reservations", name, msgspec.structs.replace(reservation, move=""))
    hidden = dict(transaction.part("moving"))
    for name in hidden:
        transaction.drop("moving", name)
    rules.start_move(transaction, command)
    for name, row in hidden.items():
        transaction.put("moving", name, row)


FAULTY_RULES = {
    "keeps at once": (None, {"HoldTake": keep_at_once}, None),
    "takes too much": (None, {"HoldTake": take_too_much}, "full"),
    "takes half": (None, {"HoldTake": take_half}, None),
    "forgets dropped holds": (None, {"HoldDrop": forget_dropped_hold}, "late take"),
    "drops while shifting": (None, {"HoldWarm": drop_while_shifting}, None),
    "frees early": ({"MoveAdvance": release_too_early}, None, None),
    "hands over too early": ({"MoveAdvance": hand_over_too_early}, None, "replicas lag"),
    "stops late": ({"MoveStop": stop_too_late}, None, "stop late"),
    "two moves": ({"MoveCommand": move_twice}, None, "two moves"),
}


@pytest.mark.parametrize("faulty_rule", FAULTY_RULES)
def test_checker_catches_a_faulty_rule(faulty_rule):
    here, there, scenario = FAULTY_RULES[faulty_rule]
    ledgers = {"louis": two_clusters.ledger(**here or {}), "ebene": two_clusters.ledger(**there or {})}
    world = create_world(group=3, ledgers=ledgers)
    if scenario == "full":
        world.clusters["ebene"].do(
            capacity.Reserve(id="r", reservation="other", service="other", units=30, site="ebene")
        )
    if scenario == "replicas lag":
        for number in range(4):
            world.clusters["ebene"].do(capacity.Report(node=f"ebene-{number}", state="catching_up"))
    if scenario == "late take":
        calls, taken = [], world.taken
        world.taken = lambda call: calls.append(call) or taken(call)
        world.when("shifting", lambda: stop_move(world))
    if scenario == "stop late":
        world.when("settling", lambda: (world.cut_for(5 * SECOND), stop_move(world)))
    if scenario == "two moves":
        world.when("shifting", lambda: begin_move(world, "n", id="n"))
    begin_move(world)
    world.run(world.now + 60 * SECOND)
    if scenario == "late take":
        world.taken(calls[0])
    world.checker.settled()
    assert world.checker.broken


def test_checker_reports_nothing_without_a_fault():
    world = create_world()
    begin_move(world)
    assert run_until_ended(world) == "done"
    assert world.checker.pieces and world.checker.takes == {("ebene", "louis/m", world.move("m").epoch): 1}
