"""Machines: each hosts one member's dispatcher as a process does, on a clock and a disk of its own. A Cluster
is the machines of one ledger, with the judges that watch them."""

import random

from lemonlead.ledger.dispatcher import Dispatcher
from lemonlead.ledger.membership import ConfiguredMember, LedgerSettings, Membership, formed
from lemonlead.ledger.records import LEADER, ReplicaConfig
from lemonlead.ledger.state import State

from .checks import Judge
from .disks import Disk, Held, Work
from .world import MS, SECOND, WALL, InvariantViolation

MOST_STEPS = 20_000  # of one turn; past it the dispatcher never comes to an end
MOST_WAITING = 5_000  # inputs of a machine that stands still; past it they are lost


def short_told(cluster, name, folder, seed):
    """Times and bounds that make much happen in few seconds."""
    return ReplicaConfig(
        cluster,
        name,
        folder,
        seed,
        election=1 * SECOND,
        heartbeat=250 * MS,
        most_entries=4,
        most_bytes=4096,
        in_flight=3,
        uncommitted=12,
        waiting=12,
        keep=6,
    )


def plain_dispatcher(host, told, kept, state, now):
    cluster = host.cluster
    duties = cluster.duties()
    dispatcher = Dispatcher(
        told, kept, cluster.ledger, state, now, duties, snapshot_every=cluster.snapshot_every
    )
    dispatcher.leader_tasks.insert(0, Membership(dispatcher))
    return dispatcher


class Cluster:
    """`ledger`: its rules. `duties`: function() to a new list of duties for each dispatcher (seating is
    always there). `judges`: see checks.Judge. `make_dispatcher`, `make_disk`: what hosts a member, and on
    what."""

    def __init__(
        self,
        world,
        id,
        names,
        ledger,
        judges=(),
        duties=list,
        make_dispatcher=plain_dispatcher,
        make_disk=Disk,
        told=short_told,
        terms=None,
        snapshot_every=10,
    ):
        self.world, self.id, self.ledger, self.judges = world, id, ledger, list(judges)
        self.duties, self.make_dispatcher, self.make_disk, self.told = (
            duties,
            make_dispatcher,
            make_disk,
            told,
        )
        self.snapshot_every = snapshot_every
        self.watching = {}  # what judges are told: the functions of those that want it
        self.hosts, self.folders = {}, 0
        world.clusters[id] = self
        seats = {name: ConfiguredMember(f"{name}:1", f"{name}-0") for name in names}
        self.formed, self.base = formed(seats, terms or LedgerSettings())
        first = b"".join(ledger.pieces(self.formed))
        for judge in self.judges:
            judge.cluster = self
        self.tell("formed", self, self.formed, self.base)
        for name in names:
            held = Held(self.base.term, "", self.base, [], first)
            self.hosts[name] = Host(self, name, self.disk(f"{name}-0", held))
        for host in self.hosts.values():
            host.start()

    def disk(self, folder, held=None):
        return self.make_disk(folder, self.world.seed, self.world.after, held, self.synced)

    def watch(self, judge):
        """One judge more, from now on."""
        self.judges.append(judge)
        self.watching.clear()
        judge.cluster = self
        judge.formed(self, self.formed, self.base)

    def tell(self, what, *args):
        """The judges, in their order."""
        functions = self.watching.get(what)
        if functions is None:
            plain = getattr(Judge, what)
            wants = [judge for judge in self.judges if getattr(type(judge), what) is not plain]
            functions = self.watching[what] = [getattr(judge, what) for judge in wants]
        for function in functions:
            function(*args)

    def synced(self, disk):
        self.tell("synced", self, disk)

    def new_folder(self, name):
        self.folders += 1
        return self.disk(f"{name}-{self.folders}")

    def join(self, name):
        """A new machine that starts outside, with an empty folder."""
        host = self.hosts[name] = Host(self, name, self.new_folder(name))
        host.start()
        return host

    @property
    def up(self):
        return [host for host in self.hosts.values() if host.dispatcher is not None and not host.paused]

    def leader(self):
        """Whoever leads in the newest term, or None."""
        lead = [host for host in self.up if host.dispatcher.replica.role == LEADER]
        return max(lead, key=lambda host: host.dispatcher.replica.term, default=None)

    def line(self, name):
        """The name of a machine's end in the network."""
        return f"{self.id}/{name}"

    def lines(self, froms, tos):
        return [(self.line(a), self.line(b)) for a in froms for b in tos if a != b]


class Host:
    """A machine. `dispatcher` is None while its process is down."""

    def __init__(self, cluster, name, disk):
        self.cluster, self.world, self.name, self.disk = cluster, cluster.world, name, disk
        self.chance = random.Random(f"host {self.world.seed} {disk.folder}")
        self.offset = self.chance.randint(0, 10**6) * SECOND
        self.rate = 1 + self.chance.uniform(-0.01, 0.01)
        self.jumped = 0  # milliseconds that its wall clock is off
        self.dispatcher, self.paused, self.gone = None, False, False
        self.life, self.waiting, self.wakes = 0, [], None
        self.dies_in = None  # steps until it is killed in the midst of a turn
        self.parts = None  # of a snapshot under way: (base, bytes)
        self.received = (None, b"")  # the last that came whole
        self.polls = 0

    def now(self):
        return self.offset + round(self.world.now * self.rate)

    def wall_ms(self):
        return WALL + self.world.now // MS + self.jumped

    # ---- what befalls it

    def start(self):
        if self.dispatcher is not None or self.gone:
            return
        self.life += 1
        self.disk.failing = lambda why: self.take(self.fail, why)
        kept = self.disk.kept()
        state = self.cluster.ledger.whole(self.disk.held.snapshot) if self.disk.held.snapshot else State()
        told = self.cluster.told(self.cluster.id, self.name, self.disk.folder, self.chance.randrange(1 << 30))
        self.parts, self.waiting, self.paused, self.wakes, self.dies_in = None, [], False, None, None
        self.dispatcher = self.cluster.make_dispatcher(self, told, kept, state, self.now())
        self.cluster.tell("started", self)
        self.turn()

    def kill(self):
        if self.dispatcher is not None:
            self.world.count("kills")
        self.dispatcher, self.paused, self.waiting = None, False, []
        self.disk.crash()

    def wipe(self):
        """The machine is lost with its disk, for good."""
        self.kill()
        self.gone = True
        self.cluster.tell("wiped", self)

    def pause(self):
        if self.dispatcher is not None:
            self.paused = True

    def go_on(self):
        if not self.paused:
            return
        self.paused, waiting, self.waiting = False, self.waiting, []
        for life, input, args in waiting:
            if life == self.life and self.dispatcher is not None and not self.paused:
                input(*args)
        self.turn()

    def take(self, input, *args):
        """One input, and all that it leads to. Nothing reaches a process that is down; what reaches one
        that stands still waits."""
        if self.dispatcher is None:
            return
        if self.paused:
            if len(self.waiting) < MOST_WAITING:
                self.waiting.append((self.life, input, args))
            return
        input(*args)
        self.turn()

    def turn(self):
        dispatcher, now = self.dispatcher, self.now()
        if dispatcher is None:
            return
        dispatcher.set_clocks(now, self.wall_ms())
        door = Door(self)
        for _ in range(MOST_STEPS):
            if self.dies_in is not None:
                if self.dies_in <= 0:
                    self.cluster.tell("turned", self)
                    return self.kill()
                self.dies_in -= 1
            if not dispatcher.decide(now, door):
                break
        else:
            raise InvariantViolation(
                "turns", f"{self.name} takes more than {MOST_STEPS} steps", self.world.now
            )
        self.cluster.tell("turned", self)
        wakes = max(dispatcher.wake_at(), now + 20_000)
        wakes = round((wakes - self.offset) / self.rate) + 1
        if self.wakes is None or wakes < self.wakes:
            self.wakes = wakes
            self.world.after(wakes - self.world.now, self.wake, self.life, wakes)

    def wake(self, life, wakes):
        if life == self.life and wakes == self.wakes:
            self.wakes = None
            self.take(lambda: None)

    # ---- inputs

    def hear(self, message):
        self.take(self.heard, message)

    def heard(self, message):
        self.dispatcher.receive(self.now(), message)

    def fail(self, why):
        self.dispatcher.disk_failed(self.now(), why)

    def written(self, number, state):
        self.dispatcher.written(self.now(), number, state)

    def snapshot_kept(self, base):
        self.dispatcher.snapshot_kept(self.now(), base)

    def command(self, data, ticket):
        self.dispatcher.command(self.now(), data, ticket)

    def read(self, ticket):
        self.dispatcher.read(self.now(), ticket)

    def poll(self, after, gateway, ticket, since=0, parts=()):
        self.dispatcher.poll(self.now(), after, gateway, ticket, since, parts)

    def hand_over(self, to=""):
        self.dispatcher.hand_over(self.now(), to)

    def called(self, call, code, body):
        self.dispatcher.called(self.now(), call, code, body)


class Door:
    """What a dispatcher asks of its machine."""

    def __init__(self, host):
        self.host, self.world, self.cluster = host, host.world, host.cluster

    def send(self, message):
        cluster = self.cluster
        cluster.tell("sent", self.host, message)

        def arrive(message):
            to = cluster.hosts.get(message.to)
            if to is not None:
                to.hear(message)

        line = cluster.line
        self.world.network.carry(line(self.host.name), line(message.to), arrive, message)

    def write(self, write):
        host = self.host
        self.cluster.tell("wrote", host, write)
        snapshot = b""
        if write.base is not None:
            base, snapshot = host.received
            if base != write.base:
                raise InvariantViolation(
                    "snapshots", f"{host.name} has no bytes of {write.base}", self.world.now
                )
        life = host.life

        def done():
            if life == host.life:
                state = self.cluster.ledger.whole(snapshot) if snapshot else None
                host.take(host.written, write.number, state)

        host.disk.submit(Work(write, snapshot=snapshot, done=done))

    def snapshot(self, state, base):
        host, life = self.host, self.host.life
        self.cluster.tell("kept", host, base)

        def done():
            if life == host.life:
                host.take(host.snapshot_kept, base)

        data = b"".join(self.cluster.ledger.pieces(state))
        host.disk.submit(Work(base=base, snapshot=data, done=done))

    def send_chunk(self, peer, message, most):
        """The snapshot in force on this disk; of another one nothing is to be had any more."""
        held = self.host.disk.held
        if held.base.index != message.base.index:
            return
        data = held.snapshot[message.offset : message.offset + most]
        last = message.offset + len(data) >= len(held.snapshot)
        self.send(type(message)(**{**fields(message), "data": data, "last": last}))

    def receive_chunk(self, message):
        host = self.host
        if host.parts is None or host.parts[0] != message.base or message.offset == 0:
            host.parts = message.base, b""
        base, data = host.parts
        if len(data) != message.offset:
            raise InvariantViolation("snapshots", f"{host.name} got offset {message.offset} at {len(data)}")
        host.parts = base, data + message.data
        if message.last:
            host.received, host.parts = host.parts, None

    def answer(self, ticket, code, body):
        self.cluster.tell("answered", self.host, ticket, code, body)
        ticket.answer(self.host, code, body)

    def readable(self, ticket, state, leader):
        self.cluster.tell("read_answered", self.host, ticket, state)
        ticket.readable(self.host, state, leader)

    def polled(self, ticket, events, at, state, leader):
        ticket.polled(self.host, events, at, state, leader)

    def call(self, call):
        """To some member of the other cluster; code 0 where no answer comes in time."""
        host = self.host
        Passing(self.world, host, call).start()


class Passing:
    """A command of a duty on its way to another cluster, and its answer's way back."""

    TIME_OUT = 1 * SECOND

    def __init__(self, world, host, call):
        self.world, self.host, self.call, self.over = world, host, call, False
        self.life = host.life

    def start(self):
        self.world.after(self.TIME_OUT, self.end, 0, {})
        other = self.world.clusters.get(self.call.cluster)
        if other is None or not other.hosts:
            return
        to = self.world.chance.choice(sorted(other.hosts))
        to = other.leader() if self.world.chance.random() < 0.7 and other.leader() else other.hosts[to]
        lines = self.host.cluster.line(self.host.name), other.line(to.name)
        self.back = lines[::-1]
        carry = self.world.network.carry
        carry(*lines, lambda _: to.take(to.command, self.call.data, self))

    def answer(self, host, code, body):
        self.world.network.carry(*self.back, lambda _: self.end(code, body))

    def end(self, code, body):
        if not self.over and self.host.life == self.life:
            self.over = True
            self.host.take(self.host.called, self.call, code, body)


def fields(message):
    return {name: getattr(message, name) for name in message.__struct_fields__}
