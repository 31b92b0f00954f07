"""The one thread that uses the folder. Writes that have queued up are brought to disk as one (group commit);
what comes of each job goes back to the loop as an input. A snapshot is written in small steps between them.

A folder that failed is written no more: whatever is queued then is dropped, and the replica is told once."""

import threading
import time
from collections import deque

from msgspec.structs import replace

from .memory import pause_gc

MOST_JOBS = 20_000  # past it parts to send are dropped; what a replica writes is bounded by itself
STEP_AFTER = 8  # jobs, with more of them waiting, after which a snapshot under way gets its next step


class DiskThread:
    """`tell(function, *arguments)`: has this called in the loop, whichever thread asks."""

    def __init__(self, folder, ledger, tell):
        self.folder, self.ledger, self.tell = folder, ledger, tell
        self.jobs, self.waits, self.ending, self.failed = deque(), threading.Condition(), False, ""
        self.steps, self.jobs_since = deque(), 0  # (host, generator): snapshots under way, rows to tidy away
        self.counts = {"puts": 0, "writes": 0, "parts_dropped": 0, "snapshots": 0, "longest_put_ms": 0}
        self.thread = threading.Thread(target=self.run, name="disk", daemon=True)
        self.thread.start()

    # ---- by the loop

    def add(self, job, *arguments):
        with self.waits:
            self.jobs.append((job, arguments))
            self.waits.notify()

    def write(self, write, host):
        self.add(self.put, write, host)

    def receive_chunk(self, message, host):
        self.add(self.take, message, host)

    def send_chunk(self, message, most, send, host):
        if len(self.jobs) >= MOST_JOBS:
            self.counts["parts_dropped"] += 1
        else:
            self.add(self.part, message, most, send, host)

    def snapshot(self, state, base, host):
        self.add(self.keep, state, base, host)

    def ask(self, done, function, *arguments):
        """Any other call: `done(result, error)` in the loop."""
        self.add(self.answer, done, function, arguments)

    def end(self, patience):
        """What is queued is still done, in at most so many seconds."""
        with self.waits:
            self.ending = True
            self.waits.notify()
        self.thread.join(patience)

    # ---- in the thread

    def run(self):
        while True:
            with self.waits:
                while not (self.jobs or self.steps or self.ending):
                    self.waits.wait()
                if not self.jobs and self.ending:
                    return
                job, arguments = self.next_job()
            job(*arguments)

    def next_job(self):
        self.jobs_since += 1
        if self.steps and (not self.jobs or self.jobs_since > STEP_AFTER):
            self.jobs_since = 0
            return self.step, ()
        job, arguments = self.jobs.popleft()
        if job == self.put:
            arguments = [arguments[0]], arguments[1]
            while self.jobs and self.jobs[0][0] == self.put and arguments[0][-1].base is None:
                arguments[0].append(self.jobs.popleft()[1][0])
        return job, arguments

    def step(self):
        host, steps = self.steps[0]
        if self.guarded(host, next, steps, None) is None:
            self.steps.popleft()

    def guarded(self, host, job, *arguments):
        """What it returns, or None once the folder has failed: then, whatever the error, the disk holds less
        than was asked."""
        if self.failed:
            return None
        try:
            return job(*arguments)
        except Exception as error:
            self.failed = f"{type(error).__name__}: {error}"
            self.tell(host.disk_failed, self.failed)
            return None

    def put(self, writes, host):
        began = time.monotonic_ns()
        put = self.guarded(host, self.put_all, writes, host)
        took = (time.monotonic_ns() - began) // 1_000_000
        self.counts["longest_put_ms"] = max(self.counts["longest_put_ms"], took)
        if put is not None:
            self.tell(host.written, writes[-1].number, *put)

    def put_all(self, writes, host):
        """Then (the state now in force,), where one of these brought a snapshot, else ()."""
        state = ()
        if writes[-1].base is not None:
            with pause_gc():
                state = (self.ledger.whole(self.folder.gathered()),)
        self.folder.put(writes)
        if state:
            self.steps.append((host, stepped(self.folder.tidy())))
        self.counts["puts"] += 1
        self.counts["writes"] += len(writes)
        return state

    def take(self, message, host):
        self.guarded(host, self.folder.receive_chunk, message)

    def keep(self, state, base, host):
        """Begins a snapshot; told once it is in force, which is before the last rows are tidied away."""
        self.steps.append((host, self.kept(state, base, host)))

    def kept(self, state, base, host):
        told = False
        for _ in self.folder.snapshot(base, self.ledger.pieces(state)):
            if not told and self.folder.base.index >= base.index:
                told = True
                self.counts["snapshots"] += 1
                self.tell(host.snapshot_kept, base)
            yield True

    def part(self, message, most, send, host):
        """Nothing where that base is in force no more: the replica has another by then. A snapshot that is
        found damaged is a failed disk: the state that a restart would begin from is gone, and so may be the
        rest."""
        found = self.guarded(host, self.folder.part, message.base, message.offset, most)
        if found is None:
            self.counts["parts_dropped"] += 1
        else:
            self.tell(send, replace(message, data=found[0], last=found[1]))

    def answer(self, done, function, arguments):
        try:
            result, error = function(*arguments), None
        except Exception as caught:
            result, error = None, caught
        self.tell(done, result, error)


def stepped(steps):
    for _ in steps:
        yield True
