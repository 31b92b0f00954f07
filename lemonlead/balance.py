"""Every decision of a balancer: where a lookup goes, what becomes of it, and how a build is voted on.

The host makes one `Balancer` a gateway from what is told at start, and reports all that happens through the
methods under "inputs", which only update what is known. Then it calls `decide(now, door)` until that returns
False: each call makes one decision through the door. `wake_at()` tells when to ask again though nothing
happened. The records and the door are in `lemonlead/interface.py`; why it decides so, in `docs/design.md`.
"""

import heapq
import random
from collections import deque
from math import exp
from statistics import median

from .interface import (
    BACK, COUNTED, ERRED, HARMLESS, HOLD, MOOT, NEVER_RAN, ON, ON_TRIAL, ONE_SHOT, READY, REJECTED,
    RELEASED, RESET, STAMPED, SUCCEEDED, TIMED_OUT, UNCONNECTED, WITHDRAWN, Send,
)

MS = 1_000_000
TICK = 100 * MS  # how often builds are judged and rates are aged
PAIRS = 4  # pairs in view, and calm windows that strain needs
PAIR, PAIR_OUTCOMES = 1000 * MS, 8  # a pair stays open for so long, and until each build has as many
WARM_UP = 1000 * MS  # pairs start once each machine on trial has run for this long
TOLERANCE, SERVICE_TOLERANCE, ERROR_TOLERANCE = 1.0, 0.5, 0.02  # a breach is worse by more than this
FLAGS = 3  # answers found wrong that send a build back, at over twice the earlier build's rate
RESCUES = 0.1  # second copies (or resends of what is slow) a lookup taken, so that a jam is not fed
STRAIN = (-1, "strain")  # the pair's figure of the earlier build by what it was before the trial


class Member:
    """All that is known of one instance: its line on the list, and what its sends have shown."""

    def __init__(self, line, build, now):
        self.id, self.zone, self.kind, self.cell = line.id, line.zone, line.kind, line.cell
        self.build, self.started = build, line.started
        self.ready = True
        self.out = {}  # sends out, the oldest first
        self.heard_at = now  # its last answer, or the first send after it stood idle
        self.slowness = 0.0  # time to answer by work, smoothed; 0: not yet known
        self.limit, self.cut_at = 3.0, 0  # usual lookups that it may hold of this balancer; when last cut
        self.service = self.usual = 0.0  # its reported service time of late, and while no build is on trial
        self.recent, self.failed, self.answered = 0.0, 0, 0  # sends of late, aged; errors, answers
        self.strikes, self.shunned_until = 0, 0  # failures of the path since its last answer
        self.cold_free_at = now  # while it is cold: when it may be sent the next lookup

    def held(self):
        return sum(send.lookup.work for send in self.out)


class Build:
    """One build: what was told of it, what it was sent, and how it compares."""

    def __init__(self, number, cap):
        self.number, self.cap = number, cap
        self.stage, self.phase = -1, ON_TRIAL  # no stage has been told
        self.sent = {}  # times of its sends within the window, by lane where the cap counts so
        self.keys = set()  # keys that it has answered, kept where they bind
        self.credit = 0.0  # sends that it is due by its machines' share
        self.began, self.tried = 0, False  # when its stage began; seen on trial, so there is an earlier build
        self.pairs = deque(maxlen=PAIRS)  # pairs in view: {(lane, metric): (earlier, trial)}
        self.seen = deque(maxlen=200)  # its outcomes in closed pairs, the last of them
        self.answers, self.flags = 0, 0  # all it gave, and those that clients found wrong
        self.doubt = self.bad = False  # the pairs' medians breach; it is voted back


class Balancer:
    def __init__(self, start):
        release = start.release
        self.rng, self.zone = random.Random(start.seed), start.zone
        self.may_duplicate, self.may_withdraw = start.may_duplicate, start.may_withdraw
        self.sends_cap, self.hold_off_cap = start.sends_cap, start.hold_off_cap
        self.resend_margin = start.connect_time + 2 * start.step
        self.cold_time, self.cold_share = start.cold_time, start.cold_share
        self.cold_window = max(start.cold_window, TICK)
        self.top_revenue = max((lane.revenue for lane in start.lanes), default=1.0) or 1.0
        self.lane_work = {lane.number: lane.goal_time / 6 for lane in start.lanes}
        self.first_cap = release.caps[0] if release.caps else 0.0
        self.sent_window, self.taken_window = release.window + 2 * start.step, release.window - 2 * start.step
        self.free_sends, self.per_lane = release.free_sends, release.per_lane
        self.guarded_stages, self.forward_only = release.guarded_stages, release.forward_only
        self.clocked = release.control == "automatic"
        self.stage_time = 2 * WARM_UP + release.bake  # a stage cannot end sooner
        self.vote_life = release.vote_life
        gap = int(max(start.balancers, 1) / max(release.votes_per_s, 0.1) * 1e9)
        self.vote_wait = release.answer_time + max(gap, start.step)
        self.members = {}
        self.builds = {}  # both by their ids
        # The build of the last news; the one on trial that has machines; the one that votes can still move.
        self.told = self.trial = self.judged = None
        self.like = set()  # kinds of machine that run it and the earlier build, where there are any
        self.share = 0.0  # of the load that is due to the machines on trial
        self.taken = {}  # as a build's `sent`: arrival times of lookups
        self.work_rate = 0.0  # work taken, by time
        self.mean_work = sum(self.lane_work.values()) / max(len(self.lane_work), 1)  # of a lookup taken
        self.typical = 0.0  # time to answer by work over all instances, smoothed
        self.rescues = 5.0
        self.due, self.notes = deque(), deque()  # lookups that want a decision, lines to log
        self.held, self.room = [], False  # lookups that wait for an instance; whether one may have room
        self.wakes, self.wake_count = [], 0
        self.next_tick, self.ask_at = start.now, start.now if start.ask_for_list else None
        self.pair_at, self.pair = None, {}  # the pair now open: its start, its outcomes by (on trial, lane)
        self.calm = deque(maxlen=2 * PAIRS)  # strain in windows with no build on trial: its usual spread
        self.vote_at, self.vote_out = start.now, None

    # ---- inputs: they only update what is known

    def listed(self, now, lines, whole, fresh):
        """The list, whole or its changes. It may be stale, and an id may stand for a new machine."""
        named = {line.id for line in lines}
        for line in lines:
            old = self.members.get(line.id)
            if old is None or (old.build.number, old.started) != (line.build, line.started):
                build = self.builds.setdefault(line.build, Build(line.build, self.first_cap))
                self.members[line.id] = Member(line, build, now)
            self.members[line.id].ready = line.state == READY
        for member in self.members.values():
            member.ready = member.ready and (not whole or member.id in named)
        self.members = {id: member for id, member in self.members.items() if member.ready}
        if fresh:
            self.ask_at = None
        self.see_trial()

    def list_failed(self, now):
        self.ask_at = now + int(self.rng.uniform(300, 900) * MS)

    def lookup_arrived(self, now, lookup):
        lookup.work = lookup.work or int(self.lane_work[lookup.lane.number])
        self.taken.setdefault(self.count_of(lookup), deque()).append(now)
        self.work_rate += lookup.work / self.cold_window
        self.mean_work += 0.01 * (lookup.work - self.mean_work)
        self.rescues = min(self.rescues + RESCUES, 20.0)
        if self.trial is not None and not self.trial.bad:
            self.trial.credit = min(self.trial.credit + self.share, 3.0)
        self.due.append(lookup)

    def lookup_left(self, now, lookup):
        lookup.over = True  # also once its answer streams: the end is the client's then

    def send_ended(self, now, send, end, took, over, report):
        send.end = end
        member, lookup = send.instance, send.lookup
        member.out.pop(send, None)
        lookup.over = lookup.over or over
        if not lookup.over:
            self.due.append(lookup)
        self.room = True
        slow = took > lookup.lane.goal_time
        silent = member.heard_at <= send.at and end in (TIMED_OUT, WITHDRAWN)
        if end in (SUCCEEDED, ERRED, REJECTED):
            member.heard_at, member.strikes, member.shunned_until = now, 0, 0
            member.answered, member.failed = member.answered + 1, member.failed + (end == ERRED)
        elif end in (UNCONNECTED, RESET) or (silent and end == TIMED_OUT):
            # Guards against machines that are dead, silent or cut off, whatever the cause: back off from
            # them, doubling, and try one lookup then. It could harm a machine that is only slow to connect.
            member.strikes += 1
            wait = min(250 * MS << min(member.strikes, 4), 3000 * MS)
            member.shunned_until = now + int(wait * self.rng.uniform(0.7, 1.0))
        number = lookup.lane.number
        if end in (SUCCEEDED, ERRED, REJECTED) or (end in (TIMED_OUT, WITHDRAWN) and slow):
            # Guards against machines that fail at once and, never busy, would draw all lookups: a failure is
            # as slow as the goal time. It could idle a machine that fails one kind of lookup.
            failed = end in (ERRED, REJECTED)
            ratio = (lookup.lane.goal_time if failed else took) / max(lookup.work, 1)
            self.typical += 0.02 * (ratio - self.typical) if self.typical else ratio
            member.slowness += 0.15 * (ratio - member.slowness) if member.slowness else ratio
            self.lane_work[number] += 0.01 * (lookup.work - self.lane_work[number])
        # Guards against queues, whatever fills them: a usual lookup of this lane should take under two
        # fifths of its goal time. It could hold back a slow but idle machine; the floor leaves it some.
        if end == REJECTED or member.slowness * self.lane_work[number] > lookup.lane.goal_time / 2.5:
            if now - member.cut_at > 200 * MS:
                member.cut_at, member.limit = now, max(member.limit * 0.8, 1.0)
        elif end == SUCCEEDED and 2 * (len(member.out) + 1) >= member.limit:
            member.limit += 0.25 / member.limit
        member.build.answers += end == SUCCEEDED
        if end == SUCCEEDED and self.forward_only and lookup.key:
            member.build.keys.add(lookup.key)
        # Answers are the build's, and so is what was waited for in vain while others got theirs. What the
        # path did (no connection, a reset, a silent machine) is not.
        if self.pair_at is not None and (end in (SUCCEEDED, ERRED) or (slow and not silent and not over)):
            self.note_outcome(now, member, lookup, end, took)
        if service := report.get("svc_ms"):
            member.service += 0.3 * (service - member.service) if member.service else service
            if self.trial is None:
                member.usual += 0.1 * (service - member.usual) if member.usual else service

    def answer_wrong(self, now, instance_id):
        if (member := self.members.get(instance_id)) is not None:
            member.build.flags += 1

    def stage_told(self, now, number, stage, phase, cap, age):
        build = self.told = self.builds.setdefault(number, Build(number, self.first_cap))
        if (build.stage, build.phase) != (stage, phase):
            self.notes.append(f"build {number}: stage {stage}, phase {phase}, cap {cap:.2f}")
            build.began = now - age
        build.stage, build.phase, build.cap = stage, phase, cap
        build.tried = build.tried or phase == ON_TRIAL
        self.see_trial()

    def vote_answered(self, now, answer):
        waits = {COUNTED: self.vote_life // 2, MOOT: 200 * MS}
        self.vote_at = now + waits.get(answer, int(self.rng.uniform(200, 400) * MS))

    # ---- decisions, pulled one by one

    def wake_at(self):
        return min(self.next_tick, self.wakes[0][0]) if self.wakes else self.next_tick

    def decide(self, now, door):
        if now >= self.next_tick:
            self.tick(now)
        while self.wakes and self.wakes[0][0] <= now:
            self.due.append(heapq.heappop(self.wakes)[2])
        if self.notes:
            door.log(self.notes.popleft())
            return True
        if self.ask_at is not None and now >= self.ask_at:
            self.ask_at = now + 5000 * MS  # should no answer come at all
            door.watch_list()
            return True
        if self.cast_vote(now, door):
            return True
        while self.due:
            lookup = self.due.popleft()
            if not lookup.over and self.settle(lookup, now, door):
                return True
        misses = 0
        while self.room and self.held and misses < 3:
            lookup = heapq.heappop(self.held)[-1]
            if lookup.over or any(not send.end for send in lookup.sends):
                continue
            if (member := self.choose(lookup, now)) is not None:
                return self.send(lookup, member, now, door)
            misses += 1  # it may be bound to instances that the others need not wait for
            self.wake(now + TICK, lookup)
        self.room = False
        return False

    def settle(self, lookup, now, door):
        """What becomes of one lookup now; True when something was decided."""
        out = [send for send in lookup.sends if not send.end]
        if now >= lookup.hard_stop:
            return self.give_up(lookup, door)
        if out:
            return self.rescue(lookup, out, now, door)
        if (member := self.choose(lookup, now)) is not None:
            return self.send(lookup, member, now, door)
        wait = int(lookup.lane.goal_time * lookup.lane.revenue / self.top_revenue / 8)
        until = min(lookup.arrived + wait, lookup.hard_stop)
        if now >= until or len(lookup.sends) >= self.sends_cap:
            return self.give_up(lookup, door)
        self.wake(until, lookup)
        heapq.heappush(self.held, (-lookup.lane.revenue, lookup.repeat, -self.wake_count, lookup))
        return False

    def send(self, lookup, member, now, door):
        send = Send(lookup, len(lookup.sends), member, now)
        lookup.sends.append(send)
        if not member.out:
            member.heard_at = max(member.heard_at, now)
        member.out[send] = None
        member.recent += 1
        if self.on_trial(member.build):
            member.build.sent.setdefault(self.count_of(lookup), deque()).append(now)
            member.build.credit = max(member.build.credit - 1.0, -3.0)
        if (warmth := self.warmth(member, now)) < 1:
            rate = self.work_rate / max(len(self.members), 1) * warmth
            gap = lookup.work / rate if rate > 0 else 2 * self.cold_window
            member.cold_free_at = max(member.cold_free_at, now) + min(int(gap), 2 * self.cold_window)
        door.send(lookup, member.id, lookup.hard_stop - now)
        self.wake(lookup.hard_stop, lookup)
        if lookup.lane.effect != ONE_SHOT:
            self.wake(now + lookup.lane.goal_time // 2, lookup)
        return True

    def rescue(self, lookup, out, now, door):
        """What is out for half its goal time is sent elsewhere where its lane allows, within a budget.
        Guards against machines that are silent, stalled or jammed; in a jam of all, the budget bounds it."""
        last = out[-1]
        if len(out) > 1 or now < last.at + lookup.lane.goal_time // 2 or self.rescues < 1:
            return False
        if self.may_duplicate and (member := self.choose(lookup, now)) is not None:
            self.rescues -= 1
            return self.send(lookup, member, now, door)
        again = self.may_withdraw and not self.may_duplicate and lookup.lane.effect == HARMLESS
        if not again or last.instance.heard_at > last.at:
            return False
        self.rescues -= 1
        door.withdraw(last)
        return True

    def give_up(self, lookup, door):
        lookup.over, lane = True, lookup.lane
        ran = any(send.end not in NEVER_RAN for send in lookup.sends)
        if ran and lane.effect != HARMLESS and (lane.effect == ONE_SHOT or lane.group != "all"):
            door.abort(lookup)
        else:
            door.push_back(lookup, min(self.hold_off_cap, lane.goal_time // 16))
        return True

    # ---- where to

    def choose(self, lookup, now):
        """The instance that costs least, untried before tried, of the build that is due a send first."""
        tried = [send.instance for send in lookup.sends]
        due = self.trial is not None and self.trial.credit >= 1 and not self.trial.bad
        fit = [m for m in self.members.values()
               if self.usable(m, lookup, now) and self.may_send(lookup, m, now)]
        ranks = [(m in tried, self.on_trial(m.build) is not due, self.cost(m, lookup, now)) for m in fit]
        return fit[ranks.index(min(ranks))] if fit else None

    def cost(self, member, lookup, now):
        """Time to answer of late by what is out. A little chance keeps balancers from choosing alike."""
        slowness = member.slowness or self.typical or 1.0
        across = 1.0 if member.zone == self.zone else 1.1
        chance = self.rng.uniform(0.9, 1.1)
        return slowness * (lookup.work + member.held()) * across * chance / self.warmth(member, now)

    def usable(self, member, lookup, now):
        """Health, as far as this balancer's own sends show it; silent is where nothing at all is heard."""
        if member.held() >= member.limit * self.mean_work or now < member.shunned_until:
            return False
        effect, build = lookup.lane.effect, member.build
        if build.bad and (effect != HARMLESS or self.share < 0.5):
            return False
        if member.strikes and (member.out or effect == ONE_SHOT):
            return False
        quiet = now - member.heard_at if member.out else 0
        return quiet <= max(4 * (self.typical or 2.0) * self.lane_work[lookup.lane.number], 300 * MS)

    def may_send(self, lookup, member, now):
        """The rules. Every send passes here, whatever asked for it."""
        if not member.ready or now >= lookup.hard_stop or len(lookup.sends) >= self.sends_cap:
            return False
        lane = lookup.lane
        ran = [send for send in lookup.sends if send.end not in NEVER_RAN]
        out = any(not send.end for send in ran)
        if out and not self.may_duplicate or ran and lane.effect == ONE_SHOT:
            return False
        if ran and lane.effect == STAMPED:
            group = lane.group
            same = group == "all" or all(getattr(s.instance, group) == getattr(member, group) for s in ran)
            if not same or now - ran[0].at >= lane.memory - self.resend_margin:
                return False
        if self.warmth(member, now) < 1 and now < member.cold_free_at:
            return False
        if self.told is not None and member.build.number < self.told.number and lookup.key in self.told.keys:
            return self.told.phase not in (ON_TRIAL, RELEASED)  # keys are kept only where they bind
        return not self.on_trial(member.build) or self.exposure_left(member.build, lookup, now)

    def exposure_left(self, build, lookup, now):
        """Exact over the window, a little wider for sends than for lookups. A lower cap binds at once."""
        stage = build.stage if build is self.told else 0
        if build.cap <= 0 or (stage < self.guarded_stages and lookup.lane.effect != HARMLESS):
            return False
        sent = build.sent.get(self.count_of(lookup), ())
        taken = self.taken.get(self.count_of(lookup), ())
        while sent and sent[0] < now - self.sent_window:
            sent.popleft()
        while taken and taken[0] <= now - self.taken_window:
            taken.popleft()
        return len(sent) + 1 <= self.free_sends + build.cap * len(taken)

    def warmth(self, member, now):
        """The share of its capacity that an instance is sure to have; 1 when it is warm."""
        age = now - member.started
        if not member.started or age >= self.cold_time:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(age, 0) / self.cold_time

    def on_trial(self, build):
        if self.told is None:
            return build is self.trial
        return build.number > self.told.number or (build is self.told and build.phase != RELEASED)

    def count_of(self, lookup):
        return lookup.lane.number if self.per_lane else 0

    def wake(self, at, lookup):
        self.wake_count += 1
        heapq.heappush(self.wakes, (at, self.wake_count, lookup))

    # ---- the gate: the build on trial against the earlier one, in pairs of short windows

    def see_trial(self):
        numbers = sorted({member.build.number for member in self.members.values()})
        trial = self.builds[numbers[-1]] if numbers else None
        if trial and not (self.on_trial(trial) if self.told else len(numbers) > 1):
            trial = None
        told = self.told
        judged = told if told and told.tried and told.phase in (ON_TRIAL, RELEASED) else None
        if trial is not self.trial or judged is not self.judged:
            self.trial, self.judged, self.pair_at, self.pair = trial, judged, None, {}
        kinds = {(member.kind, member.build is judged) for member in self.members.values()}
        self.like = {kind for kind, on in kinds if (kind, not on) in kinds}

    def aim_share(self):
        """For like load: machines on trial get as much as earlier ones of their kind."""
        trial = [member for member in self.members.values() if member.build is self.trial]
        rest = [member for member in self.members.values() if member.build is not self.trial]
        total, due = sum(member.recent for member in rest), 0.0
        for member in trial:
            like = [m.recent for m in rest if m.kind == member.kind] or [total / max(len(rest), 1)]
            due += sum(like) / len(like)
        self.share = due / (due + total) if total else len(trial) / max(len(self.members), 1)

    def note_outcome(self, now, member, lookup, end, took):
        on, warmth = member.build is self.judged, self.warmth(member, now)
        # Like against like: the same kinds of machine, and no cold ones on the earlier side.
        if (not self.like or member.kind in self.like) and (on or warmth == 1):
            side = self.pair.setdefault((on, lookup.lane.number), [])
            side.append((took * warmth / max(lookup.work, 1), end == ERRED, member))

    def tick(self, now):
        aged = exp(-max(now - self.next_tick + TICK, 0) / self.cold_window)
        self.work_rate *= aged
        for member in self.members.values():
            member.recent *= aged
        self.next_tick, self.room = now + TICK, True
        self.aim_share()
        build = self.judged
        if self.pair_at is None:
            starts = [member.started for member in self.members.values() if build in (None, member.build)]
            if starts and max(starts) + WARM_UP <= now:
                self.pair_at, self.pair = now, {}
        elif now - self.pair_at >= PAIR:
            on, off = self.pooled(True), self.pooled(False)
            if self.trial is None and len(on + off) >= PAIR_OUTCOMES:
                self.calm.append((self.strain(), middle(on + off)))
            alone = build is None or build.phase == RELEASED  # an earlier one may stay listed, hardly used
            if len(on if build else off) >= PAIR_OUTCOMES and (alone or len(off) >= PAIR_OUTCOMES):
                if build is not None:
                    self.close_pair(build, on, off)
                self.pair_at, self.pair = now, {}

    def strain(self):
        """Reported service time by what it was before the trial: the lower quartile over earlier instances,
        for what slows all slows the least slowed; other programs slow but some."""
        ratios = [m.service / m.usual for m in self.members.values() if m.usual and m.build is not self.trial]
        return sorted(ratios)[len(ratios) // 4] if 2 * len(ratios) >= len(self.members) > 2 else 1.0

    def pooled(self, on):
        return [outcome for (which, _), side in self.pair.items() if which is on for outcome in side]

    def close_pair(self, build, on, off):
        """Keeps the figures of both builds: the median time over all lanes, errors over all and lane by lane.
        After the release only errors are compared, with none."""
        fit = [m for m in self.members.values() if m.service and (not self.like or m.kind in self.like)]
        services = [[m.service for m in fit if (m.build is build) is on] for on in (False, True)]
        # A queue at few machines is not the build's: where told, longer answers want longer service.
        alike = all(services) and median(services[1]) <= median(services[0]) * (1 + SERVICE_TOLERANCE)
        figures = {(-1, "errors"): (errors(off), errors(on))}
        if len(off) >= PAIR_OUTCOMES:
            figures[-1, "p50"] = (middle(off), middle(off if alike else on))
        for (which, lane), side in self.pair.items():
            if which and len(side) >= 2:
                figures[lane, "errors"] = (errors(self.pair.get((False, lane))), errors(side))
        if len(self.calm) >= PAIRS and len(off) >= PAIR_OUTCOMES:
            usual = [median(each) for each in zip(*self.calm, strict=True)]
            floor = max(min(calm[0] / usual[0], calm[1] / usual[1]) for calm in self.calm) - 1
            figures[STRAIN] = (1 + floor, min(self.strain() / usual[0], middle(off) / usual[1]))
        build.pairs.append(figures)
        build.seen.extend(on)
        self.judge(build)

    def judge(self, build):
        """A metric whose medians breach is a doubt; if most pairs breach too the build is bad. The floor is
        the earlier build's spread alone. Times want a breach more than errors, which chance hardly makes."""
        build.doubt = False
        others = [other for other in self.builds.values() if other is not build]
        flags, answers = sum(other.flags for other in others), sum(other.answers for other in others)
        if build.flags >= FLAGS and build.flags * answers > 2 * flags * build.answers:
            self.condemn(build, f"{build.flags} of {build.answers} flagged, {flags} of {answers} before")
        for key in sorted({key for pair in build.pairs for key in pair}):
            pairs = [pair for pair in build.pairs if key in pair]
            earlier, ours = (median(pair[key][side] for pair in pairs) for side in (0, 1))
            floor = max(abs(pair[key][0] - earlier) for pair in pairs)
            timed = key[1] != "errors"
            share = SERVICE_TOLERANCE if key == STRAIN else TOLERANCE
            bound = max(share * earlier if timed else ERROR_TOLERANCE, floor)
            breached = sum(pair[key][1] - pair[key][0] > bound for pair in pairs)
            if ours - earlier > bound:
                build.doubt = True
                if breached >= 2 + timed and 2 * breached > len(pairs):
                    why = f"lane {key[0]} {key[1]} {earlier:.2f} to {ours:.2f}, floor {floor:.2f}"
                    self.condemn(build, f"{breached} of {len(pairs)} pairs breach, {why}")

    def condemn(self, build, why):
        if not build.bad:
            build.bad = True
            self.notes.append(f"build {build.number} bad: {why}")

    def verdict(self, build, now):
        if build.bad:
            return BACK
        if build.phase != ON_TRIAL:
            return None
        if self.clocked:
            return HOLD if build.doubt else None
        # By the time that the stage can end; unjudged, once a pair has stood open for two pairs' time. A list
        # that lags must not pass a build that nobody met.
        unmet = not build.pairs and (self.pair_at is None or now < self.pair_at + 2 * PAIR)
        if now < build.began + self.stage_time or unmet or build.doubt:
            return None
        # Errors too few for most pairs, as of a build that fails late, hold it all the same.
        excess = errors(list(build.seen) + self.pooled(True)) - errors(self.pooled(False))
        return ON if excess <= ERROR_TOLERANCE else None

    def cast_vote(self, now, door):
        build = self.told
        movable = build is not None and now >= self.vote_at and build.phase in (ON_TRIAL, RELEASED)
        if not movable or (verdict := self.verdict(build, now)) is None:
            return False
        vote = (build.number, build.stage, verdict)
        if vote != self.vote_out:
            self.notes.append(f"build {build.number}: vote {verdict} at stage {build.stage}")
        self.vote_out, self.vote_at = vote, now + self.vote_wait
        door.vote(*vote)
        return True


def middle(outcomes):
    return median(time for time, _, _ in outcomes)


def errors(outcomes):
    """The share that erred, without a machine that errs thrice as often as those up as long: that is its own
    fault, not its build's. A build that fails late does so on its oldest machine first, which stays in."""
    members = list(dict.fromkeys(outcome[2] for outcome in outcomes or ()))
    worst = max(members, key=lambda member: member.failed / (member.answered + 1), default=None)
    peers = [member for member in members if member is not worst and member.started <= worst.started]
    failed, answered = sum(peer.failed for peer in peers), sum(peer.answered for peer in peers)
    if worst and worst.failed * answered > 3 * (failed + 1) * worst.answered:
        outcomes = [outcome for outcome in outcomes if outcome[2] is not worst]
    return sum(erred for _, erred, _ in outcomes) / len(outcomes) if outcomes else 0.0
