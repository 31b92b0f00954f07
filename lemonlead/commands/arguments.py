"""Arguments of commands: reads requests and configurations, with one usage error each, and formats values."""

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
MAX_TIME_FIELD = 10**9  # of wait_ms and work_us, as in the protocol


def parse_lookup(text):
    """Reads a request's fields from JSON. Raises a usage error that names the fault."""
    try:
        fields = json.loads(text) if text else {}
    except (ValueError, RecursionError) as error:
        raise click.UsageError(f"--lookup: not valid JSON: {error}") from None
    if not isinstance(fields, dict):
        raise click.UsageError('--lookup: a JSON object was expected, as in {"key": "north/42"}')
    for name, value in fields.items():
        if name not in FIELDS:
            raise click.UsageError(f"--lookup: no field {name!r}; there is {', '.join(FIELDS)}")
        if not isinstance(value, FIELDS[name]) or isinstance(value, bool) != (FIELDS[name] is bool):
            wanted = getattr(FIELDS[name], "__name__", "number")
            raise click.UsageError(f"--lookup: {name} is {json.dumps(value)[:40]}, {wanted} was expected")
        if isinstance(value, int | float) and not 0 <= value <= MAX_TIME_FIELD:
            raise click.UsageError(f"--lookup: {name} is {value}, 0 to {MAX_TIME_FIELD} was expected")
    for name, value in fields.get("attributes", {}).items():
        if not isinstance(value, str):
            raise click.UsageError(
                f"--lookup: attributes.{name} is {json.dumps(value)[:40]}, a string was expected"
            )
    return fields


def request_fields(fields, limits):
    """Returns the request as expressions read it."""
    return RequestFields(
        limits,
        fields.get("command", "Q.ASK"),
        fields.get("key", ""),
        fields.get("lane", ""),
        fields.get("customer", ""),
        ms_to_ns(float(fields.get("wait_ms", 0))),
        int(fields.get("work_us", 0) * 1000),
        fields.get("repeat", False),
        fields.get("stamped", False),
        fields.get("body_size", 0),
        fields.get("attributes", {}),
    )


def read_platform(path):
    """Returns the request classes by name and the names of tenants from a gateway's configuration, or from a
    file with its `settings` object only; (None, None) without a path."""
    if path is None:
        return None, None
    try:
        config = json.loads(Path(path).read_text())
        settings = config.get("settings", config)
        start = start_from_settings(settings, 0, 0)
        request_classes = {
            lane["Name"]: start.request_classes[number] for number, lane in enumerate(settings["Lanes"])
        }
        return request_classes, [tenant["Name"] for tenant in settings.get("Projects", [])]
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise click.UsageError(f"--settings {path}: {type(error).__name__}: {error}") from None


def to_json_value(value, kind):
    """Converts a value for JSON: a duration to seconds with an s, bytes to base64, non-finite doubles to
    their names."""
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
