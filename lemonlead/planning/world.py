"""Simulates a fleet whose gateways run the real balancers.

Machines, clients, the network and the instance list are models. Each gateway has one `balance.Balancer`,
which decides through its host interface, as in production, where attempts are sent and which are cancelled
or retried. The same fleet, seed and losses give the same run. The simulation opens no sockets and reads no
clock; times are simulated nanoseconds.
"""

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
CONNECT_TIMEOUT_NS = 250 * NS_PER_MS
VOTE_ANSWER_DELAY_NS = 50 * NS_PER_MS
STAGE_REPORT_DELAY_NS = 300 * NS_PER_MS  # until the gateways know of a new release stage
TIMER_STEP_NS = 5 * NS_PER_MS  # a gateway's timer fires after a fifth of this at the earliest


class Machine:
    """An instance that serves `kind.cores` requests at once and queues others in order of arrival.

    `kind.slots` bounds the requests that are served and queued together.
    """

    def __init__(self, number, site, kind):
        self.number, self.site, self.kind = number, site, kind
        self.up = True
        self.silent = False  # whether it leaves connections unanswered, rather than refusing them, when down
        self.started = 0
        self.paused = False  # while paused it queues requests and starts none
        self.build = 1
        self.work_factor = 1.0  # the work of a request under its build, relative to build 1
        # `busy` counts the requests that are being served. A raised `loss_count` shows that work which was
        # under way belongs to a machine that was lost since, so that it is dropped.
        self.busy, self.queue, self.loss_count = 0, deque(), 0


@dataclass(slots=True)
class SecondCounts:
    """Counts of the client requests that were first sent within one second.

    A request's revenue is its class's `revenue` times its work. `answered_revenue` sums that of requests
    answered within their latency objective.
    """

    requests: int = 0
    revenue: float = 0.0
    answered_revenue: float = 0.0
    rejected: int = 0
    failed: int = 0


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request of a client with all its retries. Times and work are nanoseconds."""

    request_class: object
    site: object
    first_sent_at: int
    work: int
    retries_left: int
    counts: SecondCounts = None  # of the second in which it was first sent


class Gateway:
    """A gateway: one balancer, and the host that it calls."""

    def __init__(self, world, site, number, start_settings):
        self.world, self.site, self.number = world, site, number
        # `timer_at`: when the earliest timer fires; None if no timer is set.
        self.balancer, self.up, self.timer_at = Balancer(start_settings), True, None
        self.open_requests = {}  # the client request of each request that is still open

    def notify(self, receive, *values):
        """Passes an event to a method of the balancer, carries out its decisions and sets its timer."""
        if not self.up:
            return
        now = self.world.now
        receive(now, *values)
        while self.balancer.decide(now, self):
            pass
        timer_at = max(self.balancer.wake_at(), now + TIMER_STEP_NS // 5)
        if self.timer_at is None or timer_at < self.timer_at:
            self.timer_at = timer_at
            self.world.schedule(timer_at, self.timer_fired, timer_at)

    def timer_fired(self, time):
        if self.timer_at == time:
            self.timer_at = None
            self.notify(lambda now: None)

    # ---- the host interface that the balancer calls

    def attempt(self, request, instance_id, time_out):
        self.world.attempt(self, request.attempts[-1], instance_id, time_out)

    def cancel(self, attempt):
        self.world.schedule(self.world.now, self.attempt_ended, attempt, at.CANCELLED)

    def reject(self, request, retry_after):
        self.end_request(request, "rejected", retry_after)

    def abort(self, request):
        self.end_request(request, "aborted", 0)

    def watch_list(self):
        pass

    def vote(self, build, stage, verdict):
        self.world.schedule(
            self.world.now + VOTE_ANSWER_DELAY_NS, self.world.vote_received, self, build, stage, verdict
        )

    def log(self, text):
        pass

    # ---- endings of attempts and requests

    def attempt_ended(self, attempt, end):
        if attempt.end or not self.up:
            return
        request = attempt.request
        if end == at.SUCCEEDED and request in self.open_requests:
            self.end_request(request, "succeeded", 0)
        self.notify(
            self.balancer.attempt_ended,
            attempt,
            end,
            self.world.now - attempt.sent_at,
            request not in self.open_requests,
            {},
        )

    def end_request(self, request, ending, retry_after):
        if (client_request := self.open_requests.pop(request, None)) is not None:
            self.world.request_ended(client_request, ending, retry_after)

    def client_gave_up(self, request):
        if (client_request := self.open_requests.pop(request, None)) is not None:
            self.world.request_ended(client_request, "given up", 0)
            self.notify(self.balancer.request_closed, request)


@dataclass
class World:
    """A simulated fleet: `World(fleet, seed).play(seconds)` runs it.

    Losses and releases are scheduled before `play`, with `lose_site`, `pause_machines` and `start_release`.
    """

    fleet: object
    seed: int = 1
    now: int = 0
    seconds: list = field(default_factory=list)
    # Of the build on trial: (time, stage, "begun", "released" or "back").
    stage_changes: list = field(default_factory=list)

    def __post_init__(self):
        self.random, self.event_numbers, self.events, self.request_ids = (
            random.Random(self.seed),
            count(),  # events of the same time run in the order in which they were scheduled
            [],  # a heap of (time, event number, callback, values)
            count(),
        )
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
        for site, kind, machine_count in fleet.machine_counts():
            self.machines += [Machine(len(self.machines) + n, site.name, kind) for n in range(machine_count)]
        self.gateways = []
        for site in fleet.sites.values():
            for _ in range(site.gateways):
                number = len(self.gateways)
                self.gateways.append(Gateway(self, site.name, number, self.start_settings(site.name, number)))
        entries = [self.list_entry(machine) for machine in self.machines]
        for gateway in self.gateways:
            gateway.balancer.list_received(0, entries, True, True)
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
            release=self.release_settings(),
            connect_time=CONNECT_TIMEOUT_NS,
            idle_time=15 * NS_PER_SECOND,
            drain_grace=fleet.drain_grace,
            cold_time=fleet.warm_up_time,
            cold_share=fleet.cold_share,
            cold_multiple=fleet.cold_multiple,
            cold_window=fleet.cold_window,
        )

    def release_settings(self):
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
        """Returns the machine's entry in the instance list that gateways receive."""
        zone = self.zones[machine.site]
        kind = self.kinds[machine.kind.name]
        return at.Instance(machine.number, zone, kind, machine.build, 0, state, 1.0, machine.started)

    def schedule(self, time, callback, *values):
        heapq.heappush(self.events, (time, next(self.event_numbers), callback, values))

    def play(self, seconds):
        """Simulates this many seconds of arrivals and returns one SecondCounts for each.

        Requests that are still open after the last arrival are simulated to their end, for 60 s at most.
        """
        self.seconds = [SecondCounts() for _ in range(seconds)]
        for site in self.fleet.sites.values():
            for name, rate in site.load.items():
                if rate > 0:
                    self.schedule(
                        self.arrival_gap(rate),
                        self.client_request_arrives,
                        site.name,
                        name,
                        rate,
                        seconds * NS_PER_SECOND,
                    )
        while self.events:
            self.now, _, callback, values = heapq.heappop(self.events)
            if self.now > (seconds + 60) * NS_PER_SECOND:
                break
            self.events_played += 1
            if (
                callback.__name__ == "timer_fired"
                and self.now > seconds * NS_PER_SECOND
                and not any(gateway.open_requests for gateway in self.gateways)
            ):
                continue  # idle balancers set timers for ever
            callback(*values)
        return self.seconds

    def arrival_gap(self, rate):
        return round(self.random.expovariate(rate) * NS_PER_SECOND)

    # ---- clients

    def client_request_arrives(self, site, name, rate, end):
        gap = self.arrival_gap(rate)
        if self.now >= end:
            return
        self.schedule(self.now + gap, self.client_request_arrives, site, name, rate, end)
        request_class, sigma = (
            self.fleet.request_classes[name],
            math.sqrt(math.log1p(self.fleet.request_classes[name].cv ** 2)),
        )
        work = round(request_class.work * self.random.lognormvariate(-sigma * sigma / 2, sigma)) + 1
        counts = self.seconds[self.now // NS_PER_SECOND]
        counts.requests += 1
        counts.revenue += request_class.revenue * work
        self.send_request(
            ClientRequest(self.request_classes[name], site, self.now, work, self.fleet.retries, counts)
        )

    def send_request(self, client_request):
        """Sends it to a random gateway of its site, or of any site if none is up there."""
        local = [gateway for gateway in self.gateways if gateway.up and gateway.site == client_request.site]
        gateway = self.random.choice(local or [gateway for gateway in self.gateways if gateway.up] or [None])
        if gateway is None:
            return self.request_ended(client_request, "lost", 0)
        patience = round(client_request.request_class.deadline * self.fleet.patience)
        request = at.Request(
            next(self.request_ids),
            client_request.request_class,
            0,
            0,
            self.now,
            self.now + patience,
            client_request.work,
        )
        gateway.open_requests[request] = client_request
        self.schedule(self.now + patience, gateway.client_gave_up, request)
        gateway.notify(gateway.balancer.request_arrived, request)

    def request_ended(self, client_request, ending, retry_after):
        """Counts the request, or retries it after a pause if it did not succeed and a repeat is safe."""
        if ending == "succeeded":
            if self.now - client_request.first_sent_at <= client_request.request_class.latency_objective:
                client_request.counts.answered_revenue += (
                    client_request.request_class.revenue * client_request.work
                )
            return
        may_retry = (
            ending == "rejected"
            or client_request.request_class.effect != at.NON_IDEMPOTENT
            and ending != "succeeded"
        )
        if may_retry and client_request.retries_left > 0:
            client_request.retries_left -= 1
            self.schedule(
                self.now + max(self.fleet.retry_pause, retry_after), self.send_request, client_request
            )
        elif ending == "rejected":
            client_request.counts.rejected += 1
        else:
            client_request.counts.failed += 1

    # ---- machines, and the network to them

    def network_delay(self, gateway, machine):
        return self.fleet.same_site_delay if gateway.site == machine.site else self.fleet.cross_site_delay

    def attempt(self, gateway, attempt, number, time_out):
        machine = self.machines[number]
        delay = self.network_delay(gateway, machine)
        self.schedule(self.now + time_out, gateway.attempt_ended, attempt, at.TIMED_OUT)
        if machine.up:
            self.schedule(self.now + delay, self.attempt_arrives, gateway, attempt, machine, delay)
        else:  # a silent machine is noticed when the connection times out
            self.schedule(
                self.now + (CONNECT_TIMEOUT_NS if machine.silent else delay),
                gateway.attempt_ended,
                attempt,
                at.UNCONNECTED,
            )

    def attempt_arrives(self, gateway, attempt, machine, delay):
        if not machine.up:
            if not machine.silent:
                self.schedule(self.now + delay, gateway.attempt_ended, attempt, at.RESET)
        elif machine.busy + len(machine.queue) >= machine.kind.slots:
            self.schedule(self.now + delay, gateway.attempt_ended, attempt, at.REJECTED)
        else:
            machine.queue.append((gateway, attempt, delay))
            self.start_queued(machine)

    def start_queued(self, machine):
        while machine.queue and machine.busy < machine.kind.cores and not machine.paused:
            gateway, attempt, delay = machine.queue.popleft()
            machine.busy += 1
            duration = round(
                attempt.request.work * machine.work_factor / machine.kind.speed / self.speed_share(machine)
            )
            self.schedule(
                self.now + duration, self.work_finished, machine, machine.loss_count, gateway, attempt, delay
            )

    def speed_share(self, machine):
        """Returns the machine's speed relative to a warm one; it rises linearly during its warm-up."""
        if not machine.started:
            return 1.0
        age = min((self.now - machine.started) / self.fleet.warm_up_time, 1.0)
        return self.fleet.cold_share + (1 - self.fleet.cold_share) * age

    def work_finished(self, machine, loss_count, gateway, attempt, delay):
        if loss_count != machine.loss_count:
            return  # the machine was lost meanwhile
        machine.busy -= 1
        self.schedule(self.now + delay, gateway.attempt_ended, attempt, at.SUCCEEDED)
        self.start_queued(machine)

    # ---- a build on trial

    def start_release(self, time, work_factor):
        """Schedules the release, by stages, of a build whose requests need this many times the work."""
        # Each machine to replace gets one trial machine, which runs the new build, at its site.
        self.replaced_machines, self.trial_machines, self.phase = list(self.machines), [], at.ON_TRIAL
        self.votes = {}  # by gateway number: (stage, verdict)
        self.trial_work_factor = work_factor
        self.stage = -1
        self.schedule(time, self.begin_next_stage)

    def begin_next_stage(self):
        self.stage, self.stage_began_at, self.votes = self.stage + 1, self.now, {}
        if self.stage == len(self.fleet.stage_shares):
            self.stage, self.phase = self.stage - 1, at.RELEASED
        self.stage_changes.append(
            (self.now, self.stage, "released" if self.phase == at.RELEASED else "begun")
        )
        if self.phase == at.ON_TRIAL:
            wanted_count = math.ceil(self.fleet.stage_shares[self.stage] * len(self.replaced_machines))
            self.schedule(self.now + self.fleet.boot_time, self.boot_trial_machines, wanted_count)
        self.schedule(
            self.now + STAGE_REPORT_DELAY_NS,
            self.report_stage,
            self.stage,
            self.phase,
            self.fleet.traffic_caps[self.stage],
        )

    def boot_trial_machines(self, wanted_count):
        if self.phase != at.ON_TRIAL:
            return
        new = []
        for replaced in self.replaced_machines[len(self.trial_machines) : wanted_count]:
            machine = Machine(len(self.machines), replaced.site, replaced.kind)
            machine.build, machine.work_factor, machine.started = 2, self.trial_work_factor, self.now
            self.machines.append(machine)
            new.append(machine)
        self.trial_machines += new
        self.schedule(
            self.now + self.fleet.list_delay,
            self.report_entries,
            [self.list_entry(machine) for machine in new],
        )

    def report_stage(self, stage, phase, cap):
        for gateway in self.gateways:
            gateway.notify(gateway.balancer.stage_reported, 2, stage, phase, cap, 0)

    def vote_received(self, gateway, build, stage, verdict):
        gateway.notify(gateway.balancer.vote_answered, at.COUNTED if self.phase == at.ON_TRIAL else at.MOOT)
        if build != 2 or self.phase == at.ROLLING_BACK:
            return
        self.votes[gateway.number] = stage, verdict
        release, votes = self.release_settings(), list(self.votes.values())
        if sum(verdict == at.VERDICT_ROLL_BACK for _, verdict in votes) >= release.roll_back_votes_needed:
            self.phase = at.ROLLING_BACK
            self.stage_changes.append((self.now, self.stage, "back"))
            self.schedule(self.now + STAGE_REPORT_DELAY_NS, self.report_stage, self.stage, self.phase, 0.0)
            self.schedule(
                self.now + self.fleet.list_delay,
                self.report_entries,
                [self.list_entry(m, at.DRAINING) for m in self.trial_machines],
            )
        elif (
            self.phase == at.ON_TRIAL
            and votes.count((self.stage, at.VERDICT_PROMOTE)) >= release.promote_votes_needed
        ):
            if self.now >= self.stage_began_at + self.fleet.bake_time:
                self.begin_next_stage()

    def report_entries(self, entries):
        for gateway in self.gateways:
            gateway.notify(gateway.balancer.list_received, entries, False, True)

    # ---- losses and pauses

    def lose_site(self, site, time, back_at, silent=False, gateways=True):
        """Schedules the loss of a site's machines at `time` and their cold start at `back_at`.

        `silent`: they leave connections unanswered meanwhile. `gateways`: the site's gateways are lost too.
        """
        self.schedule(time, self.stop_site, site, silent, gateways)
        self.schedule(back_at, self.start_site, site)

    def pause_machines(self, numbers, time, back_at):
        """Schedules a pause in which these machines start no request and queue all that arrive."""
        self.schedule(time, self.set_paused, numbers, True)
        self.schedule(back_at, self.set_paused, numbers, False)

    def set_paused(self, numbers, paused):
        for machine in [self.machines[number] for number in numbers]:
            machine.paused = paused
            self.start_queued(machine)

    def machines_of(self, site):
        return [machine for machine in self.machines if machine.site == site]

    def stop_site(self, site, silent, gateways):
        for machine in self.machines_of(site):
            machine.up, machine.silent = False, silent
            machine.busy, machine.queue, machine.loss_count = 0, deque(), machine.loss_count + 1
        for gateway in self.gateways:
            if gateways and gateway.site == site:
                gateway.up = False
                open_requests, gateway.open_requests = list(gateway.open_requests.values()), {}
                for client_request in open_requests:
                    self.request_ended(client_request, "lost", 0)
        self.schedule(self.now + self.fleet.list_delay, self.report_site, site, at.GONE)

    def start_site(self, site):
        for machine in self.machines_of(site):
            machine.up, machine.silent, machine.started = True, False, self.now
        for gateway in self.gateways:
            if not gateway.up:
                restarted = Gateway(
                    self, gateway.site, gateway.number, self.start_settings(gateway.site, gateway.number)
                )
                restarted.balancer.list_received(
                    self.now, [self.list_entry(m) for m in self.machines], True, True
                )
                restarted.balancer.stage_reported(self.now, 1, 0, at.RELEASED, 1.0, 0)
                self.gateways[gateway.number] = restarted
        self.schedule(self.now + self.fleet.list_delay, self.report_site, site, at.READY)

    def report_site(self, site, state):
        self.report_entries([self.list_entry(machine, state) for machine in self.machines_of(site)])


def service_share(seconds):
    """Returns the share of revenue of these seconds that was answered within the latency objective."""
    revenue = sum(second.revenue for second in seconds)
    return sum(second.answered_revenue for second in seconds) / revenue if revenue else 1.0
