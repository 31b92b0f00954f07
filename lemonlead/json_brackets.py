"""Finds the brackets of JSON text without decoding it. The time is linear in the length of any bytes."""

import re
from itertools import accumulate

# Everything before the first quote that starts a string without an end. From that quote on every quote is
# such a start; to try each of them would take a time that grows with the square of the length.
CLOSED_PART = re.compile(rb'(?:[^"]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)
# Anything but brackets, within the closed part and after it.
NO_BRACKETS = re.compile(rb'(?:[^"{}\[\]]++|"(?:[^"\\]++|\\.)*+")++', re.DOTALL)
NO_BRACKETS_AFTER = re.compile(rb"[^{}\[\]]++")
# The next string of the closed part with a bracket in it; few texts have one.
STRING_WITH_BRACKETS = re.compile(
    rb'(?:[^"]++|"(?:[^"\\{}\[\]]++|\\[^{}\[\]])*+")*+("(?:[^"\\]++|\\.)*+")?', re.DOTALL
)
STEPS = {ord("{"): 1, ord("["): 1, ord("}"): -1, ord("]"): -1}


def net_nesting(text):
    """Returns how many more objects and lists are opened than closed in `text`, as bytes."""
    end = CLOSED_PART.match(text).end()
    strings = b"".join(STRING_WITH_BRACKETS.findall(text, 0, end))
    return count_net(text) - count_net(strings)


def count_net(text):
    """Returns how many more brackets open than close in `text`, as bytes, those within strings included."""
    return text.count(b"{") + text.count(b"[") - text.count(b"}") - text.count(b"]")


def nesting_depth(text):
    """Returns how deep the objects and lists of `text`, as bytes, are nested."""
    end = CLOSED_PART.match(text).end()
    brackets = NO_BRACKETS.sub(b"", text[:end]) + NO_BRACKETS_AFTER.sub(b"", text[end:])
    return max(accumulate(map(STEPS.__getitem__, brackets), initial=0))
