"""Gateways in a simulated world: the very LedgerPolling and Merge, and a driver that asks over
the faulty network.

What counts is to whom a gateway may send: to each node that its Merge has ready, from its first word of the
ledger on."""

import json
import random
from dataclasses import dataclass

from lemonlead.following import responses
from lemonlead.following.ledger_polling import EVENTS, FOLLOW, STATE, VOTE, LedgerPolling
from lemonlead.following.merge import Merge
from lemonlead.interface import READY

from .calls import Call
from .world import MS, SECOND

SILENCE = 3500 * MS  # without an answer a call has failed, as in the driver
NEVER_HEARD = -(1 << 62)


@dataclass(frozen=True)
class Line:
    """What of discovery's line Merge looks at."""

    id: str
    state: str = READY
    started: int = 0


class Gateway:
    """Of one cluster; sends one service's requests, votes on its moves. `nodes`: names, all of them ready by
    discovery's word."""

    def __init__(self, cluster, name, service, nodes, seed):
        self.cluster, self.name, self.service, self.nodes, self.seed = cluster, name, service, nodes, seed
        self.world, self.line, self.life = cluster.world, name, 0
        self.chance = random.Random(f"gateway {seed} {name}")
        self.watched = []  # function(gateway, after) as a poll comes to a leader

    def start(self, world):
        self.begin()

    def begin(self):
        """A new process under the old name: it knows nothing."""
        self.life += 1
        members = {host.name: f"{host.name}:1" for host in self.cluster.hosts.values() if not host.gone}
        boot = f"boot{self.life}"
        self.polling = LedgerPolling(self.name, boot, members, self.chance.random(), ("moves",), self.service)
        self.merge, self.parts, self.moves = Merge(), [], {}
        self.merge.listed([Line(node) for node in self.nodes], {}, True)
        self.heard, self.asked = False, {}  # asked: a command's id to when it was first sent
        self.fresh = NEVER_HEARD  # when the last call was sent by which the ledger knows of it
        self.turn(self.life)

    # ---- what judges ask

    def may_send(self, node):
        return self.heard and self.merge.merged_line(node).state == READY

    def leased(self, lease):
        """Whether it follows and its lease has not run out, by its own count."""
        return self.polling.is_following and self.world.now - self.fresh < lease

    def share(self, move, epoch):
        """Thousandths that it sends to the far side of this move; None where it has not heard of it."""
        known = self.moves.get(move)
        return known["share"] if known is not None and known["epoch"] == epoch else None

    # ---- its calls

    def turn(self, life):
        if life != self.life or self.polling.left:
            return
        now = self.world.now
        ask = self.polling.next(now)
        if ask is None:
            wake = max(self.polling.not_before - now, 10 * MS)
            return self.world.after(wake, self.turn, life)
        host = self.cluster.hosts.get(ask.address.split(":")[0])
        if host is None:
            self.polling.failed(now)
            return self.turn(life)

        def over(code, body):
            if life == self.life:
                self.over(ask, now, code, body)
                self.world.after(MS, self.turn, life)

        call = Call(self.cluster, self.line, host, over, SILENCE, part=ask.part)
        if ask.kind == STATE:
            call.go(host.read, call)
        elif ask.kind == EVENTS:
            call.go(self.poll, host, self.polling.applied_index, self.polling.followed_since, call, life)
        else:
            call.id = json.loads(ask.body)["id"]
            self.asked.setdefault(call.id, now)
            call.go(host.command, ask.body, call)

    def poll(self, host, after, since, call, life):
        if life == self.life:
            for watch in self.watched:
                watch(self, host, after)
        host.poll(after, self.name, call, since, responses.POLLED_PARTS)

    def over(self, ask, sent, code, body):
        """What the answer means, as the driver has it."""
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
        if ask.kind == FOLLOW:
            if code != 200:
                return polling.follow_refused(now)
            self.fresh = self.asked[json.loads(ask.body)["id"]]
            return polling.follow_accepted(now, responses.parse_whole_number(body, "at"))
        if ask.kind == VOTE:
            return polling.vote_answered(ask.command_number)
        if ask.kind == STATE:
            return self.state(ask, body)
        return self.events(sent, body)

    def state(self, ask, body):
        self.parts.append(responses.parse_state(body, ask.part))
        if self.polling.part_received(ask.part):
            parts, self.parts = self.parts, []
            if not self.obey(responses.join_updates(parts), ""):
                self.polling.restart_from_state()

    def events(self, sent, body):
        polling, now = self.polling, self.world.now
        news = responses.parse_events(body, polling.applied_index, responses.POLLED_PARTS)
        if news is None:
            return polling.restart_from_state()
        if news.index < polling.applied_index:
            return polling.stale_response(now)
        rows = {(part, key): record for part, key, record in news.changes}
        for (part, key), record in rows.items():
            if part == "members" and record is not None:
                polling.member_changed(key, None if record.get("gone") else record["address"])
        if not self.obey(news, responses.leader_hint(body)):
            return polling.failed(now)
        self.fresh = max(self.fresh, sent)
        if rows.get(("followers", self.name), True) is None:
            polling.lease_lost()
        return None

    def obey(self, news, leader):
        if self.hear(news) is None:
            return False
        self.polling.update_applied(self.world.now, news.index, leader)
        self.heard = True
        return True

    def hear(self, news):
        told = self.merge.apply_update(self.world.now, news)
        if told is not None:
            self.shifts([change for change in news.changes if change[0] == "moves" and change[2] is not None])
        return told

    def shifts(self, changes):
        for _, key, record in changes:
            self.moves[key] = record
            self.judge(key, record)

    def judge(self, name, move):
        """Its vote on a stage, some time after it heard of it."""
        if move["service"] == self.service and move["step"] == "shifting" and move["share"] < 1000:
            verdict = "back" if self.chance.random() < 0.02 else "on"
            cast = {"move": name, "epoch": move["epoch"], "stage": move["stage"], "verdict": verdict}
            self.world.after(self.chance.randint(0, SECOND), self.vote, cast, self.life)

    def vote(self, cast, life):
        move = self.moves.get(cast["move"])
        stands = move and (move["epoch"], move["stage"]) == (cast["epoch"], cast["stage"])
        if life == self.life and stands and self.name not in (*move["on"], *move["back"]):
            self.polling.vote(cast)
