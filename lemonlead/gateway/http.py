"""One answer of HTTP/1.1: a state machine that is fed bytes and gives the lines of its body; and one that is
fed such lines and gives the text of each JSON object in them, which may be indented, once it is whole."""

import re

from .buffer import Buffer, Malformed

LONGEST_LINE, MOST_HEADERS, LONGEST_CHUNK, LONGEST_BODY_LINE = 8192, 100, 1 << 22, 1 << 22
MORE, END = object(), object()  # no whole line yet; the body is over
# The next bracket, after what is none: other letters, strings (whole, as JSON writes them: none goes on in
# the next line) and quotes that none ends. Found one by one: a whole list has many, and is large itself.
BRACKET = re.compile(rb'(?:[^"{}\[\]]++|"(?:[^"\\]++|\\.)*+"|")*+([{}\[\]]?)')


class Response:
    """Bytes go into `buffer`; `next` gives each line of the body once it is whole, then END."""

    def __init__(self):
        self.buffer = Buffer()
        self.status = 0
        self.headers = {}
        self.state = self.status_line
        self.remaining = None  # bytes of the chunk or of the whole body still to come; None: until the end
        self.text = bytearray()  # of the body, up to where its last whole line ends

    def next(self):
        try:
            while True:
                cut = self.text.find(b"\n")
                if cut >= 0:
                    line = bytes(self.text[:cut]).rstrip(b"\r")
                    del self.text[: cut + 1]
                    return line
                if len(self.text) > LONGEST_BODY_LINE:
                    raise Malformed("a line of the body is too long")
                if self.state is None:
                    line = bytes(self.text)
                    self.text.clear()
                    return line or END
                if not self.state():
                    return MORE
        except ValueError as error:  # a number that is none, or Malformed as it is
            raise Malformed(str(error)) from None

    def status_line(self):
        if (line := self.buffer.line(LONGEST_LINE)) is None:
            return False
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            raise Malformed("no status line")
        self.status, self.state = int(words[1]), self.header
        return True

    def header(self):
        if (line := self.buffer.line(LONGEST_LINE)) is None:
            return False
        if line:
            name, colon, value = line.partition(b":")
            if not colon or len(self.headers) >= MOST_HEADERS:
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
        if (line := self.buffer.line(LONGEST_LINE)) is None:
            return False
        self.remaining = int(line.split(b";")[0], 16)
        if not 0 <= self.remaining <= LONGEST_CHUNK:
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
        if (line := self.buffer.line(LONGEST_LINE)) is None:
            return False
        if line:
            raise Malformed("a chunk longer than it says")
        self.state = self.chunk_size
        return True

    def trailer(self):
        if (line := self.buffer.line(LONGEST_LINE)) is None:
            return False
        if not line:
            self.state = None
        return True


class JsonObjects:
    """Lines go into `add`, which gives the text of an object with its last line, and nothing before."""

    def __init__(self):
        self.lines, self.size, self.depth = [], 0, 0  # of the object that is begun; brackets that stand open

    def add(self, line):
        if not line.strip():
            return b""
        found = (match[1] for match in BRACKET.finditer(line))
        self.depth += sum((c in (b"{", b"[")) - (c in (b"}", b"]")) for c in found)
        self.lines.append(line)
        self.size += len(line)
        if self.size > LONGEST_BODY_LINE:
            raise Malformed("an object of the body is too long")
        if self.depth > 0:
            return b""
        text = b"\n".join(self.lines)
        self.lines, self.size, self.depth = [], 0, 0
        return text
