"""Stand-ins for instances: one whose answers come from a function, and one with worker slots and a queue."""

import random
import threading
import time
from collections import Counter

from ..gateway import resp
from .server import Server


# The responses to commands that run nothing, by the command's name.
CONNECTION_COMMANDS = {b"PING": b"+PONG\r\n", b"SELECT": b"+OK\r\n", b"CLIENT": b"+OK\r\n"}


class InstanceServer(Server):
    """Answers each command with the bytes that `react(words)` returns; None ends the connection.

    `got`: the commands received, but for those that run nothing, whose names are in `connection_commands`.
    """

    def __init__(self, react=None, **more):
        super().__init__(**more)
        self.react = react or (lambda words: value_response(words[1]))
        self.got, self.connection_commands = [], []

    def serve(self, sock):
        reader = resp.Reader(commands=True)
        while data := sock.recv(65536):
            reader.buffer.add(data)
            while (words := reader.next()) is not resp.MORE:
                if (answer := CONNECTION_COMMANDS.get(words[0].upper())) is not None:
                    self.connection_commands.append(words[0])
                else:
                    self.got.append(words)
                    answer = self.react(words)
                if answer is None:
                    return
                sock.sendall(answer)


def value_response(value):
    """Returns the bytes of a response with this value."""
    return b"*3\r\n" + resp.bulk(value) + b"$-1\r\n$-1\r\n"


class WorkerInstance(InstanceServer):
    """An instance with worker slots and a queue.

    A request occupies one slot for `work` seconds, a number or a dict by request class (None: all other
    classes). Up to `queue` requests wait for a slot; further ones get BUSY without being looked at. After its
    start the speed rises linearly from the share `cold` to full speed within `warm` seconds.

    Faults on demand: `silent` (reads, never answers), `failing` (the share of requests that fail, by request
    class), `spoilt` (the share of answers that cannot be parsed), `slow` (a factor on all work). `memory`:
    seconds for which repeats of an idempotency key get the first answer without running again. Counts: `done`
    by request class, `ran` by idempotency key or request id, `turned_away`, `dropped` (such repeats).
    """

    def __init__(self, work=0.0, slots=4, queue=16, cold=1.0, warm=0.0, memory=8.0, seed=1, **more):
        super().__init__(**more)
        self.work = work if isinstance(work, dict) else {None: work}
        self.slots, self.queue = threading.Semaphore(slots), queue
        self.cold, self.warm, self.memory, self.began = cold, warm, memory, time.monotonic()
        self.silent, self.failing, self.spoilt, self.slow = threading.Event(), {}, 0.0, 1.0
        self.rng, self.lock, self.held, self.max_held = (
            random.Random(seed),
            threading.Lock(),
            0,
            slots + queue,
        )
        self.done, self.ran, self.turned_away, self.dropped = Counter(), Counter(), 0, 0
        self.idempotency_keys = {}  # idempotency key: (time of the answer, value)
        self.react = self.answer

    def answer(self, words):
        fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
        if self.silent.is_set():
            time.sleep(float(fields.get("d", 1000)) / 1e3)
            return None
        with self.lock:
            if self.held >= self.max_held:
                self.turned_away += 1
                return b"-BUSY\r\n"
            self.held += 1
        try:
            return self.run_request(words, fields)
        finally:
            with self.lock:
                self.held -= 1

    def run_request(self, words, fields):
        request_class, idempotency_key = fields["c"], fields.get("k")
        with self.slots:
            with self.lock:
                answered_at, value = self.idempotency_keys.get(idempotency_key, (0.0, None))
                if idempotency_key and value is not None and time.monotonic() - answered_at < self.memory:
                    self.dropped += 1
                    return value_response(value)
            time.sleep(self.needed_seconds(fields) / self.speed() * self.slow)
            value = words[1]
            with self.lock:
                self.done[request_class] += 1
                self.ran[idempotency_key or words[2]] += 1
                if self.rng.random() < self.failing.get(request_class, 0.0):
                    return b"-ERR failed\r\n"
                if idempotency_key:
                    self.idempotency_keys = {
                        k: v
                        for k, v in self.idempotency_keys.items()
                        if time.monotonic() - v[0] < self.memory
                    }
                    self.idempotency_keys[idempotency_key] = time.monotonic(), value
                if self.rng.random() < self.spoilt:
                    return b"#noise\r\n"
        return value_response(value)

    def needed_seconds(self, fields):
        """Returns the seconds that a request with these extras occupies a slot at full speed."""
        return self.work.get(fields["c"], self.work.get(None, 0.0))

    def speed(self):
        """Returns the present speed, as a share of full speed."""
        age = time.monotonic() - self.began
        return max(1.0 if age >= self.warm else self.cold + (1 - self.cold) * age / self.warm, 0.01)
