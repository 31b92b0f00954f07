"""A source's leader's duty: what it does next for each of its moves, by the state alone.

Each step is brought on by a command to its own ledger, which checks again. What the destination has to do is
asked by a call, again and again until it is answered; the answer's proof goes into that command. All that is
kept here is which call is out and how long to wait: a new leader asks anew, and every call may come twice."""

import random
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..ledger.dispatcher import Call
from . import rules
from .faults import HoldKept
from .rules import (
    ASKED,
    BAKE,
    BEFORE_SETTLING,
    DROPPING,
    GOING_BACK,
    MEMBERS,
    OVERDUE,
    PATIENCE,
    REFUSED,
    RESERVING,
    SETTLING,
    SHIFTING,
    STAGES,
    WARMING,
)

SECOND = 1_000_000_000
MIN_WAIT_NS, MAX_WAIT_NS = SECOND // 4, 5 * SECOND  # after a call without an answer; doubled, spread
CALL_LIFE = 15 * SECOND  # a call that the host never answered counts as unknown
ANSWER_LIFE = 2 * SECOND  # an answer that led to nothing is asked for anew
LOOK = 5 * SECOND  # how often it looks whether the hold still stands while requests go there
POLL = SECOND // 5  # how often it looks whether the gateways have obeyed
NEVER = 1 << 62
OK, SENSELESS, NO = 200, 400, 409


class Error(Struct, frozen=True):
    type: str = ""
    says: str = ""
    do: str = ""


class Answer(Struct, frozen=True):
    """What another cluster answered, as far as it is read; anything else is as good as no answer."""

    at: Annotated[int, Meta(ge=0, lt=1 << 62)] = 0
    warm: bool = False
    cold_ms: Annotated[int, Meta(ge=0, lt=1 << 40)] = 0
    serving: Annotated[int, Meta(ge=0, lt=1 << 31)] = 0
    error: Error = Error()


@dataclass(slots=True)
class Task:
    """What is under way for one move at one step; a new step begins a new one."""

    key: tuple
    call: Call | None = None
    until: int = 0  # when the call that is out counts as unknown
    wait: int = 0  # no call before this moment
    tries: int = 0  # calls since the last answer
    number: int = 0  # of the call; the same again until it is answered
    answer: tuple | None = None  # (code, Answer), and when it came
    answered: int = 0


class MoveTask:
    """A ledger.dispatcher.LeaderTask. `cluster`: this cluster's name; `clusters`: names of those that can be
    called."""

    def __init__(self, cluster, clusters, seed):
        self.cluster, self.clusters, self.rng = cluster, frozenset(clusters), random.Random(seed)
        self.tasks, self.clock, self.wake, self.turn = {}, (0, 0), NEVER, 0
        self.counts = {"calls": 0, "unknown": 0, "refused there": 0, "late": 0}

    def became_leader(self, now):
        self.tasks, self.clock, self.wake = {}, (now, 0), now

    def wake_at(self):
        return self.wake

    def called(self, now, call, code, body):
        """Its answer counts only while the step for which it was asked stands."""
        for task in self.tasks.values():
            if task.call is not None and task.call.data == call.data:
                task.call = None
                answer = read(code, body)
                if answer is not None:
                    task.answer, task.answered, task.tries = (code, answer), now, 0
                    task.number += 1
                    self.counts["refused there"] += code != OK
                else:
                    self.unanswered(now, task)
                self.wake = now
                return
        self.counts["late"] += 1

    def unanswered(self, now, task):
        self.counts["unknown"] += 1
        longest = min(MIN_WAIT_NS << min(task.tries, 10), MAX_WAIT_NS)
        task.wait, task.tries = now + int(longest * self.rng.uniform(0.5, 1.0)), task.tries + 1

    # ---- what is next

    def next(self, now, wall_ms, state, followers):
        if self.clock[1] != state.moment:
            self.clock = now, state.moment
        moment = state.moment + now - self.clock[0]  # the ledger's time, as it stands by now
        names = sorted(state.part("moving"))
        for name in [name for name in self.tasks if name not in state.part("moving")]:
            del self.tasks[name]
        self.wake, self.turn = NEVER, self.turn + 1
        for at in range(len(names)):  # another first each time, so that none is kept waiting by others
            name = names[(at + self.turn) % len(names)]
            move = state.part("moves")[name]
            wanted = self.act(now, moment, name, move, state, followers)
            if wanted is not None:
                self.wake = now
                return wanted
        return None

    def act(self, now, moment, name, move, state, followers):
        key = (move.epoch, move.step, move.stage, sum(group.over for group in move.groups))
        task = self.tasks.get(name)
        if task is None or task.key != key:
            task = self.tasks[name] = Task(key)
        if move.step in BEFORE_SETTLING:
            if move.to not in self.clusters or move.to == self.cluster:
                says = f"cluster {move.to} is not among those known here: {', '.join(sorted(self.clusters))}"
                return self.back(name, move, REFUSED, says, "name one of them, or add it to the settings")
            if moment - move.since >= PATIENCE:
                says = f"{move.step} for {(moment - move.since) // SECOND} s"
                return self.back(name, move, OVERDUE, says, f"look at {move.to}, then move anew")
            self.rouse(now + PATIENCE - (moment - move.since))
        if task.answer is not None and now - task.answered >= ANSWER_LIFE:
            task.answer, task.wait = None, max(task.wait, now)
        return STEPS[move.step](self, now, moment, name, move, state, followers, task)

    def rouse(self, at):
        self.wake = min(self.wake, at)

    def ask(self, now, name, move, state, task, command, **fields):
        """The answer to a call if it is there, else (None, None) and the call to make if it is due."""
        if task.answer is not None:
            self.rouse(task.answered + ANSWER_LIFE)
            return task.answer, None
        if task.call is not None and now >= task.until:
            task.call = None
            self.unanswered(now, task)
        due = task.until if task.call is not None else task.wait
        if now < due or move.to not in self.clusters:
            self.rouse(due if move.to in self.clusters else NEVER)
            return (None, None), None
        moving, moves = state.part("moving"), state.part("moves")
        floor = min(row.epoch for other, row in moving.items() if moves[other].to == move.to)
        id = f"{self.cluster}/{name}/{move.epoch}/{move.step}/{state.term}.{task.number}"
        fields |= {"source": self.cluster, "move": name, "epoch": move.epoch, "floor": floor}
        data = msgspec.json.encode(command(id=id, **fields))
        task.call, task.until = Call(move.to, data, self), now + CALL_LIFE
        self.counts["calls"] += 1
        return (None, None), task.call

    def again(self, task, now, wait):
        """The answer was not yet what is awaited."""
        task.answer, task.wait = None, now + wait
        self.rouse(task.wait)

    def on(self, name, move, **fields):
        return rules.MoveAdvance(move=name, epoch=move.epoch, step=move.step, stage=move.stage, **fields)

    def back(self, name, move, end, says, do=""):
        return rules.MoveRollBack(
            move=name, epoch=move.epoch, step=move.step, end=end, says=says[:500], do=do[:500]
        )

    def refused(self, name, move, body):
        says = f"{move.to}: {body.error.type}: {body.error.says}"
        return self.back(name, move, REFUSED, says, body.error.do)

    # ---- the steps

    def first(self, now, moment, name, move, state, followers, task):
        return self.on(name, move)

    def reserve(self, now, moment, name, move, state, followers, task):
        held = state.part("reservations")
        pieces = tuple(
            rules.Piece(one, held[one].units, len(held[one].nodes), held[one].site)
            for one in move.reservations
        )
        groups = tuple(rules.GroupPiece(g.group, len(g.nodes), g.quorum) for g in move.groups)
        (code, body), call = self.ask(
            now, name, move, state, task, rules.HoldTake, service=move.service, pieces=pieces, groups=groups
        )
        if code is None:
            return call
        return self.on(name, move, proof=body.at) if code == OK else self.refused(name, move, body)

    def warm(self, now, moment, name, move, state, followers, task):
        (code, body), call = self.ask(now, name, move, state, task, rules.HoldWarm)
        if code is None:
            return call
        if code != OK:
            return self.refused(name, move, body)
        if body.warm:
            return self.on(name, move, proof=body.at)
        return self.again(task, now, min(max(body.cold_ms * 10**6, SECOND), LOOK))

    def hand_over(self, now, moment, name, move, state, followers, task):
        group = next((group for group in move.groups if group.over < len(group.nodes)), None)
        if group is None:
            return self.on(name, move)
        (code, body), call = self.ask(
            now, name, move, state, task, rules.HoldMember, group=group.group, over=group.over + 1
        )
        if code is None:
            return call
        if code != OK:
            return self.refused(name, move, body)
        if body.serving > group.over:
            return self.on(name, move, proof=body.at, group=group.group, serving=body.serving)
        return self.again(task, now, SECOND)

    def shift(self, now, moment, name, move, state, followers, task):
        """By stages, as the gateways' votes allow; all along it looks whether the hold stands."""
        if moment - move.since < BAKE:
            self.rouse(now + BAKE - (moment - move.since))
        elif move.share < STAGES[-1]:
            if len(move.on) >= rules.on_needed(rules.voting(state, move.service)):
                return self.on(name, move)
        elif not followers.waited_for(now, state, move.at):
            return self.on(name, move)
        else:
            self.rouse(now + POLL)
        (code, body), call = self.ask(now, name, move, state, task, rules.HoldWarm)
        if code is None:
            return call
        return self.again(task, now, LOOK) if code == OK else self.refused(name, move, body)

    def settle(self, now, moment, name, move, state, followers, task):
        (code, body), call = self.ask(now, name, move, state, task, rules.HoldKeep)
        if code is None:
            return call
        if code == SENSELESS:
            return self.again(task, now, MAX_WAIT_NS)
        return self.on(name, move, proof=body.at) if code == OK else self.refused(name, move, body)

    def go_back(self, now, moment, name, move, state, followers, task):
        """Nothing is dropped there while a gateway may still send there."""
        if followers.waited_for(now, state, move.at):
            return self.rouse(now + POLL)
        return self.on(name, move)

    def drop(self, now, moment, name, move, state, followers, task):
        (code, body), call = self.ask(now, name, move, state, task, rules.HoldDrop)
        if code is None:
            return call
        if code == OK:
            return self.on(name, move, proof=body.at)
        if body.error.type == HoldKept.__name__:
            return self.on(name, move, says=f"{move.to}: {body.error.says}"[:500])
        return self.again(task, now, MAX_WAIT_NS)


STEPS = {
    ASKED: MoveTask.first,
    RESERVING: MoveTask.reserve,
    WARMING: MoveTask.warm,
    MEMBERS: MoveTask.hand_over,
    SHIFTING: MoveTask.shift,
    SETTLING: MoveTask.settle,
    GOING_BACK: MoveTask.go_back,
    DROPPING: MoveTask.drop,
}


def read(code, body):
    """The answer, or None where it tells nothing. A 200 says at which entry."""
    try:
        answer = msgspec.convert(body, Answer) if code in (OK, NO, SENSELESS) else None
    except msgspec.ValidationError:
        return None
    return None if answer is not None and code == OK and not answer.at else answer
