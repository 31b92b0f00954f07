"""A gateway's part in a shift: which side takes a lookup, and whether the far side does as well.

The judge is the balancer's own (`lemonlead/balance.py`): a `Balancer` that knows two machines, the near side
as an earlier build and the far side as the build on trial. Its pairs of short windows, its tolerance and
noise floor, its guard against luck, its cap and its votes are those that builds are judged by.

At like load: of each side only as many machines take lookups as its share is due (`width`), so that one in
use is as busy there as here at every stage, and idleness does not flatter the side that has the less."""

import random
from collections import deque

from ..balance import Balancer, recent
from ..interface import BACK, COUNTED, ERRED, ON, ON_TRIAL, READY, SUCCEEDED, Instance, Release, Start
from .rules import SHIFTING, STAGES

NEAR, FAR = 0, 1
ALL, WORDS = STAGES[-1], {ON: "on", BACK: "back"}
WINDOW = 5_000_000_000  # nanoseconds over which the cap counts
FREE_SENDS = 3.0  # in a window, so that little traffic shows something


class Shift:
    """One move as one gateway sees it. `lanes`: interface.Lane of each kind of lookup. Inputs: `told`,
    `ended`; a lookup is placed by `side`; `vote` tells what to send to the ledger, if anything."""

    def __init__(self, now, seed, lanes, gateways=1):
        self.rng = random.Random(seed)
        release = Release(
            on_needed=(gateways + 1) // 2,
            back_needed=1 + (gateways > 10),
            vote_life=WINDOW,
            window=WINDOW,
            free_sends=FREE_SENDS,
            caps=[0.0],
        )
        start = Start(now=now, seed=seed, balancers=max(gateways, 1), lanes=list(lanes), release=release)
        self.judge = Balancer(start)
        self.epoch = self.stage = -1
        self.share, self.credit = 0, 0.0
        self.counts = {"near": 0, "far": 0, "capped": 0}

    # ---- inputs

    def told(self, now, move):
        """The move's record, as it was read last; None once it is no more. What is older is passed over."""
        if move is None or move.epoch < self.epoch:
            return
        if move.epoch != self.epoch:
            self.epoch, self.stage, self.credit = move.epoch, -1, self.rng.random()
            rows = [Instance(side, 0, 0, side * move.epoch, 0, READY, 1.0, 0) for side in (NEAR, FAR)]
            self.judge.listed(now, rows, True, True)
        if (move.stage, move.share) != (self.stage, self.share):
            self.stage, self.share = move.stage, move.share
            if move.step == SHIFTING:
                self.judge.stage_told(now, self.epoch, move.stage, ON_TRIAL, self.share / ALL, 0)

    def side(self, now, lookup):
        """NEAR or FAR for this lookup. All go there at the last stage; before, the cap binds: it counts what
        this gateway itself took and sent within the window, lane by lane of nothing but itself."""
        judge, member = self.judge, self.judge.members.get(FAR)
        for counted in judge.counts_of(lookup):
            judge.taken.setdefault(counted, deque()).append(now)
            recent(judge.taken[counted], now - judge.taken_window)
        if self.share >= ALL:
            return self.count(FAR)
        self.credit = min(self.credit + self.share / ALL, 2.0)
        if self.share <= 0 or self.credit < 1 or member is None:
            return self.count(NEAR)
        if not judge.exposure_left(member.build, lookup, now):
            self.counts["capped"] += 1
            return self.count(NEAR)
        self.credit -= 1
        for counted in judge.counts_of(lookup):
            member.build.sent.setdefault(counted, deque()).append(now)
        return self.count(FAR)

    def count(self, side):
        self.counts["far" if side == FAR else "near"] += 1
        return side

    def width(self, side, count):
        """Of so many machines of a side, how many take lookups at this share: at least one."""
        due = self.share if side == FAR else ALL - self.share
        return max(-(-count * due // ALL), 1) if count else 0

    def ended(self, now, side, lookup, end, took):
        """A send that was answered: `end` SUCCEEDED or ERRED. What clients left, or the path lost, tells
        nothing of the side."""
        judge, member = self.judge, self.judge.members.get(side)
        if member is None or end not in (SUCCEEDED, ERRED):
            return
        member.heard_at, member.answered = now, member.answered + 1
        member.failed += end == ERRED
        member.build.answers += end == SUCCEEDED
        if judge.pair_at is not None:
            judge.note_outcome(now, member, lookup, end, took)

    def counted(self, now):
        """The ledger took the last vote."""
        self.judge.vote_answered(now, COUNTED)

    # ---- decisions

    def vote(self, now):
        """(epoch, stage, "on" or "back") to be sent to the ledger, or None."""
        door = Votes()
        while self.judge.decide(now, door):
            pass
        fits = [cast for cast in door.cast if cast[:2] == (self.epoch, self.stage)]
        return fits[-1] if fits else None

    def wake_at(self):
        return self.judge.wake_at()


class Votes:
    """The judge's door; it asks for nothing else, as it is given no lookups."""

    def __init__(self):
        self.cast = []

    def vote(self, build, stage, verdict):
        if verdict in WORDS:
            self.cast.append((build, stage, WORDS[verdict]))

    def log(self, text):
        """The ledger's record tells how many found it worse."""
