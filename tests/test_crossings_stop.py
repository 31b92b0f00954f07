"""What can cross SIGTERM, the closing of the listener and the end of the process: each bad order is forced.

Where the order is one of threads inside the gateway, the process runs a few lines of Python of the test's
before it becomes the gateway (`program`): they hold a thread at a named point until another has passed its
own.
"""

import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import threading
import time
import tomllib
from types import SimpleNamespace

import pytest
from lemonlead.gateway import __main__ as gateways
from lemonlead.gateway import clients, resp
from lemonlead.gateway.clients import MIN_IDLE_SECONDS_SUSPECT, Client, Server as GatewayServer
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.thread_pool import ThreadPool
from lemonlead.standins import fleet
from lemonlead.standins.fleet import SETTINGS, counted, gateway
from lemonlead.standins.instances import InstanceServer, gives
from lemonlead.standins.server import Server, until

ROOT = pathlib.Path(__file__).parent.parent
GATEWAY = 'import runpy\nrunpy.run_module("lemonlead.gateway", run_name="__main__", alter_sys=True)\n'

# The thread of a client that has gone begins to log that once "stopped" has been written, and is still at it
# when the process ends.
LOGS_TO_THE_END = """
import io, os, sys, threading, time
from lemonlead.gateway.clients import Server as GatewayServer

stopped, writing = threading.Event(), threading.Event()
gone = GatewayServer.client_ended

class Out(io.RawIOBase):
    def writable(self):
        return True

    def write(self, data):
        if stopped.is_set():
            writing.set()
            time.sleep(1000)
        os.write(1, data)
        if b"event=stopped" in bytes(data):
            stopped.set()
        return len(data)

def log_late(gateway_server, client):
    with gateway_server.condition:
        gateway_server.clients.discard(client)
    stopped.wait()
    gone(gateway_server, client)

def after(leave):
    return lambda code: writing.wait() and leave(code)

GatewayServer.client_ended, sys.exit, os._exit = log_late, after(sys.exit), after(os._exit)
sys.stdout = io.TextIOWrapper(io.BufferedWriter(Out()))
"""


def test_the_process_ends_well_though_a_thread_writes_a_log_line_at_that_moment(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=LOGS_TO_THE_END + GATEWAY) as ran:
        assert ran.client().ask().read() == b"aa"
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0


def test_sigterm_before_anybody_is_let_in_ends_the_process_at_once(tmp_path):
    silent = Server().start()
    silent.serve = lambda sock: sock.recv(1) and sock.recv(1 << 16) and sock.recv(1)  # asked, it says nothing
    with gateway(tmp_path, settings={"Discovery": "push"}, source=silent, serves=False) as ran:
        until(lambda: silent.connections)
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0
        assert "event=serving" not in ran.log() and counted(ran.log(), "stopped")["open"] == 0


# The first connection is accepted, and not yet among the clients until the stop has looked at them twice.
ADMITS_LATE = """
import threading
from lemonlead.gateway.clients import Server as GatewayServer

looks, accepted = threading.Semaphore(0), threading.Event()
made_room, close_idle, close = GatewayServer.make_room, GatewayServer.close_idle, GatewayServer.close

def late(gateway_server):
    accepted.set()
    looks.acquire() and looks.acquire()
    return made_room(gateway_server)

def look(gateway_server):
    left = close_idle(gateway_server)
    looks.release()
    return left

def closing(gateway_server):
    accepted.wait()
    close(gateway_server)

GatewayServer.make_room, GatewayServer.close_idle, GatewayServer.close = late, look, closing
"""


def test_a_connection_that_was_accepted_last_is_served_though_no_other_client_is_left(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=ADMITS_LATE + GATEWAY) as ran:
        client = ran.client().ask()
        ran.process.send_signal(signal.SIGTERM)
        assert client.read() == b"aa" and client.read() is None
        assert ran.process.wait(60) == 0
        assert counted(ran.log(), "stopped")["succeeded"] == 1


# ---- what comes on connections that stay open

STOPS = {"Lanes": [{**request_class, "GiveUp": 1500.0} for request_class in SETTINGS["Lanes"]]}


def refused(port):
    """Whether the listener is closed."""
    try:
        socket.create_connection(("127.0.0.1", port), 60).close()
    except ConnectionRefusedError:
        return True
    return False


def stopping(ran):
    """SIGTERM; returns once the listener is closed."""
    ran.process.send_signal(signal.SIGTERM)
    until(lambda: refused(ran.port))


# A connection whose answer is out is looked at, whether it can be closed, only once the next request has
# come.
NEXT_COMES_FIRST = """
import select
from lemonlead.gateway.clients import Client

leave = Client.close_when_idle

def late(client, reason):
    while client.answered and client.reason is None and not client.pending_requests:
        if select.select([client.sock], [], [], 0.001)[0]:
            break
    leave(client, reason)

Client.close_when_idle = late
"""


def test_a_request_that_crosses_the_closing_of_its_connection_is_answered_before_sigkill(tmp_path):
    hold = threading.Event()
    answers = {b"first": lambda: hold.wait(60) and gives(b"first"), b"next": lambda: time.sleep(60)}
    server = InstanceServer(lambda words: answers[words[1]]()).start()
    with gateway(tmp_path, server, settings=STOPS, program=NEXT_COMES_FIRST + GATEWAY) as ran:
        client = ran.client().ask(b"first")
        until(lambda: server.got)
        stopping(ran)
        hold.set()
        assert client.read() == b"first"
        assert client.ask(b"next", wait=1500).read().startswith(b"BUSY") and client.read() is None
        assert ran.process.wait(60) == 0 and counted(ran.log(), "stopped")["open"] == 0


def test_a_client_that_always_has_a_second_request_out_gets_an_answer_to_each_that_was_read(tmp_path):
    """The instance answers each request only once the next one has come."""
    came, over = [threading.Event() for _ in range(50_000)], threading.Event()

    def react(words):
        number = int(words[1])
        came[number].set()
        while not (came[number + 1].wait(0.1) or over.is_set()):
            pass
        return gives(words[1])

    answers = []
    with gateway(tmp_path, InstanceServer(react).start(), settings=STOPS) as ran:
        client = ran.client().ask(b"0")

        def go_on():
            with contextlib.suppress(OSError):
                for number in range(1, len(came) - 1):
                    if (answer := client.ask(b"%d" % number, wait=1500).read()) is None:
                        return
                    answers.append(answer)
                while (answer := client.read()) is not None:
                    answers.append(answer)

        thread = threading.Thread(target=go_on, daemon=True)
        thread.start()
        until(lambda: len(answers) > 2)
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0
        thread.join(60)
        over.set()
        said = counted(ran.log(), "stopped")
        assert said["open"] == 0 and said.get("left", 0) == 0
        assert len(answers) == said["taken"] == said["succeeded"] + said["rejected"]


def test_what_comes_behind_nonsense_after_sigterm_is_read_at_once(tmp_path):
    hold = threading.Event()
    server = InstanceServer(lambda words: hold.wait(60) and gives(words[1])).start()
    with gateway(tmp_path, server, settings=STOPS) as ran:
        client = ran.client().ask(b"first")
        until(lambda: server.got)
        stopping(ran)
        client.write(resp.command([b"HELLO"]) * 8).ask(b"last")
        hold.set()
        answers = [client.read() for _ in range(10)]
        assert answers[0] == b"first" and answers[9] == b"last" and client.read() is None
        assert ran.process.wait(60) == 0


@pytest.mark.parametrize(
    "asked, before, stays", [(False, 0.0, True), (False, MIN_IDLE_SECONDS_SUSPECT, False), (True, 0.0, False)]
)
def test_a_new_connection_is_given_a_moment_for_its_first_request(asked, before, stays):
    ours, theirs = socket.socketpair()
    gateway_server = SimpleNamespace(clients=set(), condition=threading.Condition())
    client = Client(ours, gateway_server, False)
    client.has_sent_command, client.since = (
        asked,
        time.monotonic() + (-before if before else 60),
    )  # no time runs out
    gateway_server.clients.add(client)
    assert GatewayServer.close_idle(gateway_server) and (client.reason is None) is stays
    for sock in (ours, theirs):
        sock.close()


@pytest.mark.parametrize(
    "longest, hurries, all_of_it, ends", [(2.5, 3.0, 3.0, 3.2), (20.0, 3.5, 20.5, 20.7), (0.0, 0.5, 0.5, 0.7)]
)
def test_when_what_came_late_is_answered_and_when_the_process_ends(
    monkeypatch, longest, hurries, all_of_it, ends
):
    """Seconds after SIGTERM, with a client that does not read its answers and so is left until the end.
    SIGKILL comes no sooner than at 0.7 and the longest stop, counted as 3 where it is longer."""
    clock, seen = SimpleNamespace(at=0.0), []
    clock.monotonic = lambda: clock.at
    clock.sleep = lambda seconds: setattr(clock, "at", clock.at + seconds)
    monkeypatch.setattr(gateways, "time", clock)
    monkeypatch.setattr(gateways.configs, "now", lambda: clock.at * 1e9)
    gateway_server = SimpleNamespace(
        config=SimpleNamespace(
            start=SimpleNamespace(request_classes=[SimpleNamespace(deadline=longest * 1e9)])
        ),
        close=lambda: None,
        close_idle=lambda: True,
        closed=threading.Event(),
        finish_late_requests=lambda since: seen.append((clock.at, since / 1e9)),
    )
    dispatcher = SimpleNamespace(lock=threading.Lock(), pending_requests={}, counters=Counters())
    assert gateways.stop(gateway_server, dispatcher, SimpleNamespace(info=lambda *_, **__: None), None) == 0
    moments = [at for at, _ in seen]
    assert moments[0] == pytest.approx(hurries, abs=2 * gateways.POLL_SECONDS)
    assert min(at for at, since in seen if since == 0) == pytest.approx(
        all_of_it, abs=2 * gateways.POLL_SECONDS
    )
    assert {since for _, since in seen} - {0} == ({gateways.LINGER_SECONDS} if all_of_it > hurries else set())
    assert clock.at == pytest.approx(ends, abs=2 * gateways.POLL_SECONDS)
    assert moments[0] + gateways.LAST_RESPONSES_SECONDS <= 0.7 + min(longest, 3.0) + gateways.POLL_SECONDS


# ---- SIGHUP

READS_FOR_GOOD = """
import threading
from lemonlead.gateway import config

def read_again():
    print("reads the configuration", flush=True)
    threading.Event().wait()

config.read_again = read_again
"""


def test_sigterm_is_heeded_while_a_configuration_is_read(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=READS_FOR_GOOD + GATEWAY) as ran:
        ran.process.send_signal(signal.SIGHUP)
        until(lambda: "reads the configuration" in ran.log())
        assert ran.client().ask().read() == b"aa"
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(20) == 0


# ---- one process after another under the same address


def test_a_gateway_waits_for_its_address_while_another_process_listens_there(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as other:
        where = f"127.0.0.1:{other.getsockname()[1]}"
        with gateway(tmp_path, InstanceServer().start(), listen=where, serves=False) as ran:
            until(lambda: 'event="address taken"' in ran.log())
            other.close()
            until(lambda: "event=serving" in ran.log())
            ran.port = int(where.split(":")[1])
            assert ran.client().ask().read() == b"aa"


def test_sigterm_ends_a_gateway_that_waits_for_its_address(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as other:
        where = f"127.0.0.1:{other.getsockname()[1]}"
        with gateway(tmp_path, InstanceServer().start(), listen=where, serves=False) as ran:
            until(lambda: 'event="address taken"' in ran.log())
            ran.process.send_signal(signal.SIGTERM)
            assert ran.process.wait(60) == 0


@pytest.mark.parametrize("taken, waits", [(True, True), (False, False)])
def test_an_address_that_is_not_to_be_had_ends_the_start(monkeypatch, taken, waits):
    clock, slept = SimpleNamespace(at=0.0), []
    clock.monotonic = lambda: clock.at
    clock.sleep = lambda seconds: slept.append(seconds) or setattr(clock, "at", clock.at + seconds)
    monkeypatch.setattr(gateways, "time", clock)
    with socket.create_server(("127.0.0.1", 0)) as other:
        listen = other.getsockname() if taken else ("192.0.2.1", 9)  # one that no machine has
        config = SimpleNamespace(connections=8, memory=16000, listen=listen)
        gateway_server = GatewayServer(config, None, None, None, Counters())
        with pytest.raises(OSError):
            gateways.open_server(gateway_server, SimpleNamespace(info=lambda *_, **__: None))
        gateway_server.listener.close()
    assert (sum(slept) >= gateways.ADDRESS_WAIT_SECONDS) is waits and bool(slept) is waits


def test_the_next_process_serves_while_the_one_before_it_ends(tmp_path):
    hold = threading.Event()
    server = InstanceServer(lambda words: (words[1] != b"held" or hold.wait(60)) and gives(words[1])).start()
    folders = [tmp_path / name for name in ("old", "new")]
    for folder in folders:
        folder.mkdir()
    with gateway(folders[0], server) as old:
        held = old.client().ask(b"held")
        until(lambda: server.got)
        old.process.send_signal(signal.SIGTERM)
        with gateway(folders[1], InstanceServer().start(), listen=f"127.0.0.1:{old.port}") as new:
            assert new.client().ask().read() == b"aa"
            assert old.process.poll() is None
            hold.set()
            assert held.read() == b"held" and held.read() is None
            assert old.process.wait(60) == 0


def test_a_killed_process_is_followed_at_once_though_clients_hold_its_connections(tmp_path):
    server = InstanceServer().start()
    with gateway(tmp_path, server) as old:
        client = old.client()
        assert client.ask().read() == b"aa"
        old.process.kill()
        old.process.wait()
        with gateway(tmp_path, InstanceServer().start(), listen=f"127.0.0.1:{old.port}") as new:
            assert new.client().ask().read() == b"aa"
        with contextlib.suppress(ConnectionResetError):
            assert client.read() is None


# ---- the listener out of descriptors or threads

NO_DESCRIPTORS = """
import os, resource, threading
from lemonlead.gateway.clients import Server as GatewayServer
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.thread_pool import ThreadPool

accept, read, held = GatewayServer.accept, Counters.read, []

def without(gateway_server):
    resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))
    try:
        while True:
            held.append(os.open("/dev/null", os.O_RDONLY))
    except OSError:
        accept(gateway_server)

def asked(counters):
    while held:
        os.close(held.pop())
    return read(counters)

GatewayServer.accept, Counters.read = without, asked
"""


def test_a_connection_that_no_descriptor_is_left_for_waits_and_is_served(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=NO_DESCRIPTORS + GATEWAY) as ran:
        client = ran.client().ask()
        until(lambda: 'event="accept failed"' in ran.log())
        ran.counters()  # frees them
        assert client.read() == b"aa"


def thread_pool_that_fails(times):
    thread_pool, left = ThreadPool(), [None] * times

    def submit(*work):
        if left:
            left.pop()
            raise RuntimeError("can't start new thread")
        ThreadPool.submit(thread_pool, *work)

    return SimpleNamespace(submit=submit, left=left)


@pytest.mark.parametrize("times, served", [(3, True), (1000, False)])
def test_a_client_that_no_thread_is_to_be_had_for_is_served_once_one_is(monkeypatch, times, served):
    monkeypatch.setattr(clients, "MAX_COMMAND_SECONDS", 0.9 if served else 0.0)
    config = SimpleNamespace(connections=8, memory=16000, listen=("127.0.0.1", 0))
    thread_pool, told = thread_pool_that_fails(times), []
    gateway_server = GatewayServer(
        config, None, thread_pool, SimpleNamespace(info=lambda event, **what: told.append(what)), Counters()
    )
    gateway_server.open()
    threading.Thread(target=gateway_server.run, daemon=True).start()
    with socket.create_connection(gateway_server.listener.getsockname()) as theirs:
        theirs.sendall(resp.command([b"PING"]))
        if served:
            assert theirs.recv(99) == b"+PONG\r\n" and not thread_pool.left
            theirs.shutdown(socket.SHUT_WR)
        until(lambda: told)
    assert told == [{"reason": "client closed" if served else "no thread"}]
    gateway_server.close()
    assert gateway_server.closed.is_set()


def test_nothing_is_left_of_clients_that_came_and_went():
    config = SimpleNamespace(connections=64, memory=16000, listen=("127.0.0.1", 0))
    dispatcher, counters = SimpleNamespace(handle=None), Counters()
    gateway_server = GatewayServer(
        config, dispatcher, ThreadPool(), SimpleNamespace(info=lambda *_, **__: None), counters
    )
    gateway_server.open()
    before = threading.active_count()
    threading.Thread(target=gateway_server.run, daemon=True).start()

    def come_and_go(count):
        for _ in range(count):
            with socket.create_connection(gateway_server.listener.getsockname()) as theirs:
                theirs.sendall(resp.command([b"PING"]))
                assert theirs.recv(99) == b"+PONG\r\n"
        until(lambda: not gateway_server.clients)
        return counters.read()

    few, many = come_and_go(5), come_and_go(200)
    assert set(few) == set(many) and many["clients ended: client closed"] == 205
    gateway_server.close()
    until(lambda: threading.active_count() <= before)
    assert gateway_server.closed.is_set() and gateway_server.large_command_bytes == 0


# ---- signals before the gateway waits for them

NOT_YET = """
import os, time
print("starts", flush=True)
while not os.path.exists(os.environ["ROUTER_CONFIG"] + ".go"):
    time.sleep(0.01)
"""


def test_a_gateway_that_is_only_just_starting_outlives_sighup_and_then_heeds_it(tmp_path, monkeypatch):
    """By the line of the deploy file, with a program that has not yet come to the gateway."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    line, popen = run.replace(".venv/bin/python -m lemonlead.gateway", '"$0" -c "$1"'), subprocess.Popen

    def by_the_line(words, **more):
        return popen(["sh", "-c", line, words[0], words[2]], **more)

    monkeypatch.setattr(fleet.subprocess, "Popen", by_the_line)
    with gateway(tmp_path, InstanceServer().start(), program=NOT_YET + GATEWAY, serves=False) as ran:
        until(lambda: "starts" in ran.log())
        for early in (signal.SIGHUP, signal.SIGUSR1):
            ran.process.send_signal(early)
        (tmp_path / "config.json.go").touch()
        until(lambda: "event=serving" in ran.log() or ran.process.poll() is not None)
        ran.reload(json.dumps(ran.config))
        until(lambda: 'event="configuration read"' in ran.log() or ran.process.poll() is not None)
        assert ran.process.poll() is None and "taken" not in ran.counters()
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0
