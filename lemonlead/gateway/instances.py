"""Connections to instances: a thread for each attempt, and a pool of unused connections for each instance.

A connection carries one request at a time. All times are nanoseconds."""

import contextlib
import socket
import struct
import threading
import time
import traceback

from .. import interface
from ..start_settings import NS_PER_MS
from . import resp
from .config import now
from .sockets import unread_for

# An unused connection is closed after this share of the configured idle time, before the instance closes it.
IDLE_SHARE = 0.9
# A connection is not used again for this long after its last response, because instances may send a second
# copy some milliseconds late, and this is the longest of "some milliseconds". A later copy is found by
# `Instances.read_response`, which costs the request a round trip. A request that finds no other connection
# waits for this time; a new connection would cost the instance more.
REUSE_DELAY_NS = 10 * NS_PER_MS
# Commands that run nothing, and their responses. They show where the response to the command before ends.
# Where probes are allowed, PING would be one, which the instance has to work for.
PING = resp.command([b"PING"]), resp.fingerprint(resp.Status(b"PONG"))
SELECT = resp.command([b"SELECT", b"0"]), resp.fingerprint(resp.Status(b"OK"))
# The ends of attempts that received a whole response.
ANSWERED = (interface.SUCCEEDED, interface.ERRED, interface.REJECTED, interface.BAD_REQUEST)


class Connection:
    """A connection to an instance. Methods with `until` raise TimeoutError once that time has passed."""

    def __init__(self, pool):
        self.pool, self.sock = pool, socket.socket()
        self.reader = resp.Reader()
        self.idle_since = now()  # the time of the last response; before the first one, of the creation
        self.connected_at = 0
        self.last_response = None  # the fingerprint of the last response
        self.out_of_step = False  # a response is still to come that belongs to no request

    def connect(self, until):
        self.sock.settimeout(time_left(until) / 1e9)
        self.sock.connect(self.pool.address)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connected_at = now()

    def wait_until_reusable(self):
        """Waits until REUSE_DELAY_NS after the last response. Returns whether it had to wait."""
        if (wait := self.idle_since + REUSE_DELAY_NS - now()) > 0:
            time.sleep(wait / 1e9)
        return wait > 0

    def is_quiet(self):
        """Returns whether nothing arrived while the connection was unused: neither its end nor a response
        that nobody waits for."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return self.reader.empty()
        except OSError:
            pass
        return False

    def write(self, data, until):
        """Sends all of `data`, without blocking if the socket's buffer has room; for most commands it has."""
        with contextlib.suppress(BlockingIOError):
            data = data[self.sock.send(data, socket.MSG_DONTWAIT) :]
        while data:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, socket_timeout(until))
            data = data[self.sock.send(data) :]

    def read(self, until):
        """Returns the next whole value. Raises TimeoutError, OSError or Malformed."""
        while (value := self.reader.next()) is resp.MORE:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, socket_timeout(until))
            try:
                count = self.reader.buffer.fill(self.sock.recv_into)
            except BlockingIOError:
                raise TimeoutError from None
            if not count:
                raise ConnectionResetError
        self.acknowledge()
        return value

    def acknowledge(self):
        """Acknowledges at once what was read. The kernel would delay that until our next write, and the
        peer's kernel keeps a second small response back until then (Nagle's algorithm): it would arrive
        behind the next request. The option lasts only until the next write."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)


def time_left(until):
    if (wait := until - now()) <= 0:
        raise TimeoutError
    return wait


def socket_timeout(until):
    """Returns the time left as a `struct timeval`. It is at least 1 us, because zero would mean no limit."""
    return struct.pack("ll", *divmod(max(time_left(until) // 1000, 1), 1_000_000))


class Pool:
    """One instance since its last start: its address and its unused connections, the longest unused first."""

    __slots__ = "address", "started", "unused", "closed"

    def __init__(self, address, started):
        self.address, self.started, self.closed = address, started, False

    def __getattr__(self, name):
        """Creates `unused` at the first access, because most instances never need it."""
        if name != "unused":
            raise AttributeError(name)
        self.unused = []  # a list takes a tenth of a deque's memory, and each pool has few connections
        return self.unused

    def pop_longest_unused(self):
        """Removes and returns a connection, or returns None if there is none."""
        return self.unused.pop(0) if self.unused else None

    def connection_free_at(self):
        """Returns the time from which the longest unused connection may be used again; 0 if there is none."""
        return self.unused[0].idle_since + REUSE_DELAY_NS if self.unused else 0


class AttemptInFlight:
    """One attempt and its connection. `until`: the time at which it times out."""

    def __init__(self, attempt, pool, words, until):
        self.attempt, self.pool, self.words, self.until = attempt, pool, words, until
        self.connection, self.cancelled = None, False
        # Whether its first byte may have been written, and whether its last byte has been.
        self.begun = self.written = False


class Instances:
    """The pools of all instances and the attempts in flight. `lock` guards both and the number of open
    connections. A thread that needs the dispatcher's lock too takes that one first."""

    def __init__(self, config, dispatcher, thread_pool, log, counters):
        self.dispatcher, self.thread_pool, self.log, self.counters = dispatcher, thread_pool, log, counters
        self.idle_time = int(config.start.idle_time * IDLE_SHARE)
        self.connect_time = config.start.connect_time
        self.marker, self.marker_response = SELECT if config.start.may_probe else PING
        self.max_connections, self.open_connections = config.connections // 2, 0  # including those being made
        self.lock = threading.Lock()
        self.pools, self.attempts_in_flight = {}, {}  # by the instance's id; by attempt
        self.used_pools = set()  # the pools for which a connection was ever begun

    # ---- under the dispatcher's lock

    def listed(self, id, address, started):
        """Updates one instance; `address` is None if it drains or is gone. The unused connections of an
        instance that restarted or moved are closed."""
        with self.lock:
            old = self.pools.get(id)
            if old is not None and (old.address, old.started) != (address, started):
                del self.pools[id]
                self.used_pools.discard(old)
                old.closed = True  # no attempt begins there any more
                self.dispatcher.deferred_actions.append((self.close_unused, old))
            if address is not None and id not in self.pools:
                self.pools[id] = Pool(address, started)

    def prepare(self, attempt, id, words, until):
        """Returns a new attempt in flight. It takes the longest unused connection now, if there is one, so
        that the next decision sees only what is left."""
        in_flight = AttemptInFlight(attempt, self.pools.get(id), words, until)
        with self.lock:
            self.attempts_in_flight[attempt] = in_flight
            if in_flight.pool is not None:
                in_flight.connection = in_flight.pool.pop_longest_unused()
                attempt.connection_free_at = in_flight.pool.connection_free_at()
        return in_flight

    def drop_unwritten(self, attempts):
        """Stops those attempts of an answered request that are not written in full, before their last
        byte."""
        with self.lock:
            for in_flight in filter(None, map(self.attempts_in_flight.get, attempts)):
                if not in_flight.written:
                    self.abort(in_flight)

    # ---- without the dispatcher's lock

    def close_unused(self, pool):
        with self.lock:
            unused, pool.unused = pool.unused, []
        for connection in unused:
            self.close(connection, "instance gone")

    def start(self, in_flight):
        try:
            self.thread_pool.submit(self.run, in_flight)
        except RuntimeError:  # the system gives no thread
            self.finish(in_flight, interface.NOT_SENT, None)

    def cancel(self, attempt):
        with self.lock:
            if (in_flight := self.attempts_in_flight.get(attempt)) is not None:
                self.abort(in_flight)

    def abort(self, in_flight):
        in_flight.cancelled = True
        if in_flight.begun:
            with contextlib.suppress(OSError):
                in_flight.connection.sock.shutdown(socket.SHUT_RDWR)

    def run(self, in_flight):
        """Runs an attempt on a thread of the pool. Its reported duration leaves out the wait for the thread
        and the time for which the response lay unread. Otherwise all instances would look slow to a
        gateway that lacks processor time."""
        started_at = now()
        try:
            end, value = self.execute(in_flight)
        except Exception:  # an attempt always ends, and one that may have run never ends as not sent
            self.dispatcher.fault(traceback.format_exc())
            end, value = (interface.RESET if in_flight.begun else interface.UNCONNECTED), None
        unread = unread_for(in_flight.connection.sock) if end in ANSWERED else 0
        in_flight.attempt.took = max(now() - started_at - unread, 0)
        self.finish(in_flight, end, value)

    def finish(self, in_flight, end, value):
        """Returns the attempt's connection to its pool or closes it, and reports the end."""
        connection, pool, to_close = in_flight.connection, in_flight.pool, []
        with self.lock:
            del self.attempts_in_flight[in_flight.attempt]
            clean = end in (interface.SUCCEEDED, interface.ERRED, interface.REJECTED, interface.NOT_SENT)
            keep = clean and not (in_flight.begun and in_flight.cancelled)
            more = (
                keep and connection is not None and (connection.out_of_step or not connection.reader.empty())
            )
            if connection is not None and keep and not more and not pool.closed:
                if (
                    end == interface.NOT_SENT
                ):  # the instance's idle timer was not reset, so ours is not either
                    pool.unused.insert(0, connection)
                else:
                    connection.idle_since = now()
                    pool.unused.append(connection)
            elif connection is not None:
                # Bytes after the response would be mistaken for the response to the next request.
                to_close.append((connection, "more came" if more else "instance gone" if keep else end))
            if connection is not None and end in (
                interface.TIMED_OUT,
                interface.RESET,
                interface.UNCONNECTED,
            ):
                # A machine that vanished leaves open connections that stay silent even after it is back.
                # For a machine that is only slow, this may close good connections, at the cost of a new
                # connection each.
                to_close += [
                    (old, "instance silent")
                    for old in pool.unused
                    if old.idle_since < in_flight.attempt.sent_at
                ]
                pool.unused = [old for old in pool.unused if old.idle_since >= in_flight.attempt.sent_at]
            in_flight.attempt.connection_free_at = 0 if pool is None else pool.connection_free_at()
        for connection, reason in to_close:
            self.close(connection, reason)
        self.dispatcher.handle(self.dispatcher.attempt_ended, in_flight.attempt, end, value)

    def execute(self, in_flight):
        """Returns how the attempt ended, and the value if it succeeded."""
        try:
            while True:
                if (is_new := self.get_connection(in_flight)) is False and (
                    in_flight.connection.wait_until_reusable()
                ):
                    self.counters.add("connections rested")
                write_until = (
                    0
                    if is_new is None or in_flight.cancelled
                    else self.dispatcher.write_deadline(in_flight.attempt)
                )
                if not write_until:
                    return interface.NOT_SENT, None
                # The last check before writing. Unexpected bytes would be taken for this request's response,
                # and if the connection has ended, nothing of this attempt has been written.
                if is_new or in_flight.connection.is_quiet():
                    break
                self.close(in_flight.connection, "instance closed")
                in_flight.connection = None
            with self.lock:
                if in_flight.cancelled or in_flight.pool.closed:
                    return interface.NOT_SENT, None
                in_flight.begun = True
            in_flight.attempt.connected_since = in_flight.connection.connected_at
            wait = max((in_flight.until - now()) // NS_PER_MS, 1)
            in_flight.connection.write(
                resp.command(forwarded_words(in_flight.words, wait)), min(in_flight.until, write_until)
            )
        except OSError:
            return (
                interface.NOT_SENT if in_flight.begun and in_flight.cancelled else interface.UNCONNECTED
            ), None
        with self.lock:
            in_flight.written = True
            if in_flight.cancelled:
                self.abort(in_flight)
        try:
            value = self.read_response(in_flight)
        except TimeoutError:
            return interface.TIMED_OUT, None
        except resp.Malformed:
            return interface.UNREADABLE, None
        except OSError:
            return interface.CANCELLED if in_flight.cancelled else interface.RESET, None
        return classify_response(value)

    def read_response(self, in_flight):
        """Returns the response to this attempt. One that equals the response before it on the connection may
        be a late second copy of that. Responses come in the order of the commands, so a command that runs
        nothing tells them apart: what precedes its own response answers this attempt or is a copy. Raises as
        `Connection.read`, and Malformed if an error may belong to either command."""
        connection = in_flight.connection
        value = connection.read(in_flight.until)
        if (seen := resp.fingerprint(value)) != connection.last_response:
            connection.last_response = seen
            return value
        self.counters.add("responses confirmed")
        connection.write(self.marker, in_flight.until)
        while seen == connection.last_response:
            following = connection.read(in_flight.until)
            seen = resp.fingerprint(following)
        if seen == self.marker_response:
            return value
        self.counters.add("late responses skipped")
        connection.out_of_step = True  # it is closed, because the marker's response is still to come
        if isinstance(following, resp.Fault) and following.startswith(b"ERR"):
            raise resp.Malformed("an error that may belong to either of two commands")
        return following

    def get_connection(self, in_flight):
        """Gives the attempt the longest unused connection, or makes a new one. Returns whether it is new, or
        None if the limit allows none. The longest unused one is the least likely to bring a late response."""
        pool, to_close = in_flight.pool, []
        if pool is None:
            return None
        with self.lock:
            in_flight.connection = in_flight.connection or pool.pop_longest_unused()
            while (
                in_flight.connection is not None and in_flight.connection.idle_since + self.idle_time < now()
            ):
                to_close.append(in_flight.connection)
                in_flight.connection = pool.pop_longest_unused()
        for connection in to_close:
            self.close(connection, "unused")
        if in_flight.connection is not None:
            return False
        if not self.make_room():
            return None
        with self.lock:
            if not pool.closed:
                self.used_pools.add(pool)
        try:
            in_flight.connection = Connection(pool)
        except (OSError, MemoryError):  # no descriptor or no memory is left
            with self.lock:
                self.open_connections -= 1
            return None
        self.counters.add("connections made")
        in_flight.connection.connect(min(in_flight.until, now() + self.connect_time))
        return True

    def make_room(self):
        """Counts one more connection. At the limit it closes the one that is longest unused; returns False if
        there is none."""
        with self.lock:
            self.open_connections += 1
            if self.open_connections <= self.max_connections:
                return True
            unused = [pool.unused for pool in self.used_pools if pool.unused]
            if not unused:
                self.open_connections -= 1
                return False
            oldest = min(unused, key=lambda connections: connections[0].idle_since).pop(0)
        self.close(oldest, "made room")
        return True

    def close(self, connection, reason):
        connection.sock.close()
        with self.lock:
            self.open_connections -= 1
        self.counters.add(f"connections ended: {reason}")
        self.log.info("connection ended", instance=connection.pool.address[0], reason=reason)


def classify_response(value):
    """Returns how an attempt ended by the whole value that was received, and the request's result if it
    succeeded. A value that the protocol does not list ends as UNREADABLE; only the load report may be any
    value that can be parsed."""
    if type(value) is list and len(value) == 3 and type(value[0]) is bytes and value[1] is None:
        return interface.SUCCEEDED, value[0]
    if isinstance(value, resp.Fault):
        if value == b"ERR failed":
            return interface.ERRED, None
        if value.split(b" ")[0] == b"BUSY":
            return interface.REJECTED, None
        if value.startswith(b"ERR ") or value == b"SYNTAX":
            return interface.BAD_REQUEST, None  # any other error is about the command
    return interface.UNREADABLE, None


def forwarded_words(words, wait):
    """Returns the client's command as the instance receives it: unchanged but for the timeout in `d`, which
    is `wait` milliseconds."""
    extras = [b"d=%d" % wait if pair.startswith(b"d=") else pair for pair in words[3].split(b",")]
    return [*words[:3], b",".join(extras), *words[4:]]
