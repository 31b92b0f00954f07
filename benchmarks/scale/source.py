"""A stand-in of ours for the ledger's members: committed entries in memory, told as a member tells them
(`/v1/state/entries`, `/v1/events`), and taken in many at a time (`POST /v1/entries`, which no member has).

It says nothing of what a commit costs or how long it takes. `python -m benchmarks.scale.source CONFIG`, where
CONFIG is JSON: {"listen", "commits", "scopes", "kept"}."""

import asyncio
import json
import sys
import time

import msgspec
from aiohttp import web

from .commits import Commits

KEPT = 20_000  # entries whose changes are told one by one
LONGEST_POLL = 2.0  # seconds
ENCODE = msgspec.json.Encoder().encode


class Source:
    def __init__(self, commits, cluster):
        self.commits, self.cluster, self.index = commits, cluster, 0
        self.state, self.changes, self.first = (
            {},
            [],
            1,
        )  # by "scope key"; of entries from `first` on, encoded
        self.news, self.waiting, self.most_waiting = asyncio.Event(), 0, 0

    def taken(self, changes):
        """Commits them, an entry each: [kind, scope, key, value]. The index of the last."""
        for kind, scope, key, value in changes:
            self.index += 1
            name = f"{scope} {key}"
            record = None if value is None else {"value": value, "since": self.index}
            if record is None:
                self.state.pop(name, None)
            else:
                self.state[name] = record
            told = {"index": self.index, "changes": [{"part": "entries", "key": name, "record": record}]}
            self.changes.append(ENCODE(told))
            self.commits.record(self.index, time.monotonic_ns(), scope, kind)
        if len(self.changes) > 2 * KEPT:
            self.first += len(self.changes) - KEPT
            del self.changes[:-KEPT]
        self.news.set()
        self.news = asyncio.Event()
        return self.index

    def head(self):
        return {
            "at": self.index,
            "moment": time.monotonic_ns() // 1_000_000,
            "leader": "g1",
            "cluster_id": self.cluster,
        }

    # ---- calls

    async def entries(self, request):
        told = msgspec.json.decode(await request.read())
        return web.json_response({"at": self.taken(told["changes"])})

    async def shown(self, _):
        return web.Response(
            body=ENCODE({**self.head(), "items": self.state}), content_type="application/json"
        )

    async def events(self, request):
        after, news = int(request.query.get("after", 0)), self.news
        if after >= self.index:
            self.waiting += 1
            self.most_waiting = max(self.most_waiting, self.waiting)
            try:
                async with asyncio.timeout(LONGEST_POLL):
                    await news.wait()
            except TimeoutError:
                pass
            finally:
                self.waiting -= 1
        if after + 1 < self.first:
            body = ENCODE({**self.head(), "whole": {"entries": self.state}})
        else:
            some = b",".join(self.changes[max(after + 1 - self.first, 0) :])
            body = ENCODE(self.head())[:-1] + b',"events":[' + some + b"]}"
        return web.Response(body=body, content_type="application/json")

    async def status(self, _):
        return web.json_response(
            {"at": self.index, "waiting": self.waiting, "most_waiting": self.most_waiting}
        )


def application(source):
    app = web.Application(client_max_size=2**28)
    app.add_routes(
        [
            web.post("/v1/entries", source.entries),
            web.get("/v1/state/entries", source.shown),
            web.get("/v1/events", source.events),
            web.get("/v1/status", source.status),
        ]
    )
    return app


def main():
    told = json.loads(sys.argv[1])
    host, port = told["listen"].rsplit(":", 1)

    async def made():
        return application(Source(Commits(told["commits"], told["scopes"]), told["cluster"]))

    web.run_app(made(), host=host, port=int(port), print=None, access_log=None)


if __name__ == "__main__":
    main()
