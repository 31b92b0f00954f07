"""Races between the events of a client connection, each forced in its worst order: `docs/crossings.md`."""

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
from lemonlead.standins.instances import InstanceServer, value_response
from lemonlead.standins.server import until


class RecordingLog:
    """A log that records its lines."""

    def __init__(self):
        self.lines = []

    def info(self, event, **more):
        self.lines.append((event, more))

    warning = error = info


@contextlib.contextmanager
def gateway(tmp_path, *servers, limits=None, entries=None, **settings):
    """Runs a gateway in this process with these instances, all on loopback. Yields `gateway_server`,
    `dispatcher`, `log`, `thread`, `count(name)` for counters, `change_list(*entries)` as by discovery,
    `client(**more)`, which connects a client and waits until it is accepted, and `ours(client)`, the
    gateway's side of that connection."""
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
    log, counters, thread_pool = RecordingLog(), Counters(), ThreadPool()
    dispatcher = Dispatcher(config.start, log, counters)
    dispatcher.instances = Instances(config, dispatcher, thread_pool, log, counters)
    dispatcher.discovery = discovery = Discovery(config, dispatcher, log, counters)
    gateway_server = Server(config, dispatcher, thread_pool, log, counters)
    with dispatcher.lock:
        # As from an open watch; otherwise the list would be valid for some seconds only.
        discovery.listed(configs.now(), *discovery.parse_update(config.known), True, True)
        dispatcher.balancer.stage_reported(configs.now(), *config.news)
    threading.Thread(target=dispatcher.run_timer, daemon=True).start()
    gateway_server.open()
    thread = threading.Thread(target=gateway_server.run, daemon=True)
    thread.start()
    port, made = gateway_server.listener.getsockname()[1], []

    def client(**more):
        made.append(Client(port, **more))
        until(lambda: ours(made[-1]))
        return made[-1]

    def ours(client):
        theirs = client.sock.getsockname()
        with gateway_server.condition:
            for one in gateway_server.clients:
                with contextlib.suppress(OSError):  # that connection has ended
                    if one.sock.getpeername() == theirs:
                        return one

    def count(name):
        return counters.read().get(name, 0)

    def change_list(*entries):
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
            change_list=change_list,
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


class HeldInstance(InstanceServer):
    """An instance that answers each request with its key once `go` is set."""

    def __init__(self):
        self.go = threading.Event()
        super().__init__(lambda words: self.go.wait(60) and value_response(words[1]))

    def close(self):
        self.go.set()
        super().close()


def reset(client):
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.close()


HANGUPS = pytest.mark.parametrize("end", [reset, lambda client: client.sock.close()], ids=["reset", "fin"])


# Request classes with such long objectives that no request is rejected, aborted or repeated by time.
LONG_DEADLINES = [
    {**request_class, "Slo": 400_000.0, "GiveUp": 400_000.0} for request_class in SETTINGS["Lanes"]
]


class PausedSocket:
    """The gateway's socket of a client. Reads wait until `go` is set; `met` is set once one waits."""

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

    def wait_for_bytes(self):
        """Waits until the client's bytes have arrived."""
        self.sock.recv(1, socket.MSG_PEEK)


# ---- the listener's idle check, while the client's thread reads


class VanishingTime:
    """A descriptor for a time that becomes None between two reads of it."""

    def __init__(self, first):
        self.values = [first]

    def __get__(self, client, kind):
        return self.values.pop() if self.values else None

    def __set__(self, client, value):
        pass


def test_partial_command_completed_during_idle_check_is_no_error(tmp_path, monkeypatch):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        ours = ran.ours(client)
        monkeypatch.setattr(type(ours), "partial_since", VanishingTime(time.monotonic()), raising=False)
        assert ours.is_idle() is False
        monkeypatch.undo()
        assert client.ask().read() == b"aa"


# ---- bytes counted against the memory limit of all clients


@pytest.mark.parametrize("behind", [False, True])
def test_large_ping_releases_no_bytes_it_never_reserved(tmp_path, behind):
    server = HeldInstance()
    with gateway(tmp_path, server.start()) as ran:
        client = ran.client()
        if behind:
            client.ask()
        else:
            server.go.set()
        client.write(resp.command([b"PING", b"x" * 60_000]))
        if behind:
            until(lambda: len(ran.ours(client).pending_requests) == 2)
            client.sock.close()  # the PING is dropped with its connection, not answered
        else:
            assert client.read() == b"PONG"
            client.sock.close()
        until(lambda: not ran.gateway_server.clients)
        assert ran.gateway_server.large_command_bytes == 0


def send_large_command(client, id, size=60_000):
    return client.write(resp.command([b"Q.DO", b"key", id, b"c=buy,t=acme,d=20000", b"x" * size]))


@HANGUPS
@pytest.mark.parametrize("answered", [True, False])
def test_large_command_releases_its_bytes_exactly_once(tmp_path, end, answered):
    server = HeldInstance()
    with gateway(tmp_path, server.start()) as ran:
        client, other = ran.client(), ran.client()
        send_large_command(client, b"id1")
        until(lambda: server.got)
        assert send_large_command(other, b"id1").read().startswith(b"ERR no request: its id")
        # Without the read buffers.
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
def test_large_command_is_rejected_without_room_and_never_cut_off(tmp_path, size, room, fits):
    """Half of the read buffer counts as well while the command is read."""
    server = InstanceServer().start()
    with gateway(tmp_path, server) as ran:
        client = ran.client()
        assert ran.gateway_server.reserve_bytes(others := ran.gateway_server.max_large_command_bytes - room)
        paused = PausedSocket(ran.ours(client))
        send_large_command(client, b"id1", size)
        until(
            lambda: len(paused.sock.recv(1 << 17, socket.MSG_PEEK)) > size
        )  # so that each read fills the buffer
        paused.go.set()
        answer = client.read()
        assert answer == b"key" if fits else answer.startswith(b"BUSY") and not server.got
        assert client.write(resp.command([b"PING"])).read() == b"PONG"  # the connection stays open
        assert ran.gateway_server.large_command_bytes == others


# ---- a client that hangs up while its thread is held and its requests are not forwarded yet


@pytest.fixture
def waiting(tmp_path):
    """A gateway whose only instance drains, so that requests wait for their first attempt."""
    server = InstanceServer().start()
    with gateway(tmp_path, server, entries=[entry("i0", server, "draining")], Lanes=LONG_DEADLINES) as ran:
        ran.server = server
        yield ran


def dropped_at_once(ran, asked):
    """Returns whether all requests of the client are dropped soon after its hangup and none is forwarded."""
    until(lambda: ran.count("left") == asked, 20)
    until(lambda: not ran.gateway_server.clients, 20)
    ran.change_list(entry("i0", ran.server))
    assert ran.client().ask(b"other").read() == b"other"
    return [words[1] for words in ran.server.got] == [b"other"] and ran.count("taken") == asked + 1


@HANGUPS
def test_hangup_is_seen_with_more_commands_than_are_read(waiting, end):
    client = waiting.client()
    for _ in range(clients.MAX_PENDING_REQUESTS + 9):
        client.ask(wait=400_000)
    until(lambda: waiting.count("taken") == clients.MAX_PENDING_REQUESTS)
    end(client)
    assert dropped_at_once(waiting, clients.MAX_PENDING_REQUESTS)


def test_hangup_is_checked_often_while_nothing_is_read(waiting):
    """No attempt may begin more than 0.1 s after the hangup; half of that is for the network."""
    client, lengths = waiting.client(), []
    ours = waiting.ours(client)
    wait, ours.condition.wait = ours.condition.wait, lambda length: lengths.append(length) or wait(length)
    for _ in range(clients.MAX_PENDING_REQUESTS + 1):
        client.ask(wait=400_000)
    until(lambda: lengths)
    assert 0 < max(lengths) <= 0.05


@HANGUPS
def test_hangup_is_seen_during_penalty(waiting, end, monkeypatch):
    monkeypatch.setattr(clients, "PENALTY_SECONDS", 60)
    monkeypatch.setattr(clients, "MAX_PENALTY_SECONDS", 60)
    client = waiting.client().ask(wait=400_000).write(resp.command([b"NONSENSE"])).ask()
    until(lambda: waiting.count("bad requests"))
    end(client)
    assert dropped_at_once(waiting, 1)


@HANGUPS
def test_hangup_is_seen_while_malformed_input_is_rejected(waiting, end, monkeypatch):
    monkeypatch.setattr(clients, "ERROR_WAIT_SECONDS", 60)
    client = waiting.client().ask(wait=400_000).write(b"noise\r\n")
    until(lambda: waiting.count("taken") and not len(waiting.ours(client).reader.buffer))
    end(client)
    assert dropped_at_once(waiting, 1)


@HANGUPS
@pytest.mark.parametrize("where", ["start", "get_connection"])
def test_attempt_waiting_at_hangup_is_not_sent(tmp_path, monkeypatch, where, end):
    real, met, go, server = getattr(Instances, where), threading.Event(), threading.Event(), HeldInstance()

    def held(instances, in_flight):
        made = real(instances, in_flight) if where == "get_connection" else None  # the connection is made
        met.set()
        assert go.wait(60)
        return made if where == "get_connection" else real(instances, in_flight)

    with gateway(tmp_path, server.start()) as ran:
        monkeypatch.setattr(Instances, where, held)
        if where == "start":  # otherwise the client's own thread would wait
            monkeypatch.setattr(
                Instances, "start", lambda *in_flight: ran.gateway_server.thread_pool.submit(held, *in_flight)
            )
        client = ran.client().ask()
        assert met.wait(60)
        end(client)
        until(lambda: ran.count("left") == 1)
        go.set()
        until(lambda: ran.count(f"attempts {at.NOT_SENT}"))
        assert not server.got


@HANGUPS
def test_attempt_rejected_after_hangup_is_not_repeated(tmp_path, end):
    gone = threading.Event()
    servers = [InstanceServer(lambda words: gone.wait(60) and b"-BUSY\r\n").start() for _ in range(2)]
    with gateway(tmp_path, *servers, Lanes=LONG_DEADLINES) as ran:
        client = ran.client().ask()
        until(lambda: any(server.got for server in servers))
        end(client)
        until(lambda: ran.count("left") == 1)
        gone.set()
        until(lambda: ran.count(f"attempts {at.REJECTED}"))
        with ran.dispatcher.lock:  # so that all decisions on it are made
            assert sum(len(server.got) for server in servers) == 1 and ran.count("attempts") == 1


GONE_COUNTERS = ("clients gone unaccepted", "clients ended: client closed", "clients ended: reset")


@HANGUPS
@pytest.mark.parametrize("where", ["accepted", "given a thread", "read"])
def test_request_abandoned_before_it_was_read_is_not_sent(tmp_path, monkeypatch, where, end):
    """The wait to be accepted, for a thread, or to be read may take over 0.1 s."""
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
        until(lambda: sum(map(ran.count, GONE_COUNTERS)))
        monkeypatch.undo()
        assert ran.client().ask(b"other").read() == b"other"
        assert [words[1] for words in server.got] == [b"other"] and ran.count("attempts") == 1


@HANGUPS
def test_clients_that_hung_up_before_accept_take_no_thread(tmp_path, monkeypatch, end):
    """Otherwise, once clients wait for longer than their patience, all work is for clients that have gone."""
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
def test_own_shutdown_is_not_taken_for_a_hangup(tmp_path, monkeypatch, reason):
    """Our own SHUT_RD, by another thread, looks like a hangup to the thread that reads a command."""
    next_of, server = resp.Reader.next, InstanceServer().start()

    def ends(reader):
        words = next_of(reader)
        if reader is ours.reader and words is not resp.MORE:
            ours.shut_down_reading(reason)
        return words

    with gateway(tmp_path, server) as ran:
        client = ran.client()
        ours = ran.ours(client)
        monkeypatch.setattr(resp.Reader, "next", ends)
        assert client.ask().read() == b"aa" and client.read() is None and ours.reason == reason


# ---- a connection that the gateway ends while its client writes


def client_sending_during_close(waiting):
    """Returns a client whose request arrives as the gateway ends its connection; the thread waits for the
    response."""
    client = waiting.client()
    ours = waiting.ours(client)
    paused = PausedSocket(ours)
    ours.close_when_idle("made room")
    client.ask(wait=400_000)
    paused.wait_for_bytes()
    paused.go.set()
    until(lambda: waiting.count("taken") and ours.condition._waiters)
    return client


def test_reset_is_seen_after_our_own_shutdown(waiting):
    reset(client_sending_during_close(waiting))
    assert dropped_at_once(waiting, 1)


def test_fin_is_seen_after_our_own_shutdown(waiting):
    """After our own SHUT_RD, `poll` shows a reset but no FIN, so that a request was forwarded for a client
    that had gone. The connection's state in TCP_INFO still shows the FIN."""
    client_sending_during_close(waiting).sock.close()
    assert dropped_at_once(waiting, 1)


@HANGUPS
def test_request_abandoned_during_our_shutdown_is_not_sent(tmp_path, end):
    """The hangup has arrived before the request is read."""
    server = InstanceServer().start()
    with gateway(tmp_path, server) as ran:
        client = ran.client()
        ours = ran.ours(client)
        paused = PausedSocket(ours)
        ours.close_when_idle("made room")
        client.ask(b"left")
        paused.wait_for_bytes()
        end(client)
        paused.go.set()
        until(lambda: ours not in ran.gateway_server.clients)
        assert ran.client().ask(b"other").read() == b"other"
        assert [words[1] for words in server.got] == [b"other"]


@pytest.mark.parametrize("reason", ["made room", "stopping"])
def test_request_during_idle_close_is_answered(tmp_path, reason):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        ours = ran.ours(client)
        paused = PausedSocket(ours)
        ours.close_when_idle(reason)
        client.ask().ask(b"bb")
        paused.wait_for_bytes()
        paused.go.set()
        assert [client.read() for _ in range(3)] == [b"aa", b"bb", None] and ours.reason == reason


@pytest.mark.parametrize("asked, reason", [(True, "rest"), (False, "silent")])
def test_request_at_idle_timeout_is_answered(tmp_path, monkeypatch, asked, reason):
    rests, written = clients.Client.end_if_idle, threading.Event()

    def decided(ours):
        ended = rests(ours)
        if (ended or ours.reason) and not written.is_set():
            client.ask(b"late")
            ours.sock.recv(1, socket.MSG_PEEK)  # the request has arrived
            written.set()
        return ended

    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        if asked:
            assert client.ask().read() == b"aa"
        monkeypatch.setattr(clients.Client, "end_if_idle", decided)
        ours = ran.ours(client)
        ours.last_response_at = time.monotonic() - 60
        assert client.read() == b"late" and client.read() is None and ours.reason == reason
        assert ran.count("new connections ended in vain") == 0


def test_request_after_last_check_is_never_begun(tmp_path, monkeypatch):
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
def test_long_command_received_in_time_is_read_after_a_delay(tmp_path, monkeypatch, whole):
    server = InstanceServer().start()
    with gateway(tmp_path, server) as ran:
        client = ran.client()
        ours = ran.ours(client)
        paused, body = PausedSocket(ours), b"x" * 60_000
        data = resp.command([b"Q.DO", b"long", b"id", b"c=buy,t=acme,d=20000", body])
        client.write(data if whole else data[:-1])
        until(lambda: len(ours.sock.recv(1 << 17, socket.MSG_PEEK)) >= len(data) - 1)
        monkeypatch.setattr(
            clients, "MAX_COMMAND_SECONDS", -1
        )  # any command that is not whole at once is late
        paused.go.set()
        if whole:
            assert client.read() == b"long" and server.got[0][4] == body
        else:
            assert client.read() == b"ERR half a command" and client.read() is None


COMMAND = resp.command([b"Q.ASK", b"key", b"id1", b"c=look,t=acme,d=20000"])


@pytest.mark.parametrize("cut", [1, 9, len(COMMAND) - 1])
def test_wait_of_a_split_request_counts_from_its_last_part(tmp_path, monkeypatch, cut):
    ahead, server = [], InstanceServer().start()
    monkeypatch.setattr(clients, "MAX_COMMAND_SECONDS", 60)
    for module in (clients, dispatchers, instances):
        monkeypatch.setattr(module, "now", lambda: configs.now() + sum(ahead))
    with gateway(tmp_path, server) as ran:
        client = ran.client().write(COMMAND[:cut])
        until(lambda: ran.ours(client).partial_since is not None)  # the part is read
        ahead.append(60_000_000_000)  # longer than the client waits
        assert client.write(COMMAND[cut:]).read() == b"key"
        forwarded_wait = int(server.got[0][3].split(b"d=")[1])
        assert 10_000 < forwarded_wait <= 20_000


# ---- responses that several threads write


class LimitedSends:
    """The gateway's socket of a client with limited sends. Each of `takes` is for one send: a number of bytes
    that it takes, OSError for a full buffer, or "held" for one that sets `met` and waits for `go`. Later
    sends take everything."""

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
    """Returns a client, the gateway's side of it, and its socket, while a thread is sending the response
    without holding the lock."""
    client = ran.client()
    ours = ran.ours(client)
    ours.sock = slow = LimitedSends(ours.sock, 2, "held")
    client.ask(*asked)
    assert slow.met.wait(60)
    return client, ours, slow


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0)])
@pytest.mark.parametrize("takes", [(), (1,), (OSError,), (5, 2, 1, 7)])
def test_responses_are_sent_whole_and_in_order(tmp_path, order, takes):
    held = {key: threading.Event() for key in (b"0", b"1", b"2")}
    server = InstanceServer(lambda words: held[words[1]].wait(60) and value_response(words[1] * 9))
    with gateway(tmp_path, server.start()) as ran:
        client = ran.client()
        ours = ran.ours(client)
        ours.sock = LimitedSends(ours.sock, *takes)
        for key in held:
            client.ask(key)
        for done, number in enumerate(order, 1):
            held[b"%d" % number].set()
            until(lambda done=done: ran.count("succeeded") == done)
        assert [client.read() for _ in held] == [key * 9 for key in held]
        until(lambda: not (ours.writing or ours.unsent))


def test_response_queues_behind_one_being_sent(tmp_path):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, ours, slow = held(ran, b"first")
        client.ask(b"second")
        until(lambda: b"second" in ours.unsent)
        slow.go.set()
        assert [client.read(), client.read()] == [b"first", b"second"]


def test_connection_stays_open_while_a_thread_writes(tmp_path):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, ours, slow = held(ran)
        client.sock.close()
        until(lambda: ours.broken)
        assert slow.sock.fileno() >= 0 and ran.gateway_server.clients == {ours}
        slow.go.set()
        until(lambda: not ran.gateway_server.clients)
        assert slow.sock.fileno() < 0 and not ours.writing


def test_idle_time_starts_after_a_slowly_read_response(tmp_path):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, ours, slow = held(ran)
        ours.last_response_at, resumed = (
            time.monotonic() - 60,
            time.monotonic(),
        )  # sending has taken a minute so far
        slow.go.set()
        assert client.read() == b"aa"
        until(lambda: not ours.writing)
        assert ours.last_response_at >= resumed


# ---- responses that the client has not taken

LARGE = b"x" * 60_000


class SlowReader:
    """A client whose system has not taken all of its response. `looked` is set once the gateway has seen that
    while `watching` is set."""

    def __init__(self, ran, monkeypatch):
        self.ran, self.looked, self.watching = ran, threading.Event(), False
        self.client = ran.client(receive_buffer=4096)
        self.ours = ran.ours(self.client)
        count = getattr(clients, "unacknowledged_bytes", lambda sock: 0)

        def counted(sock):
            if (found := count(sock)) and self.watching and sock is self.ours.sock:
                self.looked.set()
            return found

        monkeypatch.setattr(clients, "unacknowledged_bytes", counted, raising=False)
        self.client.ask(b"large")
        until(lambda: self.ours.has_had_response and not self.ours.unsent)

    def wait_until_closed_or_seen(self):
        until(lambda: self.ours.sock.fileno() < 0 or self.looked.is_set())


def stop(slow):
    slow.ran.gateway_server.stopping = True
    slow.ours.close_when_idle("stopping")


def make_room(slow):
    if picked := slow.ran.gateway_server.pick_idle_client(0):
        picked.close_when_idle("made room")


def abort(slow):
    slow.client.ask(b"held")
    until(lambda: slow.ours.pending_requests)
    slow.ran.gateway_server.abort_requests_after(0)


def break_off(slow):
    slow.client.write(b"noise\r\n")


def rest(slow):
    pass  # the shortened idle time ends the connection


@pytest.mark.parametrize("end", [stop, make_room, abort, break_off, rest])
def test_response_that_is_being_read_is_not_cut_off_by_the_next_request(tmp_path, monkeypatch, end):
    """Guards against a response lost to callers that read slowly: the gateway closed with a part of it not
    acknowledged, and the next bytes from the client made the kernel reset the connection."""
    held = threading.Event()
    server = InstanceServer(
        lambda words: held.wait(60) and None if words[1] == b"held" else value_response(LARGE)
    )
    with gateway(tmp_path, server.start()) as ran:
        slow = SlowReader(ran, monkeypatch)
        if end is rest:
            monkeypatch.setattr(clients, "MAX_IDLE_SECONDS", 0.0)
        slow.watching = True
        end(slow)
        slow.wait_until_closed_or_seen()
        with contextlib.suppress(OSError):
            slow.client.ask(b"next")
        if end is stop:  # a request that crosses the close may stay unread, so the gateway reads it first
            until(lambda: len(server.got) == 2 or slow.ours.sock.fileno() < 0)
        assert slow.client.read() == LARGE
        held.set()
        if end is stop:  # sent before the client could know of the end
            assert slow.client.read() == LARGE and slow.client.read() is None


@pytest.mark.parametrize("end", [stop, break_off])
def test_client_that_takes_nothing_is_ended_in_time(tmp_path, monkeypatch, end):
    """Guards against connections that readers which never read hold for good."""
    monkeypatch.setattr(clients, "SEND_TIMEOUT_SECONDS", 0.3)
    with gateway(tmp_path, InstanceServer(lambda words: value_response(LARGE)).start()) as ran:
        slow = SlowReader(ran, monkeypatch)
        end(slow)
        until(lambda: not ran.gateway_server.clients)
        assert ran.client().ask(b"other").read() == LARGE


def test_client_that_takes_each_response_is_no_slow_reader(tmp_path, monkeypatch):
    """Guards against clients ended because two checks, long apart, both found a response of the same size
    under way. Between them all was taken."""
    clock = [1000.0]
    monkeypatch.setattr(clients, "READ_TIMEOUT_SECONDS", 60.0)  # the test makes the checks
    monkeypatch.setattr(clients, "unacknowledged_bytes", lambda sock: 8, raising=False)
    monkeypatch.setattr(clients, "time", SimpleNamespace(monotonic=lambda: clock[0], sleep=time.sleep))
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        ours = ran.ours(client)
        for _ in range(3):
            assert client.ask().read() == b"aa"
            ours.check_progress()
            clock[0] += clients.SEND_TIMEOUT_SECONDS
        assert client.ask().read() == b"aa" and not ours.broken


def test_client_that_sends_without_pause_is_ended_at_stop(tmp_path):
    """Guards against a stop held up by a client whose next request acknowledges its last response."""
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        assert client.ask().read() == b"aa"
        ran.gateway_server.stopping = True
        with contextlib.suppress(OSError):
            while client.ask().read() == b"aa":
                pass
        until(lambda: not ran.gateway_server.clients)


# ---- a list that discovery could not confirm


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_nothing_is_sent_by_a_list_that_has_not_been_asked_for_in_time(tmp_path, mode):
    """Guards against requests to what drains, lost as it ends: after a crowded discovery the next call waits
    up to 16 s, and where lists are pushed the gateway sent by its old list all the time."""
    with gateway(tmp_path, server := InstanceServer().start(), Discovery=mode) as ran:
        client = ran.client()
        assert client.ask().read() == b"aa"

        def fail(time_now):
            ran.dispatcher.balancer.list_failed(time_now - configs.MAX_LIST_DELAY_NS, 0)
            ran.dispatcher.balancer.list_current_at = time_now - configs.MAX_LIST_DELAY_NS
            ran.dispatcher.balancer.list_call_at = None  # the next call is far away

        ran.dispatcher.handle(fail)
        assert client.ask(wait=300).read().startswith(b"BUSY") and len(server.got) == 1
        ran.change_list()  # discovery answers
        assert client.ask().read() == b"aa"


# ---- one id in two requests


def ask_by(client, key, id=b"id1"):
    return client.write(resp.command([b"Q.ASK", key, id, b"c=look,t=acme,d=20000"]))


def send_garbage(client):
    client.write(b"nonsense\r\n")


@pytest.mark.parametrize("end", [reset, lambda client: client.sock.close(), send_garbage])
def test_duplicate_id_neither_gets_nor_cancels_the_open_request(tmp_path, end):
    server = HeldInstance()
    with gateway(tmp_path, server.start(), Lanes=LONG_DEADLINES) as ran:
        usual, bad = ask_by(ran.client(), b"mine"), ran.client()
        until(lambda: server.got)
        assert ask_by(bad, b"theirs").read().startswith(b"ERR no request: its id")
        end(bad)
        until(lambda: len(ran.gateway_server.clients) == 1)
        other = ran.client()
        assert (
            ask_by(other, b"theirs").read().startswith(b"ERR no request: its id")
        )  # the first request is still open
        server.go.set()
        assert usual.read() == b"mine" and ask_by(other, b"next").read() == b"next"
        assert [words[1] for words in server.got] == [b"mine", b"next"]


def test_id_is_free_once_its_response_is_decided(tmp_path, monkeypatch):
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


@HANGUPS
def test_late_response_is_not_given_to_next_request_with_same_id(tmp_path, end):
    server = HeldInstance()
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


# ---- the limit on clients


def test_client_counts_until_its_thread_is_done(tmp_path, monkeypatch):
    """Otherwise threads that still have to write a log line pile up past the limit as new clients come."""
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, met, go = ran.client(), threading.Event(), threading.Event()
        ours = ran.ours(client)
        monkeypatch.setattr(ran.log, "info", lambda *_, **__: met.set() or go.wait(60), raising=False)
        client.sock.close()
        assert met.wait(60) and ran.gateway_server.clients == {ours}
        go.set()
        until(lambda: not ran.gateway_server.clients)


# ---- a response that is decided just as its connection ends


class DelayedEvent:
    """Delays the dispatcher's event of this name until `go` is set. `met` is set once the event has come."""

    def __init__(self, monkeypatch, dispatcher, name):
        self.met, self.go, self.real_handle, self.name = (
            threading.Event(),
            threading.Event(),
            dispatcher.handle,
            name,
        )
        monkeypatch.setattr(dispatcher, "handle", self.handle)

    def handle(self, event, *values):
        if event.__name__ == self.name:
            self.met.set()
            assert self.go.wait(60)
        self.real_handle(event, *values)


def test_response_during_rejection_is_the_only_one(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "ERROR_WAIT_SECONDS", 0)
    server = HeldInstance()
    with gateway(tmp_path, server.start(), Lanes=LONG_DEADLINES) as ran:
        late = DelayedEvent(monkeypatch, ran.dispatcher, "abort_requests")
        client = ran.client().ask(request_class="buy").write(b"noise\r\n")
        assert late.met.wait(60)
        server.go.set()
        assert client.read() == b"aa"
        late.go.set()
        assert client.read() == b"ERR a command is an array of bulk strings" and client.read() is None
        assert (ran.count("taken"), ran.count("succeeded"), ran.count("aborted")) == (1, 1, 0)


@HANGUPS
def test_response_at_hangup_is_counted_once_and_frees_its_id(tmp_path, monkeypatch, end):
    server = HeldInstance()
    with gateway(tmp_path, server.start(), Lanes=LONG_DEADLINES) as ran:
        late = DelayedEvent(monkeypatch, ran.dispatcher, "client_left")
        client = ask_by(ran.client(), b"first")
        until(lambda: server.got)
        end(client)
        assert late.met.wait(60)  # the connection is closed, but the dispatcher does not know yet
        server.go.set()
        until(lambda: ran.count("succeeded") == 1)
        other = ask_by(ran.client(), b"second")  # it has the same id
        assert other.read() == b"second"
        late.go.set()
        until(lambda: len(ran.gateway_server.clients) == 1)
        assert (ran.count("taken"), ran.count("succeeded"), ran.count("left")) == (2, 2, 0)


# ---- responses that clients have no room for


def unsent(ran):
    return [len(theirs.unsent) for theirs in list(ran.gateway_server.clients) if not theirs.broken]


def test_answers_that_clients_do_not_take_are_bounded_in_sum(tmp_path):
    """Guards against a gateway that goes over its memory limit while each of its clients keeps its own
    bound."""
    held = threading.Event()
    server = InstanceServer(lambda words: held.wait(60) and value_response(LARGE))
    with gateway(tmp_path, server.start(), limits={"memory_mb": 4, "sockets": 1024}) as ran:
        slow, reader = [ran.client(receive_buffer=4096) for _ in range(6)], ran.client()
        for client in slow:
            ours = ran.ours(client)
            ours.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            for _ in range(4):
                client.ask(b"large")
            until(lambda ours=ours: len(ours.pending_requests) == 4)
        held.set()
        until(lambda: ran.count("succeeded") == 24)
        assert sum(unsent(ran)) <= ran.gateway_server.config.memory // 8
        assert reader.ask(b"large").read() == LARGE
        still = [client for client in slow if ran.ours(client) and not ran.ours(client).broken]
        assert still and all(client.read() == LARGE for client in still for _ in range(4))
        for client in slow:
            client.sock.close()
        until(lambda: len(ran.gateway_server.clients) == 1)
        until(lambda: ran.gateway_server.unsent_bytes == 0)


def test_a_client_that_lets_answers_lie_sends_no_more_while_memory_is_short(tmp_path):
    held = threading.Event()
    server = InstanceServer(lambda words: held.wait(60) and value_response(LARGE))
    with gateway(tmp_path, server.start(), limits={"memory_mb": 4, "sockets": 1024}) as ran:
        client, other = ran.client(receive_buffer=4096), ran.client()
        ours = ran.ours(client)
        ours.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.ask(b"large")
        held.set()
        until(lambda: ours.unsent and not ours.pending_requests)
        ran.gateway_server.add_unsent(ran.gateway_server.max_unsent_bytes // 2)
        client.ask(b"large")
        until(lambda: not ours.has_unread_bytes())
        assert other.ask(b"large").read() == LARGE and not ours.pending_requests
        assert [client.read(), client.read()] == [LARGE, LARGE]
