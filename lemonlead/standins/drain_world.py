"""A ledger, the leader's drain task, gateways and nodes that obey permits, in simulated time.

There are no replicas and no I/O. Nodes and gateways read the ledger with a delay. A node acts on a permit
only if it read it within the lease. It reports `drained` before it goes down, comes back catching up, then
serves. `drain_checks.DrainChecker` checks each entry; `broken` lists the violations."""

import random

import msgspec

from ..drains.leader_task import DrainTask
from ..drains.rules import INNER, KINDS, RULES, PermitCommand
from ..ledger import capacity, followers
from ..ledger.capacity import up
from ..ledger.membership import formed
from ..ledger.records import COMMAND, Entry
from ..ledger.state import Ledger, LedgerSettings
from .drain_checks import DrainChecker

MS = 1_000_000
S = 1000 * MS


class NodeState:
    """The real state of a node."""

    def __init__(self):
        self.known_index = 0  # index of the state that it last read
        self.next_read = self.until = (
            0  # time of its next read of the ledger; time at which its present work ends
        )
        self.last_read = 0  # time of its last read
        self.permit = None  # as of its last read
        self.acting = ""  # "ending" (its requests), "away", "catching up", or empty
        self.has_failed = False  # it failed without a permit
        self.last_permit = (0, 0)


class World:
    def __init__(self, seed=1, terms=None, late=60 * S, gateways=2, pace=(1, 400), away=(500, 3000)):
        self.rng = random.Random(seed)
        self.terms = terms or LedgerSettings(lease=2 * S, grace=S // 2, cold=3 * S)
        self.ledger = Ledger(
            {**capacity.RULES, **followers.RULES, **RULES},
            {**capacity.KINDS, **followers.KINDS, **KINDS},
            (*followers.INNER, *INNER),
        )
        self.state, _ = formed({}, self.terms)
        self.now = 0
        self.wall = 1_000_000
        self.term = 1
        self.ids = 0
        self.leader_start_ledger_time = 0
        self.leader_start = 0
        self.drain_task, self.follow = DrainTask(late), followers.Followers()
        self.slow = False  # whether the drain task plans one slice a step
        self.blocked = 0  # the leader proposes nothing before this time
        self.checker = DrainChecker(
            self.terms.lease, self.terms.grace, self.terms.cold_share, self.terms.site_share
        )
        self.broken = []
        self.refused = 0
        self.waves = 0
        self.wave_at = -1
        self.pace = pace  # ms between reads of the ledger, as (least, most)
        self.away = away  # ms that a node is down, as (least, most)
        self.nodes = {}
        self.down = set()  # nodes that are down, or back and not serving, by a permit
        self.gateways = {}  # name: [next poll, index, silent]
        self.no_return = set()  # nodes that do not come back; that stay catching up
        self.no_catching_up = set()
        for number in range(gateways):
            self.join(f"gw{number}")

    # ---- commands

    def apply(self, command):
        data = msgspec.json.encode(command)
        ledger_time = self.leader_start_ledger_time + self.now - self.leader_start
        entry = Entry(self.state.index + 1, self.term, COMMAND, ledger_time, self.wall, data)
        self.state, applied = self.ledger.apply(self.state, entry)
        about = msgspec.json.decode(data)
        changes = applied.changes if applied.code == 200 else {}
        self.broken += self.checker.entry(
            self.now, entry.index, self.term, self.state.moment, changes, about["kind"], about
        )
        self.broken += self.check_nodes_down(changes)
        return applied

    def ask(self, kind, **fields):
        """Applies a client's command. Returns (code, body)."""
        self.ids += 1
        data = msgspec.json.encode({"id": f"test/{self.ids}", "kind": kind, **fields})
        applied = self.apply(self.ledger.read(data, outside=True))
        if kind == "node" and applied.code == 200:
            self.nodes.setdefault(fields["node"], NodeState())
        return applied.code, applied.body

    def check_nodes_down(self, changes):
        """Returns nodes that are really down by a permit while the ledger counts on them, as texts."""
        found = []
        for name in [key for part, key in changes if part == "nodes" and key in self.down]:
            record = self.state.part("nodes")[name]
            if record.state == "serving" and not record.out:
                found.append(f"{name} is {self.nodes[name].acting} and counted on")
        return found

    def join(self, name):
        self.ask("follow", gateway=name)
        self.gateways[name] = [self.now, self.state.index, False]

    # ---- time

    def new_leader(self):
        """Makes a new leader: the memory of the drain task and of the followers is lost."""
        self.term += 1
        self.leader_start_ledger_time = self.state.moment
        self.leader_start = self.now
        self.drain_task.became_leader(self.now)
        self.follow.became_leader(self.now)
        self.checker.leader_start = self.now
        self.checker.polls = {}
        self.blocked = 0

    def step(self, duration):
        """Advances time; gateways poll, nodes act, and the leader proposes until it has nothing to do."""
        self.now += duration
        self.wall += duration // MS
        for name, row in self.gateways.items():
            if row[0] <= self.now and not row[2] and name in self.state.part("followers"):
                self.follow.polled(self.now, name, row[1])
                self.checker.record_poll(self.now, name, row[1])
                row[0], row[1] = self.now + self.spread(), self.state.index
        for name in sorted(self.nodes):
            self.node_acts(name, self.nodes[name])
        self.lead()

    def lead(self):
        for _ in range(5000):
            if self.now < self.blocked:
                return
            wanted = self.follow.next(self.now, self.state)
            wanted = wanted or self.drain_task.next(self.now, self.wall, self.state, self.follow)
            if wanted is None and self.drain_task.planning and not self.slow:
                continue
            if wanted is None:
                return
            nodes = self.state.part("nodes")
            wave = isinstance(wanted, PermitCommand) and any(up(nodes[name]) for name in wanted.nodes)
            code = self.apply(wanted).code
            if code != 200:
                self.refused += 1
                self.blocked = self.now + S
            elif wave and self.wave_at != self.now:  # a long wave takes several entries
                self.waves, self.wave_at = self.waves + 1, self.now
        raise AssertionError(f"the drain task does not come to rest: {wanted}")

    def spread(self):
        return self.rng.randint(*self.pace) * MS

    def node_acts(self, name, node):
        if node.has_failed:
            return
        if node.next_read <= self.now:
            node.next_read, node.last_read, node.known_index = (
                self.now + self.spread(),
                self.now,
                self.state.index,
            )
            node.permit = self.state.part("permits").get(name)
        permit = node.permit
        if node.acting == "" and permit is not None and permit.phase == "clear":
            fresh = (
                self.now - node.last_read < self.terms.lease
                and (permit.term, permit.index) > node.last_permit
            )
            if fresh:
                node.acting, node.until = "ending", self.now + self.spread()
        elif node.acting == "ending":
            clear = permit is not None and permit.phase == "clear"
            if not clear or self.now - node.last_read >= self.terms.lease:
                node.acting = ""
            elif node.until <= self.now:
                node.last_permit = (permit.term, permit.index)
                node.acting = "away"
                node.until = self.now + self.rng.randint(*self.away) * MS
                self.down.add(name)
                self.ask("report", node=name, state="drained")
        elif node.acting == "away" and node.until <= self.now and name not in self.no_return:
            node.acting, node.until = "catching up", self.now + self.spread()
            self.ask("report", node=name, state="catching_up")
        elif node.acting == "catching up" and node.until <= self.now and name not in self.no_catching_up:
            node.acting = ""
            self.down.discard(name)
            self.ask("report", node=name, state="serving")
        elif node.acting == "" and permit is not None and permit.phase == "recalled":
            node.permit = None
            self.ask("report", node=name, state="serving", seen=node.known_index)

    def fail(self, name):
        self.nodes[name].has_failed = True
        self.nodes[name].acting = ""
        self.down.discard(name)
        self.ask("report", node=name, state="failed")

    def heal(self, name):
        node = self.nodes[name]
        node.has_failed, node.acting, node.until = False, "catching up", self.now + self.spread()
        self.down.add(name)
        node.next_read = self.now
        node.permit = None
        self.ask("report", node=name, state="catching_up")

    def run(self, until, most=20_000, step=200 * MS):
        """Steps until the condition is true, at most `most` times. Returns whether it is true."""
        for _ in range(most):
            if until(self):
                return True
            self.step(step)
        return until(self)

    def phase(self, drain):
        return self.state.part("drains")[drain].phase
