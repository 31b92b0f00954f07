"""What a member asks of others over HTTP beside the replica's messages: who they are, a command passed on, a
duty's call to another cluster."""

import asyncio
import zlib

import aiohttp
import msgspec

from ..ledger.membership import Greeting

SENDER = "X-Lemonlead-Member"  # the name of the member that asks
REACHED = "X-Lemonlead-Reached"  # where the member that sends messages is reached
HOP = "X-Lemonlead-Hop"  # set on what a member passes on: it is not passed on again
MOST_ANSWER = 1024 * 1024  # bytes of an answer that is read whole
MOST_CALLS = 64  # to other clusters at once; past it a duty is told that none answered
GREETING = msgspec.json.Decoder(Greeting)


def make_session(name, listen, timeout=None, **limits):
    """A pool of connections. They go out from the address that the member listens at, so that whoever stands
    between knows whose they are."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(local_addr=(listen.rpartition(":")[0], 0), **limits),
        timeout=timeout,
        headers={SENDER: name},
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class HttpClient:
    """`name`, `listen`: the asking member's. `clusters`: name to addresses. `patience`: seconds for one short
    answer, `longest`: for a command."""

    def __init__(self, name, listen, clusters, patience, longest):
        self.clusters, self.patience, self.longest = clusters, patience, longest
        self.session = make_session(name, listen, limit=512, keepalive_timeout=30)
        self.tasks = set()
        self.counts = {"greetings": 0, "passed_on": 0, "calls": 0, "calls_dropped": 0, "calls_failed": 0}

    async def ask(self, method, address, path, seconds, most=MOST_ANSWER, **more):
        """(status, body); raises one of TROUBLE."""
        async with self.session.request(
            method, f"http://{address}{path}", timeout=aiohttp.ClientTimeout(total=seconds), **more
        ) as answer:
            body = bytearray()
            async for some in answer.content.iter_any():
                body += some
                if len(body) > most:
                    raise aiohttp.ClientPayloadError("the answer is too long")
            check = answer.headers.get("X-CRC32")
            if check is not None and check != f"{zlib.crc32(body):08x}":
                raise aiohttp.ClientPayloadError("the answer is not what its check says")
            return answer.status, bytes(body)

    async def greet(self, address, patience=0):
        """Who answers there, or None; within `patience` seconds where that is more than usual."""
        self.counts["greetings"] += 1
        try:
            status, body = await self.ask("GET", address, "/peer/hello", max(self.patience, patience))
            return GREETING.decode(body) if status == 200 else None
        except (*TROUBLE, msgspec.MsgspecError, UnicodeError):
            return None

    async def passed(self, method, address, path, seconds, most, data):
        """(status, bytes) of a call that is passed on; 0 where nothing was sent, -1 where none can say what
        came of it."""
        self.counts["passed_on"] += 1
        try:
            return await self.ask(method, address, path, seconds, most, data=data, headers=headers(data))
        except aiohttp.ClientConnectorError:
            return 0, b""
        except TROUBLE:
            return -1, b""

    async def told(self, method, address, path, seconds, **more):
        """(status, dict), (0, {}) where nothing was sent, (-1, {}) where none can say what came of it."""
        try:
            status, body = await self.ask(method, address, path, seconds, **more)
            body = msgspec.json.decode(body)
            return (status, body) if isinstance(body, dict) else (-1, {})
        except aiohttp.ClientConnectorError:
            return 0, {}
        except (*TROUBLE, msgspec.MsgspecError, UnicodeError):
            return -1, {}

    # ---- calls to other clusters

    def call(self, call, done):
        """`done(call, code, body)` once, from the loop."""
        if len(self.tasks) >= MOST_CALLS or call.cluster not in self.clusters:
            self.counts["calls_dropped"] += 1
            return done(call, 0, {})
        task = asyncio.get_running_loop().create_task(self.call_in_turn(call, done))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call_in_turn(self, call, done):
        """The first answer that tells what came of it; else the last 503; else code 0."""
        self.counts["calls"] += 1
        last = 0, {}
        for address in self.clusters[call.cluster]:
            status, body = await self.told("POST", address, "/v1/commands", self.longest, data=call.data)
            if status in (200, 400, 409):
                return done(call, status, body)
            if status > 0 or last[0] == 0 and status < 0:
                last = max(status, 0), body
        self.counts["calls_failed"] += 1
        return done(call, *last)

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await self.session.close()


def headers(data):
    return {HOP: "1", **({} if data is None else {"X-CRC32": f"{zlib.crc32(data):08x}"})}


TROUBLE = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
