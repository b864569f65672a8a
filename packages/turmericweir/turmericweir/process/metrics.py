"""Counters and timers for a statsd server, over UDP.

Metrics are collected for a second and sent several to a datagram, which saves system calls.
"""

from __future__ import annotations

import re
from types import TracebackType
from typing import Final, Protocol, Self

import statsd

# Characters that are not allowed in names of statsd's line protocol.
_RESERVED: Final = re.compile(r"[^A-Za-z0-9_.-]")
# Number of collected metrics at which they are sent.
MAX_PENDING_METRICS: Final = 200
PREFIX: Final = "turmericweir"


class Metrics(Protocol):
    """The destination of counters and timers."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""

    def flush(self) -> None:
        """Send the collected metrics."""


class NullMetrics:
    """Discards all metrics, for a process without a statsd server."""

    def count(self, name: str, by: int = 1) -> None:
        """Discard the count."""

    def timing(self, name: str, seconds: float) -> None:
        """Discard the duration."""

    def flush(self) -> None:
        """Do nothing, since nothing is collected."""


class StatsdMetrics:
    """Sends metrics to a statsd server, without retries."""

    _client: statsd.StatsClient
    # Collects lines until `flush`.
    _pipeline: statsd.client.udp.Pipeline
    # Number of collected lines.
    _pending_count: int

    def __init__(self, address: str, instance: str) -> None:
        host, _, port = address.rpartition(":")
        prefix = f"{PREFIX}.{_replace_reserved(instance).replace('.', '_')}"
        self._client = statsd.StatsClient(host, int(port), prefix=prefix)
        self._pipeline = self._client.pipeline()
        self._pending_count = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.flush()
        self._client.close()

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._pipeline.incr(_replace_reserved(name), by)
        self._count_pending()

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self._pipeline.timing(_replace_reserved(name), seconds * 1000.0)
        self._count_pending()

    def flush(self) -> None:
        """Send the collected metrics."""
        if self._pending_count:
            self._pending_count = 0
            self._pipeline.send()

    def _count_pending(self) -> None:
        self._pending_count += 1
        if self._pending_count >= MAX_PENDING_METRICS:
            self.flush()


def _replace_reserved(name: str) -> str:
    return _RESERVED.sub("_", name)
