"""Starts the daemon with connections that a test redirects or delays.

The file named by `REDIRECTS_VARIABLE` maps addresses to those that are connected to instead, and
that named by `DELAYS_VARIABLE` maps them to seconds by which connections are established later.
Both are read at each connection, so that a test can impair the paths of one process only.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from pathlib import Path
from typing import Any

from turmericweir.process import outgoing_socket
from turmericweir_platform.__main__ import main

REDIRECTS_VARIABLE = "TEST_REDIRECTS"
DELAYS_VARIABLE = "TEST_CONNECT_DELAYS"
_connect = socket.socket.connect
_connect_socket = outgoing_socket.connect_socket


def _redirected_connect(sock: socket.socket, address: Any) -> None:
    redirects = json.loads(Path(os.environ[REDIRECTS_VARIABLE]).read_text())
    redirected = redirects.get(f"{address[0]}:{address[1]}") if len(address) == 2 else None
    if redirected is not None:
        host, _, port = redirected.rpartition(":")
        address = (host, int(port))
    _connect(sock, address)


def _connect_delay_s(address: str) -> float:
    delays = json.loads(Path(os.environ[DELAYS_VARIABLE]).read_text())
    return float(delays.get(address, 0.0))


async def _delayed_connect_socket(host: str, port: int, *, source_ip: str = "") -> socket.socket:
    delay_s = _connect_delay_s(f"{host}:{port}")
    if delay_s:
        await asyncio.sleep(delay_s)
    return await _connect_socket(host, port, source_ip=source_ip)


if __name__ == "__main__":
    outgoing_socket.connect_socket = _delayed_connect_socket
    socket.socket.connect = _redirected_connect  # type: ignore[assignment, method-assign]
    sys.exit(main())
