"""Tests of the stand-in network and the stand-in nodes: each fault has its effect and no other."""

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


class ReadingClient:
    """A connection read on a thread of its own, so that a test can check that nothing has arrived."""

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

    def send(self, data):
        self.sock.sendall(data)
        return self

    def until(self, condition):
        with self.changed:
            assert self.changed.wait_for(lambda: condition(self), 20), (self.got, self.ended)

    def wait_received(self, data):
        self.until(lambda client: client.got == data)


@pytest.fixture
def net():
    server, wires = Echo().start(), Wires()
    net = wires, wires.wire("a", "b", server.address)
    yield net
    wires.close()
    server.close()


def test_bytes_pass_both_ways_and_are_counted(net):
    wires, address = net
    ReadingClient(address).send(b"hello").wait_received(b"hello")
    assert wires.link_counts("a", "b")["bytes"] == wires.link_counts("b", "a")["bytes"] == 5
    assert wires.link_counts("a", "b")["calls"] == 1


@pytest.mark.parametrize("one, other", [("a", "b"), ("b", "a"), ("a", "*")])
def test_cut_stops_one_direction_until_healed(net, one, other):
    wires, address = net
    client = ReadingClient(address).send(b"1")
    client.wait_received(b"1")
    wires.cut(one, other, back=False)
    client.send(b"2")
    stopped = (one, "b" if other == "*" else other)
    wires.until(lambda: wires.link_counts(*stopped)["held"])
    assert wires.link_counts("b", "a")["bytes"] == 1 and client.ended is None
    assert wires.link_counts("a", "b")["bytes"] == (2 if one == "b" else 1)
    wires.heal()
    client.wait_received(b"12")


def test_new_connection_through_a_cut_is_accepted_and_silent(net):
    wires, address = net
    wires.cut("b", "a", back=False)
    client = ReadingClient(address).send(b"1")
    wires.until(lambda: wires.link_counts("b", "a")["held"])
    assert client.ended is None and not wires.link_counts("a", "b")["bytes"]
    wires.heal("a", "b")
    client.wait_received(b"1")


def test_new_connections_are_refused_and_open_ones_go_on(net):
    wires, address = net
    client = ReadingClient(address).send(b"1")
    client.wait_received(b"1")
    wires.refuse("a", "b")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(split_address(address), 10)
    client.send(b"2").wait_received(b"12")
    wires.heal()
    ReadingClient(address).send(b"3").wait_received(b"3")


def test_reset_ends_only_open_connections(net):
    wires, address = net
    client = ReadingClient(address).send(b"1")
    client.wait_received(b"1")
    wires.reset("a", "b")
    client.until(lambda client: client.ended == "ConnectionResetError")
    ReadingClient(address).send(b"2").wait_received(b"2")


def test_short_resets_one_connection_after_a_number_of_bytes(net):
    wires, address = net
    wires.short("b", "a", after=3)
    client = ReadingClient(address).send(b"12345")
    client.until(lambda client: client.ended == "ConnectionResetError")
    assert wires.link_counts("b", "a")["bytes"] == 3
    ReadingClient(address).send(b"12345").wait_received(b"12345")


def test_garble_flips_one_bit_within_the_given_bytes(net):
    wires, address = net
    wires.garble("a", "b", within=100)
    client = ReadingClient(address).send(bytes(300))
    client.until(lambda client: len(client.got) == 300)
    assert [byte.bit_count() for byte in client.got if byte] == [1] and any(client.got[:100])


def test_repeat_passes_one_chunk_twice(net):
    wires, address = net
    wires.repeat("a", "b")
    client = ReadingClient(address).send(b"1")
    client.wait_received(b"11")
    client.send(b"2").wait_received(b"112")
    assert wires.link_counts("a", "b")["repeated"] == 1


@pytest.mark.parametrize("slow", [dict(delay=0.1), dict(rate=2000.0)])
def test_delay_and_rate_slow_one_direction_without_loss(net, slow):
    wires, address = net
    wires.set_faults("a", "b", back=False, **slow)
    client = ReadingClient(address)
    began = wires.loop.time()
    for _ in range(2):
        client.send(bytes(200))
        client.until(lambda client: len(client.got) % 200 == 0 and client.got)
    client.until(lambda client: len(client.got) == 400)
    assert wires.loop.time() - began >= 0.1


def test_groups_are_cut_from_each_other_and_healed():
    servers, wires = {name: Echo().start() for name in ("a1", "a2", "b1")}, Wires()
    to = {pair: wires.wire(*pair, servers[pair[1]].address) for pair in (("a1", "a2"), ("a1", "b1"))}
    wires.group("a", "a1", "a2")
    wires.group("b", "b1")
    wires.cut("a", "b")
    ReadingClient(to["a1", "a2"]).send(b"1").wait_received(b"1")
    far = ReadingClient(to["a1", "b1"]).send(b"2")
    wires.until(lambda: wires.link_counts("a1", "b1")["held"])
    wires.heal("b", "a")
    far.wait_received(b"2")
    wires.close()
    for server in servers.values():
        server.close()


def test_connection_to_a_target_that_does_not_listen_is_reset():
    wires = Wires()
    address = wires.wire("a", "b", free_address())
    with contextlib.suppress(ConnectionResetError):  # the reset may come before connect() returns
        client = ReadingClient(address)
        client.until(lambda client: client.ended in ("ConnectionResetError", "closed"))
    wires.until(lambda: not wires.connections)
    assert wires.link_counts("a", "b")["calls"] == 1
    wires.close()


def test_shared_wire_identifies_callers_by_host_and_by_first_bytes():
    server, wires = Echo().start(), Wires()
    shared_wire = wires.shared_wire(
        "b", server.address, lambda data: data[:2].decode() if len(data) > 1 else None
    )
    wires.set_party_host("a1", "127.7.7.1")
    ReadingClient(shared_wire).send(b"a").send(b"2x").wait_received(b"a2x")
    with socket.create_connection(split_address(shared_wire), 10, source_address=("127.7.7.1", 0)) as sock:
        sock.sendall(b"?")
        assert sock.recv(10) == b"?"
    assert wires.link_counts("a2", "b")["bytes"] == 3 and wires.link_counts("a1", "b")["bytes"] == 1
    wires.refuse("a2", "b")
    client = ReadingClient(shared_wire).send(b"a2")
    client.until(lambda client: client.ended == "ConnectionResetError")
    assert wires.link_counts("a2", "b")["refused"] == 1
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


def test_node_counts_attempts_by_gateway(node):
    one, two = node.listen("g0"), node.listen("g1")
    assert [send(one), send(two), send(one)] == [[b"aa", None, None]] * 3
    assert node.by_gateway == {"g0": 2, "g1": 1} and not node.counts["after clear"]


@pytest.mark.parametrize(
    "permit, at, acts, ignored",
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
def test_node_acts_only_on_clear_permits_and_ignores_older_ones(node, permit, at, acts, ignored):
    node.receive_permit({**PERMIT, "phase": "given"}, 8)
    assert (node.receive_permit(permit, at), node.counts["old permits"]) == (acts, ignored)


def test_node_goes_down_and_comes_back_at_its_address(node):
    address, reports = node.listen("g0"), []
    node.may_return.clear()
    assert node.receive_permit(PERMIT, 9)
    send(address)
    assert node.counts["after clear"] == 1  # counted, as all gateways were said to have stopped
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


def test_node_waits_for_its_job_and_a_killed_node_breaks_it(node):
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


def test_group_monitor_counts_falls_below_the_quorum():
    nodes = [Node(f"n{number}") for number in range(3)]
    monitor = GroupMonitor("r", nodes, 2)
    nodes[0].kill()
    assert (monitor.min_serving, monitor.broken) == (2, 0)
    nodes[1].kill()
    nodes[2].kill()
    assert (monitor.min_serving, monitor.broken) == (0, 1)
    for one in nodes:
        one.revive()
    nodes[0].kill()
    nodes[1].up()  # not caught up
    assert monitor.broken == 2


def test_agent_takes_its_node_through_a_drain_and_reports_it(node):
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
