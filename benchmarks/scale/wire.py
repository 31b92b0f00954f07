"""One connection of a hollow gateway: a request goes out, the lines of the answer come in, never waiting."""

import select
import socket

from lemonlead.gateway import http

IN, OUT = select.EPOLLIN, select.EPOLLIN | select.EPOLLOUT


class Wire:
    """`owner`: the hollow gateway; `kind`: what it is for. Bytes both ways are counted at the owner."""

    __slots__ = ("owner", "kind", "sock", "address", "out", "answer", "epoll", "busy")

    def __init__(self, owner, kind, address, epoll):
        self.owner, self.kind, self.address, self.epoll = owner, kind, address, epoll
        self.sock, self.out, self.answer, self.busy = socket.socket(), b"", None, False
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        host, _, port = address.rpartition(":")
        self.sock.connect_ex((host, int(port)))
        epoll.register(self.sock, OUT)

    def ask(self, method, path, body=b""):
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self.out += f"{head}\r\n".encode() + body
        self.answer, self.busy = http.Response(), True
        self.epoll.modify(self.sock, OUT)

    def write(self):
        """OSError where the connection failed."""
        if error := self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(error, "connection failed")
        if self.out:
            sent = self.sock.send(self.out)
            self.owner.bytes_out += sent
            self.out = self.out[sent:]
        if not self.out:
            self.epoll.modify(self.sock, IN)

    def read(self):
        """What came, as lines of the answer, up to http.END; OSError or ValueError where the connection or
        the answer fails."""
        if self.answer is None:
            raise OSError("closed, or told what was not asked")
        try:
            count = self.answer.buffer.fill(self.sock.recv_into)
        except BlockingIOError:
            return []
        if not count:
            raise OSError("closed")
        self.owner.bytes_in += count
        lines = []
        while (line := self.answer.next()) is not http.MORE:
            lines.append(line)
            if line is http.END:
                self.busy = False
                break
        return lines

    def close(self):
        self.epoll.unregister(self.sock)
        self.sock.close()
