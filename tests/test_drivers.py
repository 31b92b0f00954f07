"""The gateway's drivers, one call at a time, without a network but for a socket pair."""

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


class Quiet:
    def info(self, *_, **more):
        pass

    warning = error = info


def dispatcher():
    config = SimpleNamespace(start=start_from_settings(SETTINGS, 7, now()), connections=8)
    made = Dispatcher(config.start, Quiet(), Counters())
    made.instances = Instances(config, made, ThreadPool(), Quiet(), made.counters)
    made.discovery = SimpleNamespace(request_list=lambda: None)
    made.balancer.list_received(now(), [at.Instance("i0", 0, 0, 1, 0, at.READY, 1.0, 0)], True, True)
    made.balancer.stage_reported(now(), 1, 0, at.RELEASED, 1.0, 0)
    made.balancer.next_judging = now() + 10**12
    return made


def trip(made, left=5000 * MS):
    """An attempt under way on one end of a socket pair; the other end is the instance."""
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
    under_way = made.instances.attempts_in_flight[attempt] = AttemptInFlight(
        attempt, pool, WORDS, now() + left
    )
    pool.unused.append(connection)
    made.instances.open += 1
    return under_way, theirs


def test_an_input_and_its_decisions_share_one_moment():
    made = dispatcher()
    seen = []
    made.instances = SimpleNamespace(
        prepare=lambda *a: None, start=lambda _: seen.append(made.balancer.accepted_work)
    )
    asked = request(now=0)
    asked.deadline = now() + 5000 * MS
    made.handle(made.request_arrived, SimpleNamespace(words=WORDS), asked)
    assert seen == [asked.work]  # the module knows a new request by its moment, and counts its work once


def test_a_fault_of_the_balancer_does_not_end_the_thread_that_met_it():
    made = dispatcher()
    made.handle(lambda moment: 1 // 0)
    assert made.counters.read()["faults"] == 1


GOOD = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"


@pytest.mark.parametrize(
    "answer, end, kept",
    [
        (GOOD, at.SUCCEEDED, True),
        (b"-ERR failed\r\n", at.ERRED, True),
        (b"-BUSY\r\n", at.REJECTED, True),
        (GOOD[:-5] + b"$3\r\n=,=\r\n", at.SUCCEEDED, True),  # a report that cannot be read
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
def test_how_an_attempt_ends_by_what_comes_back_and_whether_its_connection_is_used_again(answer, end, kept):
    made = dispatcher()
    under_way, theirs = trip(made)
    under_way.pool.unused[0].is_quiet = lambda: True  # the answer is there before the command
    theirs.sendall(answer)
    if end == at.RESET:
        theirs.shutdown(socket.SHUT_WR)
    told = []
    made.attempt_ended = lambda moment, attempt, how, value: told.append(how)
    made.instances.run(under_way)
    assert told == [end] and under_way.written and bool(under_way.pool.unused) is kept


def test_an_attempt_that_nobody_answers_times_out():
    made = dispatcher()
    under_way, theirs = trip(made, left=30 * MS)
    assert made.instances.execute(under_way)[0] == at.TIMED_OUT
    theirs.close()


def test_a_connection_that_breaks_before_the_last_byte_shows_that_nothing_ran():
    made = dispatcher()
    under_way, theirs = trip(made)

    def breaks(data, until):
        raise BrokenPipeError

    under_way.pool.unused[0].write = breaks
    assert made.instances.execute(under_way)[0] == at.UNCONNECTED and not under_way.written
    theirs.close()


@pytest.mark.parametrize("spoil", ["over", "drained", "late", "cancelled"])
def test_what_may_no_longer_begin_is_not_sent(spoil):
    made = dispatcher()
    under_way, theirs = trip(made)
    asked = under_way.attempt.request
    if spoil == "over":
        del made.pending_requests[asked]
    elif spoil == "drained":
        made.balancer.list_received(now(), [at.Instance("i0", 0, 0, 1, 0, at.DRAINING, 1.0, 0)], False, True)
    elif spoil == "late":
        asked.deadline = now()
    else:
        made.instances.cancel(under_way.attempt)
    assert made.instances.execute(under_way)[0] == at.NOT_SENT
    theirs.setblocking(False)
    with pytest.raises(BlockingIOError):
        theirs.recv(1)


@pytest.mark.parametrize("spoil", ["closed", "an answer that nobody awaits", "unused for too long"])
def test_an_unused_connection_that_is_spoilt_is_replaced_before_anything_is_written(monkeypatch, spoil):
    made = dispatcher()
    under_way, theirs = trip(made)
    old = under_way.pool.unused[0]
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
    assert made.instances.execute(under_way) == (at.SUCCEEDED, b"v") and other.recv(4096)
    assert under_way.connection is not old and old.sock.fileno() < 0 and made.instances.open == 1


def test_after_a_failure_connections_unused_since_before_are_closed():
    made = dispatcher()
    under_way, theirs = trip(made)
    pool = under_way.pool
    under_way.connection = pool.unused.pop()
    stale, fresh = Connection(pool), Connection(pool)
    stale.idle_since, fresh.idle_since = under_way.attempt.sent_at - 1, under_way.attempt.sent_at + 1
    pool.unused.extend([stale, fresh])
    made.instances.open = 3
    made.instances.finish(under_way, at.TIMED_OUT, None)
    assert list(pool.unused) == [fresh] and stale.sock.fileno() < 0 and made.instances.open == 1
    theirs.close()


def test_at_the_bound_the_connection_longest_unused_makes_room():
    made = dispatcher()
    pools = [Pool(("127.0.0.1", n), 0) for n in (1, 2)]
    made.instances.used_pools = set(pools)
    for pool, used in zip(pools, (5, 3), strict=True):
        pool.unused.append(Connection(pool))
        pool.unused[0].idle_since = used
    made.instances.open = made.instances.max_connections
    assert made.instances.make_room() and not pools[1].unused and pools[0].unused
    pools[0].unused.clear()
    assert not made.instances.make_room() and made.instances.open == made.instances.max_connections


def test_cancelling_wakes_the_attempt_and_its_late_answer_is_never_read():
    made = dispatcher()
    under_way, theirs = trip(made)
    ended = []
    made.attempt_ended = lambda moment, attempt, end, value: ended.append(end)
    thread = threading.Thread(target=made.instances.run, args=(under_way,), daemon=True)
    thread.start()
    until(lambda: under_way.written)
    made.instances.cancel(under_way.attempt)
    thread.join(60)
    assert theirs.recv(4096) and ended == [at.CANCELLED]
    assert not under_way.pool.unused and under_way.connection.sock.fileno() < 0


def test_all_but_the_wait_is_passed_on_unchanged():
    assert forwarded_words(WORDS, 5) == [b"Q.DO", b"key", b"id", b"c=buy,d=5,t=acme", b"BODY"]


def test_a_thread_pool_does_all_at_once_and_keeps_no_more_threads_than_its_work_takes():
    thread_pool, gate, done = ThreadPool(), threading.Barrier(5), []
    for _ in range(4):
        thread_pool.submit(gate.wait)
    gate.wait(60)  # none waited for another
    until(lambda: len(thread_pool.idle_workers) == 4)

    def one_is_left():  # though work goes on coming, one piece at a time
        thread_pool.submit(lambda: done.append(threading.get_ident()))
        until(lambda: thread_pool.idle_workers)
        return len(thread_pool.idle_workers) == 1

    until(one_is_left)
    assert len(set(done[-3:])) == 1


@pytest.mark.parametrize("size, fits", [(1000, True), (1001, False)])
def test_large_commands_of_all_clients_share_one_bound(size, fits):
    config = SimpleNamespace(connections=8, memory=16000, listen=("127.0.0.1", 0))
    server = Server(config, None, None, Quiet(), Counters())
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
def test_an_unused_connection_ends_the_sooner_the_more_there_are(asked, others, rested, ends):
    config = SimpleNamespace(connections=16, memory=16000, listen=("127.0.0.1", 0))
    server, (ours, theirs) = Server(config, None, None, Quiet(), Counters()), socket.socketpair()
    client, server.clients = Client(ours, server, False), set(range(others))
    client.has_sent_command, client.since = asked, time.monotonic() - rested
    client.end_if_idle()
    assert client.reason == ends
    server.listener.close()
    theirs.close()


@pytest.mark.parametrize("asked, faults, gone", [(True, 0, 0), (False, 0, 1), (True, 1, 1)])
def test_those_that_never_asked_or_ask_nonsense_make_room_first(asked, faults, gone):
    config = SimpleNamespace(connections=4, memory=16000, listen=("127.0.0.1", 0))
    server, left = Server(config, None, None, Quiet(), Counters()), []
    pairs = [socket.socketpair() for _ in range(2)]
    clients = [Client(ours, server, False) for ours, _ in pairs]
    for number, client in enumerate(clients):
        client.has_sent_command, client.since = True, number  # both rested for long, the first for longer
        client.close_when_idle = lambda reason, number=number: left.append(number)
    clients[1].has_sent_command, clients[1].faults = asked, faults
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
def test_a_list_that_cannot_be_read_in_full_changes_nothing(text):
    made = dispatcher()
    config = SimpleNamespace(
        start=start_from_settings(SETTINGS, 7, now()), discovery=None, zones={}, kinds={}
    )
    made.discovery = discovery = Discovery(config, made, Quiet(), made.counters)
    with pytest.raises(Malformed):
        discovery.process_update(text.encode(), None)
    assert list(made.balancer.instances) == ["i0"] and not made.instances.pools and discovery.version == -1
    discovery.process_update(json.dumps({"version": 5, "full": True, "servers": [ENTRY]}).encode(), None)
    assert list(made.balancer.instances) == ["i1"] == list(made.instances.pools)


@pytest.mark.parametrize("waiting, crowded", [(1, False), (2, False), (3, True)])
def test_past_the_bound_only_clients_that_wait_for_answers_count(waiting, crowded):
    config = SimpleNamespace(connections=4, memory=16000, listen=("127.0.0.1", 0))
    told, dispatcher = (
        [],
        SimpleNamespace(request_turned_away="away", request_arrived="arrived", DUPLICATE_ID_ERROR=b"-"),
    )
    dispatcher.handle = lambda happened, *_: told.append(happened)
    server = Server(config, dispatcher, None, Quiet(), Counters())
    server.parse_request = lambda *_: request()
    pairs = [socket.socketpair() for _ in range(4)]
    client, *others = clients = [Client(ours, server, True) for ours, _ in pairs]
    for other in others[: waiting - 1]:
        other.pending_requests.append(None)
    server.clients = set(clients)
    client.handle_command(WORDS)
    assert told == ["away" if crowded else "arrived"]
    server.listener.close()


def test_what_waits_to_be_accepted_is_still_taken_when_the_door_closes():
    config = SimpleNamespace(connections=8, memory=16000, listen=("127.0.0.1", 0))
    server, taken = Server(config, None, None, Quiet(), Counters()), []
    server.admit, server.closing = taken.append, True
    server.open()
    waiting = [socket.create_connection(server.listener.getsockname()) for _ in range(5)]
    server.run()
    assert len(taken) == 5 and server.closed.is_set()
    for sock in waiting + taken + [server.listener]:
        sock.close()


@pytest.mark.parametrize("crowded, longest", [(False, 1.0), (True, 16.0)])
def test_who_finds_too_many_callers_comes_ever_less_often_until_it_gets_through(crowded, longest):
    kept, waited = managed_connection.ManagedConnection(("127.0.0.1", 1), 7, 0.05, 1.0), []
    kept.condition.wait_for = lambda moving, seconds: waited.append(seconds)
    for _ in range(12):
        kept.pause_before_retry(crowded)
    assert longest / 2 <= waited[-1] <= longest and max(waited) <= longest
    assert not crowded or waited[0] >= 1.0
    kept.reset_pause()
    kept.pause_before_retry()
    assert waited[-1] <= 0.05


def served(calls, grows):
    """How many callers that start together get through within a minute to a service that works calls off in
    turn, also those given up meanwhile: 0.15 s a call, 2 s until one is given up."""
    chances, free, through, queue = random.Random(3), 0.0, 0, []
    for number in range(calls):
        kept = managed_connection.ManagedConnection(("127.0.0.1", 1), number, 0.05, 1.0)
        kept.condition.wait_for = lambda moving, seconds, kept=kept: setattr(kept, "waited", seconds)
        queue.append((chances.random() * 0.1, number, kept))
    heapq.heapify(queue)
    while queue and queue[0][0] < 60:
        moment, number, kept = heapq.heappop(queue)
        free = max(free, moment) + 0.15
        if free - moment <= 2.0:
            through += 1
            continue
        kept.pause_before_retry(grows)
        heapq.heappush(queue, (moment + 2.0 + 0.6 + kept.waited, number, kept))
    return through


def test_a_service_that_works_off_what_was_given_up_serves_a_crowd_that_backs_off():
    assert served(40, grows=False) < 20 and served(40, grows=True) == 40
