"""The gateway's way into the rules: reads them, asks them for each request, and logs what they do.

Imported only where LEMONLEAD_SETTINGS names a file. No rule is decided here: what a request gets, and what no
rule may do, is in `lemonlead/matching/rules.py`."""

import time
import traceback
from pathlib import Path

from .. import settings
from .. import interface as at
from ..matching import load
from ..matching.declared import Asked
from ..matching.standing import Standing
from .clients import WORDS

COMMANDS = {name: name.decode() for name in WORDS}
SHARE = 2048  # bytes of memory told for each byte of a set's files, so that reading takes an eighth of it
MOST_SHOWN = 20  # names of rules in one log line


class Sorting:
    def __init__(self, config, path, dispatcher, log, counters):
        self.config, self.path, self.dispatcher, self.log, self.counters = (
            config,
            Path(path),
            dispatcher,
            log,
            counters,
        )
        self.names = {request_class.number: name for name, request_class in config.request_classes.items()}
        self.room, self.standing = config.memory // SHARE, Standing()
        # What the settings say of a ledger to follow, and of relays; read at the start alone.
        self.follow = self.distribution = None

    # ---- reading

    def load(self, now):
        """Puts the sets that the settings now name in force, both or neither; why not, if they cannot be
        used. The sets in force stay in that case."""
        began = time.monotonic()
        try:
            active, shadow, share = self.read()
        except (settings.Unfit, load.Unfit) as error:
            old = self.standing.active
            self.log.warning(
                "rules unfit",
                reason=str(error)[:300],
                faults=len(error.faults),
                kept=old.version if old else "none",
                digest=old.digest if old else "none",
            )
            return str(error)
        self.standing.put(active, shadow, share, now)
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

    def read(self):
        all = settings.read(self.path, settings.schema_text("gateway")).value
        told, self.follow, self.distribution = (all.get(name) for name in ("rules", "follow", "distribution"))
        if told is None:
            return None, None, 0.0
        active = self.rules(told["file"])
        shadow = self.rules(told["shadow"]) if "shadow" in told else None
        return active, shadow, told["shadow_share"]

    def rules(self, name):
        return load.load(self.path.parent / name, self.config.request_classes, self.config.tenants, self.room)

    # ---- for each request

    def sort(self, now, request, words, said):
        """Gives a request that has just been read what the rules say. It goes as it was asked if anything
        fails: rules may sort requests, they may not lose one."""
        if self.standing.active is None:
            return
        request.client_class = request.request_class
        try:
            seen = self.seen(request, words, said)
            given = self.standing.judge(seen, lambda rule, fault: self.erred(now, rule, fault))
            self.give(request, given)
            if self.standing.shadow is not None and self.standing.wants_shadow(now):
                began = time.thread_time_ns()
                self.standing.try_shadow(seen, given)
                self.standing.spent(time.thread_time_ns() - began)
        except Exception:
            self.counters.add("rules faults")
            self.dispatcher.fault(traceback.format_exc())

    def seen(self, request, words, said):
        """The request as it was asked, for whichever set's bounds; what rules then give it does not show."""
        stamped = request.request_class.effect == at.DEDUPLICATED or bool(said.get("k"))
        told = (
            COMMANDS[words[0].upper()],
            request.key,
            self.names[request.request_class.number],
            said.get("t", ""),
            request.deadline - request.arrived,
            request.work,
            request.repeat,
            stamped,
            sum(map(len, words[4:])),
        )
        return lambda declared: Asked(declared, *told)

    def give(self, request, given):
        if given.rule is None:
            return
        self.counters.add("rules matched")
        if given.lane is not None:
            request.request_class = given.lane
        if given.key is not None:
            request.key, request.client_key = given.key, request.key
        if given.customer is not None:
            request.tenant = self.config.tenants.get(given.customer, -1)

    def erred(self, now, rule, fault):
        self.counters.add("rules erred")
        if count := self.standing.to_log(now):
            self.log.warning("rule erred", rule=rule.name, reason=fault.message, since_last=count)

    def tell(self):
        """Logs the counts of the sets in force."""
        active, (kinds, differences) = self.standing.active, self.standing.read()
        shown = {
            kind: " ".join(f"{name}:{count}" for name, count in list(counts.items())[:MOST_SHOWN])
            for kind, counts in kinds.items()
        }
        between = " ".join(f"{one}/{other}:{count}" for one, other, count in differences)
        self.log.info("rules", version=active.version if active else "none", **shown, differences=between)
