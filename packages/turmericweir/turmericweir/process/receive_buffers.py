"""Bound what the kernel holds of bytes that were received and not read.

While the process does not read, each connection fills its receive buffer, which counts toward the
memory of the process where its machine counts sockets. A share of the memory limit is divided by
the number of connections that clients may have. A listening socket passes the size on to the
connections that it accepts, so that it holds before the process has run. A connection that is to
receive much, such as the body of a request that was admitted, gets a larger buffer from another
share.
"""

from __future__ import annotations

import resource
import socket
from contextlib import suppress
from typing import Final

# Descriptors that are left for files, and the share of the others that clients may have.
RESERVED_DESCRIPTORS: Final = 200
CLIENTS_SHARE: Final = 0.75
_CONNECTIONS_MIN: Final = 16
# Shares of the memory limit: for the buffers of all connections of clients, and for larger ones.
_CLIENTS_MEMORY_SHARE: Final = 0.08
_CLIENTS_WIDENED_SHARE: Final = 0.04
_PEERS_WIDENED_SHARE: Final = 0.03
# Sizes of buffers as the kernel counts them, with what it needs for each packet.
_CLIENT_LEAST_BYTES: Final = 8_192
_CLIENT_MOST_BYTES: Final = 65_536
_PEER_BYTES: Final = 16_384
_WIDENED_MOST_BYTES: Final = 524_288
# A buffer is widened by at most this share of what is left for all, so that later ones get some.
_GRANT_SHARE: Final = 1 / 8
# The kernel doubles the size that is asked for.
_DOUBLED: Final = 2
# Options of Linux that Python does not name.
_SO_BUF_LOCK: Final = 72
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


class ReceiveBuffers:
    """The receive buffers of the connections to some ports; they are not bounded by default."""

    __slots__ = ("_least_bytes", "_left_bytes")

    # The size of a connection's buffer that is not widened; 0 for the system's own.
    _least_bytes: int
    # What is left for widened buffers.
    _left_bytes: int

    def __init__(self, least_bytes: int = 0, widened_bytes: int = 0) -> None:
        self._least_bytes = least_bytes
        self._left_bytes = widened_bytes

    @classmethod
    def for_clients(cls, memory_bytes: int, descriptors: int) -> ReceiveBuffers:
        """Return those of clients; a memory limit of 0 is none."""
        if not memory_bytes:
            return cls()
        count = max_connections(descriptors, memory_bytes)
        share_bytes = int(_CLIENTS_MEMORY_SHARE * memory_bytes) // count
        least_bytes = min(_CLIENT_MOST_BYTES, max(_CLIENT_LEAST_BYTES, share_bytes))
        return cls(least_bytes, int(_CLIENTS_WIDENED_SHARE * memory_bytes))

    @classmethod
    def for_peers(cls, memory_bytes: int) -> ReceiveBuffers:
        """Return those of peers; a memory limit of 0 is none."""
        if not memory_bytes:
            return cls()
        return cls(_PEER_BYTES, int(_PEERS_WIDENED_SHARE * memory_bytes))

    def limit_accepted(self, listener: socket.socket) -> None:
        """Set the size for all connections that a socket will accept."""
        if not self._least_bytes:
            return
        _set_size(listener, self._least_bytes)
        # A fixed size would also limit the window scale, which cannot be changed later.
        with suppress(OSError):
            listener.setsockopt(socket.SOL_SOCKET, _SO_BUF_LOCK, 0)

    def fix(self, conn: socket.socket) -> None:
        """Keep the kernel from widening the buffer of an accepted connection."""
        if self._least_bytes:
            with suppress(OSError):
                conn.setsockopt(socket.SOL_SOCKET, _SO_BUF_LOCK, _SOCK_RCVBUF_LOCK)

    def widen(self, conn: socket.socket, awaited_bytes: int, granted_bytes: int) -> int:
        """Make a buffer large enough for what will arrive, if possible; return what it was granted.

        What was granted before is kept until the connection ends: the other end may send as much as
        it was offered.
        """
        wanted_bytes = min(_DOUBLED * awaited_bytes, _WIDENED_MOST_BYTES)
        if not self._least_bytes or wanted_bytes <= max(self._least_bytes, granted_bytes):
            return granted_bytes
        available_bytes = granted_bytes + int(_GRANT_SHARE * self._left_bytes)
        size = min(wanted_bytes, available_bytes)
        if size <= max(self._least_bytes, granted_bytes):
            return granted_bytes
        _set_size(conn, size)
        self._left_bytes -= size - granted_bytes
        return size

    def give_back(self, granted_bytes: int) -> None:
        """Return what a connection that has ended was granted."""
        self._left_bytes += granted_bytes


def _set_size(sock: socket.socket, size: int) -> None:
    # The connection may be closed already.
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // _DOUBLED)
