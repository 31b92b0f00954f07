"""A stand-in for discovery: it sends a list of instances to watches, and then its changes."""

import json
import threading

from .server import Server


class DiscoveryServer(Server):
    """Sends each watch the updates after the version that the watch names, then each new one.

    `indent`: JSON indent of the updates; each line is sent as a chunk of its own. `silent`: while it is set,
    watches receive neither updates nor heartbeats. `asked`: the path of each watch.
    """

    def __init__(self):
        super().__init__()
        self.updates = []
        self.asked = []
        self.indent, self.silent = None, threading.Event()

    def publish(self, *servers, full=False, version=None):
        """Adds an update of these list entries. `full`: they are the whole list."""
        with self.changed:
            version = version or len(self.updates) + 2
            self.updates.append({"version": version, "full": full, "servers": list(servers)})
            self.changed.notify_all()

    def serve(self, sock):
        if not (head := sock.recv(65536).decode()):
            return  # the caller closed the connection without a request
        self.asked.append(head.split()[1])
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        index = int(self.asked[-1].rsplit("=", 1)[1])
        done = index - 1 if index <= max((update["version"] for update in self.updates), default=index) else 0
        while True:
            with self.changed:
                self.changed.wait_for(lambda done=done: len(self.updates) > done, 1.0)
                updates, done = self.updates[done:], len(self.updates)
            if self.silent.is_set():
                continue
            texts = [json.dumps(update, indent=self.indent) for update in updates] or [""]
            for line in [line for text in texts for line in text.split("\n")]:
                sock.sendall(b"%x\r\n%s\n\r\n" % (len(line) + 1, line.encode()))


def entry(id, server, state="up", build=1, started=0):
    """Returns the list entry of an instance."""
    return {
        "id": id,
        "addr": server.address,
        "zone": "here",
        "kind": "std",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": started,
        "revision_no": build,
    }
