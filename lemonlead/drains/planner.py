"""Plans waves: which nodes go down together, in as few waves as possible.

Each node takes an amount of some limits: one limit for each of its groups, one for the units of its site and
one for the share of its site that may be away. A set of nodes fits in one wave if no limit is exceeded. This
combines graph colouring (groups that can spare one node) with bin packing (sites).

The planner places nodes first-fit, those with the scarcest limits first, and then again in the order of the
waves found, last wave first: that never takes more waves and often fewer. After an event only the nodes that
it touched are placed again. Work over all nodes is done by generators, piece by piece, so that the caller can
do other work in between."""

import random
from dataclasses import dataclass, field
from itertools import islice

MAX_ROUNDS = 60  # further rounds of placement while there are more waves than the lower bound
MAX_PLACEMENTS = 20_000  # nodes placed in all rounds together, so that large fleets get fewer rounds
NODES_PER_PIECE = 250  # nodes that a generator handles between two yields
REBUILD_RATIO = 1.25  # waves by lower bound; past it, a plan that was changed is built again


@dataclass(slots=True)
class PlanRequest:
    """The input of a plan. `demands`: node to ((limit, amount that it takes), ...); `caps`: limit to the
    amount that one wave may take; `ranks`: node to (deadline, age): nodes of a low rank are placed first.
    `ranks` is empty if all nodes are equal."""

    demands: dict = field(default_factory=dict)
    caps: dict = field(default_factory=dict)
    ranks: dict = field(default_factory=dict)


def blocking_limit(request, name):
    """Returns the first limit that this node exceeds by itself, or None."""
    for limit, amount in request.demands[name]:
        if amount > request.caps[limit]:
            return limit
    return None


def run_to_end(work):
    """Runs a generator that works in pieces, and yields how many nodes it handled, and returns its result."""
    while True:
        try:
            next(work)
        except StopIteration as ended:
            return ended.value


def in_pieces(names):
    """Yields the names as lists of NODES_PER_PIECE."""
    rest = iter(names)
    while piece := list(islice(rest, NODES_PER_PIECE)):
        yield piece


def lower_bound(request, names):
    """Returns a number of waves below which no plan for these nodes can be."""
    return run_to_end(lower_bound_in_pieces(request, names))


def lower_bound_in_pieces(request, names):
    sizes_by_limit = {}
    for piece in in_pieces(names):
        for name in piece:
            for limit, amount in request.demands[name]:
                if amount:
                    sizes = sizes_by_limit.get(limit)
                    if sizes is None:
                        sizes = sizes_by_limit[limit] = {}
                    sizes[amount] = sizes.get(amount, 0) + 1
        yield len(piece)
    bound = 1 if names else 0
    for piece in in_pieces(sizes_by_limit.items()):
        for limit, sizes in piece:
            bound = max(bound, min_waves(sizes, request.caps[limit]))
        yield len(piece)
    return bound


def min_waves(sizes, cap):
    """Returns a lower bound of the waves that one limit needs. `sizes`: amount to the number of nodes that
    take it. The bound is that of Martello and Toth ("Lower bounds and reduction procedures for the bin
    packing problem", 1990): nodes that take more than half of the cap go one by one, and the room left beside
    them holds only a certain number of the smaller ones."""
    total = sum(amount * count for amount, count in sizes.items())
    best = -(-total // cap)
    if len(sizes) > 1 or 2 * max(sizes) > cap:
        for small in sizes:
            if 2 * small > cap:
                best = max(best, sum(count for amount, count in sizes.items() if amount >= small))
                continue
            large, room, rest = 0, 0, 0
            for amount, count in sizes.items():
                if 2 * amount > cap:
                    large += count
                    room += count * ((cap - amount) // small)
                elif amount >= small:
                    rest += count
            best = max(best, large - (-max(0, rest - room) // (cap // small)))
    elif len(sizes) == 1:
        best = max(best, -(-total // (cap // max(sizes) * max(sizes))))
    return best


class Plan:
    """A plan of waves, which is updated as the fleet changes.

    `waves` are dicts from name to None, in order of placement; `blocked` are the nodes that exceed a limit by
    themselves, with that limit; `bound` is a number of waves below which no plan can be."""

    def __init__(self, request=None):
        self.request, self.blocked = PlanRequest(), {}
        self.waves = []
        self.wave_sums = []  # of each wave: limit to the sum of the amounts
        self.wave_of = {}  # name to the number of its wave
        self.first_open = {}  # limit to the first wave that may have room
        self.min_demand = {}  # limit to the smallest amount that a node takes
        self.placed_demands = {}  # the demands of each placed node, as they were when it was placed
        self.limit_totals = {}  # limit to the sum over all placed nodes
        self.max_demand = {}  # limit to the largest amount that a node takes
        self.nodes_by_limit = None  # limit to the placed nodes that take it; built by the first `change`
        self.bound = 0
        self.is_rebuilt = True  # the plan was not changed since it was last built as a whole
        if request is not None:
            self.rebuild(request)

    # ---- building the whole plan

    def rebuild(self, request):
        """Plans all nodes again."""
        run_to_end(self.rebuild_in_pieces(request))

    def rebuild_in_pieces(self, request):
        """Does the work of `rebuild` as a generator; the plan is complete once the generator has ended."""
        self.is_rebuilt = True
        self.request = request
        self.blocked = {}
        for piece in in_pieces([*request.demands]):
            for name in piece:
                if (limit := blocking_limit(request, name)) is not None:
                    self.blocked[name] = limit
            yield len(piece)
        names = [name for name in request.demands if name not in self.blocked]
        self.bound = yield from lower_bound_in_pieces(request, names)
        rounds = max(1, min(MAX_ROUNDS, MAX_PLACEMENTS // max(1, len(names))))
        yield from self.fill((yield from self.sort_in_pieces(names)))
        best, rng = self.waves, random.Random(len(names))
        for round_number in range(rounds):
            if len(best) <= self.bound:
                break
            if round_number % 3 == 2:
                waves = [rng.sample([*wave], len(wave)) for wave in rng.sample(best, len(best))]
            else:
                waves = best[::-1] if round_number % 3 else sorted(best, key=len, reverse=True)
            yield from self.fill(self.by_rank([name for wave in waves for name in wave]))
            if len(self.waves) <= len(best):
                best = self.waves
        if self.waves is not best:
            yield from self.fill([name for wave in best for name in wave])

    def fill(self, names):
        self.waves, self.wave_sums, self.wave_of, self.first_open, self.min_demand = [], [], {}, {}, {}
        self.placed_demands, self.limit_totals, self.max_demand, self.nodes_by_limit = {}, {}, {}, None
        for piece in in_pieces(names):
            for name in piece:
                self.note_demands(name)
            yield len(piece)
        for piece in in_pieces(names):
            for name in piece:
                self.place(name)
            yield len(piece)

    def by_rank(self, names):
        ranks = self.request.ranks
        return sorted(names, key=lambda name: ranks.get(name, ())) if ranks else names

    def sort_by_scarcity(self, names):
        return run_to_end(self.sort_in_pieces(names))

    def sort_in_pieces(self, names):
        """Sorts names so that those whose limits need the most waves come first; a generator."""
        demands, caps, sums, keys = self.request.demands, self.request.caps, {}, {}
        for piece in in_pieces(names):
            for name in piece:
                for limit, amount in demands[name]:
                    sums[limit] = sums.get(limit, 0) + amount
            yield len(piece)
        pressure = {limit: total / max(1, caps[limit]) for limit, total in sums.items()}

        def scarcity_key(name):
            found = [(pressure[limit], amount) for limit, amount in demands[name] if amount]
            return (
                -max(found, default=(0, 0))[0],
                -sum(of_limit for of_limit, _ in found),
                -sum(taken for _, taken in found),
                name,
            )

        for piece in in_pieces(names):
            keys |= {name: scarcity_key(name) for name in piece}
            yield len(piece)
        return self.by_rank(sorted(names, key=keys.get))

    # ---- placing one node

    def note_demands(self, name):
        for limit, amount in self.request.demands[name]:
            if amount:
                self.min_demand[limit] = min(self.min_demand.get(limit, amount), amount)
                self.max_demand[limit] = max(self.max_demand.get(limit, 0), amount)

    def place(self, name):
        caps, demands, wave_sums, first_open, min_demand = (
            self.request.caps,
            self.request.demands[name],
            self.wave_sums,
            self.first_open,
            self.min_demand,
        )
        wave, count = 0, len(wave_sums)
        for limit, amount in demands:
            if not amount:
                continue
            at, cap, smallest = first_open.get(limit, 0), caps[limit], min_demand[limit]
            while at < count and wave_sums[at].get(limit, 0) + smallest > cap:
                at += 1
            first_open[limit] = at
            if at > wave:
                wave = at
        while wave < count:
            sums = wave_sums[wave]
            for limit, amount in demands:
                if sums.get(limit, 0) + amount > caps[limit]:
                    break
            else:
                break
            wave += 1
        if wave == count:
            wave_sums.append({})
            self.waves.append({})
        self.put(name, wave)

    def put(self, name, wave):
        demands, sums, totals = self.request.demands[name], self.wave_sums[wave], self.limit_totals
        for limit, amount in demands:
            sums[limit] = sums.get(limit, 0) + amount
            totals[limit] = totals.get(limit, 0) + amount
        self.waves[wave][name] = None
        self.wave_of[name], self.placed_demands[name] = wave, demands
        if self.nodes_by_limit is not None:
            for limit, _ in demands:
                self.nodes_by_limit.setdefault(limit, {})[name] = None

    def remove(self, name):
        wave = self.wave_of.pop(name)
        del self.waves[wave][name]
        sums = self.wave_sums[wave]
        for limit, amount in self.placed_demands.pop(name):
            sums[limit] -= amount
            self.limit_totals[limit] -= amount
            if self.nodes_by_limit is not None:
                self.nodes_by_limit[limit].pop(name, None)
            if self.first_open.get(limit, 0) > wave:
                self.first_open[limit] = wave

    # ---- updating the plan after an event

    def change(self, names, limits):
        """Updates the plan after the request has changed: `names` are the nodes that were added, removed or
        have other demands; `limits` are those with other caps. Removed nodes leave the plan. Nodes that are
        new, or have no room any more, are placed; all others stay. The plan may end up with more waves than
        one built from scratch: see `should_rebuild`."""
        demands, caps = self.request.demands, self.request.caps
        self.is_rebuilt = False
        if self.nodes_by_limit is None:
            self.nodes_by_limit = {}
            for name, placed in self.placed_demands.items():
                for limit, _ in placed:
                    self.nodes_by_limit.setdefault(limit, {})[name] = None
        new = set()
        for name in names:
            self.blocked.pop(name, None)
            if name in self.wave_of:
                self.remove(name)
            if name in demands:
                new.add(name)
        for limit in limits:
            self.first_open.pop(limit, None)
        for limit in limits:
            if caps[limit] < self.max_demand.get(limit, 0):
                for name in [*self.nodes_by_limit.get(limit, ())]:
                    if (exceeded := blocking_limit(self.request, name)) is not None:
                        self.remove(name)
                        self.blocked[name] = exceeded
        for name in [*self.blocked]:
            limit = blocking_limit(self.request, name)
            if limit is None:
                del self.blocked[name]
                new.add(name)
            else:
                self.blocked[name] = limit
        for name in self.evict(limits):
            self.remove(name)
            new.add(name)
        for name in sorted(new):
            self.note_demands(name)
            if (limit := blocking_limit(self.request, name)) is not None:
                self.blocked[name] = limit
                new.discard(name)
        for name in self.sort_by_scarcity(new):
            self.place(name)
        self.drop_empty_waves()
        totals = self.limit_totals.items()
        self.bound = max((-(-total // caps[limit]) for limit, total in totals if total), default=0)
        self.bound = max(self.bound, 1 if self.wave_of else 0)
        while len(self.waves) > self.bound and self.dissolve_smallest_wave():
            pass

    def should_rebuild(self):
        """Whether the plan has so many more waves than the bound that building it again is worth the work."""
        return not self.is_rebuilt and len(self.waves) > max(self.bound + 1, REBUILD_RATIO * self.bound)

    def evict(self, limits):
        """Returns the names that have to leave their waves because a cap was lowered, last placed first."""
        evicted = {}
        for limit in sorted(limits):
            excess = {}
            for wave, sums in enumerate(self.wave_sums):
                if sums.get(limit, 0) > max(0, self.request.caps[limit]):
                    excess[wave] = sums[limit] - self.request.caps[limit]
            for name in [*self.nodes_by_limit.get(limit, ())][::-1] if excess else ():
                wave = self.wave_of[name]
                amount = sum(amount for other, amount in self.placed_demands[name] if other == limit)
                if excess.get(wave, 0) > 0 and amount:
                    excess[wave] -= amount
                    evicted[name] = None
        return evicted

    def drop_empty_waves(self):
        """Removes the waves without nodes, and numbers the others again."""
        if all(self.waves):
            return
        kept = [wave for wave, names in enumerate(self.waves) if names]
        self.waves, self.wave_sums = [self.waves[w] for w in kept], [self.wave_sums[w] for w in kept]
        self.wave_of = {name: wave for wave, names in enumerate(self.waves) for name in names}
        self.first_open = {}

    def dissolve_smallest_wave(self):
        """Moves the nodes of the smallest wave to the other waves, and returns whether there are fewer waves
        then. A wave with a node that fits nowhere else stays as it was."""
        if len(self.waves) < 2:
            return False
        smallest = min(range(len(self.waves)), key=lambda wave: len(self.waves[wave]))
        names, count, moved = [*self.waves[smallest]], len(self.waves), []
        if len(names) > 64:
            return False
        for name in names:
            target = self.find_other_wave(name, smallest)
            if target is None:
                for moved_name in moved:
                    self.remove(moved_name)
                    self.put(moved_name, smallest)
                return False
            self.remove(name)
            self.put(name, target)
            moved.append(name)
        self.drop_empty_waves()
        return len(self.waves) < count

    def find_other_wave(self, name, excluded):
        for wave, sums in enumerate(self.wave_sums):
            if wave != excluded and all(
                sums.get(limit, 0) + amount <= self.request.caps[limit]
                for limit, amount in self.request.demands[name]
            ):
                return wave
        return None
