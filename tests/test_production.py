"""Cases from production that the standing test does not cover, each in its worst order of events."""

import signal
import threading
import time

import pytest
from lemonlead.gateway import instances, resp
from lemonlead.standins import fleet
from lemonlead.standins.discovery import entry
from lemonlead.standins.instances import InstanceServer
from lemonlead.standins.server import until
from test_crossings_clients import gateway

WHOLE_COMMAND = resp.command([b"Q.ASK", b"aa", b"0123456789abcdef", b"c=look,t=acme,d=2000"])
ERROR_DEADLINE_SECONDS = (
    3.0  # seconds within which an incomplete command gets an error, or its connection is closed
)
DELAY_SECONDS = 0.15  # seconds for which a gateway may be delayed between reading the clock and a write
DRAIN_GRACE_SECONDS = 0.25  # seconds after a drain is announced in which an attempt may still begin


def silent():
    """Returns an instance that accepts requests and never answers, and the event that releases it."""
    never = threading.Event()
    return InstanceServer(lambda words: never.wait(60) and None).start(), never


@pytest.mark.parametrize("cut", [1, 12, len(WHOLE_COMMAND) - 1])
@pytest.mark.parametrize("before", [0, 1])
def test_client_that_stops_within_a_command_is_ended_in_time(tmp_path, cut, before):
    server = InstanceServer().start()
    with fleet.gateway(tmp_path, server) as ran:
        client = ran.client()
        for _ in range(before):
            assert client.ask().read() == b"aa"
        client.write(WHOLE_COMMAND[:cut])
        began = time.monotonic()
        client.sock.settimeout(ERROR_DEADLINE_SECONDS)
        answer = client.read()
        assert time.monotonic() - began < ERROR_DEADLINE_SECONDS
        assert answer is None or answer.startswith(b"ERR")
        assert len(server.got) == before


@pytest.mark.parametrize("wait", [1, 3, 10])
@pytest.mark.parametrize("drops", [False, True])
def test_request_with_little_time_left_gets_one_final_response(tmp_path, wait, drops):
    """Its instance answers too late, or drops the request without a response."""
    server, never = silent()
    server.react = (lambda words: b"") if drops else server.react
    with fleet.gateway(tmp_path, server) as ran:
        clients = [ran.client().ask(wait=wait) for _ in range(10)]
        for client in clients:
            client.sock.settimeout(2)
            assert client.read().startswith(b"BUSY")
        counts = ran.counters()
        never.set()
        assert counts["taken"] == counts["rejected"] == 10 and counts["open"] == 0
        assert all(int(words[3].split(b"d=")[1]) <= wait for words in server.got)


def test_hanging_instances_leave_no_request_unanswered_at_shutdown(tmp_path):
    server, never = silent()
    with fleet.gateway(tmp_path, server) as ran:
        clients = [ran.client().ask(wait=1500) for _ in range(5)]
        until(lambda: len(server.got) >= 5)
        asked = time.monotonic()
        ran.process.send_signal(signal.SIGTERM)
        clients += [client.ask(wait=1500) for client in (ran.client() for _ in range(3))]
        for client in clients:
            client.sock.settimeout(5)
            assert client.read().startswith(b"BUSY")
        assert ran.process.wait(20) == 0 and time.monotonic() - asked < 5
        never.set()


def test_delay_before_write_keeps_drain_grace_and_forwarded_wait(tmp_path, monkeypatch):
    """The delay comes after the last check of the list and the clock; the drain arrives just then."""
    write, began, drained_at = instances.Connection.write, [], []
    servers = [InstanceServer().start() for _ in range(2)]

    def held_up(self, data, until_moment):
        if not drained_at:
            ran.change_list(entry("i0", servers[0], "draining"), entry("i1", servers[1], "draining"))
            drained_at.append(time.monotonic())
            while time.monotonic() < drained_at[0] + DELAY_SECONDS:
                time.sleep(0.005)
        began.append(time.monotonic())
        write(self, data, until_moment)

    with gateway(tmp_path, *servers) as ran:
        monkeypatch.setattr(instances.Connection, "write", held_up)
        client, asked = ran.client(), time.monotonic()
        client.ask(wait=1000)
        client.sock.settimeout(3)
        client.read()
        for words in servers[0].got + servers[1].got:
            left = asked + 1 - drained_at[0] - DELAY_SECONDS
            assert int(words[3].split(b"d=")[1]) <= (left + DELAY_SECONDS) * 1e3 + 20
        assert (
            began
            and began[-1] - drained_at[0] < DRAIN_GRACE_SECONDS
            and len(servers[0].got + servers[1].got) == 1
        )
