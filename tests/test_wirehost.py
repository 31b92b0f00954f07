"""The wire protocol: valid input is read whole; invalid input ends the program with one line of error."""

import io
import json
import struct
import subprocess
import sys

import pytest

from lemonlead.wirehost.codec import BATCH, EVENTS, BadFrame, read_frame
from lemonlead.wirehost.host import Host


def event(code, *values):
    return struct.pack("<B" + EVENTS[code][1], code, *values).ljust(48, b"\0")


def batch(records, tail=b"", number=1, count=None, length=None):
    body = b"".join(records)
    size = 12 + len(body) + len(tail) if length is None else length
    return BATCH.pack(number, size, len(records) if count is None else count, 100.0) + body + tail


def up(settings):
    data = json.dumps(settings).encode()
    return event(1, 3, 7, 0, len(data)), data


def test_empty_batch_of_the_protocol_page():
    data = bytes.fromhex("01000000 0c000000 00000000 00000000206ec040")
    assert Host().reply_to(read_frame(io.BytesIO(data))) == bytes.fromhex("01000000 04000000 00000000")


@pytest.mark.parametrize("settings", [{}, {"Lanes": [], "New": 1}, {"Lanes": [{"Effect": "odd"}]}])
def test_odd_but_legal_settings_start_a_balancer(settings):
    record, tail = up(settings)
    host = Host()
    host.reply_to(read_frame(io.BytesIO(batch([record], tail))))
    assert list(host.balancers) == [3]


@pytest.mark.parametrize(
    "data",
    [
        b"\1\0\0",
        batch([event(10, 1)], count=2),
        batch([event(10, 1)]),  # a gateway that is not up
        batch([b"\x63" + bytes(47)]),
        batch([event(1, 3, 7, 0, 99)]),
        batch([up({})[0]], b"[]"),
        batch([event(14, 0, 4, 9)]),
        batch([], length=400),
    ],
)
def test_malformed_input_ends_with_one_line_of_error(data):
    with pytest.raises(BadFrame):
        Host().reply_to(read_frame(io.BytesIO(data)))
    done = subprocess.run([sys.executable, "-m", "lemonlead.wirehost"], input=data, capture_output=True)
    assert done.returncode == 1 and done.stderr.count(b"\n") == 1 and b"Traceback" not in done.stderr


def test_replaced_timer_sets_no_other():
    record, tail = up({})
    host = Host()
    host.reply_to(read_frame(io.BytesIO(batch([record], tail))))
    timer_at = host.balancers[3].timer_at
    woken = host.reply_to(read_frame(io.BytesIO(batch([event(7, 3, 0)]))))
    assert host.balancers[3].timer_at == timer_at and woken == bytes.fromhex("01000000 04000000 00000000")


def test_end_of_input_is_a_clean_exit():
    done = subprocess.run([sys.executable, "-m", "lemonlead.wirehost"], input=b"", capture_output=True)
    assert (done.returncode, done.stdout, done.stderr) == (0, b"", b"")
