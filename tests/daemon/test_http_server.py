"""The closing of the callers' port."""

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
SOCKET_TIMEOUT_S = 10.0


async def answer(scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
    """Answer each request as a stopping instance does."""
    await send({"type": "http.response.start", "status": 503, "headers": [], "trailers": False})
    await send({"type": "http.response.body", "body": b"stopping", "more_body": False})


class StopsDuringRequests(HttpServer):
    """A server that stops while two callers send their requests."""

    address: tuple[str, int]
    # Connected before the stop begins, and connected while it begins.
    connected_before_stop: socket.socket
    connected_during_stop: socket.socket

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(answer, Limits())
        self.address = address

    async def on_tick(self, counter: int) -> bool:
        """Send both requests without yielding to the event loop before the stop."""
        if counter == 0:
            self.connected_before_stop = socket.create_connection(self.address, SOCKET_TIMEOUT_S)
            return False
        self.connected_before_stop.sendall(REQUEST)
        self.connected_during_stop = socket.create_connection(self.address, SOCKET_TIMEOUT_S)
        self.connected_during_stop.sendall(REQUEST)
        return True


async def test_requests_that_arrive_while_the_port_closes_are_answered() -> None:
    # Requests that the kernel has received but the process has not read must be answered. Closing
    # the sockets would reset both connections, and the outcome would be unknown to the callers.
    sock = bind(f"{LOOPBACK}:0", "listen")
    server = StopsDuringRequests(sock.getsockname())

    await server.serve([sock])

    for conn in (server.connected_before_stop, server.connected_during_stop):
        with conn:
            assert conn.recv(100).startswith(b"HTTP/1.1 503 ")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(server.address, SOCKET_TIMEOUT_S)
