"""The bytes that a connection has brought and that are not used yet."""

KEPT = 8192  # bytes that a buffer keeps once it is empty, so that one large command does not cost for good


class Malformed(ValueError):
    """What was read breaks its protocol, or is past a limit."""


class Buffer:
    """One a connection. It grows as it needs to and is compacted in place."""

    def __init__(self, size=2048):
        self.data = bytearray(size)
        self.start = self.end = 0  # what is not used yet

    def __len__(self):
        return self.end - self.start

    def room(self):
        """Where the next bytes go; `filled` then tells how many came."""
        if self.start == self.end:
            self.start = self.end = 0
            del self.data[KEPT:]
        if self.end == len(self.data):
            if 2 * self.start >= len(self.data):
                self.data[: len(self)] = self.data[self.start : self.end]
                self.start, self.end = 0, len(self)
            else:
                self.data.extend(bytes(len(self.data)))
        return memoryview(self.data)[self.end :]

    def filled(self, count):
        self.end += count

    def fill(self, read_into):
        """Has the next bytes written by a call such as a socket's `recv_into`; how many came."""
        with self.room() as room:
            count = read_into(room)
        self.filled(count)
        return count

    def add(self, data):
        while data:
            with self.room() as room:
                count = min(len(room), len(data))
                room[:count] = data[:count]
            self.filled(count)
            data = data[count:]

    def take(self, count):
        """The next `count` bytes, or None while fewer are there."""
        if len(self) < count:
            return None
        self.start += count
        return bytes(self.data[self.start - count : self.start])

    def line(self, longest):
        """The next line without its CRLF, None while it is not whole; Malformed if it is too long."""
        at = self.data.find(b"\r\n", self.start, self.end)
        if (len(self) if at < 0 else at - self.start) > longest:
            raise Malformed(f"a line of over {longest} bytes")
        if at < 0:
            return None
        line = bytes(self.data[self.start : at])
        self.start = at + 2
        return line
