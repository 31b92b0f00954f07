"""The thread that follows a ledger: it calls members as `ledger_polling.py` decides and passes what they
return to the dispatcher."""

import contextlib
import os
import re
import socket
import threading
import time

from .. import interface
from ..gateway import http
from ..gateway.config import address, now
from ..gateway.managed_connection import CONNECT_TIMEOUT_SECONDS, END_REASONS
from . import responses
from .ledger_polling import FOLLOW, STATE, UNFOLLOW, VOTE, LedgerPolling
from .faults import Unusable
from .merge import Merge

SILENCE = 3.5  # seconds without a byte after which a call has failed; a member answers a poll within 2
LONGEST = 20.0  # seconds for a whole answer, however it drips
LEAVING = 1.5  # seconds for the last word to the ledger
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:/-]{0,99}")


def checked(told, name):
    """The gateway's name in the ledger and its members; Unusable where one can't be. `told`: the settings'
    `follow`."""
    me, members = told.get("name", name), told["members"]
    if not NAME.fullmatch(me):
        raise Unusable(f"{me!r} can be no name in the ledger")
    if not members:
        raise Unusable("follow.members is empty")
    for member, where in members.items():
        try:
            host, port = address(where)
            socket.inet_pton(socket.AF_INET, host)
            if not port:
                raise ValueError
        except (OSError, ValueError):
            raise Unusable(f"member {member} is at {where!r}, which is no IPv4 address and port") from None
    return me, members


class Follower:
    def __init__(self, config, told, dispatcher, log, counters):
        """`told`: the settings' `follow`. Unusable where it can't be followed."""
        me, members = checked(told, config.name)
        self.dispatcher, self.log, self.counters = dispatcher, log, counters
        self.wait = told.get("wait", 0) / 1e9  # seconds that a start waits for the first state
        moves = "service" in told or "far" in told
        self.heeds = responses.POLLED_PARTS if moves else responses.FOLLOWED_PARTS
        more = ("moves",) if moves else ()
        service = told.get("service", "")
        self.polling = LedgerPolling(me, os.urandom(6).hex(), members, config.start.seed, more, service)
        self.merge, self.parts, self.service = Merge(), [], None
        if moves:
            from .service import Service  # not imported while no moves are followed

            self.merge = self.service = Service(told, config, dispatcher, self.polling, log, counters)
            self.news = config.news
        self.sock = self.at = None  # the connection that stands, and to where
        self.first, self.woken, self.over = threading.Event(), threading.Event(), threading.Event()
        self.obeyed, self.leaves, self.last = ("", -1), False, ""  # obeyed: cluster and index

    def start(self, discovery, lines, addresses):
        """From now on the balancer is told what both say. `lines`, `addresses`: the list as told before. Back
        once the ledger was heard or `wait` is over: a gateway that is not waited for should send nothing,
        and one that hears nothing should serve."""
        with self.dispatcher.lock:
            self.discovery, discovery.merge = discovery, self.merge
            if self.service is not None:
                self.service.begin(now(), self.news)
            shown = self.merge.listed(lines, addresses, True)
            if self.service is not None:
                discovery.publish(now(), *shown, True, False)
        threading.Thread(target=self.run, daemon=True).start()
        if self.wait and not self.first.wait(self.wait):
            self.counters.add("ledger unheard at start")
            self.log.warning("ledger", heard="no", reason="nothing at the start: serves as discovery lists")

    # ---- the thread

    def run(self):
        polling = self.polling
        while not polling.left:
            if self.leaves and not polling.leaving:
                polling.leave(now())
            if (ask := polling.next(now())) is None:
                self.woken.wait(max(polling.not_before - now(), 0) / 1e9)
                self.woken.clear()
                continue
            self.make_call(ask)
        self.end()
        self.over.set()

    def make_call(self, ask):
        """One call, whatever comes of it."""
        try:
            reason = self.call(ask)
        except ValueError as error:  # Malformed and Unreadable among them
            reason = f"malformed: {error}"
        except TimeoutError:
            reason = "silent"
        except OSError as error:
            reason = END_REASONS.get(type(error), "unreachable")
        except Exception as error:  # the next call depends on the thread
            reason = f"fault {type(error).__name__}: {error}"
            self.counters.add("ledger faults")
        if reason:
            self.end()
            self.parts = []
            if reason != "passed on":
                self.polling.failed(now(), unread=reason.startswith("malformed"))
        self.say(ask, reason)

    def say(self, ask, reason):
        """One line when it begins to fail and one when it works again, not one a call."""
        if self.leaves:
            return
        if reason:
            self.counters.add(f"ledger calls ended: {reason.split(':')[0][:40]}")
        if bool(reason) != bool(self.last):
            told = self.log.warning if reason else self.log.info
            told("ledger", heard="no" if reason else "yes", member=ask.member, reason=reason[:200])
        self.last = reason

    def call(self, ask):
        """One call and what its answer means; why it failed, or an empty string."""
        status, told = self.exchange(ask)
        if status == 503 or status in (301, 302, 307, 308):
            self.polling.failed(now(), responses.leader_hint(told), told)
            return "passed on"
        if ask.kind in (FOLLOW, UNFOLLOW, VOTE):
            return self.commanded(ask, status, told)
        if ask.kind == STATE and status in (400, 404) and ask.part != "nodes":
            return self.state(ask, responses.missing_part(ask.part))
        if status != 200:
            return f"status {status}"
        if not self.heeded(told):
            return self.unheeded(told)
        return (
            self.state(ask, responses.parse_state(told, ask.part))
            if ask.kind == STATE
            else self.events(ask, told)
        )

    def heeded(self, told):
        """Whether this answer is of the cluster that is followed; else what was had of a state is of none."""
        before, cluster = self.polling.cluster, responses.cluster_id(told)
        heeded = self.polling.check_cluster(now(), cluster)
        if not heeded:
            self.parts = []
        if self.polling.cluster != before and before:
            self.log.warning("ledger anew", cluster_id=cluster, before=before)
        return heeded

    def unheeded(self, told):
        """A call that was answered by one that is followed from now on has worked."""
        return "" if responses.cluster_id(told) == self.polling.cluster else "passed on"

    def commanded(self, ask, status, told):
        if ask.kind == UNFOLLOW and status in (200, 400, 409):
            self.polling.unfollowed()
        elif ask.kind == VOTE and status in (200, 400, 409):
            if status == 200 and not self.heeded(told):
                return self.unheeded(told)
            outcome = interface.COUNTED if status == 200 else interface.MOOT
            self.dispatcher.handle(self.service.vote_answered, ask.command_number, outcome)
            self.polling.vote_answered(ask.command_number)
        elif status == 200:
            since = responses.parse_whole_number(told, "at")
            if not self.heeded(told):
                return self.unheeded(told)
            self.polling.follow_accepted(now(), since)
        elif status in (400, 409):
            self.log.warning("ledger refused", what=ask.kind, status=status)
            self.counters.add("ledger follows refused")
            self.polling.follow_refused(now())
        else:
            return f"status {status}"
        return ""

    def state(self, ask, news):
        self.parts.append(news)
        if self.polling.part_received(ask.part):
            parts, self.parts = self.parts, []
            if not self.obey(responses.join_updates(parts), ""):
                self.polling.restart_from_state()
                return "not newer"
        return ""

    def events(self, ask, told):
        if (news := responses.parse_events(told, self.polling.applied_index, self.heeds)) is None:
            self.polling.restart_from_state()
            return ""
        if news.index < self.polling.applied_index:
            self.polling.stale_response(now())
            return "passed on"
        rows = dict(((part, key), record) for part, key, record in news.changes)
        for (part, key), record in rows.items():
            if part == "members" and record is not None and type(record.get("address")) is str:
                self.seated(key, record)
        if not self.obey(news, responses.leader_hint(told)):
            return "not obeyed"
        if rows.get(("followers", self.polling.me), True) is None:
            self.counters.add("ledger forgot")
            self.polling.lease_lost()
        return ""

    def seated(self, name, record):
        try:
            address(record["address"])
        except ValueError:
            return
        self.polling.member_changed(name, None if record.get("gone") else record["address"])

    def obey(self, news, leader):
        """Whether the balancer was told. Only then is the next poll an acknowledgement: from then on its
        `may_begin` lets no attempt begin that was meant for what is out."""
        self.dispatcher.handle(self.heard, news)
        if self.obeyed[0] != news.cluster or self.obeyed[1] < news.index:
            return False
        self.polling.update_applied(now(), news.index, leader)
        self.first.set()
        return True

    def heard(self, moment, news):
        """Under the dispatcher's lock."""
        told = self.merge.apply_update(moment, news)
        if told is None:
            return
        if told[0]:
            self.counters.add("ledger told")
            self.discovery.publish(moment, *told, False, False)
        self.obeyed = news.cluster, news.index

    # ---- one call

    def exchange(self, ask):
        """The status and the object of its body. A connection kept from before may have ended unseen: the
        call is made anew then, which harms none of them."""
        where = address(ask.address)
        if self.sock is not None and self.at == where:
            try:
                return self.on_connection(ask)
            except (ConnectionError, EOFError):
                if self.leaves and ask.kind != UNFOLLOW:
                    return 503, {}
        self.end()
        self.sock, self.at = socket.socket(), where
        self.sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        self.sock.connect(where)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(SILENCE)
        try:
            return self.on_connection(ask)
        except EOFError:
            raise ConnectionResetError("closed") from None

    def on_connection(self, ask):
        head = f"{ask.method} {ask.path} HTTP/1.1\r\nHost: {ask.address}\r\n"
        if ask.body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(ask.body)}\r\n"
        self.sock.sendall(f"{head}\r\n".encode() + ask.body)
        answer, body, until = http.Response(), [], time.monotonic() + LONGEST
        while (line := answer.next()) is not http.END:
            if line is not http.MORE:
                body.append(line)
            elif not answer.buffer.fill(self.sock.recv_into):
                if answer.remaining is None and answer.state == answer.body and not answer.text:
                    break  # a body that goes on to the end of the connection
                raise EOFError
            elif time.monotonic() > until:
                raise TimeoutError
        check = answer.headers.get(b"x-crc32", b"").decode("ascii", "replace")
        if answer.headers.get(b"connection", b"").lower() == b"close" or len(answer.buffer):
            self.end()
        if answer.status in (200, 503):
            return answer.status, responses.parse_body(b"\n".join(body), check)
        return answer.status, {}

    def end(self):
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    # ---- the end

    def leave(self, until):
        """After the last attempt has ended: asks not to be waited for any more. Where one is still out at
        `until` (of `time.monotonic`), it says nothing: the ledger waits until the lease ran out."""
        while self.dispatcher.instances.attempts_in_flight and time.monotonic() < until:
            time.sleep(0.02)
        if self.dispatcher.instances.attempts_in_flight:
            return False
        self.leaves = True
        self.woken.set()
        sock = self.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)  # a poll that waits
        return self.over.wait(LEAVING)

    def figures(self):
        counts = {f"ledger {name}": count for name, count in self.polling.counts.items()}
        counts |= {
            "ledger index": self.polling.applied_index,
            "ledger unheard ms": self.polling.silent_ms(now()),
        }
        counts |= self.service.figures() if self.service is not None else {}
        return {**counts, "ledger held back": self.merge.held_back()}
