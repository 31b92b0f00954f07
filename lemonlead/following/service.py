"""A gateway's part in the moves of its service: what discovery, the ledger and the platform say passes here
on its way to the one balancer, and its votes on the way back. Imported only where a service is named.

All of it runs under the dispatcher's lock; what is decided is decided in `move_routing.py`."""

from .. import interface as at
from ..gateway.config import now as clock
from .faults import Unusable
from .merge import Merge
from .move_routing import MoveRouting

WORDS = {at.VERDICT_PROMOTE: "on", at.VERDICT_ROLL_BACK: "back"}  # the ledger knows no vote to hold


def checked(told, config):
    """The service and, by cluster, the zones of its instances there; Unusable where that can't be."""
    release, far, taken = config.start.release, {}, {}
    if not told.get("far") or not told.get("service"):
        raise Unusable("of follow.service and follow.far only one is told")
    if release.control == "automatic" or release.window <= 0:
        raise Unusable("follow.service: builds go by the clock here, or without a window: no stage is judged")
    for cluster, text in told["far"].items():
        named = {name for name in config.zones if name == text or text.endswith("*") and fits(name, text)}
        if not named:
            raise Unusable(f"follow.far.{cluster}: no zone {text} among {', '.join(sorted(config.zones))}")
        for name in sorted(named):
            if name in taken:
                raise Unusable(f"follow.far: zone {name} is of {taken[name]} and of {cluster}")
            taken[name] = cluster
        far[cluster] = {config.zones[name] for name in named}
    if set(taken) == set(config.zones):
        raise Unusable("follow.far: every zone is another cluster's")
    return told["service"], far


def fits(name, text):
    return name.startswith(text[:-1])


class Service:
    """As `merge.Merge` for discovery and the follower, as the balancer for the platform's news, as the
    platform for votes. `polling`: what the ledger is to be told goes there."""

    def __init__(self, told, config, dispatcher, polling, log, counters):
        self.routing, self.merge = MoveRouting(*checked(told, config)), Merge()
        self.dispatcher, self.polling, self.log, self.counters = dispatcher, polling, log, counters
        self.cast = self.logged = None  # the ballot that waits for the ledger's answer; what was last logged

    def begin(self, now, news):
        """`news`: the platform's, as the balancer was told at the start, or None."""
        if news is not None:
            self.routing.platform_told(now, *news)
            self.routing.stage(now)
        self.dispatcher.service = self

    # ---- lists

    def listed(self, lines, addresses, whole):
        self.routing.listed(*self.merge.listed(lines, addresses, whole), whole)
        return self.shown(clock(), whole)

    def apply_update(self, now, news):
        before, told = self.merge.cluster, self.merge.apply_update(now, news)
        if told is None:
            return None
        if before and self.merge.cluster != before:
            self.routing.anew()
        self.routing.listed(*told, False)
        self.routing.apply_changes(news.changes)
        return self.shown(now, False)

    def shown(self, now, whole=False, again=False):
        """What of the list the balancer is to be told; of builds it is told here."""
        if (stage := self.routing.stage(now, again)) is not None:
            self.dispatcher.balancer.stage_reported(now, *stage)
        self.say()
        if self.routing.far_lost_at is not None:
            self.tell_ledger((*self.routing.far_lost_at, "back"), False)
        return self.routing.changes(whole)

    def say(self):
        """One log line each time that the share changes, or why it is what it is."""
        routing, move = self.routing, self.routing.move
        if move is None:
            return
        more = {"move": routing.name, "to": move["to"], "step": move["step"], "stage": move["stage"]}
        more |= {"share": routing.share(), "waits": routing.waits()}
        if more != self.logged:
            self.logged = more
            self.dispatcher.deferred_actions.append((self.tell, more))

    def tell(self, more):
        self.log.info("shift", **more)

    def held_back(self):
        return self.merge.held_back()

    # ---- the platform's side

    def stage_reported(self, now, *news):
        self.routing.platform_told(now, *news)
        self.put(now, self.shown(now, again=True))

    def put(self, now, told):
        if told[0]:
            self.dispatcher.discovery.publish(now, *told, False, False)

    def ended(self, now, attempt, end):
        self.counters.add(
            f"shift attempts {'far' if attempt.instance.zone in self.routing.abroad else 'near'}"
        )
        before = self.routing.far_lost_at
        self.routing.attempt_ended(attempt.instance.zone, end)
        if self.routing.far_lost_at != before:
            self.counters.add("shift far lost")
            self.put(now, self.shown(now))

    # ---- votes

    def vote(self, build, stage, verdict):
        cast = self.routing.vote(build, stage)
        if cast is None:
            return self.dispatcher.releases.vote(build, stage, verdict)
        held = verdict not in WORDS or verdict == at.VERDICT_PROMOTE and self.routing.doubtful()
        outcome = at.COUNTED if held else self.tell_ledger((*cast, WORDS[verdict]), True)
        if outcome is not None:
            self.dispatcher.deferred_actions.append(
                (self.dispatcher.handle, self.dispatcher.balancer.vote_answered, outcome)
            )

    def tell_ledger(self, vote, asked):
        """What became of a vote, (epoch, stage, word), where that is known at once; else None. `asked`: the
        balancer waits for the answer."""
        if not self.routing.stands(*vote[:2]):
            return at.MOOT
        if vote == self.routing.known:
            return at.COUNTED
        if self.cast is None or vote != self.cast[1]:
            self.counters.add(f"shift votes {vote[2]}")
            names = {"move": self.routing.name, "epoch": vote[0], "stage": vote[1], "verdict": vote[2]}
            self.cast = self.polling.vote(names), vote, asked
        return None

    def vote_answered(self, now, number, outcome):
        """The ledger's answer to a ballot."""
        self.counters.add(f"shift votes {outcome}")
        if self.cast is None or self.cast[0] != number:
            return
        (_, vote, asked), self.cast = self.cast, None
        if outcome == at.COUNTED:
            self.routing.voted(vote)
        if asked and self.routing.shifts():
            self.dispatcher.balancer.vote_answered(now, outcome)

    def figures(self):
        return {"shift share": self.routing.share(), "shift waits": int(bool(self.routing.waits()))}
