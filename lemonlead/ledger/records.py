"""What passes between a replica, its host (process or simulator) and its peers. Types only.

Moments and times are whole nanoseconds of the host's monotonic clock, given with each call; none is compared
between machines. Raft's terms and rules are those of Ongaro's dissertation ("Consensus: Bridging Theory and
Practice", 2014); its chapter is named where a rule is kept.
"""

from dataclasses import dataclass, field
from typing import Protocol

from msgspec import Struct

# Roles, as `status` tells them.
LEADER, FOLLOWER, CANDIDATE, LEARNER, OUTSIDE = "leader", "follower", "candidate", "learner", "outside"
# What an entry holds.
NOTHING, COMMAND, MEMBERS = 0, 1, 2
# How a call that did not become an answer ends.
NOT_DONE, UNKNOWN = "not done", "unknown"


class ConfiguredMember(Struct, frozen=True, array_like=True):
    """One member of the cluster, by its name. A learner gets the log and has no vote."""

    address: str  # host:port
    folder: (
        str  # the id that its folder drew when it was made: a machine with another folder is another machine
    )
    votes: bool = True


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the log. `moment`: the ledger's time, nanoseconds since the cluster was formed, that
    only moves on while a leader is in office; `wall_ms`: Unix time as its leader read it (for what
    operators name: deadlines)."""

    index: int
    term: int
    what: int  # NOTHING, COMMAND or MEMBERS
    moment: int
    wall_ms: int
    data: bytes  # COMMAND: the command as JSON; MEMBERS: dict of name to Seat as JSON, of the whole cluster


class SnapshotBase(Struct, frozen=True, array_like=True):
    """What a snapshot stands for: all entries up to `index`, the last of them of `term`, the members and the
    ledger's time as of then."""

    index: int = 0
    term: int = 0
    members: dict[str, ConfiguredMember] = {}
    moment: int = 0  # from which a new leader goes on where its log holds nothing past the snapshot


# ---- messages between members


class Message(Struct, frozen=True, tag=True, tag_field="is", omit_defaults=True):
    """`cluster`: the id that forming the cluster drew. `sender`, `to`: names; `seal`, `to_seal`: their
    folders' ids. A message whose `to` or `to_seal` is not the receiver's, or whose `seal` is not that of
    the sender's seat as the receiver knows it, is dropped: a wiped machine under an old name speaks for
    nobody."""

    cluster: str
    sender: str
    seal: str
    to: str
    to_seal: str
    term: int


class VoteRequest(Message, frozen=True, tag="Canvass"):
    """Asks for a vote. `early`: a pre-vote, which changes nothing at whoever is asked (9.6). `handed`: the
    leader asked for this, so that a leader that still lives is no reason to refuse (4.2.3)."""

    last_index: int = 0
    last_term: int = 0
    early: bool = False
    handed: bool = False


class VoteResponse(Message, frozen=True, tag="Ballot"):
    given: bool = False
    early: bool = False


class AppendEntries(Message, frozen=True, tag="Append"):
    """Entries after (`prev_index`, `prev_term`); none in a heartbeat. `round` grows with each heartbeat
    and comes back, so that the leader knows that it still led when it sent it (6.4)."""

    prev_index: int = 0
    prev_term: int = 0
    entries: list[Entry] = []
    committed: int = 0
    round: int = 0


class AppendResponse(Message, frozen=True, tag="Appended"):
    """`match`: the last entry known to be the leader's and on this member's disk, where `fits`; else where
    the leader should look next."""

    fits: bool = False
    match: int = 0
    round: int = 0


class SnapshotChunk(Message, frozen=True, tag="Part"):
    """A piece of a snapshot. A receiver that has another base or offset answers with the offset it wants."""

    base: SnapshotBase = SnapshotBase()
    offset: int = 0
    data: bytes = b""
    last: bool = False
    round: int = 0


class SnapshotChunkResponse(Message, frozen=True, tag="Parted"):
    base_index: int = 0
    offset: int = 0  # the next byte wanted
    done: bool = False  # the snapshot is on this member's disk and in force
    round: int = 0


class TimeoutNow(Message, frozen=True, tag="TakeOver"):
    """Stand for election at once (3.10)."""


PeerMessage = (
    VoteRequest
    | VoteResponse
    | AppendEntries
    | AppendResponse
    | SnapshotChunk
    | SnapshotChunkResponse
    | TimeoutNow
)


# ---- between a replica and its host


@dataclass(slots=True)
class ReplicaConfig:
    """What a replica is told at start. Times in nanoseconds."""

    cluster: str  # the id drawn when the cluster was formed
    name: str
    folder: str  # the id of this member's folder
    seed: int
    election: int = 1_000_000_000  # silence after which a follower stands, spread to twice this
    heartbeat: int = 150_000_000
    most_entries: int = 64  # in one message
    most_bytes: int = 256 * 1024  # in one message, one entry at least
    in_flight: int = 4  # messages with entries to one peer not yet answered
    uncommitted: int = 1024  # entries of clients that wait to be committed; past it a call is NOT_DONE
    waiting: int = 1024  # reads that wait; past it likewise
    keep: int = 2048  # entries kept in memory behind a snapshot, for peers that lag a little


@dataclass(slots=True)
class StoredState:
    """What the disk had. `entries` are all after `base`, in order."""

    term: int = 0
    voted: str = ""
    base: SnapshotBase = field(default_factory=SnapshotBase)
    entries: list = field(default_factory=list)


@dataclass(slots=True)
class Write:
    """To be brought to disk as one: all or nothing, synced, in the order of `number`. Fields that are None
    stay."""

    number: int
    term: int
    voted: str
    cut: int | None = None  # drop every entry from this index on, before `entries` are put there
    entries: list = field(default_factory=list)
    base: SnapshotBase | None = (
        None  # the snapshot received whole becomes this member's: entries up to it are dropped
    )


class ReplicaHost(Protocol):
    """What a replica asks of its host; nothing of this waits. `ticket` is the host's own, given with a
    call."""

    def send(self, message) -> None: ...

    def write(self, write: Write) -> None:
        """Then `Replica.written(now, number)` once it is on disk, or `Replica.disk_failed(now, why)`.
        Several may be out; they are done in order and may be synced together."""

    def commit(self, entries: list) -> None:
        """These entries, in order and each once, are to be applied to the state, now."""

    def answer(self, ticket, index: int) -> None:
        """The command behind this ticket was committed at `index` (already given to `commit`)."""

    def readable(self, ticket) -> None:
        """The state as applied now is no older than the call of `read`."""

    def refuse(self, ticket, outcome: str, leader: str) -> None:
        """NOT_DONE or UNKNOWN; `leader`: whom to ask, empty where none is known."""

    def send_chunk(self, peer: str, message: SnapshotChunk, most: int) -> None:
        """Fill in `data` (at most so many bytes from `offset` of the snapshot in `message.base`) and
        `last`, and send."""

    def receive_chunk(self, message: SnapshotChunk) -> None:
        """Bytes of a snapshot under way, in order from offset 0, which drops what was begun before. Once
        `last` has come and a Write with that `base` follows, the host loads it as the state, in the order
        of `commit`."""
