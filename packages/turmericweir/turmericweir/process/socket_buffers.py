"""Bound what the kernel holds for connections: bytes that were received and not read, or not sent.

While the process does not read, each connection fills its receive buffer, and while a caller does
not read, its send buffer, which the system lets grow to megabytes. Both count toward the memory of
the process where its machine counts sockets. A share of the memory limit is divided by the number
of connections that clients may have. A listening socket passes the sizes on to the connections that
it accepts, so that they hold before the process has run. A connection that is to carry much, such
as the body of a request that was admitted, gets a larger buffer from another share.
"""

from __future__ import annotations

import resource
import socket
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

# Descriptors that are left for files, and the share of the others that clients may have.
RESERVED_DESCRIPTORS: Final = 200
CLIENTS_SHARE: Final = 0.75
_CONNECTIONS_MIN: Final = 16
# Shares of the memory limit in each direction: for the buffers of all connections of clients, and
# for larger ones.
_CLIENTS_MEMORY_SHARE: Final = 0.08
_CLIENTS_WIDENED_SHARE: Final = 0.03
_PEERS_WIDENED_SHARE: Final = 0.03
# Sizes of buffers as the kernel counts them, with what it needs for each packet.
_CLIENT_LEAST_BYTES: Final = 8_192
_CLIENT_MOST_BYTES: Final = 65_536
_PEER_BYTES: Final = 16_384
_WIDENED_MOST_BYTES: Final = 524_288
_SEND_BYTES: Final = 131_072
# A buffer is widened by at most this share of what is left for all, so that later ones get some.
_GRANT_SHARE: Final = 1 / 8
# The kernel doubles the size that is asked for.
_DOUBLED: Final = 2
# Options of Linux that Python does not name.
_SO_BUF_LOCK: Final = 72
_SOCK_SNDBUF_LOCK: Final = 1
_SOCK_RCVBUF_LOCK: Final = 2


def max_connections(descriptors: int, memory_bytes: int) -> int:
    """Return how many connections clients may have; 0 for no limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = descriptors or max(limit, 0)
    bounds: list[int] = []
    if descriptors:
        bounds.append(int(CLIENTS_SHARE * (descriptors - RESERVED_DESCRIPTORS)))
    if memory_bytes:
        bounds.append(int(_CLIENTS_MEMORY_SHARE * memory_bytes) // _CLIENT_LEAST_BYTES)
    return max(_CONNECTIONS_MIN, min(bounds)) if bounds else 0


@dataclass(slots=True)
class _Pool:
    """What is left for larger buffers in one direction."""

    left_bytes: int

    def extend(self, granted_bytes: int, least_bytes: int, wanted_bytes: int) -> int:
        """Return the size to which a buffer may grow, which is then taken."""
        available_bytes = granted_bytes + int(_GRANT_SHARE * self.left_bytes)
        size = min(wanted_bytes, _WIDENED_MOST_BYTES, available_bytes)
        if not least_bytes or size <= max(least_bytes, granted_bytes):
            return granted_bytes
        self.left_bytes -= size - granted_bytes
        return size


class SocketBuffers:
    """The buffers of the connections to some ports; they are not bounded by default."""

    __slots__ = ("_least_bytes", "_receiving", "_send_bytes", "_sending")

    # The size of a receive buffer that is not widened; 0 for the system's own.
    _least_bytes: int
    # The size of a send buffer that is not widened; 0 for the system's own.
    _send_bytes: int
    _receiving: _Pool
    _sending: _Pool

    def __init__(self, least_bytes: int = 0, send_bytes: int = 0, widened_bytes: int = 0) -> None:
        self._least_bytes = least_bytes
        self._send_bytes = send_bytes
        self._receiving = _Pool(widened_bytes)
        self._sending = _Pool(widened_bytes)

    @classmethod
    def for_clients(cls, memory_bytes: int, descriptors: int) -> SocketBuffers:
        """Return those of clients; a memory limit of 0 is none."""
        if not memory_bytes:
            return cls()
        count = max_connections(descriptors, memory_bytes)
        share_bytes = int(_CLIENTS_MEMORY_SHARE * memory_bytes) // count
        least_bytes = min(_CLIENT_MOST_BYTES, max(_CLIENT_LEAST_BYTES, share_bytes))
        return cls(least_bytes, least_bytes, int(_CLIENTS_WIDENED_SHARE * memory_bytes))

    @classmethod
    def for_peers(cls, memory_bytes: int) -> SocketBuffers:
        """Return those of peers; a memory limit of 0 is none."""
        if not memory_bytes:
            return cls()
        return cls(_PEER_BYTES, 0, int(_PEERS_WIDENED_SHARE * memory_bytes))

    def limit_accepted(self, listener: socket.socket) -> None:
        """Set the sizes for all connections that a socket will accept."""
        if self._send_bytes:
            _set_size(listener, socket.SO_SNDBUF, self._send_bytes)
        if self._least_bytes:
            _set_size(listener, socket.SO_RCVBUF, self._least_bytes)
            # A fixed size would also limit the window scale, which cannot be changed later.
            _set_fixed(listener, _SOCK_SNDBUF_LOCK if self._send_bytes else 0)

    def fix(self, conn: socket.socket) -> None:
        """Keep the kernel from widening the buffers of an accepted connection."""
        if self._least_bytes:
            _set_fixed(conn, _SOCK_RCVBUF_LOCK | (_SOCK_SNDBUF_LOCK if self._send_bytes else 0))

    def widen(self, conn: socket.socket, awaited_bytes: int, granted_bytes: int) -> int:
        """Make a receive buffer large enough for what will arrive; return what it was granted.

        What was granted before is kept until the connection ends: the other end may send as much as
        it was offered.
        """
        wanted_bytes = _DOUBLED * awaited_bytes
        size = self._receiving.extend(granted_bytes, self._least_bytes, wanted_bytes)
        if size != granted_bytes:
            _set_size(conn, socket.SO_RCVBUF, size)
        return size

    def widen_sending(self, conn: socket.socket, granted_bytes: int) -> int:
        """Make a full send buffer larger, if possible; return what it was granted."""
        size = self._sending.extend(granted_bytes, self._send_bytes, _WIDENED_MOST_BYTES)
        if size != granted_bytes:
            _set_size(conn, socket.SO_SNDBUF, size)
        return size

    def give_back(self, received_bytes: int, sent_bytes: int = 0) -> None:
        """Return what a connection that has ended was granted in each direction."""
        self._receiving.left_bytes += received_bytes
        self._sending.left_bytes += sent_bytes


def fix_receive_buffer(conn: socket.socket) -> None:
    """Keep the kernel from widening a receive buffer, which it does up to megabytes."""
    _set_fixed(conn, _SOCK_RCVBUF_LOCK)


def limit_send_buffer(conn: socket.socket) -> None:
    """Set the size of a send buffer, which the kernel lets grow to megabytes."""
    _set_size(conn, socket.SO_SNDBUF, _SEND_BYTES)


def _set_fixed(sock: socket.socket, which: int) -> None:
    # Older kernels lack the option: a size that was set is fixed there.
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, _SO_BUF_LOCK, which)


def _set_size(sock: socket.socket, option: int, size: int) -> None:
    # The connection may be closed already.
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, option, size // _DOUBLED)
