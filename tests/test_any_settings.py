"""The five rules hold under any settings, as told; each of the judge's checks catches a fault put in."""

import os

import pytest
from any_settings import BEGIN, MS, WORLD, Judge, Play, Stuck, faults, ways
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as some

from lemonlead import interface as at
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
        "machines": some.sampled_from([0, 1, 2, 5, 12]),
        "news": FLAGS,
        "requests": some.sampled_from([1, 10, 80]),
        "bursts": some.sampled_from([0.0, 0.5, 1.0]),
        "gap": some.sampled_from([0.01, 2.0, 30.0, 300.0]),
        "changes": some.sampled_from([0, 8, 40]),
        "apart": some.sampled_from([0.0, 0.5, 1.0]),
        "in_steps": FLAGS,
        "bad": some.sampled_from([0.0, 0.2, 1.0]),
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
    phases=[Phase.generate],  # to shrink takes minutes
)
@given(ANY, WORLDS)
def test_the_five_rules_hold_under_any_settings(told, world):
    assert faults(told, world) == []


# ---- what was found so, each in its smallest form

CALM = {"machines": 6, "good": 1e9, "bad": 0.0, "changes": 0, "leave": 0.0, "bursts": 0.0, "requests": 300}


def served(told, **world):
    met = ways(Play({**SETTINGS, **told}, {**WORLD, **CALM, **world}).run())
    return met["final served"] / met["taken"]


@pytest.mark.parametrize("balancers", [1, 500])
@pytest.mark.parametrize(
    ("aim", "deadline"),
    [(0, 1000.0), (0, 0), (None, 5000.0), (5.0, 20.0), (150.0, 500.0), (30_000.0, 60_000.0), (1e13, 1e13)],
)
def test_a_calm_fleet_serves_nearly_all_whatever_the_aims_and_worths(aim, deadline, balancers):
    """A class without an aim took none, and where many share the fleet nine in ten were rejected."""
    told = {"Name": "look", "Effect": "idempotent", "GiveUp": deadline}
    told |= {} if aim is None else {"Slo": aim}
    gap = min(max((aim or 1000.0) / 20, 2.0), 100.0)
    for request_classes, worth in ((1, 0), (1, 1.0), (40, 1e6)):
        named = [{**told, "Name": f"n{n}", "Worth": worth * (n % 2)} for n in range(request_classes)]
        assert served({"Lanes": named, "Balancers": balancers}, gap=gap) > 0.93


def test_a_list_whose_call_failed_is_asked_for_anew_before_it_binds_no_more():
    for within, longest in ((50, 100), (200, 400), (450, 900), (10_000, 900), (0, 900)):
        made = Balancer(start_from_settings({**SETTINGS, "Obligations": {"AskWithin": within}}, 7, BEGIN))
        made.list_failed(BEGIN, BEGIN)
        assert longest * MS / 3 <= made.list_call_at - BEGIN <= longest * MS


def test_a_request_that_may_wait_for_long_is_looked_at_but_some_dozens_of_times():
    request_classes = [{"Name": "look", "Effect": "idempotent", "Slo": 1e7, "GiveUp": 40_000.0}]
    play = Play(
        {**SETTINGS, "Lanes": request_classes}, {**WORLD, "machines": 0, "changes": 0, "requests": 20}
    )
    met = ways(play.run())
    assert met["final busy"] == 20 and play.wakes < 20 * 40


def waiting(release, at_=BEGIN, key=b"a"):
    """A balancer that has news of build 2 on trial, and an attempt to build 1 and 2 each that waits to
    begin."""
    made = Balancer(
        start_from_settings({**SETTINGS, "FamilyInfo": {**SETTINGS["FamilyInfo"], **release}}, 7, BEGIN)
    )
    made.list_received(
        BEGIN, [at.Instance(f"i{n}", 0, 0, n, 0, at.READY, 1.0, 0) for n in (1, 2)], True, True
    )
    made.stage_reported(BEGIN, 2, 0, at.ON_TRIAL, 0.5, 0)
    attempts, made_lane = {}, start_from_settings(SETTINGS, 7, BEGIN).request_classes[0]
    for build in (1, 2):
        request = at.Request(build, made_lane, 0, key, at_, at_ + 60_000 * MS)
        made.request_arrived(at_, request)
        request.attempts.append(at.Attempt(request, 0, made.instances[f"i{build}"], at_))
        attempts[build] = request.attempts[0]
    return made, attempts


def test_an_attempt_that_waits_while_a_newer_build_answers_its_key_does_not_begin_at_the_older():
    made, attempts = waiting({"ForwardOnly": True, "SpareTries": 1000.0})
    assert made.may_begin(BEGIN, attempts[1])
    made.attempt_ended(BEGIN + MS, attempts[2], at.SUCCEEDED, MS, True, {})
    assert not made.may_begin(BEGIN + MS, attempts[1])


def test_an_attempt_that_waited_past_the_window_counts_in_that_in_which_it_begins():
    made, attempts = waiting({"SpareTries": 1.0, "ExposureWindow": 1000.0, "StageCap": [0.0001]})
    made.stage_reported(BEGIN, 2, 0, at.ON_TRIAL, 0.0001, 0)
    other = at.Request(3, attempts[2].request.request_class, 0, b"", BEGIN, BEGIN + 60_000 * MS)
    late = BEGIN + 5000 * MS
    assert made.may_begin(late, attempts[2])
    assert not made.may_attempt(other, made.instances["i2"], late)
    assert made.may_begin(late + MS, attempts[2])  # asked again for the same send, it counts once


# ---- each check catches a fault that is put in on purpose


def by(settings_more, make=Balancer, **world):
    """The numbers of the rules that some of these plays break."""
    told = {**SETTINGS, **settings_more}
    return {fault[0] for seed in range(12) for fault in faults(told, {"seed": seed, **world}, make)}


class Forgetful(Balancer):
    """Gives up a request without an answer at its deadline."""

    def give_up(self, request, door):
        if not any(attempt.end in (at.TIMED_OUT, "") for attempt in request.attempts):
            return super().give_up(request, door)
        request.finished = True
        return True


class Late(Balancer):
    def give_up(self, request, door):
        if self.sends_seen(request):
            return super().give_up(request, door)
        request.deadline += 60_000_000
        self.timers.add(request.deadline, request)
        return False

    def sends_seen(self, request):
        seen, request.repeat = request.repeat, True
        return seen


class Repeating(Balancer):
    """Takes what may have run for what has not."""

    def may_attempt(self, request, member, now):
        ends = [attempt.end for attempt in request.attempts]
        for attempt in request.attempts:
            attempt.end = attempt.end and at.REJECTED
        found = super().may_attempt(request, member, now)
        for attempt, end in zip(request.attempts, ends, strict=True):
            attempt.end = end
        return found


class Refusing(Balancer):
    def give_up(self, request, door):
        request.finished = True
        door.reject(request, 0)
        return True


class Impatient(Balancer):
    """Heeds neither the bound on attempts nor that on two at once."""

    def __init__(self, start):
        start.attempts_cap, start.may_duplicate = 99, True
        super().__init__(start)


class Deaf(Balancer):
    """Takes drains for nothing."""

    def list_received(self, now, lines, whole, fresh):
        for line in lines:
            line.state = at.READY
        super().list_received(now, lines, False, fresh)


class Lazy(Balancer):
    def list_failed(self, now, current):
        self.list_call_at = now + 60_000_000_000


class Rash(Balancer):
    """Takes a cold machine for a warm one, and draws it first."""

    def capacity_share(self, member, now):
        return 1.0

    def cost(self, member, request, now):
        return 0.0 if self.warmth(member, now) < 1 else 1.0


class Bold(Balancer):
    """Heeds no cap."""

    def within_exposure_cap(self, build, request, now):
        return True

    def choose(self, request, now, whole=False):
        return super().choose(request, now, True)


class Backward(Balancer):
    """Keeps no key of the build that answered it."""

    def attempt_ended(self, now, attempt, *rest):
        super().attempt_ended(now, attempt, *rest)
        attempt.instance.build.answered_keys.clear()


GUARDED = {**SETTINGS["FamilyInfo"], "GuardedStages": 2, "StageCap": [1.0, 1.0], "SpareTries": 1000.0}
COLD = {"Cold": 5000.0, "ColdFrom": 0.1, "DrainGrace": 250.0, "Fall": 3000.0, "OverloadFactor": 1.5}
ONE_WAY = {**SETTINGS["FamilyInfo"], "ForwardOnly": True, "StageCap": [0.5, 0.5], "SpareTries": 1000.0}
BAD = {"good": 5, "bad": 0.3}


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
        ("4", Rash, {"Obligations": COLD}, {"changes": 40, "machines": 8, "requests": 200}),
        ("5", Bold, {}, {"changes": 40, "requests": 200}),
        ("5", Bold, {"FamilyInfo": GUARDED}, {"changes": 40}),
        ("5", Backward, {"FamilyInfo": ONE_WAY}, {"changes": 40, "requests": 200}),
    ],
)
def test_a_fault_put_in_is_caught(rule, make, told, world):
    assert by(told, **world) == set()
    assert rule in by(told, make=make, **world)


def test_a_module_that_decides_or_wakes_without_an_end_is_caught():
    class Spinning(Balancer):
        def decide(self, now, door):
            super().decide(now, door)
            return True

    class Restless(Balancer):
        def wake_at(self):
            return self.last_arrival

    for make in (Spinning, Restless):
        with pytest.raises(Stuck):
            faults(SETTINGS, {}, make)


def test_the_plays_meet_all_kinds_of_events():
    alone = {**SETTINGS, "Limits": {**SETTINGS["Limits"], "MayDuplicate": False}}
    plays = [Play(told, {**WORLD, "seed": seed}) for told in (SETTINGS, alone) for seed in range(20)]
    record = [event for play in plays for event in play.run()]
    met = ways(record)
    kinds = ["list", "stage", "watch asked", "watch failed", "watch broke", "vote", "cancel"]
    kinds += ["final served", "final busy", "final failed", "final left"]
    assert not [kind for kind in kinds if not met[kind]], met
    assert not Judge(SETTINGS, record[:1]).found
