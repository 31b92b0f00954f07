"""What the operating system tells of a connection, and time limits as it takes them."""

import contextlib
import select
import socket
import struct

# Linux's `struct tcp_info`: where it has the milliseconds since the last data came, and its length with it.
# They are counted in ticks of its timer, of ten milliseconds at most.
LAST_DATA_RECEIVED, INFO_LENGTH = 52, 56
COARSEST_TICK_MS = 10
NS_PER_MS = 1_000_000


def unread_for(sock):
    """Nanoseconds for which what was read last had lain unread, as far as is known: 0 where the system does
    not tell, or where it is less than its clock can tell apart. Never more than it was."""
    with contextlib.suppress(OSError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_LENGTH)
        if len(info) >= INFO_LENGTH:
            (since_data_ms,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED)
            return max(since_data_ms - COARSEST_TICK_MS, 0) * NS_PER_MS
    return 0


def hung_up(sock, sign=select.POLLRDHUP):
    """Whether the other side has ended its connection; unlike by `recv`, also where unread bytes lie before
    the end. A reset shows whatever the sign."""
    ends = select.poll()
    ends.register(sock, sign)
    return bool(ends.poll(0))


def seconds(length):
    """A time limit as a socket takes it."""
    return struct.pack("ll", int(length), int(length % 1 * 1e6))
