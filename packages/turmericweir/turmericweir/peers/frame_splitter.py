"""Split what peers send into frames, before any object is made of it.

A frame is one msgpack value. Its end is found by reading the heads of its values, which also shows
how many values it has and how long it will be. So a frame that is too large is refused when it
announces that, and nothing takes more memory than the bytes that were received.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

# Larger than any complete settings state.
FRAME_MAX_BYTES: Final = 16_777_216
# More values than the largest message has: what all engines' caches hold.
FRAME_MAX_VALUES: Final = 600_000


def _sizes() -> list[int]:
    """Return the size of the value that each first byte begins; 0 if the head announces it."""
    sizes = [1] * 0xA0 + [1 + length for length in range(32)] + [0] * 32 + [1] * 32
    sizes[0xC0] = sizes[0xC2] = sizes[0xC3] = 1
    sizes[0xCA:0xD9] = [5, 9, 2, 3, 5, 9, 2, 3, 5, 9, 3, 4, 6, 10, 18]
    return sizes


def _fixed_children() -> list[int]:
    """Return the number of values in the list or map that each first byte begins."""
    children = [0] * 256
    children[0x80:0x90] = [2 * count for count in range(16)]
    children[0x90:0xA0] = range(16)
    return children


_SIZES: Final = _sizes()
_CHILDREN: Final = _fixed_children()
# By first byte: bytes of the announced number, values for each one counted, and other bytes.
# The values are 0 where the number is a length in bytes.
_ANNOUNCED: Final[dict[int, tuple[int, int, int]]] = {
    0xC4: (1, 0, 0),
    0xC5: (2, 0, 0),
    0xC6: (4, 0, 0),
    0xC7: (1, 0, 1),
    0xC8: (2, 0, 1),
    0xC9: (4, 0, 1),
    0xD9: (1, 0, 0),
    0xDA: (2, 0, 0),
    0xDB: (4, 0, 0),
    0xDC: (2, 1, 0),
    0xDD: (4, 1, 0),
    0xDE: (2, 2, 0),
    0xDF: (4, 2, 0),
}


class FrameSplitter:
    """Collects the bytes of one stream, and splits them into frames."""

    __slots__ = ("_awaited", "_buffer", "_position", "_start", "_values")

    _buffer: bytearray
    # Where the frame begins that is being received, and where its next value does.
    _start: int
    _position: int
    # Values of the frame that were announced, and those whose head was not read.
    _values: int
    _awaited: int

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._begin_frame(0)

    def _begin_frame(self, start: int) -> None:
        self._start = start
        self._position = start
        self._values = 1
        self._awaited = 1

    @property
    def held_bytes(self) -> int:
        """The number of bytes that were received and not returned."""
        return len(self._buffer) - self._start

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        # What was returned is removed at once for all frames of an earlier part.
        if self._start:
            del self._buffer[: self._start]
            self._position -= self._start
            self._start = 0
        self._buffer += data

    def split(self) -> Iterator[bytes]:
        """Yield the complete frames; raise ValueError if the bytes are no frames."""
        while self._is_complete():
            start, end = self._start, self._position
            self._begin_frame(end)
            yield bytes(memoryview(self._buffer)[start:end])

    def _is_complete(self) -> bool:
        """Read heads of values; return whether the frame has been received."""
        buffer, size = self._buffer, len(self._buffer)
        position, awaited = self._position, self._awaited
        while awaited and position < size:
            first = buffer[position]
            value_size = _SIZES[first]
            if value_size:
                children = _CHILDREN[first]
            else:
                head = self._read_head(position)
                if head is None:
                    break
                value_size, children = head
            position += value_size
            awaited += children - 1
            self._values += children
            if self._values > FRAME_MAX_VALUES:
                raise ValueError(f"a frame has more than {FRAME_MAX_VALUES} values")
        self._position, self._awaited = position, awaited
        if position - self._start > FRAME_MAX_BYTES:
            raise ValueError(f"a frame has more than {FRAME_MAX_BYTES} bytes")
        return not awaited and position <= size

    def _read_head(self, position: int) -> tuple[int, int] | None:
        """Return size and children of a value that announces them; None if they are missing."""
        first = self._buffer[position]
        announced = _ANNOUNCED.get(first)
        if announced is None:
            raise ValueError(f"no value begins with the byte {first}")
        width, values_each, more_bytes = announced
        head_size = 1 + width
        digits = self._buffer[position + 1 : position + head_size]
        if len(digits) < width:
            return None
        number = int.from_bytes(digits, "big")
        if values_each:
            return head_size, number * values_each
        return head_size + more_bytes + number, 0
