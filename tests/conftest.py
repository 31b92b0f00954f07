"""Pytest configuration: which tests may run in parallel, and which are known to fail (`KNOWN-RED.txt`)."""

import sys
from pathlib import Path

import pytest

# Files whose tests open no socket and start no program, except for tests marked `serial`. All other tests run
# alone, one after the other, because they depend on timing.
PARALLEL = """
    balance capacity_fleet dispatcher distribution_simulated drains expressions fleet_logs ledger_state
    list_changes member_told placement reading_time
    moves oncall parsers planning replica rules settings simulated simulated_faults simulated_whole unheard
"""
PARALLEL = {f"test_{name}.py" for name in PARALLEL.split()}
OUTSIDE = {"socket.__new__", "subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.system"}
KNOWN_RED = pytest.StashKey[dict]()


# ---- tests that may run in parallel


def pytest_ignore_collect(collection_path, config):
    """Keeps workers from importing files in which they run no test."""
    others = collection_path.suffix == ".py" and collection_path.name not in PARALLEL
    return True if others and config.option.markexpr == "parallel" else None


class AuditGuard:
    """Raises an error when a parallel test acts outside its process, on any thread."""

    def __init__(self):
        self.on, self.found = False, []
        sys.addaudithook(self.audit)

    def audit(self, event, _):
        if self.on and event in OUTSIDE:
            self.found.append(event)
            raise RuntimeError(f"{event} in a parallel test: mark it `serial`")


audit_guard = AuditGuard()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item):
    audit_guard.on = item.get_closest_marker("parallel") is not None
    try:
        return (yield)
    finally:
        audit_guard.on = False


@pytest.hookimpl(wrapper=True)
def pytest_runtest_teardown():
    """Fails the test also if the error was caught by the code under test, or raised on another thread."""
    found, audit_guard.found = audit_guard.found, []
    yield
    if found:
        pytest.fail(f"{found} in a parallel test: mark it `serial`", pytrace=False)


# ---- tests that are known to fail


class MissingTest(pytest.Item):
    """Stands for a line that names no test, in a run of all tests."""

    def runtest(self):
        pytest.fail(f"KNOWN-RED.txt: no such test: {self.name}", pytrace=False)


def parse_known_red(text):
    """Returns the lines `test id | command and seed | what was seen | issue` as a dict by id."""
    lines_by_id = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        id, *more = (part.strip() for part in line.rsplit("|", 3))
        if len(more) != 3 or "::" not in id or not all(more) or id in lines_by_id:
            form = "`test id | command and seed | what was seen | issue`"
            raise pytest.UsageError(f"KNOWN-RED.txt: not {form}, or there twice: {line!r}")
        lines_by_id[id] = more
    return lines_by_id


def pytest_configure(config):
    config.addinivalue_line("markers", "parallel: opens no socket and starts no program (by its file)")
    config.addinivalue_line(
        "markers", "serial: opens a socket or starts a program, in a file of parallel tests"
    )
    path = Path(config.rootpath) / "KNOWN-RED.txt"
    config.stash[KNOWN_RED] = parse_known_red(path.read_text() if path.exists() else "")


@pytest.hookimpl(tryfirst=True)  # before any are deselected
def pytest_collection_modifyitems(session, config, items):
    for item in items:
        if item.path.name not in PARALLEL and item.get_closest_marker("parallel") is not None:
            # Neither of CI's two runs would collect it.
            raise pytest.UsageError(
                f"{item.nodeid} is marked `parallel`, but PARALLEL does not name its file"
            )
        if item.path.name in PARALLEL and item.get_closest_marker("serial") is None:
            item.add_marker("parallel")
    found = {item.nodeid: item for item in items}
    for id, (_, seen, issue) in config.stash[KNOWN_RED].items():
        if id in found:
            found[id].add_marker(pytest.mark.xfail(reason=f"{seen} | {issue}", strict=True))
        elif config.args_source is not config.ArgsSource.ARGS:  # a run of all tests
            items.append(MissingTest.from_parent(session, name=id))


def pytest_terminal_summary(terminalreporter, config):
    failed = {report.nodeid for report in terminalreporter.stats.get("xfailed", [])}
    if lines := config.stash[KNOWN_RED]:
        terminalreporter.section("known red")
    for id, fields in lines.items():
        terminalreporter.line(
            " | ".join([id, *fields, "failed" if id in failed else "not run, or no failure"])
        )
