"""The drivers of the distribution: which member a relay polls, what it parses, and which records and settings
a gateway can use."""

import json
import subprocess
import sys
import zlib

import pytest
from helpers import MS, NOW
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonlead import interface as at
from lemonlead.distribution import driver, instance_records, ledger_source, member_polling
from lemonlead.distribution.member_polling import MemberPolling
from lemonlead.distribution.faults import Unreadable, Unusable
from lemonlead.ledger.entries import EntryRow

SECOND = 1000 * MS
MEMBERS = {"m1": "h:1", "m2": "h:2", "m3": "h:3"}


def new_polling():
    return MemberPolling(NOW, MEMBERS, 7)


# ---- member polling


def test_relay_stays_with_a_responding_member():
    polling = new_polling()
    first = polling.next(NOW)
    assert first.path == "/v1/events?after=0&parts=entries" and first.address == MEMBERS[first.member]
    assert polling.accept_response(NOW, "c1", 9, "m1")
    polling.state_applied(9)
    again = polling.next(NOW)
    assert (again.member, again.path) == (first.member, "/v1/events?after=9&parts=entries")


def test_failed_members_are_tried_in_turn_with_bounded_waits():
    polling, now, members_called, waits = new_polling(), NOW, [], []
    for _ in range(12):
        members_called.append(polling.next(now).member)
        polling.failed(now)
        assert polling.next(now) is None
        waits.append(polling.wake_at() - now)
        now = polling.wake_at()
    assert members_called[:3] * 4 == members_called and set(members_called) == set(MEMBERS)
    assert (
        waits[0] <= member_polling.MIN_BACKOFF_NS
        and member_polling.MAX_BACKOFF_NS // 2 <= waits[-1] <= member_polling.MAX_BACKOFF_NS
    )
    assert polling.accept_response(now, "c1", 9, "m1")
    polling.failed(now)
    assert polling.wake_at() - now <= member_polling.MIN_BACKOFF_NS


def test_requested_pause_is_bounded():
    polling = new_polling()
    polling.failed(NOW, 500 * MS)
    first = polling.wake_at()
    polling.failed(NOW, 100 * SECOND)
    assert (first, polling.wake_at()) == (NOW + 500 * MS, NOW + member_polling.MAX_BACKOFF_NS)


@pytest.mark.parametrize("at, leader, taken", [(8, "m1", False), (9, "", True), (9, "m1", True)])
def test_lagging_or_leaderless_member_is_left(at, leader, taken):
    """A member that is cut off from the others returns true but old state."""
    polling = new_polling()
    assert polling.accept_response(NOW, "c1", 9, "m1")
    polling.state_applied(9)
    member = polling.next(NOW).member
    assert polling.accept_response(NOW + MS, "c1", at, leader) == taken
    left = polling.wake_at() > NOW + MS
    assert left == (not taken or not leader)
    assert (polling.next(max(polling.wake_at(), NOW + MS)).member != member) == left


def test_new_cluster_is_requested_whole_and_the_old_one_ignored():
    polling = new_polling()
    assert polling.accept_response(NOW, "c1", 9, "m1")
    polling.state_applied(9)
    assert not polling.accept_response(NOW, "c2", 3, "m1")
    assert polling.next(NOW).path == "/v1/events?after=0&parts=entries"
    assert polling.accept_response(NOW, "c2", 3, "m1") and not polling.accept_response(NOW, "c1", 12, "m1")
    assert polling.counts["anew"] == 1 and polling.counts["older"] == 1


def test_relay_is_cut_off_without_a_member_that_knows_a_leader():
    polling = new_polling()
    assert not polling.is_cut_off(NOW + member_polling.CUT_OFF_NS - 1) and polling.is_cut_off(
        NOW + member_polling.CUT_OFF_NS
    )
    assert polling.accept_response(NOW + member_polling.CUT_OFF_NS, "c1", 9, "m1") and not polling.is_cut_off(
        NOW + member_polling.CUT_OFF_NS
    )
    assert polling.accept_response(NOW + 2 * member_polling.CUT_OFF_NS, "c1", 9, "") and polling.is_cut_off(
        NOW + 2 * member_polling.CUT_OFF_NS
    )


# ---- responses of members


def body(**fields):
    return json.dumps({"cluster_id": "c1", "at": 9, "leader": "m1", **fields}).encode()


def event_of(index, *rows):
    return {"index": index, "changes": [{"part": "entries", "key": key, "record": row} for key, row in rows]}


ROW = {"value": {"a": 1}, "since": 5}


@pytest.mark.parametrize("after, fields, state", [
    (0, {"whole": {"entries": {"s k": ROW}}}, {"s": {"k": (5, {"a": 1})}}), (4, {"whole": {}}, {}),
    (0, {"events": [event_of(5, ("s k", ROW))]}, {"s": {"k": (5, {"a": 1})}}), (0, {"events": []}, {}),
    (4, {"events": [event_of(5, ("s k", ROW))]}, None),
])  # fmt: skip
def test_whole_states_are_recognized(after, fields, state):
    assert ledger_source.parse_state(body(**fields), None, after)[1] == state


def test_changes_and_whole_states_are_grouped_by_scope_and_key():
    response = ledger_source.parse_response(body(events=[event_of(5, ("s k", ROW), (" all", None))]), None, 4)
    assert ledger_source.entry_changes(response.events[0]) == [("s", "k", {"a": 1}), ("", "all", None)]
    response = ledger_source.parse_response(body(whole={"entries": {"s k": ROW, " all": ROW}}), None, 4)
    assert ledger_source.group_by_scope(response.whole["entries"]) == {
        "s": {"k": (5, {"a": 1})},
        "": {"all": (5, {"a": 1})},
    }


def test_all_changes_since_the_first_make_the_whole_state():
    events = [
        event_of(3, ("s k", {**ROW, "since": 3})),
        event_of(4, ("s j", ROW)),
        event_of(5, ("s k", ROW)),
    ]
    response = ledger_source.parse_response(body(events=[*events, event_of(9, ("s j", None))]), None, 0)
    assert ledger_source.fold_events(response.events) == {"s k": EntryRow({"a": 1}, 5)}


@pytest.mark.parametrize("data, check", [
    (b"", None), (b"[]", None), (b"[" * 100_000, None), (body(), None), (body(events=[], whole={}), None),
    (body(events=[], cluster_id=""), None), (body(events=[], at=-1), None), (body(events=[]), "00000000"),
    (body(events=[event_of(4)]), None), (body(events=[event_of(10)]), None), (body(events=[], at="9"), None),
    (body(events=[event_of(6), event_of(6)]), None),
    (body(events=[event_of(5, ("s k", {"value": 3}))]), None),
    (body(whole={"entries": {"s k": {"value": [], "since": 1}}}), None),
])  # fmt: skip
def test_unreadable_responses_are_one_error(data, check):
    with pytest.raises(Unreadable):
        ledger_source.parse_response(data, check, 4)


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_garbled_response_raises_nothing_else(data):
    garbled = bytearray(body(events=[event_of(5, ("s k", ROW))]))
    for where in data.draw(st.lists(st.integers(0, len(garbled) - 1), max_size=4)):
        garbled[where] = data.draw(st.integers(0, 255))
    garbled = bytes(garbled[: data.draw(st.integers(0, len(garbled)))])
    try:
        response = ledger_source.parse_response(
            garbled, data.draw(st.sampled_from([None, f"{zlib.crc32(garbled):08x}"])), 4
        )
        for event in response.events or ():
            ledger_source.entry_changes(event)
    except Unreadable:
        return
    assert response.at >= 0


# ---- instance records


@pytest.mark.parametrize("record, state, started", [
    ({"state": "up"}, at.READY, 0), ({"state": "draining"}, at.DRAINING, 0),
    ({"state": "removed"}, at.GONE, 0), (None, at.READY, 0),
    ({"state": "up", "started_ms": NOW // MS}, at.READY, NOW),
    ({"state": "up", "started_ms": 1}, at.READY, 0),
])  # fmt: skip
def test_instance_records_are_merged_with_discovery(record, state, started):
    records, published = instance_records.InstanceRecords(DispatcherStub(), 1000 * MS), []
    records.begin(DiscoveryStub(published), [line("i0"), line("i1")], {"i0": (1, 0), "i1": (1, 0)})
    assert records.put([("s", "instance/i1", {"state": "draining"}), ("s", "instance/i0", record)]) == []
    found = {one.id: (one.state, one.started) for one in published}
    assert found["i1"] == (at.DRAINING, 0)
    assert found.get("i0", (at.READY, 0)) == (state, started)
    records.put([("s", "instance/i0", {"state": "up"})])
    assert records.merge.merged_line("i0").state == at.READY


@pytest.mark.parametrize("key, record, says", [
    ("rules", {}, "instance/ID"), ("instance/", {"state": "up"}, "instance/ID"),
    ("instance/i0", {}, "expected one of up"), ("instance/i0", {"state": ["up"]}, "expected one of up"),
    ("instance/i0", {"state": "asleep"}, "asleep"), ("instance/i0", {"state": "up", "started_ms": -1}, "-1"),
    ("instance/i0", {"state": "up", "started_ms": True}, "True"),
    ("instance/i1", {"state": "up"}, "scope 'other' has it"),
])  # fmt: skip
def test_unusable_record_is_refused_alone(key, record, says):
    records, published = instance_records.InstanceRecords(DispatcherStub(), 0), []
    records.begin(DiscoveryStub(published), [line("i0"), line("i1")], {"i0": (1, 0), "i1": (1, 0)})
    records.put([("other", "instance/i1", {"state": "up"})])
    refused = records.put([("s", key, record), ("s", "instance/i2", {"state": "draining"})])
    assert [row[:2] for row in refused] == [("s", key)] and says in refused[0][2]
    assert records.merge.nodes["i2"].out and records.merge.merged_line("i0").state == at.READY


def test_failed_balancer_update_is_an_error():
    records = instance_records.InstanceRecords(DispatcherStub(fails=True), 0)
    with pytest.raises(RuntimeError):
        records.put([("s", "instance/i0", {"state": "draining"})])


def line(id):
    return at.Instance(id, 0, 0, 1, 0, at.READY, 1.0, 0)


class DispatcherStub:
    """A dispatcher of which only `handle` is called."""

    def __init__(self, fails=False):
        self.fails = fails

    def handle(self, happened, *values):
        if not self.fails:
            happened(NOW, *values)


class DiscoveryStub:
    def __init__(self, published):
        self.published, self.merge = published, None

    def publish(self, now, lines, addresses, whole, fresh):
        self.published += lines


# ---- settings of a gateway

RELAYS = {"r1": {"region": "north", "address": "127.0.0.1:7"}}
GOOD = {"region": "north", "scopes": ["svc-1"], "relays": RELAYS}


def test_gateway_subscribes_to_the_common_scope():
    subscriber = driver.subscriber_from_settings(GOOD, "g0")
    assert list(subscriber.complete) == ["", "svc-1"] and subscriber.relays == [
        ("r1", "north", "127.0.0.1:7")
    ]
    assert (
        subscriber.name == "g0"
        and driver.subscriber_from_settings({**GOOD, "name": "own"}, "g0").name == "own"
    )


@pytest.mark.parametrize("changed, says", [
    ({"scopes": ["a", "a"]}, "distribution.scopes"), ({"scopes": ["a b"]}, "a b"), ({"relays": {}}, "relays"),
    ({"scopes": [""]}, "distribution.scopes"), ({"name": "g 0"}, "g 0"),
    ({"relays": {"r1": {"region": "n", "address": "localhost:1"}}}, "distribution.relays.r1"),
    ({"relays": {"r1": {"region": "n", "address": "127.0.0.1:0"}}}, "distribution.relays.r1"),
])  # fmt: skip
def test_invalid_settings_are_one_error(changed, says):
    with pytest.raises(Unusable, match=says):
        driver.subscriber_from_settings({**GOOD, **changed}, "g0")


def test_follow_and_distribution_together_are_refused():
    with pytest.raises(Unusable, match="expected one of them"):
        driver.GatewayDriver(None, GOOD, {"members": {}}, None, None, None)


def test_driver_imports_only_msgspec():
    code = (
        "import sys, lemonlead.distribution.driver\n"
        "heavy = ('msgspec', 'aiohttp', 'immutables', 'sqlite3', 'lark', 'structlog')\n"
        "print([name for name in heavy if name in sys.modules])"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert process.stdout.strip() == "['msgspec']"
