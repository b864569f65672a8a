"""Check the bytes of one answer against the bounds beyond which they are no answer at all.

A faulty server may send bytes until the caller closes. The connection counts what is not part of a
body (heads, chunk sizes, trailers); the reader of an answer checks what it reads against the bounds
of its kind. Both raise `AnswerTooLargeError`, which ends the attempt as a malformed answer does.
"""

from __future__ import annotations

from typing import Final

import httpcore

from turmericweir.process.answer_bounds import AnswerBounds

# Bytes of an answer that are not part of its body: a fixed number, and a number for each byte of
# the body. A chunk with a single byte needs five.
FRAMING_MAX_BYTES: Final = 65_536
FRAMING_MAX_PER_BODY_BYTE: Final = 16
# Heads before the body, of which all but the last are interim ones.
HEADS_MAX: Final = 16
_HEAD_END: Final = b"\r\n\r\n"
# How much the parser gets at a time, before the body and within it. A head of some bytes costs as
# much time as a part of a body of many thousands.
_HEAD_PART_BYTES: Final = 4_096
_BODY_PART_BYTES: Final = 65_536
_ERROR: Final = 400


class AnswerTooLargeError(httpcore.RemoteProtocolError):
    """A part of an answer exceeds its bound."""


class FramingCounter:
    """Counts the heads of one answer, and its bytes that are not part of its body."""

    __slots__ = ("_body_bytes", "_head_ends", "_read_bytes")

    _read_bytes: int
    _body_bytes: int
    # Ends of heads in what was read before the body; some may be in the body.
    _head_ends: int

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin the next answer."""
        self._read_bytes = 0
        self._body_bytes = 0
        self._head_ends = 0

    @property
    def has_begun(self) -> bool:
        """Return whether a byte of the answer was read."""
        return self._read_bytes > 0

    @property
    def part_bytes(self) -> int:
        """The number of bytes that the parser should get at a time."""
        return _BODY_PART_BYTES if self._body_bytes else _HEAD_PART_BYTES

    @property
    def is_slow(self) -> bool:
        """Whether parsing may take long beside other requests."""
        return not self._body_bytes and self._read_bytes >= _HEAD_PART_BYTES

    def add_read(self, data: bytes) -> None:
        """Count what was read from the connection."""
        self._read_bytes += len(data)
        if not self._body_bytes:
            self._head_ends += data.count(_HEAD_END)

    def add_body(self, size: int) -> None:
        """Count bytes of the body."""
        self._body_bytes += size

    def check(self) -> None:
        """Raise `AnswerTooLargeError` if the parsed bytes are too few of them body."""
        framing_bytes = self._read_bytes - self._body_bytes
        if framing_bytes > FRAMING_MAX_BYTES + FRAMING_MAX_PER_BODY_BYTE * self._body_bytes:
            raise AnswerTooLargeError(f"{framing_bytes} bytes of the answer are no part of a body")
        if not self._body_bytes and self._head_ends > HEADS_MAX:
            raise AnswerTooLargeError(f"the answer has {self._head_ends} heads and no body")


class BodyBound:
    """Checks the size of one body that is read in parts."""

    __slots__ = ("_left_bytes", "_max_bytes")

    # None without a bound.
    _max_bytes: int | None
    _left_bytes: int

    def __init__(self, bounds: AnswerBounds, status: int, *, is_sized: bool) -> None:
        self._max_bytes = _body_max_bytes(bounds, status, is_sized=is_sized)
        self._left_bytes = self._max_bytes or 0

    def add(self, size: int) -> None:
        """Count a part of the body; raise `AnswerTooLargeError` beyond the bound."""
        if self._max_bytes is None:
            return
        self._left_bytes -= size
        if self._left_bytes < 0:
            raise AnswerTooLargeError(f"the body exceeds {self._max_bytes} bytes")


def _body_max_bytes(bounds: AnswerBounds, status: int, *, is_sized: bool) -> int | None:
    if status >= _ERROR:
        return bounds.error_bytes
    # The parser ends a body of announced length there.
    return None if is_sized else bounds.unsized_bytes
