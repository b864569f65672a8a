"""Log lines: one event each, as key=value pairs.

The daemon logs through `write`. Eliot passes each message to the destination, which formats it.
Messages of the standard `logging` module, from libraries, take the same path.
"""

from __future__ import annotations

import json
import logging
import os
import sys
import traceback as traceback_module
from datetime import UTC, datetime
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self, TextIO

import eliot

# Internal fields of eliot, which are not written.
_ELIOT_FIELDS: Final = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})


def write(event: str, **fields: Any) -> None:
    """Write one log line. Any: a field may have any value that converts to text."""
    eliot.log_message(message_type=event, **fields)


def write_fault(step: str, subject: str, exc: BaseException) -> None:
    """Write a log line about an unexpected exception, with its traceback."""
    trace = "".join(traceback_module.format_exception(exc))
    write("fault", step=step, subject=subject, error=repr(exc), traceback=trace)


def format_line(message: dict[str, Any]) -> str:
    """Return a message as a line of key=value pairs."""
    logged_at = datetime.fromtimestamp(message["timestamp"], UTC).isoformat(timespec="milliseconds")
    pairs = [f"time={logged_at}", f"event={_format_value(message.get('message_type', 'eliot'))}"]
    pairs += [
        f"{key}={_format_value(value)}"
        for key, value in message.items()
        if key not in _ELIOT_FIELDS
    ]
    return " ".join(pairs)


def _format_value(value: object) -> str:
    text = value if isinstance(value, str) else str(value)
    is_plain = text.isprintable() and not any(char in text for char in ' "=')
    # JSON quoting prevents line breaks in text from peers from splitting the log line.
    return text if is_plain and text else json.dumps(text, ensure_ascii=False)


class LogFile:
    """The log destination of a process that logs to a file or standard error.

    Writes do not wait for a reader: a line that it does not accept is dropped and counted.
    """

    # None for standard error, which is not closed.
    _path: Path | None
    _out: TextIO
    _handler: LibraryHandler
    _was_blocking: bool
    # The rest of a line of which the reader accepted only a part.
    _rest: bytes
    # Lines that were dropped since the last `log_dropped` line.
    dropped_lines: int

    def __init__(self, path: str | None) -> None:
        self._path = Path(path) if path is not None else None
        self._out = sys.stderr
        self._rest = b""
        self.dropped_lines = 0
        self._handler = LibraryHandler(logging.WARNING)

    def __enter__(self) -> Self:
        if self._path is not None:
            self._out = self._path.open("a", encoding="utf-8", buffering=1)
        self._was_blocking = os.get_blocking(self._out.fileno())
        os.set_blocking(self._out.fileno(), False)
        eliot.add_destinations(self._write_message)
        logging.getLogger().addHandler(self._handler)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        logging.getLogger().removeHandler(self._handler)
        eliot.remove_destination(self._write_message)
        os.set_blocking(self._out.fileno(), self._was_blocking)
        if self._path is not None:
            self._out.close()

    def _write_message(self, message: dict[str, Any]) -> None:
        if self.dropped_lines:
            fields = {"message_type": "log_dropped", "lines": self.dropped_lines}
            if self._try_write(format_line({"timestamp": message["timestamp"], **fields})):
                self.dropped_lines = 0
        if not self._try_write(format_line(message)):
            self.dropped_lines += 1

    def _try_write(self, line: str) -> bool:
        """Write a line; return whether it will reach the reader."""
        if self._rest:
            self._write_bytes(self._rest)
        if self._rest:
            return False
        return self._write_bytes(line.encode(errors="backslashreplace") + b"\n")

    def _write_bytes(self, data: bytes) -> bool:
        """Write data, or a part and keep the rest; return whether any was accepted."""
        try:
            written = os.write(self._out.fileno(), data)
        except OSError:
            return False
        self._rest = data[written:]
        return written > 0


class LibraryHandler(logging.Handler):
    """Passes log records of libraries to `write`."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = {"logger": record.name, "level": record.levelname, "text": record.getMessage()}
        if record.exc_info is not None and record.exc_info[1] is not None:
            formatter = self.formatter or logging.Formatter()
            fields["traceback"] = formatter.formatException(record.exc_info)
        write("library", **fields)
