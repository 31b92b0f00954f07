"""A ledger, a leader's duty, gateways and nodes that obey permits, in simulated time: no replica, no I/O.

Nodes and gateways know the ledger late. A node acts on a permit only while what it knows of it is younger
than the lease; it reports `drained` before it goes down, comes back catching up, then serves. Each entry
goes through `drain_checks.Watch`; what it finds is in `broken`."""

import random

import msgspec

from ..drains.leader_task import DrainTask
from ..drains.rules import INNER, KINDS, RULES, PermitCommand
from ..ledger import capacity, followers
from ..ledger.capacity import up
from ..ledger.membership import formed
from ..ledger.records import COMMAND, Entry
from ..ledger.state import Ledger, LedgerSettings
from .drain_checks import Watch

MS = 1_000_000
S = 1000 * MS


class Held:
    """A node as it really is."""

    def __init__(self):
        self.known = 0  # index of the state that it knows
        self.sees = self.until = 0  # when it looks at the ledger next; when its present work ends
        self.heard = 0  # when it last looked
        self.permit = None  # as it knows it
        self.acting = ""  # "ending" what it holds, "away", "catching up"
        self.lost = False  # it failed on its own
        self.obeyed = (0, 0)


class World:
    def __init__(self, seed=1, terms=None, late=60 * S, gateways=2, pace=(1, 400), away=(500, 3000)):
        self.chance = random.Random(seed)
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
        self.office_moment = 0
        self.office_now = 0
        self.duty, self.follow = DrainTask(late), followers.Followers()
        self.slow = False  # whether a look's slices are a step apart each
        self.blocked = 0  # the duty proposes nothing before this
        self.watch = Watch(self.terms.lease, self.terms.grace, self.terms.cold_share, self.terms.site_share)
        self.broken = []
        self.refused = 0
        self.waves = 0
        self.wave_at = -1
        # ms: of looks at the ledger; of work
        self.pace = pace
        self.away = away
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
        moment = self.office_moment + self.now - self.office_now
        entry = Entry(self.state.index + 1, self.term, COMMAND, moment, self.wall, data)
        self.state, applied = self.ledger.apply(self.state, entry)
        about = msgspec.json.decode(data)
        changes = applied.changes if applied.code == 200 else {}
        self.broken += self.watch.entry(
            self.now, entry.index, self.term, self.state.moment, changes, about["kind"], about
        )
        self.broken += self.truth(changes)
        return applied

    def ask(self, kind, **fields):
        """A client's command; its code and body."""
        self.ids += 1
        data = msgspec.json.encode({"id": f"test/{self.ids}", "kind": kind, **fields})
        applied = self.apply(self.ledger.read(data, outside=True))
        if kind == "node" and applied.code == 200:
            self.nodes.setdefault(fields["node"], Held())
        return applied.code, applied.body

    def truth(self, changes):
        """A node that is really down by a permit is never counted on."""
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
        """Another takes office: what the duty and the followers' rows kept is lost."""
        self.term += 1
        self.office_moment = self.state.moment
        self.office_now = self.now
        self.duty.became_leader(self.now)
        self.follow.became_leader(self.now)
        self.watch.office = self.now
        self.watch.acked = {}
        self.blocked = 0

    def step(self, much):
        """Time moves on, everyone acts, the leader proposes until it has nothing more to say."""
        self.now += much
        self.wall += much // MS
        for name, row in self.gateways.items():
            if row[0] <= self.now and not row[2] and name in self.state.part("followers"):
                self.follow.polled(self.now, name, row[1])
                self.watch.heard(self.now, name, row[1])
                row[0], row[1] = self.now + self.spread(), self.state.index
        for name in sorted(self.nodes):
            self.node_acts(name, self.nodes[name])
        self.lead()

    def lead(self):
        for _ in range(5000):
            if self.now < self.blocked:
                return
            wanted = self.follow.next(self.now, self.state)
            wanted = wanted or self.duty.next(self.now, self.wall, self.state, self.follow)
            if wanted is None and self.duty.planning and not self.slow:
                continue
            if wanted is None:
                return
            nodes = self.state.part("nodes")
            wave = isinstance(wanted, PermitCommand) and any(up(nodes[name]) for name in wanted.nodes)
            code = self.apply(wanted).code
            if code != 200:
                self.refused += 1
                self.blocked = self.now + S
            elif wave and self.wave_at != self.now:  # a long wave is several entries
                self.waves, self.wave_at = self.waves + 1, self.now
        raise AssertionError(f"the duty does not come to rest: {wanted}")

    def spread(self):
        return self.chance.randint(*self.pace) * MS

    def node_acts(self, name, held):
        if held.lost:
            return
        if held.sees <= self.now:
            held.sees, held.heard, held.known = self.now + self.spread(), self.now, self.state.index
            held.permit = self.state.part("permits").get(name)
        permit = held.permit
        if held.acting == "" and permit is not None and permit.phase == "clear":
            fresh = self.now - held.heard < self.terms.lease and (permit.term, permit.index) > held.obeyed
            if fresh:
                held.acting, held.until = "ending", self.now + self.spread()
        elif held.acting == "ending":
            clear = permit is not None and permit.phase == "clear"
            if not clear or self.now - held.heard >= self.terms.lease:
                held.acting = ""
            elif held.until <= self.now:
                held.obeyed = (permit.term, permit.index)
                held.acting = "away"
                held.until = self.now + self.chance.randint(*self.away) * MS
                self.down.add(name)
                self.ask("report", node=name, state="drained")
        elif held.acting == "away" and held.until <= self.now and name not in self.no_return:
            held.acting, held.until = "catching up", self.now + self.spread()
            self.ask("report", node=name, state="catching_up")
        elif held.acting == "catching up" and held.until <= self.now and name not in self.no_catching_up:
            held.acting = ""
            self.down.discard(name)
            self.ask("report", node=name, state="serving")
        elif held.acting == "" and permit is not None and permit.phase == "recalled":
            held.permit = None
            self.ask("report", node=name, state="serving", seen=held.known)

    def fail(self, name):
        self.nodes[name].lost = True
        self.nodes[name].acting = ""
        self.down.discard(name)
        self.ask("report", node=name, state="failed")

    def heal(self, name):
        held = self.nodes[name]
        held.lost, held.acting, held.until = False, "catching up", self.now + self.spread()
        self.down.add(name)
        held.sees = self.now
        held.permit = None
        self.ask("report", node=name, state="catching_up")

    def run(self, until, most=20_000, step=200 * MS):
        """Steps until this holds; whether it came to hold."""
        for _ in range(most):
            if until(self):
                return True
            self.step(step)
        return until(self)

    def phase(self, drain):
        return self.state.part("drains")[drain].phase
