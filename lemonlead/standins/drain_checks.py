"""Counts on its own, from a ledger's changes, whether a drain broke anything. Shares no code with drains.

`entry` is given each entry that was applied; it keeps records of its own and returns what was broken, in
words. `heard` and `follows` tell what gateways really obeyed."""


class Watch:
    def __init__(self, lease, grace, cold_share=0.5, site_share=0.25):
        self.patience = lease + grace
        self.cold_share = cold_share
        self.site_share = site_share
        self.parts = {}
        self.acked = {}  # gateway: (moment last heard, index obeyed up to)
        self.office = 0
        self.last = {}  # node: (term, index) of its newest permit
        self.permits_given = 0

    def part(self, name):
        return self.parts.setdefault(name, {})

    def heard(self, now, gateway, index):
        _, before = self.acked.get(gateway, (now, 0))
        self.acked[gateway] = now, max(before, index)

    def entry(self, now, index, term, moment, changes, kind="", about=None):
        """`kind`: the command's; `about`: the command as a dict."""
        permits = {key: self.part("permits").get(key) for part, key in changes if part == "permits"}
        before = {key: self.part("nodes").get(key) for part, key in changes if part == "nodes"}
        for (part, key), record in changes.items():
            if record is None:
                self.part(part).pop(key, None)
            else:
                self.part(part)[key] = record
        nodes = self.part("nodes")
        gone = [
            name
            for name, old in before.items()
            if old is not None and old.state in ("serving", "catching_up") and not old.out and nodes[name].out
        ]
        broken = []
        if gone:
            self.permits_given += len(gone)
            broken += self.no_gang(gone) + self.quorums(gone) + self.sites(gone, moment)
        broken += self.phases(now, index, term, permits, kind, about or {}, moment)
        if kind == "gang" and changes:
            for name in about["nodes"]:
                if nodes[name].out or nodes[name].state != "serving":
                    broken.append(f"gang {about['gang']} began on {name}, which is away")
        return broken

    def no_gang(self, gone):
        return [
            f"gang {name} runs on {node}, which was let go"
            for name, gang in self.part("gangs").items()
            for node in gang.nodes
            if node in gone
        ]

    def quorums(self, gone):
        nodes, broken = self.part("nodes"), []
        for name, group in self.part("groups").items():
            if set(group.nodes) & set(gone):
                good = [n for n in group.nodes if nodes[n].state == "serving" and nodes[n].out == ""]
                if len(good) < group.quorum:
                    broken.append(f"group {name} was left with {len(good)} of {group.quorum}")
        return broken

    def sites(self, gone, moment):
        nodes, broken = self.part("nodes"), []
        for site in {nodes[name].site for name in gone}:
            here = {name: node for name, node in nodes.items() if node.site == site}
            live = {
                n for n, node in here.items() if node.state in ("serving", "catching_up") and not node.out
            }
            bears = 0
            for name in live:
                share = self.cold_share if here[name].warm > moment else 1
                bears += int(here[name].units * share)
            promised = 0
            for held in self.part("reservations").values():
                promised += held.units if held.site == site else 0
                promised += held.units * sum(name in here for name in held.nodes)
            for gang in self.part("gangs").values():
                promised += gang.units * sum(name in live for name in gang.nodes)
            if bears < promised:
                broken.append(f"site {site} was left with {bears} units for {promised} promised")
            away, permitted = len(here) - len(live), 0
            for name in set(here) - live:
                permitted += here[name].state != "failed" and name in self.part("permits")
            if away > max(1, int(self.site_share * len(here))) and permitted > 1:
                broken.append(f"site {site} had {away} of {len(here)} away")
        return broken

    def phases(self, now, index, term, before, kind, about, moment):
        broken, permits = [], self.part("permits")
        for name, old in before.items():
            new = permits.get(name)
            if old is None:
                continue
            if new is not None and (new.term, new.index) == (old.term, old.index):
                if old.phase == "given" and new.phase == "clear":
                    broken += self.acknowledged(now, name, new)
                if (old.phase, new.phase) in (("clear", "given"), ("down", "clear"), ("recalled", "clear")):
                    broken.append(f"permit of {name} went from {old.phase} to {new.phase}")
            elif old.phase != "given":
                word = kind == "report" and about.get("node") == name and about.get("state") == "serving"
                if new is None and not word:
                    broken.append(f"{name} was counted as back from {old.phase} without its word")
                ran_out = moment - old.moment >= self.patience
                if word and old.phase == "recalled" and about.get("seen", 0) < old.at and not ran_out:
                    broken.append(f"{name} was counted as back while it could still act")
        for name, old in before.items():
            new = permits.get(name)
            if new is not None and new is not old:
                mark = (new.term, new.index)
                if mark < self.last.get(name, (0, 0)):
                    broken.append(f"permit of {name} is older than the one before")
                self.last[name] = mark
        return broken

    def acknowledged(self, now, node, permit):
        late = []
        for gateway in self.part("followers"):
            heard, index = self.acked.get(gateway, (self.office, 0))
            if index < permit.index and now - max(heard, self.office) < self.patience:
                late.append(f"{node} was cleared before {gateway} had acknowledged entry {permit.index}")
        return late
