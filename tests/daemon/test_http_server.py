"""The end of the port on which callers are served."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

from turmericweir.callers.http_server import HttpServer
from turmericweir.process.listening_socket import bind
from turmericweir.process.process_settings import Limits
from turmericweir_standins.procs import LOOPBACK

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, Scope

pytestmark = pytest.mark.anyio

REQUEST = b"POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 0\r\n\r\n"
SAFETY_S = 10.0


async def answer(scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
    """Answer each request, as a stopping instance does."""
    await send({"type": "http.response.start", "status": 503, "headers": [], "trailers": False})
    await send({"type": "http.response.body", "body": b"stopping", "more_body": False})


class StopsAsCallersCome(HttpServer):
    """Stops in the moment in which two callers send their requests."""

    address: tuple[str, int]
    # Connected since before, and connected in that moment.
    early: socket.socket
    late: socket.socket

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(answer, Limits())
        self.address = address

    async def on_tick(self, counter: int) -> bool:
        """Let the callers act; no step waits, so the event loop sees nothing before the stop."""
        if counter == 0:
            self.early = socket.create_connection(self.address, SAFETY_S)
            return False
        self.early.sendall(REQUEST)
        self.late = socket.create_connection(self.address, SAFETY_S)
        self.late.sendall(REQUEST)
        return True


async def test_requests_that_come_as_the_port_closes_are_answered() -> None:
    # An instance that stops has answered all that it had taken, and closes its port. One caller has
    # just sent a request on a connection that it had, another has just connected: the system has
    # taken both, the process has read neither. Were the sockets closed now, both would be reset,
    # and nobody could tell these callers that nothing was run.
    sock = bind(f"{LOOPBACK}:0", "listen")
    server = StopsAsCallersCome(sock.getsockname())

    await server.serve([sock])

    for conn in (server.early, server.late):
        with conn:
            assert conn.recv(100).startswith(b"HTTP/1.1 503 ")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(server.address, SAFETY_S)
