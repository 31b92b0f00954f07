"""Waves: which nodes go together, in as few waves as it can.

Each node takes part of some limits (one for each of its groups, its site's units and its site's share); a
wave fits while no limit is overdrawn. That is colouring (groups that can miss one node) and packing (sites)
in one. First fit, the scarcest first, then again by the waves found, last wave first: that never takes more
waves and often fewer. After an event only what it touched is placed anew. What goes over all nodes is done in
slices, so that whoever plans may look up in between."""

import random
from dataclasses import dataclass, field
from itertools import islice

TRIES = 60  # more rounds while the waves are more than the lower bound
WORK = 20_000  # nodes placed in all rounds: large fleets get fewer
PIECE = 250  # nodes between two yields of work in slices
WITHIN = 1.25  # of the lower bound: past it, a plan that was changed is made anew


@dataclass(slots=True)
class PlanRequest:
    """`takes`: node to ((limit, how much), ...); `caps`: limit to how much a wave may take; `ranks`: node to
    what is placed first (deadline, age), the same for most."""

    demands: dict = field(default_factory=dict)
    caps: dict = field(default_factory=dict)
    ranks: dict = field(default_factory=dict)


def blocked(request, name):
    """The first limit that this node alone overdraws, or None."""
    for limit, much in request.demands[name]:
        if much > request.caps[limit]:
            return limit
    return None


def through(work):
    """What work in slices (a generator that yields how many nodes it looked at) comes to, done at once."""
    while True:
        try:
            next(work)
        except StopIteration as ended:
            return ended.value


def slices(names):
    """These in pieces of PIECE."""
    rest = iter(names)
    while some := list(islice(rest, PIECE)):
        yield some


def lower_bound(request, names):
    """No plan for these takes fewer waves."""
    return through(bounding(request, names))


def bounding(request, names):
    parts = {}
    for some in slices(names):
        for name in some:
            for limit, much in request.demands[name]:
                if much:
                    sizes = parts.get(limit)
                    if sizes is None:
                        sizes = parts[limit] = {}
                    sizes[much] = sizes.get(much, 0) + 1
        yield len(some)
    most = 1 if names else 0
    for some in slices(parts.items()):
        for limit, sizes in some:
            most = max(most, waves_for(sizes, request.caps[limit]))
        yield len(some)
    return most


def waves_for(sizes, cap):
    """At least so many waves for one limit. `sizes`: how much to how many nodes take that. After Martello
    and Toth ("Lower bounds and reduction procedures for the bin packing problem", 1990): those of more than
    half go one by one; what is left beside them takes only so many of the smaller."""
    total = sum(much * count for much, count in sizes.items())
    best = -(-total // cap)
    if len(sizes) > 1 or 2 * max(sizes) > cap:
        for small in sizes:
            if 2 * small > cap:
                best = max(best, sum(count for much, count in sizes.items() if much >= small))
                continue
            large, room, rest = 0, 0, 0
            for much, count in sizes.items():
                if 2 * much > cap:
                    large += count
                    room += count * ((cap - much) // small)
                elif much >= small:
                    rest += count
            best = max(best, large - (-max(0, rest - room) // (cap // small)))
    elif len(sizes) == 1:
        best = max(best, -(-total // (cap // max(sizes) * max(sizes))))
    return best


class Plan:
    """Waves that are kept as the fleet changes."""

    def __init__(self, request=None):
        self.request, self.blocked = PlanRequest(), {}
        self.waves, self.used, self.where = [], [], {}  # names (a dict, in order); limit to sum; name to wave
        self.first, self.least = {}, {}  # limit to the first wave with room; to the least that a node takes
        self.took, self.totals, self.most = {}, {}, {}  # what each placed node takes; by limit: sum, most
        self.index = None  # limit to the names placed that take part of it; made once wanted
        self.bound, self.fresh = 0, True  # no plan takes fewer waves; nothing was changed since all was made
        if request is not None:
            self.make(request)

    # ---- whole

    def make(self, request):
        """All anew."""
        through(self.making(request))

    def making(self, request):
        """In slices; the plan is whole once it is through."""
        self.fresh = True
        self.request = request
        self.blocked = {}
        for some in slices([*request.demands]):
            for name in some:
                if (limit := blocked(request, name)) is not None:
                    self.blocked[name] = limit
            yield len(some)
        names = [name for name in request.demands if name not in self.blocked]
        self.bound = yield from bounding(request, names)
        rounds = max(1, min(TRIES, WORK // max(1, len(names))))
        yield from self.filling((yield from self.sorting(names)))
        best, chance = self.waves, random.Random(len(names))
        for turn in range(rounds):
            if len(best) <= self.bound:
                break
            if turn % 3 == 2:
                waves = [chance.sample([*wave], len(wave)) for wave in chance.sample(best, len(best))]
            else:
                waves = best[::-1] if turn % 3 else sorted(best, key=len, reverse=True)
            yield from self.filling(self.by_rank([name for wave in waves for name in wave]))
            if len(self.waves) <= len(best):
                best = self.waves
        if self.waves is not best:
            yield from self.filling([name for wave in best for name in wave])

    def filling(self, names):
        self.waves, self.used, self.where, self.first, self.least = [], [], {}, {}, {}
        self.took, self.totals, self.most, self.index = {}, {}, {}, None
        for some in slices(names):
            for name in some:
                self.note(name)
            yield len(some)
        for some in slices(names):
            for name in some:
                self.place(name)
            yield len(some)

    def by_rank(self, names):
        ranks = self.request.ranks
        return sorted(names, key=lambda name: ranks.get(name, ())) if ranks else names

    def scarcest(self, names):
        return through(self.sorting(names))

    def sorting(self, names):
        """Those whose limits need the most waves come first."""
        demands, caps, sums, keys = self.request.demands, self.request.caps, {}, {}
        for some in slices(names):
            for name in some:
                for limit, much in demands[name]:
                    sums[limit] = sums.get(limit, 0) + much
            yield len(some)
        press = {limit: total / max(1, caps[limit]) for limit, total in sums.items()}

        def hard(name):
            found = [(press[limit], much) for limit, much in demands[name] if much]
            return -max(found, default=(0, 0))[0], -sum(p for p, _ in found), -sum(m for _, m in found), name

        for some in slices(names):
            keys |= {name: hard(name) for name in some}
            yield len(some)
        return self.by_rank(sorted(names, key=keys.get))

    # ---- one node

    def note(self, name):
        for limit, much in self.request.demands[name]:
            if much:
                self.least[limit] = min(self.least.get(limit, much), much)
                self.most[limit] = max(self.most.get(limit, 0), much)

    def place(self, name):
        caps, demands, used, first, least = (
            self.request.caps,
            self.request.demands[name],
            self.used,
            self.first,
            self.least,
        )
        wave, count = 0, len(used)
        for limit, much in demands:
            if not much:
                continue
            at, cap, small = first.get(limit, 0), caps[limit], least[limit]
            while at < count and used[at].get(limit, 0) + small > cap:
                at += 1
            first[limit] = at
            if at > wave:
                wave = at
        while wave < count:
            sums = used[wave]
            for limit, much in demands:
                if sums.get(limit, 0) + much > caps[limit]:
                    break
            else:
                break
            wave += 1
        if wave == count:
            used.append({})
            self.waves.append({})
        self.put(name, wave)

    def put(self, name, wave):
        demands, sums, totals = self.request.demands[name], self.used[wave], self.totals
        for limit, much in demands:
            sums[limit] = sums.get(limit, 0) + much
            totals[limit] = totals.get(limit, 0) + much
        self.waves[wave][name] = None
        self.where[name], self.took[name] = wave, demands
        if self.index is not None:
            for limit, _ in demands:
                self.index.setdefault(limit, {})[name] = None

    def remove(self, name):
        wave = self.where.pop(name)
        del self.waves[wave][name]
        sums = self.used[wave]
        for limit, much in self.took.pop(name):
            sums[limit] -= much
            self.totals[limit] -= much
            if self.index is not None:
                self.index[limit].pop(name, None)
            if self.first.get(limit, 0) > wave:
                self.first[limit] = wave

    # ---- after an event

    def change(self, names, limits):
        """The same plan after `asked` has changed: `names` take other parts, came or went; `limits` have
        other caps. What is gone leaves, what has no room any more or is new is placed anew; nothing else
        is touched. The waves may become more than a whole plan's: see `far`."""
        demands, caps = self.request.demands, self.request.caps
        self.fresh = False
        if self.index is None:
            self.index = {}
            for name, some in self.took.items():
                for limit, _ in some:
                    self.index.setdefault(limit, {})[name] = None
        new = set()
        for name in names:
            self.blocked.pop(name, None)
            if name in self.where:
                self.remove(name)
            if name in demands:
                new.add(name)
        for limit in limits:
            self.first.pop(limit, None)
        for limit in limits:
            if caps[limit] < self.most.get(limit, 0):
                for name in [*self.index.get(limit, ())]:
                    if (found := blocked(self.request, name)) is not None:
                        self.remove(name)
                        self.blocked[name] = found
        for name in [*self.blocked]:
            limit = blocked(self.request, name)
            if limit is None:
                del self.blocked[name]
                new.add(name)
            else:
                self.blocked[name] = limit
        for name in self.evict(limits):
            self.remove(name)
            new.add(name)
        for name in sorted(new):
            self.note(name)
            if (limit := blocked(self.request, name)) is not None:
                self.blocked[name] = limit
                new.discard(name)
        for name in self.scarcest(new):
            self.place(name)
        self.close_up()
        totals = self.totals.items()
        self.bound = max((-(-total // caps[limit]) for limit, total in totals if total), default=0)
        self.bound = max(self.bound, 1 if self.where else 0)
        while len(self.waves) > self.bound and self.dissolve():
            pass

    def far(self):
        """Whether it is worth to make it anew whole."""
        return not self.fresh and len(self.waves) > max(self.bound + 1, WITHIN * self.bound)

    def evict(self, limits):
        """Names that have to leave their waves, as a limit lets fewer go: those placed last first."""
        out = {}
        for limit in sorted(limits):
            over = {}
            for wave, sums in enumerate(self.used):
                if sums.get(limit, 0) > max(0, self.request.caps[limit]):
                    over[wave] = sums[limit] - self.request.caps[limit]
            for name in [*self.index.get(limit, ())][::-1] if over else ():
                wave = self.where[name]
                much = sum(much for one, much in self.took[name] if one == limit)
                if over.get(wave, 0) > 0 and much:
                    over[wave] -= much
                    out[name] = None
        return out

    def close_up(self):
        """Without empty waves."""
        if all(self.waves):
            return
        kept = [wave for wave, names in enumerate(self.waves) if names]
        self.waves, self.used = [self.waves[w] for w in kept], [self.used[w] for w in kept]
        self.where = {name: wave for wave, names in enumerate(self.waves) for name in names}
        self.first = {}

    def dissolve(self):
        """Whether the smallest wave could be spread over the others."""
        if len(self.waves) < 2:
            return False
        small = min(range(len(self.waves)), key=lambda wave: len(self.waves[wave]))
        names, count, moved = [*self.waves[small]], len(self.waves), []
        if len(names) > 64:
            return False
        for name in names:
            others = self.room(name, small)
            if others is None:
                for back in moved:
                    self.remove(back)
                    self.put(back, small)
                return False
            self.remove(name)
            self.put(name, others)
            moved.append(name)
        self.close_up()
        return len(self.waves) < count

    def room(self, name, but):
        for wave, sums in enumerate(self.used):
            if wave != but and all(
                sums.get(limit, 0) + much <= self.request.caps[limit]
                for limit, much in self.request.demands[name]
            ):
                return wave
        return None
