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
from . import records
from . import relay_settings as settings
from .acknowledgements import Acknowledgements
from .faults import NoState, NotNow, NotSubscribed, Senseless, TooMany, TooYoung
from .ledger_source import LedgerSource
from .outbox import Outbox
from .store import Store

SILENCE = 2.0  # seconds after which a stream that has nothing to tell gives a sign of life
SIGN = b"\n"
LONGEST = 1024 * 1024  # bytes of a body
BODY_TIME = 5  # seconds for it to come
IDLE = 75  # seconds that a connection is kept without a call
LINGER = 0.2  # seconds at the end for calls that are being answered
LOOK = 0.5  # seconds between two looks at whose lease ran out and whether the ledger is heard
RETRY = 1000  # ms
SPARE = 200  # descriptors for all that is no gateway's
APIECE = 2  # connections of a gateway: its stream, and one for what it acknowledges

ENCODE = msgspec.json.Encoder().encode


def answer(status, body):
    return web.Response(status=status, body=ENCODE(body), content_type="application/json")


def refused(status, error, **more):
    return answer(status, {"error": error.read(), **more})


class Stream:
    """What one subscriber is told, until it ends or another of its name takes its place."""

    def __init__(self, gateway, stay, outbox, scopes, transport):
        self.gateway, self.stay, self.outbox, self.scopes = gateway, stay, outbox, scopes
        self.transport, self.stirred, self.over = transport, asyncio.Event(), False

    def end(self):
        self.over = True
        self.stirred.set()
        if not self.transport.is_closing():
            self.transport.abort()


class Relay:
    """`told`: a RelaySettings. `source`: where what there is comes from. `clock`: nanoseconds, monotonic."""

    def __init__(self, told, source, log=None, clock=time.monotonic_ns):
        self.told, self.source, self.clock = told, source, clock
        self.log = log or structlog.get_logger(relay=told.relay)
        self.store = Store("", told.bounds.kept)
        self.acknowledgements = Acknowledgements(told.lease, told.grace, clock())
        self.streams, self.readers = {}, {}  # by gateway; scope to the streams that have it
        self.counts = dict.fromkeys(
            ("subscribed", "superseded", "turned_away", "forgotten", "senseless", "acknowledged", "lines"), 0
        )
        self.counts.update(bytes=0, stirred=0, connections_closed=0)
        self.tasks, self.runner, self.server, self.was_cut_off = [], None, None, False
        self.failed = asyncio.get_running_loop().create_future()  # what no part of the program foresees
        self.app = web.Application(client_max_size=LONGEST, middlewares=[self.around])
        self.app.add_routes(
            [
                web.post("/v1/subscribe", self.subscribe),
                web.post("/v1/acknowledge", self.acknowledge),
                web.get("/v1/force", self.force),
                web.get("/v1/status", self.status),
                web.get("/readyz", self.ready),
            ]
        )

    # ---- from start to end

    async def start(self, listener=None):
        """Answers calls and follows its source from here on. Unusable where it can't listen."""
        listener = listener or bind_listener(self.told.listen)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.told.bounds.waiting // 2)
        self.most = max(
            min(APIECE * self.told.bounds.subscribers + SPARE, raise_descriptor_limit() - SPARE), SPARE
        )
        self.runner = web.AppRunner(
            self.app, keepalive_timeout=IDLE, shutdown_timeout=LINGER, access_log=None
        )
        await self.runner.setup()
        self.server = await asyncio.get_running_loop().create_server(self.connection, sock=listener)
        for work in (self.source.run(self), self.look()):
            task = asyncio.create_task(work)
            task.add_done_callback(self.ended)
            self.tasks.append(task)
        self.log.info("ready", listen=self.told.listen, region=self.told.region)

    async def stop(self):
        """The listener first, so that whoever comes now goes elsewhere at once."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.end_streams()
        if self.runner is not None:
            await self.runner.cleanup()

    def ended(self, task):
        if not task.cancelled() and not self.failed.done():
            self.failed.set_exception(task.exception() or RuntimeError("the source has ended"))

    def connection(self):
        if len(self.runner.server.connections) < self.most:
            return self.runner.server()
        return Closed(self)

    async def look(self):
        while True:
            await asyncio.sleep(LOOK)
            for gateway in self.acknowledgements.drop_silent(self.clock()):
                self.counts["forgotten"] += 1
                if gateway in self.streams:
                    self.streams[gateway].end()
            lost = self.source.is_cut_off(self.clock())
            if lost and not self.was_cut_off:
                self.end_streams()
            if lost != self.was_cut_off:
                self.log.warning("cut off" if lost else "back", at=self.store.index)
            self.was_cut_off = lost

    def end_streams(self):
        for stream in list(self.streams.values()):
            stream.end()

    # ---- what the source tells

    def replace(self, cluster, index, scopes):
        """The whole state. Of another cluster than before, whoever is subscribed begins anew."""
        before = self.store.cluster
        self.store.replace(cluster, index, scopes)
        freeze_memory()
        if before and cluster != before:
            self.acknowledgements.reset_complete()
            self.end_streams()
        for stream in self.streams.values():
            stream.stirred.set()

    def apply(self, index, changes):
        self.store.apply(index, changes)
        for scope in {scope for scope, _, _ in changes}:
            for stream in self.readers.get(scope, ()):
                self.counts["stirred"] += 1
                stream.stirred.set()

    # ---- calls

    @web.middleware
    async def around(self, request, handler):
        try:
            return await handler(request)
        except Senseless as error:
            self.counts["senseless"] += 1
            return refused(400, error)
        except NotSubscribed as error:
            return refused(404, error)
        except NotNow as error:
            self.counts["turned_away"] += 1
            return refused(503, error, retry_ms=RETRY)
        except web.HTTPException as error:
            return refused(error.status, Senseless(f"{request.method} {request.path[:100]}: {error.reason}"))

    async def body(self, request, kind):
        try:
            async with asyncio.timeout(BODY_TIME):
                return records.parse_body(await request.read(), kind)
        except TimeoutError:
            raise Senseless(f"the body did not come within {BODY_TIME} s") from None

    def room(self, gateway):
        """Raises where no stream can begin now. One in place of its own is always let in."""
        if not self.store.index:
            raise NoState("this relay has heard nothing of the ledger yet")
        if self.was_cut_off:
            raise NoState("this relay hears the ledger no more")
        if len(self.streams) >= self.told.bounds.subscribers and gateway not in self.streams:
            raise TooMany(f"{self.told.bounds.subscribers} gateways are subscribed")

    async def subscribe(self, request):
        told = await self.body(request, records.Subscription)
        if len(told.scopes) > self.told.bounds.scopes:
            raise Senseless(f"scopes: {len(told.scopes)}; expected {self.told.bounds.scopes} at most")
        self.room(told.gateway)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        response.enable_chunked_encoding()
        stream = self.enter(told, request.transport)
        try:
            writer = await response.prepare(request)
            await self.tell(stream, writer)
        except (ConnectionError, aiohttp.ClientError):
            stream.end()
        finally:
            self.leave(stream)
        return response

    def enter(self, told, transport):
        if transport is None:
            raise NotNow(f"{told.gateway} has gone")
        now, store = self.clock(), self.store
        scopes = told.scopes if told.cluster == store.cluster else dict.fromkeys(told.scopes, 0)
        outbox = Outbox(now, store, scopes, self.told.budget.rate, self.told.budget.burst)
        self.acknowledgements.subscribe(now, told.gateway, told.region, scopes, told.stay)
        stream = Stream(told.gateway, told.stay, outbox, scopes, transport)
        if told.gateway in self.streams:
            self.counts["superseded"] += 1
            self.leave(before := self.streams[told.gateway])
            before.end()
        self.streams[told.gateway] = stream
        for scope in scopes:
            self.readers.setdefault(scope, set()).add(stream)
        self.counts["subscribed"] += 1
        transport.set_write_buffer_limits(0)  # written to no more until all has left the process
        return stream

    def leave(self, stream):
        if self.streams.get(stream.gateway) is not stream:
            return
        del self.streams[stream.gateway]
        for scope in stream.scopes:
            self.readers[scope].discard(stream)
            if not self.readers[scope]:
                del self.readers[scope]
        self.acknowledgements.stream_ended(self.clock(), stream.gateway, stream.stay)

    async def tell(self, stream, writer):
        loop, outbox = asyncio.get_running_loop(), stream.outbox
        silent = loop.time() + SILENCE
        while not stream.over:
            stream.stirred.clear()
            line = outbox.next(self.clock())
            if line is None and loop.time() < silent:
                until = silent
                if (wake := outbox.wake_at()) is not None:
                    until = min(until, loop.time() + max(wake - self.clock(), 0) / 1e9)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(until):
                        await stream.stirred.wait()
                continue
            line = line or SIGN
            self.counts["lines"] += 1
            self.counts["bytes"] += len(line)
            await writer.write(line)
            await writer.drain()
            silent = loop.time() + SILENCE
            await asyncio.sleep(0)  # others have their turn

    async def acknowledge(self, request):
        told = await self.body(request, records.Acknowledgement)
        stream = self.streams.get(told.gateway)
        if stream is None or told.cluster != self.store.cluster:
            raise NotSubscribed(f"{told.gateway} has no stream here of that cluster")
        now, complete, refuses = self.clock(), told.complete, told.refused
        if not self.acknowledgements.acknowledge(now, told.gateway, complete, refuses, told.stay):
            raise NotSubscribed(f"{told.gateway} has another stay here, or was silent for too long")
        self.counts["acknowledged"] += 1
        return answer(200, {})

    async def force(self, request):
        scope = records.scope_name(request.query.get("scope", ""), "scope")
        text = request.query.get("index", "")
        if not text.isdecimal() or not text.isascii() or len(text) > 18:
            raise Senseless(f"index: {text[:50]!r}; expected a whole number")
        if not self.acknowledgements.knows_all_subscribers(self.clock()):
            raise TooYoung("this relay has just been started")
        index = self.store.as_of(scope, int(text))
        return answer(200, self.acknowledgements.in_force(self.clock(), scope, index)._asdict())

    async def status(self, request):
        return answer(200, {"relay": self.told.relay, "region": self.told.region, **self.figures()})

    async def ready(self, request):
        self.room("")
        return answer(200, {"ready": True})

    def figures(self):
        """All counters and the length of each table now."""
        now = {"cluster": self.store.cluster, "at": self.store.index, "subscribers": len(self.streams)}
        now.update(connections=len(self.runner.server.connections), lines_lost=LogOutput.lines_lost)
        return {**now, **self.counts, **{f"ledger_{n}": c for n, c in self.source.figures().items()}}


class Closed(asyncio.Protocol):
    """A connection past the bound: closed at once."""

    def __init__(self, relay):
        self.relay = relay

    def connection_made(self, transport):
        self.relay.counts["connections_closed"] += 1
        transport.abort()


# ---- the command


def main(path):
    try:
        told = settings.read(path)
        listener = bind_listener(told.listen)
    except Unusable as error:
        print(f"lemonlead relay: {path}: {error.says}; {error.do}", file=sys.stderr)
        return 2
    configure_log()
    return asyncio.run(run(told, listener))


async def run(told, listener):
    log = structlog.get_logger(relay=told.relay)
    source = LedgerSource(told.relay, told.listen, told.members, told.relay, log)
    relay, loop, ending = Relay(told, source, log), asyncio.get_running_loop(), asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, ending.set)
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("counters", **relay.figures()))
    await relay.start(listener)
    ended = asyncio.create_task(ending.wait())
    await asyncio.wait((ended, relay.failed), return_when=asyncio.FIRST_COMPLETED)
    code = 0
    if relay.failed.done():
        error, code = relay.failed.exception(), 1
        told = "".join(traceback.format_exception(error))[-2000:]
        log.error("broken", reason=type(error).__name__, detail=str(error)[:300], trace=told)
    ended.cancel()
    log.info("counters", **relay.figures())
    await relay.stop()
    log.info("stopped", code=code)
    return code
