"""HTTP calls of a member other than the messages of its replica: asking other members who they are, passing
on a command, and calls of a leader task to another cluster."""

import asyncio
import zlib

import aiohttp
import msgspec

from ..ledger.membership import Greeting

MEMBER_HEADER = "X-Lemonlead-Member"  # the name of the member that calls
REACHED_HEADER = "X-Lemonlead-Reached"  # the address at which the calling member is reached
HOP_HEADER = "X-Lemonlead-Hop"  # set on a call that a member passes on: it is not passed on again
MAX_RESPONSE_BYTES = 1024 * 1024
MAX_CLUSTER_CALLS = 64  # to other clusters, concurrent; a further call gets code 0, as if no member answered
GREETING = msgspec.json.Decoder(Greeting)


def make_session(name, listen, timeout=None, **limits):
    """Returns a pool of connections. They go out from the address at which the member listens, so that
    whatever stands between members can tell whose connections they are."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(local_addr=(listen.rpartition(":")[0], 0), **limits),
        timeout=timeout,
        headers={MEMBER_HEADER: name},
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class HttpClient:
    """Calls other members and other clusters. `name`, `listen`: those of the calling member. `clusters`: dict
    from cluster name to addresses. `timeout_s`: seconds for one short response; `command_timeout_s`: seconds
    for the response to a command."""

    def __init__(self, name, listen, clusters, timeout_s, command_timeout_s):
        self.clusters = clusters
        self.timeout_s = timeout_s
        self.command_timeout_s = command_timeout_s
        self.session = make_session(name, listen, limit=512, keepalive_timeout=30)
        self.tasks = set()
        self.counts = {"greetings": 0, "passed_on": 0, "calls": 0, "calls_dropped": 0, "calls_failed": 0}

    async def request(self, method, address, path, timeout_s, max_bytes=MAX_RESPONSE_BYTES, **more):
        """Returns (status, body); raises one of HTTP_ERRORS."""
        async with self.session.request(
            method, f"http://{address}{path}", timeout=aiohttp.ClientTimeout(total=timeout_s), **more
        ) as response:
            body = bytearray()
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > max_bytes:
                    raise aiohttp.ClientPayloadError("the response is too long")
            checksum = response.headers.get("X-CRC32")
            if checksum is not None and checksum != f"{zlib.crc32(body):08x}":
                raise aiohttp.ClientPayloadError("the response does not match its checksum")
            return response.status, bytes(body)

    async def fetch_greeting(self, address, timeout_s=0):
        """Returns the greeting of the member at this address, or None. `timeout_s`: seconds to wait where
        that is more than usual."""
        self.counts["greetings"] += 1
        try:
            status, body = await self.request("GET", address, "/peer/hello", max(self.timeout_s, timeout_s))
            return GREETING.decode(body) if status == 200 else None
        except (*HTTP_ERRORS, msgspec.MsgspecError, UnicodeError):
            return None

    async def pass_on(self, method, address, path, timeout_s, max_bytes, data):
        """Passes a call on and returns (status, bytes). The status is 0 if nothing was sent, and -1 if the
        result of the call is unknown."""
        self.counts["passed_on"] += 1
        try:
            return await self.request(
                method, address, path, timeout_s, max_bytes, data=data, headers=hop_headers(data)
            )
        except aiohttp.ClientConnectorError:
            return 0, b""
        except HTTP_ERRORS:
            return -1, b""

    async def request_json(self, method, address, path, timeout_s, **more):
        """Returns (status, dict): (0, {}) if nothing was sent, (-1, {}) if the result is unknown."""
        try:
            status, body = await self.request(method, address, path, timeout_s, **more)
            body = msgspec.json.decode(body)
            return (status, body) if isinstance(body, dict) else (-1, {})
        except aiohttp.ClientConnectorError:
            return 0, {}
        except (*HTTP_ERRORS, msgspec.MsgspecError, UnicodeError):
            return -1, {}

    # ---- calls to other clusters

    def call_cluster(self, call, done):
        """Starts a call to another cluster; `done(call, code, body)` is called once, in the event loop."""
        if len(self.tasks) >= MAX_CLUSTER_CALLS or call.cluster not in self.clusters:
            self.counts["calls_dropped"] += 1
            return done(call, 0, {})
        task = asyncio.get_running_loop().create_task(self.try_members(call, done))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def try_members(self, call, done):
        """Calls the members of the cluster one after the other until a response tells the result of the
        call. If there is none, `done` gets the last 503, or else code 0."""
        self.counts["calls"] += 1
        last = 0, {}
        for address in self.clusters[call.cluster]:
            status, body = await self.request_json(
                "POST", address, "/v1/commands", self.command_timeout_s, data=call.data
            )
            if status in (200, 400, 409):
                return done(call, status, body)
            if status > 0 or last[0] == 0 and status < 0:
                last = max(status, 0), body
        self.counts["calls_failed"] += 1
        return done(call, *last)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await self.session.close()


def hop_headers(data):
    """Returns the headers of a call that must not be passed on again, with the checksum of its body."""
    return {HOP_HEADER: "1", **({} if data is None else {"X-CRC32": f"{zlib.crc32(data):08x}"})}


HTTP_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
