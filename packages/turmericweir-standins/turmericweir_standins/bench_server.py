"""The uvicorn server of `bench_overhead`'s processes; it runs until SIGTERM.

uvicorn opens the socket, which sets TCP_NODELAY. Prevents a delay of answers whose head and body
are written separately, until the peer's delayed acknowledgement.
"""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import uvicorn

from turmericweir_standins.listener import App


class _Server(uvicorn.Server):
    """A uvicorn server that prints its READY line and leaves signals to `serve`."""

    _name: str

    def __init__(self, config: uvicorn.Config, name: str) -> None:
        super().__init__(config)
        self._name = name

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to listen, then print the READY line."""
        await super().startup(sockets)
        host, port = self.servers[0].sockets[0].getsockname()
        print(f"READY {self._name} {host}:{port}", flush=True)

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers of the process unchanged."""
        yield


async def serve(app: App, name: str, address: str) -> None:
    """Serve the app until SIGTERM."""
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        http="httptools",
        ws="none",
        lifespan="off",
        log_level="warning",
        access_log=False,
        timeout_keep_alive=600,
        backlog=1024,
    )
    server = _Server(config, name)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, server)
        await server.serve()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(server: uvicorn.Server) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            server.should_exit = True
            server.force_exit = True
