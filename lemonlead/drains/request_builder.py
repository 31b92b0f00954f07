"""Keeps the planner's request up to date: after an event only the records that changed are looked at.

What a wave may take of a limit is computed as if all nodes that are away for a drain, and not late, were back
and all nodes were warm, because a plan is about later waves. `constraints.find_violations` decides what may
go now."""

from ..ledger.capacity import FAILED, SERVING, up
from .constraints import NO_LOAD, NO_SITE
from .planner import PlanRequest, in_pieces, run_to_end
from .rules import RECALLED

NEVER = 1 << 62
NODE_PARTS = ("nodes", "loads", "permits", "wants")  # parts of the state whose key is a node
# What a node contributes to its site: nodes, spare units, nodes away, nodes expected back, late nodes.
NO_CONTRIBUTION = (0, 0, 0, 0, 0)


class PlanRequestBuilder:
    """Computes a PlanRequest from the state, and updates it as the state changes. The limits are
    ("group", group), ("units", site) and ("share", site)."""

    def __init__(self):
        self.request = PlanRequest()
        # As of the last update: parts of the state by name, and the late nodes.
        self.parts, self.groups, self.sites, self.late, self.running = {}, {}, {}, frozenset(), {}
        # By node: its contribution to its site; whether its groups may count on it.
        self.contributions, self.counted = {}, {}
        self.site_sums, self.group_sums = {}, {}  # sums of these, by site and by group
        # `stale` holds ("site", name) and ("group", name) of the caps that have to be computed again.
        self.share, self.stale = 0, set()

    def update(self, state, running, late):
        """Makes `request` match this state. Returns the names of the nodes whose demands changed and the
        limits whose caps changed. `running`: running drains by name; `late`: nodes whose permits are no
        longer waited for."""
        return run_to_end(self.update_in_pieces(state, running, late))

    def update_in_pieces(self, state, running, late):
        """Does the work of `update` as a generator; `request` is right once the generator has ended."""
        changed = self.changed_nodes(state, late)
        yield len(state.part("nodes")) // 10
        names, limits = changed, set()
        self.update_groups(state, changed)
        for piece in in_pieces(changed):
            for name in piece:
                self.update_contribution(state, name, late)
            yield len(piece)
        self.late = late
        self.update_caps(state, limits)
        several = len(running) > 1
        if running != self.running:
            self.running = running
            names.update(self.request.demands)
            self.request.ranks.clear()
        ranks = {name: (drain.deadline_ms or NEVER, drain.since) for name, drain in running.items()}
        changed_demands = set()
        for piece in in_pieces(names):
            for name in piece:
                self.update_demands(state, name, changed_demands)
                if several and name in self.request.demands:
                    self.request.ranks[name] = min(ranks[drain] for drain in state.part("wants")[name])
            yield len(piece)
        return changed_demands, limits

    def changed_nodes(self, state, late):
        """Returns the names of the nodes of which any record has changed since the last update."""
        found = set(late ^ self.late)
        for part in NODE_PARTS:
            old, new = self.parts.get(part, {}), state.part(part)
            if old is not new:
                get_old = old.get
                found.update([name for name, record in new.items() if get_old(name) is not record])
                found.update([name for name in old if name not in new])
                self.parts[part] = new
        nodes = state.part("nodes")
        return {name for name in found if name in nodes}

    def update_groups(self, state, changed):
        """Adds the nodes of the groups that have changed since the last update to `changed`."""
        new = state.part("groups")
        if new is not self.groups:
            for name, group in new.items():
                old = self.groups.get(name)
                if old is not group:
                    self.group_sums[name] = sum(self.counted.get(node, 0) for node in group.nodes)
                    self.stale.add(("group", name))
                    changed.update(group.nodes, old.nodes if old else ())
            for name in [name for name in self.groups if name not in new]:
                changed.update(self.groups[name].nodes)
                self.stale.discard(("group", name))
                self.group_sums.pop(name, None)
                self.request.caps.pop(("group", name), None)
            self.groups = new

    def update_contribution(self, state, name, late):
        """Updates what this node contributes to its site and its groups."""
        node, load = state.part("nodes")[name], state.part("loads").get(name, NO_LOAD)
        permit, failed = state.part("permits").get(name), node.state == FAILED
        required, is_up = load.units, up(node)
        if not is_up and not node.out:
            required -= sum(state.part("gangs")[gang].units for gang in load.gangs)
        expected_back = not is_up and permit is not None and not failed and name not in late
        away_late = not is_up and permit is not None and not failed and name in late
        spare = (node.units if is_up or expected_back else 0) - required
        old, new = (
            self.contributions.get(name, NO_CONTRIBUTION),
            (1, spare, int(not is_up), int(expected_back), int(away_late)),
        )
        if old != new:
            sums = self.site_sums.setdefault(node.site, [0] * 5)
            for at in range(5):
                sums[at] += new[at] - old[at]
            self.contributions[name] = new
            self.stale.add(("site", node.site))
        counted = int((node.state == SERVING and not node.out) or expected_back)
        if counted != self.counted.get(name, 0):
            for group in load.groups:
                self.group_sums[group] += counted - self.counted.get(name, 0)
                self.stale.add(("group", group))
            self.counted[name] = counted

    def update_caps(self, state, limits):
        """Computes the caps that may have changed, and adds the limits whose caps did to `limits`."""
        sites, settings = state.part("sites"), state.settings
        if sites is not self.sites:
            for site, sums in sites.items():
                old = self.sites.get(site, NO_SITE)
                if sums.promised != old.promised:
                    self.stale.add(("site", site))
            self.sites = sites
        if settings.site_share != self.share:
            self.share = settings.site_share
            self.stale.update(("site", site) for site in self.site_sums)
        for what, key in self.stale:
            if what == "group":
                self.set_cap(("group", key), self.group_sums[key] - self.groups[key].quorum, limits)
                continue
            count, spare, away, expected_back, away_late = self.site_sums.get(key, NO_CONTRIBUTION)
            self.set_cap(("units", key), spare - sites.get(key, NO_SITE).promised, limits)
            share = max(1, int(settings.site_share * count)) - away + expected_back
            # One node may always go, unless a late one is still away.
            self.set_cap(("share", key), share if away_late else max(1, share), limits)
        self.stale = set()

    def set_cap(self, limit, amount, limits):
        if self.request.caps.get(limit) != amount:
            self.request.caps[limit] = amount
            limits.add(limit)

    def update_demands(self, state, name, changed_demands):
        """Updates the demands of this node in the request, which has only nodes that are to be planned."""
        demands, before = self.demands(state, name), self.request.demands.get(name)
        if demands is None:
            self.request.ranks.pop(name, None)
            if before is not None:
                del self.request.demands[name]
                changed_demands.add(name)
        elif demands != before:
            self.request.demands[name] = demands
            changed_demands.add(name)

    def demands(self, state, name, gangs=False):
        """Returns what this node takes of its limits, or None if it is not to be planned now. With `gangs`,
        a node that gangs hold is treated as if none did."""
        if name not in state.part("wants"):
            return None
        permit, node = state.part("permits").get(name), state.part("nodes")[name]
        load = state.part("loads").get(name, NO_LOAD)
        if (permit is not None and permit.phase != RECALLED) or not (up(node) or node.out):
            return None
        if load.gangs and not gangs:
            return None
        away = name in self.late  # it counts as away already
        serving = int(node.state == SERVING and not away)
        demands = [(("units", node.site), 0 if away else node.units), (("share", node.site), int(not away))]
        demands += [(("group", group), serving) for group in load.groups]
        return tuple(demands)
