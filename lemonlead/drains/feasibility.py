"""What a drain can never do, found before it begins: structure alone (all nodes healed, up and warm), so
that whatever passes can be done one node at a time, and what only stands in the way now is waited for."""

from ..ledger.capacity import up
from .constraints import NO_LOAD, NO_SITE
from .faults import DeadlinePassed, GangEndsLate, GroupNeedsAll, SeveralInTheWay, SiteNeedsAll

MOST_TOLD = 5  # findings, and names in one


def named(names):
    """Some of them, in words."""
    names = sorted(names)
    more = f" and {len(names) - MOST_TOLD} more" if len(names) > MOST_TOLD else ""
    return ", ".join(names[:MOST_TOLD]) + more


def findings(held, names, deadline_ms, wall_ms):
    """Faults, each with the nodes or the gang it is about and the smallest change that would help."""
    if deadline_ms and deadline_ms <= wall_ms:
        yield DeadlinePassed(f"the deadline {deadline_ms} is past: it is {wall_ms}")
    chosen = {name for name in names if up(held.part("nodes")[name])}  # what is down costs nothing more
    yield from groups(held, chosen)
    yield from sites(held, chosen)
    if deadline_ms:
        yield from gangs(held, chosen, deadline_ms)


def groups(held, chosen):
    loads, rows = held.part("loads"), held.part("groups")
    for name in sorted({group for node in chosen for group in loads.get(node, NO_LOAD).groups}):
        group = rows[name]
        if len(group.nodes) - 1 < group.quorum:
            yield GroupNeedsAll(
                f"group {name} needs all of its {len(group.nodes)} nodes: {named(chosen & set(group.nodes))}",
                f"lower the quorum of group {name} to {len(group.nodes) - 1}"
                if len(group.nodes) > 1
                else f"give group {name} one node more",
            )


def sites(held, chosen):
    nodes, loads, units, need, drained = held.part("nodes"), held.part("loads"), {}, {}, {}
    for name, node in nodes.items():
        units[node.site] = units.get(node.site, 0) + node.units
        load = loads.get(name, NO_LOAD)  # gangs end: what they hold is waited for
        held_here = load.units - sum(held.part("gangs")[gang].units for gang in load.gangs)
        need[node.site] = need.get(node.site, 0) + held_here
        if name in chosen:
            drained.setdefault(node.site, []).append(name)
    for site, here in sorted(drained.items()):
        spare = units[site] - need[site] - held.part("sites").get(site, NO_SITE).promised
        stay = [name for name in here if nodes[name].units > spare]
        if stay:
            short = max(nodes[name].units for name in stay) - spare
            yield SiteNeedsAll(
                f"site {site} has {max(spare, 0)} units to spare, too few to miss {named(stay)}",
                f"free {short} units at site {site}, or add nodes of {short} units there",
            )


def gangs(held, chosen, deadline_ms):
    loads, rows = held.part("loads"), held.part("gangs")
    for name in sorted({gang for node in chosen for gang in loads.get(node, NO_LOAD).gangs}):
        gang = rows[name]
        if gang.ends_ms > deadline_ms:
            here = named(chosen & set(gang.nodes))
            yield GangEndsLate(
                f"gang {name} ends at {gang.ends_ms}, after the deadline, on {here}",
                f"move the deadline to {gang.ends_ms} or later, leave these nodes out, or end gang {name}",
            )


def refuse(held, names, deadline_ms, wall_ms):
    """Raises what is found, or returns."""
    found = list(findings(held, names, deadline_ms, wall_ms))
    if len(found) == 1:
        raise found[0]
    if found:
        more = f"; and {len(found) - MOST_TOLD} more" if len(found) > MOST_TOLD else ""
        raise SeveralInTheWay(
            "; ".join(one.says for one in found[:MOST_TOLD]) + more,
            "; ".join(one.do for one in found[:MOST_TOLD]) + more,
        )


__all__ = ["findings", "named", "refuse"]
