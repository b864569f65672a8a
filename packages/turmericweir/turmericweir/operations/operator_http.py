"""One request on the operators' port: its parts, its body within limits, its answer.

Errors are problem details, as callers get them: a status, a title, and a sentence that says what
was wrong and what was expected.
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
from turmericweir.process.errors import describe

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

BODY_MAX: Final = 1_048_576
BODY_TIMEOUT_S: Final = 10.0
_JSON: Final = b"application/json"
_PROBLEM: Final = b"application/problem+json"


class ProblemError(Exception):
    """The request is refused."""

    def __init__(
        self, status: HTTPStatus, detail: str, extra: Mapping[str, object] | None = None
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        # Further members of the answer, for programs.
        self.extra = extra or {}


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A request whose headers are read."""

    method: str
    # Decoded, without the query.
    path: str
    query: dict[str, list[str]]
    headers: dict[bytes, bytes]
    receive: ASGIReceiveCallable
    send: ASGISendCallable

    def argument(self, name: str, default: str = "") -> str:
        """Give the last query argument of a name."""
        return self.query.get(name, [default])[-1]

    def number(self, name: str, default: float, most: float) -> float:
        """Give a query argument as a number from 0 to `most`."""
        text = self.argument(name)
        try:
            value = float(text) if text else default
        except ValueError:
            value = -1.0
        if not 0 <= value <= most:
            detail = f"{name}: expected a number from 0 to {most:g}"
            raise ProblemError(HTTPStatus.BAD_REQUEST, detail)
        return value

    # Any: validated by who asked for it.
    async def json(self) -> Any:
        """Read the body as JSON; None where there is none."""
        try:
            with anyio.fail_after(BODY_TIMEOUT_S):
                body = await self._body()
        except TimeoutError:
            detail = "the body did not arrive in time"
            raise ProblemError(HTTPStatus.REQUEST_TIMEOUT, detail) from None
        try:
            return orjson.loads(body) if body else None
        except ValueError as exc:
            detail = f"the body: expected JSON; {exc}"
            raise ProblemError(HTTPStatus.BAD_REQUEST, detail) from None

    async def _body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self.receive()
            if message["type"] != "http.request":
                raise ProblemError(HTTPStatus.BAD_REQUEST, "the connection was closed")
            parts.append(message["body"])
            size += len(message["body"])
            if size > BODY_MAX:
                detail = f"the body: expected at most {BODY_MAX} bytes"
                raise ProblemError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
            if not message["more_body"]:
                return b"".join(parts)

    async def answer(self, status: HTTPStatus, value: object) -> None:
        """Answer with JSON."""
        await self._send(status, _JSON, value)

    async def problem(self, error: ProblemError) -> None:
        """Answer with a problem."""
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
    """Take what is needed of an ASGI request."""
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
    answer: Callable[[OperatorRequest], Awaitable[None]],
) -> None:
    """Have one request answered, and answer it with a problem where that was refused or failed."""
    assert scope["type"] == "http"
    request = operator_request(scope, receive, send)
    try:
        await answer(request)
    except ProblemError as exc:
        await request.problem(exc)
    except Exception as exc:
        logs.write_fault("answer operator", request.path, exc)
        fault = ProblemError(HTTPStatus.INTERNAL_SERVER_ERROR, describe(exc))
        await request.problem(fault)
