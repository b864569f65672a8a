"""A small HTTP/1.1 server of raw connections, so that a test decides every byte that is sent."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Self
from urllib.parse import parse_qsl

Handler = Callable[["Call"], Awaitable[bool]]
_MAX_HEAD = 65_536


@dataclass(slots=True)
class Call:
    """One request that was read, and the connection to answer on."""

    method: str
    path: str
    query: dict[str, str]
    target: str
    # Names in lower case.
    headers: dict[str, str]
    body: bytes
    # Number of requests on this connection before this one.
    earlier: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Write a whole answer."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        await self.write("\r\n".join(lines).encode() + body)

    async def write(self, data: bytes) -> None:
        """Write bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    def cut(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()

    async def closed(self) -> None:
        """Wait until the other end has closed the connection."""
        while await self.reader.read(4096):
            pass


class Listener:
    """Serves on one address, on the loop of a `Loop`."""

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.connections = 0

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close the port and reset what is open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        earlier = 0
        try:
            while True:
                call = await _read(reader, writer, earlier)
                if call is None or not await self._handler(call):
                    return
                earlier += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, earlier: int
) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    named = dict(parse_qsl(query))
    return Call(method, path, named, target, headers, body, earlier, reader, writer)


class Loop:
    """An event loop in a thread of its own, for listeners beside a test."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.run(_cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, work: Awaitable[None]) -> None:
        """Run something on the loop and wait for it."""

        async def wrapped() -> None:
            await work

        asyncio.run_coroutine_threadsafe(wrapped(), self._loop).result(20)


async def _cancel_all() -> None:
    tasks = [each for each in asyncio.all_tasks() if each is not asyncio.current_task()]
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
