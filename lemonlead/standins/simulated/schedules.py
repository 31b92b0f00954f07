"""Schedules, which are lists of injected faults. They are drawn from a seed, played in a world with all
invariant checkers, and shrunk to the shortest list that still fails. The repr of a Schedule is Python code
that makes it again."""

import random
from dataclasses import dataclass, replace

from lemonlead.ledger import capacity, membership
from lemonlead.ledger.state import Ledger

from .checks import CommandOutcomes, Linearizability, all_checkers
from .clients import Client, Operator, PendingRequest, command
from .disks import DiskContents
from .history import Undecided
from .hosts import Cluster, Host, default_dispatcher
from .world import MS, SECOND, InvariantViolation, World

FAULT_SPAN_MS = 6_000  # in which faults begin
HEAL_AFTER_MS = 1_500  # after the span, all faults end
SERVE_WITHIN_MS = 25_000  # after that, within which everything has to serve again
SITES = ("louis", "ebene")


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """`kind`: name of the method of Play that injects it. `target`: 0 for the leader at that time, else the
    number of another host in the order of their names. `variant`: a random number for further choices of the
    kind."""

    at_ms: int
    kind: str
    target: int = 0
    length_ms: int = 0
    variant: int = 0


@dataclass(frozen=True, slots=True)
class Schedule:
    seed: int
    members: int
    faults: tuple


@dataclass(slots=True)
class PlayResult:
    """How a schedule ended. `violation`: None if no checker found one. `counts`: how often each thing
    happened. `undecided`: 1 if the linearizability check gave up."""

    schedule: Schedule
    violation: InvariantViolation | None
    counts: dict
    undecided: int = 0


# ---- drawing

KINDS = {  # kind: (weight, minimum and maximum length in milliseconds)
    "kill": (10, 100, 3000),
    "kill_within": (6, 100, 1500),
    "kill_long": (2, 4000, 7000),
    "pause": (7, 300, 3500),
    "wipe": (6, 100, 2000),
    "impostor": (3, 300, 2500),
    "cut": (6, 500, 3500),
    "cut_out": (4, 500, 3000),
    "cut_in": (4, 500, 3000),
    "cut_pair": (4, 500, 3000),
    "split": (4, 500, 3500),
    "lossy": (4, 500, 3000),
    "twice": (3, 500, 3000),
    "late": (4, 500, 3000),
    "garbled": (3, 500, 3000),
    "slow_disk": (4, 500, 3000),
    "stalled_disk": (3, 500, 2500),
    "broken_disk": (4, 300, 2500),
    "jump": (2, 0, 0),
    "rolling": (2, 100, 600),
    "all": (3, 50, 1500),
    "burst": (3, 0, 0),
    "hand_over": (4, 0, 0),
}


def draw(seed, kinds=None, table=KINDS, span=FAULT_SPAN_MS):
    """Draws a schedule from a seed. `kinds`: names of the `table`; all of them if none is given."""
    rng = random.Random(f"schedule {seed}")
    names = sorted(kinds or table)
    weights = [table[name][0] for name in names]
    faults = []
    for _ in range(rng.randint(2, 7)):
        kind = rng.choices(names, weights)[0]
        _, least, most = table[kind]
        at, target = rng.randint(0, span), 0 if rng.random() < 0.45 else rng.randint(1, 4)
        faults.append(InjectedFault(at, kind, target, rng.randint(least, most), rng.randrange(1000)))
    faults.sort(key=lambda fault: fault.at_ms)
    return Schedule(seed, 5 if rng.random() < 0.15 else 3, tuple(faults))


# ---- playing


def plain_ledger():
    return Ledger({**capacity.RULES, **membership.RULES}, {**capacity.KINDS, **membership.KINDS})


class Play:
    """A world with one cluster, four clients at two sites, an operator, and the faults of a schedule.
    `setup`: function(play), called before the start, which may add actors, clusters and checkers."""

    def __init__(self, schedule, make_dispatcher=default_dispatcher, setup=None, **more):
        self.schedule = schedule
        self.world = World(schedule.seed)
        ledger = plain_ledger()
        names = [f"g{number + 1}" for number in range(schedule.members)]
        self.checkers = all_checkers(ledger)
        self.cluster = Cluster(
            self.world,
            "c",
            names,
            ledger,
            self.checkers,
            make_dispatcher=make_dispatcher,
            **{"make_config": config, **more},
        )
        self.operator = Operator(self.cluster, schedule.seed)
        until = (FAULT_SPAN_MS + HEAL_AFTER_MS) * MS
        self.clients = [
            Client(self.cluster, f"client{number}", SITES[number % 2], schedule.seed, until)
            for number in range(4)
        ]
        self.probes, self.impostors = [], []
        if setup:
            setup(self)

    def run(self):
        world = self.world
        for site, client in zip(SITES, self.clients, strict=False):
            client.request("node", f"{site}-n", 10, lambda: None)
        for client in self.clients:
            world.add(client)
        for fault in self.schedule.faults:
            world.after(fault.at_ms * MS, self.inject, fault)
        world.run((FAULT_SPAN_MS + HEAL_AFTER_MS) * MS)
        self.heal()
        started = world.now
        if not world.run(started + SERVE_WITHIN_MS * MS, self.serves):
            raise InvariantViolation("Live", f"does not serve again: {self.why_not_serving()}", world.now)
        world.counts["slowest to serve again, ms"] = (world.now - started) // MS
        self.cluster.notify("run_ended")
        self.checker(CommandOutcomes).check_not_done(
            [request for client in self.clients for request in client.requests] + self.operator.requests
        )
        self.checker(Linearizability).check(self.clients)

    def checker(self, kind):
        return next(checker for checker in self.checkers if isinstance(checker, kind))

    # ---- the end: all faults end, and everything has to serve again

    def heal(self):
        self.world.network.heal()
        for host in self.impostors:
            host.wipe()
        for host in list(self.cluster.hosts.values()):
            if host.gone:
                continue
            if host.disk.failure:
                host.kill()
            host.disk.heal()
            host.steps_until_kill = None
            host.resume()
            host.start()
        for site in SITES:
            self.probe(site, 0)

    def probe(self, site, number):
        """Starts a new client at the site, which reads until it has a response."""
        client = Client(self.cluster, f"probe-{site}", site, self.schedule.seed, 0)
        self.clients.append(client)
        self.probes.append(client)
        client.request("read", "", 0, lambda: None)
        self.world.after(3 * SECOND, self.retry_probe, client)

    def retry_probe(self, client):
        if not any(call.result != "unknown" for call in client.observed):
            client.request("read", "", 0, lambda: None)
            self.world.after(3 * SECOND, self.retry_probe, client)

    def serves(self):
        return not self.why_not_serving()

    def why_not_serving(self):
        """Returns why not everything serves again; empty if it does."""
        if self.operator.busy:
            return "the lost machine is not replaced yet"
        for client in self.probes:
            if all(call.result == "unknown" for call in client.observed):
                return f"{client.name} has no response"
        last = self.checkers[0].last_committed
        for host in self.cluster.hosts.values():
            if not host.gone and (host.dispatcher is None or host.dispatcher.state.index < last):
                return (
                    f"{host.name} is at {host.dispatcher and host.dispatcher.state.index}, {last} is "
                    "committed"
                )
        return ""

    # ---- faults, by the name of their kind

    def inject(self, fault):
        host = self.choose_host(fault.target)
        if host is None:
            return
        self.world.count(f"trouble: {fault.kind}")
        getattr(self, fault.kind)(host, fault)

    def choose_host(self, number):
        hosts = [host for _, host in sorted(self.cluster.hosts.items()) if not host.gone]
        leader = self.cluster.leader()
        if number == 0 and leader is not None and not leader.gone:
            return leader
        others = [host for host in hosts if host is not leader]
        return others[number % len(others)] if others else None

    def after_fault(self, fault, function, *args):
        self.world.after(fault.length_ms * MS, function, *args)

    def kill(self, host, fault):
        host.kill()
        self.after_fault(fault, host.start)

    kill_long = kill

    def kill_within(self, host, fault):
        """Kills the process within a turn, after a few of its steps."""
        host.steps_until_kill = 1 + fault.variant % 12
        self.after_fault(fault, host.start)

    def pause(self, host, fault):
        host.pause()
        self.after_fault(fault, host.resume)

    def wipe(self, host, fault):
        """Loses a machine with its disk, unless another lost machine is not replaced yet."""
        if self.operator.busy or host in self.impostors:
            return None
        host.wipe()
        self.world.count("wipes")
        self.operator.machine_lost(host.name, fault.length_ms * MS)
        return host

    def impostor(self, host, fault):
        """Loses a machine, which comes up again under its old name with a new folder: an empty one, as before
        it was added, or one with the initial state of the cluster."""
        if self.wipe(host, fault) is None:
            return
        cluster = self.cluster
        held = DiskContents()
        if fault.variant % 2:
            first = b"".join(cluster.ledger.pieces(cluster.initial_state))
            held = DiskContents(cluster.base.term, "", cluster.base, [], first)
        again = Host(cluster, host.name, cluster.new_folder(host.name))
        again.disk = cluster.disk(again.disk.folder, held)
        cluster.hosts[host.name] = again
        self.impostors.append(again)
        self.world.after((50 + fault.variant % 200) * MS, again.start)

    def cut(self, host, fault):
        self.cut_lines(fault, self.cluster.endpoint_pairs([host.name], self.other_names(host)), True)

    def cut_out(self, host, fault):
        self.cut_lines(fault, self.cluster.endpoint_pairs([host.name], self.other_names(host)))

    def cut_in(self, host, fault):
        self.cut_lines(fault, self.cluster.endpoint_pairs(self.other_names(host), [host.name]))

    def cut_pair(self, host, fault):
        others = self.other_names(host)
        if others:
            pair = self.cluster.endpoint_pairs([host.name], [others[fault.variant % len(others)]])
            self.cut_lines(fault, pair, fault.variant % 3)

    def split(self, host, fault):
        names = sorted(self.cluster.hosts)
        near = {name for at, name in enumerate(names) if fault.variant >> at & 1} | {host.name}
        self.cut_lines(
            fault, self.cluster.endpoint_pairs(sorted(near), [n for n in names if n not in near]), True
        )

    def other_names(self, host):
        return [name for name in sorted(self.cluster.hosts) if name != host.name]

    def cut_lines(self, fault, lines, both=False):
        lines = lines + [line[::-1] for line in lines] if both else lines
        self.world.network.cut(lines)
        self.after_fault(fault, self.world.network.restore, lines)

    def change_conditions(self, fault, **fields):
        before = self.world.network.conditions
        self.world.network.conditions = replace(before, **fields)
        self.after_fault(fault, self.reset_conditions, fields)

    def reset_conditions(self, fields):
        plain = {name: 0.0 for name in fields}
        self.world.network.conditions = replace(self.world.network.conditions, **plain)

    def lossy(self, host, fault):
        self.change_conditions(fault, lost=0.05 + fault.variant / 3000)

    def twice(self, host, fault):
        self.change_conditions(fault, duplicated=0.5)

    def late(self, host, fault):
        self.change_conditions(fault, late=0.3)

    def garbled(self, host, fault):
        self.change_conditions(fault, garbled=0.2)

    def slow_disk(self, host, fault):
        disk = host.disk
        disk.min_delay, disk.max_delay = 30 * MS, (60 + fault.variant % 300) * MS
        self.after_fault(fault, disk.reset_speed)

    def stalled_disk(self, host, fault):
        """One sync takes as long as the fault lasts."""
        disk = host.disk
        disk.min_delay = disk.max_delay = fault.length_ms * MS
        self.world.after(300 * MS, disk.reset_speed)

    def broken_disk(self, host, fault):
        """The disk is full, or a sync fails. Once it is repaired, the process is restarted."""
        host.disk.failure = "no space left" if fault.variant % 2 else "sync failed"
        self.after_fault(fault, self.repair_disk, host)

    def repair_disk(self, host):
        if not host.gone and host.disk.failure:
            host.kill()
            host.disk.heal()
            host.start()

    def jump(self, host, fault):
        host.wall_offset_ms += (fault.variant - 500) * 20_000

    def rolling(self, host, fault):
        """Restarts each member in turn."""
        for at, name in enumerate(sorted(self.cluster.hosts)):
            self.world.after(at * (fault.length_ms + 300) * MS, self.restart, name, fault)

    def restart(self, name, fault):
        host = self.cluster.hosts.get(name)
        if host is not None and not host.gone:
            if host.dispatcher is not None and not host.paused and fault.variant % 2:
                host.take(host.hand_over)
            self.world.after(50 * MS, self.kill, host, fault)

    def all(self, host, fault):
        for one in list(self.cluster.hosts.values()):
            if not one.gone:
                self.kill(one, fault)

    def burst(self, host, fault):
        self.clients[fault.variant % 4].burst(16)

    def hand_over(self, host, fault):
        if host.dispatcher is not None:
            host.take(host.hand_over)


def config(cluster, name, folder, seed):
    from .hosts import short_config

    return short_config(cluster, name, folder, seed)


def play(schedule, kind=Play, **more):
    """Plays the schedule in a world of this class. A violation that a checker saw, or an exception of the
    code under test, is in `violation` of the result."""
    world_play, undecided, violation = None, 0, None
    try:
        world_play = kind(schedule, **more)
        world_play.run()
    except InvariantViolation as error:
        violation = error
    except Undecided:
        undecided = 1
    except Exception as error:  # any error that a dispatcher raises fails the schedule
        violation = InvariantViolation(
            f"raised {type(error).__name__}",
            f"{error} {raised_in(error)}",
            world_play and world_play.world.now,
        )
        violation.__cause__ = error
    counts = {**world_play.world.network.counts, **world_play.world.counts} if world_play else {}
    return PlayResult(schedule, violation, counts, undecided)


def raised_in(error):
    trace = error.__traceback__
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"({trace.tb_frame.f_code.co_name}, line {trace.tb_lineno})"


# ---- shrinking


def shrink(schedule, fails, max_plays=150):
    """Returns the shortest schedule found that still fails. `fails`: function(schedule) to bool; it is called
    at most `max_plays` times."""
    left = [max_plays]

    def still_fails(faults):
        if left[0] <= 0:
            return False
        left[0] -= 1
        return fails(replace(schedule, faults=tuple(faults)))

    faults, size = list(schedule.faults), max(len(schedule.faults) // 2, 1)
    while size:
        at = 0
        while at < len(faults):
            fewer = faults[:at] + faults[at + size :]
            if still_fails(fewer):
                faults = fewer
            else:
                at += size
        size //= 2
    for at, fault in enumerate(faults):
        for share in (0, 4, 2):
            length = fault.length_ms // share if share else 0
            shorter = replace(fault, length_ms=length)
            if length < fault.length_ms and still_fails([*faults[:at], shorter, *faults[at + 1 :]]):
                faults[at] = shorter
                break
    return replace(schedule, faults=tuple(faults))


__all__ = [
    "KINDS",
    "PendingRequest",
    "Play",
    "PlayResult",
    "Schedule",
    "InjectedFault",
    "command",
    "draw",
    "play",
    "shrink",
]
