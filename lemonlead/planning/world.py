"""A fleet in simulated time, with the project's own balancers in its gateways.

Machines, clients, the network and the list are models; what is sent where, given up or sent again is decided
by `balance.Balancer` through its door, one a gateway, as in service. Seeded: the same fleet, seed and losses
give the same day. It knows no sockets and no clock but its own."""

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field
from itertools import count

from .. import interface as at
from ..balance import Balancer
from .fleet import NS_PER_SECOND

NS_PER_MS = 1_000_000
CONNECT = 250 * NS_PER_MS  # a connection that never comes up is given up after this
VOTE, NEWS = 50 * NS_PER_MS, 300 * NS_PER_MS  # until a vote is answered, until news of a stage is told
TICK = 5 * NS_PER_MS  # a gateway's timer is no finer than this


class Machine:
    """`cores` requests in work at once, the others wait in their order; `slots` bounds both together."""

    def __init__(self, number, site, kind):
        self.number, self.site, self.kind = number, site, kind
        self.up, self.silent, self.started = True, False, 0
        self.paused = False  # it takes what comes and begins nothing
        self.build, self.factor = 1, 1.0  # the build that it runs, and how much more work that needs
        self.busy, self.queue, self.life = 0, deque(), 0


@dataclass(slots=True)
class SecondCounts:
    """Of the requests that were first asked within one second: how many, their worth, and the worth
    answered."""

    requests: int = 0
    revenue: float = 0.0
    answered_revenue: float = 0.0
    rejected: int = 0
    failed: int = 0


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request of a client, over all its retries."""

    request_class: object
    site: object
    first_sent_at: int
    work: int
    left: int
    second: SecondCounts = None


class Gateway:
    """One balancer and its door."""

    def __init__(self, world, site, number, start):
        self.world, self.site, self.number = world, site, number
        self.balancer, self.up, self.armed = Balancer(start), True, None
        self.open_requests = {}  # the client request of each request that is still open

    def tell(self, happened, *values):
        if not self.up:
            return
        now = self.world.now
        happened(now, *values)
        while self.balancer.decide(now, self):
            pass
        wake = max(self.balancer.wake_at(), now + TICK // 5)
        if self.armed is None or wake < self.armed:
            self.armed = wake
            self.world.schedule(wake, self.wake, wake)

    def wake(self, moment):
        if self.armed == moment:
            self.armed = None
            self.tell(lambda now: None)

    # ---- the door

    def attempt(self, request, instance_id, time_out):
        self.world.attempt(self, request.attempts[-1], instance_id, time_out)

    def cancel(self, attempt):
        self.world.schedule(self.world.now, self.attempt_ended, attempt, at.CANCELLED)

    def reject(self, request, retry_after):
        self.answer(request, "rejected", retry_after)

    def abort(self, request):
        self.answer(request, "aborted", 0)

    def watch_list(self):
        pass

    def vote(self, build, stage, verdict):
        self.world.schedule(self.world.now + VOTE, self.world.voted, self, build, stage, verdict)

    def log(self, text):
        pass

    # ---- what comes back

    def attempt_ended(self, attempt, end):
        if attempt.end or not self.up:
            return
        request = attempt.request
        if end == at.SUCCEEDED and request in self.open_requests:
            self.answer(request, "succeeded", 0)
        self.tell(
            self.balancer.attempt_ended,
            attempt,
            end,
            self.world.now - attempt.sent_at,
            request not in self.open_requests,
            {},
        )

    def answer(self, request, ending, retry_after):
        if (client_request := self.open_requests.pop(request, None)) is not None:
            self.world.request_ended(client_request, ending, retry_after)

    def gave_up(self, request):
        if (client_request := self.open_requests.pop(request, None)) is not None:
            self.world.request_ended(client_request, "given up", 0)
            self.tell(self.balancer.request_closed, request)


@dataclass
class World:
    """`World(fleet, seed).play(seconds)`; `lose(site, at, back)` beforehand for a site that is lost
    meanwhile."""

    fleet: object
    seed: int = 1
    now: int = 0
    seconds: list = field(default_factory=list)
    stage_changes: list = field(default_factory=list)  # (moment, stage, what happened) of the build on trial

    def __post_init__(self):
        self.random, self.turns, self.events, self.ids = random.Random(self.seed), count(), [], count()
        self.events_played = 0
        fleet = self.fleet
        self.zones = {name: number for number, name in enumerate(fleet.sites)}
        self.kinds = {name: number for number, name in enumerate(fleet.kinds)}
        self.request_classes = {
            name: at.RequestClass(
                number,
                request_class.effect,
                request_class.goal,
                request_class.stop,
                request_class.revenue,
                repeat_window=request_class.memory,
            )
            for number, (name, request_class) in enumerate(fleet.request_classes.items())
        }
        self.machines = []
        for site, kind, times in fleet.machine_counts():
            self.machines += [Machine(len(self.machines) + n, site.name, kind) for n in range(times)]
        self.gateways = []
        for site in fleet.sites.values():
            for _ in range(site.gateways):
                number = len(self.gateways)
                self.gateways.append(Gateway(self, site.name, number, self.start_settings(site.name, number)))
        lines = [self.list_entry(machine) for machine in self.machines]
        for gateway in self.gateways:
            gateway.balancer.list_received(0, lines, True, True)
            gateway.balancer.stage_reported(0, 1, 0, at.RELEASED, 1.0, 0)

    def start_settings(self, site, number):
        fleet = self.fleet
        return at.StartSettings(
            now=0,
            seed=self.random.getrandbits(64),
            balancer_index=number,
            balancers=fleet.gateway_count(),
            zone=self.zones[site],
            step=5 * NS_PER_MS,
            request_classes=list(self.request_classes.values()),
            by_work=True,
            attempts_cap=5,
            may_duplicate=True,
            retry_after_cap=500 * NS_PER_MS,
            release=self.release(),
            connect_time=CONNECT,
            idle_time=15 * NS_PER_SECOND,
            drain_grace=fleet.drain_grace,
            cold_time=fleet.warm_up_time,
            cold_share=fleet.cold_share,
            cold_multiple=fleet.cold_multiple,
            cold_window=fleet.cold_window,
        )

    def release(self):
        fleet, gateways = self.fleet, self.fleet.gateway_count()
        return at.Release(
            promote_votes_needed=max(round(fleet.promote_share * gateways), 1),
            roll_back_votes_needed=max(round(fleet.roll_back_share * gateways), 1),
            bake=fleet.bake_time,
            vote_lifetime=4 * NS_PER_SECOND,
            vote_timeout=800 * NS_PER_MS,
            votes_per_s=75.0,
            window=fleet.window,
            attempts_above_cap=fleet.free_attempts,
            caps=list(fleet.traffic_caps),
            steps=list(fleet.stage_shares),
        )

    def list_entry(self, machine, state=at.READY):
        zone, kind = self.zones[machine.site], self.kinds[machine.kind.name]
        return at.Instance(machine.number, zone, kind, machine.build, 0, state, 1.0, machine.started)

    def schedule(self, moment, happens, *values):
        heapq.heappush(self.events, (moment, next(self.turns), happens, values))

    def play(self, seconds):
        """Counts by second, over the arrivals of so many; what was asked is played to its end."""
        self.seconds = [SecondCounts() for _ in range(seconds)]
        for site in self.fleet.sites.values():
            for name, rate in site.load.items():
                if rate > 0:
                    self.schedule(
                        self.arrival_gap(rate), self.arrive, site.name, name, rate, seconds * NS_PER_SECOND
                    )
        while self.events:
            self.now, _, happens, values = heapq.heappop(self.events)
            if self.now > (seconds + 60) * NS_PER_SECOND:
                break
            self.events_played += 1
            if (
                happens.__name__ == "wake"
                and self.now > seconds * NS_PER_SECOND
                and not any(g.open_requests for g in self.gateways)
            ):
                continue  # the timers of idle balancers go on for ever
            happens(*values)
        return self.seconds

    def arrival_gap(self, rate):
        return round(self.random.expovariate(rate) * NS_PER_SECOND)

    # ---- clients

    def arrive(self, site, name, rate, end):
        gap = self.arrival_gap(rate)
        if self.now >= end:
            return
        self.schedule(self.now + gap, self.arrive, site, name, rate, end)
        request_class, spread = (
            self.fleet.request_classes[name],
            math.sqrt(math.log1p(self.fleet.request_classes[name].cv ** 2)),
        )
        work = round(request_class.work * self.random.lognormvariate(-spread * spread / 2, spread)) + 1
        second = self.seconds[self.now // NS_PER_SECOND]
        second.requests += 1
        second.revenue += request_class.revenue * work
        self.send_request(
            ClientRequest(self.request_classes[name], site, self.now, work, self.fleet.retries, second)
        )

    def send_request(self, client_request):
        here = [gateway for gateway in self.gateways if gateway.up and gateway.site == client_request.site]
        gateway = self.random.choice(here or [gateway for gateway in self.gateways if gateway.up] or [None])
        if gateway is None:
            return self.request_ended(client_request, "lost", 0)
        wait = round(client_request.request_class.deadline * self.fleet.patience)
        request = at.Request(
            next(self.ids), client_request.request_class, 0, 0, self.now, self.now + wait, client_request.work
        )
        gateway.open_requests[request] = client_request
        self.schedule(self.now + wait, gateway.gave_up, request)
        gateway.tell(gateway.balancer.request_arrived, request)

    def request_ended(self, client_request, ending, retry_after):
        if ending == "succeeded":
            if self.now - client_request.first_sent_at <= client_request.request_class.latency_objective:
                client_request.second.answered_revenue += (
                    client_request.request_class.revenue * client_request.work
                )
            return
        again = (
            ending == "rejected"
            or client_request.request_class.effect != at.NON_IDEMPOTENT
            and ending != "succeeded"
        )
        if again and client_request.left > 0:
            client_request.left -= 1
            self.schedule(
                self.now + max(self.fleet.retry_pause, retry_after), self.send_request, client_request
            )
        elif ending == "rejected":
            client_request.second.rejected += 1
        else:
            client_request.second.failed += 1

    # ---- machines and the way to them

    def trip(self, gateway, machine):
        return self.fleet.same_site_delay if gateway.site == machine.site else self.fleet.cross_site_delay

    def attempt(self, gateway, attempt, number, time_out):
        machine = self.machines[number]
        way = self.trip(gateway, machine)
        self.schedule(self.now + time_out, gateway.attempt_ended, attempt, at.TIMED_OUT)
        if machine.up:
            self.schedule(self.now + way, self.attempt_arrives, gateway, attempt, machine, way)
        else:  # a machine that says nothing is known by the time that a connection takes
            self.schedule(
                self.now + (CONNECT if machine.silent else way),
                gateway.attempt_ended,
                attempt,
                at.UNCONNECTED,
            )

    def attempt_arrives(self, gateway, attempt, machine, way):
        if not machine.up:
            if not machine.silent:
                self.schedule(self.now + way, gateway.attempt_ended, attempt, at.RESET)
        elif machine.busy + len(machine.queue) >= machine.kind.slots:
            self.schedule(self.now + way, gateway.attempt_ended, attempt, at.REJECTED)
        else:
            machine.queue.append((gateway, attempt, way))
            self.begin(machine)

    def begin(self, machine):
        while machine.queue and machine.busy < machine.kind.cores and not machine.paused:
            gateway, attempt, way = machine.queue.popleft()
            machine.busy += 1
            takes = round(attempt.request.work * machine.factor / machine.kind.speed / self.warmth(machine))
            self.schedule(self.now + takes, self.finish, machine, machine.life, gateway, attempt, way)

    def warmth(self, machine):
        if not machine.started:
            return 1.0
        age = min((self.now - machine.started) / self.fleet.warm_up_time, 1.0)
        return self.fleet.cold_share + (1 - self.fleet.cold_share) * age

    def finish(self, machine, life, gateway, attempt, way):
        if life != machine.life:
            return  # it died meanwhile
        machine.busy -= 1
        self.schedule(self.now + way, gateway.attempt_ended, attempt, at.SUCCEEDED)
        self.begin(machine)

    # ---- a build on trial

    def start_release(self, moment, factor):
        """From then on a new build, which needs so many times the work, is brought in by stages."""
        self.places, self.trial, self.phase = list(self.machines), [], at.ON_TRIAL
        self.votes, self.factor, self.stage = {}, factor, -1
        self.schedule(moment, self.advance)

    def advance(self):
        self.stage, self.began, self.votes = self.stage + 1, self.now, {}
        if self.stage == len(self.fleet.stage_shares):
            self.stage, self.phase = self.stage - 1, at.RELEASED
        self.stage_changes.append(
            (self.now, self.stage, "released" if self.phase == at.RELEASED else "begun")
        )
        if self.phase == at.ON_TRIAL:
            wanted = math.ceil(self.fleet.stage_shares[self.stage] * len(self.places))
            self.schedule(self.now + self.fleet.boot_time, self.boot, wanted)
        self.schedule(
            self.now + NEWS, self.tell_stage, self.stage, self.phase, self.fleet.traffic_caps[self.stage]
        )

    def boot(self, wanted):
        if self.phase != at.ON_TRIAL:
            return
        new = []
        for place in self.places[len(self.trial) : wanted]:
            machine = Machine(len(self.machines), place.site, place.kind)
            machine.build, machine.factor, machine.started = 2, self.factor, self.now
            self.machines.append(machine)
            new.append(machine)
        self.trial += new
        self.schedule(
            self.now + self.fleet.list_delay, self.tell_lines, [self.list_entry(machine) for machine in new]
        )

    def tell_stage(self, stage, phase, cap):
        for gateway in self.gateways:
            gateway.tell(gateway.balancer.stage_reported, 2, stage, phase, cap, 0)

    def voted(self, gateway, build, stage, verdict):
        gateway.tell(gateway.balancer.vote_answered, at.COUNTED if self.phase == at.ON_TRIAL else at.MOOT)
        if build != 2 or self.phase == at.ROLLING_BACK:
            return
        self.votes[gateway.number] = stage, verdict
        release, votes = self.release(), list(self.votes.values())
        if sum(verdict == at.VERDICT_ROLL_BACK for _, verdict in votes) >= release.roll_back_votes_needed:
            self.phase = at.ROLLING_BACK
            self.stage_changes.append((self.now, self.stage, "back"))
            self.schedule(self.now + NEWS, self.tell_stage, self.stage, self.phase, 0.0)
            self.schedule(
                self.now + self.fleet.list_delay,
                self.tell_lines,
                [self.list_entry(m, at.DRAINING) for m in self.trial],
            )
        elif (
            self.phase == at.ON_TRIAL
            and votes.count((self.stage, at.VERDICT_PROMOTE)) >= release.promote_votes_needed
        ):
            if self.now >= self.began + self.fleet.bake_time:
                self.advance()

    def tell_lines(self, lines):
        for gateway in self.gateways:
            gateway.tell(gateway.balancer.list_received, lines, False, True)

    # ---- losses

    def lose_site(self, site, moment, back, silent=False, gateways=True):
        """A site's machines end at `moment` and start again, cold, at `back`; its gateways too, if they are
        lost."""
        self.schedule(moment, self.end_site, site, silent, gateways)
        self.schedule(back, self.start_site, site)

    def pause_machines(self, numbers, moment, back):
        """These machines begin nothing in between and say nothing; what waited there is then begun."""
        self.schedule(moment, self.set_paused, numbers, True)
        self.schedule(back, self.set_paused, numbers, False)

    def set_paused(self, numbers, paused):
        for machine in [self.machines[number] for number in numbers]:
            machine.paused = paused
            self.begin(machine)

    def of(self, site):
        return [machine for machine in self.machines if machine.site == site]

    def end_site(self, site, silent, gateways):
        for machine in self.of(site):
            machine.up, machine.silent = False, silent
            machine.busy, machine.queue, machine.life = 0, deque(), machine.life + 1
        for gateway in self.gateways:
            if gateways and gateway.site == site:
                gateway.up = False
                open_requests, gateway.open_requests = list(gateway.open_requests.values()), {}
                for client_request in open_requests:
                    self.request_ended(client_request, "lost", 0)
        self.schedule(self.now + self.fleet.list_delay, self.tell_list, site, at.GONE)

    def start_site(self, site):
        for machine in self.of(site):
            machine.up, machine.silent, machine.started = True, False, self.now
        for gateway in self.gateways:
            if not gateway.up:
                new = Gateway(
                    self, gateway.site, gateway.number, self.start_settings(gateway.site, gateway.number)
                )
                new.balancer.list_received(self.now, [self.list_entry(m) for m in self.machines], True, True)
                new.balancer.stage_reported(self.now, 1, 0, at.RELEASED, 1.0, 0)
                self.gateways[gateway.number] = new
        self.schedule(self.now + self.fleet.list_delay, self.tell_list, site, at.READY)

    def tell_list(self, site, state):
        self.tell_lines([self.list_entry(machine, state) for machine in self.of(site)])


def service_share(seconds):
    """The share of the worth asked for in these seconds that was answered within the latency objective."""
    worth = sum(second.revenue for second in seconds)
    return sum(second.answered_revenue for second in seconds) / worth if worth else 1.0
