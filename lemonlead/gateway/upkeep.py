"""What keeps up a connection that the gateway cannot do without: why it ended, and how long to wait."""

import random
import time

CONNECTS = 1.0  # seconds; what has not come up by then is tried anew, to be early once it can be reached
REASONS = {ConnectionRefusedError: "refused", ConnectionResetError: "reset", BrokenPipeError: "reset"}


def reason_for_end(work):
    """Runs a connection until it ends; the reason as a code, and what else is to be said of it."""
    try:
        return work(), ""
    except ValueError as error:  # the parsers' Malformed among them
        return "malformed", str(error)
    except TimeoutError:
        return "silent", ""
    except OSError as error:
        return REASONS.get(type(error), "unreachable"), str(error)
    except Exception as error:  # the next connection depends on the thread
        return "fault", f"{type(error).__name__}: {error}"


class Pause:
    """Before what failed is tried again: it grows with each failure and is spread by chance."""

    def __init__(self, seed, shortest, longest):
        self.random, self.shortest, self.longest = random.Random(seed), shortest, longest
        self.length = shortest

    def worked(self):
        self.length = self.shortest

    def wait(self):
        time.sleep(self.length * self.random.uniform(0.5, 1.0))
        self.length = min(2 * self.length, self.longest)
