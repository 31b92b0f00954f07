"""Settings files as typed records, in a subset of CUE: one language for types, defaults and values.

`read(path, schema)` unifies a file and everything that it includes with a schema, and returns plain values
and the place of each. All faults of a file are raised at once as `InvalidFile`, and nothing of such a file is
used. The platform's settings are JSON and are not read here. No decisions are made here."""

from .faults import Fault, InvalidFile
from .load import SettingsFile, read, schema_text
from .parser import MAX_FILE_SIZE

__all__ = ["MAX_FILE_SIZE", "Fault", "InvalidFile", "SettingsFile", "read", "schema_text"]
