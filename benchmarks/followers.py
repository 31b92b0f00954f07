"""What gateways that follow cost a leader: CPU a poll and a change at 1, 10, 100 and 500 of them, as ratios.

`python -m benchmarks.followers`: a whole dispatcher of one member, its disk at once; each gateway polls, is
told of each change and polls again, as over HTTP but without it (encoding the answer is counted)."""

import statistics
import sys
import time

import msgspec

from lemonlead.ledger import capacity, followers, membership
from lemonlead.ledger.dispatcher import Dispatcher
from lemonlead.ledger.records import ConfiguredMember, ReplicaConfig, StoredState
from lemonlead.ledger.state import Ledger

SIZES, CHANGES, ROUNDS, NODES = (1, 10, 100, 500), 30, 5, 1000
MS = 1_000_000


class Door:
    """Writes are done as soon as the dispatcher has nothing else to do; each gateway polls anew at once."""

    def __init__(self):
        self.writes, self.told, self.answers = [], [], {}

    def write(self, write):
        self.writes.append(write.number)

    def answer(self, ticket, code, body):
        self.answers[ticket] = code

    def polled(self, ticket, events, at, state, leader):
        told = [
            {"index": index, "changes": [{"part": p, "key": k, "record": r} for (p, k), r in some.items()]}
            for index, some in events or []
        ]
        self.told.append((ticket, at, len(msgspec.json.encode({"at": at, "events": told}))))

    def nothing(self, *_):
        pass

    send = send_chunk = receive_chunk = readable = snapshot = call = nothing


class World:
    def __init__(self, gateways):
        rules = {**capacity.RULES, **followers.RULES, **membership.RULES}
        kinds = {**capacity.KINDS, **followers.KINDS, **membership.KINDS}
        ledger = Ledger(rules, kinds, followers.INNER)
        state, base = membership.formed({"g1": ConfiguredMember("h:1", "f1")}, membership.LedgerSettings())
        told = ReplicaConfig(cluster="c", name="g1", folder="f1", seed=1)
        self.now, self.door, self.number = 1, Door(), 0
        self.dispatcher = Dispatcher(told, StoredState(term=1, base=base), ledger, state, self.now)
        while self.dispatcher.replica.role != "leader":
            self.now = max(self.dispatcher.wake_at(), self.now + MS)
            self.settle()
        for number in range(NODES):
            self.command("node", node=f"n{number}", site="s", units=100)
        self.names = [f"gw{number}" for number in range(gateways)]
        for name in self.names:
            self.command("follow", gateway=name)
            self.poll(name, self.dispatcher.state.index)
        self.settle()
        self.again()

    def settle(self):
        self.dispatcher.set_clocks(self.now, self.now // MS)
        while True:
            while self.dispatcher.decide(self.now, self.door):
                pass
            if not self.door.writes:
                return
            self.dispatcher.written(self.now, self.door.writes.pop(0))

    def command(self, kind, **fields):
        self.number += 1
        data = msgspec.json.encode({"id": f"b/{self.number}", "kind": kind, **fields})
        self.dispatcher.command(self.now, data, self.number)
        self.settle()
        assert self.door.answers[self.number] == 200

    def poll(self, name, after):
        since = self.dispatcher.state.part("followers")[name].since
        self.dispatcher.poll(self.now, after, name, name, since)

    def again(self):
        """Each gateway that was told polls for what comes after that."""
        while self.door.told:
            told, self.door.told = self.door.told, []
            for name, at, _ in told:
                self.poll(name, at)
            self.settle()

    def change(self, number):
        """One change reaches every gateway; CPU seconds of all of it, and bytes told."""
        self.now += MS
        began = time.process_time()
        self.command("node", node="n0", site="s", units=self.number)
        assert len(self.door.told) == len(self.names)
        size = sum(size for _, _, size in self.door.told)
        self.again()
        return time.process_time() - began, size


def measured(gateways):
    world = World(gateways)
    rounds = [statistics.median(world.change(n)[0] for n in range(CHANGES)) for _ in range(ROUNDS)]
    began = time.process_time()
    waits = world.dispatcher.followers.waited_for(
        world.now, world.dispatcher.state, world.dispatcher.state.index
    )
    return statistics.median(rounds), time.process_time() - began, world.change(0)[1], len(waits)


def main():
    print("gateways  us a change  us a gateway  of 10  us waited for    bytes")
    base = None
    for gateways in SIZES:
        change, waited, size, _ = measured(gateways)
        each = change / gateways
        base = each if gateways == 10 else base
        ratio = f"{each / base:.2f}" if base else "-"
        times = f"{change * 1e6:>12.0f} {each * 1e6:>13.1f} {ratio:>6} {waited * 1e6:>14.0f}"
        print(f"{gateways:>8} {times} {size:>8}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
