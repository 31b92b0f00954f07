"""Which side of a move takes a service's requests, and how the one balancer is shown it. Decisions alone: no
I/O, no clock; inputs only update what is known.

The far side's instances are listed as a build on trial, of a made-up number above all real ones, and the
stage's share is told as its cap: the cap, the pairs and the votes that builds have are then the move's too.
While a real build is on trial the move waits: the far side gets nothing until that trial is over."""

from collections import deque
from dataclasses import replace
from zlib import crc32

from ..interface import (
    CANCELLED,
    DRAINING,
    ROLLING_BACK,
    GONE,
    ON_TRIAL,
    READY,
    RELEASED,
    RESET,
    UNREADABLE,
    TIMED_OUT,
    UNCONNECTED,
)

SHIFTING, ALL = "shifting", 1000  # a record's step; thousandths
FIRST_FAR_BUILD = 1 << 40  # a far side's build is this plus the move's epoch
ENDS_IN_VIEW = 8  # last ends in view of each side
LOST_ENDS = (UNCONNECTED, RESET, TIMED_OUT, UNREADABLE, CANCELLED)  # ends that pairs of builds may not count


class MoveRouting:
    """`service`: whose requests they are; `far`: other clusters' names to the zones of their instances."""

    def __init__(self, service, far):
        self.service, self.far = service, {name: frozenset(zones) for name, zones in far.items()}
        self.abroad = frozenset().union(*self.far.values())
        self.lines, self.addresses = {}, {}  # by id, as discovery and the ledger's word on nodes have them
        self.shown = {}  # by id: (line, address) as the balancer was last told
        self.name, self.move = "", None  # the newest record of the service
        self.first = FIRST_FAR_BUILD  # lowest number of a far side's build, for the cluster that is followed
        self.past = False  # whether `move` comes from a cluster that was followed before
        self.news, self.began = None, 0  # the platform's, but for its age; when its stage began
        self.told = None  # what the balancer was last told, likewise
        # Whether each of the last attempts was lost, by whether it went to the far side.
        self.ends = {False: deque(maxlen=ENDS_IN_VIEW), True: deque(maxlen=ENDS_IN_VIEW)}
        self.far_lost_at = None  # the epoch and stage at which the far side lost most of what it was sent
        self.known = None  # the last vote that the ledger took: (epoch, stage, verdict)
        self.trial = None  # whether a real build is on trial, None until it is looked at again

    # ---- inputs

    def listed(self, lines, addresses, whole):
        self.trial = None
        if whole:
            self.lines, self.addresses = {}, {}
        for line in lines:
            if line.state == GONE:
                self.lines.pop(line.id, None)
                self.addresses.pop(line.id, None)
            else:
                self.lines[line.id], self.addresses[line.id] = line, addresses[line.id]

    def apply_changes(self, changes):
        """(part, key, record) of the ledger. The newest move of the service counts, and of its record the
        newest word; one that is gone changes nothing."""
        for part, key, move in changes:
            if part != "moves" or move is None or move["service"] != self.service:
                continue
            newer = self.move is None or (move["epoch"], move["at"]) >= (self.move["epoch"], self.move["at"])
            if newer or self.past:
                before, self.trial = self.told_of(), None
                self.name, self.move, self.past = key, move, False
                if self.told_of() != before:
                    self.far_lost_at = None
                    self.ends[True].clear()

    def anew(self):
        """Another cluster is followed from now on, whose entries count from 1 again. Requests go on as they
        did until it has a move of the service."""
        self.past, self.known, self.first = True, None, self.first + FIRST_FAR_BUILD

    def platform_told(self, now, number, stage, phase, cap, age):
        if self.news is None or (stage, phase, number) != (self.news[1], self.news[2], self.news[0]):
            self.began = now - age
        self.news, self.trial = (number, stage, phase, cap), None

    def attempt_ended(self, zone, end):
        """An attempt to an instance of this zone has ended. Builds are not judged by what the path loses; but
        a far side that can't be reached would hold the move, and what is sent there, for ever."""
        far = zone in self.abroad
        self.ends[far].append(end in LOST_ENDS)
        near, ours = self.ends[False], self.ends[True]
        most = len(ours) == ENDS_IN_VIEW and 2 * sum(ours) > ENDS_IN_VIEW and 0 < self.share() < ALL
        if far and most and 2 * sum(near) * ENDS_IN_VIEW <= sum(ours) * len(near):
            self.far_lost_at = self.told_of()

    def doubtful(self):
        """Whether most of what was sent there was lost: a stage on which nothing was heard is not passed."""
        return 2 * sum(self.ends[True]) > len(self.ends[True])

    def voted(self, vote):
        """The ledger has it."""
        self.known = vote

    # ---- what follows from it

    def told_of(self):
        return (self.move["epoch"], self.move["stage"]) if self.move else None

    def share(self):
        """Thousandths of the requests that go to the far side: of the record, or none while that waits."""
        return self.move["share"] if self.move is not None and not self.waits() else 0

    def waits(self):
        """Why nothing goes there although the record has it so; an empty text where it does."""
        move = self.move
        if move is None or not move["share"]:
            return ""
        if move["to"] not in self.far:
            return "no zone is told"
        if move["share"] == ALL:
            return ""
        if self.far_lost_at is not None:
            return "lost there"
        if self.trial is None:
            self.trial = self.on_trial()
        return "a build is on trial" if self.trial else ""

    def shifts(self):
        """Whether the balancer judges a far side now."""
        return self.told is not None and self.told[0] >= FIRST_FAR_BUILD

    def on_trial(self):
        """Whether a real build is, here or there."""
        zones = self.far[self.move["to"]]
        ready = {
            line.build for line in self.lines.values()
            if line.state == READY and (line.zone in zones or line.zone not in self.abroad)
        }  # fmt: skip
        if self.news is None:
            return len(ready) > 1
        number, _, phase, _ = self.news
        return phase in (ON_TRIAL, ROLLING_BACK) or any(
            build > number or build == number and phase != RELEASED for build in ready
        )

    def in_use(self, share):
        """Ids of those that may take requests, and of these the far ones. Only as many of each side as its
        share is due, so that one in use is as busy there as here; but no near one busier than without the
        move. The same at every gateway."""
        if not share:
            near = (line.id for line in self.lines.values() if line.zone not in self.abroad)
            return frozenset(near), frozenset()
        zones = self.far[self.move["to"]]
        ready = sorted(
            (line for line in self.lines.values() if line.state == READY),
            key=lambda line: crc32(repr(line.id).encode()),
        )
        near = [line.id for line in ready if line.zone not in self.abroad]
        far = [line.id for line in ready if line.zone in zones]
        there = far[: instances_for_share(len(far), share)]
        here = max(instances_for_share(len(near), ALL - share), len(near) - len(there)) if share < ALL else 0
        return frozenset(near[:here]), frozenset(there)

    def changes(self, whole):
        """Lines and addresses as the balancer is to be told them: all, or what differs from before."""
        share = self.share()
        here, there = self.in_use(share)
        shown = {}
        for id, line in self.lines.items():
            address = self.addresses[id]
            if line.state == READY and id not in here and id not in there:
                line, address = replace(line, state=DRAINING), (None, line.started)
            elif id in there and share < ALL:
                line = replace(line, build=self.first + self.move["epoch"])
            shown[id] = line, address
        old, self.shown = self.shown, shown
        new = {id: told for id, told in shown.items() if whole or told != old.get(id)}
        lines = [line for line, _ in new.values()]
        addresses = {id: address for id, (_, address) in new.items()}
        for id in [id for id in old if id not in shown and not whole]:
            lines.append(replace(old[id][0], state=GONE))
            addresses[id] = None, old[id][0].started
        return lines, addresses

    def stage(self, now, again=False):
        """What the balancer is to be told of builds, as the platform would, or None. `again`: though it was
        told the same before."""
        share, age = self.share(), 0
        if 0 < share < ALL:
            told = self.first + self.move["epoch"], self.move["stage"], ON_TRIAL, share / ALL
        elif self.news is not None:
            told, age = self.news, now - self.began
        elif self.told is not None:  # the platform tells nothing: what is listed is the released build
            builds = {line.build for line in self.lines.values()}
            told = max(builds, default=0), 0, RELEASED, 1.0
        else:
            return None
        if told == self.told and not (again and told == self.news):
            return None
        self.told = told
        return *told, max(age, 0)

    def vote(self, build, stage):
        """The epoch and stage that a vote on this build is of, or None where it is on a real one."""
        return (build - self.first, stage) if build >= FIRST_FAR_BUILD else None

    def stands(self, epoch, stage):
        """Whether a vote on this still counts."""
        shifting = self.move is not None and self.move["step"] == SHIFTING and not self.past
        return shifting and self.told_of() == (epoch, stage)


def instances_for_share(count, share):
    """Of so many instances, how many take requests at this share: at least one."""
    return max(-(-count * share // ALL), 1) if count and share else 0
