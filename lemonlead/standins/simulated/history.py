"""Whether what clients saw could have been seen of one object that does one thing at a time (Wing & Gong's
search with Lowe's memory of what was tried). Knows nothing of what it judges but a function of its own."""

from dataclasses import dataclass

UNKNOWN = "unknown"  # the result of a call that had no answer: it may be done at any later moment, or never
NEVER = 1 << 62


class Undecided(Exception):
    """The search passed its bound: the history is too long or has too many calls without an answer."""


@dataclass(frozen=True, slots=True)
class Seen:
    """One call as its client saw it. Moments of one clock; `answered` is NEVER where no answer came."""

    what: object
    result: object
    asked: int
    answered: int = NEVER


def first_wrong(calls, start, step, most=200_000):
    """None where some order of the calls fits all that was seen; else a call that fits in no order. `step`:
    function(state, what) to (state after, result); states can be hashed. Undecided past `most` places tried.

    A known call that fits as the state is and changes nothing is taken at once: later it could only fit
    worse."""
    calls = sorted(calls, key=lambda call: (call.asked, call.answered))
    known = sum(1 << at for at, call in enumerate(calls) if call.result != UNKNOWN)
    tried, places, furthest = set(), [(0, start)], 0
    stuck = None
    while places:
        done, state = places.pop()
        done, open_ = settle(calls, done, state, step)
        if done & known == known:
            return None
        if (done, state) in tried:
            continue
        tried.add((done, state))
        if len(tried) > most:
            raise Undecided(f"{len(calls)} calls, {most} places tried")
        if stuck is None or bin(done & known).count("1") > furthest:
            furthest = bin(done & known).count("1")
            waits = [calls[at] for at in range(len(calls)) if not done >> at & 1 and known >> at & 1]
            stuck = min(waits, key=lambda call: call.answered)
        for at in reversed(open_):
            after, result = step(state, calls[at].what)
            if calls[at].result == UNKNOWN:
                if after != state:
                    places.append((done | 1 << at, after))
            elif result == calls[at].result:
                places.append((done | 1 << at, after))
    return stuck


def settle(calls, done, state, step):
    """What is done once every call that fits and changes nothing is taken, and the calls that may be
    next."""
    while True:
        open_, until = [], NEVER
        for at, call in enumerate(calls):
            if call.asked > until:
                break
            if not done >> at & 1:
                open_.append(at)
                until = min(until, call.answered)
        open_ = [at for at in open_ if calls[at].asked <= until]
        quiet = [
            at
            for at in open_
            if calls[at].result != UNKNOWN and step(state, calls[at].what) == (state, calls[at].result)
        ]
        if not quiet:
            return done, open_
        for at in quiet:
            done |= 1 << at
