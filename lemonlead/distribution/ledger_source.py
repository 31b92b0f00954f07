"""A relay's connection to the ledger's members, shared by all its subscribers: polls members as
`member_polling.py` decides and passes what they return to the relay."""

import asyncio
import time
import zlib

import aiohttp
import msgspec
from msgspec import Struct

from ..ledger.entries import EntryRow
from ..ledger.faults import Fault
from ..member.http_client import make_session
from ..member.memory import pause_gc
from .member_polling import MS, MemberPolling
from .faults import Unreadable

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 3.5  # longest time without a byte; a member answers a poll within 2 s
TOTAL_TIMEOUT_SECONDS = 60.0  # for a whole response, however slowly it arrives
LARGE_BODY_BYTES = 256 * 1024  # larger responses are parsed on a thread, so that streams go on meanwhile
MAX_BODY_BYTES = 256 * 1024 * 1024  # the same limit as between members
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError, Fault)


class Change(Struct, frozen=True):
    """A changed record of one part of the ledger's state."""

    part: str
    key: str
    record: EntryRow | None


class Event(Struct, frozen=True):
    """What one ledger entry changed."""

    index: int
    changes: list[Change]


class Events(Struct, frozen=True):
    """A member's response: either `events` after the requested index, or the `whole` state by part."""

    at: int
    cluster_id: str
    leader: str = ""
    events: list[Event] | None = None
    whole: dict[str, dict[str, EntryRow]] | None = None


EVENTS_DECODER = msgspec.json.Decoder(Events)


def parse_response(body, check, after):
    """Returns a member's response, checked. Raises Unreadable when it isn't one. `check` is the CRC-32 of the
    body in hexadecimal, if the member sent one; `after` is the index after which changes were requested."""
    if check is not None and check != f"{zlib.crc32(body):08x}":
        raise Unreadable("the response doesn't match its checksum")
    try:
        with pause_gc():
            response = EVENTS_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise Unreadable(str(error)[:200]) from None
    if (
        (response.events is None) == (response.whole is None)
        or not 0 < len(response.cluster_id) <= 100
        or response.at < 0
    ):
        raise Unreadable("the response has neither events nor whole, has both, or names no cluster")
    last = after
    for event in response.events or ():
        if not last < event.index <= response.at:
            raise Unreadable(
                f"an event of entry {event.index} after {last} in a response up to {response.at}"
            )
        last = event.index
    return response


def split_name(key):
    """Returns scope and key of an entry's name."""
    scope, space, rest = key.partition(" ")
    if not space:
        raise Unreadable(f"an entry named {key[:100]!r}")
    return scope, rest


def entry_changes(event):
    """Returns what an event changes as [(scope, key, record or None)]."""
    return [
        (*split_name(change.key), None if change.record is None else change.record.value)
        for change in event.changes
        if change.part == "entries"
    ]


def group_by_scope(rows):
    """Returns all entries as {scope: {key: (index, record)}}."""
    found = {}
    for name, row in rows.items():
        scope, key = split_name(name)
        found.setdefault(scope, {})[key] = row.since, row.value
    return found


def fold_events(events):
    """Returns all entries as they result from all changes since the first."""
    rows = {}
    for event in events:
        for change in event.changes:
            if change.part == "entries" and change.record is None:
                rows.pop(change.key, None)
            elif change.part == "entries":
                rows[change.key] = change.record
    return rows


def parse_state(body, check, after):
    """Returns a response, and the whole state as {scope: {key: (index, record)}} if the response contains it,
    else None."""
    response = parse_response(body, check, after)
    if response.whole is not None:
        return response, group_by_scope(response.whole.get("entries", {}))
    return response, group_by_scope(fold_events(response.events)) if after == 0 else None


class LedgerSource:
    """The source of a relay's state: the ledger. `listen` is the relay's own address, from which its calls go
    out."""

    def __init__(self, name, listen, members, seed, log):
        self.name, self.listen, self.log = name, listen, log
        self.polling = MemberPolling(time.monotonic_ns(), members, seed)
        self.last_reason = ""

    async def run(self, relay):
        """Polls members forever and passes the state to the relay, as a whole (`replace`) or change by change
        (`apply`)."""
        async with make_session(self.name, self.listen, limit=4) as calls:
            while True:
                if (request := self.polling.next(now := time.monotonic_ns())) is None:
                    await asyncio.sleep(max(self.polling.wake_at() - now, 0) / 1e9)
                    continue
                try:
                    reason = await self.call(calls, request, relay)
                except CALL_ERRORS as error:
                    reason = f"{type(error).__name__}: {error}"
                    self.polling.failed(time.monotonic_ns())
                self.log_change(request, reason)

    async def call(self, calls, request, relay):
        """Makes one call and applies its result. Returns why the call failed, or an empty string."""
        time_out = aiohttp.ClientTimeout(
            total=TOTAL_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=READ_TIMEOUT_SECONDS
        )
        async with calls.get(f"http://{request.address}{request.path}", timeout=time_out) as answer:
            body = bytearray()
            async for some in answer.content.iter_any():
                body += some
                if len(body) > MAX_BODY_BYTES:
                    raise Unreadable(f"a response of more than {MAX_BODY_BYTES} bytes")
            status, check = answer.status, answer.headers.get("X-CRC32")
        if status != 200:
            self.polling.failed(time.monotonic_ns(), retry_pause(body))
            return f"status {status}"
        if len(body) > LARGE_BODY_BYTES:
            response, state = await asyncio.to_thread(
                parse_state, bytes(body), check, self.polling.applied_index
            )
        else:
            response, state = parse_state(bytes(body), check, self.polling.applied_index)
        if not self.polling.accept_response(
            time.monotonic_ns(), response.cluster_id, response.at, response.leader
        ):
            return "" if response.cluster_id == self.polling.cluster else "of another cluster, or older"
        self.apply(response, state, relay)
        return "" if response.leader else "it knows no leader"

    def apply(self, response, state, relay):
        """Applies the whole state if there is one (at the start and after a gap), else change by change."""
        if state is not None:
            relay.replace(response.cluster_id, response.at, state)
            return self.polling.state_applied(response.at)
        for event in response.events:
            # An earlier event may have been applied before a later one of the same response failed.
            if event.index > relay.store.index:
                relay.apply(event.index, entry_changes(event))
        self.polling.state_applied(response.at)

    def is_cut_off(self, now):
        """Returns whether gateways are better served by another relay."""
        return self.polling.is_cut_off(now)

    def log_change(self, request, reason):
        """Logs one line when calls begin to fail and one when they work again, not one a call."""
        if bool(reason) != bool(self.last_reason):
            log = self.log.warning if reason else self.log.info
            log("ledger", heard="no" if reason else "yes", member=request.member, reason=reason[:200])
        self.last_reason = reason

    def figures(self):
        """Returns the counters."""
        return {**self.polling.counts, "index": self.polling.applied_index}


def retry_pause(body):
    """Returns the nanoseconds after which a member that refused wants to be called again, 0 if it doesn't
    say."""
    try:
        wait = msgspec.json.decode(bytes(body)).get("retry_ms")
    except (msgspec.MsgspecError, AttributeError, UnicodeError, RecursionError):
        return 0
    return wait * MS if type(wait) is int and 0 < wait < 10_000 else 0
