"""The connection to a backend server below HTTP: what is kept, what is written, how it ends."""

from __future__ import annotations

import asyncio
from typing import cast

import anyio
import httpcore
import pytest

from turmericweir.servers.backend_stream import UNREAD_MAX, BackendStream, _Wire, connect


class FakeTransport(asyncio.Transport):
    """Keeps what is written and whether reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []
        self.paused = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written.append(bytes(data))

    def pause_reading(self) -> None:
        assert not self.paused
        self.paused = True

    def resume_reading(self) -> None:
        assert self.paused
        self.paused = False

    def is_closing(self) -> bool:
        return False


def make_wire() -> tuple[_Wire, FakeTransport]:
    wire, transport = _Wire(), FakeTransport()
    wire.connection_made(transport)
    return wire, transport


def test_fast_server_before_a_slow_caller_fills_no_memory() -> None:
    # A server sends faster than the caller reads. Nothing is read from the server any more once a
    # limit is kept, until the caller has taken enough; every byte arrives in order.
    async def run() -> None:
        wire, transport = make_wire()
        parts = [bytes([number]) * (UNREAD_MAX // 2) for number in range(4)]
        paused = []
        for part in parts:
            wire.data_received(part)
            paused.append(transport.paused)
        stream = BackendStream(wire)
        for part in parts:
            assert await stream.read(65_536) == part
            paused.append(transport.paused)
        assert paused == [False, False, True, True, True, False, False, False]

    anyio.run(run)


def test_attempt_that_its_announcement_cancels_writes_nothing() -> None:
    # The word that the first byte goes out next leads to the attempt being cancelled. Were it
    # written still, the server would run what nobody waits for.
    async def run() -> None:
        wire, transport = make_wire()
        stream = BackendStream(wire)
        with anyio.CancelScope() as scope:
            stream.before_write = scope.cancel
            await stream.write(b"GET / HTTP/1.1\r\n\r\n")
        assert scope.cancelled_caught
        assert transport.written == []

    anyio.run(run)


def test_writer_waits_until_the_system_takes_more() -> None:
    async def run() -> None:
        wire, transport = make_wire()
        stream = BackendStream(wire)
        wire.pause_writing()
        order: list[str] = []

        async def write() -> None:
            await stream.write(b"x")
            order.append("written")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await anyio.wait_all_tasks_blocked()
            order.append("resumed")
            wire.resume_writing()
        assert order == ["resumed", "written"]
        assert transport.written == [b"x"]

    anyio.run(run)


@pytest.mark.parametrize("reset", [True, False])
def test_connection_that_its_server_ends_is_seen(reset: bool) -> None:
    # The server ends the connection while it is idle. It must not be taken for another request, and
    # who reads from it learns of a reset as an error and of an orderly end as the end.
    async def run() -> None:
        connected: asyncio.Future[asyncio.StreamWriter] = asyncio.Future()
        server = await asyncio.start_server(
            lambda _, writer: connected.set_result(writer), "127.0.0.1", 0
        )
        async with server:
            port = server.sockets[0].getsockname()[1]
            stream = await connect(f"127.0.0.1:{port}")
            writer = await connected
            assert not stream.get_extra_info("is_readable")
            transport = cast(asyncio.Transport, writer.transport)
            if reset:
                # What it has not read makes the system answer the close with a reset.
                transport.pause_reading()
                await stream.write(b"unread")
                transport.abort()
                with pytest.raises(httpcore.ReadError):
                    await stream.read(1)
            else:
                writer.close()
                assert await stream.read(1) == b""
            assert stream.get_extra_info("is_readable")
            await stream.aclose()

    anyio.run(run)
