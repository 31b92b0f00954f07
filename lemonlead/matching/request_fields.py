"""What a request offers to expressions, and the bounds that costs are reckoned with."""

from dataclasses import dataclass

from .kinds import BOOL, DURATION, HIGHEST, INT, STRING, Bounds, map_of


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """The longest and the most of what a request brings: bytes of a key and of a tenant's name, attributes,
    bytes of one's name and value; and `longest`, code points, bytes or items of any value that is
    computed."""

    key: int = 1024
    customer: int = 128
    attributes: int = 32
    attribute_name: int = 64
    attribute: int = 256
    longest: int = 65536
    request_classes: tuple = ()  # the request classes' names, where they are known

    def fields(self):
        """The type and bounds of each field of `lookup`."""
        request_classes = frozenset(self.request_classes) or None
        moment = Bounds(
            low=0, high=10**9 * 10**9
        )  # NUMBER in gateway/clients.py allows nine digits of ms or us
        return {
            "command": (STRING, Bounds(16)),
            "key": (STRING, Bounds(self.key)),
            "lane": (
                STRING,
                Bounds(max(map(len, self.request_classes), default=128), values=request_classes),
            ),
            "customer": (STRING, Bounds(self.customer)),
            "wait": (DURATION, moment),
            "work": (DURATION, moment),
            "repeat": (BOOL, Bounds()),
            "stamped": (BOOL, Bounds()),
            "body_size": (INT, Bounds(low=0, high=HIGHEST)),
            "attributes": (
                map_of(STRING, STRING),
                Bounds(self.attributes, of=Bounds(self.attribute), key=Bounds(self.attribute_name)),
            ),
        }


NONE = {}  # the attributes of a request that brings none; never changed
UNSURE = frozenset(("key", "customer", "attributes"))  # may be past their bounds, or not UTF-8


class RequestFields:
    """One request as expressions see it. What is not UTF-8 or past its declared bound is left unset: reading
    it is an error of the expression's, so that no cost was reckoned for less than what is read."""

    __slots__ = (
        "command",
        "key",
        "lane",
        "customer",
        "wait",
        "work",
        "repeat",
        "stamped",
        "body_size",
        "attributes",
    )

    def __init__(
        self,
        limits,
        command,
        key,
        lane,
        customer="",
        wait=0,
        work=0,
        repeat=False,
        stamped=False,
        body_size=0,
        attributes=None,
    ):
        """`key` in bytes as it came, or a string; `wait` and `work` in nanoseconds."""
        self.command, self.lane, self.wait, self.work = command, lane, wait, work
        self.repeat, self.stamped, self.body_size = repeat, stamped, body_size
        if len(key) <= limits.key:
            self.read_key(key)
        if len(customer) <= limits.customer:
            self.customer = customer
        if not attributes:
            self.attributes = NONE
        elif len(attributes) <= limits.attributes and all(
            len(name) <= limits.attribute_name and len(value) <= limits.attribute
            for name, value in attributes.items()
        ):
            self.attributes = attributes

    def read_key(self, key):
        try:
            self.key = key.decode() if isinstance(key, bytes) else key
        except UnicodeDecodeError:
            return  # it stays unset
