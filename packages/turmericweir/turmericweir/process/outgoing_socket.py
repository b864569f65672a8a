"""Outgoing TCP connections, whose local ports stay usable for listeners.

The system gives a connection any free port, which may be one on which a process of this machine is
to listen, and keeps it for a minute in TIME_WAIT. With SO_REUSEADDR at both ends, at the connection
before it connects and at the listener, the listener gets the port all the same.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final, TypeAlias, TypeVar

# Any: a socket's address has the form of its family.
_Address: TypeAlias = tuple[Any, ...]
_Protocol = TypeVar("_Protocol", bound=asyncio.BaseProtocol)

# Python 3.11 does not name this option of Linux.
_IP_BIND_ADDRESS_NO_PORT: Final = 24


async def open_connection(
    make_protocol: Callable[[], _Protocol], host: str, port: int, *, source_ip: str = ""
) -> tuple[asyncio.Transport, _Protocol]:
    """Open a connection, optionally from a local IP; raise OSError if that fails."""
    sock = await connect_socket(host, port, source_ip=source_ip)
    return await asyncio.get_running_loop().create_connection(make_protocol, sock=sock)


async def connect_socket(host: str, port: int, *, source_ip: str = "") -> socket.socket:
    """Return a connected socket, optionally from a local IP; raise OSError if that fails."""
    loop = asyncio.get_running_loop()
    error = OSError(f"no address of {host}")
    for family, address in await _resolve(host, port):
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            sock.setblocking(False)
            _leave_port_to_listeners(sock)
            if source_ip:
                sock.bind((source_ip, 0))
            await loop.sock_connect(sock, address)
        except OSError as exc:
            sock.close()
            error = exc
        except BaseException:
            sock.close()
            raise
        else:
            return sock
    raise error


async def _resolve(host: str, port: int) -> list[tuple[int, _Address]]:
    for family in (socket.AF_INET, socket.AF_INET6):
        # Addresses need no thread to be resolved.
        with suppress(OSError):
            socket.inet_pton(family, host)
            return [(family, (host, port))]
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return [(info[0], info[4]) for info in found]


def _leave_port_to_listeners(sock: socket.socket) -> None:
    # Each option fails alone where a system does not have it, and the connection works without.
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Has the port chosen by `connect`, which prefers one that no listener is bound to.
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
