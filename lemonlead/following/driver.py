"""The thread that follows a ledger: it calls members as `ledger_polling.py` decides and passes what they
return to the dispatcher."""

import contextlib
import os
import socket
import threading
import time

from .. import interface
from ..gateway import http
from ..gateway.config import address, now
from ..gateway.managed_connection import CONNECT_TIMEOUT_SECONDS, END_REASONS
from ..ledger.names import is_name
from . import responses
from .faults import Unusable
from .ledger_polling import FOLLOW, STATE, UNFOLLOW, VOTE, LedgerPolling
from .merge import Merge

READ_TIMEOUT_SECONDS = 3.5  # longest time without a byte; a member answers a poll within 2 s
TOTAL_TIMEOUT_SECONDS = 20.0  # for a whole response, however slowly it arrives
LEAVE_SECONDS = 1.5  # for the last call at the end


def check_settings(settings, name):
    """Returns the gateway's name in the ledger and its members from the settings' `follow`. Raises Unusable
    when they are invalid."""
    gateway, members = settings.get("name", name), settings["members"]
    if not is_name(gateway):
        raise Unusable(f"{gateway!r} is no valid name in the ledger")
    if not members:
        raise Unusable("follow.members is empty")
    for member, where in members.items():
        try:
            host, port = address(where)
            socket.inet_pton(socket.AF_INET, host)
            if not port:
                raise ValueError
        except (OSError, ValueError):
            raise Unusable(f"member {member} is at {where!r}; expected an IPv4 address and a port") from None
    return gateway, members


class Follower:
    """Follows a ledger on a thread and updates the balancer."""

    def __init__(self, config, settings, dispatcher, log, counters):
        """`settings` is the settings' section `follow`. Raises Unusable when it can't be used."""
        gateway, members = check_settings(settings, config.name)
        self.dispatcher, self.log, self.counters = dispatcher, log, counters
        self.wait = settings.get("wait", 0) / 1e9  # seconds for which `start` waits for the first state
        moves = "service" in settings or "far" in settings
        self.followed_parts = responses.POLLED_PARTS if moves else responses.FOLLOWED_PARTS
        more_parts = ("moves",) if moves else ()
        service = settings.get("service", "")
        self.polling = LedgerPolling(
            gateway, os.urandom(6).hex(), members, config.start.seed, more_parts, service
        )
        self.merge, self.state_parts, self.service = Merge(), [], None
        if moves:
            from .service import Service  # not imported while no moves are followed

            self.merge = self.service = Service(settings, config, dispatcher, self.polling, log, counters)
            self.platform_state = config.news
        self.socket = self.connected_to = None  # the open connection and its address
        self.first_update, self.wakeup, self.stopped = threading.Event(), threading.Event(), threading.Event()
        self.applied = ("", -1)  # cluster and index of the last update of the balancer
        self.is_leaving = False
        self.last_reason = ""  # why the last call failed; empty if it worked

    def start(self, discovery, lines, addresses):
        """Starts to update the balancer from discovery and the ledger. `lines` and `addresses` are the list
        that the balancer has. Returns once the first update of the ledger was applied or `wait` is over: a
        gateway that the ledger doesn't wait for should send nothing, but one that receives nothing should
        still serve."""
        with self.dispatcher.lock:
            self.discovery, discovery.merge = discovery, self.merge
            if self.service is not None:
                self.service.begin(now(), self.platform_state)
            shown = self.merge.listed(lines, addresses, True)
            if self.service is not None:
                discovery.publish(now(), *shown, True, False)
        threading.Thread(target=self.run, daemon=True).start()
        if self.wait and not self.first_update.wait(self.wait):
            self.counters.add("ledger unheard at start")
            self.log.warning("ledger", heard="no", reason="nothing at the start: serves as discovery lists")

    # ---- the thread

    def run(self):
        """Calls members until the ledger no longer waits for this gateway."""
        polling = self.polling
        while not polling.left:
            if self.is_leaving and not polling.leaving:
                polling.leave(now())
            if (request := polling.next(now())) is None:
                self.wakeup.wait(max(polling.not_before - now(), 0) / 1e9)
                self.wakeup.clear()
                continue
            self.make_call(request)
        self.close_connection()
        self.stopped.set()

    def make_call(self, request):
        """Makes one call and handles its failure."""
        try:
            reason = self.call(request)
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
            self.close_connection()
            self.state_parts = []
            if reason != "passed on":
                self.polling.failed(now(), unread=reason.startswith("malformed"))
        self.log_change(request, reason)

    def log_change(self, request, reason):
        """Logs one line when calls begin to fail and one when they work again, not one a call."""
        if self.is_leaving:
            return
        if reason:
            self.counters.add(f"ledger calls ended: {reason.split(':')[0][:40]}")
        if bool(reason) != bool(self.last_reason):
            log = self.log.warning if reason else self.log.info
            log("ledger", heard="no" if reason else "yes", member=request.member, reason=reason[:200])
        self.last_reason = reason

    def call(self, request):
        """Makes one call and handles the response. Returns why it failed, or an empty string."""
        status, response = self.exchange(request)
        if status == 503 or status in (301, 302, 307, 308):
            self.polling.failed(now(), responses.leader_hint(response), response)
            return "passed on"
        if request.kind in (FOLLOW, UNFOLLOW, VOTE):
            return self.command_answered(request, status, response)
        if request.kind == STATE and status in (400, 404) and request.part != "nodes":
            return self.state_received(request, responses.missing_part(request.part), "")
        if status != 200:
            return f"status {status}"
        if not self.is_current_cluster(response):
            return self.ignored_reason(response)
        if request.kind == STATE:
            next_page = responses.next_page(response, self.polling.page_after)
            return self.state_received(request, responses.parse_state(response, request.part), next_page)
        return self.events_received(request, response)

    def is_current_cluster(self, response):
        """Returns whether a response comes from the cluster that is followed. If not, the parts of the state
        received so far are dropped."""
        before, cluster = self.polling.cluster, responses.cluster_id(response)
        accepted = self.polling.check_cluster(now(), cluster)
        if not accepted:
            self.state_parts = []
        if self.polling.cluster != before and before:
            self.log.warning("ledger anew", cluster_id=cluster, before=before)
        return accepted

    def ignored_reason(self, response):
        """Returns the reason for an ignored response; empty if its cluster is now the one that is
        followed."""
        return "" if responses.cluster_id(response) == self.polling.cluster else "passed on"

    def command_answered(self, request, status, response):
        """Handles the response to a command."""
        if request.kind == UNFOLLOW and status in (200, 400, 409):
            self.polling.unfollowed()
        elif request.kind == VOTE and status in (200, 400, 409):
            if status == 200 and not self.is_current_cluster(response):
                return self.ignored_reason(response)
            outcome = interface.COUNTED if status == 200 else interface.MOOT
            self.dispatcher.handle(self.service.vote_answered, request.command_number, outcome)
            self.polling.vote_answered(request.command_number)
        elif status == 200:
            since = responses.parse_whole_number(response, "at")
            if not self.is_current_cluster(response):
                return self.ignored_reason(response)
            self.polling.follow_accepted(now(), since)
        elif status in (400, 409):
            self.log.warning("ledger refused", what=request.kind, status=status)
            self.counters.add("ledger follows refused")
            self.polling.follow_refused(now())
        else:
            return f"status {status}"
        return ""

    def state_received(self, request, update, next_page):
        """Takes a part of the whole state, or a page of it, and applies all once they are there."""
        self.state_parts.append(update)
        responses.check_record_count(self.state_parts)
        if self.polling.part_received(request.part, next_page):
            parts, self.state_parts = self.state_parts, []
            if not self.apply_update(responses.join_updates(parts), ""):
                self.polling.restart_from_state()
                return "not newer"
        return ""

    def events_received(self, request, response):
        """Applies the changes of a response."""
        if (
            update := responses.parse_events(response, self.polling.applied_index, self.followed_parts)
        ) is None:
            self.polling.restart_from_state()
            return ""
        if update.index < self.polling.applied_index:
            self.polling.stale_response(now())
            return "passed on"
        rows = dict(((part, key), record) for part, key, record in update.changes)
        for (part, key), record in rows.items():
            if part == "members" and record is not None and type(record.get("address")) is str:
                self.member_changed(key, record)
        if not self.apply_update(update, responses.leader_hint(response)):
            return "not obeyed"
        if rows.get(("followers", self.polling.gateway), True) is None:
            self.counters.add("ledger forgot")
            self.polling.lease_lost()
        return ""

    def member_changed(self, name, record):
        """Takes a changed member, unless its address is invalid."""
        try:
            address(record["address"])
        except ValueError:
            return
        self.polling.member_changed(name, None if record.get("gone") else record["address"])

    def apply_update(self, update, leader):
        """Returns whether the balancer was updated. Only then does the next poll acknowledge the update: from
        then on `write_deadline` of the dispatcher lets no attempt begin on an instance that the ledger took
        out of service."""
        self.dispatcher.handle(self.update_balancer, update)
        if self.applied[0] != update.cluster or self.applied[1] < update.index:
            return False
        self.polling.update_applied(now(), update.index, leader)
        self.first_update.set()
        return True

    def update_balancer(self, now, update):
        """Updates the balancer's list. Called under the dispatcher's lock."""
        changed = self.merge.apply_update(now, update)
        if changed is None:
            return
        if changed[0]:
            self.counters.add("ledger told")
            self.discovery.publish(now, *changed, False, False)
        self.applied = update.cluster, update.index

    # ---- one call

    def exchange(self, request):
        """Returns the status and the JSON object of a response. A kept connection may have been closed by the
        member; then the call is made again, which does no harm."""
        where = address(request.address)
        if self.socket is not None and self.connected_to == where:
            try:
                return self.exchange_on_connection(request)
            except (ConnectionError, EOFError):
                if self.is_leaving and request.kind != UNFOLLOW:
                    return 503, {}
        self.close_connection()
        self.socket, self.connected_to = socket.socket(), where
        self.socket.settimeout(CONNECT_TIMEOUT_SECONDS)
        self.socket.connect(where)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(READ_TIMEOUT_SECONDS)
        try:
            return self.exchange_on_connection(request)
        except EOFError:
            raise ConnectionResetError("closed") from None

    def exchange_on_connection(self, request):
        """Sends a request on the open connection and reads the response."""
        head = f"{request.method} {request.path} HTTP/1.1\r\nHost: {request.address}\r\n"
        if request.body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(request.body)}\r\n"
        self.socket.sendall(f"{head}\r\n".encode() + request.body)
        answer, body, until = http.Response(), [], time.monotonic() + TOTAL_TIMEOUT_SECONDS
        while (line := answer.next()) is not http.END:
            if line is not http.MORE:
                body.append(line)
            elif not answer.buffer.fill(self.socket.recv_into):
                if answer.remaining is None and answer.state == answer.body and not answer.text:
                    break  # the body ends with the connection
                raise EOFError
            elif time.monotonic() > until:
                raise TimeoutError
        check = answer.headers.get(b"x-crc32", b"").decode("ascii", "replace")
        if answer.headers.get(b"connection", b"").lower() == b"close" or len(answer.buffer):
            self.close_connection()
        if answer.status in (200, 503):
            return answer.status, responses.parse_body(b"\n".join(body), check)
        return answer.status, {}

    def close_connection(self):
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    # ---- leaving

    def leave(self, until):
        """Asks the ledger not to wait for this gateway any more, after the last attempt has ended. If an
        attempt is still in flight at `until` (of `time.monotonic`), nothing is sent and the ledger waits
        until the lease has run out. Returns whether the gateway has left."""
        while self.dispatcher.instances.attempts_in_flight and time.monotonic() < until:
            time.sleep(0.02)
        if self.dispatcher.instances.attempts_in_flight:
            return False
        self.is_leaving = True
        self.wakeup.set()
        sock = self.socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)  # ends a waiting poll
        return self.stopped.wait(LEAVE_SECONDS)

    def figures(self):
        """Returns the counters."""
        counts = {f"ledger {name}": count for name, count in self.polling.counts.items()}
        counts |= {
            "ledger index": self.polling.applied_index,
            "ledger unheard ms": self.polling.silent_ms(now()),
        }
        counts |= self.service.figures() if self.service is not None else {}
        return {**counts, "ledger held back": self.merge.held_back()}
