"""The sentences of the standing test that were sharpened, each held against the code: `docs/standing.md`.

Times are nanoseconds on made clocks, or seconds where a program runs; nothing waits for a guessed time.
"""

import contextlib
import json
import signal
import socket
import threading
from types import SimpleNamespace

import pytest
from helpers import lookup
from lemonlead.gateway import resp
from lemonlead.gateway.clients import Client
from lemonlead.gateway.crew import Crew
from lemonlead.gateway.http import Objects
from lemonlead.standins import clients
from lemonlead.standins.discovery import entry
from lemonlead.standins.fleet import gateway
from lemonlead.standins.instances import InstanceServer, gives
from lemonlead.standins.server import until

# ---- what is told, and when

LIST = {"version": 3, "full": True, "servers": [{"id": 'a"}{\\', "addr": "h:1", "cells": [[], {}]}, {}]}


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
def test_lists_are_read_however_they_are_indented(indent):
    objects, text = Objects(), json.dumps(LIST, indent=indent).encode()
    lines = [b"", *text.split(b"\n"), b"", b"  ", *text.split(b"\n")]
    told = [json.loads(whole) for whole in map(objects.add, lines) if whole]
    assert told == [LIST, LIST] and not objects.lines


def test_a_gateway_goes_by_a_list_that_comes_indented(tmp_path):
    old = InstanceServer().start()
    new = InstanceServer(lambda words: gives(b"new")).start()
    with gateway(tmp_path, old, new, entries=[entry("i0", old)]) as ran:
        ran.discovery.indent = 2
        ran.discovery.tell(entry("i1", new), full=True, version=5)
        client = ran.client()
        until(lambda: client.ask().read() == b"new")
        assert "reason=malformed" not in ran.log()


# ---- after SIGTERM


@pytest.fixture
def ended():
    """A client's connection that was asked to end just before what is on it was read: ours, theirs."""
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as theirs:
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        theirs.connect(listener.getsockname())
        ours, _ = listener.accept()
        gate = SimpleNamespace(stopping=True, crew=Crew(), lookup=lambda *_: lookup(), gone=lambda _: None)
        gate.weigh, gate.desk = lambda _: True, SimpleNamespace(lookup_arrived=None, TWICE=b"-")
        client = Client(ours, gate, False)

        def answer(happened, ask, lookup):
            ask.answer = resp.bulk(ask.words[1] * 400_000)
            client.flush()

        gate.desk.tell = answer
        yield client, theirs


COMMAND = resp.command([b"Q.ASK", b"key", b"id", b"c=look,d=900"])


def all_of(theirs):
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while more := theirs.recv(65536):
            data += more
    return data


@pytest.mark.parametrize("cut", [len(COMMAND), 9])
def test_what_was_read_when_its_connection_was_to_end_gets_its_whole_answer(ended, cut):
    client, theirs = ended
    theirs.sendall(COMMAND[:cut])
    until(lambda: len(client.sock.recv(99, socket.MSG_PEEK)) == cut)
    client.leave("stopping")
    thread = threading.Thread(target=client.run, daemon=True)
    thread.start()
    if COMMAND[cut:]:  # the other half comes once the first is read
        until(lambda: not client.reader.empty())
        theirs.sendall(COMMAND[cut:])
    until(lambda: client.writing or not thread.is_alive())
    assert all_of(theirs) == resp.bulk(b"key" * 400_000)
    thread.join(60)
    assert client.reason == "stopping"


def test_each_lookup_that_clients_go_on_sending_after_sigterm_is_answered_or_was_never_read(tmp_path):
    server = InstanceServer().start()
    asked, answered = set(), set()

    def go_on(number):
        with contextlib.suppress(OSError):  # until none is let in any more
            while True:
                client = clients.Client(ran.port)
                with contextlib.suppress(OSError), client.sock:
                    while True:
                        asked.add(key := b"%d.%d" % (number, len(asked)))
                        if client.ask(key).read() != key:
                            break
                        answered.add(key)

    with gateway(tmp_path, server) as ran:
        until(lambda: ran.platform.asked == 1)  # that it has started in full
        threads = [threading.Thread(target=go_on, args=(number,), daemon=True) for number in range(6)]
        for thread in threads:
            thread.start()
        until(lambda: {key.split(b".")[0] for key in answered} == {b"%d" % n for n in range(6)})
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0
        for thread in threads:
            thread.join(60)
        assert {words[1] for words in server.got} == answered  # what was read is answered
        assert len(asked) >= len(answered) + 6  # what each asked last met a closing, or nobody
