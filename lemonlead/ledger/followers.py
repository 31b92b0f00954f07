"""Who follows the ledger (gateways), and what of it each has acknowledged.

That a gateway follows is in the log ("followers"); how far it has got and when it was last heard is the
leader's own knowledge, gathered from the calls for events: whoever asks for what comes after an index has
obeyed all up to it. A new leader counts each as heard at the moment it took office, and as having
acknowledged nothing."""

from typing import Annotated

from msgspec import Meta, Struct

from .capacity import MAX_RECORDS_PER_PART, Name, check_part_size
from .faults import Refused
from .state import Command

MAX_FOLLOWERS = 1000
MOST_SERVICES = 16  # of one gateway
LOOK = 200_000_000  # between two looks at whose lease ran out
NEVER = 1 << 62


class Follower(Struct, frozen=True):
    since: int = 0  # index of the entry that took it in
    services: tuple[str, ...] = ()  # whose requests it sends, and on whose moves it votes


class Follow(Command, frozen=True, tag="follow"):
    """A gateway asks to be waited for, before it obeys anything of the ledger's. `services`: it votes on
    their moves."""

    gateway: Name
    services: Annotated[tuple[Name, ...], Meta(max_length=MOST_SERVICES)] = ()


class Unfollow(Command, frozen=True, tag="unfollow"):
    """A gateway that has ended its sends asks not to be waited for any more."""

    gateway: Name


class Forgotten(Command, frozen=True, tag="forgotten"):
    """A leader's own: its lease and grace ran out. It may follow anew."""

    gateway: Name
    since: Annotated[int, Meta(ge=0)]


def follow(draft, command):
    if draft.get("followers", command.gateway) is None:
        if len(draft.part("followers")) >= MAX_FOLLOWERS:
            raise Refused(f"{MAX_FOLLOWERS} gateways follow already", "end some that are no longer needed")
        check_part_size(draft, "followers", command.gateway)
    draft.put("followers", command.gateway, Follower(draft.index, command.services))


def unfollow(draft, command):
    draft.drop("followers", command.gateway)


def forgotten(draft, command):
    """Only the very stay that ran out: one that came back meanwhile is another."""
    follower = draft.get("followers", command.gateway)
    if follower is not None and follower.since == command.since:
        draft.drop("followers", command.gateway)


KINDS = {"followers": Follower}
RULES = {Follow: follow, Unfollow: unfollow, Forgotten: forgotten}
INNER = (Forgotten,)


class Followers:
    """What a leader knows of each; soft, bounded by the followers in the log."""

    def __init__(self):
        # name: (moment last heard, index that it has obeyed up to, `since` of the stay that it is true of)
        self.heard = {}

    def became_leader(self, now):
        self.heard = {}

    def polled(self, now, name, after, since=None):
        """It asked for what comes after this index. `since`: of its stay; None for the one last seen."""
        _, before, stay = self.heard.get(name, (now, 0, since))
        if since is not None and since != stay:
            before, stay = 0, since
        self.heard[name] = now, max(before, after), stay

    def look(self, now, rows):
        """Whoever is first seen counts as heard now, and so does one that follows anew: under its name
        another process may have started, which has obeyed nothing of what the one before had."""
        for name, row in rows.items():
            moment, after, stay = self.heard.get(name, (now, 0, row.since))
            if stay is not None and stay != row.since:
                moment, after = now, 0
            self.heard[name] = moment, after, row.since
        if len(self.heard) > len(rows):
            self.heard = {name: heard for name, heard in self.heard.items() if name in rows}

    def waited_for(self, now, state, index):
        """The followers that could still act on the state before this entry: sorted names. One counts
        until it has obeyed the entry, or its lease and grace have run out since it was last heard."""
        patience = state.settings.lease + state.settings.grace
        self.look(now, state.part("followers"))
        heard = sorted(self.heard.items())
        return [name for name, (moment, after, _) in heard if after < index and now - moment < patience]

    def next(self, now, state):
        """The command that drops one whose lease and grace ran out, or None."""
        patience = state.settings.lease + state.settings.grace
        self.look(now, state.part("followers"))
        for name, (moment, _, since) in sorted(self.heard.items()):
            if now - moment >= patience:
                return Forgotten(gateway=name, since=since)
        return None


class Forgetting:
    """A leader's duty: whoever's lease and grace ran out is followed no more."""

    def __init__(self, dispatcher):
        self.dispatcher, self.again = dispatcher, 0

    def became_leader(self, now):
        self.again = 0

    def next(self, now, wall_ms, state, followers):
        if now < self.again:
            return None
        forgotten = followers.next(now, state)
        if forgotten is None:
            self.again = now + LOOK
        return forgotten

    def called(self, now, call, code, body):
        raise AssertionError("it calls nobody")

    def wake_at(self):
        return self.again if self.dispatcher.state.part("followers") else NEVER


__all__ = ["INNER", "KINDS", "MAX_RECORDS_PER_PART", "RULES", "Followers"]
