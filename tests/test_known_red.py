"""Tests of conftest.py: the lines of KNOWN-RED.txt, and the guard of parallel tests. Each case is a small
project with a copy of conftest.py, run in part, or as CI runs this project: `-m parallel` in workers, then
the rest."""

import re
import shutil
from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

ROOT = Path(__file__).parents[1]
TESTS = """
import os, socket, subprocess, sys, threading
import pytest

def test_right():
    pass

def test_wrong():
    assert 1 == 2, "as ever"

@pytest.mark.parametrize("n", [1, 2])
def test_half_wrong(n):
    assert n == 1

@pytest.fixture
def broken():
    raise OSError("no place")

def test_unfit(broken):
    pass
"""
FAILING = ["test_wrong", "test_half_wrong[2]", "test_unfit"]
ACTIONS_OUTSIDE = {
    "opens a socket": "socket.socket().close()",
    "starts a program": "subprocess.run([sys.executable, '-c', ''])",
    "forks": "os.fork() or os._exit(0)",
    "catches the error": "try: socket.socket()\n    except RuntimeError: pass",
    "does so on a thread": "t = threading.Thread(target=socket.socket); t.start(); t.join()",
}
CLOSING = re.compile(r"^(\d+ \w+, )*\d+ \w+ in [\d.]+s", re.MULTILINE)  # CI parses the counts in it
KINDS = {"parallel": "test_moves.py", "serial": "test_other.py"}


class Project:
    """A project with two test files: one has the given tests, the other one test that passes."""

    def __init__(self, pytester, kind, tests=TESTS):
        self.pytester, self.tests, self.name = pytester, pytester.mkdir("tests"), KINDS[kind]
        shutil.copy(ROOT / "tests" / "conftest.py", self.tests)
        shutil.copy(ROOT / "pyproject.toml", pytester.path)
        for name in KINDS.values():
            text = tests if name == self.name else "def test_there():\n    pass\n"
            (self.tests / name).write_text(text)

    def write_known_red(self, *lines):
        (self.pytester.path / "KNOWN-RED.txt").write_text("\n".join(["# a heading", "", *lines]) + "\n")
        return self

    def line(self, test, more=" | pytest, seed 1 | some cause | 31"):
        return f"tests/{self.name}::{test}{more}"

    def run(self, *words):
        """Runs pytest; returns its exit code and everything that it printed."""
        # In a process of its own, because a thread left by another test would fail what it runs.
        with_paths = ("-p", "no:hypothesispytest", "--import-mode=importlib", *words)
        ran = self.pytester.runpytest_subprocess(*with_paths)
        return ran.ret, ran.stdout.str() + ran.stderr.str()

    def ci(self, workers=1):
        """Does both runs; returns whether both passed, and everything that they printed."""
        first, printed = self.run("-n", str(workers), "-m", "parallel")
        second, more = self.run("-m", "not parallel")
        assert CLOSING.search(printed) and CLOSING.search(more)
        return first == second == 0, printed + more


@pytest.fixture(params=KINDS)
def project(pytester, request):
    return Project(pytester, request.param)


def test_failing_tests_fail_without_a_line(project):
    code, printed = project.write_known_red().run()
    assert code == 1 and "2 failed, 3 passed, 1 error in" in printed and "known red" not in printed


def test_listed_tests_run_as_expected_failures(project):
    code, printed = project.write_known_red(*map(project.line, FAILING)).run()
    assert code == 0 and "3 passed, 3 xfailed in" in printed and "known red" in printed
    for name in FAILING:
        assert project.line(name) + " | failed" in printed


def test_one_file_serves_both_runs_of_ci(pytester):
    tests = "def test_wrong():\n    assert 0\n\ndef test_right():\n    pass\n"
    project = Project(pytester, "parallel", tests)
    (project.tests / KINDS["serial"]).write_text(tests)
    known = [f"tests/{name}::test_wrong | pytest, seed 1 | some cause | 31" for name in KINDS.values()]
    passed, printed = project.write_known_red(*known).ci(workers=2)
    assert passed and [printed.count(line + " | failed") for line in known] == [1, 1]
    assert printed.count("1 passed, 1 xfailed in") == 1 and "1 passed, 2 deselected, 1 xfailed in" in printed


def test_failing_test_that_is_not_listed_fails_the_run(project):
    code, printed = project.write_known_red(*map(project.line, FAILING[:2])).run()
    assert code == 1 and "2 xfailed, 1 error in" in printed


def test_listed_test_that_passes_fails_the_run(project):
    code, printed = project.write_known_red(*map(project.line, [*FAILING[1:], "test_right"])).run()
    assert code == 1 and "XPASS(strict)" in printed and project.line("test_right") in printed


@pytest.mark.parametrize("gone", ["test_gone", "test_half_wrong", "test_half_wrong[3]"])
def test_line_without_a_test_fails_only_the_run_of_all_tests(pytester, gone):
    project = Project(pytester, "parallel")
    project.write_known_red(*map(project.line, [*FAILING[:2], gone]))
    code, printed = project.run()
    assert code == 1 and f"no such test: {project.line(gone, '')}" in printed
    assert project.run("tests/test_other.py")[0] == 0
    assert project.run("tests/test_moves.py", "-k", "wrong")[0] == 0


def test_wrong_lines_fail_ci_once_each(pytester):
    project = Project(pytester, "parallel", "def test_right():\n    pass\n")
    passed, printed = project.write_known_red(*map(project.line, ["test_right", "test_gone"])).ci()
    assert not passed and printed.count("[XPASS(strict)] some cause | 31") == 1
    assert len(re.findall(r"^KNOWN-RED.txt: no such test: .*gone$", printed, re.MULTILINE)) == 1


@pytest.mark.parametrize(
    "lines",
    [
        ["test_wrong"],
        ["test_wrong | some cause"],
        ["test_wrong | some cause | 31"],
        ["test_wrong | | some cause | 31"],
        ["test_wrong | pytest, seed 1 | | 31"],
        ["test_wrong | pytest, seed 1 | some cause | "],
        ["test_wrong | pytest, seed 1 | some cause | 31", "test_wrong | pytest | other cause | 32"],
    ],
    ids=["id", "no issue", "no command", "empty command", "empty cause", "empty issue", "twice"],
)
def test_malformed_line_fails_every_run(pytester, lines):
    project = Project(pytester, "parallel")
    project.write_known_red(*(project.line(line, "") for line in lines))
    for words in (["-n", "1", "-m", "parallel"], ["tests/test_other.py"]):
        code, printed = project.run(*words)
        assert code == pytest.ExitCode.USAGE_ERROR and "KNOWN-RED.txt: " in printed
        assert "passed" not in printed


def test_line_without_a_file_is_malformed(pytester):
    code, printed = Project(pytester, "serial").write_known_red("test_wrong | pytest | some cause | 31").run()
    assert code == pytest.ExitCode.USAGE_ERROR and "test id | command and seed | what was seen" in printed


def test_id_may_contain_a_bar(pytester):
    tests = 'import pytest\n@pytest.mark.parametrize("x", ["a | b"])\ndef test_bar(x):\n    assert 0\n'
    project = Project(pytester, "serial", tests)
    code, printed = project.write_known_red(project.line("test_bar[a | b]")).run()
    assert code == 0 and "1 passed, 1 xfailed in" in printed


@pytest.mark.parametrize("what", ACTIONS_OUTSIDE)
def test_parallel_test_that_acts_outside_its_process_fails(pytester, what):
    head = "import os, socket, subprocess, sys, threading\nimport pytest\n"
    body = f"def test_outside():\n    {ACTIONS_OUTSIDE[what]}\n"
    project = Project(pytester, "parallel", head + body)
    code, printed = project.run("-m", "parallel")
    assert code == 1 and "mark it `serial`" in printed
    (project.tests / project.name).write_text(head + "@pytest.mark.serial\n" + body)
    code, printed = project.run("-m", "not parallel")
    assert code == 0 and "2 passed" in printed


def test_file_that_neither_run_of_ci_collects_is_an_error(pytester):
    tests = "import pytest\n\npytestmark = pytest.mark.parallel\n\ndef test_right():\n    pass\n"
    code, printed = Project(pytester, "serial", tests).run("-m", "not parallel")
    assert code != 0 and "PARALLEL does not name its file" in printed


def test_ci_runs_the_command_in_the_readme():
    (command,) = re.findall(r"^    (\S+ruff check .*)$", (ROOT / "README.md").read_text(), re.MULTILINE)
    assert "-m parallel" in command and '-m "not parallel"' in command
    assert (ROOT / ".ci" / "run").read_text().splitlines()[-1] == command
