"""Two whole clusters in one simulated world: the ledger with all its rules and leader tasks, gateways that
follow it, nodes that obey permits, and operators who drain and move. Faults hit all of them. `WholePlay`
plays a Schedule."""

import json
import random

from lemonlead.ledger.dispatcher import Dispatcher
from lemonlead.ledger.state import LedgerSettings
from lemonlead.member import assembly

from . import schedules
from .clients import Operator, PendingRequest
from .gateways import Gateway
from .hosts import Cluster
from .nodes import SERVING, Node
from .schedules import Play
from .whole_checks import CrossClusterChecks, checkers
from .world import MS, SECOND, InvariantViolation, World

NAMES = ("louis", "ebene")
SERVICES = {"louis": "search", "ebene": "print"}  # service that each cluster has at the start
NODES, UNITS = 5, 20  # of each cluster; units of each node
QUORUM = 2  # of each service's group of three
SETTINGS = LedgerSettings(lease=4 * SECOND, grace=SECOND, cold=SECOND)
FAULT_SPAN_MS = 14_000  # in which faults begin and operators act
HEAL_AFTER_MS = 1_500
END_WITHIN_MS = 60_000  # after that, within which all drains and moves have to end
KINDS = {
    **schedules.KINDS,
    "clusters": (8, 300, 5000),  # one cluster from the other, one way or both
    "gateway_cut": (8, 300, 8000),
    "gateway_with": (6, 1000, 9000),  # a member and a gateway on one side, all other members on the other
    "gateway_anew": (5, 100, 1500),
    "node_cut": (5, 300, 6000),
}


def draw(seed, kinds=None, span=FAULT_SPAN_MS):
    return schedules.draw(seed, kinds, KINDS, span)


def make_dispatcher(host, config, stored, state, now):
    cluster = host.cluster
    dispatcher = Dispatcher(config, stored, cluster.ledger, state, now, snapshot_every=cluster.snapshot_every)
    dispatcher.leader_tasks = assembly.make_leader_tasks(
        dispatcher, cluster.id, [name for name in NAMES if name != cluster.id], config.seed
    )
    return dispatcher


class OperatorRequests:
    """The requests of the operators and schedulers of one cluster. Each is sent until it has a response or
    its tries are used up."""

    def __init__(self, cluster, seed, until):
        self.cluster, self.world, self.until = cluster, cluster.world, until
        self.name = f"people-{cluster.id}"
        self.rng, self.seed, self.number = random.Random(f"people {seed} {cluster.id}"), seed, 0
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
        """Sends the steps that set up the cluster one after the other, each until it is done."""
        if code == 200:
            if body is not None:
                self.steps.pop(0)
            self.id = None
        if not self.steps:
            self.ready = True
            return self.schedule_next()
        return self.request(self.steps[0], self.prepare, tries=40)

    def request(self, command, on_end, tries=8):
        self.number += 1
        id = f"{self.name}/{self.number}"
        data = json.dumps({"id": id, **command}).encode()
        PendingRequest(self.cluster, self.name, id, data, on_end, tries=tries, seed=self.seed).send()

    def schedule_next(self):
        if self.world.now < self.until:
            self.world.after(self.rng.randint(50, 700) * MS, self.act)

    def act(self):
        command = getattr(self, self.rng.choice(REQUEST_KINDS))(self.rng)
        self.request(command, lambda code, body: None)
        self.schedule_next()

    def burst(self, count):
        for _ in range(count):
            self.request(self.reserve(self.rng), lambda code, body: None, tries=1)

    # ---- requests, by their kind

    def reserve(self, rng):
        command = {"kind": "reserve", "reservation": f"r{rng.randrange(5)}", "service": "other"}
        if rng.random() < 0.5:
            return {**command, "units": rng.randint(1, 6), "site": self.cluster.id}
        return {**command, "units": rng.randint(1, 2), "nodes": rng.sample(self.nodes, 2)}

    def free(self, rng):
        return {"kind": "free", "reservation": f"r{rng.randrange(5)}"}

    def gang(self, rng):
        service = SERVICES[self.cluster.id] if rng.random() < 0.15 else "other"
        name, nodes = f"{service}/{rng.randrange(3)}", rng.sample(self.nodes, 2)
        ends = 1_750_000_000_000 + self.world.now // MS + rng.randint(100, 5000)
        return {"kind": "gang", "gang": name, "nodes": nodes, "units": 1, "ends_ms": ends}

    def gang_end(self, rng):
        leader = self.cluster.leader()
        gangs = sorted(leader.dispatcher.state.part("gangs")) if leader else []
        return {"kind": "gang_end", "gang": rng.choice(gangs or ["none"])}

    def drain(self, rng):
        nodes = rng.sample(self.nodes, rng.randint(1, 4))
        return {"kind": "drain", "drain": f"d{rng.randrange(3)}", "nodes": nodes}

    def drain_stop(self, rng):
        return {"kind": "drain_stop", "drain": f"d{rng.randrange(3)}"}

    def move(self, rng):
        service = rng.choice(sorted(SERVICES.values()))
        return {"kind": "move", "move": f"m{self.number}", "service": service, "to": self.other}

    def move_stop(self, rng):
        leader = self.cluster.leader()
        names = sorted(leader.dispatcher.state.part("moving")) if leader and rng.random() < 0.3 else []
        return {"kind": "move_stop", "move": rng.choice(names or ["none"])}

    def end_gangs(self):
        """Ends all gangs, at the end of the run."""
        leader = self.cluster.leader()
        for gang in sorted(leader.dispatcher.state.part("gangs")) if leader else ():
            self.request({"kind": "gang_end", "gang": gang}, lambda code, body: None)
        self.world.after(2 * SECOND, self.end_gangs)


REQUEST_KINDS = (
    "reserve", "reserve", "free", "gang", "gang", "gang_end", "gang_end", "gang_end", "drain", "drain",
    "drain_stop", "move", "move", "move_stop",
)  # fmt: skip


class ClusterPlay(Play):
    """One of the clusters, with its operators, gateways and nodes. It takes the faults of a Play and a few
    more."""

    def __init__(self, play, name, ledger, replacements):
        schedule, self.world, self.schedule = play.schedule, play.world, play.schedule
        self.checkers = checkers(ledger, play.cross_checks)
        members = [f"g{number + 1}" for number in range(schedule.members)]
        self.cluster = Cluster(
            self.world, name, members, ledger, self.checkers,
            make_dispatcher=replacements.get("make_dispatcher", make_dispatcher),
            make_config=schedules.config, settings=SETTINGS,
        )  # fmt: skip
        self.operator = Operator(self.cluster, f"{schedule.seed} {name}")
        self.requests = OperatorRequests(self.cluster, schedule.seed, play.span * MS)
        self.clients, self.probes, self.impostors = [self.requests] * 4, [], []
        seed, lease, nodes = schedule.seed, SETTINGS.lease, self.requests.nodes
        node = replacements.get("node", Node)
        self.nodes = [node(self.cluster, one, lease, seed, play.cross_checks.node_goes_down) for one in nodes]
        play.cross_checks.nodes.update((one.name, one) for one in self.nodes)
        gateway = replacements.get("gateway", Gateway)
        self.gateways = [
            gateway(self.cluster, f"{name}-gw{number}", service, nodes, seed)
            for number, service in enumerate(sorted(SERVICES.values()))
        ]
        play.cross_checks.gateways[name] = self.gateways
        for one in self.gateways:
            one.poll_listeners.append(play.cross_checks.entries[name].polled)
        for actor in (self.requests, *self.gateways):
            self.world.add(actor)

    def run(self):
        raise TypeError("WholePlay runs it")

    def find_unfinished(self):
        """Returns a drain, move, gang or node that has not come to its end; empty if all have."""
        leader = self.cluster.leader()
        if leader is None:
            return f"{self.cluster.id} has no leader"
        state = leader.dispatcher.state
        for part in ("moving", "permits", "wants", "gangs"):
            for key in state.part(part):
                row = state.part("moves")[key] if part == "moving" else state.part(part)[key]
                return f"{self.cluster.id}: {part} {key}: {row}"
        for node in self.nodes:
            if node.state != SERVING or not node.last_report[1]:
                return f"{node.name} is {node.state}, {node.last_report}"
        return ""

    # ---- further faults, by the name of their kind

    def clusters(self, host, fault):
        other = next(name for name in NAMES if name != self.cluster.id)
        lines = [
            (self.cluster.endpoint(here), self.world.clusters[other].endpoint(there))
            for here in sorted(self.cluster.hosts)
            for there in sorted(self.world.clusters[other].hosts)
        ]
        self.cut_lines(fault, lines, fault.variant % 3)

    def gateway_cut(self, host, fault):
        self.cut_off(fault, self.gateways[fault.variant % 2])

    def node_cut(self, host, fault):
        self.cut_off(fault, self.nodes[fault.variant % NODES])

    def cut_off(self, fault, one):
        lines = [(one.endpoint, self.cluster.endpoint(name)) for name in sorted(self.cluster.hosts)]
        if fault.variant % 5 == 0:  # only the responses
            return self.cut_lines(fault, [line[::-1] for line in lines])
        return self.cut_lines(fault, lines, fault.variant % 3)

    def gateway_with(self, host, fault):
        others, gateway = self.other_names(host), self.gateways[fault.variant % 2]
        lines = [(gateway.endpoint, self.cluster.endpoint(name)) for name in others]
        self.cut_lines(fault, lines + self.cluster.endpoint_pairs([host.name], others), True)

    def gateway_anew(self, host, fault):
        gateway = self.gateways[fault.variant % 2]
        gateway.incarnation += 1
        gateway.has_state = False
        self.after_fault(fault, gateway.begin)


class WholePlay:
    """`span`: milliseconds in which faults begin and operators act. `replacements`: faulty classes and
    functions that tests use in place of the real ones, by the names `make_dispatcher`, `node`, `gateway`
    and `ledger` (function(name of the cluster))."""

    def __init__(self, schedule, span=FAULT_SPAN_MS, **replacements):
        self.schedule, self.span, self.world = schedule, span, World(schedule.seed)
        self.cross_checks = CrossClusterChecks(NAMES, SETTINGS, QUORUM)
        ledger = replacements.get("ledger", lambda name: assembly.make_ledger())
        self.cluster_plays = [ClusterPlay(self, name, ledger(name), replacements) for name in NAMES]
        self.prepared = False

    def run(self):
        world = self.world
        for fault in self.schedule.faults:
            cluster_play = self.cluster_plays[(fault.at_ms + fault.variant // 8) % 2]
            world.after(fault.at_ms * MS, cluster_play.inject, fault)
        world.after(0, self.prepare)
        world.run((self.span + HEAL_AFTER_MS) * MS)
        for cluster_play in self.cluster_plays:
            cluster_play.heal()
            cluster_play.requests.end_gangs()
        started = world.now
        if not world.run(started + END_WITHIN_MS * MS, self.ended):
            raise InvariantViolation("Live", f"does not come to an end: {self.why_not_ended()}", world.now)
        world.counts["slowest to end, ms"] = (world.now - started) // MS
        for cluster_play in self.cluster_plays:
            cluster_play.cluster.notify("run_ended")
        self.cross_checks.check_end()

    def prepare(self):
        """Starts the nodes once their cluster is set up. From then on its service has to be held
        somewhere."""
        for cluster_play in self.cluster_plays:
            service = SERVICES[cluster_play.cluster.id]
            if cluster_play.requests.ready and service not in self.cross_checks.services:
                self.cross_checks.services[service] = (f"{service}-wide", f"{service}-pinned")
                for node in cluster_play.nodes:
                    self.world.add(node)
        if len(self.cross_checks.services) < len(NAMES):
            self.world.after(50 * MS, self.prepare)

    def ended(self):
        """Checks only every 16th event, as the check is slow."""
        if self.world.event_number % 16:
            return False
        return not self.why_not_ended()

    def why_not_ended(self):
        for cluster_play in self.cluster_plays:
            if not cluster_play.requests.ready:
                return f"{cluster_play.cluster.id} is not prepared"
            if why := cluster_play.why_not_serving() or cluster_play.find_unfinished():
                return why
        return ""


__all__ = ["KINDS", "NAMES", "WholePlay", "draw"]
