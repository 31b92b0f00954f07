"""The one thread that uses the folder. Writes that have queued up are put on disk as one (group commit), and
the result of each job goes back to the event loop as an input. A snapshot is written in small steps between
them.

After a failure nothing more is written to the folder: jobs that are queued are dropped, and the replica is
notified once."""

import threading
import time
from collections import deque

from msgspec.structs import replace

from .memory import pause_gc

MAX_JOBS = 20_000  # past it snapshot chunks to send are dropped; the replica itself bounds its writes
JOBS_PER_STEP = 8  # while jobs wait, a snapshot under way gets its next step after so many of them


class DiskThread:
    """The thread and its queue of jobs. `call_in_loop(function, *arguments)` has this called in the event
    loop, from whichever thread."""

    def __init__(self, folder, ledger, call_in_loop):
        self.folder = folder
        self.ledger = ledger
        self.call_in_loop = call_in_loop
        self.jobs, self.condition, self.ending, self.failed = deque(), threading.Condition(), False, ""
        # (host, generator) of snapshots being written and of rows being dropped
        self.step_generators, self.jobs_since_step = deque(), 0
        self.counts = {"puts": 0, "writes": 0, "parts_dropped": 0, "snapshots": 0, "longest_put_ms": 0}
        self.thread = threading.Thread(target=self.run, name="disk", daemon=True)
        self.thread.start()

    # ---- called by the event loop

    def add_job(self, job, *arguments):
        with self.condition:
            self.jobs.append((job, arguments))
            self.condition.notify()

    def write(self, write, host):
        self.add_job(self.do_writes, write, host)

    def receive_chunk(self, message, host):
        self.add_job(self.do_receive_chunk, message, host)

    def send_chunk(self, message, max_bytes, send, host):
        if len(self.jobs) >= MAX_JOBS:
            self.counts["parts_dropped"] += 1
        else:
            self.add_job(self.do_send_chunk, message, max_bytes, send, host)

    def snapshot(self, state, base, host):
        self.add_job(self.begin_snapshot, state, base, host)

    def call(self, done, function, *arguments):
        """Any other call in the thread; `done(result, error)` is called in the event loop."""
        self.add_job(self.do_call, done, function, arguments)

    def stop(self, timeout_s):
        """Ends the thread after it has done what is queued, and waits for that at most this long."""
        with self.condition:
            self.ending = True
            self.condition.notify()
        self.thread.join(timeout_s)

    # ---- in the thread

    def run(self):
        while True:
            with self.condition:
                while not (self.jobs or self.step_generators or self.ending):
                    self.condition.wait()
                if not self.jobs and self.ending:
                    return
                job, arguments = self.next_job()
            job(*arguments)

    def next_job(self):
        """Returns the next job with its arguments; adjacent writes become one job, up to one with a base."""
        self.jobs_since_step += 1
        if self.step_generators and (not self.jobs or self.jobs_since_step > JOBS_PER_STEP):
            self.jobs_since_step = 0
            return self.do_step, ()
        job, arguments = self.jobs.popleft()
        if job == self.do_writes:
            arguments = [arguments[0]], arguments[1]
            while self.jobs and self.jobs[0][0] == self.do_writes and arguments[0][-1].base is None:
                arguments[0].append(self.jobs.popleft()[1][0])
        return job, arguments

    def do_step(self):
        host, generator = self.step_generators[0]
        if self.run_guarded(host, next, generator, None) is None:
            self.step_generators.popleft()

    def run_guarded(self, host, job, *arguments):
        """Returns the result of the job, or None once the folder has failed. Any error counts as a failure of
        the disk, because the disk then holds less than it should."""
        if self.failed:
            return None
        try:
            return job(*arguments)
        except Exception as error:
            self.failed = f"{type(error).__name__}: {error}"
            self.call_in_loop(host.disk_failed, self.failed)
            return None

    def do_writes(self, writes, host):
        began = time.monotonic_ns()
        result = self.run_guarded(host, self.put, writes, host)
        took_ms = (time.monotonic_ns() - began) // 1_000_000
        self.counts["longest_put_ms"] = max(self.counts["longest_put_ms"], took_ms)
        if result is not None:
            self.call_in_loop(host.written, writes[-1].number, *result)

    def put(self, writes, host):
        """Puts the writes on disk. Returns (the state that is now in force,) if one of them brought a
        snapshot, or else ()."""
        state = ()
        if writes[-1].base is not None:
            with pause_gc():
                state = (self.ledger.whole(self.folder.received_snapshot()),)
        self.folder.put(writes)
        if state:
            self.step_generators.append((host, yield_true(self.folder.tidy())))
        self.counts["puts"] += 1
        self.counts["writes"] += len(writes)
        return state

    def do_receive_chunk(self, message, host):
        self.run_guarded(host, self.folder.receive_chunk, message)

    def begin_snapshot(self, state, base, host):
        """Begins a snapshot, which is then written in steps."""
        self.step_generators.append((host, self.write_snapshot(state, base, host)))

    def write_snapshot(self, state, base, host):
        """A generator that writes the snapshot. The host is notified once the snapshot is in force, which is
        before the last rows that it covers are dropped."""
        notified = False
        for _ in self.folder.snapshot(base, self.ledger.pieces(state)):
            if not notified and self.folder.base.index >= base.index:
                notified = True
                self.counts["snapshots"] += 1
                self.call_in_loop(host.snapshot_kept, base)
            yield True

    def do_send_chunk(self, message, max_bytes, send, host):
        """Sends a chunk of the snapshot. It sends nothing if this base is no longer in force: the replica has
        another one by then. A snapshot that is found damaged counts as a failed disk: the state that a
        restart would begin from is lost, and other data may be lost too."""
        chunk = self.run_guarded(host, self.folder.read_chunk, message.base, message.offset, max_bytes)
        if chunk is None:
            self.counts["parts_dropped"] += 1
        else:
            self.call_in_loop(send, replace(message, data=chunk[0], last=chunk[1]))

    def do_call(self, done, function, arguments):
        try:
            result, error = function(*arguments), None
        except Exception as caught:
            result, error = None, caught
        self.call_in_loop(done, result, error)


def yield_true(steps):
    for _ in steps:
        yield True
