"""The stand-in network and the stand-in nodes: each fault does what it says, and no more."""

import socket
import threading

import pytest

from lemonlead.standins.server import Server
from lemonlead.standins.wires import Wires, parts, spare


class Echo(Server):
    def serve(self, sock):
        while data := sock.recv(65536):
            sock.sendall(data)


class Held:
    """Reads in a thread of its own, so that a test can say that nothing has come yet."""

    def __init__(self, address):
        self.sock = socket.create_connection(parts(address), 10)
        self.got, self.ended, self.changed = b"", None, threading.Condition()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        try:
            while data := self.sock.recv(65536):
                self.add(data, None)
            self.add(b"", "closed")
        except OSError as error:
            self.add(b"", type(error).__name__)

    def add(self, data, ended):
        with self.changed:
            self.got, self.ended = self.got + data, ended
            self.changed.notify_all()

    def say(self, data):
        self.sock.sendall(data)
        return self

    def until(self, condition):
        with self.changed:
            assert self.changed.wait_for(lambda: condition(self), 20), (self.got, self.ended)

    def answered(self, data):
        self.until(lambda held: held.got == data)


@pytest.fixture
def net():
    server, wires = Echo().start(), Wires()
    net = wires, wires.wire("a", "b", server.address)
    yield net
    wires.close()
    server.close()


def test_bytes_pass_both_ways_and_are_counted(net):
    wires, address = net
    Held(address).say(b"hello").answered(b"hello")
    assert wires.passed("a", "b")["bytes"] == wires.passed("b", "a")["bytes"] == 5
    assert wires.passed("a", "b")["calls"] == 1


@pytest.mark.parametrize("one, other", [("a", "b"), ("b", "a"), ("a", "*")])
def test_a_cut_holds_one_direction_until_healed(net, one, other):
    wires, address = net
    held = Held(address).say(b"1")
    held.answered(b"1")
    wires.cut(one, other, back=False)
    held.say(b"2")
    stopped = (one, "b" if other == "*" else other)
    wires.until(lambda: wires.passed(*stopped)["held"])
    assert wires.passed("b", "a")["bytes"] == 1 and held.ended is None
    assert wires.passed("a", "b")["bytes"] == (2 if one == "b" else 1)
    wires.heal()
    held.answered(b"12")


def test_a_new_connection_through_a_cut_comes_up_silent(net):
    wires, address = net
    wires.cut("b", "a", back=False)
    held = Held(address).say(b"1")
    wires.until(lambda: wires.passed("b", "a")["held"])
    assert held.ended is None and not wires.passed("a", "b")["bytes"]
    wires.heal("a", "b")
    held.answered(b"1")


def test_refused_connections_do_not_come_up_and_standing_ones_go_on(net):
    wires, address = net
    held = Held(address).say(b"1")
    held.answered(b"1")
    wires.refuse("a", "b")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(parts(address), 10)
    held.say(b"2").answered(b"12")
    wires.heal()
    Held(address).say(b"3").answered(b"3")


def test_a_reset_ends_what_stands_and_nothing_after(net):
    wires, address = net
    held = Held(address).say(b"1")
    held.answered(b"1")
    wires.reset("a", "b")
    held.until(lambda held: held.ended == "ConnectionResetError")
    Held(address).say(b"2").answered(b"2")


def test_a_connection_is_cut_short_after_so_many_bytes_once(net):
    wires, address = net
    wires.short("b", "a", after=3)
    held = Held(address).say(b"12345")
    held.until(lambda held: held.ended == "ConnectionResetError")
    assert wires.passed("b", "a")["bytes"] == 3
    Held(address).say(b"12345").answered(b"12345")


def test_garbling_flips_one_bit_in_the_bytes_told_of(net):
    wires, address = net
    wires.garble("a", "b", within=100)
    held = Held(address).say(bytes(300))
    held.until(lambda held: len(held.got) == 300)
    assert [byte.bit_count() for byte in held.got if byte] == [1] and any(held.got[:100])


def test_a_piece_may_pass_twice(net):
    wires, address = net
    wires.repeat("a", "b")
    held = Held(address).say(b"1")
    held.answered(b"11")
    held.say(b"2").answered(b"112")
    assert wires.passed("a", "b")["repeated"] == 1


@pytest.mark.parametrize("slow", [dict(delay=0.1), dict(rate=2000.0)])
def test_delay_and_rate_slow_one_direction_and_lose_nothing(net, slow):
    wires, address = net
    wires.order("a", "b", back=False, **slow)
    held = Held(address)
    began = wires.loop.time()
    for _ in range(2):
        held.say(bytes(200))
        held.until(lambda held: len(held.got) % 200 == 0 and held.got)
    held.until(lambda held: len(held.got) == 400)
    assert wires.loop.time() - began >= 0.1


def test_groups_are_cut_from_groups_and_heal():
    servers, wires = {name: Echo().start() for name in ("a1", "a2", "b1")}, Wires()
    to = {pair: wires.wire(*pair, servers[pair[1]].address) for pair in (("a1", "a2"), ("a1", "b1"))}
    wires.group("a", "a1", "a2")
    wires.group("b", "b1")
    wires.cut("a", "b")
    Held(to["a1", "a2"]).say(b"1").answered(b"1")
    far = Held(to["a1", "b1"]).say(b"2")
    wires.until(lambda: wires.passed("a1", "b1")["held"])
    wires.heal("b", "a")
    far.answered(b"2")
    wires.close()
    for server in servers.values():
        server.close()


def test_a_target_that_does_not_listen_is_a_reset():
    wires = Wires()
    held = Held(wires.wire("a", "b", spare()))
    held.until(lambda held: held.ended in ("ConnectionResetError", "closed"))
    wires.close()


def test_a_front_tells_callers_apart_by_their_address_and_by_what_they_say():
    server, wires = Echo().start(), Wires()
    front = wires.front("b", server.address, lambda data: data[:2].decode() if len(data) > 1 else None)
    wires.lives("a1", "127.7.7.1")
    Held(front).say(b"a").say(b"2x").answered(b"a2x")
    with socket.create_connection(parts(front), 10, source_address=("127.7.7.1", 0)) as sock:
        sock.sendall(b"?")
        assert sock.recv(10) == b"?"
    assert wires.passed("a2", "b")["bytes"] == 3 and wires.passed("a1", "b")["bytes"] == 1
    wires.refuse("a2", "b")
    held = Held(front).say(b"a2")
    held.until(lambda held: held.ended == "ConnectionResetError")
    assert wires.passed("a2", "b")["refused"] == 1
    wires.close()
    server.close()
