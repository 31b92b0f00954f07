"""Races of SIGHUP, list watches and news of builds, each forced in its worst order: `docs/crossings.md`.

Times are seconds.
"""

import errno
import json
import signal
import socket
import threading
import time
from types import SimpleNamespace

import pytest
from helpers import MS, NOW, balancer
from lemonlead import interface as at
from lemonlead.gateway import __main__ as program
from lemonlead.gateway import discovery, releases, managed_connection
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.discovery import Discovery
from lemonlead.gateway.config import address
from lemonlead.gateway.releases import Releases
from lemonlead.standins.discovery import DiscoveryServer, entry
from lemonlead.standins import fleet
from lemonlead.standins.fleet import SETTINGS
from lemonlead.standins.instances import InstanceServer, value_response
from lemonlead.standins.platform import PlatformServer
from lemonlead.standins.server import Server, until
from lemonlead.start_settings import start_from_settings

TIMEOUT_SECONDS = 20  # a wait for longer than this fails the test


class SilentLog:
    def info(self, *_, **more):
        pass

    warning = info


class RecordingDispatcher:
    """Records the events of the drivers. `gates`: functions to call before an event is taken, by its name."""

    def __init__(self):
        self.lists, self.failures, self.stages, self.gates = [], [], [], {}
        self.outcomes, self.taken = [], []  # of votes; the names of all events, once taken
        self.instances = SimpleNamespace(pools={}, listed=lambda *_: None)
        self.balancer = SimpleNamespace(list_received=self.list_received, list_failed=self.list_failed)
        self.balancer.vote_answered = lambda now, outcome: self.outcomes.append(outcome)

    def list_received(self, now, lines, whole, fresh):
        self.lists.append([row.id for row in lines])

    def list_failed(self, now, current, turned_away=False):
        self.failures.append(now)

    def stage_reported(self, now, *news):
        self.stages.append(news)

    def handle(self, event, *values):
        self.gates.get(getattr(event, "__name__", ""), lambda: None)()
        event(NOW, *values)
        self.taken.append(getattr(event, "__name__", ""))


@pytest.fixture
def servers():
    """Starts stand-in servers, which end with the test."""
    made = []

    def make(server):
        made.append(server.start())
        return server

    yield make
    for server in made:
        server.close()


def config_for(lists=None, platform=None):
    where = {"discovery": lists and address(lists.address)}
    where["platform"] = platform and address(platform.address)
    return SimpleNamespace(start=start_from_settings(SETTINGS, 7, NOW), zones={}, kinds={}, **where)


def run(work):
    threading.Thread(target=work, daemon=True).start()


def make_driver(server, ask=True):
    """Returns a discovery driver and its dispatcher. The list is requested; the test starts the driver's
    thread."""
    dispatcher = RecordingDispatcher()
    made = Discovery(config_for(server), dispatcher, SilentLog(), Counters())
    if ask:
        made.request_list()
    return made, dispatcher


# ---- SIGHUP while a watch is being opened


@pytest.fixture
def sockets(monkeypatch):
    """Hooks that are called before a socket connects, after that, and before it is shut down. The shutdown of
    an unconnected socket is only an error, as in POSIX; Linux would also end its connect."""
    calls = SimpleNamespace(before=lambda: None, after=lambda: None, shutting=lambda: None)

    class Posix(socket.socket):
        up = False

        def connect(self, where):
            calls.before()
            super().connect(where)
            self.up = True
            calls.after()

        def shutdown(self, how):
            calls.shutting()
            if not self.up:
                raise OSError(errno.ENOTCONN, "not connected")
            super().shutdown(how)

    monkeypatch.setattr(
        managed_connection, "socket", SimpleNamespace(socket=Posix, SHUT_RDWR=socket.SHUT_RDWR)
    )
    return calls


def once(action):
    """Returns a function that calls the action at its first call and does nothing later."""
    left = [action]
    return lambda: left.pop()() if left else None


def test_watch_opening_at_sighup_does_not_use_old_address(servers, sockets):
    old, new = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = make_driver(old)
    sockets.before = once(lambda: made.change_address(address(new.address)))
    new.publish(entry("new", new), full=True)
    run(made.run)
    until(lambda: dispatcher.lists == [["new"]], TIMEOUT_SECONDS)
    assert not old.asked and made.counters.read() == {"lists told": 1, "watches ended: moved": 1}


def test_news_requested_at_sighup_do_not_use_old_address(servers, sockets):
    old, new = servers(PlatformServer()), servers(PlatformServer())
    new.state = "2 0 trial 0.5 0"
    dispatcher = RecordingDispatcher()
    made = Releases(config_for(platform=old), dispatcher, SilentLog(), Counters())
    sockets.before = once(lambda: made.connection.change_address(address(new.address)))
    run(made.run_news)
    until(lambda: dispatcher.stages == [(2, 0, at.ON_TRIAL, 0.5, 0)], TIMEOUT_SECONDS)
    assert not old.asked and made.counters.read() == {"news told": 1, "news ended: moved": 1}


def test_address_change_and_back_ends_at_first_address(servers, sockets):
    first, second = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = make_driver(first)
    there_and_back = [
        lambda: made.change_address(address(first.address)),
        lambda: made.change_address(address(second.address)),
    ]
    sockets.before = lambda: there_and_back.pop()() if there_and_back else None
    first.publish(entry("a", first), full=True)
    run(made.run)
    until(lambda: dispatcher.lists == [["a"]], TIMEOUT_SECONDS)
    assert not there_and_back and not second.asked and len(first.asked) == 1


def test_list_of_old_service_is_not_taken_for_new_one(servers, sockets):
    """SIGHUP comes just after the connect: the new address is set while the old connection is open."""
    old, new = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = make_driver(old)
    moving, waits = threading.Event(), threading.Event()

    class HookedCondition(threading.Condition):
        def __enter__(self):
            if moving.is_set():
                waits.set()
            return super().__enter__()

    def move():
        run(lambda: made.change_address(address(new.address)))
        assert moving.wait(TIMEOUT_SECONDS)

    def shut():
        moving.set()
        until(lambda: waits.is_set() or dispatcher.lists, TIMEOUT_SECONDS)

    made.connection.condition = HookedCondition()
    sockets.after, sockets.shutting = once(move), once(shut)
    old.publish(entry("old", old), full=True, version=41)
    new.publish(entry("new", new), full=True, version=5)  # another service with its own versions
    run(made.run)
    until(lambda: new.asked and dispatcher.lists and dispatcher.lists != [["old"]], TIMEOUT_SECONDS)
    assert dispatcher.lists[-1] == ["new"] and made.version == 5


def test_late_list_of_old_address_does_not_delay_new_watch(servers):
    old, new = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = make_driver(old)
    read, moved = threading.Event(), threading.Event()
    dispatcher.gates["listed"] = once(lambda: (read.set(), moved.wait(TIMEOUT_SECONDS)))
    old.publish(entry("old", old), full=True)
    new.publish(entry("old", old), full=True)
    new.publish(entry("new", new), full=True)  # one service at two addresses, with continuous versions
    run(made.run)
    assert read.wait(TIMEOUT_SECONDS)
    made.change_address(address(new.address))
    moved.set()
    until(
        lambda: dispatcher.lists == [["old"], ["new"]], TIMEOUT_SECONDS
    )  # without another request for the list


# ---- SIGHUP during a pause


def test_crowded_old_address_lengthens_no_pause_at_new_one():
    """The address changes between the end of the old connection and the pause."""
    connection = managed_connection.ManagedConnection(("127.0.0.1", 1), 7, 0.05, 1.0)
    connection.run(lambda: None)
    connection.change_address(("127.0.0.1", 2))
    connection.pause_before_retry(crowded=True)
    assert connection.pause == connection.min_pause


def test_pause_ending_at_address_change_keeps_reset_length():
    connection = managed_connection.ManagedConnection(("127.0.0.1", 1), 7, 0.05, 1.0)
    at_end = once(lambda: connection.change_address(("127.0.0.1", 2)))

    class HookedCondition(threading.Condition):
        def wait_for(self, moving, seconds):
            return moving()  # the pause is over

        def __exit__(self, *error):
            super().__exit__(*error)
            at_end()

    connection.condition, connection.pause = HookedCondition(), 8.0
    connection.pause_before_retry(crowded=True)
    assert connection.address_changed and connection.pause == connection.min_pause


def test_address_change_without_a_socket_is_retried_after_pause(monkeypatch):
    """Otherwise the thread would loop without a pause until a descriptor is free."""
    connection, waited = managed_connection.ManagedConnection(("127.0.0.1", 1), 7, 0.05, 1.0), []
    connection.change_address(("127.0.0.1", 2))

    def none():
        raise OSError(errno.EMFILE, "too many")

    monkeypatch.setattr(managed_connection, "socket", SimpleNamespace(socket=none))
    assert connection.run(lambda: connection.connect(1.0))[0] == "unreachable"
    connection.condition.wait_for = lambda moving, seconds: waited.append((moving(), seconds))
    connection.pause_before_retry()
    assert waited[0][0] is False and waited[0][1] > 0


# ---- single bytes that never form a whole line


class DrippingServer(Server):
    """Answers a call with `head`, then sends `byte` every 10 ms until it is closed or cut off."""

    def __init__(self, head, byte):
        super().__init__()
        self.head, self.byte, self.over, self.cut_off = head, byte, threading.Event(), threading.Event()

    def serve(self, sock):
        sock.recv(4096)
        sock.sendall(self.head)
        try:
            while not self.over.wait(0.01):
                sock.sendall(self.byte)
        finally:
            self.cut_off.set()

    def close(self):
        self.over.set()
        super().close()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "head, byte",
    [
        (b"", b"H"),
        (b"HTTP/1.1 200 OK\r\n", b"x"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b" "),
        (CHUNKED, b"0"),
        (CHUNKED + b"1;", b"x"),
        (CHUNKED + b"ffff\r\n", b"["),
        (CHUNKED + b"1\r\n\n\r\n", b"0"),
    ],
    ids=["status", "header", "body", "chunk size", "chunk extension", "chunk", "after a sign of life"],
)
def test_bytes_without_a_whole_line_do_not_keep_watch_alive(head, byte, servers, monkeypatch):
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_SECONDS", 0.2)
    server = servers(DrippingServer(head, byte))
    made, dispatcher = make_driver(server)
    run(made.run)
    until(lambda: dispatcher.failures, TIMEOUT_SECONDS)
    assert made.counters.read() == {"watches ended: silent": 1} and server.cut_off.wait(TIMEOUT_SECONDS)


@pytest.mark.parametrize("head", [b"", b"OK\r\n", b"OK\r\n*\r\n* stage 1 0"])
def test_bytes_without_a_whole_line_do_not_keep_news_alive(head, servers, monkeypatch):
    monkeypatch.setattr(releases, "SILENCE_TIMEOUT_SECONDS", 0.2)
    server = servers(DrippingServer(head, b" "))
    made = Releases(config_for(platform=server), RecordingDispatcher(), SilentLog(), Counters())
    run(made.run_news)
    until(lambda: made.counters.read().get("news ended: silent"), TIMEOUT_SECONDS)
    assert server.cut_off.wait(TIMEOUT_SECONDS)


def test_slow_vote_response_times_out_as_unanswered(servers):
    server = servers(DrippingServer(b"OK 1 0 trial 0.5 ", b"0"))
    made = Releases(config_for(platform=server), RecordingDispatcher(), SilentLog(), Counters())
    assert made.send_vote(time.monotonic() + 0.2, (1, 0, at.VERDICT_PROMOTE)) == (at.UNANSWERED, None)
    assert server.cut_off.wait(TIMEOUT_SECONDS)


def test_read_after_its_deadline_is_refused_with_bytes_available():
    """Otherwise a peer that always has more bytes would be read forever."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(b"x")
        with pytest.raises(TimeoutError):
            managed_connection.read_until(ours, time.monotonic())
        managed_connection.read_until(ours, time.monotonic() + TIMEOUT_SECONDS)
        assert ours.recv(1) == b"x"


# ---- news and the response to a vote


@pytest.mark.parametrize("overtaken", [True, False])
def test_vote_response_does_not_override_newer_news(overtaken, servers):
    """Both report the state of builds, on separate connections. Either the response is processed after news
    of the rollback, or it is the first report of the rollback."""
    server, dispatcher = servers(PlatformServer()), RecordingDispatcher()
    made = Releases(config_for(platform=server), dispatcher, SilentLog(), Counters())
    server.state = "1 1 trial 0.5 5000"
    trial, back = (1, 1, at.ON_TRIAL, 0.5, 5000 * MS), (1, 1, at.ROLLING_BACK, 0.0, 100 * MS)
    run(made.run_news)
    until(lambda: dispatcher.stages == [trial], TIMEOUT_SECONDS)

    def overtake():
        server.publish("1 1 rolling_back 0 100")
        until(lambda: dispatcher.stages == [trial, back], TIMEOUT_SECONDS)

    if overtaken:
        dispatcher.gates["vote_answered"] = once(overtake)
    else:
        server.answer = lambda ballot: "OK 1 1 rolling_back 0 100"
    run(made.run_votes)
    made.vote(1, 1, at.VERDICT_PROMOTE)
    until(lambda: "vote_answered" in dispatcher.taken, TIMEOUT_SECONDS)
    assert dispatcher.stages == [trial, back] and dispatcher.outcomes == [at.COUNTED]


# ---- a response without a list, with any part of its body


@pytest.mark.parametrize("status", [b"503 Busy", b"302 Found", b"500 "])
@pytest.mark.parametrize(
    "rest",
    [b"", b"Retry-After", b"\r\n{", b"Transfer-Encoding: chunked\r\n\r\n9\r\n{"],
    ids=["nothing", "header", "body", "chunk"],
)
def test_too_many_callers_are_recognized_by_status_alone(status, rest, servers):
    """Otherwise a body that never ends would count as silence, and the gateway would retry sooner."""
    server = servers(DrippingServer(b"HTTP/1.1 " + status + b"\r\n" + rest, b""))
    made, dispatcher = make_driver(server)
    made.connection.random.uniform = lambda least, most: 0
    run(made.run)
    until(lambda: dispatcher.failures, TIMEOUT_SECONDS)
    assert made.counters.read() == {"watches ended: unavailable": 1} and not dispatcher.lists


def test_keepalive_at_new_address_shows_list_is_current(servers):
    """The service knows our version; otherwise it would send a list. Without this the balancer would promote
    no stage until the next change, and a silent watch there would keep the long pauses."""
    old, new = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = make_driver(old)
    dispatcher.balancer = balancer(ask_for_list=True)
    old.publish(entry("a", old), full=True)
    new.publish(entry("a", old), full=True)
    run(made.run)
    until(lambda: dispatcher.taken == ["listed"], TIMEOUT_SECONDS)

    def late():
        made.connection.pause = (
            managed_connection.MAX_CROWDED_PAUSE_SECONDS
        )  # as after too many callers there

    dispatcher.gates["list_failed"] = once(late)
    made.change_address(address(new.address))
    until(lambda: dispatcher.taken == ["listed", "list_failed", "list_is_current"], TIMEOUT_SECONDS)
    assert new.asked == ["/api/targets?stream=1&index=2"] and list(dispatcher.balancer.instances) == ["a"]
    assert dispatcher.balancer.list_call_at is None and made.connection.pause == made.connection.min_pause


# ---- signals at the start, and repeated SIGHUP


class EndingDiscovery(DiscoveryServer):
    """Ends each watch as soon as it is opened, after calling `then`."""

    def serve(self, sock):
        sock.recv(4096)
        self.then()


@pytest.mark.parametrize("signals", [(signal.SIGHUP,), (signal.SIGTERM,), (signal.SIGTERM, signal.SIGHUP)])
def test_signals_during_wait_for_first_list(signals, tmp_path, servers, monkeypatch):
    """The signals arrive before the wait ends, because the watch ends only after them."""
    started_ones, popen = [], fleet.subprocess.Popen

    def start(*words, **more):
        started_ones.append(popen(*words, **more))
        return started_ones[0]

    monkeypatch.setattr(fleet.subprocess, "Popen", start)
    old, new = InstanceServer().start(), InstanceServer(lambda words: value_response(b"new")).start()
    first, second = EndingDiscovery(), servers(DiscoveryServer())
    second.publish(entry("i0", old, "draining"), entry("i1", new), full=True, version=5)

    def then():
        config = json.loads((tmp_path / "config.json").read_text())
        (tmp_path / "config.json").write_text(json.dumps({**config, "discovery": second.address}))
        for one in signals:
            until(lambda: started_ones)[0].send_signal(one)

    first.then = once(then)
    pushed = {"Discovery": "push", "Balancers": 200}
    with fleet.gateway(
        tmp_path,
        old,
        new,
        entries=[entry("i0", old)],
        settings=pushed,
        source=first.start(),
        serves=signal.SIGTERM not in signals,
    ) as ran:
        if signal.SIGTERM in signals:
            assert ran.process.wait(60) == 0 and "event=stopped" in ran.log()
            assert "event=serving" not in ran.log()
        else:
            client = ran.client()
            until(lambda: client.ask().read() == b"new", TIMEOUT_SECONDS)
        assert ("configuration read" in ran.log()) == (signals == (signal.SIGHUP,))


def test_sighup_with_invalid_file_changes_no_address(tmp_path, monkeypatch):
    at_first = SimpleNamespace(
        start=start_from_settings(SETTINGS, 7, NOW), discovery=("h", 1), platform=("h", 2)
    )
    made, news = (
        one(at_first, RecordingDispatcher(), SilentLog(), Counters()) for one in (Discovery, Releases)
    )
    monkeypatch.setenv("ROUTER_CONFIG", str(tmp_path / "config.json"))
    at_where = []
    for lists, dispatcher in [("3", "4"), ("5", "no"), ("no", "6"), (None, "6"), ("1", "2")]:
        lists = lists and f"127.0.0.1:{lists}"
        config = {"discovery": lists, "release_api": {"address": f"127.0.0.1:{dispatcher}"}}
        (tmp_path / "config.json").write_text(json.dumps(config))
        program.change_addresses(made, news, SilentLog())
        at_where.append((made.connection.address[1], news.connection.address[1]))
    assert at_where == [(3, 4)] * 4 + [(1, 2)]


# ---- lists in the wrong order


def test_older_list_at_same_address_is_ignored(servers):
    """A list may be late, even the first one of a watch. It must not revive an instance that drains."""
    server = servers(DiscoveryServer())
    made, dispatcher = make_driver(server)
    server.publish(entry("a", server), entry("b", server), full=True)
    server.publish(entry("b", server, "draining"))
    run(made.run)
    until(lambda: len(dispatcher.lists) == 2, TIMEOUT_SECONDS)
    server.end_connections()
    until(lambda: dispatcher.failures, TIMEOUT_SECONDS)
    server.updates = server.updates[:1]
    made.request_list()
    until(lambda: len(dispatcher.lists) == 3, TIMEOUT_SECONDS)
    assert dispatcher.lists == [["a", "b"], ["b"], []] and made.version == 3


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize(
    "entries, there",
    [
        ([("up", 1, 0), ("draining", 1, 0)], None),
        ([("draining", 1, 0), ("up", 1, 0)], (1, 0)),
        ([("removed", 1, 0), ("up", 2, 9)], (2, 9)),
        ([("up", 1, 0), ("up", 2, 9)], (2, 9)),
        ([("up", 2, 9), ("removed", 2, 9)], None),
    ],
)
def test_last_entry_of_a_duplicate_id_counts(entries, there, whole, servers):
    server, pools = servers(DiscoveryServer()), {}
    made, dispatcher = make_driver(server)
    dispatcher.balancer, dispatcher.instances.listed = (
        balancer(),
        lambda id, where, since: pools.update({id: where}),
    )
    lines = [entry("a", server, state, build, since) for state, build, since in entries]
    made.process_update(json.dumps({"version": 2, "full": whole, "servers": lines}).encode(), made.source)
    members = dispatcher.balancer.instances
    rows = {id: (one.build.number, one.started // 10**6) for id, one in members.items()}
    assert rows == ({"a": there} if there else {})
    assert pools == {"a": address(server.address) if there else None}


def test_list_is_old_after_503_until_keepalive(servers):
    """The failure is reported before the next watch begins, so it cannot come after that watch's list."""
    server, over = servers(DrippingServer(b"HTTP/1.1 503 Busy\r\n", b"")), threading.Event()
    made, dispatcher = make_driver(server)
    dispatcher.balancer = balancer(ask_for_list=True)
    dispatcher.gates["list_failed"] = once(lambda: over.wait(TIMEOUT_SECONDS))
    made.connection.random.uniform = lambda least, most: 0
    ages = []  # whether the list was old just before the keepalive
    dispatcher.gates["list_is_current"] = once(
        lambda: ages.append(dispatcher.balancer.list_call_at is not None)
    )
    dispatcher.balancer.list_received(NOW, [], False, True)
    run(made.run)
    until(lambda: made.counters.read().get("watches ended: unavailable"), TIMEOUT_SECONDS)
    server.head, server.byte = CHUNKED + b"1\r\n\n\r\n", b""
    made.request_list()  # early: before the failure is reported
    over.set()
    until(lambda: ages and dispatcher.balancer.list_call_at is None, TIMEOUT_SECONDS)
    assert ages == [True] and made.counters.read() == {"watches ended: unavailable": 1}


def test_discovery_down_at_start_is_used_once_it_is_up(servers):
    server = DiscoveryServer()
    server.listener.close()
    with socket.socket() as listener:  # bound but not listening: reserved and refused
        listener.bind(address(server.address))
        made, dispatcher = make_driver(server)
        run(made.run)
        assert made.first_result.wait(TIMEOUT_SECONDS)
        until(lambda: dispatcher.failures, TIMEOUT_SECONDS)
        assert made.counters.read() == {"watches ended: refused": 1} and not dispatcher.lists
        server.publish(entry("a", server), full=True)
        server.listener = listener
        listener.listen()
        servers(server)
        made.request_list()  # as the balancer does in its time
        until(lambda: dispatcher.lists == [["a"]], TIMEOUT_SECONDS)


def test_too_many_callers_at_start_do_not_count_as_first_result(servers):
    """The balancer counts as knowing discovery's list from the start, although none has arrived yet."""
    server = servers(DrippingServer(b"HTTP/1.1 503 Busy\r\n", b""))
    made, dispatcher = make_driver(server)
    made.connection.random.uniform = lambda least, most: 0
    run(made.run)
    until(lambda: dispatcher.failures, TIMEOUT_SECONDS)
    assert not made.first_result.is_set()
    server.head = CHUNKED + b"2d\r\n" + b'{"version": 9, "full": true, "servers": []}\r\n\r\n'
    made.request_list()
    assert made.first_result.wait(TIMEOUT_SECONDS) and dispatcher.lists == [[]]
