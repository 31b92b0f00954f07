"""The settings object that each host is given, read into what a balancer is told at start."""

import math

from . import interface as at

NS = 1_000_000  # nanoseconds in one of the settings' and the wire's milliseconds
LONGEST = 1e13  # milliseconds, some 300 years: no time told is longer, also where it counts from 1970
MOST = 1e15  # no other figure told is larger: products of them stay finite
EFFECTS = {"idempotent": at.IDEMPOTENT, "deduplicated": at.DEDUPLICATED, "at_most_once": at.NON_IDEMPOTENT}


class InvalidSettings(ValueError):
    """The settings hold something that none can go by. The text says where, what it is, and what to write."""


def ms_to_ns(ms):
    return round(ms * NS) if math.isfinite(ms) else 0


def describe_value(value):
    """A value of a configuration on one short line."""
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


class SettingsReader:
    """One object of the settings: `where` it stands, and its values by key, each checked as it is read. What
    is absent is as the caller says. Nothing can be named that is not read: unknown keys harm none."""

    def __init__(self, value, where):
        self.where = where
        if not isinstance(value, dict):
            self.unfit("", value, "an object")
        self.values = value

    def unfit(self, key, value, wanted):
        where = ".".join(part for part in (self.where, key) if part)
        raise InvalidSettings(f"{where} is {describe_value(value)}; expected {wanted}")

    def number(self, key, otherwise, least=0, most=MOST):
        value = self.values.get(key, otherwise)
        if type(value) not in (int, float) or not least <= value <= most:  # nor is NaN within any bounds
            self.unfit(key, value, f"a number from {least} to {most:.15g}")
        return value

    def count(self, key, otherwise, least=0):
        value = self.number(key, otherwise, least)
        if value != int(value):
            self.unfit(key, value, "a whole number")
        return int(value)

    def time(self, key, otherwise=0):
        value = self.values.get(key, otherwise)
        if type(value) not in (int, float) or not 0 <= value <= LONGEST:
            self.unfit(key, value, f"milliseconds from 0 to {LONGEST:.15g}")
        return ms_to_ns(value)

    def flag(self, key):
        value = self.values.get(key, False)
        if type(value) is not bool:
            self.unfit(key, value, "true or false")
        return value

    def one_of(self, key, words, otherwise):
        value = self.values.get(key, otherwise)
        if type(value) is not str or value not in words:
            self.unfit(key, value, f"one of {', '.join(words)}")
        return value

    def word(self, key):
        value = self.values.get(key, "")
        if type(value) is not str:
            self.unfit(key, value, "a text")
        return value

    def text(self, key):
        if key not in self.values:
            raise InvalidSettings(f"{self.where}.{key} is missing; expected a text".lstrip("."))
        if type(value := self.values[key]) is not str or not value:
            self.unfit(key, value, "a text")
        return value

    def list(self, key):
        value = self.values.get(key, [])
        if type(value) is not list:
            self.unfit(key, value, "a list")
        return value

    def part(self, key):
        return SettingsReader(self.values.get(key, {}), f"{self.where}.{key}".lstrip("."))

    def parts(self, key):
        return [SettingsReader(value, f"{self.where}.{key}[{n}]") for n, value in enumerate(self.list(key))]

    def names(self, key):
        """The texts of this list, each but once."""
        names = self.list(key)
        if any(type(name) is not str for name in names) or len(set(names)) < len(names):
            self.unfit(key, names, "a list of texts, none of them twice")
        return names

    def numbers(self, key, most=MOST):
        values = self.list(key)
        return [SettingsReader({key: value}, self.where).number(key, 0, 0, most) for value in values]


def request_class_of(told, number):
    effect = EFFECTS.get(told.word("Effect"), at.NON_IDEMPOTENT)  # one unknown here is run once at most
    # For the others, group and window mean nothing; without a window repeats are told apart for no time.
    deduplicated = effect == at.DEDUPLICATED
    return at.RequestClass(
        number=number,
        effect=effect,
        latency_objective=told.time("Slo"),
        deadline=told.time("GiveUp"),
        revenue=told.number("Worth", 1.0),
        late_share=told.number("LateWorth", 0.0),
        objective_stretch=told.number("AimStretch", 0.0),
        repeat_scope=told.one_of("Group", ("all", "zone", "cell"), "all") if deduplicated else "all",
        repeat_window=told.time("Window") if deduplicated else 0,
        streamed=told.flag("Stream"),
    )


def release_of(told):
    return at.Release(
        control=told.one_of("Control", ("first_voice", "by_count", "automatic"), "by_count"),
        promote_votes_needed=told.count("AyesNeeded", 1),
        roll_back_votes_needed=told.count("NoesNeeded", 1),
        bake=told.time("Bake"),
        vote_lifetime=told.time("BallotTtl"),
        vote_timeout=told.time("ApiTimeout"),
        votes_per_s=told.number("VoteAllowance", 0.0),
        window=told.time("ExposureWindow"),
        free_attempts=told.number("SpareTries", 0.0),
        per_class=told.one_of("CapScope", ("all", "each_class"), "all") == "each_class",
        guarded_stages=told.count("GuardedStages", 0),
        forward_only=told.flag("ForwardOnly"),
        caps=told.numbers("StageCap", 1),
        steps=told.numbers("Steps"),
        old_price=told.number("StaleBuildPrice", 0.0),
        harm_price=told.number("HarmFee", 0.0),
        replaces=told.one_of("Style", ("parallel", "replace"), "parallel") == "replace",
    )


def start_from_settings(settings, salt, now):
    """The settings as read, in our words; what is absent stays at the default. InvalidSettings where
    they hold what none can go by."""
    told = SettingsReader(settings, "settings")
    limits, rules, prices = told.part("Limits"), told.part("Obligations"), told.part("Tariffs")
    retry_after = limits.time("MaxRetryAfter") if limits.flag("RetryAfter") else 0
    return at.StartSettings(
        now=now,
        seed=salt,
        balancer_index=told.count("Me", 0),
        balancers=told.count("Balancers", 1),
        zone=told.count("Az", 0),
        step=told.time("Step"),
        request_classes=[
            request_class_of(request_class, number)
            for number, request_class in enumerate(told.parts("Lanes"))
        ],
        release=release_of(told.part("FamilyInfo")),
        tenant_shares=[tenant.number("QuotaPerS", 0.0) for tenant in told.parts("Projects")],
        over_share_worth=told.number("OverShareWorth", 1.0),
        ask_for_list=told.one_of("Discovery", ("push", "ask"), "push") == "ask",
        attempts_cap=limits.count("AttemptsCap", 1, 1),
        may_cancel=limits.flag("Cancel"),
        may_duplicate=limits.flag("MayDuplicate"),
        may_probe=limits.flag("Probes"),
        retry_after_cap=retry_after,
        connect_time=limits.time("ConnectTimeout"),
        idle_time=limits.time("IdleClose"),
        max_list_call_gap=rules.time("AskWithin"),
        drain_grace=rules.time("DrainGrace"),
        cold_time=rules.time("Cold"),
        cold_share=rules.number("ColdFrom", 1.0, 0, 1),
        cold_multiple=rules.number("OverloadFactor", 1.0),
        cold_window=rules.time("Fall"),
        report_fields=told.part("Report").names("Fields"),
        by_work=told.one_of("WorthBy", ("request", "work"), "request") == "work",
        prices={"CrossZone": prices.number("CrossZone", 0.0)},
    )
