"""The followers of the ledger (gateways), and what each of them has acknowledged.

That a gateway follows is in the log (part "followers"). How far it has got and when it was last heard from is
known to the leader only, from polls: a gateway that asks for what comes after an index has applied all
changes up to it. A new leader treats each follower as heard from when it became leader, and as having
acknowledged nothing.
"""

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from .capacity import MAX_RECORDS_PER_PART, check_part_size
from .faults import Refused
from .new_names import ExistingName, Name
from .state import Command

MAX_FOLLOWERS = 1000
MAX_SERVICES = 16  # of one gateway
LEASE_CHECK_INTERVAL_NS = 200_000_000
NEVER = 1 << 62


class Follower(Struct, frozen=True):
    """A gateway that follows."""

    since: int = 0  # index of its follow command
    services: tuple[str, ...] = ()  # services whose requests it sends, and on whose moves it votes


class Follow(Command, frozen=True, tag="follow"):
    """A gateway asks to be waited for, before it applies any change of the ledger. It votes on the moves of
    `services`."""

    gateway: Name
    services: Annotated[tuple[Name, ...], Meta(max_length=MAX_SERVICES)] = ()


class Unfollow(Command, frozen=True, tag="unfollow"):
    """A gateway that has finished sending requests asks not to be waited for any more. `since` is the index
    of its follow command: another process may have followed under its name meanwhile. Older gateways don't
    send it; theirs ends whatever stay is current."""

    gateway: ExistingName
    since: Annotated[int, Meta(ge=0)] = 0

    def to_log(self):
        """Members that don't know `since` refuse the command, but all know `Forgotten`."""
        return Forgotten(id=self.id, gateway=self.gateway, since=self.since) if self.since else self


class Forgotten(Command, frozen=True, tag="forgotten"):
    """The end of one stay of a gateway: proposed by the leader when its lease and grace period have expired,
    or in place of an `Unfollow` that names the stay. The gateway may follow again."""

    gateway: Name
    since: Annotated[int, Meta(ge=0)]


def follow(transaction, command):
    if transaction.get("followers", command.gateway) is None:
        if len(transaction.part("followers")) >= MAX_FOLLOWERS:
            raise Refused(f"{MAX_FOLLOWERS} gateways follow already", "end some that are no longer needed")
        check_part_size(transaction, "followers", command.gateway)
    transaction.put("followers", command.gateway, Follower(transaction.index, command.services))


def unfollow(transaction, command):
    if command.since:
        return forgotten(transaction, command)
    transaction.drop("followers", command.gateway)


def forgotten(transaction, command):
    """Drops a follower, unless it has followed again meanwhile."""
    follower = transaction.get("followers", command.gateway)
    if follower is not None and follower.since == command.since:
        transaction.drop("followers", command.gateway)


KINDS = {"followers": Follower}
RULES = {Follow: follow, Unfollow: unfollow, Forgotten: forgotten}
INNER = (Forgotten,)


class ProposedFollow(NamedTuple):
    """A follow command in the leader's log."""

    gateway: str
    term: int
    index: int


class Followers:
    """What a leader knows of each follower. It is not replicated; its size is bounded by the state."""

    def __init__(self):
        # Name to (time last heard from, index applied up to, `since` of the follow command that this is of).
        self.progress = {}
        self.last_proposed = ProposedFollow("", 0, 0)

    def became_leader(self, now):
        self.progress = {}

    def proposed(self, gateway, term, index):
        """Entry `index` of the leader's log is a follow command."""
        self.last_proposed = ProposedFollow(gateway, term, index)

    def polled(self, now, name, after, since=None):
        """A follower asked for what comes after this index. `since` is that of its follow command, or None
        for the one last seen."""
        _, before, known_since = self.progress.get(name, (now, 0, since))
        if since is not None and since != known_since:
            before, known_since = 0, since
        self.progress[name] = now, max(before, after), known_since

    def update(self, now, rows):
        """Brings `progress` in line with the followers of the state.

        A new follower counts as heard from now. So does one that follows again: another process may have
        started under its name, which has not applied what the earlier one had.
        """
        for name, row in rows.items():
            heard, after, known_since = self.progress.get(name, (now, 0, row.since))
            if known_since is not None and known_since != row.since:
                heard, after = now, 0
            self.progress[name] = heard, after, row.since
        if len(self.progress) > len(rows):
            self.progress = {name: known for name, known in self.progress.items() if name in rows}

    def waited_for(self, now, state, index):
        """Returns the sorted names of the followers that may still act on the state before this entry.

        A follower counts until it has applied the entry, or until its lease and grace period have expired
        since it was last heard from. A gateway whose follow command is in the log but not applied yet counts
        too: what is proposed now comes after it in the log.
        """
        last = self.last_proposed
        if last.term == state.term and last.index > state.index:
            return [last.gateway]
        patience = state.settings.lease + state.settings.grace
        self.update(now, state.part("followers"))
        progress = sorted(self.progress.items())
        return [name for name, (heard, after, _) in progress if after < index and now - heard < patience]

    def next(self, now, state):
        """Returns the command that drops a follower whose lease and grace period have expired, or None."""
        patience = state.settings.lease + state.settings.grace
        self.update(now, state.part("followers"))
        for name, (heard, _, since) in sorted(self.progress.items()):
            if now - heard >= patience:
                return Forgotten(gateway=name, since=since)
        return None


class FollowerExpiry:
    """The leader task that drops followers whose lease and grace period have expired."""

    def __init__(self, dispatcher):
        self.dispatcher, self.next_check = dispatcher, 0

    def became_leader(self, now):
        self.next_check = 0

    def next(self, now, wall_ms, state, followers):
        if now < self.next_check:
            return None
        expired = followers.next(now, state)
        if expired is None:
            self.next_check = now + LEASE_CHECK_INTERVAL_NS
        return expired

    def called(self, now, call, code, body):
        raise AssertionError("it calls nobody")

    def wake_at(self):
        return self.next_check if self.dispatcher.state.part("followers") else NEVER


__all__ = ["INNER", "KINDS", "MAX_RECORDS_PER_PART", "RULES", "Followers"]
