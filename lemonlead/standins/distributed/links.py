"""Streams and calls between relays and gateways: bytes in order, late, held by a cut as TCP holds them, with
a bound on what is under way. What a faulty relay or line makes of a line is here as well."""

from ..simulated.network import Cuts

MS, SECOND = 1_000_000, 1_000_000_000
LEAST, MOST = 1 * MS, 12 * MS  # a way
AGAIN = 200 * MS  # until what a cut holds is tried once more
WINDOW = 8192  # bytes under way on one stream; past it the sender waits
SEND_TIMEOUT = 15 * SECOND  # after so long with bytes that nobody takes the sender's machine ends the stream


class Links(Cuts):
    """Who can reach whom, by name."""

    def __init__(self, world):
        super().__init__()
        self.world = world

    def passes(self, *pairs):
        return not any(pair in self.cuts for pair in pairs)

    def delay(self):
        return self.world.chance.randint(LEAST, MOST)

    def carry(self, sender, to, function, *args):
        """One message of a call, lost where the line is cut as it is sent or comes."""

        def arrive():
            if self.passes((sender, to)):
                function(*args)

        if self.passes((sender, to)):
            self.world.after(self.delay(), arrive)


class Stream:
    """What one relay tells one life of a gateway. `taken`: function(bytes), `ended`: function(reason), both
    at the gateway; `lost`: function() at the relay once it learns that nobody reads."""

    NUMBER = 0

    def __init__(self, links, relay, gateway, life, taken, ended, lost, room):
        self.links, self.world = links, links.world
        self.relay, self.gateway, self.life = relay, gateway, life
        self.taken, self.ended, self.lost, self.room = taken, ended, lost, room
        self.waiting, self.bytes_in_flight, self.held_since = [], 0, None
        self.running = False  # whether an arrival is due
        self.closed_here = self.closed_there = False  # at the relay, at the gateway
        self.reset = None  # why, once the relay ended it
        self.stay, self.said = "", 0  # whose it is by its own word, when the relay last sent something
        self.passed, self.spoiled = [], False  # the last lines; whether anything false was put in or left out

    def send(self, data):
        """From the relay. Bytes past WINDOW are not refused, but `full` says so before."""
        if self.closed_here:
            return
        self.bytes_in_flight += len(data)
        self.waiting.append(data)
        self.run()

    @property
    def full(self):
        return self.bytes_in_flight >= WINDOW

    def end(self, reason):
        """The relay's side ends it, after what is under way."""
        if not self.closed_here:
            self.closed_here, self.reset = True, reason
            self.run()

    def close(self):
        """The gateway's side is gone; the relay hears of it if it can be reached, or finds out."""
        if not self.closed_there:
            self.closed_there = True
            self.links.carry(self.gateway, self.relay, self.gone)

    def gone(self):
        if not self.closed_here:
            self.closed_here = True
            self.waiting.clear()
            self.lost(self)

    def run(self):
        if not self.running and (self.waiting or self.reset is not None):
            self.running = True
            self.world.after(self.links.delay(), self.arrive)

    def arrive(self):
        self.running, now = False, self.world.now
        if self.closed_there:
            self.waiting.clear()
            return self.links.carry(self.gateway, self.relay, self.gone)
        if not self.links.passes((self.relay, self.gateway)):
            self.held_since = now if self.held_since is None else self.held_since
            if now - self.held_since > SEND_TIMEOUT and not self.closed_here:
                return self.gone()
            self.running = True
            return self.world.after(AGAIN, self.arrive)
        self.held_since = None
        for data in list(self.waiting):
            if self.closed_there:
                return self.links.carry(self.gateway, self.relay, self.gone)
            if not self.taken(self, data):
                self.running = True
                return self.world.after(AGAIN, self.arrive)
            if self.waiting:
                self.waiting.pop(0)
            self.bytes_in_flight -= len(data)
        if not self.closed_here:
            self.room(self)
        if self.waiting:
            return self.run()
        if self.reset is not None and not self.closed_there:
            self.closed_there = True
            self.ended(self, self.reset)
        return None


# ---- what becomes of lines

INVALID_LINES = [
    b"null", b"[]", b"7", b'"complete"', b"{}", b"{", b"}{", b"\xff\xfe\x00", b"NaN", b'{"at": NaN}',
    b'{"changes": 3, "complete": {}}',
    b'{"changes": [[]], "complete": {}}',
    b'{"changes": [["", "setting-0"]], "complete": {}}',
    b'{"changes": [["", "setting-0", -5, {"limit": 1}]], "complete": {}}',
    b'{"changes": [["", "setting-0", "12", {"limit": 1}]], "complete": {}}',
    b'{"changes": [["", "setting-0", true, {"limit": 1}]], "complete": {}}',
    b'{"changes": [["", "setting-0", 1e300, {"limit": 1}]], "complete": {}}',
    b'{"changes": [["", "setting-0", 99999999999999999999999999, {"limit": 1}]], "complete": {}}',
    b'{"changes": [["", 5, 5, {"limit": 1}]], "complete": {}}',
    b'{"changes": [["", "setting-0", 500000, [1]]], "complete": {}}',
    b'{"changes": [], "complete": {"": -1}}',
    b'{"changes": [], "complete": {"": "9"}}',
    b'{"changes": [], "complete": [""]}',
    b'{"changes": [], "complete": {"": 1.5}}',
    b'{"changes": [["svc-none", "i1", 500000, {"state": "ready"}]], "complete": {}}',
    b'{"changes": [], "complete": {"svc-none": 500000}}',
    b'{"snapshot": 5}', b'{"snapshot": null}', b'{"snapshot": "svc-none"}',
    b'{"cluster": 5, "at": 5}', b'{"cluster": "", "at": 5}', b'{"cluster": "c", "at": -1}',
]  # fmt: skip


def garble_line(line, chance):
    """With one bit turned, and still one line."""
    body = line.rstrip(b"\n")
    while True:
        at = chance.randrange(len(body))
        turned = body[at] ^ 1 << chance.randrange(8)
        if turned not in b"\r\n":
            return body[:at] + bytes([turned]) + body[at + 1 :] + b"\n"


def endless_line(line, chance):
    """Far more than any line should have."""
    return chance.choice([b"[" * 100_000, b'{"snapshot": "' + b"x" * 300_000, b'{"a":' * 50_000]) + b"\n"


def truncate_line(line, chance):
    """Cut off somewhere, with a line end after it."""
    return line[: chance.randrange(1, max(len(line) - 1, 2))].rstrip(b"\n") + b"\n"
