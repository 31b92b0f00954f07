"""Files in, values and places out."""

import hashlib
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path

from .faults import Fault, Place, Unfit
from .parser import inside, parse
from .unify import unify

MOST_FILES = 64  # that one file may include, themselves with their own


def schema_text(name):
    """The schema of this name, as it is kept beside this module."""
    return (Path(__file__).parent / "schemas" / f"{name}.cue").read_text()


@dataclass(slots=True)
class Read:
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


def read(path, schema, name="schema"):
    """A file with all it includes, unified with a schema (text); Unfit, with all faults, where it cannot be
    used."""
    structs, files, digest = [schema_tree(schema, name)], [], hashlib.sha256()
    gather(Path(path), Place(str(path), 1, 1), structs, files, digest)
    value, literals = unify(structs, str(path))
    return Read(str(path), value, literals, digest.hexdigest()[:12], files)


def gather(path, place, structs, files, digest):
    """The file's struct, then those that it includes, each once. An include is found beside the file that
    names it."""
    if path.resolve() in files:
        return
    if len(files) >= MOST_FILES:
        raise Unfit([Fault(place, "", "a file more", f"{MOST_FILES} files")])
    files.append(path.resolve())
    try:
        data = path.read_bytes()
        text = data.decode()
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise Unfit([Fault(place, "", f"{path}: {reason}", "a file of text")]) from None
    digest.update(data)
    struct = parse(text, str(path))
    structs.append(struct)
    for at, name in struct.includes:
        gather(path.parent / name, at, structs, files, digest)
