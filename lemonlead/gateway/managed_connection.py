"""A connection that the gateway keeps open: it is reopened after a pause, and its address can change."""

import contextlib
import random
import socket
import threading
import time

from .call_pauses import MAX_CROWDED_PAUSE_SECONDS

# The first pause after such a server. After a shorter one, all callers that were not served would fill
# the server's queue again immediately.
MIN_CROWDED_PAUSE_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0  # short, so that a server that becomes reachable is found soon
# The reason codes of connections that ended with these errors.
END_REASONS = {
    ConnectionRefusedError: "refused",
    ConnectionResetError: "reset",
    BrokenPipeError: "reset",
}


def read_until(sock, until):
    """Limits the socket's next read to this time of `time.monotonic`. Raises TimeoutError if it has passed.
    Without a limit over all reads, a peer that sends single bytes but nothing whole would seem alive."""
    if (left := until - time.monotonic()) <= 0:
        raise TimeoutError
    sock.settimeout(left)


class ManagedConnection:
    """Holds one connection at a time. The pause before the next one grows with each failure and is
    randomized. A new address ends both the connection and the pause. All times are seconds."""

    def __init__(self, address, seed, min_pause, max_pause, max_crowded_pause=MAX_CROWDED_PAUSE_SECONDS):
        self.address, self.random = address, random.Random(seed)
        self.min_pause, self.max_pause, self.pause = min_pause, max_pause, min_pause
        self.max_crowded_pause = max(max_crowded_pause, max_pause)
        self.condition = threading.Condition()  # guards the address, the socket and `address_changed`
        self.sock, self.address_changed = None, False

    def connect(self, silence):
        """Returns a socket connected to the current address, with a read timeout of `silence`, and that
        address. Raises OSError also if the address changed meanwhile: a socket that is not connected yet
        cannot be shut down by `change_address`."""
        with self.condition:
            # Reset before the socket is made: if that fails, `pause_before_retry` must pause.
            self.address_changed, address = False, self.address
            self.sock = socket.socket()
        self.sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        self.sock.connect(address)
        self.sock.settimeout(silence)
        with self.condition:
            if self.address_changed:
                raise OSError("moved while it was opened")
        return self.sock, address

    def run(self, work):
        """Calls `work`, which connects and uses the connection until it ends. Returns the reason of the end
        as a code, and details."""
        try:
            reason, detail = work(), ""
        except ValueError as error:  # includes the parsers' Malformed
            reason, detail = "malformed", str(error)
        except TimeoutError:
            reason, detail = "silent", ""
        except OSError as error:
            reason, detail = END_REASONS.get(type(error), "unreachable"), str(error)
        except Exception as error:  # the thread must survive to open the next connection
            reason, detail = "fault", f"{type(error).__name__}: {error}"
        with self.condition:
            if self.sock is not None:
                self.sock.close()
            self.sock = None
            return ("moved", "") if self.address_changed else (reason, detail[:200])

    def reset_pause(self):
        self.pause = self.min_pause

    def change_address(self, address):
        """Ends the connection or the pause, so that the new address is used at once. Returns False if the
        address is the same as before."""
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
        """Waits before the next connection. `crowded`: the server had too many callers. A caller that waits
        there without success takes the place of one that would be served, so all callers must connect less
        often until each gets through. The price is that updates arrive later."""
        # The lock is held throughout, because a failure at the old address must not lengthen the pause at a
        # new one.
        with self.condition:
            if crowded and not self.address_changed:
                self.pause = max(self.pause, min(MIN_CROWDED_PAUSE_SECONDS, self.max_crowded_pause))
            if not self.condition.wait_for(
                lambda: self.address_changed, self.pause * self.random.uniform(0.5, 1.0)
            ):
                self.pause = min(2 * self.pause, self.max_crowded_pause if crowded else self.max_pause)
