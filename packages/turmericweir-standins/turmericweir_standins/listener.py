"""Serve one ASGI app on one address, with faults at the level of the socket.

`Listener` adds to uvicorn two faults: dropping a connection in the middle of an answer, and closing
the address for some time before it listens again.
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

# Longer than a router keeps an idle connection. Prevents a stand-in from closing a connection while
# a request is being sent on it.
KEEP_ALIVE_S: Final = 600
BACKLOG: Final = 1024

App = Callable[[Scope, Receive, Send], Awaitable[None]]


class _Server(uvicorn.Server):
    """A uvicorn server that reports when it listens and leaves signals to `Listener`."""

    # Called when the socket listens.
    on_started: Callable[[], None]

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to listen, then call `on_started`."""
        await super().startup(sockets)
        self.on_started()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers of the process unchanged."""
        yield

    def close_connection(self, client: tuple[str, int]) -> None:
        """Close the client's connection after its buffered data was sent."""
        for connection in self._connections():
            if connection.client == client:
                connection.transport.close()

    def abort_connections(self) -> None:
        """Close all connections without sending their buffered data."""
        for connection in self._connections():
            connection.transport.abort()

    def stop_now(self) -> None:
        """Refuse new connections at once and stop without waiting for answers."""
        for server in self.servers:
            server.close()
        self.force_exit = True
        self.should_exit = True

    # Any: uvicorn's protocol classes share these attributes but no public type.
    def _connections(self) -> list[Any]:
        return list(self.server_state.connections)


class Listener:
    """Listen on an address until SIGTERM; print the READY line when the socket listens."""

    # The name in the READY line.
    name: str
    host: str
    # The port in use; for port 0, the one that the system chose.
    port: int
    # How long the address stays closed after `vanish`; None if it was not called.
    _down_s: float | None
    _server: _Server | None
    _is_stopping: bool
    _is_announced: bool

    def __init__(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.name = name
        self.host = host
        self.port = int(port)
        self._down_s = None
        self._server = None
        self._is_stopping = False
        self._is_announced = False

    async def run(self, app: App) -> None:
        """Serve the app until SIGTERM or SIGINT."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_on_signal)
            while not self._is_stopping:
                await self._serve_once(app)
            tasks.cancel_scope.cancel()

    def drop(self, client: tuple[str, int] | None) -> None:
        """Close the connection of this client, also in the middle of an answer."""
        if self._server is not None and client is not None:
            self._server.close_connection(client)

    def vanish(self, down_s: float) -> None:
        """Close all connections, refuse new ones for some time, then listen again."""
        if self._server is not None:
            self._down_s = down_s
            self._server.stop_now()
            self._server.abort_connections()

    def stop(self) -> None:
        """Stop listening and end `run`."""
        self._is_stopping = True
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
        self._server.on_started = self._print_ready_line
        await self._server.serve(sockets=[sock])
        sock.close()
        self._server = None
        if self._down_s is not None and not self._is_stopping:
            await anyio.sleep(self._down_s)
        self._down_s = None

    def _bind(self) -> socket.socket:
        # asyncio sets TCP_NODELAY only if the protocol is given. Prevents a delay of answers whose
        # head and body are written separately, until the peer's delayed acknowledgement.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        # Allows a restart on the same address while old connections are in TIME_WAIT.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, self.port))
        self.port = sock.getsockname()[1]
        return sock

    def _print_ready_line(self) -> None:
        # Only the first start is announced, not the return after `vanish`.
        if not self._is_announced:
            self._is_announced = True
            print(f"READY {self.name} {self.host}:{self.port}", flush=True)

    async def _stop_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.stop()
