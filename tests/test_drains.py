"""Rolling drains: the rules, infeasible drains, wave planning, and whole drains in simulated time with
injected faults. A checker that shares no code with the rules looks for violated invariants."""

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
from lemonlead.standins.drain_checks import DrainChecker
from lemonlead.standins.drain_world import MS, S, World

HOUR = 3_600_000


def make_world(nodes=8, sites="a", units=10, seed=1, **more):
    world = World(seed, **more)
    for number in range(nodes):
        world.ask("node", node=f"n{number}", site=sites[number % len(sites)], units=units)
    return world


def node_names(count, start=0):
    return [f"n{number}" for number in range(start, start + count)]


def start_drain(world, nodes, drain="kernel", hours=1):
    return world.ask("drain", drain=drain, nodes=nodes, deadline_ms=world.wall + int(hours * HOUR))


def all_ended(world):
    return all(one.phase != "running" for one in world.state.part("drains").values())


def stuck_types(world, drain="kernel"):
    return {one.type for one in world.state.part("progress")[drain].stuck}


def permitted_nodes(world, *phases):
    return {name for name, one in world.state.part("permits").items() if not phases or one.phase in phases}


def run_until(world, holds, most=3000):
    assert world.run(holds, most), (stuck_types(world), dict(world.state.part("permits")))
    assert world.broken == []


# ---- a drain of all nodes


def test_drain_of_all_nodes_in_waves():
    world = make_world(30, "ab")
    for number in range(10):
        world.ask("group", group=f"g{number}", nodes=node_names(3, 3 * number), quorum=2)
    assert world.ask("reserve", reservation="r", service="s", units=100, site="a")[0] == 200
    assert start_drain(world, node_names(30))[0] == 200
    run_until(world, all_ended)
    assert world.waves == 5 and world.checker.permits_given == 30  # a quarter of each site at once
    assert not permitted_nodes(world) and not world.state.part("wants")
    assert all(not node.cordon_ms and not node.out for node in world.state.part("nodes").values())
    described = rules.describe_drains(world.state)["kernel"]
    assert (described["phase"], described["left"], described["permits"]) == ("done", 0, {})


def test_permit_clears_only_after_acknowledgement_or_lease():
    world = make_world(4)
    world.gateways["gw0"][2] = True  # it reads nothing more and keeps using its last list
    start_drain(world, ["n0"])
    world.run(lambda w: permitted_nodes(w, "given"), 10)
    given = world.now
    world.run(lambda w: permitted_nodes(w, "clear"), 100, 50 * MS)
    lease_and_grace = world.terms.lease + world.terms.grace
    assert given + lease_and_grace / 2 < world.now <= given + lease_and_grace + S and world.broken == []
    run_until(world, all_ended)


# ---- infeasible drains are refused


def test_group_that_needs_all_nodes_refuses_a_drain():
    world = make_world(4)
    world.ask("group", group="g", nodes=node_names(3), quorum=3)
    code, body = start_drain(world, node_names(4))
    error = body["error"]
    assert (code, error["type"]) == (409, "GroupNeedsAll")
    assert "n0, n1, n2" in error["says"] and "quorum of group g to 2" in error["do"]
    world.ask("group", group="g", nodes=node_names(3), quorum=2)  # the change that the advice names
    assert start_drain(world, node_names(4))[0] == 200
    run_until(world, all_ended)


@pytest.mark.parametrize("by", ["site", "nodes"])
def test_site_without_spare_units_refuses_a_drain(by):
    world = make_world(4)
    where = {"site": "a", "units": 33} if by == "site" else {"nodes": node_names(3), "units": 10}
    world.ask("reserve", reservation="r", service="s", **where)
    if by == "nodes":
        world.ask("reserve", reservation="r2", service="s", site="a", units=3)
    code, body = start_drain(world, node_names(4))
    assert (code, body["error"]["type"]) == (409, "SiteNeedsAll") and "free 3 units" in body["error"]["do"]
    world.ask("node", node="n9", site="a", units=3)
    assert start_drain(world, node_names(4))[0] == 200
    run_until(world, all_ended)


def test_gang_that_ends_after_the_deadline_refuses_a_drain():
    world = make_world(4)
    world.ask("gang", gang="j", nodes=["n1", "n2"], units=5, ends_ms=world.wall + 2 * HOUR)
    code, body = start_drain(world, node_names(4))
    assert (code, body["error"]["type"]) == (409, "GangEndsLate")
    assert "n1, n2" in body["error"]["says"] and f"deadline to {world.wall + 2 * HOUR}" in body["error"]["do"]


def test_several_faults_are_reported_together():
    world = make_world(4)
    world.ask("group", group="g", nodes=node_names(2), quorum=2)
    world.ask("reserve", reservation="r", service="s", site="a", units=35)
    before = world.state.parts
    code, body = start_drain(world, node_names(4))
    assert (code, body["error"]["type"]) == (409, "SeveralInTheWay") and world.state.parts is before
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
def test_invalid_drain_commands_are_refused(kind, fields, code, type):
    got, body = make_world(2).ask(kind, **fields)
    assert (got, body["error"]["type"]) == (code, type)


# ---- gangs


def test_only_the_nodes_of_a_gang_wait_for_its_end():
    world = make_world(8)
    world.ask("gang", gang="j", nodes=["n1", "n2"], units=5, ends_ms=world.wall + 60_000)
    start_drain(world, node_names(8))
    run_until(world, lambda w: w.state.part("progress")["kernel"].left == 2)
    assert "n1" not in permitted_nodes(world) and stuck_types(world) == set()
    world.run(lambda w: w.wall > 1_000_000 + 70_000)
    world.run(lambda w: stuck_types(w), 20)
    # A gang past its announced end still counts as running.
    assert stuck_types(world) == {"GangOverran"} and not permitted_nodes(world)
    world.ask("gang_end", gang="j")
    run_until(world, all_ended)


@pytest.mark.parametrize("lasts, waves", [(30, 1), (3000, 2)])
def test_wave_waits_for_a_gang_that_ends_soon(lasts, waves):
    world = make_world(12)
    ends = world.wall + lasts * 1000
    world.ask("gang", gang="j", nodes=["n2"], units=5, ends_ms=ends)
    start_drain(world, node_names(3), hours=2)
    while not all_ended(world) and world.wall < ends + 100_000:
        world.step(S // 2)
        if world.wall >= ends and "j" in world.state.part("gangs"):
            world.ask("gang_end", gang="j")
    assert all_ended(world) and world.waves == waves and world.broken == []


def test_gang_without_an_end_is_reported():
    world = make_world(8)
    world.ask("gang", gang="j", nodes=["n1", "n2"], units=5)
    assert start_drain(world, node_names(8))[0] == 200
    run_until(world, lambda w: w.state.part("progress")["kernel"].left == 2)
    world.run(lambda w: stuck_types(w), 20)
    obstacle = world.state.part("progress")["kernel"].stuck[0]
    assert (
        obstacle.type == "GangWithoutEnd"
        and "gang j" in obstacle.says
        and "n1, n2" in obstacle.says
        and obstacle.do
    )
    world.ask("gang_end", gang="j")
    run_until(world, all_ended)


def test_gang_past_the_cordon_of_a_node_is_refused():
    world = make_world(8)
    deadline = world.wall + HOUR
    world.ask("gang", gang="held", nodes=["n0"], units=5, ends_ms=world.wall + HOUR // 2)
    start_drain(world, ["n0", "n1"])
    cordon = world.state.part("nodes")["n0"].cordon_ms
    assert deadline - 10 * rules.WAVE_MS < cordon < deadline  # as late as possible with time for the waves
    for ends, code in [(0, 409), (deadline, 409), (1, 409), (cordon, 200)]:
        fields = {"nodes": ["n0"], "units": 1, "ends_ms": ends}
        assert world.ask("gang", gang=f"g{ends}", **fields)[0] == code
    assert world.ask("gang", gang="elsewhere", nodes=["n5"], units=1)[0] == 200


def test_drain_and_consecutive_gangs_do_not_starve_each_other():
    world = make_world(4)
    start_drain(world, ["n0"], hours=0.1)
    world.ask("gang", gang="g", nodes=["n0"], units=5, ends_ms=world.wall + 30_000)
    started, seen = 0, world.wall
    while not all_ended(world) and world.wall < seen + 2 * HOUR:
        world.step(S)
        gangs = world.state.part("gangs")
        if "g" in gangs and gangs["g"].ends_ms <= world.wall:
            world.ask("gang_end", gang="g")
            started += (
                world.ask("gang", gang="g", nodes=["n0"], units=5, ends_ms=world.wall + 30_000)[0] == 200
            )
    assert all_ended(world) and started > 3 and world.broken == []
    assert world.ask("gang", gang="h", nodes=["n0"], units=5)[0] == 200


def test_late_drain_admits_gangs_after_a_bounded_time():
    world = make_world(4)
    world.ask("gang", gang="endless", nodes=["n0"], units=5)
    start_drain(world, ["n0"], hours=0.1)
    world.wall += HOUR // 2
    world.step(2 * S)
    assert world.ask("gang", gang="g", nodes=["n0"], units=1, ends_ms=world.wall + 1000)[0] == 409
    world.wall += 2 * HOUR
    world.run(lambda w: w.state.part("nodes")["n0"].cordon_ms > w.wall, 30)
    assert world.ask("gang", gang="g", nodes=["n0"], units=1, ends_ms=world.wall + 1000)[0] == 200


def test_drain_without_progress_for_a_day_is_given_up():
    world = make_world(4)
    world.ask("gang", gang="endless", nodes=["n0"], units=5)
    start_drain(world, ["n0"], hours=0.1)
    world.step(25 * 3600 * S)
    assert world.phase("kernel") == "given up" and "GivenUp" in stuck_types(world)
    assert world.ask("gang", gang="g", nodes=["n0"], units=1)[0] == 200


# ---- events during a drain


def test_failed_node_revokes_permits_not_yet_clear():
    world = make_world(12, pace=(300, 400))
    world.ask("group", group="g", nodes=node_names(3), quorum=2)
    start_drain(world, node_names(3))
    world.run(lambda w: permitted_nodes(w, "given"), 10, 10 * MS)
    (going,) = permitted_nodes(world)
    other = next(name for name in node_names(3) if name != going)
    world.fail(other)
    world.step(10 * MS)
    # The permit was not clear, so it is removed at once.
    assert going not in permitted_nodes(world) and world.state.part("nodes")[going].out == ""
    world.run(lambda w: stuck_types(w), 30)
    assert {"GroupShort", "NotBack"} <= stuck_types(world)
    world.heal(other)
    run_until(world, all_ended)


def test_recalled_permit_counts_as_away_until_the_node_reports():
    world = make_world(12)
    world.ask("group", group="g", nodes=node_names(3), quorum=2)
    start_drain(world, ["n0"])
    world.run(lambda w: permitted_nodes(w, "clear"), 100, 10 * MS)
    world.nodes["n0"].next_read = world.now + 900 * MS  # it does not see the recall yet
    world.ask("report", node="n1", state="catching_up")
    world.step(10 * MS)
    assert permitted_nodes(world, "recalled") == {"n0"} and world.state.part("nodes")["n0"].out == "kernel"
    world.ask("report", node="n0", state="serving")  # reported before it saw the recall: proves nothing
    assert permitted_nodes(world, "recalled") == {"n0"}
    # The node sees the recall and reports that it serves.
    world.run(lambda w: not permitted_nodes(w), 20, 100 * MS)
    assert world.state.part("nodes")["n0"].out == ""
    world.ask("report", node="n1", state="serving")
    run_until(world, all_ended)


def test_node_that_does_not_return_is_reported_and_others_go_on():
    world = make_world(12, late=20 * S)
    world.no_return.add("n0")
    start_drain(world, node_names(12))
    run_until(world, lambda w: w.state.part("progress")["kernel"].left == 1)
    world.run(lambda w: stuck_types(w), 30)
    assert stuck_types(world) == {"NotBack"} and permitted_nodes(world, "down") == {"n0"}
    world.no_return.clear()
    run_until(world, all_ended)


def test_small_site_goes_on_after_its_lost_node_is_reported_failed():
    world = make_world(3, late=20 * S)
    world.no_return.add("n0")
    start_drain(world, node_names(3))
    world.run(lambda w: "SiteShareTaken" in stuck_types(w))
    assert stuck_types(world) == {"NotBack", "SiteShareTaken"}
    world.fail("n0")
    run_until(world, lambda w: w.state.part("progress")["kernel"].left == 1)


def test_replica_that_stays_catching_up_blocks_only_its_group():
    world = make_world(16, late=20 * S)
    world.ask("group", group="g", nodes=node_names(3), quorum=2)
    world.no_catching_up.update(node_names(3))
    start_drain(world, node_names(16))
    run_until(world, lambda w: w.state.part("progress")["kernel"].left == 3)
    world.run(lambda w: len(stuck_types(w)) == 2, 200)
    assert stuck_types(world) == {"StaysCatchingUp", "GroupShort"}
    world.no_catching_up.clear()
    run_until(world, all_ended)


def test_lost_capacity_revokes_a_permit():
    world = make_world(8, pace=(300, 400))
    world.ask("reserve", reservation="r", service="s", site="a", units=60)
    start_drain(world, ["n0", "n1"])
    world.run(lambda w: permitted_nodes(w, "given"), 10, 10 * MS)
    assert len(permitted_nodes(world)) == 2
    world.fail("n5")
    world.step(10 * MS)
    assert len(permitted_nodes(world)) == 1
    run_until(world, all_ended)


def test_next_wave_waits_for_warm_nodes_if_capacity_is_short():
    world = make_world(8)
    world.ask("reserve", reservation="r", service="s", site="a", units=60)
    start_drain(world, node_names(8))
    run_until(world, all_ended)
    # Two nodes go at once, each time after all nodes are warm again.
    assert world.waves == 4 and world.now > 3 * world.terms.cold


def test_reservation_does_not_use_units_of_a_drained_node():
    world = make_world(4)
    world.ask("reserve", reservation="pinned", service="s", nodes=["n0"], units=10)
    start_drain(world, ["n0"])
    world.run(lambda w: permitted_nodes(w), 10)
    assert world.ask("reserve", reservation="r", service="s", site="a", units=21)[0] == 409
    assert world.ask("reserve", reservation="r", service="s", site="a", units=20)[0] == 200
    run_until(world, all_ended)


def test_reservation_counts_cold_nodes_by_their_share_during_a_drain():
    """Counted as warm, the cold node would allow 30 units to be promised, but only 25 can be borne."""
    world = make_world(4)
    world.fail("n3")
    world.step(MS)
    world.heal("n3")
    start_drain(world, ["n0"])
    world.run(lambda w: permitted_nodes(w), 10, MS)
    assert permitted_nodes(world) == {"n0"} and world.state.part("nodes")["n3"].warm > world.state.moment
    assert world.ask("reserve", reservation="q", service="s", site="a", units=26)[0] == 409
    assert world.ask("reserve", reservation="r", service="s", site="a", units=25)[0] == 200
    world.step(MS)
    assert permitted_nodes(world) == {"n0"}  # no permit is revoked
    world.run(lambda w: w.state.part("nodes")["n3"].warm <= w.state.moment, 100, S)
    run_until(world, all_ended)


@pytest.mark.parametrize("hours, code", [(2, 200), (0.2, 409)])
def test_deadline_of_a_running_drain_changes(hours, code):
    world = make_world(8)
    world.ask("gang", gang="j", nodes=["n1"], units=5, ends_ms=world.wall + HOUR // 2)
    start_drain(world, node_names(8))
    world.run(lambda w: w.state.part("progress")["kernel"].left < 8)
    left, cordon = world.state.part("progress")["kernel"].left, world.state.part("nodes")["n1"].cordon_ms
    assert start_drain(world, node_names(8), hours=hours)[0] == code
    assert world.state.part("progress")["kernel"].left == left
    assert (world.state.part("nodes")["n1"].cordon_ms > cordon) == (code == 200)
    world.ask("gang_end", gang="j")
    run_until(world, all_ended)
    assert world.checker.permits_given == 8  # no node went twice


def test_drain_given_other_nodes_releases_the_omitted_ones():
    world = make_world(8, pace=(300, 400))
    start_drain(world, node_names(4))
    world.run(lambda w: permitted_nodes(w, "given"), 10, 10 * MS)
    start_drain(world, node_names(2, 6))
    assert not permitted_nodes(world) and set(world.state.part("wants")) == {"n6", "n7"}
    assert world.state.part("nodes")["n0"].cordon_ms == 0
    run_until(world, all_ended)


def test_overlapping_drains_share_one_absence_of_a_node():
    world = make_world(8)
    start_drain(world, node_names(6), "kernel", 2)
    start_drain(world, node_names(6, 2), "disks", 1)
    run_until(world, all_ended)
    assert world.checker.permits_given == 8
    assert {one.phase for one in world.state.part("drains").values()} == {"done"}


def test_drain_requested_after_a_node_went_down_drains_it_again():
    world = make_world(8)
    start_drain(world, ["n0"], "kernel")
    world.run(lambda w: permitted_nodes(w, "down"))
    start_drain(world, ["n0"], "disks")
    run_until(world, all_ended)
    assert world.checker.permits_given == 2


@pytest.mark.parametrize("phase", ["given", "clear", "down", "returning"])
def test_stop_of_a_drain_in_each_permit_phase(phase):
    world = make_world(8, pace=(300, 400))
    start_drain(world, node_names(8))
    world.run(lambda w: permitted_nodes(w, phase), 400, 20 * MS)
    assert world.ask("drain_stop", drain="kernel")[0] == 200
    assert not permitted_nodes(world, "given", "clear") and not world.state.part("wants")
    run_until(world, lambda w: not permitted_nodes(w))
    assert world.phase("kernel") == "stopped"
    assert all(not node.out and not node.cordon_ms for node in world.state.part("nodes").values())
    assert world.ask("drain_stop", drain="kernel")[0] == 409


def test_stopped_drain_keeps_a_permit_shared_with_another():
    world = make_world(8, pace=(300, 400))
    start_drain(world, ["n0"], "kernel")
    start_drain(world, ["n0"], "disks")
    world.run(lambda w: permitted_nodes(w, "given"), 10, 10 * MS)
    world.ask("drain_stop", drain="kernel")
    assert permitted_nodes(world, "given") == {"n0"} and world.state.part("nodes")["n0"].out == "disks"
    run_until(world, all_ended)
    assert world.checker.permits_given == 1 and world.phase("disks") == "done"


# ---- further cases


def test_nodes_already_down_need_no_wave():
    world = make_world(8)
    world.fail("n0")
    start_drain(world, node_names(2))
    run_until(world, lambda w: w.state.part("progress")["kernel"].left == 1)
    assert world.waves <= 2 and permitted_nodes(world, "down") == {"n0"}
    world.heal("n0")
    run_until(world, all_ended)
    assert world.checker.permits_given == 1


def test_drain_continues_through_leader_changes():
    world = make_world(12, "ab")
    start_drain(world, node_names(12))
    while not all_ended(world) and world.now < 200 * S:
        world.step(300 * MS)
        world.new_leader()
    world.run(all_ended)  # with a leader that stays, so that the leases of silent gateways run out
    assert all_ended(world) and world.broken == [] and world.checker.permits_given == 12


def test_commands_planned_by_a_deposed_leader_are_refused():
    world = make_world(8)
    world.ask("group", group="g", nodes=node_names(3), quorum=2)
    start_drain(world, node_names(3))
    late = rules.PermitCommand(nodes=("n0", "n1"))
    assert world.apply(late).code == 409 and not permitted_nodes(world)
    assert world.apply(rules.PermitCommand(nodes=("n0",))).code == 200
    for stale in [
        rules.PermitCommand(nodes=("n0",)),
        rules.PermitCommand(nodes=("n1",)),
        rules.PermitCommand(nodes=("n5",)),
        rules.PermitClear(nodes=("n0",), index=3),
        rules.PermitRevoke(nodes=("n1",)),
        rules.DrainPlanReport(drain="other", waves=1),
        rules.DrainGivenUp(drain="kernel", moved=5),
    ]:
        assert world.apply(stale).code == 409


def test_leader_commands_are_refused_from_clients():
    world = make_world(2)
    for inner in [
        rules.PermitCommand(id="x", nodes=("n0",)),
        rules.PermitClear(id="x", nodes=("n0",), index=1),
        rules.PermitRevoke(id="x", nodes=("n0",)),
        rules.DrainPlanReport(id="x", drain="d", waves=1),
        rules.DrainCordon(id="x", drain="d", cordon_ms=1),
        rules.DrainGivenUp(id="x", drain="d", moved=1),
    ]:
        with pytest.raises(Senseless, match="not for clients"):
            world.ledger.read(msgspec.json.encode(inner), outside=True)


def test_node_that_fails_while_away_and_returns_is_done():
    world = make_world(8)
    start_drain(world, ["n0"])
    world.run(lambda w: permitted_nodes(w, "down"))
    world.fail("n0")
    world.run(lambda w: "NotBack" in stuck_types(w), 30)
    world.heal("n0")
    run_until(world, all_ended)
    assert world.checker.permits_given == 1


def test_oldest_ended_drains_are_forgotten_first(monkeypatch):
    monkeypatch.setattr(rules, "MAX_ENDED_DRAINS", 3)
    monkeypatch.setattr(rules, "MAX_RUNNING_DRAINS", 2)
    world = make_world(2)
    for number in range(6):
        assert start_drain(world, ["n0"], f"d{number}")[0] == 200
        world.ask("drain_stop", drain=f"d{number}")
    assert set(world.state.part("drains")) == {"d3", "d4", "d5"} == set(world.state.part("progress"))
    assert [start_drain(world, ["n0"], f"e{number}")[0] for number in range(3)] == [200, 200, 409]


def test_snapshot_of_a_running_drain():
    world = make_world(8)
    start_drain(world, node_names(8))
    world.run(lambda w: permitted_nodes(w, "down"))
    whole = world.ledger.whole(b"".join(world.ledger.pieces(world.state)))
    assert dict(whole.parts) == {name: part for name, part in world.state.parts.items() if part}


def test_errors_have_advice_and_are_documented():
    own = [
        one for one in vars(faults).values() if isinstance(one, type) and one.__module__ == faults.__name__
    ]
    assert len(own) > 15
    root = Path(__file__).parent.parent / "docs"
    pages = [(root / page).read_text() for page in ("drains.md", "oncall.md")]
    for fault in own:
        assert all(f"`{fault.__name__}`" in page for page in pages), fault
        if fault is not faults.SeveralInTheWay:  # its advice is composed of that of the others
            assert fault("found").read()["do"] != Fault.do


# ---- waves


def random_request(rng, count, sites=2, groups=None, units=(1, 4)):
    request, nodes = PlanRequest(), [f"n{number}" for number in range(count)]
    demands = {name: [] for name in nodes}
    for number in range(groups if groups is not None else count // 2):
        size = rng.randint(2, min(5, count))
        request.caps["group", number] = rng.randint(1, size - 1)
        for name in rng.sample(nodes, size):
            demands[name].append((("group", number), 1))
    for number, name in enumerate(nodes):
        demands[name].append((("units", number % sites), rng.randint(*units)))
    for site in range(sites):
        request.caps["units", site] = rng.randint(units[1], max(units[1], count))
    request.demands = {name: tuple(some) for name, some in demands.items()}
    return request


def fits(request, names):
    sums = {}
    for name in names:
        for limit, amount in request.demands[name]:
            sums[limit] = sums.get(limit, 0) + amount
    return all(amount <= request.caps[limit] for limit, amount in sums.items())


def optimum(request):
    """Returns the fewest waves possible, by trying all sets of nodes."""
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


def check_plan(plan, request):
    assert sorted(n for wave in plan.waves for n in wave) == sorted(set(request.demands) - set(plan.blocked))
    assert all(fits(request, wave) and wave for wave in plan.waves)
    assert {name: number for number, wave in enumerate(plan.waves) for name in wave} == plan.wave_of


def test_wave_count_is_close_to_the_optimum_on_small_fleets():
    rng, ratios = random.Random(4), []
    for _ in range(40):
        request = random_request(rng, rng.randint(2, 7))
        plan, best = Plan(request), optimum(request)
        check_plan(plan, request)
        assert lower_bound(request, request.demands) <= best <= len(plan.waves)
        ratios.append(len(plan.waves) / best)
    assert sum(ratios) / len(ratios) < 1.05 and max(ratios) <= 1.5


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**6))
def test_plan_stays_valid_after_random_changes(seed):
    rng = random.Random(seed)
    request = random_request(rng, rng.randint(1, 40) + 1)
    plan = Plan(request)
    check_plan(plan, request)
    for _ in range(4):
        some, limits = set(rng.sample(sorted(request.demands), min(3, len(request.demands)))), set()
        for name in some:
            if rng.random() < 0.5:
                del request.demands[name]
            else:
                request.demands[name] = request.demands[name][:-1]
        for limit in rng.sample(sorted(request.caps, key=str), 3 if len(request.caps) > 2 else 1):
            request.caps[limit] += rng.choice((-2, -1, 1))
            limits.add(limit)
        plan.change(some, limits)
        check_plan(plan, request)
        assert set(plan.blocked) == set(Plan(request).blocked) and plan.bound <= len(plan.waves)
        if plan.should_rebuild():
            plan.rebuild(request)
            check_plan(plan, request)


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 10**6))
def test_updated_request_equals_one_built_from_scratch(seed):
    events, updated = RandomEvents(seed), PlanRequestBuilder()
    for _ in range(60):
        events.apply_one()
        events.world.step(events.rng.choice((5 * MS, 400 * MS)))
        state, rebuilt = events.world.state, PlanRequestBuilder()
        running = {name: one for name, one in state.part("drains").items() if one.phase == "running"}
        late = frozenset(name for name in state.part("permits") if events.rng.random() < 0.3)
        updated.update(state, running, late)
        rebuilt.update(state, running, late)
        assert (updated.request.demands, updated.request.caps) == (
            rebuilt.request.demands,
            rebuilt.request.caps,
        )
        assert updated.request.ranks == rebuilt.request.ranks


def test_removed_group_no_longer_limits_waves():
    world, updated = make_world(4), PlanRequestBuilder()
    world.ask("group", group="g", nodes=node_names(3), quorum=2)
    start_drain(world, node_names(4))
    running = dict(world.state.part("drains"))
    updated.update(world.state, running, frozenset())
    plan = Plan(updated.request)
    assert len(plan.waves) == 4  # the site's share lets one node go at once
    transaction = Transaction(world.state, Entry(world.state.index + 1, 1, 1, world.now, world.wall, b""))
    remove_group(transaction, "g")  # as a move does when it ends
    changed, limits = updated.update(replace(world.state, parts=transaction.parts), running, frozenset())
    plan.change(changed, limits)
    assert ("group", "g") not in updated.request.caps and len(plan.waves) == 4
    assert all(len(demands) == 2 for demands in updated.request.demands.values())


# ---- the checker catches violations


def report_of(world, change, **entry):
    """Returns what the checker of this world reports for one more change."""
    fields = {"now": world.now, "index": world.state.index + 1, "term": 1, "ledger_time": world.state.moment}
    return world.checker.entry(**{**fields, **entry}, changes=change)


def test_checker_reports_each_kind_of_violation():
    world = make_world(8)
    world.ask("group", group="g", nodes=node_names(3), quorum=3)
    world.ask("gang", gang="j", nodes=["n3"], units=1)
    world.ask("reserve", reservation="r", service="s", site="a", units=75)
    node = world.state.part("nodes")["n0"]
    out = rules.replace(node, out="x")
    assert len(report_of(world, {("nodes", "n0"): out})) == 2  # quorum, and site
    assert any("gang j" in found for found in report_of(world, {("nodes", "n3"): out}))
    given = rules.Permit("x", ("x",), 1, 99, "given", 99, 0)
    assert report_of(world, {("permits", "n0"): given}) == []
    clear = rules.replace(given, phase="clear")
    assert any("gw0" in found for found in report_of(world, {("permits", "n0"): clear}))
    assert any("without its report" in found for found in report_of(world, {("permits", "n0"): None}))
    older = rules.replace(given, index=7)
    assert any("older" in found for found in report_of(world, {("permits", "n0"): older}))
    recalled = rules.replace(given, index=120, at=120, phase="recalled")
    report_of(world, {("permits", "n1"): recalled})
    report = {"node": "n1", "state": "serving"}
    found = report_of(world, {("permits", "n1"): None}, kind="report", about=report)
    assert any("could still act" in one for one in found)
    assert isinstance(world.checker, DrainChecker)


@pytest.mark.parametrize("broken", ["quorum", "acknowledged", "recalled", "cold", "gang"])
def test_checker_catches_a_disabled_rule(broken, monkeypatch):
    from lemonlead.drains import constraints

    if broken == "quorum":
        monkeypatch.setattr(constraints, "group_violations", lambda *arguments: ())
        monkeypatch.setattr(PlanRequestBuilder, "demands", without_groups(PlanRequestBuilder.demands))
    elif broken == "gang":
        monkeypatch.setattr(constraints, "gang_violations", lambda *arguments: ())
    elif broken == "cold":
        monkeypatch.setattr(constraints, "usable_units", lambda node, moment, terms: node.units)
    elif broken == "recalled":
        monkeypatch.setattr(
            rules, "revoke_permit", lambda transaction, name, permit: rules.remove_permit(transaction, name)
        )
    world = make_world(8, pace=(300, 400))
    if broken == "acknowledged":
        world.follow.waited_for = lambda *arguments: []
    world.ask("group", group="g", nodes=node_names(3), quorum=2)
    world.ask("reserve", reservation="r", service="s", site="a", units=60)
    start_drain(world, node_names(8))
    if broken == "gang":
        world.ask("gang", gang="j", nodes=["n0"], units=1, ends_ms=world.wall + HOUR // 2)
        assert world.apply(rules.PermitCommand(nodes=("n0",))).code == 200
    if broken == "recalled":
        world.run(lambda w: permitted_nodes(w, "clear"), 100, 20 * MS)
        world.ask("drain_stop", drain="kernel")
    world.run(all_ended, 400)
    assert world.broken


def without_groups(demands):
    return lambda *arguments: tuple(one for one in demands(*arguments) or () if one[0][0] != "group") or None


# ---- random events


class RandomEvents:
    """Applies random actions of clients, nodes and leaders to a small fleet."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.count = self.rng.randint(3, 14)
        self.world = make_world(self.count, self.rng.choice(["a", "ab", "aab"]), seed=seed, late=15 * S)
        self.done = 0

    def sample_nodes(self, most):
        nodes = node_names(self.count)
        return self.rng.sample(nodes, self.rng.randint(1, min(most, len(nodes))))

    def apply_one(self):
        world, rng = self.world, self.rng
        self.done += 1
        name, what = f"x{self.done % 5}", rng.randrange(14)
        if what < 3:
            world.ask(
                "drain",
                drain=name,
                nodes=self.sample_nodes(14),
                deadline_ms=world.wall + rng.randint(1, 400_000),
            )
        elif what == 3:
            world.ask("drain_stop", drain=name)
        elif what == 4:
            ends = rng.choice([0, world.wall + rng.randint(-9000, 90_000)])
            world.ask("gang", gang=name, nodes=self.sample_nodes(3), units=rng.randint(0, 5), ends_ms=ends)
        elif what == 5:
            world.ask("gang_end", gang=name)
        elif what == 6:
            nodes = self.sample_nodes(5)
            world.ask("group", group=name, nodes=nodes, quorum=rng.randint(1, max(1, len(nodes) - 1)))
        elif what == 7:
            where = {"site": "a"} if rng.random() < 0.5 else {"nodes": self.sample_nodes(3)}
            world.ask("reserve", reservation=name, service="s", units=rng.randint(0, 20), **where)
        elif what == 8:
            world.ask("free", reservation=name)
        elif what == 9:
            world.fail(self.sample_nodes(1)[0])
        elif what == 10:
            self.heal()
        elif what == 11:
            world.new_leader()
        elif what == 12:
            row = world.gateways[rng.choice(["gw0", "gw1"])]
            row[2] = not row[2]
        else:
            (one,) = self.sample_nodes(1)
            world.ask("node", node=one, site=world.state.part("nodes")[one].site, units=rng.randint(5, 12))

    def heal(self):
        for name, node in self.world.nodes.items():
            if node.has_failed:
                self.world.heal(name)

    def repair_all(self):
        """Repairs all faults and removes gangs and reservations, so that each drain can end."""
        world = self.world
        self.heal()
        for row in world.gateways.values():
            row[2] = False
        for gang in list(world.state.part("gangs")):
            world.ask("gang_end", gang=gang)
        for reservation in list(world.state.part("reservations")):
            world.ask("free", reservation=reservation)
        for name, group in list(world.state.part("groups").items()):
            quorum = min(group.quorum, max(1, len(group.nodes) - 1))
            world.ask("group", group=name, nodes=group.nodes, quorum=quorum)
            if len(group.nodes) == 1:
                more = [one for one in node_names(self.count) if one not in group.nodes][:1]
                world.ask("group", group=name, nodes=[*group.nodes, *more], quorum=1)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_random_events_keep_invariants_and_drains_end(seed):
    run_random_events(RandomEvents(seed))


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 10**6))
def test_random_events_during_planning_keep_invariants(seed):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(planner, "NODES_PER_PIECE", 2)
        patch.setattr(leader_task, "NODES_PER_SLICE", 8)
        events = RandomEvents(seed)
        events.world.slow = True
        run_random_events(events, 20_000)


def test_planning_pass_is_split_into_short_slices():
    """Planning a fleet of 10,000 nodes at once would make the leader send its heartbeats late."""
    world, placed, most, calls = make_world(2500, "abcdefghij"), [0], 0, 0
    start_drain(world, node_names(2500))
    place = planner.Plan.place
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            planner.Plan,
            "place",
            lambda *arguments: place(*arguments) or placed.__setitem__(0, placed[0] + 1),
        )
        found, before = None, 0
        while found is None and calls < 1000:
            found = world.drain_task.next(world.now, world.wall, world.state, world.follow)
            assert (
                (found is None) is world.drain_task.planning
                and world.drain_task.wake_at() <= world.now + 1
                or found
            )
            most, before, calls = max(most, placed[0] - before), placed[0], calls + 1
    assert len(found.nodes) == 620 and placed[0] >= 2500  # a quarter of each site
    assert most <= leader_task.NODES_PER_SLICE + planner.NODES_PER_PIECE


def test_wave_is_planned_again_after_a_node_fails():
    world = make_world(6)
    world.ask("group", group="g", nodes=node_names(3), quorum=2)
    start_drain(world, node_names(2))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(leader_task, "NODES_PER_SLICE", 1)
        while not world.drain_task.plan.wave_of:
            assert world.drain_task.next(world.now, world.wall, world.state, world.follow) is None
        assert world.drain_task.planning
        world.fail("n2")
        while (found := world.drain_task.next(world.now, world.wall, world.state, world.follow)) is None:
            assert world.drain_task.wake_at() <= world.now + 1
    assert isinstance(found, rules.DrainPlanReport) and found.stuck[0].type == "GroupShort"


def run_random_events(events, most=2000):
    world = events.world
    for _ in range(60):
        events.apply_one()
        for _ in range(events.rng.randint(0, 4)):
            world.step(events.rng.choice((5 * MS, 50 * MS, 400 * MS)))
        assert world.broken == []
    events.repair_all()
    assert world.run(lambda w: all_ended(w) and not permitted_nodes(w), most, 500 * MS), (
        dict(world.state.part("progress")),
        dict(world.state.part("permits")),
    )
    assert world.broken == [] and not world.state.part("wants")
    assert all(not node.out and not node.cordon_ms for node in world.state.part("nodes").values())
