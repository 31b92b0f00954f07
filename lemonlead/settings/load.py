"""Files in, values and places out."""

import hashlib
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path

from .faults import Fault, Place, InvalidFile
from .parser import MAX_FILE_SIZE, inside, parse
from .unify import unify

MOST_FILES = 64  # that one file may include, themselves with their own


def schema_text(name):
    """The schema of this name, as it is kept beside this module."""
    return (Path(__file__).parent / "schemas" / f"{name}.cue").read_text()


@dataclass(slots=True)
class SettingsFile:
    """What a file says. `value`: plain dicts, lists, strings, numbers (durations in nanoseconds). `literals`:
    where each came from, by path. `digest`: of all files' bytes."""

    file: str
    value: dict
    literals: dict
    digest: str
    files: list = field(default_factory=list)

    def place(self, path, line=1, column=1):
        """The place in its file of a place in a string's text; of the field where it is no string."""
        literal = self.literals.get(path)
        if literal is None:
            return Place(self.file, 1, 1)
        return inside(literal, line, column) if literal.raw else literal.place


@lru_cache(16)
def schema_tree(schema, name):
    """A schema is read once: nothing changes a tree."""
    return parse(schema, name)


def read(path, schema, name="schema", max_bytes=MAX_FILE_SIZE):
    """A file with all it includes, unified with a schema (text); Unfit, with all faults, where it cannot be
    used. `room`: the most bytes of all files together. Reading takes some 260 bytes of memory for each."""
    gathered = Gathered(schema_tree(schema, name), min(max_bytes, MAX_FILE_SIZE))
    gathered.add(Path(path), Place(str(path), 1, 1))
    value, literals = unify(gathered.structs, str(path))
    return SettingsFile(str(path), value, literals, gathered.digest.hexdigest()[:12], gathered.files)


class Gathered:
    """Files that were read, one after the other, into their structs."""

    def __init__(self, schema, max_bytes):
        self.structs, self.files, self.digest = [schema], [], hashlib.sha256()
        self.max_bytes = self.left = max_bytes

    def add(self, path, place):
        """The file's struct, then those that it includes, each once. An include is found beside the file that
        names it; `place` is where it is named."""
        if path.resolve() in self.files:
            return
        if len(self.files) >= MOST_FILES:
            raise InvalidFile([Fault(place, "", "a file more", f"{MOST_FILES} files")])
        self.files.append(path.resolve())
        struct = parse(self.text(path, place), str(path))
        self.structs.append(struct)
        for at, name in struct.includes:
            self.add(path.parent / name, at)

    def text(self, path, place):
        try:
            with open(path, "rb") as file:
                data = file.read(self.left + 1)
            if len(data) > self.left:
                raise InvalidFile(
                    [Fault(place, "", "more to read", f"{self.max_bytes} bytes of all files together")]
                )
            self.left -= len(data)
            self.digest.update(data)
            return data.decode()
        except (OSError, ValueError) as error:
            reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
            raise InvalidFile([Fault(place, "", f"{path}: {reason}", "a file of text")]) from None
