"""An event loop that stays correct when its machine or process is suspended.

Its clock includes the time of a suspension. Prevents leases, deadlines and freshness proofs from
appearing fresh afterwards, and keys that were revoked meanwhile from being accepted. Data that
arrived during a suspension is read before timers that became due run. Prevents connections from
being closed as idle with a request that was not read.
"""

from __future__ import annotations

import asyncio
import selectors
import time


class _RepollingSelector(selectors.DefaultSelector):
    """The system's selector, which polls once more if a wait took longer than its timeout.

    The process may be suspended between the end of the wait and its return. Python also ends an
    interrupted wait without polling if its timeout has passed meanwhile.
    """

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the files that are ready, after at most `timeout` seconds."""
        started_at = _boot_time()
        events: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        if timeout and _boot_time() - started_at >= timeout:
            # Contains the files found before, as their data is not read yet.
            events = super().select(0)
        return events


class BootClockLoop(asyncio.SelectorEventLoop):
    """The selector event loop with the boot-time clock."""

    def __init__(self) -> None:
        super().__init__(_RepollingSelector())

    def time(self) -> float:
        """Return the time since the machine was started, in seconds."""
        return _boot_time()


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
