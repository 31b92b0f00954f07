"""The platform: one thread hears its news, another casts the votes and hears what became of them."""

import queue
import socket
import time
import traceback

from .. import interface as at
from . import platform
from .managed_connection import ManagedConnection, read_until

SILENCE = 3.5  # seconds without a whole sign of life after which news are cut off; one comes each second


class Releases:
    def __init__(self, config, dispatcher, log, counters):
        self.config, self.dispatcher, self.log, self.counters = config, dispatcher, log, counters
        self.answer_time = config.start.release.vote_timeout / 1e9
        self.votes = queue.SimpleQueue()
        self.connection = ManagedConnection(config.platform, config.start.seed, 0.1, 2.0)
        # nanoseconds: since when the state of the last news stands; under the dispatcher's lock
        self.began = 0

    def vote(self, *vote):
        self.votes.put((time.monotonic() + self.answer_time, vote))

    # ---- news

    def hear(self):
        while True:
            reason, detail = self.connection.run(self.listen)
            self.counters.add(f"news ended: {reason}")
            self.log.info("news ended", reason=reason, detail=detail)
            self.connection.pause_before_retry()

    def listen(self):
        (sock, _), reader = self.connection.connect(SILENCE), platform.Reader()
        sock.sendall(b"NOTIFY\r\n")
        while (words := self.words(sock, reader, time.monotonic() + SILENCE)) is not None:
            if words[:2] == ["*", "stage"]:
                self.counters.add("news told")
                self.dispatcher.handle(self.told, *platform.stage(words[2:]))
                self.connection.reset_pause()
            elif words not in (["*"], ["OK"]):
                raise platform.Malformed("no news: " + " ".join(words)[:100])
        return "closed"

    def words(self, sock, reader, until):
        while (words := reader.next()) is None:
            read_until(sock, until)
            if not reader.buffer.fill(sock.recv_into):
                return None
        return words

    def told(self, now, *news):
        self.began = now - news[-1]
        self.dispatcher.stage_reported(now, *news)

    # ---- votes

    def poll(self):
        while True:
            until, vote = self.votes.get()
            try:
                outcome, news = self.cast(until, vote)
            except Exception:  # votes depend on this thread
                self.dispatcher.fault(traceback.format_exc())
                outcome, news = at.UNANSWERED, None
            self.counters.add(f"votes {outcome}")
            build, stage, verdict = vote
            self.log.info("vote", build=build, stage=stage, verdict=platform.VERDICTS[verdict], ended=outcome)
            self.dispatcher.handle(self.answered, outcome, news)

    def cast(self, until, vote):
        with socket.socket() as sock:
            try:
                sock.settimeout(max(until - time.monotonic(), 0.001))
                sock.connect(self.connection.address)
                sock.sendall(platform.ballot(*vote))
            except OSError:
                return at.VOTE_ERRED, None  # not carried out
            try:
                words = self.words(sock, platform.Reader(), until)
                return platform.answer(words) if words is not None else (at.UNANSWERED, None)
            except (OSError, platform.Malformed):
                return at.UNANSWERED, None  # it may have been carried out

    def answered(self, now, outcome, news):
        """Guards against an answer that later news overtook on their own connection: the cap and phase from
        before would stand until the next news. An answer's state that is older than theirs is left."""
        self.dispatcher.balancer.vote_answered(now, outcome)
        if news is not None and now - news[-1] >= self.began:
            self.dispatcher.stage_reported(now, *news)
