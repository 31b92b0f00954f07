"""Chooses the nodes and sites for the reservations and groups of a hold.

A hold has up to hundreds of reservations, and a cluster thousands of nodes. So what is free is read once, and
kept up to date in heaps as units are taken: the time of a command is proportional to the nodes of the cluster
and the nodes that are taken."""

from heapq import heapify, heappop, heappush

from ..ledger import capacity


class SiteNodes:
    """The nodes of one site that may be chosen. A node has as many units free as itself or its site has,
    whichever is less."""

    def __init__(self, free):
        self.free = free  # units of the site
        self.by_free = []  # heap of (-units, name): nodes with less free than the site
        self.limited_by_site = []  # heap of names: nodes with at least as many units free as the site
        self.version = 0  # changes with the best node

    def add(self, name, free):
        heappush(self.by_free, (-free, name))

    def best(self):
        """Returns (-units, name) of the best node, or None."""
        while self.by_free and -self.by_free[0][0] >= self.free:
            heappush(self.limited_by_site, heappop(self.by_free)[1])
        if self.limited_by_site:
            return -self.free, self.limited_by_site[0]
        return self.by_free[0] if self.by_free else None

    def remove_best(self):
        """Removes the node that `best` returned."""
        if self.limited_by_site:
            heappop(self.limited_by_site)
        else:
            heappop(self.by_free)


class NodeChooser:
    """Chooses the nodes with the most free units that no drain wants; of two with as many, the first by name.
    It counts the units of chosen nodes as taken."""

    def __init__(self, transaction):
        self.sites, self.free = {}, {}  # SiteNodes by site, units by node
        for name, node in transaction.part("nodes").items():
            if capacity.up(node) and not node.cordon_ms:
                if node.site not in self.sites:
                    self.sites[node.site] = SiteNodes(capacity.site_free(transaction, node.site))
                self.free[name] = free = capacity.node_free(transaction, name)
                self.sites[node.site].by_free.append((-free, name))
        self.best = []  # heap of (-units, node, site, version of the site); older versions don't count
        for name, site in self.sites.items():
            heapify(site.by_free)
            self.offer(name)

    def offer(self, name):
        """Puts the best node of a site into the heap."""
        site = self.sites[name]
        site.version += 1
        if (best := site.best()) is not None:
            heappush(self.best, (*best, name, site.version))

    def choose(self, count, units):
        """Returns up to `count` nodes with at least so many units free, those with the most first. Takes the
        units of each only if there are enough nodes."""
        chosen = []  # (node, site)
        while len(chosen) < count and self.best:
            negative_free, node, name, version = self.best[0]
            if version != self.sites[name].version:
                heappop(self.best)
                continue
            if -negative_free < units:
                break
            heappop(self.best)
            self.sites[name].remove_best()
            chosen.append((node, name))
            self.offer(name)
        taken = units if len(chosen) == count else 0
        for node, name in chosen:
            self.free[node] -= taken
            self.sites[name].free -= taken
        for node, name in chosen:
            self.sites[name].add(node, self.free[node])
        for name in {name for _, name in chosen}:
            self.offer(name)
        return tuple(node for node, _ in chosen)


class SiteChooser:
    """Chooses sites by their free units. Nodes that are to go for a drain are not counted as room. It counts
    the units of chosen sites as taken."""

    def __init__(self, transaction):
        leaving = {}
        for name, node in transaction.part("nodes").items():
            if node.cordon_ms and capacity.up(node):
                leaving[node.site] = leaving.get(node.site, 0) + max(capacity.node_free(transaction, name), 0)
        self.free = {
            site: capacity.site_free(transaction, site) - leaving.get(site, 0)
            for site in transaction.part("sites")
        }
        self.most_free = [(-free, site) for site, free in self.free.items()]  # heap, with outdated items
        heapify(self.most_free)

    def choose(self, preferred, units):
        """Returns the preferred site if it has room, else the one with the most free units, and that site's
        free units. The site is "" if there is none. Takes the units if there are enough."""
        site = preferred if self.free.get(preferred, -1) >= units else self.best()
        free = self.free.get(site, 0)
        if site and free >= units:
            self.free[site] -= units
            heappush(self.most_free, (-self.free[site], site))
        return site, free

    def best(self):
        """Returns the site with the most free units, the first by name of those with as many."""
        while self.most_free and -self.most_free[0][0] != self.free[self.most_free[0][1]]:
            heappop(self.most_free)
        return self.most_free[0][1] if self.most_free else ""


class Placement:
    """Chooses for one hold. Reservations on nodes have to come before those at sites."""

    def __init__(self, transaction):
        self.transaction = transaction
        self.node_chooser = self.site_chooser = self.group_nodes = None

    def nodes(self, count, units):
        """Returns up to `count` nodes with so many units free."""
        if self.node_chooser is None:
            self.node_chooser = NodeChooser(self.transaction)
        return self.node_chooser.choose(count, units)

    def site(self, preferred, units):
        """Returns a site and its free units, as `SiteChooser.choose`."""
        if self.site_chooser is None:
            self.site_chooser = SiteChooser(self.transaction)
        return self.site_chooser.choose(preferred, units)

    def members(self, count):
        """Returns up to `count` nodes for a group, which takes no units of them."""
        if self.group_nodes is None:
            self.group_nodes = NodeChooser(self.transaction).choose(capacity.MAX_RECORDS_PER_PART, 0)
        return self.group_nodes[:count]
