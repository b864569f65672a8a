"""Estimate how many bytes of clients were received by the kernel and are not read yet.

They are not part of the process's own memory, but count toward its limit where the machine counts
the buffers of sockets. Only some connections are asked, since each takes a system call.
"""

from __future__ import annotations

import array
import fcntl
import termios
from collections.abc import Callable, Iterable
from typing import Final, Protocol

import anyio

from turmericweir.process import logs
from turmericweir.process.memory_budget import MemoryBudget

# The maximum number of connections that are asked at a time.
_ASKED_MAX: Final = 256
_CHECK_INTERVAL_S: Final = 1.0
_LOG_INTERVAL_S: Final = 30.0
# The share of the memory limit from which on unread bytes are logged.
_LOGGED_SHARE: Final = 0.04


class UnreadConnection(Protocol):
    """The part of a client's connection that is used here."""

    @property
    def descriptor(self) -> int:
        """The descriptor of the socket; -1 if it is closed."""


class UnreadBytes:
    """What waits in the sockets of the connections to all HTTP ports."""

    _connections: Callable[[], Iterable[UnreadConnection]]
    _memory: MemoryBudget
    _logged_at: float

    def __init__(
        self, connections: Callable[[], Iterable[UnreadConnection]], memory: MemoryBudget
    ) -> None:
        self._connections = connections
        self._memory = memory
        self._logged_at = -_LOG_INTERVAL_S

    def estimate(self) -> int:
        """Return the number of bytes that wait, estimated if there are many connections."""
        connections = list(self._connections())
        asked = connections[:: len(connections) // _ASKED_MAX + 1]
        if not asked:
            return 0
        return sum(map(_waiting_bytes, asked)) * len(connections) // len(asked)

    async def check_forever(self) -> None:
        """Log at intervals that much waits, if there is a memory limit."""
        while self._memory.limit_bytes:
            await anyio.sleep(_CHECK_INTERVAL_S)
            self._check(anyio.current_time())
        await anyio.sleep_forever()

    def _check(self, now: float) -> None:
        if now - self._logged_at < _LOG_INTERVAL_S:
            return
        unread_bytes = self.estimate()
        if unread_bytes > _LOGGED_SHARE * self._memory.limit_bytes:
            self._logged_at = now
            logs.write(
                "bytes_unread",
                unread_bytes=unread_bytes,
                resident_bytes=self._memory.resident_bytes,
                limit_bytes=self._memory.limit_bytes,
                connections=sum(1 for _ in self._connections()),
            )


def _waiting_bytes(conn: UnreadConnection) -> int:
    size = array.array("i", [0])
    try:
        fcntl.ioctl(conn.descriptor, termios.FIONREAD, size)
    except (OSError, ValueError):
        # Closed meanwhile.
        return 0
    return size[0]
