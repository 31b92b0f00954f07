"""Threads that each do one piece of work after the other, kept a while for the next."""

import threading

KEPT = 1.0  # seconds without work after which a thread ends


class Worker:
    """One thread of a thread pool: what it is to do next, and the lock that it waits on until there is
    some."""

    def __init__(self):
        self.work, self.ready = None, threading.Lock()
        self.ready.acquire()


class ThreadPool:
    """A piece of work goes to a thread that waits, or to a new one; it waits for none that is at work. The
    last to wait is the first to get some, so that those past the usual need end, with what they hold."""

    def __init__(self):
        self.lock = threading.Lock()
        self.free = []  # those that wait, the longest first

    def submit(self, *work):
        """Has a thread do it; RuntimeError if the system gives none."""
        with self.lock:
            worker = self.free.pop() if self.free else None
        if worker is None:
            threading.Thread(target=self.serve, args=work, daemon=True).start()
        else:
            worker.work = work
            worker.ready.release()

    def serve(self, *work):
        worker = Worker()
        while work:
            work[0](*work[1:])
            worker.work = work = None  # what it was about is not kept while it waits
            with self.lock:
                self.free.append(worker)
            work = self.next(worker)

    def next(self, worker):
        if not worker.ready.acquire(timeout=KEPT):
            with self.lock:
                if worker in self.free:
                    self.free.remove(worker)
                    return None
            worker.ready.acquire()  # some is on its way
        return worker.work
