"""Gateways that follow a ledger: merging discovery's list with the ledger's state, polling members, the
thread."""

import json
import subprocess
import sys
import zlib
from dataclasses import replace
from types import SimpleNamespace

import pytest
from helpers import MS, NOW
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lemonlead import interface as at
from lemonlead.following import driver, ledger_polling, responses
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
from lemonlead.standins.clients import RepeatingClients
from lemonlead.standins.fleet import SETTINGS, gateway
from lemonlead.standins.instances import InstanceServer
from lemonlead.standins import fake_ledger
from lemonlead.standins.members import Cluster
from lemonlead.standins.nodes import Agent, MemberClient, Node, GroupMonitor
from lemonlead.standins.server import until
from lemonlead.standins.wires import Wires
from lemonlead.start_settings import start_from_settings as started_by

NAMES = ("i0", "i1", "i2")


def line(id="i0", state=at.READY, started=0):
    return at.Instance(id, 0, 0, 1, 0, state, 1.0, started)


def list_instances(merge, *lines, whole=False):
    return shown(
        merge.listed(list(lines), {item.id: (("127.0.0.1", 1), item.started) for item in lines}, whole)
    )


def shown(answer):
    """Returns (state, started) by id as the balancer receives them. A ready line has an address, others have
    none."""
    lines, addresses = answer
    assert all((addresses[item.id][0] is not None) == (item.state == at.READY) for item in lines)
    return {item.id: (item.state, item.started) for item in lines}


def node(name="i0", state="serving", out="", warm=0):
    return "nodes", name, {"site": "s", "units": 1, "state": state, "out": out, "warm": warm}


def apply_update(merge, index, *changes, ledger_time=0, now=NOW, whole=()):
    return shown(merge.apply_update(now, LedgerUpdate(index, list(changes), whole, ledger_time)))


# ---- merging discovery and ledger


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
def test_instance_gets_attempts_only_if_the_ledger_allows_it(change, state):
    merge = Merge()
    list_instances(merge, line(), line("i1"), whole=True)
    update = apply_update(merge, 5, change)
    assert update == ({} if state == at.READY else {"i0": (state, 0)})
    assert list_instances(merge, line(), line("i1"), whole=True) == {"i0": (state, 0), "i1": (at.READY, 0)}


@pytest.mark.parametrize("state", [at.DRAINING, at.GONE])
def test_discovery_drain_always_wins(state):
    merge = Merge()
    list_instances(merge, line(), whole=True)
    apply_update(merge, 5, node(out="d1"))
    assert list_instances(merge, line(state=state)) == {"i0": (state, 0)}
    assert apply_update(merge, 6, node()) == {}


def test_revoked_permit_restores_the_instance():
    merge = Merge()
    list_instances(merge, line(started=7), whole=True)
    apply_update(merge, 5, node(out="d1"), ("permits", "i0", {}))
    assert apply_update(merge, 6, node(out="")) == {}
    assert apply_update(merge, 7, ("permits", "i0", None)) == {"i0": (at.READY, 7)}


def test_returned_node_is_listed_as_just_started():
    merge = Merge()
    list_instances(merge, line(started=7), whole=True)
    apply_update(merge, 5, node(state="drained", out="d1"))
    assert apply_update(merge, 6, node(state="catching_up", warm=100)) == {"i0": (at.READY, NOW)}
    assert apply_update(merge, 7, node(warm=100), now=NOW + MS) == {}
    assert list_instances(merge, line(started=7)) == {"i0": (at.READY, NOW)}
    assert list_instances(merge, line(started=NOW + 1)) == {"i0": (at.READY, NOW + 1)}


@pytest.mark.parametrize("ledger_time, started", [(99, NOW), (100, 7), (None, 7)])
def test_ledger_time_decides_coldness_at_start(ledger_time, started):
    merge = Merge()
    list_instances(merge, line(started=7), whole=True)
    apply_update(merge, 5, node(warm=100), ledger_time=ledger_time, whole=("nodes",))
    assert list_instances(merge, line(started=7)) == {"i0": (at.READY, started)}


def test_return_seen_only_in_a_whole_state_counts():
    merge = Merge()
    list_instances(merge, line(), line("i1"), whole=True)
    apply_update(
        merge, 5, node(out="d1", warm=50), node("i1", warm=60), ledger_time=70, whole=("nodes", "permits")
    )
    back = apply_update(
        merge, 90, node(warm=200), node("i1", warm=60), ledger_time=None, whole=("nodes", "permits")
    )
    assert back == {"i0": (at.READY, NOW)}


def test_older_updates_change_nothing():
    merge = Merge()
    list_instances(merge, line(), whole=True)
    apply_update(merge, 5, node(out="d1"))
    assert merge.apply_update(NOW, LedgerUpdate(4, [node()], ("nodes", "permits"), 0)) is None
    assert list_instances(merge, line()) == {"i0": (at.DRAINING, 0)}


STATES = st.sampled_from(["serving", "catching_up", "drained", "failed"])
ENTRY = st.one_of(
    st.tuples(st.just("nodes"), st.sampled_from(NAMES), STATES, st.booleans()),
    st.tuples(st.just("permits"), st.sampled_from(NAMES), st.booleans(), st.none()),
)
LIST = st.dictionaries(st.sampled_from(NAMES), st.sampled_from([at.READY, at.DRAINING, at.GONE]))
STEP = st.one_of(
    st.tuples(st.just("list"), LIST, st.booleans()),
    st.tuples(st.just("events"), st.integers(-3, 12), st.none()),
    st.tuples(st.just("whole"), st.integers(-3, 12), st.none()),
)


@settings(max_examples=100, deadline=None)
@given(st.lists(ENTRY, max_size=12), st.lists(STEP, max_size=14))
def test_no_interleaving_undoes_a_drain(entries, steps):
    """The log is drawn first. The gateway gets stretches of it, whole states, older ones again, and
    discovery's lists in between. Its list is compared with one computed from the last state of both
    sources."""
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
    # returned: the node's `warm` time and when the gateway saw it grow, by name
    merge, discovery, known, returned = Merge(), {}, 0, {}
    apply_update(merge, 0, whole=("nodes", "permits"))
    for number, (what, value, every) in enumerate(steps):
        ledger_time = NOW + number
        if what == "list":
            discovery = {**({} if every else discovery), **value}
            lines = [line(id, state) for id, state in value.items()]
            assert set(list_instances(merge, *lines, whole=every)) == set(value)
        else:
            to = min(max(known + value, 0), len(entries))
            names = {entry[1] for entry in entries[known:to]} if what == "events" else states[to]
            changes = []
            for name, row in ((name, states[to][name]) for name in names):
                changes.append(node(name, row["state"], "d" if row["out"] else "", row["warm"]))
                changes.append(("permits", name, {} if row["permit"] else None))
            update = LedgerUpdate(to, changes, ("nodes", "permits") if what == "whole" else (), None)
            answer = merge.apply_update(ledger_time, update)
            assert (answer is None) == (to < known)
            if answer is not None:
                known = to
                for name, row in states[to].items():
                    if row["warm"] > returned.get(name, (0, 0))[0]:
                        returned[name] = row["warm"], ledger_time
        for name, state in discovery.items():
            row = states[known].get(name, {"state": "serving", "out": False, "permit": False})
            lets = row["state"] in ("serving", "catching_up") and not row["out"] and not row["permit"]
            if state != at.GONE:
                merged = merge.merged_line(name)
                assert (merged.state == at.READY) == (state == at.READY and lets)
                assert merged.started == returned.get(name, (0, 0))[1]


# ---- responses of members


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
def test_unreadable_responses_are_one_error(body):
    body = body.replace(b'{"at"', b'{"cluster_id": "c1", "at"')
    with pytest.raises(Unreadable):
        responses.parse_events(responses.parse_body(body, ""), 3)


def test_events_are_parsed_and_unused_parts_ignored():
    rows = [("nodes", "i0", {"out": "d"}), ("wants", "i0", ["d"]), ("permits", "i0", None)]
    changes = [{"part": part, "key": key, "record": record} for part, key, record in rows]
    told = {"cluster_id": "c1", "at": 9, "events": [{"index": 5, "changes": changes}]}
    news = responses.parse_events(responses.parse_body(json.dumps(told).encode(), ""), 3)
    assert (news.index, news.changes) == (9, [rows[0], rows[2]])


def test_body_with_wrong_checksum_is_unreadable():
    body = b'{"at": 5, "events": []}'
    responses.parse_body(body, f"{zlib.crc32(body):08x}")
    with pytest.raises(Unreadable):
        responses.parse_body(body.replace(b"5", b"7"), f"{zlib.crc32(body):08x}")


@settings(max_examples=100, deadline=None)
@given(st.data())
def test_garbled_response_raises_nothing_else(data):
    event = {"index": 5, "changes": [{"part": "nodes", "key": "i0", "record": {"warm": 3}}]}
    body = bytearray(json.dumps({"cluster_id": "c1", "at": 5, "events": [event]}).encode())
    for where in data.draw(st.lists(st.integers(0, len(body) - 1), max_size=4)):
        body[where] = data.draw(st.integers(0, 255))
    body = bytes(body[: data.draw(st.integers(0, len(body)))])
    try:
        news = responses.parse_events(responses.parse_body(body, ""), 4)
    except Unreadable:
        return
    assert news is None or news.index >= 0


# ---- polling


def new_polling(**members):
    return LedgerPolling("g0", "b00t", members or {"m1": "h:1", "m2": "h:2", "m3": "h:3"}, 7)


def test_follow_comes_before_state_and_polls():
    polling = new_polling()
    assert polling.next(NOW).kind == FOLLOW
    polling.follow_accepted(NOW, 40)
    asked = []
    while (ask := polling.next(NOW)).kind == STATE:
        asked.append(ask.part)
        polling.part_received(ask.part)
    polling.update_applied(NOW, 41)
    parts = "nodes,permits,followers,members,moves"
    polls = f"/v1/events?after=41&gateway=g0&since=40&parts={parts}"
    assert asked == ["permits", "nodes"] and polling.next(NOW).path == polls


def test_command_id_is_repeated_until_answered_and_never_reused():
    polling = new_polling()
    first = json.loads(polling.next(NOW).body)
    polling.failed(NOW)
    assert polling.next(NOW) is None
    again = polling.next(polling.not_before)
    assert json.loads(again.body) == first and again.member != "m0"
    polling.follow_accepted(NOW, 40)
    polling.lease_lost()
    assert json.loads(polling.next(polling.not_before).body)["id"] != first["id"]


def test_waits_grow_at_random_and_members_take_turns():
    polling, now, waits, tried = new_polling(), NOW, [], []
    for _ in range(12):
        tried.append(polling.next(now).member)
        polling.failed(now)
        waits.append(polling.not_before - now)
        now = polling.not_before
    assert set(tried[:3]) == {"m1", "m2", "m3"} and tried[:3] == tried[3:6]
    assert all(
        ledger_polling.MAX_BACKOFF_NS / 2 <= wait <= ledger_polling.MAX_BACKOFF_NS for wait in waits[7:]
    )
    assert all(wait <= ledger_polling.MIN_BACKOFF_NS << n for n, wait in enumerate(waits))
    assert len(set(waits)) == len(waits)


def test_redirects_are_followed_but_not_forever():
    polling = new_polling()
    at_once = 0
    while polling.next(NOW) is not None:
        polling.failed(NOW, "m1" if polling.member != "m1" else "m2")
        at_once += 1
    assert (
        at_once == ledger_polling.MAX_REDIRECTS + 1
        and polling.counts["passes"] == ledger_polling.MAX_REDIRECTS
    )


def test_named_leader_is_called_unless_unresponsive():
    polling = new_polling()
    first = polling.member
    polling.failed(NOW)
    assert polling.member != first
    polling.update_applied(NOW, 5, first)
    assert polling.member != first
    polling.update_applied(NOW + ledger_polling.UNRESPONSIVE_NS, 6, first)
    assert polling.member == first


def test_unreadable_response_has_the_state_requested_by_parts():
    polling = new_polling()
    polling.follow_accepted(NOW, 40)
    polling.missing_parts.clear()
    polling.failed(NOW, unread=True)
    assert polling.next(polling.not_before).kind == STATE


def test_refused_follow_is_retried_later():
    polling = new_polling()
    polling.follow_refused(NOW)
    assert polling.next(NOW).kind == STATE
    assert polling.next(NOW + ledger_polling.FOLLOW_RETRY_NS).kind == FOLLOW


def test_leaving_sends_one_unfollow():
    polling = new_polling()
    polling.follow_accepted(NOW, 40)
    polling.failed(NOW)
    polling.leave(NOW)
    request = polling.next(NOW)
    assert request.kind == UNFOLLOW and json.loads(request.body)["since"] == 40
    polling.unfollowed()
    assert polling.next(NOW) is None


def test_a_gateway_that_knows_of_no_stay_of_its_own_ends_none():
    """Guards against an unfollow that ends the stay of another process of the name."""
    polling = new_polling()
    assert polling.check_cluster(NOW, "c1")
    polling.follow_accepted(NOW, 40)
    assert not polling.check_cluster(NOW, "c2")
    polling.leave(NOW)
    assert polling.next(NOW) is None and polling.left


def test_replaced_cluster_is_ignored():
    polling = new_polling()
    assert polling.check_cluster(NOW, "c1")
    polling.follow_accepted(NOW, 40)
    polling.missing_parts.clear()
    polling.update_applied(NOW, 50)
    assert not polling.check_cluster(NOW, "c2") and polling.next(NOW).kind == FOLLOW
    polling.follow_accepted(NOW, 3)
    assert not polling.check_cluster(NOW, "c1") and polling.next(NOW) is None  # as after a failure
    ask = polling.next(polling.not_before)
    assert (polling.cluster, polling.applied_index, ask.kind, polling.counts["anew"]) == ("c2", 0, STATE, 1)


def test_learned_members_are_called_and_bounded():
    polling = new_polling(m1="h:1")
    for number in range(100):
        polling.member_changed(f"n{number}", f"h:{number}")
    polling.member_changed("m1", None)
    assert len(polling.members) == ledger_polling.MAX_MEMBERS and polling.members["m1"] == "h:1"
    polling.failed(NOW)
    assert polling.next(polling.not_before).member == "n0"


# ---- the thread, with stand-in members


class LogStub(list):
    def info(self, event, **more):
        self.append((event, more))

    warning = error = info


class RunningFollower:
    """A follower with the gateway's own parts and without requests. `lists` holds what the balancer
    received."""

    def __init__(self, *addresses, wait=0, lines=("i0", "i1"), **more):
        start, zones = started_by(SETTINGS, 7, configs.now()), {"here": 0, "there": 1}
        where = SimpleNamespace(start=start, connections=8, discovery=("", 1), name="g0", kinds={})
        where.zones, where.news = zones, (1, 0, at.RELEASED, 1.0, 0)
        self.log, self.counters, self.lists = LogStub(), Counters(), []
        self.dispatcher = Dispatcher(start, self.log, self.counters)
        self.dispatcher.instances = Instances(where, self.dispatcher, ThreadPool(), self.log, self.counters)
        self.discovery = Discovery(where, self.dispatcher, self.log, self.counters)
        settings = {"members": {f"m{n + 1}": one for n, one in enumerate(addresses)}, "wait": wait, **more}
        self.follower = driver.Follower(where, settings, self.dispatcher, self.log, self.counters)
        listed = [replace(line(id), zone=int(id[0] == "f")) for id in lines]
        known = listed, {id: (("127.0.0.1", 1), 0) for id in lines}
        self.discovery.listed(configs.now(), 1, *known, True, True)
        self.dispatcher.balancer.stage_reported(configs.now(), *where.news)
        put = self.dispatcher.balancer.list_received
        self.dispatcher.balancer.list_received = lambda *update: (self.lists.append(update), put(*update))
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
    """A ledger of two nodes with two members, and a network between the members and the gateway."""
    ledger = fake_ledger.Ledger()
    ledger.node("i0")
    ledger.node("i1")
    ledger.servers = [fake_ledger.MemberServer(ledger, name).start() for name in ("m1", "m2")]
    ledger.wires = Wires()
    ledger.addresses = [ledger.wires.wire("g0", one.name, one.address) for one in ledger.servers]
    ledger.running = []

    def follow(**more):
        ledger.running.append(RunningFollower(*ledger.addresses, **more))
        return ledger.running[-1]

    ledger.follow = follow
    yield ledger
    for running in ledger.running:
        assert not running.faults()
        running.follower.leave(0)
    ledger.wires.close()
    for server in ledger.servers:
        server.close()


def test_drain_is_in_force_exactly_when_acknowledged(ledger):
    running = ledger.follow()
    ledger.acknowledged("g0", 3)
    before = running.ready()
    ledger.acknowledged("g0", ledger.permit("i0"))
    assert before == ["i0", "i1"] and running.ready() == ["i1"]
    with running.dispatcher.lock:
        running.discovery.listed(configs.now(), 9, [line("i0"), line("i1")], {}, True, True)
    assert running.ready() == ["i1"]
    ledger.acknowledged("g0", ledger.put("permits", "i0", None))
    assert running.ready() == ["i0", "i1"]


def test_nothing_is_acknowledged_while_the_balancer_is_locked(ledger):
    running = ledger.follow()
    ledger.acknowledged("g0", 3)
    with running.dispatcher.lock:
        index = ledger.permit("i0")
        until(lambda: ledger.wires.link_counts(running.follower.polling.member, "g0")["pieces"] > 3)
        polls = dict(ledger.polls)
    assert polls["g0"] < index
    ledger.acknowledged("g0", index)
    assert running.ready() == ["i1"]


def test_follow_is_sent_first_and_the_whole_state_applied(ledger):
    index = ledger.permit("i1")
    ledger.drop_changes()
    running = ledger.follow(wait=20_000_000_000)
    assert running.ready() == ["i0"]
    ledger.acknowledged("g0", index)
    paths = [path for server in ledger.servers for _, path in sorted(server.asked)]
    assert paths[:3] == ["/v1/commands", "/v1/state/permits?page_after=", "/v1/state/nodes?page_after="]


@pytest.mark.parametrize("page_records", [1, 2, None])
def test_the_state_is_taken_page_by_page(ledger, page_records):
    """Guards against a gateway that never hears a ledger whose state is larger than one response may be."""
    ledger.page_records = page_records
    for number in range(5):
        ledger.node(f"other {number}\n")
    index = ledger.permit("i1")
    ledger.drop_changes()
    running = ledger.follow(wait=20_000_000_000)
    assert running.ready() == ["i0"]
    ledger.acknowledged("g0", index)


def test_a_state_larger_than_a_response_may_be_is_heard(ledger):
    """Guards against the same with as many nodes: 5 MB, where a gateway reads 4 MiB."""
    with ledger.changed:
        ledger.parts["nodes"] |= {
            f"other-{n}": {"site": "s", "units": 1, "name": "x" * 1000} for n in range(5000)
        }
    index = ledger.permit("i1")
    ledger.drop_changes()
    ledger.follow(wait=20_000_000_000)
    ledger.acknowledged("g0", index)


def test_a_state_that_was_passed_on_half_way_is_taken_from_its_start():
    """Guards against a gateway that drops the parts it has as it is sent to another member, and then takes
    what is left for the whole state."""
    polling = new_polling()
    polling.follow_accepted(NOW, 40)
    assert not polling.part_received("permits") and not polling.part_received("nodes", "n7")
    assert polling.next(NOW).path == "/v1/state/nodes?page_after=n7"
    polling.failed(
        NOW, member=next(name for name in ("m1", "m2", "m3") if name != polling.member), response={}
    )
    assert polling.next(NOW).path == "/v1/state/permits?page_after="


def test_a_permit_read_before_the_gateway_was_passed_on_is_obeyed(ledger):
    """Guards against the same with a ledger that the gateway knows: it acknowledged a permit that it had
    dropped, and went on to send to its node."""
    running = ledger.follow()
    ledger.acknowledged("g0", 3)

    def hand_over(path):
        if path.startswith("/v1/state/nodes") and ledger.leader is None:
            names = [server.name for server in ledger.servers]
            ledger.leader = next(name for name in names if name != running.follower.polling.member)

    for server in ledger.servers:
        server.before_answer = hand_over
    with ledger.changed:
        index = ledger.permit("i1")
        ledger.drop_changes()
    ledger.acknowledged("g0", index)
    assert ledger.leader and running.ready() == ["i0"]


@pytest.mark.parametrize("key", ["n3", "n2", "", 7, None])
def test_a_page_ends_after_the_page_before(key):
    """Guards against pages that are asked for without an end."""
    response = {"next_page": key}
    if key == "":
        assert responses.next_page(response, "n3") == ""
    else:
        with pytest.raises(Unreadable):
            responses.next_page(response, "n3")


def test_pages_have_no_more_records_than_a_part(monkeypatch):
    monkeypatch.setattr(responses, "MAX_RECORDS", 3)
    pages = [
        responses.LedgerUpdate(1, [("nodes", name, {}) for name in page], ("nodes",)) for page in ("ab", "cd")
    ]
    responses.check_record_count(
        [responses.LedgerUpdate(1, [("permits", "a", {})] * 3, ("permits",)), pages[0]]
    )
    with pytest.raises(Unreadable):
        responses.check_record_count(pages)


OF = {"cluster_id": "c1"}
BROKEN_RESPONSES = {
    "cut": lambda path, body: None,
    "half": lambda path, body: b"HTTP/1.1 200 so\r\nContent-Length: 900\r\n\r\n{",
    "no http": lambda path, body: b"#noise\r\n\r\n",
    "no json": lambda path, body: b"HTTP/1.1 200 so\r\nContent-Length: 4\r\n\r\n{]}\n",
    "flipped": lambda path, body: fake_ledger.http_response(200, {**OF, "at": 99, "events": []}, spoil=True),
    "from the past": lambda path, body: fake_ledger.http_response(200, {**OF, "at": 1, "events": []}),
    "an error": lambda path, body: fake_ledger.http_response(500, {}),
    "too large": lambda path, body: b"HTTP/1.1 200 so\r\nTransfer-Encoding: chunked\r\n\r\n500000\r\n",
}


@pytest.mark.parametrize("broken", BROKEN_RESPONSES)
def test_broken_response_ends_only_the_call(ledger, broken):
    running = ledger.follow()
    ledger.acknowledged("g0", 3)
    for server in ledger.servers:
        server.wrong.append(BROKEN_RESPONSES[broken])
    ledger.acknowledged("g0", ledger.permit("i0"))
    until(lambda: not all(server.wrong for server in ledger.servers))
    ledger.acknowledged("g0", ledger.node("i1", out="d"))
    assert running.ready() == []
    unseen = broken in ("cut", "half")  # called again at once: a kept connection may end at any time
    assert bool(running.follower.polling.counts["failures"]) != unseen


@pytest.mark.parametrize("fault", ["cut", "refuse", "reset", "short", "garble"])
def test_updates_arrive_through_network_faults(ledger, fault):
    running = ledger.follow()
    ledger.acknowledged("g0", 3)
    first = running.follower.polling.member
    orders = {
        "short": lambda: ledger.wires.short(first, "g0", 3),
        "garble": lambda: ledger.wires.garble(first, "g0", times=3),
    }
    orders.get(fault, lambda: getattr(ledger.wires, fault)("g0", first))()
    assert running.ready() == ["i0", "i1"]
    ledger.acknowledged("g0", ledger.permit("i0"))
    assert running.ready() == ["i1"]
    ledger.wires.heal()


def test_cut_off_gateway_keeps_its_list_and_catches_up(ledger):
    running = ledger.follow()
    ledger.acknowledged("g0", ledger.permit("i0"))
    for server in ledger.servers:
        ledger.wires.refuse("g0", server.name)
        ledger.wires.reset("g0", server.name)
    until(lambda: running.follower.polling.counts["failures"] >= 4)
    assert running.ready() == ["i1"]
    ledger.put("followers", "g0", None)  # its lease ran out
    ledger.put("permits", "i0", None)
    ledger.permit("i1")
    ledger.drop_changes()
    ledger.wires.heal()
    until(lambda: "g0" in ledger.parts["followers"] and running.ready() == ["i0"])
    assert (
        len([event for event in running.log if event[0] == "ledger"]) == 2
    )  # one at the beginning, one at the end


@pytest.mark.parametrize("was_informed", [True, False])
def test_cut_off_gateway_keeps_ledger_state_and_uses_discovery(ledger, was_informed):
    running = ledger.follow()
    ledger.acknowledged("g0", ledger.permit("i0") if was_informed else 3)
    assert 0 <= running.follower.figures()["ledger unheard ms"] < 60_000
    for server in ledger.servers:
        ledger.wires.refuse("g0", server.name)
        ledger.wires.reset("g0", server.name)
    until(lambda: running.follower.polling.counts["failures"] >= 2)
    ledger.put("followers", "g0", None)  # its lease and grace ran out, so the node goes down
    ledger.node("i0", state="drained")
    with running.dispatcher.lock:
        lines = [line("i0", started=NOW), line("i1")]
        running.discovery.listed(configs.now(), 9, lines, {}, True, True)
    assert running.ready() == (["i1"] if was_informed else ["i0", "i1"])
    figures = running.follower.figures()
    assert figures["ledger held back"] == was_informed and figures["ledger unheard ms"] >= 0
    ledger.wires.heal()
    until(lambda: "g0" in ledger.parts["followers"] and running.ready() == ["i1"])
    assert running.count("ledger forgot") == 1


def test_silent_time_is_reported():
    polling = new_polling()
    before = polling.silent_ms(NOW)
    polling.update_applied(NOW, 5)
    polling.failed(NOW + MS)
    assert (before, polling.silent_ms(NOW + 12_000 * MS)) == (-1, 12_000)


def test_named_leader_is_followed_when_it_changes(ledger):
    ledger.leader = "m2"
    running = ledger.follow()
    ledger.acknowledged("g0", 3)
    assert running.follower.polling.member == "m2"
    ledger.leader = "m1"
    ledger.acknowledged("g0", ledger.permit("i0"))
    assert running.follower.polling.member == "m1" and running.ready() == ["i1"]


def test_forgotten_follower_sends_a_new_follow_id(ledger):
    running = ledger.follow()
    ledger.acknowledged("g0", 3)
    ledger.put("followers", "g0", None)
    until(lambda: "g0" in ledger.parts["followers"])
    assert running.count("ledger forgot") == 1 and len(ledger.ids) == 2 and not ledger.counts["repeats"]


def test_lost_follow_response_is_retried_with_the_same_id(ledger):
    for server in ledger.servers:
        server.wrong.append(lambda path, body: (ledger.command(json.loads(body)), None)[1])
    ledger.follow()
    ledger.acknowledged("g0", 3)
    assert len(ledger.ids) == 1 and ledger.counts["repeats"] >= 1


def test_gateway_unfollows_after_its_last_attempt(ledger):
    running = ledger.follow()
    ledger.acknowledged("g0", 3)
    running.dispatcher.instances.attempts_in_flight["an attempt"] = object()
    assert not running.follower.leave(0) and "g0" in ledger.parts["followers"]
    running.dispatcher.instances.attempts_in_flight.clear()
    assert running.follower.leave(0) and "g0" not in ledger.parts["followers"]


@pytest.mark.parametrize("members", [{}, {"m1": "localhost:1"}, {"m1": "127.0.0.1"}, {"m1": "127.0.0.1:0"}])
def test_invalid_members_are_one_error(members):
    with pytest.raises(Unusable) as error:
        driver.check_settings({"members": members}, "g0")
    assert "follow" in error.value.do


# ---- newly formed clusters


def test_new_cluster_is_followed_from_the_start(ledger):
    running = ledger.follow()
    ledger.acknowledged("g0", ledger.permit("i0"))
    before = running.ready()
    for _ in range(5):
        ledger.permit("i0")
    ledger.form_new_cluster()
    ledger.acknowledged("g0", ledger.permit("i1"))
    assert before == ["i1"] and running.ready() == ["i0"] and ledger.at < 5
    assert "g0" in ledger.parts["followers"] and running.follower.polling.counts["anew"] == 1
    assert running.follower.figures()["ledger index"] == ledger.at


@pytest.mark.parametrize("whole, cluster, accepted", [(("nodes", "permits"), "c2", True), ((), "c2", False)])
def test_first_update_of_a_new_cluster_must_be_whole(whole, cluster, accepted):
    merge = Merge()
    list_instances(merge, line(), whole=True)
    merge.apply_update(NOW, LedgerUpdate(9, [node(out="d1", warm=50)], ("nodes", "permits"), 60, "c1"))
    merge.apply_update(NOW, LedgerUpdate(2, [node(warm=40)], whole, 30, cluster))
    late = merge.apply_update(
        NOW, LedgerUpdate(10, [node(out="d1", warm=50)], ("nodes", "permits"), 60, "c1")
    )
    said = merge.merged_line("i0")
    assert (said.state, said.started) == ((at.READY, NOW) if accepted else (at.DRAINING, 0))
    assert (late is None, merge.cluster, merge.applied_index) == (
        (True, "c2", 2) if accepted else (False, "c1", 10)
    )


class ThreadlessFollower:
    """A follower without its thread and sockets: a test picks the response to each call."""

    def __init__(self):
        self.ledger, self.given_responses, self.now, self.answer = fake_ledger.Ledger(), [], NOW, None
        self.permits_by_index = {}  # (cluster, index): nodes with a permit
        where = SimpleNamespace(name="g0", start=SimpleNamespace(seed=7))
        members = {"members": {"m1": "127.0.0.1:1", "m2": "127.0.0.1:2"}}
        dispatcher = SimpleNamespace(handle=lambda function, news: function(NOW, news))
        self.follower = driver.Follower(where, members, dispatcher, LogStub(), Counters())
        self.follower.discovery = SimpleNamespace(publish=lambda *update: None)
        self.follower.merge.listed([line(id) for id in NAMES], {}, True)
        self.follower.exchange = lambda ask: self.answer
        self.remember_permits()

    def remember_permits(self):
        self.permits_by_index[self.ledger.id, self.ledger.at] = set(self.ledger.parts["permits"])

    def step(self, late=None):
        """Makes one call. The response is a new one, or an old one of a replaced cluster to the same kind of
        call."""
        polling, merge = self.follower.polling, self.follower.merge
        self.now = max(self.now, polling.not_before)
        ask = polling.next(self.now)
        if ask.kind == EVENTS:
            assert (polling.cluster, polling.applied_index) == (merge.cluster, merge.applied_index)
        late_responses = [response for what, response in self.given_responses if what == (ask.kind, ask.part)]
        late_responses = [one for one in late_responses if one[1]["cluster_id"] != polling.cluster]
        if late is not None and late_responses:
            self.answer = late_responses[late % len(late_responses)]
        else:
            self.answer = json.loads(json.dumps(self.ledger.answer(ask.path, ask.body, wait=0)))
            self.given_responses.append(((ask.kind, ask.part), self.answer))
            self.remember_permits()
        before = merge.cluster, merge.applied_index
        self.follower.make_call(ask)
        assert (len(merge.cluster), merge.applied_index) >= (len(before[0]), before[1])
        assert (
            merge.applied_index < 0
            or merge.permits == self.permits_by_index[merge.cluster, merge.applied_index]
        )
        assert not self.follower.counters.read().get("ledger faults")

    def settle(self):
        def settled():
            known = self.follower.merge.cluster, self.follower.merge.applied_index
            return known == (self.ledger.id, self.ledger.at) == (self.follower.polling.cluster, self.polled())

        for _ in range(12):
            if settled():
                return
            self.step()
        raise AssertionError("it does not come to follow")

    def polled(self):
        return self.ledger.polls.get("g0")


ANSWERS = st.one_of(
    st.just(("answered",)),
    st.just(("answered",)),
    st.tuples(st.just("late"), st.integers(0, 50)),
    st.tuples(st.just("permit"), st.sampled_from(NAMES), st.booleans()),
    st.just(("anew",)),
    st.just(("forgets",)),
)


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(steps=st.lists(ANSWERS, max_size=40))
def test_late_responses_of_a_replaced_cluster_are_ignored(monkeypatch, steps):
    threadless = ThreadlessFollower()
    monkeypatch.setattr(driver, "now", lambda: threadless.now)
    for what, *more in steps:
        match what:
            case "answered":
                threadless.step()
            case "late":
                threadless.step(late=more[0])
            case "permit":
                threadless.ledger.put("permits", more[0], {"drain": "d"} if more[1] else None)
                threadless.remember_permits()
            case "anew":
                threadless.ledger.form_new_cluster()
                threadless.remember_permits()
            case "forgets":
                threadless.ledger.drop_changes()
    threadless.settle()


# ---- whole programs


def test_following_gateway_sends_nothing_to_a_drained_node(tmp_path, ledger):
    servers = [InstanceServer().start() for _ in range(2)]
    addresses = ", ".join(f'm{n + 1}: "{one}"' for n, one in enumerate(ledger.addresses))
    with gateway(tmp_path, *servers, follow=f"follow: {{members: {{{addresses}}}, wait: 10s}}") as running:
        crowd = RepeatingClients(running.port, 4, lambda client, number: client.ask() and None).start()
        ledger.acknowledged("g0", 3)
        until(lambda: all(server.got for server in servers))
        ledger.acknowledged("g0", ledger.permit("i0"))
        count_before = crowd.total()  # attempts begun before will have ended by then
        until(lambda: crowd.total() > count_before + 100)
        before, count_before = len(servers[0].got), crowd.total()
        until(lambda: crowd.total() > count_before + 100)
        assert len(servers[0].got) == before
        counts = running.counters()
        assert counts["ledger_held_back"] == 1 and counts["ledger_index"] >= 4
        assert crowd.stop().get("lost", 0) == crowd.counts["errors"] == crowd.counts["wrong"] == 0
        running.process.terminate()
        assert running.process.wait(30) == 0
        assert "g0" not in ledger.parts["followers"]


def test_draining_all_nodes_sends_no_attempt_after_clearance(tmp_path):
    """The member and the gateway are programs; the nodes, which obey permits, are not."""
    fleet = [Node(f"i{number}") for number in range(3)]
    for node in fleet:
        node.listen("g0")
    with Cluster(tmp_path / "cluster", names=("m1",)) as cluster:
        cluster.start()
        for node in fleet:
            cluster.run_command(id=node.name, kind="node", node=node.name, site="s", units=10)
        cluster.run_command(id="r", kind="group", group="r", nodes=[node.name for node in fleet], quorum=2)
        replicas = GroupMonitor("r", fleet, 2)
        follow = f'follow: {{members: {{m1: "{cluster.addresses["m1"]}"}}, wait: 10s}}'
        with gateway(tmp_path, *(node.listeners["g0"] for node in fleet), follow=follow) as running:
            crowd = RepeatingClients(running.port, 4, lambda client, number: client.ask() and None).start()
            agents = [Agent(node, MemberClient(cluster.addresses["m1"])).start() for node in fleet]
            code, _ = cluster.run_command(
                id="d", kind="drain", drain="d", nodes=[node.name for node in fleet]
            )
            for node in fleet:
                node.until(lambda node: node.counts["downs"] == 1 and node.state == "serving")
            until(lambda: cluster.items("m1", "drains")["d"]["phase"] == "done")
            count_before = crowd.total()
            until(lambda: crowd.total() > count_before + 50)
            counts = crowd.stop()
            for agent in agents:
                agent.stopped.set()
            assert running.counters()["ledger_failures"] == 0
    assert code == 200 and set(counts) <= {"right", "rejected"} and counts["right"] > 50
    assert all(node.counts["attempts"] and not node.counts["after clear"] for node in fleet)
    assert (replicas.min_serving, replicas.broken) == (2, 0)
    for node in fleet:
        node.close()


OFF = """
import sys
import lemonlead.gateway.__main__
heavy = ("lemonlead.following", "lemonlead.ledger", "msgspec", "aiohttp", "immutables", "sqlite3", "lark")
print([name for name in sys.modules if name.startswith(heavy)])
"""


def test_gateway_that_does_not_follow_imports_nothing_of_it():
    running = subprocess.run([sys.executable, "-c", OFF], capture_output=True, text=True, check=True)
    assert running.stdout.strip() == "[]"


def test_following_imports_no_library():
    code = OFF.replace("lemonlead.gateway.__main__", "lemonlead.following.driver")
    running = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert {name.split(".")[0] for name in json.loads(running.stdout.replace("'", '"'))} == {"lemonlead"}


def test_removed_members_are_called_rarely():
    """A gateway must not spend its waits on machines that were replaced long ago."""
    polling = new_polling(**{name: f"h:{name}" for name in ("m1", "m2", "m3", "m4", "m5")})
    for gone in ("m1", "m2", "m3"):
        polling.member_changed(gone, None)
    asked = []
    for _ in range(30):
        polling.failed(polling.not_before)
        asked.append(polling.next(polling.not_before).member)
    assert asked.count("m4") == asked.count("m5") == 10
    assert sorted(set(asked)) == ["m1", "m2", "m3", "m4", "m5"]


def test_follow_names_the_service_of_votes():
    polling = LedgerPolling("g0", "b00t", {"m1": "h:1"}, 7, (), "parts")
    assert json.loads(polling.next(NOW).body)["services"] == ["parts"]
