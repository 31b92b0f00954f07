"""Whether what clients saw could have been seen of one object that does one thing at a time (Wing & Gong's
search with Lowe's memory of what was tried). Knows nothing of what it judges but a function of its own."""

from dataclasses import dataclass

UNKNOWN = "unknown"  # the result of a call that had no answer: it may be done at any later moment, or never
NEVER = 1 << 62


class Undecided(Exception):
    """The search passed its bound: the history is too long or has too many calls without an answer."""


@dataclass(frozen=True, slots=True)
class ObservedCall:
    """One call as its client saw it. Moments of one clock; `answered` is NEVER where no answer came."""

    operation: object
    result: object
    called_at: int
    answered_at: int = NEVER


def find_inconsistent_call(calls, start, step, max_states=200_000):
    """None where some order of the calls fits all that was seen; else a call that fits in no order. `step`:
    function(state, what) to (state after, result); states can be hashed. Undecided past `max_states` places tried.

    A known call that fits as the state is and changes nothing is taken at once: later it could only fit
    worse."""
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
            raise Undecided(f"{len(calls)} calls, {max_states} places tried")
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
    """What is done once every call that fits and changes nothing is taken, and the calls that may be
    next."""
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
