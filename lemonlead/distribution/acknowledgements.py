"""What subscribers have in force, by scope, as each subscriber itself acknowledged it and never as inferred
from what was sent to it.

A subscriber counts from its subscription until it has been silent for longer than lease and grace. Until its
first acknowledgement it counts as behind, because only that tells what it refuses. A new subscription under
the same name replaces the earlier one and counts only with what it acknowledges itself. Time in which this
relay was stopped, or by which its clock jumped, doesn't count as silence of a subscriber: messages sent
meanwhile are still waiting in the relay's sockets."""

from typing import NamedTuple

from .faults import Senseless
from .records import check_gateway_name, check_index, check_scope_indexes, check_scope_name

MS = 1_000_000
MAX_CALL_GAP_NS = 5_000 * MS  # longest time between two calls; the relay calls at least once a second
MAX_SUBSCRIBERS = 10_000


class InForceReport(NamedTuple):
    """Who has a scope's state as of an index in force.

    `everywhere`: every counted subscriber has the index in force and refuses nothing of the scope, and no
    other gateway can act on older state. A refusal at any index prevents this, because it isn't known what is
    in force instead. `behind`: (gateway, milliseconds since its last acknowledgement), sorted by name.
    `refused`: (gateway, key, reason), sorted by name. `counted`: the number of subscribers of the scope.
    `regions`: for each region, how many of its subscribers are behind or refuse a record."""

    everywhere: bool
    behind: list
    refused: list
    counted: int
    regions: dict


class SubscriberState:
    """What is known of one subscriber."""

    __slots__ = (
        "region",
        "subscription_id",
        "last_heard",
        "complete",
        "refused",
        "connected",
        "acknowledged_once",
    )

    def __init__(self, now, region, subscription_id, scopes):
        self.region = region
        self.subscription_id = subscription_id
        self.last_heard = now
        self.connected = True
        self.acknowledged_once = False  # since it subscribed
        # Index in force by scope, and {scope: {key: (index, reason)}}.
        self.complete, self.refused = dict(scopes), {}


class Acknowledgements:
    """Tracks the subscribers of one relay and what each has in force."""

    def __init__(self, lease, grace, started=None):
        """Takes `lease` and `grace` in nanoseconds. `started` is the time at which this relay started to
        count, or None if no relay counted before."""
        self.timeout = check_index(lease, "lease", 1) + check_index(grace, "grace")
        self.started = started
        self.last_call = started
        self.skipped_time = 0  # nanoseconds that don't count as silence of a subscriber
        self.subscribers = {}  # by name
        self.names_by_scope = {}  # names of its subscribers, by scope

    # ---- inputs

    def subscribe(self, now, gateway, region, scopes, subscription_id=""):
        """Records a subscription. `scopes` maps each scope to the index up to which the subscriber has it in
        force, in this relay's cluster (0 if its state comes from another cluster). Raises Senseless when the
        values are invalid or there are too many subscribers."""
        now = self.effective_now(now)
        check_gateway_name(gateway, "gateway")
        check_scope_indexes(scopes)
        if len(self.subscribers) >= MAX_SUBSCRIBERS and gateway not in self.subscribers:
            raise Senseless(
                f"gateway: {len(self.subscribers)} subscribed already; expected at most {MAX_SUBSCRIBERS}"
            )
        self.drop(gateway)
        self.subscribers[gateway] = SubscriberState(now, region, subscription_id, scopes)
        for scope in scopes:
            self.names_by_scope.setdefault(scope, set()).add(gateway)

    def add_scopes(self, now, gateway, scopes):
        """Adds scopes to an existing subscription."""
        subscriber = self.subscribers[gateway]
        for scope, index in check_scope_indexes(scopes).items():
            subscriber.complete.setdefault(scope, index)
            self.names_by_scope.setdefault(scope, set()).add(gateway)

    def acknowledge(self, now, gateway, complete, refused=(), subscription_id=""):
        """Records what a subscriber has in force. `refused` lists everything that it refuses now as (scope,
        key, index, reason). Returns False when the subscriber has no stream here, was silent for too long, or
        when its name has been taken over by another subscription."""
        now = self.effective_now(now)
        subscriber = self.subscribers.get(gateway)
        if (
            subscriber is None
            or not subscriber.connected
            or subscriber.subscription_id != subscription_id
            or now - subscriber.last_heard >= self.timeout
        ):
            return False
        check_scope_indexes(complete, "complete")
        subscriber.last_heard, subscriber.acknowledged_once = max(subscriber.last_heard, now), True
        for scope, index in complete.items():
            if scope in subscriber.complete:
                subscriber.complete[scope] = max(subscriber.complete[scope], index)
        subscriber.refused = {}
        for scope, key, index, reason in refused:
            if scope in subscriber.complete:
                subscriber.refused.setdefault(scope, {})[key] = index, reason
        return True

    def stream_ended(self, now, gateway, subscription_id=None):
        """Records that a subscriber's stream ended. The gateway still acts on what it has, so it counts until
        it has been silent for too long. `subscription_id` names the stream's subscription; None means the
        current one."""
        subscriber = self.subscribers.get(gateway)
        if subscriber is not None and subscription_id in (None, subscriber.subscription_id):
            subscriber.connected = False

    def drop_silent(self, now):
        """Drops the subscribers that were silent for too long and returns their names."""
        now = self.effective_now(now)
        gone = [
            name
            for name, subscriber in self.subscribers.items()
            if now - subscriber.last_heard >= self.timeout
        ]
        for name in gone:
            self.drop(name)
        return gone

    def reset_complete(self):
        """Marks all subscribers as having nothing in force, because the ledger is now a newly formed
        cluster."""
        for subscriber in self.subscribers.values():
            subscriber.complete, subscriber.refused = dict.fromkeys(subscriber.complete, 0), {}

    # ---- queries

    def knows_all_subscribers(self, now):
        """Returns whether every gateway that may act on older state is counted or has timed out. A relay that
        was just started doesn't know them all and would report that no gateway is behind."""
        return self.started is None or self.effective_now(now) - self.started >= self.timeout

    def in_force(self, now, scope, index):
        """Returns the InForceReport of a scope as of an index."""
        check_scope_name(scope, "scope")
        check_index(index, "index")
        settled, now = self.knows_all_subscribers(now), self.effective_now(now)
        behind, refused, counted, regions = [], [], 0, {}
        for name in sorted(self.names_by_scope.get(scope, ())):
            subscriber = self.subscribers[name]
            if now - subscriber.last_heard >= self.timeout:
                continue
            counted += 1
            refuses = [
                (name, key, reason)
                for key, (_, reason) in sorted(subscriber.refused.get(scope, {}).items())
            ]  # fmt: skip
            refused += refuses
            lacks = subscriber.complete[scope] < index or not subscriber.acknowledged_once
            if lacks:
                behind.append((name, (now - subscriber.last_heard) // MS))
            if refuses or lacks:
                regions[subscriber.region] = regions.get(subscriber.region, 0) + 1
        everywhere = not behind and not refused and settled
        return InForceReport(everywhere, behind, refused, counted, regions)

    # ---- inside

    def effective_now(self, now):
        """Returns the time without the gaps in which the relay was stopped or its clock jumped."""
        if self.last_call is not None and now - self.last_call > MAX_CALL_GAP_NS:
            self.skipped_time += now - self.last_call
        self.last_call = now if self.last_call is None else max(now, self.last_call)
        return now - self.skipped_time

    def drop(self, name):
        """Removes a subscriber, if it is known."""
        subscriber = self.subscribers.pop(name, None)
        for scope in subscriber.complete if subscriber is not None else ():
            self.names_by_scope[scope].discard(name)
            if not self.names_by_scope[scope]:
                del self.names_by_scope[scope]
