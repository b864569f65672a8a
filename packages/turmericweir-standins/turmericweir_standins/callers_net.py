"""The callers' sockets: a network backend of httpcore with a fast path for event streams.

httpcore parses each chunk of a body in Python, which would make the callers the bottleneck of a
measurement. The backend passes only the head of a streamed answer to httpcore; `read_body` passes
the bytes of the body directly from the socket to the reader. All other answers are read by
httpcore.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Iterable
from typing import Any, Final, cast

import anyio
import httpcore
import httptools

_HEAD_END: Final = b"\r\n\r\n"
# Receive buffer of all sockets; its content is copied before the loop reads again.
_RECEIVED: Final = memoryview(bytearray(65_536))
# A response head that makes the parser accept a chunked body.
_CHUNKED_HEAD: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

# Receives bytes of a body; returns True at its end.
BodySink = Callable[[bytes], bool]


class ChunkDecoder:
    """Decode the chunked transfer encoding of a body."""

    # Whether the body has ended.
    ended: bool
    _parts: list[bytes]
    _parser: httptools.HttpResponseParser

    def __init__(self) -> None:
        self.ended = False
        self._parts = []
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(_CHUNKED_HEAD)

    def feed(self, data: bytes) -> bytes:
        """Add encoded bytes and return the decoded bytes of the body."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            raise httpcore.RemoteProtocolError(str(exc)) from exc
        body = b"".join(self._parts)
        self._parts.clear()
        return body

    # Callbacks of the parser.

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Record the end of the body."""
        self.ended = True


class CallerStream(httpcore.AsyncNetworkStream):
    """One connection; timeouts are ignored, since the callers limit the duration of each call."""

    _socket: _Socket

    def __init__(self, sock: _Socket) -> None:
        self._socket = sock

    # The timeout parameters belong to httpcore's interface.

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Return the next bytes; a head is returned without bytes of the body."""
        sock = self._socket
        while not sock.readable:
            await sock.wait()
        return sock.take(max_bytes)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Send the bytes."""
        self._socket.send(buffer)

    async def aclose(self) -> None:
        """Close the connection."""
        self._socket.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> httpcore.AsyncNetworkStream:
        """Refuse TLS, since the callers use plain HTTP."""
        raise NotImplementedError

    # Any: the type of the value depends on its name.
    def get_extra_info(self, info: str) -> Any:
        """Return whether an idle connection is readable, which means that it was closed."""
        return self._socket.ended or self._socket.readable if info == "is_readable" else None

    async def read_body(self, sink: BodySink) -> None:
        """Pass all bytes after the head to the sink until the body is complete."""
        await self._socket.drain_to(sink)


class _Socket(asyncio.BufferedProtocol):
    """The socket of a stream, as a protocol of the event loop.

    It is a buffered protocol, since the loop allocates a large buffer for each read of a plain one.
    """

    # Whether the other end has closed the connection.
    ended: bool
    _transport: asyncio.Transport | None
    _buffer: bytearray
    # Whether the next bytes are the head of an answer.
    _in_head: bool
    # Set and replaced at each change.
    _changed: anyio.Event
    # The receiver of the bytes instead of the buffer.
    _sink: BodySink | None
    # Whether the sink has the complete body.
    _sink_done: bool
    # The error of the connection or of the sink.
    _failure: Exception | None

    def __init__(self) -> None:
        self.ended = False
        self._transport = None
        self._buffer = bytearray()
        self._in_head = True
        self._changed = anyio.Event()
        self._sink = None
        self._sink_done = False
        self._failure = None

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _RECEIVED

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(_RECEIVED[:nbytes])
        if self._sink is None:
            self._buffer += data
            self._wake()
        else:
            self._feed_sink(self._sink, data)

    def eof_received(self) -> None:
        self.ended = True
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        if exc is not None and self._failure is None:
            self._failure = httpcore.ReadError(str(exc))
        self._wake()

    # Calls of the stream.

    @property
    def readable(self) -> bool:
        """Whether `take` can return bytes or the end of the connection."""
        if self.ended:
            return True
        return _HEAD_END in self._buffer if self._in_head else bool(self._buffer)

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def take(self, max_bytes: int) -> bytes:
        """Return received bytes; none at the end of the connection."""
        if not self._buffer and self._failure is not None:
            raise self._failure
        size = max_bytes
        if self._in_head and _HEAD_END in self._buffer:
            size = min(size, self._buffer.index(_HEAD_END) + len(_HEAD_END))
            self._in_head = False
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def send(self, data: bytes) -> None:
        """Send the bytes; the next received bytes are the head of the answer."""
        if self._transport is None or self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        self._in_head = True
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    async def drain_to(self, sink: BodySink) -> None:
        """Pass the buffered and all later bytes to the sink."""
        data = bytes(self._buffer)
        self._buffer.clear()
        self._sink = sink
        if data:
            self._feed_sink(sink, data)
        while not self._sink_done and self._failure is None and not self.ended:
            await self._changed.wait()
        if self._failure is not None:
            raise self._failure
        if not self._sink_done:
            raise httpcore.RemoteProtocolError("the connection ended within the body")

    def _feed_sink(self, sink: BodySink, data: bytes) -> None:
        try:
            self._sink_done = sink(data)
        except Exception as exc:
            # Raised by `drain_to` in the caller's task instead of in the event loop.
            self._failure = exc
        if self._sink_done or self._failure is not None:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class CallerBackend(httpcore.AsyncNetworkBackend):
    """Open the callers' connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(timeout):
                _, sock = await loop.create_connection(_Socket, host, port)
        except TimeoutError as exc:
            raise httpcore.ConnectTimeout(str(exc)) from exc
        except OSError as exc:
            raise httpcore.ConnectError(str(exc)) from exc
        return CallerStream(sock)

    async def sleep(self, seconds: float) -> None:
        """Sleep for some seconds."""
        await anyio.sleep(seconds)
