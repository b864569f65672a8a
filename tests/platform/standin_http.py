"""A small HTTP/1.1 server on raw connections, on which tests control every byte sent."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from types import TracebackType
from typing import Self
from urllib.parse import parse_qsl

Handler = Callable[["Call"], Awaitable[bool]]
_MAX_HEAD = 65_536
# The SO_LINGER option with which closing a socket resets its connection.
_LINGER_ZERO = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class Call:
    """A received request and its connection."""

    method: str
    path: str
    query: dict[str, str]
    target: str
    # Header names are in lower case.
    headers: dict[str, str]
    body: bytes
    # Number of requests received earlier on this connection.
    earlier_requests: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # In every answer.
    extra_headers: dict[str, str] = field(default_factory=dict)
    # The answers with a length that were sent on this connection.
    sent_answers: list[bytes] = field(default_factory=list)

    async def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Write a complete answer."""
        self.sent_answers.append(self.head(status, len(body), headers) + body)
        await self.write(self.sent_answers[-1])

    def head(self, status: int, size: int, headers: dict[str, str] | None = None) -> bytes:
        """Return the head of an answer with a body of a size."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [
            f"{name}: {value}" for name, value in {**self.extra_headers, **(headers or {})}.items()
        ]
        return encode_head([*lines, f"Content-Length: {size}"])

    async def write(self, data: bytes) -> None:
        """Write raw bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Reset the connection."""
        reset_connection(self.writer)

    async def wait_closed(self) -> None:
        """Wait until the other end has closed or reset the connection."""
        with suppress(ConnectionResetError):
            while await self.reader.read(4096):
                pass


def encode_head(lines: list[str]) -> bytes:
    """Encode the lines of a head as received ones are decoded, but for other characters."""
    return b"\r\n".join(map(_encode_line, [*lines, "", ""]))


def _encode_line(line: str) -> bytes:
    try:
        return line.encode("latin-1")
    except UnicodeEncodeError:
        return line.encode()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; an abort alone closes it normally if no data is unread."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()


class Listener:
    """Serves on one address, in the thread of a `LoopThread`."""

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Those whose requests are being answered.
        self._busy_writers: set[asyncio.StreamWriter] = set()
        self.connections = 0

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close_port(self) -> None:
        """Refuse new connections, and keep the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_others(self) -> None:
        """Close the connections that carry no request normally, as the exit of a process does."""
        for writer in self._writers - self._busy_writers:
            writer.close()

    def close_connections(self) -> None:
        """Close all connections normally, also those that carry requests."""
        for writer in self._writers:
            writer.close()

    async def stop(self) -> None:
        """Close the port and reset open connections."""
        self.close_port()
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        earlier_requests = 0
        sent_answers: list[bytes] = []
        try:
            while True:
                call = await _read(reader, writer, earlier_requests)
                if call is None:
                    return
                call.sent_answers = sent_answers
                if not await self._answer(call):
                    return
                earlier_requests += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, call: Call) -> bool:
        self._busy_writers.add(call.writer)
        try:
            return await self._handler(call)
        finally:
            self._busy_writers.discard(call.writer)


async def _read(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, earlier_requests: int
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
    query_parameters = dict(parse_qsl(query, keep_blank_values=True))
    return Call(
        method, path, query_parameters, target, headers, body, earlier_requests, reader, writer
    )


class LoopThread:
    """An event loop in a background thread, which runs the listeners of a test."""

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
        """Run an awaitable on the loop and wait for it."""

        async def wrapped() -> None:
            await work

        asyncio.run_coroutine_threadsafe(wrapped(), self._loop).result(20)


async def _cancel_all() -> None:
    tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
