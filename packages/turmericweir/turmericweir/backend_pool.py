"""Connections to backend servers and the platform: a small list of idle ones for each address.

An attempt takes a connection, has it alone, and gives it back if it can carry another request.
httpcore's own pool is not used: its bookkeeping grows with the number of its connections, and at
two hundred streams it cost as much as the streams themselves.
"""

from __future__ import annotations

import socket
from collections import defaultdict
from time import monotonic
from types import TracebackType
from typing import Final, Self

import anyio
import httpcore

# An idle connection is not trusted for longer: something between the two ends may have lost track
# of it, and a request sent over it would wait for nothing. Shorter than any keep-alive of a server.
IDLE_MAX_S: Final = 2.0
# Idle connections kept for one address; a burst leaves more, which are closed.
IDLE_MAX: Final = 64
CONNECT_TIMEOUT_S: Final = 1.0
# A request is written to the socket's buffer; a server that takes none of it for so long is gone.
WRITE_TIMEOUT_S: Final = 5.0
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
_SWEEP_S: Final = 1.0


class BackendPool:
    """Idle connections by address; owns them and closes them on exit."""

    # For each address the idle connections and when they became so, the newest last.
    _idle: defaultdict[str, list[tuple[float, httpcore.AsyncHTTPConnection]]]
    # Connections ever opened and reused, for the state dump.
    opened: int
    reused: int

    def __init__(self) -> None:
        self._idle = defaultdict(list)
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
        with anyio.CancelScope(shield=True):
            for idle in self._idle.values():
                for _, conn in idle:
                    await conn.aclose()
            self._idle.clear()

    async def take(self, address: str, *, fresh: bool = False) -> httpcore.AsyncHTTPConnection:
        """Take a connection to an address for one request; a fresh one has carried none."""
        idle = self._idle.get(address)
        while idle and not fresh:
            since, conn = idle.pop()
            # One that the server closed meanwhile would break the request that is sent over it.
            if monotonic() - since <= IDLE_MAX_S and not conn.has_expired():
                self.reused += 1
                return conn
            await conn.aclose()
        self.opened += 1
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode("ascii"), int(port))
        return httpcore.AsyncHTTPConnection(origin, socket_options=SOCKET_OPTIONS)

    async def give_back(self, address: str, conn: httpcore.AsyncHTTPConnection) -> None:
        """Keep a connection for another request, or close it where it cannot carry one."""
        idle = self._idle[address]
        if conn.is_idle() and len(idle) < IDLE_MAX:
            idle.append((monotonic(), conn))
        elif not conn.is_closed():
            # Shielded, since the attempt that held it may just have been cancelled.
            with anyio.CancelScope(shield=True):
                await conn.aclose()

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
        oldest_kept = monotonic() - IDLE_MAX_S
        idle = self._idle[address]
        old = [conn for since, conn in idle if since < oldest_kept]
        # Taken out of the list first: while one is being closed, an attempt may want another.
        idle[:] = [entry for entry in idle if entry[0] >= oldest_kept]
        if not idle:
            del self._idle[address]
        for conn in old:
            await conn.aclose()


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
    timeouts = {"connect": CONNECT_TIMEOUT_S, "write": WRITE_TIMEOUT_S}
    return httpcore.Request(
        method, url, headers=all_headers, content=body, extensions={"timeout": timeouts}
    )


_METHODS_WITH_BODY: Final = frozenset({b"POST", b"PUT", b"PATCH"})
