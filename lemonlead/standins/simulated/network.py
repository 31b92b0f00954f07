"""The network between the machines. It delays, loses, duplicates, reorders and garbles messages, and its
lines can be cut."""

import random
from dataclasses import dataclass

import msgspec
from xxhash import xxh64_digest

from lemonlead.ledger.records import PeerMessage

MS = 1_000_000
ENCODE, DECODE = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(PeerMessage).decode
MAX_MESSAGES_IN_FLIGHT = 20_000  # further messages are lost, and counted


@dataclass(slots=True)
class NetworkConditions:
    """The current faults of all lines. Delays are in nanoseconds, all other fields are shares from 0 to 1."""

    min_delay: int = 1 * MS
    max_delay: int = 8 * MS
    lost: float = 0.0
    duplicated: float = 0.0
    garbled: float = 0.0
    late: float = 0.0  # share of messages that are later than `max_delay`
    max_extra_delay: int = 400 * MS


def pack(message):
    data = ENCODE(message)
    return xxh64_digest(data) + data


def unpack(frame):
    """Returns the message in this frame, or None if the frame was cut short or changed."""
    if xxh64_digest(frame[8:]) != frame[:8]:
        return None
    try:
        return DECODE(frame[8:])
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def garble(frame, rng):
    """Returns the frame cut short, with one bit flipped, or with a piece repeated."""
    at = rng.randrange(len(frame))
    kind = rng.randrange(3)
    if kind == 0:
        return frame[:at]
    if kind == 1:
        return frame[:at] + bytes([frame[at] ^ 1 << rng.randrange(8)]) + frame[at + 1 :]
    return frame[:at] + frame[at : at + 7] + frame[at:]


class LinkCuts:
    """Which ends can't reach each other. `cuts`: (sender, receiver) to the number of cuts of this line."""

    def __init__(self):
        self.cuts = {}

    def cut(self, pairs):
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1

    def restore(self, pairs):
        for pair in pairs:
            if self.cuts.get(pair, 0) > 1:
                self.cuts[pair] -= 1
            else:
                self.cuts.pop(pair, None)

    def heal(self):
        self.cuts.clear()


class Network(LinkCuts):
    """Lines between endpoints, which have names. `after`: World.after."""

    def __init__(self, seed, after):
        super().__init__()
        self.rng, self.after = random.Random(f"network {seed}"), after
        self.conditions = NetworkConditions()
        self.in_flight, self.counts = 0, {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def heal(self):
        super().heal()
        self.conditions = NetworkConditions()

    def carry(self, sender, to, deliver, message=None):
        """Calls `deliver(message)` after a delay, once, twice or never. The message is lost if the line is
        cut when it is sent or when it arrives. A garbled message is dropped if it can't be decoded. A call
        without a message (a client's call) is lost instead of garbled."""
        conditions, rng = self.conditions, self.rng
        for _ in range(2 if message is not None and rng.random() < conditions.duplicated else 1):
            if (sender, to) in self.cuts or conditions.lost and rng.random() < conditions.lost:
                self.count("lost")
                continue
            if self.in_flight >= MAX_MESSAGES_IN_FLIGHT:
                self.count("lost: too many under way")
                continue
            arrives = message
            if conditions.garbled and rng.random() < conditions.garbled:
                arrives = unpack(garble(pack(message), rng)) if message is not None else None
                if arrives is None:
                    self.count("garbled")
                    continue
            delay = rng.randint(conditions.min_delay, conditions.max_delay)
            if conditions.late and rng.random() < conditions.late:
                delay += rng.randint(0, conditions.max_extra_delay)
            self.in_flight += 1
            self.after(delay, self.arrive, (sender, to), deliver, arrives)

    def arrive(self, pair, deliver, message):
        self.in_flight -= 1
        if pair in self.cuts:
            return self.count("lost")
        deliver(message)
