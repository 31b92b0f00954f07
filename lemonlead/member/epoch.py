"""The small file beside a member's database that tells how far the database once was.

SQLite drops what a damaged write-ahead log no longer vouches for, and opens an old database that was put
back like any other: both look like a member that never held what it acknowledged. So each commit is noted
here after it is on disk. A database that is behind its note has lost something, and is refused.

Two slots of 512 bytes (a sector: a power cut leaves it old or new), written in turn, each with a checksum.
Where one of them is not whole, or not the one before the other, it may have told of one commit more: the
database then has to hold that one as well, which it does where a power cut spoilt the slot.
A note is written without a sync of its own: a killed process loses none of it, a power cut may leave an
older note, never one that is ahead of the database. It is synced at each start, checkpoint and close.

The note also holds the inode and its generation of both files. A folder that was copied, or put back from
a copy, has others. What cannot be noticed: both files put back together, byte for byte and in place, as by
a machine or volume put back to an earlier state from outside."""

import fcntl
import hashlib
import os

import msgspec
from msgspec import Struct

from .faults import Copied, Damaged, OtherFormat, Unwritable

FORMAT = 1
SLOT = 512
GET_GENERATION = 0x80087601  # FS_IOC_GETVERSION: what tells apart two files that had one inode in turn


class Note(Struct, frozen=True, array_like=True):
    format: int
    folder: str  # the id that the folder drew
    files: tuple[int, ...]  # inode and generation of the database, then of this file
    starts: int  # how often the folder was opened
    seq: int  # the newest commit
    before: int  # that of the note in the other slot
    head: bytes  # checksum of the database's head as of then
    term: int
    last: int  # index of the newest entry


def identity(path):
    """Inode and its generation, 0 where the file system knows none. Opens and closes the file: never to be
    called on a database that this process has open, whose locks that would end."""
    file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        try:
            generation = int.from_bytes(fcntl.ioctl(file, GET_GENERATION, bytes(8))[:4], "little")
        except OSError:
            generation = 0
        return os.fstat(file).st_ino, generation
    finally:
        os.close(file)


def packed(note):
    body = msgspec.msgpack.encode(note)
    body = len(body).to_bytes(2, "little") + body
    body = body.ljust(SLOT - 16, b"\0")
    return body + hashlib.blake2b(body, digest_size=16).digest()


def unpacked(data):
    """The note of a slot, or None."""
    body, told = data[: SLOT - 16], data[SLOT - 16 : SLOT]
    if len(data) < SLOT or hashlib.blake2b(body, digest_size=16).digest() != told:
        return None
    length = int.from_bytes(body[:2], "little")
    try:
        # the format stands first in each version to come
        found = msgspec.msgpack.decode(body[2 : 2 + length])
        if isinstance(found, list) and found and found[0] != FORMAT:
            raise OtherFormat(f"a note is of format {found[0]}, this program knows {FORMAT}")
        return msgspec.convert(found, Note)
    except msgspec.MsgspecError:
        return None


class Epoch:
    """The file while the folder is open."""

    def __init__(self, path):
        self.path, self.file, self.turn, self.note = path, None, 0, None
        self.least = 0  # transactions that the database has held at least

    def make(self, note):
        """A new file with both slots, synced; the folder is the caller's to sync. `note`: function of this
        file's identity."""
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        self.note = note(identity(self.path))
        os.pwrite(self.file, packed(self.note) * 2, 0)
        os.fsync(self.file)

    def read(self, database):
        """The newest note; `database`: path of the database, to see that both files are those it names."""
        try:
            self.file = os.open(self.path, os.O_RDWR | os.O_CLOEXEC)
            data = os.pread(self.file, 2 * SLOT + 1, 0)
        except OSError as error:
            raise Unwritable(f"{self.path}: {error.strerror}") from None
        try:
            notes = [unpacked(data[:SLOT]), unpacked(data[SLOT : 2 * SLOT])]
        except OtherFormat as error:
            raise OtherFormat(f"{self.path}: {error.says}") from None
        if notes == [None, None]:
            raise Damaged(f"{self.path}: neither of its notes is whole")
        self.note = max(filter(None, notes), key=lambda note: note.seq)
        self.turn = 1 - notes.index(self.note)
        other = notes[self.turn]
        fits = other is not None and other.seq == self.note.before
        self.least = self.note.seq + (not fits)
        if self.note.files != identity(database) + identity(self.path):
            raise Copied(f"{self.path.parent} holds copies of the files that the folder was made with")
        return self.note

    def write(self, note):
        """Into the slot that is not the newest; no sync."""
        if os.pwrite(self.file, packed(note), self.turn * SLOT) != SLOT:
            raise OSError("a note was cut short")
        self.note, self.turn = note, 1 - self.turn

    def sync(self):
        os.fsync(self.file)

    def close(self):
        if self.file is not None:
            os.close(self.file)
            self.file = None
