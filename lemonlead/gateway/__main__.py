"""`python -m lemonlead.gateway`: runs one gateway, configured by its environment and configuration file."""

import errno
import os
import signal
import sys
import threading
import time
import traceback

from . import logfmt
from . import config as configs
from .clients import Server
from .counters import Counters
from .discovery import Discovery
from .dispatcher import Dispatcher
from .instances import Instances
from .releases import Releases
from .thread_pool import ThreadPool

THREAD_STACK_BYTES = 256 * 1024
# The time after which a waiting thread forces another to release the interpreter. A thread that was forced
# goes to the end of the queue. None of our threads computes for this long between two system calls.
SWITCH_INTERVAL_SECONDS = 0.05
FIRST_LIST_SECONDS = 2.0  # the longest wait for the first list at the start, if lists are pushed
ADDRESS_WAIT_SECONDS = 5.0  # the longest wait for our address while another process listens there
LINGER_SECONDS = 0.5  # after SIGTERM, connections are accepted for this long
# SIGKILL comes 0.7 s plus the longest deadline after SIGTERM at the earliest. A longer deadline than this
# counts as this. A request that arrives in the last of these seconds must have its response by then.
MAX_COUNTED_DEADLINE_SECONDS = 3.0
LAST_RESPONSES_SECONDS = 0.2  # the time for sending the last responses
POLL_SECONDS = 0.02  # between checks while the process starts or stops
END_SIGNALS = {signal.SIGTERM, signal.SIGINT}
SIGNALS = END_SIGNALS | {signal.SIGUSR1, signal.SIGHUP}


def main():
    """Runs a gateway until a signal ends it. Returns the exit status; 2 for a start that is impossible."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    try:
        config = configs.read()
    except configs.InvalidConfig as error:
        print(f"lemonlead.gateway: the configuration cannot be used: {error}", file=sys.stderr)
        return 2
    log, counters, thread_pool = logfmt.open_log(gateway=config.name), Counters(), ThreadPool()
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
        known = discovery.parse_update(config.known)
    except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError) as error:
        reason = f"known is no list as discovery gives it: {type(error).__name__}: {error}"[:200]
        print(f"lemonlead.gateway: the configuration cannot be used: {reason}", file=sys.stderr)
        return 2
    config.known = None  # frees it, since it may be large
    with dispatcher.lock:
        discovery.listed(configs.now(), *known, True, False)
        if config.news is not None:
            dispatcher.balancer.stage_reported(configs.now(), *config.news)
    if path := os.environ.get("LEMONLEAD_SETTINGS"):
        from . import request_rules  # imported only if there are rules, because of its dependencies

        server.request_rules = request_rules.RequestRules(config, path, dispatcher, log, counters)
        if (reason := server.request_rules.load(configs.now())) is not None:
            print(f"lemonlead.gateway: the rules cannot be used: {reason}", file=sys.stderr)
            return 2
    try:
        follower = create_follower(config, server.request_rules, dispatcher, log, counters)
    except configs.InvalidConfig as error:
        print(f"lemonlead.gateway: no ledger can be followed: {error}", file=sys.stderr)
        return 2
    if follower is not None:
        follower.start(discovery, known[1], known[2])
    count, known = len(known[1]), None
    reload_requested = threading.Event()
    threads = [
        dispatcher.run_timer,
        discovery.run,
        lambda: reload_on_request(reload_requested, server, discovery, releases, dispatcher, log),
    ]
    threads += [releases.run_news, releases.run_votes] if config.platform else []
    for thread in threads:
        threading.Thread(target=thread, daemon=True).start()
    if config.pushed:  # if discovery can be reached, no request is served with the list from before the start
        discovery.request_list()
        until = time.monotonic() + FIRST_LIST_SECONDS
        while not (is_ending() or discovery.first_result.wait(POLL_SECONDS)) and time.monotonic() < until:
            pass
    try:
        # If the process must end already, no client is accepted: requests that arrive now might not be
        # answered before SIGKILL.
        if not open_server(server, log):
            return finish(dispatcher, log, follower, time.monotonic())
    except OSError as error:
        print(f"lemonlead.gateway: cannot listen at {config.listen}: {error}", file=sys.stderr)
        return 2
    threading.Thread(target=server.run, daemon=True).start()
    host, port = server.listener.getsockname()
    log.info("serving", listen=host, port=port, instances=count)
    while (received := signal.sigwait(SIGNALS)) in (signal.SIGUSR1, signal.SIGHUP):
        if received == signal.SIGUSR1:
            log.info("counters", **read_counters(dispatcher, follower))
            if server.request_rules is not None:
                server.request_rules.log_counts()
        else:
            reload_requested.set()
    return stop(server, dispatcher, log, follower)


def create_follower(config, request_rules, dispatcher, log, counters):
    """Returns the driver that follows a ledger, through its members or through relays, or None if the
    settings name neither. Raises InvalidConfig. Its modules are imported only if it is used."""
    if request_rules is None or request_rules.follow is None and request_rules.distribution is None:
        return None
    from ..ledger.faults import Unusable

    try:
        if request_rules.distribution is None:
            from ..following.driver import Follower

            return Follower(config, request_rules.follow, dispatcher, log, counters)
        from ..distribution.driver import GatewayDriver

        return GatewayDriver(
            config, request_rules.distribution, request_rules.follow, dispatcher, log, counters
        )
    except Unusable as error:
        raise configs.InvalidConfig(f"{error}; {error.do}") from None


def is_ending():
    """Returns whether a signal is pending that ends the process. Leaves it pending."""
    return not END_SIGNALS.isdisjoint(signal.sigpending())


def open_server(server, log):
    """Opens the listener. Returns False if the process is to end before that is possible. An earlier process
    at our address keeps listening for up to 1.5 s after its SIGTERM. Raises OSError if the address cannot be
    used, or is still in use after ADDRESS_WAIT_SECONDS."""
    until = None
    while not is_ending():
        try:
            server.open()
            return True
        except OSError as error:
            if error.errno != errno.EADDRINUSE or until is not None and time.monotonic() > until:
                raise
        if until is None:
            until = time.monotonic() + ADDRESS_WAIT_SECONDS
            log.info("address taken")
        time.sleep(POLL_SECONDS)
    return False


def reload_on_request(reload_requested, server, discovery, releases, dispatcher, log):
    """Reads the configuration and the rules again after each SIGHUP, on a thread of its own: a large rule set
    takes a while, and SIGTERM must not wait for it."""
    while True:
        reload_requested.wait()
        reload_requested.clear()
        try:
            change_addresses(discovery, releases, log)
            if server.request_rules is not None:
                server.request_rules.load(configs.now())
        except Exception:  # the thread must survive to handle the next SIGHUP
            dispatcher.fault(traceback.format_exc())


def change_addresses(discovery, releases, log):
    """Moves discovery and the platform to the addresses in the current configuration file."""
    try:
        to, platform = configs.read_again()
    except configs.InvalidConfig as error:
        return log.warning("configuration unfit", reason=str(error))
    discovery.change_address(to)
    if platform is not None:
        releases.connection.change_address(platform)
    log.info("configuration read", discovery=to, platform=platform)


def read_counters(dispatcher, follower):
    """Returns all counters by their names in log lines."""
    with dispatcher.lock:
        counts = {**dispatcher.counters.read(), "open": len(dispatcher.pending_requests)}
        counts |= follower.figures() if follower is not None else {}
    return {name.replace(" ", "_").replace(":", ""): count for name, count in counts.items()}


def stop(server, dispatcher, log, follower):
    """Serves what still arrives, then closes idle connections and finishes the accepted requests. At the end
    the follower notifies the ledger that this gateway sends no more. A request that arrives by the end of
    LINGER_SECONDS has until its deadline. A later one, on a connection that was never idle, has until the
    earliest time of SIGKILL. The process ends LINGER_SECONDS, the longest deadline and LAST_RESPONSES_SECONDS
    after SIGTERM at the latest, besides the time that the ledger takes."""
    log.info("stopping", open=len(dispatcher.pending_requests))
    longest_deadline_seconds = (
        max((request_class.deadline for request_class in server.config.start.request_classes), default=0)
        / 1e9
    )
    closing = time.monotonic() + LINGER_SECONDS
    abort_late_from, abort_all_from = (
        closing + min(longest_deadline_seconds, MAX_COUNTED_DEADLINE_SECONDS),
        closing + longest_deadline_seconds,
    )
    time.sleep(LINGER_SECONDS)
    accepting_until = configs.now()
    server.close()
    while server.close_idle() or not server.closed.is_set() or dispatcher.pending_requests:
        if (time_now := time.monotonic()) >= abort_all_from + LAST_RESPONSES_SECONDS:
            break
        if time_now >= abort_late_from:
            server.abort_requests_after(accepting_until if time_now < abort_all_from else 0)
        time.sleep(POLL_SECONDS)
    return finish(dispatcher, log, follower, abort_all_from + LAST_RESPONSES_SECONDS)


def finish(dispatcher, log, follower, until):
    if follower is not None:
        follower.leave(until)
    log.info("stopped", **read_counters(dispatcher, follower))
    return 0


def run():
    """Runs the gateway and ends the process. If threads are left, it ends without finalizing the interpreter:
    a thread that is writing a log line would never release the stream's lock, and finalization would
    abort."""
    code = main()
    if threading.active_count() > 1:
        os._exit(code)
    sys.exit(code)


if __name__ == "__main__":
    run()
