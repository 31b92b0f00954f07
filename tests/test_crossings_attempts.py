"""Crossings of an attempt with all that can happen to it, each in its bad order, on loopback connections."""

import contextlib
import socket
import threading
from types import SimpleNamespace

import pytest
from helpers import MS

from lemonlead import interface as at
from lemonlead.gateway import dispatcher, instances, resp
from lemonlead.gateway.config import now
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.dispatcher import Dispatcher
from lemonlead.gateway.instances import Connection, Instances
from lemonlead.gateway.thread_pool import ThreadPool
from lemonlead.standins.fleet import SETTINGS
from lemonlead.standins.instances import InstanceServer, gives
from lemonlead.standins.server import Server, until
from lemonlead.start_settings import start_from_settings

WAIT = 20000 * MS


class Quiet:
    def info(self, *_, **more):
        pass

    warning = error = info


class Ask(SimpleNamespace):
    """A client's command; notes which attempts were still free to go on when its answer was set."""

    def __setattr__(self, name, value):
        if name == "answer":
            trips = [
                self.world.instances.attempts_in_flight.get(attempt) for attempt in self.request.attempts
            ]
            self.free = [trip for trip in trips if trip and not (trip.written or trip.cancelled)]
        super().__setattr__(name, value)


class World:
    """A dispatcher and its instances among stand-ins, without the doors to clients, discovery and the
    platform."""

    def __init__(self, *servers, limits=()):
        settings = {**SETTINGS, "Limits": {**SETTINGS["Limits"], **dict(limits)}}
        config = SimpleNamespace(start=start_from_settings(settings, 7, now()), connections=64)
        self.dispatcher = Dispatcher(config.start, Quiet(), Counters())
        counters = self.dispatcher.counters
        self.instances = self.dispatcher.instances = Instances(
            config, self.dispatcher, ThreadPool(), Quiet(), counters
        )
        self.dispatcher.discovery = SimpleNamespace(request_list=lambda: None)
        self.dispatcher.service = SimpleNamespace(ended=lambda *_: None, vote=lambda *_: None)
        self.balancer, self.request_classes = (
            self.dispatcher.balancer,
            {request_class.number: request_class for request_class in config.start.request_classes},
        )
        self.balancer.stage_reported(now(), 1, 0, at.RELEASED, 1.0, 0)
        self.asked, self.faulty = [], False
        for number, server in enumerate(servers):
            self.list(f"i{number}", server)

    def list(self, id, server, state=at.READY, since=0, build=1):
        """Discovery's news of one instance."""
        host, port = server.address.split(":")
        where = (host, int(port)) if state == at.READY else None
        line = at.Instance(id, 0, 0, build, 0, state, 1.0, since)

        def listed(moment):
            self.instances.listed(id, where, since)
            self.balancer.list_received(moment, [line], False, True)

        self.dispatcher.handle(listed)

    def ask(self, **more):
        """A request that a client sends; its answer is put into what is given back."""
        ask = self.made(**more)
        self.dispatcher.handle(self.dispatcher.request_arrived, ask, ask.request)
        return ask

    def made(self, request_class=0, body=b"BODY"):
        id = b"%d" % len(self.asked)
        words = [b"Q.DO", id, id, b"c=x,d=20000,t=acme", body]
        ask = Ask(world=self, words=words, answer=None, answers=0)
        ask.client = SimpleNamespace(flush=lambda: setattr(ask, "answers", ask.answers + 1))
        moment = now()
        ask.request = at.Request(id, self.request_classes[request_class], 0, id, moment, moment + WAIT)
        self.asked.append(ask)
        return ask

    def keep_time(self):
        threading.Thread(target=self.dispatcher.run_timer, daemon=True).start()

    def answered(self, ask):
        until(lambda: ask.answers)
        return ask.answer

    def ended(self):
        """Once no attempt is under way."""

        def told():
            with self.dispatcher.lock:
                attempts = [attempt for ask in self.asked for attempt in ask.request.attempts]
                return not self.instances.attempts_in_flight and all(attempt.end for attempt in attempts)

        until(told)

    def unused(self, id="i0"):
        return list(self.instances.pools[id].unused)


class Halt:
    """Holds whoever calls a method, before or after it ran, until it is opened."""

    def __init__(self, monkeypatch, owner, name, after=False):
        self.reached, self.opened = threading.Event(), threading.Event()
        method = getattr(owner, name)

        def held(*given, **named):
            result = method(*given, **named) if after else None
            self.reached.set()
            assert self.opened.wait(60)
            return result if after else method(*given, **named)

        monkeypatch.setattr(owner, name, held)


@pytest.fixture
def world():
    made, servers = [], []

    def make(*given, **more):
        servers.extend(given)
        made.append(World(*given, **more))
        return made[-1]

    yield make
    for server in servers:
        server.close()
    assert [one.dispatcher.counters.read().get("faults", 0) > 0 for one in made] == [
        one.faulty for one in made
    ]


def test_an_attempt_that_is_not_sent_leaves_its_connection_as_long_unused_as_it_was(world, monkeypatch):
    made = world(server := InstanceServer().start())
    assert made.answered(made.ask()) == b"$1\r\n0\r\n"
    made.ended()
    ((connection,),) = [made.unused()]
    answered = connection.idle_since
    halt = Halt(monkeypatch, made.instances, "get_connection", after=True)
    given_up = made.ask()
    assert halt.reached.wait(60)
    made.dispatcher.handle(made.dispatcher.client_left, [given_up.request])
    late = answered + made.instances.idle_time
    monkeypatch.setattr(instances, "now", lambda: late)  # just within its time; the instance counts on
    halt.opened.set()
    made.ended()
    assert made.unused() == [connection] and connection.idle_since == answered
    monkeypatch.setattr(instances, "now", lambda: late + MS)
    made.ask()
    until(lambda: len(server.got) == 2)
    assert len(server.connections) == 2 and connection.sock.fileno() < 0


def test_a_new_connection_is_unused_from_before_the_instance_could_count(world, monkeypatch):
    made = world(server := InstanceServer().start())
    begun = now()
    halt = Halt(monkeypatch, made.instances, "get_connection", after=True)
    given_up = made.ask()
    assert halt.reached.wait(60)
    until(lambda: server.connections)
    accepted = now()
    made.dispatcher.handle(made.dispatcher.client_left, [given_up.request])
    halt.opened.set()
    made.ended()
    (connection,) = made.unused()
    assert begun < connection.idle_since < accepted and not server.got


def arrived(sock):
    """Once something has come that is not read yet."""

    def looked():
        with contextlib.suppress(BlockingIOError):
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)

    until(looked)


def test_a_second_answer_that_comes_late_is_not_read_as_the_next_requests(world, monkeypatch):
    made = world(server := InstanceServer().start())
    made.answered(made.ask())
    made.ended()
    (connection,), write, late = made.unused(), Connection.write, []

    def second_answer():
        if not late:
            late.append(server.connections[0].sendall(gives(b"0")))
            arrived(connection.sock)

    def written(self, data, until):
        second_answer()  # after the last look, unless it came while the connection rested
        write(self, data, until)

    monkeypatch.setattr(instances, "now", lambda: connection.idle_since)  # the next request is there at once
    sleeps = SimpleNamespace(sleep=lambda seconds: second_answer())
    monkeypatch.setattr(instances, "time", sleeps, raising=False)
    monkeypatch.setattr(Connection, "write", written)
    assert made.answered(made.ask()) == b"$1\r\n1\r\n" and late
    made.ended()
    assert len(server.connections) == 2 and connection.sock.fileno() < 0 and len(server.got) == 2


@pytest.mark.parametrize("rested, wait", [(0, 10), (4, 6), (10, 0), (11, 0)])
def test_a_connection_rests_after_an_answer_for_what_is_left_of_its_time(world, monkeypatch, rested, wait):
    made, slept = world(InstanceServer().start()), []
    made.answered(made.ask())
    made.ended()
    (connection,) = made.unused()
    monkeypatch.setattr(instances, "now", lambda: connection.idle_since + rested * MS)
    monkeypatch.setattr(instances, "time", SimpleNamespace(sleep=slept.append))
    made.answered(made.ask())
    assert slept == [wait / 1e3] * (wait > 0)


@pytest.mark.parametrize("rested, same", [(0, False), (9, False), (10, True)])
def test_a_request_goes_where_no_connection_has_to_rest_first(world, monkeypatch, rested, same):
    made, slept = world(*(InstanceServer().start() for _ in range(2))), []
    made.answered(ask := made.ask())
    made.ended()
    (first,) = ask.request.attempts
    (connection,) = made.unused(first.instance.id)
    first.instance.slowness, first.instance.group.slowness = 0.001, 0.002  # half of the other's, under a rest
    for module in (dispatcher, instances):
        monkeypatch.setattr(module, "now", lambda: connection.idle_since + rested * MS)
    monkeypatch.setattr(instances, "time", SimpleNamespace(sleep=slept.append))
    made.answered(ask := made.ask())
    (second,) = ask.request.attempts
    assert (second.instance is first.instance) is same and not slept


def test_what_an_attempt_leaves_unused_is_what_the_next_choice_goes_by(world, monkeypatch):
    """Two connections at the quicker of two instances: one has rested and is taken, the other has not."""
    open_, slept = threading.Event(), []

    def react(words):
        assert open_.wait(60)
        return gives(words[1])

    made = world(*(InstanceServer(react).start() for _ in range(2)))
    quick = made.balancer.instances["i0"]

    def chosen():
        quick.slowness, quick.group.slowness = 0.001, 0.004  # a quarter of the other's, far under a rest
        return made.ask().request.attempts[0].instance.id

    assert [chosen(), chosen()] == ["i0", "i0"]
    open_.set()
    made.ended()
    open_.clear()
    rested, resting = made.unused()
    resting.idle_since = rested.idle_since + 10 * MS
    for module in (dispatcher, instances):
        monkeypatch.setattr(module, "now", lambda: resting.idle_since)
    monkeypatch.setattr(instances, "time", SimpleNamespace(sleep=slept.append))
    assert [chosen(), chosen()] == ["i0", "i1"]
    assert made.unused() == [resting] and not slept
    open_.set()
    made.ended()
    assert not slept


class Slow(Server):
    """Reads nothing until it is told to, then all there is; its receive buffer holds a part of a command."""

    def __init__(self):
        super().__init__()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.reading, self.ended, self.data = threading.Event(), threading.Event(), b""

    def serve(self, sock):
        self.reading.wait(60)
        while data := sock.recv(65536):
            self.data += data
        self.ended.set()

    def whole(self):
        """Whether a command came in full, once its connection has ended."""
        self.reading.set()
        assert self.ended.wait(60)
        reader = resp.Reader(commands=True)
        reader.buffer.add(self.data)
        return reader.next() is not resp.MORE


@pytest.fixture
def narrow(monkeypatch):
    """New connections hold little that is unsent."""
    connect = Connection.connect

    def narrowed(self, until):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connect(self, until)

    monkeypatch.setattr(Connection, "connect", narrowed)


def stuck(made, server):
    """A request of which a part is written to a slow instance."""
    ask = made.ask(body=b"x" * 60000)
    until(lambda: server.connections)
    arrived(server.connections[0])
    return ask


@pytest.mark.parametrize("waits", ["for another attempt", "for its connection"])
def test_an_attempt_is_told_what_is_left_to_its_client_when_it_begins(world, monkeypatch, waits):
    """Seven seconds pass once, by the gateway's clock, before it does: of twenty thirteen are left."""
    ahead, connect = [], Connection.connect
    for module in (instances, dispatcher):
        monkeypatch.setattr(module, "now", lambda: now() + sum(ahead))

    def passes():
        return not ahead and not ahead.append(7000 * MS)

    def connected(self, until):
        connect(self, until)
        if waits == "for its connection":
            passes()

    monkeypatch.setattr(Connection, "connect", connected)
    turned_away = waits == "for another attempt"
    servers = [
        InstanceServer(lambda words: b"-BUSY\r\n" if turned_away and passes() else gives(words[1])).start()
        for _ in range(2)
    ]
    made = world(*servers)
    assert made.answered(made.ask()) == b"$1\r\n0\r\n"
    told = [int(words[3].split(b"d=")[1].split(b",")[0]) for server in servers for words in server.got]
    assert len(told) == 1 + turned_away and 8000 < min(told) <= 13_000


@pytest.mark.parametrize("request_class, again", [(0, True), (1, True), (2, False)])
def test_what_an_instance_that_is_killed_had_not_accepted_yet_may_have_run(world, request_class, again):
    """Its system takes the connection and the whole command; then both are reset."""
    made = world(killed := Server())
    made.keep_time()
    made.request_classes[1].repeat_window = 10000 * MS
    ask = made.ask(request_class=request_class)
    until(lambda: any(trip.written for trip in made.instances.attempts_in_flight.values()))
    made.list("i1", other := InstanceServer().start())
    killed.close()
    answer = made.answered(ask)
    made.ended()
    other.close()
    assert ask.request.attempts[0].end == at.RESET and len(other.got) == again
    assert answer == (b"$1\r\n0\r\n" if again else b"-ERR aborted\r\n")


def second(made, ask, id="i1"):
    """Decides on another attempt."""
    made.dispatcher.handle(
        lambda moment: made.balancer.attempt(
            ask.request, made.balancer.instances[id], moment, made.dispatcher
        )
    )


@pytest.mark.parametrize("by", ["an answer", "the client leaves", "cancelled", "a break", "the deadline"])
def test_what_is_given_up_while_it_is_written_is_never_written_whole(world, narrow, monkeypatch, by):
    made = world(server := Slow().start(), limits={"AttemptsCap": 2}.items())
    if by == "the deadline":
        limit = instances.socket_timeout
        monkeypatch.setattr(instances, "socket_timeout", lambda until: limit(now() + 50 * MS))
    ask = stuck(made, server)
    (attempt,) = ask.request.attempts
    if by == "an answer":
        made.list("i1", other := InstanceServer().start())
        second(made, ask)
        assert made.answered(ask) == b"$1\r\n0\r\n"
        other.close()
    elif by == "the client leaves":
        made.dispatcher.handle(made.dispatcher.client_left, [ask.request])
    elif by == "cancelled":
        ask.request.finished = True  # so that nothing follows
        made.dispatcher.handle(lambda moment: made.dispatcher.cancel(attempt))
    elif by == "a break":
        ask.request.finished = True
        (trip,) = made.instances.attempts_in_flight.values()
        trip.connection.sock.shutdown(socket.SHUT_RDWR)
    else:
        made.ended()
    assert not server.whole()
    made.ended()
    assert attempt.end == (at.UNCONNECTED if by in ("the deadline", "a break") else at.NOT_SENT)
    assert not made.unused() and made.instances.open == (by == "an answer")


@pytest.mark.parametrize("at_point", ["may_begin", "forwarded_words"])
def test_an_attempt_is_not_written_once_its_request_has_the_answer(world, monkeypatch, at_point):
    made = world(server := InstanceServer().start())
    owner = made.dispatcher if at_point == "may_begin" else instances
    halt = Halt(monkeypatch, owner, at_point, after=True)
    ask = made.ask()
    assert halt.reached.wait(60)
    monkeypatch.undo()
    made.list("i1", other := InstanceServer().start())
    second(made, ask)
    assert made.answered(ask) == b"$1\r\n0\r\n"
    halt.opened.set()
    made.ended()
    other.close()
    assert (
        not server.got and ask.request.attempts[0].end == at.NOT_SENT and ask.answers == 1 and ask.free == []
    )


@pytest.mark.parametrize("point", ["connect", "may_begin"])
@pytest.mark.parametrize("since, build", [(0, 1), (5, 1), (0, 2)])
def test_an_instance_that_returns_elsewhere_gets_nothing_at_its_old_address(
    world, monkeypatch, point, since, build
):
    made = world(old := InstanceServer().start())
    halt = Halt(monkeypatch, Connection if point == "connect" else made.dispatcher, point, after=True)
    ask = made.ask()
    assert halt.reached.wait(60)
    monkeypatch.undo()
    new = InstanceServer().start()
    made.balancer.stage_reported(now(), 2, 0, at.RELEASED, 1.0, 0)
    made.list("i0", new, since=since, build=build)
    halt.opened.set()
    assert made.answered(ask) == b"$1\r\n0\r\n"
    made.ended()
    new.close()
    assert not old.got and len(new.got) == 1 and made.instances.open == 1 == len(made.unused())


def test_a_repeat_does_not_begin_past_the_time_for_which_repeats_are_dropped(world, monkeypatch):
    made = world(first := InstanceServer(lambda words: None).start())  # it may have run there
    made.request_classes[1].repeat_window = 10000 * MS
    halt = Halt(monkeypatch, Connection, "connect", after=True)
    ask = made.ask(request_class=1)
    assert halt.reached.wait(60)
    monkeypatch.undo()
    made.list("i1", other := InstanceServer().start())
    again = Halt(monkeypatch, made.instances, "get_connection", after=True)
    halt.opened.set()
    assert again.reached.wait(60) and [attempt.end for attempt in ask.request.attempts] == [at.RESET, ""]
    monkeypatch.setattr(dispatcher, "now", lambda: ask.request.attempts[0].sent_at + 10000 * MS - 1)
    again.opened.set()
    made.ended()
    other.close()
    assert not other.got and len(first.got) == 1 and ask.request.attempts[1].end == at.NOT_SENT
    assert ask.answer.startswith(b"-BUSY") and ask.answers == 1


def test_a_fault_once_an_attempt_has_begun_is_no_proof_that_it_did_not_run(world, monkeypatch):
    made, write = world(server := InstanceServer().start()), Connection.write
    made.faulty = True

    def fails(self, data, until):
        write(self, data, until)
        raise ValueError

    monkeypatch.setattr(Connection, "write", fails)
    made.keep_time()
    ask = made.ask(request_class=2)  # it may run only once
    assert made.answered(ask) == b"-ERR aborted\r\n"
    until(lambda: server.got)
    assert [attempt.end for attempt in ask.request.attempts] == [at.RESET] and made.instances.open == 0


@pytest.mark.parametrize("error", [OSError, MemoryError])
def test_a_connection_that_cannot_be_made_is_not_counted(world, monkeypatch, error):
    made = world(InstanceServer().start())

    def fails(pool):
        raise error

    monkeypatch.setattr(instances, "Connection", fails)
    made.keep_time()
    ask = made.ask()
    made.answered(ask)
    assert made.instances.open == 0 and {attempt.end for attempt in ask.request.attempts} == {at.NOT_SENT}


@pytest.mark.parametrize("name", ["choose", "cost", "may_attempt", "attempt", "sheds", "overdue_at"])
def test_a_request_whose_decisions_fail_is_answered_in_time_and_takes_none_along(world, monkeypatch, name):
    made = world(InstanceServer().start())
    made.faulty, spoilt, method = True, made.made(), getattr(made.balancer, name)

    def fails(*given):
        if spoilt.request in [getattr(one, "request", one) for one in given]:
            raise ZeroDivisionError
        return method(*given)

    monkeypatch.setattr(made.balancer, name, fails)
    others = [made.made() for _ in range(2)]

    def arrive(moment):
        spoilt.request.deadline = moment + 100 * MS
        for ask in (spoilt, *others):
            made.dispatcher.request_arrived(moment, ask, ask.request)

    made.keep_time()
    made.dispatcher.handle(arrive)  # all three are due at once
    assert [made.answered(other) for other in others] == [b"$1\r\n1\r\n", b"$1\r\n2\r\n"]
    made.answered(spoilt)
    made.ended()
    assert spoilt.answers == 1 and spoilt.answer[:5] == (b"$1\r\n0" if name == "overdue_at" else b"-BUSY")


@pytest.mark.parametrize("name", ["tick", "cast_vote", "wake_at"])
def test_a_decision_that_always_fails_keeps_no_request_from_its_own(world, monkeypatch, name):
    made = world(InstanceServer().start())
    made.faulty = True
    made.balancer.next_judging, made.balancer.vote_check_due = 0, True

    method = getattr(made.balancer, name)

    def fails(*given):
        method(*given)
        raise ZeroDivisionError

    monkeypatch.setattr(made.balancer, name, fails)
    made.keep_time()
    assert made.answered(made.ask()) == b"$1\r\n0\r\n"
    monkeypatch.undo()
    assert made.answered(made.ask()) == b"$1\r\n1\r\n"
