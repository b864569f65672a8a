"""The wire format of a connection that a peer carries to a backend server.

The asking instance opens a connection to the peer's port and sends one `CarryAsk` frame. The peer
connects to the server and answers with a chunk that holds the error, as UTF-8 after one zero byte;
nothing follows the zero byte if the connection is open. If it does not try to connect, the byte is
one, and the error gives its reason. From then on the asking instance's bytes
go to the server unchanged, and the server's come back in chunks: a length of four bytes,
big-endian, and the data. Two lengths have no data: `CLOSED` says that the server closed its
connection normally, `BROKEN` that the connection to the server broke. A connection that ends
without either of them was lost on the way, so an answer that ends with its connection is never
taken for complete.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Final, NamedTuple

CLOSED: Final = 0
BROKEN: Final = 0xFFFF_FFFF
# Larger than any piece that the event loop reads at a time.
CHUNK_MAX_BYTES: Final = 1_048_576
_LENGTH: Final = struct.Struct(">I")
_TRIED_MARK: Final = b"\0"
_DECLINED_MARK: Final = b"\1"


class CarryResult(NamedTuple):
    """What a peer did with a request to connect."""

    # Empty if the connection is open.
    error: str
    # The peer did not try to connect, which says nothing about the server.
    is_declined: bool = False


def pack_chunk(data: bytes) -> bytes:
    """Return bytes of the server as one chunk."""
    return _LENGTH.pack(len(data)) + data


def pack_end(end: int) -> bytes:
    """Return the chunk for `CLOSED` or `BROKEN`."""
    return _LENGTH.pack(end)


def pack_result(result: CarryResult) -> bytes:
    """Return the first chunk."""
    mark = _DECLINED_MARK if result.is_declined else _TRIED_MARK
    return pack_chunk(mark + result.error.encode())


def read_result(data: bytes) -> CarryResult:
    """Return the result in the first chunk; raise ValueError if it is no such chunk."""
    mark = data[:1]
    if mark not in (_TRIED_MARK, _DECLINED_MARK):
        raise ValueError("the first chunk is not a result")
    return CarryResult(data[1:].decode(), mark == _DECLINED_MARK)


class ChunkSplitter:
    """Splits received bytes into chunks."""

    __slots__ = ("_buffer",)

    _buffer: bytes

    def __init__(self) -> None:
        self._buffer = b""

    def split(self, data: bytes) -> Iterator[bytes | int]:
        """Yield the data of each complete chunk, or its end mark; raise ValueError if invalid."""
        buffer = self._buffer + data if self._buffer else data
        position = 0
        while len(buffer) - position >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, position)
            if length in (CLOSED, BROKEN):
                position += _LENGTH.size
                yield length
                continue
            if length > CHUNK_MAX_BYTES:
                raise ValueError(f"a chunk of {length} bytes is too large")
            end = position + _LENGTH.size + length
            if len(buffer) < end:
                break
            yield buffer[position + _LENGTH.size : end]
            position = end
        self._buffer = buffer[position:]
