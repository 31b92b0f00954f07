"""A pool of threads that grows without limit and reuses idle threads."""

import threading

IDLE_TIMEOUT_SECONDS = 1.0  # a thread that is idle for this long ends


class Worker:
    """One thread of the pool: its next task, and the lock that it waits on until there is one."""

    def __init__(self):
        self.task, self.ready = None, threading.Lock()
        self.ready.acquire()


class ThreadPool:
    """A task goes to an idle thread or to a new one; it never waits for a busy thread. The thread that became
    idle last gets the next task, so that threads beyond the usual need end and free their memory."""

    def __init__(self):
        self.lock = threading.Lock()
        self.idle_workers = []  # the longest idle first

    def submit(self, *task):
        """Runs a task, given as a function and its arguments. Raises RuntimeError if the system gives no
        thread."""
        with self.lock:
            worker = self.idle_workers.pop() if self.idle_workers else None
        if worker is None:
            threading.Thread(target=self.run_worker, args=task, daemon=True).start()
        else:
            worker.task = task
            worker.ready.release()

    def run_worker(self, *task):
        worker = Worker()
        while task:
            task[0](*task[1:])
            worker.task = task = None  # frees the task's objects while the thread is idle
            with self.lock:
                self.idle_workers.append(worker)
            task = self.next_task(worker)

    def next_task(self, worker):
        """Waits for the worker's next task. Returns None if the thread is to end."""
        if not worker.ready.acquire(timeout=IDLE_TIMEOUT_SECONDS):
            with self.lock:
                if worker in self.idle_workers:
                    self.idle_workers.remove(worker)
                    return None
            worker.ready.acquire()  # `submit` has taken the worker, so a task is about to come
        return worker.task
