"""Bounds the connections of clients, so that descriptors are left for servers, peers and the store.

How many there may be follows from the descriptors and the memory (`process.socket_buffers`).

Every HTTP port of the process reports the connections that it accepts (`http_server`). Beyond the
limit, some on which no request runs are closed: first those that never sent a whole request, then
idle ones, then those whose body is not complete; the oldest first. If all are busy, the new one is.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from typing import Final, Protocol

from turmericweir.process import logs

# The share of the connections that are closed together, since finding them takes a while.
_CLOSED_SHARE: Final = 1 / 32


class ClientConnection(Protocol):
    """The part of a client's connection that is used here."""

    @property
    def is_lost(self) -> bool:
        """Whether it is closed or being closed."""

    @property
    def closing_rank(self) -> int | None:
        """In which order it may be closed, lowest first; None while a request runs."""

    @property
    def active_at(self) -> float:
        """When it was opened, or when its last answer ended."""

    def close_idle(self) -> None:
        """Close it."""


class ConnectionLimit:
    """Counts connections, and closes some when there are too many."""

    # 0 for no limit.
    _max: int
    # Return the number of connections of all ports, and the connections.
    _open_count: Callable[[], int]
    _connections: Callable[[], Iterable[ClientConnection]]
    # Adds to a counter.
    _count: Callable[[str, int], None]

    def __init__(
        self,
        maximum: int,
        open_count: Callable[[], int],
        connections: Callable[[], Iterable[ClientConnection]],
        count: Callable[[str, int], None],
    ) -> None:
        self._max = maximum
        self._open_count = open_count
        self._connections = connections
        self._count = count

    def make_room(self, newest: ClientConnection) -> None:
        """Close connections if there are too many with the newest one, which is open already."""
        if not self._max or self._open_count() <= self._max:
            return
        # Those that are closed already are counted until the event loop has closed them.
        connections = [conn for conn in self._connections() if not conn.is_lost]
        if len(connections) <= self._max:
            return
        ranked = [
            (rank, conn.active_at, number)
            for number, conn in enumerate(connections)
            if conn is not newest and (rank := conn.closing_rank) is not None
        ]
        excess = len(connections) - self._max + int(_CLOSED_SHARE * self._max)
        chosen = [connections[number] for *_, number in heapq.nsmallest(excess, ranked)]
        chosen = chosen or [newest]
        self._count("caller.connections_closed", len(chosen))
        logs.write("connections_closed", closed=len(chosen), open=len(connections), max=self._max)
        for conn in chosen:
            conn.close_idle()
