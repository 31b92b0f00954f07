"""Simulates a balancer with random settings on a simulated clock, and checks the record of what happened.

The checker works from the record alone and shares no code with the balancer: it reads the settings as given.
"""

import heapq
import random
from collections import Counter
from itertools import count

from lemonlead import interface
from lemonlead.balance import Balancer
from lemonlead.start_settings import start_from_settings

MS = 1_000_000
BEGIN = 1_700_000_000_000 * MS
STATES = {"up": interface.READY, "draining": interface.DRAINING, "removed": interface.GONE}
PHASES = (interface.ON_TRIAL, interface.ROLLING_BACK, interface.RELEASED, interface.WITHDRAWN)
# How attempts end; silent ones time out.
ENDS = (
    interface.SUCCEEDED,
    interface.ERRED,
    interface.REJECTED,
    interface.RESET,
    interface.UNCONNECTED,
    interface.UNREADABLE,
    interface.BAD_REQUEST,
    "silent",
)
NEVER = {interface.REJECTED, interface.UNCONNECTED, interface.NOT_SENT}
MAX_DECISIONS = 2000  # at one time
MAX_WAKE_UPS = 30_000  # in one simulation


class Stuck(AssertionError):
    """The balancer decides without an end, or asks for wake-ups again and again at one time."""


class Simulation:
    """One simulation. `settings` are those of a host; `world` holds the seed and options (see `WORLD`)."""

    def __init__(self, settings, world, make=Balancer):
        self.settings, self.world, self.random = settings, world, random.Random(world["seed"])
        self.now, self.events, self.sequence, self.record = BEGIN, [], count(), []
        self.start = start_from_settings(settings, world["seed"], BEGIN)
        self.balancer = make(self.start)
        self.open, self.in_flight, self.timer_at, self.wake_ups = {}, {}, None, 0
        # `latest`: when the last client gives up.
        self.instances, self.watching, self.latest = (
            {},
            False,
            BEGIN,
        )
        self.ahead = world["requests"] + world["changes"]  # events that are still to come
        self.build, self.stage, self.phase, self.cap, self.since = 1, 0, interface.RELEASED, 1.0, BEGIN
        self.step = max(int(settings.get("Step", 0) * MS), 0)

    # ---- the clock

    def after(self, wait, happened, *values):
        time = self.now + max(int(wait), 0)
        if self.world["in_steps"] and 0 < self.step < 1000 * MS:
            time = -(-time // self.step) * self.step
        heapq.heappush(self.events, (time, next(self.sequence), happened, values))

    def note(self, what, *values):
        self.record.append((self.now, what, *values))

    def run(self):
        world = self.world
        for number in range(world["instances"]):
            self.instances[number] = self.new_instance(number, 1, old=self.random.random() < 0.7)
        self.report_list(True, False, stale=True)
        if world["news"]:
            self.stage_reported()
        self.pull()
        at_ms = 0.0
        for number in range(world["requests"]):
            if self.random.random() >= world["bursts"]:
                at_ms += self.random.expovariate(1.0) * world["gap"]
            self.after(at_ms * MS, self.arrive, number)
        for _ in range(world["changes"]):
            self.after(self.random.random() * at_ms * 1.2 * MS, self.change)
        while self.ahead or (self.open or self.in_flight) and self.now < self.latest + 1000 * MS:
            self.now = self.events[0][0]
            while self.events and self.events[0][0] <= self.now:
                _, _, happened, values = heapq.heappop(self.events)
                happened(*values)
                if self.random.random() < world["apart"]:
                    self.pull()
            self.pull()
        return self.record

    def pull(self):
        for _ in range(MAX_DECISIONS):
            if not self.balancer.decide(self.now, self):
                break
        else:
            raise Stuck(f"{MAX_DECISIONS} decisions at one time")
        wake = self.balancer.wake_at()
        if self.timer_at is None or wake < self.timer_at:
            if wake <= self.now or self.wake_ups > MAX_WAKE_UPS:
                raise Stuck(f"wake at {wake - self.now} ns from now, after {self.wake_ups}")
            self.timer_at, self.wake_ups = wake, self.wake_ups + 1
            self.after(wake - self.now, self.wake)

    def wake(self):
        self.timer_at = None

    # ---- instances, lists and release news

    def new_instance(self, number, build, old=False):
        zones, kinds = max(len(self.settings.get("Areas", [])), 1), max(len(self.settings.get("Skus", [])), 1)
        age = 1 << 62 if old else 0
        return {
            "id": f"i{number}",
            "zone": number % zones,
            "kind": number // 2 % kinds,
            "build": build,
            "cell": number // 2,
            "state": "up",
            "started": 0 if age else self.now,
            "faulty": self.random.random() < self.world["faulty"],
            "speed": self.random.uniform(0.5, 2.0),
        }

    def report_list(self, whole, fresh, rows=None, stale=False):
        rows = list(self.instances.values()) if rows is None else rows
        if stale and self.random.random() < 0.2:
            rows = rows[: len(rows) // 2]
        lines = [
            interface.Instance(
                r["id"], r["zone"], r["kind"], r["build"], r["cell"], STATES[r["state"]], 1.0, r["started"]
            )
            for r in rows
        ]
        recorded = [(r["id"], r["state"], r["build"], r["zone"], r["cell"], r["started"]) for r in rows]
        self.note("list", whole, recorded)
        self.balancer.list_received(self.now, lines, whole, fresh)

    def change(self):
        """The fleet or the release changes, or the watch ends."""
        self.ahead -= 1
        kind, some = self.random.random(), list(self.instances.values())
        row = self.random.choice(some) if some else None
        if kind < 0.12 and row:
            row["state"] = "draining"
        elif kind < 0.2 and row:
            row["state"] = "removed"
            self.report_list_change([row])
            del self.instances[int(row["id"][1:])]
            return
        elif kind < 0.4 and row:  # it restarts, perhaps with the newest build
            number = int(row["id"][1:])
            row = self.instances[number] = self.new_instance(
                number, self.random.choice([row["build"], self.build])
            )
        elif kind < 0.5:
            number = max(self.instances, default=0) + 1
            row = self.instances[number] = self.new_instance(number, self.build)
        elif kind < 0.6 and self.watching:
            self.watching = False
            self.note("watch broke")
            return self.balancer.list_failed(self.now, self.now)
        elif self.world["news"]:
            return self.news(row)
        self.report_list_change([row] if row else [])

    def report_list_change(self, rows):
        if self.watching or not self.start.ask_for_list:
            whole = self.random.random() < 0.2
            rows = [r for r in self.instances.values() if r["state"] != "removed"] if whole else rows
            self.report_list(whole, True, rows)

    def news(self, row):
        caps = self.settings.get("FamilyInfo", {}).get("StageCap", [])
        if self.phase in (interface.RELEASED, interface.WITHDRAWN):
            self.build, self.stage, self.phase = self.build + 1, 0, interface.ON_TRIAL
            if row:
                number = int(row["id"][1:])
                self.instances[number] = self.new_instance(number, self.build)
                self.report_list_change([self.instances[number]])
        else:
            go = self.random.random()
            if go < 0.5 and self.stage + 1 < len(caps):
                self.stage += 1
            else:
                self.phase = self.random.choice(
                    [interface.ROLLING_BACK, interface.RELEASED, interface.WITHDRAWN]
                )
        trial = caps[min(self.stage, len(caps) - 1)] if caps else 0.0
        self.cap = (
            1.0 if self.phase == interface.RELEASED else trial if self.phase == interface.ON_TRIAL else 0.0
        )
        self.since = self.now
        self.after(self.random.choice([0, 20 * MS]), self.stage_reported)

    def stage_reported(self):
        self.note("stage", self.build, self.stage, PHASES.index(self.phase), self.cap)
        age = self.now - self.since
        self.balancer.stage_reported(self.now, self.build, self.stage, self.phase, self.cap, age)

    # ---- requests

    def arrive(self, number):
        self.ahead -= 1
        request_class = self.random.choice(self.start.request_classes)
        told = self.settings["Lanes"][request_class.number].get("GiveUp", 0) or 1000.0
        left = int(min(told, 40_000.0) * self.random.choice([0.2, 1.0, 1.0]) * MS)
        tenants = len(self.settings.get("Projects", []))
        tenant = self.random.randrange(-1, tenants) if tenants else self.random.choice([0, -1])
        work = max(int(self.random.expovariate(1.0) * 20 * MS), 1) if self.world["hints"] else 0
        key = self.random.choice([b"", b"a", b"b", b"c%d" % number])
        request = interface.Request(number, request_class, tenant, key, self.now, self.now + left, work)
        self.open[number], self.latest = request, max(self.latest, request.deadline)
        self.note("taken", number, request_class.number, left, key, work)
        if self.random.random() < self.world["leave"]:
            self.after(self.random.random() * left, self.leave, request)
        self.balancer.request_arrived(self.now, request)

    def leave(self, request):
        if self.open.pop(request.id, None) is not None:
            self.note("final", request.id, "left")
            self.balancer.request_closed(self.now, request)

    # ---- the host of the balancer

    def attempt(self, request, instance_id, time_out):
        attempt = request.attempts[-1]
        self.in_flight[attempt] = "new"
        if self.world["connects"] and self.random.random() < self.world["connects"]:
            most = min(self.start.connect_time, time_out, 2000 * MS)
            return self.after(self.random.random() * most, self.begin, attempt, instance_id, time_out)
        return self.begin(attempt, instance_id, time_out, False)

    def begin(self, attempt, instance_id, time_out, asked=True):
        request = attempt.request
        cancelled = self.in_flight.get(attempt) == "cancelled"
        if asked and (
            cancelled or request.id not in self.open or not self.balancer.write_deadline(self.now, attempt)
        ):
            return self.after(0, self.end, attempt, interface.NOT_SENT)
        self.in_flight[attempt] = "written"
        self.note("attempt", request.id, attempt.number, instance_id)
        row = self.instances.get(int(instance_id[1:]))
        goal = min(request.request_class.latency_objective or 100 * MS, 1000 * MS)
        takes = self.random.expovariate(1.0) * goal * self.world["slow"] / (row["speed"] if row else 1)
        if row is None or row["faulty"] and self.random.random() < 0.5:
            end = self.random.choice(
                [interface.UNCONNECTED, interface.RESET, "silent", interface.ERRED, interface.REJECTED]
            )
        else:
            end = self.random.choices(ENDS, [self.world["good"], 2, 3, 2, 2, 1, 0.5, 2])[0]
        if end == interface.UNCONNECTED:
            takes = self.random.choice([0, min(self.start.connect_time, time_out)])
        left = request.deadline - self.now if asked else time_out
        if end == "silent" or takes >= left:
            takes, end = left, interface.TIMED_OUT
        elif request.request_class.streamed and end == interface.SUCCEEDED:
            self.after(takes / 2, self.first_byte, attempt)
        self.after(takes, self.end, attempt, end)

    def first_byte(self, attempt):
        if attempt in self.in_flight and self.open.pop(attempt.request.id, None) is not None:
            self.note("final", attempt.request.id, "streamed")
            self.balancer.request_closed(self.now, attempt.request)

    def end(self, attempt, end):
        if self.in_flight.pop(attempt, None) is None:
            return
        request = attempt.request
        self.note("outcome", request.id, attempt.number, end)
        if end == interface.SUCCEEDED and self.open.pop(request.id, None) is not None:
            self.note("final", request.id, "served")
        over = request.id not in self.open
        report = {"svc_ms": 5.0} if self.start.report_fields and self.random.random() < 0.5 else {}
        self.balancer.attempt_ended(self.now, attempt, end, self.now - attempt.sent_at, over, report)

    def cancel(self, attempt):
        self.note("cancel", attempt.request.id, attempt.number)
        if self.in_flight.get(attempt) == "new":
            self.in_flight[attempt] = "cancelled"
        elif attempt in self.in_flight:
            self.after(self.random.choice([0, 3 * MS]), self.end, attempt, interface.CANCELLED)

    def reject(self, request, retry_after):
        assert self.open.pop(request.id, None) is request
        self.note("final", request.id, "busy", retry_after)

    def abort(self, request):
        assert self.open.pop(request.id, None) is request
        self.note("final", request.id, "failed")

    def watch_list(self):
        self.note("watch asked")
        self.after(self.random.random() * 5 * MS, self.watched, self.random.random() < self.world["unheard"])

    def watched(self, failed):
        if failed:
            self.note("watch failed")
            return self.balancer.list_failed(self.now, self.now)
        self.watching = True
        self.note("now watching")
        self.report_list(True, True, [r for r in self.instances.values() if r["state"] != "removed"])

    def vote(self, build, stage, verdict):
        self.note("vote", build, stage, verdict)
        answer = self.random.choice(
            [
                interface.COUNTED,
                interface.MOOT,
                interface.OVER_ALLOWANCE,
                interface.VOTE_ERRED,
                interface.UNANSWERED,
            ]
        )
        self.after(self.random.random() * 100 * MS, lambda: self.balancer.vote_answered(self.now, answer))

    def log(self, text):
        self.note("log", text)


WORLD = {
    "seed": 1,
    "instances": 4,
    "news": True,
    "requests": 60,
    "bursts": 0.3,
    "gap": 20.0,
    "changes": 10,
    "apart": 0.5,
    "in_steps": False,
    "faulty": 0.1,
    "good": 60,
    "slow": 0.1,
    "leave": 0.05,
    "connects": 0.0,
    "unheard": 0.2,
    "hints": False,
}


class InvariantChecker:
    """Finds the rules that a record breaks; `found` holds texts that begin with the number of the rule."""

    def __init__(self, settings, record, in_time=0):
        self.settings, self.found = settings, []
        self.limits, self.rules = settings.get("Limits", {}), settings.get("Obligations", {})
        self.release = settings.get("FamilyInfo", {})
        self.slack = int(self.rules.get("AnswerSlack", 20.0) * MS) + in_time
        self.grace = int(self.rules.get("DrainGrace", 0) * MS)
        self.window = int(self.release.get("ExposureWindow", 0) * MS)
        self.requests, self.instances, self.gone, self.news = {}, {}, {}, None
        self.fewest = 1 << 62  # the fewest instances ready at one time, except none
        self.lowered, self.served, self.takes, self.attempts = {}, {}, [], []
        self.watching, self.called, self.failed = False, None, False
        for now, what, *values in record:
            getattr(self, what.replace(" ", "_"))(now, *values)
        self.end = record[-1][0] if record else 0
        for id, one in self.requests.items():
            if one["final"] is None:
                self.wrong(1, f"{id} has no final answer")
        self.cold()

    def wrong(self, rule, text):
        self.found.append(f"{rule}: {text}")

    def list(self, now, whole, rows):
        named = {row[0] for row in rows}
        for id, state, build, zone, cell, since in rows:
            if state == "up":
                self.gone.pop(id, None)
                self.instances[id] = {"build": build, "zone": zone, "cell": cell, "since": since}
            else:
                self.gone.setdefault(id, now)
        for id in self.instances if whole else ():
            if id not in named:
                self.gone.setdefault(id, now)
        ready = sum(id not in self.gone for id in self.instances)
        self.fewest = min(self.fewest, ready or self.fewest)

    def stage(self, now, build, stage, phase, cap):
        if self.news is not None and self.news[0] == build and cap < self.news[3]:
            self.lowered[build] = now
        self.news = (build, stage, phase, cap)

    def taken(self, now, id, request_class, left, key, work):
        self.requests[id] = {
            "lane": self.settings["Lanes"][request_class],
            "n": request_class,
            "at": now,
            "until": now + left,
            "key": key,
            "attempts": [],
            "final": None,
            "work": work or 1,
        }
        self.takes.append((now, request_class))

    def attempt(self, now, id, number, instance):
        one = self.requests[id]
        row = self.instances.get(instance)
        if one["final"] is not None:
            self.wrong(1, f"{id} is sent on after its final answer")
        if now > one["until"] + self.slack:
            self.wrong(1, f"{id} is sent on after its deadline")
        if row is None:
            return self.wrong(3, f"{id} goes to {instance}, which was never listed")
        if instance in self.gone and now > self.gone[instance] + self.grace:
            self.wrong(3, f"{id} goes to {instance}, gone for {(now - self.gone[instance]) / MS} ms")
        within = self.rules.get("AskWithin", 0) * (4 if self.failed else 1) * MS
        if within and self.called is not None and not self.watching and now > self.called + within:
            self.wrong(3, f"{id} goes by a list that is not asked for in {(now - self.called) / MS} ms")
        self.effect(now, id, one, row)
        self.exposure(now, id, one, instance, row)
        one["attempts"].append({"at": now, "row": row, "end": None, "number": number})
        self.attempts.append((now, instance, row, one["n"], id))

    def effect(self, now, id, one, row):
        request_class, before = one["lane"], one["attempts"]
        effect = request_class.get("Effect", "at_most_once")
        ran = [s for s in before if s["end"] not in NEVER]
        if len(before) >= self.limits.get("AttemptsCap", 1):
            self.wrong(2, f"{id} gets attempt {len(before) + 1}")
        if not self.limits.get("MayDuplicate") and any(s["end"] is None for s in before):
            self.wrong(2, f"{id} has two attempts out")
        if effect == "at_most_once" and ran:
            self.wrong(2, f"{id}, at most once, gets another attempt")
        if effect == "deduplicated" and ran:
            group = request_class.get("Group", "all")
            if group != "all" and any(s["row"][group] != row[group] for s in ran):
                self.wrong(2, f"{id}, deduplicated, leaves its {group}")
            if now - ran[0]["at"] >= request_class["Window"] * MS:
                self.wrong(2, f"{id}, deduplicated, goes again past its window")

    def outcome(self, now, id, number, end):
        for attempt in self.requests[id]["attempts"]:
            if attempt["number"] == number:
                attempt["end"] = end
                if end == interface.SUCCEEDED and self.requests[id]["key"]:
                    self.served.setdefault(self.requests[id]["key"], []).append(
                        (now, attempt["row"]["build"])
                    )

    def final(self, now, id, how, *retry_after):
        one = self.requests[id]
        if one["final"] is not None:
            self.wrong(1, f"{id} has two final answers")
        one["final"] = now
        if how != "left" and now > one["until"] + self.slack:
            self.wrong(1, f"{id} is answered {(now - one['until']) / MS} ms late")
        effect = one["lane"].get("Effect", "at_most_once")
        group = one["lane"].get("Group", "all")
        ran = any(s["end"] not in NEVER for s in one["attempts"])
        alone = effect == "at_most_once" or effect == "deduplicated" and group != "all"
        if how == "busy" and ran and alone:
            self.wrong(2, f"{id} is refused though it may have run")
        told = self.limits.get("MaxRetryAfter", 0) * MS if self.limits.get("RetryAfter") else 0
        if retry_after and retry_after[0] > told:
            self.wrong(2, f"{id} is told to stay away for {retry_after[0]} ns")

    def cancel(self, now, id, number):
        if not self.limits.get("Cancel"):
            self.wrong(2, f"{id} is called off where none may be")

    def on_trial(self, build):
        if self.news is None:
            return False
        return build > self.news[0] or build == self.news[0] and self.news[2] != 2

    def exposure(self, now, id, one, instance, row):
        build = row["build"]
        if self.news is not None and self.release.get("ForwardOnly") and self.news[2] in (0, 2):
            done = [b for time, b in self.served.get(one["key"], ()) if time < now and b == self.news[0]]
            if done and build < self.news[0]:
                self.wrong(5, f"{id} goes back to build {build} after {done[0]}")
        if not self.on_trial(build):
            return
        newest = build == self.news[0]
        caps = self.release.get("StageCap", [])
        cap = self.news[3] if newest else caps[0] if caps else 0.0
        stage = self.news[1] if newest else 0
        effect = one["lane"].get("Effect", "at_most_once")
        if stage < self.release.get("GuardedStages", 0) and effect != "idempotent":
            self.wrong(5, f"{id}, {effect}, goes to build {build} in its stage {stage}")
        if cap <= 0:
            if now > self.lowered.get(build, -self.grace) + self.grace:
                self.wrong(5, f"{id} goes to build {build} at cap 0")
            return
        alone = self.release.get("CapScope") == "each_class"
        request_classes = (one["n"],) if alone else range(len(self.settings["Lanes"]))
        since = max(now - self.window, self.lowered.get(build, 0))
        sent = 1 + sum(
            m > since and r["build"] == build and n in request_classes for m, _, r, n, _ in self.attempts
        )
        taken = sum(m > now - self.window and n in request_classes for m, n in self.takes)
        if sent > self.release.get("SpareTries", 0.0) + cap * taken + 1e-9 and self.window:
            self.wrong(5, f"{id} is attempt {sent} at build {build}, of {taken} taken at cap {cap}")

    def watch_asked(self, now):
        self.called, self.failed = now, False

    def watch_failed(self, now):
        self.failed, self.watching = True, False

    def watch_broke(self, now):
        self.watching, self.called, self.failed = False, now, True

    def now_watching(self, now):
        self.watching = True

    def vote(self, *_):
        pass

    log = vote

    def cold(self):
        """Checks the load of cold instances, by work where clients hint at it.

        The capacity of an instance is its even share of the highest load that arrived.
        """
        span, fall = self.rules.get("Cold", 0) * MS, self.rules.get("Fall", 0) * MS
        if not span or not fall or not self.takes:
            return
        starts, share = {}, self.rules.get("ColdFrom", 1.0)
        mean = sum(one["work"] for one in self.requests.values()) / len(self.requests)
        took = [(one["at"], one["work"] / mean) for one in self.requests.values()]
        rate = max(within(took, first, fall) for first, _ in took) / max(self.fewest, 1)
        for now, instance, row, _, id in self.attempts:
            if row["since"] and 0 <= now - row["since"] < span:
                starts.setdefault((instance, row["since"]), []).append(
                    (now, self.requests[id]["work"] / mean)
                )
        for (instance, since), sent in starts.items():
            for time, _ in sent:
                warm = share + (1 - share) * (time - since) / span
                if warm >= 1:
                    continue
                bears = self.rules.get("OverloadFactor", 1.0) * warm * rate
                got = within(sent, time, fall)
                if got > bears + 3 * bears**0.5 + 3:
                    self.wrong(4, f"{instance} gets {got:.1f} while cold, and bears {bears:.1f}")


def within(events, first, span):
    """Returns the sum of the sizes of events in the `span` from `first` on."""
    return sum(size for time, size in events if first <= time < first + span)


def violations_of(settings, world, make=Balancer):
    """Returns the violations in a simulation with these settings."""
    simulation = Simulation(settings, {**WORLD, **world}, make)
    return InvariantChecker(settings, simulation.run(), simulation.step if world.get("in_steps") else 0).found


def event_counts(record):
    """Returns how often each kind of event occurred."""
    return Counter(what if what != "final" else f"final {values[1]}" for _, what, *values in record)
