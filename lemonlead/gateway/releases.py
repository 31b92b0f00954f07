"""The platform client: one thread receives news of the newest build, another sends votes."""

import queue
import socket
import time
import traceback

from .. import interface
from . import platform
from .managed_connection import ManagedConnection, read_until

# The news connection is ended after this long without a whole line; the platform sends a line each second.
SILENCE_TIMEOUT_SECONDS = 3.5


class Releases:
    """Receives the platform's news of builds, and sends it the balancer's votes."""

    def __init__(self, config, dispatcher, log, counters):
        self.config, self.dispatcher, self.log, self.counters = config, dispatcher, log, counters
        self.vote_timeout = config.start.release.vote_timeout / 1e9
        self.votes = queue.SimpleQueue()
        self.connection = ManagedConnection(config.platform, config.start.seed, 0.1, 2.0)
        # The time, in nanoseconds, since which the state of the last news holds; under the dispatcher's lock.
        self.state_since = 0

    def vote(self, *vote):
        self.votes.put((time.monotonic() + self.vote_timeout, vote))

    # ---- news

    def run_news(self):
        while True:
            reason, detail = self.connection.run(self.receive_news)
            self.counters.add(f"news ended: {reason}")
            self.log.info("news ended", reason=reason, detail=detail)
            self.connection.pause_before_retry()

    def receive_news(self):
        (sock, _), reader = self.connection.connect(SILENCE_TIMEOUT_SECONDS), platform.Reader()
        sock.sendall(b"NOTIFY\r\n")
        while (
            words := self.read_words(sock, reader, time.monotonic() + SILENCE_TIMEOUT_SECONDS)
        ) is not None:
            if words[:2] == ["*", "stage"]:
                self.counters.add("news told")
                self.dispatcher.handle(self.news_received, *platform.parse_stage(words[2:]))
                self.connection.reset_pause()
            elif words not in (["*"], ["OK"]):
                raise platform.Malformed("no news: " + " ".join(words)[:100])
        return "closed"

    def read_words(self, sock, reader, until):
        """Returns the words of the next line, or None at the end of the connection. Raises TimeoutError at
        `until`, a time of `time.monotonic`."""
        while (words := reader.next()) is None:
            read_until(sock, until)
            if not reader.buffer.fill(sock.recv_into):
                return None
        return words

    def news_received(self, now, *news):
        self.state_since = now - news[-1]
        self.dispatcher.stage_reported(now, *news)

    # ---- votes

    def run_votes(self):
        while True:
            until, vote = self.votes.get()
            try:
                outcome, news = self.send_vote(until, vote)
            except Exception:  # the thread must survive to send the next vote
                self.dispatcher.fault(traceback.format_exc())
                outcome, news = interface.UNANSWERED, None
            self.counters.add(f"votes {outcome}")
            build, stage, verdict = vote
            self.log.info("vote", build=build, stage=stage, verdict=platform.VERDICTS[verdict], ended=outcome)
            self.dispatcher.handle(self.vote_answered, outcome, news)

    def send_vote(self, until, vote):
        """Returns the outcome of the vote, and the state of the build in the response or None."""
        with socket.socket() as sock:
            try:
                sock.settimeout(max(until - time.monotonic(), 0.001))
                sock.connect(self.connection.address)
                sock.sendall(platform.vote_line(*vote))
            except OSError:
                return interface.VOTE_ERRED, None  # it was not counted
            try:
                words = self.read_words(sock, platform.Reader(), until)
                return (
                    platform.parse_vote_response(words) if words is not None else (interface.UNANSWERED, None)
                )
            except (OSError, platform.Malformed):
                return interface.UNANSWERED, None  # it may have been counted

    def vote_answered(self, now, outcome, news):
        """Reports the outcome of a vote, and the state of the build that came with it. A state that is older
        than the last news is ignored: later news may arrive first, on their own connection, and the earlier
        cap and phase would then hold until the next news."""
        self.dispatcher.balancer.vote_answered(now, outcome)
        if news is not None and now - news[-1] >= self.state_since:
            self.dispatcher.stage_reported(now, *news)
