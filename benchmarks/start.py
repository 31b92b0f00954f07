"""What a gateway's start costs: processor time and wall time to its first PONG, and memory then. In ratios of
one run, each way in turn, so that what the machine does besides falls on all alike: as `build` leaves it,
with nothing kept compiled, and as an earlier revision had it, both ways.
`python -m benchmarks.start [--base REV]`; under a minute."""

import argparse
import contextlib
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median, quantiles

from lemonlead.gateway import resp
from lemonlead.standins.discovery import DiscoveryServer
from lemonlead.standins.fleet import SETTINGS

ROOT = Path(__file__).parents[1]
FIGURES = ("cpu_ms", "wall_ms", "memory_mb")
COMPILE = ("-m", "compileall", "-q", "--invalidation-mode", "checked-hash", "lemonlead")
TUNED = {"GLIBC_TUNABLES": "glibc.malloc.tcache_count=0", "MALLOC_ARENA_MAX": "1"}  # as `run` has it


def laid(source, folder, kept):
    """The program as `build` leaves it in that folder, or with nothing kept compiled."""
    shutil.copytree(source / "lemonlead", folder / "lemonlead", ignore=shutil.ignore_patterns("__pycache__"))
    if kept:
        subprocess.run([sys.executable, *COMPILE], cwd=folder, check=True)
    return folder


def start(folder, config):
    """One start, ended once it has answered: its figures."""
    environment = {**os.environ, **TUNED, "ROUTER_CONFIG": str(config), "PYTHONDONTWRITEBYTECODE": "1"}
    words, begun = [sys.executable, "-m", "lemonlead.gateway"], time.monotonic()
    process = subprocess.Popen(words, cwd=folder, env=environment, stdout=subprocess.PIPE)
    try:
        line = next(line for line in process.stdout if b"event=serving" in line)
        port = int(line.split(b"port=")[1].split()[0])
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(resp.command([b"PING"]))
            assert client.recv(64) == b"+PONG\r\n"
        wall = time.monotonic() - begun
        status = Path(f"/proc/{process.pid}/status").read_text()
        memory = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("RssAnon"))
    finally:
        process.kill()
        _, _, used = os.wait4(process.pid, 0)
        process.returncode = 0
        process.stdout.close()
    return 1e3 * (used.ru_utime + used.ru_stime), 1e3 * wall, memory / 1024


def known(count):
    return [
        {
            "id": f"s-{n}",
            "addr": f"127.1.{n // 250}.{n % 250 + 1}:7000",
            "zone": "here",
            "kind": "std",
            "cell": n % 8,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
            "revision_no": 1,
        }
        for n in range(count)
    ]


def play(ways, starts, instances):
    """The figures of each way's starts, where lists are pushed and the first one comes at once."""
    with tempfile.TemporaryDirectory() as folder, contextlib.closing(DiscoveryServer().start()) as discovery:
        servers = known(instances)
        discovery.publish(*servers, full=True)
        told = {
            "name": "g0",
            "listen": "127.0.0.1:0",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "known": {"version": 1, "full": True, "servers": servers},
            "settings": {**SETTINGS, "Discovery": "push"},
        }
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(told))
        rounds = [{name: start(way, config) for name, way in ways.items()} for _ in range(starts + 1)]
    return rounds[1:]  # the first one fills the system's caches


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--base", help="an earlier revision to hold the present one against")
    words.add_argument("--starts", type=int, default=30)
    words.add_argument("--instances", type=int, default=150)
    asked = words.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        folder = Path(folder)
        sources = {"now": ROOT}
        if asked.base:
            sources["base"] = folder / "tree"
            tree = ["git", "worktree", "add", "-q", "--detach", str(folder / "tree"), asked.base]
            subprocess.run(tree, check=True)
        try:
            ways = {
                f"{name}, {'kept' if kept else 'compiled anew'}": laid(source, folder / f"{name}{kept}", kept)
                for name, source in sources.items()
                for kept in (True, False)
            }
        finally:
            if asked.base:
                subprocess.run(["git", "worktree", "remove", "--force", str(folder / "tree")], check=True)
        rounds = play(ways, asked.starts, asked.instances)
    first = next(iter(ways))
    for name in ways:
        told = {"way": name}
        for n, figure in enumerate(FIGURES):
            told[figure] = round(median(ran[name][n] for ran in rounds), 1)
            ratios = [ran[name][n] / ran[first][n] for ran in rounds]
            told[f"{figure}_by_first"] = [round(one, 2) for one in quantiles(ratios, n=4)]
        print(json.dumps(told))


if __name__ == "__main__":
    main()
