"""Capacity and the promises made of it: nodes, reservations, gangs, groups and node reports.

Sums by site and by node are updated as records change, so the cost of a command does not depend on the
number of records. After each command that makes a promise an invariant holds: the units of a site's nodes
that are up are at least the units promised there. A node that fails may break it; then nothing more is
promised there until it holds again.
"""

from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace

from . import services
from .faults import BeingMoved, Refused, Senseless
from .new_names import ExistingName, Name
from .state import Command

Units = Annotated[int, Meta(ge=0, le=10**9)]
Millis = Annotated[int, Meta(ge=0, le=10**14)]
MAX_NAMED_NODES = 20_000  # in one command
ExistingNames = Annotated[tuple[ExistingName, ...], Meta(min_length=1, max_length=MAX_NAMED_NODES)]
MAX_RECORDS_PER_PART = 200_000  # a command that would create one more is refused

COLD_STEPS = 4  # per cold period: the unavailable units of a site's cold nodes are summed in steps of time

# States of a node.
SERVING = "serving"
CATCHING_UP = "catching_up"
DRAINED = "drained"
FAILED = "failed"


# ---- records


class Node(Struct, frozen=True):
    """A node and its state."""

    site: str
    units: int
    state: str = SERVING
    since: int = 0  # index of the entry that set the state
    warm: int = 0  # ledger time from which all its units can be used, not only the cold share
    out: str = ""  # the drain whose permit takes it out of service; nothing is promised on it then
    cordon_ms: int = 0  # Unix time by which it has to be free (a drain's deadline); 0 if no drain needs it


class Reservation(Struct, frozen=True):
    """Reserves either `units` on each of `nodes`, or `units` in total anywhere in `site`."""

    service: str
    units: int
    nodes: tuple[str, ...] = ()
    site: str = ""
    move: str = ""  # the move that holds it; only that move may end it


class Gang(Struct, frozen=True):
    """Uses `units` on each of its nodes until the command `gang_end`. `ends_ms` is the Unix time at which its
    end is expected, 0 if unknown."""

    nodes: tuple[str, ...]
    units: int
    ends_ms: int = 0


class Group(Struct, frozen=True):
    """A group of replicas, one on each node, of which `quorum` have to be up."""

    nodes: tuple[str, ...]
    quorum: int


class Site(Struct, frozen=True):
    """Sums over the nodes of a site that are up."""

    units: int = 0
    pinned: int = 0  # units of reservations by node and of gangs, also on nodes that a drain has out
    promised: int = 0  # units of reservations by site


class Away(Struct, frozen=True, omit_defaults=True):
    """The capacity of a site that is missing because of drains.

    `out` is the number of nodes that drains have out. `cold` has the units of cold nodes that can't be used
    yet, as (ledger time from which they can be used, units). It has few items, since times are rounded up, so
    it may count units as missing for a little too long, but never too short.
    """

    out: int = 0
    cold: tuple[tuple[int, int], ...] = ()


class Load(Struct, frozen=True):
    """What is promised on a node: units, and the gangs and groups that name it."""

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


# ---- functions that other packages use


def up(node):
    """Whether promises may use the node."""
    return node.state in (SERVING, CATCHING_UP) and not node.out


def usable_units(node, moment, settings):
    """Returns the units that can be used at this ledger time; for a cold node only its share."""
    if not up(node):
        return 0
    return int(node.units * settings.cold_share) if node.warm > moment else node.units


def site_free(transaction, site):
    """Returns the units that may still be promised at the site.

    While a drain has a node of the site out, cold nodes count only with their share. The drain's permit was
    given on that basis, so the rest must not be promised.
    """
    sums = transaction.get("sites", site) or Site()
    away = transaction.get("away", site)
    missing = unavailable_cold_units(transaction, site) if away and away.out else 0
    return sums.units - sums.pinned - sums.promised - missing


def unavailable_cold_units(transaction, site):
    """Returns the units of the site's cold nodes that can't be used now, or slightly more."""
    away = transaction.get("away", site) or Away()
    return sum(units for until, units in away.cold if until > transaction.moment)


def node_free(transaction, name):
    node, load = transaction.get("nodes", name), transaction.get("loads", name) or Load()
    return (node.units if up(node) else 0) - load.units


def change_node(transaction, name, **fields):
    """Sets these fields of the node and updates the sums of its site. Returns the new node."""
    node = transaction.get("nodes", name)
    after = replace(node, **fields)
    load = transaction.get("loads", name) or Load()
    count_in_site(transaction, node, load, -1)
    count_in_site(transaction, after, load, 1)
    transaction.put("nodes", name, after)
    update_away(transaction, node, after)
    return after


def update_away(transaction, before, after):
    """Updates the Away record of a site after a node went out or came back cold. Polls don't report it."""
    away, more = transaction.get("away", after.site) or Away(), 0
    if after.warm > transaction.moment:
        more = cold_deficit(transaction, after) - (
            cold_deficit(transaction, before) if before.warm == after.warm else 0
        )
    out, cold = away.out + bool(after.out) - bool(before.out), away.cold
    if more > 0:
        step = max(1, transaction.settings.cold // COLD_STEPS)
        sums = {until: units for until, units in cold if until > transaction.moment}
        until = -(-after.warm // step) * step
        sums[until] = sums.get(until, 0) + more
        cold = tuple(sorted(sums.items()))
    if (out, cold) == (away.out, away.cold):
        return
    if out or cold:
        transaction.put("away", after.site, Away(out, cold), notify=False)
    else:
        transaction.drop("away", after.site, notify=False)


def cold_deficit(transaction, node):
    """Returns the units that the node lacks while it is cold."""
    return node.units - int(node.units * transaction.settings.cold_share)


def count_in_site(transaction, node, load, sign):
    """Adds a node to the sums of its site (`sign` 1) or removes it (-1).

    The load of a node that a drain has out stays in the sums, because other nodes have to provide for it.
    """
    counts = up(node)
    if counts or (node.out and node.state != FAILED):
        sums = transaction.get("sites", node.site) or Site()
        units = sums.units + sign * node.units if counts else sums.units
        transaction.put(
            "sites", node.site, replace(sums, units=units, pinned=sums.pinned + sign * load.units)
        )


def change_load(transaction, name, units, **fields):
    """Adds `units` (which may be negative) to the load of a node and sets `fields` of its Load."""
    node, load = transaction.get("nodes", name), transaction.get("loads", name) or Load()
    after = replace(load, units=load.units + units, **fields)
    count_in_site(transaction, node, load, -1)
    count_in_site(transaction, node, after, 1)
    if after == Load():
        transaction.drop("loads", name)
    else:
        transaction.put("loads", name, after)


def change_site_promise(transaction, site, units):
    """Adds `units` (which may be negative) to what is promised at a site."""
    sums = transaction.get("sites", site) or Site()
    transaction.put("sites", site, replace(sums, promised=sums.promised + units))


def check_part_size(transaction, part, key, most=MAX_RECORDS_PER_PART):
    """Refuses the command if `key` would be one record more than the part may hold."""
    if key not in transaction.part(part) and len(transaction.part(part)) >= most:
        raise Refused(f"{part} holds {most} already", "end what is no longer needed")


def known_node(transaction, name):
    """Returns the node, or refuses the command if there is none of this name."""
    node = transaction.get("nodes", name)
    if node is None:
        raise Refused(f"no node {name}", "declare it with kind node")
    return node


def check_distinct(nodes):
    """Raises Senseless if a node is named twice."""
    if len(set(nodes)) != len(nodes):
        raise Senseless("a node is named twice")


# ---- commands


class NodeCommand(Command, frozen=True, tag="node"):
    """Declares a node or changes its units."""

    node: Name
    site: Name
    units: Units


class Reserve(Command, frozen=True, tag="reserve"):
    """Reserves units on nodes or at a site."""

    reservation: Name
    service: Name
    units: Units
    nodes: ExistingNames | None = None
    site: Name | None = None


class Free(Command, frozen=True, tag="free"):
    """Ends a reservation."""

    reservation: ExistingName


class GangCommand(Command, frozen=True, tag="gang"):
    """Starts a gang."""

    gang: Name
    nodes: ExistingNames
    units: Units
    ends_ms: Millis = 0


class GangEnd(Command, frozen=True, tag="gang_end"):
    """Ends a gang."""

    gang: ExistingName


class GroupCommand(Command, frozen=True, tag="group"):
    """Declares or replaces a group."""

    group: Name
    nodes: ExistingNames
    quorum: Annotated[int, Meta(ge=1, le=MAX_NAMED_NODES)]


class Report(Command, frozen=True, tag="report"):
    """Reports the state of a node."""

    node: ExistingName
    state: Annotated[str, Meta(pattern="^(serving|catching_up|drained|failed)$")]
    seen: Annotated[int, Meta(ge=0)] = 0  # the node has applied all entries up to this one; 0 if unknown


def node(transaction, command):
    """Declares a node, which is then serving and warm, or changes its units. They can't become less than what
    is promised on the node and at its site."""
    check_part_size(transaction, "nodes", command.node)
    before = transaction.get("nodes", command.node)
    if before is None:
        made = Node(command.site, command.units, SERVING, transaction.index)
        transaction.put("nodes", command.node, made)
        count_in_site(transaction, made, Load(), 1)
        return
    if before.site != command.site:
        raise Refused(f"node {command.node} is at site {before.site}", "declare it under another name")
    load = transaction.get("loads", command.node) or Load()
    if command.units < load.units:
        raise Refused(
            f"{load.units} units are promised on node {command.node}", "free some, or end its gangs"
        )
    if up(before) and site_free(transaction, before.site) < before.units - command.units:
        raise Refused(
            f"site {before.site} has {site_free(transaction, before.site)} units free", "free some there"
        )
    change_node(transaction, command.node, units=command.units)


def reserve(transaction, command):
    reservation, units = command.reservation, command.units
    if (command.nodes is None) == (command.site is None):
        raise Senseless("either nodes or site is wanted")
    if transaction.get("reservations", reservation) is not None:
        raise Refused(f"reservation {reservation} stands already", "free it first, or take another name")
    check_part_size(transaction, "reservations", reservation)
    if command.site is not None:
        take_site(transaction, command.site, units)
    else:
        check_distinct(command.nodes)
        take_nodes(transaction, command.nodes, units)
        for name in command.nodes:
            load = transaction.get("loads", name)
            change_load(transaction, name, 0, reservations=(load.reservations if load else 0) + 1)
    add_reservation(
        transaction, reservation, Reservation(command.service, units, command.nodes or (), command.site or "")
    )


def add_reservation(transaction, name, reservation):
    """Stores a new reservation, whose units are already taken."""
    transaction.put("reservations", name, reservation)
    services.add(transaction, "reservations", name, (reservation.service,))


def take_site(transaction, site, units):
    """Promises units at a site, or refuses the command."""
    if (free := site_free(transaction, site)) < units:
        raise Refused(
            f"site {site} has {max(free, 0)} units free, {units} are asked",
            "ask fewer, or add nodes there",
        )
    change_site_promise(transaction, site, units)


def take_nodes(transaction, nodes, units):
    """Promises units on each of these nodes, or refuses the command."""
    for name in nodes:
        site = known_node(transaction, name).site
        free = min(node_free(transaction, name), site_free(transaction, site))
        if free < units:
            raise Refused(
                f"node {name} at {site} has {max(free, 0)} units free, {units} are asked",
                "ask fewer, or name other nodes",
            )
        change_load(transaction, name, units)


def free(transaction, command):
    reservation = transaction.get("reservations", command.reservation)
    if reservation is None:
        raise Refused(f"no reservation {command.reservation}", "nothing is left to do")
    if reservation.move:
        raise Refused(
            f"reservation {command.reservation} is held by move {reservation.move}",
            "stop that move first",
        )
    remove_reservation(transaction, command.reservation, reservation)


def remove_reservation(transaction, name, reservation):
    """Ends an existing reservation."""
    for one in reservation.nodes:
        load = transaction.get("loads", one)
        change_load(transaction, one, -reservation.units, reservations=load.reservations - 1)
    if reservation.site:
        change_site_promise(transaction, reservation.site, -reservation.units)
    transaction.drop("reservations", name)
    services.remove(transaction, "reservations", name, (reservation.service,))


def gang(transaction, command):
    """Starts a gang. All its nodes have to be serving, and no drain may need one of them before it ends."""
    if transaction.get("gangs", command.gang) is not None:
        raise Refused(f"gang {command.gang} runs already", "end it first, or take another name")
    for service in services.services_of_name(command.gang):
        if move := services.service_row(transaction, service).closed:
            raise BeingMoved(f"move {move} of service {service} waits until no gang of it runs")
    check_part_size(transaction, "gangs", command.gang)
    check_distinct(command.nodes)
    for name in command.nodes:
        on = known_node(transaction, name)
        if on.state != SERVING or on.out:
            raise Refused(
                f"node {name} is {on.state if not on.out else 'out for drain ' + on.out}", "name other nodes"
            )
        if on.cordon_ms and not transaction.wall_ms < command.ends_ms <= on.cordon_ms:
            raise Refused(
                f"node {name} is to go for a drain by {on.cordon_ms}",
                "name other nodes, an end before that, or stop the drain",
            )
    take_nodes(transaction, command.nodes, command.units)
    for name in command.nodes:
        load = transaction.get("loads", name)
        change_load(transaction, name, 0, gangs=((load.gangs if load else ()) + (command.gang,)))
    transaction.put("gangs", command.gang, Gang(command.nodes, command.units, command.ends_ms))
    services.add(transaction, "gangs", command.gang, services.services_of_name(command.gang))


def gang_end(transaction, command):
    ended = transaction.get("gangs", command.gang)
    if ended is None:
        raise Refused(f"no gang {command.gang}", "nothing is left to do")
    for name in ended.nodes:
        gangs = tuple(one for one in transaction.get("loads", name).gangs if one != command.gang)
        change_load(transaction, name, -ended.units, gangs=gangs)
    transaction.drop("gangs", command.gang)
    services.remove(transaction, "gangs", command.gang, services.services_of_name(command.gang))


def group(transaction, command):
    """Declares or replaces a group. It is refused while a move takes over the service's groups member by
    member, because the move would overwrite it."""
    check_part_size(transaction, "groups", command.group)
    check_distinct(command.nodes)
    if command.quorum > len(command.nodes):
        raise Senseless(f"a quorum of {command.quorum} among {len(command.nodes)} nodes")
    for name in command.nodes:
        known_node(transaction, name)
    for service in services.services_of_name(command.group):
        if moves := services.service_row(transaction, service).moves:
            raise BeingMoved(f"service {service} is under way by move {moves[0]}")
    put_group(transaction, command.group, Group(command.nodes, command.quorum))


def put_group(transaction, group, after):
    """Stores a group, or drops it if `after` is None. Moves use this as well."""
    before = transaction.get("groups", group)
    for name in before.nodes if before else ():
        load = transaction.get("loads", name)
        change_load(transaction, name, 0, groups=tuple(one for one in load.groups if one != group))
    for name in after.nodes if after else ():
        load = transaction.get("loads", name)
        change_load(transaction, name, 0, groups=(load.groups if load else ()) + (group,))
    if before is None and after is not None:
        services.add(transaction, "groups", group, services.services_of_name(group))
    if before is not None and after is None:
        services.remove(transaction, "groups", group, services.services_of_name(group))
    if after is None:
        transaction.drop("groups", group)
    else:
        transaction.put("groups", group, after)


def count_caught_up(transaction, group):
    """Returns how many of a group's replicas are serving and caught up."""
    nodes = transaction.part("nodes")
    return sum(nodes[name].state == SERVING and not nodes[name].out for name in group.nodes)


def report(transaction, command):
    """Stores the reported state of a node. It is a fact, so it is never refused for a known node. A node that
    returns after it was drained or failed is cold for a while."""
    before = known_node(transaction, command.node)
    if before.state == command.state:
        return
    fields = {"state": command.state, "since": transaction.index}
    if before.state in (DRAINED, FAILED) and command.state in (SERVING, CATCHING_UP):
        fields["warm"] = transaction.moment + transaction.settings.cold
    change_node(transaction, command.node, **fields)


RULES = {
    NodeCommand: node,
    Reserve: reserve,
    Free: free,
    GangCommand: gang,
    GangEnd: gang_end,
    GroupCommand: group,
    Report: report,
}
