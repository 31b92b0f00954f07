"""The control processes of a run: the source of committed entries and a relay a region, joined by wires that
can be cut. Starts, kills, watches and asks them."""

import http.client
import json
import os
import subprocess
import sys
import time
from pathlib import Path

from lemonlead.standins.members import WaitTimeout, until
from lemonlead.standins.wires import Wires, new_loopback_host, free_address

from .world import REGIONS

RATE, BURST = 8000, 16_000  # bytes a second to one gateway; bytes
LEASE, GRACE = 10, 1  # seconds
MOST_SUBSCRIBERS = 3000  # of one relay
REFUSERS = ("real", "twin")
TICK = os.sysconf("SC_CLK_TCK")
LISTENS = "0A"  # a socket's state in /proc/net/tcp


def ask(address, method, path, body=None, patience=5.0):
    """(status, the body as JSON); (0, reason) where there was no answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=patience)
    try:
        connection.request(method, path, None if body is None else json.dumps(body).encode())
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"null")
    except (OSError, ValueError, http.client.HTTPException) as error:
        return 0, f"{type(error).__name__}: {error}"
    finally:
        connection.close()


def usage(pid):
    """Processor seconds so far and bytes of its own; None where the process is gone."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        status = Path(f"/proc/{pid}/status").read_text()
        anon = next(line for line in status.splitlines() if line.startswith("RssAnon"))
    except (OSError, StopIteration):
        return None
    return (int(stat[11]) + int(stat[12])) / TICK, int(anon.split()[1]) * 1024


def waited(pid):
    """Seconds for which it was ready to run and no core was free; 0.0 where that can't be had."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0


def queues(ports):
    """By port that a process listens on: bytes that wait to be sent, in all and on one connection, and calls
    that wait to be taken; as the kernel has them."""
    found = {port: {"unsent": 0, "unsent_one": 0, "untaken": 0} for port in ports}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split(None, 5)
        row = found.get(int(words[1].rsplit(":", 1)[1], 16))
        if row is not None:
            unsent, unread = (int(part, 16) for part in words[4].split(":"))
            if words[3] == LISTENS:
                row["untaken"] = unread
            else:
                row["unsent"] += unsent
                row["unsent_one"] = max(row["unsent_one"], unsent)
    return found


def by_scope(items):
    """Indexes of the entries of a state, {scope: {key: index}}."""
    truth = {}
    for name, row in items.items():
        scope, key = name.split(" ", 1)
        truth.setdefault(scope, {})[key] = row["since"]
    return truth


def starved(pid, moment, last):
    """Share of the time since the row `last` in which it waited for a core."""
    if not last or last["pid"] != pid:
        return 0.0
    return max(waited(pid) - last["waited"], 0.0) / (moment - last["moment"])


class Control:
    def __init__(self, folder, commits, scopes, relays=REGIONS):
        self.folder, self.wires, self.processes = Path(folder), Wires(), {}
        self.source = free_address(new_loopback_host())
        self.source_told = {
            "listen": self.source,
            "commits": str(commits),
            "scopes": scopes,
            "cluster": "rig",
        }
        self.relays = {f"relay-r{n}": (f"r{n}", free_address(new_loopback_host())) for n in range(relays)}
        self.reached = self.wired({"source": self.source})
        self.spent = {}  # processor seconds of those that ended, by name

    way = "lemonlead relay; the source of entries is a stand-in of ours, not a cluster of members"

    def wired(self, members):
        """By relay, the addresses at which it reaches these, over wires that can be cut."""
        return {
            relay: {name: self.wires.wire(relay, name, address) for name, address in members.items()}
            for relay in self.relays
        }

    def begin(self):
        self.start("source")
        self.ready("source", index=0)

    def start(self, *names):
        for name in names:
            words = self.words(name)
            with (self.folder / f"{name}.log").open("ab") as log:
                command = [sys.executable, "-m", *words]
                self.processes[name] = subprocess.Popen(
                    command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
                )

    def words(self, name):
        if name == "source":
            return ["benchmarks.scale.source", json.dumps(self.source_told)]
        region, listen = self.relays[name]
        members = self.reached[name]
        path = self.folder / f"{name}.cue"
        path.write_text(
            f'relay: "{name}"\nregion: "{region}"\nlisten: "{listen}"\nmembers: {json.dumps(members)}\n'
            f"budget: rate: {RATE}\nbudget: burst: {BURST}\nbounds: subscribers: {MOST_SUBSCRIBERS}\n"
            f"lease: {LEASE}s\ngrace: {GRACE}s\n"
        )
        return ["lemonlead", "relay", str(path)]

    def ready(self, *names, index=1, patience=60.0):
        """Until these answer, and know the ledger up to an index."""
        for name in names:
            until(
                lambda name=name: self.index(name) >= index,
                lambda name=name: f"{name} knows entry {index}: {self.status(name)} {self.said(name)}",
                patience,
            )

    def address(self, name):
        return self.source if name == "source" else self.relays[name][1]

    def status(self, name):
        if self.processes[name].poll() is not None:
            raise WaitTimeout(f"{name} ended with {self.processes[name].returncode}: {self.said(name)}")
        code, told = ask(self.address(name), "GET", "/v1/status", patience=2.0)
        return told if code == 200 else {}

    def index(self, name):
        return self.status(name).get("at", -1)

    def said(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")[-1500:]

    def kill(self, *names):
        for name in names:
            used = usage(self.processes[name].pid)
            self.spent[name] = self.spent.get(name, 0.0) + (used[0] if used else 0.0)
            self.processes[name].kill()
        for name in names:
            self.processes[name].wait()

    def restart(self):
        """All of it, but for the stand-in, which keeps nothing."""
        self.kill(*self.relays)
        self.start(*self.relays)

    def lost(self, region):
        """The relay of that region, where there is one."""
        return f"relay-{region}" if f"relay-{region}" in self.relays else None

    def put(self, changes):
        """Commits an entry for each [kind, scope, key, value]; the index of the last."""
        code, told = ask(self.source, "POST", "/v1/entries", {"changes": changes}, patience=30.0)
        assert code == 200, told
        return told["at"]

    def truth(self):
        """{scope: {key: index}} as the ledger has it."""
        code, told = ask(self.source, "GET", "/v1/state/entries", patience=30.0)
        assert code == 200, told
        return by_scope(told["items"])

    def cut(self, region):
        for member in self.reached.get(self.lost(region), ()):
            self.wires.cut(self.lost(region), member)

    def heal(self, region):
        for member in self.reached.get(self.lost(region), ()):
            self.wires.heal(self.lost(region), member)

    def close(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.wires.close()

    # ---- what is measured

    def figures(self, before):
        """By process, of the time since `before` (what this gave last): share of a core, bytes, status."""
        moment, rows = time.monotonic(), {}
        ports = {name: int(self.address(name).rsplit(":", 1)[1]) for name in self.processes}
        waiting = queues(set(ports.values()))
        for name, process in self.processes.items():
            if process.poll() is not None or (used := usage(process.pid)) is None:
                continue
            spent = self.spent.get(name, 0.0) + used[0]
            last = before.get(name)
            share = (spent - last["spent"]) / (moment - last["moment"]) if last else 0.0
            status = ask(self.address(name), "GET", "/v1/status", patience=1.0)
            told = status[1] if status[0] == 200 else {}
            rows[name] = {
                "moment": moment,
                "spent": spent,
                "core": max(share, 0.0),
                "starved": starved(process.pid, moment, last),
                "waited": waited(process.pid),
                "pid": process.pid,
                "memory": used[1],
                "status": told,
                "queues": waiting[ports[name]],
            }
        return rows

    def force(self, scope, index, wanted, apart=()):
        """Whether all say that it is in force everywhere, for so many gateways at least in all. What the real
        gateway refuses by name (it loads no rules this way) counts as known, not as behind. `apart`: gateways
        that may be behind."""
        counted = 0
        for name in self.relays:
            code, told = ask(
                self.address(name), "GET", f"/v1/force?scope={scope}&index={index}", patience=2.0
            )
            if code != 200 or any(row[0] not in apart for row in told["behind"]):
                return False
            if any(row[0] not in REFUSERS for row in told["refused"]):
                return False
            counted += told["counted"]
        return counted >= wanted
