"""Clients: a thread for each connection reads its commands; each answer goes out in its command's turn."""

import contextlib
import socket
import struct
import threading
import time
from collections import deque

from .. import interface as at
from . import resp
from .place import now

MOST_ASKS = 256  # commands of one connection that may wait for an answer; past it nothing more is read
SLOWEST = struct.pack("ll", 5, 0)  # for so long a client may take none of its answers


class Ask:
    """One command of a client's, and its answer once there is one."""

    __slots__ = ("client", "words", "answer", "lookup", "lane_name")

    def __init__(self, client, words, answer=None):
        self.client, self.words, self.answer = client, words, answer
        self.lookup, self.lane_name = None, ""


class Client:
    def __init__(self, sock, gate):
        self.sock, self.gate = sock, gate
        self.reader = resp.Reader(commands=True)
        self.room = threading.Condition()
        self.asks = deque()  # not yet answered in full, in their order
        self.unsent = bytearray()
        self.writing = self.ended = False
        self.since = time.monotonic()  # when it last brought or got something

    def run(self):
        reason = "fault"
        try:
            reason = self.read()
        except resp.Malformed as error:
            reason = "malformed"
            self.put(Ask(self, (), resp.error(f"ERR {error}")))
            with self.room:  # what was taken before it is still answered
                while (self.asks or self.writing) and not self.ended:
                    self.room.wait()
        except OSError:
            reason = "reset"
        finally:
            self.close(reason)

    def read(self):
        while True:
            with self.reader.buffer.room() as room:
                count = self.sock.recv_into(room)
            if not count:
                return "stopped" if self.ended else "closed by client"
            self.reader.buffer.filled(count)
            while (words := self.reader.next()) is not resp.MORE:
                self.take(words)

    def take(self, words):
        name = words[0].upper()
        if name in (b"Q.ASK", b"Q.DO"):
            return self.look_up(name, words)
        known = {b"PING": b"+PONG\r\n"}
        self.put(Ask(self, words, known.get(name, resp.error("ERR unknown command"))))

    def look_up(self, name, words):
        arrived, ask = now(), Ask(self, words)
        try:
            lookup = self.gate.lookup(arrived, words)
        except (ValueError, KeyError, IndexError) as error:
            ask.answer = resp.error(f"ERR {type(error).__name__}: bad lookup")
            return self.put(ask)
        if (lookup.lane.effect == at.HARMLESS) != (name == b"Q.ASK"):
            ask.answer = resp.error("ERR this lane goes by the other command")
            return self.put(ask)
        ask.lookup, ask.lane_name = lookup, self.gate.names[lookup.lane.number]
        self.put(ask)
        self.gate.desk.tell(self.gate.desk.lookup_arrived, ask, lookup)

    def put(self, ask):
        with self.room:
            while len(self.asks) >= MOST_ASKS and not self.ended:
                self.room.wait()
            self.asks.append(ask)
        if ask.answer is not None:
            self.flush()

    def idle(self):
        return not self.asks and not self.unsent and not len(self.reader.buffer)

    def flush(self):
        """Writes what is next to be answered; what the client does not take at once goes by a thread."""
        with self.room:
            while self.asks and self.asks[0].answer is not None:
                self.unsent += self.asks.popleft().answer
            self.room.notify_all()
            self.since = time.monotonic()
            if self.writing or not self.unsent:
                return
            try:
                del self.unsent[: self.sock.send(self.unsent, socket.MSG_DONTWAIT)]
            except BlockingIOError:
                pass
            except OSError:
                return self.unsent.clear()  # its reader ends it
            if self.unsent:
                self.writing = True
                threading.Thread(target=self.drain, daemon=True).start()

    def drain(self):
        """Writes out all that is unsent, waiting for a client that takes something now and then."""
        while True:
            with self.room:
                data = bytes(self.unsent[:65536])
                if not data or self.ended:
                    self.writing = False
                    return self.room.notify_all()
            try:
                sent = self.sock.send(data)
            except OSError:
                sent = 0
            if not sent:
                self.end()
            with self.room:
                del self.unsent[:sent]

    def end(self):
        """Ends the connection from our side; its thread then notices."""
        with self.room, contextlib.suppress(OSError):
            self.ended = True
            self.room.notify_all()
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self, reason):
        self.end()
        with self.room:
            while self.writing:
                self.room.wait()
            lookups = [ask.lookup for ask in self.asks if ask.lookup and ask.answer is None]
        if lookups:
            self.gate.desk.tell(self.gate.desk.client_left, lookups)
        with self.room:
            self.sock.close()
        self.gate.gone(self, reason)


class Gate:
    """Listens, and keeps the clients' connections within their bound."""

    def __init__(self, place, desk, log, counters):
        self.place, self.desk, self.log, self.counters = place, desk, log, counters
        self.names = [""] * len(place.lanes)
        for name, lane in place.lanes.items():
            self.names[lane.number] = name
        self.most = place.sockets // 2
        self.clients, self.lock = set(), threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(place.listen)

    def open(self):
        self.listener.listen(1024)

    def run(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                if self.listener.fileno() < 0:
                    return
                self.log.warning("accept failed", reason=str(error))
                time.sleep(0.01)
                continue
            self.admit(sock)

    def admit(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, SLOWEST)
        client = Client(sock, self)
        with self.lock:
            self.clients.add(client)
            idle = [one for one in self.clients if one.idle()] if len(self.clients) > self.most else []
        self.counters.add("clients accepted")
        if idle:
            min(idle, key=lambda one: one.since).end()
        threading.Thread(target=client.run, daemon=True).start()

    def gone(self, client, reason):
        with self.lock:
            self.clients.discard(client)
        self.counters.add(f"clients ended: {reason}")
        self.log.info("client ended", reason=reason)

    def lookup(self, arrived, words):
        """A lookup from `Q.ASK key id extras [body]`; raises where it makes no sense."""
        key, id, extras = words[1], words[2], words[3].decode("ascii")
        said = dict(pair.split("=", 1) for pair in extras.split(","))
        wait, work = float(said["d"]), float(said.get("h", 0))
        lane = self.place.lanes[said["c"]]
        if not 0 < wait < 1e9 or not 0 <= work < 1e12 or (lane.effect == at.STAMPED and "k" not in said):
            raise ValueError
        customer = self.place.customers.get(said.get("t"), 0)
        stop = arrived + int(wait * 1e6)
        return at.Lookup(id, lane, customer, key, arrived, stop, int(work * 1e3), said.get("r") == "1")
