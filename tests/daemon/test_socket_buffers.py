"""Tests of receive buffers, on connections of the test's own."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import ExitStack, suppress

import pytest

from tests.platform.unread_sockets import unread_bytes
from turmericweir.process.listening_socket import bound_address
from turmericweir.process.socket_buffers import SocketBuffers, max_connections

_MEMORY_BYTES = 160_000_000
_DESCRIPTORS = 4_100
_SENT = b"x" * 300_000


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Yield a socket that is bound and does not listen yet."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield sock


def _buffer_bytes(sock: socket.socket) -> int:
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)


def _accept(listener: socket.socket, stack: ExitStack) -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection, that of the client first."""
    client = stack.enter_context(socket.create_connection(listener.getsockname()))
    conn, _ = listener.accept()
    return client, stack.enter_context(conn)


def test_all_buffers_fit_into_their_share() -> None:
    # Guards against connections whose buffers take more together than the memory that is left.
    for memory_mb in (40, 160, 300, 4_000):
        for descriptors in (0, 256, 1_024, 20_000, 1_000_000):
            memory_bytes = memory_mb * 1_000_000
            count = max_connections(descriptors, memory_bytes)
            buffers = SocketBuffers.for_clients(memory_bytes, descriptors)
            with socket.socket() as sock:
                buffers.limit_accepted(sock)
                assert count * _buffer_bytes(sock) <= 0.08 * memory_bytes


def test_accepted_connection_holds_no_more_unread(listener: socket.socket) -> None:
    # Guards against the default size of accepted connections, and against its automatic growth.
    buffers = SocketBuffers.for_clients(_MEMORY_BYTES, _DESCRIPTORS)
    buffers.limit_accepted(listener)
    listener.listen()
    with ExitStack() as stack:
        client, conn = _accept(listener, stack)
        buffers.fix(conn)
        client.setblocking(False)
        for _ in range(3):
            with suppress(BlockingIOError):
                client.send(_SENT)
            assert unread_bytes([bound_address(listener)]) <= _buffer_bytes(conn)
            conn.recv(1)
        assert _buffer_bytes(conn) == _buffer_bytes(listener) < 10_000


def test_widened_buffers_leave_some_for_later_ones_and_are_given_back(
    listener: socket.socket,
) -> None:
    # Guards against the first bodies that take all of the share, and a share that is never freed.
    buffers = SocketBuffers.for_clients(_MEMORY_BYTES, _DESCRIPTORS)
    buffers.limit_accepted(listener)
    listener.listen()
    with ExitStack() as stack:
        conns = [_accept(listener, stack)[1] for _ in range(30)]
        granted = [buffers.widen(conn, 4_000_000, 0) for conn in conns]
        assert sum(granted) <= 0.04 * _MEMORY_BYTES
        assert min(granted) > _buffer_bytes(listener)
        assert [buffers.widen(conns[0], 4_000_000, granted[0])] == granted[:1]
        for size in granted:
            buffers.give_back(size)
        assert buffers.widen(conns[1], 4_000_000, 0) == granted[0]


def test_nothing_is_bounded_without_a_memory_limit(listener: socket.socket) -> None:
    # Guards against buffers of the size 0, which the kernel makes as small as it can.
    buffers = SocketBuffers.for_clients(0, _DESCRIPTORS)
    default = _buffer_bytes(listener)
    buffers.limit_accepted(listener)
    assert buffers.widen(listener, 1_000_000, 0) == 0
    assert _buffer_bytes(listener) == default
    assert max_connections(_DESCRIPTORS, 0) == 2_925
