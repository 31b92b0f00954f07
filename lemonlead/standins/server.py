"""What all stand-ins that listen have in common."""

import contextlib
import socket
import threading
import time


def until(condition, seconds=60):
    """Waits for the condition; its value."""
    end = time.monotonic() + seconds
    while not (value := condition()):
        assert time.monotonic() < end, "waited in vain"
        time.sleep(0.01)
    return value


class Server:
    """A stand-in: listens on a free port and hands each connection to `serve` on a thread of its own."""

    def __init__(self, backlog=64, host="127.0.0.1"):
        self.listener = socket.socket()
        # So that one that ends connections may come back at the same address at once.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, 0))
        self.listener.listen(backlog)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.connections = []
        self.changed = threading.Condition()

    def start(self):
        threading.Thread(target=self.accept, daemon=True).start()
        return self

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections.append(sock)
                threading.Thread(target=self.guard, args=(sock,), daemon=True).start()

    def guard(self, sock):
        with contextlib.suppress(OSError, ValueError):
            self.serve(sock)
        sock.close()

    def end_connections(self):
        """Ends the connections that stand."""
        for sock in self.connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.connections = []

    def close(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.end_connections()
