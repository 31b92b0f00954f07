"""A planned restart: clients that are still reading a large answer send their next request."""

import os
import select
import signal
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import TROUBLE, command, free_address, run_case, server_entry, split_address  # noqa: E402

from lemonlead.standins.discovery import DiscoveryServer  # noqa: E402
from lemonlead.standins.instances import InstanceServer, value_response  # noqa: E402
from lemonlead.standins.platform import PlatformServer  # noqa: E402

VALUE_BYTES = 60_000  # values hold at most 64 KiB
CLIENTS = 8
READ_BYTES = 2048  # a client on a slow path reads so much ...
READ_PAUSE_SECONDS = 0.05  # ... each so often: 60,000 bytes in 1.5 s
RECEIVE_BUFFER_BYTES = 8192
WAIT_MS = 4000  # what the client tells as d
RESTART_SECONDS = 0.1  # from the first request to SIGTERM
SECOND_SECONDS = 1.0  # from the first request to the second one on the same connection


def value_of(key):
    """Returns the value that an instance makes for this key."""
    unit = key + b":"
    return (unit * (VALUE_BYTES // len(unit) + 1))[:VALUE_BYTES]


class SlowClient(threading.Thread):
    """A client with two requests out on one connection. It reads steadily, but its path is slow."""

    def __init__(self, case, number, address):
        super().__init__(daemon=True)
        self.case, self.number, self.address = case, number, address
        self.answers, self.data, self.ended = [], bytearray(), ""
        self.keys = [b"k%d.%d" % (number, turn) for turn in range(2)]
        self.sent = [0.0, 0.0]
        self.first = ("Q.DO", "reserve") if number % 2 else ("Q.ASK", "fitment")

    def run(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.connect(split_address(self.address))
        self.ask(sock, 0)
        until = time.monotonic() + WAIT_MS / 1e3 + 1.0
        try:
            while len(self.answers) < 2 and time.monotonic() < until:
                if not self.sent[1] and time.monotonic() - self.sent[0] >= SECOND_SECONDS:
                    self.ask(sock, 1)
                if select.select([sock], [], [], 0.05)[0]:
                    if not (data := sock.recv(READ_BYTES)):
                        self.ended = "ended"
                        break
                    self.data += data
                    self.take_answers()
                time.sleep(READ_PAUSE_SECONDS)
            else:
                self.ended = self.ended or ("" if len(self.answers) == 2 else "out of time")
        except OSError as error:
            self.ended = type(error).__name__
        finally:
            sock.close()
        if self.sent[1] and len(self.answers) < 2 and self.ended:
            self.ask_once_more()

    def ask_once_more(self):
        """Sends the second request once more on a new connection, as the page has it where its sending
        crossed the gateway's closing."""
        try:
            with socket.create_connection(split_address(self.address), 1.0) as sock:
                self.ask(sock, 1)
                sock.settimeout(WAIT_MS / 1e3)
                sock.recv(READ_BYTES)
        except OSError as error:
            self.case.note(f"client {self.number}: new connection: {type(error).__name__}")

    def ask(self, sock, turn):
        key, (name, lane) = self.keys[turn], self.first if turn == 0 else ("Q.ASK", "fitment")
        self.sent[turn] = time.monotonic()
        self.case.note(
            f"client {self.number}: {name} {key.decode()} c={lane}, {len(self.data)} bytes of answers read"
        )
        extras = f"c={lane},t=north-motors,d={WAIT_MS}"
        if lane == "reserve":
            extras += f",k={os.urandom(8).hex()}"
        sock.sendall(command(name, key, os.urandom(8).hex(), extras))

    def take_answers(self):
        """Takes the whole answers at the front of what was read."""
        while b"\r\n" in self.data:
            line, _, rest = bytes(self.data).partition(b"\r\n")
            if line[:1] == b"$":
                size = int(line[1:])
                if len(rest) < size + 2:
                    return
                self.answers.append(rest[:size])
                del self.data[: len(line) + 2 + size + 2]
            else:
                self.answers.append(line)
                del self.data[: len(line) + 2]
            last = self.answers[-1]
            self.case.note(f"client {self.number}: answer of {len(last)} bytes, {last[:20]!r}")


def play(case):
    ran = []

    def react(words):
        if words[0].upper() == b"PING":
            return b"+PONG\r\n"
        ran.append(words[1])
        case.note(f"instance: {words[0].decode()} {words[1].decode()} {words[3].decode()} ran")
        return value_response(value_of(words[1]))

    instances = [InstanceServer(react).start() for _ in range(2)]
    servers = [server_entry(f"s-{number}", one.address) for number, one in enumerate(instances)]
    discovery, platform, listen = DiscoveryServer().start(), PlatformServer().start(), free_address()
    discovery.publish(*servers, full=True)
    gateway = case.gateway("n0", listen, discovery.address, platform.address, servers)
    case.note("gateway n0 answers PING")
    clients = [SlowClient(case, number, listen) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(RESTART_SECONDS)
    if TROUBLE:
        case.note("SIGTERM to gateway n0: a planned restart")
        gateway.send_signal(signal.SIGTERM)
    for client in clients:
        client.join(WAIT_MS / 1e3 + 3.0)
    if TROUBLE:
        case.note(f"gateway n0 ended with {gateway.wait(10)}")
    breaks = []
    for client in clients:
        first = client.answers[0] if client.answers else None
        case.note(
            f"client {client.number}: {len(client.answers)} whole answers, {len(client.data)} bytes of "
            f"another, connection: {client.ended or 'open'}"
        )
        # A refusal and an error line are final answers; so is the value, if it is the one made for this key.
        if first is None or not first.startswith(b"-") and first != value_of(client.keys[0]):
            breaks.append(
                f"client {client.number}: {client.keys[0].decode()} was taken and ran "
                f"{ran.count(client.keys[0])} times; {len(client.data)} of {VALUE_BYTES + 10} bytes of its "
                f"answer came, then {client.ended or 'nothing'}"
            )
    return breaks


if __name__ == "__main__":
    run_case(HERE, play)
