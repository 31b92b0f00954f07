"""The scale benchmark at a small size, and its parts that need no process: the day, the limits, the sums."""

import json
from collections import Counter

import pytest
from click.testing import CliRunner

from benchmarks.scale import bounds, report, world
from benchmarks.scale.__main__ import main
from benchmarks.scale.commits import Commits
from benchmarks.scale.real import compared
from benchmarks.scale.run import Asked, Run
from benchmarks.scale.tally import Tally, quantile, sum_tallies

GATEWAYS, INSTANCES = 20, 100


def plan(seed=3, gateways=50, instances=2000, services=60):
    return world.Plan(seed, gateways, instances, services, 4)


def day(seed=3, **more):
    return world.Day(plan(seed), 100.0, **more)


def test_same_seed_plans_the_same_day():
    assert day().turns == day().turns
    assert [gateway.scopes for gateway in plan().gateways] == [gateway.scopes for gateway in plan().gateways]
    assert day(seed=4).turns != day().turns


def test_day_has_the_faults_and_change_rates_of_the_letter():
    turns = day().turns
    faults = [turn.fault.rsplit(" ", 1)[0] for turn in turns if turn.fault]
    assert faults == [
        "relay lost", "relay back", "region cut", "region back", "gateways", "control", "both"
    ]  # fmt: skip
    changes = Counter(turn.kind for turn in turns for _ in turn.changes)
    share = 2000 / world.LETTER["instances"]
    restarts = (changes["restart"] + changes["deploy"]) / 4
    assert 0.8 * share * world.LETTER["restarts"] <= restarts <= 1.3 * share * world.LETTER["restarts"]
    assert changes["configuration"] == round(share * world.LETTER["configurations"])
    zone = next(turn for turn in turns if turn.kind == "zone")
    assert 0.7 * 2000 / 16 <= len(zone.changes) <= 1.3 * 2000 / 16
    assert all(turn.at <= 100.0 for turn in turns if not turn.fault)


def test_instance_events_are_in_order_and_end_with_it_up():
    states_by_key = {}
    for turn in day().turns:
        for _, key, record in turn.changes:
            if key.startswith("instance/"):
                states_by_key.setdefault(key, []).append((record["state"], record["started_ms"] > 0))
    assert states_by_key
    for states in states_by_key.values():
        while states:
            if states[0] == ("draining", False):
                states.pop(0)
            assert states[:3] == [("removed", False), ("up", True), ("up", False)]
            del states[:3]


def test_run_past_the_limits_of_the_machine_is_refused():
    memory = bounds.estimate_memory(plan(), 7, 2)
    bounds.check(memory, 12, 100, machine=int(memory * 2) + 2, max_descriptors=1024)
    with pytest.raises(bounds.TooLarge, match="at most half of the machine's memory"):
        bounds.check(memory, 12, 100, machine=int(memory * 2) - 2, max_descriptors=1024)
    with pytest.raises(bounds.TooLarge, match="301 processes; at most 300"):
        bounds.check(memory, 301, 100, machine=int(memory * 4), max_descriptors=1024)
    with pytest.raises(bounds.TooLarge, match="open files"):
        bounds.check(memory, 12, 1000, machine=int(memory * 4), max_descriptors=1024)


@pytest.mark.parametrize(
    "arguments",
    [
        ["--gateways", "100000"],
        ["--way", "follow", "--gateways", "1000"],
        ["--report", "a.pdf"],
        ["--gateways", "0"],
    ],
)
def test_invalid_options_are_reported_in_one_line(arguments):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 2
    assert result.stdout == ""
    assert len(result.stderr.strip().splitlines()[-1]) < 300
    assert "Traceback" not in result.stderr


def test_readers_see_the_entries_of_the_commit_table(tmp_path):
    writer = Commits(tmp_path / "commits", ["", "a", "b"], create=True)
    reader = Commits(tmp_path / "commits", ["", "a", "b"])
    for index, scope in enumerate(("a", "b", "a", "", "a"), 1):
        writer.record(index, 1000 + index, scope, index)
    assert reader.between("a", 0, 3) == [1, 3]
    assert reader.between("a", 1, 5) == [3, 5]
    assert reader.between("", 0, 5) == [4]
    assert [reader.committed_at[index] for index in (1, 5, 6)] == [1001, 1005, 0]


def test_sum_of_tallies_of_several_processes():
    one, other = Tally(), Tally()
    for ms in range(1, 51):
        one.record_in_force(7, 1, ms * 1_000_000)
        other.record_in_force(7, 1, (50 + ms) * 1_000_000)
    other.record_in_force(8, world.KINDS.index("marker"), 3_000_000)
    total = sum_tallies(json.loads(json.dumps([one.to_json(), other.to_json()])))
    assert total.by_change[7] == [100, 100_000_000, 1]
    assert 50 <= quantile(total.times[1], 0.5) <= 50 * 1.06
    assert 100 <= quantile(total.times[1], 1.0) <= 100 * 1.06
    assert sum(total.markers[8].values()) == 1


def test_hollow_gateway_that_differs_from_a_real_one_is_a_fault():
    real = {"cpu_s": 1.0, "bytes": 100_000, "memory": 10e6}
    assert compared(real, {"cpu_s": 0.6, "bytes": 190_000, "memory": 9e6})[1] == []
    told = compared(real, {"cpu_s": 0.0, "bytes": 210_000, "memory": 4e6})[1]
    assert [fault.rsplit(" ", 1)[1] for fault in told] == ["cpu_s", "bytes", "memory"]
    little = {"cpu_s": 0.01, "bytes": 1000, "memory": 10e6}
    told, faults = compared(little, {"cpu_s": 0.03, "bytes": 3000, "memory": 9e6})
    assert (told["judged"], faults) == (["memory"], [])


def test_small_day_with_relays(tmp_path):
    asked = Asked(5, GATEWAYS, INSTANCES, 30, 4, 12.0, 2, 2, True, True, "distribution", "members")
    result = Run(asked, lambda text: None).play()
    assert result["check"] == {"scopes_wrong": 0, "first_wrong": []}
    assert result["faults"] == [], result["real"]
    assert result["real"]["compared"]
    last = result["markers"][-1]
    # The gateway with all services is reported separately; the twin of the real gateway counts in its place.
    assert (last["what"], last["gateways"], last["of"]) == ("end of the day", GATEWAYS, GATEWAYS)
    told = {row["what"] for row in result["acknowledged"]}
    assert {f"marker: {row['what']}" for row in result["markers"]} <= told
    kinds = {"restart", "deploy", "configuration", "zone", "rack", "failure", "marker"}
    assert kinds <= set(result["changes"])
    assert result["gateway"]["start_ms"]["after gateways and control"]["count"] == GATEWAYS - 1
    assert result["gateway"]["count"] == GATEWAYS - 1
    assert [row["instances"] for row in result["wide"]] == [INSTANCES]
    assert set(result["control"]) == {"g1", "g2", "g3", "relay-r0", "relay-r1"}
    report.write(result, tmp_path / "day.md")
    report.write(result, tmp_path / "day.html")
    assert (tmp_path / "day-1.png").read_bytes().startswith(b"\x89PNG")
    assert "not compared" not in (tmp_path / "day.md").read_text()
    assert (tmp_path / "day.html").read_text().count("<table>") >= 6


def test_small_day_with_gateways_that_poll_members():
    asked = Asked(5, GATEWAYS, INSTANCES, 30, 4, 8.0, 2, 2, False, True, "follow", "members")
    result = Run(asked, lambda text: None).play()
    assert result["check"] == {"scopes_wrong": 0, "first_wrong": []}
    assert result["faults"] == [], result["real"]
    last = result["markers"][-1]
    assert (last["what"], last["gateways"], last["of"]) == ("end of the day", GATEWAYS, GATEWAYS)
    assert set(result["control"]) == {"g1", "g2", "g3"}
    assert result["counts"]["calls: events"] >= GATEWAYS
