"""A member's folder: what was acknowledged is there after any end, and what is damaged is refused.

LEMONLEAD_DISK_KILLS=200 and LEMONLEAD_DISK_FUZZ=20000 in the environment make the long runs."""

import errno
import functools
import hashlib
import os
import random
import resource
import select
import shutil
import signal
import sqlite3
import sys
import tempfile
import traceback
from contextlib import closing
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from lemonlead.ledger.faults import Fault, Unusable
from lemonlead.ledger.records import ConfiguredMember, Entry, SnapshotBase, SnapshotChunk, StoredState, Write
from lemonlead.member import disk, epoch, faults
from lemonlead.member.disk import open_folder

KILLS = int(os.environ.get("LEMONLEAD_DISK_KILLS", 30))
FUZZ = int(os.environ.get("LEMONLEAD_DISK_FUZZ", 200))
SEATS = {
    "g1": ConfiguredMember("127.0.0.1:7101", "f1"),
    "g2": ConfiguredMember("127.0.0.1:7102", "f2", False),
}


def entry(index, term=1, size=100):
    data = hashlib.shake_128(f"{index}/{term}".encode()).digest(size)
    return Entry(index, term, 1, index * 7, index * 11, data)


def entries(first, last, term=1):
    return [entry(index, term) for index in range(first, last + 1)]


def write(term=1, voted="", **fields):
    return Write(0, term, voted, **fields)


def state(tag, size=1000):
    return hashlib.shake_128(f"state {tag}".encode()).digest(size)


def formed(path, held=0, **told):
    folder = open_folder(path, **told)
    folder.form("c1", "g1", SnapshotBase(1, 1, SEATS, 5), [state(1)], "louis")
    if held:
        folder.put([write(entries=entries(2, 1 + held))])
    return folder


def run(generator):
    return sum(1 for _ in generator)


def receive(folder, base, data, size=300_000):
    for at in range(0, len(data), size):
        folder.receive_chunk(
            SnapshotChunk(
                "c1", "g2", "f2", "g1", "f1", 1, base, at, data[at : at + size], at + size >= len(data)
            )
        )


def in_child(work):
    """Does it in a process of its own, which ends without closing anything; its exit code."""
    pid = os.fork()
    if pid == 0:
        code = 99
        try:
            code = work() or 0
        except BaseException:
            traceback.print_exc()
        finally:
            sys.stdout.flush()
            os._exit(code)
    return os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])


@pytest.fixture(scope="module")
def memory():
    """A folder in memory where there is one: what is tested there does not hang on syncs, only on bytes."""
    inside = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
    with tempfile.TemporaryDirectory(dir=inside) as path:
        yield Path(path)


# ---- what is kept


def test_a_new_folder_holds_nothing_and_keeps_its_id(tmp_path):
    folder = open_folder(tmp_path / "a" / "b")
    assert folder.read_stored() == (StoredState(), None) and folder.cluster == ""
    id = folder.id
    folder.close()
    again, other = open_folder(tmp_path / "a" / "b"), open_folder(tmp_path / "c")
    assert again.id == id != other.id and len(id) == 32


PUTS = {
    "entries": (
        [write(entries=entries(2, 9))],
        StoredState(1, "", SnapshotBase(1, 1, SEATS, 5), entries(2, 9)),
    ),
    "a vote": ([write(3, "g2")], StoredState(3, "g2", SnapshotBase(1, 1, SEATS, 5), [])),
    "a cut": (
        [write(entries=entries(2, 9)), write(4, "g2", cut=5, entries=entries(5, 6, 4))],
        StoredState(4, "g2", SnapshotBase(1, 1, SEATS, 5), entries(2, 4) + entries(5, 6, 4)),
    ),
    "a cut of all": (
        [write(entries=entries(2, 9)), write(2, cut=2)],
        StoredState(2, "", SnapshotBase(1, 1, SEATS, 5), []),
    ),
    "a cut past the end": (
        [write(entries=entries(2, 3)), write(1, cut=4, entries=entries(4, 4))],
        StoredState(1, "", SnapshotBase(1, 1, SEATS, 5), entries(2, 4)),
    ),
}


@pytest.mark.parametrize("killed", [False, True])
@pytest.mark.parametrize("case", PUTS)
def test_what_was_put_is_kept(tmp_path, case, killed):
    writes, wanted = PUTS[case]

    def work():
        folder = formed(tmp_path)
        folder.put(writes)
        assert folder.read_stored() == (wanted, state(1))
        if not killed:
            folder.close()

    assert in_child(work) == 0
    folder = open_folder(tmp_path, "g1", "louis")
    assert folder.read_stored() == (wanted, state(1)) and folder.cluster == "c1"


@pytest.mark.parametrize("size", [0, 1, 1000, disk.PIECE_BYTES, 3 * disk.PIECE_BYTES + 5])
def test_an_own_snapshot_in_short_steps_between_puts(tmp_path, size):
    folder, data, base = formed(tmp_path, 20), state("own", size), SnapshotBase(15, 1, SEATS, 9)
    chunks, index = [data[at : at + 100_001] for at in range(0, size, 100_001)], 22
    for _ in folder.snapshot(base, chunks):
        folder.put([write(entries=[entry(index)])])
        index += 1
    wanted = StoredState(1, "", base, entries(16, index - 1)), data
    assert folder.read_stored() == wanted
    assert folder.db.execute("SELECT min(idx) FROM log").fetchone() == (16,)
    assert folder.read_chunk(SnapshotBase(1, 1, SEATS, 5), 0, 10) is None
    for most in (1, 70_000, disk.PIECE_BYTES, 10**6):
        if size < 2000 or most > 1:
            got, last = b"", False
            while not last:
                some, last = folder.read_chunk(base, len(got), most)
                assert len(some) <= most and (some or last)
                got += some
            assert got == data
    folder.close()
    assert open_folder(tmp_path).read_stored() == wanted


@pytest.mark.parametrize(
    "base, stay",
    [
        (SnapshotBase(30, 2, SEATS, 9), []),
        (SnapshotBase(10, 1, SEATS, 9), entries(11, 21)),
        (SnapshotBase(10, 2, SEATS, 9), []),
        (SnapshotBase(21, 1, SEATS, 9), []),
    ],
)
def test_a_received_snapshot_comes_in_force_with_its_write(tmp_path, base, stay):
    folder, data = formed(tmp_path, 20), state("far", 700_000)
    before = StoredState(1, "", SnapshotBase(1, 1, SEATS, 5), entries(2, 21)), state(1)
    receive(folder, SnapshotBase(12, 1), b"given up half-way")
    receive(folder, base, data)
    assert folder.read_stored() == before and folder.received_snapshot() == data
    folder.put([write(2, base=base)])
    assert run(folder.tidy()) > 0
    following = entries(max(base.index, stay[-1].index if stay else 0) + 1, 40, 2)
    folder.put([write(2, entries=following)])
    wanted = StoredState(2, "", base, stay + following), data
    assert folder.read_stored() == wanted and folder.unneeded_places() == []
    folder.close()
    assert open_folder(tmp_path).read_stored() == wanted


def test_a_snapshot_not_in_force_is_dropped_at_the_next_start(tmp_path):
    folder = formed(tmp_path, 20)
    receive(folder, SnapshotBase(30, 1), state("far", 700_000))
    own = folder.snapshot(SnapshotBase(15, 1), [state("own", 900_000)])
    next(own), next(own)
    folder.close()
    folder = open_folder(tmp_path)
    assert folder.read_stored() == (
        StoredState(1, "", SnapshotBase(1, 1, SEATS, 5), entries(2, 21)),
        state(1),
    )
    assert folder.db.execute("SELECT count(*) FROM piece").fetchone() == (1,)


def test_an_own_snapshot_that_a_received_one_overtook_is_not_put_in_force(tmp_path):
    folder, base = formed(tmp_path, 20), SnapshotBase(30, 1)
    own = folder.snapshot(SnapshotBase(15, 1), [state("own", 900_000)])
    next(own)
    receive(folder, base, state("far"))
    folder.put([write(base=base)])
    run(own)
    assert folder.read_stored() == (StoredState(1, "", base, []), state("far"))
    assert folder.db.execute("SELECT count(*) FROM piece").fetchone() == (1,)


def test_dropping_what_a_snapshot_covers_goes_in_bounded_steps(tmp_path):
    folder = formed(tmp_path, 3 * disk.MAX_DROPPED_ROWS)
    steps, lengths = folder.snapshot(SnapshotBase(3 * disk.MAX_DROPPED_ROWS, 1), [b"x"]), []
    for _ in steps:
        lengths.append(folder.db.execute("SELECT count(*) FROM log").fetchone()[0])
    assert max(one - other for one, other in zip(lengths, lengths[1:], strict=False)) <= disk.MAX_DROPPED_ROWS
    assert lengths[-1] == 1


OPS = st.lists(
    st.tuples(
        st.sampled_from(["put", "cut", "vote", "own", "receive", "reopen", "die"]),
        st.integers(0, 30),
        st.integers(0, 2),
    ),
    max_size=25,
)


@settings(max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(OPS)
def test_any_order_of_calls_keeps_what_a_plain_list_keeps(memory, ops):
    path = memory / "model"
    shutil.rmtree(path, ignore_errors=True)
    folder = formed(path)
    wanted, held = StoredState(1, "", SnapshotBase(1, 1, SEATS, 5), []), state(1)
    for number, (what, many, up) in enumerate(ops):
        last = wanted.entries[-1].index if wanted.entries else wanted.base.index
        term = wanted.term + up
        voted = f"g{many}" if up else wanted.voted
        if what == "put":
            more = entries(last + 1, last + many, term)
            folder.put([write(term, voted, entries=more[:3]), write(term, voted, entries=more[3:])])
            wanted = StoredState(term, voted, wanted.base, wanted.entries + more)
        elif what == "cut":
            at = max(wanted.base.index + 1, last - many)
            folder.put([write(term, voted, cut=at, entries=entries(at, at + 1, term))])
            kept = [one for one in wanted.entries if one.index < at]
            wanted = StoredState(term, voted, wanted.base, kept + entries(at, at + 1, term))
        elif what == "vote":
            folder.put([write(term, voted)])
            wanted = StoredState(term, voted, wanted.base, wanted.entries)
        elif what == "own" and wanted.entries:
            at = wanted.entries[many % len(wanted.entries)]
            base, held = SnapshotBase(at.index, at.term, SEATS, number), state(number, 300 * many)
            run(folder.snapshot(base, [held]))
            kept = [one for one in wanted.entries if one.index > base.index]
            wanted = StoredState(wanted.term, wanted.voted, base, kept)
        elif what == "receive":
            base, held = SnapshotBase(last + many + 1, term, SEATS, number), state(number, 300 * many + 1)
            receive(folder, base, held, 2000)
            folder.put([write(term, voted, base=base)])
            wanted = StoredState(term, voted, base, [])
        elif what == "reopen":
            folder.close()
            folder = open_folder(path)
        assert folder.read_stored() == (wanted, held)
    folder.close()
    folder = open_folder(path)
    assert folder.read_stored() == (wanted, held)
    folder.close()


# ---- what is never written

WRONG = {
    "a term that falls": write(1),
    "a second vote": write(2, "g2"),
    "a vote taken back": write(2, ""),
    "a gap": write(2, "g1", entries=entries(14, 15)),
    "an entry twice": write(2, "g1", entries=entries(11, 11)),
    "a term that falls in the log": write(2, "g1", entries=[entry(12, 2), entry(13, 1)]),
    "an entry of a term to come": write(2, "g1", entries=entries(12, 12, 3)),
    "a cut into the snapshot": write(2, "g1", cut=1),
    "a base never received": write(2, "g1", base=SnapshotBase(40, 1)),
}


@pytest.mark.parametrize("case", WRONG)
def test_what_contradicts_is_not_written_and_nothing_beside_it(tmp_path, case):
    folder = formed(tmp_path, 10)
    folder.put([write(2, "g1")])
    before = folder.read_stored()
    with pytest.raises(faults.Contradicts):
        folder.put([write(2, "g1", entries=entries(12, 12)), WRONG[case]] if "gap" in case else [WRONG[case]])
    assert folder.read_stored() == before
    folder.put([write(2, "g1", entries=entries(12, 12))])
    folder.close()
    assert open_folder(tmp_path).read_stored()[0].entries == before[0].entries + entries(12, 12)


def test_a_part_that_does_not_follow_is_not_taken(tmp_path):
    folder = formed(tmp_path)
    part = functools.partial(SnapshotChunk, "c1", "g2", "f2", "g1", "f1", 1)
    assert folder.receive_chunk(part(SnapshotBase(9, 1), 0, b"abc")) == 3
    for wrong in (
        part(SnapshotBase(9, 1), 2, b"c"),
        part(SnapshotBase(9, 1), 4, b"e"),
        part(SnapshotBase(8, 1), 3, b"d"),
    ):
        with pytest.raises(faults.Contradicts):
            folder.receive_chunk(wrong)
    with pytest.raises(faults.Contradicts):
        folder.put([write(base=SnapshotBase(9, 1))])
    assert folder.receive_chunk(part(SnapshotBase(9, 1), 3, b"d", True)) == 4
    assert folder.received_snapshot() == b"abcd"


def test_forming_twice_or_writing_before_is_refused(tmp_path):
    folder = open_folder(tmp_path)
    with pytest.raises(faults.Contradicts):
        folder.put([write(entries=entries(1, 1))])
    folder.form("c1", "g1", SnapshotBase(1, 1), [b"x"])
    with pytest.raises(faults.Contradicts):
        folder.form("c2", "g1", SnapshotBase(1, 1), [b"x"])
    assert folder.cluster == "c1"


# ---- folders that are refused


def overwrite(path, data):
    """In place: the file keeps its inode."""
    with open(path, "r+b") as file:
        file.truncate(0)
        file.write(data)


def older_database(path):
    before = (path / "ledger.db").read_bytes()
    folder = open_folder(path)
    folder.put([write(entries=entries(12, 15))])
    folder.close()
    overwrite(path / "ledger.db", before)


def of_another_folder(path, *names):
    other = path.parent / "other"
    formed(other, 10).close()
    for name in names:
        overwrite(path / name, (other / name).read_bytes())


def copied(path):
    shutil.copytree(path, path.parent / "copy")
    shutil.rmtree(path)
    shutil.copytree(path.parent / "copy", path)


def sql(text):
    def spoil(path):
        db = sqlite3.connect(path / "ledger.db")
        db.execute(text)
        db.commit()
        db.close()

    return spoil


def new_format(path):
    note = epoch.unpack_note((path / "epoch").read_bytes())
    overwrite(path / "epoch", epoch.pack_note(replace(note, format=2)) * 2)


def killed_then(name):
    """A run that was killed, its write-ahead log lost or cut."""

    def spoil(path):
        def work():
            open_folder(path).put([write(entries=entries(12, 30))])

        assert in_child(work) == 0
        log = path / "ledger.db-wal"
        assert log.stat().st_size > 4096
        if name == "lost":
            log.unlink()
        else:
            os.truncate(log, log.stat().st_size - 5000)

    return spoil


SPOILT = {
    "the database is missing": (faults.Damaged, lambda path: (path / "ledger.db").unlink()),
    "the note is missing": (faults.Damaged, lambda path: (path / "epoch").unlink()),
    "the database is empty": (faults.Damaged, lambda path: os.truncate(path / "ledger.db", 0)),
    "the database is cut short": (faults.Damaged, lambda path: os.truncate(path / "ledger.db", 9000)),
    "the note is empty": (faults.Damaged, lambda path: os.truncate(path / "epoch", 0)),
    "the database is no database": (
        faults.Damaged,
        lambda path: overwrite(path / "ledger.db", b"hello " * 3000),
    ),
    "another program's database": (faults.Foreign, sql("PRAGMA application_id=1")),
    "a newer database": (faults.OtherFormat, sql("PRAGMA user_version=2")),
    "an older database": (faults.OtherFormat, sql("PRAGMA user_version=0")),
    "a newer note": (faults.OtherFormat, new_format),
    "a table more": (faults.Damaged, sql("CREATE TABLE more (x)")),
    "a trigger": (
        faults.Damaged,
        sql("CREATE TRIGGER t AFTER INSERT ON log BEGIN DELETE FROM log; END"),
    ),
    "an entry lost": (faults.Damaged, sql("DELETE FROM log WHERE idx=5")),
    "the last entry lost": (faults.Damaged, sql("DELETE FROM log WHERE idx=11")),
    "the first entry lost": (faults.Damaged, sql("DELETE FROM log WHERE idx=2")),
    "an entry more": (
        faults.Damaged,
        sql("INSERT INTO log SELECT 12, term, what, moment, wall_ms, data, sum FROM log WHERE idx=11"),
    ),
    "two entries swapped": (
        faults.Damaged,
        sql("UPDATE log SET data=(SELECT data FROM log AS o WHERE o.idx=11-log.idx) WHERE idx IN (5, 6)"),
    ),
    "another vote": (faults.Damaged, sql("UPDATE head SET body=CAST(replace(body, 'g1', 'g2') AS BLOB)")),
    "no head": (faults.Damaged, sql("DELETE FROM head")),
    "two heads": (faults.Damaged, sql("INSERT INTO head SELECT 2, body, sum FROM head")),
    "the snapshot lost": (faults.Damaged, sql("DELETE FROM piece")),
    "the snapshot changed": (
        faults.Damaged,
        sql("UPDATE piece SET data=CAST(x'00' || substr(data, 2) AS BLOB)"),
    ),
    "the snapshot cut": (faults.Damaged, sql("UPDATE piece SET data=substr(data, 1, 500)")),
    "an older database put back": (faults.Older, older_database),
    "the log of a killed run lost": (faults.Older, killed_then("lost")),
    "the log of a killed run cut": (faults.Older, killed_then("cut")),
    "another folder's database": (faults.Foreign, lambda path: of_another_folder(path, "ledger.db")),
    "another folder's note": (faults.Copied, lambda path: of_another_folder(path, "epoch")),
    "a copy of the folder": (faults.Copied, copied),
    "a second database": (
        faults.Foreign,
        lambda path: shutil.copy(path / "ledger.db", path / "ledger (copy).db"),
    ),
}


@pytest.mark.parametrize("case", SPOILT)
def test_a_spoilt_folder_is_refused(tmp_path, case):
    kind, spoil = SPOILT[case]
    path = tmp_path / "g1"
    formed(path, 10).close()
    spoil(path)
    for _ in range(2):  # and the attempt has not made it usable
        with pytest.raises(kind) as caught:
            open_folder(path)
        assert isinstance(caught.value, Unusable) and str(tmp_path) in caught.value.says


@pytest.mark.parametrize("told", [("g2", "louis"), ("g1", "ebene")])
def test_another_members_or_clusters_folder_is_refused(tmp_path, told):
    formed(tmp_path).close()
    with pytest.raises(faults.Foreign, match="g1|louis"):
        open_folder(tmp_path, *told)
    open_folder(tmp_path, "g1", "louis").close()


def test_a_folder_with_other_things_in_it_is_left_alone(tmp_path):
    (tmp_path / "thesis.txt").write_text("x")
    with pytest.raises(faults.Foreign, match="thesis"):
        open_folder(tmp_path)
    assert sorted(os.listdir(tmp_path)) == ["lock", "thesis.txt"]


def test_a_folder_in_use_names_the_process_that_holds_it(tmp_path):
    read, told = os.pipe()

    def work():
        folder = open_folder(tmp_path)
        os.write(told, b"ready")
        signal.pause()
        folder.close()

    pid = os.fork()
    if pid == 0:
        try:
            work()
        finally:
            os._exit(1)
    try:
        assert select.select([read], [], [], 30)[0] and os.read(read, 5) == b"ready"
        with pytest.raises(faults.InUse, match=f"process {pid}"):
            open_folder(tmp_path)
        (tmp_path / "lock").unlink()  # the database has a lock of its own
        with pytest.raises(faults.InUse):
            open_folder(tmp_path)
    finally:
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)
        os.close(read), os.close(told)
    open_folder(tmp_path).close()


def test_a_folder_that_cannot_be_written_is_refused(tmp_path):
    (tmp_path / "file").write_text("x")
    path = tmp_path / "mine"
    formed(path, 3).close()
    with pytest.raises(faults.Unwritable):
        open_folder(tmp_path / "file")
    with pytest.raises(faults.Unwritable):
        open_folder("/proc/lemonlead/g1")
    for name, mode in (("lock", 0o444), ("epoch", 0o444), ("ledger.db", 0o444), (".", 0o555)):
        os.chmod(path / name, mode)

    def work():
        if os.getuid() == 0:
            for one in path.parents:
                os.chmod(one, 0o755) if one.is_relative_to(tmp_path.parent.parent) else None
            os.setuid(65534)
        try:
            open_folder(path)
        except faults.Unwritable:
            return 7

    assert in_child(work) == 7


@pytest.mark.parametrize("step", range(12))
def test_a_folder_killed_while_it_is_made_is_made_anew(tmp_path, monkeypatch, step):
    """Each system call that makes the folder is the last one in turn."""

    def work():
        left = [step]

        def counted(call):
            def instead(*args, **named):
                if left[0] == 0:
                    os._exit(5)
                left[0] -= 1
                return call(*args, **named)

            return instead

        for name in ("fsync", "unlink", "pwrite", "close"):
            monkeypatch.setattr(os, name, counted(getattr(os, name)))
        open_folder(tmp_path)

    assert in_child(work) in (0, 5)
    folder = open_folder(tmp_path)
    folder.form("c1", "g1", SnapshotBase(1, 1), [b"x"])
    assert folder.read_stored() == (StoredState(1, "", SnapshotBase(1, 1), []), b"x")


def test_the_names_of_a_new_folder_are_synced(tmp_path, monkeypatch):
    """Else a power cut after the first acknowledgement could leave no folder at all."""
    synced, fsync = [], os.fsync

    def noted(file):
        synced.append(os.readlink(f"/proc/self/fd/{file}"))
        fsync(file)

    monkeypatch.setattr(os, "fsync", noted)
    path = tmp_path / "var" / "g1"
    folder = open_folder(path)
    assert {str(tmp_path), str(tmp_path / "var")} <= set(synced)
    assert synced.index(str(path / "epoch")) < len(synced) - 1 - synced[::-1].index(str(path))
    monkeypatch.undo()
    assert folder.db.execute("PRAGMA synchronous").fetchone() == (2,)
    assert folder.db.execute("PRAGMA journal_mode").fetchone() == ("wal",)


# ---- disks that fail


class Failing(sqlite3.Connection):
    """A connection whose next statement of one kind fails as on a failing disk."""

    broken = ""

    def execute(self, text, *args):
        if self.broken and text.startswith(self.broken):
            error = sqlite3.OperationalError("disk I/O error")
            error.sqlite_errorcode = sqlite3.SQLITE_IOERR
            Failing.broken = ""  # the same again would succeed
            raise error
        return super().execute(text, *args)


failing = functools.partial(sqlite3.connect, factory=Failing)


def refuses_all(folder):
    calls = [
        lambda: folder.put([write(entries=entries(12, 12))]),
        lambda: next(folder.snapshot(SnapshotBase(5, 1), [b"x"])),
        lambda: folder.receive_chunk(SnapshotChunk("c1", "g2", "f2", "g1", "f1", 1, SnapshotBase(9, 1))),
        lambda: folder.read_chunk(folder.base, 0, 10),
        lambda: next(folder.tidy()),
        lambda: folder.received_snapshot(),
        lambda: folder.read_stored(),
    ]
    for call in calls:
        try:
            call()
        except faults.DiskFailed:
            continue
        return False
    return True


@pytest.mark.parametrize("statement", ["COMMIT", "BEGIN", "INSERT", "PRAGMA wal_checkpoint"])
def test_after_a_failed_write_or_sync_nothing_more_is_done(tmp_path, statement):
    def work():
        folder = formed(tmp_path, 10, connect=failing)
        Failing.broken = statement
        folder.wal_bytes = disk.CHECKPOINT_BYTES
        try:
            folder.put([write(entries=entries(12, 12))])
        except faults.DiskFailed as error:
            if "disk I/O error" not in error.says or not refuses_all(folder):
                return 3
            folder.close()
            return 0
        return 4

    assert in_child(work) == 0
    entries_kept = open_folder(tmp_path).read_stored()[0].entries
    assert entries_kept in (entries(2, 11), entries(2, 12))


def test_a_note_that_cannot_be_written_fails_the_folder(tmp_path, monkeypatch):
    def work():
        folder = formed(tmp_path, 10)

        def fails(*args):
            raise OSError(errno.EIO, "Input/output error")

        monkeypatch.setattr(os, "pwrite", fails)
        try:
            folder.put([write(entries=entries(12, 12))])
        except faults.DiskFailed:
            return 0 if refuses_all(folder) else 3

    assert in_child(work) == 0
    assert len(open_folder(tmp_path).read_stored()[0].entries) in (10, 11)


def fill(folder):
    """Puts until it fails; the index of the last that was acknowledged, and the error."""
    last = 11
    try:
        while last < 20_000:
            folder.put([write(entries=entries(last + 1, last + 10))])
            last += 10
    except Fault as error:
        return last, error
    return last, None


@pytest.mark.parametrize("by", ["pages", "file size"])
def test_a_full_disk_loses_nothing_that_was_acknowledged(tmp_path, by):
    def work():
        folder = formed(tmp_path, 10, max_pages=100 if by == "pages" else disk.MAX_DATABASE_PAGES)
        if by == "file size":
            signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
            resource.setrlimit(resource.RLIMIT_FSIZE, (600_000, 600_000))
        last, error = fill(folder)
        (tmp_path.parent / "told").write_text(str(last))
        wanted = faults.DiskFull if by == "pages" else faults.DiskFailed
        return 0 if isinstance(error, wanted) and refuses_all(folder) else 3

    assert in_child(work) == 0
    last = int((tmp_path.parent / "told").read_text())
    assert last > 100
    kept = open_folder(tmp_path).read_stored()[0].entries
    assert kept in (entries(2, last), entries(2, last + 10))


def test_a_failing_snapshot_source_harms_nothing(tmp_path):
    folder = formed(tmp_path, 10)

    def pieces():
        yield bytes(disk.PIECE_BYTES)
        raise KeyError("state")

    with pytest.raises(KeyError):
        run(folder.snapshot(SnapshotBase(5, 1), pieces()))
    folder.put([write(entries=entries(12, 12))])
    assert run(folder.snapshot(SnapshotBase(5, 1), [b"x"])) > 0
    assert folder.read_stored() == (StoredState(1, "", SnapshotBase(5, 1), entries(6, 12)), b"x")


# ---- kills


def busy_member(path, told, seed):
    """Puts groups of entries, each told once it is on disk, with cuts, votes and snapshots between."""
    chance, folder = random.Random(seed), open_folder(path)
    kept = folder.read_stored()[0]
    term, last = kept.term + 1, kept.entries[-1].index if kept.entries else kept.base.index
    own = iter(())
    while True:
        many = chance.choice((1, 1, 8, 64))
        folder.put([write(term, f"g{seed}", entries=entries(last + 1, last + many, term))])
        last += many
        os.write(told, b"%d %d\n" % (last, term))
        if next(own, None) is None and chance.random() < 0.1:
            base = SnapshotBase(last, term, SEATS, last)
            own = (True for _ in folder.snapshot(base, [state(last, 200_000)] * 3))


def test_kills_at_any_moment_lose_nothing_that_was_acknowledged(tmp_path):
    formed(tmp_path).close()
    chance, terms, last = random.Random(30), {1: 1}, 1  # terms: index to the term acknowledged for it
    for number in range(KILLS):
        read, told = os.pipe()
        pid = os.fork()
        if pid == 0:
            try:
                busy_member(tmp_path, told, number)
            finally:
                os._exit(1)
        os.close(told)
        chunks, after = [], chance.randrange(1, 400)  # bytes told before the kill
        while sum(map(len, chunks)) < after and (some := os.read(read, 65536)):
            chunks.append(some)
        os.kill(pid, signal.SIGKILL)
        assert os.WTERMSIG(os.waitpid(pid, 0)[1]) == signal.SIGKILL
        while some := os.read(read, 65536):
            chunks.append(some)
        os.close(read)
        for line in b"".join(chunks).splitlines(keepends=True):
            if line.endswith(b"\n"):
                index, term = map(int, line.split())
                terms.update(dict.fromkeys(range(last + 1, index + 1), term))
                last = index
        folder = open_folder(tmp_path, "g1", "louis")
        kept, data = folder.read_stored()
        folder.close()
        newest = kept.entries[-1].index if kept.entries else kept.base.index
        assert last <= newest <= last + 64 and kept.voted == f"g{number}"
        assert data == (state(1) if kept.base.index == 1 else state(kept.base.index, 200_000) * 3)
        assert terms.get(kept.base.index, kept.base.term) == kept.base.term
        for one in kept.entries:
            assert one == entry(one.index, terms.setdefault(one.index, one.term))
        last = newest
    assert last > KILLS


# ---- stored bytes that changed


@pytest.fixture(scope="module", params=["closed", "killed"])
def stored(request, memory):
    """A folder, the bytes of its files, what it holds."""
    path = memory / request.param

    def work():
        folder = formed(path, 60)
        run(folder.snapshot(SnapshotBase(20, 1, SEATS, 9), [state("own", 9000)]))
        folder.put([write(3, "g2", cut=50, entries=entries(50, 70, 3))])
        if request.param == "closed":
            folder.close()

    assert in_child(work) == 0
    names = [name for name in ("ledger.db", "ledger.db-wal", "epoch") if (path / name).exists()]
    assert len(names) == (2 if request.param == "closed" else 3)
    files = {name: (path / name).read_bytes() for name in names}
    wanted = StoredState(3, "g2", SnapshotBase(20, 1, SEATS, 9), entries(21, 49) + entries(50, 70, 3))
    return Stored(path, files, (wanted, state("own", 9000)))


class Stored:
    def __init__(self, path, files, wanted):
        self.path, self.files, self.wanted = path, files, wanted


def put_back(path, files):
    for name in ("ledger.db-wal", "ledger.db-journal"):
        if name not in files:
            (path / name).unlink(missing_ok=True)
    for name, data in files.items():
        if (path / name).exists():
            overwrite(path / name, data)
        else:
            (path / name).write_bytes(data)


def changed(data, change):
    what, where, length, other = change
    where, other = int(where * len(data)), int(other * len(data))
    match what:
        case "flip":
            return data[:where] + bytes([data[where] ^ (1 << length % 8)]) + data[where + 1 :]
        case "overwrite":
            return data[:where] + bytes([length % 256]) * length + data[where + length :]
        case "cut":
            return data[:where]
        case "remove":
            return data[:where] + data[where + length :]
        case "repeat":
            return data[:where] + data[other : other + length] + data[where:]
        case "page":
            where, other = where // 4096 * 4096, other // 4096 * 4096
            return data[:where] + data[other : other + 4096] + data[where + 4096 :]


share = st.floats(0, 1, exclude_max=True)
CHANGES = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.tuples(
            st.sampled_from(["flip", "flip", "overwrite", "cut", "remove", "repeat", "page"]),
            share | st.floats(0, 0.05),
            st.integers(1, 5000) | st.integers(1, 16),
            share,
        ),
    ),
    min_size=1,
    max_size=3,
)


@settings(max_examples=FUZZ, deadline=None, suppress_health_check=list(HealthCheck))
@given(changes=CHANGES)
def test_changed_bytes_give_the_very_same_or_a_fault(stored, changes):
    path, files, wanted = stored.path, stored.files, stored.wanted
    spoilt = dict(files)
    for which, change in changes:
        name = sorted(files)[which % len(files)]
        if spoilt[name]:
            spoilt[name] = changed(spoilt[name], change)
    put_back(path, spoilt)
    try:
        folder = open_folder(path)
    except Unusable:
        return
    try:
        assert folder.read_stored() == wanted
        folder.put([write(3, "g2", entries=entries(71, 71, 3))])
    finally:
        folder.close()
    with closing(open_folder(path)) as folder:
        assert folder.read_stored()[0].entries == wanted[0].entries + entries(71, 71, 3)


NOTES = {  # (slots that are spoilt, the log of the killed run cut): what comes of it
    "neither": ((), False, None),
    "the newer, all there": ((0,), False, None),
    "the older, all there": ((1,), False, faults.Older),
    "the newer, with the newest commit lost": ((0,), True, faults.Older),
    "both": ((0, 1), False, faults.Damaged),
}


@pytest.mark.parametrize("case", NOTES)
def test_a_spoilt_note_hides_no_loss(tmp_path, case):
    """Each slot may be the one that told of the newest commit; a commit past both notes settles it."""
    slots, lost, wanted = NOTES[case]

    def work():
        folder = formed(tmp_path, 10)
        folder.put([write(entries=entries(12, 13))])

    assert in_child(work) == 0
    if lost:
        os.truncate(tmp_path / "ledger.db-wal", (tmp_path / "ledger.db-wal").stat().st_size - 100)
    spoil_slots(tmp_path, slots)
    if wanted is None:
        assert len(open_folder(tmp_path).read_stored()[0].entries) == 12
    else:
        with pytest.raises(wanted):
            open_folder(tmp_path)


def test_a_kill_between_a_commit_and_its_note_leaves_a_folder_that_can_be_used_again(tmp_path, monkeypatch):
    def work():
        folder = formed(tmp_path, 10)
        monkeypatch.setattr(os, "pwrite", lambda *args: os._exit(5))
        folder.put([write(entries=entries(12, 13))])

    assert in_child(work) == 5
    for _ in range(3):
        assert in_child(lambda: len(open_folder(tmp_path).read_stored()[0].entries)) == 12


def spoil_slots(path, slots):
    data = bytearray((path / "epoch").read_bytes())
    notes = [epoch.unpack_note(data[:512]), epoch.unpack_note(data[512:])]
    newer = 0 if notes[0].seq > notes[1].seq else 1
    for slot in slots:
        data[(newer if slot == 0 else 1 - newer) * 512 + 30] ^= 1
    overwrite(path / "epoch", bytes(data))


def test_a_note_spoilt_by_a_power_cut_is_made_up_for_by_the_commit_it_was_to_tell(tmp_path, monkeypatch):
    def work():
        folder = formed(tmp_path, 10)

        def torn(file, data, at):
            pwrite(file, data[:200] + bytes(312), at)
            os._exit(5)

        pwrite = os.pwrite
        monkeypatch.setattr(os, "pwrite", torn)
        folder.put([write(entries=entries(12, 13))])

    assert in_child(work) == 5
    assert len(open_folder(tmp_path).read_stored()[0].entries) == 12
