"""Callers that send and read slowly, or in parts."""

from __future__ import annotations

import http.client
import socket

from tests.platform.platform_world import PlatformWorld

RECEIVE_BUFFER_BYTES = 4_096


class SlowCaller:
    """A caller that sends a request and reads nothing unless it is told to."""

    def __init__(
        self, world: PlatformWorld, path: str, body: bytes = b"prompt", instance: str = "entry-1"
    ) -> None:
        self.request_id = world.new_id()
        host, _, port = world.running[instance].caller_address.rpartition(":")
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.settimeout(20)
        self._sock.connect((host, int(port)))
        length = str(len(body))
        headers = world.request_headers(
            path, self.request_id, Content_Length=length, X_Deadline_Ms="60000"
        )
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self._sock.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    def __enter__(self) -> SlowCaller:
        return self

    def __exit__(self, *_: object) -> None:
        self._sock.close()

    def read_all(self) -> tuple[bytes, bool]:
        """Read until the end; return the bytes, and whether the connection was reset."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_000_000)
        parts: list[bytes] = []
        try:
            while part := self._sock.recv(65_536):
                parts.append(part)
                if part.endswith((b"0\r\n\r\n", b"}")):
                    break
        except ConnectionResetError:
            return b"".join(parts), True
        return b"".join(parts), False

    def read_body(self) -> bytes:
        """Read a whole answer and return its body; raise an error if the answer is cut."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_000_000)
        answer = http.client.HTTPResponse(self._sock)
        answer.begin()
        return answer.read()


class HeadCaller:
    """A caller that sends heads and bodies by themselves, on one connection."""

    def __init__(self, world: PlatformWorld) -> None:
        self._world = world
        host, _, port = world.running["entry-1"].caller_address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), timeout=20)

    def __enter__(self) -> HeadCaller:
        return self

    def __exit__(self, *_: object) -> None:
        self._sock.close()

    def begin(self, path: str, length: int, **more_headers: str) -> None:
        """Send the head of a request."""
        headers = self._world.request_headers(
            path,
            self._world.new_id(),
            Content_Length=str(length),
            X_Deadline_Ms="60000",
            **more_headers,
        )
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self._sock.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode())

    def send(self, body: bytes) -> None:
        """Send bytes of a body."""
        self._sock.sendall(body)

    def read_status(self) -> int:
        """Read one answer; return its status."""
        answer = http.client.HTTPResponse(self._sock)
        answer.begin()
        answer.read()
        return answer.status
