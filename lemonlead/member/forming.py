"""How the folder of a member gets into a cluster: the member is one of those that form it, or it was added to
one and receives its first snapshot. `lemonlead.ledger.membership` decides what is to be done; this module
asks, writes and sends."""

import asyncio
import secrets
import time

import msgspec

from ..ledger.backoff import Backoff
from ..ledger.membership import FORM, first_base, formed, may_join, to_form
from ..ledger.records import ConfiguredMember, SnapshotBase
from ..ledger.state import State
from .http_client import HTTP_ERRORS, hop_headers

FIRST_PAUSE_NS = 50_000_000  # between two attempts to form
MAX_PAUSE_NS = 1_000_000_000
ADD_TIMEOUT_SECONDS = 3  # for a member that is to be added to say who it is
OFFER_TIMEOUT_SECONDS = 10  # for a peer to take its first snapshot
OFFER_PAUSE_NS = 200_000_000  # before the same peer is offered one again


class FirstSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """What a member of a cluster sends to a configured member whose folder is empty."""

    cluster: str
    base: SnapshotBase
    state: bytes


DECODE = msgspec.msgpack.Decoder(FirstSnapshot).decode
DECODE_KIND = msgspec.json.Decoder(
    msgspec.defstruct("Kind", [("kind", str, ""), ("address", str, "")])
).decode


class Forming:
    """Brings this member into a cluster, and helps others in. `member`: the process (run.Member)."""

    def __init__(self, member, seed):
        self.member, self.client, self.log = member, member.client, member.log
        self.backoff, self.lock = Backoff(f"{seed} forming", FIRST_PAUSE_NS, MAX_PAUSE_NS), asyncio.Lock()
        self.next_offers = {}  # peer to the monotonic time before which it is offered no snapshot
        self.counts = {"handed": 0, "handing_failed": 0}

    # ---- a folder that is in no cluster

    async def run(self):
        """Runs until the member is in a cluster."""
        member = self.member
        while member.host is None:
            if not member.joins:
                await self.try_to_form()
            else:
                member.set_outside_reason("it was started with --join: the command add takes it in")
            if member.host is None:
                await asyncio.sleep(self.backoff.failed() / 1e9)

    async def try_to_form(self):
        """Asks the other listed members who they are, and forms the cluster if that is up to this member."""
        member = self.member
        members = member.settings.members
        others = [name for name in members if name != member.name]
        answers = await asyncio.gather(*(self.client.fetch_greeting(members[name]) for name in others))
        greetings = {name: found for name, found in zip(others, answers, strict=True) if found is not None}
        greetings[member.name] = member.greeting()
        action, reason = to_form(member.name, members, greetings)
        if action != FORM:
            return member.set_outside_reason(reason)
        async with self.lock:
            if member.host is None:
                configured = {
                    name: ConfiguredMember(members[name], greetings[name].folder) for name in members
                }
                state, base = formed(configured, member.settings.terms)
                await self.enter_cluster(
                    FirstSnapshot(secrets.token_hex(16), base, b"".join(member.ledger.pieces(state)))
                )
        for name in others:
            self.offer_snapshot(name)

    async def enter_cluster(self, snapshot):
        """Writes the first snapshot to the folder; the member is in its cluster from then on."""
        member = self.member
        await member.run_on_disk(
            member.folder.form,
            snapshot.cluster,
            member.name,
            snapshot.base,
            [snapshot.state],
            member.settings.cluster,
        )
        self.log.info("formed", cluster_id=snapshot.cluster, at=snapshot.base.index)
        await member.enter_cluster()

    async def receive_snapshot(self, data):
        """Takes the first snapshot that a member of a cluster has sent. Returns the reason if it does not, or
        else an empty string."""
        member = self.member
        try:
            snapshot = DECODE(data)
            member.ledger.whole(snapshot.state)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return f"not a first snapshot: {str(error)[:200]}"
        async with self.lock:
            if member.host is not None:
                return f"{member.name} is in cluster {member.folder.cluster}"
            reason = may_join(
                member.folder.id, member.joins, member.settings.members, member.name, snapshot.base
            )
            if not reason:
                await self.enter_cluster(snapshot)
        return reason

    # ---- a member that is in a cluster

    def offer_snapshot(self, name):
        """Sends the first snapshot to a configured member that says that its folder is empty, unless one is
        on its way to it."""
        now = time.monotonic_ns()
        if self.member.host is not None and self.next_offers.get(name, 0) <= now:
            self.next_offers = {other: until for other, until in self.next_offers.items() if until > now}
            self.next_offers[name] = now + OFFER_TIMEOUT_SECONDS * 1_000_000_000
            self.member.spawn(self.send_snapshot(name))

    async def send_snapshot(self, name):
        member, host = self.member, self.member.host
        members = host.dispatcher.replica.members_at(host.dispatcher.state.index)
        configured = members.get(name)
        if configured is not None:
            base, data = await member.run_on_disk(lambda: (member.folder.base, member.folder.read_snapshot()))
            first = first_base(members, name, base)
            if first != base:
                data = b"".join(member.ledger.pieces(State()))
            body = msgspec.msgpack.encode(FirstSnapshot(member.folder.cluster, first, data))
            try:
                status, _ = await self.client.request(
                    "POST",
                    configured.address,
                    "/peer/form",
                    OFFER_TIMEOUT_SECONDS,
                    data=body,
                    headers=hop_headers(body),
                )
            except HTTP_ERRORS:
                status = 0
            self.counts["handed" if status == 200 else "handing_failed"] += 1
        self.next_offers[name] = time.monotonic_ns() + OFFER_PAUSE_NS

    # ---- a command

    async def fill_in_folder(self, data):
        """Returns the bytes of a command as they go to the log: `add` gets the id of the folder of the member
        that waits outside at its address."""
        if b'"add"' not in data:
            return data
        try:
            kind = DECODE_KIND(data)
            command = msgspec.json.decode(data)
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
            return data  # the decoder of commands says what is wrong with it
        if kind.kind != "add":
            return data
        found = (
            await self.client.fetch_greeting(kind.address, ADD_TIMEOUT_SECONDS)
            if is_numeric(kind.address)
            else None
        )
        fits = found is not None and found.name == command.get("member") and not found.cluster
        return msgspec.json.encode({**command, "folder": found.folder if fits else ""})


def is_numeric(address):
    """Whether an address needs no name look-up."""
    return bool(address) and all(letter in "0123456789.:" for letter in address)
