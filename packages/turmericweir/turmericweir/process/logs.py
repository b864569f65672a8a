"""Log lines: one event each, as key=value pairs.

The rest of the daemon logs through `write`; eliot carries the message to the one destination here,
which formats it. Messages of the standard `logging` module, which the libraries use, come the same
way.
"""

from __future__ import annotations

import json
import logging
import sys
import traceback as traceback_module
from datetime import UTC, datetime
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self, TextIO

import eliot

# Eliot's own bookkeeping, which says nothing to a reader of lines.
_HIDDEN: Final = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})


def write(event: str, **fields: Any) -> None:
    """Write one log line. Any: a field may hold whatever can be shown as text."""
    eliot.log_message(message_type=event, **fields)


def write_fault(step: str, subject: str, exc: BaseException) -> None:
    """Write a fault of the program itself, with where it arose."""
    trace = "".join(traceback_module.format_exception(exc))
    write("fault", step=step, subject=subject, error=repr(exc), traceback=trace)


def format_line(message: dict[str, Any]) -> str:
    """Format one message as a line of key=value pairs."""
    at = datetime.fromtimestamp(message["timestamp"], UTC).isoformat(timespec="milliseconds")
    pairs = [f"time={at}", f"event={_value(message.get('message_type', 'eliot'))}"]
    pairs += [f"{key}={_value(value)}" for key, value in message.items() if key not in _HIDDEN]
    return " ".join(pairs)


def _value(value: object) -> str:
    text = value if isinstance(value, str) else str(value)
    plain = text.isprintable() and not any(char in text for char in ' "=')
    # JSON's quoting keeps a line one line, whatever a peer sent.
    return text if plain and text else json.dumps(text, ensure_ascii=False)


class LogFile:
    """The destination of all log lines: a file, or standard error."""

    # None is standard error, which is not closed.
    _path: Path | None
    _out: TextIO
    _handler: LibraryHandler

    def __init__(self, path: str | None) -> None:
        self._path = Path(path) if path is not None else None
        self._out = sys.stderr
        self._handler = LibraryHandler(logging.WARNING)

    def __enter__(self) -> Self:
        if self._path is not None:
            self._out = self._path.open("a", encoding="utf-8", buffering=1)
        eliot.add_destinations(self._take)
        logging.getLogger().addHandler(self._handler)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        logging.getLogger().removeHandler(self._handler)
        eliot.remove_destination(self._take)
        if self._path is not None:
            self._out.close()

    def _take(self, message: dict[str, Any]) -> None:
        self._out.write(format_line(message) + "\n")


class LibraryHandler(logging.Handler):
    """Passes on what libraries log through the standard module."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = {"logger": record.name, "level": record.levelname, "text": record.getMessage()}
        if record.exc_info is not None and record.exc_info[1] is not None:
            formatter = self.formatter or logging.Formatter()
            fields["traceback"] = formatter.formatException(record.exc_info)
        write("library", **fields)
