"""What carries messages between the machines: late, lost, twice, out of order, garbled, cut."""

import random
from dataclasses import dataclass

import msgspec
from xxhash import xxh64_digest

from lemonlead.ledger.records import PeerMessage

MS = 1_000_000
ENCODE, DECODE = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(PeerMessage).decode
MAX_MESSAGES_IN_FLIGHT = 20_000  # messages; past it one is lost, and counted


@dataclass(slots=True)
class NetworkConditions:
    """How the lines are at present. Shares from 0 to 1, times in nanoseconds."""

    min_delay: int = 1 * MS
    max_delay: int = 8 * MS
    lost: float = 0.0
    duplicated: float = 0.0
    garbled: float = 0.0
    late: float = 0.0  # share that is later than `most`
    max_extra_delay: int = 400 * MS


def pack(message):
    data = ENCODE(message)
    return xxh64_digest(data) + data


def unpack(frame):
    """The message of these bytes, or None: whatever was cut short or changed is dropped."""
    if xxh64_digest(frame[8:]) != frame[:8]:
        return None
    try:
        return DECODE(frame[8:])
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def garble(frame, rng):
    """Cut short, with a bit turned, or with a piece that stands twice."""
    at = rng.randrange(len(frame))
    kind = rng.randrange(3)
    if kind == 0:
        return frame[:at]
    if kind == 1:
        return frame[:at] + bytes([frame[at] ^ 1 << rng.randrange(8)]) + frame[at + 1 :]
    return frame[:at] + frame[at : at + 7] + frame[at:]


class LinkCuts:
    """Who can't reach whom. `cuts`: (from, to) to how many cuts lie on it."""

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
    """Lines between ends that are called by name. `after(delay, function)` is the world's."""

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
        """Calls `deliver(message)` once, later, twice or never. A line that is cut by the time loses it. A
        message may come garbled, and is then dropped where it does not read; without one (a client's call)
        it is lost instead."""
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
