"""The bare pass-through to which the daemon's overhead is compared.

It is a router without decisions on the same libraries as the daemon: an ASGI app on uvicorn with a
pool of idle httpcore connections for each server. Completions go to the engines in turn and are
forwarded chunk by chunk; all other paths go to the plain service.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import Final

import anyio
import click
import httpcore

from turmericweir_standins.asgi import (
    ClientDisconnectedError,
    Receive,
    Request,
    Scope,
    Send,
    request_of,
)
from turmericweir_standins.bench_server import serve

IDLE_MAX: Final = 64
_COMPLETIONS: Final = "/v1/chat/completions"
_FORWARDED_HEADERS: Final = frozenset({b"content-type", b"content-length"})


class PassThrough:
    """Forward requests to fixed servers."""

    # Addresses of the engines, in turn.
    _engines: itertools.cycle[str]
    # Address of the plain service.
    _service: str
    # Idle connections by address, the newest last.
    _idle: defaultdict[str, list[httpcore.AsyncHTTPConnection]]

    def __init__(self, engines: tuple[str, ...], service: str) -> None:
        self._engines = itertools.cycle(engines)
        self._service = service
        self._idle = defaultdict(list)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward one request."""
        request = request_of(scope, receive)
        try:
            body = await request.body()
        except ClientDisconnectedError:
            return
        address = next(self._engines) if request.path == _COMPLETIONS else self._service
        conn = self._acquire(address)
        try:
            await _exchange(conn, _request(address, request, body), send)
        finally:
            await self._release(address, conn)

    def _acquire(self, address: str) -> httpcore.AsyncHTTPConnection:
        idle = self._idle[address]
        while idle:
            conn = idle.pop()
            if not conn.has_expired():
                return conn
        host, _, port = address.rpartition(":")
        return httpcore.AsyncHTTPConnection(httpcore.Origin(b"http", host.encode(), int(port)))

    async def _release(self, address: str, conn: httpcore.AsyncHTTPConnection) -> None:
        idle = self._idle[address]
        if conn.is_idle() and len(idle) < IDLE_MAX:
            idle.append(conn)
        else:
            with anyio.CancelScope(shield=True):
                await conn.aclose()


def _request(address: str, request: Request, body: bytes) -> httpcore.Request:
    host, _, port = address.rpartition(":")
    headers = [
        (b"host", address.encode()),
        (b"content-type", request.headers.get("content-type", "text/plain").encode()),
        (b"content-length", b"%d" % len(body)),
    ]
    url = httpcore.URL(
        scheme=b"http", host=host.encode(), port=int(port), target=request.path.encode()
    )
    return httpcore.Request(request.method, url, headers=headers, content=body)


async def _exchange(
    conn: httpcore.AsyncHTTPConnection, request: httpcore.Request, send: Send
) -> None:
    response = await conn.handle_async_request(request)
    try:
        headers = [(name.lower(), value) for name, value in response.headers]
        forwarded_headers = [each for each in headers if each[0] in _FORWARDED_HEADERS]
        await send(
            {"type": "http.response.start", "status": response.status, "headers": forwarded_headers}
        )
        async for chunk in response.aiter_stream():
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


@click.command()
@click.option("--address", default="127.0.0.1:0", show_default=True, help="ip:port to listen on.")
@click.option("--engine", "engines", multiple=True, required=True, help="ip:port of an engine.")
@click.option("--service", required=True, help="ip:port of the plain service.")
def main(address: str, engines: tuple[str, ...], service: str) -> None:
    """Forward requests without any decision."""
    anyio.run(serve, PassThrough(engines, service), "passthrough", address)


if __name__ == "__main__":
    main()
