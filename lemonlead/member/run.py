"""`lemonlead member`: runs one member from start to end.

Exit codes: 0 ended by a signal, 1 an unexpected error, 2 settings, folder or address that cannot be used."""

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
from . import assembly, disk, member_settings
from .disk_thread import DiskThread
from .faults import AddressTaken, Damaged
from .forming import Forming
from .host import Host
from .http_client import HttpClient
from .http_server import HttpServer
from .memory import pause_gc
from .peers import Peers

MAX_CONNECTIONS = 4000  # past it, or what descriptors allow, a new one is closed immediately
RESERVED_DESCRIPTORS = 200  # for everything but connections of others to this member
MEMBER_CONNECTIONS = 64  # above the bound, for other members only
LISTEN_BACKLOG = 512
KEEPALIVE_SECONDS = 75  # that a connection is kept without a call
LINGER_SECONDS = 0.5  # at the end for calls that are being answered
DISK_STOP_SECONDS = 5  # at the end for what is queued for the disk


def main(path, joins=False):
    """Runs the member with the settings file at `path` and returns the exit code."""
    try:
        settings = member_settings.read(path)
        folder = disk.open_folder(settings.data, settings.member, settings.cluster)
        try:
            listener = bind_listener(settings.listen)
        except Unusable:
            folder.close()
            raise
        configure_log()
        return asyncio.run(run(settings, joins, folder, listener))
    except Unusable as error:
        print(f"lemonlead member: {path}: {error.says}; {error.do}", file=sys.stderr)
        return 2


def configure_log():
    """Writes log lines as logfmt to standard output."""
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
    """Returns a listening socket for host:port. Raises AddressTaken."""
    host, _, port = listen.rpartition(":")
    try:
        listener = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    except (OSError, ValueError, OverflowError) as error:
        raise AddressTaken(f"listen {listen}: {getattr(error, 'strerror', None) or error}") from None
    listener.setblocking(False)
    return listener


async def run(settings, joins, folder, listener):
    member = Member(settings, joins, folder)
    try:
        if folder.cluster:
            await member.enter_cluster()
        await member.start(listener)
        return await member.wait_for_end()
    finally:
        await member.close()


class Member:
    """The process. Outside a cluster `host` is None, and `outside_reason` says why it is outside."""

    def __init__(self, settings, joins, folder):
        self.settings = settings
        self.name = settings.member
        self.joins = joins
        self.folder = folder
        self.log = structlog.get_logger(member=settings.member)
        self.seed, self.loop, self.ledger = (
            secrets.randbits(48),
            asyncio.get_running_loop(),
            assembly.make_ledger(),
        )
        self.host, self.outside_reason, self.tasks, self.runner, self.server = None, "", set(), None, None
        # connections_closed: those past the bound that were closed at once
        self.end_requested, self.exit_code, self.connections_closed = asyncio.Event(), 0, 0
        self.max_connections = min(
            MAX_CONNECTIONS, max(raise_descriptor_limit() - RESERVED_DESCRIPTORS, RESERVED_DESCRIPTORS)
        )
        times = settings.times
        self.client = HttpClient(
            self.name, settings.listen, settings.clusters, max(times.election / 2e9, 0.25), 11
        )
        self.peers = Peers(
            self.name,
            settings.listen,
            settings.reached,
            times,
            self.seed,
            self.address,
            lambda name: self.forming.offer_snapshot(name),
        )
        self.disk = DiskThread(folder, self.ledger, self.call_in_loop)
        self.forming = Forming(self, self.seed)
        self.http_server = HttpServer(self)

    def call_in_loop(self, function, *arguments):
        """Has the function called in the event loop; for the disk thread."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(function, *arguments)

    def run_on_disk(self, function, *arguments):
        """Returns a future of the result of a call that the disk thread makes."""
        future = self.loop.create_future()

        def done(result, error):
            if future.done():
                return
            if error is None:
                future.set_result(result)
            else:
                future.set_exception(error)

        self.disk.call(done, function, *arguments)
        return future

    def spawn(self, coroutine):
        """Runs a coroutine as a task; an error in it ends the member."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)

    def task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.end_broken(task.exception())

    def end_broken(self, error):
        """Ends the member after an error that no part of the program expects, as if it were killed."""
        trace = "".join(traceback.format_exception(error))[-2000:]
        self.log.error("broken", reason=type(error).__name__, detail=str(error)[:300], trace=trace)
        self.exit_code = 1
        self.end_requested.set()

    # ---- its identity and its cluster

    def greeting(self):
        return Greeting(self.name, self.folder.id, self.folder.cluster, self.joins)

    def address(self, name):
        return self.host.address(name) if self.host is not None else None

    def set_outside_reason(self, reason):
        if reason != self.outside_reason:
            self.outside_reason = reason
            self.log.info("outside", reason=reason)

    def receive_messages(self, messages, address):
        """Takes messages of a peer and returns the status that answers them. `address`: where the peer says
        that it is reached, or an empty string."""
        to_me = [one for one in messages if one.to == self.name and one.to_seal == self.folder.id]
        if self.host is not None:
            for message in messages:
                self.host.receive(message)
            for name in {one.sender for one in to_me if one.cluster == self.folder.cluster}:
                self.peers.note_received(name, address)
            return 204
        mine = bool(to_me)
        return 409 if mine else 204

    async def enter_cluster(self):
        """Makes the host, because the folder is in a cluster: the member takes part from now on."""
        stored, data = await self.run_on_disk(self.folder.read_stored)
        try:
            with pause_gc():
                state = self.ledger.whole(data)
        except ValueError as error:
            raise Damaged(f"{self.settings.data}: {error}") from None
        times = self.settings.times
        config = ReplicaConfig(
            self.folder.cluster,
            self.name,
            self.folder.id,
            self.seed,
            election=times.election,
            heartbeat=times.heartbeat,
            **self.settings.bounds,
        )
        self.outside_reason = ""
        self.host = Host(
            config,
            stored,
            state,
            self.make_leader_tasks,
            self.disk,
            self.peers,
            self.client,
            self.log,
            self.end_broken,
        )
        last = self.host.dispatcher.replica.last
        self.log.info("in cluster", cluster_id=self.folder.cluster, at=state.index, last=last)

    def make_leader_tasks(self, dispatcher):
        return assembly.make_leader_tasks(
            dispatcher, self.settings.cluster, self.settings.clusters, self.seed
        )

    # ---- from start to end

    async def start(self, listener):
        """Starts the HTTP server and the signal handlers, and the forming if it is outside a cluster."""
        self.runner = web.AppRunner(
            self.http_server.app,
            keepalive_timeout=KEEPALIVE_SECONDS,
            shutdown_timeout=LINGER_SECONDS,
            access_log=None,
        )
        await self.runner.setup()
        self.server = await self.loop.create_server(self.make_protocol, sock=listener)
        for signum in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signum, self.end_requested.set)
        self.loop.add_signal_handler(signal.SIGUSR1, self.log_counters)
        if self.host is None:
            self.spawn(self.forming.run())
        self.log.info(
            "ready", listen=self.settings.listen, cluster=self.settings.cluster, folder=self.folder.id
        )

    def make_protocol(self):
        """Returns the protocol of a new connection."""
        if len(self.runner.server.connections) < self.max_connections:
            return self.runner.server()
        return ExcessConnection(self)

    def is_member_address(self, host):
        """Whether a connection from this host may be another member's."""
        members = self.host.dispatcher.replica.members.values() if self.host is not None else ()
        addresses = {*self.settings.members.values(), *(configured.address for configured in members)}
        return host in {address.rpartition(":")[0] for address in addresses}

    async def wait_for_end(self):
        """Waits for the end of the run, hands leadership over, and returns the exit code."""
        await self.end_requested.wait()
        if self.exit_code == 0:
            self.log.info("stopping", open=self.http_server.open_calls)
            await self.hand_over()
        return self.exit_code

    async def hand_over(self):
        """Hands leadership over to another member. The time for it is bounded, because the other members
        elect a leader in any case."""
        host = self.host
        if host is None or host.dispatcher.replica.role != LEADER:
            return
        replica, began = host.dispatcher.replica, time.monotonic_ns()
        if sum(configured.votes for configured in replica.members.values()) > 1:
            host.hand_over()
            try:
                async with asyncio.timeout(2 * self.settings.times.election / 1e9):
                    while replica.leader in ("", self.name):
                        host.leadership_changed.clear()
                        await host.leadership_changed.wait()
            except TimeoutError:
                pass
        took_ms = (time.monotonic_ns() - began) // 1_000_000
        self.log.info("handed over", to=replica.leader, took_ms=took_ms)

    async def close(self):
        """Closes everything. The listener is closed first, so that clients that connect now know that nothing
        was done."""
        if self.server is not None:
            self.server.close()
            until = self.loop.time() + LINGER_SECONDS
            while (
                self.exit_code == 0
                and self.http_server.open_calls > self.http_server.open_polls
                and self.loop.time() < until
            ):
                await asyncio.sleep(0.01)
        if self.host is not None:
            self.host.stop()
        for task in list(self.tasks):
            task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()
        await self.peers.close()
        await self.client.close()
        await asyncio.to_thread(self.disk.stop, DISK_STOP_SECONDS)
        if not self.disk.thread.is_alive():
            self.folder.close()
        if self.server is not None:
            self.log_counters()
            self.log.info("stopped", code=self.exit_code)

    def log_counters(self):
        self.log.info("counters", **self.counter_values())

    def counter_values(self):
        """Returns all counters, and the current length of each queue."""
        host, values = self.host, {}
        tables = [("http", self.http_server.counts), ("peers", self.peers.counts), ("disk", self.disk.counts)]
        tables += [("asked", self.client.counts), ("forming", self.forming.counts)]
        now = {
            "open": self.http_server.open_calls,
            "polls": self.http_server.open_polls,
            "jobs": len(self.disk.jobs),
        }
        now.update(lines_lost=LogOutput.lines_lost, connections_closed=self.connections_closed)
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
            values.update(
                {f"{name}_{what}".replace(" ", "_").replace(":", ""): n for what, n in table.items()}
            )
        return values


class ExcessConnection(asyncio.Protocol):
    """A connection past the bound. It is closed at once, unless it may be another member's. Without this
    exception, clients that hold many connections could keep a restarted member from connecting."""

    def __init__(self, member):
        self.member = member

    def connection_made(self, transport):
        member, server = self.member, self.member.runner.server
        has_room = len(server.connections) < member.max_connections + MEMBER_CONNECTIONS
        if has_room and member.is_member_address(transport.get_extra_info("peername", ("",))[0]):
            handler = server()
            transport.set_protocol(handler)
            handler.connection_made(transport)
        else:
            member.connections_closed += 1
            transport.abort()


def raise_descriptor_limit():
    """Raises the limit of file descriptors to what the system allows, at most 65536, and returns it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = min(hard, 65536) if hard != resource.RLIM_INFINITY else 65536
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


class LogOutput:
    """Standard output for log lines. A log that cannot be written (perhaps its disk is full as well) is no
    reason to stop: the lines are lost, and counted."""

    lines_lost = 0

    def write(self, text):
        try:
            sys.stdout.write(text)
        except OSError:
            LogOutput.lines_lost += 1

    def flush(self):
        try:
            sys.stdout.flush()
        except OSError:
            LogOutput.lines_lost += 1
