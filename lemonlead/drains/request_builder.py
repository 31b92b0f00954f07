"""What the planner is asked, kept up to date: after an event only the records that changed are looked at.

What a wave may take of a limit is reckoned as if those that are away for a drain, and not late, were back
and all were warm: plans are for later. What may go now is `ground.objections`."""

from ..ledger.capacity import FAILED, SERVING, up
from .constraints import NO_LOAD, NO_SITE
from .planner import PlanRequest, slices, through
from .rules import RECALLED

NEVER = 1 << 62
LOOKED_AT = ("nodes", "loads", "permits", "wants")  # parts whose key is a node
NOTHING = (0, 0, 0, 0, 0)  # what a node is to its site: nodes, spare units, away, awaited, lasting


class PlanRequestBuilder:
    def __init__(self):
        self.request = PlanRequest()
        self.parts, self.groups, self.sites, self.late, self.running = {}, {}, {}, frozenset(), {}
        self.is_to, self.hoped = {}, {}  # by node: (site, what it is to it); whether groups may hope for it
        self.sums, self.hopes = {}, {}  # by site, by group
        self.share, self.stale = 0, set()  # of what caps have to be reckoned anew

    def update(self, state, running, late):
        """Makes `asked` right for this state; returns the names whose takes changed and the limits whose
        caps did. `late`: nodes whose permits are no longer waited for."""
        return through(self.updating(state, running, late))

    def updating(self, state, running, late):
        """In slices; `asked` is right once it is through."""
        changed = self.changed(state, late)
        yield len(state.part("nodes")) // 10
        names, limits = changed, set()
        self.regroup(state, changed)
        for some in slices(changed):
            for name in some:
                self.reckon(state, name, late)
            yield len(some)
        self.late = late
        self.recap(state, limits)
        several = len(running) > 1
        if running != self.running:
            self.running = running
            names.update(self.request.demands)
            self.request.ranks.clear()
        ranks = {name: (one.deadline_ms or NEVER, one.since) for name, one in running.items()}
        moved = set()
        for some in slices(names):
            for name in some:
                self.take(state, name, moved)
                if several and name in self.request.demands:
                    self.request.ranks[name] = min(ranks[one] for one in state.part("wants")[name])
            yield len(some)
        return moved, limits

    def changed(self, state, late):
        """Names of the nodes of which any record is another than last time."""
        found = set(late ^ self.late)
        for part in LOOKED_AT:
            old, new = self.parts.get(part, {}), state.part(part)
            if old is not new:
                had = old.get
                found.update([name for name, record in new.items() if had(name) is not record])
                found.update([name for name in old if name not in new])
                self.parts[part] = new
        nodes = state.part("nodes")
        return {name for name in found if name in nodes}

    def regroup(self, state, changed):
        """Groups that are others than last time: their nodes are looked at anew."""
        new = state.part("groups")
        if new is not self.groups:
            for name, group in new.items():
                old = self.groups.get(name)
                if old is not group:
                    self.hopes[name] = sum(self.hoped.get(node, 0) for node in group.nodes)
                    self.stale.add(("group", name))
                    changed.update(group.nodes, old.nodes if old else ())
            for name in [name for name in self.groups if name not in new]:
                changed.update(self.groups[name].nodes)
                self.stale.discard(("group", name))
                self.hopes.pop(name, None)
                self.request.caps.pop(("group", name), None)
            self.groups = new

    def reckon(self, state, name, late):
        """What this node is to its site and groups."""
        node, load = state.part("nodes")[name], state.part("loads").get(name, NO_LOAD)
        held, failed = state.part("permits").get(name), node.state == FAILED
        need, is_up = load.units, up(node)
        if not is_up and not node.out:
            need -= sum(state.part("gangs")[gang].units for gang in load.gangs)
        awaited = not is_up and held is not None and not failed and name not in late
        lasting = not is_up and held is not None and not failed and name in late
        spare = (node.units if is_up or awaited else 0) - need
        was, now = self.is_to.get(name, NOTHING), (1, spare, int(not is_up), int(awaited), int(lasting))
        if was != now:
            sums = self.sums.setdefault(node.site, [0] * 5)
            for at in range(5):
                sums[at] += now[at] - was[at]
            self.is_to[name] = now
            self.stale.add(("site", node.site))
        hoped = int((node.state == SERVING and not node.out) or awaited)
        if hoped != self.hoped.get(name, 0):
            for group in load.groups:
                self.hopes[group] += hoped - self.hoped.get(name, 0)
                self.stale.add(("group", group))
            self.hoped[name] = hoped

    def recap(self, state, limits):
        """Caps of the limits that may have moved; `limits` gets those that did."""
        sites, terms = state.part("sites"), state.settings
        if sites is not self.sites:
            for site, sums in sites.items():
                old = self.sites.get(site, NO_SITE)
                if sums.promised != old.promised:
                    self.stale.add(("site", site))
            self.sites = sites
        if terms.site_share != self.share:
            self.share = terms.site_share
            self.stale.update(("site", site) for site in self.sums)
        for what, key in self.stale:
            if what == "group":
                self.cap(("group", key), self.hopes[key] - self.groups[key].quorum, limits)
                continue
            count, spare, away, awaited, lasting = self.sums.get(key, NOTHING)
            self.cap(("units", key), spare - sites.get(key, NO_SITE).promised, limits)
            share = max(1, int(terms.site_share * count)) - away + awaited
            self.cap(("share", key), share if lasting else max(1, share), limits)  # one may always go
        self.stale = set()

    def cap(self, limit, much, limits):
        if self.request.caps.get(limit) != much:
            self.request.caps[limit] = much
            limits.add(limit)

    def take(self, state, name, moved):
        """What this node takes, where it is to be planned."""
        demands, before = self.demands(state, name), self.request.demands.get(name)
        if demands is None:
            self.request.ranks.pop(name, None)
            if before is not None:
                del self.request.demands[name]
                moved.add(name)
        elif demands != before:
            self.request.demands[name] = demands
            moved.add(name)

    def demands(self, state, name, gangs=False):
        """What this node takes of its limits, None where it is not to be planned now. `gangs`: as if none
        held it."""
        if name not in state.part("wants"):
            return None
        held, node = state.part("permits").get(name), state.part("nodes")[name]
        load = state.part("loads").get(name, NO_LOAD)
        if (held is not None and held.phase != RECALLED) or not (up(node) or node.out):
            return None
        if load.gangs and not gangs:
            return None
        gone = name in self.late  # counted as away already
        counts = int(node.state == SERVING and not gone)
        demands = [(("units", node.site), 0 if gone else node.units), (("share", node.site), int(not gone))]
        demands += [(("group", group), counts) for group in load.groups]
        return tuple(demands)
