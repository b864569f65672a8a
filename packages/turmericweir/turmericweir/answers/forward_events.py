"""Cut a stream into whole events, and know the id of the last one.

A server may stop in the middle of an event. What goes on elsewhere goes on after the last whole
one, so only whole events of a resumable stream are passed on.
"""

from __future__ import annotations

from typing import Final

_END: Final = b"\n\n"
_ID: Final = b"id:"
# An event that grows beyond this is none, and would fill the memory.
EVENT_MAX: Final = 1_048_576


class EventCutter:
    """Takes the chunks of one attempt."""

    __slots__ = ("_after", "_buffer", "last_event")

    # What came behind the last whole event.
    _buffer: bytes
    # The id after which this attempt was asked to go on; empty at the beginning.
    _after: bytes
    last_event: bytes

    def __init__(self, after: bytes) -> None:
        self._buffer = b""
        self._after = after
        self.last_event = after

    @property
    def has_rest(self) -> bool:
        """Whether an event was begun and not ended."""
        return bool(self._buffer)

    def take(self, chunk: bytes) -> tuple[bytes, int]:
        """Give the whole events that a chunk completes, and how many there are."""
        data = self._buffer + chunk
        cut = data.rfind(_END)
        if cut < 0:
            if len(data) > EVENT_MAX:
                raise ValueError("an event has no end")
            self._buffer = data
            return b"", 0
        cut += len(_END)
        whole, self._buffer = data[:cut], data[cut:]
        return self._fresh(whole)

    def _fresh(self, whole: bytes) -> tuple[bytes, int]:
        """Leave out events that the caller has already; none is expected, and each is doubled."""
        kept: list[bytes] = []
        for event in whole.split(_END)[:-1]:
            name = _event_id(event)
            if name and _is_past(name, self._after):
                continue
            if name:
                self.last_event = name
            kept.append(event + _END)
        return b"".join(kept), len(kept)


def count_events(data: bytes) -> int:
    """Count the ends of events."""
    return data.count(_END)


def _event_id(event: bytes) -> bytes:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            return line[len(_ID) :].strip()
    return b""


def _is_past(name: bytes, after: bytes) -> bool:
    return name.isdigit() and after.isdigit() and int(name) <= int(after)
