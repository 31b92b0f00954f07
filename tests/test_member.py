"""Members as whole programs on loopback: what the page of the outside promises of them."""

import json
import random
import resource
import threading
import time

import pytest

from lemonlead.member import run
from lemonlead.member.http_server import COMMAND_TIMEOUT_SECONDS
from lemonlead.standins.members import Cluster, until


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("louis")) as cluster:
        cluster.start()
        yield cluster


@pytest.fixture
def trio(running):
    """Three members, all of which run and follow one leader."""
    running.healthy()
    return running


def declare(cluster, number, **more):
    """A command that was acknowledged, as (its fields, its answer)."""
    fields = dict(id=f"t/{number}", kind="node", node=f"n{number}", site="s", units=number, **more)
    code, told = cluster.done(**fields)
    assert code == 200, told
    return fields, told


def alike(cluster, part):
    """Whether all members hold the same, each as it has it."""
    states = [cluster.ask(name, "GET", f"/v1/state/{part}?read=local")[1] for name in cluster.forming]
    return all((state["at"], state["items"]) == (states[0]["at"], states[0]["items"]) for state in states)


def spoiled(cluster, capsys, text):
    """How a member ends that is started with a file changed like this: (exit code, what it said)."""
    path = cluster.settings("g1")
    changed = path.read_text()
    for old, new in text.items():
        assert old in changed
        changed = changed.replace(old, new)
    path = path.with_name("spoiled.cue")
    path.write_text(changed)
    code = run.main(str(path))
    said = capsys.readouterr()
    assert said.out == "" and len(said.err.strip().splitlines()) == 1 and ";" in said.err
    return code, said.err


# ---- a cluster that works


def test_it_forms_once_and_every_member_tells_the_same(trio):
    leader, told = trio.wait_leader(), [trio.status(name) for name in trio.forming]
    assert {one["cluster"] for one in told} == {"louis"} and len({one["term"] for one in told}) == 1
    assert sorted(one["role"] for one in told) == ["follower", "follower", "leader"]
    roles = {name: "leader" if name == leader else "follower" for name in trio.forming}
    assert all(one["members"] == roles for one in told)
    until(lambda: all(trio.status(name)["bears"] == 1 for name in trio.forming), "one loss is borne")
    ids = {trio.ask(name, "GET", "/peer/hello")[1]["cluster"] for name in trio.forming}
    assert len(ids) == 1

    def named(path):  # a member that has just lost its leader answers 503
        return {trio.ask(name, "GET", path)[1].get("cluster_id") for name in trio.forming}

    for path in ("/v1/state/nodes", "/v1/state/nodes?read=local", "/v1/events?after=0"):
        until(lambda path=path: named(path) == ids, f"{path} tells the cluster's id")
    assert trio.done(id="of/1", kind="unfollow", gateway="nobody")[1]["cluster_id"] in ids
    until(lambda: all(trio.ask(name, "GET", "/readyz")[0] == 200 for name in trio.forming), "all are ready")


def test_any_member_answers_and_a_repeat_elsewhere_gets_the_same(trio):
    answers = {}
    for number, name in enumerate(trio.forming, 100):
        command = dict(id=f"any/{number}", kind="node", node=f"any{number}", site="any", units=number)
        answers[number] = trio.command(name, **command)
        assert answers[number][0] == 200
        repeats = [trio.command(other, **command) for other in trio.forming]
        assert repeats == [answers[number]] * 3
        for other in trio.forming:
            assert trio.items(other, "nodes")[f"any{number}"]["units"] == number
    indices = [told["at"] for _, told in answers.values()]
    assert indices == sorted(set(indices))
    refused = dict(id="any/no", kind="reserve", reservation="r", service="x", units=10**6, site="any")
    code, told = trio.command("g1", **refused)
    assert code == 409 and told["outcome"] == "refused" and told["error"]["type"] == "Refused"
    assert [trio.command(name, **refused) for name in trio.forming] == [(code, told)] * 3


def test_local_reads_tell_their_age_and_events_come_in_order(trio):
    before = trio.status("g1")["applied"]
    answers = [declare(trio, number)[1]["at"] for number in (201, 202, 203)]
    for name in trio.forming:
        code, told = trio.ask(name, "GET", f"/v1/events?after={before}")
        while told["at"] < answers[-1]:  # a follower may lag a heartbeat behind
            code, more = trio.ask(name, "GET", f"/v1/events?after={told['at']}")
            told = {**more, "events": told["events"] + more["events"]}
        rows = [(e["index"], c["key"]) for e in told["events"] for c in e["changes"] if c["part"] == "nodes"]
        assert code == 200 and rows == list(zip(answers, ["n201", "n202", "n203"], strict=True))
        code, told = trio.ask(name, "GET", "/v1/state/nodes?read=local")
        assert code == 200 and 0 <= told["age_ms"] < 5000 and told["items"]["n203"]["units"] == 203
    for path, kept in ((f"/v1/events?after={before}", True), ("/v1/events?after=0", False)):
        code, told = trio.ask("g1", "GET", f"{path}&parts=nodes,permits")
        parts = {c["part"] for e in told["events"] for c in e["changes"]} if kept else {*told["whole"]}
        assert code == 200 and parts == {"nodes"}
    began = time.monotonic()
    code, told = trio.ask("g1", "GET", "/v1/events?after=1000000")
    assert (code, told["events"]) == (200, []) and 1 < time.monotonic() - began < 10


def test_a_gateways_call_for_events_counts_at_the_leader_from_any_member(trio):
    code, followed = trio.done(id="gw/1", kind="follow", gateway="gw1")
    assert code == 200
    at = trio.status(trio.wait_leader())["applied"]
    for name in trio.forming:
        path = f"/v1/events?after={at - 1}&gateway=gw1&since={followed['at']}"
        code, told = trio.ask(name, "GET", path)
        assert code == 200 and told["at"] >= at and told["leader"] == trio.wait_leader()


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
def test_a_command_that_makes_no_sense_is_told_so(trio, body, kind):
    code, told = trio.ask("g2", "POST", "/v1/commands", body)
    assert code == 400 and told["error"]["type"] == kind and told["error"]["says"] and told["error"]["do"]


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
def test_calls_that_there_are_not(trio, method, path, code):
    assert trio.ask("g1", method, path)[0] == code


def test_garbled_bytes_from_peers_and_clients_change_nothing(trio):
    """Cut short, flipped, repeated, foreign: each is answered, and the cluster goes on."""
    import msgspec

    from lemonlead.ledger import records

    chance, leader = random.Random(30), trio.wait_leader()
    term = trio.status(leader)["term"]
    good = msgspec.msgpack.encode(
        [records.AppendEntries("c", leader, "seal", "g1", "seal", term + 5, 3, 1, [], 9, 1)] * 3
    )
    command = json.dumps(dict(id="fuzz/1", kind="node", node="fuzz", site="s", units=1)).encode()
    for _ in range(150):
        for path, data in (("/peer/messages", good), ("/peer/form", good), ("/v1/commands", command)):
            bad = bytearray(data[: chance.randrange(len(data))])
            for _ in range(chance.randrange(4)):
                if bad:
                    bad[chance.randrange(len(bad))] = chance.randrange(256)
            assert trio.ask("g1", "POST", path, bytes(bad))[0] in (200, 204, 400, 409)
    assert trio.ask("g1", "POST", "/peer/messages", good, headers={"X-CRC32": "00000000"})[0] == 400
    assert trio.status(trio.wait_leader())["term"] == term
    declare(trio, 301)


# ---- what cannot be used


@pytest.mark.parametrize(
    "text, says",
    [
        ({}, "held by process"),
        ({'data: "': 'data: "/dev/null/'}, "/dev/null"),
        ({'cluster: "louis"': 'cluster: "ebene'}, ":1:"),
    ],
)
def test_settings_and_folders_that_cannot_be_used_end_it_with_2_and_one_line(trio, capsys, text, says):
    code, said = spoiled(trio, capsys, text)
    assert code == 2 and says in said


def test_an_address_that_is_taken_ends_it_with_2(trio, tmp_path, capsys):
    text = {json.dumps(str(trio.data("g1"))): json.dumps(str(tmp_path / "new"))}
    code, said = spoiled(trio, capsys, text)
    assert code == 2 and trio.listens["g1"] in said and "free" in said


# ---- what fails


def test_what_was_acknowledged_outlives_the_leader(trio):
    said = [declare(trio, number) for number in range(400, 410)]
    leader = trio.wait_leader()
    trio.kill(leader)
    after = trio.wait_leader(other_than=leader)
    nodes = trio.items(after, "nodes")
    assert all(nodes[fields["node"]]["units"] == fields["units"] for fields, _ in said)
    assert [trio.done(**fields) for fields, _ in said] == [(200, told) for _, told in said]
    until(lambda: trio.status(after)["bears"] == 0, "no further loss is borne")
    trio.start(leader)
    until(lambda: trio.status(after).get("bears") == 1, "it is back")
    until(lambda: (trio.items(leader, "nodes", local=True) or {}).keys() >= nodes.keys(), "it has all of it")


def test_all_killed_at_once_come_back_with_all_that_was_acknowledged(trio):
    said = [declare(trio, number) for number in range(500, 505)]
    before = {name: trio.ask(name, "GET", "/peer/hello")[1] for name in trio.forming}
    trio.kill(*trio.forming)
    trio.start()
    trio.wait_leader()
    assert {name: trio.ask(name, "GET", "/peer/hello")[1] for name in trio.forming} == before
    assert [trio.done(**fields) for fields, _ in said] == [(200, told) for _, told in said]
    nodes = until(lambda: trio.items("g1", "nodes"), "g1 knows the leader as well")
    assert nodes.keys() >= {fields["node"] for fields, _ in said}
    for part in ("nodes", "sites", "members", "followers"):
        until(lambda part=part: alike(trio, part), f"all have the same {part}")


def test_a_leader_that_was_stopped_serves_no_stale_read(trio):
    """Reads that reached it while it stood still are answered from what has been committed since."""
    leader = trio.wait_leader()
    trio.pause(leader)
    answers = []
    readers = [
        threading.Thread(target=lambda: answers.append(trio.ask(leader, "GET", "/v1/state/nodes")))
        for _ in range(8)
    ]
    for reader in readers:
        reader.start()
    other = next(name for name in trio.forming if name != leader)
    began = time.monotonic()
    passed = trio.command(other, id="paused/1", kind="node", node="paused", site="s", units=1)
    assert passed[0] == 200 or passed[1]["outcome"] in ("unknown", "not done")
    assert time.monotonic() - began < COMMAND_TIMEOUT_SECONDS  # as soon as the leader is known to be gone
    after = trio.wait_leader(other_than=leader)
    fields, _ = declare(trio, 600)
    assert trio.done(id="paused/1", kind="node", node="paused", site="s", units=1)[0] == 200
    trio.resume(leader)
    answers.append(trio.ask(leader, "GET", "/v1/state/nodes"))
    for reader in readers:
        reader.join(30)
    assert len(answers) == 9
    assert all(code == 503 or fields["node"] in told["items"] for code, told in answers)
    trio.wait_status(leader, role="follower", leader=after)


def test_a_leader_whose_disk_fails_gives_leadership_up_and_acknowledges_nothing(trio):
    fields, _ = declare(trio, 650)
    leader = trio.wait_leader()
    resource.prlimit(trio.processes[leader].pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
    code, told = trio.command(leader, id="full/1", kind="node", node="full", site="s", units=1)
    assert code in (200, 503)  # 200: another leader has done it by then
    after = trio.wait_leader(other_than=leader)
    until(lambda: "its disk failed" in trio.status(leader).get("reason", ""), "it says why")
    assert trio.ask(leader, "GET", "/readyz")[0] == 503
    assert trio.done(id="full/1", kind="node", node="full", site="s", units=1)[0] == 200
    assert trio.items(after, "nodes").keys() >= {fields["node"], "full"}
    until(lambda: trio.status(after)["bears"] == 0, "it counts as lost")
    trio.kill(leader)
    trio.start(leader)
    until(lambda: trio.status(after).get("bears") == 1, "it is back")


def test_sigterm_hands_leadership_over(trio):
    """No client waits for an election: the longest pause of one that goes on asking is short of it."""
    declare(trio, 670)
    leader, done, longest = trio.wait_leader(), threading.Event(), [0.0]

    def write():
        number, last = 0, time.monotonic()
        while not done.is_set():
            other = next(name for name in trio.forming if name != leader)
            fields = dict(kind="report", node="n670", state="serving")
            if trio.command(other, id=f"over/{number}", **fields)[0] == 200:
                longest[0] = max(longest[0], time.monotonic() - last)
                number, last = number + 1, time.monotonic()

    writer = threading.Thread(target=write)
    writer.start()
    try:
        assert trio.stop(leader) == 0
        trio.wait_leader(other_than=leader)
        trio.done(id="over/end", kind="report", node="n670", state="serving")
    finally:
        done.set()
        writer.join(30)
    handed = [line for line in trio.lines(leader) if 'event="handed over"' in line]
    assert handed and f"to={leader}" not in handed[0] and "event=stopped" in trio.lines(leader)[-1]
    assert 0 < longest[0] < 10


def test_a_wiped_machine_stays_outside_and_comes_back_under_a_new_name(trio):
    leader = trio.wait_leader()
    lost = next(name for name in trio.forming if name != leader)
    fields, _ = declare(trio, 700)
    trio.kill(lost)
    trio.wipe(lost)
    trio.start(lost)
    told = trio.wait_status(lost, role="outside")
    until(lambda: "does not know this folder" in trio.status(lost)["reason"], "it says why")
    assert told["committed"] == 0 and trio.ask(lost, "GET", "/readyz")[0] == 503
    code, told = trio.command(lost, **fields)
    assert (code, told["outcome"], told["error"]["type"]) == (503, "not done", "Outside")
    until(lambda: trio.status(trio.wait_leader())["bears"] == 0, "it counts as lost")

    trio.place("g4")
    address = trio.addresses["g4"]
    nobody = trio.done(id="add/0", kind="add", member="g4", address=address)
    assert nobody[0] == 409 and "--join" in nobody[1]["error"]["do"]
    trio.start("g4", join=True)
    assert trio.status("g4")["role"] == "outside"
    assert trio.done(id="add/1", kind="add", member="g4", address=address)[0] == 200
    trio.wait_status("g4", role="follower")
    assert trio.items("g4", "nodes").keys() >= {fields["node"]}
    gone = dict(kind="remove", member=lost)
    until(lambda: trio.done(id=f"gone/{time.monotonic()}", **gone)[0] == 200, "it is removed")
    until(lambda: trio.status(trio.wait_leader())["bears"] == 1, "the loss is made up for")
    trio.kill(lost)
    assert trio.items("g4", "members")[lost]["gone"]
    again = trio.done(id="add/2", kind="add", member=lost, address=trio.addresses[lost])
    assert again[0] == 409 and "was a member once" in again[1]["error"]["says"]
    trio.forming = sorted({*trio.forming, "g4"} - {lost})


def test_one_that_is_seated_after_all_the_first_are_gone_finds_those_of_now(tmp_path):
    """It begins with the first snapshot, whose members are no more, and has to answer those that it has not
    heard of there."""
    with Cluster(tmp_path) as cluster:
        cluster.start().wait_leader()
        for old, new in (("g1", "g4"), ("g2", "g5"), ("g3", "g6")):
            cluster.start(new, join=True)
            code, told = cluster.done(id=f"add/{new}", kind="add", member=new, address=cluster.addresses[new])
            assert code == 200, told
            until(lambda new=new: cluster.status(new).get("role") in ("follower", "leader"), f"{new} votes")
            code, told = cluster.done(id=f"remove/{old}", kind="remove", member=old, address="")
            assert code == 200, told
            until(lambda old=old, new=new: old not in cluster.status(new)["members"], f"{old} is gone")
            cluster.kill(old)
        declare(cluster, 7)
        cluster.start("g7", join=True)
        code, told = cluster.done(id="add/g7", kind="add", member="g7", address=cluster.addresses["g7"])
        assert code == 200, told
        until(lambda: cluster.status("g7").get("role") == "follower", lambda: f"{cluster.status('g7')}")
        assert "n7" in cluster.items("g7", "nodes", local=True)
