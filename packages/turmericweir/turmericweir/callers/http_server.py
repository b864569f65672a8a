"""uvicorn's server and protocol, adapted to this process.

The protocol limits the size of a request's headers and the time that they may take, because uvicorn
starts the application only after the headers are complete. The server leaves signals to the process
and answers all requests that arrive before its port is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Callable, Generator
from math import ceil
from typing import TYPE_CHECKING, Any, Final

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from turmericweir.answers.caller_problem import Problem, make_refusal
from turmericweir.answers.caller_refusal import new_request_id
from turmericweir.callers.caller_transport import CoalescingTransport
from turmericweir.callers.http_limits import HttpLimits
from turmericweir.process import logs
from turmericweir.process.listening_socket import accept_queued, ignore_new_connections
from turmericweir_core.base.reasons import Reason

if TYPE_CHECKING:
    from uvicorn._types import ASGI3Application
    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

# The key of the caller's connection in the state of an ASGI scope.
CONNECTION_KEY: Final = "turmericweir.connection"
BACKLOG: Final = 2048
# How long a closing port waits for handshakes to complete: several round trips to callers.
HANDSHAKE_WAIT_S: Final = 0.05
# The maximum time for which a closed port serves the connections that are still open.
OPEN_CONNECTIONS_WAIT_S: Final = 5.0
_POLL_INTERVAL_S: Final = 0.01
# Number of event loop passes after which all data that has arrived is read.
_READ_LOOP_PASSES: Final = 2
_STATUS_HEADERS_TOO_LARGE: Final = 431
_STATUS_TIMEOUT: Final = 408
# The SO_LINGER option with a timeout of zero, with which closing a socket resets the connection.
_LINGER_ZERO: Final = struct.pack("ii", 1, 0)


class LimitedProtocol(HttpToolsProtocol):
    """uvicorn's protocol with limits on the size and the time of a request's headers."""

    limits: HttpLimits
    # Returns whether a graceful stop was requested.
    is_stopping: Callable[[], bool]
    # Counts bytes that were read.
    count_read: Callable[[int], None]
    # Bytes received of the headers that are not complete yet.
    _header_bytes: int
    # Whether the next bytes are headers.
    _is_in_headers: bool
    _header_timer: asyncio.TimerHandle | None
    # Whether this end was closed, or closes with the running answer; later data is discarded.
    _is_end_sent: bool
    # Called when the connection is lost; set while a request runs. Avoids a task per request that
    # waits for ASGI's `http.disconnect`.
    on_lost: Callable[[], None] | None
    # `transport` with its actual type.
    coalescing_transport: CoalescingTransport

    # Any: uvicorn puts no constraint on the state of applications.
    def __init__(
        self,
        config: uvicorn.Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self._header_bytes = 0
        self._is_in_headers = True
        self._header_timer = None
        self._is_end_sent = False
        self.on_lost = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timer of the first request's headers."""
        self.coalescing_transport = CoalescingTransport(transport)
        super().connection_made(self.coalescing_transport)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timer and call `on_lost`."""
        self._stop_header_timer()
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Parse the data and refuse headers that are too large.

        Prevents an endless header from filling the memory, as llhttp has no limit.
        """
        if self._is_end_sent:
            return
        if self._is_in_headers:
            self._header_bytes += len(data)
        super().data_received(data)
        self._restart_idle_timer()
        type(self).count_read(len(data))
        if self._is_in_headers and self._header_bytes > self.limits.header_bytes:
            self._refuse(Reason.TOO_LARGE, _STATUS_HEADERS_TOO_LARGE)
        elif self._is_in_headers and self._header_timer is None:
            # Headers that arrive in a single part need no timer.
            self._header_bytes = self._header_bytes or len(data)
            self._start_header_timer()

    def on_message_begin(self) -> None:
        """Start counting the bytes of a request's headers."""
        super().on_message_begin()
        self._is_in_headers = True
        if self._header_timer is None:
            self._header_bytes = 0
        self.scope["state"][CONNECTION_KEY] = self

    def on_headers_complete(self) -> None:
        """Stop the header timer; the application limits the body."""
        self._stop_header_timer()
        self._is_in_headers = False
        self._header_bytes = 0
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Drop what has arrived of a body that nobody reads; the rest is dropped as it arrives."""
        if self.cycle.response_complete:
            self.cycle.body = bytearray()
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse data that is not valid HTTP."""
        self._refuse(Reason.BAD_REQUEST, None)

    def shutdown(self) -> None:
        """Close the connection after the running answer, or at once if there is none."""
        # uvicorn declares the cycle without None, and sets it with the first request.
        cycle: RequestResponseCycle | None = self.cycle
        if cycle is not None and not cycle.response_complete:
            cycle.keep_alive = False
        else:
            self._end_idle()

    @property
    def timeout_keep_alive(self) -> int:
        """The time for which uvicorn keeps this connection idle, by the current limits."""
        return ceil(self.limits.keep_alive_s)

    @timeout_keep_alive.setter
    def timeout_keep_alive(self, seconds: int) -> None:
        """Ignore uvicorn's setting, which is fixed when the connection is made."""

    @property
    def is_lost(self) -> bool:
        """Whether the connection is closed or being closed."""
        return self.transport.is_closing()

    @property
    def closes_after_answer(self) -> bool:
        """Whether the connection is closed after the answer to its newest request."""
        return not self.cycle.keep_alive

    @property
    def header_bytes(self) -> int:
        """The number of bytes received of headers that are not complete."""
        return self._header_bytes

    @property
    def waiting_requests(self) -> int:
        """The number of requests that wait behind the one that runs."""
        return len(self.pipeline)

    @property
    def unread_bytes(self) -> int:
        """The number of bytes of a body that were received and are not read yet."""
        cycle: RequestResponseCycle | None = self.cycle
        return 0 if cycle is None else len(cycle.body)

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that were written and wait for the caller to read."""
        return self.coalescing_transport.unsent_bytes

    @property
    def sent_bytes(self) -> int:
        """The number of bytes that were passed to the network."""
        return self.coalescing_transport.sent_bytes

    def reset_connection(self) -> None:
        """Reset the connection.

        Prevents a caller from treating a partial answer as complete. To an HTTP/1.0 caller a normal
        close marks the end of the answer.
        """
        if self.transport.is_closing():
            return
        if self.cycle is not None:
            # Prevents uvicorn from reporting that the application sent no answer.
            self.cycle.disconnected = True
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self.transport.abort()

    def _end_idle(self) -> None:
        """Close this end of a connection without a request, with an answer that nothing was run.

        A request that crosses the close reads the answer as its own. The socket stays open for
        reading until the caller closes it or the process ends, because closing it with unread data
        resets the connection, and the answer might be lost with it.
        """
        if self._is_end_sent or self.transport.is_closing():
            return
        self._is_end_sent = True
        self._stop_header_timer()
        problem = make_refusal(new_request_id(), Reason.STOPPING, status=_STATUS_TIMEOUT)
        self.transport.write(_problem_bytes(problem))
        self.transport.write_eof()
        # The server does not wait for the caller to close.
        self.connections.discard(self)
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            # Stays open until the process ends, also while the interpreter shuts down.
            os.dup(sock.fileno())

    def _restart_idle_timer(self) -> None:
        """Limit the time between parts of a body that is dropped after its request was answered.

        Prevents keeping a connection forever whose caller stops within the body.
        """
        cycle: RequestResponseCycle | None = self.cycle
        if cycle is None or self._is_in_headers or not cycle.response_complete:
            return
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(self.limits.header_s, self._on_header_timeout)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        if self._header_bytes:
            self._refuse(Reason.TOO_SLOW, None)
        elif type(self).is_stopping():
            self._end_idle()
        else:
            # No request was started.
            self.transport.close()

    def _refuse(self, reason: Reason, status: int | None) -> None:
        if self.transport.is_closing() or self._has_left_answer_to_running_request():
            return
        self._log_refusal(reason)
        problem = make_refusal(new_request_id(), reason, status=status)
        self.transport.write(_problem_bytes(problem))
        self.transport.close()

    def _log_refusal(self, reason: Reason) -> None:
        """Log why a connection is closed, and what it holds."""
        logs.write(
            "connection_refused",
            port=self.server[1] if self.server else None,
            reason=reason.value,
            waiting=len(self.pipeline),
            header_bytes=self._header_bytes,
            header_lines=len(self.headers or ()),
        )

    def _has_left_answer_to_running_request(self) -> bool:
        """Return whether a request is running, whose answer must come before any other.

        Prevents a caller that has sent more on its connection from reading a refusal of that as the
        answer to the request that runs.
        """
        cycle: RequestResponseCycle | None = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        if not cycle.more_body:
            # What follows the request is at fault: the connection ends with the answer.
            cycle.keep_alive = False
            self._is_end_sent = True
            self._stop_header_timer()
            return True
        if cycle.response_started or self.pipeline:
            self.reset_connection()
            return True
        return False


def _problem_bytes(problem: Problem) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (problem.status, b"Refused"), b"connection: close"]
    lines += [name + b": " + value for name, value in problem.headers]
    return b"\r\n".join([*lines, b"", problem.body])


class HttpServer(uvicorn.Server):
    """One listening HTTP server within the process."""

    # Set when the server listens.
    listening: anyio.Event

    def __init__(
        self,
        app: ASGI3Application,
        limits: HttpLimits,
        is_stopping: Callable[[], bool] = lambda: False,
        count_read: Callable[[int], None] = lambda size: None,
    ) -> None:
        attributes = {
            "limits": limits,
            "is_stopping": staticmethod(is_stopping),
            "count_read": staticmethod(count_read),
        }
        protocol = type("_Protocol", (LimitedProtocol,), attributes)
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
        """Install no signal handlers; the process handles signals itself."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen and set `listening`."""
        await super().startup(sockets)
        self.listening.set()

    def header_bytes(self) -> int:
        """Return the number of bytes received of headers that are not complete."""
        connections = self.server_state.connections
        return sum(conn.header_bytes for conn in connections if isinstance(conn, LimitedProtocol))

    def open_connections(self) -> int:
        """Return the number of connections."""
        return len(self.server_state.connections)

    def waiting_requests(self) -> int:
        """Return the number of requests that wait behind others on their connections."""
        connections = self.server_state.connections
        return sum(
            conn.waiting_requests for conn in connections if isinstance(conn, LimitedProtocol)
        )

    def stop(self) -> None:
        """Stop accepting; `serve` returns when all running requests are answered."""
        self.should_exit = True

    def shut_down_connections(self) -> None:
        """Close idle connections, and let all others end with their answer."""
        for conn in list(self.server_state.connections):
            conn.shutdown()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Close the port after answering all requests that have arrived.

        Callers may connect until the balancer notices the stop. Closing the port would reset
        connections that the kernel has completed but the process has not accepted, and requests
        that it has not read. The port therefore first stops taking new connections while it
        accepts the ones in progress, and then waits for the next request on each open connection,
        whose answer closes it.
        """
        for sock in sockets or []:
            ignore_new_connections(sock)
        await asyncio.sleep(HANDSHAKE_WAIT_S)
        accepted = [conn for sock in sockets or [] for conn in accept_queued(sock)]
        for server in self.servers:
            server.close()
        loop = asyncio.get_running_loop()
        for conn in accepted:
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(self._make_protocol, conn)
        await self._await_last_requests()
        # Reads data that has arrived before connections without requests are closed.
        for _ in range(_READ_LOOP_PASSES):
            await asyncio.sleep(0)
        await super().shutdown(sockets)

    async def _await_last_requests(self) -> None:
        wait_until = anyio.current_time() + OPEN_CONNECTIONS_WAIT_S
        # uvicorn has no event for the end of a connection.
        while self.server_state.connections:
            if anyio.current_time() >= wait_until:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _make_protocol(self) -> asyncio.Protocol:
        # Creates the protocol as uvicorn does for each connection that it accepts.
        protocol: asyncio.Protocol = self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config, server_state=self.server_state, app_state=self.lifespan.state
        )
        return protocol
