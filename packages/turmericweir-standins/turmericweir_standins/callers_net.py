"""The callers' sockets, as a network backend of httpcore with a short way for event streams.

httpcore parses each chunk of a body in Python, at a cost that lets one process follow some hundred
tokens a second for each of a hundred streams and no more; the callers would then measure
themselves. So a stream hands httpcore the head of an answer and nothing beyond it, and `read_body`
passes the bytes of a streamed body to its reader straight from the socket, where each is also
timed. All other answers go through httpcore as usual.
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
# Shared by all sockets: what is read into it is taken out before the loop reads again.
_RECEIVED: Final = memoryview(bytearray(65_536))
# Lets the parser begin at the body.
_CHUNKED_HEAD: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

# Takes bytes of a body; returns True at its end.
BodySink = Callable[[bytes], bool]


class ChunkDecoder:
    """Take the chunked encoding off a body."""

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
        """Take bytes and return what they hold of the body."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            raise httpcore.RemoteProtocolError(str(exc)) from exc
        body = b"".join(self._parts)
        self._parts.clear()
        return body

    # The parser calls these two.

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Take note of the end."""
        self.ended = True


class CallerStream(httpcore.AsyncNetworkStream):
    """One connection; the calls on it bound their time as a whole, so no timeout counts here."""

    _socket: _Socket

    def __init__(self, sock: _Socket) -> None:
        self._socket = sock

    # The timeouts are httpcore's interface, hence the exemptions from the rule against them.

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Return the next bytes; a head comes alone."""
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
        """Refuse: the callers speak plain HTTP."""
        raise NotImplementedError

    # Any: httpcore asks for values of various types by name.
    def get_extra_info(self, info: str) -> Any:
        """Tell whether the other end has closed an idle connection."""
        return self._socket.ended or self._socket.readable if info == "is_readable" else None

    async def read_body(self, sink: BodySink) -> None:
        """Pass all bytes after the head to the sink, until it has the whole body."""
        await self._socket.drain_to(sink)


class _Socket(asyncio.BufferedProtocol):
    """The socket of a stream, on the event loop's own protocol.

    A buffered one: for the other kind the loop allocates 256 KiB for each read, which costs several
    times as much as reading a token.
    """

    # Whether nothing more will come.
    ended: bool
    _transport: asyncio.Transport | None
    _buffer: bytearray
    # Whether the next bytes are the head of an answer.
    _in_head: bool
    # Set when anything changes, then replaced.
    _changed: anyio.Event
    # Where the bytes go instead of the buffer.
    _sink: BodySink | None
    # Whether the sink has the whole body.
    _sink_done: bool
    # Why the connection or the sink failed.
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

    # What the event loop reports.

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

    # What the stream asks for.

    @property
    def readable(self) -> bool:
        """Whether `take` has something to return, if only the end."""
        if self.ended:
            return True
        return _HEAD_END in self._buffer if self._in_head else bool(self._buffer)

    async def wait(self) -> None:
        """Wait until something changes."""
        await self._changed.wait()

    def take(self, max_bytes: int) -> bytes:
        """Return bytes that came; none at the end of the connection."""
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
        """Send the bytes; the next that come are the head of the answer."""
        if self._transport is None or self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        self._in_head = True
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    async def drain_to(self, sink: BodySink) -> None:
        """Pass what came and what comes to the sink."""
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
            # Raised here it would end in the event loop's log; the caller's task has to see it.
            self._failure = exc
        if self._sink_done or self._failure is not None:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class CallerBackend(httpcore.AsyncNetworkBackend):
    """Make the callers' connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect."""
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
        """Sleep."""
        await anyio.sleep(seconds)
