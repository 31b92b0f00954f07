"""The leader task of moves: what the source of a move does next, decided by the state alone.

Each step is completed by a command to the source's own ledger, which checks the step again. The destination
is called repeatedly until it responds, and the proof in its response goes into that command. Only the calls
under way and the waits are kept here: a new leader calls again, and the destination may receive every call
twice."""

import random
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..ledger.dispatcher import Call
from . import holds, rules
from .faults import HoldKept
from .rules import (
    ASKED,
    MIN_STAGE_NS,
    BEFORE_SETTLING,
    DROPPING,
    ROLLING_BACK,
    MEMBERS,
    OVERDUE,
    MAX_STEP_NS,
    REFUSED,
    RESERVING,
    SETTLING,
    SHIFTING,
    STAGES,
    WARMING,
)

SECOND = 1_000_000_000
# The wait after a call without a response: doubled with each call up to the maximum, with random jitter.
MIN_WAIT_NS = SECOND // 4
MAX_WAIT_NS = 5 * SECOND
CALL_TIMEOUT_NS = 15 * SECOND  # after this the outcome of a call is treated as unknown, and it is repeated
RESPONSE_LIFETIME_NS = 2 * SECOND  # after this an unused response is discarded, and the call repeated
HOLD_CHECK_NS = 5 * SECOND  # between checks that the hold still exists while requests go there
ACK_CHECK_NS = SECOND // 5  # between checks whether the gateways have acknowledged the new share
NEVER = 1 << 62
HTTP_OK, HTTP_BAD_REQUEST, HTTP_CONFLICT = 200, 400, 409


class ResponseError(Struct, frozen=True):
    """The `error` field of a response."""

    type: str = ""
    says: str = ""
    do: str = ""


class Response(Struct, frozen=True):
    """The fields that are read from the response of another cluster. A body of another form counts as no
    response."""

    at: Annotated[int, Meta(ge=0, lt=1 << 62)] = 0
    warm: bool = False
    cold_ms: Annotated[int, Meta(ge=0, lt=1 << 40)] = 0
    serving: Annotated[int, Meta(ge=0, lt=1 << 31)] = 0
    error: ResponseError = ResponseError()


@dataclass(slots=True)
class StepProgress:
    """The calls of one move in one step. Each step starts with a new object."""

    key: tuple
    call: Call | None = None
    call_expires: int = 0  # time at which the call under way counts as unknown
    wait_until: int = 0  # no call before this time
    attempts: int = 0  # calls since the last response
    call_number: int = 0  # part of the command's id; it stays the same until there is a response
    response: tuple | None = None  # (code, Response)
    response_time: int = 0


class MoveTask:
    """A `ledger.dispatcher.LeaderTask`. `cluster`: the name of this cluster; `clusters`: the names of
    the clusters that can be called."""

    def __init__(self, cluster, clusters, seed):
        self.cluster, self.clusters, self.rng = cluster, frozenset(clusters), random.Random(seed)
        self.progress = {}  # name of a move to its StepProgress
        self.ledger_clock = (0, 0)  # local time and ledger time at which the ledger time last changed
        self.wake_time = NEVER
        self.next_call_count = 0  # number of calls of `next`; decides which move is looked at first
        self.counts = {"calls": 0, "unknown": 0, "refused there": 0, "late": 0}

    def became_leader(self, now):
        self.progress, self.ledger_clock, self.wake_time = {}, (now, 0), now

    def wake_at(self):
        return self.wake_time

    def called(self, now, call, code, body):
        """Takes the result of a call. It counts only while the move is in the step that made the call."""
        for progress in self.progress.values():
            if progress.call is not None and progress.call.data == call.data:
                progress.call = None
                response = read_response(code, body)
                if response is not None:
                    progress.response, progress.response_time, progress.attempts = (code, response), now, 0
                    progress.call_number += 1
                    self.counts["refused there"] += code != HTTP_OK
                else:
                    self.note_no_response(now, progress)
                self.wake_time = now
                return
        self.counts["late"] += 1

    def note_no_response(self, now, progress):
        """Counts a call without a response, and sets the wait before the next one."""
        self.counts["unknown"] += 1
        longest = min(MIN_WAIT_NS << min(progress.attempts, 10), MAX_WAIT_NS)
        progress.wait_until, progress.attempts = (
            now + int(longest * self.rng.uniform(0.5, 1.0)),
            progress.attempts + 1,
        )

    # ---- choosing the next command or call

    def next(self, now, wall_ms, state, followers):
        """Returns the next command to propose or call to make, or None."""
        if self.ledger_clock[1] != state.moment:
            self.ledger_clock = now, state.moment
        ledger_time = state.moment + now - self.ledger_clock[0]
        names = sorted(state.part("moving"))
        for name in [name for name in self.progress if name not in state.part("moving")]:
            del self.progress[name]
        self.wake_time, self.next_call_count = NEVER, self.next_call_count + 1
        for at in range(len(names)):  # each turn starts with another move, so that none is starved by others
            name = names[(at + self.next_call_count) % len(names)]
            move = state.part("moves")[name]
            action = self.run_step(now, ledger_time, name, move, state, followers)
            if action is not None:
                self.wake_time = now
                return action
        return None

    def run_step(self, now, ledger_time, name, move, state, followers):
        """Returns the command to propose or the call to make for this move, or None."""
        key = (move.epoch, move.step, move.stage, sum(group.over for group in move.groups))
        progress = self.progress.get(name)
        if progress is None or progress.key != key:
            progress = self.progress[name] = StepProgress(key)
        if move.step in BEFORE_SETTLING:
            if move.to not in self.clusters or move.to == self.cluster:
                says = f"cluster {move.to} is not among those known here: {', '.join(sorted(self.clusters))}"
                return self.roll_back(
                    name, move, REFUSED, says, "name one of them, or add it to the settings"
                )
            if ledger_time - move.since >= MAX_STEP_NS:
                says = f"{move.step} for {(ledger_time - move.since) // SECOND} s"
                return self.roll_back(name, move, OVERDUE, says, f"look at {move.to}, then move anew")
            self.wake_by(now + MAX_STEP_NS - (ledger_time - move.since))
        if progress.response is not None and now - progress.response_time >= RESPONSE_LIFETIME_NS:
            progress.response, progress.wait_until = None, max(progress.wait_until, now)
        return STEP_METHODS[move.step](self, now, ledger_time, name, move, state, followers, progress)

    def wake_by(self, at):
        """Sets the wakeup to this time unless it is earlier already."""
        self.wake_time = min(self.wake_time, at)

    def call_destination(self, now, name, move, state, progress, command, **fields):
        """Returns two values: the response and the call to make, at most one of them set. With a response:
        (code, Response) and None. Without: (None, None), and the Call or, if none is due, None."""
        if progress.response is not None:
            self.wake_by(progress.response_time + RESPONSE_LIFETIME_NS)
            return progress.response, None
        if progress.call is not None and now >= progress.call_expires:
            progress.call = None
            self.note_no_response(now, progress)
        due = progress.call_expires if progress.call is not None else progress.wait_until
        if now < due or move.to not in self.clusters:
            self.wake_by(due if move.to in self.clusters else NEVER)
            return (None, None), None
        moving, moves = state.part("moving"), state.part("moves")
        floor = min(row.epoch for other, row in moving.items() if moves[other].to == move.to)
        id = f"{self.cluster}/{name}/{move.epoch}/{move.step}/{state.term}.{progress.call_number}"
        fields |= {"source": self.cluster, "move": name, "epoch": move.epoch, "floor": floor}
        data = msgspec.json.encode(command(id=id, **fields))
        progress.call, progress.call_expires = Call(move.to, data, self), now + CALL_TIMEOUT_NS
        self.counts["calls"] += 1
        return (None, None), progress.call

    def retry_after(self, progress, now, wait):
        """Discards a response that is not yet the one awaited, and calls again after this time."""
        progress.response, progress.wait_until = None, now + wait
        self.wake_by(progress.wait_until)

    def advance(self, name, move, **fields):
        return rules.MoveAdvance(move=name, epoch=move.epoch, step=move.step, stage=move.stage, **fields)

    def roll_back(self, name, move, end, says, do=""):
        return rules.MoveRollBack(
            move=name, epoch=move.epoch, step=move.step, end=end, says=says[:500], do=do[:500]
        )

    def roll_back_refused(self, name, move, response):
        """Rolls back with the error of the destination as the reason."""
        says = f"{move.to}: {response.error.type}: {response.error.says}"
        return self.roll_back(name, move, REFUSED, says, response.error.do)

    # ---- the steps of a move

    def run_asked(self, now, ledger_time, name, move, state, followers, progress):
        """Only proposes the next step: in this one the destination has not been called yet."""
        return self.advance(name, move)

    def run_reserving(self, now, ledger_time, name, move, state, followers, progress):
        reservations = state.part("reservations")
        pieces = tuple(
            holds.ReservationPiece(
                one, reservations[one].units, len(reservations[one].nodes), reservations[one].site
            )
            for one in move.reservations
        )
        groups = tuple(holds.GroupPiece(group.group, len(group.nodes), group.quorum) for group in move.groups)
        (code, response), call = self.call_destination(
            now,
            name,
            move,
            state,
            progress,
            holds.HoldTake,
            service=move.service,
            pieces=pieces,
            groups=groups,
        )
        if code is None:
            return call
        return (
            self.advance(name, move, proof=response.at)
            if code == HTTP_OK
            else self.roll_back_refused(name, move, response)
        )

    def run_warming(self, now, ledger_time, name, move, state, followers, progress):
        (code, response), call = self.call_destination(now, name, move, state, progress, holds.HoldWarm)
        if code is None:
            return call
        if code != HTTP_OK:
            return self.roll_back_refused(name, move, response)
        if response.warm:
            return self.advance(name, move, proof=response.at)
        return self.retry_after(progress, now, min(max(response.cold_ms * 10**6, SECOND), HOLD_CHECK_NS))

    def run_members(self, now, ledger_time, name, move, state, followers, progress):
        group = next((group for group in move.groups if group.over < len(group.nodes)), None)
        if group is None:
            return self.advance(name, move)
        (code, response), call = self.call_destination(
            now, name, move, state, progress, holds.HoldMember, group=group.group, over=group.over + 1
        )
        if code is None:
            return call
        if code != HTTP_OK:
            return self.roll_back_refused(name, move, response)
        if response.serving > group.over:
            return self.advance(name, move, proof=response.at, group=group.group, serving=response.serving)
        return self.retry_after(progress, now, SECOND)

    def run_shifting(self, now, ledger_time, name, move, state, followers, progress):
        """Goes through the stages as the gateways' votes allow, and checks meanwhile that the hold exists."""
        if ledger_time - move.since < MIN_STAGE_NS:
            self.wake_by(now + MIN_STAGE_NS - (ledger_time - move.since))
        elif move.share < STAGES[-1]:
            if len(move.on) >= rules.on_votes_needed(rules.count_voters(state, move.service)):
                return self.advance(name, move)
        elif not followers.waited_for(now, state, move.at):
            return self.advance(name, move)
        else:
            self.wake_by(now + ACK_CHECK_NS)
        (code, response), call = self.call_destination(now, name, move, state, progress, holds.HoldWarm)
        if code is None:
            return call
        return (
            self.retry_after(progress, now, HOLD_CHECK_NS)
            if code == HTTP_OK
            else self.roll_back_refused(name, move, response)
        )

    def run_settling(self, now, ledger_time, name, move, state, followers, progress):
        (code, response), call = self.call_destination(now, name, move, state, progress, holds.HoldKeep)
        if code is None:
            return call
        if code == HTTP_BAD_REQUEST:
            return self.retry_after(progress, now, MAX_WAIT_NS)
        return (
            self.advance(name, move, proof=response.at)
            if code == HTTP_OK
            else self.roll_back_refused(name, move, response)
        )

    def run_rolling_back(self, now, ledger_time, name, move, state, followers, progress):
        """Waits while a gateway may still send to the destination. Its hold is only released afterwards."""
        if followers.waited_for(now, state, move.at):
            return self.wake_by(now + ACK_CHECK_NS)
        return self.advance(name, move)

    def run_dropping(self, now, ledger_time, name, move, state, followers, progress):
        (code, response), call = self.call_destination(now, name, move, state, progress, holds.HoldDrop)
        if code is None:
            return call
        if code == HTTP_OK:
            return self.advance(name, move, proof=response.at)
        if response.error.type == HoldKept.__name__:
            return self.advance(name, move, says=f"{move.to}: {response.error.says}"[:500])
        return self.retry_after(progress, now, MAX_WAIT_NS)


STEP_METHODS = {
    ASKED: MoveTask.run_asked,
    RESERVING: MoveTask.run_reserving,
    WARMING: MoveTask.run_warming,
    MEMBERS: MoveTask.run_members,
    SHIFTING: MoveTask.run_shifting,
    SETTLING: MoveTask.run_settling,
    ROLLING_BACK: MoveTask.run_rolling_back,
    DROPPING: MoveTask.run_dropping,
}


def read_response(code, body):
    """Returns the Response of a body, or None if it cannot be used. A 200 without the ledger
    index `at` is invalid."""
    try:
        response = (
            msgspec.convert(body, Response) if code in (HTTP_OK, HTTP_CONFLICT, HTTP_BAD_REQUEST) else None
        )
    except msgspec.ValidationError:
        return None
    return None if response is not None and code == HTTP_OK and not response.at else response
