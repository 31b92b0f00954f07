"""Lists are pushed: a crowded discovery is asked again so late that gateways go on sending to what drains."""

import contextlib
import json
import os
import signal
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import TROUBLE, command, free_address, run_case, server_entry, split_address  # noqa: E402

from lemonlead.standins.instances import InstanceServer, value_response  # noqa: E402
from lemonlead.standins.platform import PlatformServer  # noqa: E402

GATEWAYS = 5  # rumo-poa has 3 to 5
INSTANCES = 8
# rumo-poa, where they differ from the settings of rig.py.
SETTINGS = {
    "Areas": ["poa-1"],
    "Balancers": GATEWAYS,
    "Discovery": "push",
    "Skus": ["tipo-a", "tipo-b"],
    "Lanes": [
        {"Name": "cep", "Effect": "idempotent", "Slo": 600.0, "GiveUp": 2000.0, "Worth": 1.0},
        {"Name": "corrige", "Effect": "idempotent", "Slo": 800.0, "GiveUp": 2000.0, "Worth": 1.0},
        {"Name": "laudo", "Effect": "at_most_once", "Slo": 800.0, "GiveUp": 2500.0, "Worth": 5.0},
    ],
    "Limits": {
        "AttemptsCap": 4,
        "Cancel": True,
        "ConnectTimeout": 250.0,
        "IdleClose": 30000.0,
        "MayDuplicate": False,
        "RetryAfter": False,
    },
    "Obligations": {
        "AnswerSlack": 20.0,
        "Cold": 4700.0,
        "ColdFrom": 0.38,
        "DrainGrace": 500.0,
        "Fall": 3000.0,
        "OverloadFactor": 3.0,
    },
    "Projects": [{"Name": "loja-pampa", "QuotaPerS": 90.0}],
}
WARM_SECONDS = 2.0
DOWN_SECONDS = 8.0  # as on herd+mass
CROWD_SECONDS = 15.0  # discovery is up and has too many callers
QUEUE_SECONDS = 0.5  # that a call waits then, until it ends with 503
TOLD_SECONDS = 6.0  # after discovery had a change and could be reached, it counts as told
GRACE_SECONDS = 0.5  # of the site, for drains
SLACK_SECONDS = 0.05  # by which each time limit is longer on sockets
WATCHED_SECONDS = 18.0  # after discovery could be reached
WORK_SECONDS = 0.25  # of a `laudo`; others take 0.02
# The drained instance ends once all that may still have been sent to it is done: so long after discovery
# could be reached. 6.55 s and the work are 6.8 s.
END_SECONDS = 7.5
CLIENTS = {"cep": 2, "laudo": 8}  # at each gateway
CLIENT_PAUSE_SECONDS = 0.02  # some 45 `cep` and 28 `laudo` a second at each gateway


class Discovery:
    """Discovery: it sends each watch the whole list, then changes, and an empty line each 2 s. It can go
    down, and it can have too many callers."""

    def __init__(self, case, servers):
        self.case, self.servers, self.version = case, servers, 2
        self.address, self.changed = free_address(), threading.Condition()
        self.crowded, self.open, self.listener = False, [], None
        self.updates = []  # (version, entry)
        self.come_up()

    def come_up(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(split_address(self.address))
        listener.listen(64)
        self.listener = listener
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def go_down(self):
        """Ends all watches and refuses connections."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.open:
            sock.close()
        self.open = []

    def change(self, entry):
        with self.changed:
            self.version += 1
            self.updates.append((self.version, entry))
            self.servers = [entry if one["id"] == entry["id"] else one for one in self.servers]
            self.changed.notify_all()

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self.open.append(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                if not (data := sock.recv(4096)):
                    return
                head += data
            number = sock.getpeername()[1]
            if self.crowded:
                time.sleep(QUEUE_SECONDS)
            if self.crowded:
                self.case.note(f"discovery: 503 to a call from port {number}")
                sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                sock.close()
                return
            self.case.note(f"discovery: a watch is open, port {number}")
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            with self.changed:
                told, text = self.version, self.text(self.version, True, self.servers)
            while True:
                sock.sendall(b"%x\r\n%b\r\n" % (len(text), text))
                with self.changed:
                    self.changed.wait_for(lambda told=told: self.version > told, 2.0)
                    changes = [entry for version, entry in self.updates if version > told]
                    told, text = self.version, self.text(self.version, False, changes) if changes else b"\n"
        except OSError:
            return

    def text(self, version, full, servers):
        return json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n"


class Instance:
    """An instance, which serves what it gets, also while it drains. Each gateway reaches it at an address of
    its own. `got`: (time, gateway's number) of each request; `in_hand`: ids of the one-shot ones there."""

    def __init__(self, id):
        self.id, self.got, self.in_hand, self.ended = id, [], set(), False
        self.servers = [InstanceServer(self.handler(number)).start() for number in range(GATEWAYS)]

    def handler(self, number):
        def react(words):
            if words[0].upper() == b"PING":
                return b"+PONG\r\n"
            self.got.append((time.monotonic(), number))
            one_shot = words[0].upper() == b"Q.DO"
            if one_shot:
                self.in_hand.add(words[2].decode())
            time.sleep(WORK_SECONDS if one_shot else 0.02)
            if self.ended:
                return None
            self.in_hand.discard(words[2].decode())
            return value_response(words[1])

        return react

    def end(self):
        """Ends as a process does: its connections break, and new ones are refused. Returns what it was at."""
        self.ended, left = True, sorted(self.in_hand)
        for server in self.servers:
            for sock in (server.listener, *server.connections):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
                sock.close()
        return left


class Client(threading.Thread):
    """Asks one request of a lane after another. `by_id`: the answer to each one-shot request."""

    def __init__(self, address, lane):
        super().__init__(daemon=True)
        self.address, self.lane, self.answers, self.stopped = address, lane, {}, threading.Event()
        self.by_id = {}

    def run(self):
        sock = None
        while not self.stopped.wait(CLIENT_PAUSE_SECONDS):
            id = os.urandom(8).hex()
            try:
                sock = sock or socket.create_connection(split_address(self.address), 2.0)
                sock.settimeout(4.0)
                name, wait = ("Q.DO", 2500) if self.lane == "laudo" else ("Q.ASK", 2000)
                extras = f"c={self.lane},t=loja-pampa,d={wait},h=20000"
                sock.sendall(command(name, os.urandom(8).hex(), id, extras))
                data = b""
                while data.count(b"\r\n") < (2 if data[:1] == b"$" else 1):
                    if not (some := sock.recv(4096)):
                        raise ConnectionResetError
                    data += some
                what = "served" if data[:1] == b"$" else data.split(b"\r\n")[0].decode()
            except OSError as error:
                what, sock = type(error).__name__, None
            self.answers[what.split()[0]] = self.answers.get(what.split()[0], 0) + 1
            if self.lane == "laudo":
                self.by_id[id] = what


def play(case):
    instances = [Instance(f"s-{number}") for number in range(INSTANCES)]

    def entries(gateway, drained=()):
        """Returns the list as discovery gives it to this gateway."""
        found = []
        for one in instances:
            state = "draining" if one.id in drained else "up"
            found.append(server_entry(one.id, one.servers[gateway].address, state))
            found[-1] |= {"zone": "poa-1", "kind": "tipo-a"}
        return found

    discoveries = [Discovery(case, entries(number)) for number in range(GATEWAYS)]
    platform, gateways, clients = PlatformServer().start(), [], []
    for number in range(GATEWAYS):
        settings = {**SETTINGS, "Me": number}
        gateways.append(
            case.gateway(
                f"n{number}",
                free_address(),
                discoveries[number].address,
                platform.address,
                entries(number),
                settings,
            )
        )
        where = case.listens[f"n{number}"]
        clients.append([Client(where, lane) for lane, count in CLIENTS.items() for _ in range(count)])
        for client in clients[-1]:
            client.start()
    case.note(f"{GATEWAYS} gateways answer PING")
    time.sleep(WARM_SECONDS)
    if TROUBLE:
        case.note(f"discovery goes down for {DOWN_SECONDS} s")
        for one in discoveries:
            one.go_down()
    time.sleep(DOWN_SECONDS)
    if TROUBLE:
        case.note(f"discovery is up again and has too many callers for {CROWD_SECONDS} s")
        for one in discoveries:
            one.crowded = True
            one.come_up()
    time.sleep(CROWD_SECONDS)
    drained = instances[0]
    for number, one in enumerate(discoveries):
        one.crowded = False
        one.change(entries(number, [drained.id])[0])
    reached_at = time.monotonic()
    case.note(f"discovery can be reached, and has {drained.id} as draining")
    time.sleep(END_SECONDS)
    at_end = drained.end()
    case.note(f"{drained.id} ends; it was at {len(at_end)} one-shot requests: {' '.join(at_end)}")
    time.sleep(WATCHED_SECONDS - END_SECONDS)
    everyone = [client for some in clients for client in some]
    for client in everyone:
        client.stopped.set()
    time.sleep(0.5)
    lost = {id: what for client in everyone for id, what in client.by_id.items() if id in at_end}
    case.note(f"what their clients were answered: {sorted(lost.values())}")
    bound = TOLD_SECONDS + GRACE_SECONDS + SLACK_SECONDS
    breaks = []
    for number in range(GATEWAYS):
        times = [at - reached_at for at, gateway in drained.got if gateway == number and at > reached_at]
        late = [at for at in times if at > bound]
        last = f"{times[-1]:.2f} s after" if times else "none"
        case.note(
            f"n{number} to {drained.id} from then on: {len(times)} requests, {len(late)} later than "
            f"{bound:.2f} s, last {last}; its clients' answers: {[one.answers for one in clients[number]]}"
        )
        if late:
            breaks.append(
                f"n{number} sent {drained.id} {len(late)} requests later than {bound:.2f} s, up to {last}"
            )
    if breaks and lost:
        breaks.append(f"{len(lost)} one-shot requests were at {drained.id} as it ended, all sent too late")
    for process in gateways:
        process.send_signal(signal.SIGTERM)
    case.note(f"the gateways ended with {[process.wait(10) for process in gateways]}")
    return breaks


if __name__ == "__main__":
    run_case(HERE, play)
