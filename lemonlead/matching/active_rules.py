"""The set of rules in force, and a shadow set that is compared with it.

A set is put in force by one assignment, so each request is matched by one set, and keeps its result. The
shadow set may use only a budget of CPU time. Requests for which it gives another result are counted by pairs
of rules. Times are arguments, in integer nanoseconds."""

import threading
from collections import Counter

from .rules import NO_RESULT

MAX_RULE_PAIRS = 512  # pairs of rules whose differences are counted separately; all others share one count
MAX_BUDGET_NS = 10_000_000
ERROR_LOG_INTERVAL_NS = 1_000_000_000  # between two log lines about rules that erred


class Budget:
    """A budget of time that grows by `share` of the elapsed time, up to MAX_BUDGET_NS.

    It bounds the mean: work may start while any time is left, so one piece of work may overdraw it."""

    def __init__(self, share, now):
        self.share = share
        self.left_ns = MAX_BUDGET_NS
        self.updated_at = now

    def has_time(self, now):
        """Returns whether any time is left."""
        self.left_ns = min(self.left_ns + max(now - self.updated_at, 0) * self.share, MAX_BUDGET_NS)
        self.updated_at = max(self.updated_at, now)
        return self.left_ns > 0

    def charge(self, duration_ns):
        """Subtracts time that was used."""
        self.left_ns -= duration_ns


class ActiveRules:
    """The sets in force, with their counts. Many threads call `apply`; `activate` is called after a load."""

    def __init__(self):
        self.active = self.shadow = None  # `rules.RuleSet` or None
        self.lock = threading.Lock()  # guards the counts and the budget
        self.budget = None
        self.counts = Counter()  # by ("matched" | "erred", rule's name), ("label", ...), ("shadow", ...)
        self.differences = Counter()  # by names of (active rule, shadow rule); None: no rule
        self.unlogged_errors, self.logged_at = 0, None

    def activate(self, active, shadow, share, now):
        """Puts new sets in force (None: no set) and resets the counts."""
        with self.lock:
            self.budget = Budget(share, now) if shadow is not None else None
            self.counts, self.differences = Counter(), Counter()
            self.active, self.shadow = active, shadow

    def apply(self, fields_for, on_error=None):
        """Returns what the active set gives a request. `fields_for(limits)` returns the request's fields
        (`RequestFields`) within the limits of a set, so that no set reads more than its costs were computed
        for. `on_error(rule, fault)` is called for each rule that errs."""
        active = self.active
        if active is None:
            return NO_RESULT
        faults = []
        result = active.first_match(fields_for(active.limits), faults)
        rule = result.rule
        with self.lock:
            self.counts["matched", rule and rule.name] += 1
            if rule is not None and rule.labels:
                for label, value in rule.labels.items():
                    self.counts["label", f"{label}={value}"] += 1
            for rule, _ in faults:
                self.counts["erred", rule.name] += 1
        for rule, fault in faults:
            if on_error is not None:
                on_error(rule, fault)
        return result

    def may_try_shadow(self, now):
        """Returns whether the shadow set should be tried for this request, and counts it as asked or
        skipped."""
        with self.lock:
            if self.shadow is None:
                return False
            granted = self.budget.has_time(now)
            self.counts["shadow", "asked" if granted else "skipped"] += 1
            return granted

    def try_shadow(self, fields_for, result):
        """Matches the request against the shadow set and counts it if the results differ."""
        shadow = self.shadow
        if shadow is None:
            return
        faults = []
        shadow_result = shadow.first_match(fields_for(shadow.limits), faults)
        with self.lock:
            self.counts["shadow", "erred"] += len(faults)
            if outcomes_differ(result, shadow_result):
                pair = tuple(one.rule.name if one.rule else None for one in (result, shadow_result))
                known = pair in self.differences or len(self.differences) < MAX_RULE_PAIRS
                self.differences[pair if known else ("others", "others")] += 1
                self.counts["shadow", "differs"] += 1

    def charge_shadow(self, length):
        """Charges the budget for the time that `try_shadow` took, in nanoseconds."""
        with self.lock:
            if self.budget is not None:
                self.budget.charge(length)

    def errors_to_log(self, now):
        """Counts an error, and returns how many errors to report in a log line now; 0 if the last one is too
        recent."""
        with self.lock:
            self.unlogged_errors += 1
            if self.logged_at is not None and now - self.logged_at < ERROR_LOG_INTERVAL_NS:
                return 0
            count, self.unlogged_errors, self.logged_at = self.unlogged_errors, 0, now
            return count

    def read_counts(self):
        """Returns the counts by kind, the largest first, and the most frequent differences."""
        with self.lock:
            counts, differences = dict(self.counts), self.differences.most_common(20)
        counts_by_kind = {}
        for (kind, name), count in sorted(counts.items(), key=lambda item: -item[1]):
            counts_by_kind.setdefault(kind, {})[name or "none"] = count
        return counts_by_kind, [
            (one or "none", other or "none", count) for (one, other), count in differences
        ]


def outcomes_differ(one, other):
    """Returns whether two results differ in what they give a request. The names of the rules do not
    matter."""
    return outcome(one) != outcome(other)


def outcome(result):
    """Returns what a result gives a request, to compare it with another."""
    return (
        result.lane_name,
        result.key,
        result.customer,
        result.rule.labels if result.rule else {},
    )
