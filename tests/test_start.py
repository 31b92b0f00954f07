"""A gateway's start: its imports, the format of its log lines, and that it serves in time despite any failure
of discovery."""

import contextlib
import io
import os
import re
import select
import shutil
import socket
import subprocess
import sys
import threading
import time
import tomllib
from datetime import UTC, datetime
from pathlib import Path

import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as some
from lemonlead.gateway import logfmt, resp
from lemonlead.standins.fleet import gateway
from lemonlead.standins.instances import InstanceServer
from lemonlead.standins.server import Server, until

ROOT = Path(__file__).parents[1]
READY = 6.0  # seconds in which nine of ten restarted gateways must be ready
HEAVY = "asyncio concurrent ctypes email html http logging.config logging.handlers multiprocessing"
HEAVY = set(f"{HEAVY} sqlite3 ssl subprocess unittest urllib uuid xml".split())
NAMES = some.text("abcxyz_", min_size=1).filter(lambda name: name not in ("event", "level", "timestamp"))
VALUES = some.none() | some.booleans() | some.integers() | some.floats() | some.text(' ="\\\nab\u00e9%{}')


# ---- imports


LOADED = """
import os, runpy, sys
os._exit = sys.exit  # the gateway ends its process with it
before = set(sys.modules)
try:
    runpy.run_module("lemonlead.gateway", run_name="__main__", alter_sys=True)
except SystemExit as ended:
    print(ended.code, *set(sys.modules) - before)
"""


def test_gateway_imports_only_light_standard_library_modules():
    """Imports take start time on a share of a core. This start ends when it reads its configuration, which
    is after all imports of a gateway without rules and ledger."""
    environment = {**os.environ, "ROUTER_CONFIG": "/none"}
    ran = subprocess.run([sys.executable, "-c", LOADED], capture_output=True, text=True, env=environment)
    code, *found = ran.stdout.split()
    assert code == "2" and {"lemonlead.gateway.clients", "logging"} <= set(found)
    tops = {name.split(".")[0] for name in found}
    assert tops - sys.stdlib_module_names == {"lemonlead"}
    assert {one for one in found if {one, one.split(".")[0]} & HEAVY} == set()


def test_start_after_build_compiles_no_module(tmp_path):
    """Guards against compiling at each start, because `run` has a read-only file system."""
    shutil.copytree(ROOT / "lemonlead", tmp_path / "lemonlead", ignore=shutil.ignore_patterns("__pycache__"))
    (tmp_path / ".venv" / "bin").mkdir(parents=True)
    (tmp_path / ".venv" / "bin" / "python").symlink_to(sys.executable)
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True)
    for source in tmp_path.glob("lemonlead/**/*.py"):
        os.utime(source, (1, 1))  # a copy of the folder may not keep the modification times
    words = [sys.executable, "-B", "-v", "-c", "import lemonlead.gateway.__main__"]
    ran = subprocess.run(words, cwd=tmp_path, capture_output=True, text=True, check=True)
    read = [line.split("'")[1] for line in ran.stderr.splitlines() if line.startswith("# code object from '")]
    ours = [path for path in read if path.startswith(str(tmp_path))]
    assert len(ours) > 15 and [path for path in ours if not path.endswith(".pyc")] == []
    changed = tmp_path / "lemonlead" / "gateway" / "logfmt.py"
    changed.write_text("raise SystemExit(7)")  # a cached file is never used for a changed source
    assert subprocess.run(words, cwd=tmp_path, capture_output=True).returncode == 7


# ---- the log


LEVELS = some.sampled_from(["info", "warning", "error"])


@settings(deadline=None)
@given(some.text(' ="\\\nab%s{}'), some.dictionaries(NAMES, VALUES), LEVELS)
def test_log_line_equals_the_one_of_structlog(event, fields, level):
    """Members log with structlog, and the same tools read both logs."""
    stream = io.StringIO()
    getattr(logfmt.open_log(stream, gateway="g 0"), level)(event, **fields)
    idempotency_key = re.match(r"timestamp=(\S+Z) ", stream.getvalue())[1]
    render = structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"])
    fields = {"gateway": "g 0", **fields, "event": event, "level": level, "timestamp": idempotency_key}
    assert stream.getvalue() == render(None, level, fields) + "\n"


def test_log_timestamp_is_utc_with_microseconds():
    stream, before = io.StringIO(), datetime.now(UTC)
    logfmt.open_log(stream).info("serving")
    text = stream.getvalue().split()[0].removeprefix("timestamp=")
    parsed = datetime.strptime(text, "%Y-%m-%dT%H:%M:%S.%f%z")
    assert before <= parsed <= datetime.now(UTC)
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z", text)


def test_log_lines_of_threads_are_whole_and_write_errors_end_none(capsys):
    class Full(io.StringIO):
        def write(self, text):
            if "lost" in text:
                raise OSError(28, "No space left on device")
            return super().write(text)

    stream = Full()
    log = logfmt.open_log(stream, gateway="g0")

    def write_lines(number):
        for n in range(50):
            log.info("lost" if n == 25 else "kept", number=number, n=n)

    threads = [threading.Thread(target=write_lines, args=(number,)) for number in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ends = sorted(line.partition(" event=")[2] for line in stream.getvalue().splitlines())
    kept = [(number, n) for number in range(8) for n in range(50) if n != 25]
    assert ends == sorted(f"kept gateway=g0 number={number} n={n}" for number, n in kept)
    assert capsys.readouterr().err.count("\nOSError: [Errno 28]") == 8


# ---- the wait for the first list


class StalledDiscovery(Server):
    """A discovery server that answers each call with these bytes, then sends nothing until the test ends."""

    def __init__(self, data):
        super().__init__()
        self.data, self.called, self.over = data, threading.Event(), threading.Event()

    def serve(self, sock):
        sock.recv(4096)
        sock.sendall(self.data)
        self.called.set()
        self.over.wait()

    def close(self):
        self.over.set()
        super().close()


class RefusingAddress:
    """A reserved address where nobody listens."""

    def __init__(self):
        self.sock, self.called = socket.socket(), threading.Event()
        self.sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.called.set()

    def close(self):
        self.sock.close()


class FullAcceptQueue(RefusingAddress):
    """A listener with a full accept queue, so that no connect succeeds."""

    def __init__(self):
        super().__init__()
        self.sock.listen(0)
        self.filling = []
        while True:
            self.filling.append(socket.socket())
            self.filling[-1].setblocking(False)
            with contextlib.suppress(BlockingIOError):
                self.filling[-1].connect(self.sock.getsockname())
            if not select.select([], self.filling[-1:], [], 0.2)[1]:
                return

    def close(self):
        for sock in [self.sock, *self.filling]:
            sock.close()


HALF_LIST = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n{"version": 9,\r\n'
FAILURES = {
    "refuses": RefusingAddress,
    "takes no connection": FullAcceptQueue,
    "says nothing": lambda: StalledDiscovery(b""),
    "half a head of a refusal": lambda: StalledDiscovery(b"HTTP/1.1 503 Busy\r\nContent-"),
    "too many callers": lambda: StalledDiscovery(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
    "half a list": lambda: StalledDiscovery(HALF_LIST),
}


@pytest.mark.parametrize("setting", ["push", "ask"])
@pytest.mark.parametrize("failure", FAILURES)
def test_gateway_serves_in_time_despite_discovery_failures(tmp_path, failure, setting):
    """The failure lasts until the gateway has answered, so only the gateway's own limit ends the wait."""
    discovery, server = FAILURES[failure](), InstanceServer().start()
    if isinstance(discovery, StalledDiscovery):
        discovery.start()
    began = time.monotonic()
    more = {"Discovery": setting, "Balancers": 200}
    with gateway(tmp_path, server, settings=more, source=discovery) as ran:
        client = ran.client()
        assert client.write(resp.command([b"PING"])).read() == b"PONG"
        assert time.monotonic() - began < READY
        assert client.ask(b"key").read() == b"key"
        assert setting == "ask" or until(discovery.called.is_set)
