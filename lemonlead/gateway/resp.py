"""RESP2: a parser that is fed bytes and returns whole values, and writers for the few forms that are sent."""

from .buffer import Buffer, Malformed

MAX_LINE_BYTES = 1024
MAX_BULK_BYTES = 64 * 1024
MAX_ITEMS = 64
MAX_DEPTH = 4
MAX_COMMAND_BYTES = MAX_BULK_BYTES + 4096  # of all its strings
MORE = object()  # what `Reader.next` returns until a value is complete


class Status(bytes):
    """A simple string."""


class Fault(bytes):
    """An error."""


def fingerprint(value):
    """Returns a number that is the same for equal values. It differs for others, but for a chance of 1 in
    2 ** 64."""
    content = tuple(map(fingerprint, value)) if type(value) is list else value
    return hash((type(value), content))


class Reader:
    """Parses values. Bytes go into `buffer`; `next` returns the values. With `commands`, only arrays of bulk
    strings are accepted, as clients send them."""

    def __init__(self, commands=False):
        self.buffer = Buffer()
        self.commands = commands
        self.open_arrays = []  # the unfinished arrays: (items so far, number of items)
        self.bulk = None  # the length of the bulk string that comes next; None if none does
        self.size = 0  # bytes of the strings of the unfinished array

    def next(self):
        """Returns the next value, or MORE until it is complete. Raises Malformed."""
        while True:
            value = self.line() if self.bulk is None else self.string()
            while value is not MORE and value is not None and self.open_arrays:
                items, count = self.open_arrays[-1]
                items.append(None if value is NULL else value)
                value = self.open_arrays.pop()[0] if len(items) == count else None
            if value is not None:
                return None if value is NULL else value

    def empty(self):
        """Returns whether the parser is between values and has no byte of the next one."""
        return not len(self.buffer) and not self.open_arrays and self.bulk is None

    def string(self):
        data = self.buffer.take(self.bulk + 2)
        if data is None:
            return MORE
        if not data.endswith(b"\r\n"):
            raise Malformed("a bulk string without its end")
        self.bulk = None
        return data[:-2]

    def line(self):
        """Parses one line. Returns its value, MORE, or None if the value continues after the line."""
        if (line := self.buffer.line(MAX_LINE_BYTES)) is None:
            return MORE
        kind, rest = line[:1], line[1:]
        if self.commands and kind != (b"$" if self.open_arrays else b"*"):
            raise Malformed("a command is an array of bulk strings")
        if kind in (b"+", b"-"):
            return (Status if kind == b"+" else Fault)(rest)
        if kind not in (b":", b"$", b"*") or not rest.removeprefix(b"-").isdigit():
            raise Malformed("a line of no known kind")
        number = int(rest)
        if kind == b":":
            return number
        if number == -1 and not self.commands:
            return NULL
        if kind == b"$":
            self.size += number
            if not 0 <= number <= MAX_BULK_BYTES or self.commands and self.size > MAX_COMMAND_BYTES:
                raise Malformed(f"a bulk string of {number} bytes")
            self.bulk = number
            return None
        if not self.commands <= number <= MAX_ITEMS or len(self.open_arrays) >= MAX_DEPTH:
            raise Malformed(f"an array of {number} items at depth {len(self.open_arrays)}")
        self.size = 0
        if number == 0:
            return []
        self.open_arrays.append(([], number))
        return None


NULL = object()  # a null inside the parser, where None means that the value continues


def command(words):
    return b"*%d\r\n%s" % (len(words), b"".join(map(bulk, words)))


def bulk(value):
    return b"$%d\r\n%s\r\n" % (len(value), value)


def error(text):
    return b"-%s\r\n" % text.encode()
