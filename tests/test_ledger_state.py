"""Tests of the state machine: commands, remembered ids, snapshots and membership. The sums are checked
against the independent implementation in `standins.promises`."""

import time

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonlead import json_brackets
from lemonlead.distribution.records import check_gateway_name, check_scope_name
from lemonlead.distribution.store import check_record
from lemonlead.ledger import capacity, entries, followers, membership, names, state
from lemonlead.ledger.faults import Senseless
from lemonlead.ledger.records import COMMAND, MEMBERS, ConfiguredMember, Entry
from lemonlead.standins import promises

LEDGER = state.Ledger(
    {**capacity.RULES, **entries.RULES, **followers.RULES, **membership.RULES},
    {**capacity.KINDS, **entries.KINDS, **followers.KINDS, **membership.KINDS},
    followers.INNER,
)
SECOND = 1_000_000_000


def entry(before, data, moment=None, what=COMMAND):
    moment = before.moment + SECOND if moment is None else moment
    return Entry(before.index + 1, 1, what, moment, 1000 * (before.index + 1), data)


def apply(before, *, at=None, id=None, **command):
    """Applies a command. Returns the new state and its Applied."""
    id = id or f"c/{before.index}"
    return LEDGER.apply(before, entry(before, msgspec.json.encode({"id": id, **command}), at))


def state_after(*commands):
    """Returns a state after these commands, which must succeed."""
    current = state.State()
    for command in commands:
        current, applied = apply(current, **command)
        assert applied.code == 200, applied
    return current


def node(name, units=10, site="s"):
    return {"kind": "node", "node": name, "site": site, "units": units}


def reserve(name, units, **where):
    return {"kind": "reserve", "reservation": name, "service": "parts", "units": units, **where}


def gang(name, units, *nodes, ends_ms=0):
    return {"kind": "gang", "gang": name, "nodes": list(nodes), "units": units, "ends_ms": ends_ms}


def report(name, what):
    return {"kind": "report", "node": name, "state": what}


FLEET = [node("a"), node("b"), node("c", site="t")]


@pytest.mark.parametrize(
    "before, command, code, says",
    [
        ([], reserve("r", 20, site="s"), 200, ""),
        ([], reserve("r", 21, site="s"), 409, "20 units free"),
        ([], reserve("r", 10, nodes=["a", "b"]), 200, ""),
        ([], reserve("r", 11, nodes=["a", "b"]), 409, "10 units free"),
        ([], reserve("r", 1), 400, "nodes or site"),
        ([], reserve("r", 1, site="s", nodes=["a"]), 400, "nodes or site"),
        ([], reserve("r", 1, nodes=["a", "a"]), 400, "twice"),
        ([], reserve("r", 1, nodes=["z"]), 409, "no node z"),
        ([reserve("r", 15, site="s")], reserve("q", 6, nodes=["a"]), 409, "5 units free"),
        ([reserve("r", 1, site="s")], reserve("r", 1, site="s"), 409, "stands already"),
        ([report("b", "failed")], reserve("r", 11, site="s"), 409, "10 units free"),
        ([report("b", "failed")], reserve("r", 1, nodes=["b"]), 409, "0 units free"),
        ([reserve("r", 15, site="s")], node("a", 4), 409, "5 units free"),
        ([reserve("r", 5, nodes=["a"])], node("a", 4), 409, "5 units are promised"),
        ([], node("a", 5, site="t"), 409, "is at site s"),
        ([], gang("g", 5, "a", "b"), 200, ""),
        ([], gang("g", 11, "a", "b"), 409, "10 units free"),
        ([gang("g", 1, "a")], gang("g", 1, "a"), 409, "runs already"),
        ([report("a", "catching_up")], gang("g", 1, "a"), 409, "catching_up"),
        ([], {"kind": "gang_end", "gang": "g"}, 409, "no gang"),
        ([], {"kind": "free", "reservation": "r"}, 409, "no reservation"),
        ([], {"kind": "group", "group": "q", "nodes": ["a", "b"], "quorum": 3}, 400, "quorum of 3"),
        ([], {"kind": "group", "group": "q", "nodes": ["a", "z"], "quorum": 1}, 409, "no node z"),
        ([], report("z", "failed"), 409, "no node z"),
        ([], report("a", "asleep"), 400, "state"),
        ([], {"kind": "forgotten", "gateway": "g", "since": 1}, 200, ""),
        ([], {"kind": "remove", "member": "m1"}, 409, "no member"),
        ([], {"kind": "add", "member": "m1", "address": "127.0.0.1:1"}, 409, "nobody waits"),
    ],
)
def test_a_command_is_done_or_refused_without_changes(before, command, code, says):
    first = state_after(*FLEET, *before)
    after, applied = apply(first, **command)
    assert applied.code == code and says in str(applied.body.get("error", ""))
    assert (after.parts == first.parts) == (code != 200 or command["kind"] == "forgotten")
    assert not promises.faults(promises.plain(after)) and not promises.over(promises.plain(after))


def test_a_node_that_returns_is_cold_for_the_configured_time():
    current = state_after(*FLEET, report("a", "failed"), report("a", "serving"))
    row = current.part("nodes")["a"]
    assert row.warm == current.moment + current.settings.cold
    assert capacity.usable_units(row, current.moment, current.settings) == 5
    assert capacity.usable_units(row, row.warm, current.settings) == 10


@pytest.mark.parametrize("out, later, free", [("", 0, 20), ("d", 0, 5), ("d", 6_250_000_000, 10)])
def test_cold_nodes_count_with_their_share_during_a_drain(out, later, free):
    current = state_after(*FLEET, report("a", "failed"), report("a", "serving"))
    transaction = state.Transaction(current, entry(current, b"", current.moment + later))
    capacity.change_node(transaction, "b", out=out)
    assert capacity.site_free(transaction, "s") == free
    with pytest.raises(capacity.Refused, match=f"{free} units free"):
        capacity.take_site(transaction, "s", free + 1)
    with pytest.raises(capacity.Refused, match="units free"):
        capacity.take_nodes(transaction, ("a",), min(free, 10) + 1)
    capacity.take_site(transaction, "s", free)


def test_a_cordoned_node_takes_only_gangs_that_end_in_time():
    current = state_after(*FLEET)
    transaction = state.Transaction(current, entry(current, b""))
    capacity.change_node(transaction, "a", cordon_ms=50_000)
    capacity.gang(transaction, capacity.GangCommand(gang="early", nodes=("a",), units=1, ends_ms=50_000))
    for ends_ms in (0, 50_001):
        with pytest.raises(capacity.Refused, match="to go for a drain"):
            capacity.gang(
                transaction, capacity.GangCommand(gang="late", nodes=("a",), units=1, ends_ms=ends_ms)
            )


def test_a_repeated_id_gets_its_answer_until_it_expires():
    first = state_after(*FLEET)
    second, done = apply(first, id="x", **reserve("r", 20, site="s"))
    third, again = apply(second, id="x", **reserve("other", 1, site="t"))
    assert again.repeat and again.body == done.body and third.parts == second.parts
    late, _ = apply(third, at=third.moment + third.settings.remember, **node("d"))
    fourth, done_again = apply(late, id="x", **reserve("r", 20, site="s"))
    assert not done_again.repeat and done_again.code == 409
    assert fourth.answers["x"].code == 409


@pytest.mark.parametrize("part", ["services", "service_pages"])
def test_the_service_index_matches_the_records_and_is_not_polled(part):
    current, applied = apply(state_after(*FLEET), **reserve("r", 1, site="s"))
    assert part in current.parts and part not in {one for one, _ in applied.changes}
    assert not promises.faults(promises.plain(current))
    assert promises.faults({**promises.plain(current), part: {}})


def test_a_refusal_is_remembered():
    first, refused = apply(state_after(*FLEET), id="x", **reserve("r", 21, site="s"))
    grown, _ = apply(first, **node("d"))
    _, again = apply(grown, id="x", **reserve("r", 21, site="s"))
    assert again.code == 409 and again.body == refused.body


def test_remembered_ids_do_not_grow_with_time():
    current = state_after(*FLEET)
    for n in range(300):
        current, _ = apply(
            current, at=current.moment + current.settings.remember // 10, id=f"n{n}", **report("a", "serving")
        )
    assert len(current.answers) <= 12 and len(current.order) == len(current.answers)


def test_ledger_time_never_runs_backwards():
    current = state_after(*FLEET)
    after, _ = apply(current, at=5, **node("d"))
    assert after.moment == current.moment


def test_a_fast_wall_clock_is_corrected_by_the_next_leader():
    current = state_after(*FLEET)
    ahead, _ = LEDGER.apply(current, Entry(current.index + 1, 1, COMMAND, current.moment, 1 << 50, b"{}"))
    quiet, _ = LEDGER.apply(ahead, Entry(ahead.index + 1, 2, 0, current.moment, 0, b""))
    after, _ = LEDGER.apply(quiet, Entry(quiet.index + 1, 2, COMMAND, current.moment, 7000, b"{}"))
    assert (quiet.wall_ms, after.wall_ms, after.moment) == (1 << 50, 7000, current.moment)


def test_a_removed_member_name_is_never_used_again():
    current = state_after(*FLEET)
    for seats in (
        {"m1": ConfiguredMember("h:1", "f1"), "m2": ConfiguredMember("h:2", "f2")},
        {"m1": ConfiguredMember("h:1", "f1")},
    ):
        current, _ = LEDGER.apply(current, entry(current, msgspec.json.encode(seats), what=MEMBERS))
    assert current.part("members")["m2"].gone
    for member, folder, says in (
        ("m2", "f9", "was a member once"), ("m1", "f9", "is a member"), ("m3", "f2", "another member's"),
    ):  # fmt: skip
        _, applied = apply(current, kind="add", member=member, address="127.0.0.1:9", folder=folder)
        assert applied.code == 409 and says in applied.body["error"]["says"]
    current, applied = apply(current, kind="add", member="m3", address="127.0.0.1:9", folder="f3")
    assert applied.code == 200
    _, second = apply(current, kind="add", member="m4", address="127.0.0.1:9", folder="f4")
    assert second.code == 409 and "still being seated" in second.body["error"]["says"]
    seats = {"m1": ConfiguredMember("h:1", "f1"), "m3": ConfiguredMember("h:9", "f3", False)}
    current, _ = LEDGER.apply(current, entry(current, msgspec.json.encode(seats), what=MEMBERS))
    assert not current.part("seating")


@pytest.mark.parametrize(
    "data",
    [b"", b"{", b"[]", b'{"kind":"node"}', b'{"kind":"nothing","id":"a"}', b"\xff\xfe",
     b'{"kind":"node","id":7}',
     b'{"id":"a","kind":"node","node":"a","site":"s","units":1,"more":2}', b"[" * 100_000,
     b'{"id":"a","kind":"node","node":"' + b"a" * 300_000 + b'","site":"s","units":1}',
     b'{"id":"","kind":"gang_end","gang":"g"}', b'{"id":"a","kind":"forgotten","gateway":"g","since":1}'],
)  # fmt: skip
def test_invalid_commands_are_rejected_before_the_log(data):
    with pytest.raises(Senseless):
        LEDGER.read(data, outside=True)


NAMES = st.sampled_from(["a", "b", "c", "d"])
SOME = st.lists(NAMES, min_size=1, max_size=3, unique=True)
JOBS = st.sampled_from(["a", "a/b", "a//b", "a/b/c", "ab", "parts/a"])
FEW = st.integers(0, 12)
COMMANDS = st.one_of(
    st.builds(node, NAMES, FEW, st.sampled_from(["s", "t"])),
    st.builds(lambda n, u, s: reserve(n, u, site=s), NAMES, FEW, st.sampled_from(["s", "t"])),
    st.builds(lambda n, u, on: reserve(n, u, nodes=on), NAMES, FEW, SOME),
    st.builds(lambda n: {"kind": "free", "reservation": n}, NAMES),
    st.builds(lambda n, u, on: gang(n, u, *on), JOBS, FEW, SOME),
    st.builds(lambda n: {"kind": "gang_end", "gang": n}, JOBS),
    st.builds(lambda n, on: {"kind": "group", "group": n, "nodes": on, "quorum": 1}, JOBS, SOME),
    st.builds(report, NAMES, st.sampled_from(["serving", "catching_up", "drained", "failed"])),
    st.builds(lambda n: {"kind": "follow", "gateway": n}, NAMES),
    st.builds(lambda n: {"kind": "unfollow", "gateway": n}, NAMES),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(COMMANDS, max_size=40), st.integers(0, 40))
def test_sums_and_snapshots_are_right_after_any_commands(commands, cut):
    """A failed node may leave more promised than there is; a reservation may not."""
    current, short = state.State(), False
    for n, command in enumerate(commands):
        before = current
        current, applied = apply(current, **command)
        parts = promises.plain(current)
        assert not promises.faults(parts)
        transaction = state.Transaction(current, entry(current, b""))
        for site in current.part("sites"):
            rows = [row for row in current.part("nodes").values() if row.site == site and capacity.up(row)]
            cold = sum(
                row.units - capacity.usable_units(row, current.moment, current.settings) for row in rows
            )
            assert capacity.unavailable_cold_units(transaction, site) >= cold
        if command["kind"] == "report":
            short = bool(promises.over(parts))
        elif command["kind"] == "reserve" and applied.code == 200 and not applied.repeat:
            assert not promises.over(parts) or short
        if n == cut:
            read = LEDGER.whole(b"".join(LEDGER.pieces(current)))
            assert read == current
            current = read
        assert current.index == before.index + 1


@given(st.binary(max_size=200), st.data())
@settings(max_examples=200, deadline=None)
def test_a_damaged_snapshot_is_refused_or_reads_as_a_state(noise, data):
    whole = b"".join(LEDGER.pieces(state_after(*FLEET, reserve("r", 3, site="s"))))
    at = data.draw(st.integers(0, len(whole)))
    for spoilt in (whole[:at], whole[:at] + noise, noise + whole[at:]):
        try:
            read = LEDGER.whole(spoilt)
        except ValueError:
            continue
        assert isinstance(read, state.State)


def test_a_leader_waits_for_followers_until_their_lease_expires():
    current = state_after(*FLEET, {"kind": "follow", "gateway": "g1"}, {"kind": "follow", "gateway": "g2"})
    known, patience = followers.Followers(), current.settings.lease + current.settings.grace
    known.became_leader(100)
    assert known.waited_for(100, current, 5) == ["g1", "g2"]
    known.polled(200, "g1", 5)
    assert known.waited_for(300, current, 5) == ["g2"]
    assert known.next(99 + patience, current) is None
    assert known.waited_for(100 + patience, current, 5) == []
    assert known.next(100 + patience, current).gateway == "g2"
    known.became_leader(150 + patience)
    assert known.waited_for(160 + patience, current, 5) == ["g1", "g2"]


def test_a_new_follower_of_an_old_leader_gets_its_full_lease():
    known, patience = followers.Followers(), state.DEFAULT_SETTINGS.lease + state.DEFAULT_SETTINGS.grace
    known.became_leader(100)
    first = state_after({"kind": "follow", "gateway": "g1"})
    late = 100 + 10 * patience
    assert known.next(late, first) is None and known.waited_for(late, first, 5) == ["g1"]
    assert known.next(late + patience, first).gateway == "g1"


def test_following_again_resets_what_was_acknowledged():
    first = state_after({"kind": "follow", "gateway": "g1"})
    again = state_after({"kind": "follow", "gateway": "g1"}, {"kind": "follow", "gateway": "g1"})
    known = followers.Followers()
    known.polled(100, "g1", 9, first.part("followers")["g1"].since)
    assert known.waited_for(200, first, 5) == []
    assert known.waited_for(300, again, 5) == ["g1"]
    known.polled(400, "g1", 7, again.part("followers")["g1"].since)
    assert known.waited_for(500, again, 5) == []


def test_a_gateway_that_followed_again_is_not_dropped():
    current = state_after({"kind": "follow", "gateway": "g1"}, {"kind": "follow", "gateway": "g1"})
    after, _ = apply(current, id="z", kind="forgotten", gateway="g1", since=1)
    assert after.part("followers")["g1"].since == 2


Greeting = membership.Greeting


@pytest.mark.parametrize(
    "me, greetings, what",
    [
        ("g1", {"g1": Greeting("g1", "f1")}, membership.WAIT),
        ("g1", {"g1": Greeting("g1", "f1"), "g2": Greeting("g2", "f2")}, membership.FORM),
        ("g2", {"g1": Greeting("g1", "f1"), "g2": Greeting("g2", "f2")}, membership.WAIT),
        ("g1", {"g1": Greeting("g1", "f1"), "g2": Greeting("g2", "f2", "louis")}, membership.STAY_OUT),
        ("g1", {"g1": Greeting("g1", "f1"), "g2": Greeting("other", "f2")}, membership.STAY_OUT),
        ("g1", {"g1": Greeting("g1", "f1"), "g2": Greeting("g2", "f2", joins=True)}, membership.STAY_OUT),
    ],
)
def test_a_cluster_forms_only_from_empty_folders(me, greetings, what):
    assert membership.to_form(me, {"g1": "h:1", "g2": "h:2"}, greetings)[0] == what


@pytest.mark.parametrize(
    "folder, joins, name, fits",
    [("f1", False, "g1", True), ("f9", False, "g1", False), ("f1", False, "g9", False), 
     ("f3", True, "g3", True), ("f3", False, "g3", False), ("f9", True, "g3", False)],
)  # fmt: skip
def test_a_folder_joins_only_a_membership_that_names_it(folder, joins, name, fits):
    _, base = membership.formed(
        {"g1": ConfiguredMember("h:1", "f1"), "g3": ConfiguredMember("h:3", "f3")}, state.LedgerSettings()
    )
    assert (membership.may_join(folder, joins, {"g1": "h:1"}, name, base) == "") == fits


# ---- entries, which gateways receive by scope


def put(value, scope="svc-1", key="i0", **more):
    return {"kind": "entry", "scope": scope, "key": key, "value": value, **more}


def test_setting_and_dropping_an_entry_has_the_index_of_the_change():
    current, applied = apply(state_after(put({"state": "up"})), **put({"state": "draining"}))
    row = entries.EntryRow({"state": "draining"}, 2)
    assert dict(current.part("entries")) == {"svc-1 i0": row} and applied.body == {"at": 2}
    assert applied.changes == {("entries", "svc-1 i0"): row}
    current, applied = apply(current, **put(None))
    assert not current.part("entries") and applied.changes == {("entries", "svc-1 i0"): None}


@pytest.mark.parametrize("before, value, changes", [
    ({"a": 1}, {"a": 1}, False), ({"a": 1}, {"a": True}, True), ({"a": 1}, {"a": 1.0}, True),
    ({"a": [1]}, {"a": [1, 2]}, True), (None, None, False), ({}, None, True), (None, {}, True),
])  # fmt: skip
def test_an_entry_changes_only_if_its_bytes_do(before, value, changes):
    first = state_after(*([put(before)] if before is not None else []))
    after, applied = apply(first, **put(value))
    assert applied.code == 200 and bool(applied.changes) == changes
    assert (after.parts != first.parts) == changes


@pytest.mark.parametrize("command, says", [
    (put({}, scope="two words"), "scope"), (put({}, key="two words"), "key"), (put({}, key=""), "key"),
    (put({}, scope="s" * 101), "scope"), (put([]), "value"), (put("text"), "value"), (put(7), "value"),
    ({"kind": "entry", "scope": "s", "key": "k"}, "value"),
    (put({"a": "x" * entries.MAX_VALUE_BYTES}), f"{entries.MAX_VALUE_BYTES} are the most"),
    (put({"a": [[]] * 3, "b": {}}, more=1), "more"),
])  # fmt: skip
def test_an_invalid_entry_changes_nothing(command, says):
    first = state_after(put({"state": "up"}))
    after, applied = apply(first, **command)
    assert applied.code == 400 and says in str(applied.body) and after.parts == first.parts


def test_a_name_with_a_line_end_is_invalid():
    """Guards against a record that no relay can read: it refuses the change for ever, and tells no later
    one."""
    named = [
        put({}, key="instance/s-2\n"),
        put({}, scope="svc-1\n"),
        {"kind": "node", "node": "n1\n", "site": "a", "units": 1},
        {"kind": "follow", "gateway": "g1\n"},
    ]
    for command in named:
        with pytest.raises(Senseless):
            LEDGER.read(msgspec.json.encode({"id": "c/1", **command}), outside=True)


@pytest.mark.parametrize("made, ended", [
    (put({"a": 1}, key="instance/s-2\n"), put(None, key="instance/s-2\n")),
    ({"kind": "follow", "gateway": "g1\n"}, {"kind": "unfollow", "gateway": "g1\n"}),
    (node("n1\n"), report("n1\n", "failed")),
])  # fmt: skip
def test_a_stored_name_with_a_line_end_stays_as_it_was_and_can_be_ended(made, ended):
    """Guards against members that apply a committed command differently, and a bad record that nobody can
    drop."""
    current = state_after(made)
    command = LEDGER.read(msgspec.json.encode({"id": "c/2", **ended}), outside=True)
    after, applied = apply(current, **msgspec.to_builtins(command) | {"id": "c/2"})
    assert applied.code == 200 and after.parts != current.parts


@given(st.text(alphabet="aZ9_.:/-\n\r \x00é", max_size=4), st.integers(0, 101))
def test_each_name_that_a_member_takes_is_a_name_to_its_readers(text, length):
    name = text + "a" * (length - len(text)) if length > 90 else text
    gateway = {"kind": "follow", "gateway": name}
    assert is_taken(gateway) == is_taken(put({}, key=name)) == names.is_name(name)
    assert is_taken(put({}, scope=name)) == (names.is_name(name) or not name)
    if is_taken(gateway):
        assert check_gateway_name(name, "gateway") == check_scope_name(name, "scope") == name
        assert check_record(name, name, 1, {}, 1)


def is_taken(command):
    try:
        return bool(LEDGER.read(msgspec.json.encode({"id": "c/1", **command}), outside=True))
    except Senseless:
        return False


def test_a_late_unfollow_leaves_the_successor_of_its_gateway():
    """Guards against a permit cleared while the successor may still send: the call of the process before,
    held up on its way, ends the stay of the one that has followed since."""
    follow = {"kind": "follow", "gateway": "g1"}
    current = state_after(follow, follow)
    after, applied = apply(current, kind="unfollow", gateway="g1", since=1)
    assert applied.code == 200 and after.part("followers")["g1"].since == 2


@pytest.mark.parametrize("depth, code", [(state.MAX_NESTING, 200), (state.MAX_NESTING + 1, 400), (5000, 400)])
def test_the_nesting_limit_does_not_depend_on_the_stack(depth, code):
    value = b'{"a":' * (depth - 1) + b"1" + b"}" * (depth - 1)
    data = b'{"id":"d","kind":"entry","scope":"s","key":"k","value":' + value + b"}"
    current = state.State()
    _, applied = LEDGER.apply(current, entry(current, data))
    assert applied.code == code and ("nested" in str(applied.body)) == (code == 400)


def test_brackets_in_strings_and_siblings_are_not_nesting():
    text = put({"a": "[{" * 500 + '"' + "\\", "b": [[]] * 500})
    _, applied = apply(state.State(), **text)
    assert applied.code == 200


REPEATED = [b'"', b'\\"', b'"\\', b"[", b'["', b'{"a":', b"[]", b'"{', b"\\", b'{"\\""']


@pytest.mark.parametrize("part", REPEATED)
@pytest.mark.parametrize("start", [b"", b'{"', b'{"id":"x","kind":"entry","value":"' + b"{" * 101])
def test_time_to_read_a_command_is_linear_in_its_length(start, part):
    """Guards against a command that was cut short, which kept a member from answering anything: each quote in
    a string without an end was tried as the start of one, 41 s for 64 KiB."""
    data = (start + part * state.MAX_COMMAND_BYTES)[: state.MAX_COMMAND_BYTES]
    began = time.thread_time()
    with pytest.raises(Senseless):
        LEDGER.read(data, outside=True)
    assert time.thread_time() - began < 0.2


@given(st.lists(st.sampled_from([b'"', b"\\", b"{", b"}", b"[", b"]", b"a", b"\n"])).map(b"".join))
def test_brackets_are_found_outside_of_strings_alone(text):
    depth = deepest = at = 0
    while at < len(text):
        end = at + 1
        while text[at : at + 1] == b'"' and end < len(text) and text[end : end + 1] != b'"':
            end += 2 if text[end : end + 1] == b"\\" else 1
        if text[at : at + 1] == b'"' and end < len(text):
            at = end + 1  # behind a whole string; a quote without an end is passed over alone
            continue
        depth += (text[at : at + 1] in (b"{", b"[")) - (text[at : at + 1] in (b"}", b"]"))
        deepest, at = max(deepest, depth), at + 1
    assert (json_brackets.net_nesting(text), json_brackets.nesting_depth(text)) == (depth, deepest)


def test_the_number_of_entries_is_bounded(monkeypatch):
    monkeypatch.setattr(entries, "MAX_ENTRIES", 2)
    full = state_after(put({}), put({}, key="i1"))
    after, applied = apply(full, **put({}, scope=""))
    assert applied.code == 409 and "entries holds 2" in str(applied.body) and after.parts == full.parts
    assert apply(full, **put({"a": 1}))[1].code == 200 == apply(full, **put(None))[1].code


def test_entries_survive_a_snapshot():
    current = state_after(
        put({"weight": 1.0, "big": 10**30, "names": ["ä", None]}), put({}, scope="", key="rules")
    )
    again = LEDGER.whole(b"".join(LEDGER.pieces(current)))
    assert again.part("entries") == current.part("entries") and set(current.part("entries")) == {
        "svc-1 i0",
        " rules",
    }
