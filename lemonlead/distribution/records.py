"""The messages between relays and gateways: HTTP bodies and stream lines, as JSON."""

import re
import zlib
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from ..ledger.names import is_name
from .faults import Senseless, Unreadable, Unusable, describe_value

# Urgency levels; the lowest is sent first.
DRAIN, COLD, REST = 0, 1, 2
OUT_STATES = ("draining", "removed")  # states of an instance that gets no new attempts

MAX_LINE_BYTES = 16 * 1024  # including the line's end
MAX_RECORD_BYTES = 8 * 1024  # as JSON; one record fits into a line with its names
MIN_BURST_BYTES = 10 * 1024  # any one record fits into it
MAX_SCOPES = 2000  # for one gateway
MAX_REFUSED = 1000  # for one acknowledgement
MAX_REASON_LENGTH = 300  # characters
MAX_INDEX = 1 << 62
ALL_GATEWAYS = ""  # the scope that every gateway subscribes to

KEY = re.compile(r"[!-~]{1,200}")

Index = Annotated[int, Meta(ge=0, le=MAX_INDEX)]
Change = tuple[str, str, Annotated[int, Meta(ge=1, le=MAX_INDEX)], dict[str, Any] | None]
Refusal = tuple[str, str, Index, Annotated[str, Meta(max_length=MAX_REASON_LENGTH)]]


class Subscription(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST /v1/subscribe. `scopes` maps each scope to the index up to which it is complete in
    `cluster`, which is empty when nothing is known yet. `stay` is the id of this subscription;
    acknowledgements count only for the subscription that they name."""

    gateway: str
    region: str
    cluster: str
    scopes: dict[str, Index]
    stay: str = ""


class Acknowledgement(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST /v1/acknowledge. `complete` holds the scopes that advanced and the index up to which
    they are in force. `refused` holds all records that are refused now, each as (scope, key, index, reason);
    it replaces the list sent before."""

    gateway: str
    cluster: str
    complete: dict[str, Index]
    refused: Annotated[list[Refusal], Meta(max_length=MAX_REFUSED)] = []
    stay: str = ""


class Line(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One line of a stream. The first line names `cluster` and `at`; each other line has changes or announces
    a `snapshot`. `n` counts lines from 1 and `check` is the CRC-32 (eight hexadecimal digits) of the line
    before that field, so that lost, repeated or garbled lines are noticed. Both may be absent."""

    cluster: str | None = None
    at: Index | None = None
    snapshot: str | None = None
    changes: list[Change] | None = None
    complete: dict[str, Index] | None = None
    n: Annotated[int, Meta(ge=1)] | None = None
    check: str | None = None


LINE_DECODER = msgspec.json.Decoder(Line)
CHECK_TAIL = re.compile(rb'(?:,"n":[1-9][0-9]*)?,"check":"([0-9a-f]{8})"\}\Z')
encode = msgspec.json.encode


def urgency(record):
    """Returns DRAIN for a record that is gone or takes nothing new, COLD for one that has just started, else
    REST."""
    if record is None or record.get("state") in OUT_STATES:
        return DRAIN
    started = record.get("started_ms", 0)
    cold = record.get("cold") or type(started) in (int, float) and started > 0
    return COLD if cold else REST


def seal_line(body, n):
    """Returns a line from the content of its JSON object, with line number and checksum."""
    line = b'{%b,"n":%d' % (body, n)
    return b'%b,"check":"%08x"}\n' % (line, zlib.crc32(line))


SEAL_BYTES = len(seal_line(b"", 10**9))  # the most that seal_line adds


def parse_line(data):
    """Returns the Line in these bytes. Raises Unreadable when they are none."""
    if len(data) > MAX_LINE_BYTES:
        raise Unreadable(f"a line of {len(data)} bytes; at most {MAX_LINE_BYTES}")
    data = data.rstrip(b"\r\n")
    try:
        line = LINE_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise Unreadable(f"not a line: {str(error)[:200]}") from None
    if line.check is not None:
        tail = CHECK_TAIL.search(data)
        start = data.rfind(b',"check":')
        if tail is None or int(tail[1], 16) != zlib.crc32(data[:start]):
            raise Unreadable("a line that doesn't match its checksum")
    return line


def check_scope_name(scope, where, fault=Senseless):
    """Returns the scope name, checked."""
    if type(scope) is not str or scope and not is_name(scope):
        raise fault(
            f"{where}: scope {describe_value(scope)}; "
            "expected a name of 1 to 100 characters, or '' for the scope of all gateways"
        )
    return scope


def check_gateway_name(name, where, fault=Senseless):
    """Returns the gateway's name, checked."""
    if not is_name(name):
        raise fault(
            f"{where}: {describe_value(name)}; expected a name of 1 to 100 characters (A-Z a-z 0-9 _ . : / -)"
        )
    return name


def check_index(index, where, minimum=0, fault=Senseless):
    """Returns the index, checked."""
    if type(index) is not int or not minimum <= index <= MAX_INDEX:
        raise fault(f"{where}: {describe_value(index)}; expected a whole number from {minimum}")
    return index


def check_scope_indexes(scopes, where="scopes", fault=Senseless):
    """Returns scopes with their indexes, checked."""
    if type(scopes) is not dict:
        raise fault(f"{where}: {describe_value(scopes)}; expected an object of scope to index")
    if len(scopes) > MAX_SCOPES:
        raise fault(f"{where}: {len(scopes)} scopes; expected at most {MAX_SCOPES}")
    for scope, index in scopes.items():
        check_scope_name(scope, where, fault)
        check_index(index, f"{where}.{scope}", fault=fault)
    return scopes


def check_amount(value, where, minimum=1):
    """Returns a rate or a size of the settings. Raises Unusable when it is invalid."""
    if type(value) is not int or not minimum <= value <= 1 << 40:
        raise Unusable(f"{where}: {describe_value(value)}; expected a whole number from {minimum}")
    return value


def parse_body(body, kind):
    """Returns the body of a call as a Subscription or an Acknowledgement. Raises Senseless when it is
    invalid."""
    try:
        message = msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise Senseless(f"body: {str(error)[:200]}") from None
    check_gateway_name(message.gateway, "gateway")
    if kind is Subscription:
        check_gateway_name(message.region, "region")
        check_scope_indexes(message.scopes)
    else:
        check_scope_indexes(message.complete, "complete")
    if len(message.cluster) > 100 or len(message.stay) > 100:
        raise Senseless("cluster, stay: expected at most 100 characters each")
    return message
