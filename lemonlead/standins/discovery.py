"""Discovery: a list of instances, and watches on what changes."""

import json
import threading

from .server import Server


class DiscoveryServer(Server):
    """Tells each watch the changes after the version that it names, then those that come. `indent`: lists
    come over many lines, each line a chunk of its own; `silent`: watches get no more, nor signs of life."""

    def __init__(self):
        super().__init__()
        self.updates, self.asked = [], []
        self.indent, self.silent = None, threading.Event()

    def publish(self, *servers, full=False, version=None):
        with self.changed:
            version = version or len(self.updates) + 2
            self.updates.append({"version": version, "full": full, "servers": list(servers)})
            self.changed.notify_all()

    def serve(self, sock):
        if not (head := sock.recv(65536).decode()):
            return  # a caller that thought better of it
        self.asked.append(head.split()[1])
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        index = int(self.asked[-1].rsplit("=", 1)[1])
        done = index - 1 if index <= max((update["version"] for update in self.updates), default=index) else 0
        while True:
            with self.changed:
                self.changed.wait_for(lambda done=done: len(self.updates) > done, 1.0)
                news, done = self.updates[done:], len(self.updates)
            if self.silent.is_set():
                continue
            texts = [json.dumps(update, indent=self.indent) for update in news] or [""]
            for line in [line for text in texts for line in text.split("\n")]:
                sock.sendall(b"%x\r\n%s\n\r\n" % (len(line) + 1, line.encode()))


def entry(id, server, state="up", build=1, started=0):
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
