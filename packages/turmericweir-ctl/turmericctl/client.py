"""Talk to the operators' port of one instance."""

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
_CODES: Final[dict[int, ExitCode]] = {
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
    """What the instance answered."""

    status: int
    # Any: decoded JSON; each command knows the form of its own.
    body: Any

    @property
    def code(self) -> ExitCode:
        """Give the exit code that the status stands for."""
        return ExitCode.OK if self.status < 300 else _CODES.get(self.status, ExitCode.REFUSED)


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
        """Send one request; `extra_s` is what the instance may take on top of the timeout."""
        target = quote(path) + (f"?{urlencode(query)}" if query else "")
        timeout_s = self._timeout_s + extra_s
        try:
            response = self._pool.request(
                method,
                f"http://{self._address}{target}",
                headers=self._headers(),
                content=json.dumps(body).encode() if body is not None else None,
                extensions={"timeout": dict.fromkeys(_TIMEOUTS, timeout_s)},
            )
        except (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError) as exc:
            error = str(exc) or type(exc).__name__
            message = messages.UNREACHABLE.format(address=self._address, error=error)
            raise CommandError(ExitCode.UNREACHABLE, message) from exc
        return Answer(response.status, self._decode(response))

    def get(self, path: str, query: Mapping[str, object] | None = None) -> Any:
        """Get something that must be there."""
        answer = self.call("GET", path, query)
        if answer.code is not ExitCode.OK:
            raise self.refused(answer)
        return answer.body

    def refused(self, answer: Answer) -> CommandError:
        """Build the error of an answer that is no success."""
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
        except ValueError as exc:
            status = response.status
            message = messages.NOT_AN_ANSWER.format(address=self._address, status=status)
            raise CommandError(ExitCode.UNREACHABLE, message) from exc


_TIMEOUTS: Final = ("connect", "read", "write", "pool")
