"""Instances: a thread for each attempt, one request a connection at a time, connections kept for the next."""

import contextlib
import socket
import struct
import threading
import time
import traceback

from .. import interface as at
from ..start_settings import NS
from . import resp
from .config import now
from .sockets import unread_for

IDLE_SHARE = 0.9  # an unused connection is closed after this part of the time told, before the instance does
# A connection is not used again for so long after its last answer: a second one may come milliseconds late,
# and one that came between the last look and the next answer would be taken for that. It costs a request
# that finds no other so much time; a new connection would cost the instance more.
SETTLE = 10 * NS
# The endings of attempts that brought a whole answer.
ANSWERED = (at.SUCCEEDED, at.ERRED, at.REJECTED, at.BAD_REQUEST)


class Connection:
    def __init__(self, pool):
        self.pool, self.sock = pool, socket.socket()
        self.reader = resp.Reader()
        self.used = now()  # when its last answer came or, before the first, when it was begun
        self.made = 0  # when it had come up

    def connect(self, until):
        self.sock.settimeout(left(until) / 1e9)
        self.sock.connect(self.pool.address)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.made = now()

    def settle(self):
        """Waits until it has rested, and says whether it had to."""
        if (wait := self.used + SETTLE - now()) > 0:
            time.sleep(wait / 1e9)
        return wait > 0

    def quiet(self):
        """Whether nothing has come while it was unused: neither its end nor an answer that nobody awaits."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return self.reader.empty()
        except OSError:
            pass
        return False

    def write(self, data, until):
        """At once where the socket has room, as it has for most commands."""
        with contextlib.suppress(BlockingIOError):
            data = data[self.sock.send(data, socket.MSG_DONTWAIT) :]
        while data:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit(until))
            data = data[self.sock.send(data) :]

    def read(self, until):
        """The next whole value; raises TimeoutError, OSError or Malformed."""
        while (value := self.reader.next()) is resp.MORE:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit(until))
            try:
                count = self.reader.buffer.fill(self.sock.recv_into)
            except BlockingIOError:
                raise TimeoutError from None
            if not count:
                raise ConnectionResetError
        return value


def left(until):
    if (wait := until - now()) <= 0:
        raise TimeoutError
    return wait


def limit(until):
    """The time left, as the socket takes it: nothing at all would be no limit."""
    return struct.pack("ll", *divmod(max(left(until) // 1000, 1), 1_000_000))


class Pool:
    """One instance since its last start: its address and unused connections, the longest unused first."""

    __slots__ = "address", "started", "unused", "closed"

    def __init__(self, address, started):
        self.address, self.started, self.closed = address, started, False

    def __getattr__(self, name):
        """`unused`: made when first looked at, as few of many instances are."""
        if name != "unused":
            raise AttributeError(name)
        self.unused = []  # which takes a tenth of a deque, and there are few in each
        return self.unused

    def longest_unused(self):
        """It is out of the pool then; None where there is none."""
        return self.unused.pop(0) if self.unused else None

    def connection_free_at(self):
        """The moment from which the one longest unused may be used again; 0 where there is none."""
        return self.unused[0].used + SETTLE if self.unused else 0


class AttemptInFlight:
    """One attempt under way."""

    def __init__(self, attempt, pool, words, until):
        self.attempt, self.pool, self.words, self.until = attempt, pool, words, until
        self.connection, self.cancelled = None, False
        self.begun = self.written = False  # from its first byte on, from its last


class Instances:
    """`lock` guards pools, trips and the count of connections; where both are held, it is taken second."""

    def __init__(self, config, dispatcher, thread_pool, log, counters):
        self.dispatcher, self.thread_pool, self.log, self.counters = dispatcher, thread_pool, log, counters
        self.idle_time = int(config.start.idle_time * IDLE_SHARE)
        self.connect_time = config.start.connect_time
        self.most, self.open = config.connections // 2, 0  # connections that stand or are being made
        self.lock = threading.Lock()
        self.pools, self.attempts_in_flight = {}, {}  # by the instance's id; by attempt
        self.reached = set()  # the pools to which a connection was begun

    # ---- under the dispatcher's lock

    def listed(self, id, address, started):
        """Without an address it drains or is gone. Unused connections to what it was before are closed."""
        with self.lock:
            old = self.pools.get(id)
            if old is not None and (old.address, old.started) != (address, started):
                del self.pools[id]
                self.reached.discard(old)
                old.closed = True  # nothing new begins there
                self.dispatcher.deferred_actions.append((self.clear, old))
            if address is not None and id not in self.pools:
                self.pools[id] = Pool(address, started)

    def prepare(self, attempt, id, words, until):
        """An attempt to be started. It has the connection longest unused, if there is one, so that what is
        left is what the next one finds."""
        in_flight = AttemptInFlight(attempt, self.pools.get(id), words, until)
        with self.lock:
            self.attempts_in_flight[attempt] = in_flight
            if in_flight.pool is not None:
                in_flight.connection = in_flight.pool.longest_unused()
                attempt.connection_free_at = in_flight.pool.connection_free_at()
        return in_flight

    def drop(self, attempts):
        """Their request is over: of those that are not written whole the last byte is written no more."""
        with self.lock:
            for in_flight in filter(None, map(self.attempts_in_flight.get, attempts)):
                if not in_flight.written:
                    self.shut(in_flight)

    # ---- not under it

    def clear(self, pool):
        with self.lock:
            unused, pool.unused = pool.unused, []
        for connection in unused:
            self.end(connection, "instance gone")

    def start(self, in_flight):
        try:
            self.thread_pool.submit(self.carry, in_flight)
        except RuntimeError:  # no thread to be had
            self.over(in_flight, at.NOT_SENT, None)

    def cancel(self, attempt):
        with self.lock:
            if (in_flight := self.attempts_in_flight.get(attempt)) is not None:
                self.shut(in_flight)

    def shut(self, in_flight):
        in_flight.cancelled = True
        if in_flight.begun:
            with contextlib.suppress(OSError):
                in_flight.connection.sock.shutdown(socket.SHUT_RDWR)

    def carry(self, in_flight):
        """Neither the time until a thread took it up nor that for which its answer lay unread counts as its
        instance's: short of its own processor, a gateway would take all instances for slow."""
        taken_up = now()
        try:
            end, value = self.outcome(in_flight)
        except Exception:  # an attempt always ends, and what may have run is never said not to have
            self.dispatcher.fault(traceback.format_exc())
            end, value = (at.RESET if in_flight.begun else at.UNCONNECTED), None
        unread = unread_for(in_flight.connection.sock) if end in ANSWERED else 0
        in_flight.attempt.took = max(now() - taken_up - unread, 0)
        self.over(in_flight, end, value)

    def over(self, in_flight, end, value):
        connection, pool, ended = in_flight.connection, in_flight.pool, []
        with self.lock:
            del self.attempts_in_flight[in_flight.attempt]
            clean = end in (at.SUCCEEDED, at.ERRED, at.REJECTED, at.NOT_SENT)
            keep = clean and not (in_flight.begun and in_flight.cancelled)
            more = keep and connection is not None and not connection.reader.empty()
            if connection is not None and keep and not more and not pool.closed:
                if end == at.NOT_SENT:  # the instance's clock goes on: so does ours
                    pool.unused.insert(0, connection)
                else:
                    connection.used = now()
                    pool.unused.append(connection)
            elif connection is not None:
                # More than an answer, or half of one, would be taken for the next request's.
                ended.append((connection, "more came" if more else "instance gone" if keep else end))
            if connection is not None and end in (at.TIMED_OUT, at.RESET, at.UNCONNECTED):
                # Guards against a machine that vanished: its open connections stay silent also once it is
                # back. It could close good ones of a machine that is slow; those cost a new one each.
                ended += [
                    (old, "instance silent") for old in pool.unused if old.used < in_flight.attempt.sent_at
                ]
                pool.unused = [old for old in pool.unused if old.used >= in_flight.attempt.sent_at]
            in_flight.attempt.connection_free_at = 0 if pool is None else pool.connection_free_at()
        for connection, reason in ended:
            self.end(connection, reason)
        self.dispatcher.handle(self.dispatcher.attempt_ended, in_flight.attempt, end, value)

    def outcome(self, in_flight):
        """How the attempt ended, and the value if it succeeded."""
        try:
            while True:
                if (made := self.reach(in_flight)) is False and in_flight.connection.settle():
                    self.counters.add("connections rested")
                by = (
                    0 if made is None or in_flight.cancelled else self.dispatcher.may_begin(in_flight.attempt)
                )
                if not by:
                    return at.NOT_SENT, None
                # Looked at last of all: what comes unasked would be taken for this request's answer, and on a
                # connection that has ended nothing of this attempt has been written.
                if made or in_flight.connection.quiet():
                    break
                self.end(in_flight.connection, "instance closed")
                in_flight.connection = None
            with self.lock:
                if in_flight.cancelled or in_flight.pool.closed:
                    return at.NOT_SENT, None
                in_flight.begun = True
            in_flight.attempt.connected_since = in_flight.connection.made
            wait = max((in_flight.until - now()) // NS, 1)
            in_flight.connection.write(
                resp.command(passed_on(in_flight.words, wait)), min(in_flight.until, by)
            )
        except OSError:
            return (at.NOT_SENT if in_flight.begun and in_flight.cancelled else at.UNCONNECTED), None
        with self.lock:
            in_flight.written = True
            if in_flight.cancelled:
                self.shut(in_flight)
        try:
            value = in_flight.connection.read(in_flight.until)
        except TimeoutError:
            return at.TIMED_OUT, None
        except resp.Malformed:
            return at.UNREADABLE, None
        except OSError:
            return at.CANCELLED if in_flight.cancelled else at.RESET, None
        return ending(value)

    def reach(self, in_flight):
        """Has the connection longest unused, or makes one, and says whether it did; None where there is no
        room for one. The longest unused is the least likely to bring more than it should."""
        pool, ended = in_flight.pool, []
        if pool is None:
            return None
        with self.lock:
            in_flight.connection = in_flight.connection or pool.longest_unused()
            while in_flight.connection is not None and in_flight.connection.used + self.idle_time < now():
                ended.append(in_flight.connection)
                in_flight.connection = pool.longest_unused()
        for connection in ended:
            self.end(connection, "unused")
        if in_flight.connection is not None:
            return False
        if not self.make_room():
            return None
        with self.lock:
            if not pool.closed:
                self.reached.add(pool)
        try:
            in_flight.connection = Connection(pool)
        except (OSError, MemoryError):  # no descriptor or no room to be had
            with self.lock:
                self.open -= 1
            return None
        self.counters.add("connections made")
        in_flight.connection.connect(min(in_flight.until, now() + self.connect_time))
        return True

    def make_room(self):
        """Counts one connection more; at the bound the one that is longest unused goes. False if none is."""
        with self.lock:
            self.open += 1
            if self.open <= self.most:
                return True
            unused = [pool.unused for pool in self.reached if pool.unused]
            if not unused:
                self.open -= 1
                return False
            oldest = min(unused, key=lambda connections: connections[0].used).pop(0)
        self.end(oldest, "made room")
        return True

    def end(self, connection, reason):
        connection.sock.close()
        with self.lock:
            self.open -= 1
        self.counters.add(f"connections ended: {reason}")
        self.log.info("connection ended", instance=connection.pool.address[0], reason=reason)


def ending(value):
    """How an attempt ended by the whole value that came back, and the request's answer if it succeeded. What
    the protocol does not list is spoilt, but for a load report, which may be anything that can be read."""
    if type(value) is list and len(value) == 3 and type(value[0]) is bytes and value[1] is None:
        return at.SUCCEEDED, value[0]
    if isinstance(value, resp.Fault):
        if value == b"ERR failed":
            return at.ERRED, None
        if value.split(b" ")[0] == b"BUSY":
            return at.REJECTED, None
        if value.startswith(b"ERR ") or value == b"SYNTAX":
            return at.BAD_REQUEST, None  # another error that can be read speaks of the command
    return at.UNREADABLE, None


def passed_on(words, wait):
    """The client's command as an instance gets it: as it came, but for the wait in `d`."""
    extras = [b"d=%d" % wait if pair.startswith(b"d=") else pair for pair in words[3].split(b",")]
    return [*words[:3], b",".join(extras), *words[4:]]
