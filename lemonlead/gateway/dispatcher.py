"""Runs the one balancer under one lock: passes it the events of all threads and carries out its decisions."""

import threading
import traceback

from .. import interface
from ..balance import Balancer
from ..start_settings import NS_PER_MS
from . import resp
from .config import now

# Exceptions that are tolerated during the decisions on one event, besides one for each open request. After
# that many the remaining decisions wait for the next event.
MAX_FAULTS = 8
MIN_WAKEUP_NS_AFTER_FAULT = 10 * NS_PER_MS  # the timer does not ask again sooner than this
# The ends of attempts of which no instance received the whole request.
UNWRITTEN = (interface.UNCONNECTED, interface.NOT_SENT)


class Dispatcher:
    """The host of the balancer. Nothing blocks under the lock. Actions that might block go into
    `deferred_actions`, which the thread that held the lock carries out after it has released it. An event and
    the decisions on it share one timestamp, as the interface requires: the balancer recognizes a new request
    by it."""

    DUPLICATE_ID_ERROR = resp.error("ERR no request: its id is that of an open one")

    def __init__(self, start, log, counters):
        self.lock = threading.Condition()
        self.log_line, self.counters = log, counters
        self.balancer = Balancer(start)
        self.ids = set()  # of the requests in `pending_requests`
        self.pending_requests = {}  # unanswered ones: request to PendingRequest
        self.deferred_actions = []
        self.instances = self.discovery = self.releases = None  # the drivers, set before the first call
        self.list_source = None  # the driver of the list; no attempt begins while it has unprocessed updates
        self.service = None  # follows the moves of a service; stands between the platform and the balancer
        self.wakeup_at = 0  # nanoseconds; when the timer asks the balancer again

    # ---- for the drivers

    def handle(self, event, *values):
        """Passes an event to the balancer or to this dispatcher, and carries out all decisions that follow.
        `event`: a function of the time in nanoseconds and of `values`."""
        with self.lock:
            deferred_actions = self.process_event(event, *values)
        for action, *values in deferred_actions:
            try:
                action(*values)
            except Exception:  # the later actions belong to other requests
                self.fault(traceback.format_exc())

    def process_event(self, event, *values):
        time_now, faults = now(), MAX_FAULTS + len(self.pending_requests)
        self.call_guarded(event, time_now, *values)
        # A decision first removes its subject from its list, so after a fault the others are still made.
        while (
            (more := self.call_guarded(self.balancer.decide, time_now, self)) or more is None and faults > 0
        ):
            faults -= more is None
        wakeup_at = self.call_guarded(self.balancer.wake_at) or 0
        if wakeup_at <= time_now:
            wakeup_at = time_now + MIN_WAKEUP_NS_AFTER_FAULT
        if wakeup_at < self.wakeup_at:
            self.lock.notify()
        self.wakeup_at = wakeup_at
        deferred_actions, self.deferred_actions = self.deferred_actions, []
        return deferred_actions

    def call_guarded(self, call, *values):
        """Returns the call's result, or None after an exception. No event may end the thread that reports
        it."""
        try:
            return call(*values)
        except Exception:
            self.deferred_actions.append((self.fault, traceback.format_exc()))
            return None

    def run_timer(self):
        """The timer's thread: asks the balancer for decisions at the times that it set."""
        while True:
            with self.lock:
                while (wait := self.wakeup_at - now()) > 0:
                    self.lock.wait(min(wait / 1e9, 60.0))
            self.handle(lambda time_now: None)

    def fault(self, text):
        self.counters.add("faults")
        self.log_line.error("fault", reason=text)

    def request_arrived(self, time_now, pending, request):
        if not self.register(pending, request):
            return
        request.arrived = time_now
        self.balancer.request_arrived(time_now, request)

    def reject_on_arrival(self, time_now, pending, request):
        """Has a request rejected without an attempt, as the balancer gives up any other."""
        if self.register(pending, request):
            self.balancer.give_up(request, self)

    def abort_requests(self, time_now, requests):
        """Gives up those of the requests that are unanswered, because their connection is about to end."""
        for request in requests:
            if request in self.pending_requests:
                self.balancer.give_up(request, self)

    def register(self, pending, request):
        """Adds a request to the unanswered ones. Returns False, and answers it with an error, if another open
        request has its id: one response would then be taken for two."""
        if request.id in self.ids:
            pending.answer = self.DUPLICATE_ID_ERROR
            self.deferred_actions.append((pending.client.flush,))
            return False
        self.pending_requests[request] = pending
        self.ids.add(request.id)
        self.count("taken", request)
        return True

    def client_left(self, time_now, requests):
        for request in requests:
            if self.pending_requests.pop(request, None) is not None:
                self.ids.discard(request.id)
                self.count("left", request)
                self.drop_unwritten(request)
                self.balancer.request_closed(time_now, request)

    def attempt_ended(self, time_now, attempt, end, value):
        if end == interface.SUCCEEDED and attempt.request in self.pending_requests:
            self.answer(attempt.request, "succeeded", resp.bulk(value))
        self.counters.add(f"attempts {end}")
        if self.service is not None:
            self.service.ended(time_now, attempt, end)
        took = time_now - attempt.sent_at if attempt.took is None else attempt.took
        over = attempt.request not in self.pending_requests
        self.balancer.attempt_ended(time_now, attempt, end, took, over, {})

    def stage_reported(self, time_now, *release_state):
        """Reports the state of the newest build, as the platform sent it."""
        (self.service or self.balancer).stage_reported(time_now, *release_state)

    def write_deadline(self, attempt):
        """Returns the time, in nanoseconds, by which the attempt's last byte must be written, or 0 if the
        attempt may not begin. Waits until the updates of the list that have arrived are processed."""
        if self.list_source is not None:
            self.list_source.wait_until_processed(attempt.request.deadline)
        with self.lock:
            return (
                self.balancer.write_deadline(now(), attempt)
                if attempt.request in self.pending_requests
                else 0
            )

    def count(self, what, request):
        self.counters.add(what)
        self.counters.add(f"{what} request class {request.request_class.number}")

    # ---- called by the balancer

    def answer(self, request, ending, data):
        pending = self.pending_requests.pop(request)
        self.ids.discard(request.id)
        self.count(ending, request)
        # Before the response can be sent, so that no attempt is written in full after it.
        self.drop_unwritten(request)
        pending.answer = data
        self.deferred_actions.append((pending.client.flush,))

    def drop_unwritten(self, request):
        """Stops the request's attempts that are not written in full."""
        if any(not attempt.end for attempt in request.attempts):
            self.instances.drop_unwritten(request.attempts)

    def attempt(self, request, instance_id, time_out):
        self.counters.add("attempts")
        until = now() + time_out
        in_flight = self.instances.prepare(
            request.attempts[-1], instance_id, self.pending_requests[request].words, until
        )
        self.deferred_actions.append((self.instances.start, in_flight))

    def cancel(self, attempt):
        self.deferred_actions.append((self.instances.cancel, attempt))

    def reject(self, request, retry_after):
        pause = b" %d" % (retry_after // NS_PER_MS) if retry_after >= NS_PER_MS else b""
        self.answer(request, "rejected", b"-BUSY%s\r\n" % pause)

    def abort(self, request):
        if all(attempt.end in UNWRITTEN for attempt in request.attempts):
            self.counters.add("aborted unsent")
        self.answer(request, "aborted", resp.error("ERR aborted"))

    def watch_list(self):
        self.discovery.request_list()

    def vote(self, build, stage, verdict):
        self.counters.add("votes")
        (self.service or self.releases).vote(build, stage, verdict)

    def log(self, text):
        self.deferred_actions.append((self.log_line.info, text))
