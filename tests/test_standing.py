"""The rules of the standing test (`docs/standing.md`), each checked against the code.

Times are nanoseconds on simulated clocks and seconds where a program runs. No test sleeps for a guessed
time.
"""

import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import threading
import tomllib
from collections import Counter
from types import SimpleNamespace

import pytest
from days import Day, S
from helpers import MS, NOW, Dispatcher, balancer, request_class, line, request, sent
from lemonlead import interface
from lemonlead.balance import Balancer
from lemonlead.gateway import discovery as drivers
from lemonlead.gateway import resp, managed_connection
from lemonlead.gateway.clients import Client
from lemonlead.gateway.config import address
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.discovery import Discovery
from lemonlead.gateway.dispatcher import Dispatcher as DispatcherOfGateway
from lemonlead.gateway.http import JsonObjects
from lemonlead.gateway.thread_pool import ThreadPool
from lemonlead.planning import fleet
from lemonlead.standins import clients
from lemonlead.standins.discovery import DiscoveryServer, entry
from lemonlead.standins.fleet import SETTINGS, gateway
from lemonlead.standins.instances import InstanceServer, value_response
from lemonlead.standins.server import Server, until
from lemonlead.start_settings import start_from_settings

# ---- reports from discovery, and their times

LIST = {"version": 3, "full": True, "servers": [{"id": 'a"}{\\', "addr": "h:1", "cells": [[], {}]}, {}]}


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
def test_lists_are_read_with_any_indentation(indent):
    objects, text = JsonObjects(), json.dumps(LIST, indent=indent).encode()
    lines = [b"", *text.split(b"\n"), b"", b"  ", *text.split(b"\n")]
    told = [json.loads(whole) for whole in map(objects.add, lines) if whole]
    assert told == [LIST, LIST] and not objects.lines


def test_gateway_uses_an_indented_list(tmp_path):
    old = InstanceServer().start()
    new = InstanceServer(lambda words: value_response(b"new")).start()
    with gateway(tmp_path, old, new, entries=[entry("i0", old)]) as ran:
        ran.discovery.indent = 2
        ran.discovery.publish(entry("i1", new), full=True, version=5)
        client = ran.client()
        until(lambda: client.ask().read() == b"new")
        assert "reason=malformed" not in ran.log()


def test_pushed_list_replaces_the_stored_one_before_any_request(tmp_path):
    old = InstanceServer().start()
    new = InstanceServer(lambda words: value_response(b"new")).start()
    discovery = DiscoveryServer().start()
    discovery.publish(entry("i0", old, "draining"), entry("i1", new), version=5)
    settings = {"Discovery": "push", "Balancers": 200}  # this many spread their first call over 2 s
    with gateway(tmp_path, old, new, entries=[entry("i0", old)], settings=settings, source=discovery) as ran:
        assert [ran.client().ask().read() for _ in range(5)] == 5 * [b"new"] and not old.got


class Quiet:
    def info(self, *_, **more):
        pass


class Full(Server):
    """Discovery with too many callers: each gets 503."""

    calls = 0

    def serve(self, sock):
        sock.recv(4096)
        self.calls += 1
        sock.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def driver(where="127.0.0.1:1", within=10_000):
    """Returns a driver of discovery at an address, and the lists and failures that it will have reported.

    `within` is the setting AskWithin (ms).
    """
    obligations = {**SETTINGS["Obligations"], "AskWithin": within}
    start = start_from_settings({**SETTINGS, "Obligations": obligations}, 7, NOW)
    config = SimpleNamespace(start=start, discovery=address(where), zones={}, kinds={})
    lists, failures = [], []
    dispatcher = SimpleNamespace(instances=SimpleNamespace(pools={}, listed=lambda *_: None))
    dispatcher.balancer = SimpleNamespace(
        list_received=lambda now, lines, whole, fresh: lists.append([row.id for row in lines]),
        list_failed=lambda now, current, turned_away: failures.append(now),
    )
    dispatcher.handle = lambda happened, *values: happened(NOW, *values)
    return Discovery(config, dispatcher, Quiet(), Counters()), lists, failures


def watching(where):
    """Returns the same, with the driver running in a thread."""
    made, lists, failures = driver(where)
    threading.Thread(target=made.run, daemon=True).start()
    made.request_list()
    return made, lists, failures


def test_silent_watch_is_reopened_and_reports_missed_changes(monkeypatch):
    monkeypatch.setattr(drivers, "SILENCE_TIMEOUT_SECONDS", 0.2)
    server = DiscoveryServer().start()
    made, lists, failures = watching(server.address)
    server.publish(entry("a", server), full=True, version=2)
    until(lambda: lists == [["a"]])
    server.silent.set()
    server.publish(entry("b", server), version=3)  # no watch receives this
    until(lambda: failures)
    assert made.counters.read() == {"lists told": 1, "watches ended: silent": 1}
    server.silent.clear()
    made.request_list()  # as the balancer does after a failure
    until(lambda: lists == [["a"], ["b"]])
    assert server.asked[-1] == "/api/targets?stream=1&index=2"
    server.close()


def test_watch_without_changes_shows_that_the_list_is_current():
    """Otherwise a balancer whose watch broke would take its list as old until the next change."""
    server = DiscoveryServer().start()
    made, lists, failures = watching(server.address)
    until(lambda: lists == [[]])
    assert made.counters.read() == {} and made.first_result.is_set() and not failures
    server.close()


def test_half_a_list_followed_by_blank_lines_counts_as_silence(monkeypatch):
    monkeypatch.setattr(drivers, "SILENCE_TIMEOUT_SECONDS", 0.2)

    class Half(Server):
        def serve(self, sock):
            sock.recv(4096)
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n{"version": 2,\n')
            while not gone.wait(0.02):
                sock.sendall(b"\n")

    gone, server = threading.Event(), Half().start()
    made, lists, failures = watching(server.address)
    until(lambda: failures)
    assert made.counters.read() == {"watches ended: silent": 1} and not lists
    gone.set()
    server.close()


def pauses(kept, crowded, count=12):
    """Returns the pauses (seconds) after this many failures in a row, each with the longest random part."""
    kept.random.uniform = lambda least, most: most
    waited = []
    kept.condition.wait_for = lambda moving, seconds: waited.append(seconds)
    for _ in range(count):
        kept.pause_before_retry(crowded)
    return waited


def longest_list_call_delay():
    """Returns the longest time (seconds) until a balancer calls for the list again after a failure."""
    latest = 0
    for seed in range(100):
        made, dispatcher = balancer([line(1)], ask_for_list=True, seed=seed), Dispatcher()
        made.list_received(NOW, [], False, True)
        made.list_failed(NOW, NOW)
        latest = max(latest, made.list_call_at - NOW)
        assert ("watch",) in dispatcher.pull(made, made.list_call_at)
    return latest / 1e9


def test_list_is_called_for_within_six_seconds_of_silence():
    made, *_ = driver()
    made.connection.reset_pause()  # it had received a list before
    # The rest is left for the network.
    assert (
        drivers.SILENCE_TIMEOUT_SECONDS + pauses(made.connection, False)[0] + longest_list_call_delay() < 5.7
    )


@pytest.mark.parametrize("within", [1000, 2000, 10_000])
def test_list_calls_keep_within_the_setting(within):
    """`within` is the setting AskWithin (ms).

    After a failed call, which takes two seconds at most, the next must come within four times that. The first
    call must come within it after the start.
    """
    made, *_ = driver(within=within)
    longest = max(pauses(made.connection, True) + pauses(made.connection, False))
    assert 2.0 + longest + longest_list_call_delay() <= 4 * within / 1e3
    rules = dict(now=NOW, balancers=200, ask_for_list=True, max_list_call_gap=within * MS)
    firsts = [Balancer(interface.StartSettings(seed=seed, **rules)).list_call_at for seed in range(200)]
    assert max(firsts) <= NOW + within * MS // 2 and len(set(firsts)) > 100


def test_new_discovery_address_is_called_at_once_after_sighup():
    full, server = Full().start(), DiscoveryServer().start()
    made, lists, _ = watching(full.address)
    server.publish(entry("a", server), full=True, version=2)
    made.connection.pause = managed_connection.MAX_CROWDED_PAUSE_SECONDS
    until(lambda: full.calls)
    made.change_address(address(server.address))
    until(lambda: lists == [["a"]], 4)  # its reports count from then on
    for one in (full, server):
        one.close()


# ---- after SIGTERM


@pytest.fixture
def ended():
    """A client's connection that is to end just before its data is read; yields our side and the client's."""
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as theirs:
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        theirs.connect(listener.getsockname())
        ours, _ = listener.accept()
        gateway_server = SimpleNamespace(
            stopping=True,
            thread_pool=ThreadPool(),
            parse_request=lambda *_: request(),
            client_ended=lambda _: None,
            unsent_bytes=0,
            max_unsent_bytes=1 << 30,
            add_unsent=lambda change: None,
            max_unsent_bytes_of_client=lambda: 1 << 18,
        )
        gateway_server.reserve_bytes, gateway_server.dispatcher = (
            lambda _: True,
            SimpleNamespace(request_arrived=None, DUPLICATE_ID_ERROR=b"-"),
        )
        gateway_server.counters = Counters()
        client = Client(ours, gateway_server, False)

        def answer(happened, ask, request):
            ask.answer = resp.bulk(ask.words[1] * 400_000)
            client.flush()

        gateway_server.dispatcher.handle = answer
        yield client, theirs


COMMAND = resp.command([b"Q.ASK", b"key", b"id", b"c=look,d=900"])


def all_of(theirs):
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while more := theirs.recv(65536):
            data += more
    return data


@pytest.mark.parametrize("cut", [len(COMMAND), 9])
def test_request_read_before_the_end_gets_its_whole_answer(ended, cut):
    client, theirs = ended
    theirs.sendall(COMMAND[:cut])
    until(lambda: len(client.sock.recv(99, socket.MSG_PEEK)) == cut)
    client.close_when_idle("stopping")
    thread = threading.Thread(target=client.run, daemon=True)
    thread.start()
    if COMMAND[cut:]:  # the other half is sent once the first is read
        until(lambda: not client.reader.empty())
        theirs.sendall(COMMAND[cut:])
    until(lambda: client.writing or not thread.is_alive())
    assert all_of(theirs) == resp.bulk(b"key" * 400_000)
    thread.join(60)
    assert client.reason == "stopping"


def test_requests_after_sigterm_are_answered_or_never_read(tmp_path):
    server = InstanceServer().start()
    asked, answered = set(), set()

    def go_on(number):
        with contextlib.suppress(OSError):  # until no connection is accepted any more
            while True:
                client = clients.Client(ran.port)
                with contextlib.suppress(OSError), client.sock:
                    while True:
                        asked.add(key := b"%d.%d" % (number, len(asked)))
                        if client.ask(key).read() != key:
                            break
                        answered.add(key)

    with gateway(tmp_path, server) as ran:
        until(lambda: ran.platform.asked == 1)  # it has started completely
        threads = [threading.Thread(target=go_on, args=(number,), daemon=True) for number in range(6)]
        for thread in threads:
            thread.start()
        until(lambda: {key.split(b".")[0] for key in answered} == {b"%d" % n for n in range(6)})
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0
        for thread in threads:
            thread.join(60)
        assert {words[1] for words in server.got} == answered  # each request that was read was answered
        # The last request of each thread met a closing connection or none.
        assert len(asked) >= len(answered) + 6


# ---- the load of a cold instance from all gateways

FLEET = """
kinds: {fast: {cores: 3, slots: 70}, slow: {cores: 3, speed: 0.6, slots: 70}}
lanes: {
	look: {work: 180ms, cv: 0.85, goal: 1200ms, stop: 5s, revenue: 3.0}
	check: {work: 110ms, cv: 0.8, goal: 1s, stop: 2500ms}
	hold: {work: 110ms, cv: 0.8, goal: 1s, stop: 4s, effect: "stamped", revenue: 2.0}
	buy: {work: 110ms, cv: 0.8, goal: 1s, stop: 4s, effect: "one-shot", revenue: 2.0}
}
clients: {retries: 1, patience: 0.6}
notice: 200ms
cold: {share: 0.3, warm: 4s, multiple: 2.0, window: 1s}
sites: {
	one: {gateways: 50, instances: {fast: 4, slow: 3}, load: {look: 40, check: 36, hold: 20, buy: 12}}
	two: {gateways: 50, instances: {fast: 4, slow: 3}, load: {look: 40, check: 36, hold: 20, buy: 12}}
	three: {gateways: 50, instances: {fast: 4, slow: 3}, load: {look: 40, check: 36, hold: 20, buy: 12}}
}
"""


@pytest.fixture
def fleet_of(tmp_path):
    def read(text=FLEET):
        (tmp_path / "fleet.cue").write_text(text)
        return fleet.read(tmp_path / "fleet.cue")

    return read


@pytest.mark.parametrize("died, came_back", [(None, None), (2.4, 3.4)])
def test_cold_instances_get_no_more_than_they_can_bear(died, came_back, fleet_of):
    """A third of the instances come back cold after 3 s; seven in ten of 150 gateways die and come back."""
    day = Day(fleet_of(), 5, length=6)
    day.lose_site("two", S, 3 * S, gateways=False)
    if died:
        dead = day.random.sample(range(150), 105)
        day.schedule(int(died * S), day.kill, dead)
        day.schedule(int(came_back * S), day.revive, dead)
    day.run_to_end()
    assert len(day.sent) == 7 and sum(map(len, day.sent.values())) > 70  # they do get requests
    assert day.cold_overload() < 1


# ---- the share of each request class and tenant, compared with the reference policy

CROWD = """
kinds: {fast: {cores: 3, slots: 70}, slow: {cores: 3, speed: 0.6, slots: 70}}
lanes: {
	look: {work: 180ms, cv: 0.85, goal: 1200ms, stop: 5s, revenue: 2.0}
	check: {work: 110ms, cv: 0.8, goal: 1s, stop: 2500ms, revenue: 2.0}
	hold: {work: 110ms, cv: 0.8, goal: 1s, stop: 4s, effect: "stamped", revenue: 2.0}
	buy: {work: 110ms, cv: 0.8, goal: 1s, stop: 4s, effect: "one-shot", revenue: 2.0}
}
clients: {retries: 1, patience: 0.6}
sites: {
	one: {gateways: 12, instances: {fast: 2, slow: 2}, load: LOAD}
	two: {gateways: 12, instances: {fast: 2, slow: 2}, load: LOAD}
}
"""
WORK = {"look": 0.18, "check": 0.11, "hold": 0.11, "buy": 0.11}


def crowd(starved=None):
    """Returns a fleet at full load; the starved class has 1/20 of the requests, at 1/5 of the revenue."""
    shares = {
        request_class: 0.05 if request_class == starved else 0.95 / 3 if starved else 0.25
        for request_class in WORK
    }
    rate = 2 * (3 + 3 * 0.6) / sum(shares[request_class] * work for request_class, work in WORK.items())
    load = (
        "{"
        + ", ".join(f"{request_class}: {share * rate:.2f}" for request_class, share in shares.items())
        + "}"
    )
    return re.sub(rf"(\t{starved}: .*revenue:) 2.0", r"\1 0.4", CROWD.replace("LOAD", load))


@pytest.fixture(scope="module", params=WORK)
def starved(request, tmp_path_factory):
    """The number of the starved class, and long runs with bursts of the balancers and the reference policy.

    The last tenant makes up most of the load and is far above its share.
    """
    (path := tmp_path_factory.mktemp("fleet") / "fleet.cue").write_text(crowd(request.param))
    rules = dict(length=24, burst=1.3, weights=(0.05, 0.05, 0.2, 0.7))
    days = [Day(fleet.read(path), 2, late=late, **rules).run_to_end() for late in (False, True)]
    return list(WORK).index(request.param), *days


def test_each_class_gets_half_of_what_the_reference_policy_serves(
    starved,
):
    number, ours, reference = starved
    for third in (None, 0, 1, 2):
        for request_classes in (None, *range(4)):
            assert (
                ours.share("class", request_classes, third)
                >= 0.5 * reference.share("class", request_classes, third)
                > 0.15
            )
    assert (
        0.03
        < sum(reference.asked["class", number, n] for n in range(3)) / sum(reference.asked.values()) * 2
        < 0.07
    )


def test_tenants_within_their_share_get_a_third_during_a_flood(starved):
    _, ours, reference = starved
    for tenant in range(3):
        assert ours.share("tenant", tenant) >= reference.share("tenant", tenant) / 3 > 0.1


def calm(folder, load, seed):
    """Runs 60 gateways at this share of their instances' capacity, with bursts of 1.5 times that."""
    rate = load * 6 * (3 + 3 * 0.6) / sum(0.25 * work for work in WORK.values())
    each = "{" + ", ".join(f"{name}: {rate / 4:.2f}" for name in WORK) + "}"
    larger = "gateways: 30, instances: {fast: 6, slow: 6}"
    text = CROWD.replace("gateways: 12, instances: {fast: 2, slow: 2}", larger).replace("LOAD", each)
    (folder / "fleet.cue").write_text(text)
    return Day(fleet.read(folder / "fleet.cue"), seed, length=24, burst=1.5).run_to_end()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_few_gateways_reject_everything_at_moderate_load(tmp_path, seed):
    day = calm(tmp_path, 2 / 3, seed)
    assert sum(map(len, day.decided.values())) > 5000 and day.rejects_all() <= 6


def test_few_gateways_reject_everything_at_moderate_load_on_further_seeds(tmp_path):
    """At two thirds of what all can bear, with bursts, 10 to 14 of 60 gateways reject all that they get for
    4 s on some seeds: what passes as a probe of a throttled class or tenant is then shed like any other."""
    for seed in (5, 6, 7):
        assert calm(tmp_path, 2 / 3, seed).rejects_all() <= 6


def test_past_what_all_can_bear_too_at_most_one_gateway_in_ten_rejects_all_for_four_seconds(tmp_path):
    """In bursts of a fifth more than all can bear 16 to 21 of 60 gateways reject all that they get. The
    cause: `Balancer.is_throttled_everywhere` holds a tenant's times against the best of classes as well as
    of tenants, so that with one tenant each request counts as waiting alone once most are slow, and all but
    one in two latency objectives is rejected. Held against its own kind alone, some classes get under half in
    a third of a long day."""
    for seed in (1, 2, 3):
        assert calm(tmp_path, 0.8, seed).rejects_all() <= 6


@pytest.mark.parametrize("pace", [0.5, 0.6, 0.8, 1.5])
def test_class_of_least_revenue_is_let_in_half_as_often_as_average(pace):
    request_classes = [
        interface.RequestClass(n, interface.IDEMPOTENT, S, 4 * S, revenue)
        for n, revenue in enumerate((0.01, 1.0, 1.99))
    ]
    made = balancer([line(1)], request_classes=request_classes, balancers=200)
    made.latency_ratio, let_in = pace, []
    for on in request_classes:
        let_in.append(sum(not made.sheds(request(on=on), NOW) for _ in range(5000)))
    assert let_in[0] >= 0.48 * let_in[1] and let_in[0] < let_in[1] < let_in[2]


# ---- requests that were never sent, and new connections closed without an answer


@pytest.mark.parametrize("effect", [interface.IDEMPOTENT, interface.DEDUPLICATED, interface.NON_IDEMPOTENT])
@pytest.mark.parametrize(
    "ends", [(), (interface.NOT_SENT,), (interface.UNCONNECTED, interface.NOT_SENT), (interface.REJECTED,)]
)
def test_requests_that_were_not_sent_are_rejected_not_aborted(effect, ends):
    on, dispatcher = request_class(effect=effect, repeat_scope="zone"), Dispatcher()
    made = balancer([line(1)], request_classes=[on])
    asked = request(on=on)
    for end in ends:
        sent(asked, made.instances[1], end)
    made.give_up(asked, dispatcher)
    assert dispatcher.calls[0][0] == "reject"


@pytest.mark.parametrize(
    "ends, counted", [((), 1), ((interface.UNCONNECTED,), 1), ((interface.UNCONNECTED, interface.RESET), 0)]
)
def test_gateway_counts_aborted_requests_that_were_not_sent(ends, counted):
    made = DispatcherOfGateway(
        interface.StartSettings(now=NOW, seed=1, request_classes=[request_class()]), Quiet(), Counters()
    )
    asked = request()
    asked.attempts = [interface.Attempt(asked, number, None, NOW, end) for number, end in enumerate(ends)]
    made.pending_requests[asked] = SimpleNamespace(client=SimpleNamespace(flush=None))
    made.abort(asked)
    assert made.counters.read().get("aborted unsent", 0) == counted


@pytest.mark.parametrize(
    "data, answered, reason, counted",
    [
        (COMMAND, False, "made room", 1),
        (COMMAND[:9], False, "silent", 1),
        (b"", False, "silent", 0),
        (COMMAND, True, "rest", 0),
        (COMMAND, False, "client closed", 0),
    ],
)
def test_gateway_counts_connections_closed_without_an_answer(ended, data, answered, reason, counted):
    client, theirs = ended
    theirs.sendall(data)
    if data:
        client.sock.recv(1, socket.MSG_PEEK)  # wait for the data
    client.has_had_response = answered
    client.close(reason)
    assert client.server.counters.read().get("new connections ended in vain", 0) == counted


def test_few_connections_at_the_limit_end_without_an_answer(tmp_path):
    """Clients open a connection for each request, a third more at once than the gateway accepts."""
    answers, each = Counter(), 50

    def come(number):
        for turn in range(each):
            client = clients.Client(ran.port)
            with contextlib.suppress(ConnectionError), client.sock:
                answer = client.ask(b"%d.%d" % (number, turn), "buy").read()
                answers[type(answer).__name__ if answer else "none"] += 1

    with gateway(tmp_path, InstanceServer().start(), limits={"sockets": 60}) as ran:  # 18 clients
        threads = [threading.Thread(target=come, args=(number,), daemon=True) for number in range(24)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        said = ran.counters()
        vain = said.get("aborted_unsent", 0) + said.get("new_connections_ended_in_vain", 0)
        assert said["taken"] >= 0.995 * 24 * each and vain <= said["taken"] / 200
        assert sum(answers.values()) - answers["none"] >= 0.995 * 24 * each


# ---- limits of the benchmark environment


def test_gateway_is_one_process_with_ipv4_sockets_only(tmp_path):
    """The bench refuses other programs, Unix sockets and IPv6."""
    root = pathlib.Path(__file__).parent.parent
    run = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]
    assert re.fullmatch(r"trap '' HUP USR1; (\w+=\S+ )*exec \.venv/bin/python -m lemonlead\.gateway", run)
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        assert client.ask().read() == b"aa"  # connections of all kinds are open
        until(lambda: ran.platform.asked and ran.discovery.asked)
        proc = pathlib.Path("/proc")
        parents = [path.read_text().rsplit(")", 1)[1].split()[1] for path in proc.glob("[0-9]*/stat")]
        assert str(ran.process.pid) not in parents
        files = [os.readlink(path) for path in (proc / str(ran.process.pid) / "fd").iterdir()]
        ours = {name[8:-1] for name in files if name.startswith("socket:")}
        ipv4 = {line.split()[9] for line in (proc / "net" / "tcp").read_text().splitlines()[1:]}
        assert len(ours) >= 4 and ours <= ipv4
