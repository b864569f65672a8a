"""A backend server with minimal processing cost, for `bench_overhead`.

It streams chunks at a constant pace. Each chunk contains the time at which it was written, from
which the client computes the latency. All other paths are answered at once.
"""

from __future__ import annotations

import time
from typing import Final

import anyio
import click
import orjson

from turmericweir_standins.asgi import (
    ClientDisconnectedError,
    Receive,
    Request,
    Scope,
    Send,
    request_of,
    send_json,
    send_start,
)
from turmericweir_standins.bench_server import serve

MODEL: Final = "bench"
SLOTS: Final = 1024
_CHUNK_FORMAT: Final = (
    b'data: {"id":"%s","object":"chat.completion.chunk","model":"bench",'
    b'"choices":[{"index":0,"delta":{"content":"at=%.6f "},"finish_reason":%s}]}\n\n'
)
_DONE: Final = b"data: [DONE]\n\n"
_SMALL_BODY: Final = b'{"size":8,"left":12}'


class BenchBackend:
    """A backend server that is both an engine and a plain service."""

    _name: str
    # Number of the last load report.
    _seq: int

    def __init__(self, name: str) -> None:
        self._name = name
        self._seq = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        request = request_of(scope, receive)
        try:
            if request.path == "/v1/load":
                await send_json(send, 200, self._load_report())
            elif request.path == "/v1/chat/completions":
                await self._stream(request, send)
            elif request.path == "/v1/cancel":
                await send_json(send, 200, {"cancelled": False, "tokens": 0})
            else:
                await request.body()
                headers = (("content-length", str(len(_SMALL_BODY))), *_id_headers(request))
                await send_start(send, 200, "application/json", headers)
                await send({"type": "http.response.body", "body": _SMALL_BODY})
        except ClientDisconnectedError:
            return

    def _load_report(self) -> dict[str, object]:
        self._seq += 1
        return {
            "name": self._name,
            "incarnation": "1",
            "seq": self._seq,
            "running": 0,
            "waiting": 0,
            "slots": SLOTS,
            "limit": SLOTS,
            "kv_used": 0,
            "kv_total": 1_000_000,
            "step_ms": 6.0,
            "models": [MODEL],
            "role": "",
            "leaving": False,
            "fence": 0,
            "loading": [],
        }

    async def _stream(self, request: Request, send: Send) -> None:
        body = orjson.loads(await request.body())
        pace_s = body["bench_pace_ms"] / 1000
        count = body["max_tokens"]
        request_id = request.headers.get("x-request-id", "").encode("ascii")
        await send_start(send, 200, "text/event-stream", _id_headers(request))
        next_chunk_at = anyio.current_time()
        for number in range(count):
            next_chunk_at += pace_s
            await anyio.sleep_until(next_chunk_at)
            reason = b'"stop"' if number == count - 1 else b"null"
            chunk = _CHUNK_FORMAT % (request_id, time.monotonic(), reason)
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": _DONE})


def _id_headers(request: Request) -> tuple[tuple[str, str], ...]:
    names = ("x-request-id", "x-attempt-id")
    return tuple((name, request.headers[name]) for name in names if name in request.headers)


@click.command()
@click.option("--name", default="bench", show_default=True, help="Name in reports.")
@click.option("--address", default="127.0.0.1:0", show_default=True, help="ip:port to listen on.")
def main(name: str, address: str) -> None:
    """Run a minimal backend server for the measurement of overhead."""
    anyio.run(serve, BenchBackend(name), name, address)


if __name__ == "__main__":
    main()
