"""An event loop that stays correct when its machine or process is suspended.

Its clock includes the time of a suspension. Prevents leases, deadlines and freshness proofs from
appearing fresh afterwards, and keys that were revoked meanwhile from being accepted. Data that
arrived during a suspension is read before timers that became due run. Prevents connections from
being closed as idle with a request that was not read. It also measures its steps (`loop_steps`).
"""

from __future__ import annotations

import asyncio
import selectors
import time

from turmericweir.process.loop_steps import LoopSteps


class _RepollingSelector(selectors.DefaultSelector):
    """The system's selector, which polls once more if a wait took longer than its timeout.

    The process may be suspended between the end of the wait and its return. Python also ends an
    interrupted wait without polling if its timeout has passed meanwhile.
    """

    # What runs between two waits.
    steps: LoopSteps

    def __init__(self) -> None:
        super().__init__()
        self.steps = LoopSteps()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the files that are ready, after at most `timeout` seconds."""
        started_at = _boot_time()
        self.steps.end(started_at)
        events: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        ended_at = _boot_time()
        if timeout and ended_at - started_at >= timeout:
            # Contains the files found before, as their data is not read yet.
            events = super().select(0)
        self.steps.begin(ended_at)
        return events


class BootClockLoop(asyncio.SelectorEventLoop):
    """The selector event loop with the boot-time clock."""

    steps: LoopSteps

    def __init__(self) -> None:
        selector = _RepollingSelector()
        super().__init__(selector)
        self.steps = selector.steps

    def time(self) -> float:
        """Return the time since the machine was started, in seconds."""
        return _boot_time()


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
