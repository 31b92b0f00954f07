"""What a member answers, read. Standard library alone: a gateway stays small."""

import json
import zlib
from dataclasses import dataclass

from .faults import Unreadable

FOLLOWED_PARTS = ("nodes", "permits", "followers", "members")  # what a gateway heeds; all else is passed over
# A stage of a move waits until gateways acknowledge it, so a change of a move has to end a waiting poll.
POLLED_PARTS = (*FOLLOWED_PARTS, "moves")
MAX_RECORDS = 200_000  # records of one part, as in the ledger


@dataclass(slots=True)
class LedgerUpdate:
    """What an answer tells up to entry `index`. `changes`: (part, key, record as dict, or None where it was
    dropped), in order. `whole`: parts of which `changes` are all records that there are. `ledger_time`: the
    ledger's time as of then, None where it is not told. `cluster`: the id that the cluster drew as it was
    formed; one formed anew counts from 1 again."""

    index: int
    changes: list
    whole: tuple = ()
    ledger_time: int | None = None
    cluster: str = ""


def parse_body(body, check):
    """The body, whose CRC-32 the member may have told as hexadecimal digits."""
    try:
        if check and int(check, 16) != zlib.crc32(body):
            raise Unreadable("the body is not what its check says")
        told = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Unreadable(str(error)[:200]) from None
    if type(told) is not dict:
        raise Unreadable("no object")
    return told


def parse_whole_number(told, name, least=0):
    value = told.get(name)
    if type(value) is not int or value < least:
        raise Unreadable(f"{name} is {value!r}"[:100])
    return value


def cluster_id(told):
    """The id of the cluster that answered."""
    id = told.get("cluster_id")
    if type(id) is not str or not 0 < len(id) <= 100:
        raise Unreadable(f"cluster_id is {id!r}"[:100])
    return id


def ledger_time(told):
    return parse_whole_number(told, "moment") if told.get("moment") is not None else None


def check_record(part, key, value):
    """A record as far as it is heeded. An unknown state of a node is read as it is: no attempt goes there."""
    if type(key) is not str or type(value) not in (dict, type(None)):
        raise Unreadable(f"no record: {part} {key!r}"[:100])
    if part == "nodes" and value is not None:
        state, out, warm = value.get("state", "serving"), value.get("out", ""), value.get("warm", 0)
        if type(state) is not str or type(out) is not str or type(warm) is not int:
            raise Unreadable(f"no node: {key}"[:100])
    if part == "moves" and value is not None:
        texts = [value.get(name) for name in ("service", "to", "step")]
        numbers = [value.get(name) for name in ("epoch", "stage", "share", "at")]
        if any(type(text) is not str for text in texts) or any(type(one) is not int for one in numbers):
            raise Unreadable(f"no move: {key}"[:100])
        if not 0 <= value["share"] <= 1000:
            raise Unreadable(f"a move's share: {value['share']}"[:100])
    return part, key, value


def parse_events(told, after, parts=FOLLOWED_PARTS):
    """LedgerUpdate of these parts of what came after an index; None where that is kept no more and the whole
    has to be asked for."""
    if told.get("events") is None:
        if told.get("whole") is None:
            raise Unreadable("neither events nor whole")
        return None
    at, changes, last = parse_whole_number(told, "at"), [], after
    for event in told["events"] if type(told["events"]) is list else (None,):
        if type(event) is not dict:
            raise Unreadable("an event that is none")
        last = parse_whole_number(event, "index", last + 1)
        changes += parse_changes(event.get("changes"), parts)
    if last > max(at, after):
        raise Unreadable(f"an event of entry {last} in an answer up to {at}")
    return LedgerUpdate(at, changes, ledger_time=ledger_time(told), cluster=cluster_id(told))


def parse_changes(told, parts):
    """Changes as a list of objects with `part`, `key` and `record`, of the parts that are heeded."""
    if type(told) is not list:
        raise Unreadable("an event without changes")
    for one in told:
        if type(one) is not dict or type(one.get("part")) is not str:
            raise Unreadable("a change that is none")
        if one["part"] in parts:
            yield check_record(one["part"], one.get("key"), one.get("record"))


def parse_state(told, part):
    """LedgerUpdate of all records of a part."""
    items = told.get("items")
    if type(items) is not dict or len(items) > MAX_RECORDS or None in items.values():
        raise Unreadable("items that are none, or too many")
    changes = [check_record(part, key, value) for key, value in items.items()]
    return LedgerUpdate(parse_whole_number(told, "at"), changes, (part,), ledger_time(told), cluster_id(told))


def missing_part(part):
    """A part that the member does not show: nothing is known of it, and nothing is held."""
    return LedgerUpdate(1 << 62, [], (part,))


def join_updates(some):
    """One of several of one cluster: true as of the earliest of them; what came after it is told again."""
    moments = [news.ledger_time for news in some if news.ledger_time is not None]
    return LedgerUpdate(
        min(news.index for news in some),
        [change for news in some for change in news.changes],
        tuple(part for news in some for part in news.whole),
        min(moments) if len(moments) == len(some) else None,
        max(news.cluster for news in some),
    )


def leader_hint(told):
    """Whom a member says to ask instead: a name or an address, empty where it says none."""
    name = told.get("leader")
    return name if type(name) is str else ""


def retry_pause(told):
    """Nanoseconds after which a member asks to be asked again; at most 10 s are heeded."""
    wait = told.get("retry_ms")
    return min(wait, 10_000) * 1_000_000 if type(wait) is int and wait > 0 else 0
