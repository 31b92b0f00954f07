"""Connects the gateway to the request rules: reads the rule sets, applies them to requests, and logs them.

Imported only if LEMONLEAD_SETTINGS names a file. What a request gets from a rule, and what no rule may do, is
decided in `lemonlead/matching/rules.py`."""

import time
import traceback
from pathlib import Path

from .. import settings
from .. import interface
from ..matching import load
from ..matching.request_fields import RequestFields
from ..matching.active_rules import ActiveRules
from .clients import WORD_COUNTS

COMMANDS = {name: name.decode() for name in WORD_COUNTS}
# Bytes of the memory limit for each byte of a rule set's files, so that reading a set takes at most an eighth
# of the limit.
MEMORY_PER_FILE_BYTE = 2048
MAX_RULES_LOGGED = 20  # names of rules in one log line


class RequestRules:
    """The rule sets in force, and their effect on each request. `load` is called again after SIGHUP."""

    def __init__(self, config, path, dispatcher, log, counters):
        self.config, self.path, self.dispatcher, self.log, self.counters = (
            config,
            Path(path),
            dispatcher,
            log,
            counters,
        )
        self.names = {request_class.number: name for name, request_class in config.request_classes.items()}
        self.max_file_bytes, self.active_rules = config.memory // MEMORY_PER_FILE_BYTE, ActiveRules()
        # The settings of a ledger to follow and of relays; used only at the start.
        self.follow = self.distribution = None

    # ---- reading

    def load(self, now):
        """Puts the rule sets that the settings name in force, both or neither. If they cannot be used, the
        sets in force stay, and the reason is returned; otherwise None."""
        began = time.monotonic()
        try:
            active, shadow, share = self.read_rule_sets()
        except (settings.InvalidFile, load.InvalidRulesFile) as error:
            old = self.active_rules.active
            self.log.warning(
                "rules unfit",
                reason=str(error)[:300],
                faults=len(error.faults),
                kept=old.version if old else "none",
                digest=old.digest if old else "none",
            )
            return str(error)
        self.active_rules.activate(active, shadow, share, now)
        for what, rules in (("active", active), ("shadow", shadow)):
            if rules is not None:
                self.log.info(
                    "rules read",
                    set=what,
                    version=rules.version,
                    digest=rules.digest,
                    rules=len(rules.rules),
                    cost=rules.cost,
                    took_ms=int((time.monotonic() - began) * 1e3),
                )
        return None

    def read_rule_sets(self):
        """Returns the active set, the shadow set or None, and the share of requests that try the latter."""
        all = settings.read(self.path, settings.schema_text("gateway")).value
        rules, self.follow, self.distribution = (
            all.get(name) for name in ("rules", "follow", "distribution")
        )
        if rules is None:
            return None, None, 0.0
        active = self.read_rules(rules["file"])
        shadow = self.read_rules(rules["shadow"]) if "shadow" in rules else None
        return active, shadow, rules["shadow_share"]

    def read_rules(self, name):
        return load.load(
            self.path.parent / name, self.config.request_classes, self.config.tenants, self.max_file_bytes
        )

    # ---- for each request

    def apply(self, now, request, words, fields):
        """Applies the rules to a request that has just been read. `fields`: the extras of its command. If
        anything fails, the request stays as the client sent it, because rules must not lose a request."""
        if self.active_rules.active is None:
            return
        request.client_class = request.request_class
        try:
            request_fields = self.request_fields(request, words, fields)
            result = self.active_rules.apply(
                request_fields, lambda rule, fault: self.rule_failed(now, rule, fault)
            )
            self.apply_result(request, result)
            if self.active_rules.shadow is not None and self.active_rules.may_try_shadow(now):
                began = time.thread_time_ns()
                self.active_rules.try_shadow(request_fields, result)
                self.active_rules.charge_shadow(time.thread_time_ns() - began)
        except Exception:
            self.counters.add("rules faults")
            self.dispatcher.fault(traceback.format_exc())

    def request_fields(self, request, words, fields):
        """Returns a function that gives the request's fields for a rule set's declared limits. The fields are
        those that the client sent; what rules change later does not show in them."""
        stamped = request.request_class.effect == interface.DEDUPLICATED or bool(fields.get("k"))
        values = (
            COMMANDS[words[0].upper()],
            request.key,
            self.names[request.request_class.number],
            fields.get("t", ""),
            request.deadline - request.arrived,
            request.work,
            request.repeat,
            stamped,
            sum(map(len, words[4:])),
        )
        return lambda limits: RequestFields(limits, *values)

    def apply_result(self, request, result):
        if result.rule is None:
            return
        self.counters.add("rules matched")
        if result.lane is not None:
            request.request_class = result.lane
        if result.key is not None:
            request.key, request.client_key = result.key, request.key
        if result.customer is not None:
            request.tenant = self.config.tenants.get(result.customer, -1)

    def rule_failed(self, now, rule, fault):
        self.counters.add("rules erred")
        if count := self.active_rules.errors_to_log(now):
            self.log.warning("rule erred", rule=rule.name, reason=fault.message, since_last=count)

    def log_counts(self):
        """Logs the counts of the rule sets in force."""
        active, (kinds, differences) = self.active_rules.active, self.active_rules.read_counts()
        counts_by_kind = {
            kind: " ".join(f"{name}:{count}" for name, count in list(counts.items())[:MAX_RULES_LOGGED])
            for kind, counts in kinds.items()
        }
        between = " ".join(f"{one}/{other}:{count}" for one, other, count in differences)
        self.log.info(
            "rules", version=active.version if active else "none", **counts_by_kind, differences=between
        )
