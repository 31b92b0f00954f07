"""The gateway's thread: asks relays what `subscriber.py` says, hands what they tell to whoever puts it in
force, and acknowledges that after it was."""

import contextlib
import os
import socket
import threading
import time

from ..gateway import http
from ..gateway.config import address, now
from ..gateway.managed_connection import CONNECT_TIMEOUT_SECONDS, END_REASONS, read_until
from .faults import Unusable
from .instance_records import InstanceRecords
from .records import ALL, shown
from .subscriber import Acknowledge, Subscriber

SILENCE = 4.5  # seconds without a whole line after which a stream is dead; a sign of life comes every 2 s
ANSWERS = 2.0  # seconds for what a relay says to an acknowledgement
LEAVING = 1.0  # seconds for the thread to end
UNKNOWN = "status 404"  # the answer of a relay that does not know who acknowledges


def subscriber(told, name):
    """What the settings' `distribution` says, as a Subscriber; Unusable where it can't be."""
    relays = []
    for relay, where in told["relays"].items():
        try:
            host, port = address(where["address"])
            if not port:
                raise ValueError
        except ValueError:
            raise Unusable(
                f"distribution.relays.{relay}: {shown(where['address'])}; expected an IPv4 address and a port"
            ) from None
        relays.append((relay, where["region"], where["address"]))
    scopes = dict.fromkeys((ALL, *told["scopes"]))
    if len(scopes) <= len(told["scopes"]):
        raise Unusable("distribution.scopes: one twice, or '', which each gateway has; expected each once")
    try:
        seed = int.from_bytes(os.urandom(8), "big")  # of this process alone: no stay is used twice
        return Subscriber(told.get("name", name), told["region"], scopes, relays, seed)
    except Unusable as error:
        raise Unusable(f"distribution.{error}") from None


class Driver:
    def __init__(self, subscriber, put, log, counters):
        """`put([(scope, key, record or None)])`: puts these in force before it returns, and returns those
        that it can't use as [(scope, key, why)]: the records before stay in force there. Called by this
        thread alone."""
        self.subscriber, self.put, self.log, self.counters = subscriber, put, log, counters
        self.sock = self.beside = self.at = None  # the stream; a connection for acknowledgements, to where
        self.onward = None  # the stream to take in place of the one that stands
        self.first, self.woken, self.over = threading.Event(), threading.Event(), threading.Event()
        self.ending, self.last = False, ""

    def start(self, wait=0.0):
        """Back once all was told, or `wait` seconds are over: one that hears nothing should serve."""
        threading.Thread(target=self.run, daemon=True).start()
        if wait and not self.first.wait(wait):
            self.counters.add("relays unheard at start")
            self.log.warning("relay", heard="no", reason="not all at the start: serves as discovery lists")

    def leave(self, until=0.0):
        """The process ends: what it has in force is counted until its lease and grace ran out."""
        self.ending = True
        self.woken.set()
        sock = self.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        return self.over.wait(LEAVING)

    # ---- the thread

    def run(self):
        while not self.ending:
            ask, self.onward = self.onward or self.subscriber.next(now()), None
            if ask is None:
                self.woken.wait(max(self.subscriber.wake_at() - now(), 0) / 1e9)
                self.woken.clear()
                continue
            reason = self.guarded(self.stream, ask)
            self.close()
            if self.onward is None:
                self.subscriber.stream_ended(now(), reason)
                self.say(reason)
        self.over.set()

    def guarded(self, work, *values):
        """What it gives, or why it came to nothing."""
        try:
            return work(*values)
        except ValueError as error:  # Malformed and Unreadable among them
            return f"malformed: {error}"
        except TimeoutError:
            return "silent"
        except OSError as error:
            return END_REASONS.get(type(error), "unreachable")
        except Exception as error:  # the next stream depends on the thread
            self.counters.add("relay faults")
            return f"fault {type(error).__name__}: {error}"

    def stream(self, ask):
        """One stream from its beginning to its end; why it ended."""
        self.sock = connected(address(ask.address))
        post(self.sock, ask, "/v1/subscribe")
        answer, heard = http.Response(), time.monotonic()
        while not self.ending:
            if (line := answer.next()) is http.MORE:
                if answer.status not in (0, 200):
                    return f"status {answer.status}"
                self.read(answer, heard + SILENCE)
            elif answer.status != 200:
                return f"status {answer.status}"
            elif line is http.END:
                return "over"
            else:
                heard = time.monotonic()
                self.told(line)
            if self.acknowledge() == UNKNOWN:
                return "forgotten by the relay"
            if self.onward is not None:
                return "left for another"
        return "stopped"

    def read(self, answer, until):
        """What comes next, or nothing where it is time to acknowledge."""
        wake = time.monotonic() + max(self.subscriber.wake_at() - now(), 0) / 1e9
        try:
            read_until(self.sock, min(wake, until))
            if not answer.buffer.fill(self.sock.recv_into):
                raise ConnectionResetError("closed")
        except TimeoutError:
            if time.monotonic() >= until:
                raise

    def told(self, line):
        changes = self.subscriber.receive_line(now(), line)
        if changes:
            self.use(changes)
        if self.last:
            self.say("")
        if not self.first.is_set() and all(self.subscriber.complete.values()):
            self.first.set()

    def use(self, changes):
        """Puts what a line tells in force. What can't be is refused, and so is all that a fault left open."""
        self.counters.add("relay lines used")
        try:
            refused = self.put(changes)
        except Exception as error:
            self.counters.add("relay faults")
            says = f"fault {type(error).__name__}: {error}"
            self.log.error("relay", fault=says[:300])
            refused = [(scope, key, says) for scope, key, _ in changes]
        for scope, key, says in refused:
            index = self.subscriber.records[scope].get(key, (0,))[0]  # 0: it was to be dropped
            self.counters.add("relay records refused")
            self.log.warning("record refused", scope=scope, key=key, index=index, reason=says[:200])
            self.subscriber.refuse(scope, key, index, says)

    def acknowledge(self):
        """Acknowledges what it is time to; why that was not taken, or an empty string."""
        ask = self.subscriber.next(now())
        if not isinstance(ask, Acknowledge):
            self.onward = ask
            return ""
        reason = self.guarded(self.tell, ask)
        if reason:
            self.counters.add("relay acknowledgements failed")
            self.close_beside()
        self.subscriber.acknowledgement_ended(now(), not reason)
        return reason

    def tell(self, ask):
        """One acknowledgement; why it was not taken, or an empty string. A connection kept from before may
        have ended unseen: it is told again then, which harms none."""
        if self.beside is not None and self.at == ask.address:
            with contextlib.suppress(ConnectionError):
                return self.exchange(ask)
        self.close_beside()
        self.beside, self.at = connected(address(ask.address)), ask.address
        return self.exchange(ask)

    def exchange(self, ask):
        post(self.beside, ask, "/v1/acknowledge")
        answer, until = http.Response(), time.monotonic() + ANSWERS
        while (line := answer.next()) is not http.END:
            if line is http.MORE:
                read_until(self.beside, until)
                if not answer.buffer.fill(self.beside.recv_into):
                    raise ConnectionResetError("closed")
        if answer.headers.get(b"connection", b"").lower() == b"close":
            self.close_beside()
        return "" if answer.status == 200 else f"status {answer.status}"

    def say(self, reason):
        """One line when it begins to fail and one when it works again, not one a try."""
        if reason:
            self.counters.add(f"relay streams ended: {reason.split(':')[0][:40]}")
        if bool(reason) != bool(self.last) and not self.ending:
            told = self.log.warning if reason else self.log.info
            told("relay", heard="no" if reason else "yes", reason=reason[:200])
        self.last = reason

    def close(self):
        if self.sock is not None:
            self.sock.close()
            self.sock = None
        self.close_beside()

    def close_beside(self):
        if self.beside is not None:
            self.beside.close()
            self.beside = None

    def figures(self):
        made = self.subscriber
        counts = {f"relay {name}": count for name, count in made.counts.items()}
        counts["relay unheard ms"] = made.silent_ns(now()) // 1_000_000
        return {**counts, "relay complete": min(made.complete.values())}


class GatewayDriver(Driver):
    """The driver of a gateway, which puts records of instances into its balancer's list. `told`: the
    settings' `distribution`, `follow`: theirs of that name."""

    def __init__(self, config, told, follow, dispatcher, log, counters):
        if follow is not None:
            raise Unusable("follow and distribution: both tell of one ledger; expected one of them")
        self.listing, self.dispatcher = InstanceRecords(dispatcher, config.start.cold_time), dispatcher
        self.wait = told["wait"] / 1e9
        super().__init__(subscriber(told, config.name), self.listing.put, log, counters)

    def start(self, discovery, lines, addresses):
        """From now on the balancer is told what discovery and the relays say. `lines`, `addresses`: the list
        as told before."""
        with self.dispatcher.lock:
            self.listing.begin(discovery, lines, addresses)
        super().start(self.wait)


def connected(where):
    sock = socket.socket()
    try:
        sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        sock.connect(where)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


def post(sock, ask, path):
    sock.settimeout(ANSWERS)
    head = f"POST {path} HTTP/1.1\r\nHost: {ask.address}\r\nContent-Type: application/json\r\n"
    sock.sendall(f"{head}Content-Length: {len(ask.body)}\r\n\r\n".encode() + ask.body)
