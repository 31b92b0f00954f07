"""The list of instances as a balancer (`lemonlead/balance.py`) keeps it: by id, around a ring, and by build.

These are plain data structures that decide nothing. The cost of a change depends on the size of the change,
not on the length of the list.
"""

from bisect import bisect_left, insort
from heapq import merge
from itertools import chain, count, islice
from operator import attrgetter, itemgetter
from zlib import crc32

RING_POSITION = attrgetter("ring_position")
# If more than 1/16 of a ring changes at once, sorting it again costs less than single changes.
SORT_RATIO = 16
# An empty share cache: (build, until), one instance of each group, and the getters of the weights to add up.
NO_SHARE_CACHED = (
    None,
    (),
    None,
    None,
)


class Arc:
    """Some instances in ring order from where a balancer begins, found one by one as they are needed.

    It is valid until the list changes.
    """

    def __init__(self, rings, first_position, connected):
        self.rings = rings
        self.first_position = first_position
        self.connected = connected

    def __len__(self):
        return sum(map(len, self.rings))

    def __iter__(self):
        walks = [self.walk(ring) for ring in self.rings]
        if len(walks) == 1:
            return walks[0]
        return merge(*walks, key=self.order)

    def __getitem__(self, part):
        return list(islice(self, part.start, part.stop, part.step))

    def order(self, instance):
        """The sort key of an instance as seen from where the balancer begins."""
        return instance.ring_position < self.first_position, instance.ring_position

    def open(self, now):
        """Returns those instances to which a connection is still open, as far as is known."""
        found = [instance for instance in self.connected if now < instance.connection_open_until]
        return sorted([instance for instance in found if self.has(instance)], key=self.order)

    def has(self, instance):
        """Returns whether the instance is in one of the rings."""
        places = [(ring, bisect_left(ring, instance.ring_position, key=RING_POSITION)) for ring in self.rings]
        return any(index < len(ring) and ring[index] is instance for ring, index in places)

    def walk(self, ring):
        """Iterates once over a ring from where the balancer begins."""
        first = bisect_left(ring, self.first_position, key=RING_POSITION)
        return map(ring.__getitem__, chain(range(first, len(ring)), range(first)))


class InstanceTable(dict):
    """The instances by id, in the order in which they were added; a new instance takes the place of its id.

    What `put` adds takes effect with `commit`. `start_fraction` is the part of the ring (0 to 1) that lies
    before the point where this balancer begins.
    """

    def __init__(self, start_fraction):
        self.start_fraction = start_fraction
        self.sequence = count()
        self.ring = []  # all instances by ring position
        self.connected = set()  # instances to which `keep_open` set a time
        self.changed = {}  # by id, until `commit`: the instance that the ring still holds, or None
        self.share_cache = NO_SHARE_CACHED

    def put(self, instance):
        """Adds an instance. Among equal hashes of ids the one that came first has the lower ring position."""
        old = self.get(instance.id)
        instance.ring_position = (
            old.ring_position if old else crc32(repr(instance.id).encode()) << 28 | next(self.sequence)
        )
        self.changed.setdefault(instance.id, old)
        self[instance.id] = instance

    def commit(self, gone):
        """Removes the instances with these ids, and applies what `put` added."""
        for id in gone:
            old = self.pop(id)
            self.changed.setdefault(id, old)
        changed = self.changed
        self.changed = {}
        removed = [old for old in changed.values() if old is not None]
        added = [self[id] for id in changed if id in self]
        self.ring = updated_ring(self.ring, removed, added)
        self.connected.difference_update(removed)
        removed_by_build = by_build(removed)
        added_by_build = by_build(added)
        for build in {*removed_by_build, *added_by_build}:
            build.update_instances(removed_by_build.get(build, ()), added_by_build.get(build, ()))
        self.share_cache = NO_SHARE_CACHED if changed else self.share_cache

    def arc(self, builds):
        """Returns the instances that run one of these builds, in ring order."""
        rings = [build.ring for build in builds if build.ring]
        first_position = (
            self.ring[int(self.start_fraction * len(self.ring))].ring_position if self.ring else 0
        )
        return Arc(
            [self.ring] if sum(map(len, rings)) == len(self.ring) else rings, first_position, self.connected
        )

    def keep_open(self, instance, until):
        """Notes that a connection to the instance stays open until then; 0: it is not known."""
        instance.connection_open_until = until
        if until and self.get(instance.id) is instance:
            self.connected.add(instance)
        else:
            self.connected.discard(instance)

    def weight_share(self, build, weight, group_key, until):
        """Returns which part of the sum of all instances' weights belongs to the instances of this build.

        `weight(instance)` is the same for all instances with the same `group_key(instance)`. The grouping is
        kept until the list or `until` changes. Each sum is added up in the order of the instances, because
        rounding depends on the order.
        """
        if self.share_cache[0] != (build, until):
            groups = {}
            group_numbers = []
            for instance in self.values():
                group_numbers.append(groups.setdefault(group_key(instance), (len(groups), instance))[0])
            build_group_numbers = [
                group_number
                for group_number, instance in zip(group_numbers, self.values(), strict=True)
                if instance.build is build
            ]
            # The two at the end have weight 0: with fewer than two indices itemgetter returns no tuple.
            all_weights = itemgetter(*group_numbers, -1, -1)
            build_weights = itemgetter(*build_group_numbers, -1, -1)
            self.share_cache = (
                (build, until),
                [instance for _, instance in groups.values()],
                all_weights,
                build_weights,
            )
        _, one_of_each_group, all_weights, build_weights = self.share_cache
        weights = [*map(weight, one_of_each_group), 0.0]
        return sum(build_weights(weights)) / sum(all_weights(weights))


def by_build(instances):
    """Returns lists of instances by their build."""
    grouped = {}
    for instance in instances:
        grouped.setdefault(instance.build, []).append(instance)
    return grouped


def updated_ring(ring, removed, added):
    """Returns the ring without the removed instances and with the added ones."""
    if SORT_RATIO * (len(removed) + len(added)) > len(ring):
        removed_ids = {id(instance) for instance in removed}
        return sorted(
            [*(instance for instance in ring if id(instance) not in removed_ids), *added], key=RING_POSITION
        )
    for instance in removed:
        del ring[bisect_left(ring, instance.ring_position, key=RING_POSITION)]
    for instance in added:
        insort(ring, instance, key=RING_POSITION)
    return ring
