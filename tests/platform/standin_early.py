"""A stand-in server that answers before it has read a request, and breaks off its answer."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Final

from tests.platform.standin_http import reset_connection
from tests.platform.standin_server import HEALTH_PATH, REPORT_PATH, SIGNATURE, SIGNED, stream_of

_SMALL_EVENTS: Final = 2
# Beyond what the sockets on the way hold.
_LARGE_EVENTS: Final = 60_000
_READ_BYTES: Final = 65_536
_STREAM: Final = "Content-Type: text/event-stream"


@dataclass(frozen=True, slots=True)
class EarlyAnswer:
    """What a server writes while its request arrives, and how the connection ends."""

    version: str = "1.1"
    interim_heads: int = 0
    has_length: bool = False
    events: int = _SMALL_EVENTS
    read_bytes: int = 0
    delay_s: float = 0.0
    is_reset: bool = True

    @classmethod
    def draw(cls, rng: Random) -> EarlyAnswer:
        """Return an answer of a drawn form."""
        return cls(
            version=rng.choice(("1.0", "1.1")),
            interim_heads=rng.choice((0, 0, 1, 3)),
            has_length=rng.random() < 0.3,
            events=rng.choice((_SMALL_EVENTS, _LARGE_EVENTS)),
            read_bytes=rng.choice((0, _READ_BYTES)),
            delay_s=rng.choice((0.0, 0.05)),
            is_reset=rng.random() < 0.6,
        )


@dataclass(slots=True)
class EarlyServer:
    """Takes the place of a server at its address."""

    name: str
    address: str
    born: int
    answer: EarlyAnswer = field(default_factory=EarlyAnswer)
    # Requests with a body up to this size are answered whole, and their connections are kept.
    whole_body_bytes: int = 100
    # The IDs of requests whose answers were broken off.
    broken_ids: list[str] = field(default_factory=list)
    # Of those, the requests on connections that had carried others.
    kept_count: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=_READ_BYTES)

    async def stop(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        earlier_count = 0
        with suppress(OSError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer, earlier_count):
                earlier_count += 1
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, earlier_count: int
    ) -> bool:
        """Answer a request; return whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {name.lower(): value for name, _, value in (x.partition(": ") for x in lines)}
        path = first.split(" ")[1]
        body_bytes = int(headers.get("content-length", "0"))
        if path in (HEALTH_PATH, REPORT_PATH):
            body = json.dumps({"seq": 1, "born": self.born}).encode()
            await _write_whole(writer, f"X-Instance-Id: {self.name}", body)
            return True
        echoed = f"X-Attempt-Id: {headers['x-attempt-id']}\r\n{SIGNED}: {SIGNATURE}"
        if body_bytes <= self.whole_body_bytes:
            await reader.readexactly(body_bytes)
            await _write_whole(writer, f"{echoed}\r\n{_STREAM}", stream_of(1))
            return True
        self.broken_ids.append(headers["x-attempt-id"])
        self.kept_count += bool(earlier_count)
        await self._break_off(reader, writer, echoed)
        return False

    async def _break_off(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, echoed: str
    ) -> None:
        answer, body = self.answer, stream_of(self.answer.events)
        if answer.read_bytes:
            await reader.readexactly(answer.read_bytes)
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * answer.interim_heads)
        length = f"Content-Length: {2 * len(body)}\r\n" if answer.has_length else ""
        start = f"HTTP/{answer.version} 200 X\r\n{echoed}\r\n{_STREAM}\r\n"
        writer.write(f"{start}{length}\r\n".encode() + body)
        if answer.events == _LARGE_EVENTS:
            # Until the other end has read a part of it.
            with suppress(TimeoutError):
                await asyncio.wait_for(writer.drain(), 0.2)
        await asyncio.sleep(answer.delay_s)
        if answer.is_reset:
            reset_connection(writer)


async def _write_whole(writer: asyncio.StreamWriter, lines: str, body: bytes) -> None:
    writer.write(f"HTTP/1.1 200 X\r\n{lines}\r\nContent-Length: {len(body)}\r\n\r\n".encode())
    writer.write(body)
    await writer.drain()
