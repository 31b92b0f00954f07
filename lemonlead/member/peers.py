"""Messages to the other members: fire and forget, over one pooled connection a peer.

What queues up while a batch is under way goes as the next. A peer that does not answer is left alone for a
while that grows; its queue is bounded and loses its oldest, which the replica bears as it bears any loss."""

import asyncio
import zlib
from collections import deque

import aiohttp
import msgspec

from ..ledger.backoff import Backoff
from ..ledger.records import PeerMessage
from .http_client import REACHED, make_session

MOST_QUEUED = 512  # messages to one peer
MOST_QUEUED_BYTES = 16 * 1024 * 1024
MOST_BATCH = 1024 * 1024  # bytes of one batch, one message at least
LONGEST = 8 * 1024 * 1024  # bytes of a batch that is read
MOST_PEERS = 32  # queues, and addresses heard of; past it those without a seat go

ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(list[PeerMessage]).decode


class Peers:
    """`seated(name)`: host:port of a member, None where it has no seat. `unformed(name)`: that peer sits in
    the cluster and says that its folder is empty. `reached`: where this member itself is."""

    def __init__(self, name, listen, reached, times, seed, seated, unformed):
        self.times, self.seed, self.seated, self.unformed = times, seed, seated, unformed
        self.said = {}  # name to the address that it gave with its messages
        time_out = aiohttp.ClientTimeout(total=max(2 * times.election / 1e9, 0.5))
        self.session = make_session(name, listen, time_out, limit=0, limit_per_host=1, keepalive_timeout=60)
        self.session.headers[REACHED] = reached
        self.queues, self.tasks = {}, {}
        self.counts = {"batches": 0, "sent": 0, "failed": 0, "dropped": 0, "queued_most": 0}

    def send(self, message):
        queue = self.queues.get(message.to)
        if queue is None:
            if self.address(message.to) is None:
                self.counts["dropped"] += 1
                return
            self.make_room()
            queue = self.queues[message.to] = Queue()
            waits = Backoff(f"{self.seed} {message.to}", self.times.heartbeat // 4, self.times.election)
            self.tasks[message.to] = asyncio.get_running_loop().create_task(
                self.run(message.to, queue, waits)
            )
        self.counts["dropped"] += queue.put(ENCODE(message))
        self.counts["queued_most"] = max(self.counts["queued_most"], len(queue.messages))

    def address(self, name):
        """Where to send. A member that is far behind (one just seated, one long away) may know none of the
        seats of now: it answers whoever speaks to it where that says that it is reached."""
        return self.seated(name) or self.said.get(name)

    def heard(self, name, address):
        """A message of this peer came, which says that it is reached there."""
        self.alive(name)
        if address and (name in self.said or len(self.said) < MOST_PEERS):
            self.said[name] = address
        elif address:
            self.said = {name: address}

    def make_room(self):
        if len(self.queues) >= MOST_PEERS:
            for name in [name for name in self.queues if self.address(name) is None]:
                self.tasks.pop(name).cancel()
                del self.queues[name]

    def alive(self, name):
        """It was heard from: there is no reason to wait any longer."""
        if name in self.queues:
            self.queues[name].heard.set()

    async def run(self, name, queue, waits):
        while True:
            await queue.filled.wait()
            address = self.address(name)
            if address is None:
                self.counts["dropped"] += queue.drop()
                continue
            batch, count = queue.take()
            url, check = f"http://{address}/peer/messages", {"X-CRC32": f"{zlib.crc32(batch):08x}"}
            try:
                async with self.session.post(url, data=batch, headers=check) as answer:
                    if answer.status >= 500:
                        raise aiohttp.ClientError(answer.status)
                    if answer.status == 409:
                        self.unformed(name)
                self.counts["batches"] += 1
                self.counts["sent"] += count
                waits.worked()
            except (aiohttp.ClientError, TimeoutError, OSError):
                self.counts["failed"] += 1
                queue.heard.clear()
                try:
                    async with asyncio.timeout(waits.failed() / 1e9):
                        await queue.heard.wait()
                except TimeoutError:
                    pass

    async def end(self):
        for task in self.tasks.values():
            task.cancel()
        await self.session.close()


class Queue:
    """Encoded messages to one peer."""

    def __init__(self):
        self.messages, self.size = deque(), 0
        self.filled, self.heard = asyncio.Event(), asyncio.Event()

    def put(self, data):
        """How many were dropped to make room."""
        self.messages.append(data)
        self.size += len(data)
        dropped = 0
        while len(self.messages) > 1 and (len(self.messages) > MOST_QUEUED or self.size > MOST_QUEUED_BYTES):
            self.size -= len(self.messages.popleft())
            dropped += 1
        self.filled.set()
        return dropped

    def take(self):
        """The next batch, encoded, and how many messages it has."""
        some, size = [], 0
        while self.messages and (not some or size + len(self.messages[0]) <= MOST_BATCH):
            data = self.messages.popleft()
            size += len(data)
            some.append(msgspec.Raw(data))
        self.size -= size
        if not self.messages:
            self.filled.clear()
        return ENCODE(some), len(some)

    def drop(self):
        count = len(self.messages)
        self.messages.clear()
        self.size = 0
        self.filled.clear()
        return count
