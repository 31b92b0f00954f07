"""Worlds of one log, a few relays and dozens of gateways, with injected faults. Schedules, and the drawing
and shrinking of them, are those of `simulated/`."""

import random

from lemonlead.standins.simulated import schedules as plain
from lemonlead.standins.simulated.schedules import InjectedFault, PlayResult, Schedule, shrink
from lemonlead.standins.simulated.world import InvariantViolation, World

from .checks import EQUAL_WITHIN, Checker, Everywhere, all_checkers
from .gateways import Gateway
from .links import MS, SECOND, Links
from .log import SERVICES, Changes, Log
from .relays import GRACE, LEASE, Relay

FAULT_SPAN_MS = 16_000  # in which faults begin
HEAL_AFTER_MS = 6_000  # after the span, all faults end
SETTLE_TIME = LEASE + GRACE + 3 * SECOND  # after which gone gateways are not counted any more
REPORTED_WITHIN = 6 * SECOND  # after SETTLE_TIME, until all is reported in force everywhere
CHECK_INTERVAL = 250 * MS  # between two checks
CHANGE_INTERVAL_MS = 250  # mean time between two ordinary changes
REGIONS = 3
GATEWAY_COUNTS = (18, 26)  # minimum and maximum
RATES = (4000, 8000, 8000)  # bytes a second; one of them is drawn for a world
BURST_BYTES = 10 * 1024  # the minimum that the relay's settings accept
WARM_UP_MS = 6_000  # before the first fault, for the first snapshots of all gateways

KINDS = {  # kind: (weight, minimum and maximum length in milliseconds)
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
    return plain.draw(seed, kinds, KINDS, FAULT_SPAN_MS)


class Play:
    """A world of one log, `schedule.members` relays and 18 to 26 gateways. Tests of the checkers pass
    faulty classes: `relay_classes` in place of Store, Outbox and Acknowledgements, by the names `store`,
    `outbox` and `acknowledged`; `make_subscriber` in place of Subscriber."""

    def __init__(self, schedule, relay_classes=None, make_subscriber=None, checkers=None):
        self.schedule = schedule
        self.world, seed = World(schedule.seed), schedule.seed
        self.rng, self.check_rng = random.Random(f"play {seed}"), random.Random(f"looks {seed}")
        self.links = Links(self.world)
        self.log, self.other = Log("c"), Log("d")
        self.logs = {"c": self.log, "d": self.other}
        self.changes, others = Changes(self.log, seed), Changes(self.other, f"other {seed}")
        for _ in range(40):
            self.changes.make_change(), others.make_change()
        self.rate = self.rng.choice(RATES)
        self.burst = BURST_BYTES
        self.checkers = checkers or all_checkers()
        self.listeners = {}  # event to the methods of the checkers that override it
        for checker in self.checkers:
            checker.play = self
        self.relays = [
            Relay(self, f"relay{n}", f"r{n % REGIONS}", self.log, self.rate, self.burst, relay_classes)
            for n in range(schedule.members)
        ]
        self.addresses = {f"10.9.0.{n}:80": relay for n, relay in enumerate(self.relays)}
        listed = [(relay.name, relay.region, address) for address, relay in self.addresses.items()]
        services = [f"svc-{number}" for number in range(SERVICES)]
        self.gateways = []
        for number in range(self.rng.randint(*GATEWAY_COUNTS)):
            scopes = ["", *self.rng.sample(services, self.rng.randint(1, 3))]
            scopes += ["large"] if number % 4 == 0 else []
            more = {"make_subscriber": make_subscriber} if make_subscriber else {}
            self.gateways.append(Gateway(self, f"g{number}", f"r{number % REGIONS}", scopes, listed, **more))
        self.named = {gateway.name: gateway for gateway in self.gateways}
        self.relays_named = {relay.name: relay for relay in self.relays}
        self.healed = False

    # ---- used by relays, gateways and checkers

    def relay_at(self, address):
        return self.addresses[address]

    def relay_named(self, name):
        return self.relays_named[name]

    def gateway(self, name):
        return self.named[name]

    def notify(self, what, *args):
        """Calls the method `what` of each checker that overrides it, in the order of the checkers."""
        functions = self.listeners.get(what)
        if functions is None:
            default = getattr(Checker, what)
            overriding = [checker for checker in self.checkers if getattr(type(checker), what) is not default]
            functions = self.listeners[what] = [getattr(checker, what) for checker in overriding]
        for function in functions:
            function(*args)

    def checker(self, kind):
        return next(checker for checker in self.checkers if isinstance(checker, kind))

    def fail(self, checker, message):
        raise InvariantViolation(checker, message, self.world.now)

    def applied_state(self, gateway):
        """Returns the part of a gateway's state that an invalid line must not change."""
        one = gateway.subscriber
        return dict(one.complete), {scope: dict(rows) for scope, rows in one.records.items()}

    def choose_indexes(self):
        """Returns the pairs (scope, index) that the checkers compare with the reports of what is in force:
        the last change of the scope that all gateways have and of one drawn scope, and a recent change of
        another one."""
        scopes = [self.check_rng.choice(self.changes.scopes()) for _ in range(2)]
        chosen = []
        for scope, back in ("", 1), (scopes[0], 1), (scopes[1], self.check_rng.randint(1, 4)):
            known = [
                index for index in self.log.changed_indexes[scope][-40:] if index <= self.log.reported_index
            ]
            if len(known) >= back:
                chosen.append((scope, known[-back]))
        return chosen

    # ---- the run

    def run(self):
        world = self.world
        for relay in self.relays:
            relay.start()
        for gateway in self.gateways:
            world.after(self.rng.randint(0, 500) * MS, gateway.start)
        self.tick()
        self.change()
        for fault in self.schedule.faults:
            world.after((WARM_UP_MS + fault.at_ms) * MS, self.inject, fault)
        world.run((WARM_UP_MS + FAULT_SPAN_MS + HEAL_AFTER_MS) * MS)
        self.heal()
        healed = world.now
        allowed = EQUAL_WITHIN + self.snapshots() * SECOND // self.rate
        if not world.run(healed + allowed, self.equal):
            raise InvariantViolation(
                "Equal", f"{self.find_difference()}, {allowed // MS} ms after all was healed", world.now
            )
        world.counts["slowest to be equal, ms"] = (world.now - healed) // MS
        world.run(world.now + SETTLE_TIME)
        if not self.equal():
            raise InvariantViolation("Equal", f"{self.find_difference()}, after all was equal", world.now)
        everywhere = self.checker(Everywhere)
        if not world.run(world.now + REPORTED_WITHIN, lambda: not everywhere.find_missing_report()):
            raise InvariantViolation("Everywhere", everywhere.find_missing_report(), world.now)
        self.notify("run_ended")

    def snapshots(self):
        """Returns an upper bound of the bytes of the largest set of snapshots that a gateway gets at its
        start."""
        return max(
            sum(250 * len(self.log.records_of(scope, self.log.index)) for scope in gateway.scopes)
            for gateway in self.gateways
        )

    def tick(self):
        self.notify("tick")
        self.world.after(CHECK_INTERVAL, self.tick)

    def change(self):
        if not self.healed:
            self.changes.make_change()
            self.world.after(self.rng.randint(20, 2 * CHANGE_INTERVAL_MS) * MS, self.change)

    def equal(self):
        return not self.find_difference()

    def find_difference(self):
        """Returns a gateway that acts on anything but the log's state; empty if there is none."""
        for gateway in self.gateways:
            if not gateway.up or not gateway.in_force:
                return f"{gateway.name} acts on nothing"
            if any(scope not in gateway.scopes for scope, _ in gateway.in_force):
                return f"{gateway.name} acts on more than its scopes"
            for scope in gateway.scopes:
                rows = self.final_records.get(scope, {})
                has = {key: record for (of, key), record in gateway.in_force.items() if of == scope}
                if has != rows:
                    keys = {key for key in {*has, *rows} if has.get(key) != rows.get(key)}
                    key = min(keys)
                    return (
                        f"{gateway.name} differs in {len(keys)} of {scope!r}: {key} is {has.get(key)}, not "
                        f"{rows.get(key)}"
                    )
                complete = gateway.subscriber.complete.get(scope, 0)
                if complete < self.final_indexes[scope]:
                    return (
                        f"{gateway.name} has {scope!r} complete to {complete}, "
                        f"not {self.final_indexes[scope]}"
                    )
        return ""

    def heal(self):
        self.healed = True
        self.links.heal()
        if self.log.is_silent:
            self.log.resume()
        self.changes.repair_settings()
        for relay in self.relays:
            relay.is_lagging, relay.line_fault = False, None
            if relay.log is not self.log:
                self.restore_log(relay)
            relay.resume()
            relay.start()
        for gateway in self.gateways:
            gateway.resume()
            if gateway.cluster not in ("", self.log.cluster):
                gateway.kill()  # it began with another cluster's state, so an operator has to restart it
            gateway.start()
        state = self.log.state(self.log.index)
        self.final_records = {
            scope: {key: record for key, (_, record) in rows.items()} for scope, rows in state.items()
        }
        self.final_indexes = {scope: indexes[-1] for scope, indexes in self.log.changed_indexes.items()}

    # ---- faults, by the name of their kind

    def inject(self, fault):
        self.world.count(f"trouble: {fault.kind}")
        relays = sorted(self.relays, key=lambda relay: (-len(relay.streams) if relay.up else 0, relay.name))
        getattr(self, fault.kind)(relays[fault.target % len(relays)], fault)

    def after_fault(self, fault, function, *args):
        """Calls the function at the end of the fault, unless all faults were ended before."""
        self.world.after(fault.length_ms * MS, lambda: None if self.healed else function(*args))

    def choose_gateways(self, fault, most=6):
        rng = random.Random(fault.variant)
        return rng.sample(self.gateways, rng.randint(1, most))

    def kill(self, relay, fault):
        relay.kill()
        self.after_fault(fault, relay.start)

    lost = kill

    def freeze(self, relay, fault):
        relay.freeze()
        self.after_fault(fault, relay.resume)

    thaw_late = freeze

    def cut_lines(self, fault, pairs):
        self.links.cut(pairs)
        self.after_fault(fault, self.links.restore, pairs)

    def cut_in(self, relay, fault):
        self.cut_lines(fault, [(gateway.name, relay.name) for gateway in self.gateways])

    def cut_out(self, relay, fault):
        self.cut_lines(fault, [(relay.name, gateway.name) for gateway in self.gateways])

    def cut_log(self, relay, fault):
        pairs = [(relay.name, "log"), ("log", relay.name)]
        self.cut_lines(fault, pairs[fault.variant % 3 % 2 :][: 1 + fault.variant % 2])

    def region(self, relay, fault):
        """Cuts the relays and gateways of a region off from all others and from the log."""
        within = {one.name for one in [*self.relays, *self.gateways] if one.region == relay.region}
        outside = [one.name for one in [*self.relays, *self.gateways] if one.name not in within] + ["log"]
        within = sorted(within)
        pairs = [(a, b) for a in within for b in outside] + [(b, a) for a in within for b in outside]
        self.cut_lines(fault, pairs)

    def leader(self, relay, fault):
        """The log has no leader during a wave of drains, then reports many changes at once."""
        if not self.log.is_silent:
            self.log.silence()
            self.changes.wave()
            self.after_fault(fault, self.log.resume)

    def restart(self, relay, fault):
        for gateway in self.choose_gateways(fault):
            gateway.kill()
            self.after_fault(fault, gateway.start)

    def restart_in_snapshot(self, relay, fault):
        """Restarts gateways, and kills them again while their snapshot is being sent."""
        for gateway in self.choose_gateways(fault, 8):
            gateway.kill()
            gateway.start()
            self.after_fault(fault, gateway.kill)
            self.world.after(fault.length_ms * MS + 5 * MS, lambda one=gateway: self.healed or one.start())

    def restart_frozen(self, relay, fault):
        """Restarts gateways while their relay is frozen, so that it reads the requests of both processes in
        any order."""
        relay.freeze()
        rng = random.Random(fault.variant)
        self.changes.wave()
        for gateway in self.gateways:
            if gateway.name in relay.streams and rng.random() < 0.5:
                self.world.after(
                    rng.randint(0, fault.length_ms // 2) * MS, lambda one=gateway: self.renew(one)
                )
        self.after_fault(fault, relay.resume)

    def renew(self, gateway):
        if not self.healed:
            gateway.kill()
            gateway.start()

    def older(self, relay, fault):
        """The relay restarts with an old state, and lags for a while."""
        relay.kill()
        relay.is_lagging = True
        back = max(self.log.reported_index - 10 - fault.variant % 150, 1)
        relay.start(older=back)
        self.after_fault(fault, setattr, relay, "is_lagging", False)

    def lag(self, relay, fault):
        relay.is_lagging = True
        self.after_fault(fault, setattr, relay, "is_lagging", False)

    def impostor(self, relay, fault):
        """Another cluster's relay runs under the address for a while. Never under all addresses, which
        would be a new cluster."""
        if sum(one.log is not self.log for one in self.relays) >= len(self.relays) - 1:
            return
        relay.kill()
        relay.log = self.other
        relay.start()
        self.after_fault(fault, self.restore_log, relay)

    def restore_log(self, relay):
        relay.kill()
        relay.log = relay.own_log
        relay.start()

    def spoil_lines(self, relay, fault, how):
        relay.line_fault = how, 0.02 + fault.variant / 5000
        self.after_fault(fault, setattr, relay, "line_fault", None)

    def garbled(self, relay, fault):
        self.spoil_lines(relay, fault, "garbled")

    def nonsense(self, relay, fault):
        self.spoil_lines(relay, fault, "nonsense")

    def endless(self, relay, fault):
        self.spoil_lines(relay, fault, "endless")

    def short(self, relay, fault):
        self.spoil_lines(relay, fault, "short")

    def repeated(self, relay, fault):
        self.spoil_lines(relay, fault, "repeated")

    def holes(self, relay, fault):
        """Leaves out lines without ending the stream."""
        self.spoil_lines(relay, fault, "holes")

    def jump(self, relay, fault):
        """The relay's clock jumps forward by up to 30 s or by an hour."""
        relay.clock_jump += 3600 * SECOND if fault.variant % 4 == 0 else (1 + fault.variant % 30) * SECOND
        self.changes.wave()

    def jump_gateway(self, relay, fault):
        for gateway in self.choose_gateways(fault):
            gateway.clock_jump += (
                3600 * SECOND if fault.variant % 4 == 0 else (1 + fault.variant % 30) * SECOND
            )

    def slow(self, relay, fault):
        """Freezes gateways, which then read nothing."""
        for gateway in self.choose_gateways(fault):
            gateway.freeze()
            self.after_fault(fault, gateway.resume)
        self.changes.wave()

    def all_gateways(self, relay, fault):
        for gateway in self.gateways:
            gateway.kill()
            self.after_fault(fault, gateway.start)

    def all_relays(self, relay, fault):
        for one in self.relays:
            one.kill()
            self.after_fault(fault, one.start)

    def both(self, relay, fault):
        self.all_relays(relay, fault)
        self.all_gateways(relay, fault)

    def wave(self, relay, fault):
        self.changes.wave()

    def unfit(self, relay, fault):
        """Commits a setting that no gateway can use, and repairs it 3 s later."""
        self.changes.unfit()
        self.world.after(3 * SECOND, self.changes.repair_settings)

    def rescope(self, relay, fault):
        """Changes the scopes of gateways: drops some services and adds others."""
        rng = random.Random(fault.variant)
        services = [f"svc-{number}" for number in range(SERVICES)]
        for gateway in self.choose_gateways(fault, 10):
            kept = [scope for scope in gateway.scopes if not scope.startswith("svc") or rng.random() < 0.5]
            more = rng.sample(services, rng.randint(1, 3))
            gateway.rescope([*kept, *(scope for scope in more if scope not in kept)])


def play(schedule, **more):
    return plain.play(schedule, Play, **more)


__all__ = ["KINDS", "Play", "PlayResult", "Schedule", "InjectedFault", "draw", "play", "shrink"]
