"""Instances: a thread for each send, one lookup a connection at a time, connections kept for the next."""

import contextlib
import socket
import threading
from collections import deque

from .. import interface as at
from . import resp
from .place import now

SPARE = 0.9  # an unused connection is closed after this part of the time told, before the instance does


class Connection:
    def __init__(self, pool):
        self.pool, self.sock = pool, socket.socket()
        self.reader = resp.Reader()
        self.used = 0  # when its last answer came

    def connect(self, until):
        self.sock.settimeout(max((until - now()) / 1e9, 0.001))
        self.sock.connect(self.pool.address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def alive(self):
        """Whether nothing has come on it, its end included, while it was unused."""
        try:
            self.sock.settimeout(None)
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) and False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def write(self, data, until):
        self.sock.settimeout(max((until - now()) / 1e9, 0.001))
        self.sock.sendall(data)

    def read(self, until):
        """The next whole value; raises TimeoutError, OSError or Malformed."""
        while (value := self.reader.next()) is resp.MORE:
            left = (until - now()) / 1e9
            if left <= 0:
                raise TimeoutError
            self.sock.settimeout(left)
            with self.reader.buffer.room() as room:
                count = self.sock.recv_into(room)
            if not count:
                raise ConnectionResetError
            self.reader.buffer.filled(count)
        return value


class Pool:
    """One instance's address and its unused connections, the longest unused first."""

    def __init__(self, address):
        self.address, self.unused = address, deque()


class Trip:
    """One send under way."""

    def __init__(self, send, pool, words, until):
        self.send, self.pool, self.words, self.until = send, pool, words, until
        self.connection, self.withdrawn, self.written = None, False, False


class Instances:
    def __init__(self, place, desk, log, counters):
        self.desk, self.log, self.counters = desk, log, counters
        self.idle_time, self.connect_time = int(place.start.idle_time * SPARE), place.start.connect_time
        self.most = place.sockets * 3 // 8
        self.open = 0  # connections that stand or are being made
        self.lock = threading.Lock()
        self.pools, self.trips = {}, {}  # by the instance's id; by send

    def listed(self, id, address):
        """Under the desk's lock. None: it drains or is gone, and its unused connections close."""
        old = self.pools.get(id)
        if old is not None and old.address != address:
            del self.pools[id]
            self.desk.chores.append((self.clear, old))
        if address is not None and id not in self.pools:
            self.pools[id] = Pool(address)

    def clear(self, pool):
        with self.lock:
            unused, pool.unused = list(pool.unused), deque()
        for connection in unused:
            self.end(connection, "instance gone")

    def trip(self, send, id, words, until):
        """Under the desk's lock."""
        trip = self.trips[send] = Trip(send, self.pools.get(id), words, until)
        return trip

    def start(self, trip):
        threading.Thread(target=self.carry, args=(trip,), daemon=True).start()

    def withdraw(self, send):
        with self.lock:
            trip = self.trips.get(send)
            if trip is None:
                return
            trip.withdrawn = True
            if trip.connection is not None and trip.written:
                self.shut(trip.connection)

    def shut(self, connection):
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_RDWR)

    def carry(self, trip):
        end, value = self.attempt(trip)
        connection = trip.connection
        with self.lock:
            self.trips.pop(trip.send, None)
            keep = end in (at.SUCCEEDED, at.ERRED, at.REJECTED, at.NOT_SENT) and not trip.withdrawn
            if keep and connection is not None:
                connection.used = now()
                trip.pool.unused.append(connection)
        if connection is not None and not keep:
            self.end(connection, end)
        self.desk.tell(self.desk.send_ended, trip.send, end, value)

    def attempt(self, trip):
        """How the send ended, and the value if it succeeded. What may have run is never said not to have."""
        try:
            self.reach(trip)
            with self.lock:
                if trip.withdrawn or trip.connection is None:
                    return at.NOT_SENT, None
            if not self.desk.may_begin(trip.send):
                return at.NOT_SENT, None
            wait = max((trip.until - now()) // 1_000_000, 1)
            trip.connection.write(resp.command(passed_on(trip.words, wait)), trip.until)
        except OSError:
            return at.UNCONNECTED, None
        with self.lock:
            trip.written = True
            if trip.withdrawn:
                self.shut(trip.connection)
        try:
            value = trip.connection.read(trip.until)
        except TimeoutError:
            return at.TIMED_OUT, None
        except resp.Malformed as error:
            self.log.warning("instance unreadable", reason=str(error))
            return at.RESET, None
        except OSError:
            return at.WITHDRAWN if trip.withdrawn else at.RESET, None
        if isinstance(value, list) and value and type(value[0]) is bytes:
            return at.SUCCEEDED, value[0]
        if isinstance(value, resp.Fault) and value.split(b" ")[0] == b"BUSY":
            return at.REJECTED, None
        if not isinstance(value, resp.Fault) or not value.startswith(b"ERR failed"):
            self.log.warning("instance answered oddly", reason=repr(value)[:200])
        return at.ERRED, None

    def reach(self, trip):
        """Finds an unused connection that still stands, or makes one. Without room for one there is none."""
        pool, ended = trip.pool, []
        if pool is None:
            return
        with self.lock:
            while pool.unused and pool.unused[0].used + self.idle_time < now():
                ended.append((pool.unused.popleft(), "unused"))
            while pool.unused and trip.connection is None:
                connection = pool.unused.pop()
                if connection.alive():
                    trip.connection = connection
                else:
                    ended.append((connection, "closed by instance"))
            made = trip.connection is None and self.open < self.most
            if made:
                self.open += 1
        for connection, reason in ended:
            self.end(connection, reason)
        if made:
            try:
                trip.connection = Connection(pool)
            except OSError:
                with self.lock:
                    self.open -= 1
                raise
            self.counters.add("connections made")
            trip.connection.connect(min(trip.until, now() + self.connect_time))

    def end(self, connection, reason):
        connection.sock.close()
        with self.lock:
            self.open -= 1
        self.counters.add(f"connections ended: {reason}")
        self.log.info("connection ended", instance=connection.pool.address[0], reason=reason)


def passed_on(words, wait):
    """The client's command as an instance gets it: as it came, but for the wait in `d`."""
    extras = [b"d=%d" % wait if pair.startswith(b"d=") else pair for pair in words[3].split(b",")]
    return [*words[:3], b",".join(extras), *words[4:]]
