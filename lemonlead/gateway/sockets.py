"""What the operating system tells of a connection, and time limits as it takes them."""

import contextlib
import select
import socket
import struct

# Linux's `struct tcp_info`: where it has the milliseconds since the last data came, and its length with it.
# They are counted in ticks of its timer, of ten milliseconds at most.
LAST_DATA_RECEIVED, INFO_LENGTH = 52, 56
# Where it has the connection's state; closed; ended by the other side.
STATE, CLOSE, CLOSE_WAIT = 0, 7, 8
COARSEST_TICK_MS = 10
NS_PER_MS = 1_000_000


def connection_info(sock):
    """The kernel's `struct tcp_info` as bytes; empty where it does not tell."""
    with contextlib.suppress(OSError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_LENGTH)
        return info if len(info) == INFO_LENGTH else b""
    return b""


def unread_for(sock):
    """Nanoseconds for which what was read last had lain unread, as far as is known: 0 where the system does
    not tell, or where it is less than its clock can tell apart. Never more than it was."""
    if not (info := connection_info(sock)):
        return 0
    (since_data_ms,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED)
    return max(since_data_ms - COARSEST_TICK_MS, 0) * NS_PER_MS


def hung_up(sock, read_side_ended=False):
    """Whether the other side has ended its connection; unlike by `recv`, also where unread bytes lie before
    the end. Once we ended our reading side, which looks the same to `poll`, a reset shows all the same, an
    end in order where the kernel tells of a connection's state."""
    ends = select.poll()
    ends.register(sock, 0 if read_side_ended else select.POLLRDHUP)
    if ends.poll(0):
        return True
    info = connection_info(sock) if read_side_ended else b""
    return bool(info) and info[STATE] in (CLOSE, CLOSE_WAIT)


def readable(sock, wait=0.0):
    """Whether something lies unread there, its end included; waits for it for so many seconds at most. Not on
    a socket that is closed meanwhile."""
    with contextlib.suppress(ValueError, OSError):
        news = select.poll()
        news.register(sock, select.POLLIN)
        return bool(news.poll(max(wait, 0.0) * 1e3))
    return False


def seconds(length):
    """A time limit as a socket takes it."""
    return struct.pack("ll", int(length), int(length % 1 * 1e6))
