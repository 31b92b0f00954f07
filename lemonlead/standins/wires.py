"""A network between whole programs on loopback that fails by order.

Parties have names. Each wire listens on an address of its own and passes what comes on to its target; the
orders hold for what goes from one party to another, on whichever wire: `cut("g1", "g2", back=False)` stops
what g1 says to g2, be it a call or an answer. A party may also be the name of a group, or "*" for all.

Seeded and bounded. One thread carries all; `until` waits for a condition on the counts, so that no test
sleeps."""

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

MOST = 4000  # connections at once; one past it is reset ("turned away")
CHUNK, QUEUED = 64 * 1024, 64  # bytes read at a time; such pieces under way on one connection and direction
SNIFFED = 16 * 1024  # bytes of a connection read before its party has to be known
NUMBERS = itertools.count(random.SystemRandom().randrange(1 << 20))  # of loopback addresses, by process
RESET = struct.pack("ii", 1, 0)


def new_loopback_host():
    """A loopback address that nothing else of this process has."""
    number = next(NUMBERS)
    return f"127.{64 + (number >> 16) % 128}.{(number >> 8) % 256}.{1 + number % 254}"


def free_address(host=None):
    """An address, as text, at which nothing listens now."""
    with socket.socket() as sock:
        sock.bind((host or new_loopback_host(), 0))
        return "{}:{}".format(*sock.getsockname())


def split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass
class Link:
    """What goes from one party to another: the orders that hold, and what was counted."""

    silent: bool = False  # nothing passes; what was under way waits
    refuse: bool = False  # no new connection
    delay: float = 0.0  # seconds, and up to `spread` more
    spread: float = 0.0
    rate: float = 0.0  # bytes a second; 0: no limit
    short: int | None = None  # bytes of a connection after which it is reset
    times: int = 0  # how many more connections `short` strikes
    garble: list = field(default_factory=list)  # bytes to pass before each byte that is flipped
    repeat: int = 0  # how many more pieces pass twice
    counts: Counter = field(default_factory=Counter)


FREE = {"silent": False, "refuse": False, "delay": 0.0, "spread": 0.0, "rate": 0.0}


class Connection:
    def __init__(self, wire, source, near, far):
        self.wire, self.source, self.near, self.far = wire, source, near, far
        self.tasks = []

    def reset(self):
        for sock in (self.near, self.far):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.close()

    def close(self):
        for task in self.tasks:
            task.cancel()
        for sock in (self.near, self.far):
            sock.close()


class Wire:
    """Listens at `address` for `source` (empty: for whoever `who` says) and passes on to `target`, at
    `to`."""

    def __init__(self, source, target, to, who):
        self.source, self.target, self.to, self.who = source, target, to, who
        self.listener = self.task = None
        self.address = ""


class Wires:
    def __init__(self, seed=1):
        self.random = random.Random(seed)
        self.links, self.groups, self.wires, self.homes = {}, {}, [], {}
        self.connections = set()
        self.changed = threading.Condition()  # guards the links
        self.loop = asyncio.new_event_loop()
        self.news = asyncio.Event()  # set, and another put in its place, at each order
        self.counts = Counter()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    # ---- what there is

    def wire(self, source, target, to):
        """The address at which `source` reaches `target`, which listens at `to`, now or later."""
        return self.added(Wire(source, target, to, None))

    def shared_wire(self, target, to, who=None, at=None):
        """One address at which all reach `target`. Who calls is told by the address that it calls from
        (`set_party_host`), else by `who(first bytes)`: a name, or None where more bytes are needed."""
        return self.added(Wire("", target, to, who), at)

    def set_party_host(self, party, host):
        self.homes[host] = party

    def group(self, name, *parties):
        self.groups[name] = parties

    def added(self, wire, at=None):
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
        """Directed pairs of parties, from those of `one` to those of `other`."""
        everyone = [name for name, parties in self.groups.items() if parties == (name,)]
        ones, others = (everyone if name == "*" else self.groups[name] for name in (one, other))
        return [(a, b) for a in ones for b in others if a != b]

    # ---- orders

    def order(self, one, other, back=True, **fields):
        """These fields of Link hold from now on for what goes from one to the other, and `back`."""
        pairs = self.pairs(one, other) + (self.pairs(other, one) if back else [])
        with self.changed:
            for pair in pairs:
                link = self.links.setdefault(pair, Link())
                for name, value in fields.items():
                    setattr(link, name, value)
        self.call(self.ordered)
        return pairs

    def cut(self, one, other, back=True):
        """Nothing passes; connections stay open, new ones come up and are silent."""
        self.order(one, other, back, silent=True)

    def refuse(self, one, other):
        """New connections are refused; those that stand go on."""
        self.order(one, other, refuse=True)

    def delay(self, one, other, seconds, spread=0.0, back=True):
        self.order(one, other, back, delay=seconds, spread=spread)

    def rate(self, one, other, bytes_per_s, back=True):
        self.order(one, other, back, rate=bytes_per_s)

    def short(self, one, other, after, times=1, back=False):
        """`times` connections, also such that stand, are reset once so many bytes of each passed from one to
        the other."""
        self.order(one, other, back, short=after, times=times)

    def garble(self, one, other, times=1, within=400, back=False):
        """`times` bytes are flipped, each at a place drawn within the next so many bytes."""
        places = [self.random.randrange(within) for _ in range(times)]
        self.order(one, other, back, garble=places)

    def repeat(self, one, other, times=1, back=False):
        """The next `times` pieces pass twice."""
        self.order(one, other, back, repeat=times)

    def reset(self, one, other):
        """Connections that stand between them are reset, once."""
        pairs = self.pairs(one, other) + self.pairs(other, one)
        self.call(self.reset_now, set(pairs))

    def heal(self, one="*", other="*"):
        """No order holds any more; what was silent passes late."""
        self.order(one, other, short=None, times=0, repeat=0, **FREE)
        self.order(one, other, garble=[])

    # ---- what passed

    def passed(self, source, target):
        """Counts of what went from one to the other: "bytes", "pieces", "calls" (connections that it made),
        "refused", "reset", "short", "garbled", "repeated", "held" (pieces that had to wait in silence)."""
        with self.changed:
            link = self.links.get((source, target))
            return Counter(link.counts) if link else Counter()

    def until(self, condition, seconds=60):
        """Waits until it holds; looked at with each count and each 50 ms; its value."""
        end = time.monotonic() + seconds
        while not (value := condition()):
            assert time.monotonic() < end, "waited in vain"
            with self.changed:
                self.changed.wait(0.05)
        return value

    def close(self):
        async def ended():
            for wire in self.wires:
                self.shut(wire)
            for connection in list(self.connections):
                connection.close()
            others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(ended(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()

    # ---- on the loop's thread

    def call(self, function, *values):
        async def called():
            function(*values)

        asyncio.run_coroutine_threadsafe(called(), self.loop).result(10)

    def count(self, link, what, number=1):
        with self.changed:
            link.counts[what] += number
            self.changed.notify_all()

    def ordered(self):
        self.news.set()
        self.news = asyncio.Event()
        for wire in self.wires:
            refused = bool(wire.source) and self.link(wire.source, wire.target).refuse
            if refused and wire.listener is not None:
                self.shut(wire)
            elif not refused and wire.listener is None:
                self.open(wire)

    def open(self, wire):
        wire.listener = socket.socket()
        wire.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        wire.listener.bind(split_address(wire.address))
        wire.listener.listen(512)
        wire.listener.setblocking(False)
        wire.task = self.loop.create_task(self.accept(wire, wire.listener))

    def shut(self, wire):
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
            except OSError:  # no descriptor to be had: the caller waits
                await asyncio.sleep(0.05)
                continue
            near.setblocking(False)
            far = socket.socket()
            far.setblocking(False)
            connection = Connection(wire, wire.source, near, far)
            self.connections.add(connection)
            if len(self.connections) > MOST:
                self.counts["turned away"] += 1
                self.end(connection, reset=True)
                continue
            connection.tasks.append(self.loop.create_task(self.carry(connection, host)))

    async def carry(self, connection, host):
        """Brings a connection up and passes both ways until both are over or one fails."""
        wire, first = connection.wire, b""
        try:
            if not connection.source:
                connection.source, first = await self.caller(connection, host)
            there = self.link(connection.source, wire.target)
            back = self.link(wire.target, connection.source)
            self.count(there, "calls")
            if there.refuse:
                self.count(there, "refused")
                return self.end(connection, reset=True)
            await self.heard(there)
            await self.heard(back)
            await self.loop.sock_connect(connection.far, split_address(wire.to))
            for sock in (connection.near, connection.far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            near, far = connection.near, connection.far
            both = [
                self.loop.create_task(self.one_way(connection, there, near, far, first)),
                self.loop.create_task(self.one_way(connection, back, far, near, b"")),
            ]
            connection.tasks += both
            await asyncio.gather(*both)
            self.end(connection)
        except (OSError, ValueError):
            self.end(connection, reset=True)

    async def caller(self, connection, host):
        if host in self.homes:
            return self.homes[host], b""
        data, name = b"", None
        while name is None and connection.wire.who is not None:
            some = await self.loop.sock_recv(connection.near, CHUNK)
            if not some or len(data) > SNIFFED:
                raise ValueError("nobody")
            data += some
            name = connection.wire.who(data)
        if name is None:
            raise ValueError("nobody")
        self.party(name)
        return name, data

    async def heard(self, link):
        held = False
        while link.silent:
            if not held:
                held = True
                self.count(link, "held")
            await self.news.wait()

    async def one_way(self, connection, link, near, far, first):
        """Reads ahead, so that a delay is one of each piece and not of the pieces after it."""
        queue = asyncio.Queue(QUEUED)
        passing = self.loop.create_task(self.pass_on(connection, link, far, queue))
        connection.tasks.append(passing)
        data = first
        try:
            while not passing.done():
                data = data or await self.loop.sock_recv(near, CHUNK)
                due = self.loop.time() + link.delay + link.spread * self.random.random()
                await queue.put((due, data))
                if not data:
                    break
                data = b""
        except OSError:
            await self.heard(link)  # that it failed is not heard through silence either
            raise
        await passing

    async def pass_on(self, connection, link, far, queue):
        passed = 0
        try:
            while True:
                due, data = await queue.get()
                if (wait := due - self.loop.time()) > 0:
                    await asyncio.sleep(wait)
                await self.heard(link)
                if not data:
                    with contextlib.suppress(OSError):
                        far.shutdown(socket.SHUT_WR)
                    return
                data, ends = self.spoilt(link, data, passed)
                with self.changed:  # counted first: whoever gets it may look at once
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

    def spoilt(self, link, data, passed):
        """The piece as the orders have it, and whether the connection ends after it."""
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
