"""The leader task of drains, a `ledger.dispatcher.LeaderTask`: proposes one command at a time. All
durable data is in the replicated state. A new leader computes the plan and the other values kept here again.

A gang uses capacity units on each of its nodes until it ends (`ledger.capacity.Gang`)."""

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
from .feasibility import list_names
from .planner import NODES_PER_PIECE, Plan, PlanRequest, lower_bound_in_pieces
from .request_builder import NEVER, PlanRequestBuilder
from .rules import (
    CLEAR,
    DOWN,
    GIVEN,
    MAX_NEXT_NODES,
    MAX_PERMITS,
    MAX_STUCK,
    RECALLED,
    RETURNING,
    RUNNING,
    DrainCordon,
    DrainGivenUp,
    DrainPlanReport,
    PermitClear,
    PermitCommand,
    PermitRevoke,
    stuck_from,
)

LATE_NS = (
    600_000_000_000  # a node that takes longer for a phase is reported, and the next wave goes without it
)
PLANNING_INTERVAL_NS = 200_000_000  # between planning passes while only reservations change
ACK_INTERVAL_NS = 20_000_000  # between checks whether each gateway has acknowledged
OVERDUE_CORDON_MS = 3_600_000  # an overdue drain blocks new gangs for this time after its cordon time
CORDON_REOPEN_MS = 900_000  # then gangs that end within this time may start; afterwards it is set again
GIVE_UP_NS = (
    24 * 3600 * 1_000_000_000
)  # past its deadline, a drain with no node done for so long ends unfinished
MAX_SINGLE_TRIES = 200  # nodes tried one by one if a wave does not fit as a whole
MAX_GANG_WAIT_MS = 600_000  # longest delay of a wave that saves nothing if it runs before gangs have ended
GANG_OVERRUN_MS = 5000  # time past its announced end for which such a gang is still waited for
NODES_PER_SLICE = 500  # nodes examined or placed in one call of `next`, which then takes a few ms
MAX_WAVES_TRIED = 3  # planned waves that are checked for one that is allowed now
REPORT_INTERVAL_NS = 1_000_000_000  # between progress reports, so that not each event builds a plan for them
WATCHED_PARTS = ("nodes", "permits", "wants", "drains", "groups", "terms")  # a change starts a planning pass


class DrainTask:
    """Plans the waves of all running drains and proposes the commands for them. `late`: nanoseconds after
    which a node that stays in one phase is overdue and no longer delays the next wave."""

    def __init__(self, late=LATE_NS):
        self.late_ns = late
        self.became_leader(0)

    def became_leader(self, now):
        self.planned_parts = None  # the watched parts as of the last complete planning pass
        self.next_planning = 0
        self.next_ack_check = 0
        self.wake_time = NEVER
        self.index, self.index_seen = -1, now  # the last entry, and when it was seen
        self.next_wave_not_before = 0  # ledger time before which no wave starts, unless something changes
        self.permits = None  # as last seen
        # Index of the granting entry to the names of its nodes that are not clear yet.
        self.unacknowledged_permits = {}
        self.next_report = 0
        self.reset_plan()

    def reset_plan(self):
        """Stops the planning pass and forgets what was planned."""
        self.planning_work = None  # the generator of the planning pass that is under way
        self.planning_parts = None  # the watched parts as of its start
        self.urgent_search_parts = None  # the watched parts as of the last search for urgent commands
        self.next_urgent_search = 0
        self.slice_spent = 0
        self.urgent_search = None  # the generator of the search that is under way
        self.builder, self.rest_of_wave = PlanRequestBuilder(), ()
        self.plan = Plan(self.builder.request)

    @property
    def planning(self):
        """Whether a planning pass or a search is under way, of which each call of `next` does a slice."""
        return self.planning_work is not None or self.urgent_search is not None

    def called(self, now, call, code, body):
        """Never used, because this task makes no calls to other clusters."""
        raise AssertionError("DrainTask makes no calls")

    def wake_at(self):
        return self.wake_time

    def next(self, now, wall_ms, state, followers):
        """Returns the next command to propose, or None."""
        permits = state.part("permits")
        running = {name: drain for name, drain in state.part("drains").items() if drain.phase == RUNNING}
        if not running and not permits:
            self.wake_time = NEVER
            if self.planning:
                self.reset_plan()
            return None
        if state.index != self.index:
            self.index, self.index_seen = state.index, now
        if permits is not self.permits:
            self.permits, self.unacknowledged_permits = permits, {}
            for name, permit in permits.items():
                if permit.phase == GIVEN:
                    self.unacknowledged_permits.setdefault(permit.index, []).append(name)
        ledger_time = state.moment + now - self.index_seen  # never later than the true ledger time
        command = self.clear_acknowledged(now, state, followers)
        watched = tuple(state.part(name) for name in WATCHED_PARTS)
        if command is None and (
            self.planning or now >= self.next_planning or not is_same(watched, self.planned_parts)
        ):
            command = self.run_urgent_search_slice(now, ledger_time, state, watched)
            if command is None and self.urgent_search is None:
                command = self.run_planning_slice(now, wall_ms, ledger_time, state, running, watched)
        self.wake_time = (
            now + ACK_INTERVAL_NS if self.unacknowledged_permits else max(self.next_planning, now + 1)
        )
        if self.planning:
            self.wake_time = now + 1
        return command

    def clear_acknowledged(self, now, state, followers):
        """Returns the command for permits that each gateway has acknowledged, or whose gateways' leases ran
        out."""
        if now < self.next_ack_check:
            return None
        for index, names in sorted(self.unacknowledged_permits.items()):
            if not followers.waited_for(now, state, index):
                return PermitClear(nodes=tuple(sorted(names)[:MAX_PERMITS]), index=index)
        self.next_ack_check = now + ACK_INTERVAL_NS
        return None

    def run_urgent_search_slice(self, now, ledger_time, state, watched):
        """Does a slice of the search for urgent commands, which do not wait for a planning pass. While a
        planning pass is under way the search runs at most every other time, so that the pass ends even if
        there are many events."""
        if self.urgent_search is None:
            if self.planning_work is not None and (
                self.slice_spent
                or (is_same(watched, self.urgent_search_parts) and now < self.next_urgent_search)
            ):
                self.slice_spent = 0
                return None
            self.urgent_search, self.urgent_search_parts, self.next_urgent_search = (
                find_urgent_command(state, ledger_time),
                watched,
                now + PLANNING_INTERVAL_NS,
            )
        self.slice_spent = 0
        try:
            while self.slice_spent < NODES_PER_SLICE:
                self.slice_spent += next(self.urgent_search)
            return None
        except StopIteration as ended:
            self.urgent_search = None
            return ended.value

    def run_planning_slice(self, now, wall_ms, ledger_time, state, running, watched):
        """Does a slice of a planning pass. The pass works on the state as of its start: a leader that looked
        at 10,000 nodes at once would send its heartbeats late. A wave that does not fit the present state is
        planned again."""
        if self.planning_work is None:
            self.planning_work, self.planning_parts = (
                self.run_planning(now, wall_ms, ledger_time, state, running),
                watched,
            )
        left, command = NODES_PER_SLICE - self.slice_spent, None
        try:
            while left > 0:
                left -= next(self.planning_work)
            return None
        except StopIteration as ended:
            self.planning_work, command = None, ended.value
        fresh = is_same(watched, self.planning_parts)
        if (
            isinstance(command, PermitCommand)
            and not fresh
            and not may_be_taken_down_together(state, ledger_time, command.nodes)
        ):
            self.rest_of_wave, command = (), None
        if command is None:
            self.planned_parts, self.next_planning = (
                self.planning_parts,
                now + PLANNING_INTERVAL_NS if fresh else now,
            )
        return command

    def run_planning(self, now, wall_ms, ledger_time, state, running):
        """A planning pass, as a generator: returns the command for the next wave or a progress report."""
        wave = yield from self.next_wave(wall_ms, ledger_time, state, running)
        if wave:
            return PermitCommand(nodes=wave)
        return (yield from self.report_progress(now, wall_ms, ledger_time, state, running))

    # ---- waves

    def is_late(self, permit, ledger_time):
        return permit.phase != GIVEN and ledger_time - permit.moment >= self.late_ns

    def next_wave(self, wall_ms, ledger_time, state, running):
        """Returns the next nodes to take down, once those of the last wave are back, overdue or failed."""
        nodes, permits = state.part("nodes"), state.part("permits")
        busy = any(
            permit.phase != RECALLED and nodes[name].state != FAILED and not self.is_late(permit, ledger_time)
            for name, permit in permits.items()
        )
        if self.rest_of_wave:  # the wave was too long for one entry
            rest, self.rest_of_wave = self.rest_of_wave[:MAX_PERMITS], self.rest_of_wave[MAX_PERMITS:]
            if may_be_taken_down_together(state, ledger_time, rest):
                return rest
        if busy:
            return ()
        if (
            not (yield from self.update_plan(ledger_time, state, running))
            and ledger_time < self.next_wave_not_before
        ):
            return ()
        if self.plan.should_rebuild():
            yield from self.plan.rebuild_in_pieces(self.builder.request)
        if self.plan.waves and (yield from self.should_wait_for_gangs(wall_ms, ledger_time, state)):
            self.next_wave_not_before = ledger_time + REPORT_INTERVAL_NS
            return ()
        sums = constraints.sum_sites(state, ledger_time) if self.plan.waves else {}
        yield cost_of_sums(state)
        for wave in self.plan.waves[:MAX_WAVES_TRIED]:
            names = tuple(sorted(wave))
            yield len(names)
            faults = constraints.find_violations(state, ledger_time, names, sums)
            if not faults:
                self.rest_of_wave = names[MAX_PERMITS:]
                return names[:MAX_PERMITS]
            if all(isinstance(fault, SiteShort) for fault in faults) and any_site_cold(state, names, sums):
                return ()  # the wave fits once the nodes that came back are warm
            names = yield from subset_that_may_be_taken_down(state, ledger_time, names, sums)
            if names:
                return names
        return ()

    def should_wait_for_gangs(self, wall_ms, ledger_time, state):
        """Returns whether running the next wave now gains nothing: the remaining nodes, together with those
        whose gangs end soon, need as many waves after it as without it. Waiting for those gangs then costs no
        time and saves a wave.
        The wait is short, and does not go past the cordon of their drains. A generator."""
        progress, wants = state.part("progress"), state.part("wants")
        soon_free = {}
        for at, (name, drains) in enumerate(wants.items()):
            if at % NODES_PER_PIECE == 0:
                yield NODES_PER_PIECE
            ends = [
                state.part("gangs")[gang].ends_ms for gang in state.part("loads").get(name, NO_LOAD).gangs
            ]
            last = min(wall_ms + MAX_GANG_WAIT_MS, *(progress[drain].cordon_ms for drain in drains))
            waited = max(ledger_time - progress[drain].moved for drain in drains)
            if (
                ends
                and wall_ms < min(ends) + GANG_OVERRUN_MS
                and max(ends) <= last
                and waited < MAX_GANG_WAIT_MS * 1_000_000
            ):
                demands = self.builder.demands(state, name, gangs=True)
                if demands is not None and all(
                    amount <= self.builder.request.caps[limit] for limit, amount in demands
                ):
                    soon_free[name] = demands
        if not soon_free:
            return False
        request, first = self.builder.request, self.plan.waves[0]
        whole = PlanRequest(
            {**{name: request.demands[name] for name in self.plan.wave_of}, **soon_free}, request.caps
        )
        rest = [name for name in whole.demands if name not in first]
        return (yield from lower_bound_in_pieces(whole, rest)) == (
            yield from lower_bound_in_pieces(whole, whole.demands)
        )

    def update_plan(self, ledger_time, state, running):
        """Updates the plan, and returns whether anything that waves depend on has changed."""
        late = frozenset(
            name for name, permit in state.part("permits").items() if self.is_late(permit, ledger_time)
        )
        names, limits = yield from self.builder.update_in_pieces(state, running, late)
        if len(names) * 4 > len(self.builder.request.demands):
            yield from self.plan.rebuild_in_pieces(self.builder.request)
        elif names or limits:
            self.plan.change(names, limits)
        return bool(names or limits)

    # ---- progress reports, and overdue drains

    def report_progress(self, now, wall_ms, ledger_time, state, running):
        """Returns a command for one drain whose plan has changed, or that is overdue; a generator."""
        if not running or now < self.next_report:
            return None
        yield from self.update_plan(ledger_time, state, running)
        yield NODES_PER_SLICE
        reports = progress_of_drains(self.plan, state, running, wall_ms, ledger_time, self.late_ns)
        for name, drain in sorted(running.items()):
            progress = state.part("progress")[name]
            waves, next_nodes, stuck = reports[name]
            if (progress.waves, progress.next, progress.stuck) != (waves, next_nodes, stuck):
                return DrainPlanReport(drain=name, waves=waves, next=next_nodes, stuck=stuck)
            if wall_ms >= max(drain.deadline_ms, 1) and ledger_time >= progress.moved + GIVE_UP_NS:
                return DrainGivenUp(drain=name, moved=progress.moved)
            if wall_ms >= progress.cordon_ms + OVERDUE_CORDON_MS:
                return DrainCordon(drain=name, cordon_ms=wall_ms + CORDON_REOPEN_MS)
        self.next_report = now + REPORT_INTERVAL_NS
        return None


def cost_of_sums(state):
    """Returns the cost of summing over all nodes. Unit: one node placement, which costs about ten sums."""
    return len(state.part("nodes")) // 10


def is_same(watched, before):
    """Whether these parts are the very same objects; a part that has changed is another object."""
    return before is not None and all(a is b for a, b in zip(watched, before, strict=True))


def may_be_taken_down_together(state, ledger_time, names):
    """Whether each of these nodes may be taken down, and all of them together violate no constraint."""
    return all(may_be_taken_down(state, name) for name in names) and not constraints.find_violations(
        state, ledger_time, names
    )


def may_be_taken_down(state, name):
    """Whether a drain wants the node and no gang holds it; False for a node that is down without a permit."""
    permit = state.part("permits").get(name)
    if name not in state.part("wants") or (permit is not None and permit.phase != RECALLED):
        return False
    node = state.part("nodes")[name]
    return bool(up(node) or node.out) and not state.part("loads").get(name, NO_LOAD).gangs


def unplanned_down_nodes(state):
    """Returns the nodes that a drain wants and that are down without a permit: they need no wave."""
    nodes, permits = state.part("nodes"), state.part("permits")
    return [
        name
        for name in state.part("wants")
        if name not in permits and not up(nodes[name]) and not nodes[name].out
    ]


def any_site_cold(state, names, sums):
    """Whether a site of these nodes has a node that is still cold."""
    nodes = state.part("nodes")
    return any(sums[nodes[name].site].warm_at for name in names)


def subset_that_may_be_taken_down(state, ledger_time, names, sums):
    """Returns as many nodes of a wave as may be taken down now, tried one by one; a generator."""
    chosen = ()
    for name in names[:MAX_SINGLE_TRIES]:
        yield len(chosen) + 1
        if may_be_taken_down(state, name) and not constraints.find_violations(
            state, ledger_time, (*chosen, name), sums
        ):
            chosen = (*chosen, name)
    return chosen


def find_urgent_command(state, ledger_time):
    """Returns the command that goes before any plan, as a generator that works in pieces: it revokes permits,
    or grants them to nodes that are down without a permit."""
    revoked = yield from find_permits_to_revoke(state, ledger_time)
    if revoked:
        return PermitRevoke(nodes=tuple(sorted(revoked)[:MAX_PERMITS]))
    down = unplanned_down_nodes(state)
    if down:
        return PermitCommand(nodes=tuple(sorted(down)[:MAX_PERMITS]))
    return None


def find_permits_to_revoke(state, ledger_time):
    """Returns the names of nodes whose permits, not acted on yet, have to be revoked because a constraint is
    violated: as many as satisfy each group and site again, those that are not clear yet first."""
    nodes, loads, permits = state.part("nodes"), state.part("loads"), state.part("permits")
    revocable = {name: permit for name, permit in permits.items() if permit.phase in (GIVEN, CLEAR)}
    if not revocable:
        return set()
    serving = {name for name, node in nodes.items() if node.state == SERVING and not node.out}
    revoked, order = set(), sorted(revocable, key=lambda name: (revocable[name].phase != GIVEN, name))
    for group_name in sorted({one for name in revocable for one in loads.get(name, NO_LOAD).groups}):
        group = state.part("groups")[group_name]
        short = group.quorum - len(serving.intersection(group.nodes))
        if short <= 0:
            continue
        members = [name for name in group.nodes if nodes[name].state == SERVING and name in permits]
        short -= sum(name in revoked or permits[name].phase == RECALLED for name in members)
        for name in order:
            if short > 0 and name in members and name not in revoked:
                revoked.add(name)
                short -= 1
    yield cost_of_sums(state) + len(revocable) // 4
    sums = constraints.sum_sites(state, ledger_time, {nodes[name].site for name in revocable})
    yield cost_of_sums(state)
    revocable_by_site, revoked_by_site = {}, {}
    for name in order:
        revocable_by_site.setdefault(nodes[name].site, []).append(name)
    for name, permit in permits.items():
        if permit.phase == RECALLED or name in revoked:
            revoked_by_site.setdefault(nodes[name].site, []).append(name)
    for site, site_sums in sorted(sums.items()):
        short = site_sums.required - site_sums.capacity
        if short <= 0:
            continue
        short -= sum(
            capacity_if_revoked(state, nodes[name], ledger_time) for name in revoked_by_site.get(site, ())
        )
        for name in revocable_by_site[site]:
            if short > 0 and name not in revoked:
                revoked.add(name)
                short -= capacity_if_revoked(state, nodes[name], ledger_time)
    return revoked


def capacity_if_revoked(state, node, ledger_time):
    """Returns the capacity units that a node with a permit would provide if the permit were revoked."""
    if node.state not in (SERVING, CATCHING_UP):
        return 0
    return int(node.units * state.settings.cold_share) if node.warm > ledger_time else node.units


def progress_of_drains(plan, state, running, wall_ms, ledger_time, late_ns):
    """Returns a dict from drain to (number of waves, names of the next wave, its obstacles)."""
    wants = state.part("wants")
    waves, next_nodes, stuck = (
        dict.fromkeys(running, 0),
        {one: [] for one in running},
        {one: [] for one in running},
    )
    for names in plan.waves:
        drains_of_wave = set()
        for name in names:
            for drain in wants.get(name, ()):
                drains_of_wave.add(drain)
        for drain in drains_of_wave:
            waves[drain] += 1
            if waves[drain] == 1:
                next_nodes[drain] = sorted(name for name in names if drain in wants.get(name, ()))
    for names, fault in find_obstacles(plan, state, wall_ms, ledger_time, late_ns, running):
        for drain in sorted({wanting for name in names for wanting in wants.get(name, ())}):
            if len(stuck[drain]) < MAX_STUCK:
                stuck[drain].append(stuck_from(fault))
    return {
        name: (waves[name], tuple(next_nodes[name][:MAX_NEXT_NODES]), tuple(stuck[name])) for name in running
    }


def find_obstacles(plan, state, wall_ms, ledger_time, late_ns, running):
    """Yields (nodes, fault) for each thing that a drain waits for: first permits, then gangs, then limits."""
    nodes, loads, permits = state.part("nodes"), state.part("loads"), state.part("permits")
    wants, held_by_gang, blocked_by_limit = state.part("wants"), {}, {}
    for name in sorted(permits):
        permit = permits[name]
        if nodes[name].state == FAILED:
            yield [name], NotBack(f"node {name} failed and is not back")
        elif permit.phase != GIVEN and ledger_time - permit.moment >= late_ns:
            yield [name], LATE_FAULTS[permit.phase](f"node {name} is {permit.phase} since entry {permit.at}")
    for name in wants:
        for gang in loads.get(name, NO_LOAD).gangs:
            if up(nodes[name]):
                held_by_gang.setdefault(gang, []).append(name)
    for gang, names in sorted(held_by_gang.items()):
        ends, here = state.part("gangs")[gang].ends_ms, list_names(names)
        deadlines = [running[drain].deadline_ms for name in names for drain in wants[name]]
        if not ends:
            yield names, GangWithoutEnd(f"gang {gang} has no end known and runs on {here}")
        elif ends <= wall_ms:
            yield names, GangOverran(f"gang {gang} was to end at {ends} and runs on {here}")
        elif any(deadline and deadline <= wall_ms for deadline in deadlines):
            yield names, GangPastDeadline(f"gang {gang} runs until {ends}, past the deadline, on {here}")
    for name, limit in plan.blocked.items():
        blocked_by_limit.setdefault(limit, []).append(name)
    for limit, names in sorted(blocked_by_limit.items()):
        what, key = limit
        says = f"{list_names(names)} can't go now"
        if what == "group":
            group = state.part("groups")[key]
            count = constraints.caught_up(state, group)
            yield (
                names,
                GroupShort(f"group {key} has {count} caught up, its quorum is {group.quorum}: {says}"),
            )
        elif what == "units":
            spare = plan.request.caps[limit]
            yield names, SiteShort(f"site {key} has {max(spare, 0)} units to spare: {says}")
        else:
            yield names, SiteShareTaken(f"site {key} has as many nodes away as may be: {says}")


# The fault of a permit that stays too long in a phase.
LATE_FAULTS = {CLEAR: NotDown, DOWN: NotBack, RETURNING: StaysCatchingUp, RECALLED: StaysOut}
__all__ = ["DrainTask", "find_obstacles"]
