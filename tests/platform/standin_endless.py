"""Answers without an end, which a stand-in server writes until its connection is closed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from itertools import chain, repeat

from tests.platform.standin_answers import chunk
from tests.platform.standin_http import Call

# Where a server stops by itself, so that a test of a fault ends.
WRITTEN_MAX = 64_000_000
_BLOCK = b"x" * 65_536
_LINES = b"a:\r\n" * 16_384
_SEND_BUFFER_BYTES = 65_536
_STATUS_LINE = b"HTTP/1.1 %d X\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class Endless(StrEnum):
    """The part of an answer that has no end."""

    BEFORE_HEAD = "before_head"
    INTERIM_HEADS = "interim_heads"
    HEAD = "head"
    EVENT = "event"
    COMMENT = "comment"
    CHUNK = "chunk"
    CHUNK_EXTENSION = "chunk_extension"
    CHUNK_EXTENSIONS = "chunk_extensions"
    TRAILER = "trailer"
    UNFRAMED_BODY = "unframed_body"
    ERROR_BODY = "error_body"
    SIZED_ERROR_BODY = "sized_error_body"
    REFUSAL_BODY = "refusal_body"
    HEAD_LINES = "head_lines"
    INTERIM_LINES = "interim_lines"
    TRAILER_LINES = "trailer_lines"


@dataclass(slots=True)
class EndlessAnswer:
    """Writes answers without an end, and records how much of them could be written."""

    part: Endless
    is_streaming: bool = False
    written: int = 0
    # Answers whose connection was closed by the other end.
    closed: int = 0

    async def write(self, call: Call, headers: dict[str, str]) -> bool:
        """Write until the connection is closed or reset."""
        sock = call.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        if self.is_streaming and "error" not in self.part:
            headers = {**headers, "Content-Type": "text/event-stream"}
        written = 0
        try:
            for part in _parts(self.part, _lines(headers)):
                await call.write(part)
                written += len(part)
                self.written += len(part)
                # Lets other connections have their turn.
                await asyncio.sleep(0)
                if written > WRITTEN_MAX:
                    return False
        except ConnectionError:
            pass
        self.closed += 1
        return False


@dataclass(slots=True)
class LargeHead(EndlessAnswer):
    """Writes a complete head of many short lines, and then nothing."""

    line_count: int = 0

    async def write(self, call: Call, headers: dict[str, str]) -> bool:
        """Write the head, and wait until the connection is closed."""
        headers = {**headers, "Content-Type": "text/event-stream"}
        lines = _lines(headers) + b"a:\r\n" * self.line_count
        await call.write(_STATUS_LINE % 200 + lines + _CHUNKED)
        self.written += len(lines)
        await call.wait_closed()
        self.closed += 1
        return False


def _lines(headers: dict[str, str]) -> bytes:
    return "".join(f"{name}: {value}\r\n" for name, value in headers.items()).encode()


def _parts(part: Endless, lines: bytes) -> Iterator[bytes]:
    ok = _STATUS_LINE % 200 + lines
    match part:
        case Endless.BEFORE_HEAD:
            return repeat(_BLOCK)
        case Endless.INTERIM_HEADS:
            return repeat(b"HTTP/1.1 103 X\r\n\r\n" * 1000)
        case Endless.HEAD:
            return chain([ok + b"X-Long: "], repeat(_BLOCK))
        case Endless.EVENT:
            return chain([ok + _CHUNKED + chunk(b"data: ")], repeat(chunk(_BLOCK)))
        case Endless.COMMENT:
            return chain([ok + _CHUNKED], repeat(chunk(b": x\n" * 10_000)))
        case Endless.CHUNK:
            return chain([ok + _CHUNKED + b"ffffffffff\r\n"], repeat(_BLOCK))
        case Endless.CHUNK_EXTENSION:
            return chain([ok + _CHUNKED + b"5;a="], repeat(_BLOCK))
        case Endless.CHUNK_EXTENSIONS:
            return chain([ok + _CHUNKED], repeat(b"2;a=" + _BLOCK + b"\r\n\n\n\r\n"))
        case Endless.TRAILER:
            return chain([ok + _CHUNKED + b"0\r\nX-Long: "], repeat(_BLOCK))
        case Endless.UNFRAMED_BODY:
            return chain([ok + b"\r\n"], repeat(_BLOCK))
        case Endless.ERROR_BODY:
            return chain([_STATUS_LINE % 500 + lines + _CHUNKED], repeat(chunk(_BLOCK)))
        case Endless.SIZED_ERROR_BODY:
            length = b"Content-Length: 99999999999\r\n\r\n"
            return chain([_STATUS_LINE % 500 + lines + length], repeat(_BLOCK))
        case Endless.REFUSAL_BODY:
            mark = b"X-Not-Executed: 1\r\n"
            return chain([_STATUS_LINE % 503 + lines + mark + _CHUNKED], repeat(chunk(_BLOCK)))
        case Endless.HEAD_LINES:
            return chain([ok], repeat(_LINES))
        case Endless.INTERIM_LINES:
            return repeat(b"HTTP/1.1 103 X\r\n" + b"a:\r\n" * 3_000 + b"\r\n")
        case Endless.TRAILER_LINES:
            return chain([ok + _CHUNKED + chunk(_BLOCK) + b"0\r\n"], repeat(_LINES))
