"""A cluster's members as gateways see them: HTTP calls, a state, changes. No consensus and no rule: what it
holds is what a test puts there. Several servers may share one `Ledger`."""

import json
import re
import threading
import time
import zlib
from collections import Counter

from .server import Server

POLL = 2.0  # seconds that a call for events waits at most
CALL = re.compile(rb"(GET|POST) (\S+) HTTP/1\.1\r\n(.*?)\r\n\r\n", re.DOTALL)


class Ledger:
    """`put` makes one entry of one change. `kept`: entries from which on changes are kept; `polls`: what each
    gateway last asked for events after, which is what it has acknowledged."""

    def __init__(self):
        self.changed = threading.Condition()
        self.at, self.kept, self.moment, self.id = 1, 1, 0, "c1"
        self.parts = {"nodes": {}, "permits": {}, "followers": {}, "members": {}, "moves": {}}
        self.reports, self.votes = [], []  # (node, state); votes on moves, as they were told
        self.events, self.ids, self.polls, self.counts = [], {}, {}, Counter()
        self.leader = None  # the server that leads; None: each of them

    def put(self, part, key, record):
        with self.changed:
            self.at += 1
            if record is None:
                self.parts[part].pop(key, None)
            else:
                self.parts[part][key] = record
            self.events.append((self.at, part, key, record))
            self.changed.notify_all()
            return self.at

    def form_new_cluster(self):
        """Another cluster of the same members, which knows nothing of this one."""
        with self.changed:
            self.id, self.at, self.kept, self.events, self.ids = self.id + "+", 1, 1, [], {}
            for part in self.parts.values():
                part.clear()
            self.polls.clear()
            self.changed.notify_all()

    def node(self, name, **fields):
        with self.changed:
            before = self.parts["nodes"].get(name, {"site": "s", "units": 1, "state": "serving", "warm": 0})
        return self.put("nodes", name, {**before, **fields})

    def permit(self, name):
        return self.put("permits", name, {"drain": "d", "term": 1, "index": self.at + 1})

    def drop_changes(self):
        """The changes so far are kept no more."""
        with self.changed:
            self.events, self.kept = [], self.at
            self.changed.notify_all()

    def acknowledged(self, gateway, index, seconds=30):
        """Waits until this gateway has asked for what comes after it, or an entry past it."""
        with self.changed:
            assert self.changed.wait_for(lambda: self.polls.get(gateway, -1) >= index, seconds), self.polls

    def command(self, told):
        with self.changed:
            self.counts[f"commands {told['kind']}"] += 1
            if told["id"] in self.ids:
                self.counts["repeats"] += 1
                return self.ids[told["id"]]
            if told["kind"] == "report":
                self.reports.append((told["node"], told["state"]))
                self.changed.notify_all()
                answer = self.ids[told["id"]] = 200, {"cluster_id": self.id, "at": self.at}
                return answer
            if told["kind"] == "move_vote":
                self.votes.append(told)
                self.changed.notify_all()
                status = 200 if told["gateway"] in self.parts["followers"] else 409
                answer = self.ids[told["id"]] = status, {"cluster_id": self.id, "at": self.at}
                return answer
            record = {"since": self.at + 1} if told["kind"] == "follow" else None
            body = {"cluster_id": self.id, "at": self.put("followers", told["gateway"], record)}
            answer = self.ids[told["id"]] = 200, body
            return answer

    def state(self, part):
        with self.changed:
            if part not in self.parts:
                return 404, {}
            told = {"cluster_id": self.id, "at": self.at, "moment": self.moment}
            return 200, {**told, "items": dict(self.parts[part])}

    def answer(self, path, body, wait=POLL):
        if path == "/v1/commands":
            return self.command(json.loads(body))
        if path.startswith("/v1/state/"):
            return self.state(path.rsplit("/", 1)[1])
        told = dict(pair.split("=") for pair in path.partition("?")[2].split("&"))
        parts = told["parts"].split(",") if "parts" in told else ()
        return self.news(int(told["after"]), told.get("gateway", ""), int(told.get("since", 0)), parts, wait)

    def news(self, after, gateway, since, parts=(), wait=POLL):
        with self.changed:
            if self.parts["followers"].get(gateway, {}).get("since") == since:
                self.polls[gateway] = max(after, self.polls.get(gateway, -1))
            self.counts["polls"] += 1
            self.changed.notify_all()

            def some():
                return [
                    {"index": index, "changes": [{"part": part, "key": key, "record": record}]}
                    for index, part, key, record in self.events
                    if index > after and part in (parts or self.parts)
                ]

            id = self.id
            self.changed.wait_for(
                lambda: self.at > after and (after < self.kept or some()) or self.id != id, wait
            )
            if after < self.kept:
                return 200, {"cluster_id": self.id, "at": self.at, "whole": True}
            return 200, {"cluster_id": self.id, "at": self.at, "events": some(), "moment": self.moment}


class MemberServer(Server):
    """One member. `wrong`: functions of (path, body bytes) that give the bytes of the next answers in place
    of the right ones; the connection ends after each."""

    def __init__(self, ledger, name="m1"):
        super().__init__()
        self.ledger, self.name, self.wrong = ledger, name, []
        self.asked = []  # (moment, path)

    def serve(self, sock):
        data = b""
        while some := sock.recv(65536):
            data += some
            while found := CALL.match(data):
                length = int((re.search(rb"(?i)content-length: (\d+)", found[3]) or (0, 0))[1])
                if len(data) - found.end() < length:
                    break
                body, data = data[found.end() : found.end() + length], data[found.end() + length :]
                path = found[2].decode()
                self.asked.append((time.monotonic(), path))
                if self.wrong:
                    return sock.sendall(self.wrong.pop(0)(path, body) or b"")
                sock.sendall(http_response(*self.answer(path, body)))

    def answer(self, path, body):
        leader = self.ledger.leader
        if leader is not None and leader != self.name:
            return 503, {"outcome": "not done", "leader": leader, "retry_ms": 20}
        return self.ledger.answer(path, body)


def http_response(status, told, spoil=False):
    """An answer's bytes. `spoil`: one bit of the body is not what its check says."""
    body = json.dumps(told).encode()
    head = f"HTTP/1.1 {status} so\r\nContent-Length: {len(body)}\r\nX-Crc32: {zlib.crc32(body):08x}\r\n\r\n"
    return head.encode() + (bytes([body[0]]) + bytes([body[1] ^ 1]) + body[2:] if spoil else body)
