"""The list of instances as a balancer (`lemonlead/balance.py`) holds it: by id, round the ring, and by build.
Plain data structures, no decision. A change costs what it changes, not what there is."""

from bisect import bisect_left, insort
from heapq import merge
from itertools import chain, count, islice
from operator import attrgetter, itemgetter
from zlib import crc32

PLACE = attrgetter("place")
MANY = 16  # from one in so many changed at once on, all are put in order anew: it costs less
NOTHING_WEIGHED = None, (), None, None  # of which build, one member of each sort, which weights add up


class Arc:
    """Members round the ring from where a balancer begins, found one by one as they are asked for. It holds
    until the list changes."""

    def __init__(self, rings, begin, opened):
        self.rings, self.begin, self.opened = rings, begin, opened

    def __len__(self):
        return sum(map(len, self.rings))

    def __iter__(self):
        walks = [self.walk(ring) for ring in self.rings]
        if len(walks) == 1:
            return walks[0]
        return merge(*walks, key=self.turn)

    def __getitem__(self, part):
        return list(islice(self, part.start, part.stop, part.step))

    def turn(self, member):
        return member.place < self.begin, member.place

    def open(self, now):
        """Those of them to which a connection stays open, as far as is told."""
        found = [member for member in self.opened if now < member.open_until]
        return sorted([member for member in found if self.has(member)], key=self.turn)

    def has(self, member):
        places = [(ring, bisect_left(ring, member.place, key=PLACE)) for ring in self.rings]
        return any(at < len(ring) and ring[at] is member for ring, at in places)

    def walk(self, ring):
        first = bisect_left(ring, self.begin, key=PLACE)
        return map(ring.__getitem__, chain(range(first, len(ring)), range(first)))


class InstanceTable(dict):
    """The members by id, in the order in which they came; one that takes another's id takes its place, too.
    What is put counts once it is settled. `start_at`: the part of the ring before where this balancer
    begins."""

    def __init__(self, start_at):
        self.start_at, self.turns = start_at, count()
        self.ring = []  # all, by place
        self.opened = set()  # those of which `keep_open` told a time
        self.changed = {}  # by id, until it is settled: what stands in the ring, None for nothing
        self.weighed = NOTHING_WEIGHED

    def put(self, member):
        """In the place of its id's, or behind all. Of those of one hash the first to come stands first."""
        old = self.get(member.id)
        member.place = old.place if old else crc32(repr(member.id).encode()) << 28 | next(self.turns)
        self.changed.setdefault(member.id, old)
        self[member.id] = member

    def settle(self, gone):
        """Those of these ids leave, and what was put comes in."""
        for id in gone:
            old = self.pop(id)
            self.changed.setdefault(id, old)
        changed, self.changed = self.changed, {}
        out = [old for old in changed.values() if old is not None]
        new = [self[id] for id in changed if id in self]
        self.ring = moved(self.ring, out, new)
        self.opened.difference_update(out)
        left, come = by_build(out), by_build(new)
        for build in {*left, *come}:
            build.change(left.get(build, ()), come.get(build, ()))
        self.weighed = NOTHING_WEIGHED if changed else self.weighed

    def arc(self, builds):
        """The members that run one of these builds."""
        rings = [build.ring for build in builds if build.ring]
        begin = self.ring[int(self.start_at * len(self.ring))].place if self.ring else 0
        return Arc([self.ring] if sum(map(len, rings)) == len(self.ring) else rings, begin, self.opened)

    def keep_open(self, member, until):
        """A connection to it stays open until then, as far as is told; 0: it is unsure."""
        member.open_until = until
        if until and self.get(member.id) is member:
            self.opened.add(member)
        else:
            self.opened.discard(member)

    def share(self, build, weight, sort, until):
        """The part that the members of this build have in what all weigh; each sum is added up in the order
        of the members, as rounding goes by it. `weight(member)` is one for all of one `sort(member)`; sorts
        are looked for anew when `until` is another."""
        if self.weighed[0] != (build, until):
            sorts, slots = {}, []
            for member in self.values():
                slots.append(sorts.setdefault(sort(member), (len(sorts), member))[0])
            ours = [slot for slot, member in zip(slots, self.values(), strict=True) if member.build is build]
            # The two at the end weigh nothing: with less than two no tuple is made.
            every, ours = itemgetter(*slots, -1, -1), itemgetter(*ours, -1, -1)
            self.weighed = (build, until), [member for _, member in sorts.values()], every, ours
        _, firsts, every, ours = self.weighed
        weights = [*map(weight, firsts), 0.0]
        return sum(ours(weights)) / sum(every(weights))


def by_build(members):
    sorted_out = {}
    for member in members:
        sorted_out.setdefault(member.build, []).append(member)
    return sorted_out


def moved(ring, out, new):
    """The ring without some members and with others."""
    if MANY * (len(out) + len(new)) > len(ring):
        left = {id(member) for member in out}
        return sorted([*(member for member in ring if id(member) not in left), *new], key=PLACE)
    for member in out:
        del ring[bisect_left(ring, member.place, key=PLACE)]
    for member in new:
        insort(ring, member, key=PLACE)
    return ring
