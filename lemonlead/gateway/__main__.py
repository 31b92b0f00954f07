"""`python -m lemonlead.gateway`: one gateway, as its environment and configuration say."""

import os
import signal
import sys
import threading
import time

import structlog

from . import place as places
from .clients import Gate
from .counters import Counters
from .crew import Crew
from .desk import Desk
from .discovery import Discovery
from .instances import Instances
from .releases import Releases

STACK = 256 * 1024
FIRST_LIST = 2.0  # seconds for which the first list is waited for at most, where lists are pushed
LINGER = 0.5  # seconds after SIGTERM in which connections still come
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}


def main():
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    threading.stack_size(STACK)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout), cache_logger_on_first_use=True,
    )
    try:
        place = places.read()
    except places.Unfit as error:
        print(f"lemonlead.gateway: the configuration cannot be used: {error}", file=sys.stderr)
        return 2
    log, counters, crew = structlog.get_logger(gateway=place.name), Counters(), Crew()
    desk = Desk(place.start, log, counters)
    desk.instances = Instances(place, desk, crew, log, counters)
    desk.discovery = discovery = Discovery(place, desk, log, counters)
    desk.releases = releases = Releases(place, desk, log, counters)
    try:
        gate = Gate(place, desk, crew, log, counters)
    except OSError as error:
        print(f"lemonlead.gateway: cannot listen at {place.listen}: {error}", file=sys.stderr)
        return 2
    try:
        known = discovery.read(place.known)
    except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError) as error:
        reason = f"known is no list as discovery gives it: {type(error).__name__}: {error}"[:200]
        print(f"lemonlead.gateway: the configuration cannot be used: {reason}", file=sys.stderr)
        return 2
    with desk.lock:
        discovery.listed(places.now(), *known, True, False)
        if place.news is not None:
            desk.balancer.stage_told(places.now(), *place.news)
    if path := os.environ.get("LEMONLEAD_SETTINGS"):
        from . import sorting  # what it needs is not imported while no rules are asked for

        gate.sorting = sorting.Sorting(place, path, desk, log, counters)
        if (reason := gate.sorting.load(places.now())) is not None:
            print(f"lemonlead.gateway: the rules cannot be used: {reason}", file=sys.stderr)
            return 2
    follower = None
    if gate.sorting is not None and gate.sorting.follow is not None:
        from ..following import driver  # nor is this while no ledger is followed

        try:
            follower = driver.Follower(place, gate.sorting.follow, desk, log, counters)
        except driver.Unusable as error:
            print(f"lemonlead.gateway: no ledger can be followed: {error}; {error.do}", file=sys.stderr)
            return 2
        follower.start(discovery, known[1], known[2])
    threads = [desk.keep_time, discovery.run]
    threads += [releases.hear, releases.poll] if place.platform else []
    for thread in threads:
        threading.Thread(target=thread, daemon=True).start()
    if place.pushed:  # no lookup goes by the list of before our start, unless discovery cannot be reached
        discovery.ask()
        discovery.tried.wait(FIRST_LIST)
    gate.open()
    threading.Thread(target=gate.run, daemon=True).start()
    host, port = gate.listener.getsockname()
    log.info("serving", listen=host, port=port, instances=len(known[1]))
    while (asked := signal.sigwait(SIGNALS)) in (signal.SIGUSR1, signal.SIGHUP):
        if asked == signal.SIGUSR1:
            log.info("counters", **figures(desk, follower))
            if gate.sorting is not None:
                gate.sorting.tell()
        else:
            move(discovery, releases, log)
            if gate.sorting is not None:
                gate.sorting.load(places.now())
    return stop(gate, desk, log, follower)


def move(discovery, releases, log):
    """To discovery and the platform where the configuration now has them; all else goes on as it is."""
    try:
        to, platform = places.read_again()
    except places.Unfit as error:
        return log.warning("configuration unfit", reason=str(error))
    discovery.move(to)
    if platform is not None:
        releases.upkeep.move(platform)
    log.info("configuration read", discovery=to, platform=platform)


def figures(desk, follower):
    with desk.lock:
        counted = {**desk.counters.read(), "open": len(desk.asks)}
        counted |= follower.figures() if follower is not None else {}
    return {name.replace(" ", "_").replace(":", ""): count for name, count in counted.items()}


def stop(gate, desk, log, follower):
    """Serves what still comes, then closes connections between lookups and ends what was taken; last of all
    it tells the ledger that it sends no more."""
    log.info("stopping", open=len(desk.asks))
    time.sleep(LINGER)
    gate.close()
    until = time.monotonic() + max((lane.hard_stop for lane in gate.place.start.lanes), default=0) / 1e9
    while (gate.close_idle() or desk.asks) and time.monotonic() < until:
        time.sleep(0.02)
    if follower is not None:
        follower.leave(until)
    log.info("stopped", **figures(desk, follower))
    return 0


if __name__ == "__main__":
    sys.exit(main())
