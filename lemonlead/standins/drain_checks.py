"""An invariant checker for drains, from a ledger's changes. It shares no code with the drains.

`entry` takes each applied entry, updates records of its own and returns violations as texts. `record_poll`
takes the index that a gateway has really acknowledged."""


class DrainChecker:
    def __init__(self, lease, grace, cold_share=0.5, site_share=0.25):
        self.patience = lease + grace
        self.cold_share = cold_share
        self.site_share = site_share
        self.parts = {}
        self.polls = {}  # gateway: (time of its last poll, index acknowledged by it)
        self.leader_start = 0
        self.newest_permits = {}  # node: (term, index) of its newest permit
        self.permits_given = 0

    def part(self, name):
        return self.parts.setdefault(name, {})

    def record_poll(self, now, gateway, index):
        _, before = self.polls.get(gateway, (now, 0))
        self.polls[gateway] = now, max(before, index)

    def entry(self, now, index, term, ledger_time, changes, kind="", about=None):
        """Checks one entry and returns violations. `kind`: that of the command; `about`: it as a dict."""
        permits = {key: self.part("permits").get(key) for part, key in changes if part == "permits"}
        before = {key: self.part("nodes").get(key) for part, key in changes if part == "nodes"}
        for (part, key), record in changes.items():
            if record is None:
                self.part(part).pop(key, None)
            else:
                self.part(part)[key] = record
        nodes = self.part("nodes")
        taken_out = [
            name
            for name, old in before.items()
            if old is not None and old.state in ("serving", "catching_up") and not old.out and nodes[name].out
        ]
        broken = []
        if taken_out:
            self.permits_given += len(taken_out)
            broken += (
                self.check_gangs(taken_out)
                + self.check_quorums(taken_out)
                + self.check_sites(taken_out, ledger_time)
            )
        broken += self.check_phases(now, index, term, permits, kind, about or {}, ledger_time)
        if kind == "gang" and changes:
            for name in about["nodes"]:
                if nodes[name].out or nodes[name].state != "serving":
                    broken.append(f"gang {about['gang']} began on {name}, which is out")
        return broken

    def check_gangs(self, taken_out):
        return [
            f"gang {name} runs on {node}, which was taken out"
            for name, gang in self.part("gangs").items()
            for node in gang.nodes
            if node in taken_out
        ]

    def check_quorums(self, taken_out):
        nodes, broken = self.part("nodes"), []
        for name, group in self.part("groups").items():
            if set(group.nodes) & set(taken_out):
                good = [n for n in group.nodes if nodes[n].state == "serving" and nodes[n].out == ""]
                if len(good) < group.quorum:
                    broken.append(f"group {name} was left with {len(good)} of {group.quorum}")
        return broken

    def check_sites(self, taken_out, ledger_time):
        nodes, broken = self.part("nodes"), []
        for site in {nodes[name].site for name in taken_out}:
            here = {name: node for name, node in nodes.items() if node.site == site}
            live = {
                n for n, node in here.items() if node.state in ("serving", "catching_up") and not node.out
            }
            bears = 0
            for name in live:
                share = self.cold_share if here[name].warm > ledger_time else 1
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

    def check_phases(self, now, index, term, before, kind, about, ledger_time):
        broken, permits = [], self.part("permits")
        for name, old in before.items():
            new = permits.get(name)
            if old is None:
                continue
            if new is not None and (new.term, new.index) == (old.term, old.index):
                if old.phase == "given" and new.phase == "clear":
                    broken += self.check_acknowledged(now, name, new)
                if (old.phase, new.phase) in (("clear", "given"), ("down", "clear"), ("recalled", "clear")):
                    broken.append(f"permit of {name} went from {old.phase} to {new.phase}")
            elif old.phase != "given":
                reports_serving = (
                    kind == "report" and about.get("node") == name and about.get("state") == "serving"
                )
                if new is None and not reports_serving:
                    broken.append(f"{name} was counted as back from {old.phase} without its report")
                ran_out = ledger_time - old.moment >= self.patience
                if (
                    reports_serving
                    and old.phase == "recalled"
                    and about.get("seen", 0) < old.at
                    and not ran_out
                ):
                    broken.append(f"{name} was counted as back while it could still act")
        for name, old in before.items():
            new = permits.get(name)
            if new is not None and new is not old:
                mark = (new.term, new.index)
                if mark < self.newest_permits.get(name, (0, 0)):
                    broken.append(f"permit of {name} is older than the one before")
                self.newest_permits[name] = mark
        return broken

    def check_acknowledged(self, now, node, permit):
        late = []
        for gateway in self.part("followers"):
            polled_at, index = self.polls.get(gateway, (self.leader_start, 0))
            if index < permit.index and now - max(polled_at, self.leader_start) < self.patience:
                late.append(f"{node} was cleared before {gateway} had acknowledged entry {permit.index}")
        return late
