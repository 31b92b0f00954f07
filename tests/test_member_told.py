"""The settings file of a member: its values, and the place of each fault."""

from pathlib import Path

import pytest

from lemonlead.ledger.faults import Unusable
from lemonlead.ledger.records import ReplicaConfig
from lemonlead.ledger.state import LedgerSettings
from lemonlead.member import member_settings
from lemonlead.member.faults import Unfit

SETTINGS = """cluster: "louis"
member:  "g1"                                  // a new name for a machine that lost its disk
data:    "var/g1"                              // its folder; one process at a time
listen:  "127.0.0.1:7101"
members: {g1: "127.0.0.1:7101", g2: "127.0.0.1:7102", g3: "127.0.0.1:7103"}
clusters: {ebene: ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"]}
"""


def read(tmp_path, text):
    (tmp_path / "g1.cue").write_text(text)
    return member_settings.read(str(tmp_path / "g1.cue"))


def test_documented_example_is_read(tmp_path):
    found = read(tmp_path, SETTINGS)
    assert (found.cluster, found.member, found.listen) == ("louis", "g1", "127.0.0.1:7101")
    assert found.data == tmp_path / "var" / "g1"
    assert found.members == {f"g{n}": f"127.0.0.1:710{n}" for n in (1, 2, 3)}
    assert found.clusters == {"ebene": [f"127.0.0.1:720{n}" for n in (1, 2, 3)]}
    assert found.terms == LedgerSettings()
    wanted = ReplicaConfig("", "", "", 0)
    assert (found.times.election, found.times.heartbeat) == (wanted.election, wanted.heartbeat)
    assert found.bounds == {name: getattr(wanted, name) for name in found.bounds} and found.bounds


def test_times_terms_and_bounds_are_read(tmp_path):
    more = "times: {election: 400ms, heartbeat: 50ms}\nterms: remember: 20m\nbounds: keep: 7\n"
    found = read(tmp_path, SETTINGS + more)
    assert found.times == member_settings.Times(400_000_000, 50_000_000, 3_000_000_000)
    assert found.terms.remember == 1_200_000_000_000 and found.bounds["keep"] == 7


def test_joining_member_need_not_be_listed(tmp_path):
    text = SETTINGS.replace('member:  "g1"', 'member: "g4"').replace(
        'listen:  "127.0.0.1:7101"', 'listen: "127.0.0.1:7104"'
    )
    assert read(tmp_path, text).member == "g4"
    alone = 'cluster: "c"\nmember: "a"\ndata: "/srv/a"\nlisten: "10.1.2.3:80"\n'
    found = read(tmp_path, alone)
    assert (found.members, found.clusters, found.data) == ({}, {}, Path("/srv/a"))


@pytest.mark.parametrize("name", ["g1", "g2", "g3"])
def test_example_files_are_valid(name):
    found = member_settings.read(f"deploy/cluster/{name}.cue")
    assert found.member == name and found.members[name] == found.listen and len(found.members) == 3


FAULTS = [
    ('cluster: "louis"', "", 1, "cluster", ""),
    ('cluster: "louis"', "cluster: 7", 1, "cluster", "int 7"),
    ('member:  "g1"', 'member: "g 1"', 2, "member", '"g 1"'),
    ('data:    "var/g1"', 'data: ""', 3, "data", '""'),
    ("listen:", "hear:", 1, "listen", ""),
    ('listen:  "127.0.0.1:7101"', 'listen: "localhost:7101"', 4, "listen", '"localhost:7101"'),
    ('listen:  "127.0.0.1:7101"', 'listen: "0.0.0.0:7101"', 4, "listen", "0.0.0.0"),
    ('listen:  "127.0.0.1:7101"', 'listen: "8.8.8.8:7101"', 4, "listen", "8.8.8.8"),
    ('listen:  "127.0.0.1:7101"', 'listen: "127.0.0.1"', 4, "listen", '"127.0.0.1"'),
    ('listen:  "127.0.0.1:7101"', 'listen: "127.0.0.1:0"', 4, "listen", '"127.0.0.1:0"'),
    ('listen:  "127.0.0.1:7101"', 'listen: "127.0.0.1:70000"', 4, "listen", "port 70000"),
    ('listen:  "127.0.0.1:7101"', 'listen: "127.0.0.256:7101"', 4, "listen", "127.0.0.256"),
    ('listen:  "127.0.0.1:7101"', 'listen: "127.0.0.1:7109"', 4, "listen", "127.0.0.1:7109"),
    ('member:  "g1"', 'member: "g9"', 2, "member", "g9"),
    ("127.0.0.1:7103", "127.0.0.1:7102", 5, "members.g3", "127.0.0.1:7102"),
    ("127.0.0.1:7103", "10.0.0.3:7103", 5, "members.g3", "10.0.0.3:7103"),
    ("127.0.0.1:7202", "127.0.0.1:7102", 6, "clusters.ebene[1]", "127.0.0.1:7102"),
    ("127.0.0.1:7203", "ebene-3:7203", 6, "clusters.ebene[2]", '"ebene-3:7203"'),
    ("ebene:", "louis:", 6, "clusters.louis[0]", "louis"),
    ("// its folder", "\ntimes: heartbeat: 500ms //", 4, "times.heartbeat", "500000000ns"),
    ("// its folder", "\ntimes: stale: 500ms //", 4, "times.stale", "500000000ns"),
    ("// its folder", "\ntimes: election: 1h //", 4, "times.election", "3600"),
    ("// its folder", "\nterms: remember: 5m //", 4, "terms.remember", "300"),
    ("// its folder", "\nterms: cold_share: 1.5 //", 4, "terms.cold_share", "1.5"),
    ("// its folder", "\nterms: lease: 10 //", 4, "terms.lease", "10"),
    ("// its folder", "\nbounds: keep: -1 //", 4, "bounds.keep", "-1"),
    ("// its folder", "\nbounds: in_fligth: 2 //", 4, "bounds.in_fligth", ""),
]


@pytest.mark.parametrize("old, new, line, path, found", FAULTS)
def test_invalid_file_is_refused_with_the_place(tmp_path, old, new, line, path, found):
    assert old in SETTINGS
    with pytest.raises(Unfit) as caught:
        read(tmp_path, SETTINGS.replace(old, new, 1))
    fault = caught.value.faults[0]
    assert (fault.place.line, fault.path) == (line, path) and found in fault.found
    assert fault.place.column >= 1 and fault.allowed
    assert isinstance(caught.value, Unusable) and f"g1.cue:{line}:" in caught.value.says


def test_all_faults_are_reported_at_once(tmp_path):
    text = (
        SETTINGS.replace("127.0.0.1:7101", "a:1").replace("127.0.0.1:7203", "b:1")
        + "times: heartbeat: 900ms\n"
    )
    with pytest.raises(Unfit) as caught:
        read(tmp_path, text)
    paths = [fault.path for fault in caught.value.faults]
    assert paths == ["listen", "members.g1", "clusters.ebene[2]", "times.heartbeat"]
    assert "and 3 more" in caught.value.says


@pytest.mark.parametrize("count, allowed", [(9, True), (10, False)])
def test_number_of_members_is_bounded(tmp_path, count, allowed):
    listed = ", ".join(f'g{n}: "127.0.0.1:{7100 + n}"' for n in range(1, count + 1))
    text = SETTINGS.replace(SETTINGS.splitlines()[4], "members: {" + listed + "}")
    if allowed:
        assert len(read(tmp_path, text).members) == count
    else:
        with pytest.raises(Unfit, match="9 at most"):
            read(tmp_path, text)


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"cluster: ", b'include "none.cue"\n', b"{" * 5000])
def test_unreadable_bytes_are_refused(tmp_path, data):
    (tmp_path / "g1.cue").write_bytes(data)
    with pytest.raises(Unfit):
        member_settings.read(str(tmp_path / "g1.cue"))
    with pytest.raises(Unfit):
        member_settings.read(str(tmp_path / "missing.cue"))
