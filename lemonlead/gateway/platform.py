"""The platform's line protocol: a parser that is fed bytes and returns lines, and what the lines mean."""

from .. import interface
from ..start_settings import ms_to_ns
from .buffer import Buffer, Malformed

MAX_LINE_BYTES = 8192
PHASES = {
    "trial": interface.ON_TRIAL,
    "rolling_back": interface.ROLLING_BACK,
    "released": interface.RELEASED,
    "withdrawn": interface.WITHDRAWN,
}
VERDICTS = {
    interface.VERDICT_NONE: "blank",
    interface.VERDICT_PROMOTE: "go",
    interface.VERDICT_HOLD: "stay",
    interface.VERDICT_ROLL_BACK: "stop",
}
REFUSALS = {"Throttling": interface.OVER_ALLOWANCE, "ConditionFailed": interface.MOOT}


class Reader:
    """Parses lines of words. Bytes go into `buffer`."""

    def __init__(self):
        self.buffer = Buffer()

    def next(self):
        """Returns the words of the next line, or None until it is complete. Raises Malformed."""
        try:
            line = self.buffer.line(MAX_LINE_BYTES)
            return None if line is None else line.decode("ascii").split()
        except ValueError as error:
            raise Malformed(str(error)) from None


def vote_line(build, stage, verdict):
    return f"BALLOT {build} {stage} {VERDICTS[verdict]}\r\n".encode()


def parse_stage(words):
    """Returns build, stage, phase, cap and age in nanoseconds, as `stage_reported` takes them, from five
    words. Raises Malformed."""
    try:
        build, stage, phase, cap, age = words
        state = int(build), int(stage), PHASES[phase], float(cap), ms_to_ns(float(age))
        if state[0] < 0 or state[1] < 0 or not 0 <= state[3] <= 1 or state[4] < 0:
            raise ValueError
    except (ValueError, KeyError, TypeError):
        raise Malformed(f"no state of a build: {words}"[:200]) from None
    return state


def parse_vote_response(words):
    """Returns the outcome of a vote, and the state of the build that the response carries or None. Raises
    Malformed."""
    if words[:1] == ["OK"]:
        return interface.COUNTED, parse_stage(words[1:])
    if words[:1] == ["ERR"]:
        return REFUSALS.get(" ".join(words[1:2]), interface.VOTE_ERRED), None
    raise Malformed("no answer to a vote")
