"""Records kept connections that their other end closed under a call, or soon after one.

A server that closes its connections after an answer, or after a short time without a request, may
do so while the next request is on its way. That is a fault of one connection: a new one to the same
server shows whether the server is there.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

import anyio

from turmericweir.process import logs

# How long it is remembered that a server closes its connections early.
REMEMBERED_S: Final = 10.0
# One log line for each address within this time.
_LOG_INTERVAL_S: Final = 10.0
_MS_PER_S: Final = 1000.0


@dataclass(slots=True)
class _Closer:
    """An end that closes its connections early."""

    closed_at: float
    logged_at: float
    # When it last closed one under a call.
    lost_at: float = -math.inf
    # Closed connections since the last log line.
    unlogged: int = 0


class ClosedUnderCalls:
    """Counts connections that were closed under a call, and remembers by whom."""

    # All since the start.
    count: int
    # By the key of the pool.
    _closers: dict[str, _Closer]

    def __init__(self) -> None:
        self.count = 0
        self._closers = {}

    def add(self, peer: str, opened_at: float) -> None:
        """Record that a connection to a peer was closed under a call."""
        closer = self.note_early(peer)
        now = closer.lost_at = closer.closed_at
        self.count += 1
        closer.unlogged += 1
        if now - closer.logged_at < _LOG_INTERVAL_S:
            return
        logs.write(
            "connection_closed_under_call",
            peer=peer,
            count=closer.unlogged,
            age_ms=round(_MS_PER_S * (now - opened_at)),
        )
        closer.logged_at, closer.unlogged = now, 0

    def note_early(self, peer: str) -> _Closer:
        """Remember that a peer has closed a connection soon after a call, or under one."""
        now = anyio.current_time()
        if not self.is_recent(peer):
            logs.write("connections_closed_early", peer=peer)
        closer = self._closers.setdefault(peer, _Closer(now, now - _LOG_INTERVAL_S))
        closer.closed_at = now
        return closer

    def is_recent(self, peer: str) -> bool:
        """Return whether a peer has closed a connection early lately."""
        closer = self._closers.get(peer)
        return closer is not None and anyio.current_time() - closer.closed_at < REMEMBERED_S

    def has_lost_call(self, peer: str) -> bool:
        """Return whether a peer has closed a connection under a call lately."""
        closer = self._closers.get(peer)
        return closer is not None and anyio.current_time() - closer.lost_at < REMEMBERED_S

    def forget_old(self) -> None:
        """Forget peers that have not closed a connection early for a time."""
        forgotten_at = anyio.current_time() - REMEMBERED_S
        for peer in [each for each, at in self._closers.items() if at.closed_at < forgotten_at]:
            del self._closers[peer]
