"""Simulated machines. Each hosts the dispatcher of one member as a process does, with its own clock and
disk. A Cluster is the machines of one ledger, with the invariant checkers that watch them."""

import random

from lemonlead.ledger.dispatcher import Dispatcher
from lemonlead.ledger.membership import ConfiguredMember, LedgerSettings, Membership, formed
from lemonlead.ledger.records import LEADER, ReplicaConfig
from lemonlead.ledger.state import State

from .checks import Checker
from .disks import Disk, DiskContents, DiskTask
from .world import MS, SECOND, START_WALL_MS, InvariantViolation

MAX_STEPS_PER_TURN = 20_000  # more means that the dispatcher doesn't come to an end
MAX_QUEUED_INPUTS = 5_000  # of a paused machine; further inputs are lost


def short_config(cluster, name, folder, seed):
    """Returns settings with short times and low bounds, so that much happens within a few seconds."""
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


def default_dispatcher(host, config, stored, state, now):
    cluster = host.cluster
    leader_tasks = cluster.make_leader_tasks()
    dispatcher = Dispatcher(
        config, stored, cluster.ledger, state, now, leader_tasks, snapshot_every=cluster.snapshot_every
    )
    dispatcher.leader_tasks.insert(0, Membership(dispatcher))
    return dispatcher


class Cluster:
    """`ledger`: its rules. `make_leader_tasks`: function() that returns a new list of leader tasks for each
    dispatcher (Membership is always added). `checkers`: see checks.Checker. `make_dispatcher`, `make_disk`
    and `make_config`: functions that make the dispatcher, the disk and the ReplicaConfig of a member."""

    def __init__(
        self,
        world,
        id,
        names,
        ledger,
        checkers=(),
        make_leader_tasks=list,
        make_dispatcher=default_dispatcher,
        make_disk=Disk,
        make_config=short_config,
        settings=None,
        snapshot_every=10,
    ):
        self.world, self.id, self.ledger, self.checkers = world, id, ledger, list(checkers)
        self.make_leader_tasks = make_leader_tasks
        self.make_dispatcher = make_dispatcher
        self.make_disk = make_disk
        self.make_config = make_config
        self.snapshot_every = snapshot_every
        self.listeners = {}  # event to the methods of the checkers that override it
        self.hosts, self.folders = {}, 0
        world.clusters[id] = self
        members = {name: ConfiguredMember(f"{name}:1", f"{name}-0") for name in names}
        self.initial_state, self.base = formed(members, settings or LedgerSettings())
        first = b"".join(ledger.pieces(self.initial_state))
        for checker in self.checkers:
            checker.cluster = self
        self.notify("cluster_formed", self, self.initial_state, self.base)
        for name in names:
            held = DiskContents(self.base.term, "", self.base, [], first)
            self.hosts[name] = Host(self, name, self.disk(f"{name}-0", held))
        for host in self.hosts.values():
            host.start()

    def disk(self, folder, held=None):
        return self.make_disk(folder, self.world.seed, self.world.after, held, self.synced)

    def add_checker(self, checker):
        """Adds a checker, which sees all events from now on."""
        self.checkers.append(checker)
        self.listeners.clear()
        checker.cluster = self
        checker.cluster_formed(self, self.initial_state, self.base)

    def notify(self, what, *args):
        """Calls the method `what` of each checker that overrides it, in the order of the checkers."""
        functions = self.listeners.get(what)
        if functions is None:
            default = getattr(Checker, what)
            overriding = [checker for checker in self.checkers if getattr(type(checker), what) is not default]
            functions = self.listeners[what] = [getattr(checker, what) for checker in overriding]
        for function in functions:
            function(*args)

    def synced(self, disk):
        self.notify("disk_synced", self, disk)

    def new_folder(self, name):
        self.folders += 1
        return self.disk(f"{name}-{self.folders}")

    def join(self, name):
        """Starts a new machine with an empty folder, which is not a member yet."""
        host = self.hosts[name] = Host(self, name, self.new_folder(name))
        host.start()
        return host

    @property
    def up(self):
        return [host for host in self.hosts.values() if host.dispatcher is not None and not host.paused]

    def leader(self):
        """Returns the host that leads in the newest term, or None."""
        lead = [host for host in self.up if host.dispatcher.replica.role == LEADER]
        return max(lead, key=lambda host: host.dispatcher.replica.term, default=None)

    def endpoint(self, name):
        """Returns the name of a machine in the network."""
        return f"{self.id}/{name}"

    def endpoint_pairs(self, froms, tos):
        return [(self.endpoint(a), self.endpoint(b)) for a in froms for b in tos if a != b]


class Host:
    """A machine. `dispatcher` is None while its process is down. `gone`: its disk is lost for good."""

    def __init__(self, cluster, name, disk):
        self.cluster = cluster
        self.world = cluster.world
        self.name = name
        self.disk = disk
        self.rng = random.Random(f"host {self.world.seed} {disk.folder}")
        self.clock_offset = self.rng.randint(0, 10**6) * SECOND
        self.clock_rate = 1 + self.rng.uniform(-0.01, 0.01)
        self.wall_offset_ms = 0  # error of its wall clock
        self.dispatcher, self.paused, self.gone = None, False, False
        self.incarnation, self.queued_inputs, self.next_wakeup = 0, [], None
        self.steps_until_kill = None  # of a turn, if it is to be killed within one
        self.incoming_chunks = None  # of a snapshot that is being received: (base, bytes)
        self.received_snapshot = (None, b"")  # the last complete one: (base, bytes)
        self.polls = 0

    def now(self):
        return self.clock_offset + round(self.world.now * self.clock_rate)

    def wall_ms(self):
        return START_WALL_MS + self.world.now // MS + self.wall_offset_ms

    # ---- faults

    def start(self):
        if self.dispatcher is not None or self.gone:
            return
        self.incarnation += 1
        self.disk.on_failure = lambda reason: self.take(self.fail, reason)
        stored = self.disk.stored_state()
        state = (
            self.cluster.ledger.whole(self.disk.contents.snapshot) if self.disk.contents.snapshot else State()
        )
        config = self.cluster.make_config(
            self.cluster.id, self.name, self.disk.folder, self.rng.randrange(1 << 30)
        )
        self.incoming_chunks = None
        self.queued_inputs = []
        self.paused = False
        self.next_wakeup = None
        self.steps_until_kill = None
        self.dispatcher = self.cluster.make_dispatcher(self, config, stored, state, self.now())
        self.cluster.notify("host_started", self)
        self.turn()

    def kill(self):
        if self.dispatcher is not None:
            self.world.count("kills")
        self.dispatcher, self.paused, self.queued_inputs = None, False, []
        self.disk.crash()

    def wipe(self):
        """Loses the machine with its disk, for good."""
        self.kill()
        self.gone = True
        self.cluster.notify("host_wiped", self)

    def pause(self):
        if self.dispatcher is not None:
            self.paused = True

    def resume(self):
        if not self.paused:
            return
        self.paused, queued, self.queued_inputs = False, self.queued_inputs, []
        for incarnation, input, args in queued:
            if incarnation == self.incarnation and self.dispatcher is not None and not self.paused:
                input(*args)
        self.turn()

    def take(self, input, *args):
        """Takes one input and runs the turn that follows. A process that is down gets nothing; the inputs
        of a paused one are queued."""
        if self.dispatcher is None:
            return
        if self.paused:
            if len(self.queued_inputs) < MAX_QUEUED_INPUTS:
                self.queued_inputs.append((self.incarnation, input, args))
            return
        input(*args)
        self.turn()

    def turn(self):
        dispatcher, now = self.dispatcher, self.now()
        if dispatcher is None:
            return
        dispatcher.set_clocks(now, self.wall_ms())
        replica_host = SimulatedReplicaHost(self)
        for _ in range(MAX_STEPS_PER_TURN):
            if self.steps_until_kill is not None:
                if self.steps_until_kill <= 0:
                    self.cluster.notify("turn_ended", self)
                    return self.kill()
                self.steps_until_kill -= 1
            if not dispatcher.decide(now, replica_host):
                break
        else:
            raise InvariantViolation(
                "turns", f"{self.name} takes more than {MAX_STEPS_PER_TURN} steps", self.world.now
            )
        self.cluster.notify("turn_ended", self)
        wakeup_at = max(dispatcher.wake_at(), now + 20_000)
        wakeup_at = round((wakeup_at - self.clock_offset) / self.clock_rate) + 1
        if self.next_wakeup is None or wakeup_at < self.next_wakeup:
            self.next_wakeup = wakeup_at
            self.world.after(wakeup_at - self.world.now, self.wake_up, self.incarnation, wakeup_at)

    def wake_up(self, incarnation, wakeup_at):
        if incarnation == self.incarnation and wakeup_at == self.next_wakeup:
            self.next_wakeup = None
            self.take(lambda: None)

    # ---- inputs

    def message_arrived(self, message):
        self.take(self.receive, message)

    def receive(self, message):
        self.dispatcher.receive(self.now(), message)

    def fail(self, reason):
        self.dispatcher.disk_failed(self.now(), reason)

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


class SimulatedReplicaHost:
    """The DispatcherHost that a dispatcher calls in a turn: it sends, writes and responds for one machine."""

    def __init__(self, host):
        self.host, self.world, self.cluster = host, host.world, host.cluster

    def send(self, message):
        cluster = self.cluster
        cluster.notify("message_sent", self.host, message)

        def arrive(message):
            to = cluster.hosts.get(message.to)
            if to is not None:
                to.message_arrived(message)

        endpoint = cluster.endpoint
        self.world.network.carry(endpoint(self.host.name), endpoint(message.to), arrive, message)

    def write(self, write):
        host = self.host
        self.cluster.notify("write_submitted", host, write)
        snapshot = b""
        if write.base is not None:
            base, snapshot = host.received_snapshot
            if base != write.base:
                raise InvariantViolation(
                    "snapshots", f"{host.name} has no bytes of {write.base}", self.world.now
                )
        incarnation = host.incarnation

        def done():
            if incarnation == host.incarnation:
                state = self.cluster.ledger.whole(snapshot) if snapshot else None
                host.take(host.written, write.number, state)

        host.disk.submit(DiskTask(write, snapshot=snapshot, done=done))

    def snapshot(self, state, base):
        host, incarnation = self.host, self.host.incarnation
        self.cluster.notify("snapshot_submitted", host, base)

        def done():
            if incarnation == host.incarnation:
                host.take(host.snapshot_kept, base)

        data = b"".join(self.cluster.ledger.pieces(state))
        host.disk.submit(DiskTask(base=base, snapshot=data, done=done))

    def send_chunk(self, peer, message, most):
        """Sends a chunk of the snapshot on this disk; nothing if the disk has another snapshot by now."""
        held = self.host.disk.contents
        if held.base.index != message.base.index:
            return
        data = held.snapshot[message.offset : message.offset + most]
        last = message.offset + len(data) >= len(held.snapshot)
        self.send(type(message)(**{**fields(message), "data": data, "last": last}))

    def receive_chunk(self, message):
        host = self.host
        if host.incoming_chunks is None or host.incoming_chunks[0] != message.base or message.offset == 0:
            host.incoming_chunks = message.base, b""
        base, data = host.incoming_chunks
        if len(data) != message.offset:
            raise InvariantViolation("snapshots", f"{host.name} got offset {message.offset} at {len(data)}")
        host.incoming_chunks = base, data + message.data
        if message.last:
            host.received_snapshot, host.incoming_chunks = host.incoming_chunks, None

    def answer(self, ticket, code, body):
        self.cluster.notify("command_answered", self.host, ticket, code, body)
        ticket.answer(self.host, code, body)

    def readable(self, ticket, state, leader):
        self.cluster.notify("read_answered", self.host, ticket, state)
        ticket.readable(self.host, state, leader)

    def polled(self, ticket, events, at, state, leader):
        ticket.polled(self.host, events, at, state, leader)

    def call(self, call):
        """Sends a call of a leader task to a member of the other cluster. Code 0 if no response comes in
        time."""
        host = self.host
        ClusterCall(self.world, host, call).start()


class ClusterCall:
    """A command of a leader task to another cluster, and its response."""

    CALL_TIMEOUT = 1 * SECOND

    def __init__(self, world, host, call):
        self.world = world
        self.host = host
        self.call = call
        self.ended = False
        self.incarnation = host.incarnation

    def start(self):
        self.world.after(self.CALL_TIMEOUT, self.end, 0, {})
        other = self.world.clusters.get(self.call.cluster)
        if other is None or not other.hosts:
            return
        to = self.world.rng.choice(sorted(other.hosts))
        to = other.leader() if self.world.rng.random() < 0.7 and other.leader() else other.hosts[to]
        endpoints = self.host.cluster.endpoint(self.host.name), other.endpoint(to.name)
        self.return_endpoints = endpoints[::-1]
        carry = self.world.network.carry
        carry(*endpoints, lambda _: to.take(to.command, self.call.data, self))

    def answer(self, host, code, body):
        self.world.network.carry(*self.return_endpoints, lambda _: self.end(code, body))

    def end(self, code, body):
        if not self.ended and self.host.incarnation == self.incarnation:
            self.ended = True
            self.host.take(self.host.called, self.call, code, body)


def fields(message):
    return {name: getattr(message, name) for name in message.__struct_fields__}
