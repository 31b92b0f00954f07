"""Streams and calls between relays and gateways. A stream carries bytes in order, with delays and a bound
on the bytes in flight, and keeps them during a cut as TCP does. The module also has the functions that
spoil lines."""

from ..simulated.network import LinkCuts

MS, SECOND = 1_000_000, 1_000_000_000
MIN_DELAY, MAX_DELAY = 1 * MS, 12 * MS  # nanoseconds, one way
RETRY_INTERVAL = 200 * MS  # until data that a cut holds back is tried again
WINDOW_BYTES = 8192  # in flight on one stream; past it the sender waits
SEND_TIMEOUT = 15 * SECOND  # after which the sender's machine ends a stream whose data can't be delivered


class Links(LinkCuts):
    """The lines between relays, gateways and the log, by name."""

    def __init__(self, world):
        super().__init__()
        self.world = world

    def can_pass(self, *pairs):
        return not any(pair in self.cuts for pair in pairs)

    def delay(self):
        return self.world.rng.randint(MIN_DELAY, MAX_DELAY)

    def carry(self, sender, to, function, *args):
        """Carries one message of a call. It is lost if the line is cut when it is sent or arrives."""

        def arrive():
            if self.can_pass((sender, to)):
                function(*args)

        if self.can_pass((sender, to)):
            self.world.after(self.delay(), arrive)


class Stream:
    """A stream from a relay to one process (`incarnation`) of a gateway. At the gateway: `on_data`:
    function(stream, bytes) that returns whether it took them, and `on_end`: function(stream, reason). At
    the relay: `on_lost`: function(stream), called when it learns that nobody reads, and `on_room`:
    function(stream), called when it may send more."""

    NUMBER = 0

    def __init__(self, links, relay, gateway, incarnation, on_data, on_end, on_lost, on_room):
        self.links, self.world = links, links.world
        self.relay, self.gateway, self.incarnation = relay, gateway, incarnation
        self.on_data = on_data
        self.on_end = on_end
        self.on_lost = on_lost
        self.on_room = on_room
        self.unsent, self.bytes_in_flight, self.blocked_since = [], 0, None
        self.arrival_scheduled = False
        self.closed_by_sender = self.closed_by_reader = False  # at the relay, at the gateway
        self.end_reason = None  # set when the relay ends it
        self.subscription_id = ""  # as the gateway gave it
        self.last_sent_at = 0  # by the clock of the relay
        self.recent_lines = []
        self.is_spoiled = False  # whether a line was changed, added or left out

    def send(self, data):
        """Sends data from the relay. It accepts more than WINDOW_BYTES; the relay has to look at `full`."""
        if self.closed_by_sender:
            return
        self.bytes_in_flight += len(data)
        self.unsent.append(data)
        self.run()

    @property
    def full(self):
        return self.bytes_in_flight >= WINDOW_BYTES

    def end(self, reason):
        """Ends the stream from the relay, after the data in flight."""
        if not self.closed_by_sender:
            self.closed_by_sender, self.end_reason = True, reason
            self.run()

    def close(self):
        """Closes the stream at the gateway. The relay learns of it at once if the line is not cut, else
        when it sends."""
        if not self.closed_by_reader:
            self.closed_by_reader = True
            self.links.carry(self.gateway, self.relay, self.gone)

    def gone(self):
        """The relay learned that nobody reads the stream."""
        if not self.closed_by_sender:
            self.closed_by_sender = True
            self.unsent.clear()
            self.on_lost(self)

    def run(self):
        if not self.arrival_scheduled and (self.unsent or self.end_reason is not None):
            self.arrival_scheduled = True
            self.world.after(self.links.delay(), self.arrive)

    def arrive(self):
        """Delivers the unsent data. Tries again later if the line is cut or the gateway is frozen."""
        self.arrival_scheduled, now = False, self.world.now
        if self.closed_by_reader:
            self.unsent.clear()
            return self.links.carry(self.gateway, self.relay, self.gone)
        if not self.links.can_pass((self.relay, self.gateway)):
            self.blocked_since = now if self.blocked_since is None else self.blocked_since
            if now - self.blocked_since > SEND_TIMEOUT and not self.closed_by_sender:
                return self.gone()
            self.arrival_scheduled = True
            return self.world.after(RETRY_INTERVAL, self.arrive)
        self.blocked_since = None
        for data in list(self.unsent):
            if self.closed_by_reader:
                return self.links.carry(self.gateway, self.relay, self.gone)
            if not self.on_data(self, data):
                self.arrival_scheduled = True
                return self.world.after(RETRY_INTERVAL, self.arrive)
            if self.unsent:
                self.unsent.pop(0)
            self.bytes_in_flight -= len(data)
        if not self.closed_by_sender:
            self.on_room(self)
        if self.unsent:
            return self.run()
        if self.end_reason is not None and not self.closed_by_reader:
            self.closed_by_reader = True
            self.on_end(self, self.end_reason)
        return None


# ---- spoiled lines

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


def garble_line(line, rng):
    """Returns the line with one bit flipped, still as one line."""
    body = line.rstrip(b"\n")
    while True:
        at = rng.randrange(len(body))
        flipped = body[at] ^ 1 << rng.randrange(8)
        if flipped not in b"\r\n":
            return body[:at] + bytes([flipped]) + body[at + 1 :] + b"\n"


def endless_line(line, rng):
    """Returns a line far longer or deeper than any real one."""
    return rng.choice([b"[" * 100_000, b'{"snapshot": "' + b"x" * 300_000, b'{"a":' * 50_000]) + b"\n"


def truncate_line(line, rng):
    """Returns the start of the line, with a line end."""
    return line[: rng.randrange(1, max(len(line) - 1, 2))].rstrip(b"\n") + b"\n"
