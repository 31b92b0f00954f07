"""What a drain may not break, reckoned from the state: a gang, a group's quorum, what a site promises, a
site's share. Each function takes anything with parts (a State or a Draft)."""

from dataclasses import dataclass

from ..ledger.capacity import FAILED, SERVING, Load, Site, up, usable_units
from .faults import GangRuns, GroupShort, SiteShareTaken, SiteShort

NO_LOAD, NO_SITE = Load(), Site()


@dataclass(slots=True)
class Sums:
    """Of one site. `bears`: what its nodes that are up bear now; `warm`: once all of them are warm;
    `need`: all that is promised there, wherever its nodes are; `away`: nodes that are not up; `permitted`:
    those among them that a drain has away and that have not failed; `warm_at`: the ledger moment at which
    the next cold one is warm, 0 where none is cold."""

    nodes: int = 0
    bears: int = 0
    warm: int = 0
    need: int = 0
    away: int = 0
    permitted: int = 0
    warm_at: int = 0

    def most_away(self, terms):
        return max(1, int(terms.site_share * self.nodes))


def sums(held, moment, only=None):
    """Site to its Sums; `only`: these sites."""
    loads, gangs, permits, terms = held.part("loads"), held.part("gangs"), held.part("permits"), held.settings
    found = {}
    for name, node in held.part("nodes").items():
        if only is not None and node.site not in only:
            continue
        of = found.get(node.site)
        if of is None:
            of = found[node.site] = Sums()
            of.need = held.part("sites").get(node.site, NO_SITE).promised
        of.nodes += 1
        load = loads.get(name)
        if load is not None:
            of.need += load.units
        if up(node):
            of.bears += usable_units(node, moment, terms)
            of.warm += node.units
            if node.warm > moment:
                of.warm_at = min(of.warm_at or node.warm, node.warm)
            continue
        of.away += 1
        of.permitted += node.state != FAILED and name in permits
        if load is not None and not node.out:
            of.need -= sum(gangs[gang].units for gang in load.gangs)  # a lost gang is borne nowhere
    return found


def caught_up(held, group):
    """How many of its replicas serve, are caught up, and are away for no drain."""
    nodes = held.part("nodes")
    return sum(nodes[name].state == SERVING and not nodes[name].out for name in group.nodes)


def objections(held, moment, names, found=None):
    """Why these nodes may not go away together now: faults; none where they may. Nodes that are away
    already cost nothing more, but what holds must hold with them. `found`: `sums`, where known."""
    nodes, loads = held.part("nodes"), held.part("loads")
    live = [name for name in names if up(nodes[name])]
    touched = {nodes[name].site for name in names}
    if found is None:
        found = sums(held, moment, touched)
    return [
        *gang_objections(held, names),
        *group_objections(held, {g for n in names for g in loads.get(n, NO_LOAD).groups}, set(live)),
        *site_objections(held, moment, touched, live, found),
    ]


def gang_objections(held, names):
    loads, nodes = held.part("loads"), held.part("nodes")
    for name in names:
        if up(nodes[name]) and loads.get(name, NO_LOAD).gangs:
            yield GangRuns(f"gang {loads[name].gangs[0]} runs on node {name}")


def group_objections(held, groups, going):
    nodes, rows = held.part("nodes"), held.part("groups")
    for name in sorted(groups):
        group = rows[name]
        left = caught_up(held, group) - sum(n in going and nodes[n].state == SERVING for n in group.nodes)
        if left < group.quorum:
            yield GroupShort(f"group {name} would have {left} caught up, {group.quorum} are its quorum")


def site_objections(held, moment, touched, going, found):
    nodes, by_site = held.part("nodes"), {}
    for name in going:
        by_site.setdefault(nodes[name].site, []).append(name)
    for site in sorted(touched):
        of, here = found[site], by_site.get(site, ())
        left = of.bears - sum(usable_units(nodes[name], moment, held.settings) for name in here)
        if left < of.need:
            yield SiteShort(f"site {site} would bear {left} units, {of.need} are promised")
        if of.away + len(here) > of.most_away(held.settings) and of.permitted + len(here) > 1:
            yield SiteShareTaken(f"site {site} would have {of.away + len(here)} of {of.nodes} nodes away")
