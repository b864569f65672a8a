"""Log lines to standard output: one JSON object each, bounded, and never waited for.

Whoever reads the output may be slow, or have stopped. So lines are gathered and handed over without
blocking; what the reader does not take is kept up to a bound, and beyond it the newest are dropped
and counted. Lines about single requests are also bounded in number, as a rush would else spend the
processor on telling of itself; lines about the process are not.
"""

from __future__ import annotations

import logging
import os
from collections import deque
from types import TracebackType
from typing import Any, Final, Self

import anyio
import eliot
import orjson

from turmericweir.process.logs import LibraryHandler

# Bytes that wait for the reader at the most: some seconds of a rush.
_WAITING_MAX: Final = 524_288
# Lines about single requests in one second at the most; a line takes some 50 us to make, so that
# is 3% of a core.
_REQUEST_LINES_S: Final = 600
# Bytes at which lines are handed over before the next flush.
_FLUSH_BYTES: Final = 16_384
_REQUEST_ID: Final = "request_id"
# Eliot's own bookkeeping, which says nothing to a reader of lines.
_HIDDEN: Final = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})


class LogPipe:
    """The destination of all log lines of a process that logs to standard output."""

    _fd: int
    _name: str
    _lines: deque[bytes]
    _bytes: int
    # Lines about requests in the second that began then.
    _second: float
    _in_second: int
    # Lines that were dropped since the newest line that said so.
    dropped: int
    _was_blocking: bool

    def __init__(self, fd: int, name: str) -> None:
        self._fd = fd
        self._name = name
        self._lines = deque()
        self._bytes = 0
        self._second = 0.0
        self._in_second = 0
        self.dropped = 0
        self._handler = LibraryHandler(logging.WARNING)

    def __enter__(self) -> Self:
        self._was_blocking = os.get_blocking(self._fd)
        os.set_blocking(self._fd, False)
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
        # Before the destination goes: the count of dropped lines is a line itself.
        self.flush()
        eliot.remove_destination(self._take)
        os.set_blocking(self._fd, self._was_blocking)

    def _take(self, message: dict[str, Any]) -> None:
        if _REQUEST_ID in message and not self._may_tell(message["timestamp"]):
            self.dropped += 1
            return
        line = self._format(message)
        if self._bytes + len(line) > _WAITING_MAX:
            self.dropped += 1
            return
        self._lines.append(line)
        self._bytes += len(line)
        if self._bytes >= _FLUSH_BYTES:
            self.flush()

    def _may_tell(self, at: float) -> bool:
        if at - self._second >= 1.0:
            self._second = at
            self._in_second = 0
        self._in_second += 1
        return self._in_second <= _REQUEST_LINES_S

    def _format(self, message: dict[str, Any]) -> bytes:
        fields = {key: value for key, value in message.items() if key not in _HIDDEN}
        line = {
            "time": round(message["timestamp"], 4),
            "event": message.get("message_type", "eliot"),
            "instance": self._name,
            **fields,
        }
        return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)

    def flush(self) -> None:
        """Hand over what the reader takes."""
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            eliot.log_message(message_type="log_dropped", lines=lost)
        while self._lines:
            data = b"".join(self._lines)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read it.
                self._lines.clear()
                self._bytes = 0
                return
            self._lines.clear()
            if written < len(data):
                self._lines.append(data[written:])
            self._bytes = len(data) - written

    async def flush_forever(self, period_s: float) -> None:
        """Hand lines over at intervals."""
        while True:
            await anyio.sleep(period_s)
            self.flush()
