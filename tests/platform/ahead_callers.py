"""Callers that send requests ahead on one connection, without waiting for answers."""

from __future__ import annotations

import http.client
import io
import socket
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Final, Self, cast

from tests.platform.platform_world import Answer, PlatformWorld

_TIMEOUT_S: Final = 20.0


class _OpenReader(io.BufferedReader):
    """A reader that stays open after an answer, as bytes of the next one may be buffered."""

    def close(self) -> None:
        """Stay open."""


@dataclass(slots=True)
class AheadCaller:
    """One connection to an instance."""

    world: PlatformWorld
    instance: str
    # The methods of the requests whose answers were not read.
    _methods: list[str] = field(default_factory=list)
    _sock: socket.socket = field(init=False)
    _reader: _OpenReader = field(init=False)

    def __enter__(self) -> Self:
        host, _, port = self.world.running[self.instance].caller_address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), _TIMEOUT_S)
        self._reader = _OpenReader(socket.SocketIO(self._sock, "r"))
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._sock.close()

    def send(self, *requests: bytes) -> None:
        """Send requests at once."""
        self._sock.sendall(b"".join(requests))
        self._methods += [each.partition(b" ")[0].decode() for each in requests]

    def send_part(self, data: bytes) -> None:
        """Send bytes that are no whole request."""
        self._sock.sendall(data)

    def end_sending(self) -> None:
        """Close this end, and leave the other open."""
        self._sock.shutdown(socket.SHUT_WR)

    def makefile(self, _mode: str) -> _OpenReader:
        """Return the reader of the connection, as `http.client` asks for it."""
        return self._reader

    def read_answer(self) -> Answer | None:
        """Return the next answer; None if the connection has ended before it."""
        method = self._methods.pop(0) if self._methods else "POST"
        # http.client asks only for the file.
        response = http.client.HTTPResponse(cast(Any, self), method=method)
        try:
            response.begin()
        except (OSError, http.client.HTTPException):
            return None
        headers = {name.lower(): value for name, value in response.getheaders()}
        try:
            return Answer(response.status, headers, response.read())
        except (OSError, http.client.HTTPException):
            return Answer(response.status, headers, b"", is_cut=True)


def request_bytes(
    world: PlatformWorld,
    path: str,
    request_id: str,
    *,
    method: str = "POST",
    body: bytes = b"body",
    chunked: bool = False,
    **headers: str,
) -> bytes:
    """Return a request as it is sent."""
    all_headers = world.request_headers(path, request_id, **headers)
    if chunked:
        all_headers["Transfer-Encoding"] = "chunked"
        body = b"%x\r\n%s\r\n0\r\n" % (len(body), body)
    else:
        all_headers["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body
