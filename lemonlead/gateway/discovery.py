"""Discovery: a thread keeps a watch on the list, and opens a new one when the balancer asks for it."""

import json
import math
import threading
import time

from .. import interface as at
from ..start_settings import ms_to_ns
from . import http
from .config import MAX_LIST_DELAY_NS, address, now
from .sockets import readable
from .managed_connection import MAX_CROWDED_PAUSE_SECONDS, ManagedConnection, read_until

MOVED = 4_000_000_000  # nanoseconds after a move by which what discovery has counts as told
LOOK = 0.05  # seconds between looks whether news lie unread, for those that wait for them to be told
SILENCE = 4.5  # seconds without a whole line or list after which a watch is dead; one comes every 2 s


class Discovery:
    def __init__(self, config, dispatcher, log, counters):
        self.config, self.dispatcher, self.log, self.counters = config, dispatcher, log, counters
        self.list_requested = threading.Event()
        self.version = -1
        # On top of the balancer's own pause. A call that failed holds it to its list for four times this.
        crowded = min(
            config.start.max_list_call_gap / 1e9 or MAX_CROWDED_PAUSE_SECONDS, MAX_CROWDED_PAUSE_SECONDS
        )
        self.connection = ManagedConnection(config.discovery, config.start.seed, 0.05, 1.0, crowded)
        # Set once a list has come, or a watch has ended for another reason than too many callers.
        self.first_result = threading.Event()
        self.source = config.discovery  # whose list was last taken, or known to be ours
        # as of when the list here holds all that discovery has, or discovery was out of reach; 0: not known
        self.current_as_of, self.watch_started = 0, False
        self.merge = None  # with what a ledger says, where one is followed
        # The watch while it stands, and whether what it brought is being told: attempts wait for that.
        self.read_all, self.watched_sock, self.telling = threading.Condition(), None, False
        dispatcher.news = self

    def request_list(self):
        self.list_requested.set()

    def move(self, to):
        if self.connection.change_address(to):
            self.list_requested.set()

    def run(self):
        while True:
            # After an address change, a late list from the old address may have cleared the event.
            if not self.connection.address_changed:
                self.list_requested.wait()
            self.list_requested.clear()
            reason, detail = self.connection.run(self.watch)
            self.read_up_to(None)
            self.counters.add(f"watches ended: {reason}")
            self.log.info("watch ended", reason=reason, detail=detail, version=self.version)
            if reason != "unavailable":  # else it has a list, which counts
                self.first_result.set()
            if reason == "moved":
                self.current_as_of = min(self.current_as_of, now() + MOVED - MAX_LIST_DELAY_NS)
            elif reason in ("refused", "unreachable") or self.watch_started and reason in ("closed", "reset"):
                self.current_as_of = now()  # what it has from now on is not told yet
            # before the pause, in which the list ages already
            self.dispatcher.handle(self.dispatcher.balancer.list_failed, self.current_as_of)
            self.connection.pause_before_retry(crowded=reason == "unavailable")

    def watch(self):
        self.watch_started = False  # it has begun to tell us what changes
        sock, source = self.connection.connect(SILENCE)
        query = f"/api/targets?stream=1&index={self.version}"
        sock.sendall(f"GET {query} HTTP/1.1\r\nHost: {source[0]}:{source[1]}\r\n\r\n".encode())
        answer, objects, begun = http.Response(), http.JsonObjects(), time.monotonic()
        while True:
            while (line := answer.next()) is http.MORE and answer.status in (0, 200):
                self.read_up_to(sock)
                readable(sock, begun + SILENCE - time.monotonic())
                read_until(sock, begun + SILENCE)
                self.telling = True  # before it is read: from then on it does not lie on the socket any more
                if not answer.buffer.fill(sock.recv_into):
                    return "closed"
            if answer.status != 200:
                return "unavailable"  # before the rest of it, which may be long in coming
            if line is http.END:
                return "over"
            if text := objects.add(line):
                self.watch_started = True
                self.process_update(text, source)
            elif not (self.watch_started or line or objects.lines):
                self.watch_started = True  # a sign of life first: nothing has changed, so our list is current
                self.source = source  # also at a new address: who did not know our version would tell all
                self.dispatcher.handle(self.current)
            if self.watch_started:
                self.current_as_of = now()
            if not objects.lines:  # else half an object, and then signs of life alone
                begun = time.monotonic()

    def read_up_to(self, sock):
        """All that the watch has brought was told; `sock`: where more may lie, None once it has ended."""
        with self.read_all:
            self.watched_sock, self.telling = sock, False
            self.read_all.notify_all()

    def wait_until_told(self, until):
        """Waits while news of the list lie unread here, up to this moment at most: what drains counts as told
        when it was written, however long this process takes to read it."""
        while self.has_untold() and (left := until - now()) > 0:
            with self.read_all:
                self.read_all.wait(min(left / 1e9, LOOK))

    def has_untold(self):
        """Looked at by each attempt, so under no lock: a thread that looks would hold it for a whole turn."""
        sock = self.watched_sock
        return self.telling or sock is not None and readable(sock)

    def process_update(self, text, source):
        try:
            update = json.loads(text)
            version, lines, addresses = self.read(update)
            whole, update = bool(update.get("full")), None  # it may be large, and tells no more
        except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError, RecursionError) as error:
            raise http.Malformed(f"no list: {type(error).__name__}: {error}") from None
        if whole and source != self.source:
            self.version = -1  # another service may count anew, and its whole list needs no earlier one
        self.source = source
        self.dispatcher.handle(self.listed, version, lines, addresses, whole, True)
        self.connection.reset_pause()

    def read(self, update):
        """The version, the lines of the list and the instances' addresses from an object of discovery's. Its
        entries are taken out one by one: a whole list is large, and need not be there twice."""
        states = {"up": at.READY, "draining": at.DRAINING, "removed": at.GONE}
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
                at.Instance(
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
            where = None
            if state == at.READY:
                host, port = address(entry["addr"])
                where = host, ports.setdefault(port, port)  # most have one port: it need be there but once
            addresses[id] = where, lines[-1].started
        return int(number(update["version"], -1)), lines, addresses

    def listed(self, now, version, lines, addresses, whole, fresh):
        """Under the dispatcher's lock. A version that is not newer tells nothing but that discovery
        answers."""
        self.list_requested.clear()
        if version <= self.version:
            lines, addresses, whole = [], {}, False
        self.version = max(version, self.version)
        if self.merge is not None:
            lines, addresses = self.merge.listed(lines, addresses, whole)
        self.counters.add("lists told")
        self.publish(now, lines, addresses, whole, fresh)

    def current(self, now):
        """Under the dispatcher's lock. The list as it is here is the one that discovery has."""
        self.list_requested.clear()
        self.connection.reset_pause()
        self.first_result.set()
        self.dispatcher.balancer.list_received(now, [], False, True)

    def publish(self, now, lines, addresses, whole, fresh):
        """The one way by which the balancer learns of instances. Under the dispatcher's lock."""
        for id in [id for id in self.dispatcher.instances.pools if id not in addresses] if whole else ():
            self.dispatcher.instances.listed(id, None, 0)
        for id, (where, started) in addresses.items():
            self.dispatcher.instances.listed(id, where, started)
        self.dispatcher.balancer.list_received(now, lines, whole, fresh)
        if fresh:
            self.first_result.set()


def number(value, otherwise):
    """It, or what stands for null; an error where it is no finite number that is not negative."""
    if value is None:
        return otherwise
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise ValueError(f"no number: {value!r}"[:100])
    return value
