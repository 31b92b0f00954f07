"""Case 10: where lists are pushed, discovery is down for 8 s, and an instance is drained shortly before it is
back."""

import json
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig2  # noqa: E402

from lemonlead.standins.clients import Client  # noqa: E402
from lemonlead.standins.discovery import entry  # noqa: E402
from lemonlead.standins.instances import InstanceServer, value_response  # noqa: E402
from lemonlead.standins.platform import PlatformServer  # noqa: E402
from lemonlead.standins.server import Server  # noqa: E402

GATEWAYS, INSTANCES, CALLERS = 5, 8, 5  # "8 to 11 cep boxes and 3 to 5 gateways"; callers of each gateway
DOWN_SECONDS = 8.0  # "discovery is down for 8 s"
DRAINED_BEFORE_RETURN = 0.5
DRAIN_SECONDS = 3.0  # from its drain until the instance ends: `drain_s` of rumo-poa
GRACE_SECONDS = 0.5  # `drain_grace_ms` of rumo-poa
SLACK_SECONDS = 0.05 + 0.15  # each limit is 50 ms longer; a gateway may be held up for 150 ms
CALM_SECONDS, AFTER_SECONDS = 3.0, 7.0


class Discovery(Server):
    """Discovery as the protocol page has it. `down`: watches end, and each call ends with 503."""

    def __init__(self, case, entries):
        super().__init__()
        self.case, self.down = case, threading.Event()
        self.version, self.changes = 1, [(1, one) for one in entries]

    def put(self, one):
        with self.changed:
            self.version += 1
            self.changes.append((self.version, one))
            self.changed.notify_all()

    def go_down(self):
        self.down.set()
        self.end_connections()

    def serve(self, sock):
        head = b""
        while b"\r\n\r\n" not in head:
            if not (data := sock.recv(65536)):
                return
            head += data
        done = int(head.split(b" ")[1].rsplit(b"=", 1)[1])
        self.case.log("discovery", "is asked", "503" if self.down.is_set() else "200")
        if self.down.is_set():
            sock.sendall(
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            return
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not self.down.is_set():
            with self.changed:
                self.changed.wait_for(lambda done=done: self.version > done, 2.0)
                news = [one for version, one in self.changes if version > done]
                done = self.version
            text = json.dumps({"version": done, "full": False, "servers": news}) if news else ""
            sock.sendall(b"%x\r\n%s\n\r\n" % (len(text) + 1, text.encode()))


class Box(InstanceServer):
    """A cep box. `came`: (time, id) of each request that it got."""

    def __init__(self, name):
        super().__init__(self.react_to)
        self.name, self.came, self.random = name, [], random.Random(name)

    def react_to(self, words):
        self.came.append((time.monotonic(), words[2].decode()))
        time.sleep(self.random.uniform(0.07, 0.12))
        return value_response(words[2])


class Caller(threading.Thread):
    """A client that asks one request after another. `answers`: by id; `one_shot`: ids of such requests."""

    def __init__(self, name, address):
        super().__init__(daemon=True)
        self.name, self.port, self.random = name, int(address.rpartition(":")[2]), random.Random(name)
        self.answers, self.one_shot, self.stopped = {}, set(), threading.Event()

    def run(self):
        client, number = None, 0
        while not self.stopped.wait(0.02):
            number += 1
            id = f"{self.name}-{number}"
            lane = "laudo" if self.random.random() < 0.23 else "cep"
            command = b"Q.DO" if lane == "laudo" else b"Q.ASK"
            words = [command, b"k", id.encode(), f"c={lane},t=acme,d=2000".encode()]
            if lane == "laudo":
                self.one_shot.add(id)
            try:
                client = client or Client(self.port)
                client.write(b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words))
                self.answers[id] = client.read()
            except OSError:
                self.answers[id] = None
            if self.answers[id] is None:
                client = None


def play(case):
    boxes = [Box(f"s-{number}").start() for number in range(INSTANCES)]
    entries = {box.name: {**entry(box.name, box), "started_ms": 0} for box in boxes}
    discovery = Discovery(case, list(entries.values())).start()
    platform = PlatformServer().start()
    callers = start_gateways(case, discovery, platform, list(entries.values()))
    time.sleep(CALM_SECONDS)
    drained = boxes[3]
    if rig2.trouble():
        case.log("discovery", "goes down")
        discovery.go_down()
        time.sleep(DOWN_SECONDS - DRAINED_BEFORE_RETURN)
    discovery.put({**entries[drained.name], "state": "draining"})
    case.log("drained", drained.name)
    ends_at = time.monotonic() + DRAIN_SECONDS
    time.sleep(DRAINED_BEFORE_RETURN if rig2.trouble() else 0.0)
    discovery.down.clear()
    told_at = time.monotonic()
    case.log("discovery", "has the drain and can be asked")
    time.sleep(ends_at - time.monotonic())
    drained.close()
    case.log("ended", drained.name)
    time.sleep(AFTER_SECONDS)
    for caller in callers:
        caller.stopped.set()
    for caller in callers:
        caller.join(5.0)
    return judge(case, callers, drained, told_at)


def start_gateways(case, discovery, platform, servers):
    """Starts the gateways beside each other, then their callers, whom it returns."""
    more = {
        "Areas": ["here"],
        "Balancers": GATEWAYS,
        "Lanes": [
            {"Name": "cep", "Effect": "idempotent", "Slo": 600.0, "GiveUp": 2000.0, "Worth": 1.0},
            {"Name": "laudo", "Effect": "at_most_once", "Slo": 800.0, "GiveUp": 2500.0, "Worth": 5.0},
        ],
        "Obligations": {**rig2.SETTINGS["Obligations"], "DrainGrace": GRACE_SECONDS * 1e3},
    }
    configs = [
        rig2.gateway_config(f"n{number}", discovery.address, platform.address, servers, **more, Me=number)
        for number in range(GATEWAYS)
    ]
    starts = [
        threading.Thread(target=case.gateway, args=(config["name"], config), daemon=True)
        for config in configs
    ]
    for start in starts:
        start.start()
    for start in starts:
        start.join(40.0)
    if not all(rig2.ping(config["listen"]) for config in configs):
        raise rig2.CannotRun("a gateway is not ready")
    callers = [
        Caller(f"{config['name']}.{number}", config["listen"])
        for config in configs
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    return callers


def judge(case, callers, drained, told_at):
    """Returns how the rule on drains was broken. What else became of such requests is only recorded."""
    answers = {id: answer for caller in callers for id, answer in caller.answers.items()}
    one_shot = set().union(*(caller.one_shot for caller in callers))
    served = sum(answer == id.encode() for id, answer in answers.items())
    late = [(at - told_at, id) for at, id in drained.came if at > told_at + GRACE_SECONDS + SLACK_SECONDS]
    failed = [id for _, id in late if id in one_shot and answers.get(id) != id.encode()]
    case.log("asked", [len(answers), "served", served])
    case.log("too late", [[round(after, 3), id] for after, id in late])
    case.log("one-shot requests among them that failed", failed)
    if served < len(answers) * 0.9 or served < 500:
        raise rig2.CannotRun(f"{served} of {len(answers)} requests were served")
    if not late:
        return []
    names = sorted({id.partition(".")[0] for _, id in late})
    limit, last = GRACE_SECONDS + SLACK_SECONDS, late[-1][0]
    return [
        f"{len(late)} requests went to {drained.name} later than {limit:g} s after its drain was told, the "
        f"last {last:.2f} s after it, by {', '.join(names)}; {len(failed)} one-shot ones failed"
    ]


rig2.main(Path(__file__).resolve().parent, play)
