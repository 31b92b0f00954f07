"""Two clusters with moves between them, in one process and simulated time.

Each has a ledger and a leader with its leader tasks, but no replicas: entries are applied when they are
proposed. Faults happen between the clusters (calls and responses lost, late, repeated, out of order, cut) and
at the leaders (replaced at any time, a deposed leader that goes on calling for a while, no leader, a state
restored from its snapshot)."""

import heapq
import random
from itertools import count

import msgspec

from ..drains import rules as drains
from ..drains.leader_task import DrainTask
from ..ledger import capacity, followers
from ..ledger.records import COMMAND, Entry
from ..ledger.state import Command, Ledger, State
from ..moves import holds, rules
from ..moves.steps import MoveTask
from .move_checks import MoveChecker

MS = 1_000_000
SECOND = 1_000_000_000
CALL_TIMEOUT_NS = 2 * SECOND
DEPOSED_CALLS_NS = 3 * SECOND  # for so long a deposed leader goes on calling, by its last state
SERVICES = ("search", "print", "other")  # on whose moves each gateway votes


def ledger(**changed):
    """Returns a ledger with the rules of moves and drains. `changed`: rules to replace, by command class."""
    all_rules = {**capacity.RULES, **followers.RULES, **drains.RULES, **rules.RULES, **holds.RULES}
    all_rules |= {kind: changed[kind.__name__] for kind in all_rules if kind.__name__ in changed}
    kinds = {**capacity.KINDS, **followers.KINDS, **drains.KINDS, **rules.KINDS}
    return Ledger(all_rules, kinds, followers.INNER + drains.INNER + rules.INNER)


class SimulatedCluster:
    """A cluster: its state, and the tasks of its leader."""

    def __init__(self, world, name, others, ledger, task):
        self.world = world
        self.name = name
        self.others = others
        self.ledger = ledger
        self.make = task
        self.state, self.term, self.up = State(), 0, True
        self.followers, self.retry_at, self.next_wakeup = followers.Followers(), {}, None
        self.drains, self.state_changed = DrainTask(), True
        self.gateways = []
        self.elect()

    def elect(self):
        """Makes a new leader. The previous one goes on calling for a while by its last state."""
        if self.term:
            old = self.move_task
            state = self.state
            at = self.world.now
            for later in range(200, DEPOSED_CALLS_NS // MS, 200):
                self.world.at(at + later * MS, lambda: self.call_as_deposed(old, state))
        self.term, self.retry_at, self.up = self.term + 1, {}, True
        self.move_task = self.make(self.name, self.others, self.world.rng.random())
        self.followers.became_leader(self.world.now)
        self.apply(b"", 0)
        for task in (self.move_task, self.drains):
            task.became_leader(self.world.now)

    def call_as_deposed(self, task, state):
        wanted = task.next(self.world.now, 0, state, followers.Followers())
        if wanted is not None and not isinstance(wanted, Command):
            self.world.call(self, task, wanted)

    def restore(self):
        """Restarts all members at once: the state is read from its snapshot."""
        self.state = self.ledger.whole(b"".join(self.ledger.pieces(self.state)))
        self.elect()

    def apply(self, data, what=COMMAND):
        state = self.state
        self.state_changed = True
        entry = Entry(state.index + 1, self.term, what, self.world.now, self.world.now // MS, data)
        self.state, applied = self.ledger.apply(state, entry)
        if applied.code == 200 and applied.changes:
            changes = [(part, key, msgspec.to_builtins(row)) for (part, key), row in applied.changes.items()]
            self.world.checker.saw(self.name, entry.index, changes)
            if any(part == "moves" for part, *_ in changes):
                self.world.steps.append(self.world.now)
            for hook in list(self.world.hooks):
                hook(self, applied.changes)
        return applied.code, applied.body

    def do(self, command):
        """Applies a command of a client or operator. Returns (code, body)."""
        self.world.at(self.world.now, lambda: None)
        return self.apply(msgspec.json.encode(command))

    def run_tasks(self):
        """Runs the leader's tasks until they have nothing to do, and schedules their next wakeup."""
        due = self.state_changed or self.next_wakeup is not None and self.next_wakeup <= self.world.now
        if not self.up or not due:
            return
        self.state_changed = False
        world = self.world
        tasks = (self.move_task, self.drains)
        for _ in range(1000):
            if not any(self.run_task_once(task) for task in tasks):
                break
        else:
            raise AssertionError("a leader task never comes to rest")
        wake = min(max(task.wake_at(), self.retry_at.get(task, 0), world.now + MS) for task in tasks)
        if self.next_wakeup is None or not world.now < self.next_wakeup <= wake:
            self.next_wakeup = wake
            if wake < 1 << 60:
                world.at(wake, lambda: None)

    def run_task_once(self, task):
        world = self.world
        if world.now < self.retry_at.get(task, 0):
            return False
        wanted = task.next(world.now, world.now // MS, self.state, self.followers)
        if isinstance(wanted, Command):
            code, _ = self.apply(msgspec.json.encode(wanted))
            if code != 200:
                self.retry_at[task] = world.now + SECOND
        elif wanted is not None:
            world.call(self, task, wanted)
        return wanted is not None

    def obey(self, took=2 * SECOND):
        """Lets nodes obey permits from now on: one with a clear permit goes down and serves again later."""
        self.world.at(self.world.now + SECOND, lambda: self.obey(took))
        for node, permit in list(self.state.part("permits").items()):
            if permit.phase == drains.CLEAR:
                self.do(capacity.Report(node=node, state="drained"))
                self.world.at(
                    self.world.now + took,
                    lambda node=node: self.do(capacity.Report(node=node, state="serving")),
                )


class World:
    """The simulated world.

    `lose`, `twice`: shares of messages that are lost or repeated. `late`: the longest delay. `straggle`: the
    longest further delay of a repeat. `cut`: pairs (from, to) between which nothing passes, and names of
    gateways that are cut off. `decide_vote(world, gateway, move record)` returns a gateway's vote, or None.
    """

    def __init__(
        self, seed=0, names=("louis", "ebene"), gateways=2, task=MoveTask, ledgers=None, decide_vote=None
    ):
        self.rng, self.now, self.turns, self.events = random.Random(seed), SECOND, count(), []
        self.checker, self.hooks, self.cut, self.answers = MoveChecker(names), [], set(), []
        self.lose = 0.0
        self.twice = 0.0
        self.late = 20 * MS
        self.straggle = 0
        self.faulty = {}  # name of a message fault to the time at which it ends
        self.flying = 0  # messages in flight
        self.steps = []  # times at which the record of a move changed
        self.unknown = 0.0  # share of commands that are applied and get no response
        self.decide_vote = decide_vote or (lambda world, gateway, move: "on")
        self.clusters = {}
        for name in names:
            rest = [other for other in names if other != name]
            self.clusters[name] = SimulatedCluster(
                self, name, rest, (ledgers or {}).get(name) or ledger(), task
            )
        for name, side in self.clusters.items():
            for number in range(gateways):
                gateway = f"{name}-gateway-{number}"
                side.gateways.append(gateway)
                side.do(followers.Follow(id=gateway, gateway=gateway, services=SERVICES))
                self.at(self.now + number * 50 * MS, lambda side=side, g=gateway: self.poll(side, g))

    def at(self, due, action):
        heapq.heappush(self.events, (due, next(self.turns), action))

    # ---- gateways: they follow the ledger and vote

    def poll(self, side, gateway):
        self.at(self.now + 250 * MS, lambda: self.poll(side, gateway))
        if not side.up or gateway in self.cut:
            return
        if gateway not in side.state.part("followers"):
            return side.do(followers.Follow(gateway=gateway, services=SERVICES))
        side.followers.polled(self.now, gateway, side.state.index)
        for name in side.state.part("moving"):
            move = side.state.part("moves")[name]
            known = gateway in move.on or gateway in move.back
            if (
                move.step == rules.SHIFTING
                and not known
                and (verdict := self.decide_vote(self, gateway, move))
            ):
                side.do(
                    rules.MoveVote(
                        move=name, epoch=move.epoch, stage=move.stage, gateway=gateway, verdict=verdict
                    )
                )

    # ---- calls from cluster to cluster

    def call(self, side, task, call):
        """Makes a call. The task gets one `called` for it: the response or, after the timeout, code 0."""
        state = {"open": True}

        def end(code, body):
            if state["open"]:
                state["open"] = False
                task.called(self.now, call, code, body)
                side.state_changed = True

        def arrive():
            code, body = self.taken(call)
            if self.rng.random() >= self.unknown:
                self.carry(call.cluster, side.name, lambda: end(code, body))

        self.carry(side.name, call.cluster, arrive)
        self.at(self.now + CALL_TIMEOUT_NS, lambda: end(0, {}))

    def carry(self, source, to, arrive):
        for copy in range(1 + (self.rng.random() < self.twice)):
            if (source, to) in self.cut or self.rng.random() < self.lose:
                continue
            delay = self.rng.randrange(MS, self.late + 2 * MS)
            if copy and self.straggle:
                delay += self.rng.randrange(self.straggle)
            self.flying += 1
            self.at(self.now + delay, lambda: self.deliver(arrive))

    def deliver(self, arrive):
        self.flying -= 1
        arrive()

    def taken(self, call):
        side = self.clusters[call.cluster]
        if not side.up:
            return 503, {"outcome": "not done"}
        return side.apply(call.data)

    # ---- running

    def run(self, until):
        """Runs until this time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
            for side in self.clusters.values():
                side.run_tasks()
        self.now = max(self.now, until)

    def run_till(self, fits, most=900 * SECOND):
        """Runs until the condition is true, for at most `most` ns. Returns whether it is true."""
        end = self.now + most
        while not fits() and self.now < end:
            if not self.events or self.events[0][0] > end:
                break
            self.run(self.events[0][0])
        return fits()

    def quiet(self):
        """Returns whether no move is open at any cluster."""
        return not any(side.state.part("moving") for side in self.clusters.values())

    def move(self, name, cluster="louis"):
        return self.clusters[cluster].state.part("moves").get(name)

    def when(self, step, action, cluster="louis", stage=None):
        """Calls `action` once, when a move's record at this cluster reaches this step (and stage)."""

        def hook(side, changes):
            for (part, _), row in changes.items():
                fits = part == "moves" and row is not None and row.step == step
                if side.name == cluster and fits and stage in (None, row.stage):
                    self.hooks.remove(hook)
                    return self.at(self.now, action)

        self.hooks.append(hook)

    def cut_for(self, time, pairs=(("louis", "ebene"), ("ebene", "louis"))):
        self.cut.update(pairs)
        self.at(self.now + time, lambda: self.cut.difference_update(pairs))


def furnish(world, cluster, nodes=4, units=10, site=None):
    """Declares nodes of a cluster, all at one site."""
    for number in range(nodes):
        world.clusters[cluster].do(
            capacity.NodeCommand(node=f"{cluster}-{number}", site=site or cluster, units=units)
        )


def serve(world, cluster, service, units=8, pinned=4, group=0):
    """Creates a service: a reservation by site, one by node, and a group of `group` nodes, if any."""
    side = world.clusters[cluster]
    reserve = capacity.Reserve
    responses = [
        side.do(reserve(reservation=f"{service}-wide", service=service, units=units, site=cluster)),
        side.do(
            reserve(
                reservation=f"{service}-pinned",
                service=service,
                units=pinned,
                nodes=tuple(f"{cluster}-{number}" for number in range(2)),
            )
        ),
    ]
    if group:
        members = tuple(f"{cluster}-{number}" for number in range(group))
        responses.append(
            side.do(capacity.GroupCommand(group=f"{service}/replicas", nodes=members, quorum=group // 2 + 1))
        )
    assert [code for code, _ in responses] == [200] * len(responses), responses
