"""Threads that each do one piece of work after the other, kept a while for the next."""

import queue
import threading

KEPT = 2.0  # seconds without work after which a thread ends


class Crew:
    """A piece of work goes to a thread that waits, or to a new one; it waits for none that is at work."""

    def __init__(self):
        self.lock = threading.Lock()
        self.free = 0  # threads that wait, less the work that is on its way to them
        self.work = queue.SimpleQueue()

    def do(self, *work):
        """Has a thread do it; RuntimeError if the system gives none."""
        with self.lock:
            waits = self.free > 0
            self.free -= waits
        if waits:
            self.work.put(work)
        else:
            threading.Thread(target=self.serve, args=work, daemon=True).start()

    def serve(self, *work):
        while work:
            work[0](*work[1:])
            work = None  # what it was about is not kept while it waits
            with self.lock:
                self.free += 1
            work = self.next()

    def next(self):
        try:
            return self.work.get(timeout=KEPT)
        except queue.Empty:
            with self.lock:
                if self.free > 0:
                    self.free -= 1
                    return None
            return self.work.get()  # some is on its way
