"""Split a resumable stream into complete events.

A server may fail in the middle of an event. Another server then resumes after the last complete
event, so only complete events of a resumable stream are forwarded.

An id that cannot be sent names no event to the other server. The stream then resumes after an
earlier event, and the events that the caller has by then are left out.
"""

from __future__ import annotations

import re
from itertools import pairwise
from typing import Final

from turmericweir.process.foreign_data import parse_count
from turmericweir.process.request_fields import is_sendable_value

_END: Final = b"\n\n"
_LINE_END: Final = re.compile(rb"\r\n|\n|\r(?!\n)")
_ANY_END: Final = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
# The longest end of an event, without its last byte.
_LINE_ENDS_BYTES: Final = 3
_BYTE_ORDER_MARK: Final = b"\xef\xbb\xbf"
# Limit of the bytes of an incomplete event that are scanned again with the next chunk.
_REST_MAX_BYTES: Final = 4096
_ID: Final = b"id:"
# A longer id might not fit into the head of a request.
_ID_MAX_BYTES: Final = 4096
# Stands for the id of an event whose ids cannot be sent.
_UNSENDABLE: Final = b""


class EventSplitter:
    """Splits the chunks of one attempt and records the id of the last event."""

    __slots__ = ("_buffer", "_ids_seen", "_resume_after", "events_after_id", "last_event_id")

    # The bytes after the last complete event.
    _buffer: bytes
    # The event id after which this attempt resumes; empty for a new stream.
    _resume_after: bytes
    # Events with an id in this attempt, after the last one whose id can be sent.
    _ids_seen: int
    # The last id that can be sent.
    last_event_id: bytes
    # The number of later events with an id that the caller has, of this attempt or earlier ones.
    events_after_id: int

    def __init__(self, resume_after: bytes, events_after_id: int = 0) -> None:
        self._buffer = b""
        self._ids_seen = 0
        self._resume_after = resume_after
        self.last_event_id = resume_after
        self.events_after_id = events_after_id

    def take_rest(self) -> bytes:
        """Return the bytes after the last event at the end of a complete stream."""
        rest, self._buffer = self._buffer, b""
        return rest

    def split_chunk(self, chunk: bytes) -> tuple[bytes, int]:
        """Return the events that a chunk completes, and their number."""
        data = self._buffer + chunk
        ends = _event_ends(data)
        if not ends:
            self._buffer = data
            return b"", 0
        self._buffer = data[ends[-1] :]
        events = [data[start:end] for start, end in pairwise([0, *ends])]
        return self._without_duplicates(events)

    def _without_duplicates(self, events: list[bytes]) -> tuple[bytes, int]:
        """Return the events without those that the caller already has, and their number."""
        new_events: list[bytes] = []
        for event in events:
            event_id = _event_id(event)
            if event_id and _is_duplicate(event_id, self._resume_after):
                continue
            if event_id is not None and not self._note_id(event_id):
                continue
            # The byte order mark of a resumed stream would stand within the joined one.
            new_events.append(event.removeprefix(_BYTE_ORDER_MARK) if self._resume_after else event)
        return b"".join(new_events), len(new_events)

    def _note_id(self, event_id: bytes) -> bool:
        """Record the id of an event; return whether the caller does not have the event yet."""
        self._ids_seen += 1
        is_new = self._ids_seen > self.events_after_id
        if is_new:
            self.events_after_id = self._ids_seen
        if event_id != _UNSENDABLE:
            self.last_event_id = event_id
            self.events_after_id -= self._ids_seen
            self._ids_seen = 0
        return is_new


class EventTracker:
    """Counts the events of a stream and tracks whether the last one is complete, and its size.

    A line ends with LF, CRLF or CR, and a blank line ends an event.
    """

    __slots__ = ("_is_long_event", "_rest", "open_bytes")

    # The bytes after the last complete event, or the last of them for a long event.
    _rest: bytes
    _is_long_event: bool
    # The number of bytes after the last complete event.
    open_bytes: int

    def __init__(self) -> None:
        self._rest = b""
        self._is_long_event = False
        self.open_bytes = 0

    @property
    def is_event_open(self) -> bool:
        """Whether an event has begun and is incomplete; blank lines and comments are no event."""
        return self._is_long_event or _has_open_event(self._rest)

    def count_ends(self, chunk: bytes) -> int:
        """Return the number of events that a chunk completes."""
        data = self._rest + chunk if self._rest else chunk
        ends = _event_ends(data)
        self.open_bytes += len(chunk)
        if ends:
            self._is_long_event = False
            data = data[ends[-1] :]
            self.open_bytes = len(data)
        self._rest = data
        if len(self._rest) > _REST_MAX_BYTES:
            self._rest = self._rest[-_LINE_ENDS_BYTES:]
            self._is_long_event = True
        return len(ends)


def _event_ends(data: bytes) -> list[int]:
    """Return the positions at which events end."""
    if b"\r" in data:
        return [match.end() for match in _ANY_END.finditer(data)]
    ends: list[int] = []
    end = 0
    while (start := data.find(_END, end)) >= 0:
        end = start + len(_END)
        ends.append(end)
    return ends


def _has_open_event(rest: bytes) -> bool:
    lines = _LINE_END.split(rest.removeprefix(_BYTE_ORDER_MARK))
    unfinished_line = lines.pop()
    return bool(unfinished_line) or any(line and not line.startswith(b":") for line in lines)


def _event_id(event: bytes) -> bytes | None:
    """Return the last id of an event that can be sent, `_UNSENDABLE`, or None without an id."""
    event_id = None
    for line in _LINE_END.split(event.removeprefix(_BYTE_ORDER_MARK)):
        text = line[len(_ID) :].strip() if line.startswith(_ID) else b""
        if text and _can_be_sent(text):
            event_id = text
        elif text and event_id is None:
            event_id = _UNSENDABLE
    return event_id


def _can_be_sent(event_id: bytes) -> bool:
    # Most ids are numbers.
    is_plain = event_id.isalnum() or is_sendable_value(event_id)
    return is_plain and len(event_id) <= _ID_MAX_BYTES


def _is_duplicate(event_id: bytes, resume_after: bytes) -> bool:
    number, last_number = parse_count(event_id), parse_count(resume_after)
    return number is not None and last_number is not None and number <= last_number
