"""Case 10: an instance is drained while discovery turns one gateway's calls away."""

import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig2  # noqa: E402

from lemonlead.standins.clients import Client  # noqa: E402
from lemonlead.standins.discovery import entry  # noqa: E402
from lemonlead.standins.instances import WorkerInstance  # noqa: E402
from lemonlead.standins.platform import PlatformServer  # noqa: E402
from lemonlead.standins.server import Server  # noqa: E402

INSTANCES = ("s-0", "s-1", "s-2", "s-3")
DRAINED = "s-2"
CLIENTS = {"n0": 9, "n1": 1}  # by gateway; each asks again 20 ms after its answer
BEFORE_SECONDS = 3.0
DRAIN_AFTER_SECONDS = 1.0  # of the crowd
CROWD_SECONDS = 14.0
WAIT_IN_QUEUE_SECONDS = 0.5  # of a call that then fails
# The pages' times: told 6 s later at the latest; then the grace told, 50 ms on sockets, and 150 ms for a
# gateway that was held up.
LATEST_SECONDS = 6.0 + 0.25 + 0.05 + 0.15


class Instance(WorkerInstance):
    """An instance that turns new commands away while it drains, and notes when each command came."""

    def __init__(self):
        super().__init__(work=0.08, slots=2, queue=4)
        self.came, self.draining = [], False

    def answer(self, words):
        self.came.append((time.monotonic(), words[1]))
        return b"-BUSY\r\n" if self.draining else super().answer(words)


class Discovery:
    """Discovery: one list, and a listener for each gateway."""

    def __init__(self, servers):
        self.servers, self.version, self.changed = servers, 2, threading.Condition()
        self.doors = {name: Door(self).start() for name in CLIENTS}

    def drain(self, id):
        with self.changed:
            self.servers = [{**one, "state": "draining"} if one["id"] == id else one for one in self.servers]
            self.version += 1
            self.changed.notify_all()


class Door(Server):
    """The listener for one gateway. `crowded`: its calls wait too long and fail. `calls`: (time, status)."""

    def __init__(self, discovery):
        super().__init__()
        self.discovery, self.crowded, self.calls = discovery, False, []

    def serve(self, sock):
        head = b""
        while b"\r\n\r\n" not in head:
            if not (data := sock.recv(65536)):
                return
            head += data
        if self.crowded:
            time.sleep(WAIT_IN_QUEUE_SECONDS)
        self.calls.append((time.monotonic(), 503 if self.crowded else 200))
        if self.crowded:
            sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        discovery, told = self.discovery, None
        while True:
            with discovery.changed:
                text = ""
                if told != discovery.version:
                    told = discovery.version
                    text = json.dumps({"version": told, "full": True, "servers": discovery.servers})
            line = text.encode() + b"\n"
            sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
            with discovery.changed:
                discovery.changed.wait_for(lambda told=told: told != discovery.version, 2.0)


class Caller(threading.Thread):
    """A client with one connection, which it opens anew when the gateway has closed it."""

    def __init__(self, name, port, stopped):
        super().__init__(daemon=True)
        self.name, self.port, self.stopped, self.answers = name, port, stopped, []

    def run(self):
        client, number = None, 0
        while not self.stopped.wait(0.02):
            number += 1
            try:
                client = client or Client(self.port)
                key = f"{self.name}-{number}".encode()
                client.command(b"Q.ASK", key, {"c": "fitment", "t": "acme", "d": 2000})
                answer = client.read()
            except OSError:
                answer = None
            if answer is None:
                client = None
            else:
                self.answers.append((time.monotonic(), answer == key))


def play(case):
    instances = {name: Instance().start() for name in INSTANCES}
    discovery = Discovery([entry(name, instance) for name, instance in instances.items()])
    platform = PlatformServer().start()
    stopped, callers = threading.Event(), []
    for gateway, count in CLIENTS.items():
        config = rig2.gateway_config(
            gateway, discovery.doors[gateway].address, platform.address, discovery.servers
        )
        case.gateway(gateway, config)
        port = int(config["listen"].rpartition(":")[2])
        callers += [Caller(f"{gateway}-{number}", port, stopped) for number in range(count)]
    for caller in callers:
        caller.start()
    time.sleep(BEFORE_SECONDS)

    door = discovery.doors["n0"]
    if rig2.trouble():
        case.log("crowd", "discovery has too many callers: n0's watch ends and its calls wait too long")
        door.crowded = True
        door.end_connections()
    time.sleep(DRAIN_AFTER_SECONDS)
    drained_at = time.monotonic()
    discovery.drain(DRAINED)
    instances[DRAINED].draining = True
    case.log("drain", DRAINED, "discovery has it")
    time.sleep(CROWD_SECONDS - DRAIN_AFTER_SECONDS)
    stopped.set()

    for gateway in CLIENTS:
        came = [
            round(at - drained_at, 3)
            for at, key in instances[DRAINED].came
            if at > drained_at and key.startswith(gateway.encode())
        ]
        case.log("attempts of", gateway, f"at {DRAINED}, in seconds after the drain:", came)
    calls = [(round(at - drained_at, 2), status) for at, status in door.calls]
    case.log("calls of n0 at discovery, in seconds after the drain:", calls)
    served = sum(good for caller in callers for at, good in caller.answers if at > drained_at)
    case.log("served after the drain:", served, "of", sum(len(caller.answers) for caller in callers))
    late = sorted(at - drained_at for at, _ in instances[DRAINED].came if at - drained_at > LATEST_SECONDS)
    if not late:
        return []
    return [
        f"{len(late)} attempts at {DRAINED} came later than {LATEST_SECONDS:g} s after discovery had its "
        f"drain, the last one {late[-1]:.1f} s after"
    ]


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    rig2.main(Path(__file__).resolve().parent, play)
