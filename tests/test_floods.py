"""Floods: twice as many clients as there is room for, all at once, send unusable input. Other clients are
served meanwhile, each of their requests that was begun is answered, and the flood leaves no threads,
descriptors or connections behind."""

import contextlib
import pathlib
import socket
import threading
import time

import pytest
from lemonlead.gateway import resp
from lemonlead.standins import clients
from lemonlead.standins.fleet import gateway
from lemonlead.standins.instances import InstanceServer
from lemonlead.standins.server import until

SOCKETS, ROOM, EXTRA = 144, 60, 8  # the descriptor limit, and the clients and extra clients it allows
MEMORY = 64  # the memory limit in megabytes

DATA = {
    "nothing": b"",
    "half a command": resp.command([b"Q.ASK", b"key", b"id", b"c=look"])[:-9],
    "most of the longest command": resp.command([b"Q.DO", b"k", b"i", b"c=buy,d=9", b"x" * 65_000])[:-9],
    "noise": b"\x00\xff" * 5000 + b"\r\n",
    "a line without end": b"*" * 100_000,
    "a huge length": b"*3\r\n$60000000\r\n" + b"x" * 1_000_000,
    "a negative length": b"*2\r\n$-7\r\n",
    "hundreds of commands of no sense": resp.command([b"Q.ASK", b"k"]) * 300,
    "hundreds with one id": resp.command([b"Q.ASK", b"bad", b"id", b"c=look,t=acme,d=20000"]) * 300,
    "large pings": resp.command([b"PING", b"x" * 60_000]) * 20,
}
HOLD = ["nothing", "half a command", "most of the longest command"]


class Flood:
    """Clients that send data at full speed and read until an error response or the end, then reconnect, until
    stopped. `due`: the seconds that each connection lasted."""

    def __init__(self, port, kinds, count):
        self.port, self.due, self.stopped = port, [], threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(DATA[kinds[n % len(kinds)]],), daemon=True)
            for n in range(count)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, data):
        while not self.stopped.is_set():
            began = time.monotonic()
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port), 60) as sock:
                writer = threading.Thread(target=self.write, args=(sock, data), daemon=True)
                writer.start()
                with contextlib.suppress(OSError):
                    while (seen := sock.recv(65536)) and b"-" not in seen and not self.stopped.is_set():
                        pass
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
                writer.join(60)
                self.due.append(time.monotonic() - began)

    def write(self, sock, data):
        with contextlib.suppress(OSError):
            sock.sendall(data)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(60)
        assert not any(thread.is_alive() for thread in self.threads)


class NormalClient:
    """A normal client: it sends one request after the other, each with a new key. After its connection ends
    it reconnects."""

    def __init__(self, port, name):
        self.port, self.name, self.answered, self.unanswered = port, name, set(), set()
        self.stopped, self.wrong = threading.Event(), []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        turn = 0
        while not self.stopped.is_set():
            with contextlib.suppress(OSError):
                client = clients.Client(self.port)
                with client.sock:
                    while not self.stopped.is_set():
                        turn, key = turn + 1, b"%s.%d" % (self.name, turn)
                        self.unanswered.add(key)
                        if (answer := client.ask(key).read()) is None:
                            break
                        self.unanswered.discard(key)
                        (self.answered.add if answer == key else self.wrong.append)(answer)


def process_usage(ran):
    """Returns the threads, descriptors and megabytes of the gateway's process."""
    proc = pathlib.Path("/proc") / str(ran.process.pid)
    said = dict(line.split(":", 1) for line in (proc / "status").read_text().splitlines())
    return int(said["Threads"]), len(list((proc / "fd").iterdir())), int(said["VmRSS"].split()[0]) / 1024


@pytest.mark.parametrize("kinds", [HOLD, [kind for kind in DATA if kind not in HOLD]], ids=["hold", "noise"])
def test_flood_delays_no_other_client_and_leaves_nothing_behind(tmp_path, kinds):
    server = InstanceServer().start()
    with gateway(tmp_path, server, limits={"sockets": SOCKETS, "memory_mb": MEMORY}) as ran:
        until(lambda: ran.platform.asked and ran.discovery.asked)
        before, most = process_usage(ran), (0, 0, 0)
        flood = Flood(ran.port, kinds, 2 * ROOM)
        until(lambda: ran.counters().get("clients_accepted", 0) >= ROOM)  # it holds all connections
        usual = [NormalClient(ran.port, b"%d" % n) for n in range(4)]

        def enough():
            nonlocal most
            most = tuple(map(max, most, process_usage(ran)))
            return len(flood.due) >= 2 * ROOM and all(len(one.answered) >= 20 for one in usual)

        until(enough)
        for one in usual:
            one.stopped.set()
            one.thread.join(60)
        flood.stop()
        threads, descriptors, megabytes = most
        assert threads <= before[0] + 2 * (ROOM + EXTRA) and descriptors <= SOCKETS and megabytes <= MEMORY
        until(
            lambda: process_usage(ran)[0] <= before[0]
        )  # the threads have ended, and with them the connections
        said, begun = ran.counters(), {words[1] for words in server.got} - {b"bad"}
        ended = sum(count for name, count in said.items() if name.startswith("clients_ended_"))
        assert said["open"] == 0 and ended == said["clients_accepted"]
        assert process_usage(ran)[1] <= before[1] + said["connections_made"]
        for one in usual:  # a request on an ended connection was not begun
            assert not one.wrong and not one.unanswered & begun
        assert begun == set().union(*(one.answered for one in usual))
