"""Clients: a thread for each connection reads its commands; each answer goes out in its command's turn."""

import contextlib
import math
import re
import socket
import threading
import time
import traceback
from collections import deque

from .. import interface as at
from ..start_settings import ms_to_ns
from . import resp
from .admission import is_stale
from .config import now
from .sockets import hung_up, seconds, unread_for

MOST_ASKS, MOST_UNSENT = 64, 1 << 18  # unanswered commands, unsent bytes; past them no more is read
SLOWEST = 5  # seconds for which a client may take none of its answers
KNOCKS = 0.1  # seconds for which a new connection is waited for at a time
EXTRA = 8  # connections past the bound, whose requests are rejected
LOOK = 0.25  # seconds without a byte after which a connection is looked at
PART = 0.9  # seconds from a connection's start to its first command; from a command's first byte to its last
# Seconds between requests after which a connection ends: some clients ask once and hold it. The shorter ones
# hold from half the bound on.
REST, SHORT_REST = 2.0, 0.25
# Seconds without a request after which a connection may make room: where none ever came, at the bound, past
# the extra ones. Its next request may be on its way, the more likely the sooner after the last answer.
MUTE, UNUSED, HARDLY_USED = 0.1, 0.5, 0.05
# Of a client that sent what cannot be read: for so long requests from before it are waited for; so many bytes
# are still taken, for so long, that the error reaches it.
PATIENCE, DREGS, DREGS_TIME = 0.5, 1 << 18, 0.2
GLANCE = 0.05  # seconds between looks, while nothing more is read of a client, whether it has gone
REST_OF_IT = 0.01  # seconds between looks for it on a connection whose reading side we have ended
PENALTY, MOST_PENALTY = 0.1, 1.0  # seconds before more is read after a command that makes no sense; they grow
LARGE = 8192  # bytes past which a command counts against the room for all
LEFT, RESET = "client closed", "reset"  # why a connection ends that the client ended, in order or not
WORDS = {b"Q.ASK": (4,), b"Q.DO": (4, 5)}  # how many words a request has
LONGEST_ID, LONGEST_KEY = 128, 1024
NUMBER = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)


class PendingRequest:
    """One command of a client's, and its answer once there is one."""

    __slots__ = ("client", "words", "answer", "request", "weight")

    def __init__(self, client, words, answer=None, request=None):
        self.client, self.words, self.answer, self.request = client, words, answer, request
        self.weight = 0  # its bytes, where they are counted against the room for all


class Client:
    """One client's connection. `room` guards its asks, what is unsent, and why it ends. Its own thread alone
    reads and closes it: others ask that thread to, so that what has come by then is answered first."""

    def __init__(self, sock, server, extra):
        self.sock, self.server, self.extra = sock, server, extra
        self.reader = resp.Reader(commands=True)
        self.room = threading.Condition()
        self.pending_requests = deque()  # not yet answered in full, in their order
        self.unsent = bytearray()
        self.writing = False  # a thread writes out what the client did not take at once
        self.reason = None  # why we end it
        self.last = False  # no more is read
        self.broken = False  # nothing more can be written
        self.since = time.monotonic()  # when it last got an answer
        self.part_since = None  # when what there is of a command was first seen
        self.asked, self.faults, self.weight = False, 0, 0  # a whole command came; senseless ones; its buffer
        self.answered = False  # it got an answer, and is no new connection any more

    def run(self):
        reason = "fault"
        try:
            reason = self.read()
        except resp.Malformed as error:
            reason = "malformed"
            with contextlib.suppress(OSError):
                self.turn_away(error)
        except OSError:
            reason = RESET
        except Exception:
            self.server.dispatcher.fault(traceback.format_exc())
        finally:
            self.close(reason)

    def read(self):
        while True:
            if self.last:
                with self.room:
                    self.room.wait_for(lambda: not (self.pending_requests or self.unsent) or self.broken)
                return self.reason
            try:
                count = self.reader.buffer.fill(self.sock.recv_into)
            except BlockingIOError:  # none for as long as LOOK
                self.rests()
            else:
                if not count and (self.reason is None or self.broken or self.done()):
                    return self.reason or LEFT
                if not count:  # we end it, and it had asked before it could know
                    with self.room:
                        self.wait(lambda: not (self.pending_requests or self.unsent))
                    if not self.reader.empty():
                        time.sleep(REST_OF_IT)  # the other half of a command is on its way
            while (words := self.reader.next()) is not resp.MORE:
                with self.room:
                    if self.gone():  # while it waited to be accepted or read
                        return LEFT
                self.part_since = None
                self.take(words)
            self.weigh()

    def done(self):
        """Whether nothing is left to answer: what it asked by halves is no request yet, but will be."""
        with self.room:
            return not (self.pending_requests or self.unsent) and self.reader.empty()

    def rests(self):
        """Ends it if it has stood between requests, or without the first, for too long; what has come by then
        is read first. Clients may have a bound of their own, and those that hold theirs for good keep out all
        others, long before there is no room here. It could end some that are used again: they come anew."""
        rest = REST if len(self.server.clients) < self.server.most // 2 else SHORT_REST
        with self.room:
            rested = time.monotonic() - self.since >= (rest if self.asked else PART)
            if rested and not (self.pending_requests or self.unsent) and self.reader.empty():
                self.stop_reading("rest" if self.asked else "silent")

    def weigh(self):
        """Guards against halves of commands that never end, and against many large ones at once. What came
        while we were held up is read before a half counts as late: a command's length is bounded."""
        if self.reader.empty():
            self.part_since = None
        elif self.part_since is None:
            self.part_since = time.monotonic()
        elif time.monotonic() - self.part_since > PART and not self.unread():
            raise resp.Malformed("half a command")
        size = len(self.reader.buffer.data) if len(self.reader.buffer) else 0  # an empty one is cut
        size = size if size > LARGE else 0
        if size != self.weight:
            if not self.server.weigh(size - self.weight):
                raise resp.Malformed("no room for so large a command")
            self.weight = size

    def take(self, words):
        # Its client counts from when it sent it, so its time goes on while it waits to be accepted or read.
        unread = unread_for(self.sock)
        arrived, name = now() - unread, words[0].upper()
        self.asked = True
        if name == b"PING":
            return self.put(PendingRequest(self, (), b"+PONG\r\n"))
        try:
            request = self.server.request(arrived, name, words)
        except (ValueError, KeyError) as error:
            text = f"{type(error).__name__}: {error}"[:100]
            self.put(PendingRequest(self, (), resp.error(f"ERR no request: {text}")))
            return self.fault()
        ask, size = PendingRequest(self, words, None, request), sum(map(len, words))
        self.put(ask)
        dispatcher, turned_away = self.server.dispatcher, self.extra and self.server.crowded()
        if is_stale(unread, request.deadline - request.arrived):
            turned_away = True
            self.server.counters.add("stale requests")
        if size > LARGE and self.server.weigh(size):
            ask.weight = size
        elif size > LARGE:
            turned_away = True
        dispatcher.handle(
            dispatcher.request_turned_away if turned_away else dispatcher.request_arrived, ask, request
        )
        if ask.answer is dispatcher.TWICE:
            self.fault()

    def fault(self):
        """The error is on its way; what such a client sends next, maybe at full speed, can wait."""
        self.server.counters.add("bad requests")
        self.faults += 1
        with self.room:  # not once it stops: what came behind it may have no time left then
            self.wait(lambda: self.server.stopping, min(self.faults * PENALTY, MOST_PENALTY))

    def wait(self, ready, length=math.inf):
        """Waits, with `room` held, until it is ready or the connection broken, for so many seconds at most.
        Guards against a client that goes while its thread reads nothing more: then its end shows here alone,
        and what it asked would still be sent on."""
        until = time.monotonic() + length
        while not (self.broken or ready()) and (left := until - time.monotonic()) > 0:
            self.room.wait(min(left, GLANCE))
            if self.gone():
                self.end(LEFT)

    def gone(self):
        """Whether its client has gone, as far as can be seen. With `room` held, as our own SHUT_RD counts."""
        return hung_up(self.sock, read_side_ended=bool(self.reason))

    def put(self, ask):
        """Queues a command once there is room; OSError where its client can get no answer any more."""
        with self.room:
            self.wait(lambda: len(self.pending_requests) < MOST_ASKS and len(self.unsent) <= MOST_UNSENT)
            if self.broken:
                raise ConnectionResetError
            self.pending_requests.append(ask)
        if ask.answer is not None:
            self.flush()

    def turn_away(self, error):
        """What cannot be read gets an error, soon though earlier requests wait; then the connection ends."""
        with self.room:
            self.wait(lambda: not self.pending_requests, PATIENCE)
            if self.broken:
                return
            requests = self.unanswered()
        if requests:
            self.server.dispatcher.handle(self.server.dispatcher.cut_short, requests)
        self.put(PendingRequest(self, (), resp.error(f"ERR {error}")))
        with self.room, contextlib.suppress(OSError):
            self.wait(lambda: not (self.pending_requests or self.writing), SLOWEST)
            self.sock.shutdown(socket.SHUT_WR)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, seconds(DREGS_TIME / 2))
        # Closed with bytes unread, the connection would be reset, and the error might not be read.
        left, until = DREGS, time.monotonic() + DREGS_TIME
        with contextlib.suppress(OSError):
            while left > 0 and time.monotonic() < until and (data := self.sock.recv(65536)):
                left -= len(data)

    def unanswered(self):
        return [ask.request for ask in self.pending_requests if ask.request and ask.answer is None]

    def doubtful(self):
        return not self.asked or self.faults > 0

    def idle(self):
        """Whether it stands between requests, as far as can be seen from outside."""
        since = self.part_since  # once: its thread may end the part meanwhile
        part = since is not None and time.monotonic() - since < PART
        return not (self.pending_requests or self.unsent or part or self.reason)

    def leave(self, reason):
        """Has its thread close it if it stands between requests; what has come by now is read first."""
        with self.room:
            if self.idle():
                self.stop_reading(reason)

    def stop_reading(self, reason):
        self.reason = self.reason or reason
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def flush(self):
        """Writes what is next to be answered; what the client does not take at once goes by a thread."""
        with self.room:
            while self.pending_requests and self.pending_requests[0].answer is not None:
                ask = self.pending_requests.popleft()
                self.unsent += ask.answer
                self.answered = True
                if ask.weight:
                    self.server.weigh(-ask.weight)
            self.since = time.monotonic()
            if self.unsent and not self.writing:
                with contextlib.suppress(OSError):
                    del self.unsent[: self.sock.send(self.unsent, socket.MSG_DONTWAIT)]
                if self.unsent and not self.broken:
                    self.write_later()
            self.room.notify_all()
        if self.server.stopping:
            self.leave("stopping")

    def write_later(self):
        try:
            self.writing = True
            self.server.thread_pool.submit(self.drain)
        except RuntimeError:
            self.writing = False
            self.end("no thread")

    def drain(self):
        """Writes out all that is unsent, for as long as the client takes some of it now and then."""
        while True:
            with self.room:
                data = bytes(self.unsent[:65536])
                if not data or self.broken:
                    self.writing = False
                    return self.room.notify_all()
            try:
                sent = self.sock.send(data)  # waits for SLOWEST at most
            except BlockingIOError:
                self.end("slow reader")
            except OSError:
                self.end(RESET)
            else:
                with self.room:
                    del self.unsent[:sent]
                    self.since = time.monotonic()
                    self.room.notify_all()

    def end(self, reason):
        """Ends the connection from our side at once; its own thread then notices, and closes it."""
        with self.room, contextlib.suppress(OSError):
            self.reason, self.broken = self.reason or reason, True
            self.room.notify_all()
            self.sock.shutdown(socket.SHUT_RDWR)

    def in_vain(self):
        """Whether some of a request has come and nothing was answered, though it is a new connection."""
        return not self.answered and (self.asked or not self.reader.empty() or self.unread())

    def unread(self):
        """Whether bytes have come that were not read."""
        with contextlib.suppress(OSError):
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        return False

    def close(self, reason):
        self.end(reason)
        if not {reason, self.reason} & {LEFT, RESET} and self.in_vain():
            self.server.counters.add("new connections ended in vain")
        with self.room:
            while self.writing:
                self.room.wait()
            requests = self.unanswered()
            self.weight += sum(ask.weight for ask in self.pending_requests)
            self.pending_requests.clear()
            self.sock.close()
        self.server.weigh(-self.weight)
        if requests:
            self.server.dispatcher.handle(self.server.dispatcher.client_left, requests)
        self.server.gone(self)


class Server:
    """Listens, and keeps the clients' connections within their bound."""

    def __init__(self, config, dispatcher, thread_pool, log, counters):
        self.config, self.dispatcher, self.thread_pool, self.log, self.counters = (
            config,
            dispatcher,
            thread_pool,
            log,
            counters,
        )
        self.most, self.stopping, self.closing = config.connections // 2, False, False
        self.closed = threading.Event()
        self.clients, self.room = set(), threading.Condition()
        self.resting, self.resting_until = deque(), 0.0  # clients that may make room, as of not long ago
        self.held, self.most_held = 0, config.memory // 8  # bytes of large commands, of all clients
        self.sorting = None  # rules over requests, where they are switched on
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, seconds(KNOCKS))
        self.bound = False

    def open(self):
        """Raises OSError where another process listens at the address, or it is none of ours."""
        if not self.bound:
            self.listener.bind(self.config.listen)
            self.bound = True
        self.listener.listen(1024)

    def run(self):
        try:
            self.accept()
        finally:
            self.closed.set()

    def accept(self):
        while True:
            try:
                self.listener.setblocking(not self.closing)
                sock, _ = self.listener.accept()
            except BlockingIOError:  # none came for as long as KNOCKS
                if self.closing:
                    return
                continue
            except OSError as error:
                if self.listener.fileno() < 0:
                    return
                self.log.warning("accept failed", reason=str(error))
                time.sleep(0.05)
                continue
            try:
                self.admit(sock)
            except OSError:  # it was reset before it was looked at
                sock.close()

    def admit(self, sock):
        """Where all within the bound have a request, those of a few extra ones are rejected at once: what
        waited to be accepted would be late, and was begun nowhere. It could reject what would have found
        room a moment later. Those whose client gave up meanwhile cost no more than this look: else, once
        clients wait for too long, all that is done is done for those that have gone."""
        if hung_up(sock):
            self.counters.add("clients gone unaccepted")
            return sock.close()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, seconds(SLOWEST))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, seconds(LOOK))
        client = Client(sock, self, extra=not self.made_room())
        with self.room:
            self.clients.add(client)
        self.counters.add("clients accepted")
        self.hire(client, time.monotonic() + PART)

    def hire(self, client, until):
        """A thread for it; where none is to be had for so long, it is closed. What comes next waits to be
        accepted meanwhile."""
        while True:
            try:
                return self.thread_pool.submit(client.run)
            except RuntimeError:
                if time.monotonic() > until:
                    return client.close("no thread")
            time.sleep(HARDLY_USED)

    def made_room(self):
        """Whether there is room within the bound; past the extra clients it waits until one is gone. Those
        that never asked, or ask what makes no sense, make room before the usual ones."""
        while (count := len(self.clients)) >= self.most:
            full = count >= self.most + EXTRA
            if client := self.longest_idle(HARDLY_USED if full else UNUSED):
                client.leave("made room")
            if not full:
                return client is not None
            with self.room:
                self.room.wait(HARDLY_USED)
        return True

    def longest_idle(self, rest):
        """The client that is to make room, if one has had no request for so many seconds. All are looked at
        only once those found before are used up, or were found too long ago."""
        moment = time.monotonic()
        if not self.resting or moment > self.resting_until:
            with self.room:
                clients = list(self.clients)
            idle = [client for client in clients if client.idle()]
            idle.sort(key=lambda client: (not client.doubtful(), client.since))
            self.resting, self.resting_until = deque(idle), moment + MUTE
        while self.resting:
            client = self.resting.popleft()
            length = MUTE if client.doubtful() else rest
            if client.since < moment - length and client.idle():
                return client
        return None

    def crowded(self):
        """Whether more clients than the bound wait for answers. Guards against places held for nothing: those
        that say nothing must not have requests past the bound rejected."""
        with self.room:
            return sum(bool(client.pending_requests) for client in self.clients) > self.most

    def weigh(self, size):
        """Counts so many bytes more; False, and not counted, if that would be too many."""
        with self.room:
            if size > 0 and self.held + size > self.most_held:
                return False
            self.held += size
            return True

    def gone(self, client):
        """Last of all that its thread does, so that the bound on clients bounds threads."""
        self.counters.add(f"clients ended: {client.reason}")
        self.log.info("client ended", reason=client.reason)
        with self.room:
            self.clients.discard(client)
            self.room.notify_all()

    def close(self):
        """Once none waits to be accepted, as one that does may have asked already. Connections are ended as
        they are answered from now on, which also makes room for those."""
        self.closing = self.stopping = True
        self.closed.wait(10 * KNOCKS)  # some may go on coming
        self.listener.close()

    def close_idle(self):
        """Ends the clients' connections as they stand between requests, whether any are left. One that never
        asked is given a moment, as it was made to ask."""
        with self.room:
            clients = list(self.clients)
        asking = time.monotonic() - MUTE
        for client in clients:
            if client.asked or client.since < asking:
                client.leave("stopping")
        return bool(clients)

    def hurry(self, since):
        """Has each request that came after `since` answered now, with those before it on its connection, from
        which no more is read. Guards against clients whose connection stands between requests at no moment:
        what SIGKILL finds unanswered there would be lost. It gives up what might have been served."""
        with self.room:
            clients = list(self.clients)
        for client in clients:
            with client.room, contextlib.suppress(OSError):
                requests = client.unanswered()
                if not any(request.arrived > since for request in requests):
                    continue
                client.last, client.reason = True, client.reason or "stopping"
                client.sock.shutdown(socket.SHUT_RD)
            self.dispatcher.handle(self.dispatcher.cut_short, requests)

    def request(self, arrived, name, words):
        """A request from `Q.ASK key id extras` or `Q.DO key id extras [body]`; raises where it is no
        sense."""
        if len(words) not in WORDS.get(name, ()):
            raise ValueError("no such command")
        key, id, extras = words[1], words[2], words[3].decode()
        said = dict(pairs := [pair.split("=", 1) for pair in extras.split(",")])
        if len(said) < len(pairs) or not 0 < len(id) <= LONGEST_ID or len(key) > LONGEST_KEY:
            raise ValueError("a name twice, or an id or key out of bounds")
        request_class, hint = self.config.request_classes[said["c"]], said.get("h", "0")
        if not NUMBER.fullmatch(said["d"]) or not NUMBER.fullmatch(hint) or not (wait := float(said["d"])):
            raise ValueError("a wait or a hint that is no number")
        if request_class.effect == at.DEDUPLICATED and not 0 < len(said["k"]) <= LONGEST_ID:
            raise ValueError("an idempotency key out of bounds")
        if (request_class.effect == at.IDEMPOTENT) != (name == b"Q.ASK"):
            raise ValueError("this request class goes by the other command")
        tenant = self.config.tenants.get(said.get("t"), -1)
        deadline = arrived + ms_to_ns(wait)
        work, repeat = int(float(hint) * 1e3), said.get("r") == "1"
        request = at.Request(id, request_class, tenant, key, arrived, deadline, work, repeat)
        if self.sorting is not None:
            self.sorting.sort(arrived, request, words, said)
        return request
