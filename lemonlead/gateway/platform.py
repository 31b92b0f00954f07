"""The platform's lines: a state machine that is fed bytes and gives each line's words, and what they tell."""

from .. import interface as at
from ..start_settings import ms_to_ns
from .buffer import Buffer, Malformed

LONGEST_LINE = 8192
PHASES = {
    "trial": at.ON_TRIAL,
    "rolling_back": at.ROLLING_BACK,
    "released": at.RELEASED,
    "withdrawn": at.WITHDRAWN,
}
VERDICTS = {
    at.VERDICT_NONE: "blank",
    at.VERDICT_PROMOTE: "go",
    at.VERDICT_HOLD: "stay",
    at.VERDICT_ROLL_BACK: "stop",
}
REFUSALS = {"Throttling": at.OVER_ALLOWANCE, "ConditionFailed": at.MOOT}


class Reader:
    def __init__(self):
        self.buffer = Buffer()

    def next(self):
        """The words of the next line, or None while it is not whole."""
        try:
            line = self.buffer.line(LONGEST_LINE)
            return None if line is None else line.decode("ascii").split()
        except ValueError as error:
            raise Malformed(str(error)) from None


def ballot(build, stage, verdict):
    return f"BALLOT {build} {stage} {VERDICTS[verdict]}\r\n".encode()


def stage(words):
    """Build, stage, phase, cap and age, as `stage_reported` takes them, from five words."""
    try:
        build, stage, phase, cap, age = words
        told = int(build), int(stage), PHASES[phase], float(cap), ms_to_ns(float(age))
        if told[0] < 0 or told[1] < 0 or not 0 <= told[3] <= 1 or told[4] < 0:
            raise ValueError
    except (ValueError, KeyError, TypeError):
        raise Malformed(f"no state of a build: {words}"[:200]) from None
    return told


def answer(words):
    """What became of a vote, and the news that the answer carries or None."""
    if words[:1] == ["OK"]:
        return at.COUNTED, stage(words[1:])
    if words[:1] == ["ERR"]:
        return REFUSALS.get(" ".join(words[1:2]), at.VOTE_ERRED), None
    raise Malformed("no answer to a vote")
