"""What a leader proposes for drains, one command at a time (a `ledger.dispatcher.LeaderTask`). All that
counts is in the state; what is kept here (the plan, what was looked at last) a new leader makes anew."""

from ..ledger.capacity import CATCHING_UP, FAILED, SERVING, up
from . import constraints
from .constraints import NO_LOAD
from .faults import (
    GangOverran,
    GangPastDeadline,
    GangWithoutEnd,
    GroupShort,
    NotBack,
    NotDown,
    SiteShareTaken,
    SiteShort,
    StaysCatchingUp,
    StaysOut,
)
from .feasibility import named
from .planner import PIECE, Plan, PlanRequest, bounding, through
from .request_builder import NEVER, PlanRequestBuilder
from .rules import (
    CLEAR,
    DOWN,
    GIVEN,
    MOST_NAMED,
    MOST_PERMITS,
    MOST_TOLD,
    RECALLED,
    RETURNING,
    RUNNING,
    DrainCordon,
    DrainGivenUp,
    DrainPlanReport,
    PermitClear,
    PermitCommand,
    PermitRevoke,
    stuck_by,
)

LATE = 600_000_000_000  # a node that takes longer for a phase is told of, and the next wave goes without it
LOOK = 200_000_000  # between looks while only promises change
ASK = 20_000_000  # between looks whether each gateway has acknowledged
HOLD_MS = 3_600_000  # for so long past its cordon a late drain keeps gangs off its nodes
OPEN_MS = 900_000  # then gangs that end within this may start, and the hold begins anew
GIVE_UP = 24 * 3600 * 1_000_000_000  # without a node done, past the deadline: the drain ends unfinished
MOST_TRIED = 200  # nodes tried one by one where a wave does not fit as a whole
SOON_MS = 600_000  # for so long a wave may wait for gangs that end, where it would save none
LINGER_MS = 5000  # and for so long past the end that a gang told
SLICE = 500  # nodes looked at or placed in one `next`: some milliseconds
MOST_WAVES = 3  # waves looked at for one that may go now
TELL = 1_000_000_000  # between what drains' records tell: a plan for telling alone is not made at each event
WATCHED = ("nodes", "permits", "wants", "drains", "groups", "terms")  # looked at as soon as they change


class DrainTask:
    def __init__(self, late=LATE):
        self.late = late
        self.became_leader(0)

    def became_leader(self, now):
        self.seen, self.look, self.ask, self.wake = None, 0, 0, NEVER
        self.index, self.at = -1, now  # the last entry seen, and when
        self.held_until = 0  # the ledger's time up to which a wave is kept back, unless something changes
        self.permits, self.given = None, {}  # as last seen; index to names of those not yet clear
        self.tell = 0
        self.anew()

    def anew(self):
        """No look is under way, and what was planned is forgotten."""
        self.work, self.begun, self.met, self.meet, self.spent = None, None, None, 0, 0
        self.alarm = None
        self.builder, self.rest = PlanRequestBuilder(), ()
        self.plan = Plan(self.builder.request)

    @property
    def planning(self):
        """Whether a look is under way, of which each `next` does a slice."""
        return self.work is not None or self.alarm is not None

    def called(self, now, call, code, body):
        raise AssertionError("drains call nobody")

    def wake_at(self):
        return self.wake

    def next(self, now, wall_ms, state, followers):
        permits = state.part("permits")
        running = {name: one for name, one in state.part("drains").items() if one.phase == RUNNING}
        if not running and not permits:
            self.wake = NEVER
            if self.planning:
                self.anew()
            return None
        if state.index != self.index:
            self.index, self.at = state.index, now
        if permits is not self.permits:
            self.permits, self.given = permits, {}
            for name, held in permits.items():
                if held.phase == GIVEN:
                    self.given.setdefault(held.index, []).append(name)
        moment = state.moment + now - self.at  # the ledger's time, or a little less
        found = self.clear(now, state, followers)
        watched = tuple(state.part(name) for name in WATCHED)
        if found is None and (self.planning or now >= self.look or not alike(watched, self.seen)):
            found = self.urgent(now, moment, state, watched)
            if found is None and self.alarm is None:
                found = self.slice(now, wall_ms, moment, state, running, watched)
        self.wake = now + ASK if self.given else max(self.look, now + 1)
        if self.planning:
            self.wake = now + 1
        return found

    def clear(self, now, state, followers):
        """A permit that every gateway has acknowledged, or whose gateways ran out."""
        if now < self.ask:
            return None
        for index, names in sorted(self.given.items()):
            if not followers.waited_for(now, state, index):
                return PermitClear(nodes=tuple(sorted(names)[:MOST_PERMITS]), index=index)
        self.ask = now + ASK
        return None

    def urgent(self, now, moment, state, watched):
        """What is not kept waiting by a look that is under way; every other time at most, so that under many
        events the look comes to its end, too."""
        if self.alarm is None:
            if self.work is not None and (self.spent or (alike(watched, self.met) and now < self.meet)):
                self.spent = 0
                return None
            self.alarm, self.met, self.meet = alarm(state, moment), watched, now + LOOK
        self.spent = 0
        try:
            while self.spent < SLICE:
                self.spent += next(self.alarm)
            return None
        except StopIteration as ended:
            self.alarm = None
            return ended.value

    def slice(self, now, wall_ms, moment, state, running, watched):
        """Part of a look, which is at the state as it was when that began: a leader that looked at 10,000
        nodes at once would beat late. A wave that does not fit the state as it is by now is planned anew."""
        if self.work is None:
            self.work, self.begun = self.looking(now, wall_ms, moment, state, running), watched
        left, found = SLICE - self.spent, None
        try:
            while left > 0:
                left -= next(self.work)
            return None
        except StopIteration as ended:
            self.work, found = None, ended.value
        fresh = alike(watched, self.begun)
        if isinstance(found, PermitCommand) and not fresh and not fits(state, moment, found.nodes):
            self.rest, found = (), None
        if found is None:
            self.seen, self.look = self.begun, now + LOOK if fresh else now
        return found

    def looking(self, now, wall_ms, moment, state, running):
        wave = yield from self.wave(wall_ms, moment, state, running)
        if wave:
            return PermitCommand(nodes=wave)
        return (yield from self.about(now, wall_ms, moment, state, running))

    # ---- waves

    def is_late(self, held, moment):
        return held.phase != GIVEN and moment - held.moment >= self.late

    def wave(self, wall_ms, moment, state, running):
        """The next nodes to go, once those of the last wave are back, late or failed."""
        nodes, permits = state.part("nodes"), state.part("permits")
        busy = any(
            held.phase != RECALLED and nodes[name].state != FAILED and not self.is_late(held, moment)
            for name, held in permits.items()
        )
        if self.rest:  # the other entries of a wave that is too long for one
            rest, self.rest = self.rest[:MOST_PERMITS], self.rest[MOST_PERMITS:]
            if fits(state, moment, rest):
                return rest
        if busy:
            return ()
        if not (yield from self.replan(moment, state, running)) and moment < self.held_until:
            return ()
        if self.plan.far():
            yield from self.plan.making(self.builder.request)
        if self.plan.waves and (yield from self.better_later(wall_ms, moment, state)):
            self.held_until = moment + TELL
            return ()
        found = constraints.sums(state, moment) if self.plan.waves else {}
        yield summing(state)
        for wave in self.plan.waves[:MOST_WAVES]:
            names = tuple(sorted(wave))
            yield len(names)
            faults = constraints.objections(state, moment, names, found)
            if not faults:
                self.rest = names[MOST_PERMITS:]
                return names[:MOST_PERMITS]
            if all(isinstance(fault, SiteShort) for fault in faults) and cold(state, names, found):
                return ()  # it fits once what came back is warm
            names = yield from fitting(state, moment, names, found)
            if names:
                return names
        return ()

    def better_later(self, wall_ms, moment, state):
        """Whether the next wave would save none, as nodes whose gangs end soon need as many waves after it
        as all do together. Then waiting for them costs no time and spares a wave; not for long, and not past
        what their cordon leaves."""
        progress, wants = state.part("progress"), state.part("wants")
        soon = {}
        for at, (name, drains) in enumerate(wants.items()):
            if at % PIECE == 0:
                yield PIECE
            ends = [
                state.part("gangs")[gang].ends_ms for gang in state.part("loads").get(name, NO_LOAD).gangs
            ]
            last = min(wall_ms + SOON_MS, *(progress[one].cordon_ms for one in drains))
            waited = max(moment - progress[one].moved for one in drains)
            if (
                ends
                and wall_ms < min(ends) + LINGER_MS
                and max(ends) <= last
                and waited < SOON_MS * 1_000_000
            ):
                demands = self.builder.demands(state, name, gangs=True)
                if demands is not None and all(
                    much <= self.builder.request.caps[limit] for limit, much in demands
                ):
                    soon[name] = demands
        if not soon:
            return False
        request, first = self.builder.request, self.plan.waves[0]
        whole = PlanRequest(
            {**{name: request.demands[name] for name in self.plan.where}, **soon}, request.caps
        )
        rest = [name for name in whole.demands if name not in first]
        return (yield from bounding(whole, rest)) == (yield from bounding(whole, whole.demands))

    def replan(self, moment, state, running):
        """Whether anything that waves depend on has changed."""
        late = frozenset(name for name, held in state.part("permits").items() if self.is_late(held, moment))
        names, limits = yield from self.builder.updating(state, running, late)
        if len(names) * 4 > len(self.builder.request.demands):
            yield from self.plan.making(self.builder.request)
        elif names or limits:
            self.plan.change(names, limits)
        return bool(names or limits)

    # ---- what is told, and drains that are late

    def about(self, now, wall_ms, moment, state, running):
        if not running or now < self.tell:
            return None
        yield from self.replan(moment, state, running)
        yield SLICE
        told = told_of(self.plan, state, running, wall_ms, moment, self.late)
        for name, one in sorted(running.items()):
            progress = state.part("progress")[name]
            waves, following, stuck = told[name]
            if (progress.waves, progress.next, progress.stuck) != (waves, following, stuck):
                return DrainPlanReport(drain=name, waves=waves, next=following, stuck=stuck)
            if wall_ms >= max(one.deadline_ms, 1) and moment >= progress.moved + GIVE_UP:
                return DrainGivenUp(drain=name, moved=progress.moved)
            if wall_ms >= progress.cordon_ms + HOLD_MS:
                return DrainCordon(drain=name, cordon_ms=wall_ms + OPEN_MS)
        self.tell = now + TELL
        return None


def summing(state):
    """What a sum over all nodes costs, as nodes placed: that takes some ten times as long."""
    return len(state.part("nodes")) // 10


def alike(watched, before):
    """Whether these parts are the very same; a part that changed is another object."""
    return before is not None and all(a is b for a, b in zip(watched, before, strict=True))


def fits(state, moment, names):
    return all(may_go(state, name) for name in names) and not constraints.objections(state, moment, names)


def may_go(state, name):
    """Whether a drain wants it and no gang holds it; one that is down has no need to."""
    held = state.part("permits").get(name)
    if name not in state.part("wants") or (held is not None and held.phase != RECALLED):
        return False
    node = state.part("nodes")[name]
    return bool(up(node) or node.out) and not state.part("loads").get(name, NO_LOAD).gangs


def own_down(state):
    """Nodes that a drain wants and that went down on their own: they need no wave."""
    nodes, permits = state.part("nodes"), state.part("permits")
    return [
        name
        for name in state.part("wants")
        if name not in permits and not up(nodes[name]) and not nodes[name].out
    ]


def cold(state, names, found):
    nodes = state.part("nodes")
    return any(found[nodes[name].site].warm_at for name in names)


def fitting(state, moment, names, found):
    """As many of a wave as may go now, one by one."""
    kept = ()
    for name in names[:MOST_TRIED]:
        yield len(kept) + 1
        if may_go(state, name) and not constraints.objections(state, moment, (*kept, name), found):
            kept = (*kept, name)
    return kept


def alarm(state, moment):
    """What goes before any plan, in slices: permits to be taken back, and nodes that went down by
    themselves."""
    gone = yield from taking(state, moment)
    if gone:
        return PermitRevoke(nodes=tuple(sorted(gone)[:MOST_PERMITS]))
    down = own_down(state)
    if down:
        return PermitCommand(nodes=tuple(sorted(down)[:MOST_PERMITS]))
    return None


def take_back(state, moment):
    return through(taking(state, moment))


def taking(state, moment):
    """Names whose permits, not yet acted on, have to go back, as the ground has gone: as many as bring each
    group and site right, those not yet clear first."""
    nodes, loads, permits = state.part("nodes"), state.part("loads"), state.part("permits")
    open_ = {name: held for name, held in permits.items() if held.phase in (GIVEN, CLEAR)}
    if not open_:
        return set()
    serving = {name for name, node in nodes.items() if node.state == SERVING and not node.out}
    taken, order = set(), sorted(open_, key=lambda name: (open_[name].phase != GIVEN, name))
    for group_name in sorted({g for name in open_ for g in loads.get(name, NO_LOAD).groups}):
        group = state.part("groups")[group_name]
        short = group.quorum - len(serving.intersection(group.nodes))
        if short <= 0:
            continue
        members = [name for name in group.nodes if nodes[name].state == SERVING and name in permits]
        short -= sum(name in taken or permits[name].phase == RECALLED for name in members)
        for name in order:
            if short > 0 and name in members and name not in taken:
                taken.add(name)
                short -= 1
    yield summing(state) + len(open_) // 4
    found = constraints.sums(state, moment, {nodes[name].site for name in open_})
    yield summing(state)
    here, back = {}, {}
    for name in order:
        here.setdefault(nodes[name].site, []).append(name)
    for name, held in permits.items():
        if held.phase == RECALLED or name in taken:
            back.setdefault(nodes[name].site, []).append(name)
    for site, sums in sorted(found.items()):
        short = sums.need - sums.bears
        if short <= 0:
            continue
        short -= sum(back_bears(state, nodes[name], moment) for name in back.get(site, ()))
        for name in here[site]:
            if short > 0 and name not in taken:
                taken.add(name)
                short -= back_bears(state, nodes[name], moment)
    return taken


def back_bears(state, node, moment):
    """What a node that is out would bear were it taken back."""
    if node.state not in (SERVING, CATCHING_UP):
        return 0
    return int(node.units * state.settings.cold_share) if node.warm > moment else node.units


def told_of(plan, state, running, wall_ms, moment, late):
    """Drain to (waves, names of the next one, what stands in the way)."""
    wants = state.part("wants")
    waves, following, stuck = dict.fromkeys(running, 0), {n: [] for n in running}, {n: [] for n in running}
    for names in plan.waves:
        met = set()
        for name in names:
            for drain in wants.get(name, ()):
                met.add(drain)
        for drain in met:
            waves[drain] += 1
            if waves[drain] == 1:
                following[drain] = sorted(name for name in names if drain in wants.get(name, ()))
    for names, fault in in_the_way(plan, state, wall_ms, moment, late, running):
        for drain in sorted({one for name in names for one in wants.get(name, ())}):
            if len(stuck[drain]) < MOST_TOLD:
                stuck[drain].append(stuck_by(fault))
    return {name: (waves[name], tuple(following[name][:MOST_NAMED]), tuple(stuck[name])) for name in running}


def in_the_way(plan, state, wall_ms, moment, late, running):
    """(nodes, fault) of each thing that a drain waits for; those of permits and gangs first."""
    nodes, loads, permits = state.part("nodes"), state.part("loads"), state.part("permits")
    wants, held_by, limits = state.part("wants"), {}, {}
    for name in sorted(permits):
        held = permits[name]
        if nodes[name].state == FAILED:
            yield [name], NotBack(f"node {name} failed and is not back")
        elif held.phase != GIVEN and moment - held.moment >= late:
            yield [name], LATE_BY[held.phase](f"node {name} is {held.phase} since entry {held.at}")
    for name in wants:
        for gang in loads.get(name, NO_LOAD).gangs:
            if up(nodes[name]):
                held_by.setdefault(gang, []).append(name)
    for gang, names in sorted(held_by.items()):
        ends, here = state.part("gangs")[gang].ends_ms, named(names)
        deadlines = [running[one].deadline_ms for name in names for one in wants[name]]
        if not ends:
            yield names, GangWithoutEnd(f"gang {gang} has no end known and runs on {here}")
        elif ends <= wall_ms:
            yield names, GangOverran(f"gang {gang} was to end at {ends} and runs on {here}")
        elif any(deadline and deadline <= wall_ms for deadline in deadlines):
            yield names, GangPastDeadline(f"gang {gang} runs until {ends}, past the deadline, on {here}")
    for name, limit in plan.blocked.items():
        limits.setdefault(limit, []).append(name)
    for limit, names in sorted(limits.items()):
        what, key = limit
        says = f"{named(names)} can't go now"
        if what == "group":
            group = state.part("groups")[key]
            have = constraints.caught_up(state, group)
            yield names, GroupShort(f"group {key} has {have} caught up, its quorum is {group.quorum}: {says}")
        elif what == "units":
            spare = plan.request.caps[limit]
            yield names, SiteShort(f"site {key} has {max(spare, 0)} units to spare: {says}")
        else:
            yield names, SiteShareTaken(f"site {key} has as many nodes away as may be: {says}")


LATE_BY = {CLEAR: NotDown, DOWN: NotBack, RETURNING: StaysCatchingUp, RECALLED: StaysOut}
__all__ = ["DrainTask", "in_the_way", "take_back"]
