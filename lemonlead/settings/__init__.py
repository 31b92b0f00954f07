"""Settings of ours as typed records, in a stated subset of CUE: one form for types, defaults and values.

`read(path, schema)` gives a file, with all that it includes, unified with a schema: plain values and the
place of each. All faults of a file are raised at once as `Unfit`, and nothing of an unfit file is used. What
the platform tells stays JSON and does not come through here. No decision is made here."""

from .faults import Fault, InvalidFile
from .load import SettingsFile, read, schema_text
from .parser import MAX_FILE_SIZE

__all__ = ["MAX_FILE_SIZE", "Fault", "InvalidFile", "SettingsFile", "read", "schema_text"]
