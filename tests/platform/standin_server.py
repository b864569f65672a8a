"""A stand-in of the platform's servers, and how each of them may misbehave."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.platform.standin_http import Call

SIGNATURE = "3e1b.07"


@dataclass(slots=True)
class Seen:
    """One request as a server got it."""

    server: str
    path: str
    headers: dict[str, str]
    body: bytes
    # It was begun; refusals are not.
    ran: bool
    # Requests before it on its connection.
    earlier: int = 0
    # How it ended: "whole", "cut" or "left" by the caller.
    end: str = ""
    # When it came.
    at: float = field(default_factory=time.monotonic)


@dataclass(slots=True)
class Server:
    """A server of one service; `mode` says what it does with the next requests."""

    name: str
    stream: bool
    address: str = ""
    # "", or one of the modes below.
    mode: str = ""
    # Requests for which the mode holds; negative for all.
    times: int = -1
    events: int = 6
    # Between two events, seconds.
    pace_s: float = 0.0
    # A body that crashes whichever server begins to run it.
    poison: bytes = b""
    # Takes this server off its port.
    crash: Callable[[], Awaitable[None]] | None = None
    seen: list[Seen] = field(default_factory=list)
    # Set to let held answers go.
    go_on: asyncio.Event = field(default_factory=asyncio.Event)

    async def handle(self, call: Call) -> bool:
        """Answer one request."""
        mode = self._take_mode()
        name = call.headers.get("x-attempt-id", "")
        seen = Seen(self.name, call.target, call.headers, call.body, True, call.earlier)
        self.seen.append(seen)
        head = {"X-Attempt-Id": name, "X-Server-Signature": SIGNATURE}
        expected = call.headers.get("x-expect-instance")
        if expected != self.name or mode == "misdirected":
            seen.ran = False
            await call.answer(421, b"", {"X-Attempt-Id": name})
            return True
        if self.poison and call.body == self.poison and self.crash is not None:
            seen.end = "cut"
            call.cut()
            await self.crash()
            return False
        match mode:
            case "stale":
                # Its end of kept connections is gone, and nothing on the way says so.
                if call.earlier:
                    seen.ran = False
                    await call.closed()
                    return False
            case "shed":
                seen.ran = False
                await call.answer(503, b"", {"X-Attempt-Id": name, "X-Not-Executed": "1"})
                return True
            case "false_promise":
                await call.answer(503, b"busy", head)
                return True
            case "error":
                await call.answer(500, b"failed", head)
                return True
            case "foreign":
                await call.answer(200, b"another's", {**head, "X-Attempt-Id": "another"})
                return True
            case "unsigned":
                await call.answer(200, b"bytes", {"X-Attempt-Id": name})
                return True
            case "encoded":
                await call.answer(200, b"bytes", {**head, "Content-Encoding": "gzip"})
                return True
            case "lost":
                seen.end = "cut"
                call.cut()
                return False
            case "mute":
                await call.closed()
                seen.end = "left"
                return False
            case "extra":
                await call.answer(200, b"mine", head)
                await call.answer(200, b"extra", head)
                return True
            case _:
                pass
        if not self.stream:
            return await self._answer_plain(call, head, mode, seen)
        return await self._answer_stream(call, head, mode, seen)

    def _take_mode(self) -> str:
        if self.times == 0:
            return ""
        if self.times > 0:
            self.times -= 1
        return self.mode

    async def _answer_plain(self, call: Call, head: dict[str, str], mode: str, seen: Seen) -> bool:
        if mode == "unframed":
            lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
            await call.write(f"HTTP/1.1 200 X\r\n{lines}\r\nwhole".encode())
            return False
        if mode == "short":
            lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
            await call.write(f"HTTP/1.1 200 X\r\n{lines}Content-Length: 9\r\n\r\nhalf".encode())
            seen.end = "cut"
            return False
        await call.answer(200, f"by {self.name}".encode(), head)
        seen.end = "whole"
        return True

    async def _answer_stream(self, call: Call, head: dict[str, str], mode: str, seen: Seen) -> bool:
        after = int(call.headers.get("last-event-id") or "-1")
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        start = f"HTTP/1.1 200 X\r\n{lines}Content-Type: text/event-stream\r\n"
        await call.write(f"{start}Transfer-Encoding: chunked\r\n\r\n".encode())
        left = asyncio.create_task(call.closed())
        for number in range(after + 1, self.events):
            if mode == "cut" and number == self.events // 2:
                # In the middle of an event.
                await call.write(_chunk(f"id: {number}\ndata: ha".encode()))
                seen.end = "cut"
                left.cancel()
                return False
            if mode == "hold" and number == self.events // 2:
                held = asyncio.create_task(self.go_on.wait())
                await asyncio.wait({held, left}, return_when=asyncio.FIRST_COMPLETED)
                held.cancel()
            if left.done():
                seen.end = "left"
                return False
            await call.write(_chunk(f"id: {number}\ndata: piece {number}\n\n".encode()))
            if self.pace_s:
                await asyncio.sleep(self.pace_s)
        await call.write(b"0\r\n\r\n")
        seen.end = "whole"
        left.cancel()
        return False


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
