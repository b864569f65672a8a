"""The client of `bench_overhead`: one connection with minimal processing cost.

httpcore would cost more processor time than the measured pass-through and would distort the
latencies.
"""

from __future__ import annotations

import asyncio
import re
import time
from types import TracebackType
from typing import Final, Self, cast

import anyio
import httptools

_WRITTEN_AT: Final = re.compile(rb"at=([0-9.]+)")


class BenchConnection(asyncio.Protocol):
    """One connection with one call at a time."""

    # Receives the latency of each chunk of a stream.
    _delays: list[float] | None
    _address: str
    _transport: asyncio.Transport | None
    _parser: httptools.HttpResponseParser
    # Set at the end of an answer or of the connection.
    _ended: anyio.Event
    _lost: bool

    def __init__(self, address: str, delays: list[float] | None = None) -> None:
        self._address = address
        self._delays = delays
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._ended = anyio.Event()
        self._lost = False

    async def __aenter__(self) -> Self:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self, host, int(port))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._transport is not None:
            self._transport.close()

    async def call(self, request: bytes) -> int:
        """Send a request, wait for the complete answer and return its status."""
        assert self._transport is not None
        self._ended = anyio.Event()
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(request)
        await self._ended.wait()
        if self._lost:
            raise ConnectionError(f"{self._address} closed the connection during a call")
        return int(self._parser.get_status_code())

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes."""
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the present call with an error."""
        self._lost = True
        self._ended.set()

    # Callbacks of the parser.

    def on_body(self, body: bytes) -> None:
        """Record the latency of the chunks."""
        if self._delays is None:
            return
        now = time.monotonic()
        for written_at in _WRITTEN_AT.findall(body):
            self._delays.append(now - float(written_at))

    def on_message_complete(self) -> None:
        """End the present call."""
        self._ended.set()
