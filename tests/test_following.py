"""Gateways that follow a ledger: the merge of two words, the polling through members, the thread."""

import json
import subprocess
import sys
import zlib
from dataclasses import replace
from types import SimpleNamespace

import pytest
from helpers import MS, NOW
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as some

from lemonlead import interface as at
from lemonlead.following import ledger_polling as polling
from lemonlead.following import driver, responses
from lemonlead.following.ledger_polling import EVENTS, FOLLOW, STATE, UNFOLLOW, LedgerPolling
from lemonlead.following.faults import Unreadable, Unusable
from lemonlead.following.merge import Merge
from lemonlead.following.responses import LedgerUpdate
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.thread_pool import ThreadPool
from lemonlead.gateway.dispatcher import Dispatcher
from lemonlead.gateway.discovery import Discovery
from lemonlead.gateway.instances import Instances
from lemonlead.gateway import config as configs
from lemonlead.standins.clients import Crowd
from lemonlead.standins.fleet import SETTINGS, gateway
from lemonlead.standins.instances import InstanceServer
from lemonlead.standins import followed
from lemonlead.standins.members import Cluster
from lemonlead.standins.nodes import Agent, Members, Node, Replicas
from lemonlead.standins.server import until
from lemonlead.standins.wires import Wires
from lemonlead.start_settings import start_from_settings as started_by

NAMES = ("i0", "i1", "i2")


def line(id="i0", state=at.READY, started=0):
    return at.Instance(id, 0, 0, 1, 0, state, 1.0, started)


def listed(merge, *lines, whole=False):
    return told(merge.listed(list(lines), {one.id: (("127.0.0.1", 1), one.started) for one in lines}, whole))


def told(answer):
    """id: (state, started) as the balancer is told; the address goes with the state."""
    lines, addresses = answer
    assert all((addresses[one.id][0] is not None) == (one.state == at.READY) for one in lines)
    return {one.id: (one.state, one.started) for one in lines}


def node(name="i0", state="serving", out="", warm=0):
    return "nodes", name, {"site": "s", "units": 1, "state": state, "out": out, "warm": warm}


def heard(merge, index, *changes, moment=0, seen=NOW, whole=()):
    return told(merge.apply_update(seen, LedgerUpdate(index, list(changes), whole, moment)))


# ---- the merge of two words


@pytest.mark.parametrize(
    "change, state",
    [
        (node(out="d1"), at.DRAINING),
        (("permits", "i0", {"drain": "d1"}), at.DRAINING),
        (node(state="drained"), at.GONE),
        (node(state="failed", out="d1"), at.GONE),
        (node(state="a word of a later version"), at.GONE),
        (node(state="catching_up"), at.READY),
        (node(), at.READY),
    ],
)
def test_an_instance_gets_attempts_only_where_the_ledger_lets_it(change, state):
    merge = Merge()
    listed(merge, line(), line("i1"), whole=True)
    news = heard(merge, 5, change)
    assert news == ({} if state == at.READY else {"i0": (state, 0)})
    assert listed(merge, line(), line("i1"), whole=True) == {"i0": (state, 0), "i1": (at.READY, 0)}


@pytest.mark.parametrize("state", [at.DRAINING, at.GONE])
def test_discovery_that_drains_always_wins(state):
    merge = Merge()
    listed(merge, line(), whole=True)
    heard(merge, 5, node(out="d1"))
    assert listed(merge, line(state=state)) == {"i0": (state, 0)}
    assert heard(merge, 6, node()) == {}


def test_a_permit_taken_back_gives_the_instance_back_as_it_was():
    merge = Merge()
    listed(merge, line(started=7), whole=True)
    heard(merge, 5, node(out="d1"), ("permits", "i0", {}))
    assert heard(merge, 6, node(out="")) == {}
    assert heard(merge, 7, ("permits", "i0", None)) == {"i0": (at.READY, 7)}


def test_a_node_that_came_back_is_listed_as_started_then():
    merge = Merge()
    listed(merge, line(started=7), whole=True)
    heard(merge, 5, node(state="drained", out="d1"))
    assert heard(merge, 6, node(state="catching_up", warm=100)) == {"i0": (at.READY, NOW)}
    assert heard(merge, 7, node(warm=100), seen=NOW + MS) == {}
    assert listed(merge, line(started=7)) == {"i0": (at.READY, NOW)}
    assert listed(merge, line(started=NOW + 1)) == {"i0": (at.READY, NOW + 1)}


@pytest.mark.parametrize("moment, started", [(99, NOW), (100, 7), (None, 7)])
def test_at_a_start_a_node_is_cold_where_the_ledgers_time_says_so(moment, started):
    merge = Merge()
    listed(merge, line(started=7), whole=True)
    heard(merge, 5, node(warm=100), moment=moment, whole=("nodes",))
    assert listed(merge, line(started=7)) == {"i0": (at.READY, started)}


def test_a_return_that_was_only_seen_in_a_whole_state_is_seen():
    merge = Merge()
    listed(merge, line(), line("i1"), whole=True)
    heard(merge, 5, node(out="d1", warm=50), node("i1", warm=60), moment=70, whole=("nodes", "permits"))
    back = heard(merge, 90, node(warm=200), node("i1", warm=60), moment=None, whole=("nodes", "permits"))
    assert back == {"i0": (at.READY, NOW)}


def test_news_older_than_what_is_known_change_nothing():
    merge = Merge()
    listed(merge, line(), whole=True)
    heard(merge, 5, node(out="d1"))
    assert merge.apply_update(NOW, LedgerUpdate(4, [node()], ("nodes", "permits"), 0)) is None
    assert listed(merge, line()) == {"i0": (at.DRAINING, 0)}


STATES = some.sampled_from(["serving", "catching_up", "drained", "failed"])
ENTRY = some.one_of(
    some.tuples(some.just("nodes"), some.sampled_from(NAMES), STATES, some.booleans()),
    some.tuples(some.just("permits"), some.sampled_from(NAMES), some.booleans(), some.none()),
)
LIST = some.dictionaries(some.sampled_from(NAMES), some.sampled_from([at.READY, at.DRAINING, at.GONE]))
STEP = some.one_of(
    some.tuples(some.just("list"), LIST, some.booleans()),
    some.tuples(some.just("events"), some.integers(-3, 12), some.none()),
    some.tuples(some.just("whole"), some.integers(-3, 12), some.none()),
)


@settings(max_examples=100, deadline=None)
@given(some.lists(ENTRY, max_size=12), some.lists(STEP, max_size=14))
def test_no_interleaving_of_the_two_words_gives_back_what_one_of_them_has_out(entries, steps):
    """The log is drawn first; the gateway is told stretches of it, whole states of it, older ones again, and
    lists in between. What it then says is compared with a plain count from the two last words."""
    states, warm = [{}], 0
    for part, name, value, out in entries:
        after = dict(states[-1])
        row = dict(after.get(name, {"state": "serving", "out": False, "permit": False, "warm": 0}))
        if part == "permits":
            row["permit"] = value
        else:
            if row["state"] in ("drained", "failed") and value in ("serving", "catching_up"):
                row["warm"] = warm = warm + 1
            row |= {"state": value, "out": out}
        states.append({**after, name: row})
    merge, discovery, known, seen = Merge(), {}, 0, {}  # seen: the warmth and when it was seen, by name
    heard(merge, 0, whole=("nodes", "permits"))
    for number, (what, value, every) in enumerate(steps):
        moment = NOW + number
        if what == "list":
            discovery = {**({} if every else discovery), **value}
            lines = [line(id, state) for id, state in value.items()]
            assert set(listed(merge, *lines, whole=every)) == set(value)
        else:
            to = min(max(known + value, 0), len(entries))
            names = {entry[1] for entry in entries[known:to]} if what == "events" else states[to]
            changes = []
            for name, row in ((name, states[to][name]) for name in names):
                changes.append(node(name, row["state"], "d" if row["out"] else "", row["warm"]))
                changes.append(("permits", name, {} if row["permit"] else None))
            news = LedgerUpdate(to, changes, ("nodes", "permits") if what == "whole" else (), None)
            answer = merge.apply_update(moment, news)
            assert (answer is None) == (to < known)
            if answer is not None:
                known = to
                for name, row in states[to].items():
                    if row["warm"] > seen.get(name, (0, 0))[0]:
                        seen[name] = row["warm"], moment
        for name, state in discovery.items():
            row = states[known].get(name, {"state": "serving", "out": False, "permit": False})
            lets = row["state"] in ("serving", "catching_up") and not row["out"] and not row["permit"]
            if state != at.GONE:
                said = merge.merged_line(name)
                assert (said.state == at.READY) == (state == at.READY and lets)
                assert said.started == seen.get(name, (0, 0))[1]


# ---- what members answer


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b"[" * 100_000,
        b'{"at": 5}',
        b'{"at": -1, "events": []}',
        b'{"at": 5, "events": 7}',
        b'{"at": 5.0, "events": []}',
        b'{"at": true, "events": []}',
        b'{"at": 5, "events": [7]}',
        b'{"at": 5, "events": [{"index": 3, "changes": []}]}',
        b'{"at": 5, "events": [{"index": 6, "changes": []}]}',
        b'{"at": 5, "events": [{"index": 5}]}',
        b'{"at": 5, "events": [{"index": 5, "changes": [{"part": "nodes", "key": 3, "record": {}}]}]}',
        b'{"at": 5, "events": [{"index": 5, "changes": {"nodes": {}}}]}',
        b'{"at": 5, "events": [{"index": 5, "changes": [{"part": "nodes", "key": "a", "record": 7}]}]}',
        b'{"at": 5, "events": [], "moment": "x"}',
        b'{"events": [], "at": 5}',
        b'{"cluster_id": 7, "at": 5, "events": []}',
        b'{"cluster_id": "", "at": 5, "events": []}',
    ],
    ids=lambda body: body[:60].decode(),
)
def test_answers_that_cannot_be_read_are_one_error(body):
    body = body.replace(b'{"at"', b'{"cluster_id": "c1", "at"')
    with pytest.raises(Unreadable):
        responses.parse_events(responses.parse_body(body, ""), 3)


def test_events_are_read_and_what_is_not_heeded_is_passed_over():
    rows = [("nodes", "i0", {"out": "d"}), ("wants", "i0", ["d"]), ("permits", "i0", None)]
    changes = [{"part": part, "key": key, "record": record} for part, key, record in rows]
    told = {"cluster_id": "c1", "at": 9, "events": [{"index": 5, "changes": changes}]}
    news = responses.parse_events(responses.parse_body(json.dumps(told).encode(), ""), 3)
    assert (news.index, news.changes) == (9, [rows[0], rows[2]])


def test_a_body_that_is_not_what_its_check_says_is_no_answer():
    body = b'{"at": 5, "events": []}'
    responses.parse_body(body, f"{zlib.crc32(body):08x}")
    with pytest.raises(Unreadable):
        responses.parse_body(body.replace(b"5", b"7"), f"{zlib.crc32(body):08x}")


@settings(max_examples=100, deadline=None)
@given(some.data())
def test_no_answer_however_spoilt_raises_anything_else(data):
    event = {"index": 5, "changes": [{"part": "nodes", "key": "i0", "record": {"warm": 3}}]}
    body = bytearray(json.dumps({"cluster_id": "c1", "at": 5, "events": [event]}).encode())
    for where in data.draw(some.lists(some.integers(0, len(body) - 1), max_size=4)):
        body[where] = data.draw(some.integers(0, 255))
    body = bytes(body[: data.draw(some.integers(0, len(body)))])
    try:
        news = responses.parse_events(responses.parse_body(body, ""), 4)
    except Unreadable:
        return
    assert news is None or news.index >= 0


# ---- the polling


def new_polling(**members):
    return LedgerPolling("g0", "b00t", members or {"m1": "h:1", "m2": "h:2", "m3": "h:3"}, 7)


def test_it_asks_to_be_waited_for_before_it_takes_the_state_and_then_polls_from_there():
    made = new_polling()
    assert made.next(NOW).kind == FOLLOW
    made.follow_accepted(NOW, 40)
    asked = []
    while (ask := made.next(NOW)).kind == STATE:
        asked.append(ask.part)
        made.part_received(ask.part)
    made.update_applied(NOW, 41)
    parts = "nodes,permits,followers,members,moves"
    polls = f"/v1/events?after=41&gateway=g0&since=40&parts={parts}"
    assert asked == ["permits", "nodes"] and made.next(NOW).path == polls


def test_the_same_id_is_repeated_until_it_is_answered_and_never_used_again():
    made = new_polling()
    first = json.loads(made.next(NOW).body)
    made.failed(NOW)
    assert made.next(NOW) is None
    again = made.next(made.not_before)
    assert json.loads(again.body) == first and again.member != "m0"
    made.follow_accepted(NOW, 40)
    made.lease_lost()
    assert json.loads(made.next(made.not_before).body)["id"] != first["id"]


def test_waits_grow_and_are_spread_and_every_member_has_its_turn():
    made, moment, waits, tried = new_polling(), NOW, [], []
    for _ in range(12):
        tried.append(made.next(moment).member)
        made.failed(moment)
        waits.append(made.not_before - moment)
        moment = made.not_before
    assert set(tried[:3]) == {"m1", "m2", "m3"} and tried[:3] == tried[3:6]
    assert all(polling.LONGEST / 2 <= wait <= polling.LONGEST for wait in waits[7:])
    assert all(wait <= polling.SHORTEST << n for n, wait in enumerate(waits))
    assert len(set(waits)) == len(waits)


def test_it_goes_to_the_leader_at_once_but_not_in_circles_for_ever():
    made = new_polling()
    at_once = 0
    while made.next(NOW) is not None:
        made.failed(NOW, "m1" if made.member != "m1" else "m2")
        at_once += 1
    assert at_once == polling.PASSES + 1 and made.counts["passes"] == polling.PASSES


def test_a_leader_that_is_told_of_is_asked_itself_but_not_one_that_does_not_answer():
    made = new_polling()
    first = made.member
    made.failed(NOW)
    assert made.member != first
    made.update_applied(NOW, 5, first)
    assert made.member != first
    made.update_applied(NOW + polling.SHUNNED, 6, first)
    assert made.member == first


def test_an_answer_that_cannot_be_read_has_the_state_asked_for_in_parts():
    made = new_polling()
    made.follow_accepted(NOW, 40)
    made.missing_parts.clear()
    made.failed(NOW, unread=True)
    assert made.next(made.not_before).kind == STATE


def test_a_refusal_leaves_it_obeying_and_it_asks_again_later():
    made = new_polling()
    made.follow_refused(NOW)
    assert made.next(NOW).kind == STATE
    assert made.next(NOW + polling.REFUSED).kind == FOLLOW


def test_at_the_end_it_asks_not_to_be_waited_for_and_then_nothing_more():
    made = new_polling()
    made.follow_accepted(NOW, 40)
    made.failed(NOW)
    made.leave(NOW)
    assert made.next(NOW).kind == UNFOLLOW
    made.unfollowed()
    assert made.next(NOW) is None


def test_a_cluster_that_was_left_for_one_formed_anew_is_heeded_no_more():
    made = new_polling()
    assert made.check_cluster(NOW, "c1")
    made.follow_accepted(NOW, 40)
    made.missing_parts.clear()
    made.update_applied(NOW, 50)
    assert not made.check_cluster(NOW, "c2") and made.next(NOW).kind == FOLLOW
    made.follow_accepted(NOW, 3)
    assert not made.check_cluster(NOW, "c1") and made.next(NOW) is None  # as after a failure
    ask = made.next(made.not_before)
    assert (made.cluster, made.applied_index, ask.kind, made.counts["anew"]) == ("c2", 0, STATE, 1)


def test_members_that_are_learned_are_asked_too_and_bounded():
    made = new_polling(m1="h:1")
    for number in range(100):
        made.member_changed(f"n{number}", f"h:{number}")
    made.member_changed("m1", None)
    assert len(made.members) == polling.MOST_MEMBERS and made.members["m1"] == "h:1"
    made.failed(NOW)
    assert made.next(made.not_before).member == "n0"


# ---- the thread, against stand-in members


class Log(list):
    def info(self, event, **more):
        self.append((event, more))

    warning = error = info


class Ran:
    """A follower among the gateway's own parts, with no requests; `lists` has what the balancer was told."""

    def __init__(self, *addresses, wait=0, lines=("i0", "i1"), **more):
        start, zones = started_by(SETTINGS, 7, configs.now()), {"here": 0, "there": 1}
        where = SimpleNamespace(start=start, connections=8, discovery=("", 1), name="g0", kinds={})
        where.zones, where.news = zones, (1, 0, at.RELEASED, 1.0, 0)
        self.log, self.counters, self.lists = Log(), Counters(), []
        self.dispatcher = Dispatcher(start, self.log, self.counters)
        self.dispatcher.instances = Instances(where, self.dispatcher, ThreadPool(), self.log, self.counters)
        self.discovery = Discovery(where, self.dispatcher, self.log, self.counters)
        told = {"members": {f"m{n + 1}": one for n, one in enumerate(addresses)}, "wait": wait, **more}
        self.follower = driver.Follower(where, told, self.dispatcher, self.log, self.counters)
        listed = [replace(line(id), zone=int(id[0] == "f")) for id in lines]
        known = listed, {id: (("127.0.0.1", 1), 0) for id in lines}
        self.discovery.listed(configs.now(), 1, *known, True, True)
        self.dispatcher.balancer.stage_reported(configs.now(), *where.news)
        put = self.dispatcher.balancer.list_received
        self.dispatcher.balancer.list_received = lambda *told: (self.lists.append(told), put(*told))
        self.follower.start(self.discovery, *known)

    def ready(self):
        with self.dispatcher.lock:
            return sorted(self.dispatcher.balancer.instances)

    def count(self, name):
        return self.counters.read().get(name, 0)

    def faults(self):
        return [event for event in self.log if event[0] == "fault"] or self.count("ledger faults")


@pytest.fixture
def ledger():
    """A ledger of two nodes with two members that each tell of it; a network between them and the gateway."""
    ledger = followed.Ledger()
    ledger.node("i0")
    ledger.node("i1")
    ledger.servers = [followed.MemberServer(ledger, name).start() for name in ("m1", "m2")]
    ledger.wires = Wires()
    ledger.addresses = [ledger.wires.wire("g0", one.name, one.address) for one in ledger.servers]
    ledger.ran = []

    def follow(**more):
        ledger.ran.append(Ran(*ledger.addresses, **more))
        return ledger.ran[-1]

    ledger.follow = follow
    yield ledger
    for ran in ledger.ran:
        assert not ran.faults()
        ran.follower.leave(0)
    ledger.wires.close()
    for server in ledger.servers:
        server.close()


def test_what_the_ledger_has_out_is_out_when_it_is_acknowledged_and_not_later(ledger):
    ran = ledger.follow()
    ledger.acknowledged("g0", 3)
    before = ran.ready()
    ledger.acknowledged("g0", ledger.permit("i0"))
    assert before == ["i0", "i1"] and ran.ready() == ["i1"]
    with ran.dispatcher.lock:
        ran.discovery.listed(configs.now(), 9, [line("i0"), line("i1")], {}, True, True)
    assert ran.ready() == ["i1"]
    ledger.acknowledged("g0", ledger.put("permits", "i0", None))
    assert ran.ready() == ["i0", "i1"]


def test_nothing_is_acknowledged_while_the_balancer_cannot_be_told(ledger):
    ran = ledger.follow()
    ledger.acknowledged("g0", 3)
    with ran.dispatcher.lock:
        index = ledger.permit("i0")
        until(lambda: ledger.wires.passed(ran.follower.polling.member, "g0")["pieces"] > 3)
        polls = dict(ledger.polls)
    assert polls["g0"] < index
    ledger.acknowledged("g0", index)
    assert ran.ready() == ["i1"]


def test_it_asks_to_be_waited_for_first_and_starts_from_the_whole_state(ledger):
    index = ledger.permit("i1")
    ledger.forget()
    ran = ledger.follow(wait=20_000_000_000)
    assert ran.ready() == ["i0"]
    ledger.acknowledged("g0", index)
    paths = [path for server in ledger.servers for _, path in sorted(server.asked)]
    assert paths[:3] == ["/v1/commands", "/v1/state/permits", "/v1/state/nodes"]


OF = {"cluster_id": "c1"}
SPOILT = {
    "cut": lambda path, body: None,
    "half": lambda path, body: b"HTTP/1.1 200 so\r\nContent-Length: 900\r\n\r\n{",
    "no http": lambda path, body: b"#noise\r\n\r\n",
    "no json": lambda path, body: b"HTTP/1.1 200 so\r\nContent-Length: 4\r\n\r\n{]}\n",
    "flipped": lambda path, body: followed.whole(200, {**OF, "at": 99, "events": []}, spoil=True),
    "from the past": lambda path, body: followed.whole(200, {**OF, "at": 1, "events": []}),
    "an error": lambda path, body: followed.whole(500, {}),
    "too large": lambda path, body: b"HTTP/1.1 200 so\r\nTransfer-Encoding: chunked\r\n\r\n500000\r\n",
}


@pytest.mark.parametrize("spoilt", SPOILT)
def test_an_answer_that_is_spoilt_ends_the_call_and_nothing_else(ledger, spoilt):
    ran = ledger.follow()
    ledger.acknowledged("g0", 3)
    for server in ledger.servers:
        server.wrong.append(SPOILT[spoilt])
    ledger.acknowledged("g0", ledger.permit("i0"))
    until(lambda: not all(server.wrong for server in ledger.servers))
    ledger.acknowledged("g0", ledger.node("i1", out="d"))
    assert ran.ready() == []
    unseen = spoilt in ("cut", "half")  # asked anew at once: a kept connection may end at any moment
    assert bool(ran.follower.polling.counts["failures"]) != unseen


@pytest.mark.parametrize("fault", ["cut", "refuse", "reset", "short", "garble"])
def test_through_a_bad_network_it_hears_in_the_end_and_serves_on_meanwhile(ledger, fault):
    ran = ledger.follow()
    ledger.acknowledged("g0", 3)
    first = ran.follower.polling.member
    orders = {
        "short": lambda: ledger.wires.short(first, "g0", 3),
        "garble": lambda: ledger.wires.garble(first, "g0", times=3),
    }
    orders.get(fault, lambda: getattr(ledger.wires, fault)("g0", first))()
    assert ran.ready() == ["i0", "i1"]
    ledger.acknowledged("g0", ledger.permit("i0"))
    assert ran.ready() == ["i1"]
    ledger.wires.heal()


def test_one_that_hears_nothing_goes_on_with_its_last_list_and_catches_up(ledger):
    ran = ledger.follow()
    ledger.acknowledged("g0", ledger.permit("i0"))
    for server in ledger.servers:
        ledger.wires.refuse("g0", server.name)
        ledger.wires.reset("g0", server.name)
    until(lambda: ran.follower.polling.counts["failures"] >= 4)
    assert ran.ready() == ["i1"]
    ledger.put("followers", "g0", None)  # its lease ran out
    ledger.put("permits", "i0", None)
    ledger.permit("i1")
    ledger.forget()
    ledger.wires.heal()
    until(lambda: "g0" in ledger.parts["followers"] and ran.ready() == ["i0"])
    assert len([event for event in ran.log if event[0] == "ledger"]) == 2  # when it began and when it ended


@pytest.mark.parametrize("heard_of_it", [True, False])
def test_cut_off_it_holds_to_what_it_heard_and_has_the_rest_from_discovery(ledger, heard_of_it):
    ran = ledger.follow()
    ledger.acknowledged("g0", ledger.permit("i0") if heard_of_it else 3)
    assert 0 <= ran.follower.figures()["ledger unheard ms"] < 60_000
    for server in ledger.servers:
        ledger.wires.refuse("g0", server.name)
        ledger.wires.reset("g0", server.name)
    until(lambda: ran.follower.polling.counts["failures"] >= 2)
    ledger.put("followers", "g0", None)  # its lease and grace ran out: the node goes down
    ledger.node("i0", state="drained")
    with ran.dispatcher.lock:
        lines = [line("i0", started=NOW), line("i1")]
        ran.discovery.listed(configs.now(), 9, lines, {}, True, True)
    assert ran.ready() == (["i1"] if heard_of_it else ["i0", "i1"])
    figures = ran.follower.figures()
    assert figures["ledger held back"] == heard_of_it and figures["ledger unheard ms"] >= 0
    ledger.wires.heal()
    until(lambda: "g0" in ledger.parts["followers"] and ran.ready() == ["i1"])
    assert ran.count("ledger forgot") == 1


def test_how_long_nothing_was_heard_is_told():
    made = new_polling()
    before = made.silent_ms(NOW)
    made.update_applied(NOW, 5)
    made.failed(NOW + MS)
    assert (before, made.silent_ms(NOW + 12_000 * MS)) == (-1, 12_000)


def test_it_goes_to_the_leader_that_a_member_names_and_on_when_that_changes(ledger):
    ledger.leader = "m2"
    ran = ledger.follow()
    ledger.acknowledged("g0", 3)
    assert ran.follower.polling.member == "m2"
    ledger.leader = "m1"
    ledger.acknowledged("g0", ledger.permit("i0"))
    assert ran.follower.polling.member == "m1" and ran.ready() == ["i1"]


def test_one_that_the_ledger_forgot_asks_again_under_another_id(ledger):
    ran = ledger.follow()
    ledger.acknowledged("g0", 3)
    ledger.put("followers", "g0", None)
    until(lambda: "g0" in ledger.parts["followers"])
    assert ran.count("ledger forgot") == 1 and len(ledger.ids) == 2 and not ledger.counts["repeats"]


def test_an_answer_to_follow_that_is_lost_is_asked_for_with_the_same_id(ledger):
    for server in ledger.servers:
        server.wrong.append(lambda path, body: (ledger.command(json.loads(body)), None)[1])
    ledger.follow()
    ledger.acknowledged("g0", 3)
    assert len(ledger.ids) == 1 and ledger.counts["repeats"] >= 1


def test_it_leaves_after_its_last_attempt_and_is_waited_for_no_more(ledger):
    ran = ledger.follow()
    ledger.acknowledged("g0", 3)
    ran.dispatcher.instances.attempts_in_flight["an attempt"] = object()
    assert not ran.follower.leave(0) and "g0" in ledger.parts["followers"]
    ran.dispatcher.instances.attempts_in_flight.clear()
    assert ran.follower.leave(0) and "g0" not in ledger.parts["followers"]


@pytest.mark.parametrize("told", [{}, {"m1": "localhost:1"}, {"m1": "127.0.0.1"}, {"m1": "127.0.0.1:0"}])
def test_members_that_cannot_be_are_one_error(told):
    with pytest.raises(Unusable) as error:
        driver.checked({"members": told}, "g0")
    assert "follow" in error.value.do


# ---- a cluster that is formed anew


def test_a_cluster_formed_anew_is_followed_from_the_start_and_its_lower_index_heeded(ledger):
    ran = ledger.follow()
    ledger.acknowledged("g0", ledger.permit("i0"))
    before = ran.ready()
    for _ in range(5):
        ledger.permit("i0")
    ledger.form_anew()
    ledger.acknowledged("g0", ledger.permit("i1"))
    assert before == ["i1"] and ran.ready() == ["i0"] and ledger.at < 5
    assert "g0" in ledger.parts["followers"] and ran.follower.polling.counts["anew"] == 1
    assert ran.follower.figures()["ledger index"] == ledger.at


@pytest.mark.parametrize("whole, cluster, heeded", [(("nodes", "permits"), "c2", True), ((), "c2", False)])
def test_the_first_word_of_a_cluster_formed_anew_counts_where_it_is_whole(whole, cluster, heeded):
    merge = Merge()
    listed(merge, line(), whole=True)
    merge.apply_update(NOW, LedgerUpdate(9, [node(out="d1", warm=50)], ("nodes", "permits"), 60, "c1"))
    merge.apply_update(NOW, LedgerUpdate(2, [node(warm=40)], whole, 30, cluster))
    late = merge.apply_update(
        NOW, LedgerUpdate(10, [node(out="d1", warm=50)], ("nodes", "permits"), 60, "c1")
    )
    said = merge.merged_line("i0")
    assert (said.state, said.started) == ((at.READY, NOW) if heeded else (at.DRAINING, 0))
    assert (late is None, merge.cluster, merge.at) == ((True, "c2", 2) if heeded else (False, "c1", 10))


class Alone:
    """A follower without its thread and sockets: each of its calls gets the answer that a test picks."""

    def __init__(self):
        self.ledger, self.given, self.moment, self.answer = followed.Ledger(), [], NOW, None
        self.truth = {}  # (cluster, index): nodes with a permit
        where = SimpleNamespace(name="g0", start=SimpleNamespace(seed=7))
        members = {"members": {"m1": "127.0.0.1:1", "m2": "127.0.0.1:2"}}
        dispatcher = SimpleNamespace(handle=lambda function, news: function(NOW, news))
        self.follower = driver.Follower(where, members, dispatcher, Log(), Counters())
        self.follower.discovery = SimpleNamespace(publish=lambda *told: None)
        self.follower.merge.listed([line(id) for id in NAMES], {}, True)
        self.follower.exchange = lambda ask: self.answer
        self.seen()

    def seen(self):
        self.truth[self.ledger.id, self.ledger.at] = set(self.ledger.parts["permits"])

    def step(self, late=None):
        """One call, answered now, or by what another cluster than the followed one once answered to such a
        call."""
        polling, merge = self.follower.polling, self.follower.merge
        self.moment = max(self.moment, polling.not_before)
        ask = polling.next(self.moment)
        if ask.kind == EVENTS:
            assert (polling.cluster, polling.applied_index) == (merge.cluster, merge.at)
        some = [told for what, told in self.given if what == (ask.kind, ask.part)]
        some = [told for told in some if told[1]["cluster_id"] != polling.cluster]
        if late is not None and some:
            self.answer = some[late % len(some)]
        else:
            self.answer = json.loads(json.dumps(self.ledger.answer(ask.path, ask.body, wait=0)))
            self.given.append(((ask.kind, ask.part), self.answer))
            self.seen()
        before = merge.cluster, merge.at
        self.follower.make_call(ask)
        assert (len(merge.cluster), merge.at) >= (len(before[0]), before[1])
        assert merge.at < 0 or merge.permits == self.truth[merge.cluster, merge.at]
        assert not self.follower.counters.read().get("ledger faults")

    def settles(self):
        def settled():
            known = self.follower.merge.cluster, self.follower.merge.at
            return known == (self.ledger.id, self.ledger.at) == (self.follower.polling.cluster, self.polled())

        for _ in range(12):
            if settled():
                return
            self.step()
        raise AssertionError("it does not come to follow")

    def polled(self):
        return self.ledger.polls.get("g0")


ANSWERS = some.one_of(
    some.just(("answered",)),
    some.just(("answered",)),
    some.tuples(some.just("late"), some.integers(0, 50)),
    some.tuples(some.just("permit"), some.sampled_from(NAMES), some.booleans()),
    some.just(("anew",)),
    some.just(("forgets",)),
)


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(steps=some.lists(ANSWERS, max_size=40))
def test_late_answers_of_a_cluster_that_is_no_more_are_heeded_by_nobody(monkeypatch, steps):
    alone = Alone()
    monkeypatch.setattr(driver, "now", lambda: alone.moment)
    for what, *more in steps:
        match what:
            case "answered":
                alone.step()
            case "late":
                alone.step(late=more[0])
            case "permit":
                alone.ledger.put("permits", more[0], {"drain": "d"} if more[1] else None)
                alone.seen()
            case "anew":
                alone.ledger.form_anew()
                alone.seen()
            case "forgets":
                alone.ledger.forget()
    alone.settles()


# ---- whole programs


def test_a_gateway_that_follows_sends_nothing_to_a_node_that_is_out(tmp_path, ledger):
    servers = [InstanceServer().start() for _ in range(2)]
    addresses = ", ".join(f'm{n + 1}: "{one}"' for n, one in enumerate(ledger.addresses))
    with gateway(tmp_path, *servers, follow=f"follow: {{members: {{{addresses}}}, wait: 10s}}") as ran:
        crowd = Crowd(ran.port, 4, lambda client, number: client.ask() and None).start()
        ledger.acknowledged("g0", 3)
        until(lambda: all(server.got for server in servers))
        ledger.acknowledged("g0", ledger.permit("i0"))
        told = crowd.total()  # what had begun is answered long before so many more are
        until(lambda: crowd.total() > told + 100)
        before, told = len(servers[0].got), crowd.total()
        until(lambda: crowd.total() > told + 100)
        assert len(servers[0].got) == before
        counts = ran.counters()
        assert counts["ledger_held_back"] == 1 and counts["ledger_index"] >= 4
        assert crowd.stop().get("lost", 0) == crowd.counts["errors"] == crowd.counts["wrong"] == 0
        ran.process.terminate()
        assert ran.process.wait(30) == 0
        assert "g0" not in ledger.parts["followers"]


def test_all_nodes_are_drained_under_requests_and_none_gets_an_attempt_once_it_may_go_down(tmp_path):
    """A member, a gateway, nodes that obey permits: programs, but for the nodes."""
    fleet = [Node(f"i{number}") for number in range(3)]
    for node in fleet:
        node.listen("g0")
    with Cluster(tmp_path / "cluster", names=("m1",)) as cluster:
        cluster.start()
        for node in fleet:
            cluster.done(id=node.name, kind="node", node=node.name, site="s", units=10)
        cluster.done(id="r", kind="group", group="r", nodes=[node.name for node in fleet], quorum=2)
        replicas = Replicas("r", fleet, 2)
        follow = f'follow: {{members: {{m1: "{cluster.addresses["m1"]}"}}, wait: 10s}}'
        with gateway(tmp_path, *(node.ears["g0"] for node in fleet), follow=follow) as ran:
            crowd = Crowd(ran.port, 4, lambda client, number: client.ask() and None).start()
            agents = [Agent(node, Members(cluster.addresses["m1"])).start() for node in fleet]
            code, _ = cluster.done(id="d", kind="drain", drain="d", nodes=[node.name for node in fleet])
            for node in fleet:
                node.until(lambda node: node.counts["downs"] == 1 and node.state == "serving")
            until(lambda: cluster.items("m1", "drains")["d"]["phase"] == "done")
            told = crowd.total()
            until(lambda: crowd.total() > told + 50)
            counts = crowd.stop()
            for agent in agents:
                agent.stopped.set()
            assert ran.counters()["ledger_failures"] == 0
    assert code == 200 and set(counts) <= {"right", "rejected"} and counts["right"] > 50
    assert all(node.counts["attempts"] and not node.counts["after clear"] for node in fleet)
    assert (replicas.least, replicas.broken) == (2, 0)
    for node in fleet:
        node.close()


OFF = """
import sys
import lemonlead.gateway.__main__
heavy = ("lemonlead.following", "lemonlead.ledger", "msgspec", "aiohttp", "immutables", "sqlite3", "lark")
print([name for name in sys.modules if name.startswith(heavy)])
"""


def test_a_gateway_that_follows_nothing_imports_nothing_of_it():
    ran = subprocess.run([sys.executable, "-c", OFF], capture_output=True, text=True, check=True)
    assert ran.stdout.strip() == "[]"


def test_a_gateway_that_follows_imports_no_library_for_it():
    code = OFF.replace("lemonlead.gateway.__main__", "lemonlead.following.driver")
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert {name.split(".")[0] for name in json.loads(ran.stdout.replace("'", '"'))} == {"lemonlead"}


def test_members_that_the_ledger_has_no_more_are_asked_seldom_and_not_never():
    """Guards against a gateway that spends its waits on machines that were replaced long ago."""
    made = new_polling(**{name: f"h:{name}" for name in ("m1", "m2", "m3", "m4", "m5")})
    for gone in ("m1", "m2", "m3"):
        made.member_changed(gone, None)
    asked = []
    for _ in range(30):
        made.failed(made.not_before)
        asked.append(made.next(made.not_before).member)
    assert asked.count("m4") == asked.count("m5") == 10
    assert sorted(set(asked)) == ["m1", "m2", "m3", "m4", "m5"]


def test_a_gateway_asks_to_follow_for_the_service_that_it_votes_on():
    made = LedgerPolling("g0", "b00t", {"m1": "h:1"}, 7, (), "parts")
    assert json.loads(made.next(NOW).body)["services"] == ["parts"]
