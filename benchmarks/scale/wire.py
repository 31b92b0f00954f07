"""A non-blocking HTTP connection of a hollow gateway: it sends a request and reads the response's lines."""

import select
import socket

from lemonlead.gateway import http

IN, OUT = select.EPOLLIN, select.EPOLLIN | select.EPOLLOUT


class Wire:
    """`owner` is the hollow gateway, which counts the bytes of both directions; `kind` is the purpose."""

    __slots__ = ("owner", "kind", "sock", "address", "unsent", "response", "epoll", "busy")

    def __init__(self, owner, kind, address, epoll):
        self.owner, self.kind, self.address, self.epoll = owner, kind, address, epoll
        self.sock, self.unsent, self.response, self.busy = socket.socket(), b"", None, False
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        host, _, port = address.rpartition(":")
        self.sock.connect_ex((host, int(port)))
        epoll.register(self.sock, OUT)

    def send_request(self, method, path, body=b""):
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self.unsent += f"{head}\r\n".encode() + body
        self.response, self.busy = http.Response(), True
        self.epoll.modify(self.sock, OUT)

    def write(self):
        """Sends what is pending; raises OSError if the connection failed."""
        if error := self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(error, "connection failed")
        if self.unsent:
            sent = self.sock.send(self.unsent)
            self.owner.bytes_out += sent
            self.unsent = self.unsent[sent:]
        if not self.unsent:
            self.epoll.modify(self.sock, IN)

    def read(self):
        """Returns the lines that were received, up to http.END.

        Raises OSError if the connection fails, or ValueError if the response is invalid.
        """
        if self.response is None:
            raise OSError("closed, or told what was not asked")
        try:
            count = self.response.buffer.fill(self.sock.recv_into)
        except BlockingIOError:
            return []
        if not count:
            raise OSError("closed")
        self.owner.bytes_in += count
        lines = []
        while (line := self.response.next()) is not http.MORE:
            lines.append(line)
            if line is http.END:
                self.busy = False
                break
        return lines

    def close(self):
        self.epoll.unregister(self.sock)
        self.sock.close()
