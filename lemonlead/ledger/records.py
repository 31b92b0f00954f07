"""Types that pass between a replica, its host (a process or the simulator) and its peers.

Times are whole nanoseconds of the host's monotonic clock, given with each call. They are never compared
between machines. Raft's terms and rules are those of Ongaro's dissertation ("Consensus: Bridging Theory and
Practice", 2014); comments name the section that a rule comes from.
"""

from dataclasses import dataclass, field
from typing import Protocol

from msgspec import Struct

# Roles of a member, as `status` shows them.
LEADER = "leader"
FOLLOWER = "follower"
CANDIDATE = "candidate"
LEARNER = "learner"
OUTSIDE = "outside"

# Kinds of log entries.
NOTHING = 0
COMMAND = 1
MEMBERS = 2

# Outcomes of a call that did not get an answer.
NOT_DONE = "not done"
UNKNOWN = "unknown"


class ConfiguredMember(Struct, frozen=True, array_like=True):
    """One member of the cluster's membership, which is keyed by name. A learner receives the log and has no
    vote."""

    address: str  # host:port
    folder: str  # random id, drawn when the folder was created; another folder is another machine
    votes: bool = True


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the log.

    `moment` is the ledger time: nanoseconds since the cluster was formed, which advance only while there is
    a leader. `wall_ms` is the Unix time in milliseconds as the leader read it; deadlines that operators set
    are compared with it.
    """

    index: int
    term: int
    what: int  # NOTHING, COMMAND or MEMBERS
    moment: int
    wall_ms: int
    data: bytes  # COMMAND: the command as JSON; MEMBERS: all members as JSON, name to ConfiguredMember


class SnapshotBase(Struct, frozen=True, array_like=True):
    """The position of a snapshot: it replaces all entries up to `index`, the last of which has `term`.

    `members` and `moment` (ledger time) are as of that entry.
    """

    index: int = 0
    term: int = 0
    members: dict[str, ConfiguredMember] = {}
    moment: int = 0  # a new leader continues from here if its log holds nothing after the snapshot


# ---- messages between members


class Message(Struct, frozen=True, tag=True, tag_field="is", omit_defaults=True):
    """Base of all messages between members.

    `cluster` is the id drawn when the cluster was formed. `sender` and `to` are member names; `seal` and
    `to_seal` are the ids of their folders. A receiver drops a message whose `to` or `to_seal` is not its
    own, or whose `seal` differs from the sender's folder in the membership that the receiver knows.
    Therefore a machine that lost its disk can't act under its old name.
    """

    cluster: str
    sender: str
    seal: str
    to: str
    to_seal: str
    term: int


class VoteRequest(Message, frozen=True, tag="Canvass"):
    """Asks for a vote.

    `early` marks a pre-vote, which changes nothing at the receiver (Raft, 9.6). `handed` means that the
    leader started this election, so a receiver must not refuse because that leader is alive (Raft, 4.2.3).
    """

    last_index: int = 0
    last_term: int = 0
    early: bool = False
    handed: bool = False


class VoteResponse(Message, frozen=True, tag="Ballot"):
    """Answers a VoteRequest; `given` says whether the vote is granted."""

    given: bool = False
    early: bool = False


class AppendEntries(Message, frozen=True, tag="Append"):
    """Entries that follow (`prev_index`, `prev_term`); a heartbeat has none.

    `round` grows with each heartbeat and comes back in the response, so the leader knows that it was still
    the leader when it sent that heartbeat (Raft, 6.4).
    """

    prev_index: int = 0
    prev_term: int = 0
    entries: list[Entry] = []
    committed: int = 0
    round: int = 0


class AppendResponse(Message, frozen=True, tag="Appended"):
    """Answers AppendEntries.

    If `fits`, `match` is the last entry that equals the leader's and is on this member's disk. Otherwise it
    is the entry where the leader should look next for a common prefix.
    """

    fits: bool = False
    match: int = 0
    round: int = 0


class SnapshotChunk(Message, frozen=True, tag="Part"):
    """A chunk of a snapshot. A receiver that expects another base or offset responds with the offset that it
    needs."""

    base: SnapshotBase = SnapshotBase()
    offset: int = 0
    data: bytes = b""
    last: bool = False
    round: int = 0


class SnapshotChunkResponse(Message, frozen=True, tag="Parted"):
    """Answers a SnapshotChunk."""

    base_index: int = 0
    offset: int = 0  # the next byte needed
    done: bool = False  # the snapshot is on this member's disk and in force
    round: int = 0


class TimeoutNow(Message, frozen=True, tag="TakeOver"):
    """Tells the receiver to start an election immediately (Raft, 3.10)."""


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
    """The configuration of a replica, given at start. Times are in nanoseconds."""

    cluster: str  # the id drawn when the cluster was formed
    name: str
    folder: str  # the id of this member's folder
    seed: int
    election: int = 1_000_000_000  # minimum election timeout; the actual one is random up to twice this
    heartbeat: int = 150_000_000
    most_entries: int = 64  # in one message
    most_bytes: int = 256 * 1024  # in one message, which always holds at least one entry
    in_flight: int = 4  # messages with entries to one peer that are not yet answered
    uncommitted: int = 1024  # client entries that wait to be committed; beyond it a call ends as NOT_DONE
    waiting: int = 1024  # waiting reads; beyond it a read ends as NOT_DONE
    keep: int = 2048  # entries kept in memory behind a snapshot, for peers that lag a little


@dataclass(slots=True)
class StoredState:
    """What the disk holds at start. `entries` are all entries after `base`, in order."""

    term: int = 0
    voted: str = ""
    base: SnapshotBase = field(default_factory=SnapshotBase)
    entries: list = field(default_factory=list)


@dataclass(slots=True)
class Write:
    """A change that is written to disk and synced atomically, in the order of `number`. Fields that are None
    change nothing."""

    number: int
    term: int
    voted: str
    cut: int | None = None  # drop every entry from this index on before appending `entries`
    entries: list = field(default_factory=list)
    # The snapshot at this base was received completely and comes into force; entries up to it are dropped.
    base: SnapshotBase | None = None


class ReplicaHost(Protocol):
    """The callbacks of a replica's host. None of them blocks. A `ticket` is an opaque value that the host
    passed with a call."""

    def send(self, message) -> None: ...

    def write(self, write: Write) -> None:
        """Writes to disk, then calls `Replica.written(now, number)`, or `Replica.disk_failed(now, why)`.

        Several writes may be in flight; they are done in order and may be synced together.
        """

    def commit(self, entries: list) -> None:
        """Applies these entries to the state immediately. Entries come in order, each of them once."""

    def answer(self, ticket, index: int) -> None:
        """The command of this ticket was committed at `index`, which `commit` has already received."""

    def readable(self, ticket) -> None:
        """The state as applied now is no older than the call of `read`."""

    def refuse(self, ticket, outcome: str, leader: str) -> None:
        """The call ended as NOT_DONE or UNKNOWN. `leader` is the member to ask, or empty if none is known."""

    def send_chunk(self, peer: str, message: SnapshotChunk, most: int) -> None:
        """Fills in `data` (at most `most` bytes from `offset` of the snapshot at `message.base`) and `last`,
        and sends the message."""

    def receive_chunk(self, message: SnapshotChunk) -> None:
        """Stores bytes of an incoming snapshot. They come in order; offset 0 discards what came before.

        After the chunk with `last`, a Write with that `base` makes the host load the snapshot as its state,
        in order with calls of `commit`.
        """
