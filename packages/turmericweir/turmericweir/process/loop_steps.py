"""Measure the steps of the event loop, and report those that take long.

A step is all that runs between two waits of the loop (`boot_clock`); nobody else is served
meanwhile. The processor time beside it tells a busy process from one that did not run.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Final, Protocol, runtime_checkable

import anyio

from turmericweir.process import logs

_REPORT_INTERVAL_S: Final = 1.0
# Steps that take longer are reported.
_SLOW_STEP_S: Final = 0.25


class StepCounters(Protocol):
    """Counts events and records durations."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""


@dataclass(slots=True)
class LoopSteps:
    """The steps of one event loop."""

    # The longest step since the start.
    longest_s: float = 0.0
    # The longest step and the number of slow ones since the last report.
    recent_longest_s: float = 0.0
    slow_count: int = 0
    # None while the loop waits.
    _started_at: float | None = None

    def begin(self, now: float) -> None:
        """Record that the loop has ended a wait."""
        self._started_at = now

    def end(self, now: float) -> None:
        """Record that the loop begins a wait."""
        if self._started_at is None:
            return
        step_s = now - self._started_at
        self._started_at = None
        if step_s > self.recent_longest_s:
            self.recent_longest_s = step_s
            self.longest_s = max(self.longest_s, step_s)
        if step_s > _SLOW_STEP_S:
            self.slow_count += 1

    def report(self, counters: StepCounters, interval_s: float, processor_s: float) -> None:
        """Record the longest step since the last report, and log it if it was slow."""
        counters.timing("loop.longest_step", self.recent_longest_s)
        if self.slow_count:
            counters.count("loop.slow_step", self.slow_count)
            logs.write(
                "slow_step",
                longest_ms=round(1000 * self.recent_longest_s),
                steps=self.slow_count,
                processor_ms=round(1000 * processor_s),
                interval_ms=round(1000 * interval_s),
            )
        self.recent_longest_s = 0.0
        self.slow_count = 0


@runtime_checkable
class _MeasuredLoop(Protocol):
    """An event loop that measures its steps."""

    steps: LoopSteps


def running_steps() -> LoopSteps:
    """Return the steps of the running event loop; they stay empty if it does not measure them."""
    loop = asyncio.get_running_loop()
    return loop.steps if isinstance(loop, _MeasuredLoop) else LoopSteps()


async def report_forever(steps: LoopSteps, counters: StepCounters) -> None:
    """Report the steps at intervals."""
    reported_at, used_s = anyio.current_time(), time.process_time()
    while True:
        await anyio.sleep(_REPORT_INTERVAL_S)
        now, processor_s = anyio.current_time(), time.process_time()
        steps.report(counters, now - reported_at, processor_s - used_s)
        reported_at, used_s = now, processor_s
