"""Answers in every framing, which a stand-in server completes or breaks off at a chosen point."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from tests.platform.standin_http import Call, encode_head


class Framing(StrEnum):
    """How an answer says where it ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"


class Break(StrEnum):
    """Where a server breaks off its answer."""

    NOWHERE = "nowhere"
    AFTER_HEAD = "after_head"
    IN_PART = "in_part"
    AFTER_PART = "after_part"


@dataclass(frozen=True, slots=True)
class AnswerForm:
    """The framing of an answer, and where and how it is broken off."""

    framing: Framing = Framing.CHUNKED
    breaks: Break = Break.NOWHERE
    # Whether the connection is reset; otherwise it is closed normally.
    is_reset: bool = False
    # Whether the server leaves the answer to its system, and does not wait until it is read.
    is_unread: bool = False
    # As written in the first line.
    status: str = "200"
    # Written after its other headers.
    more_headers: tuple[tuple[str, str], ...] = ()
    # Whether the body is left out, and only its length is announced.
    is_bodiless: bool = False

    def __str__(self) -> str:
        end = "" if self.breaks is Break.NOWHERE else "-reset" if self.is_reset else "-closed"
        return f"{self.framing}-{self.breaks}{end}"


async def write_answer(
    call: Call,
    form: AnswerForm,
    headers: dict[str, str],
    parts: list[bytes],
    interval_s: float = 0.0,
) -> bool:
    """Write an answer whose body consists of parts; return whether it is complete."""
    lines = [f"{name}: {value}" for name, value in (*headers.items(), *form.more_headers)]
    match form.framing:
        case Framing.LENGTH:
            lines.append(f"Content-Length: {sum(map(len, parts))}")
        case Framing.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
        case Framing.CONNECTION_END:
            pass
    await call.write(encode_head([f"HTTP/1.1 {form.status} X", *lines]))
    for part in () if form.is_bodiless else _written_parts(form.breaks, parts):
        data = chunk(part) if form.framing is Framing.CHUNKED else part
        if form.is_unread:
            call.writer.write(data)
            continue
        await call.write(data)
        if interval_s:
            await asyncio.sleep(interval_s)
    if form.breaks is Break.NOWHERE:
        if form.framing is Framing.CHUNKED:
            await call.write(b"0\r\n\r\n")
        return True
    if form.is_reset:
        call.reset()
    return False


def _written_parts(breaks: Break, parts: list[bytes]) -> list[bytes]:
    middle = len(parts) // 2
    match breaks:
        case Break.NOWHERE:
            return parts
        case Break.AFTER_HEAD:
            return []
        case Break.IN_PART:
            return [*parts[:middle], parts[middle][: len(parts[middle]) // 2]]
        case Break.AFTER_PART:
            return parts[:middle]


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
