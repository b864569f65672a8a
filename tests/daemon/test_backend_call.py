"""Tests of calls on kept connections that their other end closes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from turmericweir.process.errors import CallError
from turmericweir.servers.backend_call import Answer, call
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.large_call import read_large

pytestmark = pytest.mark.anyio

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
Send = Callable[[BackendPool, str], Awaitable[Answer]]


class ClosingServer:
    """Answers one request on each connection, and closes it when the next one arrives."""

    def __init__(self) -> None:
        # Requests in order, and whether each was answered.
        self.received: list[tuple[bytes, bool]] = []
        # What is sent of an answer to the request under which the connection is closed.
        self.start = b""
        self.answers_first = True

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            is_answered = self.answers_first
            while True:
                try:
                    data = await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                self.received.append((data.split(b" ", 1)[0], is_answered))
                await stream.send(ANSWER if is_answered else self.start)
                if not is_answered:
                    return
                is_answered = False


async def _read(pool: BackendPool, address: str) -> Answer:
    return await read_large(pool, address, "/x", stall_s=2.0, max_bytes=100)


async def _get(pool: BackendPool, address: str) -> Answer:
    return await call(pool, b"GET", address, "/x", timeout_s=2.0)


async def _post(pool: BackendPool, address: str) -> Answer:
    return await call(pool, b"POST", address, "/x", raw=b"once", timeout_s=2.0)


async def _run(server: ClosingServer, *sends: Send) -> list[str]:
    """Make calls in a row; return what became of each."""
    outcomes: list[str] = []
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    async with anyio.create_task_group() as group, BackendPool() as pool:
        group.start_soon(listener.serve, server.serve)
        for send in sends:
            try:
                outcomes.append(str((await send(pool, address)).status))
            except CallError:
                outcomes.append("failed")
        group.cancel_scope.cancel()
    return outcomes


@pytest.mark.parametrize("send", [_get, _read])
async def test_read_is_repeated_once_on_a_new_connection(send: Send) -> None:
    """Guards against taking the end of a kept connection for a fault of the other end."""
    server = ClosingServer()
    assert await _run(server, send, send) == ["200", "200"]
    assert server.received == [(b"GET", True), (b"GET", False), (b"GET", True)]


@pytest.mark.parametrize("send", [_get, _read])
async def test_read_is_not_repeated_after_the_start_of_an_answer(send: Send) -> None:
    server = ClosingServer()
    server.start = ANSWER[:12]
    assert await _run(server, send, send) == ["200", "failed"]
    assert server.received == [(b"GET", True), (b"GET", False)]


@pytest.mark.parametrize("send", [_get, _read])
async def test_read_is_not_repeated_if_a_new_connection_is_closed(send: Send) -> None:
    """Guards against calls without end to an end that is down."""
    server = ClosingServer()
    server.answers_first = False
    assert await _run(server, send) == ["failed"]
    assert server.received == [(b"GET", False)]


async def test_call_that_must_run_once_is_not_repeated() -> None:
    """Guards against appending or ordering twice."""
    server = ClosingServer()
    assert await _run(server, _get, _post) == ["200", "failed"]
    assert server.received == [(b"GET", True), (b"POST", False)]


async def test_call_that_must_run_once_uses_a_new_connection_if_kept_ones_are_closed() -> None:
    """Guards against losing an append at a server that closes connections under calls."""
    server = ClosingServer()
    assert await _run(server, _get, _get, _post) == ["200", "200", "200"]
    assert (b"POST", False) not in server.received


async def test_connection_found_closed_soon_after_a_call_shows_that_kept_ones_are_closed() -> None:
    connections = 0
    closed = anyio.Event()

    async def serve(stream: SocketStream) -> None:
        nonlocal connections
        connections += 1
        is_first = connections == 1
        async with stream:
            async for _ in stream:
                await stream.send(ANSWER)
                if is_first:
                    break
        closed.set()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    async with anyio.create_task_group() as group, BackendPool() as pool:
        group.start_soon(listener.serve, serve)
        await _get(pool, address)
        await closed.wait()
        await _get(pool, address)
        assert pool.closed_under_calls.count == 0
        await _get(pool, address)
        assert pool.opened_count == 2
        await _post(pool, address)
        assert pool.opened_count == 3
        group.cancel_scope.cancel()
