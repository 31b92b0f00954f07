"""Moves between clusters: rules, the duty under every fault at every step, and checkers that catch faults
put in on purpose."""

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
from lemonlead.member import whole
from lemonlead.moves import faults, rules, steps
from lemonlead.standins import promises, two_clusters
from lemonlead.standins.move_faults import FAULTS, NAMES, STEPS, awaited, begin, crossed, lossy, made, stop
from lemonlead.standins.two_clusters import MS, SECOND, World, furnish, serve


def ends(world, most=900 * SECOND):
    """It comes to its end, on both sides, with nothing broken on the way."""
    assert world.run_till(world.quiet, most), [world.move("m"), world.watch.broken]
    assert world.run_till(lambda: not world.flying)
    world.run(world.now + 5 * SECOND)
    world.watch.settled()
    assert world.watch.broken == []
    for side in world.sides.values():
        assert promises.faults(promises.plain(side.state)) == []
    return world.move("m").end


def holders(world):
    assert world.watch.holders("search-wide") == world.watch.holders("search-pinned")
    return world.watch.holders("search-wide")


# ---- every step crossed with every fault


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS, ids=NAMES)
def test_each_step_with_each_fault(step, fault):
    world, met = crossed(*step, fault, seed=STEPS.index(step))
    assert ends(world) == awaited(step[0], fault)
    assert met
    assert holders(world) == (["louis"] if world.move("m").end == "stopped" else ["ebene"])
    group = {name for name, side in world.sides.items() if "search/replicas" in side.state.part("groups")}
    assert group == set(holders(world))


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    st.integers(0, 1 << 30),
    st.lists(st.tuples(st.integers(0, 40_000), st.sampled_from(sorted(FAULTS))), max_size=6),
    st.floats(0, 0.4),
)
def test_schedules(seed, faults, lose):
    world = made(seed)
    begin(world)
    for later, fault in faults:
        world.at(world.now + later * MS, lambda fault=fault: FAULTS[fault](world))
    lossy(world, 50 * SECOND, lose=lose, twice=lose, straggle=20 * SECOND)
    end = ends(world)
    assert holders(world) == (["ebene"] if end == "done" else ["louis"])


# ---- a move that can't be, and several at once


def test_worse_there_goes_back():
    world = made(judge=lambda world, gateway, move: "back" if move.stage == 2 else "on")
    begin(world)
    assert ends(world) == "sent back"
    assert holders(world) == ["louis"]
    assert "worse at 50 %" in world.move("m").says


def test_two_full_clusters_that_swap_are_refused_with_what_is_missing():
    world = World()
    for cluster, service in (("louis", "search"), ("ebene", "print")):
        furnish(world, cluster, nodes=2)
        serve(world, cluster, service, units=12, pinned=4)
    begin(world)
    begin(world, "n", "print", "ebene", "louis")
    assert ends(world) == "refused"
    for move in (world.move("m"), world.move("n", "ebene")):
        assert move.end == "refused" and "NoRoomThere" in move.says and "free" in move.says
    assert holders(world) == ["louis"]
    assert world.watch.holders("print-wide") == ["ebene"]


def test_a_swap_through_what_is_free():
    world = World()
    for cluster, service in (("louis", "search"), ("ebene", "print")):
        furnish(world, cluster, nodes=4)
        serve(world, cluster, service, units=12, pinned=4)
    begin(world)
    begin(world, "n", "print", "ebene", "louis")
    assert ends(world) == "done"
    assert holders(world) == ["ebene"] and world.watch.holders("print-wide") == ["louis"]


def test_a_second_move_of_a_service_is_refused():
    world = made()
    assert begin(world)[0] == 200
    code, body = begin(world, "n", id="other")
    assert (code, body["error"]["type"]) == (409, "MoveOpen")
    world.when("shifting", lambda: world.answers.append(begin(world, "o", id="later")))
    ends(world)
    assert [answer[1]["error"]["type"] for answer in world.answers] == ["MoveOpen"]


@pytest.mark.parametrize("late", (0, 86_400 * SECOND, 86_400 * SECOND * 40))
def test_the_same_command_again_after_a_day(late):
    world = made(gateways=0)
    first = begin(world)
    ends(world)
    serve(world, "louis", "search")  # a new service of that name, which the old command must not move
    world.run(world.now + late)
    again = begin(world)
    if late:
        assert again[0] == 409 and again[1]["error"]["type"] == "MoveKnown"
    else:
        assert again == first
    assert stop(world)[1]["error"]["type"] == "TooLate"
    assert world.quiet()


def test_each_destination_command_again_after_a_day():
    world = made(gateways=0)
    sent, taken = [], world.taken
    world.taken = lambda call: sent.append(call) or taken(call)
    begin(world)
    assert ends(world) == "done"
    world.run(world.now + 86_400 * SECOND)
    before = world.sides["ebene"].state.parts
    for call in sent + sent[::-1]:
        taken(call)
    assert world.sides["ebene"].state.parts == before and len(sent) > 5


def test_what_ended_is_forgotten_by_the_next_move():
    world = made(gateways=0)
    late = []
    taken = world.taken
    world.taken = lambda call: late.append(call) or taken(call)
    begin(world)
    ends(world)
    serve(world, "louis", "print")
    begin(world, "n", "print", id="second")
    ends(world)
    holds = world.sides["ebene"].state.part("holds")
    assert list(holds) == ["louis/n"]
    world.sides["ebene"].do(capacity.Free(id="f", reservation="search-wide"))
    before = world.sides["ebene"].state.parts
    again = [taken(call) for call in late if b'"m"' in call.data]
    assert world.sides["ebene"].state.parts == before and len(again) > 5


@pytest.mark.parametrize("to", ("atlantis", "louis"))
def test_move_to_a_cluster_that_nobody_knows_or_to_itself(to):
    world = made()
    begin(world, to=to)
    assert ends(world) == "refused"
    assert to in world.move("m").says and holders(world) == ["louis"]


@pytest.mark.parametrize("step", STEPS[1:8:2], ids=NAMES[1:8:2])
@pytest.mark.parametrize("clusters", (("louis",), ("ebene",), ("louis", "ebene")), ids="-".join)
def test_all_nodes_drained_in_turn_meanwhile(clusters, step):
    """Neither waits for the other for ever: both come to their end."""
    world = made()

    def drain():
        for cluster in clusters:
            side = world.sides[cluster]
            side.obey()
            nodes = tuple(f"{cluster}-{number}" for number in range(4))
            assert side.do(drains.DrainCommand(id="d", drain="d", nodes=nodes))[0] == 200

    world.when(step[0], drain, stage=step[1])
    begin(world)
    end = ends(world)
    assert end == "done" or "ebene" in clusters and step[0] == "reserving" and end == "refused"
    assert holders(world) == (["ebene"] if end == "done" else ["louis"])
    assert world.run_till(
        lambda: all(world.sides[cluster].state.part("drains")["d"].phase == "done" for cluster in clusters)
    )
    assert world.watch.broken == []


def cordon(side, names):
    """As a drain of these nodes leaves them before any is out."""
    nodes = side.state.part("nodes")
    for name in names:
        nodes = nodes.set(name, msgspec.structs.replace(nodes[name], cordon_ms=1))
    side.state = replace(side.state, parts=side.state.parts.set("nodes", nodes))


@pytest.mark.parametrize("left, end", ((2, "done"), (0, "refused")))
def test_nodes_that_are_to_go_are_no_room(left, end):
    """They are passed over; where the rest has no room, the move is refused at once."""
    world = made(group=0)
    cordon(world.sides["ebene"], [f"ebene-{number}" for number in range(4 - left)])
    begin(world)
    assert ends(world, 30 * SECOND) == end
    if left:
        pinned = world.sides["ebene"].state.part("reservations")["search-pinned"]
        assert set(pinned.nodes) == {"ebene-2", "ebene-3"}
    else:
        assert "NoRoomThere" in world.move("m").says


# ---- groups and gangs


def test_a_group_goes_member_by_member():
    world = made(group=3)
    sizes = []

    def hook(side, changes):
        if any(part == "groups" for part, _ in changes):
            sizes.append(
                tuple(
                    len(getattr(world.sides[name].state.part("groups").get("search/replicas"), "nodes", ()))
                    for name in ("louis", "ebene")
                )
            )

    world.hooks.append(hook)
    begin(world)
    assert ends(world) == "done"
    assert list(dict.fromkeys(sizes)) == [(3, 1), (2, 1), (2, 2), (1, 2), (1, 3), (0, 3)]


def test_a_replica_that_never_serves_there_sends_the_move_back(monkeypatch):
    for module in (rules, steps):
        monkeypatch.setattr(module, "PATIENCE", 60 * SECOND)
    world = made(group=3)
    for number in range(4):
        world.sides["ebene"].do(capacity.Report(node=f"ebene-{number}", state="catching_up"))
    begin(world)
    assert world.run_till(lambda: world.move("m").step == "members")
    assert ends(world) == "overdue" and holders(world) == ["louis"]
    assert world.sides["louis"].state.part("groups")["search/replicas"].quorum == 2


def test_a_gang_that_runs_is_not_moved():
    world = made()
    gang = capacity.GangCommand(id="g", gang="search/night", nodes=("louis-3",), units=1)
    assert world.sides["louis"].do(gang)[0] == 200
    assert begin(world)[1]["error"]["type"] == "GangRuns"


def night(number, gang="search/night"):
    return capacity.GangCommand(id=f"g{number}", gang=gang, nodes=("louis-3",), units=1)


def test_a_gang_that_starts_on_the_way_is_waited_for_and_none_may_follow_it():
    """Gangs that follow one another without a gap would hold the move until it is overdue."""
    world = made()
    louis, refused = world.sides["louis"], []
    world.when("reserving", lambda: louis.do(night(0)))
    begin(world)
    world.run(world.now + 120 * SECOND)
    assert world.move("m").step == "members" and all(one.over == 3 for one in world.move("m").groups)
    code, body = louis.do(night(1, "search/day"))
    assert (code, body["error"]["type"]) == (409, "BeingMoved") and "move m" in body["error"]["says"]
    assert louis.do(night(2, "searching"))[0] == 200
    louis.do(capacity.GangEnd(id="e", gang="search/night"))
    world.when("settling", lambda: refused.append(louis.do(night(3))[0]))
    assert ends(world) == "done" and refused == [409]
    assert louis.do(night(4))[0] == 200


def test_a_move_that_goes_back_lets_gangs_start():
    world, codes = made(), []
    world.when("shifting", lambda: stop(world), stage=1)
    world.when("going back", lambda: codes.append(world.sides["louis"].do(night(0))[0]))
    begin(world)
    assert ends(world) == "stopped" and codes == [200]


@pytest.mark.parametrize("step, stage", [one for one in STEPS if one[0] not in ("asked", "dropping")])
def test_a_group_that_is_being_moved_is_not_declared_anew(step, stage):
    world, told = made(), {}

    def declare(name, number=0):
        nodes = (f"{name}-0", f"{name}-1")
        return world.sides[name].do(
            capacity.GroupCommand(id=f"q{number}", group="search/replicas", nodes=nodes, quorum=1)
        )

    def both():
        held = world.sides["ebene"].state.part("holds").get("louis/m")
        for name in ("louis", "ebene") if held is not None and held.state != "dropped" else ("louis",):
            told[name] = declare(name)[1].get("error", {}).get("type")

    if step == "going back":
        world.when("shifting", lambda: stop(world), stage=1)
    world.when(step, both, stage=stage)
    begin(world)
    assert ends(world) == ("stopped" if step == "going back" else "done")
    assert told and set(told.values()) == {"BeingMoved"}
    assert [declare(name, 1)[0] for name in world.sides] == [200, 200]


class Counted(state.Transaction):
    """Counts what is gone over, and forbids to go over a part that holds records of all services."""

    looked = 0

    def get(self, part, key):
        self.looked += 1
        return super().get(part, key)

    def part(self, name):
        whole = super().part(name)
        return Closed(whole) if name in ("reservations", "gangs", "groups") else whole


class Closed:
    """A part that may be looked up in and counted, and not gone over."""

    def __init__(self, whole):
        self.get, self.set, self.whole = whole.get, whole.set, whole

    def __getitem__(self, key):
        return self.whole[key]

    def __len__(self):
        return len(self.whole)


def test_a_move_looks_at_its_own_service_alone():
    world = World(gateways=0)
    furnish(world, "louis", nodes=4, units=1000)
    louis, looked = world.sides["louis"], []
    louis.do(capacity.Reserve(reservation="r", service="search", units=1, site="louis"))
    louis.do(capacity.GroupCommand(group="search/a", nodes=("louis-0", "louis-1"), quorum=1))
    louis.do(capacity.GroupCommand(group="searching", nodes=("louis-0", "louis-1"), quorum=1))
    for number in range(300):
        louis.do(capacity.Reserve(reservation=f"o{number}", service="other", units=1, site="louis"))
        louis.do(capacity.GangCommand(gang=f"other/{number}", nodes=("louis-0",), units=1))
        if number in (0, 299):
            now = louis.state
            draft = Counted(now, Entry(now.index + 1, 1, COMMAND, now.moment, 1, b""))
            rules.begin(draft, rules.MoveCommand(move="m", service="search", to="ebene"))
            looked.append(draft.looked)
    assert looked[0] == looked[1]
    assert draft.get("moves", "m").reservations == ("r",)
    assert [group.group for group in draft.get("moves", "m").groups] == ["search/a"]


@pytest.mark.parametrize("fields, says", [({"moves": ()}, "under way"), ({"closed": ""}, "wait for gangs")])
def test_marks_that_are_left_out_are_seen(fields, says):
    world = made()
    begin(world)
    assert world.run_till(lambda: world.move("m").step == "warming")
    here = promises.plain(world.sides["louis"].state)
    assert promises.faults(here) == []
    here["services"]["search"] |= fields
    assert [fault for fault in promises.faults(here) if says in fault]


# ---- who may end what


def test_the_destination_ends_no_hold_that_its_source_relies_on():
    world = made()
    begin(world)
    world.run_till(lambda: world.move("m").step == "shifting")
    ebene = world.sides["ebene"]
    refused = [stop(world, "louis/m", "ebene"), ebene.do(capacity.Free(id="f", reservation="search-wide"))]
    assert [code for code, _ in refused] == [409, 409]
    assert refused[0][1]["error"]["type"] == "DecidedElsewhere"
    assert ends(world) == "done"


@pytest.mark.parametrize("keep", (True, False))
def test_a_source_lost_for_good(keep):
    world = made()
    begin(world)
    world.run_till(lambda: world.move("m").step == "shifting")
    world.sides["louis"].up = False
    ebene = world.sides["ebene"]
    assert ebene.do(rules.HoldEnd(id="end", hold="louis/m", keep=keep, because="burnt down"))[0] == 200
    held = ebene.state.part("reservations")
    assert all(row.move == "" for row in held.values()) and bool(held) is keep
    assert ebene.state.part("holds")["louis/m"].by == "burnt down"
    assert ebene.do(rules.HoldEnd(id="2", hold="louis/m", keep=keep, because="again"))[0] == 409


def test_a_hold_ended_by_hand_while_its_source_lives():
    world = made()
    end = rules.HoldEnd(id="end", hold="louis/m", keep=False, because="mistaken")
    world.when("shifting", lambda: world.sides["ebene"].do(end), stage=4)
    begin(world)
    assert ends(world) == "refused" and holders(world) == ["louis"]
    assert "HoldEnded" in world.move("m").says


@pytest.mark.parametrize("step", STEPS[1:8], ids=NAMES[1:8])
def test_a_destination_lost_for_good(step):
    world = made()
    world.when(step[0], lambda: setattr(world.sides["ebene"], "up", False), stage=step[1])
    begin(world)
    world.run(world.now + 60 * SECOND)
    lost = rules.MoveLost(id="lost", move="m", because="flooded")
    assert world.sides["louis"].do(lost)[0] == 200
    world.run(world.now + 60 * SECOND)
    move = world.move("m")
    assert (move.end, move.share, world.quiet()) == ("lost", 0, True) and "flooded" in move.says
    held = world.sides["louis"].state.part("reservations")
    assert sorted(held) == ["search-pinned", "search-wide"] and not any(r.move for r in held.values())
    assert len(world.sides["louis"].state.part("groups")["search/replicas"].nodes) == 3
    assert world.watch.broken == []


# ---- bounds


def test_moves_under_way_are_bounded(monkeypatch):
    monkeypatch.setattr(rules, "MOST_OPEN", 1)
    world = made()
    serve(world, "louis", "print")
    begin(world)
    code, body = begin(world, "n", "print", id="n")
    assert code == 409 and "1 moves are under way" in body["error"]["says"]


@pytest.mark.parametrize("days, fits", ((29, False), (31, True)))
def test_ended_moves_are_forgotten_after_a_month_where_room_is_short(monkeypatch, days, fits):
    monkeypatch.setattr(rules, "MOST_MOVES", 1)
    world = made(gateways=0)
    begin(world)
    ends(world)
    serve(world, "louis", "print")
    world.run(world.now + days * 86_400 * SECOND)
    code, _ = begin(world, "n", "print", id="n")
    assert (code == 200) is fits and ("m" in world.sides["louis"].state.part("moves")) is not fits


def test_waits_grow_and_are_spread():
    duty, task = steps.MoveTask("louis", ("ebene",), 1), steps.Task(())
    waits = []
    for _ in range(12):
        duty.unanswered(0, task)
        waits.append(task.wait)
    assert all(steps.MIN_WAIT_NS // 2 <= wait <= steps.MAX_WAIT_NS for wait in waits)
    assert waits[0] < waits[3] and len(set(waits)) == 12 and duty.counts["unknown"] == 12


# ---- what another cluster answers may be anything

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
def test_answers_that_make_no_sense_harm_nothing(garbage):
    world, rest = made(group=1), list(garbage)
    taken = world.taken
    world.taken = lambda call: rest.pop() if rest else taken(call)
    begin(world)
    assert ends(world) in ("done", "refused")


@pytest.mark.parametrize("source, code", (("louis", 200), ("a/b", 400), ("", 400)))
def test_a_source_whose_name_could_be_taken_for_another_makes_no_sense(source, code):
    take = rules.HoldTake(
        id="x",
        source=source,
        move="m",
        epoch=5,
        floor=5,
        service="s",
        pieces=(rules.Piece("r", 1, 0, "ebene"),),
    )
    assert made().sides["ebene"].do(take)[0] == code


def test_the_ledger_of_the_program_takes_moves_in():
    found = whole.ledger()
    assert set(rules.RULES) <= set(found.rules) and set(rules.KINDS) <= set(found.kinds)
    assert set(rules.INNER) <= set(found.inner)


def test_each_error_says_what_to_do_and_is_on_the_page_for_on_call():
    page = pathlib.Path("docs/oncall.md").read_text()
    found = [one for one in vars(faults).values() if getattr(one, "__module__", "") == faults.__name__]
    assert len(found) >= 11
    for fault in found:
        assert fault("found").read()["do"] != Refused("found").read()["do"] and f"`{fault.__name__}`" in page


# ---- the checker catches faults put in on purpose


def never_refused(function):
    def rule(draft, command):
        try:
            return function(draft, command)
        except Refused:
            return None

    return rule


def keeps_at_once(draft, command):
    """The destination takes what it holds for its own before the source decided."""
    answer = rules.take(draft, command)
    rules.make_hold_permanent(draft, command.key, draft.get("holds", command.key), "")
    return answer


def takes_too_much(draft, command):
    for piece in command.pieces:
        capacity.add_reservation(
            draft,
            piece.reservation,
            capacity.Reservation(command.service, piece.units, (), "ebene", command.key),
        )
    draft.put(
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


def takes_half(draft, command):
    pieces = tuple(msgspec.structs.replace(piece, units=piece.units // 2) for piece in command.pieces)
    return rules.take(draft, msgspec.structs.replace(command, pieces=pieces))


def forgets_ends(draft, command):
    """No fence: a hold that was dropped is forgotten at once."""
    answer = rules.drop(draft, command)
    draft.drop("holds", command.key)
    return answer


def drops_while_shifting(draft, command):
    hold = draft.get("holds", command.key)
    answer = rules.warm_hold(draft, command)
    if hold.state == "warm" and answer["warm"]:
        rules.release_hold(draft, command.key, draft.get("holds", command.key), "")
    return answer


def frees_early(draft, command):
    """Free here before the other side has said that it keeps it."""
    move = draft.get("moves", command.move)
    rules.forward(draft, command)
    if move.step == "shifting" and move.share == 1000:
        for one in move.reservations:
            capacity.remove_reservation(draft, one, draft.get("reservations", one))


def hands_over_unasked(draft, command):
    """A member goes here whether or not another serves there."""
    return rules.forward(draft, msgspec.structs.replace(command, serving=99))


def stops_late(draft, command):
    move = draft.get("moves", command.move)
    if move.step in ("settling", "done"):
        rules.finish(draft, command.move, move, "stopped", 1)
    return {}


def two_moves(draft, command):
    for name, held in draft.part("reservations").items():
        draft.put("reservations", name, msgspec.structs.replace(held, move=""))
    hidden = dict(draft.part("moving"))
    for name in hidden:
        draft.drop("moving", name)
    rules.begin(draft, command)
    for name, row in hidden.items():
        draft.put("moving", name, row)


FORGED = {
    "keeps at once": (None, {"HoldTake": keeps_at_once}, None),
    "takes too much": (None, {"HoldTake": takes_too_much}, "full"),
    "takes half": (None, {"HoldTake": takes_half}, None),
    "forgets ends": (None, {"HoldDrop": forgets_ends}, "late take"),
    "drops while shifting": (None, {"HoldWarm": drops_while_shifting}, None),
    "frees early": ({"MoveAdvance": frees_early}, None, None),
    "hands over unasked": ({"MoveAdvance": hands_over_unasked}, None, "replicas lag"),
    "stops late": ({"MoveStop": stops_late}, None, "stop late"),
    "two moves": ({"MoveCommand": two_moves}, None, "two moves"),
}


@pytest.mark.parametrize("forged", FORGED)
def test_the_checker_catches(forged):
    here, there, scene = FORGED[forged]
    ledgers = {"louis": two_clusters.ledger(**here or {}), "ebene": two_clusters.ledger(**there or {})}
    world = made(group=3, ledgers=ledgers)
    if scene == "full":
        world.sides["ebene"].do(
            capacity.Reserve(id="r", reservation="other", service="other", units=30, site="ebene")
        )
    if scene == "replicas lag":
        for number in range(4):
            world.sides["ebene"].do(capacity.Report(node=f"ebene-{number}", state="catching_up"))
    if scene == "late take":
        calls, taken = [], world.taken
        world.taken = lambda call: calls.append(call) or taken(call)
        world.when("shifting", lambda: stop(world))
    if scene == "stop late":
        world.when("settling", lambda: (world.cut_for(5 * SECOND), stop(world)))
    if scene == "two moves":
        world.when("shifting", lambda: begin(world, "n", id="n"))
    begin(world)
    world.run(world.now + 60 * SECOND)
    if scene == "late take":
        world.taken(calls[0])
    world.watch.settled()
    assert world.watch.broken


def test_the_checker_finds_nothing_where_nothing_is_wrong():
    world = made()
    begin(world)
    assert ends(world) == "done"
    assert world.watch.pieces and world.watch.takes == {("ebene", "louis/m", world.move("m").epoch): 1}
