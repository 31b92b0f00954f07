"""What passes between a relay and a gateway: HTTP bodies and lines, as JSON."""

import re
import zlib
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from .faults import Senseless, Unreadable, Unusable, shown

DRAIN, COLD, REST = 0, 1, 2  # the first goes first
OUT = ("draining", "removed")  # states of a record that gets nothing new

LINE = 16 * 1024  # bytes of the longest line, its end counted
MOST_RECORD = 8 * 1024  # bytes of a record as JSON: one fits into a line with its names
LEAST_BURST = 10 * 1024  # bytes: any one record fits into it
MOST_SCOPES = 2000  # of one gateway
MOST_REFUSED = 1000  # told at a time
LONGEST_SAYS = 300  # characters of why a record was refused
LONGEST_KEY = 200
MOST_INDEX = 1 << 62
ALL = ""  # the scope that every gateway has

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:/-]{0,99}")  # as the ledger's Name
KEY = re.compile(r"[!-~]{1,200}")

Index = Annotated[int, Meta(ge=0, le=MOST_INDEX)]
Change = tuple[str, str, Annotated[int, Meta(ge=1, le=MOST_INDEX)], dict[str, Any] | None]
Refusal = tuple[str, str, Index, Annotated[str, Meta(max_length=LONGEST_SAYS)]]


class Subscription(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST /v1/subscribe. `scopes`: index up to which each is complete, as of `cluster`, which
    is empty where nothing is known yet. `stay`: drawn anew by each subscription; what is acknowledged counts
    for this one alone."""

    gateway: str
    region: str
    cluster: str
    scopes: dict[str, Index]
    stay: str = ""


class Acknowledgement(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST /v1/acknowledge. `complete`: scopes that got further, and how far they are in force.
    `refused`: all records that are refused now, each as (scope, key, index, why); in place of those told
    before."""

    gateway: str
    cluster: str
    complete: dict[str, Index]
    refused: Annotated[list[Refusal], Meta(max_length=MOST_REFUSED)] = []
    stay: str = ""


class Line(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One line of a stream: the first names `cluster` and `at`; each other has changes, or begins a
    `snapshot`. `n` counts lines from 1, `check` is the CRC-32 (eight hexadecimal digits) of the line before
    that field: against lines that are lost, repeated or garbled on their way. Both may be left out."""

    cluster: str | None = None
    at: Index | None = None
    snapshot: str | None = None
    changes: list[Change] | None = None
    complete: dict[str, Index] | None = None
    n: Annotated[int, Meta(ge=1)] | None = None
    check: str | None = None


LINES = msgspec.json.Decoder(Line)
TAIL = re.compile(rb'(?:,"n":[1-9][0-9]*)?,"check":"([0-9a-f]{8})"\}\Z')
encode = msgspec.json.encode


def urgency(record):
    """DRAIN for one that is gone or takes nothing new, COLD for one that has just started, else REST."""
    if record is None or record.get("state") in OUT:
        return DRAIN
    started = record.get("started_ms", 0)
    cold = record.get("cold") or type(started) in (int, float) and started > 0
    return COLD if cold else REST


def sealed(body, n):
    """A line from the inside of its object: counted, checked, ended."""
    line = b'{%b,"n":%d' % (body, n)
    return b'%b,"check":"%08x"}\n' % (line, zlib.crc32(line))


SEAL = len(sealed(b"", 10**9))  # what that adds, at most


def unsealed(data):
    """The line that these bytes are; Unreadable where they are none."""
    if len(data) > LINE:
        raise Unreadable(f"a line of {len(data)} bytes; at most {LINE}")
    data = data.rstrip(b"\r\n")
    try:
        line = LINES.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise Unreadable(f"no line: {str(error)[:200]}") from None
    if line.check is not None:
        tail = TAIL.search(data)
        start = data.rfind(b',"check":')
        if tail is None or int(tail[1], 16) != zlib.crc32(data[:start]):
            raise Unreadable("a line that is not what its check says")
    return line


def scope_name(scope, where, fault=Senseless):
    if type(scope) is not str or scope and not NAME.fullmatch(scope):
        raise fault(f"{where}: scope {shown(scope)}; expected a name of 1 to 100 characters, or '' for all's")
    return scope


def gateway_name(name, where, fault=Senseless):
    if type(name) is not str or not NAME.fullmatch(name):
        raise fault(f"{where}: {shown(name)}; expected a name of 1 to 100 characters (A-Z a-z 0-9 _ . : / -)")
    return name


def index_number(index, where, least=0, fault=Senseless):
    if type(index) is not int or not least <= index <= MOST_INDEX:
        raise fault(f"{where}: {shown(index)}; expected a whole number from {least}")
    return index


def positions(scopes, where="scopes", fault=Senseless):
    """Scopes with their indexes, as they are handed in, checked."""
    if type(scopes) is not dict:
        raise fault(f"{where}: {shown(scopes)}; expected an object of scope to index")
    if len(scopes) > MOST_SCOPES:
        raise fault(f"{where}: {len(scopes)} scopes; expected at most {MOST_SCOPES}")
    for scope, index in scopes.items():
        scope_name(scope, where, fault)
        index_number(index, f"{where}.{scope}", fault=fault)
    return scopes


def amount(value, where, least=1):
    """A rate or a size of the settings; Unusable where it is none."""
    if type(value) is not int or not least <= value <= 1 << 40:
        raise Unusable(f"{where}: {shown(value)}; expected a whole number from {least}")
    return value


def parse_body(body, kind):
    """The body of a call as a Subscription or an Acknowledgement; Senseless where it is none."""
    try:
        told = msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise Senseless(f"body: {str(error)[:200]}") from None
    gateway_name(told.gateway, "gateway")
    if kind is Subscription:
        gateway_name(told.region, "region")
        positions(told.scopes)
    else:
        positions(told.complete, "complete")
    if len(told.cluster) > 100 or len(told.stay) > 100:
        raise Senseless("cluster, stay: expected at most 100 characters each")
    return told
