"""What passes the door between a host and a balancer (`lemonlead/balance.py`). Types only.

Times are whole nanoseconds; a moment is read off the host's clock, which has no fixed start. A host reads it
once for an input and all decisions that it pulls on it. Ids and keys are the host's: a balancer only compares
them.
"""

from dataclasses import dataclass, field
from typing import Protocol

# What a request class's requests do when they run twice.
IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT = "idempotent", "deduplicated", "non-idempotent"
# How an attempt ended.
SUCCEEDED, ERRED, REJECTED, TIMED_OUT = "succeeded", "erred", "rejected", "timed out"
UNCONNECTED, RESET, CANCELLED, NOT_SENT = "unconnected", "reset", "cancelled", "not sent"
UNREADABLE, BAD_REQUEST = (
    "spoilt",
    "unfit",
)  # an answer that cannot be read; the instance cannot use this request
NEVER_RAN = (REJECTED, UNCONNECTED, NOT_SENT)  # the endings that prove that an attempt did not run
# An instance's state as listed.
GONE, DRAINING, READY = 0, 1, 2
# A build's phase.
ON_TRIAL, ROLLING_BACK, RELEASED, WITHDRAWN = 0, 1, 2, 3
# Verdicts, and what became of a vote.
VERDICT_NONE, VERDICT_PROMOTE, VERDICT_HOLD, VERDICT_ROLL_BACK = 0, 1, 2, 3
COUNTED, MOOT, OVER_ALLOWANCE, VOTE_ERRED, UNANSWERED = "counted", "moot", "over", "erred", "unanswered"


@dataclass(slots=True)
class RequestClass:
    number: int
    effect: str
    latency_objective: int
    deadline: int
    revenue: float
    late_share: float = 0.0  # share of the revenue that an answer past the latency objective still earns
    objective_stretch: float = 0.0  # the latency objective grows by this multiple of the request's own work
    repeat_scope: str = "all"  # deduplicated: which instances drop repeats: "all", one "zone" or one "cell"
    repeat_window: int = 0  # deduplicated: for how long they do
    streamed: bool = False


@dataclass(slots=True)
class Release:
    """What is told of how builds come and go."""

    control: str = "by_count"  # "first_voice", "by_count" or "automatic"
    promote_votes_needed: int = 1
    roll_back_votes_needed: int = 1
    bake: int = 0
    vote_lifetime: int = 0
    vote_timeout: int = 0
    votes_per_s: float = 0.0
    window: int = 0
    free_attempts: float = 0.0
    per_class: bool = False
    guarded_stages: int = 0
    forward_only: bool = False
    caps: list = field(default_factory=list)
    steps: list = field(default_factory=list)
    old_price: float = 0.0
    harm_price: float = 0.0
    replaces: bool = False  # each earlier machine drains once its successor runs


@dataclass(slots=True)
class StartSettings:
    """All that a balancer is told when it starts."""

    now: int
    seed: int
    balancer_index: int = 0
    balancers: int = 1
    zone: int = 0
    step: int = 0
    request_classes: list = field(default_factory=list)
    tenant_shares: list = field(default_factory=list)  # requests a second over all gateways
    over_share_worth: float = 1.0
    release: Release = field(default_factory=Release)
    ask_for_list: bool = False
    max_list_call_gap: int = (
        0  # without a watch or call for so long it is held to all that was listed; 0: not told
    )
    assumed_known_after: int = (
        0  # so long after, what discovery has counts as told unheard; 0: only what is told
    )
    attempts_cap: int = 1
    may_cancel: bool = False
    may_duplicate: bool = False
    may_probe: bool = False
    retry_after_cap: int = 0  # the longest that a client heeds a time to come back; 0: it can be told none
    connect_time: int = 0
    idle_time: int = 0  # an unused connection closes after this
    drain_grace: int = 0
    cold_time: int = 0
    cold_share: float = 1.0
    cold_multiple: float = 1.0
    cold_window: int = 0
    report_fields: list = field(default_factory=list)
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
    state: int
    nominal: float
    started: int


@dataclass(slots=True, eq=False)
class Attempt:
    request: "Request"
    number: int
    instance: object
    sent_at: int
    end: str = ""  # how it ended; empty while it is out
    connected_since: int = 0  # the moment since which the connection that it was sent on has stood
    counted_from: int = 0  # the moment from which it counts against a build's cap; 0: against none
    # Told by the host as it begins and as it ends: from when the next one at its instance finds an unused
    # connection that may be used. 0: at once, or there is none.
    connection_free_at: int = 0
    # Told by the host as it ends: what it took, without what it waited for the host; None: not told.
    took: int | None = None


@dataclass(slots=True, eq=False)
class Request:
    id: int
    request_class: RequestClass
    tenant: int
    key: int
    arrived: int
    deadline: int  # the moment at which the client gives this try up
    work: int = 0  # the work hinted at, 0 without a hint
    repeat: bool = False
    attempts: list = field(default_factory=list)
    finished: bool = False  # it has its final answer, or its client has left
    # the request class that the client named, where rules may give another; else None
    client_class: RequestClass | None = None
    client_key: object = None  # the client's key, where a rule gave another


class BalancerHost(Protocol):
    """What a balancer may ask of its host; each call takes effect at once."""

    def attempt(self, request: Request, instance_id: int, time_out: int) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def reject(self, request: Request, retry_after: int) -> None: ...
    def abort(self, request: Request) -> None: ...
    def watch_list(self) -> None: ...
    def vote(self, build: int, stage: int, verdict: int) -> None: ...
    def log(self, text: str) -> None: ...
