"""The one function from state and command to state and answer: the same on every member, for ever.

The state is a persistent map of parts ("nodes", "reservations", ...), each a persistent map from key to
record, so that whoever holds one holds it unchanged: a snapshot is a reference. What a kind of command does
is a rule: a function of a Draft and a command, given by the packages (`capacity.RULES`,
`lemonlead.drains.rules.RULES`, ...). A rule that raises Refused or Senseless has changed nothing.

Remembered ids: for `Terms.remember` of the ledger's time an id gets the answer that it got. They are
dropped oldest first once older than that, never for want of room: `full` tells the leader to turn commands
away before that."""

import re
from dataclasses import dataclass, field, replace
from itertools import islice

import msgspec
from immutables import Map
from msgspec import Struct

from .faults import Fault, Refused, Senseless
from .records import COMMAND, MEMBERS, ConfiguredMember, Entry

MAX_COMMAND_BYTES = 256 * 1024  # bytes of a command
DEEPEST = 100  # objects and lists in each other
MOST_ANSWERS = 200_000  # ids remembered; past it the leader takes no command until old ones run out
PIECE = 500  # records in one piece of a snapshot


class Command(Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", kw_only=True):
    """What a client asks. `id`: its own, empty only for what a leader proposes for itself."""

    id: str = ""


class LedgerSettings(Struct, frozen=True):
    """Figures that all members must share, set as the cluster is formed. Times in nanoseconds of the
    ledger's time."""

    remember: int = 900_000_000_000  # for how long an id gets its answer again
    lease: int = 10_000_000_000  # a follower not heard of for so long is no longer waited for
    grace: int = 1_000_000_000  # and this much more, for what it sent last
    cold: int = 5_000_000_000  # for how long a node that came back is cold
    cold_share: float = 0.5  # of its units that a cold node bears
    site_share: float = 0.25  # of a site's nodes that may be away at once for drains; one always may


class Answered(Struct, frozen=True, array_like=True):
    """What a remembered id was answered."""

    index: int
    moment: int
    code: int  # as the HTTP status: 200, 400 or 409
    body: dict


class MemberRow(Struct, frozen=True):
    """A member as the log has it. One that was removed stays, as `gone`: its name never votes again."""

    address: str
    folder: str
    votes: bool = True
    gone: bool = False
    since: int = 0  # index of the entry that made it so


@dataclass(frozen=True, slots=True)
class State:
    """As of entry `index`. `parts`: name to Map of key to record. `answers`: id to Answered; `order`:
    index to id."""

    index: int = 0
    term: int = 0
    moment: int = 0
    wall_ms: int = 0
    parts: Map = field(default_factory=Map)
    answers: Map = field(default_factory=Map)
    order: Map = field(default_factory=Map)
    oldest: int = 0  # no remembered id is of an earlier entry

    def part(self, name):
        return self.parts.get(name, EMPTY)

    @property
    def settings(self):
        return self.part("terms").get("cluster", DEFAULT_SETTINGS)

    @property
    def records(self):
        """How many there are in all, remembered ids among them: what a snapshot costs goes by it."""
        return sum(map(len, self.parts.values())) + len(self.answers)

    @property
    def full(self):
        return len(self.answers) >= MOST_ANSWERS


EMPTY, DEFAULT_SETTINGS = Map(), LedgerSettings()


class Transaction:
    """A state being changed by one command. Reads see the changes made so far."""

    def __init__(self, state, entry):
        self.state, self.term, self.index = state, entry.term, entry.index
        self.moment = max(entry.moment, state.moment)
        # As its leader read it: one that was ahead must not hold all later ones to its error.
        self.wall_ms = entry.wall_ms or state.wall_ms
        self.parts, self.changes, self.settings = state.parts, {}, state.settings

    def part(self, name):
        """The whole Map, for lookups and for going over."""
        return self.parts.get(name, EMPTY)

    def get(self, part, key):
        return self.part(part).get(key)

    def put(self, part, key, record, notify=True):
        """`told`: whoever polls for changes hears of it; what follows from other records need not be."""
        if self.get(part, key) != record:
            self.parts = self.parts.set(part, self.part(part).set(key, record))
            if notify:
                self.changes[part, key] = record

    def drop(self, part, key, notify=True):
        if key in self.part(part):
            rest = self.part(part).delete(key)
            self.parts = self.parts.set(part, rest) if rest else self.parts.delete(part)
            if notify:
                self.changes[part, key] = None


@dataclass(slots=True)
class Applied:
    """What an entry came to. `changes`: (part, key) to its record, None where it was dropped, in the order
    made."""

    code: int
    body: dict
    changes: dict
    repeat: bool = False


class Ledger:
    """The rules of a cluster. `rules`: command class to function(draft, command), which returns more
    fields of the answer or None. `kinds`: part to the class of its records. `inner`: classes that only a
    leader proposes for itself."""

    def __init__(self, rules, kinds, inner=()):
        self.rules = rules
        self.kinds = {"terms": LedgerSettings, "members": MemberRow, **kinds}
        self.inner = tuple(inner)
        self.known = {command.__struct_config__.tag: command for command in rules}
        self.readers = {kind: msgspec.json.Decoder(command) for kind, command in self.known.items()}

    def read(self, data, outside=False):
        """A command from its bytes; Senseless where it makes no sense. `outside`: it comes from a client."""
        if len(data) > MAX_COMMAND_BYTES:
            raise Senseless(f"a command of {len(data)} bytes; {MAX_COMMAND_BYTES} are the most")
        if data.count(b"{") + data.count(b"[") > DEEPEST and deepest(data) > DEEPEST:
            raise Senseless(f"a command nested deeper than {DEEPEST}")
        try:
            kind = KIND.decode(data).kind
            if kind not in self.known:
                raise Senseless(f"no kind {kind!r}")
            command = self.readers[kind].decode(data)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            raise Senseless(str(error)[:300]) from None
        if outside and (isinstance(command, self.inner) or not 0 < len(command.id) <= 200):
            raise Senseless(
                "an id of 1 to 200 letters is wanted"
                if not isinstance(command, self.inner)
                else f"kind {kind!r} is not for clients"
            )
        return command

    def apply(self, state, entry):
        """The state after this entry and what it came to. Nothing but the two decides it."""
        if entry.index != state.index + 1:
            raise ValueError(f"entry {entry.index} after {state.index}")
        draft = Transaction(state, entry)
        applied = Applied(200, {"at": entry.index}, draft.changes)
        id = ""
        if entry.what == MEMBERS:
            self.seat(draft, msgspec.json.decode(entry.data, type=dict[str, ConfiguredMember]))
        elif entry.what == COMMAND:
            id, applied = self.command(state, draft, entry)
        if applied.code != 200 or applied.repeat:
            draft.parts = state.parts
        after = replace(
            state,
            index=entry.index,
            term=entry.term,
            moment=draft.moment,
            wall_ms=draft.wall_ms,
            parts=draft.parts,
        )
        if id and not applied.repeat:
            answered = Answered(entry.index, draft.moment, applied.code, applied.body)
            after = replace(
                after, answers=after.answers.set(id, answered), order=after.order.set(entry.index, id)
            )
        return forget(after), applied

    def command(self, state, draft, entry):
        try:
            command = self.read(entry.data)
        except Senseless as error:
            return "", Applied(400, {"error": error.read()}, {})
        before = state.answers.get(command.id) if command.id else None
        if before is not None and before.moment + state.settings.remember > draft.moment:
            return command.id, Applied(before.code, before.body, {}, repeat=True)
        try:
            more = self.rules[type(command)](draft, command) or {}
            return command.id, Applied(200, {"at": entry.index, **more}, draft.changes)
        except Senseless as error:
            return command.id, Applied(400, {"error": error.read()}, {})
        except Refused as error:
            return command.id, Applied(409, {"error": error.read(), "outcome": "refused"}, {})

    def seat(self, draft, seats):
        """The members as this entry has them; whoever is no longer among them is gone for good."""
        for name, row in draft.part("members").items():
            if name not in seats and not row.gone:
                draft.put("members", name, MemberRow(row.address, row.folder, False, True, draft.index))
        for name, wanted in draft.part("seating").items():
            if bool(wanted.folder) == (name in seats):
                draft.drop("seating", name)
        for name, seat in sorted(seats.items()):
            row = draft.get("members", name)
            if row is None or (row.address, row.folder, row.votes, row.gone) != (
                seat.address,
                seat.folder,
                seat.votes,
                False,
            ):
                draft.put(
                    "members", name, MemberRow(seat.address, seat.folder, seat.votes, False, draft.index)
                )

    # ---- snapshots: a state as pieces of bytes, each a JSON line, and back

    def pieces(self, state):
        """The state as lines, a head first, some hundred records in each of the others; made one by one, in
        the order in which the maps have them: sorting all would hold up every other thread."""
        head = {
            "index": state.index,
            "term": state.term,
            "moment": state.moment,
            "wall_ms": state.wall_ms,
            "oldest": state.oldest,
            "count": state.records,
        }
        yield ENCODE({"head": head}) + b"\n"
        for name in sorted(state.parts):
            for some in chunks(state.parts[name].items()):
                yield ENCODE({"part": name, "items": dict(some)}) + b"\n"
        for some in chunks(state.answers.items()):
            yield ENCODE({"answers": dict(some)}) + b"\n"

    def whole(self, data):
        """The state of these bytes; ValueError where they are no whole snapshot."""
        lines = data.splitlines()
        try:
            head = msgspec.json.decode(lines[0])["head"]
            count, parts, answers, order = head.pop("count"), {}, EMPTY.mutate(), EMPTY.mutate()
            for line in lines[1:]:
                piece = msgspec.json.decode(line)
                if "part" in piece:
                    name = piece["part"]
                    some = {
                        key: msgspec.convert(row, self.kinds[name]) for key, row in piece["items"].items()
                    }
                    parts.setdefault(name, EMPTY.mutate()).update(some)
                else:
                    some = msgspec.convert(piece["answers"], dict[str, Answered])
                    answers.update(some)
                    order.update({answered.index: id for id, answered in some.items()})
            if sum(map(len, parts.values())) + len(answers) != count:
                raise ValueError("records are missing")
            return State(
                parts=Map({name: part.finish() for name, part in parts.items()}),
                answers=answers.finish(),
                order=order.finish(),
                **head,
            )
        except (IndexError, KeyError, TypeError, AttributeError, msgspec.MsgspecError) as error:
            raise ValueError(f"no snapshot: {type(error).__name__}: {error}") from None


def deepest(data):
    """How deep its objects and lists are in each other. Against a command that one member can read and
    another cannot, as its stack happens to be deeper: their states would differ for ever."""
    depth = most = 0
    for found in BRACKET.finditer(data):
        depth += {b"{": 1, b"[": 1, b"}": -1, b"]": -1}.get(found[0], 0)
        most = max(most, depth)
    return most


def forget(state):
    """Without the ids whose time is over; a few entries on at each call, so that no call is long."""
    answers, order, oldest, most = state.answers, state.order, state.oldest, 8
    while most and oldest < state.index:
        id = order.get(oldest)
        if id is not None:
            if answers[id].moment + state.settings.remember > state.moment:
                break
            if answers[id].index == oldest:
                answers = answers.delete(id)
            order = order.delete(oldest)
        oldest, most = oldest + 1, most - 1
    if oldest == state.oldest:
        return state
    return replace(state, answers=answers, order=order, oldest=oldest)


def chunks(items):
    rest = iter(items)
    while some := list(islice(rest, PIECE)):
        yield some


class CommandKind(Struct):
    kind: str


BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)  # or a whole string
KIND, ENCODE = msgspec.json.Decoder(CommandKind), msgspec.json.Encoder().encode
__all__ = [
    "Applied",
    "Command",
    "Entry",
    "Fault",
    "Ledger",
    "LedgerSettings",
    "MemberRow",
    "State",
    "Transaction",
]
