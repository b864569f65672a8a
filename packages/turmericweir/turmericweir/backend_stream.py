"""The TCP connection below an HTTP connection, as httpcore's protocol code wants it.

httpcore's own stream opens a scope with a time limit for each read and write, also where there is
no limit: a dozen for each small request. This one passes reads and writes straight on. It bounds
neither: a silent server is noticed by the reducer, a dead peer by the socket's own timeouts.

It also knows the moment before the first byte of a request goes out, from which on the server may
have begun.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from typing import Any, Final

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

CONNECT_TIMEOUT_S: Final = 1.0
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


class BackendStream(httpcore.AsyncNetworkStream):
    """One TCP connection to a backend server or the platform."""

    _stream: SocketStream
    _socket: socket.socket
    # Called once, just before the next bytes are written.
    before_write: Callable[[], None] | None

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self.before_write = None

    # The signatures, with their `timeout`, are httpcore's.
    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Read what has come, waiting for it as long as it takes; nothing at the end."""
        assert timeout is None
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise httpcore.ReadError(str(exc.__cause__ or exc)) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Write all of it."""
        assert timeout is None
        if not buffer:
            return
        announce = self.before_write
        if announce is not None:
            self.before_write = None
            announce()
        try:
            await self._stream.send(buffer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise httpcore.WriteError(str(exc.__cause__ or exc)) from exc

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    # Any: httpcore asks for things of any kind by name.
    def get_extra_info(self, info: str) -> Any:
        """Tell what httpcore asks for: whether an idle connection was closed by its server."""
        return self._is_readable() if info == "is_readable" else None

    def _is_readable(self) -> bool:
        if self._socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(0))


async def connect(address: str) -> BackendStream:
    """Open a connection; raises httpcore's errors."""
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
    except TimeoutError:
        raise httpcore.ConnectTimeout(f"no connection in {CONNECT_TIMEOUT_S} s") from None
    except OSError as exc:
        raise httpcore.ConnectError(str(exc.__cause__ or exc)) from exc
    set_options(stream)
    return BackendStream(stream)


def set_options(stream: SocketStream) -> None:
    """Have the system notice a connection that lost its other end."""
    raw: socket.socket = stream.extra(SocketAttribute.raw_socket)
    for level, option, value in SOCKET_OPTIONS:
        raw.setsockopt(level, option, value)
