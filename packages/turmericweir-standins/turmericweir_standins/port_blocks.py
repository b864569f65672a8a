"""Blocks of ports that a process reserves, to keep parallel test runs from using the same port.

Between the search for a free port and its use by a child process, a parallel run could find the
same port. A process therefore reserves whole blocks; it binds the first port of each block as a
marker, which makes the reservation visible to other processes.
"""

from __future__ import annotations

import itertools
import socket
import threading
from collections import deque
from collections.abc import Iterator
from types import TracebackType
from typing import Final, Self

# The host on which markers are bound, whatever host the ports are used on.
MARKER_HOST: Final = "127.0.0.1"

# The ports lie below the range from which Linux picks ports for outgoing connections. Prevents an
# unrelated connection from taking a free port before the child process binds it.
FIRST_PORT: Final = 15000
LAST_PORT: Final = 32000
BLOCK_SIZE: Final = 250
BLOCKS: Final = (LAST_PORT - FIRST_PORT) // BLOCK_SIZE
PORT_COUNT: Final = BLOCKS * BLOCK_SIZE
# Blocks that a process reserves at most; a cluster may still use ports of the previous block.
RESERVED_BLOCKS_MAX: Final = 2


class PortBlocks:
    """Reserve blocks of ports and return their ports one by one."""

    # The marker sockets of the reserved blocks, oldest first.
    _markers: deque[socket.socket]
    # The unused ports of the newest block.
    _ports: Iterator[int]
    # Numbers of the blocks to try next.
    _block_numbers: Iterator[int]

    def __init__(self, start: int) -> None:
        self._markers = deque()
        self._ports = iter(())
        self._block_numbers = itertools.count(start)
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        while self._markers:
            self._markers.popleft().close()

    def next_port(self) -> int:
        """Return the next port; a process that does not use blocks may have bound it."""
        with self._lock:
            port = next(self._ports, None)
            if port is None:
                self._ports = iter(self._reserve_block())
                port = next(self._ports)
            return port

    def _reserve_block(self) -> range:
        for _ in range(BLOCKS):
            first = FIRST_PORT + next(self._block_numbers) % BLOCKS * BLOCK_SIZE
            marker = _bind_marker(first)
            if marker is not None:
                self._keep_marker(marker)
                return range(first + 1, first + BLOCK_SIZE)
        raise OSError(f"no free block of ports on {MARKER_HOST} from {FIRST_PORT} to {LAST_PORT}")

    def _keep_marker(self, marker: socket.socket) -> None:
        self._markers.append(marker)
        if len(self._markers) > RESERVED_BLOCKS_MAX:
            self._markers.popleft().close()


def _bind_marker(port: int) -> socket.socket | None:
    # SO_REUSEADDR stays off: with it two sockets that do not listen could share a port.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.bind((MARKER_HOST, port))
    except OSError:
        sock.close()
        return None
    return sock
