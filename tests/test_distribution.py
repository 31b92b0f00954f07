"""The state on its way from the ledger to gateways: store, outbox, acknowledgements and subscriber."""

import itertools
import json
import random

import msgspec
import pytest
from helpers import MS
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lemonlead.distribution import acknowledgements, outbox, records, subscriber
from lemonlead.distribution.acknowledgements import Acknowledgements
from lemonlead.distribution.faults import Older, Senseless, TooLarge, Unreadable, Unusable
from lemonlead.distribution.outbox import Outbox
from lemonlead.distribution.records import (
    COLD,
    DRAIN,
    MAX_LINE_BYTES,
    REST,
    Acknowledgement,
    Subscription,
    urgency,
)
from lemonlead.distribution.store import Store
from lemonlead.distribution.subscriber import Acknowledge, Subscribe, Subscriber
from lemonlead.distribution.unreadable import UnreadableRecords
from lemonlead.ledger import names, new_names

SECOND = 1000 * MS
HOUR = 3600 * SECOND
BURST = records.MIN_BURST_BYTES
RELAYS = [("near", "r1", "127.0.0.1:1"), ("far", "r2", "127.0.0.1:2")]
UP, OUT = {"state": "serving"}, {"state": "draining"}
PLAY = settings(max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))


def new_store(cluster="c", index=10, kept=100_000, **scopes):
    """Returns a store with a whole state, {scope: {key: (index, record)}}."""
    store = Store("", kept)
    store.replace(cluster, index, scopes)
    return store


def parse(data):
    return json.loads(data) if data is not None else None


def all_lines(box, now=HOUR, most=100_000):
    """Returns all lines that the outbox has to send, with enough budget."""
    found = []
    while len(found) < most and (data := box.next(now)) is not None:
        found.append(data)
        now += 10 * SECOND
    return found


def changes_of(message):
    """Returns (scope, key, index) of the changes in lines, in order."""
    return [tuple(change[:3]) for line in message for change in parse(line).get("changes", ())]


def open_stream(*scopes, seed=1, relays=RELAYS, now=0):
    """Returns a subscriber whose stream has just been opened, and the time."""
    gateway = Subscriber("g1", "r1", scopes, relays, seed)
    assert gateway.next(now) is None
    assert type(gateway.next(gateway.wake_at())) is Subscribe
    return gateway, gateway.not_before


def line(**fields):
    return json.dumps(fields).encode() + b"\n"


def name_cluster(gateway, now, cluster="c", at=10):
    gateway.receive_line(now, line(cluster=cluster, at=at))


def request_body(action):
    return json.loads(action.body)


# ---- messages


@pytest.mark.parametrize(
    "record, urgent",
    [
        (None, DRAIN),
        ({"state": "draining"}, DRAIN),
        ({"state": "removed", "started_ms": 5}, DRAIN),
        ({"started_ms": 5}, COLD),
        ({"state": "serving", "cold": True}, COLD),
        ({"started_ms": 0, "cold": False}, REST),
        ({"started_ms": "soon", "state": ["draining"]}, REST),
        ({}, REST),
    ],
)
def test_urgency_by_state_and_start(record, urgent):
    assert urgency(record) == urgent


def test_scope_names_match_ledger_names():
    assert new_names.Name.__metadata__[0].pattern == f"^{names.NAME_PATTERN}$"
    assert new_names.Name.__metadata__[0].max_length == names.MAX_NAME_LENGTH == 100
    for name in ("a", "a" * 100, "A1_.:/-"):
        assert records.check_scope_name(name, "here") == name
    assert records.check_scope_name("", "here") == ""


@pytest.mark.parametrize("scope", [" ", "a b", "-a", "a" * 101, "ä", "a\n", None, 5, ["a"]])
def test_invalid_scope_names_are_refused(scope):
    for call in (
        lambda: Outbox(0, new_store(), {scope: 0} if type(scope) is not list else scope, 8000, BURST),
        lambda: Acknowledgements(SECOND, 0).subscribe(
            0, "g", "r", {scope: 0} if type(scope) is not list else 1
        ),
        lambda: Acknowledgements(SECOND, 0).in_force(0, scope, 1),
        lambda: Store("c").apply(1, [(scope, "k", UP)]),
    ):
        with pytest.raises(Senseless) as error:
            call()
        assert "expected" in error.value.says and error.value.do
    with pytest.raises(Unusable, match="expected"):
        Subscriber("g", "r", [scope], RELAYS, 1)


@pytest.mark.parametrize("index", [-1, 1.0, True, "1", None, 1 << 63])
def test_invalid_indexes_are_refused(index):
    store, box, acks = new_store(a={}), Outbox(0, new_store(), {}, 8000, BURST), Acknowledgements(SECOND, 0)
    acks.subscribe(0, "g", "r", {"a": 0})
    for call in (
        lambda: store.apply(index, []),
        lambda: store.replace("c", index, {}),
        lambda: store.replace("c", 20, {"a": {"k": (index, UP)}}),
        lambda: Outbox(0, store, {"a": index}, 8000, BURST),
        lambda: box.add_scopes(0, {"a": index}),
        lambda: acks.subscribe(0, "g", "r", {"a": index}),
        lambda: acks.acknowledge(0, "g", {"a": index}),
        lambda: acks.in_force(0, "a", index),
    ):
        with pytest.raises(Senseless, match="expected a whole number"):
            call()
    assert store.index == 10 and store.snapshot("a") == [] and not box.positions
    assert acks.in_force(0, "a", 1).behind == [("g", 0)]


@pytest.mark.parametrize("value", [0, -1, 1.5, None, "8000", True, 1 << 50])
def test_invalid_rates_sizes_and_times_are_refused(value):
    for call in (
        lambda: Outbox(0, new_store(), {}, value, BURST),
        lambda: Outbox(0, new_store(), {}, 8000, value),
    ):
        with pytest.raises(Unusable, match="expected a whole number from"):
            call()
    if value not in (0, 1 << 50):
        with pytest.raises(Senseless, match="grace: .*expected"):
            Acknowledgements(SECOND, value)
        with pytest.raises(Senseless, match="kept: .*expected"):
            Store("c", value)
    with pytest.raises(Unusable, match=f"burst: {BURST - 1}; expected a whole number from {BURST}"):
        Outbox(0, new_store(), {}, 8000, BURST - 1)


def test_too_many_scopes_are_refused():
    most = {f"s{n}": 0 for n in range(records.MAX_SCOPES)}
    box = Outbox(0, new_store(), most, 8000, BURST)
    for call in (
        lambda: Outbox(0, new_store(), {**most, "more": 0}, 8000, BURST),
        lambda: box.add_scopes(0, {"more": 0}),
        lambda: Acknowledgements(SECOND, 0).subscribe(0, "g", "r", {**most, "more": 0}),
    ):
        with pytest.raises(Senseless, match="at most 2000"):
            call()
    assert "more" not in box.positions
    with pytest.raises(Unusable, match="at most 2000"):
        Subscriber("g", "r", [*most, "more"], RELAYS, 1)


@pytest.mark.parametrize(
    "relays, says",
    [
        ([], "none"),
        ([("a", "r1")], "expected .name, region"),
        ([("a", "r1", "localhost:80")], "IPv4"),
        ([("a", "r1", "127.0.0.1")], "IPv4"),
        ([("a", "r1", "127.0.0.1:0")], "IPv4"),
        ([("a b", "r1", "127.0.0.1:1")], "expected a name"),
        ([("a", "", "127.0.0.1:1")], "relays.a.region"),
    ],
)
def test_invalid_relays_are_refused(relays, says):
    with pytest.raises(Unusable, match=says):
        Subscriber("g", "r", [], relays, 1)
    for me, region in (("", "r"), ("g", "r r"), (None, "r")):
        with pytest.raises(Unusable, match="expected a name"):
            Subscriber(me, region, [], RELAYS, 1)


@pytest.mark.parametrize(
    "data, says",
    [
        (b"", "body"),
        (b"[]", "body"),
        (b"[" * 100_000, "body"),
        (b'{"gateway":"g","region":"r","cluster":"c"}', "scopes"),
        (b'{"gateway":"g","region":"r","cluster":"c","scopes":{"a":-1}}', "scopes"),
        (b'{"gateway":"g","region":"r","cluster":"c","scopes":{"a":1.5}}', "scopes"),
        (b'{"gateway":"g","region":"r","cluster":"c","scopes":{"a b":1}}', "scope 'a b'"),
        (b'{"gateway":"","region":"r","cluster":"c","scopes":{}}', "gateway"),
        (b'{"gateway":"g","region":"","cluster":"c","scopes":{}}', "region"),
        (b'{"gateway":"g","region":"r","cluster":"%b","scopes":{}}' % (b"c" * 101), "cluster"),
        (b'{"gateway":"g","region":"r","cluster":"c","scopes":{},"scope":1}', "scope"),
    ],
)
def test_invalid_bodies_are_refused(data, says):
    with pytest.raises(Senseless, match=says):
        records.parse_body(data, Subscription)
    with pytest.raises(Senseless):
        records.parse_body(data, Acknowledgement)


def test_relay_reads_what_a_subscriber_sends():
    gateway, now = open_stream("a", "")
    asked = records.parse_body(
        msgspec.json.encode(request_body(Subscribe("", subscription_body(gateway)))), Subscription
    )
    assert asked.gateway == "g1" and asked.region == "r1" and asked.scopes == {"a": 0, "": 0}
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "k", 5, UP]], complete={"a": 5}))
    gateway.refuse("a", "k", 5, "k.state: what, expected")
    message = records.parse_body(gateway.next(now + SECOND).body, Acknowledgement)
    assert (message.gateway, message.cluster, message.complete) == ("g1", "c", {"a": 5})
    assert message.refused == [("a", "k", 5, "k.state: what, expected")] and message.stay == asked.stay


def subscription_body(gateway):
    """Returns the body of the current subscription."""
    return msgspec.json.encode(
        Subscription(
            gateway.name, gateway.region, gateway.cluster, gateway.complete, gateway.subscription_id()
        )
    )


# ---- the store


def test_store_returns_only_the_newest_version_of_a_key():
    store = new_store(a={"x": (1, UP), "y": (2, UP)})
    for index, (key, record) in enumerate([("x", OUT), ("z", UP), ("x", None), ("y", OUT)], 11):
        store.apply(index, [("a", key, record), ("b", key, record)])
    assert store.changes_since("a", 10) == [("z", 12, UP), ("x", 13, None), ("y", 14, OUT)]
    assert store.changes_since("a", 12) == [("x", 13, None), ("y", 14, OUT)]
    assert store.changes_since("a", 14) == store.changes_since("a", 99) == []
    assert sorted(store.snapshot("a")) == [("y", 14, OUT), ("z", 12, UP)]
    assert store.last_change("a") == 14 and store.index == 14
    store.apply(20, [])
    assert store.index == 20 and store.last_change("a") == 14


def test_last_change_to_a_key_within_an_entry_counts():
    store = Store("c")
    store.apply(1, [("a", "k", UP), ("a", "k", OUT), ("a", "j", UP), ("a", "j", None)])
    assert store.changes_since("a", 0) == [("k", 1, OUT), ("j", 1, None)]
    assert store.snapshot("a") == [("k", 1, OUT)]


class CountingRecords(dict):
    """Records that count how often they are read, and can't be iterated."""

    reads = 0

    def get(self, *args):
        self.reads += 1
        return super().get(*args)

    def __iter__(self):
        raise AssertionError("iterated")

    items = values = keys = __iter__


def test_cost_is_proportional_to_changes():
    store = new_store(
        a={f"k{n}": (1, UP) for n in range(20_000)}, b={f"k{n}": (1, UP) for n in range(20_000)}
    )
    for index in range(11, 2011):
        store.apply(index, [("a", f"k{index}", OUT)])
    store.apply(2011, [("b", "k1", OUT)])
    for scope in "ab":
        store.scopes[scope].records = CountingRecords(store.scopes[scope].records)
    log = store.scopes["a"].log
    assert len(store.changes_since("a", 2007)) == 3 and store.scopes["a"].records.reads == 3
    assert len(store.list_changes("a", 2007).levels[DRAIN]) == 3 and store.scopes["a"].records.reads == 6
    assert list(store.changed_scopes(2010)) == ["b"] and len(log) == 2000


class CountingLog(dict):
    """A log that counts how many of its entries are read."""

    entries_read = 0

    def items(self):
        return self

    def __reversed__(self):
        for key in list(dict.__reversed__(self)):
            self.entries_read += 1
            yield key, self[key]


def test_log_is_read_from_its_end():
    store = new_store(a={})
    for index in range(11, 5011):
        store.apply(index, [("a", f"k{index}", UP)])
    store.scopes["a"].log = log = CountingLog(store.scopes["a"].log)
    assert [key for key, _, _ in store.changes_since("a", 5008)] == [
        "k5009",
        "k5010",
    ] and log.entries_read == 3


def test_logs_are_bounded_and_quiet_scopes_stay():
    store = new_store(kept=80, quiet={}, busy={})
    store.apply(11, [("quiet", "k", UP)])
    for index in range(12, 500):
        store.apply(index, [("busy", f"k{index % 300}", UP)])
        assert store.log_keys == sum(len(state.log) for state in store.scopes.values()) <= 80
    assert store.changes_since("busy", 100) is None and len(store.changes_since("busy", 495)) == 4
    assert len(store.snapshot("busy")) == 300
    assert store.changes_since("quiet", 11) == [] and store.last_change("quiet") == 11


def test_empty_scopes_use_no_memory():
    store = new_store(kept=8)
    for index in range(11, 500):
        store.apply(index, [(f"s{index}", "k", UP if index % 2 else None)])
    gone = [(f"s{index}", "k", None) for index in range(11, 500)]
    store.apply(600, gone)
    store.apply(601, [("a", f"k{n}", UP) for n in range(20)])
    assert len(store.scopes) <= 9 and len(store.change_order) == len(store.scopes)
    assert store.changes_since("s11", 599) is None and store.changes_since("s11", 601) == []
    assert store.last_change("s11") >= 600


def test_scope_dropped_with_its_last_record_is_still_sent():
    store = new_store(index=10, kept=0, a={"x": (1, UP)}, b={"y": (1, UP)})
    box = Outbox(0, store, {"a": 0, "b": 0}, 8000, BURST)
    all_lines(box)
    store.apply(11, [("a", "x", None)])
    assert (
        "a" not in store.scopes and store.changed_scopes(10) is None and list(store.changed_scopes(11)) == []
    )
    changes_found = [parse(state) for state in all_lines(box, 2 * HOUR)]
    assert [state["snapshot"] for state in changes_found if "snapshot" in state] == ["a"]
    assert {"a": 11} in [state.get("complete") for state in changes_found]


def test_store_that_keeps_nothing_forces_snapshots():
    store = new_store(kept=0, a={})
    store.apply(11, [("a", "k", UP)])
    assert store.changes_since("a", 10) is None and store.changes_since("a", 11) == [] and store.log_keys == 0


def test_removals_before_a_start_are_unknown():
    store = new_store(index=100, a={"k": (50, UP)})
    assert store.changes_since("a", 99) is None and store.changes_since("other", 99) is None
    assert store.changes_since("a", 100) == store.changes_since("other", 100) == []
    assert store.last_change("a") == store.last_change("other") == 100


def test_whole_state_of_same_cluster_is_applied_as_differences():
    store = new_store(a={"x": (1, UP), "y": (2, UP), "z": (3, UP)}, b={"k": (4, UP)})
    store.replace("c", 20, {"a": {"x": (1, UP), "y": (15, OUT), "new": (12, UP)}})
    assert store.changes_since("a", 10) == [("new", 12, UP), ("y", 15, OUT), ("z", 20, None)]
    assert store.changes_since("b", 10) == [("k", 20, None)] and store.snapshot("b") == []
    assert store.index == 20 and store.changes_since("a", 20) == []
    for scope, index in itertools.product(("a", "b", "other"), range(11, 20)):
        assert store.changes_since(scope, index) is None  # keys put and dropped meanwhile aren't known
    for index in range(30, 300, 2):
        store.apply(index, [("a", "x", UP)])
        store.replace("c", index + 1, {"a": {"x": (index, UP), "y": (15, OUT), "new": (12, UP)}})
    assert len(store.gaps) == 64 and store.changes_since("a", 12) is None is store.changes_since("other", 35)
    assert [key for key, _, _ in store.changes_since("a", 10)] == ["new", "y", "z", "x"]


def test_whole_state_that_cannot_follow_resets_the_store():
    store = new_store(a={"x": (1, UP)}, b={"k": (4, UP)})
    store.replace("c", 20, {"a": {"x": (2, OUT)}})
    for index in (0, 9, 10, 19):
        assert store.changes_since("a", index) is None and store.changes_since("b", index) is None
    assert store.snapshot("a") == [("x", 2, OUT)] and store.snapshot("b") == []
    assert store.changed_scopes(19) is None and list(store.changed_scopes(20)) == []
    store.apply(21, [("b", "k", UP)])
    assert list(store.changed_scopes(20)) == ["b"]


def test_older_state_is_refused_and_another_cluster_replaces():
    store = new_store(a={"x": (1, UP)})
    store.apply(11, [("a", "x", OUT)])
    for call in (
        lambda: store.replace("c", 10, {}),
        lambda: store.apply(11, [("a", "x", None)]),
        lambda: store.apply(5, [("a", "x", None)]),
    ):
        with pytest.raises(Older):
            call()
    assert store.snapshot("a") == [("x", 11, OUT)] and store.index == 11
    store.replace("d", 3, {"b": {"y": (2, UP)}})
    assert (store.cluster, store.index, store.snapshot("a")) == ("d", 3, [])
    assert (
        store.snapshot("b") == [("y", 2, UP)] and store.changes_since("b", 2) is None and store.log_keys == 0
    )


@pytest.mark.parametrize(
    "change, fault",
    [
        (("a", "", UP), Senseless),
        (("a", "k k", UP), Senseless),
        (("a", "k" * 201, UP), Senseless),
        (("a", None, UP), Senseless),
        (("a", "k", "text"), Senseless),
        (("a", "k", {"x": "y" * records.MAX_RECORD_BYTES}), TooLarge),
    ],
)
def test_invalid_change_leaves_the_store_unchanged(change, fault):
    store = new_store(a={"x": (1, UP)})
    with pytest.raises(fault, match="expected|at most"):
        store.apply(11, [("a", "x", None), change])
    with pytest.raises(fault, match="expected|at most"):
        store.replace("c", 11, {"a": {change[1]: (11, change[2])}})
    with pytest.raises(Senseless, match="index 12; expected at most 11"):
        store.replace("c", 11, {"a": {"k": (12, UP)}})
    assert (store.index, store.snapshot("a"), store.changes_since("a", 10)) == (10, [("x", 1, UP)], [])


BAD, GOOD = ("a", "k 1", UP), ("a", "k2", OUT)


@pytest.mark.parametrize("ended", [[("a", "k 1", None)], {"a": {"k2": (12, OUT)}}])
def test_an_unreadable_record_does_not_stop_the_others(ended):
    """Guards against a relay that refuses an entry for ever, and with it each later one, for a name that no
    gateway reads."""
    relayed = UnreadableRecords(new_store(index=10))
    relayed.apply(11, [BAD])
    relayed.apply(12, [GOOD])
    assert relayed.store.newest("a", "k2").index == 12 and relayed.has_scope("a")
    relayed.replace("c", 13, {"a": {"k 1": (11, UP), "k2": (12, OUT)}, "b\n": {"k": (13, UP)}})
    assert relayed.reasons.keys() == {("a", "k 1"), ("b\n", "k")} and relayed.store.index == 13
    if type(ended) is dict:
        relayed.replace("c", 14, ended)
    else:
        relayed.apply(14, [*ended, ("b\n", "k", None)])
    assert not relayed.reasons and relayed.store.changes_since("a", 13) == []
    with pytest.raises(Older):
        relayed.apply(14, [GOOD])


NAMES, KEYS = ("", "a", "b"), ("k0", "k1", "k2", "k3")
RECORDS = (UP, OUT, {"started_ms": 7}, None, None)
CHANGE = st.tuples(st.sampled_from(NAMES), st.sampled_from(KEYS), st.sampled_from(RECORDS))


@PLAY
@given(
    st.lists(st.lists(CHANGE, max_size=4), max_size=30),
    st.integers(0, 12),
    st.sets(st.integers(0, 29)),
)
def test_changes_since_any_index_produce_the_newest_state(entries, kept, wholes):
    """The state as of any index plus the changes since then must equal the current state. Some entries reach
    the store as a whole state after a gap."""
    store, truth, states = Store("c", kept), {}, [{}]
    for index, entry in enumerate(entries, 1):
        truth = {**truth, **{(scope, key): (index, record) for scope, key, record in entry}}
        truth = {at: value for at, value in truth.items() if value[1] is not None}
        states.append(truth)
        if index - 1 not in wholes:
            scopes = {}
            for (scope, key), value in truth.items():
                scopes.setdefault(scope, {})[key] = value
            before = store.index
            if before == index - 1:
                store.apply(index, entry)
            else:
                store.replace("c", index, scopes)
            assert store.log_keys == sum(len(state.log) for state in store.scopes.values()) <= kept
    for scope, index in itertools.product(NAMES, range(store.index + 1)):
        changes_found = store.changes_since(scope, index)
        now = {key: value for (of, key), value in states[store.index].items() if of == scope}
        assert {key: (at, record) for key, at, record in store.snapshot(scope)} == now
        if changes_found is not None:
            built = {key: value for (of, key), value in states[index].items() if of == scope}
            for key, at, record in changes_found:
                assert at > index
                built[key] = at, record
            assert {key: value for key, value in built.items() if value[1] is not None} == now
            assert sorted(at for _, at, _ in changes_found) == [at for _, at, _ in changes_found]
        else:
            assert index < store.last_change(scope)
    if not wholes and kept >= len(NAMES) * len(KEYS):
        assert all(store.changes_since(scope, 0) is not None for scope in NAMES)


# ---- the outbox


def test_first_line_names_cluster_and_snapshot_ends_with_complete():
    box = Outbox(0, new_store(a={"x": (1, UP)}), {"a": 0}, 8000, BURST)
    sent = [parse(data) for data in all_lines(box)]
    for item in sent:
        del item["n"], item["check"]
    assert sent == [
        {"cluster": "c", "at": 10},
        {"snapshot": "a"},
        {"changes": [["a", "x", 1, UP]], "complete": {"a": 10}},
    ]
    assert box.wake_at() is None


def test_subscriber_gets_only_what_it_lacks():
    store = new_store(index=10, a={"x": (1, UP)}, b={})
    store.apply(11, [("a", "y", UP)])
    store.apply(12, [("a", "x", OUT)])
    sent = all_lines(Outbox(0, store, {"a": 11, "b": 10}, 8000, BURST))
    assert changes_of(sent) == [("a", "x", 12)] and not any("snapshot" in parse(item) for item in sent)
    assert [parse(item)["complete"] for item in sent if "complete" in parse(item)] == [{"a": 12}, {"b": 12}]


def test_order_is_drains_cold_changes_snapshots():
    store = new_store(
        index=10, big={f"k{n}": (1, UP) for n in range(50)} | {"out": (2, OUT)}, a={"gone": (1, UP)}
    )
    for index, (scope, key, record) in enumerate(
        [("a", "rest", UP), ("b", "cold", {"started_ms": 1}), ("b", "out", OUT), ("a", "gone", None)], 11
    ):
        store.apply(index, [(scope, key, record)])
    sent = changes_of(all_lines(Outbox(0, store, {"a": 10, "b": 10, "big": 0}, 8000, BURST)))
    keys = [key for _, key, _ in sent]
    assert set(keys[:3]) == {"out", "gone"} and keys[3:5] == ["cold", "rest"] and len(keys) == 55
    assert {scope for scope, _, _ in sent[5:]} == {"big"}


def test_small_snapshots_are_not_delayed_by_a_large_one():
    store = new_store(a={f"k{n}": (1, UP) for n in range(3000)}, b={"k": (1, UP)}, c={})
    sent = [parse(item) for item in all_lines(Outbox(0, store, {"a": 0, "b": 0, "c": 0}, 8000, BURST))]
    ends = [scope for item in sent for scope in item.get("complete", ())]
    assert set(ends[:2]) == {"b", "c"} and ends[2:] == ["a"]


def test_later_changes_replace_earlier_and_urgent_ones_are_sent_once():
    store = new_store(index=10, a={f"k{n:03}": (1, UP) for n in range(900)})
    box, sent, now = Outbox(0, store, {"a": 0}, 8000, BURST), [], HOUR
    index = 10
    while (data := box.next(now)) is not None:
        sent.append(data)
        now += 2 * SECOND
        if index < 15:
            index += 1
            store.apply(index, [("a", "k899", OUT if index % 2 else UP), ("a", f"k0{index}", OUT)])
    seen = changes_of(sent)
    assert len(seen) == len(set(seen)) and len({key for _, key, _ in seen}) == 900
    assert [at for _, key, at in seen if key == "k899"] == [12, 13, 14, 15]
    assert box.counts["coalesced"] >= 1
    assert parse(sent[-1])["complete"] == {"a": 15}
    assert sum("snapshot" in parse(item) for item in sent) == 1


def test_snapshot_continues_and_remembers_only_changed_keys():
    store = new_store(index=10, a={f"k{n}": (1, UP) for n in range(20_000)})
    box, now, most = Outbox(0, store, {"a": 0}, 8000, BURST), HOUR, 0
    sent = []
    for index in range(11, 61):
        sent.append(box.next(now))
        store.apply(index, [("a", f"k{index}", OUT), ("a", f"new{index}", UP)])
        now += SECOND
        most = max(most, len(box.positions["a"].ahead))
    sent += all_lines(box, now)
    seen = changes_of(sent)
    assert len(seen) == len(set(seen)) and 1 <= most <= 100
    assert len({key for _, key, _ in seen}) == 20_050
    assert not box.positions["a"].ahead and box.positions["a"].base is None


def test_key_lists_are_shared_between_subscribers():
    store = new_store(index=10, a={f"k{n}": (1, UP) for n in range(100)})
    store.apply(11, [("a", "k1", OUT)])
    boxes = [Outbox(0, store, {"a": at}, 8000, BURST) for at in (0, 0, 10, 10)]
    bases = [box.positions["a"].base for box in boxes]
    assert bases[0] is bases[1] and bases[2] is bases[3] and bases[0].whole and not bases[2].whole


def test_list_of_all_keys_is_rebuilt_after_many_changes():
    store = new_store(index=10, a={f"k{n}": (1, UP) for n in range(80)})
    first = store.list_all("a")
    for index in range(11, 21):
        store.apply(index, [("a", f"k{index}", UP)])
        assert store.list_all("a") is first
    store.apply(21, [("a", "k21", UP)])
    assert store.list_all("a").at == 21 and len(store.list_all("a").levels[REST]) == 80


def test_list_of_all_keys_before_the_log_is_not_reused():
    store = new_store(index=10, kept=20, a={f"k{n}": (1, UP) for n in range(200)})
    first = store.list_all("a")
    store.apply(11, [("a", "k0", None)])
    store.apply(12, [("b", f"k{n}", UP) for n in range(40)])
    assert (
        store.changes_since("a", 10) is None
        and store.list_all("a") is not first
        and store.list_all("a").at == 12
    )


def test_change_dropped_from_the_log_restarts_the_snapshot():
    store = new_store(index=10, kept=20, a={f"k{n}": (1, UP) for n in range(2000)})
    box, now = Outbox(0, store, {"a": 0}, 8000, BURST), HOUR
    sent = [box.next(now) for _ in range(3)]
    store.apply(11, [("a", "k0", None), ("a", "k1999", None)])
    store.apply(12, [("b", f"k{n}", UP) for n in range(40)])
    assert store.changes_since("a", 10) is None
    sent += all_lines(box, now + SECOND)
    marks = [place for place, item in enumerate(sent) if "snapshot" in parse(item)]
    last = {key for _, key, _ in changes_of(sent[marks[-1] :])}
    assert len(marks) == 2 and len(last) == 1998 and not last & {"k0", "k1999"}


def test_removals_dropped_from_the_log_reach_the_subscriber():
    store = new_store(index=10, kept=6, a={f"k{n}": (1, UP) for n in range(4)})
    store.apply(11, [("a", "k1", None), ("a", "k2", None)])
    item, now = open_stream("a")
    box = Outbox(0, store, {"a": 10}, 8000, BURST)
    item.complete["a"] = 10
    item.records["a"] = {f"k{n}": (1, UP) for n in range(4)}
    name_cluster(item, now)
    store.apply(12, [("b", f"k{n}", UP) for n in range(9)])
    item.line_count = 0
    item.stream_cluster = None
    for data in all_lines(box):
        item.receive_line(now, data)
    assert set(item.records["a"]) == {"k0", "k3"} and item.complete["a"] == 12


def test_scope_emptied_during_its_snapshot_completes_once():
    store = new_store(index=10, kept=0, a={f"k{n}": (1, UP) for n in range(3000)}, b={
        f"k{n}": (1, UP) for n in range(1000)
    })  # fmt: skip
    box = Outbox(0, store, {"a": 0, "b": 0}, 8000, BURST)
    sent = [box.next(HOUR + n * SECOND) for n in range(4)]
    store.apply(11, [("a", f"k{n}", None) for n in range(3000)])
    sent = [parse(item) for item in sent + all_lines(box, 2 * HOUR)]
    assert [item["snapshot"] for item in sent if "snapshot" in item] == ["b", "a"]
    assert [item["complete"] for item in sent if "complete" in item] == [{"a": 11}, {"b": 11}]


def test_subscriber_ahead_of_the_store_gets_nothing_until_it_catches_up():
    store = new_store(index=10, a={"x": (1, UP)}, b={"y": (1, UP)})
    box = Outbox(0, store, {"a": 12, "b": 0}, 8000, BURST)
    sent = all_lines(box)
    assert changes_of(sent) == [("b", "y", 1)]
    store.apply(11, [("a", "x", OUT)])
    sent += all_lines(box, 2 * HOUR)
    assert len(changes_of(sent)) == 1 and all("a" not in parse(item).get("complete", ()) for item in sent)
    store.apply(12, [("a", "y", UP)])
    store.apply(13, [("a", "z", UP)])
    assert changes_of(all_lines(box, 3 * HOUR)) == [("a", "z", 13)]


@pytest.mark.parametrize("cluster", ["other", ""])
def test_subscriber_of_another_cluster_gets_a_snapshot(cluster):
    store = new_store(index=10, a={"x": (1, UP)})
    sent = all_lines(Outbox(0, store, {"a": 500}, 8000, BURST, cluster))
    assert [list(parse(item))[0] for item in sent] == ["cluster", "snapshot", "changes"]


def test_new_cluster_in_the_store_is_sent_from_the_start():
    store = new_store(index=10, a={"x": (1, UP)}, b={f"k{n}": (1, UP) for n in range(2000)})
    box = Outbox(0, store, {"a": 0, "b": 0, "c": 0}, 8000, BURST)
    sent = [box.next(HOUR + n * SECOND) for n in range(8)]
    assert box.pending[outbox.SNAPSHOT]
    store.replace("d", 4, {"a": {"y": (2, UP)}})
    sent = [parse(item) for item in all_lines(box, 2 * HOUR)]
    assert sent[0]["cluster"] == "d" and sent[0]["at"] == 4
    assert {item["snapshot"] for item in sent if "snapshot" in item} == {"a", "b", "c"}
    assert [tuple(change) for item in sent for change in item.get("changes", ())] == [("a", "y", 2, UP)]


def test_added_scopes_cost_only_themselves():
    store = new_store(index=10, a={"x": (1, UP)}, b={"y": (1, UP)})
    box = Outbox(0, store, {"a": 0}, 8000, BURST)
    all_lines(box)
    box.add_scopes(HOUR, {"a": 0, "b": 0})
    assert changes_of(all_lines(box, 2 * HOUR)) == [("b", "y", 1)]
    store.apply(11, [("b", "y", OUT), ("a", "x", OUT)])
    assert len(changes_of(all_lines(box, 3 * HOUR))) == 2


def test_quiet_scopes_are_completed_once_in_a_while():
    store = new_store(index=10, a={"x": (1, UP)}, b={})
    box = Outbox(0, store, {"a": 10, "b": 10}, 8000, BURST)
    all_lines(box)
    store.apply(11, [("b", "y", UP)])
    assert changes_of([box.next(2 * HOUR)]) == [("b", "y", 11)]
    store.apply(12, [("other", "y", UP)])
    assert (
        box.next(2 * HOUR + outbox.ADVANCE_INTERVAL_NS - 1) is not None
    )  # the first update was due long ago
    store.apply(13, [("other", "y", OUT)])
    due = box.wake_at()
    assert box.next(due - 1) is None and due == box.next_advance_at
    assert parse(box.next(due))["complete"] == {"a": 13, "b": 13}
    assert box.wake_at() is None


def test_after_a_gap_every_scope_is_completed_past_it():
    """A record that was put and dropped within the gap may be in force, because another relay sent it ahead
    of `complete`."""
    store = new_store(index=10, a={"x": (1, UP)}, b={})
    box = Outbox(0, store, {"a": 10, "b": 10, "other": 10}, 8000, BURST)
    all_lines(box)
    store.replace("c", 20, {"a": {"x": (1, UP)}})
    assert box.wake_at() < box.next_advance_at
    assert parse(box.next(box.wake_at()))["complete"] == {"a": 20, "b": 20, "other": 20}


def test_empty_store_sends_nothing():
    box = Outbox(0, store := Store(""), {"a": 0}, 8000, BURST)
    assert box.next(HOUR) is None and box.wake_at() is None
    store.replace("c", 1, {"a": {"x": (1, UP)}})
    assert box.wake_at() is not None and changes_of(all_lines(box)) == [("a", "x", 1)]


@PLAY
@given(
    st.integers(1, 40_000),
    st.integers(BURST, 40_000),
    st.lists(st.tuples(st.integers(0, 3 * SECOND), st.integers(0, 3)), min_size=1, max_size=40),
    st.integers(0, 400),
    st.integers(1, 7000),
)
def test_budget_is_never_exceeded(rate, burst, steps, count, size):
    """In each period of time at most a burst plus what the rate allows is sent. Each line is at most a burst
    and 16 KiB long. A line is ready at the time that `wake_at` returns, and none a nanosecond earlier."""
    store = new_store(
        index=10, a={f"k{n}": (1, {"x": "y" * (size if n % 9 == 0 else 20)}) for n in range(count)}
    )
    box, now, sent, index = Outbox(0, store, {"a": 0}, rate, burst), 0, [], 10
    for wait, changed in steps:
        now += wait
        for _ in range(changed):
            index += 1
            store.apply(index, [("a", f"k{index % 7}", {**OUT, "x": "z" * size})])
        while (data := box.next(now)) is not None:
            assert len(data) <= min(burst, MAX_LINE_BYTES) and data.endswith(b"\n") and b"\n" not in data[:-1]
            sent.append((now, len(data)))
        due = box.wake_at()
        if due is not None and box.needed_bytes():
            assert due > now
            assert box.next(due - 1) is None and box.next(due - 1) is None
            now = due
            data = box.next(now)
            assert data is not None
            sent.append((now, len(data)))
    for first in range(len(sent)):
        spent = 0
        for at, length in sent[first:]:
            spent += length
            assert spent * SECOND <= burst * SECOND + (at - sent[first][0]) * rate
    assert box.counts["bytes"] == sum(length for _, length in sent)


def test_drain_waits_only_for_its_own_budget():
    store = new_store(index=10, a={f"k{n}": (1, {"x": "y" * 100}) for n in range(4000)})
    box = Outbox(0, store, {"a": 0}, 1000, BURST)
    now = 0
    for _ in range(30):
        while box.next(now) is not None:
            pass
        now = box.wake_at()
    while box.next(now) is not None:
        pass
    store.apply(11, [("a", "k3999", OUT)])
    assert box.wake_at() - now < SECOND // 4
    assert changes_of([box.next(box.wake_at())]) == [("a", "k3999", 11)]


# ---- acknowledgements


def new_acknowledgements(**scopes):
    acks = Acknowledgements(10 * SECOND, SECOND)
    for gateway, at in scopes.items():
        acks.subscribe(0, gateway, "r" + gateway[-1], {"a": at})
        acks.acknowledge(0, gateway, {})
    return acks


def tick(acks, since, until):
    """Lets time pass while the relay runs."""
    for now in range(since, until, SECOND):
        acks.drop_silent(now)


def test_everywhere_requires_all_subscribers():
    acks = new_acknowledgements(g1=5, g2=5)
    assert acks.in_force(2 * SECOND, "a", 6) == (
        False, [("g1", 2000), ("g2", 2000)], [], 2, {"r1": 1, "r2": 1},
    )  # fmt: skip
    assert acks.acknowledge(2 * SECOND, "g1", {"a": 6})
    assert acks.in_force(2 * SECOND, "a", 6) == (False, [("g2", 2000)], [], 2, {"r2": 1})
    assert acks.acknowledge(3 * SECOND, "g2", {"a": 7})
    assert acks.in_force(3 * SECOND, "a", 6) == (True, [], [], 2, {})
    assert acks.in_force(3 * SECOND, "other", 6) == (True, [], [], 0, {})


def test_silent_subscriber_counts_until_lease_and_grace_end():
    acks = new_acknowledgements(g1=5, g2=5)
    acks.acknowledge(SECOND, "g1", {"a": 6})
    acks.stream_ended(2 * SECOND, "g2")
    tick(acks, 2 * SECOND, 11 * SECOND)
    assert acks.drop_silent(11 * SECOND - 1) == []
    assert acks.in_force(11 * SECOND - 1, "a", 6).behind == [("g2", 10_999)]
    assert acks.in_force(11 * SECOND, "a", 6) == (True, [], [], 1, {})
    assert acks.drop_silent(11 * SECOND) == ["g2"]
    assert not acks.acknowledge(11 * SECOND, "g2", {"a": 6})
    assert acks.drop_silent(12 * SECOND) == ["g1"] and not acks.subscribers and not acks.names_by_scope


def test_new_subscription_counts_with_its_own_acknowledgements():
    acks = new_acknowledgements(g1=5)
    acks.subscribe(0, "g1", "r1", {"a": 5}, "first")
    acks.acknowledge(SECOND, "g1", {"a": 9}, subscription_id="first")
    assert acks.in_force(SECOND, "a", 9).everywhere
    acks.subscribe(2 * SECOND, "g1", "r1", {"a": 0, "b": 1}, "second")
    assert acks.in_force(2 * SECOND, "b", 1).behind == [("g1", 0)]  # its refusals aren't known yet
    acks.acknowledge(2 * SECOND, "g1", {}, subscription_id="second")
    assert not acks.in_force(2 * SECOND, "a", 9).everywhere and acks.in_force(2 * SECOND, "b", 1).everywhere
    assert not acks.acknowledge(
        2 * SECOND, "g1", {"a": 9}, subscription_id="first"
    )  # a late acknowledgement of the earlier subscription
    acks.stream_ended(2 * SECOND, "g1", "first")
    assert acks.acknowledge(2 * SECOND, "g1", {"a": 8}, subscription_id="second")
    assert acks.in_force(2 * SECOND, "a", 9).behind == [("g1", 0)]


def test_dropped_scopes_no_longer_count():
    acks = new_acknowledgements(g1=5)
    acks.subscribe(SECOND, "g1", "r1", {"b": 5})
    acks.acknowledge(SECOND, "g1", {})
    assert acks.in_force(SECOND, "a", 9).counted == 0 and acks.in_force(SECOND, "b", 5).counted == 1
    acks.add_scopes(SECOND, "g1", {"b": 0, "c": 3})
    assert acks.in_force(SECOND, "b", 5).everywhere and acks.in_force(SECOND, "c", 4).behind == [("g1", 0)]
    assert acks.acknowledge(SECOND, "g1", {"c": 4, "other": 4}) and acks.in_force(SECOND, "c", 4).everywhere
    assert acks.in_force(SECOND, "other", 1).counted == 0


def test_refusals_are_listed_and_prevent_everywhere():
    acks = new_acknowledgements(g1=5, g2=5)
    acks.acknowledge(SECOND, "g1", {"a": 8}, [("a", "k", 7, "k.x: 5; expected a text")])
    acks.acknowledge(SECOND, "g2", {"a": 8})
    assert not acks.in_force(SECOND, "a", 6).everywhere  # it isn't known what is in force instead
    assert acks.in_force(SECOND, "a", 7) == (
        False, [], [("g1", "k", "k.x: 5; expected a text")], 2, {"r1": 1},
    )  # fmt: skip
    acks.acknowledge(SECOND, "g1", {"a": 9})
    assert acks.in_force(SECOND, "a", 9).behind == [("g2", 0)] and acks.in_force(SECOND, "a", 8).everywhere


def test_acknowledgement_never_goes_back():
    acks = new_acknowledgements(g1=5)
    acks.acknowledge(SECOND, "g1", {"a": 8})
    acks.acknowledge(SECOND, "g1", {"a": 6})
    assert acks.in_force(SECOND, "a", 8).everywhere


def test_relay_just_started_does_not_report_everywhere():
    acks = Acknowledgements(10 * SECOND, SECOND, started=HOUR)
    acks.subscribe(HOUR, "g1", "r1", {"a": 9})
    acks.acknowledge(HOUR, "g1", {})
    tick(acks, HOUR, HOUR + 11 * SECOND)
    assert not acks.in_force(HOUR + 11 * SECOND - 1, "a", 9).everywhere
    acks.acknowledge(HOUR + 10 * SECOND, "g1", {})
    assert acks.in_force(HOUR + 11 * SECOND, "a", 9).everywhere


def test_time_of_a_stopped_relay_is_not_silence():
    acks = new_acknowledgements(g1=5, g2=5)
    tick(acks, 0, 4 * SECOND)
    assert acks.in_force(HOUR, "a", 6).behind == [("g1", 3000), ("g2", 3000)]
    assert acks.drop_silent(HOUR) == [] and acks.acknowledge(HOUR, "g1", {"a": 6})
    tick(acks, HOUR, HOUR + 8 * SECOND)
    assert acks.in_force(HOUR + 8 * SECOND - 1, "a", 6).behind == [("g2", 10_999)]
    assert acks.in_force(HOUR + 8 * SECOND, "a", 6) == (True, [], [], 1, {})
    acks = Acknowledgements(10 * SECOND, SECOND, started=0)
    assert not acks.knows_all_subscribers(HOUR) and not acks.knows_all_subscribers(HOUR + 4 * SECOND)
    tick(acks, HOUR, HOUR + 11 * SECOND)
    assert acks.knows_all_subscribers(HOUR + 11 * SECOND)


def test_nothing_of_another_cluster_is_in_force():
    acks = new_acknowledgements(g1=5)
    acks.acknowledge(0, "g1", {"a": 500}, [("a", "k", 3, "no")])
    acks.reset_complete()
    assert acks.in_force(0, "a", 1) == (False, [("g1", 0)], [], 1, {"r1": 1})


def test_number_of_subscribers_is_limited(monkeypatch):
    monkeypatch.setattr(acknowledgements, "MAX_SUBSCRIBERS", 2)
    acks = new_acknowledgements(g1=1, g2=1)
    with pytest.raises(Senseless, match="2 subscribed already"):
        acks.subscribe(0, "g3", "r", {})
    acks.subscribe(0, "g2", "r", {"b": 1})
    assert acks.in_force(0, "b", 1).counted == 1 and acks.in_force(0, "b", 1).behind == [("g2", 0)]


STEP = st.tuples(
    st.sampled_from(["subscribed", "heard", "left", "forget"]),
    st.sampled_from(["g1", "g2", "g3"]),
    st.integers(0, 3),  # index
    st.integers(0, 5),  # seconds that pass
    st.booleans(),  # with the current subscription id
)


@PLAY
@given(st.lists(STEP, max_size=40))
def test_everywhere_is_never_reported_while_a_subscriber_is_behind(steps):
    """Compares with a model of each gateway: what the process that now has its name has in force."""
    acks, now, stays = Acknowledgements(5 * SECOND, 2 * SECOND), 0, itertools.count()
    has = {}  # gateway: [index in force, subscription id, last heard, has a stream, acknowledged]
    for kind, gateway, index, wait, known in steps:
        now += wait * SECOND
        if kind == "subscribed":
            stay = str(next(stays))
            has[gateway] = [index, stay, now, True, False]
            acks.subscribe(now, gateway, "r", {"a": index}, stay)
        elif kind == "heard":
            entry = has.get(gateway)
            stay = entry[1] if entry and known else "another"
            counts = entry is not None and known and entry[3] and now - entry[2] < 7 * SECOND
            if counts:
                entry[0], entry[2], entry[4] = max(entry[0], index), now, True
            assert acks.acknowledge(now, gateway, {"a": index}, subscription_id=stay) == counts
        elif kind == "left" and gateway in has:
            acks.stream_ended(now, gateway, has[gateway][1])
            has[gateway][3] = False
        elif kind == "forget":
            gone = {name for name, entry in has.items() if now - entry[2] >= 7 * SECOND}
            assert set(acks.drop_silent(now)) == gone
            has = {name: entry for name, entry in has.items() if name not in gone}
        counted = {name: entry for name, entry in has.items() if now - entry[2] < 7 * SECOND}
        for index in range(5):
            behind = [name for name, entry in sorted(counted.items()) if entry[0] < index or not entry[4]]
            report = acks.in_force(now, "a", index)
            assert [name for name, _ in report.behind] == behind and report.counted == len(counted)
            assert report.everywhere == (not behind)


# ---- the subscriber


def test_change_counts_only_if_newer():
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    assert gateway.receive_line(now, line(changes=[["a", "k", 5, UP]])) == [("a", "k", UP)]
    for index, record in ((5, OUT), (4, OUT), (4, None)):
        assert gateway.receive_line(now, line(changes=[["a", "k", index, record]])) == []
    assert gateway.receive_line(now, line(changes=[["a", "k", 6, OUT]])) == [("a", "k", OUT)]
    assert gateway.receive_line(now, line(changes=[["a", "k", 8, None]])) == [("a", "k", None)]
    gateway.receive_line(now, line(complete={"a": 6}))  # not complete past the removal yet
    assert gateway.receive_line(now, line(changes=[["a", "k", 7, UP]])) == [] and gateway.records["a"] == {}
    assert gateway.receive_line(now, line(complete={"a": 9})) == [] and gateway.dropped_at["a"] == {}
    assert gateway.receive_line(now, line(changes=[["a", "k", 7, UP], ["a", "j", 9, UP]])) == []
    assert gateway.receive_line(now, line(changes=[["a", "k", 10, UP]])) == [("a", "k", UP)]
    assert gateway.receive_line(now, line(complete={"a": 8})) == [] and gateway.complete["a"] == 9


def test_snapshot_drops_missing_keys_once_whole():
    gateway, now = open_stream("a", "b")
    name_cluster(gateway, now)
    gateway.receive_line(
        now, line(changes=[["a", key, 5, UP] for key in "xyz"] + [["b", "x", 5, UP]], complete={"a": 5})
    )
    assert gateway.receive_line(now, line(snapshot="a")) == []
    assert gateway.receive_line(now, line(changes=[["a", "x", 5, UP], ["a", "new", 7, UP]])) == [
        ("a", "new", UP)
    ]
    gateway.receive_line(now, line(changes=[["a", "z", 12, OUT]]))  # newer than the snapshot
    assert gateway.receive_line(now, line(complete={"a": 10})) == [("a", "y", None)]
    assert set(gateway.records["a"]) == {"x", "new", "z"} and set(gateway.records["b"]) == {"x"}
    assert gateway.receive_line(now, line(complete={"a": 11})) == []


def test_interrupted_snapshot_drops_nothing():
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", key, 5, UP] for key in "xyz"], complete={"a": 5}))
    gateway.receive_line(now, line(snapshot="a"))
    gateway.receive_line(now, line(changes=[["a", "new", 7, UP]]))
    gateway.stream_ended(now, "cut")
    assert set(gateway.records["a"]) == {"x", "y", "z", "new"} and gateway.complete == {"a": 5}
    asked = gateway.next(gateway.wake_at())
    assert request_body(asked)["scopes"] == {"a": 5} and request_body(asked)["cluster"] == "c"
    name_cluster(gateway, now)
    assert gateway.receive_line(now, line(complete={"a": 8})) == [
        ("a", "new", None)
    ]  # put and dropped in a gap


def test_records_sent_ahead_and_again_stay():
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "x", 7, OUT], ["a", "y", 8, OUT]]))
    gateway.stream_ended(now, "cut")
    gateway.next(gateway.wake_at())
    name_cluster(gateway, now)
    assert gateway.receive_line(now, line(changes=[["a", "x", 7, OUT]], complete={"a": 7})) == []
    assert set(gateway.records["a"]) == {"x", "y"}
    assert gateway.receive_line(now, line(complete={"a": 9})) == [("a", "y", None)] and set(
        gateway.records["a"]
    ) == {"x"}


def test_snapshot_of_an_older_relay_takes_nothing_back():
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    sent = [["a", "x", 5, UP], ["a", "w", 6, UP], ["a", "y", 20, UP]]
    gateway.receive_line(now, line(changes=sent, complete={"a": 20}))
    gateway.stream_ended(now, "cut")
    gateway.next(gateway.wake_at())
    name_cluster(gateway, now)
    gateway.receive_line(now, line(snapshot="a"))
    assert (
        gateway.receive_line(now, line(changes=[["a", "x", 3, OUT], ["a", "z", 4, UP]], complete={"a": 10}))
        == []
    )
    assert gateway.records["a"] == {"x": (5, UP), "w": (6, UP), "y": (20, UP)} and gateway.complete == {
        "a": 20
    }


def test_state_of_another_cluster_replaces_scope_by_scope():
    gateway, now = open_stream("a", "b", relays=RELAYS[:1])
    name_cluster(gateway, now)
    both = [["a", "x", 50, UP], ["a", "y", 51, UP], ["b", "x", 52, UP]]
    gateway.receive_line(now, line(changes=both, complete={"a": 60, "b": 60}))
    gateway.receive_line(now, line(changes=[["b", "x", 61, {"state": 7}]], complete={"b": 61}))
    gateway.refuse("b", "x", 61, "no")
    gateway.stream_ended(now, "cut")
    gateway.next(gateway.wake_at())
    name_cluster(gateway, now, "d", 3)
    gateway.receive_line(now, line(snapshot="a"))
    gateway.receive_line(now, line(snapshot="b"))
    assert (
        gateway.receive_line(now, line(changes=[["a", "x", 1, OUT], ["a", "z", 2, UP], ["b", "x", 1, OUT]]))
        == []
    )
    assert request_body(gateway.next(now + 5 * SECOND)) | {"stay": ""} == {
        "gateway": "g1", "cluster": "d", "complete": {}, "refused": [], "stay": "",
    }  # fmt: skip
    assert sorted(gateway.receive_line(now, line(complete={"a": 3})), key=str) == [
        ("a", "x", OUT), ("a", "y", None), ("a", "z", UP),
    ]  # fmt: skip
    assert gateway.records["b"] == {"x": (52, UP)} and gateway.complete == {"a": 3, "b": 0}
    assert request_body(gateway.next(now + 9 * SECOND))["complete"] == {"a": 3}
    gateway.stream_ended(now, "cut")
    asked = request_body(gateway.next(gateway.wake_at()))
    assert asked["cluster"] == "d" and asked["scopes"] == {"a": 3, "b": 0}
    with pytest.raises(Unreadable, match="cluster c was left for d"):
        name_cluster(gateway, now)
    name_cluster(gateway, now, "d", 4)
    with pytest.raises(Unreadable, match="was not sent"):
        gateway.receive_line(now, line(complete={"b": 4}))
    assert gateway.receive_line(now, line(changes=[["b", "x", 4, OUT]])) == []
    gateway.receive_line(now, line(snapshot="b"))
    assert gateway.receive_line(now, line(changes=[["b", "x", 4, OUT]], complete={"b": 4})) == [
        ("b", "x", OUT)
    ]
    assert gateway.receive_line(now, line(changes=[["b", "x", 5, UP]])) == [("b", "x", UP)]


def test_stray_relay_of_another_cluster_is_refused():
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "x", 5, UP]], complete={"a": 5}))
    for _ in range(3):
        gateway.stream_ended(now, "lost")
        now = gateway.wake_at()
        gateway.next(now)
        assert gateway.relay[0] == "far"
        before = state_of(gateway)
        with pytest.raises(Unreadable, match="cluster d, not c; others are asked first"):
            name_cluster(gateway, now, "d", 3)
        assert state_of(gateway) == before
        gateway.stream_ended(now, "unreadable")
        now = gateway.wake_at()
        gateway.next(now)
        assert gateway.relay[0] == "near"
        name_cluster(gateway, now)
    for _ in range(2):  # no relay has its own cluster any more
        gateway.stream_ended(now, "no connection")
        now = gateway.wake_at()
        gateway.next(now)
    name_cluster(gateway, now, "d", 3)
    gateway.receive_line(now, line(snapshot="a"))
    assert gateway.receive_line(now, line(changes=[["a", "x", 2, OUT]], complete={"a": 3})) == [
        ("a", "x", OUT)
    ]


def test_other_cluster_interrupted_before_it_is_whole_is_ignored():
    gateway, now = open_stream("a", relays=RELAYS[:1])
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "x", 5, UP]], complete={"a": 5}))
    gateway.stream_ended(now, "cut")
    gateway.next(gateway.wake_at())
    name_cluster(gateway, now, "d", 3)
    gateway.receive_line(now, line(snapshot="a"))
    gateway.receive_line(now, line(changes=[["a", "x", 2, OUT]]))
    gateway.stream_ended(now, "cut")
    assert request_body(gateway.next(gateway.wake_at()))["scopes"] == {"a": 5}
    name_cluster(gateway, now)
    assert gateway.receive_line(now, line(changes=[["a", "x", 6, OUT]])) == [("a", "x", OUT)]


def test_equal_record_of_a_new_cluster_is_not_put_in_force_again():
    gateway, now = open_stream("a", relays=RELAYS[:1])
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "x", 5, UP], ["a", "y", 5, UP]], complete={"a": 5}))
    gateway.stream_ended(now, "cut")
    gateway.next(gateway.wake_at())
    name_cluster(gateway, now, "d", 3)
    gateway.receive_line(now, line(snapshot="a"))
    sent = line(changes=[["a", "x", 2, UP], ["a", "y", 1, OUT]], complete={"a": 3})
    assert gateway.receive_line(now, sent) == [("a", "y", OUT)]
    assert gateway.records["a"] == {"x": (2, UP), "y": (1, OUT)}


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense",
        b"{}",
        b"[]",
        b"null",
        b"[" * 10_000,
        b'{"changes":[["a","k",5,{}]]',
        b'{"changes":[["a","k",5,{}]],"more":1}',
        b'{"changes":[["a","k",5]]}',
        b'{"changes":[["a","k",5,"text"]]}',
        b'{"changes":[["a","k",0,{}]]}',
        b'{"changes":[["a","k",-5,{}]]}',
        b'{"changes":[["a","k",5.5,{}]]}',
        b'{"changes":[["a","k",true,{}]]}',
        b'{"changes":[["a","k",99999999999999999999,{}]]}',
        b'{"changes":[["a","",5,{}]]}',
        b'{"changes":[["a","k k",5,{}]]}',
        b'{"changes":[["a","j",6,{}],["other","k",5,{}]]}',
        b'{"changes":[["a","j",6,{}],["a","j",7,{}]]}',
        b'{"changes":[["a","j",6,{}]],"complete":{"other":7}}',
        b'{"changes":[["a","j",6,{}]],"complete":{"a":-1}}',
        b'{"changes":[["a","j",6,{}]],"complete":{"a":"7"}}',
        b'{"changes":[["a","j",6,{}]],"snapshot":"a"}',
        b'{"changes":[["a","j",6,{}]],"cluster":"c","at":7}',
        b'{"changes":[["a","j",6,{}]],"at":7}',
        b'{"changes":[["a","j",6,{}]],"n":1}',
        b'{"changes":[["a","j",6,{}]],"n":4}',
        b'{"changes":[["a","j",6,{}]],"check":"00000000"}',
        b'{"changes":[["a","j",6,{}]],"check":""}',
        b'{"changes":[["a","j",6,{"x":"\xff"}]]}',
        b'{"changes":[["a","j",6,{"x":%b%b}]]}' % (b"[" * 5000, b"]" * 5000),
        b'{"snapshot":"other"}',
        b'{"snapshot":5}',
        b'{"cluster":"","at":7}',
        b'{"cluster":"c"}',
        b'{"at":7}',
        b'{"changes":[["a","j",6,{"x":"%b"}]]}' % (b"y" * MAX_LINE_BYTES),
    ],
)
def test_unreadable_line_changes_nothing(data):
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "k", 4, UP]], complete={"a": 4}))
    before, heard = state_of(gateway), gateway.last_line_at
    with pytest.raises(Unreadable) as error:
        gateway.receive_line(now + SECOND, data)
    assert error.value.do and 0 < len(str(error.value)) < 400
    assert (
        state_of(gateway) == before
        and gateway.last_line_at == heard
        and gateway.silent_ns(now + SECOND) == SECOND
    )
    assert gateway.receive_line(now, line(changes=[["a", "k", 5, OUT]], n=3)) == [("a", "k", OUT)]


def state_of(gateway):
    """Returns everything that an ignored line may not change."""
    sent = {scope: (sorted(gateway.keys), gateway.staged) for scope, gateway in gateway.snapshots.items()}
    tables = (
        gateway.records,
        gateway.dropped_at,
        gateway.ahead,
        gateway.complete,
        gateway.refused,
        gateway.cluster,
        gateway.stream_cluster,
        gateway.line_count,
    )
    return repr(
        (
            tables,
            sent,
            sorted(gateway.foreign_scopes),
            sorted(gateway.to_acknowledge),
            list(gateway.left_clusters),
        )
    )


def test_nothing_counts_before_the_cluster_is_named():
    gateway, now = open_stream("a")
    for data in (line(changes=[["a", "k", 4, UP]]), line(complete={"a": 1}), line(snapshot="a")):
        with pytest.raises(Unreadable, match="before the one that names"):
            gateway.receive_line(now, data)
    gateway.stream_ended(now, "unreadable")
    with pytest.raises(Unreadable, match="there is no stream"):
        name_cluster(gateway, now)


def test_empty_line_is_a_sign_of_life():
    gateway, now = open_stream("a")
    assert gateway.receive_line(now + SECOND, b"\n") == gateway.receive_line(now + SECOND, b"") == []
    assert gateway.silent_ns(now + 3 * SECOND) == 2 * SECOND


def sent_lines():
    """Returns lines that an outbox made, from first to last."""
    store = new_store(index=10, a={f"k{n}": (1, {**UP, "at": f"10.0.0.{n}"}) for n in range(30)}, b={})
    box = Outbox(0, store, {"a": 0, "b": 0}, 8000, BURST)
    found = all_lines(box)
    store.apply(11, [("a", "k3", OUT), ("b", "k", {"text": '\u00e4\n\\"'})])
    return found + all_lines(box, 2 * HOUR)


LINES = sent_lines()


@PLAY
@given(st.integers(0, len(LINES) - 1), st.data())
def test_garbled_line_is_unreadable(place, data):
    """A line may be cut short, have flipped or added bytes, or come twice or out of order."""
    gateway, now = open_stream("a", "b")
    for good in LINES[:place]:
        gateway.receive_line(now, good)
    before, whole = state_of(gateway), LINES[place]
    how = data.draw(st.sampled_from(["cut", "flip", "flips", "more", "twice", "skip"]))
    if how == "cut":
        bad = whole[: data.draw(st.integers(1, len(whole) - 2))]
    elif how == "flip":
        at = data.draw(st.integers(0, len(whole) - 2))
        bad = whole[:at] + bytes([whole[at] ^ 1 << data.draw(st.integers(0, 7))]) + whole[at + 1 :]
    elif how == "flips":
        bad = bytearray(whole)
        places, bits = st.integers(0, len(whole) - 2), st.integers(1, 255)
        for at, flipped in data.draw(st.dictionaries(places, bits, min_size=2, max_size=9)).items():
            bad[at] ^= flipped
        bad = bytes(bad)
    elif how == "more":
        at = data.draw(st.integers(0, len(whole) - 2))
        bad = whole[:at] + data.draw(st.binary(min_size=1, max_size=9)) + whole[at:]
    elif how == "twice":
        bad = LINES[data.draw(st.integers(0, max(place - 1, 0)))] if place else LINES[1]
    else:
        bad = LINES[place + 1] if place + 1 < len(LINES) else LINES[0]
    if bad.strip() != whole.strip() and bad.strip():
        with pytest.raises(Unreadable):
            gateway.receive_line(now, bad)
    assert state_of(gateway) == before
    for good in LINES[place:]:
        gateway.receive_line(now, good)
    assert (
        len(gateway.records["a"]) == 30
        and gateway.records["a"]["k3"] == (11, OUT)
        and gateway.complete["a"] == 11
    )


FIELDS = st.sampled_from(["changes", "complete", "snapshot", "cluster", "at", "n", "check", "a"])
PLAIN = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5)
ANYTHING = st.recursive(
    PLAIN | FIELDS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(FIELDS, inner, max_size=4),
    max_leaves=12,
)


@PLAY
@given(st.binary(max_size=300) | ANYTHING.map(lambda value: json.dumps(value).encode()))
def test_any_bytes_are_a_line_or_unreadable(data):
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    before = state_of(gateway)
    try:
        gateway.receive_line(now, data)
    except Unreadable:
        assert state_of(gateway) == before


def test_refused_record_keeps_the_previous_and_is_reported():
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "k", 5, UP]], complete={"a": 5}))
    bad = {"state": 7}
    assert gateway.receive_line(
        now, line(changes=[["a", "k", 8, bad], ["a", "new", 8, bad]], complete={"a": 8})
    )
    gateway.refuse("a", "k", 7, "of another index")
    assert gateway.records["a"]["k"] == (8, bad)
    gateway.refuse("a", "k", 8, "state: 7; expected a text")
    gateway.refuse("a", "new", 8, "x" * 1000)
    assert gateway.records["a"] == {"k": (5, UP)}
    sent = request_body(gateway.next(now + SECOND))
    assert sent["complete"] == {"a": 8}
    assert sent["refused"] == [["a", "k", 8, "state: 7; expected a text"], ["a", "new", 8, "x" * 300]]
    gateway.receive_line(now, line(complete={"a": 8}))
    assert (
        gateway.receive_line(now, line(changes=[["a", "k", 8, bad], ["a", "new", 8, bad]])) == []
    )  # sent again
    assert gateway.receive_line(now, line(changes=[["a", "k", 7, OUT]])) == []
    gateway.stream_ended(now, "cut")
    now = gateway.wake_at()
    gateway.next(now)
    name_cluster(gateway, now)
    assert len(request_body(gateway.next(now))["refused"]) == 2  # the next relay gets them at once, too
    assert gateway.receive_line(now, line(changes=[["a", "k", 9, OUT]], complete={"a": 9})) == [
        ("a", "k", OUT)
    ]
    gateway.receive_line(now, line(snapshot="a"))
    gateway.receive_line(now, line(changes=[["a", "k", 9, OUT]], complete={"a": 10}))
    assert request_body(gateway.next(gateway.wake_at()))["refused"] == [] and gateway.dropped_at["a"] == {}


def test_record_that_cannot_be_dropped_stays_and_is_reported():
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "k", 5, UP], ["a", "j", 5, UP]], complete={"a": 5}))
    gateway.receive_line(now, line(changes=[["a", "k", 8, None]], complete={"a": 8}))
    gateway.refuse("a", "k", 8, "fault")
    gateway.refuse("a", "j", 5, "not of this line")
    gateway.refuse("a", "other", 8, "never told")
    assert gateway.records["a"] == {"k": (5, UP), "j": (5, UP)}
    assert request_body(gateway.next(now + SECOND))["refused"] == [["a", "k", 8, "fault"]]
    assert gateway.receive_line(now, line(changes=[["a", "k", 7, OUT], ["a", "k2", 7, UP]])) == []
    assert gateway.receive_line(now, line(changes=[["a", "k", 9, None]])) == [("a", "k", None)]
    assert request_body(gateway.next(now + 2 * SECOND))["refused"] == []


def test_unlisted_refusals_limit_complete(monkeypatch):
    monkeypatch.setattr(subscriber, "MAX_REFUSED", 2)
    gateway, now = open_stream("a", "b")
    name_cluster(gateway, now)
    sent = [[scope, f"k{n}", 5 + n, {}] for n in range(3) for scope in "ab"]
    gateway.receive_line(now, line(changes=sent, complete={"a": 9, "b": 9}))
    for key in ("k0", "k1", "k2"):
        gateway.refuse("a", key, 5 + int(key[1]), "no")
    sent = request_body(gateway.next(now + SECOND))
    assert [key for _, key, _, _ in sent["refused"]] == ["k0", "k1"] and sent["complete"] == {"a": 6, "b": 9}


def test_refusal_after_a_cluster_change_uses_the_new_indexes():
    gateway, now = open_stream("a", relays=RELAYS[:1])
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "k", 500, UP]], complete={"a": 500}))
    gateway.stream_ended(now, "cut")
    gateway.next(gateway.wake_at())
    name_cluster(gateway, now, "d", 3)
    gateway.receive_line(now, line(snapshot="a"))
    gateway.receive_line(now, line(changes=[["a", "k", 2, {"state": 7}]], complete={"a": 3}))
    gateway.refuse("a", "k", 2, "no")
    assert gateway.records["a"]["k"][1] == UP
    assert gateway.receive_line(now, line(changes=[["a", "k", 4, OUT]])) == [("a", "k", OUT)]


def test_acknowledges_at_most_once_a_second():
    gateway, now = open_stream("a", "b")
    assert gateway.next(now + HOUR) is None  # nothing was received yet
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "k", 5, UP]], complete={"a": 5}))
    first = gateway.next(now)
    assert type(first) is Acknowledge and request_body(first)["complete"] == {"a": 5}
    gateway.acknowledgement_ended(now, True)
    for index in range(6, 20):
        gateway.receive_line(now, line(complete={"a": index, "b": index}))
        assert gateway.next(now + SECOND - 1) is None
    assert gateway.wake_at() == now + SECOND
    assert request_body(gateway.next(now + SECOND))["complete"] == {"a": 19, "b": 19}
    assert gateway.next(now + SECOND) is None
    gateway.acknowledgement_ended(now + SECOND, False)  # it failed
    assert request_body(gateway.next(now + 2 * SECOND))["complete"] == {"a": 19, "b": 19}
    gateway.acknowledgement_ended(now + 2 * SECOND, True)
    gateway.receive_line(now, line(complete={"a": 19}))  # nothing new
    assert gateway.wake_at() == now + 5 * SECOND and gateway.next(now + 5 * SECOND - 1) is None
    assert request_body(gateway.next(now + 5 * SECOND))["complete"] == {}  # a heartbeat


def test_cut_off_gateway_keeps_its_state():
    gateway, now = open_stream("a")
    name_cluster(gateway, now)
    gateway.receive_line(now, line(changes=[["a", "k", 5, UP]], complete={"a": 5}))
    heard = now
    for _ in range(50):
        gateway.stream_ended(now, "no connection")
        now = gateway.wake_at()
        assert type(gateway.next(now)) is Subscribe
    assert gateway.records["a"] == {"k": (5, UP)} and gateway.complete == {"a": 5}
    assert gateway.silent_ns(now) == now - heard > 50 * SECOND


SEVERAL = [(f"n{n}", "r1", f"127.0.0.1:{n}") for n in (1, 2)] + [
    (f"f{n}", "r2", f"127.0.0.1:{n}") for n in range(3, 7)
]


def test_relays_of_own_region_are_tried_first_once_a_round():
    firsts = set()
    for seed in range(200):
        gateway, now = open_stream("a", seed=seed, relays=SEVERAL)
        tried = [gateway.relay[0]]
        for _ in range(11):
            gateway.stream_ended(now, "no")
            now = gateway.wake_at()
            assert type(gateway.next(now)) is Subscribe
            tried.append(gateway.relay[0])
        for start in (0, 6):
            assert set(tried[start : start + 2]) == {"n1", "n2"} and len(set(tried[start : start + 6])) == 6
        firsts.add((tried[0], tried[2]))
    assert len(firsts) == 8  # all relays are chosen


def test_reconnections_are_spread():
    gateways = [Subscriber(f"g{n}", "r1", ["a"], SEVERAL, n) for n in range(1000)]
    for gateway in gateways:
        assert gateway.next(0) is None
    assert (
        most_reconnections_at_once(gateways) < 200
        and max(gateway.wake_at() for gateway in gateways) <= subscriber.MAX_START_WAIT_NS
    )
    for gateway in gateways:
        gateway.next(gateway.wake_at())
        name_cluster(gateway, SECOND)
        gateway.stream_ended(HOUR, "lost")
    assert most_reconnections_at_once(gateways) < 200
    for _ in range(2 * len(SEVERAL)):  # two rounds
        most = max(gateway.wake_at() for gateway in gateways)
        for gateway in gateways:
            gateway.next(most)
            gateway.stream_ended(most, "lost")
        assert most_reconnections_at_once(gateways) < 200
    assert most_reconnections_at_once(gateways) < 60


def most_reconnections_at_once(gateways):
    """Returns the largest number of gateways that reconnect within a tenth of a second."""
    slots = {}
    for gateway in gateways:
        slots[gateway.wake_at() // (100 * MS)] = slots.get(gateway.wake_at() // (100 * MS), 0) + 1
    return max(slots.values())


def test_waits_are_bounded_and_reset_after_a_steady_stream():
    gateway, now = open_stream("a")
    waits = []
    for _ in range(200):
        gateway.stream_ended(now, "no")
        waits.append(gateway.wake_at() - now)
        assert gateway.next(gateway.wake_at() - 1) is None
        now = gateway.wake_at()
        gateway.next(now)
    assert max(waits[0::2]) <= subscriber.MIN_BACKOFF_NS  # within a round of two relays
    assert waits[1] <= subscriber.MIN_BACKOFF_NS and min(waits) >= subscriber.MIN_BACKOFF_NS // 10
    assert subscriber.MAX_BACKOFF_NS // 2 < max(waits) <= subscriber.MAX_BACKOFF_NS
    name_cluster(gateway, now)
    gateway.stream_ended(now + subscriber.STEADY_STREAM_NS - 1, "short")
    assert gateway.max_wait == subscriber.MAX_BACKOFF_NS
    now = gateway.wake_at()
    gateway.next(now)
    name_cluster(gateway, now)
    gateway.stream_ended(now + subscriber.STEADY_STREAM_NS, "lost")
    assert gateway.wake_at() - now - subscriber.STEADY_STREAM_NS <= subscriber.MIN_BACKOFF_NS
    gateway.stream_ended(now + HOUR, "once more")  # there is no stream
    assert gateway.wake_at() < now + HOUR
    gateway.next(gateway.wake_at())
    assert gateway.relay[1] == "r1"


def test_relay_that_drops_each_stream_is_not_retried_forever():
    gateway, now = open_stream("a")
    assert gateway.relay[0] == "near"
    name_cluster(gateway, now)
    gateway.receive_line(now, line(complete={"a": 5}))
    gateway.stream_ended(now + SECOND, "dropped")
    gateway.next(gateway.wake_at())
    assert gateway.relay[0] == "far"


def test_retries_of_the_own_region_get_rarer():
    gateway, now = open_stream("a")
    gateway.stream_ended(now, "no")
    now = gateway.wake_at()
    gateway.next(now)
    waits = []
    for _ in range(8):
        assert gateway.relay[0] == "far"
        name_cluster(gateway, now)
        while type(gateway.next(at := gateway.wake_at())) is Acknowledge:
            pass
        waits.append(at - now)
        now = at
        assert gateway.relay[0] == "near"
        gateway.stream_ended(now, "still gone")
        now = gateway.wake_at()
        gateway.next(now)
    for place, wait in enumerate(waits):
        most = min(subscriber.MIN_REGION_RETRY_NS << place, subscriber.MAX_REGION_RETRY_NS)
        assert most // 2 <= wait <= most
    gateway.next(gateway.region_retry_at)
    name_cluster(gateway, now)
    gateway.stream_ended(now + subscriber.STEADY_STREAM_NS, "lost")
    assert gateway.region_retry_interval == subscriber.MIN_REGION_RETRY_NS
    gateway.next(gateway.wake_at())
    gateway.receive_line(now, line(cluster="c", at=10))
    assert gateway.relay[0] == "near" and gateway.region_retry_at == subscriber.NEVER


def test_changed_scopes_cost_only_what_they_add():
    gateway, now = open_stream("a", "b")
    name_cluster(gateway, now)
    sent = [["a", "k", 5, UP], ["b", "k", 5, UP], ["b", "j", 5, UP]]
    gateway.receive_line(now, line(changes=sent, complete={"a": 5, "b": 5}))
    gateway.refuse("b", "j", 5, "no")
    with pytest.raises(Unusable):
        gateway.change_scopes(now, ["a b"])
    relay = gateway.relay
    assert gateway.change_scopes(now, ["c", "a"]) == [("b", "k", None)]
    asked = gateway.next(now)
    assert gateway.relay == relay and request_body(asked)["scopes"] == {"a": 5, "c": 0}
    name_cluster(gateway, now)
    with pytest.raises(Unreadable, match="scope 'b' was not asked for"):
        gateway.receive_line(now, line(changes=[["b", "k", 6, UP]]))
    assert gateway.receive_line(now, line(changes=[["c", "k", 6, UP]], complete={"c": 6}))
    assert request_body(gateway.next(now + SECOND))["refused"] == []
    assert (
        gateway.records.keys()
        == gateway.dropped_at.keys()
        == gateway.ahead.keys()
        == gateway.complete.keys()
        == {"a", "c"}
    )


# ---- from the ledger to a gateway, in any order


class Path:
    """A ledger, two relays that follow it at their own pace, one gateway, and a checker that knows only what
    was committed and what the gateway was told to put in force. `pad` is the number of bytes added to each
    record."""

    def __init__(self, kept, pad):
        self.kept, self.pad, self.now = kept, "x" * pad, 0
        self.cluster = "c"
        self.entries = {"c": [], "d": []}  # by cluster: [(scope, key, record)] of each entry
        self.history = {"c": {}, "d": {}}  # (scope, key): [(index, record)]
        self.relays = {relay[2]: Store("", kept) for relay in RELAYS}
        self.gateway = Subscriber("g1", "r1", NAMES, RELAYS, 1)
        self.box = self.address = None
        self.sent, self.base = {}, {}  # on this stream: index by (scope, key); index by scope at its start
        self.in_force, self.least_index = {}, {}  # by (scope, key): record; the lowest index that it may have
        self.tried_relays = set()  # since a relay last named the gateway's cluster
        self.cluster_of = dict.fromkeys(NAMES, "")  # cluster of the state in force, by scope

    # events

    def change(self, changes):
        index, entry = len(self.entries[self.cluster]) + 1, {}
        for scope, key, record in changes:
            stamp = {"stamp": f"{self.cluster}{index}", "pad": self.pad}
            entry[scope, key] = None if record is None else {**record, **stamp}
        for at, record in entry.items():
            self.history[self.cluster].setdefault(at, [(0, None)]).append((index, record))
        self.entries[self.cluster].append([(*at, record) for at, record in entry.items()])

    def form_new_cluster(self):
        """Forms the ledger again as a new cluster. Relays that receive nothing still serve the old one."""
        self.cluster = "d"

    def follow(self, address, count):
        store = self.relays[address]
        if not store.index:
            return self.replace(address, 0)
        entries = self.entries[store.cluster]
        for index in range(store.index + 1, min(store.index + count, len(entries)) + 1):
            store.apply(index, entries[index - 1])

    def replace(self, address, back):
        """Gives a relay the whole state as of some entry, from a member that may lag."""
        store, index, scopes = self.relays[address], len(self.entries[self.cluster]) - back, {}
        for (scope, key), history in self.history[self.cluster].items():
            at, record = [version for version in history if version[0] <= max(index, 0)][-1]
            if record is not None:
                scopes.setdefault(scope, {})[key] = at, record
        if index > (store.index if store.cluster == self.cluster else 0):
            store.replace(self.cluster, index, scopes)

    def restart(self, address, back):
        self.relays[address] = Store("", self.kept)
        if self.address == address:
            self.cut()
        self.replace(address, back)

    def cut(self):
        self.gateway.stream_ended(self.now, "cut")
        self.box = self.address = None

    def rescope(self, scopes):
        gone = {at for at, record in self.in_force.items() if record and at[0] not in scopes}
        found = self.gateway.change_scopes(self.now, scopes)
        assert len(found) == len(gone) and {(scope, key) for scope, key, _ in found} == gone
        self.in_force = {at: record for at, record in self.in_force.items() if at[0] in scopes}
        self.least_index = {at: index for at, index in self.least_index.items() if at[1] in scopes}
        self.cluster_of |= dict.fromkeys(set(NAMES) - set(scopes), "")
        self.box = self.address = None

    def connect(self):
        if self.box is not None:
            return
        while (asked := self.gateway.next(self.now)) is None:
            self.now = max(self.now, self.gateway.wake_at())
        asked = records.parse_body(asked.body, Subscription)
        self.address = self.gateway.relay[2]
        self.tried_relays.add(self.address)
        store = self.relays[self.address]
        if not store.index:
            return self.cut()
        self.box = Outbox(self.now, store, asked.scopes, 8000, BURST, asked.cluster)
        self.sent = {}
        self.base = asked.scopes if asked.cluster == store.cluster else dict.fromkeys(asked.scopes, 0)

    def garble(self, place, bits):
        """Garbles a line on its way."""
        data = self.box.next(self.now) if self.box is not None else None
        if data is not None:
            place %= len(data) - 1
            bad = data[:place] + bytes([data[place] ^ bits]) + data[place + 1 :]
            before = state_of(self.gateway)
            with pytest.raises(Unreadable):
                self.gateway.receive_line(self.now, bad)
            assert state_of(self.gateway) == before
            self.cut()

    def send(self, count, wait):
        self.now += wait
        for _ in range(count):
            data = self.box.next(self.now) if self.box is not None else None
            if data is None:
                return False
            if not self.take_line(data):
                self.cut()
        return True

    def take_line(self, data):
        """Returns False when the gateway ends the stream, because it refuses that cluster."""
        line = parse(data)
        if "cluster" in line:
            if line["cluster"] != self.gateway.cluster and "n" in line and line["n"] > 1:
                self.base = dict.fromkeys(self.base, 0)
            if self.gateway_refuses_cluster(line["cluster"]):
                with pytest.raises(Unreadable, match="was left for|others are asked first"):
                    self.gateway.receive_line(self.now, data)
                return False
            if self.gateway.cluster in ("", line["cluster"]):
                self.tried_relays = set()
            self.sent = {}
        self.sent |= {(scope, key): index for scope, key, index, _ in line.get("changes", ())}
        if any(urgency(record) != DRAIN for _, _, _, record in line.get("changes", ())):
            self.no_drain_waits()
        self.base |= line.get("complete", {})
        for scope, key, record in self.gateway.receive_line(self.now, data):
            self.in_force[scope, key] = record
        self.check()
        return True

    def gateway_refuses_cluster(self, cluster):
        """Returns whether the gateway refuses a cluster: one that it left, or another one than its own before
        all relays were tried."""
        left = cluster == "c" and "d" in self.cluster_of.values()
        return left or self.gateway.cluster not in ("", cluster) and len(self.tried_relays) < len(RELAYS)

    # checks

    def no_drain_waits(self):
        """Every drain and removal in the store was sent before, or is in this line, which has other changes
        too."""
        store = self.relays[self.address]
        for scope, base in self.base.items():
            if base <= store.index:
                history = store.snapshot(scope)
                history += [
                    version for version in store.changes_since(scope, base) or () if version[2] is None
                ]
                for key, index, record in history:
                    known = max(base, self.sent.get((scope, key), 0))
                    assert urgency(record) != DRAIN or known >= index, (scope, key, index)

    def check(self):
        """Checks that everything in force was committed, that nothing went back, and that each scope is at
        least as new as its `complete`."""
        for scope in self.gateway.records:
            cluster_of = "c" if scope in self.gateway.foreign_scopes else self.gateway.cluster
            assert cluster_of >= self.cluster_of[scope]
            self.cluster_of[scope] = cluster_of
            complete = 0 if scope in self.gateway.foreign_scopes else self.gateway.complete[scope]
            history = {
                key: history for (at, key), history in self.history.get(cluster_of, {}).items() if at == scope
            }
            in_force = {key: record for (at, key), record in self.in_force.items() if at == scope and record}
            assert in_force == {key: record for key, (_, record) in self.gateway.records[scope].items()}
            assert in_force.keys() <= history.keys()
            for key, versions in history.items():
                least = max(self.least_index.get((cluster_of, scope, key), 0), complete)
                spans = zip(versions, [*(index for index, _ in versions[1:]), 1 << 62], strict=True)
                fits = [
                    max(index, least) for (index, record), end in spans
                    if record == in_force.get(key) and end > least
                ]  # fmt: skip
                assert fits, (scope, key, in_force.get(key), least, versions)
                self.least_index[cluster_of, scope, key] = fits[0]

    def settle(self):
        """Checks that in the end all relays and the gateway have the whole state."""
        for address in self.relays:
            if self.relays[address].cluster == self.cluster:
                self.follow(address, len(self.entries[self.cluster]))
            else:
                self.replace(address, 0)
        self.rescope(NAMES)
        for _ in range(10_000):
            self.connect()
            self.now += 40 * SECOND
            if not self.send(1, 0) and self.box is not None:
                break
        newest = {at: history[-1][1] for at, history in self.history[self.cluster].items() if history[-1][1]}
        assert {at: record for at, record in self.in_force.items() if record} == newest
        assert set(self.gateway.complete.values()) == {len(self.entries[self.cluster])}
        assert (
            self.gateway.cluster == self.cluster
            and not self.gateway.foreign_scopes
            and not self.gateway.refused
        )
        assert not any(self.gateway.dropped_at.values()) and not any(self.gateway.ahead.values())
        assert all(not position.ahead for position in self.box.positions.values())


ADDRESS = st.sampled_from([relay[2] for relay in RELAYS])
HAPPENS = st.one_of(
    st.tuples(st.just("change"), st.lists(CHANGE, min_size=1, max_size=5)),
    st.tuples(st.just("change"), st.lists(CHANGE, min_size=1, max_size=5)),
    st.tuples(st.just("follow"), ADDRESS, st.integers(1, 9)),
    st.tuples(st.just("replace"), ADDRESS, st.integers(0, 2)),
    st.tuples(st.just("restart"), ADDRESS, st.integers(0, 6)),
    st.tuples(st.just("connect")),
    st.tuples(st.just("send"), st.integers(1, 6), st.integers(0, SECOND)),
    st.tuples(st.just("send"), st.integers(1, 6), st.integers(0, 60 * SECOND)),
    st.tuples(st.just("rescope"), st.sets(st.sampled_from(NAMES)).map(sorted)),
    st.tuples(st.just("garble"), st.integers(0, MAX_LINE_BYTES), st.integers(1, 255)),
    st.tuples(st.just("cut")),
)
KEPT, PAD = st.sampled_from([0, 3, 8, 1000]), st.sampled_from([0, 4000])


@settings(max_examples=250, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(HAPPENS, max_size=60), st.lists(HAPPENS, max_size=30), st.booleans(), KEPT, PAD)
def test_gateway_ends_with_the_committed_state_and_never_goes_back(before, after, formed_anew, kept, pad):
    path = Path(kept, pad)
    for kind, *how in before:
        getattr(path, kind)(*how)
    if formed_anew:
        path.form_new_cluster()
    for kind, *how in after:
        getattr(path, kind)(*how)
    path.change([("a", "k0", UP)])
    path.settle()


@pytest.mark.parametrize("seed", range(40))
def test_gateway_never_goes_back_in_long_runs(seed):
    """The same with 600 random steps each, most of which send lines."""
    rng = random.Random(seed)
    path = Path(rng.choice([0, 3, 8, 20, 1000]), rng.choice([0, 1500, 4000]))
    addresses = list(path.relays)
    for step in range(600):
        if step == 400 and seed % 2:
            path.form_new_cluster()
        kind = rng.choices(
            ["change", "follow", "replace", "restart", "connect", "send", "garble", "cut", "rescope"],
            [30, 20, 2, 1, 10, 40, 1, 4, 1],
        )[0]  # fmt: skip
        if kind == "change":
            changes_drawn = [(rng.choice(NAMES), rng.choice(KEYS), rng.choice(RECORDS)) for _ in range(3)]
            path.change(changes_drawn)
        elif kind == "follow":
            path.follow(rng.choice(addresses), rng.randint(1, 9))
        elif kind in ("replace", "restart"):
            getattr(path, kind)(rng.choice(addresses), rng.randint(0, 5))
        elif kind == "send":
            path.send(rng.randint(1, 4), rng.randint(0, 2 * SECOND))
        elif kind == "rescope":
            path.rescope([scope for scope in NAMES if rng.random() < 0.8])
        elif kind == "garble":
            path.garble(rng.randrange(MAX_LINE_BYTES), rng.randint(1, 255))
        else:
            getattr(path, kind)()
    path.change([("a", "k0", UP)])
    path.settle()
    assert path.gateway.counts["streams"] > 5 and path.gateway.counts["changes"] > 50
