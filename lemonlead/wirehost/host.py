"""Hosts many balancers on one wire: each event becomes a call, each answer a message."""

import json
import math

from .. import interface as at_door
from ..balance import Balancer
from ..start_settings import NS, ms_to_ns, start_from_settings
from .codec import ROW, BadFrame, Reply, cut

_ENDS = {
    200: at_door.SUCCEEDED,
    500: at_door.ERRED,
    503: at_door.REJECTED,
    504: at_door.TIMED_OUT,
    502: at_door.UNCONNECTED,
    598: at_door.RESET,
    499: at_door.CANCELLED,
    410: at_door.NOT_SENT,
}
_VOTES = {
    200: at_door.COUNTED,
    410: at_door.MOOT,
    503: at_door.OVER_ALLOWANCE,
    500: at_door.VOTE_ERRED,
    504: at_door.UNANSWERED,
}
_FULL_LISTS = (0, 4)
_FAILED_LIST = 1
_LONGEST_SLEEP = 70 * 60 * 1000 * NS


class Seat:
    """One balancer's place: the door it calls through, its open requests and its timer."""

    def __init__(self, number, start):
        self.number = number
        self.reply = None
        self.requests = {}
        self.out = {}  # (request id, attempt number): Attempt, also past the request's end
        self.armed = None
        self.request_classes = {
            request_class.number: request_class for request_class in start.request_classes
        }
        self.fields = start.report_fields
        self.balancer = Balancer(start)

    def attempt(self, request, instance_id, time_out):
        self.out[request.id, request.attempts[-1].number] = request.attempts[-1]
        self.reply.add("pass_on", self.number, request.id, instance_id, time_out / NS)

    def cancel(self, attempt):
        self.reply.add("withdraw", self.number, attempt.request.id, attempt.number)

    def reject(self, request, retry_after):
        del self.requests[request.id]
        self.reply.add("busy", self.number, request.id, retry_after / NS)

    def abort(self, request):
        del self.requests[request.id]
        self.reply.add("finish_error", self.number, request.id)

    def watch_list(self):
        self.reply.add("watch", self.number, 1)

    def vote(self, build, stage, verdict):
        self.reply.add("say_so", self.number, build, stage, verdict)

    def log(self, text):
        self.reply.add_text("write_log", self.number, text)

    def pull(self, now):
        while self.balancer.decide(now, self):
            pass
        wake = self.balancer.wake_at()
        if self.armed is None or wake < self.armed:
            self.armed = wake
            self.reply.add("sleep", self.number, min(max(wake - now, 0), _LONGEST_SLEEP) / NS, 0)


class Host:
    def __init__(self):
        self.seats = {}
        self.lists = {}
        self.now = 0
        self.tail = b""

    def reply_to(self, frame):
        number, clock, events, self.tail = frame
        self.now = round(clock * NS)
        reply = Reply()
        touched = {}
        for name, fields in events:
            if name == "snapshot_rows":
                self.snapshot_rows(*fields)
                continue
            if name == "up":
                self.up(reply, *fields)
            elif fields[0] not in self.seats:
                raise BadFrame(f"batch {number}: {name} for gateway {fields[0]}, which is not up")
            seat = self.seats.get(fields[0])
            if seat is None:
                continue
            if name == "destroy":
                del self.seats[fields[0]]
                touched.pop(fields[0], None)
                continue
            touched[fields[0]] = seat
            try:
                if name != "up":
                    getattr(self, name)(seat, *fields[1:])
            except BadFrame:
                raise
            except Exception as error:
                reply.add_text("bail_out", fields[0], f"{type(error).__name__}: {error}")
        for seat in touched.values():
            seat.reply = reply
            try:
                seat.pull(self.now)
            except Exception as error:
                reply.add_text("bail_out", seat.number, f"{type(error).__name__}: {error}")
        return reply.frame(number)

    def up(self, reply, instance, salt, offset, size):
        try:
            told = json.loads(bytes(cut(self.tail, offset, size)))
            if not isinstance(told, dict):
                raise ValueError("no object")
            start = start_from_settings(told, salt, self.now)
        except (ValueError, TypeError, AttributeError) as error:
            raise BadFrame(f"settings of gateway {instance} cannot be read: {error}") from None
        try:
            self.seats[instance] = Seat(instance, start)
        except Exception as error:
            self.seats.pop(instance, None)
            reply.add_text("bail_out", instance, f"{type(error).__name__}: {error}")

    def snapshot_rows(self, buffer, offset, count):
        rows = []
        for row in ROW.iter_unpack(cut(self.tail, offset, count * ROW.size)):
            id, zone, kind, build, cell, state, nominal, started_at = row
            build = int(build) if math.isfinite(build) else 0
            rows.append(at_door.Instance(id, zone, kind, build, cell, state, nominal, ms_to_ns(started_at)))
        self.lists[buffer] = rows

    def directory_update(self, seat, form, generation, buffer):
        if form == _FAILED_LIST:
            seat.balancer.list_failed(self.now, self.now)
        elif buffer not in self.lists:
            raise BadFrame(f"gateway {seat.number}: no list has the number {buffer}")
        else:
            seat.balancer.list_received(self.now, self.lists[buffer], form in _FULL_LISTS, form != 0)

    def work_item(self, seat, id, request_class, tenant, key, left, hint, flags):
        if request_class not in seat.request_classes:
            raise BadFrame(f"gateway {seat.number}: a request of the unknown request class {request_class}")
        work = max(ms_to_ns(hint), 0) if flags & 1 else 0
        request = at_door.Request(
            id,
            seat.request_classes[request_class],
            tenant,
            key,
            self.now,
            self.now + ms_to_ns(left),
            work,
            bool(flags & 2),
        )
        seat.requests[id] = request
        seat.balancer.request_arrived(self.now, request)

    def first_byte(self, seat, id, instance, lag, number):
        if (attempt := seat.out.get((id, number))) is not None:
            seat.balancer.request_left(self.now, attempt.request)

    def reply(self, seat, id, number, lag, ended, instance, code, count, *gauge):
        attempt = seat.out.pop((id, number), None)
        if attempt is None:
            return
        if ended:
            seat.requests.pop(id, None)
        end = _ENDS.get(code, at_door.ERRED)
        report = dict(zip(seat.fields, gauge[:count], strict=False))
        seat.balancer.attempt_ended(self.now, attempt, end, ms_to_ns(lag), bool(ended), report)

    def left(self, seat, id):
        if (request := seat.requests.pop(id, None)) is not None:
            seat.balancer.request_left(self.now, request)

    def wakeup(self, seat, token):
        # An older timer, overtaken by a nearer one, must not arm another. The wire's clock is rounded.
        if seat.armed is not None and seat.armed - self.now < NS:
            seat.armed = None

    def health(self, seat, *found):
        pass  # no balancer asks for a probe

    def heard(self, seat, author, offset, size):
        cut(self.tail, offset, size)  # balancers share nothing: checked, and left at that

    def stage(self, seat, build, stage, phase, answers_vote, status, cap, age):
        if answers_vote:
            seat.balancer.vote_answered(self.now, _VOTES.get(status, at_door.VOTE_ERRED))
        if status == 200:
            seat.balancer.stage_reported(self.now, build, stage, phase, cap, ms_to_ns(age))

    def scorecard(self, seat, *counted):
        pass  # a balancer judges by its own outcomes

    def bad_answer(self, seat, instance, request_class, age):
        seat.balancer.wrong_answer_reported(self.now, instance)
