"""The gateway's thread for the distribution: makes the requests that `subscriber.py` decides on, passes
received changes to the function that puts them in force, and acknowledges them afterwards."""

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
from .records import ALL_GATEWAYS, describe_value
from .subscriber import Acknowledge, Subscriber

SILENCE_SECONDS = 4.5  # a stream without a whole line for this long is dead; a relay sends one every 2 s
ANSWER_SECONDS = 2.0  # for the response to an acknowledgement
LEAVE_SECONDS = 1.0  # for the thread to end
NOT_SUBSCRIBED = "status 404"  # the response of a relay that doesn't know the acknowledging gateway


def subscriber_from_settings(settings, name):
    """Returns a Subscriber for the settings' `distribution`. Raises Unusable when they are invalid."""
    relays = []
    for relay, where in settings["relays"].items():
        try:
            host, port = address(where["address"])
            if not port:
                raise ValueError
        except ValueError:
            raise Unusable(
                f"distribution.relays.{relay}: {describe_value(where['address'])}; "
                "expected an IPv4 address and a port"
            ) from None
        relays.append((relay, where["region"], where["address"]))
    scopes = dict.fromkeys((ALL_GATEWAYS, *settings["scopes"]))
    if len(scopes) <= len(settings["scopes"]):
        raise Unusable(
            "distribution.scopes: a scope twice, or '', which every gateway has; expected each once"
        )
    try:
        seed = int.from_bytes(os.urandom(8), "big")  # random, so that no subscription id is used twice
        return Subscriber(settings.get("name", name), settings["region"], scopes, relays, seed)
    except Unusable as error:
        raise Unusable(f"distribution.{error}") from None


class Driver:
    """Runs a Subscriber on a thread."""

    def __init__(self, subscriber, put, log, counters):
        """`put([(scope, key, record or None)])` puts changes in force before it returns. It returns those
        that it can't use as [(scope, key, reason)]; for these the previous records stay in force. Only this
        thread calls it."""
        self.subscriber, self.put, self.log, self.counters = subscriber, put, log, counters
        # The stream's socket, and the socket and address for acknowledgements.
        self.stream_socket = self.ack_socket = self.ack_address = None
        self.next_request = None  # the Subscribe request that replaces the current stream
        self.all_complete, self.wakeup, self.stopped = threading.Event(), threading.Event(), threading.Event()
        self.stopping = False
        self.last_reason = ""  # why the last stream ended; empty while one works

    def start(self, wait=0.0):
        """Starts the thread. Returns once all scopes are complete, or after `wait` seconds, because a gateway
        that receives nothing should still serve."""
        threading.Thread(target=self.run, daemon=True).start()
        if wait and not self.all_complete.wait(wait):
            self.counters.add("relays unheard at start")
            self.log.warning("relay", heard="no", reason="not all at the start: serves as discovery lists")

    def leave(self, until=0.0):
        """Stops the thread. Relays count what the gateway has in force until its lease and grace have run
        out."""
        self.stopping = True
        self.wakeup.set()
        sock = self.stream_socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        return self.stopped.wait(LEAVE_SECONDS)

    # ---- the thread

    def run(self):
        """Opens one stream after another until the driver is stopped."""
        while not self.stopping:
            request, self.next_request = self.next_request or self.subscriber.next(now()), None
            if request is None:
                self.wakeup.wait(max(self.subscriber.wake_at() - now(), 0) / 1e9)
                self.wakeup.clear()
                continue
            reason = self.call_safely(self.run_stream, request)
            self.close()
            if self.next_request is None:
                self.subscriber.stream_ended(now(), reason)
                self.log_change(reason)
        self.stopped.set()

    def call_safely(self, work, *values):
        """Returns what `work` returns, or why it failed."""
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

    def run_stream(self, request):
        """Runs one stream to its end and returns why it ended."""
        self.stream_socket = connect(address(request.address))
        post(self.stream_socket, request, "/v1/subscribe")
        answer, heard = http.Response(), time.monotonic()
        while not self.stopping:
            if (line := answer.next()) is http.MORE:
                if answer.status not in (0, 200):
                    return f"status {answer.status}"
                self.wait_for_data(answer, heard + SILENCE_SECONDS)
            elif answer.status != 200:
                return f"status {answer.status}"
            elif line is http.END:
                return "over"
            else:
                heard = time.monotonic()
                self.line_received(line)
            if self.acknowledge() == NOT_SUBSCRIBED:
                return "forgotten by the relay"
            if self.next_request is not None:
                return "left for another"
        return "stopped"

    def wait_for_data(self, answer, until):
        """Waits for data, at most until it is time to acknowledge. Raises TimeoutError at `until`."""
        wake = time.monotonic() + max(self.subscriber.wake_at() - now(), 0) / 1e9
        try:
            read_until(self.stream_socket, min(wake, until))
            if not answer.buffer.fill(self.stream_socket.recv_into):
                raise ConnectionResetError("closed")
        except TimeoutError:
            if time.monotonic() >= until:
                raise

    def line_received(self, line):
        """Passes a line to the subscriber and puts its changes in force."""
        changes = self.subscriber.receive_line(now(), line)
        if changes:
            self.put_in_force(changes)
        if self.last_reason:
            self.log_change("")
        if not self.all_complete.is_set() and all(self.subscriber.complete.values()):
            self.all_complete.set()

    def put_in_force(self, changes):
        """Puts changes in force. Those that can't be used are refused; when `put` fails, all of them are."""
        self.counters.add("relay lines used")
        try:
            refused = self.put(changes)
        except Exception as error:
            self.counters.add("relay faults")
            reason = f"fault {type(error).__name__}: {error}"
            self.log.error("relay", fault=reason[:300])
            refused = [(scope, key, reason) for scope, key, _ in changes]
        for scope, key, reason in refused:
            index = self.subscriber.records[scope].get(key, (0,))[0]  # 0 for a removal
            self.counters.add("relay records refused")
            self.log.warning("record refused", scope=scope, key=key, index=index, reason=reason[:200])
            self.subscriber.refuse(scope, key, index, reason)

    def acknowledge(self):
        """Sends an acknowledgement if one is due. Returns why it failed, or an empty string."""
        request = self.subscriber.next(now())
        if not isinstance(request, Acknowledge):
            self.next_request = request
            return ""
        reason = self.call_safely(self.send_acknowledgement, request)
        if reason:
            self.counters.add("relay acknowledgements failed")
            self.close_ack_socket()
        self.subscriber.acknowledgement_ended(now(), not reason)
        return reason

    def send_acknowledgement(self, request):
        """Sends one acknowledgement. Returns why it was not accepted, or an empty string. A kept connection
        may have been closed by the relay; then the acknowledgement is sent again, which does no harm."""
        if self.ack_socket is not None and self.ack_address == request.address:
            with contextlib.suppress(ConnectionError):
                return self.post_acknowledgement(request)
        self.close_ack_socket()
        self.ack_socket, self.ack_address = connect(address(request.address)), request.address
        return self.post_acknowledgement(request)

    def post_acknowledgement(self, request):
        """Sends an acknowledgement on the open connection and reads the response."""
        post(self.ack_socket, request, "/v1/acknowledge")
        answer, until = http.Response(), time.monotonic() + ANSWER_SECONDS
        while (line := answer.next()) is not http.END:
            if line is http.MORE:
                read_until(self.ack_socket, until)
                if not answer.buffer.fill(self.ack_socket.recv_into):
                    raise ConnectionResetError("closed")
        if answer.headers.get(b"connection", b"").lower() == b"close":
            self.close_ack_socket()
        return "" if answer.status == 200 else f"status {answer.status}"

    def log_change(self, reason):
        """Logs one line when streams begin to fail and one when they work again, not one a try."""
        if reason:
            self.counters.add(f"relay streams ended: {reason.split(':')[0][:40]}")
        if bool(reason) != bool(self.last_reason) and not self.stopping:
            log = self.log.warning if reason else self.log.info
            log("relay", heard="no" if reason else "yes", reason=reason[:200])
        self.last_reason = reason

    def close(self):
        if self.stream_socket is not None:
            self.stream_socket.close()
            self.stream_socket = None
        self.close_ack_socket()

    def close_ack_socket(self):
        if self.ack_socket is not None:
            self.ack_socket.close()
            self.ack_socket = None

    def figures(self):
        """Returns the counters."""
        subscriber = self.subscriber
        counts = {f"relay {name}": count for name, count in subscriber.counts.items()}
        counts["relay unheard ms"] = subscriber.silent_ns(now()) // 1_000_000
        return {**counts, "relay complete": min(subscriber.complete.values())}


class GatewayDriver(Driver):
    """The driver in a gateway: puts records of instances into the balancer's list. `settings` is the
    settings' section `distribution`, `follow` their section of that name."""

    def __init__(self, config, settings, follow, dispatcher, log, counters):
        if follow is not None:
            raise Unusable("follow and distribution: both provide the ledger's state; expected one of them")
        self.listing, self.dispatcher = InstanceRecords(dispatcher, config.start.cold_time), dispatcher
        self.wait = settings["wait"] / 1e9
        super().__init__(subscriber_from_settings(settings, config.name), self.listing.put, log, counters)

    def start(self, discovery, lines, addresses):
        """Starts to update the balancer from discovery and from relays. `lines` and `addresses` are the list
        that the balancer has."""
        with self.dispatcher.lock:
            self.listing.begin(discovery, lines, addresses)
        super().start(self.wait)


def connect(where):
    """Returns a socket connected to this address."""
    sock = socket.socket()
    try:
        sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        sock.connect(where)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


def post(sock, request, path):
    """Sends a request."""
    sock.settimeout(ANSWER_SECONDS)
    head = f"POST {path} HTTP/1.1\r\nHost: {request.address}\r\nContent-Type: application/json\r\n"
    sock.sendall(f"{head}Content-Length: {len(request.body)}\r\n\r\n".encode() + request.body)
