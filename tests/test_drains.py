"""Rolling drains: the rules, what can't be done, waves, and whole drains in simulated time with everything
that may go wrong, counted by a checker that shares no code with them."""

import random
from dataclasses import replace
from itertools import combinations
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonlead.drains import faults, leader_task, planner, rules
from lemonlead.drains.planner import Plan, PlanRequest, lower_bound
from lemonlead.drains.request_builder import PlanRequestBuilder
from lemonlead.ledger.faults import Fault, Senseless
from lemonlead.ledger.records import Entry
from lemonlead.ledger.state import Transaction
from lemonlead.moves.rules import remove_group
from lemonlead.standins.drain_checks import Watch
from lemonlead.standins.drain_world import MS, S, World

HOUR = 3_600_000


def world(nodes=8, sites="a", units=10, seed=1, **more):
    made = World(seed, **more)
    for number in range(nodes):
        made.ask("node", node=f"n{number}", site=sites[number % len(sites)], units=units)
    return made


def names(count, start=0):
    return [f"n{number}" for number in range(start, start + count)]


def begin(made, nodes, drain="kernel", hours=1):
    return made.ask("drain", drain=drain, nodes=nodes, deadline_ms=made.wall + int(hours * HOUR))


def done(made):
    return all(one.phase != "running" for one in made.state.part("drains").values())


def stuck(made, drain="kernel"):
    return {one.type for one in made.state.part("progress")[drain].stuck}


def permits(made, *phases):
    return {name for name, one in made.state.part("permits").items() if not phases or one.phase in phases}


def until(made, holds, most=3000):
    assert made.run(holds, most), (stuck(made), dict(made.state.part("permits")))
    assert made.broken == []


# ---- a drain of all nodes


def test_all_nodes_go_in_turn_and_come_back():
    made = world(30, "ab")
    for number in range(10):
        made.ask("group", group=f"g{number}", nodes=names(3, 3 * number), quorum=2)
    assert made.ask("reserve", reservation="r", service="s", units=100, site="a")[0] == 200
    assert begin(made, names(30))[0] == 200
    until(made, done)
    assert made.waves == 5 and made.watch.permits_given == 30  # a quarter of each site at once
    assert not permits(made) and not made.state.part("wants")
    assert all(not node.cordon_ms and not node.out for node in made.state.part("nodes").values())
    shown = rules.describe_drains(made.state)["kernel"]
    assert (shown["phase"], shown["left"], shown["permits"]) == ("done", 0, {})


def test_a_node_is_cleared_only_once_each_gateway_has_acknowledged_or_run_out():
    made = world(4)
    made.gateways["gw0"][2] = True  # it hears nothing and goes on with its last list
    begin(made, ["n0"])
    made.run(lambda w: permits(w, "given"), 10)
    given = made.now
    made.run(lambda w: permits(w, "clear"), 100, 50 * MS)
    patience = made.terms.lease + made.terms.grace
    assert given + patience / 2 < made.now <= given + patience + S and made.broken == []
    until(made, done)


# ---- what can't be done is found before it begins


def test_a_group_that_needs_all_its_nodes():
    made = world(4)
    made.ask("group", group="g", nodes=names(3), quorum=3)
    code, body = begin(made, names(4))
    error = body["error"]
    assert (code, error["type"]) == (409, "GroupNeedsAll")
    assert "n0, n1, n2" in error["says"] and "quorum of group g to 2" in error["do"]
    made.ask("group", group="g", nodes=names(3), quorum=2)  # the change that it names helps
    assert begin(made, names(4))[0] == 200
    until(made, done)


@pytest.mark.parametrize("by", ["site", "nodes"])
def test_a_site_that_promised_too_much(by):
    made = world(4)
    where = {"site": "a", "units": 33} if by == "site" else {"nodes": names(3), "units": 10}
    made.ask("reserve", reservation="r", service="s", **where)
    if by == "nodes":
        made.ask("reserve", reservation="r2", service="s", site="a", units=3)
    code, body = begin(made, names(4))
    assert (code, body["error"]["type"]) == (409, "SiteNeedsAll") and "free 3 units" in body["error"]["do"]
    made.ask("node", node="n9", site="a", units=3)
    assert begin(made, names(4))[0] == 200
    until(made, done)


def test_a_gang_that_ends_after_the_deadline():
    made = world(4)
    made.ask("gang", gang="j", nodes=["n1", "n2"], units=5, ends_ms=made.wall + 2 * HOUR)
    code, body = begin(made, names(4))
    assert (code, body["error"]["type"]) == (409, "GangEndsLate")
    assert "n1, n2" in body["error"]["says"] and f"deadline to {made.wall + 2 * HOUR}" in body["error"]["do"]


def test_several_things_are_told_at_once_and_nothing_is_changed():
    made = world(4)
    made.ask("group", group="g", nodes=names(2), quorum=2)
    made.ask("reserve", reservation="r", service="s", site="a", units=35)
    before = made.state.parts
    code, body = begin(made, names(4))
    assert (code, body["error"]["type"]) == (409, "SeveralInTheWay") and made.state.parts is before
    assert "group g" in body["error"]["says"] and "site a" in body["error"]["says"]


@pytest.mark.parametrize(
    "kind, fields, code, type",
    [
        ("drain", {"drain": "d", "nodes": ["n0", "n0"], "deadline_ms": 0}, 400, "Senseless"),
        ("drain", {"drain": "d", "nodes": ["nowhere"], "deadline_ms": 0}, 409, "Refused"),
        ("drain", {"drain": "d", "nodes": ["n0"], "deadline_ms": 1}, 409, "DeadlinePassed"),
        ("drain_stop", {"drain": "d"}, 409, "NoSuchDrain"),
    ],
)
def test_commands_that_are_turned_down(kind, fields, code, type):
    got, body = world(2).ask(kind, **fields)
    assert (got, body["error"]["type"]) == (code, type)


# ---- gangs


def test_a_gang_with_a_known_end_is_waited_for_and_others_go_on():
    made = world(8)
    made.ask("gang", gang="j", nodes=["n1", "n2"], units=5, ends_ms=made.wall + 60_000)
    begin(made, names(8))
    until(made, lambda w: w.state.part("progress")["kernel"].left == 2)
    assert "n1" not in permits(made) and stuck(made) == set()
    made.run(lambda w: w.wall > 1_000_000 + 70_000)
    made.run(lambda w: stuck(w), 20)
    assert stuck(made) == {"GangOverran"} and not permits(made)  # past its end it still counts as running
    made.ask("gang_end", gang="j")
    until(made, done)


@pytest.mark.parametrize("lasts, waves", [(30, 1), (3000, 2)])
def test_a_wave_waits_for_a_gang_that_ends_soon_where_it_would_save_none(lasts, waves):
    made = world(12)
    ends = made.wall + lasts * 1000
    made.ask("gang", gang="j", nodes=["n2"], units=5, ends_ms=ends)
    begin(made, names(3), hours=2)
    while not done(made) and made.wall < ends + 100_000:
        made.step(S // 2)
        if made.wall >= ends and "j" in made.state.part("gangs"):
            made.ask("gang_end", gang="j")
    assert done(made) and made.waves == waves and made.broken == []


def test_a_gang_without_an_end_is_told_by_name():
    made = world(8)
    made.ask("gang", gang="j", nodes=["n1", "n2"], units=5)
    assert begin(made, names(8))[0] == 200
    until(made, lambda w: w.state.part("progress")["kernel"].left == 2)
    made.run(lambda w: stuck(w), 20)
    told = made.state.part("progress")["kernel"].stuck[0]
    assert told.type == "GangWithoutEnd" and "gang j" in told.says and "n1, n2" in told.says and told.do
    made.ask("gang_end", gang="j")
    until(made, done)


def test_no_gang_starts_that_would_hold_a_node_past_its_cordon():
    made = world(8)
    deadline = made.wall + HOUR
    made.ask("gang", gang="held", nodes=["n0"], units=5, ends_ms=made.wall + HOUR // 2)
    begin(made, ["n0", "n1"])
    cordon = made.state.part("nodes")["n0"].cordon_ms
    assert deadline - 10 * rules.WAVE_MS < cordon < deadline  # as late as leaves time for the waves
    for ends, code in [(0, 409), (deadline, 409), (1, 409), (cordon, 200)]:
        fields = {"nodes": ["n0"], "units": 1, "ends_ms": ends}
        assert made.ask("gang", gang=f"g{ends}", **fields)[0] == code
    assert made.ask("gang", gang="elsewhere", nodes=["n5"], units=1)[0] == 200


def test_gangs_that_follow_one_another_do_not_starve_a_drain_nor_it_them():
    made = world(4)
    begin(made, ["n0"], hours=0.1)
    made.ask("gang", gang="g", nodes=["n0"], units=5, ends_ms=made.wall + 30_000)
    started, seen = 0, made.wall
    while not done(made) and made.wall < seen + 2 * HOUR:
        made.step(S)
        gangs = made.state.part("gangs")
        if "g" in gangs and gangs["g"].ends_ms <= made.wall:
            made.ask("gang_end", gang="g")
            started += made.ask("gang", gang="g", nodes=["n0"], units=5, ends_ms=made.wall + 30_000)[0] == 200
    assert done(made) and started > 3 and made.broken == []
    assert made.ask("gang", gang="h", nodes=["n0"], units=5)[0] == 200


def test_a_late_drain_lets_gangs_in_after_a_bounded_hold():
    made = world(4)
    made.ask("gang", gang="endless", nodes=["n0"], units=5)
    begin(made, ["n0"], hours=0.1)
    made.wall += HOUR // 2
    made.step(2 * S)
    assert made.ask("gang", gang="g", nodes=["n0"], units=1, ends_ms=made.wall + 1000)[0] == 409
    made.wall += 2 * HOUR
    made.run(lambda w: w.state.part("nodes")["n0"].cordon_ms > w.wall, 30)
    assert made.ask("gang", gang="g", nodes=["n0"], units=1, ends_ms=made.wall + 1000)[0] == 200


def test_a_drain_without_progress_for_a_day_ends_and_says_so():
    made = world(4)
    made.ask("gang", gang="endless", nodes=["n0"], units=5)
    begin(made, ["n0"], hours=0.1)
    made.step(25 * 3600 * S)
    assert made.phase("kernel") == "given up" and "GivenUp" in stuck(made)
    assert made.ask("gang", gang="g", nodes=["n0"], units=1)[0] == 200


# ---- things that happen meanwhile


def test_a_failed_node_halts_the_wave_and_unstarted_permits_go_back():
    made = world(12, pace=(300, 400))
    made.ask("group", group="g", nodes=names(3), quorum=2)
    begin(made, names(3))
    made.run(lambda w: permits(w, "given"), 10, 10 * MS)
    (going,) = permits(made)
    other = next(name for name in names(3) if name != going)
    made.fail(other)
    made.step(10 * MS)
    assert going not in permits(made) and made.state.part("nodes")[going].out == ""  # back at once
    made.run(lambda w: stuck(w), 30)
    assert {"GroupShort", "NotBack"} <= stuck(made)
    made.heal(other)
    until(made, done)


def test_a_permit_taken_back_that_may_have_been_acted_on_counts_as_away():
    made = world(12)
    made.ask("group", group="g", nodes=names(3), quorum=2)
    begin(made, ["n0"])
    made.run(lambda w: permits(w, "clear"), 100, 10 * MS)
    made.nodes["n0"].sees = made.now + 900 * MS  # it does not hear of it yet
    made.ask("report", node="n1", state="catching_up")
    made.step(10 * MS)
    assert permits(made, "recalled") == {"n0"} and made.state.part("nodes")["n0"].out == "kernel"
    made.ask("report", node="n0", state="serving")  # said before it heard: proves nothing
    assert permits(made, "recalled") == {"n0"}
    made.run(lambda w: not permits(w), 20, 100 * MS)  # it has seen it, and says that it serves
    assert made.state.part("nodes")["n0"].out == ""
    made.ask("report", node="n1", state="serving")
    until(made, done)


def test_a_node_that_does_not_come_back_is_told_and_others_go_on():
    made = world(12, late=20 * S)
    made.no_return.add("n0")
    begin(made, names(12))
    until(made, lambda w: w.state.part("progress")["kernel"].left == 1)
    made.run(lambda w: stuck(w), 30)
    assert stuck(made) == {"NotBack"} and permits(made, "down") == {"n0"}
    made.no_return.clear()
    until(made, done)


def test_a_site_of_few_nodes_goes_on_once_the_lost_one_is_reported_failed():
    made = world(3, late=20 * S)
    made.no_return.add("n0")
    begin(made, names(3))
    made.run(lambda w: "SiteShareTaken" in stuck(w))
    assert stuck(made) == {"NotBack", "SiteShareTaken"}
    made.fail("n0")
    until(made, lambda w: w.state.part("progress")["kernel"].left == 1)


def test_a_replica_that_stays_catching_up_holds_back_its_own_group_alone():
    made = world(16, late=20 * S)
    made.ask("group", group="g", nodes=names(3), quorum=2)
    made.no_catching_up.update(names(3))
    begin(made, names(16))
    until(made, lambda w: w.state.part("progress")["kernel"].left == 3)
    made.run(lambda w: len(stuck(w)) == 2, 200)
    assert stuck(made) == {"StaysCatchingUp", "GroupShort"}
    made.no_catching_up.clear()
    until(made, done)


def test_capacity_that_shrinks_halts_a_wave():
    made = world(8, pace=(300, 400))
    made.ask("reserve", reservation="r", service="s", site="a", units=60)
    begin(made, ["n0", "n1"])
    made.run(lambda w: permits(w, "given"), 10, 10 * MS)
    assert len(permits(made)) == 2
    made.fail("n5")
    made.step(10 * MS)
    assert len(permits(made)) == 1
    until(made, done)


def test_the_next_wave_waits_until_those_back_are_warm_where_capacity_needs_it():
    made = world(8)
    made.ask("reserve", reservation="r", service="s", site="a", units=60)
    begin(made, names(8))
    until(made, done)
    assert made.waves == 4 and made.now > 3 * made.terms.cold  # two at once, as all are warm again


def test_promises_are_not_given_against_what_a_drained_node_holds():
    made = world(4)
    made.ask("reserve", reservation="pinned", service="s", nodes=["n0"], units=10)
    begin(made, ["n0"])
    made.run(lambda w: permits(w), 10)
    assert made.ask("reserve", reservation="r", service="s", site="a", units=21)[0] == 409
    assert made.ask("reserve", reservation="r", service="s", site="a", units=20)[0] == 200
    until(made, done)


def test_no_promise_takes_the_ground_of_a_permit_while_a_node_is_cold():
    """Reckoned as whole, the cold one would let 30 units be promised where 25 are borne."""
    made = world(4)
    made.fail("n3")
    made.step(MS)
    made.heal("n3")
    begin(made, ["n0"])
    made.run(lambda w: permits(w), 10, MS)
    assert permits(made) == {"n0"} and made.state.part("nodes")["n3"].warm > made.state.moment
    assert made.ask("reserve", reservation="q", service="s", site="a", units=26)[0] == 409
    assert made.ask("reserve", reservation="r", service="s", site="a", units=25)[0] == 200
    made.step(MS)
    assert permits(made) == {"n0"}  # nothing is taken back
    made.run(lambda w: w.state.part("nodes")["n3"].warm <= w.state.moment, 100, S)
    until(made, done)


@pytest.mark.parametrize("hours, code", [(2, 200), (0.2, 409)])
def test_the_deadline_moves(hours, code):
    made = world(8)
    made.ask("gang", gang="j", nodes=["n1"], units=5, ends_ms=made.wall + HOUR // 2)
    begin(made, names(8))
    made.run(lambda w: w.state.part("progress")["kernel"].left < 8)
    left, cordon = made.state.part("progress")["kernel"].left, made.state.part("nodes")["n1"].cordon_ms
    assert begin(made, names(8), hours=hours)[0] == code
    assert made.state.part("progress")["kernel"].left == left
    assert (made.state.part("nodes")["n1"].cordon_ms > cordon) == (code == 200)
    made.ask("gang_end", gang="j")
    until(made, done)
    assert made.watch.permits_given == 8  # nobody went twice


def test_a_drain_given_other_nodes_lets_those_left_out_go():
    made = world(8, pace=(300, 400))
    begin(made, names(4))
    made.run(lambda w: permits(w, "given"), 10, 10 * MS)
    begin(made, names(2, 6))
    assert not permits(made) and set(made.state.part("wants")) == {"n6", "n7"}
    assert made.state.part("nodes")["n0"].cordon_ms == 0
    until(made, done)


def test_two_drains_that_overlap_take_a_node_down_once_where_they_can():
    made = world(8)
    begin(made, names(6), "kernel", 2)
    begin(made, names(6, 2), "disks", 1)
    until(made, done)
    assert made.watch.permits_given == 8
    assert {one.phase for one in made.state.part("drains").values()} == {"done"}


def test_a_drain_that_comes_once_a_node_is_down_takes_it_again():
    made = world(8)
    begin(made, ["n0"], "kernel")
    made.run(lambda w: permits(w, "down"))
    begin(made, ["n0"], "disks")
    until(made, done)
    assert made.watch.permits_given == 2


@pytest.mark.parametrize("phase", ["given", "clear", "down", "returning"])
def test_a_drain_is_stopped_halfway(phase):
    made = world(8, pace=(300, 400))
    begin(made, names(8))
    made.run(lambda w: permits(w, phase), 400, 20 * MS)
    assert made.ask("drain_stop", drain="kernel")[0] == 200
    assert not permits(made, "given", "clear") and not made.state.part("wants")
    until(made, lambda w: not permits(w))
    assert made.phase("kernel") == "stopped"
    assert all(not node.out and not node.cordon_ms for node in made.state.part("nodes").values())
    assert made.ask("drain_stop", drain="kernel")[0] == 409


def test_a_stopped_drain_leaves_the_permit_that_another_shares():
    made = world(8, pace=(300, 400))
    begin(made, ["n0"], "kernel")
    begin(made, ["n0"], "disks")
    made.run(lambda w: permits(w, "given"), 10, 10 * MS)
    made.ask("drain_stop", drain="kernel")
    assert permits(made, "given") == {"n0"} and made.state.part("nodes")["n0"].out == "disks"
    until(made, done)
    assert made.watch.permits_given == 1 and made.phase("disks") == "done"


# ---- not named in the issue


def test_nodes_that_are_down_already_need_no_wave():
    made = world(8)
    made.fail("n0")
    begin(made, names(2))
    until(made, lambda w: w.state.part("progress")["kernel"].left == 1)
    assert made.waves <= 2 and permits(made, "down") == {"n0"}
    made.heal("n0")
    until(made, done)
    assert made.watch.permits_given == 1


def test_a_new_leader_goes_on_where_the_old_one_was():
    made = world(12, "ab")
    begin(made, names(12))
    while not done(made) and made.now < 200 * S:
        made.step(300 * MS)
        made.new_leader()
    made.run(done)  # a leader that stays: its patience with silent gateways starts anew
    assert done(made) and made.broken == [] and made.watch.permits_given == 12


def test_a_permit_planned_by_a_deposed_leader_is_refused():
    made = world(8)
    made.ask("group", group="g", nodes=names(3), quorum=2)
    begin(made, names(3))
    late = rules.PermitCommand(nodes=("n0", "n1"))
    assert made.apply(late).code == 409 and not permits(made)
    assert made.apply(rules.PermitCommand(nodes=("n0",))).code == 200
    for stale in [
        rules.PermitCommand(nodes=("n0",)),
        rules.PermitCommand(nodes=("n1",)),
        rules.PermitCommand(nodes=("n5",)),
        rules.PermitClear(nodes=("n0",), index=3),
        rules.PermitRevoke(nodes=("n1",)),
        rules.DrainPlanReport(drain="other", waves=1),
        rules.DrainGivenUp(drain="kernel", moved=5),
    ]:
        assert made.apply(stale).code == 409


def test_inner_commands_are_not_for_clients():
    made = world(2)
    for inner in [
        rules.PermitCommand(id="x", nodes=("n0",)),
        rules.PermitClear(id="x", nodes=("n0",), index=1),
        rules.PermitRevoke(id="x", nodes=("n0",)),
        rules.DrainPlanReport(id="x", drain="d", waves=1),
        rules.DrainCordon(id="x", drain="d", cordon_ms=1),
        rules.DrainGivenUp(id="x", drain="d", moved=1),
    ]:
        with pytest.raises(Senseless, match="not for clients"):
            made.ledger.read(msgspec.json.encode(inner), outside=True)


def test_a_node_that_fails_while_it_is_away_and_is_repaired_is_done():
    made = world(8)
    begin(made, ["n0"])
    made.run(lambda w: permits(w, "down"))
    made.fail("n0")
    made.run(lambda w: "NotBack" in stuck(w), 30)
    made.heal("n0")
    until(made, done)
    assert made.watch.permits_given == 1


def test_ended_drains_are_forgotten_oldest_first(monkeypatch):
    monkeypatch.setattr(rules, "MOST_ENDED", 3)
    monkeypatch.setattr(rules, "MOST_RUNNING", 2)
    made = world(2)
    for number in range(6):
        assert begin(made, ["n0"], f"d{number}")[0] == 200
        made.ask("drain_stop", drain=f"d{number}")
    assert set(made.state.part("drains")) == {"d3", "d4", "d5"} == set(made.state.part("progress"))
    assert [begin(made, ["n0"], f"e{number}")[0] for number in range(3)] == [200, 200, 409]


def test_a_snapshot_holds_a_drain_halfway():
    made = world(8)
    begin(made, names(8))
    made.run(lambda w: permits(w, "down"))
    whole = made.ledger.whole(b"".join(made.ledger.pieces(made.state)))
    assert dict(whole.parts) == {name: part for name, part in made.state.parts.items() if part}


def test_every_error_says_what_to_do_and_is_on_the_pages():
    own = [
        one for one in vars(faults).values() if isinstance(one, type) and one.__module__ == faults.__name__
    ]
    assert len(own) > 15
    root = Path(__file__).parent.parent / "docs"
    pages = [(root / page).read_text() for page in ("drains.md", "oncall.md")]
    for fault in own:
        assert all(f"`{fault.__name__}`" in page for page in pages), fault
        if fault is not faults.SeveralInTheWay:  # its `do` is made of the others'
            assert fault("found").read()["do"] != Fault.do


# ---- waves


def random_asked(chance, count, sites=2, groups=None, units=(1, 4)):
    request, nodes = PlanRequest(), [f"n{number}" for number in range(count)]
    demands = {name: [] for name in nodes}
    for number in range(groups if groups is not None else count // 2):
        size = chance.randint(2, min(5, count))
        request.caps["group", number] = chance.randint(1, size - 1)
        for name in chance.sample(nodes, size):
            demands[name].append((("group", number), 1))
    for number, name in enumerate(nodes):
        demands[name].append((("units", number % sites), chance.randint(*units)))
    for site in range(sites):
        request.caps["units", site] = chance.randint(units[1], max(units[1], count))
    request.demands = {name: tuple(some) for name, some in demands.items()}
    return request


def fits(request, names):
    sums = {}
    for name in names:
        for limit, much in request.demands[name]:
            sums[limit] = sums.get(limit, 0) + much
    return all(much <= request.caps[limit] for limit, much in sums.items())


def optimum(request):
    """Fewest waves, by trying all: over sets of nodes."""
    nodes = sorted(request.demands)
    good = [
        sum(1 << nodes.index(n) for n in some)
        for size in range(1, len(nodes) + 1)
        for some in combinations(nodes, size)
        if fits(request, some)
    ]
    waves, reached, whole = 0, {0}, (1 << len(nodes)) - 1
    while whole not in reached:
        waves += 1
        reached = {done | one for done in reached for one in good}
    return waves


def whole(plan, request):
    assert sorted(n for wave in plan.waves for n in wave) == sorted(set(request.demands) - set(plan.blocked))
    assert all(fits(request, wave) and wave for wave in plan.waves)
    assert {name: number for number, wave in enumerate(plan.waves) for name in wave} == plan.where


def test_waves_beside_the_true_optimum_on_small_fleets():
    chance, ratios = random.Random(4), []
    for _ in range(40):
        request = random_asked(chance, chance.randint(2, 7))
        plan, best = Plan(request), optimum(request)
        whole(plan, request)
        assert lower_bound(request, request.demands) <= best <= len(plan.waves)
        ratios.append(len(plan.waves) / best)
    assert sum(ratios) / len(ratios) < 1.05 and max(ratios) <= 1.5


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**6))
def test_a_plan_stays_whole_through_any_change(seed):
    chance = random.Random(seed)
    request = random_asked(chance, chance.randint(1, 40) + 1)
    plan = Plan(request)
    whole(plan, request)
    for _ in range(4):
        some, limits = set(chance.sample(sorted(request.demands), min(3, len(request.demands)))), set()
        for name in some:
            if chance.random() < 0.5:
                del request.demands[name]
            else:
                request.demands[name] = request.demands[name][:-1]
        for limit in chance.sample(sorted(request.caps, key=str), 3 if len(request.caps) > 2 else 1):
            request.caps[limit] += chance.choice((-2, -1, 1))
            limits.add(limit)
        plan.change(some, limits)
        whole(plan, request)
        assert set(plan.blocked) == set(Plan(request).blocked) and plan.bound <= len(plan.waves)
        if plan.far():
            plan.make(request)
            whole(plan, request)


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 10**6))
def test_what_the_planner_is_asked_is_kept_as_if_made_anew(seed):
    chaos, kept = Chaos(seed), PlanRequestBuilder()
    for _ in range(60):
        chaos.once()
        chaos.world.step(chaos.chance.choice((5 * MS, 400 * MS)))
        state, anew = chaos.world.state, PlanRequestBuilder()
        running = {name: one for name, one in state.part("drains").items() if one.phase == "running"}
        late = frozenset(name for name in state.part("permits") if chaos.chance.random() < 0.3)
        kept.update(state, running, late)
        anew.update(state, running, late)
        assert (kept.request.demands, kept.request.caps) == (anew.request.demands, anew.request.caps)
        assert kept.request.ranks == anew.request.ranks


def test_a_group_that_is_no_more_binds_nobody():
    made, kept = world(4), PlanRequestBuilder()
    made.ask("group", group="g", nodes=names(3), quorum=2)
    begin(made, names(4))
    running = dict(made.state.part("drains"))
    kept.update(made.state, running, frozenset())
    plan = Plan(kept.request)
    assert len(plan.waves) == 4  # the site's share lets one go at once
    draft = Transaction(made.state, Entry(made.state.index + 1, 1, 1, made.now, made.wall, b""))
    remove_group(draft, "g")  # as a move does at its end
    names_, limits = kept.update(replace(made.state, parts=draft.parts), running, frozenset())
    plan.change(names_, limits)
    assert ("group", "g") not in kept.request.caps and len(plan.waves) == 4
    assert all(len(demands) == 2 for demands in kept.request.demands.values())


# ---- the checker catches what it is there for


def checked(made, change, **entry):
    """What a Watch that saw all of this world says of one more change."""
    fields = {"now": made.now, "index": made.state.index + 1, "term": 1, "moment": made.state.moment}
    return made.watch.entry(**{**fields, **entry}, changes=change)


def test_the_checker_sees_each_kind_of_break():
    made = world(8)
    made.ask("group", group="g", nodes=names(3), quorum=3)
    made.ask("gang", gang="j", nodes=["n3"], units=1)
    made.ask("reserve", reservation="r", service="s", site="a", units=75)
    node = made.state.part("nodes")["n0"]
    out = rules.replace(node, out="x")
    assert len(checked(made, {("nodes", "n0"): out})) == 2  # quorum, and site
    assert any("gang j" in said for said in checked(made, {("nodes", "n3"): out}))
    given = rules.Permit("x", ("x",), 1, 99, "given", 99, 0)
    assert checked(made, {("permits", "n0"): given}) == []
    clear = rules.replace(given, phase="clear")
    assert any("gw0" in said for said in checked(made, {("permits", "n0"): clear}))
    assert any("without its word" in said for said in checked(made, {("permits", "n0"): None}))
    older = rules.replace(given, index=7)
    assert any("older" in said for said in checked(made, {("permits", "n0"): older}))
    recalled = rules.replace(given, index=120, at=120, phase="recalled")
    checked(made, {("permits", "n1"): recalled})
    word = {"node": "n1", "state": "serving"}
    said = checked(made, {("permits", "n1"): None}, kind="report", about=word)
    assert any("could still act" in one for one in said)
    assert isinstance(made.watch, Watch)


@pytest.mark.parametrize("broken", ["quorum", "acknowledged", "recalled", "cold", "gang"])
def test_a_rule_that_is_left_out_is_caught(broken, monkeypatch):
    from lemonlead.drains import constraints

    if broken == "quorum":
        monkeypatch.setattr(constraints, "group_objections", lambda *some: ())
        monkeypatch.setattr(PlanRequestBuilder, "demands", without_groups(PlanRequestBuilder.demands))
    elif broken == "gang":
        monkeypatch.setattr(constraints, "gang_objections", lambda *some: ())
    elif broken == "cold":
        monkeypatch.setattr(constraints, "usable_units", lambda node, moment, terms: node.units)
    elif broken == "recalled":
        monkeypatch.setattr(rules, "take_back", lambda draft, name, held: rules.go(draft, name))
    made = world(8, pace=(300, 400))
    if broken == "acknowledged":
        made.follow.waited_for = lambda *some: []
    made.ask("group", group="g", nodes=names(3), quorum=2)
    made.ask("reserve", reservation="r", service="s", site="a", units=60)
    begin(made, names(8))
    if broken == "gang":
        made.ask("gang", gang="j", nodes=["n0"], units=1, ends_ms=made.wall + HOUR // 2)
        assert made.apply(rules.PermitCommand(nodes=("n0",))).code == 200
    if broken == "recalled":
        made.run(lambda w: permits(w, "clear"), 100, 20 * MS)
        made.ask("drain_stop", drain="kernel")
    made.run(done, 400)
    assert made.broken


def without_groups(demands):
    return lambda *some: tuple(one for one in demands(*some) or () if one[0][0] != "group") or None


# ---- anything at all, in any order


class Chaos:
    """Random things that clients, nodes and leaders do to a small fleet."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.count = self.chance.randint(3, 14)
        self.world = world(self.count, self.chance.choice(["a", "ab", "aab"]), seed=seed, late=15 * S)
        self.done = 0

    def some(self, most):
        nodes = names(self.count)
        return self.chance.sample(nodes, self.chance.randint(1, min(most, len(nodes))))

    def once(self):
        made, chance = self.world, self.chance
        self.done += 1
        name, what = f"x{self.done % 5}", chance.randrange(14)
        if what < 3:
            made.ask(
                "drain", drain=name, nodes=self.some(14), deadline_ms=made.wall + chance.randint(1, 400_000)
            )
        elif what == 3:
            made.ask("drain_stop", drain=name)
        elif what == 4:
            ends = chance.choice([0, made.wall + chance.randint(-9000, 90_000)])
            made.ask("gang", gang=name, nodes=self.some(3), units=chance.randint(0, 5), ends_ms=ends)
        elif what == 5:
            made.ask("gang_end", gang=name)
        elif what == 6:
            nodes = self.some(5)
            made.ask("group", group=name, nodes=nodes, quorum=chance.randint(1, max(1, len(nodes) - 1)))
        elif what == 7:
            where = {"site": "a"} if chance.random() < 0.5 else {"nodes": self.some(3)}
            made.ask("reserve", reservation=name, service="s", units=chance.randint(0, 20), **where)
        elif what == 8:
            made.ask("free", reservation=name)
        elif what == 9:
            made.fail(self.some(1)[0])
        elif what == 10:
            self.heal()
        elif what == 11:
            made.new_leader()
        elif what == 12:
            row = made.gateways[chance.choice(["gw0", "gw1"])]
            row[2] = not row[2]
        else:
            (one,) = self.some(1)
            made.ask("node", node=one, site=made.state.part("nodes")[one].site, units=chance.randint(5, 12))

    def heal(self):
        for name, held in self.world.nodes.items():
            if held.lost:
                self.world.heal(name)

    def calm(self):
        """All is well again: what can be done is done."""
        made = self.world
        self.heal()
        for row in made.gateways.values():
            row[2] = False
        for gang in list(made.state.part("gangs")):
            made.ask("gang_end", gang=gang)
        for held in list(made.state.part("reservations")):
            made.ask("free", reservation=held)
        for name, group in list(made.state.part("groups").items()):
            quorum = min(group.quorum, max(1, len(group.nodes) - 1))
            made.ask("group", group=name, nodes=group.nodes, quorum=quorum)
            if len(group.nodes) == 1:
                more = [one for one in names(self.count) if one not in group.nodes][:1]
                made.ask("group", group=name, nodes=[*group.nodes, *more], quorum=1)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_whatever_happens_nothing_breaks_and_each_drain_ends(seed):
    whatever(Chaos(seed))


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 10**6))
def test_whatever_happens_while_a_look_is_under_way_nothing_breaks_and_each_drain_ends(seed):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(planner, "PIECE", 2)
        patch.setattr(leader_task, "SLICE", 8)
        chaos = Chaos(seed)
        chaos.world.slow = True
        whatever(chaos, 20_000)


def test_no_look_of_the_leader_is_long():
    """A fleet's plan in one go would keep a leader of 10,000 nodes from its beats."""
    made, placed, most, calls = world(2500, "abcdefghij"), [0], 0, 0
    begin(made, names(2500))
    place = planner.Plan.place
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            planner.Plan, "place", lambda *some: place(*some) or placed.__setitem__(0, placed[0] + 1)
        )
        found, before = None, 0
        while found is None and calls < 1000:
            found = made.duty.next(made.now, made.wall, made.state, made.follow)
            assert (found is None) is made.duty.planning and made.duty.wake_at() <= made.now + 1 or found
            most, before, calls = max(most, placed[0] - before), placed[0], calls + 1
    assert len(found.nodes) == 620 and placed[0] >= 2500  # a quarter of each site
    assert most <= leader_task.SLICE + planner.PIECE


def test_a_wave_planned_before_a_node_failed_is_planned_anew():
    made = world(6)
    made.ask("group", group="g", nodes=names(3), quorum=2)
    begin(made, names(2))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(leader_task, "SLICE", 1)
        while not made.duty.plan.where:
            assert made.duty.next(made.now, made.wall, made.state, made.follow) is None
        assert made.duty.planning
        made.fail("n2")
        while (found := made.duty.next(made.now, made.wall, made.state, made.follow)) is None:
            assert made.duty.wake_at() <= made.now + 1
    assert isinstance(found, rules.DrainPlanReport) and found.stuck[0].type == "GroupShort"


def whatever(chaos, most=2000):
    made = chaos.world
    for _ in range(60):
        chaos.once()
        for _ in range(chaos.chance.randint(0, 4)):
            made.step(chaos.chance.choice((5 * MS, 50 * MS, 400 * MS)))
        assert made.broken == []
    chaos.calm()
    assert made.run(lambda w: done(w) and not permits(w), most, 500 * MS), (
        dict(made.state.part("progress")),
        dict(made.state.part("permits")),
    )
    assert made.broken == [] and not made.state.part("wants")
    assert all(not node.out and not node.cordon_ms for node in made.state.part("nodes").values())
