"""Events of a client's connection that can cross, each forced in its bad order: `docs/crossings.md`."""

import contextlib
import json
import threading
import time
from types import SimpleNamespace

import pytest
from lemonlead.gateway import place as places
from lemonlead.gateway import resp
from lemonlead.gateway.clients import Gate
from lemonlead.gateway.counters import Counters
from lemonlead.gateway.crew import Crew
from lemonlead.gateway.desk import Desk
from lemonlead.gateway.discovery import Discovery
from lemonlead.gateway.instances import Instances
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
def gateway(tmp_path, *servers, limits=None, **settings):
    """A gateway in this process among these instances, all on loopback: `gate`, `desk`, `log`, `count(name)`,
    and `client()`, which connects one and waits until ours stands; `ours(client)` is that."""
    config = {
        "name": "g0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "limits": limits or {"memory_mb": 192, "sockets": 1024},
        "release_api": {"news": {"release": 1, "tranche": 0, "mode": "released", "exposure": 1, "old_ms": 9}},
        "known": {"version": 1, "servers": [entry(f"i{n}", server) for n, server in enumerate(servers)]},
        "settings": {**SETTINGS, **settings},
    }
    (tmp_path / "config.json").write_text(json.dumps(config))
    place = places.read({"ROUTER_CONFIG": str(tmp_path / "config.json")})
    log, counters, crew = Lines(), Counters(), Crew()
    desk = Desk(place.start, log, counters)
    desk.instances = Instances(place, desk, crew, log, counters)
    desk.discovery = discovery = Discovery(place, desk, log, counters)
    gate = Gate(place, desk, crew, log, counters)
    with desk.lock:
        discovery.listed(places.now(), *discovery.read(place.known), True, False)
        desk.balancer.stage_told(places.now(), *place.news)
    threading.Thread(target=desk.keep_time, daemon=True).start()
    gate.open()
    thread = threading.Thread(target=gate.run, daemon=True)
    thread.start()
    port, made = gate.listener.getsockname()[1], []

    def client():
        made.append(Client(port))
        until(lambda: ours(made[-1]))
        return made[-1]

    def ours(client):
        theirs = client.sock.getsockname()
        with gate.room, contextlib.suppress(OSError):
            return next((one for one in gate.clients if one.sock.getpeername() == theirs), None)

    def count(name):
        return counters.read().get(name, 0)

    try:
        yield SimpleNamespace(
            gate=gate, desk=desk, log=log, count=count, client=client, ours=ours, port=port, thread=thread
        )
        assert not [line for line in log.lines if line[0] == "fault"] and thread.is_alive()
    finally:
        for one in made:
            one.sock.close()
        gate.closing = True
        thread.join(10)
        gate.listener.close()
        for server in servers:
            server.close()


class Held(InstanceServer):
    """An instance that answers each lookup with its key once `go` is set."""

    def __init__(self):
        self.go = threading.Event()
        super().__init__(lambda words: self.go.wait(60) and gives(words[1]))

    def close(self):
        self.go.set()
        super().close()


# ---- the listener's look at a client, and what its thread reads meanwhile


class Ending:
    """A moment that its owner sets to None between two looks at it."""

    def __init__(self, first):
        self.values = [first]

    def __get__(self, client, kind):
        return self.values.pop() if self.values else None

    def __set__(self, client, value):
        pass


def test_half_a_command_that_becomes_whole_during_a_look_at_it_is_no_error(
    tmp_path, monkeypatch
):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        ours = ran.ours(client)
        monkeypatch.setattr(type(ours), "part_since", Ending(time.monotonic()), raising=False)
        assert ours.idle() is False
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
            until(lambda: len(ran.ours(client).asks) == 2)
            client.sock.close()  # it is not answered, but dropped with its connection
        else:
            assert client.read() == b"PONG"
            client.sock.close()
        until(lambda: not ran.gate.clients)
        assert ran.gate.held == 0
