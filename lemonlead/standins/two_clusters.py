"""Two clusters as moves see them, in one process and simulated time: each a ledger, a leader and its duty.

No replicas: a ledger's entries are applied as they are proposed. What can go wrong is between the clusters
(calls and answers lost, late, twice, out of order, cut) and at the leaders (changed at any moment, a deposed
one that goes on calling for a while, none at all, a state restored from its snapshot)."""

import heapq
import random
from itertools import count

import msgspec

from ..drains import rules as drains
from ..drains.leader_task import DrainTask
from ..ledger import capacity, followers
from ..ledger.records import COMMAND, Entry
from ..ledger.state import Command, Ledger, State
from ..moves import rules
from ..moves.steps import MoveTask
from .move_checks import Watch

MS = 1_000_000
SECOND = 1_000_000_000
TIME_OUT = 2 * SECOND  # of a call
DEPOSED = 3 * SECOND  # for so long a deposed leader goes on calling, by its last state
SERVICES = ("search", "print", "other")  # on whose moves each gateway votes


def ledger(**changed):
    """The ledger with all rules that matter here; `changed`: rules in place of others, by command's name."""
    all_rules = {**capacity.RULES, **followers.RULES, **drains.RULES, **rules.RULES}
    all_rules |= {kind: changed[kind.__name__] for kind in all_rules if kind.__name__ in changed}
    kinds = {**capacity.KINDS, **followers.KINDS, **drains.KINDS, **rules.KINDS}
    return Ledger(all_rules, kinds, followers.INNER + drains.INNER + rules.INNER)


class Side:
    """A cluster: its state, and the leader's duty while one is in office."""

    def __init__(self, world, name, others, ledger, duty):
        self.world = world
        self.name = name
        self.others = others
        self.ledger = ledger
        self.make = duty
        self.state, self.term, self.up = State(), 0, True
        self.followers, self.again, self.woken = followers.Followers(), {}, None
        self.drains, self.stirred = DrainTask(), True
        self.gateways = []
        self.elect()

    def elect(self):
        """A new leader, with a duty of its own; the one before goes on by what it last knew."""
        if self.term:
            old = self.duty
            state = self.state
            at = self.world.now
            for later in range(200, DEPOSED // MS, 200):
                self.world.at(at + later * MS, lambda: self.haunt(old, state))
        self.term, self.again, self.up = self.term + 1, {}, True
        self.duty = self.make(self.name, self.others, self.world.rng.random())
        self.followers.became_leader(self.world.now)
        self.apply(b"", 0)
        for duty in (self.duty, self.drains):
            duty.became_leader(self.world.now)

    def haunt(self, duty, state):
        wanted = duty.next(self.world.now, 0, state, followers.Followers())
        if wanted is not None and not isinstance(wanted, Command):
            self.world.call(self, duty, wanted)

    def restore(self):
        """All restart at once: the state comes from its snapshot."""
        self.state = self.ledger.whole(b"".join(self.ledger.pieces(self.state)))
        self.elect()

    def apply(self, data, what=COMMAND):
        state = self.state
        self.stirred = True
        entry = Entry(state.index + 1, self.term, what, self.world.now, self.world.now // MS, data)
        self.state, applied = self.ledger.apply(state, entry)
        if applied.code == 200 and applied.changes:
            changes = [(part, key, msgspec.to_builtins(row)) for (part, key), row in applied.changes.items()]
            self.world.watch.saw(self.name, entry.index, changes)
            if any(part == "moves" for part, *_ in changes):
                self.world.steps.append(self.world.now)
            for hook in list(self.world.hooks):
                hook(self, applied.changes)
        return applied.code, applied.body

    def do(self, command):
        """A client's or operator's."""
        self.world.at(self.world.now, lambda: None)
        return self.apply(msgspec.json.encode(command))

    def pump(self):
        """What the leader's duties do now; then they are asked again at their moment."""
        due = self.stirred or self.woken is not None and self.woken <= self.world.now
        if not self.up or not due:
            return
        self.stirred = False
        world = self.world
        duties = (self.duty, self.drains)
        for _ in range(1000):
            if not any(self.one(duty) for duty in duties):
                break
        else:
            raise AssertionError("a duty that never rests")
        wake = min(max(duty.wake_at(), self.again.get(duty, 0), world.now + MS) for duty in duties)
        if self.woken is None or not world.now < self.woken <= wake:
            self.woken = wake
            if wake < 1 << 60:
                world.at(wake, lambda: None)

    def one(self, duty):
        world = self.world
        if world.now < self.again.get(duty, 0):
            return False
        wanted = duty.next(world.now, world.now // MS, self.state, self.followers)
        if isinstance(wanted, Command):
            code, _ = self.apply(msgspec.json.encode(wanted))
            if code != 200:
                self.again[duty] = world.now + SECOND
        elif wanted is not None:
            world.call(self, duty, wanted)
        return wanted is not None

    def obey(self, took=2 * SECOND):
        """Its nodes, from now on: one whose permit is clear goes down, and serves again after a while."""
        self.world.at(self.world.now + SECOND, lambda: self.obey(took))
        for node, permit in list(self.state.part("permits").items()):
            if permit.phase == drains.CLEAR:
                self.do(capacity.Report(node=node, state="drained"))
                self.world.at(
                    self.world.now + took,
                    lambda node=node: self.do(capacity.Report(node=node, state="serving")),
                )


class World:
    """`lose`, `twice`: shares of messages; `late`: the longest delay; `cut`: (from, to) pairs that nothing
    passes. `judge`: what a gateway votes, function(world, gateway, move record)."""

    def __init__(self, seed=0, names=("louis", "ebene"), gateways=2, duty=MoveTask, ledgers=None, judge=None):
        self.rng, self.now, self.turns, self.events = random.Random(seed), SECOND, count(), []
        self.watch, self.hooks, self.cut, self.answers = Watch(names), [], set(), []
        self.lose = 0.0
        self.twice = 0.0
        self.late = 20 * MS
        self.straggle = 0
        self.faulty = {}  # until when messages are carried so, by what is wrong
        self.flying = 0  # messages not yet there
        self.steps = []  # moments at which a move's record changed
        self.unknown = 0.0  # share of commands that are done and answered as unknown
        self.judge = judge or (lambda world, gateway, move: "on")
        self.sides = {}
        for name in names:
            rest = [other for other in names if other != name]
            self.sides[name] = Side(self, name, rest, (ledgers or {}).get(name) or ledger(), duty)
        for name, side in self.sides.items():
            for number in range(gateways):
                gateway = f"{name}-gateway-{number}"
                side.gateways.append(gateway)
                side.do(followers.Follow(id=gateway, gateway=gateway, services=SERVICES))
                self.at(self.now + number * 50 * MS, lambda side=side, g=gateway: self.poll(side, g))

    def at(self, moment, action):
        heapq.heappush(self.events, (moment, next(self.turns), action))

    # ---- gateways: they obey what they read, and vote

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
            if move.step == rules.SHIFTING and not known and (verdict := self.judge(self, gateway, move)):
                side.do(
                    rules.MoveVote(
                        move=name, epoch=move.epoch, stage=move.stage, gateway=gateway, verdict=verdict
                    )
                )

    # ---- calls from cluster to cluster

    def call(self, side, duty, call):
        """One `called` for each: what came back, or 0 once it took too long."""
        state = {"open": True}

        def end(code, body):
            if state["open"]:
                state["open"] = False
                duty.called(self.now, call, code, body)
                side.stirred = True

        def arrive():
            code, body = self.taken(call)
            if self.rng.random() >= self.unknown:
                self.carry(call.cluster, side.name, lambda: end(code, body))

        self.carry(side.name, call.cluster, arrive)
        self.at(self.now + TIME_OUT, lambda: end(0, {}))

    def carry(self, source, to, arrive):
        for copy in range(1 + (self.rng.random() < self.twice)):
            if (source, to) in self.cut or self.rng.random() < self.lose:
                continue
            delay = self.rng.randrange(MS, self.late + 2 * MS)
            if copy and self.straggle:
                delay += self.rng.randrange(self.straggle)
            self.flying += 1
            self.at(self.now + delay, lambda: self.landed(arrive))

    def landed(self, arrive):
        self.flying -= 1
        arrive()

    def taken(self, call):
        side = self.sides[call.cluster]
        if not side.up:
            return 503, {"outcome": "not done"}
        return side.apply(call.data)

    # ---- running

    def run(self, until):
        """To this moment."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
            for side in self.sides.values():
                side.pump()
        self.now = max(self.now, until)

    def run_till(self, fits, most=900 * SECOND):
        """Until this holds; whether it came to hold within `most`."""
        end = self.now + most
        while not fits() and self.now < end:
            if not self.events or self.events[0][0] > end:
                break
            self.run(self.events[0][0])
        return fits()

    def quiet(self):
        """Whether no move is open on any side."""
        return not any(side.state.part("moving") for side in self.sides.values())

    def move(self, name, cluster="louis"):
        return self.sides[cluster].state.part("moves").get(name)

    def when(self, step, action, cluster="louis", stage=None):
        """Once, as a move's record of this cluster comes to this step (and stage)."""

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
    """Nodes for a cluster, all at one site."""
    for number in range(nodes):
        world.sides[cluster].do(
            capacity.NodeCommand(node=f"{cluster}-{number}", site=site or cluster, units=units)
        )


def serve(world, cluster, service, units=8, pinned=4, group=0):
    """A service: one reservation by site, one by node, and a group of so many members."""
    side = world.sides[cluster]
    reserve = capacity.Reserve
    made = [
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
        made.append(
            side.do(capacity.GroupCommand(group=f"{service}/replicas", nodes=members, quorum=group // 2 + 1))
        )
    assert [code for code, _ in made] == [200] * len(made), made
