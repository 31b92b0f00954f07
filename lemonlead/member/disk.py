"""A member's folder: term, vote, log and snapshot in SQLite, with checksums over all of it.

Files: `ledger.db` (with `ledger.db-wal` while it is open), `epoch` (see epoch.py), `lock`, and `making` until
a new folder is complete. All calls block, and one thread at a time may make them. A call that returned has
its writes on disk. One that raised DiskFailed leaves the folder failed, and every later call is refused.

What is synced when:
- each transaction: the write-ahead log (synchronous=FULL) before `COMMIT` returns; the note after it is not.
- each checkpoint: the database, then the note. SQLite's own checkpoints are off, because they ignore errors,
  and a sync that failed once may succeed the next time although the pages are lost. Here such an error fails
  the folder, and its connection is never closed, because closing it would try the same again.
- each start: a checkpoint of what the last run left, so that it is on disk by a sync of this run; the first
  commit; the folder, after which the directory entry of the new log file is safe; the note.
- a new folder: both files, the folder, and each parent folder that was created with it.

Every row has a checksum of 16 bytes, keyed by the folder's id, and the checksum of each log row covers that
of the row before, so that the head's checksum covers the whole log. CRC-32 would find flipped bits as well,
but not a row or page that is older or of another folder, and valid in itself. blake2b costs a microsecond
more per row."""

import fcntl
import hashlib
import os
import secrets
import sqlite3
import struct
import time
from contextlib import contextmanager, suppress
from ctypes import py_object, pythonapi
from dataclasses import dataclass
from pathlib import Path

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from ..ledger.records import Entry, SnapshotBase, StoredState
from .epoch import FORMAT, Epoch, Note, file_identity
from .faults import (
    Contradicts,
    Copied,
    Damaged,
    DiskFailed,
    DiskFull,
    Foreign,
    InUse,
    Older,
    OtherFormat,
    Unwritable,
)

APPLICATION_ID = 0x6C656D6F  # in the header of the database
PIECE_BYTES = 256 * 1024  # of a snapshot in one row, and in one transaction
MAX_VALUE_BYTES = 4 * 1024 * 1024  # of any stored value; longer ones are not read
MAX_DATABASE_PAGES = 1 << 20  # of 4 KiB; past it the disk counts as full
MAX_LOG_ENTRIES = 1_000_000  # likewise
MAX_SNAPSHOT_BYTES = 1 << 30  # likewise
CHECKPOINT_BYTES = 4 * 1024 * 1024  # in the write-ahead log, estimated, at which a checkpoint is done
MAX_DROPPED_ROWS = 1000  # rows of the log dropped in one transaction; of snapshots it is 8
COMMIT_BYTES = 3 * 4096  # that a transaction writes beside its rows, estimated

FILES = {"lock", "making", "epoch", "ledger.db", "ledger.db-wal", "ledger.db-shm", "ledger.db-journal"}
SCHEMA = {
    "head": "CREATE TABLE head (one INTEGER PRIMARY KEY, body BLOB NOT NULL, sum BLOB NOT NULL) STRICT",
    "log": "CREATE TABLE log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, what INTEGER NOT NULL, "
    "moment INTEGER NOT NULL, wall_ms INTEGER NOT NULL, data BLOB NOT NULL, sum BLOB NOT NULL) STRICT",
    # place: the snapshot's number << 40 | offset of the first byte of this row
    "piece": "CREATE TABLE piece (place INTEGER PRIMARY KEY, data BLOB NOT NULL, sum BLOB NOT NULL) STRICT",
}
ENTRY_NUMBERS = struct.Struct("<qqqqq")  # index, term, what, moment, wall_ms


class Head(Struct, frozen=True, array_like=True):
    """The one row whose checksums cover all other rows. It is written with each transaction."""

    format: int
    folder: str
    starts: int = 0
    seq: int = 0  # transactions so far
    cluster: str = ""  # the random id of the cluster; empty while the folder is in none
    label: str = ""  # the cluster's name in the settings
    name: str = ""  # the member's
    term: int = 0
    voted: str = ""
    log_start: int = 0  # index of the last entry before the rows of the log, and that entry's checksum
    log_start_sum: bytes = b""
    last: int = 0  # index of the newest entry, its term and checksum
    last_term: int = 0
    last_sum: bytes = b""
    base: SnapshotBase = SnapshotBase()  # of the snapshot in force; then its number, length and checksum
    number: int = 0
    length: int = 0
    snapshot_sum: bytes = b""
    snapshots_begun: int = 0


@dataclass(slots=True)
class PartialSnapshot:
    """A snapshot that is being written and is not in force yet."""

    number: int
    base: SnapshotBase
    digest: object
    length: int = 0  # bytes so far
    complete: bool = False


def open_folder(path, member="", label="", connect=sqlite3.connect, max_pages=MAX_DATABASE_PAGES):
    """Returns the folder at this path. It is created if it is missing or empty, and otherwise checked byte by
    byte; one of the faults is raised if it cannot be used. `member`, `label`: the names of the member and the
    cluster in the settings; an empty one is not compared."""
    folder = Folder(Path(path), connect, max_pages)
    try:
        folder.open(member, label)
    except DiskFailed as error:
        raise Unwritable(error.says) from error
    except BaseException:
        folder.abandon()
        raise
    return folder


class Folder:
    """An open folder."""

    def __init__(self, path, connect, max_pages):
        self.path, self.connect, self.max_pages = path, connect, max_pages
        self.database, self.epoch = path / "ledger.db", Epoch(path / "epoch")
        self.lock = self.db = self.head = self.keyed_hash = None
        self.failed = ""  # why every call is refused; empty while the folder works
        self.read_at_open = None  # what `open` read, until `read_stored` returns it or something is written
        self.incoming = self.own_snapshot = None  # partial snapshots: from a peer, and this member's own
        self.wal_bytes = 0  # written since the last checkpoint, estimated
        self.counts = dict.fromkeys(
            ("transactions", "writes", "entries", "bytes", "checkpoints", "pieces", "parts", "slowest_ns"), 0
        )

    @property
    def id(self):
        return self.head.folder

    @property
    def cluster(self):
        """The id of the cluster that the folder is in; empty while it is in none."""
        return self.head.cluster

    @property
    def base(self):
        """The base of the snapshot in force."""
        return self.head.base

    # ---- opening

    def open(self, member, label):
        self.lock_folder()
        with self.translate_errors():
            if self.is_new():
                self.create()
            note = self.epoch.read(self.database)
            self.connect_database()
            stored = self.check(note)
            self.begin_run()
            self.read_at_open = stored
        if self.cluster:
            for what, has, wants in (("member", self.head.name, member), ("cluster", self.head.label, label)):
                if wants and has and wants != has:
                    raise Foreign(f"{self.path} is the folder of {what} {has}, not of {wants}")

    def lock_folder(self):
        """Creates the folder if it is missing, and takes the lock on it, which ends with this process."""
        try:
            created = [one for one in (self.path, *self.path.parents) if not one.exists()]
            self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
            for one in created:
                sync_folder(one.parent)
            lock = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise Unwritable(f"{self.path}: {error.strerror}") from None
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.ftruncate(lock, 0)
            os.pwrite(lock, str(os.getpid()).encode(), 0)
            self.lock = lock
        except OSError as error:
            holder = os.pread(lock, 20, 0).decode(errors="replace")
            os.close(lock)
            if not isinstance(error, BlockingIOError):
                raise Unwritable(f"{self.path}: {error.strerror}") from None
            process = f"process {holder}" if holder.isdigit() else "another process"
            raise InUse(f"{self.path} is held by {process}") from None

    def is_new(self):
        """Whether nothing was ever stored here. Raises a fault if the files are not those of one folder."""
        names = set(os.listdir(self.path))
        strange = sorted(name for name in names - FILES - {"lost+found"} if not name.startswith("."))
        if strange:
            raise Foreign(f"{self.path} holds {', '.join(strange[:5])}, which no member put there")
        if "making" in names or not names & FILES - {"lock"}:
            return True
        for wanted in ("ledger.db", "epoch"):
            if wanted not in names:
                raise Damaged(f"{self.path} lacks {wanted}")
            if not (self.path / wanted).stat().st_size:
                raise Damaged(f"{self.path / wanted} is empty")
        return False

    def create(self):
        """Creates a new folder. While the file `making` exists, nothing that the folder holds
        has been sent to anyone."""
        os.close(os.open(self.path / "making", os.O_CREAT | os.O_CLOEXEC, 0o600))
        sync_folder(self.path)
        for name in FILES - {"lock", "making"}:
            with suppress(FileNotFoundError):
                os.unlink(self.path / name)
        os.close(os.open(self.database, os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600))
        database_identity, id = file_identity(self.database), secrets.token_hex(16)
        self.set_hash_key(id)
        self.connect_database()
        self.db.execute("BEGIN IMMEDIATE")
        for statement in SCHEMA.values():
            self.db.execute(statement)
        self.db.execute(f"PRAGMA application_id={APPLICATION_ID}")
        self.db.execute(f"PRAGMA user_version={FORMAT}")
        self.head = Head(
            FORMAT,
            id,
            log_start_sum=self.log_start_checksum(SnapshotBase()),
            last_sum=self.log_start_checksum(SnapshotBase()),
        )
        self.store_head()
        self.db.execute("COMMIT")
        self.db.close()  # does a checkpoint: everything is in the one file, synced
        self.db = None
        self.epoch.create(lambda epoch_identity: self.note_maker()(database_identity + epoch_identity))
        self.epoch.close()
        sync_folder(self.path)
        os.unlink(self.path / "making")
        sync_folder(self.path)

    def connect_database(self):
        self.db = self.connect(self.database, isolation_level=None, timeout=0, check_same_thread=False)
        self.db.setlimit(sqlite3.SQLITE_LIMIT_LENGTH, MAX_VALUE_BYTES)
        for pragma in (
            "locking_mode=EXCLUSIVE",
            "trusted_schema=OFF",
            "cell_size_check=ON",
            "temp_store=MEMORY",
            "mmap_size=0",
            "wal_autocheckpoint=0",
            "synchronous=FULL",
            f"max_page_count={self.max_pages}",
        ):
            self.db.execute(f"PRAGMA {pragma}").fetchall()
        if self.db.execute("PRAGMA journal_mode=WAL").fetchone() != ("wal",):
            raise Unwritable(f"{self.path}: its file system does not support a write-ahead log")

    def set_hash_key(self, id):
        self.keyed_hash = hashlib.blake2b(digest_size=16, key=id.encode())

    def check(self, note):
        """Reads the whole database, compares it with its checksums and the note, and returns what is stored
        as `read_stored` does."""
        one = lambda pragma: self.db.execute(f"PRAGMA {pragma}").fetchone()[0]  # noqa: E731
        if one("application_id") != APPLICATION_ID:
            raise Foreign(f"{self.database} is not the database of a member")
        if one("user_version") != FORMAT:
            raise OtherFormat(
                f"{self.database} is of format {one('user_version')}, this program knows {FORMAT}"
            )
        if (result := one("quick_check")) != "ok":
            raise self.damaged(str(result)[:200])
        if dict(self.db.execute("SELECT name, sql FROM sqlite_schema").fetchall()) != SCHEMA:
            raise self.damaged("its tables are not those of a member")
        self.set_hash_key(note.folder)
        self.head = self.read_head(note)
        if (self.head.folder, self.head.format) != (note.folder, FORMAT):
            raise self.damaged("its head is of another folder or format")
        if self.head.seq < self.epoch.min_seq:
            raise Older(
                f"{self.database} holds {self.head.seq} transactions, entry {self.head.last} the newest; "
                f"it once held {self.epoch.min_seq}, entry {note.last_index}"
            )
        if self.head.seq == note.seq and self.checksum(b"head", self.encoded_head()) != note.head_checksum:
            raise self.damaged("its head is not the one that the note was made for")
        return self.read_all()

    def read_head(self, note):
        rows = self.db.execute("SELECT one, body, sum FROM head LIMIT 2").fetchall()
        if len(rows) != 1 or rows[0][0] != 1:
            raise self.damaged("it does not have exactly one head")
        _, body, checksum = rows[0]
        if self.checksum(b"head", body) != checksum:
            with suppress(msgspec.MsgspecError):
                head = msgspec.msgpack.decode(body, type=Head)
                self.set_hash_key(head.folder)
                if head.folder != note.folder and self.checksum(b"head", body) == checksum:
                    raise Foreign(
                        f"{self.database} is of folder {head.folder}, the note beside it of {note.folder}"
                    )
            raise self.damaged("its head is not as it was written")
        return msgspec.msgpack.decode(body, type=Head)

    def read_all(self):
        """Reads and checks the log and the snapshot; returns what `read_stored` does."""
        head = self.head
        index, term, chain, entries = head.log_start, 0, head.log_start_sum, []
        if not head.log_start <= head.base.index <= head.last:
            raise self.damaged("there is a gap between its snapshot and its log")
        rows = self.db.execute("SELECT idx, term, what, moment, wall_ms, data, sum FROM log ORDER BY idx")
        for *numbers, data, checksum in rows:
            entry = Entry(*numbers, data)
            chain = self.entry_checksum(chain, entry)
            if entry.index != index + 1 or chain != checksum or entry.term < term:
                raise self.damaged(f"entry {index + 1} is not as it was written")
            index, term = entry.index, entry.term
            if index == head.base.index and term != head.base.term:
                raise self.damaged(f"entry {index} is not of the snapshot's term")
            if index > head.base.index:
                entries.append(entry)
        if (index, chain) != (head.last, head.last_sum) or max(term, head.base.term) > head.term:
            raise self.damaged(f"the log ends with entry {index}, not {head.last}")
        stored = StoredState(head.term, head.voted, head.base, entries)
        return stored, self.read_snapshot() if head.cluster else None

    def begin_run(self):
        """Syncs what the last run left, so that a sync of this run covers it, and notes the start."""
        self.checkpoint()
        with self.transaction():
            self.head = replace(self.head, starts=self.head.starts + 1)
        sync_folder(self.path)
        self.epoch.sync()
        for _ in self.tidy():
            pass

    # ---- reading

    def read_stored(self):
        """Returns (StoredState, the bytes of the snapshot or None if the folder is in no cluster), as they
        are on disk."""
        self.check_not_failed()
        stored, self.read_at_open = self.read_at_open, None
        if stored is None:
            with self.translate_errors():
                stored = self.read_all()
        return stored

    def read_snapshot(self):
        """Returns the bytes of the snapshot in force."""
        return self.read_snapshot_bytes(self.head.number, self.head.length, self.head.snapshot_sum)

    def received_snapshot(self):
        """Returns the bytes of the snapshot that was received completely, to be decoded before it is put in
        force."""
        self.check_not_failed()
        if self.incoming is None or not self.incoming.complete:
            raise Contradicts("no snapshot was received completely")
        with self.translate_errors():
            incoming = self.incoming
            return self.read_snapshot_bytes(incoming.number, incoming.length, incoming.digest.digest())

    def read_snapshot_bytes(self, number, length, checksum):
        digest, data = self.keyed_hash.copy(), bytearray()
        while len(data) < length and (row := self.read_piece(number, len(data))):
            digest.update(row)
            data += row
        if len(data) != length or digest.digest() != checksum:
            raise self.damaged(f"the snapshot as of entry {self.head.base.index} is not as it was written")
        return bytes(data)

    def read_piece(self, number, offset):
        """Returns the bytes of a snapshot from this offset to the end of its row."""
        place = number << 40 | offset
        rows = self.db.execute(
            "SELECT place, data, sum FROM piece WHERE place BETWEEN ? AND ? ORDER BY place DESC LIMIT 1",
            (number << 40, place),
        ).fetchall()
        if not rows or rows[0][0] + len(rows[0][1]) <= place:
            return b""
        start, data, checksum = rows[0]
        if self.checksum(b"piece %d" % start, data) != checksum:
            raise self.damaged("a piece of a snapshot is not as it was written")
        return data[place - start :]

    def read_chunk(self, base, offset, max_bytes):
        """Returns (bytes of the snapshot of this base from `offset` on, whether they are the last), or None
        if another snapshot is in force by now."""
        self.check_not_failed()
        if base != self.head.base or not self.head.cluster:
            return None
        with self.translate_errors():
            data = bytearray()
            while len(data) < max_bytes and (row := self.read_piece(self.head.number, offset + len(data))):
                data += row[: max_bytes - len(data)]
            if not data and offset < self.head.length:
                raise self.damaged("a piece of the snapshot is missing")
        self.counts["parts"] += 1
        return bytes(data), offset + len(data) >= self.head.length

    # ---- writing

    def form(self, cluster, name, base, pieces, label=""):
        """Makes the folder that of member `name` in the cluster of this id, with a first snapshot."""
        self.check_not_failed()
        if self.head.cluster or not cluster or not name:
            raise Contradicts(f"{self.path} is in cluster {self.head.cluster} already")
        first = self.begin_snapshot(base)
        for data in resized(pieces):
            self.add_piece(first, data)
        with self.transaction():
            term = max(base.term, self.head.term)
            self.head = replace(self.head, cluster=cluster, name=name, label=label, term=term)
            self.put_in_force(first)
        self.own_snapshot = None

    def put(self, writes):
        """Does all these writes in order, in one transaction: they are on disk, synced, when this returns."""
        began = time.monotonic_ns()
        with self.transaction():
            if not self.head.cluster:
                raise Contradicts("the folder is in no cluster")
            entries = []  # of adjacent writes that only append
            for write in writes:
                head = self.head
                if (write.term, write.voted, write.cut, write.base) != (head.term, head.voted, None, None):
                    self.append(entries)
                    self.apply_except_entries(write)
                    entries = []
                entries += write.entries
            self.append(entries)
        counts = self.counts
        counts["writes"] += len(writes)
        counts["entries"] += sum(len(write.entries) for write in writes)
        counts["slowest_ns"] = max(counts["slowest_ns"], time.monotonic_ns() - began)

    def apply_except_entries(self, write):
        """Does everything of a write but its entries."""
        head = self.head
        if write.term < head.term:
            raise Contradicts(f"term {write.term} after {head.term}")
        if write.term == head.term and head.voted and write.voted != head.voted:
            raise Contradicts(f"a vote for {write.voted!r} in term {head.term}, given to {head.voted}")
        self.head = replace(head, term=write.term, voted=write.voted)
        if write.cut is not None:
            self.cut(write.cut)
        if write.base is not None:
            if self.incoming is None or not self.incoming.complete or self.incoming.base != write.base:
                raise Contradicts(f"no snapshot as of entry {write.base.index} was received completely")
            self.put_in_force(self.incoming)

    def cut(self, index):
        """Drops the entries of the log from this index on."""
        head = self.head
        if index <= head.base.index:
            raise Contradicts(f"entries from {index} on are to go, the snapshot covers {head.base.index}")
        if index > head.last:
            return
        last, term, chain = index - 1, head.base.term, head.log_start_sum
        if last > head.log_start:
            term, chain = self.db.execute("SELECT term, sum FROM log WHERE idx=?", (last,)).fetchone()
        self.db.execute("DELETE FROM log WHERE idx>=?", (index,))
        self.head = replace(head, last=last, last_term=term, last_sum=chain)

    def append(self, entries):
        if not entries:
            return
        head = self.head
        index, term, chain, rows, size = head.last, head.last_term, head.last_sum, [], 0
        for entry in entries:
            if entry.index != index + 1 or not term <= entry.term <= head.term:
                raise Contradicts(
                    f"entry {entry.index} of term {entry.term} after {index} of {term}, in term {head.term}"
                )
            index, term, chain = entry.index, entry.term, self.entry_checksum(chain, entry)
            rows.append((index, term, entry.what, entry.moment, entry.wall_ms, entry.data, chain))
            size += len(entry.data) + 80
        if index - head.log_start > MAX_LOG_ENTRIES:
            raise OSError(f"the log holds {MAX_LOG_ENTRIES} entries that no snapshot covers")
        self.db.executemany("INSERT INTO log VALUES (?,?,?,?,?,?,?)", rows)
        self.head = replace(head, last=index, last_term=term, last_sum=chain)
        self.count_bytes(size)

    # ---- snapshots

    def snapshot(self, base, pieces):
        """A generator that writes the member's own snapshot. Each step is a transaction of at most 256 KiB,
        and other `put`s may be done between steps; those with entries up to `base` have to be done before the
        last step. The snapshot is then in force, unless a newer one is, and what it covers is dropped. A
        snapshot that is not finished is dropped by the next `tidy`."""
        self.check_not_failed()
        partial = self.own_snapshot = self.begin_snapshot(base)
        for data in resized(pieces):
            self.add_piece(partial, data)
            yield
        with self.transaction():
            if base.index > self.head.last:
                raise Contradicts(f"a snapshot as of entry {base.index}, the log ends with {self.head.last}")
            if base.index > self.head.base.index:
                self.put_in_force(partial)
        self.own_snapshot = None
        yield
        yield from self.tidy()

    def receive_chunk(self, message):
        """Stores a chunk of a snapshot that a peer sends, and returns the offset of the next one. Offset 0
        begins a new snapshot."""
        self.check_not_failed()
        incoming = self.incoming
        if message.offset == 0:
            for _ in self.tidy():
                pass
            incoming = self.incoming = self.begin_snapshot(message.base)
        elif incoming is None or (incoming.base, incoming.length) != (message.base, message.offset):
            raise Contradicts(f"a chunk from byte {message.offset} on that does not follow those before it")
        for at in range(0, len(message.data), PIECE_BYTES):
            self.add_piece(incoming, message.data[at : at + PIECE_BYTES])
        incoming.complete = message.last
        return incoming.length

    def tidy(self):
        """A generator that drops, in short transactions, the rows that no snapshot and no log needs any more.
        It has to be run after a `put` with a base as well."""
        while (
            last := min(self.head.base.index, self.head.log_start + MAX_DROPPED_ROWS)
        ) > self.head.log_start:
            with self.transaction():
                (chain,) = self.db.execute("SELECT sum FROM log WHERE idx=?", (last,)).fetchone()
                self.db.execute("DELETE FROM log WHERE idx<=?", (last,))
                self.head = replace(self.head, log_start=last, log_start_sum=chain)
            yield
        while places := self.unneeded_places():
            with self.transaction():
                self.db.executemany("DELETE FROM piece WHERE place=?", places)
            yield

    def unneeded_places(self):
        """Returns places of some rows of snapshots that are neither in force nor being written."""
        self.check_not_failed()
        needed = {self.head.number} | {one.number for one in (self.incoming, self.own_snapshot) if one}
        where = " AND ".join("place>>40!=?" for _ in needed)
        return self.db.execute(f"SELECT place FROM piece WHERE {where} LIMIT 8", [*needed]).fetchall()

    def begin_snapshot(self, base):
        """Returns a partial snapshot with a new number. The number is used only once, so that an unfinished
        snapshot is never taken for this one."""
        with self.transaction():
            self.head = replace(self.head, snapshots_begun=self.head.snapshots_begun + 1)
        return PartialSnapshot(self.head.snapshots_begun, base, self.keyed_hash.copy())

    def add_piece(self, partial, data):
        with self.transaction():
            if partial.length + len(data) > MAX_SNAPSHOT_BYTES:
                raise OSError(f"a snapshot of more than {MAX_SNAPSHOT_BYTES} bytes")
            place = partial.number << 40 | partial.length
            row = (place, data, self.checksum(b"piece %d" % place, data))
            self.db.execute("INSERT INTO piece VALUES (?,?,?)", row)
            self.count_bytes(len(data))
        partial.digest.update(data)
        partial.length += len(data)
        self.counts["pieces"] += 1

    def put_in_force(self, partial):
        """Makes this the snapshot in force. Of the log only the entries after it stay, and none if the two
        disagree. Rows that it covers may remain until `tidy` drops them."""
        head, base = self.head, partial.base
        if base.index < head.base.index or base.term > head.term:
            raise Contradicts(f"a snapshot as of entry {base.index}, term {base.term}, is not this member's")
        self.head = replace(
            head,
            base=base,
            number=partial.number,
            length=partial.length,
            snapshot_sum=partial.digest.digest(),
        )
        if self.incoming is partial:
            self.incoming = None
        same_entry = self.db.execute("SELECT term FROM log WHERE idx=?", (base.index,)).fetchone()
        if same_entry != (base.term,) and base.index > head.log_start:
            self.db.execute("DELETE FROM log")
            chain = self.log_start_checksum(base)
            self.head = replace(
                self.head,
                log_start=base.index,
                log_start_sum=chain,
                last=base.index,
                last_term=base.term,
                last_sum=chain,
            )

    # ---- transactions

    def check_not_failed(self):
        if self.failed:
            raise DiskFailed(self.failed)

    @contextmanager
    def transaction(self):
        """Commits what is done within it together with the head, or rolls all of it back."""
        self.check_not_failed()
        self.read_at_open, before, incoming = None, self.head, self.incoming
        try:
            self.db.execute("BEGIN IMMEDIATE")
            yield
            self.head = replace(self.head, seq=self.head.seq + 1)
            self.store_head()
            self.db.execute("COMMIT")
            self.epoch.write(self.note_maker()(self.epoch.note.files))
            self.counts["transactions"] += 1
            self.count_bytes(COMMIT_BYTES)
            if self.wal_bytes >= CHECKPOINT_BYTES:
                self.checkpoint()
        except (sqlite3.Error, OSError) as error:
            raise self.fail(error) from error
        except DiskFailed:
            raise
        except BaseException:
            self.head, self.incoming = before, incoming
            try:
                self.db.execute("ROLLBACK")
            except sqlite3.Error as error:
                raise self.fail(error) from error
            raise

    def store_head(self):
        body = self.encoded_head()
        self.db.execute("INSERT OR REPLACE INTO head VALUES (1, ?, ?)", (body, self.checksum(b"head", body)))

    def count_bytes(self, size):
        self.wal_bytes += size
        self.counts["bytes"] += size

    def checkpoint(self):
        """Copies the write-ahead log into the database and syncs it, then syncs the note."""
        try:
            busy, pages, done = self.db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()
            if busy or pages != done:
                raise sqlite3.OperationalError(f"a checkpoint did {done} of {pages} pages")
            self.epoch.sync()
        except (sqlite3.Error, OSError) as error:
            raise self.fail(error) from error
        self.wal_bytes = 0
        self.counts["checkpoints"] += 1

    def fail(self, error):
        """Marks the folder as failed and returns the error to raise. Nothing more is written, and the
        connection is never closed: closing it would try a sync again, which may succeed although the data are
        not on disk. The extra reference keeps Python from closing it."""
        self.failed = f"{self.path}: {error}"
        pythonapi.Py_IncRef(py_object(self.db))
        full = getattr(error, "sqlite_errorcode", 0) == sqlite3.SQLITE_FULL
        return (DiskFull if full else DiskFailed)(self.failed)

    def close(self):
        """Ends a run. A folder that failed stays as it is until the process ends."""
        if self.failed or self.db is None:
            return
        with self.translate_errors():
            self.checkpoint()
            self.db.close()
        self.abandon()

    def abandon(self):
        """Closes the files without a checkpoint."""
        if self.failed:
            return
        if self.db is not None:
            with suppress(sqlite3.Error):
                self.db.close()
        self.epoch.close()
        if self.lock is not None:
            os.close(self.lock)
        self.db = self.lock = None

    # ---- checksums and errors

    def checksum(self, what, data):
        digest = self.keyed_hash.copy()
        digest.update(what)
        digest.update(data)
        return digest.digest()

    def entry_checksum(self, chain, entry):
        """Returns the checksum of an entry. `chain`: that of the entry before."""
        digest = self.keyed_hash.copy()
        digest.update(chain)
        digest.update(ENTRY_NUMBERS.pack(entry.index, entry.term, entry.what, entry.moment, entry.wall_ms))
        digest.update(entry.data)
        return digest.digest()

    def log_start_checksum(self, base):
        """Returns the checksum that the first entry after this base is chained to."""
        return self.checksum(b"root", ENTRY_NUMBERS.pack(base.index, base.term, 0, 0, 0))

    def encoded_head(self):
        return msgspec.msgpack.encode(self.head)

    def note_maker(self):
        """Returns a function from the identities of both files to the note for the current head."""
        head, checksum = self.head, self.checksum(b"head", self.encoded_head())
        previous_seq = self.epoch.note.seq if self.epoch.note else head.seq
        return lambda files: Note(
            FORMAT, head.folder, files, head.starts, head.seq, previous_seq, checksum, head.term, head.last
        )

    def damaged(self, says):
        return Damaged(f"{self.database}: {says}")

    @contextmanager
    def translate_errors(self):
        """Turns errors of SQLite and the system, and those of bytes that cannot be decoded, into faults."""
        try:
            yield
        except sqlite3.Error as error:
            code = getattr(error, "sqlite_errorcode", 0) & 0xFF
            kind = FAULT_OF_CODE.get(code, Damaged)
            raise kind(f"{self.database}: {error}") from error
        except OSError as error:
            raise Unwritable(f"{self.path}: {error.strerror or error}") from error
        except (ValueError, TypeError, OverflowError, struct.error) as error:
            raise self.damaged(f"{type(error).__name__}: {error}") from error


FAULT_OF_CODE = {
    sqlite3.SQLITE_BUSY: InUse,
    sqlite3.SQLITE_LOCKED: InUse,
    sqlite3.SQLITE_PERM: Unwritable,
    sqlite3.SQLITE_READONLY: Unwritable,
    sqlite3.SQLITE_CANTOPEN: Unwritable,
    sqlite3.SQLITE_FULL: Unwritable,
    sqlite3.SQLITE_IOERR: Unwritable,
}


def sync_folder(path):
    """Syncs a folder, so that the names in it are on disk."""
    file = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(file)
    finally:
        os.close(file)


def resized(pieces):
    """Yields the same bytes in pieces of 256 KiB; the last one may be shorter."""
    rest = bytearray()
    for piece in pieces:
        rest += piece
        while len(rest) >= PIECE_BYTES:
            yield bytes(rest[:PIECE_BYTES])
            del rest[:PIECE_BYTES]
    if rest:
        yield bytes(rest)


__all__ = ["Copied", "Folder", "open_folder"]
