"""The folder of a member: acknowledged writes survive any end of the process, and damaged folders are
refused.

LEMONLEAD_DISK_KILLS=200 and LEMONLEAD_DISK_FUZZ=20000 in the environment give long runs."""

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
MEMBERS = {
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


def make_folder(path, held=0, **options):
    folder = open_folder(path, **options)
    folder.form("c1", "g1", SnapshotBase(1, 1, MEMBERS, 5), [state(1)], "louis")
    if held:
        folder.put([write(entries=entries(2, 1 + held))])
    return folder


def exhaust(generator):
    return sum(1 for _ in generator)


def receive_snapshot(folder, base, data, size=300_000):
    for at in range(0, len(data), size):
        folder.receive_chunk(
            SnapshotChunk(
                "c1", "g2", "f2", "g1", "f1", 1, base, at, data[at : at + size], at + size >= len(data)
            )
        )


def run_in_child(work):
    """Calls `work` in a child process, which ends without closing anything, and returns its exit code."""
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
def ram_folder():
    """A folder in memory if the system has one, for tests that depend on bytes but not on syncs."""
    inside = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
    with tempfile.TemporaryDirectory(dir=inside) as path:
        yield Path(path)


# ---- what is stored


def test_new_folder_is_empty_and_keeps_its_id(tmp_path):
    folder = open_folder(tmp_path / "a" / "b")
    assert folder.read_stored() == (StoredState(), None) and folder.cluster == ""
    id = folder.id
    folder.close()
    again, other = open_folder(tmp_path / "a" / "b"), open_folder(tmp_path / "c")
    assert again.id == id != other.id and len(id) == 32


WRITES = {
    "entries": (
        [write(entries=entries(2, 9))],
        StoredState(1, "", SnapshotBase(1, 1, MEMBERS, 5), entries(2, 9)),
    ),
    "a vote": ([write(3, "g2")], StoredState(3, "g2", SnapshotBase(1, 1, MEMBERS, 5), [])),
    "a cut": (
        [write(entries=entries(2, 9)), write(4, "g2", cut=5, entries=entries(5, 6, 4))],
        StoredState(4, "g2", SnapshotBase(1, 1, MEMBERS, 5), entries(2, 4) + entries(5, 6, 4)),
    ),
    "a cut of all": (
        [write(entries=entries(2, 9)), write(2, cut=2)],
        StoredState(2, "", SnapshotBase(1, 1, MEMBERS, 5), []),
    ),
    "a cut past the end": (
        [write(entries=entries(2, 3)), write(1, cut=4, entries=entries(4, 4))],
        StoredState(1, "", SnapshotBase(1, 1, MEMBERS, 5), entries(2, 4)),
    ),
}


@pytest.mark.parametrize("killed", [False, True])
@pytest.mark.parametrize("case", WRITES)
def test_writes_are_kept(tmp_path, case, killed):
    writes, wanted = WRITES[case]

    def work():
        folder = make_folder(tmp_path)
        folder.put(writes)
        assert folder.read_stored() == (wanted, state(1))
        if not killed:
            folder.close()

    assert run_in_child(work) == 0
    folder = open_folder(tmp_path, "g1", "louis")
    assert folder.read_stored() == (wanted, state(1)) and folder.cluster == "c1"


@pytest.mark.parametrize("size", [0, 1, 1000, disk.PIECE_BYTES, 3 * disk.PIECE_BYTES + 5])
def test_puts_between_the_steps_of_an_own_snapshot(tmp_path, size):
    folder, data, base = make_folder(tmp_path, 20), state("own", size), SnapshotBase(15, 1, MEMBERS, 9)
    chunks, index = [data[at : at + 100_001] for at in range(0, size, 100_001)], 22
    for _ in folder.snapshot(base, chunks):
        folder.put([write(entries=[entry(index)])])
        index += 1
    wanted = StoredState(1, "", base, entries(16, index - 1)), data
    assert folder.read_stored() == wanted
    assert folder.db.execute("SELECT min(idx) FROM log").fetchone() == (16,)
    assert folder.read_chunk(SnapshotBase(1, 1, MEMBERS, 5), 0, 10) is None
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
        (SnapshotBase(30, 2, MEMBERS, 9), []),
        (SnapshotBase(10, 1, MEMBERS, 9), entries(11, 21)),
        (SnapshotBase(10, 2, MEMBERS, 9), []),
        (SnapshotBase(21, 1, MEMBERS, 9), []),
    ],
)
def test_received_snapshot_is_in_force_after_its_write(tmp_path, base, stay):
    folder, data = make_folder(tmp_path, 20), state("far", 700_000)
    before = StoredState(1, "", SnapshotBase(1, 1, MEMBERS, 5), entries(2, 21)), state(1)
    receive_snapshot(folder, SnapshotBase(12, 1), b"given up half-way")
    receive_snapshot(folder, base, data)
    assert folder.read_stored() == before and folder.received_snapshot() == data
    folder.put([write(2, base=base)])
    assert exhaust(folder.tidy()) > 0
    following = entries(max(base.index, stay[-1].index if stay else 0) + 1, 40, 2)
    folder.put([write(2, entries=following)])
    wanted = StoredState(2, "", base, stay + following), data
    assert folder.read_stored() == wanted and folder.unneeded_places() == []
    folder.close()
    assert open_folder(tmp_path).read_stored() == wanted


def test_unfinished_snapshot_is_dropped_at_the_next_start(tmp_path):
    folder = make_folder(tmp_path, 20)
    receive_snapshot(folder, SnapshotBase(30, 1), state("far", 700_000))
    own = folder.snapshot(SnapshotBase(15, 1), [state("own", 900_000)])
    next(own), next(own)
    folder.close()
    folder = open_folder(tmp_path)
    assert folder.read_stored() == (
        StoredState(1, "", SnapshotBase(1, 1, MEMBERS, 5), entries(2, 21)),
        state(1),
    )
    assert folder.db.execute("SELECT count(*) FROM piece").fetchone() == (1,)


def test_own_snapshot_older_than_a_received_one_is_dropped(tmp_path):
    folder, base = make_folder(tmp_path, 20), SnapshotBase(30, 1)
    own = folder.snapshot(SnapshotBase(15, 1), [state("own", 900_000)])
    next(own)
    receive_snapshot(folder, base, state("far"))
    folder.put([write(base=base)])
    exhaust(own)
    assert folder.read_stored() == (StoredState(1, "", base, []), state("far"))
    assert folder.db.execute("SELECT count(*) FROM piece").fetchone() == (1,)


def test_covered_entries_are_dropped_in_bounded_steps(tmp_path):
    folder = make_folder(tmp_path, 3 * disk.MAX_DROPPED_ROWS)
    steps, lengths = folder.snapshot(SnapshotBase(3 * disk.MAX_DROPPED_ROWS, 1), [b"x"]), []
    for _ in steps:
        lengths.append(folder.db.execute("SELECT count(*) FROM log").fetchone()[0])
    assert max(one - other for one, other in zip(lengths, lengths[1:], strict=False)) <= disk.MAX_DROPPED_ROWS
    assert lengths[-1] == 1


CALLS = st.lists(
    st.tuples(
        st.sampled_from(["put", "cut", "vote", "own", "receive", "reopen", "die"]),
        st.integers(0, 30),
        st.integers(0, 2),
    ),
    max_size=25,
)


@settings(max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(CALLS)
def test_any_order_of_calls_matches_a_model(ram_folder, calls):
    path = ram_folder / "model"
    shutil.rmtree(path, ignore_errors=True)
    folder = make_folder(path)
    wanted, snapshot = StoredState(1, "", SnapshotBase(1, 1, MEMBERS, 5), []), state(1)
    for number, (call, size, term_step) in enumerate(calls):
        last = wanted.entries[-1].index if wanted.entries else wanted.base.index
        term = wanted.term + term_step
        voted = f"g{size}" if term_step else wanted.voted
        if call == "put":
            more = entries(last + 1, last + size, term)
            folder.put([write(term, voted, entries=more[:3]), write(term, voted, entries=more[3:])])
            wanted = StoredState(term, voted, wanted.base, wanted.entries + more)
        elif call == "cut":
            at = max(wanted.base.index + 1, last - size)
            folder.put([write(term, voted, cut=at, entries=entries(at, at + 1, term))])
            remaining = [one for one in wanted.entries if one.index < at]
            wanted = StoredState(term, voted, wanted.base, remaining + entries(at, at + 1, term))
        elif call == "vote":
            folder.put([write(term, voted)])
            wanted = StoredState(term, voted, wanted.base, wanted.entries)
        elif call == "own" and wanted.entries:
            at = wanted.entries[size % len(wanted.entries)]
            base, snapshot = SnapshotBase(at.index, at.term, MEMBERS, number), state(number, 300 * size)
            exhaust(folder.snapshot(base, [snapshot]))
            remaining = [one for one in wanted.entries if one.index > base.index]
            wanted = StoredState(wanted.term, wanted.voted, base, remaining)
        elif call == "receive":
            base, snapshot = (
                SnapshotBase(last + size + 1, term, MEMBERS, number),
                state(number, 300 * size + 1),
            )
            receive_snapshot(folder, base, snapshot, 2000)
            folder.put([write(term, voted, base=base)])
            wanted = StoredState(term, voted, base, [])
        elif call == "reopen":
            folder.close()
            folder = open_folder(path)
        assert folder.read_stored() == (wanted, snapshot)
    folder.close()
    folder = open_folder(path)
    assert folder.read_stored() == (wanted, snapshot)
    folder.close()


# ---- writes that are refused

CONTRADICTIONS = {
    "a lower term": write(1),
    "a second vote": write(2, "g2"),
    "a withdrawn vote": write(2, ""),
    "a gap": write(2, "g1", entries=entries(14, 15)),
    "an entry twice": write(2, "g1", entries=entries(11, 11)),
    "a lower term in the log": write(2, "g1", entries=[entry(12, 2), entry(13, 1)]),
    "an entry of a higher term": write(2, "g1", entries=entries(12, 12, 3)),
    "a cut into the snapshot": write(2, "g1", cut=1),
    "a base that was not received": write(2, "g1", base=SnapshotBase(40, 1)),
}


@pytest.mark.parametrize("case", CONTRADICTIONS)
def test_contradicting_write_is_refused_with_its_transaction(tmp_path, case):
    folder = make_folder(tmp_path, 10)
    folder.put([write(2, "g1")])
    before = folder.read_stored()
    with pytest.raises(faults.Contradicts):
        folder.put(
            [write(2, "g1", entries=entries(12, 12)), CONTRADICTIONS[case]]
            if "gap" in case
            else [CONTRADICTIONS[case]]
        )
    assert folder.read_stored() == before
    folder.put([write(2, "g1", entries=entries(12, 12))])
    folder.close()
    assert open_folder(tmp_path).read_stored()[0].entries == before[0].entries + entries(12, 12)


def test_chunk_that_does_not_follow_is_refused(tmp_path):
    folder = make_folder(tmp_path)
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


def test_forming_twice_or_writing_before_forming_is_refused(tmp_path):
    folder = open_folder(tmp_path)
    with pytest.raises(faults.Contradicts):
        folder.put([write(entries=entries(1, 1))])
    folder.form("c1", "g1", SnapshotBase(1, 1), [b"x"])
    with pytest.raises(faults.Contradicts):
        folder.form("c2", "g1", SnapshotBase(1, 1), [b"x"])
    assert folder.cluster == "c1"


# ---- folders that are refused


def overwrite(path, data):
    """Writes the file in place, so that it keeps its inode."""
    with open(path, "r+b") as file:
        file.truncate(0)
        file.write(data)


def restore_older_database(path):
    before = (path / "ledger.db").read_bytes()
    folder = open_folder(path)
    folder.put([write(entries=entries(12, 15))])
    folder.close()
    overwrite(path / "ledger.db", before)


def take_from_another_folder(path, *names):
    other = path.parent / "other"
    make_folder(other, 10).close()
    for name in names:
        overwrite(path / name, (other / name).read_bytes())


def copy_folder(path):
    shutil.copytree(path, path.parent / "copy")
    shutil.rmtree(path)
    shutil.copytree(path.parent / "copy", path)


def run_sql(text):
    def damage(path):
        db = sqlite3.connect(path / "ledger.db")
        db.execute(text)
        db.commit()
        db.close()

    return damage


def change_note_format(path):
    note = epoch.unpack_note((path / "epoch").read_bytes())
    overwrite(path / "epoch", epoch.pack_note(replace(note, format=2)) * 2)


def kill_and_lose_log(name):
    """Damages the folder as if a run was killed and its write-ahead log was then lost or truncated."""

    def damage(path):
        def work():
            open_folder(path).put([write(entries=entries(12, 30))])

        assert run_in_child(work) == 0
        log = path / "ledger.db-wal"
        assert log.stat().st_size > 4096
        if name == "lost":
            log.unlink()
        else:
            os.truncate(log, log.stat().st_size - 5000)

    return damage


DAMAGES = {
    "the database is missing": (faults.Damaged, lambda path: (path / "ledger.db").unlink()),
    "the note is missing": (faults.Damaged, lambda path: (path / "epoch").unlink()),
    "the database is empty": (faults.Damaged, lambda path: os.truncate(path / "ledger.db", 0)),
    "the database is truncated": (faults.Damaged, lambda path: os.truncate(path / "ledger.db", 9000)),
    "the note is empty": (faults.Damaged, lambda path: os.truncate(path / "epoch", 0)),
    "the database is not a database": (
        faults.Damaged,
        lambda path: overwrite(path / "ledger.db", b"hello " * 3000),
    ),
    "another program's database": (faults.Foreign, run_sql("PRAGMA application_id=1")),
    "a newer database": (faults.OtherFormat, run_sql("PRAGMA user_version=2")),
    "an older database": (faults.OtherFormat, run_sql("PRAGMA user_version=0")),
    "a newer note": (faults.OtherFormat, change_note_format),
    "an extra table": (faults.Damaged, run_sql("CREATE TABLE more (x)")),
    "a trigger": (
        faults.Damaged,
        run_sql("CREATE TRIGGER t AFTER INSERT ON log BEGIN DELETE FROM log; END"),
    ),
    "an entry lost": (faults.Damaged, run_sql("DELETE FROM log WHERE idx=5")),
    "the last entry lost": (faults.Damaged, run_sql("DELETE FROM log WHERE idx=11")),
    "the first entry lost": (faults.Damaged, run_sql("DELETE FROM log WHERE idx=2")),
    "an extra entry": (
        faults.Damaged,
        run_sql("INSERT INTO log SELECT 12, term, what, moment, wall_ms, data, sum FROM log WHERE idx=11"),
    ),
    "two entries swapped": (
        faults.Damaged,
        run_sql("UPDATE log SET data=(SELECT data FROM log AS o WHERE o.idx=11-log.idx) WHERE idx IN (5, 6)"),
    ),
    "another vote": (faults.Damaged, run_sql("UPDATE head SET body=CAST(replace(body, 'g1', 'g2') AS BLOB)")),
    "no head": (faults.Damaged, run_sql("DELETE FROM head")),
    "two heads": (faults.Damaged, run_sql("INSERT INTO head SELECT 2, body, sum FROM head")),
    "the snapshot lost": (faults.Damaged, run_sql("DELETE FROM piece")),
    "the snapshot changed": (
        faults.Damaged,
        run_sql("UPDATE piece SET data=CAST(x'00' || substr(data, 2) AS BLOB)"),
    ),
    "the snapshot truncated": (faults.Damaged, run_sql("UPDATE piece SET data=substr(data, 1, 500)")),
    "an older database restored": (faults.Older, restore_older_database),
    "the log of a killed run lost": (faults.Older, kill_and_lose_log("lost")),
    "the log of a killed run truncated": (faults.Older, kill_and_lose_log("cut")),
    "another folder's database": (faults.Foreign, lambda path: take_from_another_folder(path, "ledger.db")),
    "another folder's note": (faults.Copied, lambda path: take_from_another_folder(path, "epoch")),
    "a copy of the folder": (faults.Copied, copy_folder),
    "a second database": (
        faults.Foreign,
        lambda path: shutil.copy(path / "ledger.db", path / "ledger (copy).db"),
    ),
}


@pytest.mark.parametrize("case", DAMAGES)
def test_damaged_folder_is_refused(tmp_path, case):
    kind, damage = DAMAGES[case]
    path = tmp_path / "g1"
    make_folder(path, 10).close()
    damage(path)
    for _ in range(2):  # the first attempt has not made it usable
        with pytest.raises(kind) as caught:
            open_folder(path)
        assert isinstance(caught.value, Unusable) and str(tmp_path) in caught.value.says


@pytest.mark.parametrize("names", [("g2", "louis"), ("g1", "ebene")])
def test_folder_of_another_member_or_cluster_is_refused(tmp_path, names):
    make_folder(tmp_path).close()
    with pytest.raises(faults.Foreign, match="g1|louis"):
        open_folder(tmp_path, *names)
    open_folder(tmp_path, "g1", "louis").close()


def test_folder_with_other_files_is_left_unchanged(tmp_path):
    (tmp_path / "thesis.txt").write_text("x")
    with pytest.raises(faults.Foreign, match="thesis"):
        open_folder(tmp_path)
    assert sorted(os.listdir(tmp_path)) == ["lock", "thesis.txt"]


def test_error_names_the_process_that_uses_the_folder(tmp_path):
    read_end, write_end = os.pipe()

    def work():
        folder = open_folder(tmp_path)
        os.write(write_end, b"ready")
        signal.pause()
        folder.close()

    pid = os.fork()
    if pid == 0:
        try:
            work()
        finally:
            os._exit(1)
    try:
        assert select.select([read_end], [], [], 30)[0] and os.read(read_end, 5) == b"ready"
        with pytest.raises(faults.InUse, match=f"process {pid}"):
            open_folder(tmp_path)
        (tmp_path / "lock").unlink()  # the database has a lock of its own
        with pytest.raises(faults.InUse):
            open_folder(tmp_path)
    finally:
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)
        os.close(read_end), os.close(write_end)
    open_folder(tmp_path).close()


def test_unwritable_folder_is_refused(tmp_path):
    (tmp_path / "file").write_text("x")
    path = tmp_path / "mine"
    make_folder(path, 3).close()
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

    assert run_in_child(work) == 7


@pytest.mark.parametrize("step", range(12))
def test_folder_killed_while_created_is_created_again(tmp_path, monkeypatch, step):
    """The process ends before each of the system calls that create the folder, in turn."""

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

    assert run_in_child(work) in (0, 5)
    folder = open_folder(tmp_path)
    folder.form("c1", "g1", SnapshotBase(1, 1), [b"x"])
    assert folder.read_stored() == (StoredState(1, "", SnapshotBase(1, 1), []), b"x")


def test_directory_entries_of_a_new_folder_are_synced(tmp_path, monkeypatch):
    """Without these syncs a power cut after the first acknowledgement could lose the whole folder."""
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


# ---- failing disks


class FailingConnection(sqlite3.Connection):
    """A connection on which the next statement that starts with `broken` fails as on a failing disk."""

    broken = ""

    def execute(self, text, *args):
        if self.broken and text.startswith(self.broken):
            error = sqlite3.OperationalError("disk I/O error")
            error.sqlite_errorcode = sqlite3.SQLITE_IOERR
            FailingConnection.broken = ""  # the same statement would succeed the next time
            raise error
        return super().execute(text, *args)


connect_failing = functools.partial(sqlite3.connect, factory=FailingConnection)


def refuses_all_calls(folder):
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
def test_after_a_failed_write_or_sync_every_call_is_refused(tmp_path, statement):
    def work():
        folder = make_folder(tmp_path, 10, connect=connect_failing)
        FailingConnection.broken = statement
        folder.wal_bytes = disk.CHECKPOINT_BYTES
        try:
            folder.put([write(entries=entries(12, 12))])
        except faults.DiskFailed as error:
            if "disk I/O error" not in error.says or not refuses_all_calls(folder):
                return 3
            folder.close()
            return 0
        return 4

    assert run_in_child(work) == 0
    stored_entries = open_folder(tmp_path).read_stored()[0].entries
    assert stored_entries in (entries(2, 11), entries(2, 12))


def test_failed_write_of_a_note_fails_the_folder(tmp_path, monkeypatch):
    def work():
        folder = make_folder(tmp_path, 10)

        def fails(*args):
            raise OSError(errno.EIO, "Input/output error")

        monkeypatch.setattr(os, "pwrite", fails)
        try:
            folder.put([write(entries=entries(12, 12))])
        except faults.DiskFailed:
            return 0 if refuses_all_calls(folder) else 3

    assert run_in_child(work) == 0
    assert len(open_folder(tmp_path).read_stored()[0].entries) in (10, 11)


def fill(folder):
    """Puts entries until a put fails; returns the index of the last acknowledged entry, and the error."""
    last_acknowledged = 11
    try:
        while last_acknowledged < 20_000:
            folder.put([write(entries=entries(last_acknowledged + 1, last_acknowledged + 10))])
            last_acknowledged += 10
    except Fault as error:
        return last_acknowledged, error
    return last_acknowledged, None


@pytest.mark.parametrize("by", ["pages", "file size"])
def test_full_disk_loses_no_acknowledged_entry(tmp_path, by):
    def work():
        folder = make_folder(tmp_path, 10, max_pages=100 if by == "pages" else disk.MAX_DATABASE_PAGES)
        if by == "file size":
            signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
            resource.setrlimit(resource.RLIMIT_FSIZE, (600_000, 600_000))
        last, error = fill(folder)
        (tmp_path.parent / "acknowledged").write_text(str(last))
        wanted = faults.DiskFull if by == "pages" else faults.DiskFailed
        return 0 if isinstance(error, wanted) and refuses_all_calls(folder) else 3

    assert run_in_child(work) == 0
    last = int((tmp_path.parent / "acknowledged").read_text())
    assert last > 100
    stored_entries = open_folder(tmp_path).read_stored()[0].entries
    assert stored_entries in (entries(2, last), entries(2, last + 10))


def test_error_while_encoding_the_state_harms_nothing(tmp_path):
    folder = make_folder(tmp_path, 10)

    def pieces():
        yield bytes(disk.PIECE_BYTES)
        raise KeyError("state")

    with pytest.raises(KeyError):
        exhaust(folder.snapshot(SnapshotBase(5, 1), pieces()))
    folder.put([write(entries=entries(12, 12))])
    assert exhaust(folder.snapshot(SnapshotBase(5, 1), [b"x"])) > 0
    assert folder.read_stored() == (StoredState(1, "", SnapshotBase(5, 1), entries(6, 12)), b"x")


# ---- kills


def write_until_killed(path, write_end, seed):
    """Puts groups of entries, with votes and snapshots between, and writes the index and term of the last
    entry of each group to the pipe once the group is on disk."""
    rng, folder = random.Random(seed), open_folder(path)
    stored = folder.read_stored()[0]
    term, last = stored.term + 1, stored.entries[-1].index if stored.entries else stored.base.index
    own = iter(())
    while True:
        count = rng.choice((1, 1, 8, 64))
        folder.put([write(term, f"g{seed}", entries=entries(last + 1, last + count, term))])
        last += count
        os.write(write_end, b"%d %d\n" % (last, term))
        if next(own, None) is None and rng.random() < 0.1:
            base = SnapshotBase(last, term, MEMBERS, last)
            own = (True for _ in folder.snapshot(base, [state(last, 200_000)] * 3))


def test_kill_at_any_time_loses_no_acknowledged_entry(tmp_path):
    make_folder(tmp_path).close()
    rng, terms, last = random.Random(30), {1: 1}, 1  # terms: index to the acknowledged term
    for run in range(KILLS):
        read_end, write_end = os.pipe()
        pid = os.fork()
        if pid == 0:
            try:
                write_until_killed(tmp_path, write_end, run)
            finally:
                os._exit(1)
        os.close(write_end)
        chunks, kill_after_bytes = [], rng.randrange(1, 400)  # bytes read from the pipe before the kill
        while sum(map(len, chunks)) < kill_after_bytes and (data := os.read(read_end, 65536)):
            chunks.append(data)
        os.kill(pid, signal.SIGKILL)
        assert os.WTERMSIG(os.waitpid(pid, 0)[1]) == signal.SIGKILL
        while data := os.read(read_end, 65536):
            chunks.append(data)
        os.close(read_end)
        for line in b"".join(chunks).splitlines(keepends=True):
            if line.endswith(b"\n"):
                index, term = map(int, line.split())
                terms.update(dict.fromkeys(range(last + 1, index + 1), term))
                last = index
        folder = open_folder(tmp_path, "g1", "louis")
        stored, snapshot = folder.read_stored()
        folder.close()
        newest = stored.entries[-1].index if stored.entries else stored.base.index
        assert last <= newest <= last + 64 and stored.voted == f"g{run}"
        assert snapshot == (state(1) if stored.base.index == 1 else state(stored.base.index, 200_000) * 3)
        assert terms.get(stored.base.index, stored.base.term) == stored.base.term
        for one in stored.entries:
            assert one == entry(one.index, terms.setdefault(one.index, one.term))
        last = newest
    assert last > KILLS


# ---- changed bytes


@pytest.fixture(scope="module", params=["closed", "killed"])
def stored_folder(request, ram_folder):
    """A folder that was closed or killed, with the bytes of its files and what it holds."""
    path = ram_folder / request.param

    def work():
        folder = make_folder(path, 60)
        exhaust(folder.snapshot(SnapshotBase(20, 1, MEMBERS, 9), [state("own", 9000)]))
        folder.put([write(3, "g2", cut=50, entries=entries(50, 70, 3))])
        if request.param == "closed":
            folder.close()

    assert run_in_child(work) == 0
    names = [name for name in ("ledger.db", "ledger.db-wal", "epoch") if (path / name).exists()]
    assert len(names) == (2 if request.param == "closed" else 3)
    files = {name: (path / name).read_bytes() for name in names}
    wanted = StoredState(3, "g2", SnapshotBase(20, 1, MEMBERS, 9), entries(21, 49) + entries(50, 70, 3))
    return StoredFolder(path, files, (wanted, state("own", 9000)))


class StoredFolder:
    def __init__(self, path, files, wanted):
        self.path, self.files, self.wanted = path, files, wanted


def restore_files(path, files):
    for name in ("ledger.db-wal", "ledger.db-journal"):
        if name not in files:
            (path / name).unlink(missing_ok=True)
    for name, data in files.items():
        if (path / name).exists():
            overwrite(path / name, data)
        else:
            (path / name).write_bytes(data)


def apply_change(data, change):
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


fraction = st.floats(0, 1, exclude_max=True)
CHANGES = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.tuples(
            st.sampled_from(["flip", "flip", "overwrite", "cut", "remove", "repeat", "page"]),
            fraction | st.floats(0, 0.05),
            st.integers(1, 5000) | st.integers(1, 16),
            fraction,
        ),
    ),
    min_size=1,
    max_size=3,
)


@settings(max_examples=FUZZ, deadline=None, suppress_health_check=list(HealthCheck))
@given(changes=CHANGES)
def test_changed_bytes_give_the_same_content_or_a_fault(stored_folder, changes):
    path, files, wanted = stored_folder.path, stored_folder.files, stored_folder.wanted
    damaged = dict(files)
    for which, change in changes:
        name = sorted(files)[which % len(files)]
        if damaged[name]:
            damaged[name] = apply_change(damaged[name], change)
    restore_files(path, damaged)
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


DAMAGED_NOTES = {  # (damaged slots, whether the log of the killed run is truncated, the fault expected)
    "neither": ((), False, None),
    "the newer, all there": ((0,), False, None),
    "the older, all there": ((1,), False, faults.Older),
    "the newer, with the newest commit lost": ((0,), True, faults.Older),
    "both": ((0, 1), False, faults.Damaged),
}


@pytest.mark.parametrize("case", DAMAGED_NOTES)
def test_damaged_note_hides_no_loss(tmp_path, case):
    """Either slot may hold the note of the newest commit. A slot that is lost is assumed to have noted one
    commit more, which the database then has to hold."""
    slots, lost, wanted = DAMAGED_NOTES[case]

    def work():
        folder = make_folder(tmp_path, 10)
        folder.put([write(entries=entries(12, 13))])

    assert run_in_child(work) == 0
    if lost:
        os.truncate(tmp_path / "ledger.db-wal", (tmp_path / "ledger.db-wal").stat().st_size - 100)
    damage_slots(tmp_path, slots)
    if wanted is None:
        assert len(open_folder(tmp_path).read_stored()[0].entries) == 12
    else:
        with pytest.raises(wanted):
            open_folder(tmp_path)


def test_kill_between_a_commit_and_its_note_keeps_it_usable(tmp_path, monkeypatch):
    def work():
        folder = make_folder(tmp_path, 10)
        monkeypatch.setattr(os, "pwrite", lambda *args: os._exit(5))
        folder.put([write(entries=entries(12, 13))])

    assert run_in_child(work) == 5
    for _ in range(3):
        assert run_in_child(lambda: len(open_folder(tmp_path).read_stored()[0].entries)) == 12


def damage_slots(path, slots):
    data = bytearray((path / "epoch").read_bytes())
    notes = [epoch.unpack_note(data[:512]), epoch.unpack_note(data[512:])]
    newer = 0 if notes[0].seq > notes[1].seq else 1
    for slot in slots:
        data[(newer if slot == 0 else 1 - newer) * 512 + 30] ^= 1
    overwrite(path / "epoch", bytes(data))


def test_commit_with_a_torn_note_is_kept(tmp_path, monkeypatch):
    def work():
        folder = make_folder(tmp_path, 10)

        def torn(file, data, at):
            pwrite(file, data[:200] + bytes(312), at)
            os._exit(5)

        pwrite = os.pwrite
        monkeypatch.setattr(os, "pwrite", torn)
        folder.put([write(entries=entries(12, 13))])

    assert run_in_child(work) == 5
    assert len(open_folder(tmp_path).read_stored()[0].entries) == 12
