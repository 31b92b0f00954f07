"""Unit tests of the gateway's drivers, with socket pairs instead of a network."""

import heapq
import json
import random
import socket
import threading
import time
from types import SimpleNamespace

import pytest
from helpers import MS, request

from lemonlead import interface as at
from lemonlead.gateway import managed_connection
from lemonlead.gateway.buffer import Malformed
from lemonlead.gateway.clients import Client, Server
from lemonlead.gateway.config import now
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.discovery import Discovery
from lemonlead.gateway.dispatcher import Dispatcher
from lemonlead.gateway.instances import Connection, Instances, Pool, AttemptInFlight, forwarded_words
from lemonlead.gateway.thread_pool import ThreadPool
from lemonlead.standins.fleet import SETTINGS
from lemonlead.standins.server import until
from lemonlead.start_settings import start_from_settings

WORDS = [b"Q.DO", b"key", b"id", b"c=buy,d=900,t=acme", b"BODY"]


class SilentLog:
    def info(self, *_, **more):
        pass

    warning = error = info


def dispatcher():
    config = SimpleNamespace(start=start_from_settings(SETTINGS, 7, now()), connections=8)
    made = Dispatcher(config.start, SilentLog(), Counters())
    made.instances = Instances(config, made, ThreadPool(), SilentLog(), made.counters)
    made.discovery = SimpleNamespace(request_list=lambda: None)
    made.balancer.list_received(now(), [at.Instance("i0", 0, 0, 1, 0, at.READY, 1.0, 0)], True, True)
    made.balancer.stage_reported(now(), 1, 0, at.RELEASED, 1.0, 0)
    made.balancer.next_judging = now() + 10**12
    return made


def make_in_flight(made, left=5000 * MS):
    """Returns an attempt in flight on one end of a socket pair, and the other end, which is the instance."""
    ours, theirs = socket.socketpair()
    pool = Pool(("127.0.0.1", 1), 0)
    connection = Connection(pool)
    connection.sock.close()
    connection.sock, connection.idle_since = ours, now()
    asked = request(now=now())
    attempt = at.Attempt(asked, 0, made.balancer.instances["i0"], now())
    asked.attempts.append(attempt)
    made.pending_requests[asked] = SimpleNamespace(client=SimpleNamespace(flush=lambda: None))
    made.balancer.instances["i0"].in_flight[attempt] = None
    in_flight = made.instances.attempts_in_flight[attempt] = AttemptInFlight(
        attempt, pool, WORDS, now() + left
    )
    pool.unused.append(connection)
    made.instances.open_connections += 1
    return in_flight, theirs


def test_event_and_its_decisions_share_one_timestamp():
    made = dispatcher()
    seen = []
    made.instances = SimpleNamespace(
        prepare=lambda *a: None, start=lambda _: seen.append(made.balancer.accepted_work)
    )
    asked = request(now=0)
    asked.deadline = now() + 5000 * MS
    made.handle(made.request_arrived, SimpleNamespace(words=WORDS), asked)
    assert seen == [asked.work]  # a new request is recognized by its timestamp; its work counts once


def test_exception_in_balancer_does_not_end_the_calling_thread():
    made = dispatcher()
    made.handle(lambda time_now: 1 // 0)
    assert made.counters.read()["faults"] == 1


GOOD = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"


@pytest.mark.parametrize(
    "answer, end, reused",
    [
        (GOOD, at.SUCCEEDED, True),
        (b"-ERR failed\r\n", at.ERRED, True),
        (b"-BUSY\r\n", at.REJECTED, True),
        (GOOD[:-5] + b"$3\r\n=,=\r\n", at.SUCCEEDED, True),  # a load report that cannot be parsed
        (GOOD + GOOD, at.SUCCEEDED, False),
        (GOOD + b"\xf6", at.SUCCEEDED, False),
        (b"-BUSY\r\n$5", at.REJECTED, False),
        (b"-ERR bad request\r\n", at.BAD_REQUEST, False),
        (b"*1\r\n$-1\r\n", at.UNREADABLE, False),
        (b"$1\r\nv\r\n", at.UNREADABLE, False),
        (b":5\r\n", at.UNREADABLE, False),
        (b"+OK\r\n", at.UNREADABLE, False),
        (b"-\xf6\r\n", at.UNREADABLE, False),
        (b"x\r\n", at.UNREADABLE, False),
        (b"*3\r\n$-7\r\n", at.UNREADABLE, False),
        (b"*3\r\n$3000000000\r\n", at.UNREADABLE, False),
        (b"x" * 2000, at.UNREADABLE, False),
        (b"*2\r\n$1\r\nv\r\n$-1\r\n", at.UNREADABLE, False),
        (b"*3\r\n$1\r\nv", at.RESET, False),
        (b"", at.RESET, False),
    ],
)
def test_attempt_end_and_connection_reuse_by_response(answer, end, reused):
    made = dispatcher()
    in_flight, theirs = make_in_flight(made)
    in_flight.pool.unused[0].is_quiet = lambda: True  # the response arrives before the command is sent
    theirs.sendall(answer)
    if end == at.RESET:
        theirs.shutdown(socket.SHUT_WR)
    reported = []
    made.attempt_ended = lambda time_now, attempt, how, value: reported.append(how)
    made.instances.run(in_flight)
    assert reported == [end] and in_flight.written and bool(in_flight.pool.unused) is reused


def test_unanswered_attempt_times_out():
    made = dispatcher()
    in_flight, theirs = make_in_flight(made, left=30 * MS)
    assert made.instances.execute(in_flight)[0] == at.TIMED_OUT
    theirs.close()


def test_break_before_last_byte_ends_attempt_as_unconnected():
    made = dispatcher()
    in_flight, theirs = make_in_flight(made)

    def breaks(data, until):
        raise BrokenPipeError

    in_flight.pool.unused[0].write = breaks
    assert made.instances.execute(in_flight)[0] == at.UNCONNECTED and not in_flight.written
    theirs.close()


@pytest.mark.parametrize("spoil", ["over", "drained", "late", "cancelled"])
def test_attempt_that_may_not_begin_is_not_sent(spoil):
    made = dispatcher()
    in_flight, theirs = make_in_flight(made)
    asked = in_flight.attempt.request
    if spoil == "over":
        del made.pending_requests[asked]
    elif spoil == "drained":
        made.balancer.list_received(now(), [at.Instance("i0", 0, 0, 1, 0, at.DRAINING, 1.0, 0)], False, True)
    elif spoil == "late":
        asked.deadline = now()
    else:
        made.instances.cancel(in_flight.attempt)
    assert made.instances.execute(in_flight)[0] == at.NOT_SENT
    theirs.setblocking(False)
    with pytest.raises(BlockingIOError):
        theirs.recv(1)


@pytest.mark.parametrize("spoil", ["closed", "an answer that nobody awaits", "unused for too long"])
def test_bad_unused_connection_is_replaced_before_writing(monkeypatch, spoil):
    made = dispatcher()
    in_flight, theirs = make_in_flight(made)
    old = in_flight.pool.unused[0]
    old.idle_since = now()
    if spoil == "closed":
        theirs.close()
    elif spoil == "unused for too long":
        old.idle_since -= made.instances.idle_time + MS
    else:
        theirs.sendall(b"+OK\r\n")
    ours, other = socket.socketpair()
    other.sendall(GOOD)
    monkeypatch.setattr(Connection, "connect", lambda self, until: setattr(self, "sock", ours))
    assert made.instances.execute(in_flight) == (at.SUCCEEDED, b"v") and other.recv(4096)
    assert in_flight.connection is not old and old.sock.fileno() < 0 and made.instances.open_connections == 1


def test_failure_closes_connections_unused_since_before_it():
    made = dispatcher()
    in_flight, theirs = make_in_flight(made)
    pool = in_flight.pool
    in_flight.connection = pool.unused.pop()
    stale, fresh = Connection(pool), Connection(pool)
    stale.idle_since, fresh.idle_since = in_flight.attempt.sent_at - 1, in_flight.attempt.sent_at + 1
    pool.unused.extend([stale, fresh])
    made.instances.open_connections = 3
    made.instances.finish(in_flight, at.TIMED_OUT, None)
    assert list(pool.unused) == [fresh] and stale.sock.fileno() < 0 and made.instances.open_connections == 1
    theirs.close()


def test_at_limit_longest_unused_connection_is_closed():
    made = dispatcher()
    pools = [Pool(("127.0.0.1", n), 0) for n in (1, 2)]
    made.instances.used_pools = set(pools)
    for pool, used in zip(pools, (5, 3), strict=True):
        pool.unused.append(Connection(pool))
        pool.unused[0].idle_since = used
    made.instances.open_connections = made.instances.max_connections
    assert made.instances.make_room() and not pools[1].unused and pools[0].unused
    pools[0].unused.clear()
    assert (
        not made.instances.make_room() and made.instances.open_connections == made.instances.max_connections
    )


def test_cancel_ends_attempt_and_late_response_is_not_read():
    made = dispatcher()
    in_flight, theirs = make_in_flight(made)
    ended = []
    made.attempt_ended = lambda time_now, attempt, end, value: ended.append(end)
    thread = threading.Thread(target=made.instances.run, args=(in_flight,), daemon=True)
    thread.start()
    until(lambda: in_flight.written)
    made.instances.cancel(in_flight.attempt)
    thread.join(60)
    assert theirs.recv(4096) and ended == [at.CANCELLED]
    assert not in_flight.pool.unused and in_flight.connection.sock.fileno() < 0


def test_only_the_wait_changes_in_a_forwarded_command():
    assert forwarded_words(WORDS, 5) == [b"Q.DO", b"key", b"id", b"c=buy,d=5,t=acme", b"BODY"]


def test_thread_pool_runs_all_tasks_at_once_and_drops_idle_threads():
    thread_pool, gate, done = ThreadPool(), threading.Barrier(5), []
    for _ in range(4):
        thread_pool.submit(gate.wait)
    gate.wait(60)  # no task waited for another
    until(lambda: len(thread_pool.idle_workers) == 4)

    def one_is_left():  # while single tasks keep arriving
        thread_pool.submit(lambda: done.append(threading.get_ident()))
        until(lambda: thread_pool.idle_workers)
        return len(thread_pool.idle_workers) == 1

    until(one_is_left)
    assert len(set(done[-3:])) == 1


@pytest.mark.parametrize("size, fits", [(1000, True), (1001, False)])
def test_large_commands_of_all_clients_share_one_limit(size, fits):
    config = SimpleNamespace(connections=8, memory=16000, listen=("127.0.0.1", 0))
    server = Server(config, None, None, SilentLog(), Counters())
    assert (
        server.reserve_bytes(1000)
        and server.reserve_bytes(size) is fits
        and server.large_command_bytes == 1000 + size * fits
    )
    server.listener.close()


@pytest.mark.parametrize(
    "asked, others, rested, ends",
    [
        (True, 1, 1.0, None),
        (True, 1, 2.1, "rest"),
        (True, 4, 0.2, None),
        (True, 4, 0.3, "rest"),
        (False, 4, 0.3, None),
        (False, 1, 1.0, "silent"),
    ],
)
def test_idle_timeout_is_shorter_with_many_connections(asked, others, rested, ends):
    config = SimpleNamespace(connections=16, memory=16000, listen=("127.0.0.1", 0))
    server, (ours, theirs) = Server(config, None, None, SilentLog(), Counters()), socket.socketpair()
    client, server.clients = Client(ours, server, False), set(range(others))
    client.has_sent_command, client.last_response_at = asked, time.monotonic() - rested
    client.end_if_idle()
    assert client.reason == ends
    server.listener.close()
    theirs.close()


@pytest.mark.parametrize("asked, faults, gone", [(True, 0, 0), (False, 0, 1), (True, 1, 1)])
def test_suspect_clients_are_closed_first(asked, faults, gone):
    config = SimpleNamespace(connections=4, memory=16000, listen=("127.0.0.1", 0))
    server, left = Server(config, None, None, SilentLog(), Counters()), []
    pairs = [socket.socketpair() for _ in range(2)]
    clients = [Client(ours, server, False) for ours, _ in pairs]
    for number, client in enumerate(clients):
        client.has_sent_command, client.last_response_at = (
            True,
            number,
        )  # both are idle for long, the first for longer
        client.close_when_idle = lambda reason, number=number: left.append(number)
    clients[1].has_sent_command, clients[1].invalid_commands = asked, faults
    server.clients = set(clients)
    assert server.make_room() and left == [gone]
    server.listener.close()


ENTRY = {"id": "i1", "addr": "127.0.0.1:7", "zone": "a", "kind": "b", "state": "up", "revision_no": 1}


@pytest.mark.parametrize(
    "text",
    ["{", "[]", "5", "[" * 100000, '{"version": 5}', '{"version": 5, "servers": 5}', "\xf6", "null"]
    + [
        json.dumps({"version": 5, "full": True, "servers": [{**ENTRY, "id": "i2"}, {**ENTRY, **spoilt}]})
        for spoilt in (
            {"id": 5},
            {"id": None},
            {"state": "odd"},
            {"state": []},
            {"addr": "nowhere"},
            {"addr": 5},
            {"addr": "h:99999"},
            {"revision_no": True},
            {"revision_no": "1"},
            {"revision_no": float("inf")},
            {"weight": float("nan")},
            {"started_ms": 10**400},
            {"started_ms": -1},
            {"zone": {}},
        )
    ],
    ids=range(22),
)
def test_invalid_list_changes_nothing(text):
    made = dispatcher()
    config = SimpleNamespace(
        start=start_from_settings(SETTINGS, 7, now()), discovery=None, zones={}, kinds={}
    )
    made.discovery = discovery = Discovery(config, made, SilentLog(), made.counters)
    with pytest.raises(Malformed):
        discovery.process_update(text.encode(), None)
    assert list(made.balancer.instances) == ["i0"] and not made.instances.pools and discovery.version == -1
    discovery.process_update(json.dumps({"version": 5, "full": True, "servers": [ENTRY]}).encode(), None)
    assert list(made.balancer.instances) == ["i1"] == list(made.instances.pools)


@pytest.mark.parametrize("waiting, crowded", [(1, False), (2, False), (3, True)])
def test_only_clients_with_open_requests_count_past_the_limit(waiting, crowded):
    config = SimpleNamespace(connections=4, memory=16000, listen=("127.0.0.1", 0))
    reported, dispatcher = (
        [],
        SimpleNamespace(reject_on_arrival="away", request_arrived="arrived", DUPLICATE_ID_ERROR=b"-"),
    )
    dispatcher.handle = lambda event, *_: reported.append(event)
    server = Server(config, dispatcher, None, SilentLog(), Counters())
    server.parse_request = lambda *_: request()
    pairs = [socket.socketpair() for _ in range(4)]
    client, *others = clients = [Client(ours, server, True) for ours, _ in pairs]
    for other in others[: waiting - 1]:
        other.pending_requests.append(None)
    server.clients = set(clients)
    client.handle_command(WORDS)
    assert reported == ["away" if crowded else "arrived"]
    server.listener.close()


def test_waiting_connections_are_accepted_before_listener_closes():
    config = SimpleNamespace(connections=8, memory=16000, listen=("127.0.0.1", 0))
    server, taken = Server(config, None, None, SilentLog(), Counters()), []
    server.admit, server.closing = taken.append, True
    server.open()
    waiting = [socket.create_connection(server.listener.getsockname()) for _ in range(5)]
    server.run()
    assert len(taken) == 5 and server.closed.is_set()
    for sock in waiting + taken + [server.listener]:
        sock.close()


@pytest.mark.parametrize("crowded, longest", [(False, 1.0), (True, 16.0)])
def test_pause_grows_while_the_server_has_too_many_callers(crowded, longest):
    connection, waited = managed_connection.ManagedConnection(("127.0.0.1", 1), 7, 0.05, 1.0), []
    connection.condition.wait_for = lambda moving, seconds: waited.append(seconds)
    for _ in range(12):
        connection.pause_before_retry(crowded)
    assert longest / 2 <= waited[-1] <= longest and max(waited) <= longest
    assert not crowded or waited[0] >= 1.0
    connection.reset_pause()
    connection.pause_before_retry()
    assert waited[-1] <= 0.05


def served(calls, grows):
    """Returns how many callers that start together are served within a minute by a server that takes calls
    in order, including abandoned ones: 0.15 s a call; a caller gives up after 2 s."""
    chances, free, through, queue = random.Random(3), 0.0, 0, []
    for number in range(calls):
        connection = managed_connection.ManagedConnection(("127.0.0.1", 1), number, 0.05, 1.0)
        connection.condition.wait_for = lambda moving, seconds, connection=connection: setattr(
            connection, "waited", seconds
        )
        queue.append((chances.random() * 0.1, number, connection))
    heapq.heapify(queue)
    while queue and queue[0][0] < 60:
        time_now, number, connection = heapq.heappop(queue)
        free = max(free, time_now) + 0.15
        if free - time_now <= 2.0:
            through += 1
            continue
        connection.pause_before_retry(grows)
        heapq.heappush(queue, (time_now + 2.0 + 0.6 + connection.waited, number, connection))
    return through


def test_server_with_a_stale_queue_serves_all_callers_that_back_off():
    assert served(40, grows=False) < 20 and served(40, grows=True) == 40
