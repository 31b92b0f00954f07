"""Two whole clusters in one simulated world: the ledger with all rules and duties, gateways that follow,
nodes that obey, operators that drain and move; troubles strike all of it. `WholePlay` plays a Schedule."""

import json
import random

from lemonlead.ledger.dispatcher import Dispatcher
from lemonlead.ledger.state import LedgerSettings
from lemonlead.member import assembly

from . import schedules
from .clients import Asking, Operator
from .gateways import Gateway
from .hosts import Cluster
from .nodes import SERVING, Node
from .schedules import Play
from .whole_checks import Between, judges
from .world import MS, SECOND, InvariantViolation, World

NAMES = ("louis", "ebene")
SERVICES = {"louis": "search", "ebene": "print"}  # by where each is at first
NODES, UNITS = 5, 20  # of each cluster; units of each node
QUORUM = 2  # of each service's group of three
TERMS = LedgerSettings(lease=4 * SECOND, grace=SECOND, cold=SECOND)
SPAN = 14_000  # milliseconds in which troubles begin and operators act
HEALS = 1_500
ENDS = 60_000  # within so many milliseconds after that all drains and moves end
KINDS = {
    **schedules.KINDS,
    "clusters": (8, 300, 5000),  # one cluster from the other, one way or both
    "gateway_cut": (8, 300, 8000),
    "gateway_with": (6, 1000, 9000),  # a member and a gateway on one side, all other members on the other
    "gateway_anew": (5, 100, 1500),
    "node_cut": (5, 300, 6000),
}


def draw(seed, kinds=None, span=SPAN):
    return schedules.draw(seed, kinds, KINDS, span)


def dispatcher(host, told, kept, state, now):
    cluster = host.cluster
    made = Dispatcher(told, kept, cluster.ledger, state, now, snapshot_every=cluster.snapshot_every)
    made.leader_tasks = assembly.make_leader_tasks(
        made, cluster.id, [name for name in NAMES if name != cluster.id], told.seed
    )
    return made


class People:
    """Operators and schedulers of one cluster: what is asked is asked until it is answered, or given up."""

    def __init__(self, cluster, seed, until):
        self.cluster, self.world, self.until = cluster, cluster.world, until
        self.name = f"people-{cluster.id}"
        self.chance, self.seed, self.number = random.Random(f"people {seed} {cluster.id}"), seed, 0
        self.nodes = [f"{cluster.id}-{number}" for number in range(NODES)]
        self.other = next(name for name in NAMES if name != cluster.id)
        self.ready = False

    def start(self, world):
        service, nodes = SERVICES[self.cluster.id], self.nodes
        self.steps = [
            *({"kind": "node", "node": node, "site": self.cluster.id, "units": UNITS} for node in nodes),
            {"kind": "reserve", "reservation": f"{service}-wide", "service": service, "units": 8,
             "site": self.cluster.id},
            {"kind": "reserve", "reservation": f"{service}-pinned", "service": service, "units": 3,
             "nodes": nodes[:2]},
            {"kind": "group", "group": f"{service}/replicas", "nodes": nodes[1:4], "quorum": QUORUM},
        ]  # fmt: skip
        self.prepare()

    def prepare(self, code=200, body=None):
        """One after the other, each until it is done."""
        if code == 200:
            if body is not None:
                self.steps.pop(0)
            self.id = None
        if not self.steps:
            self.ready = True
            return self.next()
        return self.ask(self.steps[0], self.prepare, tries=40)

    def ask(self, told, over, tries=8):
        self.number += 1
        id = f"{self.name}/{self.number}"
        data = json.dumps({"id": id, **told}).encode()
        Asking(self.cluster, self.name, id, data, over, tries=tries, seed=self.seed).ask()

    def next(self):
        if self.world.now < self.until:
            self.world.after(self.chance.randint(50, 700) * MS, self.act)

    def act(self):
        told = getattr(self, self.chance.choice(WANTS))(self.chance)
        self.ask(told, lambda code, body: None)
        self.next()

    def burst(self, count):
        for _ in range(count):
            self.ask(self.reserve(self.chance), lambda code, body: None, tries=1)

    # ---- what they ask for

    def reserve(self, chance):
        told = {"kind": "reserve", "reservation": f"r{chance.randrange(5)}", "service": "other"}
        if chance.random() < 0.5:
            return {**told, "units": chance.randint(1, 6), "site": self.cluster.id}
        return {**told, "units": chance.randint(1, 2), "nodes": chance.sample(self.nodes, 2)}

    def free(self, chance):
        return {"kind": "free", "reservation": f"r{chance.randrange(5)}"}

    def gang(self, chance):
        service = SERVICES[self.cluster.id] if chance.random() < 0.15 else "other"
        name, nodes = f"{service}/{chance.randrange(3)}", chance.sample(self.nodes, 2)
        ends = 1_750_000_000_000 + self.world.now // MS + chance.randint(100, 5000)
        return {"kind": "gang", "gang": name, "nodes": nodes, "units": 1, "ends_ms": ends}

    def gang_end(self, chance):
        leader = self.cluster.leader()
        gangs = sorted(leader.dispatcher.state.part("gangs")) if leader else []
        return {"kind": "gang_end", "gang": chance.choice(gangs or ["none"])}

    def drain(self, chance):
        nodes = chance.sample(self.nodes, chance.randint(1, 4))
        return {"kind": "drain", "drain": f"d{chance.randrange(3)}", "nodes": nodes}

    def drain_stop(self, chance):
        return {"kind": "drain_stop", "drain": f"d{chance.randrange(3)}"}

    def move(self, chance):
        service = chance.choice(sorted(SERVICES.values()))
        return {"kind": "move", "move": f"m{self.number}", "service": service, "to": self.other}

    def move_stop(self, chance):
        leader = self.cluster.leader()
        names = sorted(leader.dispatcher.state.part("moving")) if leader and chance.random() < 0.3 else []
        return {"kind": "move_stop", "move": chance.choice(names or ["none"])}

    def tidy(self):
        """In the end: gangs end, whoever began them."""
        leader = self.cluster.leader()
        for gang in sorted(leader.dispatcher.state.part("gangs")) if leader else ():
            self.ask({"kind": "gang_end", "gang": gang}, lambda code, body: None)
        self.world.after(2 * SECOND, self.tidy)


WANTS = (
    "reserve", "reserve", "free", "gang", "gang", "gang_end", "gang_end", "gang_end", "drain", "drain",
    "drain_stop", "move", "move", "move_stop",
)  # fmt: skip


class Side(Play):
    """One cluster with all that is its own; the troubles of a Play strike it."""

    def __init__(self, play, name, ledger, made):
        schedule, self.world, self.schedule = play.schedule, play.world, play.schedule
        self.judges = judges(ledger, play.between)
        members = [f"g{number + 1}" for number in range(schedule.members)]
        self.cluster = Cluster(
            self.world, name, members, ledger, self.judges,
            make_dispatcher=made.get("make_dispatcher", dispatcher),
            told=schedules.short, terms=TERMS,
        )  # fmt: skip
        self.operator = Operator(self.cluster, f"{schedule.seed} {name}")
        self.people = People(self.cluster, schedule.seed, play.span * MS)
        self.clients, self.probes, self.impostors = [self.people] * 4, [], []
        seed, lease, nodes = schedule.seed, TERMS.lease, self.people.nodes
        node = made.get("node", Node)
        self.nodes = [node(self.cluster, one, lease, seed, play.between.goes) for one in nodes]
        play.between.nodes.update((one.name, one) for one in self.nodes)
        gateway = made.get("gateway", Gateway)
        self.gateways = [
            gateway(self.cluster, f"{name}-gw{number}", service, nodes, seed)
            for number, service in enumerate(sorted(SERVICES.values()))
        ]
        play.between.gateways[name] = self.gateways
        for one in self.gateways:
            one.watched.append(play.between.entries[name].polled)
        for actor in (self.people, *self.gateways):
            self.world.add(actor)

    def run(self):
        raise TypeError("its world runs it")

    def unquiet(self):
        """What has not come to its end, empty where all has."""
        leader = self.cluster.leader()
        if leader is None:
            return f"{self.cluster.id} has no leader"
        state = leader.dispatcher.state
        for part in ("moving", "permits", "wants", "gangs"):
            for key in state.part(part):
                row = state.part("moves")[key] if part == "moving" else state.part(part)[key]
                return f"{self.cluster.id}: {part} {key}: {row}"
        for node in self.nodes:
            if node.state != SERVING or not node.last[1]:
                return f"{node.name} is {node.state}, {node.last}"
        return ""

    # ---- troubles beside those of a Play

    def clusters(self, host, fault):
        other = next(name for name in NAMES if name != self.cluster.id)
        lines = [
            (self.cluster.line(here), self.world.clusters[other].line(there))
            for here in sorted(self.cluster.hosts)
            for there in sorted(self.world.clusters[other].hosts)
        ]
        self.sever(fault, lines, fault.more % 3)

    def gateway_cut(self, host, fault):
        self.apart(fault, self.gateways[fault.more % 2])

    def node_cut(self, host, fault):
        self.apart(fault, self.nodes[fault.more % NODES])

    def apart(self, fault, one):
        lines = [(one.line, self.cluster.line(name)) for name in sorted(self.cluster.hosts)]
        if fault.more % 5 == 0:  # the way back alone
            return self.sever(fault, [line[::-1] for line in lines])
        return self.sever(fault, lines, fault.more % 3)

    def gateway_with(self, host, fault):
        others, gateway = self.others(host), self.gateways[fault.more % 2]
        lines = [(gateway.line, self.cluster.line(name)) for name in others]
        self.sever(fault, lines + self.cluster.lines([host.name], others), True)

    def gateway_anew(self, host, fault):
        gateway = self.gateways[fault.more % 2]
        gateway.life += 1
        gateway.heard = False
        self.later(fault, gateway.begin)


class WholePlay:
    """`span`: milliseconds in which troubles begin and operators act. `made`: what is in place of what, for
    faults put in on purpose: `make_dispatcher`, `node`, `gateway`, `ledger` (function(cluster's name))."""

    def __init__(self, schedule, span=SPAN, **made):
        self.schedule, self.span, self.world = schedule, span, World(schedule.seed)
        self.between = Between(NAMES, TERMS, QUORUM)
        ledger = made.get("ledger", lambda name: assembly.make_ledger())
        self.sides = [Side(self, name, ledger(name), made) for name in NAMES]
        self.prepared = False

    def run(self):
        world = self.world
        for fault in self.schedule.faults:
            side = self.sides[(fault.at + fault.more // 8) % 2]
            world.after(fault.at * MS, side.befall, fault)
        world.after(0, self.prepare)
        world.run((self.span + HEALS) * MS)
        for side in self.sides:
            side.heal()
            side.people.tidy()
        started = world.now
        if not world.run(started + ENDS * MS, self.ended):
            raise InvariantViolation("Live", f"does not come to an end: {self.why()}", world.now)
        world.counts["slowest to end, ms"] = (world.now - started) // MS
        for side in self.sides:
            side.cluster.tell("ended")
        self.between.ended()

    def prepare(self):
        """Nodes start once their cluster knows them; a service counts as held once all of it stands."""
        for side in self.sides:
            service = SERVICES[side.cluster.id]
            if side.people.ready and service not in self.between.services:
                self.between.services[service] = (f"{service}-wide", f"{service}-pinned")
                for node in side.nodes:
                    self.world.add(node)
        if len(self.between.services) < len(NAMES):
            self.world.after(50 * MS, self.prepare)

    def ended(self):
        """Looked at now and then: each look goes over much."""
        if self.world.number % 16:
            return False
        return not self.why()

    def why(self):
        for side in self.sides:
            if not side.people.ready:
                return f"{side.cluster.id} is not prepared"
            if why := side.why() or side.unquiet():
                return why
        return ""


__all__ = ["KINDS", "NAMES", "WholePlay", "draw"]
