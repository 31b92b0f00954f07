"""The five rules hold with any settings, and each check of the rules finds an injected fault."""

import os

import pytest
from any_settings import BEGIN, MS, WORLD, InvariantChecker, Simulation, Stuck, event_counts, violations_of
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as some

from lemonlead import interface
from lemonlead.balance import Balancer
from lemonlead.standins.fleet import SETTINGS
from lemonlead.start_settings import start_from_settings

EXAMPLES = int(os.environ.get("ANY_SETTINGS", 150))

TIMES = some.sampled_from([0, 0.001, 1, 5.0, 50, 150.0, 1000.0, 8000, 30_000.0, 1e7, 1e13])
FIGURES = some.sampled_from([0, 0.001, 0.5, 1, 2.0, 10, 1000.0, 1e15])
SHARES = some.sampled_from([0, 0.01, 0.05, 0.3, 0.47, 0.9, 1, 1.0])
FLAGS = some.booleans()


def some_of(required, optional):
    return some.fixed_dictionaries(required, optional=optional)


def lanes_of(names):
    request_class = {
        "GiveUp": some.sampled_from([0, 1, 20, 150.0, 1000.0, 5000.0, 30_000.0, 1e13]),
        "Slo": TIMES,
        "Effect": some.sampled_from(["idempotent", "deduplicated", "at_most_once"]),
        "Window": TIMES,
    }
    more = {
        "AimStretch": FIGURES,
        "LateWorth": SHARES,
        "Worth": FIGURES,
        "Stream": FLAGS,
        "Group": some.sampled_from(["all", "zone", "cell"]),
    }
    return some.tuples(*[some_of({**request_class, "Name": some.just(name)}, more) for name in names]).map(
        list
    )


def named(most):
    return some.integers(1, most).map(lambda number: [f"n{one}" for one in range(number)])


ANY = some_of(
    {
        "Lanes": some.one_of(named(3), named(40)).flatmap(lanes_of),
        "Limits": some_of(
            {},
            {
                "AttemptsCap": some.sampled_from([1, 2, 5, 1000]),
                "Cancel": FLAGS,
                "ConnectTimeout": TIMES,
                "IdleClose": TIMES,
                "MaxRetryAfter": TIMES,
                "MayDuplicate": FLAGS,
                "Probes": FLAGS,
                "RetryAfter": FLAGS,
            },
        ),
        "Obligations": some_of(
            {},
            {
                "AnswerSlack": some.just(20.0),
                "AskWithin": some.sampled_from([0, 50, 200, 1000, 1e4, 1e13]),
                "Cold": TIMES,
                "ColdFrom": SHARES,
                "DrainGrace": TIMES,
                "Fall": TIMES,
                "OverloadFactor": some.sampled_from([1, 1.0, 1.5, 4.0, 1e6]),
            },
        ),
    },
    {
        "Areas": named(4),
        "Az": some.integers(0, 3),
        "Balancers": some.sampled_from([1, 2, 7, 40, 500]),
        "Discovery": some.sampled_from(["ask", "push"]),
        "Me": some.integers(0, 499),
        "Skus": named(3),
        "Step": some.sampled_from([0, 0.5, 5.0, 25]),
        "OverShareWorth": SHARES,
        "Projects": named(30).map(lambda names: [{"Name": name, "QuotaPerS": 1.0} for name in names]),
        "Report": some.sampled_from([{"Fields": []}, {"Fields": ["svc_ms"], "How": "inline"}]),
        "Tariffs": some_of({}, {"CrossZone": FIGURES}),
        "WorthBy": some.sampled_from(["request", "work"]),
        "FamilyInfo": some_of(
            {},
            {
                "ApiTimeout": TIMES,
                "AyesNeeded": some.integers(0, 9),
                "NoesNeeded": some.integers(0, 9),
                "Bake": TIMES,
                "BallotTtl": TIMES,
                "CapScope": some.sampled_from(["all", "each_class"]),
                "Control": some.sampled_from(["first_voice", "by_count", "automatic"]),
                "ExposureWindow": TIMES,
                "ForwardOnly": FLAGS,
                "GuardedStages": some.integers(0, 3),
                "SpareTries": FIGURES,
                "StageCap": some.lists(SHARES, max_size=4),
                "Steps": some.lists(SHARES, max_size=4),
                "Style": some.sampled_from(["parallel", "replace"]),
                "VoteAllowance": FIGURES,
            },
        ),
    },
)
WORLDS = some.fixed_dictionaries(
    {
        "seed": some.integers(0, 2**32),
        "instances": some.sampled_from([0, 1, 2, 5, 12]),
        "news": FLAGS,
        "requests": some.sampled_from([1, 10, 80]),
        "bursts": some.sampled_from([0.0, 0.5, 1.0]),
        "gap": some.sampled_from([0.01, 2.0, 30.0, 300.0]),
        "changes": some.sampled_from([0, 8, 40]),
        "apart": some.sampled_from([0.0, 0.5, 1.0]),
        "in_steps": FLAGS,
        "faulty": some.sampled_from([0.0, 0.2, 1.0]),
        "good": some.sampled_from([2, 60, 10_000]),
        "slow": some.sampled_from([0.01, 0.2, 3.0]),
        "leave": some.sampled_from([0.0, 0.3]),
        "connects": some.sampled_from([0.0, 0.5]),
        "unheard": some.sampled_from([0.0, 0.5]),
        "hints": FLAGS,
    }
)


@settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=EXAMPLES <= 150,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],  # shrinking takes minutes
)
@given(ANY, WORLDS)
def test_the_five_rules_hold_with_any_settings(told, world):
    assert violations_of(told, world) == []


# ---- faults found this way, each in its smallest form

CALM = {
    "instances": 6,
    "good": 1e9,
    "faulty": 0.0,
    "changes": 0,
    "leave": 0.0,
    "bursts": 0.0,
    "requests": 300,
}


def served_share(told, **world):
    met = event_counts(Simulation({**SETTINGS, **told}, {**WORLD, **CALM, **world}).run())
    return met["final served"] / met["taken"]


@pytest.mark.parametrize("balancers", [1, 500])
@pytest.mark.parametrize(
    ("aim", "deadline"),
    [(0, 1000.0), (0, 0), (None, 5000.0), (5.0, 20.0), (150.0, 500.0), (30_000.0, 60_000.0), (1e13, 1e13)],
)
def test_idle_fleet_serves_nearly_all_with_any_objectives(aim, deadline, balancers):
    """Guards against rejecting requests without a latency objective when many balancers share a fleet."""
    told = {"Name": "look", "Effect": "idempotent", "GiveUp": deadline}
    told |= {} if aim is None else {"Slo": aim}
    gap = min(max((aim or 1000.0) / 20, 2.0), 100.0)
    for request_classes, worth in ((1, 0), (1, 1.0), (40, 1e6)):
        named = [{**told, "Name": f"n{n}", "Worth": worth * (n % 2)} for n in range(request_classes)]
        assert served_share({"Lanes": named, "Balancers": balancers}, gap=gap) > 0.93


def test_failed_list_call_is_repeated_in_time():
    for within, longest in ((50, 100), (200, 400), (450, 900), (10_000, 900), (0, 900)):
        made = Balancer(start_from_settings({**SETTINGS, "Obligations": {"AskWithin": within}}, 7, BEGIN))
        made.list_failed(BEGIN, BEGIN)
        assert longest * MS / 3 <= made.list_call_at - BEGIN <= longest * MS


def test_waiting_request_is_checked_a_few_dozen_times():
    request_classes = [{"Name": "look", "Effect": "idempotent", "Slo": 1e7, "GiveUp": 40_000.0}]
    simulation = Simulation(
        {**SETTINGS, "Lanes": request_classes}, {**WORLD, "instances": 0, "changes": 0, "requests": 20}
    )
    met = event_counts(simulation.run())
    assert met["final busy"] == 20 and simulation.wake_ups < 20 * 40


def with_waiting_attempts(release, at_=BEGIN, key=b"a"):
    """Returns a balancer with build 2 on trial, and by build an attempt that waits to begin (builds 1, 2)."""
    made = Balancer(
        start_from_settings({**SETTINGS, "FamilyInfo": {**SETTINGS["FamilyInfo"], **release}}, 7, BEGIN)
    )
    made.list_received(
        BEGIN, [interface.Instance(f"i{n}", 0, 0, n, 0, interface.READY, 1.0, 0) for n in (1, 2)], True, True
    )
    made.stage_reported(BEGIN, 2, 0, interface.ON_TRIAL, 0.5, 0)
    attempts, made_lane = {}, start_from_settings(SETTINGS, 7, BEGIN).request_classes[0]
    for build in (1, 2):
        request = interface.Request(build, made_lane, 0, key, at_, at_ + 60_000 * MS)
        made.request_arrived(at_, request)
        request.attempts.append(interface.Attempt(request, 0, made.instances[f"i{build}"], at_))
        attempts[build] = request.attempts[0]
    return made, attempts


def test_waiting_attempt_does_not_return_a_key_to_an_older_build():
    made, attempts = with_waiting_attempts({"ForwardOnly": True, "SpareTries": 1000.0})
    assert made.write_deadline(BEGIN, attempts[1])
    made.attempt_ended(BEGIN + MS, attempts[2], interface.SUCCEEDED, MS, True, {})
    assert not made.write_deadline(BEGIN + MS, attempts[1])


def test_waiting_attempt_counts_in_the_window_in_which_it_begins():
    made, attempts = with_waiting_attempts(
        {"SpareTries": 1.0, "ExposureWindow": 1000.0, "StageCap": [0.0001]}
    )
    made.stage_reported(BEGIN, 2, 0, interface.ON_TRIAL, 0.0001, 0)
    other = interface.Request(3, attempts[2].request.request_class, 0, b"", BEGIN, BEGIN + 60_000 * MS)
    late = BEGIN + 5000 * MS
    assert made.write_deadline(late, attempts[2])
    assert not made.may_attempt(other, made.instances["i2"], late)
    assert made.write_deadline(late + MS, attempts[2])  # asked again for the same attempt, it counts once


# ---- each check finds an injected fault


def broken_rules(settings_more, make=Balancer, **world):
    """Returns the numbers of the rules that these simulations break."""
    told = {**SETTINGS, **settings_more}
    return {fault[0] for seed in range(12) for fault in violations_of(told, {"seed": seed, **world}, make)}


class Forgetful(Balancer):
    """Gives up a request without an answer at its deadline."""

    def give_up(self, request, host):
        if not any(attempt.end in (interface.TIMED_OUT, "") for attempt in request.attempts):
            return super().give_up(request, host)
        request.finished = True
        return True


class Late(Balancer):
    def give_up(self, request, host):
        if self.sends_seen(request):
            return super().give_up(request, host)
        request.deadline += 60_000_000
        self.timers.add(request.deadline, request)
        return False

    def sends_seen(self, request):
        seen, request.repeat = request.repeat, True
        return seen


class Repeating(Balancer):
    """Treats attempts that may have run as not run."""

    def may_attempt(self, request, member, now):
        ends = [attempt.end for attempt in request.attempts]
        for attempt in request.attempts:
            attempt.end = attempt.end and interface.REJECTED
        found = super().may_attempt(request, member, now)
        for attempt, end in zip(request.attempts, ends, strict=True):
            attempt.end = end
        return found


class Refusing(Balancer):
    def give_up(self, request, host):
        request.finished = True
        host.reject(request, 0)
        return True


class Impatient(Balancer):
    """Ignores the cap on attempts and the bar on two at once."""

    def __init__(self, start):
        start.attempts_cap, start.may_duplicate = 99, True
        super().__init__(start)


class Deaf(Balancer):
    """Ignores drains."""

    def list_received(self, now, lines, whole, fresh):
        for line in lines:
            line.state = interface.READY
        super().list_received(now, lines, False, fresh)


class Lazy(Balancer):
    def list_failed(self, now, current, turned_away=False):
        self.list_call_at = now + 60_000_000_000


class Rash(Balancer):
    """Treats a cold instance as warm, and chooses it first."""

    def capacity_share(self, member, now):
        return 1.0

    def cost(self, member, request, now):
        return 0.0 if self.warmth(member, now) < 1 else 1.0


class Bold(Balancer):
    """Ignores the exposure cap."""

    def within_exposure_cap(self, build, request, now):
        return True

    def choose(self, request, now, whole=False):
        return super().choose(request, now, True)


class Backward(Balancer):
    """Forgets which keys a build has answered."""

    def attempt_ended(self, now, attempt, *rest):
        super().attempt_ended(now, attempt, *rest)
        attempt.instance.build.answered_keys.clear()


GUARDED = {**SETTINGS["FamilyInfo"], "GuardedStages": 2, "StageCap": [1.0, 1.0], "SpareTries": 1000.0}
COLD = {"Cold": 5000.0, "ColdFrom": 0.1, "DrainGrace": 250.0, "Fall": 3000.0, "OverloadFactor": 1.5}
ONE_WAY = {**SETTINGS["FamilyInfo"], "ForwardOnly": True, "StageCap": [0.5, 0.5], "SpareTries": 1000.0}
BAD = {"good": 5, "faulty": 0.3}


@pytest.mark.parametrize(
    ("rule", "make", "told", "world"),
    [
        ("1", Forgetful, {}, BAD),
        ("1", Late, {}, BAD),
        ("2", Repeating, {}, BAD),
        ("2", Refusing, {}, BAD),
        ("2", Impatient, {"Limits": {"AttemptsCap": 5}}, {**BAD, "slow": 2.0}),
        ("2", Impatient, {"Limits": {"AttemptsCap": 2, "MayDuplicate": True}}, {**BAD, "slow": 2.0}),
        ("3", Deaf, {}, {"changes": 40}),
        ("3", Lazy, {"Obligations": {"AskWithin": 200.0}}, {"changes": 40, "unheard": 0.8, "requests": 200}),
        ("4", Rash, {"Obligations": COLD}, {"changes": 40, "instances": 8, "requests": 200}),
        ("5", Bold, {}, {"changes": 40, "requests": 200}),
        ("5", Bold, {"FamilyInfo": GUARDED}, {"changes": 40}),
        ("5", Backward, {"FamilyInfo": ONE_WAY}, {"changes": 40, "requests": 200}),
    ],
)
def test_injected_fault_is_found(rule, make, told, world):
    assert broken_rules(told, **world) == set()
    assert rule in broken_rules(told, make=make, **world)


def test_endless_decisions_or_wake_ups_are_found():
    class Spinning(Balancer):
        def decide(self, now, host):
            super().decide(now, host)
            return True

    class Restless(Balancer):
        def wake_at(self):
            return self.last_arrival

    for make in (Spinning, Restless):
        with pytest.raises(Stuck):
            violations_of(SETTINGS, {}, make)


def test_simulations_include_all_kinds_of_events():
    alone = {**SETTINGS, "Limits": {**SETTINGS["Limits"], "MayDuplicate": False}}
    simulations = [
        Simulation(told, {**WORLD, "seed": seed}) for told in (SETTINGS, alone) for seed in range(20)
    ]
    record = [event for simulation in simulations for event in simulation.run()]
    met = event_counts(record)
    kinds = ["list", "stage", "watch asked", "watch failed", "watch broke", "vote", "cancel"]
    kinds += ["final served", "final busy", "final failed", "final left"]
    assert not [kind for kind in kinds if not met[kind]], met
    assert not InvariantChecker(SETTINGS, record[:1]).found
