"""Members as real processes on loopback: checks what `docs/cluster.md` says of their HTTP interface, and that
a cluster survives kills, pauses, failed disks and lost machines."""

import asyncio
import json
import random
import resource
import threading
import time

import pytest

from lemonlead.member import http_server, run
from lemonlead.member.http_server import COMMAND_TIMEOUT_SECONDS
from lemonlead.standins.members import Cluster, until


@pytest.fixture(scope="module")
def module_cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("louis")) as cluster:
        cluster.start()
        yield cluster


@pytest.fixture
def cluster(module_cluster):
    """A cluster of three members, all of which run and follow one leader."""
    module_cluster.healthy()
    return module_cluster


def declare_node(cluster, number, **more):
    """Sends a command that is acknowledged, and returns (its fields, its answer)."""
    fields = dict(id=f"t/{number}", kind="node", node=f"n{number}", site="s", units=number, **more)
    code, answer = cluster.run_command(**fields)
    assert code == 200, answer
    return fields, answer


def all_hold_the_same(cluster, part):
    """Whether all members hold the same records of this part, by their local state."""
    states = [cluster.ask(name, "GET", f"/v1/state/{part}?read=local")[1] for name in cluster.initial_members]
    return all((state["at"], state["items"]) == (states[0]["at"], states[0]["items"]) for state in states)


def run_with_changed_settings(cluster, capsys, replacements):
    """Starts a member with a changed settings file that it cannot use, and returns (exit code, its message).
    `replacements`: old text to new text."""
    path = cluster.write_settings("g1")
    changed = path.read_text()
    for old, new in replacements.items():
        assert old in changed
        changed = changed.replace(old, new)
    path = path.with_name("changed.cue")
    path.write_text(changed)
    code = run.main(str(path))
    output = capsys.readouterr()
    assert output.out == "" and len(output.err.strip().splitlines()) == 1 and ";" in output.err
    return code, output.err


# ---- commands that cannot be read


def test_command_that_was_cut_short_holds_no_member_up(cluster):
    """Guards against a script that asks each member in turn with a document cut in the middle: each was busy
    with it for over a minute and answered nothing, its peers included."""
    routes = json.dumps([{"route": f"r{number}", "zones": ["a", "b"]} for number in range(5000)])
    value = {"document": json.dumps({"routes": routes})}
    data = json.dumps({"id": "t/cut", "kind": "entry", "scope": "s", "key": "k", "value": value}).encode()
    for name in cluster.initial_members:
        began = time.monotonic()
        code, answer = cluster.ask(name, "POST", "/v1/commands", data[: 200 * 1024])
        assert code == 400 and time.monotonic() - began < COMMAND_TIMEOUT_SECONDS, answer
    declare_node(cluster, 900)


# ---- normal operation


def test_cluster_forms_once_and_members_agree(cluster):
    leader, statuses = cluster.wait_leader(), [cluster.status(name) for name in cluster.initial_members]
    assert {one["cluster"] for one in statuses} == {"louis"} and len({one["term"] for one in statuses}) == 1
    assert sorted(one["role"] for one in statuses) == ["follower", "follower", "leader"]
    roles = {name: "leader" if name == leader else "follower" for name in cluster.initial_members}
    assert all(one["members"] == roles for one in statuses)
    until(
        lambda: all(cluster.status(name)["bears"] == 1 for name in cluster.initial_members),
        "the cluster tolerates one loss",
    )
    ids = {cluster.ask(name, "GET", "/peer/hello")[1]["cluster"] for name in cluster.initial_members}
    assert len(ids) == 1

    def cluster_ids(path):  # a member that has just lost its leader answers 503
        return {cluster.ask(name, "GET", path)[1].get("cluster_id") for name in cluster.initial_members}

    for path in ("/v1/state/nodes", "/v1/state/nodes?read=local", "/v1/events?after=0"):
        until(lambda path=path: cluster_ids(path) == ids, f"{path} has the cluster's id")
    assert cluster.run_command(id="of/1", kind="unfollow", gateway="nobody")[1]["cluster_id"] in ids
    until(
        lambda: all(cluster.ask(name, "GET", "/readyz")[0] == 200 for name in cluster.initial_members),
        "all are ready",
    )


def test_pages_of_a_part_hold_each_record_once(monkeypatch):
    """Guards against a page that leaves a record out, or never ends."""
    monkeypatch.setattr(http_server, "PAGE_BYTES", 40)
    rows, found, after = {f"n{n}": {"units": n * 10**n} for n in range(12)}, {}, None
    while after != "":
        items, after = asyncio.run(http_server.encode_page(rows, after or ""))
        page = json.loads(items)
        assert page and found.keys().isdisjoint(page)
        found |= page
    assert found == rows and asyncio.run(http_server.encode_page({}, "")) == (b"{}", "")


def test_a_part_can_be_read_by_pages(cluster):
    name = cluster.wait_leader()
    whole = cluster.ask(name, "GET", "/v1/state/members")[1]["items"]
    last = max(whole)
    assert cluster.ask(name, "GET", "/v1/state/members?page_after=")[1]["items"] == whole
    page = cluster.ask(name, "GET", f"/v1/state/members?page_after={last}")[1]
    assert (page["items"], page["next_page"]) == ({}, "")


def test_repeated_command_gets_the_same_answer_from_any_member(cluster):
    answers = {}
    for number, name in enumerate(cluster.initial_members, 100):
        command = dict(id=f"any/{number}", kind="node", node=f"any{number}", site="any", units=number)
        answers[number] = cluster.command(name, **command)
        assert answers[number][0] == 200
        repeats = [cluster.command(other, **command) for other in cluster.initial_members]
        assert repeats == [answers[number]] * 3
        for other in cluster.initial_members:
            assert cluster.items(other, "nodes")[f"any{number}"]["units"] == number
    indices = [answer["at"] for _, answer in answers.values()]
    assert indices == sorted(set(indices))
    refused = dict(id="any/no", kind="reserve", reservation="r", service="x", units=10**6, site="any")
    code, answer = cluster.command("g1", **refused)
    assert code == 409 and answer["outcome"] == "refused" and answer["error"]["type"] == "Refused"
    assert [cluster.command(name, **refused) for name in cluster.initial_members] == [(code, answer)] * 3


def test_local_reads_have_an_age_and_events_are_in_order(cluster):
    before = cluster.status("g1")["applied"]
    answers = [declare_node(cluster, number)[1]["at"] for number in (201, 202, 203)]
    for name in cluster.initial_members:
        code, answer = cluster.ask(name, "GET", f"/v1/events?after={before}")
        while answer["at"] < answers[-1]:  # a follower may lag a heartbeat behind
            code, more = cluster.ask(name, "GET", f"/v1/events?after={answer['at']}")
            answer = {**more, "events": answer["events"] + more["events"]}
        rows = [
            (e["index"], c["key"]) for e in answer["events"] for c in e["changes"] if c["part"] == "nodes"
        ]
        assert code == 200 and rows == list(zip(answers, ["n201", "n202", "n203"], strict=True))
        code, answer = cluster.ask(name, "GET", "/v1/state/nodes?read=local")
        assert code == 200 and 0 <= answer["age_ms"] < 5000 and answer["items"]["n203"]["units"] == 203
    for path, kept in ((f"/v1/events?after={before}", True), ("/v1/events?after=0", False)):
        code, answer = cluster.ask("g1", "GET", f"{path}&parts=nodes,permits")
        parts = {c["part"] for e in answer["events"] for c in e["changes"]} if kept else {*answer["whole"]}
        assert code == 200 and parts == {"nodes"}
    began = time.monotonic()
    code, answer = cluster.ask("g1", "GET", "/v1/events?after=1000000")
    assert (code, answer["events"]) == (200, []) and 1 < time.monotonic() - began < 10


def test_gateway_can_poll_events_at_any_member(cluster):
    code, followed = cluster.run_command(id="gw/1", kind="follow", gateway="gw1")
    assert code == 200
    at = cluster.status(cluster.wait_leader())["applied"]
    for name in cluster.initial_members:
        path = f"/v1/events?after={at - 1}&gateway=gw1&since={followed['at']}"
        code, answer = cluster.ask(name, "GET", path)
        assert code == 200 and answer["at"] >= at and answer["leader"] == cluster.wait_leader()


BAD = [
    (b"", "Senseless"),
    (b"\xff\xfe", "Senseless"),
    (b"[]", "Senseless"),
    (b"{}", "Senseless"),
    (b"[" * 100_000, "Senseless"),
    (b'{"id": "x", "kind": "nothing"}', "Senseless"),
    (b'{"id": "", "kind": "free", "reservation": "r"}', "Senseless"),
    (b'{"id": "x", "kind": "free"}', "Senseless"),
    (b'{"id": "x", "kind": "free", "reservation": "r", "more": 1}', "Senseless"),
    (b'{"id": 1, "kind": "node", "node": "n", "site": "s", "units": 1}', "Senseless"),
    (b'{"id": "x", "kind": "node", "node": "n", "site": "s", "units": 1e99}', "Senseless"),
    (b'{"id": "x", "kind": "add", "member": [], "address": 1}', "Senseless"),
    (b'{"id": "x", "kind": "forgotten", "gateway": "g", "since": 1}', "Senseless"),
    (b'{"id": "x", "kind": "free", "reservation": "' + b"r" * 300_000 + b'"}', "Senseless"),
]


@pytest.mark.parametrize("body, kind", BAD, ids=[str(body[:60]) for body, _ in BAD])
def test_invalid_command_gets_400(cluster, body, kind):
    code, answer = cluster.ask("g2", "POST", "/v1/commands", body)
    assert (
        code == 400 and answer["error"]["type"] == kind and answer["error"]["says"] and answer["error"]["do"]
    )


@pytest.mark.parametrize(
    "method, path, code",
    [
        ("GET", "/v1/state/nothing", 400),
        ("GET", "/v1/state/nodes?read=old", 400),
        ("GET", "/v1/events?after=-1", 400),
        ("GET", "/v1/events?after=" + "9" * 30, 400),
        ("GET", "/v1/events?after=%C2%B2", 400),
        ("GET", "/v1/events?after=1&gateway=g&since=x", 400),
        ("GET", "/v1/events?after=1&parts=nodes,nothing", 400),
        ("GET", "/v1/events?after=1&parts=", 400),
        ("GET", "/v1/events?after=1&gateway=" + "g" * 200, 400),
        ("GET", "/nothing", 404),
        ("POST", "/v1/status", 405),
        ("POST", "/peer/form", 409),
    ],
)
def test_invalid_calls_get_an_error_status(cluster, method, path, code):
    assert cluster.ask("g1", method, path)[0] == code


def test_corrupt_bodies_change_nothing(cluster):
    """Bodies that are truncated, have changed bytes, or belong to another call are answered, and the cluster
    keeps working."""
    import msgspec

    from lemonlead.ledger import records

    rng, leader = random.Random(30), cluster.wait_leader()
    term = cluster.status(leader)["term"]
    good = msgspec.msgpack.encode(
        [records.AppendEntries("c", leader, "seal", "g1", "seal", term + 5, 3, 1, [], 9, 1)] * 3
    )
    command = json.dumps(dict(id="fuzz/1", kind="node", node="fuzz", site="s", units=1)).encode()
    for _ in range(150):
        for path, data in (("/peer/messages", good), ("/peer/form", good), ("/v1/commands", command)):
            bad = bytearray(data[: rng.randrange(len(data))])
            for _ in range(rng.randrange(4)):
                if bad:
                    bad[rng.randrange(len(bad))] = rng.randrange(256)
            assert cluster.ask("g1", "POST", path, bytes(bad))[0] in (200, 204, 400, 409)
    assert cluster.ask("g1", "POST", "/peer/messages", good, headers={"X-CRC32": "00000000"})[0] == 400
    assert cluster.status(cluster.wait_leader())["term"] == term
    declare_node(cluster, 301)


# ---- unusable settings, folder or address


@pytest.mark.parametrize(
    "replacements, expected",
    [
        ({}, "held by process"),
        ({'data: "': 'data: "/dev/null/'}, "/dev/null"),
        ({'cluster: "louis"': 'cluster: "ebene'}, ":1:"),
    ],
)
def test_unusable_settings_or_folder_exit_with_2_and_one_line(cluster, capsys, replacements, expected):
    code, message = run_with_changed_settings(cluster, capsys, replacements)
    assert code == 2 and expected in message


def test_address_in_use_exits_with_2(cluster, tmp_path, capsys):
    replacements = {json.dumps(str(cluster.data("g1"))): json.dumps(str(tmp_path / "new"))}
    code, message = run_with_changed_settings(cluster, capsys, replacements)
    assert code == 2 and cluster.listens["g1"] in message and "free" in message


# ---- failures


def test_acknowledged_commands_survive_the_leader(cluster):
    declared = [declare_node(cluster, number) for number in range(400, 410)]
    leader = cluster.wait_leader()
    cluster.kill(leader)
    after = cluster.wait_leader(other_than=leader)
    nodes = cluster.items(after, "nodes")
    assert all(nodes[fields["node"]]["units"] == fields["units"] for fields, _ in declared)
    assert [cluster.run_command(**fields) for fields, _ in declared] == [
        (200, answer) for _, answer in declared
    ]
    until(lambda: cluster.status(after)["bears"] == 0, "the cluster tolerates no further loss")
    cluster.start(leader)
    until(lambda: cluster.status(after).get("bears") == 1, "the member is back")
    until(
        lambda: (cluster.items(leader, "nodes", local=True) or {}).keys() >= nodes.keys(), "it has all nodes"
    )


def test_acknowledged_commands_survive_a_kill_of_all_members(cluster):
    declared = [declare_node(cluster, number) for number in range(500, 505)]
    before = {name: cluster.ask(name, "GET", "/peer/hello")[1] for name in cluster.initial_members}
    cluster.kill(*cluster.initial_members)
    cluster.start()
    cluster.wait_leader()
    assert {name: cluster.ask(name, "GET", "/peer/hello")[1] for name in cluster.initial_members} == before
    assert [cluster.run_command(**fields) for fields, _ in declared] == [
        (200, answer) for _, answer in declared
    ]
    nodes = until(lambda: cluster.items("g1", "nodes"), "g1 knows the leader")
    assert nodes.keys() >= {fields["node"] for fields, _ in declared}
    for part in ("nodes", "sites", "members", "followers"):
        until(lambda part=part: all_hold_the_same(cluster, part), f"all members have the same {part}")


def test_paused_leader_serves_no_stale_read(cluster):
    """Reads that arrive while the leader is paused are answered from what has been committed since."""
    leader = cluster.wait_leader()
    cluster.pause(leader)
    answers = []
    readers = [
        threading.Thread(target=lambda: answers.append(cluster.ask(leader, "GET", "/v1/state/nodes")))
        for _ in range(8)
    ]
    for reader in readers:
        reader.start()
    other = next(name for name in cluster.initial_members if name != leader)
    began = time.monotonic()
    passed_on = cluster.command(other, id="paused/1", kind="node", node="paused", site="s", units=1)
    assert passed_on[0] == 200 or passed_on[1]["outcome"] in ("unknown", "not done")
    assert (
        time.monotonic() - began < COMMAND_TIMEOUT_SECONDS
    )  # it is answered as soon as the leader is known to be lost
    after = cluster.wait_leader(other_than=leader)
    fields, _ = declare_node(cluster, 600)
    assert cluster.run_command(id="paused/1", kind="node", node="paused", site="s", units=1)[0] == 200
    cluster.resume(leader)
    answers.append(cluster.ask(leader, "GET", "/v1/state/nodes"))
    for reader in readers:
        reader.join(30)
    assert len(answers) == 9
    assert all(code == 503 or fields["node"] in answer["items"] for code, answer in answers)
    cluster.wait_status(leader, role="follower", leader=after)


def test_leader_with_a_failed_disk_gives_up_leadership(cluster):
    fields, _ = declare_node(cluster, 650)
    leader = cluster.wait_leader()
    resource.prlimit(cluster.processes[leader].pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
    code, answer = cluster.command(leader, id="full/1", kind="node", node="full", site="s", units=1)
    assert code in (200, 503)  # 200: another leader has done it by then
    after = cluster.wait_leader(other_than=leader)
    until(lambda: "its disk failed" in cluster.status(leader).get("reason", ""), "the status says why")
    assert cluster.ask(leader, "GET", "/readyz")[0] == 503
    assert cluster.run_command(id="full/1", kind="node", node="full", site="s", units=1)[0] == 200
    assert cluster.items(after, "nodes").keys() >= {fields["node"], "full"}
    until(lambda: cluster.status(after)["bears"] == 0, "the member counts as lost")
    cluster.kill(leader)
    cluster.start(leader)
    until(lambda: cluster.status(after).get("bears") == 1, "the member is back")


def test_sigterm_hands_over_leadership(cluster):
    """No client has to wait for an election: the longest pause between answers to a client is bounded."""
    declare_node(cluster, 670)
    leader, done, longest_pause_s = cluster.wait_leader(), threading.Event(), [0.0]

    def write():
        number, last = 0, time.monotonic()
        while not done.is_set():
            other = next(name for name in cluster.initial_members if name != leader)
            fields = dict(kind="report", node="n670", state="serving")
            if cluster.command(other, id=f"over/{number}", **fields)[0] == 200:
                longest_pause_s[0] = max(longest_pause_s[0], time.monotonic() - last)
                number, last = number + 1, time.monotonic()

    writer = threading.Thread(target=write)
    writer.start()
    try:
        assert cluster.stop(leader) == 0
        cluster.wait_leader(other_than=leader)
        cluster.run_command(id="over/end", kind="report", node="n670", state="serving")
    finally:
        done.set()
        writer.join(30)
    hand_overs = [line for line in cluster.lines(leader) if 'event="handed over"' in line]
    assert hand_overs and f"to={leader}" not in hand_overs[0] and "event=stopped" in cluster.lines(leader)[-1]
    assert 0 < longest_pause_s[0] < 10


def test_wiped_member_stays_outside_and_rejoins_under_a_new_name(cluster):
    leader = cluster.wait_leader()
    lost = next(name for name in cluster.initial_members if name != leader)
    fields, _ = declare_node(cluster, 700)
    cluster.kill(lost)
    cluster.wipe(lost)
    cluster.start(lost)
    answer = cluster.wait_status(lost, role="outside")
    until(lambda: "does not know this folder" in cluster.status(lost)["reason"], "the status says why")
    assert answer["committed"] == 0 and cluster.ask(lost, "GET", "/readyz")[0] == 503
    code, answer = cluster.command(lost, **fields)
    assert (code, answer["outcome"], answer["error"]["type"]) == (503, "not done", "Outside")
    until(lambda: cluster.status(cluster.wait_leader())["bears"] == 0, "the member counts as lost")

    cluster.assign_addresses("g4")
    address = cluster.addresses["g4"]
    not_running = cluster.run_command(id="add/0", kind="add", member="g4", address=address)
    assert not_running[0] == 409 and "--join" in not_running[1]["error"]["do"]
    cluster.start("g4", join=True)
    assert cluster.status("g4")["role"] == "outside"
    assert cluster.run_command(id="add/1", kind="add", member="g4", address=address)[0] == 200
    cluster.wait_status("g4", role="follower")
    assert cluster.items("g4", "nodes").keys() >= {fields["node"]}
    remove = dict(kind="remove", member=lost)
    until(
        lambda: cluster.run_command(id=f"gone/{time.monotonic()}", **remove)[0] == 200,
        "the member is removed",
    )
    until(lambda: cluster.status(cluster.wait_leader())["bears"] == 1, "the cluster tolerates a loss again")
    cluster.kill(lost)
    assert cluster.items("g4", "members")[lost]["gone"]
    again = cluster.run_command(id="add/2", kind="add", member=lost, address=cluster.addresses[lost])
    assert again[0] == 409 and "was a member once" in again[1]["error"]["says"]
    cluster.initial_members = sorted({*cluster.initial_members, "g4"} - {lost})


def test_member_added_after_all_first_ones_left_catches_up(tmp_path):
    """The new member starts with the first snapshot, which lists only members that have left. It has to
    answer members that it does not know."""
    with Cluster(tmp_path) as cluster:
        cluster.start().wait_leader()
        for old, new in (("g1", "g4"), ("g2", "g5"), ("g3", "g6")):
            cluster.start(new, join=True)
            code, answer = cluster.run_command(
                id=f"add/{new}", kind="add", member=new, address=cluster.addresses[new]
            )
            assert code == 200, answer
            until(lambda new=new: cluster.status(new).get("role") in ("follower", "leader"), f"{new} votes")
            code, answer = cluster.run_command(id=f"remove/{old}", kind="remove", member=old, address="")
            assert code == 200, answer
            until(lambda old=old, new=new: old not in cluster.status(new)["members"], f"{old} has left")
            cluster.kill(old)
        declare_node(cluster, 7)
        cluster.start("g7", join=True)
        code, answer = cluster.run_command(
            id="add/g7", kind="add", member="g7", address=cluster.addresses["g7"]
        )
        assert code == 200, answer
        until(lambda: cluster.status("g7").get("role") == "follower", lambda: f"{cluster.status('g7')}")
        assert "n7" in cluster.items("g7", "nodes", local=True)
