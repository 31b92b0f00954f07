"""The stand-in network and the stand-in nodes: each fault does what it says, and no more."""

import contextlib
import socket
import threading

import pytest

from lemonlead.gateway import resp
from lemonlead.standins import fake_ledger
from lemonlead.standins.nodes import DOWN, Agent, Job, MemberClient, Node, GroupMonitor
from lemonlead.standins.server import Server
from lemonlead.standins.wires import Wires, split_address, free_address


class Echo(Server):
    def serve(self, sock):
        while data := sock.recv(65536):
            sock.sendall(data)


class Held:
    """Reads in a thread of its own, so that a test can say that nothing has come yet."""

    def __init__(self, address):
        self.sock = socket.create_connection(split_address(address), 10)
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
        socket.create_connection(split_address(address), 10)
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
    address = wires.wire("a", "b", free_address())
    with contextlib.suppress(ConnectionResetError):  # it may come before the connection is known to be up
        held = Held(address)
        held.until(lambda held: held.ended in ("ConnectionResetError", "closed"))
    wires.until(lambda: not wires.connections)
    assert wires.passed("a", "b")["calls"] == 1
    wires.close()


def test_a_front_tells_callers_apart_by_their_address_and_by_what_they_say():
    server, wires = Echo().start(), Wires()
    shared_wire = wires.shared_wire(
        "b", server.address, lambda data: data[:2].decode() if len(data) > 1 else None
    )
    wires.set_party_host("a1", "127.7.7.1")
    Held(shared_wire).say(b"a").say(b"2x").answered(b"a2x")
    with socket.create_connection(split_address(shared_wire), 10, source_address=("127.7.7.1", 0)) as sock:
        sock.sendall(b"?")
        assert sock.recv(10) == b"?"
    assert wires.passed("a2", "b")["bytes"] == 3 and wires.passed("a1", "b")["bytes"] == 1
    wires.refuse("a2", "b")
    held = Held(shared_wire).say(b"a2")
    held.until(lambda held: held.ended == "ConnectionResetError")
    assert wires.passed("a2", "b")["refused"] == 1
    wires.close()
    server.close()


# ---- nodes


PERMIT = {"drain": "d", "term": 2, "index": 7, "phase": "clear"}


def send(address, key=b"aa"):
    with socket.create_connection(split_address(address), 10) as sock:
        sock.sendall(resp.command([b"Q.ASK", key, b"id", b"c=look,d=900,t=acme"]))
        reader = resp.Reader()
        while (value := reader.next()) is resp.MORE:
            reader.buffer.add(sock.recv(1000))
        return value


@pytest.fixture
def node():
    node = Node("n1")
    yield node
    node.close()


def test_a_node_counts_sends_by_gateway(node):
    one, two = node.listen("g0"), node.listen("g1")
    assert [send(one), send(two), send(one)] == [[b"aa", None, None]] * 3
    assert node.by_gateway == {"g0": 2, "g1": 1} and not node.counts["after clear"]


@pytest.mark.parametrize(
    "permit, at, acts, old",
    [
        (PERMIT, 9, True, 0),
        ({**PERMIT, "phase": "given"}, 9, False, 0),
        ({**PERMIT, "phase": "recalled"}, 9, False, 0),
        ({**PERMIT, "term": 1, "index": 9}, 9, False, 1),
        ({**PERMIT, "index": 6}, 9, False, 1),
        (PERMIT, 7, False, 1),
        (None, 9, False, 0),
    ],
)
def test_a_node_acts_on_a_clear_permit_alone_and_refuses_older_ones(node, permit, at, acts, old):
    node.receive_permit({**PERMIT, "phase": "given"}, 8)
    assert (node.receive_permit(permit, at), node.counts["old permits"]) == (acts, old)


def test_a_node_that_goes_down_refuses_and_comes_back_at_its_address(node):
    address, reports = node.listen("g0"), []
    node.may_return.clear()
    assert node.receive_permit(PERMIT, 9)
    send(address)
    assert node.counts["after clear"] == 1  # seen, as it had been told that none would come
    thread = threading.Thread(target=node.go_down, args=(reports.append,), daemon=True)
    thread.start()
    node.until(lambda node: node.state == DOWN)
    with pytest.raises(OSError):
        send(address)
    node.may_return.set()
    thread.join(20)
    assert reports == ["drained", "catching_up", "serving"] and send(address)
    assert [state for _, state in node.states] == [
        "serving",
        "clearing",
        "drained",
        "down",
        "catching_up",
        "serving",
    ]


def test_a_node_waits_for_the_job_it_holds_and_a_killed_one_breaks_it(node):
    other = Node("n2")
    job = Job("j", [node, other])
    assert node.receive_permit(PERMIT, 9)
    thread = threading.Thread(target=node.go_down, args=(lambda state: None,), daemon=True)
    thread.start()
    other.kill()
    assert job.broken == "n2" and node.state == "clearing"
    job.end()
    thread.join(20)
    assert node.counts["downs"] == 1 and node.state == "serving"


def test_replicas_count_how_often_they_fell_below_their_quorum():
    nodes = [Node(f"n{number}") for number in range(3)]
    replicas = GroupMonitor("r", nodes, 2)
    nodes[0].kill()
    assert (replicas.min_serving, replicas.broken) == (2, 0)
    nodes[1].kill()
    nodes[2].kill()
    assert (replicas.min_serving, replicas.broken) == (0, 1)
    for one in nodes:
        one.revive()
    nodes[0].kill()
    nodes[1].up()  # not caught up
    assert replicas.broken == 2


def test_an_agent_takes_its_node_through_a_drain_and_tells_the_ledger(node):
    ledger = fake_ledger.Ledger()
    member = fake_ledger.MemberServer(ledger).start()
    dead = free_address()
    agent = Agent(node, MemberClient(dead, member.address)).start()
    ledger.put("permits", "n1", {**PERMIT, "phase": "given"})
    ledger.put("permits", "n1", PERMIT)
    with ledger.changed:
        assert ledger.changed.wait_for(lambda: len(ledger.reports) == 3, 30)
    assert [state for _, state in ledger.reports] == ["drained", "catching_up", "serving"]
    assert node.counts["downs"] == 1 and not agent.refused
    ledger.put("permits", "n1", None)
    agent.stop()
    member.close()
