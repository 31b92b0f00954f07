"""Where a gateway runs and what it is told there: its environment and the configuration."""

import contextlib
import json
import os
import socket
import time
from collections import Counter
from dataclasses import dataclass

from .. import interface as at
from ..start_settings import EFFECTS, InvalidSettings, SettingsReader, describe_value, start_from_settings
from .platform import PHASES

EPOCH = time.time_ns() - time.monotonic_ns()  # all machines read one clock: instances' start times are on it

MAX_LIST_DELAY_NS = (
    6_000_000_000  # nanoseconds after which what discovery has counts as told, whether it came or not
)
SPARE = 24  # descriptors kept for all that is no connection of a client's or to an instance


def now():
    """Nanoseconds that never go back, counted as the machines' clocks were at our start."""
    return time.monotonic_ns() + EPOCH


class Unfit(Exception):
    """The configuration is missing or cannot be read."""


@dataclass
class Config:
    name: str
    listen: tuple
    discovery: tuple
    platform: tuple | None
    connections: int  # descriptors for clients and instances, half for each
    memory: int  # bytes that it may take
    start: at.StartSettings
    request_classes: dict  # by the name that clients give
    tenants: dict
    zones: dict
    kinds: dict
    known: dict  # the list of instances as last had
    news: tuple | None  # the state of the newest build
    pushed: bool  # what discovery has counts as told from the first moment on


def address(text):
    """An IPv4 address and a port. A name is none: nothing here looks names up, as that could wait."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
        if not (port.isascii() and port.isdecimal() and len(port) < 6 and int(port) < 65536):
            raise ValueError
    except (OSError, ValueError):  # a text with a zero byte is a ValueError, and so are letters beyond ASCII
        raise ValueError(f"no address: {describe_value(text)}") from None
    return host, int(port)


def address_of(told, key, given=None):
    """The one in this object, or the one given in its place."""
    text = given or told.text(key)
    try:
        return address(text)
    except ValueError:
        told.unfit(key, text, "an IPv4 address and a port, as 10.0.0.4:6379")


def numbered(names):
    return {name: number for number, name in enumerate(names)}


def names_of(told, key):
    """The names that the entries of this list have, in its order."""
    names = [entry.text("Name") for entry in told.parts(key)]
    for name, count in Counter(names).items():
        if count > 1:
            raise InvalidSettings(
                f"settings.{key} names {describe_value(name)} twice; expected a name of its own for each"
            )
    return names


@contextlib.contextmanager
def unfit():
    """Whatever makes the configuration one that cannot be used is said in one way, on one line."""
    try:
        yield
    except RecursionError:
        raise Unfit("it is nested too deep; expected a JSON object") from None
    except KeyError as error:
        raise Unfit(f"{error} is missing") from None
    except (OSError, ValueError) as error:
        raise Unfit(" ".join(str(error).split())[:200]) from None


def load(environment):
    """The configuration as the file has it, with no more checked than that it is an object."""
    path = environment["ROUTER_CONFIG"]
    with open(path, encoding="utf-8") as file:
        try:
            return SettingsReader(json.load(file), "")
        except InvalidSettings as error:
            raise Unfit(f"{path}{error}"[:200]) from None
        except ValueError as error:
            raise Unfit(f"{path} is no JSON: {error}"[:200]) from None


def platform_of(api):
    return address_of(api, "address") if "address" in api.values else None


def news_of(api):
    """The state of the newest build, or None where there is no news of any."""
    if api.values.get("news") is None:
        return None
    news = api.part("news")
    build, stage = news.count("release", None), news.count("tranche", None)
    phase = PHASES[news.one_of("mode", PHASES, None)]
    return build, stage, phase, float(news.number("exposure", None, 0, 1)), news.time("old_ms", None)


def optional(config, key):
    """A part of the configuration that may be left out, or be null."""
    return SettingsReader({}, key) if config.values.get(key) is None else config.part(key)


def limits_of(config):
    """Descriptors for clients and instances, half for each; bytes."""
    limits = optional(config, "limits")
    return limits.count("sockets", 1024, SPARE + 2) - SPARE, int(limits.number("memory_mb", 192, 1) * 2**20)


def settings_of(config, seed):
    """What the balancer is told, the names of request classes and of tenants, and the settings as they
    stand."""
    told = config.part("settings")
    for request_class in told.parts("Lanes"):
        request_class.one_of("Effect", EFFECTS, "at_most_once")
    return (
        start_from_settings(told.values, seed, now()),
        names_of(told, "Lanes"),
        names_of(told, "Projects"),
        told,
    )


def seed_of(config):
    try:
        return int(config.text("seed"), 16)
    except ValueError:
        config.unfit("seed", config.values["seed"], "a number in hexadecimal")


def read(environment=os.environ):
    with unfit():
        config = load(environment)
        if "settings" not in config.values:
            raise InvalidSettings("settings is missing; expected an object")
        start, request_classes, tenants, told = settings_of(config, seed_of(config))
        start.ask_for_list = True  # on sockets the list comes to those alone that ask for it
        pushed = told.values.get("Discovery") != "ask"
        start.assumed_known_after = 0 if pushed else MAX_LIST_DELAY_NS
        api, known = optional(config, "release_api"), optional(config, "known")
        connections, memory = limits_of(config)
        return Config(
            name=environment.get("ROUTER_NAME") or config.text("name"),
            listen=address_of(config, "listen", environment.get("ROUTER_LISTEN")),
            discovery=address_of(config, "discovery", environment.get("ROUTER_DISCOVERY")),
            platform=platform_of(api),
            connections=connections,
            memory=memory,
            start=start,
            request_classes=dict(zip(request_classes, start.request_classes, strict=True)),
            tenants=numbered(tenants),
            zones=numbered(told.names("Areas")),
            kinds=numbered(told.names("Skus")),
            known=known.values or {"version": 0, "full": True, "servers": []},
            news=news_of(api),
            pushed=pushed,
        )


def read_again(environment=os.environ):
    """Where discovery and the platform are by the configuration as it is now. The environment is that of the
    start, so here the file wins; its list and news are no newer than what was told since, and are left. The
    settings and limits bind from the next start on, but where they make no sense nothing is changed."""
    with unfit():
        config = load(environment)
        settings_of(config, 0)
        limits_of(config)
        return address_of(config, "discovery"), platform_of(optional(config, "release_api"))
