"""A stand-in for a cluster's members as gateways see them: HTTP calls, a state and its changes.

It has no consensus and no rules: the state is what a test puts into it. Several servers may share a
`Ledger`."""

import json
import re
import threading
import time
import zlib
from collections import Counter
from urllib.parse import unquote

from .server import Server

MAX_POLL_SECONDS = 2.0  # that a call for events waits
CALL = re.compile(rb"(GET|POST) (\S+) HTTP/1\.1\r\n(.*?)\r\n\r\n", re.DOTALL)


class Ledger:
    """The state and its changes. `put` makes an entry of one change.

    `at`: the last entry. `first_kept`: the entry after which changes are kept. `polls`: for each gateway the
    index after which it last asked for events, which it has thereby acknowledged.
    """

    def __init__(self):
        self.changed = threading.Condition()
        self.at = 1
        self.first_kept = 1
        self.moment = 0
        self.id = "c1"
        self.parts = {"nodes": {}, "permits": {}, "followers": {}, "members": {}, "moves": {}}
        self.reports = []  # (node, state)
        self.votes = []  # commands of votes on moves, as received
        self.events, self.ids, self.polls, self.counts = [], {}, {}, Counter()
        self.page_records = 1000  # in a page of a part; None: as a member that knows no pages
        self.leader = None  # the name of the server that leads; None: all of them

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
        """Replaces the cluster by a new one of the same members, with an empty state."""
        with self.changed:
            self.id, self.at, self.first_kept, self.events, self.ids = self.id + "+", 1, 1, [], {}
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
        """Drops the changes so far."""
        with self.changed:
            self.events = []
            self.first_kept = self.at
            self.changed.notify_all()

    def acknowledged(self, gateway, index, seconds=30):
        """Waits until this gateway has asked for events after this index or a later one."""
        with self.changed:
            assert self.changed.wait_for(lambda: self.polls.get(gateway, -1) >= index, seconds), self.polls

    def command(self, command):
        with self.changed:
            self.counts[f"commands {command['kind']}"] += 1
            if command["id"] in self.ids:
                self.counts["repeats"] += 1
                return self.ids[command["id"]]
            if command["kind"] == "report":
                self.reports.append((command["node"], command["state"]))
                self.changed.notify_all()
                answer = self.ids[command["id"]] = 200, {"cluster_id": self.id, "at": self.at}
                return answer
            if command["kind"] == "move_vote":
                self.votes.append(command)
                self.changed.notify_all()
                status = 200 if command["gateway"] in self.parts["followers"] else 409
                answer = self.ids[command["id"]] = status, {"cluster_id": self.id, "at": self.at}
                return answer
            record = {"since": self.at + 1} if command["kind"] == "follow" else None
            body = {"cluster_id": self.id, "at": self.put("followers", command["gateway"], record)}
            answer = self.ids[command["id"]] = 200, body
            return answer

    def state(self, part, page_after):
        with self.changed:
            if part not in self.parts:
                return 404, {}
            head = {"cluster_id": self.id, "at": self.at, "moment": self.moment}
            if self.page_records is None or page_after is None:
                return 200, {**head, "items": dict(self.parts[part])}
            keys = sorted(key for key in self.parts[part] if key > page_after)
            page = keys[: self.page_records]
            head["next_page"] = page[-1] if len(page) < len(keys) else ""
            return 200, {**head, "items": {key: self.parts[part][key] for key in page}}

    def answer(self, path, body, wait=MAX_POLL_SECONDS):
        if path == "/v1/commands":
            return self.command(json.loads(body))
        if path.startswith("/v1/state/"):
            part, paged, page_after = path.removeprefix("/v1/state/").partition("?page_after=")
            return self.state(part, unquote(page_after) if paged else None)
        query = dict(pair.split("=") for pair in path.partition("?")[2].split("&"))
        parts = query["parts"].split(",") if "parts" in query else ()
        return self.events_after(
            int(query["after"]), query.get("gateway", ""), int(query.get("since", 0)), parts, wait
        )

    def events_after(self, after, gateway, since, parts=(), wait=MAX_POLL_SECONDS):
        with self.changed:
            if self.parts["followers"].get(gateway, {}).get("since") == since:
                self.polls[gateway] = max(after, self.polls.get(gateway, -1))
            self.counts["polls"] += 1
            self.changed.notify_all()

            def new_events():
                return [
                    {"index": index, "changes": [{"part": part, "key": key, "record": record}]}
                    for index, part, key, record in self.events
                    if index > after and part in (parts or self.parts)
                ]

            id = self.id
            self.changed.wait_for(
                lambda: self.at > after and (after < self.first_kept or new_events()) or self.id != id, wait
            )
            if after < self.first_kept:
                return 200, {"cluster_id": self.id, "at": self.at, "whole": True}
            return 200, {"cluster_id": self.id, "at": self.at, "events": new_events(), "moment": self.moment}


class MemberServer(Server):
    """One member of the cluster.

    `wrong`: functions of (path, body bytes) that return the bytes of the next responses, in place of the
    right ones; the connection ends after each. `asked`: the calls received. `before_answer`: a function of
    the path that is called before each right response.
    """

    def __init__(self, ledger, name="m1"):
        super().__init__()
        self.ledger = ledger
        self.name = name
        self.wrong = []
        self.before_answer = lambda path: None
        self.asked = []  # (time, path)

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
                self.before_answer(path)
                sock.sendall(http_response(*self.answer(path, body)))

    def answer(self, path, body):
        leader = self.ledger.leader
        if leader is not None and leader != self.name:
            return 503, {"outcome": "not done", "leader": leader, "retry_ms": 20}
        return self.ledger.answer(path, body)


def http_response(status, value, spoil=False):
    """Returns the bytes of a response. `spoil`: one bit of the body differs from its checksum."""
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 {status} so\r\nContent-Length: {len(body)}\r\nX-Crc32: {zlib.crc32(body):08x}\r\n\r\n"
    return head.encode() + (bytes([body[0]]) + bytes([body[1] ^ 1]) + body[2:] if spoil else body)
