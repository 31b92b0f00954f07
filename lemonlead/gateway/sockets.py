"""What Linux reports about a connection, and socket timeouts in the kernel's format."""

import contextlib
import fcntl
import select
import socket
import struct
import termios

# Linux's `struct tcp_info`: the offset of the milliseconds since the last data arrived, and the length needed
# to include it.
LAST_DATA_RECEIVED_OFFSET = 52
INFO_LENGTH = 56
# The offset of the TCP state, and two of its values.
STATE_OFFSET = 0
CLOSE = 7
CLOSE_WAIT = 8
MAX_KERNEL_TICK_MS = 10  # the kernel counts the milliseconds above in ticks of at most this length
NS_PER_MS = 1_000_000


def connection_info(sock):
    """Returns the kernel's `struct tcp_info` as bytes, or no bytes if it does not provide it in full."""
    with contextlib.suppress(OSError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_LENGTH)
        return info if len(info) == INFO_LENGTH else b""
    return b""


def unread_for(sock):
    """Returns how long the data read last had lain unread, in nanoseconds. The result is a lower bound: 0 if
    the kernel does not provide it, or if the time is within one tick of its clock."""
    if not (info := connection_info(sock)):
        return 0
    (since_data_ms,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)
    return max(since_data_ms - MAX_KERNEL_TICK_MS, 0) * NS_PER_MS


def hung_up(sock, read_side_ended=False):
    """Returns whether the peer has closed the connection. Unlike `recv`, this also works while unread bytes
    come before the end. `read_side_ended`: we have called shutdown(SHUT_RD), which looks like the peer's FIN
    to `poll`. A reset is still seen then, and a FIN if the kernel provides the connection's state."""
    poller = select.poll()
    poller.register(sock, 0 if read_side_ended else select.POLLRDHUP)
    if poller.poll(0):
        return True
    info = connection_info(sock) if read_side_ended else b""
    return bool(info) and info[STATE_OFFSET] in (CLOSE, CLOSE_WAIT)


def unacknowledged_bytes(sock):
    """Returns how many of the bytes that the kernel has accepted from us the peer's kernel has not
    acknowledged. Returns 0 if the kernel does not provide it."""
    with contextlib.suppress(OSError, ValueError):
        return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0]
    return 0


def readable(sock, wait=0.0):
    """Returns whether the socket has unread data or has reached its end. Waits for that for at most `wait`
    seconds. Returns False for a socket that another thread closes meanwhile."""
    with contextlib.suppress(ValueError, OSError):
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        return bool(poller.poll(max(wait, 0.0) * 1e3))
    return False


def seconds(length):
    """Returns a timeout in seconds as a `struct timeval`."""
    return struct.pack("ll", int(length), int(length % 1 * 1e6))
