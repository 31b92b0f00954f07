"""Events of a client's connection that can cross, each forced in its bad order: `docs/crossings.md`."""

import contextlib
import json
import socket
import struct
import threading
import time
from types import SimpleNamespace

import pytest
from lemonlead import interface as at
from lemonlead.gateway import clients
from lemonlead.gateway import config as configs
from lemonlead.gateway import dispatcher as dispatchers
from lemonlead.gateway import instances, resp
from lemonlead.gateway.clients import Server
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.discovery import Discovery
from lemonlead.gateway.dispatcher import Dispatcher
from lemonlead.gateway.instances import Instances
from lemonlead.gateway.thread_pool import ThreadPool
from lemonlead.standins.clients import Client
from lemonlead.standins.discovery import entry
from lemonlead.standins.fleet import SETTINGS
from lemonlead.standins.instances import InstanceServer, gives
from lemonlead.standins.server import until


class Lines:
    """A log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def info(self, event, **more):
        self.lines.append((event, more))

    warning = error = info


@contextlib.contextmanager
def gateway(tmp_path, *servers, limits=None, entries=None, **settings):
    """A gateway in this process among these instances, all on loopback: `gateway_server`, `dispatcher`,
    `log`, `count(name)`, `tell(*entries)` changes its list, `client()` connects one and waits until ours
    stands, which is `ours(client)`."""
    known = entries or [entry(f"i{n}", server) for n, server in enumerate(servers)]
    config = {
        "name": "g0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": limits or {"memory_mb": 192, "sockets": 1024},
        "release_api": {"news": {"release": 1, "tranche": 0, "mode": "released", "exposure": 1, "old_ms": 9}},
        "known": {"version": 1, "servers": known},
        "settings": {**SETTINGS, **settings},
    }
    (tmp_path / "config.json").write_text(json.dumps(config))
    config = configs.read({"ROUTER_CONFIG": str(tmp_path / "config.json")})
    log, counters, thread_pool = Lines(), Counters(), ThreadPool()
    dispatcher = Dispatcher(config.start, log, counters)
    dispatcher.instances = Instances(config, dispatcher, thread_pool, log, counters)
    dispatcher.discovery = discovery = Discovery(config, dispatcher, log, counters)
    gateway_server = Server(config, dispatcher, thread_pool, log, counters)
    with dispatcher.lock:
        # its watch stands: else the list would hold for some seconds only
        discovery.listed(configs.now(), *discovery.parse_update(config.known), True, True)
        dispatcher.balancer.stage_reported(configs.now(), *config.news)
    threading.Thread(target=dispatcher.run_timer, daemon=True).start()
    gateway_server.open()
    thread = threading.Thread(target=gateway_server.run, daemon=True)
    thread.start()
    port, made = gateway_server.listener.getsockname()[1], []

    def client():
        made.append(Client(port))
        until(lambda: ours(made[-1]))
        return made[-1]

    def ours(client):
        theirs = client.sock.getsockname()
        with gateway_server.condition:
            for one in gateway_server.clients:
                with contextlib.suppress(OSError):  # its own has ended
                    if one.sock.getpeername() == theirs:
                        return one

    def count(name):
        return counters.read().get(name, 0)

    def tell(*entries):
        whole = {"version": 2, "full": False, "servers": list(entries)}
        dispatcher.handle(discovery.listed, *discovery.parse_update(whole), False, True)

    try:
        yield SimpleNamespace(
            gateway_server=gateway_server,
            dispatcher=dispatcher,
            log=log,
            count=count,
            client=client,
            ours=ours,
            tell=tell,
            thread=thread,
        )
        assert not [line for line in log.lines if line[0] == "fault"] and thread.is_alive()
    finally:
        for one in made:
            one.sock.close()
        gateway_server.closing = True
        thread.join(10)
        gateway_server.listener.close()
        for server in servers:
            server.close()


class Held(InstanceServer):
    """An instance that answers each request with its key once `go` is set."""

    def __init__(self):
        self.go = threading.Event()
        super().__init__(lambda words: self.go.wait(60) and gives(words[1]))

    def close(self):
        self.go.set()
        super().close()


def reset(client):
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.close()


ENDS = pytest.mark.parametrize("end", [reset, lambda client: client.sock.close()], ids=["reset", "fin"])


# nor sent twice
SLOW = [{**request_class, "Slo": 400_000.0, "GiveUp": 400_000.0} for request_class in SETTINGS["Lanes"]]


class Paused:
    """A client's socket whose reads wait from now on, until `go` is set; `met` once one does."""

    def __init__(self, ours):
        self.sock, self.met, self.go = ours.sock, threading.Event(), threading.Event()
        ours.sock = self
        assert self.met.wait(60)

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def recv_into(self, room):
        self.met.set()
        assert self.go.wait(60)
        return self.sock.recv_into(room)

    def come(self):
        """Waits until what was written has come."""
        self.sock.recv(1, socket.MSG_PEEK)


# ---- the listener's look at a client, and what its thread reads meanwhile


class Ending:
    """A moment that its owner sets to None between two looks at it."""

    def __init__(self, first):
        self.values = [first]

    def __get__(self, client, kind):
        return self.values.pop() if self.values else None

    def __set__(self, client, value):
        pass


def test_half_a_command_that_becomes_whole_during_a_look_at_it_is_no_error(tmp_path, monkeypatch):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        ours = ran.ours(client)
        monkeypatch.setattr(type(ours), "partial_since", Ending(time.monotonic()), raising=False)
        assert ours.is_idle() is False
        monkeypatch.undo()
        assert client.ask().read() == b"aa"


# ---- bytes counted against the room for all


@pytest.mark.parametrize("behind", [False, True])
def test_a_large_ping_gives_back_no_room_that_it_never_took(tmp_path, behind):
    server = Held()
    with gateway(tmp_path, server.start()) as ran:
        client = ran.client()
        if behind:
            client.ask()
        else:
            server.go.set()
        client.write(resp.command([b"PING", b"x" * 60_000]))
        if behind:
            until(lambda: len(ran.ours(client).pending_requests) == 2)
            client.sock.close()  # it is not answered, but dropped with its connection
        else:
            assert client.read() == b"PONG"
            client.sock.close()
        until(lambda: not ran.gateway_server.clients)
        assert ran.gateway_server.large_command_bytes == 0


def buys(client, id, size=60_000):
    return client.write(resp.command([b"Q.DO", b"key", id, b"c=buy,t=acme,d=20000", b"x" * size]))


@ENDS
@pytest.mark.parametrize("answered", [True, False])
def test_each_large_command_gives_back_its_room_once_however_it_ends(tmp_path, end, answered):
    server = Held()
    with gateway(tmp_path, server.start()) as ran:
        client, other = ran.client(), ran.client()
        buys(client, b"id1")
        until(lambda: server.got)
        assert buys(other, b"id1").read().startswith(b"ERR no request: its id")
        # less their buffers
        one = ran.gateway_server.large_command_bytes - sum(
            theirs.counted_bytes for theirs in ran.gateway_server.clients
        )
        assert 60_000 < one < 61_000
        if answered:
            server.go.set()
            assert client.read() == b"key"
        end(other)
        end(client)
        until(lambda: not ran.gateway_server.clients)
        assert ran.gateway_server.large_command_bytes == 0


@pytest.mark.parametrize(
    "size, room, fits", [(60_000, 95_000, True), (60_000, 85_000, False), (6_000, 1, True)]
)
def test_a_large_command_is_rejected_where_there_is_no_room_and_never_cut_short_once_taken(
    tmp_path, size, room, fits
):
    """While it is read, half of its buffer counts as well."""
    server = InstanceServer().start()
    with gateway(tmp_path, server) as ran:
        client = ran.client()
        assert ran.gateway_server.reserve_bytes(others := ran.gateway_server.max_large_command_bytes - room)
        paused = Paused(ran.ours(client))
        buys(client, b"id1", size)
        until(lambda: len(paused.sock.recv(1 << 17, socket.MSG_PEEK)) > size)  # so each read fills its buffer
        paused.go.set()
        answer = client.read()
        assert answer == b"key" if fits else answer.startswith(b"BUSY") and not server.got
        assert client.write(resp.command([b"PING"])).read() == b"PONG"  # its connection stays
        assert ran.gateway_server.large_command_bytes == others


# ---- a client that goes, with its thread held and what it asked not yet sent on


@pytest.fixture
def waiting(tmp_path):
    """A gateway whose one instance drains, so that what it takes waits for its first attempt."""
    server = InstanceServer().start()
    with gateway(tmp_path, server, entries=[entry("i0", server, "draining")], Lanes=SLOW) as ran:
        ran.server = server
        yield ran


def left_at_once(ran, asked):
    """Whether all that its client asked is dropped soon after its end, and nothing of it is sent on then."""
    until(lambda: ran.count("left") == asked, 20)
    until(lambda: not ran.gateway_server.clients, 20)
    ran.tell(entry("i0", ran.server))
    assert ran.client().ask(b"other").read() == b"other"
    return [words[1] for words in ran.server.got] == [b"other"] and ran.count("taken") == asked + 1


@ENDS
def test_the_end_of_a_client_is_seen_though_it_asked_more_than_is_read(waiting, end):
    client = waiting.client()
    for _ in range(clients.MAX_PENDING_REQUESTS + 9):
        client.ask(wait=400_000)
    until(lambda: waiting.count("taken") == clients.MAX_PENDING_REQUESTS)
    end(client)
    assert left_at_once(waiting, clients.MAX_PENDING_REQUESTS)


def test_the_end_of_a_client_is_looked_for_in_time_while_nothing_more_is_read(waiting):
    """An attempt that begins over 0.1 s after the end is a break; half of that is for the way."""
    client, lengths = waiting.client(), []
    ours = waiting.ours(client)
    wait, ours.condition.wait = ours.condition.wait, lambda length: lengths.append(length) or wait(length)
    for _ in range(clients.MAX_PENDING_REQUESTS + 1):
        client.ask(wait=400_000)
    until(lambda: lengths)
    assert 0 < max(lengths) <= 0.05


@ENDS
def test_the_end_of_a_client_is_seen_while_it_is_made_to_wait_for_nonsense(waiting, end, monkeypatch):
    monkeypatch.setattr(clients, "PENALTY_SECONDS", 60)
    monkeypatch.setattr(clients, "MAX_PENALTY_SECONDS", 60)
    client = waiting.client().ask(wait=400_000).write(resp.command([b"NONSENSE"])).ask()
    until(lambda: waiting.count("bad requests"))
    end(client)
    assert left_at_once(waiting, 1)


@ENDS
def test_the_end_of_a_client_is_seen_while_it_is_turned_away(waiting, end, monkeypatch):
    monkeypatch.setattr(clients, "ERROR_WAIT_SECONDS", 60)
    client = waiting.client().ask(wait=400_000).write(b"noise\r\n")
    until(lambda: waiting.count("taken") and not len(waiting.ours(client).reader.buffer))
    end(client)
    assert left_at_once(waiting, 1)


@ENDS
@pytest.mark.parametrize("where", ["start", "get_connection"])
def test_what_waits_for_a_thread_or_a_connection_when_its_client_goes_is_not_sent(
    tmp_path, monkeypatch, where, end
):
    real, met, go, server = getattr(Instances, where), threading.Event(), threading.Event(), Held()

    def held(instances, trip):
        made = real(instances, trip) if where == "get_connection" else None  # the connection stands
        met.set()
        assert go.wait(60)
        return made if where == "get_connection" else real(instances, trip)

    with gateway(tmp_path, server.start()) as ran:
        monkeypatch.setattr(Instances, where, held)
        if where == "start":  # its client's own thread would hand it over
            monkeypatch.setattr(
                Instances, "start", lambda *trip: ran.gateway_server.thread_pool.submit(held, *trip)
            )
        client = ran.client().ask()
        assert met.wait(60)
        end(client)
        until(lambda: ran.count("left") == 1)
        go.set()
        until(lambda: ran.count(f"attempts {at.NOT_SENT}"))
        assert not server.got


@ENDS
def test_what_is_turned_away_after_its_client_went_is_not_sent_anew(tmp_path, end):
    gone = threading.Event()
    servers = [InstanceServer(lambda words: gone.wait(60) and b"-BUSY\r\n").start() for _ in range(2)]
    with gateway(tmp_path, *servers, Lanes=SLOW) as ran:
        client = ran.client().ask()
        until(lambda: any(server.got for server in servers))
        end(client)
        until(lambda: ran.count("left") == 1)
        gone.set()
        until(lambda: ran.count(f"attempts {at.REJECTED}"))
        with ran.dispatcher.lock:  # so all that was decided on it is
            assert sum(len(server.got) for server in servers) == 1 and ran.count("attempts") == 1


GONE = ("clients gone unaccepted", "clients ended: client closed", "clients ended: reset")


@ENDS
@pytest.mark.parametrize("where", ["accepted", "given a thread", "read"])
def test_what_its_client_asked_and_left_before_it_was_read_is_not_sent(tmp_path, monkeypatch, where, end):
    """It may wait for over 0.1 s to be accepted, for a thread, or to be read."""
    server, met, go = InstanceServer().start(), threading.Event(), threading.Event()
    owner, name = {
        "accepted": (Server, "admit"),
        "given a thread": (ThreadPool, "submit"),
        "read": (clients.Client, "read"),
    }[where]
    real = getattr(owner, name)

    def held(*given):
        met.set()
        assert go.wait(60)
        return real(*given)

    with gateway(tmp_path, server) as ran:
        monkeypatch.setattr(owner, name, held)
        client = Client(ran.gateway_server.listener.getsockname()[1]).ask(b"left").ask(b"left")
        assert met.wait(60)
        end(client)
        go.set()
        until(lambda: sum(map(ran.count, GONE)))
        monkeypatch.undo()
        assert ran.client().ask(b"other").read() == b"other"
        assert [words[1] for words in server.got] == [b"other"] and ran.count("attempts") == 1


@ENDS
def test_clients_that_gave_up_before_they_were_let_in_take_neither_place_nor_thread(
    tmp_path, monkeypatch, end
):
    """Else, once clients wait to be let in for longer than they stay, no work is left for those that stay."""
    admit, met, go, hired = Server.admit, threading.Event(), threading.Event(), []

    def held(*given):
        met.set()
        assert go.wait(60)
        return admit(*given)

    with gateway(tmp_path, InstanceServer().start()) as ran:
        hire = ran.gateway_server.start_client
        ran.gateway_server.start_client = lambda *given: hired.append(given) or hire(*given)
        monkeypatch.setattr(Server, "admit", held)
        port = ran.gateway_server.listener.getsockname()[1]
        for _ in range(9):
            end(Client(port).ask(b"left"))
        assert met.wait(60)
        stays = Client(port).ask(b"stays")
        go.set()
        assert stays.read() == b"stays"
        stays.sock.close()
        counts = [ran.count(name) for name in ("clients gone unaccepted", "clients accepted", "taken")]
        assert counts == [9, 1, 1] and len(hired) == 1


@pytest.mark.parametrize("reason", ["made room", "stopping"])
def test_what_comes_before_we_end_its_connection_is_no_client_that_has_gone(tmp_path, monkeypatch, reason):
    """Our own SHUT_RD, by another thread, looks like its client's end to a thread that reads a command."""
    next_of, server = resp.Reader.next, InstanceServer().start()

    def ends(reader):
        words = next_of(reader)
        if reader is ours.reader and words is not resp.MORE:
            ours.stop_reading(reason)
        return words

    with gateway(tmp_path, server) as ran:
        client = ran.client()
        ours = ran.ours(client)
        monkeypatch.setattr(resp.Reader, "next", ends)
        assert client.ask().read() == b"aa" and client.read() is None and ours.reason == reason


# ---- a connection that we end as its client writes


def asks_as_its_connection_ends(waiting):
    """A client whose request comes as its connection is ended; our thread waits for the answer."""
    client = waiting.client()
    ours = waiting.ours(client)
    paused = Paused(ours)
    ours.close_when_idle("made room")
    client.ask(wait=400_000)
    paused.come()
    paused.go.set()
    until(lambda: waiting.count("taken") and ours.condition._waiters)
    return client


def test_a_reset_shows_though_we_had_begun_to_end_the_connection_as_its_request_came(waiting):
    reset(asks_as_its_connection_ends(waiting))
    assert left_at_once(waiting, 1)


def test_the_end_in_order_shows_though_we_had_begun_to_end_the_connection_as_its_request_came(waiting):
    """A client writes as we end its connection at rest, and goes. Past our own SHUT_RD poll tells of a reset
    alone, so that what it asked was sent on for nobody, once for each such connection. The state of the
    connection in TCP_INFO still tells of its end."""
    asks_as_its_connection_ends(waiting).sock.close()
    assert left_at_once(waiting, 1)


@ENDS
def test_what_a_client_asked_and_left_as_we_ended_its_connection_is_not_sent(tmp_path, end):
    """The same, where its end has come before what it asked is read."""
    server = InstanceServer().start()
    with gateway(tmp_path, server) as ran:
        client = ran.client()
        ours = ran.ours(client)
        paused = Paused(ours)
        ours.close_when_idle("made room")
        client.ask(b"left")
        paused.come()
        end(client)
        paused.go.set()
        until(lambda: ours not in ran.gateway_server.clients)
        assert ran.client().ask(b"other").read() == b"other"
        assert [words[1] for words in server.got] == [b"other"]


@pytest.mark.parametrize("reason", ["made room", "stopping"])
def test_what_comes_after_we_ask_to_end_an_idle_connection_is_answered(tmp_path, reason):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        ours = ran.ours(client)
        paused = Paused(ours)
        ours.close_when_idle(reason)
        client.ask().ask(b"bb")
        paused.come()
        paused.go.set()
        assert [client.read() for _ in range(3)] == [b"aa", b"bb", None] and ours.reason == reason


@pytest.mark.parametrize("asked, reason", [(True, "rest"), (False, "silent")])
def test_what_comes_just_as_its_connection_has_rested_for_long_is_answered(
    tmp_path, monkeypatch, asked, reason
):
    rests, written = clients.Client.end_if_idle, threading.Event()

    def decided(ours):
        ended = rests(ours)
        if (ended or ours.reason) and not written.is_set():
            client.ask(b"late")
            ours.sock.recv(1, socket.MSG_PEEK)  # it has come
            written.set()
        return ended

    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        if asked:
            assert client.ask().read() == b"aa"
        monkeypatch.setattr(clients.Client, "end_if_idle", decided)
        ours = ran.ours(client)
        ours.since = time.monotonic() - 60
        assert client.read() == b"late" and client.read() is None and ours.reason == reason
        assert ran.count("new connections ended in vain") == 0


def test_what_comes_after_the_last_look_at_it_is_never_begun_and_asked_anew(tmp_path, monkeypatch):
    close, server = clients.Client.close, InstanceServer().start()

    def late(ours, reason):
        if reason == "made room":
            client.ask()
            until(lambda: ours.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        close(ours, reason)

    monkeypatch.setattr(clients.Client, "close", late)
    with gateway(tmp_path, server) as ran:
        client = ran.client()
        assert client.ask(b"first").read() == b"first"
        ran.ours(client).close_when_idle("made room")
        with contextlib.suppress(ConnectionResetError):
            assert client.read() is None
        assert ran.client().ask(b"anew").read() == b"anew"
        assert [words[1] for words in server.got] == [b"first", b"anew"] and ran.count("taken") == 2


@pytest.mark.parametrize("whole", [True, False])
def test_a_long_command_that_has_come_in_time_is_read_though_we_were_held_up(tmp_path, monkeypatch, whole):
    server = InstanceServer().start()
    with gateway(tmp_path, server) as ran:
        client = ran.client()
        ours = ran.ours(client)
        paused, body = Paused(ours), b"x" * 60_000
        data = resp.command([b"Q.DO", b"long", b"id", b"c=buy,t=acme,d=20000", body])
        client.write(data if whole else data[:-1])
        until(lambda: len(ours.sock.recv(1 << 17, socket.MSG_PEEK)) >= len(data) - 1)
        monkeypatch.setattr(clients, "MAX_COMMAND_SECONDS", -1)  # all that is not whole at once is late
        paused.go.set()
        if whole:
            assert client.read() == b"long" and server.got[0][4] == body
        else:
            assert client.read() == b"ERR half a command" and client.read() is None


COMMAND = resp.command([b"Q.ASK", b"key", b"id1", b"c=look,t=acme,d=20000"])


@pytest.mark.parametrize("cut", [1, 9, len(COMMAND) - 1])
def test_the_time_of_a_request_that_comes_in_pieces_counts_from_its_last(tmp_path, monkeypatch, cut):
    ahead, server = [], InstanceServer().start()
    monkeypatch.setattr(clients, "MAX_COMMAND_SECONDS", 60)
    for module in (clients, dispatchers, instances):
        monkeypatch.setattr(module, "now", lambda: configs.now() + sum(ahead))
    with gateway(tmp_path, server) as ran:
        client = ran.client().write(COMMAND[:cut])
        until(lambda: ran.ours(client).partial_since is not None)  # it is read
        ahead.append(60_000_000_000)  # longer than its client waits
        assert client.write(COMMAND[cut:]).read() == b"key"
        told = int(server.got[0][3].split(b"d=")[1])
        assert 10_000 < told <= 20_000


# ---- answers that are written by several threads


class Trickling:
    """A client's socket whose sends, in turn, take so many bytes, find no room (OSError), or wait until `go`
    is set ("held"), with `met` set once one does; later ones take all."""

    def __init__(self, sock, *takes):
        self.sock, self.takes, self.met, self.go = sock, list(takes), threading.Event(), threading.Event()

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def send(self, data, *flags):
        take = self.takes.pop(0) if self.takes else len(data)
        if take is OSError:
            raise BlockingIOError
        if take == "held":
            self.met.set()
            assert self.go.wait(60)
            take = 3
        return self.sock.send(data[:take], *flags)


def held(ran, *asked):
    """A client that asked, our side of it, and its socket, while a thread is in the midst of sending it the
    answer, without the lock."""
    client = ran.client()
    ours = ran.ours(client)
    ours.sock = slow = Trickling(ours.sock, 2, "held")
    client.ask(*asked)
    assert slow.met.wait(60)
    return client, ours, slow


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0)])
@pytest.mark.parametrize("takes", [(), (1,), (OSError,), (5, 2, 1, 7)])
def test_answers_go_out_whole_and_in_their_order_whoever_writes_them(tmp_path, order, takes):
    held = {key: threading.Event() for key in (b"0", b"1", b"2")}
    server = InstanceServer(lambda words: held[words[1]].wait(60) and gives(words[1] * 9))
    with gateway(tmp_path, server.start()) as ran:
        client = ran.client()
        ours = ran.ours(client)
        ours.sock = Trickling(ours.sock, *takes)
        for key in held:
            client.ask(key)
        for done, number in enumerate(order, 1):
            held[b"%d" % number].set()
            until(lambda done=done: ran.count("succeeded") == done)
        assert [client.read() for _ in held] == [key * 9 for key in held]
        until(lambda: not (ours.writing or ours.unsent))


def test_an_answer_that_comes_while_an_earlier_one_is_written_out_goes_behind_it(tmp_path):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, ours, slow = held(ran, b"first")
        client.ask(b"second")
        until(lambda: b"second" in ours.unsent)
        slow.go.set()
        assert [client.read(), client.read()] == [b"first", b"second"]


def test_a_connection_is_not_closed_under_the_thread_that_writes_to_it(tmp_path):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, ours, slow = held(ran)
        client.sock.close()
        until(lambda: ours.broken)
        assert slow.sock.fileno() >= 0 and ran.gateway_server.clients == {ours}
        slow.go.set()
        until(lambda: not ran.gateway_server.clients)
        assert slow.sock.fileno() < 0 and not ours.writing


def test_a_client_that_took_a_long_answer_slowly_rests_from_its_last_byte_on(tmp_path):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, ours, slow = held(ran)
        ours.since, resumed = time.monotonic() - 60, time.monotonic()  # it has taken a minute so far
        slow.go.set()
        assert client.read() == b"aa"
        until(lambda: not ours.writing)
        assert ours.since >= resumed


# ---- one id, asked twice


def ask_by(client, key, id=b"id1"):
    return client.write(resp.command([b"Q.ASK", key, id, b"c=look,t=acme,d=20000"]))


def goes_on_with_nonsense(client):
    client.write(b"nonsense\r\n")


@pytest.mark.parametrize("end", [reset, lambda client: client.sock.close(), goes_on_with_nonsense])
def test_the_id_of_an_open_request_lets_another_client_neither_get_nor_cancel_it(tmp_path, end):
    server = Held()
    with gateway(tmp_path, server.start(), Lanes=SLOW) as ran:
        usual, bad = ask_by(ran.client(), b"mine"), ran.client()
        until(lambda: server.got)
        assert ask_by(bad, b"theirs").read().startswith(b"ERR no request: its id")
        end(bad)
        until(lambda: len(ran.gateway_server.clients) == 1)
        other = ran.client()
        assert ask_by(other, b"theirs").read().startswith(b"ERR no request: its id")  # it is still open
        server.go.set()
        assert usual.read() == b"mine" and ask_by(other, b"next").read() == b"next"
        assert [words[1] for words in server.got] == [b"mine", b"next"]


def test_an_id_is_free_again_once_its_answer_is_decided_though_not_yet_written(tmp_path, monkeypatch):
    flush, go, first, slow = clients.Client.flush, threading.Event(), [], threading.Event()

    def held(ours):
        if first and ours is first[0] and not go.is_set():
            slow.set()
            go.wait(60)
        flush(ours)

    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, other = ran.client(), ran.client()
        first.append(ran.ours(client))
        monkeypatch.setattr(clients.Client, "flush", held)
        ask_by(client, b"first")
        assert slow.wait(60) and ask_by(other, b"second").read() == b"second"
        go.set()
        assert client.read() == b"first"


@ENDS
def test_the_late_answer_of_a_client_that_went_is_not_given_to_the_next_with_its_id(tmp_path, end):
    server = Held()
    with gateway(tmp_path, server.start()) as ran:
        client = ask_by(ran.client(), b"first")
        until(lambda: server.got)
        end(client)
        until(lambda: ran.count("left") == 1)
        other = ask_by(ran.client(), b"second")
        until(lambda: ran.count("taken") == 2)
        server.go.set()
        assert other.read() == b"second"
        assert ask_by(other, b"third").read() == b"third"


# ---- the bound on clients


def test_a_client_counts_until_its_thread_has_nothing_left_to_do(tmp_path, monkeypatch):
    """Else threads that only have to write their line pile up past the bound, as new clients come."""
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, met, go = ran.client(), threading.Event(), threading.Event()
        ours = ran.ours(client)
        monkeypatch.setattr(ran.log, "info", lambda *_, **__: met.set() or go.wait(60), raising=False)
        client.sock.close()
        assert met.wait(60) and ran.gateway_server.clients == {ours}
        go.set()
        until(lambda: not ran.gateway_server.clients)


# ---- an answer that is decided just as its connection ends


class Late:
    """Has the dispatcher told of this only once `go` is set; `met` from when it was to be told on."""

    def __init__(self, monkeypatch, dispatcher, name):
        self.met, self.go, self.tell, self.name = (
            threading.Event(),
            threading.Event(),
            dispatcher.handle,
            name,
        )
        monkeypatch.setattr(dispatcher, "handle", self.told)

    def told(self, happened, *values):
        if happened.__name__ == self.name:
            self.met.set()
            assert self.go.wait(60)
        self.tell(happened, *values)


def test_an_answer_that_comes_as_its_connection_is_turned_away_is_the_only_one(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "ERROR_WAIT_SECONDS", 0)
    server = Held()
    with gateway(tmp_path, server.start(), Lanes=SLOW) as ran:
        late = Late(monkeypatch, ran.dispatcher, "abort_requests")
        client = ran.client().ask(request_class="buy").write(b"noise\r\n")
        assert late.met.wait(60)
        server.go.set()
        assert client.read() == b"aa"
        late.go.set()
        assert client.read() == b"ERR a command is an array of bulk strings" and client.read() is None
        assert (ran.count("taken"), ran.count("succeeded"), ran.count("aborted")) == (1, 1, 0)


@ENDS
def test_an_answer_that_comes_as_its_client_goes_is_counted_once_and_frees_its_id(tmp_path, monkeypatch, end):
    server = Held()
    with gateway(tmp_path, server.start(), Lanes=SLOW) as ran:
        late = Late(monkeypatch, ran.dispatcher, "client_left")
        client = ask_by(ran.client(), b"first")
        until(lambda: server.got)
        end(client)
        assert late.met.wait(60)  # its connection is closed, and the dispatcher does not know
        server.go.set()
        until(lambda: ran.count("succeeded") == 1)
        other = ask_by(ran.client(), b"second")  # with the same id
        assert other.read() == b"second"
        late.go.set()
        until(lambda: len(ran.gateway_server.clients) == 1)
        assert (ran.count("taken"), ran.count("succeeded"), ran.count("left")) == (2, 2, 0)
