"""Worlds of one log, a few relays and dozens of gateways, and the troubles that befall them. The shapes of
schedules, their drawing and shrinking are those of `simulated/`."""

import random

from lemonlead.standins.simulated import schedules as plain
from lemonlead.standins.simulated.schedules import PlayResult, Schedule, InjectedFault, shrink
from lemonlead.standins.simulated.world import InvariantViolation, World

from .checks import EQUAL_IN, Everywhere, Judge, all_judges
from .gateways import Gateway
from .links import MS, SECOND, Links
from .log import SERVICES, Changes, Log
from .relays import GRACE, LEASE, Relay

SPAN = 16_000  # milliseconds in which troubles begin
HEALS = 6_000  # after the span all is healed
SETTLES = LEASE + GRACE + 3 * SECOND  # and once all is equal, who is gone is counted no more
TOLD = 6 * SECOND  # and then it is told to be in force everywhere within so long
TICK = 250 * MS  # between two looks of the judges
CHANGES = 250  # milliseconds between two ordinary changes, in the mean
REGIONS = 3
GATEWAYS = (18, 26)
RATES = (4000, 8000, 8000)  # bytes a second, one for a whole world
BURST = 10 * 1024  # the least that is taken
WARM = 6_000  # milliseconds before the first trouble: all gateways take their first snapshots

KINDS = {  # kind: (weight, least length, most length)
    "kill": (8, 100, 4000),
    "lost": (3, 20000, 22000),
    "freeze": (8, 500, 9000),
    "thaw_late": (3, 13000, 16000),
    "cut_in": (5, 500, 9000),
    "cut_out": (5, 500, 9000),
    "cut_log": (5, 500, 12000),
    "region": (6, 1000, 14000),
    "leader": (6, 500, 6000),
    "restart": (6, 100, 1500),
    "restart_in_snapshot": (8, 20, 500),
    "restart_frozen": (5, 600, 4000),
    "older": (7, 200, 6000),
    "lag": (5, 1000, 6000),
    "impostor": (4, 1000, 8000),
    "garbled": (4, 500, 4000),
    "nonsense": (4, 500, 4000),
    "endless": (3, 500, 2000),
    "short": (4, 500, 4000),
    "repeated": (4, 500, 4000),
    "holes": (4, 500, 4000),
    "jump": (5, 0, 0),
    "jump_gateway": (4, 0, 0),
    "slow": (5, 500, 9000),
    "all_gateways": (4, 50, 2000),
    "all_relays": (4, 50, 3000),
    "both": (3, 50, 2000),
    "wave": (8, 0, 0),
    "unfit": (4, 0, 0),
    "rescope": (5, 0, 0),
}


def draw(seed, kinds=None):
    return plain.draw(seed, kinds, KINDS, SPAN)


class Play:
    """A world of one log, `schedule.members` relays and 18 to 26 gateways. Tests of the checkers pass faulty
    classes: `relay_classes`, in place of Store, Outbox and Acknowledgements by the names `store`, `outbox` and
    `acknowledged`, and `make_subscriber`, in place of Subscriber."""

    def __init__(self, schedule, relay_classes=None, make_subscriber=None, judges=None):
        self.schedule = schedule
        self.world, seed = World(schedule.seed), schedule.seed
        self.chance, self.looks = random.Random(f"play {seed}"), random.Random(f"looks {seed}")
        self.links = Links(self.world)
        self.log, self.other = Log("c"), Log("d")
        self.logs = {"c": self.log, "d": self.other}
        self.changes, others = Changes(self.log, seed), Changes(self.other, f"other {seed}")
        for _ in range(40):
            self.changes.one(), others.one()
        self.rate = self.chance.choice(RATES)
        self.burst = BURST
        self.judges = judges or all_judges()
        self.watching = {}  # what judges are told: the functions of those that want it
        for judge in self.judges:
            judge.play = self
        self.relays = [
            Relay(self, f"relay{n}", f"r{n % REGIONS}", self.log, self.rate, self.burst, relay_classes)
            for n in range(schedule.members)
        ]
        self.addresses = {f"10.9.0.{n}:80": relay for n, relay in enumerate(self.relays)}
        told = [(relay.name, relay.region, address) for address, relay in self.addresses.items()]
        services = [f"svc-{number}" for number in range(SERVICES)]
        self.gateways = []
        for number in range(self.chance.randint(*GATEWAYS)):
            scopes = ["", *self.chance.sample(services, self.chance.randint(1, 3))]
            scopes += ["large"] if number % 4 == 0 else []
            more = {"make": make_subscriber} if make_subscriber else {}
            self.gateways.append(Gateway(self, f"g{number}", f"r{number % REGIONS}", scopes, told, **more))
        self.named = {gateway.name: gateway for gateway in self.gateways}
        self.relays_named = {relay.name: relay for relay in self.relays}
        self.healed = False

    # ---- what parties ask

    def at(self, address):
        return self.addresses[address]

    def at_name(self, name):
        return self.relays_named[name]

    def gateway(self, name):
        return self.named[name]

    def tell(self, what, *args):
        """The judges that want it, in their order."""
        functions = self.watching.get(what)
        if functions is None:
            unheeded = getattr(Judge, what)
            wants = [judge for judge in self.judges if getattr(type(judge), what) is not unheeded]
            functions = self.watching[what] = [getattr(judge, what) for judge in wants]
        for function in functions:
            function(*args)

    def judge(self, kind):
        return next(judge for judge in self.judges if isinstance(judge, kind))

    def broken(self, judge, says):
        raise InvariantViolation(judge, says, self.world.now)

    def seen(self, gateway):
        """What a line that says nothing must not move."""
        one = gateway.subscriber
        return dict(one.complete), {scope: dict(rows) for scope, rows in one.records.items()}

    def looked_at(self):
        """(scope, index) whose being in force is asked for: the last change of the scope for all and of one
        by chance, and a change of lately of a third."""
        scopes = [self.looks.choice(self.changes.scopes()) for _ in range(2)]
        asked = []
        for scope, back in ("", 1), (scopes[0], 1), (scopes[1], self.looks.randint(1, 4)):
            known = [index for index in self.log.touched[scope][-40:] if index <= self.log.reported_index]
            if len(known) >= back:
                asked.append((scope, known[-back]))
        return asked

    # ---- the run

    def run(self):
        world = self.world
        for relay in self.relays:
            relay.start()
        for gateway in self.gateways:
            world.after(self.chance.randint(0, 500) * MS, gateway.start)
        self.tick()
        self.change()
        for fault in self.schedule.faults:
            world.after((WARM + fault.at) * MS, self.befall, fault)
        world.run((WARM + SPAN + HEALS) * MS)
        self.heal()
        healed = world.now
        allowed = EQUAL_IN + self.snapshots() * SECOND // self.rate
        if not world.run(healed + allowed, self.equal):
            raise InvariantViolation(
                "Equal", f"{self.unequal()}, {allowed // MS} ms after all was healed", world.now
            )
        world.counts["slowest to be equal, ms"] = (world.now - healed) // MS
        world.run(world.now + SETTLES)
        if not self.equal():
            raise InvariantViolation("Equal", f"{self.unequal()}, after all was equal", world.now)
        everywhere = self.judge(Everywhere)
        if not world.run(world.now + TOLD, lambda: not everywhere.lacking()):
            raise InvariantViolation("Everywhere", everywhere.lacking(), world.now)
        self.tell("ended")

    def snapshots(self):
        """Bytes of all that the gateway with most is told at its start, generously."""
        return max(
            sum(250 * len(self.log.records_of(scope, self.log.index)) for scope in gateway.scopes)
            for gateway in self.gateways
        )

    def tick(self):
        self.tell("tick")
        self.world.after(TICK, self.tick)

    def change(self):
        if not self.healed:
            self.changes.one()
            self.world.after(self.chance.randint(20, 2 * CHANGES) * MS, self.change)

    def equal(self):
        return not self.unequal()

    def unequal(self):
        """Who acts on what else than the log's state; empty where none does."""
        for gateway in self.gateways:
            if not gateway.up or not gateway.force:
                return f"{gateway.name} acts on nothing"
            if any(scope not in gateway.scopes for scope, _ in gateway.force):
                return f"{gateway.name} acts on more than its scopes"
            for scope in gateway.scopes:
                rows = self.standing.get(scope, {})
                has = {key: record for (of, key), record in gateway.force.items() if of == scope}
                if has != rows:
                    keys = {key for key in {*has, *rows} if has.get(key) != rows.get(key)}
                    key = min(keys)
                    return (
                        f"{gateway.name} differs in {len(keys)} of {scope!r}: {key} is {has.get(key)}, not "
                        f"{rows.get(key)}"
                    )
                complete = gateway.subscriber.complete.get(scope, 0)
                if complete < self.newest[scope]:
                    return f"{gateway.name} has {scope!r} complete to {complete}, not {self.newest[scope]}"
        return ""

    def heal(self):
        self.healed = True
        self.links.heal()
        if self.log.is_silent:
            self.log.resume()
        self.changes.mend()
        for relay in self.relays:
            relay.lags, relay.mischief = False, None
            if relay.log is not self.log:
                self.real(relay)
            relay.go_on()
            relay.start()
        for gateway in self.gateways:
            gateway.go_on()
            if gateway.cluster not in ("", self.log.cluster):
                gateway.kill()  # its operator starts it anew: it began with another cluster's state
            gateway.start()
        state = self.log.state(self.log.index)
        self.standing = {
            scope: {key: record for key, (_, record) in rows.items()} for scope, rows in state.items()
        }
        self.newest = {scope: indexes[-1] for scope, indexes in self.log.touched.items()}

    # ---- troubles

    def befall(self, fault):
        self.world.count(f"trouble: {fault.kind}")
        relays = sorted(self.relays, key=lambda relay: (-len(relay.streams) if relay.up else 0, relay.name))
        getattr(self, fault.kind)(relays[fault.whom % len(relays)], fault)

    def later(self, fault, function, *args):
        """Once it has lasted, unless all was healed before."""
        self.world.after(fault.length * MS, lambda: None if self.healed else function(*args))

    def some(self, fault, most=6):
        chance = random.Random(fault.more)
        return chance.sample(self.gateways, chance.randint(1, most))

    def kill(self, relay, fault):
        relay.kill()
        self.later(fault, relay.start)

    lost = kill

    def freeze(self, relay, fault):
        relay.freeze()
        self.later(fault, relay.go_on)

    thaw_late = freeze

    def sever(self, fault, pairs):
        self.links.cut(pairs)
        self.later(fault, self.links.mend, pairs)

    def cut_in(self, relay, fault):
        self.sever(fault, [(gateway.name, relay.name) for gateway in self.gateways])

    def cut_out(self, relay, fault):
        self.sever(fault, [(relay.name, gateway.name) for gateway in self.gateways])

    def cut_log(self, relay, fault):
        pairs = [(relay.name, "log"), ("log", relay.name)]
        self.sever(fault, pairs[fault.more % 3 % 2 :][: 1 + fault.more % 2])

    def region(self, relay, fault):
        """Its relays and gateways hear and tell nothing outside."""
        within = {one.name for one in [*self.relays, *self.gateways] if one.region == relay.region}
        outside = [one.name for one in [*self.relays, *self.gateways] if one.name not in within] + ["log"]
        within = sorted(within)
        pairs = [(a, b) for a in within for b in outside] + [(b, a) for a in within for b in outside]
        self.sever(fault, pairs)

    def leader(self, relay, fault):
        """Under a wave: the log is silent, then tells much at once."""
        if not self.log.is_silent:
            self.log.silence()
            self.changes.wave()
            self.later(fault, self.log.resume)

    def restart(self, relay, fault):
        for gateway in self.some(fault):
            gateway.kill()
            self.later(fault, gateway.start)

    def restart_in_snapshot(self, relay, fault):
        """Killed and back at once, and killed again so soon that its snapshot is under way."""
        for gateway in self.some(fault, 8):
            gateway.kill()
            gateway.start()
            self.later(fault, gateway.kill)
            self.world.after(fault.length * MS + 5 * MS, lambda one=gateway: self.healed or one.start())

    def restart_frozen(self, relay, fault):
        """While their relay stands still, so that it reads both lives' words in any order."""
        relay.freeze()
        chance = random.Random(fault.more)
        self.changes.wave()
        for gateway in self.gateways:
            if gateway.name in relay.streams and chance.random() < 0.5:
                self.world.after(
                    chance.randint(0, fault.length // 2) * MS, lambda one=gateway: self.renew(one)
                )
        self.later(fault, relay.go_on)

    def renew(self, gateway):
        if not self.healed:
            gateway.kill()
            gateway.start()

    def older(self, relay, fault):
        """Comes back with a state of long ago, and lags behind for a while."""
        relay.kill()
        relay.lags = True
        back = max(self.log.reported_index - 10 - fault.more % 150, 1)
        relay.start(older=back)
        self.later(fault, setattr, relay, "lags", False)

    def lag(self, relay, fault):
        relay.lags = True
        self.later(fault, setattr, relay, "lags", False)

    def impostor(self, relay, fault):
        """Under its address is for a while a relay of another cluster; never under all addresses, which would
        be a cluster formed anew."""
        if sum(one.log is not self.log for one in self.relays) >= len(self.relays) - 1:
            return
        relay.kill()
        relay.log = self.other
        relay.start()
        self.later(fault, self.real, relay)

    def real(self, relay):
        relay.kill()
        relay.log = relay.real
        relay.start()

    def spoiled(self, relay, fault, how):
        relay.mischief = how, 0.02 + fault.more / 5000
        self.later(fault, setattr, relay, "mischief", None)

    def garbled(self, relay, fault):
        self.spoiled(relay, fault, "garbled")

    def nonsense(self, relay, fault):
        self.spoiled(relay, fault, "nonsense")

    def endless(self, relay, fault):
        self.spoiled(relay, fault, "endless")

    def short(self, relay, fault):
        self.spoiled(relay, fault, "short")

    def repeated(self, relay, fault):
        self.spoiled(relay, fault, "repeated")

    def holes(self, relay, fault):
        """Lines that are left out, with the stream going on."""
        self.spoiled(relay, fault, "holes")

    def jump(self, relay, fault):
        """Its clock goes forward, by up to half a minute or by an hour."""
        relay.jumped += 3600 * SECOND if fault.more % 4 == 0 else (1 + fault.more % 30) * SECOND
        self.changes.wave()

    def jump_gateway(self, relay, fault):
        for gateway in self.some(fault):
            gateway.jumped += 3600 * SECOND if fault.more % 4 == 0 else (1 + fault.more % 30) * SECOND

    def slow(self, relay, fault):
        """Gateways that stand still, and read nothing."""
        for gateway in self.some(fault):
            gateway.freeze()
            self.later(fault, gateway.go_on)
        self.changes.wave()

    def all_gateways(self, relay, fault):
        for gateway in self.gateways:
            gateway.kill()
            self.later(fault, gateway.start)

    def all_relays(self, relay, fault):
        for one in self.relays:
            one.kill()
            self.later(fault, one.start)

    def both(self, relay, fault):
        self.all_relays(relay, fault)
        self.all_gateways(relay, fault)

    def wave(self, relay, fault):
        self.changes.wave()

    def unfit(self, relay, fault):
        """A setting that no gateway can use, mended after a while."""
        self.changes.unfit()
        self.world.after(3 * SECOND, self.changes.mend)

    def rescope(self, relay, fault):
        """Gateways that route to other services from now on; some to all that they had, and one more."""
        chance = random.Random(fault.more)
        services = [f"svc-{number}" for number in range(SERVICES)]
        for gateway in self.some(fault, 10):
            kept = [scope for scope in gateway.scopes if not scope.startswith("svc") or chance.random() < 0.5]
            more = chance.sample(services, chance.randint(1, 3))
            gateway.rescope([*kept, *(scope for scope in more if scope not in kept)])


def play(schedule, **more):
    return plain.play(schedule, Play, **more)


__all__ = ["KINDS", "Play", "PlayResult", "Schedule", "InjectedFault", "draw", "play", "shrink"]
