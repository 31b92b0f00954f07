"""Checks whether the calls that clients observed are linearizable: whether some order of them fits one object
that does one thing at a time. The search is that of Wing and Gong, with Lowe's memory of the states already
tried. It knows nothing of the object but a step function."""

from dataclasses import dataclass

UNKNOWN = "unknown"  # result of a call without a response: it may take effect at any later time, or never
NEVER = 1 << 62


class Undecided(Exception):
    """The search passed its bound: the history is too long or has too many calls without a response."""


@dataclass(frozen=True, slots=True)
class ObservedCall:
    """One call as its client saw it. The times are of one clock; `answered_at` is NEVER if there was no
    response."""

    operation: object
    result: object
    called_at: int
    answered_at: int = NEVER


def find_inconsistent_call(calls, start, step, max_states=200_000):
    """Returns None if some order of the calls fits everything that was observed, else a call that fits in no
    order. `step`: function(state, operation) to (state after, result); states are hashable. Raises Undecided
    after more than `max_states` states.

    A call with a known result that fits the current state and changes nothing is taken at once: it could not
    fit better later."""
    calls = sorted(calls, key=lambda call: (call.called_at, call.answered_at))
    known = sum(1 << at for at, call in enumerate(calls) if call.result != UNKNOWN)
    tried, unexplored, furthest = set(), [(0, start)], 0
    stuck = None
    while unexplored:
        done, state = unexplored.pop()
        done, candidates = take_calls_without_effect(calls, done, state, step)
        if done & known == known:
            return None
        if (done, state) in tried:
            continue
        tried.add((done, state))
        if len(tried) > max_states:
            raise Undecided(f"{len(calls)} calls, {max_states} states tried")
        if stuck is None or bin(done & known).count("1") > furthest:
            furthest = bin(done & known).count("1")
            pending = [calls[at] for at in range(len(calls)) if not done >> at & 1 and known >> at & 1]
            stuck = min(pending, key=lambda call: call.answered_at)
        for at in reversed(candidates):
            after, result = step(state, calls[at].operation)
            if calls[at].result == UNKNOWN:
                if after != state:
                    unexplored.append((done | 1 << at, after))
            elif result == calls[at].result:
                unexplored.append((done | 1 << at, after))
    return stuck


def take_calls_without_effect(calls, done, state, step):
    """Takes every call that fits the state and doesn't change it. Returns the calls that are done, as a bit
    set, and the calls that may come next."""
    while True:
        candidates, until = [], NEVER
        for at, call in enumerate(calls):
            if call.called_at > until:
                break
            if not done >> at & 1:
                candidates.append(at)
                until = min(until, call.answered_at)
        candidates = [at for at in candidates if calls[at].called_at <= until]
        without_effect = [
            at
            for at in candidates
            if calls[at].result != UNKNOWN and step(state, calls[at].operation) == (state, calls[at].result)
        ]
        if not without_effect:
            return done, candidates
        for at in without_effect:
            done |= 1 << at
