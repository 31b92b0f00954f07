"""`python -m lemonlead.gateway`: one gateway, as its environment and configuration say."""

import errno
import os
import signal
import sys
import threading
import time
import traceback

from . import lines
from . import config as configs
from .clients import Server
from .counters import Counters
from .discovery import Discovery
from .dispatcher import Dispatcher
from .instances import Instances
from .releases import Releases
from .thread_pool import ThreadPool

STACK = 256 * 1024
# Seconds after which a thread that waits for the interpreter has it taken from another. One whose turn has
# not come by then goes to the end of the queue; no thread of ours computes so long between two system calls.
SWITCH_INTERVAL = 0.05
FIRST_LIST = 2.0  # seconds for which the first list is waited for at most, where lists are pushed
TAKEN = 5.0  # seconds for which our address is waited for, while a process before us still listens there
LINGER = 0.5  # seconds after SIGTERM in which connections still come
# SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as this many seconds where it is
# longer, and 0.7 s; a request that came in the last of these must have its answer by then.
COUNTED = 3.0
LAST = 0.2  # seconds in which the last answers go out
TICK = 0.02  # seconds between looks, while it starts or stops, for what it waits for
ENDS = {signal.SIGTERM, signal.SIGINT}
SIGNALS = ENDS | {signal.SIGUSR1, signal.SIGHUP}


def main():
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH_INTERVAL)
    try:
        config = configs.read()
    except configs.Unfit as error:
        print(f"lemonlead.gateway: the configuration cannot be used: {error}", file=sys.stderr)
        return 2
    log, counters, thread_pool = lines.opened(gateway=config.name), Counters(), ThreadPool()
    dispatcher = Dispatcher(config.start, log, counters)
    dispatcher.instances = Instances(config, dispatcher, thread_pool, log, counters)
    dispatcher.discovery = discovery = Discovery(config, dispatcher, log, counters)
    dispatcher.releases = releases = Releases(config, dispatcher, log, counters)
    try:
        server = Server(config, dispatcher, thread_pool, log, counters)
    except OSError as error:
        print(f"lemonlead.gateway: cannot listen at {config.listen}: {error}", file=sys.stderr)
        return 2
    try:
        known = discovery.read(config.known)
    except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError) as error:
        reason = f"known is no list as discovery gives it: {type(error).__name__}: {error}"[:200]
        print(f"lemonlead.gateway: the configuration cannot be used: {reason}", file=sys.stderr)
        return 2
    config.known = None  # it may be large, and tells no more
    with dispatcher.lock:
        discovery.listed(configs.now(), *known, True, False)
        if config.news is not None:
            dispatcher.balancer.stage_reported(configs.now(), *config.news)
    if path := os.environ.get("LEMONLEAD_SETTINGS"):
        from . import sorting  # what it needs is not imported while no rules are asked for

        server.sorting = sorting.Sorting(config, path, dispatcher, log, counters)
        if (reason := server.sorting.load(configs.now())) is not None:
            print(f"lemonlead.gateway: the rules cannot be used: {reason}", file=sys.stderr)
            return 2
    try:
        follower = followed(config, server.sorting, dispatcher, log, counters)
    except configs.Unfit as error:
        print(f"lemonlead.gateway: no ledger can be followed: {error}", file=sys.stderr)
        return 2
    if follower is not None:
        follower.start(discovery, known[1], known[2])
    count, known = len(known[1]), None
    changed = threading.Event()
    threads = [
        dispatcher.keep_time,
        discovery.run,
        lambda: reread(changed, server, discovery, releases, dispatcher, log),
    ]
    threads += [releases.hear, releases.poll] if config.platform else []
    for thread in threads:
        threading.Thread(target=thread, daemon=True).start()
    if config.pushed:  # no request goes by the list of before our start, unless discovery cannot be reached
        discovery.request_list()
        until = time.monotonic() + FIRST_LIST
        while not (ending() or discovery.first_result.wait(TICK)) and time.monotonic() < until:
            pass
    try:
        # nobody was let in: what came from now on might find no end before SIGKILL
        if not opened(server, log):
            return ended(dispatcher, log, follower, time.monotonic())
    except OSError as error:
        print(f"lemonlead.gateway: cannot listen at {config.listen}: {error}", file=sys.stderr)
        return 2
    threading.Thread(target=server.run, daemon=True).start()
    host, port = server.listener.getsockname()
    log.info("serving", listen=host, port=port, instances=count)
    while (asked := signal.sigwait(SIGNALS)) in (signal.SIGUSR1, signal.SIGHUP):
        if asked == signal.SIGUSR1:
            log.info("counters", **figures(dispatcher, follower))
            if server.sorting is not None:
                server.sorting.tell()
        else:
            changed.set()
    return stop(server, dispatcher, log, follower)


def followed(config, sorting, dispatcher, log, counters):
    """What follows a ledger, by its members or by relays, as the settings say; None where they name neither.
    Unfit where it can't be. Nothing of it is imported while it is off."""
    if sorting is None or sorting.follow is None and sorting.distribution is None:
        return None
    from ..ledger.faults import Unusable

    try:
        if sorting.distribution is None:
            from ..following.driver import Follower

            return Follower(config, sorting.follow, dispatcher, log, counters)
        from ..distribution.driver import GatewayDriver

        return GatewayDriver(config, sorting.distribution, sorting.follow, dispatcher, log, counters)
    except Unusable as error:
        raise configs.Unfit(f"{error}; {error.do}") from None


def ending():
    """Whether the signal has come that ends the process; it is still there to be taken."""
    return not ENDS.isdisjoint(signal.sigpending())


def opened(server, log):
    """Whether it listens; not if the process is to end before it can. A process before us under our address
    goes on listening for 1.5 s after SIGTERM at most. Raises OSError where the address is not to be had, also
    after TAKEN."""
    until = None
    while not ending():
        try:
            server.open()
            return True
        except OSError as error:
            if error.errno != errno.EADDRINUSE or until is not None and time.monotonic() > until:
                raise
        if until is None:
            until = time.monotonic() + TAKEN
            log.info("address taken")
        time.sleep(TICK)
    return False


def reread(changed, server, discovery, releases, dispatcher, log):
    """The thread that reads anew after SIGHUP: a large set of rules takes a while, and SIGTERM must not wait
    for it."""
    while True:
        changed.wait()
        changed.clear()
        try:
            move(discovery, releases, log)
            if server.sorting is not None:
                server.sorting.load(configs.now())
        except Exception:  # the next SIGHUP depends on the thread
            dispatcher.fault(traceback.format_exc())


def move(discovery, releases, log):
    """To discovery and the platform where the configuration now has them; all else goes on as it is."""
    try:
        to, platform = configs.read_again()
    except configs.Unfit as error:
        return log.warning("configuration unfit", reason=str(error))
    discovery.move(to)
    if platform is not None:
        releases.connection.change_address(platform)
    log.info("configuration read", discovery=to, platform=platform)


def figures(dispatcher, follower):
    with dispatcher.lock:
        counted = {**dispatcher.counters.read(), "open": len(dispatcher.pending_requests)}
        counted |= follower.figures() if follower is not None else {}
    return {name.replace(" ", "_").replace(":", ""): count for name, count in counted.items()}


def stop(server, dispatcher, log, follower):
    """Serves what still comes, then closes connections between requests and ends what was taken; last of all
    it tells the ledger that it sends no more. What came by the end of LINGER has until its deadline. What
    came later, on a connection that stood between requests at no moment, has until SIGKILL could come. The
    process ends LINGER, the longest deadline and LAST after SIGTERM at the latest, but for what the ledger
    takes."""
    log.info("stopping", open=len(dispatcher.pending_requests))
    longest = max((told.deadline for told in server.config.start.request_classes), default=0) / 1e9
    closing = time.monotonic() + LINGER
    soon, until = closing + min(longest, COUNTED), closing + longest
    time.sleep(LINGER)
    late = configs.now()
    server.close()
    while server.close_idle() or not server.closed.is_set() or dispatcher.pending_requests:
        if (moment := time.monotonic()) >= until + LAST:
            break
        if moment >= soon:
            server.hurry(late if moment < until else 0)
        time.sleep(TICK)
    return ended(dispatcher, log, follower, until + LAST)


def ended(dispatcher, log, follower, until):
    if follower is not None:
        follower.leave(until)
    log.info("stopped", **figures(dispatcher, follower))
    return 0


def run():
    """The whole process. Where threads are left it ends at once: were the interpreter taken down while one
    writes a log line, it would find the stream's lock held by a thread that never goes on, and abort."""
    code = main()
    if threading.active_count() > 1:
        os._exit(code)
    sys.exit(code)


if __name__ == "__main__":
    run()
