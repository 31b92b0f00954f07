"""Invalid settings end the start with one line: the key, its value and the expected value."""

import copy
import json
import signal
import subprocess
import sys

import pytest
from helpers import line, request, sent

from lemonlead import interface as at
from lemonlead.balance import Balancer
from lemonlead.gateway import config as configs
from lemonlead.standins.discovery import DiscoveryServer
from lemonlead.standins.fleet import SETTINGS, gateway
from lemonlead.standins.instances import InstanceServer
from lemonlead.standins.server import until

CONFIG = {
    "name": "g0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "release_api": {
        "address": "127.0.0.1:6400",
        "news": {"release": 1, "tranche": 0, "mode": "released", "exposure": 1.0, "old_ms": 5000},
    },
    "known": {"version": 0, "full": True, "servers": []},
    "settings": {**SETTINGS, "Tariffs": {"CrossZone": 0.1}, "Report": {"Fields": ["svc_ms"]}},
}
ABSENT = object()
INFINITE, NAN = float("inf"), float("nan")


def changed(*path, to):
    """Returns the configuration with this value changed, or removed if `to` is ABSENT."""
    config = copy.deepcopy(CONFIG)
    *before, last = path
    part = config
    for step in before:
        part = part[step]
    if to is ABSENT:
        del part[last]
    else:
        part[last] = to
    return config


def read(folder, config):
    path = folder / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return configs.read({"ROUTER_CONFIG": str(path)})


def refused(folder, config):
    with pytest.raises(configs.InvalidConfig) as caught:
        read(folder, config)
    text = str(caught.value)
    assert "\n" not in text and len(text) <= 200
    return text


REQUEST_CLASS, LIMITS, RULES = ("settings", "Lanes", 0), ("settings", "Limits"), ("settings", "Obligations")
NEWS, RELEASE = ("release_api", "news"), ("settings", "FamilyInfo")
TIMES = [
    (*REQUEST_CLASS, "Slo"),
    (*REQUEST_CLASS, "GiveUp"),
    ("settings", "Lanes", 1, "Window"),
    (*LIMITS, "ConnectTimeout"),
    (*LIMITS, "IdleClose"),
    (*LIMITS, "MaxRetryAfter"),
    (*RULES, "AskWithin"),
    (*RULES, "DrainGrace"),
    (*RULES, "Cold"),
    (*RULES, "Fall"),
    (*RELEASE, "Bake"),
    (*RELEASE, "BallotTtl"),
    (*RELEASE, "ApiTimeout"),
    (*RELEASE, "ExposureWindow"),
    ("settings", "Step"),
]
NUMBERS = [
    (*REQUEST_CLASS, "Worth"),
    (*REQUEST_CLASS, "LateWorth"),
    (*REQUEST_CLASS, "AimStretch"),
    (*RULES, "ColdFrom"),
    (*RULES, "OverloadFactor"),
    (*RELEASE, "VoteAllowance"),
    (*RELEASE, "SpareTries"),
    ("settings", "Me"),
    (*RELEASE, "AyesNeeded"),
    (*RELEASE, "NoesNeeded"),
    (*RELEASE, "GuardedStages"),
    (*LIMITS, "AttemptsCap"),
    ("settings", "Balancers"),
    ("settings", "Az"),
    ("settings", "Projects", 0, "QuotaPerS"),
    ("settings", "OverShareWorth"),
    ("settings", "Tariffs", "CrossZone"),
    (*RELEASE, "StaleBuildPrice"),
    (*RELEASE, "HarmFee"),
    ("limits", "sockets"),
    ("limits", "memory_mb"),
]
FLAGS = [
    (*REQUEST_CLASS, "Stream"),
    (*LIMITS, "Cancel"),
    (*LIMITS, "MayDuplicate"),
    (*LIMITS, "Probes"),
    (*LIMITS, "RetryAfter"),
    (*RELEASE, "ForwardOnly"),
]
OBJECTS = [
    REQUEST_CLASS,
    LIMITS,
    RULES,
    RELEASE,
    ("settings",),
    ("settings", "Tariffs"),
    ("settings", "Report"),
    ("settings", "Projects", 0),
    ("limits",),
    ("release_api",),
    NEWS,
    ("known",),
]
LISTS = [
    ("settings", "Lanes"),
    ("settings", "Projects"),
    ("settings", "Areas"),
    ("settings", "Skus"),
    (*RELEASE, "StageCap"),
    (*RELEASE, "Steps"),
    ("settings", "Report", "Fields"),
]
WORDS = [
    (*REQUEST_CLASS, "Effect"),
    ("settings", "Lanes", 1, "Group"),
    (*RELEASE, "Control"),
    (*RELEASE, "CapScope"),
    (*RELEASE, "Style"),
    ("settings", "Discovery"),
    ("settings", "WorthBy"),
]
NAMES = [(*REQUEST_CLASS, "Name"), ("settings", "Projects", 0, "Name"), ("name",)]
ADDRESSES = [("listen",), ("discovery",), ("release_api", "address")]
NO_NUMBER = ["1000", None, True, [], {}, -1, -0.5, NAN, INFINITE, -INFINITE, 1e300, 10**400]
CASES = [
    *[(path, value) for path in TIMES + NUMBERS for value in NO_NUMBER],
    *[(path, value) for path in FLAGS for value in (1, 0, "true", None, [])],
    *[(path, value) for path in OBJECTS for value in ([1], "x", 3, False)],
    *[(path, value) for path in LISTS for value in ({"a": 1}, "x", None, 3, [{}], [None])],
    *[(path, value) for path in WORDS for value in ("perhaps", "", 3, None, ["all"])],
    *[(path, value) for path in NAMES for value in (3, None, "", [], ABSENT)],
    *[
        (path, value)
        for path in ADDRESSES
        for value in (
            "127.0.0.1",
            ":8500",
            "127.0.0.1:",
            "127.0.0.1:x",
            "127.0.0.1:65536",
            "127.0.0.1:-1",
            "here:8500",
            "[::1]:8500",
            "127.1:8500",
            "127.0.0.1:8500:9",
            "127.0.0.1\0:85",
            "127.0.0.é:85",
            8500,
            None,
            "",
            [],
        )
    ],
    *[((*LIMITS, "AttemptsCap"), value) for value in (0, 1.5)],
    *[(("limits", "sockets"), value) for value in (0, 25, "many")],
    (("limits", "memory_mb"), 0),
    ((*RULES, "ColdFrom"), 1.5),
    ((*RELEASE, "StageCap"), [0.1, 1.5]),
    ((*RELEASE, "StageCap"), [0.1, "1"]),
    *[(("seed",), value) for value in ("xyz", "", None, 7, ABSENT)],
    *[((*NEWS, "mode"), value) for value in ("on", None, 3, ABSENT)],
    *[((*NEWS, "release"), value) for value in (-1, "x", None, ABSENT, NAN)],
    ((*NEWS, "exposure"), 1.5),
    ((*NEWS, "old_ms"), -1),
    (("settings",), ABSENT),
    (("discovery",), ABSENT),
    (("settings",), None),
    (("listen",), ABSENT),
]


def test_valid_config_is_read(tmp_path):
    assert list(read(tmp_path, CONFIG).request_classes) == ["look", "hold", "buy"]


@pytest.mark.parametrize("path", sorted({path for path, _ in CASES}, key=str), ids=lambda path: str(path[-1]))
def test_invalid_value_is_refused_with_its_key(tmp_path, path):
    for value in [value for where, value in CASES if where == path]:
        said = refused(tmp_path, changed(*path, to=value))
        assert str(path[-1]) in said or path[-1] == 0 and f"{path[-2]}[0]" in said, (value, said)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("{", "is no JSON"),
        ("", "is no JSON"),
        ("[" * 100_000, "nested too deep"),
        ("[]", "expected an object"),
        ("3", "expected an object"),
        ("null", "expected an object"),
        ("{}", "settings is missing"),
        ('{"settings": ' + "9" * 5000 + "}", "is no JSON"),
        ('{"seed": "\ud800"}', "is no JSON"),
    ],
)
def test_text_that_is_no_config_is_refused(tmp_path, text, said):
    path = tmp_path / "config.json"
    path.write_bytes(text.encode(errors="surrogatepass"))
    with pytest.raises(configs.InvalidConfig, match=said) as caught:
        configs.read({"ROUTER_CONFIG": str(path)})
    assert "\n" not in str(caught.value)


def test_missing_or_unreadable_file_is_refused(tmp_path):
    for environment in ({}, {"ROUTER_CONFIG": str(tmp_path)}, {"ROUTER_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(configs.InvalidConfig, match="ROUTER_CONFIG|directory"):
            configs.read(environment)


@pytest.mark.parametrize("key", ["Lanes", "Projects"])
def test_duplicate_name_is_refused(tmp_path, key):
    entries = SETTINGS[key]
    assert "twice" in refused(tmp_path, changed("settings", key, to=[*entries, entries[0]]))


def test_host_name_in_environment_is_refused(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    for name, key in (("ROUTER_LISTEN", "listen"), ("ROUTER_DISCOVERY", "discovery")):
        with pytest.raises(configs.InvalidConfig, match=f"{key} is 'here:80'; expected an IPv4 address"):
            configs.read({"ROUTER_CONFIG": str(path), name: "here:80"})


def test_missing_keys_have_defaults_and_unknown_keys_are_ignored(tmp_path):
    """This includes a request class's group and window, which apply to deduplicated classes only."""
    settings = {"Lanes": [{"Name": "look", "Group": "off", "Window": -1, "Mood": [None]}], "Mood": {}}
    config = {name: CONFIG[name] for name in ("name", "listen", "discovery", "seed")}
    got = read(tmp_path, {**config, "settings": settings, "limits": None, "release_api": None, "known": None})
    start, request_class = got.start, got.request_classes["look"]
    assert (
        request_class.effect,
        request_class.repeat_scope,
        request_class.repeat_window,
        request_class.revenue,
    ) == (
        "non-idempotent",
        "all",
        0,
        1.0,
    )
    assert (start.attempts_cap, start.balancers, start.max_list_call_gap, start.retry_after_cap) == (
        1,
        1,
        0,
        0,
    )
    assert (got.platform, got.news, got.connections, got.tenants) == (None, None, 1000, {})
    assert read(tmp_path, {**config, "settings": {}}).request_classes == {}


def test_deduplicated_request_without_window_is_not_repeated(tmp_path):
    got = read(tmp_path, changed("settings", "Lanes", 1, "Window", to=ABSENT))
    made = Balancer(got.start)
    made.list_received(got.start.now, [line(1), line(2)], True, True)
    asked = request(on=got.start.request_classes[1], now=got.start.now)
    sent(asked, made.instances[1], at.RESET, got.start.now)
    assert asked.request_class.effect == at.DEDUPLICATED
    assert not made.may_attempt(asked, made.instances[2], got.start.now)
    asked.attempts[0].end = at.UNCONNECTED
    assert made.may_attempt(asked, made.instances[2], got.start.now)


def test_integer_may_be_written_as_float(tmp_path):
    got = read(tmp_path, changed(*LIMITS, "AttemptsCap", to=5.0))
    assert got.start.attempts_cap == 5 and type(got.start.attempts_cap) is int


@pytest.mark.parametrize(
    "config",
    [
        changed(*REQUEST_CLASS, "Slo", to=NAN),
        changed("settings", "Lanes", 1, "Name", to="look"),
        changed("known", "servers", to={"a": 1}),
        changed("known", "servers", to=[{"id": "i0", "state": "up"}]),
        changed("known", "servers", to=[{"id": "i0", "state": "draining", "weight": 10**400}]),
        changed("discovery", to="discovery.example:8500"),
    ],
    ids=["no time", "a name twice", "no list", "no address", "a huge weight", "a name for an address"],
)
def test_program_reports_invalid_config_on_one_line(tmp_path, config):
    (tmp_path / "config.json").write_text(json.dumps(config))
    done = subprocess.run(
        [sys.executable, "-m", "lemonlead.gateway"],
        capture_output=True,
        text=True,
        timeout=60,
        env={"ROUTER_CONFIG": str(tmp_path / "config.json")},
    )
    assert (done.returncode, done.stdout, done.stderr.count("\n")) == (2, "", 1), done.stderr
    assert done.stderr.startswith("lemonlead.gateway: the configuration cannot be used: ")


def test_sighup_with_invalid_settings_changes_nothing(tmp_path):
    server, discovery = InstanceServer().start(), DiscoveryServer().start()
    with gateway(tmp_path, server) as ran:
        until(lambda: ran.discovery.asked)
        config = {**ran.config, "discovery": discovery.address}
        for count, request_classes in enumerate(({"a": 1}, [{"Name": "look", "Effect": "maybe"}]), start=1):
            ran.reload(json.dumps({**config, "settings": {**SETTINGS, "Lanes": request_classes}}))
            until(lambda count=count: ran.log().count('event="configuration unfit"') == count)
        assert ran.client().ask().read() == b"aa" and not discovery.asked
        assert 'event="configuration read"' not in ran.log()
        ran.process.send_signal(signal.SIGTERM)
        assert ran.process.wait(60) == 0
        assert ran.log().count('event="configuration unfit"') == 2 and not discovery.asked
    discovery.close()


def test_non_ascii_names_are_accepted(tmp_path):
    request_classes = [{**SETTINGS["Lanes"][0], "Name": "pièce à vue"}, *SETTINGS["Lanes"][1:]]
    settings = {"Lanes": request_classes, "Projects": [{"Name": "Île = une"}]}
    with gateway(tmp_path, InstanceServer().start(), settings=settings) as ran:
        said = {"c": "pièce à vue", "t": "Île = une", "d": 20000}
        assert ran.client().command(b"Q.ASK", b"aa", said).read() == b"aa"
        assert ran.counters()["succeeded_request_class_0"] == 1
