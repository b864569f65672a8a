"""The TCP connection below an HTTP connection, as a network stream for httpcore.

The stream calls the event loop's transport directly, which avoids the cancel scopes of httpcore's
own stream and the task switches of anyio's. Reads and writes have no time limits: the reducer
detects unresponsive servers, and the socket's timeouts detect dead ones.

It also runs a callback before the first byte of a request, since the server may start after that.
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
from anyio.lowlevel import checkpoint, checkpoint_if_cancelled

from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.process.outgoing_socket import open_connection
from turmericweir.process.socket_buffers import fix_receive_buffer
from turmericweir.servers.answer_size import FramingCounter

# Time limit for a connection to an address that is not known to be slow.
CONNECT_TIMEOUT_S: Final = 0.35
# Reading from the connection pauses while more bytes than this are unread.
UNREAD_MAX_BYTES: Final = 65_536
# How much of a body is passed to the transport at a time; it copies what it cannot send at once.
WRITE_PART_BYTES: Final = 65_536
# The system probes an idle connection after 5 s and closes it after 3 unanswered probes, 2 s apart;
# data that is unacknowledged for 6 s closes it as well. Prevents waiting for hours on a connection
# whose other end has disappeared.
SOCKET_OPTIONS: Final[tuple[tuple[int, int, int], ...]] = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 6000),
)


class ConnectionProtocol(asyncio.Protocol):
    """Receives the event loop's callbacks for one connection."""

    transport: asyncio.Transport
    # Chunks that were received and not read yet, and their total size.
    received_chunks: deque[bytes]
    _unread_bytes: int
    # Whether the other end has closed its side, or the connection is lost.
    has_ended: bool
    # Why the connection was lost; None if it was closed normally.
    error: Exception | None
    # Set when data arrives, writing resumes or the connection ends; None while no task waits.
    _progressed: anyio.Event | None
    # Counts bytes that were received.
    count_read: Callable[[int], None]
    # Whether the send buffer is full.
    _is_write_paused: bool

    def __init__(self) -> None:
        self.received_chunks = deque()
        self._unread_bytes = 0
        self.has_ended = False
        self.error = None
        self._progressed = None
        self.count_read = _ignore_read
        self._is_write_paused = False

    async def wait_received(self) -> None:
        """Wait until data can be read or the connection has ended."""
        while not self.received_chunks and not self.has_ended:
            self._progressed = anyio.Event()
            try:
                await self._progressed.wait()
            finally:
                self._progressed = None

    async def wait_writable(self) -> None:
        """Wait until most of the send buffer is written or data arrives.

        Prevents a deadlock with a server that answers before it has read a long body. The transport
        writes the rest of the body in the background.
        """
        while self._is_write_paused and not self.received_chunks:
            self._progressed = anyio.Event()
            try:
                await self._progressed.wait()
            finally:
                self._progressed = None

    def pop_chunk(self, max_bytes: int) -> bytes:
        """Remove and return the oldest received bytes; empty at the end."""
        if not self.received_chunks:
            return b""
        data = self.received_chunks.popleft()
        if len(data) > max_bytes:
            self.received_chunks.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        if self._unread_bytes > UNREAD_MAX_BYTES >= self._unread_bytes - len(data):
            self.transport.resume_reading()
        self._unread_bytes -= len(data)
        return data

    @property
    def held_bytes(self) -> int:
        """The number of bytes that wait to be read here, or by the other end."""
        return self._unread_bytes + self.transport.get_write_buffer_size()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Store received data and pause reading above the limit.

        Prevents a fast server and a slow caller from exhausting the memory.
        """
        self.received_chunks.append(data)
        if self._unread_bytes <= UNREAD_MAX_BYTES < self._unread_bytes + len(data):
            self.transport.pause_reading()
        self._unread_bytes += len(data)
        self.count_read(len(data))
        self._wake()

    def eof_received(self) -> bool:
        """Record the end; True keeps the transport open until the attempt closes it."""
        self.has_ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end and wake the waiting task."""
        self.has_ended = True
        self.error = exc
        self._wake()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Make the writer wait."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Wake the waiting writer."""
        if self._is_write_paused:
            self._is_write_paused = False
            self._wake()

    def _wake(self) -> None:
        if self._progressed is not None:
            self._progressed.set()


class BackendStream(httpcore.AsyncNetworkStream):
    """One TCP connection to a backend server or the platform."""

    _protocol: ConnectionProtocol
    # Called once, just before the next bytes are written.
    before_write: Callable[[], None] | None
    # Bytes of the current answer.
    framing: FramingCounter

    def __init__(self, protocol: ConnectionProtocol) -> None:
        self._protocol = protocol
        self.before_write = None
        self.framing = FramingCounter()

    # The signatures, with their `timeout`, are httpcore's.
    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Return the next received data, without a time limit; empty at the end."""
        assert timeout is None
        # The parser asks for more only when it has used all that was read before.
        self.framing.check()
        protocol = self._protocol
        if self.framing.is_slow:
            # Lets other requests run between the parts of a long head.
            await checkpoint()
        await protocol.wait_received()
        if not protocol.received_chunks and protocol.error is not None:
            raise httpcore.ReadError(str(protocol.error)) from protocol.error
        if not protocol.received_chunks and protocol.transport.get_write_buffer_size():
            # An answer that only this end ends might be a part, as if the connection was reset.
            raise httpcore.ReadError("the connection ended before the request was written")
        data = protocol.pop_chunk(self.framing.part_bytes)
        self.framing.add_read(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Write the whole buffer, in parts while the server reads.

        Prevents a second copy of a long body while its server is slow.
        """
        assert timeout is None
        if not buffer:
            return
        before_write = self.before_write
        if before_write is not None:
            self.before_write = None
            before_write()
        # The callback may have cancelled the attempt.
        await checkpoint_if_cancelled()
        protocol = self._protocol
        rest = memoryview(buffer)
        while rest and not protocol.transport.is_closing():
            # A server that answers before it has read the body gets the rest in the background.
            size = len(rest) if protocol.received_chunks else WRITE_PART_BYTES
            protocol.transport.write(rest[:size])
            rest = rest[size:]
            await protocol.wait_writable()
        if protocol.transport.is_closing():
            raise httpcore.WriteError(
                str(protocol.error or "the connection is closed")
            ) from protocol.error

    def set_counter(self, count_read: Callable[[int], None]) -> None:
        """Set the function that counts bytes that are received."""
        self._protocol.count_read = count_read

    @property
    def held_bytes(self) -> int:
        """The number of bytes that wait to be read here, or by the other end."""
        return self._protocol.held_bytes

    @property
    def local_address(self) -> str:
        """The address of this end; empty if the connection is lost."""
        return address_of(self._protocol.transport.get_extra_info("sockname"))

    @property
    def has_end_arrived(self) -> bool:
        """Return whether the other end has closed its side, be it behind unread bytes."""
        protocol = self._protocol
        if protocol.has_ended or protocol.transport.is_closing():
            return True
        return self._poll(select.POLLRDHUP)

    @property
    def has_unread(self) -> bool:
        """Return whether there is received data that was not read."""
        return bool(self._protocol.received_chunks)

    def abort(self) -> None:
        """Close the connection."""
        self._protocol.transport.abort()

    async def aclose(self) -> None:
        """Close the connection."""
        self.abort()

    # Any: httpcore requests values of any type by name.
    def get_extra_info(self, info: str) -> Any:
        """Return whether the connection is readable, the one value that httpcore requests."""
        return self._is_readable() if info == "is_readable" else None

    def _is_readable(self) -> bool:
        protocol = self._protocol
        if protocol.has_ended or protocol.received_chunks or protocol.transport.is_closing():
            return True
        return self._poll(select.POLLIN)

    def _poll(self, events: int) -> bool:
        """Return what the socket shows, which the event loop may not have delivered yet."""
        poll = select.poll()
        poll.register(self._protocol.transport.get_extra_info("socket"), events)
        return bool(poll.poll(0))


async def connect(address: str) -> BackendStream:
    """Open a connection without a time limit; raise httpcore's errors."""
    host, _, port = address.rpartition(":")
    try:
        _, protocol = await open_connection(ConnectionProtocol, host, int(port))
    except OSError as exc:
        raise httpcore.ConnectError(str(exc.__cause__ or exc)) from exc
    except DECODE_ERRORS as exc:
        raise httpcore.ConnectError(f"{address!r} is no address: {exc}") from exc
    sock = protocol.transport.get_extra_info("socket")
    set_options(sock)
    fix_receive_buffer(sock)
    return BackendStream(protocol)


def _ignore_read(size: int) -> None:
    """Count nothing."""


# Any: a socket's address has the form of its family.
def address_of(name: Any) -> str:
    """Return the address of one end of a connection; empty if it is unknown."""
    return f"{name[0]}:{name[1]}" if name else ""


def set_options(raw: socket.socket) -> None:
    """Set the socket options by which the system detects dead connections."""
    for level, option, value in SOCKET_OPTIONS:
        raw.setsockopt(level, option, value)
