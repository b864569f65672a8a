"""Small ASGI helpers that the stand-ins share: a request, its body, and JSON answers.

The stand-ins are plain ASGI callables, since a framework would cost more processor time per token
than the engine model itself.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

import orjson

# Any: ASGI defines its scope and messages as open mappings.
Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Headers = Iterable[tuple[str, str]]


class ClientDisconnectedError(Exception):
    """Signal that the client disconnected before its whole request was read."""


@dataclass(slots=True)
class Request:
    """One HTTP request; its headers were read."""

    method: str
    path: str
    # Query parameters; of repeated names the last one counts.
    query: dict[str, str]
    # Header values by lower-case name.
    headers: dict[str, str]
    # Address of the client, which identifies its connection.
    client: tuple[str, int] | None
    receive: Receive

    async def body(self) -> bytes:
        """Read the whole body."""
        parts: list[bytes] = []
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnectedError
            parts.append(message.get("body", b""))
            if not message.get("more_body", False):
                return b"".join(parts)

    async def disconnected(self) -> None:
        """Wait until the client has disconnected; to be called only after the body was read."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


def request_of(scope: Scope, receive: Receive) -> Request:
    """Return the request of an ASGI scope."""
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    query = dict(parse_qsl(scope["query_string"].decode("latin-1"), keep_blank_values=True))
    client = scope.get("client")
    return Request(
        method=scope["method"],
        path=scope["path"],
        query=query,
        headers=headers,
        client=None if client is None else (client[0], client[1]),
        receive=receive,
    )


async def send_json(send: Send, status: int, body: object, headers: Headers = ()) -> None:
    """Answer with one JSON document."""
    data = orjson.dumps(body)
    await send_start(
        send, status, "application/json", (("content-length", str(len(data))), *headers)
    )
    await send({"type": "http.response.body", "body": data})


async def send_start(send: Send, status: int, content_type: str, headers: Headers = ()) -> None:
    """Send the status line and the headers."""
    all_headers = (("content-type", content_type), *headers)
    raw = [(name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in all_headers]
    await send({"type": "http.response.start", "status": status, "headers": raw})
