"""The discovery client: a thread watches the list of instances and reopens the watch when it is asked to."""

import json
import math
import threading
import time

from .. import interface
from ..start_settings import ms_to_ns
from . import http
from .call_pauses import max_crowded_pause_seconds, max_pause_seconds
from .config import MAX_LIST_DELAY_NS, address, now
from .managed_connection import ManagedConnection, read_until
from .sockets import readable

# The time after a change of address from which the balancer is assumed to have the new service's list.
MAX_LIST_DELAY_AFTER_MOVE_NS = 4_000_000_000
MIN_PAUSE_SECONDS = 0.05  # before the watch is opened again
UNREAD_CHECK_SECONDS = 0.05  # between checks for unread updates while an attempt waits for them
# A watch without a whole line or list for this long is dead; the service sends a line every 2 s.
SILENCE_TIMEOUT_SECONDS = 4.5


class Discovery:
    """Keeps the balancer's list of instances up to date from the discovery service."""

    def __init__(self, config, dispatcher, log, counters):
        self.config, self.dispatcher, self.log, self.counters = config, dispatcher, log, counters
        self.list_requested = threading.Event()
        self.version = -1
        self.connection = ManagedConnection(
            config.discovery,
            config.start.seed,
            MIN_PAUSE_SECONDS,
            max_pause_seconds(config.start),
            max_crowded_pause_seconds(config.start),
        )
        # Set once a list has arrived, or a watch has ended for another reason than too many callers.
        self.first_result = threading.Event()
        self.source = config.discovery  # the address of the service whose versions we know
        # The time, in nanoseconds, as of which our list has all that discovery has, or discovery was out of
        # reach; 0 if unknown.
        self.current_as_of, self.watch_started = 0, False
        self.merge = None  # merges the list with the ledger's, if a ledger is followed
        # The socket of the open watch, and whether something read from it is not processed yet. Attempts wait
        # for that.
        self.processed, self.watch_socket, self.processing = threading.Condition(), None, False
        dispatcher.list_source = self

    def request_list(self):
        self.list_requested.set()

    def change_address(self, address):
        if self.connection.change_address(address):
            self.list_requested.set()

    def run(self):
        while True:
            # After an address change, a late list from the old address may have cleared the event.
            if not self.connection.address_changed:
                self.list_requested.wait()
            self.list_requested.clear()
            reason, detail = self.connection.run(self.watch)
            self.mark_processed(None)
            self.counters.add(f"watches ended: {reason}")
            self.log.info("watch ended", reason=reason, detail=detail, version=self.version)
            if reason != "unavailable":  # a service that is only overloaded still has a list to wait for
                self.first_result.set()
            if reason == "moved":
                self.current_as_of = min(
                    self.current_as_of, now() + MAX_LIST_DELAY_AFTER_MOVE_NS - MAX_LIST_DELAY_NS
                )
            elif reason in ("refused", "unreachable") or self.watch_started and reason in ("closed", "reset"):
                self.current_as_of = now()  # changes from now on have not been sent to us
            turned_away = reason == "unavailable" or reason in ("closed", "reset") and not self.watch_started
            # Reported before the pause, during which the list already ages.
            self.dispatcher.handle(self.dispatcher.balancer.list_failed, self.current_as_of, turned_away)
            self.connection.pause_before_retry(crowded=reason == "unavailable")

    def watch(self):
        """Opens a watch and processes its updates until it ends. Returns the reason of the end."""
        self.watch_started = False  # whether the service has begun to send changes
        sock, source = self.connection.connect(SILENCE_TIMEOUT_SECONDS)
        query = f"/api/targets?stream=1&index={self.version}"
        sock.sendall(f"GET {query} HTTP/1.1\r\nHost: {source[0]}:{source[1]}\r\n\r\n".encode())
        response, objects, begun = http.Response(), http.JsonObjects(), time.monotonic()
        while True:
            while (line := response.next()) is http.MORE and response.status in (0, 200):
                self.mark_processed(sock)
                readable(sock, begun + SILENCE_TIMEOUT_SECONDS - time.monotonic())
                read_until(sock, begun + SILENCE_TIMEOUT_SECONDS)
                self.processing = True  # set before the read, after which the bytes are not on the socket
                if not response.buffer.fill(sock.recv_into):
                    return "closed"
            if response.status != 200:
                return "unavailable"  # without waiting for the body, which may take long
            if line is http.END:
                return "over"
            if text := objects.add(line):
                self.watch_started = True
                self.process_update(text, source)
            elif not (self.watch_started or line or objects.lines):
                # The first line is a keepalive: nothing has changed, so our list is current. This holds at a
                # new address too: a service that did not know our version would send its whole list.
                self.watch_started = True
                self.source = source
                self.dispatcher.handle(self.list_is_current)
            if self.watch_started:
                self.current_as_of = now()
            if not objects.lines:  # keepalives within an unfinished object do not count
                begun = time.monotonic()

    def mark_processed(self, sock):
        """Notes that all that was read from the watch is processed. `sock`: the watch's socket, where more
        may have arrived, or None if the watch has ended."""
        with self.processed:
            self.watch_socket, self.processing = sock, False
            self.processed.notify_all()

    def wait_until_processed(self, until):
        """Waits while updates of the list are unprocessed, at most until this time in nanoseconds. A drain
        counts as announced when discovery has written it, no matter how long this process takes to read
        it."""
        while self.has_unprocessed() and (left := until - now()) > 0:
            with self.processed:
                self.processed.wait(min(left / 1e9, UNREAD_CHECK_SECONDS))

    def has_unprocessed(self):
        """Returns whether updates are unread or unprocessed. Every attempt calls this, so it takes no lock: a
        waiting thread would hold it for a whole time slice of the interpreter."""
        sock = self.watch_socket
        return self.processing or sock is not None and readable(sock)

    def process_update(self, text, source):
        try:
            update = json.loads(text)
            version, lines, addresses = self.parse_update(update)
            whole, update = bool(update.get("full")), None  # frees it, since it may be large
        except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError, RecursionError) as error:
            raise http.Malformed(f"no list: {type(error).__name__}: {error}") from None
        if whole and source != self.source:
            self.version = -1  # another service may number its versions differently
        self.source = source
        self.dispatcher.handle(self.listed, version, lines, addresses, whole, True)
        self.connection.reset_pause()

    def parse_update(self, update):
        """Returns the version, the lines of the list, and the instances' addresses and start times of one of
        discovery's objects. Empties the object's list of entries, because a whole list is large and need not
        be in memory twice. Raises ValueError, TypeError, KeyError, AttributeError or ArithmeticError."""
        states = {"up": interface.READY, "draining": interface.DRAINING, "removed": interface.GONE}
        lines, addresses, ports = [], {}, {}
        entries, update["servers"] = [*update["servers"]], None
        entries.reverse()
        while entries:
            entry = entries.pop()
            id, state = entry["id"], states[entry["state"]]
            if type(id) is not str:
                raise ValueError("an id that is no text")
            build, cell, weight, started = (
                number(entry.get(name), otherwise)
                for name, otherwise in (("revision_no", 0), ("cell", 0), ("weight", 1.0), ("started_ms", 0))
            )
            lines.append(
                interface.Instance(
                    id,
                    self.config.zones.get(entry.get("zone"), -1),
                    self.config.kinds.get(entry.get("kind"), -1),
                    int(build),
                    int(cell),
                    state,
                    float(weight),
                    ms_to_ns(started),
                )
            )
            instance_address = None
            if state == interface.READY:
                host, port = address(entry["addr"])
                # Most instances have the same port, so they share one int object.
                instance_address = host, ports.setdefault(port, port)
            addresses[id] = instance_address, lines[-1].started
        return int(number(update["version"], -1)), lines, addresses

    def listed(self, now, version, lines, addresses, whole, fresh):
        """Processes a list or its changes, under the dispatcher's lock. A version that is not newer shows
        only that discovery answers."""
        self.list_requested.clear()
        if version <= self.version:
            lines, addresses, whole = [], {}, False
        self.version = max(version, self.version)
        if self.merge is not None:
            lines, addresses = self.merge.listed(lines, addresses, whole)
        self.counters.add("lists told")
        self.publish(now, lines, addresses, whole, fresh)

    def list_is_current(self, now):
        """Notes, under the dispatcher's lock, that our list is the one that discovery has."""
        self.list_requested.clear()
        self.connection.reset_pause()
        self.first_result.set()
        self.dispatcher.balancer.list_received(now, [], False, True)

    def publish(self, now, lines, addresses, whole, fresh):
        """Passes changes of the list on to the connection pools and the balancer, which learns of instances
        in no other way. Called under the dispatcher's lock."""
        for id in [id for id in self.dispatcher.instances.pools if id not in addresses] if whole else ():
            self.dispatcher.instances.listed(id, None, 0)
        for id, (instance_address, started) in addresses.items():
            self.dispatcher.instances.listed(id, instance_address, started)
        self.dispatcher.balancer.list_received(now, lines, whole, fresh)
        if fresh:
            self.first_result.set()


def number(value, otherwise):
    """Returns the value, or `otherwise` for None. Raises ValueError for anything but a finite, non-negative
    number."""
    if value is None:
        return otherwise
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise ValueError(f"no number: {value!r}"[:100])
    return value
