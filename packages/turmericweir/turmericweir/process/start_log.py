"""Log lines of a start, before the daemon's log output (`log_pipe`) exists.

They go to standard output in the same form, one JSON object each. Nothing is buffered: a line that
the reader does not accept at once is dropped and counted. The module imports only the standard
library, so that the first line precedes every step that can fail, such as the import of another
library.
"""

from __future__ import annotations

import json
import os
import time
import traceback as traceback_module
from collections.abc import Callable
from types import TracebackType
from typing import Final

# A pipe accepts up to this size completely or not at all.
_LINE_MAX_BYTES: Final = 4_096
_TEXT_MAX_CHARS: Final = 1_024
_STANDARD_OUTPUT: Final = 1
_STANDARD_ERROR: Final = 2
# The exit status of the interpreter after an exception that nobody catches.
_UNCAUGHT_STATUS: Final = 1


class StartLog:
    """The log of a process that starts."""

    _fd: int
    _read_time: Callable[[], float]
    # The name of the instance; empty until the settings are known.
    instance: str
    # Lines that were dropped since the last `log_dropped` line.
    dropped_lines: int

    def __init__(
        self, fd: int = _STANDARD_OUTPUT, *, read_time: Callable[[], float] = time.time
    ) -> None:
        self._fd = fd
        self._read_time = read_time
        self.instance = ""
        self.dropped_lines = 0

    def write(self, event: str, **fields: object) -> None:
        """Write one line, or drop it if the output is full or closed."""
        if self.dropped_lines and self._try_write("log_dropped", {"lines": self.dropped_lines}):
            self.dropped_lines = 0
        if not self._try_write(event, fields):
            self.dropped_lines += 1

    def write_failure(self, step: str, detail: str, exit_code: int) -> None:
        """Write that the start failed, to the log and to standard error."""
        self.write("start_failed", step=step, detail=detail, exit_code=exit_code)
        _write_error(f"turmericweir: {detail}\n")

    def write_uncaught(
        self, exc_type: type[BaseException], exc: BaseException, trace: TracebackType | None
    ) -> None:
        """Write an exception that nobody caught; an `excepthook`."""
        # The end of the traceback names the cause.
        text = "".join(traceback_module.format_exception(exc_type, exc, trace))
        detail = f"{exc_type.__name__}: {exc}"
        self.write(
            "process_failed",
            detail=detail,
            traceback=text[-_TEXT_MAX_CHARS:],
            exit_code=_UNCAUGHT_STATUS,
        )
        _write_error(text)

    def _try_write(self, event: str, fields: dict[str, object]) -> bool:
        line: dict[str, object] = {"time": round(self._read_time(), 4), "event": event}
        if self.instance:
            line["instance"] = self.instance
        line.update((name, _shorten(value)) for name, value in fields.items())
        data = json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n"
        return len(data) <= _LINE_MAX_BYTES and write_at_once(self._fd, data)


def write_at_once(fd: int, data: bytes) -> bool:
    """Write to a descriptor that may be full or closed; return whether it accepted the data."""
    try:
        was_blocking = os.get_blocking(fd)
        os.set_blocking(fd, False)
        try:
            return os.write(fd, data) == len(data)
        finally:
            os.set_blocking(fd, was_blocking)
    except OSError:
        return False


def _shorten(value: object) -> object:
    return value[:_TEXT_MAX_CHARS] if isinstance(value, str) else value


def _write_error(text: str) -> None:
    write_at_once(_STANDARD_ERROR, text.encode(errors="backslashreplace"))
