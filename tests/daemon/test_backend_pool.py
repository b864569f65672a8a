"""Connections to servers that are kept, and those that are not used again."""

from __future__ import annotations

import asyncio
from typing import Final

import anyio
import httpcore
import pytest
from anyio.abc import SocketAttribute, SocketStream

from turmericweir.servers.backend_pool import (
    PROVEN_IDLE_S,
    BackendConnection,
    BackendPool,
    make_request,
)

ANSWER: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def _answer_all(stream: SocketStream) -> None:
    async with stream:
        async for _ in stream:
            await stream.send(ANSWER)


async def _use(pool: BackendPool, address: str) -> BackendConnection:
    conn = await pool.take(address)
    response = await conn.send(make_request(b"GET", address, b"/", [], b""), lambda: None)
    assert isinstance(response, httpcore.Response)
    await response.aread()
    await response.aclose()
    return conn


def test_distrusted_connections_are_not_used_again() -> None:
    # A request that went out over a connection which had gone silent while idle would wait for
    # nothing. Once a server is suspected, neither what is idle nor what is in use is kept; a
    # connection that is opened after that is.
    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        address = f"127.0.0.1:{port}"
        async with anyio.create_task_group() as group, BackendPool() as pool:
            group.start_soon(listener.serve, _answer_all)
            idle, in_use = await _use(pool, address), await _use(pool, address)
            await pool.give_back(address, idle)
            pool.distrust(address)
            await pool.give_back(address, in_use)
            fresh = await _use(pool, address)
            assert (pool.opened, pool.reused) == (3, 0)
            await pool.give_back(address, fresh)
            assert await _use(pool, address) is fresh
            assert fresh.is_kept
            group.cancel_scope.cancel()

    anyio.run(scenario)


def test_calls_that_must_not_be_repeated_go_out_on_proven_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A caller's call must not run twice, so whatever is lost on a dead connection stays lost. The
    # first call is answered; a second one a moment later takes its connection, which has just
    # carried an answer. A third one after a pause takes a new one, as does one that comes after
    # the process was suspended: only the loop's clock tells that time has passed.
    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        address = f"127.0.0.1:{port}"
        loop = asyncio.get_running_loop()
        true_time, slept = loop.time, [0.0]
        monkeypatch.setattr(loop, "time", lambda: true_time() + slept[0])
        async with anyio.create_task_group() as group, BackendPool() as pool:
            group.start_soon(listener.serve, _answer_all)
            first = await _use(pool, address)
            await pool.give_back(address, first)
            assert await pool.take(address, idle_max_s=PROVEN_IDLE_S) is first
            await pool.give_back(address, first)
            slept[0] = 1.5 * PROVEN_IDLE_S
            assert await pool.take(address, idle_max_s=PROVEN_IDLE_S) is not first
            assert await pool.take(address) is first
            assert (pool.opened, pool.reused) == (2, 2)
            group.cancel_scope.cancel()

    anyio.run(scenario)
