"""uvicorn, fitted to this process: own signal handling, limits before a request is whole.

uvicorn starts the application when the headers are whole. What a caller can do before that, sending
headers without an end or very slowly, is bounded here, in a subclass of its protocol.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Generator
from math import ceil
from typing import TYPE_CHECKING, Any, Final

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from turmericweir.answers.caller_problem import Problem, refusal
from turmericweir.answers.caller_refusal import new_request_id
from turmericweir.callers.caller_transport import JoiningTransport
from turmericweir.callers.http_limits import HttpLimits
from turmericweir.process.listening_socket import accept_waiting, take_no_more
from turmericweir_core.base.reasons import Reason

if TYPE_CHECKING:
    from uvicorn._types import ASGI3Application

# The scope's state key under which an application finds the connection of its caller.
CONNECTION: Final = "turmericweir.connection"
BACKLOG: Final = 2048
# Before the port is closed, connections that have begun get so long: some round trips to callers.
HANDSHAKE_S: Final = 0.05
# After it is closed, connections without any request are kept for so long at the most.
FIRST_REQUEST_S: Final = 2.0
_LOOK_S: Final = 0.01
# Passes of the event loop in which it sees what can be read, and reads it.
_READ_PASSES: Final = 2
_HEADERS_TOO_LARGE: Final = 431
# Linger for no time: what is closed is reset.
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


class LimitedProtocol(HttpToolsProtocol):
    """uvicorn's protocol with limits on the size and the time of a request's headers."""

    limits: HttpLimits
    # Bytes of the request whose headers are not whole yet.
    _header_bytes: int
    # Whether the headers of a request are awaited or being read.
    _in_headers: bool
    _header_timer: asyncio.TimerHandle | None
    # Whether no byte of a request has come yet.
    unused: bool
    # Called when the connection is lost; set while a request is in hand. A task for each request
    # that waits for ASGI's `http.disconnect` would be an eighth of the cost of a small call.
    on_lost: Callable[[], None] | None
    # The transport of this connection, by its own type.
    joining: JoiningTransport

    # Any: uvicorn's own state for applications, whatever they put there.
    def __init__(
        self,
        config: uvicorn.Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self._header_bytes = 0
        self._in_headers = True
        self._header_timer = None
        self.unused = True
        self.on_lost = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Give the first request's headers their time."""
        self.joining = JoiningTransport(transport)
        super().connection_made(self.joining)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the timer together with the connection."""
        self._stop_header_timer()
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Parse, and refuse headers that grow too large.

        llhttp has no limit of its own: without this one a caller could fill the process's memory
        with one endless header.
        """
        self.unused = False
        if self._in_headers:
            self._header_bytes += len(data)
        super().data_received(data)
        if self._in_headers and self._header_bytes > self.limits.header_bytes:
            self._refuse(Reason.TOO_LARGE, _HEADERS_TOO_LARGE)
        elif self._in_headers and self._header_timer is None:
            # Started here and not at the first byte: nearly all headers come whole in one part, and
            # a timer for each of them would be made and cancelled for nothing.
            self._header_bytes = self._header_bytes or len(data)
            self._start_header_timer()

    def on_message_begin(self) -> None:
        """Start to count a request's headers."""
        super().on_message_begin()
        self._in_headers = True
        if self._header_timer is None:
            self._header_bytes = 0
        self.scope["state"][CONNECTION] = self

    def on_headers_complete(self) -> None:
        """Stop counting; from here the application's limits hold."""
        self._stop_header_timer()
        self._in_headers = False
        self._header_bytes = 0
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse what is not HTTP."""
        self._refuse(Reason.BAD_REQUEST, None)

    @property
    def timeout_keep_alive(self) -> int:
        """How long uvicorn keeps this connection while it is idle, by the limits of the moment."""
        return ceil(self.limits.keep_alive_s)

    @timeout_keep_alive.setter
    def timeout_keep_alive(self, seconds: int) -> None:
        """Drop uvicorn's own setting, which is of the time when the connection was made."""

    @property
    def is_lost(self) -> bool:
        """Whether the caller is gone, or the connection is being closed."""
        return self.transport.is_closing()

    def cut(self) -> None:
        """Reset the connection, so that a part is not taken for a whole answer.

        A caller of HTTP/1.0 goes by the end of the connection alone; to it a plain close would say
        that the answer is whole.
        """
        if self.transport.is_closing():
            return
        if self.cycle is not None:
            # Or uvicorn would report that the application forgot to answer.
            self.cycle.disconnected = True
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.transport.abort()

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(self.limits.header_s, self._headers_late)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _headers_late(self) -> None:
        self._header_timer = None
        if self._header_bytes:
            self._refuse(Reason.TOO_SLOW, None)
        else:
            # A connection on which nothing ever came is owed no answer.
            self.transport.close()

    def _refuse(self, reason: Reason, status: int | None) -> None:
        if self.transport.is_closing():
            return
        problem = refusal(new_request_id(), reason, status=status)
        self.transport.write(_as_bytes(problem))
        self.transport.close()


def _as_bytes(problem: Problem) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (problem.status, b"Refused"), b"connection: close"]
    lines += [name + b": " + value for name, value in problem.headers]
    return b"\r\n".join([*lines, b"", problem.body])


class HttpServer(uvicorn.Server):
    """One listening HTTP server within the process."""

    # Set once it listens.
    listening: anyio.Event

    def __init__(self, app: ASGI3Application, limits: HttpLimits) -> None:
        protocol = type("_Protocol", (LimitedProtocol,), {"limits": limits})
        config = uvicorn.Config(
            app,
            http=protocol,
            ws="none",
            loop="none",
            lifespan="off",
            interface="asgi3",
            access_log=False,
            log_config=None,
            server_header=False,
            proxy_headers=False,
            backlog=BACKLOG,
        )
        super().__init__(config)
        self.listening = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Leave signals to the process: a graceful stop is the reducer's decision."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen, and tell who waits for it."""
        await super().startup(sockets)
        self.listening.set()

    def stop(self) -> None:
        """Stop accepting; `serve` returns when the requests in hand are answered."""
        self.should_exit = True

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Close the port, and end when what came in before is answered.

        Failure: callers still come, as the balancer's list lags. The system has taken a connection
        that nobody accepted yet, or a request that was not read; to close these sockets resets
        them, and their callers cannot know that nothing was run. So the port takes no new
        connections for a moment, in which those that have begun are accepted, before it is closed;
        and connections on which nothing came yet are kept until their request has come.
        """
        for sock in sockets or []:
            take_no_more(sock)
        await asyncio.sleep(HANDSHAKE_S)
        accepted = [conn for sock in sockets or [] for conn in accept_waiting(sock)]
        for server in self.servers:
            server.close()
        loop = asyncio.get_running_loop()
        for conn in accepted:
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(self._make_protocol, conn)
        await self._await_first_requests()
        # What has arrived meanwhile is read before uvicorn closes the connections without requests.
        for _ in range(_READ_PASSES):
            await asyncio.sleep(0)
        await super().shutdown(sockets)

    async def _await_first_requests(self) -> None:
        end = anyio.current_time() + FIRST_REQUEST_S
        # Looked at again and again, as uvicorn has no event for what its connections do.
        while any(map(_is_unused, self.server_state.connections)):
            if anyio.current_time() >= end:
                return
            await asyncio.sleep(_LOOK_S)

    def _make_protocol(self) -> asyncio.Protocol:
        # As uvicorn makes one for each connection that it accepts.
        made: asyncio.Protocol = self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config, server_state=self.server_state, app_state=self.lifespan.state
        )
        return made


# Any: uvicorn lists protocols of either of its kinds.
def _is_unused(conn: Any) -> bool:
    return isinstance(conn, LimitedProtocol) and conn.unused
