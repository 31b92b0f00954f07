"""Reads settings files, with the files that they include."""

import hashlib
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path

from .faults import Fault, Place, InvalidFile
from .parser import MAX_FILE_SIZE, place_in_string, parse
from .unify import unify

MAX_FILES = 64  # that are read for one settings file, itself and all direct and indirect includes


def schema_text(name):
    """Returns the text of a schema in the folder `schemas`."""
    return (Path(__file__).parent / "schemas" / f"{name}.cue").read_text()


@dataclass(slots=True)
class SettingsFile:
    """The contents of a settings file.

    `value` consists of plain dicts, lists, strings and numbers (durations in nanoseconds). `literals` has the
    literal of each value by path. `digest` is that of the bytes of all files read."""

    file: str
    value: dict
    literals: dict
    digest: str
    files: list = field(default_factory=list)

    def place(self, path, line=1, column=1):
        """Returns the place in the file of a line and column in a string value; of the field if it is not a
        string."""
        literal = self.literals.get(path)
        if literal is None:
            return Place(self.file, 1, 1)
        return place_in_string(literal, line, column) if literal.raw else literal.place


@lru_cache(16)
def schema_tree(schema, name):
    """Parses a schema. The result is cached, because trees are not modified."""
    return parse(schema, name)


def read(path, schema, name="schema", max_bytes=MAX_FILE_SIZE):
    """Reads a file and everything that it includes, and unifies it with a schema, given as text. Raises
    InvalidFile with all faults. `max_bytes` limits the size of all files together; reading takes about 260
    bytes of memory for each byte of them."""
    loader = FileLoader(schema_tree(schema, name), min(max_bytes, MAX_FILE_SIZE))
    loader.add(Path(path), Place(str(path), 1, 1))
    value, literals = unify(loader.structs, str(path))
    return SettingsFile(str(path), value, literals, loader.digest.hexdigest()[:12], loader.files)


class FileLoader:
    """Reads files and parses them to structs."""

    def __init__(self, schema, max_bytes):
        self.structs, self.files, self.digest = [schema], [], hashlib.sha256()
        self.max_bytes = self.bytes_left = max_bytes

    def add(self, path, place):
        """Adds the struct of a file, then those of its includes, each file once. Includes are relative to the
        folder of the including file; `place` is the place of the include."""
        if path.resolve() in self.files:
            return
        if len(self.files) >= MAX_FILES:
            raise InvalidFile([Fault(place, "", "a file more", f"{MAX_FILES} files")])
        self.files.append(path.resolve())
        struct = parse(self.text(path, place), str(path))
        self.structs.append(struct)
        for at, name in struct.includes:
            self.add(path.parent / name, at)

    def text(self, path, place):
        try:
            with open(path, "rb") as file:
                data = file.read(self.bytes_left + 1)
            if len(data) > self.bytes_left:
                raise InvalidFile(
                    [Fault(place, "", "more to read", f"{self.max_bytes} bytes of all files together")]
                )
            self.bytes_left -= len(data)
            self.digest.update(data)
            return data.decode()
        except (OSError, ValueError) as error:
            reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
            raise InvalidFile([Fault(place, "", f"{path}: {reason}", "a file of text")]) from None
