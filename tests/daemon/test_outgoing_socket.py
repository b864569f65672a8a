"""Tests of outgoing connections and of what they leave to listeners."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import anyio
import pytest

from turmericweir.process.outgoing_socket import connect_socket, open_connection
from turmericweir_standins.procs import LOOPBACK, free_port


def test_port_is_left_to_listeners_before_the_connection_is_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against connections that block a port while the other end does not answer.
    reused: list[int] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        sock_connect = loop.sock_connect

        async def connect(sock: socket.socket, address: Any) -> None:
            reused.append(sock.getsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR))
            await sock_connect(sock, address)

        monkeypatch.setattr(loop, "sock_connect", connect)
        with socket.create_server((LOOPBACK, 0)) as server:
            port = server.getsockname()[1]
            (await connect_socket(LOOPBACK, port)).close()
            (await connect_socket(LOOPBACK, port, source_ip=LOOPBACK)).close()

    anyio.run(run)
    assert reused == [1, 1]


def test_connection_opens_without_the_options(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a connection that fails where the system does not have the options.
    def refuse(self: socket.socket, *args: Any) -> None:
        raise OSError("protocol not available")

    async def run() -> None:
        with socket.create_server((LOOPBACK, 0)) as server:
            monkeypatch.setattr(socket.socket, "setsockopt", refuse)
            sock = await connect_socket(LOOPBACK, server.getsockname()[1], source_ip=LOOPBACK)
            monkeypatch.undo()
            with sock:
                assert sock.getsockname()[0] == LOOPBACK

    anyio.run(run)


def test_connection_ended_first_by_this_end_leaves_its_port() -> None:
    # Guards against ports that stay taken while an ended connection is in TIME_WAIT.
    async def run() -> None:
        with socket.create_server((LOOPBACK, 0)) as server:
            # A port of the tests' own range, so that no other program has it as well.
            source_port = free_port()
            sock = await _connect_from(source_port, server.getsockname()[1])
            other_end, _ = server.accept()
            sock.close()
            with other_end, socket.socket() as listener:
                assert other_end.recv(1) == b""
                other_end.close()
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind((LOOPBACK, source_port))
                listener.listen()

    anyio.run(run)


async def _connect_from(source_port: int, port: int) -> socket.socket:
    with pytest.MonkeyPatch.context() as patch:
        bind = socket.socket.bind
        patch.setattr(
            socket.socket, "bind", lambda sock, address: bind(sock, (address[0], source_port))
        )
        return await connect_socket(LOOPBACK, port, source_ip=LOOPBACK)


def test_failed_connection_is_an_os_error_and_leaves_no_socket(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against descriptors that are lost with each server that refuses.
    opened: list[socket.socket] = []
    make = socket.socket

    class RecordedSocket(make):  # type: ignore[misc, valid-type]
        def __init__(self, *args: Any, **kwargs: Any) -> None:
            super().__init__(*args, **kwargs)
            opened.append(self)

    async def run() -> None:
        port = free_port()
        monkeypatch.setattr(socket, "socket", RecordedSocket)
        with pytest.raises(ConnectionRefusedError):
            await open_connection(asyncio.Protocol, LOOPBACK, port)
        monkeypatch.undo()

    anyio.run(run)
    assert [each.fileno() for each in opened] == [-1]


def test_connection_that_is_given_up_leaves_no_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against descriptors that are lost with each server that does not answer.
    opened: list[socket.socket] = []

    async def run() -> None:
        async def connect(sock: socket.socket, address: Any) -> None:
            opened.append(sock)
            scope.cancel()
            await anyio.sleep_forever()

        monkeypatch.setattr(asyncio.get_running_loop(), "sock_connect", connect)
        with anyio.CancelScope() as scope:
            await connect_socket(LOOPBACK, free_port())

    anyio.run(run)
    assert [each.fileno() for each in opened] == [-1]


def test_names_are_resolved() -> None:
    # Guards against servers with names instead of addresses that cannot be reached.
    async def run() -> None:
        with socket.create_server((LOOPBACK, 0)) as server:
            transport, _ = await open_connection(
                asyncio.Protocol, "localhost", server.getsockname()[1]
            )
            transport.close()

    anyio.run(run)
