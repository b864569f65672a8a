"""Requests on the operators' port: arguments, bodies of limited size, and answers.

Errors are sent as problem details, as for callers: a status, a title and a sentence that states
what was wrong and what was expected.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs

import anyio
import orjson

from turmericweir.process import logs
from turmericweir.process.errors import describe_error

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

BODY_MAX_BYTES: Final = 1_048_576
BODY_TIMEOUT_S: Final = 10.0
_JSON: Final = b"application/json"
_PROBLEM: Final = b"application/problem+json"


class ProblemError(Exception):
    """A request is refused with a problem answer."""

    def __init__(
        self, status: HTTPStatus, detail: str, extra: Mapping[str, object] | None = None
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        # Additional fields of the answer, for programs.
        self.extra = extra or {}


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A request whose headers have been received."""

    method: str
    # Decoded, without the query.
    path: str
    query: dict[str, list[str]]
    headers: dict[bytes, bytes]
    receive: ASGIReceiveCallable
    send: ASGISendCallable

    def argument(self, name: str, default: str = "") -> str:
        """Return the last query argument with a name."""
        return self.query.get(name, [default])[-1]

    def number(self, name: str, default: float, maximum: float) -> float:
        """Return a query argument as a number from 0 to `maximum`."""
        text = self.argument(name)
        try:
            value = float(text) if text else default
        except ValueError:
            value = -1.0
        if not 0 <= value <= maximum:
            detail = f"{name}: expected a number from 0 to {maximum:g}"
            raise ProblemError(HTTPStatus.BAD_REQUEST, detail)
        return value

    # Any: the caller validates it.
    async def json(self) -> Any:
        """Return the body, decoded from JSON; None if it is empty."""
        try:
            with anyio.fail_after(BODY_TIMEOUT_S):
                body = await self._read_bytes()
        except TimeoutError:
            detail = "the body did not arrive in time"
            raise ProblemError(HTTPStatus.REQUEST_TIMEOUT, detail) from None
        try:
            return orjson.loads(body) if body else None
        except ValueError as exc:
            detail = f"the body: expected JSON; {exc}"
            raise ProblemError(HTTPStatus.BAD_REQUEST, detail) from None

    async def _read_bytes(self) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await self.receive()
            if message["type"] != "http.request":
                raise ProblemError(HTTPStatus.BAD_REQUEST, "the connection was closed")
            chunks.append(message["body"])
            size += len(message["body"])
            if size > BODY_MAX_BYTES:
                detail = f"the body: expected at most {BODY_MAX_BYTES} bytes"
                raise ProblemError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
            if not message["more_body"]:
                return b"".join(chunks)

    async def answer(self, status: HTTPStatus, value: object) -> None:
        """Send a JSON answer."""
        await self._send(status, _JSON, value)

    async def answer_problem(self, error: ProblemError) -> None:
        """Send a problem as the answer."""
        status = error.status
        value = {
            "title": status.phrase,
            "status": status.value,
            "detail": error.detail,
            **error.extra,
        }
        await self._send(status, _PROBLEM, value)

    async def _send(self, status: HTTPStatus, content_type: bytes, value: object) -> None:
        body = orjson.dumps(value)
        headers = [(b"content-type", content_type), (b"content-length", b"%d" % len(body))]
        if status == HTTPStatus.UNAUTHORIZED:
            headers.append((b"www-authenticate", b"Bearer"))
        await self.send({"type": "http.response.start", "status": status.value, "headers": headers})
        await self.send({"type": "http.response.body", "body": body, "more_body": False})


def operator_request(
    scope: HTTPScope, receive: ASGIReceiveCallable, send: ASGISendCallable
) -> OperatorRequest:
    """Build an OperatorRequest from an ASGI request."""
    return OperatorRequest(
        method=scope["method"],
        path=scope["path"],
        query=parse_qs(scope["query_string"].decode("latin-1"), keep_blank_values=True),
        headers=dict(scope["headers"]),
        receive=receive,
        send=send,
    )


async def serve_operator(
    scope: Scope,
    receive: ASGIReceiveCallable,
    send: ASGISendCallable,
    handler: Callable[[OperatorRequest], Awaitable[None]],
) -> None:
    """Run the handler of one request; send a problem if it raises an error."""
    assert scope["type"] == "http"
    request = operator_request(scope, receive, send)
    try:
        await handler(request)
    except ProblemError as exc:
        await request.answer_problem(exc)
    except Exception as exc:
        logs.write_fault("answer operator", request.path, exc)
        problem = ProblemError(HTTPStatus.INTERNAL_SERVER_ERROR, describe_error(exc))
        await request.answer_problem(problem)
