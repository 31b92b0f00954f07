"""The one balancer under one lock. Whoever has read something tells it here; what it decides is passed on."""

import threading

from .. import interface as at
from ..balance import Balancer
from . import resp
from .place import now


class Desk:
    """The balancer's door. Nothing blocks under the lock: what might is put into `chores`, which whoever held
    the lock does once it is free."""

    def __init__(self, start, log, counters):
        self.lock = threading.Condition()
        self.log_line, self.counters = log, counters
        self.balancer = Balancer(start)
        self.asks = {}  # the lookups that want an answer: by lookup, the client's command
        self.chores = []
        self.instances = self.discovery = self.releases = None  # the drivers, set before the first call
        self.armed = 0  # when the timer is to look next
        self.stopping = False

    # ---- for the drivers

    def tell(self, happened, *values):
        """An input of the balancer's, then all that it decides on it."""
        with self.lock:
            happened(now(), *values)
            chores = self.pull()
        for chore, *values in chores:
            chore(*values)

    def lookup_arrived(self, at_time, ask, lookup):
        self.asks[lookup] = ask
        self.counters.add("taken")
        self.counters.add(f"taken {ask.lane_name}")
        self.balancer.lookup_arrived(at_time, lookup)

    def client_left(self, at_time, lookups):
        for lookup in lookups:
            if self.asks.pop(lookup, None) is not None:
                self.counters.add("left")
                self.balancer.lookup_left(at_time, lookup)

    def send_ended(self, at_time, send, end, value):
        ask = self.asks.get(send.lookup)
        succeeded = end == at.SUCCEEDED and ask is not None
        if succeeded:
            self.answer(send.lookup, "succeeded", resp.bulk(value))
        self.counters.add(f"sends {end}")
        over = succeeded or ask is None
        self.balancer.send_ended(at_time, send, end, at_time - send.at, over, {})

    def may_begin(self, send):
        """Whether a send that had to wait for its connection may still write its first byte."""
        with self.lock:
            return send.lookup in self.asks

    def pull(self):
        while self.balancer.decide(now(), self):
            pass
        wake = self.balancer.wake_at()
        if wake < self.armed:
            self.armed = wake
            self.lock.notify()
        chores, self.chores = self.chores, []
        return chores

    def keep_time(self):
        """The timer's thread: asks again when the balancer said, though nothing happened."""
        while True:
            with self.lock:
                wait = self.balancer.wake_at() - now()
                if wait > 0:
                    self.armed = now() + wait
                    self.lock.wait(min(wait / 1e9, 60.0))
                self.armed = 0
                chores = self.pull()
            for chore, *values in chores:
                chore(*values)

    # ---- the door

    def answer(self, lookup, ending, data):
        ask = self.asks.pop(lookup)
        self.counters.add(ending)
        self.counters.add(f"{ending} {ask.lane_name}")
        ask.answer = data
        self.chores.append((ask.client.flush,))

    def send(self, lookup, instance_id, time_out):
        trip = self.instances.trip(lookup.sends[-1], instance_id, self.asks[lookup].words, now() + time_out)
        self.chores.append((self.instances.start, trip))

    def withdraw(self, send):
        self.chores.append((self.instances.withdraw, send))

    def push_back(self, lookup, hold_off):
        pause = b" %d" % (hold_off // 1_000_000) if hold_off >= 1_000_000 else b""
        self.answer(lookup, "pushed back", b"-BUSY%s\r\n" % pause)

    def abort(self, lookup):
        self.answer(lookup, "aborted", resp.error("ERR aborted"))

    def watch_list(self):
        self.discovery.ask()

    def vote(self, build, stage, verdict):
        self.counters.add("votes")
        self.releases.vote(build, stage, verdict)

    def log(self, text):
        self.chores.append((self.log_line.info, text))
