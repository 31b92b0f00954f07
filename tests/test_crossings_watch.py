"""SIGHUP, watches of the list and news of builds: each bad order of two events, forced (`docs/crossings.md`).

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
from lemonlead.standins.instances import InstanceServer, gives
from lemonlead.standins.platform import PlatformServer
from lemonlead.standins.server import Server, until
from lemonlead.start_settings import start_from_settings

SOON = 20  # a bound on waits that fails a test; no verdict depends on it where the code is right


class Quiet:
    def info(self, *_, **more):
        pass

    warning = info


class Dispatcher:
    """Takes down what the drivers tell. `gates`: by an input's name, what is called before it is taken."""

    def __init__(self):
        self.lists, self.failures, self.stages, self.gates = [], [], [], {}
        self.outcomes, self.taken = [], []  # of votes; the names of all inputs, once they are taken
        self.instances = SimpleNamespace(pools={}, listed=lambda *_: None)
        self.balancer = SimpleNamespace(list_received=self.list_received, list_failed=self.list_failed)
        self.balancer.vote_answered = lambda now, outcome: self.outcomes.append(outcome)

    def list_received(self, now, lines, whole, fresh):
        self.lists.append([row.id for row in lines])

    def list_failed(self, now, current):
        self.failures.append(now)

    def stage_reported(self, now, *news):
        self.stages.append(news)

    def handle(self, happened, *values):
        self.gates.get(getattr(happened, "__name__", ""), lambda: None)()
        happened(NOW, *values)
        self.taken.append(getattr(happened, "__name__", ""))


@pytest.fixture
def servers():
    """Makes stand-ins, which end with the test."""
    made = []

    def make(server):
        made.append(server.start())
        return server

    yield make
    for server in made:
        server.close()


def place(lists=None, platform=None):
    where = {"discovery": lists and address(lists.address)}
    where["platform"] = platform and address(platform.address)
    return SimpleNamespace(start=start_from_settings(SETTINGS, 7, NOW), zones={}, kinds={}, **where)


def run(work):
    threading.Thread(target=work, daemon=True).start()


def watch(server, ask=True):
    """The driver of discovery and its dispatcher; it is asked for the list, and its thread waits to be
    run."""
    dispatcher = Dispatcher()
    made = Discovery(place(server), dispatcher, Quiet(), Counters())
    if ask:
        made.request_list()
    return made, dispatcher


# ---- SIGHUP against a watch that is being opened


@pytest.fixture
def sockets(monkeypatch):
    """What is called before a socket connects, after it has, and before it is shut down. An unconnected one's
    shutdown is an error and nothing more, as POSIX has it; Linux ends it all the same."""
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
    """The action at the first call, and nothing at those after it."""
    left = [action]
    return lambda: left.pop()() if left else None


def test_a_watch_that_was_being_opened_at_sighup_does_not_go_on_at_the_old_address(servers, sockets):
    old, new = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = watch(old)
    sockets.before = once(lambda: made.change_address(address(new.address)))
    new.tell(entry("new", new), full=True)
    run(made.run)
    until(lambda: dispatcher.lists == [["new"]], SOON)
    assert not old.asked and made.counters.read() == {"lists told": 1, "watches ended: moved": 1}


def test_news_that_were_being_asked_for_at_sighup_are_not_heard_from_the_old_address(servers, sockets):
    old, new = servers(PlatformServer()), servers(PlatformServer())
    new.state = "2 0 trial 0.5 0"
    dispatcher = Dispatcher()
    made = Releases(place(platform=old), dispatcher, Quiet(), Counters())
    sockets.before = once(lambda: made.connection.change_address(address(new.address)))
    run(made.run_news)
    until(lambda: dispatcher.stages == [(2, 0, at.ON_TRIAL, 0.5, 0)], SOON)
    assert not old.asked and made.counters.read() == {"news told": 1, "news ended: moved": 1}


def test_sighup_there_and_back_while_a_watch_is_opened_ends_at_the_first_address(servers, sockets):
    first, second = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = watch(first)
    there_and_back = [
        lambda: made.change_address(address(first.address)),
        lambda: made.change_address(address(second.address)),
    ]
    sockets.before = lambda: there_and_back.pop()() if there_and_back else None
    first.tell(entry("a", first), full=True)
    run(made.run)
    until(lambda: dispatcher.lists == [["a"]], SOON)
    assert not there_and_back and not second.asked and len(first.asked) == 1


def test_a_list_of_the_old_service_is_not_taken_for_one_of_the_new(servers, sockets):
    """SIGHUP just after the connection came up: the new address stands, the old connection does too."""
    old, new = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = watch(old)
    moving, waits = threading.Event(), threading.Event()

    class Room(threading.Condition):
        def __enter__(self):
            if moving.is_set():
                waits.set()
            return super().__enter__()

    def move():
        run(lambda: made.change_address(address(new.address)))
        assert moving.wait(SOON)

    def shut():
        moving.set()
        until(lambda: waits.is_set() or dispatcher.lists, SOON)

    made.connection.condition = Room()
    sockets.after, sockets.shutting = once(move), once(shut)
    old.tell(entry("old", old), full=True, version=41)
    new.tell(entry("new", new), full=True, version=5)  # a service that counts anew
    run(made.run)
    until(lambda: new.asked and dispatcher.lists and dispatcher.lists != [["old"]], SOON)
    assert dispatcher.lists[-1] == ["new"] and made.version == 5


def test_a_list_that_the_old_address_told_late_does_not_keep_the_new_one_waiting(servers):
    old, new = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = watch(old)
    read, moved = threading.Event(), threading.Event()
    dispatcher.gates["listed"] = once(lambda: (read.set(), moved.wait(SOON)))
    old.tell(entry("old", old), full=True)
    new.tell(entry("old", old), full=True)
    new.tell(entry("new", new), full=True)  # one service at two addresses: its versions go on
    run(made.run)
    assert read.wait(SOON)
    made.change_address(address(new.address))
    moved.set()
    until(lambda: dispatcher.lists == [["old"], ["new"]], SOON)  # no one asks anew


# ---- SIGHUP against a pause


def test_too_many_callers_at_the_old_address_lengthen_no_pause_at_the_new_one():
    """The move comes between the end of the old connection and its pause."""
    kept = managed_connection.ManagedConnection(("127.0.0.1", 1), 7, 0.05, 1.0)
    kept.run(lambda: None)
    kept.change_address(("127.0.0.1", 2))
    kept.pause_before_retry(crowded=True)
    assert kept.pause == kept.min_pause


def test_a_pause_that_ends_as_the_address_moves_does_not_bring_back_its_length():
    kept = managed_connection.ManagedConnection(("127.0.0.1", 1), 7, 0.05, 1.0)
    at_end = once(lambda: kept.change_address(("127.0.0.1", 2)))

    class Room(threading.Condition):
        def wait_for(self, moving, seconds):
            return moving()  # the time is over

        def __exit__(self, *error):
            super().__exit__(*error)
            at_end()

    kept.condition, kept.pause = Room(), 8.0
    kept.pause_before_retry(crowded=True)
    assert kept.address_changed and kept.pause == kept.min_pause


def test_a_move_for_which_no_socket_is_to_be_had_is_tried_after_a_pause(monkeypatch):
    """Else the thread would turn without a rest until a descriptor is free."""
    kept, waited = managed_connection.ManagedConnection(("127.0.0.1", 1), 7, 0.05, 1.0), []
    kept.change_address(("127.0.0.1", 2))

    def none():
        raise OSError(errno.EMFILE, "too many")

    monkeypatch.setattr(managed_connection, "socket", SimpleNamespace(socket=none))
    assert kept.run(lambda: kept.connect(1.0))[0] == "unreachable"
    kept.condition.wait_for = lambda moving, seconds: waited.append((moving(), seconds))
    kept.pause_before_retry()
    assert waited[0][0] is False and waited[0][1] > 0


# ---- silence that is broken by bytes, but by nothing whole


class Drip(Server):
    """Answers what is asked with `head`, then with one more byte every 10 ms, until it is told that it is
    over or cut off."""

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
def test_bytes_that_never_make_a_line_do_not_keep_a_watch_alive(head, byte, servers, monkeypatch):
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_SECONDS", 0.2)
    server = servers(Drip(head, byte))
    made, dispatcher = watch(server)
    run(made.run)
    until(lambda: dispatcher.failures, SOON)
    assert made.counters.read() == {"watches ended: silent": 1} and server.cut_off.wait(SOON)


@pytest.mark.parametrize("head", [b"", b"OK\r\n", b"OK\r\n*\r\n* stage 1 0"])
def test_bytes_that_never_make_a_line_do_not_keep_news_alive(head, servers, monkeypatch):
    monkeypatch.setattr(releases, "SILENCE_TIMEOUT_SECONDS", 0.2)
    server = servers(Drip(head, b" "))
    made = Releases(place(platform=server), Dispatcher(), Quiet(), Counters())
    run(made.run_news)
    until(lambda: made.counters.read().get("news ended: silent"), SOON)
    assert server.cut_off.wait(SOON)


def test_a_vote_whose_answer_comes_byte_by_byte_is_unanswered_once_its_time_is_over(servers):
    server = servers(Drip(b"OK 1 0 trial 0.5 ", b"0"))
    made = Releases(place(platform=server), Dispatcher(), Quiet(), Counters())
    assert made.send_vote(time.monotonic() + 0.2, (1, 0, at.VERDICT_PROMOTE)) == (at.UNANSWERED, None)
    assert server.cut_off.wait(SOON)


def test_a_read_past_its_moment_is_refused_though_bytes_are_there():
    """Else a peer that always has some more would be read for good."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(b"x")
        with pytest.raises(TimeoutError):
            managed_connection.read_until(ours, time.monotonic())
        managed_connection.read_until(ours, time.monotonic() + SOON)
        assert ours.recv(1) == b"x"


# ---- news against the answer to a vote


@pytest.mark.parametrize("overtaken", [True, False])
def test_an_answer_to_a_vote_does_not_bring_back_what_news_have_ended(overtaken, servers):
    """Both tell the state of builds, on connections of their own. The answer waits, read, until news of the
    way back were told; or it is the first to tell of it."""
    server, dispatcher = servers(PlatformServer()), Dispatcher()
    made = Releases(place(platform=server), dispatcher, Quiet(), Counters())
    server.state = "1 1 trial 0.5 5000"
    trial, back = (1, 1, at.ON_TRIAL, 0.5, 5000 * MS), (1, 1, at.ROLLING_BACK, 0.0, 100 * MS)
    run(made.run_news)
    until(lambda: dispatcher.stages == [trial], SOON)

    def overtake():
        server.tell("1 1 rolling_back 0 100")
        until(lambda: dispatcher.stages == [trial, back], SOON)

    if overtaken:
        dispatcher.gates["vote_answered"] = once(overtake)
    else:
        server.answer = lambda ballot: "OK 1 1 rolling_back 0 100"
    run(made.run_votes)
    made.vote(1, 1, at.VERDICT_PROMOTE)
    until(lambda: "vote_answered" in dispatcher.taken, SOON)
    assert dispatcher.stages == [trial, back] and dispatcher.outcomes == [at.COUNTED]


# ---- an answer that is no list, whatever comes of its body


@pytest.mark.parametrize("status", [b"503 Busy", b"302 Found", b"500 "])
@pytest.mark.parametrize(
    "rest",
    [b"", b"Retry-After", b"\r\n{", b"Transfer-Encoding: chunked\r\n\r\n9\r\n{"],
    ids=["nothing", "header", "body", "chunk"],
)
def test_too_many_callers_are_known_by_the_status_alone(status, rest, servers):
    """A body that never ends would have it taken for silence, and the gateway come again sooner."""
    server = servers(Drip(b"HTTP/1.1 " + status + b"\r\n" + rest, b""))
    made, dispatcher = watch(server)
    made.connection.random.uniform = lambda least, most: 0
    run(made.run)
    until(lambda: dispatcher.failures, SOON)
    assert made.counters.read() == {"watches ended: unavailable": 1} and not dispatcher.lists


def test_signs_of_life_alone_at_a_new_address_show_that_the_list_is_current(servers):
    """The service has the version that it was asked for, else it would tell a list. Without this the balancer
    votes no stage on until the next change, and a watch there that fell silent keeps the long pauses."""
    old, new = servers(DiscoveryServer()), servers(DiscoveryServer())
    made, dispatcher = watch(old)
    dispatcher.balancer = balancer(ask_for_list=True)
    old.tell(entry("a", old), full=True)
    new.tell(entry("a", old), full=True)
    run(made.run)
    until(lambda: dispatcher.taken == ["listed"], SOON)

    def late():
        made.connection.pause = (
            managed_connection.MAX_CROWDED_PAUSE_SECONDS
        )  # as after too many callers there

    dispatcher.gates["list_failed"] = once(late)
    made.change_address(address(new.address))
    until(lambda: dispatcher.taken == ["listed", "list_failed", "list_is_current"], SOON)
    assert new.asked == ["/api/targets?stream=1&index=2"] and list(dispatcher.balancer.instances) == ["a"]
    assert dispatcher.balancer.list_call_at is None and made.connection.pause == made.connection.min_pause


# ---- SIGHUP and SIGTERM at the start, and SIGHUP after SIGHUP


class Asked(DiscoveryServer):
    """Ends each watch as soon as it is asked for, after `then`."""

    def serve(self, sock):
        sock.recv(4096)
        self.then()


@pytest.mark.parametrize("signals", [(signal.SIGHUP,), (signal.SIGTERM,), (signal.SIGTERM, signal.SIGHUP)])
def test_of_signals_in_the_wait_for_the_first_list_sighup_is_heeded_after_it_and_sigterm_ends_it(
    signals, tmp_path, servers, monkeypatch
):
    """The signals are there before the wait ends, as the watch ends only after them."""
    started_ones, popen = [], fleet.subprocess.Popen

    def start(*words, **more):
        started_ones.append(popen(*words, **more))
        return started_ones[0]

    monkeypatch.setattr(fleet.subprocess, "Popen", start)
    old, new = InstanceServer().start(), InstanceServer(lambda words: gives(b"new")).start()
    first, second = Asked(), servers(DiscoveryServer())
    second.tell(entry("i0", old, "draining"), entry("i1", new), full=True, version=5)

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
            until(lambda: client.ask().read() == b"new", SOON)
        assert ("configuration read" in ran.log()) == (signals == (signal.SIGHUP,))


def test_of_two_sighups_in_a_row_one_with_a_file_that_is_unfit_changes_nothing(tmp_path, monkeypatch):
    at_first = SimpleNamespace(
        start=start_from_settings(SETTINGS, 7, NOW), discovery=("h", 1), platform=("h", 2)
    )
    made, news = (one(at_first, Dispatcher(), Quiet(), Counters()) for one in (Discovery, Releases))
    monkeypatch.setenv("ROUTER_CONFIG", str(tmp_path / "config.json"))
    at_where = []
    for lists, dispatcher in [("3", "4"), ("5", "no"), ("no", "6"), (None, "6"), ("1", "2")]:
        lists = lists and f"127.0.0.1:{lists}"
        config = {"discovery": lists, "release_api": {"address": f"127.0.0.1:{dispatcher}"}}
        (tmp_path / "config.json").write_text(json.dumps(config))
        program.change_addresses(made, news, Quiet())
        at_where.append((made.connection.address[1], news.connection.address[1]))
    assert at_where == [(3, 4)] * 4 + [(1, 2)]


# ---- lists that cross each other


def test_an_older_list_at_the_same_address_brings_nothing_back(servers):
    """Lists may come late, the first of a new watch too: what was told to drain is not sent to again."""
    server = servers(DiscoveryServer())
    made, dispatcher = watch(server)
    server.tell(entry("a", server), entry("b", server), full=True)
    server.tell(entry("b", server, "draining"))
    run(made.run)
    until(lambda: len(dispatcher.lists) == 2, SOON)
    server.cut()
    until(lambda: dispatcher.failures, SOON)
    server.updates = server.updates[:1]
    made.request_list()
    until(lambda: len(dispatcher.lists) == 3, SOON)
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
def test_of_an_id_that_is_twice_in_a_list_the_last_entry_counts_everywhere(entries, there, whole, servers):
    server, pools = servers(DiscoveryServer()), {}
    made, dispatcher = watch(server)
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


def test_a_list_in_hand_is_old_from_a_503_until_discovery_says_that_nothing_changed(servers):
    """And what failed is told before the next watch is begun, so that it can't follow that watch's list."""
    server, over = servers(Drip(b"HTTP/1.1 503 Busy\r\n", b"")), threading.Event()
    made, dispatcher = watch(server)
    dispatcher.balancer = balancer(ask_for_list=True)
    dispatcher.gates["list_failed"] = once(lambda: over.wait(SOON))
    made.connection.random.uniform = lambda least, most: 0
    ages = []  # whether it was old just before discovery was heard
    dispatcher.gates["list_is_current"] = once(
        lambda: ages.append(dispatcher.balancer.list_call_at is not None)
    )
    dispatcher.balancer.list_received(NOW, [], False, True)
    run(made.run)
    until(lambda: made.counters.read().get("watches ended: unavailable"), SOON)
    server.head, server.byte = CHUNKED + b"1\r\n\n\r\n", b""
    made.request_list()  # early: while the failure is not told yet
    over.set()
    until(lambda: ages and dispatcher.balancer.list_call_at is None, SOON)
    assert ages == [True] and made.counters.read() == {"watches ended: unavailable": 1}


def test_discovery_that_is_down_at_the_start_is_waited_for_no_longer_and_heard_once_it_is_up(servers):
    server = DiscoveryServer()
    server.listener.close()
    with socket.socket() as listener:  # bound, so that the address stays ours; refused until it listens
        listener.bind(address(server.address))
        made, dispatcher = watch(server)
        run(made.run)
        assert made.first_result.wait(SOON)
        until(lambda: dispatcher.failures, SOON)
        assert made.counters.read() == {"watches ended: refused": 1} and not dispatcher.lists
        server.tell(entry("a", server), full=True)
        server.listener = listener
        listener.listen()
        servers(server)
        made.request_list()  # as the balancer does in its time
        until(lambda: dispatcher.lists == [["a"]], SOON)


def test_too_many_callers_at_the_start_do_not_let_clients_in_before_the_list(servers):
    """What discovery has counts as told from the first moment, though it had no time to tell it yet."""
    server = servers(Drip(b"HTTP/1.1 503 Busy\r\n", b""))
    made, dispatcher = watch(server)
    made.connection.random.uniform = lambda least, most: 0
    run(made.run)
    until(lambda: dispatcher.failures, SOON)
    assert not made.first_result.is_set()
    server.head = CHUNKED + b"2d\r\n" + b'{"version": 9, "full": true, "servers": []}\r\n\r\n'
    made.request_list()
    assert made.first_result.wait(SOON) and dispatcher.lists == [[]]
