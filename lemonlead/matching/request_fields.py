"""The fields of a request that expressions can read, and the limits on their sizes, from which costs are
computed."""

from dataclasses import dataclass

from .kinds import BOOL, DURATION, MAX_INT64, INT, STRING, Bounds, map_of


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the sizes of a request's fields and of computed values."""

    key: int = 1024  # bytes
    customer: int = 128  # bytes of a tenant's name
    attributes: int = 32
    attribute_name: int = 64  # bytes
    attribute: int = 256  # bytes of an attribute's value
    longest: int = 65536  # code points, bytes or items of any computed value
    request_classes: tuple = ()  # names of the request classes, if they are known

    def fields(self):
        """Returns the type and bounds of each field of `lookup`, by name."""
        request_classes = frozenset(self.request_classes) or None
        # NUMBER in gateway/clients.py allows nine digits of ms or us.
        wait_bounds = Bounds(low=0, high=10**9 * 10**9)
        return {
            "command": (STRING, Bounds(16)),
            "key": (STRING, Bounds(self.key)),
            "lane": (
                STRING,
                Bounds(max(map(len, self.request_classes), default=128), values=request_classes),
            ),
            "customer": (STRING, Bounds(self.customer)),
            "wait": (DURATION, wait_bounds),
            "work": (DURATION, wait_bounds),
            "repeat": (BOOL, Bounds()),
            "stamped": (BOOL, Bounds()),
            "body_size": (INT, Bounds(low=0, high=MAX_INT64)),
            "attributes": (
                map_of(STRING, STRING),
                Bounds(self.attributes, item=Bounds(self.attribute), key=Bounds(self.attribute_name)),
            ),
        }


NO_ATTRIBUTES = {}  # shared by all requests without attributes; never modified
MAY_BE_UNSET = frozenset(("key", "customer", "attributes"))  # too long in some requests, or not UTF-8


class RequestFields:
    """The fields of one request, as expressions read them.

    A field that is not UTF-8 or exceeds its limit is left unset, and reading it is an error of the
    expression. So no expression reads more than its cost was computed for."""

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
        """`key` is bytes as received, or a string; `wait` and `work` are in nanoseconds."""
        self.command = command
        self.lane = lane
        self.wait = wait
        self.work = work
        self.repeat = repeat
        self.stamped = stamped
        self.body_size = body_size
        if len(key) <= limits.key:
            self.set_key(key)
        if len(customer) <= limits.customer:
            self.customer = customer
        if not attributes:
            self.attributes = NO_ATTRIBUTES
        elif len(attributes) <= limits.attributes and all(
            len(name) <= limits.attribute_name and len(value) <= limits.attribute
            for name, value in attributes.items()
        ):
            self.attributes = attributes

    def set_key(self, key):
        try:
            self.key = key.decode() if isinstance(key, bytes) else key
        except UnicodeDecodeError:
            return  # the field stays unset
