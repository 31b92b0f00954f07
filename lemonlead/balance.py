"""Every decision of a balancer: where a request goes, what becomes of it, and how a build is voted on.

The host makes one `Balancer` a gateway and reports what happens by the "inputs", which only update what is
known. It then calls `decide(now, door)` until that returns False: each makes one decision through the door
(`interface.py`). `wake_at()` tells when to ask again unasked. For why, see `docs/`."""

import random
from collections import deque
from itertools import islice
from math import inf
from statistics import median

from .interface import VERDICT_ROLL_BACK, COUNTED, VERDICT_HOLD, VERDICT_PROMOTE, OVER_ALLOWANCE
from .interface import CANCELLED, ERRED, NEVER_RAN, REJECTED, RESET, UNREADABLE, SUCCEEDED, TIMED_OUT
from .interface import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT, UNCONNECTED, BAD_REQUEST, Attempt
from .interface import ON_TRIAL, READY, RELEASED
from .instance_table import InstanceTable
from .significance import chance, smoothed
from .records import Builds, InstanceGroup, InstanceState, RequestTimers, recent

MS, TICK = 1_000_000, 100_000_000  # a tick: how often builds are judged; a fraction of any pair
PAIRS, SEEN = 4, 200  # pairs in view; a build's last outcomes kept
PAIR, PAIR_OUTCOMES = 1000 * MS, 8  # open so long, and until each build has as many: slower, then longer
WARM_UP = 1000 * MS  # pairs start once each machine on trial has run so long; being cold is told (`warmth`)
TOLERANCE, SERVICE_TOLERANCE, ERROR_TOLERANCE = 1.0, 0.5, 0.02  # a breach is worse by more than this
USUAL = 6  # an unhinted request's work goes so often into its objective
LOOKS, FLAGS = 8, 3  # looks at thin evidence a trial; wrong answers that send back, at twice the usual rate
PACE_AGE = 2000 * MS  # rarer answers count for more; one after so long a silence counts whole
LEAST = 0.5  # of the mean revenue: none is shed by less, so that it is let in half as often as at the mean
EASY, STEEP = 0.45, 2  # the share of its objective that a request may take; shed by so many times the rest
OVERDUE = 2.5  # times what its work usually takes; one answer in twenty or thirty is later
LOST = 4  # a zone and kind costs so much more when all that was sent there of late was lost on the way
RESCUES = 0.1  # second copies (or retries of what is slow) a request taken, so that a jam is not fed
NEAR = 24  # instances that a balancer keeps to, more if it can use them often: its stretch of a ring of all
GOLDEN = 0.618034  # stretches that start at the multiples of this, modulo 1, cover the ring evenly
HEED, ANEW, QUIET = 500 * MS, 2000 * MS, 8  # before news count as told; how long a list of unknown age holds
SERVES_ON = 3000 * MS  # for so long an instance may still answer what comes after its drain was told
STALE, WAITS = 5000 * MS, 8  # what is so old counts half; outcomes that show a class or tenant to wait
STRAIN = (-1, "strain")  # the pair's figure of the earlier build by what it was before the trial


class Balancer:
    def __init__(self, start):
        release, classes, balancers = start.release, start.request_classes, max(start.balancers, 1)
        for class_ in classes:  # where no aim is told, the deadline is one; only ratios of such times count
            class_.latency_objective = class_.latency_objective or class_.deadline or 1000 * MS
        self.rng, self.zone = random.Random(start.seed), start.zone
        self.across = 1 + start.prices.get("CrossZone", 0.0)
        self.may_duplicate, self.may_cancel = start.may_duplicate, start.may_cancel
        self.attempts_cap, self.retry_after_cap = start.attempts_cap, start.retry_after_cap
        self.connect_time, self.spare, self.max_list_call_gap = (
            start.connect_time,
            2 * start.step,
            start.max_list_call_gap,
        )
        self.cold_time, self.cold_share = start.cold_time, max(start.cold_share, 0.01)
        self.cold_room = max(1 - 1 / max(start.cold_multiple, 0.1), 0.1)  # of its share; for bursts and luck
        self.mean_revenue = sum(class_.revenue for class_ in classes) / max(len(classes), 1) or 1.0
        self.class_work = {class_.number: class_.latency_objective / USUAL for class_ in classes}
        self.blind = max(0.0, 1 - USUAL / balancers)  # the share of a machine's load that others send unseen
        self.builds = Builds(*release.caps[:1] or [0.0], PAIRS, SEEN)
        self.sent_window, self.taken_window = release.window + 2 * start.step, release.window - 2 * start.step
        self.free_attempts, self.per_class = release.free_attempts, release.per_class
        self.guarded_stages, self.forward_only = release.guarded_stages, release.forward_only
        self.clocked = release.control == "automatic"
        self.vote_lifetime, self.stage_time = (
            release.vote_lifetime,
            release.bake + 2 * WARM_UP,
        )  # none ends sooner
        # Nor does the last, after which earlier machines go, before what is sent in it is due its answers.
        objectives = [class_.latency_objective for class_ in classes] or [0]
        self.last_time = max(self.stage_time, release.bake + sum(objectives) // len(objectives))
        self.born = self.paced_at = start.now
        # How often one balancer may be wrong, so that as many as send a build back are so by rare luck only.
        self.chance = max(max(release.roll_back_votes_needed, 1) ** 0.5 - 1.3, 0.07) ** 2 / balancers / LOOKS
        self.vote_wait = release.vote_timeout + start.step + int(balancers * 1e9 / (release.votes_per_s or 1))
        self.instances, self.groups = (
            InstanceTable(start.balancer_index * GOLDEN % 1.0),
            {},
        )  # by id, by zone and kind
        # The members in the order in which this balancer uses them, and the time between requests, smoothed.
        self.ring, self.gap, self.last = self.instances.arc(()), 1e9, start.now
        # The build of the last news; the one on trial that has machines; the one that votes can still move.
        self.reported_build = self.trial = self.judged = None
        self.like = set()  # kinds of machine that run it and the earlier build, where there are any
        self.taken, self.work_in = {}, 0  # as a build's `sent`: arrivals of requests; the work let in
        self.mean_work = sum(self.class_work.values()) / max(len(self.class_work), 1)  # of a request taken
        self.pace, self.rescues = 0.0, 5.0  # time to answer by objective, smoothed; what RESCUES left over
        # Of each class and tenant: last times by objective; lower quartile; if it waits, its last test.
        self.times, self.lows, self.tested = {}, {}, {}
        self.due, self.notes, self.wakes = deque(), deque(), RequestTimers()  # requests, lines
        # The more start together, the longer they spread their first call for the list.
        spread = min(25 * MS * (balancers - 1), 2000 * MS, start.max_list_call_gap // 2 or 2000 * MS)
        first = start.now + int(self.rng.random() * spread)
        self.next_tick, self.ask_at = start.now, first if start.ask_for_list else None
        # After so long what was not heard counts as told; as of when the list in hand holds all there is.
        self.unheard, self.current = (
            start.assumed_known_after - HEED if start.assumed_known_after else inf,
            -inf,
        )
        self.pair_at, self.pair = None, {}  # the pair now open: its start, its outcomes by (on trial, class)
        self.scarce, self.idle_time = 0.0, start.idle_time - start.step  # share of attempts left unconnected
        self.news = self.look = False  # an outcome came since the pair was last judged; a vote may be due
        self.share = self.calm_time = 0.0  # of the load, due to the trial; last pair's median with no trial
        self.vote_out, self.vote_at, self.vote_busy = None, start.now, start.now  # that stands, due, awaited
        self.vote_pause = 0  # what it waits after it was turned away as one too many

    # ---- inputs: they only update what is known

    def list_received(self, now, lines, whole, fresh):
        """The list, whole or its changes. It may be stale, and an id may stand for a new machine."""
        named = {row.id for row in lines}
        for row in lines:
            old = self.instances.get(row.id)
            if old is None or (old.build.number, old.started) != (row.build, row.started):
                group = self.groups.setdefault((row.zone, row.kind), InstanceGroup())
                # Balancers start at random within their share, so that a cold one is not met by all at once.
                due = self.rng.random() * self.mean_work * max(len(self.instances), len(lines))
                self.instances.put(
                    InstanceState(row, self.builds[row.build], group, now, 3.0, self.work_in, due)
                )
            self.instances[row.id].ready = row.state == READY
        seen = self.instances if whole else named  # else only what is told can have left
        self.instances.settle([id for id in seen if id not in named or not self.instances[id].ready])
        if self.current == -inf and self.unheard < inf and self.ask_at:
            holds = (now - max((row.started for row in lines), default=now)) // QUIET
            holds = min(max(holds, ANEW), self.unheard)
            self.current, calls = now - self.unheard + holds, (self.ask_at - now) * holds // ANEW
            self.ask_at = now + min(calls, self.max_list_call_gap // 2 or calls)  # while it holds
        self.ask_at, self.current = (None, inf) if fresh else (self.ask_at, self.current)
        self.ring = self.instances.arc(self.builds.values())
        self.see_trial()

    def list_failed(self, now, current):
        self.current = current if self.current == inf else max(current, self.current)
        longest = min(
            900 * MS, 2 * self.max_list_call_gap or 900 * MS
        )  # a call that failed holds for four times
        self.ask_at = now + int(self.rng.uniform(longest / 3, longest))

    def request_arrived(self, now, request):
        self.wakes.add(request.deadline, request)  # first: it ends then, also if a decision on it fails
        request.work = request.work or int(self.class_work[request.request_class.number])
        for counted in self.counts_of(request):
            self.taken.setdefault(counted, deque()).append(now)
            recent(self.taken[counted], now - self.taken_window)
        self.mean_work += 0.01 * (request.work - self.mean_work)
        self.gap, self.last = self.gap + 0.05 * (now - self.last - self.gap), now
        self.rescues = min(self.rescues + RESCUES * (1 - self.pace * self.blind), 20.0)
        if self.trial is not None:
            # For like load: machines on trial are due as much as earlier ones, by what they can do.
            def rate(m):
                return self.able(m, now) / (m.group.slowness or 1.0)

            def sort(m):
                return m.group, m.started if self.warmth(m, now) < 1 else 0

            self.share = self.instances.share(self.trial, rate, sort, now // STALE)
            self.trial.credit = min(self.trial.credit + self.share, 2.0)
        self.due.append(request)

    def request_left(self, now, request):
        request.finished = True  # also once its answer streams: the end is the client's then

    def attempt_ended(self, now, attempt, end, took, over, report):
        attempt.end, member, request = end, attempt.instance, attempt.request
        class_, member.connection_free_at = request.request_class, attempt.connection_free_at
        written_off = member.out.pop(attempt, attempt) is not None
        member.held -= 0 if written_off else request.work
        request.finished = request.finished or over
        self.due.extend([] if request.finished else [request])
        number, objective, waits = class_.number, max(class_.latency_objective, 1), self.waits(request)
        slow, answered = took > objective, end in (SUCCEEDED, ERRED, REJECTED)
        if end in (SUCCEEDED, ERRED, TIMED_OUT):
            for kind in kinds_of(request):
                times = self.times.setdefault(kind, deque(maxlen=WAITS))
                if took < 0.4 * objective and self.lows.get(kind, 0.0) > 0.8:
                    times.clear()  # it waits no longer; its tests are few, and the old times would outlast it
                times.append(took / objective)
                self.lows[kind] = sorted(times)[WAITS // 4] if len(times) == WAITS else 0.5
        silent = member.heard_at <= attempt.sent_at and end in (TIMED_OUT, CANCELLED)
        self.scarce += 0.1 * ((end == UNCONNECTED) - self.scarce)
        self.instances.keep_open(member, now + self.idle_time if answered else 0)  # unsure where none came
        if answered or end in (UNCONNECTED, RESET):
            member.group.lost += 0.2 * ((not answered) - member.group.lost)
        if answered or end in (UNREADABLE, BAD_REQUEST):
            # What is spoilt on the way, or fit for none, tells no more. It could hide a build that spoils.
            member.heard_at, member.newest, member.strikes = now, max(member.newest, attempt.sent_at), 0
            member.answered, member.failed = member.answered + 1, member.failed + (end == ERRED)
            member.shunned_until = 0
        elif end in (UNCONNECTED, RESET) or silent and end == TIMED_OUT and not written_off:
            self.strike(member, now, 0.5 if end == RESET else 1)
        if not waits and (answered or end in (TIMED_OUT, CANCELLED) and slow and not written_off):
            # Guards against those that fail at once and draw all. It could idle one that fails one kind.
            spent = objective if end in (ERRED, REJECTED) else took
            # A tenth of each; after a silence the whole way down, as one that sheds hears little. Not up: one
            # late answer makes no overload.
            part, aged, self.paced_at = min(spent / objective, 2.0), (now - self.paced_at) / PACE_AGE, now
            self.pace += (min(max(aged, 0.1), 1.0) if part < self.pace else 0.1) * (part - self.pace)
            ratio = spent / max(request.work, 1)
            say = min(request.work / self.mean_work, 1) ** (1 - self.blind)
            for known, rate in ((member.group, 0.1), (member, 0.15)):  # a light one that queued says little
                known.slowness += rate * say * (ratio - known.slowness) if known.slowness else ratio
            self.class_work[number] += 0.01 * (request.work - self.class_work[number])
        # Guards against queues, whatever fills them. The floor is for slow but idle machines.
        if end == REJECTED or not waits and member.slowness * self.class_work[number] > objective / 2.5:
            if now - member.cut_at > 200 * MS:  # one jam cuts once; what is told of times is in the ratios
                member.cut_at, member.limit = now, max(member.limit * 0.8, 1.0)
        elif end == SUCCEEDED and 2 * (len(member.out) + 1) >= member.limit:
            member.limit += 0.25 / member.limit
        if end == SUCCEEDED:
            member.proved(attempt.connected_since, attempt.sent_at)
            member.build.answers, group = member.build.answers + 1, member.group
            group.took = smoothed(group.took, took, 0.05)
            group.work = smoothed(group.work, max(request.work, 1), 0.05)
        if end == SUCCEEDED and self.forward_only and request.key:
            member.build.keys.update({request.key, request.client_key or request.key})
        # Answers are the build's, and what was waited for in vain while others got theirs; the path is not.
        theirs = end in (SUCCEEDED, ERRED) or slow and not over and (self.blind > 0.5 or not silent)
        if self.pair_at is not None and not waits and theirs:
            self.note_outcome(now, member, request, end, took)
        if service := report.get("svc_ms"):
            member.service = smoothed(member.service, service, 0.3)
            if self.trial is None:
                member.usual = smoothed(member.usual, service, 0.1)

    def strike(self, member, now, weight):
        """Guards against the dead, silent or cut off; one reset is no sign. It could harm slow connects."""
        member.strikes += weight
        # Of the network and of restarts, not of requests: whatever their deadlines, it is tried again in 3 s.
        wait = min(250 * MS << min(int(member.strikes), 4), 3000 * MS) if member.strikes >= 1 else 0
        member.shunned_until = now + int(wait * self.rng.uniform(0.7, 1.0))

    def wrong_answer_reported(self, now, instance_id):
        if (member := self.instances.get(instance_id)) is not None:
            member.build.flags += 1

    def stage_reported(self, now, number, stage, phase, cap, age):
        build = self.reported_build = self.builds[number]
        build.began = build.began if (build.stage, build.phase) == (stage, phase) else now - age
        build.stage, build.phase, build.cap, build.tried = stage, phase, cap, build.tried or phase == ON_TRIAL
        self.see_trial()

    def vote_answered(self, now, answer):
        """Guards against many that ask a full platform in step: those that find no harm ask ever less often,
        so that votes back get through, and a vote that stands is not renewed early at another's cost."""
        back = self.vote_out is not None and self.vote_out[2] == VERDICT_ROLL_BACK
        if answer == OVER_ALLOWANCE and not back:
            self.vote_pause = min(2 * self.vote_pause or 400 * MS, self.vote_lifetime)
        short, part = 400 * MS, self.rng.uniform(0.5, 1.0)
        wait = short if back else max(self.vote_pause, short)
        self.vote_busy, self.vote_at = now + int(part * short), now + int(part * wait)
        if answer == COUNTED:
            late = 0.2 if self.vote_pause else 0.0
            self.vote_busy, self.vote_pause = now, self.vote_pause // 2
            self.vote_at = now + int(self.vote_lifetime * (self.rng.uniform(0.6, 0.8) + late))

    # ---- decisions, pulled one by one

    def wake_at(self):  # ticks are waited for where they can change something; most balancers idle
        at = self.next_tick + (0 if self.trial or self.judged else 50 * TICK)
        return min(at, self.ask_at or at, self.wakes.first(at))

    def decide(self, now, door):
        if now >= self.next_tick:
            self.tick(now)
        self.due.extend(self.wakes.due(now))
        if self.notes:
            door.log(self.notes.popleft())
            return True
        if self.ask_at is not None and now >= self.ask_at:
            self.ask_at = now + 5000 * MS  # should no answer come at all; a host's calls end sooner
            door.watch_list()
            return True
        look, self.look = self.look, False
        if look and self.cast_vote(now, door):
            return True
        while self.due:
            if not (request := self.due.popleft()).finished and self.settle(request, now, door):
                return True
        return False

    def settle(self, request, now, door):
        out = [attempt for attempt in request.attempts if not attempt.end]
        if out and now < request.deadline:
            return self.rescue(request, out, now, door)
        # Guards against the jam in which each request is turned away at many full machines.
        spent = any(
            s.end == BAD_REQUEST or s.end == REJECTED and self.rescues < 1 for s in request.attempts[-1:]
        )
        if spent or now == request.arrived and self.sheds(request, now) or now >= request.deadline:
            return self.give_up(request, door)
        self.work_in += request.work if now == request.arrived else 0
        if (member := self.choose(request, now)) is not None:
            return self.attempt(request, member, now, door)
        class_ = request.request_class
        wait = int(class_.latency_objective / 8 * min(class_.revenue / self.mean_revenue, 1.0))
        if now >= request.arrived + wait or len(request.attempts) >= self.attempts_cap:
            return self.give_up(request, door)
        until = min(request.arrived + wait, request.deadline)  # the longer, the seldomer it is looked at
        self.wakes.add(min(until, now + max(TICK // 4, (until - request.arrived) // 32)), request)
        return False

    def attempt(self, request, member, now, door):
        self.rescues -= any(attempt.end == REJECTED for attempt in request.attempts[-1:])
        request.attempts.append(attempt := Attempt(request, len(request.attempts), member, now))
        member.heard_at = member.heard_at if member.out else now
        member.out[attempt] = None
        member.held += request.work
        if self.on_trial(member.build):
            attempt.counted_from = now
            for counted in self.counts_of(request):
                member.build.sent.setdefault(counted, deque()).append(now)
            member.build.credit = max(member.build.credit - 1.0, -3.0)
        member.cold_from, member.cold_due = self.work_in, request.work * len(self.instances)
        door.attempt(request, member.id, request.deadline - now)
        member.connection_free_at = attempt.connection_free_at
        self.wakes.add(self.overdue_at(attempt), request)
        return True

    def rescue(self, request, out, now, door):
        """Guards against machines that are silent, stalled or jammed, or lose requests; in a jam of all the
        budget binds. What later ones overtook is lost and free; it could begin a heavy one twice."""
        last, member = out[-1], out[-1].instance
        if now < self.overdue_at(last) or self.waits(request):
            return False
        lost, silent = member.newest > last.sent_at, member.heard_at <= last.sent_at
        if (lost or silent) and member.out.pop(last, last) is None:  # written off: it holds no place there
            member.held -= request.work
            self.strike(member, now, silent * min(0.5 + self.blind, 1.0))
            if silent:  # its answer may still come and clear this; with few attempts it tells most
                member.group.lost += 0.2 * (1 - member.group.lost)
                pause = int((request.deadline - now) * self.blind)
                member.shunned_until = max(member.shunned_until, now + pause)
        if not lost and (len(out) > 1 or self.rescues < 1):
            return False
        if self.may_duplicate and (other := self.choose(request, now)) is not None:
            self.rescues -= not lost
            return self.attempt(request, other, now, door)
        barred = self.may_duplicate or not self.may_cancel or request.request_class.effect != IDEMPOTENT
        if barred or not (lost or silent):
            return False
        self.rescues -= 1
        door.cancel(last)
        return True

    def overdue_at(self, attempt):  # by what its work takes, too: a heavy request is not begun twice
        request, group = attempt.request, attempt.instance.group  # half of it is waiting, heavy or light
        usual = group.took * (1 + request.work / group.work) / 2 if group.work else request.work
        return attempt.sent_at + max(request.request_class.latency_objective // 2, int(OVERDUE * usual))

    def give_up(self, request, door):
        request.finished, class_, ends = True, request.request_class, {s.end for s in request.attempts}
        alone = (
            class_.effect == NON_IDEMPOTENT or class_.effect == DEDUPLICATED and class_.repeat_scope != "all"
        )
        if BAD_REQUEST in ends or alone and not ends.issubset(NEVER_RAN):
            door.abort(request)
        else:
            door.reject(request, min(self.retry_after_cap, class_.latency_objective // 16))
        return True

    # ---- where to

    def choose(self, request, now, whole=False):
        """The instance that costs least, untried before tried, of the build that is due an attempt first."""
        tried = [attempt.instance for attempt in request.attempts]
        due = self.trial is not None and self.trial.credit >= 1 and not self.trial.bad
        trial = {build for build in self.builds.values() if self.on_trial(build)}
        pool = self.ring if whole else self.instances.arc(trial if due else {*self.builds.values()} - trial)
        if self.scarce > 0.05 and not whole:
            # Guards against connections that are few or slow. When machines die it keeps to what answers.
            pool = pool.open(now) or pool
        if not whole and len(pool) > (near := max(NEAR, int(self.idle_time / 8 / (self.gap + 1)))):
            # Guards against a handshake for each attempt where many share many. It could load some unevenly.
            pool = islice((m for m in pool if now >= m.shunned_until), near)
        best = least = None
        for member in pool:
            rank = (member in tried, (member.build in trial) is not due, self.cost(member, request, now))
            better = (best is None or rank < least) and self.usable(member, request, now)
            if better and self.may_attempt(request, member, now):
                best, least = member, rank
        return best or (None if whole else self.choose(request, now, True))

    def sheds(self, request, now):
        """Where many share a machine, none can bound its queue: as answers take longer, each rejects more
        of its own, the lowest revenue first. It could reject what has room elsewhere."""
        if self.waits(request):  # it would only fill slots; one in two objectives shows when that ends
            kinds, pause = kinds_of(request), 2 * request.request_class.latency_objective
            if now < max(self.tested.get(kind, 0) for kind in kinds) + pause:
                return True
            self.tested.update(dict.fromkeys(kinds, now))
        excess = min(STEEP * (self.pace - EASY), 0.9) * self.blind
        weight = max(request.request_class.revenue / self.mean_revenue, LEAST)
        return excess > 0 and self.rng.random() < excess**weight

    def waits(self, request):
        """Whether its class or tenant alone waits at all machines: this tells nothing of them or a build."""
        theirs = max(self.lows.get(kind, 0.0) for kind in kinds_of(request))
        return theirs > 0.8 and min(self.lows.values()) < 0.4

    def cost(self, member, request, now):
        """Time to answer by what is out; old figures yield to the group's; the blinder, the more chance. Few
        attempts of one's own tell of a lost zone sooner than of each instance. A connection's rest adds."""
        slowness = member.group.slowness or 1.0
        if member.slowness:
            slowness += (member.slowness - slowness) / (1 + (now - member.heard_at) / STALE)
        across = 1.0 if member.zone == self.zone else self.across
        chance = self.rng.uniform(0.9, 1.1) * self.rng.expovariate(1.0) ** (self.blind / 2)
        time = (1 + LOST * member.group.lost) * slowness * (request.work + member.held) * across * chance
        return time / self.warmth(member, now) + max(member.connection_free_at - now, 0)

    def usable(self, member, request, now):
        class_ = request.request_class
        barred = member.held >= member.limit * self.mean_work or now < member.shunned_until
        tested = member.strikes >= 1 and (member.out or class_.effect == NON_IDEMPOTENT)
        if barred or tested or self.left_out(member.build, class_):
            return False
        quiet = now - member.heard_at if member.out else 0  # below the floor, `rescue` goes by the aim alone
        return quiet <= max(4 * (member.group.slowness or 2.0) * self.class_work[class_.number], 300 * MS)

    def left_out(self, build, class_):  # a bad build; one not on trial any more serves until others may
        if not build.bad or self.on_trial(build):
            return build.bad and (class_.effect != IDEMPOTENT or self.share < 0.5)
        rooms = [len(b.ring) * (b.cap if self.on_trial(b) else 1) for b in self.builds.values() if not b.bad]
        return sum(rooms) >= len(build.ring)

    def may_attempt(self, request, member, now):
        """The rules. Every attempt passes here, whatever asked for it."""
        spent = now >= request.deadline or len(request.attempts) >= self.attempts_cap
        if spent or not self.listed_still(member, now):
            return False
        class_ = request.request_class
        ran = [attempt for attempt in request.attempts if attempt.end not in NEVER_RAN]
        if ran and class_.effect == NON_IDEMPOTENT or not self.may_duplicate and any(not s.end for s in ran):
            return False
        if ran and class_.effect == DEDUPLICATED:
            group = class_.repeat_scope
            same = group == "all" or all(getattr(s.instance, group) == getattr(member, group) for s in ran)
            if not same or now >= self.repeated_by(ran) - self.connect_time:
                return False
        if (can := self.able(member, now)) < 1 and (self.work_in - member.cold_from) * can < member.cold_due:
            return False
        fit = not self.goes_back(request, member)
        return fit and (not self.on_trial(member.build) or self.exposure_left(member.build, request, now))

    def listed_still(self, member, now):
        """Guards against drains that discovery could not tell us: what serves on connections from a time of
        which all counts as told had not drained SERVES_ON before. It could leave none."""
        up_to = member.up_since(max(self.current, now - self.unheard - HEED)) - SERVES_ON
        return member.ready and now - max(self.current, up_to) <= self.unheard

    def may_begin(self, now, attempt):
        """Asked before the first byte of an attempt, by a host whose attempts may wait for a connection:
        until when its last byte has to be written, 0 if it may not begin."""
        request, member, by = attempt.request, attempt.instance, attempt.request.deadline
        ran = [other for other in request.attempts if other is not attempt and other.end not in NEVER_RAN]
        if ran and request.request_class.effect == DEDUPLICATED:
            by = min(by, self.repeated_by(ran))
        fit = not request.finished and now < by and self.instances.get(member.id) is member
        fit = fit and self.listed_still(member, now) and not self.goes_back(request, member)
        if fit and self.on_trial(member.build):  # it counts from now on, as it may have waited past a window
            sent = [member.build.sent.setdefault(counted, deque()) for counted in self.counts_of(request)]
            for times in [times for times in sent if attempt.counted_from in times]:
                times.remove(attempt.counted_from)
            if fit := self.exposure_left(member.build, request, now):
                attempt.counted_from = now
                for times in sent:
                    times.append(now)
        return by if fit else 0

    def goes_back(self, request, member):  # keys are kept only where they bind
        told, keys = self.reported_build, (request.key, request.client_key)
        older = told is not None and member.build.number < told.number and told.phase in (ON_TRIAL, RELEASED)
        return older and not told.keys.isdisjoint(keys)

    def repeated_by(self, ran):  # until when instances drop a repeat of what they may have run
        return ran[0].sent_at + ran[0].request.request_class.repeat_window - self.spare

    def exposure_left(self, build, request, now):
        """The window is a little wider for attempts than for requests. A lower cap binds at once."""
        stage = build.stage if build is self.reported_build else 0
        if build.cap <= 0 or (stage < self.guarded_stages and request.request_class.effect != IDEMPOTENT):
            return False
        for counted in self.counts_of(request):
            sent = recent(build.sent.get(counted, ()), now - self.sent_window - 1)
            taken = recent(self.taken.get(counted, ()), now - self.taken_window)
            if sent + 1 > self.free_attempts + build.cap * taken:
                return False
        return True

    def warmth(self, member, now):  # the share of its capacity that it is sure to have; 1 when it is warm
        age = now - member.started if member.started else self.cold_time
        return min(self.cold_share + (1 - self.cold_share) * max(age, 0) / max(self.cold_time, 1), 1.0)

    def able(self, member, now):  # the part of a warm machine's share: each keeps to it, so their sum does
        warmth = self.warmth(member, now)
        return warmth * self.cold_room if warmth < 1 else 1.0

    def on_trial(self, build):
        if self.reported_build is None:
            return build is self.trial
        return build.number > self.reported_build.number or (
            build is self.reported_build and build.phase != RELEASED
        )

    def counts_of(self, request):
        """What a cap counts it by: class asked and class given; neither lends the other what it took."""
        number = request.request_class.number if self.per_class else 0
        return (
            (request.client_class.number, ~number) if self.per_class and request.client_class else (number,)
        )

    # ---- the gate: the build on trial against the earlier one, in pairs of short windows

    def see_trial(self):
        numbers = sorted(number for number, build in self.builds.items() if build.ring)
        trial = self.builds[numbers[-1]] if numbers else None
        trial = (
            trial if trial and (self.on_trial(trial) if self.reported_build else len(numbers) > 1) else None
        )
        judged = (
            told
            if (told := self.reported_build) and told.tried and told.phase in (ON_TRIAL, RELEASED)
            else None
        )
        if trial is not self.trial or judged is not self.judged:
            if trial is not None and trial is not self.trial:
                trial.credit = self.rng.random()  # small shares of little traffic add up over balancers
            self.trial, self.judged, self.pair_at, self.pair = trial, judged, None, {}
        self.look, number = True, min([self.reported_build.number if self.reported_build else 0, *numbers])
        for old in [old for old in self.builds if old < number]:
            del self.builds[old]  # no machine runs it and no news is of it
        earlier = {kind for build in self.builds.values() if build is not judged for kind in build.kinds}
        self.like = earlier.intersection(judged.kinds) if judged else set()

    def note_outcome(self, now, member, request, end, took):
        on, warmth = member.build is self.judged, self.warmth(member, now)
        # Like against like: the same kinds of machine, and no cold ones on the earlier side.
        if (not self.like or member.kind in self.like) and (on or warmth == 1):
            self.news, outcome = True, (took * warmth / max(request.work, 1), end == ERRED, member)
            self.pair.setdefault((on, request.request_class.number), []).append(outcome)

    def tick(self, now):
        self.next_tick, self.look = now + TICK, True
        build = self.judged
        if self.pair_at is None:
            newest = [b.starts[-1] for b in self.builds.values() if b.starts and build in (None, b)]
            self.pair_at = now if newest and max(newest) + WARM_UP <= now else None
        elif now - self.pair_at >= PAIR and self.news:
            self.news = False
            on, off = self.pooled(True), self.pooled(False)
            alone = build is None or build.phase == RELEASED  # an earlier one may stay listed, hardly used
            if len(on if build else off) >= PAIR_OUTCOMES and (alone or len(off) >= PAIR_OUTCOMES):
                if build is None:
                    self.calm_time = middle(off)
                else:
                    build.pairs.append(self.compared(build, on, off))
                    build.seen.extend(on)
                    self.judge(build, build.pairs)
                self.pair_at, self.pair = now, {}
            elif build is not None and not build.pairs and on:
                self.judge(build, [self.compared(build, on, off)])

    def pooled(self, on):
        return [outcome for (which, _), side in self.pair.items() if which is on for outcome in side]

    def compared(self, build, on, off):
        """Of each metric: the earlier figure, the trial's, how many of its outcomes are worse than tolerance
        allows, of how many, how likely an earlier one is so. After the release only errors, with none."""
        fit = [m for m in self.instances.values() if m.service and (not self.like or m.kind in self.like)]
        services = [[m.service for m in fit if (m.build is build) is on] for on in (False, True)]
        # A queue at few machines is not the build's: where told, longer answers want longer service.
        alike = all(services) and median(services[1]) <= median(services[0]) * (1 + SERVICE_TOLERANCE)
        figures = {(-1, "errors"): erring(on, off)}
        if on and len(off) >= PAIR_OUTCOMES:
            earlier, ours = middle(off), middle(off if alike else on)
            over = [sum(t > earlier * (1 + TOLERANCE) for t, *_ in o) for o in (off, () if alike else on)]
            usual = (over[0] + 1) / (len(off) + 2)
            figures[-1, "p50"] = (earlier, ours, over[1], len(on), usual)
        for (which, class_), side in self.pair.items():
            if which:
                figures[class_, "errors"] = erring(side, self.pair.get((False, class_), ()))
        # Service time by that before it; the lower quartile, as other programs slow but some.
        strains = sorted(m.service / m.usual for m in fit if m.usual and m.build is not build)
        if self.calm_time and len(off) >= PAIR_OUTCOMES and 2 * len(strains) >= len(self.instances) > 2:
            strain = min(strains[len(strains) // 4], middle(off) / self.calm_time)
            figures[STRAIN] = (1.0, strain, 0, 0, 1.0)
        return figures

    def judge(self, build, pairs):
        """A metric whose medians breach is a doubt; if most pairs breach too, by more than chance does in as
        many balancers as send a build back, it is bad. The floor is the earlier build's spread alone. Times
        want a breach more than errors. Where traffic is too thin for pairs, the open one is all there is."""
        known, build.doubt, build.leaning = build.bad or build.leaning, False, False
        others = [other for other in self.builds.values() if other is not build]
        flags, answers = sum(other.flags for other in others), sum(other.answers for other in others)
        if build.flags >= FLAGS and build.flags * answers > 2 * flags * build.answers:
            self.condemn(build, f"{build.flags} of {build.answers} flagged, {flags} before", known, True)
        for key in sorted({key for pair in pairs for key in pair}):
            seen = [pair[key] for pair in pairs if key in pair]
            earlier, ours = (median(figures[side] for figures in seen) for side in (0, 1))
            floor = max(abs(figures[0] - earlier) for figures in seen)
            timed = key[1] != "errors"
            share = SERVICE_TOLERANCE if key == STRAIN else TOLERANCE
            bound = max(share * earlier if timed else ERROR_TOLERANCE, floor)
            breached = sum(figures[1] - figures[0] > bound for figures in seen)
            if ours - earlier > bound:
                build.doubt = True
                enough = (breached >= 2 + timed or not build.pairs) and 2 * breached > len(seen)
                if enough and (luck := chance([figures[2:] for figures in seen])) <= self.chance:
                    why = f"request class {key[0]} {key[1]} {earlier:.2f} to {ours:.2f}, chance {luck:.5f}"
                    self.condemn(build, f"{breached} of {len(seen)} pairs breach, {why}", known, build.pairs)

    def condemn(self, build, why, known, lasting):
        """Thin finds stand only while their evidence does: by many looks luck would add up."""
        self.notes.extend([] if known else [f"build {build.number} bad: {why}"])
        build.leaning, build.bad = True, build.bad or bool(lasting)

    def verdict(self, build, now):
        if build.bad or build.leaning:
            return VERDICT_ROLL_BACK
        if build.phase != ON_TRIAL or self.clocked:
            return VERDICT_HOLD if build.doubt and build.phase == ON_TRIAL else None
        # Unjudged once a pair stood open for two pairs' time; a lagging list must pass nothing unmet.
        unmet = not build.pairs and (self.pair_at is None or now < self.pair_at + 2 * PAIR)
        # Nor by one whose list is old: on means that earlier machines go, and it may know none to come.
        # Nor by one that has just started: what it sent in this stage has not been answered yet either.
        least = build.began + (self.last_time if build.cap >= 1 else self.stage_time)
        if now < max(least, self.born + self.stage_time) or unmet or build.doubt or self.ask_at is not None:
            return None
        # Errors too few for most pairs, as of a build that fails late, hold it all the same.
        earlier, ours, *_ = erring(list(build.seen) + self.pooled(True), self.pooled(False))
        return VERDICT_PROMOTE if ours - earlier <= ERROR_TOLERANCE else None

    def cast_vote(self, now, door):
        build = self.reported_build
        movable = build is not None and now >= self.vote_busy and build.phase in (ON_TRIAL, RELEASED)
        if not movable or (verdict := self.verdict(build, now)) is None:
            return False
        if (vote := (build.number, build.stage, verdict)) == self.vote_out and now < self.vote_at:
            return False
        self.vote_out, self.vote_at, self.vote_busy = vote, now + self.vote_wait, now + self.vote_wait
        door.vote(*vote)
        return True


def kinds_of(request):
    return (("class", request.request_class.number), ("tenant", request.tenant))


def middle(outcomes):
    return median(time for time, _, _ in outcomes)


def erring(on, off):
    earlier, on = sound(off), sound(on)
    usual = sum(erred for _, erred, _ in earlier) / max(len(earlier), 1)
    erred = sum(erred for _, erred, _ in on)
    return usual, erred / max(len(on), 1), erred, len(on), usual + ERROR_TOLERANCE


def sound(outcomes):
    """Without a machine that errs thrice as often as those up as long: its own fault, not its build's. One
    that fails late does so on its oldest machine first, which stays in."""
    members = list(dict.fromkeys(outcome[2] for outcome in outcomes))
    worst = max(members, key=lambda member: member.failed / (member.answered + 1), default=None)
    peers = [member for member in members if member is not worst and member.started <= worst.started]
    failed, answered = sum(peer.failed for peer in peers), sum(peer.answered for peer in peers)
    if worst and worst.failed * answered > 3 * (failed + 1) * worst.answered:
        return [outcome for outcome in outcomes if outcome[2] is not worst]
    return outcomes
