"""The gateway as a program, among stand-ins on loopback: what it accepts, forwards and answers.

The tests wait on conditions. Only tests about a deadline depend on the clock.
"""

import contextlib
import json
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from lemonlead.gateway import resp
from lemonlead.standins.discovery import DiscoveryServer, entry
from lemonlead.standins.fleet import SETTINGS, read_counters, gateway
from lemonlead.standins.instances import InstanceServer, value_response
from lemonlead.standins.platform import PlatformServer
from lemonlead.standins.server import until

LIMITS = SETTINGS["Limits"]


@pytest.mark.parametrize(
    "request_class, body", [("look", ()), ("hold", (b"BODY",)), ("buy", (b"\0\r\n" * 9000,))]
)
def test_request_of_each_effect_is_forwarded_unchanged(tmp_path, request_class, body):
    server = InstanceServer().start()
    with gateway(tmp_path, server) as ran:
        assert ran.client().write(resp.command([b"PING"])).read() == b"PONG"
        assert ran.client().ask(b"7f3a", request_class, body=body, h=5000, r=1).read() == b"7f3a"
        ((name, key, _, extras, *rest),) = server.got
        counts = dict(pair.split("=") for pair in extras.decode().split(","))
        assert (name, key, tuple(rest)) == (b"Q.ASK" if request_class == "look" else b"Q.DO", b"7f3a", body)
        assert 0 < int(counts.pop("d")) <= 20000
        idempotency_key = {"k": "5c"} if request_class == "hold" else {}
        assert counts == {"c": request_class, "t": "acme", "h": "5000", "r": "1", **idempotency_key}


def test_pipelined_commands_are_answered_in_order(tmp_path):
    later = threading.Event()

    def react(words):
        if words[1] == b"first":
            later.wait(60)
        else:
            later.set()
        return value_response(words[1])

    with gateway(tmp_path, InstanceServer(react).start()) as ran:
        client = ran.client().ask(b"first").ask(b"second").write(resp.command([b"PING"])).ask(b"third")
        assert [client.read() for _ in range(4)] == [b"first", b"second", b"PONG", b"third"]


def test_command_sent_byte_by_byte_is_read(tmp_path):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client()
        for byte in resp.command([b"Q.ASK", b"key", b"id", b"c=look,t=acme,d=20000"]):
            client.write(bytes([byte]))
        assert client.read() == b"key"


@pytest.mark.parametrize(
    "data", [b"GET / HTTP/1.1\r\n", b"*1\r\n$99999\r\n", b"*1\r\n$4\r\nPINGxx", b"*1000\r\n"]
)
def test_malformed_input_gets_error_and_ends_only_its_connection(tmp_path, data):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client, other = ran.client(), ran.client()
        client.ask(b"before").write(data)
        assert client.read() == b"before"
        assert isinstance(answer := client.read(), resp.Fault) and answer.startswith(b"ERR ")
        assert client.read() is None
        assert other.ask().read() == b"aa"
        assert until(lambda: 'event="client ended"' in ran.log() and "reason=malformed" in ran.log())


@pytest.mark.parametrize(
    "words",
    [
        "HELLO",
        "Q.ASK",
        "Q.ASK k i",
        "Q.ASK k i c=odd,d=10",
        "Q.ASK k i c=look",
        "Q.ASK k i c=look,d=0",
        "Q.ASK k i c=look,d=-5",
        "Q.ASK k i c=look,d=nan",
        "Q.ASK k i c=buy,d=10",
        "Q.DO k i c=look,d=10",
        "Q.DO k i c=hold,d=10",
        "Q.ASK k i junk",
        "Q.ASK k i c=look,d=10,h=x",
        "Q.ASK k i c=look,d=1e3",
        "Q.ASK k i c=look,d=+5",
        "Q.ASK k i c=look,d=10 BODY",
        "Q.ASK k i c=look,d=10,d=20",
        "Q.ASK k",
        "Q.ASK k i c=look,d=1_0",
        "Q.DO k i c=hold,d=10,k=",
        "Q.ASK k " + "i" * 200 + " c=look,d=10",
    ],
)
def test_invalid_command_gets_error_and_connection_stays(shared, words):
    client = shared.client().write(resp.command(words.encode().split()))
    assert isinstance(client.read(), resp.Fault)
    assert client.ask().read() == b"aa"


def test_repeated_invalid_commands_are_read_ever_more_slowly(shared):
    client = shared.client()
    began = time.monotonic()
    assert isinstance(client.write(resp.command([b"Q.ASK", b"k"]) * 5).read(), resp.Fault)
    assert all(isinstance(client.read(), resp.Fault) for _ in range(4)) and time.monotonic() - began >= 0.9


def test_duplicate_id_gets_error_and_open_request_its_response(tmp_path):
    hold = threading.Event()
    server = InstanceServer(lambda words: hold.wait(60) and value_response(words[1]))
    with gateway(tmp_path, server.start()) as ran:
        client, other = ran.client(), ran.client()
        client.write(resp.command([b"Q.ASK", b"mine", b"id1", b"c=look,d=20000"]))
        until(lambda: server.got)
        other.write(resp.command([b"Q.ASK", b"theirs", b"id1", b"c=look,d=20000"]))
        assert other.read().startswith(b"ERR ")
        hold.set()
        assert client.read() == b"mine" and other.ask().read() == b"aa"


def test_malformed_input_is_rejected_soon_behind_a_waiting_request(tmp_path):
    hold = threading.Event()
    with gateway(tmp_path, InstanceServer(lambda words: hold.wait(60) and None).start()) as ran:
        client = ran.client().ask(request_class="buy").write(b"noise\r\n")
        began = time.monotonic()
        assert client.read() == b"ERR aborted" and client.read().startswith(b"ERR ") and client.read() is None
        assert time.monotonic() - began < 3
        hold.set()


@pytest.mark.parametrize(
    "data, reason",
    [
        (b"", "silent"),
        (b"*4\r\n$5\r\nQ.A", "malformed"),
        (b"no end", "malformed"),
        (b"*1\r\n$4\r\nPING\r\n", "rest"),
        (b"*1\r\n$60000000\r\n" + b"x" * 9999, "malformed"),
    ],
)
def test_idle_or_incomplete_connection_is_closed(tmp_path, data, reason):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        client = ran.client().write(data)
        answers = list(iter(client.read, None))
        assert any(isinstance(answer, resp.Fault) for answer in answers) is (reason == "malformed")
        until(lambda: f'event="client ended" gateway=g0 reason={reason}' in ran.log())
        assert ran.client().ask().read() == b"aa"


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    with gateway(tmp_path_factory.mktemp("shared"), InstanceServer().start()) as ran:
        yield ran


@pytest.mark.parametrize(
    "answer, request_class, ending",
    [
        (b"-BUSY\r\n", "look", b"BUSY 62"),
        (b"-BUSY\r\n", "buy", b"BUSY 62"),  # it never ran
        (b"-ERR failed\r\n", "buy", b"ERR aborted"),
        (b"-ERR failed\r\n", "look", b"BUSY 62"),
        (None, "buy", b"ERR aborted"),
        (None, "hold", b"BUSY 62"),  # the connection is reset after the last byte
        (b"nonsense\r\n", "buy", b"ERR aborted"),
        (b"$-1\r\n", "buy", b"ERR aborted"),
        (b":5\r\n", "hold", b"BUSY 62"),
        (b"-ERR bad request\r\n", "look", b"ERR aborted"),
        (b"*3\r\n$5\r\nab", "buy", b"ERR aborted"),  # the connection breaks within the response
    ],
)
def test_request_result_follows_the_only_instances_response(tmp_path, answer, request_class, ending):
    server = InstanceServer()

    def react(words):
        if answer and not answer.endswith(b"\n"):
            server.connections[-1].sendall(answer)
            return None
        return answer

    server.react = react
    with gateway(tmp_path, server.start()) as ran:
        assert ran.client().ask(request_class=request_class, wait=15000).read() == ending
        assert len(server.got) == 1 or ending == b"BUSY 62"


@pytest.mark.parametrize("heeds, ending", [(True, b"BUSY 62"), (False, b"BUSY")])
def test_refused_connection_gives_retry_time_only_if_configured(tmp_path, heeds, ending):
    server = InstanceServer()
    server.close()
    with gateway(tmp_path, server, settings={"Limits": {**LIMITS, "RetryAfter": heeds}}) as ran:
        assert ran.client().ask(request_class="buy").read() == ending


@pytest.mark.parametrize(
    "request_class, ending", [("look", b"BUSY 62"), ("hold", b"BUSY 62"), ("buy", b"ERR aborted")]
)
def test_silent_instance_is_waited_for_until_deadline(tmp_path, request_class, ending):
    asked = threading.Event()
    with gateway(tmp_path, InstanceServer(lambda words: asked.wait(60) and None).start()) as ran:
        began = time.monotonic()
        assert ran.client().ask(request_class=request_class, wait=400).read() == ending
        assert time.monotonic() - began >= 0.39
        until(lambda: ran.counters().get("attempts_timed_out") == 1)
        asked.set()


def test_request_to_a_silent_instance_is_sent_to_another(tmp_path):
    silent = threading.Event()

    def react(words):
        if not silent.is_set():  # the instance that gets the first attempt
            silent.set()
            threading.Event().wait(30)
        return value_response(b"second")

    with gateway(tmp_path, InstanceServer(react).start(), InstanceServer(react).start()) as ran:
        assert ran.client().ask().read() == b"second"


def send_change(ran, drained, other):
    ran.discovery.publish(entry("i0", drained, "draining"), entry("i1", other))


def send_whole_list(ran, drained, other):
    ran.discovery.publish(entry("i1", other), full=True)


def send_after_sighup(ran, drained, other):
    ran.elsewhere.publish(entry("i0", drained, "draining"), entry("i1", other), full=True, version=1)
    ran.reload(json.dumps({**ran.config, "discovery": ran.elsewhere.address}))


@pytest.mark.parametrize("send_update", [send_change, send_whole_list, send_after_sighup])
def test_drain_during_connect_prevents_the_attempt(tmp_path, send_update):
    drained, other = InstanceServer(backlog=0), InstanceServer(lambda words: value_response(b"other")).start()
    host, port = drained.address.split(":")
    plugs = [socket.socket() for _ in range(8)]  # fill the accept queue, so that no connect succeeds
    for plug in plugs:
        plug.setblocking(False)
        plug.connect_ex((host, int(port)))
    with gateway(tmp_path, drained, other, entries=[entry("i0", drained)]) as ran:
        client = ran.client().ask(request_class="buy")
        until(lambda: ran.counters().get("connections_made") == 1)
        ran.elsewhere = DiscoveryServer().start()
        send_update(ran, drained, other)
        until(lambda: ran.counters().get("lists_told", 0) >= 2)
        for plug in plugs:
            plug.close()
        drained.start()
        assert client.read() == b"other" and not drained.got
        ran.elsewhere.close()
        counts = ran.counters()
        assert counts.get("attempts_not_sent", 0) + counts.get("attempts_unconnected", 0) == 1


def test_watch_resumes_from_last_version_after_disconnect(tmp_path):
    old = InstanceServer(lambda words: value_response(b"old")).start()
    new = InstanceServer(lambda words: value_response(b"new")).start()
    with gateway(tmp_path, old, new, entries=[entry("i0", old)]) as ran:
        until(lambda: ran.discovery.asked == ["/api/targets?stream=1&index=1"])
        ran.discovery.publish(entry("i0", old, build=1))
        until(lambda: ran.counters().get("lists_told", 0) >= 2)
        ran.discovery.end_connections()
        until(lambda: ran.discovery.asked[1:] == ["/api/targets?stream=1&index=2"])
        ran.discovery.publish(entry("i0", old), version=1)  # older than the known version, so ignored
        ran.discovery.publish(entry("i0", old, "removed"), entry("i1", new), version=3)
        until(lambda: ran.counters().get("lists_told", 0) >= 4)
        assert ran.client().ask().read() == b"new" and not old.got


def test_malformed_or_cut_off_news_are_requested_again(tmp_path):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        until(lambda: ran.platform.asked == 1)
        ran.platform.end_connections()
        until(lambda: ran.platform.asked == 2)
        ran.platform.publish("nonsense")
        until(lambda: "malformed" in ran.log())
        ran.platform.publish("1 0 released 1 9000")
        count_before = ran.counters()["news_told"]
        until(lambda: ran.counters()["news_told"] > count_before)
        assert ran.client().ask().read() == b"aa"


@pytest.mark.parametrize(
    "answer, counted_as", [(None, "counted"), ("ERR Throttling", "over"), ("what", "unanswered")]
)
def test_good_build_gets_vote_and_uncounted_vote_is_repeated(tmp_path, answer, counted_as):
    earlier, trial = InstanceServer().start(), InstanceServer().start()
    entries = [entry("i0", earlier), entry("i1", trial, build=2)]
    with gateway(tmp_path, earlier, trial, entries=entries) as ran:
        if answer:
            ran.platform.answer = lambda _: answer if len(ran.platform.votes) == 1 else "OK 2 1 trial 1 0"
        else:
            ran.platform.answer = lambda _: "OK 2 1 trial 1 0"
        ran.platform.publish("2 0 trial 0.8 0")
        clients = [ran.client() for _ in range(4)]

        def voted():
            for client in clients:
                client.ask(h=1000)
            for client in clients:
                client.read()
            return len(ran.platform.votes) >= (2 if answer else 1)

        until(voted)
        assert set(ran.platform.votes[: 2 if answer else 1]) == {"BALLOT 2 0 go"}
        until(lambda: f"votes_{counted_as}" in ran.counters())


def test_sigterm_finishes_open_requests_and_closes_idle_connections(tmp_path):
    hold = threading.Event()

    def react(words):
        if words[1] == b"held":
            hold.wait(60)
        return value_response(words[1])

    with gateway(tmp_path, InstanceServer(react).start()) as ran:
        held, unused = ran.client().ask(b"held"), ran.client()
        until(lambda: ran.counters().get("attempts") == 1)
        ran.process.send_signal(signal.SIGTERM)
        until(lambda: "event=stopping" in ran.log())
        assert unused.read() is None  # the idle connection is closed
        hold.set()
        assert held.read() == b"held" and held.read() is None
        assert ran.process.wait(60) == 0
        counts = read_counters(ran.log(), "stopped")
        assert (counts["taken"], counts["succeeded"], counts["open"]) == (1, 1, 0)


def test_no_request_is_lost_while_clients_send_after_sigterm(tmp_path):
    with gateway(tmp_path, InstanceServer().start()) as ran:
        until(lambda: ran.platform.asked == 1)  # it has started completely
        ran.clients = [ran.client() for _ in range(4)]
        answered = []

        def go_on(client):
            with contextlib.suppress(OSError):
                while client.ask().read() == b"aa":
                    answered.append(client)

        threads = [threading.Thread(target=go_on, args=(client,), daemon=True) for client in ran.clients]
        for thread in threads:
            thread.start()
        until(lambda: set(answered) == set(ran.clients))
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0
        counts = read_counters(ran.log(), "stopped")
        assert (
            counts["taken"] == counts["succeeded"]
            and counts["open"] == 0
            and "clients_ended_stopping" in counts
        )


def test_counters_add_up(tmp_path):
    gate = threading.Event()

    def react(words):
        if words[1] == b"stuck":
            gate.wait(60)
        return {b"no": b"-ERR failed\r\n", b"full": b"-BUSY\r\n"}.get(words[1], value_response(words[1]))

    with gateway(tmp_path, InstanceServer(react).start()) as ran:
        for key in (b"a", b"no", b"full", b"b"):
            ran.client().ask(key, "buy").read()
        ran.client().ask(b"stuck")
        gone = ran.client().ask(b"stuck")
        until(lambda: ran.counters()["taken"] == 6)
        gone.sock.close()
        until(lambda: ran.counters().get("left") == 1)
        counts = ran.counters()
        endings = [counts.get(name, 0) for name in ("succeeded", "rejected", "aborted", "left", "open")]
        assert counts["taken"] == sum(endings) and endings[0] >= 1 and endings[3:] == [1, 1]
        gate.set()


def test_client_that_reads_nothing_delays_no_other(tmp_path):
    with gateway(tmp_path, InstanceServer(lambda words: value_response(b"x" * 65536)).start()) as ran:
        slow = ran.client()
        slow.sock.settimeout(5)
        with pytest.raises((TimeoutError, ConnectionError)):  # in the end the gateway stops reading it
            for _ in range(100_000):
                slow.ask(wait=300)
        assert ran.client().ask().read() == b"x" * 65536


def test_gateway_serves_from_config_when_discovery_and_platform_end(tmp_path):
    server = InstanceServer().start()
    with gateway(tmp_path, server) as ran:
        ran.discovery.close()
        ran.platform.close()
        assert ran.client().write(resp.command([b"PING"])).read() == b"PONG"
        assert ran.client().ask().read() == b"aa"


def test_sighup_changes_only_discovery_and_platform_addresses(tmp_path):
    old, new = InstanceServer().start(), InstanceServer(lambda words: value_response(b"new")).start()
    discovery, platform = DiscoveryServer().start(), PlatformServer().start()
    discovery.publish(entry("i1", new), full=True, version=1)  # another service with its own versions
    with gateway(tmp_path, old, new, entries=[entry("i0", old)]) as ran:
        until(lambda: ran.platform.asked and ran.discovery.asked)
        ran.discovery.publish(entry("i0", old), version=7)
        until(lambda: ran.counters().get("lists_told", 0) >= 2)
        client = ran.client()
        for text in ("{", "{}", '{"discovery": 5}', "[" * 100000):
            ran.reload(text)
            until(lambda: 'event="configuration unfit"' in ran.log())
            assert client.ask().read() == b"aa"
        ran.reload(json.dumps({"discovery": discovery.address, "release_api": {"address": platform.address}}))
        until(lambda: client.ask().read() == b"new" and platform.asked)
        asked = len(ran.discovery.asked), ran.platform.asked
        ran.discovery.close()
        ran.platform.close()
        assert client.ask().read() == b"new" and (len(ran.discovery.asked), ran.platform.asked) == asked
        ran.process.send_signal(signal.SIGTERM)
        ran.process.send_signal(signal.SIGHUP)
        assert ran.process.wait(60) == 0
    discovery.close()
    platform.close()


@pytest.mark.parametrize(
    "text", [None, "{", "[]", "{}", '{"settings": {}, "seed": "xyz"}', '{"settings": 3, "seed": "1"}']
)
def test_unusable_config_ends_start_with_one_line(tmp_path, text):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "lemonlead.gateway"],
        env={"ROUTER_CONFIG": str(path)},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and done.stdout == ""


def test_at_limit_extra_clients_are_rejected_and_idle_ones_closed(tmp_path):
    hold = threading.Event()
    server = InstanceServer(lambda words: hold.wait(60) and value_response(words[1]))
    with gateway(tmp_path, server.start(), limits={"sockets": 60}) as ran:  # room for 18 clients
        busy = [ran.client().ask(request_class="buy") for _ in range(18)]
        until(lambda: ran.counters().get("taken") == 18)
        assert ran.client().ask(request_class="buy").read().startswith(b"BUSY")
        hold.set()
        for client in busy:
            client.read()

        def served_again():
            client = ran.client()
            answer = client.ask().read()
            client.sock.close()
            return answer == b"aa"

        until(served_again)
        until(lambda: "made room" in ran.log() or "reason=rest" in ran.log())
