"""Finds what makes a drain impossible before it starts. Only the structure counts, as if all nodes were
repaired, up and warm: a drain that passes can be done one node at a time, and anything that only stands in
the way now is waited for."""

from ..ledger.capacity import up
from .constraints import NO_LOAD, NO_SITE
from .faults import DeadlinePassed, GangEndsLate, GroupNeedsAll, SeveralInTheWay, SiteNeedsAll

MAX_LISTED = 5  # faults in one message, and names in one fault


def list_names(names):
    """Returns the first names in order as text, and how many more there are."""
    names = sorted(names)
    more = f" and {len(names) - MAX_LISTED} more" if len(names) > MAX_LISTED else ""
    return ", ".join(names[:MAX_LISTED]) + more


def find_faults(state, names, deadline_ms, wall_ms):
    """Yields faults, each with the nodes or the gang concerned and the smallest change that would help."""
    if deadline_ms and deadline_ms <= wall_ms:
        yield DeadlinePassed(f"the deadline {deadline_ms} is past: it is {wall_ms}")
    live = {name for name in names if up(state.part("nodes")[name])}  # a node that is down costs nothing more
    yield from group_faults(state, live)
    yield from site_faults(state, live)
    if deadline_ms:
        yield from gang_faults(state, live, deadline_ms)


def group_faults(state, live):
    loads, groups = state.part("loads"), state.part("groups")
    for name in sorted({group for node in live for group in loads.get(node, NO_LOAD).groups}):
        group = groups[name]
        if len(group.nodes) - 1 < group.quorum:
            yield GroupNeedsAll(
                f"group {name} needs all of its {len(group.nodes)} nodes: "
                f"{list_names(live & set(group.nodes))}",
                f"lower the quorum of group {name} to {len(group.nodes) - 1}"
                if len(group.nodes) > 1
                else f"give group {name} one node more",
            )


def site_faults(state, live):
    nodes, loads, units, required, drained = state.part("nodes"), state.part("loads"), {}, {}, {}
    for name, node in nodes.items():
        units[node.site] = units.get(node.site, 0) + node.units
        load = loads.get(name, NO_LOAD)
        # Gangs end, so what they hold is waited for and does not count here.
        required_here = load.units - sum(state.part("gangs")[gang].units for gang in load.gangs)
        required[node.site] = required.get(node.site, 0) + required_here
        if name in live:
            drained.setdefault(node.site, []).append(name)
    for site, here in sorted(drained.items()):
        spare = units[site] - required[site] - state.part("sites").get(site, NO_SITE).promised
        needed = [name for name in here if nodes[name].units > spare]
        if needed:
            short = max(nodes[name].units for name in needed) - spare
            yield SiteNeedsAll(
                f"site {site} has {max(spare, 0)} units to spare, too few to miss {list_names(needed)}",
                f"free {short} units at site {site}, or add nodes of {short} units there",
            )


def gang_faults(state, live, deadline_ms):
    loads, gangs = state.part("loads"), state.part("gangs")
    for name in sorted({gang for node in live for gang in loads.get(node, NO_LOAD).gangs}):
        gang = gangs[name]
        if gang.ends_ms > deadline_ms:
            here = list_names(live & set(gang.nodes))
            yield GangEndsLate(
                f"gang {name} ends at {gang.ends_ms}, after the deadline, on {here}",
                f"move the deadline to {gang.ends_ms} or later, leave these nodes out, or end gang {name}",
            )


def check_feasible(state, names, deadline_ms, wall_ms):
    """Raises the fault that was found, or SeveralInTheWay if there are several; returns if there is none."""
    found = list(find_faults(state, names, deadline_ms, wall_ms))
    if len(found) == 1:
        raise found[0]
    if found:
        more = f"; and {len(found) - MAX_LISTED} more" if len(found) > MAX_LISTED else ""
        raise SeveralInTheWay(
            "; ".join(fault.says for fault in found[:MAX_LISTED]) + more,
            "; ".join(fault.do for fault in found[:MAX_LISTED]) + more,
        )


__all__ = ["check_feasible", "find_faults", "list_names"]
