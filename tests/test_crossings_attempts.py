"""Races between an attempt and other events, each forced in its worst order, on loopback connections."""

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
from lemonlead.standins.instances import CONNECTION_COMMANDS, InstanceServer, value_response
from lemonlead.standins.server import Server, until
from lemonlead.start_settings import start_from_settings

WAIT = 20000 * MS


class SilentLog:
    def info(self, *_, **more):
        pass

    warning = error = info


class RecordedCommand(SimpleNamespace):
    """A client's command. Records in `free` the attempts that could still continue when it was answered."""

    def __setattr__(self, name, value):
        if name == "answer":
            in_flight_attempts = [
                self.gateway.instances.attempts_in_flight.get(attempt) for attempt in self.request.attempts
            ]
            self.free = [
                in_flight
                for in_flight in in_flight_attempts
                if in_flight and not (in_flight.written or in_flight.cancelled)
            ]
        super().__setattr__(name, value)


class GatewayUnderTest:
    """A dispatcher and connection pools with stand-in instances, without clients, discovery and the
    platform."""

    def __init__(self, *servers, limits=()):
        settings = {**SETTINGS, "Limits": {**SETTINGS["Limits"], **dict(limits)}}
        config = SimpleNamespace(start=start_from_settings(settings, 7, now()), connections=64)
        self.dispatcher = Dispatcher(config.start, SilentLog(), Counters())
        counters = self.dispatcher.counters
        self.instances = self.dispatcher.instances = Instances(
            config, self.dispatcher, ThreadPool(), SilentLog(), counters
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
            self.report_instance(f"i{number}", server)

    def report_instance(self, id, server, state=at.READY, since=0, build=1):
        """Reports one instance, as discovery does."""
        host, port = server.address.split(":")
        where = (host, int(port)) if state == at.READY else None
        line = at.Instance(id, 0, 0, build, 0, state, 1.0, since)

        def listed(time_now):
            self.instances.listed(id, where, since)
            self.balancer.list_received(time_now, [line], False, True)

        self.dispatcher.handle(listed)

    def ask(self, **more):
        """Sends a request as a client. Returns its command, which gets the response."""
        ask = self.make_command(**more)
        self.dispatcher.handle(self.dispatcher.request_arrived, ask, ask.request)
        return ask

    def make_command(self, request_class=0, body=b"BODY"):
        id = b"%d" % len(self.asked)
        words = [b"Q.DO", id, id, b"c=x,d=20000,t=acme", body]
        ask = RecordedCommand(gateway=self, words=words, answer=None, answers=0)
        ask.client = SimpleNamespace(flush=lambda: setattr(ask, "answers", ask.answers + 1))
        time_now = now()
        ask.request = at.Request(id, self.request_classes[request_class], 0, id, time_now, time_now + WAIT)
        self.asked.append(ask)
        return ask

    def run_timer(self):
        threading.Thread(target=self.dispatcher.run_timer, daemon=True).start()

    def wait_for_answer(self, ask):
        until(lambda: ask.answers)
        return ask.answer

    def wait_until_ended(self):
        """Waits until no attempt is in flight."""

        def no_attempt_in_flight():
            with self.dispatcher.lock:
                attempts = [attempt for ask in self.asked for attempt in ask.request.attempts]
                return not self.instances.attempts_in_flight and all(attempt.end for attempt in attempts)

        until(no_attempt_in_flight)

    def unused(self, id="i0"):
        return list(self.instances.pools[id].unused)


class Pause:
    """Holds the callers of a method, before or after it has run, until `opened` is set."""

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
def gateway():
    made, servers = [], []

    def make(*given, **more):
        servers.extend(given)
        made.append(GatewayUnderTest(*given, **more))
        return made[-1]

    yield make
    for server in servers:
        server.close()
    assert [one.dispatcher.counters.read().get("faults", 0) > 0 for one in made] == [
        one.faulty for one in made
    ]


def test_unsent_attempt_does_not_reset_connection_idle_time(gateway, monkeypatch):
    made = gateway(server := InstanceServer().start())
    assert made.wait_for_answer(made.ask()) == b"$1\r\n0\r\n"
    made.wait_until_ended()
    ((connection,),) = [made.unused()]
    answered = connection.idle_since
    halt = Pause(monkeypatch, made.instances, "get_connection", after=True)
    given_up = made.ask()
    assert halt.reached.wait(60)
    made.dispatcher.handle(made.dispatcher.client_left, [given_up.request])
    late = answered + made.instances.idle_time
    monkeypatch.setattr(
        instances, "now", lambda: late
    )  # just within its idle time, which the instance still counts
    halt.opened.set()
    made.wait_until_ended()
    assert made.unused() == [connection] and connection.idle_since == answered
    monkeypatch.setattr(instances, "now", lambda: late + MS)
    made.ask()
    until(lambda: len(server.got) == 2)
    assert len(server.connections) == 2 and connection.sock.fileno() < 0


def test_new_connection_counts_as_idle_from_its_creation(gateway, monkeypatch):
    made = gateway(server := InstanceServer().start())
    began = now()
    halt = Pause(monkeypatch, made.instances, "get_connection", after=True)
    given_up = made.ask()
    assert halt.reached.wait(60)
    until(lambda: server.connections)
    accepted = now()
    made.dispatcher.handle(made.dispatcher.client_left, [given_up.request])
    halt.opened.set()
    made.wait_until_ended()
    (connection,) = made.unused()
    assert began < connection.idle_since < accepted and not server.got


def arrived(sock):
    """Waits until unread bytes have arrived."""

    def looked():
        with contextlib.suppress(BlockingIOError):
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)

    until(looked)


def test_late_second_response_is_not_taken_for_the_next_one(gateway, monkeypatch):
    made = gateway(server := InstanceServer().start())
    made.wait_for_answer(made.ask())
    made.wait_until_ended()
    (connection,), write, late = made.unused(), Connection.write, []

    def second_answer():
        if not late:
            late.append(server.connections[0].sendall(value_response(b"0")))
            arrived(connection.sock)

    def written(self, data, until):
        second_answer()  # after the last check, unless it came during the reuse delay
        write(self, data, until)

    monkeypatch.setattr(instances, "now", lambda: connection.idle_since)  # the next request comes at once
    sleeps = SimpleNamespace(sleep=lambda seconds: second_answer())
    monkeypatch.setattr(instances, "time", sleeps, raising=False)
    monkeypatch.setattr(Connection, "write", written)
    assert made.wait_for_answer(made.ask()) == b"$1\r\n1\r\n" and late
    made.wait_until_ended()
    assert len(server.connections) == 2 and connection.sock.fileno() < 0 and len(server.got) == 2


def send_before_next_write(monkeypatch, server, connection, *late):
    """Lets these responses arrive after the last check of the connection, before the next command."""
    write, left = Connection.write, list(late)

    def written(self, data, until):
        while left and self is connection:
            server.connections[0].sendall(left.pop())
            arrived(connection.sock)
        write(self, data, until)

    monkeypatch.setattr(Connection, "write", written)
    monkeypatch.setattr(instances, "time", SimpleNamespace(sleep=lambda seconds: None))


ONE_SHOT = 2  # a request class


ONE_ATTEMPT = {"AttemptsCap": 1}.items()  # for each request


def connection_after_one_attempt(made):
    """Returns the connection that has carried one attempt, whatever that got."""
    made.run_timer()
    made.wait_for_answer(made.ask(request_class=ONE_SHOT))
    made.wait_until_ended()
    (connection,) = made.unused()
    return connection


@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize("response", [value_response(b"0"), b"-BUSY\r\n", b"-BUSY 7\r\n", b"-ERR failed\r\n"])
def test_second_response_that_comes_after_the_last_check_answers_no_other_request(
    gateway, monkeypatch, response, copies
):
    """Guards against a connection that is out of step: each request on it would get the response to the one
    before it, and one that ran would be sent again after a -BUSY that was not its own."""
    server = InstanceServer(lambda words: response if words[1] == b"0" else value_response(words[1]))
    made = gateway(server.start(), limits=ONE_ATTEMPT)
    connection = connection_after_one_attempt(made)
    send_before_next_write(monkeypatch, server, connection, *[response] * copies)
    assert made.wait_for_answer(made.ask(request_class=ONE_SHOT)) == b"$1\r\n1\r\n"
    made.wait_until_ended()
    assert [words[1] for words in server.got] == [b"0", b"1"]  # each ran once
    assert connection not in made.unused() and connection.sock.fileno() < 0


@pytest.mark.parametrize("may_probe, marker", [(False, b"PING"), (True, b"SELECT")])
def test_equal_responses_to_two_requests_are_both_passed_on(gateway, may_probe, marker):
    """Guards against values lost because they equal the one before them, and against probes that cost."""
    server = InstanceServer(lambda words: value_response(b"same"))
    made = gateway(server.start(), limits={"Probes": may_probe}.items())
    for _ in range(3):
        assert made.wait_for_answer(made.ask(request_class=ONE_SHOT)) == b"$4\r\nsame\r\n"
        made.wait_until_ended()
    assert len(server.connections) == 1 and server.connection_commands == [marker] * 2


def test_error_that_may_belong_to_either_command_counts_as_possibly_run(gateway, monkeypatch):
    """Guards against a one-shot request that is sent again because another command's error was taken for
    its own."""
    monkeypatch.setitem(CONNECTION_COMMANDS, b"PING", b"-ERR not now\r\n")
    made = gateway(server := InstanceServer(lambda words: b"-BUSY\r\n").start(), limits=ONE_ATTEMPT)
    connection_after_one_attempt(made)
    ask = made.ask(request_class=ONE_SHOT)
    assert made.wait_for_answer(ask) == b"-ERR aborted\r\n"
    made.wait_until_ended()
    assert [words[1] for words in server.got] == [b"0", b"1"] and not made.unused()


def test_response_is_acknowledged_before_the_next_request(gateway):
    """Guards against a second copy that the instance's system holds back until the next request, because the
    first one is not acknowledged (Nagle's algorithm and delayed acknowledgements)."""
    unacknowledged = 24  # the offset in `struct tcp_info`
    made = gateway(server := InstanceServer().start())
    for _ in range(40):  # the kernel delays no acknowledgements at the start of a connection
        made.wait_for_answer(made.ask())
        made.wait_until_ended()
        info = server.connections[0].getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 28)
        assert info[unacknowledged : unacknowledged + 4] == bytes(4)
    assert len(server.connections) == 1


@pytest.mark.parametrize("rested, wait", [(0, 10), (4, 6), (10, 0), (11, 0)])
def test_connection_waits_for_the_rest_of_its_reuse_delay(gateway, monkeypatch, rested, wait):
    made, slept = gateway(InstanceServer().start()), []
    made.wait_for_answer(made.ask())
    made.wait_until_ended()
    (connection,) = made.unused()
    monkeypatch.setattr(instances, "now", lambda: connection.idle_since + rested * MS)
    monkeypatch.setattr(instances, "time", SimpleNamespace(sleep=slept.append))
    made.wait_for_answer(made.ask())
    assert slept == [wait / 1e3] * (wait > 0)


@pytest.mark.parametrize("rested, same", [(0, False), (9, False), (10, True)])
def test_instance_without_reuse_delay_is_chosen(gateway, monkeypatch, rested, same):
    made, slept = gateway(*(InstanceServer().start() for _ in range(2))), []
    made.wait_for_answer(ask := made.ask())
    made.wait_until_ended()
    (first,) = ask.request.attempts
    (connection,) = made.unused(first.instance.id)
    first.instance.time_per_work, first.instance.group.time_per_work = (
        0.001,
        0.002,
    )  # half of the other's, by less than the reuse delay
    for module in (dispatcher, instances):
        monkeypatch.setattr(module, "now", lambda: connection.idle_since + rested * MS)
    monkeypatch.setattr(instances, "time", SimpleNamespace(sleep=slept.append))
    made.wait_for_answer(ask := made.ask())
    (second,) = ask.request.attempts
    assert (second.instance is first.instance) is same and not slept


def test_next_choice_sees_connections_left_by_last_attempt(gateway, monkeypatch):
    """The faster of two instances has two connections: one is past its reuse delay and is taken, the other
    is not."""
    open_, slept = threading.Event(), []

    def react(words):
        assert open_.wait(60)
        return value_response(words[1])

    made = gateway(*(InstanceServer(react).start() for _ in range(2)))
    quick = made.balancer.instances["i0"]

    def chosen():
        quick.time_per_work, quick.group.time_per_work = (
            0.001,
            0.004,
        )  # a quarter of the other's, by far less than the reuse delay
        return made.ask().request.attempts[0].instance.id

    assert [chosen(), chosen()] == ["i0", "i0"]
    open_.set()
    made.wait_until_ended()
    open_.clear()
    rested, resting = made.unused()
    resting.idle_since = rested.idle_since + 10 * MS
    for module in (dispatcher, instances):
        monkeypatch.setattr(module, "now", lambda: resting.idle_since)
    monkeypatch.setattr(instances, "time", SimpleNamespace(sleep=slept.append))
    assert [chosen(), chosen()] == ["i0", "i1"]
    assert made.unused() == [resting] and not slept
    open_.set()
    made.wait_until_ended()
    assert not slept


class SlowReader(Server):
    """Reads nothing until `reading` is set, then everything. Its receive buffer holds part of a command."""

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
        """Returns whether a whole command arrived, once the connection has ended."""
        self.reading.set()
        assert self.ended.wait(60)
        reader = resp.Reader(commands=True)
        reader.buffer.add(self.data)
        return reader.next() is not resp.MORE


@pytest.fixture
def narrow(monkeypatch):
    """Gives new connections a small send buffer."""
    connect = Connection.connect

    def narrowed(self, until):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connect(self, until)

    monkeypatch.setattr(Connection, "connect", narrowed)


def stuck(made, server):
    """Sends a request that is partly written to a slow instance."""
    ask = made.ask(body=b"x" * 60000)
    until(lambda: server.connections)
    arrived(server.connections[0])
    return ask


@pytest.mark.parametrize("waits", ["for another attempt", "for its connection"])
def test_attempt_forwards_the_wait_left_when_it_begins(gateway, monkeypatch, waits):
    """Seven seconds pass on the gateway's clock before the attempt begins, so 13 of 20 are left."""
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
        InstanceServer(
            lambda words: b"-BUSY\r\n" if turned_away and passes() else value_response(words[1])
        ).start()
        for _ in range(2)
    ]
    made = gateway(*servers)
    assert made.wait_for_answer(made.ask()) == b"$1\r\n0\r\n"
    forwarded_waits = [
        int(words[3].split(b"d=")[1].split(b",")[0]) for server in servers for words in server.got
    ]
    assert len(forwarded_waits) == 1 + turned_away and 8000 < min(forwarded_waits) <= 13_000


@pytest.mark.parametrize("request_class, again", [(0, True), (1, True), (2, False)])
def test_attempt_to_killed_instance_counts_as_possibly_run(gateway, request_class, again):
    """The instance's kernel accepts the connection and the command; then the connection is reset."""
    made = gateway(killed := Server())
    made.run_timer()
    made.request_classes[1].repeat_window = 10000 * MS
    ask = made.ask(request_class=request_class)
    until(lambda: any(in_flight.written for in_flight in made.instances.attempts_in_flight.values()))
    made.report_instance("i1", other := InstanceServer().start())
    killed.close()
    answer = made.wait_for_answer(ask)
    made.wait_until_ended()
    other.close()
    assert ask.request.attempts[0].end == at.RESET and len(other.got) == again
    assert answer == (b"$1\r\n0\r\n" if again else b"-ERR aborted\r\n")


def second(made, ask, id="i1"):
    """Makes the balancer begin another attempt."""
    made.dispatcher.handle(
        lambda time_now: made.balancer.attempt(
            ask.request, made.balancer.instances[id], time_now, made.dispatcher
        )
    )


@pytest.mark.parametrize("by", ["an answer", "the client leaves", "cancelled", "a break", "the deadline"])
def test_attempt_given_up_while_written_is_never_completed(gateway, narrow, monkeypatch, by):
    made = gateway(server := SlowReader().start(), limits={"AttemptsCap": 2}.items())
    if by == "the deadline":
        limit = instances.socket_timeout
        monkeypatch.setattr(instances, "socket_timeout", lambda until: limit(now() + 50 * MS))
    ask = stuck(made, server)
    (attempt,) = ask.request.attempts
    if by == "an answer":
        made.report_instance("i1", other := InstanceServer().start())
        second(made, ask)
        assert made.wait_for_answer(ask) == b"$1\r\n0\r\n"
        other.close()
    elif by == "the client leaves":
        made.dispatcher.handle(made.dispatcher.client_left, [ask.request])
    elif by == "cancelled":
        ask.request.finished = True  # so that no other attempt follows
        made.dispatcher.handle(lambda time_now: made.dispatcher.cancel(attempt))
    elif by == "a break":
        ask.request.finished = True
        (in_flight,) = made.instances.attempts_in_flight.values()
        in_flight.connection.sock.shutdown(socket.SHUT_RDWR)
    else:
        made.wait_until_ended()
    assert not server.whole()
    made.wait_until_ended()
    assert attempt.end == (at.UNCONNECTED if by in ("the deadline", "a break") else at.NOT_SENT)
    assert not made.unused() and made.instances.open_connections == (by == "an answer")


@pytest.mark.parametrize("at_point", ["write_deadline", "forwarded_words"])
def test_attempt_is_not_written_once_request_is_answered(gateway, monkeypatch, at_point):
    made = gateway(server := InstanceServer().start())
    owner = made.dispatcher if at_point == "write_deadline" else instances
    halt = Pause(monkeypatch, owner, at_point, after=True)
    ask = made.ask()
    assert halt.reached.wait(60)
    monkeypatch.undo()
    made.report_instance("i1", other := InstanceServer().start())
    second(made, ask)
    assert made.wait_for_answer(ask) == b"$1\r\n0\r\n"
    halt.opened.set()
    made.wait_until_ended()
    other.close()
    assert (
        not server.got and ask.request.attempts[0].end == at.NOT_SENT and ask.answers == 1 and ask.free == []
    )


@pytest.mark.parametrize("point", ["connect", "write_deadline"])
@pytest.mark.parametrize("since, build", [(0, 1), (5, 1), (0, 2)])
def test_moved_instance_gets_nothing_at_its_old_address(gateway, monkeypatch, point, since, build):
    made = gateway(old := InstanceServer().start())
    halt = Pause(monkeypatch, Connection if point == "connect" else made.dispatcher, point, after=True)
    ask = made.ask()
    assert halt.reached.wait(60)
    monkeypatch.undo()
    new = InstanceServer().start()
    made.balancer.stage_reported(now(), 2, 0, at.RELEASED, 1.0, 0)
    made.report_instance("i0", new, since=since, build=build)
    halt.opened.set()
    assert made.wait_for_answer(ask) == b"$1\r\n0\r\n"
    made.wait_until_ended()
    new.close()
    assert not old.got and len(new.got) == 1 and made.instances.open_connections == 1 == len(made.unused())


def test_repeat_does_not_begin_after_deduplication_window(gateway, monkeypatch):
    made = gateway(
        first := InstanceServer(lambda words: None).start()
    )  # the first attempt may have run there
    made.request_classes[1].repeat_window = 10000 * MS
    halt = Pause(monkeypatch, Connection, "connect", after=True)
    ask = made.ask(request_class=1)
    assert halt.reached.wait(60)
    monkeypatch.undo()
    made.report_instance("i1", other := InstanceServer().start())
    again = Pause(monkeypatch, made.instances, "get_connection", after=True)
    halt.opened.set()
    assert again.reached.wait(60) and [attempt.end for attempt in ask.request.attempts] == [at.RESET, ""]
    monkeypatch.setattr(dispatcher, "now", lambda: ask.request.attempts[0].sent_at + 10000 * MS - 1)
    again.opened.set()
    made.wait_until_ended()
    other.close()
    assert not other.got and len(first.got) == 1 and ask.request.attempts[1].end == at.NOT_SENT
    assert ask.answer.startswith(b"-BUSY") and ask.answers == 1


def test_exception_after_write_counts_as_possibly_run(gateway, monkeypatch):
    made, write = gateway(server := InstanceServer().start()), Connection.write
    made.faulty = True

    def fails(self, data, until):
        write(self, data, until)
        raise ValueError

    monkeypatch.setattr(Connection, "write", fails)
    made.run_timer()
    ask = made.ask(request_class=2)  # a class that may run only once
    assert made.wait_for_answer(ask) == b"-ERR aborted\r\n"
    until(lambda: server.got)
    assert [attempt.end for attempt in ask.request.attempts] == [
        at.RESET
    ] and made.instances.open_connections == 0


@pytest.mark.parametrize("error", [OSError, MemoryError])
def test_connection_that_cannot_be_made_is_not_counted(gateway, monkeypatch, error):
    made = gateway(InstanceServer().start())

    def fails(pool):
        raise error

    monkeypatch.setattr(instances, "Connection", fails)
    made.run_timer()
    ask = made.ask()
    made.wait_for_answer(ask)
    assert made.instances.open_connections == 0 and {attempt.end for attempt in ask.request.attempts} == {
        at.NOT_SENT
    }


@pytest.mark.parametrize("name", ["choose", "cost", "may_attempt", "attempt", "sheds", "overdue_at"])
def test_request_with_failing_decisions_is_answered_and_harms_no_other(gateway, monkeypatch, name):
    made = gateway(InstanceServer().start())
    made.faulty, spoilt, method = True, made.make_command(), getattr(made.balancer, name)

    def fails(*given):
        if spoilt.request in [getattr(one, "request", one) for one in given]:
            raise ZeroDivisionError
        return method(*given)

    monkeypatch.setattr(made.balancer, name, fails)
    others = [made.make_command() for _ in range(2)]

    def arrive(time_now):
        spoilt.request.deadline = time_now + 100 * MS
        for ask in (spoilt, *others):
            made.dispatcher.request_arrived(time_now, ask, ask.request)

    made.run_timer()
    made.dispatcher.handle(arrive)  # all three need a decision at once
    assert [made.wait_for_answer(other) for other in others] == [b"$1\r\n1\r\n", b"$1\r\n2\r\n"]
    made.wait_for_answer(spoilt)
    made.wait_until_ended()
    assert spoilt.answers == 1 and spoilt.answer[:5] == (b"$1\r\n0" if name == "overdue_at" else b"-BUSY")


@pytest.mark.parametrize("name", ["update_pair", "cast_vote", "wake_at"])
def test_permanently_failing_decision_blocks_no_request(gateway, monkeypatch, name):
    made = gateway(InstanceServer().start())
    made.faulty = True
    made.balancer.next_judging, made.balancer.vote_check_due = 0, True

    method = getattr(made.balancer, name)

    def fails(*given):
        method(*given)
        raise ZeroDivisionError

    monkeypatch.setattr(made.balancer, name, fails)
    made.run_timer()
    assert made.wait_for_answer(made.ask()) == b"$1\r\n0\r\n"
    monkeypatch.undo()
    assert made.wait_for_answer(made.ask()) == b"$1\r\n1\r\n"
