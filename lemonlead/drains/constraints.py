"""The constraints of drains, computed from the state: gangs, the quorum of a group, what is promised at a
site, and the share of a site that may be away. Each function takes anything that has parts: a State or the
transaction of a command."""

from dataclasses import dataclass

from ..ledger.capacity import FAILED, SERVING, Load, Site, up, usable_units
from .faults import GangRuns, GroupShort, SiteShareTaken, SiteShort

NO_LOAD, NO_SITE = Load(), Site()


@dataclass(slots=True)
class SiteSums:
    """Sums over the nodes of one site. `capacity`: units that its nodes that are up bear now;
    `warm_capacity`: units that they bear once all of them are warm; `required`: units promised there, on
    nodes that are up or not; `away`: number of nodes that are not up; `permitted`: those among them that a
    drain has sent away and that have not failed; `warm_at`: ledger time at which the next cold node is warm,
    0 if none is cold."""

    nodes: int = 0
    capacity: int = 0
    warm_capacity: int = 0
    required: int = 0
    away: int = 0
    permitted: int = 0
    warm_at: int = 0

    def max_away(self, settings):
        return max(1, int(settings.site_share * self.nodes))


def sum_sites(state, ledger_time, only=None):
    """Returns a dict from site to its SiteSums at this ledger time. `only`: the sites to look at."""
    loads, gangs, permits, settings = (
        state.part("loads"),
        state.part("gangs"),
        state.part("permits"),
        state.settings,
    )
    sums = {}
    for name, node in state.part("nodes").items():
        if only is not None and node.site not in only:
            continue
        site = sums.get(node.site)
        if site is None:
            site = sums[node.site] = SiteSums()
            site.required = state.part("sites").get(node.site, NO_SITE).promised
        site.nodes += 1
        load = loads.get(name)
        if load is not None:
            site.required += load.units
        if up(node):
            site.capacity += usable_units(node, ledger_time, settings)
            site.warm_capacity += node.units
            if node.warm > ledger_time:
                site.warm_at = min(site.warm_at or node.warm, node.warm)
            continue
        site.away += 1
        site.permitted += node.state != FAILED and name in permits
        if load is not None and not node.out:
            # A gang on a node that is down without a permit is lost and needs no units anywhere.
            site.required -= sum(gangs[gang].units for gang in load.gangs)
    return sums


def caught_up(state, group):
    """Returns how many replicas of the group serve, are caught up, and are not sent away by a drain."""
    nodes = state.part("nodes")
    return sum(nodes[name].state == SERVING and not nodes[name].out for name in group.nodes)


def find_violations(state, ledger_time, names, sums=None):
    """Returns the faults for which these nodes may not go away together now; an empty list if they may.
    Nodes that are away already cost nothing more, but the constraints must hold with them. `sums`: the
    result of `sum_sites`, where it is known."""
    nodes, loads = state.part("nodes"), state.part("loads")
    live = [name for name in names if up(nodes[name])]
    sites = {nodes[name].site for name in names}
    if sums is None:
        sums = sum_sites(state, ledger_time, sites)
    return [
        *gang_violations(state, names),
        *group_violations(
            state, {group for node in names for group in loads.get(node, NO_LOAD).groups}, set(live)
        ),
        *site_violations(state, ledger_time, sites, live, sums),
    ]


def gang_violations(state, names):
    loads, nodes = state.part("loads"), state.part("nodes")
    for name in names:
        if up(nodes[name]) and loads.get(name, NO_LOAD).gangs:
            yield GangRuns(f"gang {loads[name].gangs[0]} runs on node {name}")


def group_violations(state, group_names, going):
    nodes, groups = state.part("nodes"), state.part("groups")
    for name in sorted(group_names):
        group = groups[name]
        left = caught_up(state, group) - sum(
            node in going and nodes[node].state == SERVING for node in group.nodes
        )
        if left < group.quorum:
            yield GroupShort(f"group {name} would have {left} caught up, {group.quorum} are its quorum")


def site_violations(state, ledger_time, sites, going, sums):
    nodes, going_by_site = state.part("nodes"), {}
    for name in going:
        going_by_site.setdefault(nodes[name].site, []).append(name)
    for site in sorted(sites):
        site_sums, here = sums[site], going_by_site.get(site, ())
        left = site_sums.capacity - sum(
            usable_units(nodes[name], ledger_time, state.settings) for name in here
        )
        if left < site_sums.required:
            yield SiteShort(f"site {site} would bear {left} units, {site_sums.required} are promised")
        if (
            site_sums.away + len(here) > site_sums.max_away(state.settings)
            and site_sums.permitted + len(here) > 1
        ):
            yield SiteShareTaken(
                f"site {site} would have {site_sums.away + len(here)} of {site_sums.nodes} nodes away"
            )
