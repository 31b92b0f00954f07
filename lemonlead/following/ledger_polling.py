"""Decides which member a gateway calls and when: it first sends a follow command, then takes the whole state,
then each change.

The ledger's guarantee depends on this order: the gateway follows before it applies anything, and it polls for
changes after an index only once everything up to that index has been applied. Members are tried in turn.
After failures the waits grow and are random, so that hundreds of gateways don't come back at the same
time."""

import json
import random
from collections import deque
from dataclasses import dataclass
from urllib.parse import quote

from .merge import MAX_LEFT_CLUSTERS
from .responses import POLLED_PARTS, retry_pause

MS = 1_000_000
# Waits after failures: a random time between half of the current bound and the whole of it.
MIN_BACKOFF_NS = 50 * MS
MAX_BACKOFF_NS = 2000 * MS
FOLLOW_RETRY_NS = 30_000 * MS  # wait before a refused follow command is sent again
MAX_REDIRECTS = 3  # consecutive redirects that are followed immediately; beyond, one counts as a failure
MAX_MEMBERS = 64
UNRESPONSIVE_NS = 10_000 * MS  # a member that didn't answer is not preferred as the leader for this long
FOLLOW, STATE, EVENTS, UNFOLLOW, VOTE = "follow", "state", "events", "unfollow", "move_vote"
STATE_PARTS = ("permits", "nodes")  # in this order, so that a node's state is never older than its permit


@dataclass(frozen=True, slots=True)
class LedgerRequest:
    """One call to a member."""

    kind: str
    member: str
    address: str  # host:port
    method: str
    path: str
    body: bytes = b""
    part: str = ""
    command_number: int = 0


class LedgerPolling:
    """The polling state of one gateway."""

    def __init__(self, gateway, process_id, members, seed, more=(), service=""):
        """`process_id` must differ between processes, so that command ids are never used twice. `members`
        maps member names to addresses. `more` names parts of the state that are requested beside STATE_PARTS.
        `service` is the service on whose moves the gateway votes, if any."""
        # Further fields of the follow command.
        self.follow_fields = {"services": [service]} if service else {}
        self.gateway, self.process_id, self.members = gateway, process_id, dict(members)
        self.random = random.Random(seed)
        self.order = sorted(members)
        self.random.shuffle(self.order)
        self.member = self.order[0]
        self.retired = []  # members that the ledger no longer has; they are tried rarely
        self.max_wait = MIN_BACKOFF_NS
        self.redirects = 0  # consecutive
        self.not_before = 0
        self.follow_not_before = 0
        self.is_following = False
        self.leaving = False
        self.left = False
        self.all_parts = (*STATE_PARTS, *more)
        self.missing_parts = list(self.all_parts)  # to be received before events can be polled
        self.page_after = ""  # the last key received of the first missing part
        self.pending_vote = None  # the vote to send: (command number, fields)
        self.vote_count = 0
        self.unresponsive_until = {}  # time by member
        self.last_update_at = None  # time of the last applied update
        self.command_number = 1  # of the next command
        self.applied_index = 0  # the balancer has everything up to this index
        self.followed_since = 0  # index of the entry that accepted the follow command; each poll names it
        # The cluster that is followed, and those that it replaced.
        self.cluster, self.left_clusters = "", deque(maxlen=MAX_LEFT_CLUSTERS)
        self.counts = dict.fromkeys(("polls", "failures", "passes", "moves", "wholes", "older", "anew"), 0)

    # ---- inputs

    def check_cluster(self, now, cluster):
        """Returns whether a response of this cluster is to be used as it is. A newly formed cluster is
        followed from the start: with a follow command and then its whole state. Responses of the cluster that
        it replaced are ignored, however late they come."""
        if cluster in self.left_clusters:
            self.stale_response(now)
            return False
        if self.cluster in ("", cluster):
            self.cluster = cluster
            return True
        self.counts["anew"] += 1
        self.left_clusters.append(self.cluster)
        self.cluster, self.applied_index, self.followed_since = cluster, 0, 0
        self.restart_from_state()
        self.command_number += 1
        return False

    def follow_accepted(self, now, since):
        """Records that ledger entry `since` made the gateway a follower. The state is requested again,
        because changes may have come in between."""
        self.reset_waits()
        self.followed_since = since
        self.command_number += 1
        self.is_following = True
        self.request_all_parts()

    def follow_refused(self, now):
        """Records that the ledger has no room for another follower. The gateway applies the ledger's state
        all the same, but the ledger doesn't wait for it."""
        self.reset_waits()
        self.command_number += 1
        self.follow_not_before = now + FOLLOW_RETRY_NS

    def part_received(self, part, next_page=""):
        """Records that a part of the whole state was received, or a page of it if `next_page` has the last
        key of that page. Returns whether everything has been received."""
        self.reset_waits()
        self.page_after = next_page
        if next_page:
            return False
        self.missing_parts.remove(part)
        self.counts["wholes"] += not self.missing_parts
        return not self.missing_parts

    def update_applied(self, now, at, leader=""):
        """Records that the balancer has everything up to index `at`. `leader` is the leader that the member
        named; it is called directly if it can be reached, because it is the one that counts
        acknowledgements."""
        self.reset_waits()
        self.last_update_at = now
        self.counts["polls"] += 1
        self.applied_index = max(self.applied_index, at)
        if leader in self.members and self.unresponsive_until.get(leader, now) <= now:
            self.switch_member(leader)

    def restart_from_state(self):
        """Starts again from the whole state, because the member no longer keeps the requested changes. The
        ledger may have dropped the follower meanwhile."""
        self.reset_waits()
        self.is_following = False
        self.request_all_parts()

    def request_all_parts(self):
        """Starts to request the whole state."""
        self.missing_parts, self.page_after = list(self.all_parts), ""

    def lease_lost(self):
        """Records that the gateway's lease ran out."""
        self.is_following = False

    def failed(self, now, member="", response=None, unread=False):
        """Records that a call failed. `member` is the member that the response names as the one to call,
        `response` the response or None when none could be read. With `unread`, a response couldn't be parsed:
        it may have been a state too large for one response, so the state is requested by parts."""
        self.counts["failures"] += 1
        if self.missing_parts or unread:
            self.request_all_parts()  # all of them from one member
        if member in self.members and member != self.member and self.redirects < MAX_REDIRECTS:
            self.redirects += 1
            self.counts["passes"] += 1
            return self.switch_member(member)
        if response is None:
            self.unresponsive_until[self.member] = now + UNRESPONSIVE_NS
        self.switch_member(self.next_member())
        self.redirects = 0
        self.not_before = now + max(
            int(self.max_wait * self.random.uniform(0.5, 1.0)), retry_pause(response or {})
        )
        self.max_wait = min(2 * self.max_wait, MAX_BACKOFF_NS)

    def next_member(self):
        """Returns the member to call after the current one. Members of the settings that the ledger no longer
        has may be the only members of a newly formed cluster, so one of them gets a turn after all the
        others."""
        at = self.order.index(self.member) + 1 if self.member in self.order else 0
        if at < len(self.order):
            return self.order[at]
        if self.retired and self.member not in self.retired:
            self.retired.append(self.retired.pop(0))
            return self.retired[-1]
        return self.order[0]

    def stale_response(self, now):
        """Counts a response that is older than the applied state as a failure."""
        self.counts["older"] += 1
        self.failed(now, response={})

    def silent_ms(self, now):
        """Returns the milliseconds since the last applied update, -1 if there was none."""
        return -1 if self.last_update_at is None else (now - self.last_update_at) // MS

    def vote(self, fields):
        """Queues a vote, to be sent once the gateway follows. It replaces an earlier vote that has no
        response yet. Returns its number."""
        self.vote_count += 1
        self.pending_vote = self.vote_count, fields
        return self.vote_count

    def vote_answered(self, command_number):
        """Records that the ledger answered the vote of this number."""
        self.reset_waits()
        if self.pending_vote is not None and self.pending_vote[0] == command_number:
            self.pending_vote = None

    def leave(self, now):
        """Starts to leave, once all attempts have ended: the next command is an unfollow, unless no follow
        command was answered. A stay whose index is unknown ends with its lease."""
        self.leaving, self.not_before = True, now
        self.left = not self.followed_since

    def unfollowed(self):
        """Records that the ledger no longer waits for this gateway."""
        self.left = True

    def member_changed(self, name, address):
        """Records a member's address as the ledger has it, None if the member was removed. Members of the
        settings stay known."""
        if address is None and name in self.order and len(self.order) > 1:
            self.order.remove(name)
            self.retired = [*self.retired[-MAX_MEMBERS:], name]
        if address is not None and (name in self.members or len(self.members) < MAX_MEMBERS):
            if name not in self.members:
                self.order.append(name)
            self.members[name] = address

    # ---- decisions

    def next(self, now):
        """Returns the next request, or None before `not_before` and after the end."""
        if now < self.not_before or self.left:
            return None
        if self.leaving:
            return self.command_request(UNFOLLOW, fields={"since": self.followed_since})
        if not self.is_following and now >= self.follow_not_before:
            return self.command_request(FOLLOW, fields=self.follow_fields)
        if self.is_following and not self.missing_parts and (vote := self.pending_vote) is not None:
            return self.command_request(VOTE, *vote)
        if self.missing_parts:
            part = self.missing_parts[0]
            path = f"/v1/state/{part}?page_after={quote(self.page_after)}"
            return self.request(STATE, "GET", path, part=part)
        path = (
            f"/v1/events?after={self.applied_index}&gateway={self.gateway}&since={self.followed_since}"
            f"&parts={','.join(POLLED_PARTS)}"
        )
        return self.request(EVENTS, "GET", path)

    def command_request(self, kind, command_number=0, fields=None):
        """Returns a request that sends a command. The id stays the same until the command is answered, so the
        command takes effect once, whichever members were called."""
        command_number = command_number or self.command_number
        command = {
            "id": f"{self.gateway}/{kind}/{self.process_id}/{command_number}",
            "kind": kind,
            "gateway": self.gateway,
        }
        body = json.dumps({**command, **(fields or {})}).encode()
        return self.request(kind, "POST", "/v1/commands", body, command_number=command_number)

    def request(self, kind, method, path, body=b"", part="", command_number=0):
        """Returns a request to the current member."""
        return LedgerRequest(
            kind, self.member, self.members[self.member], method, path, body, part, command_number
        )

    # ---- internals

    def reset_waits(self):
        """Starts again with the shortest wait."""
        self.max_wait, self.redirects = MIN_BACKOFF_NS, 0

    def switch_member(self, member):
        """Makes this member the one to call."""
        self.counts["moves"] += member != self.member
        self.member = member
