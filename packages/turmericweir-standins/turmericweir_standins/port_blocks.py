"""Blocks of ports, each for one process at a time, so that parallel test runs never share a port.

A port that was found free is bound by a child only later. Another run on the same machine that
searched the same range at that moment would find it free as well, and one of the two children would
fail to start. So a process takes whole blocks, and marks each by holding the block's first port.
"""

from __future__ import annotations

import itertools
import socket
import threading
from collections import deque
from collections.abc import Iterator
from types import TracebackType
from typing import Final, Self

# Where the marks are held, whatever host the ports are used on.
MARK_HOST: Final = "127.0.0.1"

# Ports are taken below the range from which Linux picks ports for outgoing connections. A port
# found by binding to 0 lies in that range, and an unrelated connection may take it between the
# moment it was found free and the moment the child binds it: the child then fails to start.
FIRST_PORT: Final = 15000
LAST_PORT: Final = 32000
BLOCK_SIZE: Final = 250
BLOCKS: Final = (LAST_PORT - FIRST_PORT) // BLOCK_SIZE
PORT_COUNT: Final = BLOCKS * BLOCK_SIZE
# Blocks that a process holds at the most. A cluster may still use ports of the block before.
HELD_BLOCKS: Final = 2


class PortBlocks:
    """Gives the ports of one block after the other."""

    # The first port of each block that is held, oldest first.
    _held: deque[socket.socket]
    # What is left of the newest block.
    _ports: Iterator[int]
    _search: Iterator[int]

    def __init__(self, start: int) -> None:
        self._held = deque()
        self._ports = iter(())
        self._search = itertools.count(start)
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        while self._held:
            self._held.popleft().close()

    def next_port(self) -> int:
        """Give the next port, which something else than a user of blocks may have bound."""
        with self._lock:
            port = next(self._ports, None)
            if port is None:
                self._ports = iter(self._take_block())
                port = next(self._ports)
            return port

    def _take_block(self) -> range:
        for _ in range(BLOCKS):
            first = FIRST_PORT + next(self._search) % BLOCKS * BLOCK_SIZE
            mark = _bind(first)
            if mark is not None:
                self._hold(mark)
                return range(first + 1, first + BLOCK_SIZE)
        raise OSError(f"no free block of ports on {MARK_HOST} from {FIRST_PORT} to {LAST_PORT}")

    def _hold(self, mark: socket.socket) -> None:
        self._held.append(mark)
        if len(self._held) > HELD_BLOCKS:
            self._held.popleft().close()


def _bind(port: int) -> socket.socket | None:
    # Without SO_REUSEADDR, with which two sockets that do not listen may share a port.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.bind((MARK_HOST, port))
    except OSError:
        sock.close()
        return None
    return sock
