"""Tests of the pool of server connections: which ones are reused."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

import anyio
import httpcore
import pytest
from anyio.abc import SocketAttribute, SocketStream

from turmericweir.process import logs
from turmericweir.servers.backend_pool import (
    VERIFIED_IDLE_MAX_S,
    BackendConnection,
    BackendPool,
    make_request,
)
from turmericweir.servers.closed_connections import REMEMBERED_S, ClosedUnderCalls
from turmericweir_standins.procs import free_address

ANSWER: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def _answer_all(stream: SocketStream) -> None:
    async with stream:
        async for _ in stream:
            await stream.send(ANSWER)


async def _use(pool: BackendPool, address: str) -> BackendConnection:
    conn = await pool.acquire(address)
    await _exchange(conn, address)
    return conn


async def _exchange(conn: BackendConnection, address: str) -> None:
    response = await conn.send(make_request(b"GET", address, b"/", [], b""), lambda: None)
    assert isinstance(response, httpcore.Response)
    await response.aread()
    await response.aclose()


def test_distrusted_connections_are_not_used_again() -> None:
    # Guards against requests on unresponsive connections. Distrust covers the idle connections and
    # those in use; connections that are opened later are reused.
    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        address = f"127.0.0.1:{port}"
        async with anyio.create_task_group() as group, BackendPool() as pool:
            group.start_soon(listener.serve, _answer_all)
            idle, in_use = await _use(pool, address), await _use(pool, address)
            await pool.release(address, idle)
            pool.retire_connections(address)
            await pool.release(address, in_use)
            fresh = await _use(pool, address)
            assert (pool.opened_count, pool.reused_count) == (3, 0)
            await pool.release(address, fresh)
            assert await _use(pool, address) is fresh
            assert fresh.is_reused
            group.cancel_scope.cancel()

    anyio.run(scenario)


def test_unrepeatable_calls_use_recently_used_or_new_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against losing an unrepeatable call on a dead connection: a connection that was idle
    # for too long by the loop's clock, which includes suspensions, is not reused for it.
    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        address = f"127.0.0.1:{port}"
        loop = asyncio.get_running_loop()
        true_time, elapsed_s = loop.time, [0.0]
        monkeypatch.setattr(loop, "time", lambda: true_time() + elapsed_s[0])
        async with anyio.create_task_group() as group, BackendPool() as pool:
            group.start_soon(listener.serve, _answer_all)
            first = await _use(pool, address)
            await pool.release(address, first)
            assert await pool.acquire(address, idle_max_s=VERIFIED_IDLE_MAX_S) is first
            await pool.release(address, first)
            elapsed_s[0] = 1.5 * VERIFIED_IDLE_MAX_S
            assert await pool.acquire(address, idle_max_s=VERIFIED_IDLE_MAX_S) is not first
            assert await pool.acquire(address) is first
            assert (pool.opened_count, pool.reused_count) == (2, 2)
            group.cancel_scope.cancel()

    anyio.run(scenario)


def test_connection_that_was_closed_before_its_first_request_is_not_used() -> None:
    # Guards against sending an unrepeatable call on a connection that a probe has opened and that
    # its server has closed since.
    async def close_first(stream: SocketStream) -> None:
        if not closed.is_set():
            await stream.aclose()
            closed.set()
            return
        await _answer_all(stream)

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        async with anyio.create_task_group() as group, BackendPool() as pool:
            group.start_soon(listener.serve, close_first)
            await pool.release(address, await pool.acquire(address))
            await closed.wait()
            await _use(pool, address)
            assert (pool.opened_count, pool.reused_count) == (2, 0)
            group.cancel_scope.cancel()

    closed = anyio.Event()
    anyio.run(scenario)


async def _close_under_call(stream: SocketStream) -> None:
    """Answer the first request and close the connection when the second one arrives."""
    async with stream:
        await stream.receive()
        await stream.send(ANSWER)
        await stream.receive()


async def _close_under_first_call(stream: SocketStream) -> None:
    async with stream:
        await stream.receive()


async def _break_off(stream: SocketStream) -> None:
    """Answer the first request, and the second one in part."""
    async with stream:
        await stream.receive()
        await stream.send(ANSWER)
        await stream.receive()
        await stream.send(ANSWER[:12])


@pytest.mark.parametrize(
    ("serve", "count"), [(_close_under_call, 1), (_close_under_first_call, 0), (_break_off, 0)]
)
def test_connections_closed_under_a_call_are_counted(
    serve: Callable[[SocketStream], Awaitable[None]],
    count: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against confusing the end of a kept connection with a server that fails."""
    lines: list[str] = []
    monkeypatch.setattr(logs, "write", lambda event, **_: lines.append(event))

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        async with anyio.create_task_group() as group, BackendPool() as pool:
            group.start_soon(listener.serve, serve)
            for _ in range(2):
                with suppress(httpcore.RemoteProtocolError):
                    conn = await pool.acquire(address)
                    try:
                        await _exchange(conn, address)
                    finally:
                        await pool.release(address, conn)
            assert pool.closed_under_calls.count == count
            assert lines.count("connection_closed_under_call") == count
            assert lines.count("connections_closed_early") == count
            assert pool.unopened_count == 0
            group.cancel_scope.cancel()

    anyio.run(scenario)


def test_new_connections_that_fail_are_counted() -> None:
    async def scenario() -> None:
        async with BackendPool() as pool:
            with pytest.raises(httpcore.ConnectError):
                await pool.acquire(free_address())
            assert pool.unopened_count == 1
            assert pool.closed_under_calls.count == 0

    anyio.run(scenario)


def test_lines_about_closed_connections_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[tuple[str, int]] = []
    monkeypatch.setattr(logs, "write", lambda event, count=0, **_: lines.append((event, count)))
    now = [100.0]
    monkeypatch.setattr(anyio, "current_time", lambda: now[0])
    closed = ClosedUnderCalls()
    for _ in range(5):
        closed.add("127.0.0.1:1", 99.0)
    now[0] += REMEMBERED_S + 1.0
    closed.add("127.0.0.1:1", 99.0)
    assert lines == [
        ("connections_closed_early", 0),
        ("connection_closed_under_call", 1),
        ("connections_closed_early", 0),
        ("connection_closed_under_call", 5),
    ]
    assert closed.count == 6
    assert closed.is_recent("127.0.0.1:1")
    assert closed.has_lost_call("127.0.0.1:1")
    now[0] += REMEMBERED_S + 1.0
    closed.forget_old()
    assert not closed.is_recent("127.0.0.1:1")
    assert not closed.has_lost_call("127.0.0.1:1")
    closed.note_early("127.0.0.1:1")
    assert closed.is_recent("127.0.0.1:1")
    assert not closed.has_lost_call("127.0.0.1:1")
