"""The cluster's own members: adding and removing them, one at a time, and forming a cluster.

The membership names each member's folder by the random id that was drawn when the folder was created. A
machine that lost its disk has another folder, so it can't be mistaken for the member that it was: it can't
vote, and its old name is never a member again.
"""

from typing import Annotated

import msgspec
from immutables import Map
from msgspec import Meta, Struct

from .faults import Refused
from .new_names import ExistingName, Name
from .records import ConfiguredMember, SnapshotBase
from .state import Command, LedgerSettings, MemberRow, State

MAX_NAMES = 4096  # names that were ever members
MAX_MEMBERS = 9
RETRY_DELAY_NS = 500_000_000  # before the leader checks again whether a membership change is done

Address = Annotated[str, Meta(max_length=200, pattern=r"^[0-9A-Za-z.-]+:[0-9]{1,5}$")]


class Wanted(Struct, frozen=True):
    """A membership change that the leader has to make: a member to add or, if there is no folder, to
    remove."""

    address: str = ""
    folder: str = ""


class Add(Command, frozen=True, tag="add"):
    """Adds a member. `folder` is the id of the folder that answers at `address`; the member that receives the
    command fills it in."""

    member: Name
    address: Address
    folder: Annotated[str, Meta(max_length=64)] = ""


class Remove(Command, frozen=True, tag="remove"):
    """Removes a member."""

    member: ExistingName
    address: str = ""


def add(transaction, command):
    row = transaction.get("members", command.member)
    if row is not None:
        reason = "was a member once" if row.gone else "is a member"
        raise Refused(f"{command.member} {reason}", "give the machine a new name, with an empty folder")
    if not command.folder:
        raise Refused(
            f"nobody waits outside at {command.address}", "start the member there with --join first"
        )
    if any(row.folder == command.folder for row in transaction.part("members").values()):
        raise Refused(f"the folder at {command.address} is another member's", "give it an empty folder")
    check_no_change(transaction)
    if len(transaction.part("members")) >= MAX_NAMES:
        raise Refused(f"{MAX_NAMES} names were used up", "form another cluster and move the services")
    if sum(not row.gone for row in transaction.part("members").values()) >= MAX_MEMBERS:
        raise Refused(f"{MAX_MEMBERS} members are the most", "remove one first")
    transaction.put("seating", command.member, Wanted(command.address, command.folder))


def remove(transaction, command):
    row = transaction.get("members", command.member)
    if row is None or row.gone:
        raise Refused(f"{command.member} is no member", "nothing is left to do")
    check_no_change(transaction)
    if (
        row.votes
        and sum(other.votes and not other.gone for other in transaction.part("members").values()) == 1
    ):
        raise Refused(f"{command.member} is the last that votes", "add another first")
    transaction.put("seating", command.member, Wanted())


def check_no_change(transaction):
    """Refuses the command while another member is being added or removed."""
    for name in transaction.part("seating"):
        raise Refused(f"{name} is still being seated or removed", "try again once status shows it")


KINDS = {"seating": Wanted}
RULES = {Add: add, Remove: remove}


class Membership:
    """The leader task that makes the membership changes which commands have asked for."""

    def __init__(self, dispatcher):
        self.dispatcher, self.retry_at = dispatcher, 0

    def became_leader(self, now):
        self.retry_at = 0

    def next(self, now, wall_ms, state, followers):
        if now < self.retry_at:
            return None
        for name, wanted in state.part("seating").items():
            members = dict(self.dispatcher.replica.members)
            if wanted.folder:
                members[name] = ConfiguredMember(wanted.address, wanted.folder, False)
            else:
                members.pop(name, None)
            self.retry_at = now + RETRY_DELAY_NS
            if members != self.dispatcher.replica.members:
                self.dispatcher.replica.change_members(now, members, Change())
        return None

    def called(self, now, call, code, body):
        raise AssertionError("seating calls nobody")

    def wake_at(self):
        return max(self.retry_at, 0) if self.dispatcher.state.part("seating") else 1 << 62


class Change:
    """The ticket of a membership change. No caller waits for its answer; the state shows the result."""


def formed(members, settings):
    """Returns the state and the snapshot base of a new cluster. `members` maps a name to its
    ConfiguredMember."""
    rows = {
        name: MemberRow(member.address, member.folder, member.votes, False, 1)
        for name, member in members.items()
    }
    parts = Map({"members": Map(rows), "terms": Map({"cluster": settings})})
    return State(index=1, term=1, parts=parts, oldest=1), SnapshotBase(1, 1, dict(members))


# ---- forming: what a member with an empty folder does, depending on what the other listed members answer


class Greeting(Struct, frozen=True):
    """A member's answer to the question who it is. `cluster` is the id of its cluster, or empty if its folder
    is empty."""

    name: str
    folder: str
    cluster: str = ""
    joins: bool = False  # it was started in order to be added, so it does not form a cluster


# Actions of a member with an empty folder.
WAIT = "wait"
FORM = "form"
STAY_OUT = "stay out"


def to_form(me, members, greetings):
    """Decides what a member with an empty folder does. Returns (action, reason).

    `members` maps a name to its address, as in the member's settings. `greetings` maps a name to the Greeting
    of each member that answered, including this one.

    Only the member with the first name forms the cluster, and only once every other listed member has
    answered with an empty folder; the membership then names exactly these folders. If one of them is already
    in a cluster, this member does not belong to that cluster.
    """
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
    """Returns why a member with an empty folder may not start from this base of a cluster, or an empty
    string if it may.

    The base's membership must have the member with this very folder, and the member must be listed in its
    settings or have been started in order to be added.
    """
    member = base.members.get(name)
    if member is None:
        return f"{name} is not in its membership"
    if member.folder != folder:
        return f"the membership has {name} with another folder: this machine has to join under a new name"
    if not joins and name not in members:
        return f"{name} is not listed in its own settings"
    return ""


def first_base(members, name, base):
    """Returns the base that a configured member with an empty folder starts from, as given by a member of the
    cluster.

    A learner starts with nothing, because the leader sends it the rest in chunks. A voter starts with `base`,
    the snapshot on the giver's disk. If voters started with nothing, a majority of them could elect each
    other and form the cluster a second time.
    """
    member = members.get(name)
    return base if member is None or member.votes else SnapshotBase(0, 0, dict(members))


__all__ = [
    "KINDS",
    "RULES",
    "Add",
    "LedgerSettings",
    "Membership",
    "Remove",
    "first_base",
    "formed",
    "may_join",
    "msgspec",
    "to_form",
]
