"""Decides which side of a move gets a service's requests, and how this is shown to the balancer. Decisions
only: no I/O, no clock; inputs only update the state.

The far side's instances are shown as a build on trial, with a made-up number above all real ones, and the
stage's share as its cap. So the balancer's caps, pairs and votes for builds apply to the move too. While a
real build is on trial the move waits: the far side gets no requests until that trial has ended."""

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

SHIFTING = "shifting"  # a move's step
FULL_SHARE_PERMILLE = 1000  # the share that sends all requests to the far side
FIRST_FAR_BUILD = 1 << 40  # the far side is shown as a build of this number plus the move's epoch
MAX_RECENT_ENDS = 8  # last attempts of each side that are considered
# Ends of attempts that a comparison of builds doesn't count.
LOST_ENDS = (UNCONNECTED, RESET, TIMED_OUT, UNREADABLE, CANCELLED)


class MoveRouting:
    """`service` is the service whose requests are routed; `far` maps the names of other clusters to the zones
    of their instances."""

    def __init__(self, service, far):
        self.service, self.far = service, {name: frozenset(zones) for name, zones in far.items()}
        self.far_zones = frozenset().union(*self.far.values())
        self.lines, self.addresses = {}, {}  # by id, as merged from discovery and the ledger
        self.last_sent_list = {}  # by id: the (line, address) that the balancer has
        self.move_name = ""
        self.move = None  # the newest record of the service's moves
        # Raised by FIRST_FAR_BUILD at each cluster change: epochs then start again at 1, builds must not.
        self.far_build_base = FIRST_FAR_BUILD
        # Whether `move` comes from a cluster that was followed before.
        self.is_move_of_previous_cluster = False
        self.platform_state = None  # (build, stage, phase, cap) as the platform reported it
        self.stage_began = 0  # when that stage began
        self.last_sent_stage = None  # (build, stage, phase, cap) that the balancer has
        # Whether each of the last attempts was lost, by whether it went to the far side.
        self.recent_ends = {False: deque(maxlen=MAX_RECENT_ENDS), True: deque(maxlen=MAX_RECENT_ENDS)}
        self.far_unreachable_stage = None  # (epoch, stage) at which the far side lost most attempts
        self.counted_vote = None  # the last vote that the ledger counted: (epoch, stage, verdict)
        self.has_build_on_trial = None  # whether a real build is on trial; None: not evaluated

    # ---- inputs

    def listed(self, lines, addresses, whole):
        """Takes merged lines and addresses: all of them (`whole`), or changes."""
        self.has_build_on_trial = None
        if whole:
            self.lines, self.addresses = {}, {}
        for line in lines:
            if line.state == GONE:
                self.lines.pop(line.id, None)
                self.addresses.pop(line.id, None)
            else:
                self.lines[line.id], self.addresses[line.id] = line, addresses[line.id]

    def apply_changes(self, changes):
        """Takes changes of the ledger, (part, key, record). Of the service's moves the newest counts, and of
        a move its newest record; the removal of a record changes nothing."""
        for part, key, move in changes:
            if part != "moves" or move is None or move["service"] != self.service:
                continue
            newer = self.move is None or (move["epoch"], move["at"]) >= (self.move["epoch"], self.move["at"])
            if newer or self.is_move_of_previous_cluster:
                before, self.has_build_on_trial = self.current_stage(), None
                self.move_name, self.move, self.is_move_of_previous_cluster = key, move, False
                if self.current_stage() != before:
                    self.far_unreachable_stage = None
                    self.recent_ends[True].clear()

    def cluster_changed(self):
        """Records that another cluster is followed, whose entries count from 1 again. Requests are routed as
        before until that cluster has a move of the service."""
        self.is_move_of_previous_cluster, self.counted_vote, self.far_build_base = (
            True,
            None,
            self.far_build_base + FIRST_FAR_BUILD,
        )

    def platform_changed(self, now, number, stage, phase, cap, age):
        """Takes the state of the newest build as the platform reports it. `age` is how long ago its stage
        began, in nanoseconds."""
        if self.platform_state is None or (stage, phase, number) != (
            self.platform_state[1],
            self.platform_state[2],
            self.platform_state[0],
        ):
            self.stage_began = now - age
        self.platform_state, self.has_build_on_trial = (number, stage, phase, cap), None

    def attempt_ended(self, zone, end):
        """Takes the end of an attempt in this zone. Builds are not judged by losses on the path, so an
        unreachable far side would never be judged: the move would stall and its requests would fail."""
        far = zone in self.far_zones
        self.recent_ends[far].append(end in LOST_ENDS)
        near, ours = self.recent_ends[False], self.recent_ends[True]
        most = (
            len(ours) == MAX_RECENT_ENDS
            and 2 * sum(ours) > MAX_RECENT_ENDS
            and 0 < self.share() < FULL_SHARE_PERMILLE
        )
        if far and most and 2 * sum(near) * MAX_RECENT_ENDS <= sum(ours) * len(near):
            self.far_unreachable_stage = self.current_stage()

    def mostly_lost(self):
        """Returns whether most attempts on the far side were lost. There are then too few outcomes to
        vote for the next stage."""
        return 2 * sum(self.recent_ends[True]) > len(self.recent_ends[True])

    def vote_counted(self, vote):
        """Records that the ledger counted this vote."""
        self.counted_vote = vote

    # ---- decisions

    def current_stage(self):
        """Returns the epoch and stage of the current move, None if there is none."""
        return (self.move["epoch"], self.move["stage"]) if self.move else None

    def share(self):
        """Returns the thousandths of the requests that go to the far side: those of the move's record, or 0
        while it waits."""
        return self.move["share"] if self.move is not None and not self.wait_reason() else 0

    def wait_reason(self):
        """Returns why the far side gets no requests although the move's record gives it a share; an empty
        text if it gets them."""
        move = self.move
        if move is None or not move["share"]:
            return ""
        if move["to"] not in self.far:
            return "no zone is told"
        if move["share"] == FULL_SHARE_PERMILLE:
            return ""
        if self.far_unreachable_stage is not None:
            return "lost there"
        if self.has_build_on_trial is None:
            self.has_build_on_trial = self.any_build_on_trial()
        return "a build is on trial" if self.has_build_on_trial else ""

    def is_shifting(self):
        """Returns whether the balancer now judges a far side."""
        return self.last_sent_stage is not None and self.last_sent_stage[0] >= FIRST_FAR_BUILD

    def any_build_on_trial(self):
        """Returns whether a real build is on trial on either side."""
        zones = self.far[self.move["to"]]
        ready = {
            line.build for line in self.lines.values()
            if line.state == READY and (line.zone in zones or line.zone not in self.far_zones)
        }  # fmt: skip
        if self.platform_state is None:
            return len(ready) > 1
        number, _, phase, _ = self.platform_state
        return phase in (ON_TRIAL, ROLLING_BACK) or any(
            build > number or build == number and phase != RELEASED for build in ready
        )

    def instances_in_use(self, share):
        """Returns the ids of the near and of the far instances that may take requests. Each side uses only as
        many as its share requires, so that an instance in use is as busy on either side, but no near instance
        gets busier than without the move. All gateways choose the same instances."""
        if not share:
            near = (line.id for line in self.lines.values() if line.zone not in self.far_zones)
            return frozenset(near), frozenset()
        zones = self.far[self.move["to"]]
        ready = sorted(
            (line for line in self.lines.values() if line.state == READY),
            key=lambda line: crc32(repr(line.id).encode()),
        )
        near = [line.id for line in ready if line.zone not in self.far_zones]
        far = [line.id for line in ready if line.zone in zones]
        there = far[: instances_for_share(len(far), share)]
        here = (
            max(instances_for_share(len(near), FULL_SHARE_PERMILLE - share), len(near) - len(there))
            if share < FULL_SHARE_PERMILLE
            else 0
        )
        return frozenset(near[:here]), frozenset(there)

    def list_update_for_balancer(self, whole):
        """Returns the lines and addresses for the balancer: all of them (`whole`), or those that differ from
        what it has."""
        share = self.share()
        here, there = self.instances_in_use(share)
        shown = {}
        for id, line in self.lines.items():
            address = self.addresses[id]
            if line.state == READY and id not in here and id not in there:
                line, address = replace(line, state=DRAINING), (None, line.started)
            elif id in there and share < FULL_SHARE_PERMILLE:
                line = replace(line, build=self.far_build_base + self.move["epoch"])
            shown[id] = line, address
        old, self.last_sent_list = self.last_sent_list, shown
        new = {id: entry for id, entry in shown.items() if whole or entry != old.get(id)}
        lines = [line for line, _ in new.values()]
        addresses = {id: address for id, (_, address) in new.items()}
        for id in [id for id in old if id not in shown and not whole]:
            lines.append(replace(old[id][0], state=GONE))
            addresses[id] = None, old[id][0].started
        return lines, addresses

    def stage_update_for_balancer(self, now, again=False):
        """Returns what the balancer is to receive about builds, in the form of the platform's reports, or
        None if it has that already. With `again` a repeated report of the platform is passed on too."""
        share, age = self.share(), 0
        if 0 < share < FULL_SHARE_PERMILLE:
            stage = (
                self.far_build_base + self.move["epoch"],
                self.move["stage"],
                ON_TRIAL,
                share / FULL_SHARE_PERMILLE,
            )
        elif self.platform_state is not None:
            stage, age = self.platform_state, now - self.stage_began
        elif self.last_sent_stage is not None:  # no platform: the listed build is the released one
            builds = {line.build for line in self.lines.values()}
            stage = max(builds, default=0), 0, RELEASED, 1.0
        else:
            return None
        if stage == self.last_sent_stage and not (again and stage == self.platform_state):
            return None
        self.last_sent_stage = stage
        return *stage, max(age, 0)

    def vote_target(self, build, stage):
        """Returns the epoch and stage that a vote on this build is about, or None if it is about a real
        build."""
        return (build - self.far_build_base, stage) if build >= FIRST_FAR_BUILD else None

    def is_current_stage(self, epoch, stage):
        """Returns whether a vote on this epoch and stage still counts."""
        shifting = (
            self.move is not None and self.move["step"] == SHIFTING and not self.is_move_of_previous_cluster
        )
        return shifting and self.current_stage() == (epoch, stage)


def instances_for_share(count, share):
    """Returns how many of `count` instances take requests at this share: at least one."""
    return max(-(-count * share // FULL_SHARE_PERMILLE), 1) if count and share else 0
