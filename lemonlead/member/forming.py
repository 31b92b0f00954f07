"""How a folder comes into a cluster: it is one of those that form it, or is handed a seat of its own. What is
to be done is decided by `lemonlead.ledger.membership`; this asks, writes and sends."""

import asyncio
import secrets
import time

import msgspec

from ..ledger.backoff import Backoff
from ..ledger.membership import FORM, first_base, formed, may_join, to_form
from ..ledger.records import ConfiguredMember, SnapshotBase
from ..ledger.state import State
from .http_client import TROUBLE, headers

LOOK_FIRST, LOOK_MOST = 50_000_000, 1_000_000_000  # between two looks at who answers, nanoseconds
ADD_TIME = 3  # seconds for one that is to be added to say who it is
HAND_TIME = 10  # seconds for a peer to take a base
HAND_PAUSE = 200_000_000  # before the same peer is handed one again


class Handed(msgspec.Struct, frozen=True, array_like=True):
    """What a member that is in a cluster gives one with a seat and an empty folder."""

    cluster: str
    base: SnapshotBase
    state: bytes


DECODE = msgspec.msgpack.Decoder(Handed).decode
KIND = msgspec.json.Decoder(msgspec.defstruct("Kind", [("kind", str, ""), ("address", str, "")])).decode


class Forming:
    """`member`: the process (run.Member)."""

    def __init__(self, member, seed):
        self.member, self.asking, self.log = member, member.asking, member.log
        self.waits, self.lock = Backoff(f"{seed} forming", LOOK_FIRST, LOOK_MOST), asyncio.Lock()
        self.handing, self.counts = {}, {"handed": 0, "handing_failed": 0}

    # ---- a folder that is in no cluster

    async def run(self):
        """Until the member is in a cluster."""
        member = self.member
        while member.host is None:
            if not member.joins:
                await self.look()
            else:
                member.tell_why("it was started with --join: the command add takes it in")
            if member.host is None:
                await asyncio.sleep(self.waits.failed() / 1e9)

    async def look(self):
        member = self.member
        members = member.told.members
        others = [name for name in members if name != member.name]
        answers = await asyncio.gather(*(self.asking.greet(members[name]) for name in others))
        greetings = {name: found for name, found in zip(others, answers, strict=True) if found is not None}
        greetings[member.name] = member.greeting()
        what, why = to_form(member.name, members, greetings)
        if what != FORM:
            return member.tell_why(why)
        async with self.lock:
            if member.host is None:
                seats = {name: ConfiguredMember(members[name], greetings[name].folder) for name in members}
                state, base = formed(seats, member.told.terms)
                await self.take(Handed(secrets.token_hex(16), base, b"".join(member.ledger.pieces(state))))
        for name in others:
            self.hand(name)

    async def take(self, handed):
        """The folder comes into this cluster."""
        member = self.member
        await member.on_disk(
            member.folder.form,
            handed.cluster,
            member.name,
            handed.base,
            [handed.state],
            member.told.cluster,
        )
        self.log.info("formed", cluster_id=handed.cluster, at=handed.base.index)
        await member.enter()

    async def handed(self, data):
        """Takes up a base that a member of a cluster hands; or why not."""
        member = self.member
        try:
            handed = DECODE(data)
            member.ledger.whole(handed.state)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return f"no base: {str(error)[:200]}"
        async with self.lock:
            if member.host is not None:
                return f"{member.name} is in cluster {member.folder.cluster}"
            why = may_join(member.folder.id, member.joins, member.told.members, member.name, handed.base)
            if not why:
                await self.take(handed)
        return why

    # ---- a member that is in a cluster

    def hand(self, name):
        """A peer with a seat says that its folder is empty: it is given a base, one at a time."""
        now = time.monotonic_ns()
        if self.member.host is not None and self.handing.get(name, 0) <= now:
            self.handing = {other: until for other, until in self.handing.items() if until > now}
            self.handing[name] = now + HAND_TIME * 1_000_000_000
            self.member.spawn(self.hand_base(name))

    async def hand_base(self, name):
        member, host = self.member, self.member.host
        seats = host.dispatcher.replica.members_at(host.dispatcher.state.index)
        seat = seats.get(name)
        if seat is not None:
            base, data = await member.on_disk(lambda: (member.folder.base, member.folder.state()))
            first = first_base(seats, name, base)
            if first != base:
                data = b"".join(member.ledger.pieces(State()))
            body = msgspec.msgpack.encode(Handed(member.folder.cluster, first, data))
            try:
                status, _ = await self.asking.ask(
                    "POST", seat.address, "/peer/form", HAND_TIME, data=body, headers=headers(body)
                )
            except TROUBLE:
                status = 0
            self.counts["handed" if status == 200 else "handing_failed"] += 1
        self.handing[name] = time.monotonic_ns() + HAND_PAUSE

    # ---- a command

    async def filled_in(self, data):
        """The command as it goes to the log: `add` with the folder that waits outside at its address."""
        if b'"add"' not in data:
            return data
        try:
            kind = KIND(data)
            command = msgspec.json.decode(data)
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
            return data  # whoever reads it says what is wrong with it
        if kind.kind != "add":
            return data
        found = await self.asking.greet(kind.address, ADD_TIME) if numeric(kind.address) else None
        fits = found is not None and found.name == command.get("member") and not found.cluster
        return msgspec.json.encode({**command, "folder": found.folder if fits else ""})


def numeric(address):
    """Whether an address needs no name look-up."""
    return bool(address) and all(letter in "0123456789.:" for letter in address)
