"""The record of a stand-in: one JSON line for each event that it observed.

Tests check the system against these files instead of the system's own reports. Each line is written
unbuffered, before the stand-in acts on the event, and survives a kill of the process.
"""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any, Final

import orjson

FILE_MODE: Final = 0o644


class Recorder:
    """Append observed events to a file; without a path they are dropped."""

    # The open file; None without a path or after `close`.
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
        """Append one event with the present wall-clock time."""
        if self._fd is None:
            return
        line = orjson.dumps({"event": event, "at": time.time(), **fields})
        # A single write to an append-only descriptor does not mix the lines of several processes.
        os.write(self._fd, line + b"\n")

    def close(self) -> None:
        """Close the file; later events are dropped."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


# Any: the fields differ by event.
def read_records(path: str | Path) -> list[dict[str, Any]]:
    """Return all complete lines of a record, in the order in which they were written."""
    data = Path(path).read_bytes()
    # The last piece is empty or an incomplete line.
    lines = data.split(b"\n")[:-1]
    return [orjson.loads(line) for line in lines if line]
