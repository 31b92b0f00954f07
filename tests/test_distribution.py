"""State on its way from the ledger to gateways: store, outbox, what is acknowledged, subscriber."""

import itertools
import json
import random

import msgspec
import pytest
from helpers import MS
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as some

from lemonlead.distribution import acknowledgements, outbox, records, subscriber
from lemonlead.distribution.acknowledgements import Acknowledgements
from lemonlead.distribution.faults import Older, Senseless, TooLarge, Unreadable, Unusable
from lemonlead.distribution.outbox import Outbox
from lemonlead.distribution.records import COLD, DRAIN, LINE, REST, Acknowledgement, Subscription, urgency
from lemonlead.distribution.store import Store
from lemonlead.distribution.subscriber import Acknowledge, Subscribe, Subscriber
from lemonlead.ledger import capacity

SECOND = 1000 * MS
HOUR = 3600 * SECOND
BURST = records.LEAST_BURST
RELAYS = [("near", "r1", "127.0.0.1:1"), ("far", "r2", "127.0.0.1:2")]
UP, OUT = {"state": "serving"}, {"state": "draining"}
PLAY = settings(max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))


def made(cluster="c", index=10, kept=100_000, **scopes):
    """A store that was told its whole state; {scope: {key: (index, record)}}."""
    held = Store("", kept)
    held.replace(cluster, index, scopes)
    return held


def parsed(data):
    return json.loads(data) if data is not None else None


def lines(box, now=HOUR, most=100_000):
    """All that it has to tell when budget is no matter."""
    found = []
    while len(found) < most and (data := box.next(now)) is not None:
        found.append(data)
        now += 10 * SECOND
    return found


def changes(told):
    """(scope, key, index) of lines, in order."""
    return [tuple(change[:3]) for line in told for change in parsed(line).get("changes", ())]


def stream(*scopes, seed=1, relays=RELAYS, now=0):
    """A subscriber whose stream has just been opened, and the moment."""
    one = Subscriber("g1", "r1", scopes, relays, seed)
    assert one.next(now) is None
    assert type(one.next(one.wake_at())) is Subscribe
    return one, one.not_before


def line(**fields):
    return json.dumps(fields).encode() + b"\n"


def follows(one, now, cluster="c", at=10):
    one.receive_line(now, line(cluster=cluster, at=at))


def body(action):
    return json.loads(action.body)


# ---- what passes between the two


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
def test_what_is_gone_or_drains_is_more_urgent_than_what_is_cold(record, urgent):
    assert urgency(record) == urgent


def test_scopes_are_named_as_the_ledger_names():
    about = capacity.Name.__metadata__[0]
    assert about.pattern == f"^{records.NAME.pattern.removesuffix('{0,99}')}*$" and about.max_length == 100
    for name in ("a", "a" * 100, "A1_.:/-"):
        assert records.scope_name(name, "here") == name
    assert records.scope_name("", "here") == ""


@pytest.mark.parametrize("scope", [" ", "a b", "-a", "a" * 101, "ä", "a\n", None, 5, ["a"]])
def test_a_scope_that_is_no_name_is_refused_with_what_and_where(scope):
    for call in (
        lambda: Outbox(0, made(), {scope: 0} if type(scope) is not list else scope, 8000, BURST),
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
def test_an_index_that_is_no_whole_number_is_refused(index):
    held, box, acks = made(a={}), Outbox(0, made(), {}, 8000, BURST), Acknowledgements(SECOND, 0)
    acks.subscribe(0, "g", "r", {"a": 0})
    for call in (
        lambda: held.apply(index, []),
        lambda: held.replace("c", index, {}),
        lambda: held.replace("c", 20, {"a": {"k": (index, UP)}}),
        lambda: Outbox(0, held, {"a": index}, 8000, BURST),
        lambda: box.widen(0, {"a": index}),
        lambda: acks.subscribe(0, "g", "r", {"a": index}),
        lambda: acks.acknowledge(0, "g", {"a": index}),
        lambda: acks.in_force(0, "a", index),
    ):
        with pytest.raises(Senseless, match="expected a whole number"):
            call()
    assert held.index == 10 and held.snapshot("a") == [] and not box.positions
    assert acks.in_force(0, "a", 1).behind == [("g", 0)]


@pytest.mark.parametrize("value", [0, -1, 1.5, None, "8000", True, 1 << 50])
def test_rates_sizes_and_times_that_are_none_are_refused(value):
    for call in (
        lambda: Outbox(0, made(), {}, value, BURST),
        lambda: Outbox(0, made(), {}, 8000, value),
    ):
        with pytest.raises(Unusable, match="expected a whole number from"):
            call()
    if value not in (0, 1 << 50):
        with pytest.raises(Senseless, match="grace: .*expected"):
            Acknowledgements(SECOND, value)
        with pytest.raises(Senseless, match="kept: .*expected"):
            Store("c", value)
    with pytest.raises(Unusable, match=f"burst: {BURST - 1}; expected a whole number from {BURST}"):
        Outbox(0, made(), {}, 8000, BURST - 1)


def test_more_scopes_than_a_gateway_may_have_are_refused():
    most = {f"s{n}": 0 for n in range(records.MOST_SCOPES)}
    box = Outbox(0, made(), most, 8000, BURST)
    for call in (
        lambda: Outbox(0, made(), {**most, "more": 0}, 8000, BURST),
        lambda: box.widen(0, {"more": 0}),
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
def test_relays_that_cant_be_are_refused(relays, says):
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
def test_a_body_that_makes_no_sense_is_refused(data, says):
    with pytest.raises(Senseless, match=says):
        records.parse_body(data, Subscription)
    with pytest.raises(Senseless):
        records.parse_body(data, Acknowledgement)


def test_what_a_subscriber_asks_is_what_a_relay_reads():
    one, now = stream("a", "")
    asked = records.parse_body(msgspec.json.encode(body(Subscribe("", one_body(one)))), Subscription)
    assert asked.gateway == "g1" and asked.region == "r1" and asked.scopes == {"a": 0, "": 0}
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "k", 5, UP]], complete={"a": 5}))
    one.refuse("a", "k", 5, "k.state: what, expected")
    told = records.parse_body(one.next(now + SECOND).body, Acknowledgement)
    assert (told.gateway, told.cluster, told.complete) == ("g1", "c", {"a": 5})
    assert told.refused == [("a", "k", 5, "k.state: what, expected")] and told.stay == asked.stay


def one_body(one):
    """The body of the subscription that stands."""
    return msgspec.json.encode(Subscription(one.me, one.region, one.cluster, one.complete, one.stay()))


# ---- the store


def test_each_key_is_told_by_its_newest_word_alone():
    held = made(a={"x": (1, UP), "y": (2, UP)})
    for index, (key, record) in enumerate([("x", OUT), ("z", UP), ("x", None), ("y", OUT)], 11):
        held.apply(index, [("a", key, record), ("b", key, record)])
    assert held.since("a", 10) == [("z", 12, UP), ("x", 13, None), ("y", 14, OUT)]
    assert held.since("a", 12) == [("x", 13, None), ("y", 14, OUT)]
    assert held.since("a", 14) == held.since("a", 99) == []
    assert sorted(held.snapshot("a")) == [("y", 14, OUT), ("z", 12, UP)]
    assert held.touched("a") == 14 and held.index == 14
    held.apply(20, [])
    assert held.index == 20 and held.touched("a") == 14


def test_the_last_of_one_entrys_changes_to_a_key_counts():
    held = Store("c")
    held.apply(1, [("a", "k", UP), ("a", "k", OUT), ("a", "j", UP), ("a", "j", None)])
    assert held.since("a", 0) == [("k", 1, OUT), ("j", 1, None)]
    assert held.snapshot("a") == [("k", 1, OUT)]


class Counted(dict):
    """Records that tell how often they are looked at, and can't be gone over."""

    looks = 0

    def get(self, *args):
        self.looks += 1
        return super().get(*args)

    def __iter__(self):
        raise AssertionError("gone over whole")

    items = values = keys = __iter__


def test_what_changed_costs_what_changed():
    held = made(a={f"k{n}": (1, UP) for n in range(20_000)}, b={f"k{n}": (1, UP) for n in range(20_000)})
    for index in range(11, 2011):
        held.apply(index, [("a", f"k{index}", OUT)])
    held.apply(2011, [("b", "k1", OUT)])
    for scope in "ab":
        held.scopes[scope].records = Counted(held.scopes[scope].records)
    log = held.scopes["a"].log
    assert len(held.since("a", 2007)) == 3 and held.scopes["a"].records.looks == 3
    assert len(held.news("a", 2007).levels[DRAIN]) == 3 and held.scopes["a"].records.looks == 6
    assert list(held.changed(2010)) == ["b"] and len(log) == 2000


class Looked(dict):
    """A log that tells how many of its entries are looked at."""

    looked = 0

    def items(self):
        return self

    def __reversed__(self):
        for key in list(dict.__reversed__(self)):
            self.looked += 1
            yield key, self[key]


def test_a_log_is_read_from_its_end():
    held = made(a={})
    for index in range(11, 5011):
        held.apply(index, [("a", f"k{index}", UP)])
    held.scopes["a"].log = log = Looked(held.scopes["a"].log)
    assert [key for key, _, _ in held.since("a", 5008)] == ["k5009", "k5010"] and log.looked == 3


def test_all_logs_together_are_bounded_and_quiet_scopes_stay():
    held = made(kept=80, quiet={}, busy={})
    held.apply(11, [("quiet", "k", UP)])
    for index in range(12, 500):
        held.apply(index, [("busy", f"k{index % 300}", UP)])
        assert held.held == sum(len(one.log) for one in held.scopes.values()) <= 80
    assert held.since("busy", 100) is None and len(held.since("busy", 495)) == 4
    assert len(held.snapshot("busy")) == 300
    assert held.since("quiet", 11) == [] and held.touched("quiet") == 11


def test_a_scope_of_which_nothing_is_left_leaves_nothing():
    held = made(kept=8)
    for index in range(11, 500):
        held.apply(index, [(f"s{index}", "k", UP if index % 2 else None)])
    gone = [(f"s{index}", "k", None) for index in range(11, 500)]
    held.apply(600, gone)
    held.apply(601, [("a", f"k{n}", UP) for n in range(20)])
    assert len(held.scopes) <= 9 and len(held.order) == len(held.scopes)
    assert held.since("s11", 599) is None and held.since("s11", 601) == []
    assert held.touched("s11") >= 600


def test_a_scope_dropped_with_its_last_record_is_not_passed_over():
    held = made(index=10, kept=0, a={"x": (1, UP)}, b={"y": (1, UP)})
    box = Outbox(0, held, {"a": 0, "b": 0}, 8000, BURST)
    lines(box)
    held.apply(11, [("a", "x", None)])
    assert "a" not in held.scopes and held.changed(10) is None and list(held.changed(11)) == []
    told = [parsed(one) for one in lines(box, 2 * HOUR)]
    assert [one["snapshot"] for one in told if "snapshot" in one] == ["a"]
    assert {"a": 11} in [one.get("complete") for one in told]


def test_nothing_kept_means_snapshots_and_nothing_else():
    held = made(kept=0, a={})
    held.apply(11, [("a", "k", UP)])
    assert held.since("a", 10) is None and held.since("a", 11) == [] and held.held == 0


def test_after_a_start_what_was_removed_before_is_not_known():
    held = made(index=100, a={"k": (50, UP)})
    assert held.since("a", 99) is None and held.since("other", 99) is None
    assert held.since("a", 100) == held.since("other", 100) == []
    assert held.touched("a") == held.touched("other") == 100


def test_a_whole_state_of_the_same_cluster_is_told_by_what_differs():
    held = made(a={"x": (1, UP), "y": (2, UP), "z": (3, UP)}, b={"k": (4, UP)})
    held.replace("c", 20, {"a": {"x": (1, UP), "y": (15, OUT), "new": (12, UP)}})
    assert held.since("a", 10) == [("new", 12, UP), ("y", 15, OUT), ("z", 20, None)]
    assert held.since("b", 10) == [("k", 20, None)] and held.snapshot("b") == []
    assert held.index == 20 and held.since("a", 20) == []
    for scope, index in itertools.product(("a", "b", "other"), range(11, 20)):
        assert held.since(scope, index) is None  # what was put and dropped meanwhile is not known
    for index in range(30, 300, 2):
        held.apply(index, [("a", "x", UP)])
        held.replace("c", index + 1, {"a": {"x": (index, UP), "y": (15, OUT), "new": (12, UP)}})
    assert len(held.gaps) == 64 and held.since("a", 12) is None is held.since("other", 35)
    assert [key for key, _, _ in held.since("a", 10)] == ["new", "y", "z", "x"]


def test_a_whole_state_that_cant_follow_from_what_is_held_begins_anew():
    held = made(a={"x": (1, UP)}, b={"k": (4, UP)})
    held.replace("c", 20, {"a": {"x": (2, OUT)}})
    for index in (0, 9, 10, 19):
        assert held.since("a", index) is None and held.since("b", index) is None
    assert held.snapshot("a") == [("x", 2, OUT)] and held.snapshot("b") == []
    assert held.changed(19) is None and list(held.changed(20)) == []
    held.apply(21, [("b", "k", UP)])
    assert list(held.changed(20)) == ["b"]


def test_an_older_state_changes_nothing_and_another_clusters_takes_its_place():
    held = made(a={"x": (1, UP)})
    held.apply(11, [("a", "x", OUT)])
    for call in (
        lambda: held.replace("c", 10, {}),
        lambda: held.apply(11, [("a", "x", None)]),
        lambda: held.apply(5, [("a", "x", None)]),
    ):
        with pytest.raises(Older):
            call()
    assert held.snapshot("a") == [("x", 11, OUT)] and held.index == 11
    held.replace("d", 3, {"b": {"y": (2, UP)}})
    assert (held.cluster, held.index, held.snapshot("a")) == ("d", 3, [])
    assert held.snapshot("b") == [("y", 2, UP)] and held.since("b", 2) is None and held.held == 0


@pytest.mark.parametrize(
    "change, fault",
    [
        (("a", "", UP), Senseless),
        (("a", "k k", UP), Senseless),
        (("a", "k" * 201, UP), Senseless),
        (("a", None, UP), Senseless),
        (("a", "k", "text"), Senseless),
        (("a", "k", {"x": "y" * records.MOST_RECORD}), TooLarge),
    ],
)
def test_a_change_that_cant_be_told_changes_nothing(change, fault):
    held = made(a={"x": (1, UP)})
    with pytest.raises(fault, match="expected|at most"):
        held.apply(11, [("a", "x", None), change])
    with pytest.raises(fault, match="expected|at most"):
        held.replace("c", 11, {"a": {change[1]: (11, change[2])}})
    with pytest.raises(Senseless, match="index 12; expected at most 11"):
        held.replace("c", 11, {"a": {"k": (12, UP)}})
    assert (held.index, held.snapshot("a"), held.since("a", 10)) == (10, [("x", 1, UP)], [])


NAMES, KEYS = ("", "a", "b"), ("k0", "k1", "k2", "k3")
RECORDS = (UP, OUT, {"started_ms": 7}, None, None)
CHANGE = some.tuples(some.sampled_from(NAMES), some.sampled_from(KEYS), some.sampled_from(RECORDS))


@PLAY
@given(
    some.lists(some.lists(CHANGE, max_size=4), max_size=30),
    some.integers(0, 12),
    some.sets(some.integers(0, 29)),
)
def test_what_is_told_since_an_index_makes_the_newest_state(entries, kept, wholes):
    """From the state as of any index, and what is told since, follows the state as it is now. Some entries
    reach the store by a whole state after a gap."""
    held, truth, states = Store("c", kept), {}, [{}]
    for index, entry in enumerate(entries, 1):
        truth = {**truth, **{(scope, key): (index, record) for scope, key, record in entry}}
        truth = {at: value for at, value in truth.items() if value[1] is not None}
        states.append(truth)
        if index - 1 not in wholes:
            scopes = {}
            for (scope, key), value in truth.items():
                scopes.setdefault(scope, {})[key] = value
            before = held.index
            if before == index - 1:
                held.apply(index, entry)
            else:
                held.replace("c", index, scopes)
            assert held.held == sum(len(one.log) for one in held.scopes.values()) <= kept
    for scope, index in itertools.product(NAMES, range(held.index + 1)):
        told = held.since(scope, index)
        now = {key: value for (of, key), value in states[held.index].items() if of == scope}
        assert {key: (at, record) for key, at, record in held.snapshot(scope)} == now
        if told is not None:
            built = {key: value for (of, key), value in states[index].items() if of == scope}
            for key, at, record in told:
                assert at > index
                built[key] = at, record
            assert {key: value for key, value in built.items() if value[1] is not None} == now
            assert sorted(at for _, at, _ in told) == [at for _, at, _ in told]
        else:
            assert index < held.touched(scope)
    if not wholes and kept >= len(NAMES) * len(KEYS):
        assert all(held.since(scope, 0) is not None for scope in NAMES)


# ---- the outbox


def test_the_first_line_names_the_cluster_and_a_snapshot_ends_with_complete():
    box = Outbox(0, made(a={"x": (1, UP)}), {"a": 0}, 8000, BURST)
    told = [parsed(data) for data in lines(box)]
    for one in told:
        del one["n"], one["check"]
    assert told == [
        {"cluster": "c", "at": 10},
        {"snapshot": "a"},
        {"changes": [["a", "x", 1, UP]], "complete": {"a": 10}},
    ]
    assert box.wake_at() is None


def test_what_a_subscriber_has_is_not_told_again():
    held = made(index=10, a={"x": (1, UP)}, b={})
    held.apply(11, [("a", "y", UP)])
    held.apply(12, [("a", "x", OUT)])
    told = lines(Outbox(0, held, {"a": 11, "b": 10}, 8000, BURST))
    assert changes(told) == [("a", "x", 12)] and not any("snapshot" in parsed(one) for one in told)
    assert [parsed(one)["complete"] for one in told if "complete" in parsed(one)] == [{"a": 12}, {"b": 12}]


def test_drains_and_removals_go_first_then_the_cold_then_changes_then_snapshots():
    held = made(index=10, big={f"k{n}": (1, UP) for n in range(50)} | {"out": (2, OUT)}, a={"gone": (1, UP)})
    for index, (scope, key, record) in enumerate(
        [("a", "rest", UP), ("b", "cold", {"started_ms": 1}), ("b", "out", OUT), ("a", "gone", None)], 11
    ):
        held.apply(index, [(scope, key, record)])
    told = changes(lines(Outbox(0, held, {"a": 10, "b": 10, "big": 0}, 8000, BURST)))
    keys = [key for _, key, _ in told]
    assert set(keys[:3]) == {"out", "gone"} and keys[3:5] == ["cold", "rest"] and len(keys) == 55
    assert {scope for scope, _, _ in told[5:]} == {"big"}


def test_small_snapshots_are_not_held_up_by_a_large_one():
    held = made(a={f"k{n}": (1, UP) for n in range(3000)}, b={"k": (1, UP)}, c={})
    told = [parsed(one) for one in lines(Outbox(0, held, {"a": 0, "b": 0, "c": 0}, 8000, BURST))]
    ends = [scope for one in told for scope in one.get("complete", ())]
    assert set(ends[:2]) == {"b", "c"} and ends[2:] == ["a"]


def test_later_news_takes_the_place_of_earlier_and_urgent_news_is_told_once():
    held = made(index=10, a={f"k{n:03}": (1, UP) for n in range(900)})
    box, told, now = Outbox(0, held, {"a": 0}, 8000, BURST), [], HOUR
    index = 10
    while (data := box.next(now)) is not None:
        told.append(data)
        now += 2 * SECOND
        if index < 15:
            index += 1
            held.apply(index, [("a", "k899", OUT if index % 2 else UP), ("a", f"k0{index}", OUT)])
    seen = changes(told)
    assert len(seen) == len(set(seen)) and len({key for _, key, _ in seen}) == 900
    assert [at for _, key, at in seen if key == "k899"] == [12, 13, 14, 15]
    assert box.counts["coalesced"] >= 1
    assert parsed(told[-1])["complete"] == {"a": 15}
    assert sum("snapshot" in parsed(one) for one in told) == 1


def test_a_snapshot_goes_on_from_where_it_was_and_holds_what_changed_alone():
    held = made(index=10, a={f"k{n}": (1, UP) for n in range(20_000)})
    box, now, most = Outbox(0, held, {"a": 0}, 8000, BURST), HOUR, 0
    told = []
    for index in range(11, 61):
        told.append(box.next(now))
        held.apply(index, [("a", f"k{index}", OUT), ("a", f"new{index}", UP)])
        now += SECOND
        most = max(most, len(box.positions["a"].ahead))
    told += lines(box, now)
    seen = changes(told)
    assert len(seen) == len(set(seen)) and 1 <= most <= 100
    assert len({key for _, key, _ in seen}) == 20_050
    assert not box.positions["a"].ahead and box.positions["a"].base is None


def test_lists_are_shared_by_all_that_are_told_the_same():
    held = made(index=10, a={f"k{n}": (1, UP) for n in range(100)})
    held.apply(11, [("a", "k1", OUT)])
    boxes = [Outbox(0, held, {"a": at}, 8000, BURST) for at in (0, 0, 10, 10)]
    bases = [box.positions["a"].base for box in boxes]
    assert bases[0] is bases[1] and bases[2] is bases[3] and bases[0].whole and not bases[2].whole


def test_a_list_of_all_is_made_anew_once_much_has_changed():
    held = made(index=10, a={f"k{n}": (1, UP) for n in range(80)})
    first = held.whole("a")
    for index in range(11, 21):
        held.apply(index, [("a", f"k{index}", UP)])
        assert held.whole("a") is first
    held.apply(21, [("a", "k21", UP)])
    assert held.whole("a").at == 21 and len(held.whole("a").levels[REST]) == 80


def test_a_list_of_all_from_which_the_log_does_not_go_on_is_of_no_use():
    held = made(index=10, kept=20, a={f"k{n}": (1, UP) for n in range(200)})
    first = held.whole("a")
    held.apply(11, [("a", "k0", None)])
    held.apply(12, [("b", f"k{n}", UP) for n in range(40)])
    assert held.since("a", 10) is None and held.whole("a") is not first and held.whole("a").at == 12


def test_what_is_kept_no_more_is_told_by_a_new_snapshot():
    held = made(index=10, kept=20, a={f"k{n}": (1, UP) for n in range(2000)})
    box, now = Outbox(0, held, {"a": 0}, 8000, BURST), HOUR
    told = [box.next(now) for _ in range(3)]
    held.apply(11, [("a", "k0", None), ("a", "k1999", None)])
    held.apply(12, [("b", f"k{n}", UP) for n in range(40)])
    assert held.since("a", 10) is None
    told += lines(box, now + SECOND)
    marks = [place for place, one in enumerate(told) if "snapshot" in parsed(one)]
    last = {key for _, key, _ in changes(told[marks[-1] :])}
    assert len(marks) == 2 and len(last) == 1998 and not last & {"k0", "k1999"}


def test_removals_kept_no_more_are_not_passed_over():
    held = made(index=10, kept=6, a={f"k{n}": (1, UP) for n in range(4)})
    held.apply(11, [("a", "k1", None), ("a", "k2", None)])
    one, now = stream("a")
    box = Outbox(0, held, {"a": 10}, 8000, BURST)
    one.complete["a"] = 10
    one.records["a"] = {f"k{n}": (1, UP) for n in range(4)}
    follows(one, now)
    held.apply(12, [("b", f"k{n}", UP) for n in range(9)])
    one.lines = 0
    one.teller = None
    for data in lines(box):
        one.receive_line(now, data)
    assert set(one.records["a"]) == {"k0", "k3"} and one.complete["a"] == 12


def test_a_scope_that_ends_while_it_is_told_is_told_to_its_end_once():
    held = made(index=10, kept=0, a={f"k{n}": (1, UP) for n in range(3000)}, b={
        f"k{n}": (1, UP) for n in range(1000)
    })  # fmt: skip
    box = Outbox(0, held, {"a": 0, "b": 0}, 8000, BURST)
    told = [box.next(HOUR + n * SECOND) for n in range(4)]
    held.apply(11, [("a", f"k{n}", None) for n in range(3000)])
    told = [parsed(one) for one in told + lines(box, 2 * HOUR)]
    assert [one["snapshot"] for one in told if "snapshot" in one] == ["b", "a"]
    assert [one["complete"] for one in told if "complete" in one] == [{"a": 11}, {"b": 11}]


def test_whoever_is_ahead_of_the_store_is_told_nothing_until_it_has_caught_up():
    held = made(index=10, a={"x": (1, UP)}, b={"y": (1, UP)})
    box = Outbox(0, held, {"a": 12, "b": 0}, 8000, BURST)
    told = lines(box)
    assert changes(told) == [("b", "y", 1)]
    held.apply(11, [("a", "x", OUT)])
    told += lines(box, 2 * HOUR)
    assert len(changes(told)) == 1 and all("a" not in parsed(one).get("complete", ()) for one in told)
    held.apply(12, [("a", "y", UP)])
    held.apply(13, [("a", "z", UP)])
    assert changes(lines(box, 3 * HOUR)) == [("a", "z", 13)]


@pytest.mark.parametrize("cluster", ["other", ""])
def test_a_place_in_another_cluster_is_told_from_a_snapshot(cluster):
    held = made(index=10, a={"x": (1, UP)})
    told = lines(Outbox(0, held, {"a": 500}, 8000, BURST, cluster))
    assert [list(parsed(one))[0] for one in told] == ["cluster", "snapshot", "changes"]


def test_a_store_that_gets_another_cluster_tells_so_and_all_anew():
    held = made(index=10, a={"x": (1, UP)}, b={f"k{n}": (1, UP) for n in range(2000)})
    box = Outbox(0, held, {"a": 0, "b": 0, "c": 0}, 8000, BURST)
    told = [box.next(HOUR + n * SECOND) for n in range(8)]
    assert box.todo[outbox.SNAPSHOT]
    held.replace("d", 4, {"a": {"y": (2, UP)}})
    told = [parsed(one) for one in lines(box, 2 * HOUR)]
    assert told[0]["cluster"] == "d" and told[0]["at"] == 4
    assert {one["snapshot"] for one in told if "snapshot" in one} == {"a", "b", "c"}
    assert [tuple(change) for one in told for change in one.get("changes", ())] == [("a", "y", 2, UP)]


def test_more_scopes_cost_what_they_add():
    held = made(index=10, a={"x": (1, UP)}, b={"y": (1, UP)})
    box = Outbox(0, held, {"a": 0}, 8000, BURST)
    lines(box)
    box.widen(HOUR, {"a": 0, "b": 0})
    assert changes(lines(box, 2 * HOUR)) == [("b", "y", 1)]
    held.apply(11, [("b", "y", OUT), ("a", "x", OUT)])
    assert len(changes(lines(box, 3 * HOUR))) == 2


def test_quiet_scopes_are_told_to_be_complete_now_and_then():
    held = made(index=10, a={"x": (1, UP)}, b={})
    box = Outbox(0, held, {"a": 10, "b": 10}, 8000, BURST)
    lines(box)
    held.apply(11, [("b", "y", UP)])
    assert changes([box.next(2 * HOUR)]) == [("b", "y", 11)]
    held.apply(12, [("other", "y", UP)])
    assert box.next(2 * HOUR + outbox.ADVANCE - 1) is not None  # the first one was due long ago
    held.apply(13, [("other", "y", OUT)])
    due = box.wake_at()
    assert box.next(due - 1) is None and due == box.advance_at
    assert parsed(box.next(due))["complete"] == {"a": 13, "b": 13}
    assert box.wake_at() is None


def test_after_a_gap_each_scope_is_told_to_be_complete_past_it():
    """What was put and dropped within it may be in force, told ahead by another relay."""
    held = made(index=10, a={"x": (1, UP)}, b={})
    box = Outbox(0, held, {"a": 10, "b": 10, "other": 10}, 8000, BURST)
    lines(box)
    held.replace("c", 20, {"a": {"x": (1, UP)}})
    assert box.wake_at() < box.advance_at
    assert parsed(box.next(box.wake_at()))["complete"] == {"a": 20, "b": 20, "other": 20}


def test_nothing_is_told_of_a_store_that_knows_nothing():
    box = Outbox(0, held := Store(""), {"a": 0}, 8000, BURST)
    assert box.next(HOUR) is None and box.wake_at() is None
    held.replace("c", 1, {"a": {"x": (1, UP)}})
    assert box.wake_at() is not None and changes(lines(box)) == [("a", "x", 1)]


@PLAY
@given(
    some.integers(1, 40_000),
    some.integers(BURST, 40_000),
    some.lists(some.tuples(some.integers(0, 3 * SECOND), some.integers(0, 3)), min_size=1, max_size=40),
    some.integers(0, 400),
    some.integers(1, 7000),
)
def test_no_more_is_told_than_the_budget_allows(rate, burst, steps, count, size):
    """In each stretch of time at most a burst and what the rate gives; each line within a burst and 16 KiB;
    and at the moment that `wake_at` tells there is a line, and none a nanosecond before."""
    held = made(index=10, a={f"k{n}": (1, {"x": "y" * (size if n % 9 == 0 else 20)}) for n in range(count)})
    box, now, told, index = Outbox(0, held, {"a": 0}, rate, burst), 0, [], 10
    for wait, changed in steps:
        now += wait
        for _ in range(changed):
            index += 1
            held.apply(index, [("a", f"k{index % 7}", {**OUT, "x": "z" * size})])
        while (data := box.next(now)) is not None:
            assert len(data) <= min(burst, LINE) and data.endswith(b"\n") and b"\n" not in data[:-1]
            told.append((now, len(data)))
        due = box.wake_at()
        if due is not None and box.needed():
            assert due > now
            assert box.next(due - 1) is None and box.next(due - 1) is None
            now = due
            data = box.next(now)
            assert data is not None
            told.append((now, len(data)))
    for first in range(len(told)):
        spent = 0
        for at, length in told[first:]:
            spent += length
            assert spent * SECOND <= burst * SECOND + (at - told[first][0]) * rate
    assert box.counts["bytes"] == sum(length for _, length in told)


def test_a_drain_does_not_wait_for_more_budget_than_itself():
    held = made(index=10, a={f"k{n}": (1, {"x": "y" * 100}) for n in range(4000)})
    box = Outbox(0, held, {"a": 0}, 1000, BURST)
    now = 0
    for _ in range(30):
        while box.next(now) is not None:
            pass
        now = box.wake_at()
    while box.next(now) is not None:
        pass
    held.apply(11, [("a", "k3999", OUT)])
    assert box.wake_at() - now < SECOND // 4
    assert changes([box.next(box.wake_at())]) == [("a", "k3999", 11)]


# ---- what is acknowledged


def acks(**scopes):
    one = Acknowledgements(10 * SECOND, SECOND)
    for gateway, at in scopes.items():
        one.subscribe(0, gateway, "r" + gateway[-1], {"a": at})
        one.acknowledge(0, gateway, {})
    return one


def tick(one, since, until):
    """Time passes in which the relay lives."""
    for now in range(since, until, SECOND):
        one.drop_silent(now)


def test_everywhere_is_told_once_each_has_it_in_force():
    one = acks(g1=5, g2=5)
    assert one.in_force(2 * SECOND, "a", 6) == (
        False, [("g1", 2000), ("g2", 2000)], [], 2, {"r1": 1, "r2": 1},
    )  # fmt: skip
    assert one.acknowledge(2 * SECOND, "g1", {"a": 6})
    assert one.in_force(2 * SECOND, "a", 6) == (False, [("g2", 2000)], [], 2, {"r2": 1})
    assert one.acknowledge(3 * SECOND, "g2", {"a": 7})
    assert one.in_force(3 * SECOND, "a", 6) == (True, [], [], 2, {})
    assert one.in_force(3 * SECOND, "other", 6) == (True, [], [], 0, {})


def test_a_silent_one_counts_until_lease_and_grace_ran_out():
    one = acks(g1=5, g2=5)
    one.acknowledge(SECOND, "g1", {"a": 6})
    one.stream_ended(2 * SECOND, "g2")
    tick(one, 2 * SECOND, 11 * SECOND)
    assert one.drop_silent(11 * SECOND - 1) == []
    assert one.in_force(11 * SECOND - 1, "a", 6).behind == [("g2", 10_999)]
    assert one.in_force(11 * SECOND, "a", 6) == (True, [], [], 1, {})
    assert one.drop_silent(11 * SECOND) == ["g2"]
    assert not one.acknowledge(11 * SECOND, "g2", {"a": 6})
    assert one.drop_silent(12 * SECOND) == ["g1"] and not one.subscribers and not one.of


def test_one_that_came_back_under_its_name_counts_with_what_it_says():
    one = acks(g1=5)
    one.subscribe(0, "g1", "r1", {"a": 5}, "first")
    one.acknowledge(SECOND, "g1", {"a": 9}, stay="first")
    assert one.in_force(SECOND, "a", 9).everywhere
    one.subscribe(2 * SECOND, "g1", "r1", {"a": 0, "b": 1}, "second")
    assert one.in_force(2 * SECOND, "b", 1).behind == [("g1", 0)]  # what it refuses is not known yet
    one.acknowledge(2 * SECOND, "g1", {}, stay="second")
    assert not one.in_force(2 * SECOND, "a", 9).everywhere and one.in_force(2 * SECOND, "b", 1).everywhere
    assert not one.acknowledge(2 * SECOND, "g1", {"a": 9}, stay="first")  # late, of the one before
    one.stream_ended(2 * SECOND, "g1", "first")
    assert one.acknowledge(2 * SECOND, "g1", {"a": 8}, stay="second")
    assert one.in_force(2 * SECOND, "a", 9).behind == [("g1", 0)]


def test_scopes_left_by_a_name_are_not_counted_for_it():
    one = acks(g1=5)
    one.subscribe(SECOND, "g1", "r1", {"b": 5})
    one.acknowledge(SECOND, "g1", {})
    assert one.in_force(SECOND, "a", 9).counted == 0 and one.in_force(SECOND, "b", 5).counted == 1
    one.add_scopes(SECOND, "g1", {"b": 0, "c": 3})
    assert one.in_force(SECOND, "b", 5).everywhere and one.in_force(SECOND, "c", 4).behind == [("g1", 0)]
    assert one.acknowledge(SECOND, "g1", {"c": 4, "other": 4}) and one.in_force(SECOND, "c", 4).everywhere
    assert one.in_force(SECOND, "other", 1).counted == 0


def test_what_is_refused_is_told_by_name_and_is_not_everywhere():
    one = acks(g1=5, g2=5)
    one.acknowledge(SECOND, "g1", {"a": 8}, [("a", "k", 7, "k.x: 5; expected a text")])
    one.acknowledge(SECOND, "g2", {"a": 8})
    assert not one.in_force(SECOND, "a", 6).everywhere  # what is in force instead is not known
    assert one.in_force(SECOND, "a", 7) == (
        False, [], [("g1", "k", "k.x: 5; expected a text")], 2, {"r1": 1},
    )  # fmt: skip
    one.acknowledge(SECOND, "g1", {"a": 9})
    assert one.in_force(SECOND, "a", 9).behind == [("g2", 0)] and one.in_force(SECOND, "a", 8).everywhere


def test_an_acknowledgement_never_takes_one_back():
    one = acks(g1=5)
    one.acknowledge(SECOND, "g1", {"a": 8})
    one.acknowledge(SECOND, "g1", {"a": 6})
    assert one.in_force(SECOND, "a", 8).everywhere


def test_a_relay_just_started_does_not_say_everywhere():
    one = Acknowledgements(10 * SECOND, SECOND, began=HOUR)
    one.subscribe(HOUR, "g1", "r1", {"a": 9})
    one.acknowledge(HOUR, "g1", {})
    tick(one, HOUR, HOUR + 11 * SECOND)
    assert not one.in_force(HOUR + 11 * SECOND - 1, "a", 9).everywhere
    one.acknowledge(HOUR + 10 * SECOND, "g1", {})
    assert one.in_force(HOUR + 11 * SECOND, "a", 9).everywhere


def test_time_in_which_the_relay_stood_still_is_nobodys_silence():
    one = acks(g1=5, g2=5)
    tick(one, 0, 4 * SECOND)
    assert one.in_force(HOUR, "a", 6).behind == [("g1", 3000), ("g2", 3000)]
    assert one.drop_silent(HOUR) == [] and one.acknowledge(HOUR, "g1", {"a": 6})
    tick(one, HOUR, HOUR + 8 * SECOND)
    assert one.in_force(HOUR + 8 * SECOND - 1, "a", 6).behind == [("g2", 10_999)]
    assert one.in_force(HOUR + 8 * SECOND, "a", 6) == (True, [], [], 1, {})
    one = Acknowledgements(10 * SECOND, SECOND, began=0)
    assert not one.knows_all_subscribers(HOUR) and not one.knows_all_subscribers(HOUR + 4 * SECOND)
    tick(one, HOUR, HOUR + 11 * SECOND)
    assert one.knows_all_subscribers(HOUR + 11 * SECOND)


def test_of_another_cluster_nobody_has_anything():
    one = acks(g1=5)
    one.acknowledge(0, "g1", {"a": 500}, [("a", "k", 3, "no")])
    one.reset_complete()
    assert one.in_force(0, "a", 1) == (False, [("g1", 0)], [], 1, {"r1": 1})


def test_there_are_no_more_subscribers_than_a_relay_bears(monkeypatch):
    monkeypatch.setattr(acknowledgements, "MOST", 2)
    one = acks(g1=1, g2=1)
    with pytest.raises(Senseless, match="2 subscribed already"):
        one.subscribe(0, "g3", "r", {})
    one.subscribe(0, "g2", "r", {"b": 1})
    assert one.in_force(0, "b", 1).counted == 1 and one.in_force(0, "b", 1).behind == [("g2", 0)]


STEP = some.tuples(
    some.sampled_from(["subscribed", "heard", "left", "forget"]),
    some.sampled_from(["g1", "g2", "g3"]),
    some.integers(0, 3),  # index
    some.integers(0, 5),  # seconds that pass
    some.booleans(),  # of the stay that is known
)


@PLAY
@given(some.lists(STEP, max_size=40))
def test_everywhere_is_never_told_while_one_that_counts_has_less(steps):
    """Beside a model of each gateway: what the process that now has the name has in force."""
    one, now, stays = Acknowledgements(5 * SECOND, 2 * SECOND), 0, itertools.count()
    has = {}  # gateway: [index in force, stay, last heard, whether its stream stands]
    for kind, gateway, index, wait, known in steps:
        now += wait * SECOND
        if kind == "subscribed":
            stay = str(next(stays))
            has[gateway] = [index, stay, now, True, False]
            one.subscribe(now, gateway, "r", {"a": index}, stay)
        elif kind == "heard":
            entry = has.get(gateway)
            stay = entry[1] if entry and known else "another"
            counts = entry is not None and known and entry[3] and now - entry[2] < 7 * SECOND
            if counts:
                entry[0], entry[2], entry[4] = max(entry[0], index), now, True
            assert one.acknowledge(now, gateway, {"a": index}, stay=stay) == counts
        elif kind == "left" and gateway in has:
            one.stream_ended(now, gateway, has[gateway][1])
            has[gateway][3] = False
        elif kind == "forget":
            gone = {name for name, entry in has.items() if now - entry[2] >= 7 * SECOND}
            assert set(one.drop_silent(now)) == gone
            has = {name: entry for name, entry in has.items() if name not in gone}
        counted = {name: entry for name, entry in has.items() if now - entry[2] < 7 * SECOND}
        for index in range(5):
            behind = [name for name, entry in sorted(counted.items()) if entry[0] < index or not entry[4]]
            told = one.in_force(now, "a", index)
            assert [name for name, _ in told.behind] == behind and told.counted == len(counted)
            assert told.everywhere == (not behind)


# ---- the subscriber


def test_a_change_counts_only_if_it_is_newer_than_what_there_is():
    one, now = stream("a")
    follows(one, now)
    assert one.receive_line(now, line(changes=[["a", "k", 5, UP]])) == [("a", "k", UP)]
    for index, record in ((5, OUT), (4, OUT), (4, None)):
        assert one.receive_line(now, line(changes=[["a", "k", index, record]])) == []
    assert one.receive_line(now, line(changes=[["a", "k", 6, OUT]])) == [("a", "k", OUT)]
    assert one.receive_line(now, line(changes=[["a", "k", 8, None]])) == [("a", "k", None)]
    one.receive_line(now, line(complete={"a": 6}))  # not past it yet
    assert one.receive_line(now, line(changes=[["a", "k", 7, UP]])) == [] and one.records["a"] == {}
    assert one.receive_line(now, line(complete={"a": 9})) == [] and one.past["a"] == {}
    assert one.receive_line(now, line(changes=[["a", "k", 7, UP], ["a", "j", 9, UP]])) == []
    assert one.receive_line(now, line(changes=[["a", "k", 10, UP]])) == [("a", "k", UP)]
    assert one.receive_line(now, line(complete={"a": 8})) == [] and one.complete["a"] == 9


def test_what_is_not_among_a_snapshot_is_dropped_once_it_is_whole():
    one, now = stream("a", "b")
    follows(one, now)
    one.receive_line(
        now, line(changes=[["a", key, 5, UP] for key in "xyz"] + [["b", "x", 5, UP]], complete={"a": 5})
    )
    assert one.receive_line(now, line(snapshot="a")) == []
    assert one.receive_line(now, line(changes=[["a", "x", 5, UP], ["a", "new", 7, UP]])) == [("a", "new", UP)]
    one.receive_line(now, line(changes=[["a", "z", 12, OUT]]))  # newer than the snapshot
    assert one.receive_line(now, line(complete={"a": 10})) == [("a", "y", None)]
    assert set(one.records["a"]) == {"x", "new", "z"} and set(one.records["b"]) == {"x"}
    assert one.receive_line(now, line(complete={"a": 11})) == []


def test_a_snapshot_cut_short_drops_nothing():
    one, now = stream("a")
    follows(one, now)
    one.receive_line(now, line(changes=[["a", key, 5, UP] for key in "xyz"], complete={"a": 5}))
    one.receive_line(now, line(snapshot="a"))
    one.receive_line(now, line(changes=[["a", "new", 7, UP]]))
    one.stream_ended(now, "cut")
    assert set(one.records["a"]) == {"x", "y", "z", "new"} and one.complete == {"a": 5}
    asked = one.next(one.wake_at())
    assert body(asked)["scopes"] == {"a": 5} and body(asked)["cluster"] == "c"
    follows(one, now)
    assert one.receive_line(now, line(complete={"a": 8})) == [("a", "new", None)]  # put, and dropped in a gap


def test_what_was_told_ahead_and_again_stays():
    one, now = stream("a")
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "x", 7, OUT], ["a", "y", 8, OUT]]))
    one.stream_ended(now, "cut")
    one.next(one.wake_at())
    follows(one, now)
    assert one.receive_line(now, line(changes=[["a", "x", 7, OUT]], complete={"a": 7})) == []
    assert set(one.records["a"]) == {"x", "y"}
    assert one.receive_line(now, line(complete={"a": 9})) == [("a", "y", None)] and set(one.records["a"]) == {
        "x"
    }


def test_an_older_relays_snapshot_takes_nothing_back():
    one, now = stream("a")
    follows(one, now)
    told = [["a", "x", 5, UP], ["a", "w", 6, UP], ["a", "y", 20, UP]]
    one.receive_line(now, line(changes=told, complete={"a": 20}))
    one.stream_ended(now, "cut")
    one.next(one.wake_at())
    follows(one, now)
    one.receive_line(now, line(snapshot="a"))
    assert (
        one.receive_line(now, line(changes=[["a", "x", 3, OUT], ["a", "z", 4, UP]], complete={"a": 10})) == []
    )
    assert one.records["a"] == {"x": (5, UP), "w": (6, UP), "y": (20, UP)} and one.complete == {"a": 20}


def test_another_clusters_state_counts_scope_by_scope_once_it_is_whole():
    one, now = stream("a", "b", relays=RELAYS[:1])
    follows(one, now)
    both = [["a", "x", 50, UP], ["a", "y", 51, UP], ["b", "x", 52, UP]]
    one.receive_line(now, line(changes=both, complete={"a": 60, "b": 60}))
    one.receive_line(now, line(changes=[["b", "x", 61, {"state": 7}]], complete={"b": 61}))
    one.refuse("b", "x", 61, "no")
    one.stream_ended(now, "cut")
    one.next(one.wake_at())
    follows(one, now, "d", 3)
    one.receive_line(now, line(snapshot="a"))
    one.receive_line(now, line(snapshot="b"))
    assert (
        one.receive_line(now, line(changes=[["a", "x", 1, OUT], ["a", "z", 2, UP], ["b", "x", 1, OUT]])) == []
    )
    assert body(one.next(now + 5 * SECOND)) | {"stay": ""} == {
        "gateway": "g1", "cluster": "d", "complete": {}, "refused": [], "stay": "",
    }  # fmt: skip
    assert sorted(one.receive_line(now, line(complete={"a": 3})), key=str) == [
        ("a", "x", OUT), ("a", "y", None), ("a", "z", UP),
    ]  # fmt: skip
    assert one.records["b"] == {"x": (52, UP)} and one.complete == {"a": 3, "b": 0}
    assert body(one.next(now + 9 * SECOND))["complete"] == {"a": 3}
    one.stream_ended(now, "cut")
    asked = body(one.next(one.wake_at()))
    assert asked["cluster"] == "d" and asked["scopes"] == {"a": 3, "b": 0}
    with pytest.raises(Unreadable, match="cluster c was left for d"):
        follows(one, now)
    follows(one, now, "d", 4)
    with pytest.raises(Unreadable, match="was not told"):
        one.receive_line(now, line(complete={"b": 4}))
    assert one.receive_line(now, line(changes=[["b", "x", 4, OUT]])) == []
    one.receive_line(now, line(snapshot="b"))
    assert one.receive_line(now, line(changes=[["b", "x", 4, OUT]], complete={"b": 4})) == [("b", "x", OUT)]
    assert one.receive_line(now, line(changes=[["b", "x", 5, UP]])) == [("b", "x", UP)]


def test_a_stray_relay_of_another_cluster_takes_no_gateway_with_it():
    one, now = stream("a")
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "x", 5, UP]], complete={"a": 5}))
    for _ in range(3):
        one.stream_ended(now, "lost")
        now = one.wake_at()
        one.next(now)
        assert one.relay[0] == "far"
        before = state_of(one)
        with pytest.raises(Unreadable, match="cluster d, not c; others are asked first"):
            follows(one, now, "d", 3)
        assert state_of(one) == before
        one.stream_ended(now, "unreadable")
        now = one.wake_at()
        one.next(now)
        assert one.relay[0] == "near"
        follows(one, now)
    for _ in range(2):  # its own is to be had nowhere any more
        one.stream_ended(now, "no connection")
        now = one.wake_at()
        one.next(now)
    follows(one, now, "d", 3)
    one.receive_line(now, line(snapshot="a"))
    assert one.receive_line(now, line(changes=[["a", "x", 2, OUT]], complete={"a": 3})) == [("a", "x", OUT)]


def test_another_cluster_that_is_cut_off_before_it_is_whole_counts_for_nothing():
    one, now = stream("a", relays=RELAYS[:1])
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "x", 5, UP]], complete={"a": 5}))
    one.stream_ended(now, "cut")
    one.next(one.wake_at())
    follows(one, now, "d", 3)
    one.receive_line(now, line(snapshot="a"))
    one.receive_line(now, line(changes=[["a", "x", 2, OUT]]))
    one.stream_ended(now, "cut")
    assert body(one.next(one.wake_at()))["scopes"] == {"a": 5}
    follows(one, now)
    assert one.receive_line(now, line(changes=[["a", "x", 6, OUT]])) == [("a", "x", OUT)]


def test_the_same_record_of_a_cluster_formed_anew_is_not_put_in_force_again():
    one, now = stream("a", relays=RELAYS[:1])
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "x", 5, UP], ["a", "y", 5, UP]], complete={"a": 5}))
    one.stream_ended(now, "cut")
    one.next(one.wake_at())
    follows(one, now, "d", 3)
    one.receive_line(now, line(snapshot="a"))
    told = line(changes=[["a", "x", 2, UP], ["a", "y", 1, OUT]], complete={"a": 3})
    assert one.receive_line(now, told) == [("a", "y", OUT)]
    assert one.records["a"] == {"x": (2, UP), "y": (1, OUT)}


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
        b'{"changes":[["a","j",6,{"x":"%b"}]]}' % (b"y" * LINE),
    ],
)
def test_a_line_that_is_none_is_unreadable_and_changes_nothing(data):
    one, now = stream("a")
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "k", 4, UP]], complete={"a": 4}))
    before, heard = state_of(one), one.heard_at
    with pytest.raises(Unreadable) as error:
        one.receive_line(now + SECOND, data)
    assert error.value.do and 0 < len(str(error.value)) < 400
    assert state_of(one) == before and one.heard_at == heard and one.silent_ns(now + SECOND) == SECOND
    assert one.receive_line(now, line(changes=[["a", "k", 5, OUT]], n=3)) == [("a", "k", OUT)]


def state_of(one):
    """All that may not change by what was not heeded."""
    told = {scope: (sorted(one.told), one.staged) for scope, one in one.snapshots.items()}
    tables = one.records, one.past, one.early, one.complete, one.refused, one.cluster, one.teller, one.lines
    return repr((tables, told, sorted(one.foreign), sorted(one.unsaid), list(one.gone)))


def test_nothing_counts_before_the_cluster_is_named():
    one, now = stream("a")
    for data in (line(changes=[["a", "k", 4, UP]]), line(complete={"a": 1}), line(snapshot="a")):
        with pytest.raises(Unreadable, match="before the one that names"):
            one.receive_line(now, data)
    one.stream_ended(now, "unreadable")
    with pytest.raises(Unreadable, match="no stream stands"):
        follows(one, now)


def test_an_empty_line_is_a_sign_of_life():
    one, now = stream("a")
    assert one.receive_line(now + SECOND, b"\n") == one.receive_line(now + SECOND, b"") == []
    assert one.silent_ns(now + 3 * SECOND) == 2 * SECOND


def told_lines():
    """Lines that an outbox made, from first to last."""
    held = made(index=10, a={f"k{n}": (1, {**UP, "at": f"10.0.0.{n}"}) for n in range(30)}, b={})
    box = Outbox(0, held, {"a": 0, "b": 0}, 8000, BURST)
    found = lines(box)
    held.apply(11, [("a", "k3", OUT), ("b", "k", {"text": '\u00e4\n\\"'})])
    return found + lines(box, 2 * HOUR)


LINES = told_lines()


@PLAY
@given(some.integers(0, len(LINES) - 1), some.data())
def test_a_line_garbled_on_its_way_is_unreadable(place, data):
    """Cut short, with bytes flipped, with bytes put in, told twice or out of order."""
    one, now = stream("a", "b")
    for good in LINES[:place]:
        one.receive_line(now, good)
    before, whole = state_of(one), LINES[place]
    how = data.draw(some.sampled_from(["cut", "flip", "flips", "more", "twice", "skip"]))
    if how == "cut":
        bad = whole[: data.draw(some.integers(1, len(whole) - 2))]
    elif how == "flip":
        at = data.draw(some.integers(0, len(whole) - 2))
        bad = whole[:at] + bytes([whole[at] ^ 1 << data.draw(some.integers(0, 7))]) + whole[at + 1 :]
    elif how == "flips":
        bad = bytearray(whole)
        places, bits = some.integers(0, len(whole) - 2), some.integers(1, 255)
        for at, flipped in data.draw(some.dictionaries(places, bits, min_size=2, max_size=9)).items():
            bad[at] ^= flipped
        bad = bytes(bad)
    elif how == "more":
        at = data.draw(some.integers(0, len(whole) - 2))
        bad = whole[:at] + data.draw(some.binary(min_size=1, max_size=9)) + whole[at:]
    elif how == "twice":
        bad = LINES[data.draw(some.integers(0, max(place - 1, 0)))] if place else LINES[1]
    else:
        bad = LINES[place + 1] if place + 1 < len(LINES) else LINES[0]
    if bad.strip() != whole.strip() and bad.strip():
        with pytest.raises(Unreadable):
            one.receive_line(now, bad)
    assert state_of(one) == before
    for good in LINES[place:]:
        one.receive_line(now, good)
    assert len(one.records["a"]) == 30 and one.records["a"]["k3"] == (11, OUT) and one.complete["a"] == 11


FIELDS = some.sampled_from(["changes", "complete", "snapshot", "cluster", "at", "n", "check", "a"])
PLAIN = some.none() | some.booleans() | some.integers() | some.floats(allow_nan=False) | some.text(max_size=5)
ANYTHING = some.recursive(
    PLAIN | FIELDS,
    lambda inner: some.lists(inner, max_size=4) | some.dictionaries(FIELDS, inner, max_size=4),
    max_leaves=12,
)


@PLAY
@given(some.binary(max_size=300) | ANYTHING.map(lambda value: json.dumps(value).encode()))
def test_whatever_comes_is_a_line_or_unreadable(data):
    one, now = stream("a")
    follows(one, now)
    before = state_of(one)
    try:
        one.receive_line(now, data)
    except Unreadable:
        assert state_of(one) == before


def test_a_record_refused_stays_on_the_one_before_and_is_told_by_name():
    one, now = stream("a")
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "k", 5, UP]], complete={"a": 5}))
    bad = {"state": 7}
    assert one.receive_line(now, line(changes=[["a", "k", 8, bad], ["a", "new", 8, bad]], complete={"a": 8}))
    one.refuse("a", "k", 7, "of another index")
    assert one.records["a"]["k"] == (8, bad)
    one.refuse("a", "k", 8, "state: 7; expected a text")
    one.refuse("a", "new", 8, "x" * 1000)
    assert one.records["a"] == {"k": (5, UP)}
    told = body(one.next(now + SECOND))
    assert told["complete"] == {"a": 8}
    assert told["refused"] == [["a", "k", 8, "state: 7; expected a text"], ["a", "new", 8, "x" * 300]]
    one.receive_line(now, line(complete={"a": 8}))
    assert one.receive_line(now, line(changes=[["a", "k", 8, bad], ["a", "new", 8, bad]])) == []  # told again
    assert one.receive_line(now, line(changes=[["a", "k", 7, OUT]])) == []
    one.stream_ended(now, "cut")
    now = one.wake_at()
    one.next(now)
    follows(one, now)
    assert len(body(one.next(now))["refused"]) == 2  # the next relay is told, too, at once
    assert one.receive_line(now, line(changes=[["a", "k", 9, OUT]], complete={"a": 9})) == [("a", "k", OUT)]
    one.receive_line(now, line(snapshot="a"))
    one.receive_line(now, line(changes=[["a", "k", 9, OUT]], complete={"a": 10}))
    assert body(one.next(one.wake_at()))["refused"] == [] and one.past["a"] == {}


def test_a_record_that_cant_be_dropped_is_in_force_still_and_told_by_name():
    one, now = stream("a")
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "k", 5, UP], ["a", "j", 5, UP]], complete={"a": 5}))
    one.receive_line(now, line(changes=[["a", "k", 8, None]], complete={"a": 8}))
    one.refuse("a", "k", 8, "fault")
    one.refuse("a", "j", 5, "not of this line")
    one.refuse("a", "other", 8, "never told")
    assert one.records["a"] == {"k": (5, UP), "j": (5, UP)}
    assert body(one.next(now + SECOND))["refused"] == [["a", "k", 8, "fault"]]
    assert one.receive_line(now, line(changes=[["a", "k", 7, OUT], ["a", "k2", 7, UP]])) == []
    assert one.receive_line(now, line(changes=[["a", "k", 9, None]])) == [("a", "k", None)]
    assert body(one.next(now + 2 * SECOND))["refused"] == []


def test_of_what_is_refused_past_the_most_nothing_is_said_to_be_in_force(monkeypatch):
    monkeypatch.setattr(subscriber, "MOST_REFUSED", 2)
    one, now = stream("a", "b")
    follows(one, now)
    told = [[scope, f"k{n}", 5 + n, {}] for n in range(3) for scope in "ab"]
    one.receive_line(now, line(changes=told, complete={"a": 9, "b": 9}))
    for key in ("k0", "k1", "k2"):
        one.refuse("a", key, 5 + int(key[1]), "no")
    told = body(one.next(now + SECOND))
    assert [key for _, key, _, _ in told["refused"]] == ["k0", "k1"] and told["complete"] == {"a": 6, "b": 9}


def test_what_was_refused_before_another_cluster_goes_by_that_ones_indexes():
    one, now = stream("a", relays=RELAYS[:1])
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "k", 500, UP]], complete={"a": 500}))
    one.stream_ended(now, "cut")
    one.next(one.wake_at())
    follows(one, now, "d", 3)
    one.receive_line(now, line(snapshot="a"))
    one.receive_line(now, line(changes=[["a", "k", 2, {"state": 7}]], complete={"a": 3}))
    one.refuse("a", "k", 2, "no")
    assert one.records["a"]["k"][1] == UP
    assert one.receive_line(now, line(changes=[["a", "k", 4, OUT]])) == [("a", "k", OUT)]


def test_it_acknowledges_at_most_once_a_second_what_is_in_force_by_then():
    one, now = stream("a", "b")
    assert one.next(now + HOUR) is None  # nothing was told yet
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "k", 5, UP]], complete={"a": 5}))
    first = one.next(now)
    assert type(first) is Acknowledge and body(first)["complete"] == {"a": 5}
    one.acknowledgement_ended(now, True)
    for index in range(6, 20):
        one.receive_line(now, line(complete={"a": index, "b": index}))
        assert one.next(now + SECOND - 1) is None
    assert one.wake_at() == now + SECOND
    assert body(one.next(now + SECOND))["complete"] == {"a": 19, "b": 19}
    assert one.next(now + SECOND) is None
    one.acknowledgement_ended(now + SECOND, False)  # it did not get there
    assert body(one.next(now + 2 * SECOND))["complete"] == {"a": 19, "b": 19}
    one.acknowledgement_ended(now + 2 * SECOND, True)
    one.receive_line(now, line(complete={"a": 19}))  # nothing new
    assert one.wake_at() == now + 5 * SECOND and one.next(now + 5 * SECOND - 1) is None
    assert body(one.next(now + 5 * SECOND))["complete"] == {}  # a sign of life


def test_a_gateway_that_is_cut_off_goes_on_with_what_it_has():
    one, now = stream("a")
    follows(one, now)
    one.receive_line(now, line(changes=[["a", "k", 5, UP]], complete={"a": 5}))
    heard = now
    for _ in range(50):
        one.stream_ended(now, "no connection")
        now = one.wake_at()
        assert type(one.next(now)) is Subscribe
    assert one.records["a"] == {"k": (5, UP)} and one.complete == {"a": 5}
    assert one.silent_ns(now) == now - heard > 50 * SECOND


SEVERAL = [(f"n{n}", "r1", f"127.0.0.1:{n}") for n in (1, 2)] + [
    (f"f{n}", "r2", f"127.0.0.1:{n}") for n in range(3, 7)
]


def test_relays_of_its_region_are_tried_first_and_each_once_a_round():
    firsts = set()
    for seed in range(200):
        one, now = stream("a", seed=seed, relays=SEVERAL)
        tried = [one.relay[0]]
        for _ in range(11):
            one.stream_ended(now, "no")
            now = one.wake_at()
            assert type(one.next(now)) is Subscribe
            tried.append(one.relay[0])
        for start in (0, 6):
            assert set(tried[start : start + 2]) == {"n1", "n2"} and len(set(tried[start : start + 6])) == 6
        firsts.add((tried[0], tried[2]))
    assert len(firsts) == 8  # spread over all


def test_gateways_that_start_or_lose_their_relay_at_once_come_back_spread():
    ones = [Subscriber(f"g{n}", "r1", ["a"], SEVERAL, n) for n in range(1000)]
    for one in ones:
        assert one.next(0) is None
    assert busiest(ones) < 200 and max(one.wake_at() for one in ones) <= subscriber.FIRST
    for one in ones:
        one.next(one.wake_at())
        follows(one, SECOND)
        one.stream_ended(HOUR, "lost")
    assert busiest(ones) < 200
    for _ in range(2 * len(SEVERAL)):  # two rounds
        most = max(one.wake_at() for one in ones)
        for one in ones:
            one.next(most)
            one.stream_ended(most, "lost")
        assert busiest(ones) < 200
    assert busiest(ones) < 60


def busiest(ones):
    """The most that come within a tenth of a second."""
    slots = {}
    for one in ones:
        slots[one.wake_at() // (100 * MS)] = slots.get(one.wake_at() // (100 * MS), 0) + 1
    return max(slots.values())


def test_waits_grow_to_a_bound_and_begin_anew_after_a_steady_stream():
    one, now = stream("a")
    waits = []
    for _ in range(200):
        one.stream_ended(now, "no")
        waits.append(one.wake_at() - now)
        assert one.next(one.wake_at() - 1) is None
        now = one.wake_at()
        one.next(now)
    assert max(waits[0::2]) <= subscriber.SHORTEST  # within a round of two relays
    assert waits[1] <= subscriber.SHORTEST and min(waits) >= subscriber.SHORTEST // 10
    assert subscriber.LONGEST // 2 < max(waits) <= subscriber.LONGEST
    follows(one, now)
    one.stream_ended(now + subscriber.STEADY - 1, "short")
    assert one.length == subscriber.LONGEST
    now = one.wake_at()
    one.next(now)
    follows(one, now)
    one.stream_ended(now + subscriber.STEADY, "lost")
    assert one.wake_at() - now - subscriber.STEADY <= subscriber.SHORTEST
    one.stream_ended(now + HOUR, "once more")  # of a stream that is none
    assert one.wake_at() < now + HOUR
    one.next(one.wake_at())
    assert one.relay[1] == "r1"


def test_a_relay_that_takes_and_drops_each_stream_is_not_asked_for_ever():
    one, now = stream("a")
    assert one.relay[0] == "near"
    follows(one, now)
    one.receive_line(now, line(complete={"a": 5}))
    one.stream_ended(now + SECOND, "dropped")
    one.next(one.wake_at())
    assert one.relay[0] == "far"


def test_it_looks_whether_its_regions_relay_is_back_more_and_more_seldom():
    one, now = stream("a")
    one.stream_ended(now, "no")
    now = one.wake_at()
    one.next(now)
    waits = []
    for _ in range(8):
        assert one.relay[0] == "far"
        follows(one, now)
        while type(one.next(at := one.wake_at())) is Acknowledge:
            pass
        waits.append(at - now)
        now = at
        assert one.relay[0] == "near"
        one.stream_ended(now, "still gone")
        now = one.wake_at()
        one.next(now)
    for place, wait in enumerate(waits):
        most = min(subscriber.HOME << place, subscriber.LONGEST_HOME)
        assert most // 2 <= wait <= most
    one.next(one.home_at)
    follows(one, now)
    one.stream_ended(now + subscriber.STEADY, "lost")
    assert one.home == subscriber.HOME
    one.next(one.wake_at())
    one.receive_line(now, line(cluster="c", at=10))
    assert one.relay[0] == "near" and one.home_at == subscriber.NEVER


def test_a_change_of_scopes_costs_what_it_adds():
    one, now = stream("a", "b")
    follows(one, now)
    told = [["a", "k", 5, UP], ["b", "k", 5, UP], ["b", "j", 5, UP]]
    one.receive_line(now, line(changes=told, complete={"a": 5, "b": 5}))
    one.refuse("b", "j", 5, "no")
    with pytest.raises(Unusable):
        one.change_scopes(now, ["a b"])
    relay = one.relay
    assert one.change_scopes(now, ["c", "a"]) == [("b", "k", None)]
    asked = one.next(now)
    assert one.relay == relay and body(asked)["scopes"] == {"a": 5, "c": 0}
    follows(one, now)
    with pytest.raises(Unreadable, match="scope 'b' was not asked for"):
        one.receive_line(now, line(changes=[["b", "k", 6, UP]]))
    assert one.receive_line(now, line(changes=[["c", "k", 6, UP]], complete={"c": 6}))
    assert body(one.next(now + SECOND))["refused"] == []
    assert one.records.keys() == one.past.keys() == one.early.keys() == one.complete.keys() == {"a", "c"}


# ---- from the ledger to a gateway, in any order


class Path:
    """A ledger, two relays that follow it at their own pace, one gateway, and a judge that knows only what
    was committed and what the gateway was told to put in force. `pad`: bytes by which records are longer."""

    def __init__(self, kept, pad):
        self.kept, self.pad, self.now = kept, "x" * pad, 0
        self.cluster = "c"
        self.entries = {"c": [], "d": []}  # entry: [(scope, key, record)]
        self.words = {"c": {}, "d": {}}  # (scope, key): [(index, record)]
        self.relays = {relay[2]: Store("", kept) for relay in RELAYS}
        self.one = Subscriber("g1", "r1", NAMES, RELAYS, 1)
        self.box = self.address = None
        self.told, self.base = {}, {}  # by this stream: (scope, key): index; how far each scope was had
        self.force, self.low = {}, {}  # (scope, key): record; the least index that it may be of
        self.elsewhere = set()  # relays asked since its own cluster was told
        self.of = dict.fromkeys(NAMES, "")  # scope: the cluster whose state it is

    # what happens

    def change(self, changes):
        index, entry = len(self.entries[self.cluster]) + 1, {}
        for scope, key, record in changes:
            stamp = {"stamp": f"{self.cluster}{index}", "pad": self.pad}
            entry[scope, key] = None if record is None else {**record, **stamp}
        for at, record in entry.items():
            self.words[self.cluster].setdefault(at, [(0, None)]).append((index, record))
        self.entries[self.cluster].append([(*at, record) for at, record in entry.items()])

    def anew(self):
        """The ledger is formed anew; relays that stand still tell of the one before."""
        self.cluster = "d"

    def follow(self, address, count):
        held = self.relays[address]
        if not held.index:
            return self.whole(address, 0)
        entries = self.entries[held.cluster]
        for index in range(held.index + 1, min(held.index + count, len(entries)) + 1):
            held.apply(index, entries[index - 1])

    def whole(self, address, back):
        """By the whole state as of some entry, of a member that may lag."""
        held, index, scopes = self.relays[address], len(self.entries[self.cluster]) - back, {}
        for (scope, key), words in self.words[self.cluster].items():
            at, record = [word for word in words if word[0] <= max(index, 0)][-1]
            if record is not None:
                scopes.setdefault(scope, {})[key] = at, record
        if index > (held.index if held.cluster == self.cluster else 0):
            held.replace(self.cluster, index, scopes)

    def restart(self, address, back):
        self.relays[address] = Store("", self.kept)
        if self.address == address:
            self.cut()
        self.whole(address, back)

    def cut(self):
        self.one.stream_ended(self.now, "cut")
        self.box = self.address = None

    def rescope(self, scopes):
        gone = {at for at, record in self.force.items() if record and at[0] not in scopes}
        found = self.one.change_scopes(self.now, scopes)
        assert len(found) == len(gone) and {(scope, key) for scope, key, _ in found} == gone
        self.force = {at: record for at, record in self.force.items() if at[0] in scopes}
        self.low = {at: index for at, index in self.low.items() if at[1] in scopes}
        self.of |= dict.fromkeys(set(NAMES) - set(scopes), "")
        self.box = self.address = None

    def connect(self):
        if self.box is not None:
            return
        while (asked := self.one.next(self.now)) is None:
            self.now = max(self.now, self.one.wake_at())
        asked = records.parse_body(asked.body, Subscription)
        self.address = self.one.relay[2]
        self.elsewhere.add(self.address)
        held = self.relays[self.address]
        if not held.index:
            return self.cut()
        self.box = Outbox(self.now, held, asked.scopes, 8000, BURST, asked.cluster)
        self.told = {}
        self.base = asked.scopes if asked.cluster == held.cluster else dict.fromkeys(asked.scopes, 0)

    def garble(self, place, bits):
        """A line that is spoiled on its way."""
        data = self.box.next(self.now) if self.box is not None else None
        if data is not None:
            place %= len(data) - 1
            bad = data[:place] + bytes([data[place] ^ bits]) + data[place + 1 :]
            before = state_of(self.one)
            with pytest.raises(Unreadable):
                self.one.receive_line(self.now, bad)
            assert state_of(self.one) == before
            self.cut()

    def tell(self, count, wait):
        self.now += wait
        for _ in range(count):
            data = self.box.next(self.now) if self.box is not None else None
            if data is None:
                return False
            if not self.heard(data):
                self.cut()
        return True

    def heard(self, data):
        """False where the gateway ends the stream: it has left that cluster."""
        line = parsed(data)
        if "cluster" in line:
            if line["cluster"] != self.one.cluster and "n" in line and line["n"] > 1:
                self.base = dict.fromkeys(self.base, 0)
            if self.refuses(line["cluster"]):
                with pytest.raises(Unreadable, match="was left for|others are asked first"):
                    self.one.receive_line(self.now, data)
                return False
            if self.one.cluster in ("", line["cluster"]):
                self.elsewhere = set()
            self.told = {}
        self.told |= {(scope, key): index for scope, key, index, _ in line.get("changes", ())}
        if any(urgency(record) != DRAIN for _, _, _, record in line.get("changes", ())):
            self.no_drain_waits()
        self.base |= line.get("complete", {})
        for scope, key, record in self.one.receive_line(self.now, data):
            self.force[scope, key] = record
        self.judge()
        return True

    def refuses(self, cluster):
        """One that it left, or another than its own before all relays were asked for that one in vain."""
        left = cluster == "c" and "d" in self.of.values()
        return left or self.one.cluster not in ("", cluster) and len(self.elsewhere) < len(RELAYS)

    # what has to hold

    def no_drain_waits(self):
        """Whatever of the store drains or is gone was told before, or is in this line, which has more."""
        held = self.relays[self.address]
        for scope, base in self.base.items():
            if base <= held.index:
                words = held.snapshot(scope)
                words += [word for word in held.since(scope, base) or () if word[2] is None]
                for key, index, record in words:
                    known = max(base, self.told.get((scope, key), 0))
                    assert urgency(record) != DRAIN or known >= index, (scope, key, index)

    def judge(self):
        """Nothing in force that was never committed, nothing back, all of a scope as of its `complete`."""
        for scope in self.one.records:
            of = "c" if scope in self.one.foreign else self.one.cluster
            assert of >= self.of[scope]
            self.of[scope] = of
            complete = 0 if scope in self.one.foreign else self.one.complete[scope]
            words = {key: words for (at, key), words in self.words.get(of, {}).items() if at == scope}
            force = {key: record for (at, key), record in self.force.items() if at == scope and record}
            assert force == {key: record for key, (_, record) in self.one.records[scope].items()}
            assert force.keys() <= words.keys()
            for key, versions in words.items():
                least = max(self.low.get((of, scope, key), 0), complete)
                spans = zip(versions, [*(index for index, _ in versions[1:]), 1 << 62], strict=True)
                fits = [
                    max(index, least) for (index, record), end in spans
                    if record == force.get(key) and end > least
                ]  # fmt: skip
                assert fits, (scope, key, force.get(key), least, versions)
                self.low[of, scope, key] = fits[0]

    def settle(self):
        """In the end all relays have all, and so has the gateway."""
        for address in self.relays:
            if self.relays[address].cluster == self.cluster:
                self.follow(address, len(self.entries[self.cluster]))
            else:
                self.whole(address, 0)
        self.rescope(NAMES)
        for _ in range(10_000):
            self.connect()
            self.now += 40 * SECOND
            if not self.tell(1, 0) and self.box is not None:
                break
        newest = {at: words[-1][1] for at, words in self.words[self.cluster].items() if words[-1][1]}
        assert {at: record for at, record in self.force.items() if record} == newest
        assert set(self.one.complete.values()) == {len(self.entries[self.cluster])}
        assert self.one.cluster == self.cluster and not self.one.foreign and not self.one.refused
        assert not any(self.one.past.values()) and not any(self.one.early.values())
        assert all(not position.ahead for position in self.box.positions.values())


ADDRESS = some.sampled_from([relay[2] for relay in RELAYS])
HAPPENS = some.one_of(
    some.tuples(some.just("change"), some.lists(CHANGE, min_size=1, max_size=5)),
    some.tuples(some.just("change"), some.lists(CHANGE, min_size=1, max_size=5)),
    some.tuples(some.just("follow"), ADDRESS, some.integers(1, 9)),
    some.tuples(some.just("whole"), ADDRESS, some.integers(0, 2)),
    some.tuples(some.just("restart"), ADDRESS, some.integers(0, 6)),
    some.tuples(some.just("connect")),
    some.tuples(some.just("tell"), some.integers(1, 6), some.integers(0, SECOND)),
    some.tuples(some.just("tell"), some.integers(1, 6), some.integers(0, 60 * SECOND)),
    some.tuples(some.just("rescope"), some.sets(some.sampled_from(NAMES)).map(sorted)),
    some.tuples(some.just("garble"), some.integers(0, LINE), some.integers(1, 255)),
    some.tuples(some.just("cut")),
)
KEPT, PAD = some.sampled_from([0, 3, 8, 1000]), some.sampled_from([0, 4000])


@settings(max_examples=250, deadline=None, suppress_health_check=list(HealthCheck))
@given(some.lists(HAPPENS, max_size=60), some.lists(HAPPENS, max_size=30), some.booleans(), KEPT, PAD)
def test_a_gateway_ends_with_what_was_committed_and_never_goes_back(before, after, formed_anew, kept, pad):
    path = Path(kept, pad)
    for kind, *how in before:
        getattr(path, kind)(*how)
    if formed_anew:
        path.anew()
    for kind, *how in after:
        getattr(path, kind)(*how)
    path.change([("a", "k0", UP)])
    path.settle()


@pytest.mark.parametrize("seed", range(40))
def test_on_long_ways_too_a_gateway_never_goes_back(seed):
    """The same, 600 steps each, with more that is told than what happens."""
    chance = random.Random(seed)
    path = Path(chance.choice([0, 3, 8, 20, 1000]), chance.choice([0, 1500, 4000]))
    addresses = list(path.relays)
    for step in range(600):
        if step == 400 and seed % 2:
            path.anew()
        kind = chance.choices(
            ["change", "follow", "whole", "restart", "connect", "tell", "garble", "cut", "rescope"],
            [30, 20, 2, 1, 10, 40, 1, 4, 1],
        )[0]  # fmt: skip
        if kind == "change":
            some_of = [(chance.choice(NAMES), chance.choice(KEYS), chance.choice(RECORDS)) for _ in range(3)]
            path.change(some_of)
        elif kind == "follow":
            path.follow(chance.choice(addresses), chance.randint(1, 9))
        elif kind in ("whole", "restart"):
            getattr(path, kind)(chance.choice(addresses), chance.randint(0, 5))
        elif kind == "tell":
            path.tell(chance.randint(1, 4), chance.randint(0, 2 * SECOND))
        elif kind == "rescope":
            path.rescope([scope for scope in NAMES if chance.random() < 0.8])
        elif kind == "garble":
            path.garble(chance.randrange(LINE), chance.randint(1, 255))
        else:
            getattr(path, kind)()
    path.change([("a", "k0", UP)])
    path.settle()
    assert path.one.counts["streams"] > 5 and path.one.counts["changes"] > 50
