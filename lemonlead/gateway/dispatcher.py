"""The one balancer under one lock. Whoever has read something tells it here; what it decides is passed on."""

import threading
import traceback

from .. import interface as at
from ..balance import Balancer
from ..start_settings import NS
from . import resp
from .config import now

MOST_FAULTS = 8  # of one turn, and one for each open request: then the rest waits for the next
AFTER_FAULT = 10 * NS  # no sooner does the timer ask again
UNWRITTEN = (at.UNCONNECTED, at.NOT_SENT)  # the endings of attempts of which no instance has had all


class Dispatcher:
    """The balancer's door. Nothing blocks under the lock: what might is put into `chores`, which whoever held
    the lock does once it is free. What is told and what is decided on it share one moment, as the interface
    asks: a balancer knows by it that a request has just come."""

    TWICE = resp.error("ERR no request: its id is that of an open one")

    def __init__(self, start, log, counters):
        self.lock = threading.Condition()
        self.log_line, self.counters = log, counters
        self.balancer = Balancer(start)
        self.ids = set()  # those of the requests below
        self.pending_requests = {}  # the requests that want an answer: by request, the client's command
        self.deferred_actions = []
        self.instances = self.discovery = self.releases = None  # the drivers, set before the first call
        self.news = None  # the driver that tells of the list: no attempt begins while it has not told all
        self.service = None  # between the platform and the balancer, where a service's moves are followed
        self.wake = 0  # when the timer is to ask again

    # ---- for the drivers

    def handle(self, happened, *values):
        """An input of the balancer's or of this dispatcher's, then all that is decided on it."""
        with self.lock:
            deferred_actions = self.turn(happened, *values)
        for action, *values in deferred_actions:
            try:
                action(*values)
            except Exception:  # the chores after it are other requests'
                self.fault(traceback.format_exc())

    def turn(self, happened, *values):
        moment, faults = now(), MOST_FAULTS + len(self.pending_requests)
        self.guarded(happened, moment, *values)
        # A decision takes what it is about off its list first, so after a fault the others are still made.
        while (more := self.guarded(self.balancer.decide, moment, self)) or more is None and faults > 0:
            faults -= more is None
        wake = self.guarded(self.balancer.wake_at) or 0
        if wake <= moment:
            wake = moment + AFTER_FAULT
        if wake < self.wake:
            self.lock.notify()
        self.wake = wake
        deferred_actions, self.deferred_actions = self.deferred_actions, []
        return deferred_actions

    def guarded(self, call, *values):
        """What it gives, None after a fault: no input may end the thread that brought it."""
        try:
            return call(*values)
        except Exception:
            self.deferred_actions.append((self.fault, traceback.format_exc()))
            return None

    def keep_time(self):
        """The timer's thread: asks again when the balancer said, though nothing happened."""
        while True:
            with self.lock:
                while (wait := self.wake - now()) > 0:
                    self.lock.wait(min(wait / 1e9, 60.0))
            self.handle(lambda moment: None)

    def fault(self, text):
        self.counters.add("faults")
        self.log_line.error("fault", reason=text)

    def request_arrived(self, moment, ask, request):
        if not self.taken(ask, request):
            return
        request.arrived = moment
        self.balancer.request_arrived(moment, request)

    def request_turned_away(self, moment, ask, request):
        """It came past the bound on clients: it is given up as the balancer gives up any."""
        if self.taken(ask, request):
            self.balancer.give_up(request, self)

    def cut_short(self, moment, requests):
        """Their connection is to end: those that still want an answer get their last one."""
        for request in requests:
            if request in self.pending_requests:
                self.balancer.give_up(request, self)

    def taken(self, ask, request):
        """Whether it is: an id that another open request has would make two answers of one."""
        if request.id in self.ids:
            ask.answer = self.TWICE
            self.deferred_actions.append((ask.client.flush,))
            return False
        self.pending_requests[request] = ask
        self.ids.add(request.id)
        self.count("taken", request)
        return True

    def client_left(self, moment, requests):
        for request in requests:
            if self.pending_requests.pop(request, None) is not None:
                self.ids.discard(request.id)
                self.count("left", request)
                self.drop(request)
                self.balancer.request_left(moment, request)

    def attempt_ended(self, moment, attempt, end, value):
        if end == at.SUCCEEDED and attempt.request in self.pending_requests:
            self.answer(attempt.request, "succeeded", resp.bulk(value))
        self.counters.add(f"attempts {end}")
        if self.service is not None:
            self.service.ended(moment, attempt, end)
        took = moment - attempt.sent_at if attempt.took is None else attempt.took
        over = attempt.request not in self.pending_requests
        self.balancer.attempt_ended(moment, attempt, end, took, over, {})

    def stage_reported(self, moment, *news):
        """The platform's news of the newest build."""
        (self.service or self.balancer).stage_reported(moment, *news)

    def may_begin(self, attempt):
        """The moment by which its last byte has to be written; 0 if it may not begin."""
        if self.news is not None:
            self.news.wait_until_told(attempt.request.deadline)
        with self.lock:
            return self.balancer.may_begin(now(), attempt) if attempt.request in self.pending_requests else 0

    def count(self, what, request):
        self.counters.add(what)
        self.counters.add(f"{what} request class {request.request_class.number}")

    # ---- the door

    def answer(self, request, ending, data):
        ask = self.pending_requests.pop(request)
        self.ids.discard(request.id)
        self.count(ending, request)
        # before the answer can go out, so that no attempt of it is written whole after that
        self.drop(request)
        ask.answer = data
        self.deferred_actions.append((ask.client.flush,))

    def drop(self, request):
        if any(not attempt.end for attempt in request.attempts):
            self.instances.drop(request.attempts)

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
        pause = b" %d" % (retry_after // NS) if retry_after >= NS else b""
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
