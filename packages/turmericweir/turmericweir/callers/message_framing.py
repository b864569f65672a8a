"""Where the parts of a client's HTTP messages end, so that they can be parsed one at a time.

The parser (llhttp) parses all that it is given, and has no limits. `http_server` therefore passes
it one piece at a time: a complete head, a first line or the rest of the head, a part of a body, the
line before a chunk, or a line of trailers. No piece goes beyond the end of a message. The parser
alone decides what is valid; it reports the beginning, the head and the end of each message.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

_LINE_END: Final = b"\n"
# Ends of a head after the end of a line. The parser refuses the second one.
_HEAD_ENDS: Final = (b"\n\r\n", b"\n\n")
_EMPTY_LINES: Final = (b"\r\n", b"\n")
_CHUNK_END_BYTES: Final = 2
# The longest part of a line before a chunk in which its size is looked for.
_SIZE_LINE_BYTES: Final = 32
_HEX: Final = 16


class Part(Enum):
    """The part of a message to which the next bytes belong."""

    FIRST_LINE = auto()
    HEADERS = auto()
    SIZED_BODY = auto()
    CHUNK_LINE = auto()
    CHUNK = auto()
    TRAILERS = auto()


class MessageFraming:
    """Tracks which part of a message the next bytes belong to."""

    __slots__ = ("_size_line", "left_bytes", "part")

    part: Part
    # Bytes of a body or a chunk that have not arrived.
    left_bytes: int
    # What has arrived of the line before a chunk.
    _size_line: bytes

    def __init__(self) -> None:
        self.part = Part.FIRST_LINE
        self.left_bytes = 0
        self._size_line = b""

    @property
    def is_in_head(self) -> bool:
        """Whether the next bytes are those of a head, or of nothing yet."""
        return self.part is Part.FIRST_LINE or self.part is Part.HEADERS

    @property
    def has_body(self) -> bool:
        """Whether the head that is complete announces a body."""
        return self.part is Part.CHUNK_LINE or self.left_bytes > 0

    def piece_end(self, data: bytes, start: int) -> int:
        """Return where the next piece of the data ends; `start` if that has not arrived."""
        match self.part:
            case Part.FIRST_LINE:
                line_end = data.find(_LINE_END, start) + 1 or len(data)
                # A head that is complete is one piece.
                return _head_end(data, line_end) or line_end
            case Part.HEADERS:
                return _head_end(data, start) or start
            case Part.SIZED_BODY | Part.CHUNK:
                return min(start + self.left_bytes, len(data))
            case _:
                return data.find(_LINE_END, start) + 1 or len(data)

    def end_piece(self, piece: bytes) -> None:
        """Record that the parser has taken a piece that does not end a message."""
        ends_line = piece.endswith(_LINE_END)
        match self.part:
            case Part.FIRST_LINE if ends_line:
                self.part = Part.HEADERS
            case Part.SIZED_BODY:
                self.left_bytes -= len(piece)
            case Part.CHUNK:
                self.left_bytes -= len(piece)
                if not self.left_bytes:
                    self.part = Part.CHUNK_LINE
            case Part.CHUNK_LINE:
                self._size_line += piece[: _SIZE_LINE_BYTES - len(self._size_line)]
                if ends_line:
                    self._begin_chunk()
            case _:
                pass

    def begin_body(self, headers: dict[bytes, bytes]) -> None:
        """Record that a head is complete; its headers are given by their names in lower case."""
        if b"transfer-encoding" in headers:
            self.part = Part.CHUNK_LINE
        else:
            self.part = Part.SIZED_BODY
            self.left_bytes = int(headers.get(b"content-length", b"0"))

    def end_message(self) -> None:
        """Record that a message is complete."""
        self.part = Part.FIRST_LINE

    def _begin_chunk(self) -> None:
        size = int(self._size_line.partition(b";")[0], _HEX)
        self._size_line = b""
        self.part = Part.CHUNK if size else Part.TRAILERS
        self.left_bytes = size + _CHUNK_END_BYTES


def _head_end(data: bytes, start: int) -> int:
    """Return where a head ends whose first line ends at `start`; 0 if that has not arrived."""
    for line in _EMPTY_LINES:
        if data.startswith(line, start):
            return start + len(line)
    found = ((data.find(end, start), end) for end in _HEAD_ENDS)
    return min((at + len(end) for at, end in found if at >= 0), default=0)
