"""Loads a set of rules from a settings file, and reports all its faults at once, each with its place."""

from .. import settings
from .request_fields import RequestLimits
from .rules import RuleSet, RuleSource
from .rules import InvalidRuleSet

PARTS = ("when", "lane", "key", "customer", "labels")


class InvalidRulesFile(Exception):
    """A file that contains no valid set of rules. `faults` holds (place, code, message), in order."""

    def __init__(self, faults):
        self.faults = faults
        suffix = f" and {len(faults) - 1} more" if len(faults) > 1 else ""
        super().__init__(f"{lines(faults[:1])[0]}{suffix}")


def lines(faults):
    """Returns one line for each fault: FILE:LINE:COL: CODE message."""
    return [f"{place}: {code} {message}" for place, code, message in faults]


def read(path, max_bytes):
    """Reads the file as a `SettingsFile`. Raises InvalidRulesFile."""
    try:
        return settings.read(path, settings.schema_text("rules"), max_bytes=max_bytes)
    except settings.InvalidFile as error:
        raise InvalidRulesFile([(fault.place, fault.code, fault.message) for fault in error.faults]) from None


def load(path, request_classes=None, tenants=None, max_bytes=settings.MAX_FILE_SIZE):
    """Loads a set of rules for these request classes (at.RequestClass by name) and tenants. Without them,
    names of request classes and tenants are not checked. `max_bytes` limits the total size of the files that
    are read. Raises InvalidRulesFile."""
    file = read(path, max_bytes)
    values = file.value
    sources = [
        RuleSource(rule["name"], *(rule.get(part) for part in PARTS[:-1]), labels=rule.get("labels", {}))
        for rule in values["rules"]
    ]
    limits = RequestLimits(**values["bounds"], request_classes=tuple(request_classes or ()))
    try:
        return RuleSet(
            values["version"],
            sources,
            request_classes or {},
            tenants,
            limits,
            values["ceilings"]["rule"],
            values["ceilings"]["set"],
        )
    except InvalidRuleSet as error:
        raise InvalidRulesFile(
            [
                (
                    file.place(f"rules[{number}].{part}", fault.line, fault.column)
                    if part
                    else file.place("version"),
                    fault.code,
                    f"rule {sources[number].name}: {part}: {fault.message}" if sources else fault.message,
                )
                for number, part, fault in error.faults
            ]
        ) from None
