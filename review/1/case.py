"""Instances send some answers twice, 2 ms apart: callers get the values of other callers' requests, and
requests that must not run twice do."""

import os
import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import TROUBLE, command, free_address, run_case, server_entry, split_address  # noqa: E402

from lemonlead.standins.discovery import DiscoveryServer  # noqa: E402
from lemonlead.standins.platform import PlatformServer  # noqa: E402

# rumo-poa, where they differ from the settings of rig.py.
SETTINGS = {
    "Areas": ["poa-1"],
    "Skus": ["tipo-a", "tipo-b"],
    "Lanes": [
        {"Name": "cep", "Effect": "idempotent", "Slo": 600.0, "GiveUp": 2000.0, "Worth": 1.0},
        {"Name": "corrige", "Effect": "idempotent", "Slo": 800.0, "GiveUp": 2000.0, "Worth": 1.0},
        {"Name": "laudo", "Effect": "at_most_once", "Slo": 800.0, "GiveUp": 2500.0, "Worth": 5.0},
    ],
    "Limits": {
        "AttemptsCap": 4,
        "Cancel": True,
        "ConnectTimeout": 250.0,
        "IdleClose": 30000.0,
        "MayDuplicate": False,
        "RetryAfter": False,
    },
    "Projects": [{"Name": "loja-pampa", "QuotaPerS": 90.0}],
}
INSTANCES = 4
SLOTS = 2  # of an instance: what comes while so many are at work is turned away with -BUSY
CLIENTS = 8
REQUESTS = 150  # of each client, one after the other
EVERY = 10  # each tenth answer of an instance is sent twice ...
LATE_SECONDS = 0.002  # ... the second time so much later, if nothing else waits on the connection
WORK_SECONDS = 0.005
WAIT_MS = 2000
# A trial to find the cause: instances whose sockets do not hold back small writes (Nagle's algorithm).
NODELAY = os.environ.get("NODELAY") == "1"


class Reader:
    """Reads RESP2 commands and answers from a socket, as far as this case needs them."""

    def __init__(self, sock):
        self.sock, self.data = sock, b""

    def line(self):
        while b"\r\n" not in self.data:
            self.more()
        line, _, self.data = self.data.partition(b"\r\n")
        return line

    def more(self):
        if not (data := self.sock.recv(65536)):
            raise ConnectionResetError
        self.data += data

    def value(self):
        """Returns a command as a list of words, a bulk string as bytes, any other answer as its line."""
        line = self.line()
        if line[:1] == b"*":
            return [self.value() for _ in range(int(line[1:]))]
        if line[:1] != b"$":
            return line
        size = int(line[1:])
        while len(self.data) < size + 2:
            self.more()
        value, self.data = self.data[:size], self.data[size + 2 :]
        return value


class Instance:
    """An instance with ordinary sockets. It answers each command with a value made of the request's id."""

    def __init__(self, case, name):
        self.case, self.name = case, name
        self.answers, self.twice, self.lock = 0, 0, threading.Lock()
        self.held, self.busy, self.ran = 0, 0, Counter()  # `ran`: by the request's id
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            if NODELAY:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                words = reader.value()
                if words[0].upper() == b"PING":
                    sock.sendall(b"+PONG\r\n")
                    continue
                with self.lock:
                    full = self.held >= SLOTS
                    self.busy, self.held = self.busy + full, self.held + (not full)
                if full:
                    sock.sendall(b"-BUSY\r\n")
                    continue
                time.sleep(WORK_SECONDS)
                value = made_for(words[2])
                answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
                with self.lock:
                    self.held -= 1
                    self.ran[words[2].decode()] += 1
                    self.answers += 1
                    again = TROUBLE and self.answers % EVERY == 0
                sock.sendall(answer)
                if again:
                    time.sleep(LATE_SECONDS)
                    if not reader.data and nothing_waits(sock):
                        sock.sendall(answer)
                        self.twice += 1
                        if self.twice <= 5:
                            self.case.note(f"{self.name}: second answer to {words[2].decode()}")
        except OSError:
            sock.close()


def made_for(id):
    """Returns the value that an instance makes for the request of this id."""
    return b"value of " + id


def nothing_waits(sock):
    """Returns whether no byte of another command has come, and the connection still stands."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    return False


class Client(threading.Thread):
    """Asks one request after another. Even ones are `cep`, odd ones `laudo`, which must never run twice."""

    def __init__(self, case, number, address):
        super().__init__(daemon=True)
        self.case, self.number, self.address = case, number, address
        self.right, self.foreign, self.other = 0, [], {}

    def run(self):
        sock = socket.create_connection(split_address(self.address))
        sock.settimeout(WAIT_MS / 1e3 + 1.0)
        reader = Reader(sock)
        for turn in range(REQUESTS):
            id, extras = f"c{self.number}r{turn}", f"t=loja-pampa,d={WAIT_MS}"
            if turn % 2:
                words = ("Q.DO", f"k{turn}", id, f"c=laudo,{extras}")
            else:
                words = ("Q.ASK", f"k{turn}", id, f"c=cep,{extras}")
            sock.sendall(command(*words))
            answer = reader.value()
            if answer == made_for(id.encode()):
                self.right += 1
            elif answer.startswith(b"-"):
                self.other[answer.decode()] = self.other.get(answer.decode(), 0) + 1
            else:
                self.foreign.append((id, words[0], answer.decode()))
                if len(self.foreign) <= 3:
                    self.case.note(f"client {self.number}: {words[0]} {id} got {answer.decode()!r}")
        sock.close()


def play(case):
    instances = [Instance(case, f"s-{number}") for number in range(INSTANCES)]
    servers = [server_entry(one.name, one.address) | {"zone": "poa-1", "kind": "tipo-a"} for one in instances]
    discovery, platform, listen = DiscoveryServer().start(), PlatformServer().start(), free_address()
    discovery.publish(*servers, full=True)
    case.gateway("n0", listen, discovery.address, platform.address, servers, SETTINGS)
    case.note("gateway n0 answers PING")
    clients = [Client(case, number, listen) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join(60.0)
    for one in instances:
        case.note(f"{one.name}: {one.answers} served, {one.twice} of them answered twice, {one.busy} -BUSY")
    ran = sum((one.ran for one in instances), Counter())
    # By the ids of the clients, odd requests are one-shot.
    doubles = sorted(id for id, times in ran.items() if times > 1 and int(id.split("r")[1]) % 2)
    case.note(f"{len(doubles)} one-shot requests ran more than once: {' '.join(doubles[:20])}")
    breaks = []
    if doubles:
        breaks.append(f"{len(doubles)} one-shot requests ran more than once, the first: {doubles[0]}")
    for client in clients:
        case.note(
            f"client {client.number}: {REQUESTS} requests, {client.right} got their own value, "
            f"{len(client.foreign)} another's, others: {client.other}"
        )
        if client.foreign:
            id, name, answer = client.foreign[0]
            breaks.append(
                f"client {client.number}: {len(client.foreign)} of {REQUESTS} requests got the value "
                f"of another one, the first: {name} {id} with {answer!r}"
            )
    return breaks


if __name__ == "__main__":
    run_case(HERE, play)
