"""Parsers for HTTP/1.1 responses: one is fed bytes and returns the lines of the body, the other is fed such
lines and returns the text of each JSON object in them, which may span several lines."""

from ..json_brackets import net_nesting
from .buffer import Buffer, Malformed

MAX_LINE_BYTES = 8192
MAX_HEADERS = 100
MAX_CHUNK_BYTES = 1 << 22
MAX_BODY_LINE_BYTES = 1 << 22
# What `Response.next` returns: no whole line yet; the body is over.
MORE, END = object(), object()


class Response:
    """Parses one response. Bytes go into `buffer`; `next` returns the body's lines. `state` is the method
    that parses the next element, or None at the end of the body."""

    def __init__(self):
        self.buffer = Buffer()
        self.status = 0
        self.headers = {}
        self.state = self.status_line
        self.remaining = None  # bytes left of the chunk or the body; None: it lasts until the connection ends
        self.text = bytearray()  # the part of the body that was not returned yet

    def next(self):
        """Returns the next line of the body, MORE if it is not complete, or END. Raises Malformed."""
        try:
            while True:
                cut = self.text.find(b"\n")
                if cut >= 0:
                    line = bytes(self.text[:cut]).rstrip(b"\r")
                    del self.text[: cut + 1]
                    return line
                if len(self.text) > MAX_BODY_LINE_BYTES:
                    raise Malformed("a line of the body is too long")
                if self.state is None:
                    line = bytes(self.text)
                    self.text.clear()
                    return line or END
                if not self.state():
                    return MORE
        except ValueError as error:  # an invalid number, or Malformed itself
            raise Malformed(str(error)) from None

    # The methods below return False if more bytes are needed.

    def status_line(self):
        if (line := self.buffer.line(MAX_LINE_BYTES)) is None:
            return False
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            raise Malformed("no status line")
        self.status, self.state = int(words[1]), self.header
        return True

    def header(self):
        if (line := self.buffer.line(MAX_LINE_BYTES)) is None:
            return False
        if line:
            name, colon, value = line.partition(b":")
            if not colon or len(self.headers) >= MAX_HEADERS:
                raise Malformed("a header without a colon, or too many of them")
            self.headers[name.strip().lower()] = value.strip()
        elif b"chunked" in self.headers.get(b"transfer-encoding", b"").lower():
            self.state = self.chunk_size
        else:
            length = self.headers.get(b"content-length")
            self.remaining, self.state = None if length is None else int(length), self.body
            if self.remaining is not None and self.remaining < 0:
                raise Malformed("a body of less than nothing")
        return True

    def chunk_size(self):
        if (line := self.buffer.line(MAX_LINE_BYTES)) is None:
            return False
        self.remaining = int(line.split(b";")[0], 16)
        if not 0 <= self.remaining <= MAX_CHUNK_BYTES:
            raise Malformed(f"a chunk of {self.remaining} bytes")
        self.state = self.body if self.remaining else self.trailer
        return True

    def body(self):
        count = len(self.buffer) if self.remaining is None else min(self.remaining, len(self.buffer))
        self.text += self.buffer.take(count)
        if self.remaining is not None:
            self.remaining -= count
            if not self.remaining:
                self.state = self.chunk_end if b"transfer-encoding" in self.headers else None
                return True
        return count > 0

    def chunk_end(self):
        if (line := self.buffer.line(MAX_LINE_BYTES)) is None:
            return False
        if line:
            raise Malformed("a chunk longer than it says")
        self.state = self.chunk_size
        return True

    def trailer(self):
        if (line := self.buffer.line(MAX_LINE_BYTES)) is None:
            return False
        if not line:
            self.state = None
        return True


class JsonObjects:
    """Joins lines to JSON objects, by counting brackets."""

    def __init__(self):
        self.lines, self.size, self.depth = [], 0, 0  # of the unfinished object; `depth`: open brackets

    def add(self, line):
        """Returns the text of an object with its last line, and no bytes before. Raises Malformed."""
        if not line.strip():
            return b""
        self.depth += net_nesting(line)
        self.lines.append(line)
        self.size += len(line)
        if self.size > MAX_BODY_LINE_BYTES:
            raise Malformed("an object of the body is too long")
        if self.depth > 0:
            return b""
        text = b"\n".join(self.lines)
        self.lines, self.size, self.depth = [], 0, 0
        return text
