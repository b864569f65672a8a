"""Listening sockets: bind them, and close them without resetting new connections.

`http_server` serves callers and operators on these sockets. Closing a listening socket resets the
connections in its queue. To prevent that, this module ignores new connections and accepts the
queued ones first.
"""

from __future__ import annotations

import contextlib
import ctypes
import errno
import socket
import struct
from typing import Final

from turmericweir.process.errors import AddressUnavailableError, ListenError

# Errors that may pass: of the address, and of a machine that has no socket left.
_UNAVAILABLE: Final = (
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)
_SO_ATTACH_FILTER: Final = 26
# A Linux socket filter on the TCP header: load the flags, mask SYN and ACK, drop the segment if
# only SYN is set, otherwise pass all of it.
_IGNORE_SYN: Final = (
    (0x30, 0, 0, 13),
    (0x54, 0, 0, 0x12),
    (0x15, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)


def bind(address: str, step: str) -> socket.socket:
    """Bind a TCP socket to an address; `listen` or uvicorn listens on it later."""
    # Accepted sockets inherit the protocol, and asyncio sets TCP_NODELAY only if it is TCP.
    # Prevents the body of a small answer from waiting for the acknowledgement of its head.
    sock = _open(address, step, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return _bind(sock, address, step)


def bind_datagrams(address: str, step: str) -> socket.socket:
    """Bind a datagram socket to an address."""
    # Without SO_REUSEADDR, with which two processes could have the same address.
    return _bind(_open(address, step, socket.SOCK_DGRAM), address, step)


def listen(sock: socket.socket, backlog: int, step: str) -> None:
    """Listen on a bound socket, which fails if another one listens on its address."""
    try:
        sock.listen(backlog)
    except OSError as exc:
        raise _listen_error(exc, bound_address(sock), step) from exc


def _open(address: str, step: str, kind: socket.SocketKind, protocol: int = 0) -> socket.socket:
    try:
        return socket.socket(_family_of(address), kind, protocol)
    except OSError as exc:
        raise _listen_error(exc, address, step) from exc


def _bind(sock: socket.socket, address: str, step: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    try:
        sock.bind((host.strip("[]"), int(port)))
    except OSError as exc:
        sock.close()
        raise _listen_error(exc, address, step) from exc
    sock.setblocking(False)
    return sock


def _family_of(address: str) -> socket.AddressFamily:
    host, _, _ = address.rpartition(":")
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def _listen_error(exc: OSError, address: str, step: str) -> ListenError:
    error_type = AddressUnavailableError if exc.errno in _UNAVAILABLE else ListenError
    return error_type(step, address, exc.strerror or str(exc))


def check_free(address: str, step: str) -> None:
    """Raise ListenError if an address cannot be bound now."""
    bind(address, step).close()


def bound_address(sock: socket.socket) -> str:
    """Return the address that a socket is bound to, with the port that the system chose."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def ignore_new_connections(sock: socket.socket) -> None:
    """Make the system ignore new connections until the socket is closed.

    Prevents connections from being reset between the last `accept` and the close. An ignored client
    retries within about a second and is then refused, which shows that nothing was sent. Has no
    effect on systems without such filters.
    """
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in _IGNORE_SYN)
    code_buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_IGNORE_SYN), ctypes.addressof(code_buffer))
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def accept_queued(sock: socket.socket) -> list[socket.socket]:
    """Accept and return the connections that are queued in the system."""
    accepted: list[socket.socket] = []
    while True:
        try:
            conn, _ = sock.accept()
        except OSError:
            return accepted
        conn.setblocking(False)
        accepted.append(conn)
