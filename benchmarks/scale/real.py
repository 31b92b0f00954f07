"""One real gateway beside the hollow ones, with the scopes of one of them (`Plan.twin`), and one that has
the same list and follows nothing: what it costs to follow is the difference of the two."""

import contextlib
import json
from pathlib import Path

from lemonlead.standins.discovery import DiscoveryServer
from lemonlead.standins.fleet import gateway

from .world import ALL, CELLS

LEAST, MOST = 0.5, 2.0  # of the real one's cost: what a hollow one may cost
# Of the real one: below it the two are told, not judged. A difference of two processes' CPU says nothing
# there, nor do the bytes of so few snapshots, which go by where chance has each of them subscribe.
JUDGED = {"cpu_s": 0.05, "bytes": 50_000, "memory": 0}


def cpu(pid):
    """Seconds of all its threads, as the scheduler counts them."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def memory(pid):
    """Bytes of its own."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("RssAnon"))


def listed(machine, port):
    """An instance as discovery lists it."""
    where = {"addr": f"127.0.0.1:{port}", "zone": "here", "kind": "std", "cell": int(machine.id[1:]) % CELLS}
    more = {"state": "up", "weight": 1.0, "started_ms": 0, "revision_no": 1}
    return {"id": machine.id, **where, **more}


class Real:
    def __init__(self, folder, plan, control, way):
        self.plan, self.wires, self.stack = plan, control.wires, contextlib.ExitStack()
        self.relays = {name: (region, address) for name, (region, address) in control.relays.items()}
        machines = [plan.machines[id] for scope in plan.twin.scopes for id in plan.by_service.get(scope, ())]
        entries = [listed(machine, 7000 + number) for number, machine in enumerate(machines)]
        told = {
            name: {"region": region, "address": self.wires.wire("real", name, address)}
            for name, (region, address) in self.relays.items()
        }
        scopes = [scope for scope in plan.twin.scopes if scope != ALL]
        text = f'distribution: {{name: "real", region: "{plan.twin.region}", scopes: {json.dumps(scopes)}, '
        text += f"relays: {json.dumps(told)}}}\n"
        if way == "follow":
            members = {name: row["address"] for name, row in told.items()}
            text = f'follow: {{name: "real", members: {json.dumps(members)}}}\n'
        self.ran = {}
        try:
            for name, follow in (("real", text), ("plain", None)):
                place = Path(folder) / name
                place.mkdir()
                source = DiscoveryServer().start()
                made = gateway(place, entries=entries, source=source, follow=follow)
                self.ran[name] = self.stack.enter_context(made)
        except BaseException:
            self.stack.close()
            raise

    def begin(self):
        self.before = {name: cpu(ran.process.pid) for name, ran in self.ran.items()}
        self.bytes_before = self.bytes()

    def bytes(self):
        passed = [self.wires.link_counts("real", name)["bytes"] for name in self.relays]
        return sum(passed) + sum(self.wires.link_counts(name, "real")["bytes"] for name in self.relays)

    def figures(self):
        """Of what following costs: seconds of CPU since `begin`, bytes since then; bytes of memory in all."""
        spent = {name: cpu(ran.process.pid) - self.before[name] for name, ran in self.ran.items()}
        held = {name: memory(ran.process.pid) for name, ran in self.ran.items()}
        return {
            "cpu_s": spent["real"] - spent["plain"],
            "cpu_plain_s": spent["plain"],
            "bytes": self.bytes() - self.bytes_before,
            "memory": held["real"],
            "memory_plain": held["plain"],
        }

    def close(self):
        self.stack.close()


def compared(real, hollow):
    """The two beside each other; what fails the run, as texts."""
    ratio = {what: round(hollow[what] / real[what], 2) for what in hollow if real[what] > 0}
    judged = [what for what in ratio if real[what] >= JUDGED[what]]
    faults = [
        f"a hollow gateway costs {ratio[what]} of a real one: {what}"
        for what in judged
        if not LEAST <= ratio[what] <= MOST
    ]
    return {"compared": True, "real": real, "hollow": hollow, "ratio": ratio, "judged": judged}, faults
