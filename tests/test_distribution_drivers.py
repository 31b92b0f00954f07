"""What the distribution's drivers lean on: whom a relay asks, what it reads, what a gateway can use."""

import json
import subprocess
import sys
import zlib

import pytest
from helpers import MS, NOW
from hypothesis import given, settings
from hypothesis import strategies as some

from lemonlead import interface as at
from lemonlead.distribution import member_polling as polling
from lemonlead.distribution import driver, instance_records, ledger_source
from lemonlead.distribution.member_polling import MemberPolling
from lemonlead.distribution.faults import Unreadable, Unusable
from lemonlead.ledger.entries import EntryRow

SECOND = 1000 * MS
MEMBERS = {"m1": "h:1", "m2": "h:2", "m3": "h:3"}


def course():
    return MemberPolling(NOW, MEMBERS, 7)


# ---- whom a relay asks


def test_it_stays_with_a_member_that_answers_and_asks_for_what_comes_after_what_it_has():
    made = course()
    first = made.next(NOW)
    assert first.path == "/v1/events?after=0&parts=entries" and first.address == MEMBERS[first.member]
    assert made.answered(NOW, "c1", 9, "m1")
    made.had(9)
    again = made.next(NOW)
    assert (again.member, again.path) == (first.member, "/v1/events?after=9&parts=entries")


def test_after_failures_members_are_tried_in_turn_with_waits_that_grow_and_are_bounded():
    made, now, asked, waits = course(), NOW, [], []
    for _ in range(12):
        asked.append(made.next(now).member)
        made.failed(now)
        assert made.next(now) is None
        waits.append(made.wake_at() - now)
        now = made.wake_at()
    assert asked[:3] * 4 == asked and set(asked) == set(MEMBERS)
    assert waits[0] <= polling.SHORTEST and polling.LONGEST // 2 <= waits[-1] <= polling.LONGEST
    assert made.answered(now, "c1", 9, "m1")
    made.failed(now)
    assert made.wake_at() - now <= polling.SHORTEST


def test_a_member_that_asks_for_a_pause_gets_one_of_bounded_length():
    made = course()
    made.failed(NOW, 500 * MS)
    first = made.wake_at()
    made.failed(NOW, 100 * SECOND)
    assert (first, made.wake_at()) == (NOW + 500 * MS, NOW + polling.LONGEST)


@pytest.mark.parametrize("at, leader, taken", [(8, "m1", False), (9, "", True), (9, "m1", True)])
def test_one_that_lags_or_knows_no_leader_is_left_and_what_it_tells_is_heeded_unless_old(at, leader, taken):
    """Against a member that is cut off from the others: its word is true and stands still."""
    made = course()
    assert made.answered(NOW, "c1", 9, "m1")
    made.had(9)
    member = made.next(NOW).member
    assert made.answered(NOW + MS, "c1", at, leader) == taken
    left = made.wake_at() > NOW + MS
    assert left == (not taken or not leader)
    assert (made.next(max(made.wake_at(), NOW + MS)).member != member) == left


def test_a_cluster_formed_anew_is_asked_for_all_and_the_one_before_counts_no_more():
    made = course()
    assert made.answered(NOW, "c1", 9, "m1")
    made.had(9)
    assert not made.answered(NOW, "c2", 3, "m1")
    assert made.next(NOW).path == "/v1/events?after=0&parts=entries"
    assert made.answered(NOW, "c2", 3, "m1") and not made.answered(NOW, "c1", 12, "m1")
    assert made.counts["anew"] == 1 and made.counts["older"] == 1


def test_a_relay_is_lost_once_no_member_that_knows_a_leader_was_heard_for_too_long():
    made = course()
    assert not made.is_cut_off(NOW + polling.LOST - 1) and made.is_cut_off(NOW + polling.LOST)
    assert made.answered(NOW + polling.LOST, "c1", 9, "m1") and not made.is_cut_off(NOW + polling.LOST)
    assert made.answered(NOW + 2 * polling.LOST, "c1", 9, "") and made.is_cut_off(NOW + 2 * polling.LOST)


# ---- what a relay reads


def body(**fields):
    return json.dumps({"cluster_id": "c1", "at": 9, "leader": "m1", **fields}).encode()


def changed(index, *rows):
    return {"index": index, "changes": [{"part": "entries", "key": key, "record": row} for key, row in rows]}


ROW = {"value": {"a": 1}, "since": 5}


@pytest.mark.parametrize("after, fields, state", [
    (0, {"whole": {"entries": {"s k": ROW}}}, {"s": {"k": (5, {"a": 1})}}), (4, {"whole": {}}, {}),
    (0, {"events": [changed(5, ("s k", ROW))]}, {"s": {"k": (5, {"a": 1})}}), (0, {"events": []}, {}),
    (4, {"events": [changed(5, ("s k", ROW))]}, None),
])  # fmt: skip
def test_what_is_the_whole_state_is_known_as_such(after, fields, state):
    assert ledger_source.understood(body(**fields), None, after)[1] == state


def test_changes_and_whole_states_are_read_by_scope_and_key():
    told = ledger_source.read(body(events=[changed(5, ("s k", ROW), (" all", None))]), None, 4)
    assert ledger_source.entries(told.events[0]) == [("s", "k", {"a": 1}), ("", "all", None)]
    told = ledger_source.read(body(whole={"entries": {"s k": ROW, " all": ROW}}), None, 4)
    assert ledger_source.scopes(told.whole["entries"]) == {
        "s": {"k": (5, {"a": 1})},
        "": {"all": (5, {"a": 1})},
    }


def test_all_changes_that_there_ever_were_make_the_whole_state():
    events = [changed(3, ("s k", {**ROW, "since": 3})), changed(4, ("s j", ROW)), changed(5, ("s k", ROW))]
    told = ledger_source.read(body(events=[*events, changed(9, ("s j", None))]), None, 0)
    assert ledger_source.folded(told.events) == {"s k": EntryRow({"a": 1}, 5)}


@pytest.mark.parametrize("data, check", [
    (b"", None), (b"[]", None), (b"[" * 100_000, None), (body(), None), (body(events=[], whole={}), None),
    (body(events=[], cluster_id=""), None), (body(events=[], at=-1), None), (body(events=[]), "00000000"),
    (body(events=[changed(4)]), None), (body(events=[changed(10)]), None), (body(events=[], at="9"), None),
    (body(events=[changed(6), changed(6)]), None), (body(events=[changed(5, ("s k", {"value": 3}))]), None),
    (body(whole={"entries": {"s k": {"value": [], "since": 1}}}), None),
])  # fmt: skip
def test_answers_that_cannot_be_read_are_one_error(data, check):
    with pytest.raises(Unreadable):
        ledger_source.read(data, check, 4)


@settings(max_examples=200, deadline=None)
@given(some.data())
def test_no_answer_however_spoilt_raises_anything_else(data):
    made = bytearray(body(events=[changed(5, ("s k", ROW))]))
    for where in data.draw(some.lists(some.integers(0, len(made) - 1), max_size=4)):
        made[where] = data.draw(some.integers(0, 255))
    made = bytes(made[: data.draw(some.integers(0, len(made)))])
    try:
        told = ledger_source.read(made, data.draw(some.sampled_from([None, f"{zlib.crc32(made):08x}"])), 4)
        for event in told.events or ():
            ledger_source.entries(event)
    except Unreadable:
        return
    assert told.at >= 0


# ---- what a gateway can use


@pytest.mark.parametrize("record, state, started", [
    ({"state": "up"}, at.READY, 0), ({"state": "draining"}, at.DRAINING, 0),
    ({"state": "removed"}, at.GONE, 0), (None, at.READY, 0),
    ({"state": "up", "started_ms": NOW // MS}, at.READY, NOW),
    ({"state": "up", "started_ms": 1}, at.READY, 0),
])  # fmt: skip
def test_a_record_of_an_instance_is_heeded_beside_discoverys_line(record, state, started):
    made, told = instance_records.InstanceRecords(Door(), 1000 * MS), []
    made.begin(Discovery(told), [line("i0"), line("i1")], {"i0": (1, 0), "i1": (1, 0)})
    assert made.put([("s", "instance/i1", {"state": "draining"}), ("s", "instance/i0", record)]) == []
    found = {one.id: (one.state, one.started) for one in told}
    assert found["i1"] == (at.DRAINING, 0)
    assert found.get("i0", (at.READY, 0)) == (state, started)
    made.put([("s", "instance/i0", {"state": "up"})])
    assert made.merge.merged_line("i0").state == at.READY


@pytest.mark.parametrize("key, record, says", [
    ("rules", {}, "instance/ID"), ("instance/", {"state": "up"}, "instance/ID"),
    ("instance/i0", {}, "expected one of up"), ("instance/i0", {"state": ["up"]}, "expected one of up"),
    ("instance/i0", {"state": "asleep"}, "asleep"), ("instance/i0", {"state": "up", "started_ms": -1}, "-1"),
    ("instance/i0", {"state": "up", "started_ms": True}, "True"),
    ("instance/i1", {"state": "up"}, "scope 'other' has it"),
])  # fmt: skip
def test_a_record_that_cannot_be_used_is_refused_and_the_others_of_its_line_are_not(key, record, says):
    made, told = instance_records.InstanceRecords(Door(), 0), []
    made.begin(Discovery(told), [line("i0"), line("i1")], {"i0": (1, 0), "i1": (1, 0)})
    made.put([("other", "instance/i1", {"state": "up"})])
    refused = made.put([("s", key, record), ("s", "instance/i2", {"state": "draining"})])
    assert [row[:2] for row in refused] == [("s", key)] and says in refused[0][2]
    assert made.merge.words["i2"].out and made.merge.merged_line("i0").state == at.READY


def test_a_balancer_that_cannot_be_told_is_an_error_and_no_record_in_force():
    made = instance_records.InstanceRecords(Door(deaf=True), 0)
    with pytest.raises(RuntimeError):
        made.put([("s", "instance/i0", {"state": "draining"})])


def line(id):
    return at.Instance(id, 0, 0, 1, 0, at.READY, 1.0, 0)


class Door:
    """A dispatcher that has only `handle`."""

    def __init__(self, deaf=False):
        self.deaf = deaf

    def handle(self, happened, *values):
        if not self.deaf:
            happened(NOW, *values)


class Discovery:
    def __init__(self, told):
        self.told, self.merge = told, None

    def publish(self, now, lines, addresses, whole, fresh):
        self.told += lines


# ---- a gateway's settings

RELAYS = {"r1": {"region": "north", "address": "127.0.0.1:7"}}
GOOD = {"region": "north", "scopes": ["svc-1"], "relays": RELAYS}


def test_a_gateway_has_the_scope_that_all_need_beside_its_own():
    made = driver.subscriber(GOOD, "g0")
    assert list(made.complete) == ["", "svc-1"] and made.relays == [("r1", "north", "127.0.0.1:7")]
    assert made.me == "g0" and driver.subscriber({**GOOD, "name": "own"}, "g0").me == "own"


@pytest.mark.parametrize("more, says", [
    ({"scopes": ["a", "a"]}, "distribution.scopes"), ({"scopes": ["a b"]}, "a b"), ({"relays": {}}, "relays"),
    ({"scopes": [""]}, "distribution.scopes"), ({"name": "g 0"}, "g 0"),
    ({"relays": {"r1": {"region": "n", "address": "localhost:1"}}}, "distribution.relays.r1"),
    ({"relays": {"r1": {"region": "n", "address": "127.0.0.1:0"}}}, "distribution.relays.r1"),
])  # fmt: skip
def test_settings_that_make_no_sense_are_one_error(more, says):
    with pytest.raises(Unusable, match=says):
        driver.subscriber({**GOOD, **more}, "g0")


def test_one_that_follows_and_names_relays_is_told_to_choose():
    with pytest.raises(Unusable, match="expected one of them"):
        driver.GatewayDriver(None, GOOD, {"members": {}}, None, None, None)


def test_the_driver_imports_no_library_but_the_one_that_reads_lines():
    code = (
        "import sys, lemonlead.distribution.driver\n"
        "heavy = ('msgspec', 'aiohttp', 'immutables', 'sqlite3', 'lark', 'structlog')\n"
        "print([name for name in heavy if name in sys.modules])"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ran.stdout.strip() == "['msgspec']"
