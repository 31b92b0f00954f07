"""A member's folder: term, vote, log and snapshot in SQLite, and what vouches for them.

Files: `ledger.db` (with `ledger.db-wal` while it runs), `epoch` (see epoch.py), `lock`, and `making` until a
new folder is whole. Blocking, and for one thread at a time. Nothing is acknowledged here: a call that
returned has its writes on disk, one that raised leaves the folder failed and every later call refused.

What is synced when:
- each transaction: the write-ahead log (synchronous=FULL) before `COMMIT` returns; the note after it is not.
- each checkpoint: the database, then the note. SQLite's own checkpoints are off, because it passes over
  their errors and a sync that failed once may succeed the next time with the pages lost. Here such an error
  fails the folder, and its connection is never closed, since closing would try the same again.
- each start: a checkpoint of whatever the last run left, so that it is on disk by a sync of this run; the
  first commit; the folder, whose entry of the new log file is then safe; the note.
- a new folder: both files, the folder, and each folder above that was made with it.

Every row has a checksum of 16 bytes, keyed by the folder's id, and each log row's covers the one before: the
head vouches by it for the whole log. CRC-32 would find flipped bits as well, but not a row or page of an
older time or of another folder, which is whole in itself; blake2b costs a microsecond more a row."""

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
from .epoch import FORMAT, Epoch, Note, identity
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

APPLICATION = 0x6C656D6F  # in the database's own header
ROW = 256 * 1024  # bytes of a snapshot in one row, and in one transaction
LONGEST_VALUE = 4 * 1024 * 1024  # bytes of any stored value; longer ones are not read
MOST_PAGES = 1 << 20  # of 4 KiB: the database's size; past it the disk counts as full
MOST_ENTRIES = 1_000_000  # held in the log; likewise
MOST_STATE = 1 << 30  # bytes of a snapshot; likewise
UNFOLDED = 4 * 1024 * 1024  # bytes, roughly, in the write-ahead log before a checkpoint
TIDIED = 1000  # rows of the log, or 8 rows of a snapshot, dropped in one transaction
COMMIT_COST = 3 * 4096  # bytes that a transaction writes beside its rows, roughly

FILES = {"lock", "making", "epoch", "ledger.db", "ledger.db-wal", "ledger.db-shm", "ledger.db-journal"}
SCHEMA = {
    "head": "CREATE TABLE head (one INTEGER PRIMARY KEY, body BLOB NOT NULL, sum BLOB NOT NULL) STRICT",
    "log": "CREATE TABLE log (idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, what INTEGER NOT NULL, "
    "moment INTEGER NOT NULL, wall_ms INTEGER NOT NULL, data BLOB NOT NULL, sum BLOB NOT NULL) STRICT",
    # place: the snapshot's number << 40 | its byte at which this row begins
    "piece": "CREATE TABLE piece (place INTEGER PRIMARY KEY, data BLOB NOT NULL, sum BLOB NOT NULL) STRICT",
}
FIGURES = struct.Struct("<qqqqq")


class Head(Struct, frozen=True, array_like=True):
    """The one row that vouches for all others, written with each transaction."""

    format: int
    folder: str
    starts: int = 0
    seq: int = 0  # transactions so far
    cluster: str = ""  # the id that forming drew; empty: not formed
    label: str = ""  # the cluster's name in the settings
    name: str = ""  # the member's
    term: int = 0
    voted: str = ""
    root: int = 0  # the entry before the first row of the log, dropped; and that row's checksum
    root_sum: bytes = b""
    last: int = 0  # the newest entry, its term and checksum
    last_term: int = 0
    last_sum: bytes = b""
    base: SnapshotBase = SnapshotBase()  # the snapshot in force, its number, length and checksum
    number: int = 0
    length: int = 0
    whole: bytes = b""
    numbers: int = 0  # snapshots begun so far


@dataclass(slots=True)
class Gathering:
    """A snapshot that is not in force yet."""

    number: int
    base: SnapshotBase
    digest: object
    length: int = 0
    whole: bool = False


def open_folder(path, member="", label="", connect=sqlite3.connect, most_pages=MOST_PAGES):
    """The folder at this path, made where it is missing or empty, checked byte by byte where it is not; one
    of the faults where it cannot be used. `member`, `label`: the member's and cluster's names in the
    settings, empty: not compared."""
    folder = Folder(Path(path), connect, most_pages)
    try:
        folder.open(member, label)
    except DiskFailed as error:
        raise Unwritable(error.says) from error
    except BaseException:
        folder.abandon()
        raise
    return folder


class Folder:
    def __init__(self, path, connect, most_pages):
        self.path, self.connect, self.most_pages = path, connect, most_pages
        self.database, self.epoch = path / "ledger.db", Epoch(path / "epoch")
        self.lock = self.db = self.head = self.key = None
        self.failed = ""  # why every call is refused, empty while all is well
        self.found = None  # what `open` read, until `kept` gives it away or something is written
        self.gathering = self.writing = None
        self.unfolded = 0  # bytes written since the last checkpoint, roughly
        self.counts = dict.fromkeys(
            ("transactions", "writes", "entries", "bytes", "checkpoints", "pieces", "parts", "slowest_ns"), 0
        )

    @property
    def id(self):
        return self.head.folder

    @property
    def cluster(self):
        """The id of the cluster that the folder is in, empty while it is in none."""
        return self.head.cluster

    @property
    def base(self):
        """What the snapshot in force stands for."""
        return self.head.base

    # ---- opening

    def open(self, member, label):
        self.take()
        with self.told():
            if self.is_new():
                self.make()
            note = self.epoch.read(self.database)
            self.attach()
            found = self.check(note)
            self.begin_run()
            self.found = found
        if self.cluster:
            for what, has, wants in (("member", self.head.name, member), ("cluster", self.head.label, label)):
                if wants and has and wants != has:
                    raise Foreign(f"{self.path} is the folder of {what} {has}, not of {wants}")

    def take(self):
        """The folder, made where it is missing, and the lock on it that ends with this process."""
        try:
            made = [one for one in (self.path, *self.path.parents) if not one.exists()]
            self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
            for one in made:
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
            whom = f"process {holder}" if holder.isdigit() else "another process"
            raise InUse(f"{self.path} is held by {whom}") from None

    def is_new(self):
        """Whether nothing was ever kept here; a fault where the files are not those of one folder."""
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

    def make(self):
        """A new folder. Until `making` is gone nothing in it was ever told to anybody."""
        os.close(os.open(self.path / "making", os.O_CREAT | os.O_CLOEXEC, 0o600))
        sync_folder(self.path)
        for name in FILES - {"lock", "making"}:
            with suppress(FileNotFoundError):
                os.unlink(self.path / name)
        os.close(os.open(self.database, os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600))
        of_database, id = identity(self.database), secrets.token_hex(16)
        self.use(id)
        self.attach()
        self.db.execute("BEGIN IMMEDIATE")
        for made in SCHEMA.values():
            self.db.execute(made)
        self.db.execute(f"PRAGMA application_id={APPLICATION}")
        self.db.execute(f"PRAGMA user_version={FORMAT}")
        self.head = Head(
            FORMAT, id, root_sum=self.root_sum(SnapshotBase()), last_sum=self.root_sum(SnapshotBase())
        )
        self.store_head()
        self.db.execute("COMMIT")
        self.db.close()  # with a checkpoint: all is in the one file, synced
        self.db = None
        self.epoch.make(lambda own: self.note()(of_database + own))
        self.epoch.close()
        sync_folder(self.path)
        os.unlink(self.path / "making")
        sync_folder(self.path)

    def attach(self):
        self.db = self.connect(self.database, isolation_level=None, timeout=0, check_same_thread=False)
        self.db.setlimit(sqlite3.SQLITE_LIMIT_LENGTH, LONGEST_VALUE)
        for pragma in (
            "locking_mode=EXCLUSIVE",
            "trusted_schema=OFF",
            "cell_size_check=ON",
            "temp_store=MEMORY",
            "mmap_size=0",
            "wal_autocheckpoint=0",
            "synchronous=FULL",
            f"max_page_count={self.most_pages}",
        ):
            self.db.execute(f"PRAGMA {pragma}").fetchall()
        if self.db.execute("PRAGMA journal_mode=WAL").fetchone() != ("wal",):
            raise Unwritable(f"{self.path}: its file system bears no write-ahead log")

    def use(self, id):
        self.key = hashlib.blake2b(digest_size=16, key=id.encode())

    def check(self, note):
        """Reads all there is and compares it with what vouches for it; what is kept."""
        one = lambda pragma: self.db.execute(f"PRAGMA {pragma}").fetchone()[0]  # noqa: E731
        if one("application_id") != APPLICATION:
            raise Foreign(f"{self.database} is no member's database")
        if one("user_version") != FORMAT:
            raise OtherFormat(
                f"{self.database} is of format {one('user_version')}, this program knows {FORMAT}"
            )
        if (said := one("quick_check")) != "ok":
            raise self.damaged(str(said)[:200])
        if dict(self.db.execute("SELECT name, sql FROM sqlite_schema").fetchall()) != SCHEMA:
            raise self.damaged("its tables are not those of a member")
        self.use(note.folder)
        self.head = self.read_head(note)
        if (self.head.folder, self.head.format) != (note.folder, FORMAT):
            raise self.damaged("its head is not this folder's")
        if self.head.seq < self.epoch.least:
            raise Older(
                f"{self.database} holds {self.head.seq} transactions, entry {self.head.last} the newest; "
                f"it once held {self.epoch.least}, entry {note.last}"
            )
        if self.head.seq == note.seq and self.sum(b"head", self.body()) != note.head:
            raise self.damaged("it is not what the folder held as of then")
        return self.read_kept()

    def read_head(self, note):
        rows = self.db.execute("SELECT one, body, sum FROM head LIMIT 2").fetchall()
        if len(rows) != 1 or rows[0][0] != 1:
            raise self.damaged("it has not the one head")
        _, body, told = rows[0]
        if self.sum(b"head", body) != told:
            with suppress(msgspec.MsgspecError):
                head = msgspec.msgpack.decode(body, type=Head)
                self.use(head.folder)
                if head.folder != note.folder and self.sum(b"head", body) == told:
                    raise Foreign(
                        f"{self.database} is of folder {head.folder}, the note beside it of {note.folder}"
                    )
            raise self.damaged("its head is not as it was written")
        return msgspec.msgpack.decode(body, type=Head)

    def read_kept(self):
        head = self.head
        index, term, chain, entries = head.root, 0, head.root_sum, []
        if not head.root <= head.base.index <= head.last:
            raise self.damaged("its snapshot and its log do not meet")
        rows = self.db.execute("SELECT idx, term, what, moment, wall_ms, data, sum FROM log ORDER BY idx")
        for *figures, data, told in rows:
            entry = Entry(*figures, data)
            chain = self.chained(chain, entry)
            if entry.index != index + 1 or chain != told or entry.term < term:
                raise self.damaged(f"entry {index + 1} is not as it was written")
            index, term = entry.index, entry.term
            if index == head.base.index and term != head.base.term:
                raise self.damaged(f"entry {index} is not of the snapshot's term")
            if index > head.base.index:
                entries.append(entry)
        if (index, chain) != (head.last, head.last_sum) or max(term, head.base.term) > head.term:
            raise self.damaged(f"the log ends with entry {index}, not {head.last}")
        kept = StoredState(head.term, head.voted, head.base, entries)
        return kept, self.state() if head.cluster else None

    def begin_run(self):
        """Brings what the last run left to disk by this run's syncs, and notes the start."""
        self.fold()
        with self.transaction():
            self.head = replace(self.head, starts=self.head.starts + 1)
        sync_folder(self.path)
        self.epoch.sync()
        for _ in self.tidy():
            pass

    # ---- reading

    def read_stored(self):
        """(Kept, the snapshot's bytes or None where the folder is not formed), as it is on disk."""
        self.works()
        found, self.found = self.found, None
        if found is None:
            with self.told():
                found = self.read_kept()
        return found

    def state(self):
        """The bytes of the snapshot in force."""
        return self.bytes_of(self.head.number, self.head.length, self.head.whole)

    def gathered(self):
        """The bytes of the snapshot received, once it is whole: to be looked at before it is put in force."""
        self.works()
        if self.gathering is None or not self.gathering.whole:
            raise Contradicts("no snapshot was received whole")
        with self.told():
            gathering = self.gathering
            return self.bytes_of(gathering.number, gathering.length, gathering.digest.digest())

    def bytes_of(self, number, length, whole):
        digest, data = self.key.copy(), bytearray()
        while len(data) < length and (row := self.piece(number, len(data))):
            digest.update(row)
            data += row
        if len(data) != length or digest.digest() != whole:
            raise self.damaged(f"the snapshot as of entry {self.head.base.index} is not as it was written")
        return bytes(data)

    def piece(self, number, offset):
        """The bytes of a snapshot from this one on, to the end of its row."""
        place = number << 40 | offset
        rows = self.db.execute(
            "SELECT place, data, sum FROM piece WHERE place BETWEEN ? AND ? ORDER BY place DESC LIMIT 1",
            (number << 40, place),
        ).fetchall()
        if not rows or rows[0][0] + len(rows[0][1]) <= place:
            return b""
        start, data, told = rows[0]
        if self.sum(b"piece %d" % start, data) != told:
            raise self.damaged("a piece of a snapshot is not as it was written")
        return data[place - start :]

    def part(self, base, offset, most):
        """(at most so many bytes of the snapshot of this base from `offset` on, whether they are the last);
        None where another one is in force by now."""
        self.works()
        if base != self.head.base or not self.head.cluster:
            return None
        with self.told():
            data = bytearray()
            while len(data) < most and (row := self.piece(self.head.number, offset + len(data))):
                data += row[: most - len(data)]
            if not data and offset < self.head.length:
                raise self.damaged("a piece of the snapshot is missing")
        self.counts["parts"] += 1
        return bytes(data), offset + len(data) >= self.head.length

    # ---- writing

    def form(self, cluster, name, base, pieces, label=""):
        """The folder becomes that of member `name` in the cluster of this id, with a first snapshot."""
        self.works()
        if self.head.cluster or not cluster or not name:
            raise Contradicts(f"{self.path} is in cluster {self.head.cluster} already")
        gathering = self.begin(base)
        for data in resized(pieces):
            self.add(gathering, data)
        with self.transaction():
            term = max(base.term, self.head.term)
            self.head = replace(self.head, cluster=cluster, name=name, label=label, term=term)
            self.put_in_force(gathering)
        self.writing = None

    def put(self, writes):
        """All these writes, in order, as one: on disk, synced, when this returns."""
        began = time.monotonic_ns()
        with self.transaction():
            if not self.head.cluster:
                raise Contradicts("the folder is in no cluster")
            entries = []  # of writes that only append, gathered
            for write in writes:
                head = self.head
                if (write.term, write.voted, write.cut, write.base) != (head.term, head.voted, None, None):
                    self.append(entries)
                    self.prepare(write)
                    entries = []
                entries += write.entries
            self.append(entries)
        counts = self.counts
        counts["writes"] += len(writes)
        counts["entries"] += sum(len(write.entries) for write in writes)
        counts["slowest_ns"] = max(counts["slowest_ns"], time.monotonic_ns() - began)

    def prepare(self, write):
        """All of a write but its entries."""
        head = self.head
        if write.term < head.term:
            raise Contradicts(f"term {write.term} after {head.term}")
        if write.term == head.term and head.voted and write.voted != head.voted:
            raise Contradicts(f"a vote for {write.voted!r} in term {head.term}, given to {head.voted}")
        self.head = replace(head, term=write.term, voted=write.voted)
        if write.cut is not None:
            self.cut(write.cut)
        if write.base is not None:
            if self.gathering is None or not self.gathering.whole or self.gathering.base != write.base:
                raise Contradicts(f"no snapshot as of entry {write.base.index} was received whole")
            self.put_in_force(self.gathering)

    def cut(self, index):
        head = self.head
        if index <= head.base.index:
            raise Contradicts(f"entries from {index} on are to go, the snapshot covers {head.base.index}")
        if index > head.last:
            return
        last, term, chain = index - 1, head.base.term, head.root_sum
        if last > head.root:
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
            index, term, chain = entry.index, entry.term, self.chained(chain, entry)
            rows.append((index, term, entry.what, entry.moment, entry.wall_ms, entry.data, chain))
            size += len(entry.data) + 80
        if index - head.root > MOST_ENTRIES:
            raise OSError(f"the log holds {MOST_ENTRIES} entries that no snapshot covers")
        self.db.executemany("INSERT INTO log VALUES (?,?,?,?,?,?,?)", rows)
        self.head = replace(head, last=index, last_term=term, last_sum=chain)
        self.wrote(size)

    # ---- snapshots

    def snapshot(self, base, pieces):
        """A generator that writes the member's own snapshot: each step a transaction of at most 256 KiB, to
        be taken between `put`s; those with entries up to `base` go before its last step. Then it is in
        force, unless a newer one is, and what it covers is dropped. One that is given up half-way is dropped
        by the next `tidy`."""
        self.works()
        gathering = self.writing = self.begin(base)
        for data in resized(pieces):
            self.add(gathering, data)
            yield
        with self.transaction():
            if base.index > self.head.last:
                raise Contradicts(f"a snapshot as of entry {base.index}, the log ends with {self.head.last}")
            if base.index > self.head.base.index:
                self.put_in_force(gathering)
        self.writing = None
        yield
        yield from self.tidy()

    def receive_chunk(self, message):
        """The bytes of a snapshot that a peer sends; the offset wanted next. Offset 0 begins anew."""
        self.works()
        gathering = self.gathering
        if message.offset == 0:
            for _ in self.tidy():
                pass
            gathering = self.gathering = self.begin(message.base)
        elif gathering is None or (gathering.base, gathering.length) != (message.base, message.offset):
            raise Contradicts(f"a part from byte {message.offset} on that does not fit those before it")
        for at in range(0, len(message.data), ROW):
            self.add(gathering, message.data[at : at + ROW])
        gathering.whole = message.last
        return gathering.length

    def tidy(self):
        """A generator that drops, in short transactions, what no snapshot and no log needs any more. To be
        run after a `put` with a base as well."""
        while (last := min(self.head.base.index, self.head.root + TIDIED)) > self.head.root:
            with self.transaction():
                (chain,) = self.db.execute("SELECT sum FROM log WHERE idx=?", (last,)).fetchone()
                self.db.execute("DELETE FROM log WHERE idx<=?", (last,))
                self.head = replace(self.head, root=last, root_sum=chain)
            yield
        while places := self.needless():
            with self.transaction():
                self.db.executemany("DELETE FROM piece WHERE place=?", places)
            yield

    def needless(self):
        """Places of some rows of snapshots that are neither in force nor on their way."""
        self.works()
        wanted = {self.head.number} | {one.number for one in (self.gathering, self.writing) if one}
        where = " AND ".join("place>>40!=?" for _ in wanted)
        return self.db.execute(f"SELECT place FROM piece WHERE {where} LIMIT 8", [*wanted]).fetchall()

    def begin(self, base):
        """A snapshot's number, drawn for good, so that none that was given up is taken for it."""
        with self.transaction():
            self.head = replace(self.head, numbers=self.head.numbers + 1)
        return Gathering(self.head.numbers, base, self.key.copy())

    def add(self, gathering, data):
        with self.transaction():
            if gathering.length + len(data) > MOST_STATE:
                raise OSError(f"a snapshot of more than {MOST_STATE} bytes")
            place = gathering.number << 40 | gathering.length
            row = (place, data, self.sum(b"piece %d" % place, data))
            self.db.execute("INSERT INTO piece VALUES (?,?,?)", row)
            self.wrote(len(data))
        gathering.digest.update(data)
        gathering.length += len(data)
        self.counts["pieces"] += 1

    def put_in_force(self, gathering):
        """The snapshot counts from now on. Of the log only what follows it stays, and nothing where the two
        do not agree; rows that it covers may lie there until they are tidied."""
        head, base = self.head, gathering.base
        if base.index < head.base.index or base.term > head.term:
            raise Contradicts(f"a snapshot as of entry {base.index}, term {base.term}, is not this member's")
        self.head = replace(
            head, base=base, number=gathering.number, length=gathering.length, whole=gathering.digest.digest()
        )
        if self.gathering is gathering:
            self.gathering = None
        here = self.db.execute("SELECT term FROM log WHERE idx=?", (base.index,)).fetchone()
        if here != (base.term,) and base.index > head.root:
            self.db.execute("DELETE FROM log")
            chain = self.root_sum(base)
            self.head = replace(
                self.head,
                root=base.index,
                root_sum=chain,
                last=base.index,
                last_term=base.term,
                last_sum=chain,
            )

    # ---- transactions

    def works(self):
        if self.failed:
            raise DiskFailed(self.failed)

    @contextmanager
    def transaction(self):
        """All that is done within, and the head with it, or nothing."""
        self.works()
        self.found, before, gathering = None, self.head, self.gathering
        try:
            self.db.execute("BEGIN IMMEDIATE")
            yield
            self.head = replace(self.head, seq=self.head.seq + 1)
            self.store_head()
            self.db.execute("COMMIT")
            self.epoch.write(self.note()(self.epoch.note.files))
            self.counts["transactions"] += 1
            self.wrote(COMMIT_COST)
            if self.unfolded >= UNFOLDED:
                self.fold()
        except (sqlite3.Error, OSError) as error:
            raise self.fail(error) from error
        except DiskFailed:
            raise
        except BaseException:
            self.head, self.gathering = before, gathering
            try:
                self.db.execute("ROLLBACK")
            except sqlite3.Error as error:
                raise self.fail(error) from error
            raise

    def store_head(self):
        body = self.body()
        self.db.execute("INSERT OR REPLACE INTO head VALUES (1, ?, ?)", (body, self.sum(b"head", body)))

    def wrote(self, size):
        self.unfolded += size
        self.counts["bytes"] += size

    def fold(self):
        """A checkpoint: what the write-ahead log holds goes to the database, synced; then the note."""
        try:
            busy, pages, done = self.db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()
            if busy or pages != done:
                raise sqlite3.OperationalError(f"a checkpoint did {done} of {pages} pages")
            self.epoch.sync()
        except (sqlite3.Error, OSError) as error:
            raise self.fail(error) from error
        self.unfolded = 0
        self.counts["checkpoints"] += 1

    def fail(self, error):
        """Nothing more is written, and the connection is never closed: that would try a sync again which
        may succeed without having brought anything to disk."""
        self.failed = f"{self.path}: {error}"
        pythonapi.Py_IncRef(py_object(self.db))
        full = getattr(error, "sqlite_errorcode", 0) == sqlite3.SQLITE_FULL
        return (DiskFull if full else DiskFailed)(self.failed)

    def close(self):
        """The end of a run. A folder that failed stays as it is until the process ends."""
        if self.failed or self.db is None:
            return
        with self.told():
            self.fold()
            self.db.close()
        self.abandon()

    def abandon(self):
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

    def sum(self, what, data):
        digest = self.key.copy()
        digest.update(what)
        digest.update(data)
        return digest.digest()

    def chained(self, chain, entry):
        digest = self.key.copy()
        digest.update(chain)
        digest.update(FIGURES.pack(entry.index, entry.term, entry.what, entry.moment, entry.wall_ms))
        digest.update(entry.data)
        return digest.digest()

    def root_sum(self, base):
        return self.sum(b"root", FIGURES.pack(base.index, base.term, 0, 0, 0))

    def body(self):
        return msgspec.msgpack.encode(self.head)

    def note(self):
        """A function of both files' identities: what the note tells now."""
        head, total = self.head, self.sum(b"head", self.body())
        before = self.epoch.note.seq if self.epoch.note else head.seq
        return lambda files: Note(
            FORMAT, head.folder, files, head.starts, head.seq, before, total, head.term, head.last
        )

    def damaged(self, says):
        return Damaged(f"{self.database}: {says}")

    @contextmanager
    def told(self):
        """SQLite's errors, and those of bytes that are not what they should be, as ours."""
        try:
            yield
        except sqlite3.Error as error:
            code = getattr(error, "sqlite_errorcode", 0) & 0xFF
            kind = KINDS.get(code, Damaged)
            raise kind(f"{self.database}: {error}") from error
        except OSError as error:
            raise Unwritable(f"{self.path}: {error.strerror or error}") from error
        except (ValueError, TypeError, OverflowError, struct.error) as error:
            raise self.damaged(f"{type(error).__name__}: {error}") from error


KINDS = {
    sqlite3.SQLITE_BUSY: InUse,
    sqlite3.SQLITE_LOCKED: InUse,
    sqlite3.SQLITE_PERM: Unwritable,
    sqlite3.SQLITE_READONLY: Unwritable,
    sqlite3.SQLITE_CANTOPEN: Unwritable,
    sqlite3.SQLITE_FULL: Unwritable,
    sqlite3.SQLITE_IOERR: Unwritable,
}


def sync_folder(path):
    """So that the names in it are on disk."""
    file = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(file)
    finally:
        os.close(file)


def resized(pieces):
    """The same bytes in pieces of 256 KiB, the last one shorter."""
    rest = bytearray()
    for piece in pieces:
        rest += piece
        while len(rest) >= ROW:
            yield bytes(rest[:ROW])
            del rest[:ROW]
    if rest:
        yield bytes(rest)


__all__ = ["Copied", "Folder", "open_folder"]
