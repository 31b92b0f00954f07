"""The types that a host and a balancer (`lemonlead/balance.py`) exchange.

Durations are whole nanoseconds; times are whole nanoseconds of the host's clock, which may start anywhere. A
host reads its clock once for an event and all decisions that follow it. Ids and keys are chosen by the host;
a balancer only compares them.
"""

from dataclasses import dataclass, field
from typing import Protocol

# The effect of requests of a class: what happens if one runs twice.
IDEMPOTENT = "idempotent"  # no harm
DEDUPLICATED = "deduplicated"  # instances drop the repeat for a time
NON_IDEMPOTENT = "non-idempotent"  # it takes effect twice
# How an attempt ended.
SUCCEEDED = "succeeded"
ERRED = "erred"  # the instance answered with an error
REJECTED = "rejected"  # the instance was full
TIMED_OUT = "timed out"
UNCONNECTED = "unconnected"  # no connection could be opened
RESET = "reset"  # the connection ended
CANCELLED = "cancelled"
NOT_SENT = "not sent"
UNREADABLE = "spoilt"  # the answer can't be parsed
BAD_REQUEST = "unfit"  # the instance can't process this request
NEVER_RAN = (REJECTED, UNCONNECTED, NOT_SENT)  # endings that prove that the attempt did not run
# The state of an instance in the list.
GONE = 0
DRAINING = 1
READY = 2
# The phase of a build.
ON_TRIAL = 0
ROLLING_BACK = 1
RELEASED = 2
WITHDRAWN = 3
# A balancer's verdict on a build.
VERDICT_NONE = 0
VERDICT_PROMOTE = 1
VERDICT_HOLD = 2
VERDICT_ROLL_BACK = 3
# The release platform's answer to a vote.
COUNTED = "counted"
MOOT = "moot"  # the stage or phase has changed
OVER_ALLOWANCE = "over"  # too many votes
VOTE_ERRED = "erred"
UNANSWERED = "unanswered"


@dataclass(slots=True)
class RequestClass:
    """A class of requests, with its objectives and what a repeat does."""

    number: int
    effect: str  # one of the three above
    latency_objective: int
    deadline: int
    revenue: float  # of one request
    late_share: float = 0.0  # share of the revenue for an answer after the latency objective
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's work
    repeat_scope: str = (
        "all"  # deduplicated: which instances drop repeats: "all", of one "zone" or one "cell"
    )
    repeat_window: int = 0  # deduplicated: how long they do so
    streamed: bool = False


@dataclass(slots=True)
class Release:
    """The settings of build releases."""

    control: str = "by_count"  # how votes decide: "first_voice", "by_count" or "automatic"
    promote_votes_needed: int = 1
    roll_back_votes_needed: int = 1
    bake: int = 0  # the shortest time of a stage
    vote_lifetime: int = 0  # a vote lapses after this
    vote_timeout: int = 0  # of a call to the release platform
    votes_per_s: float = 0.0  # that the platform accepts from all gateways
    window: int = 0  # of the exposure cap
    attempts_above_cap: float = 0.0  # attempts in a window that the cap does not limit
    per_class: bool = False  # the cap is counted for each request class separately
    idempotent_only_stages: int = 0  # in these first stages a build on trial gets idempotent requests only
    never_return_to_older_build: bool = False  # a key that a build has answered must not go to an older one
    caps: list = field(default_factory=list)  # by stage: the share of requests that a build on trial may get
    steps: list = field(default_factory=list)  # by stage: the share of instances that run it
    old_price: float = 0.0
    harm_price: float = 0.0
    replaces: bool = False  # each earlier instance is drained once its successor runs


@dataclass(slots=True)
class StartSettings:
    """Everything that a balancer knows when it starts."""

    now: int
    seed: int  # of its random numbers
    balancer_index: int = 0
    balancers: int = 1  # number of balancers
    zone: int = 0
    step: int = 0  # events may be reported up to this much late
    request_classes: list = field(default_factory=list)
    tenant_shares: list = field(default_factory=list)  # requests per second over all gateways
    over_share_worth: float = 1.0
    release: Release = field(default_factory=Release)
    ask_for_list: bool = False  # the balancer has to call for the list
    # After this long without a watch of the list or a call for it, the gateway counts as knowing all that
    # discovery lists; 0: no such rule.
    max_list_call_gap: int = 0
    # The longest time for which the list may be used without confirmation. Afterwards the gateway counts as
    # knowing what discovery knows, received or not; 0: it only counts as knowing what it has received.
    max_unconfirmed_list_age: int = 0
    # A call that discovery turns away confirms the list: what discovery has counts as known only from when it
    # serves calls.
    turned_away_calls_confirm: bool = False
    attempts_cap: int = 1  # attempts that a request may get
    may_cancel: bool = False
    may_duplicate: bool = False  # a request may have several attempts in flight
    may_probe: bool = False
    retry_after_cap: int = 0  # the longest retry-after time that clients obey; 0: they obey none
    connect_time: int = 0  # the longest time that opening a connection takes
    idle_time: int = 0  # an unused connection is closed after this
    drain_grace: int = 0
    cold_time: int = 0  # from the start of an instance until it is warm
    cold_share: float = 1.0  # the share of its capacity at the start
    cold_multiple: float = 1.0
    cold_window: int = 0
    report_fields: list = field(default_factory=list)  # names of the figures that instances report
    by_work: bool = False
    prices: dict = field(default_factory=dict)


@dataclass(slots=True)
class Instance:
    """One line of the list of instances."""

    id: int
    zone: int
    kind: int
    build: int
    cell: int
    state: int  # GONE, DRAINING or READY
    nominal: float  # its capacity
    started: int  # 0: not known


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an instance."""

    request: "Request"
    number: int
    instance: object  # the balancer's `InstanceState`
    sent_at: int
    end: str = ""  # how it ended; empty while it is in flight
    connected_since: int = 0  # when the connection that it was sent on was opened
    counted_from: int = 0  # the time from which it counts against a build's cap; 0: it doesn't
    # Set by the host when the attempt begins and when it ends: from when on an unused connection to its
    # instance may be used; 0: at once, or there is none.
    connection_free_at: int = 0
    # Set by the host when the attempt ends: how long it took without waiting for the host; None: not known.
    took: int | None = None


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, with its attempts."""

    id: int
    request_class: RequestClass
    tenant: int
    key: int
    arrived: int
    deadline: int  # when the client gives up
    work: int = 0  # nanoseconds, as the client hinted; 0 without a hint
    repeat: bool = False
    attempts: list = field(default_factory=list)
    finished: bool = False  # it has its final answer, or its client has left
    # The request class that the client named, where rules may give the request another; else None.
    client_class: RequestClass | None = None
    client_key: object = None  # the client's key, where a rule gave the request another


class BalancerHost(Protocol):
    """The calls by which a balancer acts through its host. Each takes effect immediately."""

    def attempt(self, request: Request, instance_id: int, time_out: int) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def reject(self, request: Request, retry_after: int) -> None: ...
    def abort(self, request: Request) -> None: ...
    def watch_list(self) -> None: ...
    def vote(self, build: int, stage: int, verdict: int) -> None: ...
    def log(self, text: str) -> None: ...
