"""Checks each error of the cluster's packages: it is defined in its package's `faults` module, says what an
operator can do, and has one row on the on-call page."""

import ast
import importlib
import inspect
import pkgutil
import re
from pathlib import Path

import pytest

import lemonlead
from lemonlead.ledger.faults import Fault

ROOT = Path(__file__).parents[1]
PAGES = {  # package to the sections of the on-call page that may name its errors
    "ledger": ("A member's folder and settings", "A member's calls, log and counters"),
    "member": ("A member's folder and settings", "A member's calls, log and counters"),
    "drains": ("Drains",),
    "moves": ("Moves between clusters",),
    "following": ("Gateways that follow a ledger",),
    "distribution": ("Relays, and gateways that hear them",),
}


def subclasses(kind):
    return {found for one in kind.__subclasses__() for found in ({one} | subclasses(one))}


def errors():
    """Returns every type of error that the packages define, in any of their modules."""
    for package in PAGES:
        home = importlib.import_module(f"lemonlead.{package}")
        for module in pkgutil.walk_packages(home.__path__, f"{home.__name__}."):
            importlib.import_module(module.name)
    prefixes = tuple(f"lemonlead.{package}." for package in PAGES)
    return sorted(
        (one for one in subclasses(Fault) if one.__module__.startswith(prefixes)),
        key=lambda one: (one.__module__, one.__name__),
    )


ERRORS = errors()


def table_rows(package):
    """Yields the cells of each table row of the sections that may name the errors of the package."""
    for section in re.split(r"^## ", (ROOT / "docs" / "oncall.md").read_text(), flags=re.MULTILINE):
        if section.partition("\n")[0] in PAGES[package]:
            for line in section.splitlines():
                if line.startswith("| "):
                    yield [cell.strip() for cell in line.strip("|").split("|")]


def find_constructions(kind):
    """Yields (file name, line, number of arguments) of each call that constructs this error, in the whole
    program."""
    for path in sorted(Path(lemonlead.__file__).parent.rglob("*.py")):
        if f"{kind.__name__}(" in (text := path.read_text()):
            for node in ast.walk(ast.parse(text)):
                if isinstance(node, ast.Call):
                    name = getattr(node.func, "id", getattr(node.func, "attr", ""))
                    if name == kind.__name__:
                        yield path.name, node.lineno, len(node.args) + len(node.keywords)


def test_all_packages_define_errors():
    assert {one.__module__.split(".")[1] for one in ERRORS} == set(PAGES) and len(ERRORS) > 45


@pytest.mark.parametrize("kind", ERRORS, ids=lambda kind: f"{kind.__module__.split('.')[1]}-{kind.__name__}")
def test_error_is_in_its_package_and_on_the_on_call_page(kind):
    package = kind.__module__.split(".")[1]
    assert kind.__module__ == f"lemonlead.{package}.faults" and inspect.getdoc(kind) and kind.__doc__
    if kind.do == Fault.do:  # then each call that constructs one has to give it
        assert [call for call in find_constructions(kind) if call[2] < 2] == []
    else:
        assert len(kind.do) > 10
    (row,) = [row for row in table_rows(package) if f"`{kind.__name__}`" in row[0]]
    assert len(row) == 3 and all(row)
