"""Races with SIGTERM, the closing of the listener and the end of the process, each forced in its worst order.

For an order of threads within the gateway, the process first runs a few lines of Python from the test
(`program`), which hold one thread at a certain point until another thread has passed its own.
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
from lemonlead.gateway import __main__ as program
from lemonlead.gateway import clients, resp
from lemonlead.gateway.clients import MIN_IDLE_SECONDS_SUSPECT, Client, Server as GatewayServer
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.thread_pool import ThreadPool
from lemonlead.standins import fleet
from lemonlead.standins.fleet import SETTINGS, read_counters, gateway
from lemonlead.standins.instances import InstanceServer, value_response
from lemonlead.standins.server import Server, until

ROOT = pathlib.Path(__file__).parent.parent
GATEWAY = 'import runpy\nrunpy.run_module("lemonlead.gateway", run_name="__main__", alter_sys=True)\n'

# The thread of an ended client begins to log its end once "stopped" has been written, and is still writing
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


def test_process_ends_cleanly_while_a_thread_writes_a_log_line(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=LOGS_TO_THE_END + GATEWAY) as ran:
        assert ran.client().ask().read() == b"aa"
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0


def test_sigterm_before_first_client_ends_process_at_once(tmp_path):
    silent = Server().start()
    silent.serve = (
        lambda sock: sock.recv(1) and sock.recv(1 << 16) and sock.recv(1)
    )  # it reads the call and sends nothing
    with gateway(tmp_path, settings={"Discovery": "push"}, source=silent, serves=False) as ran:
        until(lambda: silent.connections)
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0
        assert "event=serving" not in ran.log() and read_counters(ran.log(), "stopped")["open"] == 0


# The first connection is accepted, but is among the clients only after the stop has checked them twice.
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


def test_connection_accepted_last_is_served_during_stop(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=ADMITS_LATE + GATEWAY) as ran:
        client = ran.client().ask()
        ran.process.send_signal(signal.SIGTERM)
        assert client.read() == b"aa" and client.read() is None
        assert ran.process.wait(60) == 0
        assert read_counters(ran.log(), "stopped")["succeeded"] == 1


# ---- requests on connections that stay open

SHORT_DEADLINES = {"Lanes": [{**request_class, "GiveUp": 1500.0} for request_class in SETTINGS["Lanes"]]}


def refused(port):
    """Returns whether the listener is closed."""
    try:
        socket.create_connection(("127.0.0.1", port), 60).close()
    except ConnectionRefusedError:
        return True
    return False


def stopping(ran):
    """Sends SIGTERM and waits until the listener is closed."""
    ran.process.send_signal(signal.SIGTERM)
    until(lambda: refused(ran.port))


# After a response, the check whether the connection can be closed comes only once the next request has
# arrived.
NEXT_COMES_FIRST = """
import select
from lemonlead.gateway.clients import Client

leave = Client.close_when_idle

def late(client, reason):
    while client.has_had_response and client.reason is None and not client.pending_requests:
        if select.select([client.sock], [], [], 0.001)[0]:
            break
    leave(client, reason)

Client.close_when_idle = late
"""


def test_request_during_close_is_answered_before_sigkill(tmp_path):
    hold = threading.Event()
    answers = {b"first": lambda: hold.wait(60) and value_response(b"first"), b"next": lambda: time.sleep(60)}
    server = InstanceServer(lambda words: answers[words[1]]()).start()
    with gateway(tmp_path, server, settings=SHORT_DEADLINES, program=NEXT_COMES_FIRST + GATEWAY) as ran:
        client = ran.client().ask(b"first")
        until(lambda: server.got)
        stopping(ran)
        hold.set()
        assert client.read() == b"first"
        assert client.ask(b"next", wait=1500).read().startswith(b"BUSY") and client.read() is None
        assert ran.process.wait(60) == 0 and read_counters(ran.log(), "stopped")["open"] == 0


def test_never_idle_client_gets_all_responses_at_stop(tmp_path):
    """The instance answers each request only once the next one has arrived."""
    came, over = [threading.Event() for _ in range(50_000)], threading.Event()

    def react(words):
        number = int(words[1])
        came[number].set()
        while not (came[number + 1].wait(0.1) or over.is_set()):
            pass
        return value_response(words[1])

    answers = []
    with gateway(tmp_path, InstanceServer(react).start(), settings=SHORT_DEADLINES) as ran:
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
        said = read_counters(ran.log(), "stopped")
        assert said["open"] == 0 and said.get("left", 0) == 0
        assert len(answers) == said["taken"] == said["succeeded"] + said["rejected"]


def test_request_behind_invalid_commands_is_read_at_once_at_stop(tmp_path):
    hold = threading.Event()
    server = InstanceServer(lambda words: hold.wait(60) and value_response(words[1])).start()
    with gateway(tmp_path, server, settings=SHORT_DEADLINES) as ran:
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
def test_new_connection_has_time_for_its_first_request_at_stop(asked, before, stays):
    ours, theirs = socket.socketpair()
    gateway_server = SimpleNamespace(clients=set(), condition=threading.Condition())
    client = Client(ours, gateway_server, False)
    client.has_sent_command, client.last_response_at = (
        asked,
        time.monotonic() + (-before if before else 60),
    )  # so that no time limit matters
    gateway_server.clients.add(client)
    assert GatewayServer.close_idle(gateway_server) and (client.reason is None) is stays
    for sock in (ours, theirs):
        sock.close()


@pytest.mark.parametrize(
    "longest, hurries, all_of_it, ends", [(2.5, 3.0, 3.0, 3.2), (20.0, 3.5, 20.5, 20.7), (0.0, 0.5, 0.5, 0.7)]
)
def test_times_of_late_responses_and_process_end(monkeypatch, longest, hurries, all_of_it, ends):
    """Times are seconds after SIGTERM, with a client that does not read its responses and so stays until the
    end. SIGKILL comes 0.7 s plus the longest deadline, counted as at most 3 s, after SIGTERM at the
    earliest."""
    clock, seen = SimpleNamespace(at=0.0), []
    clock.monotonic = lambda: clock.at
    clock.sleep = lambda seconds: setattr(clock, "at", clock.at + seconds)
    monkeypatch.setattr(program, "time", clock)
    monkeypatch.setattr(program.configs, "now", lambda: clock.at * 1e9)
    gateway_server = SimpleNamespace(
        config=SimpleNamespace(
            start=SimpleNamespace(request_classes=[SimpleNamespace(deadline=longest * 1e9)])
        ),
        close=lambda: None,
        close_idle=lambda: True,
        closed=threading.Event(),
        abort_requests_after=lambda since: seen.append((clock.at, since / 1e9)),
    )
    dispatcher = SimpleNamespace(lock=threading.Lock(), pending_requests={}, counters=Counters())
    assert program.stop(gateway_server, dispatcher, SimpleNamespace(info=lambda *_, **__: None), None) == 0
    moments = [at for at, _ in seen]
    assert moments[0] == pytest.approx(hurries, abs=2 * program.POLL_SECONDS)
    assert min(at for at, since in seen if since == 0) == pytest.approx(
        all_of_it, abs=2 * program.POLL_SECONDS
    )
    assert {since for _, since in seen} - {0} == ({program.LINGER_SECONDS} if all_of_it > hurries else set())
    assert clock.at == pytest.approx(ends, abs=2 * program.POLL_SECONDS)
    assert moments[0] + program.LAST_RESPONSES_SECONDS <= 0.7 + min(longest, 3.0) + program.POLL_SECONDS


# ---- SIGHUP

READS_FOREVER = """
import threading
from lemonlead.gateway import config

def read_again():
    print("reads the configuration", flush=True)
    threading.Event().wait()

config.read_again = read_again
"""


def test_sigterm_works_while_config_is_read(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=READS_FOREVER + GATEWAY) as ran:
        ran.process.send_signal(signal.SIGHUP)
        until(lambda: "reads the configuration" in ran.log())
        assert ran.client().ask().read() == b"aa"
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(20) == 0


# ---- consecutive processes with the same address


def test_gateway_waits_while_another_process_has_its_address(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as other:
        where = f"127.0.0.1:{other.getsockname()[1]}"
        with gateway(tmp_path, InstanceServer().start(), listen=where, serves=False) as ran:
            until(lambda: 'event="address taken"' in ran.log())
            other.close()
            until(lambda: "event=serving" in ran.log())
            ran.port = int(where.split(":")[1])
            assert ran.client().ask().read() == b"aa"


def test_sigterm_ends_the_wait_for_the_address(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as other:
        where = f"127.0.0.1:{other.getsockname()[1]}"
        with gateway(tmp_path, InstanceServer().start(), listen=where, serves=False) as ran:
            until(lambda: 'event="address taken"' in ran.log())
            ran.process.send_signal(signal.SIGTERM)
            assert ran.process.wait(60) == 0


@pytest.mark.parametrize("taken, waits", [(True, True), (False, False)])
def test_unusable_address_ends_the_start(monkeypatch, taken, waits):
    clock, slept = SimpleNamespace(at=0.0), []
    clock.monotonic = lambda: clock.at
    clock.sleep = lambda seconds: slept.append(seconds) or setattr(clock, "at", clock.at + seconds)
    monkeypatch.setattr(program, "time", clock)
    with socket.create_server(("127.0.0.1", 0)) as other:
        listen = other.getsockname() if taken else ("192.0.2.1", 9)  # an address that no machine has
        config = SimpleNamespace(connections=8, memory=16000, listen=listen)
        gateway_server = GatewayServer(config, None, None, None, Counters())
        with pytest.raises(OSError):
            program.open_server(gateway_server, SimpleNamespace(info=lambda *_, **__: None))
        gateway_server.listener.close()
    assert (sum(slept) >= program.ADDRESS_WAIT_SECONDS) is waits and bool(slept) is waits


def test_next_process_serves_while_the_earlier_one_ends(tmp_path):
    hold = threading.Event()
    server = InstanceServer(
        lambda words: (words[1] != b"held" or hold.wait(60)) and value_response(words[1])
    ).start()
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


def test_address_is_free_at_once_after_process_is_killed(tmp_path):
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


# ---- no descriptors or threads left for the listener

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


def test_connection_waits_for_a_descriptor_and_is_served(tmp_path):
    with gateway(tmp_path, InstanceServer().start(), program=NO_DESCRIPTORS + GATEWAY) as ran:
        client = ran.client().ask()
        until(lambda: 'event="accept failed"' in ran.log())
        ran.counters()  # frees the descriptors
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
def test_client_is_served_once_a_thread_is_available(monkeypatch, times, served):
    monkeypatch.setattr(clients, "MAX_COMMAND_SECONDS", 0.9 if served else 0.0)
    config = SimpleNamespace(connections=8, memory=16000, listen=("127.0.0.1", 0))
    thread_pool, logged = thread_pool_that_fails(times), []
    gateway_server = GatewayServer(
        config, None, thread_pool, SimpleNamespace(info=lambda event, **what: logged.append(what)), Counters()
    )
    gateway_server.open()
    threading.Thread(target=gateway_server.run, daemon=True).start()
    with socket.create_connection(gateway_server.listener.getsockname()) as theirs:
        theirs.sendall(resp.command([b"PING"]))
        if served:
            assert theirs.recv(99) == b"+PONG\r\n" and not thread_pool.left
            theirs.shutdown(socket.SHUT_WR)
        until(lambda: logged)
    assert logged == [{"reason": "client closed" if served else "no thread"}]
    gateway_server.close()
    assert gateway_server.closed.is_set()


def test_ended_clients_leave_no_threads_or_bytes():
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


# ---- signals before the gateway handles them

NOT_STARTED = """
import os, time
print("starts", flush=True)
while not os.path.exists(os.environ["ROUTER_CONFIG"] + ".go"):
    time.sleep(0.01)
"""


def test_sighup_during_start_is_ignored_and_later_works(tmp_path, monkeypatch):
    """Uses the run line of the deploy file, with a program that has not reached the gateway's code yet."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    line, popen = run.replace(".venv/bin/python -m lemonlead.gateway", '"$0" -c "$1"'), subprocess.Popen

    def by_the_line(words, **more):
        return popen(["sh", "-c", line, words[0], words[2]], **more)

    monkeypatch.setattr(fleet.subprocess, "Popen", by_the_line)
    with gateway(tmp_path, InstanceServer().start(), program=NOT_STARTED + GATEWAY, serves=False) as ran:
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
