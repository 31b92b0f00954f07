"""What keeps up a connection that the gateway cannot do without: where to, why it ended, how long to wait."""

import contextlib
import random
import socket
import threading
import time

MAX_CROWDED_PAUSE_SECONDS = 16.0  # seconds: the longest pause after one that had too many callers
MIN_CROWDED_PAUSE_SECONDS = (
    2.0  # seconds: the shortest; less, and all that wait in vain fill its queue again at once
)
CONNECT_TIMEOUT_SECONDS = (
    1.0  # seconds; what has not come up by then is tried anew, to be early once it can be reached
)
END_REASONS = {ConnectionRefusedError: "refused", ConnectionResetError: "reset", BrokenPipeError: "reset"}


def read_until(sock, until):
    """Bounds the socket's next read by this moment of `time.monotonic`; TimeoutError once it has come. Guards
    against a peer that sends bytes but nothing whole: each of them would count as a sign of life."""
    if (left := until - time.monotonic()) <= 0:
        raise TimeoutError
    sock.settimeout(left)


class ManagedConnection:
    """One such connection at a time. The pause before the next grows with each failure and is spread by
    chance; a new address ends both the connection and the pause."""

    def __init__(self, address, seed, min_pause, max_pause, crowded=MAX_CROWDED_PAUSE_SECONDS):
        self.address, self.random = address, random.Random(seed)
        self.min_pause, self.max_pause, self.pause = min_pause, max_pause, min_pause
        self.max_crowded_pause = max(crowded, max_pause)
        self.condition = threading.Condition()  # guards the address, the socket, and whether it is to move
        self.sock, self.address_changed = None, False

    def connect(self, silence):
        """A socket to the address as it is now, on which a silence of so many seconds is an error, and that
        address. OSError if it was to move meanwhile: what is not connected yet can't be shut down."""
        with self.condition:
            self.address_changed, address = False, self.address  # first: without a socket, `wait` is to pause
            self.sock = socket.socket()
        self.sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        self.sock.connect(address)
        self.sock.settimeout(silence)
        with self.condition:
            if self.address_changed:
                raise OSError("moved while it was opened")
        return self.sock, address

    def run(self, work):
        """Has `work` make a connection and use it until it ends; the reason as a code, and what else is to be
        said of it."""
        try:
            reason, detail = work(), ""
        except ValueError as error:  # the parsers' Malformed among them
            reason, detail = "malformed", str(error)
        except TimeoutError:
            reason, detail = "silent", ""
        except OSError as error:
            reason, detail = END_REASONS.get(type(error), "unreachable"), str(error)
        except Exception as error:  # the next connection depends on the thread
            reason, detail = "fault", f"{type(error).__name__}: {error}"
        with self.condition:
            if self.sock is not None:
                self.sock.close()
            self.sock = None
            return ("moved", "") if self.address_changed else (reason, detail[:200])

    def reset_pause(self):
        self.pause = self.min_pause

    def change_address(self, address):
        """To a new address at once; False if it is the old one."""
        with self.condition:
            if address == self.address:
                return False
            self.address, self.address_changed, self.pause = address, True, self.min_pause
            if self.sock is not None:
                with contextlib.suppress(OSError):  # it may not be connected yet
                    self.sock.shutdown(socket.SHUT_RDWR)
            self.condition.notify_all()
            return True

    def pause_before_retry(self, crowded=False):
        """`crowded`: the other side had too many callers. What waits there in vain takes the place of what
        would be served, so that all must come less often until each gets through; it learns later then."""
        with self.condition:  # all of it: what the old address did is to lengthen no pause at a new one
            if crowded and not self.address_changed:
                self.pause = max(self.pause, min(MIN_CROWDED_PAUSE_SECONDS, self.max_crowded_pause))
            if not self.condition.wait_for(
                lambda: self.address_changed, self.pause * self.random.uniform(0.5, 1.0)
            ):
                self.pause = min(2 * self.pause, self.max_crowded_pause if crowded else self.max_pause)
