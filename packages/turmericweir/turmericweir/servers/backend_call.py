"""Complete HTTP calls with a time limit: load probes, orders and platform calls.

Attempts for callers' requests do not use this module, since their answers are streamed.
"""

from __future__ import annotations

from collections.abc import AsyncIterable, AsyncIterator, Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, Self, TypeVar

import anyio
import httpcore
import orjson

from turmericweir.process.errors import CallError, describe_error
from turmericweir.process.traffic import TrafficCounter
from turmericweir.servers.answer_size import AnswerTooLargeError, FramingCounter
from turmericweir.servers.backend_pool import (
    IDLE_MAX_S,
    BackendConnection,
    BackendPool,
    Via,
    make_request,
)
from turmericweir.servers.backend_stream import BackendStream

# The errors that httpcore raises when the server or the network fails.
TRANSPORT_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    OSError,
)
# The bound on an answer, which is buffered whole, and that on an answer of the platform's store.
ANSWER_MAX_BYTES: Final = 262_144
STORE_ANSWER_MAX_BYTES: Final = 16_777_216
_JSON: Final = (b"content-type", b"application/json")
# Colon, space and line end of a header; version, spaces and line ends around the first line.
_HEADER_OVERHEAD_BYTES: Final = 4
_FIRST_LINE_OVERHEAD_BYTES: Final = 13
# Methods that do not change what they name. RFC 9110, section 9.2.1.
_SAFE_METHODS: Final = frozenset({b"GET", b"HEAD"})

T = TypeVar("T")


class FirstByteCallback:
    """Records that the first byte of a request is about to be written."""

    __slots__ = ("_callback", "was_called")

    was_called: bool
    _callback: Callable[[], None] | None

    def __init__(self, callback: Callable[[], None] | None = None) -> None:
        self.was_called = False
        self._callback = callback

    def __call__(self) -> None:
        """Record that the first byte is about to be written, and run the callback."""
        self.was_called = True
        if self._callback is not None:
            self._callback()


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP answer."""

    status: int
    # By lower-case name.
    headers: dict[bytes, bytes]
    body: bytes

    # Any: the caller validates it.
    def json(self) -> Any:
        """Decode the body; raise ValueError if it is not JSON."""
        return orjson.loads(self.body)


async def call(
    pool: BackendPool,
    method: bytes,
    address: str,
    target: str,
    *,
    value: object = None,
    raw: bytes = b"",
    headers: tuple[tuple[bytes, bytes], ...] = (),
    timeout_s: float,
    needs_new_connection: bool = False,
    via: Via | None = None,
    traffic: TrafficCounter | None = None,
    max_bytes: int = ANSWER_MAX_BYTES,
) -> Answer:
    """Make one call with a JSON or raw body, if any; raise CallError without a complete answer."""
    body = raw if value is None else orjson.dumps(value)
    sent_headers = [*headers, *([_JSON] if value is not None else [])]
    request = make_request(method, address, target.encode("ascii"), sent_headers, body)
    first_byte = FirstByteCallback()

    async def send(conn: BackendConnection) -> Answer:
        if traffic is not None:
            traffic.sent.add(_wire_size(method + target.encode("ascii"), request.headers, body))
        return await exchange(conn, request, first_byte, traffic, max_bytes)

    is_safe = method in _SAFE_METHODS
    needs_new = needs_new_connection or (not is_safe and pool.closes_early(address, via))
    idle_max_s = 0.0 if needs_new else IDLE_MAX_S
    try:
        with anyio.fail_after(timeout_s):
            if is_safe:
                return await use_repeatably(pool, address, send, idle_max_s=idle_max_s, via=via)
            return await use_once(pool, address, send, idle_max_s=idle_max_s, via=via)
    except TimeoutError:
        detail = f"no complete answer within {timeout_s} s"
        raise CallError(target, address, detail, was_sent=first_byte.was_called) from None
    except TRANSPORT_ERRORS as exc:
        raise CallError(
            target, address, describe_error(exc), was_sent=first_byte.was_called
        ) from exc


async def use_once(
    pool: BackendPool,
    address: str,
    use: Callable[[BackendConnection], Awaitable[T]],
    *,
    idle_max_s: float,
    via: Via | None = None,
) -> T:
    """Use a connection of the pool for one call."""
    conn = await pool.acquire(address, idle_max_s=idle_max_s, via=via)
    try:
        return await use(conn)
    finally:
        await pool.release(address, conn)


async def use_repeatably(
    pool: BackendPool,
    address: str,
    use: Callable[[BackendConnection], Awaitable[T]],
    *,
    idle_max_s: float,
    via: Via | None = None,
) -> T:
    """Use a connection for a call that may run twice.

    If a kept connection was closed under the call, it is repeated once, on a new one, where the
    same error is that of the other end. RFC 9112, section 9.3.1.
    """
    conn = await pool.acquire(address, idle_max_s=idle_max_s, via=via)
    try:
        return await use(conn)
    except TRANSPORT_ERRORS:
        if not conn.was_closed_under_call:
            raise
    finally:
        await pool.release(address, conn)
    return await use_once(pool, address, use, idle_max_s=0.0, via=via)


def _wire_size(first_line: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> int:
    """Return the size of a message on the wire: first line, header lines and body."""
    header_bytes = sum(len(name) + len(value) + _HEADER_OVERHEAD_BYTES for name, value in headers)
    return len(first_line) + _FIRST_LINE_OVERHEAD_BYTES + header_bytes + len(body)


async def exchange(
    conn: BackendConnection,
    request: httpcore.Request,
    first_byte: FirstByteCallback,
    traffic: TrafficCounter | None,
    max_bytes: int,
) -> Answer:
    """Make a call on a connection; raise TRANSPORT_ERRORS without a complete answer."""
    response = await conn.send(request, first_byte)
    body = await read_body(response, max_bytes)
    await response.aclose()
    if traffic is not None:
        traffic.received.add(_wire_size(b"200 OK", response.headers, body))
    return Answer(response.status, lower_headers(response), body)


class BodyChunks:
    """Iterates over a body as it arrives, and counts it for the bound on framing.

    Avoids the additional generator that `Response.aiter_stream` would run for each chunk.
    """

    __slots__ = ("_chunks", "_framing")

    _chunks: AsyncIterator[bytes]
    _framing: FramingCounter

    def __init__(self, response: httpcore.Response) -> None:
        assert isinstance(response.stream, AsyncIterable)
        self._chunks = aiter(response.stream)
        stream = response.extensions["network_stream"]
        assert isinstance(stream, BackendStream)
        self._framing = stream.framing

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        chunk = await anext(self._chunks)
        self._framing.add_body(len(chunk))
        return chunk


def body_of(response: httpcore.Response) -> BodyChunks:
    """Return an iterator over the body as it arrives."""
    return BodyChunks(response)


async def read_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Read a complete body of limited size; raise `AnswerTooLargeError` beyond it."""
    chunks: list[bytes] = []
    size = 0
    async for chunk in body_of(response):
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            raise AnswerTooLargeError(f"the body exceeds {max_bytes} bytes")
    return b"".join(chunks)


def lower_headers(response: httpcore.Response) -> dict[bytes, bytes]:
    """Return the headers of a response by lower-case name; of repeated ones, the last."""
    return {name.lower(): value for name, value in response.headers}
