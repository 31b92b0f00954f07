"""One call from outside to one member over the faulty network, and what it answers, as plain data. What a
member's door tells over HTTP is made here from the same words of its dispatcher."""

import msgspec

from lemonlead.member import assembly

from .world import MS


class Call:
    """`over(code, body)` once: with code 0 where no answer came in time."""

    def __init__(self, cluster, line, host, over, time_out, id="", part=""):
        self.cluster, self.world, self.line, self.host = cluster, cluster.world, line, host
        self.over, self.id, self.part, self.ended = over, id, part, False
        self.world.after(time_out, self.end, 0, {})

    def go(self, input, *args):
        """Carried to the member, where it is this input."""
        line = self.cluster.line(self.host.name)
        self.world.network.carry(self.line, line, lambda _: self.host.take(input, *args))

    def end(self, code, body):
        if not self.ended:
            self.ended = True
            self.over(code, body)

    def back(self, host, code, body):
        body = msgspec.json.decode(msgspec.json.encode({**body, "cluster_id": self.cluster.id}))
        line = self.cluster.line(host.name)
        self.world.network.carry(line, self.line, lambda _: self.end(code, body))

    # ---- as a dispatcher's door answers

    def answer(self, host, code, body):
        self.back(host, code, body)

    def readable(self, host, state, leader):
        if state is None:
            return self.back(host, 503, not_done(leader))
        items = dict(assembly.describe_part(state, self.part))
        self.back(host, 200, {"at": state.index, "moment": state.moment, "items": items})

    def polled(self, host, events, at, state, leader):
        if events is None and state is None:
            return self.back(host, 503, not_done(leader))
        if events is None:
            return self.back(host, 200, {"at": at, "leader": leader, "whole": {}})
        told = [
            {"index": index, "changes": [{"part": part, "key": key, "record": record}
                                         for (part, key), record in changes.items()]}
            for index, changes in events
        ]  # fmt: skip
        moment = host.dispatcher.state.moment
        self.back(host, 200, {"at": at, "moment": moment, "leader": leader, "events": told})


def not_done(leader):
    return {"outcome": "not done", "leader": leader, "retry_ms": 200}


def wait(body):
    """Nanoseconds before the next try."""
    return body.get("retry_ms", 100) * MS // 2
