"""A gateway's part in the moves of its service. Everything that discovery, the ledger and the platform report
passes through here to the balancer, and the balancer's votes pass back. Imported only when the settings name
a service.

All of it runs under the dispatcher's lock. The decisions are made in `move_routing.py`."""

from .. import interface as at
from ..gateway.config import now as clock
from .faults import Unusable
from .merge import Merge
from .move_routing import MoveRouting

# Verdicts as the ledger names them; it has no vote to hold.
VERDICT_NAMES = {at.VERDICT_PROMOTE: "on", at.VERDICT_ROLL_BACK: "back"}


def check_settings(settings, config):
    """Returns the service and, by cluster, the zones of its instances there. Raises Unusable when the
    settings are invalid."""
    release, far, taken = config.start.release, {}, {}
    if not settings.get("far") or not settings.get("service"):
        raise Unusable("of follow.service and follow.far only one is set")
    if release.control == "automatic" or release.window <= 0:
        raise Unusable("follow.service: builds go by the clock here, or without a window: no stage is judged")
    for cluster, text in settings["far"].items():
        named = {name for name in config.zones if name == text or text.endswith("*") and matches(name, text)}
        if not named:
            raise Unusable(f"follow.far.{cluster}: no zone {text} among {', '.join(sorted(config.zones))}")
        for name in sorted(named):
            if name in taken:
                raise Unusable(f"follow.far: zone {name} is of {taken[name]} and of {cluster}")
            taken[name] = cluster
        far[cluster] = {config.zones[name] for name in named}
    if set(taken) == set(config.zones):
        raise Unusable("follow.far: every zone is another cluster's")
    return settings["service"], far


def matches(name, text):
    """Returns whether a zone's name starts with the text before the "*"."""
    return name.startswith(text[:-1])


class Service:
    """Takes the place of `merge.Merge` for discovery and the follower, of the balancer for the platform's
    reports, and of the platform for votes. `polling` takes the votes that go to the ledger."""

    def __init__(self, settings, config, dispatcher, polling, log, counters):
        self.routing, self.merge = MoveRouting(*check_settings(settings, config)), Merge()
        self.dispatcher, self.polling, self.log, self.counters = dispatcher, polling, log, counters
        # (number, vote, whether the balancer waits) until the ledger answers, and the last logged shift.
        self.pending_vote = self.last_logged = None

    def begin(self, now, update):
        """Starts with the platform's state as the balancer received it, or None."""
        if update is not None:
            self.routing.platform_changed(now, *update)
            self.routing.stage_update_for_balancer(now)
        self.dispatcher.service = self

    # ---- lists

    def listed(self, lines, addresses, whole):
        """Takes discovery's list as `Merge.listed` does. Returns the lines and addresses for the balancer."""
        self.routing.listed(*self.merge.listed(lines, addresses, whole), whole)
        return self.list_update(clock(), whole)

    def apply_update(self, now, update):
        """Takes a LedgerUpdate as `Merge.apply_update` does. Returns the lines and addresses for the
        balancer, or None."""
        before, changed = self.merge.cluster, self.merge.apply_update(now, update)
        if changed is None:
            return None
        if before and self.merge.cluster != before:
            self.routing.cluster_changed()
        self.routing.listed(*changed, False)
        self.routing.apply_changes(update.changes)
        return self.list_update(now, False)

    def list_update(self, now, whole=False, again=False):
        """Reports builds to the balancer if they changed, and returns the lines and addresses that it is to
        receive."""
        if (stage := self.routing.stage_update_for_balancer(now, again)) is not None:
            self.dispatcher.balancer.stage_reported(now, *stage)
        self.log_shift()
        if self.routing.far_unreachable_stage is not None:
            self.vote_in_ledger((*self.routing.far_unreachable_stage, "back"), False)
        return self.routing.list_update_for_balancer(whole)

    def log_shift(self):
        """Logs one line each time the share, or the reason for it, changes."""
        routing, move = self.routing, self.routing.move
        if move is None:
            return
        more = {"move": routing.move_name, "to": move["to"], "step": move["step"], "stage": move["stage"]}
        more |= {"share": routing.share(), "waits": routing.wait_reason()}
        if more != self.last_logged:
            self.last_logged = more
            self.dispatcher.deferred_actions.append((self.write_log, more))

    def write_log(self, more):
        self.log.info("shift", **more)

    def held_back(self):
        """Returns how many instances are ready by discovery but not by the ledger."""
        return self.merge.held_back()

    # ---- reports of the platform

    def stage_reported(self, now, *update):
        """Takes a report of the platform."""
        self.routing.platform_changed(now, *update)
        self.publish(now, self.list_update(now, again=True))

    def publish(self, now, changed):
        """Updates the balancer's list if anything changed."""
        if changed[0]:
            self.dispatcher.discovery.publish(now, *changed, False, False)

    def ended(self, now, attempt, end):
        """Takes the end of an attempt."""
        self.counters.add(
            f"shift attempts {'far' if attempt.instance.zone in self.routing.far_zones else 'near'}"
        )
        before = self.routing.far_unreachable_stage
        self.routing.attempt_ended(attempt.instance.zone, end)
        if self.routing.far_unreachable_stage != before:
            self.counters.add("shift far lost")
            self.publish(now, self.list_update(now))

    # ---- votes

    def vote(self, build, stage, verdict):
        """Takes a vote of the balancer, for the ledger if it is about a move, else for the platform."""
        cast = self.routing.vote_target(build, stage)
        if cast is None:
            return self.dispatcher.releases.vote(build, stage, verdict)
        held = verdict not in VERDICT_NAMES or verdict == at.VERDICT_PROMOTE and self.routing.mostly_lost()
        outcome = at.COUNTED if held else self.vote_in_ledger((*cast, VERDICT_NAMES[verdict]), True)
        if outcome is not None:
            self.dispatcher.deferred_actions.append(
                (self.dispatcher.handle, self.dispatcher.balancer.vote_answered, outcome)
            )

    def vote_in_ledger(self, vote, asked):
        """Sends a vote, (epoch, stage, verdict), to the ledger. Returns its outcome if that is known at once,
        else None. `asked` is whether the balancer waits for the outcome."""
        if not self.routing.is_current_stage(*vote[:2]):
            return at.MOOT
        if vote == self.routing.counted_vote:
            return at.COUNTED
        if self.pending_vote is None or vote != self.pending_vote[1]:
            self.counters.add(f"shift votes {vote[2]}")
            names = {"move": self.routing.move_name, "epoch": vote[0], "stage": vote[1], "verdict": vote[2]}
            self.pending_vote = self.polling.vote(names), vote, asked
        return None

    def vote_answered(self, now, number, outcome):
        """Takes the ledger's answer to a vote."""
        self.counters.add(f"shift votes {outcome}")
        if self.pending_vote is None or self.pending_vote[0] != number:
            return
        (_, vote, asked), self.pending_vote = self.pending_vote, None
        if outcome == at.COUNTED:
            self.routing.vote_counted(vote)
        if asked and self.routing.is_shifting():
            self.dispatcher.balancer.vote_answered(now, outcome)

    def figures(self):
        """Returns the counters."""
        return {"shift share": self.routing.share(), "shift waits": int(bool(self.routing.wait_reason()))}
