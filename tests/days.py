"""The planner's simulated world with the measurements that the standing test asks about.

It measures what is sent to cold instances and what each request class and tenant gets in each third of a
run, and lets gateways die and come back. The balancers are compared with a reference policy that knows the
true state of every instance with a delay. Times are nanoseconds, loads are requests a second.
"""

import bisect
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from lemonlead import interface
from lemonlead.planning.world import Gateway, World

S = 1_000_000_000
STATE_DELAY = 100_000_000  # the reference policy sees states that are at least this old


class DelayedStatePolicy:
    """The reference policy, in the place of a balancer.

    It chooses the least busy of three instances by their true state of some time ago. A request that would
    wait there for more than a quarter of its latency objective is rejected; other bounds served fewer.
    """

    def __init__(self, day, number):
        self.day, self.due, self.random = day, deque(), random.Random(number)

    def list_received(self, *_):
        pass

    stage_reported = vote_answered = list_failed = list_received

    def wake_at(self):
        return 1 << 62

    def request_arrived(self, now, request):
        self.due.append(request)

    def request_closed(self, now, request):
        request.finished = True

    def attempt_ended(self, now, attempt, end, took, over, report):
        attempt.end, attempt.request.finished = end, attempt.request.finished or over
        self.due.append(attempt.request)

    def decide(self, now, host):
        while self.due:
            if not (request := self.due.popleft()).finished:
                self.decide_request(request, now, host)
                return True
        return False

    def decide_request(self, request, now, host):
        states, tried = self.day.states[0], [attempt.instance for attempt in request.attempts]
        fit = [number for number in states if number not in tried]
        some = self.random.sample(fit, min(3, len(fit)))
        best = min(some, key=lambda number: states[number], default=None)
        ran = request.request_class.effect == interface.NON_IDEMPOTENT and any(
            previous.end not in interface.NEVER_RAN for previous in request.attempts
        )
        if best is None or ran or 4 * states[best] > request.request_class.latency_objective:
            request.finished = True
            return host.reject(request, STATE_DELAY // 2)
        request.attempts.append(interface.Attempt(request, len(request.attempts), best, now))
        return host.attempt(request, best, request.deadline - now)


@dataclass
class Day(World):
    """A run of `length` seconds.

    `weights` is how often a request belongs to each tenant. `burst` is the load, relative to the usual one,
    in the last three fifths of each third of the run; in the rest it is 0.6. With None the load is constant.
    """

    length: int = 12
    weights: tuple = (1.0,)
    burst: float | None = None
    late: bool = False  # the reference policy in place of the balancers
    # By number of a cold instance: (time, work) of each attempt there.
    sent: dict = field(default_factory=dict)
    # By gateway: (time, whether it was rejected) of each request that it sent on or rejected.
    decided: dict = field(default_factory=dict)
    asked: Counter = field(default_factory=Counter)  # by ("class" or "tenant", number, third)
    # The same, of those answered within their latency objective.
    served: Counter = field(default_factory=Counter)

    def __post_init__(self):
        super().__post_init__()
        self.kept, self.states = {}, deque()
        for gateway in self.gateways:
            gateway.reject = self.rejecting(gateway)
        if self.late:
            for gateway in self.gateways:
                gateway.balancer = DelayedStatePolicy(self, gateway.number)
            self.schedule(0, self.record_states)

    def run_to_end(self):
        self.play(self.length)
        return self

    def rejecting(self, gateway):
        """Returns the gateway's `reject`, which also records the rejection."""
        reject = type(gateway).reject

        def noted(request, retry_after):
            self.decided.setdefault(gateway.number, []).append((self.now, True))
            reject(gateway, request, retry_after)

        return noted

    def arrival_gap(self, rate):
        third = self.length * S // 3
        part = 1.0 if self.burst is None else 0.6 if self.now % third < 0.4 * third else self.burst
        return super().arrival_gap(rate * part)

    # ---- the states that the reference policy sees

    def record_states(self):
        self.states.append({machine.number: self.waits(machine) for machine in self.machines if machine.up})
        while len(self.states) > 2:
            self.states.popleft()
        if self.now < self.length * S:
            self.schedule(self.now + STATE_DELAY, self.record_states)

    def waits(self, machine):
        """Returns how long a request that arrives now waits there (ns)."""
        held = (
            sum(attempt.request.work for _, attempt, _ in machine.queue) + machine.busy * self.mean_work() / 2
        )
        return held / machine.kind.cores / machine.kind.speed

    def mean_work(self):
        request_classes = self.fleet.request_classes.items()
        rates = {name: self.fleet.request_rate(name) for name, _ in request_classes}
        return sum(rates[name] * request_class.work for name, request_class in request_classes) / sum(
            rates.values()
        )

    # ---- gateways that die and come back

    def kill(self, numbers):
        for number in numbers:
            gateway = self.gateways[number]
            gateway.up, open_requests, gateway.open_requests = False, list(gateway.open_requests.values()), {}
            for client_request in open_requests:
                self.request_ended(client_request, "lost", 0)

    def revive(self, numbers):
        lines = [self.list_entry(machine) for machine in self.machines if machine.up]
        for number in numbers:
            site = self.gateways[number].site
            gateway = self.gateways[number] = Gateway(self, site, number, self.start_settings(site, number))
            gateway.balancer.list_received(self.now, lines, True, True)
            gateway.balancer.stage_reported(self.now, 1, 0, interface.RELEASED, 1.0, 0)

    # ---- measurements

    def attempt(self, gateway, attempt, number, time_out):
        self.decided.setdefault(gateway.number, []).append((self.now, False))
        machine = self.machines[number]
        if machine.started and self.now < machine.started + self.fleet.warm_up_time:
            self.sent.setdefault(number, []).append((self.now, attempt.request.work))
        super().attempt(gateway, attempt, number, time_out)

    def send_request(self, client_request):
        if client_request not in self.kept:
            tenant = self.random.choices(range(len(self.weights)), self.weights)[0]
            third = min(client_request.first_sent_at * 3 // (self.length * S), 2)
            self.kept[client_request] = (
                ("class", client_request.request_class.number, third),
                ("tenant", tenant, third),
            )
            self.asked.update(self.kept[client_request])
        super().send_request(client_request)

    def request_ended(self, client_request, ending, retry_after):
        if (
            ending == "succeeded"
            and self.now - client_request.first_sent_at <= client_request.request_class.latency_objective
        ):
            self.served.update(self.kept[client_request])
        super().request_ended(client_request, ending, retry_after)

    def rejects_all(self, seconds=4, least=15):
        """Returns how many gateways rejected at least this many requests in a row, over this many seconds."""
        found = 0
        for decided in self.decided.values():
            began, count, longest = None, 0, False
            for time, rejected in decided:
                if not rejected:
                    began, count = None, 0
                    continue
                began, count = time if began is None else began, count + 1
                longest = longest or count >= least and time - began >= seconds * S
            found += longest
        return found

    def share(self, what, which=None, third=None):
        """Returns the share served in time of a class or tenant (None: all) in a third (None: all three)."""
        keys = [key for key in self.asked if key[0] == what and which in (None, key[1])]
        keys = [key for key in keys if third in (None, key[2])]
        return sum(self.served[key] for key in keys) / sum(self.asked[key] for key in keys)

    def cold_overload(self):
        """Returns the most work that a cold instance got in a window, relative to what it can bear.

        It bears N + 2 * sqrt(N) + 2 requests of mean work; N is what the rules allow at the window's start.
        """
        fleet, mean, most = self.fleet, self.mean_work(), 0.0
        for number, attempts in self.sent.items():
            machine, times = self.machines[number], [time for time, _ in attempts]
            for first, time in enumerate(times):
                last = bisect.bisect_left(times, time + fleet.cold_window)
                age = (time - machine.started) / fleet.warm_up_time
                warm = fleet.cold_share + (1 - fleet.cold_share) * min(age, 1.0)
                can = machine.kind.cores * machine.kind.speed * warm * fleet.cold_window / mean
                bears = fleet.cold_multiple * can
                got = sum(work for _, work in attempts[first:last]) / mean
                most = max(most, got / (bears + 2 * bears**0.5 + 2))
        return most
