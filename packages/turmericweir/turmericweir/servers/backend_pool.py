"""The connection pool for backend servers and the platform, with idle connections by address.

A request acquires a connection, uses it exclusively and releases it. The pool reuses a released
connection if it can carry another request. httpcore's own pool is not used, since its cost per
request grows with the number of its connections.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Protocol, Self

import anyio
import h11
import httpcore

from turmericweir.process.errors import UnsendableError
from turmericweir.process.request_fields import find_unsendable
from turmericweir.servers.backend_stream import CONNECT_TIMEOUT_S, BackendStream, connect
from turmericweir.servers.closed_connections import ClosedUnderCalls
from turmericweir.servers.late_calls import LateCalls
from turmericweir_core.base.ids import ServerName

# How long a connection may be idle before it is reused. Shorter than any server's keep-alive time.
# Prevents sending requests on connections that a server or a device on the path has dropped.
IDLE_MAX_S: Final = 2.0
# Limit of idle connections for one address; those beyond it are closed.
MAX_IDLE_CONNECTIONS: Final = 64
_SWEEP_INTERVAL_S: Final = 1.0
# A request that must not run twice uses a new connection or one that was idle for less than this.
# Prevents losing the request on a dropped connection without knowing whether the server ran it.
VERIFIED_IDLE_MAX_S: Final = 1.0
# Upper bound of the time limit for a connection, and how long it may take to open late: the system
# repeats the first packet after 1 s, and again after 3 s.
CONNECT_MAX_S: Final = 1.5
CONNECT_LATE_MAX_S: Final = 3.5
# The same limits for the report of a server.
REPORT_TIMEOUT_S: Final = 0.5
REPORT_MAX_S: Final = 3.0
# The same limits for the answer to a status check, which may wait for a slot of the server.
CHECK_TIMEOUT_S: Final = 1.0
CHECK_MAX_S: Final = 3.0
# The statuses that end a request. The parser also takes any other three digits above them, and 101
# for a change of the protocol, which no request asks for.
_FINAL_STATUSES: Final = range(200, 600)


@dataclass(frozen=True, slots=True)
class Via:
    """The peer by way of which a server is connected to."""

    # Address of the peer.
    address: str
    # Name of the server, by which the peer knows it.
    server: ServerName


class PeerDialer(Protocol):
    """Opens connections by way of peers."""

    async def dial(self, via: Via, address: str) -> BackendStream:
        """Open a connection to a server; raise httpcore's errors."""


class BackendConnection:
    """One HTTP connection, for one request at a time."""

    __slots__ = (
        "_http",
        "_stream",
        "has_carried_request",
        "has_sent",
        "incarnation",
        "is_reused",
        "opened_at",
        "via",
        "was_closed_under_call",
    )

    _http: httpcore.AsyncHTTP11Connection
    _stream: BackendStream
    opened_at: float
    # Whether it has carried a request before the current one.
    is_reused: bool
    # None for a direct connection.
    via: Via | None
    # Whether a request was sent on it.
    has_sent: bool
    # Whether one was sent whose answer, or a copy of it, may still come.
    has_carried_request: bool
    # Which start of its server it leads to, as that said on it; empty if it did not say, None if
    # it was not asked.
    incarnation: str | None
    # Whether the other end closed it, after it was kept, before any byte of an answer to a request.
    # It may have done so before it knew of the request, so this is no sign that it has failed.
    was_closed_under_call: bool

    def __init__(self, address: str, stream: BackendStream, via: Via | None = None) -> None:
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode("ascii"), int(port))
        self._http = httpcore.AsyncHTTP11Connection(origin, stream)
        self._stream = stream
        self.opened_at = anyio.current_time()
        self.via = via
        self.is_reused = False
        self.has_sent = False
        self.has_carried_request = False
        self.incarnation = None
        self.was_closed_under_call = False

    async def send(
        self, request: httpcore.Request, before_write: Callable[[], None]
    ) -> httpcore.Response:
        """Send a request and read the head of its answer.

        Calls `before_write` on the open connection just before the first byte is written, which is
        before the server can start. An answer whose status does not end a request is an error of
        the protocol, and the connection carries no other request. Raises `UnsendableError` for a
        request that cannot be written.
        """
        self.has_sent = self.has_carried_request = True
        self._stream.before_write = before_write
        self._stream.framing.reset()
        try:
            response = await self._http.handle_async_request(request)
        except (httpcore.NetworkError, httpcore.RemoteProtocolError) as exc:
            has_begun = self._stream.framing.has_begun
            self.was_closed_under_call = self.is_reused and not has_begun and _is_closed_by(exc)
            raise
        except httpcore.LocalProtocolError as exc:
            refusal = _refusal_of(request)
            if refusal is None:
                # The parser refuses it in the state of this connection only.
                raise
            raise UnsendableError(_address_of(request), refusal) from exc
        if response.status not in _FINAL_STATUSES:
            raise httpcore.RemoteProtocolError(f"status {response.status} does not end a request")
        return response

    @property
    def is_idle(self) -> bool:
        """Return whether the connection can carry another request.

        Surplus bytes after an answer make it unusable. Prevents reading them as the start of the
        next answer, which is for another caller.
        """
        if not self.has_sent:
            return True
        return self._http.is_idle() and not self._has_leftover()

    @property
    def held_bytes(self) -> int:
        """The number of bytes that wait to be read here, or by the server."""
        return self._stream.held_bytes

    @property
    def local_address(self) -> str:
        """The address of this end of the connection."""
        return self._stream.local_address

    @property
    def has_read_answer(self) -> bool:
        """Return whether the current answer was read to its end."""
        return self._http._h11_state.their_state not in (h11.SEND_BODY, h11.SEND_RESPONSE)

    def _has_leftover(self) -> bool:
        # httpcore has no public access to the bytes after an answer; its parser stores them.
        leftover, _ = self._http._h11_state.trailing_data
        return bool(leftover) or self._stream.has_unread

    @property
    def has_end_arrived(self) -> bool:
        """Return whether the end of the connection has arrived, be it behind unread bytes."""
        return self._stream.has_end_arrived

    @property
    def is_closed_by_server(self) -> bool:
        """Return whether the server has closed the connection while it was idle."""
        # httpcore looks at the socket only after a first request.
        return self._http.has_expired() or bool(self._stream.get_extra_info("is_readable"))

    def abort(self) -> None:
        """Close the connection at once, without waiting for anything."""
        self._stream.abort()

    async def close(self) -> None:
        """Close the connection, even while its attempt is being cancelled."""
        if not self._http.is_closed():
            with anyio.CancelScope(shield=True):
                await self._http.aclose()


def _refusal_of(request: httpcore.Request) -> str | None:
    """Return why no connection could carry a request, or None if another one could."""
    field = find_unsendable(request)
    if field is not None:
        return field
    try:
        h11.Request(method=request.method, target=request.url.target, headers=list(request.headers))
    except h11.LocalProtocolError as exc:
        # Its headers contradict each other.
        return str(exc)
    return None


def _address_of(request: httpcore.Request) -> str:
    return f"{request.url.host.decode()}:{request.url.port}"


def _is_closed_by(exc: Exception) -> bool:
    """Return whether the other end has closed a connection, rather than the path to it failed."""
    return exc.__cause__ is None or isinstance(exc.__cause__, ConnectionError)


class BackendPool:
    """Owns the idle connections by address and closes them on exit."""

    # By address and peer, see `_key`: the idle connections and since when they are idle, the newest
    # last. Times are from the loop's clock, which may include time in which the machine was
    # suspended.
    _idle: defaultdict[str, list[tuple[float, BackendConnection]]]
    # By the same key: connections opened up to this time are not reused.
    _distrusted_at: dict[str, float]
    # Counts of opened and reused connections, for the state dump, and of those that could not be
    # opened.
    opened_count: int
    reused_count: int
    unopened_count: int
    # Connections that were closed under a call.
    closed_under_calls: ClosedUnderCalls
    # None if connections are always opened directly.
    _dialer: PeerDialer | None
    # Counts bytes that connections receive; None if nobody counts them.
    count_read: Callable[[int], None] | None
    # Connections that are being opened directly, by address.
    connects: LateCalls[BackendConnection]
    # Requests for the reports of servers, which keep the connection on which one came late.
    reports: LateCalls[BackendConnection | None]
    # Status checks of servers. Any: the type of their answers is defined above this module.
    checks: LateCalls[Any]
    # Called with the address when a direct connection was opened after its time limit.
    note_late_connect: Callable[[str], None] | None

    def __init__(self, dialer: PeerDialer | None = None) -> None:
        self._dialer = dialer
        self.count_read = None
        self.note_late_connect = None
        self.connects = LateCalls(
            "connect", CONNECT_TIMEOUT_S, CONNECT_MAX_S, CONNECT_LATE_MAX_S, self._adopt_connect
        )
        self.reports = LateCalls(
            "report", REPORT_TIMEOUT_S, REPORT_MAX_S, REPORT_MAX_S, self._adopt
        )
        self.checks = LateCalls(
            "check", CHECK_TIMEOUT_S, CHECK_MAX_S, CHECK_MAX_S, lambda _address, _answer: None
        )
        self._idle = defaultdict(list)
        self._distrusted_at = {}
        self.opened_count = 0
        self.reused_count = 0
        self.unopened_count = 0
        self.closed_under_calls = ClosedUnderCalls()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.connects.stop()
        await self.reports.stop()
        await self.checks.stop()
        for idle in self._idle.values():
            for _, conn in idle:
                await conn.close()
        self._idle.clear()

    async def acquire(
        self,
        address: str,
        *,
        idle_max_s: float = IDLE_MAX_S,
        via: Via | None = None,
        quick_limit_s: float | None = None,
    ) -> BackendConnection:
        """Return a connection for one request; with `idle_max_s` 0.0, a new one.

        Raises httpcore's errors if none can be opened. `quick_limit_s` replaces the time limit for
        a direct one to an address that is not known to be slow.
        """
        key = _key(address, via)
        idle = self._idle.get(key)
        # The last one is the newest; if it is too old, all are.
        while idle and anyio.current_time() - idle[-1][0] < idle_max_s:
            idle_since, conn = idle.pop()
            if conn.is_closed_by_server and self._is_early(idle_since):
                self.closed_under_calls.note_early(key)
            elif self._can_reuse(key, conn):
                self.reused_count += 1
                conn.is_reused = True
                return conn
            await conn.close()
        return await self._open(address, via, quick_limit_s)

    async def _open(
        self, address: str, via: Via | None, quick_limit_s: float | None
    ) -> BackendConnection:
        """Open a connection; count one that could not be opened."""
        try:
            if via is not None and self._dialer is not None:
                return self._add_opened(address, await self._dialer.dial(via, address), via)
            return await self.connects.run(
                address,
                lambda: self._connect(address),
                limit_s=self.connects.limit_s(address, quick_limit_s),
            )
        except TimeoutError as exc:
            self.unopened_count += 1
            raise httpcore.ConnectTimeout(f"no connection: {exc}") from None
        except (httpcore.NetworkError, httpcore.TimeoutException):
            self.unopened_count += 1
            raise

    async def _connect(self, address: str) -> BackendConnection:
        return self._add_opened(address, await connect(address), None)

    def _add_opened(
        self, address: str, stream: BackendStream, via: Via | None
    ) -> BackendConnection:
        if self.count_read is not None:
            stream.set_counter(self.count_read)
        self.opened_count += 1
        return BackendConnection(address, stream, via)

    def closes_early(self, address: str, via: Via | None = None) -> bool:
        """Return whether a server has lately closed connections that were just kept.

        A request that must not run twice then uses a new one.
        """
        return self.closed_under_calls.is_recent(_key(address, via))

    def closes_under_calls(self, address: str, via: Via | None = None) -> bool:
        """Return whether a server has lately closed kept connections under calls.

        Any caller's request then uses a new one: to send it again costs more.
        """
        return self.closed_under_calls.has_lost_call(_key(address, via))

    def _is_early(self, idle_since: float) -> bool:
        return anyio.current_time() - idle_since < VERIFIED_IDLE_MAX_S

    def _adopt_connect(self, address: str, conn: BackendConnection) -> None:
        """Keep a connection for the next request whose own one ran out of its time."""
        self._adopt(address, conn)
        if self.note_late_connect is not None:
            self.note_late_connect(address)

    def _adopt(self, address: str, conn: BackendConnection | None) -> None:
        if conn is None:
            return
        key = _key(address, conn.via)
        idle = self._idle[key]
        if conn.is_idle and len(idle) < MAX_IDLE_CONNECTIONS and self._is_trusted(key, conn):
            idle.append((anyio.current_time(), conn))
        else:
            conn.abort()

    async def release(self, address: str, conn: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        key = _key(address, conn.via)
        if conn.was_closed_under_call:
            self.closed_under_calls.add(key, conn.opened_at)
        idle = self._idle[key]
        if conn.is_idle and len(idle) < MAX_IDLE_CONNECTIONS and self._is_trusted(key, conn):
            idle.append((anyio.current_time(), conn))
        else:
            await conn.close()

    def retire_connections(self, address: str) -> None:
        """Stop reusing the direct connections that are open now, as all may be unresponsive."""
        self._distrusted_at[address] = anyio.current_time()

    def _is_trusted(self, key: str, conn: BackendConnection) -> bool:
        return conn.opened_at > self._distrusted_at.get(key, 0.0)

    def _can_reuse(self, key: str, conn: BackendConnection) -> bool:
        return self._is_trusted(key, conn) and not conn.is_closed_by_server

    def idle_counts(self) -> dict[str, int]:
        """Return the number of idle connections by address, for the state dump."""
        return {address: len(idle) for address, idle in self._idle.items() if idle}

    async def sweep_forever(self) -> None:
        """Close connections that were idle for too long, at intervals."""
        while True:
            await anyio.sleep(_SWEEP_INTERVAL_S)
            for key in list(self._idle):
                await self._sweep(key)
            self.closed_under_calls.forget_old()

    async def _sweep(self, key: str) -> None:
        cutoff_at = anyio.current_time() - IDLE_MAX_S
        idle = self._idle[key]
        early = [
            entry for entry in idle if self._is_early(entry[0]) and entry[1].is_closed_by_server
        ]
        if early:
            self.closed_under_calls.note_early(key)
        dropped = [entry for entry in idle if entry[0] < cutoff_at or entry in early]
        # Prevents an attempt from acquiring one of them while another is being closed.
        idle[:] = [entry for entry in idle if entry not in dropped]
        if not idle:
            del self._idle[key]
        for _, conn in dropped:
            await conn.close()


def _key(address: str, via: Via | None) -> str:
    """Return the key of the connections to an address, directly or by way of a peer."""
    return address if via is None else f"{address} by {via.address}"


def make_request(
    method: bytes,
    address: str,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> httpcore.Request:
    """Build a request with the given headers, without parsing a URL."""
    host, _, port = address.rpartition(":")
    url = httpcore.URL(scheme=b"http", host=host.encode("ascii"), port=int(port), target=target)
    all_headers = [(b"host", address.encode("ascii")), *headers]
    if body or method in _METHODS_WITH_BODY:
        all_headers.append((b"content-length", b"%d" % len(body)))
    request = httpcore.Request(method, url, content=body)
    # Set here to skip the conversion of each name and value by the constructor.
    request.headers = all_headers
    return request


_METHODS_WITH_BODY: Final = frozenset({b"POST", b"PUT", b"PATCH"})
