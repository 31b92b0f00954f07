"""Days of the planner's world with more of what the standing test asks about: what is sent to cold machines,
what each request class and tenant gets by thirds, gateways that die and come back, and the policy that each
is held against, which sees the true state of every machine late. Times in nanoseconds; loads in requests a
second."""

import bisect
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from lemonlead import interface as at
from lemonlead.planning.world import Gateway, World

S, LATE = 1_000_000_000, 100_000_000


class Seer:
    """In a balancer's place: the least busy of three machines by their true state of some time ago. What
    would wait there for over a quarter of its latency objective is rejected: the best bound of those
    tried."""

    def __init__(self, day, number):
        self.day, self.due, self.random = day, deque(), random.Random(number)

    def listed(self, *_):
        pass

    stage_reported = vote_answered = list_failed = listed

    def wake_at(self):
        return 1 << 62

    def request_arrived(self, now, request):
        self.due.append(request)

    def request_left(self, now, request):
        request.finished = True

    def attempt_ended(self, now, attempt, end, took, over, report):
        attempt.end, attempt.request.finished = end, attempt.request.finished or over
        self.due.append(attempt.request)

    def decide(self, now, door):
        while self.due:
            if not (request := self.due.popleft()).finished:
                self.settle(request, now, door)
                return True
        return False

    def settle(self, request, now, door):
        seen, tried = self.day.seen[0], [attempt.instance for attempt in request.attempts]
        fit = [number for number in seen if number not in tried]
        some = self.random.sample(fit, min(3, len(fit)))
        best = min(some, key=lambda number: seen[number], default=None)
        ran = request.request_class.effect == at.NON_IDEMPOTENT and any(
            s.end not in at.NEVER_RAN for s in request.attempts
        )
        if best is None or ran or 4 * seen[best] > request.request_class.latency_objective:
            request.finished = True
            return door.reject(request, LATE // 2)
        request.attempts.append(at.Attempt(request, len(request.attempts), best, now))
        return door.attempt(request, best, request.deadline - now)


@dataclass
class Day(World):
    """`weights`: how often a request is of each tenant. `burst`: the load, by the usual one, in the last
    three fifths of each third of `length` seconds; in the rest it is 0.6. None: always the usual one."""

    length: int = 12
    weights: tuple = (1.0,)
    burst: float | None = None
    late: bool = False  # the late-seeing policy in place of the balancers
    # by machine that is cold: when each attempt went there, its work
    sent: dict = field(default_factory=dict)
    # by gateway: (moment, whether it was rejected) of each request that it took up or turned away
    decided: dict = field(default_factory=dict)
    asked: Counter = field(default_factory=Counter)  # by (what, which, third)
    served: Counter = field(default_factory=Counter)  # likewise, answered within their latency objective

    def __post_init__(self):
        super().__post_init__()
        self.kept, self.seen = {}, deque()
        for gateway in self.gateways:
            gateway.reject = self.rejecting(gateway)
        if self.late:
            for gateway in self.gateways:
                gateway.balancer = Seer(self, gateway.number)
            self.at(0, self.look)

    def played_out(self):
        self.play(self.length)
        return self

    def rejecting(self, gateway):
        """Its door for what is rejected, which notes that as well."""
        reject = type(gateway).reject

        def noted(request, retry_after):
            self.decided.setdefault(gateway.number, []).append((self.now, True))
            reject(gateway, request, retry_after)

        return noted

    def gap(self, rate):
        third = self.length * S // 3
        part = 1.0 if self.burst is None else 0.6 if self.now % third < 0.4 * third else self.burst
        return super().gap(rate * part)

    # ---- what the late-seeing policy sees

    def look(self):
        self.seen.append({machine.number: self.waits(machine) for machine in self.machines if machine.up})
        while len(self.seen) > 2:
            self.seen.popleft()
        if self.now < self.length * S:
            self.at(self.now + LATE, self.look)

    def waits(self, machine):
        """How long a request that comes now waits there, in nanoseconds."""
        held = (
            sum(attempt.request.work for _, attempt, _ in machine.queue) + machine.busy * self.mean_work() / 2
        )
        return held / machine.kind.cores / machine.kind.speed

    def mean_work(self):
        request_classes = self.fleet.request_classes.items()
        rates = {name: self.fleet.rate(name) for name, _ in request_classes}
        return sum(rates[name] * request_class.work for name, request_class in request_classes) / sum(
            rates.values()
        )

    # ---- gateways that die and come back

    def kill(self, numbers):
        for number in numbers:
            gateway = self.gateways[number]
            gateway.up, wants, gateway.wants = False, list(gateway.wants.values()), {}
            for want in wants:
                self.answered(want, "lost", 0)

    def revive(self, numbers):
        lines = [self.line(machine) for machine in self.machines if machine.up]
        for number in numbers:
            site = self.gateways[number].site
            gateway = self.gateways[number] = Gateway(self, site, number, self.start(site, number))
            gateway.balancer.list_received(self.now, lines, True, True)
            gateway.balancer.stage_reported(self.now, 1, 0, at.RELEASED, 1.0, 0)

    # ---- what is counted

    def attempt(self, gateway, attempt, number, time_out):
        self.decided.setdefault(gateway.number, []).append((self.now, False))
        machine = self.machines[number]
        if machine.started and self.now < machine.started + self.fleet.warm:
            self.sent.setdefault(number, []).append((self.now, attempt.request.work))
        super().attempt(gateway, attempt, number, time_out)

    def ask(self, want):
        if want not in self.kept:
            tenant = self.random.choices(range(len(self.weights)), self.weights)[0]
            third = min(want.first * 3 // (self.length * S), 2)
            self.kept[want] = ("class", want.request_class.number, third), ("tenant", tenant, third)
            self.asked.update(self.kept[want])
        super().ask(want)

    def answered(self, want, ending, retry_after):
        if ending == "succeeded" and self.now - want.first <= want.request_class.latency_objective:
            self.served.update(self.kept[want])
        super().answered(want, ending, retry_after)

    def rejects_all(self, seconds=4, least=15):
        """How many gateways rejected all that they got, so many at least, for so long on end."""
        found = 0
        for decided in self.decided.values():
            began, count, longest = None, 0, False
            for moment, rejected in decided:
                if not rejected:
                    began, count = None, 0
                    continue
                began, count = moment if began is None else began, count + 1
                longest = longest or count >= least and moment - began >= seconds * S
            found += longest
        return found

    def share(self, what, which=None, third=None):
        """Of the requests of this request class or tenant (None: of all) in this third (None: all day)."""
        keys = [key for key in self.asked if key[0] == what and which in (None, key[1])]
        keys = [key for key in keys if third in (None, key[2])]
        return sum(self.served[key] for key in keys) / sum(self.asked[key] for key in keys)

    def pressed(self):
        """The most that any cold machine got in a window by what it bears: N + 2 x root of N + 2 requests of
        mean work, N being what is told to be allowed at the window's start."""
        fleet, mean, most = self.fleet, self.mean_work(), 0.0
        for number, attempts in self.sent.items():
            machine, times = self.machines[number], [moment for moment, _ in attempts]
            for first, moment in enumerate(times):
                last = bisect.bisect_left(times, moment + fleet.cold_window)
                age = (moment - machine.started) / fleet.warm
                warm = fleet.cold_share + (1 - fleet.cold_share) * min(age, 1.0)
                can = machine.kind.cores * machine.kind.speed * warm * fleet.cold_window / mean
                bears = fleet.cold_multiple * can
                got = sum(work for _, work in attempts[first:last]) / mean
                most = max(most, got / (bears + 2 * bears**0.5 + 2))
        return most
