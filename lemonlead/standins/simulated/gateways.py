"""Gateways in a simulated world. Each runs the real LedgerPolling and Merge, with a driver that sends their
calls over the faulty network.

The checkers look at which nodes a gateway may send to: those that its Merge has as ready, once it has
received a state of the ledger."""

import json
import random
from dataclasses import dataclass

from lemonlead.following import responses
from lemonlead.following.ledger_polling import EVENTS, FOLLOW, STATE, VOTE, LedgerPolling
from lemonlead.following.merge import Merge
from lemonlead.interface import READY

from .calls import Call
from .world import MS, SECOND

CALL_TIMEOUT = 3500 * MS  # the same as in the real driver
NEVER = -(1 << 62)


@dataclass(frozen=True)
class DiscoveredInstance:
    """The fields of a discovered instance that Merge reads."""

    id: str
    state: str = READY
    started: int = 0


class Gateway:
    """A gateway of one cluster that sends the requests of one service and votes on its moves. `nodes`: the
    names of its instances, which discovery reports as ready all the time."""

    def __init__(self, cluster, name, service, nodes, seed):
        self.cluster = cluster
        self.name = name
        self.service = service
        self.nodes = nodes
        self.seed = seed
        self.world, self.endpoint, self.incarnation = cluster.world, name, 0
        self.rng = random.Random(f"gateway {seed} {name}")
        self.poll_listeners = []  # function(gateway, host, index), called as a poll reaches a member

    def start(self, world):
        self.begin()

    def begin(self):
        """Starts a new process under the same name, without any state."""
        self.incarnation += 1
        members = {host.name: f"{host.name}:1" for host in self.cluster.hosts.values() if not host.gone}
        boot = f"boot{self.incarnation}"
        self.polling = LedgerPolling(self.name, boot, members, self.rng.random(), ("moves",), self.service)
        self.merge, self.parts, self.moves = Merge(), [], {}
        self.merge.listed([DiscoveredInstance(node) for node in self.nodes], {}, True)
        self.has_state = False
        self.sent_at = {}  # command id to the time at which it was first sent
        self.leased_from = NEVER  # when the last call was sent that renewed its lease
        self.turn(self.incarnation)

    # ---- read by the checkers

    def may_send(self, node):
        return self.has_state and self.merge.merged_line(node).state == READY

    def leased(self, lease):
        """Returns whether it is registered as a follower and its lease, by its own clock, has not ended."""
        return self.polling.is_following and self.world.now - self.leased_from < lease

    def share(self, move, epoch):
        """Returns the share, in thousandths, that it sends to the destination of this move. None if it
        doesn't know this epoch of the move."""
        known = self.moves.get(move)
        return known["share"] if known is not None and known["epoch"] == epoch else None

    # ---- calls

    def turn(self, incarnation):
        if incarnation != self.incarnation or self.polling.left:
            return
        now = self.world.now
        request = self.polling.next(now)
        if request is None:
            wake = max(self.polling.not_before - now, 10 * MS)
            return self.world.after(wake, self.turn, incarnation)
        host = self.cluster.hosts.get(request.address.split(":")[0])
        if host is None:
            self.polling.failed(now)
            return self.turn(incarnation)

        def on_end(code, body):
            if incarnation == self.incarnation:
                self.call_ended(request, now, code, body)
                self.world.after(MS, self.turn, incarnation)

        call = Call(self.cluster, self.endpoint, host, on_end, CALL_TIMEOUT, part=request.part)
        if request.kind == STATE:
            call.send(host.read, call)
        elif request.kind == EVENTS:
            call.send(
                self.poll, host, self.polling.applied_index, self.polling.followed_since, call, incarnation
            )
        else:
            call.id = json.loads(request.body)["id"]
            self.sent_at.setdefault(call.id, now)
            call.send(host.command, request.body, call)

    def poll(self, host, after, since, call, incarnation):
        if incarnation == self.incarnation:
            for listener in self.poll_listeners:
                listener(self, host, after)
        host.poll(after, self.name, call, since, responses.POLLED_PARTS)

    def call_ended(self, request, sent, code, body):
        """Handles a response as the real driver does."""
        polling, now = self.polling, self.world.now
        if code == 0:
            self.parts = []
            return polling.failed(now)
        if code == 503:
            self.parts = []
            return polling.failed(now, responses.leader_hint(body), body)
        if code == 200 and not polling.check_cluster(now, responses.cluster_id(body)):
            self.parts = []
            return None
        if request.kind == FOLLOW:
            if code != 200:
                return polling.follow_refused(now)
            self.leased_from = self.sent_at[json.loads(request.body)["id"]]
            return polling.follow_accepted(now, responses.parse_whole_number(body, "at"))
        if request.kind == VOTE:
            return polling.vote_answered(request.command_number)
        if request.kind == STATE:
            return self.state_received(request, body)
        return self.events_received(sent, body)

    def state_received(self, request, body):
        self.parts.append(responses.parse_state(body, request.part))
        if self.polling.part_received(request.part):
            parts, self.parts = self.parts, []
            if not self.apply(responses.join_updates(parts), ""):
                self.polling.restart_from_state()

    def events_received(self, sent, body):
        polling, now = self.polling, self.world.now
        update = responses.parse_events(body, polling.applied_index, responses.POLLED_PARTS)
        if update is None:
            return polling.restart_from_state()
        if update.index < polling.applied_index:
            return polling.stale_response(now)
        rows = {(part, key): record for part, key, record in update.changes}
        for (part, key), record in rows.items():
            if part == "members" and record is not None:
                polling.member_changed(key, None if record.get("gone") else record["address"])
        if not self.apply(update, responses.leader_hint(body)):
            return polling.failed(now)
        self.leased_from = max(self.leased_from, sent)
        if rows.get(("followers", self.name), True) is None:
            polling.lease_lost()
        return None

    def apply(self, update, leader):
        if self.merge_update(update) is None:
            return False
        self.polling.update_applied(self.world.now, update.index, leader)
        self.has_state = True
        return True

    def merge_update(self, update):
        changed = self.merge.apply_update(self.world.now, update)
        if changed is not None:
            self.moves_changed(
                [change for change in update.changes if change[0] == "moves" and change[2] is not None]
            )
        return changed

    def moves_changed(self, changes):
        for _, key, record in changes:
            self.moves[key] = record
            self.schedule_vote(key, record)

    def schedule_vote(self, name, move):
        """Votes on the stage of a move some time after learning of it."""
        if move["service"] == self.service and move["step"] == "shifting" and move["share"] < 1000:
            verdict = "back" if self.rng.random() < 0.02 else "on"
            cast = {"move": name, "epoch": move["epoch"], "stage": move["stage"], "verdict": verdict}
            self.world.after(self.rng.randint(0, SECOND), self.vote, cast, self.incarnation)

    def vote(self, cast, incarnation):
        move = self.moves.get(cast["move"])
        is_current = move and (move["epoch"], move["stage"]) == (cast["epoch"], cast["stage"])
        if incarnation == self.incarnation and is_current and self.name not in (*move["on"], *move["back"]):
            self.polling.vote(cast)
