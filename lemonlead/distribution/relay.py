"""A relay receives state from one source and sends it to many subscribers. A process may hold any number of
`Relay` objects; `main` is the command.

The source (`ledger_source.LedgerSource`, or another object with `run`, `is_cut_off` and `figures`) delivers
the state through `replace` and `apply`. Each subscriber has a stream and an `Outbox`. The outbox is asked for
the next line only after the previous one has left the process, so a slow reader receives nothing until its
buffer has drained, and then the newest state.

Exit codes: 0 stopped by a signal, 1 internal error, 2 settings or an address that can't be used."""

import asyncio
import contextlib
import signal
import socket
import sys
import time
import traceback

import aiohttp
import msgspec
import structlog
from aiohttp import web

from ..ledger.faults import Unusable
from ..member.memory import freeze_memory
from ..member.run import LogOutput, bind_listener, configure_log, raise_descriptor_limit
from . import records, relay_settings
from .acknowledgements import Acknowledgements
from .faults import NoState, NotNow, NotSubscribed, RecordsUnreadable, Senseless, TooMany, TooYoung
from .ledger_source import LedgerSource
from .outbox import Outbox
from .store import Store
from .unreadable import UnreadableRecords

SIGN_OF_LIFE_SECONDS = 2.0  # a stream with nothing to send gets an empty line after this time
SIGN_OF_LIFE = b"\n"
MAX_BODY_BYTES = 1024 * 1024
BODY_TIMEOUT_SECONDS = 5
KEEPALIVE_SECONDS = 75  # an idle connection is kept this long
SHUTDOWN_SECONDS = 0.2  # for calls that are being answered when the relay stops
WATCH_INTERVAL_SECONDS = 0.5  # between two checks for silent subscribers and for a cut-off source
MAX_LOGGED_RECORDS = 20  # unreadable ones of one change or state
RETRY_MS = 1000  # time after which a rejected gateway may try again
SPARE_DESCRIPTORS = 200  # file descriptors for everything but gateways
CONNECTIONS_PER_GATEWAY = 2  # the stream and one for acknowledgements

ENCODE = msgspec.json.Encoder().encode


def json_response(status, body):
    """Returns a response with a JSON body."""
    return web.Response(status=status, body=ENCODE(body), content_type="application/json")


def error_response(status, error, **more):
    """Returns a response that describes an error."""
    return json_response(status, {"error": error.read(), **more})


class Stream:
    """What one subscriber receives, until it ends or another subscription of its name replaces it."""

    def __init__(self, gateway, subscription_id, outbox, scopes, transport):
        self.gateway = gateway
        self.subscription_id = subscription_id
        self.outbox = outbox
        self.scopes = scopes
        self.transport, self.changed, self.ended = transport, asyncio.Event(), False

    def end(self):
        """Ends the stream and its connection."""
        self.ended = True
        self.changed.set()
        if not self.transport.is_closing():
            self.transport.abort()


class Relay:
    """Serves gateways. `settings` is a RelaySettings, `source` delivers the state, `clock` returns
    nanoseconds of a monotonic clock."""

    def __init__(self, settings, source, log=None, clock=time.monotonic_ns):
        self.settings, self.source, self.clock = settings, source, clock
        self.log = log or structlog.get_logger(relay=settings.relay)
        self.store = Store("", settings.bounds.kept)
        self.unreadable = UnreadableRecords(self.store)
        self.acknowledgements = Acknowledgements(settings.lease, settings.grace, clock())
        self.streams = {}  # by gateway
        self.streams_by_scope = {}
        self.counts = dict.fromkeys(
            ("subscribed", "superseded", "turned_away", "forgotten", "senseless", "acknowledged", "lines"), 0
        )
        self.counts.update(bytes=0, stirred=0, connections_closed=0)
        self.tasks, self.runner, self.server, self.was_cut_off = [], None, None, False
        # Gets the exception of a task that ended unexpectedly.
        self.failed = asyncio.get_running_loop().create_future()
        self.app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self.error_middleware])
        self.app.add_routes(
            [
                web.post("/v1/subscribe", self.subscribe),
                web.post("/v1/acknowledge", self.acknowledge),
                web.get("/v1/force", self.in_force),
                web.get("/v1/status", self.status),
                web.get("/readyz", self.ready),
            ]
        )

    # ---- start and stop

    async def start(self, listener=None):
        """Starts to answer calls and to follow the source. Raises Unusable when the relay can't listen."""
        listener = listener or bind_listener(self.settings.listen)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.settings.bounds.waiting // 2)
        self.max_connections = max(
            min(
                CONNECTIONS_PER_GATEWAY * self.settings.bounds.subscribers + SPARE_DESCRIPTORS,
                raise_descriptor_limit() - SPARE_DESCRIPTORS,
            ),
            SPARE_DESCRIPTORS,
        )
        self.runner = web.AppRunner(
            self.app, keepalive_timeout=KEEPALIVE_SECONDS, shutdown_timeout=SHUTDOWN_SECONDS, access_log=None
        )
        await self.runner.setup()
        self.server = await asyncio.get_running_loop().create_server(self.new_connection, sock=listener)
        for work in (self.source.run(self), self.watch()):
            task = asyncio.create_task(work)
            task.add_done_callback(self.task_ended)
            self.tasks.append(task)
        self.log.info("ready", listen=self.settings.listen, region=self.settings.region)

    async def stop(self):
        """Stops the relay. The listener is closed first, so that new gateways go to another relay."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.end_streams()
        if self.runner is not None:
            await self.runner.cleanup()

    def task_ended(self, task):
        """Makes the relay fail when one of its tasks ends unexpectedly."""
        if not task.cancelled() and not self.failed.done():
            self.failed.set_exception(task.exception() or RuntimeError("the source has ended"))

    def new_connection(self):
        """Returns the protocol of a new connection, which rejects it beyond the limit."""
        if len(self.runner.server.connections) < self.max_connections:
            return self.runner.server()
        return RejectedConnection(self)

    async def watch(self):
        """Drops silent subscribers, and ends all streams when the source is cut off."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)
            for gateway in self.acknowledgements.drop_silent(self.clock()):
                self.counts["forgotten"] += 1
                if gateway in self.streams:
                    self.streams[gateway].end()
            cut_off = self.source.is_cut_off(self.clock())
            if cut_off and not self.was_cut_off:
                self.end_streams()
            if cut_off != self.was_cut_off:
                self.log.warning("cut off" if cut_off else "back", at=self.store.index)
            self.was_cut_off = cut_off

    def end_streams(self):
        """Ends all streams, so that gateways go to another relay."""
        for stream in list(self.streams.values()):
            stream.end()

    # ---- called by the source

    def replace(self, cluster, index, scopes):
        """Takes the whole state. If it comes from another cluster than before, all subscribers start
        again."""
        before = self.store.cluster
        known = set(self.unreadable.reasons)
        self.unreadable.replace(cluster, index, scopes)
        self.log_unreadable(known)
        freeze_memory()
        if before and cluster != before:
            self.acknowledgements.reset_complete()
            self.end_streams()
        for stream in self.streams.values():
            stream.changed.set()

    def apply(self, index, changes):
        """Takes what one ledger entry changed and wakes the streams that have its scopes."""
        known = set(self.unreadable.reasons)
        self.unreadable.apply(index, changes)
        self.log_unreadable(known)
        for scope in {scope for scope, _, _ in changes}:
            for stream in self.streams_by_scope.get(scope, ()):
                self.counts["stirred"] += 1
                stream.changed.set()

    def log_unreadable(self, known):
        """Logs records that have become unreadable, and when all are readable again."""
        reasons = self.unreadable.reasons
        for scope, key in sorted(reasons.keys() - known)[:MAX_LOGGED_RECORDS]:
            self.log.error("unreadable record", scope=scope, key=key, reason=reasons[scope, key])
        if known and not reasons:
            self.log.info("all records readable", at=self.store.index)

    # ---- calls

    @web.middleware
    async def error_middleware(self, request, handler):
        """Turns errors into responses."""
        try:
            return await handler(request)
        except Senseless as error:
            self.counts["senseless"] += 1
            return error_response(400, error)
        except NotSubscribed as error:
            return error_response(404, error)
        except NotNow as error:
            self.counts["turned_away"] += 1
            return error_response(503, error, retry_ms=RETRY_MS)
        except web.HTTPException as error:
            return error_response(
                error.status, Senseless(f"{request.method} {request.path[:100]}: {error.reason}")
            )

    async def read_body(self, request, kind):
        """Returns the body of a call. Raises Senseless when it is invalid or late."""
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                return records.parse_body(await request.read(), kind)
        except TimeoutError:
            raise Senseless(f"the body did not come within {BODY_TIMEOUT_SECONDS} s") from None

    def check_accepting(self, gateway):
        """Raises NotNow when no stream can begin now. A gateway that already has a stream may always replace
        it."""
        if not self.store.index:
            raise NoState("this relay has no state of the ledger yet")
        if self.was_cut_off:
            raise NoState("this relay is cut off from the ledger")
        if len(self.streams) >= self.settings.bounds.subscribers and gateway not in self.streams:
            raise TooMany(f"{self.settings.bounds.subscribers} gateways are subscribed")

    async def subscribe(self, request):
        """POST /v1/subscribe: opens a stream."""
        subscription = await self.read_body(request, records.Subscription)
        if len(subscription.scopes) > self.settings.bounds.scopes:
            raise Senseless(
                f"scopes: {len(subscription.scopes)}; expected {self.settings.bounds.scopes} at most"
            )
        self.check_accepting(subscription.gateway)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        response.enable_chunked_encoding()
        stream = self.open_stream(subscription, request.transport)
        try:
            writer = await response.prepare(request)
            await self.write_lines(stream, writer)
        except (ConnectionError, aiohttp.ClientError):
            stream.end()
        finally:
            self.close_stream(stream)
        return response

    def open_stream(self, subscription, transport):
        """Registers a stream and ends an earlier one of the same gateway."""
        if transport is None:
            raise NotNow(f"{subscription.gateway} closed its connection")
        now, store = self.clock(), self.store
        scopes = (
            subscription.scopes
            if subscription.cluster == store.cluster
            else dict.fromkeys(subscription.scopes, 0)
        )
        outbox = Outbox(now, store, scopes, self.settings.budget.rate, self.settings.budget.burst)
        self.acknowledgements.subscribe(
            now, subscription.gateway, subscription.region, scopes, subscription.stay
        )
        stream = Stream(subscription.gateway, subscription.stay, outbox, scopes, transport)
        if subscription.gateway in self.streams:
            self.counts["superseded"] += 1
            self.close_stream(before := self.streams[subscription.gateway])
            before.end()
        self.streams[subscription.gateway] = stream
        for scope in scopes:
            self.streams_by_scope.setdefault(scope, set()).add(stream)
        self.counts["subscribed"] += 1
        # The next line is written only after all bytes of this one have left the process.
        transport.set_write_buffer_limits(0)
        return stream

    def close_stream(self, stream):
        """Removes a stream, unless another has replaced it."""
        if self.streams.get(stream.gateway) is not stream:
            return
        del self.streams[stream.gateway]
        for scope in stream.scopes:
            self.streams_by_scope[scope].discard(stream)
            if not self.streams_by_scope[scope]:
                del self.streams_by_scope[scope]
        self.acknowledgements.stream_ended(self.clock(), stream.gateway, stream.subscription_id)

    async def write_lines(self, stream, writer):
        """Writes lines to a stream until it ends."""
        loop, outbox = asyncio.get_running_loop(), stream.outbox
        silent = loop.time() + SIGN_OF_LIFE_SECONDS
        while not stream.ended:
            stream.changed.clear()
            line = outbox.next(self.clock())
            if line is None and loop.time() < silent:
                until = silent
                if (wake := outbox.wake_at()) is not None:
                    until = min(until, loop.time() + max(wake - self.clock(), 0) / 1e9)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(until):
                        await stream.changed.wait()
                continue
            line = line or SIGN_OF_LIFE
            self.counts["lines"] += 1
            self.counts["bytes"] += len(line)
            await writer.write(line)
            await writer.drain()
            silent = loop.time() + SIGN_OF_LIFE_SECONDS
            await asyncio.sleep(0)  # let other streams run

    async def acknowledge(self, request):
        """POST /v1/acknowledge."""
        acknowledgement = await self.read_body(request, records.Acknowledgement)
        stream = self.streams.get(acknowledgement.gateway)
        if stream is None or acknowledgement.cluster != self.store.cluster:
            raise NotSubscribed(f"{acknowledgement.gateway} has no stream here of that cluster")
        now, complete, refuses = self.clock(), acknowledgement.complete, acknowledgement.refused
        if not self.acknowledgements.acknowledge(
            now, acknowledgement.gateway, complete, refuses, acknowledgement.stay
        ):
            raise NotSubscribed(
                f"{acknowledgement.gateway} has another subscription here, or was silent for too long"
            )
        self.counts["acknowledged"] += 1
        return json_response(200, {})

    async def in_force(self, request):
        """GET /v1/force: whether a scope is in force everywhere as of an index."""
        scope = records.check_scope_name(request.query.get("scope", ""), "scope")
        text = request.query.get("index", "")
        if not text.isdecimal() or not text.isascii() or len(text) > 18:
            raise Senseless(f"index: {text[:50]!r}; expected a whole number")
        if not self.acknowledgements.knows_all_subscribers(self.clock()):
            raise TooYoung("this relay has just been started")
        if self.unreadable.has_scope(scope):
            raise RecordsUnreadable(f"scope {scope!r} has a record that this relay can't pass on")
        index = self.store.as_of(scope, int(text))
        return json_response(200, self.acknowledgements.in_force(self.clock(), scope, index)._asdict())

    async def status(self, request):
        """GET /v1/status."""
        return json_response(
            200, {"relay": self.settings.relay, "region": self.settings.region, **self.figures()}
        )

    async def ready(self, request):
        """GET /readyz."""
        self.check_accepting("")
        if self.unreadable.reasons:
            (scope, key), reason = next(iter(self.unreadable.reasons.items()))
            count = len(self.unreadable.reasons)
            raise RecordsUnreadable(
                f"{count} records can't be passed on, among them scope {scope!r}, key {key!r}: {reason}"
            )
        return json_response(200, {"ready": True})

    def figures(self):
        """Returns all counters and the current length of each table."""
        now = {"cluster": self.store.cluster, "at": self.store.index, "subscribers": len(self.streams)}
        now.update(connections=len(self.runner.server.connections), lines_lost=LogOutput.lines_lost)
        now["unreadable"] = len(self.unreadable.reasons)
        return {**now, **self.counts, **{f"ledger_{n}": c for n, c in self.source.figures().items()}}


class RejectedConnection(asyncio.Protocol):
    """A connection beyond the limit, which is closed at once."""

    def __init__(self, relay):
        self.relay = relay

    def connection_made(self, transport):
        self.relay.counts["connections_closed"] += 1
        transport.abort()


# ---- the command


def main(path):
    """Runs the relay that a settings file describes. Returns the exit code."""
    try:
        settings = relay_settings.read(path)
        listener = bind_listener(settings.listen)
    except Unusable as error:
        print(f"lemonlead relay: {path}: {error.says}; {error.do}", file=sys.stderr)
        return 2
    configure_log()
    return asyncio.run(run(settings, listener))


async def run(settings, listener):
    """Runs a relay until a signal ends it or a task fails. Returns the exit code."""
    log = structlog.get_logger(relay=settings.relay)
    source = LedgerSource(settings.relay, settings.listen, settings.members, settings.relay, log)
    relay, loop, ending = Relay(settings, source, log), asyncio.get_running_loop(), asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, ending.set)
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("counters", **relay.figures()))
    await relay.start(listener)
    ended = asyncio.create_task(ending.wait())
    await asyncio.wait((ended, relay.failed), return_when=asyncio.FIRST_COMPLETED)
    code = 0
    if relay.failed.done():
        error, code = relay.failed.exception(), 1
        trace = "".join(traceback.format_exception(error))[-2000:]
        log.error("broken", reason=type(error).__name__, detail=str(error)[:300], trace=trace)
    ended.cancel()
    log.info("counters", **relay.figures())
    await relay.stop()
    log.info("stopped", code=code)
    return code
