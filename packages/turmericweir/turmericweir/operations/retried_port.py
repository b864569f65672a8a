"""A port of operations, which serves as soon as its address is available.

Callers do not need it, so an address in use delays neither the start nor a stop. The log gets a
line at the first failure and at intervals, and one when the port is served after all.
"""

from __future__ import annotations

import socket
from typing import Final

import anyio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from turmericweir.callers.http_server import BACKLOG, HttpServer
from turmericweir.process import logs
from turmericweir.process.errors import ListenError
from turmericweir.process.listening_socket import bind, listen
from turmericweir.process.supervisor import Counter

_RETRY_INTERVAL_S: Final = 0.5
# The log has a line for the first of so many tries.
_TRIES_PER_LINE: Final = 60


async def serve_when_available(
    server: HttpServer, address: str, step: str, counter: Counter
) -> None:
    """Listen on an address, which is retried until it is available, and serve."""
    tries = 0
    while True:
        result = _try_listen(address, step)
        if is_successful(result):
            break
        error = result.failure()
        if tries % _TRIES_PER_LINE == 0:
            counter.count("port.unavailable")
            logs.write("port_unavailable", step=step, peer=address, error=error.detail, tries=tries)
        tries += 1
        await anyio.sleep(_RETRY_INTERVAL_S)
    with result.unwrap() as sock:
        if tries:
            logs.write("port_available", step=step, peer=address, tries=tries)
        await server.serve([sock])


def _try_listen(address: str, step: str) -> Result[socket.socket, ListenError]:
    try:
        sock = bind(address, step)
        try:
            listen(sock, BACKLOG, step)
        except ListenError:
            sock.close()
            raise
    except ListenError as exc:
        return Failure(exc)
    return Success(sock)
