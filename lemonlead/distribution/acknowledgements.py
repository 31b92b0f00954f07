"""What subscribers have in force, scope by scope: from what each said itself, never from what it was sent.

One counts from its subscription until its lease and grace ran out since it was last heard, and as behind
until it was heard once: only then is known what it refuses. Who subscribes anew under a name is another: it
counts with what it says then. Time in which this relay stood still, or by which its clock leapt, is nobody's
silence: what was said meanwhile waits in its sockets."""

from typing import NamedTuple

from .faults import Senseless
from .records import gateway_name, index_number, positions, scope_name

MS = 1_000_000
LEAP = 5_000 * MS  # between two calls, of which a driver makes one each second at least
MOST = 10_000  # subscribers; past it a further one is refused


class InForceReport(NamedTuple):
    """`everywhere`: each that is counted has the index in force and refuses nothing of the scope, and no
    other can act on older state. A refusal at any index counts: what is in force instead is not known.
    `behind`: (gateway, milliseconds since it was last heard), `refused`: (gateway, key, why), both by name.
    `regions`: region to how many of it are behind or refuse. `counted`: subscribers of the scope."""

    everywhere: bool
    behind: list
    refused: list
    counted: int
    regions: dict


class Subscriber:
    __slots__ = ("region", "stay", "heard", "complete", "refused", "here", "spoke")

    def __init__(self, now, region, stay, scopes):
        self.region, self.stay, self.heard = region, stay, now
        self.here, self.spoke = True, False  # spoke: since it subscribed
        self.complete, self.refused = dict(scopes), {}  # refused: scope: {key: (index, why)}


class Acknowledgements:
    def __init__(self, lease, grace, began=None):
        """All in nanoseconds. `began`: when this relay began to count, None where there was none before."""
        self.patience = index_number(lease, "lease", 1) + index_number(grace, "grace")
        self.began = began
        self.last, self.leapt = began, 0  # the last call; nanoseconds that were nobody's silence
        self.subscribers, self.of = {}, {}  # of: scope to names of its subscribers

    # ---- inputs

    def subscribe(self, now, gateway, region, scopes, stay=""):
        """One subscribed, and has these scopes in force up to these indexes (of this ledger; 0 for those of
        another)."""
        now = self.passed(now)
        gateway_name(gateway, "gateway")
        positions(scopes)
        if len(self.subscribers) >= MOST and gateway not in self.subscribers:
            raise Senseless(f"gateway: {len(self.subscribers)} subscribed already; expected at most {MOST}")
        self.drop(gateway)
        self.subscribers[gateway] = Subscriber(now, region, stay, scopes)
        for scope in scopes:
            self.of.setdefault(scope, set()).add(gateway)

    def add_scopes(self, now, gateway, scopes):
        """One that is subscribed asked for more scopes."""
        found = self.subscribers[gateway]
        for scope, index in positions(scopes).items():
            found.complete.setdefault(scope, index)
            self.of.setdefault(scope, set()).add(gateway)

    def acknowledge(self, now, gateway, complete, refused=(), stay=""):
        """What one has in force. `refused`: all that it refuses now, as (scope, key, index, why). False where
        it has no stream here, was silent for too long, or another is under its name since."""
        now = self.passed(now)
        found = self.subscribers.get(gateway)
        if found is None or not found.here or found.stay != stay or now - found.heard >= self.patience:
            return False
        positions(complete, "complete")
        found.heard, found.spoke = max(found.heard, now), True
        for scope, index in complete.items():
            if scope in found.complete:
                found.complete[scope] = max(found.complete[scope], index)
        found.refused = {}
        for scope, key, index, says in refused:
            if scope in found.complete:
                found.refused.setdefault(scope, {})[key] = index, says
        return True

    def stream_ended(self, now, gateway, stay=None):
        """Its stream ended. It goes on with what it has, so it counts until it was silent for too long.
        `stay`: of the stream, None for the one that is known."""
        found = self.subscribers.get(gateway)
        if found is not None and stay in (None, found.stay):
            found.here = False

    def drop_silent(self, now):
        """Drops those that were silent for too long. Their names."""
        now = self.passed(now)
        gone = [name for name, one in self.subscribers.items() if now - one.heard >= self.patience]
        for name in gone:
            self.drop(name)
        return gone

    def reset_complete(self):
        """The ledger is another, formed anew: nobody has anything of it in force."""
        for one in self.subscribers.values():
            one.complete, one.refused = dict.fromkeys(one.complete, 0), {}

    # ---- what others ask

    def knows_all_subscribers(self, now):
        """Whether all that may act on older state are counted or have run out. Against a relay that was just
        started, which would tell of nobody that nobody is behind."""
        return self.began is None or self.passed(now) - self.began >= self.patience

    def in_force(self, now, scope, index):
        """Who has in force what the scope was as of an index."""
        scope_name(scope, "scope")
        index_number(index, "index")
        settled, now = self.knows_all_subscribers(now), self.passed(now)
        behind, refused, counted, regions = [], [], 0, {}
        for name in sorted(self.of.get(scope, ())):
            one = self.subscribers[name]
            if now - one.heard >= self.patience:
                continue
            counted += 1
            refuses = [
                (name, key, says)
                for key, (_, says) in sorted(one.refused.get(scope, {}).items())
            ]  # fmt: skip
            refused += refuses
            lacks = one.complete[scope] < index or not one.spoke
            if lacks:
                behind.append((name, (now - one.heard) // MS))
            if refuses or lacks:
                regions[one.region] = regions.get(one.region, 0) + 1
        everywhere = not behind and not refused and settled
        return InForceReport(everywhere, behind, refused, counted, regions)

    # ---- inside

    def passed(self, now):
        """The moment, without what was nobody's silence."""
        if self.last is not None and now - self.last > LEAP:
            self.leapt += now - self.last
        self.last = now if self.last is None else max(now, self.last)
        return now - self.leapt

    def drop(self, name):
        found = self.subscribers.pop(name, None)
        for scope in found.complete if found is not None else ():
            self.of[scope].discard(name)
            if not self.of[scope]:
                del self.of[scope]
