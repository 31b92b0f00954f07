"""Where a gateway runs and what it is told there: its environment and the configuration."""

import contextlib
import json
import os
import time
from dataclasses import dataclass

from .. import interface as at
from ..told import started
from . import platform

EPOCH = time.time_ns() - time.monotonic_ns()  # all machines read one clock: instances' start times are on it

SPARE = 24  # descriptors kept for all that is no connection of a client's or to an instance


def now():
    """Nanoseconds that never go back, counted as the machines' clocks were at our start."""
    return time.monotonic_ns() + EPOCH


class Unfit(Exception):
    """The configuration is missing or cannot be read."""


@dataclass
class Place:
    name: str
    listen: tuple
    discovery: tuple
    platform: tuple | None
    connections: int  # descriptors for clients and instances, half for each
    memory: int  # bytes that it may take
    start: at.Start
    lanes: dict  # by the name that clients give
    customers: dict
    zones: dict
    kinds: dict
    known: dict  # the list of instances as last had
    news: tuple | None  # the state of the newest build
    pushed: bool  # what discovery has counts as told from the first moment on


def address(text):
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def numbered(names):
    return {name: number for number, name in enumerate(names)}


@contextlib.contextmanager
def unfit():
    """Whatever makes the configuration one that cannot be used is said in one way."""
    try:
        yield
    except KeyError as error:
        raise Unfit(f"{error} is missing") from None
    except (OSError, ValueError, TypeError, AttributeError, RecursionError) as error:
        raise Unfit(str(error)[:200]) from None


def load(environment):
    with open(environment["ROUTER_CONFIG"], encoding="utf-8") as file:
        return json.load(file)


def platform_of(desk):
    return address(desk["address"]) if "address" in desk else None


def read(environment=os.environ):
    with unfit():
        config = load(environment)
        told, desk = config["settings"], config.get("release_api") or {}
        start = started(told, int(config["seed"], 16), now())
        start.ask_for_list = True  # on sockets the list comes to those alone that ask for it
        limits, news = config.get("limits") or {}, desk.get("news")
        names = ("release", "tranche", "mode", "exposure", "old_ms")
        return Place(
            name=environment.get("ROUTER_NAME") or config["name"],
            listen=address(environment.get("ROUTER_LISTEN") or config["listen"]),
            discovery=address(environment.get("ROUTER_DISCOVERY") or config["discovery"]),
            platform=platform_of(desk),
            connections=max(int(limits.get("sockets", 1024)) - SPARE, 2),
            memory=int(float(limits.get("memory_mb", 192)) * 2**20), start=start,
            lanes={lane["Name"]: start.lanes[n] for n, lane in enumerate(told.get("Lanes", []))},
            customers=numbered(customer["Name"] for customer in told.get("Projects", [])),
            zones=numbered(told.get("Areas", [])), kinds=numbered(told.get("Skus", [])),
            known=config.get("known") or {"version": 0, "full": True, "servers": []},
            news=platform.stage([news[name] for name in names]) if news else None,
            pushed=told.get("Discovery") != "ask",
        )


def read_again(environment=os.environ):
    """Where discovery and the platform are by the configuration as it is now. The environment is that of the
    start, so here the file wins; its list and news are no newer than what was told since, and are left."""
    with unfit():
        config = load(environment)
        return address(config["discovery"]), platform_of(config.get("release_api") or {})
