"""The HTTP server of a member, for operators, gateways and the other members, as described in
`docs/cluster.md`.

Each call is handed to the host, whose one answer goes back. If another member leads, the call is passed on to
it once. Bodies, connections and waiting calls are bounded, and so is the time of each call."""

import asyncio
import zlib
from contextlib import contextmanager

import msgspec
from aiohttp import web

from ..ledger.faults import Senseless
from ..ledger.records import CANDIDATE, FOLLOWER, LEADER, LEARNER, NOT_DONE, OUTSIDE, UNKNOWN
from ..ledger.state import MAX_COMMAND_BYTES
from . import assembly, peers
from .faults import Late, NoLeader, NotNow, Outside, TooMany, Undecided
from .forming import is_numeric
from .http_client import HOP_HEADER, REACHED_HEADER

MAX_CALLS = 2000  # handled concurrently, without those of peers; a further one gets 503
MAX_POLLS = 1500  # of these, calls that wait for events
MAX_PEER_CALLS = 64  # of other members, handled concurrently
MAX_LARGE_RESPONSES = 4  # encoded concurrently; others wait for their turn
MAX_PASSED_ON_BYTES = 256 * 1024 * 1024  # of a response that is passed on
MAX_BOOTSTRAP_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_SECONDS = 5  # for a body to arrive
COMMAND_TIMEOUT_SECONDS = 10  # then a command without an answer is UNKNOWN, and a read NOT_DONE
PAGE_BYTES = 1024 * 1024  # a page of a part's records ends with the record that reaches this size
ROWS_PER_SLICE = 500  # records encoded before the event loop does other things
RETRY_MS = 300

ENCODE = msgspec.json.Encoder().encode


def json_response(status, body, *more):
    """Returns a response with a checksum. `body` and `more`: bytes of JSON; `body` may be an object that is
    encoded."""
    data = b"".join((body if isinstance(body, bytes) else ENCODE(body), *more))
    headers = {"X-CRC32": f"{zlib.crc32(data):08x}"}
    return web.Response(status=status, body=data, content_type="application/json", headers=headers)


def error_response(status, error, **more):
    return json_response(status, {"error": error.read(), **more})


def unavailable_response(error, outcome=NOT_DONE, retry_ms=RETRY_MS):
    return error_response(503, error, outcome=outcome, retry_ms=retry_ms)


async def encode_rows(rows):
    """Returns a part's records as JSON; the event loop can do other things meanwhile."""
    some, done = [], []
    for key, record in rows.items():
        some.append(ENCODE(key) + b":" + ENCODE(record))
        if len(some) == ROWS_PER_SLICE:
            done.append(b",".join(some))
            some = []
            await asyncio.sleep(0)
    return b"{" + b",".join(done + [b",".join(some)] if some else done) + b"}"


async def encode_page(rows, after):
    """Returns the records with keys after this one, up to PAGE_BYTES, as `encode_rows`, and the last of their
    keys if there are more, else an empty string."""
    keys = sorted(key for key in rows if key > after)
    done, size = [], 0
    for number, key in enumerate(keys):
        if size >= PAGE_BYTES:
            return b"{" + b",".join(done) + b"}", keys[number - 1]
        done.append(ENCODE(key) + b":" + ENCODE(rows[key]))
        size += len(done[-1])
        if len(done) % ROWS_PER_SLICE == 0:
            await asyncio.sleep(0)
    return b"{" + b",".join(done) + b"}", ""


def query_number(request, name):
    """Returns a whole number from the query, 0 if it is not there."""
    text = request.query.get(name, "0")
    if not text.isdecimal() or not text.isascii() or len(text) > 18:
        raise Senseless(f"{name} is {text[:50]!r}, a whole number is required")
    return int(text)


class HttpServer:
    """The handlers of all paths. `member`: the process (run.Member)."""

    def __init__(self, member):
        self.member, self.client, self.log = member, member.client, member.log
        self.open_calls = self.open_polls = self.open_peer_calls = 0
        self.large_response_slots = asyncio.Semaphore(MAX_LARGE_RESPONSES)
        self.counts = {"calls": 0, "calls_turned_away": 0, "senseless": 0, "late": 0, "garbled": 0}
        self.counts.update({"passed_on": 0, "most_calls": 0})
        self.app = web.Application(client_max_size=MAX_BOOTSTRAP_BYTES, middlewares=[self.limit_calls])
        self.app.add_routes(
            [
                web.get("/readyz", self.ready),
                web.get("/v1/status", self.status),
                web.post("/v1/commands", self.command),
                web.get("/v1/state/{part}", self.state),
                web.get("/v1/events", self.events),
                web.get("/peer/hello", self.hello),
                web.post("/peer/messages", self.messages),
                web.post("/peer/form", self.bootstrap_cluster),
            ]
        )

    @web.middleware
    async def limit_calls(self, request, handler):
        """Bounds the number of calls, and turns errors into responses, for all paths."""
        if request.path.startswith("/peer/"):
            if self.open_peer_calls >= MAX_PEER_CALLS:
                self.counts["calls_turned_away"] += 1
                return unavailable_response(TooMany(f"{MAX_PEER_CALLS} calls of members are being answered"))
            with self.count_open("open_peer_calls"):
                return await self.answer_errors(request, handler)
        if self.open_calls >= MAX_CALLS:
            self.counts["calls_turned_away"] += 1
            return unavailable_response(TooMany(f"{MAX_CALLS} calls are being answered"), retry_ms=1000)
        with self.count_open("open_calls"):
            self.counts["calls"] += 1
            self.counts["most_calls"] = max(self.counts["most_calls"], self.open_calls)
            return await self.answer_errors(request, handler)

    @contextmanager
    def count_open(self, attribute):
        """Counts a call in this attribute while it is open."""
        setattr(self, attribute, getattr(self, attribute) + 1)
        try:
            yield
        finally:
            setattr(self, attribute, getattr(self, attribute) - 1)

    async def answer_errors(self, request, handler):
        try:
            return await handler(request)
        except Senseless as error:
            self.counts["senseless"] += 1
            return error_response(400, error)
        except NotNow as error:
            return unavailable_response(error, error.outcome)
        except web.HTTPException as error:
            return error_response(
                error.status, Senseless(f"{request.method} {request.path[:100]}: {error.reason}")
            )

    async def read_body(self, request, max_bytes):
        """Returns the whole body. Raises Senseless if it is too long, arrives too late or does not match its
        checksum."""
        data = bytearray()
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                async for chunk in request.content.iter_any():
                    data += chunk
                    if len(data) > max_bytes:
                        raise Senseless(f"a body of more than {max_bytes} bytes")
        except TimeoutError:
            raise Senseless(f"the body did not arrive within {BODY_TIMEOUT_SECONDS} s") from None
        checksum = request.headers.get("X-CRC32")
        if checksum is not None and checksum != f"{zlib.crc32(data):08x}":
            self.counts["garbled"] += 1
            raise Senseless("the body does not match its checksum")
        return bytes(data)

    @property
    def host(self):
        """The host, once the member is in a cluster. Raises Outside before."""
        if self.member.host is None:
            raise Outside(self.member.outside_reason or "the member starts")
        return self.member.host

    @property
    def cluster_id(self):
        """The random id that was drawn when the cluster was formed. If the cluster is formed again, its index
        starts at 1 again and its id is another one."""
        return self.host.dispatcher.replica.config.cluster

    async def wait_for(self, ticket, outcome):
        """Returns the result of a future of the host. Raises Late, with this outcome, after
        COMMAND_TIMEOUT_SECONDS."""
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_SECONDS):
                return await ticket
        except TimeoutError:
            self.counts["late"] += 1
            error = Late(f"no answer within {COMMAND_TIMEOUT_SECONDS} s")
            error.outcome = outcome
            raise error from None

    # ---- calls that are passed on

    def leader_address(self, request, leader):
        """Returns the address of the member to pass this call on to. Raises NoLeader or TooMany if the call
        is not to be passed on."""
        host = self.host
        if leader == self.member.name:
            raise TooMany(f"{leader} leads and accepts no more calls now")
        if HOP_HEADER in request.headers:
            raise NoLeader(f"{self.member.name} does not lead, {leader or 'nobody that it knows'} does")
        address = host.address(leader)
        if address is None:
            raise NoLeader(f"{self.member.name} knows no leader")
        return address

    async def forward_to_leader(self, request, leader, data=None):
        """Forwards a call to the leader, and waits for the response as long as that member leads."""
        address = self.leader_address(request, leader)
        self.counts["passed_on"] += 1
        method, path = request.method, request.path_qs
        response = asyncio.ensure_future(
            self.client.pass_on(method, address, path, COMMAND_TIMEOUT_SECONDS + 1, MAX_PASSED_ON_BYTES, data)
        )
        try:
            with self.host.leader_change(leader) as leader_change:
                await asyncio.wait((response, leader_change), return_when=asyncio.FIRST_COMPLETED)
            status, body = response.result() if response.done() else (-1, b"")
        finally:
            response.cancel()
        if status > 0:
            return json_response(status, body)
        # 0: nothing was sent. -1: the result is unknown.
        if status == 0 or method == "GET":
            raise NoLeader(f"{leader} led and did not answer")
        raise Undecided(f"{leader} led and did not answer: it may yet be done")

    # ---- calls of operators and gateways

    async def command(self, request):
        data = await self.read_body(request, MAX_COMMAND_BYTES)
        host = self.host
        if HOP_HEADER not in request.headers:
            data = await self.member.forming.fill_in_folder(data)
        code, body = await self.wait_for(host.command(data), UNKNOWN)
        if code != 503:
            return json_response(code, {**body, "cluster_id": self.cluster_id} if code == 200 else body)
        if body.get("outcome") == NOT_DONE:
            return await self.forward_to_leader(request, body.get("leader"), data)
        raise Undecided("leadership was lost before the command was committed: it may yet be done")

    async def state(self, request):
        name, host = request.match_info["part"], self.host
        self.check_part(name)
        more = {}
        if request.query.get("read") == "local":
            state = host.dispatcher.state
            more["age_ms"] = host.state_age_ns() // 1_000_000
        elif "read" in request.query:
            raise Senseless(f"read is {request.query['read'][:50]!r}: local is allowed, or nothing")
        else:
            state, leader = await self.wait_for(host.read(), NOT_DONE)
            if state is None:
                return await self.forward_to_leader(request, leader)
        async with self.large_response_slots:
            rows = assembly.describe_part(state, name)
            if "page_after" in request.query:
                items, more["next_page"] = await encode_page(rows, request.query["page_after"])
            else:
                items = await encode_rows(rows)
            head = ENCODE({"at": state.index, "moment": state.moment, "cluster_id": self.cluster_id, **more})
            return json_response(200, head[:-1], b',"items":', items, b"}")

    async def events(self, request):
        after, since = query_number(request, "after"), query_number(request, "since")
        gateway, parts = request.query.get("gateway", ""), self.requested_parts(request)
        if len(gateway) > 100:
            raise Senseless("the name of the gateway is longer than 100 characters")
        if self.open_polls >= MAX_POLLS:
            self.counts["calls_turned_away"] += 1
            raise TooMany(f"{MAX_POLLS} calls wait for events")
        with self.count_open("open_polls"):
            ticket = self.host.poll(after, gateway, since, parts)
            events, at, state, leader = await self.wait_for(ticket, NOT_DONE)
        if events is None and state is None:
            return await self.forward_to_leader(request, leader)
        if events is not None:
            items = [
                {"index": index, "changes": list(describe_changes(changes))} for index, changes in events
            ]
            ledger_time = self.host.dispatcher.state.moment
            body = {"at": at, "moment": ledger_time, "leader": leader, "cluster_id": self.cluster_id}
            return json_response(200, {**body, "events": items})
        async with self.large_response_slots:
            body = {"at": at, "moment": state.moment, "leader": leader, "cluster_id": self.cluster_id}
            head = ENCODE(body)[:-1] + b',"whole":{'
            names = [name for name in sorted(state.parts) if not parts or name in parts]
            items = [ENCODE(name) + b":" + await encode_rows(state.parts[name]) for name in names]
            return json_response(200, head, b",".join(items), b"}}")

    def requested_parts(self, request):
        """Returns the parts that the call names, separated by commas; empty for all."""
        if "parts" not in request.query:
            return ()
        parts = tuple(request.query["parts"].split(","))
        for name in parts:
            self.check_part(name)
        return parts

    def check_part(self, part):
        """Raises Senseless if there is no such part of the state."""
        kinds = self.host.dispatcher.ledger.kinds
        if part not in kinds:
            raise Senseless(f"no part {part[:100]!r}: there are {', '.join(sorted(kinds))}")

    async def status(self, request):
        host, member = self.member.host, self.member
        body = {"cluster": member.settings.cluster, "member": member.name}
        if host is None:
            body.update(role=OUTSIDE, term=0, leader="", committed=0, applied=0, members={}, bears=None)
            return json_response(200, {**body, "reason": member.outside_reason})
        replica = host.dispatcher.replica
        role = OUTSIDE if replica.name not in replica.members else replica.role
        body["role"] = FOLLOWER if role == CANDIDATE else role
        body.update(term=replica.term, leader=replica.leader, committed=replica.committed)
        body["applied"] = host.dispatcher.state.index
        body["members"] = {
            name: LEADER if name == replica.leader else FOLLOWER if configured.votes else LEARNER
            for name, configured in sorted(replica.members.items())
        }
        body["bears"] = host.tolerated_losses()
        if body["bears"] is None and HOP_HEADER not in request.headers:
            body["bears"] = await self.ask_tolerated_losses(replica.leader)
        if host.outside_reason():
            body["reason"] = host.outside_reason()
        return json_response(200, body)

    async def ask_tolerated_losses(self, leader):
        """Asks the leader how many more members the cluster can lose; None if it does not answer."""
        address = self.host.address(leader)
        if address is None:
            return None
        _, body = await self.client.request_json(
            "GET", address, "/v1/status", self.client.timeout_s, headers={HOP_HEADER: "1"}
        )
        return body.get("bears")

    async def ready(self, request):
        host, member = self.host, self.member
        if host.outside_reason():
            raise Outside(host.outside_reason())
        if not host.dispatcher.replica.leader:
            raise NoLeader(f"{member.name} knows no leader")
        age_ns = host.state_age_ns()
        if age_ns > member.settings.times.stale:
            raise NoLeader(f"the state is {age_ns // 1_000_000} ms old")
        return json_response(200, {"ready": True, "age_ms": age_ns // 1_000_000})

    # ---- calls of other members

    async def hello(self, request):
        return json_response(200, ENCODE(self.member.greeting()))

    async def messages(self, request):
        data = await self.read_body(request, peers.MAX_RECEIVED_BYTES)
        try:
            batch = peers.DECODE(data)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            raise Senseless(f"not a batch of messages: {str(error)[:200]}") from None
        address = request.headers.get(REACHED_HEADER, "")
        return web.Response(
            status=self.member.receive_messages(batch, address if is_numeric(address) else "")
        )

    async def bootstrap_cluster(self, request):
        if self.member.host is not None:
            return json_response(409, {"reason": f"{self.member.name} is in a cluster"})
        reason = await self.member.forming.receive_snapshot(
            await self.read_body(request, MAX_BOOTSTRAP_BYTES)
        )
        return json_response(409, {"reason": reason}) if reason else json_response(200, {})


def describe_changes(changes):
    for (part, key), record in changes.items():
        yield {"part": part, "key": key, "record": record}
