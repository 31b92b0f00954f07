"""The decisions of one balancer: where a request goes, whether it is retried or rejected, and release votes.

A host (see `interface.py`) creates one `Balancer` per gateway. It reports events through the input methods,
which only update the balancer's state. After each event it calls `decide(now, host)` until that returns
False; each call makes at most one decision and carries it out through the host. `wake_at()` returns the time
at which the host has to call `decide` again even if nothing happened. `docs/` explains the reasons.

All times are whole nanoseconds of the host's clock unless a comment names another unit.
"""

import random
from collections import deque
from itertools import islice
from math import inf
from statistics import median

from .instance_table import InstanceTable
from .interface import (
    BAD_REQUEST,
    CANCELLED,
    COUNTED,
    DEDUPLICATED,
    ERRED,
    IDEMPOTENT,
    NEVER_RAN,
    NON_IDEMPOTENT,
    ON_TRIAL,
    OVER_ALLOWANCE,
    READY,
    REJECTED,
    RELEASED,
    RESET,
    SUCCEEDED,
    TIMED_OUT,
    UNCONNECTED,
    UNREADABLE,
    VERDICT_HOLD,
    VERDICT_PROMOTE,
    VERDICT_ROLL_BACK,
    Attempt,
)
from .list_calls import max_refused_call_gap
from .records import Builds, InstanceGroup, InstanceState, RequestTimers, prune_and_count
from .significance import probability_bound, smoothed

# Times are nanoseconds.
MS = 1_000_000
JUDGE_INTERVAL = 100_000_000  # how often builds are judged; a fraction of PAIR_TIME
MAX_PAIRS = 4  # closed pairs that a verdict looks at
MAX_RECENT_OUTCOMES = 200  # outcomes of closed pairs that are kept for each build
PAIR_TIME = 1000 * MS  # the shortest time for which a pair of samples collects outcomes
MIN_PAIR_OUTCOMES = 8  # outcomes that each side needs before a pair closes; with little traffic it stays open
# Pairs start once all instances on trial have run this long; `warmth` covers the rest.
TRIAL_WARM_UP = 1000 * MS
LATENCY_TOLERANCE = 1.0  # ratio; a larger increase of the time to answer is a breach
SERVICE_TIME_TOLERANCE = 0.5  # ratio; the same for the service time that instances report
ERROR_TOLERANCE = 0.02  # share of answers; a larger increase of errors is a breach
OBJECTIVE_PER_WORK = 6  # a request without a hint is expected to need 1/6 of its latency objective
# Up to this many balancers, the share of an instance's load that other balancers send counts as 0.
MAX_BALANCERS_SEEING_ALL = 6
# Tests of a build on few outcomes in one trial. The allowed probability of a false alarm is divided among
# them.
INTERIM_TESTS_PER_TRIAL = 8
MIN_WRONG_ANSWERS = 3  # this many wrong answers make a build bad, at over twice the rate of other builds
LATENCY_RATIO_AGE = 2000 * MS  # a lower ratio after this long without an answer replaces the average
# Lower bound of a request's revenue divided by the mean, when requests are shed. With heavy shedding the
# cheapest requests are accepted half as often as average ones.
MIN_REVENUE_WEIGHT = 0.5
SHED_THRESHOLD = 0.45  # time to answer divided by latency objective; above it requests are shed
SHED_SLOPE = 2  # the share of requests shed is this multiple of the excess above the threshold
OVERDUE_FACTOR = 2.5  # of the usual time for an attempt's work; one answer in twenty or thirty takes longer
LOSS_COST = 4  # added cost factor of a zone and kind if all recent attempts to it were lost on the way
RETRIES_PER_REQUEST = 0.1  # limits second attempts, so that they don't feed an overload
MIN_SUBSET_SIZE = 24  # instances of the ring that a balancer uses; more if it still uses each of them often
GOLDEN_RATIO = 0.618034  # multiples of it, modulo 1, spread the balancers' subsets evenly over the ring
PROPAGATION_GRACE = 500 * MS  # time from sending a list change until a balancer is expected to obey it
# After a restart the first list is of unknown age. It is trusted for 1/8 of the time since the newest
# instance started, and for at least RESTARTED_LIST_AGE.
RESTARTED_LIST_AGE = 2000 * MS
QUIET_TIME_DIVISOR = 8
DRAIN_ANSWER_TIME = 3000 * MS  # an instance may still answer for this long after its drain was announced
STALE_TIME = 5000 * MS  # an instance's own latency counts half when its last answer is this old
THROTTLE_SAMPLES = 8  # outcomes needed to find that a request class or tenant is throttled
# Service time of earlier builds during the trial, divided by that before it. Logs name it "strain".
BASELINE_SLOWDOWN_METRIC = (-1, "strain")


class Balancer:
    """Decides for one gateway. `start` is an `interface.StartSettings`.

    The host calls the input methods and `decide` one at a time, from any thread under a lock of its own. A
    balancer does no I/O and reads no clock.
    """

    def __init__(self, start):
        release = start.release
        request_classes = start.request_classes
        balancers = max(start.balancers, 1)
        for request_class in request_classes:
            # Without an objective the deadline serves as one; only ratios to it are used.
            request_class.latency_objective = (
                request_class.latency_objective or request_class.deadline or 1000 * MS
            )

        # Settings of the host and the fleet.
        self.rng = random.Random(start.seed)
        self.zone = start.zone
        self.cross_zone_factor = 1 + start.prices.get("CrossZone", 0.0)
        self.may_duplicate = start.may_duplicate
        self.may_cancel = start.may_cancel
        self.attempts_cap = start.attempts_cap
        self.retry_after_cap = start.retry_after_cap
        self.connect_time = start.connect_time
        self.dedup_margin = 2 * start.step  # before the end of an instance's deduplication window
        self.max_list_call_gap = start.max_list_call_gap
        self.max_refused_call_gap = max_refused_call_gap(start)
        self.cold_time = start.cold_time
        self.cold_share = max(start.cold_share, 0.01)
        # Part of its share that a cold instance gets; the rest is left for bursts and random peaks.
        self.cold_headroom = max(1 - 1 / max(start.cold_multiple, 0.1), 0.1)
        self.mean_revenue = (
            sum(request_class.revenue for request_class in request_classes) / max(len(request_classes), 1)
            or 1.0
        )
        # By number of the request class: the work of a request without a hint, smoothed (ns).
        self.class_work = {
            request_class.number: request_class.latency_objective / OBJECTIVE_PER_WORK
            for request_class in request_classes
        }
        # The share of an instance's load that other balancers send and this one can't see.
        self.unseen_share = max(0.0, 1 - MAX_BALANCERS_SEEING_ALL / balancers)

        # Settings of releases.
        self.builds = Builds(*release.caps[:1] or [0.0], MAX_PAIRS, MAX_RECENT_OUTCOMES)
        self.sent_window = release.window + 2 * start.step
        self.arrivals_window = release.window - 2 * start.step
        self.attempts_above_cap = release.attempts_above_cap
        self.cap_per_class = release.per_class
        self.idempotent_only_stages = release.idempotent_only_stages
        self.never_return_to_older_build = release.never_return_to_older_build
        self.automatic_stages = release.control == "automatic"
        self.vote_lifetime = release.vote_lifetime
        self.min_stage_time = release.bake + 2 * TRIAL_WARM_UP
        # Earlier instances stop after the last stage, so it also lasts until the requests sent in it should
        # have been answered.
        objectives = [request_class.latency_objective for request_class in request_classes] or [0]
        self.min_last_stage_time = max(self.min_stage_time, release.bake + sum(objectives) // len(objectives))
        self.started_at = start.now
        self.latency_ratio_at = start.now  # when `latency_ratio` was last updated
        # The probability, for each test of one balancer, that a sound build is found bad. It is so small that
        # enough wrong votes for a rollback are very rare.
        self.false_alarm_probability = (
            max(max(release.roll_back_votes_needed, 1) ** 0.5 - 1.3, 0.07) ** 2
            / balancers
            / INTERIM_TESTS_PER_TRIAL
        )
        self.vote_answer_time = (
            release.vote_timeout + start.step + int(balancers * 1e9 / (release.votes_per_s or 1))
        )

        # The instances, and the requests so far.
        self.instances = InstanceTable(start.balancer_index * GOLDEN_RATIO % 1.0)  # by id
        self.groups = {}  # by (zone, kind)
        self.ring = self.instances.arc(())  # the instances in the order in which this balancer uses them
        self.request_gap = 1e9  # ns between requests, smoothed
        self.last_arrival = start.now  # time of the last request
        self.reported_build = None  # the build of the last release report
        self.trial_build = None  # the build on trial that has instances
        self.judged_build = None  # the build that votes can still promote or roll back
        # The kinds of instance that run both the judged build and an earlier one; empty if there are none.
        self.comparable_kinds = set()
        self.arrivals = {}  # times of requests by cap key, as `Build.sent_times`
        self.accepted_work = 0  # sum of the work of all accepted requests
        # The mean work of a request, smoothed (ns).
        self.mean_work = sum(self.class_work.values()) / max(len(self.class_work), 1)
        self.latency_ratio = 0.0  # time to answer divided by latency objective, smoothed
        self.retry_budget = 5.0  # unspent part of RETRIES_PER_REQUEST

        # By request class and by tenant (see `latency_keys`).
        self.latency_ratios = {}  # the last times to answer, each divided by the latency objective
        self.lower_quartiles = {}  # the lower quartile of those
        self.last_throttle_probe_at = {}  # when a throttled class or tenant last had a request accepted

        # What is left to do.
        self.requests_to_decide = deque()
        self.log_lines = deque()
        self.timers = RequestTimers()

        # The list of instances. The more balancers start together, the longer they spread their first call.
        spread = min(25 * MS * (balancers - 1), 2000 * MS, start.max_list_call_gap // 2 or 2000 * MS)
        first_call = start.now + int(self.rng.random() * spread)
        self.next_judging = start.now
        self.list_call_at = first_call if start.ask_for_list else None
        # After this time without a confirmation the list may no longer be relied on.
        self.max_unconfirmed_list_age = (
            start.max_unconfirmed_list_age - PROPAGATION_GRACE if start.max_unconfirmed_list_age else inf
        )
        self.turned_away_calls_confirm = start.turned_away_calls_confirm
        self.list_current_at = -inf  # the list contains all changes made until this time
        self.list_turned_away_at = -inf  # when discovery last ended a call without a list

        # The open pair, the release votes and the connections.
        self.pair_started_at = None
        self.pair_outcomes = {}  # by (whether of the judged build, number of the request class)
        self.unconnected_share = 0.0  # share of attempts that got no connection, smoothed
        self.idle_time = start.idle_time - start.step
        self.has_new_outcomes = False  # outcomes came since the open pair was last judged
        self.vote_check_due = False  # a vote may be due
        self.trial_share = 0.0  # share of the load that instances on trial should get
        self.baseline_time_per_work = 0.0  # median of the last pair without a trial
        self.last_vote = None  # (build, stage, verdict)
        self.next_vote_at = start.now
        self.vote_busy_until = start.now  # the answer to the last vote is awaited until then
        self.vote_backoff = 0  # ns to wait after the platform refused a vote because it had too many

    # ---- inputs: these only update the state

    def list_received(self, now, lines, whole, fresh):
        """The host received the list of instances, complete or only its changes.

        `fresh` says that it is current. Otherwise it may be old, and an id in it may belong to an instance
        that has restarted since.
        """
        listed_ids = {line.id for line in lines}
        for line in lines:
            known = self.instances.get(line.id)
            if known is None or (known.build.number, known.started) != (line.build, line.started):
                group = self.groups.setdefault((line.zone, line.kind), InstanceGroup())
                # Each balancer starts at a random point of its share, so that they don't all send to a cold
                # instance at once.
                cold_work_interval = self.rng.random() * self.mean_work * max(len(self.instances), len(lines))
                self.instances.put(
                    InstanceState(
                        line, self.builds[line.build], group, now, 3.0, self.accepted_work, cold_work_interval
                    )
                )
            self.instances[line.id].ready = line.state == READY
        # A list of changes can only remove instances that it names.
        candidates = self.instances if whole else listed_ids
        self.instances.commit(
            [id for id in candidates if id not in listed_ids or not self.instances[id].ready]
        )
        if self.list_current_at == -inf and self.max_unconfirmed_list_age < inf and self.list_call_at:
            # How long the first list after a start is trusted.
            complete_for = (now - max((line.started for line in lines), default=now)) // QUIET_TIME_DIVISOR
            complete_for = min(max(complete_for, RESTARTED_LIST_AGE), self.max_unconfirmed_list_age)
            self.list_current_at = now - self.max_unconfirmed_list_age + complete_for
            call_delay = (self.list_call_at - now) * complete_for // RESTARTED_LIST_AGE
            # The call that confirms it is made within that time.
            self.list_call_at = now + min(call_delay, self.max_list_call_gap // 2 or call_delay)
        self.list_call_at, self.list_current_at = (
            (None, inf) if fresh else (self.list_call_at, self.list_current_at)
        )
        self.ring = self.instances.arc(self.builds.values())
        self.update_trial()

    def list_failed(self, now, current, turned_away=False):
        """A call for the list failed, or the watch of it ended; the list was current up to `current`.

        `turned_away` says that discovery took the call and ended it without a list.
        """
        self.list_current_at = current if self.list_current_at == inf else max(current, self.list_current_at)
        if turned_away:
            self.list_turned_away_at = now
        # After a failed call the rule of max_list_call_gap allows four times that gap until the next call. At
        # most half of that is used.
        longest = min(self.max_refused_call_gap, 2 * self.max_list_call_gap or self.max_refused_call_gap)
        self.list_call_at = now + int(self.rng.uniform(longest / 3, longest))

    def request_arrived(self, now, request):
        """A client sent a request."""
        # The timer is set first: it ends the request at its deadline even if a decision on it fails.
        self.timers.add(request.deadline, request)
        request.work = request.work or int(self.class_work[request.request_class.number])
        for key in self.cap_keys(request):
            self.arrivals.setdefault(key, deque()).append(now)
            prune_and_count(self.arrivals[key], now - self.arrivals_window)
        self.mean_work += 0.01 * (request.work - self.mean_work)
        self.request_gap = self.request_gap + 0.05 * (now - self.last_arrival - self.request_gap)
        self.last_arrival = now
        self.retry_budget = min(
            self.retry_budget + RETRIES_PER_REQUEST * (1 - self.latency_ratio * self.unseen_share), 20.0
        )
        if self.trial_build is not None:
            # Instances on trial get as much load as earlier ones in proportion to their capacity, because
            # only outcomes under similar load can be compared.
            def rate(instance):
                return self.capacity_share(instance, now) / (instance.group.time_per_work or 1.0)

            def group_key(instance):
                return instance.group, instance.started if self.warmth(instance, now) < 1 else 0

            self.trial_share = self.instances.weight_share(
                self.trial_build, rate, group_key, now // STALE_TIME
            )
            self.trial_build.attempt_credit = min(self.trial_build.attempt_credit + self.trial_share, 2.0)
        self.requests_to_decide.append(request)

    def request_closed(self, now, request):
        """The client left, or its answer is being streamed to it. Nothing is left to decide then."""
        request.finished = True

    def attempt_ended(self, now, attempt, end, took, over, report):
        """An attempt ended.

        `end` is one of the endings in `interface.py`, `took` the time that it took, `over` whether the
        request is finished, and `report` the figures that the instance sent along, by name.
        """
        attempt.end = end
        instance = attempt.instance
        request = attempt.request
        request_class = request.request_class
        instance.connection_free_at = attempt.connection_free_at
        written_off = instance.in_flight.pop(attempt, attempt) is not None
        instance.held_work -= 0 if written_off else request.work
        request.finished = request.finished or over
        self.requests_to_decide.extend([] if request.finished else [request])
        number = request_class.number
        objective = max(request_class.latency_objective, 1)
        throttled = self.is_throttled_everywhere(request)
        slow = took > objective
        answered = end in (SUCCEEDED, ERRED, REJECTED)
        if end in (SUCCEEDED, ERRED, TIMED_OUT):
            for key in latency_keys(request):
                ratios = self.latency_ratios.setdefault(key, deque(maxlen=THROTTLE_SAMPLES))
                if took < 0.4 * objective and self.lower_quartiles.get(key, 0.0) > 0.8:
                    # The class or tenant is no longer throttled. Few of its requests are accepted, so the old
                    # times would otherwise stay for long.
                    ratios.clear()
                ratios.append(took / objective)
                self.lower_quartiles[key] = (
                    sorted(ratios)[THROTTLE_SAMPLES // 4] if len(ratios) == THROTTLE_SAMPLES else 0.5
                )
        silent = instance.quiet_since <= attempt.sent_at and end in (TIMED_OUT, CANCELLED)
        self.unconnected_share += 0.1 * ((end == UNCONNECTED) - self.unconnected_share)
        # Without an answer it is not known whether a connection stays open.
        self.instances.keep_open(instance, now + self.idle_time if answered else 0)
        if answered or end in (UNCONNECTED, RESET):
            instance.group.loss_rate += 0.2 * ((not answered) - instance.group.loss_rate)
        if answered or end in (UNREADABLE, BAD_REQUEST):
            # An unreadable answer or a bad request shows only that the instance is reachable. This could hide
            # a build whose answers are unreadable.
            instance.quiet_since = now
            instance.newest_answered_sent_at = max(instance.newest_answered_sent_at, attempt.sent_at)
            instance.path_failures = 0
            instance.answer_count = instance.answer_count + 1
            instance.error_count = instance.error_count + (end == ERRED)
            instance.avoided_until = 0
        elif end in (UNCONNECTED, RESET) or silent and end == TIMED_OUT and not written_off:
            self.record_path_failure(instance, now, 0.5 if end == RESET else 1)
        if not throttled and (answered or end in (TIMED_OUT, CANCELLED) and slow and not written_off):
            # An error counts as the whole objective: otherwise an instance that fails at once would look fast
            # and draw all requests. This may idle an instance that fails only one kind of request.
            counted_time = objective if end in (ERRED, REJECTED) else took
            # The average moves by a tenth for each answer. After a pause it falls the whole way, because a
            # balancer that sheds gets few answers. It doesn't rise faster: one late answer is no overload.
            ratio_to_objective = min(counted_time / objective, 2.0)
            age = (now - self.latency_ratio_at) / LATENCY_RATIO_AGE
            self.latency_ratio_at = now
            self.latency_ratio += (
                min(max(age, 0.1), 1.0) if ratio_to_objective < self.latency_ratio else 0.1
            ) * (ratio_to_objective - self.latency_ratio)
            ratio_to_work = counted_time / max(request.work, 1)
            # A light request that waited in a queue says little about the time per work.
            weight = min(request.work / self.mean_work, 1) ** (1 - self.unseen_share)
            for known, rate in ((instance.group, 0.1), (instance, 0.15)):
                known.time_per_work += (
                    rate * weight * (ratio_to_work - known.time_per_work)
                    if known.time_per_work
                    else ratio_to_work
                )
            self.class_work[number] += 0.01 * (request.work - self.class_work[number])
        # The limit of requests in flight prevents queues at an instance, whatever their cause. It never falls
        # below 1, so that instances that are slow but idle still get requests.
        if (
            end == REJECTED
            or not throttled
            and instance.time_per_work * self.class_work[number] > objective / 2.5
        ):
            # An overload lowers it only once, however many attempts it delays.
            if now - instance.limit_lowered_at > 200 * MS:
                instance.limit_lowered_at = now
                instance.request_limit = max(instance.request_limit * 0.8, 1.0)
        elif end == SUCCEEDED and 2 * (len(instance.in_flight) + 1) >= instance.request_limit:
            instance.request_limit += 0.25 / instance.request_limit
        if end == SUCCEEDED:
            instance.record_connection(attempt.connected_since, attempt.sent_at)
            instance.build.success_count = instance.build.success_count + 1
            group = instance.group
            group.mean_answer_time = smoothed(group.mean_answer_time, took, 0.05)
            group.mean_answered_work = smoothed(group.mean_answered_work, max(request.work, 1), 0.05)
        if end == SUCCEEDED and self.never_return_to_older_build and request.key:
            instance.build.answered_keys.update({request.key, request.client_key or request.key})
        # Answers count for the build's error and latency figures. So does a request without an answer in time
        # while the instance answered others. Failures of the network don't count.
        caused_by_build = (
            end in (SUCCEEDED, ERRED) or slow and not over and (self.unseen_share > 0.5 or not silent)
        )
        if self.pair_started_at is not None and not throttled and caused_by_build:
            self.record_outcome(now, instance, request, end, took)
        if service_time := report.get("svc_ms"):
            instance.service_time = smoothed(instance.service_time, service_time, 0.3)
            if self.trial_build is None:
                instance.usual_service_time = smoothed(instance.usual_service_time, service_time, 0.1)

    def record_path_failure(self, instance, now, weight):
        """Avoids an instance for a while after an attempt to it was lost on the way.

        This guards against instances that are dead, silent or cut off. A single reset (weight 0.5) is not
        enough. It could be unfair to instances to which connecting is slow.
        """
        instance.path_failures += weight
        # The pause is chosen for network faults and restarts, not by the deadlines of requests: the instance
        # is tried again within 3 s.
        pause = (
            min(250 * MS << min(int(instance.path_failures), 4), 3000 * MS)
            if instance.path_failures >= 1
            else 0
        )
        instance.avoided_until = now + int(pause * self.rng.uniform(0.7, 1.0))

    def wrong_answer_reported(self, now, instance_id):
        """A client reported that an answer of this instance was wrong."""
        if (instance := self.instances.get(instance_id)) is not None:
            instance.build.wrong_answers += 1

    def stage_reported(self, now, number, stage, phase, cap, age):
        """The release platform reported a build's stage, phase and exposure cap.

        `age` is how long ago the stage began.
        """
        build = self.reported_build = self.builds[number]
        build.stage_began_at = (
            build.stage_began_at if (build.stage, build.phase) == (stage, phase) else now - age
        )
        build.stage = stage
        build.phase = phase
        build.cap = cap
        build.seen_on_trial = build.seen_on_trial or phase == ON_TRIAL
        self.update_trial()

    def vote_answered(self, now, answer):
        """The release platform answered the last vote, or didn't answer in time.

        When the platform has no room for more votes, balancers without a vote to roll back vote less and
        less often. Votes to roll back then get through, and a vote that still counts is not renewed early at
        the cost of another.
        """
        rolls_back = self.last_vote is not None and self.last_vote[2] == VERDICT_ROLL_BACK
        if answer == OVER_ALLOWANCE and not rolls_back:
            self.vote_backoff = min(2 * self.vote_backoff or 400 * MS, self.vote_lifetime)
        short = 400 * MS
        jitter = self.rng.uniform(0.5, 1.0)
        pause = short if rolls_back else max(self.vote_backoff, short)
        self.vote_busy_until = now + int(jitter * short)
        self.next_vote_at = now + int(jitter * pause)
        if answer == COUNTED:
            # The vote is renewed before it lapses; later if the platform was full.
            later = 0.2 if self.vote_backoff else 0.0
            self.vote_busy_until = now
            self.vote_backoff = self.vote_backoff // 2
            self.next_vote_at = now + int(self.vote_lifetime * (self.rng.uniform(0.6, 0.8) + later))

    # ---- decisions, one for each call

    def wake_at(self):
        """Returns the time at which `decide` has to be called even if nothing happens before."""
        # Without a trial the next judging changes nothing, and most balancers are idle then.
        wake_time = self.next_judging + (0 if self.trial_build or self.judged_build else 50 * JUDGE_INTERVAL)
        return min(wake_time, self.list_call_at or wake_time, self.timers.first(wake_time))

    def decide(self, now, host):
        """Makes one decision and carries it out through `host`; returns False if there is none to make."""
        if now >= self.next_judging:
            self.update_pair(now)
        self.requests_to_decide.extend(self.timers.pop_due(now))
        if self.log_lines:
            host.log(self.log_lines.popleft())
            return True
        if self.list_call_at is not None and now >= self.list_call_at:
            # In case no answer comes; a host's own calls time out sooner.
            self.list_call_at = now + 5000 * MS
            host.watch_list()
            return True
        vote_check_due = self.vote_check_due
        self.vote_check_due = False
        if vote_check_due and self.cast_vote(now, host):
            return True
        while self.requests_to_decide:
            if not (request := self.requests_to_decide.popleft()).finished and self.decide_request(
                request, now, host
            ):
                return True
        return False

    def decide_request(self, request, now, host):
        """Attempts, retries, ends or delays a request; returns whether the host was called."""
        in_flight = [attempt for attempt in request.attempts if not attempt.end]
        if in_flight and now < request.deadline:
            return self.retry_overdue(request, in_flight, now, host)
        # A rejected request needs budget for its next attempt. Otherwise, when all instances are full, each
        # request would be rejected by many of them.
        is_hopeless = any(
            previous.end == BAD_REQUEST or previous.end == REJECTED and self.retry_budget < 1
            for previous in request.attempts[-1:]
        )
        if is_hopeless or now == request.arrived and self.sheds(request, now) or now >= request.deadline:
            return self.give_up(request, host)
        self.accepted_work += request.work if now == request.arrived else 0
        if (instance := self.choose(request, now)) is not None:
            return self.attempt(request, instance, now, host)
        request_class = request.request_class
        wait = int(request_class.latency_objective / 8 * min(request_class.revenue / self.mean_revenue, 1.0))
        if now >= request.arrived + wait or len(request.attempts) >= self.attempts_cap:
            return self.give_up(request, host)
        # The longer the request has waited, the less often a decision on it is tried.
        until = min(request.arrived + wait, request.deadline)
        self.timers.add(min(until, now + max(JUDGE_INTERVAL // 4, (until - request.arrived) // 32)), request)
        return False

    def attempt(self, request, instance, now, host):
        """Sends the request to an instance; returns True."""
        self.retry_budget -= any(attempt.end == REJECTED for attempt in request.attempts[-1:])
        request.attempts.append(attempt := Attempt(request, len(request.attempts), instance, now))
        instance.quiet_since = instance.quiet_since if instance.in_flight else now
        instance.in_flight[attempt] = None
        instance.held_work += request.work
        if self.on_trial(instance.build):
            attempt.counted_from = now
            for key in self.cap_keys(request):
                instance.build.sent_times.setdefault(key, deque()).append(now)
            instance.build.attempt_credit = max(instance.build.attempt_credit - 1.0, -3.0)
        instance.accepted_work_at_last_request = self.accepted_work
        instance.cold_work_interval = request.work * len(self.instances)
        host.attempt(request, instance.id, request.deadline - now)
        instance.connection_free_at = attempt.connection_free_at
        self.timers.add(self.overdue_at(attempt), request)
        return True

    def retry_overdue(self, request, in_flight, now, host):
        """Sends a second attempt, or cancels the last one, if that is overdue; returns whether it did.

        This guards against instances that are silent, stalled or overloaded, or that lose requests. When all
        are overloaded the budget limits it. An attempt whose instance has answered a later one is lost, and
        replacing it costs no budget. A heavy request could run twice.
        """
        last = in_flight[-1]
        instance = in_flight[-1].instance
        if now < self.overdue_at(last) or self.is_throttled_everywhere(request):
            return False
        lost = instance.newest_answered_sent_at > last.sent_at
        silent = instance.quiet_since <= last.sent_at
        if (lost or silent) and instance.in_flight.pop(last, last) is None:
            # The attempt is written off: it no longer counts as work held by the instance.
            instance.held_work -= request.work
            self.record_path_failure(instance, now, silent * min(0.5 + self.unseen_share, 1.0))
            if silent:
                # With few attempts this is the best evidence of a lost path. A later answer resets it.
                instance.group.loss_rate += 0.2 * (1 - instance.group.loss_rate)
                pause = int((request.deadline - now) * self.unseen_share)
                instance.avoided_until = max(instance.avoided_until, now + pause)
        if not lost and (len(in_flight) > 1 or self.retry_budget < 1):
            return False
        if self.may_duplicate and (other := self.choose(request, now)) is not None:
            self.retry_budget -= not lost
            return self.attempt(request, other, now, host)
        barred = self.may_duplicate or not self.may_cancel or request.request_class.effect != IDEMPOTENT
        if barred or not (lost or silent):
            return False
        self.retry_budget -= 1
        host.cancel(last)
        return True

    def overdue_at(self, attempt):
        """Returns when an attempt counts as overdue.

        This depends on its work, so that a heavy request is not sent twice.
        """
        request = attempt.request
        group = attempt.instance.group
        # Half of the usual time is spent waiting, which is the same for heavy and light requests.
        usual_time = (
            group.mean_answer_time * (1 + request.work / group.mean_answered_work) / 2
            if group.mean_answered_work
            else request.work
        )
        return attempt.sent_at + max(
            request.request_class.latency_objective // 2, int(OVERDUE_FACTOR * usual_time)
        )

    def give_up(self, request, host):
        """Ends a request: aborts it if it may have run, else rejects it; returns True."""
        request.finished = True
        request_class = request.request_class
        ends = {attempt.end for attempt in request.attempts}
        unsafe_elsewhere = (
            request_class.effect == NON_IDEMPOTENT
            or request_class.effect == DEDUPLICATED
            and request_class.repeat_scope != "all"
        )
        if BAD_REQUEST in ends or unsafe_elsewhere and not ends.issubset(NEVER_RAN):
            host.abort(request)
        else:
            host.reject(request, min(self.retry_after_cap, request_class.latency_objective // 16))
        return True

    # ---- the choice of an instance

    def choose(self, request, now, whole=False):
        """Returns the instance for the next attempt, or None.

        Among the instances that may be used it is the cheapest one: untried before tried, and the build that
        is due an attempt first. `whole` considers all instances instead of this balancer's part of the ring.
        """
        tried = [attempt.instance for attempt in request.attempts]
        trial_due = (
            self.trial_build is not None and self.trial_build.attempt_credit >= 1 and not self.trial_build.bad
        )
        trial_builds = {build for build in self.builds.values() if self.on_trial(build)}
        pool = (
            self.ring
            if whole
            else self.instances.arc(trial_builds if trial_due else {*self.builds.values()} - trial_builds)
        )
        if self.unconnected_share > 0.05 and not whole:
            # Connections are scarce or slow, or instances died: keep to those with an open connection.
            pool = pool.open(now) or pool
        if not whole and len(pool) > (
            subset_size := max(MIN_SUBSET_SIZE, int(self.idle_time / 8 / (self.request_gap + 1)))
        ):
            # With many balancers and instances each attempt would need a new connection. Keeping to a part
            # of the ring avoids that, at the price of some imbalance.
            pool = islice((candidate for candidate in pool if now >= candidate.avoided_until), subset_size)
        best = least = None
        for instance in pool:
            rank = (
                instance in tried,
                (instance.build in trial_builds) is not trial_due,
                self.cost(instance, request, now),
            )
            better = (best is None or rank < least) and self.usable(instance, request, now)
            if better and self.may_attempt(request, instance, now):
                best = instance
                least = rank
        return best or (None if whole else self.choose(request, now, True))

    def sheds(self, request, now):
        """Returns whether to reject a new request because answers take too long.

        Where many balancers share an instance, none of them can limit its queue alone. So each rejects more
        of its own requests as answers get slower, those of the lowest revenue first. It could reject a
        request for which another instance has room.
        """
        if self.is_throttled_everywhere(request):
            # The request would only occupy a slot. One is accepted every two latency objectives, to find out
            # when the throttling ends.
            keys = latency_keys(request)
            pause = 2 * request.request_class.latency_objective
            if now < max(self.last_throttle_probe_at.get(key, 0) for key in keys) + pause:
                return True
            self.last_throttle_probe_at.update(dict.fromkeys(keys, now))
        excess = min(SHED_SLOPE * (self.latency_ratio - SHED_THRESHOLD), 0.9) * self.unseen_share
        weight = max(request.request_class.revenue / self.mean_revenue, MIN_REVENUE_WEIGHT)
        return excess > 0 and self.rng.random() < excess**weight

    def is_throttled_everywhere(self, request):
        """Returns whether the request's class or tenant is slow at all instances while others are quick.

        Something that all instances share then throttles it, and its times say nothing about an instance or
        a build.
        """
        own_quartile = max(self.lower_quartiles.get(key, 0.0) for key in latency_keys(request))
        return own_quartile > 0.8 and min(self.lower_quartiles.values()) < 0.4

    def cost(self, instance, request, now):
        """Returns the expected time to answer (ns), with random variation.

        It grows with the work that the instance holds. The instance's own figures lose weight against its
        group's as they age. The less of the load this balancer sees, the larger the variation. A balancer
        with few attempts notices a lost zone before it notices each lost instance, so the loss rate is that
        of the group. The time until a connection is free is added.
        """
        time_per_work = instance.group.time_per_work or 1.0
        if instance.time_per_work:
            time_per_work += (instance.time_per_work - time_per_work) / (
                1 + (now - instance.quiet_since) / STALE_TIME
            )
        zone_factor = 1.0 if instance.zone == self.zone else self.cross_zone_factor
        variation = self.rng.uniform(0.9, 1.1) * self.rng.expovariate(1.0) ** (self.unseen_share / 2)
        time = (
            (1 + LOSS_COST * instance.group.loss_rate)
            * time_per_work
            * (request.work + instance.held_work)
            * zone_factor
            * variation
        )
        return time / self.warmth(instance, now) + max(instance.connection_free_at - now, 0)

    def usable(self, instance, request, now):
        """Returns whether the instance looks healthy and has room for the request."""
        request_class = request.request_class
        barred = instance.held_work >= instance.request_limit * self.mean_work or now < instance.avoided_until
        # After a failure of the path one request at a time tests it, and never a non-idempotent one.
        under_test = instance.path_failures >= 1 and (
            instance.in_flight or request_class.effect == NON_IDEMPOTENT
        )
        if barred or under_test or self.avoids_build(instance.build, request_class):
            return False
        quiet_time = now - instance.quiet_since if instance.in_flight else 0
        # For shorter times `retry_overdue` suffices, which uses the latency objective.
        return quiet_time <= max(
            4 * (instance.group.time_per_work or 2.0) * self.class_work[request_class.number], 300 * MS
        )

    def avoids_build(self, build, request_class):
        """Returns whether a bad build gets no requests of this class.

        A bad build that is no longer on trial serves on until other builds have room for its requests.
        """
        if not build.bad or self.on_trial(build):
            return build.bad and (request_class.effect != IDEMPOTENT or self.trial_share < 0.5)
        room = [
            len(other.ring) * (other.cap if self.on_trial(other) else 1)
            for other in self.builds.values()
            if not other.bad
        ]
        return sum(room) >= len(build.ring)

    def may_attempt(self, request, instance, now):
        """Returns whether the rules allow an attempt. Every attempt is checked here, whatever its reason."""
        is_over = now >= request.deadline or len(request.attempts) >= self.attempts_cap
        if is_over or not self.listing_valid(instance, now):
            return False
        request_class = request.request_class
        may_have_run = [attempt for attempt in request.attempts if attempt.end not in NEVER_RAN]
        if (
            may_have_run
            and request_class.effect == NON_IDEMPOTENT
            or not self.may_duplicate
            and any(not other.end for other in may_have_run)
        ):
            return False
        if may_have_run and request_class.effect == DEDUPLICATED:
            scope = request_class.repeat_scope
            same_scope = scope == "all" or all(
                getattr(other.instance, scope) == getattr(instance, scope) for other in may_have_run
            )
            if not same_scope or now >= self.dedup_deadline(may_have_run) - self.connect_time:
                return False
        if (share := self.capacity_share(instance, now)) < 1 and (
            self.accepted_work - instance.accepted_work_at_last_request
        ) * share < instance.cold_work_interval:
            return False
        allowed = not self.returns_to_older_build(request, instance)
        return allowed and (
            not self.on_trial(instance.build) or self.within_exposure_cap(instance.build, request, now)
        )

    def listing_valid(self, instance, now):
        """Returns whether the instance is ready as far as this balancer has to know.

        This guards against drains of which discovery could not inform this gateway. The gateway must at least
        have asked in vain of late, because a draining instance may serve on for any time. Where that does
        not confirm the list, the instance must not have drained either: if a connection has been open since
        the list was last certain to be complete, and the instance answered on it at time t, then it had not
        been drained by DRAIN_ANSWER_TIME before t. With an old list no instance may be usable.
        """
        asked_at = max(self.list_current_at, self.list_turned_away_at)
        if not instance.ready or now - asked_at > self.max_unconfirmed_list_age:
            return False
        if self.turned_away_calls_confirm:
            return True
        proven_until = (
            instance.proven_up_until(
                max(self.list_current_at, now - self.max_unconfirmed_list_age - PROPAGATION_GRACE)
            )
            - DRAIN_ANSWER_TIME
        )
        return now - max(self.list_current_at, proven_until) <= self.max_unconfirmed_list_age

    def write_deadline(self, now, attempt):
        """Returns by when the last byte of an attempt has to be written, or 0 if it may not begin.

        A host whose attempts may wait for a connection calls this before it writes the first byte.
        """
        request = attempt.request
        instance = attempt.instance
        deadline = attempt.request.deadline
        may_have_run = [
            other for other in request.attempts if other is not attempt and other.end not in NEVER_RAN
        ]
        if may_have_run and request.request_class.effect == DEDUPLICATED:
            deadline = min(deadline, self.dedup_deadline(may_have_run))
        allowed = not request.finished and now < deadline and self.instances.get(instance.id) is instance
        allowed = (
            allowed
            and self.listing_valid(instance, now)
            and not self.returns_to_older_build(request, instance)
        )
        if allowed and self.on_trial(instance.build):
            # It counts against the cap from now on, because it may have waited longer than the cap's window.
            sent_times = [
                instance.build.sent_times.setdefault(key, deque()) for key in self.cap_keys(request)
            ]
            for times in [times for times in sent_times if attempt.counted_from in times]:
                times.remove(attempt.counted_from)
            if allowed := self.within_exposure_cap(instance.build, request, now):
                attempt.counted_from = now
                for times in sent_times:
                    times.append(now)
        return deadline if allowed else 0

    def returns_to_older_build(self, request, instance):
        """Returns whether an older build would get a key that the reported build has already answered."""
        reported = self.reported_build
        keys = (request.key, request.client_key)
        older = (
            reported is not None
            and instance.build.number < reported.number
            and reported.phase in (ON_TRIAL, RELEASED)
        )
        return older and not reported.answered_keys.isdisjoint(keys)

    def dedup_deadline(self, may_have_run):
        """Returns until when instances drop repeats of these attempts."""
        return (
            may_have_run[0].sent_at + may_have_run[0].request.request_class.repeat_window - self.dedup_margin
        )

    def within_exposure_cap(self, build, request, now):
        """Returns whether the cap of a build on trial allows one more attempt.

        The window is a little wider for attempts than for requests. A lowered cap holds at once.
        """
        stage = build.stage if build is self.reported_build else 0
        if build.cap <= 0 or (
            stage < self.idempotent_only_stages and request.request_class.effect != IDEMPOTENT
        ):
            return False
        for key in self.cap_keys(request):
            sent = prune_and_count(build.sent_times.get(key, ()), now - self.sent_window - 1)
            arrived = prune_and_count(self.arrivals.get(key, ()), now - self.arrivals_window)
            if sent + 1 > self.attempts_above_cap + build.cap * arrived:
                return False
        return True

    def warmth(self, instance, now):
        """Returns the share of its capacity that an instance is sure to have; 1 once it is warm."""
        age = now - instance.started if instance.started else self.cold_time
        return min(self.cold_share + (1 - self.cold_share) * max(age, 0) / max(self.cold_time, 1), 1.0)

    def capacity_share(self, instance, now):
        """Returns what part of a warm instance's load this one may get.

        Each balancer keeps to its part of that, so the sum over all balancers keeps to it as well.
        """
        warmth = self.warmth(instance, now)
        return warmth * self.cold_headroom if warmth < 1 else 1.0

    def on_trial(self, build):
        """Returns whether the exposure cap applies to a build."""
        if self.reported_build is None:
            return build is self.trial_build
        return build.number > self.reported_build.number or (
            build is self.reported_build and build.phase != RELEASED
        )

    def cap_keys(self, request):
        """Returns the keys under which the exposure cap counts a request.

        If rules gave the request another class, it counts for the class that the client named and for the
        class given, so that neither lends its requests to the other.
        """
        number = request.request_class.number if self.cap_per_class else 0
        return (
            (request.client_class.number, ~number)
            if self.cap_per_class and request.client_class
            else (number,)
        )

    # ---- judging: the build on trial is compared with earlier ones, in pairs of short samples

    def update_trial(self):
        """Finds the build on trial and the build to judge, after a change of the list or of a stage."""
        numbers = sorted(number for number, build in self.builds.items() if build.ring)
        trial = self.builds[numbers[-1]] if numbers else None
        trial = (
            trial if trial and (self.on_trial(trial) if self.reported_build else len(numbers) > 1) else None
        )
        judged = (
            reported
            if (reported := self.reported_build)
            and reported.seen_on_trial
            and reported.phase in (ON_TRIAL, RELEASED)
            else None
        )
        if trial is not self.trial_build or judged is not self.judged_build:
            if trial is not None and trial is not self.trial_build:
                # A random start: balancers that are each due less than one attempt then still send the right
                # number in total.
                trial.attempt_credit = self.rng.random()
            self.trial_build = trial
            self.judged_build = judged
            self.pair_started_at = None
            self.pair_outcomes = {}
        self.vote_check_due = True
        oldest = min([self.reported_build.number if self.reported_build else 0, *numbers])
        # No instance runs these builds, and no news is about them.
        for old in [old for old in self.builds if old < oldest]:
            del self.builds[old]
        earlier_kinds = {
            kind for build in self.builds.values() if build is not judged for kind in build.kinds
        }
        self.comparable_kinds = earlier_kinds.intersection(judged.kinds) if judged else set()

    def record_outcome(self, now, instance, request, end, took):
        """Adds an outcome to the open pair: (time divided by work, whether it is an error, the instance)."""
        of_judged = instance.build is self.judged_build
        warmth = self.warmth(instance, now)
        # Only similar instances are compared: of the same kinds, and earlier builds only on warm ones.
        if (not self.comparable_kinds or instance.kind in self.comparable_kinds) and (
            of_judged or warmth == 1
        ):
            self.has_new_outcomes = True
            outcome = (took * warmth / max(request.work, 1), end == ERRED, instance)
            self.pair_outcomes.setdefault((of_judged, request.request_class.number), []).append(outcome)

    def update_pair(self, now):
        """Opens a pair, or closes and judges it once it is complete."""
        self.next_judging = now + JUDGE_INTERVAL
        self.vote_check_due = True
        build = self.judged_build
        if self.pair_started_at is None:
            newest = [
                candidate.start_times[-1]
                for candidate in self.builds.values()
                if candidate.start_times and build in (None, candidate)
            ]
            self.pair_started_at = now if newest and max(newest) + TRIAL_WARM_UP <= now else None
        elif now - self.pair_started_at >= PAIR_TIME and self.has_new_outcomes:
            self.has_new_outcomes = False
            ours = self.pooled(True)
            earlier = self.pooled(False)
            # After the release earlier instances may stay listed but get hardly any requests.
            alone = build is None or build.phase == RELEASED
            if len(ours if build else earlier) >= MIN_PAIR_OUTCOMES and (
                alone or len(earlier) >= MIN_PAIR_OUTCOMES
            ):
                if build is None:
                    self.baseline_time_per_work = median_time_per_work(earlier)
                else:
                    build.pairs.append(self.compare(build, ours, earlier))
                    build.recent_outcomes.extend(ours)
                    self.judge(build, build.pairs)
                self.pair_started_at = now
                self.pair_outcomes = {}
            elif build is not None and not build.pairs and ours:
                self.judge(build, [self.compare(build, ours, earlier)])

    def pooled(self, of_judged):
        """Returns the outcomes of the open pair on one side, over all request classes."""
        return [
            outcome
            for (side, _), outcomes in self.pair_outcomes.items()
            if side is of_judged
            for outcome in outcomes
        ]

    def compare(self, build, ours, earlier):
        """Returns a pair's figures by (number of the request class or -1, metric).

        Each is (earlier figure, figure on trial, how many outcomes on trial are worse than the tolerance
        allows, of how many, the probability that one of an earlier build is). After the release there are
        no earlier outcomes, and only errors are compared.
        """
        comparable = [
            instance
            for instance in self.instances.values()
            if instance.service_time and (not self.comparable_kinds or instance.kind in self.comparable_kinds)
        ]
        service_times = [
            [instance.service_time for instance in comparable if (instance.build is build) is side]
            for side in (False, True)
        ]
        # If only few instances are on trial, they may have a queue for other reasons than the build. If
        # service times are reported, a longer time to answer only counts together with a longer service time.
        alike = all(service_times) and median(service_times[1]) <= median(service_times[0]) * (
            1 + SERVICE_TIME_TOLERANCE
        )
        figures = {(-1, "errors"): error_figures(ours, earlier)}
        if ours and len(earlier) >= MIN_PAIR_OUTCOMES:
            earlier_time = median_time_per_work(earlier)
            our_time = median_time_per_work(earlier if alike else ours)
            slow_counts = [
                sum(time > earlier_time * (1 + LATENCY_TOLERANCE) for time, *_ in sample)
                for sample in (earlier, () if alike else ours)
            ]
            slow_probability = (slow_counts[0] + 1) / (len(earlier) + 2)
            figures[-1, "p50"] = (earlier_time, our_time, slow_counts[1], len(ours), slow_probability)
        for (of_judged, number), outcomes in self.pair_outcomes.items():
            if of_judged:
                figures[number, "errors"] = error_figures(
                    outcomes, self.pair_outcomes.get((False, number), ())
                )
        # Whether the trial slows earlier builds: their service times divided by those before it. The lower
        # quartile is used because other programs slow down some instances.
        increases = sorted(
            instance.service_time / instance.usual_service_time
            for instance in comparable
            if instance.usual_service_time and instance.build is not build
        )
        if (
            self.baseline_time_per_work
            and len(earlier) >= MIN_PAIR_OUTCOMES
            and 2 * len(increases) >= len(self.instances) > 2
        ):
            increase = min(
                increases[len(increases) // 4], median_time_per_work(earlier) / self.baseline_time_per_work
            )
            figures[BASELINE_SLOWDOWN_METRIC] = (1.0, increase, 0, 0, 1.0)
        return figures

    def judge(self, build, pairs):
        """Sets whether a build is in doubt or bad, by the figures of these pairs.

        A metric whose median over the pairs breaches its bound puts the build in doubt. The build is bad if
        most pairs breach it too, and if that is less probable by chance than `false_alarm_probability`. The
        bound is at least the spread of the earlier builds' figures. Latency needs one more pair in breach
        than errors do. If traffic is too thin to close pairs, `pairs` is the open one alone.
        """
        known = build.bad or build.provisionally_bad
        build.in_doubt = False
        build.provisionally_bad = False
        others = [other for other in self.builds.values() if other is not build]
        wrong_answers = sum(other.wrong_answers for other in others)
        answers = sum(other.success_count for other in others)
        if (
            build.wrong_answers >= MIN_WRONG_ANSWERS
            and build.wrong_answers * answers > 2 * wrong_answers * build.success_count
        ):
            # Reported wrong answers and successful answers of this build; wrong answers of all other builds.
            self.mark_bad(
                build,
                f"{build.wrong_answers} of {build.success_count} flagged, {wrong_answers} before",
                known,
                True,
            )
        for key in sorted({key for pair in pairs for key in pair}):
            seen = [pair[key] for pair in pairs if key in pair]
            earlier, ours = (median(figures[side] for figures in seen) for side in (0, 1))
            spread = max(abs(figures[0] - earlier) for figures in seen)
            timed = key[1] != "errors"
            tolerance = SERVICE_TIME_TOLERANCE if key == BASELINE_SLOWDOWN_METRIC else LATENCY_TOLERANCE
            bound = max(tolerance * earlier if timed else ERROR_TOLERANCE, spread)
            breached = sum(figures[1] - figures[0] > bound for figures in seen)
            if ours - earlier > bound:
                build.in_doubt = True
                enough = (breached >= 2 + timed or not build.pairs) and 2 * breached > len(seen)
                if (
                    enough
                    and (probability := probability_bound([figures[2:] for figures in seen]))
                    <= self.false_alarm_probability
                ):
                    # Request class -1 stands for all classes together.
                    why = (
                        f"request class {key[0]} {key[1]} "
                        f"{earlier:.2f} to {ours:.2f}, chance {probability:.5f}"
                    )
                    self.mark_bad(build, f"{breached} of {len(seen)} pairs breach, {why}", known, build.pairs)

    def mark_bad(self, build, why, known, lasting):
        """Marks a build as bad and logs why, unless that was `known`.

        A result from few outcomes (`lasting` is false) only holds until the next test, because false alarms
        would add up over many tests.
        """
        self.log_lines.extend([] if known else [f"build {build.number} bad: {why}"])
        build.provisionally_bad = True
        build.bad = build.bad or bool(lasting)

    def verdict(self, build, now):
        """Returns the verdict on a build, or None if there is none yet."""
        if build.bad or build.provisionally_bad:
            return VERDICT_ROLL_BACK
        if build.phase != ON_TRIAL or self.automatic_stages:
            return VERDICT_HOLD if build.in_doubt and build.phase == ON_TRIAL else None
        # Without any pair there is no verdict until one has been open for the time of two: with an old
        # list, this balancer must not promote a build of which it has no outcomes.
        unmet = not build.pairs and (
            self.pair_started_at is None or now < self.pair_started_at + 2 * PAIR_TIME
        )
        # After a promotion earlier instances stop. A balancer with an old list may not know their successors,
        # and one that has just started has no answers yet to what it sent in this stage.
        earliest = build.stage_began_at + (
            self.min_last_stage_time if build.cap >= 1 else self.min_stage_time
        )
        if (
            now < max(earliest, self.started_at + self.min_stage_time)
            or unmet
            or build.in_doubt
            or self.list_call_at is not None
        ):
            return None
        # Errors that are too few to show in most pairs still prevent a promotion, such as those of a build
        # that fails after a time.
        earlier, ours, *_ = error_figures(list(build.recent_outcomes) + self.pooled(True), self.pooled(False))
        return VERDICT_PROMOTE if ours - earlier <= ERROR_TOLERANCE else None

    def cast_vote(self, now, host):
        """Votes on the reported build if there is a new verdict or the last vote has to be renewed.

        Returns whether it voted.
        """
        build = self.reported_build
        movable = build is not None and now >= self.vote_busy_until and build.phase in (ON_TRIAL, RELEASED)
        if not movable or (verdict := self.verdict(build, now)) is None:
            return False
        if (vote := (build.number, build.stage, verdict)) == self.last_vote and now < self.next_vote_at:
            return False
        self.last_vote = vote
        self.next_vote_at = now + self.vote_answer_time
        self.vote_busy_until = now + self.vote_answer_time
        host.vote(*vote)
        return True


def latency_keys(request):
    """Returns the keys of the request's class and tenant."""
    return (("class", request.request_class.number), ("tenant", request.tenant))


def median_time_per_work(outcomes):
    """Returns the median of time to answer divided by work over these outcomes."""
    return median(time for time, _, _ in outcomes)


def error_figures(ours, earlier_outcomes):
    """Returns the figures on errors, as `Balancer.compare` describes them."""
    earlier = without_faulty_instance(earlier_outcomes)
    ours = without_faulty_instance(ours)
    earlier_rate = sum(erred for _, erred, _ in earlier) / max(len(earlier), 1)
    erred = sum(erred for _, erred, _ in ours)
    return earlier_rate, erred / max(len(ours), 1), erred, len(ours), earlier_rate + ERROR_TOLERANCE


def without_faulty_instance(outcomes):
    """Returns the outcomes without those of one faulty instance, if there is one.

    An instance is faulty if it errs more than three times as often as those that have run at least as long.
    A build that fails after a time fails on its oldest instance first, so younger instances don't count as
    peers.
    """
    instances = list(dict.fromkeys(outcome[2] for outcome in outcomes))
    worst = max(
        instances, key=lambda instance: instance.error_count / (instance.answer_count + 1), default=None
    )
    peers = [
        instance for instance in instances if instance is not worst and instance.started <= worst.started
    ]
    errors = sum(peer.error_count for peer in peers)
    answers = sum(peer.answer_count for peer in peers)
    if worst and worst.error_count * answers > 3 * (errors + 1) * worst.answer_count:
        return [outcome for outcome in outcomes if outcome[2] is not worst]
    return outcomes
