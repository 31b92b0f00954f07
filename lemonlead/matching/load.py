"""A set of rules from a file of settings. All that is wrong with it is told at once, each fault in its
place."""

from .. import settings
from .request_fields import RequestLimits
from .rules import RuleSet, RuleSource
from .rules import InvalidRuleSet

PARTS = ("when", "lane", "key", "customer", "labels")


class InvalidRulesFile(Exception):
    """A file that gives no set: `faults` as (place, code, message), in their order."""

    def __init__(self, faults):
        self.faults = faults
        more = f" and {len(faults) - 1} more" if len(faults) > 1 else ""
        super().__init__(f"{lines(faults[:1])[0]}{more}")


def lines(faults):
    """One line a fault: FILE:LINE:COL: CODE message."""
    return [f"{place}: {code} {message}" for place, code, message in faults]


def read(path, max_bytes):
    """The file's values and their places; Unfit."""
    try:
        return settings.read(path, settings.schema_text("rules"), max_bytes=max_bytes)
    except settings.InvalidFile as error:
        raise InvalidRulesFile([(fault.place, fault.code, fault.message) for fault in error.faults]) from None


def load(path, request_classes=None, tenants=None, max_bytes=settings.MAX_FILE_SIZE):
    """The set that a file gives, for these request classes (at.RequestClass by name) and tenants; without
    them names of request classes and tenants are not looked at. `room`: the most bytes of its files. Raises
    Unfit."""
    file = read(path, max_bytes)
    told = file.value
    written = [
        RuleSource(rule["name"], *(rule.get(part) for part in PARTS[:-1]), labels=rule.get("labels", {}))
        for rule in told["rules"]
    ]
    limits = RequestLimits(**told["bounds"], request_classes=tuple(request_classes or ()))
    try:
        return RuleSet(
            told["version"],
            written,
            request_classes or {},
            tenants,
            limits,
            told["ceilings"]["rule"],
            told["ceilings"]["set"],
        )
    except InvalidRuleSet as error:
        raise InvalidRulesFile(
            [
                (
                    file.place(f"rules[{number}].{part}", fault.line, fault.column)
                    if part
                    else file.place("version"),
                    fault.code,
                    f"rule {written[number].name}: {part}: {fault.message}" if written else fault.message,
                )
                for number, part, fault in error.faults
            ]
        ) from None
