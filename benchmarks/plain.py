"""The plain ways to keep commands, each as a server of one process to be held against a member.

`python -m benchmarks.plain append|transaction LISTEN FILE`: a line appended to a file and synced, or a row
put into SQLite by a transaction of its own (synchronous=FULL), for each command before it is answered.
Nothing is vouched for, repeated ids are not known, nothing is replicated, and there is no state."""

import os
import sqlite3
import sys

from aiohttp import web


def appending(path):
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def keep(data):
        os.write(file, data + b"\n")
        os.fdatasync(file)

    return keep


def transacting(path):
    db = sqlite3.connect(path, isolation_level=None)
    db.execute("PRAGMA journal_mode=WAL").fetchall()
    db.execute("PRAGMA synchronous=FULL").fetchall()
    db.execute("CREATE TABLE log (idx INTEGER PRIMARY KEY, data BLOB NOT NULL)")

    def keep(data):
        db.execute("BEGIN IMMEDIATE")
        db.execute("INSERT INTO log (data) VALUES (?)", (data,))
        db.execute("COMMIT")

    return keep


def main(way, listen, path):
    keep, host, port = {"append": appending, "transaction": transacting}[way](path), *listen.split(":")

    async def command(request):
        keep(await request.read())
        return web.json_response({})

    app = web.Application()
    app.add_routes([web.post("/v1/commands", command)])
    web.run_app(app, host=host, port=int(port), access_log=None, print=lambda *_: print("ready", flush=True))


if __name__ == "__main__":
    main(*sys.argv[1:])
