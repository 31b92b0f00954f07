"""The ledger's commands and records of drains. The invariants are kept here, as an entry is applied: a
permit that was planned on an older state is refused where it no longer holds.

A permit's phases: `given` (gateways are to stop sending to the node) -> `clear` (each has acknowledged, or
its lease and grace ran out: the node may end what it holds, report `drained` and go down) -> `down` ->
`returning` (it reports `catching_up`) -> gone, once it reports `serving`. One taken back while `given` is
gone at once; one taken back once `clear` is `recalled`, and its node counts as away until it is known that
it did not act, or has come back."""

from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace

from ..ledger import capacity
from ..ledger.capacity import CATCHING_UP, DRAINED, FAILED, Millis, Name, Names, Report, change_node
from ..ledger.state import Command
from . import constraints, feasibility
from .faults import GivenUp, GroundGone, NoSuchDrain, TooManyDrains

MOST_RUNNING = 100  # drains at once
MOST_ENDED = 100  # that are remembered after their end; the oldest goes first
MOST_PERMITS = 2000  # nodes in one entry
MOST_TOLD = 20  # things in a drain's way that its record tells
MOST_NAMED = 100  # nodes of the next wave that its record tells
WAVE_MS = 60_000  # that a wave is awaited to take, where the cordon has to leave time for the last ones

GIVEN, CLEAR, DOWN, RETURNING, RECALLED = "given", "clear", "down", "returning", "recalled"
RUNNING, DONE, STOPPED, GIVEN_UP = "running", "done", "stopped", "given up"

Index = Annotated[int, Meta(ge=0)]
Some = Annotated[tuple[Name, ...], Meta(min_length=1, max_length=MOST_PERMITS)]


# ---- records


class Drain(Struct, frozen=True):
    nodes: tuple[str, ...]
    deadline_ms: int = 0  # 0: none, as soon as can be
    since: int = 0  # index of the entry that began it: its age
    phase: str = RUNNING


class Stuck(Struct, frozen=True):
    """One thing in a drain's way, as an error is told."""

    type: str
    says: str
    do: str


class Progress(Struct, frozen=True):
    """What changes while a drain runs. `left`: nodes not yet done; `moved`: the ledger's time at which one
    was last done; `cordon_ms`: from when no gang may hold its nodes. The rest is the leader's plan."""

    left: int
    moved: int
    cordon_ms: int
    waves: int = 0
    next: tuple[str, ...] = ()
    stuck: tuple[Stuck, ...] = ()


class Permit(Struct, frozen=True):
    """By node. (`term`, `index`) are those of the entry that gave it: whoever obeys refuses an older one.
    `at`: index of the entry that brought this phase; `moment`: the ledger's time then."""

    drain: str
    serves: tuple[str, ...]  # the drains that this time away counts for
    term: int
    index: int
    phase: str
    at: int
    moment: int


KINDS = {"drains": Drain, "progress": Progress, "wants": tuple[str, ...], "permits": Permit}


def stuck_by(fault):
    return Stuck(type(fault).__name__, fault.says, fault.do)


# ---- commands


class DrainCommand(Command, frozen=True, tag="drain"):
    """Begins a drain; or gives one that runs another deadline, or other nodes."""

    drain: Name
    nodes: Names
    deadline_ms: Millis = 0


class DrainStop(Command, frozen=True, tag="drain_stop"):
    drain: Name


class PermitCommand(Command, frozen=True, tag="permit"):
    """A leader's own: these nodes may go, all of them or none."""

    nodes: Some


class PermitClear(Command, frozen=True, tag="permit_clear"):
    """A leader's own: nobody sends to these nodes any more. `index`: the entry that gave their permits."""

    nodes: Some
    index: Index


class PermitRevoke(Command, frozen=True, tag="permit_back"):
    nodes: Some


class DrainPlanReport(Command, frozen=True, tag="drain_told"):
    """A leader's own: what it plans, and what stands in the way."""

    drain: Name
    waves: Index
    next: Annotated[tuple[Name, ...], Meta(max_length=MOST_NAMED)] = ()
    stuck: Annotated[tuple[Stuck, ...], Meta(max_length=MOST_TOLD)] = ()


class DrainCordon(Command, frozen=True, tag="drain_cordon"):
    """A leader's own: for a drain that is late, gangs that end before this may start meanwhile."""

    drain: Name
    cordon_ms: Millis


class DrainGivenUp(Command, frozen=True, tag="drain_given_up"):
    drain: Name
    moved: Index  # the progress that it was given up for


# ---- what clients ask


def drain(draft, command):
    name, nodes, deadline = command.drain, command.nodes, command.deadline_ms
    capacity.check_distinct(nodes)
    for node in nodes:
        capacity.known_node(draft, node)
    feasibility.refuse(draft, nodes, deadline, draft.wall_ms)
    before = draft.get("drains", name)
    runs = before is not None and before.phase == RUNNING
    if not runs and sum(one.phase == RUNNING for one in draft.part("drains").values()) >= MOST_RUNNING:
        raise TooManyDrains(f"{MOST_RUNNING} drains run")
    old = {node for node in (before.nodes if runs else ()) if name in draft.part("wants").get(node, ())}
    was = set(before.nodes) if runs else set()
    for node in sorted(old - set(nodes)):
        unwant(draft, name, node)
    left = [node for node in nodes if node in old or node not in was]
    since = before.since if runs else draft.index
    draft.put("drains", name, Drain(nodes, deadline, since))
    cordon = compute_cordon_ms(draft, left, deadline)
    draft.put("progress", name, Progress(len(left), draft.moment, cordon))
    for node in left:
        if node not in old:
            want(draft, name, node)
    cordon_nodes(draft, sorted(old.union(left)))
    ended(draft, name)


def drain_stop(draft, command):
    before = draft.get("drains", command.drain)
    if before is None or before.phase != RUNNING:
        raise NoSuchDrain(f"no drain {command.drain} runs")
    close(draft, command.drain, before, STOPPED)


# ---- what a leader proposes


def permit(draft, command):
    nodes, wants, permits = draft.part("nodes"), draft.part("wants"), draft.part("permits")
    capacity.check_distinct(command.nodes)
    for name in command.nodes:
        if name not in nodes or name not in wants:
            raise GroundGone(f"no drain wants node {name}")
        if name in permits and permits[name].phase != RECALLED:
            raise GroundGone(f"node {name} has a permit")
    asked = [name for name in command.nodes if capacity.up(nodes[name]) or nodes[name].out]
    for fault in constraints.objections(draft, draft.moment, asked):
        raise GroundGone(fault.says)
    for name in command.nodes:
        serves = draft.part("wants")[name]
        lead = min(serves, key=lambda one: draft.get("drains", one).since)
        down = nodes[name].state in (DRAINED, FAILED)
        phase = DOWN if down else GIVEN
        draft.put(
            "permits", name, Permit(lead, serves, draft.term, draft.index, phase, draft.index, draft.moment)
        )
        if not down:
            change_node(draft, name, out=lead)


def permit_clear(draft, command):
    for name in command.nodes:
        held = draft.get("permits", name)
        if held is None or held.index != command.index or held.phase != GIVEN:
            raise GroundGone(f"node {name} has no such permit")
        move(draft, name, held, CLEAR)


def permit_back(draft, command):
    for name in command.nodes:
        held = draft.get("permits", name)
        if held is None or held.phase not in (GIVEN, CLEAR):
            raise GroundGone(f"node {name} has no permit to take back")
        take_back(draft, name, held)


def drain_told(draft, command):
    before = draft.get("progress", command.drain)
    if before is None or draft.get("drains", command.drain).phase != RUNNING:
        raise GroundGone(f"no drain {command.drain} runs")
    after = replace(before, waves=command.waves, next=command.next, stuck=command.stuck)
    draft.put("progress", command.drain, after)


def drain_cordon(draft, command):
    before = draft.get("drains", command.drain)
    if before is None or before.phase != RUNNING:
        raise GroundGone(f"no drain {command.drain} runs")
    progress = draft.get("progress", command.drain)
    draft.put("progress", command.drain, replace(progress, cordon_ms=command.cordon_ms))
    cordon_nodes(draft, before.nodes)


def drain_given_up(draft, command):
    before, progress = draft.get("drains", command.drain), draft.get("progress", command.drain)
    if before is None or before.phase != RUNNING or progress.moved != command.moved:
        raise GroundGone(f"drain {command.drain} went on")
    close(draft, command.drain, before, GIVEN_UP)
    last = GivenUp(f"drain {command.drain} ended with {progress.left} nodes left")
    stuck = (*progress.stuck[: MOST_TOLD - 1], stuck_by(last))
    draft.put("progress", command.drain, replace(progress, waves=0, next=(), stuck=stuck))


def report(draft, command):
    """A node's word, and its permit moves on with it."""
    capacity.report(draft, command)
    held = draft.get("permits", command.node)
    if held is None:
        return
    if command.state in (DRAINED, FAILED):
        if held.phase != DOWN:
            move(draft, command.node, held, DOWN)
    elif command.state == CATCHING_UP:
        if held.phase == DOWN:
            move(draft, command.node, held, RETURNING)
    elif held.phase in (DOWN, RETURNING):
        back(draft, command.node, held)
    elif held.phase == RECALLED and unacted(draft, command, held):
        go(draft, command.node)


def unacted(draft, command, held):
    """Whether a node that serves can no longer act on a permit taken back: it has seen that, or what it
    knew of it is older than any lease."""
    ran_out = held.moment + draft.settings.lease + draft.settings.grace
    return command.seen >= held.at or draft.moment >= ran_out


# ---- parts of these


def want(draft, drain, node):
    draft.put("wants", node, draft.part("wants").get(node, ()) + (drain,))
    held = draft.get("permits", node)
    if held is not None and held.phase in (GIVEN, CLEAR):  # it has yet to go down: once will do for both
        draft.put("permits", node, replace(held, serves=held.serves + (drain,)))


def unwant(draft, drain, node):
    """A drain wants this node no more; a permit that served it alone is taken back."""
    rest = tuple(one for one in draft.part("wants").get(node, ()) if one != drain)
    if rest:
        draft.put("wants", node, rest)
    else:
        draft.drop("wants", node)
    held = draft.get("permits", node)
    if held is not None and drain in held.serves:
        serves = tuple(one for one in held.serves if one != drain)
        if serves and held.drain == drain:
            held = replace(held, drain=serves[0])
            if draft.get("nodes", node).out:
                change_node(draft, node, out=serves[0])
        held = replace(held, serves=serves)
        draft.put("permits", node, held)
        if not serves and held.phase in (GIVEN, CLEAR):
            take_back(draft, node, held)


def close(draft, name, before, phase):
    """A drain ends; what it still wants is let go."""
    for node in before.nodes:
        if name in draft.part("wants").get(node, ()):
            unwant(draft, name, node)
    draft.put("drains", name, replace(before, phase=phase))
    cordon_nodes(draft, before.nodes)
    trim(draft)


def ended(draft, name):
    """A drain with nothing left is done."""
    if draft.get("progress", name).left == 0:
        draft.put("drains", name, replace(draft.get("drains", name), phase=DONE))
        draft.put("progress", name, replace(draft.get("progress", name), waves=0, next=(), stuck=()))
        trim(draft)


def trim(draft):
    over = sorted((one.since, name) for name, one in draft.part("drains").items() if one.phase != RUNNING)
    for _, name in over[:-MOST_ENDED]:
        draft.drop("drains", name)
        draft.drop("progress", name)


def move(draft, name, held, phase):
    draft.put("permits", name, replace(held, phase=phase, at=draft.index, moment=draft.moment))


def take_back(draft, name, held):
    if held.phase == GIVEN:
        go(draft, name)
    else:
        move(draft, name, held, RECALLED)


def go(draft, name):
    """The permit is no more and its node is back."""
    draft.drop("permits", name)
    if draft.get("nodes", name).out:
        change_node(draft, name, out="")


def back(draft, name, held):
    """A node that was away serves again, cold; it is done for the drains that its time away served."""
    if draft.get("nodes", name).out:
        change_node(draft, name, warm=draft.moment + draft.settings.cold)
    go(draft, name)
    for one in held.serves:
        if one in draft.part("wants").get(name, ()):
            unwant(draft, one, name)
            progress = draft.get("progress", one)
            draft.put("progress", one, replace(progress, left=progress.left - 1, moved=draft.moment))
            ended(draft, one)
    cordon_nodes(draft, (name,))


def compute_cordon_ms(draft, nodes, deadline_ms):
    """The latest wall moment at which these may still be held: what waves are needed at least, by what
    their groups and sites let go at once, have to fit in before the deadline."""
    if not deadline_ms:
        return draft.wall_ms
    rows, loads, groups, sites, sizes = draft.part("groups"), draft.part("loads"), {}, {}, {}
    for node in draft.part("nodes").values():
        sizes[node.site] = sizes.get(node.site, 0) + 1
    for name in nodes:
        site = draft.get("nodes", name).site
        sites[site] = sites.get(site, 0) + 1
        for group in loads.get(name, constraints.NO_LOAD).groups:
            groups[group] = groups.get(group, 0) + 1
    waves = 1
    for name, count in groups.items():
        waves = max(waves, -(-count // max(1, len(rows[name].nodes) - rows[name].quorum)))
    for site, count in sites.items():
        waves = max(waves, -(-count // max(1, int(draft.settings.site_share * sizes[site]))))
    return max(draft.wall_ms, deadline_ms - waves * WAVE_MS)


def cordon_nodes(draft, names):
    """Each is to be free by the earliest moment of the drains that want it."""
    wants, progress, nodes = draft.part("wants"), draft.part("progress"), draft.part("nodes")
    for name in names:
        if name not in nodes:
            continue
        cordon = min((max(1, progress[one].cordon_ms) for one in wants.get(name, ())), default=0)
        if nodes[name].cordon_ms != cordon:
            draft.put("nodes", name, replace(nodes[name], cordon_ms=cordon))


def describe_drains(state):
    """The part `drains` as it is asked for: each with its plan, and its permits by node."""
    permits = {}
    for node, held in sorted(state.part("permits").items()):
        for one in held.serves:
            permits.setdefault(one, {})[node] = held
    found = {}
    for name, one in sorted(state.part("drains").items()):
        told = state.part("progress")[name]
        found[name] = {
            "nodes": one.nodes,
            "deadline_ms": one.deadline_ms,
            "phase": one.phase,
            "since": one.since,
            "left": told.left,
            "cordon_ms": told.cordon_ms,
            "plan": {"waves": told.waves, "next": told.next},
            "stuck": told.stuck,
            "permits": permits.get(name, {}),
        }
    return found


RULES = {
    DrainCommand: drain,
    DrainStop: drain_stop,
    PermitCommand: permit,
    PermitClear: permit_clear,
    PermitRevoke: permit_back,
    DrainPlanReport: drain_told,
    DrainCordon: drain_cordon,
    DrainGivenUp: drain_given_up,
    Report: report,  # in place of capacity's: give these rules after those
}
INNER = (PermitCommand, PermitClear, PermitRevoke, DrainPlanReport, DrainCordon, DrainGivenUp)
__all__ = ["INNER", "KINDS", "RULES", "describe_drains"]
