"""Counters and timers to statsd, over UDP.

Metrics are gathered for a second and sent a few to a datagram: a datagram for each counter would
cost a system call for each, several to a request.
"""

from __future__ import annotations

import re
from types import TracebackType
from typing import Final, Protocol, Self

import statsd

# Characters that separate things in statsd's line protocol.
_RESERVED: Final = re.compile(r"[^A-Za-z0-9_.-]")
# Metrics that are gathered at the most before they are sent.
FLUSH_COUNT: Final = 200
PREFIX: Final = "turmericweir"


class Metrics(Protocol):
    """Where counters and timers go."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""

    def flush(self) -> None:
        """Send what was gathered."""


class NullMetrics:
    """Drops everything: the process has no statsd."""

    def count(self, name: str, by: int = 1) -> None:
        """Drop it."""

    def timing(self, name: str, seconds: float) -> None:
        """Drop it."""

    def flush(self) -> None:
        """Have nothing to send."""


class StatsdMetrics:
    """Sends to a statsd server; what is lost on the way is lost."""

    _client: statsd.StatsClient
    # Gathers lines until `flush`.
    _pipeline: statsd.client.udp.Pipeline
    # How many lines it holds.
    _held: int

    def __init__(self, address: str, instance: str) -> None:
        host, _, port = address.rpartition(":")
        prefix = f"{PREFIX}.{_clean(instance).replace('.', '_')}"
        self._client = statsd.StatsClient(host, int(port), prefix=prefix)
        self._pipeline = self._client.pipeline()
        self._held = 0

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
        self._pipeline.incr(_clean(name), by)
        self._note()

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self._pipeline.timing(_clean(name), seconds * 1000.0)
        self._note()

    def flush(self) -> None:
        """Send what was gathered."""
        if self._held:
            self._held = 0
            self._pipeline.send()

    def _note(self) -> None:
        self._held += 1
        if self._held >= FLUSH_COUNT:
            self.flush()


def _clean(name: str) -> str:
    return _RESERVED.sub("_", name)
