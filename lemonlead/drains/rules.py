"""The ledger commands and records of drains, and the rules that apply them.

The invariants are checked when an entry is applied: a permit that was planned on an older state is refused
if it no longer holds.

The phases of a permit:

- `given`: the gateways are to stop sending to the node.
- `clear`: each gateway has acknowledged that, or its lease and grace have run out. The node may end what it
  holds, report `drained` and go down.
- `down`: the node has reported `drained` or `failed`.
- `returning`: the node has reported `catching_up`. Once it reports `serving` the permit is removed.
- `recalled`: the permit was revoked while it was `clear`. Its node counts as away until it is known that the
  node did not act on the permit, or has come back. A permit revoked while `given` is removed at once."""

from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace

from ..ledger import capacity
from ..ledger.capacity import CATCHING_UP, DRAINED, FAILED, ExistingNames, Millis, Report, change_node
from ..ledger.new_names import ExistingName, Name
from ..ledger.state import Command
from . import constraints, feasibility
from .faults import GivenUp, GroundGone, NoSuchDrain, TooManyDrains

MAX_RUNNING_DRAINS = 100
MAX_ENDED_DRAINS = 100  # ended drains that are remembered; the oldest is forgotten first
MAX_PERMITS = 2000  # nodes in one command
MAX_STUCK = 20  # obstacles that the progress record of a drain lists
MAX_NEXT_NODES = 100  # nodes of the next wave that the progress record of a drain lists
WAVE_MS = 60_000  # expected time of one wave, used to set the cordon early enough before the deadline

GIVEN = "given"
CLEAR = "clear"
DOWN = "down"
RETURNING = "returning"
RECALLED = "recalled"

RUNNING = "running"
DONE = "done"
STOPPED = "stopped"
GIVEN_UP = "given up"

Index = Annotated[int, Meta(ge=0)]
PermitNodes = Annotated[tuple[ExistingName, ...], Meta(min_length=1, max_length=MAX_PERMITS)]


# ---- records


class Drain(Struct, frozen=True):
    """A drain as it was requested, and its phase."""

    nodes: tuple[str, ...]
    deadline_ms: int = 0  # Unix time; 0: no deadline, the drain runs as soon as possible
    since: int = 0  # index of the entry that started it, which gives its age
    phase: str = RUNNING


class Stuck(Struct, frozen=True):
    """An obstacle of a drain, with the same three fields as an error."""

    type: str
    says: str
    do: str


class Progress(Struct, frozen=True):
    """The part of a drain that changes while it runs. `left`: number of nodes not yet done; `moved`: ledger
    time at which a node was last done; `cordon_ms`: Unix time from which no gang may hold its nodes. The
    other fields are the plan that the leader reported."""

    left: int
    moved: int
    cordon_ms: int
    waves: int = 0
    next: tuple[str, ...] = ()
    stuck: tuple[Stuck, ...] = ()


class Permit(Struct, frozen=True):
    """The permit of a node to go down; the key is the node. (`term`, `index`) are those of the entry that
    granted it: a node refuses to obey an older permit than the last one it obeyed. `at` is the index of the
    entry that set this phase, `moment` the ledger time of that entry."""

    drain: str
    serves: tuple[str, ...]  # the drains for which this absence of the node counts
    term: int
    index: int
    phase: str
    at: int
    moment: int


KINDS = {"drains": Drain, "progress": Progress, "wants": tuple[str, ...], "permits": Permit}


def stuck_from(fault):
    return Stuck(type(fault).__name__, fault.says, fault.do)


# ---- commands


class DrainCommand(Command, frozen=True, tag="drain"):
    """Starts a drain, or gives a running one another deadline or other nodes."""

    drain: Name
    nodes: ExistingNames
    deadline_ms: Millis = 0


class DrainStop(Command, frozen=True, tag="drain_stop"):
    drain: ExistingName


class PermitCommand(Command, frozen=True, tag="permit"):
    """Proposed by the leader: all of these nodes may go, or none of them."""

    nodes: PermitNodes


class PermitClear(Command, frozen=True, tag="permit_clear"):
    """Proposed by the leader: no gateway sends to these nodes any more. `index`: the entry that granted their
    permits."""

    nodes: PermitNodes
    index: Index


class PermitRevoke(Command, frozen=True, tag="permit_back"):
    """Proposed by the leader: the permits of these nodes are revoked."""

    nodes: PermitNodes


class DrainPlanReport(Command, frozen=True, tag="drain_told"):
    """Proposed by the leader: the plan of a drain and its obstacles, for operators to read."""

    drain: Name
    waves: Index
    next: Annotated[tuple[Name, ...], Meta(max_length=MAX_NEXT_NODES)] = ()
    stuck: Annotated[tuple[Stuck, ...], Meta(max_length=MAX_STUCK)] = ()


class DrainCordon(Command, frozen=True, tag="drain_cordon"):
    """Proposed by the leader for a late drain: gangs that end before `cordon_ms` may start on its nodes."""

    drain: Name
    cordon_ms: Millis


class DrainGivenUp(Command, frozen=True, tag="drain_given_up"):
    """Proposed by the leader for a drain that has made no progress for too long."""

    drain: Name
    moved: Index  # `Progress.moved` when the leader decided; the command is refused if it has changed


# ---- rules of the commands that clients send


def start_drain(transaction, command):
    name = command.drain
    nodes = command.nodes
    deadline = command.deadline_ms
    capacity.check_distinct(nodes)
    for node in nodes:
        capacity.known_node(transaction, node)
    feasibility.check_feasible(transaction, nodes, deadline, transaction.wall_ms)
    before = transaction.get("drains", name)
    runs = before is not None and before.phase == RUNNING
    if (
        not runs
        and sum(drain.phase == RUNNING for drain in transaction.part("drains").values()) >= MAX_RUNNING_DRAINS
    ):
        raise TooManyDrains(f"{MAX_RUNNING_DRAINS} drains run")
    wanted_before = {
        node for node in (before.nodes if runs else ()) if name in transaction.part("wants").get(node, ())
    }
    listed_before = set(before.nodes) if runs else set()
    for node in sorted(wanted_before - set(nodes)):
        remove_want(transaction, name, node)
    left = [node for node in nodes if node in wanted_before or node not in listed_before]
    since = before.since if runs else transaction.index
    transaction.put("drains", name, Drain(nodes, deadline, since))
    cordon = compute_cordon_ms(transaction, left, deadline)
    transaction.put("progress", name, Progress(len(left), transaction.moment, cordon))
    for node in left:
        if node not in wanted_before:
            add_want(transaction, name, node)
    update_node_cordons(transaction, sorted(wanted_before.union(left)))
    finish_if_done(transaction, name)


def stop_drain(transaction, command):
    before = transaction.get("drains", command.drain)
    if before is None or before.phase != RUNNING:
        raise NoSuchDrain(f"no drain {command.drain} runs")
    close_drain(transaction, command.drain, before, STOPPED)


# ---- rules of the commands that a leader proposes


def grant_permits(transaction, command):
    nodes, wants, permits = transaction.part("nodes"), transaction.part("wants"), transaction.part("permits")
    capacity.check_distinct(command.nodes)
    for name in command.nodes:
        if name not in nodes or name not in wants:
            raise GroundGone(f"no drain wants node {name}")
        if name in permits and permits[name].phase != RECALLED:
            raise GroundGone(f"node {name} has a permit")
    going = [name for name in command.nodes if capacity.up(nodes[name]) or nodes[name].out]
    for fault in constraints.find_violations(transaction, transaction.moment, going):
        raise GroundGone(fault.says)
    for name in command.nodes:
        serves = transaction.part("wants")[name]
        oldest = min(serves, key=lambda drain: transaction.get("drains", drain).since)
        down = nodes[name].state in (DRAINED, FAILED)
        phase = DOWN if down else GIVEN
        transaction.put(
            "permits",
            name,
            Permit(
                oldest,
                serves,
                transaction.term,
                transaction.index,
                phase,
                transaction.index,
                transaction.moment,
            ),
        )
        if not down:
            change_node(transaction, name, out=oldest)


def clear_permits(transaction, command):
    for name in command.nodes:
        permit = transaction.get("permits", name)
        if permit is None or permit.index != command.index or permit.phase != GIVEN:
            raise GroundGone(f"node {name} has no such permit")
        set_permit_phase(transaction, name, permit, CLEAR)


def revoke_permits(transaction, command):
    for name in command.nodes:
        permit = transaction.get("permits", name)
        if permit is None or permit.phase not in (GIVEN, CLEAR):
            raise GroundGone(f"node {name} has no permit to take back")
        revoke_permit(transaction, name, permit)


def record_plan(transaction, command):
    before = transaction.get("progress", command.drain)
    if before is None or transaction.get("drains", command.drain).phase != RUNNING:
        raise GroundGone(f"no drain {command.drain} runs")
    after = replace(before, waves=command.waves, next=command.next, stuck=command.stuck)
    transaction.put("progress", command.drain, after)


def set_cordon(transaction, command):
    before = transaction.get("drains", command.drain)
    if before is None or before.phase != RUNNING:
        raise GroundGone(f"no drain {command.drain} runs")
    progress = transaction.get("progress", command.drain)
    transaction.put("progress", command.drain, replace(progress, cordon_ms=command.cordon_ms))
    update_node_cordons(transaction, before.nodes)


def give_up_drain(transaction, command):
    before, progress = transaction.get("drains", command.drain), transaction.get("progress", command.drain)
    if before is None or before.phase != RUNNING or progress.moved != command.moved:
        raise GroundGone(f"drain {command.drain} went on")
    close_drain(transaction, command.drain, before, GIVEN_UP)
    last = GivenUp(f"drain {command.drain} ended with {progress.left} nodes left")
    stuck = (*progress.stuck[: MAX_STUCK - 1], stuck_from(last))
    transaction.put("progress", command.drain, replace(progress, waves=0, next=(), stuck=stuck))


def apply_report(transaction, command):
    """Applies the report of a node, and moves its permit to the phase that follows from it."""
    capacity.report(transaction, command)
    permit = transaction.get("permits", command.node)
    if permit is None:
        return
    if command.state in (DRAINED, FAILED):
        if permit.phase != DOWN:
            set_permit_phase(transaction, command.node, permit, DOWN)
    elif command.state == CATCHING_UP:
        if permit.phase == DOWN:
            set_permit_phase(transaction, command.node, permit, RETURNING)
    elif permit.phase in (DOWN, RETURNING):
        complete_permit(transaction, command.node, permit)
    elif permit.phase == RECALLED and cannot_act(transaction, command, permit):
        remove_permit(transaction, command.node)


def cannot_act(transaction, command, permit):
    """Whether a serving node can no longer act on a recalled permit: it has seen the recall, or what it knew
    of the permit is older than any lease."""
    expires = permit.moment + transaction.settings.lease + transaction.settings.grace
    return command.seen >= permit.at or transaction.moment >= expires


# ---- steps that the rules share


def add_want(transaction, drain, node):
    """Records that this drain wants the node."""
    transaction.put("wants", node, transaction.part("wants").get(node, ()) + (drain,))
    permit = transaction.get("permits", node)
    # The node has not gone down yet, so its one absence counts for this drain as well.
    if permit is not None and permit.phase in (GIVEN, CLEAR):
        transaction.put("permits", node, replace(permit, serves=permit.serves + (drain,)))


def remove_want(transaction, drain, node):
    """Records that this drain no longer wants the node. A permit that served only this drain is revoked."""
    rest = tuple(other for other in transaction.part("wants").get(node, ()) if other != drain)
    if rest:
        transaction.put("wants", node, rest)
    else:
        transaction.drop("wants", node)
    permit = transaction.get("permits", node)
    if permit is not None and drain in permit.serves:
        serves = tuple(other for other in permit.serves if other != drain)
        if serves and permit.drain == drain:
            permit = replace(permit, drain=serves[0])
            if transaction.get("nodes", node).out:
                change_node(transaction, node, out=serves[0])
        permit = replace(permit, serves=serves)
        transaction.put("permits", node, permit)
        if not serves and permit.phase in (GIVEN, CLEAR):
            revoke_permit(transaction, node, permit)


def close_drain(transaction, name, before, phase):
    """Ends a drain in this phase and releases the nodes that it still wants."""
    for node in before.nodes:
        if name in transaction.part("wants").get(node, ()):
            remove_want(transaction, name, node)
    transaction.put("drains", name, replace(before, phase=phase))
    update_node_cordons(transaction, before.nodes)
    forget_old_drains(transaction)


def finish_if_done(transaction, name):
    """Ends a drain that has no nodes left."""
    if transaction.get("progress", name).left == 0:
        transaction.put("drains", name, replace(transaction.get("drains", name), phase=DONE))
        transaction.put(
            "progress", name, replace(transaction.get("progress", name), waves=0, next=(), stuck=())
        )
        forget_old_drains(transaction)


def forget_old_drains(transaction):
    ended = sorted(
        (drain.since, name) for name, drain in transaction.part("drains").items() if drain.phase != RUNNING
    )
    for _, name in ended[:-MAX_ENDED_DRAINS]:
        transaction.drop("drains", name)
        transaction.drop("progress", name)


def set_permit_phase(transaction, name, permit, phase):
    transaction.put(
        "permits", name, replace(permit, phase=phase, at=transaction.index, moment=transaction.moment)
    )


def revoke_permit(transaction, name, permit):
    if permit.phase == GIVEN:
        remove_permit(transaction, name)
    else:
        set_permit_phase(transaction, name, permit, RECALLED)


def remove_permit(transaction, name):
    """Removes the permit; its node counts as present again."""
    transaction.drop("permits", name)
    if transaction.get("nodes", name).out:
        change_node(transaction, name, out="")


def complete_permit(transaction, name, permit):
    """A node that was away serves again, cold. It is done for the drains that its absence served."""
    if transaction.get("nodes", name).out:
        change_node(transaction, name, warm=transaction.moment + transaction.settings.cold)
    remove_permit(transaction, name)
    for drain in permit.serves:
        if drain in transaction.part("wants").get(name, ()):
            remove_want(transaction, drain, name)
            progress = transaction.get("progress", drain)
            transaction.put(
                "progress", drain, replace(progress, left=progress.left - 1, moved=transaction.moment)
            )
            finish_if_done(transaction, drain)
    update_node_cordons(transaction, (name,))


def compute_cordon_ms(transaction, nodes, deadline_ms):
    """Returns the latest Unix time, in milliseconds, until which gangs may hold these nodes. From then on the
    waves that are needed at least, by how many nodes their groups and sites can spare at once, still fit in
    before the deadline."""
    if not deadline_ms:
        return transaction.wall_ms
    groups, loads, drained_by_group, drained_by_site, site_sizes = (
        transaction.part("groups"),
        transaction.part("loads"),
        {},
        {},
        {},
    )
    for node in transaction.part("nodes").values():
        site_sizes[node.site] = site_sizes.get(node.site, 0) + 1
    for name in nodes:
        site = transaction.get("nodes", name).site
        drained_by_site[site] = drained_by_site.get(site, 0) + 1
        for group in loads.get(name, constraints.NO_LOAD).groups:
            drained_by_group[group] = drained_by_group.get(group, 0) + 1
    waves = 1
    for name, count in drained_by_group.items():
        waves = max(waves, -(-count // max(1, len(groups[name].nodes) - groups[name].quorum)))
    for site, count in drained_by_site.items():
        waves = max(waves, -(-count // max(1, int(transaction.settings.site_share * site_sizes[site]))))
    return max(transaction.wall_ms, deadline_ms - waves * WAVE_MS)


def update_node_cordons(transaction, names):
    """Sets the cordon of each node to the earliest cordon of the drains that want it."""
    wants, progress, nodes = (
        transaction.part("wants"),
        transaction.part("progress"),
        transaction.part("nodes"),
    )
    for name in names:
        if name not in nodes:
            continue
        cordon = min((max(1, progress[drain].cordon_ms) for drain in wants.get(name, ())), default=0)
        if nodes[name].cordon_ms != cordon:
            transaction.put("nodes", name, replace(nodes[name], cordon_ms=cordon))


def describe_drains(state):
    """Returns the part `drains` in the form in which it is read: each drain with its plan, and with its
    permits by node."""
    permits = {}
    for node, permit in sorted(state.part("permits").items()):
        for drain in permit.serves:
            permits.setdefault(drain, {})[node] = permit
    found = {}
    for name, drain in sorted(state.part("drains").items()):
        progress = state.part("progress")[name]
        found[name] = {
            "nodes": drain.nodes,
            "deadline_ms": drain.deadline_ms,
            "phase": drain.phase,
            "since": drain.since,
            "left": progress.left,
            "cordon_ms": progress.cordon_ms,
            "plan": {"waves": progress.waves, "next": progress.next},
            "stuck": progress.stuck,
            "permits": permits.get(name, {}),
        }
    return found


RULES = {
    DrainCommand: start_drain,
    DrainStop: stop_drain,
    PermitCommand: grant_permits,
    PermitClear: clear_permits,
    PermitRevoke: revoke_permits,
    DrainPlanReport: record_plan,
    DrainCordon: set_cordon,
    DrainGivenUp: give_up_drain,
    Report: apply_report,  # replaces the rule of `capacity`, so these rules have to be added after those
}
INNER = (PermitCommand, PermitClear, PermitRevoke, DrainPlanReport, DrainCordon, DrainGivenUp)
__all__ = ["INNER", "KINDS", "RULES", "describe_drains"]
