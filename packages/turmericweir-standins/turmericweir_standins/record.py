"""The record of a stand-in: one JSON line for each event that it observed.

Tests check what the system promised against these files and not against the system's own account
of itself. So a line must be in the file before the stand-in does anything that could end its
process: each write goes to the kernel at once and survives a kill of the process.
"""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any, Final

import orjson

FILE_MODE: Final = 0o644


class Recorder:
    """Append observed events to a file; without a path it drops them."""

    # The open file, or None where nothing is kept.
    _fd: int | None

    def __init__(self, path: str | None) -> None:
        self._fd = None
        if path is not None:
            self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)

    def __enter__(self) -> Recorder:
        return self

    def __exit__(self, *_exc_info: object) -> None:
        self.close()

    def write(self, event: str, **fields: object) -> None:
        """Append one event with the wall-clock time at which it was seen."""
        if self._fd is None:
            return
        line = orjson.dumps({"event": event, "at": time.time(), **fields})
        # One write call on an append-only descriptor keeps the lines of several processes whole.
        os.write(self._fd, line + b"\n")

    def close(self) -> None:
        """Close the file; later events are dropped."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


# Any: the fields differ by event and are whatever JSON holds.
def read_records(path: str | Path) -> list[dict[str, Any]]:
    """Read all whole lines of a record, in the order in which they were written."""
    data = Path(path).read_bytes()
    # The last piece is empty, or a line that is being written at this moment.
    lines = data.split(b"\n")[:-1]
    return [orjson.loads(line) for line in lines if line]
