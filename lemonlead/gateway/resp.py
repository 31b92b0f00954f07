"""RESP2: a state machine that is fed bytes and gives whole values, and the few forms that are written."""

from .buffer import Buffer, Malformed

LONGEST_LINE, LONGEST_BULK, MOST_ITEMS, DEEPEST = 1024, 64 * 1024, 64, 4
LONGEST_COMMAND = LONGEST_BULK + 4096  # bytes of all its strings
MORE = object()  # no whole value yet


class Status(bytes):
    """A simple string."""


class Fault(bytes):
    """An error."""


class Reader:
    """Bytes go into `buffer`; `next` gives each value once it is whole. From clients only commands are taken:
    arrays of bulk strings."""

    def __init__(self, commands=False):
        self.buffer = Buffer()
        self.commands = commands
        self.open = []  # arrays begun: what they hold so far, and how many items they want
        self.bulk = None  # the length of the bulk string that is awaited
        self.size = 0  # of the strings of the array that is open

    def next(self):
        while True:
            value = self.line() if self.bulk is None else self.string()
            while value is not MORE and value is not None and self.open:
                items, count = self.open[-1]
                items.append(None if value is NULL else value)
                value = self.open.pop()[0] if len(items) == count else None
            if value is not None:
                return None if value is NULL else value

    def empty(self):
        """Whether it stands between values, with nothing of the next."""
        return not len(self.buffer) and not self.open and self.bulk is None

    def string(self):
        data = self.buffer.take(self.bulk + 2)
        if data is None:
            return MORE
        if not data.endswith(b"\r\n"):
            raise Malformed("a bulk string without its end")
        self.bulk = None
        return data[:-2]

    def line(self):
        """A value that is one line; None where more belongs to it."""
        if (line := self.buffer.line(LONGEST_LINE)) is None:
            return MORE
        kind, rest = line[:1], line[1:]
        if self.commands and kind != (b"$" if self.open else b"*"):
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
            if not 0 <= number <= LONGEST_BULK or self.commands and self.size > LONGEST_COMMAND:
                raise Malformed(f"a bulk string of {number} bytes")
            self.bulk = number
            return None
        if not self.commands <= number <= MOST_ITEMS or len(self.open) >= DEEPEST:
            raise Malformed(f"an array of {number} items at depth {len(self.open)}")
        self.size = 0
        if number == 0:
            return []
        self.open.append(([], number))
        return None


NULL = object()  # stands for null inside the machine, where None means that a value goes on


def command(words):
    return b"*%d\r\n%s" % (len(words), b"".join(map(bulk, words)))


def bulk(value):
    return b"$%d\r\n%s\r\n" % (len(value), value)


def error(text):
    return b"-%s\r\n" % text.encode()
