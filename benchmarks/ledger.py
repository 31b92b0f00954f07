"""The ledger as processes on loopback, by ratios of one run.

`python -m benchmarks.ledger [PART ...] [--count N] [--folder F]`, all parts where none is named:

  gap       time without service after a leader's kill, pause and cut-off, beside the election time told
  rate      commands a second with 1, 3, 5 members, against one and against the plain ways, 1, 8, 64 clients
  reads     a read as of now against a local one
  held      cost of a command at 1,000, 10,000, 100,000 reservations held, as a process and the state alone
  snapshot  the longest stall by a snapshot of 100,000 records, as clients of the leader see it
  memory    memory at 0, 10,000, 100,000 records and remembered ids; start with a long log
  polls     cost of a command while 0, 100, 500 gateways poll

FOLDER: on the disk to be measured, else the system's place for temporary files."""

import argparse
import asyncio
import contextlib
import itertools
import os
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from benchmarks.callers import Caller, Load, load
from lemonlead.ledger.membership import formed
from lemonlead.ledger.records import COMMAND, ConfiguredMember, Entry, SnapshotBase, Write
from lemonlead.ledger.state import LedgerSettings
from lemonlead.member import assembly
from lemonlead.member.disk import open_folder
from lemonlead.standins.members import Cluster, until
from lemonlead.standins.wires import Wires, free_address

TOLD = {"election": "1s", "heartbeat": "150ms"}  # the settings' own
FAULTS = ("kill", "pause", "cut")
CLIENTS = (1, 8, 64)
HELD = (1_000, 10_000, 100_000)
GATEWAYS = (100, 500)
HEEDED = "&parts=nodes,permits,followers,members,moves"  # as gateways ask
SERVICES = 40
NUMBERS = itertools.count()  # of ids, over the whole run


# ---- clusters that hold something from the start


def entries(first, count, start=0, ids=False):
    """`count` entries from index `first` on, each a reservation."""
    for at in range(count):
        fields = {"kind": "reserve", "reservation": f"r/{start + at}", "service": f"s{at % SERVICES}"}
        data = msgspec.json.encode(
            {"id": f"held/{start + at}" if ids else "", **fields, "units": 1, "site": "louis"}
        )
        yield Entry(first + at, 1, COMMAND, first + at, 1, data)


def holding(seats, records, ids=False):
    """A state of so many reservations, and its base."""
    ledger = assembly.make_ledger()
    state, _ = formed(seats, LedgerSettings())
    node = b'{"id":"","kind":"node","node":"n1","site":"louis","units":1000000000}'
    state, _ = ledger.apply(state, Entry(2, 1, COMMAND, 2, 1, node))
    for entry in entries(3, records, ids=ids):
        state, applied = ledger.apply(state, entry)
        assert applied.code == 200, applied.body
    return ledger, state, SnapshotBase(state.index, 1, dict(seats), state.moment)


def filled(folder, names, records, ids=False, log=0):
    """A cluster not started yet, whose members hold so many reservations, and `log` entries that no snapshot
    covers yet."""
    cluster = Cluster(folder, names, times=TOLD)
    folders = {name: open_folder(cluster.data(name)) for name in names}
    seats = {name: ConfiguredMember(cluster.addresses[name], folders[name].id) for name in names}
    ledger, state, base = holding(seats, records, ids)
    for name, one in folders.items():
        one.form("bench", name, base, ledger.pieces(state), cluster.cluster)
        for first in range(base.index + 1, base.index + 1 + log, 1000):
            count = min(1000, base.index + 1 + log - first)
            one.put([Write(first, 1, "", entries=list(entries(first, count, records + first)))])
        one.close()
    return cluster


class Turns:
    """Calls of each client: a reservation, then its end, so that the state keeps its size."""

    def __init__(self):
        self.names = {}

    def __call__(self, client, number):
        id = next(NUMBERS)
        fields = {"id": f"bench/{id}"}
        if name := self.names.pop(client, None):
            fields.update(kind="free", reservation=name)
        else:
            name = self.names[client] = f"bench/{id}"
            fields.update(kind="reserve", reservation=name, service="s0", units=1, site="louis")
        return "POST", "/v1/commands", fields


def declare(cluster):
    code, told = cluster.run_command(
        id=f"bench/{next(NUMBERS)}", kind="node", node="n1", site="louis", units=1_000_000_000
    )
    assert code == 200, told


def cpu(process):
    """Seconds of CPU that it took so far, all its threads'."""
    total = 0
    for task in Path(f"/proc/{process.pid}/task").iterdir():
        with contextlib.suppress(OSError):
            total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def resident(process):
    """Bytes in memory."""
    found = re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{process.pid}/status").read_text())
    return int(found[1]) * 1024


def counters(cluster, name):
    """All that it counts, as it logs it when asked."""
    before = len(logged(cluster, name))
    cluster.processes[name].send_signal(signal.SIGUSR1)
    line = until(lambda: logged(cluster, name)[before:], f"{name} logs its counters")[0]
    return {what: int(number) for what, number in re.findall(r"(\w+)=(\d+)(?=\s|$)", line)}


def logged(cluster, name):
    return [line for line in cluster.lines(name) if "event=counters" in line]


def ms(seconds):
    return f"{seconds * 1e3:8.2f}"


# ---- gap


class Askers:
    """One thread a member asks it commands again and again; the moments at which each that was acknowledged
    was asked and answered."""

    def __init__(self, cluster):
        self.cluster, self.acknowledged, self.over = cluster, [], threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(name,)) for name in cluster.initial_members]
        for thread in self.threads:
            thread.start()

    def run(self, name):
        asyncio.run(self.ask(name))

    async def ask(self, name):
        caller = None
        while not self.over.is_set():
            try:
                asked = time.monotonic()
                async with asyncio.timeout(1.0):
                    caller = caller or await Caller.to(self.cluster.listens[name])
                    body = {"id": f"gap/{next(NUMBERS)}", "kind": "node", "node": "n1", "site": "louis"}
                    code, _ = await caller.ask("POST", "/v1/commands", {**body, "units": next(NUMBERS)})
                if code == 200:
                    self.acknowledged.append((asked, time.monotonic()))
            except (OSError, TimeoutError):
                if caller is not None:
                    caller.close()
                caller = None
            await asyncio.sleep(0.01)
        if caller is not None:
            caller.close()

    def first(self, moment):
        """When the first that was asked after this moment was acknowledged, or None."""
        return min((answered for asked, answered in self.acknowledged if asked > moment), default=None)

    def close(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


def gaps(folder, fault, count):
    """Seconds from each fault to the first command that was acknowledged of those asked after it."""
    with contextlib.ExitStack() as ends:
        wires = Wires()
        ends.callback(wires.close)
        cluster = ends.enter_context(Cluster(folder, times=TOLD, wires=wires))
        cluster.start()
        cluster.healthy()
        askers, found = Askers(cluster), []
        ends.callback(askers.close)
        for _ in range(count):
            leader = cluster.healthy()
            asked = time.monotonic()
            until(lambda asked=asked: askers.first(asked), "service before the fault")
            time.sleep(0.2 * (len(found) % 5))  # the faults fall anywhere between two heartbeats
            if fault == "kill":
                cluster.processes[leader].kill()
            elif fault == "pause":
                cluster.pause(leader)
            else:
                wires.cut(leader, "*")
            began = time.monotonic()
            found.append(until(lambda began=began: askers.first(began), "service after it") - began)
            if fault == "kill":
                cluster.kill(leader)
            wires.heal()
        return found


def gap(told):
    count, found = told.count or 30, {}

    def play(fault):
        found[fault] = gaps(told.place / f"gap-{fault}", fault, count)

    threads = [threading.Thread(target=play, args=(fault,)) for fault in FAULTS]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"gap: 3 members, election time {TOLD['election']}, heartbeat {TOLD['heartbeat']}, {count} of each")
    for fault in FAULTS:
        some = found[fault]
        print(
            f"  {fault:6} median {statistics.median(some):.2f} s, worst {max(some):.2f} s, best "
            f"{min(some):.2f} s; by the election time {statistics.median(some):.2f}, {max(some):.2f}"
        )


# ---- rate


@contextlib.contextmanager
def plainly(way, folder):
    """The address of a server that keeps commands the plain way."""
    folder.mkdir(parents=True)
    address = free_address()
    words = [sys.executable, "-m", "benchmarks.plain", way, address, str(folder / "kept")]
    with subprocess.Popen(words, stdout=subprocess.PIPE) as process:
        try:
            assert process.stdout.readline()
            yield address
        finally:
            process.kill()


def rate(told):
    """All ways stand at once and are loaded in turns, so that what else the machine does falls on all."""
    rounds, found = told.count or 3, {}
    with contextlib.ExitStack() as ends:
        ways, processes = {}, {"append": [], "transaction": []}
        for way in ("append", "transaction"):
            ways[way] = ends.enter_context(plainly(way, told.place / f"rate-{way}"))
        for size in (1, 3, 5):
            names = [f"g{at + 1}" for at in range(size)]
            cluster = ends.enter_context(Cluster(told.place / f"rate-{size}", names, times=TOLD))
            leader = cluster.start().wait_leader()
            declare(cluster)
            ways[size], processes[size] = cluster.listens[leader], cluster.processes.values()
        for _ in range(rounds):
            for way, address in ways.items():
                for clients in CLIENTS:
                    before = sum(map(cpu, processes[way]))
                    some = load(address, clients, Turns(), seconds=2.0)
                    some.cpu = (sum(map(cpu, processes[way])) - before) / len(some.answers)
                    assert not some.failed, (way, clients, some.failed)
                    found.setdefault((way, clients), []).append(some)
    print(f"rate: commands of a client of the leader, median of {rounds} rounds of 2 s taken in turns")
    print(
        "  clients  way            a second    p50 ms   p99 ms  of one member  of a synced append"
        "  CPU us, all members"
    )
    for clients in CLIENTS:
        each = {way: statistics.median(one.a_second for one in found[way, clients]) for way in ways}
        for way in ways:
            of = found[way, clients]
            p50, p99 = (statistics.median(one.took(share) for one in of) for share in (0.5, 0.99))
            name = f"{way} member{'s' * (way > 1)}" if isinstance(way, int) else f"one {way}"
            print(
                f"  {clients:7}  {name:15} {each[way]:7.0f}  {ms(p50)} {ms(p99)}  "
                f"{each[way] / each[1]:13.2f}  {each[way] / each['append']:18.2f}"
                + f"  {statistics.median(one.cpu for one in of) * 1e6:15.0f}"
                * bool(processes[way])
            )


# ---- reads


def reads(told):
    rounds, found = told.count or 3, {}
    kinds = {"as of now": "/v1/state/groups", "local": "/v1/state/groups?read=local"}
    with Cluster(told.place / "reads", times=TOLD) as cluster:
        leader = cluster.start().wait_leader()
        other = next(name for name in cluster.initial_members if name != leader)
        for _ in range(rounds):
            for who, name in (("leader", leader), ("follower", other)):
                for kind, path in kinds.items():
                    for clients in CLIENTS:
                        call = lambda *_, path=path: ("GET", path)  # noqa: E731
                        some = load(cluster.listens[name], clients, call, seconds=1.0)
                        found.setdefault((who, clients, kind), []).append(some)
    print(f"reads: of a small part with 3 members, median of {rounds} rounds of 1 s")
    print("  asked     clients  read        a second    p50 ms   p99 ms  p50 of local")
    for (who, clients, kind), some in sorted(found.items()):
        p50, p99 = (statistics.median(one.took(share) for one in some) for share in (0.5, 0.99))
        local = statistics.median(one.took(0.5) for one in found[who, clients, "local"])
        each = statistics.median(one.a_second for one in some)
        print(
            f"  {who:9} {clients:6}  {kind:10}  {each:8.0f}  {ms(p50)} {ms(p99)}  {p50 / local:12.2f}"
            + f"  failed {sum(one.failed for one in some)}" * any(one.failed for one in some)
        )


# ---- held


def alone(states, rounds=9, count=2000):
    """Microseconds of CPU that the state function takes for a command, by the records held."""
    took = {records: [] for records in states}
    for _ in range(rounds):
        for records, (ledger, state) in states.items():
            some = list(entries(state.index + 1, count, records + state.index, ids=True))
            began = time.thread_time()
            for entry in some:
                state, _ = ledger.apply(state, entry)
            took[records].append((time.thread_time() - began) / count * 1e6)
    return {records: statistics.median(some) for records, some in took.items()}


def held(told):
    rounds, found, clusters = told.count or 7, {}, {}
    seat = {"g1": ConfiguredMember("127.0.0.1:1", "f1")}
    pure = alone({records: holding(seat, records)[:2] for records in HELD})
    with contextlib.ExitStack() as ends:
        for records in HELD:
            clusters[records] = ends.enter_context(filled(told.place / f"held-{records}", ["g1"], records))
            clusters[records].start().wait_leader()
        for _ in range(rounds):
            for records, cluster in clusters.items():
                before = cpu(cluster.processes["g1"])
                some = load(cluster.listens["g1"], 8, Turns(), seconds=1.5)
                assert not some.failed
                each = (cpu(cluster.processes["g1"]) - before) / len(some.answers)
                found.setdefault(records, []).append((each, some.took(0.5), some.took(0.99)))
    print(f"held: one member, 8 clients, median of {rounds} rounds of 1.5 s in turns; snapshots as they come")
    print("   records  state alone us  step   CPU us  step    p50 ms  step    p99 ms")
    last = None
    for records in HELD:
        now = pure[records], *(statistics.median(one) for one in zip(*found[records], strict=True))
        step = [f"{a / b:4.2f}" for a, b in zip(now, last, strict=True)] if last else ["   -"] * 4
        print(
            f"  {records:8} {now[0]:15.1f}  {step[0]} {now[1] * 1e6:8.0f}  {step[1]}  {ms(now[2])}  {step[2]}"
            f"  {ms(now[3])}"
        )
        last = now


# ---- snapshot


def snapshot(told):
    rounds = told.count or 1
    print(f"snapshot: 3 members, 64 clients of the leader, until {rounds} snapshots are in force there")
    for records in (0, 100_000):
        names = ["g1", "g2", "g3"]
        with filled(told.place / f"snapshot-{records}", names, records) as cluster:
            leader = cluster.start().wait_leader()
            before, some = counters(cluster, leader), []
            began = time.monotonic()
            while counters(cluster, leader)["disk_snapshots"] < rounds and time.monotonic() - began < 150:
                some.append(load(cluster.listens[leader], 64, Turns(), answers=2000))
            after = counters(cluster, leader)
            # rounds in which a snapshot was written are not told apart: the longest of all is shown
            answers = [took for one in some for _, took in one.answers]
            rate = len(answers) / sum(one.seconds for one in some)
            print(
                f"  {records:7} records: {after['disk_snapshots']} snapshots in {len(answers)} commands, "
                f"{rate:.0f} a second, p50 {statistics.median(answers) * 1e3:.1f} ms, longest "
                f"{max(answers) * 1e3:.0f} ms, longest turn {after['loop_longest_turn_ms']} ms, longest put "
                f"{after['disk_longest_put_ms']} ms, failed {sum(one.failed for one in some)}, "
                f"terms {after.get('raft_elected', 0) - before.get('raft_elected', 0)}"
            )


# ---- memory


def started(cluster):
    """Seconds until it answers and until it leads."""
    began = time.monotonic()
    cluster.start()
    answers = time.monotonic() - began
    cluster.wait_leader()
    return answers, time.monotonic() - began


def memory(told):
    print("memory: one member, after its start and 2,000 commands")
    base = None
    for records, ids in ((0, False), (10_000, False), (100_000, False), (100_000, True)):
        with filled(told.place / f"memory-{records}-{ids}", ["g1"], records, ids) as cluster:
            answers, leads = started(cluster)
            load(cluster.listens["g1"], 8, Turns(), answers=2000)
            now = resident(cluster.processes["g1"])
            base = base or now
            each = f", {(now - base) / records:.0f} bytes a record" if records else ""
            print(
                f"  {records:7} records{' with ids' * ids}: {now / 1e6:.0f} MB, {now / base:.2f} of empty"
                f"{each}; answers after {answers:.2f} s, leads after {leads:.2f} s"
            )
    first = None
    for log in (0, 4_096, 16_384, 65_536):
        with filled(told.place / f"log-{log}", ["g1"], 0, log=log) as cluster:
            answers, leads = started(cluster)
            first = first or answers
            print(
                f"  a log of {log:6}: answers after {answers:.2f} s, {answers / first:.2f} of none; leads "
                f"after {leads:.2f} s; {resident(cluster.processes['g1']) / 1e6:.0f} MB"
            )


# ---- polls


async def polling(address, gateways, parts, over, told):
    """Gateways that follow and poll for these parts, each on a connection of its own, until `over`."""

    async def one(name):
        caller, after = await Caller.to(address), 0
        follow = {"id": f"f/{name}", "kind": "follow", "gateway": name}
        code, body = await caller.ask("POST", "/v1/commands", follow)
        since = after = msgspec.json.decode(body)["at"]
        while not over.is_set():
            code, body = await caller.ask(
                "GET", f"/v1/events?after={after}&gateway={name}&since={since}{parts}"
            )
            if code == 200:
                after = msgspec.json.decode(body)["at"]
                told.append(after)
        caller.close()

    await asyncio.gather(*(one(f"gw{at}") for at in range(gateways)))


def polls(told):
    """Reservations, which wake no gateway that asks for its parts; and for all that changes, so that each
    command wakes each gateway, as a change of nodes does."""
    rounds, alone = told.count or 3, None
    print(
        "polls: one member, one client that has 20 reservations a second made or ended, while gateways poll"
    )
    for gateways, parts in ((0, ""), *((many, parts) for parts in (HEEDED, "") for many in GATEWAYS)):
        with Cluster(told.place / f"polls-{gateways}{len(parts)}", ["g1"], times=TOLD) as cluster:
            cluster.start().wait_leader()
            declare(cluster)
            idle, took = polled(cluster, gateways, parts, rounds)
        cost, p50, p99, events = (statistics.median(one) for one in zip(*took, strict=True))
        alone = alone or cost
        each = f", {(cost - alone) * 1e6 / gateways:.0f} us a gateway" if gateways else ""
        print(
            f"  {gateways:4} gateways {'for their parts' if parts else 'for all' if gateways else ''}: "
            f"{cost * 1e3:.2f} ms of CPU a command, {cost / alone:.1f} of none{each}, p50 {ms(p50)} ms, p99 "
            f"{ms(p99)} ms, {events:.0f} answers a command; idle {statistics.median(idle):.1%} of a core"
        )


def polled(cluster, gateways, parts, rounds):
    """Shares of a core that polls alone take; and of rounds of commands: CPU seconds each, p50, p99, answers
    to polls for each."""
    process, over, heard, idle, took = cluster.processes["g1"], threading.Event(), [], [], []
    run = lambda: asyncio.run(polling(cluster.listens["g1"], gateways, parts, over, heard))  # noqa: E731
    thread = threading.Thread(target=run)
    thread.start()
    until(lambda: len(heard) >= gateways, "all poll")
    for _ in range(rounds):
        before, began = cpu(process), time.monotonic()
        time.sleep(3)
        idle.append((cpu(process) - before) / (time.monotonic() - began))
        before, count = cpu(process), len(heard)
        some = paced(cluster.listens["g1"], 60, 0.05)
        cost, answers = (cpu(process) - before) / 60, (len(heard) - count) / 60
        took.append((cost, some.took(0.5), some.took(0.99), answers))
    over.set()
    thread.join()
    return idle, took


def paced(address, count, pause):
    """So many commands by one client, with a pause after each."""

    async def run():
        found, call, caller = Load(), Turns(), await Caller.to(address)
        began = time.perf_counter()
        for number in range(count):
            before = time.perf_counter()
            code, body = await caller.ask(*call(0, number))
            assert code == 200, body
            found.answers.append((time.perf_counter(), time.perf_counter() - before))
            await asyncio.sleep(pause)
        found.seconds = time.perf_counter() - began
        caller.close()
        return found

    return asyncio.run(run())


PARTS = {
    "gap": gap,
    "rate": rate,
    "reads": reads,
    "held": held,
    "snapshot": snapshot,
    "memory": memory,
    "polls": polls,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []])
    parser.add_argument("--count", type=int, help="faults of each kind, or rounds")
    parser.add_argument("--folder")
    told = parser.parse_args()
    count = told.count
    with tempfile.TemporaryDirectory(dir=told.folder) as place:
        for part in told.parts or PARTS:
            told.place, told.count, began = Path(place), count, time.monotonic()
            PARTS[part](told)
            load_now = os.getloadavg()[0]
            cores = len(os.sched_getaffinity(0))
            print(
                f"  ({time.monotonic() - began:.0f} s, {cores} cores allowed, load {load_now:.0f})",
                flush=True,
            )


if __name__ == "__main__":
    main()
