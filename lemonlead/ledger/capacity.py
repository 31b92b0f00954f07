"""What there is and what is promised of it: nodes, reservations, gangs, groups, reports.

Sums by site and by node are kept as the records change, so that a command costs the same at any size. An
invariant holds after each command that promises: what a site's nodes that are up can bear is no less than
what is promised there. A node that fails may break it; nothing is promised then until it holds again."""

from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace

from . import services
from .faults import BeingMoved, Refused, Senseless
from .state import Command

Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9][A-Za-z0-9_.:/-]*$")]
Units = Annotated[int, Meta(ge=0, le=10**9)]
Millis = Annotated[int, Meta(ge=0, le=10**14)]
Names = Annotated[tuple[Name, ...], Meta(min_length=1, max_length=20_000)]
MAX_RECORDS_PER_PART = 200_000  # records of one part; past it a command that makes one more is refused

COLD_STEPS = 4  # of the cold time: what a site's cold nodes do not bear is kept by these

SERVING, CATCHING_UP, DRAINED, FAILED = "serving", "catching_up", "drained", "failed"


# ---- records


class Node(Struct, frozen=True):
    site: str
    units: int
    state: str = SERVING
    since: int = 0  # index of the entry that made it so
    warm: int = 0  # ledger moment at which it bears all its units, not the cold share
    out: str = ""  # the drain whose permit has it out: nothing is promised on it
    cordon_ms: int = 0  # from this wall moment on it is to be free (a drain's deadline); 0: no drain wants it


class Reservation(Struct, frozen=True):
    """Either `units` on each of `nodes`, or `units` in all anywhere in `site`."""

    service: str
    units: int
    nodes: tuple[str, ...] = ()
    site: str = ""
    move: str = ""  # the move that holds it: it alone may end it


class Gang(Struct, frozen=True):
    """`units` on each of its nodes. It runs until `gang_end`; `ends_ms` is when that is awaited, 0 where
    unknown."""

    nodes: tuple[str, ...]
    units: int
    ends_ms: int = 0


class Group(Struct, frozen=True):
    nodes: tuple[str, ...]
    quorum: int


class Site(Struct, frozen=True):
    """Sums over its nodes that are up."""

    units: int = 0
    pinned: int = 0  # reservations by node, and gangs; also those of nodes that a drain has out
    promised: int = 0  # reservations by site


class Away(Struct, frozen=True, omit_defaults=True):
    """Of a site: how many nodes drains have out, and what those that came back of late do not bear yet:
    (ledger moment, units that are borne from then on), a few at most. Never too little."""

    out: int = 0
    cold: tuple[tuple[int, int], ...] = ()


class Load(Struct, frozen=True):
    """What holds a node: units promised, and the gangs and groups that name it."""

    units: int = 0
    gangs: tuple[str, ...] = ()
    groups: tuple[str, ...] = ()
    reservations: int = 0


KINDS = {
    "nodes": Node,
    "reservations": Reservation,
    "gangs": Gang,
    "groups": Group,
    "sites": Site,
    "loads": Load,
    "away": Away,
    **services.KINDS,
}


# ---- what others ask


def up(node):
    """Whether promises may count on it."""
    return node.state in (SERVING, CATCHING_UP) and not node.out


def usable_units(node, moment, settings):
    """Units that it bears at this ledger moment: a cold one its share."""
    if not up(node):
        return 0
    return int(node.units * settings.cold_share) if node.warm > moment else node.units


def site_free(draft, site):
    """Units that may still be promised there. While a drain has a node of the site out, cold nodes count by
    their share: what its permit was given on is not promised away."""
    sums = draft.get("sites", site) or Site()
    away = draft.get("away", site)
    missing = not_borne(draft, site) if away and away.out else 0
    return sums.units - sums.pinned - sums.promised - missing


def not_borne(draft, site):
    """Units that its cold nodes do not bear now, or a little more."""
    away = draft.get("away", site) or Away()
    return sum(units for until, units in away.cold if until > draft.moment)


def node_free(draft, name):
    node, load = draft.get("nodes", name), draft.get("loads", name) or Load()
    return (node.units if up(node) else 0) - load.units


def change_node(draft, name, **fields):
    """The node with these fields, and its site's sums with it."""
    node = draft.get("nodes", name)
    after = replace(node, **fields)
    load = draft.get("loads", name) or Load()
    count(draft, node, load, -1)
    count(draft, after, load, 1)
    draft.put("nodes", name, after)
    note_away(draft, node, after)
    return after


def note_away(draft, before, after):
    """What follows for its site from a node that goes out, or is back and cold; told to nobody."""
    away, more = draft.get("away", after.site) or Away(), 0
    if after.warm > draft.moment:
        more = lacks(draft, after) - (lacks(draft, before) if before.warm == after.warm else 0)
    out, cold = away.out + bool(after.out) - bool(before.out), away.cold
    if more > 0:
        step = max(1, draft.settings.cold // COLD_STEPS)
        sums = {until: units for until, units in cold if until > draft.moment}
        until = -(-after.warm // step) * step
        sums[until] = sums.get(until, 0) + more
        cold = tuple(sorted(sums.items()))
    if (out, cold) == (away.out, away.cold):
        return
    if out or cold:
        draft.put("away", after.site, Away(out, cold), notify=False)
    else:
        draft.drop("away", after.site, notify=False)


def lacks(draft, node):
    return node.units - int(node.units * draft.settings.cold_share)


def count(draft, node, load, sign):
    counts = up(node)
    if counts or (node.out and node.state != FAILED):  # what a drained node holds, others are to bear
        sums = draft.get("sites", node.site) or Site()
        units = sums.units + sign * node.units if counts else sums.units
        draft.put("sites", node.site, replace(sums, units=units, pinned=sums.pinned + sign * load.units))


def change_load(draft, name, units, **fields):
    """`units` more (or fewer) held on this node; `fields` of its Load with it."""
    node, load = draft.get("nodes", name), draft.get("loads", name) or Load()
    after = replace(load, units=load.units + units, **fields)
    count(draft, node, load, -1)
    count(draft, node, after, 1)
    if after == Load():
        draft.drop("loads", name)
    else:
        draft.put("loads", name, after)


def promise(draft, site, units):
    sums = draft.get("sites", site) or Site()
    draft.put("sites", site, replace(sums, promised=sums.promised + units))


def check_part_size(draft, part, key, most=MAX_RECORDS_PER_PART):
    """Refuses one record more than a part may hold."""
    if key not in draft.part(part) and len(draft.part(part)) >= most:
        raise Refused(f"{part} holds {most} already", "end what is no longer needed")


def known_node(draft, name):
    node = draft.get("nodes", name)
    if node is None:
        raise Refused(f"no node {name}", "declare it with kind node")
    return node


def check_distinct(nodes):
    if len(set(nodes)) != len(nodes):
        raise Senseless("a node is named twice")


# ---- commands


class NodeCommand(Command, frozen=True, tag="node"):
    node: Name
    site: Name
    units: Units


class Reserve(Command, frozen=True, tag="reserve"):
    reservation: Name
    service: Name
    units: Units
    nodes: Names | None = None
    site: Name | None = None


class Free(Command, frozen=True, tag="free"):
    reservation: Name


class GangCommand(Command, frozen=True, tag="gang"):
    gang: Name
    nodes: Names
    units: Units
    ends_ms: Millis = 0


class GangEnd(Command, frozen=True, tag="gang_end"):
    gang: Name


class GroupCommand(Command, frozen=True, tag="group"):
    group: Name
    nodes: Names
    quorum: Annotated[int, Meta(ge=1, le=20_000)]


class Report(Command, frozen=True, tag="report"):
    node: Name
    state: Annotated[str, Meta(pattern="^(serving|catching_up|drained|failed)$")]
    seen: Annotated[int, Meta(ge=0)] = 0  # the node has obeyed all up to this entry; 0: it does not say


def node(draft, command):
    """Declares a node, serving and warm; or changes its units, not below what is promised on it and its
    site."""
    check_part_size(draft, "nodes", command.node)
    before = draft.get("nodes", command.node)
    if before is None:
        made = Node(command.site, command.units, SERVING, draft.index)
        draft.put("nodes", command.node, made)
        count(draft, made, Load(), 1)
        return
    if before.site != command.site:
        raise Refused(f"node {command.node} is at site {before.site}", "declare it under another name")
    load = draft.get("loads", command.node) or Load()
    if command.units < load.units:
        raise Refused(
            f"{load.units} units are promised on node {command.node}", "free some, or end its gangs"
        )
    if up(before) and site_free(draft, before.site) < before.units - command.units:
        raise Refused(f"site {before.site} has {site_free(draft, before.site)} units free", "free some there")
    change_node(draft, command.node, units=command.units)


def reserve(draft, command):
    reservation, units = command.reservation, command.units
    if (command.nodes is None) == (command.site is None):
        raise Senseless("either nodes or site is wanted")
    if draft.get("reservations", reservation) is not None:
        raise Refused(f"reservation {reservation} stands already", "free it first, or take another name")
    check_part_size(draft, "reservations", reservation)
    if command.site is not None:
        take_site(draft, command.site, units)
    else:
        check_distinct(command.nodes)
        take_nodes(draft, command.nodes, units)
        for name in command.nodes:
            load = draft.get("loads", name)
            change_load(draft, name, 0, reservations=(load.reservations if load else 0) + 1)
    add_reservation(
        draft, reservation, Reservation(command.service, units, command.nodes or (), command.site or "")
    )


def add_reservation(draft, name, held):
    """A new reservation, whose units were taken."""
    draft.put("reservations", name, held)
    services.add(draft, "reservations", name, (held.service,))


def take_site(draft, site, units):
    """Promises units at a site, or refuses."""
    if (free := site_free(draft, site)) < units:
        raise Refused(
            f"site {site} has {max(free, 0)} units free, {units} are asked", "ask fewer, or add nodes there"
        )
    promise(draft, site, units)


def take_nodes(draft, nodes, units):
    """Promises units on each of these nodes, or refuses."""
    for name in nodes:
        site = known_node(draft, name).site
        free = min(node_free(draft, name), site_free(draft, site))
        if free < units:
            raise Refused(
                f"node {name} at {site} has {max(free, 0)} units free, {units} are asked",
                "ask fewer, or name other nodes",
            )
        change_load(draft, name, units)


def free(draft, command):
    held = draft.get("reservations", command.reservation)
    if held is None:
        raise Refused(f"no reservation {command.reservation}", "nothing is left to do")
    if held.move:
        raise Refused(
            f"reservation {command.reservation} is held by move {held.move}", "stop that move first"
        )
    remove_reservation(draft, command.reservation, held)


def remove_reservation(draft, name, held):
    """Ends a reservation that stands."""
    for one in held.nodes:
        load = draft.get("loads", one)
        change_load(draft, one, -held.units, reservations=load.reservations - 1)
    if held.site:
        promise(draft, held.site, -held.units)
    draft.drop("reservations", name)
    services.remove(draft, "reservations", name, (held.service,))


def gang(draft, command):
    """A gang starts: all its nodes serve, none is to go before it ends."""
    if draft.get("gangs", command.gang) is not None:
        raise Refused(f"gang {command.gang} runs already", "end it first, or take another name")
    for service in services.services_of_name(command.gang):
        if move := services.service_row(draft, service).closed:
            raise BeingMoved(f"move {move} of service {service} waits until no gang of it runs")
    check_part_size(draft, "gangs", command.gang)
    check_distinct(command.nodes)
    for name in command.nodes:
        on = known_node(draft, name)
        if on.state != SERVING or on.out:
            raise Refused(
                f"node {name} is {on.state if not on.out else 'out for drain ' + on.out}", "name other nodes"
            )
        if on.cordon_ms and not draft.wall_ms < command.ends_ms <= on.cordon_ms:
            raise Refused(
                f"node {name} is to go for a drain by {on.cordon_ms}",
                "name other nodes, an end before that, or stop the drain",
            )
    take_nodes(draft, command.nodes, command.units)
    for name in command.nodes:
        load = draft.get("loads", name)
        change_load(draft, name, 0, gangs=((load.gangs if load else ()) + (command.gang,)))
    draft.put("gangs", command.gang, Gang(command.nodes, command.units, command.ends_ms))
    services.add(draft, "gangs", command.gang, services.services_of_name(command.gang))


def gang_end(draft, command):
    ended = draft.get("gangs", command.gang)
    if ended is None:
        raise Refused(f"no gang {command.gang}", "nothing is left to do")
    for name in ended.nodes:
        gangs = tuple(one for one in draft.get("loads", name).gangs if one != command.gang)
        change_load(draft, name, -ended.units, gangs=gangs)
    draft.drop("gangs", command.gang)
    services.remove(draft, "gangs", command.gang, services.services_of_name(command.gang))


def group(draft, command):
    """Declares a group or puts another in its place; not while a move takes the service's groups over
    member by member, which would put its own in place of this one."""
    check_part_size(draft, "groups", command.group)
    check_distinct(command.nodes)
    if command.quorum > len(command.nodes):
        raise Senseless(f"a quorum of {command.quorum} among {len(command.nodes)} nodes")
    for name in command.nodes:
        known_node(draft, name)
    for service in services.services_of_name(command.group):
        if moves := services.service_row(draft, service).moves:
            raise BeingMoved(f"service {service} is under way by move {moves[0]}")
    put_group(draft, command.group, Group(command.nodes, command.quorum))


def put_group(draft, group, after):
    """The group as it is from now on, None where it is no more; moves call this too."""
    before = draft.get("groups", group)
    for name in before.nodes if before else ():
        load = draft.get("loads", name)
        change_load(draft, name, 0, groups=tuple(one for one in load.groups if one != group))
    for name in after.nodes if after else ():
        load = draft.get("loads", name)
        change_load(draft, name, 0, groups=(load.groups if load else ()) + (group,))
    if before is None and after is not None:
        services.add(draft, "groups", group, services.services_of_name(group))
    if before is not None and after is None:
        services.remove(draft, "groups", group, services.services_of_name(group))
    if after is None:
        draft.drop("groups", group)
    else:
        draft.put("groups", group, after)


def count_caught_up(draft, group):
    """How many of a group's replicas serve and are caught up."""
    nodes = draft.part("nodes")
    return sum(nodes[name].state == SERVING and not nodes[name].out for name in group.nodes)


def report(draft, command):
    """What a node is now: a fact, never refused for a known node. One that serves again is cold for a
    while."""
    before = known_node(draft, command.node)
    if before.state == command.state:
        return
    fields = {"state": command.state, "since": draft.index}
    if before.state in (DRAINED, FAILED) and command.state in (SERVING, CATCHING_UP):
        fields["warm"] = draft.moment + draft.settings.cold
    change_node(draft, command.node, **fields)


RULES = {
    NodeCommand: node,
    Reserve: reserve,
    Free: free,
    GangCommand: gang,
    GangEnd: gang_end,
    GroupCommand: group,
    Report: report,
}
