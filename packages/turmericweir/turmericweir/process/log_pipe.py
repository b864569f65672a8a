"""Log lines to standard output, one JSON object each, without blocking.

Lines are buffered and written without waiting for the reader. If the buffer is full, the newest
lines are dropped and counted. Lines about single requests are also limited per second, to bound the
cost of logging under peak load; lines about the process are not.
"""

from __future__ import annotations

import logging
import os
import select
import time
from collections import deque
from types import TracebackType
from typing import Any, Final, Self

import anyio
import eliot
import orjson

from turmericweir.process.logs import LibraryHandler

# Holds some seconds of lines under peak load.
_BUFFER_MAX_BYTES: Final = 524_288
# Limit of lines about single requests.
_REQUEST_LINES_PER_S: Final = 600
# Buffered bytes at which lines are written before the next interval.
_FLUSH_BYTES: Final = 16_384
# How long the end of a process waits for a reader that is behind.
_LAST_FLUSH_S: Final = 0.25
_REQUEST_ID_FIELD: Final = "request_id"
# Internal fields of eliot, which are not written.
_ELIOT_FIELDS: Final = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})


class LogPipe:
    """The log destination of a process that logs to standard output."""

    _fd: int
    _name: str
    _buffered_lines: deque[bytes]
    _buffered_bytes: int
    # Start of the current second, and the lines about requests in it.
    _second_started_at: float
    _lines_in_second: int
    # Lines that were dropped since the last `log_dropped` line.
    dropped_lines: int
    _was_blocking: bool

    def __init__(self, fd: int, name: str) -> None:
        self._fd = fd
        self._name = name
        self._buffered_lines = deque()
        self._buffered_bytes = 0
        self._second_started_at = 0.0
        self._lines_in_second = 0
        self.dropped_lines = 0
        self._handler = LibraryHandler(logging.WARNING)

    def __enter__(self) -> Self:
        self._was_blocking = os.get_blocking(self._fd)
        os.set_blocking(self._fd, False)
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
        # Before removing the destination, since this may log the number of dropped lines.
        self._flush_last()
        eliot.remove_destination(self._write_message)
        os.set_blocking(self._fd, self._was_blocking)

    def _write_message(self, message: dict[str, Any]) -> None:
        if _REQUEST_ID_FIELD in message and not self._is_within_rate(message["timestamp"]):
            self.dropped_lines += 1
            return
        line = self._format(message)
        if self._buffered_bytes + len(line) > _BUFFER_MAX_BYTES:
            self.dropped_lines += 1
            return
        self._buffered_lines.append(line)
        self._buffered_bytes += len(line)
        if self._buffered_bytes >= _FLUSH_BYTES:
            self.flush()

    def _is_within_rate(self, logged_at: float) -> bool:
        if logged_at - self._second_started_at >= 1.0:
            self._second_started_at = logged_at
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= _REQUEST_LINES_PER_S

    def _format(self, message: dict[str, Any]) -> bytes:
        fields = {key: value for key, value in message.items() if key not in _ELIOT_FIELDS}
        line = {
            "time": round(message["timestamp"], 4),
            "event": message.get("message_type", "eliot"),
            "instance": self._name,
            **fields,
        }
        return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        if self.dropped_lines:
            dropped_lines, self.dropped_lines = self.dropped_lines, 0
            eliot.log_message(message_type="log_dropped", lines=dropped_lines)
        while self._buffered_lines:
            data = b"".join(self._buffered_lines)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; nothing can be written any more.
                self._buffered_lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_lines.clear()
            if written < len(data):
                self._buffered_lines.append(data[written:])
            self._buffered_bytes = len(data) - written

    def _flush_last(self) -> None:
        """Write what is left, and wait a moment for a reader that is behind."""
        poll = select.poll()
        poll.register(self._fd, select.POLLOUT)
        wait_until = time.monotonic() + _LAST_FLUSH_S
        self.flush()
        while self._buffered_lines:
            left_s = wait_until - time.monotonic()
            if left_s <= 0 or not poll.poll(left_s * 1000):
                return
            self.flush()

    async def flush_forever(self, interval_s: float) -> None:
        """Flush at intervals."""
        while True:
            await anyio.sleep(interval_s)
            self.flush()
