"""Hollow gateways, many in a process.

`python -m benchmarks.scale.hollow FILE`. Orders come as lines of JSON on standard input, reports go as such
to standard output, one a second and one for each order that asks for one."""

import gc
import heapq
import json
import os
import resource
import select
import sys
import time
from collections import deque

from .commits import Commits
from .gateway import MS, S, Hollow, now
from .tally import Tally
from .wire import Wire

SETTLED = 2000 * MS  # after which the table of commits surely has what was told
REPORTS = 1 * S


class Process:
    def __init__(self, told, base):
        """`base`: bytes of the process before there was any gateway."""
        self.relays = [tuple(relay) for relay in told["relays"]]
        self.regions = {address: region for _, region, address in self.relays}
        self.commits = Commits(told["commits"], told["scopes"])
        self.epoll, self.wires, self.tally = select.epoll(), {}, Tally()
        self.notes, self.starts, self.cuts, self.heap, self.turns = deque(), [], set(), [], 0
        self.run, self.input = True, b""
        self.instances = told["instances"]  # by service, the same for all
        make = Hollow
        if told["way"] == "follow":
            from .follow import FollowHollow as make
        self.hollows = [make(one, self, told["seed"] + 1000 * n) for n, one in enumerate(told["gateways"])]
        self.base, self.reported_at, self.cpu_before = base, now(), cpu()
        self.peaks = {"cpu_share": 0.0, "bytes_second": 0, "memory": 0}
        self.begun_at, self.begun_cpu, self.handled, self.events = now(), cpu(), 0, 0

    # ---- sockets and moments

    def wire(self, owner, kind, address):
        wire = Wire(owner, kind, address, self.epoll)
        self.wires[wire.sock.fileno()] = wire
        return wire

    def close(self, wire):
        self.wires.pop(wire.sock.fileno(), None)
        wire.close()

    def wake(self, hollow, moment):
        if moment is not None and moment != hollow.due:
            hollow.due = moment
            self.turns += 1
            heapq.heappush(self.heap, (moment, self.turns, hollow, ()))

    def later(self, moment, hollow, *reason):
        """An end of its stream or call that is heard of then."""
        self.turns += 1
        heapq.heappush(self.heap, (moment, self.turns, hollow, reason))

    def is_cut(self, region, address):
        there = self.regions.get(address, region)
        return there != region and bool({there, region} & self.cuts)

    # ---- the loop

    def loop(self):
        os.set_blocking(0, False)
        self.epoll.register(0, select.EPOLLIN)
        for hollow in self.hollows:
            hollow.turn()
        while self.run:
            for number, mask in self.epoll.poll(self.wait(), 512):
                if number == 0:
                    self.ordered()
                elif (wire := self.wires.get(number)) is not None:
                    self.handle(wire, mask)
            self.due()
            self.settle(now() - SETTLED)
            if now() >= self.reported_at + REPORTS:
                self.report()

    def wait(self):
        next_one = min(self.heap[0][0] if self.heap else 1 << 62, self.reported_at + REPORTS)
        return min(max((next_one - now()) / S, 0.0), 0.2)

    def handle(self, wire, mask):
        begun = time.thread_time_ns()
        wire.owner.happened(wire, mask)
        self.spent(wire.owner, begun)

    def spent(self, hollow, begun):
        """What it took since then is one gateway's; what the loop takes beside is shared by such events."""
        took = time.thread_time_ns() - begun
        hollow.cpu, hollow.events = hollow.cpu + took, hollow.events + 1
        self.handled, self.events = self.handled + took, self.events + 1

    def due(self):
        moment = now()
        while self.heap and self.heap[0][0] <= moment:
            at_, _, hollow, reason = heapq.heappop(self.heap)
            if reason:
                hollow.ended(*reason)
            elif at_ == hollow.due:
                hollow.due, begun = 0, time.thread_time_ns()
                hollow.turn()
                self.spent(hollow, begun)

    def settle(self, before):
        """Counts what came in force, once the table of commits surely tells of it."""
        while self.notes and self.notes[0][0] <= before:
            moment, tally, (begun, not_before, ahead), scope, after, upto, early = self.notes.popleft()
            for index in self.commits.between(scope, after, upto):
                if not early and (scope, index) in ahead:
                    ahead.discard((scope, index))
                elif (committed := self.commits.committed_at[index]) >= begun:
                    due = max(committed, not_before) if moment >= not_before else committed
                    tally.record_in_force(index, self.commits.kind[index], moment - due)

    # ---- orders and reports

    def ordered(self):
        try:
            data = os.read(0, 65536)
        except BlockingIOError:
            return
        if not data:
            self.run = False
        *lines, self.input = (self.input + data).split(b"\n")
        for line in lines:
            told = json.loads(line)
            getattr(self, f"do_{told.pop('do')}")(**told)

    def do_restart(self):
        ends = [hollow for hollow in self.hollows if not hollow.twin]
        for hollow in ends:
            hollow.start()
        for hollow in ends:
            hollow.turn()

    def do_cut(self, region):
        self.cuts.add(region)
        for hollow in self.hollows:
            if hollow.stream is not None and self.is_cut(hollow.region, hollow.stream.address):
                hollow.ended("cut off")

    def do_heal(self, region):
        self.cuts.discard(region)
        for hollow in self.hollows:
            if hollow.region == region:
                hollow.not_before = now()

    def do_check(self, path):
        """Whether each gateway has in force what the ledger has: {scope: {key: index}}."""
        with open(path, encoding="utf-8") as file:
            truth = json.load(file)
        wrong, missing = [], 0
        for hollow in (hollow for hollow in self.hollows if not hollow.wide):
            scopes = list(hollow.wrong(truth))
            missing += len(scopes)
            wrong += [[hollow.name, scope] for scope in scopes[: 10 - len(wrong)]]
        members = sum(len(hollow.balancer.instances) for hollow in self.hollows)
        self.say(check={"scopes_wrong": missing, "first_wrong": wrong, "members": members})

    def do_result(self):
        self.settle(now())
        seconds = (now() - self.begun_at) / S
        loop = max(int(1e9 * (cpu() - self.begun_cpu)) - self.handled, 0) / max(self.events, 1)
        alone = [
            {
                "name": one.name,
                "twin": one.twin,
                "cpu_s": (one.cpu + loop * one.events) / 1e9,
                "bytes_in": one.bytes_in,
                "bytes_out": one.bytes_out,
                "instances": len(one.balancer.instances),
                "scopes": len(one.scopes),
                "scopes_complete": one.had(),
                "start_ms": (one.ready_at - one.started_at) // MS if one.ready_at else None,
                "changes": one.tally.counts["changes"] if one.wide else None,
            }
            for one in self.hollows
            if one.wide or one.twin
        ]
        own = [one for one in self.hollows if not one.wide and not one.twin]
        self.say(
            result={
                "gateways": len(own), "seconds": seconds, "cpu_s": cpu() - self.begun_cpu,
                "bytes_in": sum(one.bytes_in for one in own), "bytes_out": sum(one.bytes_out for one in own),
                "memory": memory(), "base": self.base, "peaks": self.peaks, "alone": alone,
                "starts_ms": self.starts, "tally": self.tally.to_json(),
            }
        )  # fmt: skip

    def do_twin(self):
        """From now on what the twin costs is counted: the real one has started too."""
        for hollow in self.hollows:
            if hollow.twin:
                hollow.cpu = hollow.events = hollow.bytes_in = hollow.bytes_out = hollow.bytes_before = 0
        self.say(twin=True)

    def do_end(self):
        self.run = False

    def report(self):
        """One line a second: of that second."""
        moment, spent = now(), cpu()
        seconds = (moment - self.reported_at) / S
        bytes_ = []
        for hollow in self.hollows:
            count = hollow.bytes_in + hollow.bytes_out
            if not hollow.wide:
                bytes_.append((count - hollow.bytes_before) / seconds)
            hollow.bytes_before = count
        share = (spent - self.cpu_before) / seconds
        self.peaks["cpu_share"] = max(self.peaks["cpu_share"], share)
        self.peaks["bytes_second"] = max(self.peaks["bytes_second"], *bytes_, 0)
        self.peaks["memory"] = max(self.peaks["memory"], memory())
        ready = sum(hollow.ready_at > 0 for hollow in self.hollows if not hollow.wide)
        mean = sum(bytes_) / max(len(bytes_), 1)
        self.say(second={"cpu": share, "bytes": mean, "most_bytes": max(bytes_, default=0), "ready": ready})
        self.reported_at, self.cpu_before = moment, spent

    def say(self, **told):
        sys.stdout.write(json.dumps({"at": now(), **told}) + "\n")
        sys.stdout.flush()


def cpu():
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def memory():
    """Bytes of its own."""
    with open("/proc/self/status", encoding="ascii") as file:
        return next(int(line.split()[1]) * 1024 for line in file if line.startswith("RssAnon"))


def main():
    gc.collect()
    base = memory()
    with open(sys.argv[1], encoding="utf-8") as file:
        process = Process(json.load(file), base)
    process.loop()


if __name__ == "__main__":
    main()
