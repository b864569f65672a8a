"""HTTP client for the operators' port of one instance."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Self
from urllib.parse import quote, urlencode

import httpcore

from turmericctl import messages
from turmericctl.exit_codes import CommandError, ExitCode

_JSON: Final = b"application/json"
_EXIT_CODES: Final[dict[int, ExitCode]] = {
    400: ExitCode.INVALID,
    401: ExitCode.REFUSED,
    403: ExitCode.REFUSED,
    404: ExitCode.REFUSED,
    405: ExitCode.UNREACHABLE,
    408: ExitCode.UNREACHABLE,
    409: ExitCode.REFUSED,
    413: ExitCode.INVALID,
    422: ExitCode.INVALID,
    503: ExitCode.UNREACHABLE,
}


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of the instance."""

    status: int
    # Any: decoded JSON, whose structure depends on the command.
    body: Any

    @property
    def code(self) -> ExitCode:
        """Return the exit code for the HTTP status."""
        return ExitCode.OK if self.status < 300 else _EXIT_CODES.get(self.status, ExitCode.REFUSED)


class Client:
    """A connection to one instance."""

    _address: str
    _token: str
    _timeout_s: float
    _pool: httpcore.ConnectionPool

    def __init__(self, address: str, token: str, timeout_s: float) -> None:
        self._address = address
        self._token = token
        self._timeout_s = timeout_s
        self._pool = httpcore.ConnectionPool(max_connections=1)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._pool.close()

    def call(
        self,
        method: str,
        path: str,
        query: Mapping[str, object] | None = None,
        body: object = None,
        *,
        extra_s: float = 0.0,
    ) -> Answer:
        """Send one request; `extra_s` is added to the timeout."""
        target = quote(path) + (f"?{urlencode(query)}" if query else "")
        timeout_s = self._timeout_s + extra_s
        try:
            response = self._pool.request(
                method,
                f"http://{self._address}{target}",
                headers=self._headers(),
                content=json.dumps(body).encode() if body is not None else None,
                extensions={"timeout": dict.fromkeys(_TIMEOUT_KINDS, timeout_s)},
            )
        except (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError) as exc:
            error = str(exc) or type(exc).__name__
            message = messages.UNREACHABLE.format(address=self._address, error=error)
            raise CommandError(ExitCode.UNREACHABLE, message) from exc
        return Answer(response.status, self._decode(response))

    def get(self, path: str, query: Mapping[str, object] | None = None) -> Any:
        """Return the body of an answer; raise `CommandError` if the request fails."""
        answer = self.call("GET", path, query)
        if answer.code is not ExitCode.OK:
            raise self.error_of(answer)
        return answer.body

    def error_of(self, answer: Answer) -> CommandError:
        """Return the error for an unsuccessful answer."""
        body = answer.body
        detail = body.get("detail", body.get("error")) if isinstance(body, dict) else None
        return CommandError(answer.code, str(detail or body))

    def _headers(self) -> list[tuple[bytes, bytes]]:
        headers = [(b"host", self._address.encode()), (b"content-type", _JSON)]
        if self._token:
            headers.append((b"authorization", b"Bearer " + self._token.encode()))
        return headers

    def _decode(self, response: httpcore.Response) -> Any:
        try:
            return json.loads(response.content)
        except (ValueError, RecursionError) as exc:
            status = response.status
            message = messages.UNEXPECTED_ANSWER.format(address=self._address, status=status)
            raise CommandError(ExitCode.UNREACHABLE, message) from exc


_TIMEOUT_KINDS: Final = ("connect", "read", "write", "pool")
