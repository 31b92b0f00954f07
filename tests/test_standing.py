"""The sentences of the standing test that were sharpened, each held against the code: `docs/standing.md`.

Times are nanoseconds on made clocks, or seconds where a program runs; nothing waits for a guessed time.
"""

import json

import pytest
from lemonlead.gateway.http import Objects
from lemonlead.standins.discovery import entry
from lemonlead.standins.fleet import gateway
from lemonlead.standins.instances import InstanceServer, gives
from lemonlead.standins.server import until

# ---- what is told, and when

LIST = {"version": 3, "full": True, "servers": [{"id": 'a"}{\\', "addr": "h:1", "cells": [[], {}]}, {}]}


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
def test_lists_are_read_however_they_are_indented(indent):
    objects, text = Objects(), json.dumps(LIST, indent=indent).encode()
    lines = [b"", *text.split(b"\n"), b"", b"  ", *text.split(b"\n")]
    told = [json.loads(whole) for whole in map(objects.add, lines) if whole]
    assert told == [LIST, LIST] and not objects.lines


def test_a_gateway_goes_by_a_list_that_comes_indented(tmp_path):
    old = InstanceServer().start()
    new = InstanceServer(lambda words: gives(b"new")).start()
    with gateway(tmp_path, old, new, entries=[entry("i0", old)]) as ran:
        ran.discovery.indent = 2
        ran.discovery.tell(entry("i1", new), full=True, version=5)
        client = ran.client()
        until(lambda: client.ask().read() == b"new")
        assert "reason=malformed" not in ran.log()
