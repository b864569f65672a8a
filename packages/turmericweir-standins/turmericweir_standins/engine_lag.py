"""The delayed outputs of an engine: its load reports and its cache events.

Both classes keep their history and take the present time as an argument, without a clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from turmericweir_standins.engine_kv import CacheChange, CacheChangeKind

# Older events are dropped; a reader that asks for them sees a gap.
EVENTS_KEPT_MAX: Final = 4_000
EVENTS_PER_ANSWER_MAX: Final = 1_000


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load report of an engine, field by field as on the wire."""

    name: str
    incarnation: str
    # The number of the report within one incarnation.
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
    # The highest accepted fencing number; 0 if the engine does not check them.
    fence: int
    loading: list[str]


class LaggedReports:
    """Return each load report only after a delay."""

    lag_s: Final[float]
    # Reports with the time of their observation; the first one is the visible one.
    _history: deque[tuple[float, LoadReport]]
    _seq: int

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._history = deque()
        self._seq = 0

    def observe(self, now: float, report: Callable[[int], LoadReport]) -> None:
        """Add a report of the present state; the function gets the report's sequence number."""
        self._seq += 1
        self._history.append((now, report(self._seq)))
        self._drop_old(now)

    def read(self, now: float) -> LoadReport:
        """Return the newest report that is at least `lag_s` old, or else the oldest one."""
        self._drop_old(now)
        return self._history[0][1]

    def _drop_old(self, now: float) -> None:
        while len(self._history) > 1 and self._history[1][0] <= now - self.lag_s:
            self._history.popleft()


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One cache event as on the wire."""

    seq: int
    kind: CacheChangeKind
    prefix: str


class CacheLog:
    """Number the changes of the cache, return them after a delay, and lose every n-th one."""

    lag_s: Final[float]
    # One event is lost in each group of this size; 0 for no losses.
    gap_every: Final[int]
    # Events with their time and number; None in place of a lost one.
    _events: deque[tuple[float, int, CacheEvent | None]]
    _seq: int

    def __init__(self, lag_s: float, gap_every: int) -> None:
        self.lag_s = lag_s
        self.gap_every = gap_every
        self._events = deque(maxlen=EVENTS_KEPT_MAX)
        self._seq = 0

    def append(self, now: float, change: CacheChange) -> None:
        """Add one change."""
        self._seq += 1
        is_lost = self.gap_every > 0 and self._seq % self.gap_every == 0
        event = None if is_lost else CacheEvent(self._seq, change.kind, change.prefix_id)
        self._events.append((now, self._seq, event))

    def read(self, now: float, after: int) -> tuple[list[CacheEvent], int]:
        """Return the visible events after a number, and the number for the next call.

        A returned number that is smaller than `after` means that the numbering has restarted.
        """
        newest = 0
        events: list[CacheEvent] = []
        for happened_at, seq, event in self._events:
            if happened_at > now - self.lag_s or len(events) >= EVENTS_PER_ANSWER_MAX:
                break
            newest = seq
            if seq > after and event is not None:
                events.append(event)
        return events, newest
