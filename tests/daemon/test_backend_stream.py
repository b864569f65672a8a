"""Tests of the TCP connection to a backend server: buffering, writing and closing."""

from __future__ import annotations

import asyncio
from typing import cast

import anyio
import httpcore
import pytest
from anyio.abc import SocketAttribute, SocketStream

from turmericweir.servers.backend_pool import BackendPool, make_request
from turmericweir.servers.backend_stream import (
    UNREAD_MAX_BYTES,
    WRITE_PART_BYTES,
    BackendStream,
    ConnectionProtocol,
    connect,
)


class FakeTransport(asyncio.Transport):
    """Records written data and whether reading is paused."""

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


def make_protocol() -> tuple[ConnectionProtocol, FakeTransport]:
    protocol, transport = ConnectionProtocol(), FakeTransport()
    protocol.connection_made(transport)
    return protocol, transport


def test_reading_pauses_while_the_caller_is_slower_than_the_server() -> None:
    # Guards against unbounded buffering, and against lost or reordered data when reading resumes.
    async def run() -> None:
        protocol, transport = make_protocol()
        chunks = [bytes([number]) * (UNREAD_MAX_BYTES // 2) for number in range(4)]
        paused = []
        for chunk in chunks:
            protocol.data_received(chunk)
            paused.append(transport.paused)
        stream = BackendStream(protocol)
        # Within a body; a head is read in smaller parts.
        stream.framing.add_body(1)
        for chunk in chunks:
            assert await stream.read(65_536) == chunk
            stream.framing.add_body(len(chunk))
            paused.append(transport.paused)
        assert paused == [False, False, True, True, True, False, False, False]

    anyio.run(run)


def test_attempt_cancelled_by_the_write_callback_writes_nothing() -> None:
    # Guards against a server running a request whose attempt was already cancelled.
    async def run() -> None:
        protocol, transport = make_protocol()
        stream = BackendStream(protocol)
        with anyio.CancelScope() as scope:
            stream.before_write = scope.cancel
            await stream.write(b"GET / HTTP/1.1\r\n\r\n")
        assert scope.cancelled_caught
        assert transport.written == []

    anyio.run(run)


def test_writer_waits_until_writing_resumes() -> None:
    # Guards against unbounded buffering of writes.
    async def run() -> None:
        protocol, transport = make_protocol()
        stream = BackendStream(protocol)
        protocol.pause_writing()
        order: list[str] = []

        async def write() -> None:
            await stream.write(b"x")
            order.append("written")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await anyio.wait_all_tasks_blocked()
            order.append("resumed")
            protocol.resume_writing()
        assert order == ["resumed", "written"]
        assert transport.written == [b"x"]

    anyio.run(run)


async def _write_to_slow_server(*, answers: bool) -> list[int]:
    """Write a long body; return the sizes that were written while the server did not read."""
    protocol, transport = make_protocol()
    stream = BackendStream(protocol)
    body = bytes(range(256)) * (WRITE_PART_BYTES // 64)
    protocol.pause_writing()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream.write, body)
        await anyio.wait_all_tasks_blocked()
        unread_sizes = [len(each) for each in transport.written]
        if answers:
            protocol.data_received(b"HTTP/1.1 413 Too Large\r\n")
        else:
            protocol.resume_writing()
    assert b"".join(transport.written) == body
    return unread_sizes


@pytest.mark.parametrize("answers", [True, False])
def test_long_body_is_not_copied_while_its_server_does_not_read(answers: bool) -> None:
    # Guards against two copies of each body in memory, and against a body that is cut short when
    # the server answers before it has read it.
    async def run() -> None:
        sizes = await _write_to_slow_server(answers=answers)
        assert sizes == [WRITE_PART_BYTES]

    anyio.run(run)


@pytest.mark.parametrize("reset", [True, False])
def test_connection_closed_by_its_server_is_detected(reset: bool) -> None:
    # Guards against reusing a connection that the server closed or reset while it was idle, and
    # against reading a reset as a normal end.
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
                # Unread data makes the system close the connection with a reset.
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


def test_answer_that_ends_with_its_connection_within_an_upload_is_not_whole() -> None:
    # Guards against a server that closes its end while it has not read the request, whose answer
    # without a length looks whole.
    async def serve(stream: SocketStream) -> None:
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\npart")
        await stream.send_eof()
        await anyio.sleep_forever()

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        async with anyio.create_task_group() as group, BackendPool() as pool:
            group.start_soon(listener.serve, serve)
            conn = await pool.acquire(address)
            request = make_request(b"POST", address, b"/", [], b"x" * 64_000_000)
            response = await conn.send(request, lambda: None)
            with pytest.raises(httpcore.ReadError):
                await response.aread()
            await conn.close()
            group.cancel_scope.cancel()

    anyio.run(scenario)
