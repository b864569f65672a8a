"""The socket of a port: how it is bound, and how it is closed without a reset for who connects.

`http_server` serves callers and operators on it. What a closing port would reset is taken care of
here: connections that the system has made and nobody has accepted, and those that begin just then.
"""

from __future__ import annotations

import contextlib
import ctypes
import socket
import struct
from typing import Final

from turmericweir.process.errors import ListenError

_SO_ATTACH_FILTER: Final = 26
# A socket filter of Linux, which sees segments from their TCP header on: load the flags, mask SYN
# and ACK, and where SYN stands alone drop the segment, else pass all of it.
_IGNORE_SYN: Final = (
    (0x30, 0, 0, 13),
    (0x54, 0, 0, 0x12),
    (0x15, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)


def bind(address: str, step: str) -> socket.socket:
    """Bind a TCP socket to an address; uvicorn listens on it later."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # The protocol is named, as accepted sockets inherit it and asyncio sets TCP_NODELAY only on
    # those that name TCP. Without it, the body of a small answer waits 40 ms for the
    # acknowledgement of its head.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host.strip("[]"), int(port)))
    except OSError as exc:
        sock.close()
        raise ListenError(step, address, exc.strerror or str(exc)) from exc
    sock.setblocking(False)
    return sock


def address_of(sock: socket.socket) -> str:
    """Give the address that a socket is bound to, with the port that the system chose."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def take_no_more(sock: socket.socket) -> None:
    """Have the system ignore those who begin to connect, until the socket is closed.

    Between the last look at what waits and the close another connection may be made, and is reset.
    Whoever is ignored begins again within about a second and is then refused, which tells it that
    nothing was sent. Where the system knows no such filters that moment remains.
    """
    code = b"".join(struct.pack("HBBI", *step) for step in _IGNORE_SYN)
    held = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_IGNORE_SYN), ctypes.addressof(held))
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def accept_waiting(sock: socket.socket) -> list[socket.socket]:
    """Accept the connections that the system has taken and nobody has accepted."""
    found: list[socket.socket] = []
    while True:
        try:
            conn, _ = sock.accept()
        except OSError:
            return found
        conn.setblocking(False)
        found.append(conn)
