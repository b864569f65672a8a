"""Tests of what arrives at the port for other instances and is not from one."""

from __future__ import annotations

import json
import socket
import struct
from pathlib import Path

import pytest

from tests.platform.platform_world import PlatformWorld, until

_CONNECTIONS = 20


def _peer_address(world: PlatformWorld) -> tuple[str, int]:
    text = (world.directory / "entry-1.json").read_text()
    host, _, port = json.loads(text.split("\n", 1)[1])["peer_address"].rpartition(":")
    return host, int(port)


def _reset(conn: socket.socket) -> None:
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


@pytest.mark.parametrize(
    "data",
    [b"", b"\xc1", b"\x93\xa1a\xa9Heartbeat", b"GET / HTTP/1.1\r\n"],
    ids=["nothing", "no-msgpack", "half-a-frame", "http"],
)
def test_connections_that_are_reset_before_they_are_accepted_do_not_end_the_process(
    tmp_path: Path, data: bytes
) -> None:
    """Guards against a process that one reset connection to its port for peers ends."""
    with PlatformWorld(tmp_path) as world:
        process = world.running["entry-1"].process
        process.pause()
        connections = [socket.create_connection(_peer_address(world)) for _ in range(_CONNECTIONS)]
        for conn in connections:
            conn.sendall(data)
            _reset(conn)
        process.resume()
        until(lambda: world.send_safe().status == 200, "the instance serves")
        with socket.create_connection(_peer_address(world)) as conn:
            conn.sendall(b"\xc1" * 64)
            until(lambda: world.send_safe().status == 200, "the instance still serves")
        assert process.is_running
