"""Clients: one connection that asks requests, and several that go on asking."""

import os
import socket
import threading
import time
from collections import Counter

from ..gateway import resp


CROSSED = object()


class Client:
    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), 60)
        self.reader = resp.Reader()

    def write(self, data):
        self.sock.sendall(data)
        return self

    def ask(self, key=b"aa", request_class="look", wait=20000, body=(), **more):
        """Writes a request."""
        said = {
            "c": request_class,
            "t": "acme",
            "d": wait,
            **({"k": "5c"} if request_class == "hold" else {}),
            **more,
        }
        extras = ",".join(f"{name}={value}" for name, value in said.items()).encode()
        name = b"Q.ASK" if request_class == "look" else b"Q.DO"
        return self.write(resp.command([name, key, os.urandom(8).hex().encode(), extras, *body]))

    def command(self, name, key, said, *body):
        """Writes a request of these extras as they are."""
        extras = ",".join(f"{one}={value}" for one, value in said.items()).encode()
        return self.write(resp.command([name, key, os.urandom(8).hex().encode(), extras, *body]))

    def read(self):
        """The next answer, or None at the end of the connection."""
        while (value := self.reader.next()) is resp.MORE:
            if not (data := self.sock.recv(65536)):
                return None
            self.reader.buffer.add(data)
        return value


RESTED = 1.8  # seconds after an answer from which on a gateway may have ended the connection


class RepeatingClients:
    """Clients that each go on asking, one request after the other, until told to stop. `ask(client, number)`
    writes the next request and returns what its answer must be, or None where any will do; `counts` has how
    many answers were as they must be ("right"), rejected, errors, or anything else ("wrong"), and lost
    connections. A connection that ended as it had rested for long, just as a request was written, is none of
    these ("crossed"): the protocol has the client ask once more, on a new connection."""

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
                rested = time.monotonic() - since > RESTED
                try:
                    wanted = self.ask(client, number)
                    answer = client.read()
                except OSError:
                    if not rested:
                        raise
                    answer = None
                if answer is None and rested:
                    self.count(CROSSED, None)
                else:
                    self.count(answer, wanted)
                if answer is None:
                    client = Client(self.port)
                since = time.monotonic()
        except OSError:
            self.count(None, None)
        finally:
            client.sock.close()

    def count(self, answer, wanted):
        if answer is None:
            ending = "lost"
        elif answer is CROSSED:
            ending = "crossed"
        elif isinstance(answer, resp.Fault):
            ending = "rejected" if answer.startswith(b"BUSY") else "errors"
        else:
            ending = "right" if wanted is None or answer == wanted else "wrong"
        with self.lock:
            self.counts[ending] += 1
            if ending == "wrong" and len(self.wrong) < 5:
                self.wrong.append((answer, wanted))

    def total(self):
        with self.lock:
            return sum(self.counts.values())

    def stop(self, within=30.0):
        """Ends after the requests that are out; the counts."""
        self.stopped.set()
        until = time.monotonic() + within
        for thread in self.threads:
            thread.join(max(until - time.monotonic(), 0.0))
        return dict(self.counts)
