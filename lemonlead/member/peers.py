"""Sends messages to the other members without waiting for a result, over one pooled connection per peer.

Messages that queue up while a batch is being sent go as the next batch. A peer that does not answer is tried
again after a pause that grows. Its queue is bounded and drops its oldest messages, which the replica
tolerates like any other loss."""

import asyncio
import zlib
from collections import deque

import aiohttp
import msgspec

from ..ledger.backoff import Backoff
from ..ledger.records import PeerMessage
from .http_client import REACHED_HEADER, make_session

MAX_QUEUED_MESSAGES = 512  # to one peer
MAX_QUEUED_BYTES = 16 * 1024 * 1024  # to one peer
MAX_BATCH_BYTES = 1024 * 1024  # a batch has at least one message, however long that is
MAX_RECEIVED_BYTES = 8 * 1024 * 1024  # of a batch that is read
MAX_PEERS = 32  # queues, and reported addresses; past it those of peers that are not members are dropped

ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(list[PeerMessage]).decode


class Peers:
    """The queues and senders of all peers.

    `configured_address(name)` returns host:port of a member, or None if it is not in the configuration.
    `on_unformed(name)` is called when that peer is a member of the cluster but answers that its folder is
    empty. `reached`: the address at which this member itself is reached."""

    def __init__(self, name, listen, reached, times, seed, configured_address, on_unformed):
        self.times = times
        self.seed = seed
        self.configured_address = configured_address
        self.on_unformed = on_unformed
        self.reported_addresses = {}  # name to the address that it gave with its messages
        timeout = aiohttp.ClientTimeout(total=max(2 * times.election / 1e9, 0.5))
        self.session = make_session(name, listen, timeout, limit=0, limit_per_host=1, keepalive_timeout=60)
        self.session.headers[REACHED_HEADER] = reached
        self.queues = {}
        self.tasks = {}
        self.counts = {"batches": 0, "sent": 0, "failed": 0, "dropped": 0, "queued_most": 0}

    def send(self, message):
        queue = self.queues.get(message.to)
        if queue is None:
            if self.address(message.to) is None:
                self.counts["dropped"] += 1
                return
            self.drop_unused_queues()
            queue = self.queues[message.to] = PeerQueue()
            backoff = Backoff(f"{self.seed} {message.to}", self.times.heartbeat // 4, self.times.election)
            self.tasks[message.to] = asyncio.get_running_loop().create_task(
                self.run_sender(message.to, queue, backoff)
            )
        self.counts["dropped"] += queue.put(ENCODE(message))
        self.counts["queued_most"] = max(self.counts["queued_most"], len(queue.messages))

    def address(self, name):
        """Returns the address to send to, or None. A member that is far behind (one that was just added, or
        was away for long) may know none of the current members: it then answers at the address that the
        sender of a message reported."""
        return self.configured_address(name) or self.reported_addresses.get(name)

    def note_received(self, name, address):
        """Notes that a message of this peer has arrived. `address`: where the peer says that it is reached,
        or an empty string."""
        self.end_pause(name)
        if address and (name in self.reported_addresses or len(self.reported_addresses) < MAX_PEERS):
            self.reported_addresses[name] = address
        elif address:
            self.reported_addresses = {name: address}

    def drop_unused_queues(self):
        """Drops the queues of peers without an address if there are too many queues."""
        if len(self.queues) >= MAX_PEERS:
            for name in [name for name in self.queues if self.address(name) is None]:
                self.tasks.pop(name).cancel()
                del self.queues[name]

    def end_pause(self, name):
        """Ends the pause after a failure, because the peer has sent a message."""
        if name in self.queues:
            self.queues[name].peer_alive.set()

    async def run_sender(self, name, queue, backoff):
        """Sends what is in the queue, batch by batch, until it is cancelled."""
        while True:
            await queue.not_empty.wait()
            address = self.address(name)
            if address is None:
                self.counts["dropped"] += queue.clear()
                continue
            batch, count = queue.take_batch()
            url, headers = f"http://{address}/peer/messages", {"X-CRC32": f"{zlib.crc32(batch):08x}"}
            try:
                async with self.session.post(url, data=batch, headers=headers) as response:
                    if response.status >= 500:
                        raise aiohttp.ClientError(response.status)
                    if response.status == 409:
                        self.on_unformed(name)
                self.counts["batches"] += 1
                self.counts["sent"] += count
                backoff.worked()
            except (aiohttp.ClientError, TimeoutError, OSError):
                self.counts["failed"] += 1
                queue.peer_alive.clear()
                try:
                    async with asyncio.timeout(backoff.failed() / 1e9):
                        await queue.peer_alive.wait()
                except TimeoutError:
                    pass

    async def close(self):
        for task in self.tasks.values():
            task.cancel()
        await self.session.close()


class PeerQueue:
    """Encoded messages to one peer, and two events: `not_empty`, and `peer_alive` while the sender pauses
    after a failure."""

    def __init__(self):
        self.messages, self.size_bytes = deque(), 0
        self.not_empty, self.peer_alive = asyncio.Event(), asyncio.Event()

    def put(self, data):
        """Appends a message and returns how many old ones were dropped to make room."""
        self.messages.append(data)
        self.size_bytes += len(data)
        dropped = 0
        while len(self.messages) > 1 and (
            len(self.messages) > MAX_QUEUED_MESSAGES or self.size_bytes > MAX_QUEUED_BYTES
        ):
            self.size_bytes -= len(self.messages.popleft())
            dropped += 1
        self.not_empty.set()
        return dropped

    def take_batch(self):
        """Removes the next batch and returns it encoded, with the number of its messages."""
        batch, size_bytes = [], 0
        while self.messages and (not batch or size_bytes + len(self.messages[0]) <= MAX_BATCH_BYTES):
            data = self.messages.popleft()
            size_bytes += len(data)
            batch.append(msgspec.Raw(data))
        self.size_bytes -= size_bytes
        if not self.messages:
            self.not_empty.clear()
        return ENCODE(batch), len(batch)

    def clear(self):
        """Drops all messages and returns their number."""
        count = len(self.messages)
        self.messages.clear()
        self.size_bytes = 0
        self.not_empty.clear()
        return count
