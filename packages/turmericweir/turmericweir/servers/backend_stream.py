"""The TCP connection below an HTTP connection, as httpcore's protocol code wants it.

httpcore's own stream opens a scope with a time limit for each read and write, also where there is
no limit: a dozen for each small request. anyio's socket stream, below it, lets all other tasks run
at each write and takes the socket out of the event loop's poll set after each read. This one stands
on the event loop's transport and passes reads and writes straight on. It bounds neither: a silent
server is noticed by the reducer, a dead peer by the socket's own timeouts.

It also knows the moment before the first byte of a request goes out, from which on the server may
have begun.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Final, cast

import anyio
import httpcore
from anyio.lowlevel import checkpoint_if_cancelled

CONNECT_TIMEOUT_S: Final = 0.35
# Beyond so many bytes that nobody has read, no more is read from the connection.
UNREAD_MAX: Final = 65_536
# The system probes a silent connection after 5 s and gives it up after 3 unanswered probes, 2 s
# apart; data that stays unacknowledged for 6 s breaks it as well. Without these, a connection that
# lost its other end without a word would be waited on for hours.
SOCKET_OPTIONS: Final[tuple[tuple[int, int, int], ...]] = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 6000),
)


class _Wire(asyncio.Protocol):
    """What the event loop tells of one connection."""

    transport: asyncio.Transport
    # What has come and was not read yet, and its size.
    received: deque[bytes]
    _unread: int
    # The other end sends no more, or the connection is lost.
    ended: bool
    # Why it was lost; None also where it was closed in order.
    fault: Exception | None
    # Set when something comes or may be written; None while nobody waits.
    _came: anyio.Event | None
    # The system takes no more for now.
    _blocked: bool

    def __init__(self) -> None:
        self.received = deque()
        self._unread = 0
        self.ended = False
        self.fault = None
        self._came = None
        self._blocked = False

    async def wait_received(self) -> None:
        """Wait until something can be read, or nothing more will come."""
        while not self.received and not self.ended:
            self._came = anyio.Event()
            try:
                await self._came.wait()
            finally:
                self._came = None

    async def wait_writable(self) -> None:
        """Wait until the system has taken most of what was written, or an answer comes.

        Failure: a server answers before it has read a long body, and reads on only then. Waiting
        for it to read would keep its answer from the caller; the rest of the body follows by
        itself, before anything else on this connection.
        """
        while self._blocked and not self.received:
            self._came = anyio.Event()
            try:
                await self._came.wait()
            finally:
                self._came = None

    def take(self) -> bytes:
        """Take the oldest part of what has come; nothing at the end."""
        if not self.received:
            return b""
        data = self.received.popleft()
        if self._unread > UNREAD_MAX >= self._unread - len(data):
            self.transport.resume_reading()
        self._unread -= len(data)
        return data

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Keep what came, and read no more for now where it is much.

        Failure: a caller that reads slowly, before a server that sends fast, fills the memory.
        """
        self.received.append(data)
        if self._unread <= UNREAD_MAX < self._unread + len(data):
            self.transport.pause_reading()
        self._unread += len(data)
        self._wake()

    def eof_received(self) -> bool:
        """Note the end; True keeps the transport open until the attempt closes it."""
        self.ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever waits."""
        self.ended = True
        self.fault = exc
        self._wake()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Have the writer wait."""
        self._blocked = True

    def resume_writing(self) -> None:
        """Let the writer go on."""
        if self._blocked:
            self._blocked = False
            self._wake()

    def _wake(self) -> None:
        if self._came is not None:
            self._came.set()


class BackendStream(httpcore.AsyncNetworkStream):
    """One TCP connection to a backend server or the platform."""

    _wire: _Wire
    # Called once, just before the next bytes are written.
    before_write: Callable[[], None] | None

    def __init__(self, wire: _Wire) -> None:
        self._wire = wire
        self.before_write = None

    # The signatures, with their `timeout`, are httpcore's.
    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Read what has come, waiting for it as long as it takes; nothing at the end."""
        assert timeout is None
        wire = self._wire
        await wire.wait_received()
        if not wire.received and wire.fault is not None:
            raise httpcore.ReadError(str(wire.fault)) from wire.fault
        return wire.take()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Write all of it."""
        assert timeout is None
        if not buffer:
            return
        announce = self.before_write
        if announce is not None:
            self.before_write = None
            announce()
        # The announcement may have led to the attempt being cancelled.
        await checkpoint_if_cancelled()
        wire = self._wire
        if not wire.transport.is_closing():
            wire.transport.write(buffer)
            await wire.wait_writable()
        if wire.transport.is_closing():
            raise httpcore.WriteError(str(wire.fault or "the connection is closed")) from wire.fault

    @property
    def has_unread(self) -> bool:
        """Whether something has come that nobody has read."""
        return bool(self._wire.received)

    async def aclose(self) -> None:
        """Close the connection."""
        self._wire.transport.abort()

    # Any: httpcore asks for things of any kind by name.
    def get_extra_info(self, info: str) -> Any:
        """Tell what httpcore asks for: whether an idle connection was closed by its server."""
        return self._is_readable() if info == "is_readable" else None

    def _is_readable(self) -> bool:
        wire = self._wire
        if wire.ended or wire.received or wire.transport.is_closing():
            return True
        # Asked anew: what came since the event loop last looked is not in `received` yet.
        poll = select.poll()
        poll.register(wire.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))


async def connect(address: str) -> BackendStream:
    """Open a connection; raises httpcore's errors."""
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            loop = asyncio.get_running_loop()
            _, wire = await loop.create_connection(_Wire, host, int(port))
    except TimeoutError:
        raise httpcore.ConnectTimeout(f"no connection in {CONNECT_TIMEOUT_S} s") from None
    except OSError as exc:
        raise httpcore.ConnectError(str(exc.__cause__ or exc)) from exc
    set_options(wire.transport.get_extra_info("socket"))
    return BackendStream(wire)


def set_options(raw: socket.socket) -> None:
    """Have the system notice a connection that lost its other end."""
    for level, option, value in SOCKET_OPTIONS:
        raw.setsockopt(level, option, value)
