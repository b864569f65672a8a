"""Tests of requests that a server receives only in part."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Self

import pytest

from tests.platform.platform_world import Answer, PlatformWorld, document, until

_BODY = b"x" * 3_000_000
_PART_BYTES = 100_000
_RECEIVE_BUFFER_BYTES = 4_096
_PAUSE_S = 1.0
# The SO_LINGER option with which closing a socket resets its connection.
_LINGER_ZERO = struct.pack("ii", 1, 0)


class PartialReader:
    """A server that reads the head of a request and a part of its body, and ends the connection."""

    def __init__(self, *, is_reset: bool) -> None:
        self.heads: list[bytes] = []
        # Runs when the part was read, before the connection ends.
        self.before_end: Callable[[], None] = lambda: None
        self._is_reset = is_reset
        self._sock = socket.create_server(("127.0.0.1", 0))
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        # Closing alone does not wake the thread from `accept`.
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _serve(self) -> None:
        with suppress(OSError):
            while True:
                conn, _ = self._sock.accept()
                self._read_part(conn)

    def _read_part(self, conn: socket.socket) -> None:
        received = b""
        with conn, suppress(OSError):
            while len(received) < _PART_BYTES and (part := conn.recv(65_536)):
                received += part
            if b"x-attempt-id" in received.lower():
                self.heads.append(received)
            self.before_end()
            if self._is_reset:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            else:
                conn.shutdown(socket.SHUT_WR)
                while conn.recv(65_536):
                    pass


@pytest.fixture(params=[False, True], ids=["closed", "reset"])
def readers(request: pytest.FixtureRequest) -> Iterator[list[PartialReader]]:
    """Yield two servers that end connections within a request."""
    one, other = (PartialReader(is_reset=request.param) for _ in range(2))
    with one, other:
        yield [one, other]


@pytest.mark.parametrize(
    ("path", "names"), [("/lm/doc/", ("lm-1", "lm-2")), ("/shop/buy/", ("shop-1", "shop-2"))]
)
def test_request_that_was_written_in_part_is_not_sent_again(
    tmp_path: Path, readers: list[PartialReader], path: str, names: tuple[str, str]
) -> None:
    # Guards against taking a write that failed half way for a request that was not sent.
    answer = _send_large(tmp_path, readers, path, names)
    assert (answer.status, sum(len(reader.heads) for reader in readers)) == (502, 1)


@pytest.mark.parametrize(
    ("path", "names"), [("/lm/doc/", ("lm-1", "lm-2")), ("/shop/buy/", ("shop-1", "shop-2"))]
)
def test_request_that_was_written_in_part_before_a_pause_is_not_sent_again(
    tmp_path: Path, readers: list[PartialReader], path: str, names: tuple[str, str]
) -> None:
    # Guards against a loss that this end learns of long after it, for example when it wakes.
    answer = _send_large(tmp_path, readers, path, names, is_paused=True)
    assert (answer.status, sum(len(reader.heads) for reader in readers)) == (502, 1)


def _send_large(
    tmp_path: Path,
    readers: list[PartialReader],
    path: str,
    names: tuple[str, str],
    *,
    is_paused: bool = False,
) -> Answer:
    with PlatformWorld(tmp_path) as world:
        world.publish(limits={**document(1)["limits"], "max-body-bytes": 8_000_000})
        for name, reader in zip(names, readers, strict=True):
            world.register(name, address=reader.address, born=2)
        until(
            lambda: world.reported_state("entry-1")["settings_version"] == world.version,
            "large bodies are allowed",
        )
        listed = world.running["entry-1"].logged
        until(
            lambda: {each.address for each in readers}
            <= {line["address"] for line in listed("server_listed")},
            "the servers are listed at their new addresses",
        )
        process = world.running["entry-1"].process

        def pause() -> None:
            process.pause()
            threading.Timer(_PAUSE_S, process.resume).start()

        for reader in readers if is_paused else []:
            reader.before_end = pause
        return world.send(path, body=_BODY)
