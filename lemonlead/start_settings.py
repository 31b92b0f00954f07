"""Reads the settings object that a host is given into the `StartSettings` of a balancer."""

import math

from . import interface

NS_PER_MS = 1_000_000  # the settings and the wire protocol give times in milliseconds
MAX_TIME_MS = 1e13  # some 300 years, enough for times since 1970
MAX_NUMBER = 1e15  # of any other number, so that products of them stay finite
EFFECTS = {
    "idempotent": interface.IDEMPOTENT,
    "deduplicated": interface.DEDUPLICATED,
    "at_most_once": interface.NON_IDEMPOTENT,
}


class InvalidSettings(ValueError):
    """The settings hold an invalid value. The message says where, which value, and what is expected."""


def ms_to_ns(ms):
    """Returns milliseconds as whole nanoseconds, 0 if they are not finite."""
    return round(ms * NS_PER_MS) if math.isfinite(ms) else 0


def describe_value(value):
    """Returns a configuration value as one short line."""
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


class SettingsReader:
    """One object of the settings, whose values are checked as they are read.

    `where` is its path, for messages. For an absent key the methods return a default; unknown keys are
    ignored. All methods raise `InvalidSettings`.
    """

    def __init__(self, value, where):
        self.where = where
        if not isinstance(value, dict):
            self.raise_invalid("", value, "an object")
        self.values = value

    def raise_invalid(self, key, value, expected):
        """Raises `InvalidSettings` for the value at this key."""
        where = ".".join(part for part in (self.where, key) if part)
        raise InvalidSettings(f"{where} is {describe_value(value)}; expected {expected}")

    def number(self, key, default, minimum=0, maximum=MAX_NUMBER):
        """Returns a number between two bounds, both included."""
        value = self.values.get(key, default)
        if type(value) not in (int, float) or not minimum <= value <= maximum:  # NaN fails this too
            self.raise_invalid(key, value, f"a number from {minimum} to {maximum:.15g}")
        return value

    def count(self, key, default, minimum=0):
        """Returns a whole number."""
        value = self.number(key, default, minimum)
        if value != int(value):
            self.raise_invalid(key, value, "a whole number")
        return int(value)

    def time(self, key, default=0):
        """Returns a time in nanoseconds; the settings hold milliseconds."""
        value = self.values.get(key, default)
        if type(value) not in (int, float) or not 0 <= value <= MAX_TIME_MS:
            self.raise_invalid(key, value, f"milliseconds from 0 to {MAX_TIME_MS:.15g}")
        return ms_to_ns(value)

    def flag(self, key):
        """Returns a boolean, False if absent."""
        value = self.values.get(key, False)
        if type(value) is not bool:
            self.raise_invalid(key, value, "true or false")
        return value

    def one_of(self, key, choices, default):
        """Returns one of these strings."""
        value = self.values.get(key, default)
        if type(value) is not str or value not in choices:
            self.raise_invalid(key, value, f"one of {', '.join(choices)}")
        return value

    def word(self, key):
        """Returns a string, empty if absent."""
        value = self.values.get(key, "")
        if type(value) is not str:
            self.raise_invalid(key, value, "a text")
        return value

    def text(self, key):
        """Returns a string that must be present and not empty."""
        if key not in self.values:
            raise InvalidSettings(f"{self.where}.{key} is missing; expected a text".lstrip("."))
        if type(value := self.values[key]) is not str or not value:
            self.raise_invalid(key, value, "a text")
        return value

    def list(self, key):
        """Returns a list, empty if absent."""
        value = self.values.get(key, [])
        if type(value) is not list:
            self.raise_invalid(key, value, "a list")
        return value

    def part(self, key):
        """Returns a reader of the object at this key."""
        return SettingsReader(self.values.get(key, {}), f"{self.where}.{key}".lstrip("."))

    def parts(self, key):
        """Returns a reader of each object of the list at this key."""
        return [SettingsReader(value, f"{self.where}.{key}[{n}]") for n, value in enumerate(self.list(key))]

    def names(self, key):
        """Returns a list of distinct strings."""
        names = self.list(key)
        if any(type(name) is not str for name in names) or len(set(names)) < len(names):
            self.raise_invalid(key, names, "a list of texts, none of them twice")
        return names

    def numbers(self, key, maximum=MAX_NUMBER):
        """Returns a list of numbers from 0 to `maximum`."""
        values = self.list(key)
        return [SettingsReader({key: value}, self.where).number(key, 0, 0, maximum) for value in values]


def request_class_of(reader, number):
    """Reads one request class."""
    # Requests with an unknown effect run at most once.
    effect = EFFECTS.get(reader.word("Effect"), interface.NON_IDEMPOTENT)
    # Scope and window only have a meaning for deduplicated requests. Without a window no repeat is dropped.
    deduplicated = effect == interface.DEDUPLICATED
    return interface.RequestClass(
        number=number,
        effect=effect,
        latency_objective=reader.time("Slo"),
        deadline=reader.time("GiveUp"),
        revenue=reader.number("Worth", 1.0),
        late_share=reader.number("LateWorth", 0.0),
        objective_stretch=reader.number("AimStretch", 0.0),
        repeat_scope=reader.one_of("Group", ("all", "zone", "cell"), "all") if deduplicated else "all",
        repeat_window=reader.time("Window") if deduplicated else 0,
        streamed=reader.flag("Stream"),
    )


def release_of(reader):
    """Reads the settings of build releases."""
    return interface.Release(
        control=reader.one_of("Control", ("first_voice", "by_count", "automatic"), "by_count"),
        promote_votes_needed=reader.count("AyesNeeded", 1),
        roll_back_votes_needed=reader.count("NoesNeeded", 1),
        bake=reader.time("Bake"),
        vote_lifetime=reader.time("BallotTtl"),
        vote_timeout=reader.time("ApiTimeout"),
        votes_per_s=reader.number("VoteAllowance", 0.0),
        window=reader.time("ExposureWindow"),
        attempts_above_cap=reader.number("SpareTries", 0.0),
        per_class=reader.one_of("CapScope", ("all", "each_class"), "all") == "each_class",
        idempotent_only_stages=reader.count("GuardedStages", 0),
        never_return_to_older_build=reader.flag("ForwardOnly"),
        caps=reader.numbers("StageCap", 1),
        steps=reader.numbers("Steps"),
        old_price=reader.number("StaleBuildPrice", 0.0),
        harm_price=reader.number("HarmFee", 0.0),
        replaces=reader.one_of("Style", ("parallel", "replace"), "parallel") == "replace",
    )


def start_from_settings(settings, salt, now):
    """Returns the `StartSettings` of a balancer that starts at `now` with the random seed `salt`.

    What is absent keeps its default. Raises `InvalidSettings`.
    """
    reader = SettingsReader(settings, "settings")
    limits = reader.part("Limits")
    obligations = reader.part("Obligations")
    tariffs = reader.part("Tariffs")
    retry_after = limits.time("MaxRetryAfter") if limits.flag("RetryAfter") else 0
    return interface.StartSettings(
        now=now,
        seed=salt,
        balancer_index=reader.count("Me", 0),
        balancers=reader.count("Balancers", 1),
        zone=reader.count("Az", 0),
        step=reader.time("Step"),
        request_classes=[
            request_class_of(request_class, number)
            for number, request_class in enumerate(reader.parts("Lanes"))
        ],
        release=release_of(reader.part("FamilyInfo")),
        tenant_shares=[tenant.number("QuotaPerS", 0.0) for tenant in reader.parts("Projects")],
        over_share_worth=reader.number("OverShareWorth", 1.0),
        ask_for_list=reader.one_of("Discovery", ("push", "ask"), "push") == "ask",
        attempts_cap=limits.count("AttemptsCap", 1, 1),
        may_cancel=limits.flag("Cancel"),
        may_duplicate=limits.flag("MayDuplicate"),
        may_probe=limits.flag("Probes"),
        retry_after_cap=retry_after,
        connect_time=limits.time("ConnectTimeout"),
        idle_time=limits.time("IdleClose"),
        max_list_call_gap=obligations.time("AskWithin"),
        drain_grace=obligations.time("DrainGrace"),
        cold_time=obligations.time("Cold"),
        cold_share=obligations.number("ColdFrom", 1.0, 0, 1),
        cold_multiple=obligations.number("OverloadFactor", 1.0),
        cold_window=obligations.time("Fall"),
        report_fields=reader.part("Report").names("Fields"),
        by_work=reader.one_of("WorthBy", ("request", "work"), "request") == "work",
        prices={"CrossZone": tariffs.number("CrossZone", 0.0)},
    )
