"""Clients: one connection that sends requests, and a group of clients that send one request after another."""

import os
import socket
import threading
import time
from collections import Counter

from ..gateway import resp


CLOSED_WHILE_IDLE = object()  # in place of an answer: the gateway closed an idle connection


class Client:
    """A connection to a gateway. `receive_buffer`: the bytes that its system takes before it reads them."""

    def __init__(self, port, receive_buffer=None):
        self.sock = socket.socket()
        self.sock.settimeout(60)
        if receive_buffer is not None:  # before connecting, because it limits the window
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.connect(("127.0.0.1", port))
        self.reader = resp.Reader()

    def write(self, data):
        self.sock.sendall(data)
        return self

    def ask(self, key=b"aa", request_class="look", wait=20000, body=(), **more):
        """Sends a request of tenant "acme". `wait`: its deadline in milliseconds; `more`: further extras."""
        fields = {
            "c": request_class,
            "t": "acme",
            "d": wait,
            **({"k": "5c"} if request_class == "hold" else {}),
            **more,
        }
        extras = ",".join(f"{name}={value}" for name, value in fields.items()).encode()
        name = b"Q.ASK" if request_class == "look" else b"Q.DO"
        return self.write(resp.command([name, key, os.urandom(8).hex().encode(), extras, *body]))

    def command(self, name, key, fields, *body):
        """Sends a request with exactly these extras."""
        extras = ",".join(f"{field}={value}" for field, value in fields.items()).encode()
        return self.write(resp.command([name, key, os.urandom(8).hex().encode(), extras, *body]))

    def read(self):
        """Returns the next answer, or None at the end of the connection."""
        while (value := self.reader.next()) is resp.MORE:
            if not (data := self.sock.recv(65536)):
                return None
            self.reader.buffer.add(data)
        return value


IDLE_SECONDS = 1.8  # after so long without a request a gateway may have closed the connection


class RepeatingClients:
    """Clients on threads of their own that send one request after another until they are stopped.

    `ask(client, number)` sends the next request of the client with this number and returns the expected
    answer, or None if any answer is accepted. `counts` has the number of requests by ending: "right" (the
    expected answer), "rejected", "errors", "wrong" (another answer) and "lost" (the connection ended). A
    connection that the gateway closes after a long idle time, just as a request is written, counts as
    "crossed": by the protocol the client then repeats the request on a new connection.
    """

    def __init__(self, port, count, ask):
        self.port, self.ask, self.stopped = port, ask, threading.Event()
        self.counts, self.lock, self.wrong = Counter(), threading.Lock(), []
        self.threads = [
            threading.Thread(target=self.run, args=(number,), daemon=True) for number in range(count)
        ]

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def run(self, number):
        client, since = Client(self.port), time.monotonic()
        try:
            while not self.stopped.is_set():
                was_idle = time.monotonic() - since > IDLE_SECONDS
                try:
                    expected = self.ask(client, number)
                    answer = client.read()
                except OSError:
                    if not was_idle:
                        raise
                    answer = None
                if answer is None and was_idle:
                    self.count(CLOSED_WHILE_IDLE, None)
                else:
                    self.count(answer, expected)
                if answer is None:
                    client = Client(self.port)
                since = time.monotonic()
        except OSError:
            self.count(None, None)
        finally:
            client.sock.close()

    def count(self, answer, expected):
        if answer is None:
            ending = "lost"
        elif answer is CLOSED_WHILE_IDLE:
            ending = "crossed"
        elif isinstance(answer, resp.Fault):
            ending = "rejected" if answer.startswith(b"BUSY") else "errors"
        else:
            ending = "right" if expected is None or answer == expected else "wrong"
        with self.lock:
            self.counts[ending] += 1
            if ending == "wrong" and len(self.wrong) < 5:
                self.wrong.append((answer, expected))

    def total(self):
        with self.lock:
            return sum(self.counts.values())

    def stop(self, within=30.0):
        """Stops once the open requests have ended, or after `within` seconds. Returns the counts."""
        self.stopped.set()
        deadline = time.monotonic() + within
        for thread in self.threads:
            thread.join(max(deadline - time.monotonic(), 0.0))
        return dict(self.counts)
