"""The cluster's own members: who comes in, who goes, one at a time; and how a cluster forms.

A seat names a folder by the id that the folder drew as it was made. A machine that lost its disk has
another folder, so nobody takes it for the member that it was: it speaks for no seat, and its old name is
never seated again."""

from typing import Annotated

import msgspec
from immutables import Map
from msgspec import Meta, Struct

from .capacity import Name
from .faults import Refused
from .records import ConfiguredMember, SnapshotBase
from .state import Command, LedgerSettings, MemberRow, State

MOST_NAMES = 4096  # that were ever seated
MAX_MEMBERS = 9
AWAIT = 500_000_000  # before the leader looks again whether a change of members is through

Address = Annotated[str, Meta(max_length=200, pattern=r"^[0-9A-Za-z.-]+:[0-9]{1,5}$")]


class Wanted(Struct, frozen=True):
    """A change of members that the leader is to make: a seat to come, or (with no folder) to go."""

    address: str = ""
    folder: str = ""


class Add(Command, frozen=True, tag="add"):
    """`folder`: the id of the folder that answers at that address, filled in by the member that takes the
    command."""

    member: Name
    address: Address
    folder: Annotated[str, Meta(max_length=64)] = ""


class Remove(Command, frozen=True, tag="remove"):
    member: Name
    address: str = ""


def add(draft, command):
    row = draft.get("members", command.member)
    if row is not None:
        said = "was a member once" if row.gone else "is a member"
        raise Refused(f"{command.member} {said}", "give the machine a new name, with an empty folder")
    if not command.folder:
        raise Refused(
            f"nobody waits outside at {command.address}", "start the member there with --join first"
        )
    if any(row.folder == command.folder for row in draft.part("members").values()):
        raise Refused(f"the folder at {command.address} is another member's", "give it an empty folder")
    alone(draft)
    if len(draft.part("members")) >= MOST_NAMES:
        raise Refused(f"{MOST_NAMES} names were used up", "form another cluster and move the services")
    if sum(not row.gone for row in draft.part("members").values()) >= MAX_MEMBERS:
        raise Refused(f"{MAX_MEMBERS} members are the most", "remove one first")
    draft.put("seating", command.member, Wanted(command.address, command.folder))


def remove(draft, command):
    row = draft.get("members", command.member)
    if row is None or row.gone:
        raise Refused(f"{command.member} is no member", "nothing is left to do")
    alone(draft)
    if row.votes and sum(other.votes and not other.gone for other in draft.part("members").values()) == 1:
        raise Refused(f"{command.member} is the last that votes", "add another first")
    draft.put("seating", command.member, Wanted())


def alone(draft):
    for name in draft.part("seating"):
        raise Refused(f"{name} is still being seated or removed", "try again once status shows it")


KINDS = {"seating": Wanted}
RULES = {Add: add, Remove: remove}


class Membership:
    """A leader's duty: brings the seats in line with what was commanded."""

    def __init__(self, dispatcher):
        self.dispatcher, self.again = dispatcher, 0

    def became_leader(self, now):
        self.again = 0

    def next(self, now, wall_ms, state, followers):
        if now < self.again:
            return None
        for name, wanted in state.part("seating").items():
            seats = dict(self.dispatcher.replica.members)
            if wanted.folder:
                seats[name] = ConfiguredMember(wanted.address, wanted.folder, False)
            else:
                seats.pop(name, None)
            self.again = now + AWAIT
            if seats != self.dispatcher.replica.members:
                self.dispatcher.replica.change_members(now, seats, Change())
        return None

    def called(self, now, call, code, body):
        raise AssertionError("seating calls nobody")

    def wake_at(self):
        return max(self.again, 0) if self.dispatcher.state.part("seating") else 1 << 62


class Change:
    """The ticket of a change of members: nobody waits for its answer, the state tells."""


def formed(members, settings):
    """The state and the base of a new cluster. `members`: dict of name to Seat."""
    rows = {
        name: MemberRow(seat.address, seat.folder, seat.votes, False, 1) for name, seat in members.items()
    }
    parts = Map({"members": Map(rows), "terms": Map({"cluster": settings})})
    return State(index=1, term=1, parts=parts, oldest=1), SnapshotBase(1, 1, dict(members))


# ---- forming: what a member with an empty folder does, by what the others listed answer


class Greeting(Struct, frozen=True):
    """What a member answers to whoever asks who it is. `cluster`: the id of the one it is in, empty while
    its folder is."""

    name: str
    folder: str
    cluster: str = ""
    joins: bool = False  # it was started to be added, and forms nothing


WAIT, FORM, STAY_OUT = "wait", "form", "stay out"


def to_form(me, members, greetings):
    """What a member with an empty folder is to do: (what, why). `members`: name to address as its settings
    list them; `greetings`: name to Greeting of those that answered, itself among them.

    Only the first of the names forms, and only once every other listed member has answered with an empty
    folder: the seats then name exactly these folders. Where one of them is in a cluster already, this
    member is not of it."""
    for name in sorted(greetings):
        greeting = greetings[name]
        if greeting.cluster and name != me:
            return (
                STAY_OUT,
                f"{name} is in cluster {greeting.cluster} already, which does not know this folder",
            )
        if greeting.name != name:
            return STAY_OUT, f"{members[name]} answers as {greeting.name}, not as {name}"
        if greeting.joins:
            return STAY_OUT, f"{name} was started with --join"
    missing = sorted(set(members) - set(greetings))
    if missing:
        return WAIT, f"waits for {', '.join(missing)} to answer"
    first = min(members)
    return (FORM, "") if first == me else (WAIT, f"waits for {first} to form the cluster")


def may_join(folder, joins, members, name, base):
    """Why a member with an empty folder does not take up this base of a cluster, or an empty string: it
    has to be seated in it with this very folder, and either be listed in the settings or be started to be
    added."""
    seat = base.members.get(name)
    if seat is None:
        return f"{name} has no seat in it"
    if seat.folder != folder:
        return f"the seat of {name} is another folder's: this machine joins under a new name"
    if not joins and name not in members:
        return f"{name} is not listed in its own settings"
    return ""


def first_base(seats, name, base):
    """The base that a seated member whose folder is still empty begins with, as one that is in the cluster
    gives it: a learner with nothing, since the leader sends it the rest in pieces; one that votes with
    `base`, the snapshot on the giver's disk. Were voters to begin with nothing, a majority of them could
    elect each other and form the cluster a second time."""
    seat = seats.get(name)
    return base if seat is None or seat.votes else SnapshotBase(0, 0, dict(seats))


__all__ = [
    "KINDS",
    "RULES",
    "Add",
    "Remove",
    "Membership",
    "LedgerSettings",
    "first_base",
    "formed",
    "may_join",
    "msgspec",
    "to_form",
]
