"""A relay's one call to the ledger's members, for all its subscribers: asks what `member_polling.py` says and
hands what they answer to the relay."""

import asyncio
import time
import zlib

import aiohttp
import msgspec
from msgspec import Struct

from ..ledger.entries import EntryRow
from ..ledger.faults import Fault
from ..member.asking import session
from ..member.memory import uncollected
from .member_polling import MS, MemberPolling
from .faults import Unreadable

CONNECTS = 1.0  # seconds
SILENCE = 3.5  # seconds without a byte after which a call has failed; a member answers a poll within 2
WHOLE = 60.0  # seconds for a whole answer, however it drips
LARGE = 256 * 1024  # bytes of an answer that is read beside the loop: streams go on meanwhile
MOST_ANSWER = 256 * 1024 * 1024  # bytes, as a member passes on
TROUBLE = (aiohttp.ClientError, TimeoutError, OSError, ValueError, Fault)


class Change(Struct, frozen=True):
    part: str
    key: str
    record: EntryRow | None


class Event(Struct, frozen=True):
    index: int
    changes: list[Change]


class Events(Struct, frozen=True):
    at: int
    cluster_id: str
    leader: str = ""
    events: list[Event] | None = None
    whole: dict[str, dict[str, EntryRow]] | None = None


EVENTS = msgspec.json.Decoder(Events)


def read(body, check, after):
    """An answer of a member, checked; Unreadable where it is none."""
    if check is not None and check != f"{zlib.crc32(body):08x}":
        raise Unreadable("the answer is not what its check says")
    try:
        with uncollected():
            told = EVENTS.decode(body)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise Unreadable(str(error)[:200]) from None
    if (told.events is None) == (told.whole is None) or not 0 < len(told.cluster_id) <= 100 or told.at < 0:
        raise Unreadable("neither events nor whole, both, or of no cluster")
    last = after
    for event in told.events or ():
        if not last < event.index <= told.at:
            raise Unreadable(f"an event of entry {event.index} after {last} in an answer up to {told.at}")
        last = event.index
    return told


def named(key):
    """Scope and key of an entry's name."""
    scope, space, rest = key.partition(" ")
    if not space:
        raise Unreadable(f"an entry named {key[:100]!r}")
    return scope, rest


def entries(event):
    """What an event changes: (scope, key, record or None)."""
    return [
        (*named(change.key), None if change.record is None else change.record.value)
        for change in event.changes
        if change.part == "entries"
    ]


def scopes(rows):
    """{scope: {key: (index, record)}} of all entries."""
    found = {}
    for name, row in rows.items():
        scope, key = named(name)
        found.setdefault(scope, {})[key] = row.since, row.value
    return found


def folded(events):
    """All entries, from all changes that there ever were."""
    rows = {}
    for event in events:
        for change in event.changes:
            if change.part == "entries" and change.record is None:
                rows.pop(change.key, None)
            elif change.part == "entries":
                rows[change.key] = change.record
    return rows


def understood(body, check, after):
    """An answer, and the whole state as {scope: {key: (index, record)}} where it tells that, else None."""
    told = read(body, check, after)
    if told.whole is not None:
        return told, scopes(told.whole.get("entries", {}))
    return told, scopes(folded(told.events)) if after == 0 else None


class LedgerSource:
    """The source of a relay where there is a ledger. `listen`: the address that calls go out from."""

    def __init__(self, name, listen, members, seed, log):
        self.name, self.listen, self.log = name, listen, log
        self.course = MemberPolling(time.monotonic_ns(), members, seed)
        self.last = ""

    async def run(self, relay):
        """For ever: tells the relay what there is (`replace`) and what changes (`apply`)."""
        async with session(self.name, self.listen, limit=4) as calls:
            while True:
                if (ask := self.course.next(now := time.monotonic_ns())) is None:
                    await asyncio.sleep(max(self.course.wake_at() - now, 0) / 1e9)
                    continue
                try:
                    reason = await self.call(calls, ask, relay)
                except TROUBLE as error:
                    reason = f"{type(error).__name__}: {error}"
                    self.course.failed(time.monotonic_ns())
                self.say(ask, reason)

    async def call(self, calls, ask, relay):
        """One call and what comes of it; why it came to nothing, or an empty string."""
        time_out = aiohttp.ClientTimeout(total=WHOLE, sock_connect=CONNECTS, sock_read=SILENCE)
        async with calls.get(f"http://{ask.address}{ask.path}", timeout=time_out) as answer:
            body = bytearray()
            async for some in answer.content.iter_any():
                body += some
                if len(body) > MOST_ANSWER:
                    raise Unreadable(f"an answer of more than {MOST_ANSWER} bytes")
            status, check = answer.status, answer.headers.get("X-CRC32")
        if status != 200:
            self.course.failed(time.monotonic_ns(), retry(body))
            return f"status {status}"
        if len(body) > LARGE:
            told, state = await asyncio.to_thread(understood, bytes(body), check, self.course.at)
        else:
            told, state = understood(bytes(body), check, self.course.at)
        if not self.course.answered(time.monotonic_ns(), told.cluster_id, told.at, told.leader):
            return "" if told.cluster_id == self.course.cluster else "of another cluster, or older"
        self.take(told, state, relay)
        return "" if told.leader else "it knows no leader"

    def take(self, told, state, relay):
        """The whole state after a gap, and at first; else change by change."""
        if state is not None:
            relay.replace(told.cluster_id, told.at, state)
            return self.course.had(told.at)
        for event in told.events:
            if event.index > relay.store.index:  # else taken before a later one of the same answer failed
                relay.apply(event.index, entries(event))
        self.course.had(told.at)

    def is_cut_off(self, now):
        return self.course.is_cut_off(now)

    def say(self, ask, reason):
        """One line when it begins to fail and one when it works again, not one a call."""
        if bool(reason) != bool(self.last):
            told = self.log.warning if reason else self.log.info
            told("ledger", heard="no" if reason else "yes", member=ask.member, reason=reason[:200])
        self.last = reason

    def figures(self):
        return {**self.course.counts, "index": self.course.at}


def retry(body):
    """Nanoseconds after which a member that refuses asks to be asked again; 0 where it does not say."""
    try:
        wait = msgspec.json.decode(bytes(body)).get("retry_ms")
    except (msgspec.MsgspecError, AttributeError, UnicodeError, RecursionError):
        return 0
    return wait * MS if type(wait) is int and 0 < wait < 10_000 else 0
