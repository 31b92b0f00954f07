"""The rules in force, and the set that is tried beside them.

A set is put in force by one assignment, so a request is judged by one set alone, and what it was given stays
with it. The set on trial may only use what its budget of time holds; where it would have given something else
is counted by rule. Moments come in as arguments, in whole nanoseconds."""

import threading
from collections import Counter

from .rules import NO_RESULT

MAX_RULE_PAIRS = 512  # pairs of rules that differences are counted for; the rest is counted together
MAX_BUDGET_NS = 10_000_000  # nanoseconds of time that a budget holds at most
ERROR_LOG_INTERVAL_NS = 1_000_000_000  # nanoseconds between two log lines on rules that erred


class Budget:
    """Time that may be spent: `share` of all time, from when it was last looked at, up to BURST. It is a
    promise for the mean: what is asked for is granted while anything is left, so one piece may overdraw
    it."""

    def __init__(self, share, now):
        self.share, self.left, self.at = share, MAX_BUDGET_NS, now

    def has_time(self, now):
        self.left = min(self.left + max(now - self.at, 0) * self.share, MAX_BUDGET_NS)
        self.at = max(self.at, now)
        return self.left > 0

    def charge(self, length):
        self.left -= length


class ActiveRules:
    """What is in force. `judge` is called by many threads; `put` by whoever loads."""

    def __init__(self):
        self.active = self.shadow = None  # sets (`rules.RuleSet`)
        self.lock = threading.Lock()  # guards the counts and the budget
        self.budget = None
        self.tally = Counter()  # of the sets in force: ("matched" | "erred", rule's name), ("shadow", ...)
        self.differences = Counter()  # by (rule of the active set, rule of the other); None: no rule
        self.unlogged, self.logged_at = 0, None

    def activate(self, active, shadow, share, now):
        """New sets, or None. The counts start anew with them: they are of these sets."""
        with self.lock:
            self.budget = Budget(share, now) if shadow is not None else None
            self.tally, self.differences = Counter(), Counter()
            self.active, self.shadow = active, shadow

    def apply(self, seen, erred=None):
        """What the active set gives. `seen(declared)` gives the request as a set declares it
        (`declared.Asked`), so that no set reads more than its costs were reckoned with. `erred(rule, fault)`
        is told of each that errs."""
        active = self.active
        if active is None:
            return NO_RESULT
        faults = []
        given = active.first_match(seen(active.limits), faults)
        rule = given.rule
        with self.lock:
            self.tally["matched", rule and rule.name] += 1
            if rule is not None and rule.labels:
                for label, value in rule.labels.items():
                    self.tally["label", f"{label}={value}"] += 1
            for rule, _ in faults:
                self.tally["erred", rule.name] += 1
        for rule, fault in faults:
            if erred is not None:
                erred(rule, fault)
        return given

    def may_try_shadow(self, now):
        """Whether the other set is to be asked for this request too; counted where its budget is spent."""
        with self.lock:
            if self.shadow is None:
                return False
            may = self.budget.has_time(now)
            self.tally["shadow", "asked" if may else "skipped"] += 1
            return may

    def try_shadow(self, seen, given):
        """What the other set would have given, held against what was."""
        shadow = self.shadow
        if shadow is None:
            return
        faults = []
        other = shadow.first_match(seen(shadow.limits), faults)
        with self.lock:
            self.tally["shadow", "erred"] += len(faults)
            if outcomes_differ(given, other):
                pair = tuple(one.rule.name if one.rule else None for one in (given, other))
                known = pair in self.differences or len(self.differences) < MAX_RULE_PAIRS
                self.differences[pair if known else ("others", "others")] += 1
                self.tally["shadow", "differs"] += 1

    def charge_shadow(self, length):
        """So much time went into `try_shadow`."""
        with self.lock:
            if self.budget is not None:
                self.budget.charge(length)

    def errors_to_log(self, now):
        """How many errors to tell of now, in one line; 0 while the last line is too recent."""
        with self.lock:
            self.unlogged += 1
            if self.logged_at is not None and now - self.logged_at < ERROR_LOG_INTERVAL_NS:
                return 0
            count, self.unlogged, self.logged_at = self.unlogged, 0, now
            return count

    def read(self):
        """The counts, for a person: by kind, the largest first."""
        with self.lock:
            tally, differences = dict(self.tally), self.differences.most_common(20)
        kinds = {}
        for (kind, name), count in sorted(tally.items(), key=lambda item: -item[1]):
            kinds.setdefault(kind, {})[name or "none"] = count
        return kinds, [(one or "none", other or "none", count) for (one, other), count in differences]


def outcomes_differ(one, other):
    """Whether two sets give a request something else. Rules' names do not count, what is given does."""
    return outcome(one) != outcome(other)


def outcome(given):
    return (
        given.lane_name,
        given.key,
        given.customer,
        given.rule.labels if given.rule else {},
    )
