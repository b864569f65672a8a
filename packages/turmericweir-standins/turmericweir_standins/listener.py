"""Serve one ASGI app on one address, with the faults that only the socket's owner can make.

uvicorn answers requests and offers no way to drop a connection in the middle of an answer, or to
vanish for a while and come back on the same address. `Listener` adds both.
"""

from __future__ import annotations

import signal
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import anyio
import uvicorn

from turmericweir_standins.asgi import Receive, Scope, Send

# An idle connection is kept far longer than a router keeps one, so that it is never the stand-in
# that closes a connection just as a request goes out on it.
KEEP_ALIVE_S: Final = 600
BACKLOG: Final = 1024

App = Callable[[Scope, Receive, Send], Awaitable[None]]


class _Server(uvicorn.Server):
    """A uvicorn server that tells when it listens and leaves signals to `Listener`."""

    # Called once the socket listens.
    on_started: Callable[[], None]

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to listen, then tell so."""
        await super().startup(sockets)
        self.on_started()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the process's signal handlers as they are."""
        yield

    def close_connection(self, client: tuple[str, int]) -> None:
        """Close the client's connection once what is buffered was sent."""
        for connection in self._connections():
            if connection.client == client:
                connection.transport.close()

    def abort_connections(self) -> None:
        """Close all connections without sending what is buffered."""
        for connection in self._connections():
            connection.transport.abort()

    def stop_now(self) -> None:
        """Refuse new connections from this moment on and end without waiting for answers."""
        for server in self.servers:
            server.close()
        self.force_exit = True
        self.should_exit = True

    # Any: uvicorn's protocol classes share these attributes but no public type.
    def _connections(self) -> list[Any]:
        return list(self.server_state.connections)


class Listener:
    """Listen on an address until SIGTERM; print the READY line once it is open."""

    # What the READY line calls this process.
    name: str
    host: str
    # The port in use; when 0 was asked for, the one that the system chose.
    port: int
    # How long the listener stays away after `vanish`; None while it is not about to.
    _down_s: float | None
    _server: _Server | None
    _stopping: bool
    _announced: bool

    def __init__(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.name = name
        self.host = host
        self.port = int(port)
        self._down_s = None
        self._server = None
        self._stopping = False
        self._announced = False

    async def run(self, app: App) -> None:
        """Serve the app until SIGTERM or SIGINT."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_on_signal)
            while not self._stopping:
                await self._serve_once(app)
            tasks.cancel_scope.cancel()

    def drop(self, client: tuple[str, int] | None) -> None:
        """Close the connection of this client in the middle of whatever it carries."""
        if self._server is not None and client is not None:
            self._server.close_connection(client)

    def vanish(self, down_s: float) -> None:
        """Close every connection, refuse new ones for this time, then listen again."""
        if self._server is not None:
            self._down_s = down_s
            self._server.stop_now()
            self._server.abort_connections()

    def stop(self) -> None:
        """Stop for good."""
        self._stopping = True
        if self._server is not None:
            self._server.stop_now()

    async def _serve_once(self, app: App) -> None:
        sock = self._bind()
        config = uvicorn.Config(
            app,
            http="httptools",
            ws="none",
            lifespan="off",
            log_level="warning",
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=BACKLOG,
        )
        self._server = _Server(config)
        self._server.on_started = self._announce
        await self._server.serve(sockets=[sock])
        sock.close()
        self._server = None
        if self._down_s is not None and not self._stopping:
            await anyio.sleep(self._down_s)
        self._down_s = None

    def _bind(self) -> socket.socket:
        # asyncio sets TCP_NODELAY only where the protocol is named. Without it an answer whose head
        # and body are written apart waits some 40 ms for the other end's delayed acknowledgement.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        # Without it a restart on the same address fails while old connections are in TIME_WAIT.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, self.port))
        self.port = sock.getsockname()[1]
        return sock

    def _announce(self) -> None:
        # A starter reads the line once; a return after `vanish` is no new start.
        if not self._announced:
            self._announced = True
            print(f"READY {self.name} {self.host}:{self.port}", flush=True)

    async def _stop_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.stop()
