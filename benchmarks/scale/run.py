"""One run: what there is, the processes, the day, and what came of it as one object for JSON."""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from lemonlead.ledger.followers import MAX_FOLLOWERS
from lemonlead.standins.members import until

from . import bounds
from .commits import Commits
from .control import Control
from .members import Members, RelaysOfMembers
from .real import Real, compared
from .tally import sum_tallies, summary
from .world import ALL, KINDS, Day, Plan

FIRST = 2000  # changes of the first state in one call
FORCE_EACH = 0.1  # seconds
STARVED = 0.1  # share of the time without a core past which times say little of the design
PATIENCE = 180.0  # seconds until all gateways have started, or a marker is in force everywhere
WANTED = {"core": 0.044, "memory": 32e6, "bytes": 8000.0, "seconds": 20.0}  # the letter's


STARTS = {1: "at first", 2: "after all gateways", 3: "after gateways and control"}  # restarted


class Asked:
    """What the command was given."""

    def __init__(
        self,
        seed,
        gateways,
        instances,
        services,
        services_each,
        seconds,
        cores,
        relays,
        faults,
        real,
        way,
        ledger,
    ):
        self.seed, self.gateways, self.instances, self.services = seed, gateways, instances, services
        self.services_each, self.seconds, self.cores, self.relays = services_each, seconds, cores, relays
        self.faults, self.real, self.way, self.ledger = faults, real, way, ledger


class Hollows:
    """The hollow processes, and what they said."""

    def __init__(self, folder, plan, relays, commits, scopes, count, way):
        self.processes, self.seconds, self.answers, self.locks = [], [], [], threading.Condition()
        for number in range(count):
            some = plan.gateways[number::count]
            told = {
                **plan.told(some),
                "relays": relays,
                "commits": str(commits),
                "scopes": scopes,
                "way": way,
                "seed": plan.seed * 1_000_003 + number,
            }
            path = Path(folder) / f"hollow-{number}.json"
            path.write_text(json.dumps(told))
            words = [sys.executable, "-m", "benchmarks.scale.hollow", str(path)]
            process = subprocess.Popen(
                words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, bufsize=1
            )
            self.processes.append(process)
            self.seconds.append([])
            self.answers.append({})
            threading.Thread(target=self.listen, args=(number,), daemon=True).start()

    def listen(self, number):
        for line in self.processes[number].stdout:
            told = json.loads(line)
            with self.locks:
                if "second" in told:
                    self.seconds[number].append({"at": told["at"], **told["second"]})
                else:
                    self.answers[number].update(told)
                self.locks.notify_all()

    def order(self, what, **more):
        for process in self.processes:
            process.stdin.write(json.dumps({"do": what, **more}) + "\n")
            process.stdin.flush()

    def asked(self, what, name, **more):
        """The answers of all to an order."""
        with self.locks:
            for answers in self.answers:
                answers.pop(name, None)
        self.order(what, **more)
        until(
            lambda: self.alive() and all(name in answers for answers in self.answers), f"no {name}", PATIENCE
        )
        return [answers[name] for answers in self.answers]

    def alive(self):
        for process in self.processes:
            assert process.poll() is None, f"a hollow process ended with {process.returncode}"
        return True

    def ready(self):
        return sum(seconds[-1]["ready"] for seconds in self.seconds if seconds)

    def close(self):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()


class Run:
    def __init__(self, asked, say):
        self.asked, self.say = asked, say
        self.plan = Plan(asked.seed, asked.gateways, asked.instances, asked.services, asked.services_each)
        self.day = Day(self.plan, asked.seconds, asked.faults)
        self.hollow_processes = max(1, min(asked.cores, asked.gateways))
        self.check()
        self.wide = [gateway for gateway in self.plan.gateways if gateway.wide]
        self.awaited = len(self.plan.gateways) - len(self.wide)  # a wide one takes minutes to be told all
        self.wanted = {}  # scope: gateways that have it
        for gateway in self.plan.gateways:
            for scope in gateway.scopes:
                self.wanted[scope] = self.wanted.get(scope, 0) + 1
        self.apart = [gateway.name for gateway in self.wide]
        self.control_rows, self.markers, self.acknowledged, self.late = [], [], [], 0.0
        self.ended, self.pending = threading.Event(), []
        self.lock = threading.Lock()

    def check(self):
        control = (
            3
            if self.asked.way == "follow"
            else self.asked.relays + (3 if self.asked.ledger == "members" else 1)
        )
        if self.asked.way == "follow" and len(self.plan.gateways) + 1 > MAX_FOLLOWERS:
            most = MAX_FOLLOWERS - len(self.plan.gateways) + self.asked.gateways - 1
            raise bounds.TooLarge(f"--gateways {self.asked.gateways}: at most {most} can follow in one run")
        memory = bounds.estimate_memory(self.plan, control, self.hollow_processes)
        descriptors = max(2 * self.asked.gateways // self.hollow_processes, 3 * self.asked.gateways)
        bounds.check(memory, 3 + control + self.hollow_processes, descriptors)
        self.bound = {"memory": memory, "processes": 3 + control + self.hollow_processes}

    def play(self):
        """The result."""
        begun = time.monotonic()
        affinity = sorted(os.sched_getaffinity(0))
        os.sched_setaffinity(0, affinity[-self.asked.cores :])  # children have it from us
        with tempfile.TemporaryDirectory(prefix="scale-") as folder:
            self.folder = Path(folder)
            scopes = [ALL, *self.plan.services]
            path = self.folder / "commits"
            self.commits = Commits(path, scopes, create=True)
            self.hollows = None
            self.control = self.made(path, scopes)
            self.real, self.why_not = None, "--no-real was asked for"
            try:
                self.begin(path, scopes)
                threads = [threading.Thread(target=one, daemon=True) for one in (self.watch, self.follow_up)]
                for thread in threads:
                    thread.start()
                self.through_the_day()
                result = self.result(begun)
                self.ended.set()
                for thread in threads:
                    thread.join(10)
                return result
            finally:
                self.ended.set()
                if self.hollows is not None:
                    self.hollows.close()
                if self.real is not None:
                    self.real.close()
                self.control.close()
                os.sched_setaffinity(0, affinity)

    # ---- the start

    def made(self, path, scopes):
        if self.asked.way == "follow":
            return Members(self.folder, self.commits, False)
        if self.asked.ledger == "members":
            return RelaysOfMembers(self.folder, path, scopes, self.asked.relays, self.commits)
        return Control(self.folder, path, scopes, self.asked.relays)

    def begin(self, path, scopes):
        control = self.control
        first = [["first state", *change] for change in self.plan.first()]
        control.begin()
        for at in range(0, len(first), FIRST):
            index = self.put(first[at : at + FIRST])
        self.say(f"{len(first)} entries committed")
        if self.asked.way != "follow":
            control.start(*control.relays)
            control.ready(*control.relays, index=index)
            self.say(f"{len(control.relays)} relays know them")
        relays = [[name, region, address] for name, (region, address) in control.relays.items()]
        started = time.monotonic()
        self.hollows = Hollows(
            self.folder, self.plan, relays, path, scopes, self.hollow_processes, self.asked.way
        )
        until(
            lambda: self.hollows.alive() and self.hollows.ready() == self.awaited,
            lambda: f"{self.hollows.ready()} of {self.awaited} hollow gateways started",
            PATIENCE,
        )
        self.started_s = time.monotonic() - started
        self.say(f"{self.awaited} hollow gateways started after {self.started_s:.1f} s")
        if self.asked.real:
            self.real = Real(self.folder, self.plan, control, self.asked.way)
            for scope in self.plan.twin.scopes:
                self.wanted[scope] += 1
            self.hollows.asked("twin", "twin")
            self.real.begin()
            self.say("a real gateway started")

    # ---- the day

    def through_the_day(self):
        begun, turns, at = time.monotonic(), self.day.turns, 0
        self.day_begun = time.monotonic_ns()
        told = begun
        while at < len(turns):
            moment = time.monotonic() - begun
            if turns[at].at > moment:
                time.sleep(min(turns[at].at - moment, 0.2))
                continue
            self.late = max(self.late, moment - turns[at].at)
            if turns[at].fault:
                self.fault(turns[at].fault)
                at += 1
                continue
            some = list(self.due(turns, at, moment))
            at += len(some)
            changes = [[turn.kind, *change] for turn in some for change in turn.changes]
            if changes:
                self.commit(changes)
            if time.monotonic() > told + 10:
                told = time.monotonic()
                self.say(f"{moment:.0f} of {self.day.seconds:.0f} s played, {self.late:.1f} s late at most")
        self.mark("end of the day")
        self.day_seconds = time.monotonic() - begun
        until(lambda: not self.pending, lambda: f"never in force everywhere: {self.pending}", PATIENCE)

    def due(self, turns, at, moment):
        """Turns from there on that are due, up to a fault, or to one that changes again what one before it
        does: what is committed together is in no order."""
        seen = set()
        while at < len(turns) and turns[at].at <= moment and not turns[at].fault:
            keys = {(scope, key) for scope, key, _ in turns[at].changes}
            if keys & seen:
                return
            seen |= keys
            yield turns[at]
            at += 1

    def put(self, changes):
        """Commits changes [kind, scope, key, value]; the index of the last."""
        return self.control.put([[KINDS.index(kind), *change] for kind, *change in changes])

    def commit(self, changes):
        before = time.monotonic_ns()
        index = self.put(changes)
        kind, scope, *_ = changes[-1]
        if self.asked.way != "follow" and (
            kind in ("zone", "rack") or kind == "configuration" and len(self.pending) < 3
        ):
            with self.lock:
                self.pending.append({"index": index, "scope": scope, "at": before, "what": kind})

    def mark(self, what):
        before = time.monotonic_ns()
        index = self.last_index = self.put([["marker", ALL, "configuration/marker", {"what": what}]])
        self.markers.append({"index": index, "what": what, "at_s": (before - self.day_begun) / 1e9})
        if self.asked.way == "follow":  # nothing there tells who has it in force
            return
        with self.lock:
            self.pending.append({"index": index, "scope": ALL, "at": before, "what": f"marker: {what}"})

    def fault(self, fault):
        words, region = fault.rsplit(" ", 1)
        if words in ("relay lost", "relay back"):
            if lost := self.control.lost(region):
                (self.control.kill if words == "relay lost" else self.control.start)(lost)
        elif words == "region cut":
            self.control.cut(region)
            self.hollows.order("cut", region=region)
        elif words == "region back":
            self.control.heal(region)
            self.hollows.order("heal", region=region)
        else:
            if fault in ("gateways restarted", "both restarted"):
                self.hollows.order("restart")
            if fault in ("control restarted", "both restarted"):
                self.control.restart()
        self.mark(fault)
        self.say(f"fault: {fault}")

    # ---- beside it

    def watch(self):
        rows = {}
        while not self.ended.wait(1.0):
            rows = self.control.figures(rows)
            self.control_rows.append(rows)

    def follow_up(self):
        """Asks the relays whether what is pending is in force everywhere, by acknowledgement."""
        while not self.ended.wait(FORCE_EACH):
            for one in self.pending[:1]:  # one at a time, in turn: the asking itself should cost little
                with self.lock:
                    self.pending.append(self.pending.pop(0))
                if self.control.force(
                    one["scope"], one["index"], self.wanted.get(one["scope"], 0), self.apart
                ):
                    took = (time.monotonic_ns() - one["at"]) / 1e6
                    self.acknowledged.append(
                        {"what": one["what"], "index": one["index"], "ms": round(took, 1)}
                    )
                    with self.lock:
                        self.pending.remove(one)

    # ---- what came of it

    def result(self, begun):
        time.sleep(1.0)  # a report of the last second, and notes that settle
        self.real_figures = self.real.figures() if self.real is not None else None
        path = self.folder / "truth.json"
        path.write_text(json.dumps(self.control.truth()))
        end = time.monotonic() + PATIENCE
        while True:
            checks = self.hollows.asked("check", "check", path=str(path))
            if not any(one["scopes_wrong"] for one in checks) or time.monotonic() > end:
                break
            time.sleep(0.5)
        results = self.hollows.asked("result", "result")
        whole = sum_tallies([one["tally"] for one in results])
        alone = [row | {"seconds": one["seconds"]} for one in results for row in one["alone"]]
        real, self.real_faults = self.beside(results, alone)
        result = {
            "way": self.asked.way,
            "control_way": self.control.way,
            "asked": dict(vars(self.asked)),
            "compression": round(self.day.compression, 1),
            "bound": self.bound,
            "seconds": round(time.monotonic() - begun, 1),
            "day_seconds": round(self.day_seconds, 1),
            "late_s": round(self.late, 2),
            "started_s": round(self.started_s, 2),
            "changes": self.changes_of(whole),
            "markers": self.marker_rows(whole),
            "acknowledged": self.acknowledged,
            "gateway": self.gateway_figures(results),
            "wide": [row for row in alone if not row["twin"]],
            "control": self.control_figures(),
            "counts": dict(sorted(whole.counts.items())),
            "early": whole.early,
            "check": {
                "scopes_wrong": sum(one["scopes_wrong"] for one in checks),
                "first_wrong": [row for one in checks for row in one["first_wrong"]][:10],
            },
            "real": real,
            "series": self.series(),
        }
        result["faults"] = self.faults(result)
        result["over"] = list(over(result))
        return result

    def beside(self, results, alone):
        if self.real is None:
            return {"compared": False, "why": self.why_not}, []
        twin = next(row for row in alone if row["twin"])
        own = self.gateway_figures(results)["memory_each"]
        base = sum(one["base"] for one in results) / len(results)
        hollow = {"cpu_s": twin["cpu_s"], "bytes": twin["bytes_in"] + twin["bytes_out"], "memory": base + own}
        return compared(self.real_figures, hollow)

    def changes_of(self, whole):
        """By kind: over gateways, and over changes the time to the last gateway."""
        rows = {}
        for number, kind in enumerate(KINDS):
            changes = [row for row in whole.by_change.values() if row[2] == number]
            if not changes:
                continue
            last = sorted(row[1] / 1e6 for row in changes)
            rows[kind] = {
                "changes": len(changes),
                "over_gateways": summary(whole.times[number]),
                "to_the_last_gateway_ms": {
                    "median": round(last[len(last) // 2], 1),
                    "p99": round(last[min(int(0.99 * len(last)), len(last) - 1)], 1),
                    "worst": round(last[-1], 1),
                },
            }
        return rows

    def marker_rows(self, whole):
        rows = []
        for marker in self.markers:
            times = whole.markers.get(marker["index"], {})
            rows.append({**marker, "gateways": sum(times.values()), "of": self.awaited, **summary(times)})
        return rows

    def gateway_figures(self, results):
        count = sum(one["gateways"] for one in results)
        alone = sum(row["cpu_s"] for one in results for row in one["alone"])
        seconds = max(one["seconds"] for one in results)
        spent = sum(one["cpu_s"] for one in results) - alone
        starts = {}
        for number, took in (row for one in results for row in one["starts_ms"]):
            starts.setdefault(number, []).append(took)
        peak = max(one["peaks"]["cpu_share"] / max(one["gateways"], 1) for one in results)
        return {
            "count": count,
            "core_mean": spent / seconds / max(count, 1),
            "core_peak_second": peak,
            "bytes_in_a_second": sum(one["bytes_in"] for one in results) / seconds / max(count, 1),
            "bytes_out_a_second": sum(one["bytes_out"] for one in results) / seconds / max(count, 1),
            "bytes_peak_second": max(one["peaks"]["bytes_second"] for one in results),
            "memory_each": sum(one["memory"] - one["base"] for one in results) / max(count, 1),
            "start_ms": {STARTS[number]: spread(starts[number]) for number in sorted(starts)},
        }

    def control_figures(self):
        figures = {}
        for name in sorted({name for rows in self.control_rows for name in rows}):
            rows = [rows[name] for rows in self.control_rows if name in rows]
            if not rows:
                continue
            cores = sorted(row["core"] for row in rows)
            statuses = [row["status"] for row in rows if row["status"]]
            most = {what: max(row["queues"][what] for row in rows) for what in rows[0]["queues"]}
            last = statuses[-1] if statuses else {}
            figures[name] = {
                "core_mean": round(sum(cores) / len(cores), 4),
                "core_peak": round(cores[-1], 3),
                "waited_for_a_core_mean": round(sum(row["starved"] for row in rows) / len(rows), 4),
                "memory_peak": max(row["memory"] for row in rows),
                "subscribers_peak": max((status.get("subscribers", 0) for status in statuses), default=None),
                "queues_most": most,
                "seconds_without_status": sum(not row["status"] for row in rows),
                "counts": {what: count for what, count in last.items() if type(count) is int},
            }
        return figures

    def series(self):
        """By second of the day: of gateways and control."""
        zero = self.day_begun
        rows = [
            [
                round((second["at"] - zero) / 1e9, 1),
                second["cpu"],
                second["bytes"],
                second["most_bytes"],
                number,
            ]
            for number, seconds in enumerate(self.hollows.seconds)
            for second in seconds
        ]
        control = [
            [
                round(row["moment"] - zero / 1e9, 1),
                name,
                round(row["core"], 3),
                row["memory"],
                row["queues"]["unsent"],
            ]
            for rows in self.control_rows
            for name, row in rows.items()
        ]
        return {"hollow": rows, "control": control}

    def faults(self, result):
        """What makes the run one that failed."""
        told = list(self.real_faults)
        if result["check"]["scopes_wrong"]:
            told.append(
                f"{result['check']['scopes_wrong']} scopes of gateways are not as the ledger has them"
            )
        return told


def spread(times):
    times = sorted(times)
    p99 = times[min(int(0.99 * len(times)), len(times) - 1)]
    return {"count": len(times), "median": times[len(times) // 2], "p99": p99, "last": times[-1]}


def over(result):
    """What is past what the letter wants of the size; told, and no failure of the run."""
    for kind, row in result["changes"].items():
        if row["over_gateways"]["last_ms"] > 1000 * WANTED["seconds"]:
            yield f"{kind}: in force at the last gateway after {row['over_gateways']['last_ms']:.0f} ms"
    for row in result["markers"]:
        if (row["last_ms"] or 0) > 1000 * WANTED["seconds"]:
            yield f"after {row['what']}: in force at the last gateway after {row['last_ms']:.0f} ms"
    figures = result["gateway"]
    means = {"core": figures["core_mean"], "memory": figures["memory_each"]}
    means["bytes"] = figures["bytes_in_a_second"] + figures["bytes_out_a_second"]
    peaks = {"core": figures["core_peak_second"], "bytes": figures["bytes_peak_second"]}
    for name, some in (("in the mean", means), ("in a second", peaks)):
        for what, value in some.items():
            if value > WANTED[what]:
                yield f"a gateway's {what} {name}: {value:.4g}, wanted {WANTED[what]:.4g}"
    for name, row in result["control"].items():
        if row["waited_for_a_core_mean"] > STARVED:
            yield f"{name} waited for a core {row['waited_for_a_core_mean']:.0%} of the time: so did changes"
        if row["core_peak"] > 1:
            yield f"{name}: {row['core_peak']} cores in a second"
