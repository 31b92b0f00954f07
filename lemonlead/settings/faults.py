"""Faults of settings files: what was found at which place, and what is allowed there."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """A place in a file. Line and column are counted from 1."""

    file: str
    line: int
    column: int

    def __str__(self):
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a place. `path` is the field, as in `rules[3].when`, and `other` the place of a conflicting
    value or constraint."""

    place: Place
    path: str
    found: str
    allowed: str
    other: Place | None = None
    code: str = "value"  # "syntax", "name", "type" or "value"

    def __str__(self):
        return f"{self.place}: {self.message}"

    @property
    def message(self):
        also = f" (by {self.other})" if self.other else ""
        return f"{self.path or 'the file'}: found {self.found}, allowed {self.allowed}{also}"

    def as_dict(self):
        return {
            "code": self.code,
            "file": self.place.file,
            "line": self.place.line,
            "column": self.place.column,
            "path": self.path,
            "found": self.found,
            "allowed": self.allowed,
            "other": str(self.other) if self.other else None,
        }


class InvalidFile(Exception):
    """A file that cannot be used, with all its faults, sorted by place."""

    def __init__(self, faults):
        self.faults = sorted(faults, key=lambda f: (f.place.file, f.place.line, f.place.column, f.path))
        more = f" and {len(faults) - 1} more" if len(faults) > 1 else ""
        super().__init__(f"{self.faults[0]}{more}")
