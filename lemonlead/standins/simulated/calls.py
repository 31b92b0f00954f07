"""One call from outside the cluster to one member over the faulty network, with its response as plain data.
The responses that a member sends over HTTP are built here from what its dispatcher returns."""

import msgspec

from lemonlead.member import assembly

from .world import MS


class Call:
    """`on_end(code, body)` is called once, with code 0 if no response came in time. `part`: the part of the
    state that a read returns."""

    def __init__(self, cluster, endpoint, host, on_end, timeout, id="", part=""):
        self.cluster = cluster
        self.world = cluster.world
        self.endpoint = endpoint
        self.host = host
        self.on_end = on_end
        self.id = id
        self.part = part
        self.ended = False
        self.world.after(timeout, self.end, 0, {})

    def send(self, input, *args):
        """Carries the call to the member, which takes it as this input."""
        member_endpoint = self.cluster.endpoint(self.host.name)
        self.world.network.carry(self.endpoint, member_endpoint, lambda _: self.host.take(input, *args))

    def end(self, code, body):
        if not self.ended:
            self.ended = True
            self.on_end(code, body)

    def respond(self, host, code, body):
        body = msgspec.json.decode(msgspec.json.encode({**body, "cluster_id": self.cluster.id}))
        member_endpoint = self.cluster.endpoint(host.name)
        self.world.network.carry(member_endpoint, self.endpoint, lambda _: self.end(code, body))

    # ---- responses of a dispatcher

    def answer(self, host, code, body):
        self.respond(host, code, body)

    def readable(self, host, state, leader):
        if state is None:
            return self.respond(host, 503, not_done(leader))
        items = dict(assembly.describe_part(state, self.part))
        self.respond(host, 200, {"at": state.index, "moment": state.moment, "items": items})

    def polled(self, host, events, at, state, leader):
        if events is None and state is None:
            return self.respond(host, 503, not_done(leader))
        if events is None:
            return self.respond(host, 200, {"at": at, "leader": leader, "whole": {}})
        listed = [
            {"index": index, "changes": [{"part": part, "key": key, "record": record}
                                         for (part, key), record in changes.items()]}
            for index, changes in events
        ]  # fmt: skip
        moment = host.dispatcher.state.moment
        self.respond(host, 200, {"at": at, "moment": moment, "leader": leader, "events": listed})


def not_done(leader):
    return {"outcome": "not done", "leader": leader, "retry_ms": 200}


def retry_delay(body):
    """Returns the nanoseconds to wait before the next try."""
    return body.get("retry_ms", 100) * MS // 2
