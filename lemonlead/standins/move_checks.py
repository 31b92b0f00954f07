"""An invariant checker for the ledgers of two clusters with moves. It shares no code with them.

It receives the changes of each entry, as plain dicts and lists, in the order in which each cluster applied
them, and keeps its own copies and sums. `broken` lists the violations."""

NEXT_STEPS = {
    None: {"asked"},
    "asked": {"reserving", "refused", "stopped", "overdue", "lost"},
    "reserving": {"warming", "going back", "lost"},
    "warming": {"members", "shifting", "going back", "lost"},
    "members": {"members", "shifting", "going back", "lost"},
    "shifting": {"shifting", "settling", "going back", "lost"},
    "settling": {"done", "going back", "lost"},
    "going back": {"dropping", "lost"},
    "dropping": {"refused", "stopped", "sent back", "overdue", "lost"},
}
ENDS = {"done", "refused", "stopped", "sent back", "overdue", "lost"}
NEXT_HOLD_STATES = {
    None: {"held", "dropped"},
    "held": {"warm", "kept", "dropped"},
    "warm": {"kept", "dropped"},
    "kept": set(),
    "dropped": set(),
}


class MoveChecker:
    """`names`: the clusters. `saw` is called for each entry, `settled` once no move is open."""

    def __init__(self, names):
        self.kept = {name: {} for name in names}  # cluster: {part: {key: record}}
        self.pieces = {}  # (cluster, move, epoch): {reservation: (service, total units)} at its begin
        self.groups = {}  # (cluster, move, epoch): {group: (members, quorum)}
        # How often a move's reservations were made at the destination and freed at the source.
        self.takes = {}
        self.frees = {}
        self.ended = {}  # (cluster, move, epoch): its last step
        self.by_hand = set()  # (cluster, hold, epoch) of holds that an operator ended
        self.broken = []

    def part(self, cluster, part):
        return self.kept[cluster].setdefault(part, {})

    def say(self, text):
        """Adds a violation, up to 100."""
        if len(self.broken) < 100:
            self.broken.append(text)

    def saw(self, cluster, index, changes):
        """Checks one entry. `changes`: list of (part, key, record as builtins or None)."""
        before = {(part, key): self.part(cluster, part).get(key) for part, key, _ in changes}
        for part, key, record in changes:
            if record is None:
                self.part(cluster, part).pop(key, None)
            else:
                self.part(cluster, part)[key] = record
        at = f"{cluster} {index}"
        touched = {part for part, _, _ in changes}
        if touched & {"reservations", "gangs"}:
            added = any(
                part in ("reservations", "gangs") and record is not None and before[part, key] is None
                for part, key, record in changes
            )
            if added:
                self.capacity(at, cluster)
        for part, key, record in changes:
            if part == "moves" and record is not None:
                self.stepped(at, cluster, key, before[part, key], record)
            if part == "holds":
                self.held(at, cluster, key, before[part, key], record)
        for part, key, record in changes:
            if part == "reservations" and record is None:
                self.freed(at, cluster, key, before[part, key])
        if touched & {"moves", "holds", "reservations", "groups", "nodes"}:
            failing = any(
                part == "nodes" and record["state"] in ("failed", "catching_up")
                for part, _, record in changes
                if record
            )
            for name in self.kept:
                for move, record in self.part(name, "moves").items():
                    self.both_sides(at, name, move, record, "groups" in touched and not failing)

    # ---- 1. no cluster promises more units than it has

    def capacity(self, at, cluster):
        nodes = self.part(cluster, "nodes")
        on = {}
        there = {}
        for held in [*self.part(cluster, "reservations").values(), *self.part(cluster, "gangs").values()]:
            for node in held["nodes"]:
                on[node] = on.get(node, 0) + held["units"]
            if held.get("site"):
                there[held["site"]] = there.get(held["site"], 0) + held["units"]
        bears = {}
        for name, node in nodes.items():
            works = node["state"] in ("serving", "catching_up") and not node["out"]
            if works:
                bears[node["site"]] = bears.get(node["site"], 0) + node["units"]
                there[node["site"]] = there.get(node["site"], 0) + on.get(name, 0)
            if on.get(name, 0) > node["units"]:
                self.say(f"{at}: node {name} of {cluster} promises {on[name]} of {node['units']}")
        for site, units in there.items():
            if units > bears.get(site, 0):
                self.say(f"{at}: site {site} of {cluster} promises {units} of {bears.get(site, 0)}")

    # ---- 2. steps go forward only, an ended move stays ended, nothing is done twice

    def stepped(self, at, cluster, name, was, move):
        key = (cluster, name, move["epoch"])
        if was is not None and was["epoch"] != move["epoch"]:
            if was["step"] not in ENDS:
                self.say(f"{at}: move {name} begun again while {was['step']}")
            was = None
        if was is None:
            standing = self.part(cluster, "reservations")
            self.pieces[key] = {
                one: (standing[one]["service"], total_units(standing[one])) for one in move["reservations"]
            }
            self.groups[key] = {
                group["group"]: (tuple(group["nodes"]), group["quorum"]) for group in move["groups"]
            }
            for other, row in self.part(cluster, "moves").items():
                both = other != name and row["service"] == move["service"]
                if both and row["step"] not in ENDS | {"dropping"}:
                    self.say(f"{at}: {name} and {other} move the same service")
        step = was["step"] if was else None
        if move["step"] != step and move["step"] not in NEXT_STEPS.get(step, ()):
            self.say(f"{at}: move {name} went from {step} to {move['step']}")
        if key in self.ended and move["step"] != self.ended[key]:
            self.say(f"{at}: move {name} ended as {self.ended[key]}, now {move['step']}")
        if move["step"] in ENDS:
            self.ended[key] = move["step"]
        if move["share"] and move["step"] not in ("shifting", "settling", "done"):
            self.say(f"{at}: move {name} is {move['step']} and sends {move['share']} there")
        if move["step"] == "settling" and move["share"] != 1000:
            self.say(f"{at}: move {name} settles at {move['share']}")

    def held(self, at, cluster, key, was, hold):
        if hold is None:
            if was["state"] not in ("kept", "dropped"):
                self.say(f"{at}: hold {key} forgotten while {was['state']}")
            return
        if was is not None and was["epoch"] != hold["epoch"]:
            if hold["epoch"] < was["epoch"] or was["state"] not in ("kept", "dropped"):
                self.say(f"{at}: hold {key} of epoch {hold['epoch']} after {was['epoch']}, {was['state']}")
            was = None
        state = was["state"] if was else None
        if hold["state"] != state and hold["state"] not in NEXT_HOLD_STATES[state]:
            self.say(f"{at}: hold {key} went from {state} to {hold['state']}")
        move = self.part(hold["source"], "moves").get(hold["move"])
        step = move["step"] if move and move["epoch"] == hold["epoch"] else None
        if hold["by"]:
            self.by_hand.add((cluster, key, hold["epoch"]))
        elif hold["state"] == "kept" and state != "kept" and step != "settling":
            self.say(f"{at}: {key} kept there while its source is {step}")
        elif hold["state"] == "dropped" and state != "dropped" and step not in ENDS | {"dropping", None}:
            self.say(f"{at}: {key} dropped there while its source is {step}")
        elif state is None and hold["state"] == "held":
            if step not in ("reserving", "going back", "dropping"):
                self.say(f"{at}: {key} held there while its source is {step}")
            took = (cluster, key, hold["epoch"])
            times = self.takes[took] = self.takes.get(took, 0) + 1
            if times > 1:
                self.say(f"{at}: {key} taken {times} times")

    def freed(self, at, cluster, name, was):
        """Checks a freed reservation: its client may free it, or a move that is done."""
        by = was["move"]
        if not by:
            return
        move = self.part(cluster, "moves").get(by)
        hold = self.part(cluster, "holds").get(by)
        if move is None and hold is None or move is not None and move["step"] != "done":
            self.say(f"{at}: {name} freed under {by}, which is {move and move['step']}")
        if hold is not None and hold["state"] != "dropped":
            self.say(f"{at}: {name} freed under {by}, which is {hold['state']}")
        if move is not None:
            times = self.frees[cluster, by, name] = self.frees.get((cluster, by, name), 0) + 1
            if times > 1 and self.ended.get((cluster, by, move["epoch"])) == "done":
                self.say(f"{at}: {name} freed {times} times by {by}")

    # ---- 3. a cluster that gets requests of the service holds all its capacity

    def stands(self, cluster, key, marks):
        """Returns whether the cluster has each reservation of the move in full, with one of these marks."""
        standing = self.part(cluster, "reservations")
        return all(
            one in standing
            and (standing[one]["service"], total_units(standing[one])) == piece
            and standing[one]["move"] in marks
            for one, piece in self.pieces[key].items()
        )

    def both_sides(self, at, cluster, name, move, regrouped):
        key = (cluster, name, move["epoch"])
        if move["step"] in ENDS or key not in self.pieces:
            return
        hold = f"{cluster}/{name}"
        by_hand = (move["to"], hold, move["epoch"]) in self.by_hand
        if move["step"] != "dropping" and not self.stands(cluster, key, (name,)):
            self.say(f"{at}: move {name} is {move['step']}, and {cluster} holds not all")
        theirs = self.part(move["to"], "holds").get(hold) if move["to"] in self.kept else None
        if move["share"] and not by_hand:
            state = theirs["state"] if theirs and theirs["epoch"] == move["epoch"] else None
            if state not in ("warm", "kept"):
                self.say(f"{at}: {move['share']} of {name} go to {move['to']}, where it is {state}")
            elif state == "warm" and not self.stands(move["to"], key, (hold,)):
                self.say(f"{at}: {move['share']} of {name} go to {move['to']}, which holds not all")
        if regrouped and not by_hand and move["step"] not in ("asked", "reserving", "warming"):
            for group, (members, quorum) in self.groups[key].items():
                here, there = self.serve(cluster, group), self.serve(move["to"], group)
                down = sum(self.part(cluster, "nodes")[one]["state"] != "serving" for one in members)
                if here + there < min(quorum, len(members) - down):
                    self.say(f"{at}: group {group} has {here} + {there} of {quorum}")

    def serve(self, cluster, group):
        nodes, record = self.part(cluster, "nodes"), self.part(cluster, "groups").get(group)
        return sum(nodes[one]["state"] == "serving" for one in record["nodes"]) if record else 0

    # ---- 4. at the end both clusters agree

    def settled(self, at="in the end"):
        """Checks, once all is healed and quiet, that each move has ended alike at both clusters."""
        for cluster in self.kept:
            for name, move in self.part(cluster, "moves").items():
                key = (cluster, name, move["epoch"])
                hold = f"{cluster}/{name}"
                if move["step"] not in ENDS:
                    self.say(f"{at}: move {name} of {cluster} is {move['step']}")
                    continue
                if (move["to"], hold, move["epoch"]) in self.by_hand or move["step"] == "lost":
                    continue
                theirs = self.part(move["to"], "holds").get(hold) if move["to"] in self.kept else None
                if theirs is not None and theirs["epoch"] == move["epoch"]:
                    wanted = "kept" if move["step"] == "done" else "dropped"
                    if theirs["state"] != wanted:
                        self.say(f"{at}: {name} is {move['step']}, and there it is {theirs['state']}")
        for cluster in self.kept:
            for key, hold in self.part(cluster, "holds").items():
                if hold["state"] not in ("kept", "dropped"):
                    self.say(f"{at}: {key} is {hold['state']} at {cluster}")
            for one, held in self.part(cluster, "reservations").items():
                if held["move"]:
                    self.say(f"{at}: {one} of {cluster} is still marked {held['move']}")

    def holders(self, reservation):
        """Returns the names of the clusters that have this reservation."""
        return sorted(name for name in self.kept if reservation in self.part(name, "reservations"))


def total_units(held):
    """Returns the units of a reservation over all its nodes."""
    return held["units"] * max(len(held["nodes"]), 1)
