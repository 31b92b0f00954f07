"""Threads that each do one piece of work after the other, kept a while for the next."""

import threading

KEPT = 1.0  # seconds without work after which a thread ends


class Hand:
    """One thread of a crew: what it is to do next, and the lock that it waits on until there is some."""

    def __init__(self):
        self.work, self.ready = None, threading.Lock()
        self.ready.acquire()


class Crew:
    """A piece of work goes to a thread that waits, or to a new one; it waits for none that is at work. The
    last to wait is the first to get some, so that those past the usual need end, with what they hold."""

    def __init__(self):
        self.lock = threading.Lock()
        self.free = []  # those that wait, the longest first

    def do(self, *work):
        """Has a thread do it; RuntimeError if the system gives none."""
        with self.lock:
            hand = self.free.pop() if self.free else None
        if hand is None:
            threading.Thread(target=self.serve, args=work, daemon=True).start()
        else:
            hand.work = work
            hand.ready.release()

    def serve(self, *work):
        hand = Hand()
        while work:
            work[0](*work[1:])
            hand.work = work = None  # what it was about is not kept while it waits
            with self.lock:
                self.free.append(hand)
            work = self.next(hand)

    def next(self, hand):
        if not hand.ready.acquire(timeout=KEPT):
            with self.lock:
                if hand in self.free:
                    self.free.remove(hand)
                    return None
            hand.ready.acquire()  # some is on its way
        return hand.work
