"""Whom a gateway asks what, and when: it asks to be waited for, takes the whole state, then each change.

The order is what the ledger's promise rests on: asked to follow before anything is obeyed, and what comes
after an index asked for only once all up to it was obeyed. Members are tried in turn; after a failure it
waits longer each time, spread by chance, so that hundreds of gateways do not come together."""

import json
import random
from collections import deque
from dataclasses import dataclass

from .merge import MOST_LEFT
from .responses import POLLED_PARTS, retry_pause

MS = 1_000_000
SHORTEST, LONGEST = 50 * MS, 2000 * MS  # waits after failures; half to the whole of it
REFUSED = 30_000 * MS  # before it asks to follow anew where the ledger refused that
PASSES = 3  # times in a row that it is passed on at once; past it, it waits as after a failure
MOST_MEMBERS = 64  # known by name
SHUNNED = 10_000 * MS  # for which a member that did not answer is not gone to for being the leader
FOLLOW, STATE, EVENTS, UNFOLLOW, VOTE = "follow", "state", "events", "unfollow", "move_vote"
STATE_PARTS = ("permits", "nodes")  # in this order: what a node is told to be is never older than its permit


@dataclass(frozen=True, slots=True)
class Ask:
    kind: str
    member: str
    address: str  # host:port
    method: str
    path: str
    body: bytes = b""
    part: str = ""
    command_number: int = 0  # of the command


class LedgerPolling:
    def __init__(self, me, boot, members, seed, more=(), service=""):
        """`boot`: of this process alone, so that ids are never used twice. `members`: name to address.
        `more`: parts of the state that are asked for beside those that all heed. `service`: whose moves it
        votes on, if any."""
        self.asks = {"services": [service]} if service else {}  # with `follow`
        self.me, self.boot, self.members = me, boot, dict(members)
        self.random = random.Random(seed)
        self.order = sorted(members)
        self.random.shuffle(self.order)
        self.member, self.retired = self.order[0], []  # those that the ledger has no more: tried seldom
        self.length, self.passes, self.not_before, self.follow_at = SHORTEST, 0, 0, 0
        self.is_following, self.leaving, self.left = False, False, False
        self.all_parts = (*STATE_PARTS, *more)
        self.missing_parts = list(self.all_parts)  # still to be had before events can be
        self.ballot = None  # the vote that the ledger is to be told: (number, fields)
        self.ballots = 0
        self.shunned = {}  # member: until when
        self.obeyed_at = None  # the moment at which it last had word of all up to `at`
        self.number, self.applied_index = 1, 0  # of the next command; up to where all was obeyed
        self.followed_since = 0  # the entry that took it in: each poll names it
        self.cluster, self.gone = "", deque(maxlen=MOST_LEFT)  # the one that it follows; those that it left
        self.counts = dict.fromkeys(("polls", "failures", "passes", "moves", "wholes", "older", "anew"), 0)

    # ---- inputs

    def check_cluster(self, now, cluster):
        """Whether an answer of this cluster is to be heeded as it is. One formed anew is followed from the
        start: asked to be waited for, then the whole of it; what it left is heeded no more, however late it
        answers."""
        if cluster in self.gone:
            self.stale_response(now)
            return False
        if self.cluster in ("", cluster):
            self.cluster = cluster
            return True
        self.counts["anew"] += 1
        self.gone.append(self.cluster)
        self.cluster, self.applied_index = cluster, 0
        self.restart_from_state()
        self.number += 1
        return False

    def follow_accepted(self, now, since):
        """Entry `since` took it in. What it holds of the state is taken anew: it may lack what came
        between."""
        self.worked()
        self.followed_since = since
        self.number += 1
        self.is_following, self.missing_parts = True, list(self.all_parts)

    def follow_refused(self, now):
        """The ledger has no room for it: it obeys all the same, and is not waited for."""
        self.worked()
        self.number += 1
        self.follow_at = now + REFUSED

    def part_received(self, part):
        """A part of the whole state has come. True once it was the last."""
        self.worked()
        self.missing_parts.remove(part)
        self.counts["wholes"] += not self.missing_parts
        return not self.missing_parts

    def update_applied(self, now, at, leader=""):
        """The balancer knows all up to this entry. `leader`: who led as the member answered: to be asked
        itself, where it can be reached, as it is the one that counts who has acknowledged."""
        self.worked()
        self.obeyed_at = now
        self.counts["polls"] += 1
        self.applied_index = max(self.applied_index, at)
        if leader in self.members and self.shunned.get(leader, now) <= now:
            self.move(leader)

    def restart_from_state(self):
        """What it asked for is kept no more: the whole state again; perhaps it was forgotten meanwhile."""
        self.worked()
        self.is_following, self.missing_parts = False, list(self.all_parts)

    def lease_lost(self):
        """Its lease ran out while it was not heard."""
        self.is_following = False

    def failed(self, now, member="", told=None, unread=False):
        """The call came to nothing. `member`: whom the answer says to ask; `told`: the answer, None where
        none came that could be read. What could not be read may be a state too large for one answer: its
        parts are asked for then."""
        self.counts["failures"] += 1
        if member in self.members and member != self.member and self.passes < PASSES:
            self.passes += 1
            self.counts["passes"] += 1
            return self.move(member)
        if self.missing_parts or unread:
            self.missing_parts = list(self.all_parts)  # all of them from one member
        if told is None:
            self.shunned[self.member] = now + SHUNNED
        self.move(self.next_member())
        self.passes = 0
        self.not_before = now + max(int(self.length * self.random.uniform(0.5, 1.0)), retry_pause(told or {}))
        self.length = min(2 * self.length, LONGEST)

    def next_member(self):
        """The member after this one. Those of the settings that the ledger has no more may be all that there
        is, of a cluster formed anew: one of them has its turn after all the others."""
        at = self.order.index(self.member) + 1 if self.member in self.order else 0
        if at < len(self.order):
            return self.order[at]
        if self.retired and self.member not in self.retired:
            self.retired.append(self.retired.pop(0))
            return self.retired[-1]
        return self.order[0]

    def stale_response(self, now):
        """A member that lags told what was known already."""
        self.counts["older"] += 1
        self.failed(now, told={})

    def silent_ms(self, now):
        """Milliseconds since it last had word, -1 where it never had."""
        return -1 if self.obeyed_at is None else (now - self.obeyed_at) // MS

    def vote(self, fields):
        """To be told once it follows, in place of any before that was not answered. Its number."""
        self.ballots += 1
        self.ballot = self.ballots, fields
        return self.ballots

    def vote_answered(self, number):
        """The ledger answered this one."""
        self.worked()
        if self.ballot is not None and self.ballot[0] == number:
            self.ballot = None

    def leave(self, now):
        """It has ended its attempts: asks not to be waited for any more."""
        self.leaving, self.not_before = True, now

    def unfollowed(self):
        self.left = True

    def member_changed(self, name, address):
        """A member as the ledger has it, None where it is gone. Those of the settings stay known."""
        if address is None and name in self.order and len(self.order) > 1:
            self.order.remove(name)
            self.retired = [*self.retired[-MOST_MEMBERS:], name]
        if address is not None and (name in self.members or len(self.members) < MOST_MEMBERS):
            if name not in self.members:
                self.order.append(name)
            self.members[name] = address

    # ---- decisions

    def next(self, now):
        """What to ask now; None where it is to wait until `not_before`, or is done."""
        if now < self.not_before or self.left:
            return None
        if self.leaving:
            return self.command(UNFOLLOW)
        if not self.is_following and now >= self.follow_at:
            return self.command(FOLLOW, fields=self.asks)
        if self.is_following and not self.missing_parts and (ballot := self.ballot) is not None:
            return self.command(VOTE, *ballot)
        if self.missing_parts:
            return self.ask(STATE, "GET", f"/v1/state/{self.missing_parts[0]}", part=self.missing_parts[0])
        path = (
            f"/v1/events?after={self.applied_index}&gateway={self.me}&since={self.followed_since}"
            f"&parts={','.join(POLLED_PARTS)}"
        )
        return self.ask(EVENTS, "GET", path)

    def command(self, kind, number=0, fields=None):
        """The same id until it is answered: done once, whichever members were asked."""
        number = number or self.number
        told = {"id": f"{self.me}/{kind}/{self.boot}/{number}", "kind": kind, "gateway": self.me}
        body = json.dumps({**told, **(fields or {})}).encode()
        return self.ask(kind, "POST", "/v1/commands", body, number=number)

    def ask(self, what, method, path, body=b"", part="", number=0):
        return Ask(what, self.member, self.members[self.member], method, path, body, part, number)

    # ---- inside

    def worked(self):
        self.length, self.passes = SHORTEST, 0

    def move(self, member):
        self.counts["moves"] += member != self.member
        self.member = member
