"""What commands are given by words and files, read with one clear error each; and how values are shown."""

import base64
import json
import math
from pathlib import Path

import click

from ..matching.request_fields import RequestFields
from ..matching.kinds import BYTES, DOUBLE, DURATION
from ..start_settings import ms_to_ns, start_from_settings

FIELDS = {
    "command": str,
    "key": str,
    "lane": str,
    "customer": str,
    "wait_ms": (int, float),
    "work_us": (int, float),
    "repeat": bool,
    "stamped": bool,
    "body_size": int,
    "attributes": dict,
}
FAR = 10**9  # the most of wait_ms and work_us, as on the wire


def parse_lookup(text):
    """A request's fields from JSON; a usage error that names what is wrong."""
    try:
        told = json.loads(text) if text else {}
    except (ValueError, RecursionError) as error:
        raise click.UsageError(f"--lookup: no JSON: {error}") from None
    if not isinstance(told, dict):
        raise click.UsageError('--lookup: a JSON object was expected, as in {"key": "north/42"}')
    for name, value in told.items():
        if name not in FIELDS:
            raise click.UsageError(f"--lookup: no field {name!r}; there is {', '.join(FIELDS)}")
        if not isinstance(value, FIELDS[name]) or isinstance(value, bool) != (FIELDS[name] is bool):
            wanted = getattr(FIELDS[name], "__name__", "number")
            raise click.UsageError(f"--lookup: {name} is {json.dumps(value)[:40]}, {wanted} was expected")
        if isinstance(value, int | float) and not 0 <= value <= FAR:
            raise click.UsageError(f"--lookup: {name} is {value}, 0 to {FAR} was expected")
    for name, value in told.get("attributes", {}).items():
        if not isinstance(value, str):
            raise click.UsageError(
                f"--lookup: attributes.{name} is {json.dumps(value)[:40]}, a string was expected"
            )
    return told


def request_fields(told, limits):
    """The request as expressions see it."""
    return RequestFields(
        limits,
        told.get("command", "Q.ASK"),
        told.get("key", ""),
        told.get("lane", ""),
        told.get("customer", ""),
        ms_to_ns(float(told.get("wait_ms", 0))),
        int(told.get("work_us", 0) * 1000),
        told.get("repeat", False),
        told.get("stamped", False),
        told.get("body_size", 0),
        told.get("attributes", {}),
    )


def read_platform(path):
    """Request classes by name and tenants' names from a gateway's configuration, or from its `settings`
    object alone; (None, None) without a path."""
    if path is None:
        return None, None
    try:
        config = json.loads(Path(path).read_text())
        told = config.get("settings", config)
        start = start_from_settings(told, 0, 0)
        request_classes = {
            lane["Name"]: start.request_classes[number] for number, lane in enumerate(told["Lanes"])
        }
        return request_classes, [tenant["Name"] for tenant in told.get("Projects", [])]
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise click.UsageError(f"--settings {path}: {type(error).__name__}: {error}") from None


def to_json_value(value, kind):
    """A value as JSON has it: a duration as seconds with an s, bytes in base64, doubles that are no number by
    name."""
    if kind == DURATION:
        whole, part = divmod(abs(value), 10**9)
        text = f"{whole}.{part:09d}".rstrip("0").rstrip(".")
        return f"{'-' if value < 0 else ''}{text}s"
    if kind == BYTES:
        return base64.b64encode(value).decode()
    if kind == DOUBLE and not math.isfinite(value):
        return "NaN" if value != value else "Infinity" if value > 0 else "-Infinity"
    if kind.name == "list":
        return [to_json_value(item, kind.item) for item in value]
    if kind.name == "map":
        return {
            key if isinstance(key, str) else json.dumps(key): to_json_value(item, kind.item)
            for key, item in value.items()
        }
    return value
