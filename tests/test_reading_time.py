"""The time to read each body and stream that a member, a relay or a gateway takes, whatever bytes come."""

import contextlib
import time

import msgspec
import pytest

from lemonlead.distribution import ledger_source, records
from lemonlead.distribution.faults import Unreadable as UnreadableLine
from lemonlead.following import responses
from lemonlead.gateway import http, platform, resp
from lemonlead.ledger.faults import Fault
from lemonlead.member import assembly, forming, peers

BODY_BYTES = 1 << 18
PIECE_BYTES = 64  # of a stream that arrives in small pieces
MAX_NS_A_BYTE = 2000
REFUSALS = (Fault, UnreadableLine, ValueError, msgspec.MsgspecError, RecursionError)
LEDGER = assembly.make_ledger()


def stream(parser, more, start=b""):
    """Returns a function that reads bytes in pieces."""

    def read(data):
        reader = parser()
        for place in range(0, len(start + data), PIECE_BYTES):
            reader.buffer.add((start + data)[place : place + PIECE_BYTES])
            while reader.next() not in (more, http.END):
                pass

    return read


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n"
READERS = {
    "command of a member": lambda data: LEDGER.read(data, outside=True),
    "messages between members": peers.DECODE,
    "first snapshot": forming.DECODE,
    "subscription": lambda data: records.parse_body(data, records.Subscription),
    "acknowledgement": lambda data: records.parse_body(data, records.Acknowledgement),
    "line to a gateway": lambda data: records.parse_line(data[: records.MAX_LINE_BYTES]),
    "changes for a relay": lambda data: ledger_source.parse_response(data, None, 0),
    "changes for a gateway": lambda data: responses.parse_body(data, ""),
    "object of a list": lambda data: http.JsonObjects().add(data),
    "stream of a list": stream(http.Response, http.MORE, CHUNKED),
    "client": stream(lambda: resp.Reader(commands=True), resp.MORE),
    "instance": stream(resp.Reader, resp.MORE),
    "release platform": stream(platform.Reader, None),
}
PARTS = [
    b'"', b'\\"', b'"\\', b"[", b"{", b'{"a":', b"[]", b'["', b'"{', b"\\", b"\n", b"\r\n", b"1", b"-", b" ",
    b"*1\r\n", b"*9\r\n", b"$1\r\n", b"+a\r\n", b":1\r\n", b"$0\r\n\r\n", b"\x91", b"\x81\xa0",
    b"\xdd\0\0\0\1", b"\xff",
]  # fmt: skip
STARTS = [b"", b'{"id":"x","kind":"entry","value":"', b"*500\r\n"]


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("start", STARTS)
def test_time_to_read_is_linear_in_the_length_of_any_bytes(reader, start):
    """Guards against bytes that keep a process from everything else: a time that grows with the square of
    the length, as from trying each quote as the start of a string."""
    for part in PARTS:
        data = (start + part * BODY_BYTES)[:BODY_BYTES]
        began = time.thread_time_ns()
        with contextlib.suppress(*REFUSALS):
            READERS[reader](data)
        assert time.thread_time_ns() - began < MAX_NS_A_BYTE * BODY_BYTES, part
