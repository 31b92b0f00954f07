"""The protocol parsers: whole input, input split at every byte, and input that exceeds their limits."""

import json
import random
import re
import time
import tracemalloc

import pytest

from lemonlead import interface as at
from lemonlead.gateway import http, platform, resp
from lemonlead.gateway.buffer import RETAINED_BYTES, Buffer


def fed(machine, pieces, more):
    """Returns all values that a parser gives for these pieces."""
    given = []
    for piece in pieces:
        machine.buffer.add(piece)
        while (value := machine.next()) is not more:
            given.append(value)
            if value is http.END:
                return given
    return given


def splits(data):
    """Yields the data whole, split in two at every byte, and byte by byte."""
    yield [data]
    yield from ([data[:at], data[at:]] for at in range(1, len(data)))
    yield [bytes([byte]) for byte in data]


COMMANDS = b"*1\r\n$4\r\nPING\r\n*3\r\n$5\r\nQ.ASK\r\n$0\r\n\r\n$2\r\n\r\n\r\n"
ANSWERS = (
    b"*3\r\n$3\r\nabc\r\n$-1\r\n$-1\r\n-BUSY 5\r\n+PONG\r\n$-1\r\n:-7\r\n*2\r\n*1\r\n:1\r\n*0\r\n$0\r\n\r\n"
)


def test_commands_are_parsed_for_every_split():
    for pieces in splits(COMMANDS):
        read = fed(resp.Reader(commands=True), pieces, resp.MORE)
        assert read == [[b"PING"], [b"Q.ASK", b"", b"\r\n"]]


def test_responses_are_parsed_for_every_split():
    for pieces in splits(ANSWERS):
        read = fed(resp.Reader(), pieces, resp.MORE)
        assert read == [[b"abc", None, None], b"BUSY 5", b"PONG", None, -7, [[1], []], b""]
        assert isinstance(read[1], resp.Fault) and isinstance(read[2], resp.Status) and type(read[6]) is bytes


@pytest.mark.parametrize("commands", [True, False])
@pytest.mark.parametrize(
    "data",
    [
        b"*1\r\n$65537\r\n",
        b"*65\r\n",
        b"*-2\r\n",
        b"$-2\r\n",
        b"*x\r\n",
        b"hello\r\n",
        b"\r\n",
        b"*1\r\n$3\r\nabcde",
        b"x" * 1025,
        b"*1\r\n$1x\r\n",
        b"*" + b"1" * 1025,
        b"*1\r\n" * 5,
        b"$--1\r\n",
    ],
)
def test_malformed_or_too_long_input_raises_malformed(data, commands):
    with pytest.raises(resp.Malformed):
        fed(resp.Reader(commands), [data], resp.MORE)


@pytest.mark.parametrize(
    "data", [b"*0\r\n", b"*-1\r\n", b"$4\r\nPING\r\n", b"PING\r\n", b"*1\r\n:1\r\n", b"*1\r\n$-1\r\n"]
)
def test_commands_must_be_arrays_of_bulk_strings(data):
    with pytest.raises(resp.Malformed):
        fed(resp.Reader(commands=True), [data], resp.MORE)


def test_command_size_is_limited_in_total_and_response_per_string():
    data = b"*3\r\n" + resp.bulk(b"x" * 60000) * 2 + b"$-1\r\n"
    assert len(fed(resp.Reader(), [data], resp.MORE)[0]) == 3
    with pytest.raises(resp.Malformed):
        fed(resp.Reader(commands=True), [data], resp.MORE)


def test_written_command_is_parsed_back():
    words = [b"Q.DO", b"key", b"", b"a\r\nb"]
    assert fed(resp.Reader(commands=True), [resp.command(words)], resp.MORE) == [words]


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED = HEAD + b'3\r\n{"a\r\n7;x=1\r\n":1}\n\n{\r\n2\r\n}\n\r\n0\r\nT: 1\r\n\r\n'
SIZED = b"HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\na\r\nbHTTP"
EMPTY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    "data, status, lines",
    [(CHUNKED, 200, [b'{"a":1}', b"", b"{}"]), (SIZED, 503, [b"a", b"b"]), (EMPTY, 503, [])],
)
def test_body_lines_are_parsed_for_every_split(data, status, lines):
    for pieces in splits(data):
        answer = http.Response()
        assert fed(answer, pieces, http.MORE) == [*lines, http.END] and answer.status == status


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n",
        b"HTTP/1.1 two\r\n",
        b"HTTP/1.1 200 OK\r\nno header\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"".join(b"h%d: b\r\n" % n for n in range(101)),
        b"HTTP/1.1 200 OK\r\n" + b"a" * 8193,
        HEAD + b"zz\r\n",
        HEAD + b"-1\r\n",
        HEAD + b"fffffff\r\n",
        HEAD + b"1\r\nabc\r\n",
        HEAD + b"\r\n",
    ],
    ids=range(12),
)
def test_invalid_http_response_raises_malformed(data):
    with pytest.raises(http.Malformed):
        fed(http.Response(), [data], http.MORE)


def test_platform_lines_are_parsed_for_every_split():
    for pieces in splits(b"OK\r\n* stage 42 1 trial 0.28 310\r\n*\r\n\r\n"):
        read = fed(platform.Reader(), pieces, None)
        assert read == [["OK"], ["*", "stage", "42", "1", "trial", "0.28", "310"], ["*"], []]


@pytest.mark.parametrize("data", [b"x" * 8193, b"\xff\r\n"])
def test_too_long_or_non_ascii_platform_line_is_malformed(data):
    with pytest.raises(platform.Malformed):
        fed(platform.Reader(), [data], None)


@pytest.mark.parametrize(
    "line, expected",
    [
        ("OK 42 1 trial 0.28 310", (at.COUNTED, (42, 1, at.ON_TRIAL, 0.28, 310_000_000))),
        ("OK 42 4 rolling_back 0 0.5", (at.COUNTED, (42, 4, at.ROLLING_BACK, 0.0, 500_000))),
        ("ERR Throttling", (at.OVER_ALLOWANCE, None)),
        ("ERR ConditionFailed", (at.MOOT, None)),
        ("ERR InternalFailure", (at.VOTE_ERRED, None)),
        ("ERR", (at.VOTE_ERRED, None)),
    ],
)
def test_vote_response_is_parsed(line, expected):
    assert platform.parse_vote_response(line.split()) == expected


@pytest.mark.parametrize(
    "line",
    [
        "",
        "YES",
        "OK",
        "OK 42 1 trial 0.28",
        "OK x 1 trial 0.28 1",
        "OK 42 1 odd 0.28 1",
        "OK 42 1 trial nan 1",
        "OK 42 1 trial 2 1",
        "OK -1 1 trial 1 1",
        "OK 42 1 trial 1 -5",
    ],
)
def test_invalid_vote_response_is_malformed(line):
    with pytest.raises(platform.Malformed):
        platform.parse_vote_response(line.split())


def test_buffer_grows_and_is_compacted_in_place():
    buffer = Buffer(8)
    buffer.add(b"abcdefgh")
    assert buffer.take(6) == b"abcdef" and buffer.take(3) is None
    data = buffer.data
    buffer.add(b"ijklmn")
    assert buffer.data is data and len(data) == 8 and buffer.take(8) == b"ghijklmn"
    buffer.add(b"x" * 100)
    assert buffer.data is data and len(data) == 128 and len(buffer) == 100
    buffer.add(b"x" * 20000)
    assert buffer.take(20100) and len(buffer.free_space()) == RETAINED_BYTES and buffer.data is data


def test_brackets_within_strings_do_not_count():
    """Compares with a plain method: removes all strings, then counts the brackets."""
    chance = random.Random(1)
    for _ in range(20_000):
        line = bytes(chance.choices(b'"{}[]\\ab ', k=chance.randrange(1, 14)))
        bare = re.sub(rb'"(?:[^"\\]|\\.)*"', b"", line)
        objects = http.JsonObjects()
        objects.add(b"{" * 20)  # so that the object stays unfinished
        objects.add(line)
        assert objects.depth == 20 + sum(map(bare.count, b"{[")) - sum(map(bare.count, b"}]"))


def test_finding_the_end_of_a_large_list_needs_little_memory():
    servers = [{"id": f"s-{n}", "addr": "127.0.0.1:7000", "cell": n, "state": "up"} for n in range(2000)]
    text = json.dumps({"version": 2, "full": True, "servers": servers}).encode()
    objects = http.JsonObjects()
    tracemalloc.start()
    try:
        assert objects.add(text) == text
        assert tracemalloc.get_traced_memory()[1] < len(text) / 4
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("part", [b'"', b'\\"', b'["', b"[]"])
def test_time_to_read_a_line_of_a_list_is_linear_in_its_length(part):
    """Guards against a gateway that hears no list while it reads a line whose string has no end: each quote
    in it was tried as the start of one, 11 s for 32 KB."""
    began = time.thread_time()
    http.JsonObjects().add((b'{"' + part * http.MAX_BODY_LINE_BYTES)[: 1 << 18])
    assert time.thread_time() - began < 0.2
