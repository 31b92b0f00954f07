"""A network between programs on loopback, with faults on demand.

Parties have names. Each wire listens at an address of its own and forwards its connections to a target. A
fault holds for the bytes from one party to another, on any wire: `cut("g1", "g2", back=False)` stops all that
g1 sends to g2, requests and answers. A party may also be the name of a group, or "*" for all.

Random values come from a seed, and all memory is bounded. One thread forwards all bytes. `until` waits for a
condition on the counts, so that tests need not sleep."""

import asyncio
import contextlib
import itertools
import random
import socket
import struct
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

MAX_CONNECTIONS = 4000  # open at once; a further one is reset and counted as "turned away"
CHUNK_BYTES = 64 * 1024  # read at a time
MAX_QUEUED_CHUNKS = 64  # for each connection and direction
MAX_SNIFFED_BYTES = 16 * 1024  # read of a connection before its caller has to be known
# Numbers of loopback addresses. Processes start at different ones.
HOST_NUMBERS = itertools.count(random.SystemRandom().randrange(1 << 20))
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close() resets the connection


def new_loopback_host():
    """Returns a loopback address that nothing else in this process uses."""
    number = next(HOST_NUMBERS)
    return f"127.{64 + (number >> 16) % 128}.{(number >> 8) % 256}.{1 + number % 254}"


def free_address(host=None):
    """Returns an address, as text, at which nothing listens now."""
    with socket.socket() as sock:
        sock.bind((host or new_loopback_host(), 0))
        return "{}:{}".format(*sock.getsockname())


def split_address(address):
    """Returns (host, port)."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass
class Link:
    """The faults in force for the bytes from one party to another, and their counts."""

    silent: bool = False  # nothing passes; bytes in flight wait
    refuse: bool = False  # no new connection
    delay: float = 0.0  # seconds, plus a random part of `spread`
    spread: float = 0.0
    rate: float = 0.0  # bytes per second; 0: no limit
    short: int | None = None  # bytes of a connection after which it is reset
    times: int = 0  # number of further connections that `short` resets
    garble: list = field(default_factory=list)  # bytes that pass before each bit flip
    repeat: int = 0  # number of further chunks that pass twice
    counts: Counter = field(default_factory=Counter)


NO_FAULTS = {"silent": False, "refuse": False, "delay": 0.0, "spread": 0.0, "rate": 0.0}


class Connection:
    """A connection through a wire: `near` is the caller's socket, `far` the one to the target."""

    def __init__(self, wire, source, near, far):
        self.wire = wire
        self.source = source
        self.near = near
        self.far = far
        self.tasks = []

    def reset(self):
        for sock in (self.near, self.far):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.close()

    def close(self):
        for task in self.tasks:
            task.cancel()
        for sock in (self.near, self.far):
            sock.close()


class Wire:
    """Listens at `address` for `source` and forwards to `target`, which listens at `to`.

    An empty `source`: `identify(first bytes)` names the caller.
    """

    def __init__(self, source, target, to, identify):
        self.source = source
        self.target = target
        self.to = to
        self.identify = identify
        self.listener = self.task = None
        self.address = ""


class Wires:
    """The network: its wires, parties, groups and links."""

    def __init__(self, seed=1):
        self.random = random.Random(seed)
        self.links = {}
        self.groups = {}
        self.wires = []
        self.host_parties = {}
        self.connections = set()
        self.changed = threading.Condition()  # its lock protects the links and their counts
        self.loop = asyncio.new_event_loop()
        self.faults_changed = asyncio.Event()  # set and replaced by another one at each change of the faults
        self.counts = Counter()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    # ---- parties and wires

    def wire(self, source, target, to):
        """Returns the address at which `source` reaches `target`, which listens at `to` now or later."""
        return self.add(Wire(source, target, to, None))

    def shared_wire(self, target, to, identify=None, at=None):
        """Returns an address at which all parties reach `target`.

        The caller is known by the host that it calls from (`set_party_host`), else by `identify(first
        bytes)`, which returns a name, or None if it needs more bytes.
        """
        return self.add(Wire("", target, to, identify), at)

    def set_party_host(self, party, host):
        """Connections from this host come from this party."""
        self.host_parties[host] = party

    def group(self, name, *parties):
        self.groups[name] = parties

    def add(self, wire, at=None):
        self.party(wire.source)
        self.party(wire.target)
        wire.address = at or free_address()
        self.wires.append(wire)
        self.call(self.open, wire)
        return wire.address

    def party(self, name):
        if name and name not in self.groups:
            self.groups[name] = (name,)

    def link(self, source, target):
        with self.changed:
            return self.links.setdefault((source, target), Link())

    def pairs(self, one, other):
        """Returns the pairs of parties from those of `one` to those of `other`."""
        all_parties = [name for name, parties in self.groups.items() if parties == (name,)]
        sources, targets = (all_parties if name == "*" else self.groups[name] for name in (one, other))
        return [(source, target) for source in sources for target in targets if source != target]

    # ---- faults

    def set_faults(self, one, other, back=True, **fields):
        """Sets these fields of Link for the bytes from one to the other, with `back` also the other way."""
        pairs = self.pairs(one, other) + (self.pairs(other, one) if back else [])
        with self.changed:
            for pair in pairs:
                link = self.links.setdefault(pair, Link())
                for name, value in fields.items():
                    setattr(link, name, value)
        self.call(self.apply_refusals)
        return pairs

    def cut(self, one, other, back=True):
        """Lets nothing pass; connections stay open, new ones are accepted and are silent."""
        self.set_faults(one, other, back, silent=True)

    def refuse(self, one, other):
        """Refuses new connections; open ones go on."""
        self.set_faults(one, other, refuse=True)

    def delay(self, one, other, seconds, spread=0.0, back=True):
        self.set_faults(one, other, back, delay=seconds, spread=spread)

    def rate(self, one, other, bytes_per_s, back=True):
        self.set_faults(one, other, back, rate=bytes_per_s)

    def short(self, one, other, after, times=1, back=False):
        """Resets `times` connections, open or new, after so many bytes from one to the other."""
        self.set_faults(one, other, back, short=after, times=times)

    def garble(self, one, other, times=1, within=400, back=False):
        """Flips a bit in each of `times` bytes, at random places within the next `within` bytes."""
        places = [self.random.randrange(within) for _ in range(times)]
        self.set_faults(one, other, back, garble=places)

    def repeat(self, one, other, times=1, back=False):
        """Lets the next `times` chunks pass twice."""
        self.set_faults(one, other, back, repeat=times)

    def reset(self, one, other):
        """Resets the connections that are open between them."""
        pairs = self.pairs(one, other) + self.pairs(other, one)
        self.call(self.reset_now, set(pairs))

    def heal(self, one="*", other="*"):
        """Ends the faults; bytes that were held pass now."""
        self.set_faults(one, other, short=None, times=0, repeat=0, **NO_FAULTS)
        self.set_faults(one, other, garble=[])

    # ---- counts

    def link_counts(self, source, target):
        """Returns the counts of what went from one to the other: "bytes", "pieces" (chunks), "calls" (new
        connections), "refused", "reset", "short", "garbled", "repeated", "held" (chunks that waited during a
        cut)."""
        with self.changed:
            link = self.links.get((source, target))
            return Counter(link.counts) if link else Counter()

    def until(self, condition, seconds=60):
        """Waits until the condition is true, checked at each count and every 50 ms. Returns its value."""
        end = time.monotonic() + seconds
        while not (value := condition()):
            assert time.monotonic() < end, f"the condition was not met within {seconds} s"
            with self.changed:
                self.changed.wait(0.05)
        return value

    def close(self):
        async def ended():
            for wire in self.wires:
                self.stop_listening(wire)
            for connection in list(self.connections):
                connection.close()
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(ended(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()

    # ---- on the loop's thread, except `call`

    def call(self, function, *values):
        async def called():
            function(*values)

        asyncio.run_coroutine_threadsafe(called(), self.loop).result(10)

    def count(self, link, what, number=1):
        with self.changed:
            link.counts[what] += number
            self.changed.notify_all()

    def apply_refusals(self):
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()
        for wire in self.wires:
            refused = bool(wire.source) and self.link(wire.source, wire.target).refuse
            if refused and wire.listener is not None:
                self.stop_listening(wire)
            elif not refused and wire.listener is None:
                self.open(wire)

    def open(self, wire):
        wire.listener = socket.socket()
        wire.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        wire.listener.bind(split_address(wire.address))
        wire.listener.listen(512)
        wire.listener.setblocking(False)
        wire.task = self.loop.create_task(self.accept(wire, wire.listener))

    def stop_listening(self, wire):
        if wire.listener is not None:
            wire.task.cancel()
            wire.listener.close()
            wire.listener = None

    def reset_now(self, pairs):
        for connection in list(self.connections):
            pair = connection.source, connection.wire.target
            if pair in pairs:
                self.count(self.link(*pair), "reset")
                self.end(connection, reset=True)

    def end(self, connection, reset=False):
        if connection in self.connections:
            self.connections.discard(connection)
            connection.reset() if reset else connection.close()

    async def accept(self, wire, listener):
        while wire.listener is listener:
            try:
                near, (host, _) = await self.loop.sock_accept(listener)
            except OSError:  # no descriptor is free: the caller waits
                await asyncio.sleep(0.05)
                continue
            near.setblocking(False)
            far = socket.socket()
            far.setblocking(False)
            connection = Connection(wire, wire.source, near, far)
            self.connections.add(connection)
            if len(self.connections) > MAX_CONNECTIONS:
                self.counts["turned away"] += 1
                self.end(connection, reset=True)
                continue
            connection.tasks.append(self.loop.create_task(self.serve_connection(connection, host)))

    async def serve_connection(self, connection, host):
        """Connects to the target and forwards both ways until both have ended or one fails."""
        wire = connection.wire
        first = b""
        try:
            if not connection.source:
                connection.source, first = await self.identify_caller(connection, host)
            there = self.link(connection.source, wire.target)
            back = self.link(wire.target, connection.source)
            self.count(there, "calls")
            if there.refuse:
                self.count(there, "refused")
                return self.end(connection, reset=True)
            await self.wait_while_silent(there)
            await self.wait_while_silent(back)
            await self.loop.sock_connect(connection.far, split_address(wire.to))
            for sock in (connection.near, connection.far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            near = connection.near
            far = connection.far
            both = [
                self.loop.create_task(self.forward(connection, there, near, far, first)),
                self.loop.create_task(self.forward(connection, back, far, near, b"")),
            ]
            connection.tasks += both
            await asyncio.gather(*both)
            self.end(connection)
        except (OSError, ValueError):
            self.end(connection, reset=True)

    async def identify_caller(self, connection, host):
        if host in self.host_parties:
            return self.host_parties[host], b""
        data = b""
        name = None
        while name is None and connection.wire.identify is not None:
            some = await self.loop.sock_recv(connection.near, CHUNK_BYTES)
            if not some or len(data) > MAX_SNIFFED_BYTES:
                raise ValueError("the caller is unknown")
            data += some
            name = connection.wire.identify(data)
        if name is None:
            raise ValueError("the caller is unknown")
        self.party(name)
        return name, data

    async def wait_while_silent(self, link):
        held = False
        while link.silent:
            if not held:
                held = True
                self.count(link, "held")
            await self.faults_changed.wait()

    async def forward(self, connection, link, near, far, first):
        """Forwards from `near` to `far`.

        It reads ahead, so that the delay of a chunk does not add to that of the next.
        """
        queue = asyncio.Queue(MAX_QUEUED_CHUNKS)
        passing = self.loop.create_task(self.write_chunks(connection, link, far, queue))
        connection.tasks.append(passing)
        data = first
        try:
            while not passing.done():
                data = data or await self.loop.sock_recv(near, CHUNK_BYTES)
                due = self.loop.time() + link.delay + link.spread * self.random.random()
                await queue.put((due, data))
                if not data:
                    break
                data = b""
        except OSError:
            await self.wait_while_silent(link)  # a cut holds back the failure as well
            raise
        await passing

    async def write_chunks(self, connection, link, far, queue):
        passed = 0
        try:
            while True:
                due, data = await queue.get()
                if (wait := due - self.loop.time()) > 0:
                    await asyncio.sleep(wait)
                await self.wait_while_silent(link)
                if not data:
                    with contextlib.suppress(OSError):
                        far.shutdown(socket.SHUT_WR)
                    return
                data, ends = self.apply_faults(link, data, passed)
                with self.changed:  # counted first: the receiver may look at the counts at once
                    twice = link.repeat > 0
                    link.repeat -= twice
                    link.counts["repeated"] += twice
                    link.counts["pieces"] += 1
                    link.counts["bytes"] += len(data)
                    link.counts["short"] += ends
                    self.changed.notify_all()
                passed += len(data)
                for _ in range(1 + twice):
                    await self.loop.sock_sendall(far, data)
                if ends:
                    return self.end(connection, reset=True)
                if link.rate:
                    await asyncio.sleep(len(data) / link.rate)
        except OSError:
            self.end(connection, reset=True)

    def apply_faults(self, link, data, passed):
        """Returns the chunk with its faults, and whether the connection ends after it."""
        with self.changed:
            if link.garble:
                data, still = bytearray(data), []
                for place in link.garble:
                    if place < len(data):
                        data[place] ^= 1 << self.random.randrange(8)
                        link.counts["garbled"] += 1
                    else:
                        still.append(place - len(data))
                link.garble, data = still, bytes(data)
            if link.short is not None and link.times > 0 and passed + len(data) >= link.short:
                link.times -= 1
                return data[: max(link.short - passed, 0)], True
        return data, False
