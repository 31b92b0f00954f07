"""Runs many balancers for one simulator: events become calls of balancers, decisions become actions."""

import json
import math

from .. import interface
from ..balance import Balancer
from ..start_settings import NS_PER_MS, ms_to_ns, start_from_settings
from .codec import ROW, BadFrame, Reply, slice_tail

_ENDS_BY_STATUS = {
    200: interface.SUCCEEDED,
    500: interface.ERRED,
    503: interface.REJECTED,
    504: interface.TIMED_OUT,
    502: interface.UNCONNECTED,
    598: interface.RESET,
    499: interface.CANCELLED,
    410: interface.NOT_SENT,
}
_VOTE_ANSWERS_BY_STATUS = {
    200: interface.COUNTED,
    410: interface.MOOT,
    503: interface.OVER_ALLOWANCE,
    500: interface.VOTE_ERRED,
    504: interface.UNANSWERED,
}
_WHOLE_LIST_FORMS = (0, 4)
_FAILED_LIST_FORM = 1
_MAX_SLEEP_NS = 70 * 60 * 1000 * NS_PER_MS


class HostedBalancer:
    """One balancer with its open requests and its timer. It is the `BalancerHost` of that balancer."""

    def __init__(self, number, start):
        self.number = number
        self.reply = None
        self.requests = {}
        self.attempts = {}  # by (request id, attempt number); kept after the end of the request
        self.timer_at = None  # the time of the earliest timer that was requested
        self.request_classes = {
            request_class.number: request_class for request_class in start.request_classes
        }
        self.report_fields = start.report_fields
        self.balancer = Balancer(start)

    def attempt(self, request, instance_id, time_out):
        self.attempts[request.id, request.attempts[-1].number] = request.attempts[-1]
        self.reply.add("pass_on", self.number, request.id, instance_id, time_out / NS_PER_MS)

    def cancel(self, attempt):
        self.reply.add("withdraw", self.number, attempt.request.id, attempt.number)

    def reject(self, request, retry_after):
        del self.requests[request.id]
        self.reply.add("busy", self.number, request.id, retry_after / NS_PER_MS)

    def abort(self, request):
        del self.requests[request.id]
        self.reply.add("finish_error", self.number, request.id)

    def watch_list(self):
        self.reply.add("watch", self.number, 1)

    def vote(self, build, stage, verdict):
        self.reply.add("say_so", self.number, build, stage, verdict)

    def log(self, text):
        self.reply.add_text("write_log", self.number, text)

    def make_decisions(self, now):
        """Lets the balancer make all decisions that are due, and sets its timer."""
        while self.balancer.decide(now, self):
            pass
        wake_time = self.balancer.wake_at()
        if self.timer_at is None or wake_time < self.timer_at:
            self.timer_at = wake_time
            self.reply.add("sleep", self.number, min(max(wake_time - now, 0), _MAX_SLEEP_NS) / NS_PER_MS, 0)


class Host:
    """All balancers of one simulator.

    The methods named like an event of the protocol handle that event.
    """

    def __init__(self):
        self.balancers = {}
        self.lists = {}
        self.now = 0
        self.tail = b""

    def reply_to(self, frame):
        """Handles a batch of events and returns the frame that replies to it.

        Raises `BadFrame` for invalid events. A balancer that fails is reported, and the others continue.
        """
        number, clock, events, self.tail = frame
        self.now = round(clock * NS_PER_MS)
        reply = Reply()
        touched = {}
        for name, fields in events:
            if name == "snapshot_rows":
                self.snapshot_rows(*fields)
                continue
            if name == "up":
                self.up(reply, *fields)
            elif fields[0] not in self.balancers:
                raise BadFrame(f"batch {number}: {name} for gateway {fields[0]}, which is not up")
            hosted = self.balancers.get(fields[0])
            if hosted is None:
                continue
            if name == "destroy":
                del self.balancers[fields[0]]
                touched.pop(fields[0], None)
                continue
            touched[fields[0]] = hosted
            try:
                if name != "up":
                    getattr(self, name)(hosted, *fields[1:])
            except BadFrame:
                raise
            except Exception as error:
                reply.add_text("bail_out", fields[0], f"{type(error).__name__}: {error}")
        for hosted in touched.values():
            hosted.reply = reply
            try:
                hosted.make_decisions(self.now)
            except Exception as error:
                reply.add_text("bail_out", hosted.number, f"{type(error).__name__}: {error}")
        return reply.frame(number)

    def up(self, reply, instance, salt, offset, size):
        try:
            settings = json.loads(bytes(slice_tail(self.tail, offset, size)))
            if not isinstance(settings, dict):
                raise ValueError("no object")
            start = start_from_settings(settings, salt, self.now)
        except (ValueError, TypeError, AttributeError) as error:
            raise BadFrame(f"settings of gateway {instance} cannot be read: {error}") from None
        try:
            self.balancers[instance] = HostedBalancer(instance, start)
        except Exception as error:
            self.balancers.pop(instance, None)
            reply.add_text("bail_out", instance, f"{type(error).__name__}: {error}")

    def snapshot_rows(self, buffer, offset, count):
        rows = []
        for row in ROW.iter_unpack(slice_tail(self.tail, offset, count * ROW.size)):
            id, zone, kind, build, cell, state, nominal, started_at = row
            build = int(build) if math.isfinite(build) else 0
            rows.append(interface.Instance(id, zone, kind, build, cell, state, nominal, ms_to_ns(started_at)))
        self.lists[buffer] = rows

    def directory_update(self, hosted, form, generation, buffer):
        if form == _FAILED_LIST_FORM:
            hosted.balancer.list_failed(self.now, self.now)
        elif buffer not in self.lists:
            raise BadFrame(f"gateway {hosted.number}: no list has the number {buffer}")
        else:
            hosted.balancer.list_received(self.now, self.lists[buffer], form in _WHOLE_LIST_FORMS, form != 0)

    def work_item(self, hosted, id, request_class, tenant, key, left, hint, flags):
        if request_class not in hosted.request_classes:
            raise BadFrame(f"gateway {hosted.number}: a request of the unknown request class {request_class}")
        work = max(ms_to_ns(hint), 0) if flags & 1 else 0
        request = interface.Request(
            id,
            hosted.request_classes[request_class],
            tenant,
            key,
            self.now,
            self.now + ms_to_ns(left),
            work,
            bool(flags & 2),
        )
        hosted.requests[id] = request
        hosted.balancer.request_arrived(self.now, request)

    def first_byte(self, hosted, id, instance, lag, number):
        if (attempt := hosted.attempts.get((id, number))) is not None:
            hosted.balancer.request_closed(self.now, attempt.request)

    def reply(self, hosted, id, number, lag, ended, instance, code, count, *gauge):
        attempt = hosted.attempts.pop((id, number), None)
        if attempt is None:
            return
        if ended:
            hosted.requests.pop(id, None)
        end = _ENDS_BY_STATUS.get(code, interface.ERRED)
        report = dict(zip(hosted.report_fields, gauge[:count], strict=False))
        hosted.balancer.attempt_ended(self.now, attempt, end, ms_to_ns(lag), bool(ended), report)

    def left(self, hosted, id):
        if (request := hosted.requests.pop(id, None)) is not None:
            hosted.balancer.request_closed(self.now, request)

    def wakeup(self, hosted, token):
        # A timer that was replaced by an earlier one still fires. It must not clear the current timer, or a
        # second one would be set. The comparison allows for 1 ms because the protocol's clock is rounded.
        if hosted.timer_at is not None and hosted.timer_at - self.now < NS_PER_MS:
            hosted.timer_at = None

    def health(self, hosted, *found):
        pass  # balancers don't ask for probes

    def heard(self, hosted, author, offset, size):
        slice_tail(self.tail, offset, size)  # balancers exchange nothing, so the text is only checked

    def stage(self, hosted, build, stage, phase, answers_vote, status, cap, age):
        if answers_vote:
            hosted.balancer.vote_answered(self.now, _VOTE_ANSWERS_BY_STATUS.get(status, interface.VOTE_ERRED))
        if status == 200:
            hosted.balancer.stage_reported(self.now, build, stage, phase, cap, ms_to_ns(age))

    def scorecard(self, hosted, *counted):
        pass  # a balancer judges by the outcomes of its own attempts

    def bad_answer(self, hosted, instance, request_class, age):
        hosted.balancer.wrong_answer_reported(self.now, instance)
