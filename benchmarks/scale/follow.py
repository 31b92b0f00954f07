"""One hollow gateway that follows a ledger as gateways do today: by polls of `/v1/events` at its members. The
real follower decides and reads what is answered; only its socket and its thread are the rig's."""

import select
from types import SimpleNamespace

from lemonlead.balance import Balancer
from lemonlead.following import responses
from lemonlead.following.ledger_polling import EVENTS
from lemonlead.following.driver import READ_TIMEOUT_SECONDS, Follower
from lemonlead.gateway import http
from lemonlead.gateway.config import EPOCH
from lemonlead.standins.fleet import SETTINGS
from lemonlead.start_settings import start_from_settings

from .gateway import CUT_TIME, MS, S, Hollow, now
from .world import ALL


class Answered(Follower):
    """Its calls are answered with what is in `answer`."""

    answer = 0, {}

    def exchange(self, ask):
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class Silent:
    """Where its log lines go: counted is what the rig counts."""

    def warning(self, *_, **__):
        pass

    info = warning


class FollowHollow(Hollow):
    calls = 0  # so far

    def start(self):
        self.hang_up()
        self.starts += 1
        seed = self.seed + self.starts
        self.started_at = self.not_before = now()
        self.balancer = Balancer(start_from_settings(SETTINGS, seed, self.started_at))
        config = SimpleNamespace(name=self.name, start=SimpleNamespace(seed=seed))
        members = {name: address for name, _, address in self.process.relays}
        counters = SimpleNamespace(add=self.count)
        self.follower = Answered(config, {"members": members}, self, Silent(), counters)
        self.follower.discovery = self
        self.follower.merge.listed(*self.listed(), True)
        self.at = self.asked = self.ready_at = 0
        self.body, self.early = [], set()

    def count(self, what):
        self.tally.counts[what] += 1

    # ---- calls

    def turn(self):
        if self.asked:
            return
        ask = self.follower.polling.next(now() + EPOCH)
        if ask is None:
            self.process.wake(self, self.follower.polling.not_before - EPOCH)  # its clock is the driver's
            return
        self.asked, self.body, self.calls = ask, [], self.calls + 1
        if self.process.is_cut(self.region, ask.address):
            self.process.later(now() + CUT_TIME, self, "cut off", self.calls)
            return
        if self.stream is None or self.stream.address != ask.address:
            self.hang_up()
            self.stream = self.process.wire(self, "call", ask.address)
        self.stream.send_request(ask.method, ask.path, ask.body)
        self.process.later(now() + int(READ_TIMEOUT_SECONDS * S), self, "silent", self.calls)

    def ended(self, reason, call=0):
        """A call, or its connection, came to nothing. `call`: which one; 0: whichever is under way."""
        if not self.asked or call not in (0, self.calls):
            return
        self.tally.counts[f"ended: {reason}"] += 1
        self.hang_up()
        self.answered(ConnectionResetError(reason))

    def happened(self, wire, mask):
        try:
            if mask & select.EPOLLOUT:
                wire.write()
            if mask & ~select.EPOLLOUT and wire is self.stream:
                self.told(wire, wire.read())
        except (OSError, ValueError) as error:
            if wire is self.stream:
                if self.asked:
                    self.ended(f"call: {str(error)[:40]}")
                else:
                    self.hang_up()

    def told(self, wire, lines):
        for line in lines:
            if line is not http.END:
                self.body.append(line)
                continue
            status, headers = wire.response.status, wire.response.headers
            if headers.get(b"connection", b"").lower() == b"close":
                self.hang_up()
            if status not in (200, 503):
                return self.answered((status, {}))
            try:
                check = headers.get(b"x-crc32", b"").decode("ascii", "replace")
                return self.answered((status, responses.parse_body(b"\n".join(self.body), check)))
            except ValueError as error:
                return self.answered(error)
        return None

    def answered(self, answer):
        ask, self.asked, self.follower.answer = self.asked, 0, answer
        self.tally.counts[f"calls: {ask.kind}"] += 1
        self.follower.make_call(ask)
        polling, moment = self.follower.polling, now()
        if ask.kind == EVENTS and polling.applied_index > self.at > 0:
            self.note(moment, ALL, self.at, polling.applied_index, False)
            self.tally.counts["changes"] += polling.applied_index - self.at
        self.at = polling.applied_index if not polling.missing_parts else 0
        if not self.ready_at and self.at:
            self.ready_at = moment
            self.tally.counts["started"] += 1
            if not self.wide:
                self.process.starts.append((self.starts, (moment - self.started_at) // MS))
        self.turn()

    def had(self):
        return len(self.scopes) if self.ready_at else 0

    def wrong(self, truth):
        if self.follower.polling.applied_index < truth["at"]:
            yield f"at {self.follower.polling.applied_index} of {truth['at']}"
