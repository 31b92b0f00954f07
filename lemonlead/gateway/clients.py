"""Clients: a thread for each connection reads its commands; each answer goes out in its command's turn."""

import contextlib
import errno
import socket
import struct
import threading
import time
import traceback
from collections import deque

from .. import interface as at
from ..told import in_ns
from . import resp
from .place import now

MOST_ASKS, MOST_UNSENT = 256, 1 << 20  # unanswered commands, unsent bytes; past them no more is read
SLOWEST = 5  # seconds for which a client may take none of its answers
EXTRA = 8  # connections past the bound, whose lookups are pushed back
# Seconds without a lookup after which a connection may make room: at the bound, and past the extra ones. Its
# next lookup may be on its way, the more likely the sooner after the last answer.
UNUSED, HARDLY_USED = 0.5, 0.05


class Ask:
    """One command of a client's, and its answer once there is one."""

    __slots__ = ("client", "words", "answer", "lookup")

    def __init__(self, client, words, answer=None, lookup=None):
        self.client, self.words, self.answer, self.lookup = client, words, answer, lookup


class Client:
    """One client's connection. `room` guards its asks, what is unsent, and the end of its socket."""

    def __init__(self, sock, gate, extra):
        self.sock, self.gate, self.extra = sock, gate, extra
        self.reader = resp.Reader(commands=True)
        self.room = threading.Condition()
        self.asks = deque()  # not yet answered in full, in their order
        self.unsent = bytearray()
        self.busy = False  # what has come is being read and told
        self.writing = False  # a thread writes out what the client did not take at once
        self.reason = None  # why we ended it
        self.since = time.monotonic()  # when it last got an answer

    def run(self):
        reason = "fault"
        try:
            reason = self.read()
        except resp.Malformed as error:
            reason = "malformed"
            self.put(Ask(self, (), resp.error(f"ERR {error}")))
            with self.room:  # what was taken before it is still answered
                while (self.asks or self.writing) and self.reason is None:
                    self.room.wait()
        except OSError:
            reason = "reset"
        except Exception:
            self.gate.desk.fault(traceback.format_exc())
        finally:
            self.close(reason)

    def read(self):
        """What has come is taken from the socket under `room` only, so that a connection that is found idle
        there has brought nothing that would be lost by ending it."""
        while True:
            self.sock.recv(1, socket.MSG_PEEK)
            with self.room:
                # What came after we ended it is sent again by its client: taken here it might run twice.
                if self.reason is not None or not self.reader.buffer.fill(self.sock.recv_into):
                    return "client closed"
                self.busy = True
            while (words := self.reader.next()) is not resp.MORE:
                self.take(words)
            self.busy = False

    def take(self, words):
        arrived, name = now(), words[0].upper()
        if name == b"PING":
            return self.put(Ask(self, words, b"+PONG\r\n"))
        if name not in (b"Q.ASK", b"Q.DO"):
            return self.put(Ask(self, words, resp.error("ERR unknown command")))
        try:
            lookup = self.gate.lookup(arrived, name, words)
        except (ValueError, KeyError, IndexError) as error:
            self.gate.counters.add("bad lookups")
            return self.put(Ask(self, words, resp.error(f"ERR no lookup: {type(error).__name__}")))
        ask = Ask(self, words, None, lookup)
        self.put(ask)
        desk, turned_away = self.gate.desk, self.extra and len(self.gate.clients) > self.gate.most
        desk.tell(desk.lookup_turned_away if turned_away else desk.lookup_arrived, ask, lookup)

    def put(self, ask):
        with self.room:
            while (len(self.asks) >= MOST_ASKS or len(self.unsent) > MOST_UNSENT) and self.reason is None:
                self.room.wait()
            self.asks.append(ask)
        if ask.answer is not None:
            self.flush()

    def idle(self, since=None):
        """Whether it stands between lookups, also since then, and nothing has come that is not read. A part
        of a command does not keep it for longer than SLOWEST."""
        with self.room:
            part = len(self.reader.buffer) and time.monotonic() - self.since < SLOWEST
            if self.asks or self.unsent or self.busy or part or self.reason is not None:
                return False
            if since is not None and self.since >= since:
                return False
            try:
                return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except OSError:
                return True

    def end_if_idle(self, reason):
        with self.room:
            if self.idle():
                self.end(reason)

    def flush(self):
        """Writes what is next to be answered; what the client does not take at once goes by a thread."""
        with self.room:
            while self.asks and self.asks[0].answer is not None:
                self.unsent += self.asks.popleft().answer
            self.since = time.monotonic()
            if self.unsent and not self.writing:
                with contextlib.suppress(OSError):
                    del self.unsent[: self.sock.send(self.unsent, socket.MSG_DONTWAIT)]
                if self.unsent and self.reason is None:
                    self.write_later()
            self.room.notify_all()
        if self.gate.stopping:
            self.end_if_idle("stopping")

    def write_later(self):
        try:
            self.writing = True
            threading.Thread(target=self.drain, daemon=True).start()
        except RuntimeError:
            self.writing = False
            self.end("no thread")

    def drain(self):
        """Writes out all that is unsent, for as long as the client takes some of it now and then."""
        while True:
            with self.room:
                data = bytes(self.unsent[:65536])
                if not data or self.reason is not None:
                    self.writing = False
                    return self.room.notify_all()
            try:
                sent = self.sock.send(data)  # waits for SLOWEST at most
            except BlockingIOError:
                self.end("slow reader")
            except OSError:
                self.end("reset")
            else:
                with self.room:
                    del self.unsent[:sent]
                    self.room.notify_all()

    def end(self, reason):
        """Ends the connection from our side; its own thread then notices, and closes it."""
        with self.room, contextlib.suppress(OSError):
            self.reason = self.reason or reason
            self.room.notify_all()
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self, reason):
        self.end(reason)
        with self.room:
            while self.writing:
                self.room.wait()
            lookups = [ask.lookup for ask in self.asks if ask.lookup and ask.answer is None]
            self.sock.close()
        if lookups:
            self.gate.desk.tell(self.gate.desk.client_left, lookups)
        self.gate.gone(self)


class Gate:
    """Listens, and keeps the clients' connections within their bound."""

    def __init__(self, place, desk, log, counters):
        self.place, self.desk, self.log, self.counters = place, desk, log, counters
        self.most, self.stopping = place.connections // 2, False
        self.clients, self.room = set(), threading.Condition()
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
                if self.listener.fileno() < 0 or error.errno == errno.EINVAL:
                    return  # shut by `close`
                self.log.warning("accept failed", reason=str(error))
                time.sleep(0.05)
                continue
            try:
                self.admit(sock)
            except OSError:  # it was reset before it was looked at
                sock.close()

    def admit(self, sock):
        """Where all within the bound have a lookup, those of a few extra ones are pushed back at once: what
        waited to be accepted would be late, and was begun nowhere. It could push back what would have found
        room a moment later."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", SLOWEST, 0))
        client = Client(sock, self, extra=not self.made_room())
        with self.room:
            self.clients.add(client)
        self.counters.add("clients accepted")
        try:
            threading.Thread(target=client.run, daemon=True).start()
        except RuntimeError:
            client.close("no thread")

    def made_room(self):
        """Whether there is room within the bound; past the extra clients it waits until one is gone."""
        while True:
            with self.room:
                clients = list(self.clients)
            if len(clients) < self.most:
                return True
            full = len(clients) >= self.most + EXTRA
            before = time.monotonic() - (HARDLY_USED if full else UNUSED)
            idle = [client for client in clients if client.idle(before)]
            if idle:
                min(idle, key=lambda client: client.since).end_if_idle("made room")
            if not full:
                return bool(idle)
            with self.room:
                self.room.wait(HARDLY_USED)

    def gone(self, client):
        with self.room:
            self.clients.discard(client)
            self.room.notify_all()
        self.counters.add(f"clients ended: {client.reason}")
        self.log.info("client ended", reason=client.reason)

    def close(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def close_idle(self):
        """Ends the clients' connections as they stand between lookups, from now on; whether any are left."""
        self.stopping = True
        with self.room:
            clients = list(self.clients)
        for client in clients:
            client.end_if_idle("stopping")
        return bool(clients)

    def lookup(self, arrived, name, words):
        """A lookup from `Q.ASK key id extras [body]`; raises where it makes no sense."""
        key, id, extras = words[1], words[2], words[3].decode("ascii")
        said = dict(pair.split("=", 1) for pair in extras.split(","))
        wait, work = float(said["d"]), float(said.get("h", 0))
        lane = self.place.lanes[said["c"]]
        if not 0 < wait < 1e9 or not 0 <= work < 1e12 or (lane.effect == at.STAMPED and not said["k"]):
            raise ValueError("a wait, a hint or a stamp out of bounds")
        if (lane.effect == at.HARMLESS) != (name == b"Q.ASK"):
            raise ValueError("this lane goes by the other command")
        customer = self.place.customers.get(said.get("t"), -1)
        stop = arrived + in_ns(wait)
        return at.Lookup(id, lane, customer, key, arrived, stop, int(work * 1e3), said.get("r") == "1")
