"""Counting events in the logs of many gateways, on example lines."""

import sys

import pytest

from benchmarks import fleet

LINES = """0.1 timestamp=2026-01-02T03:04:05.100000Z level=info event=serving gateway=n0
timestamp=2026-01-02T03:04:05.900000Z level=info event="client ended" gateway=n0 reason="client closed"
timestamp=2026-01-02T03:04:06.200000Z level=info event="watch ended" gateway=n1 reason=unavailable detail=
timestamp=2026-01-02T03:04:07.100000Z level=info event=vote gateway=n1 build=2 stage=0 ended=over
timestamp=2026-01-02T03:04:07.500000Z level=info event=vote gateway=n1 build=2 stage=0 ended=over
no line of a gateway's
timestamp=2026-01-02T03:04:07.600000Z level=info event=vote gateway=n0 build=2 stage=0 ended=counted
""".splitlines()


def test_events_with_their_reasons_are_counted_by_second():
    names, table = fleet.by_second(fleet.read(LINES))
    assert names[:2] == ["second", "vote: over"] and len(table) == 3
    counted = dict(zip(names, zip(*table, strict=True), strict=True))
    assert counted["second"] == (0, 1, 2) and counted["vote: over"] == (0, 0, 2)
    assert counted["client ended: client closed"] == counted["serving"] == (1, 0, 0)
    assert counted["watch ended: unavailable"] == (0, 1, 0)


def test_highest_count_of_a_gateway_is_listed_with_the_median():
    _, table = fleet.by_gateway(fleet.read(LINES))
    assert table[0] == ["vote: over", 2, 1, "n1", 2, 1.0]


def test_rare_events_share_one_column():
    lines = [LINES[0].replace("serving", f"event{n}") for n in range(20)]
    names, table = fleet.by_second(fleet.read(lines))
    assert len(names) == fleet.MAX_COLUMNS + 2 and table[0][-1] == 20 - fleet.MAX_COLUMNS


def test_folder_without_logs_is_an_error(tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(sys, "argv", ["fleet", str(tmp_path)])
    with pytest.raises(SystemExit) as ended:
        fleet.main()
    assert ended.value.code == 2 and "no lines of gateways' logs there" in capsys.readouterr().err
