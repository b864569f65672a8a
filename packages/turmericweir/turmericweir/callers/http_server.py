"""uvicorn's server and protocol, adapted to this process.

The protocol limits the size of a request's headers and the time that they may take, because uvicorn
starts the application only after the headers are complete. It parses one request of a connection at
a time (`message_framing`), because uvicorn queues all that it has parsed. The server leaves signals
to the process and answers all requests that arrive before its port is closed.
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
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from turmericweir.answers.caller_problem import Problem, make_refusal
from turmericweir.answers.caller_refusal import new_request_id
from turmericweir.callers.caller_transport import CoalescingTransport
from turmericweir.callers.http_limits import HttpLimits
from turmericweir.callers.message_framing import MessageFraming, Part
from turmericweir.process import logs
from turmericweir.process.listening_socket import accept_queued, ignore_new_connections
from turmericweir.process.socket_buffers import SocketBuffers
from turmericweir_core.base.reasons import Reason

if TYPE_CHECKING:
    from uvicorn._types import ASGI3Application
    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

# The key of the caller's connection in the state of an ASGI scope.
CONNECTION_KEY: Final = "turmericweir.connection"
# The key of a request's target as the caller sent it. The connection's `url` is that of the newest
# request on it, which may have been sent ahead.
TARGET_KEY: Final = "turmericweir.target"
BACKLOG: Final = 2048
# Connections that asyncio accepts before it passes on any of them, which then may be closed.
_ACCEPTED_AT_ONCE: Final = 32
# How long a closing port waits for handshakes to complete: several round trips to callers.
HANDSHAKE_WAIT_S: Final = 0.05
# The maximum time for which a closed port serves the connections that are still open.
OPEN_CONNECTIONS_WAIT_S: Final = 5.0
_POLL_INTERVAL_S: Final = 0.01
# Number of event loop passes after which all data that has arrived is read.
_READ_LOOP_PASSES: Final = 2
_STATUS_HEADERS_TOO_LARGE: Final = 431
_STATUS_TIMEOUT: Final = 408
# The most that is read at once; the buffer is used again after each read.
_READ_BUFFER: Final = memoryview(bytearray(65_536))
# The number of bytes beyond which no more is read while they wait for a request that runs.
_AHEAD_BYTES: Final = 16_384
# The number of pieces of a message that are parsed before other connections get their turn.
_PIECES_PER_STEP: Final = 64
# The maximum number of reads of what is dropped when a connection closes.
_DROPPED_READS: Final = 16
# The maximum number of lines of a head; more than the shortest lines of 64 KB.
HEADER_LINES_MAX: Final = 24_000
# The memory that a header takes beyond its length, and heads up to which none is asked for.
_HEADER_LINE_BYTES: Final = 256
_SMALL_HEADERS_BYTES: Final = 16_384
_FRAME_PARTS: Final = frozenset({Part.CHUNK_LINE, Part.TRAILERS})
# When a client may return that was refused for want of memory.
_RETRY_AFTER_S: Final = 1.0
# The SO_LINGER option with a timeout of zero, with which closing a socket resets the connection.
_LINGER_ZERO: Final = struct.pack("ii", 1, 0)


class _DroppedHeaders(list[tuple[bytes, bytes]]):
    """Headers to which nothing is added."""

    def append(self, item: tuple[bytes, bytes]) -> None:
        """Do nothing."""


# Replaces the headers of a request when these are complete, as uvicorn adds trailers to them.
_NO_TRAILERS: Final = _DroppedHeaders()


class LimitedProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """uvicorn's protocol with limits on what a client sends.

    Parses one request at a time. What follows a request that runs waits unparsed, and reading
    pauses while much of it waits.
    """

    limits: HttpLimits
    # Returns whether a graceful stop was requested.
    is_stopping: Callable[[], bool]
    # Counts bytes that were read, and those of the objects that become of them.
    count_read: Callable[[int], None]
    # Closes connections if there are too many with the new one.
    make_room: Callable[[LimitedProtocol], None]
    # The kernel's buffers of all connections.
    buffers: SocketBuffers
    # Returns whether large headers, which take so many bytes, may be held.
    can_hold_headers: Callable[[int], bool]
    _framing: MessageFraming
    # Whether a part of a message was parsed, and not its end.
    _has_begun: bool
    # The memory held for the headers of the request that runs.
    _headers_held_bytes: int
    # Bytes of chunk lines and trailers since the last byte of a body.
    _frame_bytes: int
    # Bytes parsed of the first line of a head that is not complete.
    _first_line_bytes: int
    # The sizes of buffers that were widened; 0 for any other.
    _granted_bytes: int
    _granted_send_bytes: int
    # What was received and is not parsed yet.
    _unparsed: bytes
    # Whether it is parsed in a later pass of the event loop.
    _is_parse_scheduled: bool
    # Whether the next head began to arrive while another request was running.
    _is_ahead: bool
    _header_timer: asyncio.TimerHandle | None
    # When the connection was opened, or its last answer ended.
    active_at: float
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
        self._framing = MessageFraming()
        self._has_begun = False
        self._headers_held_bytes = 0
        self._frame_bytes = 0
        self._first_line_bytes = 0
        self._granted_bytes = 0
        self._granted_send_bytes = 0
        self._unparsed = b""
        self._is_parse_scheduled = False
        self._is_ahead = False
        self._header_timer = None
        self._is_end_sent = False
        self.active_at = self.loop.time()
        self.on_lost = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timer of the first request's headers."""
        self.coalescing_transport = CoalescingTransport(transport, self._widen_sending)
        type(self).buffers.fix(transport.get_extra_info("socket"))
        super().connection_made(self.coalescing_transport)
        self._start_header_timer()
        type(self).make_room(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timer and call `on_lost`."""
        self._stop_header_timer()
        type(self).buffers.give_back(self._granted_bytes, self._granted_send_bytes)
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Receive what was read."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse the data up to the end of a request."""
        if self._is_end_sent:
            return
        type(self).count_read(len(data))
        if self.transport.is_closing():
            # Reset by the count.
            return
        self._unparsed += data
        if not self._is_parse_scheduled:
            self._parse()

    def on_message_begin(self) -> None:
        """Record that a message has begun."""
        super().on_message_begin()
        self._has_begun = True
        self.scope["state"][CONNECTION_KEY] = self

    def on_headers_complete(self) -> None:
        """Stop the header timer; the application limits the body."""
        self._stop_header_timer()
        self._first_line_bytes = 0
        self._frame_bytes = 0
        self._is_ahead = False
        self._framing.begin_body(dict(self.headers))
        self.scope["state"][TARGET_KEY] = self.url
        super().on_headers_complete()
        self.headers = _NO_TRAILERS
        if self.parser.should_upgrade() and self._framing.has_body:
            # The parser takes a body after a request for another protocol as the next request.
            self.cycle.keep_alive = False
            self._is_end_sent = True

    def on_body(self, body: bytes) -> None:
        """Add a part of a body."""
        self._frame_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Record that the next bytes are those of another message."""
        self._stop_header_timer()
        self._has_begun = False
        self._framing.end_message()
        super().on_message_complete()

    def _parse(self) -> None:
        """Parse what has arrived piece by piece, up to the end of a request that runs."""
        self._is_parse_scheduled = False
        if self.transport.is_closing():
            self._unparsed = b""
            return
        data = self._unparsed
        position = 0
        for _ in range(_PIECES_PER_STEP):
            position = self._skip_empty_lines(data, position)
            if position == len(data):
                break
            if self._must_wait:
                # Nothing is answered after the running answer if that closes the connection.
                position = position if self.cycle.keep_alive else len(data)
                self._is_ahead = True
                break
            end = self._framing.piece_end(data, position)
            size = end - position or len(data) - position
            if self._is_head_too_large(size) or self._are_trailers_too_large(size):
                self._refuse(Reason.TOO_LARGE, _STATUS_HEADERS_TOO_LARGE)
                break
            if end == position or not self._has_room_for_headers(data, position, end):
                break
            piece = data[position:end] if end - position < len(data) else data
            position = end
            if not self._parse_piece(piece):
                break
        else:
            self._schedule_parse()
        self._unparsed = data[position:]
        self._await_more()

    def _parse_piece(self, piece: bytes) -> bool:
        """Parse a piece of a message; return whether the connection goes on."""
        part = self._framing.part
        super().data_received(piece)
        if self.transport.is_closing() or self._is_end_sent:
            return False
        # The end of a message is reported by the parser.
        if self._has_begun and self._framing.part is part:
            if part is Part.FIRST_LINE:
                self._first_line_bytes += len(piece)
            self._framing.end_piece(piece)
        return True

    @property
    def _must_wait(self) -> bool:
        """Whether the next bytes begin a request, and another one is running."""
        cycle: RequestResponseCycle | None = self.cycle
        return cycle is not None and not cycle.response_complete and not self._has_begun

    def _skip_empty_lines(self, data: bytes, position: int) -> int:
        """Return the position after empty lines before a request, as the parser skips them."""
        if self._has_begun or data[position : position + 1] not in (b"\r", b"\n"):
            return position
        return len(data) - len(data[position:].lstrip(b"\r\n"))

    def _is_head_too_large(self, size: int) -> bool:
        """Return whether a head is too large with the next bytes.

        Prevents an endless header from filling the memory, as llhttp has no limit.
        """
        if not self._framing.is_in_head:
            return False
        return self._first_line_bytes + size > self.limits.header_bytes

    def _has_room_for_headers(self, data: bytes, start: int, end: int) -> bool:
        """Return whether the lines of a complete head may be parsed; else refuse the request.

        A short line takes many times its length as an object.
        """
        if not self._framing.is_in_head:
            return True
        lines = data.count(b"\n", start, end)
        if lines > HEADER_LINES_MAX:
            self._refuse(Reason.TOO_LARGE, _STATUS_HEADERS_TOO_LARGE)
            return False
        held_bytes = end - start + lines * _HEADER_LINE_BYTES
        if held_bytes > _SMALL_HEADERS_BYTES and not type(self).can_hold_headers(held_bytes):
            self._refuse(Reason.MEMORY_SHORT, None)
            return False
        self._headers_held_bytes = held_bytes
        type(self).count_read(held_bytes)
        return True

    def _are_trailers_too_large(self, size: int) -> bool:
        """Return whether trailers, or extensions of a chunk, are too large with the next bytes."""
        if self._framing.part in _FRAME_PARTS:
            self._frame_bytes += size
        return self._frame_bytes > self.limits.header_bytes

    def _drop_unread(self) -> None:
        """Read what has arrived on a connection that closes after an answer.

        Prevents a reset, with which the answer might be lost.
        """
        transport_sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock = socket.fromfd(
                transport_sock.fileno(), transport_sock.family, transport_sock.type
            )
            with sock:
                for _ in range(_DROPPED_READS):
                    if not sock.recv_into(_READ_BUFFER, 0, socket.MSG_DONTWAIT):
                        break

    def _schedule_parse(self) -> None:
        if not self._is_parse_scheduled:
            self._is_parse_scheduled = True
            self.loop.call_soon(self._parse)

    def _await_more(self) -> None:
        """Start the timer for what must arrive next, and read only as far ahead as allowed."""
        if self._is_end_sent or self.transport.is_closing():
            self._unparsed = b""
            return
        is_head_awaited = self._framing.is_in_head and self.header_bytes and not self._must_wait
        are_trailers_awaited = self._framing.part is Part.TRAILERS
        if (is_head_awaited or are_trailers_awaited) and self._header_timer is None:
            self._start_header_timer()
        self._restart_idle_timer()
        cycle: RequestResponseCycle | None = self.cycle
        is_body_waiting = cycle is not None and len(cycle.body) > HIGH_WATER_LIMIT
        is_far_ahead = len(self._unparsed) > self._ahead_max_bytes
        if self._is_parse_scheduled or is_far_ahead or is_body_waiting:
            self.flow.pause_reading()
        else:
            self.flow.resume_reading()

    @property
    def _ahead_max_bytes(self) -> int:
        """The number of bytes that may wait to be parsed: at least a complete head."""
        return max(_AHEAD_BYTES, self.limits.header_bytes)

    def on_response_complete(self) -> None:
        """Drop what has arrived of a body that nobody reads; the rest is dropped as it arrives."""
        if self.cycle.response_complete:
            self.cycle.body = bytearray()
            self._forget_headers()
            self.active_at = self.loop.time()
        super().on_response_complete()
        if self.transport.is_closing():
            if self.flow.read_paused:
                self._drop_unread()
        elif self._unparsed:
            # The application that has answered goes on first.
            self._schedule_parse()

    def _forget_headers(self) -> None:
        """Let go of headers, which an idle connection would keep until its next request."""
        self.cycle.scope["headers"] = []
        self._headers_held_bytes = 0

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
    def descriptor(self) -> int:
        """The descriptor of the socket; -1 if it is closed."""
        sock = self.transport.get_extra_info("socket")
        return -1 if sock is None else int(sock.fileno())

    @property
    def closes_after_answer(self) -> bool:
        """Whether the connection is closed after the answer to its newest request."""
        return not self.cycle.keep_alive

    @property
    def closing_rank(self) -> int | None:
        """In which order the connection may be closed, lowest first; None while a request runs."""
        cycle: RequestResponseCycle | None = self.cycle
        if self.transport.is_closing():
            return None
        if cycle is None:
            return 0
        if cycle.response_complete:
            return 0 if self._has_begun else 1
        return 2 if cycle.more_body and not cycle.response_started else None

    def close_idle(self) -> None:
        """Close a connection on which no request runs, without an answer."""
        self._stop_header_timer()
        self.transport.abort()

    @property
    def header_bytes(self) -> int:
        """The number of bytes received of headers and requests that are not parsed."""
        return self._first_line_bytes + len(self._unparsed)

    @property
    def unread_bytes(self) -> int:
        """The number of bytes held of what was received: not parsed, not read yet, or headers."""
        cycle: RequestResponseCycle | None = self.cycle
        body_bytes = 0 if cycle is None else len(cycle.body)
        return self.header_bytes + self._headers_held_bytes + body_bytes

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that were written and wait for the caller to read."""
        return self.coalescing_transport.unsent_bytes

    @property
    def sent_bytes(self) -> int:
        """The number of bytes that were passed to the network."""
        return self.coalescing_transport.sent_bytes

    def expect_body(self, body_bytes: int) -> None:
        """Prepare to receive a body that was admitted."""
        awaited_bytes = body_bytes - len(self.cycle.body)
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            granted_bytes = type(self).buffers.widen(sock, awaited_bytes, self._granted_bytes)
            self._granted_bytes = granted_bytes

    def _widen_sending(self) -> None:
        """Let the kernel take more of an answer that it could not take at once."""
        if self._granted_send_bytes or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            self._granted_send_bytes = type(self).buffers.widen_sending(sock, 0)

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
        self._free_unread()

    def _free_unread(self) -> None:
        """Free what was received, of which nothing more is used.

        The event loop drops a connection only in its next step, until which thousands of others may
        be read.
        """
        self._unparsed = b""
        if self.cycle is not None:
            self.cycle.body = bytearray()

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
        if cycle is None or not self._has_begun or not cycle.response_complete:
            return
        if self._framing.is_in_head:
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
        if self.header_bytes or self._has_begun:
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
        if self._is_ahead or self._is_answered:
            # A caller that has read one answer might take a second one for that of its request.
            self._drop_unread()
            self.transport.close()
            return
        retry_after_s = _RETRY_AFTER_S if reason is Reason.MEMORY_SHORT else None
        request_id = new_request_id()
        problem = make_refusal(request_id, reason, status=status, retry_after_s=retry_after_s)
        self.transport.write(_problem_bytes(problem))
        self.transport.close()

    @property
    def _is_answered(self) -> bool:
        """Whether the request whose body is arriving has its answer."""
        cycle: RequestResponseCycle | None = self.cycle
        return cycle is not None and cycle.response_complete and not self._framing.is_in_head

    def _log_refusal(self, reason: Reason) -> None:
        """Log why a connection is closed, and what it holds."""
        logs.write(
            "connection_refused",
            port=self.server[1] if self.server else None,
            reason=reason.value,
            header_bytes=self.header_bytes,
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
    _buffers: SocketBuffers

    def __init__(
        self,
        app: ASGI3Application,
        limits: HttpLimits,
        is_stopping: Callable[[], bool] = lambda: False,
        count_read: Callable[[int], None] = lambda size: None,
        can_hold_headers: Callable[[int], bool] = lambda size: True,
        make_room: Callable[[LimitedProtocol], None] = lambda connection: None,
        buffers: SocketBuffers | None = None,
    ) -> None:
        self._buffers = buffers or SocketBuffers()
        attributes = {
            "limits": limits,
            "is_stopping": staticmethod(is_stopping),
            "count_read": staticmethod(count_read),
            "can_hold_headers": staticmethod(can_hold_headers),
            "make_room": staticmethod(make_room),
            "buffers": self._buffers,
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
            backlog=_ACCEPTED_AT_ONCE,
        )
        super().__init__(config)
        self.listening = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers; the process handles signals itself."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen and set `listening`."""
        for sock in sockets or []:
            self._buffers.limit_accepted(sock)
        await super().startup(sockets)
        for sock in sockets or []:
            sock.listen(BACKLOG)
        self.listening.set()

    def header_bytes(self) -> int:
        """Return the number of bytes received of headers and requests that are not parsed."""
        return sum(conn.header_bytes for conn in self.connections())

    def connections(self) -> list[LimitedProtocol]:
        """Return the open connections."""
        connections = self.server_state.connections
        return [conn for conn in connections if isinstance(conn, LimitedProtocol)]

    def open_connections(self) -> int:
        """Return the number of connections."""
        return len(self.server_state.connections)

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
