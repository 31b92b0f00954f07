"""Client connections: one thread reads each connection, and responses go out in the order of the commands."""

import contextlib
import math
import re
import socket
import threading
import time
import traceback
from collections import deque

from .. import interface
from ..start_settings import ms_to_ns
from . import resp
from .admission import is_stale
from .config import now
from .sockets import hung_up, seconds, unacknowledged_bytes, unread_for

# Of one client; past either limit nothing more is read from it.
MAX_PENDING_REQUESTS = 64
MAX_UNSENT_BYTES = 1 << 18
SEND_TIMEOUT_SECONDS = 5  # a client that takes none of its responses for this long is disconnected
ACCEPT_TIMEOUT_SECONDS = 0.1
MAX_EXTRA_CLIENTS = 8  # connections past the limit, whose requests are rejected
READ_TIMEOUT_SECONDS = 0.25  # after this long without a byte, a connection is checked for idleness
# From a connection's start to its first command, and from a command's first byte to its last.
MAX_COMMAND_SECONDS = 0.9
# An idle connection is closed after this time, because some clients send one request and then hold their
# connection. The shorter time holds once half the limit is in use.
MAX_IDLE_SECONDS = 2.0
MAX_IDLE_SECONDS_CROWDED = 0.25
# The time without a request after which a connection may be closed to make room. The shorter it is, the more
# probable it is that the next request is already on its way.
MIN_IDLE_SECONDS_SUSPECT = 0.1  # of a client that sent no command or an invalid one
MIN_IDLE_SECONDS = 0.5  # of other clients, when the limit is reached
MIN_IDLE_SECONDS_FULL = 0.05  # of other clients, when the extra connections are used too
THREAD_RETRY_SECONDS = 0.05  # between attempts to start a thread
ROOM_CHECK_SECONDS = 0.05  # between checks for an idle connection while all connections are used
# After malformed input: how long earlier requests are waited for, and how many bytes are still read, for how
# long, so that the client receives the error.
ERROR_WAIT_SECONDS = 0.5
MAX_DISCARDED_BYTES = 1 << 18
MAX_DISCARD_SECONDS = 0.2
HANGUP_CHECK_SECONDS = 0.05  # between checks for a hangup while nothing is read from the client
ENDING_POLL_SECONDS = 0.01  # between reads and checks of a connection that the gateway is ending
# The delay before more is read after an invalid command; it grows with each one.
PENALTY_SECONDS = 0.1
MAX_PENALTY_SECONDS = 1.0
LARGE_COMMAND_BYTES = 8192  # a longer command counts against the memory limit of all clients
# The reasons of a connection that the client ended, with FIN or with RST.
CLIENT_CLOSED = "client closed"
RESET = "reset"
WORD_COUNTS = {b"Q.ASK": (4,), b"Q.DO": (4, 5)}  # the allowed number of words by command
MAX_ID_LENGTH = 128
MAX_KEY_LENGTH = 1024
NUMBER = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)


class PendingRequest:
    """One command of a client, and its response once there is one."""

    __slots__ = ("client", "words", "answer", "request", "counted_bytes")

    def __init__(self, client, words, answer=None, request=None):
        self.client = client
        self.words = words
        self.answer = answer
        self.request = request
        self.counted_bytes = 0  # its size, if it counts against the memory limit of all clients


class Client:
    """One client connection. `condition` guards its pending requests, its unsent bytes and the reason of its
    end. Only the connection's own thread reads and closes it. Other threads ask that thread to, so that
    everything received by then is still answered."""

    def __init__(self, sock, server, over_limit):
        self.sock = sock
        self.server = server
        self.over_limit = over_limit  # it was accepted past the limit
        self.reader = resp.Reader(commands=True)
        self.condition = threading.Condition()
        self.pending_requests = deque()  # those without a sent response, in order
        self.unsent = bytearray()
        self.writing = False  # another thread sends what the socket did not accept immediately
        self.reason = None  # why the gateway ends the connection
        self.is_draining = False
        self.broken = False  # nothing more can be sent
        # When bytes of a response were last sent or queued, or last seen not acknowledged.
        self.last_response_at = time.monotonic()
        self.counted_unsent = 0  # of `unsent`, as counted in the server's sum
        self.sent_bytes = 0  # of responses, to the kernel
        # How many of them the client's system had as `check_progress` found more under way, and when it first
        # found that many; none while nothing is under way.
        self.taken_bytes, self.taken_at = None, 0.0
        self.partial_since = None  # when the current partial command was first seen
        self.has_sent_command = False  # a whole command has arrived
        self.invalid_commands = 0  # invalid commands
        self.counted_bytes = 0  # the size of the read buffer, if it counts against the memory limit
        self.has_had_response = False  # it has had a response, so it is no longer a new connection

    def run(self):
        reason = "fault"
        try:
            reason = self.read()
        except resp.Malformed as error:
            reason = "malformed"
            with contextlib.suppress(OSError):
                self.reject_malformed(error)
        except OSError:
            reason = RESET
        except Exception:
            self.server.dispatcher.fault(traceback.format_exc())
        finally:
            self.close(reason)

    def read(self):
        """Reads and handles commands until the connection ends. Returns the reason of the end."""
        while True:
            if self.is_draining:
                with self.condition:
                    self.wait_until(lambda: not (self.pending_requests or self.unsent))
                while not (self.broken or self.has_taken_all()):
                    time.sleep(ENDING_POLL_SECONDS)
                    self.check_progress()
                return self.reason
            try:
                count = self.reader.buffer.fill(self.sock.recv_into)
            except BlockingIOError:  # nothing arrived within READ_TIMEOUT_SECONDS
                self.check_progress()
                self.end_if_idle()
            else:
                if not count and (self.reason is None or self.broken or self.is_done()):
                    return self.reason or CLIENT_CLOSED
                if not count and self.wait_while_ending():
                    return self.reason
            while (words := self.reader.next()) is not resp.MORE:
                with self.condition:
                    if self.has_hung_up():  # while the connection or the command waited
                        return CLIENT_CLOSED
                self.partial_since = None
                self.handle_command(words)
            self.check_partial_command()

    def is_done(self):
        """Returns whether nothing is left to answer and the client's system has all responses. A partial
        command counts as left, since its rest will arrive."""
        with self.condition:
            return self.has_taken_all() and self.reader.empty()

    def wait_while_ending(self):
        """Waits for responses, the rest of a command or the client's system, while the gateway ends the
        connection. Returns whether it may be closed. Otherwise more is read, because the client may not have
        known of the end when it sent. What arrives with the last acknowledgement is not read, and the client
        sends it again on a new connection: one that sends without pause would never be done."""
        with self.condition:
            if self.pending_requests or self.unsent:
                self.wait_until(lambda: not (self.pending_requests or self.unsent))
                return False
        time.sleep(ENDING_POLL_SECONDS)
        self.check_progress()
        return self.is_done()

    def has_taken_all(self):
        """Returns whether the client's system has all responses. Until then the connection is in use: after a
        close, the next bytes from the client would make our kernel reset the connection and drop the rest of
        a response."""
        return not (self.pending_requests or self.unsent or unacknowledged_bytes(self.sock))

    def check_progress(self):
        """Ends the connection if the client's system has taken no byte of its responses for
        SEND_TIMEOUT_SECONDS. The connection counts as idle only from when all are taken."""
        with self.condition:
            time_now, unacknowledged = time.monotonic(), unacknowledged_bytes(self.sock)
            if not (self.unsent or unacknowledged):
                self.taken_bytes = None
                return
            if (taken := self.sent_bytes - unacknowledged) != self.taken_bytes:
                self.taken_bytes, self.taken_at = taken, time_now
            self.last_response_at = time_now
        if time_now - self.taken_at >= SEND_TIMEOUT_SECONDS:
            self.end("slow reader")

    def end_if_idle(self):
        """Ends the connection if it has been idle, or without a first command, for too long. What has arrived
        by then is read first. Clients may have a connection limit of their own, and idle
        connections use it up long before our limit is reached. A connection that would have been
        used again may be closed; its client reconnects."""
        max_idle = (
            MAX_IDLE_SECONDS
            if len(self.server.clients) < self.server.max_clients // 2
            else MAX_IDLE_SECONDS_CROWDED
        )
        with self.condition:
            is_expired = time.monotonic() - self.last_response_at >= (
                max_idle if self.has_sent_command else MAX_COMMAND_SECONDS
            )
            if is_expired and self.has_taken_all() and self.reader.empty():
                self.shut_down_reading("rest" if self.has_sent_command else "silent")

    def check_partial_command(self):
        """Raises Malformed for a partial command that takes too long, and for one that would exceed the
        memory limit of all clients. Bytes that arrived while this thread was delayed are read before the
        command counts as too slow. This ends, because a command's length is limited."""
        if self.reader.empty():
            self.partial_since = None
        elif self.partial_since is None:
            self.partial_since = time.monotonic()
        elif time.monotonic() - self.partial_since > MAX_COMMAND_SECONDS and not self.has_unread_bytes():
            raise resp.Malformed("half a command")
        size = len(self.reader.buffer.data) if len(self.reader.buffer) else 0  # an empty buffer shrinks
        size = size if size > LARGE_COMMAND_BYTES else 0
        if size != self.counted_bytes:
            if not self.server.reserve_bytes(size - self.counted_bytes):
                raise resp.Malformed("no room for so large a command")
            self.counted_bytes = size

    def handle_command(self, words):
        # The client's timeout runs from when it sent the command, also while that waits to be read.
        unread = unread_for(self.sock)
        arrived, name = now() - unread, words[0].upper()
        self.has_sent_command = True
        if name == b"PING":
            return self.enqueue(PendingRequest(self, (), b"+PONG\r\n"))
        try:
            request = self.server.parse_request(arrived, name, words)
        except (ValueError, KeyError) as error:
            text = f"{type(error).__name__}: {error}"[:100]
            self.enqueue(PendingRequest(self, (), resp.error(f"ERR no request: {text}")))
            return self.penalize()
        pending, size = PendingRequest(self, words, None, request), sum(map(len, words))
        self.enqueue(pending)
        dispatcher, rejects_on_arrival = (
            self.server.dispatcher,
            self.over_limit and self.server.is_over_limit(),
        )
        if is_stale(unread, request.deadline - request.arrived):
            rejects_on_arrival = True
            self.server.counters.add("stale requests")
        if size > LARGE_COMMAND_BYTES and self.server.reserve_bytes(size):
            pending.counted_bytes = size
        elif size > LARGE_COMMAND_BYTES:
            rejects_on_arrival = True
        dispatcher.handle(
            dispatcher.reject_on_arrival if rejects_on_arrival else dispatcher.request_arrived,
            pending,
            request,
        )
        if pending.answer is dispatcher.DUPLICATE_ID_ERROR:
            self.penalize()

    def penalize(self):
        """Delays the reading of more commands after an invalid one, because such a client may send at full
        speed. The error response is queued already."""
        self.server.counters.add("bad requests")
        self.invalid_commands += 1
        with self.condition:  # no delay while stopping, because later commands may have no time left
            self.wait_until(
                lambda: self.server.stopping,
                min(self.invalid_commands * PENALTY_SECONDS, MAX_PENALTY_SECONDS),
            )

    def wait_until(self, ready, timeout=math.inf):
        """Waits, with `condition` held, until `ready()` is true or the connection is broken, for at most
        `timeout` seconds. A client that hangs up while its thread reads nothing is noticed only here; its
        requests would otherwise still be sent to instances."""
        until = time.monotonic() + timeout
        while not (self.broken or ready()) and (left := until - time.monotonic()) > 0:
            self.condition.wait(min(left, HANGUP_CHECK_SECONDS))
            if self.has_hung_up():
                self.end(CLIENT_CLOSED)

    def has_hung_up(self):
        """Returns whether the client has hung up, as far as the kernel shows. Called with `condition` held,
        because our own SHUT_RD changes what it shows."""
        return hung_up(self.sock, read_side_ended=bool(self.reason))

    def enqueue(self, pending):
        """Queues a command once there is room. Raises OSError if the client can receive no response."""
        with self.condition:
            self.wait_until(
                lambda: len(self.pending_requests) < MAX_PENDING_REQUESTS
                and len(self.unsent) <= self.server.max_unsent_bytes_of_client()
            )
            if self.broken:
                raise ConnectionResetError
            self.pending_requests.append(pending)
        if pending.answer is not None:
            self.flush()

    def reject_malformed(self, error):
        """Answers malformed input with an error and ends the connection. Earlier requests get at most
        ERROR_WAIT_SECONDS to finish; then they are aborted."""
        with self.condition:
            self.wait_until(lambda: not self.pending_requests, ERROR_WAIT_SECONDS)
            if self.broken:
                return
            requests = self.unanswered_requests()
        if requests:
            self.server.dispatcher.handle(self.server.dispatcher.abort_requests, requests)
        self.enqueue(PendingRequest(self, (), resp.error(f"ERR {error}")))
        with self.condition, contextlib.suppress(OSError):
            self.wait_until(self.has_taken_all, SEND_TIMEOUT_SECONDS)
            self.sock.shutdown(socket.SHUT_WR)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, seconds(MAX_DISCARD_SECONDS / 2))
        # A close with unread bytes would reset the connection, and the client might not read the error.
        left, until = MAX_DISCARDED_BYTES, time.monotonic() + MAX_DISCARD_SECONDS
        with contextlib.suppress(OSError):
            while left > 0 and time.monotonic() < until and (data := self.sock.recv(65536)):
                left -= len(data)

    def unanswered_requests(self):
        return [
            pending.request for pending in self.pending_requests if pending.request and pending.answer is None
        ]

    def is_suspect(self):
        """Returns whether the client has sent no command at all, or an invalid one."""
        return not self.has_sent_command or self.invalid_commands > 0

    def is_idle(self):
        """Returns whether the connection is between requests, as far as another thread can see."""
        since = self.partial_since  # read once, because the client's thread may reset it meanwhile
        has_partial = since is not None and time.monotonic() - since < MAX_COMMAND_SECONDS
        return not (self.pending_requests or self.unsent or has_partial or self.reason)

    def close_when_idle(self, reason):
        """Makes the client's thread close the connection if it is idle. What has arrived is read first."""
        with self.condition:
            if self.is_idle():
                self.shut_down_reading(reason)

    def shut_down_reading(self, reason):
        self.reason = self.reason or reason
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def flush(self):
        """Sends the responses that are next in order. A thread of the pool sends what the socket does not
        accept immediately."""
        with self.condition:
            while self.pending_requests and self.pending_requests[0].answer is not None:
                pending = self.pending_requests.popleft()
                self.unsent += pending.answer
                self.has_had_response = True
                if pending.counted_bytes:
                    self.server.reserve_bytes(-pending.counted_bytes)
            self.last_response_at = time.monotonic()
            if self.unsent and not self.writing:
                with contextlib.suppress(OSError):
                    self.remove_sent(self.sock.send(self.unsent, socket.MSG_DONTWAIT))
                if self.unsent and not self.broken:
                    self.write_later()
            self.count_unsent()
            self.condition.notify_all()
        if self.server.unsent_bytes > self.server.max_unsent_bytes:
            self.server.end_slow_readers()
        if self.server.stopping:
            self.close_when_idle("stopping")

    def count_unsent(self):
        """Counts `unsent` in the server's sum. Called with `condition` held after it has changed."""
        if change := len(self.unsent) - self.counted_unsent:
            self.counted_unsent += change
            self.server.add_unsent(change)

    def remove_sent(self, count):
        del self.unsent[:count]
        self.sent_bytes += count

    def write_later(self):
        try:
            self.writing = True
            self.server.thread_pool.submit(self.write_unsent)
        except RuntimeError:
            self.writing = False
            self.end("no thread")

    def write_unsent(self):
        """Sends all unsent bytes, unless the client takes none of them for SEND_TIMEOUT_SECONDS."""
        while True:
            with self.condition:
                data = bytes(self.unsent[:65536])
                if not data or self.broken:
                    self.writing = False
                    return self.condition.notify_all()
            try:
                sent = self.sock.send(data)  # blocks for SEND_TIMEOUT_SECONDS at most
            except BlockingIOError:
                self.end("slow reader")
            except OSError:
                self.end(RESET)
            else:
                with self.condition:
                    self.remove_sent(sent)
                    self.count_unsent()
                    self.last_response_at = time.monotonic()
                    self.condition.notify_all()

    def end(self, reason):
        """Shuts the connection down immediately. Its own thread notices this and closes the socket."""
        with self.condition, contextlib.suppress(OSError):
            self.reason, self.broken = self.reason or reason, True
            self.condition.notify_all()
            self.sock.shutdown(socket.SHUT_RDWR)

    def ended_without_response(self):
        """Returns whether this is a new connection that sent at least part of a request and got no
        response."""
        return not self.has_had_response and (
            self.has_sent_command or not self.reader.empty() or self.has_unread_bytes()
        )

    def has_unread_bytes(self):
        """Returns whether bytes have arrived that are not read yet."""
        with contextlib.suppress(OSError):
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        return False

    def close(self, reason):
        self.end(reason)
        if not {reason, self.reason} & {CLIENT_CLOSED, RESET} and self.ended_without_response():
            self.server.counters.add("new connections ended in vain")
        with self.condition:
            while self.writing:
                self.condition.wait()
            requests = self.unanswered_requests()
            self.counted_bytes += sum(pending.counted_bytes for pending in self.pending_requests)
            self.pending_requests.clear()
            self.unsent.clear()
            self.count_unsent()
            self.sock.close()
        self.server.reserve_bytes(-self.counted_bytes)
        if requests:
            self.server.dispatcher.handle(self.server.dispatcher.client_left, requests)
        self.server.client_ended(self)


class Server:
    """Listens for clients, and keeps their connections within the configured limit."""

    def __init__(self, config, dispatcher, thread_pool, log, counters):
        self.config = config
        self.dispatcher = dispatcher
        self.thread_pool = thread_pool
        self.log = log
        self.counters = counters
        self.max_clients = config.connections // 2
        self.stopping = False  # each connection ends after its responses
        self.closing = False  # only connections that wait already are accepted
        self.closed = threading.Event()
        self.clients, self.condition = set(), threading.Condition()
        # Candidates for closing, found at most MIN_IDLE_SECONDS_SUSPECT ago.
        self.idle_clients, self.idle_clients_until = deque(), 0.0
        self.large_command_bytes = 0  # of all clients
        self.max_large_command_bytes = config.memory // 8
        self.unsent_bytes = 0  # of all clients: responses that their systems have no room for
        self.max_unsent_bytes = config.memory // 8
        self.request_rules = None  # set if LEMONLEAD_SETTINGS names a file
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, seconds(ACCEPT_TIMEOUT_SECONDS))
        self.bound = False

    def open(self):
        """Binds and listens. Raises OSError if another process listens at the address, or if this machine
        does not have it."""
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
            except BlockingIOError:  # none within ACCEPT_TIMEOUT_SECONDS
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
            except OSError:  # it was reset before the checks
                sock.close()

    def admit(self, sock):
        """Accepts one connection. If all connections within the limit have a request, the requests of a few
        extra connections are rejected immediately. Waiting would make them miss their deadline, and
        rejecting is safe because no attempt was sent. This can reject a request that would have found room a
        little later."""
        # Without this check, once clients wait for too long, all work would be done for clients that have
        # gone.
        if hung_up(sock):
            self.counters.add("clients gone unaccepted")
            return sock.close()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, seconds(SEND_TIMEOUT_SECONDS))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, seconds(READ_TIMEOUT_SECONDS))
        client = Client(sock, self, over_limit=not self.make_room())
        with self.condition:
            self.clients.add(client)
        self.counters.add("clients accepted")
        self.start_client(client, time.monotonic() + MAX_COMMAND_SECONDS)

    def start_client(self, client, until):
        """Starts the client's thread, and closes the connection if the system gives none by `until`. Later
        connections wait to be accepted meanwhile."""
        while True:
            try:
                return self.thread_pool.submit(client.run)
            except RuntimeError:
                if time.monotonic() > until:
                    return client.close("no thread")
            time.sleep(THREAD_RETRY_SECONDS)

    def make_room(self):
        """Returns whether there is room within the limit, and closes an idle connection if there is none.
        Past the extra connections it waits until one has ended. Suspect clients are closed first."""
        while (count := len(self.clients)) >= self.max_clients:
            full = count >= self.max_clients + MAX_EXTRA_CLIENTS
            if client := self.pick_idle_client(MIN_IDLE_SECONDS_FULL if full else MIN_IDLE_SECONDS):
                client.close_when_idle("made room")
            if not full:
                return client is not None
            with self.condition:
                self.condition.wait(ROOM_CHECK_SECONDS)
        return True

    def pick_idle_client(self, min_idle):
        """Returns the client to close, or None if none has been idle for `min_idle` seconds. All clients are
        searched only when the earlier candidates are used up or too old."""
        time_now = time.monotonic()
        if not self.idle_clients or time_now > self.idle_clients_until:
            with self.condition:
                clients = list(self.clients)
            idle = [client for client in clients if client.is_idle() and client.has_taken_all()]
            idle.sort(key=lambda client: (not client.is_suspect(), client.last_response_at))
            self.idle_clients, self.idle_clients_until = deque(idle), time_now + MIN_IDLE_SECONDS_SUSPECT
        while self.idle_clients:
            client = self.idle_clients.popleft()
            needed = MIN_IDLE_SECONDS_SUSPECT if client.is_suspect() else min_idle
            if client.last_response_at < time_now - needed and client.is_idle():
                return client
        return None

    def is_over_limit(self):
        """Returns whether more clients than the limit wait for responses. Idle connections must not cause the
        rejection of requests on extra connections."""
        with self.condition:
            return sum(bool(client.pending_requests) for client in self.clients) > self.max_clients

    def reserve_bytes(self, size):
        """Counts `size` more bytes of large commands; a negative size releases them. Returns False and counts
        nothing if that would exceed the limit."""
        with self.condition:
            if size > 0 and self.large_command_bytes + size > self.max_large_command_bytes:
                return False
            self.large_command_bytes += size
            return True

    def add_unsent(self, change):
        with self.condition:
            self.unsent_bytes += change

    def max_unsent_bytes_of_client(self):
        """Returns how many unsent bytes a client may have while more of its commands are read."""
        return MAX_UNSENT_BYTES if self.unsent_bytes <= self.max_unsent_bytes // 2 else 0

    def end_slow_readers(self):
        """Ends the clients with the most unsent bytes until the others are within the memory limit."""
        with self.condition:
            clients = sorted(
                (client for client in self.clients if not client.broken),
                key=lambda client: len(client.unsent),
            )
        left = sum(len(client.unsent) for client in clients)
        while left > self.max_unsent_bytes and clients:
            client = clients.pop()
            left -= len(client.unsent)
            self.counters.add("slow readers ended for memory")
            client.end("slow reader")

    def client_ended(self, client):
        """The last step of a client's thread, so that the limit on clients also limits threads."""
        self.counters.add(f"clients ended: {client.reason}")
        self.log.info("client ended", reason=client.reason)
        with self.condition:
            self.clients.discard(client)
            self.condition.notify_all()

    def close(self):
        """Closes the listener once no connection waits to be accepted, because a waiting one may have sent a
        request already. From now on connections end after their responses, which also makes room for the
        waiting ones."""
        self.closing = self.stopping = True
        self.closed.wait(10 * ACCEPT_TIMEOUT_SECONDS)  # new connections may keep arriving
        self.listener.close()

    def close_idle(self):
        """Ends the idle connections, and returns whether there were any connections. One that has sent no
        command yet is given MIN_IDLE_SECONDS_SUSPECT, since it was probably opened to send one."""
        with self.condition:
            clients = list(self.clients)
        new_since = time.monotonic() - MIN_IDLE_SECONDS_SUSPECT
        for client in clients:
            if client.has_sent_command or client.last_response_at < new_since:
                client.close_when_idle("stopping")
        return bool(clients)

    def abort_requests_after(self, since):
        """Aborts each request that arrived after `since`, together with the earlier ones on the same
        connection, and stops reading there. A connection that is never idle would otherwise still have
        unanswered requests at SIGKILL. Some of the aborted requests might have been served."""
        with self.condition:
            clients = list(self.clients)
        for client in clients:
            with client.condition, contextlib.suppress(OSError):
                requests = client.unanswered_requests()
                if not any(request.arrived > since for request in requests):
                    continue
                client.is_draining, client.reason = True, client.reason or "stopping"
                client.sock.shutdown(socket.SHUT_RD)
            self.dispatcher.handle(self.dispatcher.abort_requests, requests)

    def parse_request(self, arrived, name, words):
        """Returns the request of `Q.ASK key id extras` or `Q.DO key id extras [body]`. Raises ValueError or
        KeyError if it is invalid. `arrived`: nanoseconds. The extras are `name=value` pairs: c request class,
        d the client's timeout (ms), h work hint (ms), k idempotency key, t tenant, r=1 a repeat."""
        if len(words) not in WORD_COUNTS.get(name, ()):
            raise ValueError("no such command")
        key, id, extras = words[1], words[2], words[3].decode()
        fields = dict(pairs := [pair.split("=", 1) for pair in extras.split(",")])
        if len(fields) < len(pairs) or not 0 < len(id) <= MAX_ID_LENGTH or len(key) > MAX_KEY_LENGTH:
            raise ValueError("a name twice, or an id or key out of bounds")
        request_class, hint = self.config.request_classes[fields["c"]], fields.get("h", "0")
        if (
            not NUMBER.fullmatch(fields["d"])
            or not NUMBER.fullmatch(hint)
            or not (timeout := float(fields["d"]))
        ):
            raise ValueError("a wait or a hint that is no number")
        if request_class.effect == interface.DEDUPLICATED and not 0 < len(fields["k"]) <= MAX_ID_LENGTH:
            raise ValueError("an idempotency key out of bounds")
        if (request_class.effect == interface.IDEMPOTENT) != (name == b"Q.ASK"):
            raise ValueError("this request class goes by the other command")
        tenant = self.config.tenants.get(fields.get("t"), -1)
        deadline = arrived + ms_to_ns(timeout)
        work, repeat = int(float(hint) * 1e3), fields.get("r") == "1"
        request = interface.Request(id, request_class, tenant, key, arrived, deadline, work, repeat)
        if self.request_rules is not None:
            self.request_rules.apply(arrived, request, words, fields)
        return request
