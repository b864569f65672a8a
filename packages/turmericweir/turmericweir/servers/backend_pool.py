"""Connections to backend servers and the platform: a small list of idle ones for each address.

An attempt takes a connection, has it alone, and gives it back if it can carry another request.
httpcore's own pool is not used: its bookkeeping grows with the number of its connections, and at
two hundred streams it cost as much as the streams themselves.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self

import anyio
import httpcore

from turmericweir.servers.backend_stream import BackendStream, connect

# An idle connection is not trusted for longer: something between the two ends may have lost track
# of it, and a request sent over it would wait for nothing. Shorter than any keep-alive of a server.
IDLE_MAX_S: Final = 2.0
# Idle connections kept for one address; a burst leaves more, which are closed.
IDLE_MAX: Final = 64
_SWEEP_S: Final = 1.0
# A model's answer that must not be begun twice comes over a connection that has been idle for less,
# or a new one. Failure without the bound: the server, or something between, drops idle connections,
# and the request is lost on one with nobody able to say whether it ran. What drops them counts in
# seconds, and the end of an answer proves that the connection carried both ways so long ago. Each
# new one costs its server a handshake and one of its places.
PROVEN_IDLE_S: Final = 1.0


class BackendConnection:
    """One HTTP connection, for one request at a time."""

    __slots__ = ("_http", "_stream", "_used", "is_kept", "opened_at")

    _http: httpcore.AsyncHTTP11Connection
    _stream: BackendStream
    # When it was opened.
    opened_at: float
    # It has carried an earlier request.
    is_kept: bool
    # It carries a request, or has carried one.
    _used: bool

    def __init__(self, address: str, stream: BackendStream) -> None:
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode("ascii"), int(port))
        self._http = httpcore.AsyncHTTP11Connection(origin, stream)
        self._stream = stream
        self.opened_at = anyio.current_time()
        self.is_kept = False
        self._used = False

    async def send(
        self, request: httpcore.Request, announce: Callable[[], None]
    ) -> httpcore.Response:
        """Send a request and read the head of its answer.

        `announce` is called just before the first byte goes out: not before it is sure that the
        connection stands, and not after the server could have begun.
        """
        self._used = True
        self._stream.before_write = announce
        return await self._http.handle_async_request(request)

    @property
    def is_idle(self) -> bool:
        """Whether it can carry another request.

        Failure: a server sends more than the answer it announced. Whatever is left of that would be
        taken for the beginning of the next answer, which is another caller's.
        """
        if not self._used:
            return True
        return self._http.is_idle() and not self._has_leftover()

    def _has_leftover(self) -> bool:
        # httpcore has no word for it; its parser keeps what came behind the answer.
        leftover, _ = self._http._h11_state.trailing_data
        return bool(leftover) or self._stream.has_unread

    @property
    def was_closed(self) -> bool:
        """Whether its server has closed it while it was idle."""
        return self._http.has_expired()

    async def close(self) -> None:
        """Close it, also when the attempt that had it is being cancelled."""
        if not self._http.is_closed():
            with anyio.CancelScope(shield=True):
                await self._http.aclose()


class BackendPool:
    """Idle connections by address; owns them and closes them on exit."""

    # For each address the idle connections and when they became so, the newest last. By the loop's
    # clock, which may count suspensions: a connection is no younger for its process having slept.
    _idle: defaultdict[str, list[tuple[float, BackendConnection]]]
    # For some addresses, the time up to which connections that were opened are not used again.
    _distrusted: dict[str, float]
    # Connections ever opened and reused, for the state dump.
    opened: int
    reused: int

    def __init__(self) -> None:
        self._idle = defaultdict(list)
        self._distrusted = {}
        self.opened = 0
        self.reused = 0

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for idle in self._idle.values():
            for _, conn in idle:
                await conn.close()
        self._idle.clear()

    async def take(self, address: str, *, idle_max_s: float = IDLE_MAX_S) -> BackendConnection:
        """Take a connection to an address for one request; with 0.0, one that has carried none.

        Raises httpcore's errors where none can be opened.
        """
        idle = self._idle.get(address)
        # The newest is the last: behind one that was idle for too long there is no better one.
        while idle and anyio.current_time() - idle[-1][0] < idle_max_s:
            _, conn = idle.pop()
            # One that the server closed meanwhile would break the request that is sent over it.
            if self._may_use(address, conn):
                self.reused += 1
                conn.is_kept = True
                return conn
            await conn.close()
        stream = await connect(address)
        self.opened += 1
        return BackendConnection(address, stream)

    async def give_back(self, address: str, conn: BackendConnection) -> None:
        """Keep a connection for another request, or close it where it cannot carry one."""
        idle = self._idle[address]
        if conn.is_idle and len(idle) < IDLE_MAX and self._is_trusted(address, conn):
            idle.append((anyio.current_time(), conn))
        else:
            await conn.close()

    def distrust(self, address: str) -> None:
        """Use no connection again that is open now, as they may all have gone silent together."""
        self._distrusted[address] = anyio.current_time()

    def _is_trusted(self, address: str, conn: BackendConnection) -> bool:
        return conn.opened_at > self._distrusted.get(address, 0.0)

    def _may_use(self, address: str, conn: BackendConnection) -> bool:
        return self._is_trusted(address, conn) and not conn.was_closed

    def counts(self) -> dict[str, int]:
        """Count the idle connections by address, for the state dump."""
        return {address: len(idle) for address, idle in self._idle.items() if idle}

    async def sweep_forever(self) -> None:
        """Close idle connections that have become too old to be trusted."""
        while True:
            await anyio.sleep(_SWEEP_S)
            for address in list(self._idle):
                await self._sweep(address)

    async def _sweep(self, address: str) -> None:
        oldest_kept = anyio.current_time() - IDLE_MAX_S
        idle = self._idle[address]
        old = [conn for since, conn in idle if since < oldest_kept]
        # Taken out of the list first: while one is being closed, an attempt may want another.
        idle[:] = [entry for entry in idle if entry[0] >= oldest_kept]
        if not idle:
            del self._idle[address]
        for conn in old:
            await conn.close()


def make_request(
    method: bytes,
    address: str,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> httpcore.Request:
    """Build a request without going through URL parsing, for the headers that are given."""
    host, _, port = address.rpartition(":")
    url = httpcore.URL(scheme=b"http", host=host.encode("ascii"), port=int(port), target=target)
    all_headers = [(b"host", address.encode("ascii")), *headers]
    if body or method in _METHODS_WITH_BODY:
        all_headers.append((b"content-length", b"%d" % len(body)))
    request = httpcore.Request(method, url, content=body)
    # Set afterwards: the constructor would convert each name and value, which are bytes already.
    request.headers = all_headers
    return request


_METHODS_WITH_BODY: Final = frozenset({b"POST", b"PUT", b"PATCH"})
