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
    """The system's selector, which polls once more when a wait ends without events.

    Python ends an interrupted wait without polling if its timeout has passed meanwhile.
    """

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the files that are ready, after at most `timeout` seconds."""
        events: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        if not events and timeout:
            events = super().select(0)
        return events


class BootClockLoop(asyncio.SelectorEventLoop):
    """The selector event loop with the boot-time clock."""

    def __init__(self) -> None:
        super().__init__(_RepollingSelector())

    def time(self) -> float:
        """Return the time since the machine was started, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
