"""`lemonlead member`: one member from start to end. Exit codes: 0 ended by a signal, 1 broken, 2 settings,
folder or address that cannot be used."""

import asyncio
import contextlib
import resource
import secrets
import signal
import socket
import sys
import time
import traceback

import structlog
from aiohttp import web

from ..ledger.faults import Unusable
from ..ledger.membership import Greeting
from ..ledger.records import LEADER, ReplicaConfig
from . import assembly, disk
from . import member_settings
from .http_client import HttpClient
from .faults import AddressTaken, Damaged
from .forming import Forming
from .host import Host
from .memory import pause_gc
from .http_server import HttpServer
from .peers import Peers
from .disk_thread import DiskThread

MOST_CONNECTIONS = 4000  # past it, or what descriptors allow, a new one is closed at once
SPARE = 200  # descriptors for all that is no connection of others to this member
FOR_MEMBERS = 64  # connections above the bound, for other members alone
BACKLOG = 512
IDLE = 75  # seconds that a connection is kept without a call
LINGER = 0.5  # seconds at the end for calls that are being answered
DISK_TIME = 5  # seconds at the end for what is queued for the disk


def main(path, joins=False):
    try:
        told = member_settings.read(path)
        folder = disk.open_folder(told.data, told.member, told.cluster)
        try:
            listener = bind_listener(told.listen)
        except Unusable:
            folder.close()
            raise
        configure_log()
        return asyncio.run(run(told, joins, folder, listener))
    except Unusable as error:
        print(f"lemonlead member: {path}: {error.says}; {error.do}", file=sys.stderr)
        return 2


def configure_log():
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(LogOutput()),
        cache_logger_on_first_use=True,
    )


def bind_listener(listen):
    host, _, port = listen.rpartition(":")
    try:
        listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, ValueError, OverflowError) as error:
        raise AddressTaken(f"listen {listen}: {getattr(error, 'strerror', None) or error}") from None
    listener.setblocking(False)
    return listener


async def run(told, joins, folder, listener):
    member = Member(told, joins, folder)
    try:
        if folder.cluster:
            await member.enter()
        await member.open(listener)
        return await member.until_ended()
    finally:
        await member.close()


class Member:
    """What the process is, outside a cluster (`host` is None, `why` says why) or in one."""

    def __init__(self, told, joins, folder):
        self.told, self.name, self.joins, self.folder = told, told.member, joins, folder
        self.log = structlog.get_logger(member=told.member)
        self.seed, self.loop, self.ledger = (
            secrets.randbits(48),
            asyncio.get_running_loop(),
            assembly.make_ledger(),
        )
        self.host, self.why, self.tasks, self.runner, self.server = None, "", set(), None, None
        self.ending, self.code, self.closed = asyncio.Event(), 0, 0
        self.most_connections = min(MOST_CONNECTIONS, max(raise_descriptor_limit() - SPARE, SPARE))
        times = told.times
        self.asking = HttpClient(self.name, told.listen, told.clusters, max(times.election / 2e9, 0.25), 11)
        self.peers = Peers(
            self.name,
            told.listen,
            told.reached,
            times,
            self.seed,
            self.address,
            lambda name: self.forming.hand(name),
        )
        self.shelf = DiskThread(folder, self.ledger, self.tell)
        self.forming = Forming(self, self.seed)
        self.outdoors = HttpServer(self)

    def tell(self, function, *arguments):
        """From the disk's thread."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(function, *arguments)

    def on_disk(self, function, *arguments):
        """The future of a call of the folder's, done by the disk's thread."""
        future = self.loop.create_future()

        def done(result, error):
            if future.done():
                return
            if error is None:
                future.set_result(result)
            else:
                future.set_exception(error)

        self.shelf.ask(done, function, *arguments)
        return future

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.spawned)

    def spawned(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.broken(task.exception())

    def broken(self, error):
        """What no part of the program foresees: the member ends, as if it were killed."""
        told = "".join(traceback.format_exception(error))[-2000:]
        self.log.error("broken", reason=type(error).__name__, detail=str(error)[:300], trace=told)
        self.code = 1
        self.ending.set()

    # ---- who it is

    def greeting(self):
        return Greeting(self.name, self.folder.id, self.folder.cluster, self.joins)

    def address(self, name):
        return self.host.address(name) if self.host is not None else None

    def tell_why(self, why):
        if why != self.why:
            self.why = why
            self.log.info("outside", reason=why)

    def heard(self, messages, address):
        """Messages of peers, from one that says that it is reached at this address, or says nothing; the
        status that answers them."""
        to_me = [one for one in messages if one.to == self.name and one.to_seal == self.folder.id]
        if self.host is not None:
            for message in messages:
                self.host.heard(message)
            for name in {one.sender for one in to_me if one.cluster == self.folder.cluster}:
                self.peers.heard(name, address)
            return 204
        mine = bool(to_me)
        return 409 if mine else 204

    async def enter(self):
        """The folder is in a cluster: from here on the member takes part."""
        kept, data = await self.on_disk(self.folder.read_stored)
        try:
            with pause_gc():
                state = self.ledger.whole(data)
        except ValueError as error:
            raise Damaged(f"{self.told.data}: {error}") from None
        times = self.told.times
        told = ReplicaConfig(
            self.folder.cluster,
            self.name,
            self.folder.id,
            self.seed,
            election=times.election,
            heartbeat=times.heartbeat,
            **self.told.bounds,
        )
        self.why = ""
        self.host = Host(
            told, kept, state, self.duties, self.shelf, self.peers, self.asking, self.log, self.broken
        )
        last = self.host.dispatcher.replica.last
        self.log.info("in cluster", cluster_id=self.folder.cluster, at=state.index, last=last)

    def duties(self, dispatcher):
        return assembly.make_leader_tasks(dispatcher, self.told.cluster, self.told.clusters, self.seed)

    # ---- from start to end

    async def open(self, listener):
        self.runner = web.AppRunner(
            self.outdoors.app, keepalive_timeout=IDLE, shutdown_timeout=LINGER, access_log=None
        )
        await self.runner.setup()
        self.server = await self.loop.create_server(self.connection, sock=listener)
        for signum in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signum, self.ending.set)
        self.loop.add_signal_handler(signal.SIGUSR1, self.log_counters)
        if self.host is None:
            self.spawn(self.forming.run())
        self.log.info("ready", listen=self.told.listen, cluster=self.told.cluster, folder=self.folder.id)

    def connection(self):
        if len(self.runner.server.connections) < self.most_connections:
            return self.runner.server()
        return Late(self)

    def is_member(self, host):
        """Whether a connection from there may be another member's."""
        seats = self.host.dispatcher.replica.members.values() if self.host is not None else ()
        addresses = {*self.told.members.values(), *(seat.address for seat in seats)}
        return host in {address.rpartition(":")[0] for address in addresses}

    async def until_ended(self):
        await self.ending.wait()
        if self.code == 0:
            self.log.info("stopping", open=self.outdoors.open)
            await self.hand_over()
        return self.code

    async def hand_over(self):
        """Leadership goes to another; in bounded time, since the rest elect one anyway."""
        host = self.host
        if host is None or host.dispatcher.replica.role != LEADER:
            return
        replica, began = host.dispatcher.replica, time.monotonic_ns()
        if sum(seat.votes for seat in replica.members.values()) > 1:
            host.hand_over()
            try:
                async with asyncio.timeout(2 * self.told.times.election / 1e9):
                    while replica.leader in ("", self.name):
                        host.changed.clear()
                        await host.changed.wait()
            except TimeoutError:
                pass
        took = (time.monotonic_ns() - began) // 1_000_000
        self.log.info("handed over", to=replica.leader, took_ms=took)

    async def close(self):
        """The listener first, so that whoever comes now knows that nothing was done."""
        if self.server is not None:
            self.server.close()
            until = self.loop.time() + LINGER
            while self.code == 0 and self.outdoors.open > self.outdoors.polls and self.loop.time() < until:
                await asyncio.sleep(0.01)
        if self.host is not None:
            self.host.end()
        for task in list(self.tasks):
            task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()
        await self.peers.end()
        await self.asking.end()
        await asyncio.to_thread(self.shelf.end, DISK_TIME)
        if not self.shelf.thread.is_alive():
            self.folder.close()
        if self.server is not None:
            self.log_counters()
            self.log.info("stopped", code=self.code)

    def log_counters(self):
        self.log.info("counters", **self.figures())

    def figures(self):
        """All counters and the length of each queue now."""
        host, told = self.host, {}
        tables = [("http", self.outdoors.counts), ("peers", self.peers.counts), ("disk", self.shelf.counts)]
        tables += [("asked", self.asking.counts), ("forming", self.forming.counts)]
        now = {"open": self.outdoors.open, "polls": self.outdoors.polls, "jobs": len(self.shelf.jobs)}
        now.update(lines_lost=LogOutput.lost, connections_closed=self.closed)
        now["queued"] = sum(len(queue.messages) for queue in self.peers.queues.values())
        now["connections"] = len(self.runner.server.connections) if self.runner.server else 0
        if host is not None:
            tables += [
                ("loop", host.counts),
                ("dispatcher", host.dispatcher.counts),
                ("raft", host.dispatcher.replica.counts),
            ]
            now.update(
                inbox=len(host.messages), inputs=len(host.inputs), held_events=host.dispatcher.polls.held
            )
            now["ids"] = len(host.dispatcher.state.answers)
        for name, table in [*tables, ("now", now)]:
            told.update({f"{name}_{what}".replace(" ", "_").replace(":", ""): n for what, n in table.items()})
        return told


class Late(asyncio.Protocol):
    """A connection past the bound: closed at once, unless it may be another member's. Against clients that
    hold so many that a member which was started anew finds no way in."""

    def __init__(self, member):
        self.member = member

    def connection_made(self, transport):
        member, server = self.member, self.member.runner.server
        room = len(server.connections) < member.most_connections + FOR_MEMBERS
        if room and member.is_member(transport.get_extra_info("peername", ("",))[0]):
            handler = server()
            transport.set_protocol(handler)
            handler.connection_made(transport)
        else:
            member.closed += 1
            transport.abort()


def raise_descriptor_limit():
    """How many this process may have; all that the system lets it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = min(hard, 65536) if hard != resource.RLIM_INFINITY else 65536
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, most), hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


class LogOutput:
    """Standard output for log lines. A log that cannot be written (its disk is full as well) is no reason to
    stop: the lines are lost, and counted."""

    lost = 0

    def write(self, text):
        try:
            sys.stdout.write(text)
        except OSError:
            LogOutput.lost += 1

    def flush(self):
        try:
            sys.stdout.flush()
        except OSError:
            LogOutput.lost += 1
