"""What an engine lets others see late: its load reports and its cache events.

Both keep their own history and are asked with the present time, so they are as pure as the batch.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from turmericweir_standins.engine_kv import CacheChange, CacheChangeKind

# Older events are forgotten; whoever asks for them sees a gap.
KEPT_EVENTS: Final = 4_000
EVENTS_PER_ANSWER: Final = 1_000


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load report of an engine, field by field as on the wire."""

    name: str
    incarnation: str
    # Counts the observations of one incarnation.
    seq: int
    running: int
    waiting: int
    slots: int
    kv_used: int
    kv_total: int
    step_ms: float
    models: list[str]
    role: str
    leaving: bool
    # The highest fencing number accepted; always 0 where the engine does not check them.
    fence: int
    loading: list[str]


class LaggedReports:
    """Show each load report only some time after it was true."""

    lag_s: Final[float]
    # Reports by the time of their observation; the first one is the one to show.
    _history: deque[tuple[float, LoadReport]]
    _seq: int

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._history = deque()
        self._seq = 0

    def observe(self, now: float, report: Callable[[int], LoadReport]) -> None:
        """Take in the present state; the function gets the report's sequence number."""
        self._seq += 1
        self._history.append((now, report(self._seq)))
        self._forget(now)

    def read(self, now: float) -> LoadReport:
        """Return the newest report that is at least `lag_s` old, or the oldest one there is."""
        self._forget(now)
        return self._history[0][1]

    def _forget(self, now: float) -> None:
        while len(self._history) > 1 and self._history[1][0] <= now - self.lag_s:
            self._history.popleft()


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One cache event as on the wire."""

    seq: int
    kind: CacheChangeKind
    prefix: str


class CacheLog:
    """Number the cache's changes, show them late, and lose every n-th of them."""

    lag_s: Final[float]
    # Every how many events one is lost; 0 for none.
    gap_every: Final[int]
    # Events by the time at which they happened; None in the place of a lost one.
    _events: deque[tuple[float, int, CacheEvent | None]]
    _seq: int

    def __init__(self, lag_s: float, gap_every: int) -> None:
        self.lag_s = lag_s
        self.gap_every = gap_every
        self._events = deque(maxlen=KEPT_EVENTS)
        self._seq = 0

    def append(self, now: float, change: CacheChange) -> None:
        """Number one change."""
        self._seq += 1
        lost = self.gap_every > 0 and self._seq % self.gap_every == 0
        event = None if lost else CacheEvent(self._seq, change.kind, change.prefix_id)
        self._events.append((now, self._seq, event))

    def read(self, now: float, after: int) -> tuple[list[CacheEvent], int]:
        """Return the visible events after a number, and the number to ask from next time.

        A number smaller than the one asked for means that the numbering began anew.
        """
        newest = 0
        found: list[CacheEvent] = []
        for happened, seq, event in self._events:
            if happened > now - self.lag_s or len(found) >= EVENTS_PER_ANSWER:
                break
            newest = seq
            if seq > after and event is not None:
                found.append(event)
        return found, newest
