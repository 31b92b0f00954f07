"""A buffer for the bytes that a connection has received and its parser has not used yet."""

RETAINED_BYTES = (
    8192  # an empty buffer shrinks to this, so that one large command does not hold memory permanently
)


class Malformed(ValueError):
    """The input breaks its protocol or exceeds a limit."""


class Buffer:
    """A buffer of one connection. It grows as needed and is compacted in place."""

    def __init__(self, size=2048):
        self.data = bytearray(size)
        self.start = self.end = 0  # the range of the unused bytes

    def __len__(self):
        return self.end - self.start

    def free_space(self):
        """Returns a view of the space for the next bytes. After writing there, call `filled`."""
        if self.start == self.end:
            self.start = self.end = 0
            del self.data[RETAINED_BYTES:]
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
        """Calls a function such as a socket's `recv_into` with the free space. Returns its byte count."""
        with self.free_space() as space:
            count = read_into(space)
        self.filled(count)
        return count

    def add(self, data):
        while data:
            with self.free_space() as space:
                count = min(len(space), len(data))
                space[:count] = data[:count]
            self.filled(count)
            data = data[count:]

    def take(self, count):
        """Removes and returns the next `count` bytes. Returns None if there are fewer."""
        if len(self) < count:
            return None
        self.start += count
        return bytes(self.data[self.start - count : self.start])

    def line(self, max_length):
        """Removes and returns the next line without its CRLF. Returns None until it is complete. Raises
        Malformed if it is longer than `max_length` bytes."""
        index = self.data.find(b"\r\n", self.start, self.end)
        if (len(self) if index < 0 else index - self.start) > max_length:
            raise Malformed(f"a line of over {max_length} bytes")
        if index < 0:
            return None
        line = bytes(self.data[self.start : index])
        self.start = index + 2
        return line
