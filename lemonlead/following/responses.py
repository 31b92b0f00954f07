"""Parses the responses of members. Uses the standard library alone, so that a gateway stays small."""

import json
import zlib
from dataclasses import dataclass

from .faults import Unreadable

FOLLOWED_PARTS = ("nodes", "permits", "followers", "members")  # the others are ignored
# A stage of a move waits until gateways acknowledge it, so a change of a move has to end a waiting poll.
POLLED_PARTS = (*FOLLOWED_PARTS, "moves")
MAX_RECORDS = 200_000  # of one part, as in the ledger


@dataclass(slots=True)
class LedgerUpdate:
    """The changes of a response up to entry `index`. `changes` holds (part, key, record as dict, or None for
    a removed one), in order. `whole` names the parts of which `changes` holds all records. `ledger_time` is
    the ledger's time as of then, None if the response doesn't have it. `cluster` is the id that the cluster
    got when it was formed; a newly formed cluster counts from 1 again."""

    index: int
    changes: list
    whole: tuple = ()
    ledger_time: int | None = None
    cluster: str = ""


def parse_body(body, check):
    """Returns the JSON object of a body, checked against its CRC-32 in hexadecimal if the member sent one."""
    try:
        if check and int(check, 16) != zlib.crc32(body):
            raise Unreadable("the body doesn't match its checksum")
        response = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Unreadable(str(error)[:200]) from None
    if type(response) is not dict:
        raise Unreadable("no object")
    return response


def parse_whole_number(response, name, minimum=0):
    """Returns a field that must be a whole number."""
    value = response.get(name)
    if type(value) is not int or value < minimum:
        raise Unreadable(f"{name} is {value!r}"[:100])
    return value


def cluster_id(response):
    """Returns the id of the cluster that responded."""
    id = response.get("cluster_id")
    if type(id) is not str or not 0 < len(id) <= 100:
        raise Unreadable(f"cluster_id is {id!r}"[:100])
    return id


def ledger_time(response):
    """Returns the ledger's time, None if the response doesn't have it."""
    return parse_whole_number(response, "moment") if response.get("moment") is not None else None


def check_record(part, key, value):
    """Returns a record, checked as far as it is used. An unknown state of a node is accepted, and no attempt
    goes to such a node."""
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
            raise Unreadable(f"a move's share is {value['share']}"[:100])
    return part, key, value


def parse_events(response, after, parts=FOLLOWED_PARTS):
    """Returns a LedgerUpdate with the changes of these parts after an index, or None when the member no
    longer keeps those and the whole state has to be requested."""
    if response.get("events") is None:
        if response.get("whole") is None:
            raise Unreadable("neither events nor whole")
        return None
    at, changes, last = parse_whole_number(response, "at"), [], after
    for event in response["events"] if type(response["events"]) is list else (None,):
        if type(event) is not dict:
            raise Unreadable("an event that is no object")
        last = parse_whole_number(event, "index", last + 1)
        changes += parse_changes(event.get("changes"), parts)
    if last > max(at, after):
        raise Unreadable(f"an event of entry {last} in a response up to {at}")
    return LedgerUpdate(at, changes, ledger_time=ledger_time(response), cluster=cluster_id(response))


def parse_changes(changes, parts):
    """Yields the changes of the given parts from a list of objects with `part`, `key` and `record`."""
    if type(changes) is not list:
        raise Unreadable("an event without changes")
    for one in changes:
        if type(one) is not dict or type(one.get("part")) is not str:
            raise Unreadable("a change that is no object")
        if one["part"] in parts:
            yield check_record(one["part"], one.get("key"), one.get("record"))


def parse_state(response, part):
    """Returns a LedgerUpdate with all records of a part."""
    items = response.get("items")
    if type(items) is not dict or len(items) > MAX_RECORDS or None in items.values():
        raise Unreadable("items that are no object, or too many")
    changes = [check_record(part, key, value) for key, value in items.items()]
    return LedgerUpdate(
        parse_whole_number(response, "at"), changes, (part,), ledger_time(response), cluster_id(response)
    )


def next_page(response, page_after):
    """Returns the last key of a page of a part if there are more, else an empty string. Members that don't
    know pages return the whole part. `page_after` is the last key of the page before."""
    key = response.get("next_page", "")
    if type(key) is not str or key and key <= page_after:
        raise Unreadable(f"next_page is {key!r} after {page_after!r}"[:300])
    return key


def missing_part(part):
    """Returns a LedgerUpdate for a part that the member doesn't serve: it has no records and doesn't limit
    the index."""
    return LedgerUpdate(1 << 62, [], (part,))


def check_record_count(updates):
    """Raises Unreadable if the pages of a part have more records than a part may have."""
    last = updates[-1].whole
    if sum(len(update.changes) for update in updates if update.whole == last) > MAX_RECORDS:
        raise Unreadable(f"more than {MAX_RECORDS} records of {last}")


def join_updates(updates):
    """Returns one LedgerUpdate for several of one cluster. It is true as of the earliest of them; later
    changes are polled again."""
    moments = [update.ledger_time for update in updates if update.ledger_time is not None]
    return LedgerUpdate(
        min(update.index for update in updates),
        [change for update in updates for change in update.changes],
        tuple(part for update in updates for part in update.whole),
        min(moments) if len(moments) == len(updates) else None,
        max(update.cluster for update in updates),
    )


def leader_hint(response):
    """Returns the name or address of the member that a member names as the one to call, empty if it names
    none."""
    name = response.get("leader")
    return name if type(name) is str else ""


def retry_pause(response):
    """Returns the nanoseconds after which a member wants to be called again, at most 10 s."""
    wait = response.get("retry_ms")
    return min(wait, 10_000) * 1_000_000 if type(wait) is int and wait > 0 else 0
