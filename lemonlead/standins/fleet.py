"""Runs a gateway as a program together with stand-ins on loopback."""

import contextlib
import json
import os
import signal
import subprocess
import sys
from types import SimpleNamespace

from .clients import Client
from .discovery import DiscoveryServer, entry
from .platform import PlatformServer
from .server import until

SETTINGS = {
    "Areas": ["here"],
    "Az": 0,
    "Balancers": 1,
    "Discovery": "ask",
    "Skus": ["std"],
    "Step": 5.0,
    "Me": 0,
    "FamilyInfo": {
        "ApiTimeout": 5000.0,
        "AyesNeeded": 1,
        "NoesNeeded": 1,
        "Bake": 100.0,
        "BallotTtl": 4000.0,
        "CapScope": "all",
        "Control": "by_count",
        "ExposureWindow": 4000.0,
        "GuardedStages": 0,
        "SpareTries": 2.0,
        "StageCap": [0.8, 1.0],
        "Steps": [0.5, 1.0],
        "VoteAllowance": 75.0,
    },
    "Lanes": [
        {"Name": "look", "Effect": "idempotent", "Slo": 1000.0, "GiveUp": 20000.0, "Worth": 1.0},
        {"Name": "hold", "Effect": "deduplicated", "Slo": 1000.0, "GiveUp": 20000.0, "Window": 30000.0},
        {"Name": "buy", "Effect": "at_most_once", "Slo": 1000.0, "GiveUp": 20000.0},
    ],
    "Limits": {
        "AttemptsCap": 5,
        "Cancel": True,
        "ConnectTimeout": 8000.0,
        "IdleClose": 15000.0,
        "MaxRetryAfter": 500.0,
        "MayDuplicate": True,
        "RetryAfter": True,
    },
    "Obligations": {
        "Cold": 1000.0,
        "ColdFrom": 0.5,
        "DrainGrace": 250.0,
        "Fall": 1000.0,
        "OverloadFactor": 4.0,
    },
    "Projects": [{"Name": "acme", "QuotaPerS": 10.0}],
}


def write_rules(folder, rules, shadow=None, shadow_share=0.01):
    """Writes the settings of a gateway with these rules. Returns the path of the settings file."""
    (folder / "rules.cue").write_text(rules)
    more = ""
    if shadow is not None:
        (folder / "shadow.cue").write_text(shadow)
        more = f'shadow: "shadow.cue", shadow_share: {shadow_share}'
    (folder / "gateway.cue").write_text(f'rules: {{file: "rules.cue", {more}}}\n')
    return folder / "gateway.cue"


@contextlib.contextmanager
def gateway(
    tmp_path,
    *servers,
    settings=None,
    limits=None,
    entries=None,
    rules=None,
    extra=None,
    source=None,
    follow=None,
    program=None,
    serves=True,
    listen="127.0.0.1:0",
):
    """Runs a gateway with these instances; gateway and stand-ins end with the block.

    `rules`: the text of a set of rules to switch on. `extra`: further settings of the rules, as
    `{"shadow": text, "shadow_share": share}`. `source`: the discovery server that it starts with. `follow`:
    the text of the settings of a ledger to follow. `program`: Python code to run in place of the gateway's
    module. `serves`: whether to wait until the gateway serves. `listen`: its address.
    """
    discovery, platform = source or DiscoveryServer().start(), PlatformServer().start()
    known = entries or [entry(f"i{n}", server) for n, server in enumerate(servers)]
    config = {
        "name": "g0",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "release_api": {
            "address": platform.address,
            "news": {"release": 1, "tranche": 0, "mode": "released", "exposure": 1.0, "old_ms": 5000},
        },
        "known": {"version": 1, "full": True, "servers": known},
        "settings": {**SETTINGS, **(settings or {})},
    }
    (tmp_path / "config.json").write_text(json.dumps(config))
    environment = {**os.environ, "ROUTER_CONFIG": str(tmp_path / "config.json")}
    if rules is not None:
        environment["LEMONLEAD_SETTINGS"] = str(write_rules(tmp_path, rules, **(extra or {})))
    if follow is not None:
        (tmp_path / "follow.cue").write_text(follow)
        environment["LEMONLEAD_SETTINGS"] = str(tmp_path / "follow.cue")
    with open(tmp_path / "log", "w") as log:
        process = subprocess.Popen(
            [sys.executable, *(["-c", program] if program else ["-m", "lemonlead.gateway"])],
            stdout=log,
            stderr=subprocess.STDOUT,
            env=environment,
        )
    ran = SimpleNamespace(process=process, discovery=discovery, platform=platform, clients=[])
    ran.log = lambda: (tmp_path / "log").read_text()

    def client():
        ran.clients.append(Client(ran.port))
        return ran.clients[-1]

    def counters():
        before = ran.log().count("event=counters")
        process.send_signal(signal.SIGUSR1)
        until(lambda: ran.log().count("event=counters") > before and ran.log().endswith("\n"))
        return read_counters(ran.log(), "counters")

    def reload(text):
        (tmp_path / "config.json").write_text(text)
        process.send_signal(signal.SIGHUP)

    ran.client = client
    ran.counters = counters
    ran.reload = reload
    ran.config = config
    try:
        if serves:
            serving = until(lambda: [line for line in ran.log().splitlines() if "event=serving" in line])
            ran.port = int(dict(word.split("=", 1) for word in serving[0].split() if "=" in word)["port"])
        yield ran
        assert "event=fault" not in ran.log() and "Traceback" not in ran.log()
    finally:
        process.kill()
        process.wait()
        for server in (discovery, platform, *servers):
            server.close()
        for one in ran.clients:
            one.sock.close()


def read_counters(log, event):
    """Returns the counters of the last log line with this event."""
    line = [line for line in log.splitlines() if f"event={event} " in line][-1]
    pairs = (word.split("=", 1) for word in line.split() if "=" in word)
    return {name: int(value) for name, value in pairs if value.isdigit()}
