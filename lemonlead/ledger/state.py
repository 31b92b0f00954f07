"""The deterministic state machine: a state and a command give a new state and an answer, the same on every
member.

A state is a persistent map of parts ("nodes", "reservations", ...). Each part is a persistent map from key to
record, so a reference to a state never changes and serves as a snapshot. What a kind of command does is a
rule: a function of a Transaction and a command that a package provides (`capacity.RULES`,
`lemonlead.drains.rules.RULES`, ...). A rule that raises Refused or Senseless changes nothing.

Remembered ids: for `LedgerSettings.remember` of ledger time, a repeated id gets its first answer again. Ids
are dropped only when they are older than that, oldest first, and never for lack of room. Before there are too
many, `State.full` makes the leader turn commands away.
"""

from dataclasses import dataclass, field, replace
from itertools import islice

import msgspec
from immutables import Map
from msgspec import Struct

from ..json_brackets import nesting_depth
from .faults import Fault, Refused, Senseless
from .new_names import check_new_names
from .records import COMMAND, MEMBERS, ConfiguredMember, Entry

MAX_COMMAND_BYTES = 256 * 1024
# Objects and lists inside each other in a command. Without a bound, one member might decode a command that is
# too deep for another one's stack, and their states would differ from then on.
MAX_NESTING = 100
MAX_ANSWERS = 200_000  # remembered ids; beyond it the leader takes no command until old ones expire
RECORDS_PER_PIECE = 500  # in one line of a snapshot


class Command(Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", kw_only=True):
    """Base of all commands. `id` is the client's own; it is empty only for commands that a leader proposes
    itself."""

    id: str = ""

    def check_new(self, data):
        """Raises Senseless if clients may not send the command, which was decoded from `data`. One that is in
        the log is applied all the same, as members of older versions did."""
        check_new_names(self, data)

    def to_log(self):
        """Returns the command in the form in which a leader proposes it."""
        return self


class LedgerSettings(Struct, frozen=True):
    """Settings that all members share, stored when the cluster is formed. Times are nanoseconds of ledger
    time."""

    remember: int = 900_000_000_000  # for how long a repeated id gets its first answer
    lease: int = 10_000_000_000  # a follower that was silent for this long is no longer waited for ...
    grace: int = 1_000_000_000  # ... after this much more time, for messages still in flight
    cold: int = 5_000_000_000  # for how long a node that came back is cold
    cold_share: float = 0.5  # the share of its units that a cold node can use
    site_share: float = 0.25  # of a site's nodes that drains may take out together; one always may


class Answered(Struct, frozen=True, array_like=True):
    """The answer that a remembered id got."""

    index: int
    moment: int
    code: int  # as the HTTP status: 200, 400 or 409
    body: dict


class MemberRow(Struct, frozen=True):
    """A member, as the newest MEMBERS entry has it. A removed member stays with `gone` set, because its name
    may never be used again."""

    address: str
    folder: str
    votes: bool = True
    gone: bool = False
    since: int = 0  # index of the entry that changed the row last


@dataclass(frozen=True, slots=True)
class State:
    """The state as of entry `index`.

    `parts` maps a name to a Map of key to record, `answers` an id to its Answered, `order` an index to the id
    of its command. `moment` is ledger time, `wall_ms` Unix time in milliseconds.
    """

    index: int = 0
    term: int = 0
    moment: int = 0
    wall_ms: int = 0
    parts: Map = field(default_factory=Map)
    answers: Map = field(default_factory=Map)
    order: Map = field(default_factory=Map)
    oldest: int = 0  # no remembered id belongs to an earlier entry

    def part(self, name):
        return self.parts.get(name, EMPTY)

    @property
    def settings(self):
        return self.part("terms").get("cluster", DEFAULT_SETTINGS)

    @property
    def records(self):
        """The number of records, including remembered ids. The cost of a snapshot grows with it."""
        return sum(map(len, self.parts.values())) + len(self.answers)

    @property
    def full(self):
        return len(self.answers) >= MAX_ANSWERS


EMPTY, DEFAULT_SETTINGS = Map(), LedgerSettings()


class Transaction:
    """The changes of one command to a state. Reads see the changes made so far."""

    def __init__(self, state, entry):
        self.state, self.term, self.index = state, entry.term, entry.index
        self.moment = max(entry.moment, state.moment)
        # The clock of this entry's leader, even if it is earlier than in the state: the clock of an earlier
        # leader may have been ahead, and later entries must not keep its error.
        self.wall_ms = entry.wall_ms or state.wall_ms
        self.parts, self.changes, self.settings = state.parts, {}, state.settings

    def part(self, name):
        """Returns the whole Map of a part."""
        return self.parts.get(name, EMPTY)

    def get(self, part, key):
        return self.part(part).get(key)

    def put(self, part, key, record, notify=True):
        """Stores a record. `notify` makes it a change that polls report; it is not needed for records that
        are derived from others."""
        if self.get(part, key) != record:
            self.parts = self.parts.set(part, self.part(part).set(key, record))
            if notify:
                self.changes[part, key] = record

    def drop(self, part, key, notify=True):
        """Removes a record if it exists."""
        if key in self.part(part):
            rest = self.part(part).delete(key)
            self.parts = self.parts.set(part, rest) if rest else self.parts.delete(part)
            if notify:
                self.changes[part, key] = None


@dataclass(slots=True)
class Applied:
    """The result of an entry. `changes` maps (part, key) to the record, or to None if it was dropped, in the
    order of the changes."""

    code: int
    body: dict
    changes: dict
    repeat: bool = False


class Ledger:
    """The rules of a cluster.

    `rules` maps a command class to function(transaction, command), which returns further fields of the answer
    or None. `kinds` maps a part to the class of its records. `inner` has the command classes that only a
    leader may propose.
    """

    def __init__(self, rules, kinds, inner=()):
        self.rules = rules
        self.kinds = {"terms": LedgerSettings, "members": MemberRow, **kinds}
        self.inner = tuple(inner)
        self.commands = {command.__struct_config__.tag: command for command in rules}
        self.decoders = {kind: msgspec.json.Decoder(command) for kind, command in self.commands.items()}

    def read(self, data, outside=False):
        """Decodes a command, or raises Senseless if it is invalid. `outside` means that a client sent it."""
        if len(data) > MAX_COMMAND_BYTES:
            raise Senseless(f"a command of {len(data)} bytes; at most {MAX_COMMAND_BYTES} are allowed")
        if data.count(b"{") + data.count(b"[") > MAX_NESTING and nesting_depth(data) > MAX_NESTING:
            raise Senseless(f"a command nested deeper than {MAX_NESTING}")
        try:
            kind = KIND_DECODER.decode(data).kind
            if kind not in self.commands:
                raise Senseless(f"unknown kind {kind!r}")
            command = self.decoders[kind].decode(data)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            raise Senseless(str(error)[:300]) from None
        if outside and (isinstance(command, self.inner) or not 0 < len(command.id) <= 200):
            raise Senseless(
                "an id of 1 to 200 characters is required"
                if not isinstance(command, self.inner)
                else f"kind {kind!r} is not for clients"
            )
        if outside:
            command.check_new(data)
        return command

    def apply(self, state, entry):
        """Returns the state after this entry and its Applied. The result depends on the two arguments
        only."""
        if entry.index != state.index + 1:
            raise ValueError(f"entry {entry.index} after {state.index}")
        transaction = Transaction(state, entry)
        applied = Applied(200, {"at": entry.index}, transaction.changes)
        id = ""
        if entry.what == MEMBERS:
            self.update_members(
                transaction, msgspec.json.decode(entry.data, type=dict[str, ConfiguredMember])
            )
        elif entry.what == COMMAND:
            id, applied = self.command(state, transaction, entry)
        if applied.code != 200 or applied.repeat:
            transaction.parts = state.parts
        after = replace(
            state,
            index=entry.index,
            term=entry.term,
            moment=transaction.moment,
            wall_ms=transaction.wall_ms,
            parts=transaction.parts,
        )
        if id and not applied.repeat:
            answered = Answered(entry.index, transaction.moment, applied.code, applied.body)
            after = replace(
                after, answers=after.answers.set(id, answered), order=after.order.set(entry.index, id)
            )
        return expire_answers(after), applied

    def command(self, state, transaction, entry):
        """Applies a command. Returns its id (empty if it is invalid) and its Applied."""
        try:
            command = self.read(entry.data)
        except Senseless as error:
            return "", Applied(400, {"error": error.read()}, {})
        before = state.answers.get(command.id) if command.id else None
        if before is not None and before.moment + state.settings.remember > transaction.moment:
            return command.id, Applied(before.code, before.body, {}, repeat=True)
        try:
            more = self.rules[type(command)](transaction, command) or {}
            return command.id, Applied(200, {"at": entry.index, **more}, transaction.changes)
        except Senseless as error:
            return command.id, Applied(400, {"error": error.read()}, {})
        except Refused as error:
            return command.id, Applied(409, {"error": error.read(), "outcome": "refused"}, {})

    def update_members(self, transaction, members):
        """Stores the members of a MEMBERS entry. One that is no longer among them is marked as gone for
        good."""
        for name, row in transaction.part("members").items():
            if name not in members and not row.gone:
                transaction.put(
                    "members", name, MemberRow(row.address, row.folder, False, True, transaction.index)
                )
        for name, wanted in transaction.part("seating").items():
            if bool(wanted.folder) == (name in members):
                transaction.drop("seating", name)
        for name, member in sorted(members.items()):
            row = transaction.get("members", name)
            if row is None or (row.address, row.folder, row.votes, row.gone) != (
                member.address,
                member.folder,
                member.votes,
                False,
            ):
                transaction.put(
                    "members",
                    name,
                    MemberRow(member.address, member.folder, member.votes, False, transaction.index),
                )

    # ---- snapshots: a state as pieces of bytes, each of them a JSON line, and back

    def pieces(self, state):
        """Yields the state as lines: a head, then lines of up to RECORDS_PER_PIECE records.

        The lines are made one by one, and the records come in the order of the maps, because sorting them all
        would hold up every other thread.
        """
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
        """Returns the state of these bytes. Raises ValueError if they are not a complete snapshot."""
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


def expire_answers(state):
    """Returns the state without expired ids. Each call checks only a few entries, so that none takes long."""
    answers, order, oldest, budget = state.answers, state.order, state.oldest, 8
    while budget and oldest < state.index:
        id = order.get(oldest)
        if id is not None:
            if answers[id].moment + state.settings.remember > state.moment:
                break
            if answers[id].index == oldest:
                answers = answers.delete(id)
            order = order.delete(oldest)
        oldest, budget = oldest + 1, budget - 1
    if oldest == state.oldest:
        return state
    return replace(state, answers=answers, order=order, oldest=oldest)


def chunks(items):
    """Yields lists of up to RECORDS_PER_PIECE items."""
    rest = iter(items)
    while some := list(islice(rest, RECORDS_PER_PIECE)):
        yield some


class CommandKind(Struct):
    """The field of a command that names its kind."""

    kind: str


KIND_DECODER, ENCODE = msgspec.json.Decoder(CommandKind), msgspec.json.Encoder().encode
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
