"""Show how quickly the platform's store answers reads: times, limits that ran out, log lines.

The store is *slow* from the first read that got no byte within its time limit, until its answers
have come within the limit for some time. Log lines are written only for these two changes. A store
that is gone has answered no read late meanwhile. Snapshots of which something is missing are logged
one by one, as they are rare.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from turmericweir.process import logs

if TYPE_CHECKING:
    from turmericweir.process.node import Node

# Time without a limit that ran out after which the store counts as quick again.
_QUICK_AFTER_S: Final = 5.0
_LOGGED_ERROR_CHARS: Final = 300


class ReadStats:
    """Counts and times of the reads of a store."""

    # The node that counts; None before it is attached.
    _node: Node | None
    # How long the last answered read took.
    last_s: float
    # Limits that ran out without a byte, and connections that broke under a read.
    limits_expired: int
    connections_closed: int
    # Since when the store is slow; None if it is not.
    _slow_since: float | None
    _last_expired_at: float
    # Since the store became slow: limits that ran out, and reads that were answered after theirs.
    _expired: int
    _answered_late: int

    def __init__(self) -> None:
        self._node = None
        self.last_s = 0.0
        self.limits_expired = 0
        self.connections_closed = 0
        self._slow_since = None
        self._last_expired_at = float("-inf")
        self._expired = 0
        self._answered_late = 0

    def attach(self, node: Node) -> None:
        """Set the node that counts."""
        self._node = node

    def note_answer(self, duration_s: float, *, is_late: bool) -> None:
        """Record a read that was answered, within its limit or after it."""
        self.last_s = duration_s
        if self._node is not None:
            self._node.timing("store.read", duration_s)
        self._answered_late += is_late
        now = anyio.current_time()
        if self._slow_since is None or is_late or now - self._last_expired_at < _QUICK_AFTER_S:
            return
        logs.write(
            "store_quick",
            slow_ms=round((self._last_expired_at - self._slow_since) * 1000),
            limits_expired=self._expired,
            answered_late=self._answered_late,
        )
        self._slow_since = None

    def note_expired(self, target: str, limit_s: float) -> None:
        """Record a read that got no byte within its limit."""
        self.limits_expired += 1
        self._count("store.limit_expired")
        self._last_expired_at = anyio.current_time()
        if self._slow_since is None:
            self._slow_since = self._last_expired_at
            self._expired = self._answered_late = 0
            limit_ms, last_ms = round(limit_s * 1000), round(self.last_s * 1000)
            logs.write("store_slow", read=target, limit_ms=limit_ms, last_read_ms=last_ms)
        self._expired += 1

    def note_closed(self) -> None:
        """Record a connection that broke under a read."""
        self.connections_closed += 1
        self._count("store.connection_closed")

    def note_skipped(self, topic: str, count: int, error: str) -> None:
        """Record entries of a snapshot that could not be decoded, with the error of the first."""
        self._count("store.entries_skipped", count)
        logs.write("entries_skipped", topic=topic, count=count, error=error[:_LOGGED_ERROR_CHARS])

    def note_incomplete(self, topic: str, gap: str) -> None:
        """Record a snapshot that lacks keys, and why."""
        self._count("store.snapshot_incomplete")
        logs.write("snapshot_incomplete", topic=topic, gap=gap)

    def _count(self, name: str, by: int = 1) -> None:
        if self._node is not None:
            self._node.count(name, by)
