"""Everything at once, for long: two clusters, gateways that follow, nodes that are drained in turn, a service
that moves there and back, requests and commands under way; and members that are killed (every other time with
the folder wiped), paused and cut off, one trouble after the other.

python -m benchmarks.whole --kills 200 --seed 1 [--gateways 2] [--nodes 6] [--only kill,wipe] [--folder DIR]

At most one machine is lost at a time: the next fault waits until the replacement votes. Prints what was
done, what was counted at clients and nodes, and each fault found; exits 1 if there is any. All of it runs
on loopback."""

import argparse
import contextlib
import random
import sys
import tempfile
import threading
import time
from collections import Counter
from statistics import median

from tabulate import tabulate

from lemonlead.standins.installation import Installation
from lemonlead.standins.members import WaitTimeout, until

CLUSTERS = {"louis": ("g1", "g2", "g3"), "ebene": ("h1", "h2", "h3")}
TROUBLES = (
    "kill",
    "wipe",
    "kill",
    "wipe",
    "pause",
    "cut",
    "one way",
    "pair",
    "apart",
    "all at once",
    "rolling",
)
SETTLED = 10  # acknowledged commands after each trouble, before the next


class Troubles:
    """Causes one trouble after the other at drawn members. `gaps`: seconds from a trouble at a leader
    until the next command was acknowledged there, by trouble."""

    def __init__(self, all_, seed, only):
        self.only = only
        self.all_, self.random, self.counts, self.gaps = all_, random.Random(seed), Counter(), {}
        self.seated = {name: list(cluster.initial_members) for name, cluster in all_.clusters.items()}
        self.number = 10

    def next(self):
        name = self.random.choice(sorted(self.seated))
        cluster, what = self.all_.clusters[name], self.random.choice(self.only)
        victim = self.random.choice(self.seated[name])
        leader = cluster.wait_leader()
        if self.random.random() < 0.5:
            victim = leader
        began = time.monotonic()
        getattr(self, what.replace(" ", "_"))(name, cluster, victim)
        self.counts[what] += 1
        self.settle(cluster, what if victim == leader else "", began)

    def settle(self, cluster, what, began):
        """Until commands are acknowledged again and all that are seated follow one leader."""
        mine = [one for one in self.all_.operators if one.cluster is cluster]
        upto = sum(sum(one.counts.values()) for one in mine) + SETTLED
        until(
            lambda: sum(sum(one.counts.values()) for one in mine) >= upto,
            lambda: f"served again after {what}",
            60,
        )
        seated = self.seated[cluster.cluster]
        until(
            lambda: all(cluster.status(name).get("leader") in seated for name in seated),
            lambda: f"all follow: {[cluster.status(name) for name in seated]}",
            60,
        )
        if what:
            self.gaps.setdefault(what, []).append(max(one.longest_gap(began) for one in mine))

    # ---- the troubles

    def kill(self, name, cluster, victim):
        cluster.kill(victim)
        if self.random.random() < 0.5:
            cluster.wait_leader(other_than=victim)
        cluster.start(victim, join=victim not in cluster.initial_members)

    def wipe(self, name, cluster, victim):
        """A machine lost with its disk: its name comes back with an empty folder and must stay outside,
        another takes its place."""
        cluster.kill(victim)
        cluster.wipe(victim)
        cluster.wait_leader(other_than=victim)
        if victim in cluster.initial_members:
            cluster.start(victim)
            self.all_.wait_acknowledged(2)
            told = until(lambda: cluster.status(victim), f"{victim} answers")
            assert told["role"] == "outside", f"a wiped {victim} is {told['role']}"
            cluster.kill(victim)
        self.number += 1
        new = f"{name[0]}{self.number}"
        cluster.start(new, join=True)
        address = cluster.addresses[new]
        self.change(cluster, kind="add", member=new, address=address)
        until(lambda: cluster.status(new).get("role") in ("follower", "leader"),
              lambda: f"{new} votes: {cluster.status(new)}", 60)  # fmt: skip
        self.change(cluster, kind="remove", member=victim, address=cluster.addresses[victim])
        until(lambda: victim not in (cluster.status(new).get("members") or {victim: 1}),
              lambda: f"{victim} is gone: {cluster.status(new)}", 60)  # fmt: skip
        self.seated[name] = [one for one in self.seated[name] if one != victim] + [new]
        for one in [*self.all_.operators, *self.all_.agents]:
            if getattr(one, "cluster", self.all_.home) is cluster:
                one.members.addresses = [cluster.addresses[member] for member in self.seated[name]]

    def change(self, cluster, **command):
        """A change of members, asked under a new id while another is under way."""
        for turn in range(200):
            code, body = cluster.run_command(id=f"{command['kind']}/{command['member']}/{turn}", **command)
            if code == 200:
                return
            if not any(says in body["error"]["says"] for says in ("still being seated", "nobody waits")):
                raise WaitTimeout(f"{command}: {body}")
            time.sleep(0.05)
        raise WaitTimeout(f"{command}: {body}")

    def pause(self, name, cluster, victim):
        cluster.pause(victim)
        cluster.wait_leader(other_than=victim)
        cluster.resume(victim)

    def cut(self, name, cluster, victim):
        self.apart_for(cluster, victim, lambda: self.all_.wires.cut(victim, "*"))

    def one_way(self, name, cluster, victim):
        self.apart_for(cluster, victim, lambda: self.all_.wires.cut(victim, "*", back=False))

    def pair(self, name, cluster, victim):
        other = self.random.choice([one for one in self.seated[name] if one != victim])
        self.apart_for(cluster, victim, lambda: self.all_.wires.cut(victim, other))

    def apart(self, name, cluster, victim):
        for one in self.seated["louis"]:
            for other in self.seated["ebene"]:
                self.all_.wires.cut(one, other)
        self.all_.wait_acknowledged(20)
        self.all_.wires.heal()

    def apart_for(self, cluster, victim, order):
        order()
        with contextlib.suppress(WaitTimeout):
            cluster.wait_leader(other_than=victim, timeout=3.0)
        self.all_.wires.heal()

    def all_at_once(self, name, cluster, victim):
        cluster.kill(*self.seated[name])
        for one in self.seated[name]:
            cluster.start(one, join=one not in cluster.initial_members, ready=False)
        cluster.wait_leader()

    def rolling(self, name, cluster, victim):
        for one in list(self.seated[name]):
            cluster.stop(one)
            cluster.start(one, join=one not in cluster.initial_members)
            cluster.wait_leader()


class Work(threading.Thread):
    """Drains all nodes again and again, and moves a service there and back."""

    def __init__(self, all_):
        super().__init__(daemon=True)
        self.all_, self.stopped, self.counts, self.failed = all_, threading.Event(), Counter(), []
        self.sides = list(all_.clusters.values())  # the one that holds the service first

    def run(self):
        try:
            number = 0
            while not self.stopped.is_set():
                number += 1
                self.drain(number)
                self.move(number)
        except Exception as error:
            self.failed.append(f"{type(error).__name__}: {error}")

    def drain(self, number):
        names = [node.name for node in self.all_.nodes]
        told = {"kind": "drain", "drain": f"d{number}", "nodes": names, "deadline_ms": 0}
        code, body = self.all_.home.run_command(300, id=f"drain/{number}", **told)
        assert code == 200, body
        self.wait("drains", f"d{number}", lambda one: one["phase"] == "done")
        self.counts["drains done"] += 1

    def move(self, number):
        """From the side that holds the service to the other; each third one is stopped on its way."""
        source, to = self.sides
        told = {"kind": "move", "move": f"m{number}", "service": "front", "to": to.cluster}
        code, body = source.run_command(300, id=f"move/{number}", **told)
        assert code == 200, body
        if number % 3 == 0:
            source.run_command(300, id=f"stop/{number}", kind="move_stop", move=f"m{number}")
        one = self.wait("moves", f"m{number}", lambda one: one["end"] and one["told"], source)
        self.counts[f"moves {one['end']}"] += 1
        if one["end"] == "done":
            self.sides.reverse()

    def wait(self, part, name, condition, cluster=None):
        while not self.stopped.is_set():
            one = self.all_.items(part, cluster).get(name)
            if one is not None and condition(one):
                return one
            self.stopped.wait(0.2)
        raise WaitTimeout("stopped")


def played(arguments, folder):
    """The installation through all troubles: (rows of the table, faults)."""
    nodes, gateways = arguments.nodes, arguments.gateways
    with Installation(
        folder, CLUSTERS, nodes, gateways, seed=arguments.seed, far=nodes, service="front"
    ) as all_:
        louis, ebene = all_.clusters.values()
        all_.declare_nodes()
        all_.declare_nodes("here", ebene, [node.name for node in all_.far])
        all_.group("store", ["n0", "n1", "n2"], 2)
        told = {"kind": "reserve", "reservation": "front", "service": "front", "units": 6, "site": "here"}
        assert louis.run_command(id="front", **told)[0] == 200
        all_.start_serving().start_operators(count=2).start_operators(count=2, cluster=ebene)
        all_.wait_requests(50)
        troubles = Troubles(all_, arguments.seed, arguments.only.split(","))
        work, began = Work(all_), time.monotonic()
        work.start()
        killed = 0
        try:
            while killed < arguments.kills and not work.failed:
                troubles.next()
                killed = (
                    troubles.counts["kill"] + troubles.counts["wipe"] + 3 * troubles.counts["all at once"]
                )
                say(f"{time.monotonic() - began:.0f} s: {dict(troubles.counts)}, {dict(work.counts)}")
        except (WaitTimeout, AssertionError) as error:
            work.failed.append(f"{type(error).__name__}: {error}")
        all_.wires.heal()
        work.stopped.set()
        work.join(60)
        for one in all_.operators + all_.crowds:
            one.stop()
        faults = [fault for fault in work.failed if not fault.endswith("stopped")] + all_.faults()
        rows = [[f"trouble: {what}", count] for what, count in sorted(troubles.counts.items())]
        rows += [["processes killed", killed], ["seconds", round(time.monotonic() - began)]]
        rows += [[what, count] for what, count in sorted(work.counts.items())]
        rows += [[f"requests {what}", count] for what, count in sorted(all_.counts().items())]
        rows += [["commands acknowledged", all_.acknowledged()]]
        for what, gaps in sorted(troubles.gaps.items()):
            rows.append(
                [
                    f"without service, {what} of a leader: median, worst",
                    f"{median(gaps):.2f}, {max(gaps):.2f} s",
                ]
            )
        return rows, faults


def say(text):
    if sys.stderr.isatty():
        print(f"\r{text}", end="", file=sys.stderr, flush=True)
    else:
        print(text, file=sys.stderr, flush=True)


def main():
    parser = argparse.ArgumentParser(prog="benchmarks.whole", description=__doc__.split("\n\n")[0])
    parser.add_argument("--kills", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=2)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--only", default=",".join(TROUBLES), help="the troubles to draw from")
    parser.add_argument("--folder")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        rows, faults = played(arguments, arguments.folder or folder)
    print(tabulate(rows))
    print("\n".join(faults) or "no fault found")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
