"""The small file `epoch` beside a member's database. It records how far the database once was.

SQLite drops the part of a write-ahead log whose checksums do not match, and opens an older database that was
restored like any other. Both look like a member that never held what it acknowledged. So each commit is noted
here after it is on disk, and a database that is behind its note has lost something and is refused.

The file has two slots of 512 bytes (a sector: after a power cut it is the old one or the new one), which are
written in turn, each with a checksum. If one slot is damaged, or is not the one before the other, it may have
noted one commit more. The database then has to hold that commit as well, which it does if a power cut
damaged the slot. A note is written without a sync of its own. A killed process loses none; a power cut may
leave an older note, but never one that is ahead of the database. The file is synced at each start, checkpoint
and close.

The note also holds the inode and its generation number of both files. A folder that was copied, or restored
from a copy, has others. One case cannot be detected: both files restored together, byte for byte and in
place, as when a machine or volume is reset to an earlier state from outside."""

import fcntl
import hashlib
import os

import msgspec
from msgspec import Struct

from .faults import Copied, Damaged, OtherFormat, Unwritable

FORMAT = 1
SLOT_BYTES = 512
FS_IOC_GETVERSION = 0x80087601  # reads the generation, which differs for two files that had one inode in turn


class Note(Struct, frozen=True, array_like=True):
    """What a slot holds."""

    format: int
    folder: str  # the random id of the folder
    files: tuple[int, ...]  # inode and generation of the database, then of this file
    starts: int  # how often the folder was opened
    seq: int  # the newest commit
    previous_seq: int  # the commit of the note in the other slot
    head_checksum: bytes  # of the database's head after that commit
    term: int
    last_index: int  # index of the newest entry


def file_identity(path):
    """Returns the inode and its generation, which is 0 if the file system has none. It opens and closes the
    file, so it must not be called on a database that this process has open: that would end its locks."""
    file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        try:
            generation = int.from_bytes(fcntl.ioctl(file, FS_IOC_GETVERSION, bytes(8))[:4], "little")
        except OSError:
            generation = 0
        return os.fstat(file).st_ino, generation
    finally:
        os.close(file)


def pack_note(note):
    """Returns the bytes of a slot."""
    body = msgspec.msgpack.encode(note)
    body = len(body).to_bytes(2, "little") + body
    body = body.ljust(SLOT_BYTES - 16, b"\0")
    return body + hashlib.blake2b(body, digest_size=16).digest()


def unpack_note(data):
    """Returns the note of a slot, or None if its bytes are damaged."""
    body, checksum = data[: SLOT_BYTES - 16], data[SLOT_BYTES - 16 : SLOT_BYTES]
    if len(data) < SLOT_BYTES or hashlib.blake2b(body, digest_size=16).digest() != checksum:
        return None
    length = int.from_bytes(body[:2], "little")
    try:
        # the format is the first field in every version to come
        found = msgspec.msgpack.decode(body[2 : 2 + length])
        if isinstance(found, list) and found and found[0] != FORMAT:
            raise OtherFormat(f"a note is of format {found[0]}, this program knows {FORMAT}")
        return msgspec.convert(found, Note)
    except msgspec.MsgspecError:
        return None


class Epoch:
    """The file, open while the folder is. `note` is the newest note."""

    def __init__(self, path):
        self.path = path
        self.file = None
        self.next_slot = 0
        self.note = None
        self.min_seq = 0  # the database has held at least so many commits

    def create(self, make_note):
        """Creates the file with the same note in both slots, and syncs it; the caller syncs the folder.
        `make_note(identity)` returns the note for a file of this identity."""
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        self.note = make_note(file_identity(self.path))
        os.pwrite(self.file, pack_note(self.note) * 2, 0)
        os.fsync(self.file)

    def read(self, database):
        """Reads and returns the newest note. `database`: path of the database, to check that both files are
        those that the note names."""
        try:
            self.file = os.open(self.path, os.O_RDWR | os.O_CLOEXEC)
            data = os.pread(self.file, 2 * SLOT_BYTES + 1, 0)
        except OSError as error:
            raise Unwritable(f"{self.path}: {error.strerror}") from None
        try:
            notes = [unpack_note(data[:SLOT_BYTES]), unpack_note(data[SLOT_BYTES : 2 * SLOT_BYTES])]
        except OtherFormat as error:
            raise OtherFormat(f"{self.path}: {error.says}") from None
        if notes == [None, None]:
            raise Damaged(f"{self.path}: both of its notes are damaged")
        self.note = max(filter(None, notes), key=lambda note: note.seq)
        self.next_slot = 1 - notes.index(self.note)
        other = notes[self.next_slot]
        other_fits = other is not None and other.seq == self.note.previous_seq
        self.min_seq = self.note.seq + (not other_fits)
        if self.note.files != file_identity(database) + file_identity(self.path):
            raise Copied(f"{self.path.parent} holds copies of the files that the folder was created with")
        return self.note

    def write(self, note):
        """Writes the note into the older slot, without a sync."""
        if os.pwrite(self.file, pack_note(note), self.next_slot * SLOT_BYTES) != SLOT_BYTES:
            raise OSError("a note was written only in part")
        self.note, self.next_slot = note, 1 - self.next_slot

    def sync(self):
        os.fsync(self.file)

    def close(self):
        if self.file is not None:
            os.close(self.file)
            self.file = None
