"""The configuration of a gateway, from its environment and its configuration file."""

import contextlib
import json
import os
import socket
import time
from collections import Counter
from dataclasses import dataclass

from .. import interface
from ..start_settings import EFFECTS, InvalidSettings, SettingsReader, describe_value, start_from_settings
from .platform import PHASES

# Nanoseconds between the monotonic and the wall clock at the process's start. The start times of instances
# are on the wall clock, which is synchronized between the machines.
EPOCH = time.time_ns() - time.monotonic_ns()

# The time after which the balancer is assumed to have discovery's list, whether it was received or not.
MAX_LIST_DELAY_NS = 6_000_000_000
RESERVED_DESCRIPTORS = 24  # for everything but the connections to clients and instances


def now():
    """Returns the time in nanoseconds. It never goes back, and is the wall-clock time as of the process's
    start."""
    return time.monotonic_ns() + EPOCH


class InvalidConfig(Exception):
    """The configuration is missing or cannot be used. The message is one line."""


@dataclass
class Config:
    """What a gateway is started with. `tenants`, `zones` and `kinds` (of instances) are numbers by name."""

    name: str
    listen: tuple
    discovery: tuple
    platform: tuple | None
    connections: int  # descriptors for clients and instances, half for each
    memory: int  # the memory limit in bytes
    start: interface.StartSettings
    request_classes: dict  # by the name that clients give
    tenants: dict
    zones: dict
    kinds: dict
    known: dict  # the last list of instances before the start
    news: tuple | None  # the state of the newest build
    pushed: bool  # whether the balancer is assumed to have discovery's list from the start on


def address(text):
    """Returns the host and port of an IPv4 address and port. Host names are refused, because nothing here
    looks names up: that could block. Raises ValueError."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
        if not (port.isascii() and port.isdecimal() and len(port) < 6 and int(port) < 65536):
            raise ValueError
    except (OSError, ValueError):  # `inet_pton` raises ValueError for a zero byte or non-ASCII characters
        raise ValueError(f"no address: {describe_value(text)}") from None
    return host, int(port)


def address_of(settings, key, override=None):
    """Returns the address under this key, or `override` if there is one."""
    text = override or settings.text(key)
    try:
        return address(text)
    except ValueError:
        settings.raise_invalid(key, text, "an IPv4 address and a port, as 10.0.0.4:6379")


def index_by_name(names):
    return {name: number for number, name in enumerate(names)}


def names_of(settings, key):
    """Returns the names of the entries of this list, in order. They must be unique."""
    names = [entry.text("Name") for entry in settings.parts(key)]
    for name, count in Counter(names).items():
        if count > 1:
            raise InvalidSettings(
                f"settings.{key} names {describe_value(name)} twice; expected a name of its own for each"
            )
    return names


@contextlib.contextmanager
def config_errors():
    """Turns any error that makes the configuration unusable into InvalidConfig, with a message on one
    line."""
    try:
        yield
    except RecursionError:
        raise InvalidConfig("it is nested too deep; expected a JSON object") from None
    except KeyError as error:
        raise InvalidConfig(f"{error} is missing") from None
    except (OSError, ValueError) as error:
        raise InvalidConfig(" ".join(str(error).split())[:200]) from None


def load(environment):
    """Reads the configuration file. Checks only that it is a JSON object."""
    path = environment["ROUTER_CONFIG"]
    with open(path, encoding="utf-8") as file:
        try:
            return SettingsReader(json.load(file), "")
        except InvalidSettings as error:
            raise InvalidConfig(f"{path}{error}"[:200]) from None
        except ValueError as error:
            raise InvalidConfig(f"{path} is no JSON: {error}"[:200]) from None


def platform_of(api):
    return address_of(api, "address") if "address" in api.values else None


def news_of(api):
    """Returns the state of the newest build, or None if there is none: build, stage, phase, cap, and age in
    nanoseconds."""
    if api.values.get("news") is None:
        return None
    news = api.part("news")
    build, stage = news.count("release", None), news.count("tranche", None)
    phase = PHASES[news.one_of("mode", PHASES, None)]
    return build, stage, phase, float(news.number("exposure", None, 0, 1)), news.time("old_ms", None)


def optional_part(config, key):
    """Returns a part of the configuration that may be missing or null."""
    return SettingsReader({}, key) if config.values.get(key) is None else config.part(key)


def limits_of(config):
    """Returns the number of descriptors for clients and instances, half for each, and the memory in bytes."""
    limits = optional_part(config, "limits")
    return limits.count("sockets", 1024, RESERVED_DESCRIPTORS + 2) - RESERVED_DESCRIPTORS, int(
        limits.number("memory_mb", 192, 1) * 2**20
    )


def settings_of(config, seed):
    """Returns the balancer's start settings, the names of the request classes and of the tenants, and the
    settings as they stand in the file."""
    settings = config.part("settings")
    for request_class in settings.parts("Lanes"):
        request_class.one_of("Effect", EFFECTS, "at_most_once")
    return (
        start_from_settings(settings.values, seed, now()),
        names_of(settings, "Lanes"),
        names_of(settings, "Projects"),
        settings,
    )


def seed_of(config):
    try:
        return int(config.text("seed"), 16)
    except ValueError:
        config.raise_invalid("seed", config.values["seed"], "a number in hexadecimal")


def read(environment=os.environ):
    """Returns the Config. Raises InvalidConfig."""
    with config_errors():
        config = load(environment)
        if "settings" not in config.values:
            raise InvalidSettings("settings is missing; expected an object")
        start, request_classes, tenants, settings = settings_of(config, seed_of(config))
        start.ask_for_list = True  # on sockets, discovery sends the list only to those that ask for it
        pushed = settings.values.get("Discovery") != "ask"
        start.max_unconfirmed_list_age, start.turned_away_calls_confirm = MAX_LIST_DELAY_NS, pushed
        api, known = optional_part(config, "release_api"), optional_part(config, "known")
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
            tenants=index_by_name(tenants),
            zones=index_by_name(settings.names("Areas")),
            kinds=index_by_name(settings.names("Skus")),
            known=known.values or {"version": 0, "full": True, "servers": []},
            news=news_of(api),
            pushed=pushed,
        )


def read_again(environment=os.environ):
    """Returns the addresses of discovery and of the platform in the current file. The environment is that of
    the process's start, so the file overrides it here. The file's list and news are ignored, because they are
    no newer than what was received since. The settings and limits take effect at the next start, but if they
    are invalid, InvalidConfig is raised and nothing changes."""
    with config_errors():
        config = load(environment)
        settings_of(config, 0)
        limits_of(config)
        return address_of(config, "discovery"), platform_of(optional_part(config, "release_api"))
