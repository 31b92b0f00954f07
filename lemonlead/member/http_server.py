"""The door to operators, gateways and the other members: HTTP, as the page of the outside has it.

What is asked is handed to the host, whose one answer goes back; where another member leads, the call is
passed on to it once. Bodies, connections and calls that wait are bounded, and so is the time of each."""

import asyncio
import zlib
from contextlib import contextmanager

import msgspec
from aiohttp import web

from ..ledger.faults import Senseless
from ..ledger.records import CANDIDATE, FOLLOWER, LEADER, LEARNER, NOT_DONE, OUTSIDE, UNKNOWN
from ..ledger.state import MAX_COMMAND_BYTES
from . import assembly, peers
from .http_client import HOP, REACHED
from .forming import numeric
from .faults import Late, NoLeader, NotNow, Outside, TooMany, Undecided

MOST_CALLS = 2000  # being answered at once, beside those of peers; past it 503
MOST_POLLS = 1500  # of these that wait for events
MOST_PEER_CALLS = 64  # of other members at once
MOST_WHOLE = 4  # large answers being made at once; others wait for their turn
MOST_PASSED = 256 * 1024 * 1024  # bytes of an answer that is passed on
LONGEST_FORM = 64 * 1024 * 1024
BODY_TIME = 5  # seconds for a body to come
COMMAND_TIME = 10  # seconds until a command that has no answer is told as unknown, a read as not done
ROWS = 500  # records encoded in one go, before the loop sees to other things
RETRY = 300  # ms

ENCODE = msgspec.json.Encoder().encode


def answer(status, body, *more):
    data = b"".join((body if isinstance(body, bytes) else ENCODE(body), *more))
    headers = {"X-CRC32": f"{zlib.crc32(data):08x}"}
    return web.Response(status=status, body=data, content_type="application/json", headers=headers)


def refused(status, error, **more):
    return answer(status, {"error": error.read(), **more})


def not_now(error, outcome=NOT_DONE, retry=RETRY):
    return refused(503, error, outcome=outcome, retry_ms=retry)


async def rows(part):
    """A part's records as JSON, without holding up the loop."""
    some, done = [], []
    for key, record in part.items():
        some.append(ENCODE(key) + b":" + ENCODE(record))
        if len(some) == ROWS:
            done.append(b",".join(some))
            some = []
            await asyncio.sleep(0)
    return b"{" + b",".join(done + [b",".join(some)] if some else done) + b"}"


def number(request, name):
    text = request.query.get(name, "0")
    if not text.isdecimal() or not text.isascii() or len(text) > 18:
        raise Senseless(f"{name} is {text[:50]!r}, a whole number is wanted")
    return int(text)


class HttpServer:
    """`member`: the process (run.Member)."""

    def __init__(self, member):
        self.member, self.asking, self.log = member, member.asking, member.log
        self.open = self.polls = self.peers = 0
        self.whole = asyncio.Semaphore(MOST_WHOLE)
        self.counts = {"calls": 0, "calls_turned_away": 0, "senseless": 0, "late": 0, "garbled": 0}
        self.counts.update({"passed_on": 0, "most_calls": 0})
        self.app = web.Application(client_max_size=LONGEST_FORM, middlewares=[self.around])
        self.app.add_routes(
            [
                web.get("/readyz", self.ready),
                web.get("/v1/status", self.status),
                web.post("/v1/commands", self.command),
                web.get("/v1/state/{part}", self.state),
                web.get("/v1/events", self.events),
                web.get("/peer/hello", self.hello),
                web.post("/peer/messages", self.messages),
                web.post("/peer/form", self.form),
            ]
        )

    @web.middleware
    async def around(self, request, handler):
        """Bounds and errors, the same for all calls."""
        if request.path.startswith("/peer/"):
            if self.peers >= MOST_PEER_CALLS:
                self.counts["calls_turned_away"] += 1
                return not_now(TooMany(f"{MOST_PEER_CALLS} calls of members are being answered"))
            with self.counted("peers"):
                return await self.guarded(request, handler)
        if self.open >= MOST_CALLS:
            self.counts["calls_turned_away"] += 1
            return not_now(TooMany(f"{MOST_CALLS} calls are being answered"), retry=1000)
        with self.counted("open"):
            self.counts["calls"] += 1
            self.counts["most_calls"] = max(self.counts["most_calls"], self.open)
            return await self.guarded(request, handler)

    @contextmanager
    def counted(self, what):
        setattr(self, what, getattr(self, what) + 1)
        try:
            yield
        finally:
            setattr(self, what, getattr(self, what) - 1)

    async def guarded(self, request, handler):
        try:
            return await handler(request)
        except Senseless as error:
            self.counts["senseless"] += 1
            return refused(400, error)
        except NotNow as error:
            return not_now(error, error.outcome)
        except web.HTTPException as error:
            return refused(error.status, Senseless(f"{request.method} {request.path[:100]}: {error.reason}"))

    async def body(self, request, most):
        """The whole body: of so many bytes at most, in time, unharmed where it has a check."""
        data = bytearray()
        try:
            async with asyncio.timeout(BODY_TIME):
                async for some in request.content.iter_any():
                    data += some
                    if len(data) > most:
                        raise Senseless(f"a body of more than {most} bytes")
        except TimeoutError:
            raise Senseless(f"the body did not come within {BODY_TIME} s") from None
        check = request.headers.get("X-CRC32")
        if check is not None and check != f"{zlib.crc32(data):08x}":
            self.counts["garbled"] += 1
            raise Senseless("the body is not what its check says")
        return bytes(data)

    @property
    def host(self):
        """The host, once the member is in a cluster."""
        if self.member.host is None:
            raise Outside(self.member.why or "the member starts")
        return self.member.host

    @property
    def cluster_id(self):
        """Drawn as the cluster was formed: one formed anew, which counts from 1 again, has another."""
        return self.host.dispatcher.replica.config.cluster

    async def within(self, ticket, outcome):
        try:
            async with asyncio.timeout(COMMAND_TIME):
                return await ticket
        except TimeoutError:
            self.counts["late"] += 1
            error = Late(f"no answer within {COMMAND_TIME} s")
            error.outcome = outcome
            raise error from None

    # ---- what is passed on

    def leader(self, request, leader):
        """The address of the member to pass this call on to; NoLeader where it is not to be passed on."""
        host = self.host
        if leader == self.member.name:
            raise TooMany(f"{leader} leads and takes no more now")
        if HOP in request.headers:
            raise NoLeader(f"{self.member.name} does not lead, {leader or 'nobody that it knows'} does")
        address = host.address(leader)
        if address is None:
            raise NoLeader(f"{self.member.name} knows no leader")
        return address

    async def pass_on(self, request, leader, data=None):
        """To the leader, whose answer is waited for as long as it leads."""
        address = self.leader(request, leader)
        self.counts["passed_on"] += 1
        method, path = request.method, request.path_qs
        asked = asyncio.ensure_future(
            self.asking.passed(method, address, path, COMMAND_TIME + 1, MOST_PASSED, data)
        )
        try:
            with self.host.left(leader) as left:
                await asyncio.wait((asked, left), return_when=asyncio.FIRST_COMPLETED)
            status, body = asked.result() if asked.done() else (-1, b"")
        finally:
            asked.cancel()
        if status > 0:
            return answer(status, body)
        if status == 0 or method == "GET":
            raise NoLeader(f"{leader} led and did not answer")
        raise Undecided(f"{leader} led and did not answer: it may yet be done")

    # ---- calls of operators and gateways

    async def command(self, request):
        data = await self.body(request, MAX_COMMAND_BYTES)
        host = self.host
        if HOP not in request.headers:
            data = await self.member.forming.filled_in(data)
        code, body = await self.within(host.command(data), UNKNOWN)
        if code != 503:
            return answer(code, {**body, "cluster_id": self.cluster_id} if code == 200 else body)
        if body.get("outcome") == NOT_DONE:
            return await self.pass_on(request, body.get("leader"), data)
        raise Undecided("leadership was lost before the command was committed: it may yet be done")

    async def state(self, request):
        name, host = request.match_info["part"], self.host
        self.known(name)
        more = {}
        if request.query.get("read") == "local":
            state = host.dispatcher.state
            more["age_ms"] = host.age() // 1_000_000
        elif "read" in request.query:
            raise Senseless(f"read is {request.query['read'][:50]!r}: local is allowed, or nothing")
        else:
            state, leader = await self.within(host.read(), NOT_DONE)
            if state is None:
                return await self.pass_on(request, leader)
        async with self.whole:
            head = ENCODE({"at": state.index, "moment": state.moment, "cluster_id": self.cluster_id, **more})
            return answer(200, head[:-1], b',"items":', await rows(assembly.describe_part(state, name)), b"}")

    async def events(self, request):
        after, since = number(request, "after"), number(request, "since")
        gateway, parts = request.query.get("gateway", ""), self.parts(request)
        if len(gateway) > 100:
            raise Senseless("the gateway's name is longer than 100 letters")
        if self.polls >= MOST_POLLS:
            self.counts["calls_turned_away"] += 1
            raise TooMany(f"{MOST_POLLS} calls wait for events")
        with self.counted("polls"):
            asked = self.host.poll(after, gateway, since, parts)
            events, at, state, leader = await self.within(asked, NOT_DONE)
        if events is None and state is None:
            return await self.pass_on(request, leader)
        if events is not None:
            told = [{"index": index, "changes": list(changed(changes))} for index, changes in events]
            moment = self.host.dispatcher.state.moment
            body = {"at": at, "moment": moment, "leader": leader, "cluster_id": self.cluster_id}
            return answer(200, {**body, "events": told})
        async with self.whole:
            body = {"at": at, "moment": state.moment, "leader": leader, "cluster_id": self.cluster_id}
            head = ENCODE(body)[:-1] + b',"whole":{'
            names = [name for name in sorted(state.parts) if not parts or name in parts]
            told = [ENCODE(name) + b":" + await rows(state.parts[name]) for name in names]
            return answer(200, head, b",".join(told), b"}}")

    def parts(self, request):
        """Those that the call names, comma between; empty for all."""
        if "parts" not in request.query:
            return ()
        parts = tuple(request.query["parts"].split(","))
        for name in parts:
            self.known(name)
        return parts

    def known(self, part):
        kinds = self.host.dispatcher.ledger.kinds
        if part not in kinds:
            raise Senseless(f"no part {part[:100]!r}: there are {', '.join(sorted(kinds))}")

    async def status(self, request):
        host, member = self.member.host, self.member
        told = {"cluster": member.told.cluster, "member": member.name}
        if host is None:
            told.update(role=OUTSIDE, term=0, leader="", committed=0, applied=0, members={}, bears=None)
            return answer(200, {**told, "reason": member.why})
        replica = host.dispatcher.replica
        role = OUTSIDE if replica.name not in replica.members else replica.role
        told["role"] = FOLLOWER if role == CANDIDATE else role
        told.update(term=replica.term, leader=replica.leader, committed=replica.committed)
        told["applied"] = host.dispatcher.state.index
        told["members"] = {
            name: LEADER if name == replica.leader else FOLLOWER if seat.votes else LEARNER
            for name, seat in sorted(replica.members.items())
        }
        told["bears"] = host.bears()
        if told["bears"] is None and HOP not in request.headers:
            told["bears"] = await self.asked_leader(replica.leader)
        if host.reason():
            told["reason"] = host.reason()
        return answer(200, told)

    async def asked_leader(self, leader):
        """How many losses the cluster bears, as its leader knows; None where it does not say."""
        address = self.host.address(leader)
        if address is None:
            return None
        _, told = await self.asking.told(
            "GET", address, "/v1/status", self.asking.patience, headers={HOP: "1"}
        )
        return told.get("bears")

    async def ready(self, request):
        host, member = self.host, self.member
        if host.reason():
            raise Outside(host.reason())
        if not host.dispatcher.replica.leader:
            raise NoLeader(f"{member.name} knows no leader")
        age = host.age()
        if age > member.told.times.stale:
            raise NoLeader(f"the state is {age // 1_000_000} ms old")
        return answer(200, {"ready": True, "age_ms": age // 1_000_000})

    # ---- calls of other members

    async def hello(self, request):
        return answer(200, ENCODE(self.member.greeting()))

    async def messages(self, request):
        data = await self.body(request, peers.LONGEST)
        try:
            some = peers.DECODE(data)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            raise Senseless(f"no messages: {str(error)[:200]}") from None
        address = request.headers.get(REACHED, "")
        return web.Response(status=self.member.heard(some, address if numeric(address) else ""))

    async def form(self, request):
        if self.member.host is not None:
            return answer(409, {"reason": f"{self.member.name} is in a cluster"})
        why = await self.member.forming.handed(await self.body(request, LONGEST_FORM))
        return answer(409, {"reason": why}) if why else answer(200, {})


def changed(changes):
    for (part, key), record in changes.items():
        yield {"part": part, "key": key, "record": record}
