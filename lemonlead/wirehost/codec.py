"""Encodes and decodes the frames of the wire protocol.

Each kind of record is declared once, by its code, name and fields. The names of the protocol are used only
here and in the handlers of `host.py`. Times are milliseconds here; the host converts them to nanoseconds.
"""

import struct


class BadFrame(Exception):
    """The input is not a valid frame."""


BATCH = struct.Struct("<IIId")
REPLY = struct.Struct("<III")
EVENT_SIZE = 48  # bytes
ACTION_SIZE = 24  # bytes
ROW = struct.Struct("<IHHfHBfd")  # id, zone, kind, build, cell, state, nominal, start time

_GAUGE = "B4f"  # how many figures were reported, and the figures
# Code: (name, fields). II is a reference into the tail of the frame: an offset and a length in bytes.
EVENTS = {
    1: ("up", "HQII"),
    2: ("directory_update", "HBII"),
    3: ("work_item", "HQBIQddH"),
    4: ("first_byte", "HQIdH"),
    5: ("reply", "HQHdBIH" + _GAUGE),
    6: ("left", "HQ"),
    7: ("wakeup", "HQ"),
    8: ("health", "HIHd" + _GAUGE),
    9: ("heard", "HIII"),
    10: ("destroy", "H"),
    11: ("stage", "HHBBBHfd"),
    12: ("scorecard", "HBdIIdH"),
    13: ("bad_answer", "HIBd"),
    14: ("snapshot_rows", "III"),
}
ACTIONS = {
    "pass_on": (65, "HQId"),
    "busy": (66, "HQd"),
    "finish_error": (67, "HQ"),
    "withdraw": (68, "HQH"),
    "sleep": (69, "HdQ"),
    "ping": (70, "HI"),
    "disconnect": (71, "HI"),
    "broadcast_to": (72, "HHII"),
    "write_log": (73, "HII"),
    "bail_out": (74, "HII"),
    "watch": (75, "HB"),
    "pull": (76, "H"),
    "say_so": (77, "HHBB"),
}
_READ = {code: (name, struct.Struct("<x" + fields)) for code, (name, fields) in EVENTS.items()}
_WRITE = {name: (code, struct.Struct("<B" + fields)) for name, (code, fields) in ACTIONS.items()}


def read_frame(stream):
    """Returns the next batch as (number, clock, [(name, fields)], tail), or None at the end of the input."""
    head = stream.read(BATCH.size)
    if not head:
        return None
    if len(head) < BATCH.size:
        raise BadFrame(f"input ends within a header: {len(head)} of {BATCH.size} bytes")
    number, length, count, clock = BATCH.unpack(head)
    size = length - (BATCH.size - 8)
    if size < count * EVENT_SIZE:
        raise BadFrame(f"batch {number}: {length} bytes cannot hold {count} records")
    if not 0 <= clock < 1e15:
        raise BadFrame(f"batch {number}: its clock is {clock}")
    body = stream.read(size)
    if len(body) < size:
        raise BadFrame(f"batch {number}: input ends after {len(body)} of {size} bytes")
    events = []
    for at in range(0, count * EVENT_SIZE, EVENT_SIZE):
        if body[at] not in _READ:
            raise BadFrame(f"batch {number}: unknown event code {body[at]}")
        name, fields = _READ[body[at]]
        events.append((name, fields.unpack_from(body, at)))
    return number, clock, events, memoryview(body)[count * EVENT_SIZE :]


def slice_tail(tail, offset, size):
    """Returns `size` bytes of the tail; raises `BadFrame` if it is shorter."""
    if offset + size > len(tail):
        raise BadFrame(f"a record refers to bytes {offset} to {offset + size} of a tail of {len(tail)}")
    return tail[offset : offset + size]


class Reply:
    """A reply that is being built. The tail holds texts, which have no fixed size."""

    def __init__(self):
        self.records = bytearray()
        self.tail = bytearray()
        self.count = 0

    def add(self, name, *values):
        """Adds one action."""
        code, fields = _WRITE[name]
        self.records += fields.pack(code, *values).ljust(ACTION_SIZE, b"\0")
        self.count += 1

    def add_text(self, name, instance, text):
        """Adds an action that refers to a text in the tail."""
        data = text.encode()
        self.add(name, instance, len(self.tail), len(data))
        self.tail += data

    def frame(self, number):
        """Returns the whole frame, in reply to the batch of this number."""
        length = REPLY.size - 8 + len(self.records) + len(self.tail)
        return REPLY.pack(number, length, self.count) + bytes(self.records) + bytes(self.tail)
