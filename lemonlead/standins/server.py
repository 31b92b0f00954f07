"""The base class of all stand-ins that listen, and a bounded wait."""

import contextlib
import socket
import threading
import time


def until(condition, seconds=60):
    """Waits until the condition is true and returns its value. AssertionError after `seconds`."""
    end = time.monotonic() + seconds
    while not (value := condition()):
        assert time.monotonic() < end, f"the condition was not met within {seconds} s"
        time.sleep(0.01)
    return value


class Server:
    """Listens on a free port and calls `serve` for each connection, on a thread of its own."""

    def __init__(self, backlog=64, host="127.0.0.1"):
        self.listener = socket.socket()
        # Lets a server that closed its connections listen at the same address again at once.
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
                threading.Thread(target=self.serve_and_close, args=(sock,), daemon=True).start()

    def serve_and_close(self, sock):
        with contextlib.suppress(OSError, ValueError):
            self.serve(sock)
        sock.close()

    def end_connections(self):
        """Ends all open connections."""
        for sock in self.connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.connections = []

    def close(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.end_connections()
