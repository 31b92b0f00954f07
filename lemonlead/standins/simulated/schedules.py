"""Lists of troubles: drawn from a seed, played in a world with all judges, shrunk to the shortest that still
fails. A Schedule prints as Python that plays it again."""

import random
from dataclasses import dataclass, replace

from lemonlead.ledger import capacity, membership
from lemonlead.ledger.state import Ledger

from .checks import Promises, Seeing, all_judges
from .clients import Asking, Client, Operator, command
from .disks import Held
from .history import Undecided
from .hosts import Cluster, Host, plain_dispatcher
from .world import MS, SECOND, InvariantViolation, World

SPAN = 6_000  # milliseconds in which troubles begin
HEALS = 1_500  # after the span all is healed
SERVES = 25_000  # and within so many milliseconds more all of it serves again
SITES = ("louis", "ebene")


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """`at`, `length`: milliseconds. `whom`: 0 for whoever leads then, else the so-maniest of the others by
    name. `more`: what else the kind asks for."""

    at: int
    kind: str
    whom: int = 0
    length: int = 0
    more: int = 0


@dataclass(frozen=True, slots=True)
class Schedule:
    seed: int
    members: int
    faults: tuple


@dataclass(slots=True)
class PlayResult:
    """How a schedule came out. `violation`: None where no checker found one."""

    schedule: Schedule
    violation: InvariantViolation | None
    counts: dict
    undecided: int = 0


# ---- drawing

KINDS = {  # kind: (weight, least length, most length)
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


def draw(seed, kinds=None, table=KINDS, span=SPAN):
    """`kinds`: names out of the `table`; all of them where none is given."""
    chance = random.Random(f"schedule {seed}")
    names = sorted(kinds or table)
    weights = [table[name][0] for name in names]
    faults = []
    for _ in range(chance.randint(2, 7)):
        kind = chance.choices(names, weights)[0]
        _, least, most = table[kind]
        at, whom = chance.randint(0, span), 0 if chance.random() < 0.45 else chance.randint(1, 4)
        faults.append(InjectedFault(at, kind, whom, chance.randint(least, most), chance.randrange(1000)))
    faults.sort(key=lambda fault: fault.at)
    return Schedule(seed, 5 if chance.random() < 0.15 else 3, tuple(faults))


# ---- playing


def plain_ledger():
    return Ledger({**capacity.RULES, **membership.RULES}, {**capacity.KINDS, **membership.KINDS})


class Play:
    """One world with one cluster, four clients at two sites, an operator, and the troubles of a schedule.
    `setup`: function(play), called before it starts, may add actors, clusters and judges."""

    def __init__(self, schedule, make_dispatcher=plain_dispatcher, setup=None, **more):
        self.schedule = schedule
        self.world = World(schedule.seed)
        ledger = plain_ledger()
        names = [f"g{number + 1}" for number in range(schedule.members)]
        self.judges = all_judges(ledger)
        self.cluster = Cluster(
            self.world,
            "c",
            names,
            ledger,
            self.judges,
            make_dispatcher=make_dispatcher,
            **{"told": short, **more},
        )
        self.operator = Operator(self.cluster, schedule.seed)
        until = (SPAN + HEALS) * MS
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
            client.ask("node", f"{site}-n", 10, lambda: None)
        for client in self.clients:
            world.add(client)
        for fault in self.schedule.faults:
            world.after(fault.at * MS, self.befall, fault)
        world.run((SPAN + HEALS) * MS)
        self.heal()
        started = world.now
        if not world.run(started + SERVES * MS, self.serves):
            raise InvariantViolation("Live", f"does not serve again: {self.why()}", world.now)
        world.counts["slowest to serve again, ms"] = (world.now - started) // MS
        self.cluster.tell("ended")
        self.one(Promises).not_done(
            [asking for client in self.clients for asking in client.askings] + self.operator.askings
        )
        self.one(Seeing).judge(self.clients)

    def one(self, kind):
        return next(judge for judge in self.judges if isinstance(judge, kind))

    # ---- the end: all is healed, and has to serve

    def heal(self):
        self.world.network.heal()
        for host in self.impostors:
            host.wipe()
        for host in list(self.cluster.hosts.values()):
            if host.gone:
                continue
            if host.disk.broken:
                host.kill()
            host.disk.heal()
            host.dies_in = None
            host.go_on()
            host.start()
        for site in SITES:
            self.probe(site, 0)

    def probe(self, site, number):
        """A read by a new client of each site, again until it is answered."""
        client = Client(self.cluster, f"probe-{site}", site, self.schedule.seed, 0)
        self.clients.append(client)
        self.probes.append(client)
        client.ask("read", "", 0, lambda: None)
        self.world.after(3 * SECOND, self.again, client)

    def again(self, client):
        if not any(call.result != "unknown" for call in client.seen):
            client.ask("read", "", 0, lambda: None)
            self.world.after(3 * SECOND, self.again, client)

    def serves(self):
        return not self.why()

    def why(self):
        """What is lacking until all serves again; empty once it does."""
        if self.operator.busy:
            return "the lost machine is not made up for"
        for client in self.probes:
            if all(call.result == "unknown" for call in client.seen):
                return f"{client.name} has no answer"
        last = self.judges[0].last
        for host in self.cluster.hosts.values():
            if not host.gone and (host.dispatcher is None or host.dispatcher.state.index < last):
                return (
                    f"{host.name} is at {host.dispatcher and host.dispatcher.state.index}, {last} is "
                    "committed"
                )
        return ""

    # ---- troubles

    def befall(self, fault):
        host = self.whom(fault.whom)
        if host is None:
            return
        self.world.count(f"trouble: {fault.kind}")
        getattr(self, fault.kind)(host, fault)

    def whom(self, number):
        hosts = [host for _, host in sorted(self.cluster.hosts.items()) if not host.gone]
        leader = self.cluster.leader()
        if number == 0 and leader is not None and not leader.gone:
            return leader
        others = [host for host in hosts if host is not leader]
        return others[number % len(others)] if others else None

    def later(self, fault, function, *args):
        self.world.after(fault.length * MS, function, *args)

    def kill(self, host, fault):
        host.kill()
        self.later(fault, host.start)

    kill_long = kill

    def kill_within(self, host, fault):
        """In the midst of a turn, after a few of its steps."""
        host.dies_in = 1 + fault.more % 12
        self.later(fault, host.start)

    def pause(self, host, fault):
        host.pause()
        self.later(fault, host.go_on)

    def wipe(self, host, fault):
        """Only where no other machine is lost that is not made up for yet."""
        if self.operator.busy or host in self.impostors:
            return None
        host.wipe()
        self.world.count("wipes")
        self.operator.lost(host.name, fault.length * MS)
        return host

    def impostor(self, host, fault):
        """The lost machine comes up again under its old name, with an empty folder: as one that is to be
        added, or as one that believes it forms the cluster."""
        if self.wipe(host, fault) is None:
            return
        cluster = self.cluster
        held = Held()
        if fault.more % 2:
            first = b"".join(cluster.ledger.pieces(cluster.formed))
            held = Held(cluster.base.term, "", cluster.base, [], first)
        again = Host(cluster, host.name, cluster.new_folder(host.name))
        again.disk = cluster.disk(again.disk.folder, held)
        cluster.hosts[host.name] = again
        self.impostors.append(again)
        self.world.after((50 + fault.more % 200) * MS, again.start)

    def cut(self, host, fault):
        self.sever(fault, self.cluster.lines([host.name], self.others(host)), True)

    def cut_out(self, host, fault):
        self.sever(fault, self.cluster.lines([host.name], self.others(host)))

    def cut_in(self, host, fault):
        self.sever(fault, self.cluster.lines(self.others(host), [host.name]))

    def cut_pair(self, host, fault):
        others = self.others(host)
        if others:
            pair = self.cluster.lines([host.name], [others[fault.more % len(others)]])
            self.sever(fault, pair, fault.more % 3)

    def split(self, host, fault):
        names = sorted(self.cluster.hosts)
        near = {name for at, name in enumerate(names) if fault.more >> at & 1} | {host.name}
        self.sever(fault, self.cluster.lines(sorted(near), [n for n in names if n not in near]), True)

    def others(self, host):
        return [name for name in sorted(self.cluster.hosts) if name != host.name]

    def sever(self, fault, lines, both=False):
        lines = lines + [line[::-1] for line in lines] if both else lines
        self.world.network.cut(lines)
        self.later(fault, self.world.network.mend, lines)

    def weather(self, fault, **fields):
        before = self.world.network.weather
        self.world.network.weather = replace(before, **fields)
        self.later(fault, self.clear, fields)

    def clear(self, fields):
        plain = {name: 0.0 for name in fields}
        self.world.network.weather = replace(self.world.network.weather, **plain)

    def lossy(self, host, fault):
        self.weather(fault, lost=0.05 + fault.more / 3000)

    def twice(self, host, fault):
        self.weather(fault, twice=0.5)

    def late(self, host, fault):
        self.weather(fault, late=0.3)

    def garbled(self, host, fault):
        self.weather(fault, garbled=0.2)

    def slow_disk(self, host, fault):
        disk = host.disk
        disk.least, disk.most = 30 * MS, (60 + fault.more % 300) * MS
        self.later(fault, disk.at_speed)

    def stalled_disk(self, host, fault):
        """One sync that takes as long as the trouble lasts."""
        disk = host.disk
        disk.least = disk.most = fault.length * MS
        self.world.after(300 * MS, disk.at_speed)

    def broken_disk(self, host, fault):
        """Full, or a sync that fails. Once it is mended, the process is started anew."""
        host.disk.broken = "no space left" if fault.more % 2 else "sync failed"
        self.later(fault, self.mended, host)

    def mended(self, host):
        if not host.gone and host.disk.broken:
            host.kill()
            host.disk.heal()
            host.start()

    def jump(self, host, fault):
        host.jumped += (fault.more - 500) * 20_000

    def rolling(self, host, fault):
        """Each in turn is ended and started again."""
        for at, name in enumerate(sorted(self.cluster.hosts)):
            self.world.after(at * (fault.length + 300) * MS, self.restart, name, fault)

    def restart(self, name, fault):
        host = self.cluster.hosts.get(name)
        if host is not None and not host.gone:
            if host.dispatcher is not None and not host.paused and fault.more % 2:
                host.take(host.hand_over)
            self.world.after(50 * MS, self.kill, host, fault)

    def all(self, host, fault):
        for one in list(self.cluster.hosts.values()):
            if not one.gone:
                self.kill(one, fault)

    def burst(self, host, fault):
        self.clients[fault.more % 4].burst(16)

    def hand_over(self, host, fault):
        if host.dispatcher is not None:
            host.take(host.hand_over)


def short(cluster, name, folder, seed):
    from .hosts import short_told

    return short_told(cluster, name, folder, seed)


def play(schedule, kind=Play, **more):
    """Plays it in a world of this kind; what a judge saw, or an error of the dispatchers, is in `broken`."""
    made, undecided, broken = None, 0, None
    try:
        made = kind(schedule, **more)
        made.run()
    except InvariantViolation as error:
        broken = error
    except Undecided:
        undecided = 1
    except Exception as error:  # whatever a dispatcher raises is a failure of the schedule
        broken = InvariantViolation(
            f"raised {type(error).__name__}", f"{error} {where(error)}", made and made.world.now
        )
        broken.__cause__ = error
    counts = {**made.world.network.counts, **made.world.counts} if made else {}
    return PlayResult(schedule, broken, counts, undecided)


def where(error):
    trace = error.__traceback__
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"({trace.tb_frame.f_code.co_name}, line {trace.tb_lineno})"


# ---- shrinking


def shrink(schedule, fails, max_plays=150):
    """Returns the shortest schedule found that still fails. `fails`: function(schedule) to bool; it is called
    at most `max_plays` times."""
    left = [max_plays]

    def still(faults):
        if left[0] <= 0:
            return False
        left[0] -= 1
        return fails(replace(schedule, faults=tuple(faults)))

    faults, size = list(schedule.faults), max(len(schedule.faults) // 2, 1)
    while size:
        at = 0
        while at < len(faults):
            fewer = faults[:at] + faults[at + size :]
            if still(fewer):
                faults = fewer
            else:
                at += size
        size //= 2
    for at, fault in enumerate(faults):
        for share in (0, 4, 2):
            length = fault.length // share if share else 0
            shorter = replace(fault, length=length)
            if length < fault.length and still([*faults[:at], shorter, *faults[at + 1 :]]):
                faults[at] = shorter
                break
    return replace(schedule, faults=tuple(faults))


__all__ = [
    "KINDS",
    "Asking",
    "Play",
    "PlayResult",
    "Schedule",
    "InjectedFault",
    "command",
    "draw",
    "play",
    "shrink",
]
